#include "pollenhitch/call.h"

#include <string.h>

#include "pollenhitch/invariant.h"
#include "pollenhitch/retry_after.h"
#include "pollenhitch/run_gate.h"
#include "pollenhitch/trace.h"
#include "pollenhitch/world.h"

_Static_assert(PH_RETRY_DEPTH_COUNT == PH_DEPTH_MAX + 1, "a quantile for each depth");

/* Time for which an upstream is not chosen after its connection failed. */
#define SUSPENSION_TIME (500 * PH_MS)

/* Time for which an upstream is not chosen after its node refused calls because the choice was
 * stale (FAILURE_STALE), for example because it is leaving. Must be at least the time
 * in which the membership has to spread the change, 2 s. */
#define WITHDRAWAL_TIME (2 * PH_SECOND)

#define OPEN_ATTEMPTS_MAX 2

/* Number of upstreams, the first ones that a call tries, that may refuse it because their VM is
 * slow. Later ones may not, so that the call is not passed around while all VMs are slow. */
#define SLOW_REFUSALS_MAX 2

/* A refused caller is asked to retry within its remaining time divided by this. It must be above 3,
 * because callers wait for at most a third of their remaining time. */
#define RETRY_AFTER_DIVISOR 4
#define RETRY_AFTER_MAX (400 * PH_MS)

/* A response past the deadline of its call goes on while its body moves. It is ended if no byte
 * moves in the first of these times after the deadline, or in the second one later. The caller is
 * to have a final answer 0.5 s after the timeout of its route. */
#define STALL_TIME_FIRST (300 * PH_MS)
#define STALL_TIME PH_SECOND

/* A deeper call without a token or an upstream is tried again after the first of these times, then
 * after twice the last one, up to the second one, each shortened at random by up to a half. A slot
 * becomes free every few ms in a service of 38 upstreams with runs of 40 to 400 ms. The upper bound
 * keeps a waiting call to about 40 tries a second. */
#define WAIT_FIRST (4 * PH_MS)
#define WAIT_MAX (32 * PH_MS)

/* A call does not wait in the last part of its time, in which the response would come late. That is
 * the expected latency, but at most its whole time divided by this, because the estimate may be
 * that of other routes of the service. */
#define WAIT_TIME_DIVISOR 2

/* Calls of a service that wait for a token at this node at a time. A token comes every one or two
 * seconds on a node of a large fleet; more calls would wait in vain, while the calls above them
 * hold slots. */
#define TOKEN_WAITERS_MAX 2

/* During a planned stop a call is taken if at least this multiple of its objective is left. */
#define STOP_OBJECTIVES_MIN 3

/* What the reason of a failed attempt says about a further attempt. */
typedef enum
{
  FAILURE_FINAL,   /* no other upstream would answer differently */
  FAILURE_BUSY,    /* another upstream may have free slots */
  FAILURE_SLOW_VM, /* the upstream's VM is slow now and there are alternatives */
  /* The choice was made on stale state; the refusal withdraws an upstream that is not local for
   * WITHDRAWAL_TIME. */
  FAILURE_STALE,
  FAILURE_UNREACHABLE, /* the upstream cannot be reached */
} FailureClass;

typedef struct
{
  const char *name;
  int status;
  FailureClass failure_class;
} ReasonInfo;

static const ReasonInfo reason_table[PH_REASON_COUNT] = {
  [PH_REASON_NONE] = { "none", 500, FAILURE_BUSY },
  [PH_REASON_UNKNOWN_SERVICE] = { "unknown-service", 404, FAILURE_FINAL },
  [PH_REASON_NO_UPSTREAM] = { "no-upstream", 503, FAILURE_STALE },
  [PH_REASON_STALE_UPSTREAM] = { "stale-upstream", 503, FAILURE_STALE },
  [PH_REASON_LIMIT] = { "limit", 503, FAILURE_BUSY },
  [PH_REASON_QUEUE_TIME] = { "queue-time", 503, FAILURE_BUSY },
  [PH_REASON_DEADLINE] = { "deadline", 504, FAILURE_BUSY },
  [PH_REASON_DRAINING] = { "draining", 503, FAILURE_STALE },
  [PH_REASON_DATA_CENTRE_OUT] = { "data-centre-out", 503, FAILURE_STALE },
  [PH_REASON_DEPTH] = { "depth", 508, FAILURE_FINAL },
  [PH_REASON_STOPPING] = { "stopping", 503, FAILURE_STALE },
  [PH_REASON_SHED] = { "shed", 503, FAILURE_BUSY },
  [PH_REASON_CONNECT] = { "connect", 502, FAILURE_UNREACHABLE },
  [PH_REASON_CONNECTION_LOST] = { "connection-lost", 502, FAILURE_UNREACHABLE },
  [PH_REASON_MISMATCHED_RESPONSE] = { "mismatched-response", 502, FAILURE_BUSY },
  [PH_REASON_UNFRAMED_RESPONSE] = { "unframed-response", 502, FAILURE_FINAL },
  [PH_REASON_BAD_REQUEST] = { "bad-request", 400, FAILURE_FINAL },
  [PH_REASON_TOO_LARGE] = { "too-large", 413, FAILURE_FINAL },
  [PH_REASON_CALLER_LIMIT] = { "caller-limit", 429, FAILURE_FINAL },
  [PH_REASON_TABLE_FULL] = { "table-full", 503, FAILURE_BUSY },
  [PH_REASON_CALLER_LEFT] = { "caller-left", 400, FAILURE_FINAL },
  [PH_REASON_NO_CONFIGURATION] = { "no-configuration", 503, FAILURE_FINAL },
  [PH_REASON_UPSTREAM_ERROR] = { "upstream-error", 502, FAILURE_BUSY },
  [PH_REASON_SLOW] = { "slow", 503, FAILURE_SLOW_VM },
  [PH_REASON_SILENT] = { "silent", 504, FAILURE_BUSY },
  [PH_REASON_DEPENDENCY] = { "dependency", 503, FAILURE_BUSY },
  [PH_REASON_ROUTE_LEFT_OUT] = { "route-left-out", 503, FAILURE_FINAL },
};

