#ifndef PH_WIRE_CONTROL_H
#define PH_WIRE_CONTROL_H

#include "pollenhitch/member.h"
#include "wire/control_xdr.h"

/*
 * Messages between nodes: ONC RPC calls and replies. Their verifier holds the
 * sender and an HMAC-SHA256 over the whole message.
 */

#define PH_WIRE_KEY_MAX 64 /* bytes */
#define PH_WIRE_KEY_MIN 16 /* bytes */

/* Bytes of a message over TCP, and of all decompressed texts of a message. */
#define PH_WIRE_MESSAGE_MAX (3u * 1024 * 1024)

typedef struct
{
  uint8_t bytes[PH_WIRE_KEY_MAX];
  size_t size;
} PhWireKey;

/* A decoded message and the rows that it points to. */
typedef struct
{
  PhMessage message;
  PhSync sync;
  PhMemberRecord *rows;           /* owned */
  const PhMemberRecord **records; /* owned; pointers to rows */
  PhMessageObject *objects;       /* owned; their texts belong to body */
  PhMoveState moves[PH_MOVES_MAX];
  PhMoveEvidence evidence;
  PhLoadEntry loads[PH_MESSAGE_LOADS_MAX];
  ph_x_body body; /* decoded XDR, owned */
} PhWireMessage;

/* ph_wire_key_parse: read a key in hexadecimal of PH_WIRE_KEY_MIN to PH_WIRE_KEY_MAX bytes.
 * Returns false with err set for other text. */
bool ph_wire_key_parse (const char *text, PhWireKey *key, PhError *err);

/* ph_wire_size: upper bound of the encoded size in bytes; large texts may be compressed below
 * it. Returns 0 when memory runs out. */
size_t ph_wire_size (const PhMessage *message);

/* ph_wire_encode: encode a message with its authentication code. Returns the bytes written, or 0
 * with err set when the message does not fit or memory runs out. */
size_t ph_wire_encode (
    const PhWireKey *key, const PhMessage *message, uint8_t *buffer, size_t size, PhError *err);

/*
 * ph_wire_decode: authenticate and decode a message.
 *
 * Only the RPC header is decoded before the authentication code is checked.
 * Returns false with err set when the message is not valid or memory runs out. On
 * true, free it with ph_wire_clear. The caller sets address, port and datagram_size
 * of the message.
 */
bool ph_wire_decode (
    const PhWireKey *key, const uint8_t *data, size_t size, PhWireMessage *out, PhError *err);

/* ph_wire_clear: free a decoded message. */
void ph_wire_clear (PhWireMessage *message);

#endif
