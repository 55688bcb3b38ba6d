#include <string.h>

#include "pollenhitch/cold.h"
#include "pollenhitch/limit.h"
#include "test.h"

#define MAX 9

static PhSample
sample_at (PhTime now, PhTime latency, PhOutcome outcome, uint32_t in_flight)
{
  return (PhSample){ now, now - latency, latency, outcome, in_flight };
}

/* A run of samples; the expected range of the limit at its end. */
static const struct
{
  const char *name;
  PhLimitFunc adapt;
  double start;
  PhTime latency;
  PhTime last_latency; /* the latency moves evenly from the first to the last */
  double min;
  double max;
  uint32_t count;
  uint32_t in_flight;
  uint32_t fail_every; /* 0: none fails */
  PhOutcome failure;
} limit_cases[] = {
  { "grows to the slots", ph_limit_gradient, 1, 10000, 10000, MAX, MAX, 2000, MAX, 0, 0 },
  { "unused limit stays", ph_limit_gradient, 4, 10000, 10000, 4, 4, 2000, 1, 0, 0 },
  { "slow drift is not congestion", ph_limit_gradient, MAX, 10000, 50000, 8, MAX, 9000, MAX, 0, 0 },
  { "fast rise is", ph_limit_gradient, MAX, 5000, 100000, 1, 6, 300, MAX, 0, 0 },
  { "few errors are the application's", ph_limit_gradient, MAX, 10000, 10000, 8, MAX, 2000, MAX, 10,
    PH_OUTCOME_ERROR },
  { "many errors lower it", ph_limit_gradient, MAX, 10000, 10000, 1, 4, 2000, MAX, 2,
    PH_OUTCOME_ERROR },
  { "sheds lower it", ph_limit_gradient, MAX, 10000, 10000, 1, 7, 2000, MAX, 20, PH_OUTCOME_SHED },
  /* fleetbench chre-mesh-grown scale-1: all upstreams shed 4 in 10 calls, the limits fell to 1, and
   * three quarters of the calls were refused although the VMs had room. */
  { "sheds by chance leave half", ph_limit_fixed, MAX, 10000, 10000, MAX / 2.0, MAX, 2000, MAX, 3,
    PH_OUTCOME_SHED },
  { "every call is shed", ph_limit_fixed, MAX, 10000, 10000, 1, 1, 200, MAX, 1, PH_OUTCOME_SHED },
  { "recovers after one shed", ph_limit_gradient, MAX, 10000, 10000, 8, MAX, 2000, MAX, 1500,
    PH_OUTCOME_SHED },
  { "only failures", ph_limit_gradient, MAX, 100, 100, 1, 1, 200, MAX, 1, PH_OUTCOME_ERROR },
  { "cancelled calls say nothing", ph_limit_gradient, MAX, 100, 100, MAX, MAX, 200, MAX, 1,
    PH_OUTCOME_UNKNOWN },
  { "fixed grows back", ph_limit_fixed, 1, 10000, 90000, MAX, MAX, 2000, MAX, 0, 0 },
};

/* Guards against a limit that drifts, mixed errors or fast failures move the wrong way. */
static void
test_limit_cases (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (limit_cases); i++)
    {
      PhLimit limit;
      PhTime now = PH_SECOND;

      ph_limit_reset (&limit, limit_cases[i].start, MAX);
      limit.shed_floor_fraction = limit_cases[i].adapt == ph_limit_fixed ? 0.5 : 0;
      for (uint32_t n = 1; n <= limit_cases[i].count; n++)
        {
          bool is_failed = limit_cases[i].fail_every > 0 && n % limit_cases[i].fail_every == 0;
          PhTime rise = limit_cases[i].last_latency - limit_cases[i].latency;
          PhTime latency = limit_cases[i].latency + rise * n / limit_cases[i].count;
          PhSample sample = sample_at (now += 2 * PH_MS, latency,
                                       is_failed ? limit_cases[i].failure : PH_OUTCOME_OK,
                                       limit_cases[i].in_flight);

          ph_limit_sample (&limit, limit_cases[i].adapt, NULL, &sample);
          CU_ASSERT_FATAL (limit.value >= 1 && limit.value <= MAX);
        }
      if (limit.value < limit_cases[i].min || limit.value > limit_cases[i].max)
        {
          printf ("%s: %.2f\n", limit_cases[i].name, limit.value);
          CU_FAIL (limit_cases[i].name);
        }
    }
}

/* Upstreams that shed calls by chance, at any load. */
static const struct
{
  double shed_ratio;
  double min; /* least limit in 20,000 calls */
} chance_cases[] = { { 0.2, MAX / 2.0 }, { 0.4, MAX / 2.0 }, { 0.5, MAX / 2.0 } };

/* Guards against a limit that falls to 1 after some sheds in a row (fleetbench chre-mesh-grown
 * scale-1, 16 to 22 s). */
