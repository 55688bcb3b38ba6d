#include "pollenhitch/object.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SHOWN_SIZE 48 /* buffer size in bytes for a value or a name shown in an error */
#define TEAMS_PREFIX "/teams/"

#define NAME_ALLOWED "lower-case letters, digits and inner hyphens"

typedef enum
{
  FIELD_NUMBER,  /* uint32_t from min to max */
  FIELD_BOOL,    /* bool */
  FIELD_NAME,    /* char[max + 1] */
  FIELD_VERSION, /* char[PH_VERSION_MAX] */
  FIELD_SERVICE, /* char[PH_NAME_MAX], "team/service" of the path's team */
  FIELD_TIME,    /* int64_t, wall clock microseconds */
  FIELD_RULES    /* PhUpstreamRulesSpec versions */
} FieldKind;

typedef struct
{
  const char *name;
  size_t offset; /* of the value, in the record that holds the field */
  int64_t min;   /* of a number */
  int64_t max;   /* of a number, of a name's bytes or of the versions */
  FieldKind kind;
  bool is_required;
} Field;

/* What is being decoded, for error messages. */
typedef struct
{
  const char *path;         /* of the object */
  const char *team;         /* team of that path */
  const char *field_prefix; /* path of the enclosing JSON object with a final dot, "" at the top */
  PhError *err;
} DecodeContext;

#define SPEC_OFFSET(member) offsetof (PhObject, spec.member)

static const Field service_fields[] = {
  { "deadline_ms", SPEC_OFFSET (service.rules.deadline_ms), 1, 3600000, FIELD_NUMBER, false },
  { "queue_ms", SPEC_OFFSET (service.rules.queue_ms), 0, 60000, FIELD_NUMBER, false },
  { "retry_percent", SPEC_OFFSET (service.rules.retry_percent), 0, 100, FIELD_NUMBER, false },
  { "probes_per_minute", SPEC_OFFSET (service.rules.probes_per_minute), 0, 1000000, FIELD_NUMBER,
    false },
};

static const Field data_centre_fields[] = {
  { "region", SPEC_OFFSET (data_centre.region), 1, PH_NAME_MAX - 1, FIELD_NAME, false },
  { "out", SPEC_OFFSET (data_centre.is_out_of_service), 0, 0, FIELD_BOOL, false },
};

static const Field move_fields[] = {
  { "service", SPEC_OFFSET (move.service), 0, 0, FIELD_SERVICE, true },
  { "from", SPEC_OFFSET (move.from_version), 0, 0, FIELD_VERSION, true },
  { "to", SPEC_OFFSET (move.to_version), 0, 0, FIELD_VERSION, true },
  { "start", SPEC_OFFSET (move.start_us), 0, 0, FIELD_TIME, true },
  { "deadline", SPEC_OFFSET (move.deadline_us), 0, 0, FIELD_TIME, true },
  { "cancelled", SPEC_OFFSET (move.is_cancelled), 0, 0, FIELD_BOOL, false },
};

static const Field budget_fields[] = {
  { "probes_per_minute", SPEC_OFFSET (budget.probes_per_minute), 0, 1000000, FIELD_NUMBER, true },
};

static const Field upstream_rules_fields[] = {
  { "versions", SPEC_OFFSET (upstream_rules), 0, PH_RULE_VERSIONS_MAX, FIELD_RULES, true },
};

static const Field version_rule_fields[] = {
  { "max_slots", offsetof (PhVersionRule, max_slots), 1, 65535, FIELD_NUMBER, false },
  { "cold_start_s", offsetof (PhVersionRule, cold_start_s), 1, 3600, FIELD_NUMBER, false },
};

#define FIELDS(array) array, sizeof (array) / sizeof *(array)

static const struct
{
  const char *name;
  const char *collection;
  const Field *fields;
  size_t field_count;
} kinds[PH_OBJECT_TEAM_KINDS] = {
  [PH_OBJECT_SERVICE] = { "service", "services", FIELDS (service_fields) },
  [PH_OBJECT_DATA_CENTRE] = { "data-centre", "data-centres", FIELDS (data_centre_fields) },
  [PH_OBJECT_MOVE] = { "move", "moves", FIELDS (move_fields) },
  [PH_OBJECT_BUDGET] = { "budget", "budgets", FIELDS (budget_fields) },
  [PH_OBJECT_UPSTREAM_RULES]
  = { "upstream-rules", "upstream-rules", FIELDS (upstream_rules_fields) },
};

const char *
ph_object_kind_name (PhObjectKind kind)
{
  return (unsigned)kind < PH_OBJECT_TEAM_KINDS ? kinds[kind].name : "unknown";
}

