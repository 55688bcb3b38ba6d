#ifndef PH_CHAIN_REPORTS_H
#define PH_CHAIN_REPORTS_H

#include "pollenhitch/call.h"

/*
 * Pooled evidence of which routes upstreams call (see chain.h).
 *
 * Whether upstreams call a route is the same at all nodes, and a single node learns it slowly: at
 * an idle share of 0.05, one request adds 0.03 to a threshold of 6.9. So a node that forwards a
 * call reports the evidence that it has collected since its last report on the route to the node of
 * the chosen upstream. That node adds it to its sum for the route, its pool. Requests and responses
 * also carry the newest pools that their sender knows, with their ages, and each node decides by
 * the total of the pools that it knows. With the pool of the responding node alone, a node that
 * calls each of 38 upstreams every 7 s needed 4 s where it now needs 2.
 *
 * Evidence and pools are in thousandths of the natural logarithm. Nothing is reported, added or
 * kept while --chain-precedence is off. A lost request loses the evidence in it and nothing else.
 */

/* Routes with pools, and pools of one route; an older one makes room. Pools are bounded, and those
 * of 64 nodes are several times what a decision takes. */
#define PH_CHAIN_POOL_SETS_MAX 256
#define PH_CHAIN_POOLS_MAX 64

#define PH_CHAIN_EVIDENCE_MAX 9200 /* bound of the evidence of one report, in thousandths */
#define PH_CHAIN_POOL_MAX 100000   /* bound of a pool, in thousandths */
#define PH_CHAIN_REPORT_POOLS 12   /* pools in one report */

/* Age from which a pool is not used. Its node has no calls of the route, or is gone. */
#define PH_CHAIN_POOL_AGE_MAX (30 * PH_SECOND)

/* Pool of a node for a route. */
typedef struct
{
  uint32_t key;    /* of the run of the node: a hash of its name and epoch */
  int32_t pool;    /* thousandths */
  PhTime taken_at; /* when its node sent it */
} PhChainPool;

/* The pools of other nodes that this node knows for a route. */
typedef struct
{
  uint32_t count;
  PhChainPool pools[PH_CHAIN_POOLS_MAX];
} PhChainPoolSet;

PH_DECLARE_TABLE (PhChainPoolSet, PhChainPoolSetId, ph_chain_pool_set)

typedef struct
{
  uint32_t key;
  int32_t pool;
  PhTime age;
} PhChainPoolEntry;

/* What a request or a response says about its route. */
typedef struct
{
  uint64_t route;   /* key of the route, the same at all nodes; 0 in a response */
  int32_t evidence; /* to be added to the pool of the receiver; 0 in a response */
  uint32_t pool_count;
  PhChainPoolEntry pools[PH_CHAIN_REPORT_POOLS];
} PhChainReport;

/* ph_chain_reports_init, ph_chain_reports_clear: allocate and free the table. Returns false with
 * err set when memory runs out. */
bool ph_chain_reports_init (PhWorld *world, PhError *err);
void ph_chain_reports_clear (PhWorld *world);

/* ph_chain_reports_observe: ph_chain_observe for a route, which may be 0 or stale. */
uint32_t ph_chain_reports_observe (PhContext *ctx, PhWorld *world, PhRouteId route);

/* ph_chain_reports_request: fill in the report of the next request of a route to another node. Its
 * evidence counts as reported afterwards. Returns false, and the request carries no report, for
 * route 0, a stale one, and while the setting is off. */
bool ph_chain_reports_request (const PhContext *ctx,
                               PhWorld *world,
                               PhRouteId route,
                               PhChainReport *report);

/* ph_chain_reports_response: fill in the report of a response to a request with this key of a
 * route. Returns false if this node does not know the route, or the setting is off. */
bool ph_chain_reports_response (const PhContext *ctx,
                                const PhWorld *world,
                                uint64_t key,
                                PhChainReport *report);

/* ph_chain_reports_receive: apply the report of a request. A route that this node does not know is
 * ignored. */
void ph_chain_reports_receive (PhContext *ctx, PhWorld *world, const PhChainReport *report);

/* ph_chain_reports_receive_response: apply the report of a response to a request of a route. A
 * stale handle is ignored. */
void ph_chain_reports_receive_response (PhContext *ctx,
                                        PhWorld *world,
                                        PhRouteId route,
                                        const PhChainReport *report);

/* ph_chain_reports_forget: free what is known about a route that is removed. */
void ph_chain_reports_forget (PhWorld *world, PhRouteId route);

/*
 * ph_chain_reports_recall: another node has written that upstreams call the route with this key.
 *
 * When all nodes have restarted, no node has a pool, and overload leaves little evidence to
 * collect: without recalled routes, no node decided for 7 s. A route of which this node knows no
 * pool begins with a pool that makes it a deeper one, and evidence revokes this like any decision.
 * Before the first set of routes, up to PH_CHAIN_RECALLED_MAX keys wait for it. Other keys, and all
 * while the setting is off, are ignored.
 */
void ph_chain_reports_recall (PhContext *ctx, PhWorld *world, uint64_t key);

/* ph_chain_reports_recall_waiting: recall the routes of the keys that waited. */
void ph_chain_reports_recall_waiting (PhContext *ctx, PhWorld *world);

/* ph_chain_reports_deeper: the keys of up to PH_CHAIN_RECALLED_MAX routes that upstreams call, and
 * of those that wait to be recalled, in order of the keys. Returns how many. */
uint32_t ph_chain_reports_deeper (const PhWorld *world, uint64_t keys[PH_CHAIN_RECALLED_MAX]);

/* ph_chain_reports_deeper_count: number of routes that are decided to be called by upstreams. */
uint32_t ph_chain_reports_deeper_count (const PhWorld *world);

#endif
