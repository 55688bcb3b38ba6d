#include "wire/control.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test.h"

#define KEY "000102030405060708090a0b0c0d0e0f"

static const PhMemberRecord record = { .name = "vm-1",
                                       .epoch = 5,
                                       .incarnation = 6,
                                       .state = PH_MEMBER_SUSPECT,
                                       .suspected_by = 7,
                                       .address = "10.0.0.1",
                                       .peer_port = 8081,
                                       .control_port = 8083,
                                       .data_centre = "kamloops",
                                       .region = "bc-south",
                                       .has_upstream = true,
                                       .service = "cascade/booking-desk",
                                       .version = "v1",
                                       .upstream_state = PH_UPSTREAM_READY,
                                       .slots = 9,
                                       .connections = 200 };
static const PhMemberRecord *const records[] = { &record };
static const PhMessageObject objects[] = {
  { "/teams/a/services/x", 8, "{}", 2, false, false },
  { "/teams/a/services/y", 9, NULL, 0, true, false },
  { "/teams/a/services/z", 10, "", 0, false, true },
};
static const PhMoveState moves[] = {
  { "/teams/a/moves/m", 10, 3, PH_MOVE_REASON_SLOW, 7, true },
  { "/teams/a/moves/n", 11, 0, PH_MOVE_REASON_NONE, 0, false },
};
static const PhMoveEvidence evidence = { .path = "/teams/a/moves/m",
                                         .revision = 10,
                                         .is_new_version = true,
                                         .route_counts = { { 5, 2, { 1, 4 } }, { 9, 8, { 7 } } } };
static const PhSync digests = { .has_digests = true, .member_digests = { 1, 2 }, .object_mask = 3 };

static bool
is_sync (PhMessageKind kind)
{
  return kind == PH_MESSAGE_SYNC || kind == PH_MESSAGE_SYNC_REPLY;
}

static size_t
encode (PhMessageKind kind, PhWireKey *key, uint8_t *buffer, size_t size)
{
  PhMessage m = { .kind = kind,
                  .xid = 0x80000001u,
                  .sender = "vm-2",
                  .sender_epoch = 1,
                  .sequence = 2,
                  .receiver_epoch = 3,
                  .config_revision = 4,
                  .config_digest = 0xfedcba9876543210u,
                  .target = "vm-3",
                  .target_epoch = 11,
                  .record_count = 1,
                  .records = records,
                  .object_count = 3,
                  .objects = objects,
                  .move_count = 2,
                  .moves = moves,
                  .evidence = &evidence };

  m.sync = is_sync (kind) ? &digests : NULL;
  CU_ASSERT_TRUE_FATAL (ph_wire_key_parse (KEY, key, NULL));
  return ph_wire_encode (key, &m, buffer, size, NULL);
}

static void
check_record (const PhMemberRecord *r)
{
  CU_ASSERT_STRING_EQUAL (r->name, record.name);
  CU_ASSERT_EQUAL (r->epoch, record.epoch);
  CU_ASSERT_EQUAL (r->incarnation, record.incarnation);
  CU_ASSERT_EQUAL (r->state, record.state);
  CU_ASSERT_EQUAL (r->suspected_by, record.suspected_by);
  CU_ASSERT_STRING_EQUAL (r->address, record.address);
  CU_ASSERT_EQUAL (r->peer_port, record.peer_port);
  CU_ASSERT_EQUAL (r->control_port, record.control_port);
  CU_ASSERT_STRING_EQUAL (r->data_centre, record.data_centre);
  CU_ASSERT_STRING_EQUAL (r->region, record.region);
  CU_ASSERT_STRING_EQUAL (r->service, record.service);
  CU_ASSERT_STRING_EQUAL (r->version, record.version);
  CU_ASSERT_EQUAL (r->upstream_state, record.upstream_state);
  CU_ASSERT_EQUAL (r->slots, record.slots);
  CU_ASSERT_EQUAL (r->connections, record.connections);
}

