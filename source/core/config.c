#include "pollenhitch/config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pollenhitch/deletion.h"
#include "pollenhitch/gossip.h"
#include "pollenhitch/invariant.h"
#include "pollenhitch/object.h"
#include "pollenhitch/revision.h"
#include "pollenhitch/trace.h"
#include "pollenhitch/world.h"

/* Objects in the gossip queue above which further ones are left to syncs, which send many in one
 * message. */
#define GOSSIP_QUEUE_MAX 32

static bool
path_matches (const void *user, uint32_t handle, const char *key)
{
  const PhWorld *world = user;

  return strcmp (ph_object_get (&world->objects, (PhObjectId){ handle })->path, key) == 0;
}

static PhObjectId
find_object (const PhWorld *world, const char *path)
{
  return (PhObjectId){ ph_index_find (&world->object_index, ph_hash (path), path_matches, world,
                                      path) };
}

PhObjectRow *
ph_config_find (const PhWorld *world, const char *path)
{
  return ph_object_get (&world->objects, find_object (world, path));
}

uint32_t
ph_config_left_out_count (const PhWorld *world)
{
  uint32_t count = world->route_set != NULL ? world->route_set->omission_count : 0;
  PhObjectId id = { 0 };

  while ((id = ph_object_next (&world->objects, id)).v != 0)
    count += ph_object_get (&world->objects, id)->is_rejected;
  return count;
}

static PhObjectId
intern_object (PhWorld *world, const char *path, PhError *err)
{
  PhObjectId id = find_object (world, path);
  PhObjectRow *row;

  if (id.v != 0)
    return id;
  if (strlen (path) >= PH_PATH_MAX)
    {
      ph_error_set (err, PH_ERROR_INVALID, PH_STEP_CONFIG, NULL, "path %.60s... is over %d bytes",
                    path, PH_PATH_MAX - 1);
      return id;
    }
  id = ph_object_add (&world->objects, &row);
  if (id.v == 0)
    {
      ph_error_set (err, PH_ERROR_FULL, PH_STEP_CONFIG, NULL, "table of objects is full");
      return id;
    }
  ph_text_copy (row->path, sizeof row->path, path);
  row->path_hash = ph_hash (path);
  ph_index_add (&world->object_index, row->path_hash, id.v);
  return id;
}

/* The valid object in force at a path, or NULL. */
static const PhObject *
find_in_force (const PhWorld *world, const char *path)
{
  const PhObjectRow *row = ph_config_find (world, path);

  return row != NULL && row->object.revision != 0 && !row->object.is_deleted ? &row->object : NULL;
}

static const PhObject *
find_service_object (const PhWorld *world, const char *service, const char *collection)
{
  int team_length = (int)strcspn (service, "/");
  char path[PH_PATH_MAX];

  if (service[team_length] == '\0')
    return NULL;
  snprintf (path, sizeof path, "/teams/%.*s/%s/%s", team_length, service, collection,
            service + team_length + 1);
  return find_in_force (world, path);
}

/* Sets a service's rules from its service, budget and upstream-rules objects. */
static void
set_service_rules (PhContext *ctx, PhWorld *world, const char *name)
{
  const PhObject *own = find_service_object (world, name, "services");
  const PhObject *budget = find_service_object (world, name, "budgets");
  const PhObject *upstream_rules = find_service_object (world, name, "upstream-rules");
  PhError err;
  PhService *service
      = ph_service_get (&world->services, ph_service_intern (ctx, world, name, &err));

  if (service == NULL)
    {
      ph_log_error (ctx, PH_LOG_ERROR, &err);
      return;
    }
  service->is_configured = own != NULL;
  if (own != NULL)
    service->rules = own->spec.service.rules;
  else
    ph_service_rules_default (&service->rules);
  if (budget != NULL)
    service->rules.probes_per_minute = budget->spec.budget.probes_per_minute;
  service->version_rule_count = 0;
  if (upstream_rules == NULL)
    return;
  service->version_rule_count = upstream_rules->spec.upstream_rules.version_count;
  memcpy (service->version_rules, upstream_rules->spec.upstream_rules.versions,
          sizeof service->version_rules);
}

