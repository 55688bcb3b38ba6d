#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "client/edit.h"
#include "client/output.h"
#include "client/wait.h"
#include "pollenhitch/command.h"
#include "pollenhitch/object.h"

typedef struct
{
  PhStoreSettings store;
  PhWaitSettings wait;
  const char *team;
  const char *service;
  const char *from;
  const char *to;
  const char *start;
  const char *deadline;
  const char *output;
} Settings;

#define TEAM_SETTING                                                                               \
  {                                                                                                \
    "team", PH_SETTING_TEXT, offsetof (Settings, team), NULL, 1, PH_TEAM_MAX - 1,                  \
        "team under whose path the move is"                                                        \
  }

static const PhSetting start_settings[] = {
  TEAM_SETTING,
  { "service", PH_SETTING_TEXT, offsetof (Settings, service), NULL, 1, PH_NAME_MAX - 1,
    "service of the team, by its name or as team/name" },
  { "from", PH_SETTING_TEXT, offsetof (Settings, from), NULL, 1, PH_VERSION_MAX - 1,
    "version that is left" },
  { "to", PH_SETTING_TEXT, offsetof (Settings, to), NULL, 1, PH_VERSION_MAX - 1,
    "version that is to take the traffic" },
  { "start", PH_SETTING_TEXT, offsetof (Settings, start), "", 0, PH_WALL_TIME_TEXT_SIZE - 1,
    "time at which it starts, as 2026-12-04T18:00:00Z; empty: now" },
  { "deadline", PH_SETTING_TEXT, offsetof (Settings, deadline), NULL, 1, PH_WALL_TIME_TEXT_SIZE - 1,
    "time by which it is done or taken back, as 2026-12-07T08:00:00Z" },
  PH_STORE_SETTINGS (Settings, store),
  PH_WAIT_SETTINGS (Settings, wait),
};

static const PhSetting status_settings[] = {
  TEAM_SETTING,
  PH_OUTPUT_SETTING (Settings, output, "table"),
  PH_STORE_SETTINGS (Settings, store),
};

static const PhSetting cancel_settings[] = {
  TEAM_SETTING,
  PH_STORE_SETTINGS (Settings, store),
  PH_WAIT_SETTINGS (Settings, wait),
};

#define SETTINGS_AND_COUNT(settings) settings, sizeof (settings) / sizeof *(settings)

/* Paths in the store that belong to one move. */
typedef struct
{
  char move[PH_PATH_MAX];         /* object that the operator writes */
  char final_status[PH_PATH_MAX]; /* object that a node writes once, when the move has ended */
} Paths;

/* Builds the paths of a move. Returns false with err set when the team or name is not allowed. */
static bool
make_paths (const char *team, const char *name, Paths *paths, PhError *err)
{
  PhObjectPath parts;

  snprintf (paths->move, sizeof paths->move, "/teams/%.40s/moves/%.80s", team, name);
  snprintf (paths->final_status, sizeof paths->final_status, "/status/moves/%.40s/%.80s", team,
            name);
  return ph_object_path_parse (paths->move, &parts, err);
}

/* Reads the final status of a move, which the caller releases; *final_status is NULL when there is
 * none yet. */
static bool
read_final_status (PhClientStore *store, const char *path, json_t **final_status, PhError *err)
{
  uint64_t revision;

  return ph_client_store_get (store, path, final_status, &revision, err)
         || err->code == PH_ERROR_NOT_FOUND;
}

/* A text field of the final status, or "" when it has none. */
static const char *
final_status_text (const json_t *final_status, const char *field)
{
  const char *text
      = json_string_value (json_object_get (json_object_get (final_status, "spec"), field));

  return text != NULL ? text : "";
}

/* Fails for a move whose final status is in the store: it has ended, and a change would have no
 * effect. hint is appended to the error. */
static bool
check_move_not_ended (PhClientStore *store, const Paths *paths, const char *hint, PhError *err)
{
  json_t *final_status;

  if (!read_final_status (store, paths->final_status, &final_status, err))
    return false;
  if (final_status == NULL)
    return true;
  ph_error_set (err, PH_ERROR_CONFLICT, PH_STEP_MOVE, NULL, "%.120s: the move has ended (%.32s)%s",
                paths->move, final_status_text (final_status, "outcome"), hint);
  json_decref (final_status);
  return false;
}

