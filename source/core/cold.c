#include "pollenhitch/cold.h"

/* Time from one call in flight to all slots if nothing fails. It is longer for an upstream that
 * announced that it is cold. One without an announcement is usually warm, and only its node was
 * restarted. */
#define RAMP_ANNOUNCED (10 * PH_SECOND)
#define RAMP_UNANNOUNCED (3 * PH_SECOND)

/* An upstream that was announced as cold and then as ready is usually warm. */
#define RAMP_READY PH_SECOND
#define RAMP_MAX (60 * PH_SECOND)
#define STEP_DURATION_MIN (10 * PH_MS)

/* After a failure, a step lasts at least this multiple of the mean time per slot since the ramp
 * began. */
#define SLOT_TIME_MARGIN 1.25
#define STEP_DURATION_SHRINK 0.8

#define STEP_SUCCESSES_MIN 4
#define STEP_SUCCESSES_PER_SLOT 2 /* for each call in flight */

/* Failures up to one in this many calls of a step are attributed to the application and ignored. */
#define CALLS_PER_TOLERATED_FAILURE 20

#define STEP_LATENCY_TOLERANCE 1.5

/* Duration of a pause after a failure with one call in flight. Without it, an upstream that fails
 * fast would receive more calls than one that works. */
#define PAUSE_MIN (20 * PH_MS)
#define PAUSE_MAX (500 * PH_MS)

/* previous_mean_us is raised by this factor each time that it makes a step begin again, so that a
 * lasting change in the mix of calls does not block the ramp for ever. */
#define REFERENCE_LATENCY_RELAX 1.1

static PhTime
step_duration_for_ramp (PhTime ramp, double max)
{
  PhTime duration = max > 2 ? (PhTime)((double)ramp / (max - 1)) : ramp;

  return duration < STEP_DURATION_MIN ? STEP_DURATION_MIN : duration;
}

static void
begin_step (PhColdStart *cold, PhTime now, double limit)
{
  cold->step_limit = limit < 1 ? 1 : limit;
  cold->step_began_at = now;
  cold->step_successes = 0;
  cold->step_failures = 0;
  cold->was_step_full = false;
  cold->latency_sum_us = 0;
}

void
ph_cold_begin (PhColdStart *cold, PhTime now, bool is_announced, double max)
{
  *cold = (PhColdStart){ .is_cold = true,
                         .is_announced = is_announced,
                         .began_at = now,
                         .step_duration = step_duration_for_ramp (
                             is_announced ? RAMP_ANNOUNCED : RAMP_UNANNOUNCED, max) };
  begin_step (cold, now, 1);
}

void
ph_cold_set_ramp (PhColdStart *cold, PhTime ramp, double max)
{
  cold->is_ramp_set = true;
  cold->step_duration = step_duration_for_ramp (ramp, max);
}

void
ph_cold_announced_ready (PhColdStart *cold, double max)
{
  cold->is_announced = false;
  if (cold->is_ramp_set)
    return;
  cold->step_duration = step_duration_for_ramp (RAMP_READY, max);
}

/* Begins a pause after a failure with one call in flight. The pause doubles each time until a call
 * succeeds. */
static void
begin_pause (PhColdStart *cold, PhTime now)
{
  cold->pause_duration = cold->pause_duration == 0 ? PAUSE_MIN : 2 * cold->pause_duration;
  if (cold->pause_duration > PAUSE_MAX)
    cold->pause_duration = PAUSE_MAX;
  cold->paused_until = now + cold->pause_duration;
  cold->began_at = now;
  begin_step (cold, now, 1);
}

static void
record_failure (PhColdStart *cold, const PhSample *sample, double max)
{
  double slot_time;
  PhTime step_max = step_duration_for_ramp (RAMP_MAX, max);

  cold->step_failures++;
  if (cold->step_failures * CALLS_PER_TOLERATED_FAILURE
      <= cold->step_failures + cold->step_successes)
    return;
  if (cold->step_limit <= 1)
    {
      begin_pause (cold, sample->now);
      return;
    }
  slot_time = (double)(sample->now - cold->began_at) / cold->step_limit;
  cold->step_duration *= 2;
  if ((double)cold->step_duration < SLOT_TIME_MARGIN * slot_time)
    cold->step_duration = (PhTime)(SLOT_TIME_MARGIN * slot_time);
  if (cold->step_duration > step_max)
    cold->step_duration = step_max;
  begin_step (cold, sample->now, cold->step_limit - 1);
  cold->previous_mean_us = 0;
}

