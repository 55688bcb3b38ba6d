#include "pollenhitch/sync.h"

#include <stdlib.h>
#include <string.h>

#include "pollenhitch/gossip.h"
#include "pollenhitch/object.h"
#include "pollenhitch/revision.h"
#include "pollenhitch/trace.h"
#include "pollenhitch/world.h"

/* Minimum time between two syncs that this node starts. */
#define SYNC_INTERVAL_MIN (200 * PH_MS)

/* The same during a catch-up. With 200 ms and 10% packet loss, 2 of 6 replays of test_fleet.c took
 * more than 0.8 s until all nodes knew all upstreams, with 100 ms none. */
#define CATCH_UP_INTERVAL (100 * PH_MS)

/* Time that gossip has to spread a change. Only digests that differ for longer cause a sync. */
#define GOSSIP_SPREAD_TIME PH_SECOND

/* Upper bound, in bytes, on an encoded member record or on an encoded object without its text. */
#define ROW_SIZE_MAX 512

/* A catch-up starts when this many member records wait for gossip. A gossip round carries about 15
 * records, each of which takes part in 4 rounds, so 8 records take more than a few rounds. */
#define CATCH_UP_ROWS_MIN 8

/* Time for which a catch-up goes on after fewer records wait. It is the time in which all nodes are
 * to know the last change. When a catch-up ended with the backlog, in 5 of 48 replays one or two
 * nodes missed the last registration. */
#define CATCH_UP_TAIL (800 * PH_MS)

/* Smallest fraction of the rows sent by a sync that has to differ for a catch-up to start. */
#define CATCH_UP_FRACTION_MIN 0.125

/* Syncs of a catch-up from each data centre to each other one in CATCH_UP_INTERVAL, by all of its
 * nodes together. */
#define CATCH_UP_REMOTE_SYNCS 2

/* Draws for a member in this node's data centre, or in another one. */
#define CATCH_UP_DRAWS_MAX 32

void
ph_sync_message_clear (PhSyncMessage *message)
{
  free (message->records);
  free (message->objects);
  memset (message, 0, sizeof *message);
}

static bool
can_start_sync (const PhContext *ctx, const PhMembership *ms)
{
  bool is_catching_up = ms->catch_up_since != 0;

  return ms->open_syncs < (is_catching_up ? PH_CATCH_UP_OPEN_SYNCS_MAX : 1)
         && ctx->now
                >= ms->sync_started_at + (is_catching_up ? CATCH_UP_INTERVAL : SYNC_INTERVAL_MIN);
}

void
ph_sync_start (PhContext *ctx, PhWorld *world, PhMemberId id)
{
  PhMembership *ms = &world->membership;
  const PhMember *member = ph_member_get (&world->members, id);
  PhMessage message;

  if (member == NULL || member->is_self || !can_start_sync (ctx, ms)
      || world->effects.send_message == NULL)
    return;
  ms->open_syncs++;
  ms->sync_started_at = ctx->now;
  memset (&message, 0, sizeof message);
  ph_member_init_message (world, PH_MESSAGE_SYNC, &member->record, &message);
  world->effects.send_message (world->effects.user, &message);
}

static uint32_t
copy_move_states (const PhWorld *world, PhMoveState *states)
{
  PhMoveId id = { 0 };
  uint32_t count = 0;

  while ((id = ph_move_next (&world->moves, id)).v != 0)
    states[count++] = ph_move_state (ph_move_get (&world->moves, id));
  return count;
}

