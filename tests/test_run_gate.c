#include <math.h>
#include <stdio.h>

#include "bed.h"
#include "fixture.h"
#include "test.h"

/* Replays of one node and its upstream, whose runs call another service through the node: when the
 * gates of its routes close and open, and which runs are started meanwhile. */

#define SEEDS 100
#define DEEPER_SERVICE "cascade/ledger"
#define DEEPER_UPSTREAMS 6
#define WORK (160 * PH_MS)
#define DEEPER_WORK (40 * PH_MS)
#define RUN_TIME_LEFT (2 * PH_SECOND)
#define DEEPER_TIME_LEFT (500 * PH_MS)
#define LEARN_TIME (120 * PH_SECOND)
#define LEARN_RUNS_PER_S 5.0 /* at most, while the node learns */
#define AFTER_TIME (3 * PH_SECOND)
#define ROUTES_MAX 2
#define RUNS_MAX 256
#define STARTS_MAX 4096
#define STARTS_PER_S 2 /* of a route whose gate is closed */
#define REOPENED_MIN (SEEDS * 90 / 100)

typedef enum
{
  TROUBLE_NONE,
  TROUBLE_NO_UPSTREAM, /* no upstream of the deeper service can be chosen */
  TROUBLE_SHED_ALL,    /* its upstreams shed all that arrives */
  TROUBLE_SHED_55      /* they shed 55 of 100 */
} Trouble;

typedef struct
{
  double runs_per_s;
  double calling_share; /* of the runs, that make deeper calls */
  uint32_t call_count;  /* of these, at the same time */
  double error_share;   /* of the runs with a refused call, that fail for it */
  double own_failures;  /* share of the runs that fail by themselves */
  uint32_t priority;
} RouteLoad;

/* What the gate of a route is to do while the trouble lasts. */
typedef enum
{
  GATE_OPEN,         /* never closes */
  GATE_CLOSES,       /* closes in the first second */
  GATE_CLOSES_LATER, /* it should close in the first second, see KNOWN-RED.txt */
  GATE_LEARNS,       /* closes, later than in the first second: the node was restarted */
  GATE_TRIES /* closes at most twice: it turns out that runs succeed in spite of refused calls */
} GateState;

typedef struct
{
  const char *name;
  PhTime trouble_time;
  Trouble trouble;
  bool is_restarted; /* the node has learned nothing when the trouble begins */
  RouteLoad routes[ROUTES_MAX];
  GateState gates[ROUTES_MAX];
} GateCase;

typedef enum
{
  EVENT_ARRIVE,     /* a call of a route; the handle is its index */
  EVENT_MAKE_CALLS, /* a run makes its deeper calls */
  EVENT_END_RUN,
  EVENT_RESPOND, /* an attempt at the deeper service ends */
  EVENT_SHED,
  EVENT_ANNOUNCE
} EventKind;

typedef struct
{
  PhAttemptId attempt;
  uint32_t route;
  uint32_t open_calls;
  bool is_used;
  bool is_refused; /* one of its calls */
} Run;

/* Counts of one route from the beginning of the trouble on. */
typedef struct
{
  PhTime starts[STARTS_MAX];
  uint32_t start_count;
  uint32_t failed_count;
  uint32_t probe_count;   /* started although the gates of all routes were closed */
  uint32_t refused_count; /* reason dependency */
  PhTime closed_at;       /* 0 before the first time */
  uint32_t closing_count;
  PhTime open_since; /* 0 while it is closed */
} RouteResult;

typedef struct
{
  const GateCase *c;
  PhContext ctx;
  PhWorld *world;
  PhTimerHeap events;
  PhUpstreamId deeper_upstreams[DEEPER_UPSTREAMS];
  Run runs[RUNS_MAX];
  bool is_learning;
  bool is_troubled;
  RouteResult results[ROUTES_MAX];
  RouteResult probes; /* runs of all routes that were started although their gate was closed */
} Replay;

static bool
draw (Replay *r, double probability)
{
  return ph_random_unit (&r->ctx.random) < probability;
}

static void
add_event (Replay *r, PhTime delay, EventKind kind, uint32_t handle)
{
  if (!ph_timer_add (&r->events, r->ctx.now + delay, (uint32_t)kind, handle))
    abort ();
}

