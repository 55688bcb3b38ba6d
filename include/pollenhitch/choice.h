#ifndef PH_CHOICE_H
#define PH_CHOICE_H

#include "pollenhitch/call.h"

/*
 * Choice of an upstream for an attempt.
 *
 * The upstreams of a service are kept sorted by candidate group (see PhPreference), so that a
 * choice draws only from upstreams that are eligible, however many there are. Most changes that
 * affect the group of an upstream are reported by one of the ph_choice functions below; the rest
 * is noticed when the upstream is drawn. A report for one upstream takes time proportional to the
 * number of groups, one for a data centre or a move also to the number of upstreams.
 *
 * ph_choice_add, ph_choice_remove and ph_choice_load_reported need a valid handle; the other
 * functions ignore a stale one.
 *
 * A policy is a callback with a context pointer, so that benchmarks can compare policies in one
 * build. It returns 0 if no upstream is available.
 */
typedef PhUpstreamId (*PhChooseFunc) (
    void *user, PhContext *ctx, PhWorld *world, PhService *service, const PhCall *call);

/*
 * ph_choose_power_of_two: power of two choices (Mitzenmacher 2001) within each preference.
 *
 * The first candidate is taken in rotation and the second at random. The one with the lower
 * ph_choice_cost is chosen, with some hysteresis in favour of the first one and of the nearer
 * preference. Suspended upstreams are chosen only if all upstreams that are not excluded, of
 * the version that the call goes to (see ph_choice_set_move), are suspended. Takes constant time,
 * except that with --fleet-capacity all upstreams are examined if the two candidates are full.
 */
PhUpstreamId ph_choose_power_of_two (
    void *user, PhContext *ctx, PhWorld *world, PhService *service, const PhCall *call);

/* ph_choose_round_robin: the next eligible upstream in rotation. The baseline for benchmarks.
 * Ignores preferences, loads and the share of a move, and never chooses a suspended upstream. May
 * return 0 although an eligible upstream is left, while the order of the service's list is out of
 * date. */
PhUpstreamId ph_choose_round_robin (
    void *user, PhContext *ctx, PhWorld *world, PhService *service, const PhCall *call);

/* ph_choice_has_free_slot: whether an eligible upstream that the call has not tried is known to
 * have a free slot. False without --fleet-capacity. */
bool ph_choice_has_free_slot (const PhContext *ctx,
                              const PhWorld *world,
                              const PhService *service,
                              const PhCall *call);

/* ph_choice_eligible_count: number of upstreams of all versions that are neither suspended nor
 * excluded. */
uint32_t ph_choice_eligible_count (const PhService *service);

/* ph_choice_is_eligible: whether the upstream is neither suspended nor excluded, and the call has
 * not been sent to it yet. upstream is the row of id. */
bool ph_choice_is_eligible (const PhContext *ctx,
                            const PhWorld *world,
                            const PhUpstream *upstream,
                            PhUpstreamId id,
                            const PhCall *call);

/* ph_choice_cost: expected duration of a call at this upstream, in microseconds: its latency,
 * weighted with its age and the VM's slowdown, plus a wait that grows with the utilization, plus
 * the delay to another data centre or region. */
double ph_choice_cost (const PhContext *ctx,
                       const PhWorld *world,
                       const PhService *service,
                       const PhUpstream *upstream);

/* ph_choice_add, ph_choice_remove: add an upstream to the list of its service, or remove it. */
void ph_choice_add (PhContext *ctx, PhWorld *world, PhUpstreamId id);
void ph_choice_remove (PhWorld *world, PhUpstreamId id);

/* ph_choice_update_group: the state of an upstream changed. */
void ph_choice_update_group (PhContext *ctx, PhWorld *world, PhUpstreamId id);

/* ph_choice_data_centre_changed: a data centre was taken out of service or put back. */
void ph_choice_data_centre_changed (PhContext *ctx, PhWorld *world, PhDataCentreId id);

/* Traffic of a move: the share of the calls that goes to a version. */
typedef struct
{
  const char *version; /* "" for no move */
  double share;        /* from 0 to 1 */
  uint64_t path_hash;  /* of the move */
  /* Of the version, only upstreams are chosen for which ph_hash_mix of the hash of their VM's name
   * and path_hash is at least this; 0 for all. */
  uint64_t score_min;
} PhMoveTraffic;

/*
 * ph_choice_set_move: send a share of the calls to upstreams of a version.
 *
 * All other calls go to upstreams of other versions only. If no upstream of the version is
 * available, its share also goes to the other versions. Must be called again when the traffic
 * changes.
 */
void
ph_choice_set_move (PhContext *ctx, PhWorld *world, PhServiceId id, const PhMoveTraffic *traffic);

/* ph_choice_suspend: stop choosing an upstream for duration microseconds; a suspension that ends
 * later remains. is_withdrawn: its node refused calls because the choice was stale (see
 * PhUpstream), and it is not chosen even if all others are suspended. */
void ph_choice_suspend (
    PhContext *ctx, PhWorld *world, PhUpstreamId id, PhTime duration, bool is_withdrawn);

/* ph_choice_suspend_timer: the suspension of an upstream may have expired. handle is that of a
 * PhUpstreamId. */
void ph_choice_suspend_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/* ph_choice_load_reported: a new load report was stored in the upstream's row. If the report
 * has a latency, updates the latency estimates of the upstream and of its service. */
void ph_choice_load_reported (PhContext *ctx, PhWorld *world, PhUpstreamId id);

/* ph_choice_record_failure: an upstream sent an error response or refused a call. Raises the
 * estimate of its latency, but does not suspend it. Does nothing if its last load report has a
 * latency, because that accounts for failures. */
void ph_choice_record_failure (PhContext *ctx, PhWorld *world, PhUpstreamId id);

/* ph_choice_observe_latency: the head of a response arrived, or an attempt was abandoned, after
 * elapsed microseconds. has_responded: false if it was abandoned, so that elapsed is a lower bound.
 */
void ph_choice_observe_latency (
    PhContext *ctx, PhWorld *world, PhUpstreamId id, PhTime elapsed, bool has_responded);

#endif
