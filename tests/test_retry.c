#include <math.h>
#include <stdlib.h>

#include "pollenhitch/call.h"
#include "pollenhitch/retry.h"
#include "test.h"

#define CALLS 100000

/* Guards against more extra attempts than the share of calls that the rules allow, and against a
 * budget that cannot be used. */
static void
test_shares (void)
{
  static const struct
  {
    uint32_t percent;
    uint32_t depth;
    PhRetryKind kind;
    double share; /* of the calls, when each call asks for an extra attempt */
  } cases[] = {
    { 10, 0, PH_RETRY_NOT_RUN, 0.1 },  { 10, 8, PH_RETRY_NOT_RUN, 0.1 },
    { 0, 0, PH_RETRY_NOT_RUN, 0 },     { 100, 0, PH_RETRY_NOT_RUN, 1 },
    { 10, 0, PH_RETRY_RERUN, 0.05 },   { 10, 1, PH_RETRY_RERUN, 0.025 },
    { 10, 4, PH_RETRY_RERUN, 0.01 },   { 10, 0, PH_RETRY_HEDGE, 0.05 },
    { 20, 4, PH_RETRY_HEDGE, 0.02 },   { 0, 0, PH_RETRY_HEDGE, 0 },
    { 10, 0, PH_RETRY_REDIRECT, 0.3 }, { 10, 8, PH_RETRY_REDIRECT, 0.3 },
    { 50, 0, PH_RETRY_REDIRECT, 1 },   { 0, 0, PH_RETRY_REDIRECT, 0 },
  };

  for (uint32_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      PhRetryBudget budget;
      uint32_t taken = 0;

      ph_retry_reset (&budget);
      for (uint32_t j = 0; j < CALLS; j++)
        {
          ph_retry_deposit (&budget, cases[i].percent, cases[i].depth);
          taken += ph_retry_withdraw (&budget, cases[i].kind);
        }
      CU_ASSERT_DOUBLE_EQUAL (taken, cases[i].share * CALLS, 12);
    }
}

/* Guards against a burst that grows with the fleet: 88 full buckets of 10 broke the budget of a
 * service when an upstream of it crashed. */
static void
test_burst (void)
{
  static const struct
  {
    uint32_t nodes;
    uint32_t least; /* attempts that one full bucket allows */
    uint32_t most;
  } cases[] = {
    { 0, 10, 10 }, { 1, 10, 10 }, { 11, 10, 10 }, { 20, 8, 8 }, { 88, 1, 2 }, { 3200, 1, 2 },
  };

  for (uint32_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      PhRetryBudget budget;
      uint32_t taken = 0;

      ph_retry_reset (&budget);
      ph_retry_set_node_count (&budget, cases[i].nodes);
      for (uint32_t j = 0; j < CALLS; j++)
        ph_retry_deposit (&budget, 10, 0);
      while (ph_retry_withdraw (&budget, PH_RETRY_NOT_RUN))
        taken++;
      CU_ASSERT_TRUE (taken >= cases[i].least && taken <= cases[i].most);
    }
}

/* Guards against hedges that leave nothing to calls that were refused and not run. */
static void
test_reserve (void)
{
  static const struct
  {
    uint32_t nodes;
    uint32_t hedges, retries; /* of a full bucket */
  } cases[] = { { 1, 5, 5 }, { 11, 5, 5 }, { 88, 1, 1 } };

  for (uint32_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      PhRetryBudget budget;
      uint32_t hedges = 0, retries = 0;

      ph_retry_reset (&budget);
      ph_retry_set_node_count (&budget, cases[i].nodes);
      while (ph_retry_withdraw (&budget, PH_RETRY_HEDGE))
        hedges++;
      while (ph_retry_withdraw (&budget, PH_RETRY_NOT_RUN))
        retries++;
      CU_ASSERT_EQUAL (hedges, cases[i].hedges);
      CU_ASSERT_EQUAL (retries, cases[i].retries);
    }
}

typedef struct
{
  PhRetryBudget budgets[PH_DEPTH_MAX + 1];
  uint32_t bottom; /* runs of the last layer */
  bool is_marked;  /* whether reruns carry their mark */
} Chain;