static void
schedule_arrival (Replay *r, uint32_t route)
{
  double rate = r->c->routes[route].runs_per_s;
  double mean = PH_SECOND / (r->is_learning ? fmin (rate, LEARN_RUNS_PER_S) : rate);

  add_event (r, 1 + (PhTime)(-log (1 - ph_random_unit (&r->ctx.random)) * mean), EVENT_ARRIVE,
             route);
}

static void
open_run_call (Replay *r, uint32_t route)
{
  const PhCallOptions opts = { .service = BED_SERVICE,
                               .origin = PH_ORIGIN_PEER,
                               .upstream_epoch = 1,
                               .time_left = RUN_TIME_LEFT,
                               .priority = r->c->routes[route].priority,
                               .route_key = route + 1,
                               .user = (void *)(uintptr_t)(route + 1) };
  PhRefusal refusal;

  ph_call_open (&r->ctx, r->world, &opts, &refusal);
}

static bool
is_gate_closed (const Replay *r, uint32_t route)
{
  PhRunGateId id = { 0 };

  while ((id = ph_run_gate_next (&r->world->run_gates.rows, id)).v != 0)
    if (ph_run_gate_get (&r->world->run_gates.rows, id)->route_key == route + 1)
      return ph_run_gate_get (&r->world->run_gates.rows, id)->is_closed;
  return false;
}

static void
begin_run (Replay *r, PhAttemptId attempt, uint32_t route)
{
  const RouteLoad *load = &r->c->routes[route];
  RouteResult *result = &r->results[route];
  uint32_t i = 0;

  while (i < RUNS_MAX && r->runs[i].is_used)
    i++;
  if (i == RUNS_MAX || result->start_count == STARTS_MAX)
    abort ();
  if (r->is_troubled)
    result->starts[result->start_count++] = r->ctx.now;
  if (is_gate_closed (r, route))
    {
      result->probe_count += is_gate_closed (r, 0) && is_gate_closed (r, 1);
      r->probes.starts[r->probes.start_count++] = r->ctx.now;
    }
  r->runs[i] = (Run){ .attempt = attempt, .route = route, .is_used = true };
  if (draw (r, load->calling_share))
    add_event (r, WORK / 2, EVENT_MAKE_CALLS, i);
  else
    add_event (r, WORK, EVENT_END_RUN, i);
}

static void
on_start (void *user, PhAttemptId id)
{
  Replay *r = user;
  const PhAttempt *attempt = ph_attempt_get (&r->world->attempts, id);
  const PhCall *call = ph_call_get (&r->world->calls, attempt->call);
  double shed = r->c->trouble == TROUBLE_SHED_ALL ? 1 : r->c->trouble == TROUBLE_SHED_55 ? 0.55 : 0;

  if (attempt->is_local)
    begin_run (r, id, (uint32_t)(uintptr_t)call->user - 1);
  else if (r->is_troubled && draw (r, shed))
    add_event (r, 2 * PH_MS, EVENT_SHED, id.v);
  else
    add_event (r, DEEPER_WORK, EVENT_RESPOND, id.v);
}

static void
on_cancel (void *user, PhAttemptId id)
{
  (void)user;
  (void)id;
}

/* A deeper call of a run has ended. After the last one the run goes on, or fails. */
static void
end_deeper_call (Replay *r, uint32_t run, bool is_refused)
{
  r->runs[run].is_refused = r->runs[run].is_refused || is_refused;
  if (--r->runs[run].open_calls == 0)
    add_event (r, r->runs[run].is_refused ? PH_MS : WORK / 2, EVENT_END_RUN, run);
}

static void
on_refuse (void *user, PhCallId id, const PhRefusal *refusal)
{
  Replay *r = user;
  const PhCall *call = ph_call_get (&r->world->calls, id);
  uint32_t index = (uint32_t)(uintptr_t)call->user - 1;

  if (call->origin == PH_ORIGIN_CALLER)
    {
      end_deeper_call (r, index, true);
      return;
    }
  if (refusal->reason == PH_REASON_DEPENDENCY)
    {
      CU_ASSERT_EQUAL (refusal->run, PH_RUN_NO);
      CU_ASSERT_EQUAL (refusal->status, 503);
      CU_ASSERT_TRUE (refusal->retry_after > 0);
      r->results[index].refused_count++;
    }
}

