#include "pollenhitch/admission.h"

#include <math.h>

#include "pollenhitch/chain.h"
#include "pollenhitch/invariant.h"
#include "pollenhitch/run_gate.h"
#include "pollenhitch/trace.h"
#include "pollenhitch/world.h"

/* Half-life of the estimated interval between releases when there are no samples. Without the
 * decay, a long stall of the upstream would leave an estimate that refuses every attempt that has
 * to wait, so that it would never be corrected. */
#define RELEASE_INTERVAL_HALF_LIFE (250 * PH_MS)
#define RELEASE_INTERVAL_MAX PH_SECOND

/* An upstream is treated as cold again, without an announcement, when errors have lowered its limit
 * to its maximum times this, plus 1, or when shed calls have lowered it to 1. A shed call costs
 * little and an upstream that sheds for a while recovers at once, so for shed calls alone the
 * adaptive limit is enough: it recovers faster than a cold start. */
#define COLD_LIMIT_FRACTION (1.0 / 3)

/* Half-life of the estimated latency of deeper calls while there are no samples, and the multiple
 * of the mean to which a sample is cut; as for all calls (limit.c). */
#define DEEPER_LATENCY_HALF_LIFE PH_SECOND
#define DEEPER_OUTLIER_FACTOR 4

/* A call with alternatives is refused when the VM reported at least this slowdown, in percent of
 * the usual time, and the report is no older than this. */
#define SLOW_VM_PERCENT 200
#define SLOWDOWN_REPORT_AGE_MAX (150 * PH_MS)

/* Without a recent slowdown report, a VM is taken to be slow when its calls together have waited
 * for this many times the mean latency without a response: at the usual speed the probability is
 * below exp (-2) = 14%, at a seventh of it about 75%. */
#define SILENT_LATENCIES 2

/* Maximum wait of a call for the result of a health check, when the last slowdown report is old. */
#define HEALTH_CHECK_WAIT_MAX (10 * PH_MS)

/* A cancelled attempt without a response counts as an error when it has taken longer than this
 * multiple of the usual latency, unless another response has started in the meantime. An upstream
 * that hangs produces cancelled attempts only. One that still responds may be waiting for another
 * service, and a whole chain of calls is cancelled together. */
#define UNRESPONSIVE_FACTOR 4

/* Nearly all calls end within the mean latency plus this many deviations (Jacobson 1988 uses 4). */
#define CONTENDED_DEVIATIONS 3

/* Offsets in the keys of ph_queue_order_urgency. Each is longer than any deadline, so that the
 * ranges do not overlap. */
#define PRIORITY_KEY_STEP (100000 * PH_SECOND)
#define DEEPER_KEY_OFFSET (PRIORITY_KEY_STEP / 2)
#define LATE_KEY_OFFSET (256 * PRIORITY_KEY_STEP)
#define COLD_LATE_KEY_OFFSET (PRIORITY_KEY_STEP / 4) /* within a priority */

/* A cold upstream takes about twice the usual time. A call whose usual time is two fifths of its
 * objective still meets it after a wait of this part of the objective. */
#define COLD_WAIT_DIVISOR 6

/* Part of a token that a call leaves at a cold upstream if more urgent calls were seen there. At
 * 6.6 calls per second a token takes 150 ms; a call of 210 ms with an objective of 500 ms can wait
 * for 80 ms. */
#define COLD_RESERVE 0.5

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
  PhTime key = latest_start + call->priority * PRIORITY_KEY_STEP;

  (void)user;
  (void)now;
  return call->is_expected_late ? key + LATE_KEY_OFFSET : key;
}

PhTime
ph_queue_order_chain (void *user, const PhCall *call, PhTime now, PhTime latest_start)
{
  PhTime key = ph_queue_order_urgency (user, call, now, latest_start);

  return call->depth > 0 ? key - DEEPER_KEY_OFFSET : key;
}

/* Finds the limits that operators set for the version of an upstream. Returns NULL if there are
 * none. */
