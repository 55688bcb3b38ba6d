#include <math.h>
#include <stdlib.h>

#include "platform.h"
#include "pollenhitch/call.h"
#include "pollenhitch/retry.h"
#include "test.h"

#define CALLS 100000

/* Guards against extra attempts for a larger share of the calls than the rules allow, and against
 * a budget that cannot be used. */
static void
test_shares (void)
{
  static const struct
  {
    uint32_t percent; /* retry_percent of the service */
    uint32_t depth;   /* of all calls */
    uint32_t hedge_percent;
    PhRetryKind kind;
    double share; /* of the calls that get an extra attempt when every call requests one */
  } cases[] = {
    { 10, 0, 0, PH_RETRY_NOT_RUN, 0.1 },  { 10, 8, 0, PH_RETRY_NOT_RUN, 0.1 },
    { 0, 0, 0, PH_RETRY_NOT_RUN, 0 },     { 100, 0, 0, PH_RETRY_NOT_RUN, 1 },
    { 10, 0, 0, PH_RETRY_RERUN, 0.05 },   { 10, 1, 0, PH_RETRY_RERUN, 0.025 },
    { 10, 4, 0, PH_RETRY_RERUN, 0.01 },   { 10, 0, 0, PH_RETRY_HEDGE, 0.05 },
    { 20, 4, 0, PH_RETRY_HEDGE, 0.02 },   { 0, 0, 0, PH_RETRY_HEDGE, 0 },
    { 10, 0, 0, PH_RETRY_REDIRECT, 0.3 }, { 10, 8, 0, PH_RETRY_REDIRECT, 0.3 },
    { 50, 0, 0, PH_RETRY_REDIRECT, 1 },   { 0, 0, 0, PH_RETRY_REDIRECT, 0 },
    { 17, 0, 15, PH_RETRY_HEDGE, 0.15 },  { 17, 2, 15, PH_RETRY_HEDGE, 0.05 },
    { 17, 0, 15, PH_RETRY_RERUN, 0.085 }, { 10, 0, 15, PH_RETRY_HEDGE, 0.1 },
  };

  for (uint32_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      PhRetryBudget budget;
      uint32_t withdrawn = 0;

      ph_retry_reset (&budget);
      for (uint32_t j = 0; j < CALLS; j++)
        {
          ph_retry_deposit (&budget, cases[i].percent, cases[i].hedge_percent, cases[i].depth);
          withdrawn += ph_retry_withdraw (&budget, cases[i].kind);
        }
      CU_ASSERT_DOUBLE_EQUAL (withdrawn, cases[i].share * CALLS, 12);
    }
}

/* Guards against bursts that grow with the number of nodes: 88 full buckets of 10 exceeded the
 * budget of a service when one of its upstreams crashed, and 13 of 10 are more than the 64 that
 * fleetbench stitchmark-midlands allows. */
static void
test_burst (void)
{
  static const struct
  {
    uint32_t node_count;
    uint32_t attempts_min; /* attempts that one full bucket allows */
    uint32_t attempts_max;
  } cases[] = {
    { 0, 10, 10 }, { 1, 10, 10 }, { 9, 4, 6 },    { 13, 4, 4 },
    { 20, 2, 3 },  { 88, 1, 2 },  { 3200, 1, 2 },
  };

  for (uint32_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      PhRetryBudget budget;
      uint32_t withdrawn = 0;

      ph_retry_reset (&budget);
      ph_retry_set_node_count (&budget, cases[i].node_count);
      for (uint32_t j = 0; j < CALLS; j++)
        ph_retry_deposit (&budget, 10, 0, 0);
      while (ph_retry_withdraw (&budget, PH_RETRY_NOT_RUN))
        withdrawn++;
      CU_ASSERT_TRUE (withdrawn >= cases[i].attempts_min && withdrawn <= cases[i].attempts_max);
    }
}

/* Guards against hedges that use up the tokens for retries of calls that were refused and not
 * run. */
