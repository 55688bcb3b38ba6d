#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/store.h"
#include "pollenhitch/object.h"
#include "pollenhitch/revision.h"
#include "pollenhitch/scan.h"

/* Native dialect of the store, for the protocol in docs/store-api.md. */

static bool
encode (void *user, const PhStoreCall *call, PhStoreRequest *request, PhError *err)
{
  char *target = request->target;
  size_t size = sizeof request->target;
  json_t *report;

  (void)user;
  request->method = "GET";
  request->field[0] = '\0';
  request->body = NULL;
  switch (call->action)
    {
    case PH_STORE_LIST:
      snprintf (target, size, "/v1/list?prefix=%s", call->path);
      return true;
    case PH_STORE_WATCH:
      snprintf (target, size, "/v1/watch?prefix=%s&after=%" PRIu64 "&wait_ms=%u", call->path,
                call->revision, call->wait_max_ms);
      return true;
    case PH_STORE_GET:
      snprintf (target, size, "/v1/objects%s", call->path);
      return true;
    case PH_STORE_CREATE:
      snprintf (request->field, sizeof request->field, "If-None-Match: *");
      request->body = strdup (call->text);
      break;
    case PH_STORE_REPLACE:
      snprintf (request->field, sizeof request->field, "If-Match: %" PRIu64, call->revision);
      request->body = strdup (call->text);
      break;
    case PH_STORE_REPORT:
      snprintf (request->field, sizeof request->field, "If-None-Match: *");
      report = json_pack ("{s:s, s:{s:s, s:s, s:I, s:i, s:i, s:b}}", "kind", "move-status", "spec",
                          "outcome", ph_move_outcome_name (call->outcome), "reason",
                          ph_move_reason_name (call->reason), "move_revision",
                          (json_int_t)ph_revision_number (call->move->revision), "stage",
                          (int)call->move->stage, "route", (int)call->move->route_bucket,
                          "decided_again", call->move->is_decided_again);
      request->body = json_dumps (report, JSON_COMPACT);
      json_decref (report);
      break;
    }
  request->method = "PUT";
  snprintf (target, size, "/v1/objects%s", call->path);
  if (request->body != NULL)
    return true;
  return ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_STORE_WRITE, NULL,
                       "out of memory for the body of a store call");
}

/* Text that entry gets for an object that cannot be decoded; it is rejected as invalid. */
#define UNREADABLE "null"

/* Value of a member of an item, or NULL if it is missing or cannot be decoded. */
static json_t *
load_member (PhJsonPart item, const char *name)
{
  PhJsonPart part;

  return ph_json_member (item, name, &part)
             ? json_loadb (part.text, part.size, JSON_DECODE_ANY, NULL)
             : NULL;
}

/* Passes one item of a list or watch to entry. Returns false for an item without a valid path and
 * revision. */
static bool
decode_entry (PhJsonPart item, PhStoreEntryFunc entry, void *entry_user)
{
  json_t *path = load_member (item, "path");
  json_t *revision = load_member (item, "revision");
  json_t *deleted = load_member (item, "deleted");
  json_t *object = load_member (item, "object");
  bool is_ok = json_is_string (path) && json_integer_value (revision) > 0;
  char *text = NULL;

  if (is_ok && !json_is_true (deleted))
    {
      text = object != NULL
                 ? json_dumps (object, JSON_COMPACT | JSON_PRESERVE_ORDER | JSON_ENCODE_ANY)
                 : NULL;
      entry (entry_user, json_string_value (path), (uint64_t)json_integer_value (revision),
             text != NULL ? text : UNREADABLE, strlen (text != NULL ? text : UNREADABLE));
    }
  else if (is_ok)
    entry (entry_user, json_string_value (path), (uint64_t)json_integer_value (revision), NULL, 0);
  free (text);
  json_decref (path);
  json_decref (revision);
  json_decref (deleted);
  json_decref (object);
  return is_ok;
}

