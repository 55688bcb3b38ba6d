#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pollenhitch/object.h"
#include "pollenhitch/sync.h"
#include "pollenhitch/world.h"
#include "wire/control.h"

/*
 * Decodes mutated control messages and applies those that are accepted. Half of the messages get a
 * valid HMAC over the mutated bytes, so that the decoder and the tables behind it are reached.
 * Arguments: number of inputs, seed (default 1). The last line is "N passed, N failed".
 *
 * Guards against a changed message without a valid HMAC that is accepted, and against member tables
 * whose counts are wrong after an accepted message.
 */

#define BUFFER_SIZE 8192
#define HMAC_SIZE 32
#define DEFAULT_INPUTS 20000
#define OWN_EPOCH 3

static const PhMemberRecord record = { .name = "vm-1",
                                       .epoch = 5,
                                       .incarnation = 6,
                                       .address = "10.0.0.1",
                                       .control_port = 8083,
                                       .data_centre = "kamloops",
                                       .region = "bc-south",
                                       .has_upstream = true,
                                       .service = "cascade/booking-desk",
                                       .version = "v1",
                                       .slots = 9 };
static const PhMemberRecord *const records[] = { &record, &record };
#define OBJECT_TEXT "{\"kind\":\"service\",\"spec\":{\"deadline_ms\":70}}"
static const PhMessageObject objects[] = {
  { "/teams/a/services/x", 8, OBJECT_TEXT, sizeof OBJECT_TEXT - 1, false, false },
  { "/teams/a/services/y", 9, NULL, 0, true, false },
  { "/teams/a/services/z", 10, "", 0, false, true },
};
static const PhMoveState moves[] = { { "/teams/a/moves/m", 10, 3, PH_MOVE_REASON_SLOW, 7, true } };
static const PhMoveEvidence evidence
    = { .path = "/teams/a/moves/m", .revision = 10, .route_counts = { { 5, 2, { 1, 4 } } } };
static const PhSync sync_section
    = { .has_digests = true, .member_digests = { 1, 2 }, .object_mask = 3 };

/* Computes the HMAC of a message in which the HMAC at offset is zero. */
static void
compute_hmac (
    const PhWireKey *key, const uint8_t *data, size_t size, size_t offset, uint8_t *digest)
{
  static const uint8_t zeros[HMAC_SIZE];
  gsize length = HMAC_SIZE;
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, key->bytes, key->size);

  g_hmac_update (hmac, data, (gssize)offset);
  g_hmac_update (hmac, zeros, HMAC_SIZE);
  g_hmac_update (hmac, data + offset + HMAC_SIZE, (gssize)(size - offset - HMAC_SIZE));
  g_hmac_get_digest (hmac, digest, &length);
  g_hmac_unref (hmac);
}

/* Returns the offset of the HMAC in an encoded message. */
static size_t
find_hmac (const PhWireKey *key, const uint8_t *data, size_t size)
{
  uint8_t digest[HMAC_SIZE];

  for (size_t offset = 0; offset + HMAC_SIZE <= size; offset += 4)
    {
      compute_hmac (key, data, size, offset, digest);
      if (memcmp (digest, data + offset, HMAC_SIZE) == 0)
        return offset;
    }
  return 0;
}

/* Changes some bytes from start on, to random or extreme values or by one bit, or truncates the
 * message. Returns the new size. */
static size_t
mutate (PhRandom *random, uint8_t *data, size_t size, size_t start)
{
  static const uint8_t extremes[] = { 0, 1, 0x7f, 0x80, 0xff };
  uint32_t count = 1 + ph_random_below (random, 4);

  for (uint32_t i = 0; i < count && size > start; i++)
    {
      size_t offset = start + ph_random_below (random, (uint32_t)(size - start));

      switch (ph_random_below (random, 4))
        {
        case 0:
          data[offset] = (uint8_t)ph_random_next (random);
          break;
        case 1:
          data[offset] = extremes[ph_random_below (random, sizeof extremes)];
          break;
        case 2:
          data[offset] ^= (uint8_t)(1u << ph_random_below (random, 8));
          break;
        default:
          if (ph_random_below (random, 4) == 0)
            size = offset;
          break;
        }
    }
  return size;
}

/* Applies a message to the tables as if it were received in each role. Returns whether the counts
 * of members agree. */
