#ifndef PH_CLIENT_WAIT_H
#define PH_CLIENT_WAIT_H

#include "client/nodes.h"

/* Waits until the objects that a command wrote are in force at the nodes. */

typedef struct
{
  bool is_requested; /* whether --wait is given */
  const char *nodes; /* IP addresses of nodes with their admin ports, separated by commas */
  int64_t min_nodes; /* nodes at which the change has to be in force; 0: all of them */
  int64_t timeout_s; /* longest wait, in seconds */
} PhWaitSettings;

#define PH_WAIT_SETTINGS(Settings, member)                                                         \
  { "wait",                                                                                        \
    PH_SETTING_SWITCH,                                                                             \
    offsetof (Settings, member.is_requested),                                                      \
    NULL,                                                                                          \
    0,                                                                                             \
    0,                                                                                             \
    "wait until the change is in force at the nodes of --nodes" },                                 \
      PH_NODES_SETTING (Settings, member.nodes),                                                   \
      { "wait-nodes",                                                                              \
        PH_SETTING_NUMBER,                                                                         \
        offsetof (Settings, member.min_nodes),                                                     \
        "0",                                                                                       \
        0,                                                                                         \
        100000,                                                                                    \
        "how many of the nodes are enough; 0: all" },                                              \
  {                                                                                                \
    "wait-seconds", PH_SETTING_NUMBER, offsetof (Settings, member.timeout_s), "30", 1, 86400,      \
        "longest wait until the change is in force"                                                \
  }

/* Callback that returns whether a node's status page shows the effect of the written objects. page
 * is NULL when there is none, because the node's last request failed. */
typedef bool (*PhEffectFunc) (void *user, const json_t *page);

typedef struct
{
  PhWaitSettings settings;
  PhEffectFunc has_effect; /* set by the command; NULL: only revisions are compared */
  void *user;              /* context pointer of has_effect */
  PhNodes nodes;
  json_t *written;          /* JSON object that maps each written path to its revision, owned */
  uint64_t newest_revision; /* highest revision in written */
} PhWait;

/* ph_wait_open: check the settings; commands call it before they write anything. Returns false with
 * err set when --nodes or --wait-nodes is not valid. Without --wait all calls do nothing. Release
 * with ph_wait_close, also after a failure; a zeroed PhWait may be closed too. */
bool ph_wait_open (PhWait *wait, const PhWaitSettings *settings, PhError *err);
void ph_wait_close (PhWait *wait);

/* ph_wait_add: record that an object was written, or already was in the store, at a revision. */
void ph_wait_add (PhWait *wait, const char *path, uint64_t revision);

/* ph_wait_count_in_force: count the nodes at which all recorded objects are in force, by their last
 * status pages. Returns false when a node rejected one of the objects; text then names the path,
 * the node and the reason. */
bool ph_wait_count_in_force (const PhWait *wait, uint32_t *count, char *text, size_t size);

/*
 * ph_wait_run: wait until all recorded objects are in force, with progress on stderr.
 *
 * Returns 0 when they are in force at enough nodes, and without --wait;
 * PH_EXIT_NOT_IN_FORCE when the timeout has expired or a node rejected one of the
 * objects. command is the subcommand without the program's name, as "apply".
 */
int ph_wait_run (PhWait *wait, const char *command);

#endif
