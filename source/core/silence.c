#include "pollenhitch/silence.h"

#include <math.h>

#include "pollenhitch/trace.h"
#include "pollenhitch/world.h"

/* Nearly all requests end within the mean latency plus this many deviations (Jacobson 1988). */
#define USUAL_DEVIATIONS 4

/* A long request takes this many times as long as it would otherwise. Measured: 3 in 100 requests
 * of a route take 7 times as long. With the mean latency alone, 4 to 9 in 105 long requests were
 * given up that had the time to end: theirs vary as usual ones do. */
#define LONG_FACTOR 7
#define LONG_DEVIATIONS 2

/* Slowdown of the slowest VMs, in percent of the usual time. Measured: 4 times, for 300 ms at a
 * time. */
#define SLOWDOWN_MAX 400

/* Another attempt takes at most the mean latency plus this many deviations in most cases. */
#define RERUN_DEVIATIONS 2

/* Attempts are judged at this interval. A caller has a final answer within some 100 ms more than a
 * response takes, so that 20 ms do not matter. */
#define CHECK_INTERVAL (20 * PH_MS)

#define SLOWDOWN_NONE 100

/* Time after which a request of this usual latency is no usual one. */
static PhTime
usual_bound (const PhSilenceEvidence *e)
{
  return e->latency + USUAL_DEVIATIONS * e->deviation;
}

/* Time after which it is no long one either. */
static PhTime
long_bound (const PhSilenceEvidence *e)
{
  return LONG_FACTOR * (e->latency + LONG_DEVIATIONS * e->deviation);
}

/* Time for which the attempt has been served at least. */
static double
served_time (const PhSilenceEvidence *e)
{
  double slowest = e->slowdown_percent > SLOWDOWN_MAX ? e->slowdown_percent : SLOWDOWN_MAX;

  return fmax ((double)e->age * SLOWDOWN_NONE / slowest, fmin (e->vm_age, e->service_age));
}

/* Time that another attempt takes. */
static PhTime
rerun_time (const PhSilenceEvidence *e)
{
  return e->latency + RERUN_DEVIATIONS * e->deviation;
}

PhSilenceVerdict
ph_silence_judge (const PhSilenceEvidence *e)
{
  double served = served_time (e);
  PhTime waiting_time = e->time_left - rerun_time (e);

  if (e->latency <= 0)
    return PH_SILENCE_NONE;
  if (served >= (double)long_bound (e))
    return PH_SILENCE_CERTAIN;
  /* A long request would end too late for another attempt, or for its own call. */
  if (e->can_rerun && waiting_time >= 0 && (double)waiting_time < (double)long_bound (e) - served
      && served >= (double)usual_bound (e))
    return PH_SILENCE_PROBABLE;
  return PH_SILENCE_NONE;
}

void
ph_silence_count_time (const PhContext *ctx, PhWorld *world)
{
  PhSilence *silence = &world->silence;
  double slowdown = world->admission.slowdown_percent > SLOWDOWN_NONE
                        ? world->admission.slowdown_percent
                        : SLOWDOWN_NONE;

  silence->vm_clock += (double)(ctx->now - silence->vm_clock_until) * SLOWDOWN_NONE / slowdown;
  silence->vm_clock_until = ctx->now;
}

static void
schedule_check (const PhContext *ctx, PhWorld *world)
{
  PhSilence *silence = &world->silence;

  if (silence->check_at == 0
      && ph_timer_add (&world->timers, ctx->now + CHECK_INTERVAL, PH_TIMER_SILENCE, 0))
    silence->check_at = ctx->now + CHECK_INTERVAL;
}

/* Forgets the attempts and slots of a process that was replaced. */
static void
follow_generation (PhWorld *world)
{
  PhSilence *silence = &world->silence;
  PhSilenceId id = { 0 };
  PhSilenceId next;

  if (silence->upstream_generation == world->admission.upstream_generation)
    return;
  silence->upstream_generation = world->admission.upstream_generation;
  silence->held_count = 0;
  for (id = ph_silence_row_next (&silence->rows, id); id.v != 0; id = next)
    {
      next = ph_silence_row_next (&silence->rows, id);
      ph_silence_row_remove (&silence->rows, id);
    }
}

void
ph_silence_started (PhContext *ctx, PhWorld *world, PhAttemptId id)
{
  PhSilence *silence = &world->silence;
  PhSilenceRow *row;

  if (!world->detects_silence)
    return;
  follow_generation (world);
  /* An attempt without a row is served as if the setting were off. */
  if (ph_silence_row_add (&silence->rows, &row).v == 0)
    return;
  row->attempt = id;
  row->started_at = ctx->now;
  ph_silence_count_time (ctx, world);
  row->vm_clock = silence->vm_clock;
  row->service_clock = silence->service_clock;
  schedule_check (ctx, world);
}

void
ph_silence_responded (const PhContext *ctx, PhWorld *world, PhAttemptId id)
{
  PhSilence *silence = &world->silence;
  double usual = world->admission.limit.latency.value;
  double latency = (double)(ctx->now - ph_attempt_get (&world->attempts, id)->started_at);

  if (!world->detects_silence)
    return;
  /* A response says nothing about the time before its request. */
  silence->service_clock += fmin ((double)(ctx->now - silence->responded_at), latency)
                            * fmin (1, latency > 0 ? usual / latency : 1);
  silence->responded_at = ctx->now;
}

