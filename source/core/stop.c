#include "pollenhitch/stop.h"

/* Open calls are refused this long before the limit, and three times the delay of the process
 * sooner (the signal, the refusals and the end may each come as late), but not before three
 * quarters of the limit. */
#define REFUSAL_TIME (500 * PH_MS)
#define REFUSAL_DIVISOR 4

#define POLL_INTERVAL (100 * PH_MS)

/* While refusals are sent, a poll of 100 ms is a fifth of the time that is left. */
#define LAST_POLL_INTERVAL (20 * PH_MS)

/* Time between the refusal of the open calls and the limit. */
static PhTime
refusal_time (const PhStop *stop)
{
  PhTime time = REFUSAL_TIME + 3 * stop->delay;

  return time < stop->limit / REFUSAL_DIVISOR ? time : stop->limit / REFUSAL_DIVISOR;
}

PhTime
ph_stop_refuse_at (const PhStop *stop)
{
  return stop->began_at + stop->limit - refusal_time (stop);
}

/* When the process ends with calls open: half of the refusal time is left for the end itself and
 * for the delay of the signal. */
static PhTime
time_out_at (const PhStop *stop)
{
  return ph_stop_refuse_at (stop) + refusal_time (stop) / 2;
}

PhStopAction
ph_stop_decide (const PhStop *stop, PhTime now, bool is_idle)
{
  if (now >= time_out_at (stop))
    return is_idle ? PH_STOP_EXIT : PH_STOP_TIME_OUT;
  if (now < stop->began_at + stop->grace)
    return PH_STOP_WAIT;
  if (!is_idle)
    return PH_STOP_REFUSE;
  /* A connection that was accepted just before may still bring a request. */
  return stop->is_quiesced && now > stop->quiesced_at ? PH_STOP_EXIT : PH_STOP_QUIESCE;
}

PhTime
ph_stop_next_at (const PhStop *stop, PhTime now)
{
  bool is_last = now + POLL_INTERVAL > ph_stop_refuse_at (stop);

  return now + (is_last ? LAST_POLL_INTERVAL : POLL_INTERVAL);
}
