#include "pollenhitch/limit.h"

#include <math.h>

#define SAMPLE_WEIGHT_MIN (1.0 / 16) /* weight of a sample that closely follows another */
#define FAILURE_RATIO_WEIGHT (1.0 / 16)

/* Half-life of the latency estimate while there are no samples. Without the decay, every call to an
 * upstream that was slow once would be refused as too late, and its recovery would never show. */
#define LATENCY_HALF_LIFE PH_SECOND

/* Latencies above this multiple of the mean plus 1 ms are cut to that. Otherwise a single call of
 * 10 s would make the next thirty look as if they were too late. */
#define OUTLIER_FACTOR 4

/* While the failure ratio is at most this, errors are attributed to the application; above it, they
 * lower the limit. */
#define FAILURE_RATIO_TOLERATED 0.25

#define FAILURE_DECREASE_FACTOR 0.7

/* Above this failure ratio the upstream is saturated, and shed calls may lower the limit down to 1.
 * Below it the floor applies: an upstream that sheds 4 of 10 calls regardless of its load sheds as
 * many at a lower limit. */
#define FAILURE_RATIO_SATURATED 0.85

/* Near the limit at which a call was shed, growth is multiplied by this factor for this time after
 * it. The upstream is then not driven into shedding several times per second, and a capacity that
 * has grown is still found soon. */
#define NEAR_SHED_GROWTH_FACTOR 0.125
#define NEAR_SHED_TIME PH_SECOND

#define GRADIENT_TOLERANCE 1.5
#define GRADIENT_MIN 0.5
#define GRADIENT_SMOOTHING 0.2
#define GRADIENT_SMOOTHING_DOWN 0.5
#define LONG_MEAN_WEIGHT_UP (1.0 / 32)
#define LONG_MEAN_WEIGHT_DOWN (1.0 / 4)

/* Samples in a window, for each call in flight. With fewer, a change in the mix of fast and slow
 * routes looks like a change of the upstream. */
#define WINDOW_SAMPLES_PER_CALL 4
#define WINDOW_SAMPLES_MIN 16

#define VEGAS_ALPHA 1.0
#define VEGAS_BETA 3.0

#define AIMD_LATENCY_TOLERANCE 2.0
#define AIMD_DECREASE_FACTOR 0.9

static double
decay_factor (const PhEstimate *estimate, PhTime now, PhTime half_life)
{
  return exp2 (-(double)(now - estimate->updated_at) / (double)half_life);
}

void
ph_estimate_add (PhEstimate *estimate, PhTime now, PhTime half_life, double sample)
{
  double weight = estimate->updated_at != 0 ? 1 - decay_factor (estimate, now, half_life) : 1;

  if (weight < SAMPLE_WEIGHT_MIN)
    weight = SAMPLE_WEIGHT_MIN;
  estimate->value += weight * (sample - estimate->value);
  estimate->updated_at = now;
}

