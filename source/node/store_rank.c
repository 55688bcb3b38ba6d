#include <stdlib.h>
#include <string.h>

#include "node/store_rows.h"

/* Whether this node watches the store for its data centre. */

/* Time to learn of the other members after joining, before this node may act as a watcher. With 120
 * ms, 10 of the 11 nodes of a fleet took themselves for watchers and read all lists, instead of
 * 6. */
#define SETTLE_TIME (300 * PH_MS)

/* Settle time of the node that is first by rank in its data centre. It is shorter because all other
 * nodes wait for this one after a power failure. */
#define FIRST_RANK_SETTLE_TIME (120 * PH_MS)

/* After a start the rank of a node is relied on when no member was added or changed for this time
 * for each live member: 195 nodes that start together learn of each other in batches over about a
 * second, and 108 of them took themselves for watchers. A membership that does not come to rest is
 * relied on after QUIET_WAIT_MAX. */
#define QUIET_TIME_PER_MEMBER (10 * PH_MS)
#define QUIET_WAIT_MAX (2 * PH_SECOND)

/* Maximum number of watchers of the whole fleet, but at least one in each data centre. */
#define FLEET_WATCHERS_MAX 6

/* Minimum time between two evaluations of the rank, except for the first one after joining: a
 * membership change needs time to spread. */
#define RANK_INTERVAL PH_SECOND

/* After a change of the store's era, contact objects and statuses of moves are written again at
 * random times, since the store has just come back: within at least REWRITE_SPREAD_MIN, and in an
 * interval for each data centre, since the number of watchers grows with that of data centres. */
#define REWRITE_SPREAD_MIN (3 * PH_SECOND)
#define REWRITE_INTERVAL (250 * PH_MS)

const char *
ph_store_data_centre (const PhStore *store)
{
  return store->node->settings.data_centre;
}

/* Whether joining is over: this node has joined other nodes, has no seeds, or has waited
 * PH_STORE_JOIN_TIMEOUT for one. */
bool
ph_store_is_join_over (const PhStore *store)
{
  const PhWorld *world = store->node->world;

  return world->membership.is_joined || world->membership.seed_count == 0
         || store->node->ctx.now > store->started_at + PH_STORE_JOIN_TIMEOUT;
}

static PhTime
settle_time (const PhStore *store)
{
  return store->is_first_by_rank ? FIRST_RANK_SETTLE_TIME : SETTLE_TIME;
}

/* When the membership will have come to rest if it does not change until then. */
static PhTime
membership_rests_at (const PhStore *store)
{
  PhTime rests_at = store->membership_changed_at
                    + store->node->world->membership.live_count * QUIET_TIME_PER_MEMBER;
  PhTime latest = store->joined_at + QUIET_WAIT_MAX;

  return rests_at < latest ? rests_at : latest;
}

/* When a node that has joined may act as a watcher, if the membership does not change until then.
 */
PhTime
ph_store_settles_at (const PhStore *store)
{
  PhTime at = store->joined_at + settle_time (store);
  PhTime rests_at = membership_rests_at (store);

  if (store->is_settled)
    return at;
  if (store->is_first_by_rank && store->node->world->config_revision == 0
      && at + store->early_read_delay < rests_at)
    return at + store->early_read_delay;
  return at > rests_at ? at : rests_at;
}

/* Whether this node has had time to learn of the other members, so that its rank can be relied on,
 * or has found no other node for PH_STORE_ALONE_TIMEOUT. */
bool
ph_store_has_settled (const PhStore *store)
{
  PhTime now = store->node->ctx.now;

  if (store->joined_at != 0)
    return now >= ph_store_settles_at (store);
  return ph_store_is_join_over (store) && store->discovered_at != 0
         && now >= store->started_at + PH_STORE_ALONE_TIMEOUT;
}

/* Notes changes of the membership, and whether it has come to rest. The rank is then evaluated at
 * once. */
static void
update_settled (PhStore *store)
{
  PhTime now = store->node->ctx.now;

  if (store->seen_state_version != store->node->world->membership.state_version)
    {
      store->seen_state_version = store->node->world->membership.state_version;
      store->membership_changed_at = now;
    }
  if (store->is_settled || store->joined_at == 0 || now < store->joined_at + FIRST_RANK_SETTLE_TIME
      || now < membership_rests_at (store))
    return;
  store->is_settled = true;
  store->next_rank_at = now;
}

