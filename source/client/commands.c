#include <stdio.h>
#include <string.h>

#include "pollenhitch/command.h"

/* Prints the usage line and the list of commands. */
static void
print_help (const char *name, const PhCommand *commands, size_t count, FILE *out)
{
  fprintf (out, "Usage: %s COMMAND [OPTION...]\n\nCommands:\n", name);
  for (size_t i = 0; i < count; i++)
    fprintf (out, "  %-10s %s\n", commands[i].name, commands[i].help);
  fprintf (out, "\n'%s COMMAND --help' lists the options of a command.\n", name);
}

int
ph_command_run (const char *name, const PhCommand *commands, size_t count, int argc, char **argv)
{
  if (argc < 2)
    {
      fprintf (stderr, "%s: COMMAND is not set; see %s --help\n", name, name);
      return PH_EXIT_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "-h") == 0)
    {
      print_help (name, commands, count, stdout);
      return 0;
    }
  for (size_t i = 0; i < count; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return commands[i].run (argc - 1, argv + 1);
  fprintf (stderr, "%s: unknown command \"%.60s\"; see %s --help\n", name, argv[1], name);
  return PH_EXIT_USAGE;
}