const char *
ph_object_collection (PhObjectKind kind)
{
  return (unsigned)kind < PH_OBJECT_TEAM_KINDS ? kinds[kind].collection : "unknown";
}

static bool
is_name_byte (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

static bool
is_name (const char *text, size_t length, size_t max)
{
  if (length == 0 || length > max || text[0] == '-' || text[length - 1] == '-')
    return false;
  for (size_t i = 0; i < length; i++)
    if (!is_name_byte (text[i]))
      return false;
  return true;
}

static bool
is_version (const char *text)
{
  size_t length = strlen (text);

  if (length == 0 || length >= PH_VERSION_MAX)
    return false;
  for (size_t i = 0; i < length; i++)
    if (!is_name_byte (text[i]) && !(text[i] >= 'A' && text[i] <= 'Z')
        && strchr ("._+", text[i]) == NULL)
      return false;
  return true;
}

/* Replaces control and non-ASCII bytes of an error that quotes input, so that it is one line of
 * text. Returns false. */
static bool
replace_unprintable (PhError *err)
{
  if (err == NULL)
    return false;
  for (char *c = err->text; *c != '\0'; c++)
    if (*c < ' ' || *c > '~')
      *c = '?';
  return false;
}

/* Sets an error for a component of the path. Returns false. */
static bool
reject_path (const char *path, const char *component, const char *allowed, PhError *err)
{
  ph_error_set (err, PH_ERROR_INVALID, PH_STEP_CONFIG, NULL,
                "%.120s: %s is not allowed; allowed: %s", path, component, allowed);
  return replace_unprintable (err);
}

bool
ph_object_path_parse (const char *path, PhObjectPath *parts, PhError *err)
{
  const char *team = path + strlen (TEAMS_PREFIX);
  const char *collection;
  const char *name;
  size_t length;

  if (strncmp (path, TEAMS_PREFIX, strlen (TEAMS_PREFIX)) != 0
      || (collection = strchr (team, '/')) == NULL || (name = strchr (collection + 1, '/')) == NULL)
    return reject_path (path, "the path", "/teams/<team>/<collection>/<name>", err);
  if (!is_name (team, (size_t)(collection - team), PH_TEAM_MAX - 1))
    return reject_path (path, "the team", "1 to 31 " NAME_ALLOWED, err);
  memcpy (parts->team, team, (size_t)(collection - team));
  parts->team[collection - team] = '\0';
  length = (size_t)(name - ++collection);
  for (parts->kind = 0; parts->kind < PH_OBJECT_TEAM_KINDS; parts->kind++)
    if (strlen (kinds[parts->kind].collection) == length
        && strncmp (kinds[parts->kind].collection, collection, length) == 0)
      break;
  if (parts->kind == PH_OBJECT_TEAM_KINDS)
    return reject_path (path, "the collection",
                        "services, data-centres, moves, budgets, upstream-rules", err);
  name++;
  if (parts->kind == PH_OBJECT_DATA_CENTRE || parts->kind == PH_OBJECT_MOVE)
    {
      if (!is_name (name, strlen (name), PH_NAME_MAX - 1))
        return reject_path (path, "the name", "1 to 63 " NAME_ALLOWED, err);
    }
  else if (!is_name (name, strlen (name), PH_SERVICE_MAX - 1))
    return reject_path (path, "the service", "1 to 31 " NAME_ALLOWED, err);
  return ph_text_copy (parts->name, sizeof parts->name, name);
}

/* Formats a value as one line of ASCII, truncated to SHOWN_SIZE - 1 bytes. */
static void
format_value (const json_t *value, char *shown)
{
  char *text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT | JSON_ENSURE_ASCII);

  snprintf (shown, SHOWN_SIZE, "%s", text != NULL ? text : "?");
  if (text != NULL && strlen (text) >= SHOWN_SIZE)
    memcpy (shown + SHOWN_SIZE - 4, "...", 4);
  free (text);
}

/* Sets an error that names the path, the field, the value and what is allowed. Returns false. */
static bool
reject_value (const DecodeContext *ctx, const char *field, const json_t *value, const char *allowed)
{
  char shown[SHOWN_SIZE];

  format_value (value, shown);
  return ph_error_set (ctx->err, PH_ERROR_INVALID, PH_STEP_CONFIG, NULL,
                       "%.120s: %s%.32s: %s is not allowed; allowed: %s", ctx->path,
                       ctx->field_prefix, field, shown, allowed);
}

