#ifndef PH_SWIM_H
#define PH_SWIM_H

#include "pollenhitch/world.h"

/*
 * Failure detector of the membership protocol: member probes (here and in swim.c
 * just probes), suspicion and refutation. Internal to the core; called by
 * member.c. swim.c also defines ph_member_add_seed, ph_member_random and the
 * timer functions of member.h.
 *
 * Handles must be valid, except where a note says that 0 is allowed.
 */

/* ph_swim_handle_state_change: a member's record was replaced by a newer one. Adds a member that
 * has become live to the probe order, and starts the timeout of a suspicion. was_live is whether
 * the old record was alive or suspect. */
void ph_swim_handle_state_change (PhContext *ctx, PhWorld *world, PhMemberId id, bool was_live);

/* ph_swim_confirm_suspicion: a record was received that is not newer than the one held. If it is an
 * independent suspicion of the same incarnation, by a member that is not counted yet, shortens the
 * suspicion. */
void ph_swim_confirm_suspicion (PhContext *ctx,
                                PhWorld *world,
                                PhMemberId id,
                                const PhMemberRecord *record);

/* ph_swim_handle_self_suspicion: another node suspects this one, or declared it dead; raises the
 * local health score, of which 0 is healthy. */
void ph_swim_handle_self_suspicion (PhWorld *world);

/* ph_swim_acknowledge: reply to a ping. sender is 0 when it is not a known member; the reply is
 * then no larger than the ping. */
void
ph_swim_acknowledge (PhContext *ctx, PhWorld *world, const PhMessage *message, PhMemberId sender);

/* ph_swim_handle_unknown_sender: a message was received from a process that is not a known member.
 * Acknowledges a ping, and sends a hello to learn the sender's record. */
void ph_swim_handle_unknown_sender (PhContext *ctx, PhWorld *world, const PhMessage *message);

/* ph_swim_handle_stale_target: a ping was received that is for a previous process at this address.
 * Sends a hello, by which the sender learns of the current process. */
void ph_swim_handle_stale_target (PhContext *ctx, PhWorld *world, const PhMessage *message);

/* ph_swim_handle_stale_sender: a ping was received from a process whose epoch is lower than the one
 * held for its name. Sends it the record held, above which it has to raise its epoch. The reply is
 * larger than the ping only within the rate limit for hellos. */
void ph_swim_handle_stale_sender (PhContext *ctx,
                                  PhWorld *world,
                                  const PhMessage *message,
                                  PhMemberId held);

/* ph_swim_receive: handle a message of a known member, whose records are merged already. */
void ph_swim_receive (PhContext *ctx, PhWorld *world, const PhMessage *message, PhMemberId sender);

/* ph_swim_evict_oldest: remove the dead or left member that has not changed for the longest time,
 * to make room in a full table. Does nothing when all members are live. */
void ph_swim_evict_oldest (PhContext *ctx, PhWorld *world);

/* ph_member_evict: remove the rows of a member and of its upstream. Defined in member.c. */
void ph_member_evict (PhContext *ctx, PhWorld *world, PhMemberId id);

#endif
