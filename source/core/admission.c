#include "pollenhitch/admission.h"

#include "pollenhitch/invariant.h"
#include "pollenhitch/trace.h"
#include "pollenhitch/world.h"

/* The estimate of the time between releases halves in this time without samples. After a long stop
 * of the upstream it would else refuse every attempt that has to wait, and never be corrected. */
#define INTERVAL_HALF_LIFE (250 * PH_MS)
#define INTERVAL_MAX PH_SECOND

/* The upstream turned cold without warning when errors have brought the limit down to this share of
 * its slots, or sheds down to 1. A shed costs little, and an upstream that sheds for a while is
 * back at once, so sheds alone are left to the limit, which recovers faster than a cold start. */
#define COLD_SHARE (1.0 / 3)

/* A call is sent on when the VM was told to take this part of the usual time within this age. */
#define SLOW_PERCENT 200
#define SLOWNESS_FRESH (150 * PH_MS)

/* Longest wait of a call for the answer of a check on a VM of which nothing was heard lately. */
#define ASK_TIME (10 * PH_MS)

/* An attempt that is cancelled after this multiple of the usual latency without the head of a
 * response counts as an error, unless the upstream has answered another one since it started. An
 * upstream that hangs shows only cancelled attempts; one that answers may wait for another service,
 * and a whole chain of calls is cancelled together. */
#define LATE_FACTOR 4

/* Deviations over the mean latency within which nearly all calls end (Jacobson 1988 uses 4). */
#define CERTAIN_DEVIATIONS 3

/* Distances of the bands of ph_queue_order_urgency: longer than any deadline within a band. */
#define PRIORITY_BAND (100000 * PH_SECOND)
#define LATE_BAND (256 * PRIORITY_BAND)

PhTime
ph_queue_order_latest_start (void *user, const PhCall *call, PhTime now, PhTime latest_start)
{
  (void)user;
  (void)call;
  (void)now;
  return latest_start;
}

PhTime
ph_queue_order_fifo (void *user, const PhCall *call, PhTime now, PhTime latest_start)
{
  (void)user;
  (void)call;
  (void)latest_start;
  return now;
}

PhTime
ph_queue_order_lifo (void *user, const PhCall *call, PhTime now, PhTime latest_start)
{
  (void)user;
  (void)call;
  (void)latest_start;
  return -now;
}

PhTime
ph_queue_order_urgency (void *user, const PhCall *call, PhTime now, PhTime latest_start)
{
  PhTime key = latest_start + call->priority * PRIORITY_BAND;

  (void)user;
  (void)now;
  return call->is_expected_late ? key + LATE_BAND : key;
}

/* Limits that operators set for the version of an upstream, or NULL. */
static const PhVersionRule *
rule_of (const PhWorld *world, const PhUpstream *upstream)
{
  return ph_service_version_rule (ph_service_get (&world->services, upstream->service),
                                  upstream->version);
}

/* Calls that the upstream has announced to bear, within the limit of operators. */
static double
max_of (const PhWorld *world, const PhUpstream *upstream)
{
  const PhVersionRule *rule = rule_of (world, upstream);
  const PhServiceRules *rules = &ph_service_get (&world->services, upstream->service)->rules;
  uint32_t max
      = rules->slot_percent != 0 ? upstream->slots * rules->slot_percent / 100 : upstream->slots;

  if (upstream->connections > 0 && upstream->connections < max)
    max = upstream->connections;
  if (rule != NULL && rule->max_slots > 0 && rule->max_slots < max)
    max = rule->max_slots;
  return max > 0 ? max : 1;
}

/* Calls a second that the cold upstream bears by its service's rules; 0 when they do not tell. */
static double
cold_per_s (const PhWorld *world)
{
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, world->admission.upstream);
  const PhService *service
      = upstream != NULL ? ph_service_get (&world->services, upstream->service) : NULL;

  return service != NULL ? service->rules.cold_calls_per_s : 0;
}

