#include "wire/control.h"

#include <glib.h>
#include <rpc/rpc_msg.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>

_Static_assert(sizeof ((ph_x_evidence *)0)->counts == sizeof ((PhMoveEvidence *)0)->route_counts,
               "counts in control.x have the size of PhMoveEvidence.route_counts");

#define VERIFIER_FLAVOR 0x50480001
#define VERIFIER_SIZE_MAX MAX_AUTH_BYTES
#define AUTH_CODE_SIZE 32
#define COMPRESS_SIZE_MIN 2048 /* bytes; smaller texts are not compressed */
#define REPLY_STATUS_SIZE 4    /* bytes of accept_stat, which follows the verifier of a reply */

/* RPC procedure of each kind of message, and whether the message is a reply. */
static const struct
{
  rpcproc_t procedure;
  bool is_reply;
} kinds[PH_MESSAGE_KIND_COUNT] = {
  [PH_MESSAGE_PING] = { PH_PING, false }, [PH_MESSAGE_ACK] = { 0, true },
  [PH_MESSAGE_NACK] = { 0, true },        [PH_MESSAGE_PING_REQ] = { PH_PING_REQ, false },
  [PH_MESSAGE_PUSH] = { PH_PUSH, false }, [PH_MESSAGE_SYNC] = { PH_SYNC, false },
  [PH_MESSAGE_SYNC_REPLY] = { 0, true },
};

bool
ph_wire_key_parse (const char *text, PhWireKey *key, PhError *err)
{
  size_t digits = strlen (text);

  key->size = digits / 2;
  if (digits % 2 != 0 || key->size < PH_WIRE_KEY_MIN || key->size > PH_WIRE_KEY_MAX)
    return ph_error_set (
        err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
        "--cluster-key has %zu characters; allowed: %d to %d hexadecimal digits, an even number",
        digits, PH_WIRE_KEY_MIN * 2, PH_WIRE_KEY_MAX * 2);
  for (size_t i = 0; i < digits; i++)
    {
      int digit = g_ascii_xdigit_value (text[i]);

      if (digit < 0)
        return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                             "--cluster-key: character %zu is not a hexadecimal digit", i + 1);
      key->bytes[i / 2] = (uint8_t)(i % 2 == 0 ? digit << 4 : key->bytes[i / 2] | digit);
    }
  return true;
}

/* Computes the authentication code of a message, in which the bytes of the code itself count as
 * zeros. */
static void
compute_auth_code (
    const PhWireKey *key, const uint8_t *data, size_t size, size_t code_offset, uint8_t *code)
{
  static const uint8_t zeros[AUTH_CODE_SIZE];
  gsize length = AUTH_CODE_SIZE;
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, key->bytes, key->size);

  g_hmac_update (hmac, data, (gssize)code_offset);
  g_hmac_update (hmac, zeros, AUTH_CODE_SIZE);
  g_hmac_update (hmac, data + code_offset + AUTH_CODE_SIZE,
                 (gssize)(size - code_offset - AUTH_CODE_SIZE));
  g_hmac_get_digest (hmac, code, &length);
  g_hmac_unref (hmac);
}

/* Fills in the XDR form of a member record; the strings are borrowed. */
static void
record_to_xdr (const PhMemberRecord *record, ph_x_record *x, ph_x_upstream *upstream)
{
  *x = (ph_x_record){ .name = (char *)record->name,
                      .epoch = record->epoch,
                      .incarnation = record->incarnation,
                      .state = record->state,
                      .accuser = record->suspected_by,
                      .address = (char *)record->address,
                      .peer_port = record->peer_port,
                      .control_port = record->control_port,
                      .data_centre = (char *)record->data_centre,
                      .region = (char *)record->region };
  if (!record->has_upstream)
    return;
  *upstream = (ph_x_upstream){ .service = (char *)record->service,
                               .release = (char *)record->version,
                               .epoch = record->upstream_epoch,
                               .state = record->upstream_state,
                               .slots = record->slots,
                               .connections = record->connections };
  x->upstream = upstream;
}