/* One attempt at a layer: it calls the next layer, loses the response, and is run again if the
 * layer's budget allows. */
static void
run_layer (Chain *chain, uint32_t depth, bool is_rerun)
{
  bool is_again = false;

  if (!is_rerun)
    ph_retry_deposit (&chain->budgets[depth], 10, chain->is_marked ? depth : 0);
  do
    {
      if (depth == PH_DEPTH_MAX)
        chain->bottom++;
      else
        run_layer (chain, depth + 1, chain->is_marked && (is_rerun || is_again));
      is_again = !is_rerun && ph_retry_withdraw (&chain->budgets[depth], PH_RETRY_RERUN);
    }
  while (is_again);
}

/* Guards against extra attempts that multiply over the layers of a chain: nine layers whose every
 * response is lost stay within 1 + 5% * (1 + 1/2 + ... + 1/9) runs of the last layer. */
static void
test_depth (void)
{
  Chain chain = { .is_marked = true };
  double bound = 1;

  for (uint32_t i = 0; i <= PH_DEPTH_MAX; i++)
    {
      ph_retry_reset (&chain.budgets[i]);
      bound += 0.05 / (i + 1);
    }
  for (uint32_t i = 0; i < CALLS; i++)
    run_layer (&chain, 0, false);
  CU_ASSERT_TRUE (chain.bottom > 1.05 * CALLS);
  CU_ASSERT_TRUE (chain.bottom < bound * CALLS + 10 * (PH_DEPTH_MAX + 1));
}

/* Guards against hedges at the wrong quantile: 5% of the latencies are above the estimate, give or
 * take one part in three, at each scale and after the scale changes. */
static void
test_quantile (void)
{
  static const double scales[] = { 3000, 50000, 3000, 1000000 };
  PhRetryBudget budget;
  PhRandom random;

  ph_random_seed (&random, 1);
  ph_retry_reset (&budget);
  CU_ASSERT_EQUAL (ph_retry_hedge_delay (&budget, 0), PH_TIME_NEVER);
  for (uint32_t i = 0; i < PH_ARRAY_SIZE (scales); i++)
    {
      uint32_t above = 0;

      for (uint32_t j = 0; j < 20000; j++)
        {
          PhTime latency = (PhTime)(-scales[i] * log (1 - ph_random_unit (&random)));

          above += j >= 10000 && latency > ph_retry_hedge_delay (&budget, 0);
          ph_retry_observe (&budget, 0, latency);
        }
      CU_ASSERT_DOUBLE_EQUAL (above, 500, 500 / 3.0);
    }
}

/* Guards against a stall at the bottom of a chain being hedged at its top: each such hedge runs the
 * whole chain below it again, and two chains of nine levels filled 26 slots of one node. */
static void
test_order_of_depths (void)
{
  static const struct
  {
    uint32_t levels; /* of the chains that were seen */
    uint32_t depth, deeper;
    bool is_deeper_first;
  } cases[] = {
    { 9, 0, 1, true },
    { 9, 0, 8, true },
    { 9, 7, 8, true },
    { 3, 7, 8, false }, /* not seen: the same for both */
  };

  for (uint32_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      PhRetryBudget budget;
      PhTime first;

      ph_retry_reset (&budget);
      for (uint32_t j = 0; j < CALLS / 100; j++)
        for (uint32_t depth = 0; depth < cases[i].levels; depth++)
          ph_retry_observe (&budget, depth, (cases[i].levels - depth) * 3 * PH_MS);
      first = ph_retry_hedge_delay (&budget, cases[i].depth);
      CU_ASSERT_NOT_EQUAL (first, PH_TIME_NEVER);
      CU_ASSERT_EQUAL (ph_retry_hedge_delay (&budget, cases[i].deeper) < first,
                       cases[i].is_deeper_first);
    }
}

static const PhTest tests[] = {
  { "a call is hedged after those below it", test_order_of_depths },
  { "shares of calls", test_shares },
  { "bursts of a fleet", test_burst },
  { "hedges leave a reserve", test_reserve },
  { "nine layers do not multiply", test_depth },
  { "quantile of hedges", test_quantile },
};
PH_TEST_SUITE (retry, tests)
