#include "pollenhitch/retry.h"

#define TOKENS_PER_ATTEMPT 1000u

/* Maximum number of attempts that a bucket holds: enough for the calls in flight to one upstream
 * that fails. */
#define BUCKET_ATTEMPTS_MAX 10u
#define BUCKET_ATTEMPTS_MIN 2u /* allows a node to retry at all if it handles few calls */

/* Attempts that the buckets of all nodes hold together for a service, approximately. The buckets
 * fill at the same time: 88 nodes with 10 attempts each spent 933 extra attempts on 3553 calls
 * within 10 s. The platform (see config.h) allows 13 nodes 64 extra attempts beside the share of
 * the calls. */
#define FLEET_ATTEMPTS_MAX 60u

/* Reruns are limited to the service's share of extra attempts divided by this, and so are hedges
 * unless the service sets hedge_percent. */
#define RERUN_SHARE_DIVISOR 2

/* Hedges leave the capacity divided by this in the bucket, for retries of refused calls. Without
 * this reserve, ten hedges of waiting call chains used up the bucket, and calls were refused after
 * their queue time while two upstreams were free. The smaller buckets of many nodes have a smaller
 * reserve: with one of 1 attempt in buckets of 2, a hedge needed a full bucket, and on 58 nodes 3%
 * of the calls were hedged while 20% were allowed. */
#define HEDGE_RESERVE_DIVISOR 2
#define SMALL_HEDGE_RESERVE_DIVISOR 4

/* Redirects after a refusal for lack of free slots are limited to this multiple of the service's
 * share of extra attempts. Each costs two messages between nodes and does not reach an upstream.
 * Without the larger share, on 88 nodes whose other buckets hold 2 attempts, calls were refused
 * after 5 ms and a single attempt while 68 upstreams were left. */
#define REDIRECT_SHARE_FACTOR 3

/* Steps of the latency estimate, as fractions of it. The ratio of upward to downward steps is 19 to
 * 1, so that they balance at the 95th percentile. */
#define QUANTILE_STEP_UP 0.095
#define QUANTILE_STEP_DOWN 0.005

/* Minimum delay of a hedge. Below it, a timer costs more than the hedge saves. */
#define HEDGE_DELAY_MIN (2 * PH_MS)

void
ph_retry_reset (PhRetryBudget *budget)
{
  *budget = (PhRetryBudget){ .capacity = BUCKET_ATTEMPTS_MAX * TOKENS_PER_ATTEMPT,
                             .attempt_tokens = BUCKET_ATTEMPTS_MAX * TOKENS_PER_ATTEMPT,
                             .rerun_tokens = BUCKET_ATTEMPTS_MAX * TOKENS_PER_ATTEMPT,
                             .hedge_tokens = BUCKET_ATTEMPTS_MAX * TOKENS_PER_ATTEMPT,
                             .redirect_tokens = BUCKET_ATTEMPTS_MAX * TOKENS_PER_ATTEMPT };
}

static uint32_t
min_u32 (uint32_t a, uint32_t b)
{
  return a < b ? a : b;
}

void
ph_retry_bound_fleet (PhRetryBudget *budget, uint32_t attempts)
{
  budget->fleet_attempts = attempts;
  budget->attempt_tokens = 0;
  budget->rerun_tokens = 0;
  budget->hedge_tokens = 0;
}

/* Tokens in a full bucket on each of node_count nodes. */
static uint32_t
bucket_capacity (const PhRetryBudget *budget, uint32_t node_count)
{
  uint32_t max = BUCKET_ATTEMPTS_MAX * TOKENS_PER_ATTEMPT;
  uint32_t min = BUCKET_ATTEMPTS_MIN * TOKENS_PER_ATTEMPT;
  uint32_t tokens = FLEET_ATTEMPTS_MAX / node_count * TOKENS_PER_ATTEMPT;

  if (budget->fleet_attempts != 0)
    {
      min = TOKENS_PER_ATTEMPT;
      tokens = budget->fleet_attempts * TOKENS_PER_ATTEMPT / node_count;
    }
  return tokens > min ? min_u32 (tokens, max) : min;
}

void
ph_retry_set_node_count (PhRetryBudget *budget, uint32_t node_count)
{
  budget->capacity = bucket_capacity (budget, node_count > 0 ? node_count : 1);
  budget->attempt_tokens = min_u32 (budget->attempt_tokens, budget->capacity);
  budget->rerun_tokens = min_u32 (budget->rerun_tokens, budget->capacity);
  budget->hedge_tokens = min_u32 (budget->hedge_tokens, budget->capacity);
}

