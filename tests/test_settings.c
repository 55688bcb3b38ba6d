#include "pollenhitch/settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test.h"

/* Values of the settings that the test defines. */
typedef struct
{
  const char *name;
  const char *url;
  int64_t port;
  int64_t revision;
  bool is_dry;
} SettingValues;

static const PhSetting settings[] = {
  { "name", PH_SETTING_TEXT, offsetof (SettingValues, name), NULL, 1, 8, "name of the VM" },
  { "url", PH_SETTING_TEXT, offsetof (SettingValues, url), "", 3, 20, "a URL" },
  { "port", PH_SETTING_NUMBER, offsetof (SettingValues, port), "80", 1, 65535, "a port" },
  { "revision", PH_SETTING_NUMBER, offsetof (SettingValues, revision), "", 0, INT64_MAX,
    "a revision" },
  { "dry", PH_SETTING_SWITCH, offsetof (SettingValues, is_dry), NULL, 0, 0, "a switch" },
};

#define ARGUMENTS_MAX 6

typedef struct
{
  const char *arguments[ARGUMENTS_MAX];
  const char *env;   /* value of POLLENHITCH_PORT, NULL when it is not set */
  const char *error; /* substring of the error message; NULL when the arguments are valid */
  /* Resulting values of valid arguments. */
  const char *name;
  int64_t port;
  int64_t revision;
} Case;

#define PORT_RANGE "a number from 1 to 65535"

/* Guards against invalid values that are accepted, and against error messages that do not name the
 * setting, the value and the allowed values. */
static const Case cases[] = {
  { { "--name", "a" }, NULL, NULL, "a", 80, -1 },
  { { "--name=a", "--port=1", "--revision=0" }, NULL, NULL, "a", 1, 0 },
  { { "--name", "a", "--port", "65535" }, "7", NULL, "a", 65535, -1 },
  { { "--name", "a" }, "7", NULL, "a", 7, -1 },
  { { "--name", "\xc3\xa9" }, NULL, NULL, "\xc3\xa9", 80, -1 },
  { { NULL },
    NULL,
    "--name (or POLLENHITCH_NAME) is not set; needed: name of the VM, a text of 1 to 8 bytes",
    NULL,
    0,
    0 },
  { { "--name", "" },
    NULL,
    "--name: \"\" is not allowed; allowed: a text of 1 to 8 bytes",
    NULL,
    0,
    0 },
  { { "--name", "a23456789" }, NULL, "--name: \"a23456789\" is not allowed", NULL, 0, 0 },
  { { "--name", "a\nb\tc67890" }, NULL, "--name: \"a?b?c67890\" is not allowed", NULL, 0, 0 },
  { { "--name", "a", "--url", "ab" },
    NULL,
    "--url: \"ab\" is not allowed; allowed: a text of 3 to 20 bytes",
    NULL,
    0,
    0 },
  { { "--name", "a", "--url=" }, NULL, "--url: \"\" is not allowed", NULL, 0, 0 },
  { { "--name", "a", "--port", "0" },
    NULL,
    "--port: \"0\" is not allowed; allowed: " PORT_RANGE,
    NULL,
    0,
    0 },
  { { "--name", "a", "--port", "65536" }, NULL, "--port: \"65536\" is not allowed", NULL, 0, 0 },
  { { "--name", "a", "--port", "-1" }, NULL, "--port: \"-1\" is not allowed", NULL, 0, 0 },
  { { "--name", "a", "--port", "80x" }, NULL, "--port: \"80x\" is not allowed", NULL, 0, 0 },
  { { "--name", "a", "--port", " 80" }, NULL, "--port: \" 80\" is not allowed", NULL, 0, 0 },
  { { "--name", "a", "--port", "+80" }, NULL, "--port: \"+80\" is not allowed", NULL, 0, 0 },
  { { "--name", "a", "--port", "0x50" }, NULL, "--port: \"0x50\" is not allowed", NULL, 0, 0 },
  { { "--name", "a", "--port", "8.0" }, NULL, "--port: \"8.0\" is not allowed", NULL, 0, 0 },
  { { "--name", "a", "--port=" }, NULL, "--port: \"\" is not allowed", NULL, 0, 0 },
  { { "--name", "a", "--port", "-" }, NULL, "--port: \"-\" is not allowed", NULL, 0, 0 },
  { { "--name", "a", "--port", "99999999999999999999" },
    NULL,
    "--port: \"99999999999999999999\" is not allowed; allowed: " PORT_RANGE,
    NULL,
    0,
    0 },
  { { "--name", "a", "--revision", "-1" },
    NULL,
    "--revision: \"-1\" is not allowed; allowed: a number of 0 or more",
    NULL,
    0,
    0 },
  { { "--name", "a" },
    "eighty",
    "--port (from POLLENHITCH_PORT): \"eighty\" is not allowed; allowed: " PORT_RANGE,
    NULL,
    0,
    0 },
  { { "--name", "a" }, "", "--port (from POLLENHITCH_PORT): \"\" is not allowed", NULL, 0, 0 },
  { { "--name", "a", "--port" },
    NULL,
    "Missing argument for --port; allowed: " PORT_RANGE,
    NULL,
    0,
    0 },
  { { "--name", "a", "--ports", "1" },
    NULL,
    "Unknown option --ports; allowed: --name, --url, --port, --revision, --dry",
    NULL,
    0,
    0 },
  { { "--name", "a", "-p", "1" }, NULL, "Unknown option -p; allowed: --name", NULL, 0, 0 },
  { { "--name", "a", "--dry=no" },
    NULL,
    "--dry: \"no\" is not allowed; allowed: the flag without a value",
    NULL,
    0,
    0 },
  { { "--name", "a", "more" }, NULL, "\"more\" is not allowed; allowed: flags only", NULL, 0, 0 },
};

