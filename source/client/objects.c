#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "client/input.h"
#include "client/output.h"
#include "client/store.h"
#include "client/wait.h"
#include "pollenhitch/command.h"

#define IF_REVISION_UNSET (-1)

typedef struct
{
  PhStoreSettings store;
  PhWaitSettings wait;
  const char *output;
  int64_t if_revision;
  bool is_check;
} Settings;

#define IF_REVISION_SETTING                                                                        \
  {                                                                                                \
    "if-revision", PH_SETTING_NUMBER, offsetof (Settings, if_revision), "", 0, INT64_MAX,          \
        "write only if the object is at this revision; 0: only if there is none"                   \
  }

static const PhSetting apply_settings[] = {
  PH_STORE_SETTINGS (Settings, store),
  PH_WAIT_SETTINGS (Settings, wait),
  IF_REVISION_SETTING,
  { "check", PH_SETTING_SWITCH, offsetof (Settings, is_check), NULL, 0, 0,
    "check the files only; the store is not used" },
};

static const PhSetting get_settings[] = {
  PH_STORE_SETTINGS (Settings, store),
  PH_OUTPUT_SETTING (Settings, output, "json"),
};

static const PhSetting delete_settings[] = {
  PH_STORE_SETTINGS (Settings, store),
  PH_WAIT_SETTINGS (Settings, wait),
  IF_REVISION_SETTING,
};

#define SETTINGS_AND_COUNT(settings) settings, sizeof (settings) / sizeof *(settings)

/* Writes one object unless the store has an equal one, and prints the result. */
static bool
apply_item (PhClientStore *store, const PhInputItem *item, PhWait *wait, PhError *err)
{
  json_t *current;
  uint64_t revision;
  bool is_equal;

  if (!ph_client_store_get (store, item->path, &current, &revision, err)
      && err->code != PH_ERROR_NOT_FOUND)
    return false;
  is_equal = current != NULL && json_equal (current, item->object);
  json_decref (current);
  /* An equal object at another revision is a conflict too: another operator wrote it, and the
   * caller must not mistake that write for its own. */
  if (item->has_revision && item->revision != revision)
    return ph_client_store_set_conflict_error (item->path, item->revision, revision, err);
  if (is_equal)
    {
      ph_wait_add (wait, item->path, revision);
      printf ("%s unchanged at revision %" PRIu64 "\n", item->path, revision);
      return true;
    }
  if (!ph_client_store_put (store, item->path, item->object, revision, &revision, err))
    return false;
  ph_wait_add (wait, item->path, revision);
  printf ("%s written at revision %" PRIu64 "\n", item->path, revision);
  return true;
}

/* Makes the write conditional on the revision of --if-revision, which takes precedence over the one
 * in the file. */
static bool
set_expected_revision (PhInput *input, int64_t revision, PhError *err)
{
  if (revision == IF_REVISION_UNSET)
    return true;
  if (input->count != 1)
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                         "--if-revision: \"%" PRId64 "\" is not allowed with %zu objects; "
                         "allowed: one object",
                         revision, input->count);
  input->items[0].revision = (uint64_t)revision;
  input->items[0].has_revision = true;
  return true;
}

/* Writes all objects in order, or only lists them for --check. */
static bool
apply_input (
    const Settings *settings, PhClientStore *store, PhInput *input, PhWait *wait, PhError *err)
{
  if (!set_expected_revision (input, settings->if_revision, err))
    return false;
  if (settings->is_check)
    {
      for (size_t i = 0; i < input->count; i++)
        printf ("%s is valid\n", input->items[i].path);
      return true;
    }
  if (!ph_wait_open (wait, &settings->wait, err)
      || !ph_client_store_open (store, &settings->store, err))
    return false;
  for (size_t i = 0; i < input->count; i++)
    if (!apply_item (store, &input->items[i], wait, err))
      return false;
  return true;
}

int
ph_command_apply (int argc, char **argv)
{
  static const char summary[] = "Writes the objects of the files, each {\"path\", \"kind\", "
                                "\"spec\"} or an array of them; - is the standard input.";
  Settings settings = { .if_revision = IF_REVISION_UNSET };
  PhClientStore store = { 0 };
  PhInput input = { 0 };
  PhWait wait = { 0 };
  PhError err = { 0 };
  int status;

  if (!ph_settings_parse (SETTINGS_AND_COUNT (apply_settings), "pollenhitch apply", "FILE...",
                          summary, &argc, &argv, &settings, &err))
    return ph_settings_print_error ("pollenhitch apply", &err);
  /* All files are read and checked before the first object is written. */
  if (ph_input_read (&input, argv + 1, &err)
      && apply_input (&settings, &store, &input, &wait, &err))
    status = ph_wait_run (&wait, "apply");
  else
    status = ph_client_report_error ("apply", &err);
  ph_client_store_close (&store);
  ph_wait_close (&wait);
  ph_input_clear (&input);
  return status;
}

/* Reads the argument PATH and checks its syntax. */
static bool
read_path (int argc, char **argv, const char **path, PhError *err)
{
  return ph_settings_argument (argc, argv, "PATH", path, err)
         && ph_client_store_path_check (*path, err);
}