void
ph_admission_report_slowdown (const PhContext *ctx, PhWorld *world, uint32_t slowdown_percent)
{
  world->admission.slowdown_percent = slowdown_percent;
  world->admission.slowdown_reported_at = ctx->now;
  world->admission.is_pending = true; /* calls that wait can be better off elsewhere */
}

/* The upstream may be cold: keeps to the rate until it says that it is not. */
static void
assume_cold (PhContext *ctx, PhWorld *world)
{
  PhAdmission *admission = &world->admission;
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, admission->upstream);
  const PhService *service = ph_service_get (&world->services, upstream->service);

  admission->cold_start.is_cold = false;
  ph_cold_rate_begin (&admission->cold_rate, ctx->now, ctx->now + service->rules.cold_duration);
  ph_probe_request (ctx, world);
}

void
ph_admission_report_cold (PhContext *ctx, PhWorld *world, PhTime cold_time_left)
{
  PhAdmission *admission = &world->admission;

  if (cold_time_left > 0 && !ph_cold_rate_is_cold (&admission->cold_rate, ctx->now))
    ph_log (ctx, PH_LOG_INFO, PH_STEP_ADMIT, NULL, "the local upstream is cold for %lld ms",
            (long long)(cold_time_left / PH_MS));
  ph_cold_rate_begin (&admission->cold_rate, ctx->now, ctx->now + cold_time_left);
  admission->is_pending = true;
}

void
ph_admission_begin_cold (PhContext *ctx, PhWorld *world, bool is_announced)
{
  PhAdmission *admission = &world->admission;
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, admission->upstream);
  const PhVersionRule *rule = upstream != NULL ? rule_of (world, upstream) : NULL;

  if (cold_per_s (world) > 0)
    {
      assume_cold (ctx, world);
      return;
    }
  ph_cold_begin (&admission->cold_start, ctx->now, is_announced, admission->limit.max);
  if (rule != NULL && rule->cold_start_s > 0)
    ph_cold_set_ramp (&admission->cold_start, rule->cold_start_s * PH_SECOND, admission->limit.max);
}

void
ph_admission_reset (PhContext *ctx, PhWorld *world)
{
  PhAdmission *admission = &world->admission;
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, admission->upstream);
  double max = upstream != NULL ? max_of (world, upstream) : 1;

  /* The same port can be the same process that announced late, so its calls still count. */
  if (upstream != NULL && upstream->port != admission->upstream_port)
    {
      admission->upstream_port = upstream->port;
      admission->upstream_generation++;
      admission->in_flight = 0;
      admission->responding_count = 0;
    }
  ph_limit_reset (&admission->limit, max, max);
  admission->limit.shed_floor_fraction = admission->policy.shed_floor_fraction;
  ph_admission_begin_cold (ctx, world, upstream != NULL && upstream->state == PH_UPSTREAM_COLD);
  admission->release_interval = (PhEstimate){ 0 };
  admission->had_queued_attempts = false;
  admission->is_pending = true;
}

void
ph_admission_init (PhContext *ctx, PhWorld *world)
{
  world->admission.policy = (PhAdmissionPolicy){ .adapt_limit = ph_limit_gradient,
                                                 .queue_order = ph_queue_order_urgency,
                                                 .drops_early = true };
  world->admission.queue_timer_at = PH_TIME_NEVER;
  ph_admission_reset (ctx, world);
}

/* The limit without regard to a pause. */
static double
level_of (const PhAdmission *admission)
{
  return admission->cold_start.is_cold ? admission->cold_start.step_limit : admission->limit.value;
}

uint32_t
ph_admission_limit (const PhContext *ctx, const PhWorld *world)
{
  const PhAdmission *admission = &world->admission;

  if (admission->cold_start.is_cold && ctx->now < admission->cold_start.paused_until)
    return 0;
  return (uint32_t)level_of (admission);
}