static const char *const run_names[] = { "no", "yes", "unknown" };

int
ph_reason_status (PhReason reason)
{
  return reason_table[reason].status;
}

const char *
ph_reason_name (PhReason reason)
{
  return reason_table[reason].name;
}

bool
ph_reason_parse (const char *text, PhReason *reason)
{
  for (int i = 0; i < PH_REASON_COUNT; i++)
    if (strcmp (text, reason_table[i].name) == 0)
      {
        *reason = (PhReason)i;
        return true;
      }
  return false;
}

const char *
ph_run_name (PhRun run)
{
  return run_names[run];
}

bool
ph_run_parse (const char *text, PhRun *run)
{
  for (int i = 0; i < 3; i++)
    if (strcmp (text, run_names[i]) == 0)
      {
        *run = (PhRun)i;
        return true;
      }
  return false;
}

PhTime
ph_call_time_left (const PhContext *ctx, const PhCall *call)
{
  return call->deadline > ctx->now ? call->deadline - ctx->now : 0;
}

static void
drop_freed_pending_calls (PhWorld *world)
{
  for (uint32_t left = world->pending_calls.count; left > 0; left--)
    {
      uint32_t handle = ph_queue_pop (&world->pending_calls);

      if (ph_call_get (&world->calls, (PhCallId){ handle }) != NULL)
        ph_queue_push (&world->pending_calls, handle);
    }
}

static void
mark_call_pending (PhWorld *world, PhCall *call, PhCallId id)
{
  if (call->is_pending)
    return;
  call->is_pending = true;
  if (ph_queue_push (&world->pending_calls, id.v))
    return;
  /* The queue is full of calls that were aborted while they were pending. */
  drop_freed_pending_calls (world);
  ph_queue_push (&world->pending_calls, id.v);
}

/* Checks whether a call from another node may go to the local upstream. */
static PhReason
check_peer_call (const PhWorld *world, const PhCallOptions *opts, PhServiceId service)
{
  const PhUpstream *local = ph_upstream_get (&world->upstreams, world->admission.upstream);
  const PhDataCentre *dc = ph_data_centre_get (&world->data_centres, world->data_centre);

  if (world->is_stopping)
    return PH_REASON_STOPPING;
  if (dc != NULL && dc->is_out_of_service)
    return PH_REASON_DATA_CENTRE_OUT;
  if (local == NULL || local->service.v != service.v || local->epoch != opts->upstream_epoch)
    return PH_REASON_STALE_UPSTREAM;
  if (local->state == PH_UPSTREAM_DRAINING)
    return PH_REASON_DRAINING;
  return PH_REASON_NONE;
}

/* Time from now to the deadline of a new call. */
static PhTime
time_to_deadline (const PhCallOptions *opts, const PhService *service)
{
  return opts->time_left > 0 ? opts->time_left : (PhTime)service->rules.deadline_ms * PH_MS;
}

/* Whether a new call is expected to end before a planned stop does. */
static bool
ends_before_stop (const PhContext *ctx,
                  const PhWorld *world,
                  const PhCallOptions *opts,
                  const PhService *service)
{
  PhTime latency = ph_retry_hedge_delay (&service->retry, opts->depth);
  PhTime needed = opts->objective * STOP_OBJECTIVES_MIN;

  if (latency != PH_TIME_NEVER && needed < latency)
    needed = latency;
  if (needed > time_to_deadline (opts, service))
    needed = time_to_deadline (opts, service);
  return ctx->now + needed <= world->stop_ends_at;
}

static PhReason
check_call (const PhContext *ctx,
            const PhWorld *world,
            const PhCallOptions *opts,
            PhServiceId service_id)
{
  const PhService *service = ph_service_get (&world->services, service_id);

  if (opts->depth > PH_DEPTH_MAX)
    return PH_REASON_DEPTH;
  if (opts->origin == PH_ORIGIN_PEER)
    return check_peer_call (world, opts, service_id);
  if (world->refuses_callers)
    return PH_REASON_STOPPING;
  /* A node that has just started does not know yet which services exist. */
  if (service == NULL || !service->is_configured)
    return world->config_revision == 0 ? PH_REASON_NO_CONFIGURATION : PH_REASON_UNKNOWN_SERVICE;
  if (world->is_stopping && !ends_before_stop (ctx, world, opts, service))
    return PH_REASON_STOPPING;
  return PH_REASON_NONE;
}

static void
generate_call_id (PhContext *ctx, uint8_t *id)
{
  uint64_t parts[2] = { ph_random_next (&ctx->random), ph_random_next (&ctx->random) };

  memcpy (id, parts, PH_CALL_ID_SIZE);
}

/* Number of nodes that share the budgets. A node on the other side of a partition counts as dead
 * here and still retries there. */
static uint32_t
budget_node_count (const PhWorld *world)
{
  return world->membership.live_count
         + (world->fleet_attempts != 0 ? world->membership.dead_count : 0);
}

/* Depth of a call: that of its request, or the one learned for its route. */
static uint32_t
call_depth (PhContext *ctx, PhWorld *world, const PhCallOptions *opts)
{
  uint32_t learned = ph_chain_reports_observe (ctx, world, opts->route);

  return opts->depth > learned ? opts->depth : learned;
}

static PhCallId
refuse_at_open (PhContext *ctx, PhRefusal *refusal, PhReason reason)
{
  ph_count_refusal (ctx, reason);
  *refusal = (PhRefusal){ .status = ph_reason_status (reason), .run = PH_RUN_NO, .reason = reason };
  return (PhCallId){ 0 };
}

