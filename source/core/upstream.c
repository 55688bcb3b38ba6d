#include "pollenhitch/upstream.h"

#include <stdlib.h>
#include <string.h>

#include "pollenhitch/trace.h"
#include "pollenhitch/world.h"

#define DEADLINE_MS_DEFAULT 10000
#define QUEUE_MS_DEFAULT 100
#define RETRY_PERCENT_DEFAULT 10
#define PROBES_PER_MINUTE_DEFAULT 60

static const char *const state_names[] = { "cold", "ready", "draining" };

const char *
ph_upstream_state_name (PhUpstreamState state)
{
  return state_names[state];
}

bool
ph_upstream_state_parse (const char *text, PhUpstreamState *state)
{
  for (unsigned i = 0; i < sizeof state_names / sizeof *state_names; i++)
    if (strcmp (text, state_names[i]) == 0)
      {
        *state = (PhUpstreamState)i;
        return true;
      }
  return false;
}

static bool
service_matches (const void *user, uint32_t handle, const char *key)
{
  const PhWorld *world = user;
  const PhService *service = ph_service_get (&world->services, (PhServiceId){ handle });

  return strcmp (service->name, key) == 0;
}

PhServiceId
ph_service_find (const PhWorld *world, const char *name)
{
  return (PhServiceId){ ph_index_find (&world->service_index, ph_hash (name), service_matches,
                                       world, name) };
}

static bool
is_service_name (const char *name)
{
  const char *slash = strchr (name, '/');

  return slash != NULL && slash != name && slash[1] != '\0' && strchr (slash + 1, '/') == NULL
         && strlen (name) < PH_NAME_MAX;
}

PhServiceId
ph_service_intern (PhContext *ctx, PhWorld *world, const char *name, PhError *err)
{
  PhServiceId id = ph_service_find (world, name);
  PhService *service;

  if (id.v != 0)
    return id;
  if (!is_service_name (name))
    {
      ph_error_set (err, PH_ERROR_INVALID, PH_STEP_CONFIG, NULL,
                    "service name \"%.80s\" is not of the form team/service, at most %d bytes",
                    name, PH_NAME_MAX - 1);
      return id;
    }
  id = ph_service_add (&world->services, &service);
  if (id.v == 0)
    {
      ph_error_set (err, PH_ERROR_FULL, PH_STEP_CONFIG, NULL, "table of services is full");
      return id;
    }
  ph_text_copy (service->name, sizeof service->name, name);
  service->name_hash = ph_hash (name);
  ph_service_rules_default (&service->rules);
  ph_retry_reset (&service->retry);
  if (world->fleet_attempts != 0)
    ph_retry_bound_fleet (&service->retry, world->fleet_attempts);
  service->choice_count = (uint32_t)ph_random_next (&ctx->random);
  ph_index_add (&world->service_index, service->name_hash, id.v);
  ph_route_configure_service (world, service);
  return id;
}

void
ph_service_rules_default (PhServiceRules *rules)
{
  *rules = (PhServiceRules){ .deadline_ms = DEADLINE_MS_DEFAULT,
                             .queue_ms = QUEUE_MS_DEFAULT,
                             .retry_percent = RETRY_PERCENT_DEFAULT,
                             .probes_per_minute = PROBES_PER_MINUTE_DEFAULT };
}

const PhVersionRule *
ph_service_version_rule (const PhService *service, const char *version)
{
  for (uint32_t i = 0; i < service->version_rule_count; i++)
    if (strcmp (service->version_rules[i].version, version) == 0)
      return &service->version_rules[i];
  return NULL;
}

PhDataCentreId
ph_data_centre_intern (
    PhContext *ctx, PhWorld *world, const char *name, const char *region, PhError *err)
{
  PhDataCentreId id = { 0 };
  PhDataCentre *dc;

  for (id = ph_data_centre_next (&world->data_centres, id); id.v != 0;
       id = ph_data_centre_next (&world->data_centres, id))
    {
      dc = ph_data_centre_get (&world->data_centres, id);
      if (strcmp (dc->name, name) != 0)
        continue;
      if (region != NULL && strcmp (dc->region, region) != 0)
        {
          ph_text_copy (dc->region, sizeof dc->region, region);
          ph_choice_data_centre_changed (ctx, world, id);
        }
      return id;
    }
  id = ph_data_centre_add (&world->data_centres, &dc);
  if (id.v == 0)
    {
      ph_error_set (err, PH_ERROR_FULL, PH_STEP_CONFIG, NULL, "table of data centres is full");
      return id;
    }
  if (!ph_text_copy (dc->name, sizeof dc->name, name)
      || (region != NULL && !ph_text_copy (dc->region, sizeof dc->region, region)))
    {
      ph_error_set (err, PH_ERROR_INVALID, PH_STEP_CONFIG, NULL,
                    "name of a data centre or region is over %d bytes", PH_NAME_MAX - 1);
      ph_data_centre_remove (&world->data_centres, id);
      return (PhDataCentreId){ 0 };
    }
  return id;
}

void
ph_upstream_drop (PhContext *ctx, PhWorld *world, PhUpstreamId id)
{
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  (void)ctx;
  if (upstream == NULL)
    return;
  ph_choice_remove (world, id);
  ph_upstream_remove (&world->upstreams, id);
}

static void
update_upstream (PhUpstream *upstream, const PhUpstreamOptions *opts)
{
  upstream->member = opts->member;
  upstream->data_centre = opts->data_centre;
  upstream->state = opts->state;
  upstream->is_local = opts->is_local;
  ph_text_copy (upstream->instance, sizeof upstream->instance,
                opts->instance != NULL ? opts->instance : "");
  upstream->epoch = opts->epoch;
  upstream->port = opts->port;
  upstream->slots = opts->slots;
  upstream->connections = opts->connections;
}