/* Guards against fields that are lost or swapped on the way. */
static void
test_round_trip (void)
{
  for (int kind = 0; kind < PH_MESSAGE_KIND_COUNT; kind++)
    {
      uint8_t buffer[4096];
      uint8_t again[sizeof buffer];
      PhWireKey key;
      PhWireMessage in;
      size_t size = encode ((PhMessageKind)kind, &key, buffer, sizeof buffer);

      CU_ASSERT_TRUE_FATAL (ph_wire_decode (&key, buffer, size, &in, NULL));
      CU_ASSERT_EQUAL (in.message.kind, kind);
      CU_ASSERT_EQUAL (in.message.xid, 0x80000001u);
      CU_ASSERT_STRING_EQUAL (in.message.sender, "vm-2");
      CU_ASSERT_EQUAL (in.message.sequence, 2);
      CU_ASSERT_EQUAL (in.message.receiver_epoch, 3);
      CU_ASSERT_EQUAL (in.message.config_digest, 0xfedcba9876543210u);
      CU_ASSERT_STRING_EQUAL (in.message.target, "vm-3");
      check_record (in.message.records[0]);
      CU_ASSERT_EQUAL (in.message.objects[0].size, 2);
      CU_ASSERT_TRUE (in.message.objects[1].is_deleted);
      CU_ASSERT_EQUAL (in.message.objects[1].revision, 9);
      CU_ASSERT_TRUE (in.message.objects[2].is_text_omitted);
      CU_ASSERT_EQUAL (in.message.objects[2].revision, 10);
      CU_ASSERT_EQUAL (in.message.sync != NULL, is_sync ((PhMessageKind)kind));
      CU_ASSERT_STRING_EQUAL (in.message.moves[0].path, moves[0].path);
      CU_ASSERT_EQUAL (in.message.moves[0].reason, PH_MOVE_REASON_SLOW);
      CU_ASSERT_EQUAL (in.message.moves[0].route_bucket, 7);
      CU_ASSERT_EQUAL (in.message.evidence->revision, 10);
      CU_ASSERT_EQUAL (memcmp (in.message.evidence->route_counts, evidence.route_counts,
                               sizeof evidence.route_counts),
                       0);
      if (in.message.sync != NULL)
        CU_ASSERT_EQUAL (in.message.sync->member_digests[1], 2);
      CU_ASSERT_EQUAL (ph_wire_encode (&key, &in.message, again, sizeof again, NULL), size);
      CU_ASSERT_EQUAL (memcmp (buffer, again, size), 0);
      ph_wire_clear (&in);
    }
}

/* Guards against a message of a stranger, or one changed on the way, that is believed: every
 * single changed bit, every cut and every other key must be refused. */
static void
test_tampering (void)
{
  uint8_t buffer[4096];
  PhWireKey key;
  PhWireKey other;
  PhWireMessage in;
  size_t size = encode (PH_MESSAGE_PUSH, &key, buffer, sizeof buffer);

  for (size_t bit = 0; bit < size * 8; bit++)
    {
      buffer[bit / 8] ^= (uint8_t)(1u << bit % 8);
      if (ph_wire_decode (&key, buffer, size, &in, NULL))
        CU_FAIL_FATAL ("a changed message was accepted");
      buffer[bit / 8] ^= (uint8_t)(1u << bit % 8);
    }
  for (size_t cut = 0; cut < size; cut++)
    if (ph_wire_decode (&key, buffer, cut, &in, NULL))
      CU_FAIL_FATAL ("a cut message was accepted");
  CU_ASSERT_TRUE_FATAL (ph_wire_key_parse ("ff0102030405060708090a0b0c0d0e0f", &other, NULL));
  CU_ASSERT_FALSE (ph_wire_decode (&other, buffer, size, &in, NULL));
}

