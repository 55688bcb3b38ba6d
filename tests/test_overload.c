#include <stdio.h>
#include <string.h>

#include "bed.h"
#include "test.h"

/* Load patterns replayed through the node beside an upstream. */

#define SLOTS 9
#define STARTED_MAX 4096

typedef struct
{
  PhContext ctx;
  PhWorld *world;
  PhAttemptId started[STARTED_MAX];
  PhTime started_at[STARTED_MAX];
  uint32_t priorities[STARTED_MAX];
  uint32_t started_count;
  uint32_t ended;
  uint32_t refused[PH_REASON_COUNT];
  PhUpstreamId probe; /* a health check that is not answered yet */
} Bed;

static void
on_start (void *user, PhAttemptId id)
{
  Bed *bed = user;
  const PhAttempt *attempt = ph_attempt_get (&bed->world->attempts, id);

  if (bed->started_count == STARTED_MAX)
    abort ();
  bed->priorities[bed->started_count] = ph_call_get (&bed->world->calls, attempt->call)->priority;
  bed->started_at[bed->started_count] = bed->ctx.now;
  bed->started[bed->started_count++] = id;
}

static void
on_cancel (void *user, PhAttemptId id)
{
  (void)user;
  (void)id;
}

static void
on_refuse (void *user, PhCallId id, const PhRefusal *refusal)
{
  Bed *bed = user;

  (void)id;
  bed->refused[refusal->reason]++;
}

static void
on_probe (void *user, PhUpstreamId id)
{
  ((Bed *)user)->probe = id;
}

static void
bed_start (Bed *bed, PhLimitFunc adapt)
{
  const PhEffects effects = { .start_attempt = on_start,
                              .cancel_attempt = on_cancel,
                              .refuse_call = on_refuse,
                              .send_probe = on_probe,
                              .user = bed };
  PhService *service;

  memset (bed, 0, sizeof *bed);
  bed->ctx.now = 10 * PH_SECOND;
  ph_random_seed (&bed->ctx.random, 1);
  bed->world = bed_world_new (&bed->ctx, &effects, "kamloops", SLOTS);
  bed->world->admission.policy.adapt_limit = adapt;
  bed->world->admission.cold_start.is_cold = false;
  bed->world->admission.announcement_expires_at = PH_TIME_NEVER;
  service = bed_service (bed->world);
  service->rules.queue_ms = 250;
  ph_world_tick (&bed->ctx, bed->world);
}

static void
bed_stop (Bed *bed)
{
  ph_world_drop (&bed->ctx, bed->world);
}

static void
tick (Bed *bed, PhTime time)
{
  bed->ctx.now += time;
  ph_probe_result (&bed->ctx, bed->world, bed->probe, true, PH_MS);
  ph_world_tick (&bed->ctx, bed->world);
}

typedef struct
{
  uint32_t priority;
  PhTime objective;
  PhTime deadline;
  bool has_others;
} Call;

static void
open_call (Bed *bed, const Call *call)
{
  const PhCallOptions opts = { .service = BED_SERVICE,
                               .origin = PH_ORIGIN_PEER,
                               .upstream_epoch = 1,
                               .priority = call->priority,
                               .objective = call->objective,
                               .has_alternatives = call->has_others,
                               .time_left = call->deadline };
  PhRefusal refusal;

  ph_call_open (&bed->ctx, bed->world, &opts, &refusal);
}

/* Ends the attempt that was started first of those that run. */
static void
end_first (Bed *bed, PhOutcome outcome)
{
  if (bed->ended < bed->started_count)
    bed_end_attempt (&bed->ctx, bed->world, bed->started[bed->ended++], outcome);
}

typedef struct
{
  const char *name;
  bool keeps_on_errors;
  PhOutcome outcome;
  bool is_kept;
} FailureCase;

/* Guards against a limit that falls to 1 when calls fail because of what they call themselves: an
 * upstream of the platform says 500 then. Seen after a data centre was taken out and the service
 * below had no upstream left (fleetbench inpas-malla trouble-1 --seed 367200581596, RECOVER). */
static const FailureCase failure_cases[] = {
  { "failures of the application, kept", true, PH_OUTCOME_ERROR, true },
  { "sheds lower the limit", true, PH_OUTCOME_SHED, false },
  { "failures, the product's default", false, PH_OUTCOME_ERROR, false },
};

