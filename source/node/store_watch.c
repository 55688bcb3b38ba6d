#include <string.h>

#include "node/store_rows.h"
#include "pollenhitch/revision.h"

/* Lists and watches of the configuration. */

/* Must not exceed the time for which the store keeps its history. With 30 s and a history of 20 s,
 * each watch during which only objects outside its prefix changed ended with status 410, and the
 * prefix had to be listed again. */
#define WATCH_WAIT_MS 20000
#define WATCH_TIMEOUT (25 * PH_SECOND)

/* Time before a renewal at which the replaced watch ends by itself, if the store sends eras. */
#define RENEWAL_MARGIN (100 * PH_MS)

static const char *
job_prefix (const PhStoreJob *job)
{
  return job->store->dialect->prefixes[job->kind - PH_STORE_JOB_WATCH];
}

static bool
watch_is_needed (PhStoreJob *job)
{
  return job_prefix (job) != NULL && job->store->state.is_watcher
         && ph_store_has_settled (job->store);
}

/* An open connection can go silent without an error, and a watch that waits on it misses all
 * changes. The first watcher of each data centre therefore replaces its watch at regular times,
 * each at another time than those of the other data centres, so that somewhere in the fleet a watch
 * begins in every interval of the dialect. Other nodes learn of changes from the nodes that read
 * them. */
static PhTime
renewal_interval (const PhStoreJob *job)
{
  return job->store->dialect->renewal_intervals[job->kind - PH_STORE_JOB_WATCH];
}

/* Sets the time of the next renewal. Watches of all data centres begin together after a change; the
 * first renewal after it is at the place of this data centre in the sequence. */
void
ph_store_schedule_renewal (PhStoreJob *job, bool has_changed)
{
  const PhStore *store = job->store;
  uint32_t intervals = has_changed ? store->renewing_index + 1 : store->renewing_count;

  job->renew_at = PH_TIME_NEVER;
  if (store->is_first_by_rank && renewal_interval (job) != 0)
    job->renew_at = store->node->ctx.now + intervals * renewal_interval (job);
}

/* Longest wait of a watch that starts now. A watch that is replaced before it ends gets no
 * response, and a node that gets none would not learn of a new era: the store takes a watch from a
 * revision of the earlier era once it has assigned that revision again. */
static uint32_t
watch_wait_ms (const PhStoreJob *job)
{
  PhTime left = job->renew_at - job->store->node->ctx.now - RENEWAL_MARGIN;

  if (!job->store->has_era || job->renew_at == PH_TIME_NEVER || left < RENEWAL_MARGIN
      || left > (PhTime)WATCH_WAIT_MS * PH_MS)
    return WATCH_WAIT_MS;
  return (uint32_t)(left / PH_MS);
}

static bool
watch_start (PhStoreJob *job, PhError *err)
{
  if (!job->is_listed)
    return ph_store_start_call (job,
                                &(PhStoreCall){ .action = PH_STORE_LIST,
                                                .path = job_prefix (job),
                                                .after_path = job->list_after_path },
                                PH_STORE_CALL_TIMEOUT, err);
  return ph_store_start_call (job,
                              &(PhStoreCall){ .action = PH_STORE_WATCH,
                                              .path = job_prefix (job),
                                              .revision = job->watched_revision,
                                              .wait_max_ms = watch_wait_ms (job) },
                              WATCH_TIMEOUT, err);
}

/* Schedules the watch that replaces one that has ended shortly before its renewal. */
static void
begin_renewal (PhStoreJob *job)
{
  PhTime renew_at = job->renew_at;

  if (renew_at <= job->store->node->ctx.now || renew_at == PH_TIME_NEVER)
    return;
  ph_store_schedule_renewal (job, false);
  if (job->renew_at != PH_TIME_NEVER)
    job->renew_at += renew_at - job->store->node->ctx.now;
  job->due_at = renew_at;
}

static void
watch_entry (void *user, const char *path, uint64_t revision, const char *text, size_t size)
{
  PhStoreJob *job = user;
  PhNode *node = job->store->node;
  PhError err = { 0 };

  if (strncmp (path, job_prefix (job), strlen (job_prefix (job))) != 0)
    return;
  ph_config_apply (&node->ctx, node->world, path, revision, text, size, &err);
  if (text != NULL)
    ph_config_mark_listed (node->world, path);
}

static void
finish_list (PhStoreJob *job, uint64_t revision)
{
  PhNode *node = job->store->node;

  job->list_after_path[0] = '\0';
  if (!ph_config_finish_list (&node->ctx, node->world, job_prefix (job), revision))
    ph_log (&node->ctx, PH_LOG_WARNING, PH_STEP_STORE_READ, NULL,
            "%s: list at revision %llu is older than the configuration in force: objects that it "
            "lacks are not deleted",
            job_prefix (job), (unsigned long long)ph_revision_number (revision));
  ph_log (&node->ctx, PH_LOG_INFO, PH_STEP_STORE_READ, NULL,
          "%s: list read at revision %llu, watching from there", job_prefix (job),
          (unsigned long long)ph_revision_number (revision));
  job->is_listed = true;
}

static bool
watch_finish (PhStoreJob *job, const PhStoreResult *result, PhError *err)
{
  PhStore *store = job->store;
  PhNode *node = store->node;
  PhTime wait = (PhTime)job->call.wait_max_ms * PH_MS;
  bool was_list = job->call.action == PH_STORE_LIST;
  bool is_new = result->revision > job->watched_revision;

  if (result->status == PH_STORE_GONE)
    {
      job->is_listed = false;
      job->due_at = node->ctx.now + store->watch_interval;
      return true;
    }
  if (result->status != PH_STORE_OK)
    return ph_error_set (err, PH_ERROR_PROTOCOL, PH_STEP_STORE_READ, NULL,
                         "%s: the store rejected the list or watch", job_prefix (job));
  if (was_list && result->has_more)
    {
      ph_text_copy (job->list_after_path, sizeof job->list_after_path, result->next_after_path);
      return true;
    }
  if (was_list)
    finish_list (job, result->revision);
  job->watched_revision = result->revision;
  if (is_new || was_list)
    ph_store_schedule_renewal (job, true);
  if (result->revision > store->state.revision)
    store->state.revision = result->revision;
  job->due_at = node->ctx.now + store->watch_interval;
  if (!is_new && (was_list || node->ctx.now < job->started_at + wait / 2))
    job->due_at = node->ctx.now + PH_STORE_IDLE_INTERVAL;
  else if (!is_new && wait < (PhTime)WATCH_WAIT_MS * PH_MS)
    begin_renewal (job);
  return true;
}

const PhStoreJobFuncs ph_store_watch_funcs
    = { watch_is_needed, watch_start, watch_entry, watch_finish };

/* Makes a job begin again with a list. */
void
ph_store_restart_list (PhStoreJob *job, PhTime due_at)
{
  job->is_listed = false;
  job->list_after_path[0] = '\0';
  job->due_at = due_at;
}

/* Ends the watch of a job when its renewal is due; the next one then starts at once. */
void
ph_store_renew_watch (PhStoreJob *job)
{
  if (job->kind < PH_STORE_JOB_WATCH || job->call.action != PH_STORE_WATCH
      || job->store->node->ctx.now < job->renew_at)
    return;
  ph_store_cancel_transfer (job);
  job->due_at = job->store->node->ctx.now;
  ph_store_schedule_renewal (job, false);
}