static void
make_deeper_calls (Replay *r, uint32_t run)
{
  uint32_t count = r->c->routes[r->runs[run].route].call_count;
  const PhCallOptions opts = { .service = DEEPER_SERVICE,
                               .origin = PH_ORIGIN_CALLER,
                               .is_idempotent = true,
                               .can_resend = true,
                               .depth = 1,
                               .attempts_max = 2,
                               .time_left = DEEPER_TIME_LEFT,
                               .user = (void *)(uintptr_t)(run + 1) };
  PhRefusal refusal;

  r->runs[run].open_calls = count;
  for (uint32_t i = 0; i < count; i++)
    if (ph_call_open (&r->ctx, r->world, &opts, &refusal).v == 0)
      end_deeper_call (r, run, true);
}

static void
end_run (Replay *r, uint32_t index)
{
  Run *run = &r->runs[index];
  const RouteLoad *load = &r->c->routes[run->route];
  bool is_failed = (run->is_refused && draw (r, load->error_share)) || draw (r, load->own_failures);

  r->results[run->route].failed_count += is_failed && r->is_troubled;
  run->is_used = false;
  if (ph_attempt_get (&r->world->attempts, run->attempt) != NULL)
    bed_end_attempt (&r->ctx, r->world, run->attempt, is_failed ? PH_OUTCOME_ERROR : PH_OUTCOME_OK);
}

static void
end_deeper_attempt (Replay *r, PhAttemptId id)
{
  const PhAttempt *attempt = ph_attempt_get (&r->world->attempts, id);
  const PhCall *call = attempt != NULL ? ph_call_get (&r->world->calls, attempt->call) : NULL;
  uint32_t run;

  if (call == NULL)
    return;
  run = (uint32_t)(uintptr_t)call->user - 1;
  if (!ph_attempt_response (&r->ctx, r->world, id))
    return;
  ph_attempt_finish (&r->ctx, r->world, id, true);
  end_deeper_call (r, run, false);
}

static void
handle_event (Replay *r, const PhTimer *event)
{
  switch ((EventKind)event->kind)
    {
    case EVENT_ARRIVE:
      open_run_call (r, event->handle);
      schedule_arrival (r, event->handle);
      break;
    case EVENT_MAKE_CALLS:
      make_deeper_calls (r, event->handle);
      break;
    case EVENT_END_RUN:
      end_run (r, event->handle);
      break;
    case EVENT_RESPOND:
      end_deeper_attempt (r, (PhAttemptId){ event->handle });
      break;
    case EVENT_SHED:
      ph_attempt_fail (&r->ctx, r->world, (PhAttemptId){ event->handle }, PH_RUN_NO,
                       PH_REASON_SHED);
      break;
    case EVENT_ANNOUNCE:
      bed_announce (&r->ctx, r->world, PH_UPSTREAM_READY, "1", 40);
      add_event (r, PH_SECOND, EVENT_ANNOUNCE, 0);
      break;
    }
}

static void
watch_gates (Replay *r)
{
  for (uint32_t i = 0; i < ROUTES_MAX; i++)
    {
      RouteResult *result = &r->results[i];
      bool is_closed = is_gate_closed (r, i);

      if (is_closed && result->open_since != 0)
        {
          result->open_since = 0;
          result->closing_count++;
          if (result->closed_at == 0)
            result->closed_at = r->ctx.now;
        }
      else if (!is_closed && result->open_since == 0)
        result->open_since = r->ctx.now;
    }
}

static void
run_until (Replay *r, PhTime end)
{
  PhTime tick_at = r->ctx.now;
  PhTimer event;

  while (r->ctx.now < end)
    {
      PhTime next = ph_timer_next (&r->events);

      r->ctx.now = next < tick_at ? next : tick_at;
      if (r->ctx.now > end)
        r->ctx.now = end;
      while (ph_timer_pop (&r->events, r->ctx.now, &event))
        handle_event (r, &event);
      tick_at = ph_world_tick (&r->ctx, r->world);
      watch_gates (r);
    }
}

/* Adds the upstreams of the deeper service, or makes all of them leave. */
static void
set_deeper_state (Replay *r, PhUpstreamState state)
{
  for (uint32_t i = 0; i < DEEPER_UPSTREAMS; i++)
    {
      const PhUpstreamOptions opts = { .service = DEEPER_SERVICE,
                                       .version = "1",
                                       .state = state,
                                       .data_centre = r->world->data_centre,
                                       .epoch = 1,
                                       .slots = 100 };

      r->deeper_upstreams[i]
          = ph_upstream_upsert (&r->ctx, r->world, r->deeper_upstreams[i], &opts, NULL);
    }
}

