#ifndef PH_TABLE_H
#define PH_TABLE_H

#include "pollenhitch/base.h"

/*
 * Tables of records of one type.
 *
 * A row is addressed by a 32-bit handle: 20 bits of index and 12 bits of
 * generation. Removing a row changes its generation, so the handle of a removed
 * row resolves to NULL. Handle 0 never refers to a row. Rows do not move in
 * memory, and the capacity is fixed at initialisation: adding a row allocates
 * nothing.
 *
 * When the init function of a table, queue or index fails, nothing is left
 * allocated: clearing is allowed, but not needed.
 */

#define PH_TABLE_CAPACITY_MAX (1u << 20) /* rows */

typedef struct
{
  char *rows;            /* owned, capacity * row_size bytes */
  uint16_t *generations; /* odd while the row is in use */
  uint32_t *free_rows;   /* stack of the indexes of free rows */
  uint32_t row_size;     /* bytes */
  uint32_t capacity;     /* rows */
  uint32_t free_count;   /* entries of free_rows */
  uint32_t count;        /* rows in use */
} PhTable;

/* ph_table_init: allocate capacity rows of row_size bytes. Returns false with err set when the
 * capacity is 0 or above PH_TABLE_CAPACITY_MAX, or memory runs out. */
bool ph_table_init (PhTable *table, uint32_t row_size, uint32_t capacity, PhError *err);

/* ph_table_clear: free the table's memory; every handle and row pointer becomes invalid. */
void ph_table_clear (PhTable *table);

/* ph_table_add: allocate a zeroed row and set *row to it. Returns its handle, or 0 with *row
 * unchanged when the table is full. */
uint32_t ph_table_add (PhTable *table, void **row);

/* ph_table_get: the row of a handle, or NULL when the handle is 0 or stale. */
void *ph_table_get (const PhTable *table, uint32_t handle);

/* ph_table_remove: free a row; a stale handle is ignored. */
void ph_table_remove (PhTable *table, uint32_t handle);

/* ph_table_next: handle of the next row in use, in index order. 0 gives the first row; returns 0
 * after the last one. The row of the given handle may have been removed since. */
uint32_t ph_table_next (const PhTable *table, uint32_t handle);

/* Defines the functions of a table of Record that take and return the typed handle Handle.
 * prefix_add and prefix_remove change the table only, not indexes, lists or memory of the row:
 * outside of the module that owns the table, use its own functions, such as ph_service_intern and
 * ph_upstream_drop. */
#define PH_DECLARE_TABLE(Record, Handle, prefix)                                                   \
  static inline Record *prefix##_get (const PhTable *table, Handle id)                             \
  {                                                                                                \
    return (Record *)ph_table_get (table, id.v);                                                   \
  }                                                                                                \
  static inline Handle prefix##_add (PhTable *table, Record **row)                                 \
  {                                                                                                \
    return (Handle){ ph_table_add (table, (void **)row) };                                         \
  }                                                                                                \
  static inline void prefix##_remove (PhTable *table, Handle id)                                   \
  {                                                                                                \
    ph_table_remove (table, id.v);                                                                 \
  }                                                                                                \
  static inline Handle prefix##_next (const PhTable *table, Handle id)                             \
  {                                                                                                \
    return (Handle){ ph_table_next (table, id.v) };                                                \
  }

/*
 * A first-in, first-out queue of handles, for the rows that a system has to
 * process. Each row holds a flag for whether it is queued, so that it is not
 * queued twice.
 */
typedef struct
{
  uint32_t *handles; /* ring, owned */
  uint32_t capacity; /* handles */
  uint32_t head;     /* position of the first handle */
  uint32_t count;    /* handles queued */
} PhQueue;

/* ph_queue_init: allocate a queue of capacity handles. Returns false with err set when memory runs
 * out. */
bool ph_queue_init (PhQueue *queue, uint32_t capacity, PhError *err);
void ph_queue_clear (PhQueue *queue);

/* ph_queue_push: append a handle. Returns false when the queue is full. */
bool ph_queue_push (PhQueue *queue, uint32_t handle);

/* ph_queue_pop: remove the first handle and return it, or 0 when the queue is empty. */
uint32_t ph_queue_pop (PhQueue *queue);

/* ph_hash: 64-bit hash (XXH3) of a string. */
uint64_t ph_hash (const char *text);

/* ph_hash_bytes: 64-bit hash (XXH3) of size bytes. */
uint64_t ph_hash_bytes (const char *bytes, size_t size);

/* ph_hash_mix: 64-bit hash of a pair of numbers; their order matters. */
uint64_t ph_hash_mix (uint64_t a, uint64_t b);

/*
 * A hash table from keys to handles: open addressing with linear probing. It
 * stores the hash of each key, and the caller compares the keys. The number of
 * entries must not exceed the capacity given to ph_index_init.
 */
typedef struct
{
  uint64_t hash;
  uint32_t handle; /* 0 while the entry is free */
} PhIndexEntry;

typedef struct
{
  PhIndexEntry *entries; /* owned, mask + 1 of them */
  uint32_t mask;         /* number of entries, a power of two, less 1 */
} PhIndex;

/* ph_index_init: allocate an index of capacity handles. Returns false with err set when memory runs
 * out. */
bool ph_index_init (PhIndex *index, uint32_t capacity, PhError *err);
void ph_index_clear (PhIndex *index);

/* ph_index_reserve: make room for capacity handles in all, keeping the entries. Returns false, with
 * the index unchanged, when memory runs out. */
bool ph_index_reserve (PhIndex *index, uint32_t capacity);

/* ph_index_add: add a handle, which must not be 0, under the hash of its key. */
void ph_index_add (PhIndex *index, uint64_t hash, uint32_t handle);

/* ph_index_remove: remove a handle; one that is not in the index is ignored. */
void ph_index_remove (PhIndex *index, uint64_t hash, uint32_t handle);

/* ph_index_find: the first handle under this hash for which match (user, handle, key) returns
 * true, or 0. */
uint32_t ph_index_find (const PhIndex *index,
                        uint64_t hash,
                        bool (*match) (const void *user, uint32_t handle, const char *key),
                        const void *user,
                        const char *key);

#endif
