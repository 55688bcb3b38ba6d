#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pollenhitch/gossip.h"
#include "pollenhitch/object.h"
#include "pollenhitch/sync.h"
#include "pollenhitch/world.h"
#include "test.h"
#include "wire/control.h"

/*
 * Several decision cores joined by a queue that delays, drops and splits. A case is a list of
 * steps; the last steps say what must hold. Invariants of the core abort the run.
 */

#define SLOTS_MAX 192 /* a slot is one address */
#define PACKETS_MAX 8192
#define SEEDS 2 /* slots 0 and 1 are the seeds of all */
#define STEPS_MAX 24
#define PATHS 8
#define SERVICE "team/s"
#define RENEW (2 * PH_SECOND)
#define EPOCH_BASE 1000000000000000ULL
#define EARLIER 1000000000ULL
#define CONNECT_TIMEOUT (5 * PH_SECOND)
#define STALL (1500 * PH_MS)
#define OWN_CHANGES 2 /* incarnation of a node that told of its start and of its upstream */

/* Bounds on what one node sends in 20 s. A node has 3 KB/s for control (docs/CAPACITY.md), of which
 * idle ones take an eighth at most. A join is two changes of a record; each costs a node 2.1 KB at
 * most, so that the 1,200 restarts a day of 3,200 nodes cost it 0.1 KB/s. */
#define IDLE_BYTES (20 * 3072 / 8)
#define DATA_CENTRES 3
#define JOINS_BYTES (IDLE_BYTES + 20 * 2 * 2100)

/* Bytes between data centres cost most. Two thirds of all went there when targets were drawn from
 * all members, 53.9 KB. */
#define JOINS_FAR_BYTES (JOINS_BYTES / 4)

typedef enum
{
  EVENT_PACKET,
  EVENT_WAKE
} EventKind;

typedef struct
{
  uint32_t v;
} PacketId;

/* A message on its way, with copies of what it points to. */
typedef struct
{
  PhMessage message;
  uint32_t from;
  uint32_t to;
  uint32_t from_generation;
  bool is_failed; /* an exchange that found nobody */
  PhMemberRecord records[PH_MESSAGE_RECORDS_MAX];
  const PhMemberRecord *record_list[PH_MESSAGE_RECORDS_MAX];
  PhMessageObject objects[PH_MESSAGE_OBJECTS_MAX];
  PhMoveState moves[PH_DATAGRAM_MOVES_MAX];
  char texts[PH_DATAGRAM_MAX];
} Packet;

PH_DECLARE_TABLE (Packet, PacketId, packet)

typedef struct
{
  PhContext ctx;
  PhWorld *world; /* NULL when nothing runs */
  char name[PH_NAME_MAX];
  uint64_t epoch;
  uint32_t generation;
  uint32_t group;
  PhTime paused_until;
  PhTime wake_at;
  PhTime renew_at;
} Slot;

typedef enum
{
  STEP_END,
  STEP_START, /* slots a to b, at random points of one second */
  STEP_KILL,
  STEP_LEAVE, /* announce the leave, run on */
  STEP_RESTART,
  STEP_RESTART_EARLIER, /* with a clock behind that of the predecessor */
  STEP_REPLACE,         /* another VM at the same address */
  STEP_SPLIT,           /* cut slots a to b off from the others */
  STEP_HEAL,
  STEP_PAUSE, /* slots a to b for 3 s */
  STEP_LOSS,  /* a percent */
  STEP_PUT,   /* a new revision of path b at slot a, as from the store */
  STEP_DELETE,
  STEP_LIST,   /* slot a lists the store */
  STEP_FAULTS, /* random steps without splits until the next step */
  STEP_CHAOS,  /* random steps until the next step */
  STEP_FLAG,   /* slot a finds a version bad */
  STEP_EXPECT_FLAG,
  STEP_EXPECT_MEMBERS,
  STEP_EXPECT_CONFIG,
  STEP_EXPECT_GONE,     /* slot a is not live anywhere */
  STEP_STALL,           /* slots a to b for STALL */
  STEP_EXPECT_CALM,     /* nobody had to refute a suspicion of slot a */
  STEP_COUNT_BYTES,     /* from now on */
  STEP_EXPECT_BYTES,    /* each node sent a bytes at most on average since then */
  STEP_EXPECT_FAR_BYTES /* and this many to other data centres */
} StepKind;

