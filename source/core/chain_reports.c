#include "pollenhitch/chain_reports.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>

#include "pollenhitch/counter.h"
#include "pollenhitch/world.h"

/* Beyond this total, ln 99 above the bound of a decision, pools shrink, so that the excess falls
 * with this time constant. Without it the total of 38 pools reaches 350, and a route that changes
 * its callers is noticed after 20 to 40 s. To ignore evidence beyond a bound, which nodes find by
 * totals that are out of date, took callers' routes for deeper ones in up to 16 of 20 test runs. */
#define TOTAL_KEPT 16.1
#define EXCESS_TIME (1 * PH_SECOND)

/* Pool of a recalled route, in thousandths: the bound of a decision. The total of several such
 * pools shrinks to TOTAL_KEPT like any other. */
#define RECALLED_POOL 11500

/* Buffer size of a host or prefix in a log line; a longer one is shortened. */
#define ROUTE_TEXT_SIZE 160

bool
ph_chain_reports_init (PhWorld *world, PhError *err)
{
  return ph_table_init (&world->chain.pool_sets, sizeof (PhChainPoolSet), PH_CHAIN_POOL_SETS_MAX,
                        err);
}

void
ph_chain_reports_clear (PhWorld *world)
{
  ph_table_clear (&world->chain.pool_sets);
}

static int32_t
clamp (int64_t value, int64_t min, int64_t max)
{
  return (int32_t)(value < min ? min : value > max ? max : value);
}

/* Counts and logs a decision that has changed. */
static void
trace_decision (PhContext *ctx, PhWorld *world, const PhRoute *route, bool was_deeper)
{
  const PhChainEvidence *evidence = &route->chain;
  const PhRouteSet *set = world->route_set;
  const PhRouteSpec *spec = &set->routes[route->spec];
  char prefix[ROUTE_TEXT_SIZE];
  char host[ROUTE_TEXT_SIZE];

  if (evidence->is_deeper == was_deeper)
    return;
  ph_text_shorten (host, sizeof host, ph_route_set_text (set, spec->host));
  ph_text_shorten (prefix, sizeof prefix, ph_route_set_text (set, spec->prefix));
  world->chain.deeper_version++;
  ph_count (ctx, PH_COUNT_CHAIN_DECISIONS, 1);
  ph_log (ctx, PH_LOG_INFO, PH_STEP_CHOOSE, NULL,
          "route %s%s (key %016" PRIx64
          ") is called by %s: own evidence %.1f, total of all nodes %.1f",
          host, prefix, route->key_hash, evidence->is_deeper ? "upstreams" : "callers",
          evidence->log_ratio, evidence->total / 1000.0);
}

uint32_t
ph_chain_reports_observe (PhContext *ctx, PhWorld *world, PhRouteId route_id)
{
  PhRoute *route = ph_route_get (&world->routes, route_id);
  bool was_deeper = route != NULL && route->chain.is_deeper;
  uint32_t depth;

  if (route == NULL)
    return 0;
  depth = ph_chain_observe (ctx, world, &route->chain);
  trace_decision (ctx, world, route, was_deeper);
  return depth;
}

static bool
is_any (const void *user, uint32_t handle, const char *key)
{
  (void)user;
  (void)handle;
  (void)key;
  return true;
}

static PhRouteId
find_route (const PhWorld *world, uint64_t key)
{
  return (PhRouteId){ ph_index_find (&world->route_index, key, is_any, NULL, NULL) };
}

static uint32_t
own_key (const PhWorld *world)
{
  const PhMember *self = ph_member_get (&world->members, world->membership.self);

  return (uint32_t)ph_hash_mix (self != NULL ? self->name_hash : 0, world->epoch);
}

static PhChainPoolSet *
pool_set (const PhWorld *world, const PhRoute *route)
{
  return ph_chain_pool_set_get (&world->chain.pool_sets, route->chain.pools);
}

static bool
is_fresh (const PhContext *ctx, const PhChainPool *pool)
{
  return ctx->now - pool->taken_at < PH_CHAIN_POOL_AGE_MAX;
}

/* Adds up the pools of a route, and decides. */
static void
update_total (PhContext *ctx, PhWorld *world, PhRoute *route)
{
  const PhChainPoolSet *set = pool_set (world, route);
  bool was_deeper = route->chain.is_deeper;
  int32_t total = route->chain.pool;

  for (uint32_t i = 0; set != NULL && i < set->count; i++)
    if (is_fresh (ctx, &set->pools[i]))
      total += set->pools[i].pool;
  route->chain.total = total;
  route->chain.is_pooled = set != NULL || route->chain.pool != 0;
  ph_chain_decide (&route->chain);
  trace_decision (ctx, world, route, was_deeper);
}