static void
test_failures (void)
{
  static const Call call = { 0, 0, 5 * PH_SECOND, false };

  for (size_t i = 0; i < PH_ARRAY_SIZE (failure_cases); i++)
    {
      const FailureCase *c = &failure_cases[i];
      uint32_t least = SLOTS;
      Bed bed;

      bed_start (&bed, ph_limit_fixed);
      bed.world->admission.policy.keeps_limit_on_errors = c->keeps_on_errors;
      for (int n = 0; n < 300; n++)
        {
          open_call (&bed, &call);
          tick (&bed, 10 * PH_MS);
          if (n % 3 != 0)
            end_first (&bed, c->outcome);
          else
            end_first (&bed, PH_OUTCOME_OK);
          if (ph_admission_limit (&bed.ctx, bed.world) < least)
            least = ph_admission_limit (&bed.ctx, bed.world);
        }
      if ((least == SLOTS) != c->is_kept)
        CU_FAIL (c->name);
      bed_stop (&bed);
    }
}

typedef struct
{
  const char *name;
  Call first;
  Call second;
  bool is_second_first; /* the call that came later starts first */
} OrderCase;

/* Guards against slots that go to calls for which they make no difference any more, and against a
 * kind of call that is served less than a less urgent one. */
static const OrderCase order_cases[] = {
  { "equal calls in order of arrival",
    { 1, 400 * PH_MS, 2 * PH_SECOND, false },
    { 1, 400 * PH_MS, 2 * PH_SECOND, false },
    false },
  { "the more urgent first",
    { 2, 400 * PH_MS, 2 * PH_SECOND, false },
    { 1, 400 * PH_MS, 2 * PH_SECOND, false },
    true },
  { "the shorter objective first",
    { 1, 400 * PH_MS, 2 * PH_SECOND, false },
    { 1, 150 * PH_MS, 2 * PH_SECOND, false },
    true },
  { "in time before late, whatever the priority",
    { 0, 1, 2 * PH_SECOND, false },
    { 3, 400 * PH_MS, 2 * PH_SECOND, false },
    true },
  { "of late calls the more urgent first",
    { 2, 1, 2 * PH_SECOND, false },
    { 1, 1, 2 * PH_SECOND, false },
    true },
};

static void
test_order (void)
{
  static const Call filler = { 0, 0, 5 * PH_SECOND, false };

  for (size_t i = 0; i < PH_ARRAY_SIZE (order_cases); i++)
    {
      const OrderCase *c = &order_cases[i];
      Bed bed;
      PhTime first_start = PH_TIME_NEVER;

      bed_start (&bed, ph_limit_fixed);
      for (int n = 0; n < SLOTS; n++)
        open_call (&bed, &filler);
      tick (&bed, 0);
      open_call (&bed, &c->first);
      tick (&bed, PH_MS);
      open_call (&bed, &c->second);
      tick (&bed, PH_MS);
      CU_ASSERT_EQUAL (bed.world->admission.queued, 2);
      end_first (&bed, PH_OUTCOME_OK);
      tick (&bed, 0);
      CU_ASSERT_EQUAL (bed.started_count, SLOTS + 1);
      first_start = ph_attempt_get (&bed.world->attempts, bed.started[SLOTS])->queued_at;
      if ((first_start == bed.ctx.now) != c->is_second_first)
        CU_FAIL (c->name);
      bed_stop (&bed);
    }
}

typedef struct
{
  const char *name;
  uint64_t slowness;
  PhTime age;
  bool has_others;
  bool is_sent_on;
} SlowCase;

/* Guards against calls that run on a VM whose neighbours keep it busy, though the node beside it
 * knows and other upstreams are idle; and against calls that are passed around. */
static const SlowCase slow_cases[] = {
  { "slow, others left", 400, 20 * PH_MS, true, true },
  { "slow, no others", 400, 20 * PH_MS, false, false },
  { "usual", 100, 20 * PH_MS, true, false },
  { "not told", 0, 0, true, false },
  { "slow some time ago", 400, 300 * PH_MS, true, false },
};

static void
test_slow (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (slow_cases); i++)
    {
      const SlowCase *c = &slow_cases[i];
      const Call call = { 0, 400 * PH_MS, 2 * PH_SECOND, c->has_others };
      Bed bed;

      bed_start (&bed, ph_limit_fixed);
      ph_admission_report_slowdown (&bed.ctx, bed.world, (uint32_t)c->slowness);
      tick (&bed, c->age);
      open_call (&bed, &call);
      tick (&bed, 0);
      if ((bed.refused[PH_REASON_SLOW] == 1) != c->is_sent_on)
        CU_FAIL (c->name);
      CU_ASSERT_EQUAL (bed.started_count, c->is_sent_on ? 0 : 1);
      bed_stop (&bed);
    }
}

