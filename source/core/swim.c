#include "core/swim.h"

#include <math.h>
#include <string.h>

#include "pollenhitch/gossip.h"
#include "pollenhitch/sync.h"

#define PROTOCOL_PERIOD PH_SECOND /* one member is probed in each period */
#define INDIRECT_PROBE_COUNT 3    /* ping requests for a target that has not acknowledged */

/* A probe times out after four smoothed round-trip times, kept within these bounds and multiplied
 * by one more than the local health score. */
#define PROBE_TIMEOUT_MIN (100 * PH_MS)
#define PROBE_TIMEOUT_MAX (400 * PH_MS)

/* Timeout of a ping on behalf of another member. */
#define RELAY_TIMEOUT (300 * PH_MS)

/* Suspicion timeouts of Lifeguard. The shortest is SUSPICION_MIN_PERIODS protocol periods times
 * log10 of the number of members; the longest is SUSPICION_MAX_MULTIPLIER times the shortest. */
#define SUSPICION_MIN_PERIODS 3.0
#define SUSPICION_MAX_MULTIPLIER 3.0

/* Maximum of the local health score: 0 is healthy, and a higher score makes the node wait longer.
 */
#define LOCAL_HEALTH_SCORE_MAX 8

/* When a timer runs later than this, the event loop was paused: the node may have missed messages,
 * so it does not act on the absence of acknowledgements and refutations. */
#define LOOP_PAUSE_MIN (1 * PH_SECOND)

#define DEAD_PROBE_INTERVAL (10 * PH_SECOND)  /* between pings to dead members */
#define DEAD_RETENTION (6 * 3600 * PH_SECOND) /* for which dead and left members are kept */
#define SYNC_INTERVAL (30 * PH_SECOND)        /* between periodic syncs */
#define HELLO_REPLY_RECORDS 4                 /* records of other members in the reply to a hello */

/* Hellos of a node that knows no other member, with --catch-up-syncs. Nodes that start together
 * send their first hellos to seeds that do not run yet, and without these repetitions the next ones
 * at the end of a protocol period. */
#define HELLO_INTERVAL (200 * PH_MS)
#define HELLOS_MAX 25

/* Rate limit for hellos, and for replies larger than the message that they answer, that are sent
 * because of a message of an unknown or stale process. Such a message can be replayed with a
 * spoofed source address and is smaller than what is sent, so without a limit the node could be
 * used to amplify traffic to that address. */
#define HELLOS_PER_SECOND_MAX 16

/* A random time from half of the interval to one and a half times the interval. */
static PhTime
with_jitter (PhContext *ctx, PhTime interval)
{
  return interval / 2 + ph_random_below (&ctx->random, (uint32_t)interval);
}

/* Whether a member is alive or suspect. */
static bool
is_live (const PhMember *member)
{
  return member->record.state < PH_MEMBER_DEAD;
}

static PhTime
suspicion_timeout_min (const PhWorld *world)
{
  double scale = log10 ((double)world->membership.live_count);

  return (PhTime)(SUSPICION_MIN_PERIODS * (scale > 1 ? scale : 1) * (double)PROTOCOL_PERIOD);
}

/* The timeout falls with the logarithm of the number of independent suspicions, from the longest
 * for one to the shortest for PH_SUSPICIONS_MAX. */
static PhTime
suspicion_timeout (const PhWorld *world, uint32_t suspicion_count)
{
  double shortest = (double)suspicion_timeout_min (world);
  double longest = shortest * SUSPICION_MAX_MULTIPLIER;
  double fraction
      = log ((double)(suspicion_count > 1 ? suspicion_count : 1)) / log ((double)PH_SUSPICIONS_MAX);

  return (PhTime)(longest - (longest - shortest) * fraction);
}

static PhTime
probe_timeout (const PhMembership *ms)
{
  PhTime time = ms->smoothed_rtt * 4;

  time = time < PROBE_TIMEOUT_MIN ? PROBE_TIMEOUT_MIN : time;
  time = time > PROBE_TIMEOUT_MAX ? PROBE_TIMEOUT_MAX : time;
  return time * (1 + ms->local_health_score);
}