/* Sets an error for a field name that is not in the table. Returns false. */
static bool
reject_unknown_field (const DecodeContext *ctx,
                      const char *field,
                      const Field *fields,
                      size_t count)
{
  char allowed[96] = "";
  char shown[SHOWN_SIZE];
  json_t *name = json_string (field);
  size_t used = 0;

  format_value (name, shown);
  json_decref (name);
  for (size_t i = 0; i < count; i++)
    used += (size_t)snprintf (allowed + used, sizeof allowed - used, "%s%s", i > 0 ? ", " : "",
                              fields[i].name);
  return ph_error_set (ctx->err, PH_ERROR_INVALID, PH_STEP_CONFIG, NULL,
                       "%.120s: %s%s is not a field; allowed: %s", ctx->path, ctx->field_prefix,
                       shown, allowed);
}

static bool
decode_number (const DecodeContext *ctx, const Field *field, const json_t *value, void *target)
{
  char allowed[64];
  json_int_t number = json_integer_value (value);

  if (json_is_integer (value) && number >= field->min && number <= field->max)
    {
      *(uint32_t *)target = (uint32_t)number;
      return true;
    }
  snprintf (allowed, sizeof allowed, "a whole number from %" PRId64 " to %" PRId64, field->min,
            field->max);
  return reject_value (ctx, field->name, value, allowed);
}

static bool
decode_service (const DecodeContext *ctx, const Field *field, const json_t *value, char *target)
{
  const char *text = json_string_value (value);
  size_t team_length = strlen (ctx->team);
  char allowed[80];

  if (text != NULL && strncmp (text, ctx->team, team_length) == 0 && text[team_length] == '/'
      && is_name (text + team_length + 1, strlen (text + team_length + 1), PH_SERVICE_MAX - 1))
    return ph_text_copy (target, PH_NAME_MAX, text);
  snprintf (allowed, sizeof allowed, "a service of this team, as \"%s/<service>\"", ctx->team);
  return reject_value (ctx, field->name, value, allowed);
}

static bool
decode_rules (const DecodeContext *ctx, const Field *field, const json_t *value, void *target);

static bool
decode_field (const DecodeContext *ctx, const Field *field, const json_t *value, void *target)
{
  const char *text = json_string_value (value);

  switch (field->kind)
    {
    case FIELD_NUMBER:
      return decode_number (ctx, field, value, target);
    case FIELD_BOOL:
      *(bool *)target = json_is_true (value);
      return json_is_boolean (value) || reject_value (ctx, field->name, value, "true, false");
    case FIELD_NAME:
      if (text != NULL && is_name (text, strlen (text), (size_t)field->max))
        return ph_text_copy (target, (size_t)field->max + 1, text);
      return reject_value (ctx, field->name, value, "1 to 63 " NAME_ALLOWED);
    case FIELD_VERSION:
      if (text != NULL && is_version (text))
        return ph_text_copy (target, PH_VERSION_MAX, text);
      return reject_value (ctx, field->name, value, "1 to 31 letters, digits and . _ + -");
    case FIELD_SERVICE:
      return decode_service (ctx, field, value, target);
    case FIELD_TIME:
      return (text != NULL && ph_wall_time_parse (text, target))
             || reject_value (ctx, field->name, value, "a time in UTC, as 2026-12-04T18:00:00Z");
    case FIELD_RULES:
      return decode_rules (ctx, field, value, target);
    }
  return false;
}

/* Decodes the fields of a JSON object by their table into record. */
static bool
decode_fields (
    const DecodeContext *ctx, const Field *fields, size_t count, const json_t *spec, char *record)
{
  const char *name;
  json_t *value;

  json_object_foreach ((json_t *)spec, name, value)
    {
      size_t i;

      for (i = 0; i < count; i++)
        if (strcmp (fields[i].name, name) == 0)
          break;
      if (i == count)
        return reject_unknown_field (ctx, name, fields, count);
      if (!decode_field (ctx, &fields[i], value, record + fields[i].offset))
        return false;
    }
  for (size_t i = 0; i < count; i++)
    if (fields[i].is_required && json_object_get (spec, fields[i].name) == NULL)
      return ph_error_set (ctx->err, PH_ERROR_INVALID, PH_STEP_CONFIG, NULL,
                           "%.120s: %s%s is missing", ctx->path, ctx->field_prefix, fields[i].name);
  return true;
}

