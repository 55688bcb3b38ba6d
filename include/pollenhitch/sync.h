#ifndef PH_SYNC_H
#define PH_SYNC_H

#include "pollenhitch/config.h"
#include "pollenhitch/member.h"

/*
 * Exchange of tables between two nodes (anti-entropy).
 *
 * The first request carries one digest for each bucket of members and of
 * objects, so that equal tables cost about 1 KB. The reply holds the rows of the
 * buckets that differ, and the second request the rows that the other side has
 * not, or has older.
 */

#define PH_SYNC_BYTES_MAX (256u * 1024) /* of one message; one larger object travels alone */

/* Rows chosen for a message; the arrays are owned and the rows borrowed. */
typedef struct
{
  PhMessage message;
  PhSync sync;
  const PhMemberRecord **records;
  PhMessageObject *objects;
  PhMoveState moves[PH_MOVES_MAX];
} PhSyncMessage;

/* ph_sync_message_clear: free the arrays. */
void ph_sync_message_clear (PhSyncMessage *message);

/* ph_sync_start: ask the runtime for an exchange with a member, unless one is open. */
void ph_sync_start (PhContext *ctx, PhWorld *world, PhMemberId id);

/* ph_sync_build_request: the first request, with digests. to is the message given to send_message.
 */
bool ph_sync_build_request (
    PhContext *ctx, PhWorld *world, const PhMessage *to, PhSyncMessage *out, PhError *err);

/*
 * ph_sync_handle_request: a request came. Merges its rows and prepares the reply.
 *
 * Returns false, with nothing changed, when the message is not accepted.
 */
bool ph_sync_handle_request (
    PhContext *ctx, PhWorld *world, const PhMessage *request, PhSyncMessage *out, PhError *err);

/*
 * ph_sync_handle_reply: the reply came. Merges its rows and prepares the second request.
 *
 * Returns false when there is nothing to send back.
 */
bool ph_sync_handle_reply (
    PhContext *ctx, PhWorld *world, const PhMessage *reply, PhSyncMessage *out, PhError *err);

/* ph_sync_end: the exchange that send_message asked for has ended. */
void ph_sync_end (PhContext *ctx, PhWorld *world, bool is_ok);

/* ph_sync_compare: a message told another node's revision and digest of the configuration. */
void ph_sync_compare (PhContext *ctx, PhWorld *world, const PhMessage *message, PhMemberId sender);

#endif
