#include "pollenhitch/member.h"

#include <string.h>

#include "pollenhitch/world.h"
#include "test.h"
#include "wire/control.h"

#define RUNS 300
#define RECORDS 40
#define SELF_EPOCH 50 /* epoch of the node under test */

static PhWorld *
make_world (PhContext *ctx)
{
  const PhWorldOptions opts = { .name = "self",
                                .data_centre = "here",
                                .region = "r",
                                .address = "127.0.0.1",
                                .control_port = 1,
                                .epoch = SELF_EPOCH,
                                .call_capacity = 16,
                                .upstream_capacity = 64,
                                .service_capacity = 16,
                                .object_capacity = 16 };
  const PhEffects effects = { 0 };

  ph_random_seed (&ctx->random, 1);
  return ph_world_new (ctx, &opts, &effects, NULL);
}

static PhMemberRecord
random_record (PhRandom *random)
{
  PhMemberRecord r = { .epoch = 1 + ph_random_below (random, 3),
                       .incarnation = ph_random_below (random, 4),
                       .state = (PhMemberState)ph_random_below (random, 4),
                       .address = "127.0.0.1",
                       .data_centre = "there" };

  r.name[0] = (char)('a' + ph_random_below (random, 3));
  /* What a process announces about itself is the same in all records of one incarnation. */
  r.control_port = (uint16_t)(r.epoch * 100 + r.incarnation);
  r.address[0] = r.name[0]; /* no two VMs have the same address */
  r.has_upstream = r.incarnation > 1;
  ph_text_copy (r.service, sizeof r.service, "team/service");
  return r;
}

static bool
is_live (const PhWorld *world, const char *name)
{
  const PhMember *member = ph_member_get (&world->members, ph_member_find (world, name));

  return member != NULL && member->record.state < PH_MEMBER_DEAD;
}

/* Naive version of the merge: the greatest record of a name, by ph_member_compare, is kept. */
static const PhMemberRecord *
find_greatest (const PhMemberRecord *records, char name)
{
  const PhMemberRecord *greatest = NULL;

  for (int i = 0; i < RECORDS; i++)
    if (records[i].name[0] == name
        && (greatest == NULL || ph_member_compare (&records[i], greatest) > 0))
      greatest = &records[i];
  return greatest;
}

static void
check_against_naive (const PhWorld *world, const PhMemberRecord *records)
{
  static const char *const names[] = { "a", "b", "c" };

  for (size_t i = 0; i < PH_ARRAY_SIZE (names); i++)
    {
      const PhMemberRecord *greatest = find_greatest (records, names[i][0]);
      const PhMember *held = ph_member_get (&world->members, ph_member_find (world, names[i]));
      bool has_upstream_row;

      CU_ASSERT_EQUAL_FATAL (held != NULL, greatest != NULL);
      if (greatest == NULL || held == NULL)
        continue;
      CU_ASSERT_EQUAL_FATAL (ph_member_compare (&held->record, greatest), 0);
      CU_ASSERT_EQUAL (held->record.control_port, greatest->control_port);
      has_upstream_row = ph_upstream_get (&world->upstreams, held->upstream) != NULL;
      CU_ASSERT_EQUAL (has_upstream_row,
                       greatest->state < PH_MEMBER_DEAD && greatest->has_upstream);
    }
}

/* Differential test: records merged in any order, once or twice, give the result of the naive
 * merge. Guards against nodes that end up with different tables, and against upstreams that remain
 * in the table after their node is dead. */
static void
test_merge_order (void)
{
  PhRandom random;
  PhContext ctx = { .now = PH_SECOND };

  ph_random_seed (&random, 4);
  for (int run = 0; run < RUNS; run++)
    {
      PhMemberRecord records[RECORDS];
      PhWorld *worlds[2] = { make_world (&ctx), make_world (&ctx) };

      for (int i = 0; i < RECORDS; i++)
        records[i] = random_record (&random);
      for (int i = 0; i < RECORDS; i++)
        ph_member_merge (&ctx, worlds[0], &records[i]);
      for (int i = 0; i < RECORDS * 2; i++)
        ph_member_merge (&ctx, worlds[1], &records[(RECORDS * 2 - 1 - i) % RECORDS]);
      for (int w = 0; w < 2; w++)
        check_against_naive (worlds[w], records);
      CU_ASSERT_EQUAL_FATAL (memcmp (worlds[0]->membership.member_digests,
                                     worlds[1]->membership.member_digests,
                                     sizeof worlds[0]->membership.member_digests),
                             0);
      for (int w = 0; w < 2; w++)
        ph_world_drop (&ctx, worlds[w]);
    }
}

/* Guards against messages that change state although they are replayed, were sent by an earlier
 * process of the sender, or were sent to an earlier process of this node. */
