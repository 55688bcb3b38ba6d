#include <string.h>

#include "core/move_parts.h"
#include "pollenhitch/gossip.h"

/* Slow calls of one node and route bucket within this time are taken to have one cause. */
#define SLOW_BURST_TIME (100 * PH_MS)

#define EVIDENCE_INTERVAL PH_SECOND
#define EVIDENCE_INTERVAL_SHORT (400 * PH_MS) /* of a move with a duration */

/* Evaluators are the nodes of the new version to which all other nodes send their counts, chosen by
 * rendezvous hash. They see all evidence, however many nodes there are. In case they fail, counts
 * are also sent to one random node of the new version. */
#define EVALUATORS_MAX 2

/* When a sum is above PH_MOVE_ALARM_THRESHOLD divided by this, which takes one failure, the node
 * sends its counts with each evaluation. Used for a move with a duration only. With two failures,
 * nodes that had 9 calls a second each reported a bad version 0.2 s later (fleetbench
 * chre-mesh-large: 1,133 of 10,662 calls, 1,116 allowed). */
#define FREQUENT_EVIDENCE_DIVISOR 16

/* Counts that are older than this are not taken for those of now. A node that took itself for an
 * evaluator had old counts of many nodes, computed a low rate of calls and took all steps early
 * (fleetbench chre-mesh-large trouble-2: 1,459 to 1,875 calls of about 13,580, 1,409 allowed). */
#define EVIDENCE_AGE_MAX PH_SECOND

/* Upper bounds of the latency buckets; the last bucket has none. The factor is two where most
 * calls of the known fleets lie: with a factor of four, calls that are slowed eightfold and calls
 * on a busy VM fall into one bucket. */
const PhTime ph_move_latency_limits[PH_MOVE_LATENCY_BUCKETS - 1]
    = { 2 * PH_MS, 8 * PH_MS, 32 * PH_MS, 128 * PH_MS, 256 * PH_MS, 512 * PH_MS, 1024 * PH_MS };

/* Sums the counts of the old or the new version that this node knows, by route bucket. */
void
ph_move_sum_evidence (const PhWorld *world, PhMoveId id, bool is_new, PhMoveCounts *route_counts)
{
  PhEvidenceId row_id = { 0 };

  memset (route_counts, 0, PH_MOVE_ROUTE_BUCKETS * sizeof *route_counts);
  while ((row_id = ph_evidence_next (&world->evidence, row_id)).v != 0)
    {
      const PhEvidence *row = ph_evidence_get (&world->evidence, row_id);

      if (row->move.v != id.v || row->is_new_version != is_new)
        continue;
      for (uint32_t i = 0; i < PH_MOVE_ROUTE_BUCKETS; i++)
        {
          route_counts[i].calls += row->route_counts[i].calls;
          route_counts[i].failures += row->route_counts[i].failures;
          for (uint32_t t = 0; t < PH_MOVE_LATENCY_BUCKETS; t++)
            route_counts[i].latency_buckets[t] += row->route_counts[i].latency_buckets[t];
        }
    }
}

uint32_t
ph_move_sum_calls (const PhMoveCounts *route_counts)
{
  uint32_t calls = 0;

  for (uint32_t i = 0; i < PH_MOVE_ROUTE_BUCKETS; i++)
    calls += route_counts[i].calls;
  return calls;
}

/* Calls of the old or the new version that this node knows to have been started. */
uint32_t
ph_move_sum_started_calls (const PhWorld *world, PhMoveId id, bool is_new)
{
  PhEvidenceId row_id = { 0 };
  uint32_t calls = 0;

  while ((row_id = ph_evidence_next (&world->evidence, row_id)).v != 0)
    {
      const PhEvidence *row = ph_evidence_get (&world->evidence, row_id);

      calls += row->move.v == id.v && row->is_new_version == is_new ? row->started_calls : 0;
    }
  return calls;
}

static PhEvidenceId
intern_evidence (PhWorld *world, PhMoveId move, uint64_t node, uint64_t epoch, bool is_new)
{
  PhEvidenceId id = { 0 };
  PhEvidence *row;

  while ((id = ph_evidence_next (&world->evidence, id)).v != 0)
    {
      row = ph_evidence_get (&world->evidence, id);
      if (row->move.v == move.v && row->node_hash == node && row->epoch == epoch
          && row->is_new_version == is_new)
        return id;
    }
  id = ph_evidence_add (&world->evidence, &row);
  if (id.v == 0)
    return id;
  row->move = move;
  row->node_hash = node;
  row->epoch = epoch;
  row->is_new_version = is_new;
  return id;
}