typedef struct
{
  double at; /* seconds */
  StepKind kind;
  uint32_t a;
  uint32_t b;
} Step;

typedef struct
{
  const char *name;
  uint32_t seeds; /* runs */
  Step steps[STEPS_MAX];
} Case;

static struct
{
  Slot slots[SLOTS_MAX];
  PhTable packets;
  PhTimerHeap events;
  PhTime now;
  PhRandom random;
  uint32_t loss;
  uint64_t revision;
  uint64_t revisions[PATHS]; /* newest of each path, 0 when never put */
  bool deleted[PATHS];
  PhTime put_at;      /* the last revision */
  PhTime in_force_at; /* last time that a node put a revision in force */
  bool is_counting;
  uint64_t bytes;     /* of datagrams that were sent */
  uint64_t far_bytes; /* of these, to other data centres */
} fleet;

static void
path_of (uint32_t i, char *path)
{
  snprintf (path, PH_PATH_MAX, "/teams/team/services/s%u", i);
}

static void
plan (PhTime at, EventKind kind, uint32_t handle)
{
  ph_timer_add (&fleet.events, at, kind, handle);
}

/* Content beyond a datagram is only in exchanges, which are not copied. */
static void
copy_content (Packet *packet, const PhMessage *message)
{
  char *text = packet->texts;

  packet->message.records = packet->record_list;
  packet->message.objects = packet->objects;
  packet->message.moves = packet->moves;
  for (uint32_t i = 0; i < message->move_count; i++)
    {
      packet->moves[i] = message->moves[i];
      packet->moves[i].path
          = memcpy (text, message->moves[i].path, strlen (message->moves[i].path) + 1);
      text += strlen (text) + 1;
    }
  for (uint32_t i = 0; i < message->record_count; i++)
    {
      packet->records[i] = *message->records[i];
      packet->record_list[i] = &packet->records[i];
    }
  for (uint32_t i = 0; i < message->object_count; i++)
    {
      const PhMessageObject *object = &message->objects[i];
      PhMessageObject *copy = &packet->objects[i];

      *copy = *object;
      copy->path = memcpy (text, object->path, strlen (object->path) + 1);
      text += strlen (text) + 1;
      if (object->text == NULL)
        continue;
      copy->text = memcpy (text, object->text, object->size);
      text += object->size;
    }
}

/* Bounds the answer to senders that are not known. */
static uint32_t
size_of (const PhMessage *message)
{
  uint8_t buffer[PH_DATAGRAM_MAX];
  PhWireKey key = { .size = PH_WIRE_KEY_MIN };

  return (uint32_t)ph_wire_encode (&key, message, buffer, sizeof buffer, NULL);
}

static void
count_bytes (const PhMessage *message, uint32_t from, uint32_t to)
{
  fleet.bytes += size_of (message);
  if (from % DATA_CENTRES != to % DATA_CENTRES)
    fleet.far_bytes += size_of (message);
}

static void
send_message (void *user, const PhMessage *message)
{
  Slot *from = user;
  bool is_sync = message->kind == PH_MESSAGE_SYNC;
  PhTime delay = PH_MS + ph_random_below (&fleet.random, 2 * PH_MS);
  uint32_t high;
  uint32_t low;
  Packet *packet;
  PacketId id;

  if (ph_random_below (&fleet.random, 20) == 0)
    delay += ph_random_below (&fleet.random, 50 * PH_MS);
  if (sscanf (message->address, "10.0.%u.%u", &high, &low) != 2)
    return;
  if (fleet.is_counting && !is_sync)
    count_bytes (message, (uint32_t)(from - fleet.slots), high * 256 + low);
  if (!is_sync && ph_random_below (&fleet.random, 100) < fleet.loss)
    return;
  id = packet_add (&fleet.packets, &packet);
  CU_ASSERT_TRUE_FATAL (id.v != 0);
  packet->message = *message;
  packet->from = (uint32_t)(from - fleet.slots);
  packet->from_generation = from->generation;
  packet->to = high * 256 + low;
  if (!is_sync)
    copy_content (packet, message);
  if (message->kind == PH_MESSAGE_PING)
    packet->message.datagram_size = size_of (message);
  plan (fleet.now + delay, EVENT_PACKET, id.v);
}