/* Sets a data centre from the objects of all teams. */
static void
update_data_centre (PhContext *ctx, PhWorld *world, const char *name)
{
  PhObjectId id = { 0 };
  bool is_out = false;
  const char *region = NULL;
  uint64_t region_revision = 0;
  PhError err;
  PhDataCentreId dc_id;
  PhDataCentre *dc;

  while ((id = ph_object_next (&world->objects, id)).v != 0)
    {
      const PhObject *object = &ph_object_get (&world->objects, id)->object;
      const PhDataCentreSpec *spec = &object->spec.data_centre;

      if (object->revision == 0 || object->is_deleted || object->kind != PH_OBJECT_DATA_CENTRE
          || strcmp (spec->name, name) != 0)
        continue;
      is_out = is_out || spec->is_out_of_service;
      if (spec->region[0] != '\0' && object->revision > region_revision)
        {
          region = spec->region;
          region_revision = object->revision;
        }
    }
  dc_id = ph_data_centre_intern (ctx, world, name, region, &err);
  dc = ph_data_centre_get (&world->data_centres, dc_id);
  if (dc == NULL)
    {
      ph_log_error (ctx, PH_LOG_ERROR, &err);
      return;
    }
  if (dc->is_out_of_service != is_out)
    ph_event_record (ctx, is_out ? PH_EVENT_DATA_CENTRE_OUT : PH_EVENT_DATA_CENTRE_IN, NULL, name,
                     0);
  dc->is_out_of_service = is_out;
  ph_choice_data_centre_changed (ctx, world, dc_id);
}

/* Puts the object's set of routes in force, and logs what is left out of it. */
static void
apply_routes (PhContext *ctx, PhWorld *world, PhObject *object)
{
  const PhRouteSet *set = object->spec.routes;

  /* The deletion of the object is taken for an operator's mistake, so the routes in force remain.
   */
  if (object->is_deleted || set == NULL)
    return;
  ph_route_apply (ctx, world, object->spec.routes);
  object->spec.routes = NULL;
  for (uint32_t i = 0; i < set->omission_count; i++)
    ph_log (ctx, PH_LOG_WARNING, PH_STEP_CONFIG, NULL, "%s: %s: %s", object->path,
            ph_route_set_text (set, set->omissions[i].entry),
            ph_route_set_text (set, set->omissions[i].reason));
}

/* Puts an object or its deletion in force. The object is in its row already. */
static void
apply_object (PhContext *ctx, PhWorld *world, PhObject *object)
{
  switch (object->kind)
    {
    case PH_OBJECT_SERVICE:
      set_service_rules (ctx, world, object->spec.service.service);
      break;
    case PH_OBJECT_BUDGET:
      set_service_rules (ctx, world, object->spec.budget.service);
      break;
    case PH_OBJECT_UPSTREAM_RULES:
      set_service_rules (ctx, world, object->spec.upstream_rules.service);
      break;
    case PH_OBJECT_DATA_CENTRE:
      update_data_centre (ctx, world, object->spec.data_centre.name);
      break;
    case PH_OBJECT_MOVE:
      ph_move_config_changed (ctx, world, object);
      break;
    case PH_OBJECT_ROUTES:
      apply_routes (ctx, world, object);
      break;
    case PH_OBJECT_KIND_COUNT:
      break;
    }
}

/* Whether an object that was put in force is not in force as it is written. */
static bool
is_adjusted (const PhWorld *world, const PhObject *object)
{
  return object->kind == PH_OBJECT_ROUTES && !object->is_deleted
         && world->route_set->omission_count > 0;
}

/* Sets the row's text to a copy. Returns false when memory runs out. */
static bool
set_text (PhObjectRow *row, const char *text, size_t size)
{
  char *copy = NULL;

  if (text != NULL)
    {
      copy = malloc (size + 1);
      if (copy == NULL)
        return false;
      memcpy (copy, text, size);
      copy[size] = '\0';
    }
  free (row->text);
  row->text = copy;
  row->text_size = copy != NULL ? (uint32_t)size : 0;
  return true;
}