/* An object in the form that apply reads: {"path", "revision", "kind", "spec"}. */
static json_t *
make_item (const char *path, uint64_t revision, json_t *object)
{
  json_t *item = json_pack ("{s:s, s:I}", "path", path, "revision", (json_int_t)revision);

  json_object_update (item, object);
  return item;
}

/* Reads the object at a path, or all objects under a path that ends in /, into an array. The caller
 * releases it. */
static json_t *
read_items (PhClientStore *store, const char *path, PhError *err)
{
  json_t *items;
  json_t *objects;
  json_t *entry;
  uint64_t revision;
  size_t i;

  if (path[strlen (path) - 1] != '/')
    {
      if (!ph_client_store_get (store, path, &objects, &revision, err))
        return NULL;
      items = json_pack ("[o]", make_item (path, revision, objects));
      json_decref (objects);
      return items;
    }
  if (!ph_client_store_list (store, path, &objects, &revision, err))
    return NULL;
  items = json_array ();
  json_array_foreach (objects, i, entry)
    {
      const char *name = json_string_value (json_object_get (entry, "path"));

      json_array_append_new (
          items, make_item (name != NULL ? name : "",
                            (uint64_t)json_integer_value (json_object_get (entry, "revision")),
                            json_object_get (entry, "object")));
    }
  json_decref (objects);
  return items;
}

/* Prints objects as a table. */
static void
print_table (const json_t *items)
{
  static const char *const titles[] = { "PATH", "REVISION", "KIND", "SPEC" };
  PhOutputTable table;
  const json_t *item;
  size_t i;

  ph_output_table_init (&table, titles, 4);
  json_array_foreach (items, i, item)
    {
      char *spec = json_dumps (json_object_get (item, "spec"), JSON_ENCODE_ANY);
      const char *kind = json_string_value (json_object_get (item, "kind"));

      ph_output_table_add (&table, "%s", json_string_value (json_object_get (item, "path")));
      ph_output_table_add (&table, "%" JSON_INTEGER_FORMAT,
                           json_integer_value (json_object_get (item, "revision")));
      ph_output_table_add (&table, "%s", kind != NULL ? kind : "-");
      ph_output_table_add (&table, "%s", spec != NULL ? spec : "-");
      free (spec);
    }
  ph_output_table_print (&table);
}

static bool
print_path (PhClientStore *store, const char *path, PhOutputFormat format, PhError *err)
{
  json_t *items = read_items (store, path, err);

  if (items == NULL)
    return false;
  if (format == PH_OUTPUT_TABLE)
    print_table (items);
  else
    ph_output_print_json (path[strlen (path) - 1] == '/' ? items : json_array_get (items, 0));
  json_decref (items);
  return true;
}

int
ph_command_get (int argc, char **argv)
{
  static const char summary[] = "Prints the object at PATH; a PATH that ends in / lists the "
                                "objects under it.";
  Settings settings = { 0 };
  PhClientStore store = { 0 };
  PhError err = { 0 };
  PhOutputFormat format = PH_OUTPUT_JSON;
  const char *path = "/";
  int status = 0;

  if (!ph_settings_parse (SETTINGS_AND_COUNT (get_settings), "pollenhitch get", "PATH", summary,
                          &argc, &argv, &settings, &err)
      || !ph_output_parse (settings.output, &format, &err))
    return ph_settings_print_error ("pollenhitch get", &err);
  if (!read_path (argc, argv, &path, &err) || !ph_client_store_open (&store, &settings.store, &err)
      || !print_path (&store, path, format, &err))
    status = ph_client_report_error ("get", &err);
  ph_client_store_close (&store);
  return ph_output_finish ("get", status);
}

/* Deletes an object; expected is the revision of --if-revision or IF_REVISION_UNSET. */
static bool
delete_object (PhClientStore *store, const char *path, int64_t expected, PhWait *wait, PhError *err)
{
  json_t *object;
  uint64_t revision;

  if (!ph_client_store_get (store, path, &object, &revision, err))
    return false;
  json_decref (object);
  if (expected != IF_REVISION_UNSET && (uint64_t)expected != revision)
    return ph_client_store_set_conflict_error (path, (uint64_t)expected, revision, err);
  if (!ph_client_store_put (store, path, NULL, revision, &revision, err))
    return false;
  ph_wait_add (wait, path, revision);
  printf ("%s deleted at revision %" PRIu64 "\n", path, revision);
  return true;
}

int
ph_command_delete (int argc, char **argv)
{
  static const char summary[] = "Deletes the object at PATH.";
  Settings settings = { .if_revision = IF_REVISION_UNSET };
  PhClientStore store = { 0 };
  PhWait wait = { 0 };
  PhError err = { 0 };
  const char *path = "/";
  int status;

  if (!ph_settings_parse (SETTINGS_AND_COUNT (delete_settings), "pollenhitch delete", "PATH",
                          summary, &argc, &argv, &settings, &err))
    return ph_settings_print_error ("pollenhitch delete", &err);
  if (read_path (argc, argv, &path, &err) && ph_wait_open (&wait, &settings.wait, &err)
      && ph_client_store_open (&store, &settings.store, &err)
      && delete_object (&store, path, settings.if_revision, &wait, &err))
    status = ph_wait_run (&wait, "delete");
  else
    status = ph_client_report_error ("delete", &err);
  ph_client_store_close (&store);
  ph_wait_close (&wait);
  return status;
}
