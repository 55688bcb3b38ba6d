#include "pollenhitch/gossip.h"

#include <string.h>

#include "pollenhitch/load_view.h"
#include "pollenhitch/sync.h"
#include "pollenhitch/world.h"

#define ROUND_FANOUT 3 /* pushes in each round */

/* Minimum time between two rounds. The number of nodes that have a change grows up to fourfold in
 * each round, so six rounds, the first of them at once, can reach 3,200 nodes in 0.5 s. */
#define ROUND_INTERVAL_MIN (100 * PH_MS)

/* Sends of a row in rounds: 4 rounds of ROUND_FANOUT. With 10% packet loss a node misses all pushes
 * of a change with a probability of about exp (-12 * 0.9) = 0.002%; it then gets the change by
 * pings or by a sync. */
#define ROUND_SENDS 12

/* During a catch-up, rows with more sends in rounds left than this come first: most other nodes
 * have the older ones by syncs already. */
#define CATCH_UP_OLD_SENDS (ROUND_SENDS / 2)

/* Sends in rounds by which a row's remaining sends are reduced when another node sends the same
 * record: one round. Without this reduction, 20 joins in 20 s cost each of 100 nodes 5.7 KB/s. */
#define DUPLICATE_SENDS ROUND_FANOUT

/* Sends of a row from one data centre to each other one, by all of its nodes together. Traffic
 * between data centres costs most: with targets drawn from all members, two thirds of the pushes of
 * a fleet in three data centres went between data centres. With 25% packet loss a data centre
 * misses all of these sends with a probability of exp (-8 * 0.75) = 0.2%; it then gets the change
 * by pings or by a sync. */
#define REMOTE_SENDS 8

/* Draws for a target in this node's data centre, or in another one, whichever a push is meant for.
 * With 7 data centres, 1 in 140 pushes meant for this data centre still goes to another. */
#define TARGET_DRAWS_MAX 32

/* Bounds on encoded sizes: the fixed fields of each kind of row, and what a string needs besides
 * its text. */
#define RECORD_FIXED_BYTES 48
#define OBJECT_FIXED_BYTES 16
#define MOVE_FIXED_BYTES 32
#define EVIDENCE_FIXED_BYTES (28 + PH_MOVE_ROUTE_BUCKETS * sizeof (PhMoveCounts))
#define STRING_OVERHEAD_BYTES 7 /* length and padding */

/* The fixed fields of a member's upstream are its epoch, state, slots and connections: 20 bytes. */
static uint32_t
record_size_max (const PhMemberRecord *record)
{
  uint32_t upstream = record->has_upstream
                          ? (uint32_t)(strlen (record->service) + strlen (record->version)
                                       + (size_t)(2 * STRING_OVERHEAD_BYTES + 20))
                          : 0;

  return RECORD_FIXED_BYTES + upstream
         + (uint32_t)(strlen (record->name) + strlen (record->address)
                      + strlen (record->data_centre) + strlen (record->region)
                      + (size_t)(4 * STRING_OVERHEAD_BYTES));
}

static uint32_t
object_size_max (const PhObjectRow *row)
{
  return OBJECT_FIXED_BYTES + (uint32_t)strlen (row->path) + row->text_size
         + 2 * STRING_OVERHEAD_BYTES;
}

/* Sends of a row that are piggybacked on other messages after its sends in rounds: log2 of the
 * number of live members, rounded up, from 1 to 16. */
static uint32_t
piggyback_sends (const PhWorld *world)
{
  uint32_t sends = 1;

  while ((1u << sends) < world->membership.live_count && sends < 16)
    sends++;
  return sends;
}

/* Schedules the next round, unless one is scheduled or no other member is live. */
static void
schedule_round (PhContext *ctx, PhWorld *world)
{
  PhMembership *ms = &world->membership;
  PhTime earliest = ms->last_round_at + ROUND_INTERVAL_MIN;

  if (ms->next_round_at != PH_TIME_NEVER || ms->live_count < 2)
    return;
  ms->next_round_at = earliest > ctx->now ? earliest : ctx->now;
  ph_timer_add (&world->timers, ms->next_round_at, PH_TIMER_GOSSIP, 0);
}