static const PhVersionRule *
find_version_rule (const PhWorld *world, const PhUpstream *upstream)
{
  return ph_service_version_rule (ph_service_get (&world->services, upstream->service),
                                  upstream->version);
}

/* Maximum number of calls in flight that the upstream announced, within the limits set by
 * operators. */
static double
concurrency_max (const PhWorld *world, const PhUpstream *upstream)
{
  const PhVersionRule *rule = find_version_rule (world, upstream);
  const PhServiceRules *rules = &ph_service_get (&world->services, upstream->service)->rules;
  uint32_t max
      = rules->slot_percent != 0 ? upstream->slots * rules->slot_percent / 100 : upstream->slots;

  if (upstream->connections > 0 && upstream->connections < max)
    max = upstream->connections;
  if (rule != NULL && rule->max_slots > 0 && rule->max_slots < max)
    max = rule->max_slots;
  return max > 0 ? max : 1;
}

/* Calls per second that the upstream can take while it is cold, by its service's rules; 0 when the
 * rules do not say. */
static double
cold_calls_per_s (const PhWorld *world)
{
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, world->admission.upstream);
  const PhService *service
      = upstream != NULL ? ph_service_get (&world->services, upstream->service) : NULL;

  return service != NULL ? service->rules.cold_calls_per_s : 0;
}

uint32_t
ph_admission_calls_in_flight (const PhWorld *world)
{
  const PhAdmission *admission = &world->admission;
  bool is_probing = world->probe.open_upstream.v != 0
                    && world->probe.open_generation == admission->upstream_generation;

  return admission->in_flight - (is_probing ? 1 : 0);
}

/* Adds the time since the last change of the number of calls in flight to waited_time. */
static void
add_waited_time (const PhContext *ctx, PhWorld *world)
{
  PhAdmission *admission = &world->admission;
  uint32_t in_flight = ph_admission_calls_in_flight (world);
  uint32_t waiting = in_flight - admission->responding_count;

  ph_chain_count_time (ctx, world, in_flight);
  /* Without a waiting call there is nothing to respond to: the last ones were cancelled or lost. */
  admission->waited_time
      = waiting > 0 ? admission->waited_time + waiting * (ctx->now - admission->waited_until) : 0;
  admission->waited_until = ctx->now;
}

static void
reset_waited_time (const PhContext *ctx, PhAdmission *admission)
{
  admission->waited_time = 0;
  admission->waited_until = ctx->now;
}

void
ph_admission_report_slowdown (const PhContext *ctx, PhWorld *world, uint32_t slowdown_percent)
{
  ph_silence_count_time (ctx, world);
  world->admission.slowdown_percent = slowdown_percent;
  world->admission.slowdown_reported_at = ctx->now;
  reset_waited_time (ctx, &world->admission);
  world->admission.is_pending = true; /* queued calls may be better served elsewhere */
}

/* Limits the upstream to the rate for cold upstreams until it reports that it is warm, or for the
 * time that the rules give. */
static void
begin_cold_rate (PhContext *ctx, PhWorld *world)
{
  PhAdmission *admission = &world->admission;
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, admission->upstream);
  const PhService *service = ph_service_get (&world->services, upstream->service);

  admission->cold_start.is_cold = false;
  admission->cold_priority = UINT8_MAX;
  ph_cold_rate_begin (&admission->cold_rate, ctx->now, ctx->now + service->rules.cold_duration);
  ph_probe_request (ctx, world);
}

void
ph_admission_report_cold (PhContext *ctx, PhWorld *world, PhTime cold_time_left)
{
  PhAdmission *admission = &world->admission;

  if (!ph_cold_rate_is_cold (&admission->cold_rate, ctx->now))
    admission->cold_priority = UINT8_MAX;
  if (cold_time_left > 0 && !ph_cold_rate_is_cold (&admission->cold_rate, ctx->now))
    ph_log (ctx, PH_LOG_INFO, PH_STEP_ADMIT, NULL,
            "the local upstream reported that it stays cold for %lld ms",
            (long long)(cold_time_left / PH_MS));
  ph_cold_rate_begin (&admission->cold_rate, ctx->now, ctx->now + cold_time_left);
  admission->is_pending = true;
}