static bool
apply_message (PhContext *ctx, PhWorld *world, PhMessage *message)
{
  PhSyncMessage reply = { 0 };
  PhError err = { 0 };

  ctx->now += PH_MS;
  ph_text_copy (message->address, sizeof message->address, "127.0.0.1");
  ph_member_receive (ctx, world, message);
  message->sequence += 1000;
  if (ph_sync_handle_request (ctx, world, message, &reply, &err))
    ph_sync_message_clear (&reply);
  message->sequence += 1000;
  if (ph_sync_handle_reply (ctx, world, message, &reply, &err))
    ph_sync_message_clear (&reply);
  ph_world_tick (ctx, world);
  return world->membership.live_count + world->membership.dead_count == world->members.count;
}

/* Runs one input. Returns whether it was handled correctly. */
static bool
run_input (PhContext *ctx, PhWorld *world, const PhWireKey *key, PhRandom *random)
{
  static size_t hmac_offsets[PH_MESSAGE_KIND_COUNT];
  static uint8_t data[BUFFER_SIZE];
  static uint8_t original[BUFFER_SIZE];
  PhMessageKind kind = (PhMessageKind)ph_random_below (random, PH_MESSAGE_KIND_COUNT);
  bool is_sync = kind == PH_MESSAGE_SYNC || kind == PH_MESSAGE_SYNC_REPLY;
  PhMessage m = { .kind = kind,
                  .sender = "vm-1",
                  .sender_epoch = 5,
                  .sequence = ph_random_next (random) % 1000000,
                  .receiver_epoch = OWN_EPOCH,
                  .target = "vm-3",
                  .sync = is_sync ? &sync_section : NULL,
                  .record_count = 2,
                  .records = records,
                  .object_count = 3,
                  .objects = objects,
                  .move_count = 1,
                  .moves = moves,
                  .evidence = &evidence };
  size_t size = ph_wire_encode (key, &m, data, sizeof data, NULL);
  size_t encoded_size = size;
  bool has_valid_hmac = ph_random_below (random, 2) == 0;
  PhWireMessage decoded;
  bool is_ok = true;
  bool is_decoded;

  memcpy (original, data, size);
  if (hmac_offsets[kind] == 0)
    hmac_offsets[kind] = find_hmac (key, data, size);
  size = mutate (random, data, size, has_valid_hmac ? hmac_offsets[kind] + HMAC_SIZE : 0);
  if (has_valid_hmac && size >= hmac_offsets[kind] + HMAC_SIZE)
    compute_hmac (key, data, size, hmac_offsets[kind], data + hmac_offsets[kind]);
  is_decoded = ph_wire_decode (key, data, size, &decoded, NULL);
  if (!is_decoded)
    return true;
  if (!has_valid_hmac)
    is_ok = size == encoded_size && memcmp (data, original, size) == 0;
  is_ok = apply_message (ctx, world, &decoded.message) && is_ok;
  ph_wire_clear (&decoded);
  return is_ok;
}

int
main (int argc, char **argv)
{
  long inputs = argc > 1 ? strtol (argv[1], NULL, 10) : DEFAULT_INPUTS;
  uint64_t seed = argc > 2 ? strtoull (argv[2], NULL, 10) : 1;
  const PhWorldOptions opts = { .name = "self",
                                .data_centre = "d",
                                .address = "127.0.0.1",
                                .control_port = 1,
                                .epoch = OWN_EPOCH,
                                .call_capacity = 16,
                                .upstream_capacity = 64,
                                .service_capacity = 32,
                                .object_capacity = 64,
                                .decode = ph_object_decode };
  const PhEffects effects = { 0 };
  PhContext ctx = { .now = PH_SECOND };
  PhRandom random;
  PhWireKey key;
  PhWorld *world;
  long failed = 0;

  ph_random_seed (&random, seed);
  ph_random_seed (&ctx.random, seed);
  if (!ph_wire_key_parse ("000102030405060708090a0b0c0d0e0f", &key, NULL))
    return 1;
  world = ph_world_new (&ctx, &opts, &effects, NULL);
  for (long i = 0; i < inputs && world != NULL; i++)
    if (!run_input (&ctx, world, &key, &random))
      {
        printf ("input %ld of seed %llu: a changed message was accepted, or the members are "
                "miscounted\n",
                i, (unsigned long long)seed);
        failed++;
      }
  ph_world_drop (&ctx, world);
  printf ("%ld passed, %ld failed\n", inputs - failed, failed);
  return failed != 0;
}