/* Queues a row for the next round, and sets its sends to the full number. */
static void
queue_row (PhContext *ctx,
           PhWorld *world,
           PhQueue *queue,
           uint32_t handle,
           uint32_t *sends_left,
           bool *is_queued)
{
  *sends_left = ROUND_SENDS + piggyback_sends (world);
  if (!*is_queued)
    *is_queued = ph_queue_push (queue, handle);
  schedule_round (ctx, world);
}

void
ph_gossip_queue_member (PhContext *ctx, PhWorld *world, PhMemberId id)
{
  PhMember *member = ph_member_get (&world->members, id);

  queue_row (ctx, world, &world->membership.gossip_members, id.v, &member->sends_left,
             &member->is_gossip_queued);
}

void
ph_gossip_observe_duplicate (PhWorld *world, PhMemberId id)
{
  PhMember *member = ph_member_get (&world->members, id);
  uint32_t piggyback = piggyback_sends (world);

  if (member->sends_left > piggyback)
    member->sends_left = member->sends_left > piggyback + DUPLICATE_SENDS
                             ? member->sends_left - DUPLICATE_SENDS
                             : piggyback;
}

void
ph_gossip_queue_object (PhContext *ctx, PhWorld *world, PhObjectId id)
{
  PhObjectRow *row = ph_object_get (&world->objects, id);

  queue_row (ctx, world, &world->membership.gossip_objects, id.v, &row->sends_left,
             &row->is_gossip_queued);
}

void
ph_gossip_queue_move (PhContext *ctx, PhWorld *world, PhMoveId id)
{
  PhMove *move = ph_move_get (&world->moves, id);

  queue_row (ctx, world, &world->membership.gossip_moves, id.v, &move->sends_left,
             &move->is_gossip_queued);
}

void
ph_gossip_send_evidence (PhContext *ctx,
                         PhWorld *world,
                         const PhMemberRecord *to,
                         const PhMove *move,
                         const PhEvidence *own)
{
  PhMoveEvidence evidence = { .path = move->path,
                              .revision = move->revision,
                              .is_new_version = own->is_new_version,
                              .started_calls = own->started_calls };
  PhGossipMessage out;

  memcpy (evidence.route_counts, own->route_counts, sizeof evidence.route_counts);
  ph_gossip_begin (world, PH_MESSAGE_PUSH, to, &out);
  out.message.evidence = &evidence;
  out.size += EVIDENCE_FIXED_BYTES + (uint32_t)strlen (move->path);
  ph_gossip_send (ctx, world, &out);
}

void
ph_gossip_begin (PhWorld *world, PhMessageKind kind, const PhMemberRecord *to, PhGossipMessage *out)
{
  memset (out, 0, sizeof *out);
  out->message.records = out->records;
  out->message.objects = out->objects;
  out->message.moves = out->moves;
  out->size = PH_DATAGRAM_HEADER_SIZE;
  out->size_limit = PH_DATAGRAM_MAX;
  ph_member_init_message (world, kind, to, &out->message);
}

void
ph_gossip_pad (PhGossipMessage *out, const PhMemberRecord *record)
{
  uint32_t bytes = record_size_max (record);

  while (out->message.record_count < PH_MESSAGE_RECORDS_MAX && out->size + bytes <= out->size_limit)
    {
      out->records[out->message.record_count++] = record;
      out->size += bytes;
    }
}

static bool
has_record (const PhGossipMessage *out, const PhMemberRecord *record)
{
  for (uint32_t i = 0; i < out->message.record_count; i++)
    if (out->records[i] == record)
      return true;
  return false;
}

bool
ph_gossip_add (PhGossipMessage *out, const PhMemberRecord *record)
{
  uint32_t bytes = record_size_max (record);

  if (out->message.record_count == PH_MESSAGE_RECORDS_MAX || out->size + bytes > out->size_limit)
    return false;
  if (has_record (out, record))
    return true;
  out->records[out->message.record_count++] = record;
  out->size += bytes;
  return true;
}