/* Why the local upstream gets no new work, if so. */
static PhReason
closed_reason (const PhContext *ctx, const PhWorld *world, PhUpstreamId id)
{
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, world->admission.upstream);
  const PhDataCentre *dc = ph_data_centre_get (&world->data_centres, world->data_centre);

  if (upstream == NULL || id.v != world->admission.upstream.v)
    return PH_REASON_STALE_UPSTREAM;
  if (upstream->state == PH_UPSTREAM_DRAINING)
    return PH_REASON_DRAINING;
  if (dc != NULL && dc->is_out_of_service)
    return PH_REASON_DATA_CENTRE_OUT;
  if (!ph_registration_admits_calls (world))
    return PH_REASON_STALE_UPSTREAM;
  return ph_probe_is_down (ctx, world) ? PH_REASON_CONNECT : PH_REASON_NONE;
}

/* Time until a slot is free for the attempt at this place of the queue. */
static double
expected_wait (const PhContext *ctx, const PhWorld *world, uint32_t rank)
{
  const PhAdmission *admission = &world->admission;
  uint32_t limit = ph_admission_limit (ctx, world);
  uint32_t free_slots = limit > admission->in_flight ? limit - admission->in_flight : 0;
  double pause = limit == 0 ? (double)(admission->cold_start.paused_until - ctx->now) : 0;
  double per_s = cold_per_s (world);

  if (per_s > 0 && ph_cold_rate_is_cold (&admission->cold_rate, ctx->now))
    return (double)(ph_cold_rate_next_at (&admission->cold_rate, ctx->now, per_s) - ctx->now)
           + rank / per_s * PH_SECOND;
  return rank < free_slots ? 0
                           : pause
                                 + (rank + 1 - free_slots)
                                       * ph_estimate_value (&admission->release_interval, ctx->now,
                                                            INTERVAL_HALF_LIFE);
}

/* Latest start of a call that is estimated to meet its deadline. While others wait, the slot goes
 * to a call that meets its deadline almost for certain; else only a hopeless call is not started.
 */
static PhTime
latest_start (const PhContext *ctx, const PhWorld *world, PhTime deadline, bool is_contended)
{
  const PhLimit *limit = &world->admission.limit;

  if (!world->admission.policy.drops_early)
    return deadline;
  return deadline
         - ph_limit_latency (limit, ctx->now, is_contended ? CERTAIN_DEVIATIONS : 0)
               / (is_contended ? 1 : 2);
}

static PhTime
end_of_queue_time (const PhWorld *world, const PhAttempt *attempt)
{
  const PhCall *call = ph_call_get (&world->calls, attempt->call);
  const PhService *service = ph_service_get (&world->services, call->service);

  return attempt->queued_at + (PhTime)service->rules.queue_ms * PH_MS;
}

static PhTime
earlier (PhTime a, PhTime b)
{
  return a < b ? a : b;
}

static PhWaitEntry
entry_of (const PhAttempt *attempt, PhAttemptId id)
{
  return (PhWaitEntry){ attempt->queue_key, attempt->queued_at, id.v };
}

/* Latest start with which a call is expected to meet its objective. */
static PhTime
useful_start (const PhContext *ctx, const PhWorld *world, const PhCall *call)
{
  if (call->objective_at == PH_TIME_NEVER)
    return PH_TIME_NEVER;
  return call->objective_at - ph_limit_latency (&world->admission.limit, ctx->now, 0);
}

/* Sets the place of an attempt in the queue. */
static void
set_key (PhContext *ctx, PhWorld *world, PhAttemptId id, PhTime start_by)
{
  const PhAdmissionPolicy *policy = &world->admission.policy;
  PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  PhCall *call = ph_call_get (&world->calls, attempt->call);
  PhTime useful_by = useful_start (ctx, world, call);

  call->is_expected_late = useful_by < ctx->now;
  attempt->queue_key
      = policy->queue_order (policy->queue_order_user, call, ctx->now,
                             call->is_expected_late ? start_by : earlier (start_by, useful_by));
}

/* Moves an attempt that can no longer meet its objective behind those that can. Returns false when
 * it keeps its place. */
