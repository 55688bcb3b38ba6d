#include <string.h>

#include "pollenhitch/cold.h"
#include "pollenhitch/limit.h"
#include "test.h"

#define SLOTS 9 /* announced slots of the upstream */

static PhSample
sample_at (PhTime now, PhTime latency, PhOutcome outcome, uint32_t in_flight)
{
  return (PhSample){ now, now - latency, latency, outcome, in_flight };
}

/* A series of samples, 2 ms apart, and the expected range of the limit at its end. */
static const struct
{
  const char *name;
  PhLimitFunc adapt;
  double initial;
  PhTime latency;      /* of the first sample, microseconds */
  PhTime last_latency; /* of the last sample; the latency changes linearly */
  double min;          /* of the limit at the end */
  double max;
  uint32_t count;            /* samples */
  uint32_t in_flight;        /* of every sample */
  uint32_t failure_interval; /* number of samples per failed one; 0 if none fails */
  PhOutcome failure;         /* outcome of the failed samples */
} limit_cases[] = {
  { "successes: grows to the announced slots", ph_limit_gradient, 1, 10000, 10000, SLOTS, SLOTS,
    2000, SLOTS, 0, 0 },
  { "successes below the limit: does not grow", ph_limit_gradient, 4, 10000, 10000, 4, 4, 2000, 1,
    0, 0 },
  { "slow rise of the latency: not congestion, kept", ph_limit_gradient, SLOTS, 10000, 50000, 8,
    SLOTS, 9000, SLOTS, 0, 0 },
  { "fast rise of the latency: lowered", ph_limit_gradient, SLOTS, 5000, 100000, 1, 6, 300, SLOTS,
    0, 0 },
  { "a tenth of the calls fail: attributed to the application, kept", ph_limit_gradient, SLOTS,
    10000, 10000, 8, SLOTS, 2000, SLOTS, 10, PH_OUTCOME_ERROR },
  { "half of the calls fail: lowered", ph_limit_gradient, SLOTS, 10000, 10000, 1, 4, 2000, SLOTS, 2,
    PH_OUTCOME_ERROR },
  { "a twentieth of the calls shed: lowered", ph_limit_gradient, SLOTS, 10000, 10000, 1, 7, 2000,
    SLOTS, 20, PH_OUTCOME_SHED },
  /* fleetbench chre-mesh-grown scale-1: all upstreams shed 4 in 10 calls, the limits fell to 1,
   * and three quarters of the calls were refused although the VMs had capacity left. */
  { "a third of the calls shed, floor of half the slots: not below the floor", ph_limit_fixed,
    SLOTS, 10000, 10000, SLOTS / 2.0, SLOTS, 2000, SLOTS, 3, PH_OUTCOME_SHED },
  { "every call shed, floor of half the slots: lowered to 1", ph_limit_fixed, SLOTS, 10000, 10000,
    1, 1, 200, SLOTS, 1, PH_OUTCOME_SHED },
  { "one call shed: recovers", ph_limit_gradient, SLOTS, 10000, 10000, 8, SLOTS, 2000, SLOTS, 1500,
    PH_OUTCOME_SHED },
  { "only errors: lowered to 1", ph_limit_gradient, SLOTS, 100, 100, 1, 1, 200, SLOTS, 1,
    PH_OUTCOME_ERROR },
  { "only cancelled calls: unchanged", ph_limit_gradient, SLOTS, 100, 100, SLOTS, SLOTS, 200, SLOTS,
    1, PH_OUTCOME_UNKNOWN },
  { "fixed limit, successes: grows back to the slots", ph_limit_fixed, 1, 10000, 90000, SLOTS,
    SLOTS, 2000, SLOTS, 0, 0 },
};

/* Guards against a limit that changes in the wrong direction when the latency drifts, some calls
 * fail, or calls fail fast. */
static void
test_limit_cases (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (limit_cases); i++)
    {
      PhLimit limit;
      PhTime now = PH_SECOND;

      ph_limit_reset (&limit, limit_cases[i].initial, SLOTS);
      limit.shed_floor_fraction = limit_cases[i].adapt == ph_limit_fixed ? 0.5 : 0;
      for (uint32_t n = 1; n <= limit_cases[i].count; n++)
        {
          bool is_failed
              = limit_cases[i].failure_interval > 0 && n % limit_cases[i].failure_interval == 0;
          PhTime rise = limit_cases[i].last_latency - limit_cases[i].latency;
          PhTime latency = limit_cases[i].latency + rise * n / limit_cases[i].count;
          PhSample sample = sample_at (now += 2 * PH_MS, latency,
                                       is_failed ? limit_cases[i].failure : PH_OUTCOME_OK,
                                       limit_cases[i].in_flight);

          ph_limit_sample (&limit, limit_cases[i].adapt, NULL, &sample);
          CU_ASSERT_FATAL (limit.value >= 1 && limit.value <= SLOTS);
        }
      if (limit.value < limit_cases[i].min || limit.value > limit_cases[i].max)
        {
          printf ("%s: %.2f\n", limit_cases[i].name, limit.value);
          CU_FAIL (limit_cases[i].name);
        }
    }
}

/* Upstreams that shed calls at random, whatever their load. */
static const struct
{
  double shed_ratio;
  double min; /* lower bound of the limit during 20,000 calls */
} random_shed_cases[] = { { 0.2, SLOTS / 2.0 }, { 0.4, SLOTS / 2.0 }, { 0.5, SLOTS / 2.0 } };