void
ph_admission_begin_cold (PhContext *ctx, PhWorld *world, bool is_announced)
{
  PhAdmission *admission = &world->admission;
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, admission->upstream);
  const PhVersionRule *rule = upstream != NULL ? find_version_rule (world, upstream) : NULL;

  if (cold_calls_per_s (world) > 0)
    {
      begin_cold_rate (ctx, world);
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
  double max = upstream != NULL ? concurrency_max (world, upstream) : 1;

  /* The same port may be the same process whose announcement was late, so its calls still count. */
  if (upstream != NULL && upstream->port != admission->upstream_port)
    {
      admission->upstream_port = upstream->port;
      admission->upstream_generation++;
      admission->in_flight = 0;
      admission->responding_count = 0;
      reset_waited_time (ctx, admission);
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

/* The concurrency limit, not counting a pause of the cold start. */
static double
limit_without_pause (const PhAdmission *admission)
{
  return admission->cold_start.is_cold ? admission->cold_start.step_limit : admission->limit.value;
}

uint32_t
ph_admission_limit (const PhContext *ctx, const PhWorld *world)
{
  const PhAdmission *admission = &world->admission;

  if (admission->cold_start.is_cold && ctx->now < admission->cold_start.paused_until)
    return 0;
  return (uint32_t)limit_without_pause (admission);
}

/* Reason why the local upstream accepts no new attempts, or PH_REASON_NONE. */
static PhReason
unavailable_reason (const PhContext *ctx, const PhWorld *world, PhUpstreamId id)
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

/* Whether --cold-precedence applies: the upstream is limited by the rate for cold ones. */
static bool
has_cold_precedence (const PhContext *ctx, const PhWorld *world)
{
  return world->uses_cold_precedence && cold_calls_per_s (world) > 0
         && ph_cold_rate_is_cold (&world->admission.cold_rate, ctx->now);
}

/* Tokens of the rate for a cold upstream that a call leaves to more urgent ones. */
static double
cold_reserve (const PhContext *ctx, const PhWorld *world, const PhCall *call)
{
  return has_cold_precedence (ctx, world) && call->priority > world->admission.cold_priority
             ? COLD_RESERVE
             : 0;
}

/* Expected time in microseconds until a slot is free for the attempt at this rank in the queue. */
static double
expected_wait (const PhContext *ctx, const PhWorld *world, const PhCall *call, uint32_t rank)
{
  const PhAdmission *admission = &world->admission;
  uint32_t limit = ph_admission_limit (ctx, world);
  uint32_t free_slots = limit > admission->in_flight ? limit - admission->in_flight : 0;
  double pause = limit == 0 ? (double)(admission->cold_start.paused_until - ctx->now) : 0;
  double calls_per_s = cold_calls_per_s (world);

  if (calls_per_s > 0 && ph_cold_rate_is_cold (&admission->cold_rate, ctx->now))
    return (double)(ph_cold_rate_next_at (&admission->cold_rate, ctx->now, calls_per_s,
                                          cold_reserve (ctx, world, call))
                    - ctx->now)
           + rank / calls_per_s * PH_SECOND;
  return rank < free_slots ? 0
                           : pause
                                 + (rank + 1 - free_slots)
                                       * ph_estimate_value (&admission->release_interval, ctx->now,
                                                            RELEASE_INTERVAL_HALF_LIFE);
}

/* Expected latency of a call at the local upstream, as the mean plus a number of deviations. */
static PhTime
expected_latency (const PhContext *ctx, const PhWorld *world, const PhCall *call, double deviations)
{
  const PhAdmission *admission = &world->admission;

  if (!world->chain.is_enabled || call->depth == 0)
    return ph_limit_latency (&admission->limit, ctx->now, deviations);
  return (PhTime)(ph_estimate_value (&admission->deeper_latency, ctx->now, DEEPER_LATENCY_HALF_LIFE)
                  + deviations
                        * ph_estimate_value (&admission->deeper_deviation, ctx->now,
                                             DEEPER_LATENCY_HALF_LIFE));
}

/* Latest start of a call that can be expected to meet its deadline. With contention this leaves the
 * time in which nearly all calls end, so that the slot goes to a call that will meet its deadline.
 * Otherwise it leaves half of the mean latency, so that only a call without any prospect is
 * refused. */
static PhTime
latest_start (const PhContext *ctx, const PhWorld *world, const PhCall *call, bool is_contended)
{
  PhTime latency = expected_latency (ctx, world, call, is_contended ? CONTENDED_DEVIATIONS : 0);

  if (!world->admission.policy.drops_early)
    return call->deadline;
  return call->deadline - latency / (is_contended ? 1 : 2);
}

static PhTime
earlier (PhTime a, PhTime b)
{
  return a < b ? a : b;
}

/* End of the time that the service allows an attempt to be queued. */
static PhTime
queue_time_ends_at (const PhContext *ctx, const PhWorld *world, const PhAttempt *attempt)
{
  const PhCall *call = ph_call_get (&world->calls, attempt->call);
  const PhService *service = ph_service_get (&world->services, call->service);
  PhTime longest = (PhTime)service->rules.queue_ms * PH_MS;

  if (has_cold_precedence (ctx, world) && call->objective_at != PH_TIME_NEVER)
    longest = earlier (longest, (call->objective_at - call->opened_at) / COLD_WAIT_DIVISOR);
  return attempt->queued_at + longest;
}

static PhWaitEntry
make_queue_entry (const PhAttempt *attempt, PhAttemptId id)
{
  return (PhWaitEntry){ attempt->queue_key, attempt->queued_at, id.v };
}

/* Latest start with which a call is expected to meet its objective. */
static PhTime
latest_start_for_objective (const PhContext *ctx, const PhWorld *world, const PhCall *call)
{
  if (call->objective_at == PH_TIME_NEVER)
    return PH_TIME_NEVER;
  return call->objective_at - expected_latency (ctx, world, call, 0);
}

/* Whether a call has precedence as a deeper one. It is not put behind others when it misses its own
 * objective: the calls above it, which hold slots for it, may still meet theirs. */
static bool
has_chain_precedence (const PhWorld *world, const PhCall *call)
{
  return world->chain.is_enabled && call->depth > 0;
}

/* Sets whether a call is expected to miss its objective, and the sort key of its attempt, which
 * must not be in the queue. */
static void
update_queue_key (PhContext *ctx, PhWorld *world, PhAttemptId id, PhTime start_by)
{
  const PhAdmissionPolicy *policy = &world->admission.policy;
  PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  PhCall *call = ph_call_get (&world->calls, attempt->call);
  PhTime start_by_for_objective = latest_start_for_objective (ctx, world, call);

  call->is_expected_late = start_by_for_objective < ctx->now && !has_chain_precedence (world, call);
  attempt->queue_key = policy->queue_order (
      policy->queue_order_user, call, ctx->now,
      call->is_expected_late ? start_by : earlier (start_by, start_by_for_objective));
  if (call->is_expected_late && has_cold_precedence (ctx, world))
    attempt->queue_key += COLD_LATE_KEY_OFFSET - LATE_KEY_OFFSET;
}

/* Moves an attempt that can no longer meet its objective behind those that can. Returns false if it
 * keeps its place. */
static bool
requeue_if_late (PhContext *ctx, PhWorld *world, PhAttemptId id)
{
  PhAdmission *admission = &world->admission;
  PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  PhCall *call = ph_call_get (&world->calls, attempt->call);
  PhWaitEntry entry = make_queue_entry (attempt, id);

  if (call->is_expected_late || has_chain_precedence (world, call) || admission->queued < 2
      || latest_start_for_objective (ctx, world, call) >= ctx->now)
    return false;
  ph_waitqueue_remove (&admission->queue, &entry);
  update_queue_key (
      ctx, world, id,
      earlier (latest_start (ctx, world, call, true), queue_time_ends_at (ctx, world, attempt)));
  entry = make_queue_entry (attempt, id);
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
call_of_attempt (const PhWorld *world, const PhAttempt *attempt)
{
  return ph_call_get (&world->calls, attempt->call);
}

/* Whether the call can go to another upstream. The node that received it from the caller decides;
 * this may be this node. */
static bool
has_alternatives (const PhWorld *world, const PhCall *call)
{
  return call->origin == PH_ORIGIN_PEER ? call->has_alternatives
                                        : ph_call_has_alternatives (world, call);
}

/* Whether the calls in flight have waited for so long without a response that the VM has probably
 * turned slow since its last report. */
static bool
is_local_vm_silent (const PhContext *ctx, PhWorld *world)
{
  const PhAdmission *admission = &world->admission;

  add_waited_time (ctx, world);
  return admission->slowdown_percent != 0
         && ctx->now - admission->slowdown_reported_at >= SLOWDOWN_REPORT_AGE_MAX
         && admission->limit.latency.value > 0
         && (double)admission->waited_time > SILENT_LATENCIES * admission->limit.latency.value;
}

/* Whether the local VM is slow, which the node that chose the upstream could not know. A call with
 * alternatives is then better served elsewhere. Calls that would only have to wait are not refused
 * for that: under overload the other upstreams are just as full, and each hop costs bytes and time.
 */
static bool
is_local_vm_slow (const PhContext *ctx, PhWorld *world)
{
  PhAdmission *admission = &world->admission;

  return (admission->slowdown_percent >= SLOW_VM_PERCENT
          && ctx->now - admission->slowdown_reported_at < SLOWDOWN_REPORT_AGE_MAX)
         || is_local_vm_silent (ctx, world);
}

PhReason
ph_admission_enqueue (PhContext *ctx, PhWorld *world, PhAttemptId id)
{
  PhAdmission *admission = &world->admission;
  PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  const PhCall *call = ph_call_get (&world->calls, attempt->call);
  PhReason reason = unavailable_reason (ctx, world, attempt->upstream);
  PhTime start_by;
  PhWaitEntry entry;
  double wait;

  if (reason == PH_REASON_NONE)
    reason = ph_run_gate_check (ctx, world, call);
  if (reason != PH_REASON_NONE)
    return reason;
  if (ph_probe_refresh_slowdown (ctx, world))
    admission->health_check_wait_until = ctx->now + HEALTH_CHECK_WAIT_MAX;
  if (has_alternatives (world, call) && is_local_vm_slow (ctx, world))
    return PH_REASON_SLOW;
  attempt->queued_at = ctx->now;
  start_by
      = earlier (latest_start (ctx, world, call, true), queue_time_ends_at (ctx, world, attempt));
  update_queue_key (ctx, world, id, start_by);
  if (call->priority < admission->cold_priority)
    admission->cold_priority = call->priority;
  if (has_cold_precedence (ctx, world) && !call->is_expected_late)
    start_by = earlier (start_by, latest_start_for_objective (ctx, world, call));
  entry = make_queue_entry (attempt, id);
  wait = expected_wait (ctx, world, call, ph_waitqueue_rank (&admission->queue, &entry));
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
  PhWaitEntry entry = make_queue_entry (ph_attempt_get (&world->attempts, id), id);

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
  if (reason == PH_REASON_SILENT) /* it may have been a long request */
    return PH_OUTCOME_UNKNOWN;
  return run != PH_RUN_NO ? PH_OUTCOME_ERROR : PH_OUTCOME_UNKNOWN;
}

/* Outcome of an attempt for the limit, with the response and its timing taken into account. */
static PhOutcome
refine_outcome (const PhContext *ctx,
                const PhAdmission *admission,
                const PhAttempt *attempt,
                PhOutcome outcome)
{
  double usual = admission->limit.latency.value;

  if (outcome == PH_OUTCOME_OK && attempt->is_error)
    return PH_OUTCOME_ERROR;
  /* The error of a dependency says nothing about the load of this upstream. If it counted as a
   * failure, one refusal at the end of a chain of calls would lower the limits of all upstreams on
   * the way and cause more refusals. */
  if (outcome == PH_OUTCOME_OK && attempt->is_dependency_error)
    return PH_OUTCOME_UNKNOWN;
  if (outcome == PH_OUTCOME_UNKNOWN && attempt->responded_at == 0 && usual > 0
      && admission->last_response_at < attempt->started_at
      && (double)(ctx->now - attempt->started_at) > UNRESPONSIVE_FACTOR * usual)
    return PH_OUTCOME_ERROR;
  return outcome;
}

static void
record_release (const PhContext *ctx, PhAdmission *admission)
{
  double interval = (double)(ctx->now - admission->last_release_at);

  if (admission->had_queued_attempts)
    ph_estimate_add (&admission->release_interval, ctx->now, RELEASE_INTERVAL_HALF_LIFE,
                     interval < RELEASE_INTERVAL_MAX ? interval : RELEASE_INTERVAL_MAX);
  admission->had_queued_attempts = admission->queued > 0;
  admission->last_release_at = ctx->now;
}

static void
record_deeper_latency (PhAdmission *admission, const PhSample *sample)
{
  double mean = admission->deeper_latency.value;
  double latency = (double)sample->latency;
  bool is_first = admission->deeper_latency.updated_at == 0;

  if (sample->outcome != PH_OUTCOME_OK)
    return;
  if (!is_first && latency > DEEPER_OUTLIER_FACTOR * mean + PH_MS)
    latency = DEEPER_OUTLIER_FACTOR * mean + PH_MS;
  ph_estimate_add (&admission->deeper_latency, sample->now, DEEPER_LATENCY_HALF_LIFE, latency);
  ph_estimate_add (&admission->deeper_deviation, sample->now, DEEPER_LATENCY_HALF_LIFE,
                   is_first ? 0 : fabs (latency - mean));
}

/* Whether the limit is so low after this sample that the upstream has probably turned cold. */
static bool
is_limit_at_cold_level (const PhAdmission *admission, const PhSample *sample)
{
  return admission->limit.value <= (sample->outcome == PH_OUTCOME_SHED
                                        ? 1
                                        : COLD_LIMIT_FRACTION * admission->limit.max + 1);
}

static void
record_sample (PhContext *ctx, PhWorld *world, const PhSample *sample)
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
      /* The adaptive limit is not used during the cold start; it begins at its maximum after it. */
      admission->limit.value = admission->limit.max;
    }
  else if (admission->limit.decreased_at != decreased_at
           && is_limit_at_cold_level (admission, sample))
    {
      ph_log (ctx, PH_LOG_INFO, PH_STEP_ADMIT, NULL,
              "the local upstream is treated as cold: %s lowered its limit to %.1f of %.0f",
              sample->outcome == PH_OUTCOME_SHED ? "shed calls" : "errors", admission->limit.value,
              admission->limit.max);
      ph_admission_begin_cold (ctx, world, false);
    }
}

/* Records an attempt as evidence on the version of the local upstream. An attempt that was
 * cancelled before its response counts as the slowest, and as failed if its deadline has passed. */
static void
record_version_sample (PhContext *ctx,
                       PhWorld *world,
                       const PhAttempt *attempt,
                       const PhSample *sample)
{
  const PhCall *call = ph_call_get (&world->calls, attempt->call);

  if (attempt->is_version_sampled && sample->outcome == PH_OUTCOME_OK)
    return;
  if (sample->outcome == PH_OUTCOME_OK || sample->outcome == PH_OUTCOME_ERROR)
    ph_move_observe (ctx, world, call->route_bucket, sample->latency,
                     sample->outcome == PH_OUTCOME_ERROR);
  else if (attempt->is_dependency_error)
    ph_move_observe (ctx, world, call->route_bucket, sample->latency, true);
  else if (sample->outcome == PH_OUTCOME_UNKNOWN && attempt->responded_at == 0
           && (!attempt->is_version_sampled || ctx->now >= call->deadline))
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
  ph_silence_responded (ctx, world, id);
  reset_waited_time (ctx, admission);
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
  ph_run_gate_ended (ctx, world, id, outcome);
  add_waited_time (ctx, world);
  admission->in_flight--;
  if (attempt->responded_at != 0)
    admission->responding_count--;
  admission->is_pending = true;
  record_release (ctx, admission);
  ph_probe_observe (ctx, world, sample.outcome);
  sample.latency
      = (attempt->responded_at != 0 ? attempt->responded_at : ctx->now) - attempt->started_at;
  if (attempt->upstream.v != admission->upstream.v)
    return;
  record_sample (ctx, world, &sample);
  if (ph_call_get (&world->calls, attempt->call)->depth > 0)
    record_deeper_latency (admission, &sample);
  record_version_sample (ctx, world, attempt, &sample);
}

PhLoad
ph_admission_load (const PhWorld *world)
{
  const PhAdmission *admission = &world->admission;

  return (PhLoad){ admission->in_flight, admission->queued,
                   (uint32_t)limit_without_pause (admission),
                   (uint32_t)ph_limit_time_per_success (&admission->limit),
                   admission->slowdown_percent };
}

/* Applies changes in the announcement, the rules and the state of the data centre. */
static void
apply_upstream_state (PhContext *ctx, PhWorld *world)
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
  /* The rules arrived after the announcement. */
  if (admission->cold_start.is_cold && cold_calls_per_s (world) > 0)
    begin_cold_rate (ctx, world);
  if (concurrency_max (world, upstream) != admission->limit.max)
    ph_limit_set_max (&admission->limit, concurrency_max (world, upstream));
  if (admission->cold_start.step_limit > admission->limit.max)
    admission->cold_start.step_limit = admission->limit.max;
  if (admission->queued > 0)
    ph_cold_observe_held_slots (&admission->cold_start, ctx->now, admission->responding_count,
                                admission->limit.max);
  if (admission->cold_start.is_announced && upstream->state != PH_UPSTREAM_COLD)
    ph_cold_announced_ready (&admission->cold_start, admission->limit.max);
}

