#include <string.h>

#include "bed.h"
#include "test.h"

#define SLOTS 4
#define STEPS 200000

/* A core with an upstream that ends calls when the test says so. */
typedef struct
{
  PhContext ctx;
  PhWorld *world;
  PhAttemptId started[2 * SLOTS];
  uint32_t started_count;
  uint32_t starts;
  uint32_t refusals;
  PhRefusal last;
} Bed;

static void
on_start (void *user, PhAttemptId id)
{
  Bed *bed = user;

  bed->starts++;
  bed->started[bed->started_count++] = id;
}

static void
on_cancel (void *user, PhAttemptId id)
{
  Bed *bed = user;

  for (uint32_t i = 0; i < bed->started_count; i++)
    if (bed->started[i].v == id.v)
      bed->started[i] = bed->started[--bed->started_count];
}

static void
on_refuse (void *user, PhCallId id, const PhRefusal *refusal)
{
  Bed *bed = user;

  (void)id;
  bed->refusals++;
  bed->last = *refusal;
}

static void
announce (Bed *bed, PhUpstreamState state, const char *version)
{
  bed_announce (&bed->ctx, bed->world, state, version, SLOTS);
}

static void
set_up (Bed *bed, uint64_t seed)
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
open_call (Bed *bed, PhTime time_left)
{
  return bed_call (&bed->ctx, bed->world, time_left);
}

static void
end_call (Bed *bed, uint32_t at, PhOutcome outcome)
{
  PhAttemptId id = bed->started[at];

  bed->started[at] = bed->started[--bed->started_count];
  bed_end_attempt (&bed->ctx, bed->world, id, outcome);
}

static void
tick_after (Bed *bed, PhTime time)
{
  bed->ctx.now += time;
  ph_world_tick (&bed->ctx, bed->world);
}

/* Differential test against a sorted array. Guards against lost entries, a wrong order of equal
 * keys and a wrong rank. */
static void
test_waitqueue_random (void)
{
  static PhWaitQueue queue;
  PhWaitEntry naive[PH_WAITQUEUE_MAX];
  uint32_t count = 0;
  PhRandom random;
  PhWaitEntry first;

  ph_random_seed (&random, 1);
  for (uint32_t step = 1; step <= STEPS; step++)
    {
      PhWaitEntry entry = { ph_random_below (&random, 50), ph_random_below (&random, 4), step };
      bool is_filling = (step / 1000) % 2 == 0;
      uint32_t at = 0;

      if (ph_random_below (&random, 10) < (is_filling ? 7u : 3u))
        {
          while (at < count
                 && (naive[at].key < entry.key
                     || (naive[at].key == entry.key && naive[at].arrival <= entry.arrival)))
            at++;
          CU_ASSERT_EQUAL_FATAL (ph_waitqueue_rank (&queue, &entry), at);
          CU_ASSERT_EQUAL_FATAL (ph_waitqueue_add (&queue, &entry), count < PH_WAITQUEUE_MAX);
          if (count == PH_WAITQUEUE_MAX)
            continue;
          memmove (&naive[at + 1], &naive[at], (count++ - at) * sizeof *naive);
          naive[at] = entry;
        }
      else if (count > 0)
        {
          at = ph_random_below (&random, count);
          CU_ASSERT_TRUE_FATAL (ph_waitqueue_remove (&queue, &naive[at]));
          CU_ASSERT_FALSE_FATAL (ph_waitqueue_remove (&queue, &naive[at]));
          memmove (&naive[at], &naive[at + 1], (--count - at) * sizeof *naive);
        }
      CU_ASSERT_EQUAL_FATAL (ph_waitqueue_count (&queue), count);
      CU_ASSERT_EQUAL_FATAL (ph_waitqueue_first (&queue, &first), count > 0);
      if (count > 0)
        CU_ASSERT_EQUAL_FATAL (first.handle, naive[0].handle);
    }
}

static void
act_drain (Bed *bed)
{
  announce (bed, PH_UPSTREAM_DRAINING, "1");
}

static void
act_replace (Bed *bed)
{
  announce (bed, PH_UPSTREAM_READY, "2");
}

static void
act_take_out (Bed *bed)
{
  ph_data_centre_get (&bed->world->data_centres, bed->world->data_centre)->is_out_of_service = true;
  bed->world->admission.is_pending = true;
}

static void
act_fill_queue (Bed *bed)
{
  while (bed->world->admission.queued < PH_WAITQUEUE_MAX)
    {
      open_call (bed, 10 * PH_SECOND);
      ph_world_tick (&bed->ctx, bed->world);
    }
  open_call (bed, 10 * PH_SECOND);
}

