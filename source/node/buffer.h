#ifndef PH_BUFFER_H
#define PH_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Memory that buffers share. A buffer of up to PH_BUFFER_UNPOOLED bytes takes none of it, so that
 * each body makes progress and a small one can be sent again, whatever the others hold.
 */
#define PH_BUFFER_UNPOOLED 8192u

typedef struct
{
  size_t max;  /* bytes that may be taken */
  size_t used; /* bytes that are taken */
} PhBufferPool;

/*
 * Bounded byte buffer of a body: a ring addressed by offsets in the body, so that
 * more than one reader can follow it. Memory is allocated on the first append and
 * grows up to the limit.
 */
typedef struct
{
  char *bytes;
  size_t capacity;    /* bytes allocated: a power of two, or 0 */
  size_t limit;       /* max bytes held: a power of two */
  PhBufferPool *pool; /* NULL for none */
  uint64_t begin;     /* body offset of the first byte held */
  uint64_t end;       /* body offset after the last byte held */
} PhBuffer;

/* ph_buffer_init: an empty buffer that holds up to limit bytes, or fewer while the pool has none
 * left; limit is a power of two. pool may be NULL; it outlives the buffer's memory. */
void ph_buffer_init (PhBuffer *buffer, size_t limit, PhBufferPool *pool);

/* ph_buffer_clear: free the memory; offsets continue after the last byte. */
void ph_buffer_clear (PhBuffer *buffer);

/* ph_buffer_free_space: number of bytes that can be appended. */
size_t ph_buffer_free_space (const PhBuffer *buffer);

/* ph_buffer_append: append as many bytes as fit. Returns how many, 0 when memory runs out. */
size_t ph_buffer_append (PhBuffer *buffer, const char *bytes, size_t size);

/* ph_buffer_copy: copy up to size bytes from a body offset; the buffer is not changed. Returns
 * how many, 0 when the offset is not held. */
size_t ph_buffer_copy (const PhBuffer *buffer, uint64_t offset, char *bytes, size_t size);

/* ph_buffer_trim: discard the bytes before a body offset. */
void ph_buffer_trim (PhBuffer *buffer, uint64_t offset);

#endif