PhCallId
ph_call_open (PhContext *ctx, PhWorld *world, const PhCallOptions *opts, PhRefusal *refusal)
{
  PhServiceId service_id
      = opts->service_id.v != 0 ? opts->service_id : ph_service_find (world, opts->service);
  PhService *service = ph_service_get (&world->services, service_id);
  PhReason reason = check_call (ctx, world, opts, service_id);
  PhCall *call;
  PhCallId id;

  if (reason != PH_REASON_NONE)
    return refuse_at_open (ctx, refusal, reason);
  id = ph_call_add (&world->calls, &call);
  if (id.v == 0)
    return refuse_at_open (ctx, refusal, PH_REASON_TABLE_FULL);
  if (opts->id != NULL)
    memcpy (call->id, opts->id, PH_CALL_ID_SIZE);
  else
    generate_call_id (ctx, call->id);
  call->service = service_id;
  call->origin = opts->origin;
  call->is_idempotent = opts->is_idempotent;
  call->can_resend = opts->can_resend;
  call->is_rerun = opts->is_rerun;
  call->depth = (uint8_t)call_depth (ctx, world, opts);
  call->route = opts->route;
  call->route_bucket = (uint8_t)opts->route_bucket;
  call->route_key = opts->route_key;
  call->is_bulk = opts->is_bulk;
  call->has_alternatives = opts->has_alternatives;
  call->priority = (uint8_t)opts->priority;
  call->attempts_max = (uint8_t)(opts->attempts_max > 0 && opts->attempts_max < PH_ATTEMPTS_MAX
                                     ? opts->attempts_max
                                     : PH_ATTEMPTS_MAX);
  call->objective_at = opts->objective > 0 ? ctx->now + opts->objective : PH_TIME_NEVER;
  call->opened_at = ctx->now;
  call->deadline = ctx->now + time_to_deadline (opts, service);
  if (world->is_stopping && call->deadline > world->stop_ends_at)
    call->deadline = world->stop_ends_at;
  call->user = opts->user;
  if (opts->origin == PH_ORIGIN_PEER)
    call->pinned_upstream = world->admission.upstream;
  else if (!opts->is_rerun)
    {
      ph_retry_set_node_count (&service->retry, budget_node_count (world));
      ph_retry_deposit (&service->retry, service->rules.retry_percent, service->rules.hedge_percent,
                        call->depth);
    }
  ph_timer_add (&world->timers, call->deadline, PH_TIMER_CALL, id.v);
  mark_call_pending (world, call, id);
  ph_trace_opened (ctx, world, call);
  ph_run_gate_call_opened (ctx, world, call);
  return id;
}

static void
close_attempt (PhContext *ctx, PhWorld *world, PhAttemptId id, PhRun run, PhOutcome outcome)
{
  PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, attempt->upstream);
  PhCall *call = ph_call_get (&world->calls, attempt->call);

  PH_INVARIANT (call != NULL && call->open_attempts > 0);
  PH_INVARIANT (attempt->state != PH_ATTEMPT_QUEUED || run == PH_RUN_NO);
  if (upstream != NULL)
    {
      PH_INVARIANT (upstream->outstanding > 0);
      upstream->outstanding--;
    }
  if (attempt->state == PH_ATTEMPT_QUEUED)
    ph_admission_dequeue (ctx, world, id);
  if (attempt->is_slot_held)
    ph_admission_release (ctx, world, id, outcome);
  if (run != PH_RUN_NO)
    {
      call->maybe_run_count++;
      call->delivered_attempts++;
    }
  call->open_attempts--;
  ph_attempt_remove (&world->attempts, id);
}

/* Records the time that an attempt without a response took, as a lower bound of its latency. */
static void
observe_abandoned (PhContext *ctx, PhWorld *world, const PhAttempt *attempt)
{
  const PhCall *call = ph_call_get (&world->calls, attempt->call);
  PhService *service = ph_service_get (&world->services, call->service);
  PhTime time = ctx->now - attempt->started_at;

  if (call->origin == PH_ORIGIN_PEER || attempt->state != PH_ATTEMPT_STARTED)
    return;
  ph_choice_observe_latency (ctx, world, attempt->upstream, time, false);
  ph_retry_observe_abandoned (&service->retry, call->depth, time);
}

static void
cancel_attempt (PhContext *ctx, PhWorld *world, PhAttemptId id)
{
  PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  PhRun run = PH_RUN_NO;

  if (attempt == NULL)
    return;
  if (attempt->state != PH_ATTEMPT_QUEUED)
    {
      run = PH_RUN_UNKNOWN;
      world->effects.cancel_attempt (world->effects.user, id);
    }
  close_attempt (ctx, world, id, run, PH_OUTCOME_UNKNOWN);
}

static void
abandon_attempt (PhContext *ctx, PhWorld *world, PhAttemptId id)
{
  const PhAttempt *attempt = ph_attempt_get (&world->attempts, id);

  if (attempt == NULL)
    return;
  observe_abandoned (ctx, world, attempt);
  cancel_attempt (ctx, world, id);
}

/* Time until a refused caller should retry: with --fleet-capacity that at which there will be a
 * slot (retry_after.h). Without it, or if that is not known, it is spread at random, so that
 * callers refused at the same time do not return in one wave, and short enough that the call can
 * still be of use. */
