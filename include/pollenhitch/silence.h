#ifndef PH_SILENCE_H
#define PH_SILENCE_H

#include "pollenhitch/call.h"

/*
 * Silent connections of the local upstream.
 *
 * Some upstreams never answer a request that they cannot queue, nor a later one on its connection.
 * Each open attempt has a connection of its own, so that a silent connection is an attempt that
 * gets no response. It has to be told from an attempt on a slow VM and from a long request. Two
 * clocks are compared with the usual latency, and the slower one counts:
 *
 * - the VM clock: time, divided by the slowdown that the upstream reported last;
 * - the service clock: each response on another connection advances it by the time since the last
 *   one, at the speed that the latency of this response shows: the usual latency divided by its
 * own, at most 1. On a VM that is slow without a report it is slow as well. When nothing responds
 * it stands still, and the time since the start alone decides, as if the VM were as slow as it can
 *   be. Counting responses instead would take an upstream for slow that runs cancelled requests.
 *
 * With the setting off there are no rows, and no slot is held or released.
 */

/* What is known of an attempt without a response. Times in microseconds. */
typedef struct
{
  PhTime age;                /* since its start */
  double vm_age;             /* advance of the VM clock since its start */
  double service_age;        /* advance of the service clock since its start */
  PhTime time_left;          /* to the deadline of its call */
  PhTime latency;            /* usual latency, 0 if it is not known */
  PhTime deviation;          /* usual deviation of it */
  uint32_t slowdown_percent; /* last reported one, 100 or 0 for none */
  bool can_rerun;            /* its call can be tried at another upstream */
} PhSilenceEvidence;

typedef enum
{
  PH_SILENCE_NONE,
  PH_SILENCE_PROBABLE, /* also a long request takes as long, but waiting on would be too late for
                          another attempt */
  PH_SILENCE_CERTAIN   /* a long request would have ended */
} PhSilenceVerdict;

typedef struct
{
  uint32_t v;
} PhSilenceId;

/* An attempt at the local upstream without a response. */
typedef struct
{
  PhAttemptId attempt;
  PhTime started_at;
  double vm_clock; /* these two at the start */
  double service_clock;
  bool is_released; /* its slot was released; the attempt goes on to its deadline */
} PhSilenceRow;

PH_DECLARE_TABLE (PhSilenceRow, PhSilenceId, ph_silence_row)

#define PH_SILENCE_ROWS_MAX 1024

typedef struct
{
  PhTable rows;
  double vm_clock; /* up to vm_clock_until */
  PhTime vm_clock_until;
  double service_clock; /* up to responded_at, when the last response arrived */
  PhTime responded_at;
  PhTime check_at; /* when the next check is due; 0 for none */
  uint32_t upstream_generation;
  /* Ends of the times for which slots of dropped attempts count as taken. */
  PhTime held_until[PH_SILENCE_ROWS_MAX];
  uint32_t held_count;
} PhSilence;

/* ph_silence_judge: decide about one attempt. */
PhSilenceVerdict ph_silence_judge (const PhSilenceEvidence *evidence);

/* ph_silence_started: an attempt at the local upstream was started. */
void ph_silence_started (PhContext *ctx, PhWorld *world, PhAttemptId id);

/* ph_silence_responded: the head of the response to an attempt that holds a slot has arrived. */
void ph_silence_responded (const PhContext *ctx, PhWorld *world, PhAttemptId id);

/* ph_silence_count_time: advance the VM clock. To be called before the reported slowdown changes.
 */
void ph_silence_count_time (const PhContext *ctx, PhWorld *world);

/* ph_silence_held_slots: slots that no attempt holds, but that the upstream may still use for
 * requests that were given up before it was certain that it does not run them. */
uint32_t ph_silence_held_slots (const PhWorld *world);

/* ph_silence_timer: judge all attempts without a response, and act on the verdicts. handle is not
 * used. */
void ph_silence_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

#endif
