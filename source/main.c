#include <stdio.h>
#include <string.h>

#include "pollenhitch/command.h"

#define VERSION "0.1.0"

static const PhCommand commands[] = {
  { "node", ph_command_node, "run the node beside an upstream VM" },
  { "platform", ph_command_platform, "run the node on the object platform" },
  { "apply", ph_command_apply, "create or change objects in the store" },
  { "diff", ph_command_diff, "print what apply would change" },
  { "get", ph_command_get, "print an object, or the objects under a path" },
  { "delete", ph_command_delete, "delete an object" },
  { "dc", ph_command_dc, "take a data centre out of service, or back" },
  { "move", ph_command_move, "start, print and cancel moves between versions" },
  { "status", ph_command_status, "ask nodes for their status" },
  { "timeline", ph_command_timeline, "print the events of several nodes in one order" },
};

int
main (int argc, char **argv)
{
  if (argc == 2 && strcmp (argv[1], "--version") == 0)
    {
      puts ("pollenhitch " VERSION);
      return 0;
    }
  return ph_command_run ("pollenhitch", commands, sizeof commands / sizeof *commands, argc, argv);
}