static void
start_queued_attempt (PhContext *ctx, PhWorld *world, PhAttemptId id, PhAttempt *attempt)
{
  PhAdmission *admission = &world->admission;

  ph_admission_dequeue (ctx, world, id);
  add_waited_time (ctx, world);
  admission->in_flight++;
  PH_INVARIANT (admission->in_flight <= ph_admission_limit (ctx, world));
  PH_INVARIANT (admission->in_flight <= admission->limit.max);
  attempt->state = PH_ATTEMPT_STARTED;
  attempt->is_slot_held = true;
  attempt->upstream_generation = admission->upstream_generation;
  attempt->started_at = ctx->now;
  ph_trace_started (ctx, world, attempt);
  ph_move_count_start (ctx, world);
  ph_silence_started (ctx, world, id);
  ph_run_gate_started (ctx, world, id);
  world->effects.start_attempt (world->effects.user, id);
}

/* Latest start of a queued attempt. One call in flight is always allowed, so that the latency
 * estimate can recover. */
static PhTime
latest_start_of_queued (const PhContext *ctx, const PhWorld *world, const PhAttempt *attempt)
{
  const PhCall *call = ph_call_get (&world->calls, attempt->call);

  if (world->admission.in_flight == 0)
    return call->deadline;
  return latest_start (ctx, world, call, world->admission.queued > 1);
}

