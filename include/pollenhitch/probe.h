#ifndef PH_PROBE_H
#define PH_PROBE_H

#include "pollenhitch/limit.h"
#include "pollenhitch/upstream.h"

/*
 * Health probes of the local upstream, within the probe budget of its service.
 *
 * Only the upstream's node probes it. The node's share is the budget divided by
 * the number of members with an upstream of the service, rounded down; a dead
 * member counts for PH_PROBE_DEAD_MEMBER_TIME. The share bounds the probes in
 * each window of PH_PROBE_WINDOW; unused probes are not carried over.
 *
 * A node has a share only after the membership was complete for a window: every
 * member that counts for the share is alive, and so is some member in each data
 * centre that is in service. Before that, other members may not count this node,
 * and the previous process of the node may have used its share. A member that
 * leaves counts until the end of the next window. The reasons are in
 * docs/decisions/probe-budget.md.
 *
 * A probe that is requested by ph_probe_request or ph_probe_refresh_slowdown is
 * subject to the budget of the service, but not to the share. It is sent only
 * with a budget far above the default, see these functions.
 *
 * A health check is a probe whose response is decoded to a PhHealth. The runtime
 * passes that to ph_registration_apply_health, and then calls ph_probe_result.
 */

/* One second longer than the minute of the budget, because the time between sending a probe and its
 * arrival at the upstream varies. */
#define PH_PROBE_WINDOW (61 * PH_SECOND)

/* Time for which a dead member still counts for the share. It must be longer than a partition,
 * which occasionally lasts about an hour. The membership keeps dead members at least as long. */
#define PH_PROBE_DEAD_MEMBER_TIME (6 * 3600 * PH_SECOND)

#define PH_PROBE_PERIOD PH_SECOND        /* period of ph_probe_timer */
#define PH_PROBE_TIMEOUT (2 * PH_SECOND) /* a probe without a result has failed after this time */
#define PH_PROBE_SHARE_MAX 60u           /* the timer sends at most one probe a second */

typedef struct
{
  PhServiceId service;              /* service of the local upstream, or 0 */
  PhTime membership_complete_since; /* last time at which the membership was incomplete */
  bool is_counted_by_members; /* the other members count this node by now, because the membership
                                 was complete for a window */
  /* Maximum number of other members that counted, in this and in the last window. */
  uint32_t max_other_probers[2];
  PhTime window_began_at;             /* start of this window */
  PhTime sent_at[PH_PROBE_SHARE_MAX]; /* ring of the times of the last probes */
  uint32_t sent_count;                /* the last one is at (sent_count - 1) % PH_PROBE_SHARE_MAX */
  PhTime last_outcome_at;             /* last outcome of a call or a probe, except UNKNOWN */
  PhUpstreamId open_upstream;         /* upstream of the probe in flight, or 0 */
  uint32_t open_generation;           /* PhAdmission.upstream_generation when it was sent */
  uint32_t consecutive_failures; /* failed probes since the last success of a probe or a call */
  PhTime down_until; /* no call is admitted before; then calls are admitted as in a cold start */
  bool is_requested; /* ph_probe_request was called, and no probe was sent since */
} PhProbe;

/* ph_probe_init: start the timer. Called by ph_world_new. */
void ph_probe_init (PhContext *ctx, PhWorld *world);

/* ph_probe_timer: update the share, expire the probe in flight, and send a probe if one is due.
 * handle is 0 for the periodic run and 1 for one that ph_probe_request scheduled. */
void ph_probe_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/*
 * ph_probe_result: apply the result of a probe that took latency microseconds.
 *
 * To be called once for each send_probe. A result is ignored if no probe of this
 * upstream is in flight; ph_probe_timer expires a probe in its first run after
 * PH_PROBE_TIMEOUT.
 */
void ph_probe_result (PhContext *ctx, PhWorld *world, PhUpstreamId id, bool is_ok, PhTime latency);

/*
 * ph_probe_request: send a probe soon, even if calls show the upstream's state.
 *
 * It is sent only if the budget of the service is at least 60 a minute for each
 * node that probes the service, and at least 32 * 60 a minute.
 *
 * Used when some of that state is not known: the node has started, or the
 * upstream may have become cold.
 */
void ph_probe_request (PhContext *ctx, PhWorld *world);

/*
 * ph_probe_refresh_slowdown: refresh the slowdown of the local upstream before a
 * call is admitted.
 *
 * Sends a probe if the upstream reports its slowdown, the last report is old,
 * a slot is free, and the time since this node's last probe is at least that of
 * a budget divided equally among all known members, dead ones included (not the
 * share). Never with a budget below 600 probes a minute, while a probe is in
 * flight, or while the rate limit for a cold upstream applies. Returns true when a probe was sent:
 * the call may wait for its result.
 */
bool ph_probe_refresh_slowdown (PhContext *ctx, PhWorld *world);

/* ph_probe_observe: apply the outcome of an attempt at the local upstream. */
void ph_probe_observe (PhContext *ctx, PhWorld *world, PhOutcome outcome);

/* ph_probe_is_down: whether probes failed and no call may be admitted now. */
bool ph_probe_is_down (const PhContext *ctx, const PhWorld *world);

/* ph_probe_share: probes that this node may send in a window; 0 until it has a share. */
uint32_t ph_probe_share (const PhWorld *world);

#endif