void
ph_retry_deposit (PhRetryBudget *budget, uint32_t percent, uint32_t hedge_percent, uint32_t depth)
{
  uint32_t share = percent * (TOKENS_PER_ATTEMPT / 100);
  uint32_t rerun_share = share / RERUN_SHARE_DIVISOR / (depth + 1);
  uint32_t hedge_share
      = hedge_percent != 0 ? hedge_percent * (TOKENS_PER_ATTEMPT / 100) / (depth + 1) : rerun_share;

  budget->attempt_tokens = min_u32 (budget->attempt_tokens + share, budget->capacity);
  budget->rerun_tokens = min_u32 (budget->rerun_tokens + rerun_share, budget->capacity);
  budget->hedge_tokens = min_u32 (budget->hedge_tokens + hedge_share, budget->capacity);
  budget->redirect_tokens = min_u32 (budget->redirect_tokens + (share * REDIRECT_SHARE_FACTOR),
                                     BUCKET_ATTEMPTS_MAX * TOKENS_PER_ATTEMPT);
}

/* Tokens that hedges leave for retries of refused calls. */
static uint32_t
hedge_reserve (const PhRetryBudget *budget)
{
  uint32_t reserve
      = budget->capacity
        / (budget->capacity < BUCKET_ATTEMPTS_MAX * TOKENS_PER_ATTEMPT ? SMALL_HEDGE_RESERVE_DIVISOR
                                                                       : HEDGE_RESERVE_DIVISOR);

  /* In a bucket of little more than one attempt, a larger reserve would allow no hedge. */
  return min_u32 (reserve, (budget->capacity - TOKENS_PER_ATTEMPT) / 2);
}

bool
ph_retry_can_withdraw (const PhRetryBudget *budget, PhRetryKind kind)
{
  uint32_t reserve = kind == PH_RETRY_HEDGE ? hedge_reserve (budget) : 0;

  if (kind == PH_RETRY_REDIRECT)
    return budget->redirect_tokens >= TOKENS_PER_ATTEMPT;
  return budget->attempt_tokens >= TOKENS_PER_ATTEMPT + reserve
         && (kind != PH_RETRY_RERUN || budget->rerun_tokens >= TOKENS_PER_ATTEMPT)
         && (kind != PH_RETRY_HEDGE || budget->hedge_tokens >= TOKENS_PER_ATTEMPT);
}

bool
ph_retry_withdraw (PhRetryBudget *budget, PhRetryKind kind)
{
  uint32_t *rerun_bucket = kind == PH_RETRY_RERUN   ? &budget->rerun_tokens
                           : kind == PH_RETRY_HEDGE ? &budget->hedge_tokens
                                                    : NULL;

  if (!ph_retry_can_withdraw (budget, kind))
    return false;
  if (kind == PH_RETRY_REDIRECT)
    {
      budget->redirect_tokens -= TOKENS_PER_ATTEMPT;
      return true;
    }
  budget->attempt_tokens -= TOKENS_PER_ATTEMPT;
  if (rerun_bucket != NULL)
    *rerun_bucket -= TOKENS_PER_ATTEMPT;
  return true;
}

static void
quantile_add (PhQuantile *quantile, PhTime latency)
{
  if (quantile->sample_count == 0)
    quantile->value_us = (double)latency;
  else if ((double)latency > quantile->value_us)
    quantile->value_us += (QUANTILE_STEP_UP * quantile->value_us) + 1;
  else
    quantile->value_us -= QUANTILE_STEP_DOWN * quantile->value_us;
  if (quantile->sample_count < PH_HEDGE_SAMPLES_MIN)
    quantile->sample_count++;
}

void
ph_retry_observe (PhRetryBudget *budget, uint32_t depth, PhTime latency)
{
  quantile_add (&budget->latency, latency);
  quantile_add (&budget->depth_latencies[depth], latency);
}

/* The latency is a lower bound, which is of no use if the estimate is higher. */
void
ph_retry_observe_abandoned (PhRetryBudget *budget, uint32_t depth, PhTime latency)
{
  if ((double)latency > budget->latency.value_us)
    quantile_add (&budget->latency, latency);
  if ((double)latency > budget->depth_latencies[depth].value_us)
    quantile_add (&budget->depth_latencies[depth], latency);
}

PhTime
ph_retry_hedge_delay (const PhRetryBudget *budget, uint32_t depth)
{
  const PhQuantile *quantile = &budget->depth_latencies[depth];

  if (quantile->sample_count < PH_HEDGE_SAMPLES_MIN)
    quantile = &budget->latency;
  if (quantile->sample_count < PH_HEDGE_SAMPLES_MIN)
    return PH_TIME_NEVER;
  return quantile->value_us > HEDGE_DELAY_MIN ? (PhTime)quantile->value_us : HEDGE_DELAY_MIN;
}