/* Initialises a message of a sync, without rows. The addresses and names of *to are kept. */
static bool
begin_message (PhContext *ctx,
               PhWorld *world,
               PhMessageKind kind,
               const PhMessage *to,
               PhSyncMessage *out,
               PhError *err)
{
  memset (out, 0, sizeof *out);
  out->message = *to;
  out->message.kind = kind;
  out->records = calloc (world->members.count + 1, sizeof (void *));
  out->objects = calloc (world->objects.count + 1, sizeof *out->objects);
  if (out->records == NULL || out->objects == NULL)
    {
      ph_sync_message_clear (out);
      return ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_SYNC, NULL,
                           "out of memory for a sync message");
    }
  (void)ctx;
  out->message.record_count = 0;
  out->message.object_count = 0;
  out->message.records = out->records;
  out->message.objects = out->objects;
  out->message.sync = &out->sync;
  out->message.moves = out->moves;
  out->message.move_count = copy_move_states (world, out->moves);
  out->message.evidence = NULL;
  out->message.target[0] = '\0';
  out->message.sequence = ++world->membership.sent_sequence;
  out->message.config_revision = ph_config_newest (world);
  out->message.config_digest = ph_config_digest (world);
  return true;
}

/* Initialises a message of a sync that is sent back to the sender of a received one. */
static bool
begin_reply (PhContext *ctx,
             PhWorld *world,
             PhMessageKind kind,
             const PhMessage *from,
             PhSyncMessage *out,
             PhError *err)
{
  const PhMember *self = ph_member_get (&world->members, world->membership.self);

  if (!begin_message (ctx, world, kind, from, out, err))
    return false;
  ph_text_copy (out->message.sender, sizeof out->message.sender, self->record.name);
  out->message.sender_epoch = self->record.epoch;
  out->message.receiver_epoch = from->sender_epoch;
  return true;
}

bool
ph_sync_build_request (
    PhContext *ctx, PhWorld *world, const PhMessage *to, PhSyncMessage *out, PhError *err)
{
  if (!begin_message (ctx, world, PH_MESSAGE_SYNC, to, out, err))
    return false;
  out->message.xid = ++world->membership.last_xid;
  out->sync.has_digests = true;
  memcpy (out->sync.member_digests, world->membership.member_digests,
          sizeof world->membership.member_digests);
  memcpy (out->sync.object_digests, world->object_digests, sizeof world->object_digests);
  return true;
}

/* Mask of the buckets whose digests differ. */
static uint64_t
differing_buckets (const uint64_t *a, const uint64_t *b)
{
  uint64_t mask = 0;

  for (int i = 0; i < PH_SYNC_BUCKETS; i++)
    if (a[i] != b[i])
      mask |= (uint64_t)1 << i;
  return mask;
}

static bool
is_bucket_in_mask (uint64_t hash, uint64_t mask)
{
  return (mask >> (hash % PH_SYNC_BUCKETS) & 1) != 0;
}

/* Whether a row of this size fits in the message; adds the size to *bytes. The first row always
 * fits. */
static bool
reserve_bytes (PhSyncMessage *out, uint32_t *bytes, uint32_t size)
{
  if (*bytes != 0 && *bytes + size > PH_SYNC_BYTES_MAX)
    {
      out->sync.is_partial = true;
      return false;
    }
  *bytes += size;
  return true;
}

static void
add_object (PhSyncMessage *out, const PhObjectRow *row)
{
  out->objects[out->message.object_count++] = (PhMessageObject){ .path = row->path,
                                                                 .revision = row->revision,
                                                                 .is_deleted = row->is_deleted,
                                                                 .text = row->text,
                                                                 .size = row->text_size };
}

/* Adds the rows of the buckets that differ, objects first. The objects start at a random row, so
 * that replies that reach the size limit hold different objects each time. */
static void
add_differing_rows (PhContext *ctx, PhWorld *world, PhSyncMessage *out)
{
  uint32_t skip = ph_random_below (&ctx->random, world->objects.count);
  uint32_t bytes = 0;
  PhObjectId object = { 0 };
  PhMemberId member = { 0 };

  while (skip-- > 0)
    object = ph_object_next (&world->objects, object);
  for (uint32_t n = world->objects.count; n > 0; n--)
    {
      const PhObjectRow *row;

      object = ph_object_next (&world->objects, object);
      if (object.v == 0)
        object = ph_object_next (&world->objects, object);
      row = ph_object_get (&world->objects, object);
      if (is_bucket_in_mask (row->path_hash, out->sync.object_mask)
          && reserve_bytes (out, &bytes, ROW_SIZE_MAX + row->text_size))
        add_object (out, row);
    }
  while ((member = ph_member_next (&world->members, member)).v != 0)
    {
      const PhMember *row = ph_member_get (&world->members, member);

      if (is_bucket_in_mask (row->name_hash, out->sync.member_mask)
          && reserve_bytes (out, &bytes, ROW_SIZE_MAX))
        out->records[out->message.record_count++] = &row->record;
    }
}