/* Whether the calls of this step were not slower than those of the previous one. Otherwise the step
 * begins again. */
static bool
check_step_latency (PhColdStart *cold, PhTime now)
{
  double mean = cold->latency_sum_us / cold->step_successes;

  if (cold->previous_mean_us > 0 && mean > STEP_LATENCY_TOLERANCE * cold->previous_mean_us)
    {
      cold->previous_mean_us *= REFERENCE_LATENCY_RELAX;
      begin_step (cold, now, cold->step_limit);
      return false;
    }
  cold->previous_mean_us = mean;
  return true;
}

static void
record_success (PhColdStart *cold, const PhSample *sample, double max)
{
  cold->pause_duration = 0;
  cold->step_successes++;
  cold->latency_sum_us += (double)sample->latency;
  if (sample->in_flight + 1 > cold->step_limit)
    cold->was_step_full = true;
  if (!cold->was_step_full || cold->step_successes < STEP_SUCCESSES_MIN
      || cold->step_successes < STEP_SUCCESSES_PER_SLOT * cold->step_limit
      || sample->now - cold->step_began_at < cold->step_duration
      || !check_step_latency (cold, sample->now))
    return;
  if (cold->step_limit >= max)
    {
      cold->is_cold = false;
      return;
    }
  if (!cold->is_announced && !cold->is_ramp_set && cold->step_duration > STEP_DURATION_MIN)
    cold->step_duration = (PhTime)((double)cold->step_duration * STEP_DURATION_SHRINK);
  begin_step (cold, sample->now, cold->step_limit + 1 < max ? cold->step_limit + 1 : max);
}

void
ph_cold_sample (PhColdStart *cold, const PhSample *sample, double max)
{
  if (!cold->is_cold || sample->started_at < cold->step_began_at)
    return;
  if (sample->outcome == PH_OUTCOME_OK)
    record_success (cold, sample, max);
  else if (sample->outcome != PH_OUTCOME_UNKNOWN)
    record_failure (cold, sample, max);
}

void
ph_cold_observe_held_slots (PhColdStart *cold, PhTime now, uint32_t responding, double max)
{
  if (cold->is_cold && responding >= cold->step_limit && cold->step_limit < max
      && now - cold->step_began_at >= cold->step_duration)
    begin_step (cold, now, cold->step_limit + 1 < max ? cold->step_limit + 1 : max);
}

/* Size of the token bucket of PhColdRate: calls that may start at the same time. The bound on
 * calls in any second at a cold upstream allows an excess of half the rate plus a few calls
 * (docs/rules.md). */
#define RATE_BURST 2.0

void
ph_cold_rate_begin (PhColdRate *rate, PhTime now, PhTime until)
{
  if (!ph_cold_rate_is_cold (rate, now))
    {
      /* Calls of the preceding second were not counted, so begin without a burst. */
      rate->tokens = 1;
      rate->refilled_at = now;
    }
  rate->cold_until = until;
}

bool
ph_cold_rate_is_cold (const PhColdRate *rate, PhTime now)
{
  return now < rate->cold_until;
}

static double
tokens_at (const PhColdRate *rate, PhTime now, double calls_per_s)
{
  double tokens = rate->tokens + (double)(now - rate->refilled_at) / PH_SECOND * calls_per_s;

  return tokens < RATE_BURST ? tokens : RATE_BURST;
}

bool
ph_cold_rate_withdraw (PhColdRate *rate, PhTime now, double calls_per_s, double reserve)
{
  double tokens = tokens_at (rate, now, calls_per_s);

  if (tokens < 1 + reserve)
    return false;
  rate->tokens = tokens - 1;
  rate->refilled_at = now;
  return true;
}

PhTime
ph_cold_rate_next_at (const PhColdRate *rate, PhTime now, double calls_per_s, double reserve)
{
  double missing = 1 + reserve - tokens_at (rate, now, calls_per_s);

  return missing <= 0 ? now : now + 1 + (PhTime)(missing / calls_per_s * PH_SECOND);
}