/* Adds the row's path, revision and deletion to the digest of its bucket by XOR, or removes them if
 * they are part of it. */
static void
toggle_digest (PhWorld *world, const PhObjectRow *row)
{
  uint64_t value = row->revision * 2 + (row->is_deleted ? 1 : 0);

  if (row->revision != 0)
    world->object_digests[row->path_hash % PH_SYNC_BUCKETS] ^= ph_hash_mix (row->path_hash, value);
}

uint64_t
ph_config_digest (const PhWorld *world)
{
  uint64_t digest = 0;

  for (int i = 0; i < PH_SYNC_BUCKETS; i++)
    digest ^= world->object_digests[i];
  return digest ^ ph_move_digest (world);
}

/* Sets the row to another revision, valid or not, and queues it for dissemination. */
static void
advance_revision (PhContext *ctx, PhWorld *world, PhObjectId id, uint64_t revision, bool is_deleted)
{
  PhObjectRow *row = ph_object_get (&world->objects, id);

  PH_INVARIANT (revision > row->revision
                || ph_revision_era (revision) != ph_revision_era (row->revision)
                || (revision == row->revision && is_deleted != row->is_deleted));
  toggle_digest (world, row);
  row->revision = revision;
  row->is_deleted = is_deleted;
  toggle_digest (world, row);
  if (revision > world->config_revision)
    world->config_revision = revision;
  if (world->membership.is_joined && world->membership.gossip_objects.count < GOSSIP_QUEUE_MAX)
    ph_gossip_queue_object (ctx, world, id);
}

/* The list that a path belongs to, or NULL. */
static PhConfigList *
find_list (PhWorld *world, const char *path)
{
  for (uint32_t i = 0; i < world->config_list_count; i++)
    if (strncmp (path, world->config_lists[i].prefix, strlen (world->config_lists[i].prefix)) == 0)
      return &world->config_lists[i];
  return NULL;
}

/* Leaves out a revision that fits in no message between nodes. Returns false. */
static bool
reject_too_large (PhContext *ctx, const char *path, uint64_t revision, size_t size, PhError *err)
{
  PhError invalid = { 0 };

  ph_error_set (&invalid, PH_ERROR_INVALID, PH_STEP_CONFIG, NULL,
                "%s: revision %llu is left out: %zu bytes are not allowed; allowed: at most %u",
                path, (unsigned long long)ph_revision_number (revision), size, PH_OBJECT_TEXT_MAX);
  ph_count (ctx, PH_COUNT_CONFIG_REJECTED, 1);
  ph_log_error (ctx, PH_LOG_WARNING, &invalid);
  if (err != NULL)
    *err = invalid;
  return false;
}

void
ph_config_learn_era (PhContext *ctx, PhWorld *world, uint64_t era)
{
  if (era <= world->store_era || era > PH_REVISION_ERA_MAX)
    return;
  /* A node without configuration only learns which era it begins in. */
  if (world->config_revision != 0)
    {
      world->store_era_number++;
      ph_count (ctx, PH_COUNT_STORE_ERAS, 1);
      ph_log (
          ctx, PH_LOG_WARNING, PH_STEP_STORE_READ, NULL,
          "the store is back from a copy: its era is %llu, was %llu; the configuration in force "
          "remains until it is read again",
          (unsigned long long)era, (unsigned long long)world->store_era);
    }
  world->store_era = era;
}

uint64_t
ph_config_newest (const PhWorld *world)
{
  uint64_t era_start = ph_revision_make (world->store_era, 0);

  return world->config_revision > era_start ? world->config_revision : era_start;
}

/* Reads the kind and the content version of a text. Returns false if it is invalid. */
static bool
read_text (const PhWorld *world, const char *path, const char *text, size_t size, PhObject *object)
{
  PhError err;

  *object = (PhObject){ 0 };
  ph_text_copy (object->path, sizeof object->path, path);
  if (text == NULL || !world->decode (world->decode_user, text, size, object, &err))
    return false;
  if (object->kind == PH_OBJECT_ROUTES)
    {
      ph_route_set_drop (object->spec.routes);
      object->spec.routes = NULL;
    }
  return true;
}

