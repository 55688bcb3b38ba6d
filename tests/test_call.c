#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fixture.h"
#include "test.h"

/* Tables of scripted calls. */

typedef enum
{
  DO_END,
  DO_FAIL,       /* the latest open attempt fails with run and reason */
  DO_FAIL_FIRST, /* the first attempt */
  DO_RESPOND,    /* the head of the response of the latest attempt */
  DO_RESPOND_FIRST,
  DO_FINISH,
  DO_CUT,  /* the body is cut short */
  DO_WAIT, /* until the hedge is due */
  DO_DEADLINE,
  DO_ABORT,
  DO_DROP_UPSTREAM, /* of the latest attempt */
  DO_HOLD_BODY_NO_MORE
} Action;

typedef struct
{
  Action action;
  PhRun run;
  PhReason reason;
} Step;

typedef struct
{
  const char *name;
  bool is_idempotent;
  bool is_rerun;
  bool is_hedged;   /* the service has an estimate of its latency */
  uint32_t percent; /* of retries; the bucket is empty at first */
  Step steps[8];
  uint32_t started;
  uint32_t cancelled;
  uint32_t marked; /* attempts that carry the mark of a rerun */
  int status;      /* of the refusal, 0 for none */
  PhRun run;
  PhReason reason;
} CallCase;

#define NO PH_RUN_NO
#define YES PH_RUN_YES
#define UNKNOWN PH_RUN_UNKNOWN
#define FAIL(run, reason)                                                                          \
  {                                                                                                \
    DO_FAIL, run, PH_REASON_##reason                                                               \
  }
#define DO(action)                                                                                 \
  {                                                                                                \
    DO_##action, NO, PH_REASON_NONE                                                                \
  }
#define REFUSED(status, run, reason) status, run, PH_REASON_##reason
#define NOT_REFUSED 0, NO, PH_REASON_NONE