static PhTime
choose_retry_after (PhContext *ctx, PhWorld *world, const PhCall *call, PhReason reason)
{
  PhTime left = ph_call_time_left (ctx, call);
  PhTime longest = left / RETRY_AFTER_DIVISOR;

  if (call->run != PH_RUN_NO || reason_table[reason].failure_class == FAILURE_FINAL)
    return 0;
  /* A free slot is of no use while the gate of the route is closed. */
  if (world->uses_fleet_capacity && call->origin == PH_ORIGIN_CALLER
      && reason != PH_REASON_DEPENDENCY)
    {
      PhTime wait = ph_retry_after_choose (ctx, world,
                                           ph_service_get (&world->services, call->service), call);

      if (wait >= 0)
        return wait;
    }
  if (longest > RETRY_AFTER_MAX)
    longest = RETRY_AFTER_MAX;
  return longest / 2 + ph_random_below (&ctx->random, (uint32_t)(longest / 2 + 1));
}

/* Ends the wait of a deeper call, if it waits. */
static void
end_wait (PhWorld *world, PhCall *call)
{
  PhService *service = ph_service_get (&world->services, call->service);

  if (call->state != PH_CALL_WAITING)
    return;
  PH_INVARIANT (service->token_demand.waiting_count > 0);
  service->token_demand.waiting_count--;
  call->state = PH_CALL_CHOOSING;
}

static void
refuse_call (PhContext *ctx, PhWorld *world, PhCallId id, PhReason reason)
{
  PhCall *call = ph_call_get (&world->calls, id);
  PhRefusal refusal = { .status = ph_reason_status (reason), .run = call->run, .reason = reason };

  end_wait (world, call);
  ph_count (ctx, PH_COUNT_DEEPER_WAITS_ENDED, call->wait_count > 0);
  PH_INVARIANT (call->open_attempts == 0);
  PH_INVARIANT (call->run != PH_RUN_NO || call->maybe_run_count == 0);
  ph_trace_refused (ctx, world, call, reason);
  ph_run_gate_call_ended (ctx, world, call, reason);
  refusal.retry_after = choose_retry_after (ctx, world, call, reason);
  world->effects.refuse_call (world->effects.user, id, &refusal);
  ph_call_remove (&world->calls, id);
}

void
ph_call_abort (PhContext *ctx, PhWorld *world, PhCallId id)
{
  PhCall *call = ph_call_get (&world->calls, id);

  if (call == NULL)
    return;
  ph_trace_aborted (ctx, world, call);
  end_wait (world, call);
  cancel_attempt (ctx, world, call->latest_attempt);
  cancel_attempt (ctx, world, call->hedge_attempt);
  ph_call_remove (&world->calls, id);
}

void
ph_call_body_discarded (PhContext *ctx, PhWorld *world, PhCallId id)
{
  PhCall *call = ph_call_get (&world->calls, id);
  const PhAttemptId ids[] = { call != NULL ? call->latest_attempt : (PhAttemptId){ 0 },
                              call != NULL ? call->hedge_attempt : (PhAttemptId){ 0 } };

  if (call == NULL)
    return;
  call->can_resend = false;
  for (int i = 0; i < 2; i++)
    {
      const PhAttempt *attempt = ph_attempt_get (&world->attempts, ids[i]);

      if (attempt != NULL && attempt->state == PH_ATTEMPT_QUEUED && call->open_attempts > 1)
        cancel_attempt (ctx, world, ids[i]);
    }
}

static void
observe_response (PhContext *ctx, PhWorld *world, const PhCall *call, const PhAttempt *attempt)
{
  PhService *service = ph_service_get (&world->services, call->service);

  if (call->origin == PH_ORIGIN_PEER)
    return;
  ph_choice_observe_latency (ctx, world, attempt->upstream, ctx->now - attempt->started_at, true);
  ph_retry_observe (&service->retry, call->depth, ctx->now - attempt->started_at);
}

bool
ph_attempt_response (PhContext *ctx, PhWorld *world, PhAttemptId id)
{
  PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  PhCall *call = attempt != NULL ? ph_call_get (&world->calls, attempt->call) : NULL;

  if (call == NULL || call->state == PH_CALL_RESPONDING || attempt->state != PH_ATTEMPT_STARTED)
    return false;
  observe_response (ctx, world, call, attempt);
  attempt->state = PH_ATTEMPT_RESPONDING;
  attempt->responded_at = ctx->now;
  ph_admission_response_started (ctx, world, id);
  call->state = PH_CALL_RESPONDING;
  ph_trace_responded (ctx, world, attempt);
  ph_run_gate_call_ended (ctx, world, call, PH_REASON_NONE);
  if (call->latest_attempt.v != id.v)
    abandon_attempt (ctx, world, call->latest_attempt);
  if (call->hedge_attempt.v != id.v)
    abandon_attempt (ctx, world, call->hedge_attempt);
  PH_INVARIANT (call->open_attempts == 1);
  return true;
}

/* Suspends an upstream after a failure that is more than lack of free slots. A stale choice does
 * not suspend the local upstream, whose announcements this node knows already. */
static void
suspend_after_failure (PhContext *ctx, PhWorld *world, PhUpstreamId id, PhReason reason)
{
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  if (upstream == NULL)
    return;
  if (upstream->suspended_until <= ctx->now
      && (reason_table[reason].failure_class == FAILURE_UNREACHABLE
          || (reason_table[reason].failure_class == FAILURE_STALE && !upstream->is_local)))
    {
      const PhMember *member = ph_member_get (&world->members, upstream->member);

      ph_log (ctx, PH_LOG_INFO, PH_STEP_CONNECT,
              member != NULL ? member->record.name : upstream->instance,
              "upstream of %s suspended: %s",
              ph_service_get (&world->services, upstream->service)->name, ph_reason_name (reason));
    }
  if (reason_table[reason].failure_class == FAILURE_UNREACHABLE)
    ph_choice_suspend (ctx, world, id, SUSPENSION_TIME, false);
  else if (reason_table[reason].failure_class == FAILURE_STALE && !upstream->is_local)
    ph_choice_suspend (ctx, world, id, WITHDRAWAL_TIME, true);
}