/* Replaces the text of an object by its compressed form if that is smaller. */
static void
compress_text (ph_x_object *x, char **compressed)
{
  uLong size = x->text.text_len;
  uLongf compressed_size = compressBound (size);

  if (size < COMPRESS_SIZE_MIN)
    return;
  *compressed = malloc (compressed_size);
  if (*compressed == NULL
      || compress2 ((Bytef *)*compressed, &compressed_size, (const Bytef *)x->text.text_val, size,
                    Z_BEST_SPEED)
             != Z_OK
      || compressed_size >= size)
    return;
  x->packed_from = (u_int)size;
  x->text.text_val = *compressed;
  x->text.text_len = (u_int)compressed_size;
}

/* Replaces a compressed text by its original. *budget is how many bytes the
 * decompressed texts of the message may still take: a small message must not expand without
 * bound. */
static bool
decompress_text (ph_x_object *x, size_t *budget)
{
  uLongf size = x->packed_from;
  char *text;

  if (x->packed_from == 0)
    return true;
  if (x->packed_from > *budget)
    return false;
  *budget -= x->packed_from;
  text = malloc (size);
  if (text == NULL
      || uncompress ((Bytef *)text, &size, (const Bytef *)x->text.text_val, x->text.text_len)
             != Z_OK
      || size != x->packed_from)
    {
      free (text);
      return false;
    }
  free (x->text.text_val);
  x->text.text_val = text;
  x->text.text_len = (u_int)size;
  x->packed_from = 0;
  return true;
}

/* Fills in the XDR form of an object; path and text are borrowed. */
static void
object_to_xdr (const PhMessageObject *object, ph_x_object *x)
{
  *x = (ph_x_object){ .path = (char *)object->path,
                      .revision = object->revision,
                      .is_deleted = object->is_deleted,
                      .is_stub = object->is_text_omitted };
  x->text.text_len = object->is_deleted || object->is_text_omitted ? 0 : object->size;
  x->text.text_val = (char *)object->text;
}

/* Fills in the XDR form of digests and masks; the arrays are borrowed. */
static void
sync_to_xdr (const PhSync *sync, ph_x_sync *x)
{
  *x = (ph_x_sync){ .is_partial = sync->is_partial,
                    .member_mask = sync->member_mask,
                    .object_mask = sync->object_mask };
  x->member_digests.member_digests_val = (u_quad_t *)sync->member_digests;
  x->object_digests.object_digests_val = (u_quad_t *)sync->object_digests;
  if (sync->has_digests)
    x->member_digests.member_digests_len = x->object_digests.object_digests_len = PH_SYNC_BUCKETS;
}

/* Body of a message to encode, and the structures that it points to. */
typedef struct
{
  ph_x_body body;
  ph_x_target target;
  ph_x_sync sync;
  ph_x_move moves[PH_MOVES_MAX];
  ph_x_evidence evidence;
  ph_x_upstream *upstreams;
  char **compressed; /* owned compressed texts of the objects, NULL for none */
} OutgoingBody;

/* Frees what build_outgoing and compress_text allocated. */
static void
clear_outgoing (OutgoingBody *outgoing)
{
  for (u_int i = 0; outgoing->compressed != NULL && i < outgoing->body.objects.objects_len; i++)
    free (outgoing->compressed[i]);
  free (outgoing->compressed);
  free (outgoing->body.records.records_val);
  free (outgoing->body.objects.objects_val);
  free (outgoing->upstreams);
}

/* Adds the states of moves and the evidence of a message to the body. */
static void
moves_to_xdr (const PhMessage *message, OutgoingBody *outgoing)
{
  ph_x_body *body = &outgoing->body;

  body->moves.moves_val = outgoing->moves;
  body->moves.moves_len = message->move_count;
  for (uint32_t i = 0; i < message->move_count; i++)
    outgoing->moves[i] = (ph_x_move){ .path = (char *)message->moves[i].path,
                                      .revision = message->moves[i].revision,
                                      .stage = message->moves[i].stage,
                                      .is_bad = message->moves[i].is_bad,
                                      .reason = message->moves[i].reason,
                                      .route = message->moves[i].route_bucket };
  if (message->evidence == NULL)
    return;
  outgoing->evidence = (ph_x_evidence){ .path = (char *)message->evidence->path,
                                        .revision = message->evidence->revision,
                                        .is_new = message->evidence->is_new_version,
                                        .started_calls = message->evidence->started_calls };
  memcpy (outgoing->evidence.counts, message->evidence->route_counts,
          sizeof outgoing->evidence.counts);
  body->evidence = &outgoing->evidence;
}