static void
act_learn_latency (Bed *bed)
{
  bed->world->admission.limit.latency = (PhEstimate){ 30 * PH_MS, bed->ctx.now };
  open_call (bed, 10 * PH_MS);
}

static void
act_probe_failed (Bed *bed)
{
  bed->world->probe.down_until = bed->ctx.now + PH_SECOND;
  bed->world->admission.is_pending = true;
}

/* One call is in flight at a limit of one, one is queued for up to 100 ms. */
static const struct
{
  const char *name;
  void (*act) (Bed *bed);
  PhTime wait;
  uint32_t refusals;
  PhReason reason;
} refusal_cases[] = {
  { "nothing happens within the queue time", NULL, 100 * PH_MS, 0, PH_REASON_NONE },
  { "queue time is over", NULL, 100 * PH_MS + 1, 1, PH_REASON_QUEUE_TIME },
  { "draining", act_drain, 0, 1, PH_REASON_DRAINING },
  { "replaced", act_replace, 0, 1, PH_REASON_STALE_UPSTREAM },
  { "data centre out", act_take_out, 0, 1, PH_REASON_DATA_CENTRE_OUT },
  { "full queue", act_fill_queue, 0, 1, PH_REASON_LIMIT },
  { "infeasible deadline", act_learn_latency, 0, 1, PH_REASON_DEADLINE },
  { "probes failed", act_probe_failed, 0, 1, PH_REASON_CONNECT },
};

/* Guards against queued work that starts after the upstream is closed, waits too long, or is
 * refused with a wrong reason or as run; calls in flight must finish all the same. */
static void
test_refusals (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (refusal_cases); i++)
    {
      Bed bed;

      set_up (&bed, 1);
      open_call (&bed, 10 * PH_SECOND);
      tick_after (&bed, 0);
      open_call (&bed, 10 * PH_SECOND);
      tick_after (&bed, 0);
      CU_ASSERT_EQUAL (bed.world->admission.queued, 1);
      if (refusal_cases[i].act != NULL)
        refusal_cases[i].act (&bed);
      tick_after (&bed, refusal_cases[i].wait);
      if (bed.refusals != refusal_cases[i].refusals || bed.last.reason != refusal_cases[i].reason
          || bed.last.run != PH_RUN_NO)
        CU_FAIL (refusal_cases[i].name);
      CU_ASSERT_EQUAL (bed.starts, 1);
      end_call (&bed, 0, PH_OUTCOME_OK);
      CU_ASSERT_EQUAL (bed.last.run, PH_RUN_NO);
      ph_world_drop (&bed.ctx, bed.world);
    }
}

static uint32_t
count_queued (const Bed *bed)
{
  PhAttemptId id = { 0 };
  uint32_t count = 0;

  while ((id = ph_attempt_next (&bed->world->attempts, id)).v != 0)
    count += ph_attempt_get (&bed->world->attempts, id)->state == PH_ATTEMPT_QUEUED;
  return count;
}

static void
act_randomly (Bed *bed)
{
  PhRandom *random = &bed->ctx.random;
  uint32_t what = ph_random_below (random, 1000);
  PhDataCentre *dc = ph_data_centre_get (&bed->world->data_centres, bed->world->data_centre);

  if (what < 500)
    open_call (bed, PH_MS * (1 + ph_random_below (random, 200)));
  else if (what < 980 && bed->started_count > 0)
    end_call (bed, ph_random_below (random, bed->started_count),
              what < 940 ? PH_OUTCOME_OK : what % 3);
  else if (what < 984)
    announce (bed, ph_random_below (random, 3), "1");
  else if (what < 985)
    announce (bed, PH_UPSTREAM_READY, ph_random_below (random, 2) == 0 ? "1" : "2");
  else if (what < 990)
    dc->is_out_of_service = !dc->is_out_of_service;
  else if (what < 995)
    ph_call_abort (&bed->ctx, bed->world, ph_call_next (&bed->world->calls, (PhCallId){ 0 }));
}

/* Long run with faults of all kinds, beside the invariants in the core. Guards against more calls
 * in flight than slots, a queue count that drifts, and calls that are never ended. */
