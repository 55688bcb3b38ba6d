#include "pollenhitch/registration.h"

#include <string.h>

#include "pollenhitch/trace.h"
#include "pollenhitch/world.h"

/* Heartbeats that confirm an instance without a health check, so that a wrong health check cannot
 * exclude a good upstream. */
#define HEARTBEATS_TO_CONFIRM 3

static bool
has_departed (const PhRegistration *reg, const char *instance, uint64_t start_wall_ms)
{
  uint32_t count = reg->departed_count < PH_REGISTRATION_DEPARTED_MAX
                       ? reg->departed_count
                       : PH_REGISTRATION_DEPARTED_MAX;

  for (uint32_t i = 0; i < count; i++)
    if (strcmp (reg->departed[i].instance, instance) == 0
        && start_wall_ms <= reg->departed[i].start_wall_ms)
      return true;
  return false;
}

static void
record_departure (PhRegistration *reg, const char *instance, uint64_t start_wall_ms)
{
  PhDepartedInstance *departed = &reg->departed[reg->departed_count % PH_REGISTRATION_DEPARTED_MAX];

  if (has_departed (reg, instance, start_wall_ms))
    return;
  ph_text_copy (departed->instance, sizeof departed->instance, instance);
  departed->start_wall_ms = start_wall_ms;
  reg->departed_count++;
}

static bool
is_same_instance (const PhRegistration *reg, const PhHeartbeat *heartbeat)
{
  return reg->heartbeat_count > 0 && heartbeat->start_wall_ms == reg->start_wall_ms
         && strcmp (heartbeat->instance, reg->instance) == 0;
}

static bool
is_stale (const PhRegistration *reg, const PhHeartbeat *heartbeat)
{
  if (has_departed (reg, heartbeat->instance, heartbeat->start_wall_ms))
    return true;
  if (is_same_instance (reg, heartbeat))
    return heartbeat->sequence <= reg->sequence;
  return reg->heartbeat_count > 0 && heartbeat->start_wall_ms < reg->start_wall_ms;
}

/* Begins the registration of an instance that is not registered. */
static void
begin_instance (PhContext *ctx, PhWorld *world, const PhHeartbeat *heartbeat)
{
  PhRegistration *reg = &world->registration;
  bool is_first = reg->heartbeat_count == 0;

  ph_text_copy (reg->instance, sizeof reg->instance, heartbeat->instance);
  reg->start_wall_ms = heartbeat->start_wall_ms;
  reg->heartbeat_count = 0;
  reg->is_draining = false;
  /* An earlier instance registered with this process, so this one is new: the previous process of
   * the node cannot have recorded its departure. */
  reg->is_confirmed = !is_first;
  if (is_first)
    ph_probe_request (ctx, world);
  ph_log (ctx, PH_LOG_INFO, PH_STEP_ANNOUNCE, heartbeat->instance,
          "the local upstream registers: service %s, version %s, slots: %u, cold for %lld ms",
          heartbeat->service, heartbeat->version, heartbeat->slots,
          (long long)(heartbeat->cold_time_left / PH_MS));
}

static bool
announce_upstream (PhContext *ctx, PhWorld *world, const PhHeartbeat *heartbeat, PhError *err)
{
  const PhRegistration *reg = &world->registration;
  const PhService *service
      = ph_service_get (&world->services, ph_service_find (world, heartbeat->service));
  uint32_t connections = service != NULL ? service->rules.connections_max : 0;
  PhUpstreamOptions opts
      = { .service = heartbeat->service,
          .version = heartbeat->version,
          .state = reg->is_draining ? PH_UPSTREAM_DRAINING : PH_UPSTREAM_READY,
          .epoch = ph_hash_mix (ph_hash (heartbeat->instance), heartbeat->start_wall_ms) | 1,
          .instance = heartbeat->instance,
          .port = heartbeat->port,
          .slots = heartbeat->slots,
          .connections = connections };

  if (!ph_upstream_announce (ctx, world, &opts, err))
    return false;
  ph_admission_report_cold (ctx, world, heartbeat->cold_time_left);
  return true;
}

/* Lets calls be admitted and announces the upstream to the other nodes. */
static void
confirm (PhContext *ctx, PhWorld *world, const char *by)
{
  PhRegistration *reg = &world->registration;

  if (reg->is_confirmed)
    return;
  reg->is_confirmed = true;
  world->admission.is_pending = true;
  ph_log (ctx, PH_LOG_INFO, PH_STEP_ANNOUNCE, reg->instance,
          "the local upstream is confirmed by %s: calls are admitted", by);
  ph_member_self_changed (ctx, world);
}

PhHeartbeatResult
ph_registration_apply_heartbeat (PhContext *ctx,
                                 PhWorld *world,
                                 const PhHeartbeat *heartbeat,
                                 PhError *err)
{
  PhRegistration *reg = &world->registration;

  if (reg->service[0] != '\0' && strcmp (reg->service, heartbeat->service) != 0)
    {
      ph_error_set (err, PH_ERROR_INVALID, PH_STEP_ANNOUNCE, heartbeat->instance,
                    "service %s is not the service of this node, %s", heartbeat->service,
                    reg->service);
      return PH_HEARTBEAT_REFUSED;
    }
  if (is_stale (reg, heartbeat))
    return PH_HEARTBEAT_STALE;
  if (!is_same_instance (reg, heartbeat))
    begin_instance (ctx, world, heartbeat);
  reg->sequence = heartbeat->sequence;
  reg->heartbeat_count++;
  if (reg->heartbeat_count >= HEARTBEATS_TO_CONFIRM)
    confirm (ctx, world, "its heartbeats");
  if (heartbeat->is_draining && !reg->is_draining)
    ph_log (ctx, PH_LOG_INFO, PH_STEP_ANNOUNCE, heartbeat->instance,
            "the local upstream reported that it is draining: no new calls");
  /* An instance that is draining does not become ready again. */
  reg->is_draining = reg->is_draining || heartbeat->is_draining;
  return announce_upstream (ctx, world, heartbeat, err) ? PH_HEARTBEAT_ACCEPTED
                                                        : PH_HEARTBEAT_REFUSED;
}

void
ph_registration_leave (PhContext *ctx, PhWorld *world, const char *instance)
{
  PhRegistration *reg = &world->registration;
  bool is_current = reg->heartbeat_count > 0 && strcmp (reg->instance, instance) == 0;

  record_departure (reg, instance,
                    is_current ? reg->start_wall_ms : (uint64_t)(ctx->wall_us / PH_MS));
  if (!is_current)
    return;
  ph_log (ctx, PH_LOG_INFO, PH_STEP_ANNOUNCE, instance,
          "the local upstream has left: no new calls");
  reg->is_draining = true;
  ph_upstream_withdraw (ctx, world);
}

void
ph_registration_apply_health (PhContext *ctx, PhWorld *world, const PhHealth *health)
{
  PhRegistration *reg = &world->registration;

  if (health->is_healthy && health->instance != NULL
      && strcmp (health->instance, reg->instance) == 0)
    confirm (ctx, world, "a health check");
  if (health->slowdown_percent != 0)
    ph_admission_report_slowdown (ctx, world, health->slowdown_percent);
  if (health->is_healthy && health->cold_time_left >= 0)
    ph_admission_report_cold (ctx, world, health->cold_time_left);
}

bool
ph_registration_admits_calls (const PhWorld *world)
{
  const PhRegistration *reg = &world->registration;

  return reg->heartbeat_count == 0 || reg->is_confirmed;
}