static void
start_replay (Replay *r, const GateCase *c, uint64_t seed, bool is_gating)
{
  const PhEffects effects = {
    .start_attempt = on_start, .cancel_attempt = on_cancel, .refuse_call = on_refuse, .user = r
  };

  *r = (Replay){ .c = c, .ctx.now = PH_SECOND };
  ph_random_seed (&r->ctx.random, seed);
  r->world = bed_world_new (&r->ctx, &effects, "kamloops", 40);
  r->world->admission.cold_start.is_cold = false;
  r->world->admission.policy.adapt_limit = ph_limit_fixed;
  r->world->admission.policy.keeps_limit_on_errors = true;
  ph_service_get (&r->world->services, ph_service_intern (&r->ctx, r->world, DEEPER_SERVICE, NULL))
      ->is_configured
      = true;
  set_deeper_state (r, PH_UPSTREAM_READY);
  ph_chain_set_enabled (r->world, true);
  ph_run_gate_set_enabled (r->world, is_gating);
  add_event (r, PH_SECOND, EVENT_ANNOUNCE, 0);
  for (uint32_t i = 0; i < ROUTES_MAX; i++)
    {
      r->results[i].open_since = r->ctx.now;
      if (c->routes[i].runs_per_s > 0)
        schedule_arrival (r, i);
    }
}

static void
set_trouble (Replay *r, bool is_troubled)
{
  r->is_troubled = is_troubled;
  if (r->c->trouble == TROUBLE_NO_UPSTREAM)
    set_deeper_state (r, is_troubled ? PH_UPSTREAM_DRAINING : PH_UPSTREAM_READY);
}

#define FIVE_S (5 * PH_SECOND)
#define TEN_S (10 * PH_SECOND)
#define TWENTY_S (20 * PH_SECOND)
#define MINUTE (60 * PH_SECOND)

/* Guards against runs that are started although they are going to fail, gates that close while many
 * runs succeed, or for failures that are not those of deeper calls, and gates that stay closed. */