/* The content version of a text, 0 if it is invalid or names none. */
static uint64_t
read_content_version (const PhWorld *world, const char *path, const char *text, size_t size)
{
  PhObject object;

  return read_text (world, path, text, size, &object) ? object.content_version : 0;
}

/* Whether an object that came back stays deleted until it is written again. A move has no time
 * limit: it would begin again and change the version that calls go to. */
static bool
stays_deleted (const PhWorld *world, const char *path, const char *text, size_t size)
{
  PhObject object;

  return read_text (world, path, text, size, &object) && object.kind == PH_OBJECT_MOVE;
}

/* Whether a deletion or an object at the row's own revision replaces the other one: nodes agree on
 * a kept deletion, also those that did not know it, and later on its end. */
static bool
changes_kept_deletion (const PhContext *ctx,
                       const PhWorld *world,
                       const PhObjectRow *row,
                       const char *text,
                       size_t size)
{
  bool is_over = row->kept_until != 0 && ctx->now >= row->kept_until;

  if (ph_revision_era (row->revision) == 0 || (text == NULL) == row->is_deleted)
    return false;
  if (text == NULL)
    return !is_over;
  return is_over && !stays_deleted (world, row->path, text, size);
}

/* Whether a received revision replaces that of the row. */
static bool
is_newer (
    const PhWorld *world, const PhObjectRow *row, uint64_t revision, const char *text, size_t size)
{
  uint64_t held_version = row->object.is_deleted ? 0 : row->object.content_version;
  uint64_t version;

  if (row->revision == 0 || held_version == 0
      || ph_revision_era (revision) == ph_revision_era (row->revision))
    return revision > row->revision;
  version = read_content_version (world, row->path, text, size);
  return version != 0 && version != held_version ? version > held_version
                                                 : revision > row->revision;
}

/* Whether an object of an earlier era is kept although the newest list of the store was made later:
 * its writer still has time to write it again, or the store has it with older content. */
static bool
is_held (const PhContext *ctx, const PhConfigList *list, const PhObjectRow *row, uint64_t revision)
{
  return ph_revision_era (revision) < ph_revision_era (list->revision)
         && (ctx->now < list->held_until || row->last_list >= list->era_read_count);
}

/* Keeps the text of an object that stays deleted for PH_CONFIG_HOLD_TIME. Returns false when memory
 * runs out. */
static bool
keep_text (PhContext *ctx, PhWorld *world, PhObjectId id, const char *text, size_t size)
{
  PhObjectRow *row = ph_object_get (&world->objects, id);
  char *copy = text != NULL ? malloc (size + 1) : NULL;

  if (copy == NULL)
    return false;
  memcpy (copy, text, size);
  copy[size] = '\0';
  free (row->kept_text);
  row->kept_text = copy;
  row->kept_size = (uint32_t)size;
  row->kept_until = ctx->now + PH_CONFIG_HOLD_TIME;
  ph_timer_add (&world->timers, row->kept_until, PH_TIMER_KEPT_DELETION, id.v);
  return true;
}

/* Keeps the deletion of an object whose deletion the store has lost. The tombstone takes the
 * revision at which the object came back, so that it wins at the nodes that did not know it. */
static bool
keep_deletion (PhContext *ctx,
               PhWorld *world,
               PhObjectId id,
               uint64_t revision,
               const char *text,
               size_t size,
               PhError *err)
{
  PhObjectRow *row = ph_object_get (&world->objects, id);

  if (!keep_text (ctx, world, id, text, size))
    return ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_CONFIG, NULL, "out of memory for object %s",
                         row->path);
  advance_revision (ctx, world, id, revision, true);
  row->object.revision = revision;
  ph_count (ctx, PH_COUNT_STORE_KEPT_DELETIONS, 1);
  ph_log (ctx, PH_LOG_WARNING, PH_STEP_CONFIG, NULL,
          "%s: the store has lost its deletion: it stays deleted until it is written again%s",
          row->path, stays_deleted (world, row->path, text, size) ? "" : " or a minute has passed");
  return true;
}