/* Merges a member's record from a sync. A member that the other node holds as dead becomes
 * only suspect here, so that it can refute: the two nodes may have been in different parts of a
 * partitioned network. A dead or left member that is not known here is not added; otherwise nodes
 * would keep passing evicted records to each other. */
static void
merge_record (PhContext *ctx, PhWorld *world, const PhMemberRecord *record)
{
  const PhMember *held = ph_member_get (&world->members, ph_member_find (world, record->name));
  PhMemberRecord suspected;

  if (record->state < PH_MEMBER_DEAD)
    {
      ph_member_merge (ctx, world, record);
      return;
    }
  if (held == NULL)
    return;
  suspected = *record;
  if (record->state == PH_MEMBER_DEAD)
    suspected.state = PH_MEMBER_SUSPECT;
  ph_member_merge (ctx, world, &suspected);
}

static void
merge_rows (PhContext *ctx, PhWorld *world, const PhMessage *message)
{
  PhError err;

  for (uint32_t i = 0; i < message->object_count; i++)
    {
      const PhMessageObject *object = &message->objects[i];

      /* ph_config_apply logs a rejected object. Its other errors are ignored: the digests still
       * differ, and a later sync tries again. */
      err.code = PH_ERROR_NONE;
      ph_config_apply (ctx, world, object->path, object->revision,
                       object->is_deleted ? NULL : object->text, object->size, &err);
    }
  for (uint32_t i = 0; i < message->move_count; i++)
    ph_move_merge (ctx, world, &message->moves[i]);
  for (uint32_t i = 0; i < message->record_count; i++)
    merge_record (ctx, world, message->records[i]);
}

/* Reduces the sends of queued member records that the other node of a sync has too: those of the
 * buckets whose digests are equal. */
static void
observe_equal_buckets (PhWorld *world, uint64_t member_mask)
{
  const PhQueue *queue = &world->membership.gossip_members;

  if (!world->uses_catch_up_syncs)
    return;
  for (uint32_t i = 0; i < queue->count; i++)
    {
      PhMemberId id = { queue->handles[(queue->head + i) % queue->capacity] };
      const PhMember *member = ph_member_get (&world->members, id);

      if (member != NULL && !is_bucket_in_mask (member->name_hash, member_mask))
        ph_gossip_observe_duplicate (world, id);
    }
}

bool
ph_sync_handle_request (
    PhContext *ctx, PhWorld *world, const PhMessage *request, PhSyncMessage *out, PhError *err)
{
  if (request->sync == NULL || !ph_member_accept (ctx, world, request))
    return ph_error_set (err, PH_ERROR_AUTH, PH_STEP_SYNC, request->sender,
                         "sync request is stale, a duplicate or for another process");
  merge_rows (ctx, world, request);
  if (!begin_reply (ctx, world, PH_MESSAGE_SYNC_REPLY, request, out, err))
    return false;
  if (!request->sync->has_digests)
    return true;
  out->sync.member_mask
      = differing_buckets (world->membership.member_digests, request->sync->member_digests);
  out->sync.object_mask = differing_buckets (world->object_digests, request->sync->object_digests);
  observe_equal_buckets (world, out->sync.member_mask);
  add_differing_rows (ctx, world, out);
  return true;
}

/* Whether the other node's copy of a row that was just merged is older. Between two eras of the
 * store the newer copy is the one that this node has kept, see ph_config_apply. */
static bool
is_object_older (const PhMessageObject *object, const PhObjectRow *row)
{
  if (ph_revision_era (object->revision) != ph_revision_era (row->revision))
    return object->size <= PH_OBJECT_TEXT_MAX;
  return object->revision < row->revision;
}

/* Records in the sync_mark of each row that the reply holds how the two copies compare: twice the
 * number of the sync when the other node's is older, and one more when it is not. */