static const GateCase gate_cases[] = {
  { "no upstream, 4 runs a second",
    FIVE_S,
    TROUBLE_NO_UPSTREAM,
    false,
    { { 4, 1, 2, 1, 0, 0 } },
    { GATE_CLOSES } },
  { "no upstream, 9 runs a second",
    FIVE_S,
    TROUBLE_NO_UPSTREAM,
    false,
    { { 9, 1, 1, 1, 0, 0 } },
    { GATE_CLOSES } },
  { "no upstream, 30 runs a second",
    FIVE_S,
    TROUBLE_NO_UPSTREAM,
    false,
    { { 30, 1, 1, 1, 0, 0 } },
    { GATE_CLOSES } },
  { "no upstream, two routes",
    TWENTY_S,
    TROUBLE_NO_UPSTREAM,
    false,
    { { 4, 1, 1, 1, 0, 0 }, { 4, 1, 1, 1, 0, 0 } },
    { GATE_CLOSES_LATER, GATE_CLOSES_LATER } },
  { "no upstream, after a restart",
    TEN_S,
    TROUBLE_NO_UPSTREAM,
    true,
    { { 9, 1, 1, 1, 0, 0 } },
    { GATE_LEARNS } },
  { "no upstream, beside a busy route without deeper calls",
    FIVE_S,
    TROUBLE_NO_UPSTREAM,
    false,
    { { 9, 1, 1, 1, 0, 1 }, { 12, 0, 0, 0, 0, 0 } },
    { GATE_CLOSES, GATE_OPEN } },
  { "no upstream, a more urgent route without deeper calls fails",
    FIVE_S,
    TROUBLE_NO_UPSTREAM,
    false,
    { { 9, 1, 1, 1, 0, 1 }, { 5, 0, 0, 0, 1, 0 } },
    { GATE_CLOSES, GATE_OPEN } },
  { "no upstream, a more urgent route succeeds without its calls",
    TWENTY_S,
    TROUBLE_NO_UPSTREAM,
    false,
    { { 5, 1, 1, 1, 0, 1 }, { 5, 1, 1, 0, 0, 0 } },
    { GATE_CLOSES_LATER, GATE_OPEN } },
  { "no upstream, 0.7 of the runs call",
    MINUTE,
    TROUBLE_NO_UPSTREAM,
    false,
    { { 5, 0.7, 2, 1, 0, 0 } },
    { GATE_OPEN } },
  { "no upstream, 0.7 of the runs call, after a restart",
    MINUTE,
    TROUBLE_NO_UPSTREAM,
    true,
    { { 5, 0.7, 2, 1, 0, 0 } },
    { GATE_OPEN } },
  { "no upstream, runs succeed without their calls",
    MINUTE,
    TROUBLE_NO_UPSTREAM,
    false,
    { { 9, 1, 1, 0, 0, 0 } },
    { GATE_OPEN } },
  { "no upstream, half of the runs succeed without their calls",
    MINUTE,
    TROUBLE_NO_UPSTREAM,
    false,
    { { 9, 1, 1, 0.5, 0, 0 } },
    { GATE_TRIES } },
  { "sheds all, 4 runs a second",
    TEN_S,
    TROUBLE_SHED_ALL,
    false,
    { { 4, 1, 2, 1, 0, 0 } },
    { GATE_CLOSES_LATER } },
  { "sheds all, 9 runs a second",
    TEN_S,
    TROUBLE_SHED_ALL,
    false,
    { { 9, 1, 1, 1, 0, 0 } },
    { GATE_CLOSES_LATER } },
  { "sheds all, 30 runs a second",
    TEN_S,
    TROUBLE_SHED_ALL,
    false,
    { { 30, 1, 2, 1, 0, 0 } },
    { GATE_CLOSES } },
  { "sheds 55 of 100, one call",
    MINUTE,
    TROUBLE_SHED_55,
    false,
    { { 9, 1, 1, 1, 0, 0 } },
    { GATE_OPEN } },
  { "sheds 55 of 100, two calls",
    MINUTE,
    TROUBLE_SHED_55,
    false,
    { { 4, 1, 2, 1, 0, 0 } },
    { GATE_OPEN } },
  { "sheds 55 of 100, many runs",
    MINUTE,
    TROUBLE_SHED_55,
    false,
    { { 30, 1, 2, 1, 0, 0 } },
    { GATE_OPEN } },
  { "sheds 55 of 100, 0.7 of the runs call",
    MINUTE,
    TROUBLE_SHED_55,
    false,
    { { 5, 0.7, 2, 1, 0, 0 } },
    { GATE_OPEN } },
  { "sheds 55 of 100, after a restart",
    MINUTE,
    TROUBLE_SHED_55,
    true,
    { { 9, 1, 2, 1, 0, 0 } },
    { GATE_OPEN } },
  { "runs fail by themselves",
    MINUTE,
    TROUBLE_NONE,
    false,
    { { 9, 1, 1, 1, 1, 0 } },
    { GATE_OPEN } },
};

/* Largest number of runs that were started in a second, from a time on. */
static uint32_t
most_starts (const RouteResult *result, PhTime from)
{
  uint32_t most = 0;

  for (uint32_t i = 0; i < result->start_count; i++)
    {
      uint32_t count = 0;

      if (result->starts[i] < from)
        continue;
      while (i + count < result->start_count
             && result->starts[i + count] < result->starts[i] + PH_SECOND)
        count++;
      if (count > most)
        most = count;
    }
  return most;
}

/* Results of all seeds for one route. */
typedef struct
{
  uint32_t closed; /* seeds in which the gate closed */
  uint32_t closings_max;
  uint32_t probes;      /* runs started while the gates of both routes are closed */
  uint32_t probes_max;  /* the same of all routes in any second */
  uint32_t late_starts; /* in any second after the first one */
  uint32_t reopened; /* seeds in which it is open 1 s after the end of the trouble, and stays so */
  uint32_t refused_min; /* calls refused by the gate, smallest of all seeds */
  uint32_t failed;      /* runs */
  PhTime closed_after;  /* sum of the times until the first closing */
} Summary;

static void
add_result (Summary *s, const RouteResult *result, PhTime began_at, PhTime ended_at)
{
  /* Without a run nothing is known: the first second begins with the first run. */
  PhTime from = (result->start_count > 0 ? result->starts[0] : began_at) + PH_SECOND;

  if (result->closing_count > s->closings_max)
    s->closings_max = result->closing_count;
  if (result->closed_at != 0)
    {
      s->closed++;
      s->closed_after += result->closed_at - began_at;
    }
  if (most_starts (result, from) > s->late_starts)
    s->late_starts = most_starts (result, from);
  s->reopened += result->open_since != 0 && result->open_since <= ended_at + PH_SECOND;
  if (result->refused_count < s->refused_min)
    s->refused_min = result->refused_count;
  s->failed += result->failed_count;
  s->probes += result->probe_count;
}

