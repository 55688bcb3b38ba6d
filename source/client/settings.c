#include "pollenhitch/settings.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pollenhitch/fields.h"

#define ENV_NAME_MAX 96 /* bytes of the name of an environment variable */

/* Builds the name of a setting's environment variable: POLLENHITCH_PORT_CALL for "port-call". */
static void
make_env_name (const char *name, char *env)
{
  size_t length = (size_t)snprintf (env, ENV_NAME_MAX, "POLLENHITCH_");

  for (; *name != '\0' && length < ENV_NAME_MAX - 1; name++)
    env[length++] = *name == '-' ? '_' : g_ascii_toupper (*name);
  env[length] = '\0';
}

/* Origin of a value, printed as "--port-call" or "--port-call (from POLLENHITCH_PORT_CALL)". */
typedef struct
{
  const PhSetting *setting;
  const char *env; /* environment variable, NULL when the value is from the flag or the default */
} ValueSource;

/* Formats the range of values that a setting allows. */
static void
format_allowed (const PhSetting *setting, char *text, size_t size)
{
  if (setting->kind == PH_SETTING_TEXT)
    snprintf (text, size, "a text of %" PRId64 " to %" PRId64 " bytes", setting->min, setting->max);
  else if (setting->kind == PH_SETTING_DURATION)
    snprintf (text, size, "a duration from %" PRId64 "ms to %" PRId64 "ms", setting->min,
              setting->max);
  else if (setting->max == INT64_MAX)
    snprintf (text, size, "a number of %" PRId64 " or more", setting->min);
  else
    snprintf (text, size, "a number from %" PRId64 " to %" PRId64, setting->min, setting->max);
}

/* Copies text, truncated to size, with "?" for each character that is not printable ASCII, so that
 * an error message stays on one line. */
static void
copy_printable (const char *text, char *copy, size_t size)
{
  size_t i;

  for (i = 0; i + 1 < size && text[i] != '\0'; i++)
    copy[i] = g_ascii_isprint (text[i]) ? text[i] : '?';
  copy[i] = '\0';
}

/* Sets err for a value that is not allowed. Returns false. */
static bool
set_value_error (const ValueSource *source, const char *value, PhError *err)
{
  char allowed[64];
  char printable[61];

  format_allowed (source->setting, allowed, sizeof allowed);
  copy_printable (value, printable, sizeof printable);
  return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                       "--%s%s%s%s: \"%s\" is not allowed; allowed: %s", source->setting->name,
                       source->env != NULL ? " (from " : "", source->env != NULL ? source->env : "",
                       source->env != NULL ? ")" : "", printable, allowed);
}

static bool
store_number (const ValueSource *source, const char *value, void *field, PhError *err)
{
  const char *digits = value[0] == '-' ? value + 1 : value;
  int64_t number;

  errno = 0;
  number = strtoll (value, NULL, 10);
  /* strtoll alone would accept spaces and a plus sign before the number, and text after it. */
  if (errno != 0 || digits[0] == '\0' || digits[strspn (digits, "0123456789")] != '\0'
      || number < source->setting->min || number > source->setting->max)
    return set_value_error (source, value, err);
  *(int64_t *)field = number;
  return true;
}

/* Stores a duration in ms. A number without a unit is in seconds. */
static bool
store_duration (const ValueSource *source, const char *value, void *field, PhError *err)
{
  char seconds[32];
  PhTime time;

  snprintf (seconds, sizeof seconds, "%ss", value);
  if ((!ph_duration_parse (value, &time) && !ph_duration_parse (seconds, &time))
      || time < source->setting->min * PH_MS || time > source->setting->max * PH_MS)
    return set_value_error (source, value, err);
  *(int64_t *)field = time / PH_MS;
  return true;
}

static bool
store_text (const ValueSource *source, const char *value, void *field, PhError *err)
{
  int64_t size = (int64_t)strlen (value);

  if (size < source->setting->min || size > source->setting->max)
    return set_value_error (source, value, err);
  *(const char **)field = g_intern_string (value);
  return true;
}