static void
test_random (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      Bed bed;

      set_up (&bed, seed);
      for (uint32_t step = 0; step < STEPS / 5; step++)
        {
          const PhAdmission *admission = &bed.world->admission;

          act_randomly (&bed);
          tick_after (&bed, ph_random_below (&bed.ctx.random, 2 * PH_MS));
          CU_ASSERT_FATAL (bed.started_count <= SLOTS);
          CU_ASSERT_EQUAL_FATAL (admission->in_flight, bed.started_count);
          CU_ASSERT_EQUAL_FATAL (admission->queued, count_queued (&bed));
          /* An attempt waits only behind others in flight or in a pause after a failure. */
          CU_ASSERT_FATAL (admission->queued == 0 || bed.started_count > 0
                           || ph_admission_limit (&bed.ctx, bed.world) == 0);
        }
      CU_ASSERT (bed.starts > 1000);
      ph_data_centre_get (&bed.world->data_centres, bed.world->data_centre)->is_out_of_service
          = false;
      tick_after (&bed, 10 * PH_SECOND);
      CU_ASSERT_TRUE (ph_world_is_idle (bed.world));
      ph_world_drop (&bed.ctx, bed.world);
    }
}

/* Calls with far deadlines under a steady flow of urgent ones. Guards against starvation. */
static void
test_far_deadlines (void)
{
  Bed bed;
  PhCallId far;
  uint32_t waited = 0;

  set_up (&bed, 1);
  open_call (&bed, 10 * PH_SECOND);
  tick_after (&bed, 0);
  far = open_call (&bed, 10 * PH_SECOND);
  for (; waited < 95; waited++)
    {
      open_call (&bed, 90 * PH_MS);
      tick_after (&bed, 0);
      if (waited % 2 == 1)
        end_call (&bed, 0, PH_OUTCOME_OK);
      tick_after (&bed, PH_MS);
      if (ph_attempt_get (&bed.world->attempts,
                          ph_call_get (&bed.world->calls, far)->latest_attempt)
              ->state
          == PH_ATTEMPT_STARTED)
        break;
    }
  CU_ASSERT (waited < 95);
  ph_world_drop (&bed.ctx, bed.world);
}

/* The upstream stood still for ten seconds while calls waited. Guards against an estimate of the
 * wait that refuses every queued call from then on. */
static void
test_after_stall (void)
{
  Bed bed;

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
  bed.world->admission.had_queued_attempts = true;
  for (int i = 0; i < 10; i++)
    {
      announce (&bed, PH_UPSTREAM_READY, "1");
      tick_after (&bed, PH_SECOND);
    }
  end_call (&bed, 0, PH_OUTCOME_OK);
  for (int i = 0; i < 20; i++)
    {
      bed.starts = bed.refusals = 0;
      bed.world->admission.cold_start.step_limit = 1;
      open_call (&bed, PH_SECOND);
      tick_after (&bed, 0);
      open_call (&bed, PH_SECOND);
      tick_after (&bed, 0);
      end_call (&bed, 0, PH_OUTCOME_OK);
      tick_after (&bed, 50 * PH_MS);
      if (bed.started_count > 0)
        end_call (&bed, 0, PH_OUTCOME_OK);
      tick_after (&bed, 50 * PH_MS);
    }
  CU_ASSERT_EQUAL (bed.starts, 2);
  CU_ASSERT_EQUAL (bed.refusals, 0);
  ph_world_drop (&bed.ctx, bed.world);
}

static void
act_return (Bed *bed)
{
  act_take_out (bed);
  tick_after (bed, 0);
  ph_data_centre_get (&bed->world->data_centres, bed->world->data_centre)->is_out_of_service
      = false;
}

static void
act_move_port (Bed *bed)
{
  ph_upstream_get (&bed->world->upstreams, bed->world->admission.upstream)->port = 2;
}

static void
act_announce_cold (Bed *bed)
{
  announce (bed, PH_UPSTREAM_COLD, "1");
}

static void
act_announce_ready (Bed *bed)
{
  announce (bed, PH_UPSTREAM_READY, "1");
}

static void
set_rule (Bed *bed, uint32_t max_slots, uint32_t cold_start_s)
{
  PhService *service = bed_service (bed->world);

  service->version_rule_count = 1;
  service->version_rules[0]
      = (PhVersionRule){ .version = "1", .max_slots = max_slots, .cold_start_s = cold_start_s };
}

static void
act_limit_version (Bed *bed)
{
  set_rule (bed, 2, 0);
}

static const struct
{
  const char *name;
  void (*act) (Bed *bed);
  uint32_t limit;
  uint32_t in_flight; /* of one before */
} reset_cases[] = {
  { "renewed announcement", act_announce_ready, SLOTS, 1 },
  { "announced cold", act_announce_cold, 1, 1 },
  { "another version at the same port", act_replace, 1, 1 },
  { "another process", act_move_port, 1, 0 },
  { "return of the data centre", act_return, 1, 1 },
  { "limit set for the version", act_limit_version, 2, 1 },
};