static void
run_seed (const GateCase *c, uint64_t seed, bool is_gating, Summary *summaries)
{
  static Replay r;
  PhTime began_at, ended_at;

  start_replay (&r, c, seed, is_gating);
  r.is_learning = !c->is_restarted;
  if (r.is_learning)
    run_until (&r, r.ctx.now + LEARN_TIME);
  r.is_learning = false;
  began_at = r.ctx.now;
  set_trouble (&r, true);
  run_until (&r, began_at + c->trouble_time);
  ended_at = r.ctx.now;
  set_trouble (&r, false);
  run_until (&r, ended_at + AFTER_TIME);
  for (uint32_t i = 0; i < ROUTES_MAX; i++)
    {
      add_result (&summaries[i], &r.results[i], began_at, ended_at);
      if (most_starts (&r.probes, 0) > summaries[i].probes_max)
        summaries[i].probes_max = most_starts (&r.probes, 0);
    }
  ph_call_verify (r.world);
  ph_world_drop (&r.ctx, r.world);
  ph_timer_clear (&r.events);
}

static bool
is_as_expected (GateState state, const Summary *s)
{
  switch (state)
    {
    case GATE_OPEN:
      return s->closed == 0;
    case GATE_CLOSES:
      return s->closed == SEEDS && s->refused_min > 0 && s->probes_max <= STARTS_PER_S
             && s->late_starts <= STARTS_PER_S && s->reopened >= REOPENED_MIN;
    case GATE_CLOSES_LATER:
    case GATE_LEARNS:
      return s->closed == SEEDS && s->refused_min > 0 && s->probes_max <= STARTS_PER_S
             && s->reopened >= REOPENED_MIN;
    case GATE_TRIES:
      return s->closings_max <= 2;
    }
  return false;
}

static void
test_gates (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (gate_cases); i++)
    {
      const GateCase *c = &gate_cases[i];
      Summary summaries[ROUTES_MAX]
          = { { .refused_min = UINT32_MAX }, { .refused_min = UINT32_MAX } };

      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        run_seed (c, seed, true, summaries);
      for (uint32_t k = 0; k < ROUTES_MAX && c->routes[k].runs_per_s > 0; k++)
        {
          const Summary *s = &summaries[k];

          if (c->gates[k] == GATE_CLOSES_LATER)
            PH_KNOWN_RED (s->late_starts <= STARTS_PER_S, c->name);
          if (is_as_expected (c->gates[k], s))
            continue;
          printf ("%s, route %u: closed in %u of %u seeds, up to %u times, after %.2f s; "
                  "starts a second: up to %u while closed, %u after the first second; "
                  "open again after 1 s in %u seeds; failed runs %u\n",
                  c->name, k, s->closed, SEEDS, s->closings_max,
                  s->closed > 0 ? (double)s->closed_after / s->closed / PH_SECOND : 0,
                  s->probes_max, s->late_starts, s->reopened, s->failed);
          CU_FAIL (c->name);
        }
    }
}

/* Guards against a gate that closes without --run-gating. */
static void
test_setting_off (void)
{
  Summary summaries[ROUTES_MAX] = { 0 };

  run_seed (&gate_cases[0], 1, false, summaries);
  CU_ASSERT_EQUAL (summaries[0].closed, 0);
  CU_ASSERT_TRUE (summaries[0].failed > 0);
}

/* Guards against a route with many calls that makes all probe runs, so that another one, whose
 * service may be back, is not tried: by chance the latter would make 1 in 31 of them. */
static void
test_probe_shares (void)
{
  static const GateCase c = { "a busy and a quiet route",
                              MINUTE,
                              TROUBLE_NO_UPSTREAM,
                              false,
                              { { 30, 1, 1, 1, 0, 0 }, { 1, 1, 1, 1, 0, 0 } },
                              { GATE_CLOSES, GATE_CLOSES } };
  Summary summaries[ROUTES_MAX] = { 0 };

  for (uint64_t seed = 1; seed <= 10; seed++)
    run_seed (&c, seed, true, summaries);
  CU_ASSERT_EQUAL (summaries[1].closed, 10);
  CU_ASSERT_TRUE (summaries[1].probes * (30 + 1) > summaries[0].probes + summaries[1].probes);
}

