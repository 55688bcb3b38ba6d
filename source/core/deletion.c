#include "pollenhitch/deletion.h"

#include <string.h>

#include "pollenhitch/revision.h"

/* Hash of a revision in any era and its text, not 0. */
static uint64_t
hash_revision (uint64_t revision, const char *text, size_t size)
{
  return ph_hash_mix (ph_revision_number (revision), ph_hash_bytes (text, size)) | 1;
}

static bool
is_remembered (const PhObjectRow *row, uint64_t hash)
{
  for (int i = 0; i < PH_OBJECT_REVISIONS_MAX; i++)
    if (row->revision_hashes[i] == hash)
      return true;
  return false;
}

void
ph_deletion_remember (PhObjectRow *row, uint64_t revision, const char *text, size_t size)
{
  uint64_t hash = text != NULL ? hash_revision (revision, text, size) : 0;

  if (text == NULL || is_remembered (row, hash))
    return;
  memmove (row->revision_hashes + 1, row->revision_hashes,
           sizeof row->revision_hashes - sizeof row->revision_hashes[0]);
  row->revision_hashes[0] = hash;
}

bool
ph_deletion_is_lost (const PhObjectRow *row, uint64_t revision, const char *text, size_t size)
{
  return text != NULL && row->is_deleted
         && ph_revision_era (revision) > ph_revision_era (row->revision)
         && is_remembered (row, hash_revision (revision, text, size));
}