typedef struct
{
  const char *name;
  PhTime age;      /* of the last word on the VM, that it is as usual */
  uint32_t answer; /* of the check: slowness of the VM, 0 for none */
  bool has_others;
  bool waits; /* for the answer */
  bool is_sent_on;
} AskCase;

static const AskCase ask_cases[] = {
  { "old word, slow now", 200 * PH_MS, 400, true, true, true },
  { "old word, as usual now", 200 * PH_MS, 100, true, true, false },
  { "old word, no answer", 200 * PH_MS, 0, true, true, false },
  { "old word, no others", 200 * PH_MS, 400, false, false, false },
  { "fresh word", 20 * PH_MS, 400, true, false, false },
};

#define ASK_BOUND (11 * PH_MS) /* 10 ms and the tick */

static void
run_ask_case (Bed *bed, const AskCase *c)
{
  const Call call = { 0, 400 * PH_MS, 2 * PH_SECOND, c->has_others };

  bed_service (bed->world)->rules.probes_per_minute = 3600;
  tick (bed, PH_PROBE_PERIOD);
  tick (bed, 0);
  ph_admission_report_slowdown (&bed->ctx, bed->world, 100);
  bed->ctx.now += c->age;
  open_call (bed, &call);
  ph_world_tick (&bed->ctx, bed->world);
  CU_ASSERT_EQUAL (bed->started_count, c->waits ? 0 : 1);
  if (c->answer != 0)
    {
      ph_admission_report_slowdown (&bed->ctx, bed->world, c->answer);
      ph_probe_result (&bed->ctx, bed->world, bed->probe, true, PH_MS);
    }
  else
    bed->ctx.now += ASK_BOUND;
  ph_world_tick (&bed->ctx, bed->world);
  CU_ASSERT_EQUAL (bed->refused[PH_REASON_SLOW], c->is_sent_on ? 1 : 0);
  CU_ASSERT_EQUAL (bed->started_count, c->is_sent_on ? 0 : 1);
}

/* Guards against calls that run on a VM that turned slow since its last response (38% of the calls
 * that came 150 ms or later after a word that it was slow were late in quiet-1 of inpas-malla), and
 * against calls that are held when the check is not answered. */
static void
test_ask (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (ask_cases); i++)
    {
      Bed bed;

      bed_start (&bed, ph_limit_fixed);
      run_ask_case (&bed, &ask_cases[i]);
      if (CU_get_number_of_failures () > 0)
        printf ("ask: %s\n", ask_cases[i].name);
      bed_stop (&bed);
    }
}

/* Guards against calls that their entry node keeps at its own upstream while the VM is slow. */
static void
test_slow_at_entry (void)
{
  const PhMemberRecord other = { .name = "b",
                                 .address = "10.0.0.2",
                                 .data_centre = "kamloops",
                                 .region = "bc-south",
                                 .epoch = 1,
                                 .incarnation = 1,
                                 .peer_port = 1,
                                 .has_upstream = true,
                                 .service = BED_SERVICE,
                                 .version = "1",
                                 .upstream_state = PH_UPSTREAM_READY,
                                 .slots = SLOTS };
  const PhCallOptions opts = { .service = BED_SERVICE,
                               .origin = PH_ORIGIN_CALLER,
                               .is_idempotent = true,
                               .can_resend = true,
                               .time_left = 2 * PH_SECOND };
  const PhLoad busy = { .in_flight = SLOTS, .limit = SLOTS, .slowdown_percent = 190 };
  PhRefusal refusal;
  PhUpstreamId id;
  Bed bed;

  bed_start (&bed, ph_limit_fixed);
  ph_member_merge (&bed.ctx, bed.world, &other);
  id = ph_member_get (&bed.world->members, ph_member_find (bed.world, "b"))->upstream;
  for (int i = 0; i < 4; i++)
    {
      ph_upstream_report_load (&bed.ctx, bed.world, id, &busy);
      ph_admission_report_slowdown (&bed.ctx, bed.world, 200);
      ph_call_open (&bed.ctx, bed.world, &opts, &refusal);
      tick (&bed, PH_MS);
    }
  CU_ASSERT_EQUAL (bed.started_count, 4);
  for (uint32_t i = 0; i < bed.started_count; i++)
    CU_ASSERT_FALSE (ph_attempt_get (&bed.world->attempts, bed.started[i])->is_local);
  bed_stop (&bed);
}

