#include "pollenhitch/scan.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static bool
is_space (char c)
{
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

static size_t
skip_space (PhJsonPart part, size_t at)
{
  while (at < part.size && is_space (part.text[at]))
    at++;
  return at;
}

/* End of the string that begins at a quotation mark, or the size of the part if it has none. */
static size_t
skip_string (PhJsonPart part, size_t at)
{
  for (at++; at < part.size && part.text[at] != '"'; at++)
    if (part.text[at] == '\\')
      at++;
  return at < part.size ? at + 1 : part.size;
}

/* End of the value that begins at a position. Brackets of both kinds are counted together: a value
 * in which they do not match fails when it is decoded. */
static size_t
skip_value (PhJsonPart part, size_t at)
{
  size_t depth = 0;

  while (at < part.size)
    {
      char c = part.text[at];

      if (depth == 0 && (c == ',' || c == ']' || c == '}' || is_space (c)))
        break;
      if (c == '"')
        at = skip_string (part, at);
      else
        at++;
      if (c == '[' || c == '{')
        depth++;
      else if ((c == ']' || c == '}') && --depth == 0)
        break;
    }
  return at;
}

/* Position after a separator and the white space around it; the size of the part if another
 * character is there. */
static size_t
skip_separator (PhJsonPart part, size_t at, char separator)
{
  at = skip_space (part, at);
  return at < part.size && part.text[at] == separator ? skip_space (part, at + 1) : part.size;
}

/* Position of the first value or name in an object or array; the size of the part for another value
 * and for an empty one. */
static size_t
enter (PhJsonPart part, char open)
{
  return skip_separator (part, 0, open);
}

PhJsonStep
ph_json_next_member (PhJsonPart object, size_t *offset, PhJsonPart *name, PhJsonPart *value)
{
  size_t begin = *offset == 0 ? enter (object, '{') : skip_separator (object, *offset, ',');
  size_t last = object.size - (object.size > 0);
  size_t name_end;
  size_t value_begin;

  if (begin == object.size)
    return *offset != 0 && skip_space (object, *offset) == last && object.text[last] == '}'
               ? PH_JSON_END
               : PH_JSON_ERROR;
  if (*offset == 0 && begin == last && object.text[last] == '}')
    return PH_JSON_END;
  if (object.text[begin] != '"')
    return PH_JSON_ERROR;
  name_end = skip_string (object, begin);
  value_begin = skip_separator (object, name_end, ':');
  *offset = skip_value (object, value_begin);
  if (*offset >= object.size || *offset == value_begin)
    return PH_JSON_ERROR;
  *name = (PhJsonPart){ object.text + begin + 1, name_end - begin - 2 };
  *value = (PhJsonPart){ object.text + value_begin, *offset - value_begin };
  return PH_JSON_MEMBER;
}

bool
ph_json_member (PhJsonPart object, const char *name, PhJsonPart *value)
{
  size_t size = strlen (name);
  size_t offset = 0;
  PhJsonPart found;

  while (ph_json_next_member (object, &offset, &found, value) == PH_JSON_MEMBER)
    if (found.size == size && memcmp (found.text, name, size) == 0)
      return true;
  *value = (PhJsonPart){ "", 0 };
  return false;
}

bool
ph_json_number (PhJsonPart value, double *number)
{
  char *text = strndup (value.text, value.size);
  char *end = text;

  *number = 0;
  if (text != NULL && strspn (text, "+-.0123456789eE") == value.size
      && (text[0] == '-' || (text[0] >= '0' && text[0] <= '9')))
    *number = strtod (text, &end);
  /* Without a conversion, end is the beginning of the text. */
  value.size = text != NULL && end != text && *end == '\0' ? value.size : 0;
  free (text);
  return value.size > 0;
}

/* Whether a string has ASCII characters only and no escapes: its text is what is between the
 * quotation marks. */
static bool
is_plain (PhJsonPart string)
{
  for (size_t i = 1; i + 1 < string.size; i++)
    {
      unsigned char c = (unsigned char)string.text[i];

      if (c == '\\' || c == '"' || c < ' ' || c > '~')
        return false;
    }
  return string.text[string.size - 1] == '"';
}

char *
ph_json_string (PhJsonPart value)
{
  json_t *string;
  char *text;

  if (value.size < 2 || value.text[0] != '"')
    return NULL;
  if (is_plain (value))
    return strndup (value.text + 1, value.size - 2);
  string = json_loadb (value.text, value.size, JSON_DECODE_ANY, NULL);
  text = json_string_value (string) != NULL ? strdup (json_string_value (string)) : NULL;
  json_decref (string);
  return text;
}

bool
ph_json_next_element (PhJsonPart array, size_t *offset, PhJsonPart *element)
{
  size_t begin = *offset == 0 ? enter (array, '[') : skip_separator (array, *offset, ',');
  size_t end = skip_value (array, begin);

  if (end <= begin || end >= array.size)
    return false;
  *element = (PhJsonPart){ array.text + begin, end - begin };
  *offset = end;
  return true;
}