static const CallCase call_cases[] = {
  { "response", false, false, false, 0, { DO (RESPOND), DO (FINISH) }, 1, 0, 0, NOT_REFUSED },
  { "body cut short", true, false, false, 100, { DO (RESPOND), DO (CUT) }, 1, 0, 0, NOT_REFUSED },
  { "failure after the head is a cut body",
    true,
    false,
    false,
    100,
    { DO (RESPOND), FAIL (UNKNOWN, CONNECTION_LOST) },
    1,
    0,
    0,
    NOT_REFUSED },
  { "end before the head is a lost connection",
    false,
    false,
    false,
    100,
    { DO (FINISH) },
    1,
    0,
    0,
    REFUSED (502, UNKNOWN, CONNECTION_LOST) },
  { "not run is tried again",
    false,
    false,
    false,
    100,
    { FAIL (NO, LIMIT), DO (RESPOND), DO (FINISH) },
    2,
    0,
    0,
    NOT_REFUSED },
  { "not run, empty budget",
    false,
    false,
    false,
    0,
    { FAIL (NO, LIMIT) },
    1,
    0,
    0,
    REFUSED (503, NO, LIMIT) },
  { "sent on for room when no other extra attempt is left",
    false,
    false,
    false,
    9,
    { FAIL (NO, LIMIT), FAIL (NO, QUEUE_TIME), DO (RESPOND), DO (FINISH) },
    3,
    0,
    0,
    NOT_REFUSED },
  { "shed when no extra attempt is left",
    false,
    false,
    false,
    9,
    { FAIL (NO, SHED) },
    1,
    0,
    0,
    REFUSED (503, NO, SHED) },
  { "stale choice needs no budget",
    false,
    false,
    false,
    0,
    { FAIL (NO, DRAINING), FAIL (NO, DATA_CENTRE_OUT), FAIL (NO, STALE_UPSTREAM) },
    4,
    0,
    0,
    NOT_REFUSED },
  { "four attempts at most",
    false,
    false,
    false,
    100,
    { FAIL (NO, STOPPING), FAIL (NO, LIMIT), FAIL (NO, DRAINING), FAIL (NO, DRAINING) },
    4,
    0,
    0,
    REFUSED (503, NO, DRAINING) },
  { "final refusal",
    true,
    false,
    false,
    100,
    { FAIL (NO, BAD_REQUEST) },
    1,
    0,
    0,
    REFUSED (400, NO, BAD_REQUEST) },
  { "unknown run is not repeated",
    false,
    false,
    false,
    100,
    { FAIL (UNKNOWN, CONNECTION_LOST) },
    1,
    0,
    0,
    REFUSED (502, UNKNOWN, CONNECTION_LOST) },
  { "run is not repeated",
    false,
    false,
    false,
    100,
    { FAIL (YES, MISMATCHED_RESPONSE) },
    1,
    0,
    0,
    REFUSED (502, YES, MISMATCHED_RESPONSE) },
  { "unknown run of an idempotent call",
    true,
    false,
    false,
    100,
    { FAIL (UNKNOWN, CONNECTION_LOST), DO (RESPOND), DO (FINISH) },
    2,
    0,
    1,
    NOT_REFUSED },
  { "unknown run, then not run",
    true,
    false,
    false,
    100,
    { FAIL (UNKNOWN, CONNECTION_LOST), FAIL (NO, BAD_REQUEST) },
    2,
    0,
    1,
    REFUSED (400, UNKNOWN, BAD_REQUEST) },
  { "not run, then unknown",
    false,
    false,
    false,
    100,
    { FAIL (NO, LIMIT), FAIL (UNKNOWN, CONNECTION_LOST) },
    2,
    0,
    0,
    REFUSED (502, UNKNOWN, CONNECTION_LOST) },
  { "marked call is not run again",
    true,
    true,
    false,
    100,
    { FAIL (UNKNOWN, CONNECTION_LOST) },
    1,
    0,
    1,
    REFUSED (502, UNKNOWN, CONNECTION_LOST) },
  { "marked call that was not run",
    true,
    true,
    false,
    100,
    { FAIL (NO, DRAINING), DO (RESPOND), DO (FINISH) },
    2,
    0,
    2,
    NOT_REFUSED },
  { "body no longer held",
    true,
    false,
    false,
    100,
    { DO (HOLD_BODY_NO_MORE), FAIL (NO, DRAINING) },
    1,
    0,
    0,
    REFUSED (503, NO, DRAINING) },
  { "deadline",
    false,
    false,
    false,
    100,
    { DO (DEADLINE) },
    1,
    1,
    0,
    REFUSED (504, UNKNOWN, DEADLINE) },
  { "long download passes the deadline",
    false,
    false,
    false,
    100,
    { DO (RESPOND), DO (DEADLINE), DO (FINISH) },
    1,
    0,
    0,
    NOT_REFUSED },
  { "abort", true, false, false, 100, { DO (ABORT) }, 1, 1, 0, NOT_REFUSED },
  { "abort while responding",
    true,
    false,
    false,
    100,
    { DO (RESPOND), DO (ABORT) },
    1,
    1,
    0,
    NOT_REFUSED },
  { "upstream dropped",
    false,
    false,
    false,
    100,
    { DO (DROP_UPSTREAM), DO (RESPOND), DO (FINISH) },
    1,
    0,
    0,
    NOT_REFUSED },
  { "hedge wins",
    true,
    false,
    true,
    100,
    { DO (WAIT), DO (RESPOND), DO (FINISH) },
    2,
    1,
    1,
    NOT_REFUSED },
  { "hedge loses",
    true,
    false,
    true,
    100,
    { DO (WAIT), DO (RESPOND_FIRST), DO (FINISH) },
    2,
    1,
    1,
    NOT_REFUSED },
  { "no hedge without budget",
    true,
    false,
    true,
    0,
    { DO (WAIT), DO (RESPOND), DO (FINISH) },
    1,
    0,
    0,
    NOT_REFUSED },
  { "no hedge if not idempotent",
    false,
    false,
    true,
    100,
    { DO (WAIT), DO (RESPOND), DO (FINISH) },
    1,
    0,
    0,
    NOT_REFUSED },
  { "no hedge of a marked call",
    true,
    true,
    true,
    100,
    { DO (WAIT), DO (RESPOND), DO (FINISH) },
    1,
    0,
    1,
    NOT_REFUSED },
  { "no hedge without the body",
    true,
    false,
    true,
    100,
    { DO (HOLD_BODY_NO_MORE), DO (WAIT), DO (RESPOND), DO (FINISH) },
    1,
    0,
    0,
    NOT_REFUSED },
  { "hedge is refused, first responds",
    true,
    false,
    true,
    100,
    { DO (WAIT), FAIL (NO, LIMIT), DO (RESPOND_FIRST), DO (FINISH) },
    2,
    0,
    1,
    NOT_REFUSED },
  { "first is lost, hedge responds",
    true,
    false,
    true,
    100,
    { DO (WAIT), { DO_FAIL_FIRST, UNKNOWN, PH_REASON_CONNECTION_LOST }, DO (RESPOND), DO (FINISH) },
    2,
    0,
    1,
    NOT_REFUSED },
  { "deadline of both",
    true,
    false,
    true,
    100,
    { DO (WAIT), DO (DEADLINE) },
    2,
    2,
    1,
    REFUSED (504, UNKNOWN, DEADLINE) },
  { "abort of both", true, false, true, 100, { DO (WAIT), DO (ABORT) }, 2, 2, 1, NOT_REFUSED },
};

