#ifndef PH_ADMISSION_H
#define PH_ADMISSION_H

#include "pollenhitch/call.h"
#include "pollenhitch/cold.h"
#include "pollenhitch/limit.h"
#include "pollenhitch/waitqueue.h"

/*
 * Admission of attempts to the local upstream.
 *
 * The node on an upstream's VM handles every call to that upstream, so it knows the exact
 * number of calls in flight. An attempt starts when that number is below the concurrency limit;
 * otherwise it waits in a short queue or is refused as not run. The concurrency limit is the
 * adaptive limit (limit.h), or during a cold start the limit of its step (cold.h). Neither
 * exceeds the announced slots, the connections that the upstream accepts and the limits set by
 * operators.
 *
 * The default order of the queue is ph_queue_order_urgency. Without objectives and priorities,
 * it is the latest useful start of each attempt. This is the deadline minus the estimated
 * latency, or the end of the service's maximum queue time if that is earlier. Calls with distant
 * deadlines are thus served in order of arrival and are not starved. An attempt that cannot
 * start in time any more is refused at once.
 *
 * The handle of an attempt that is passed to these functions must be valid.
 */

/* Returns the sort key of an attempt in the queue, smallest first. latest_start is the latest
 * useful start of the attempt. */
typedef PhTime (*PhQueueOrderFunc) (void *user,
                                    const PhCall *call,
                                    PhTime now,
                                    PhTime latest_start);

/* How the local upstream is protected. ph_admission_init sets the defaults; benchmarks replace
 * them. */
typedef struct
{
  PhLimitFunc adapt_limit;
  void *adapt_limit_user;
  PhQueueOrderFunc queue_order;
  void *queue_order_user;
  bool drops_early; /* refuse attempts that are not expected to start in time */
  /* Failed calls do not lower the limit: they say nothing about the load of the upstream. Shed
   * calls still lower it. */
  bool keeps_limit_on_errors;
  double shed_floor_fraction; /* see PhLimit; 0 when the announced slots are not trusted */
} PhAdmissionPolicy;

typedef struct
{
  PhUpstreamId upstream; /* the local upstream, 0 when none is announced */
  PhTime announcement_expires_at;
  PhAdmissionPolicy policy;
  uint32_t in_flight;        /* attempts that hold a slot, and the probe in flight */
  uint32_t responding_count; /* attempts in flight whose response has started */
  PhTime last_response_at;   /* when the last response started */
  /* Generation of the upstream process. Attempts of an earlier generation hold no slot. */
  uint32_t upstream_generation;
  uint16_t upstream_port; /* port of the process whose calls in_flight counts */
  PhLimit limit;
  PhColdStart cold_start;
  /* Replaces cold_start when the service's rules give the call rate of a cold upstream. */
  PhColdRate cold_rate;
  /* The most urgent priority of the calls that came since the upstream became cold. */
  uint32_t cold_priority;
  PhWaitQueue queue;
  uint32_t queued; /* number of attempts in the queue */
  PhTime queue_timer_at;
  PhTime last_release_at; /* when a slot was last released */
  /* Latency of deeper calls and its mean absolute deviation, microseconds. Used instead of that of
   * all calls with ph_chain_set_enabled: a service may have short deeper calls with short deadlines
   * beside long first calls. */
  PhEstimate deeper_latency;
  PhEstimate deeper_deviation;
  PhEstimate release_interval; /* microseconds between releases while attempts are queued */
  bool had_queued_attempts;    /* attempts were queued at the last release */
  bool was_out_of_service;     /* the data centre was out of service in the last run */
  bool is_pending;             /* the admission system has work in this tick, or else the next */
  uint32_t slowdown_percent;   /* last value reported by the upstream, see PhLoad */
  PhTime slowdown_reported_at;
  /* Time that calls have waited for their responses since the last response or slowdown report, the
   * sum over all calls, up to waited_until. */
  PhTime waited_time;
  PhTime waited_until;
  PhTime health_check_wait_until; /* calls may wait for a health check until then */
} PhAdmission;

/* ph_admission_init: set the default policy. Run by ph_world_new. */
void ph_admission_init (PhContext *ctx, PhWorld *world);

