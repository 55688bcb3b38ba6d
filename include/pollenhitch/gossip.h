#ifndef PH_GOSSIP_H
#define PH_GOSSIP_H

#include "pollenhitch/config.h"
#include "pollenhitch/member.h"

/*
 * Gossip: dissemination of member records, configuration objects and states of
 * moves.
 *
 * A changed row is queued and sent a bounded number of times: first in gossip
 * rounds, each of which pushes to a few random members, then piggybacked on
 * pings and other messages. Rounds take place only while rows are queued for
 * them.
 *
 * Handles must be valid.
 */

/* A datagram under construction: the message and the arrays that it points to. */
typedef struct
{
  PhMessage message;
  const PhMemberRecord *records[PH_MESSAGE_RECORDS_MAX];
  PhMessageObject objects[PH_MESSAGE_OBJECTS_MAX];
  PhMoveState moves[PH_DATAGRAM_MOVES_MAX];
  PhLoadEntry loads[PH_MESSAGE_LOADS_MAX];
  uint32_t size;       /* upper bound on the encoded size so far, bytes */
  uint32_t size_limit; /* maximum of size, at most PH_DATAGRAM_MAX */
} PhGossipMessage;

/* ph_gossip_queue_member, ph_gossip_queue_object: queue a changed row for dissemination. A row that
 * is queued already starts again with its full number of sends. */
void ph_gossip_queue_member (PhContext *ctx, PhWorld *world, PhMemberId id);
void ph_gossip_queue_object (PhContext *ctx, PhWorld *world, PhObjectId id);

/* ph_gossip_observe_duplicate: another node sent the same record as the one held here, so it is
 * spreading already; reduces the number of sends left. */
void ph_gossip_observe_duplicate (PhWorld *world, PhMemberId id);

/* ph_gossip_backlog: number of member records that wait for gossip rounds, without those that are
 * only piggybacked any more. */
uint32_t ph_gossip_backlog (const PhWorld *world);

/* ph_gossip_queue_move: like ph_gossip_queue_member, for a move whose state has changed. */
void ph_gossip_queue_move (PhContext *ctx, PhWorld *world, PhMoveId id);

/* ph_gossip_send_evidence: send this node's counts for a move to another node. */
void ph_gossip_send_evidence (PhContext *ctx,
                              PhWorld *world,
                              const PhMemberRecord *to,
                              const PhMove *move,
                              const PhEvidence *own);

/* ph_gossip_begin: initialise an empty message to a member. */
void ph_gossip_begin (PhWorld *world,
                      PhMessageKind kind,
                      const PhMemberRecord *to,
                      PhGossipMessage *out);

/* ph_gossip_add: add one record, which is borrowed until the message is sent. Returns false when it
 * does not fit. */
bool ph_gossip_add (PhGossipMessage *out, const PhMemberRecord *record);

/* ph_gossip_pad: fill the message with copies of a record, to make it as large as possible, so that
 * a reply that may be no larger has room for records. */
void ph_gossip_pad (PhGossipMessage *out, const PhMemberRecord *record);

/* ph_gossip_send: fill the rest of the message with queued rows and loads, set its sequence and
 * pass it to the runtime. */
void ph_gossip_send (PhContext *ctx, PhWorld *world, PhGossipMessage *out);

/* ph_gossip_timer: run a gossip round. handle is not used. */
void ph_gossip_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

#endif
