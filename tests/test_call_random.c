#include <stdlib.h>
#include <string.h>

#include "fixture.h"
#include "test.h"

/*
 * A seeded run of a million calls with faults. The fake runtime behind
 * PhEffects keeps a ledger of how often each call was run, independent of what
 * the core is told. It is harsher than a real one: after a cancellation it still
 * delivers what comes later, by the stale handle.
 */

#define CALLS 1000000u
#define UPSTREAMS 9u
#define DEADLINE (200 * PH_MS)

typedef enum
{
  EVENT_OPEN,
  EVENT_CHANGE, /* of the upstreams and data centres */
  EVENT_ABORT,  /* handle: number of the call */
  EVENT_RUN,    /* the upstream runs the request; handle: flight, as below */
  EVENT_RESPONSE,
  EVENT_FINISH,
  EVENT_FAIL
} EventKind;

typedef struct
{
  uint32_t weight; /* attempts of 10,000 */
  bool is_run;
  bool is_response;
  bool is_late; /* the outcome comes after the deadline */
  bool is_silent;
  PhRun run; /* of a failure */
  PhReason reason;
} Fault;

static const Fault faults[] = {
  { 8827, true, true, false, false, PH_RUN_YES, PH_REASON_NONE },
  { 100, true, true, true, false, PH_RUN_YES, PH_REASON_NONE },
  { 100, true, false, false, true, PH_RUN_UNKNOWN, PH_REASON_NONE },
  { 80, false, false, false, true, PH_RUN_UNKNOWN, PH_REASON_NONE },
  { 40, true, false, false, false, PH_RUN_UNKNOWN, PH_REASON_CONNECTION_LOST },
  { 30, false, false, false, false, PH_RUN_UNKNOWN, PH_REASON_CONNECTION_LOST },
  { 30, true, false, false, false, PH_RUN_UNKNOWN, PH_REASON_MISMATCHED_RESPONSE },
  { 20, true, false, true, false, PH_RUN_UNKNOWN, PH_REASON_CONNECTION_LOST },
  { 20, true, false, false, false, PH_RUN_YES, PH_REASON_MISMATCHED_RESPONSE },
  { 30, false, false, false, false, PH_RUN_NO, PH_REASON_CONNECT },
  { 400, false, false, false, false, PH_RUN_NO, PH_REASON_LIMIT },
  { 200, false, false, false, false, PH_RUN_NO, PH_REASON_SHED },
  { 1, false, false, false, false, PH_RUN_NO, PH_REASON_STALE_UPSTREAM },
  { 1, false, false, false, false, PH_RUN_NO, PH_REASON_DRAINING },
  { 1, false, false, true, false, PH_RUN_NO, PH_REASON_DATA_CENTRE_OUT },
  { 120, false, false, false, false, PH_RUN_NO, PH_REASON_BAD_REQUEST },
};

typedef struct
{
  PhCallId id;
  uint8_t runs;
  uint8_t starts;
  uint8_t ends; /* refusals, complete or cut responses and aborts */
  bool is_idempotent;
  bool is_told_not_run;
} Entry;

typedef struct
{
  PhAttemptId attempt;
  uint32_t call; /* number in the ledger */
  const Fault *fault;
  uint32_t events; /* still to come */
  bool is_stopped; /* the cancellation reached the upstream before the run */
} Flight;

typedef struct
{
  Fixture fixture;
  PhRandom random;
  PhTimerHeap events;
  PhTable flights;
  PhUpstreamId upstreams[UPSTREAMS];
  Entry *ledger;
  uint32_t opened;
  uint32_t run_twice;
  uint32_t false_not_run;
  uint32_t mixed_up;
  uint32_t forbidden; /* attempts at an upstream that may not be chosen */
  uint32_t seen[PH_REASON_COUNT];
  uint32_t reruns;
  uint32_t responses;
} Run;

static PhTime
random_time (Run *run, PhTime bound)
{
  return ph_random_below (&run->random, (uint32_t)bound);
}

static bool
is_percent (Run *run, uint32_t percent)
{
  return ph_random_below (&run->random, 100) < percent;
}

