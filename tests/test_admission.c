#include <string.h>

#include "bed.h"
#include "test.h"

#define SLOTS 4             /* announced by the upstream */
#define RANDOM_STEPS 200000 /* of each random test */

/* A node with a local upstream whose calls end when the test ends them. */
typedef struct
{
  PhContext ctx;
  PhWorld *world;
  PhAttemptId in_flight[2 * SLOTS]; /* in no particular order */
  uint32_t in_flight_count;
  uint32_t start_count;   /* attempts started so far */
  uint32_t refusal_count; /* calls refused so far */
  PhRefusal last_refusal;
} TestBed;

static void
on_start (void *user, PhAttemptId id)
{
  TestBed *bed = user;

  bed->start_count++;
  bed->in_flight[bed->in_flight_count++] = id;
}

static void
on_cancel (void *user, PhAttemptId id)
{
  TestBed *bed = user;

  for (uint32_t i = 0; i < bed->in_flight_count; i++)
    if (bed->in_flight[i].v == id.v)
      bed->in_flight[i] = bed->in_flight[--bed->in_flight_count];
}

static void
on_refuse (void *user, PhCallId id, const PhRefusal *refusal)
{
  TestBed *bed = user;

  (void)id;
  bed->refusal_count++;
  bed->last_refusal = *refusal;
}

static void
announce (TestBed *bed, PhUpstreamState state, const char *version)
{
  bed_announce (&bed->ctx, bed->world, state, version, SLOTS);
}

static void
set_up (TestBed *bed, uint64_t seed)
{
  const PhEffects effects = {
    .start_attempt = on_start, .cancel_attempt = on_cancel, .refuse_call = on_refuse, .user = bed
  };

  memset (bed, 0, sizeof *bed);
  bed->ctx.now = PH_SECOND;
  ph_random_seed (&bed->ctx.random, seed);
  bed->world = bed_world_new (&bed->ctx, &effects, "kamloops", SLOTS);
}

static PhCallId
open_call (TestBed *bed, PhTime time_left)
{
  return bed_call (&bed->ctx, bed->world, time_left);
}

static void
end_call (TestBed *bed, uint32_t index, PhOutcome outcome)
{
  PhAttemptId id = bed->in_flight[index];

  bed->in_flight[index] = bed->in_flight[--bed->in_flight_count];
  bed_end_attempt (&bed->ctx, bed->world, id, outcome);
}

static void
tick_after (TestBed *bed, PhTime elapsed)
{
  bed->ctx.now += elapsed;
  ph_world_tick (&bed->ctx, bed->world);
}

/* Differential test against a sorted array. Guards against lost entries, a wrong order of entries
 * with equal keys, and a wrong rank. */
static void
test_waitqueue_random (void)
{
  static PhWaitQueue queue;
  PhWaitEntry sorted[PH_WAITQUEUE_MAX];
  uint32_t count = 0;
  PhRandom random;
  PhWaitEntry first;

  ph_random_seed (&random, 1);
  for (uint32_t step = 1; step <= RANDOM_STEPS; step++)
    {
      PhWaitEntry entry = { ph_random_below (&random, 50), ph_random_below (&random, 4), step };
      bool is_filling = (step / 1000) % 2 == 0;
      uint32_t position = 0;

      if (ph_random_below (&random, 10) < (is_filling ? 7u : 3u))
        {
          while (position < count
                 && (sorted[position].key < entry.key
                     || (sorted[position].key == entry.key
                         && sorted[position].arrival <= entry.arrival)))
            position++;
          CU_ASSERT_EQUAL_FATAL (ph_waitqueue_rank (&queue, &entry), position);
          CU_ASSERT_EQUAL_FATAL (ph_waitqueue_add (&queue, &entry), count < PH_WAITQUEUE_MAX);
          if (count == PH_WAITQUEUE_MAX)
            continue;
          memmove (&sorted[position + 1], &sorted[position], (count++ - position) * sizeof *sorted);
          sorted[position] = entry;
        }
      else if (count > 0)
        {
          position = ph_random_below (&random, count);
          CU_ASSERT_TRUE_FATAL (ph_waitqueue_remove (&queue, &sorted[position]));
          CU_ASSERT_FALSE_FATAL (ph_waitqueue_remove (&queue, &sorted[position]));
          memmove (&sorted[position], &sorted[position + 1], (--count - position) * sizeof *sorted);
        }
      CU_ASSERT_EQUAL_FATAL (ph_waitqueue_count (&queue), count);
      CU_ASSERT_EQUAL_FATAL (ph_waitqueue_first (&queue, &first), count > 0);
      if (count > 0)
        CU_ASSERT_EQUAL_FATAL (first.handle, sorted[0].handle);
    }
}