/* Reason why a queued attempt must not be started, or PH_REASON_NONE. */
static PhReason
queued_refusal_reason (PhContext *ctx, PhWorld *world, const PhAttempt *attempt)
{
  PhReason reason = unavailable_reason (ctx, world, attempt->upstream);

  if (reason != PH_REASON_NONE)
    return reason;
  if (is_local_vm_slow (ctx, world) && has_alternatives (world, call_of_attempt (world, attempt)))
    return PH_REASON_SLOW;
  if (ctx->now > queue_time_ends_at (ctx, world, attempt))
    return PH_REASON_QUEUE_TIME;
  if (ctx->now > latest_start_of_queued (ctx, world, attempt))
    return PH_REASON_DEADLINE;
  return ph_run_gate_check (ctx, world, call_of_attempt (world, attempt));
}

/* Whether an attempt must wait for a health check that was sent because the last slowdown report
 * is old. A call with alternatives is not started on a VM that may be slow. */
static bool
is_awaiting_health_check (const PhContext *ctx, const PhWorld *world, const PhAttempt *attempt)
{
  const PhAdmission *admission = &world->admission;

  return ctx->now < admission->health_check_wait_until && world->probe.open_upstream.v != 0
         && has_alternatives (world, call_of_attempt (world, attempt));
}

