#ifndef PH_CHOICE_H
#define PH_CHOICE_H

#include "pollenhitch/call.h"

/*
 * Choice of an upstream for an attempt.
 *
 * The list of a service's upstreams is kept in order of candidate group (see PhPreference), so
 * that a choice draws from the upstreams that may be chosen only, whatever
 * their number. Every change of what a group depends on calls one of the
 * ph_choice functions below, and takes time in the number of groups.
 *
 * A policy is a callback with a context pointer, so that the measurements can
 * compare policies in one build.
 */
typedef PhUpstreamId (*PhChooseFunc) (
    void *user, PhContext *ctx, PhWorld *world, PhService *service, const PhCall *call);

/*
 * ph_choose_power_of_two: power of two choices (Mitzenmacher 2001) in each preference, the
 * first in turn and the second at random, by expected time: latency, aged,
 * with a wait that grows with the use of the limit, plus distance.
 * Suspended upstreams are chosen only when all that are not out are suspended.
 * O(1). Returns 0 when no upstream may be chosen.
 */
PhUpstreamId ph_choose_power_of_two (
    void *user, PhContext *ctx, PhWorld *world, PhService *service, const PhCall *call);

/* ph_choose_round_robin: the next allowed upstream in turn. Baseline of the measurements. */
PhUpstreamId ph_choose_round_robin (
    void *user, PhContext *ctx, PhWorld *world, PhService *service, const PhCall *call);

/* ph_choice_eligible_count: upstreams that may be chosen now, of all versions. */
uint32_t ph_choice_eligible_count (const PhService *service);

/* ph_choice_is_eligible: whether a call may be sent to this upstream when others are not suspended.
 */
bool ph_choice_is_eligible (const PhContext *ctx,
                            const PhWorld *world,
                            const PhUpstream *upstream,
                            PhUpstreamId id,
                            const PhCall *call);

/* ph_choice_cost: expected time of a call at this upstream, in microseconds. */
double ph_choice_cost (const PhContext *ctx,
                       const PhWorld *world,
                       const PhService *service,
                       const PhUpstream *upstream);

/* ph_choice_add, ph_choice_remove: put an upstream into its service's list, or take it out. */
void ph_choice_add (PhContext *ctx, PhWorld *world, PhUpstreamId id);
void ph_choice_remove (PhWorld *world, PhUpstreamId id);

/* ph_choice_update_group: the state of an upstream changed; a stale handle is ignored. */
void ph_choice_update_group (PhContext *ctx, PhWorld *world, PhUpstreamId id);

/* ph_choice_data_centre_changed: a data centre was taken out or came back. */
void ph_choice_data_centre_changed (PhContext *ctx, PhWorld *world, PhDataCentreId id);

/*
 * ph_choice_set_move: this share of a service's calls, 0 to 1, goes to upstreams of the version.
 *
 * All other calls go to upstreams of other versions only. When no upstream of
 * the version can be chosen, its share goes to the others too. version "" ends
 * the move. To be called again when the share changes.
 */
void ph_choice_set_move (
    PhContext *ctx, PhWorld *world, PhServiceId id, const char *version, double share);

/* ph_choice_suspend: an upstream is not chosen for a time. is_withdrawn: it refused because it is
 * leaving, and is not tried even when all others are suspended. */
void ph_choice_suspend (
    PhContext *ctx, PhWorld *world, PhUpstreamId id, PhTime duration, bool is_withdrawn);

/* ph_choice_suspend_timer: the suspension of an upstream may have run out. */
void ph_choice_suspend_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/* ph_choice_load_reported: a new load report is in the upstream's row. */
void ph_choice_load_reported (PhContext *ctx, PhWorld *world, PhUpstreamId id);

/* ph_choice_record_failure: an upstream's response says that it failed, or it refused a call. */
void ph_choice_record_failure (PhContext *ctx, PhWorld *world, PhUpstreamId id);

/* ph_choice_observe_latency: an attempt ended after the time elapsed. is_complete is false when it
 * was given up, so that the time is a lower bound. */
void ph_choice_observe_latency (
    PhContext *ctx, PhWorld *world, PhUpstreamId id, PhTime elapsed, bool is_complete);

#endif
