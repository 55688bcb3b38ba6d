#ifndef PH_TIMER_H
#define PH_TIMER_H

#include "pollenhitch/base.h"

/*
 * Timers: one binary heap of (time, kind, handle).
 *
 * An entry is never taken out before its time. The row keeps its own due time;
 * when an entry comes up and the row is gone, or its due time has moved, the
 * handler ignores it or adds a new entry.
 */

typedef struct
{
  PhTime due_at;
  uint32_t kind;
  uint32_t handle;
} PhTimer;

typedef struct
{
  PhTimer *entries;
  uint32_t count;
  uint32_t capacity;
} PhTimerHeap;

void ph_timer_clear (PhTimerHeap *heap);

/* ph_timer_add: returns false when memory runs out. */
bool ph_timer_add (PhTimerHeap *heap, PhTime at, uint32_t kind, uint32_t handle);

/* ph_timer_next: time of the earliest entry, or PH_TIME_NEVER. */
PhTime ph_timer_next (const PhTimerHeap *heap);

/* ph_timer_pop: take the earliest entry if it is due at now. Returns false when none is. */
bool ph_timer_pop (PhTimerHeap *heap, PhTime now, PhTimer *timer);

#endif