static void
add_event (Run *run, PhTime after, EventKind kind, uint32_t handle)
{
  Flight *flight = kind >= EVENT_RUN ? ph_table_get (&run->flights, handle) : NULL;

  if (!ph_timer_add (&run->events, run->fixture.ctx.now + after, kind, handle))
    abort ();
  if (flight != NULL)
    flight->events++;
}

static const Fault *
draw_fault (Run *run)
{
  uint32_t at = ph_random_below (&run->random, 10000);
  uint32_t i = 0;

  while (at >= faults[i].weight)
    at -= faults[i++].weight;
  return &faults[i];
}

static Entry *
entry_of (const Run *run, PhCallId id)
{
  const PhCall *call = ph_call_get (&run->fixture.world->calls, id);

  return &run->ledger[(uintptr_t)call->user];
}

static void
run_start (void *user, PhAttemptId id)
{
  Run *run = user;
  PhWorld *world = run->fixture.world;
  const PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  const PhCall *call = ph_call_get (&world->calls, attempt->call);
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, attempt->upstream);
  const PhDataCentre *dc = ph_data_centre_get (&world->data_centres, upstream->data_centre);
  Flight *flight;
  uint32_t handle = ph_table_add (&run->flights, (void **)&flight);
  PhTime time = random_time (run, 20 * PH_MS);

  if (handle == 0)
    abort ();
  /* A local attempt may have waited in the queue since it was chosen. */
  if (!attempt->is_local)
    run->forbidden += upstream->state == PH_UPSTREAM_DRAINING || dc->is_out_of_service;
  else
    run->forbidden += attempt->queued_at == run->fixture.ctx.now && world->is_stopping
                      && call->origin == PH_ORIGIN_CALLER;
  flight->attempt = id;
  flight->call = (uint32_t)(uintptr_t)call->user;
  flight->fault = draw_fault (run);
  run->ledger[flight->call].starts++;
  run->reruns += ph_attempt_is_rerun (world, id);
  if (flight->fault->is_late)
    time += DEADLINE + random_time (run, DEADLINE);
  add_event (run, random_time (run, time + 1), EVENT_RUN, handle);
  if (flight->fault->is_silent)
    return;
  add_event (run, time, flight->fault->is_response ? EVENT_RESPONSE : EVENT_FAIL, handle);
  if (is_percent (run, 5))
    add_event (run, time + random_time (run, DEADLINE),
               flight->fault->is_response ? EVENT_RESPONSE : EVENT_FAIL, handle);
}

static void
run_cancel (void *user, PhAttemptId id)
{
  Run *run = user;
  uint32_t handle = 0;

  if (!is_percent (run, 50))
    return;
  while ((handle = ph_table_next (&run->flights, handle)) != 0)
    {
      Flight *flight = ph_table_get (&run->flights, handle);

      if (flight->attempt.v == id.v)
        flight->is_stopped = true;
    }
}

static void
run_refuse (void *user, PhCallId id, const PhRefusal *refusal)
{
  Run *run = user;
  Entry *entry = entry_of (run, id);

  entry->ends++;
  entry->is_told_not_run = refusal->run == PH_RUN_NO;
  run->false_not_run += entry->is_told_not_run && entry->runs > 0;
  run->seen[refusal->reason]++;
}

static void
open_call (Run *run)
{
  Fixture *f = &run->fixture;
  Entry *entry = &run->ledger[run->opened];
  bool is_peer = is_percent (run, 10);
  PhRefusal refusal;
  PhCallOptions opts = { .service = FIXTURE_SERVICE,
                         .origin = is_peer ? PH_ORIGIN_PEER : PH_ORIGIN_CALLER,
                         .is_idempotent = is_percent (run, 50),
                         .can_resend = is_percent (run, 90),
                         .is_rerun = is_percent (run, 5),
                         .depth = ph_random_below (&run->random, PH_DEPTH_MAX + 1),
                         .time_left = DEADLINE,
                         .upstream_epoch = is_percent (run, 95) ? 7 : 6,
                         .user = (void *)(uintptr_t)run->opened };

  entry->is_idempotent = opts.is_idempotent;
  entry->id = ph_call_open (&f->ctx, f->world, &opts, &refusal);
  if (entry->id.v == 0)
    {
      entry->ends++;
      run->seen[refusal.reason]++;
    }
  else if (is_percent (run, 3))
    add_event (run, random_time (run, 30 * PH_MS), EVENT_ABORT, run->opened);
  if (++run->opened == CALLS * 99 / 100)
    ph_world_stop (&f->ctx, f->world);
  if (run->opened < CALLS)
    add_event (run, random_time (run, 4 * PH_MS), EVENT_OPEN, 0);
}