/* Guards against calls that wait for a slot of a VM that is slow meanwhile. */
static void
test_slow_while_queued (void)
{
  const Call call = { 0, 400 * PH_MS, 2 * PH_SECOND, true };
  Bed bed;

  bed_start (&bed, ph_limit_fixed);
  for (int i = 0; i <= SLOTS; i++)
    open_call (&bed, &call);
  tick (&bed, 0);
  CU_ASSERT_EQUAL (bed.started_count, SLOTS);
  ph_admission_report_slowdown (&bed.ctx, bed.world, 400);
  tick (&bed, 0);
  CU_ASSERT_EQUAL (bed.refused[PH_REASON_SLOW], 1);
  bed_stop (&bed);
}

typedef struct
{
  const char *name;
  uint32_t percent;
  uint32_t limit;
} SlotCase;

/* Guards against an upstream that is filled past the point from which it works slower. */
static const SlotCase slot_cases[] = {
  { "all", 0, 9 },
  { "80 percent of 9", 80, 7 },
  { "never none", 1, 1 },
};

static void
test_slots (void)
{
  static const Call call = { 0, 0, 5 * PH_SECOND, false };

  for (size_t i = 0; i < PH_ARRAY_SIZE (slot_cases); i++)
    {
      const SlotCase *c = &slot_cases[i];
      Bed bed;

      bed_start (&bed, ph_limit_fixed);
      bed_service (bed.world)->rules.slot_percent = c->percent;
      bed_announce (&bed.ctx, bed.world, PH_UPSTREAM_READY, "1", SLOTS);
      tick (&bed, 0);
      for (int n = 0; n < 2 * SLOTS; n++)
        open_call (&bed, &call);
      tick (&bed, 0);
      if (bed.started_count != c->limit)
        CU_FAIL (c->name);
      bed_stop (&bed);
    }
}

typedef struct
{
  const char *name;
  double per_s;
  PhTime warm_before; /* calls without a bound before the upstream turns cold */
  PhTime gap;         /* between two calls */
} ColdCase;

#define COLD_FACTOR 1.5 /* of the platform's bound: rate times this, and five more */
#define COLD_EXTRA 5

/* Guards against more calls to a cold upstream than it bears in any one second: from the start, and
 * when it turns cold under load. */
static const ColdCase cold_cases[] = {
  { "cold at the start", 19, 0, 5 * PH_MS },
  { "turns cold under load", 19, 2 * PH_SECOND, 30 * PH_MS },
  { "cold at a low rate", 3, 0, 10 * PH_MS },
};

static void
test_cold_rate (void)
{
  static const Call call = { 0, 0, 200 * PH_MS, false };

  for (size_t i = 0; i < PH_ARRAY_SIZE (cold_cases); i++)
    {
      const ColdCase *c = &cold_cases[i];
      Bed bed;
      uint32_t worst = 0;
      uint32_t from;

      bed_start (&bed, ph_limit_fixed);
      bed_service (bed.world)->rules.cold_calls_per_s = c->per_s;
      for (PhTime end = bed.ctx.now + c->warm_before; bed.ctx.now < end;)
        {
          open_call (&bed, &call);
          tick (&bed, c->gap);
          end_first (&bed, PH_OUTCOME_OK);
        }
      from = bed.started_count;
      ph_admission_report_cold (&bed.ctx, bed.world, 3 * PH_SECOND);
      for (PhTime end = bed.ctx.now + 3 * PH_SECOND; bed.ctx.now < end;)
        {
          open_call (&bed, &call);
          tick (&bed, c->gap);
          end_first (&bed, PH_OUTCOME_OK);
        }
      for (uint32_t a = from; a < bed.started_count; a++)
        {
          uint32_t count = 0;

          while (a + count < bed.started_count
                 && bed.started_at[a + count] < bed.started_at[a] + PH_SECOND)
            count++;
          worst = count > worst ? count : worst;
        }
      if (worst > c->per_s * COLD_FACTOR + COLD_EXTRA)
        CU_FAIL (c->name);
      if (bed.started_count - from < 2 * c->per_s)
        {
          printf ("%s: %u started, %u limit, %u deadline\n", c->name, bed.started_count - from,
                  bed.refused[PH_REASON_LIMIT], bed.refused[PH_REASON_DEADLINE]);
          CU_FAIL ("the rate is used");
        }
      bed_stop (&bed);
    }
}

static const PhTest tests[] = {
  { "failures and the limit", test_failures },
  { "order of waiting calls", test_order },
  { "calls sent on from a slow VM", test_slow },
  { "calls wait for a check on a VM", test_ask },
  { "calls are sent on from a slow VM by their entry node", test_slow_at_entry },
  { "calls that wait are sent on from a slow VM", test_slow_while_queued },
  { "part of the slots", test_slots },
  { "rate of a cold upstream", test_cold_rate },
};
PH_TEST_SUITE (overload, tests)
