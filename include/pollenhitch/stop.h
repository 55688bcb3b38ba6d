#ifndef PH_STOP_H
#define PH_STOP_H

#include "pollenhitch/base.h"

/*
 * Times of a planned stop.
 *
 * The process is killed at the end of the limit, which counts from the signal. Calls that are open
 * shortly before are refused, so that their callers get the refusals. How long before depends on
 * how late the process runs: a process with a tenth of a core, or one beside others that stop at
 * the same moment, sees the signal late and needs longer for the refusals.
 */
typedef struct
{
  PhTime began_at;    /* when the process saw the signal */
  PhTime limit;       /* from the signal to the kill */
  PhTime grace;       /* for which new calls of callers are taken */
  PhTime delay;       /* longest delay of the process that was measured */
  bool is_quiesced;   /* the ports were closed to new connections */
  PhTime quiesced_at; /* when */
} PhStop;

typedef enum
{
  PH_STOP_WAIT,
  PH_STOP_REFUSE,  /* refuse new calls of callers */
  PH_STOP_QUIESCE, /* the same, and close the ports to new connections */
  PH_STOP_EXIT,    /* no call is left */
  PH_STOP_TIME_OUT /* end with calls open */
} PhStopAction;

/* ph_stop_refuse_at: when the calls that are still open are refused. */
PhTime ph_stop_refuse_at (const PhStop *stop);

/* ph_stop_decide: what to do at this time. is_idle: no call is open. */
PhStopAction ph_stop_decide (const PhStop *stop, PhTime now, bool is_idle);

/* ph_stop_next_at: when to decide again. */
PhTime ph_stop_next_at (const PhStop *stop, PhTime now);

#endif
