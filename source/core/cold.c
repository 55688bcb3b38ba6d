#include "pollenhitch/cold.h"

/* Time from one call in flight to all slots when nothing fails. An upstream that says that it is
 * cold gets the longer one. A silent one is most often warm: only its node was restarted. */
#define RAMP_ANNOUNCED (10 * PH_SECOND)
#define RAMP_SILENT (3 * PH_SECOND)

/* An upstream that said cold and then ready is most often warm. */
#define RAMP_READY PH_SECOND
#define RAMP_MAX (60 * PH_SECOND)
#define STEP_MIN (10 * PH_MS)

/* After a failure the step is at least this multiple of the time that a slot has taken so far. */
#define STEP_MARGIN 1.25
#define STEP_SHRINK 0.8

#define SUCCESSES_MIN 4
#define SUCCESSES_FACTOR 2 /* successes at a level, for each call in flight */

/* Failures are the application's own up to one in so many calls at a level. */
#define FAILURE_SHARE 20

#define LATENCY_TOLERANCE 1.5

/* Time without calls after a failure at one call in flight. An upstream that fails fast would else
 * take in more calls than one that works. */
#define PAUSE_MIN (20 * PH_MS)
#define PAUSE_MAX (500 * PH_MS)

/* The reference latency rises by this factor each time that it holds the level back, so that a
 * lasting change of the calls does not hold it for ever. */
#define LATENCY_RELAX 1.1

static PhTime
step_of (PhTime ramp, double max)
{
  PhTime step = max > 2 ? (PhTime)((double)ramp / (max - 1)) : ramp;

  return step < STEP_MIN ? STEP_MIN : step;
}

static void
set_level (PhColdStart *cold, PhTime now, double level)
{
  cold->step_limit = level < 1 ? 1 : level;
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
                         .step_duration
                         = step_of (is_announced ? RAMP_ANNOUNCED : RAMP_SILENT, max) };
  set_level (cold, now, 1);
}

void
ph_cold_set_ramp (PhColdStart *cold, PhTime ramp, double max)
{
  cold->is_ramp_set = true;
  cold->step_duration = step_of (ramp, max);
}

void
ph_cold_announced_ready (PhColdStart *cold, double max)
{
  cold->is_announced = false;
  if (cold->is_ramp_set)
    return;
  cold->step_duration = step_of (RAMP_READY, max);
}

/* The upstream fails with one call in flight: lets calls through one by one, ever more rarely. */
static void
pause (PhColdStart *cold, PhTime now)
{
  cold->pause_duration = cold->pause_duration == 0 ? PAUSE_MIN : 2 * cold->pause_duration;
  if (cold->pause_duration > PAUSE_MAX)
    cold->pause_duration = PAUSE_MAX;
  cold->paused_until = now + cold->pause_duration;
  cold->began_at = now;
  set_level (cold, now, 1);
}

static void
note_failure (PhColdStart *cold, const PhSample *sample, double max)
{
  double slot_time;
  PhTime step_max = step_of (RAMP_MAX, max);

  cold->step_failures++;
  if (cold->step_failures * FAILURE_SHARE <= cold->step_failures + cold->step_successes)
    return;
  if (cold->step_limit <= 1)
    {
      pause (cold, sample->now);
      return;
    }
  slot_time = (double)(sample->now - cold->began_at) / cold->step_limit;
  cold->step_duration *= 2;
  if ((double)cold->step_duration < STEP_MARGIN * slot_time)
    cold->step_duration = (PhTime)(STEP_MARGIN * slot_time);
  if (cold->step_duration > step_max)
    cold->step_duration = step_max;
  set_level (cold, sample->now, cold->step_limit - 1);
  cold->previous_mean_us = 0;
}

/* Whether the calls at this level were not slower than at the level before. */
static bool
check_latency (PhColdStart *cold, PhTime now)
{
  double mean = cold->latency_sum_us / cold->step_successes;

  if (cold->previous_mean_us > 0 && mean > LATENCY_TOLERANCE * cold->previous_mean_us)
    {
      cold->previous_mean_us *= LATENCY_RELAX;
      set_level (cold, now, cold->step_limit);
      return false;
    }
  cold->previous_mean_us = mean;
  return true;
}

static void
note_success (PhColdStart *cold, const PhSample *sample, double max)
{
  cold->pause_duration = 0;
  cold->step_successes++;
  cold->latency_sum_us += (double)sample->latency;
  if (sample->in_flight + 1 > cold->step_limit)
    cold->was_step_full = true;
  if (!cold->was_step_full || cold->step_successes < SUCCESSES_MIN
      || cold->step_successes < SUCCESSES_FACTOR * cold->step_limit
      || sample->now - cold->step_began_at < cold->step_duration
      || !check_latency (cold, sample->now))
    return;
  if (cold->step_limit >= max)
    {
      cold->is_cold = false;
      return;
    }
  if (!cold->is_announced && !cold->is_ramp_set && cold->step_duration > STEP_MIN)
    cold->step_duration = (PhTime)((double)cold->step_duration * STEP_SHRINK);
  set_level (cold, sample->now, cold->step_limit + 1 < max ? cold->step_limit + 1 : max);
}

void
ph_cold_sample (PhColdStart *cold, const PhSample *sample, double max)
{
  if (!cold->is_cold || sample->started_at < cold->step_began_at)
    return;
  if (sample->outcome == PH_OUTCOME_OK)
    note_success (cold, sample, max);
  else if (sample->outcome != PH_OUTCOME_UNKNOWN)
    note_failure (cold, sample, max);
}

void
ph_cold_observe_held_slots (PhColdStart *cold, PhTime now, uint32_t responding, double max)
{
  if (cold->is_cold && responding >= cold->step_limit && cold->step_limit < max
      && now - cold->step_began_at >= cold->step_duration)
    set_level (cold, now, cold->step_limit + 1 < max ? cold->step_limit + 1 : max);
}

/* Calls that may follow each other at once; the bound allows half of the rate and a few more. */
#define BURST 2.0

void
ph_cold_rate_begin (PhColdRate *rate, PhTime now, PhTime until)
{
  if (!ph_cold_rate_is_cold (rate, now))
    {
      /* Calls of the second before were not counted, so there is no burst at once. */
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
tokens_at (const PhColdRate *rate, PhTime now, double per_s)
{
  double tokens = rate->tokens + (double)(now - rate->refilled_at) / PH_SECOND * per_s;

  return tokens < BURST ? tokens : BURST;
}

bool
ph_cold_rate_withdraw (PhColdRate *rate, PhTime now, double per_s)
{
  double tokens = tokens_at (rate, now, per_s);

  if (tokens < 1)
    return false;
  rate->tokens = tokens - 1;
  rate->refilled_at = now;
  return true;
}

PhTime
ph_cold_rate_next_at (const PhColdRate *rate, PhTime now, double per_s)
{
  double missing = 1 - tokens_at (rate, now, per_s);

  return missing <= 0 ? now : now + 1 + (PhTime)(missing / per_s * PH_SECOND);
}