void
ph_move_merge_evidence (PhContext *ctx,
                        PhWorld *world,
                        PhMemberId sender,
                        const PhMoveEvidence *evidence)
{
  const PhMember *member = ph_member_get (&world->members, sender);
  PhMoveId id;
  PhEvidence *row;

  if (member == NULL
      || ph_move_find_revision (ctx, world, evidence->path, evidence->revision, &id) == NULL)
    return;
  row = ph_evidence_get (&world->evidence,
                         intern_evidence (world, id, member->name_hash, member->record.epoch,
                                          evidence->is_new_version));
  if (row == NULL)
    return;
  row->updated_at = ctx->now;
  row->started_calls = ph_move_max_count (row->started_calls, evidence->started_calls);
  for (uint32_t i = 0; i < PH_MOVE_ROUTE_BUCKETS; i++)
    {
      PhMoveCounts *known = &row->route_counts[i];
      const PhMoveCounts *received = &evidence->route_counts[i];

      known->calls = ph_move_max_count (known->calls, received->calls);
      known->failures = ph_move_max_count (known->failures, received->failures);
      for (uint32_t t = 0; t < PH_MOVE_LATENCY_BUCKETS; t++)
        known->latency_buckets[t]
            = ph_move_max_count (known->latency_buckets[t], received->latency_buckets[t]);
    }
}

/* Whether the local upstream is of the move's service and of its old or new version. Sets *is_new
 * for the new one. */
bool
ph_move_is_local_participant (const PhWorld *world, const PhMove *move, bool *is_new)
{
  const PhUpstream *own = ph_upstream_get (&world->upstreams, world->admission.upstream);
  const PhService *service = own != NULL ? ph_service_get (&world->services, own->service) : NULL;

  if (service == NULL || !move->has_object || strcmp (service->name, move->spec.service) != 0)
    return false;
  *is_new = strcmp (own->version, move->spec.to_version) == 0;
  return *is_new || move->spec.from_version[0] == '\0'
         || strcmp (own->version, move->spec.from_version) == 0;
}

static uint32_t
latency_bucket (PhTime latency)
{
  uint32_t bucket = 0;

  while (bucket + 1 < PH_MOVE_LATENCY_BUCKETS && latency >= ph_move_latency_limits[bucket])
    bucket++;
  return bucket;
}

/* The latency bucket with the most calls. */
static uint32_t
modal_latency_bucket (const PhMoveCounts *counts)
{
  uint32_t common = 0;

  for (uint32_t t = 1; t < PH_MOVE_LATENCY_BUCKETS; t++)
    if (counts->latency_buckets[t] > counts->latency_buckets[common])
      common = t;
  return common;
}

/* Whether a call is slow and follows another slow call within SLOW_BURST_TIME; records the time of
 * a slow call that does not. A pause of the VM slows down all calls in flight, and the test, which
 * assumes independent calls, would count each of them. */
static bool
is_in_slow_burst (
    PhMove *move, const PhMoveCounts *counts, uint32_t route_bucket, PhTime now, PhTime latency)
{
  if (counts->calls == 0 || latency_bucket (latency) <= modal_latency_bucket (counts))
    return false;
  if (now - move->last_slow_call_at[route_bucket] < SLOW_BURST_TIME)
    return true;
  move->last_slow_call_at[route_bucket] = now;
  return false;
}

/* Finds or adds the row with this node's counts of a move; NULL when the table is full. */
static PhEvidence *
intern_own_evidence (PhWorld *world, PhMoveId id, bool is_new)
{
  const PhMember *self = ph_member_get (&world->members, world->membership.self);
  PhMove *move = ph_move_get (&world->moves, id);
  PhEvidence *row = ph_evidence_get (&world->evidence, move->own_evidence);

  if (row != NULL && row->epoch == world->epoch && row->is_new_version == is_new)
    return row;
  move->own_evidence = intern_evidence (world, id, self->name_hash, world->epoch, is_new);
  return ph_evidence_get (&world->evidence, move->own_evidence);
}