static void
note_config_changed (void *user, PhObjectId id)
{
  (void)user;
  (void)id;
  fleet.in_force_at = fleet.now;
}

static void
tick (Slot *slot)
{
  const PhUpstreamOptions upstream = { .service = SERVICE,
                                       .version = "v1",
                                       .state = PH_UPSTREAM_READY,
                                       .port = 80,
                                       .slots = 9,
                                       .connections = 200 };
  PhTime next;

  if (slot->world == NULL || fleet.now < slot->paused_until)
    return;
  slot->ctx.now = fleet.now;
  if (fleet.now >= slot->renew_at)
    {
      ph_upstream_announce (&slot->ctx, slot->world, &upstream, NULL);
      slot->renew_at = fleet.now + RENEW;
    }
  next = ph_world_tick (&slot->ctx, slot->world);
  next = next < slot->renew_at ? next : slot->renew_at;
  if (slot->wake_at > fleet.now && next >= slot->wake_at)
    return;
  slot->wake_at = next;
  plan (next, EVENT_WAKE, (uint32_t)(slot - fleet.slots));
}

static void
set_address (PhMessage *message, const Slot *slot)
{
  const PhMember *self = ph_member_get (&slot->world->members, slot->world->membership.self);

  ph_text_copy (message->address, sizeof message->address, self->record.address);
  message->port = self->record.control_port;
}

/* Both halves of an exchange, as the runtime does them. */
static bool
run_exchange (Slot *from, Slot *to, const PhMessage *message)
{
  PhSyncMessage request = { 0 };
  PhSyncMessage reply = { 0 };
  PhError err = { 0 };
  bool is_ok = ph_sync_build_request (&from->ctx, from->world, message, &request, &err);

  for (int half = 0; half < 2 && is_ok; half++)
    {
      set_address (&request.message, from);
      is_ok = ph_sync_handle_request (&to->ctx, to->world, &request.message, &reply, &err);
      ph_sync_message_clear (&request);
      if (!is_ok)
        break;
      set_address (&reply.message, to);
      is_ok = ph_sync_handle_reply (&from->ctx, from->world, &reply.message, &request, &err);
      ph_sync_message_clear (&reply);
      if (!is_ok)
        return err.code == PH_ERROR_NONE;
    }
  ph_sync_message_clear (&request);
  return is_ok;
}

/* Returns false when the packet has to wait for a paused process. */
static bool
deliver (Packet *packet)
{
  Slot *from = &fleet.slots[packet->from];
  Slot *to = &fleet.slots[packet->to];
  bool is_sync = packet->message.kind == PH_MESSAGE_SYNC;
  bool is_reachable = to->world != NULL && from->group == to->group;

  if (is_sync && (from->world == NULL || from->generation != packet->from_generation))
    return true;
  if ((is_sync && from->paused_until > fleet.now)
      || (is_reachable && to->paused_until > fleet.now && !packet->is_failed))
    return false;
  from->ctx.now = to->ctx.now = fleet.now;
  if (is_sync && packet->is_failed)
    ph_sync_end (&from->ctx, from->world, false);
  else if (is_sync && !is_reachable)
    {
      packet->is_failed = true;
      return false;
    }
  else if (is_sync)
    ph_sync_end (&from->ctx, from->world, run_exchange (from, to, &packet->message));
  else if (is_reachable && from->world != NULL)
    {
      set_address (&packet->message, from);
      ph_member_receive (&to->ctx, to->world, &packet->message);
    }
  tick (from);
  tick (to);
  return true;
}

static void
take_packet (PacketId id)
{
  Packet *packet = packet_get (&fleet.packets, id);
  PhTime at = fleet.now + CONNECT_TIMEOUT;

  if (deliver (packet))
    {
      packet_remove (&fleet.packets, id);
      return;
    }
  if (!packet->is_failed)
    {
      PhTime from = fleet.slots[packet->from].paused_until;
      PhTime to = fleet.slots[packet->to].paused_until;

      at = from > to && packet->message.kind == PH_MESSAGE_SYNC ? from : to;
    }
  plan (at > fleet.now ? at : fleet.now, EVENT_PACKET, id.v);
}