/* Adds queued rows with more than min_sends sends left to the message, each of which stays queued
 * while it has sends left. Stops at the first row that does not fit. fill_objects and fill_moves do
 * the same for all queued rows. */
static void
fill_members (PhWorld *world, PhGossipMessage *out, uint32_t min_sends)
{
  PhQueue *queue = &world->membership.gossip_members;
  bool is_catching_up = world->membership.catch_up_since != 0;

  for (uint32_t n = queue->count; n > 0; n--)
    {
      PhMemberId id = { ph_queue_pop (queue) };
      PhMember *member = ph_member_get (&world->members, id);

      if (member == NULL)
        continue;
      if (member->sends_left <= min_sends || (is_catching_up && has_record (out, &member->record)))
        {
          ph_queue_push (queue, id.v);
          continue;
        }
      if (!ph_gossip_add (out, &member->record))
        {
          ph_queue_push (queue, id.v);
          return;
        }
      if (--member->sends_left > 0)
        ph_queue_push (queue, id.v);
      else
        member->is_gossip_queued = false;
    }
}

/* Adds an object. One that is too large for any datagram is added without its text; a receiver that
 * lacks the revision gets it by a sync. */
static bool
add_object (PhGossipMessage *out, const PhObjectRow *row)
{
  uint32_t bytes = object_size_max (row);
  bool is_text_omitted = bytes > PH_DATAGRAM_MAX - PH_DATAGRAM_HEADER_SIZE;

  if (is_text_omitted)
    bytes -= row->text_size;
  if (out->message.object_count == PH_MESSAGE_OBJECTS_MAX || out->size + bytes > out->size_limit)
    return false;
  out->objects[out->message.object_count++]
      = (PhMessageObject){ .path = row->path,
                           .revision = row->revision,
                           .is_deleted = row->is_deleted,
                           .text = is_text_omitted ? "" : row->text,
                           .size = is_text_omitted ? 0 : row->text_size,
                           .is_text_omitted = is_text_omitted };
  out->size += bytes;
  return true;
}

static void
fill_objects (PhWorld *world, PhGossipMessage *out)
{
  PhQueue *queue = &world->membership.gossip_objects;

  for (uint32_t n = queue->count; n > 0; n--)
    {
      PhObjectId id = { ph_queue_pop (queue) };
      PhObjectRow *row = ph_object_get (&world->objects, id);

      if (row == NULL)
        continue;
      if (!add_object (out, row))
        {
          ph_queue_push (queue, id.v);
          return;
        }
      if (--row->sends_left > 0)
        ph_queue_push (queue, id.v);
      else
        row->is_gossip_queued = false;
    }
}

static void
fill_moves (PhWorld *world, PhGossipMessage *out)
{
  PhQueue *queue = &world->membership.gossip_moves;

  for (uint32_t n = queue->count; n > 0; n--)
    {
      PhMoveId id = { ph_queue_pop (queue) };
      PhMove *move = ph_move_get (&world->moves, id);
      uint32_t bytes;

      if (move == NULL)
        continue;
      bytes = MOVE_FIXED_BYTES + (uint32_t)strlen (move->path);
      if (out->message.move_count == PH_DATAGRAM_MOVES_MAX || out->size + bytes > out->size_limit)
        {
          ph_queue_push (queue, id.v);
          return;
        }
      out->moves[out->message.move_count++] = ph_move_state (move);
      out->size += bytes;
      if (--move->sends_left > 0)
        ph_queue_push (queue, id.v);
      else
        move->is_gossip_queued = false;
    }
}