/*
 * ph_admission_enqueue: add a local attempt to the queue.
 *
 * Returns PH_REASON_NONE, or the reason why the attempt is refused without having been queued:
 * the upstream is stale or not confirmed yet (PH_REASON_STALE_UPSTREAM), draining, out of
 * service, down by its probes (PH_REASON_CONNECT) or slow, the queue is full, or the attempt
 * cannot be expected to start in time.
 */
PhReason ph_admission_enqueue (PhContext *ctx, PhWorld *world, PhAttemptId id);

/* ph_admission_dequeue: remove an attempt from the queue. Does nothing if it is not in the queue.
 */
void ph_admission_dequeue (PhContext *ctx, PhWorld *world, PhAttemptId id);

/* ph_admission_response_started: the head of an attempt's response has arrived. Ignored if the
 * attempt holds no slot. */
void ph_admission_response_started (PhContext *ctx, PhWorld *world, PhAttemptId id);

/* ph_admission_release: an attempt that holds a slot has ended; its slot is free again. Ignored if
 * the attempt is of an earlier generation of the upstream. */
void ph_admission_release (PhContext *ctx, PhWorld *world, PhAttemptId id, PhOutcome outcome);

/* ph_admission_classify: map the result of a failed attempt to an outcome for the limit. */
PhOutcome ph_admission_classify (PhRun run, PhReason reason);

/* ph_admission_queue_timer: the timer of the first attempt in the queue has expired; the admission
 * system runs later in this tick. handle is not used. */
void ph_admission_queue_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/* ph_admission_reset: the local upstream was replaced, or its data centre is back in service.
 * The limit is reset and a cold start begins. */
void ph_admission_reset (PhContext *ctx, PhWorld *world);

/* ph_admission_limit: maximum number of calls in flight at the local upstream now; 0 during a pause
 * of the cold start, and 1 while no upstream is announced. The rate of a cold upstream (PhColdRate)
 * is a separate limit. */
uint32_t ph_admission_limit (const PhContext *ctx, const PhWorld *world);

/* ph_admission_begin_cold: treat the local upstream as cold from now on. is_announced: the
 * upstream announced it itself. */
void ph_admission_begin_cold (PhContext *ctx, PhWorld *world, bool is_announced);

/* ph_admission_report_cold: the upstream reports that it stays cold for cold_time_left
 * microseconds; 0 when it is warm. Limits calls only if the service's rules give the call rate of a
 * cold upstream. */
void ph_admission_report_cold (PhContext *ctx, PhWorld *world, PhTime cold_time_left);

/* ph_admission_report_slowdown: a health check reported the slowdown of the local upstream's VM, in
 * percent (see PhLoad). */
void ph_admission_report_slowdown (const PhContext *ctx, PhWorld *world, uint32_t slowdown_percent);

/* ph_admission_calls_in_flight: number of calls in flight at the local upstream. A health check is
 * no call. */
uint32_t ph_admission_calls_in_flight (const PhWorld *world);

/* ph_admission_load: the load report that is sent with responses and refusals. */
PhLoad ph_admission_load (const PhWorld *world);

/* ph_admission_system: start or refuse queued attempts. Run by ph_world_tick. */
void ph_admission_system (PhContext *ctx, PhWorld *world);

/* Queue orders, for PhAdmissionPolicy.queue_order: by latest useful start, first in first out, and
 * last in first out. */
PhTime
ph_queue_order_latest_start (void *user, const PhCall *call, PhTime now, PhTime latest_start);
PhTime ph_queue_order_fifo (void *user, const PhCall *call, PhTime now, PhTime latest_start);
PhTime ph_queue_order_lifo (void *user, const PhCall *call, PhTime now, PhTime latest_start);

/*
 * ph_queue_order_urgency: calls that can still meet their objective come before those that
 * cannot, then calls are ordered by priority, then by latest useful start.
 *
 * A late response is worth only a fraction of one in time. Under overload, slots therefore go
 * to calls that can still be in time, and late calls use what is left. Calls without objective
 * or priority are ordered as by ph_queue_order_latest_start.
 */
PhTime ph_queue_order_urgency (void *user, const PhCall *call, PhTime now, PhTime latest_start);

/* ph_queue_order_chain: ph_queue_order_urgency, but of calls with the same priority those at a
 * greater depth come first. The failure of a deeper call wastes the work of the calls above it; a
 * first call that was not run can be given back to its caller. */
PhTime ph_queue_order_chain (void *user, const PhCall *call, PhTime now, PhTime latest_start);

#endif