static bool
matches_case (const Case *c, bool is_ok, const SettingValues *values, const PhError *err)
{
  if (c->error == NULL)
    return is_ok && strcmp (values->name, c->name) == 0 && values->port == c->port
           && values->revision == c->revision;
  return !is_ok && err->code == PH_ERROR_INVALID && strstr (err->text, c->error) != NULL
         && strchr (err->text, '\n') == NULL;
}

static void
test_settings_cases (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      char *argv[ARGUMENTS_MAX + 2] = { (char *)"test" };
      char **remaining = argv;
      int argc = 1;
      SettingValues values = { .revision = -1 };
      PhError err = { 0 };
      bool is_ok;

      for (size_t j = 0; j < ARGUMENTS_MAX && cases[i].arguments[j] != NULL; j++)
        argv[argc++] = (char *)cases[i].arguments[j];
      if (cases[i].env != NULL)
        setenv ("POLLENHITCH_PORT", cases[i].env, 1);
      else
        unsetenv ("POLLENHITCH_PORT");
      is_ok = ph_settings_parse (settings, PH_ARRAY_SIZE (settings), "test", NULL, "A test.", &argc,
                                 &remaining, &values, &err);
      if (!matches_case (&cases[i], is_ok, &values, &err))
        {
          fprintf (stderr, "case %zu: %s\n", i, is_ok ? "no error" : err.text);
          CU_FAIL ("the settings or the error differ from the case");
        }
    }
  unsetenv ("POLLENHITCH_PORT");
}

/* Guards against a time limit in the platform's form that is refused, so that the default stays in
 * use. review/5 */
static const struct
{
  const char *text;
  int64_t ms; /* -1: refused */
} durations[] = {
  { "6s", 6000 },
  { "10s", 10000 },
  { "3000ms", 3000 },
  { "5", 5000 },
  { "2.5s", 2500 },
  { "0.5s", -1 },
  { "3601s", -1 },
  { "{{terms.bounds.grace}}", -1 },
  { "6 s", -1 },
  { "-6s", -1 },
  { "", -1 },
  { "6m", -1 },
  { "3600000ms", 3600000 },
};

static void
test_settings_durations (void)
{
  const PhSetting setting = { "limit", PH_SETTING_DURATION, 0, "60", 1000, 3600000, "a limit" };

  for (size_t i = 0; i < PH_ARRAY_SIZE (durations); i++)
    {
      int64_t ms = -1;
      PhError err;

      if (!ph_settings_set (&setting, durations[i].text, &ms, &err)
          && strstr (err.text, "a duration from 1000ms to 3600000ms") == NULL)
        CU_FAIL (err.text);
      if (ms != durations[i].ms)
        CU_FAIL (durations[i].text);
    }
}

static const PhTest tests[] = {
  { "durations with and without a unit", test_settings_durations },
  { "invalid settings are rejected with a precise error", test_settings_cases },
};
PH_TEST_SUITE (settings, tests)
