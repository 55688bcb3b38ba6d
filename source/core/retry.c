#include "pollenhitch/retry.h"

/* Tokens are thousandths of an attempt. */
#define COST 1000u

/* A bucket holds this many attempts: enough for the calls in flight to one upstream that fails. */
#define BURST_MAX 10u
#define BURST_MIN 2u /* lets a node retry at all where it sees few calls */

/* The buckets of all nodes hold about this many attempts of a service: they fill at the same time,
 * and 88 nodes of 10 spent 933 extra attempts within 10 s on 3553 calls. */
#define FLEET_BURST 160u

/* Reruns and hedges may each use this part of the service's share. */
#define PART_OF_SHARE 2

/* A hedge leaves this part of a full bucket to calls that were refused: ten hedges of chains that
 * waited left calls refused after their queue time, with two upstreams free. */
#define HEDGE_LEAVES 2

/* Calls that are sent on after a refusal for lack of room are this multiple of the service's share
 * of extra attempts. Each costs two messages between nodes; upstreams do not see it. On 88 nodes,
 * whose other buckets hold 2 attempts, calls were refused after 5 ms and one try with 68 upstreams
 * left. */
#define SENT_ON_FACTOR 3

/* Steps of the latency estimate, as a part of it. Upward and downward steps are in the ratio of
 * 19 to 1, so that they balance at the 95th percentile. */
#define STEP_UP 0.095
#define STEP_DOWN 0.005

/* An attempt is hedged no earlier than this: below it a timer costs more than it saves. */
#define HEDGE_AFTER_MIN (2 * PH_MS)

void
ph_retry_reset (PhRetryBudget *budget)
{
  *budget = (PhRetryBudget){ .max = BURST_MAX * COST,
                             .all = BURST_MAX * COST,
                             .rerun = BURST_MAX * COST,
                             .hedge = BURST_MAX * COST,
                             .sent_on = BURST_MAX * COST };
}

static uint32_t
least (uint32_t a, uint32_t b)
{
  return a < b ? a : b;
}

void
ph_retry_set_nodes (PhRetryBudget *budget, uint32_t nodes)
{
  uint32_t burst = least (FLEET_BURST / (nodes > 0 ? nodes : 1), BURST_MAX);

  budget->max = (burst > BURST_MIN ? burst : BURST_MIN) * COST;
  budget->all = least (budget->all, budget->max);
  budget->rerun = least (budget->rerun, budget->max);
  budget->hedge = least (budget->hedge, budget->max);
}

void
ph_retry_earn (PhRetryBudget *budget, uint32_t percent, uint32_t depth)
{
  uint32_t share = percent * (COST / 100);
  uint32_t part = share / PART_OF_SHARE / (depth + 1);

  budget->all = least (budget->all + share, budget->max);
  budget->rerun = least (budget->rerun + part, budget->max);
  budget->hedge = least (budget->hedge + part, budget->max);
  budget->sent_on = least (budget->sent_on + (share * SENT_ON_FACTOR), BURST_MAX * COST);
}

bool
ph_retry_has (const PhRetryBudget *budget, PhRetryKind kind)
{
  uint32_t least_left = kind == PH_RETRY_HEDGE ? budget->max / HEDGE_LEAVES : 0;

  if (kind == PH_RETRY_SENT_ON)
    return budget->sent_on >= COST;
  return budget->all >= COST + least_left && (kind != PH_RETRY_RERUN || budget->rerun >= COST)
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
  if (kind == PH_RETRY_SENT_ON)
    {
      budget->sent_on -= COST;
      return true;
    }
  budget->all -= COST;
  if (part != NULL)
    *part -= COST;
  return true;
}

static void
quantile_add (PhQuantile *quantile, PhTime latency)
{
  if (quantile->samples == 0)
    quantile->us = (double)latency;
  else if ((double)latency > quantile->us)
    quantile->us += (STEP_UP * quantile->us) + 1;
  else
    quantile->us -= STEP_DOWN * quantile->us;
  if (quantile->samples < PH_HEDGE_SAMPLES_MIN)
    quantile->samples++;
}

void
ph_retry_observe (PhRetryBudget *budget, uint32_t depth, PhTime latency)
{
  quantile_add (&budget->latency, latency);
  quantile_add (&budget->depths[depth], latency);
}

/* The time is a lower bound of the latency, and says nothing of a latency that is usually longer.
 */
void
ph_retry_observe_given_up (PhRetryBudget *budget, uint32_t depth, PhTime latency)
{
  if ((double)latency > budget->latency.us)
    quantile_add (&budget->latency, latency);
  if ((double)latency > budget->depths[depth].us)
    quantile_add (&budget->depths[depth], latency);
}

PhTime
ph_retry_hedge_after (const PhRetryBudget *budget, uint32_t depth)
{
  const PhQuantile *quantile = &budget->depths[depth];

  if (quantile->samples < PH_HEDGE_SAMPLES_MIN)
    quantile = &budget->latency;
  if (quantile->samples < PH_HEDGE_SAMPLES_MIN)
    return PH_TIME_NEVER;
  return quantile->us > HEDGE_AFTER_MIN ? (PhTime)quantile->us : HEDGE_AFTER_MIN;
}
