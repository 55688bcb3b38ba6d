#include "client/wait.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "pollenhitch/command.h"

#define REQUEST_TIMEOUT_MS 1000 /* for the status page of one node */
#define POLL_INTERVAL_MS 200    /* between two rounds of requests */

bool
ph_wait_open (PhWait *wait, const PhWaitSettings *settings, PhError *err)
{
  *wait = (PhWait){ .settings = *settings };
  if (!settings->is_requested)
    return true;
  wait->written = json_object ();
  if (!ph_nodes_open (&wait->nodes, settings->nodes, err))
    return false;
  if (settings->min_nodes > wait->nodes.rows.count)
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                         "--wait-nodes: \"%" PRId64 "\" is not allowed; allowed: a number up to "
                         "%" PRIu32 ", the number of --nodes",
                         settings->min_nodes, wait->nodes.rows.count);
  return true;
}

void
ph_wait_close (PhWait *wait)
{
  ph_nodes_close (&wait->nodes);
  json_decref (wait->written);
}

void
ph_wait_add (PhWait *wait, const char *path, uint64_t revision)
{
  if (!wait->settings.is_requested)
    return;
  json_object_set_new (wait->written, path, json_integer ((json_int_t)revision));
  if (revision > wait->newest_revision)
    wait->newest_revision = revision;
}

static bool
is_in_force (const PhWait *wait, const PhNodeRow *row)
{
  if (row->config_revision < wait->newest_revision)
    return false;
  /* Gossip may deliver a newer object before an older one, so the revision alone does not prove
   * that the written object is in force. has_effect checks its effect on the page; without
   * has_effect only the revision is compared. */
  return wait->has_effect == NULL || wait->has_effect (wait->user, row->page);
}

/* An is_selected callback of ph_nodes_query; user is the PhWait. */
static bool
is_not_in_force (void *user, const PhNodeRow *row)
{
  return !is_in_force (user, row);
}

/* Whether a node rejected an object at the revision that was written; text then names the path, the
 * node and the reason. */
static bool
is_rejected (const PhWait *wait, const PhNodeRow *row, char *text, size_t size)
{
  const json_t *entry;
  size_t i;

  json_array_foreach (json_object_get (row->page, "rejected"), i, entry)
    {
      const char *path = json_string_value (json_object_get (entry, "path"));
      const char *reason = json_string_value (json_object_get (entry, "error"));
      const json_t *written = path != NULL ? json_object_get (wait->written, path) : NULL;

      if (written == NULL || !json_equal (written, json_object_get (entry, "revision")))
        continue;
      snprintf (text, size, "%s: rejected by %s: %s", path, row->address,
                reason != NULL ? reason : "no reason given");
      return true;
    }
  return false;
}

bool
ph_wait_count_in_force (const PhWait *wait, uint32_t *count, char *text, size_t size)
{
  PhNodeRowId id = { 0 };

  *count = 0;
  while ((id = ph_node_row_next (&wait->nodes.rows, id)).v != 0)
    {
      const PhNodeRow *row = ph_node_row_get (&wait->nodes.rows, id);

      if (is_rejected (wait, row, text, size))
        return false;
      *count += is_in_force (wait, row);
    }
  return true;
}

/* Prints on stderr each node at which the objects are not in force yet. */
static void
print_late_nodes (const PhWait *wait)
{
  PhNodeRowId id = { 0 };

  while ((id = ph_node_row_next (&wait->nodes.rows, id)).v != 0)
    {
      const PhNodeRow *row = ph_node_row_get (&wait->nodes.rows, id);

      if (is_in_force (wait, row))
        continue;
      if (row->page != NULL)
        fprintf (stderr, "%s is at revision %" PRIu64 ", and the change is not in force there\n",
                 row->address, row->config_revision);
      else
        fprintf (stderr, "%s does not respond: %s\n", row->address, row->failure);
    }
}

static int64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int
ph_wait_run (PhWait *wait, const char *command)
{
  uint32_t total = wait->nodes.rows.count;
  uint32_t required = wait->settings.min_nodes > 0 ? (uint32_t)wait->settings.min_nodes : total;
  uint32_t reported = UINT32_MAX;
  uint32_t count = 0;
  int64_t deadline_ms = now_ms () + wait->settings.timeout_s * 1000;
  char text[400];

  if (!wait->settings.is_requested)
    return 0;
  for (;;)
    {
      int64_t remaining_ms = deadline_ms - now_ms ();

      ph_nodes_query (&wait->nodes,
                      remaining_ms < REQUEST_TIMEOUT_MS && remaining_ms > 0 ? remaining_ms
                                                                            : REQUEST_TIMEOUT_MS,
                      is_not_in_force, wait);
      if (!ph_wait_count_in_force (wait, &count, text, sizeof text))
        {
          fprintf (stderr, "pollenhitch %s: %s\n", command, text);
          return PH_EXIT_NOT_IN_FORCE;
        }
      if (count != reported)
        fprintf (stderr, "revision %" PRIu64 " is in force at %u of %u nodes\n",
                 wait->newest_revision, count, total);
      reported = count;
      if (count >= required)
        return 0;
      if (now_ms () + POLL_INTERVAL_MS >= deadline_ms)
        break;
      nanosleep (&(struct timespec){ .tv_nsec = POLL_INTERVAL_MS * 1000000L }, NULL);
    }
  print_late_nodes (wait);
  fprintf (stderr,
           "pollenhitch %s: written, but in force at only %u of %u nodes after %" PRId64 " s\n",
           command, count, total, wait->settings.timeout_s);
  return PH_EXIT_NOT_IN_FORCE;
}