/* Builds the body of a message. Returns false when memory runs out; clear_outgoing must be
 * called in either case. */
static bool
build_outgoing (const PhMessage *message, OutgoingBody *outgoing)
{
  ph_x_body *body = &outgoing->body;

  memset (outgoing, 0, sizeof *outgoing);
  outgoing->upstreams = calloc (message->record_count + 1, sizeof *outgoing->upstreams);
  body->records.records_val = calloc (message->record_count + 1, sizeof (ph_x_record));
  body->objects.objects_val = calloc (message->object_count + 1, sizeof (ph_x_object));
  outgoing->compressed = calloc (message->object_count + 1, sizeof *outgoing->compressed);
  if (outgoing->upstreams == NULL || body->records.records_val == NULL
      || body->objects.objects_val == NULL || outgoing->compressed == NULL)
    return false;
  body->kind = message->kind;
  body->config_revision = message->config_revision;
  body->config_digest = message->config_digest;
  if (message->target[0] != '\0')
    {
      outgoing->target = (ph_x_target){ .name = (char *)message->target,
                                        .epoch = message->target_epoch,
                                        .address = (char *)message->target_address,
                                        .port = message->target_port };
      body->target = &outgoing->target;
    }
  if (message->sync != NULL)
    {
      sync_to_xdr (message->sync, &outgoing->sync);
      body->sync = &outgoing->sync;
    }
  body->records.records_len = message->record_count;
  for (uint32_t i = 0; i < message->record_count; i++)
    record_to_xdr (message->records[i], &body->records.records_val[i], &outgoing->upstreams[i]);
  body->objects.objects_len = message->object_count;
  for (uint32_t i = 0; i < message->object_count; i++)
    object_to_xdr (&message->objects[i], &body->objects.objects_val[i]);
  moves_to_xdr (message, outgoing);
  return true;
}

/* Encodes the body of the verifier with zeros for the code. Returns its size in bytes, or 0 when
 * it does not fit. */
static u_int
encode_verifier (const PhMessage *message, char *buffer)
{
  ph_x_verifier verifier = { .sender = (char *)message->sender,
                             .epoch = message->sender_epoch,
                             .sequence = message->sequence,
                             .receiver_epoch = message->receiver_epoch };
  XDR xdrs;

  xdrmem_create (&xdrs, buffer, VERIFIER_SIZE_MAX, XDR_ENCODE);
  return xdr_ph_x_verifier (&xdrs, &verifier) ? xdr_getpos (&xdrs) : 0;
}

/* Results encoder of the RPC header that writes nothing: the body is encoded separately. */
static bool_t
xdr_no_results (XDR *xdrs, void *where)
{
  (void)xdrs;
  (void)where;
  return TRUE;
}

/* Encodes the RPC header. Returns the offset of the authentication code, or 0 when the header
 * does not fit. */
