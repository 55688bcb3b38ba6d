#ifndef PH_PROBE_H
#define PH_PROBE_H

#include "pollenhitch/limit.h"
#include "pollenhitch/upstream.h"

/*
 * Probes of the local upstream, within the budget of its service.
 *
 * Only the node beside an upstream probes it. Its share is the budget divided by
 * the number of upstreams of the service that were seen lately, reachable or
 * not, rounded down. The share is an upper bound for each window of
 * PH_PROBE_WINDOW; unused probes are not carried over.
 *
 * A node has a share only after the membership was whole for a window: all
 * members of the service that were seen lately are alive, and so is some member
 * in each data centre that is in service. Until then others may not count this
 * node, and the process before it may have used its share. A member that goes
 * counts for one more window. docs/decisions/probe-budget.md has the argument.
 */

/* One second over the minute of the budget: the time between sending a probe and its arrival at the
 * upstream varies. */
#define PH_PROBE_WINDOW (61 * PH_SECOND)

/* Members that cannot be reached count for this long. It has to be longer than a partition, which
 * lasts about an hour now and then; the membership keeps dead members at least as long. */
#define PH_PROBE_DEAD_MEMBER_TIME (6 * 3600 * PH_SECOND)

#define PH_PROBE_PERIOD PH_SECOND        /* between looks at the schedule */
#define PH_PROBE_TIMEOUT (2 * PH_SECOND) /* without a result the probe has failed */
#define PH_PROBE_SHARE_MAX 60u           /* one a second is the most that the schedule sends */

typedef struct
{
  PhServiceId service;              /* of the local upstream at the last look */
  PhTime membership_complete_since; /* when the membership was last not seen complete */
  bool is_counted_by_members;       /* every member of the service is taken to count this node */
  uint32_t
      max_other_probers[2]; /* most other members that may probe, in this window and the last one */
  PhTime window_began_at;   /* start of this window */
  PhTime sent_at[PH_PROBE_SHARE_MAX];
  uint32_t sent_count;        /* the last one is at (sent_count - 1) % PH_PROBE_SHARE_MAX */
  PhTime last_evidence_at;    /* last time that a call or a probe told of the upstream */
  PhUpstreamId open_upstream; /* upstream of the probe under way, or 0 */
  uint32_t open_generation;
  uint32_t consecutive_failures; /* probes failed in a row, with no success of a call between */
  PhTime down_until;             /* no call is admitted before; then one is tried */
  bool is_requested;             /* a check is due whatever the calls tell; see ph_probe_request */
} PhProbe;

/* ph_probe_init: start the schedule. Run by ph_world_new. */
void ph_probe_init (PhContext *ctx, PhWorld *world);

/* ph_probe_timer: look whether a probe is due. */
void ph_probe_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/*
 * ph_probe_result: the probe of this upstream ended after latency microseconds.
 *
 * Called once for each send_probe. A late or unknown result is ignored.
 */
void ph_probe_result (PhContext *ctx, PhWorld *world, PhUpstreamId id, bool is_ok, PhTime latency);

/*
 * ph_probe_request: a health check is to be sent as soon as the budget allows.
 *
 * Used when the state of the upstream is not known: its node has started, or it
 * may have turned cold.
 */
void ph_probe_request (PhContext *ctx, PhWorld *world);

/*
 * ph_probe_refresh_slowdown: a call is about to be placed at the local upstream.
 *
 * Sends a health check when the upstream tells how slow it is and its last word
 * on that is old, within this node's part of the budget. Returns true when it
 * sent one: the call may wait for the answer.
 */
bool ph_probe_refresh_slowdown (PhContext *ctx, PhWorld *world);

/* ph_probe_observe: an attempt at the local upstream ended. */
void ph_probe_observe (PhContext *ctx, PhWorld *world, PhOutcome outcome);

/* ph_probe_is_down: probes failed, and no call is to be admitted now. */
bool ph_probe_is_down (const PhContext *ctx, const PhWorld *world);

/* ph_probe_share: probes that this node may send in a window; 0 while it has to wait. */
uint32_t ph_probe_share (const PhWorld *world);

#endif