void
ph_move_count_start (PhContext *ctx, PhWorld *world)
{
  PhMoveId id = { 0 };

  while ((id = ph_move_next (&world->moves, id)).v != 0)
    {
      const PhMove *move = ph_move_get (&world->moves, id);
      PhEvidence *row;
      bool is_new;

      if (!ph_move_is_local_participant (world, move, &is_new) || !ph_move_is_running (ctx, move))
        continue;
      row = intern_own_evidence (world, id, is_new);
      if (row == NULL)
        continue;
      row->updated_at = ctx->now;
      row->started_calls++;
    }
}

void
ph_move_observe (
    PhContext *ctx, PhWorld *world, uint32_t route_bucket, PhTime latency, bool is_failure)
{
  const PhUpstream *own = ph_upstream_get (&world->upstreams, world->admission.upstream);
  PhMoveId id = { 0 };

  if (own == NULL || own->state != PH_UPSTREAM_READY)
    return;
  while ((id = ph_move_next (&world->moves, id)).v != 0)
    {
      PhMove *move = ph_move_get (&world->moves, id);
      PhEvidence *row;
      bool is_new;

      if (!ph_move_is_local_participant (world, move, &is_new) || !ph_move_is_running (ctx, move))
        continue;
      row = intern_own_evidence (world, id, is_new);
      if (row == NULL
          || (!is_failure
              && is_in_slow_burst (move, &row->route_counts[route_bucket], route_bucket, ctx->now,
                                   latency)))
        continue;
      row->updated_at = ctx->now;
      row->route_counts[route_bucket].calls++;
      row->route_counts[route_bucket].failures += is_failure ? 1 : 0;
      row->route_counts[route_bucket].latency_buckets[latency_bucket (latency)]++;
    }
}

/* The node of an upstream if the upstream is of the new version, otherwise 0. */
static PhMemberId
new_version_member (const PhWorld *world, const PhMove *move, PhUpstreamId id)
{
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  if (strcmp (upstream->version, move->spec.to_version) != 0)
    return (PhMemberId){ 0 };
  return upstream->is_local ? world->membership.self : upstream->member;
}

uint64_t
ph_move_evaluator_score (const PhWorld *world, const PhMove *move, PhMemberId id)
{
  const PhMember *member = ph_member_get (&world->members, id);

  return member != NULL ? ph_hash_mix (member->name_hash, move->path_hash) : 0;
}

/* Finds the nodes of the new version with the highest scores by rendezvous hash, in order, at most
 * EVALUATORS_MAX. Returns their number. */
static uint32_t
find_evaluators (const PhWorld *world, const PhMove *move, PhMemberId *evaluators)
{
  const PhService *service
      = ph_service_get (&world->services, ph_service_find (world, move->spec.service));
  uint32_t count = 0;

  for (uint32_t i = 0; service != NULL && i < service->upstream_count; i++)
    {
      PhMemberId id = new_version_member (world, move, service->upstreams[i]);
      uint32_t rank = count;

      if (ph_member_get (&world->members, id) == NULL)
        continue;
      while (rank > 0
             && ph_move_evaluator_score (world, move, evaluators[rank - 1])
                    < ph_move_evaluator_score (world, move, id))
        rank--;
      if (rank == EVALUATORS_MAX)
        continue;
      if (count < EVALUATORS_MAX)
        count++;
      memmove (&evaluators[rank + 1], &evaluators[rank], (count - rank - 1) * sizeof *evaluators);
      evaluators[rank] = id;
    }
  return count;
}

/* Whether ids[index] also appears before index. */
static bool
appears_before (const PhMemberId *ids, uint32_t index)
{
  for (uint32_t i = 0; i < index; i++)
    if (ids[i].v == ids[index].v)
      return true;
  return false;
}

/* A random other node of the new version, or 0. */
static PhMemberId
random_new_version_member (PhContext *ctx, const PhWorld *world, const PhMove *move)
{
  const PhService *service
      = ph_service_get (&world->services, ph_service_find (world, move->spec.service));
  uint32_t count = service != NULL ? service->upstream_count : 0;
  uint32_t start = ph_random_below (&ctx->random, count);

  for (uint32_t i = 0; i < count; i++)
    {
      PhMemberId id = new_version_member (world, move, service->upstreams[(start + i) % count]);

      if (id.v != 0 && id.v != world->membership.self.v)
        return id;
    }
  return (PhMemberId){ 0 };
}