static size_t
encode_header (XDR *xdrs, const PhMessage *message)
{
  char buffer[VERIFIER_SIZE_MAX];
  struct opaque_auth verifier = { .oa_flavor = VERIFIER_FLAVOR, .oa_base = buffer };
  struct rpc_msg msg = { .rm_xid = message->xid };

  verifier.oa_length = encode_verifier (message, buffer);
  if (verifier.oa_length == 0)
    return 0;
  if (kinds[message->kind].is_reply)
    {
      msg.rm_direction = REPLY;
      msg.rm_reply.rp_stat = MSG_ACCEPTED;
      msg.acpted_rply.ar_verf = verifier;
      msg.acpted_rply.ar_stat = SUCCESS;
      msg.acpted_rply.ar_results.proc = (xdrproc_t)xdr_no_results;
      return xdr_replymsg (xdrs, &msg) ? xdr_getpos (xdrs) - REPLY_STATUS_SIZE - AUTH_CODE_SIZE : 0;
    }
  msg.rm_direction = CALL;
  msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  msg.rm_call.cb_prog = PH_CONTROL;
  msg.rm_call.cb_vers = PH_CONTROL_V1;
  msg.rm_call.cb_proc = kinds[message->kind].procedure;
  msg.rm_call.cb_verf = verifier;
  return xdr_callmsg (xdrs, &msg) ? xdr_getpos (xdrs) - AUTH_CODE_SIZE : 0;
}

/* Two numbers of 16 bits; larger ones are sent as the largest. */
static u_int
pack_pair (uint64_t upper, uint64_t lower)
{
  upper = upper < UINT16_MAX ? upper : UINT16_MAX;
  lower = lower < UINT16_MAX ? lower : UINT16_MAX;
  return (u_int)(upper << 16 | lower);
}

/* Encodes the loads that follow the body, if there are any. */
static bool
encode_loads (XDR *xdrs, const PhMessage *message)
{
  ph_x_load rows[PH_MESSAGE_LOADS_MAX];
  ph_x_loads x = { .loads = { .loads_len = message->load_count, .loads_val = rows } };

  if (message->load_count == 0)
    return true;
  if (message->load_count > PH_MESSAGE_LOADS_MAX)
    return false;
  for (uint32_t i = 0; i < message->load_count; i++)
    {
      const PhLoadEntry *entry = &message->loads[i];

      rows[i] = (ph_x_load){
        .upstream = entry->key,
        .calls = pack_pair (entry->load.in_flight, entry->load.queued),
        .limit = pack_pair (entry->load.limit, (uint64_t)(entry->age / PH_MS)),
        .speed = pack_pair (entry->load.slowdown_percent, entry->cold_rate),
      };
    }
  return xdr_ph_x_loads (xdrs, &x);
}

/* Decodes the loads that follow the body, if any bytes are left. */
static bool
decode_loads (XDR *xdrs, size_t size, PhWireMessage *out)
{
  ph_x_loads x = { 0 };
  bool is_ok;

  if (xdr_getpos (xdrs) == size)
    return true;
  is_ok = xdr_ph_x_loads (xdrs, &x) && x.loads.loads_len > 0;
  for (u_int i = 0; is_ok && i < x.loads.loads_len; i++)
    {
      const ph_x_load *row = &x.loads.loads_val[i];

      out->loads[i] = (PhLoadEntry){
        .key = row->upstream,
        .age = (PhTime)(row->limit & UINT16_MAX) * PH_MS,
        .load
        = { row->calls >> 16, row->calls & UINT16_MAX, row->limit >> 16, 0, row->speed >> 16 },
        .cold_rate = row->speed & UINT16_MAX,
      };
    }
  out->message.loads = out->loads;
  out->message.load_count = is_ok ? x.loads.loads_len : 0;
  xdr_free ((xdrproc_t)xdr_ph_x_loads, &x);
  return is_ok;
}

size_t
ph_wire_size (const PhMessage *message)
{
  OutgoingBody outgoing;
  size_t size = 0;

  if (build_outgoing (message, &outgoing))
    size = xdr_sizeof ((xdrproc_t)xdr_ph_x_body, &outgoing.body) + PH_DATAGRAM_HEADER_SIZE;
  clear_outgoing (&outgoing);
  return size;
}