static bool
decode_rules (const DecodeContext *ctx, const Field *field, const json_t *value, void *target)
{
  PhUpstreamRulesSpec *rules = target;
  const char *version;
  json_t *limits;

  if (!json_is_object (value) || json_object_size (value) > (size_t)field->max)
    return reject_value (ctx, field->name, value, "an object of at most 8 versions");
  json_object_foreach ((json_t *)value, version, limits)
    {
      PhVersionRule *rule = &rules->versions[rules->version_count++];
      char prefix[sizeof "spec.versions.." + PH_VERSION_MAX];
      DecodeContext rule_ctx = *ctx;
      json_t *name;
      bool is_ok;

      if (!is_version (version))
        {
          name = json_string (version);
          is_ok = reject_value (ctx, field->name, name, "1 to 31 letters, digits and . _ + -");
          json_decref (name);
          return is_ok;
        }
      ph_text_copy (rule->version, sizeof rule->version, version);
      snprintf (prefix, sizeof prefix, "spec.versions.%s.", version);
      rule_ctx.field_prefix = prefix;
      if (!json_is_object (limits))
        return reject_value (&rule_ctx, "*", limits,
                             "an object with max_slots, cold_start_s as value of the version");
      if (!decode_fields (&rule_ctx, FIELDS (version_rule_fields), limits, (char *)rule))
        return false;
    }
  return true;
}

/* Sets kind and service or name from the path, and the defaults of optional fields. */
static void
init_spec (const PhObjectPath *parts, PhObject *object)
{
  char service[PH_NAME_MAX];

  /* The team and the name are limited to 31 bytes each, so that "team/service" fits. */
  snprintf (service, sizeof service, "%.31s/%.31s", parts->team, parts->name);
  memset (&object->spec, 0, sizeof object->spec);
  object->kind = parts->kind;
  switch (parts->kind)
    {
    case PH_OBJECT_SERVICE:
      ph_text_copy (object->spec.service.service, PH_NAME_MAX, service);
      ph_service_rules_default (&object->spec.service.rules);
      break;
    case PH_OBJECT_DATA_CENTRE:
      ph_text_copy (object->spec.data_centre.name, PH_NAME_MAX, parts->name);
      break;
    case PH_OBJECT_BUDGET:
      ph_text_copy (object->spec.budget.service, PH_NAME_MAX, service);
      break;
    case PH_OBJECT_UPSTREAM_RULES:
      ph_text_copy (object->spec.upstream_rules.service, PH_NAME_MAX, service);
      break;
    case PH_OBJECT_MOVE:
    case PH_OBJECT_ROUTES:
    case PH_OBJECT_KIND_COUNT:
      break;
    }
}

/* Checks the rules between the fields of a move. */
static bool
check_move (const DecodeContext *ctx, const PhMoveSpec *move, const json_t *spec)
{
  if (strcmp (move->from_version, move->to_version) == 0)
    return reject_value (ctx, "to", json_object_get (spec, "to"), "a version other than from");
  if (move->deadline_us <= move->start_us)
    return reject_value (ctx, "deadline", json_object_get (spec, "deadline"), "a time after start");
  return true;
}

/* Whether the nesting depth outside strings is allowed; the JSON parser recurses. */
static bool
is_depth_allowed (const char *text, size_t size)
{
  int depth = 0;
  bool is_string = false;

  for (size_t i = 0; i < size; i++)
    {
      if (is_string && text[i] == '\\')
        i++;
      else if (text[i] == '"')
        is_string = !is_string;
      else if (!is_string && (text[i] == '{' || text[i] == '['))
        depth++;
      else if (!is_string && (text[i] == '}' || text[i] == ']'))
        depth--;
      if (depth > PH_OBJECT_DEPTH_MAX)
        return false;
    }
  return true;
}

/* Checks "kind" and decodes "spec". */
static bool
decode_root (DecodeContext *ctx, const PhObjectPath *parts, const json_t *root, PhObject *object)
{
  /* Only the names are used, for the error. */
  static const Field root_fields[]
      = { { "kind", 0, 0, 0, FIELD_NAME, true }, { "spec", 0, 0, 0, FIELD_NAME, true } };
  const char *name;
  json_t *value;
  const json_t *spec;

  json_object_foreach ((json_t *)root, name, value)
    if (strcmp (name, "kind") != 0 && strcmp (name, "spec") != 0)
      return reject_unknown_field (ctx, name, FIELDS (root_fields));
  value = json_object_get (root, "kind");
  spec = json_object_get (root, "spec");
  if (value == NULL || spec == NULL)
    return ph_error_set (ctx->err, PH_ERROR_INVALID, PH_STEP_CONFIG, NULL, "%.120s: %s is missing",
                         ctx->path, value == NULL ? "kind" : "spec");
  name = json_string_value (value);
  if (name == NULL || strcmp (name, kinds[parts->kind].name) != 0)
    return reject_value (ctx, "kind", value, kinds[parts->kind].name);
  if (!json_is_object (spec))
    return reject_value (ctx, "spec", spec, "an object");
  init_spec (parts, object);
  ctx->field_prefix = "spec.";
  return decode_fields (ctx, kinds[parts->kind].fields, kinds[parts->kind].field_count, spec,
                        (char *)object)
         && (parts->kind != PH_OBJECT_MOVE || check_move (ctx, &object->spec.move, spec));
}