/* Place of this node in the sequence of renewals, from 1 on; 0 if it renews no watches. */
static uint32_t
renewal_place (const PhStore *store)
{
  return store->is_first_by_rank ? store->renewing_index + 1 : 0;
}

PhTime
ph_store_rewrite_delay (PhStore *store)
{
  PhTime spread = store->renewing_count * REWRITE_INTERVAL;

  if (spread < REWRITE_SPREAD_MIN)
    spread = REWRITE_SPREAD_MIN;
  return ph_random_below (&store->node->ctx.random, (uint32_t)spread);
}

/* Number of watchers in this data centre: fewer when there are many data centres with members. */
static uint32_t
watchers_per_data_centre (const PhStore *store)
{
  uint32_t count = store->renewing_count;
  uint32_t share;

  share = count > 0 ? FLEET_WATCHERS_MAX / count : store->watcher_count;
  share = share < store->watcher_count ? share : store->watcher_count;
  return share > 0 ? share : 1;
}

bool
ph_store_is_rank_current (const PhStore *store)
{
  const PhWorld *world = store->node->world;

  return store->ranked_state_version == world->membership.state_version
         && store->deeper_version == world->chain.deeper_version;
}

/* Delays the next write of the contact object at random when only the deeper routes have changed,
 * because the watchers of all data centres notice that in the same second. A write that is already
 * due is not delayed. */
static void
spread_publish (PhStore *store)
{
  PhStoreJob *job = &store->jobs[PH_STORE_JOB_PUBLISH];
  PhTime due_at;

  if (store->contact_text == NULL || store->published_text == NULL
      || strcmp (store->contact_text, store->published_text) != 0)
    return;
  due_at = store->node->ctx.now + ph_store_rewrite_delay (store);
  if (due_at > job->due_at)
    job->due_at = due_at;
}

/* Re-evaluates this node's rank and the text of the contact object after a change of the membership
 * or of the deeper routes. */
void
ph_store_update_rank (PhStore *store)
{
  PhNode *node = store->node;
  PhWorld *world = node->world;
  PhMemberId ids[PH_STORE_CONTACTS_MAX];
  uint32_t count;
  uint32_t place;
  bool is_watcher = false;

  if (world->membership.is_joined && store->joined_at == 0)
    {
      store->joined_at = node->ctx.now;
      store->next_rank_at = store->joined_at + FIRST_RANK_SETTLE_TIME;
    }
  update_settled (store);
  if (!ph_store_is_join_over (store) || node->ctx.now < store->next_rank_at
      || (store->contact_text != NULL && ph_store_is_rank_current (store)))
    return;
  store->next_rank_at
      = node->ctx.now + (store->is_settled ? RANK_INTERVAL : FIRST_RANK_SETTLE_TIME);
  if (store->ranked_state_version == world->membership.state_version)
    spread_publish (store);
  store->ranked_state_version = world->membership.state_version;
  store->deeper_version = world->chain.deeper_version;
  place = renewal_place (store);
  store->renewing_count
      = ph_member_data_centres (world, ph_store_data_centre (store), &store->renewing_index);
  count = ph_member_ranked (world, ph_store_data_centre (store), ids, PH_STORE_CONTACTS_MAX);
  store->is_first_by_rank = count > 0 && ids[0].v == world->membership.self.v;
  if (renewal_place (store) != place)
    for (int i = PH_STORE_JOB_WATCH; i < PH_STORE_JOB_COUNT; i++)
      ph_store_schedule_renewal (&store->jobs[i], true);
  for (uint32_t i = 0; i < count && i < watchers_per_data_centre (store); i++)
    is_watcher = is_watcher || ids[i].v == world->membership.self.v;
  if (is_watcher != store->state.is_watcher)
    ph_log (&node->ctx, PH_LOG_INFO, PH_STEP_STORE_WATCH, NULL,
            is_watcher ? "this node is now a watcher of the store for its data centre"
                       : "this node is no longer a watcher of the store for its data centre");
  store->state.is_watcher = is_watcher;
  free (store->contact_text);
  store->contact_text = ph_store_format_contact (store, ids, count);
}
