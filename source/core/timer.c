#include "pollenhitch/timer.h"

#include <stdlib.h>
#include <string.h>

#define CAPACITY_INITIAL 256 /* entries */

void
ph_timer_clear (PhTimerHeap *heap)
{
  free (heap->entries);
  memset (heap, 0, sizeof *heap);
}

static bool
reserve_entry (PhTimerHeap *heap)
{
  uint32_t capacity = heap->capacity == 0 ? CAPACITY_INITIAL : heap->capacity * 2;
  PhTimer *entries;

  if (heap->count < heap->capacity)
    return true;
  entries = realloc (heap->entries, capacity * sizeof *entries);
  if (entries == NULL)
    return false;
  heap->entries = entries;
  heap->capacity = capacity;
  return true;
}

bool
ph_timer_add (PhTimerHeap *heap, PhTime at, uint32_t kind, uint32_t handle)
{
  uint32_t i;

  if (!reserve_entry (heap))
    return false;
  i = heap->count++;
  while (i > 0 && heap->entries[(i - 1) / 2].due_at > at)
    {
      heap->entries[i] = heap->entries[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  heap->entries[i] = (PhTimer){ at, kind, handle };
  return true;
}

PhTime
ph_timer_next (const PhTimerHeap *heap)
{
  return heap->count == 0 ? PH_TIME_NEVER : heap->entries[0].due_at;
}

bool
ph_timer_pop (PhTimerHeap *heap, PhTime now, PhTimer *timer)
{
  PhTimer last;
  uint32_t i = 0;

  if (heap->count == 0 || heap->entries[0].due_at > now)
    return false;
  *timer = heap->entries[0];
  last = heap->entries[--heap->count];
  while (i * 2 + 1 < heap->count)
    {
      uint32_t child = i * 2 + 1;

      if (child + 1 < heap->count && heap->entries[child + 1].due_at < heap->entries[child].due_at)
        child++;
      if (heap->entries[child].due_at >= last.due_at)
        break;
      heap->entries[i] = heap->entries[child];
      i = child;
    }
  if (heap->count > 0)
    heap->entries[i] = last;
  return true;
}
