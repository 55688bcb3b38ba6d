#include "pollenhitch/member.h"

#include <stdlib.h>
#include <string.h>

#include "core/swim.h"
#include "pollenhitch/gossip.h"
#include "pollenhitch/invariant.h"
#include "pollenhitch/load_view.h"
#include "pollenhitch/sync.h"
#include "pollenhitch/trace.h"
#include "pollenhitch/world.h"

/* Limit on how often a process may raise its epoch above that of another process with its VM name.
 */
#define EPOCH_RAISE_WINDOW (10 * PH_SECOND)
#define EPOCH_RAISES_MAX 4

static const char *const state_names[] = { "alive", "suspect", "dead", "left" };

const char *
ph_member_state_name (PhMemberState state)
{
  return state_names[state];
}

static bool
name_matches (const void *user, uint32_t handle, const char *key)
{
  const PhWorld *world = user;

  return strcmp (ph_member_get (&world->members, (PhMemberId){ handle })->record.name, key) == 0;
}

PhMemberId
ph_member_find (const PhWorld *world, const char *name)
{
  return (PhMemberId){ ph_index_find (&world->member_index, ph_hash (name), name_matches, world,
                                      name) };
}

/* Whether a record's state is alive or suspect. */
static bool
is_live (const PhMemberRecord *record)
{
  return record->state < PH_MEMBER_DEAD;
}

/* Adds a row to the digest of its bucket, or removes it again, by XOR. Dead members are left out,
 * because each node evicts them at a different time; and alive and suspect give the same digest,
 * because suspicions are short. */
static void
toggle_digest (PhWorld *world, const PhMember *member)
{
  const PhMemberRecord *record = &member->record;

  if (is_live (record))
    world->membership.member_digests[member->name_hash % PH_SYNC_BUCKETS]
        ^= ph_hash_mix (member->name_hash, ph_hash_mix (record->epoch, record->incarnation));
}

/* Adds a row for a name. It has epoch 0 and the state "left" until a record is applied. */
static PhMemberId
add_member (PhWorld *world, const PhMemberRecord *record)
{
  PhMember *member;
  PhMemberId id = ph_member_add (&world->members, &member);

  if (id.v == 0)
    return id;
  member->name_hash = ph_hash (record->name);
  ph_text_copy (member->record.name, sizeof member->record.name, record->name);
  member->record.state = PH_MEMBER_LEFT;
  world->membership.dead_count++;
  ph_index_add (&world->member_index, member->name_hash, id.v);
  return id;
}

void
ph_member_evict (PhContext *ctx, PhWorld *world, PhMemberId id)
{
  PhMember *member = ph_member_get (&world->members, id);

  ph_upstream_drop (ctx, world, member->upstream);
  toggle_digest (world, member);
  if (is_live (&member->record))
    world->membership.live_count--;
  else
    world->membership.dead_count--;
  ph_index_remove (&world->member_index, member->name_hash, id.v);
  ph_member_remove (&world->members, id);
}

bool
ph_member_start (PhContext *ctx, PhWorld *world, const PhMemberRecord *self, PhError *err)
{
  PhMembership *ms = &world->membership;
  PhMember *member;

  ms->self = add_member (world, self);
  member = ph_member_get (&world->members, ms->self);
  ms->probe_order = calloc (world->members.capacity, sizeof *ms->probe_order);
  if (member == NULL || ms->probe_order == NULL)
    return ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_SETTINGS, NULL, "out of memory for members");
  member->record = *self;
  member->is_self = true;
  member->changed_at = ctx->now;
  ms->dead_count = 0;
  ms->live_count = 1;
  toggle_digest (world, member);
  ms->next_round_at = PH_TIME_NEVER;
  ms->last_round_at = ctx->now - PH_SECOND;
  ms->sync_started_at = ctx->now - PH_SECOND;
  ms->last_xid = (uint32_t)ph_random_next (&ctx->random);
  return ph_queue_init (&ms->gossip_members, world->members.capacity, err)
         && ph_queue_init (&ms->gossip_objects, world->objects.capacity, err)
         && ph_queue_init (&ms->gossip_moves, PH_MOVES_MAX, err);
}

void
ph_member_clear (PhWorld *world)
{
  free (world->membership.probe_order);
  world->membership.probe_order = NULL;
  ph_queue_clear (&world->membership.gossip_members);
  ph_queue_clear (&world->membership.gossip_objects);
  ph_queue_clear (&world->membership.gossip_moves);
}

