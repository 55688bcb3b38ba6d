#ifndef PH_SETTINGS_H
#define PH_SETTINGS_H

#include "pollenhitch/base.h"

/*
 * Settings of a subcommand, described by a table. A setting has a flag and an
 * environment variable, for example --port-call and POLLENHITCH_PORT_CALL; the
 * flag takes precedence.
 */

typedef enum
{
  PH_SETTING_TEXT,     /* const char * */
  PH_SETTING_NUMBER,   /* int64_t */
  PH_SETTING_DURATION, /* int64_t, ms; a text such as "1500ms" or "6s", or seconds without a unit */
  PH_SETTING_SWITCH    /* bool; a flag without a value, and no environment variable */
} PhSettingKind;

typedef struct
{
  const char *name; /* name of the flag, without the dashes */
  PhSettingKind kind;
  size_t offset;             /* offset of the field in the subcommand's struct */
  const char *default_value; /* NULL if required or a switch; "" for no default: a text is
                                then "", whatever min is, and a number is left unchanged */
  int64_t min;               /* least number, duration in ms, or length of a text in bytes */
  int64_t max;               /* greatest number, duration in ms, or length of a text in bytes */
  const char *help;          /* description for --help */
} PhSetting;

#define PH_SETTINGS_MAX 48 /* max settings of a subcommand */

/*
 * ph_settings_parse: read flags and environment into the struct at target.
 *
 * command is the subcommand with the program's name before it, as "pollenhitch
 * diff". usage names the arguments besides the flags, as "FILE..."; NULL means that
 * there are none, and one is an error. summary is one sentence on the subcommand.
 * Text values live as long as the process. A switch that is not given leaves its
 * field unchanged, so that the caller initialises target. Arguments that are not
 * flags remain in argv after argv[0], and *argc is set to match. --help prints
 * usage, summary and the settings, and exits with status 0. Returns false with err
 * naming the setting, the value and what is allowed.
 */
bool ph_settings_parse (const PhSetting *settings,
                        size_t count,
                        const char *command,
                        const char *usage,
                        const char *summary,
                        int *argc,
                        char ***argv,
                        void *target,
                        PhError *err);

/* ph_settings_set: check a value of a setting that is not a switch, and store it in the struct
 * at target. A text is copied and lives as long as the process. Returns false with err naming the
 * setting, the value and what is allowed; target is then unchanged. */
bool ph_settings_set (const PhSetting *setting, const char *value, void *target, PhError *err);

/* ph_settings_argument: get the one argument that a subcommand has besides its flags; it points
 * into argv. name is the argument's name in error messages, as "PATH". Returns false with err set
 * when there is none or more than one. */
bool
ph_settings_argument (int argc, char **argv, const char *name, const char **value, PhError *err);

/* ph_settings_print_error: print err in one line on stderr, after command, which has the program's
 * name before it as for ph_settings_parse. Returns PH_EXIT_USAGE. */
int ph_settings_print_error (const char *command, const PhError *err);

#endif