void
ph_attempt_fail (PhContext *ctx, PhWorld *world, PhAttemptId id, PhRun run, PhReason reason)
{
  PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  PhCall *call;
  PhCallId call_id;

  if (attempt == NULL)
    return;
  if (attempt->state == PH_ATTEMPT_RESPONDING)
    {
      ph_attempt_finish (ctx, world, id, false);
      return;
    }
  call_id = attempt->call;
  call = ph_call_get (&world->calls, call_id);
  suspend_after_failure (ctx, world, attempt->upstream, reason);
  /* A closed gate says nothing about the upstream, which other routes use as well. */
  if (call->origin == PH_ORIGIN_CALLER && reason_table[reason].failure_class == FAILURE_BUSY
      && reason != PH_REASON_DEPENDENCY)
    ph_choice_record_failure (ctx, world, attempt->upstream);
  ph_trace_failed (ctx, world, attempt, reason);
  close_attempt (ctx, world, id, run, ph_admission_classify (run, reason));
  if (run == PH_RUN_NO && reason == PH_REASON_SHED)
    call->delivered_attempts++;
  if (run > call->run)
    call->run = run;
  call->reason = reason;
  if (call->open_attempts > 0)
    return;
  call->state = PH_CALL_CHOOSING;
  mark_call_pending (world, call, call_id);
}

/* Reports this node's load to the row of the local upstream, and records an error response: an
 * upstream that fails fast must not look fast. */
static void
observe_finish (PhContext *ctx, PhWorld *world, const PhAttempt *attempt)
{
  PhLoad load;

  if (attempt->is_local)
    {
      load = ph_admission_load (world);
      ph_upstream_report_load (ctx, world, attempt->upstream, &load);
    }
  if (attempt->is_error)
    ph_choice_record_failure (ctx, world, attempt->upstream);
}

void
ph_attempt_finish (PhContext *ctx, PhWorld *world, PhAttemptId id, bool is_complete)
{
  PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  PhAttempt ended;
  PhCallId call_id;

  if (attempt == NULL)
    return;
  if (attempt->state != PH_ATTEMPT_RESPONDING)
    {
      ph_attempt_fail (ctx, world, id, PH_RUN_UNKNOWN, PH_REASON_CONNECTION_LOST);
      return;
    }
  call_id = attempt->call;
  ended = *attempt;
  ph_trace_finished (ctx, world, attempt, is_complete);
  close_attempt (ctx, world, id, PH_RUN_YES, is_complete ? PH_OUTCOME_OK : PH_OUTCOME_ERROR);
  PH_INVARIANT (ph_call_get (&world->calls, call_id)->open_attempts == 0);
  if (ph_call_get (&world->calls, call_id)->origin == PH_ORIGIN_CALLER)
    observe_finish (ctx, world, &ended);
  ph_call_remove (&world->calls, call_id);
}

bool
ph_attempt_is_rerun (const PhWorld *world, PhAttemptId id)
{
  const PhAttempt *attempt = ph_attempt_get (&world->attempts, id);

  return attempt != NULL && attempt->is_rerun;
}

/* Whether another attempt is possible at all, regardless of the retry budget. */
static bool
may_resend (const PhCall *call)
{
  return call->pinned_upstream.v == 0 && call->can_resend && call->tried_count < PH_ATTEMPTS_MAX
         && call->delivered_attempts + call->open_attempts < call->attempts_max;
}

bool
ph_call_has_alternatives (const PhWorld *world, const PhCall *call)
{
  const PhService *service = ph_service_get (&world->services, call->service);

  return !call->is_bulk && call->tried_count <= SLOW_REFUSALS_MAX && call->wait_count == 0
         && may_resend (call) && ph_choice_eligible_count (service) > call->tried_count;
}

/* Withdraws the token for another attempt of a call that was not run. Tokens go to deeper calls
 * first: the failure of one wastes the work of the calls above it, while a caller can repeat a
 * first call that was not run. */
static bool
withdraw_not_run (PhContext *ctx, PhWorld *world, const PhCall *call)
{
  PhService *service = ph_service_get (&world->services, call->service);
  bool is_deeper = call->depth > 0;

  if (!world->chain.is_enabled)
    return ph_retry_withdraw (&service->retry, PH_RETRY_NOT_RUN);
  if (ph_chain_leaves_token (ctx, service, is_deeper, call->wait_count > 0, call->priority))
    {
      ph_count (ctx, PH_COUNT_RETRIES_LEFT_TO_DEEPER, !is_deeper);
      return false;
    }
  if (ph_retry_withdraw (&service->retry, PH_RETRY_NOT_RUN))
    return true;
  ph_chain_record_denial (ctx, service, is_deeper, call->priority);
  return false;
}

/* Whether a call that a node refused for lack of a slot needs no token, because another upstream is
 * known to have one. The call does not wait in another queue then, so it adds no load. */
static bool
needs_no_token (PhContext *ctx, const PhWorld *world, const PhService *service, const PhCall *call)
{
  if (call->reason == PH_REASON_DEPENDENCY || !ph_choice_has_free_slot (ctx, world, service, call))
    return false;
  if (!ph_retry_can_withdraw (&service->retry, PH_RETRY_REDIRECT))
    {
      ph_count (ctx, PH_COUNT_REFUSALS_AVOIDED, 1);
      ph_log (ctx, PH_LOG_DEBUG, PH_STEP_CHOOSE, NULL,
              "call of %s redirected without a token: an upstream is known to have a free slot",
              service->name);
    }
  return true;
}

/* Whether another attempt is allowed after the earlier ones failed. Withdraws its tokens from the
 * retry budget. */