static int64_t
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Checks that a setting is a time in UTC after min_us, in microseconds of the wall clock. */
static bool
check_time (const char *setting, const char *text, int64_t min_us, PhError *err)
{
  int64_t wall_us;

  if (ph_wall_time_parse (text, &wall_us) && wall_us > min_us)
    return true;
  return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                       "--%s: \"%.60s\" is not allowed; allowed: a time in UTC%s, as "
                       "2026-12-07T08:00:00Z",
                       setting, text, min_us > 0 ? " that is not in the past" : "");
}

/* Builds the object of a move and checks it with the decoder that the nodes use. The caller
 * releases it. */
static json_t *
make_move (const Settings *settings, const char *path, PhError *err)
{
  char service[PH_NAME_MAX + PH_TEAM_MAX];
  char start[PH_WALL_TIME_TEXT_SIZE];
  int64_t now = now_us ();
  PhObject object = { 0 };
  json_t *move;
  char *text;
  bool is_ok;

  if (strchr (settings->service, '/') != NULL)
    snprintf (service, sizeof service, "%s", settings->service);
  else
    snprintf (service, sizeof service, "%s/%s", settings->team, settings->service);
  ph_wall_time_format (now, start);
  if ((settings->start[0] != '\0' && !check_time ("start", settings->start, 0, err))
      || !check_time ("deadline", settings->deadline, now, err))
    return NULL;
  move = json_pack (
      "{s:s, s:{s:s, s:s, s:s, s:s, s:s}}", "kind", ph_object_kind_name (PH_OBJECT_MOVE), "spec",
      "service", service, "from", settings->from, "to", settings->to, "start",
      settings->start[0] != '\0' ? settings->start : start, "deadline", settings->deadline);
  text = json_dumps (move, JSON_COMPACT);
  ph_text_copy (object.path, sizeof object.path, path);
  is_ok = text != NULL && ph_object_decode (NULL, text, strlen (text), &object, err);
  free (text);
  if (is_ok)
    return move;
  json_decref (move);
  return NULL;
}

static bool
start_move (
    PhClientStore *store, const Settings *settings, const Paths *paths, PhWait *wait, PhError *err)
{
  json_t *move = make_move (settings, paths->move, err);
  uint64_t revision;
  bool is_ok;

  if (move == NULL)
    return false;
  is_ok = ph_client_store_open (store, &settings->store, err)
          && check_move_not_ended (store, paths, "; choose another name", err)
          && ph_client_store_put (store, paths->move, move, 0, &revision, err);
  json_decref (move);
  if (!is_ok)
    return false;
  printf ("%s written at revision %" PRIu64 "\n", paths->move, revision);
  ph_wait_add (wait, paths->move, revision);
  return true;
}

/* A PhEditFunc that sets spec.cancelled. */
static bool
set_cancelled (void *user, const char *path, const json_t *current, json_t **changed, PhError *err)
{
  (void)user;
  if (current == NULL)
    return ph_error_set (err, PH_ERROR_NOT_FOUND, PH_STEP_MOVE, NULL,
                         "%.120s: no such object in the store", path);
  if (json_is_true (json_object_get (json_object_get (current, "spec"), "cancelled")))
    return true;
  return ph_edit_set_field (path, current, "cancelled", json_true (), changed, err);
}

static bool
cancel_move (
    PhClientStore *store, const Settings *settings, const Paths *paths, PhWait *wait, PhError *err)
{
  uint64_t revision;

  if (!ph_client_store_open (store, &settings->store, err)
      || !check_move_not_ended (store, paths, "", err)
      || !ph_client_store_edit (store, paths->move, set_cancelled, NULL, &revision, err))
    return false;
  ph_wait_add (wait, paths->move, revision);
  return true;
}

/* Writes a change of a move to the store and records it in wait. */
typedef bool (*ChangeFunc) (
    PhClientStore *store, const Settings *settings, const Paths *paths, PhWait *wait, PhError *err);