/* Forgets the object that came back, if another revision takes its place. */
static void
forget_kept_text (PhObjectRow *row, uint64_t revision)
{
  if (revision == row->revision)
    return;
  free (row->kept_text);
  row->kept_text = NULL;
  row->kept_until = 0;
}

bool
ph_config_apply (PhContext *ctx,
                 PhWorld *world,
                 const char *path,
                 uint64_t revision,
                 const char *text,
                 size_t size,
                 PhError *err)
{
  PhObjectId id;
  PhObjectRow *row;
  const PhConfigList *list;
  PhObject object;
  PhError invalid = { 0 };
  bool is_tie;

  if (text != NULL && size > PH_OBJECT_TEXT_MAX)
    return reject_too_large (ctx, path, revision, size, err);
  ph_config_learn_era (ctx, world, ph_revision_era (revision));
  id = intern_object (world, path, err);
  row = ph_object_get (&world->objects, id);
  if (row == NULL)
    return false;
  is_tie = revision == row->revision && changes_kept_deletion (ctx, world, row, text, size);
  if (!is_tie && !is_newer (world, row, revision, text, size))
    return false;
  if (ph_deletion_is_lost (row, revision, text, size))
    return keep_deletion (ctx, world, id, revision, text, size, err);
  /* A list that the store made at the same or a higher revision did not contain this object, so it
   * was deleted. */
  list = find_list (world, path);
  if (!is_tie && list != NULL && revision <= list->revision && !is_held (ctx, list, row, revision))
    {
      text = NULL;
      revision = list->revision;
    }
  forget_kept_text (row, revision);
  if ((is_tie && text == NULL && !keep_text (ctx, world, id, row->text, row->text_size))
      || !set_text (row, text, size))
    return ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_CONFIG, NULL, "out of memory for object %s",
                         path);
  /* The deletion may be one that another node keeps: none other has the revision of an object. */
  if (text == NULL)
    row->kept_until = ctx->now + PH_CONFIG_HOLD_TIME;
  advance_revision (ctx, world, id, revision, text == NULL);
  ph_deletion_remember (row, revision, text, size);
  free (row->rejection_text);
  row->rejection_text = NULL;
  object = row->object;
  ph_text_copy (object.path, sizeof object.path, row->path);
  object.revision = revision;
  object.is_deleted = row->is_deleted;
  object.content_version = 0;
  row->is_rejected
      = text != NULL && !world->decode (world->decode_user, text, size, &object, &invalid);
  if (row->is_rejected)
    {
      row->rejection_text = strdup (invalid.text);
      ph_count (ctx, PH_COUNT_CONFIG_REJECTED, 1);
      ph_log_error (ctx, PH_LOG_WARNING, &invalid);
      if (err != NULL)
        *err = invalid;
      return true;
    }
  if (row->object.revision != 0 || !object.is_deleted)
    {
      PH_INVARIANT (object.revision > row->object.revision
                    || ph_revision_era (object.revision) != ph_revision_era (row->object.revision)
                    || (is_tie && object.revision == row->object.revision));
      row->object = object;
      apply_object (ctx, world, &row->object);
      ph_count (ctx, PH_COUNT_CONFIG_APPLIED, 1);
      ph_event_record (ctx, PH_EVENT_REVISION_IN_FORCE, NULL, path,
                       (int64_t)ph_revision_number (revision));
      ph_log (ctx, PH_LOG_INFO, PH_STEP_CONFIG, NULL, "%s: revision %llu %s%s", path,
              (unsigned long long)ph_revision_number (revision),
              row->is_deleted ? "deletes the object" : "is in force",
              is_adjusted (world, &row->object) ? ", but for what is left out or adjusted" : "");
    }
  if (world->effects.config_changed != NULL)
    world->effects.config_changed (world->effects.user, id);
  return true;
}

void
ph_config_mark_listed (PhWorld *world, const char *path)
{
  PhObjectRow *row = ph_config_find (world, path);
  const PhConfigList *list = find_list (world, path);

  if (row != NULL)
    row->last_list = (list != NULL ? list->read_count : 0) + 1;
}