static void
test_reserve (void)
{
  static const struct
  {
    uint32_t node_count;
    uint32_t hedges, retries; /* that a full bucket allows, first all hedges, then retries */
  } cases[] = { { 1, 5, 5 }, { 13, 3, 1 }, { 88, 1, 1 } };

  for (uint32_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      PhRetryBudget budget;
      uint32_t hedges = 0, retries = 0;

      ph_retry_reset (&budget);
      ph_retry_set_node_count (&budget, cases[i].node_count);
      while (ph_retry_withdraw (&budget, PH_RETRY_HEDGE))
        hedges++;
      while (ph_retry_withdraw (&budget, PH_RETRY_NOT_RUN))
        retries++;
      CU_ASSERT_EQUAL (hedges, cases[i].hedges);
      CU_ASSERT_EQUAL (retries, cases[i].retries);
    }
}

/* Guards against hedges that need a full bucket: the buckets of many nodes hold two attempts, and
 * most of the budget stayed unused while calls timed out (fleetbench stitchmark-midlands-grown). */
static void
test_hedge_of_partly_filled_bucket (void)
{
  PhRetryBudget budget;

  ph_retry_reset (&budget);
  ph_retry_set_node_count (&budget, 58);
  CU_ASSERT_TRUE (ph_retry_withdraw (&budget, PH_RETRY_NOT_RUN));
  CU_ASSERT_FALSE (ph_retry_can_withdraw (&budget, PH_RETRY_HEDGE));
  for (uint32_t i = 0; i < 3; i++) /* to half an attempt more */
    ph_retry_deposit (&budget, 17, 15, 0);
  CU_ASSERT_TRUE (ph_retry_withdraw (&budget, PH_RETRY_HEDGE));
}

/* A chain of services, in which each layer calls the next one. */
typedef struct
{
  PhRetryBudget budgets[PH_DEPTH_MAX + 1]; /* of each layer */
  uint32_t bottom_runs;                    /* requests run in the last layer */
  bool marks_reruns;                       /* reruns carry the rerun mark */
} Chain;

/* One attempt at a layer, whose response is lost: it calls the next layer, and is run again as
 * often as the budget of the layer allows. */
static void
run_layer (Chain *chain, uint32_t depth, bool is_rerun)
{
  bool runs_again = false;

  if (!is_rerun)
    ph_retry_deposit (&chain->budgets[depth], 10, 0, chain->marks_reruns ? depth : 0);
  do
    {
      if (depth == PH_DEPTH_MAX)
        chain->bottom_runs++;
      else
        run_layer (chain, depth + 1, chain->marks_reruns && (is_rerun || runs_again));
      runs_again = !is_rerun && ph_retry_withdraw (&chain->budgets[depth], PH_RETRY_RERUN);
    }
  while (runs_again);
}

/* Guards against extra attempts that multiply over the layers of a chain: nine layers whose
 * responses are all lost stay within 1 + 5% * (1 + 1/2 + ... + 1/9) runs of the last layer for
 * each call. */
static void
test_depth (void)
{
  Chain chain = { .marks_reruns = true };
  double bound = 1;

  for (uint32_t i = 0; i <= PH_DEPTH_MAX; i++)
    {
      ph_retry_reset (&chain.budgets[i]);
      bound += 0.05 / (i + 1);
    }
  for (uint32_t i = 0; i < CALLS; i++)
    run_layer (&chain, 0, false);
  CU_ASSERT_TRUE (chain.bottom_runs > 1.05 * CALLS);
  CU_ASSERT_TRUE (chain.bottom_runs < bound * CALLS + 10 * (PH_DEPTH_MAX + 1));
}

typedef struct
{
  const char *name;
  uint32_t node_count;
  uint32_t extra_arrivals;  /* that the platform allows beside a fifth of the requests */
  uint32_t calls_per_node;  /* of the upper service, within the window */
  uint32_t restarted_count; /* nodes that start again in the middle of the window */
  PhRetryKind kind;         /* of the extra attempts at the upper service */
} FleetCase;