static bool
move_late (PhContext *ctx, PhWorld *world, PhAttemptId id)
{
  PhAdmission *admission = &world->admission;
  PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  PhCall *call = ph_call_get (&world->calls, attempt->call);
  PhWaitEntry entry = entry_of (attempt, id);

  if (call->is_expected_late || admission->queued < 2
      || useful_start (ctx, world, call) >= ctx->now)
    return false;
  ph_waitqueue_remove (&admission->queue, &entry);
  set_key (ctx, world, id,
           earlier (latest_start (ctx, world, call->deadline, true),
                    end_of_queue_time (world, attempt)));
  entry = entry_of (attempt, id);
  ph_waitqueue_add (&admission->queue, &entry);
  return true;
}

static void
arm_queue_timer (PhWorld *world, PhTime at)
{
  if (at >= world->admission.queue_timer_at)
    return;
  if (ph_timer_add (&world->timers, at, PH_TIMER_QUEUE, 0))
    world->admission.queue_timer_at = at;
}

static const PhCall *
call_of (const PhWorld *world, const PhAttempt *attempt)
{
  return ph_call_get (&world->calls, attempt->call);
}

/* Whether the call can go to another upstream: its entry node says so, which can be this node. */
static bool
has_others (const PhWorld *world, const PhCall *call)
{
  return call->origin == PH_ORIGIN_PEER ? call->has_alternatives
                                        : ph_call_has_alternatives (world, call);
}

/* Whether a call that has other upstreams to go to is better off there: this one's VM is slow now,
 * which the node that chose it could not know. A call that would wait is not sent on: under
 * overload others are as full, and each hop costs bytes and time. */
static bool
is_better_elsewhere (const PhContext *ctx, const PhWorld *world)
{
  const PhAdmission *admission = &world->admission;

  return (admission->slowdown_percent >= SLOW_PERCENT
          && ctx->now - admission->slowdown_reported_at < SLOWNESS_FRESH);
}

PhReason
ph_admission_enqueue (PhContext *ctx, PhWorld *world, PhAttemptId id)
{
  PhAdmission *admission = &world->admission;
  PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  const PhCall *call = ph_call_get (&world->calls, attempt->call);
  PhReason reason = closed_reason (ctx, world, attempt->upstream);
  PhTime start_by;
  PhWaitEntry entry;
  double wait;

  if (reason != PH_REASON_NONE)
    return reason;
  if (ph_probe_refresh_slowdown (ctx, world))
    admission->health_check_wait_until = ctx->now + ASK_TIME;
  if (has_others (world, call) && is_better_elsewhere (ctx, world))
    return PH_REASON_SLOW;
  attempt->queued_at = ctx->now;
  start_by = earlier (latest_start (ctx, world, call->deadline, true),
                      end_of_queue_time (world, attempt));
  set_key (ctx, world, id, start_by);
  entry = entry_of (attempt, id);
  wait = expected_wait (ctx, world, ph_waitqueue_rank (&admission->queue, &entry));
  if (admission->policy.drops_early && wait > 0 && (double)ctx->now + wait > (double)start_by)
    return PH_REASON_LIMIT;
  if (!ph_waitqueue_add (&admission->queue, &entry))
    return PH_REASON_LIMIT;
  admission->queued++;
  admission->is_pending = true;
  return PH_REASON_NONE;
}

void
ph_admission_dequeue (PhContext *ctx, PhWorld *world, PhAttemptId id)
{
  PhAdmission *admission = &world->admission;
  PhWaitEntry entry = entry_of (ph_attempt_get (&world->attempts, id), id);

  (void)ctx;
  if (!ph_waitqueue_remove (&admission->queue, &entry))
    return;
  admission->queued--;
  PH_INVARIANT (admission->queued == ph_waitqueue_count (&admission->queue));
}

void
ph_admission_queue_timer (PhContext *ctx, PhWorld *world, uint32_t handle)
{
  (void)handle;
  if (ctx->now < world->admission.queue_timer_at)
    return;
  world->admission.queue_timer_at = PH_TIME_NEVER;
  world->admission.is_pending = true;
}