static PhConfigList *
intern_list (PhWorld *world, const char *prefix)
{
  PhConfigList *list = find_list (world, prefix);

  if (list != NULL)
    return list;
  PH_INVARIANT (world->config_list_count < PH_CONFIG_LISTS_MAX);
  list = &world->config_lists[world->config_list_count++];
  ph_text_copy (list->prefix, sizeof list->prefix, prefix);
  return list;
}

/* Highest revision of the objects under a prefix that this node has. */
static uint64_t
highest_revision (const PhWorld *world, const char *prefix)
{
  PhObjectId id = { 0 };
  uint64_t revision = 0;

  while ((id = ph_object_next (&world->objects, id)).v != 0)
    {
      const PhObjectRow *row = ph_object_get (&world->objects, id);

      if (row->revision > revision && strncmp (row->path, prefix, strlen (prefix)) == 0)
        revision = row->revision;
    }
  return revision;
}

bool
ph_config_finish_list (PhContext *ctx, PhWorld *world, const char *prefix, uint64_t revision)
{
  PhConfigList *list = intern_list (world, prefix);
  PhObjectId id = { 0 };

  list->read_count++;
  if (revision < highest_revision (world, prefix))
    return false;
  if (ph_revision_era (revision) > ph_revision_era (list->revision))
    {
      list->held_until = ctx->now + PH_CONFIG_HOLD_TIME;
      list->era_read_count = list->read_count;
    }
  while ((id = ph_object_next (&world->objects, id)).v != 0)
    {
      const PhObjectRow *row = ph_object_get (&world->objects, id);

      if (!row->is_deleted && row->last_list != list->read_count
          && strncmp (row->path, prefix, strlen (prefix)) == 0
          && (ph_revision_era (row->revision) == ph_revision_era (revision)
              || ctx->now >= list->held_until))
        ph_config_apply (ctx, world, row->path, revision, NULL, 0, NULL);
    }
  if (revision > list->revision)
    list->revision = revision;
  return true;
}

/* Deletes the objects of a list that are of an earlier era and were not listed in this one. */
static void
end_hold (PhContext *ctx, PhWorld *world, PhConfigList *list)
{
  PhObjectId id = { 0 };

  list->held_until = 0;
  while ((id = ph_object_next (&world->objects, id)).v != 0)
    {
      const PhObjectRow *row = ph_object_get (&world->objects, id);

      if (row->is_deleted || row->last_list >= list->era_read_count
          || ph_revision_era (row->revision) >= ph_revision_era (list->revision)
          || strncmp (row->path, list->prefix, strlen (list->prefix)) != 0)
        continue;
      ph_log (ctx, PH_LOG_WARNING, PH_STEP_CONFIG, NULL,
              "%s: lost by the store and not written again for %lld s", row->path,
              (long long)(PH_CONFIG_HOLD_TIME / PH_SECOND));
      ph_config_apply (ctx, world, row->path, list->revision, NULL, 0, NULL);
    }
}

PhTime
ph_config_end_holds (PhContext *ctx, PhWorld *world)
{
  PhTime next = PH_TIME_NEVER;

  for (uint32_t i = 0; i < world->config_list_count; i++)
    {
      PhConfigList *list = &world->config_lists[i];

      if (list->held_until != 0 && ctx->now >= list->held_until)
        end_hold (ctx, world, list);
      if (list->held_until != 0 && list->held_until < next)
        next = list->held_until;
    }
  return next;
}

void
ph_config_timer (PhContext *ctx, PhWorld *world, uint32_t handle)
{
  PhObjectRow *row = ph_object_get (&world->objects, (PhObjectId){ handle });
  char *text;

  if (row == NULL || row->kept_text == NULL || ctx->now < row->kept_until)
    return;
  text = row->kept_text;
  row->kept_text = NULL;
  if (ph_config_apply (ctx, world, row->path, row->revision, text, row->kept_size, NULL))
    ph_log (
        ctx, PH_LOG_WARNING, PH_STEP_CONFIG, NULL,
        "%s: its deletion, which the store has lost, was not repeated for %lld s: the object is "
        "in force",
        row->path, (long long)(PH_CONFIG_HOLD_TIME / PH_SECOND));
  free (text);
}
