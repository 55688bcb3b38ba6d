#ifndef PH_GOSSIP_H
#define PH_GOSSIP_H

#include "pollenhitch/config.h"
#include "pollenhitch/member.h"

/*
 * Dissemination of member records and configuration objects.
 *
 * A changed row is queued and passed on a bounded number of times: in rounds of
 * a few pushes to random members, then on probes. When nothing is queued there
 * are no rounds.
 */

/* A datagram's content: the message and the arrays that it points to. */
typedef struct
{
  PhMessage message;
  const PhMemberRecord *records[PH_MESSAGE_RECORDS_MAX];
  PhMessageObject objects[PH_MESSAGE_OBJECTS_MAX];
  PhMoveState moves[PH_DATAGRAM_MOVES_MAX];
  uint32_t size;       /* bound on the encoded size */
  uint32_t size_limit; /* largest size of the message, PH_DATAGRAM_MAX or less */
} PhGossipMessage;

/* ph_gossip_queue_member, ph_gossip_queue_object, ph_gossip_queue_move: a row changed. */
void ph_gossip_queue_member (PhContext *ctx, PhWorld *world, PhMemberId id);
void ph_gossip_queue_object (PhContext *ctx, PhWorld *world, PhObjectId id);

/* ph_gossip_observe_duplicate: another node passed on the record that is held here, so that others
 * know it too: fewer sends are left. */
void ph_gossip_observe_duplicate (PhWorld *world, PhMemberId id);

void ph_gossip_queue_move (PhContext *ctx, PhWorld *world, PhMoveId id);

/* ph_gossip_send_evidence: tell another node the own counts of a move. */
void ph_gossip_send_evidence (PhContext *ctx,
                              PhWorld *world,
                              const PhMemberRecord *to,
                              const PhMove *move,
                              const PhEvidence *own);

/* ph_gossip_begin: start a message to a member. */
void ph_gossip_begin (PhWorld *world,
                      PhMessageKind kind,
                      const PhMemberRecord *to,
                      PhGossipMessage *out);

/* ph_gossip_add: add one record, whether queued or not. Returns false when it does not fit. */
bool ph_gossip_add (PhGossipMessage *out, const PhMemberRecord *record);

/* ph_gossip_pad: fill the message with copies of a record, for its size alone. */
void ph_gossip_pad (PhGossipMessage *out, const PhMemberRecord *record);

/* ph_gossip_send: fill up with queued rows, number the message and pass it to the runtime. */
void ph_gossip_send (PhContext *ctx, PhWorld *world, PhGossipMessage *out);

/* ph_gossip_timer: a round is due. */
void ph_gossip_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

#endif