PhOutcome
ph_admission_classify (PhRun run, PhReason reason)
{
  if (reason == PH_REASON_SHED || reason == PH_REASON_CONNECT)
    return PH_OUTCOME_SHED;
  return run != PH_RUN_NO ? PH_OUTCOME_ERROR : PH_OUTCOME_UNKNOWN;
}

static PhOutcome
refine_outcome (const PhContext *ctx,
                const PhAdmission *admission,
                const PhAttempt *attempt,
                PhOutcome outcome)
{
  double usual = admission->limit.latency.value;

  if (outcome == PH_OUTCOME_OK && attempt->is_error)
    return PH_OUTCOME_ERROR;
  /* Says nothing about this upstream's load. Taken for its failure, one refusal at the end of a
   * chain of calls lowers the limits of all upstreams on the way, and causes the next refusal. */
  if (outcome == PH_OUTCOME_OK && attempt->is_dependency_error)
    return PH_OUTCOME_UNKNOWN;
  if (outcome == PH_OUTCOME_UNKNOWN && attempt->responded_at == 0 && usual > 0
      && admission->last_response_at < attempt->started_at
      && (double)(ctx->now - attempt->started_at) > LATE_FACTOR * usual)
    return PH_OUTCOME_ERROR;
  return outcome;
}

static void
note_release (const PhContext *ctx, PhAdmission *admission)
{
  double interval = (double)(ctx->now - admission->last_release_at);

  if (admission->had_queued_attempts)
    ph_estimate_add (&admission->release_interval, ctx->now, INTERVAL_HALF_LIFE,
                     interval < INTERVAL_MAX ? interval : INTERVAL_MAX);
  admission->had_queued_attempts = admission->queued > 0;
  admission->last_release_at = ctx->now;
}

static bool
is_down_to_cold (const PhAdmission *admission, const PhSample *sample)
{
  return admission->limit.value
         <= (sample->outcome == PH_OUTCOME_SHED ? 1 : COLD_SHARE * admission->limit.max + 1);
}

static void
note_sample (PhContext *ctx, PhWorld *world, const PhSample *sample)
{
  PhAdmission *admission = &world->admission;
  PhTime decreased_at = admission->limit.decreased_at;

  if (sample->outcome == PH_OUTCOME_ERROR && admission->policy.keeps_limit_on_errors)
    {
      ph_limit_count_error (&admission->limit);
      return;
    }
  ph_limit_sample (&admission->limit, admission->policy.adapt_limit,
                   admission->policy.adapt_limit_user, sample);
  if (admission->cold_start.is_cold)
    {
      ph_cold_sample (&admission->cold_start, sample, admission->limit.max);
      admission->limit.value = admission->limit.max;
    }
  else if (admission->limit.decreased_at != decreased_at && is_down_to_cold (admission, sample))
    {
      ph_log (ctx, PH_LOG_INFO, PH_STEP_ADMIT, NULL,
              "the local upstream is taken as cold: %s brought its limit down to %.1f of %.0f",
              sample->outcome == PH_OUTCOME_SHED ? "shed calls" : "errors", admission->limit.value,
              admission->limit.max);
      ph_admission_begin_cold (ctx, world, false);
    }
}

/* Counts an attempt as evidence on the version of the local upstream. An attempt that was cancelled
 * before its response counts as the slowest, past its deadline as failed. */
static void
observe_version (PhContext *ctx, PhWorld *world, const PhAttempt *attempt, const PhSample *sample)
{
  const PhCall *call = ph_call_get (&world->calls, attempt->call);

  if (sample->outcome == PH_OUTCOME_OK || sample->outcome == PH_OUTCOME_ERROR)
    ph_move_observe (ctx, world, call->route_bucket, sample->latency,
                     sample->outcome == PH_OUTCOME_ERROR);
  else if (attempt->is_dependency_error)
    ph_move_observe (ctx, world, call->route_bucket, sample->latency, true);
  else if (sample->outcome == PH_OUTCOME_UNKNOWN && attempt->responded_at == 0)
    ph_move_observe (ctx, world, call->route_bucket, PH_MOVE_LATENCY_ABANDONED,
                     ctx->now >= call->deadline);
}