/* Guards against full load on an upstream that is new or cold, and against calls in flight that are
 * forgotten, or counted for another process. */
static void
test_resets (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (reset_cases); i++)
    {
      Bed bed;

      set_up (&bed, 1);
      bed.world->admission.cold_start.is_cold = false;
      open_call (&bed, PH_SECOND);
      tick_after (&bed, 0);
      reset_cases[i].act (&bed);
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

/* Guards against a rule for cold starts that is stored and has no effect. */
static void
test_cold_rule (void)
{
  Bed bed;

  set_up (&bed, 1);
  set_rule (&bed, 0, 40);
  announce (&bed, PH_UPSTREAM_COLD, "1");
  CU_ASSERT_EQUAL (bed.world->admission.cold_start.step_duration, 40 * PH_SECOND / (SLOTS - 1));
  announce (&bed, PH_UPSTREAM_READY, "1");
  tick_after (&bed, 0);
  CU_ASSERT_TRUE (bed.world->admission.cold_start.is_cold);
  CU_ASSERT_EQUAL (bed.world->admission.cold_start.step_duration, 40 * PH_SECOND / (SLOTS - 1));
  ph_world_drop (&bed.ctx, bed.world);
}

#define LATE_TIME (100 * PH_MS) /* over four times the usual latency of 10 ms */

static const struct
{
  const char *name;
  bool is_answered; /* another call is answered while the cancelled ones run */
  bool is_full;     /* the limit stays at all slots */
} cancel_cases[] = {
  { "an upstream that hangs", false, false },
  { "calls that wait further on", true, true },
};

/* Guards against the cancelled attempts of a chain, which waited for an upstream further on, being
 * taken for failures of every upstream on the way: a limit of 39 fell to a cold start, and the
 * next chains were refused. An upstream that answers nothing must still lose its limit. */
static void
test_cancelled (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (cancel_cases); i++)
    {
      Bed bed;
      bool is_full = true;

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
          tick_after (&bed, LATE_TIME);
          if (cancel_cases[i].is_answered)
            {
              open_call (&bed, PH_SECOND);
              tick_after (&bed, 0);
              tick_after (&bed, 10 * PH_MS);
              if (bed.started_count > 0) /* none is started in the pause of a cold start */
                end_call (&bed, bed.started_count - 1, PH_OUTCOME_OK);
            }
          for (int k = 0; k < SLOTS - 1; k++)
            ph_call_abort (&bed.ctx, bed.world, ids[k]);
          if (ph_admission_limit (&bed.ctx, bed.world) < SLOTS)
            is_full = false;
        }
      if (is_full != cancel_cases[i].is_full)
        CU_FAIL (cancel_cases[i].name);
      ph_world_drop (&bed.ctx, bed.world);
    }
}

static const struct
{
  const char *name;
  bool is_answered; /* the head of the held call's response has come */
  uint32_t limit_min, limit_max;
} held_cases[] = {
  { "slow reader", true, 2, SLOTS },
  { "no response", false, 0, 1 },
};

/* Guards against a cold start that never ends: the one slot of its first level was held by a slow
 * reader of a large response, and 2,000 calls were refused for the 30 s that it read. */
static void
test_held (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (held_cases); i++)
    {
      Bed bed;
      uint32_t limit;

      set_up (&bed, 1);
      open_call (&bed, 100 * PH_SECOND);
      tick_after (&bed, 0);
      if (held_cases[i].is_answered)
        ph_attempt_response (&bed.ctx, bed.world, bed.started[0]);
      for (int n = 0; n < 40; n++)
        {
          open_call (&bed, PH_SECOND);
          tick_after (&bed, 50 * PH_MS);
        }
      limit = ph_admission_limit (&bed.ctx, bed.world);
      if (limit < held_cases[i].limit_min || limit > held_cases[i].limit_max)
        CU_FAIL (held_cases[i].name);
      ph_world_drop (&bed.ctx, bed.world);
    }
}

static const PhTest tests[] = {
  { "cancelled attempts lower the limit of an upstream that answers nothing", test_cancelled },
  { "slow readers do not hold up a cold start", test_held },
  { "rule for cold starts is in force", test_cold_rule },
  { "queue agrees with a sorted array", test_waitqueue_random },
  { "queued attempts are refused with the right reason", test_refusals },
  { "cold starts and calls in flight", test_resets },
  { "far deadlines are not starved", test_far_deadlines },
  { "queue works again after a stall", test_after_stall },
  { "random run keeps the bounds", test_random },
};
PH_TEST_SUITE (admission, tests)