typedef struct
{
  Fixture fixture;
  PhAttemptId attempts[PH_ATTEMPTS_MAX];
  uint32_t started;
  uint32_t cancelled;
  uint32_t marked;
  uint32_t refusals;
  PhRefusal refusal;
} Script;

static void
script_start (void *user, PhAttemptId id)
{
  Script *s = user;

  s->marked += ph_attempt_is_rerun (s->fixture.world, id);
  s->attempts[s->started++] = id;
}

static void
script_cancel (void *user, PhAttemptId id)
{
  Script *s = user;

  CU_ASSERT_PTR_NOT_NULL (ph_attempt_get (&s->fixture.world->attempts, id));
  s->cancelled++;
}

static void
script_refuse (void *user, PhCallId call, const PhRefusal *refusal)
{
  Script *s = user;

  (void)call;
  s->refusals++;
  s->refusal = *refusal;
}

static PhAttemptId
open_attempt (const Script *s, bool is_first)
{
  for (uint32_t i = 0; i < s->started; i++)
    {
      PhAttemptId id = s->attempts[is_first ? i : s->started - 1 - i];

      if (ph_attempt_get (&s->fixture.world->attempts, id) != NULL)
        return id;
    }
  return (PhAttemptId){ 0 };
}

static void
run_step (Script *s, PhCallId call, const Step *step)
{
  Fixture *f = &s->fixture;
  PhAttemptId id
      = open_attempt (s, step->action == DO_FAIL_FIRST || step->action == DO_RESPOND_FIRST);
  PhTime wait = 0;

  switch (step->action)
    {
    case DO_END:
      break;
    case DO_FAIL:
    case DO_FAIL_FIRST:
      ph_attempt_fail (&f->ctx, f->world, id, step->run, step->reason);
      break;
    case DO_RESPOND:
    case DO_RESPOND_FIRST:
      CU_ASSERT_TRUE (ph_attempt_response (&f->ctx, f->world, id));
      CU_ASSERT_FALSE (ph_attempt_response (&f->ctx, f->world, id));
      break;
    case DO_FINISH:
    case DO_CUT:
      ph_attempt_finish (&f->ctx, f->world, id, step->action == DO_FINISH);
      break;
    case DO_WAIT:
      wait = 300 * PH_MS;
      break;
    case DO_DEADLINE:
      wait = 2 * PH_SECOND;
      break;
    case DO_ABORT:
      ph_call_abort (&f->ctx, f->world, call);
      break;
    case DO_DROP_UPSTREAM:
      ph_upstream_drop (&f->ctx, f->world, ph_attempt_get (&f->world->attempts, id)->upstream);
      break;
    case DO_HOLD_BODY_NO_MORE:
      ph_call_get (&f->world->calls, call)->can_resend = false;
    }
  fixture_tick (f, wait);
  ph_call_verify (f->world);
}

/* Starts with upstreams of a service in the data centre of the node and in another one. */
static void
start_script_at (Script *s, uint32_t near, uint32_t far)
{
  const PhEffects effects = { .start_attempt = script_start,
                              .cancel_attempt = script_cancel,
                              .refuse_call = script_refuse,
                              .user = s };

  memset (s, 0, sizeof *s);
  fixture_start (&s->fixture, 1, 8, &effects);
  for (uint32_t i = 0; i < near + far; i++)
    fixture_upsert (&s->fixture, (PhUpstreamId){ 0 }, i < near ? 0 : 1, PH_UPSTREAM_READY, "1");
}

static void
start_script (Script *s)
{
  start_script_at (s, 2, 4);
}

static PhCallId
open_script_call (Script *s, const PhCallOptions *opts)
{
  PhCallId id = ph_call_open (&s->fixture.ctx, s->fixture.world, opts, &s->refusal);

  s->refusals += id.v == 0;
  fixture_tick (&s->fixture, 0);
  return id;
}