size_t
ph_wire_encode (
    const PhWireKey *key, const PhMessage *message, uint8_t *buffer, size_t size, PhError *err)
{
  OutgoingBody outgoing;
  XDR xdrs;
  size_t code_offset;
  size_t written = 0;

  if (!build_outgoing (message, &outgoing))
    {
      ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_GOSSIP, NULL,
                    "out of memory for a control message");
      goto done;
    }
  for (u_int i = 0; i < outgoing.body.objects.objects_len; i++)
    compress_text (&outgoing.body.objects.objects_val[i], &outgoing.compressed[i]);
  xdrmem_create (&xdrs, (char *)buffer, (u_int)size, XDR_ENCODE);
  code_offset = encode_header (&xdrs, message);
  if (code_offset == 0 || !xdr_ph_x_body (&xdrs, &outgoing.body) || !encode_loads (&xdrs, message))
    {
      ph_error_set (err, PH_ERROR_FULL, PH_STEP_GOSSIP, message->address,
                    "control message with %u records and %u objects does not fit in %zu bytes",
                    message->record_count, message->object_count, size);
      goto done;
    }
  written = xdr_getpos (&xdrs);
  compute_auth_code (key, buffer, written, code_offset, buffer + code_offset);

done:
  clear_outgoing (&outgoing);
  return written;
}

/* Decodes the RPC header. Returns the offset of the authentication code, or 0 when this is not a
 * message of the program and version with a verifier of its own flavor. The code is the last field
 * of the verifier, and its offset is known only if no padding follows: a length that is not a
 * multiple of the XDR unit is rejected. */
static size_t
decode_header (XDR *xdrs, struct rpc_msg *msg, bool is_reply)
{
  const struct opaque_auth *verifier;
  size_t code_offset;

  if (is_reply)
    {
      msg->acpted_rply.ar_results.proc = (xdrproc_t)xdr_no_results;
      if (!xdr_replymsg (xdrs, msg) || msg->rm_reply.rp_stat != MSG_ACCEPTED
          || msg->acpted_rply.ar_stat != SUCCESS)
        return 0;
      verifier = &msg->acpted_rply.ar_verf;
      code_offset = xdr_getpos (xdrs) - REPLY_STATUS_SIZE - AUTH_CODE_SIZE;
    }
  else
    {
      if (!xdr_callmsg (xdrs, msg) || msg->rm_call.cb_prog != PH_CONTROL
          || msg->rm_call.cb_vers != PH_CONTROL_V1)
        return 0;
      verifier = &msg->rm_call.cb_verf;
      code_offset = xdr_getpos (xdrs) - AUTH_CODE_SIZE;
    }
  return verifier->oa_flavor == VERIFIER_FLAVOR && verifier->oa_length > AUTH_CODE_SIZE
                 && verifier->oa_length % BYTES_PER_XDR_UNIT == 0
             ? code_offset
             : 0;
}

/* Compares authentication codes in constant time. */
static bool
are_codes_equal (const uint8_t *a, const uint8_t *b)
{
  uint8_t difference = 0;

  for (int i = 0; i < AUTH_CODE_SIZE; i++)
    difference |= a[i] ^ b[i];
  return difference == 0;
}

/* Decodes the body of the verifier into the sender's fields of the message. */
static bool
decode_verifier (const struct opaque_auth *auth, PhMessage *message)
{
  ph_x_verifier verifier = { 0 };
  XDR xdrs;
  bool is_ok;

  xdrmem_create (&xdrs, auth->oa_base, auth->oa_length, XDR_DECODE);
  is_ok = xdr_ph_x_verifier (&xdrs, &verifier) && xdr_getpos (&xdrs) == auth->oa_length
          && ph_text_copy (message->sender, sizeof message->sender, verifier.sender)
          && message->sender[0] != '\0';
  message->sender_epoch = verifier.epoch;
  message->sequence = verifier.sequence;
  message->receiver_epoch = verifier.receiver_epoch;
  xdr_free ((xdrproc_t)xdr_ph_x_verifier, &verifier);
  return is_ok;
}

