#ifndef PH_RETRY_H
#define PH_RETRY_H

#include "pollenhitch/base.h"

/*
 * Budget for extra attempts (retries and hedges), one for each service on each node.
 *
 * Token buckets are filled in proportion to the number of calls, so that retries remain a
 * fraction of the calls under overload. Every extra attempt takes a token from attempt_tokens,
 * with two exceptions. One is a redirect, after the node of an upstream refused for lack of free
 * slots: it costs only messages between nodes and has a bucket of its own that is filled faster.
 * The other takes no token at all: an attempt after a node refused because the choice was stale or
 * because its VM is slow (see withdraw_retry in call.c).
 *
 * An attempt that may run a request a second time also takes a token from a smaller bucket
 * (rerun_tokens or hedge_tokens), which is filled more slowly by calls at greater depth, because
 * each such attempt repeats every call below it. Extra work at the bottom of a chain is then a sum
 * over its layers and not a product; see docs/decisions/retry.md.
 *
 * A depth passed to these functions is at most PH_DEPTH_MAX.
 */

typedef enum
{
  PH_RETRY_REDIRECT, /* the node of the last upstream had no free slot; that upstream has not
                        received the call */
  PH_RETRY_NOT_RUN,  /* the earlier attempts were not run */
  PH_RETRY_RERUN,    /* an earlier attempt may have been run */
  PH_RETRY_HEDGE     /* an earlier attempt is still open */
} PhRetryKind;

/* Estimated 95th percentile of the latency of attempts. */
typedef struct
{
  uint32_t sample_count; /* at most PH_HEDGE_SAMPLES_MIN */
  double value_us;
} PhQuantile;

#define PH_RETRY_DEPTH_COUNT 9 /* call depths, from 0 to PH_DEPTH_MAX */

typedef struct
{
  /* A token is counted as 1000 in these fields, so that a call can add a fraction of one. */
  uint32_t capacity;       /* of each bucket except redirect_tokens */
  uint32_t fleet_attempts; /* see ph_retry_bound_fleet; 0 for the default */
  uint32_t attempt_tokens;
  uint32_t rerun_tokens;
  uint32_t hedge_tokens;
  uint32_t redirect_tokens;
  PhQuantile latency;                               /* of all attempts */
  PhQuantile depth_latencies[PH_RETRY_DEPTH_COUNT]; /* of attempts of calls at each depth */
} PhRetryBudget;

#define PH_HEDGE_SAMPLES_MIN 64 /* leaves about three samples above the 95th percentile */

/* ph_retry_reset: fill all buckets, so that the first calls of a new service can be retried. */
void ph_retry_reset (PhRetryBudget *budget);

/*
 * ph_retry_bound_fleet: bound the attempts that the full buckets of all nodes allow together,
 * beside the share of the calls.
 *
 * Empties all buckets except that for redirects: with full ones, each node that starts would add
 * its attempts to those that the others have spent. The bound holds for up to this many nodes;
 * above, each node has one attempt.
 */
void ph_retry_bound_fleet (PhRetryBudget *budget, uint32_t attempts);

/* ph_retry_set_node_count: set the number of nodes that have a budget for the service, which bounds
 * the capacity of each. */
void ph_retry_set_node_count (PhRetryBudget *budget, uint32_t node_count);

/* ph_retry_deposit: a call at this depth arrived. percent and hedge_percent are the service's
 * retry_percent and hedge_percent; a hedge_percent of 0 stands for half of percent. */
void
ph_retry_deposit (PhRetryBudget *budget, uint32_t percent, uint32_t hedge_percent, uint32_t depth);

/* ph_retry_withdraw: take the tokens of one extra attempt. Returns false and takes none if there
 * are not enough. */
bool ph_retry_withdraw (PhRetryBudget *budget, PhRetryKind kind);

/* ph_retry_can_withdraw: whether ph_retry_withdraw would succeed. */
bool ph_retry_can_withdraw (const PhRetryBudget *budget, PhRetryKind kind);

/* ph_retry_observe: an attempt took latency microseconds until its response. */
void ph_retry_observe (PhRetryBudget *budget, uint32_t depth, PhTime latency);

/* ph_retry_observe_abandoned: an attempt was abandoned after latency microseconds without a
 * response. */
void ph_retry_observe_abandoned (PhRetryBudget *budget, uint32_t depth, PhTime latency);

/*
 * ph_retry_hedge_delay: how long an attempt may be open before it is hedged, in microseconds.
 *
 * Returns PH_TIME_NEVER if there are too few samples. The delay depends on the depth of the
 * call once there are enough samples at that depth: a call high in a chain takes the time of
 * all calls below it, and should not be hedged before the call below that it waits for.
 */
PhTime ph_retry_hedge_delay (const PhRetryBudget *budget, uint32_t depth);

#endif
