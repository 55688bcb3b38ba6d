#ifndef PH_HEAD_H
#define PH_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Head of an HTTP response, built from its lines.
 *
 * libcurl passes the status line and each field line of a response, of the interim
 * responses before it, and of its trailer. A head that cannot be one response is
 * rejected: two messages that run together, because the first one broke off, would
 * otherwise pass with the status of one and the fields and body of the other.
 */

typedef enum
{
  PH_HEAD_STATUS, /* the status line is due */
  PH_HEAD_FIELDS, /* a field line, or the empty line at the end, is due */
  PH_HEAD_COMPLETE
} PhHeadState;

typedef struct
{
  PhHeadState state;
  int status;
  char *fields;       /* owned "name\0value\0" pairs */
  size_t fields_size; /* bytes used of fields */
  uint32_t field_count;
  size_t
      lines_size;  /* bytes of all lines, those of interim responses and of the trailer included */
  bool has_length; /* a Content-Length field */
  bool has_encoding; /* a Transfer-Encoding field */
} PhHead;

/*
 * ph_head_add_line: add a line of size bytes, with or without its line end.
 *
 * Returns NULL, or a static text that says why the head is rejected; no line may
 * follow then. A trailer is counted but not kept.
 */
const char *ph_head_add_line (PhHead *head, const char *line, size_t size);

/* ph_head_clear: free the fields. */
void ph_head_clear (PhHead *head);

/* ph_head_field_at: name and value of a field by its index in order of arrival. Returns false past
 * the last one. */
bool ph_head_field_at (const PhHead *head, uint32_t index, const char **name, const char **value);

/* ph_head_field: value of the first field with this name (case-insensitive), or NULL. Sets *count,
 * unless it is NULL, to the number of fields with this name. */
const char *ph_head_field (const PhHead *head, const char *name, uint32_t *count);

#endif
