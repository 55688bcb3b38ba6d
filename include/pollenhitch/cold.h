#ifndef PH_COLD_H
#define PH_COLD_H

#include "pollenhitch/limit.h"

/*
 * Cold start of the local upstream.
 *
 * A cold upstream starts with one call in flight. The limit of a step is raised by one
 * when calls at the present step succeeded, used it, were not slower than at
 * the step before, and the duration of a step has passed. A failure lowers the limit
 * and makes the step longer; at one call in flight it leads to a pause.
 * docs/decisions/cold-start.md gives the figures.
 */

typedef struct
{
  bool is_cold;
  bool is_ramp_set;  /* by operators */
  bool is_announced; /* the upstream itself says that it is cold */
  double step_limit; /* calls in flight that the upstream is trusted to bear */
  PhTime began_at;
  PhTime step_began_at;    /* when the present step began */
  PhTime step_duration;    /* least time at a step */
  uint32_t step_successes; /* of attempts started at the present step */
  uint32_t step_failures;
  PhTime pause_duration; /* length of the last pause, 0 after a success */
  PhTime paused_until;
  bool was_step_full; /* the limit of the present step was used up */
  double latency_sum_us;
  double previous_mean_us; /* mean latency at the step before, 0 for none */
} PhColdStart;

/*
 * Rate of calls to a cold upstream that says what it bears.
 *
 * A token bucket that holds BURST tokens, so that any second sees at most the
 * rate and the burst.
 */
typedef struct
{
  PhTime cold_until; /* the upstream is cold before */
  double tokens;
  PhTime refilled_at; /* when the tokens were counted */
} PhColdRate;

/* ph_cold_rate_begin: cold until a time, as far as is known. */
void ph_cold_rate_begin (PhColdRate *rate, PhTime now, PhTime until);
bool ph_cold_rate_is_cold (const PhColdRate *rate, PhTime now);

/* ph_cold_rate_withdraw: take the token of one call, or return false. */
bool ph_cold_rate_withdraw (PhColdRate *rate, PhTime now, double per_s);

/* ph_cold_rate_next_at: when the next token is there. */
PhTime ph_cold_rate_next_at (const PhColdRate *rate, PhTime now, double per_s);

/* ph_cold_begin: the upstream is cold from now on; max is its number of slots. */
void ph_cold_begin (PhColdStart *cold, PhTime now, bool is_announced, double max);

/* ph_cold_set_ramp: operators set the time from one call in flight to max; it is not shortened by
 * successes or by the announcement. Called right after ph_cold_begin. */
void ph_cold_set_ramp (PhColdStart *cold, PhTime ramp, double max);

/* ph_cold_announced_ready: the upstream no longer says that it is cold; the steps get shorter. */
void ph_cold_announced_ready (PhColdStart *cold, double max);

/* ph_cold_sample: an attempt ended. Ends the cold start when the limit of the step has reached max.
 */
void ph_cold_sample (PhColdStart *cold, const PhSample *sample, double max);

/* ph_cold_observe_held_slots: calls wait while so many that were answered hold slots, with slow
 * readers of their responses. When these hold the whole limit for the duration of a step, it rises.
 */
void ph_cold_observe_held_slots (PhColdStart *cold, PhTime now, uint32_t responding, double max);

#endif
