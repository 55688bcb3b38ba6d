#include "pollenhitch/world.h"
#include "pollenhitch/trace.h"

#include "pollenhitch/gossip.h"

#include <stdlib.h>
#include <string.h>

#define DATA_CENTRES_MAX 1024

/* Passes over the systems in one tick. More than one is needed because a system can make rows
 * pending for an earlier one: when admission refuses an attempt, its call goes back to the call
 * system. Rows that are still pending after the last pass are left to the next tick, which is due
 * at once. */
#define PASSES_MAX 8

typedef void (*PhTimerFunc) (PhContext *ctx, PhWorld *world, uint32_t handle);

static const PhTimerFunc timer_funcs[PH_TIMER_KIND_COUNT] = {
  [PH_TIMER_CALL] = ph_call_timer,
  [PH_TIMER_QUEUE] = ph_admission_queue_timer,
  [PH_TIMER_ANNOUNCE] = ph_upstream_announce_timer,
  [PH_TIMER_MEMBERSHIP_PERIOD] = ph_member_period_timer,
  [PH_TIMER_MEMBER_PROBE] = ph_member_probe_timer,
  [PH_TIMER_HELLO] = ph_member_hello_timer,
  [PH_TIMER_SUSPICION] = ph_member_suspicion_timer,
  [PH_TIMER_GOSSIP] = ph_gossip_timer,
  [PH_TIMER_UPSTREAM_PROBE] = ph_probe_timer,
  [PH_TIMER_MOVE] = ph_move_timer,
  [PH_TIMER_KEPT_DELETION] = ph_config_timer,
  [PH_TIMER_SUSPENSION] = ph_choice_suspend_timer,
  [PH_TIMER_SILENCE] = ph_silence_timer,
};

/* The systems, in the order in which each pass runs them. */
static void (*const systems[]) (PhContext *ctx, PhWorld *world) = {
  ph_call_system,
  ph_admission_system,
};

typedef struct
{
  PhTable *table;
  uint32_t row_size;
  uint32_t capacity;
} TableSize;

static uint32_t
or_default (uint32_t value, uint32_t fallback)
{
  return value != 0 ? value : fallback;
}

static bool
init_tables (PhWorld *world, const PhWorldOptions *opts, PhError *err)
{
  uint32_t calls = or_default (opts->call_capacity, PH_CALLS_DEFAULT);
  uint32_t upstreams = or_default (opts->upstream_capacity, PH_UPSTREAMS_DEFAULT);
  uint32_t services = or_default (opts->service_capacity, PH_SERVICES_DEFAULT);
  uint32_t objects = or_default (opts->object_capacity, PH_OBJECTS_DEFAULT);
  uint32_t routes = or_default (opts->route_capacity, PH_ROUTES_DEFAULT);
  const TableSize sizes[] = {
    { &world->data_centres, sizeof (PhDataCentre), DATA_CENTRES_MAX },
    { &world->services, sizeof (PhService), services },
    { &world->upstreams, sizeof (PhUpstream), upstreams },
    { &world->members, sizeof (PhMember), upstreams },
    { &world->calls, sizeof (PhCall), calls },
    { &world->attempts, sizeof (PhAttempt), calls * 2 },
    { &world->objects, sizeof (PhObjectRow), objects },
    { &world->moves, sizeof (PhMove), PH_MOVES_MAX },
    { &world->evidence, sizeof (PhEvidence), PH_EVIDENCE_MAX },
    { &world->routes, sizeof (PhRoute), routes },
    { &world->silence.rows, sizeof (PhSilenceRow), PH_SILENCE_ROWS_MAX },
    { &world->run_gates.rows, sizeof (PhRunGate), PH_RUN_GATES_MAX },
  };

  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    if (!ph_table_init (sizes[i].table, sizes[i].row_size, sizes[i].capacity, err))
      return false;
  return ph_chain_reports_init (world, err) && ph_queue_init (&world->pending_calls, calls, err)
         && ph_index_init (&world->service_index, services, err)
         && ph_index_init (&world->member_index, upstreams, err)
         && ph_index_init (&world->object_index, objects, err)
         && ph_index_init (&world->route_index, routes, err);
}

static const char *
or_empty (const char *text)
{
  return text != NULL ? text : "";
}

static bool
start_membership (PhContext *ctx, PhWorld *world, const PhWorldOptions *opts, PhError *err)
{
  PhMemberRecord self = { .epoch = opts->epoch,
                          .incarnation = 1,
                          .peer_port = opts->peer_port,
                          .control_port = opts->control_port };

  if (!ph_text_copy (self.name, sizeof self.name, or_empty (opts->name))
      || !ph_text_copy (self.address, sizeof self.address, or_empty (opts->address))
      || !ph_text_copy (self.data_centre, sizeof self.data_centre, opts->data_centre)
      || !ph_text_copy (self.region, sizeof self.region, or_empty (opts->region)))
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                         "name, data centre or region is over %d bytes, or the address over %d",
                         PH_NAME_MAX - 1, PH_ADDRESS_MAX - 1);
  return ph_member_start (ctx, world, &self, err);
}