static void
raise_local_health_score (PhMembership *ms, uint32_t by)
{
  ms->local_health_score = ms->local_health_score + by > LOCAL_HEALTH_SCORE_MAX
                               ? LOCAL_HEALTH_SCORE_MAX
                               : ms->local_health_score + by;
}

void
ph_swim_handle_self_suspicion (PhWorld *world)
{
  raise_local_health_score (&world->membership, 1);
}

/* Starts the first protocol period, once. */
static void
start_period_timer (PhContext *ctx, PhWorld *world)
{
  PhMembership *ms = &world->membership;

  if (ms->period_ends_at != 0)
    return;
  ms->period_ends_at = ctx->now + with_jitter (ctx, PROTOCOL_PERIOD);
  ph_timer_add (&world->timers, ms->period_ends_at, PH_TIMER_MEMBERSHIP_PERIOD, 0);
  ph_timer_add (&world->timers, ctx->now + HELLO_INTERVAL, PH_TIMER_HELLO, 1);
}

/* Inserts a member at a random position among those that this pass has not probed yet. */
static void
insert_in_probe_order (PhContext *ctx, PhWorld *world, PhMemberId id)
{
  PhMembership *ms = &world->membership;
  uint32_t position;

  if (ms->probe_order_count == world->members.capacity)
    return;
  position = ms->probe_order_index
             + ph_random_below (&ctx->random, ms->probe_order_count - ms->probe_order_index + 1);
  ms->probe_order[ms->probe_order_count++] = ms->probe_order[position];
  ms->probe_order[position] = id.v;
}

static void
shuffle_probe_order (PhContext *ctx, PhWorld *world)
{
  PhMembership *ms = &world->membership;
  PhMemberId id = { 0 };

  ms->probe_order_count = ms->probe_order_index = 0;
  while ((id = ph_member_next (&world->members, id)).v != 0)
    {
      const PhMember *member = ph_member_get (&world->members, id);

      if (is_live (member) && !member->is_self)
        insert_in_probe_order (ctx, world, id);
    }
}

static bool
can_probe (const PhWorld *world, PhMemberId id)
{
  const PhMember *member = ph_member_get (&world->members, id);

  return member != NULL && is_live (member) && !member->is_self;
}

/* The next member in the probe order that can be probed. Shuffles the order at the end of a pass.
 */
static PhMemberId
next_probe_target (PhContext *ctx, PhWorld *world)
{
  PhMembership *ms = &world->membership;

  for (int pass = 0; pass < 2; pass++)
    {
      while (ms->probe_order_index < ms->probe_order_count)
        {
          PhMemberId id = { ms->probe_order[ms->probe_order_index++] };

          if (can_probe (world, id))
            return id;
        }
      shuffle_probe_order (ctx, world);
    }
  return (PhMemberId){ 0 };
}

PhMemberId
ph_member_random (PhContext *ctx, PhWorld *world)
{
  PhMembership *ms = &world->membership;
  uint32_t start;

  if (ms->probe_order_count == 0)
    shuffle_probe_order (ctx, world);
  start = ph_random_below (&ctx->random, ms->probe_order_count);
  for (uint32_t i = 0; i < ms->probe_order_count; i++)
    {
      PhMemberId id = { ms->probe_order[(start + i) % ms->probe_order_count] };

      if (can_probe (world, id))
        return id;
    }
  return (PhMemberId){ 0 };
}

/* Sets the end of a suspicion from its start and the number of independent suspicions. */
static void
schedule_suspicion_end (PhContext *ctx, PhWorld *world, PhMemberId id)
{
  PhMember *member = ph_member_get (&world->members, id);

  member->suspect_until
      = member->suspect_since + suspicion_timeout (world, member->suspicion_count);
  if (member->suspect_until < ctx->now)
    member->suspect_until = ctx->now;
  ph_timer_add (&world->timers, member->suspect_until, PH_TIMER_SUSPICION, id.v);
}

void
ph_swim_handle_state_change (PhContext *ctx, PhWorld *world, PhMemberId id, bool was_live)
{
  PhMember *member = ph_member_get (&world->members, id);

  if (is_live (member) && !was_live)
    {
      insert_in_probe_order (ctx, world, id);
      start_period_timer (ctx, world);
    }
  if (member->record.state != PH_MEMBER_SUSPECT)
    return;
  member->suspect_since = ctx->now;
  member->suspicion_sources[0] = member->record.suspected_by;
  member->suspicion_count = 1;
  schedule_suspicion_end (ctx, world, id);
}

