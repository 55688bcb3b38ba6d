#ifndef PH_COMMAND_H
#define PH_COMMAND_H

#include <stddef.h>

/*
 * Subcommands. Each gets its own name in argv[0] and returns the exit status, 0
 * for success or one of PH_EXIT_*. diff returns 0 if there is no difference and 1
 * if there is one; it returns 2 in place of PH_EXIT_FAILED, and the others unchanged.
 */

/* The operation failed for a reason that has no status of its own. */
#define PH_EXIT_FAILED 1
/* Invalid setting, argument or object (in a file or the store). */
#define PH_EXIT_USAGE 2
/* The object is at another revision, or the move has ended. */
#define PH_EXIT_CONFLICT 3
/* The named object does not exist. */
#define PH_EXIT_NOT_FOUND 4
/* No response from the store, or only 5xx statuses. */
#define PH_EXIT_UNREACHABLE 5
/* --wait: written, but rejected or not in force in time. */
#define PH_EXIT_NOT_IN_FORCE 6
/* The response to a write was lost, and another write of the path followed. */
#define PH_EXIT_UNKNOWN 7

typedef struct
{
  const char *name;
  int (*run) (int argc, char **argv); /* returns the exit status */
  const char *help;                   /* one line for --help */
} PhCommand;

/* ph_command_run: run the subcommand that argv[1] names and return its exit status. --help prints
 * the list of subcommands. Without a known subcommand it prints one line on stderr and returns
 * PH_EXIT_USAGE. name is printed in messages: the program, with the parent command if there is one,
 * as "pollenhitch dc". */
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
