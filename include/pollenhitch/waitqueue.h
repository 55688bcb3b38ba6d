#ifndef PH_WAITQUEUE_H
#define PH_WAITQUEUE_H

#include "pollenhitch/base.h"

/*
 * Bounded queue in order of (key, arrival, handle).
 *
 * A treap (Seidel and Aragon 1996) over preallocated nodes with subtree sizes: insert, remove,
 * first and rank take O(log n) expected time, and nothing is allocated. A zeroed queue is empty.
 */

#define PH_WAITQUEUE_MAX 256

typedef struct
{
  PhTime key;     /* smallest first */
  PhTime arrival; /* equal keys leave in order of arrival */
  uint32_t handle;
} PhWaitEntry;

typedef struct
{
  PhWaitEntry entry;
  uint32_t priority;
  uint16_t left; /* index of a node, 0 for none; of an unused node, the next unused one */
  uint16_t right;
  uint16_t size;
} PhWaitNode;

typedef struct
{
  PhWaitNode nodes[PH_WAITQUEUE_MAX + 1]; /* node 0 is the empty tree */
  uint16_t root;
  uint16_t free_list;       /* head of the list of removed nodes */
  uint16_t allocated_count; /* nodes that were ever taken */
  uint32_t seed;            /* of the priorities */
} PhWaitQueue;

/* ph_waitqueue_count: number of entries. */
uint32_t ph_waitqueue_count (const PhWaitQueue *queue);

/* ph_waitqueue_add: returns false when the queue is full. An entry must not be added twice. */
bool ph_waitqueue_add (PhWaitQueue *queue, const PhWaitEntry *entry);

/* ph_waitqueue_remove: returns false when there is no such entry. */
bool ph_waitqueue_remove (PhWaitQueue *queue, const PhWaitEntry *entry);

/* ph_waitqueue_first: the entry that is due to leave next. Returns false when the queue is empty.
 */
bool ph_waitqueue_first (const PhWaitQueue *queue, PhWaitEntry *entry);

/* ph_waitqueue_rank: number of entries that leave before this one, which need not be in it. */
uint32_t ph_waitqueue_rank (const PhWaitQueue *queue, const PhWaitEntry *entry);

#endif
