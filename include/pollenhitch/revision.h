#ifndef PH_REVISION_H
#define PH_REVISION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Revisions of the store, ordered by (era, revision).
 *
 * A store that comes back from a copy begins a new era and assigns revisions
 * again that it had assigned before. Wherever this code holds a revision, the
 * era is in the high bits, so that comparing two of them compares both. In era
 * 0, that of a store that sends no era, a revision is the store's number
 * itself. The store's dialects see only numbers.
 */

#define PH_REVISION_NUMBER_BITS 48
#define PH_REVISION_NUMBER_MAX (((uint64_t)1 << PH_REVISION_NUMBER_BITS) - 1)
#define PH_REVISION_ERA_MAX 32767 /* revisions have to fit the signed integers of JSON */

static inline uint64_t
ph_revision_make (uint64_t era, uint64_t number)
{
  return era << PH_REVISION_NUMBER_BITS | number;
}

static inline uint64_t
ph_revision_era (uint64_t revision)
{
  return revision >> PH_REVISION_NUMBER_BITS;
}

static inline uint64_t
ph_revision_number (uint64_t revision)
{
  return revision & PH_REVISION_NUMBER_MAX;
}

#endif