static void
act_drain (TestBed *bed)
{
  announce (bed, PH_UPSTREAM_DRAINING, "1");
}

static void
act_replace_upstream (TestBed *bed)
{
  announce (bed, PH_UPSTREAM_READY, "2");
}

static void
act_take_data_centre_out (TestBed *bed)
{
  ph_data_centre_get (&bed->world->data_centres, bed->world->data_centre)->is_out_of_service = true;
  bed->world->admission.is_pending = true;
}

static void
act_fill_queue (TestBed *bed)
{
  while (bed->world->admission.queued < PH_WAITQUEUE_MAX)
    {
      open_call (bed, 10 * PH_SECOND);
      ph_world_tick (&bed->ctx, bed->world);
    }
  open_call (bed, 10 * PH_SECOND);
}

static void
act_open_infeasible (TestBed *bed)
{
  bed->world->admission.limit.latency = (PhEstimate){ 30 * PH_MS, bed->ctx.now };
  open_call (bed, 10 * PH_MS);
}

static void
act_fail_probes (TestBed *bed)
{
  bed->world->probe.down_until = bed->ctx.now + PH_SECOND;
  bed->world->admission.is_pending = true;
}

/* One call is in flight at the limit of 1 with which a cold start begins, and another is queued.
 * The service's maximum queue time is 100 ms. */
static const struct
{
  const char *name;
  void (*action) (TestBed *bed); /* after the second call was queued; may be NULL */
  PhTime wait;                   /* after the action, microseconds */
  uint32_t refusal_count;
  PhReason reason;
} refusal_cases[] = {
  { "within the maximum queue time", NULL, 100 * PH_MS, 0, PH_REASON_NONE },
  { "maximum queue time exceeded", NULL, 100 * PH_MS + 1, 1, PH_REASON_QUEUE_TIME },
  { "upstream announces that it is draining", act_drain, 0, 1, PH_REASON_DRAINING },
  { "upstream replaced by another version", act_replace_upstream, 0, 1, PH_REASON_STALE_UPSTREAM },
  { "data centre taken out of service", act_take_data_centre_out, 0, 1, PH_REASON_DATA_CENTRE_OUT },
  { "queue full", act_fill_queue, 0, 1, PH_REASON_LIMIT },
  { "deadline earlier than the estimated response", act_open_infeasible, 0, 1, PH_REASON_DEADLINE },
  { "health probes failed", act_fail_probes, 0, 1, PH_REASON_CONNECT },
};

/* Guards against queued attempts that start after the upstream was closed to calls, that wait too
 * long, or that are refused with a wrong reason or as if they had been run. Calls in flight must
 * finish in all these cases. */
static void
test_refusals (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (refusal_cases); i++)
    {
      TestBed bed;

      set_up (&bed, 1);
      open_call (&bed, 10 * PH_SECOND);
      tick_after (&bed, 0);
      open_call (&bed, 10 * PH_SECOND);
      tick_after (&bed, 0);
      CU_ASSERT_EQUAL (bed.world->admission.queued, 1);
      if (refusal_cases[i].action != NULL)
        refusal_cases[i].action (&bed);
      tick_after (&bed, refusal_cases[i].wait);
      if (bed.refusal_count != refusal_cases[i].refusal_count
          || bed.last_refusal.reason != refusal_cases[i].reason
          || bed.last_refusal.run != PH_RUN_NO)
        CU_FAIL (refusal_cases[i].name);
      CU_ASSERT_EQUAL (bed.start_count, 1);
      end_call (&bed, 0, PH_OUTCOME_OK);
      CU_ASSERT_EQUAL (bed.last_refusal.run, PH_RUN_NO);
      ph_world_drop (&bed.ctx, bed.world);
    }
}

/* Counts the queued attempts in the table, for comparison with the count that admission keeps. */
static uint32_t
count_queued (const TestBed *bed)
{
  PhAttemptId id = { 0 };
  uint32_t count = 0;

  while ((id = ph_attempt_next (&bed->world->attempts, id)).v != 0)
    count += ph_attempt_get (&bed->world->attempts, id)->state == PH_ATTEMPT_QUEUED;
  return count;
}

