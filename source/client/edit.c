#include "client/edit.h"

#include <inttypes.h>
#include <stdio.h>

#define ATTEMPTS_MAX 10 /* cycles of read, change and conditional write */

/* Runs one cycle of read, change and conditional write. */
static bool
edit_once (PhClientStore *store,
           const char *path,
           PhEditFunc edit,
           void *user,
           uint64_t *revision,
           PhError *err)
{
  json_t *current;
  json_t *changed = NULL;
  bool is_ok;

  if (!ph_client_store_get (store, path, &current, revision, err)
      && err->code != PH_ERROR_NOT_FOUND)
    return false;
  is_ok = edit (user, path, current, &changed, err);
  json_decref (current);
  if (!is_ok)
    return false;
  if (changed == NULL)
    {
      printf ("%s unchanged at revision %" PRIu64 "\n", path, *revision);
      return true;
    }
  is_ok = ph_client_store_put (store, path, changed, *revision, revision, err);
  json_decref (changed);
  if (is_ok)
    printf ("%s written at revision %" PRIu64 "\n", path, *revision);
  return is_ok;
}

bool
ph_client_store_edit (PhClientStore *store,
                      const char *path,
                      PhEditFunc edit,
                      void *user,
                      uint64_t *revision,
                      PhError *err)
{
  for (int attempt = 1; attempt <= ATTEMPTS_MAX; attempt++)
    {
      if (attempt > 1)
        ph_client_store_back_off (store, 1);
      if (edit_once (store, path, edit, user, revision, err))
        return true;
      if (err->code != PH_ERROR_CONFLICT && err->code != PH_ERROR_STATE)
        return false;
    }
  return false;
}

bool
ph_edit_set_field (const char *path,
                   const json_t *current,
                   const char *field,
                   json_t *value,
                   json_t **changed,
                   PhError *err)
{
  *changed = json_deep_copy (current);
  if (json_object_set_new (json_object_get (*changed, "spec"), field, value) == 0)
    return true;
  json_decref (*changed);
  *changed = NULL;
  return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_CONFIG, NULL,
                       "%.120s: the object in the store has no spec", path);
}
