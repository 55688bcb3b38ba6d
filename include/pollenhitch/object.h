#ifndef PH_OBJECT_H
#define PH_OBJECT_H

#include "pollenhitch/config.h"

/*
 * JSON encoding of configuration objects: {"kind": ..., "spec": {...}}, stored
 * under /teams/<team>/<collection>/<name>.
 *
 * Names of teams, services, data centres, regions and moves consist of
 * lower-case letters, digits and hyphens, and begin and end with a letter or a
 * digit.
 */

/* Bytes with the final zero, so that "team/service" fits PH_NAME_MAX. */
#define PH_TEAM_MAX 32
#define PH_SERVICE_MAX 32

/* Bytes of the text of an object: the store accepts values of 1 MiB, here for its spec and for its
 * status, and the rest is for their names. */
#define PH_OBJECT_TEXT_MAX ((2u << 20) + 1024)
#define PH_OBJECT_DEPTH_MAX 8 /* nesting of the JSON text; a valid object has 4 levels */
#define PH_OBJECT_WALL_TIME_MIN_S 946684800LL  /* 2000-01-01T00:00:00Z */
#define PH_OBJECT_WALL_TIME_MAX_S 7258118399LL /* 2199-12-31T23:59:59Z */

typedef struct
{
  char team[PH_TEAM_MAX];
  PhObjectKind kind;
  char name[PH_NAME_MAX];
} PhObjectPath;

/* ph_object_path_parse: split and check the path of a configuration object. Returns false with err
 * set when it is not valid. */
bool ph_object_path_parse (const char *path, PhObjectPath *parts, PhError *err);

/*
 * ph_object_decode: a PhObjectDecodeFunc; user is not used.
 *
 * text need not be trusted or valid. *object is changed only on success, and then
 * only kind and spec. An error names the path, the field, the value and what is
 * allowed.
 */
bool ph_object_decode (void *user, const char *text, size_t size, PhObject *object, PhError *err);

/* ph_object_encode: the JSON text of an object of a kind below PH_OBJECT_TEAM_KINDS, which the
 * caller frees; NULL with err set when memory runs out. If all values are allowed ones, decoding
 * the text for the same path gives the same kind and the same fields of the spec that have a JSON
 * name.
 */
char *ph_object_encode (const PhObject *object, PhError *err);

/* ph_object_kind_name: value of "kind". ph_object_collection: collection in the path. Static text;
 * "unknown" for a kind that is not below PH_OBJECT_TEAM_KINDS. */
const char *ph_object_kind_name (PhObjectKind kind);
const char *ph_object_collection (PhObjectKind kind);

/* ph_wall_time_parse, ph_wall_time_format: a time in UTC by RFC 3339, such as 2026-12-04T18:00:00Z,
 * with an optional fraction of up to 6 digits. wall_us is in microseconds since 1970.
 * ph_wall_time_parse returns false for other text, for a date or time of day that does not exist,
 * and for a time outside PH_OBJECT_WALL_TIME_MIN_S to PH_OBJECT_WALL_TIME_MAX_S. text has
 * PH_WALL_TIME_TEXT_SIZE bytes for ph_wall_time_format. */
#define PH_WALL_TIME_TEXT_SIZE 32
bool ph_wall_time_parse (const char *text, int64_t *wall_us);
void ph_wall_time_format (int64_t wall_us, char *text);

#endif