void
ph_swim_confirm_suspicion (PhContext *ctx,
                           PhWorld *world,
                           PhMemberId id,
                           const PhMemberRecord *record)
{
  PhMember *member = ph_member_get (&world->members, id);

  if (member->record.state != PH_MEMBER_SUSPECT || record->state != PH_MEMBER_SUSPECT
      || ph_member_compare (record, &member->record) != 0
      || member->suspicion_count == PH_SUSPICIONS_MAX)
    return;
  for (uint32_t i = 0; i < member->suspicion_count; i++)
    if (member->suspicion_sources[i] == record->suspected_by)
      return;
  member->suspicion_sources[member->suspicion_count++] = record->suspected_by;
  member->record.suspected_by = record->suspected_by;
  schedule_suspicion_end (ctx, world, id);
  ph_gossip_queue_member (ctx, world, id);
}

static void
suspect_member (PhContext *ctx, PhWorld *world, PhMemberId id)
{
  const PhMember *self = ph_member_get (&world->members, world->membership.self);
  PhMemberRecord record = ph_member_get (&world->members, id)->record;

  record.state = PH_MEMBER_SUSPECT;
  record.suspected_by = (uint32_t)self->name_hash;
  ph_member_merge (ctx, world, &record);
}

void
ph_member_suspicion_timer (PhContext *ctx, PhWorld *world, uint32_t handle)
{
  PhMemberId id = { handle };
  PhMember *member = ph_member_get (&world->members, id);
  PhMemberRecord record;

  if (member == NULL || member->record.state != PH_MEMBER_SUSPECT
      || ctx->now < member->suspect_until)
    return;
  if (ctx->now > member->suspect_until + LOOP_PAUSE_MIN)
    {
      /* The event loop was paused, so this node may have missed a refutation. */
      member->suspect_until = ctx->now + suspicion_timeout_min (world);
      ph_timer_add (&world->timers, member->suspect_until, PH_TIMER_SUSPICION, id.v);
      return;
    }
  record = member->record;
  record.state = PH_MEMBER_DEAD;
  ph_member_merge (ctx, world, &record);
}

static uint32_t
next_xid (PhMembership *ms)
{
  ms->last_xid++;
  return ms->last_xid != 0 ? ms->last_xid : ++ms->last_xid;
}

/* Sends a hello, a ping whose reply holds the record of the process at the address. That reply is
 * no larger than the ping, so the ping is padded. */
static void
send_hello (PhContext *ctx, PhWorld *world, const char *address, uint16_t port)
{
  const PhMember *self = ph_member_get (&world->members, world->membership.self);
  PhMemberRecord to = { .control_port = port };
  PhGossipMessage out;

  ph_text_copy (to.address, sizeof to.address, address);
  ph_gossip_begin (world, PH_MESSAGE_PING, &to, &out);
  ph_gossip_pad (&out, &self->record);
  out.message.xid = next_xid (&world->membership);
  out.message.sequence = ++world->membership.sent_sequence;
  (void)ctx;
  if (world->effects.send_message != NULL)
    world->effects.send_message (world->effects.user, &out.message);
}

void
ph_member_add_seed (PhContext *ctx, PhWorld *world, const char *address, uint16_t control_port)
{
  PhMembership *ms = &world->membership;
  const PhMember *self = ph_member_get (&world->members, ms->self);
  uint32_t index = 0;

  if (strcmp (address, self->record.address) == 0 && control_port == self->record.control_port)
    return;
  while (
      index < ms->seed_count
      && (ms->seeds[index].port != control_port || strcmp (ms->seeds[index].address, address) != 0))
    index++;
  if (index == PH_SEEDS_MAX)
    index = ph_random_below (&ctx->random, PH_SEEDS_MAX);
  if (!ph_text_copy (ms->seeds[index].address, sizeof ms->seeds[index].address, address))
    return;
  ms->seeds[index].port = control_port;
  if (index == ms->seed_count)
    ms->seed_count++;
  start_period_timer (ctx, world);
  send_hello (ctx, world, address, control_port);
}

