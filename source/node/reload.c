#include "node/reload.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "node/front.h"
#include "pollenhitch/log.h"

#define CHECK_INTERVAL_SECONDS 1.0
#define FILE_BYTES_MAX ((size_t)64 * 1024)
#define LINE_NAME_MAX 64

/* Settings that can change while the node runs; see PhNodeSettings. */
typedef struct
{
  const char *log_level;
  int64_t stop_limit_ms;
  int64_t stop_grace_ms;
  int64_t pipelined_requests;
  int64_t chain_precedence;
  int64_t run_gating;
  int64_t fleet_capacity;
  int64_t silence_detection;
  int64_t catch_up_syncs;
  int64_t cold_precedence;
} ReloadableSettings;

static const PhSetting settings_table[] = {
  { "log-level", PH_SETTING_TEXT, offsetof (ReloadableSettings, log_level), NULL, 4, 7, "" },
  { "stop-seconds", PH_SETTING_DURATION, offsetof (ReloadableSettings, stop_limit_ms), NULL, 1000,
    3600000, "" },
  { "stop-grace-ms", PH_SETTING_NUMBER, offsetof (ReloadableSettings, stop_grace_ms), NULL, 100,
    60000, "" },
  { "pipelined-requests", PH_SETTING_NUMBER, offsetof (ReloadableSettings, pipelined_requests),
    NULL, 1, 64, "" },
  { "chain-precedence", PH_SETTING_NUMBER, offsetof (ReloadableSettings, chain_precedence), NULL, 0,
    1, "" },
  { "run-gating", PH_SETTING_NUMBER, offsetof (ReloadableSettings, run_gating), NULL, 0, 1, "" },
  { "fleet-capacity", PH_SETTING_NUMBER, offsetof (ReloadableSettings, fleet_capacity), NULL, 0, 1,
    "" },
  { "silence-detection", PH_SETTING_NUMBER, offsetof (ReloadableSettings, silence_detection), NULL,
    0, 1, "" },
  { "catch-up-syncs", PH_SETTING_NUMBER, offsetof (ReloadableSettings, catch_up_syncs), NULL, 0, 1,
    "" },
  { "cold-precedence", PH_SETTING_NUMBER, offsetof (ReloadableSettings, cold_precedence), NULL, 0,
    1, "" },
};

/* Applies one line of the file. Comments, other lines without "=" and names that are not in
 * settings_table are ignored. */
static bool
read_line (char *line, ReloadableSettings *new_settings, PhError *err)
{
  char *equals = strchr (line, '=');

  if (line[0] == '#' || equals == NULL)
    return true;
  *equals = '\0';
  for (size_t i = 0; i < sizeof settings_table / sizeof *settings_table; i++)
    if (strcmp (line, settings_table[i].name) == 0)
      return ph_settings_set (&settings_table[i], equals + 1, new_settings, err);
  return true;
}

static bool
read_lines (char *text, ReloadableSettings *new_settings, PhError *err)
{
  char *rest = text;
  char *line;

  while ((line = strsep (&rest, "\n")) != NULL)
    if (!read_line (line, new_settings, err))
      return false;
  return ph_log_level_check (new_settings->log_level, err);
}

bool
ph_reload_read (PhNode *node, PhError *err)
{
  PhNodeSettings *settings = &node->settings;
  ReloadableSettings new_settings = { .log_level = settings->log_level,
                                      .stop_limit_ms = settings->stop_limit_ms,
                                      .stop_grace_ms = settings->stop_grace_ms,
                                      .pipelined_requests = settings->pipelined_requests,
                                      .chain_precedence = settings->chain_precedence,
                                      .run_gating = settings->run_gating,
                                      .fleet_capacity = settings->fleet_capacity,
                                      .silence_detection = settings->silence_detection,
                                      .catch_up_syncs = settings->catch_up_syncs,
                                      .cold_precedence = settings->cold_precedence };
  FILE *file = fopen (settings->settings_file, "r");
  char *text = NULL;
  size_t size;
  bool is_ok = false;

  if (file == NULL)
    {
      ph_error_set (err, PH_ERROR_IO, PH_STEP_SETTINGS, NULL, "%s: cannot be read",
                    settings->settings_file);
      goto done;
    }
  text = malloc (FILE_BYTES_MAX + 1);
  if (text == NULL)
    {
      ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_SETTINGS, NULL,
                    "out of memory for the settings file");
      goto done;
    }
  size = fread (text, 1, FILE_BYTES_MAX, file);
  text[size] = '\0';
  if (!read_lines (text, &new_settings, err))
    goto done;
  settings->log_level = new_settings.log_level;
  settings->stop_limit_ms = new_settings.stop_limit_ms;
  settings->stop_grace_ms = new_settings.stop_grace_ms;
  settings->pipelined_requests = new_settings.pipelined_requests;
  settings->chain_precedence = new_settings.chain_precedence;
  settings->run_gating = new_settings.run_gating;
  settings->fleet_capacity = new_settings.fleet_capacity;
  settings->silence_detection = new_settings.silence_detection;
  settings->catch_up_syncs = new_settings.catch_up_syncs;
  settings->cold_precedence = new_settings.cold_precedence;
  ph_node_apply_features (node);
  if (node->front != NULL)
    ph_front_settings_changed (node->front);
  ph_log_set_level (settings->log_level);
  node->ctx.logs_events = ph_log_is_debug_enabled ();
  is_ok = true;

done:
  free (text);
  if (file != NULL)
    fclose (file);
  return is_ok;
}

static void
reload_settings (PhNode *node)
{
  PhError err;

  ph_node_update_clock (node);
  if (ph_reload_read (node, &err))
    ph_log (&node->ctx, PH_LOG_INFO, PH_STEP_SETTINGS, NULL, "the settings file was read");
  else
    ph_log (&node->ctx, PH_LOG_WARNING, PH_STEP_SETTINGS, NULL, "settings stay as they were: %s",
            err.text);
}

/* Records the size and modification time of the file. Returns true when either has changed. */
static bool
update_file_state (PhNode *node)
{
  PhReload *state = &node->reload;
  struct stat status;
  int64_t modified_ns;

  if (stat (node->settings.settings_file, &status) != 0)
    return false;
  modified_ns = (int64_t)status.st_mtim.tv_sec * 1000000000 + status.st_mtim.tv_nsec;
  if (modified_ns == state->modified_ns && status.st_size == state->file_size)
    return false;
  state->modified_ns = modified_ns;
  state->file_size = status.st_size;
  return true;
}

static void
on_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  PhNode *node = watcher->data;

  (void)loop;
  (void)events;
  if (update_file_state (node))
    reload_settings (node);
}

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  PhNode *node = watcher->data;

  (void)loop;
  (void)events;
  if (node->settings.settings_file[0] == '\0')
    return;
  update_file_state (node);
  reload_settings (node);
}

void
ph_reload_start (PhNode *node)
{
  PhReload *state = &node->reload;

  ev_signal_init (&state->signal, on_signal, SIGHUP);
  state->signal.data = node;
  ev_signal_start (node->loop, &state->signal);
  if (node->settings.settings_file[0] == '\0')
    return;
  update_file_state (node);
  reload_settings (node);
  ev_timer_init (&state->check_timer, on_check, CHECK_INTERVAL_SECONDS, CHECK_INTERVAL_SECONDS);
  state->check_timer.data = node;
  ev_timer_start (node->loop, &state->check_timer);
}