static int
run_change (int argc, char **argv, const Settings *settings, const char *command, ChangeFunc change)
{
  PhClientStore store = { 0 };
  PhWait wait = { 0 };
  PhError err = { 0 };
  const char *name = "";
  Paths paths;
  int status;

  if (ph_settings_argument (argc, argv, "NAME", &name, &err)
      && make_paths (settings->team, name, &paths, &err)
      && ph_wait_open (&wait, &settings->wait, &err)
      && change (&store, settings, &paths, &wait, &err))
    status = ph_wait_run (&wait, command);
  else
    status = ph_client_report_error (command, &err);
  ph_client_store_close (&store);
  ph_wait_close (&wait);
  return status;
}

static int
run_start (int argc, char **argv)
{
  static const char summary[] = "Starts the move of a service's traffic to another version. A "
                                "name is used for one move only.";
  Settings settings = { 0 };
  PhError err = { 0 };

  if (!ph_settings_parse (SETTINGS_AND_COUNT (start_settings), "pollenhitch move start", "NAME",
                          summary, &argc, &argv, &settings, &err))
    return ph_settings_print_error ("pollenhitch move start", &err);
  return run_change (argc, argv, &settings, "move start", start_move);
}

static int
run_cancel (int argc, char **argv)
{
  Settings settings = { 0 };
  PhError err = { 0 };

  if (!ph_settings_parse (SETTINGS_AND_COUNT (cancel_settings), "pollenhitch move cancel", "NAME",
                          "Takes a move back that has not ended.", &argc, &argv, &settings, &err))
    return ph_settings_print_error ("pollenhitch move cancel", &err);
  return run_change (argc, argv, &settings, "move cancel", cancel_move);
}

/* The state of a move as it is printed: the outcome once it has ended, else "invalid" if its times
 * cannot be read, "cancelling" if it is cancelled, else from its times. */
static const char *
move_state (const json_t *spec, const json_t *final_status, int64_t wall_us)
{
  const char *start = json_string_value (json_object_get (spec, "start"));
  const char *deadline = json_string_value (json_object_get (spec, "deadline"));
  int64_t start_us;
  int64_t deadline_us;

  if (final_status != NULL)
    return final_status_text (final_status, "outcome");
  if (start == NULL || deadline == NULL || !ph_wall_time_parse (start, &start_us)
      || !ph_wall_time_parse (deadline, &deadline_us))
    return "invalid";
  if (json_is_true (json_object_get (spec, "cancelled")))
    return "cancelling";
  if (wall_us < start_us)
    return "scheduled";
  return wall_us < deadline_us ? "running" : "overdue";
}

/* A move in the form that is printed as JSON, with its final status under "verdict" if there is
 * one. */
static json_t *
describe_move (const char *path, uint64_t revision, const json_t *move, json_t *final_status)
{
  json_t *spec = json_object_get (move, "spec");
  json_t *entry
      = json_pack ("{s:s, s:I, s:O?, s:s}", "path", path, "revision", (json_int_t)revision, "spec",
                   spec, "state", move_state (spec, final_status, now_us ()));

  if (final_status != NULL)
    json_object_set (entry, "verdict", json_object_get (final_status, "spec"));
  return entry;
}

/* Reads one move into an array, which the caller releases. Returns NULL with err set on failure. */
static json_t *
read_move (PhClientStore *store, const char *team, const char *name, PhError *err)
{
  Paths paths;
  json_t *move;
  json_t *final_status;
  json_t *list;
  uint64_t revision;

  if (!make_paths (team, name, &paths, err)
      || !ph_client_store_get (store, paths.move, &move, &revision, err))
    return NULL;
  if (!read_final_status (store, paths.final_status, &final_status, err))
    {
      json_decref (move);
      return NULL;
    }
  list = json_pack ("[o]", describe_move (paths.move, revision, move, final_status));
  json_decref (move);
  json_decref (final_status);
  return list;
}

/* Finds the final status at a path in a list from the store. Returns NULL when there is none. */
static json_t *
find_final_status (const json_t *final_statuses, const char *path)
{
  const json_t *entry;
  size_t i;

  json_array_foreach (final_statuses, i, entry)
    {
      const char *found = json_string_value (json_object_get (entry, "path"));

      if (found != NULL && strcmp (found, path) == 0)
        return json_object_get (entry, "object");
    }
  return NULL;
}

/* Reads all moves of a team into an array, which the caller releases. Returns NULL with err set on
 * failure. */
