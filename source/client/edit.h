#ifndef PH_CLIENT_EDIT_H
#define PH_CLIENT_EDIT_H

#include "client/store.h"

/*
 * Callback that computes the new value of an object.
 *
 * current is the object in the store, or NULL when there is none. *changed is NULL
 * on entry. On success it is the new object, owned by the caller, or still NULL when
 * nothing needs to be written. Returns false with err set when the change is not
 * allowed; err must not be PH_ERROR_CONFLICT or PH_ERROR_STATE, which would run the
 * cycle of ph_client_store_edit again.
 */
typedef bool (*PhEditFunc) (
    void *user, const char *path, const json_t *current, json_t **changed, PhError *err);

/*
 * ph_client_store_edit: read an object, change it and write it back on condition that its
 * revision has not changed.
 *
 * On a conflict, or when a response was lost and another write followed, the whole
 * cycle runs again, at most 10 times in all: edit then starts from the other
 * writer's object and keeps its changes. Prints on standard output whether the
 * object was written. *revision is the object's revision afterwards, 0 when there
 * is none. Errors as for ph_client_store_get and ph_client_store_put, after the
 * 10th cycle those of the last write, and those of edit.
 */
bool ph_client_store_edit (PhClientStore *store,
                           const char *path,
                           PhEditFunc edit,
                           void *user,
                           uint64_t *revision,
                           PhError *err);

/* ph_edit_set_field: copy an object and set one field of the copy's spec. Takes over the reference
 * to value, also on failure. *changed is owned by the caller. Returns false with *changed NULL and
 * err set when the object has no spec. */
bool ph_edit_set_field (const char *path,
                        const json_t *current,
                        const char *field,
                        json_t *value,
                        json_t **changed,
                        PhError *err);

#endif
