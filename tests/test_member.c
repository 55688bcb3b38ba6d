#include "pollenhitch/member.h"

#include <string.h>

#include "pollenhitch/world.h"
#include "test.h"
#include "wire/control.h"

#define RUNS 300
#define RECORDS 40
#define SELF_EPOCH 50

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
  /* What a process says of itself is the same in all records of one incarnation. */
  r.control_port = (uint16_t)(r.epoch * 100 + r.incarnation);
  r.address[0] = r.name[0]; /* no two VMs have one address */
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

/* Naive version of the merge: the greatest record of a name wins. */
static const PhMemberRecord *
find_greatest (const PhMemberRecord *records, char name)
{
  const PhMemberRecord *best = NULL;

  for (int i = 0; i < RECORDS; i++)
    if (records[i].name[0] == name && (best == NULL || ph_member_compare (&records[i], best) > 0))
      best = &records[i];
  return best;
}

static void
check_against_naive (const PhWorld *world, const PhMemberRecord *records)
{
  static const char *const names[] = { "a", "b", "c" };

  for (size_t i = 0; i < PH_ARRAY_SIZE (names); i++)
    {
      const PhMemberRecord *best = find_greatest (records, names[i][0]);
      const PhMember *held = ph_member_get (&world->members, ph_member_find (world, names[i]));
      bool is_listed;

      CU_ASSERT_EQUAL_FATAL (held != NULL, best != NULL);
      if (best == NULL || held == NULL)
        continue;
      CU_ASSERT_EQUAL_FATAL (ph_member_compare (&held->record, best), 0);
      CU_ASSERT_EQUAL (held->record.control_port, best->control_port);
      is_listed = ph_upstream_get (&world->upstreams, held->upstream) != NULL;
      CU_ASSERT_EQUAL (is_listed, best->state < PH_MEMBER_DEAD && best->has_upstream);
    }
}

/* Differential test: records in any order, and twice, give what the naive merge gives. Guards
 * against nodes that end up with different tables, and upstreams that outlive their node. */
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

/* Guards against messages of strangers' processes, predecessors and replays that change state. */
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
    { "a", 7, SELF_EPOCH, 100, PH_MESSAGE_PUSH, false },     /* replay */
    { "a", 7, SELF_EPOCH, 99, PH_MESSAGE_PUSH, true },       /* overtaken on the way */
    { "a", 7, SELF_EPOCH, 99, PH_MESSAGE_PUSH, false },      /* replay of that */
    { "a", 7, SELF_EPOCH, 36, PH_MESSAGE_PUSH, false },      /* behind the window */
    { "a", 7, SELF_EPOCH, 300, PH_MESSAGE_PUSH, true },      /* far ahead */
    { "a", 7, SELF_EPOCH, 100, PH_MESSAGE_PUSH, false },     /* replay after the window moved */
    { "a", 6, SELF_EPOCH, 400, PH_MESSAGE_PUSH, false },     /* predecessor of the sender */
    { "a", 7, SELF_EPOCH - 1, 401, PH_MESSAGE_PUSH, false }, /* was for our predecessor */
    { "a", 7, 0, 402, PH_MESSAGE_PUSH, false },              /* only a first ping has no receiver */
    { "a", 7, 0, 403, PH_MESSAGE_PING, true },
    { "self", SELF_EPOCH, SELF_EPOCH, 1, PH_MESSAGE_PUSH, false }, /* our own, sent back */
    { "a", 8, SELF_EPOCH, 1, PH_MESSAGE_PUSH, true },              /* successor of the sender */
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
          CU_FAIL ("message is not accepted as the table says");
        }
    }
  ph_world_drop (&ctx, world);
}

/* Guards against a first message, which can be replayed at will, that changes the table. */
static void
test_first_message (void)
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

/* Guards against a restarted process whose clock is behind its predecessor's, and which the others
 * would ignore for ever; and against two processes of one name that raise the epoch without end. */