/* Allocates the list of upstreams of a service with its first one. */
static bool
reserve_upstreams (PhService *service)
{
  if (service->upstreams == NULL)
    service->upstreams = calloc (PH_SERVICE_UPSTREAMS_MAX, sizeof *service->upstreams);
  return service->upstreams != NULL;
}

static PhUpstreamId
add_upstream (PhContext *ctx,
              PhWorld *world,
              PhServiceId service_id,
              const PhUpstreamOptions *opts,
              PhError *err)
{
  PhService *service = ph_service_get (&world->services, service_id);
  PhUpstream *upstream;
  PhUpstreamId id = ph_upstream_add (&world->upstreams, &upstream);

  if (id.v == 0 || service->upstream_count == PH_SERVICE_UPSTREAMS_MAX
      || !reserve_upstreams (service))
    {
      ph_upstream_remove (&world->upstreams, id);
      ph_error_set (err, PH_ERROR_FULL, PH_STEP_ANNOUNCE, NULL,
                    "upstream not added: the table of upstreams is full, its service has the "
                    "maximum number, or memory has run out");
      return (PhUpstreamId){ 0 };
    }
  upstream->service = service_id;
  ph_text_copy (upstream->version, sizeof upstream->version, opts->version);
  update_upstream (upstream, opts);
  ph_choice_add (ctx, world, id);
  return id;
}

PhUpstreamId
ph_upstream_upsert (
    PhContext *ctx, PhWorld *world, PhUpstreamId id, const PhUpstreamOptions *opts, PhError *err)
{
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);
  PhServiceId service = ph_service_intern (ctx, world, opts->service, err);

  if (service.v == 0)
    return (PhUpstreamId){ 0 };
  if (strlen (opts->version) >= PH_VERSION_MAX)
    {
      ph_error_set (err, PH_ERROR_INVALID, PH_STEP_ANNOUNCE, NULL, "version is over %d bytes",
                    PH_VERSION_MAX - 1);
      return (PhUpstreamId){ 0 };
    }
  if (upstream != NULL
      && (upstream->service.v != service.v || upstream->epoch != opts->epoch
          || strcmp (upstream->version, opts->version) != 0))
    {
      ph_upstream_drop (ctx, world, id);
      upstream = NULL;
    }
  if (upstream == NULL)
    return add_upstream (ctx, world, service, opts, err);
  if (upstream->state != opts->state)
    upstream->is_withdrawn = false;
  update_upstream (upstream, opts);
  ph_choice_update_group (ctx, world, id);
  return id;
}

bool
ph_upstream_announce (PhContext *ctx, PhWorld *world, const PhUpstreamOptions *opts, PhError *err)
{
  PhAdmission *admission = &world->admission;
  PhUpstream *old = ph_upstream_get (&world->upstreams, admission->upstream);
  PhUpstreamOptions own = *opts;
  PhUpstreamId old_id = admission->upstream;
  PhUpstreamState old_state = old != NULL ? old->state : PH_UPSTREAM_COLD;
  uint32_t old_slots = old != NULL ? old->slots : 0;
  PhUpstreamId id;

  own.member = (PhMemberId){ 0 };
  own.is_local = true;
  own.epoch = opts->epoch != 0 ? opts->epoch : world->epoch;
  own.data_centre = world->data_centre;
  id = ph_upstream_upsert (ctx, world, admission->upstream, &own, err);
  if (id.v == 0)
    return false;
  admission->announcement_expires_at = ctx->now + world->announce_ttl;
  ph_timer_add (&world->timers, admission->announcement_expires_at, PH_TIMER_ANNOUNCE, id.v);
  if (id.v != admission->upstream.v
      || (own.state == PH_UPSTREAM_COLD && old_state != PH_UPSTREAM_COLD))
    {
      admission->upstream = id;
      ph_admission_reset (ctx, world);
      ph_member_self_changed (ctx, world);
    }
  else if (own.state != old_state || own.slots != old_slots)
    ph_member_self_changed (ctx, world);
  if (own.state != old_state || id.v != old_id.v)
    ph_event_record (ctx, PH_EVENT_UPSTREAM_STATE, own.service, state_names[own.state], own.slots);
  admission->is_pending = true;
  return true;
}

void
ph_upstream_withdraw (PhContext *ctx, PhWorld *world)
{
  PhAdmission *admission = &world->admission;

  ph_upstream_drop (ctx, world, admission->upstream);
  admission->upstream = (PhUpstreamId){ 0 };
  ph_admission_reset (ctx, world);
  ph_member_self_changed (ctx, world);
}

void
ph_upstream_announce_timer (PhContext *ctx, PhWorld *world, uint32_t handle)
{
  PhAdmission *admission = &world->admission;

  if (admission->upstream.v != handle || ctx->now < admission->announcement_expires_at)
    return;
  ph_log (ctx, PH_LOG_WARNING, PH_STEP_ANNOUNCE, NULL,
          "the announcement of the local upstream expired: no new calls");
  ph_upstream_withdraw (ctx, world);
}

void
ph_upstream_report_load (PhContext *ctx, PhWorld *world, PhUpstreamId id, const PhLoad *load)
{
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  if (upstream == NULL)
    return;
  upstream->load = *load;
  upstream->load_reported_at = ctx->now;
  ph_choice_load_reported (ctx, world, id);
}
