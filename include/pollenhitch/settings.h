#ifndef PH_SETTINGS_H
#define PH_SETTINGS_H

#include "pollenhitch/base.h"

/*
 * Settings of a subcommand: a table of entries, each a flag and an environment
 * variable. The flag --port-call has the variable POLLENHITCH_PORT_CALL; the
 * flag takes precedence.
 */

typedef enum
{
  PH_SETTING_TEXT,   /* const char * */
  PH_SETTING_NUMBER, /* int64_t */
  PH_SETTING_SWITCH  /* bool; flag only */
} PhSettingKind;

typedef struct
{
  const char *name;
  PhSettingKind kind;
  size_t offset;             /* of the field in the subcommand's struct */
  const char *default_value; /* NULL: must be set, unless it is a switch; "" for none */
  int64_t min;               /* of a number; of a text, its least length */
  int64_t max;
  const char *help;
} PhSetting;

#define PH_SETTINGS_MAX 48

/*
 * ph_settings_parse: read flags and environment into the struct at target.
 *
 * Text values live as long as the process. Arguments that are not flags stay in
 * argv after argv[0], with *argc adjusted. summary and usage appear in --help,
 * which prints and exits with status 0. Returns false with err naming the
 * setting, the value and what is allowed.
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

/* ph_settings_set: check a value and store it in the struct at target. Returns false with err
 * naming the setting, the value and what is allowed, and target as it was. */
bool ph_settings_set (const PhSetting *setting, const char *value, void *target, PhError *err);

/* ph_settings_argument: the one argument that a subcommand takes besides its flags. Returns false
 * with err set when there is none or more than one. */
bool
ph_settings_argument (int argc, char **argv, const char *name, const char **value, PhError *err);

/* ph_settings_print_error: print the one line for a wrong setting on stderr. Returns exit status 2.
 */
int ph_settings_print_error (const char *command, const PhError *err);

#endif
