#ifndef PH_SYNC_H
#define PH_SYNC_H

#include "pollenhitch/config.h"
#include "pollenhitch/member.h"

/*
 * Sync (anti-entropy): exchange of tables between two nodes.
 *
 * The first request carries one digest for each bucket of members and of
 * objects, so a sync between nodes with equal tables costs about 1 KB. The
 * reply holds the rows of the buckets that differ. The second request holds the
 * rows that the other node lacks or has in an older revision; it is not sent when
 * there are none. The reply to it holds no rows except the states of moves, which
 * each message of a sync holds.
 */

/* Bytes of rows in one message. An object that is larger than this is sent alone. */
#define PH_SYNC_BYTES_MAX (256u * 1024)

/* Syncs that one node may have started and that are in progress at the same time: more than one
 * only during a catch-up, in which a sync that waits for lost packets must not delay the next. */
#define PH_CATCH_UP_OPEN_SYNCS_MAX 3

/* A message of a sync and its rows. The arrays are owned; records and texts are borrowed from the
 * tables, so the message must be encoded before the next call into the core. */
typedef struct
{
  PhMessage message;
  PhSync sync;
  const PhMemberRecord **records;
  PhMessageObject *objects;
  PhMoveState moves[PH_MOVES_MAX];
} PhSyncMessage;

/* ph_sync_message_clear: free the arrays of a message. */
void ph_sync_message_clear (PhSyncMessage *message);

/* ph_sync_start: request a sync with a member from the runtime, by a SYNC message. Does nothing
 * while a sync that this node started is open, within 200 ms of the start of the last one (during a
 * catch-up: three syncs, 100 ms), or if the handle is stale or this node's own. */
void ph_sync_start (PhContext *ctx, PhWorld *world, PhMemberId id);

/* ph_sync_build_request: build the first request, with digests. to is the message that was passed
 * to send_message. *out is to be cleared with ph_sync_message_clear only when true was returned.
 * Returns false with err set when memory runs out. */
bool ph_sync_build_request (
    PhContext *ctx, PhWorld *world, const PhMessage *to, PhSyncMessage *out, PhError *err);

/*
 * ph_sync_handle_request: merge the rows of a received request and build the reply.
 *
 * Returns false with err set when the message has no sync part or ph_member_accept
 * rejects it (PH_ERROR_AUTH, its rows are not merged), or when memory runs out
 * (PH_ERROR_MEMORY, they are merged). *out is to be cleared
 * with ph_sync_message_clear only when true was returned.
 */
bool ph_sync_handle_request (
    PhContext *ctx, PhWorld *world, const PhMessage *request, PhSyncMessage *out, PhError *err);

/*
 * ph_sync_handle_reply: merge the rows of a received reply and build the second request.
 *
 * Returns false when there is nothing to send. err is set only when the message was rejected
 * (PH_ERROR_STATE) or memory ran out (PH_ERROR_MEMORY). *out is to be cleared with
 * ph_sync_message_clear only when true was returned.
 */
bool ph_sync_handle_reply (
    PhContext *ctx, PhWorld *world, const PhMessage *reply, PhSyncMessage *out, PhError *err);

/* ph_sync_end: the sync that was requested by send_message has ended; is_ok when it succeeded. A
 * failed one is followed by a sync with another member during a catch-up, or while the digests of
 * the configuration differ. */
void ph_sync_end (PhContext *ctx, PhWorld *world, bool is_ok);

/*
 * ph_sync_catch_up: start a sync if more member records wait for gossip than a few rounds can carry
 * (setting --catch-up-syncs; does nothing without it).
 *
 * Called in each gossip round. When many nodes start at the same time, the queue of records would
 * delay each of them by seconds, while a sync exchanges all of them at once.
 */
void ph_sync_catch_up (PhContext *ctx, PhWorld *world);

/* ph_sync_compare: compare the configuration revision and digest in a received message with this
 * node's, and start a sync with the sender when this node is behind, or when the digests have
 * differed for more than 1 s. */
void ph_sync_compare (PhContext *ctx, PhWorld *world, const PhMessage *message, PhMemberId sender);

#endif