static void
act_at_random (TestBed *bed)
{
  PhRandom *random = &bed->ctx.random;
  uint32_t draw = ph_random_below (random, 1000);
  PhDataCentre *dc = ph_data_centre_get (&bed->world->data_centres, bed->world->data_centre);

  if (draw < 500)
    open_call (bed, PH_MS * (1 + ph_random_below (random, 200)));
  else if (draw < 980 && bed->in_flight_count > 0)
    end_call (bed, ph_random_below (random, bed->in_flight_count),
              draw < 940 ? PH_OUTCOME_OK : draw % 3);
  else if (draw < 984)
    announce (bed, ph_random_below (random, 3), "1");
  else if (draw < 985)
    announce (bed, PH_UPSTREAM_READY, ph_random_below (random, 2) == 0 ? "1" : "2");
  else if (draw < 990)
    dc->is_out_of_service = !dc->is_out_of_service;
  else if (draw < 995)
    ph_call_abort (&bed->ctx, bed->world, ph_call_next (&bed->world->calls, (PhCallId){ 0 }));
}

/* Long random sequence of calls, outcomes and state changes, in addition to the invariants that
 * the core checks itself. Guards against more calls in flight than slots, a wrong count of queued
 * attempts, and calls that never end. */
static void
test_random_operations (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      TestBed bed;

      set_up (&bed, seed);
      for (uint32_t step = 0; step < RANDOM_STEPS / 5; step++)
        {
          const PhAdmission *admission = &bed.world->admission;

          act_at_random (&bed);
          tick_after (&bed, ph_random_below (&bed.ctx.random, 2 * PH_MS));
          CU_ASSERT_FATAL (bed.in_flight_count <= SLOTS);
          CU_ASSERT_EQUAL_FATAL (admission->in_flight, bed.in_flight_count);
          CU_ASSERT_EQUAL_FATAL (admission->queued, count_queued (&bed));
          /* Attempts are queued only while others are in flight, or during the pause of a cold
           * start after a failure. */
          CU_ASSERT_FATAL (admission->queued == 0 || bed.in_flight_count > 0
                           || ph_admission_limit (&bed.ctx, bed.world) == 0);
        }
      CU_ASSERT (bed.start_count > 1000);
      ph_data_centre_get (&bed.world->data_centres, bed.world->data_centre)->is_out_of_service
          = false;
      tick_after (&bed, 10 * PH_SECOND);
      CU_ASSERT_TRUE (ph_world_is_idle (bed.world));
      ph_world_drop (&bed.ctx, bed.world);
    }
}

/* Guards against starvation of a call with a distant deadline (10 s) while calls with near
 * deadlines (90 ms) keep arriving. It has to start within 95 steps of 1 ms; its maximum queue time
 * is 100 ms. */
static void
test_distant_deadlines (void)
{
  TestBed bed;
  PhCallId distant;
  uint32_t steps = 0;

  set_up (&bed, 1);
  open_call (&bed, 10 * PH_SECOND);
  tick_after (&bed, 0);
  distant = open_call (&bed, 10 * PH_SECOND);
  for (; steps < 95; steps++)
    {
      open_call (&bed, 90 * PH_MS);
      tick_after (&bed, 0);
      if (steps % 2 == 1)
        end_call (&bed, 0, PH_OUTCOME_OK);
      tick_after (&bed, PH_MS);
      if (ph_attempt_get (&bed.world->attempts,
                          ph_call_get (&bed.world->calls, distant)->latest_attempt)
              ->state
          == PH_ATTEMPT_STARTED)
        break;
    }
  CU_ASSERT (steps < 95);
  ph_world_drop (&bed.ctx, bed.world);
}

/* Guards against queued calls that are all refused after a stall. The upstream sends no response
 * for ten seconds while calls are queued, and this time counts as an interval between two releases,
 * from which the queue wait is estimated. */