/* Fills the budget of the service by nine calls, and its estimate of the latency. */
static void
prepare_budget (Script *s, uint32_t percent, bool is_hedged)
{
  PhService *service = fixture_service (&s->fixture);

  service->rules.retry_percent = percent;
  service->retry = (PhRetryBudget){ 0 };
  ph_retry_set_node_count (&service->retry, 1);
  for (uint32_t i = 0; i < PH_HEDGE_SAMPLES_MIN && is_hedged; i++)
    ph_retry_observe (&service->retry, 0, 200 * PH_MS);
  for (uint32_t i = 0; i < 9; i++)
    ph_retry_deposit (&service->retry, percent, 0);
}

/* Guards against wrong decisions after each outcome of an attempt. */
static void
test_scripts (void)
{
  for (uint32_t i = 0; i < PH_ARRAY_SIZE (call_cases); i++)
    {
      const CallCase *c = &call_cases[i];
      PhCallId call;
      Script s;

      start_script (&s);
      prepare_budget (&s, c->percent, c->is_hedged);
      call = open_script_call (&s, &(PhCallOptions){ .service = FIXTURE_SERVICE,
                                                     .is_idempotent = c->is_idempotent,
                                                     .is_rerun = c->is_rerun,
                                                     .can_resend = true,
                                                     .time_left = PH_SECOND });
      for (const Step *step = c->steps; step->action != DO_END; step++)
        run_step (&s, call, step);
      if (s.started != c->started || s.cancelled != c->cancelled || s.marked != c->marked
          || s.refusals != (c->status != 0) || s.refusal.status != c->status
          || s.refusal.run != c->run || s.refusal.reason != c->reason)
        {
          printf ("%s: %u started, status %d\n", c->name, s.started, s.refusal.status);
          CU_FAIL (c->name);
        }
      ph_call_abort (&s.fixture.ctx, s.fixture.world, call);
      CU_ASSERT_TRUE (ph_world_is_idle (s.fixture.world));
      fixture_stop (&s.fixture);
    }
}

typedef struct
{
  const char *name;
  bool is_bulk;
  uint32_t near; /* upstreams in the data centre of the node */
  uint32_t started;
} HedgeCase;

static const HedgeCase hedge_cases[] = {
  { "small response, one upstream near", false, 1, 2 },
  { "large response, two upstreams near", true, 2, 2 },
  { "large response, one upstream near", true, 1, 1 },
};

/* Guards against large responses that a hedge fetches from another data centre (fleetbench
 * chre-mesh quiet-1: a quarter of the bytes between data centres). */
static void
test_hedges (void)
{
  for (uint32_t i = 0; i < PH_ARRAY_SIZE (hedge_cases); i++)
    {
      const HedgeCase *c = &hedge_cases[i];
      const Step wait = DO (WAIT);
      PhCallId call;
      Script s;

      start_script_at (&s, c->near, 2);
      prepare_budget (&s, 100, true);
      call = open_script_call (&s, &(PhCallOptions){ .service = FIXTURE_SERVICE,
                                                     .is_idempotent = true,
                                                     .is_bulk = c->is_bulk,
                                                     .can_resend = true,
                                                     .time_left = PH_SECOND });
      run_step (&s, call, &wait);
      if (s.started != c->started)
        CU_FAIL (c->name);
      ph_call_abort (&s.fixture.ctx, s.fixture.world, call);
      fixture_stop (&s.fixture);
    }
}

typedef struct
{
  const char *name;
  const char *service;
  PhOrigin origin;
  uint32_t epoch; /* of a call from another node; the local one is 7 */
  PhUpstreamState state;
  uint32_t depth;
  PhReason reason; /* NONE: started, at the local upstream for a call from another node */
  bool is_out;
  bool is_stopping;
} OpenCase;