void
ph_admission_response_started (PhContext *ctx, PhWorld *world, PhAttemptId id)
{
  PhAdmission *admission = &world->admission;
  const PhAttempt *attempt = ph_attempt_get (&world->attempts, id);

  if (!attempt->is_slot_held || attempt->upstream_generation != admission->upstream_generation)
    return;
  admission->responding_count++;
  admission->last_response_at = ctx->now;
}

void
ph_admission_release (PhContext *ctx, PhWorld *world, PhAttemptId id, PhOutcome outcome)
{
  PhAdmission *admission = &world->admission;
  const PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  PhSample sample = { .now = ctx->now,
                      .started_at = attempt->started_at,
                      .outcome = refine_outcome (ctx, admission, attempt, outcome),
                      .in_flight = admission->in_flight };

  if (attempt->upstream_generation != admission->upstream_generation)
    return;
  PH_INVARIANT (admission->in_flight > 0);
  admission->in_flight--;
  if (attempt->responded_at != 0)
    admission->responding_count--;
  admission->is_pending = true;
  note_release (ctx, admission);
  ph_probe_observe (ctx, world, sample.outcome);
  sample.latency
      = (attempt->responded_at != 0 ? attempt->responded_at : ctx->now) - attempt->started_at;
  if (attempt->upstream.v != admission->upstream.v)
    return;
  note_sample (ctx, world, &sample);
  observe_version (ctx, world, attempt, &sample);
}

PhLoad
ph_admission_load (const PhWorld *world)
{
  const PhAdmission *admission = &world->admission;

  return (PhLoad){ admission->in_flight, admission->queued, (uint32_t)level_of (admission),
                   (uint32_t)ph_limit_time_per_success (&admission->limit),
                   admission->slowdown_percent };
}

/* Takes over what changed in the announcement and in the state of the data centre. */
static void
follow_state (PhContext *ctx, PhWorld *world)
{
  PhAdmission *admission = &world->admission;
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, admission->upstream);
  const PhDataCentre *dc = ph_data_centre_get (&world->data_centres, world->data_centre);
  bool is_out = dc != NULL && dc->is_out_of_service;

  if ((admission->was_out_of_service && !is_out)
      || (upstream != NULL && upstream->port != admission->upstream_port))
    ph_admission_reset (ctx, world);
  admission->was_out_of_service = is_out;
  if (upstream == NULL)
    return;
  /* The rules came after the announcement. */
  if (admission->cold_start.is_cold && cold_per_s (world) > 0)
    assume_cold (ctx, world);
  if (max_of (world, upstream) != admission->limit.max)
    ph_limit_set_max (&admission->limit, max_of (world, upstream));
  if (admission->cold_start.step_limit > admission->limit.max)
    admission->cold_start.step_limit = admission->limit.max;
  if (admission->queued > 0)
    ph_cold_observe_held_slots (&admission->cold_start, ctx->now, admission->responding_count,
                                admission->limit.max);
  if (admission->cold_start.is_announced && upstream->state != PH_UPSTREAM_COLD)
    ph_cold_announced_ready (&admission->cold_start, admission->limit.max);
}

static void
start_queued (PhContext *ctx, PhWorld *world, PhAttemptId id, PhAttempt *attempt)
{
  PhAdmission *admission = &world->admission;

  ph_admission_dequeue (ctx, world, id);
  admission->in_flight++;
  PH_INVARIANT (admission->in_flight <= ph_admission_limit (ctx, world));
  PH_INVARIANT (admission->in_flight <= admission->limit.max);
  attempt->state = PH_ATTEMPT_STARTED;
  attempt->is_slot_held = true;
  attempt->upstream_generation = admission->upstream_generation;
  attempt->started_at = ctx->now;
  ph_trace_started (ctx, world, attempt);
  world->effects.start_attempt (world->effects.user, id);
}