/* Initialises a message to the sender of another, with the same xid. */
static void
begin_reply (PhWorld *world, PhMessageKind kind, const PhMessage *message, PhGossipMessage *out)
{
  PhMemberRecord to = { .epoch = message->sender_epoch, .control_port = message->port };

  ph_text_copy (to.address, sizeof to.address, message->address);
  ph_gossip_begin (world, kind, &to, out);
  out->message.xid = message->xid;
}

/* Adds this node's record and a few other members' to the reply to a hello. With the others, nodes
 * that start at the same time do not all sync with the same seed. */
static void
add_bootstrap_records (PhContext *ctx, PhWorld *world, PhGossipMessage *out)
{
  const PhMember *self = ph_member_get (&world->members, world->membership.self);

  ph_gossip_add (out, &self->record);
  for (int i = 0; i < HELLO_REPLY_RECORDS; i++)
    {
      const PhMember *other = ph_member_get (&world->members, ph_member_random (ctx, world));

      if (other != NULL)
        ph_gossip_add (out, &other->record);
    }
}

void
ph_swim_acknowledge (PhContext *ctx, PhWorld *world, const PhMessage *message, PhMemberId sender)
{
  const PhMember *member = ph_member_get (&world->members, sender);
  PhGossipMessage out;

  begin_reply (world, PH_MESSAGE_ACK, message, &out);
  if (sender.v == 0)
    out.size_limit
        = message->datagram_size < out.size_limit ? message->datagram_size : out.size_limit;
  if (message->receiver_epoch == 0)
    add_bootstrap_records (ctx, world, &out);
  /* A member that is held as suspect or dead here gets that record at once, so that it can refute
   * it. */
  if (member != NULL && member->record.state != PH_MEMBER_ALIVE)
    ph_gossip_add (&out, &member->record);
  ph_gossip_send (ctx, world, &out);
}

/* Whether HELLOS_PER_SECOND_MAX allows one more message; counts it. */
static bool
allow_hello (const PhContext *ctx, PhMembership *ms)
{
  if (ctx->now >= ms->hello_window_ends_at)
    {
      ms->hello_window_ends_at = ctx->now + PH_SECOND;
      ms->hello_count = 0;
    }
  return ms->hello_count++ < HELLOS_PER_SECOND_MAX;
}

void
ph_swim_handle_unknown_sender (PhContext *ctx, PhWorld *world, const PhMessage *message)
{
  if (message->kind == PH_MESSAGE_PING)
    ph_swim_acknowledge (ctx, world, message, (PhMemberId){ 0 });
  if (allow_hello (ctx, &world->membership))
    send_hello (ctx, world, message->address, message->port);
}

void
ph_swim_handle_stale_target (PhContext *ctx, PhWorld *world, const PhMessage *message)
{
  if (allow_hello (ctx, &world->membership))
    send_hello (ctx, world, message->address, message->port);
}

void
ph_swim_handle_stale_sender (PhContext *ctx,
                             PhWorld *world,
                             const PhMessage *message,
                             PhMemberId held)
{
  const PhMember *member = ph_member_get (&world->members, held);
  const PhMember *self = ph_member_get (&world->members, world->membership.self);
  PhGossipMessage out;

  begin_reply (world, PH_MESSAGE_ACK, message, &out);
  if (message->receiver_epoch == 0 || !allow_hello (ctx, &world->membership))
    out.size_limit
        = message->datagram_size < out.size_limit ? message->datagram_size : out.size_limit;
  ph_gossip_add (&out, &self->record);
  ph_gossip_add (&out, &member->record);
  ph_gossip_send (ctx, world, &out);
}

/* Pings the target of a ping request. Does nothing when the target is not known here under the same
 * epoch, or when PH_RELAYS_MAX pings are in progress. */