double
ph_estimate_value (const PhEstimate *estimate, PhTime now, PhTime half_life)
{
  return estimate->value * decay_factor (estimate, now, half_life);
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
decrease_on_failure (PhLimit *limit, const PhSample *sample)
{
  double floor = 1;

  if (sample->started_at < limit->decreased_at)
    return;
  if (sample->outcome == PH_OUTCOME_ERROR && limit->failure_ratio <= FAILURE_RATIO_TOLERATED)
    return;
  if (sample->outcome == PH_OUTCOME_SHED)
    {
      if (limit->failure_ratio <= FAILURE_RATIO_SATURATED)
        floor = fmin (limit->value, limit->shed_floor_fraction * limit->max);
      limit->last_shed_limit = limit->value;
    }
  set_value (limit, fmax (floor, limit->value * FAILURE_DECREASE_FACTOR));
  limit->decreased_at = sample->now;
}

void
ph_limit_count_error (PhLimit *limit)
{
  limit->failure_ratio += FAILURE_RATIO_WEIGHT * (1 - limit->failure_ratio);
}

void
ph_limit_sample (PhLimit *limit, PhLimitFunc adapt, void *user, const PhSample *sample)
{
  double distance;
  double latency;

  if (sample->outcome == PH_OUTCOME_UNKNOWN)
    return;
  limit->failure_ratio
      += FAILURE_RATIO_WEIGHT * ((sample->outcome != PH_OUTCOME_OK) - limit->failure_ratio);
  if (sample->outcome != PH_OUTCOME_OK)
    {
      decrease_on_failure (limit, sample);
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
  return limit->latency.value / clamp (1 - limit->failure_ratio, 0.01, 1);
}

/* Adds a sample to the window. Returns true if the window is complete; short_mean_us is then its
 * mean. */
static bool
add_to_window (PhLimit *limit, const PhSample *sample)
{
  if (sample->in_flight > limit->window_peak_in_flight)
    limit->window_peak_in_flight = sample->in_flight;
  limit->window_latency_sum_us += (double)sample->latency;
  limit->window_count++;
  if (limit->window_count < WINDOW_SAMPLES_MIN
      || limit->window_count < WINDOW_SAMPLES_PER_CALL * limit->value)
    return false;
  limit->short_mean_us = clamp (limit->window_latency_sum_us / limit->window_count, 1, 1e12);
  limit->window_latency_sum_us = 0;
  limit->window_count = 0;
  return true;
}

/* Whether the calls of the last window used at least half of the limit, which must not grow
 * otherwise. Starts a new peak. */
static bool
reset_window_peak (PhLimit *limit)
{
  bool is_used = limit->window_peak_in_flight * 2 >= limit->value;

  limit->window_peak_in_flight = 0;
  return is_used;
}

static void
increase_limit (PhLimit *limit, PhTime now, double step)
{
  if (limit->last_shed_limit > 0 && fabs (limit->value - limit->last_shed_limit) < 1
      && now - limit->decreased_at < NEAR_SHED_TIME)
    step *= NEAR_SHED_GROWTH_FACTOR;
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
  if (!add_to_window (limit, sample))
    return;
  if (limit->long_mean_us == 0)
    limit->long_mean_us = limit->short_mean_us;
  gradient
      = clamp (GRADIENT_TOLERANCE * limit->long_mean_us / limit->short_mean_us, GRADIENT_MIN, 1);
  limit->long_mean_us
      += (limit->short_mean_us > limit->long_mean_us ? LONG_MEAN_WEIGHT_UP : LONG_MEAN_WEIGHT_DOWN)
         * (limit->short_mean_us - limit->long_mean_us);
  step = limit->value * gradient + sqrt (limit->value) - limit->value;
  if (!reset_window_peak (limit))
    return;
  if (step > 0)
    increase_limit (limit, sample->now, GRADIENT_SMOOTHING * step);
  else
    set_value (limit, limit->value + GRADIENT_SMOOTHING_DOWN * step);
}

void
ph_limit_vegas (void *user, PhLimit *limit, const PhSample *sample)
{
  double queue;

  (void)user;
  if (!add_to_window (limit, sample) || !reset_window_peak (limit))
    return;
  if (limit->long_mean_us == 0 || limit->short_mean_us < limit->long_mean_us)
    limit->long_mean_us = limit->short_mean_us;
  queue = limit->value * (1 - limit->long_mean_us / limit->short_mean_us);
  if (queue < VEGAS_ALPHA)
    increase_limit (limit, sample->now, 1);
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
  if (limit->latency.value > AIMD_LATENCY_TOLERANCE * limit->long_mean_us)
    set_value (limit, limit->value * AIMD_DECREASE_FACTOR);
  else
    increase_limit (limit, sample->now, 1 / limit->value);
}

void
ph_limit_fixed (void *user, PhLimit *limit, const PhSample *sample)
{
  (void)user;
  if (add_to_window (limit, sample))
    increase_limit (limit, sample->now, 1);
}