PhWorld *
ph_world_new (PhContext *ctx, const PhWorldOptions *opts, const PhEffects *effects, PhError *err)
{
  PhWorld *world = calloc (1, sizeof *world);

  if (world == NULL)
    {
      ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_SETTINGS, NULL, "out of memory for the world");
      return NULL;
    }
  if (!init_tables (world, opts, err))
    goto fail;
  world->effects = *effects;
  world->decode = opts->decode;
  world->decode_user = opts->decode_user;
  world->choose = opts->choose != NULL ? opts->choose : ph_choose_power_of_two;
  world->choose_user = opts->choose_user;
  world->epoch = opts->epoch;
  world->fleet_attempts = opts->fleet_attempts;
  world->announce_ttl = opts->announce_ttl != 0 ? opts->announce_ttl : PH_ANNOUNCE_TTL;
  ph_text_copy (world->registration.service, sizeof world->registration.service,
                or_empty (opts->service));
  world->data_centre = ph_data_centre_intern (ctx, world, opts->data_centre, opts->region, err);
  if (world->data_centre.v == 0)
    goto fail;
  ph_admission_init (ctx, world);
  world->admission.policy.keeps_limit_on_errors = opts->keeps_limit_on_errors;
  world->admission.policy.shed_floor_fraction = opts->shed_floor_fraction;
  if (opts->adapt_limit != NULL)
    {
      world->admission.policy.adapt_limit = opts->adapt_limit;
      world->admission.policy.adapt_limit_user = opts->adapt_limit_user;
    }
  ph_probe_init (ctx, world);
  if (!start_membership (ctx, world, opts, err))
    goto fail;
  return world;

fail:
  ph_world_drop (ctx, world);
  return NULL;
}

static void
free_row_memory (PhWorld *world)
{
  PhServiceId service = { 0 };
  PhObjectId object = { 0 };

  while ((service = ph_service_next (&world->services, service)).v != 0)
    free (ph_service_get (&world->services, service)->upstreams);
  while ((object = ph_object_next (&world->objects, object)).v != 0)
    {
      free (ph_object_get (&world->objects, object)->text);
      free (ph_object_get (&world->objects, object)->rejection_text);
      free (ph_object_get (&world->objects, object)->kept_text);
    }
}

void
ph_world_drop (PhContext *ctx, PhWorld *world)
{
  (void)ctx;
  if (world == NULL)
    return;
  free_row_memory (world);
  ph_member_clear (world);
  ph_table_clear (&world->data_centres);
  ph_table_clear (&world->services);
  ph_table_clear (&world->upstreams);
  ph_table_clear (&world->members);
  ph_table_clear (&world->calls);
  ph_table_clear (&world->attempts);
  ph_table_clear (&world->objects);
  ph_table_clear (&world->moves);
  ph_table_clear (&world->evidence);
  ph_table_clear (&world->routes);
  ph_route_set_drop (world->route_set);
  ph_chain_reports_clear (world);
  ph_table_clear (&world->silence.rows);
  ph_table_clear (&world->run_gates.rows);
  ph_index_clear (&world->service_index);
  ph_index_clear (&world->member_index);
  ph_index_clear (&world->object_index);
  ph_index_clear (&world->route_index);
  ph_queue_clear (&world->pending_calls);
  ph_timer_clear (&world->timers);
  free (world);
}

static bool
has_pending_rows (const PhWorld *world)
{
  return world->pending_calls.count > 0 || world->admission.is_pending;
}

PhTime
ph_world_tick (PhContext *ctx, PhWorld *world)
{
  PhTimer timer;

  while (ph_timer_pop (&world->timers, ctx->now, &timer))
    timer_funcs[timer.kind](ctx, world, timer.handle);
  for (int pass = 0; pass < PASSES_MAX && has_pending_rows (world); pass++)
    for (size_t i = 0; i < sizeof systems / sizeof *systems; i++)
      systems[i](ctx, world);
  return has_pending_rows (world) ? ctx->now : ph_timer_next (&world->timers);
}

void
ph_world_stop (PhContext *ctx, PhWorld *world, PhTime ends_at)
{
  world->is_stopping = true;
  world->stop_ends_at = ends_at;
  ph_call_limit_deadlines (world, ends_at);
  ph_event_record (ctx, PH_EVENT_STOP, NULL, NULL, 0);
  ph_member_self_changed (ctx, world);
}

void
ph_world_limit_stop (PhWorld *world, PhTime ends_at)
{
  world->stop_ends_at = ends_at;
  ph_call_limit_deadlines (world, ends_at);
}

void
ph_world_refuse_callers (PhWorld *world)
{
  world->refuses_callers = true;
}

bool
ph_world_is_idle (const PhWorld *world)
{
  return world->calls.count == 0;
}
