#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client/input.h"
#include "client/output.h"
#include "client/store.h"
#include "pollenhitch/command.h"

#define FIELD_MAX 256

typedef struct
{
  PhStoreSettings store;
} Settings;

static const PhSetting settings_table[] = {
  PH_STORE_SETTINGS (Settings, store),
};

/* One field that differs; NULL for one that is not there. */
typedef void (*DifferenceFunc) (void *user,
                                const char *field,
                                const json_t *before,
                                const json_t *after);

/* Calls found for each field that differs, objects entered. Returns whether any does. */
static bool
compare (
    const char *field, const json_t *before, const json_t *after, DifferenceFunc found, void *user)
{
  bool is_different = false;
  char below[FIELD_MAX];
  const char *dot = field[0] != '\0' ? "." : "";
  const char *name;
  json_t *value;

  if (!json_is_object (before) || !json_is_object (after))
    {
      is_different = before == NULL || after == NULL || !json_equal (before, after);
      if (is_different)
        found (user, field, before, after);
      return is_different;
    }
  json_object_foreach ((json_t *)before, name, value)
    {
      snprintf (below, sizeof below, "%.120s%s%.100s", field, dot, name);
      is_different
          = compare (below, value, json_object_get (after, name), found, user) || is_different;
    }
  json_object_foreach ((json_t *)after, name, value)
    if (json_object_get (before, name) == NULL)
      {
        snprintf (below, sizeof below, "%.120s%s%.100s", field, dot, name);
        found (user, below, NULL, value);
        is_different = true;
      }
  return is_different;
}

static char *
show (const json_t *value)
{
  char *text = NULL;

  if (value != NULL)
    text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT | JSON_ENSURE_ASCII);
  return text != NULL ? text : strdup ("(not set)");
}

static void
print_difference (void *user, const char *field, const json_t *before, const json_t *after)
{
  char *old_text = show (before);
  char *new_text = show (after);

  printf ("%s: %s: %s -> %s\n", (const char *)user, field, old_text, new_text);
  free (old_text);
  free (new_text);
}

static bool
compare_item (PhClientStore *store, const PhInputItem *item, bool *is_different, PhError *err)
{
  json_t *current;
  uint64_t revision;

  if (!ph_client_store_get (store, item->path, &current, &revision, err))
    {
      if (err->code != PH_ERROR_NOT_FOUND)
        return false;
      printf ("%s: not in the store\n", item->path);
      current = json_object ();
    }
  *is_different
      = compare ("", current, item->object, print_difference, (void *)item->path) || *is_different;
  json_decref (current);
  return true;
}

int
ph_command_diff (int argc, char **argv)
{
  static const char summary[]
      = "Prints what apply would change, a line for each field. Exit status: 0 nothing, 1 "
        "something, 2 and above for errors.";
  Settings settings = { 0 };
  PhClientStore store = { 0 };
  PhInput input = { 0 };
  PhError err = { 0 };
  bool is_different = false;
  bool is_ok;
  int status;

  if (!ph_settings_parse (settings_table, sizeof settings_table / sizeof *settings_table,
                          "pollenhitch diff", "FILE...", summary, &argc, &argv, &settings, &err))
    return ph_settings_print_error ("pollenhitch diff", &err);
  is_ok = ph_input_read (&input, argv + 1, &err)
          && ph_client_store_open (&store, &settings.store, &err);
  for (size_t i = 0; i < input.count && is_ok; i++)
    is_ok = compare_item (&store, &input.items[i], &is_different, &err);
  status = is_ok ? ph_output_finish ("diff", 0) : ph_client_fail ("diff", &err);
  if (status == PH_EXIT_FAILED)
    status = PH_EXIT_USAGE; /* 1 says that something differs */
  else if (status == 0)
    status = is_different;
  ph_client_store_close (&store);
  ph_input_clear (&input);
  return status;
}