/* Checks and copies a member record. */
static bool
record_from_xdr (const ph_x_record *x, PhMemberRecord *record)
{
  if (x->state > PH_MEMBER_LEFT || x->peer_port > UINT16_MAX || x->control_port > UINT16_MAX)
    return false;
  record->epoch = x->epoch;
  record->incarnation = x->incarnation;
  record->state = (PhMemberState)x->state;
  record->suspected_by = x->accuser;
  record->peer_port = (uint16_t)x->peer_port;
  record->control_port = (uint16_t)x->control_port;
  if (!ph_text_copy (record->name, sizeof record->name, x->name)
      || !ph_text_copy (record->address, sizeof record->address, x->address)
      || !ph_text_copy (record->data_centre, sizeof record->data_centre, x->data_centre)
      || !ph_text_copy (record->region, sizeof record->region, x->region))
    return false;
  if (x->upstream == NULL)
    return true;
  if (x->upstream->state > PH_UPSTREAM_DRAINING)
    return false;
  record->has_upstream = true;
  record->upstream_epoch = x->upstream->epoch;
  record->upstream_state = (PhUpstreamState)x->upstream->state;
  record->slots = x->upstream->slots;
  record->connections = x->upstream->connections;
  return ph_text_copy (record->service, sizeof record->service, x->upstream->service)
         && ph_text_copy (record->version, sizeof record->version, x->upstream->release);
}

/* Checks and copies digests and masks. */
static bool
sync_from_xdr (const ph_x_sync *x, PhSync *sync)
{
  u_int members = x->member_digests.member_digests_len;
  u_int objects = x->object_digests.object_digests_len;

  if (members != objects || (members != 0 && members != PH_SYNC_BUCKETS))
    return false;
  sync->is_partial = x->is_partial;
  sync->has_digests = members != 0;
  sync->member_mask = x->member_mask;
  sync->object_mask = x->object_mask;
  for (u_int i = 0; i < members; i++)
    {
      sync->member_digests[i] = x->member_digests.member_digests_val[i];
      sync->object_digests[i] = x->object_digests.object_digests_val[i];
    }
  return true;
}

/* Checks and copies the member records and objects of a decoded body. */
static bool
rows_from_xdr (PhWireMessage *out)
{
  const ph_x_body *body = &out->body;
  size_t budget = PH_WIRE_MESSAGE_MAX;
  u_int records = body->records.records_len;
  u_int objects = body->objects.objects_len;

  out->rows = calloc (records + 1, sizeof *out->rows);
  out->records = calloc (records + 1, sizeof (void *));
  out->objects = calloc (objects + 1, sizeof *out->objects);
  if (out->rows == NULL || out->records == NULL || out->objects == NULL)
    return false;
  for (u_int i = 0; i < records; i++)
    {
      if (!record_from_xdr (&body->records.records_val[i], &out->rows[i]))
        return false;
      out->records[i] = &out->rows[i];
    }
  for (u_int i = 0; i < objects; i++)
    {
      ph_x_object *x = &body->objects.objects_val[i];

      if (!decompress_text (x, &budget))
        return false;
      out->objects[i] = (PhMessageObject){ .path = x->path,
                                           .revision = x->revision,
                                           .is_deleted = x->is_deleted,
                                           .is_text_omitted = x->is_stub,
                                           .text = x->text.text_val,
                                           .size = x->text.text_len };
      /* An empty text is never a valid object and would be treated as a deletion. */
      if (x->path[0] == '\0' || (!x->is_deleted && !x->is_stub && x->text.text_len == 0))
        return false;
    }
  out->message.record_count = records;
  out->message.records = out->records;
  out->message.object_count = objects;
  out->message.objects = out->objects;
  return true;
}

/* Checks and copies the states of moves and the evidence of a decoded body. */
static bool
moves_from_xdr (PhWireMessage *out)
{
  const ph_x_body *body = &out->body;

  for (u_int i = 0; i < body->moves.moves_len; i++)
    {
      const ph_x_move *x = &body->moves.moves_val[i];

      if (x->reason >= PH_MOVE_REASON_COUNT || x->stage > PH_MOVE_STAGES)
        return false;
      out->moves[i] = (PhMoveState){ .path = x->path,
                                     .revision = x->revision,
                                     .stage = x->stage,
                                     .reason = (PhMoveReason)x->reason,
                                     .route_bucket = x->route,
                                     .is_bad = x->is_bad };
    }
  out->message.moves = out->moves;
  out->message.move_count = body->moves.moves_len;
  if (body->evidence == NULL)
    return true;
  out->evidence.path = body->evidence->path;
  out->evidence.revision = body->evidence->revision;
  out->evidence.is_new_version = body->evidence->is_new;
  out->evidence.started_calls = body->evidence->started_calls;
  memcpy (out->evidence.route_counts, body->evidence->counts, sizeof out->evidence.route_counts);
  out->message.evidence = &out->evidence;
  return true;
}