/* Adds a pool to a report, in order of age, if it is newer than one of those there. */
static void
report_pool (PhChainReport *report, const PhChainPoolEntry *entry)
{
  bool is_full = report->pool_count == PH_CHAIN_REPORT_POOLS;
  uint32_t place = report->pool_count;

  if (is_full && report->pools[--place].age <= entry->age)
    return;
  if (!is_full)
    report->pool_count++;
  for (; place > 0 && report->pools[place - 1].age > entry->age; place--)
    report->pools[place] = report->pools[place - 1];
  report->pools[place] = *entry;
}

static void
report_pools (const PhContext *ctx,
              const PhWorld *world,
              const PhRoute *route,
              PhChainReport *report)
{
  const PhChainPoolSet *set = pool_set (world, route);

  if (route->chain.pool != 0)
    report_pool (report, &(PhChainPoolEntry){ own_key (world), route->chain.pool, 0 });
  for (uint32_t i = 0; set != NULL && i < set->count; i++)
    {
      const PhChainPool *pool = &set->pools[i];

      if (is_fresh (ctx, pool))
        report_pool (report,
                     &(PhChainPoolEntry){ pool->key, pool->pool, ctx->now - pool->taken_at });
    }
}

bool
ph_chain_reports_request (const PhContext *ctx,
                          PhWorld *world,
                          PhRouteId route_id,
                          PhChainReport *report)
{
  PhRoute *route = ph_route_get (&world->routes, route_id);

  if (!world->chain.is_enabled || route == NULL)
    return false;
  *report = (PhChainReport){ .route = route->key_hash };
  report->evidence = clamp (lround (route->chain.unreported * 1000), -PH_CHAIN_EVIDENCE_MAX,
                            PH_CHAIN_EVIDENCE_MAX);
  route->chain.unreported -= report->evidence / 1000.0;
  report_pools (ctx, world, route, report);
  return true;
}

bool
ph_chain_reports_response (const PhContext *ctx,
                           const PhWorld *world,
                           uint64_t key,
                           PhChainReport *report)
{
  const PhRoute *route = ph_route_get (&world->routes, find_route (world, key));

  if (!world->chain.is_enabled || route == NULL)
    return false;
  *report = (PhChainReport){ 0 };
  report_pools (ctx, world, route, report);
  return true;
}

/* The place of the pool of a node: its own, a new one, or that of the oldest pool. */
static PhChainPool *
place_pool (PhChainPoolSet *set, uint32_t key)
{
  PhChainPool *oldest = &set->pools[0];

  for (uint32_t i = 0; i < set->count; i++)
    {
      if (set->pools[i].key == key)
        return &set->pools[i];
      if (set->pools[i].taken_at < oldest->taken_at)
        oldest = &set->pools[i];
    }
  return set->count < PH_CHAIN_POOLS_MAX ? &set->pools[set->count++] : oldest;
}

/* Keeps the pools of a report that are newer than those known. */
static void
keep_pools (PhContext *ctx, PhWorld *world, PhRoute *route, const PhChainReport *report)
{
  PhChainPoolSet *set = pool_set (world, route);
  uint32_t self = own_key (world);

  if (set == NULL && report->pool_count > 0)
    route->chain.pools = ph_chain_pool_set_add (&world->chain.pool_sets, &set);
  if (set == NULL)
    {
      ph_count (ctx, PH_COUNT_CHAIN_POOLS_DROPPED, report->pool_count);
      return;
    }
  for (uint32_t i = 0; i < report->pool_count; i++)
    {
      const PhChainPoolEntry *entry = &report->pools[i];
      PhTime taken_at = ctx->now - entry->age;
      PhChainPool *pool;

      if (entry->key == self)
        continue;
      pool = place_pool (set, entry->key);
      if (pool->key == 0 || taken_at > pool->taken_at)
        *pool = (PhChainPool){ entry->key, entry->pool, taken_at };
    }
}

/* Shrinks the pool by its share of the excess of the total. */
static void
shrink_pool (const PhContext *ctx, PhChainEvidence *evidence)
{
  double total = fabs (evidence->total / 1000.0);
  double time = (double)(ctx->now - evidence->pool_updated_at) / EXCESS_TIME;

  evidence->pool_updated_at = ctx->now;
  if (total > TOTAL_KEPT)
    evidence->pool = (int32_t)(evidence->pool * exp (-time * (total - TOTAL_KEPT) / total));
}

