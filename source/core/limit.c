#include "pollenhitch/limit.h"

#include <math.h>

#define SAMPLE_WEIGHT (1.0 / 16) /* of a sample that follows others closely */
#define ERROR_WEIGHT (1.0 / 16)

/* The estimate of the latency halves in this time without samples. Without this, an upstream that
 * was slow once would have every call dropped as infeasible and could never show its recovery. */
#define LATENCY_HALF_LIFE PH_SECOND

/* A longer latency counts as this multiple of the mean: one call that took 10 s would else make the
 * next thirty look infeasible. */
#define OUTLIER_FACTOR 4

/* Share of errors that is taken as the application's own. Above it the limit falls. */
#define ERROR_TOLERANCE 0.25

#define FAILURE_DECREASE 0.7

/* Above this share of failures an upstream is out of room, and sheds lower the limit to 1. One that
 * sheds 4 in 10 calls whatever its load is sheds as many at a lower limit. */
#define SHED_RATIO_FULL 0.85

/* For this time after a shed, growth near the limit at which it came is so much slower: the
 * upstream is not driven into shedding several times a second, and a limit that has risen is found
 * soon. */
#define NEAR_SHED_GROWTH 0.125
#define NEAR_SHED_TIME PH_SECOND

#define GRADIENT_TOLERANCE 1.5
#define GRADIENT_MIN 0.5
#define GRADIENT_SMOOTHING 0.2
#define GRADIENT_SMOOTHING_DOWN 0.5
#define LONG_WEIGHT_UP (1.0 / 32)
#define LONG_WEIGHT_DOWN (1.0 / 4)

/* Samples of a window for each call in flight: with fewer, a change in the mix of fast and slow
 * routes looks like a change of the upstream. */
#define WINDOW_FACTOR 4
#define WINDOW_MIN 16

#define VEGAS_ALPHA 1.0
#define VEGAS_BETA 3.0

#define AIMD_TOLERANCE 2.0
#define AIMD_DECREASE 0.9

static double
fade (const PhEstimate *estimate, PhTime now, PhTime half_life)
{
  return exp2 (-(double)(now - estimate->updated_at) / (double)half_life);
}

void
ph_estimate_add (PhEstimate *estimate, PhTime now, PhTime half_life, double sample)
{
  double weight = estimate->updated_at != 0 ? 1 - fade (estimate, now, half_life) : 1;

  if (weight < SAMPLE_WEIGHT)
    weight = SAMPLE_WEIGHT;
  estimate->value += weight * (sample - estimate->value);
  estimate->updated_at = now;
}

double
ph_estimate_value (const PhEstimate *estimate, PhTime now, PhTime half_life)
{
  return estimate->value * fade (estimate, now, half_life);
}

void
ph_limit_reset (PhLimit *limit, double value, double max)
{
  *limit = (PhLimit){ .value = value, .max = max };
}

static double
clamp (double value, double min, double max)
{
  if (value > max)
    value = max;
  return value < min ? min : value;
}

static void
set_value (PhLimit *limit, double value)
{
  limit->value = clamp (value, 1, limit->max);
}

void
ph_limit_set_max (PhLimit *limit, double max)
{
  limit->max = max;
  set_value (limit, limit->value);
}

static void
note_failure (PhLimit *limit, const PhSample *sample)
{
  double floor = 1;

  if (sample->started_at < limit->decreased_at)
    return;
  if (sample->outcome == PH_OUTCOME_ERROR && limit->error_ratio <= ERROR_TOLERANCE)
    return;
  if (sample->outcome == PH_OUTCOME_SHED)
    {
      if (limit->error_ratio <= SHED_RATIO_FULL)
        floor = fmin (limit->value, limit->shed_floor_fraction * limit->max);
      limit->last_shed_limit = limit->value;
    }
  set_value (limit, fmax (floor, limit->value * FAILURE_DECREASE));
  limit->decreased_at = sample->now;
}

void
ph_limit_count_error (PhLimit *limit)
{
  limit->error_ratio += ERROR_WEIGHT * (1 - limit->error_ratio);
}

void
ph_limit_sample (PhLimit *limit, PhLimitFunc adapt, void *user, const PhSample *sample)
{
  double distance;
  double latency;

  if (sample->outcome == PH_OUTCOME_UNKNOWN)
    return;
  limit->error_ratio += ERROR_WEIGHT * ((sample->outcome != PH_OUTCOME_OK) - limit->error_ratio);
  if (sample->outcome != PH_OUTCOME_OK)
    {
      note_failure (limit, sample);
      return;
    }
  latency = (double)sample->latency;
  if (limit->latency.updated_at != 0 && latency > OUTLIER_FACTOR * limit->latency.value + PH_MS)
    latency = OUTLIER_FACTOR * limit->latency.value + PH_MS;
  distance = limit->latency.updated_at != 0 ? fabs (latency - limit->latency.value) : 0;
  ph_estimate_add (&limit->latency, sample->now, LATENCY_HALF_LIFE, latency);
  ph_estimate_add (&limit->latency_deviation, sample->now, LATENCY_HALF_LIFE, distance);
  adapt (user, limit, sample);
}