static json_t *
read_moves (PhClientStore *store, const char *team, PhError *err)
{
  Paths paths;
  json_t *moves;
  json_t *final_statuses;
  json_t *list;
  const json_t *entry;
  uint64_t revision;
  size_t i;

  /* The paths are built with the name "x", so that the team is checked, and cut before it to become
   * prefixes. */
  if (!make_paths (team, "x", &paths, err))
    return NULL;
  *strrchr (paths.move, 'x') = '\0';
  *strrchr (paths.final_status, 'x') = '\0';
  if (!ph_client_store_list (store, paths.move, &moves, &revision, err))
    return NULL;
  if (!ph_client_store_list (store, paths.final_status, &final_statuses, &revision, err))
    {
      json_decref (moves);
      return NULL;
    }
  list = json_array ();
  json_array_foreach (moves, i, entry)
    {
      const char *path = json_string_value (json_object_get (entry, "path"));
      Paths entry_paths;

      if (path == NULL || !make_paths (team, strrchr (path, '/') + 1, &entry_paths, NULL))
        continue;
      json_array_append_new (
          list,
          describe_move (path, (uint64_t)json_integer_value (json_object_get (entry, "revision")),
                         json_object_get (entry, "object"),
                         find_final_status (final_statuses, entry_paths.final_status)));
    }
  json_decref (moves);
  json_decref (final_statuses);
  return list;
}

static void
print_moves (const json_t *list)
{
  static const char *const titles[]
      = { "MOVE", "SERVICE", "FROM", "TO", "START", "DEADLINE", "STATE", "REASON" };
  static const char *const fields[] = { "service", "from", "to", "start", "deadline" };
  const json_t *entry;
  PhOutputTable table;
  size_t i;

  ph_output_table_init (&table, titles, sizeof titles / sizeof *titles);
  json_array_foreach (list, i, entry)
    {
      const json_t *spec = json_object_get (entry, "spec");
      const char *reason
          = json_string_value (json_object_get (json_object_get (entry, "verdict"), "reason"));

      ph_output_table_add (&table, "%s",
                           strrchr (json_string_value (json_object_get (entry, "path")), '/') + 1);
      for (size_t j = 0; j < sizeof fields / sizeof *fields; j++)
        {
          const char *text = json_string_value (json_object_get (spec, fields[j]));

          ph_output_table_add (&table, "%s", text != NULL ? text : "-");
        }
      ph_output_table_add (&table, "%s", json_string_value (json_object_get (entry, "state")));
      ph_output_table_add (&table, "%s", reason != NULL ? reason : "-");
    }
  ph_output_table_print (&table);
}

static int
run_status (int argc, char **argv)
{
  Settings settings = { 0 };
  PhOutputFormat format = PH_OUTPUT_TABLE;
  PhClientStore store = { 0 };
  PhError err = { 0 };
  const char *name = NULL;
  json_t *list = NULL;
  int status = 0;

  if (!ph_settings_parse (SETTINGS_AND_COUNT (status_settings), "pollenhitch move status", "[NAME]",
                          "Prints a move, or all moves of the team.", &argc, &argv, &settings, &err)
      || !ph_output_parse (settings.output, &format, &err))
    return ph_settings_print_error ("pollenhitch move status", &err);
  if ((argc < 2 || ph_settings_argument (argc, argv, "NAME", &name, &err))
      && ph_client_store_open (&store, &settings.store, &err))
    list = name != NULL ? read_move (&store, settings.team, name, &err)
                        : read_moves (&store, settings.team, &err);
  if (list == NULL)
    status = ph_client_report_error ("move status", &err);
  else if (format == PH_OUTPUT_JSON)
    ph_output_print_json (list);
  else
    print_moves (list);
  json_decref (list);
  ph_client_store_close (&store);
  return ph_output_finish ("move status", status);
}

int
ph_command_move (int argc, char **argv)
{
  static const PhCommand commands[] = {
    { "start", run_start, "start a move" },
    { "status", run_status, "print the state of moves" },
    { "cancel", run_cancel, "take a move back that has not ended" },
  };

  return ph_command_run ("pollenhitch move", commands, sizeof commands / sizeof *commands, argc,
                         argv);
}
