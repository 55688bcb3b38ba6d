#include <stdio.h>
#include <string.h>

#include "client/edit.h"
#include "client/wait.h"
#include "pollenhitch/command.h"
#include "pollenhitch/object.h"

typedef struct
{
  PhStoreSettings store;
  PhWaitSettings wait;
  const char *team;
} Settings;

static const PhSetting settings_table[] = {
  { "team", PH_SETTING_TEXT, offsetof (Settings, team), NULL, 1, PH_TEAM_MAX - 1,
    "team under whose path the object is" },
  PH_STORE_SETTINGS (Settings, store),
  PH_WAIT_SETTINGS (Settings, wait),
};

typedef struct
{
  const char *name;          /* name of the data centre */
  bool is_out_requested;     /* true for dc out, false for dc in */
  bool is_out_by_other_team; /* another team's object says that it is out of service */
} Change;

/* A PhEditFunc that sets spec.out to the requested value; user is the Change. */
static bool
set_out (void *user, const char *path, const json_t *current, json_t **changed, PhError *err)
{
  bool is_out = ((const Change *)user)->is_out_requested;
  const json_t *spec = json_object_get (current, "spec");

  if (json_is_true (json_object_get (spec, "out")) == is_out)
    return true;
  if (current != NULL)
    return ph_edit_set_field (path, current, "out", json_boolean (is_out), changed, err);
  *changed = json_pack ("{s:s, s:{s:b}}", "kind", ph_object_kind_name (PH_OBJECT_DATA_CENTRE),
                        "spec", "out", is_out);
  return true;
}

/* A data centre is out of service while at least one team's object says so. Prints on stderr the
 * objects of other teams that say so, and sets is_out_by_other_team if there is one. */
static bool
report_other_teams (PhClientStore *store, Change *change, PhError *err)
{
  PhObjectPath parts;
  const json_t *entry;
  json_t *objects;
  uint64_t revision;
  size_t i;

  if (!ph_client_store_list (store, "/teams/", &objects, &revision, err))
    return false;
  json_array_foreach (objects, i, entry)
    {
      const char *path = json_string_value (json_object_get (entry, "path"));
      const json_t *spec = json_object_get (json_object_get (entry, "object"), "spec");

      if (path != NULL && ph_object_path_parse (path, &parts, NULL)
          && parts.kind == PH_OBJECT_DATA_CENTRE && strcmp (parts.name, change->name) == 0
          && json_is_true (json_object_get (spec, "out")))
        {
          fprintf (stderr, "%s is still out: out is true in %s\n", change->name, path);
          change->is_out_by_other_team = true;
        }
    }
  json_decref (objects);
  return true;
}

/* A PhEffectFunc; user is the Change. A status page without the field data_centres counts as in
 * force, because it does not show the state; a data centre that the page does not list is in
 * service. */
static bool
has_effect (void *user, const json_t *page)
{
  const Change *change = user;
  bool is_expected_out = change->is_out_requested || change->is_out_by_other_team;
  const json_t *list = json_object_get (page, "data_centres");
  const json_t *entry;
  size_t i;

  json_array_foreach (list, i, entry)
    {
      const char *name = json_string_value (json_object_get (entry, "name"));
      const char *state = json_string_value (json_object_get (entry, "state"));

      if (name != NULL && state != NULL && strcmp (name, change->name) == 0)
        return (strcmp (state, "out") == 0) == is_expected_out;
    }
  return list == NULL || !is_expected_out;
}

static int
run_change (const char *command, const Settings *settings, Change *change)
{
  char path[PH_PATH_MAX];
  PhObjectPath parts;
  PhClientStore store = { 0 };
  PhWait wait = { 0 };
  PhError err = { 0 };
  uint64_t revision;
  int status;

  snprintf (path, sizeof path, "/teams/%.40s/data-centres/%.80s", settings->team, change->name);
  if (ph_object_path_parse (path, &parts, &err) && ph_wait_open (&wait, &settings->wait, &err)
      && ph_client_store_open (&store, &settings->store, &err)
      && ph_client_store_edit (&store, path, set_out, change, &revision, &err)
      && (change->is_out_requested || report_other_teams (&store, change, &err)))
    {
      wait.has_effect = has_effect;
      wait.user = change;
      ph_wait_add (&wait, path, revision);
      status = ph_wait_run (&wait, command);
    }
  else
    status = ph_client_report_error (command, &err);
  ph_client_store_close (&store);
  ph_wait_close (&wait);
  return status;
}

static int
run_command (int argc, char **argv, const char *command, const char *summary, bool is_out)
{
  Settings settings = { 0 };
  PhError err = { 0 };
  char prefixed[32];
  Change change = { .is_out_requested = is_out };

  snprintf (prefixed, sizeof prefixed, "pollenhitch %s", command);
  if (!ph_settings_parse (settings_table, sizeof settings_table / sizeof *settings_table, prefixed,
                          "NAME", summary, &argc, &argv, &settings, &err))
    return ph_settings_print_error (prefixed, &err);
  if (!ph_settings_argument (argc, argv, "NAME", &change.name, &err))
    return ph_settings_print_error (prefixed, &err);
  return run_change (command, &settings, &change);
}

static int
run_out (int argc, char **argv)
{
  return run_command (argc, argv, "dc out", "Takes a data centre out of service.", true);
}

static int
run_in (int argc, char **argv)
{
  return run_command (argc, argv, "dc in", "Takes a data centre back into service.", false);
}

int
ph_command_dc (int argc, char **argv)
{
  static const PhCommand commands[] = {
    { "out", run_out, "take a data centre out of service" },
    { "in", run_in, "take a data centre back into service" },
  };

  return ph_command_run ("pollenhitch dc", commands, sizeof commands / sizeof *commands, argc,
                         argv);
}
