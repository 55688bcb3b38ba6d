#ifndef PH_LIMIT_H
#define PH_LIMIT_H

#include "pollenhitch/base.h"

/*
 * Adaptive concurrency limit of the local upstream, within its announced slots.
 *
 * A policy is a callback with a context pointer, so that the measurements can compare policies in
 * one build. docs/decisions/limit.md has the comparison.
 */

/* What the end of an attempt says of the upstream. */
typedef enum
{
  PH_OUTCOME_OK,
  PH_OUTCOME_ERROR,  /* a 5xx response, a lost connection or no response in time */
  PH_OUTCOME_SHED,   /* refused without running it, or the connection was refused */
  PH_OUTCOME_UNKNOWN /* cancelled: says nothing */
} PhOutcome;

/* A smoothed value that fades without samples. A sample after a long time replaces the value. */
typedef struct
{
  double value;
  PhTime updated_at; /* last sample, 0 before the first */
} PhEstimate;

/* ph_estimate_add: half_life is the time in which an old value loses half of its weight. */
void ph_estimate_add (PhEstimate *estimate, PhTime now, PhTime half_life, double sample);
double ph_estimate_value (const PhEstimate *estimate, PhTime now, PhTime half_life);

typedef struct
{
  PhTime now;
  PhTime started_at;
  PhTime latency; /* to the head of the response; of PH_OUTCOME_OK only */
  PhOutcome outcome;
  uint32_t in_flight; /* before this one ended */
} PhSample;

typedef struct
{
  double value;                 /* at least 1 and at most max */
  double max;                   /* announced slots */
  PhEstimate latency;           /* microseconds, for decisions and reports */
  PhEstimate latency_deviation; /* distance of a latency from the mean */
  double error_ratio;           /* smoothed over calls */
  PhTime decreased_at;          /* an earlier start says nothing of the decreased limit */
  double last_shed_limit;       /* the limit at the last shed, 0 for none */
  double
      shed_floor_fraction; /* part of max that sheds leave while the upstream serves most calls */

  /* Of the policy: one window of samples. */
  uint32_t window_count;
  uint32_t window_peak_in_flight; /* most in flight */
  double window_latency_sum_us;
  double short_mean_us; /* mean of the last window */
  double long_mean_us;  /* slowly smoothed mean */
} PhLimit;

typedef void (*PhLimitFunc) (void *user, PhLimit *limit, const PhSample *sample);

/* ph_limit_reset: start over at value, with at most max calls. */
void ph_limit_reset (PhLimit *limit, double value, double max);

/* ph_limit_set_max: the announced slots changed. */
void ph_limit_set_max (PhLimit *limit, double max);

/* ph_limit_count_error: a call failed, which counts in the error ratio and leaves the limit. */
void ph_limit_count_error (PhLimit *limit);

/*
 * ph_limit_sample: an attempt ended.
 *
 * Failures lower the limit whatever the policy is, and their latency is never
 * used: an upstream that fails fast must not look fast. Successes go to the policy.
 */
void ph_limit_sample (PhLimit *limit, PhLimitFunc adapt, void *user, const PhSample *sample);

/*
 * ph_limit_latency: microseconds to the head of a response, as mean plus so many deviations.
 *
 * The estimate fades without samples.
 */
PhTime ph_limit_latency (const PhLimit *limit, PhTime now, double deviations);

/* ph_limit_time_per_success: microseconds of upstream time for one success, for load reports. */
double ph_limit_time_per_success (const PhLimit *limit);

/* ph_limit_gradient: ratio of a slow to a fast average (Netflix concurrency-limits, Gradient2). */
void ph_limit_gradient (void *user, PhLimit *limit, const PhSample *sample);

/* ph_limit_vegas: estimated queue from the least latency (Brakmo and Peterson 1995). */
void ph_limit_vegas (void *user, PhLimit *limit, const PhSample *sample);

/* ph_limit_aimd: additive increase, multiplicative decrease above twice the least latency. */
void ph_limit_aimd (void *user, PhLimit *limit, const PhSample *sample);

/* ph_limit_fixed: the announced slots, lowered by failures only. */
void ph_limit_fixed (void *user, PhLimit *limit, const PhSample *sample);

#endif
