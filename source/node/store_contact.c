#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/store_rows.h"

/* Contact objects: discovery of other nodes, and the contact object of the data centre. */

#define DISCOVERY_INTERVAL_MAX (10 * PH_SECOND)

/* A node that found no other node writes the contact object after a random delay of up to this
 * time, so that the other nodes of its data centre find the object that the first one wrote. */
#define FIRST_PUBLISH_JITTER (1200 * PH_MS)

#define KEY_DIGITS 16 /* hexadecimal digits of the key of a route */

/* Minimum time between two updates of a contact object by one node. */
#define PUBLISH_INTERVAL (10 * PH_SECOND)

/* Whether this node knows a data centre, but no live member of it. */
static bool
has_data_centre_without_members (const PhStore *store)
{
  const PhWorld *world = store->node->world;
  PhDataCentreId id = { 0 };
  PhMemberId first;

  while ((id = ph_data_centre_next (&world->data_centres, id)).v != 0)
    if (ph_member_ranked (world, ph_data_centre_get (&world->data_centres, id)->name, &first, 1)
        == 0)
      return true;
  return false;
}

/* Whether this node reads the contact objects once for the routes in them, although other nodes
 * have contacted it before it could read them. Only nodes without seeds do: they read them anyway,
 * except for those of a contact object when many nodes start together. */
static bool
needs_routes (const PhStore *store)
{
  return store->discovered_at == 0 && store->node->world->chain.is_enabled
         && (store->node->settings.seeds == NULL || store->node->settings.seeds[0] == '\0');
}

static bool
discover_is_needed (PhStoreJob *job)
{
  PhStore *store = job->store;
  bool is_needed = (store->node->world->membership.live_count < 2 || needs_routes (store)
                    || (store->state.is_watcher && has_data_centre_without_members (store)))
                   && ph_store_is_join_over (store);

  if (!is_needed)
    store->discovery_interval = PH_STORE_DISCOVERY_INTERVAL_MIN;
  return is_needed;
}

static bool
discover_start (PhStoreJob *job, PhError *err)
{
  /* Contact objects change rarely, so the first reads allow a stale response. Further ones, when
   * these found no other node, do not. */
  bool allows_stale = job->store->discovery_interval <= 2 * PH_STORE_DISCOVERY_INTERVAL_MIN;

  return ph_store_start_call (job,
                              &(PhStoreCall){ .action = PH_STORE_LIST,
                                              .path = PH_STORE_CONTACTS_PREFIX,
                                              .allows_stale = allows_stale },
                              PH_STORE_CALL_TIMEOUT, err);
}

static bool
is_known_address (const PhWorld *world, const char *address, long port)
{
  PhMemberId id = { 0 };

  while ((id = ph_member_next (&world->members, id)).v != 0)
    {
      const PhMemberRecord *record = &ph_member_get (&world->members, id)->record;

      if (record->state < PH_MEMBER_DEAD && record->control_port == port
          && strcmp (record->address, address) == 0)
        return true;
    }
  return false;
}

/* Adds the unknown nodes of a contact object as seeds. Nodes that start together may form separate
 * groups; a group discovers another one when it reads the contact object that the other wrote. */
static void
add_seeds_from_contact (PhStore *store, const json_t *object)
{
  PhNode *node = store->node;
  json_t *addresses = json_object_get (json_object_get (object, "spec"), "addresses");
  json_t *entry;
  size_t i;

  json_array_foreach (addresses, i, entry)
    {
      const char *text = json_string_value (entry);
      const char *colon = text != NULL ? strrchr (text, ':') : NULL;
      long port = colon != NULL ? strtol (colon + 1, NULL, 10) : 0;
      char address[PH_ADDRESS_MAX];

      if (port < 1 || port > UINT16_MAX || colon - text >= PH_ADDRESS_MAX)
        continue;
      snprintf (address, sizeof address, "%.*s", (int)(colon - text), text);
      if (is_known_address (node->world, address, port))
        continue;
      if (store->joined_at != 0)
        ph_log (&node->ctx, PH_LOG_INFO, PH_STEP_STORE_READ, text,
                "contact object lists an unknown node, which is added as a seed");
      ph_member_add_seed (&node->ctx, node->world, address, (uint16_t)port);
    }
}

/* Recalls the routes that a contact object names, by keys of 16 hexadecimal digits each. Anything
 * else is ignored. */
static void
recall_routes (PhStore *store, const json_t *object)
{
  PhNode *node = store->node;
  json_t *keys = json_object_get (json_object_get (object, "spec"), "deeper_routes");
  json_t *entry;
  size_t i;

  json_array_foreach (keys, i, entry)
    {
      const char *text = json_string_value (entry);

      if (i == PH_CHAIN_RECALLED_MAX)
        return;
      if (text != NULL && strlen (text) == KEY_DIGITS
          && strspn (text, "0123456789abcdef") == KEY_DIGITS)
        ph_chain_reports_recall (&node->ctx, node->world, strtoull (text, NULL, 16));
    }
}

static void
read_contact (PhStore *store, const json_t *object)
{
  add_seeds_from_contact (store, object);
  recall_routes (store, object);
}

static void
discover_entry (void *user, const char *path, uint64_t revision, const char *text, size_t size)
{
  PhStoreJob *job = user;
  json_t *object = text != NULL ? json_loadb (text, size, 0, NULL) : NULL;

  (void)path;
  (void)revision;
  read_contact (job->store, object);
  json_decref (object);
}

