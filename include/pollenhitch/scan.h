#ifndef PH_SCAN_H
#define PH_SCAN_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Scanner for JSON texts that other programs write.
 *
 * A JSON library rejects a whole text for one value that is nested too deeply, is out of range or
 * is not UTF-8. The scanner finds the parts of the outer structure without decoding them, so that
 * each part can be decoded on its own and an invalid one does not hide the others. It does not
 * recurse, and checks no more than it needs to find the end of a value.
 */

/* Part of a text that holds one value, without white space around it. */
typedef struct
{
  const char *text; /* not terminated */
  size_t size;
} PhJsonPart;

/* ph_json_member: find the value of a member of an object. Returns false, with *value empty, if
 * object is not an object, has no such member before its first syntax error, or the value has no
 * end. The names of members are compared without decoding escapes. */
bool ph_json_member (PhJsonPart object, const char *name, PhJsonPart *value);

/* ph_json_next_element: get the next element of an array. *offset is 0 for the first call and then
 * kept by the caller. Returns false at the end, at a syntax error, and if array is not an array. */
bool ph_json_next_element (PhJsonPart array, size_t *offset, PhJsonPart *element);

typedef enum
{
  PH_JSON_END,    /* the object has no further member */
  PH_JSON_MEMBER, /* *name and *value are set */
  PH_JSON_ERROR   /* a syntax error, or not an object */
} PhJsonStep;

/* ph_json_next_member: get the next member of an object. *offset is 0 for the first call and then
 * kept by the caller. name is the part between the quotation marks, with its escapes. */
PhJsonStep
ph_json_next_member (PhJsonPart object, size_t *offset, PhJsonPart *name, PhJsonPart *value);

/* ph_json_number: a number in any notation that JSON allows. One beyond the range of double becomes
 * infinite. Returns false for another value. */
bool ph_json_number (PhJsonPart value, double *number);

/* ph_json_string: the text of a string, which the caller frees. Returns NULL for another value, for
 * one that is not UTF-8 or has the character U+0000, and when memory runs out. */
char *ph_json_string (PhJsonPart value);

#endif