/* Checks a decoded body and fills in the message. The kind must match the RPC header. */
static bool
body_from_xdr (PhWireMessage *out, bool is_reply, rpcproc_t procedure)
{
  const ph_x_body *body = &out->body;
  PhMessage *message = &out->message;

  if (body->kind >= PH_MESSAGE_KIND_COUNT || kinds[body->kind].is_reply != is_reply
      || (!is_reply && kinds[body->kind].procedure != procedure))
    return false;
  message->kind = (PhMessageKind)body->kind;
  message->config_revision = body->config_revision;
  message->config_digest = body->config_digest;
  if (body->target != NULL)
    {
      message->target_epoch = body->target->epoch;
      message->target_port = (uint16_t)body->target->port;
      if (!ph_text_copy (message->target, sizeof message->target, body->target->name)
          || !ph_text_copy (message->target_address, sizeof message->target_address,
                            body->target->address))
        return false;
    }
  if (body->sync != NULL)
    {
      if (!sync_from_xdr (body->sync, &out->sync))
        return false;
      message->sync = &out->sync;
    }
  return rows_from_xdr (out) && moves_from_xdr (out);
}

bool
ph_wire_decode (
    const PhWireKey *key, const uint8_t *data, size_t size, PhWireMessage *out, PhError *err)
{
  char credential[MAX_AUTH_BYTES];
  char verifier[MAX_AUTH_BYTES];
  uint8_t code[AUTH_CODE_SIZE];
  struct rpc_msg msg = { 0 };
  /* The type of an RPC message is a 32-bit big-endian number after the 32-bit xid. */
  bool is_reply = size > 8 && data[7] == REPLY;
  size_t code_offset;
  XDR xdrs;

  memset (out, 0, sizeof *out);
  if (is_reply)
    msg.acpted_rply.ar_verf.oa_base = verifier;
  else
    {
      msg.rm_call.cb_cred.oa_base = credential;
      msg.rm_call.cb_verf.oa_base = verifier;
    }
  xdrmem_create (&xdrs, (char *)data, (u_int)size, XDR_DECODE);
  code_offset = decode_header (&xdrs, &msg, is_reply);
  if (code_offset == 0)
    return ph_error_set (err, PH_ERROR_PROTOCOL, PH_STEP_GOSSIP, NULL,
                         "not a control message of this protocol version");
  compute_auth_code (key, data, size, code_offset, code);
  if (!are_codes_equal (code, data + code_offset))
    return ph_error_set (err, PH_ERROR_AUTH, PH_STEP_GOSSIP, NULL,
                         "authentication code of the control message does not match");
  out->message.xid = msg.rm_xid;
  if (!decode_verifier (is_reply ? &msg.acpted_rply.ar_verf : &msg.rm_call.cb_verf, &out->message)
      || !xdr_ph_x_body (&xdrs, &out->body) || !decode_loads (&xdrs, size, out)
      || xdr_getpos (&xdrs) != size
      || !body_from_xdr (out, is_reply, is_reply ? 0 : msg.rm_call.cb_proc))
    {
      ph_wire_clear (out);
      return ph_error_set (err, PH_ERROR_PROTOCOL, PH_STEP_GOSSIP, NULL,
                           "verifier or body of the control message does not decode");
    }
  return true;
}

void
ph_wire_clear (PhWireMessage *message)
{
  xdr_free ((xdrproc_t)xdr_ph_x_body, &message->body);
  free (message->rows);
  free (message->records);
  free (message->objects);
  memset (message, 0, sizeof *message);
}