static const OpenCase open_cases[] = {
  { "caller", FIXTURE_SERVICE, PH_ORIGIN_CALLER, 0, PH_UPSTREAM_READY, 8, PH_REASON_NONE, false,
    false },
  { "nothing is in force yet", "team/other", PH_ORIGIN_CALLER, 0, PH_UPSTREAM_READY, 0,
    PH_REASON_NO_CONFIGURATION, false, false },
  { "unknown service", "team/other", PH_ORIGIN_CALLER, 0, PH_UPSTREAM_READY, 0,
    PH_REASON_UNKNOWN_SERVICE, false, false },
  { "too deep", FIXTURE_SERVICE, PH_ORIGIN_CALLER, 0, PH_UPSTREAM_READY, 9, PH_REASON_DEPTH, false,
    false },
  { "caller of a stopping node", FIXTURE_SERVICE, PH_ORIGIN_CALLER, 0, PH_UPSTREAM_READY, 0,
    PH_REASON_NONE, false, true },
  { "caller, own data centre out", FIXTURE_SERVICE, PH_ORIGIN_CALLER, 0, PH_UPSTREAM_READY, 0,
    PH_REASON_NONE, true, false },
  { "peer", FIXTURE_SERVICE, PH_ORIGIN_PEER, 7, PH_UPSTREAM_READY, 0, PH_REASON_NONE, false,
    false },
  { "peer, cold upstream", FIXTURE_SERVICE, PH_ORIGIN_PEER, 7, PH_UPSTREAM_COLD, 0, PH_REASON_NONE,
    false, false },
  { "peer, older epoch", FIXTURE_SERVICE, PH_ORIGIN_PEER, 6, PH_UPSTREAM_READY, 0,
    PH_REASON_STALE_UPSTREAM, false, false },
  { "peer, draining", FIXTURE_SERVICE, PH_ORIGIN_PEER, 7, PH_UPSTREAM_DRAINING, 0,
    PH_REASON_DRAINING, false, false },
  { "peer, data centre out", FIXTURE_SERVICE, PH_ORIGIN_PEER, 7, PH_UPSTREAM_READY, 0,
    PH_REASON_DATA_CENTRE_OUT, true, false },
  { "peer of a stopping node", FIXTURE_SERVICE, PH_ORIGIN_PEER, 7, PH_UPSTREAM_READY, 0,
    PH_REASON_STOPPING, false, true },
};

/* Guards against calls that a node admits although it must not, and refusals that are not needed.
 */
static void
test_open (void)
{
  for (uint32_t i = 0; i < PH_ARRAY_SIZE (open_cases); i++)
    {
      const OpenCase *c = &open_cases[i];
      PhUpstreamId local;
      PhCallId call;
      Script s;

      start_script (&s);
      s.fixture.world->config_revision = c->reason == PH_REASON_NO_CONFIGURATION ? 0 : 1;
      local = fixture_announce (&s.fixture, c->state);
      fixture_set_out_of_service (&s.fixture, 0, c->is_out);
      if (c->is_stopping)
        ph_world_stop (&s.fixture.ctx, s.fixture.world);
      call = open_script_call (&s, &(PhCallOptions){ .service = c->service,
                                                     .origin = c->origin,
                                                     .depth = c->depth,
                                                     .upstream_epoch = c->epoch });
      if (s.refusal.reason != c->reason || s.started != (c->reason == PH_REASON_NONE)
          || s.refusal.run != PH_RUN_NO)
        CU_FAIL (c->name);
      if (call.v != 0)
        {
          const PhAttempt *attempt
              = ph_attempt_get (&s.fixture.world->attempts, open_attempt (&s, true));

          if (c->origin == PH_ORIGIN_PEER || c->is_stopping || c->is_out)
            CU_ASSERT_EQUAL (attempt->upstream.v == local.v, c->origin == PH_ORIGIN_PEER);
          ph_call_abort (&s.fixture.ctx, s.fixture.world, call);
        }
      fixture_stop (&s.fixture);
    }
}

/* Calls that are opened and aborted within one tick leave marks behind. Guards against a queue of
 * marks that is full of them, so that a later call is never looked at. */
static void
test_stale_marks (void)
{
  const PhCallOptions opts = { .service = FIXTURE_SERVICE };
  Script s;
  PhRefusal refusal;
  PhCallId call;

  start_script (&s);
  for (int i = 0; i < 20; i++)
    {
      call = ph_call_open (&s.fixture.ctx, s.fixture.world, &opts, &refusal);
      ph_call_abort (&s.fixture.ctx, s.fixture.world, call);
    }
  call = open_script_call (&s, &opts);
  CU_ASSERT_EQUAL (s.started, 1);
  ph_call_abort (&s.fixture.ctx, s.fixture.world, call);
  fixture_stop (&s.fixture);
}

/* A data centre is taken out while its nodes are unaware of it here: each of its upstreams refuses
 * once. Guards against refusals that use up the retries, and calls that are refused although the
 * rest of the system is healthy. */
