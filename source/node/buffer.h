#ifndef PH_BUFFER_H
#define PH_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Bounded byte buffer of a body: a ring addressed by offsets in the body, so
 * that more than one reader can follow it. Memory is taken when the first byte
 * comes and grows up to the limit.
 */
typedef struct
{
  char *bytes;
  size_t capacity; /* a power of two, or 0 */
  size_t limit;    /* a power of two */
  uint64_t begin;  /* offset of the first byte held */
  uint64_t end;    /* offset after the last byte held */
} PhBuffer;

void ph_buffer_init (PhBuffer *buffer, size_t limit);
void ph_buffer_clear (PhBuffer *buffer);

/* ph_buffer_free_space: bytes that can be appended. */
size_t ph_buffer_free_space (const PhBuffer *buffer);

/* ph_buffer_append: append at most the room. Returns how many bytes were taken. */
size_t ph_buffer_append (PhBuffer *buffer, const char *bytes, size_t size);

/* ph_buffer_copy: copy bytes from an offset that is held. Returns how many. */
size_t ph_buffer_copy (const PhBuffer *buffer, uint64_t offset, char *bytes, size_t size);

/* ph_buffer_trim: forget the bytes before an offset. */
void ph_buffer_trim (PhBuffer *buffer, uint64_t offset);

#endif