static void
test_accept (void)
{
  static const struct
  {
    const char *sender;
    uint64_t sender_epoch;
    uint64_t receiver_epoch;
    uint64_t sequence;
    PhMessageKind kind;
    bool is_accepted;
  } cases[] = {
    { "a", 7, SELF_EPOCH, 100, PH_MESSAGE_PUSH, true },
    { "a", 7, SELF_EPOCH, 100, PH_MESSAGE_PUSH, false },     /* replayed */
    { "a", 7, SELF_EPOCH, 99, PH_MESSAGE_PUSH, true },       /* reordered in transit */
    { "a", 7, SELF_EPOCH, 99, PH_MESSAGE_PUSH, false },      /* replayed */
    { "a", 7, SELF_EPOCH, 36, PH_MESSAGE_PUSH, false },      /* below the window */
    { "a", 7, SELF_EPOCH, 300, PH_MESSAGE_PUSH, true },      /* far ahead */
    { "a", 7, SELF_EPOCH, 100, PH_MESSAGE_PUSH, false },     /* replayed, now below the window */
    { "a", 6, SELF_EPOCH, 400, PH_MESSAGE_PUSH, false },     /* earlier process of the sender */
    { "a", 7, SELF_EPOCH - 1, 401, PH_MESSAGE_PUSH, false }, /* earlier process of the receiver */
    { "a", 7, 0, 402, PH_MESSAGE_PUSH, false },              /* only a hello has receiver epoch 0 */
    { "a", 7, 0, 403, PH_MESSAGE_PING, true },
    { "self", SELF_EPOCH, SELF_EPOCH, 1, PH_MESSAGE_PUSH, false }, /* own message, sent back */
    { "a", 8, SELF_EPOCH, 1, PH_MESSAGE_PUSH, true },              /* later process of the sender */
  };
  const PhMemberRecord a = { .name = "a", .epoch = 7, .data_centre = "there" };
  PhContext ctx = { .now = PH_SECOND };
  PhWorld *world = make_world (&ctx);

  ph_member_merge (&ctx, world, &a);
  for (size_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      PhMessage m = { .kind = cases[i].kind,
                      .sender_epoch = cases[i].sender_epoch,
                      .receiver_epoch = cases[i].receiver_epoch,
                      .sequence = cases[i].sequence };

      ph_text_copy (m.sender, sizeof m.sender, cases[i].sender);
      if (ph_member_accept (&ctx, world, &m) != cases[i].is_accepted)
        {
          printf ("case %zu\n", i);
          CU_FAIL ("accepted or rejected differently from the case");
        }
    }
  ph_world_drop (&ctx, world);
}

/* Guards against a hello that changes the table of members: it names no receiver epoch, so anyone
 * can replay it at any time. */
static void
test_hello (void)
{
  const PhMemberRecord a = { .name = "a", .epoch = 7, .data_centre = "there" };
  const PhMemberRecord *records[] = { &a };
  PhContext ctx = { .now = PH_SECOND };
  PhWorld *world = make_world (&ctx);
  PhMessage m = { .kind = PH_MESSAGE_PING,
                  .sender = "a",
                  .sender_epoch = 7,
                  .sequence = 1,
                  .record_count = 1,
                  .records = records };

  ph_member_receive (&ctx, world, &m);
  CU_ASSERT_EQUAL (world->members.count, 1);
  m.receiver_epoch = SELF_EPOCH;
  ph_member_receive (&ctx, world, &m);
  CU_ASSERT_EQUAL (world->members.count, 2);
  ph_world_drop (&ctx, world);
}

/* Guards against a restarted process whose clock is behind that of the process before it: the other
 * nodes would ignore its lower epoch for ever, so it takes an epoch above the one that it receives.
 * Guards also against two processes of one name that raise each other's epoch without end. */
static void
test_earlier_clock (void)
{
  static const struct
  {
    PhTime received_at;
    uint64_t received_epoch; /* epoch of a record with this node's name */
    uint64_t epoch;          /* of this node after that */
  } cases[] = {
    { PH_SECOND, SELF_EPOCH - 1, SELF_EPOCH },
    { PH_SECOND, 70, 71 },
    { PH_SECOND, 70, 71 },
    { 2 * PH_SECOND, 80, 81 },
    { 2 * PH_SECOND, 82, 83 },
    { 2 * PH_SECOND, 84, 85 },
    { 3 * PH_SECOND, 90, 85 }, /* raised too often: another process has this name */
    { 30 * PH_SECOND, 90, 91 },
  };
  PhMemberRecord received = { .name = "self", .data_centre = "there", .state = PH_MEMBER_DEAD };
  PhContext ctx = { 0 };
  PhWorld *world = make_world (&ctx);

  for (size_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      ctx.now = cases[i].received_at;
      received.epoch = cases[i].received_epoch;
      ph_member_merge (&ctx, world, &received);
      CU_ASSERT_EQUAL (world->epoch, cases[i].epoch);
      CU_ASSERT_EQUAL (ph_member_get (&world->members, world->membership.self)->record.epoch,
                       cases[i].epoch);
    }
  ph_world_drop (&ctx, world);
}