/* When the first attempt in the queue must be evaluated again. */
static PhTime
next_evaluation_at (const PhContext *ctx, const PhWorld *world, const PhAttempt *attempt)
{
  PhTime paused_until = world->admission.cold_start.paused_until;
  PhTime at = 1
              + earlier (latest_start_of_queued (ctx, world, attempt),
                         queue_time_ends_at (ctx, world, attempt));

  if (ph_cold_rate_is_cold (&world->admission.cold_rate, ctx->now) && cold_calls_per_s (world) > 0)
    at = earlier (
        at, ph_cold_rate_next_at (&world->admission.cold_rate, ctx->now, cold_calls_per_s (world),
                                  cold_reserve (ctx, world, call_of_attempt (world, attempt))));
  return paused_until > ctx->now ? earlier (at, paused_until) : at;
}

/* Whether the rate for a cold upstream allows a call now. Withdraws a token if so; an upstream that
 * is not cold needs none. */
static bool
withdraw_cold_token (const PhContext *ctx, PhWorld *world, const PhCall *call)
{
  PhColdRate *rate = &world->admission.cold_rate;
  double calls_per_s = cold_calls_per_s (world);

  return calls_per_s <= 0 || !ph_cold_rate_is_cold (rate, ctx->now)
         || ph_cold_rate_withdraw (rate, ctx->now, calls_per_s, cold_reserve (ctx, world, call));
}