PhTime
ph_limit_latency (const PhLimit *limit, PhTime now, double deviations)
{
  return (PhTime)(ph_estimate_value (&limit->latency, now, LATENCY_HALF_LIFE)
                  + deviations
                        * ph_estimate_value (&limit->latency_deviation, now, LATENCY_HALF_LIFE));
}

double
ph_limit_time_per_success (const PhLimit *limit)
{
  return limit->latency.value / clamp (1 - limit->error_ratio, 0.01, 1);
}

/* Adds a sample to the window. Returns true when the window is complete; short_us is its mean. */
static bool
end_window (PhLimit *limit, const PhSample *sample)
{
  if (sample->in_flight > limit->window_peak_in_flight)
    limit->window_peak_in_flight = sample->in_flight;
  limit->window_latency_sum_us += (double)sample->latency;
  limit->window_count++;
  if (limit->window_count < WINDOW_MIN || limit->window_count < WINDOW_FACTOR * limit->value)
    return false;
  limit->short_mean_us = clamp (limit->window_latency_sum_us / limit->window_count, 1, 1e12);
  limit->window_latency_sum_us = 0;
  limit->window_count = 0;
  return true;
}

/* Whether the calls of the last window used the limit. A limit that is not used must not grow. */
static bool
take_window_use (PhLimit *limit)
{
  bool is_used = limit->window_peak_in_flight * 2 >= limit->value;

  limit->window_peak_in_flight = 0;
  return is_used;
}

static void
grow (PhLimit *limit, PhTime now, double step)
{
  if (limit->last_shed_limit > 0 && fabs (limit->value - limit->last_shed_limit) < 1
      && now - limit->decreased_at < NEAR_SHED_TIME)
    step *= NEAR_SHED_GROWTH;
  else if (limit->value > limit->last_shed_limit)
    limit->last_shed_limit = 0;
  set_value (limit, limit->value + step);
}

void
ph_limit_gradient (void *user, PhLimit *limit, const PhSample *sample)
{
  double gradient;
  double step;

  (void)user;
  if (!end_window (limit, sample))
    return;
  if (limit->long_mean_us == 0)
    limit->long_mean_us = limit->short_mean_us;
  gradient
      = clamp (GRADIENT_TOLERANCE * limit->long_mean_us / limit->short_mean_us, GRADIENT_MIN, 1);
  limit->long_mean_us
      += (limit->short_mean_us > limit->long_mean_us ? LONG_WEIGHT_UP : LONG_WEIGHT_DOWN)
         * (limit->short_mean_us - limit->long_mean_us);
  step = limit->value * gradient + sqrt (limit->value) - limit->value;
  if (!take_window_use (limit))
    return;
  if (step > 0)
    grow (limit, sample->now, GRADIENT_SMOOTHING * step);
  else
    set_value (limit, limit->value + GRADIENT_SMOOTHING_DOWN * step);
}

void
ph_limit_vegas (void *user, PhLimit *limit, const PhSample *sample)
{
  double queue;

  (void)user;
  if (!end_window (limit, sample) || !take_window_use (limit))
    return;
  if (limit->long_mean_us == 0 || limit->short_mean_us < limit->long_mean_us)
    limit->long_mean_us = limit->short_mean_us;
  queue = limit->value * (1 - limit->long_mean_us / limit->short_mean_us);
  if (queue < VEGAS_ALPHA)
    grow (limit, sample->now, 1);
  else if (queue > VEGAS_BETA)
    set_value (limit, limit->value - 1);
}

void
ph_limit_aimd (void *user, PhLimit *limit, const PhSample *sample)
{
  (void)user;
  (void)sample;
  if (limit->long_mean_us == 0 || (double)sample->latency < limit->long_mean_us)
    limit->long_mean_us = (double)sample->latency;
  if (limit->latency.value > AIMD_TOLERANCE * limit->long_mean_us)
    set_value (limit, limit->value * AIMD_DECREASE);
  else
    grow (limit, sample->now, 1 / limit->value);
}

void
ph_limit_fixed (void *user, PhLimit *limit, const PhSample *sample)
{
  (void)user;
  if (end_window (limit, sample))
    grow (limit, sample->now, 1);
}