typedef struct
{
  size_t size;             /* encoded size of all replies, bytes */
  bool has_current_record; /* a reply has the record of epoch 9 */
} Replies;

static void
record_reply (void *user, const PhMessage *message)
{
  uint8_t buffer[PH_DATAGRAM_MAX];
  Replies *replies = user;
  PhWireKey key;

  CU_ASSERT_TRUE_FATAL (ph_wire_key_parse ("000102030405060708090a0b0c0d0e0f", &key, NULL));
  replies->size += ph_wire_encode (&key, message, buffer, sizeof buffer, NULL);
  for (uint32_t i = 0; i < message->record_count; i++)
    replies->has_current_record = replies->has_current_record || message->records[i]->epoch == 9;
}

/* Guards against amplification: anyone can replay a ping with a forged source address, and this
 * node must not send more bytes than it received. Guards also against a process with an earlier
 * epoch that does not receive the later one. */
static void
test_reply_size (void)
{
  static const struct
  {
    uint64_t sender_epoch;
    uint64_t receiver_epoch;
    uint32_t size;           /* bytes of the ping */
    bool has_current_record; /* the reply has room for the record of epoch 9 */
  } cases[] = {
    { 5, 0, 1200, true },  { 5, SELF_EPOCH, 1200, true }, { 5, 0, 400, false },
    { 10, 0, 1200, true }, { 10, 0, 500, false },
  };
  PhMemberRecord a = { .name = "a", .epoch = 9, .data_centre = "there" };

  for (size_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      PhContext ctx = { .now = PH_SECOND };
      PhWorld *world = make_world (&ctx);
      PhMessage m = { .kind = PH_MESSAGE_PING,
                      .sender = "a",
                      .sender_epoch = cases[i].sender_epoch,
                      .receiver_epoch = cases[i].receiver_epoch,
                      .sequence = 1,
                      .datagram_size = cases[i].size };
      Replies replies = { 0 };

      memset (a.region, 'r', sizeof a.region - 1);
      ph_member_merge (&ctx, world, &a);
      world->effects.send_message = record_reply;
      world->effects.user = &replies;
      ph_member_receive (&ctx, world, &m);
      CU_ASSERT_TRUE (replies.size > 0 && replies.size <= cases[i].size);
      CU_ASSERT_EQUAL (replies.has_current_record, cases[i].has_current_record);
      ph_world_drop (&ctx, world);
    }
}

static const struct
{
  const char *name;
  /* Of a VM that joins. The existing VM has address 10.0.0.5, control port 7 and epoch 100. */
  const char *address;
  uint64_t epoch;
  uint16_t port;
  bool is_live; /* the existing VM is live after the join */
} reuse_cases[] = {
  { "a VM with another address", "10.0.0.6", 200, 7, true },
  { "a VM with the same address and another control port", "10.0.0.5", 200, 8, true },
  { "a VM with the same address and a later epoch", "10.0.0.5", 200, 7, false },
  { "a VM with the same address and an earlier epoch", "10.0.0.5", 50, 7, true },
};

/* Guards against calls to a VM that no longer exists and whose address a new VM has: for 8 s each
 * node sent a call there every 2 s, and the new VM refused it. */
static void
test_address_reused (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (reuse_cases); i++)
    {
      PhContext ctx = { .now = PH_SECOND };
      PhWorld *world = make_world (&ctx);
      PhMemberRecord existing = { .name = "old",
                                  .epoch = 100,
                                  .address = "10.0.0.5",
                                  .control_port = 7,
                                  .data_centre = "there" };
      PhMemberRecord joining = existing;

      ph_text_copy (joining.name, sizeof joining.name, "later");
      ph_text_copy (joining.address, sizeof joining.address, reuse_cases[i].address);
      joining.control_port = reuse_cases[i].port;
      joining.epoch = reuse_cases[i].epoch;
      ph_member_merge (&ctx, world, &existing);
      ph_member_merge (&ctx, world, &joining);
      if (is_live (world, "old") != reuse_cases[i].is_live || !is_live (world, "later"))
        CU_FAIL (reuse_cases[i].name);
      /* A VM that still runs refutes its death with a higher incarnation. */
      existing.incarnation++;
      ph_member_merge (&ctx, world, &existing);
      CU_ASSERT_TRUE (is_live (world, "old"));
      CU_ASSERT_TRUE (is_live (world, "later"));
      ph_world_drop (&ctx, world);
    }
}

static const PhTest tests[] = {
  { "a VM is dead once a later one has its address", test_address_reused },
  { "a restart with an earlier clock raises its epoch", test_earlier_clock },
  { "a reply is no larger than the ping", test_reply_size },
  { "merging in any order agrees with a naive merge", test_merge_order },
  { "replayed messages and those with a stale target are rejected", test_accept },
  { "a hello does not change the table of members", test_hello },
};
PH_TEST_SUITE (member, tests)
