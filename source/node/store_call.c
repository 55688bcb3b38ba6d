#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/store_rows.h"
#include "pollenhitch/revision.h"

/* Calls of the store, their rate and their retries. */

#define BODY_BYTES_MAX (64u * 1024 * 1024)
#define URL_SIZE 768

/* Burst size of the token bucket for the store calls of a node. */
#define TOKEN_CAPACITY 8

/* The failing jobs of a node share one backoff and are retried in turn, so that a node sends one
 * call in each backoff interval. With a maximum of 10 s from the start of an outage, watchers
 * recovered up to 13 s after an outage of 4.5 s. */
#define BACKOFF_MIN (250 * PH_MS)
#define SHORT_OUTAGE_BACKOFF_MAX (2 * PH_SECOND)
#define BACKOFF_MAX (10 * PH_SECOND)
#define SHORT_OUTAGE_TIME (16 * PH_SECOND) /* in a longer outage the maximum is BACKOFF_MAX */

/* Doubles the backoff after each failure in a row and sets a random time for the next retry. Jobs
 * that fail while another one is retried do not count: their calls were already open when the store
 * stopped responding. */
static void
back_off (PhStoreJob *job)
{
  PhStore *store = job->store;
  PhContext *ctx = &store->node->ctx;
  PhTime max = ctx->now - store->state.failing_since < SHORT_OUTAGE_TIME ? SHORT_OUTAGE_BACKOFF_MAX
                                                                         : BACKOFF_MAX;

  job->is_failing = true;
  /* Retry with a list: the store responds to it at once when it is available again, to a watch only
   * when something changes. */
  job->is_listed = false;
  job->list_after_path[0] = '\0';
  if (store->retrying_job != job && store->backoff != 0)
    return;
  store->retrying_job = NULL;
  store->backoff = store->backoff == 0 ? BACKOFF_MIN : store->backoff * 2;
  if (store->backoff > max)
    store->backoff = max;
  store->retry_at
      = ctx->now + store->backoff / 2 + ph_random_below (&ctx->random, (uint32_t)store->backoff);
}

/* Ends the backoff after a success; the other failing jobs are retried at once. */
static void
reset_backoff (PhStoreJob *job)
{
  PhStore *store = job->store;

  if (!job->is_failing)
    return;
  job->is_failing = false;
  if (store->retrying_job == job)
    store->retrying_job = NULL;
  store->backoff = 0;
  store->retry_at = store->node->ctx.now;
}

void
ph_store_record_failure (PhStoreJob *job, const PhError *err)
{
  PhStore *store = job->store;
  PhContext *ctx = &store->node->ctx;

  if (store->state.failing_since == 0)
    {
      store->state.failing_since = ctx->now;
      ph_log_error (ctx, PH_LOG_WARNING, err);
    }
  store->state.failures++;
  snprintf (store->state.last_error, sizeof store->state.last_error, "%s", err->text);
  back_off (job);
}

static void
record_success (PhStoreJob *job)
{
  PhStore *store = job->store;
  PhContext *ctx = &store->node->ctx;

  if (store->state.failing_since != 0)
    ph_log (ctx, PH_LOG_INFO, PH_STEP_STORE_READ, NULL,
            "the store responds again after failing for %lld s",
            (long long)((ctx->now - store->state.failing_since) / PH_SECOND));
  store->state.failing_since = 0;
  store->state.last_success_at = ctx->now;
  reset_backoff (job);
}

static void
on_head (void *user, PhTransferId id, int status)
{
  PhStoreJob *job = user;

  (void)id;
  job->http_status = status;
}

/* Reads the era of a response. A response without one, as an error of a proxy, is of the known era
 * if the store sends eras. Returns false with err set when the field is invalid. */
