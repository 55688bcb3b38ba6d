#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client/input.h"
#include "client/output.h"
#include "client/store.h"
#include "pollenhitch/command.h"

#define FIELD_MAX 256 /* bytes of a field's name with the names of its parents */

typedef struct
{
  PhStoreSettings store;
} Settings;

static const PhSetting settings_table[] = {
  PH_STORE_SETTINGS (Settings, store),
};

/* Callback that receives one field that differs; a value is NULL when its side does not have the
 * field. */
typedef void (*DifferenceFunc) (void *user,
                                const char *field,
                                const json_t *before,
                                const json_t *after);

/* Compares two values, field by field when both are objects, and calls report_difference for each
 * field that differs. Returns whether any does. */
static bool
compare_values (const char *field,
                const json_t *before,
                const json_t *after,
                DifferenceFunc report_difference,
                void *user)
{
  bool is_different = false;
  char child[FIELD_MAX];
  const char *separator = field[0] != '\0' ? "." : "";
  const char *name;
  json_t *value;

  if (!json_is_object (before) || !json_is_object (after))
    {
      is_different = before == NULL || after == NULL || !json_equal (before, after);
      if (is_different)
        report_difference (user, field, before, after);
      return is_different;
    }
  json_object_foreach ((json_t *)before, name, value)
    {
      snprintf (child, sizeof child, "%.120s%s%.100s", field, separator, name);
      is_different
          = compare_values (child, value, json_object_get (after, name), report_difference, user)
            || is_different;
    }
  json_object_foreach ((json_t *)after, name, value)
    if (json_object_get (before, name) == NULL)
      {
        snprintf (child, sizeof child, "%.120s%s%.100s", field, separator, name);
        report_difference (user, child, NULL, value);
        is_different = true;
      }
  return is_different;
}

/* A value as JSON text, to be released with free. */
static char *
format_value (const json_t *value)
{
  char *text = NULL;

  if (value != NULL)
    text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT | JSON_ENSURE_ASCII);
  return text != NULL ? text : strdup ("(not set)");
}

/* A DifferenceFunc; user is the path of the object. */
static void
print_difference (void *user, const char *field, const json_t *before, const json_t *after)
{
  char *old_text = format_value (before);
  char *new_text = format_value (after);

  printf ("%s: %s: %s -> %s\n", (const char *)user, field, old_text, new_text);
  free (old_text);
  free (new_text);
}

/* Compares one object with the store's and prints the differences. Sets *is_different when there
 * are any. */
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
  *is_different = compare_values ("", current, item->object, print_difference, (void *)item->path)
                  || *is_different;
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
  status = is_ok ? ph_output_finish ("diff", 0) : ph_client_report_error ("diff", &err);
  if (status == PH_EXIT_FAILED)
    status = PH_EXIT_USAGE; /* exit status 1 means that something differs */
  else if (status == 0)
    status = is_different;
  ph_client_store_close (&store);
  ph_input_clear (&input);
  return status;
}