int
ph_member_compare (const PhMemberRecord *a, const PhMemberRecord *b)
{
  if (a->epoch != b->epoch)
    return a->epoch < b->epoch ? -1 : 1;
  if (a->incarnation != b->incarnation)
    return a->incarnation < b->incarnation ? -1 : 1;
  return (int)a->state - (int)b->state;
}

/* Adds, updates or removes the upstream row of another member, as its record says. */
static void
update_upstream (PhContext *ctx, PhWorld *world, PhMemberId id)
{
  PhMember *member = ph_member_get (&world->members, id);
  const PhMemberRecord *record = &member->record;
  PhUpstreamOptions opts = { .service = record->service,
                             .version = record->version,
                             .state = record->upstream_state,
                             .member = id,
                             .epoch = record->upstream_epoch,
                             .slots = record->slots,
                             .connections = record->connections };
  PhError err;

  if (member->is_self)
    return;
  if (!is_live (record) || !record->has_upstream)
    {
      ph_upstream_drop (ctx, world, member->upstream);
      member->upstream = (PhUpstreamId){ 0 };
      return;
    }
  opts.data_centre = ph_data_centre_intern (ctx, world, record->data_centre, record->region, &err);
  if (opts.data_centre.v != 0)
    member->upstream = ph_upstream_upsert (ctx, world, member->upstream, &opts, &err);
  if (opts.data_centre.v == 0 || member->upstream.v == 0)
    ph_log_error (ctx, PH_LOG_WARNING, &err);
}

static void
update_counts (PhMembership *ms, bool was_live, bool is_now_live)
{
  ms->live_count += (is_now_live ? 1 : 0) - (was_live ? 1 : 0);
  ms->dead_count += (is_now_live ? 0 : 1) - (was_live ? 0 : 1);
}

/* Replaces the record of another member by a newer one. */
static void
apply_record (PhContext *ctx, PhWorld *world, PhMemberId id, const PhMemberRecord *record)
{
  PhMember *member = ph_member_get (&world->members, id);
  bool was_live = is_live (&member->record);
  bool is_new_process = member->record.epoch != record->epoch;
  PhMemberState old_state = member->record.state;

  PH_INVARIANT (record->epoch > member->record.epoch
                || (record->epoch == member->record.epoch
                    && record->incarnation >= member->record.incarnation));
  toggle_digest (world, member);
  member->record = *record;
  toggle_digest (world, member);
  member->changed_at = ctx->now;
  member->suspicion_count = 0;
  if (is_new_process)
    member->received_sequence = member->received_window = 0;
  update_counts (&world->membership, was_live, is_live (record));
  if (is_new_process || old_state != record->state)
    {
      world->membership.state_version++;
      ph_count (ctx, PH_COUNT_MEMBER_CHANGES, 1);
      ph_event_record (ctx, PH_EVENT_MEMBER_STATE, state_names[record->state], record->name,
                       record->incarnation);
      ph_log (ctx, PH_LOG_INFO, PH_STEP_GOSSIP, record->name,
              "member state: %s, address %s, epoch %llu", state_names[record->state],
              record->address, (unsigned long long)record->epoch);
    }
  update_upstream (ctx, world, id);
  ph_gossip_queue_member (ctx, world, id);
  ph_swim_handle_state_change (ctx, world, id, was_live);
}

/* Declares dead the members whose address now belongs to a member that has just joined. Their VMs
 * are gone, but pings would not show this, because the new VM receives them. The higher epoch
 * (start time) shows which VM is the newer; when clock skew hides this, member probes have to
 * detect the failure. A member that is declared dead by mistake refutes it. */
static void
mark_replaced_dead (PhContext *ctx, PhWorld *world, PhMemberId id)
{
  const PhMemberRecord newer = ph_member_get (&world->members, id)->record;
  PhMemberId other = { 0 };

  while ((other = ph_member_next (&world->members, other)).v != 0)
    {
      const PhMember *member = ph_member_get (&world->members, other);
      PhMemberRecord record;

      if (other.v == id.v || member->is_self || !is_live (&member->record)
          || member->record.epoch >= newer.epoch
          || member->record.control_port != newer.control_port
          || strcmp (member->record.address, newer.address) != 0)
        continue;
      record = member->record;
      ph_log (ctx, PH_LOG_INFO, PH_STEP_GOSSIP, record.name,
              "member is declared dead: its address %s now belongs to %s", record.address,
              newer.name);
      record.state = PH_MEMBER_DEAD;
      ph_member_merge (ctx, world, &record);
    }
}