void
ph_gossip_send (PhContext *ctx, PhWorld *world, PhGossipMessage *out)
{
  fill_moves (world, out);
  fill_objects (world, out);
  if (world->membership.catch_up_since != 0)
    fill_members (world, out, piggyback_sends (world) + CATCH_UP_OLD_SENDS);
  fill_members (world, out, 0);
  ph_load_view_fill (ctx, world, out);
  out->message.sequence = ++world->membership.sent_sequence;
  if (world->effects.send_message != NULL)
    world->effects.send_message (world->effects.user, &out->message);
}

uint32_t
ph_gossip_backlog (const PhWorld *world)
{
  const PhQueue *members = &world->membership.gossip_members;
  uint32_t piggyback = piggyback_sends (world);
  uint32_t count = 0;

  for (uint32_t i = 0; i < members->count; i++)
    {
      PhMemberId id = { members->handles[(members->head + i) % members->capacity] };
      const PhMember *member = ph_member_get (&world->members, id);

      count += member != NULL && member->sends_left > piggyback ? 1 : 0;
    }
  return count;
}

/* Whether a queued row has sends in rounds left, not only piggybacked ones. */
static bool
has_rows_to_push (const PhWorld *world)
{
  const PhQueue *members = &world->membership.gossip_members;
  const PhQueue *objects = &world->membership.gossip_objects;
  const PhQueue *moves = &world->membership.gossip_moves;
  uint32_t piggyback = piggyback_sends (world);

  for (uint32_t i = 0; i < moves->count; i++)
    {
      PhMoveId id = { moves->handles[(moves->head + i) % moves->capacity] };
      const PhMove *move = ph_move_get (&world->moves, id);

      if (move != NULL && move->sends_left > piggyback)
        return true;
    }
  for (uint32_t i = 0; i < objects->count; i++)
    {
      PhObjectId id = { objects->handles[(objects->head + i) % objects->capacity] };
      const PhObjectRow *row = ph_object_get (&world->objects, id);

      if (row != NULL && row->sends_left > piggyback)
        return true;
    }
  for (uint32_t i = 0; i < members->count; i++)
    {
      PhMemberId id = { members->handles[(members->head + i) % members->capacity] };
      const PhMember *member = ph_member_get (&world->members, id);

      if (member != NULL && member->sends_left > piggyback)
        return true;
    }
  return false;
}

/* Fraction of the pushes that go to other data centres, so that REMOTE_SENDS of each row are sent
 * to each of them. Assumes about the same number of live members in each data centre. */
static double
remote_fraction (const PhWorld *world)
{
  double data_centres = world->data_centres.count;

  return REMOTE_SENDS * (data_centres - 1) * data_centres
         / (ROUND_SENDS * (double)world->membership.live_count);
}

/* Draws a random target for a push, in this node's data centre or in another. After
 * TARGET_DRAWS_MAX draws, accepts the last one wherever it is. */
static PhMemberId
choose_push_target (PhContext *ctx, PhWorld *world)
{
  const PhMember *self = ph_member_get (&world->members, world->membership.self);
  bool is_remote = ph_random_unit (&ctx->random) < remote_fraction (world);
  PhMemberId id = { 0 };

  for (int i = 0; i < TARGET_DRAWS_MAX; i++)
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

void
ph_gossip_timer (PhContext *ctx, PhWorld *world, uint32_t handle)
{
  PhMembership *ms = &world->membership;
  PhGossipMessage out;

  (void)handle;
  ms->next_round_at = PH_TIME_NEVER;
  ph_sync_catch_up (ctx, world);
  if (ms->catch_up_since != 0)
    ms->last_round_at = ctx->now;
  for (int i = 0; i < ROUND_FANOUT && has_rows_to_push (world); i++)
    {
      PhMember *to = ph_member_get (&world->members, choose_push_target (ctx, world));

      if (to == NULL)
        return;
      ms->last_round_at = ctx->now;
      ph_gossip_begin (world, PH_MESSAGE_PUSH, &to->record, &out);
      ph_gossip_send (ctx, world, &out);
    }
  /* Rounds without rows go on until they end the catch-up. */
  if (has_rows_to_push (world) || ms->catch_up_since != 0)
    schedule_round (ctx, world);
}
