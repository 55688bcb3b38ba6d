#ifndef PH_ADMISSION_H
#define PH_ADMISSION_H

#include "pollenhitch/call.h"
#include "pollenhitch/cold.h"
#include "pollenhitch/limit.h"
#include "pollenhitch/waitqueue.h"

/*
 * Admission to the local upstream.
 *
 * The node beside an upstream sees each call that reaches it, so the count of
 * calls in flight is exact. An attempt is started when the count is under the
 * limit, waits in a short queue, or is refused as not run. The limit is the least
 * of the announced slots and connections, the adaptive limit and the cold start.
 *
 * The queue is in order of the latest useful start: the deadline less the
 * estimated latency, or the end of the time that the service allows in the
 * queue. Calls without a near deadline thus leave in order of arrival and are
 * not starved. An attempt that can no longer start in time is refused at once.
 */

/* Key of an attempt in the queue, smallest first. latest_start is its latest useful start. */
typedef PhTime (*PhQueueOrderFunc) (void *user,
                                    const PhCall *call,
                                    PhTime now,
                                    PhTime latest_start);

/* How the local upstream is protected. The defaults are set by ph_admission_init; the measurements
 * replace them. */
typedef struct
{
  PhLimitFunc adapt_limit;
  void *adapt_limit_user;
  PhQueueOrderFunc queue_order;
  void *queue_order_user;
  bool drops_early;           /* refuse attempts that are estimated to miss their start */
  bool keeps_limit_on_errors; /* failed calls say nothing of the upstream's load; sheds do */
  double shed_floor_fraction; /* see PhLimit; 0 where the announced slots are not relied on */
} PhAdmissionPolicy;

typedef struct
{
  PhUpstreamId upstream; /* the local upstream, 0 when none is announced */
  PhTime announcement_expires_at;
  PhAdmissionPolicy policy;
  uint32_t in_flight;
  uint32_t responding_count; /* of those, with the head of the response */
  PhTime last_response_at;   /* when the last head came */
  uint32_t
      upstream_generation; /* of the upstream process; attempts of an earlier one hold no slot */
  uint16_t upstream_port;  /* of the upstream process that in_flight counts */
  PhLimit limit;
  PhColdStart cold_start;
  PhColdRate cold_rate; /* in place of cold when the service says what a cold upstream bears */
  PhWaitQueue queue;
  uint32_t queued; /* attempts in the queue */
  PhTime queue_timer_at;
  PhTime last_release_at;      /* last release of a slot */
  PhEstimate release_interval; /* microseconds between releases while attempts wait */
  bool had_queued_attempts;    /* attempts were waiting at the last release */
  bool was_out_of_service;     /* the data centre was out of service */
  bool is_pending;             /* the admission system has to run */
  uint32_t slowdown_percent;   /* last told by the upstream, see PhLoad */
  PhTime slowdown_reported_at;
  PhTime health_check_wait_until; /* calls may wait for a check on the VM until then */
} PhAdmission;

/* ph_admission_init: set the default policy. Run by ph_world_new. */
void ph_admission_init (PhContext *ctx, PhWorld *world);

/*
 * ph_admission_enqueue: put a local attempt in the queue.
 *
 * Returns PH_REASON_NONE, or the reason for which it is refused without having
 * been in the queue: draining, out of service, limit, deadline.
 */
PhReason ph_admission_enqueue (PhContext *ctx, PhWorld *world, PhAttemptId id);

/* ph_admission_dequeue: a queued attempt ends. Ignored when it is not in the queue. */
void ph_admission_dequeue (PhContext *ctx, PhWorld *world, PhAttemptId id);

/* ph_admission_response_started: the head of the response of an attempt that holds a slot has come.
 */
void ph_admission_response_started (PhContext *ctx, PhWorld *world, PhAttemptId id);

/* ph_admission_release: a started attempt that holds a slot ends. */
void ph_admission_release (PhContext *ctx, PhWorld *world, PhAttemptId id, PhOutcome outcome);

/* ph_admission_classify: what a failed attempt says of the upstream. */
PhOutcome ph_admission_classify (PhRun run, PhReason reason);

/* ph_admission_queue_timer: the first attempt of the queue has waited as long as it may. */
void ph_admission_queue_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/* ph_admission_reset: the local upstream was replaced or turned cold. */
void ph_admission_reset (PhContext *ctx, PhWorld *world);

/* ph_admission_limit: calls that the local upstream may have in flight now; 0 in a pause. */
uint32_t ph_admission_limit (const PhContext *ctx, const PhWorld *world);

/* ph_admission_begin_cold: the local upstream is cold from now on. */
void ph_admission_begin_cold (PhContext *ctx, PhWorld *world, bool is_announced);

/* ph_admission_report_cold: the upstream itself says how long it stays cold; 0 when it is warm. */
void ph_admission_report_cold (PhContext *ctx, PhWorld *world, PhTime cold_time_left);

/* ph_admission_report_slowdown: how slow the VM of the local upstream is now, see PhLoad. */
void ph_admission_report_slowdown (const PhContext *ctx, PhWorld *world, uint32_t slowdown_percent);

/* ph_admission_load: what to report on responses and refusals. */
PhLoad ph_admission_load (const PhWorld *world);

/* ph_admission_system: start or refuse queued attempts. Run by ph_world_tick. */
void ph_admission_system (PhContext *ctx, PhWorld *world);

/* Orders of the queue, for the policy. */
PhTime
ph_queue_order_latest_start (void *user, const PhCall *call, PhTime now, PhTime latest_start);
PhTime ph_queue_order_fifo (void *user, const PhCall *call, PhTime now, PhTime latest_start);
PhTime ph_queue_order_lifo (void *user, const PhCall *call, PhTime now, PhTime latest_start);

/*
 * ph_queue_order_urgency: calls that can still meet their objective before those that
 * cannot, then by priority, then by latest useful start.
 *
 * A late response is worth a small part of one in time, so that under overload the
 * slots go to calls for which they still make the difference; what is late takes
 * what is left. Calls without an objective or a priority are in the order of
 * ph_queue_order_latest_start.
 */
PhTime ph_queue_order_urgency (void *user, const PhCall *call, PhTime now, PhTime latest_start);

#endif