/* Raises the epoch of this process above that of another process with the same VM name, which may
 * be a predecessor that ran with a later wall clock; otherwise nodes would ignore this process.
 * Nodes may hold records of different predecessors, so several raises can be needed. Two running
 * processes with one name would raise their epochs endlessly, hence the limit of EPOCH_RAISES_MAX
 * in EPOCH_RAISE_WINDOW. Returns false at the limit. */
static bool
raise_epoch (PhContext *ctx, PhWorld *world, const PhMemberRecord *record)
{
  PhMembership *ms = &world->membership;
  PhMember *self = ph_member_get (&world->members, ms->self);
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, world->admission.upstream);

  if (ctx->now >= ms->epoch_raise_window_began_at + EPOCH_RAISE_WINDOW
      || ms->epoch_raise_window_began_at == 0)
    {
      ms->epoch_raise_window_began_at = ctx->now;
      ms->epoch_raise_count = 0;
    }
  if (ms->epoch_raise_count == EPOCH_RAISES_MAX)
    return false;
  ms->epoch_raise_count++;
  ph_log (ctx, PH_LOG_WARNING, PH_STEP_GOSSIP, record->name,
          "another process with this VM name is running, or ran with a later wall clock: raising "
          "the epoch above its epoch");
  toggle_digest (world, self);
  if (upstream != NULL && upstream->epoch == world->epoch)
    upstream->epoch = self->record.upstream_epoch = record->epoch + 1;
  world->epoch = self->record.epoch = record->epoch + 1;
  toggle_digest (world, self);
  ph_gossip_queue_member (ctx, world, ms->self);
  return true;
}

/* Merges a record of this node that another node sent. A record that is newer than the own one, for
 * example because it has the state suspect or dead, is refuted by a higher incarnation; one with a
 * higher epoch makes this process raise its epoch. */
static bool
merge_own_record (PhContext *ctx, PhWorld *world, const PhMemberRecord *record)
{
  PhMember *self = ph_member_get (&world->members, world->membership.self);

  if (record->epoch > self->record.epoch)
    return raise_epoch (ctx, world, record);
  if (ph_member_compare (record, &self->record) <= 0 || self->record.state == PH_MEMBER_LEFT)
    return false;
  if (record->state != PH_MEMBER_ALIVE)
    ph_swim_handle_self_suspicion (world);
  toggle_digest (world, self);
  self->record.incarnation = record->incarnation + 1;
  toggle_digest (world, self);
  ph_gossip_queue_member (ctx, world, world->membership.self);
  return true;
}

static bool
is_valid_record (const PhMemberRecord *record)
{
  return record->name[0] != '\0' && record->data_centre[0] != '\0' && record->epoch != 0
         && record->state <= PH_MEMBER_LEFT && record->upstream_state <= PH_UPSTREAM_DRAINING;
}

bool
ph_member_merge (PhContext *ctx, PhWorld *world, const PhMemberRecord *record)
{
  PhMemberId id;
  PhMember *member;
  bool is_joining;
  int order;

  if (!is_valid_record (record))
    return false;
  id = ph_member_find (world, record->name);
  if (id.v == world->membership.self.v)
    return merge_own_record (ctx, world, record);
  if (id.v == 0)
    {
      if (world->members.count == world->members.capacity)
        ph_swim_evict_oldest (ctx, world);
      id = add_member (world, record);
    }
  member = ph_member_get (&world->members, id);
  if (member == NULL)
    return false;
  order = ph_member_compare (record, &member->record);
  if (order == 0)
    ph_gossip_observe_duplicate (world, id);
  if (order <= 0)
    {
      ph_swim_confirm_suspicion (ctx, world, id, record);
      return false;
    }
  is_joining = record->state == PH_MEMBER_ALIVE
               && (!is_live (&member->record) || member->record.epoch != record->epoch);
  apply_record (ctx, world, id, record);
  if (is_joining)
    mark_replaced_dead (ctx, world, id);
  return true;
}