static void
run_until (PhTime end)
{
  PhTimer timer;

  while (ph_timer_next (&fleet.events) <= end)
    {
      fleet.now = ph_timer_next (&fleet.events);
      ph_timer_pop (&fleet.events, fleet.now, &timer);
      if (timer.kind == EVENT_PACKET)
        take_packet ((PacketId){ timer.handle });
      else if (fleet.now >= fleet.slots[timer.handle].wake_at)
        tick (&fleet.slots[timer.handle]);
    }
  fleet.now = end;
}

static void
kill_slot (Slot *slot)
{
  ph_world_drop (&slot->ctx, slot->world);
  slot->world = NULL;
  slot->generation++;
}

static void
start_slot (uint32_t i, const char *name, uint64_t epoch)
{
  Slot *slot = &fleet.slots[i];
  char address[PH_ADDRESS_MAX];
  char data_centre[PH_NAME_MAX];
  const PhEffects effects
      = { .send_message = send_message, .config_changed = note_config_changed, .user = slot };
  PhWorldOptions opts = { .name = name,
                          .data_centre = data_centre,
                          .region = "r",
                          .address = address,
                          .peer_port = 1,
                          .control_port = 1,
                          .epoch = epoch,
                          .call_capacity = 16,
                          .upstream_capacity = 512,
                          .service_capacity = 32,
                          .object_capacity = 32,
                          .decode = ph_object_decode };

  if (slot->world != NULL)
    kill_slot (slot);
  snprintf (address, sizeof address, "10.0.%u.%u", i / 256, i % 256);
  snprintf (data_centre, sizeof data_centre, "d%u", i % DATA_CENTRES);
  memset (&slot->ctx, 0, sizeof slot->ctx);
  ph_random_seed (&slot->ctx.random, ph_random_next (&fleet.random));
  slot->ctx.now = fleet.now;
  slot->paused_until = slot->wake_at = slot->renew_at = 0;
  slot->epoch = epoch;
  if (name != slot->name)
    ph_text_copy (slot->name, sizeof slot->name, name);
  opts.name = slot->name;
  slot->world = ph_world_new (&slot->ctx, &opts, &effects, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (slot->world);
  for (uint32_t seed = 0; seed < SEEDS; seed++)
    {
      snprintf (address, sizeof address, "10.0.0.%u", seed);
      ph_member_add_seed (&slot->ctx, slot->world, address, 1);
    }
  tick (slot);
}

static void
start_fresh (uint32_t i, bool is_other_vm)
{
  char name[PH_NAME_MAX];

  snprintf (name, sizeof name, is_other_vm ? "vm-%u-%u" : "vm-%u", i, fleet.slots[i].generation);
  start_slot (i, name, EPOCH_BASE + (uint64_t)fleet.now);
}

/* The newest revision of a path comes from the store. */
static void
apply (Slot *slot, uint32_t path_index)
{
  char path[PH_PATH_MAX];
  char text[80];

  path_of (path_index, path);
  snprintf (text, sizeof text, "{\"kind\":\"service\",\"spec\":{\"deadline_ms\":%u}}",
            (unsigned)fleet.revisions[path_index]);
  ph_config_apply (&slot->ctx, slot->world, path, fleet.revisions[path_index],
                   fleet.deleted[path_index] ? NULL : text, strlen (text), NULL);
  ph_config_mark_listed (slot->world, path);
}

static void
put (uint32_t slot_index, uint32_t path_index, bool is_deleted)
{
  Slot *slot = &fleet.slots[slot_index];

  fleet.revisions[path_index] = ++fleet.revision;
  fleet.deleted[path_index] = is_deleted;
  fleet.put_at = fleet.now;
  if (slot->world == NULL || fleet.now < slot->paused_until)
    return;
  slot->ctx.now = fleet.now;
  apply (slot, path_index);
  tick (slot);
}

/* A watcher lists the store, as it does when it starts. */
static void
list (Slot *slot)
{
  slot->ctx.now = fleet.now;
  for (uint32_t i = 0; i < PATHS; i++)
    if (fleet.revisions[i] != 0 && !fleet.deleted[i])
      apply (slot, i);
  ph_config_finish_list (&slot->ctx, slot->world, "/teams/", fleet.revision);
  tick (slot);
}

static bool
is_live_at (const Slot *slot, const char *name)
{
  const PhMember *member
      = ph_member_get (&slot->world->members, ph_member_find (slot->world, name));

  return member != NULL && member->record.state < PH_MEMBER_DEAD;
}

/* Returns what is wrong at a node, or NULL. */
static const char *
wrong_members (const Slot *slot)
{
  const PhService *service
      = ph_service_get (&slot->world->services, ph_service_find (slot->world, SERVICE));
  uint32_t running = 0;

  for (uint32_t i = 0; i < SLOTS_MAX; i++)
    {
      const Slot *other = &fleet.slots[i];

      if (other->world == NULL)
        continue;
      running++;
      if (!is_live_at (slot, other->name))
        return "a running node is not live";
      if (ph_member_get (&slot->world->members, ph_member_find (slot->world, other->name))
              ->record.epoch
          != other->world->epoch)
        return "a node is held with another epoch";
    }
  if (slot->world->membership.live_count != running)
    return "a node that does not run is live";
  return service->upstream_count == running ? NULL : "the number of upstreams is wrong";
}

static const char *
wrong_config (const Slot *slot)
{
  char path[PH_PATH_MAX];

  for (uint32_t i = 0; i < PATHS; i++)
    {
      const PhObjectRow *row;

      if (fleet.revisions[i] == 0)
        continue;
      path_of (i, path);
      row = ph_config_find (slot->world, path);
      if (fleet.deleted[i] ? row != NULL && !row->is_deleted : row == NULL || row->is_deleted)
        return "a delete did not hold, or a put is missing";
      if (!fleet.deleted[i] && row->revision != fleet.revisions[i])
        return "an old revision is in force";
    }
  return NULL;
}

static const char *
wrong_flag (const Slot *slot)
{
  const PhTable *moves = &slot->world->moves;
  const PhMove *move = ph_move_get (moves, ph_move_next (moves, (PhMoveId){ 0 }));

  return move != NULL && move->is_bad ? NULL : "the flag of a bad version is not known";
}

static void
set_flag (Slot *slot)
{
  const PhMoveState flag = {
    .path = "/teams/team/moves/m", .revision = 1, .reason = PH_MOVE_REASON_SLOW, .is_bad = true
  };

  slot->ctx.now = fleet.now;
  ph_move_merge (&slot->ctx, slot->world, &flag);
  tick (slot);
}

static void
expect (const Case *c, uint64_t seed, const Step *step)
{
  unsigned wrong = 0;
  const char *why = NULL;

  for (uint32_t i = 0; i < SLOTS_MAX; i++)
    {
      const Slot *slot = &fleet.slots[i];
      const char *found = NULL;

      if (slot->world == NULL || (step->kind == STEP_EXPECT_GONE && step->a == i))
        continue;
      if (step->kind == STEP_EXPECT_MEMBERS)
        found = wrong_members (slot);
      else if (step->kind == STEP_EXPECT_FLAG)
        found = wrong_flag (slot);
      else if (step->kind == STEP_EXPECT_CONFIG)
        found = wrong_config (slot);
      else if (is_live_at (slot, fleet.slots[step->a].name))
        found = "a node that left is live";
      why = found != NULL ? found : why;
      wrong += found != NULL ? 1 : 0;
    }
  if (wrong == 0 && step->kind == STEP_EXPECT_CONFIG && c->seeds == 1 && step->at < 100)
    printf ("%s: %.2f s\n", c->name, (double)(fleet.in_force_at - fleet.put_at) / PH_SECOND);
  if (wrong == 0)
    return;
  printf ("%s, seed %llu, at %.1f s: %u nodes: %s\n", c->name, (unsigned long long)seed, step->at,
          wrong, why);
  CU_FAIL ("the fleet did not converge");
}

static void
expect_bytes (const Case *c, const Step *step, const char *where, uint64_t bytes)
{
  uint64_t running = 0;
  uint64_t each;

  for (uint32_t i = 0; i < SLOTS_MAX; i++)
    running += fleet.slots[i].world != NULL ? 1 : 0;
  each = bytes / running;
  printf ("%s%s: %llu\n", c->name, where, (unsigned long long)each);
  CU_ASSERT_TRUE (each <= step->a);
}

static void
expect_calm (const Case *c, uint64_t seed, const Step *step)
{
  const PhWorld *world = fleet.slots[step->a].world;
  const PhMember *self = ph_member_get (&world->members, world->membership.self);

  if (self->record.incarnation <= OWN_CHANGES)
    return;
  printf ("%s, seed %llu: incarnation %u\n", c->name, (unsigned long long)seed,
          (unsigned)self->record.incarnation);
  CU_FAIL ("a node that was slow for a moment was suspected");
}

static void
run_step_at (const Step *step, uint32_t i)
{
  Slot *slot = &fleet.slots[i];

  switch (step->kind)
    {
    case STEP_START:
      start_fresh (i, false);
      run_until (fleet.now + PH_SECOND / (step->b - step->a + 1));
      break;
    case STEP_KILL:
      if (slot->world != NULL)
        kill_slot (slot);
      break;
    case STEP_LEAVE:
      slot->ctx.now = fleet.now;
      ph_world_stop (&slot->ctx, slot->world);
      tick (slot);
      break;
    case STEP_RESTART:
      start_fresh (i, false);
      break;
    case STEP_RESTART_EARLIER:
      start_slot (i, slot->name, slot->epoch - EARLIER);
      break;
    case STEP_REPLACE:
      if (slot->world != NULL)
        kill_slot (slot);
      start_fresh (i, true);
      break;
    case STEP_SPLIT:
      slot->group = 1;
      break;
    case STEP_STALL:
    case STEP_PAUSE:
      slot->paused_until = fleet.now + (step->kind == STEP_STALL ? STALL : 3 * PH_SECOND);
      plan (slot->paused_until, EVENT_WAKE, i);
      slot->wake_at = slot->paused_until;
      break;
    default:
      break;
    }
}

/* Random steps over the slots a to b, for as long as until end; the seeds keep running. */
static void
run_chaos (const Step *chaos, PhTime end)
{
  static const StepKind kinds[]
      = { STEP_KILL, STEP_RESTART, STEP_REPLACE, STEP_RESTART_EARLIER, STEP_PAUSE, STEP_PUT,
          STEP_PUT,  STEP_PUT,     STEP_DELETE,  STEP_SPLIT,           STEP_HEAL };
  uint32_t count = PH_ARRAY_SIZE (kinds) - (chaos->kind == STEP_FAULTS ? 2 : 0);

  while (fleet.now < end)
    {
      uint32_t i = chaos->a + ph_random_below (&fleet.random, chaos->b - chaos->a + 1);
      Step step = { 0, kinds[ph_random_below (&fleet.random, count)], i, i };

      if (step.kind == STEP_PUT || step.kind == STEP_DELETE)
        put (i, ph_random_below (&fleet.random, PATHS), step.kind == STEP_DELETE);
      else if (step.kind == STEP_HEAL)
        fleet.slots[i].group = 0;
      else if (step.kind != STEP_RESTART_EARLIER || fleet.slots[i].epoch != 0)
        run_step_at (&step, i);
      run_until (fleet.now + ph_random_below (&fleet.random, 1500 * PH_MS));
    }
}

static void
run_step (const Case *c, uint64_t seed, const Step *step)
{
  switch (step->kind)
    {
    case STEP_LOSS:
      fleet.loss = step->a;
      break;
    case STEP_PUT:
    case STEP_DELETE:
      put (step->a, step->b, step->kind == STEP_DELETE);
      break;
    case STEP_LIST:
      list (&fleet.slots[step->a]);
      break;
    case STEP_FAULTS:
    case STEP_CHAOS:
      run_chaos (step, (PhTime)(step[1].at * PH_SECOND));
      break;
    case STEP_HEAL:
      for (uint32_t i = 0; i < SLOTS_MAX; i++)
        fleet.slots[i].group = 0;
      break;
    case STEP_FLAG:
      set_flag (&fleet.slots[step->a]);
      break;
    case STEP_EXPECT_CALM:
      expect_calm (c, seed, step);
      break;
    case STEP_COUNT_BYTES:
      fleet.is_counting = true;
      break;
    case STEP_EXPECT_BYTES:
      expect_bytes (c, step, "", fleet.bytes);
      break;
    case STEP_EXPECT_FAR_BYTES:
      expect_bytes (c, step, ", between data centres", fleet.far_bytes);
      break;
    case STEP_EXPECT_FLAG:
    case STEP_EXPECT_MEMBERS:
    case STEP_EXPECT_CONFIG:
    case STEP_EXPECT_GONE:
      expect (c, seed, step);
      break;
    default:
      for (uint32_t i = step->a; i <= step->b; i++)
        run_step_at (step, i);
    }
}

static void
run_case (const Case *c, uint64_t seed)
{
  memset (&fleet, 0, sizeof fleet);
  fleet.now = PH_SECOND;
  ph_random_seed (&fleet.random, seed);
  CU_ASSERT_TRUE_FATAL (ph_table_init (&fleet.packets, sizeof (Packet), PACKETS_MAX, NULL));
  for (const Step *step = c->steps; step->kind != STEP_END; step++)
    {
      run_until ((PhTime)(step->at * PH_SECOND) > fleet.now ? (PhTime)(step->at * PH_SECOND)
                                                            : fleet.now);
      run_step (c, seed, step);
    }
  for (uint32_t i = 0; i < SLOTS_MAX; i++)
    if (fleet.slots[i].world != NULL)
      kill_slot (&fleet.slots[i]);
  ph_table_clear (&fleet.packets);
  ph_timer_clear (&fleet.events);
}

static const Case cases[] = {
  { "180 nodes start in one second, 10% loss; a change is in force everywhere in 6 s",
    1,
    { { 1, STEP_LOSS, 10, 0 },
      { 1, STEP_START, 0, 179 },
      { 30, STEP_EXPECT_MEMBERS, 0, 0 },
      { 30, STEP_PUT, 7, 0 },
      { 36, STEP_EXPECT_CONFIG, 0, 0 },
      { 36, STEP_PUT, 8, 1 },
      { 37, STEP_DELETE, 9, 0 },
      { 43, STEP_EXPECT_CONFIG, 0, 0 },
      { 43, STEP_LEAVE, 11, 11 },
      { 45, STEP_EXPECT_GONE, 11, 0 } } },
  { "the flag of a bad version is known everywhere in 2 s, and after a split",
    20,
    { { 1, STEP_START, 0, 23 },
      { 10, STEP_LOSS, 10, 0 },
      { 10, STEP_SPLIT, 20, 21 },
      { 20, STEP_FLAG, 5, 0 },
      { 20, STEP_KILL, 20, 21 },
      { 22, STEP_EXPECT_FLAG, 0, 0 },
      { 23, STEP_HEAL, 0, 0 },
      { 23, STEP_RESTART, 20, 21 },
      { 30, STEP_EXPECT_FLAG, 0, 0 } } },
  { "a leaving node is gone within 2 s",
    20,
    { { 1, STEP_START, 0, 23 },
      { 10, STEP_LOSS, 10, 0 },
      { 10, STEP_LEAVE, 5, 5 },
      { 12, STEP_EXPECT_GONE, 5, 0 } } },
  { "bytes of each of 100 nodes for 20 that join within 20 s",
    1,
    { { 1, STEP_START, 0, 99 },
      { 20, STEP_EXPECT_MEMBERS, 0, 0 },
      { 20, STEP_COUNT_BYTES, 0, 0 },
      { 20, STEP_START, 100, 103 },
      { 24, STEP_START, 104, 107 },
      { 28, STEP_START, 108, 111 },
      { 32, STEP_START, 112, 115 },
      { 36, STEP_START, 116, 119 },
      { 40, STEP_EXPECT_MEMBERS, 0, 0 },
      { 40, STEP_EXPECT_BYTES, JOINS_BYTES, 0 },
      { 40, STEP_EXPECT_FAR_BYTES, JOINS_FAR_BYTES, 0 } } },
  { "bytes of each of 100 idle nodes in 20 s",
    1,
    { { 1, STEP_START, 0, 99 },
      { 40, STEP_COUNT_BYTES, 0, 0 },
      { 60, STEP_EXPECT_BYTES, IDLE_BYTES, 0 } } },
  { "restarted and replaced processes are known by their new records",
    10,
    { { 1, STEP_START, 0, 15 },
      { 10, STEP_RESTART, 4, 5 },
      { 10, STEP_REPLACE, 6, 7 },
      { 10, STEP_RESTART_EARLIER, 8, 9 },
      { 11, STEP_RESTART, 4, 4 },
      { 60, STEP_EXPECT_MEMBERS, 0, 0 } } },
  { "a restart with an earlier clock right after a kill",
    10,
    { { 1, STEP_START, 0, 15 },
      { 10, STEP_KILL, 3, 3 },
      { 40, STEP_RESTART_EARLIER, 3, 3 },
      { 60, STEP_EXPECT_MEMBERS, 0, 0 } } },
  { "configuration and deletes hold through a split",
    10,
    { { 1, STEP_START, 0, 19 },
      { 8, STEP_PUT, 2, 0 },
      { 8, STEP_PUT, 2, 1 },
      { 15, STEP_EXPECT_CONFIG, 0, 0 },
      { 15, STEP_SPLIT, 10, 19 },
      { 20, STEP_PUT, 12, 2 },
      { 21, STEP_DELETE, 3, 0 },
      { 22, STEP_PUT, 13, 1 },
      { 80, STEP_HEAL, 0, 0 },
      { 140, STEP_EXPECT_MEMBERS, 0, 0 },
      { 140, STEP_EXPECT_CONFIG, 0, 0 } } },
  /* A VM with a link of 10 Mbit/s that sends large responses answers late: 16 suspicions in 20 s on
   * a calm day of fleetbench chre-mesh-grown, each a change of a record at all nodes. */
  { "a node that answers late for a moment is not suspected",
    10,
    { { 1, STEP_START, 0, 23 },
      { 10, STEP_STALL, 5, 5 },
      { 14, STEP_STALL, 5, 5 },
      { 18, STEP_STALL, 5, 5 },
      { 22, STEP_STALL, 5, 5 },
      { 30, STEP_EXPECT_CALM, 5, 0 },
      { 30, STEP_EXPECT_MEMBERS, 0, 0 } } },
  { "a pause ends no membership",
    10,
    { { 1, STEP_START, 0, 19 },
      { 10, STEP_PAUSE, 4, 6 },
      { 11, STEP_PUT, 2, 0 },
      { 20, STEP_EXPECT_CONFIG, 0, 0 },
      { 40, STEP_EXPECT_MEMBERS, 0, 0 } } },
  { "a region is away for an hour",
    1,
    { { 1, STEP_START, 0, 11 },
      { 10, STEP_SPLIT, 6, 11 },
      { 1800, STEP_PUT, 2, 0 },
      { 1801, STEP_PUT, 8, 1 },
      { 3610, STEP_HEAL, 0, 0 },
      { 3700, STEP_EXPECT_MEMBERS, 0, 0 },
      { 3700, STEP_EXPECT_CONFIG, 0, 0 } } },
  { "random faults; a change is in force everywhere in 6 s",
    30,
    { { 1, STEP_START, 0, 11 },
      { 5, STEP_LOSS, 10, 0 },
      { 6, STEP_FAULTS, 2, 11 },
      { 60, STEP_LIST, 0, 0 },
      { 66, STEP_EXPECT_CONFIG, 0, 0 },
      { 150, STEP_EXPECT_MEMBERS, 0, 0 } } },
  /* Nodes that were cut off are found again by pings to dead members, each 5 to 15 s, and their own
   * period is up to 9 s by then. */
  { "random faults and splits",
    30,
    { { 1, STEP_START, 0, 11 },
      { 5, STEP_LOSS, 5, 0 },
      { 6, STEP_CHAOS, 2, 11 },
      { 60, STEP_HEAL, 0, 0 },
      { 60, STEP_LIST, 0, 0 },
      { 90, STEP_EXPECT_CONFIG, 0, 0 },
      { 150, STEP_EXPECT_MEMBERS, 0, 0 } } },
};

/* Guards against fleets that do not agree again after the faults that the design page names. */
static void
test_cases (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    for (uint64_t seed = 1; seed <= cases[i].seeds; seed++)
      run_case (&cases[i], seed);
}

static const PhTest tests[] = {
  { "fleets converge", test_cases },
};
PH_TEST_SUITE (fleet, tests)
