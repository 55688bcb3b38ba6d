#ifndef PH_RETRY_H
#define PH_RETRY_H

#include "pollenhitch/base.h"

/*
 * Budget of extra attempts, one for each service on each node.
 *
 * Token buckets that calls fill as a share of their number, so that retries
 * stay a share of calls in an overload. Every extra attempt takes a token from
 * the bucket attempt_tokens, but for one after a refusal for lack of room by the node
 * beside an upstream: that costs messages only, and has a larger bucket. An
 * attempt that may run a request for a second time also takes one from a smaller
 * bucket that is filled less by deeper calls, because each such attempt repeats
 * every call below it. Extra work at the bottom of a chain is then a sum over its
 * layers, not a product: see docs/decisions/retry.md.
 */

typedef enum
{
  PH_RETRY_REDIRECT, /* a node had no room: no upstream has seen the call */
  PH_RETRY_NOT_RUN,  /* the earlier attempts were not run */
  PH_RETRY_RERUN,    /* an earlier attempt may have been run */
  PH_RETRY_HEDGE     /* an earlier attempt is still open */
} PhRetryKind;

/* Estimate of the 95th percentile of the latency of attempts. */
typedef struct
{
  uint32_t sample_count; /* at most PH_HEDGE_SAMPLES_MIN */
  double value_us;
} PhQuantile;

#define PH_RETRY_DEPTH_COUNT 9 /* of calls, from 0 to PH_DEPTH_MAX */

typedef struct
{
  uint32_t capacity; /* what a bucket holds, each in thousandths of an attempt */
  uint32_t attempt_tokens;
  uint32_t rerun_tokens;
  uint32_t hedge_tokens;
  uint32_t redirect_tokens;
  PhQuantile latency;                               /* of all attempts */
  PhQuantile depth_latencies[PH_RETRY_DEPTH_COUNT]; /* of those of calls at each depth */
} PhRetryBudget;

#define PH_HEDGE_SAMPLES_MIN 64 /* about three samples beyond the 95th percentile */

/* ph_retry_reset: full buckets, so that the first calls of a new service can be retried. */
void ph_retry_reset (PhRetryBudget *budget);

/* ph_retry_set_node_count: how many nodes have a budget for the service; bounds what each may save.
 */
void ph_retry_set_node_count (PhRetryBudget *budget, uint32_t node_count);

/* ph_retry_deposit: a call came in at this depth. percent is the service's retry_percent. */
void ph_retry_deposit (PhRetryBudget *budget, uint32_t percent, uint32_t depth);

/* ph_retry_withdraw: take the tokens of one extra attempt, or return false and take none. */
bool ph_retry_withdraw (PhRetryBudget *budget, PhRetryKind kind);

/* ph_retry_can_withdraw: whether ph_retry_withdraw would take the tokens. */
bool ph_retry_can_withdraw (const PhRetryBudget *budget, PhRetryKind kind);

/* ph_retry_observe: an attempt took latency microseconds to its response. */
void ph_retry_observe (PhRetryBudget *budget, uint32_t depth, PhTime latency);

/* ph_retry_observe_abandoned: an attempt was given up after latency without a response. */
void ph_retry_observe_abandoned (PhRetryBudget *budget, uint32_t depth, PhTime latency);

/* ph_retry_hedge_delay: how long an attempt may be open before it is hedged, or PH_TIME_NEVER. By
 * the depth of its call, once enough attempts were seen there: a call high in a chain takes the
 * time of all below it, and is not to be hedged before the one below that it waits for. */
PhTime ph_retry_hedge_delay (const PhRetryBudget *budget, uint32_t depth);

#endif