static bool
read_era (PhStoreJob *job, PhTransferId id, uint64_t *era, PhError *err)
{
  PhStore *store = job->store;
  const char *text = store->transport.field (store->node->fetch, id, store->dialect->era_field);
  char *end;

  *era = store->has_era ? store->node->world->store_era : 0;
  if (text == NULL || text[0] == '\0')
    return true;
  *era = strtoull (text, &end, 10);
  if (text[0] < '0' || text[0] > '9' || *end != '\0' || *era > PH_REVISION_ERA_MAX)
    return ph_error_set (err, PH_ERROR_PROTOCOL, PH_STEP_STORE_READ, store->node->settings.store,
                         "%s: the era of the store is invalid: %.20s", job->path, text);
  store->has_era = true;
  return true;
}

/* Whether a response is not used: it is of an earlier era, or continues what was read in one. */
static bool
is_outdated (const PhStoreJob *job, uint64_t era)
{
  bool continues = job->call.action == PH_STORE_WATCH
                   || (job->call.action == PH_STORE_LIST && job->list_after_path[0] != '\0');

  return era < job->store->node->world->store_era || (continues && job->started_era < era);
}

/* Skips a response that is not used. The next call of the job reads the store again. */
static void
skip_response (PhStoreJob *job)
{
  PhStore *store = job->store;
  PhContext *ctx = &store->node->ctx;

  ph_log (ctx, PH_LOG_INFO, PH_STEP_STORE_READ, store->node->settings.store,
          "%s: a response from before the store's era %llu is ignored", job->path,
          (unsigned long long)store->node->world->store_era);
  ph_store_restart_list (
      job, ctx->now + ph_random_below (&ctx->random, (uint32_t)PH_STORE_ERA_LIST_SPREAD));
  if (job->kind == PH_STORE_JOB_PUBLISH)
    store->is_contact_read = false;
}

/* Destination of the objects of a response. */
typedef struct
{
  PhStoreJob *job;
  uint64_t era;
} EntryTarget;

static void
pass_entry (void *user, const char *path, uint64_t revision, const char *text, size_t size)
{
  const EntryTarget *target = user;
  PhStoreEntryFunc entry = ph_store_job_funcs (target->job)->entry;

  if (target->era != 0 && revision > PH_REVISION_NUMBER_MAX)
    return;
  if (entry != NULL)
    entry (target->job, path, ph_revision_make (target->era, revision), text, size);
}

/* Decodes a response and passes it to the job. */
static bool
read_response (PhStoreJob *job, PhTransferId id, PhError *err)
{
  PhStore *store = job->store;
  const PhStoreDialect *dialect = store->dialect;
  PhStoreResponse response = { .http_status = job->http_status };
  EntryTarget target = { .job = job };
  PhStoreResult result;

  if (!read_era (job, id, &target.era, err))
    return false;
  ph_config_learn_era (&store->node->ctx, store->node->world, target.era);
  if (is_outdated (job, target.era))
    {
      skip_response (job);
      return true;
    }

  response.body = store->transport.body (store->node->fetch, id, &response.size);
  if (response.body == NULL)
    response.body = "";
  response.revision_field = store->transport.field (store->node->fetch, id, "Revision");
  if (!dialect->decode (dialect->user, &job->call, &response, pass_entry, &target, &result, err))
    return false;
  if (target.era != 0 && result.revision > PH_REVISION_NUMBER_MAX)
    return ph_error_set (err, PH_ERROR_PROTOCOL, PH_STEP_STORE_READ, store->node->settings.store,
                         "%s: revision %llu is too high", job->path,
                         (unsigned long long)result.revision);
  result.revision = ph_revision_make (target.era, result.revision);
  if (result.skipped_count > 0)
    ph_log (&store->node->ctx, PH_LOG_WARNING, PH_STEP_STORE_READ, store->node->settings.store,
            "%s: %u objects without a valid path and revision are skipped", job->call.path,
            result.skipped_count);
  return ph_store_job_funcs (job)->finish (job, &result, err);
}

static void
on_done (void *user, PhTransferId id, const PhTransferResult *result)
{
  PhStoreJob *job = user;
  PhStore *store = job->store;
  PhError err = { 0 };
  bool is_ok;

  if (!result->is_ok)
    is_ok = ph_error_set (&err, PH_ERROR_IO, PH_STEP_STORE_READ, store->node->settings.store, "%s",
                          result->text);
  else
    is_ok = read_response (job, id, &err);
  if (is_ok)
    record_success (job);
  else
    ph_store_record_failure (job, &err);
  store->transport.drop (store->node->fetch, id);
  job->transfer_id = (PhTransferId){ 0 };
}