static bool
withdraw_retry (PhContext *ctx, PhWorld *world, const PhCall *call)
{
  PhService *service = ph_service_get (&world->services, call->service);
  bool is_redirect = call->reason == PH_REASON_LIMIT || call->reason == PH_REASON_QUEUE_TIME
                     || call->reason == PH_REASON_DEPENDENCY;

  if (!may_resend (call) || reason_table[call->reason].failure_class == FAILURE_FINAL)
    return false;
  if (call->run != PH_RUN_NO)
    return call->is_idempotent && !call->is_rerun
           && ph_retry_withdraw (&service->retry, PH_RETRY_RERUN);
  /* No tokens needed: a refusal of a stale choice has suspended the upstream, so that there are few
   * of these, and a node refuses because its VM is slow only while there are other upstreams. */
  if (reason_table[call->reason].failure_class == FAILURE_STALE
      || reason_table[call->reason].failure_class == FAILURE_SLOW_VM)
    return true;
  if (!is_redirect)
    return withdraw_not_run (ctx, world, call);
  /* A redirect costs only messages. The first one after a wait needs no token: the waits keep those
   * of a call to about 40 a second. */
  return call->is_wait_over || needs_no_token (ctx, world, service, call)
         || ph_retry_withdraw (&service->retry, PH_RETRY_REDIRECT);
}

/* Latest time until which a deeper call may wait. */
static PhTime
latest_wait_end (const PhWorld *world, const PhCall *call)
{
  const PhService *service = ph_service_get (&world->services, call->service);
  PhTime latency = ph_retry_hedge_delay (&service->retry, call->depth);
  PhTime latency_max = (call->deadline - call->opened_at) / WAIT_TIME_DIVISOR;

  return call->deadline - (latency < latency_max ? latency : latency_max);
}

/* Lets a deeper call wait that got no token or found no upstream, instead of being refused. Returns
 * false for any other call, and at the end of its time. */
static bool
wait_for_retry (PhContext *ctx, PhWorld *world, PhCall *call, PhCallId id)
{
  PhService *service = ph_service_get (&world->services, call->service);
  PhTime latest = latest_wait_end (world, call);
  PhTime time = WAIT_FIRST;
  bool needs_token = call->reason != PH_REASON_LIMIT && call->reason != PH_REASON_QUEUE_TIME;

  if (!world->chain.is_enabled || call->depth == 0 || call->origin != PH_ORIGIN_CALLER
      || call->run != PH_RUN_NO || call->reason == PH_REASON_NONE
      || call->reason == PH_REASON_DEPENDENCY || !call->can_resend
      || call->delivered_attempts >= call->attempts_max
      || reason_table[call->reason].failure_class == FAILURE_FINAL
      || ph_choice_eligible_count (service) == 0 || ctx->now >= latest
      || (needs_token && service->token_demand.waiting_count >= TOKEN_WAITERS_MAX))
    return false;
  for (uint32_t i = 0; i < call->wait_count && time < WAIT_MAX; i++)
    time *= 2;
  time = time / 2 + ph_random_below (&ctx->random, (uint32_t)(time / 2 + 1));
  call->wait_ends_at = ctx->now + time < latest ? ctx->now + time : latest;
  if (!ph_timer_add (&world->timers, call->wait_ends_at, PH_TIMER_CALL, id.v))
    return false;
  call->state = PH_CALL_WAITING;
  call->hedge_at = 0;
  call->wait_count += call->wait_count < UINT8_MAX;
  service->token_demand.waiting_count++;
  ph_trace_waited (ctx, world, call);
  return true;
}

bool
ph_attempt_should_rerun (const PhContext *ctx, const PhWorld *world, PhAttemptId id)
{
  const PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  const PhCall *call = attempt != NULL ? ph_call_get (&world->calls, attempt->call) : NULL;
  const PhService *service;

  if (call == NULL || call->origin != PH_ORIGIN_CALLER || call->state != PH_CALL_TRYING
      || !call->is_idempotent || call->is_rerun || call->open_attempts > 1 || !may_resend (call))
    return false;
  service = ph_service_get (&world->services, call->service);
  return service->upstream_count > call->tried_count
         && (double)ph_call_time_left (ctx, call) > service->latency_us
         && ph_retry_can_withdraw (&service->retry, PH_RETRY_RERUN);
}

static PhAttemptId
add_attempt (PhContext *ctx, PhWorld *world, PhCallId call_id, PhUpstreamId upstream_id)
{
  PhCall *call = ph_call_get (&world->calls, call_id);
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, upstream_id);
  PhAttempt *attempt;
  PhAttemptId id = ph_attempt_add (&world->attempts, &attempt);

  if (id.v == 0)
    return id;
  PH_INVARIANT (
      call->is_idempotent
      || (call->open_attempts == 0 && call->run == PH_RUN_NO && call->maybe_run_count == 0));
  PH_INVARIANT (call->tried_count < PH_ATTEMPTS_MAX);
  attempt->call = call_id;
  attempt->upstream = upstream_id;
  attempt->is_local = upstream->is_local;
  attempt->is_rerun = call->is_rerun || call->open_attempts > 0 || call->run != PH_RUN_NO;
  attempt->queued_at = ctx->now;
  call->is_retry_paid = false;
  call->is_wait_over = false;
  upstream->outstanding++;
  upstream->sent_since_report++;
  upstream->last_sent_at = ctx->now;
  call->tried_upstreams[call->tried_count] = upstream_id;
  call->tried_epochs[call->tried_count] = upstream->epoch;
  call->tried_members[call->tried_count++] = upstream->member;
  call->open_attempts++;
  PH_INVARIANT (call->open_attempts <= OPEN_ATTEMPTS_MAX);
  call->state = PH_CALL_TRYING;
  return id;
}

static void
start_attempt (PhContext *ctx, PhWorld *world, PhAttemptId id)
{
  PhAttempt *attempt = ph_attempt_get (&world->attempts, id);

  if (attempt->is_local)
    {
      PhReason reason = ph_admission_enqueue (ctx, world, id);

      if (reason != PH_REASON_NONE)
        ph_attempt_fail (ctx, world, id, PH_RUN_NO, reason);
      return;
    }
  attempt->state = PH_ATTEMPT_STARTED;
  attempt->started_at = ctx->now;
  ph_trace_started (ctx, world, attempt);
  world->effects.start_attempt (world->effects.user, id);
}