static bool
discover_finish (PhStoreJob *job, const PhStoreResult *result, PhError *err)
{
  PhStore *store = job->store;
  PhContext *ctx = &store->node->ctx;

  (void)result;
  (void)err;
  if (store->discovered_at == 0)
    {
      store->discovered_at = ctx->now;
      store->first_publish_at
          = ctx->now + ph_random_below (&ctx->random, (uint32_t)FIRST_PUBLISH_JITTER);
    }
  job->due_at = ctx->now + store->discovery_interval / 2
                + ph_random_below (&ctx->random, (uint32_t)store->discovery_interval);
  if (store->discovery_interval < DISCOVERY_INTERVAL_MAX)
    store->discovery_interval *= 2;
  return true;
}

const PhStoreJobFuncs ph_store_discover_funcs
    = { discover_is_needed, discover_start, discover_entry, discover_finish };

/* The keys of the routes that upstreams call, or NULL if there are none. */
static json_t *
format_deeper_routes (const PhWorld *world)
{
  uint64_t keys[PH_CHAIN_RECALLED_MAX];
  uint32_t count = ph_chain_reports_deeper (world, keys);
  json_t *array = count > 0 ? json_array () : NULL;

  for (uint32_t i = 0; i < count; i++)
    json_array_append_new (array, json_sprintf ("%016" PRIx64, keys[i]));
  return array;
}

char *
ph_store_format_contact (const PhStore *store, const PhMemberId *ids, uint32_t count)
{
  json_t *addresses = json_array ();
  json_t *object;
  char *text;

  for (uint32_t i = 0; i < count; i++)
    {
      const PhMemberRecord *record = &ph_member_get (&store->node->world->members, ids[i])->record;
      char address[PH_ADDRESS_MAX + 8];

      snprintf (address, sizeof address, "%s:%u", record->address, (unsigned)record->control_port);
      json_array_append_new (addresses, json_string (address));
    }
  object = json_pack ("{s:s, s:{s:s, s:o, s:o*}}", "kind", "contacts", "spec", "data_centre",
                      ph_store_data_centre (store), "addresses", addresses, "deeper_routes",
                      format_deeper_routes (store->node->world));
  text = json_dumps (object, JSON_COMPACT | JSON_SORT_KEYS);
  json_decref (object);
  return text;
}

static bool
publish_is_needed (PhStoreJob *job)
{
  PhStore *store = job->store;

  bool is_due = store->joined_at != 0 ? store->is_settled && ph_store_has_settled (store)
                                      : store->first_publish_at != 0
                                            && store->node->ctx.now >= store->first_publish_at;

  return store->state.is_watcher && is_due && store->contact_text != NULL
         && (store->published_text == NULL
             || strcmp (store->contact_text, store->published_text) != 0);
}

static bool
publish_start (PhStoreJob *job, PhError *err)
{
  PhStore *store = job->store;
  char path[PH_PATH_MAX];
  PhStoreCall call
      = { .path = path, .text = store->contact_text, .revision = store->contact_revision };

  snprintf (path, sizeof path, PH_STORE_CONTACTS_PREFIX "%s", ph_store_data_centre (store));
  call.action = !store->is_contact_read        ? PH_STORE_GET
                : store->contact_revision != 0 ? PH_STORE_REPLACE
                                               : PH_STORE_CREATE;
  return ph_store_start_call (job, &call, PH_STORE_CALL_TIMEOUT, err);
}

void
ph_store_set_published_text (PhStore *store, char *text)
{
  free (store->published_text);
  store->published_text = text;
}

/* Records that a write that the store had lost was repeated. */
void
ph_store_record_rewrite (PhStore *store, const char *path)
{
  ph_count (&store->node->ctx, PH_COUNT_STORE_REWRITES, 1);
  ph_log (&store->node->ctx, PH_LOG_INFO, PH_STEP_STORE_WRITE, store->node->settings.store,
          "%s: written again in era %llu of the store", path,
          (unsigned long long)store->node->world->store_era);
}

static void
publish_entry (void *user, const char *path, uint64_t revision, const char *text, size_t size)
{
  PhStoreJob *job = user;
  json_t *object = text != NULL ? json_loadb (text, size, 0, NULL) : NULL;

  (void)path;
  (void)revision;
  ph_store_set_published_text (
      job->store, object != NULL ? json_dumps (object, JSON_COMPACT | JSON_SORT_KEYS) : NULL);
  read_contact (job->store, object);
  json_decref (object);
}

static bool
publish_finish (PhStoreJob *job, const PhStoreResult *result, PhError *err)
{
  PhStore *store = job->store;

  (void)err;
  if (job->call.action == PH_STORE_GET)
    {
      store->is_contact_read = true;
      store->contact_revision = result->status == PH_STORE_OK ? result->revision : 0;
      /* Another node wrote the object first: allow time to join that node before replacing it. */
      if (result->status == PH_STORE_OK && store->joined_at == 0
          && store->node->ctx.now < store->started_at + PH_STORE_ALONE_TIMEOUT)
        {
          store->is_contact_read = false;
          job->due_at = store->started_at + PH_STORE_ALONE_TIMEOUT;
        }
      return true;
    }
  /* After a conflict the object that the other watcher wrote is read before the next write. */
  store->is_contact_read = false;
  job->due_at = store->node->ctx.now + PH_STORE_IDLE_INTERVAL;
  if (result->status == PH_STORE_OK)
    {
      job->due_at = store->node->ctx.now + PUBLISH_INTERVAL;
      ph_store_set_published_text (store, strdup (store->contact_text));
      if (store->is_contact_lost)
        ph_store_record_rewrite (store, job->path);
      store->is_contact_lost = false;
    }
  return true;
}

const PhStoreJobFuncs ph_store_publish_funcs
    = { publish_is_needed, publish_start, publish_entry, publish_finish };
