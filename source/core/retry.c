#include "pollenhitch/retry.h"

/* Tokens are thousandths of an attempt. */
#define COST 1000u

/* A bucket holds this many attempts: enough for the calls in flight to one upstream that fails. */
#define BURST 10u

/* Reruns and hedges may each use this part of the service's share. */
#define PART_OF_SHARE 2

/* Steps of the latency estimate, as a part of it. Upward and downward steps are in the ratio of
 * 19 to 1, so that they balance at the 95th percentile. */
#define STEP_UP 0.095
#define STEP_DOWN 0.005

/* An attempt is hedged no earlier than this: below it a timer costs more than it saves. */
#define HEDGE_AFTER_MIN (2 * PH_MS)

void
ph_retry_reset (PhRetryBudget *budget)
{
  *budget = (PhRetryBudget){ .all = BURST * COST, .rerun = BURST * COST, .hedge = BURST * COST };
}

static void
fill (uint32_t *bucket, uint32_t tokens)
{
  *bucket += tokens;
  if (*bucket > BURST * COST)
    *bucket = BURST * COST;
}

void
ph_retry_earn (PhRetryBudget *budget, uint32_t percent, uint32_t depth)
{
  uint32_t share = percent * (COST / 100);

  fill (&budget->all, share);
  fill (&budget->rerun, share / PART_OF_SHARE / (depth + 1));
  fill (&budget->hedge, share / PART_OF_SHARE / (depth + 1));
}

bool
ph_retry_has (const PhRetryBudget *budget, PhRetryKind kind)
{
  return budget->all >= COST && (kind != PH_RETRY_RERUN || budget->rerun >= COST)
         && (kind != PH_RETRY_HEDGE || budget->hedge >= COST);
}

bool
ph_retry_take (PhRetryBudget *budget, PhRetryKind kind)
{
  uint32_t *part = kind == PH_RETRY_RERUN   ? &budget->rerun
                   : kind == PH_RETRY_HEDGE ? &budget->hedge
                                            : NULL;

  if (!ph_retry_has (budget, kind))
    return false;
  budget->all -= COST;
  if (part != NULL)
    *part -= COST;
  return true;
}

void
ph_retry_observe (PhRetryBudget *budget, PhTime latency)
{
  if (budget->samples == 0)
    budget->latency_us = (double)latency;
  else if ((double)latency > budget->latency_us)
    budget->latency_us += (STEP_UP * budget->latency_us) + 1;
  else
    budget->latency_us -= STEP_DOWN * budget->latency_us;
  if (budget->samples < PH_HEDGE_SAMPLES_MIN)
    budget->samples++;
}

PhTime
ph_retry_hedge_after (const PhRetryBudget *budget)
{
  if (budget->samples < PH_HEDGE_SAMPLES_MIN)
    return PH_TIME_NEVER;
  return budget->latency_us > HEDGE_AFTER_MIN ? (PhTime)budget->latency_us : HEDGE_AFTER_MIN;
}