static void
change (Run *run)
{
  static const PhUpstreamState states[] = { PH_UPSTREAM_COLD, PH_UPSTREAM_READY, PH_UPSTREAM_READY,
                                            PH_UPSTREAM_READY, PH_UPSTREAM_DRAINING };
  Fixture *f = &run->fixture;
  uint32_t at = ph_random_below (&run->random, UPSTREAMS);
  PhUpstreamState state = states[ph_random_below (&run->random, PH_ARRAY_SIZE (states))];

  switch (ph_random_below (&run->random, 8))
    {
    case 0:
      ph_upstream_drop (&f->ctx, f->world, run->upstreams[at]);
      break;
    case 1:
      fixture_set_out_of_service (f, at % 3, is_percent (run, 30));
      break;
    case 2:
      fixture_announce (f, state);
      break;
    default:
      run->upstreams[at] = fixture_upsert (f, run->upstreams[at], at % 3, state, "1");
    }
  if (run->opened < CALLS)
    add_event (run, random_time (run, 200 * PH_MS), EVENT_CHANGE, 0);
}

static void
abort_call (Run *run, uint32_t number)
{
  Entry *entry = &run->ledger[number];

  if (entry->ends > 0)
    return;
  entry->ends++;
  ph_call_abort (&run->fixture.ctx, run->fixture.world, entry->id);
}

static void
run_request (Run *run, const Flight *flight)
{
  Entry *entry = &run->ledger[flight->call];

  if (!flight->fault->is_run || flight->is_stopped)
    return;
  entry->runs++;
  run->run_twice += !entry->is_idempotent && entry->runs > 1;
  run->false_not_run += entry->is_told_not_run;
}

static void
deliver (Run *run, EventKind kind, uint32_t handle)
{
  Fixture *f = &run->fixture;
  Flight *flight = ph_table_get (&run->flights, handle);
  const PhAttempt *attempt = ph_attempt_get (&f->world->attempts, flight->attempt);
  const PhLoad load = { ph_random_below (&run->random, 6), ph_random_below (&run->random, 3), 4,
                        ph_random_below (&run->random, 20000), 0 };

  if (attempt != NULL)
    {
      run->mixed_up += entry_of (run, attempt->call) != &run->ledger[flight->call];
      ph_upstream_report_load (&f->ctx, f->world, attempt->upstream, &load);
    }
  if (kind == EVENT_FAIL)
    ph_attempt_fail (&f->ctx, f->world, flight->attempt, flight->fault->run, flight->fault->reason);
  else if (kind == EVENT_FINISH)
    {
      run->ledger[flight->call].ends += attempt != NULL;
      ph_attempt_finish (&f->ctx, f->world, flight->attempt, is_percent (run, 90));
    }
  else if (ph_attempt_response (&f->ctx, f->world, flight->attempt))
    {
      run->responses++;
      add_event (run, random_time (run, 10 * PH_MS), EVENT_FINISH, handle);
      if (is_percent (run, 5))
        add_event (run, 10 * PH_MS + random_time (run, PH_MS), EVENT_FINISH, handle);
    }
}

static void
run_event (Run *run, const PhTimer *event)
{
  Flight *flight;

  switch ((EventKind)event->kind)
    {
    case EVENT_OPEN:
      open_call (run);
      return;
    case EVENT_CHANGE:
      change (run);
      return;
    case EVENT_ABORT:
      abort_call (run, event->handle);
      return;
    case EVENT_RUN:
      run_request (run, ph_table_get (&run->flights, event->handle));
      break;
    case EVENT_RESPONSE:
    case EVENT_FINISH:
    case EVENT_FAIL:
      deliver (run, event->kind, event->handle);
      break;
    }
  flight = ph_table_get (&run->flights, event->handle);
  if (--flight->events == 0)
    ph_table_remove (&run->flights, event->handle);
}