static void
relay_ping (PhContext *ctx, PhWorld *world, const PhMessage *message, PhMemberId sender)
{
  PhMembership *ms = &world->membership;
  PhMemberId target = ph_member_find (world, message->target);
  const PhMember *member = ph_member_get (&world->members, target);
  PhGossipMessage out;

  if (member == NULL || member->record.epoch != message->target_epoch)
    return;
  for (int i = 0; i < PH_RELAYS_MAX; i++)
    {
      PhRelay *relay = &ms->relays[i];

      if (relay->xid != 0)
        continue;
      *relay = (PhRelay){ .xid = next_xid (ms),
                          .requester_xid = message->xid,
                          .requester = sender,
                          .target = target,
                          .expires_at = ctx->now + RELAY_TIMEOUT };
      ph_timer_add (&world->timers, relay->expires_at, PH_TIMER_MEMBER_PROBE, relay->xid);
      ph_gossip_begin (world, PH_MESSAGE_PING, &member->record, &out);
      out.message.xid = relay->xid;
      ph_gossip_send (ctx, world, &out);
      return;
    }
}

static PhRelay *
find_relay (PhMembership *ms, uint32_t xid)
{
  for (int i = 0; i < PH_RELAYS_MAX && xid != 0; i++)
    if (ms->relays[i].xid == xid)
      return &ms->relays[i];
  return NULL;
}

/* Reports to the requester of an indirect probe whether the target acknowledged it (kind is ACK or
 * NACK), and frees the entry. */
static void
finish_relay (PhContext *ctx, PhWorld *world, PhRelay *relay, PhMessageKind kind)
{
  const PhMember *requester = ph_member_get (&world->members, relay->requester);
  const PhMember *target = ph_member_get (&world->members, relay->target);
  PhGossipMessage out;

  if (requester != NULL && target != NULL)
    {
      ph_gossip_begin (world, kind, &requester->record, &out);
      out.message.xid = relay->requester_xid;
      ph_text_copy (out.message.target, sizeof out.message.target, target->record.name);
      out.message.target_epoch = target->record.epoch;
      ph_gossip_send (ctx, world, &out);
    }
  memset (relay, 0, sizeof *relay);
}

static void
handle_ack (PhContext *ctx, PhWorld *world, const PhMessage *message, PhMemberId sender)
{
  PhMembership *ms = &world->membership;
  PhRelay *relay = find_relay (ms, message->xid);
  bool is_indirect = message->target[0] != '\0';
  PhMemberId target = is_indirect ? ph_member_find (world, message->target) : sender;
  uint64_t epoch = is_indirect ? message->target_epoch : message->sender_epoch;

  if (relay != NULL && relay->target.v == sender.v)
    finish_relay (ctx, world, relay, PH_MESSAGE_ACK);
  if (message->xid != ms->probe_xid || ms->is_probe_acked || target.v != ms->probe_target.v
      || epoch != ms->probe_target_epoch)
    return;
  ms->is_probe_acked = true;
  if (ms->local_health_score > 0)
    ms->local_health_score--;
  if (!is_indirect)
    ms->smoothed_rtt = (ms->smoothed_rtt * 7 + (ctx->now - ms->probe_sent_at)) / 8;
}

void
ph_swim_receive (PhContext *ctx, PhWorld *world, const PhMessage *message, PhMemberId sender)
{
  PhMembership *ms = &world->membership;

  switch (message->kind)
    {
    case PH_MESSAGE_PING:
      ph_swim_acknowledge (ctx, world, message, sender);
      break;
    case PH_MESSAGE_ACK:
      handle_ack (ctx, world, message, sender);
      break;
    case PH_MESSAGE_NACK:
      if (message->xid == ms->probe_xid && ms->missing_nacks > 0)
        ms->missing_nacks--;
      break;
    case PH_MESSAGE_PING_REQ:
      relay_ping (ctx, world, message, sender);
      break;
    case PH_MESSAGE_PUSH:
    case PH_MESSAGE_SYNC:
    case PH_MESSAGE_SYNC_REPLY:
    case PH_MESSAGE_KIND_COUNT:
      break;
    }
  if (!ms->is_joined)
    ph_sync_start (ctx, world, ph_member_random (ctx, world));
}

/* Requests indirect probes of the current target from random members. */
static void
send_ping_requests (PhContext *ctx, PhWorld *world)
{
  PhMembership *ms = &world->membership;
  const PhMember *target = ph_member_get (&world->members, ms->probe_target);

  if (target == NULL)
    return;
  for (int i = 0; i < INDIRECT_PROBE_COUNT; i++)
    {
      PhMemberId id = ph_member_random (ctx, world);
      const PhMember *relay = ph_member_get (&world->members, id);
      PhGossipMessage out;

      if (relay == NULL || id.v == ms->probe_target.v)
        continue;
      ph_gossip_begin (world, PH_MESSAGE_PING_REQ, &relay->record, &out);
      out.message.xid = ms->probe_xid;
      ph_text_copy (out.message.target, sizeof out.message.target, target->record.name);
      out.message.target_epoch = target->record.epoch;
      ph_text_copy (out.message.target_address, sizeof out.message.target_address,
                    target->record.address);
      out.message.target_port = target->record.control_port;
      ph_gossip_send (ctx, world, &out);
      ms->missing_nacks++;
    }
}