static bool
store_kind (const ValueSource *source, const char *value, void *field, PhError *err)
{
  switch (source->setting->kind)
    {
    case PH_SETTING_NUMBER:
      return store_number (source, value, field, err);
    case PH_SETTING_DURATION:
      return store_duration (source, value, field, err);
    default:
      return store_text (source, value, field, err);
    }
}

bool
ph_settings_set (const PhSetting *setting, const char *value, void *target, PhError *err)
{
  ValueSource source = { setting, NULL };

  return store_kind (&source, value, (char *)target + setting->offset, err);
}

/* Stores the value of the flag, or else of the environment variable, or else the default. */
static bool
store_value (const PhSetting *setting, const char *flag, void *target, PhError *err)
{
  char env[ENV_NAME_MAX];
  char allowed[64];
  ValueSource source = { setting, NULL };
  const char *value = flag;
  void *field = (char *)target + setting->offset;

  make_env_name (setting->name, env);
  if (value == NULL)
    {
      value = getenv (env);
      source.env = value != NULL ? env : NULL;
    }
  if (value == NULL)
    value = setting->default_value;
  if (value == NULL)
    {
      format_allowed (setting, allowed, sizeof allowed);
      return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                           "--%s (or %s) is not set; needed: %s, %s", setting->name, env,
                           setting->help, allowed);
    }
  if (value == setting->default_value && value[0] == '\0')
    {
      if (setting->kind == PH_SETTING_TEXT)
        *(const char **)field = value;
      return true;
    }
  return store_kind (&source, value, field, err);
}

/* A setting's help text with its range and its default. Release with g_free. */
static char *
format_description (const PhSetting *setting)
{
  GString *text = g_string_new (setting->help);

  if (setting->kind == PH_SETTING_NUMBER && setting->max == INT64_MAX)
    g_string_append_printf (text, "; %" PRId64 " or more", setting->min);
  else if (setting->kind == PH_SETTING_NUMBER)
    g_string_append_printf (text, "; %" PRId64 " to %" PRId64, setting->min, setting->max);
  else if (setting->kind == PH_SETTING_DURATION)
    g_string_append_printf (text, "; %" PRId64 "ms to %" PRId64 "ms", setting->min, setting->max);
  if (setting->kind != PH_SETTING_SWITCH && setting->default_value == NULL)
    g_string_append (text, "; required");
  else if (setting->kind != PH_SETTING_SWITCH && setting->default_value[0] != '\0')
    g_string_append_printf (text, "; default %s", setting->default_value);
  return g_string_free (text, FALSE);
}

/* Builds GLib's option entries. GLib stores switches in target, other values as text in values. */
static void
fill_entries (
    const PhSetting *settings, size_t count, char **values, void *target, GOptionEntry *entries)
{
  for (size_t i = 0; i < count; i++)
    {
      bool is_switch = settings[i].kind == PH_SETTING_SWITCH;

      entries[i].long_name = settings[i].name;
      /* The type is a file name, because GLib would convert a string from the locale's encoding. */
      entries[i].arg = is_switch ? G_OPTION_ARG_NONE : G_OPTION_ARG_FILENAME;
      entries[i].arg_data = is_switch ? (void *)((char *)target + settings[i].offset) : &values[i];
      entries[i].description = format_description (&settings[i]);
      entries[i].arg_description = is_switch                                 ? NULL
                                   : settings[i].kind == PH_SETTING_NUMBER   ? "N"
                                   : settings[i].kind == PH_SETTING_DURATION ? "DURATION"
                                                                             : "TEXT";
    }
}

/* Sets err to GLib's message with what is allowed: the range of the setting when the message names
 * a known one, else the names of all settings. Returns false. */
