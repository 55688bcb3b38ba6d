#ifndef PH_DELETION_H
#define PH_DELETION_H

#include "pollenhitch/config.h"

/*
 * Deletions that the store lost.
 *
 * A store that comes back from a copy has the objects that were deleted since.
 * Such an object has the revision and the text that it had before its deletion.
 * An object that was written since has another revision: the store assigns only
 * revisions above those of the copy.
 */

/* ph_deletion_remember: take note of a revision of the row. text is NULL for a deletion. */
void ph_deletion_remember (PhObjectRow *row, uint64_t revision, const char *text, size_t size);

/* ph_deletion_is_lost: whether a received object of a later era is one that the row has as deleted,
 * at a revision that it had before. */
bool ph_deletion_is_lost (const PhObjectRow *row, uint64_t revision, const char *text, size_t size);

#endif