bool
ph_move_is_evaluator (const PhWorld *world, const PhMove *move)
{
  PhMemberId evaluators[EVALUATORS_MAX + 1];
  uint32_t count = find_evaluators (world, move, evaluators);

  evaluators[count] = world->membership.self;
  return appears_before (evaluators, count);
}

/* Observes the attempts at the local upstream that are open for longer than ph_move_open_limits. */
void
ph_move_observe_open_attempts (PhContext *ctx, PhWorld *world, PhMoveId id)
{
  PhTime limits[PH_MOVE_ROUTE_BUCKETS];
  PhAttemptId attempt_id = { 0 };

  ph_move_open_limits (world, id, limits);
  while ((attempt_id = ph_attempt_next (&world->attempts, attempt_id)).v != 0)
    {
      PhAttempt *attempt = ph_attempt_get (&world->attempts, attempt_id);
      const PhCall *call = ph_call_get (&world->calls, attempt->call);

      if (!attempt->is_slot_held || attempt->state != PH_ATTEMPT_STARTED
          || attempt->is_version_sampled
          || ctx->now - attempt->started_at < limits[call->route_bucket])
        continue;
      attempt->is_version_sampled = true;
      ph_move_observe (ctx, world, call->route_bucket, ctx->now - attempt->started_at, false);
    }
}

/* Upstreams of the service of a move for each node whose counts are known and recent, at least 1.
 */
double
ph_move_upstreams_per_row (const PhContext *ctx, const PhWorld *world, PhMoveId id)
{
  const PhService *service = ph_service_get (
      &world->services, ph_service_find (world, ph_move_get (&world->moves, id)->spec.service));
  PhEvidenceId row_id = { 0 };
  uint32_t rows = 0;

  while ((row_id = ph_evidence_next (&world->evidence, row_id)).v != 0)
    {
      const PhEvidence *row = ph_evidence_get (&world->evidence, row_id);

      rows += row->move.v == id.v && ctx->now - row->updated_at < EVIDENCE_AGE_MAX ? 1 : 0;
    }
  rows = rows > 0 ? rows : 1;
  return service != NULL && rows < service->upstream_count ? (double)service->upstream_count / rows
                                                           : 1;
}

/* Minimum time between two sends of this node's counts; see FREQUENT_EVIDENCE_DIVISOR. */
static PhTime
evidence_interval (const PhMove *move)
{
  if (move->spec.duration == 0)
    return EVIDENCE_INTERVAL;
  return ph_move_highest_sum (move) > PH_MOVE_ALARM_THRESHOLD / FREQUENT_EVIDENCE_DIVISOR
             ? PH_MOVE_EVALUATION_PERIOD
             : EVIDENCE_INTERVAL_SHORT;
}

/* Sends this node's counts to the evaluators and to one other random node of the new version, if
 * they changed. */
void
ph_move_send_evidence (PhContext *ctx, PhWorld *world, PhMoveId id, bool is_new)
{
  PhMove *move = ph_move_get (&world->moves, id);
  const PhEvidence *own = intern_own_evidence (world, id, is_new);
  PhMemberId targets[EVALUATORS_MAX + 1];
  uint32_t count;

  if (own == NULL || ctx->now < move->evidence_sent_at + evidence_interval (move)
      || own->started_calls + ph_move_sum_calls (own->route_counts) == move->evidence_sent_calls)
    return;
  move->evidence_sent_at = ctx->now;
  move->evidence_sent_calls = own->started_calls + ph_move_sum_calls (own->route_counts);
  count = find_evaluators (world, move, targets);
  targets[count++] = random_new_version_member (ctx, world, move);
  for (uint32_t i = 0; i < count; i++)
    {
      const PhMember *member = ph_member_get (&world->members, targets[i]);

      if (member != NULL && !member->is_self && !(i == count - 1 && appears_before (targets, i)))
        ph_gossip_send_evidence (ctx, world, &member->record, move, own);
    }
}