static void
record_reply_rows (PhWorld *world, const PhMessage *reply)
{
  uint32_t older = ++world->membership.sync_number * 2;

  for (uint32_t i = 0; i < reply->object_count; i++)
    {
      PhObjectRow *row = ph_config_find (world, reply->objects[i].path);

      if (row != NULL)
        row->sync_mark = older + (is_object_older (&reply->objects[i], row) ? 0 : 1);
    }
  for (uint32_t i = 0; i < reply->record_count; i++)
    {
      PhMember *row
          = ph_member_get (&world->members, ph_member_find (world, reply->records[i]->name));

      if (row != NULL)
        row->sync_mark = older + (ph_member_compare (reply->records[i], &row->record) >= 0 ? 1 : 0);
    }
}

/* Whether the other node lacks a row of a differing bucket, or has it in an older revision. A row
 * that is not in a partial reply may just have been left out of it. */
static bool
peer_lacks_row (const PhWorld *world, const PhMessage *reply, uint32_t sync_mark)
{
  uint32_t older = world->membership.sync_number * 2;

  if (sync_mark == older || sync_mark == older + 1)
    return sync_mark == older;
  return !reply->sync->is_partial;
}

/* Adds the rows of the differing buckets that the sender of the reply lacks or has older. */
static void
add_rows_peer_lacks (PhWorld *world, const PhMessage *reply, PhSyncMessage *out)
{
  PhObjectId object = { 0 };
  PhMemberId member = { 0 };
  uint32_t bytes = 0;

  record_reply_rows (world, reply);
  while ((object = ph_object_next (&world->objects, object)).v != 0)
    {
      const PhObjectRow *row = ph_object_get (&world->objects, object);

      if (is_bucket_in_mask (row->path_hash, reply->sync->object_mask)
          && peer_lacks_row (world, reply, row->sync_mark)
          && reserve_bytes (out, &bytes, ROW_SIZE_MAX + row->text_size))
        add_object (out, row);
    }
  while ((member = ph_member_next (&world->members, member)).v != 0)
    {
      const PhMember *row = ph_member_get (&world->members, member);

      if (is_bucket_in_mask (row->name_hash, reply->sync->member_mask)
          && peer_lacks_row (world, reply, row->sync_mark)
          && reserve_bytes (out, &bytes, ROW_SIZE_MAX))
        out->records[out->message.record_count++] = &row->record;
    }
}

bool
ph_sync_handle_reply (
    PhContext *ctx, PhWorld *world, const PhMessage *reply, PhSyncMessage *out, PhError *err)
{
  if (reply->sync == NULL || !ph_member_accept (ctx, world, reply))
    return ph_error_set (err, PH_ERROR_STATE, PH_STEP_SYNC, reply->sender,
                         "sync reply is stale, a duplicate or for another process");
  merge_rows (ctx, world, reply);
  /* No bucket differs in the reply to the digests of equal tables, and in that to the second
   * request, after which the other node has all rows. */
  if (reply->sync->member_mask == 0)
    observe_equal_buckets (world, 0);
  if (reply->sync->is_partial)
    world->membership.next_sync_at = ctx->now;
  if ((reply->sync->member_mask | reply->sync->object_mask) == 0)
    return false;
  if (!begin_reply (ctx, world, PH_MESSAGE_SYNC, reply, out, err))
    return false;
  add_rows_peer_lacks (world, reply, out);
  if (out->message.record_count + out->message.object_count > 0)
    return true;
  ph_sync_message_clear (out);
  return false;
}

void
ph_sync_end (PhContext *ctx, PhWorld *world, bool is_ok)
{
  PhMembership *ms = &world->membership;

  ms->open_syncs--;
  if (!is_ok && ms->catch_up_since != 0)
    ph_sync_catch_up (ctx, world);
  else if (!is_ok && ms->digests_differ_since != 0)
    ph_sync_start (ctx, world, ph_member_random (ctx, world));
  if (is_ok && !ms->is_joined)
    {
      ms->is_joined = true;
      ph_log (ctx, PH_LOG_INFO, PH_STEP_SYNC, NULL,
              "joined: first sync completed; live members: %u, objects with deleted ones: %u",
              ms->live_count, world->objects.count);
    }
}

