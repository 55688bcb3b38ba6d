#ifndef PH_CHAIN_H
#define PH_CHAIN_H

#include "pollenhitch/upstream.h"

/*
 * Routes that the local upstream calls.
 *
 * While an upstream runs a request it may make calls of its own through the node beside it. Where
 * these calls carry no depth, they look like calls of callers. Those of callers also arrive while
 * the upstream runs nothing; its own never do. For each route, Wald's sequential probability ratio
 * test (1945) compares these two hypotheses.
 *
 * The requests of a route are counted in blocks of some seconds. The probability under the first
 * hypothesis is the share of the time of the same block in which nothing was in flight at the
 * upstream. The share of earlier times would be wrong for the requests of one busy period, which
 * all see the same state: it took callers' routes for deeper ones in up to all of 300 test runs.
 */

typedef struct
{
  uint32_t v;
} PhChainPoolSetId;

/* Routes that a node recalls from the contact objects. */
#define PH_CHAIN_RECALLED_MAX 64

typedef struct
{
  bool is_enabled; /* see ph_chain_set_enabled */
  /* Time without and with calls in flight at the local upstream, up to counted_until. */
  PhTime idle_time;
  PhTime busy_time;
  PhTime counted_until;
  PhTable pool_sets; /* see chain_reports.h */
  /* Keys of recalled routes while this node has no routes, see ph_chain_reports_recall. */
  uint64_t recalled[PH_CHAIN_RECALLED_MAX];
  uint32_t recalled_count;
  uint32_t deeper_version; /* changes with what ph_chain_reports_deeper returns */
} PhChain;

/* State of the test of one route. A zeroed one has no evidence: the route is one of callers. */
typedef struct
{
  double log_ratio;  /* natural logarithm of the likelihood ratio, bounded */
  PhTime sampled_at; /* last request that was counted */
  PhTime block_began_at;
  PhTime idle_time; /* of PhChain when the block began */
  PhTime busy_time;
  uint32_t idle_count; /* requests of the block that arrived with nothing in flight */
  uint32_t busy_count; /* other requests of the block */
  bool is_deeper;      /* upstreams make the calls of this route */
  double unreported;   /* evidence since the last report to another node, bounded */
  /* Pooled evidence in thousandths, see chain_reports.h. */
  int32_t pool; /* sum of the reports to this node */
  PhTime pool_updated_at;
  int32_t total;          /* of this pool and those known of other nodes */
  PhChainPoolSetId pools; /* of other nodes */
  bool is_pooled;         /* a pool is known */
} PhChainEvidence;

/* ph_chain_set_enabled: start or stop the test and the precedence of deeper calls in the queue of
 * the local upstream (ph_queue_order_chain). Without it, no route is one of deeper calls. */
void ph_chain_set_enabled (PhWorld *world, bool is_enabled);

/* ph_chain_count_time: count the time since the last call of this function, with this number of
 * calls in flight at the local upstream in it. To be called before the number changes. */
void ph_chain_count_time (const PhContext *ctx, PhWorld *world, uint32_t in_flight);

/* ph_chain_observe: a request arrived at this node from its own VM. evidence is that of its route.
 * Returns the depth of its call: 1 if the local upstream makes the calls of the route, otherwise 0.
 */
uint32_t ph_chain_observe (const PhContext *ctx, PhWorld *world, PhChainEvidence *evidence);

/* ph_chain_decide: set is_deeper by the total of the pools, or by the node's own evidence while it
 * knows no pool. */
void ph_chain_decide (PhChainEvidence *evidence);

/* ph_chain_record_denial: a call that was not run got no retry token of the service. */
void
ph_chain_record_denial (const PhContext *ctx, PhService *service, bool is_deeper, uint8_t priority);

/*
 * ph_chain_leaves_token: whether a call leaves the retry tokens of its service to others.
 *
 * A first call leaves them to deeper calls that were denied one recently, unless it is more urgent
 * than these: its caller can repeat it. The buckets of many nodes hold one or two tokens, so that a
 * reserve within the bucket would allow first calls no retry at all. A deeper call that has waited
 * (has_waited) leaves them to first calls that are more urgent and were denied one recently;
 * otherwise waiting calls would take each token as it comes.
 */
bool ph_chain_leaves_token (const PhContext *ctx,
                            const PhService *service,
                            bool is_deeper,
                            bool has_waited,
                            uint8_t priority);

#endif