static bool
set_parse_error (const PhSetting *settings, size_t count, const char *message, PhError *err)
{
  const char *name = strstr (message, "--");
  GString *allowed = g_string_new (NULL);
  char range[64];
  char printable[101];

  for (size_t i = 0; i < count; i++)
    {
      if (name != NULL && strcmp (name + 2, settings[i].name) == 0)
        {
          format_allowed (&settings[i], range, sizeof range);
          g_string_assign (allowed, range);
          break;
        }
      g_string_append_printf (allowed, "%s--%s", i > 0 ? ", " : "", settings[i].name);
    }
  copy_printable (message, printable, sizeof printable);
  ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL, "%s; allowed: %s", printable,
                allowed->str);
  g_string_free (allowed, TRUE);
  return false;
}

/* Rejects a switch that has a value: GLib would parse "--wait=no" as "--wait". */
static bool
check_switches (const PhSetting *settings, size_t count, int argc, char **argv, PhError *err)
{
  char printable[61];

  for (int i = 1; i < argc && strcmp (argv[i], "--") != 0; i++)
    for (size_t j = 0; j < count; j++)
      {
        size_t length = strlen (settings[j].name);

        if (settings[j].kind != PH_SETTING_SWITCH || !g_str_has_prefix (argv[i], "--")
            || strncmp (argv[i] + 2, settings[j].name, length) != 0 || argv[i][2 + length] != '=')
          continue;
        copy_printable (argv[i] + 3 + length, printable, sizeof printable);
        return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                             "--%s: \"%s\" is not allowed; allowed: the flag without a value",
                             settings[j].name, printable);
      }
  return true;
}

static bool
parse_flags (const PhSetting *settings,
             size_t count,
             GOptionContext *options,
             int *argc,
             char ***argv,
             PhError *err)
{
  GError *glib_error = NULL;
  bool is_ok;

  if (!check_switches (settings, count, *argc, *argv, err))
    return false;
  if (g_option_context_parse (options, argc, argv, &glib_error))
    return true;
  is_ok = set_parse_error (settings, count, glib_error->message, err);
  g_error_free (glib_error);
  return is_ok;
}

bool
ph_settings_parse (const PhSetting *settings,
                   size_t count,
                   const char *command,
                   const char *usage,
                   const char *summary,
                   int *argc,
                   char ***argv,
                   void *target,
                   PhError *err)
{
  GOptionEntry entries[PH_SETTINGS_MAX + 1] = { 0 };
  char *values[PH_SETTINGS_MAX] = { NULL };
  char printable[61];
  GOptionContext *options;
  bool is_ok;

  fill_entries (settings, count, values, target, entries);
  g_set_prgname (command);
  options = g_option_context_new (usage);
  g_option_context_set_summary (options, summary);
  g_option_context_add_main_entries (options, entries, NULL);
  is_ok = parse_flags (settings, count, options, argc, argv, err);
  g_option_context_free (options);
  if (is_ok && usage == NULL && *argc > 1)
    {
      copy_printable ((*argv)[1], printable, sizeof printable);
      is_ok = ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                            "\"%s\" is not allowed; allowed: flags only", printable);
    }
  for (size_t i = 0; i < count && is_ok; i++)
    if (settings[i].kind != PH_SETTING_SWITCH)
      is_ok = store_value (&settings[i], values[i], target, err);
  for (size_t i = 0; i < count; i++)
    {
      g_free (values[i]);
      g_free ((char *)entries[i].description);
    }
  return is_ok;
}

bool
ph_settings_argument (int argc, char **argv, const char *name, const char **value, PhError *err)
{
  char printable[61];

  if (argc == 2)
    {
      *value = argv[1];
      return true;
    }
  if (argc < 2)
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                         "%s is not set; allowed: one %s", name, name);
  copy_printable (argv[2], printable, sizeof printable);
  return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                       "%s: a second one, \"%s\", is not allowed; allowed: one %s", name, printable,
                       name);
}

int
ph_settings_print_error (const char *command, const PhError *err)
{
  fprintf (stderr, "%s: %s\n", command, err->text);
  return 2;
}