/* Draws a random member in this node's data centre, or sometimes in another one. After
 * CATCH_UP_DRAWS_MAX draws, accepts the last one wherever it is. */
static PhMemberId
choose_catch_up_member (PhContext *ctx, PhWorld *world)
{
  const PhMember *self = ph_member_get (&world->members, world->membership.self);
  double data_centres = world->data_centres.count;
  bool is_remote = ph_random_unit (&ctx->random) < CATCH_UP_REMOTE_SYNCS * (data_centres - 1)
                                                       * data_centres
                                                       / (double)world->membership.live_count;
  PhMemberId id = { 0 };

  for (int i = 0; i < CATCH_UP_DRAWS_MAX; i++)
    {
      const PhMember *member;

      id = ph_member_random (ctx, world);
      member = ph_member_get (&world->members, id);
      if (member == NULL
          || (strcmp (member->record.data_centre, self->record.data_centre) != 0) == is_remote)
        break;
    }
  return id;
}

/* A sync sends the rows of all buckets that differ, and this many records are in at most as many
 * buckets. */
static bool
is_catch_up_useful (const PhMembership *ms, uint32_t backlog)
{
  uint32_t differing = backlog > PH_SYNC_BUCKETS ? backlog : PH_SYNC_BUCKETS;

  return backlog >= CATCH_UP_ROWS_MIN && differing >= ms->live_count * CATCH_UP_FRACTION_MIN;
}

void
ph_sync_catch_up (PhContext *ctx, PhWorld *world)
{
  PhMembership *ms = &world->membership;
  uint32_t backlog;

  if (!world->uses_catch_up_syncs)
    {
      ms->catch_up_since = 0;
      return;
    }
  backlog = ph_gossip_backlog (world);
  if (is_catch_up_useful (ms, backlog))
    ms->catch_up_ends_at = ctx->now + CATCH_UP_TAIL;
  if (ctx->now >= ms->catch_up_ends_at)
    {
      if (ms->catch_up_since != 0)
        ph_log (ctx, PH_LOG_INFO, PH_STEP_SYNC, NULL,
                "catch-up ended after %lld ms: syncs started: %u, live members: %u",
                (long long)((ctx->now - ms->catch_up_since) / PH_MS), ms->catch_up_syncs,
                ms->live_count);
      ms->catch_up_since = 0;
      return;
    }
  if (ms->catch_up_since == 0)
    {
      ms->catch_up_since = ctx->now;
      ms->catch_up_syncs = 0;
      ph_log (ctx, PH_LOG_INFO, PH_STEP_SYNC, NULL,
              "catch-up by syncs: member records that wait for gossip: %u, live members: %u",
              backlog, ms->live_count);
    }
  if (!can_start_sync (ctx, ms))
    return;
  ms->catch_up_syncs++;
  ph_count (ctx, PH_COUNT_CATCH_UP_SYNCS, 1);
  ph_sync_start (ctx, world, choose_catch_up_member (ctx, world));
}

void
ph_sync_compare (PhContext *ctx, PhWorld *world, const PhMessage *message, PhMemberId sender)
{
  PhMembership *ms = &world->membership;
  bool differs = message->config_digest != ph_config_digest (world);
  bool is_behind;

  /* A new era alone starts no sync: the sender may not have read the store either. */
  ph_config_learn_era (ctx, world, ph_revision_era (message->config_revision));
  is_behind = message->config_revision > ph_config_newest (world);
  /* The time counts from the first digest that differs, so that further changes, which may go on
   * for long, do not postpone the sync. */
  if (!differs)
    ms->digests_differ_since = 0;
  else if (ms->digests_differ_since == 0)
    ms->digests_differ_since = ctx->now;
  if (is_behind || (differs && ctx->now > ms->digests_differ_since + GOSSIP_SPREAD_TIME))
    ph_sync_start (ctx, world, sender);
}