/* Guards against a message that is cut to fit a datagram, or written past its end. */
static void
test_too_small (void)
{
  uint8_t buffer[4096];
  PhWireKey key;
  size_t size = encode (PH_MESSAGE_PUSH, &key, buffer, sizeof buffer);

  for (size_t room = 0; room < size; room++)
    CU_ASSERT_EQUAL (encode (PH_MESSAGE_PUSH, &key, buffer, room), 0);
}

#define TEXT_MAX (1024u * 1024)

static void
fill_routes (char *text, uint32_t size)
{
  uint32_t at = 0;

  while (at + 128 < size)
    at += (uint32_t)sprintf (text + at, "\"r%u\":{\"host\":\"a.example\",\"prefix\":\"/p%u/\"},",
                             at, at * 7);
  memset (text + at, ' ', size - at);
}

static void
fill_noise (char *text, uint32_t size)
{
  PhRandom random;

  ph_random_seed (&random, 1);
  for (uint32_t i = 0; i < size; i++)
    text[i] = (char)ph_random_below (&random, 256);
}

typedef struct
{
  const char *name;
  void (*fill) (char *text, uint32_t size);
  uint32_t size;
  uint32_t count; /* objects with this text */
  size_t bound;   /* on the encoded size */
  bool is_accepted;
} TextCase;

static const TextCase text_cases[] = {
  { "routes of a large configuration", fill_routes, 100000, 1, 20000, true },
  { "noise", fill_noise, 100000, 1, 102000, true },
  { "below the size that is compressed", fill_routes, 1000, 1, 2300, true },
  { "the largest text", fill_routes, TEXT_MAX, 1, TEXT_MAX / 5, true },
  { "texts that are larger together than a message may be", fill_routes, TEXT_MAX, 4,
    4 * TEXT_MAX / 5, false },
};

static bool
holds_text (const PhMessage *message, const char *text, uint32_t size)
{
  const PhMessageObject *object = message->objects;

  return object != NULL && object->text != NULL && object->size == size
         && memcmp (object->text, text, size) == 0;
}

/* Guards against configurations that take seconds over the links of small VMs (fleetbench
 * chre-mesh-grown trouble-1, CONFIG), and against messages that grow without bound. */
static void
test_texts (void)
{
  size_t room = 4 * TEXT_MAX + 4096;
  uint8_t *buffer = malloc (room);
  char *text = malloc (TEXT_MAX);

  if (buffer == NULL || text == NULL)
    abort ();
  for (size_t i = 0; i < PH_ARRAY_SIZE (text_cases); i++)
    {
      const TextCase *c = &text_cases[i];
      PhMessageObject large[4];
      PhMessage m = { .kind = PH_MESSAGE_SYNC_REPLY,
                      .sender = "vm-2",
                      .sync = &digests,
                      .object_count = c->count,
                      .objects = large,
                      .evidence = NULL };
      PhWireMessage in = { 0 };
      PhWireKey key;
      size_t size;

      c->fill (text, c->size);
      for (uint32_t k = 0; k < c->count; k++)
        large[k] = (PhMessageObject){ .path = "/o", .revision = 1, .text = text, .size = c->size };
      CU_ASSERT_TRUE_FATAL (ph_wire_key_parse (KEY, &key, NULL));
      size = ph_wire_encode (&key, &m, buffer, room, NULL);
      if (size == 0 || size > c->bound || size > ph_wire_size (&m)
          || ph_wire_decode (&key, buffer, size, &in, NULL) != c->is_accepted)
        {
          printf ("%s: %zu bytes\n", c->name, size);
          CU_FAIL_FATAL ("not encoded as it should be");
        }
      CU_ASSERT_EQUAL (holds_text (&in.message, text, c->size), c->is_accepted);
      ph_wire_clear (&in);
    }
  free (buffer);
  free (text);
}

static const PhTest tests[] = {
  { "large texts", test_texts },
  { "messages survive encoding", test_round_trip },
  { "changed, cut and foreign messages are refused", test_tampering },
  { "a message that does not fit is not encoded", test_too_small },
};
PH_TEST_SUITE (control, tests)