/* Latest start of a queued attempt. One call in flight is always allowed, so that the estimate of
 * the latency can recover. */
static PhTime
start_by_of (const PhContext *ctx, const PhWorld *world, const PhAttempt *attempt)
{
  const PhCall *call = ph_call_get (&world->calls, attempt->call);

  if (world->admission.in_flight == 0)
    return call->deadline;
  return latest_start (ctx, world, call->deadline, world->admission.queued > 1);
}

/* Why a queued attempt is not to be started at all, if so. */
static PhReason
refusal_of (const PhContext *ctx, const PhWorld *world, const PhAttempt *attempt)
{
  PhReason reason = closed_reason (ctx, world, attempt->upstream);

  if (reason != PH_REASON_NONE)
    return reason;
  if (is_better_elsewhere (ctx, world) && has_others (world, call_of (world, attempt)))
    return PH_REASON_SLOW;
  if (ctx->now > end_of_queue_time (world, attempt))
    return PH_REASON_QUEUE_TIME;
  if (ctx->now > start_by_of (ctx, world, attempt))
    return PH_REASON_DEADLINE;
  return PH_REASON_NONE;
}

/* Whether a call waits for the answer of a check that was sent because the last word on the VM is
 * old: one that can go elsewhere is not started on a VM that may be slow. */
static bool
is_asking (const PhContext *ctx, const PhWorld *world, const PhAttempt *attempt)
{
  const PhAdmission *admission = &world->admission;

  return ctx->now < admission->health_check_wait_until && world->probe.open_upstream.v != 0
         && has_others (world, call_of (world, attempt));
}

/* When the first attempt of the queue has to be looked at again. */
static PhTime
next_look (const PhContext *ctx, const PhWorld *world, const PhAttempt *attempt)
{
  PhTime paused_until = world->admission.cold_start.paused_until;
  PhTime at = 1 + earlier (start_by_of (ctx, world, attempt), end_of_queue_time (world, attempt));

  if (ph_cold_rate_is_cold (&world->admission.cold_rate, ctx->now) && cold_per_s (world) > 0)
    at = earlier (at,
                  ph_cold_rate_next_at (&world->admission.cold_rate, ctx->now, cold_per_s (world)));
  return paused_until > ctx->now ? earlier (at, paused_until) : at;
}

/* Whether the rate of a cold upstream allows a call now. */
static bool
take_cold_token (const PhContext *ctx, PhWorld *world)
{
  PhColdRate *rate = &world->admission.cold_rate;
  double per_s = cold_per_s (world);

  return per_s <= 0 || !ph_cold_rate_is_cold (rate, ctx->now)
         || ph_cold_rate_withdraw (rate, ctx->now, per_s);
}

void
ph_admission_system (PhContext *ctx, PhWorld *world)
{
  PhAdmission *admission = &world->admission;
  PhWaitEntry entry;

  if (!admission->is_pending)
    return;
  admission->is_pending = false;
  follow_state (ctx, world);
  ph_trace_limit (ctx, world, ph_admission_limit (ctx, world));
  while (ph_waitqueue_first (&admission->queue, &entry))
    {
      PhAttemptId id = { entry.handle };
      PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
      PhReason reason = refusal_of (ctx, world, attempt);

      if (reason == PH_REASON_NONE && move_late (ctx, world, id))
        continue;
      if (reason != PH_REASON_NONE)
        ph_attempt_fail (ctx, world, id, PH_RUN_NO, reason);
      else if (is_asking (ctx, world, attempt))
        {
          arm_queue_timer (world, admission->health_check_wait_until);
          break;
        }
      else if (admission->in_flight < ph_admission_limit (ctx, world)
               && take_cold_token (ctx, world))
        start_queued (ctx, world, id, attempt);
      else
        {
          arm_queue_timer (world, next_look (ctx, world, attempt));
          break;
        }
    }
}