void
ph_member_self_changed (PhContext *ctx, PhWorld *world)
{
  PhMember *self = ph_member_get (&world->members, world->membership.self);
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, world->admission.upstream);
  PhMemberRecord *record;

  if (self == NULL)
    return;
  record = &self->record;
  toggle_digest (world, self);
  record->incarnation++;
  if (world->is_stopping)
    record->state = PH_MEMBER_LEFT;
  /* An upstream that does not admit calls yet is not announced: every node would try it, fail and
   * suspend it. */
  record->has_upstream = upstream != NULL && ph_registration_admits_calls (world);
  if (upstream != NULL)
    {
      const PhService *service = ph_service_get (&world->services, upstream->service);

      ph_text_copy (record->service, sizeof record->service, service->name);
      ph_text_copy (record->version, sizeof record->version, upstream->version);
      record->upstream_epoch = upstream->epoch;
      record->upstream_state = upstream->state;
      record->slots = upstream->slots;
      record->connections = upstream->connections;
    }
  toggle_digest (world, self);
  self->changed_at = ctx->now;
  ph_gossip_queue_member (ctx, world, world->membership.self);
}

void
ph_member_init_message (PhWorld *world,
                        PhMessageKind kind,
                        const PhMemberRecord *to,
                        PhMessage *message)
{
  const PhMember *self = ph_member_get (&world->members, world->membership.self);

  message->kind = kind;
  ph_text_copy (message->address, sizeof message->address, to->address);
  message->port = to->control_port;
  message->receiver_epoch = to->epoch;
  ph_text_copy (message->sender, sizeof message->sender, self->record.name);
  message->sender_epoch = self->record.epoch;
  message->config_revision = ph_config_newest (world);
  message->config_digest = ph_config_digest (world);
}

#define SEQUENCE_WINDOW 64 /* bits of received_window */

/* Records a sequence number of a sender. Returns false for one that was received before, or that is
 * SEQUENCE_WINDOW or more below the highest. */
static bool
accept_sequence (PhMember *member, uint64_t sequence)
{
  uint64_t ahead;
  uint64_t bit;

  if (sequence > member->received_sequence)
    {
      ahead = sequence - member->received_sequence;
      member->received_window = ahead < SEQUENCE_WINDOW ? member->received_window << ahead : 0;
      member->received_window |= 1;
      member->received_sequence = sequence;
      return true;
    }
  if (member->received_sequence - sequence >= SEQUENCE_WINDOW)
    return false;
  bit = (uint64_t)1 << (member->received_sequence - sequence);
  if ((member->received_window & bit) != 0)
    return false;
  member->received_window |= bit;
  return true;
}

bool
ph_member_accept (PhContext *ctx, PhWorld *world, const PhMessage *message)
{
  PhMembership *ms = &world->membership;
  PhMember *sender = ph_member_get (&world->members, ph_member_find (world, message->sender));
  bool is_hello = message->kind == PH_MESSAGE_PING && message->receiver_epoch == 0;
  bool is_accepted = (is_hello || message->receiver_epoch == world->epoch)
                     && (sender == NULL || !sender->is_self);

  (void)ctx;
  if (is_accepted && sender != NULL && sender->record.epoch >= message->sender_epoch)
    is_accepted = sender->record.epoch == message->sender_epoch
                  && accept_sequence (sender, message->sequence);
  if (!is_accepted)
    ms->rejected_count++;
  return is_accepted;
}

/* Merges the sender's own record, if the message holds it, before the rest of the message. Returns
 * the sender's row, or 0 when its process is still not a known member. */
static PhMemberId
merge_sender_record (PhContext *ctx, PhWorld *world, const PhMessage *message)
{
  PhMemberId id;
  PhMember *sender;

  for (uint32_t i = 0; i < message->record_count; i++)
    if (strcmp (message->records[i]->name, message->sender) == 0
        && message->records[i]->epoch == message->sender_epoch)
      ph_member_merge (ctx, world, message->records[i]);
  id = ph_member_find (world, message->sender);
  sender = ph_member_get (&world->members, id);
  if (sender == NULL || sender->record.epoch != message->sender_epoch)
    return (PhMemberId){ 0 };
  if (sender->received_sequence == 0)
    accept_sequence (sender, message->sequence);
  return id;
}