static PhStep
action_step (PhStoreAction action)
{
  if (action == PH_STORE_WATCH)
    return PH_STEP_STORE_WATCH;
  return action == PH_STORE_LIST || action == PH_STORE_GET ? PH_STEP_STORE_READ
                                                           : PH_STEP_STORE_WRITE;
}

/* Starts a call of a job. What call points to has to stay valid only until this returns. */
bool
ph_store_start_call (PhStoreJob *job, const PhStoreCall *call, PhTime timeout, PhError *err)
{
  PhStore *store = job->store;
  const PhStoreDialect *dialect = store->dialect;
  PhStoreCall encoded = *call;
  PhStoreRequest request;
  char url[URL_SIZE];
  const char *fields[] = { NULL, NULL };
  PhTransferOptions opts = { .url = url,
                             .fields = fields,
                             .timeout = timeout,
                             .is_body_collected = true,
                             .has_own_connection = true,
                             .body_limit = BODY_BYTES_MAX,
                             .funcs = { .head = on_head, .done = on_done },
                             .user = job };

  ph_text_copy (job->path, sizeof job->path, call->path);
  if (store->has_era)
    encoded.revision = ph_revision_number (call->revision);
  if (!dialect->encode (dialect->user, &encoded, &request, err))
    return false;
  job->call = *call;
  job->call.path = job->path;
  job->call.after_path = job->call.text = NULL;
  job->call.move = NULL;
  snprintf (url, sizeof url, "%s%s", store->node->settings.store, request.target);
  if (request.field[0] != '\0')
    fields[0] = request.field;
  opts.method = request.method;
  opts.body = request.body;
  opts.body_size = request.body != NULL ? (int64_t)strlen (request.body) : PH_BODY_NONE;
  job->http_status = 0;
  job->started_at = store->node->ctx.now;
  job->started_era = store->node->world->store_era;
  store->state.calls++;
  ph_log (&store->node->ctx, PH_LOG_DEBUG, action_step (call->action), store->node->settings.store,
          "%s %s", request.method, request.target);
  job->transfer_id = store->transport.start (store->node->fetch, &opts, err);
  free (request.body);
  return job->transfer_id.v != 0;
}

/* Takes one token from the bucket of store calls. Returns false when it is empty. */
bool
ph_store_consume_token (PhStore *store)
{
  PhTime now = store->node->ctx.now;
  PhTime full_bucket_empty_at = now - TOKEN_CAPACITY * PH_STORE_TOKEN_INTERVAL;

  if (store->bucket_empty_at < full_bucket_empty_at)
    store->bucket_empty_at = full_bucket_empty_at;
  if (store->bucket_empty_at + PH_STORE_TOKEN_INTERVAL > now)
    return false;
  store->bucket_empty_at += PH_STORE_TOKEN_INTERVAL;
  return true;
}

/* Whether a failing job is the next one to be retried. */
bool
ph_store_is_next_retry (const PhStoreJob *job)
{
  PhStore *store = job->store;

  if (store->retrying_job != NULL)
    return false;
  for (uint32_t i = 0; i < PH_STORE_JOB_COUNT; i++)
    {
      PhStoreJob *other = &store->jobs[(store->next_retry_index + i) % PH_STORE_JOB_COUNT];

      if (other->is_failing && other->transfer_id.v == 0
          && ph_store_job_funcs (other)->is_needed (other))
        return other == job;
    }
  return false;
}

void
ph_store_cancel_transfer (PhStoreJob *job)
{
  PhStore *store = job->store;

  store->transport.drop (store->node->fetch, job->transfer_id);
  job->transfer_id = (PhTransferId){ 0 };
  if (store->retrying_job == job)
    store->retrying_job = NULL;
}
