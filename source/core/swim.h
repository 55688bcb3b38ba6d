#ifndef PH_SWIM_H
#define PH_SWIM_H

#include "pollenhitch/world.h"

/*
 * Failure detection, within the core: probes, suspicion and refutation. Called by member.c.
 */

/* ph_swim_handle_state_change: a member's record was replaced by a newer one. */
void ph_swim_handle_state_change (PhContext *ctx, PhWorld *world, PhMemberId id, bool was_live);

/* ph_swim_confirm_suspicion: a record that is not newer arrived; when another member suspects the
 * same incarnation, the suspicion is shortened. */
void ph_swim_confirm_suspicion (PhContext *ctx,
                                PhWorld *world,
                                PhMemberId id,
                                const PhMemberRecord *record);

/* ph_swim_handle_self_suspicion: this node was suspected, so its own health is in doubt. */
void ph_swim_handle_self_suspicion (PhWorld *world);

/* ph_swim_acknowledge: acknowledge a ping. sender is 0 when it is not known as a member. */
void
ph_swim_acknowledge (PhContext *ctx, PhWorld *world, const PhMessage *message, PhMemberId sender);

/* ph_swim_handle_unknown_sender: a message came from a process that is not known as a member. */
void ph_swim_handle_unknown_sender (PhContext *ctx, PhWorld *world, const PhMessage *message);

/* ph_swim_handle_stale_target: a ping came that was for a predecessor at this address; its sender
 * learns by a hello that another process runs here now. */
void ph_swim_handle_stale_target (PhContext *ctx, PhWorld *world, const PhMessage *message);

/* ph_swim_handle_stale_sender: a ping came from a process with an earlier epoch than the one held
 * of its name; sends it the record that it has to exceed. */
void ph_swim_handle_stale_sender (PhContext *ctx,
                                  PhWorld *world,
                                  const PhMessage *message,
                                  PhMemberId held);

/* ph_swim_receive: a message came from a known member; its records are merged. */
void ph_swim_receive (PhContext *ctx, PhWorld *world, const PhMessage *message, PhMemberId sender);

/* ph_swim_evict_oldest: make room in a full table of members. */
void ph_swim_evict_oldest (PhContext *ctx, PhWorld *world);

/* ph_member_evict: remove a member's row and its upstream. */
void ph_member_evict (PhContext *ctx, PhWorld *world, PhMemberId id);

#endif
