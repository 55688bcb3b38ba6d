#ifndef PH_COMMAND_H
#define PH_COMMAND_H

#include <stddef.h>

/*
 * Subcommands. Each takes its own name in argv[0] and returns the exit status:
 * 0 done, 1 failed, 2 a wrong setting or argument, 3 conflict, 4 not found,
 * 5 the store cannot be reached, 6 written but not yet in force (--wait), 7 the
 * outcome of a write is not known: its response was lost and another write
 * followed. diff: 0 equal, 1 differs, 2 and above as the others.
 */

#define PH_EXIT_FAILED 1
#define PH_EXIT_USAGE 2
#define PH_EXIT_CONFLICT 3
#define PH_EXIT_NOT_FOUND 4
#define PH_EXIT_UNREACHABLE 5
#define PH_EXIT_NOT_IN_FORCE 6
#define PH_EXIT_UNKNOWN 7

typedef struct
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *help;
} PhCommand;

/* ph_command_run: run the subcommand that argv[1] names, or print the list of them for --help. */
int
ph_command_run (const char *name, const PhCommand *commands, size_t count, int argc, char **argv);

int ph_command_node (int argc, char **argv);
int ph_command_platform (int argc, char **argv);
int ph_command_apply (int argc, char **argv);
int ph_command_diff (int argc, char **argv);
int ph_command_get (int argc, char **argv);
int ph_command_delete (int argc, char **argv);
int ph_command_dc (int argc, char **argv);
int ph_command_move (int argc, char **argv);
int ph_command_status (int argc, char **argv);
int ph_command_timeline (int argc, char **argv);

#endif