static void
add_evidence (PhContext *ctx, PhChainEvidence *evidence, int32_t added)
{
  ph_count (ctx, PH_COUNT_CHAIN_REPORTS, 1);
  evidence->pool = clamp ((int64_t)evidence->pool + added, -PH_CHAIN_POOL_MAX, PH_CHAIN_POOL_MAX);
}

void
ph_chain_reports_receive (PhContext *ctx, PhWorld *world, const PhChainReport *report)
{
  PhRoute *route = ph_route_get (&world->routes, find_route (world, report->route));

  if (!world->chain.is_enabled || route == NULL)
    return;
  keep_pools (ctx, world, route, report);
  update_total (ctx, world, route);
  shrink_pool (ctx, &route->chain);
  if (report->evidence != 0)
    add_evidence (ctx, &route->chain, report->evidence);
  update_total (ctx, world, route);
}

void
ph_chain_reports_receive_response (PhContext *ctx,
                                   PhWorld *world,
                                   PhRouteId route_id,
                                   const PhChainReport *report)
{
  PhRoute *route = ph_route_get (&world->routes, route_id);

  if (!world->chain.is_enabled || route == NULL)
    return;
  keep_pools (ctx, world, route, report);
  update_total (ctx, world, route);
  shrink_pool (ctx, &route->chain);
}

void
ph_chain_reports_forget (PhWorld *world, PhRouteId route)
{
  PhRoute *row = ph_route_get (&world->routes, route);

  if (row == NULL)
    return;
  ph_chain_pool_set_remove (&world->chain.pool_sets, row->chain.pools);
  world->chain.deeper_version += row->chain.is_deeper;
}

uint32_t
ph_chain_reports_deeper_count (const PhWorld *world)
{
  PhRouteId id = { 0 };
  uint32_t count = 0;

  while (world->chain.is_enabled && (id = ph_route_next (&world->routes, id)).v != 0)
    count += ph_route_get (&world->routes, id)->chain.is_deeper;
  return count;
}

/* Keeps a key until this node has routes. */
static void
keep_key (PhChain *chain, uint64_t key)
{
  for (uint32_t i = 0; i < chain->recalled_count; i++)
    if (chain->recalled[i] == key)
      return;
  if (chain->recalled_count == PH_CHAIN_RECALLED_MAX)
    return;
  chain->recalled[chain->recalled_count++] = key;
  chain->deeper_version++;
}

void
ph_chain_reports_recall (PhContext *ctx, PhWorld *world, uint64_t key)
{
  PhRoute *route = ph_route_get (&world->routes, find_route (world, key));
  PhChain *chain = &world->chain;

  if (!chain->is_enabled)
    return;
  if (route == NULL)
    {
      if (!world->has_routes)
        keep_key (chain, key);
      return;
    }
  if (route->chain.is_pooled || route->chain.is_deeper)
    return;
  route->chain.pool = RECALLED_POOL;
  route->chain.pool_updated_at = ctx->now;
  update_total (ctx, world, route);
}

void
ph_chain_reports_recall_waiting (PhContext *ctx, PhWorld *world)
{
  uint32_t count = world->chain.recalled_count;

  world->chain.recalled_count = 0;
  world->chain.deeper_version += count > 0;
  for (uint32_t i = 0; i < count; i++)
    ph_chain_reports_recall (ctx, world, world->chain.recalled[i]);
}

static int
compare_keys (const void *a, const void *b)
{
  const uint64_t *first = a;
  const uint64_t *second = b;

  return (*first > *second) - (*first < *second);
}

uint32_t
ph_chain_reports_deeper (const PhWorld *world, uint64_t keys[PH_CHAIN_RECALLED_MAX])
{
  const PhChain *chain = &world->chain;
  PhRouteId id = { 0 };
  uint32_t count = 0;

  if (!chain->is_enabled)
    return 0;
  for (; count < chain->recalled_count; count++)
    keys[count] = chain->recalled[count];
  while (count < PH_CHAIN_RECALLED_MAX && (id = ph_route_next (&world->routes, id)).v != 0)
    {
      const PhRoute *route = ph_route_get (&world->routes, id);

      if (route->chain.is_deeper)
        keys[count++] = route->key_hash;
    }
  qsort (keys, count, sizeof *keys, compare_keys);
  return count;
}
