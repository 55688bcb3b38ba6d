#ifndef PH_COLD_H
#define PH_COLD_H

#include "pollenhitch/limit.h"

/*
 * Cold start of the local upstream.
 *
 * A cold upstream starts with one call in flight. The level is raised by one
 * when calls at the present level succeeded, used it, were not slower than at
 * the level before, and a step of time has passed. A failure lowers the level
 * and makes the step longer; at one call in flight it leads to a pause.
 * docs/decisions/cold-start.md gives the figures.
 */

typedef struct
{
  bool is_cold;
  bool is_ramp_set;  /* by operators */
  bool is_announced; /* the upstream itself says that it is cold */
  double level;      /* calls in flight that the upstream is trusted to bear */
  PhTime began_at;
  PhTime raised_at;   /* when the present level began */
  PhTime step;        /* least time at a level */
  uint32_t successes; /* of attempts started at the present level */
  uint32_t failures;
  PhTime pause; /* length of the last pause, 0 after a success */
  PhTime paused_until;
  bool was_full; /* the present level was used up */
  double latency_sum;
  double mean_us; /* mean latency at the level before, 0 for none */
} PhColdStart;

/*
 * Rate of calls to a cold upstream that says what it bears.
 *
 * A token bucket that holds BURST tokens, so that any second sees at most the
 * rate and the burst.
 */
typedef struct
{
  PhTime until; /* the upstream is cold before */
  double tokens;
  PhTime at; /* when the tokens were counted */
} PhColdRate;

/* ph_cold_rate_begin: cold until a time, as far as is known. */
void ph_cold_rate_begin (PhColdRate *rate, PhTime now, PhTime until);
bool ph_cold_rate_is_cold (const PhColdRate *rate, PhTime now);

/* ph_cold_rate_take: take the token of one call, or return false. */
bool ph_cold_rate_take (PhColdRate *rate, PhTime now, double per_s);

/* ph_cold_rate_next: when the next token is there. */
PhTime ph_cold_rate_next (const PhColdRate *rate, PhTime now, double per_s);

/* ph_cold_begin: the upstream is cold from now on; max is its number of slots. */
void ph_cold_begin (PhColdStart *cold, PhTime now, bool is_announced, double max);

/* ph_cold_set_ramp: operators set the time from one call in flight to max; it is not shortened by
 * successes or by the announcement. Called right after ph_cold_begin. */
void ph_cold_set_ramp (PhColdStart *cold, PhTime ramp, double max);

/* ph_cold_announced_ready: the upstream no longer says that it is cold; the steps get shorter. */
void ph_cold_announced_ready (PhColdStart *cold, double max);

/* ph_cold_sample: an attempt ended. Ends the cold start when the level has reached max. */
void ph_cold_sample (PhColdStart *cold, const PhSample *sample, double max);

/* ph_cold_held: calls wait while so many that were answered hold slots, with slow readers of their
 * responses. When these hold the whole level for a step of time, it rises. */
void ph_cold_held (PhColdStart *cold, PhTime now, uint32_t answered, double max);

#endif
