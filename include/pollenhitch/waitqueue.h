#ifndef PH_WAITQUEUE_H
#define PH_WAITQUEUE_H

#include "pollenhitch/base.h"

/*
 * Bounded priority queue, sorted by key, time of arrival and handle.
 *
 * A treap (Seidel and Aragon 1996) over preallocated nodes with subtree sizes. Insertion,
 * removal, the first entry and the rank of an entry take O(log n) expected time, and no memory
 * is allocated. A zeroed queue is empty.
 */

#define PH_WAITQUEUE_MAX 256

typedef struct
{
  PhTime key;     /* smallest first */
  PhTime arrival; /* order among equal keys */
  uint32_t handle;
} PhWaitEntry;

typedef struct
{
  PhWaitEntry entry;
  uint32_t priority; /* random; a parent's is not below its children's */
  /* Indexes of nodes, 0 for none. In a free node, left is the next free node. */
  uint16_t left;
  uint16_t right;
  uint16_t size; /* number of nodes in the subtree */
} PhWaitNode;

typedef struct
{
  PhWaitNode nodes[PH_WAITQUEUE_MAX + 1]; /* node 0 is the empty tree */
  uint16_t root;
  uint16_t free_list;       /* head of the list of removed nodes, 0 for none */
  uint16_t allocated_count; /* nodes that were used at least once */
  uint32_t seed;            /* state of the generator of the priorities */
} PhWaitQueue;

/* ph_waitqueue_count: number of entries. */
uint32_t ph_waitqueue_count (const PhWaitQueue *queue);

/* ph_waitqueue_add: add an entry, which must not be in the queue. Returns false if the queue is
 * full. */
bool ph_waitqueue_add (PhWaitQueue *queue, const PhWaitEntry *entry);

/* ph_waitqueue_remove: remove an entry. Returns false if it is not in the queue. */
bool ph_waitqueue_remove (PhWaitQueue *queue, const PhWaitEntry *entry);

/* ph_waitqueue_first: get the first entry without removing it. Returns false if the queue is empty.
 */
bool ph_waitqueue_first (const PhWaitQueue *queue, PhWaitEntry *entry);

/* ph_waitqueue_rank: number of entries before this one, which need not be in the queue itself. */
uint32_t ph_waitqueue_rank (const PhWaitQueue *queue, const PhWaitEntry *entry);

#endif