/* Runs until neither an event nor a call is left. */
static void
run_to_end (Run *run)
{
  Fixture *f = &run->fixture;
  PhTime next = PH_TIME_NEVER;
  uint32_t steps = 0;
  PhTimer event;

  for (;;)
    {
      PhTime at = ph_timer_next (&run->events);

      if (at == PH_TIME_NEVER && ph_world_is_idle (f->world))
        return;
      if (next < at)
        at = next;
      f->ctx.now = at > f->ctx.now ? at : f->ctx.now;
      if (ph_timer_pop (&run->events, f->ctx.now, &event))
        run_event (run, &event);
      next = ph_world_tick (&f->ctx, f->world);
      if (++steps % 16384 == 0)
        ph_call_verify (f->world);
    }
}

static void
check_ledger (const Run *run)
{
  uint32_t wrong_ends = 0;

  for (uint32_t i = 0; i < CALLS; i++)
    wrong_ends += run->ledger[i].ends != 1;
  CU_ASSERT_EQUAL (run->run_twice, 0);
  CU_ASSERT_EQUAL (run->false_not_run, 0);
  CU_ASSERT_EQUAL (run->mixed_up, 0);
  CU_ASSERT_EQUAL (run->forbidden, 0);
  CU_ASSERT_EQUAL (wrong_ends, 0);
}

/* Fails when the run no longer reaches a path that it is there for. */
static void
check_reached (const Run *run)
{
  static const PhReason reached[]
      = { PH_REASON_NO_UPSTREAM, PH_REASON_STALE_UPSTREAM,  PH_REASON_LIMIT,
          PH_REASON_QUEUE_TIME,  PH_REASON_DEADLINE,        PH_REASON_DRAINING,
          PH_REASON_STOPPING,    PH_REASON_CONNECTION_LOST, PH_REASON_DATA_CENTRE_OUT };

  for (uint32_t i = 0; i < PH_ARRAY_SIZE (reached); i++)
    CU_ASSERT_TRUE (run->seen[reached[i]] > 100);
  CU_ASSERT_TRUE (run->reruns > CALLS / 100);
  CU_ASSERT_TRUE (run->responses > CALLS / 2);
}

/* Guards against calls that are run twice, wrong refusals, responses to another call, and rows or
 * counts that are left behind. */
static void
test_million (void)
{
  static Run run;
  const PhEffects effects = { .start_attempt = run_start,
                              .cancel_attempt = run_cancel,
                              .refuse_call = run_refuse,
                              .user = &run };
  const PhWorld *world;

  memset (&run, 0, sizeof run);
  fixture_start (&run.fixture, 1, 512, &effects);
  world = run.fixture.world;
  ph_random_seed (&run.random, 2);
  run.ledger = calloc (CALLS, sizeof *run.ledger);
  CU_ASSERT_TRUE_FATAL (run.ledger != NULL
                        && ph_table_init (&run.flights, sizeof (Flight), 8192, NULL));
  add_event (&run, 0, EVENT_CHANGE, 0);
  add_event (&run, 0, EVENT_OPEN, 0);
  run_to_end (&run);
  CU_ASSERT_EQUAL (run.opened, CALLS);
  check_ledger (&run);
  check_reached (&run);
  ph_call_verify (world);
  CU_ASSERT_EQUAL (world->calls.count + world->attempts.count + world->pending_calls.count, 0);
  CU_ASSERT_EQUAL (world->admission.in_flight + world->admission.queued, 0);
  ph_table_clear (&run.flights);
  ph_timer_clear (&run.events);
  free (run.ledger);
  fixture_stop (&run.fixture);
}

static const PhTest tests[] = {
  { "a million calls with faults", test_million },
};
PH_TEST_SUITE (call_random, tests)