static void
test_chance (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (chance_cases); i++)
    {
      double least = MAX;
      PhRandom random;
      PhLimit limit;

      ph_random_seed (&random, i + 1);
      ph_limit_reset (&limit, MAX, MAX);
      limit.shed_floor_fraction = 0.5;
      for (PhTime now = PH_SECOND; now < 401 * PH_SECOND; now += 20 * PH_MS)
        {
          bool is_shed = ph_random_unit (&random) < chance_cases[i].shed_ratio;
          PhSample sample
              = sample_at (now, 10 * PH_MS, is_shed ? PH_OUTCOME_SHED : PH_OUTCOME_OK, 4);

          ph_limit_sample (&limit, ph_limit_fixed, NULL, &sample);
          least = limit.value < least ? limit.value : least;
        }
      if (least < chance_cases[i].min)
        {
          printf ("%g of the calls shed: %.2f\n", chance_cases[i].shed_ratio, least);
          CU_FAIL ("the limit fell");
        }
    }
}

/* Guards against an upstream that looks fast because it fails fast, and against an estimate that
 * refuses every call for ever after a slow time. */
static void
test_latency (void)
{
  PhLimit limit;
  PhSample ok = sample_at (PH_SECOND, 10 * PH_MS, PH_OUTCOME_OK, 1);
  PhSample error = sample_at (PH_SECOND, 10, PH_OUTCOME_ERROR, 1);

  ph_limit_reset (&limit, MAX, MAX);
  ph_limit_sample (&limit, ph_limit_gradient, NULL, &ok);
  CU_ASSERT_EQUAL (ph_limit_latency (&limit, PH_SECOND, 0), 10 * PH_MS);
  for (int i = 0; i < 100; i++)
    ph_limit_sample (&limit, ph_limit_gradient, NULL, &error);
  CU_ASSERT_EQUAL (ph_limit_latency (&limit, PH_SECOND, 0), 10 * PH_MS);
  CU_ASSERT (ph_limit_time_per_success (&limit) > 100 * PH_MS);
  CU_ASSERT (ph_limit_latency (&limit, 20 * PH_SECOND, 3) < 100);
}

/* An upstream that bears capacity calls, at the level of the cold start, for some seconds. */
static const struct
{
  const char *name;
  PhTime length;
  PhTime latency;
  PhTime latency_above; /* at levels above 4 */
  double min;
  double max;
  uint32_t capacity;
  bool is_announced;
  bool is_cold; /* at the end */
} cold_cases[] = {
  { "silent and warm", 4 * PH_SECOND, 10000, 10000, MAX, MAX, MAX, false, false },
  { "announced", 5 * PH_SECOND, 10000, 10000, 3, 6, MAX, true, true },
  { "announced, after the ramp", 13 * PH_SECOND, 10000, 10000, MAX, MAX, MAX, true, false },
  { "bears 3", 20 * PH_SECOND, 10000, 10000, 2, 4, 3, false, true },
  { "bears none", 20 * PH_SECOND, 10000, 10000, 1, 1, 0, false, true },
  { "slower above 4", 2 * PH_SECOND, 10000, 50000, 5, 5, MAX, false, true },
};

/* Guards against a ramp that gives more than the upstream bears, or never ends. */
static void
test_cold_cases (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (cold_cases); i++)
    {
      PhColdStart cold;
      PhTime now = PH_SECOND;

      ph_cold_begin (&cold, now, cold_cases[i].is_announced, MAX);
      CU_ASSERT_EQUAL (cold.step_limit, 1);
      while (now < PH_SECOND + cold_cases[i].length)
        {
          bool is_over = cold.step_limit > cold_cases[i].capacity;
          PhTime latency
              = cold.step_limit > 4 ? cold_cases[i].latency_above : cold_cases[i].latency;
          PhSample sample
              = sample_at (now += 5 * PH_MS, latency, is_over ? PH_OUTCOME_ERROR : PH_OUTCOME_OK,
                           (uint32_t)cold.step_limit);

          ph_cold_sample (&cold, &sample, MAX);
          CU_ASSERT_FATAL (cold.step_limit >= 1 && cold.step_limit <= MAX);
        }
      if (cold.is_cold != cold_cases[i].is_cold || cold.step_limit < cold_cases[i].min
          || cold.step_limit > cold_cases[i].max)
        {
          printf ("%s: level %.2f, cold %d\n", cold_cases[i].name, cold.step_limit, cold.is_cold);
          CU_FAIL (cold_cases[i].name);
        }
    }
}

static const PhTest tests[] = {
  { "limit after a run of samples", test_limit_cases },
  { "calls shed by chance", test_chance },
  { "estimate of the latency", test_latency },
  { "cold start", test_cold_cases },
};
PH_TEST_SUITE (limit, tests)