/* Schedules a hedge of the attempt that is about to start, unless one is scheduled, an earlier
 * attempt has reached an upstream, or the call does not allow a hedge. */
static void
schedule_hedge (PhContext *ctx, PhWorld *world, PhCall *call, PhCallId id)
{
  const PhService *service = ph_service_get (&world->services, call->service);
  PhTime delay = ph_retry_hedge_delay (&service->retry, call->depth);
  PhTime useful_delay
      = call->objective_at != PH_TIME_NEVER ? (call->objective_at - ctx->now) / 2 : PH_TIME_NEVER;

  /* The response to a later hedge would miss the objective as well. Without enough samples of the
   * latency, as on one of many nodes, the objective alone decides. */
  if (useful_delay < delay)
    delay = useful_delay;

  if (!call->is_idempotent || call->is_rerun || call->delivered_attempts > 0 || call->hedge_at != 0
      || delay <= 0 || !may_resend (call) || delay >= ph_call_time_left (ctx, call))
    return;
  if (ph_timer_add (&world->timers, ctx->now + delay, PH_TIMER_CALL, id.v))
    call->hedge_at = ctx->now + delay;
}

/* Whether a hedge may go to an upstream. For a large response, the traffic between data centres
 * costs more than waiting for the first attempt. */
static bool
may_hedge_to (const PhWorld *world, const PhCall *call, PhUpstreamId id)
{
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  return upstream != NULL && (!call->is_bulk || upstream->data_centre.v == world->data_centre.v);
}

static void
start_hedge (PhContext *ctx, PhWorld *world, PhCallId id)
{
  PhCall *call = ph_call_get (&world->calls, id);
  PhService *service = ph_service_get (&world->services, call->service);
  PhUpstreamId upstream;

  if (call->state != PH_CALL_TRYING || call->open_attempts != 1 || !may_resend (call))
    return;
  upstream = world->choose (world->choose_user, ctx, world, service, call);
  if (!may_hedge_to (world, call, upstream) || !ph_retry_withdraw (&service->retry, PH_RETRY_HEDGE))
    return;
  call->hedge_attempt = add_attempt (ctx, world, id, upstream);
  if (call->hedge_attempt.v == 0)
    return;
  ph_trace_retried (ctx, world, call, true);
  start_attempt (ctx, world, call->hedge_attempt);
}

static PhUpstreamId
choose_upstream (PhContext *ctx, PhWorld *world, const PhCall *call)
{
  PhService *service = ph_service_get (&world->services, call->service);

  return call->pinned_upstream.v != 0
             ? call->pinned_upstream
             : world->choose (world->choose_user, ctx, world, service, call);
}

static PhReason
no_upstream_reason (const PhCall *call)
{
  if (call->tried_count > 0 || call->wait_count > 0)
    return call->reason;
  return call->pinned_upstream.v != 0 ? PH_REASON_STALE_UPSTREAM : PH_REASON_NO_UPSTREAM;
}

static void
advance_call (PhContext *ctx, PhWorld *world, PhCallId id)
{
  PhCall *call = ph_call_get (&world->calls, id);
  bool is_retry = call->tried_count > 0 || call->wait_count > 0;
  PhUpstreamId upstream;

  if (call->state != PH_CALL_CHOOSING)
    return;
  if (ph_call_time_left (ctx, call) == 0)
    {
      refuse_call (ctx, world, id, PH_REASON_DEADLINE);
      return;
    }
  if (is_retry && !call->is_retry_paid && !withdraw_retry (ctx, world, call))
    {
      ph_count (ctx, PH_COUNT_RETRIES_DENIED, may_resend (call));
      if (!wait_for_retry (ctx, world, call, id))
        refuse_call (ctx, world, id, call->reason);
      return;
    }
  upstream = choose_upstream (ctx, world, call);
  if (ph_upstream_get (&world->upstreams, upstream) == NULL)
    {
      call->is_retry_paid = is_retry;
      if (!wait_for_retry (ctx, world, call, id))
        refuse_call (ctx, world, id, no_upstream_reason (call));
      return;
    }
  call->latest_attempt = add_attempt (ctx, world, id, upstream);
  if (call->latest_attempt.v == 0)
    {
      refuse_call (ctx, world, id, PH_REASON_TABLE_FULL);
      return;
    }
  if (is_retry)
    ph_trace_retried (ctx, world, call, false);
  schedule_hedge (ctx, world, call, id);
  start_attempt (ctx, world, call->latest_attempt);
}

void
ph_call_system (PhContext *ctx, PhWorld *world)
{
  uint32_t handle;

  while ((handle = ph_queue_pop (&world->pending_calls)) != 0)
    {
      PhCallId id = { handle };
      PhCall *call = ph_call_get (&world->calls, id);

      if (call == NULL)
        continue;
      call->is_pending = false;
      advance_call (ctx, world, id);
    }
}

/* Whether the upstream may have received the request of an open attempt. */
static PhRun
run_of_open_attempt (const PhWorld *world, PhAttemptId id)
{
  const PhAttempt *attempt = ph_attempt_get (&world->attempts, id);

  return attempt == NULL || attempt->state == PH_ATTEMPT_QUEUED ? PH_RUN_NO : PH_RUN_UNKNOWN;
}

/* The attempt whose response the caller gets. */
static PhAttemptId
responding_attempt (const PhWorld *world, const PhCall *call)
{
  return ph_attempt_get (&world->attempts, call->latest_attempt) != NULL ? call->latest_attempt
                                                                         : call->hedge_attempt;
}