/* Guards against more extra arrivals at a service than all nodes together may cause, when another
 * service that calls it repeats requests: each run of a repeated request makes its call again
 * (fleetbench chre-mesh upstreams-shed --seed 1: 276 arrivals, 266 allowed). */
static const FleetCase fleet_cases[] = {
  { "nine nodes, refused", 9, 56, 130, 0, PH_RETRY_NOT_RUN },
  { "nine nodes, hedged", 9, 56, 130, 0, PH_RETRY_HEDGE },
  { "nine nodes, run before", 9, 56, 130, 0, PH_RETRY_RERUN },
  { "nine nodes, few calls", 9, 56, 5, 0, PH_RETRY_NOT_RUN },
  { "nine nodes, all start again", 9, 56, 130, 9, PH_RETRY_NOT_RUN },
  { "ten nodes", 10, 58, 130, 0, PH_RETRY_NOT_RUN },
  { "ten nodes, two start again", 10, 58, 40, 2, PH_RETRY_NOT_RUN },
  { "58 nodes", 58, 156, 100, 0, PH_RETRY_NOT_RUN },
  { "58 nodes, all start again, few calls", 58, 156, 4, 58, PH_RETRY_NOT_RUN },
  { "88 nodes, few calls", 88, 216, 3, 0, PH_RETRY_NOT_RUN },
  { "195 nodes, 30 start again", 195, 430, 50, 30, PH_RETRY_NOT_RUN },
  { "195 nodes, few calls, hedged", 195, 430, 2, 0, PH_RETRY_HEDGE },
};

#define FLEET_PERCENT 9 /* default of --retry-percent on the platform */
#define FLEET_HEDGE_PERCENT 8

/* Two services, of which the upper one calls the lower one once in each run, and as many extra
 * attempts at both as the budgets allow. */
typedef struct
{
  const FleetCase *c;
  PhRetryBudget *upper, *lower; /* budgets of each node */
  uint32_t requests, repeats;   /* at the lower service */
} Fleet;

static void
start_fleet_node (Fleet *fleet, uint32_t node)
{
  PhRetryBudget *budgets[] = { &fleet->upper[node], &fleet->lower[node] };

  for (int i = 0; i < 2; i++)
    {
      ph_retry_reset (budgets[i]);
      ph_retry_bound_fleet (budgets[i], fleet->c->extra_arrivals / PLATFORM_LAYERS);
      ph_retry_set_node_count (budgets[i], fleet->c->node_count);
    }
}

static void
call_lower (Fleet *fleet, uint32_t node, bool is_repeat)
{
  PhRetryBudget *budget = &fleet->lower[node % fleet->c->node_count];

  if (is_repeat)
    fleet->repeats++;
  else
    fleet->requests++;
  ph_retry_deposit (budget, FLEET_PERCENT, FLEET_HEDGE_PERCENT, 0);
  fleet->repeats += ph_retry_withdraw (budget, PH_RETRY_NOT_RUN);
}

static void
run_fleet (Fleet *fleet, uint32_t calls_per_node)
{
  for (uint32_t call = 0; call < calls_per_node; call++)
    for (uint32_t node = 0; node < fleet->c->node_count; node++)
      {
        ph_retry_deposit (&fleet->upper[node], FLEET_PERCENT, FLEET_HEDGE_PERCENT, 0);
        call_lower (fleet, node + call, false);
        while (ph_retry_withdraw (&fleet->upper[node], fleet->c->kind))
          call_lower (fleet, node + call + 1, true);
      }
}