static void
test_after_stall (void)
{
  TestBed bed;

  set_up (&bed, 1);
  for (int i = 0; i < 2; i++)
    {
      open_call (&bed, 20 * PH_SECOND);
      tick_after (&bed, 0);
    }
  end_call (&bed, 0, PH_OUTCOME_OK);
  tick_after (&bed, 0);
  open_call (&bed, 20 * PH_SECOND);
  tick_after (&bed, 0);
  /* So that the next release counts as an interval. */
  bed.world->admission.had_queued_attempts = true;
  for (int i = 0; i < 10; i++)
    {
      announce (&bed, PH_UPSTREAM_READY, "1");
      tick_after (&bed, PH_SECOND);
    }
  end_call (&bed, 0, PH_OUTCOME_OK);
  /* In the first rounds the estimate of the queue wait may refuse calls. The last one counts. */
  for (int i = 0; i < 20; i++)
    {
      bed.start_count = bed.refusal_count = 0;
      /* One call in flight, so that the second one is queued. */
      bed.world->admission.cold_start.step_limit = 1;
      open_call (&bed, PH_SECOND);
      tick_after (&bed, 0);
      open_call (&bed, PH_SECOND);
      tick_after (&bed, 0);
      end_call (&bed, 0, PH_OUTCOME_OK);
      tick_after (&bed, 50 * PH_MS);
      if (bed.in_flight_count > 0)
        end_call (&bed, 0, PH_OUTCOME_OK);
      tick_after (&bed, 50 * PH_MS);
    }
  CU_ASSERT_EQUAL (bed.start_count, 2);
  CU_ASSERT_EQUAL (bed.refusal_count, 0);
  ph_world_drop (&bed.ctx, bed.world);
}

static void
act_return_data_centre (TestBed *bed)
{
  act_take_data_centre_out (bed);
  tick_after (bed, 0);
  ph_data_centre_get (&bed->world->data_centres, bed->world->data_centre)->is_out_of_service
      = false;
}

static void
act_change_port (TestBed *bed)
{
  ph_upstream_get (&bed->world->upstreams, bed->world->admission.upstream)->port = 2;
}

static void
act_announce_cold (TestBed *bed)
{
  announce (bed, PH_UPSTREAM_COLD, "1");
}

static void
act_announce_ready (TestBed *bed)
{
  announce (bed, PH_UPSTREAM_READY, "1");
}

static void
set_version_rule (TestBed *bed, uint32_t max_slots, uint32_t cold_start_s)
{
  PhService *service = bed_service (bed->world);

  service->version_rule_count = 1;
  service->version_rules[0]
      = (PhVersionRule){ .version = "1", .max_slots = max_slots, .cold_start_s = cold_start_s };
}

static void
act_limit_slots (TestBed *bed)
{
  set_version_rule (bed, 2, 0);
}

static const struct
{
  const char *name;
  void (*action) (TestBed *bed);
  uint32_t limit;     /* after the action */
  uint32_t in_flight; /* after the action; 1 before */
} reset_cases[] = {
  { "renewed announcement", act_announce_ready, SLOTS, 1 },
  { "upstream announces that it is cold", act_announce_cold, 1, 1 },
  { "another version at the same port", act_replace_upstream, 1, 1 },
  { "another process at another port", act_change_port, 1, 0 },
  { "data centre put back into service", act_return_data_centre, 1, 1 },
  { "slots limited by a rule for the version", act_limit_slots, 2, 1 },
};

/* Guards against full load on an upstream that is new or cold, and against calls in flight that
 * are no longer counted, or are counted for another process. */
static void
test_resets (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (reset_cases); i++)
    {
      TestBed bed;

      set_up (&bed, 1);
      bed.world->admission.cold_start.is_cold = false;
      open_call (&bed, PH_SECOND);
      tick_after (&bed, 0);
      reset_cases[i].action (&bed);
      bed.world->admission.is_pending = true;
      tick_after (&bed, 0);
      if (ph_admission_limit (&bed.ctx, bed.world) != reset_cases[i].limit
          || bed.world->admission.in_flight != reset_cases[i].in_flight)
        CU_FAIL (reset_cases[i].name);
      end_call (&bed, 0, PH_OUTCOME_OK);
      CU_ASSERT_EQUAL (bed.world->admission.in_flight, 0);
      ph_world_drop (&bed.ctx, bed.world);
    }
}

/* Guards against a version rule for the duration of the cold start that is stored but has no
 * effect. */
static void
test_cold_rule (void)
{
  TestBed bed;

  set_up (&bed, 1);
  set_version_rule (&bed, 0, 40);
  announce (&bed, PH_UPSTREAM_COLD, "1");
  CU_ASSERT_EQUAL (bed.world->admission.cold_start.step_duration, 40 * PH_SECOND / (SLOTS - 1));
  announce (&bed, PH_UPSTREAM_READY, "1");
  tick_after (&bed, 0);
  CU_ASSERT_TRUE (bed.world->admission.cold_start.is_cold);
  CU_ASSERT_EQUAL (bed.world->admission.cold_start.step_duration, 40 * PH_SECOND / (SLOTS - 1));
  ph_world_drop (&bed.ctx, bed.world);
}