void
ph_member_probe_timer (PhContext *ctx, PhWorld *world, uint32_t handle)
{
  PhMembership *ms = &world->membership;
  PhRelay *relay = find_relay (ms, handle);

  if (relay != NULL)
    finish_relay (ctx, world, relay, PH_MESSAGE_NACK);
  else if (handle == ms->probe_xid && !ms->is_probe_acked)
    send_ping_requests (ctx, world);
}

/* Evaluates the probe of the period that ends. A member becomes suspect after two probes in a row
 * without an acknowledgement, or after one when another node suspects it already: on a slow link,
 * large responses can delay an acknowledgement by a second. */
static void
finish_probe (PhContext *ctx, PhWorld *world)
{
  PhMembership *ms = &world->membership;
  const PhMember *member = ph_member_get (&world->members, ms->probe_target);

  if (member == NULL || ms->is_probe_acked || member->record.epoch != ms->probe_target_epoch)
    return;
  raise_local_health_score (ms, 1 + ms->missing_nacks);
  if (!is_live (member))
    return;
  if (member->record.state == PH_MEMBER_ALIVE && !ms->is_probe_repeated)
    ms->must_repeat_probe = true;
  else
    suspect_member (ctx, world, ms->probe_target);
}

static void
start_probe (PhContext *ctx, PhWorld *world)
{
  PhMembership *ms = &world->membership;
  const PhMember *member;
  PhGossipMessage out;

  ms->is_probe_repeated = ms->must_repeat_probe && can_probe (world, ms->probe_target);
  ms->must_repeat_probe = false;
  if (!ms->is_probe_repeated)
    ms->probe_target = next_probe_target (ctx, world);
  ms->is_probe_acked = false;
  ms->missing_nacks = 0;
  member = ph_member_get (&world->members, ms->probe_target);
  if (member == NULL)
    return;
  ms->probe_target_epoch = member->record.epoch;
  ms->probe_xid = next_xid (ms);
  ms->probe_sent_at = ctx->now;
  ph_gossip_begin (world, PH_MESSAGE_PING, &member->record, &out);
  out.message.xid = ms->probe_xid;
  if (member->record.state == PH_MEMBER_SUSPECT)
    ph_gossip_add (&out, &member->record);
  ph_gossip_send (ctx, world, &out);
  ph_timer_add (&world->timers, ctx->now + probe_timeout (ms), PH_TIMER_MEMBER_PROBE,
                ms->probe_xid);
}

/* Pings the next dead member in table order. The ping holds the member's record, so that it can
 * refute it if it is alive. When the search meets a dead or left member whose record has not
 * changed for DEAD_RETENTION, evicts that one instead. */
static void
probe_dead_member (PhContext *ctx, PhWorld *world)
{
  PhMembership *ms = &world->membership;
  PhMemberId next = ph_member_next (&world->members, ms->dead_cursor);

  while (next.v != 0)
    {
      PhMemberId id = next;
      PhMember *member = ph_member_get (&world->members, id);
      PhGossipMessage out;

      ms->dead_cursor = id;
      next = ph_member_next (&world->members, id);
      if (is_live (member))
        continue;
      if (ctx->now - member->changed_at > DEAD_RETENTION)
        {
          ph_member_evict (ctx, world, id);
          ms->dead_cursor = (PhMemberId){ 0 };
          return;
        }
      if (member->record.state != PH_MEMBER_DEAD)
        continue;
      ph_gossip_begin (world, PH_MESSAGE_PING, &member->record, &out);
      out.message.xid = next_xid (ms);
      ph_gossip_add (&out, &member->record);
      ph_gossip_send (ctx, world, &out);
      return;
    }
  ms->dead_cursor = (PhMemberId){ 0 };
}