/* Guards against a limit that falls to 1 after several shed calls in a row (fleetbench
 * chre-mesh-grown scale-1, from 16 s to 22 s of the run). */
static void
test_random_sheds (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (random_shed_cases); i++)
    {
      double lowest = SLOTS;
      PhRandom random;
      PhLimit limit;

      ph_random_seed (&random, i + 1);
      ph_limit_reset (&limit, SLOTS, SLOTS);
      limit.shed_floor_fraction = 0.5;
      for (PhTime now = PH_SECOND; now < 401 * PH_SECOND; now += 20 * PH_MS)
        {
          bool is_shed = ph_random_unit (&random) < random_shed_cases[i].shed_ratio;
          PhSample sample
              = sample_at (now, 10 * PH_MS, is_shed ? PH_OUTCOME_SHED : PH_OUTCOME_OK, 4);

          ph_limit_sample (&limit, ph_limit_fixed, NULL, &sample);
          lowest = limit.value < lowest ? limit.value : lowest;
        }
      if (lowest < random_shed_cases[i].min)
        {
          printf ("%g of the calls shed: lowest limit %.2f\n", random_shed_cases[i].shed_ratio,
                  lowest);
          CU_FAIL ("the limit fell below its lower bound");
        }
    }
}

/* Guards against an upstream that appears fast because it fails fast, and against a latency
 * estimate that refuses every call forever after a period of high latency. */
static void
test_latency (void)
{
  PhLimit limit;
  PhSample ok = sample_at (PH_SECOND, 10 * PH_MS, PH_OUTCOME_OK, 1);
  PhSample error = sample_at (PH_SECOND, 10, PH_OUTCOME_ERROR, 1);

  ph_limit_reset (&limit, SLOTS, SLOTS);
  ph_limit_sample (&limit, ph_limit_gradient, NULL, &ok);
  CU_ASSERT_EQUAL (ph_limit_latency (&limit, PH_SECOND, 0), 10 * PH_MS);
  for (int i = 0; i < 100; i++)
    ph_limit_sample (&limit, ph_limit_gradient, NULL, &error);
  CU_ASSERT_EQUAL (ph_limit_latency (&limit, PH_SECOND, 0), 10 * PH_MS);
  CU_ASSERT (ph_limit_time_per_success (&limit) > 100 * PH_MS);
  CU_ASSERT (ph_limit_latency (&limit, 20 * PH_SECOND, 3) < 100);
}

/* A series of calls, each of which is made with as many calls in flight as the step of the cold
 * start allows. The calls fail while that number is above the field capacity. */
static const struct
{
  const char *name;
  PhTime duration;
  PhTime latency;         /* with up to 4 calls in flight, microseconds */
  PhTime latency_above_4; /* with more than 4 calls in flight, microseconds */
  double min;             /* of the step limit at the end */
  double max;
  uint32_t capacity;
  bool is_announced;
  bool is_cold; /* at the end */
} cold_cases[] = {
  { "not announced as cold", 4 * PH_SECOND, 10000, 10000, SLOTS, SLOTS, SLOTS, false, false },
  { "announced as cold, during the ramp", 5 * PH_SECOND, 10000, 10000, 3, 6, SLOTS, true, true },
  { "announced as cold, after the ramp", 13 * PH_SECOND, 10000, 10000, SLOTS, SLOTS, SLOTS, true,
    false },
  { "capacity of 3 calls", 20 * PH_SECOND, 10000, 10000, 2, 4, 3, false, true },
  { "no capacity", 20 * PH_SECOND, 10000, 10000, 1, 1, 0, false, true },
  { "latency rises above 4 calls in flight", 2 * PH_SECOND, 10000, 50000, 5, 5, SLOTS, false,
    true },
};

/* Guards against a ramp that admits more calls than the upstream can serve, or that never ends. */
static void
test_cold_cases (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (cold_cases); i++)
    {
      PhColdStart cold;
      PhTime now = PH_SECOND;

      ph_cold_begin (&cold, now, cold_cases[i].is_announced, SLOTS);
      CU_ASSERT_EQUAL (cold.step_limit, 1);
      while (now < PH_SECOND + cold_cases[i].duration)
        {
          bool is_overloaded = cold.step_limit > cold_cases[i].capacity;
          PhTime latency
              = cold.step_limit > 4 ? cold_cases[i].latency_above_4 : cold_cases[i].latency;
          PhSample sample = sample_at (now += 5 * PH_MS, latency,
                                       is_overloaded ? PH_OUTCOME_ERROR : PH_OUTCOME_OK,
                                       (uint32_t)cold.step_limit);

          ph_cold_sample (&cold, &sample, SLOTS);
          CU_ASSERT_FATAL (cold.step_limit >= 1 && cold.step_limit <= SLOTS);
        }
      if (cold.is_cold != cold_cases[i].is_cold || cold.step_limit < cold_cases[i].min
          || cold.step_limit > cold_cases[i].max)
        {
          printf ("%s: step limit %.2f, cold %d\n", cold_cases[i].name, cold.step_limit,
                  cold.is_cold);
          CU_FAIL (cold_cases[i].name);
        }
    }
}

static const PhTest tests[] = {
  { "limit after a series of samples", test_limit_cases },
  { "limit when calls are shed at random", test_random_sheds },
  { "latency estimate", test_latency },
  { "cold start", test_cold_cases },
};
PH_TEST_SUITE (limit, tests)
