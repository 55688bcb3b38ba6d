#include "node/store.h"

#include <stdlib.h>

#include "node/store_rows.h"
#include "pollenhitch/revision.h"

/* Nodes that start together read the contact objects at random times in this interval, so that most
 * of them find the object that the first one wrote. */
#define DISCOVERY_JITTER (100 * PH_MS)

/* While no configuration is known, nodes that are first by rank among the members they know so far
 * read it before that, after a random delay of up to this time, so that a few of them do. */
#define EARLY_READ_JITTER (400 * PH_MS)

static const PhStoreJobFuncs *const job_funcs[] = {
  [PH_STORE_JOB_DISCOVER] = &ph_store_discover_funcs,
  [PH_STORE_JOB_PUBLISH] = &ph_store_publish_funcs,
  [PH_STORE_JOB_REPORT] = &ph_store_report_funcs,
  [PH_STORE_JOB_WATCH] = &ph_store_watch_funcs,
};

const PhStoreJobFuncs *
ph_store_job_funcs (const PhStoreJob *job)
{
  return job_funcs[job->kind < PH_STORE_JOB_WATCH ? job->kind : PH_STORE_JOB_WATCH];
}

/* Starts a call of a job if one is due. Returns the time at which to run the job again, or
 * PH_TIME_NEVER when the job waits for an event rather than for a time. */
static PhTime
run_job (PhStoreJob *job, bool *has_worked)
{
  PhStore *store = job->store;
  const PhStoreJobFuncs *funcs = ph_store_job_funcs (job);
  PhTime now = store->node->ctx.now;
  PhError err = { 0 };

  if (!funcs->is_needed (job))
    {
      if (job->kind >= PH_STORE_JOB_WATCH && job->transfer_id.v != 0)
        ph_store_cancel_transfer (job);
      return PH_TIME_NEVER;
    }
  if (job->transfer_id.v != 0)
    ph_store_renew_watch (job);
  if (job->transfer_id.v != 0)
    return job->kind >= PH_STORE_JOB_WATCH ? job->renew_at : PH_TIME_NEVER;
  if (job->due_at > now)
    return job->due_at;
  if (job->is_failing && store->retry_at > now)
    return store->retry_at;
  if (job->is_failing && !ph_store_is_next_retry (job))
    return PH_TIME_NEVER;
  if (!ph_store_consume_token (store))
    return store->bucket_empty_at + PH_STORE_TOKEN_INTERVAL;
  *has_worked = true;
  if (job->is_failing)
    {
      store->retrying_job = job;
      store->next_retry_index = (uint32_t)(job->kind + 1);
    }
  if (funcs->start (job, &err))
    return PH_TIME_NEVER;
  ph_store_record_failure (job, &err);
  return store->retry_at;
}

/* Sets the timer that ends the loop's sleep to the time of the next action, but no later than next.
 */
static void
schedule_wake (PhStore *store, PhTime next)
{
  PhNode *node = store->node;
  PhTime now = node->ctx.now;

  if (!ph_store_is_join_over (store) && store->started_at + PH_STORE_JOIN_TIMEOUT < next)
    next = store->started_at + PH_STORE_JOIN_TIMEOUT + PH_MS;
  if (store->joined_at == 0 && store->first_publish_at > now && store->first_publish_at < next)
    next = store->first_publish_at;
  if (!ph_store_has_settled (store))
    {
      PhTime settled_at = store->joined_at != 0 ? ph_store_settles_at (store)
                                                : store->started_at + PH_STORE_ALONE_TIMEOUT;

      next = settled_at > now && settled_at < next ? settled_at : next;
    }
  if (ph_store_has_unfinished_report (store) && now + PH_STORE_REPORT_INTERVAL < next)
    next = now + PH_STORE_REPORT_INTERVAL;
  if (!ph_store_is_rank_current (store) && store->next_rank_at < next)
    next = store->next_rank_at;
  ev_timer_stop (node->loop, &store->wake_timer);
  if (next == PH_TIME_NEVER)
    return;
  ev_timer_set (&store->wake_timer, next > now ? (double)(next - now) / PH_SECOND : 0, 0);
  ev_timer_start (node->loop, &store->wake_timer);
}

