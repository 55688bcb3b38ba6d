#include "node/head.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "pollenhitch/fields.h"

#define FIELDS_MAX 128
#define FIELDS_BYTES_MAX (32u * 1024)
#define NAME_SIZE_MAX 256

/* Maximum size of all interim responses, the head and the trailer together. libcurl 7.88 keeps each
 * line of a trailer: an endless one took 2.5 GB in 4 s. */
#define LINES_BYTES_MAX (128u * 1024)

#define STATUS_SWITCHING 101
#define STATUS_FINAL_MIN 200

/* A status is an integer from 100 to 599 (RFC 9110, 15). */
#define STATUS_MIN 100
#define STATUS_MAX 599
#define STATUS_NONE (-1)

static bool
is_digit (char c)
{
  return c >= '0' && c <= '9';
}

/* Reads the status of a status line up to the reason phrase (RFC 9112, 4). Returns STATUS_NONE when
 * text does not begin with one; a status of three digits is returned also if it is not valid. */
static int
read_status (const char *text, size_t size)
{
  static const char version[] = "HTTP/1.";
  const size_t version_size = sizeof version - 1;
  const char *code = text + version_size + 2;

  if (size < version_size + 5 || memcmp (text, version, version_size) != 0
      || !is_digit (text[version_size]) || text[version_size + 1] != ' ' || !is_digit (code[0])
      || !is_digit (code[1]) || !is_digit (code[2]) || (size > version_size + 5 && code[3] != ' '))
    return STATUS_NONE;
  return (code[0] - '0') * 100 + (code[1] - '0') * 10 + code[2] - '0';
}

/* Whether a status line stands within a line, behind its first byte. */
static bool
has_inner_status (const char *line, size_t size)
{
  for (size_t i = 1; i < size; i++)
    if (line[i] == 'H' && read_status (line + i, size - i) != STATUS_NONE)
      return true;
  return false;
}

/* Whether a line is a field that says where a body ends. */
static bool
is_framing_line (const char *line, size_t size)
{
  static const char *const names[] = { "Content-Length:", "Transfer-Encoding:" };

  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    if (size >= strlen (names[i]) && strncasecmp (line, names[i], strlen (names[i])) == 0)
      return true;
  return false;
}

static const char *
add_status_line (PhHead *head, const char *line, size_t size)
{
  head->status = read_status (line, size);
  if (head->status < STATUS_MIN || head->status > STATUS_MAX)
    return "no status line";
  if (head->status == STATUS_SWITCHING)
    return "a change of protocol that was not requested";
  head->state = PH_HEAD_FIELDS;
  head->fields_size = 0;
  head->field_count = 0;
  head->has_length = head->has_encoding = false;
  return NULL;
}

/* Checks the fields that say where the body ends (RFC 9112, 6.3). */
static const char *
check_framing (PhHead *head, const char *name, const char *value)
{
  const char *length;
  uint64_t number;

  if (strcasecmp (name, "Transfer-Encoding") == 0)
    {
      if (head->has_encoding)
        return "two transfer encodings";
      /* libcurl 7.88 reads chunks whatever the order of the encodings, and decodes gzip. */
      if (strcasecmp (value, "chunked") != 0)
        return "a transfer encoding other than chunked";
      head->has_encoding = true;
    }
  else if (strcasecmp (name, "Content-Length") == 0)
    {
      /* libcurl 7.88 takes the digits at the beginning, and ignores a number that is too large. */
      if (!ph_number_parse (value, INT64_MAX, &number))
        return "a length that is no number";
      length = ph_head_field (head, name, NULL);
      if (length != NULL && strcmp (length, value) != 0)
        return "two lengths";
      head->has_length = true;
    }
  /* libcurl 7.88 takes the framing of an interim response for that of the final one. */
  if ((head->has_length || head->has_encoding) && head->status < STATUS_FINAL_MIN)
    return "an interim response with a length or transfer encoding";
  return head->has_length && head->has_encoding ? "a length and a transfer encoding" : NULL;
}

static const char *
add_field (PhHead *head, const char *line, size_t size)
{
  const char *colon = memchr (line, ':', size);
  size_t name_size = colon != NULL ? (size_t)(colon - line) : 0;
  const char *value = line + name_size + 1;
  size_t value_size = size - name_size - 1;
  const char *error;
  char *stored;

  if (colon == NULL || name_size == 0 || name_size >= NAME_SIZE_MAX
      || memchr (line, '\0', size) != NULL)
    return "a line that is no field";
  while (value_size > 0 && (*value == ' ' || *value == '\t'))
    value++, value_size--;
  while (value_size > 0 && (value[value_size - 1] == ' ' || value[value_size - 1] == '\t'))
    value_size--;
  if (head->field_count == FIELDS_MAX
      || head->fields_size + name_size + value_size + 2 > FIELDS_BYTES_MAX)
    return "too many fields";
  if (head->fields == NULL && (head->fields = malloc (FIELDS_BYTES_MAX)) == NULL)
    return "out of memory for the fields";
  stored = head->fields + head->fields_size;
  memcpy (stored, line, name_size);
  stored[name_size] = '\0';
  memcpy (stored + name_size + 1, value, value_size);
  stored[name_size + 1 + value_size] = '\0';
  if (!ph_field_is_token (stored))
    return "a line that is no field";
  error = check_framing (head, stored, stored + name_size + 1);
  head->fields_size += name_size + value_size + 2;
  head->field_count++;
  return error;
}

const char *
ph_head_add_line (PhHead *head, const char *line, size_t size)
{
  head->lines_size += size;
  if (head->lines_size > LINES_BYTES_MAX)
    return "too many bytes in heads and trailer";
  /* A chunk size that breaks off behind a zero is the last chunk to libcurl 7.88: the fields of the
   * next message are its trailer. */
  if (head->state == PH_HEAD_COMPLETE)
    return is_framing_line (line, size) ? "a length or transfer encoding in a trailer" : NULL;
  while (size > 0 && (line[size - 1] == '\r' || line[size - 1] == '\n'))
    size--;
  if (has_inner_status (line, size))
    return "two messages in one head";
  if (head->state == PH_HEAD_STATUS)
    return add_status_line (head, line, size);
  if (size > 0)
    return add_field (head, line, size);
  head->state = head->status >= STATUS_FINAL_MIN ? PH_HEAD_COMPLETE : PH_HEAD_STATUS;
  return NULL;
}

void
ph_head_clear (PhHead *head)
{
  free (head->fields);
  memset (head, 0, sizeof *head);
}

bool
ph_head_field_at (const PhHead *head, uint32_t index, const char **name, const char **value)
{
  const char *text = head->fields;

  if (index >= head->field_count)
    return false;
  for (uint32_t i = 0; i < index * 2; i++)
    text += strlen (text) + 1;
  *name = text;
  *value = text + strlen (text) + 1;
  return true;
}

const char *
ph_head_field (const PhHead *head, const char *name, uint32_t *count)
{
  const char *text = head->fields;
  const char *first = NULL;
  uint32_t found = 0;

  for (uint32_t i = 0; i < head->field_count; i++)
    {
      const char *value = text + strlen (text) + 1;

      if (strcasecmp (text, name) == 0 && found++ == 0)
        first = value;
      text = value + strlen (value) + 1;
    }
  if (count != NULL)
    *count = found;
  return first;
}
