#include "pollenhitch/table.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define INDEX_BITS 20
#define INDEX_MASK ((1u << INDEX_BITS) - 1)
#define GENERATION_MASK 0xfffu

static uint32_t
make_handle (const PhTable *table, uint32_t index)
{
  return ((table->generations[index] & GENERATION_MASK) << INDEX_BITS) | index;
}

bool
ph_table_init (PhTable *table, uint32_t row_size, uint32_t capacity, PhError *err)
{
  memset (table, 0, sizeof *table);
  if (capacity == 0 || capacity > PH_TABLE_CAPACITY_MAX)
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                         "table capacity is %u rows; allowed: 1 to %u", capacity,
                         PH_TABLE_CAPACITY_MAX);
  table->rows = calloc (capacity, row_size);
  table->generations = calloc (capacity, sizeof *table->generations);
  table->free_rows = calloc (capacity, sizeof *table->free_rows);
  if (table->rows == NULL || table->generations == NULL || table->free_rows == NULL)
    {
      ph_table_clear (table);
      return ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_SETTINGS, NULL,
                           "out of memory for a table of %u rows", capacity);
    }
  table->row_size = row_size;
  table->capacity = capacity;
  table->free_count = capacity;
  for (uint32_t i = 0; i < capacity; i++)
    table->free_rows[i] = capacity - 1 - i;
  return true;
}

void
ph_table_clear (PhTable *table)
{
  free (table->rows);
  free (table->generations);
  free (table->free_rows);
  memset (table, 0, sizeof *table);
}

uint32_t
ph_table_add (PhTable *table, void **row)
{
  uint32_t index;

  if (table->free_count == 0)
    return 0;
  index = table->free_rows[--table->free_count];
  table->generations[index]++;
  table->count++;
  *row = table->rows + (size_t)index * table->row_size;
  memset (*row, 0, table->row_size);
  return make_handle (table, index);
}

void *
ph_table_get (const PhTable *table, uint32_t handle)
{
  uint32_t index = handle & INDEX_MASK;

  /* A row in use has an odd generation, so handle 0 never matches. */
  if (handle == 0 || index >= table->capacity || (table->generations[index] & 1) == 0
      || make_handle (table, index) != handle)
    return NULL;
  return table->rows + (size_t)index * table->row_size;
}

void
ph_table_remove (PhTable *table, uint32_t handle)
{
  uint32_t index = handle & INDEX_MASK;

  if (ph_table_get (table, handle) == NULL)
    return;
  table->generations[index]++;
  table->free_rows[table->free_count++] = index;
  table->count--;
}

uint32_t
ph_table_next (const PhTable *table, uint32_t handle)
{
  uint32_t index = handle == 0 ? 0 : (handle & INDEX_MASK) + 1;

  for (; index < table->capacity; index++)
    if ((table->generations[index] & 1) != 0)
      return make_handle (table, index);
  return 0;
}

bool
ph_queue_init (PhQueue *queue, uint32_t capacity, PhError *err)
{
  memset (queue, 0, sizeof *queue);
  queue->handles = calloc (capacity, sizeof *queue->handles);
  if (queue->handles == NULL)
    return ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_SETTINGS, NULL,
                         "out of memory for a queue of %u handles", capacity);
  queue->capacity = capacity;
  return true;
}

void
ph_queue_clear (PhQueue *queue)
{
  free (queue->handles);
  memset (queue, 0, sizeof *queue);
}

bool
ph_queue_push (PhQueue *queue, uint32_t handle)
{
  if (queue->count == queue->capacity)
    return false;
  queue->handles[(queue->head + queue->count++) % queue->capacity] = handle;
  return true;
}

uint32_t
ph_queue_pop (PhQueue *queue)
{
  uint32_t handle;

  if (queue->count == 0)
    return 0;
  handle = queue->handles[queue->head];
  queue->head = (queue->head + 1) % queue->capacity;
  queue->count--;
  return handle;
}

uint64_t
ph_hash_bytes (const char *bytes, size_t size)
{
  return XXH3_64bits (bytes, size);
}

uint64_t
ph_hash (const char *text)
{
  return XXH3_64bits (text, strlen (text));
}

uint64_t
ph_hash_mix (uint64_t a, uint64_t b)
{
  const uint64_t pair[2] = { a, b };

  return XXH3_64bits (pair, sizeof pair);
}

/* Number of entries for a capacity. The index is at most half full, so that probe sequences stay
 * short. */
static uint32_t
index_entry_count (uint32_t capacity)
{
  uint32_t entry_count = 16;

  while (entry_count < capacity * 2)
    entry_count *= 2;
  return entry_count;
}

bool
ph_index_init (PhIndex *index, uint32_t capacity, PhError *err)
{
  uint32_t entry_count = index_entry_count (capacity);

  memset (index, 0, sizeof *index);
  index->entries = calloc (entry_count, sizeof *index->entries);
  if (index->entries == NULL)
    return ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_SETTINGS, NULL,
                         "out of memory for an index of %u handles", capacity);
  index->mask = entry_count - 1;
  return true;
}

void
ph_index_clear (PhIndex *index)
{
  free (index->entries);
  memset (index, 0, sizeof *index);
}

bool
ph_index_reserve (PhIndex *index, uint32_t capacity)
{
  PhIndex grown;

  if (index_entry_count (capacity) <= index->mask + 1)
    return true;
  if (!ph_index_init (&grown, capacity, NULL))
    return false;
  for (uint32_t i = 0; i <= index->mask; i++)
    if (index->entries[i].handle != 0)
      ph_index_add (&grown, index->entries[i].hash, index->entries[i].handle);
  ph_index_clear (index);
  *index = grown;
  return true;
}

void
ph_index_add (PhIndex *index, uint64_t hash, uint32_t handle)
{
  uint32_t slot = (uint32_t)hash & index->mask;

  while (index->entries[slot].handle != 0)
    slot = (slot + 1) & index->mask;
  index->entries[slot].hash = hash;
  index->entries[slot].handle = handle;
}

uint32_t
ph_index_find (const PhIndex *index,
               uint64_t hash,
               bool (*match) (const void *user, uint32_t handle, const char *key),
               const void *user,
               const char *key)
{
  uint32_t slot = (uint32_t)hash & index->mask;

  for (; index->entries[slot].handle != 0; slot = (slot + 1) & index->mask)
    if (index->entries[slot].hash == hash && match (user, index->entries[slot].handle, key))
      return index->entries[slot].handle;
  return 0;
}

void
ph_index_remove (PhIndex *index, uint64_t hash, uint32_t handle)
{
  uint32_t slot = (uint32_t)hash & index->mask;
  uint32_t hole;

  while (index->entries[slot].handle != handle)
    {
      if (index->entries[slot].handle == 0)
        return;
      slot = (slot + 1) & index->mask;
    }
  /* Shift later entries of the probe sequence back, so that no deletion marks are needed. */
  hole = slot;
  for (slot = (slot + 1) & index->mask; index->entries[slot].handle != 0;
       slot = (slot + 1) & index->mask)
    {
      uint32_t home = (uint32_t)index->entries[slot].hash & index->mask;

      if (((slot - home) & index->mask) >= ((slot - hole) & index->mask))
        {
          index->entries[hole] = index->entries[slot];
          hole = slot;
        }
    }
  memset (&index->entries[hole], 0, sizeof index->entries[hole]);
}