uint32_t
ph_silence_held_slots (const PhWorld *world)
{
  return world->silence.held_count;
}

/* Removes the held slots whose time has ended. */
static void
expire_held_slots (const PhContext *ctx, PhWorld *world)
{
  PhSilence *silence = &world->silence;

  for (uint32_t i = silence->held_count; i-- > 0;)
    if (silence->held_until[i] <= ctx->now)
      {
        silence->held_until[i] = silence->held_until[--silence->held_count];
        world->admission.is_pending = true;
      }
}

/* Whether the call of an attempt may be tried at another upstream. For a call of another node that
 * node decides, by its budget. */
static bool
can_rerun (const PhContext *ctx, const PhWorld *world, const PhCall *call, PhAttemptId id)
{
  if (call->origin == PH_ORIGIN_PEER)
    return call->is_idempotent && call->has_alternatives && !call->is_rerun;
  return ph_attempt_should_rerun (ctx, world, id);
}

static void
log_verdict (PhContext *ctx, const PhWorld *world, const PhAttempt *attempt, const char *effect)
{
  ph_count (ctx, PH_COUNT_SILENT_CONNECTIONS, 1);
  ph_log (ctx, PH_LOG_INFO, PH_STEP_RESPONSE, ph_trace_peer (world, attempt),
          "the upstream is silent on a connection for %lld ms, usual are %lld ms: %s",
          (long long)((ctx->now - attempt->started_at) / PH_MS),
          (long long)(world->admission.limit.latency.value / PH_MS), effect);
}

/* Gives up an attempt whose call is tried elsewhere. */
static void
give_up (PhContext *ctx, PhWorld *world, PhAttemptId id, const PhSilenceEvidence *evidence)
{
  PhSilence *silence = &world->silence;
  const PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  PhTime until = attempt->started_at + long_bound (evidence);

  if (until > ctx->now && silence->held_count < PH_SILENCE_ROWS_MAX)
    silence->held_until[silence->held_count++] = until;
  log_verdict (ctx, world, attempt, "the call may be tried elsewhere");
  world->effects.cancel_attempt (world->effects.user, id);
  ph_attempt_fail (ctx, world, id, PH_RUN_UNKNOWN, PH_REASON_SILENT);
}

/* Releases the slot of an attempt that goes on to its deadline. */
static void
release_slot (PhContext *ctx, PhWorld *world, PhSilenceRow *row, PhAttempt *attempt)
{
  log_verdict (ctx, world, attempt, "its slot is free again");
  ph_admission_release (ctx, world, row->attempt, PH_OUTCOME_UNKNOWN);
  attempt->is_slot_held = false;
  row->is_released = true;
}

/* Judges one attempt. Returns false when its row is no longer needed. */
static bool
check_row (PhContext *ctx, PhWorld *world, PhSilenceRow *row)
{
  const PhAdmission *admission = &world->admission;
  PhAttempt *attempt = ph_attempt_get (&world->attempts, row->attempt);
  PhSilenceEvidence evidence;
  const PhCall *call;
  PhSilenceVerdict verdict;

  if (attempt == NULL || attempt->state != PH_ATTEMPT_STARTED)
    return false;
  call = ph_call_get (&world->calls, attempt->call);
  evidence = (PhSilenceEvidence){ .age = ctx->now - row->started_at,
                                  .vm_age = world->silence.vm_clock - row->vm_clock,
                                  .service_age = world->silence.service_clock - row->service_clock,
                                  .time_left = ph_call_time_left (ctx, call),
                                  .latency = (PhTime)admission->limit.latency.value,
                                  .deviation = (PhTime)admission->limit.latency_deviation.value,
                                  .slowdown_percent = admission->slowdown_percent,
                                  .can_rerun = can_rerun (ctx, world, call, row->attempt) };
  verdict = ph_silence_judge (&evidence);
  if (verdict == PH_SILENCE_NONE)
    return true;
  if (evidence.can_rerun && evidence.time_left >= rerun_time (&evidence))
    {
      give_up (ctx, world, row->attempt, &evidence);
      return false;
    }
  if (verdict == PH_SILENCE_CERTAIN && !row->is_released && attempt->is_slot_held)
    release_slot (ctx, world, row, attempt);
  return true;
}

void
ph_silence_timer (PhContext *ctx, PhWorld *world, uint32_t handle)
{
  PhSilence *silence = &world->silence;
  PhSilenceId id = { 0 };
  PhSilenceId next;

  (void)handle;
  silence->check_at = 0;
  ph_silence_count_time (ctx, world);
  follow_generation (world);
  expire_held_slots (ctx, world);
  for (id = ph_silence_row_next (&silence->rows, id); id.v != 0; id = next)
    {
      next = ph_silence_row_next (&silence->rows, id);
      if (!world->detects_silence
          || !check_row (ctx, world, ph_silence_row_get (&silence->rows, id)))
        ph_silence_row_remove (&silence->rows, id);
    }
  if (silence->rows.count > 0 || silence->held_count > 0)
    schedule_check (ctx, world);
}