void
ph_admission_system (PhContext *ctx, PhWorld *world)
{
  PhAdmission *admission = &world->admission;
  PhWaitEntry entry;

  if (!admission->is_pending)
    return;
  admission->is_pending = false;
  apply_upstream_state (ctx, world);
  ph_trace_limit (ctx, world, ph_admission_limit (ctx, world));
  while (ph_waitqueue_first (&admission->queue, &entry))
    {
      PhAttemptId id = { entry.handle };
      PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
      PhReason reason = queued_refusal_reason (ctx, world, attempt);

      if (reason == PH_REASON_NONE && requeue_if_late (ctx, world, id))
        continue;
      if (reason != PH_REASON_NONE)
        ph_attempt_fail (ctx, world, id, PH_RUN_NO, reason);
      else if (is_awaiting_health_check (ctx, world, attempt))
        {
          arm_queue_timer (world, admission->health_check_wait_until);
          break;
        }
      else if (admission->in_flight + ph_silence_held_slots (world)
                   < ph_admission_limit (ctx, world)
               && withdraw_cold_token (ctx, world, call_of_attempt (world, attempt)))
        start_queued_attempt (ctx, world, id, attempt);
      else
        {
          arm_queue_timer (world, next_evaluation_at (ctx, world, attempt));
          break;
        }
    }
}
