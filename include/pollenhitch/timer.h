#ifndef PH_TIMER_H
#define PH_TIMER_H

#include "pollenhitch/base.h"

/*
 * Timers: one binary heap of entries (due time, kind, handle).
 *
 * An entry cannot be cancelled. The row that it refers to holds the due time
 * that counts: when an entry expires and the row has been removed or its due
 * time has changed, the handler ignores the entry or adds a new one.
 */

typedef struct
{
  PhTime due_at;
  uint32_t kind;   /* selects the handler, see PhTimerKind */
  uint32_t handle; /* row in the table that belongs to the kind, or another number that it uses */
} PhTimer;

/* Zero-initialised when empty; entries is owned and grows as needed. */
typedef struct
{
  PhTimer *entries;
  uint32_t count;
  uint32_t capacity;
} PhTimerHeap;

/* ph_timer_clear: free the heap's memory and leave it empty. */
void ph_timer_clear (PhTimerHeap *heap);

/* ph_timer_add: add an entry that is due at the given time. Returns false when memory runs out. */
bool ph_timer_add (PhTimerHeap *heap, PhTime at, uint32_t kind, uint32_t handle);

/* ph_timer_next: due time of the earliest entry, or PH_TIME_NEVER when there is none. */
PhTime ph_timer_next (const PhTimerHeap *heap);

/* ph_timer_pop: remove the earliest entry into *timer if it is due at now. Returns false when no
 * entry is due. */
bool ph_timer_pop (PhTimerHeap *heap, PhTime now, PhTimer *timer);

#endif