bool
ph_object_decode (void *user, const char *text, size_t size, PhObject *object, PhError *err)
{
  PhObjectPath parts = { 0 };
  PhObject decoded = *object;
  DecodeContext ctx = { object->path, parts.team, "", err };
  json_error_t failure;
  json_t *root;
  bool is_ok;

  (void)user;
  if (!ph_object_path_parse (object->path, &parts, err))
    return false;
  if (size > PH_OBJECT_TEXT_MAX)
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_CONFIG, NULL,
                         "%.120s: %zu bytes are not allowed; allowed: at most %u", object->path,
                         size, PH_OBJECT_TEXT_MAX);
  if (!is_depth_allowed (text, size))
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_CONFIG, NULL,
                         "%.120s: the JSON is nested too deeply; allowed: at most %d levels",
                         object->path, PH_OBJECT_DEPTH_MAX);
  root = json_loadb (text, size, JSON_REJECT_DUPLICATES, &failure);
  if (!json_is_object (root))
    {
      ph_error_set (err, PH_ERROR_INVALID, PH_STEP_CONFIG, NULL,
                    "%.120s: not a JSON object: line %d: %.100s", object->path,
                    root == NULL ? failure.line : 1, root == NULL ? failure.text : "another type");
      json_decref (root);
      return replace_unprintable (err);
    }
  is_ok = decode_root (&ctx, &parts, root, &decoded);
  json_decref (root);
  if (is_ok)
    *object = decoded;
  return is_ok;
}

static json_t *encode_rules (const PhUpstreamRulesSpec *rules);

static json_t *
encode_field (const Field *field, const void *source)
{
  char text[PH_WALL_TIME_TEXT_SIZE];

  switch (field->kind)
    {
    case FIELD_NUMBER:
      return json_integer (*(const uint32_t *)source);
    case FIELD_BOOL:
      return json_boolean (*(const bool *)source);
    case FIELD_NAME:
    case FIELD_VERSION:
    case FIELD_SERVICE:
      return json_string (source);
    case FIELD_TIME:
      ph_wall_time_format (*(const int64_t *)source, text);
      return json_string (text);
    case FIELD_RULES:
      return encode_rules (source);
    }
  return NULL;
}

/* Whether a field is omitted from the JSON: an optional name that is empty, or an optional
 * number below its minimum, which stands for "not set". */
static bool
is_unset (const Field *field, const void *source)
{
  if (field->is_required)
    return false;
  return field->kind == FIELD_NAME
             ? *(const char *)source == '\0'
             : field->kind == FIELD_NUMBER && *(const uint32_t *)source < field->min;
}

static json_t *
encode_fields (const Field *fields, size_t count, const char *record)
{
  json_t *spec = json_object ();

  for (size_t i = 0; i < count; i++)
    {
      const char *source = record + fields[i].offset;

      if (!is_unset (&fields[i], source)
          && json_object_set_new (spec, fields[i].name, encode_field (&fields[i], source)) != 0)
        {
          json_decref (spec);
          return NULL;
        }
    }
  return spec;
}

static json_t *
encode_rules (const PhUpstreamRulesSpec *rules)
{
  json_t *versions = json_object ();

  for (uint32_t i = 0; i < rules->version_count; i++)
    if (json_object_set_new (
            versions, rules->versions[i].version,
            encode_fields (FIELDS (version_rule_fields), (const char *)&rules->versions[i]))
        != 0)
      {
        json_decref (versions);
        return NULL;
      }
  return versions;
}

char *
ph_object_encode (const PhObject *object, PhError *err)
{
  json_t *spec = encode_fields (kinds[object->kind].fields, kinds[object->kind].field_count,
                                (const char *)object);
  json_t *root = json_pack ("{s:s, s:o}", "kind", kinds[object->kind].name, "spec", spec);
  char *text = root != NULL ? json_dumps (root, JSON_COMPACT) : NULL;

  json_decref (root);
  if (text == NULL)
    ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_CONFIG, NULL,
                  "%.120s: out of memory for the text of the object", object->path);
  return text;
}