/* After a change of the store's era, schedules the lists that were not read in it yet, and the
 * writes of the contact object and, if all watchers write them, of the statuses of moves. A status
 * is due once its object was read as well. */
static void
follow_era (PhStore *store)
{
  PhContext *ctx = &store->node->ctx;
  const PhWorld *world = store->node->world;

  if (store->seen_era_number == world->store_era_number)
    return;
  store->seen_era_number = world->store_era_number;
  for (int i = PH_STORE_JOB_WATCH; i < PH_STORE_JOB_COUNT; i++)
    {
      PhStoreJob *job = &store->jobs[i];

      /* The pages of a list have to be of one era. */
      if (job->is_listed ? ph_revision_era (job->watched_revision) >= world->store_era
                         : job->list_after_path[0] == '\0')
        continue;
      if (job->transfer_id.v != 0)
        ph_store_cancel_transfer (job);
      ph_store_restart_list (
          job, ctx->now + ph_random_below (&ctx->random, (uint32_t)PH_STORE_ERA_LIST_SPREAD));
    }
  store->is_contact_lost = store->is_contact_lost || store->published_text != NULL;
  store->is_contact_read = false;
  ph_store_set_published_text (store, NULL);
  store->jobs[PH_STORE_JOB_PUBLISH].due_at = ctx->now + ph_store_rewrite_delay (store);
  if (!store->dialect->reports_open_moves)
    store->jobs[PH_STORE_JOB_REPORT].due_at = ctx->now + ph_store_rewrite_delay (store);
}

bool
ph_store_system (PhStore *store)
{
  bool has_worked = false;
  PhTime next;

  if (!store->state.is_configured)
    return false;
  ph_store_update_rank (store);
  follow_era (store);
  next = ph_config_end_holds (&store->node->ctx, store->node->world);
  for (int i = 0; i < PH_STORE_JOB_COUNT; i++)
    {
      PhTime run_at = run_job (&store->jobs[i], &has_worked);

      next = run_at < next ? run_at : next;
    }
  schedule_wake (store, next);
  return has_worked;
}

/* Does nothing: the timer only wakes the loop, and the tick then runs ph_store_system. */
static void
on_wake (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
}

PhStore *
ph_store_new (PhNode *node, const PhStoreOptions *opts, PhError *err)
{
  static const PhStoreTransport default_transport
      = { ph_fetch_start, ph_fetch_drop_transfer, ph_fetch_body, ph_fetch_field };
  PhStore *store = calloc (1, sizeof *store);

  if (store == NULL)
    {
      ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_SETTINGS, NULL,
                    "out of memory for the store client");
      return NULL;
    }
  store->node = node;
  store->transport = opts->transport != NULL ? *opts->transport : default_transport;
  store->dialect = opts->dialect != NULL ? opts->dialect : ph_store_dialect_native ();
  store->watcher_count = opts->watcher_count != 0 ? opts->watcher_count : PH_STORE_WATCHERS;
  store->watch_interval = opts->watch_interval;
  store->discovery_interval = PH_STORE_DISCOVERY_INTERVAL_MIN;
  store->early_read_delay = ph_random_below (&node->ctx.random, (uint32_t)EARLY_READ_JITTER);
  store->membership_changed_at = node->ctx.now;
  store->started_at = node->ctx.now;
  store->state.is_configured = node->settings.store[0] != '\0';
  for (int i = 0; i < PH_STORE_JOB_COUNT; i++)
    store->jobs[i] = (PhStoreJob){ .store = store, .kind = (PhStoreJobKind)i };
  store->jobs[PH_STORE_JOB_DISCOVER].due_at
      = node->ctx.now + ph_random_below (&node->ctx.random, (uint32_t)DISCOVERY_JITTER);
  ev_timer_init (&store->wake_timer, on_wake, 0, 0);
  return store;
}

void
ph_store_drop (PhStore *store)
{
  if (store == NULL)
    return;
  ev_timer_stop (store->node->loop, &store->wake_timer);
  for (int i = 0; i < PH_STORE_JOB_COUNT; i++)
    store->transport.drop (store->node->fetch, store->jobs[i].transfer_id);
  free (store->contact_text);
  free (store->published_text);
  free (store);
}

const PhStoreState *
ph_store_state (const PhStore *store)
{
  return &store->state;
}