static bool
decode_collection (const PhStoreCall *call,
                   const PhStoreResponse *response,
                   PhStoreEntryFunc entry,
                   void *entry_user,
                   PhStoreResult *result,
                   PhError *err)
{
  PhJsonPart body = { response->body, response->size };
  json_t *revision = load_member (body, "revision");
  bool is_ok = json_is_integer (revision);
  PhJsonPart items;
  PhJsonPart item;
  size_t offset = 0;

  result->revision = (uint64_t)json_integer_value (revision);
  json_decref (revision);
  if (!is_ok)
    return ph_error_set (err, PH_ERROR_PROTOCOL, PH_STEP_STORE_READ, NULL,
                         "%s: the store's response has no revision", call->path);
  ph_json_member (body, call->action == PH_STORE_LIST ? "objects" : "changes", &items);
  while (ph_json_next_element (items, &offset, &item))
    if (!decode_entry (item, entry, entry_user))
      result->skipped_count++;
  return true;
}

static bool
decode (void *user,
        const PhStoreCall *call,
        const PhStoreResponse *response,
        PhStoreEntryFunc entry,
        void *entry_user,
        PhStoreResult *result,
        PhError *err)
{
  bool is_collection = call->action == PH_STORE_LIST || call->action == PH_STORE_WATCH;

  (void)user;
  *result = (PhStoreResult){ .status = PH_STORE_OK };
  if (response->http_status == 404 && !is_collection)
    result->status = PH_STORE_NOT_FOUND;
  else if (response->http_status == 412)
    result->status = PH_STORE_CONFLICT;
  else if (response->http_status == 410)
    result->status = PH_STORE_GONE;
  else if (response->http_status != 200)
    return ph_error_set (err, PH_ERROR_PROTOCOL, PH_STEP_STORE_READ, NULL,
                         "%s: the store responded with status %d", call->path,
                         response->http_status);
  if (result->status != PH_STORE_OK)
    return true;
  if (is_collection)
    return decode_collection (call, response, entry, entry_user, result, err);
  if (response->revision_field != NULL)
    result->revision = strtoull (response->revision_field, NULL, 10);
  if (call->action == PH_STORE_GET)
    entry (entry_user, call->path, result->revision, response->body, response->size);
  return true;
}

static void
report_path (void *user, const PhMove *move, char *path)
{
  PhObjectPath parts;

  (void)user;
  path[0] = '\0';
  if (ph_object_path_parse (move->path, &parts, NULL))
    snprintf (path, PH_PATH_MAX, "/status/moves/%s/%s", parts.team, parts.name);
}

static bool
read_report (void *user, const char *text, size_t size, const PhMove *move, PhMoveOutcome *outcome)
{
  json_t *object = json_loadb (text, size, 0, NULL);
  json_t *spec = json_object_get (object, "spec");
  const char *name = json_string_value (json_object_get (spec, "outcome"));
  uint64_t revision = (uint64_t)json_integer_value (json_object_get (spec, "move_revision"));

  (void)user;
  /* The report of an earlier revision of the move stays in the store and does not apply. */
  *outcome = PH_MOVE_OPEN;
  if (name != NULL && revision == ph_revision_number (move->revision))
    *outcome = strcmp (name, ph_move_outcome_name (PH_MOVE_DONE)) == 0 ? PH_MOVE_DONE
                                                                       : PH_MOVE_ROLLED_BACK;
  json_decref (object);
  return true;
}

const PhStoreDialect *
ph_store_dialect_native (void)
{
  static const PhStoreDialect native = { .encode = encode,
                                         .decode = decode,
                                         .report_path = report_path,
                                         .read_report = read_report,
                                         .era_field = "Era",
                                         .prefixes = { "/teams/" },
                                         /* A change has to be in force everywhere within 6 s. */
                                         .renewal_intervals = { 4 * PH_SECOND } };

  return &native;
}