typedef struct
{
  const char *name;
  const char *requests[2][3]; /* host, method and path of two requests */
  bool is_same_route;
} RouteKeyCase;

/* Guards against gates of the wrong route: one that refuses calls of another route, or that misses
 * the runs of its own. The prefixes /r/slow/ and /r/ of the host "shop" are routes. */
static const RouteKeyCase route_key_cases[] = {
  { "one route", { { "shop", "GET", "/r/slow/1" }, { "shop:80", "POST", "/r/slow/2?q" } }, true },
  { "a longer prefix", { { "shop", "GET", "/r/slow/1" }, { "shop", "GET", "/r/fast/1" } }, false },
  { "no route, one segment",
    { { "10.0.0.1", "GET", "/a/1" }, { "10.0.0.2", "GET", "/a?q" } },
    true },
  { "no route, other segments", { { "x", "GET", "/a/1" }, { "x", "GET", "/b/1" } }, false },
  { "no route, other methods", { { "x", "GET", "/a" }, { "x", "POST", "/a" } }, false },
  { "no host", { { NULL, "GET", "/a" }, { "x", "GET", "/a" } }, true },
};

static void
test_route_keys (void)
{
  static const PhRouteOptions routes[]
      = { { .host = "shop", .prefix = "/r/" }, { .host = "shop", .prefix = "/r/slow/" } };
  PhContext ctx = { .now = PH_SECOND };
  PhWorld *world = bed_world_new (&ctx, &(PhEffects){ 0 }, "kamloops", 4);

  ph_route_apply (&ctx, world, fixture_route_set (routes, PH_ARRAY_SIZE (routes)));
  for (size_t i = 0; i < PH_ARRAY_SIZE (route_key_cases); i++)
    {
      const RouteKeyCase *c = &route_key_cases[i];
      uint64_t keys[2];

      for (int k = 0; k < 2; k++)
        keys[k] = ph_run_gate_route_key (world, c->requests[k][0], c->requests[k][1],
                                         c->requests[k][2]);
      if ((keys[0] == keys[1]) != c->is_same_route)
        CU_FAIL (c->name);
    }
  ph_world_drop (&ctx, world);
}

static void
ignore_start (void *user, PhAttemptId id)
{
  *(PhAttemptId *)user = id;
}

/* Guards against a table that callers fill with paths: the routes used least recently give way. */
static void
test_many_routes (void)
{
  PhAttemptId started;
  const PhEffects effects = { .start_attempt = ignore_start, .user = &started };
  PhContext ctx = { .now = PH_SECOND };
  PhWorld *world = bed_world_new (&ctx, &effects, "kamloops", 4);

  ph_chain_set_enabled (world, true);
  ph_run_gate_set_enabled (world, true);
  for (uint64_t key = 1; key <= 3 * PH_RUN_GATES_MAX; key++)
    {
      const PhCallOptions opts = { .service = BED_SERVICE,
                                   .origin = PH_ORIGIN_PEER,
                                   .upstream_epoch = 1,
                                   .time_left = RUN_TIME_LEFT,
                                   .route_key = key };
      PhRefusal refusal;
      PhRunGateId gate;

      ctx.now += PH_MS;
      ph_call_open (&ctx, world, &opts, &refusal);
      ph_world_tick (&ctx, world);
      gate = ph_attempt_get (&world->attempts, started)->run_gate;
      CU_ASSERT_PTR_NOT_NULL_FATAL (ph_run_gate_get (&world->run_gates.rows, gate));
      CU_ASSERT_EQUAL (ph_run_gate_get (&world->run_gates.rows, gate)->route_key, key);
      bed_end_attempt (&ctx, world, started, PH_OUTCOME_OK);
      ph_world_tick (&ctx, world);
    }
  CU_ASSERT_EQUAL (world->run_gates.rows.count, PH_RUN_GATES_MAX);
  ph_run_gate_set_enabled (world, false);
  CU_ASSERT_EQUAL (world->run_gates.rows.count, 0);
  ph_world_drop (&ctx, world);
}

static const PhTest tests[] = {
  { "gates of routes whose runs make deeper calls", test_gates },
  { "without the setting no gate closes", test_setting_off },
  { "routes with closed gates share the probe runs", test_probe_shares },
  { "requests of one route have the same gate", test_route_keys },
  { "the table of gates is bounded", test_many_routes },
};

PH_TEST_SUITE (run_gate, tests)
