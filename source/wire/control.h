#ifndef PH_WIRE_CONTROL_H
#define PH_WIRE_CONTROL_H

#include "pollenhitch/member.h"
#include "wire/control_xdr.h"

/*
 * Messages between nodes: ONC RPC calls and replies with a verifier that holds
 * the sender and an HMAC-SHA256 over the whole message.
 */

#define PH_WIRE_KEY_MAX 64
#define PH_WIRE_KEY_MIN 16
#define PH_WIRE_RECORD_MAX (3u * 1024 * 1024) /* of a message over TCP */

typedef struct
{
  uint8_t bytes[PH_WIRE_KEY_MAX];
  size_t size;
} PhWireKey;

/* A decoded message with what it points to. */
typedef struct
{
  PhMessage message;
  PhSync sync;
  PhMemberRecord *rows;
  const PhMemberRecord **records;
  PhMessageObject *objects;
  PhMoveState moves[PH_MOVES_MAX];
  PhMoveEvidence evidence;
  ph_x_body body;
} PhWireMessage;

/* ph_wire_key_parse: read a key of PH_WIRE_KEY_MIN to PH_WIRE_KEY_MAX bytes in hexadecimal. */
bool ph_wire_key_parse (const char *text, PhWireKey *key, PhError *err);

/* ph_wire_size: bound on the bytes of the encoded message, whose large texts may be compressed. */
size_t ph_wire_size (const PhMessage *message);

/* ph_wire_encode: returns the bytes written, or 0 with err set when the message does not fit. */
size_t ph_wire_encode (
    const PhWireKey *key, const PhMessage *message, uint8_t *buffer, size_t size, PhError *err);

/*
 * ph_wire_decode: check and decode a message.
 *
 * Nothing but the RPC header is decoded before the authentication code is
 * checked. On true, the message must be cleared with ph_wire_clear. address and
 * port of the message are left to the caller.
 */
bool ph_wire_decode (
    const PhWireKey *key, const uint8_t *data, size_t size, PhWireMessage *out, PhError *err);
void ph_wire_clear (PhWireMessage *message);

#endif