static void
test_earlier_clock (void)
{
  static const struct
  {
    PhTime at;
    uint64_t heard;
    uint64_t epoch; /* afterwards */
  } cases[] = {
    { PH_SECOND, SELF_EPOCH - 1, SELF_EPOCH },
    { PH_SECOND, 70, 71 },
    { PH_SECOND, 70, 71 },
    { 2 * PH_SECOND, 80, 81 },
    { 2 * PH_SECOND, 82, 83 },
    { 2 * PH_SECOND, 84, 85 },
    { 3 * PH_SECOND, 90, 85 }, /* too often: another process runs with this name */
    { 30 * PH_SECOND, 90, 91 },
  };
  PhMemberRecord heard = { .name = "self", .data_centre = "there", .state = PH_MEMBER_DEAD };
  PhContext ctx = { 0 };
  PhWorld *world = make_world (&ctx);

  for (size_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      ctx.now = cases[i].at;
      heard.epoch = cases[i].heard;
      ph_member_merge (&ctx, world, &heard);
      CU_ASSERT_EQUAL (world->epoch, cases[i].epoch);
      CU_ASSERT_EQUAL (ph_member_get (&world->members, world->membership.self)->record.epoch,
                       cases[i].epoch);
    }
  ph_world_drop (&ctx, world);
}

typedef struct
{
  size_t size;
  bool has_held;
} Answer;

static void
take_answer (void *user, const PhMessage *message)
{
  uint8_t buffer[PH_DATAGRAM_MAX];
  Answer *answer = user;
  PhWireKey key;

  CU_ASSERT_TRUE_FATAL (ph_wire_key_parse ("000102030405060708090a0b0c0d0e0f", &key, NULL));
  answer->size += ph_wire_encode (&key, message, buffer, sizeof buffer, NULL);
  for (uint32_t i = 0; i < message->record_count; i++)
    answer->has_held = answer->has_held || message->records[i]->epoch == 9;
}

/* Guards against pings that anyone can replay with another source address, and that would make this
 * node send more than was received; and against an earlier epoch that is not told the later one. */
static void
test_answer_size (void)
{
  static const struct
  {
    uint64_t sender_epoch;
    uint64_t receiver_epoch;
    uint32_t size;
    bool has_held; /* the answer holds the record of epoch 9 */
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
      Answer answer = { 0 };

      memset (a.region, 'r', sizeof a.region - 1);
      ph_member_merge (&ctx, world, &a);
      world->effects.send_message = take_answer;
      world->effects.user = &answer;
      ph_member_receive (&ctx, world, &m);
      CU_ASSERT_TRUE (answer.size > 0 && answer.size <= cases[i].size);
      CU_ASSERT_EQUAL (answer.has_held, cases[i].has_held);
      ph_world_drop (&ctx, world);
    }
}

static const struct
{
  const char *name;
  const char *address; /* of a VM that joins; the one before is at 10.0.0.5, port 7, epoch 100 */
  uint64_t epoch;
  uint16_t port;
  bool is_live; /* the one before, after that */
} replace_cases[] = {
  { "another address", "10.0.0.6", 200, 7, true },
  { "another port", "10.0.0.5", 200, 8, true },
  { "the same address", "10.0.0.5", 200, 7, false },
  { "the same address, an earlier clock", "10.0.0.5", 50, 7, true },
};

/* Guards against calls to a VM that is gone and whose address a new VM has: for 8 s each node sent
 * one there every 2 s, and the new VM refused it. */
static void
test_replaced (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (replace_cases); i++)
    {
      PhContext ctx = { .now = PH_SECOND };
      PhWorld *world = make_world (&ctx);
      PhMemberRecord old = { .name = "old",
                             .epoch = 100,
                             .address = "10.0.0.5",
                             .control_port = 7,
                             .data_centre = "there" };
      PhMemberRecord later = old;

      ph_text_copy (later.name, sizeof later.name, "later");
      ph_text_copy (later.address, sizeof later.address, replace_cases[i].address);
      later.control_port = replace_cases[i].port;
      later.epoch = replace_cases[i].epoch;
      ph_member_merge (&ctx, world, &old);
      ph_member_merge (&ctx, world, &later);
      if (is_live (world, "old") != replace_cases[i].is_live || !is_live (world, "later"))
        CU_FAIL (replace_cases[i].name);
      /* One that is not gone says so. */
      old.incarnation++;
      ph_member_merge (&ctx, world, &old);
      CU_ASSERT_TRUE (is_live (world, "old"));
      CU_ASSERT_TRUE (is_live (world, "later"));
      ph_world_drop (&ctx, world);
    }
}

static const PhTest tests[] = {
  { "a VM whose address another one has is gone", test_replaced },
  { "an earlier clock does not hide a process", test_earlier_clock },
  { "an answer is no larger than the ping", test_answer_size },
  { "merge agrees with a naive version in any order", test_merge_order },
  { "replayed and misdirected messages are refused", test_accept },
  { "a first message changes nothing", test_first_message },
};
PH_TEST_SUITE (member, tests)