static void
test_stale_view (void)
{
  Script s;
  uint32_t refused_attempts = 0;

  start_script (&s);
  fixture_service (&s.fixture)->rules.retry_percent = 0;
  fixture_service (&s.fixture)->retry = (PhRetryBudget){ 0 };
  ph_retry_set_node_count (&fixture_service (&s.fixture)->retry, 1);
  for (uint32_t i = 0; i < 1000; i++)
    {
      PhCallId call = open_script_call (
          &s, &(PhCallOptions){ .service = FIXTURE_SERVICE, .can_resend = true });

      while (s.refusals == 0 && ph_call_get (&s.fixture.world->calls, call) != NULL)
        {
          PhAttemptId id = open_attempt (&s, false);
          PhUpstreamId upstream = ph_attempt_get (&s.fixture.world->attempts, id)->upstream;
          bool is_near = fixture_upstream (&s.fixture, upstream)->data_centre.v
                         == s.fixture.world->data_centre.v;

          refused_attempts += is_near;
          run_step (
              &s, call,
              &(Step){ is_near ? DO_FAIL : DO_RESPOND, PH_RUN_NO, PH_REASON_DATA_CENTRE_OUT });
          if (!is_near)
            run_step (&s, call, &(Step){ DO_FINISH, PH_RUN_NO, PH_REASON_NONE });
        }
      s.started = 0;
      s.fixture.ctx.now += PH_MS;
    }
  CU_ASSERT_EQUAL (s.refusals, 0);
  CU_ASSERT_EQUAL (refused_attempts, 2);
  fixture_stop (&s.fixture);
}

/* One upstream answers errors or sheds at once, the others work. Guards against a choice that takes
 * fast failures for a fast upstream. Returns the calls of the last 2,000 that it got. */
static uint32_t
count_failures (bool is_local, bool is_shedding)
{
  Script s;
  PhUpstreamId failing;
  uint32_t failures = 0;

  start_script (&s);
  failing = is_local ? fixture_announce (&s.fixture, PH_UPSTREAM_READY)
                     : fixture_service (&s.fixture)->upstreams[0];
  for (uint32_t i = 0; i < 3000; i++)
    {
      PhCallId call = open_script_call (&s, &(PhCallOptions){ .service = FIXTURE_SERVICE });
      PhAttempt *attempt = ph_attempt_get (&s.fixture.world->attempts, open_attempt (&s, false));
      PhLoad load = { 1, 0, 4, 5000, 0 };

      s.fixture.ctx.now += PH_MS;
      if (is_local && i % 100 == 0)
        fixture_announce (&s.fixture, PH_UPSTREAM_READY);
      if (attempt == NULL) /* waits in the queue of the local upstream */
        {
          ph_call_abort (&s.fixture.ctx, s.fixture.world, call);
          continue;
        }
      attempt->is_error = attempt->upstream.v == failing.v;
      failures += attempt->is_error && i >= 1000;
      if (attempt->is_error)
        load = (PhLoad){ 0, 0, 4, 0, 0 };
      else
        s.fixture.ctx.now += 4 * PH_MS;
      if (!attempt->is_local)
        ph_upstream_report_load (&s.fixture.ctx, s.fixture.world, attempt->upstream, &load);
      if (attempt->is_error && is_shedding)
        run_step (&s, call, &(Step){ DO_FAIL, PH_RUN_NO, PH_REASON_SHED });
      else
        {
          run_step (&s, call, &(Step){ DO_RESPOND, PH_RUN_NO, PH_REASON_NONE });
          run_step (&s, call, &(Step){ DO_FINISH, PH_RUN_NO, PH_REASON_NONE });
        }
      s.started = 0;
    }
  fixture_stop (&s.fixture);
  return failures;
}

static void
test_fast_failures (void)
{
  CU_ASSERT_TRUE (count_failures (true, false) < 2000 / 50);
  CU_ASSERT_TRUE (count_failures (true, true) < 2000 / 50);
  CU_ASSERT_TRUE (count_failures (false, false) < 2000 / 50);
  CU_ASSERT_TRUE (count_failures (false, true) < 2000 / 50);
}

static const PhTest tests[] = {
  { "outcomes of attempts", test_scripts },
  { "hedges by size and place", test_hedges },
  { "opening of calls", test_open },
  { "marks of aborted calls", test_stale_marks },
  { "stale view of a data centre", test_stale_view },
  { "upstream that fails fast", test_fast_failures },
};
PH_TEST_SUITE (call, tests)