/* An attempt without a response that is cancelled after more than four times the usual latency,
 * 10 ms, can count as an error. */
#define CANCEL_AFTER (100 * PH_MS)

static const struct
{
  const char *name;
  bool has_response;  /* another call gets a response while the cancelled ones are open */
  bool is_limit_kept; /* the limit stays at the announced slots */
} cancel_cases[] = {
  { "upstream hangs and sends no responses", false, false },
  { "calls wait for an upstream further down their chain", true, true },
};

/* Guards against attempts of a call chain that are cancelled while they wait for an upstream
 * further down the chain, and are counted as failures of every upstream above it: an upstream
 * with a limit of 39 was put back into a cold start, with a limit of 1, and the next chains were
 * refused. An upstream that sends no responses at all must still lose its limit. */
static void
test_cancelled (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (cancel_cases); i++)
    {
      TestBed bed;
      bool is_limit_kept = true;

      set_up (&bed, 1);
      bed.world->admission.cold_start.is_cold = false;
      for (int n = 0; n < 20; n++)
        {
          open_call (&bed, PH_SECOND);
          tick_after (&bed, 0);
          tick_after (&bed, 10 * PH_MS);
          end_call (&bed, 0, PH_OUTCOME_OK);
        }
      for (int n = 0; n < 40; n++)
        {
          PhCallId ids[SLOTS - 1];

          announce (&bed, PH_UPSTREAM_READY, "1");
          for (int k = 0; k < SLOTS - 1; k++)
            ids[k] = open_call (&bed, PH_SECOND);
          tick_after (&bed, 0);
          tick_after (&bed, CANCEL_AFTER);
          if (cancel_cases[i].has_response)
            {
              open_call (&bed, PH_SECOND);
              tick_after (&bed, 0);
              tick_after (&bed, 10 * PH_MS);
              /* No attempt is started during the pause of a cold start. */
              if (bed.in_flight_count > 0)
                end_call (&bed, bed.in_flight_count - 1, PH_OUTCOME_OK);
            }
          for (int k = 0; k < SLOTS - 1; k++)
            ph_call_abort (&bed.ctx, bed.world, ids[k]);
          if (ph_admission_limit (&bed.ctx, bed.world) < SLOTS)
            is_limit_kept = false;
        }
      if (is_limit_kept != cancel_cases[i].is_limit_kept)
        CU_FAIL (cancel_cases[i].name);
      ph_world_drop (&bed.ctx, bed.world);
    }
}

static const struct
{
  const char *name;
  bool has_response; /* the response to the first call, which stays open, has started */
  uint32_t limit_min, limit_max;
} slow_caller_cases[] = {
  { "caller reads a response slowly", true, 2, SLOTS },
  { "no response has started", false, 0, 1 },
};

/* Guards against a cold start that never ends: the only slot of its first step was held by a
 * caller that read a large response slowly, and 2,000 calls were refused during the 30 s of the
 * read. */
static void
test_slow_callers (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (slow_caller_cases); i++)
    {
      TestBed bed;
      uint32_t limit;

      set_up (&bed, 1);
      open_call (&bed, 100 * PH_SECOND);
      tick_after (&bed, 0);
      if (slow_caller_cases[i].has_response)
        ph_attempt_response (&bed.ctx, bed.world, bed.in_flight[0]);
      for (int n = 0; n < 40; n++)
        {
          open_call (&bed, PH_SECOND);
          tick_after (&bed, 50 * PH_MS);
        }
      limit = ph_admission_limit (&bed.ctx, bed.world);
      if (limit < slow_caller_cases[i].limit_min || limit > slow_caller_cases[i].limit_max)
        CU_FAIL (slow_caller_cases[i].name);
      ph_world_drop (&bed.ctx, bed.world);
    }
}

static const PhTest tests[] = {
  { "cancelled attempts lower the limit only of an upstream that sends no responses",
    test_cancelled },
  { "slow callers do not block a cold start", test_slow_callers },
  { "version rule sets the duration of the cold start", test_cold_rule },
  { "queue agrees with a sorted array", test_waitqueue_random },
  { "queued attempts are refused with the right reason", test_refusals },
  { "limit and calls in flight after the upstream changed", test_resets },
  { "calls with distant deadlines are not starved", test_distant_deadlines },
  { "queued calls are started again after a stall", test_after_stall },
  { "random operations keep limits and counts", test_random_operations },
};
PH_TEST_SUITE (admission, tests)
