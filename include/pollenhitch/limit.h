#ifndef PH_LIMIT_H
#define PH_LIMIT_H

#include "pollenhitch/base.h"

/*
 * Adaptive concurrency limit of the local upstream, within its announced slots.
 *
 * A policy is a callback with a context pointer, so that benchmarks can compare policies in one
 * build. The comparison is in docs/decisions/limit.md.
 */

/* What a finished attempt indicates about the upstream. */
typedef enum
{
  PH_OUTCOME_OK,
  /* A 5xx response other than 502 and 504, no valid or complete response, or none in time. */
  PH_OUTCOME_ERROR,
  PH_OUTCOME_SHED,   /* the upstream refused the connection, or the request without running it */
  PH_OUTCOME_UNKNOWN /* cancelled, a 502 or 504 response, or otherwise no sign of its state */
} PhOutcome;

/* Exponentially smoothed value that decays while there are no samples. A sample after a long time
 * replaces the value. */
typedef struct
{
  double value;
  PhTime updated_at; /* time of the last sample, 0 before the first */
} PhEstimate;

/* ph_estimate_add: add a sample. half_life is the time in which the previous value loses half of
 * its weight. */
void ph_estimate_add (PhEstimate *estimate, PhTime now, PhTime half_life, double sample);

/* ph_estimate_value: the value with its decay since the last sample; 0 before the first. */
double ph_estimate_value (const PhEstimate *estimate, PhTime now, PhTime half_life);

typedef struct
{
  PhTime now;
  PhTime started_at;
  /* Until the head of the response, or until the end of an attempt without one. The limit and the
   * cold start use it with PH_OUTCOME_OK only. */
  PhTime latency;
  PhOutcome outcome;
  uint32_t in_flight; /* calls in flight, including this one */
} PhSample;

typedef struct
{
  double value;                 /* the limit, from 1 to max */
  double max;                   /* the announced slots */
  PhEstimate latency;           /* microseconds; for decisions and load reports */
  PhEstimate latency_deviation; /* mean absolute deviation from latency, microseconds */
  double failure_ratio;         /* ratio of calls that failed or were shed, smoothed */
  /* Time of the last decrease. Failures of attempts that started earlier do not decrease the limit
   * again. */
  PhTime decreased_at;
  double last_shed_limit; /* the limit when a call was last shed, 0 for none */
  /* Fraction of max. Shed calls do not lower the limit below it until nearly all calls fail. */
  double shed_floor_fraction;

  /* State of the policy: the current window of samples. */
  uint32_t window_count;
  uint32_t window_peak_in_flight; /* highest number of calls in flight */
  double window_latency_sum_us;
  double short_mean_us; /* mean latency of the last complete window */
  /* For ph_limit_gradient the long-term mean latency, for ph_limit_vegas and ph_limit_aimd the
   * minimum latency. */
  double long_mean_us;
} PhLimit;

/* Adapts the limit to a successful sample, a policy as described above. */
typedef void (*PhLimitFunc) (void *user, PhLimit *limit, const PhSample *sample);

/* ph_limit_reset: start again with value as the limit and with max as its maximum. */
void ph_limit_reset (PhLimit *limit, double value, double max);

/* ph_limit_set_max: the number of announced slots changed. */
void ph_limit_set_max (PhLimit *limit, double max);

/* ph_limit_count_error: count a failed call in failure_ratio without lowering the limit. */
void ph_limit_count_error (PhLimit *limit);

/*
 * ph_limit_sample: an attempt ended.
 *
 * Failures lower the limit regardless of the policy: errors once failure_ratio is above 0.25, shed
 * calls at any ratio, but not below shed_floor_fraction while it is at most 0.85. Only an attempt
 * that started after the last decrease lowers it again. The latency of failures is never used: an
 * upstream that fails fast must not look fast. Successes are passed to the policy, and
 * PH_OUTCOME_UNKNOWN is ignored.
 */
void ph_limit_sample (PhLimit *limit, PhLimitFunc adapt, void *user, const PhSample *sample);

/*
 * ph_limit_latency: estimated microseconds to the head of a response, as the mean plus a number
 * of deviations.
 *
 * The estimate decays while there are no samples.
 */
PhTime ph_limit_latency (const PhLimit *limit, PhTime now, double deviations);

/* ph_limit_time_per_success: mean latency divided by the ratio of successes, in microseconds, for
 * load reports. */
double ph_limit_time_per_success (const PhLimit *limit);

/* ph_limit_gradient: ratio of the long-term to the short-term mean latency (Netflix
 * concurrency-limits, Gradient2). */
void ph_limit_gradient (void *user, PhLimit *limit, const PhSample *sample);

/* ph_limit_vegas: estimate of the queue length from the minimum latency (Brakmo and Peterson 1995).
 */
void ph_limit_vegas (void *user, PhLimit *limit, const PhSample *sample);

/* ph_limit_aimd: additive increase, and multiplicative decrease above twice the minimum latency. */
void ph_limit_aimd (void *user, PhLimit *limit, const PhSample *sample);

/* ph_limit_fixed: the announced slots. Failures lower the limit, and each complete window of
 * successes raises it by 1, or by less near a limit at which a call was shed, up to max. */
void ph_limit_fixed (void *user, PhLimit *limit, const PhSample *sample);

#endif
