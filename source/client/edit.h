#ifndef PH_CLIENT_EDIT_H
#define PH_CLIENT_EDIT_H

#include "client/store.h"

/*
 * Callback that computes the new value of an object.
 *
 * current is the object in the store, or NULL when there is none. On success
 * *changed is the new object, owned by the caller, or NULL when nothing needs to
 * be written. Returns false with err set when the change is not allowed.
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
 * object was written. *revision is the object's revision afterwards.
 */
bool ph_client_store_edit (PhClientStore *store,
                           const char *path,
                           PhEditFunc edit,
                           void *user,
                           uint64_t *revision,
                           PhError *err);

/* ph_edit_set_field: copy an object and set one field of the copy's spec. Takes over the reference
 * to value; *changed is owned by the caller. Returns false with err set when the object has no
 * spec. */
bool ph_edit_set_field (const char *path,
                        const json_t *current,
                        const char *field,
                        json_t *value,
                        json_t **changed,
                        PhError *err);

#endif