/* Ends a response past the deadline that has made no progress since the last check. */
static void
check_progress (PhContext *ctx, PhWorld *world, PhCallId id)
{
  PhCall *call = ph_call_get (&world->calls, id);
  PhAttemptId attempt = responding_attempt (world, call);
  bool is_first = call->stall_check_at == 0;
  uint64_t moved;

  if (world->effects.response_progress == NULL || ctx->now < call->deadline
      || ctx->now < call->stall_check_at)
    return;
  moved = world->effects.response_progress (world->effects.user, attempt);
  if (!is_first && moved == call->moved_bytes && moved != PH_PROGRESS_HELD)
    {
      ph_log (ctx, PH_LOG_INFO, PH_STEP_RESPONSE,
              ph_trace_peer (world, ph_attempt_get (&world->attempts, attempt)),
              "the response is ended: its deadline has passed and its body does not move");
      world->effects.end_response (world->effects.user, attempt);
      return;
    }
  call->moved_bytes = moved;
  call->stall_check_at = ctx->now + (is_first ? STALL_TIME_FIRST : STALL_TIME);
  ph_timer_add (&world->timers, call->stall_check_at, PH_TIMER_CALL, id.v);
}

/* Tries a waiting call again. Once all upstreams were tried, any of them may have a free slot now.
 */
static void
resume_call (PhWorld *world, PhCall *call, PhCallId id)
{
  const PhService *service = ph_service_get (&world->services, call->service);

  end_wait (world, call);
  if (call->tried_count == PH_ATTEMPTS_MAX || call->is_retry_paid
      || call->tried_count >= ph_choice_eligible_count (service))
    call->tried_count = 0;
  call->is_wait_over = true;
  mark_call_pending (world, call, id);
}

void
ph_call_timer (PhContext *ctx, PhWorld *world, uint32_t handle)
{
  PhCallId id = { handle };
  PhCall *call = ph_call_get (&world->calls, id);

  if (call == NULL)
    return;
  if (call->state == PH_CALL_RESPONDING)
    {
      check_progress (ctx, world, id);
      return;
    }
  if (ctx->now < call->deadline)
    {
      if (call->state == PH_CALL_WAITING)
        {
          if (ctx->now >= call->wait_ends_at)
            resume_call (world, call, id);
          return;
        }
      if (call->hedge_at == 0 || ctx->now < call->hedge_at)
        return;
      call->hedge_at = 0;
      start_hedge (ctx, world, id);
      return;
    }
  if (run_of_open_attempt (world, call->latest_attempt) == PH_RUN_UNKNOWN
      || run_of_open_attempt (world, call->hedge_attempt) == PH_RUN_UNKNOWN)
    call->run = PH_RUN_UNKNOWN;
  abandon_attempt (ctx, world, call->latest_attempt);
  abandon_attempt (ctx, world, call->hedge_attempt);
  refuse_call (ctx, world, id, PH_REASON_DEADLINE);
}

void
ph_call_limit_deadlines (PhWorld *world, PhTime latest)
{
  PhCallId id = { 0 };

  while ((id = ph_call_next (&world->calls, id)).v != 0)
    {
      PhCall *call = ph_call_get (&world->calls, id);

      if (call->deadline <= latest)
        continue;
      call->deadline = latest;
      ph_timer_add (&world->timers, latest, PH_TIMER_CALL, id.v);
    }
}

static uint32_t
count_waiting_calls (const PhWorld *world, PhServiceId service)
{
  PhCallId id = { 0 };
  uint32_t count = 0;

  while ((id = ph_call_next (&world->calls, id)).v != 0)
    {
      const PhCall *call = ph_call_get (&world->calls, id);

      count += call->state == PH_CALL_WAITING && call->service.v == service.v;
    }
  return count;
}

static uint32_t
count_open_attempts (const PhWorld *world, PhCallId call, PhUpstreamId upstream)
{
  PhAttemptId id = { 0 };
  uint32_t count = 0;

  while ((id = ph_attempt_next (&world->attempts, id)).v != 0)
    {
      const PhAttempt *attempt = ph_attempt_get (&world->attempts, id);

      count += call.v != 0 ? attempt->call.v == call.v : attempt->upstream.v == upstream.v;
    }
  return count;
}

void
ph_call_verify (const PhWorld *world)
{
  PhCallId call = { 0 };
  PhUpstreamId upstream = { 0 };
  PhServiceId service = { 0 };
  uint32_t open = 0;

  while ((call = ph_call_next (&world->calls, call)).v != 0)
    {
      const PhCall *row = ph_call_get (&world->calls, call);

      PH_INVARIANT (count_open_attempts (world, call, (PhUpstreamId){ 0 }) == row->open_attempts);
      PH_INVARIANT (row->state == PH_CALL_WAITING    ? row->open_attempts == 0 && !row->is_pending
                    : row->state == PH_CALL_CHOOSING ? row->is_pending
                                                     : row->open_attempts > 0);
      PH_INVARIANT (row->state != PH_CALL_WAITING
                    || (row->depth > 0 && row->origin == PH_ORIGIN_CALLER && row->run == PH_RUN_NO
                        && row->maybe_run_count == 0 && row->wait_count > 0
                        && row->delivered_attempts < row->attempts_max));
      open += row->open_attempts;
    }
  PH_INVARIANT (open == world->attempts.count);
  while ((service = ph_service_next (&world->services, service)).v != 0)
    PH_INVARIANT (count_waiting_calls (world, service)
                  == ph_service_get (&world->services, service)->token_demand.waiting_count);
  while ((upstream = ph_upstream_next (&world->upstreams, upstream)).v != 0)
    PH_INVARIANT (count_open_attempts (world, (PhCallId){ 0 }, upstream)
                  == ph_upstream_get (&world->upstreams, upstream)->outstanding);
}