/* Merges the records, objects and moves of a message of a known member. */
static void
merge_content (PhContext *ctx, PhWorld *world, const PhMessage *message, PhMemberId sender)
{
  PhError err;

  for (uint32_t i = 0; i < message->record_count; i++)
    ph_member_merge (ctx, world, message->records[i]);
  for (uint32_t i = 0; i < message->object_count; i++)
    {
      const PhMessageObject *object = &message->objects[i];

      if (object->is_text_omitted)
        {
          const PhObjectRow *row = ph_config_find (world, object->path);

          if (row == NULL || row->revision < object->revision)
            ph_sync_start (ctx, world, sender);
          continue;
        }
      ph_config_apply (ctx, world, object->path, object->revision,
                       object->is_deleted ? NULL : object->text, object->size, &err);
    }
  for (uint32_t i = 0; i < message->move_count; i++)
    ph_move_merge (ctx, world, &message->moves[i]);
  ph_load_view_apply (ctx, world, message->loads, message->load_count);
}

void
ph_member_receive (PhContext *ctx, PhWorld *world, const PhMessage *message)
{
  PhMemberId sender = ph_member_find (world, message->sender);
  const PhMember *held = ph_member_get (&world->members, sender);

  if (!ph_member_accept (ctx, world, message))
    {
      bool is_sender_stale
          = message->kind == PH_MESSAGE_PING && held != NULL && !held->is_self
            && message->sender_epoch < held->record.epoch
            && (message->receiver_epoch == 0 || message->receiver_epoch == world->epoch);

      if (is_sender_stale)
        ph_swim_handle_stale_sender (ctx, world, message, sender);
      else if (message->kind == PH_MESSAGE_PING && message->receiver_epoch != world->epoch
               && message->receiver_epoch != 0)
        ph_swim_handle_stale_target (ctx, world, message);
      return;
    }
  /* A hello is not bound to the epoch of this process, so a replayed one is accepted too while its
   * sender's process is not known here. It is only acknowledged, and its content is ignored. */
  if (message->receiver_epoch == 0)
    {
      ph_swim_acknowledge (ctx, world, message, (PhMemberId){ 0 });
      return;
    }
  sender = merge_sender_record (ctx, world, message);
  if (sender.v == 0)
    {
      ph_swim_handle_unknown_sender (ctx, world, message);
      return;
    }
  merge_content (ctx, world, message, sender);
  if (message->evidence != NULL)
    ph_move_merge_evidence (ctx, world, sender, message->evidence);
  ph_swim_receive (ctx, world, message, sender);
  ph_sync_compare (ctx, world, message, sender);
}

uint32_t
ph_member_ranked (const PhWorld *world, const char *data_centre, PhMemberId *ids, uint32_t max)
{
  uint64_t key = ph_hash (data_centre);
  PhMemberId id = { 0 };
  uint32_t count = 0;

  while ((id = ph_member_next (&world->members, id)).v != 0)
    {
      const PhMember *member = ph_member_get (&world->members, id);
      uint64_t score = ph_hash_mix (member->name_hash, key);
      uint32_t rank = count;

      if (!is_live (&member->record) || strcmp (member->record.data_centre, data_centre) != 0)
        continue;
      while (rank > 0
             && ph_hash_mix (ph_member_get (&world->members, ids[rank - 1])->name_hash, key)
                    < score)
        rank--;
      if (rank == max)
        continue;
      if (count < max)
        count++;
      memmove (&ids[rank + 1], &ids[rank], (count - rank - 1) * sizeof *ids);
      ids[rank] = id;
    }
  return count;
}

uint32_t
ph_member_data_centres (const PhWorld *world, const char *data_centre, uint32_t *place)
{
  const char *names[PH_MEMBER_DATA_CENTRES_MAX];
  PhMemberId id = { 0 };
  uint32_t count = 0;

  *place = 0;
  while ((id = ph_member_next (&world->members, id)).v != 0)
    {
      const PhMemberRecord *record = &ph_member_get (&world->members, id)->record;
      uint32_t i = 0;

      if (!is_live (record))
        continue;
      while (i < count && strcmp (names[i], record->data_centre) != 0)
        i++;
      if (i < count || count == PH_MEMBER_DATA_CENTRES_MAX)
        continue;
      names[count++] = record->data_centre;
      *place += strcmp (record->data_centre, data_centre) < 0 ? 1 : 0;
    }
  return count;
}
