#ifndef PH_COLD_H
#define PH_COLD_H

#include "pollenhitch/limit.h"

/*
 * Cold start of the local upstream.
 *
 * A cold upstream starts with one call in flight. The limit rises by one per step. A step ends
 * when its minimum duration has passed and enough of its calls have succeeded, used the limit
 * and were not slower than in the previous step. A failure lowers the limit and makes the steps
 * longer; with one call in flight, it causes a pause. The figures are in
 * docs/decisions/cold-start.md.
 */

typedef struct
{
  bool is_cold;
  bool is_ramp_set;        /* operators set the duration of the ramp */
  bool is_announced;       /* the upstream itself announced that it is cold */
  double step_limit;       /* maximum number of calls in flight in the current step */
  PhTime began_at;         /* when the ramp began, or when the last pause began */
  PhTime step_began_at;    /* when the current step began */
  PhTime step_duration;    /* minimum duration of a step */
  uint32_t step_successes; /* successes among the attempts started in the current step */
  uint32_t step_failures;  /* failures among the attempts started in the current step */
  PhTime pause_duration;   /* duration of the last pause, 0 after a success */
  PhTime paused_until;
  bool was_step_full;    /* the limit of the current step has been reached */
  double latency_sum_us; /* of step_successes */
  /* Mean latency in the previous step, raised each time that it made a step begin again; 0 for
   * none. */
  double previous_mean_us;
} PhColdStart;

/*
 * Rate limit for a cold upstream whose service has a rule for its call rate.
 *
 * A token bucket of limited size: in any second, the upstream gets at most the rate plus the
 * size of the bucket.
 */
typedef struct
{
  PhTime cold_until; /* the upstream is treated as cold until then */
  double tokens;
  PhTime refilled_at; /* time of the last refill of tokens */
} PhColdRate;

/* ph_cold_rate_begin: treat the upstream as cold until the given time. May be called again to
 * change that time. */
void ph_cold_rate_begin (PhColdRate *rate, PhTime now, PhTime until);
bool ph_cold_rate_is_cold (const PhColdRate *rate, PhTime now);

/* ph_cold_rate_withdraw: take the token of one call. Returns false if there is none, or if less
 * than the reserve would be left. Only for an upstream that is cold (ph_cold_rate_is_cold), which
 * the caller checks; the same holds for ph_cold_rate_next_at. */
bool ph_cold_rate_withdraw (PhColdRate *rate, PhTime now, double calls_per_s, double reserve);

/* ph_cold_rate_next_at: when the next token is available with the reserve left; now if there is one
 * already. */
PhTime
ph_cold_rate_next_at (const PhColdRate *rate, PhTime now, double calls_per_s, double reserve);

/* ph_cold_begin: begin a cold start. max is the number of slots of the upstream. */
void ph_cold_begin (PhColdStart *cold, PhTime now, bool is_announced, double max);

/* ph_cold_set_ramp: use the ramp set by operators, the time from one call in flight to max. It is
 * not shortened by successes or announcements. Must be called right after ph_cold_begin. */
void ph_cold_set_ramp (PhColdStart *cold, PhTime ramp, double max);

/* ph_cold_announced_ready: the upstream now announces that it is ready, so shorten the steps. */
void ph_cold_announced_ready (PhColdStart *cold, double max);

/* ph_cold_sample: an attempt ended. Ends the cold start after a successful step whose limit is max.
 */
void ph_cold_sample (PhColdStart *cold, const PhSample *sample, double max);

/* ph_cold_observe_held_slots: for use while calls are queued. responding is the number of slots
 * held by attempts whose response has started, which slow clients may keep open for long. If they
 * hold the whole limit for the duration of a step, the limit is raised. */
void ph_cold_observe_held_slots (PhColdStart *cold, PhTime now, uint32_t responding, double max);

#endif