static void
test_fleet (void)
{
  for (uint32_t i = 0; i < PH_ARRAY_SIZE (fleet_cases); i++)
    {
      const FleetCase *c = &fleet_cases[i];
      Fleet fleet = { .c = c,
                      .upper = calloc (c->node_count, sizeof *fleet.upper),
                      .lower = calloc (c->node_count, sizeof *fleet.lower) };
      uint32_t allowed;

      for (uint32_t node = 0; node < c->node_count; node++)
        {
          start_fleet_node (&fleet, node);
          for (uint32_t call = 0; call < 1000; call++) /* full buckets before the window */
            {
              ph_retry_deposit (&fleet.upper[node], FLEET_PERCENT, FLEET_HEDGE_PERCENT, 0);
              ph_retry_deposit (&fleet.lower[node], FLEET_PERCENT, FLEET_HEDGE_PERCENT, 0);
            }
        }
      run_fleet (&fleet, c->calls_per_node / 2);
      for (uint32_t node = 0; node < c->restarted_count; node++)
        start_fleet_node (&fleet, node);
      run_fleet (&fleet, c->calls_per_node - (c->calls_per_node / 2));
      allowed = (fleet.requests / 5) + c->extra_arrivals;
      if (fleet.repeats > allowed || fleet.repeats < allowed / 2)
        {
          printf ("%s: %u repeats, %u requests, %u allowed\n", c->name, fleet.repeats,
                  fleet.requests, allowed);
          CU_FAIL (c->name);
        }
      free (fleet.upper);
      free (fleet.lower);
    }
}

/* Guards against hedges at the wrong quantile: 5% of the latencies exceed the estimate, with a
 * tolerance of one third, at each scale and after each change of the scale. */
static void
test_quantile (void)
{
  static const double scales[] = { 3000, 50000, 3000, 1000000 }; /* mean latencies, microseconds */
  PhRetryBudget budget;
  PhRandom random;

  ph_random_seed (&random, 1);
  ph_retry_reset (&budget);
  CU_ASSERT_EQUAL (ph_retry_hedge_delay (&budget, 0), PH_TIME_NEVER);
  for (uint32_t i = 0; i < PH_ARRAY_SIZE (scales); i++)
    {
      uint32_t above_count = 0;

      for (uint32_t j = 0; j < 20000; j++)
        {
          PhTime latency = (PhTime)(-scales[i] * log (1 - ph_random_unit (&random)));

          above_count += j >= 10000 && latency > ph_retry_hedge_delay (&budget, 0);
          ph_retry_observe (&budget, 0, latency);
        }
      CU_ASSERT_DOUBLE_EQUAL (above_count, 500, 500 / 3.0);
    }
}

/* Guards against hedges at the top of a chain because of a stall at its bottom: each such hedge
 * runs the whole chain below it again, and two chains of nine layers filled 26 slots of one
 * node. */
static void
test_order_of_depths (void)
{
  static const struct
  {
    uint32_t layers;        /* layers of the chains that were observed */
    uint32_t depth, deeper; /* of the two calls to compare */
    bool is_deeper_first;   /* the deeper call is hedged first */
  } cases[] = {
    { 9, 0, 1, true },
    { 9, 0, 8, true },
    { 9, 7, 8, true },
    { 3, 7, 8, false }, /* neither depth was observed: same delay */
  };

  for (uint32_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      PhRetryBudget budget;
      PhTime delay;

      ph_retry_reset (&budget);
      for (uint32_t j = 0; j < CALLS / 100; j++)
        for (uint32_t depth = 0; depth < cases[i].layers; depth++)
          ph_retry_observe (&budget, depth, (cases[i].layers - depth) * 3 * PH_MS);
      delay = ph_retry_hedge_delay (&budget, cases[i].depth);
      CU_ASSERT_NOT_EQUAL (delay, PH_TIME_NEVER);
      CU_ASSERT_EQUAL (ph_retry_hedge_delay (&budget, cases[i].deeper) < delay,
                       cases[i].is_deeper_first);
    }
}

static const PhTest tests[] = {
  { "a call is hedged later than the calls below it", test_order_of_depths },
  { "share of extra attempts", test_shares },
  { "bursts of many nodes", test_burst },
  { "hedges leave tokens for retries", test_reserve },
  { "hedges of a partly filled bucket", test_hedge_of_partly_filled_bucket },
  { "extra attempts of nine layers do not multiply", test_depth },
  { "repeats in a fleet, with those of the calls of repeated runs", test_fleet },
  { "quantile for hedges", test_quantile },
};
PH_TEST_SUITE (retry, tests)