void
ph_swim_evict_oldest (PhContext *ctx, PhWorld *world)
{
  PhMemberId id = { 0 };
  PhMemberId oldest = { 0 };
  PhTime oldest_changed_at = PH_TIME_NEVER;

  while ((id = ph_member_next (&world->members, id)).v != 0)
    {
      const PhMember *member = ph_member_get (&world->members, id);

      if (!is_live (member) && member->changed_at < oldest_changed_at)
        {
          oldest = id;
          oldest_changed_at = member->changed_at;
        }
    }
  if (oldest.v != 0)
    ph_member_evict (ctx, world, oldest);
}

static void
send_hellos_to_seeds (PhContext *ctx, PhWorld *world)
{
  const PhMembership *ms = &world->membership;

  for (uint32_t i = 0; i < ms->seed_count; i++)
    send_hello (ctx, world, ms->seeds[i].address, ms->seeds[i].port);
}

void
ph_member_hello_timer (PhContext *ctx, PhWorld *world, uint32_t handle)
{
  if (!world->uses_catch_up_syncs || world->membership.live_count >= 2 || handle >= HELLOS_MAX)
    return;
  send_hellos_to_seeds (ctx, world);
  ph_timer_add (&world->timers, ctx->now + HELLO_INTERVAL, PH_TIMER_HELLO, handle + 1);
}

/* Sends the periodic messages other than the probe: hellos to seeds, pings to dead members, and
 * requests of syncs. */
static void
run_periodic_tasks (PhContext *ctx, PhWorld *world)
{
  PhMembership *ms = &world->membership;

  /* A node whose probes all fail reaches the maximal local health score, and all members in its
   * table may be gone. Finding out by probes alone would take two periods of 9 s for each of
   * them. */
  if (ms->live_count < 2 || ms->local_health_score == LOCAL_HEALTH_SCORE_MAX)
    send_hellos_to_seeds (ctx, world);
  if (ms->dead_count > 0 && ctx->now >= ms->next_dead_probe_at)
    {
      ms->next_dead_probe_at = ctx->now + with_jitter (ctx, DEAD_PROBE_INTERVAL);
      probe_dead_member (ctx, world);
    }
  if (ctx->now >= ms->next_sync_at)
    {
      ms->next_sync_at = ctx->now + with_jitter (ctx, SYNC_INTERVAL);
      if (ms->is_joined)
        ph_sync_start (ctx, world, ph_member_random (ctx, world));
    }
  if (!ms->is_joined)
    ph_sync_start (ctx, world, ph_member_random (ctx, world));
}

/* Handles a pause of this node's event loop: does not count the current probe as failed, extends
 * all suspicions by the pause, and starts a sync to get what the node has missed. */
static void
recover_from_pause (PhContext *ctx, PhWorld *world, PhTime pause)
{
  PhMembership *ms = &world->membership;
  PhMemberId id = { 0 };

  ph_log (ctx, PH_LOG_WARNING, PH_STEP_GOSSIP, NULL,
          "the event loop of this node was paused for %lld ms", (long long)(pause / PH_MS));
  raise_local_health_score (ms, 1);
  ms->is_probe_acked = true;
  while ((id = ph_member_next (&world->members, id)).v != 0)
    {
      PhMember *member = ph_member_get (&world->members, id);

      if (member->record.state != PH_MEMBER_SUSPECT)
        continue;
      member->suspect_since += pause;
      schedule_suspicion_end (ctx, world, id);
    }
  ph_sync_start (ctx, world, ph_member_random (ctx, world));
}

void
ph_member_period_timer (PhContext *ctx, PhWorld *world, uint32_t handle)
{
  PhMembership *ms = &world->membership;
  PhTime lateness = ctx->now - ms->period_ends_at;

  (void)handle;
  if (lateness > LOOP_PAUSE_MIN)
    recover_from_pause (ctx, world, lateness);
  finish_probe (ctx, world);
  run_periodic_tasks (ctx, world);
  start_probe (ctx, world);
  ms->period_ends_at = ctx->now + PROTOCOL_PERIOD * (1 + ms->local_health_score);
  ph_timer_add (&world->timers, ms->period_ends_at, PH_TIMER_MEMBERSHIP_PERIOD, 0);
}
