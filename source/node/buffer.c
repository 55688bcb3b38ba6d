#include "node/buffer.h"

#include <stdlib.h>
#include <string.h>

#define CAPACITY_MIN 4096u

void
ph_buffer_init (PhBuffer *buffer, size_t limit, PhBufferPool *pool)
{
  memset (buffer, 0, sizeof *buffer);
  buffer->limit = limit;
  buffer->pool = pool;
}

/* Bytes of the pool that a buffer of this capacity takes. */
static size_t
pooled_bytes (size_t capacity)
{
  return capacity > PH_BUFFER_UNPOOLED ? capacity : 0;
}

/* Capacity to which the buffer may grow now. */
static size_t
capacity_max (const PhBuffer *buffer)
{
  size_t capacity = buffer->limit;
  size_t left;

  if (buffer->pool == NULL)
    return capacity;
  left = buffer->pool->max - buffer->pool->used + pooled_bytes (buffer->capacity);
  while (capacity > buffer->capacity && pooled_bytes (capacity) > left)
    capacity /= 2;
  return capacity;
}

void
ph_buffer_clear (PhBuffer *buffer)
{
  free (buffer->bytes);
  buffer->bytes = NULL;
  if (buffer->pool != NULL)
    buffer->pool->used -= pooled_bytes (buffer->capacity);
  buffer->capacity = 0;
  buffer->begin = buffer->end;
}

size_t
ph_buffer_free_space (const PhBuffer *buffer)
{
  return capacity_max (buffer) - (size_t)(buffer->end - buffer->begin);
}

/* Enlarges the ring to hold at least needed bytes; needed is not above capacity_max. */
static bool
grow (PhBuffer *buffer, size_t needed)
{
  size_t capacity = buffer->capacity != 0 ? buffer->capacity : CAPACITY_MIN;
  char *bytes;

  while (capacity < needed)
    capacity *= 2;
  if (capacity > buffer->limit)
    capacity = buffer->limit;
  if (capacity <= buffer->capacity)
    return true;
  bytes = malloc (capacity);
  if (bytes == NULL)
    return false;
  for (uint64_t pos = buffer->begin; pos < buffer->end; pos++)
    bytes[pos & (capacity - 1)] = buffer->bytes[pos & (buffer->capacity - 1)];
  free (buffer->bytes);
  buffer->bytes = bytes;
  if (buffer->pool != NULL)
    buffer->pool->used += pooled_bytes (capacity) - pooled_bytes (buffer->capacity);
  buffer->capacity = capacity;
  return true;
}

size_t
ph_buffer_append (PhBuffer *buffer, const char *bytes, size_t size)
{
  size_t appended = 0;

  if (size > ph_buffer_free_space (buffer))
    size = ph_buffer_free_space (buffer);
  if (size == 0 || !grow (buffer, (size_t)(buffer->end - buffer->begin) + size))
    return 0;
  while (appended < size)
    {
      size_t pos = buffer->end & (buffer->capacity - 1);
      size_t chunk
          = buffer->capacity - pos < size - appended ? buffer->capacity - pos : size - appended;

      memcpy (buffer->bytes + pos, bytes + appended, chunk);
      buffer->end += chunk;
      appended += chunk;
    }
  return appended;
}

size_t
ph_buffer_copy (const PhBuffer *buffer, uint64_t offset, char *bytes, size_t size)
{
  size_t copied = 0;

  if (offset < buffer->begin || offset >= buffer->end)
    return 0;
  if (size > buffer->end - offset)
    size = (size_t)(buffer->end - offset);
  while (copied < size)
    {
      size_t pos = (offset + copied) & (buffer->capacity - 1);
      size_t chunk
          = buffer->capacity - pos < size - copied ? buffer->capacity - pos : size - copied;

      memcpy (bytes + copied, buffer->bytes + pos, chunk);
      copied += chunk;
    }
  return copied;
}

void
ph_buffer_trim (PhBuffer *buffer, uint64_t offset)
{
  if (offset > buffer->end)
    offset = buffer->end;
  if (offset > buffer->begin)
    buffer->begin = offset;
}
