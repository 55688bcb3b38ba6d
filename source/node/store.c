#include "node/store.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONTACTS_PREFIX "/contacts/"
/* Not longer than stores keep their history. With 30 s against a history of 20 s, watches ended
 * with 410 whenever an object of another kind had changed meanwhile, and each needed a new list. */
#define WATCH_WAIT_MS 20000
#define WATCH_TIMEOUT (25 * PH_SECOND)
#define CALL_TIMEOUT (5 * PH_SECOND)
#define BODY_LIMIT (64u * 1024 * 1024)
#define URL_SIZE 768

/* Calls of one node: a burst, then this many a second. */
#define TOKENS_MAX 8
#define TOKEN_TIME (250 * PH_MS)

/* Least time to the next call after a list, or a watch that ended early, brought nothing new: a
 * store that answers from an older state would otherwise be called without a pause. */
#define IDLE_GAP PH_SECOND

/* Failing jobs of a node take turns, so that a node sends one call in each of these times. With 10
 * s from the start, watchers came back up to 13 s after an outage of 4.5 s. */
#define BACKOFF_MIN (250 * PH_MS)
#define BACKOFF_SHORT (2 * PH_SECOND)
#define BACKOFF_MAX (10 * PH_SECOND)
#define OUTAGE_SHORT (16 * PH_SECOND) /* after this, BACKOFF_MAX */

/* A node with seeds turns to the store when no seed has answered for this time, so that nodes that
 * start together do not all call the store. */
#define JOIN_TIME (2 * PH_SECOND)

/* Nodes that start together look for each other at random points of this time, so that most of them
 * find the contact object that the first one wrote. */
#define FIND_SPREAD (100 * PH_MS)
#define FIND_GAP_MIN (250 * PH_MS)
#define FIND_GAP_MAX (10 * PH_SECOND)

/* A node that found no other writes the contact object at a random point of this time, so that the
 * others of its data centre find the first one's. */
#define FIRST_PUBLISH_SPREAD (600 * PH_MS)

/* Time to hear of the other members after the first exchange, before this node takes itself for a
 * watcher; and after which a node that is alone reads the configuration itself. With 120 ms, 10 of
 * 11 nodes read all lists on a day that had 6 watchers. */
#define SETTLE_TIME (300 * PH_MS)

/* The same for the first node of a data centre by rank: after a loss of power all wait for it. */
#define SETTLE_TIME_FIRST (120 * PH_MS)
#define ALONE_TIME (2 * PH_SECOND)

/* Time for a change of the membership to spread before the rank is looked at again. */
#define RANK_GAP PH_SECOND

/* Least time between two updates of a contact object by one node. */
#define PUBLISH_GAP (10 * PH_SECOND)

/* Nodes report a move one after the other, by rank, unless they hear that another one has. */
#define REPORT_GAP (400 * PH_MS)

typedef enum
{
  JOB_FIND,    /* read the contact objects */
  JOB_PUBLISH, /* read own contact object, then update it */
  JOB_REPORT,  /* write how a move stands */
  JOB_WATCH,   /* list, then watch; one for each prefix of the configuration */
  JOB_COUNT = JOB_WATCH + PH_CONFIG_LISTS_MAX
} JobKind;

typedef struct Job Job;

typedef struct
{
  bool (*is_wanted) (Job *job);
  bool (*start) (Job *job, PhError *err);
  /* entry is called for each object of an answer, before finish. May be NULL. */
  PhStoreEntryFunc entry;
  bool (*finish) (Job *job, const PhStoreAnswer *answer, PhError *err);
} JobFuncs;

struct Job
{
  PhStore *store;
  JobKind kind;
  PhTransferId transfer;
  PhStoreCall call; /* the last one; its path is the buffer below */
  char path[PH_PATH_MAX];
  char after[PH_PATH_MAX]; /* WATCH: page of the list */
  PhTime started_at;
  PhTime due_at;
  bool is_failing; /* the last call failed */
  int status;
  bool is_listed;    /* WATCH */
  uint64_t revision; /* WATCH: the store's, as of the last answer */
};

struct PhStore
{
  PhNode *node;
  PhStoreState state;
  PhStoreTransport transport;
  const PhStoreDialect *dialect;
  uint32_t watchers;
  PhTime watch_gap;
  Job jobs[JOB_COUNT];
  Job *trial;    /* failing job whose call is open, or NULL */
  uint32_t turn; /* first failing job to be tried next */
  PhTime retry_at;
  PhTime backoff;
  ev_timer wake;
  PhTime started_at;
  PhTime tokens_at; /* when the bucket was, or will be, empty */
  PhTime find_gap;
  PhTime found_at;   /* end of the first look for other nodes, 0 before */
  PhTime publish_at; /* when a node that found no other writes the contact object, 0 before */
  PhTime joined_at;  /* when this node first saw that it has joined, 0 before */
  uint32_t ranked_version;
  PhTime rank_at;
  bool is_first;  /* by rank in the data centre */
  char *contacts; /* text that the contact object should have */
  char *published;
  uint64_t contact_revision; /* 0 when there is no object */
  bool is_contact_read;
  PhMoveId reported;      /* the move whose report is written or read back */
  bool is_report_unknown; /* a write may have taken effect: it is read back first */
  bool is_report_found;   /* the report that was read */
  PhMoveOutcome report;
};

static bool begin_call (Job *job, const PhStoreCall *call, PhTime timeout, PhError *err);

static const char *
own_data_centre (const PhStore *store)
{
  return store->node->settings.data_centre;
}

/* Whether this node has heard from another, or has waited long enough for it. */
static bool
has_joined (const PhStore *store)
{
  const PhWorld *world = store->node->world;

  return world->membership.is_joined || world->membership.seed_count == 0
         || store->node->ctx.now > store->started_at + JOIN_TIME;
}

static PhTime
settle_time (const PhStore *store)
{
  return store->is_first ? SETTLE_TIME_FIRST : SETTLE_TIME;
}

/* Whether this node knows the members well enough to tell whether it is a watcher, or is alone for
 * so long that it has to be. */
static bool
may_watch (const PhStore *store)
{
  PhTime now = store->node->ctx.now;

  if (store->joined_at != 0)
    return now >= store->joined_at + settle_time (store);
  return has_joined (store) && store->found_at != 0 && now >= store->started_at + ALONE_TIME;
}

/* Finding other nodes. */

/* Whether some data centre is known from which no member is. */
static bool
misses_data_centre (const PhStore *store)
{
  const PhWorld *world = store->node->world;
  PhDataCentreId id = { 0 };
  PhMemberId first;

  while ((id = ph_data_centre_next (&world->data_centres, id)).v != 0)
    if (ph_member_ranked (world, ph_data_centre_get (&world->data_centres, id)->name, &first, 1)
        == 0)
      return true;
  return false;
}

static bool
find_is_wanted (Job *job)
{
  PhStore *store = job->store;
  bool is_wanted = (store->node->world->membership.alive_count < 2
                    || (store->state.is_watcher && misses_data_centre (store)))
                   && has_joined (store);

  if (!is_wanted)
    store->find_gap = FIND_GAP_MIN;
  return is_wanted;
}

static bool
find_start (Job *job, PhError *err)
{
  /* Contacts change seldom; only a node that found nobody asks for the newest. */
  bool may_be_old = job->store->found_at == 0;

  return begin_call (job,
                     &(PhStoreCall){ .action = PH_STORE_LIST,
                                     .path = CONTACTS_PREFIX,
                                     .allows_stale = may_be_old },
                     CALL_TIMEOUT, err);
}

static bool
is_known_address (const PhWorld *world, const char *address, long port)
{
  PhMemberId id = { 0 };

  while ((id = ph_member_next (&world->members, id)).v != 0)
    {
      const PhMemberRecord *record = &ph_member_get (&world->members, id)->record;

      if (record->state < PH_MEMBER_DEAD && record->control_port == port
          && strcmp (record->address, address) == 0)
        return true;
    }
  return false;
}

/* Turns to the nodes of a contact object that are not known yet. Nodes that start together can find
 * each other in separate groups; each group learns of the other when it reads what that wrote. */
static void
seed_from_contact (PhStore *store, const json_t *object)
{
  PhNode *node = store->node;
  json_t *addresses = json_object_get (json_object_get (object, "spec"), "addresses");
  json_t *entry;
  size_t i;

  json_array_foreach (addresses, i, entry)
    {
      const char *text = json_string_value (entry);
      const char *colon = text != NULL ? strrchr (text, ':') : NULL;
      long port = colon != NULL ? strtol (colon + 1, NULL, 10) : 0;
      char address[PH_ADDRESS_MAX];

      if (port < 1 || port > UINT16_MAX || colon - text >= PH_ADDRESS_MAX)
        continue;
      snprintf (address, sizeof address, "%.*s", (int)(colon - text), text);
      if (is_known_address (node->world, address, port))
        continue;
      if (store->joined_at != 0)
        ph_log (&node->ctx, PH_LOG_INFO, PH_STEP_STORE_READ, text,
                "a contact object names a node that is not known here");
      ph_member_add_seed (&node->ctx, node->world, address, (uint16_t)port);
    }
}

static void
find_entry (void *user, const char *path, uint64_t revision, const char *text, size_t size)
{
  Job *job = user;
  json_t *object = text != NULL ? json_loadb (text, size, 0, NULL) : NULL;

  (void)path;
  (void)revision;
  seed_from_contact (job->store, object);
  json_decref (object);
}

static bool
find_finish (Job *job, const PhStoreAnswer *answer, PhError *err)
{
  PhStore *store = job->store;
  PhContext *ctx = &store->node->ctx;

  (void)answer;
  (void)err;
  if (store->found_at == 0)
    {
      store->found_at = ctx->now;
      store->publish_at = ctx->now + ph_random_below (&ctx->random, (uint32_t)FIRST_PUBLISH_SPREAD);
    }
  job->due_at
      = ctx->now + store->find_gap / 2 + ph_random_below (&ctx->random, (uint32_t)store->find_gap);
  if (store->find_gap < FIND_GAP_MAX)
    store->find_gap *= 2;
  return true;
}

/* Configuration. */

static const char *
prefix_of (const Job *job)
{
  return job->store->dialect->prefixes[job->kind - JOB_WATCH];
}

static bool
watch_is_wanted (Job *job)
{
  return prefix_of (job) != NULL && job->store->state.is_watcher && may_watch (job->store);
}

static bool
watch_start (Job *job, PhError *err)
{
  if (!job->is_listed)
    return begin_call (job,
                       &(PhStoreCall){ .action = PH_STORE_LIST,
                                       .path = prefix_of (job),
                                       .after_path = job->after },
                       CALL_TIMEOUT, err);
  return begin_call (job,
                     &(PhStoreCall){ .action = PH_STORE_WATCH,
                                     .path = prefix_of (job),
                                     .revision = job->revision,
                                     .wait_ms = WATCH_WAIT_MS },
                     WATCH_TIMEOUT, err);
}

static void
watch_entry (void *user, const char *path, uint64_t revision, const char *text, size_t size)
{
  Job *job = user;
  PhNode *node = job->store->node;
  PhError err = { 0 };

  if (strncmp (path, prefix_of (job), strlen (prefix_of (job))) != 0)
    return;
  ph_config_apply (&node->ctx, node->world, path, revision, text, size, &err);
  if (text != NULL)
    ph_config_mark_listed (node->world, path);
}

static void
end_list (Job *job, uint64_t revision)
{
  PhNode *node = job->store->node;

  job->after[0] = '\0';
  if (!ph_config_finish_list (&node->ctx, node->world, prefix_of (job), revision))
    ph_log (&node->ctx, PH_LOG_WARNING, PH_STEP_STORE_READ, NULL,
            "%s: the store is at revision %llu, older than what is in force here", prefix_of (job),
            (unsigned long long)revision);
  ph_log (&node->ctx, PH_LOG_INFO, PH_STEP_STORE_READ, NULL, "%s: list read at revision %llu",
          prefix_of (job), (unsigned long long)revision);
  job->is_listed = true;
}

static bool
watch_finish (Job *job, const PhStoreAnswer *answer, PhError *err)
{
  PhStore *store = job->store;
  PhNode *node = store->node;
  PhTime wait = (PhTime)WATCH_WAIT_MS * PH_MS;
  bool was_list = job->call.action == PH_STORE_LIST;
  bool is_new = answer->revision > job->revision;

  if (answer->status == PH_STORE_GONE)
    {
      job->is_listed = false;
      job->due_at = node->ctx.now + store->watch_gap;
      return true;
    }
  if (answer->status != PH_STORE_OK)
    return ph_error_set (err, PH_ERROR_PROTOCOL, PH_STEP_STORE_READ, NULL, "%s: no list",
                         prefix_of (job));
  if (was_list && answer->has_more)
    {
      ph_text_copy (job->after, sizeof job->after, answer->after);
      return true;
    }
  if (was_list)
    end_list (job, answer->revision);
  job->revision = answer->revision;
  if (answer->revision > store->state.revision)
    store->state.revision = answer->revision;
  job->due_at = node->ctx.now + store->watch_gap;
  if (!is_new && (was_list || node->ctx.now < job->started_at + wait / 2))
    job->due_at = node->ctx.now + IDLE_GAP;
  return true;
}

/* Contact object of the data centre. */

static bool
publish_is_wanted (Job *job)
{
  PhStore *store = job->store;

  bool is_due = store->joined_at != 0
                    ? may_watch (store)
                    : store->publish_at != 0 && store->node->ctx.now >= store->publish_at;

  return store->state.is_watcher && is_due && store->contacts != NULL
         && (store->published == NULL || strcmp (store->contacts, store->published) != 0);
}

static bool
publish_start (Job *job, PhError *err)
{
  PhStore *store = job->store;
  char path[PH_PATH_MAX];
  PhStoreCall call = { .path = path, .text = store->contacts, .revision = store->contact_revision };

  snprintf (path, sizeof path, CONTACTS_PREFIX "%s", own_data_centre (store));
  call.action = !store->is_contact_read        ? PH_STORE_GET
                : store->contact_revision != 0 ? PH_STORE_REPLACE
                                               : PH_STORE_CREATE;
  return begin_call (job, &call, CALL_TIMEOUT, err);
}

static void
set_published (PhStore *store, char *text)
{
  free (store->published);
  store->published = text;
}

static void
publish_entry (void *user, const char *path, uint64_t revision, const char *text, size_t size)
{
  Job *job = user;
  json_t *object = text != NULL ? json_loadb (text, size, 0, NULL) : NULL;

  (void)path;
  (void)revision;
  set_published (job->store,
                 object != NULL ? json_dumps (object, JSON_COMPACT | JSON_SORT_KEYS) : NULL);
  seed_from_contact (job->store, object);
  json_decref (object);
}

static bool
publish_finish (Job *job, const PhStoreAnswer *answer, PhError *err)
{
  PhStore *store = job->store;

  (void)err;
  if (job->call.action == PH_STORE_GET)
    {
      store->is_contact_read = true;
      store->contact_revision = answer->status == PH_STORE_OK ? answer->revision : 0;
      /* Another node was first: it is asked before its contact is replaced. */
      if (answer->status == PH_STORE_OK && store->joined_at == 0
          && store->node->ctx.now < store->started_at + ALONE_TIME)
        {
          store->is_contact_read = false;
          job->due_at = store->started_at + ALONE_TIME;
        }
      return true;
    }
  /* After a conflict the text of the other watcher is read before the next attempt. */
  store->is_contact_read = false;
  job->due_at = store->node->ctx.now + IDLE_GAP;
  if (answer->status == PH_STORE_OK)
    {
      job->due_at = store->node->ctx.now + PUBLISH_GAP;
      set_published (store, strdup (store->contacts));
    }
  return true;
}

/* Reports of moves. */

/* How many live members come before this node in reporting a move. */
static uint32_t
report_rank (const PhWorld *world, const PhMove *move)
{
  const PhMember *self = ph_member_get (&world->members, world->membership.self);
  uint64_t own = ph_hash_mix (self->name_hash, move->path_hash);
  PhMemberId id = { 0 };
  uint32_t rank = 0;

  while ((id = ph_member_next (&world->members, id)).v != 0)
    {
      const PhMember *member = ph_member_get (&world->members, id);

      if (member->record.state == PH_MEMBER_ALIVE && !member->is_self
          && ph_hash_mix (member->name_hash, move->path_hash) > own)
        rank++;
    }
  return rank;
}

static bool
needs_report (const PhStore *store, const PhMove *move)
{
  const PhContext *ctx = &store->node->ctx;
  PhMoveReason reason;
  PhMoveOutcome outcome = ph_move_outcome (ctx, move, &reason);

  if (!move->has_object || move->is_final_status_written)
    return false;
  if (outcome == PH_MOVE_OPEN)
    return store->dialect->reports_open_moves && !move->is_open_status_written && !move->is_waiting
           && ctx->now >= move->learned_at + report_rank (store->node->world, move) * REPORT_GAP;
  return ctx->now >= move->final_status_at
                         + (store->dialect->reports_open_moves
                                ? report_rank (store->node->world, move) * REPORT_GAP
                                : 0);
}

static PhMoveId
find_report (const PhStore *store)
{
  const PhWorld *world = store->node->world;
  PhMoveId id = { 0 };

  while ((id = ph_move_next (&world->moves, id)).v != 0)
    if (needs_report (store, ph_move_get (&world->moves, id)))
      break;
  return id;
}

static bool
report_is_wanted (Job *job)
{
  PhStore *store = job->store;

  return (store->state.is_watcher || store->dialect->reports_open_moves) && may_watch (store)
         && find_report (store).v != 0;
}

static bool
report_start (Job *job, PhError *err)
{
  PhStore *store = job->store;
  PhMoveId id = find_report (store);
  const PhMove *move = ph_move_get (&store->node->world->moves, id);
  char path[PH_PATH_MAX];
  PhStoreCall call = { .path = path, .move = move, .revision = move->object_revision };

  store->dialect->report_path (store->dialect->user, move, path);
  if (path[0] == '\0')
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_MOVE, NULL, "%s: not a path of a move",
                         move->path);
  if (id.v != store->reported.v)
    store->is_report_unknown = false;
  store->reported = id;
  store->is_report_found = false;
  call.outcome = ph_move_outcome (&store->node->ctx, move, &call.reason);
  call.action = store->is_report_unknown ? PH_STORE_GET : PH_STORE_REPORT;
  store->is_report_unknown = true;
  return begin_call (job, &call, CALL_TIMEOUT, err);
}

static void
report_entry (void *user, const char *path, uint64_t revision, const char *text, size_t size)
{
  Job *job = user;
  PhStore *store = job->store;
  const PhStoreDialect *dialect = store->dialect;
  PhMove *move = ph_move_get (&store->node->world->moves, store->reported);

  (void)path;
  if (move == NULL || text == NULL)
    return;
  if (revision > move->object_revision)
    move->object_revision = revision;
  store->is_report_found = dialect->read_report (dialect->user, text, size, move, &store->report);
}

/* The report in the store is the one that counts: takes it over where this node knew another. */
static void
take_report (PhStore *store, PhMove *move)
{
  PhNode *node = store->node;
  PhMoveState flag = ph_move_state (move);

  move->is_final_status_written = true;
  if (store->report == PH_MOVE_DONE)
    flag.stage = PH_MOVE_STAGES;
  else if (store->report == PH_MOVE_ROLLED_BACK && !flag.is_bad)
    {
      flag.is_bad = true;
      flag.reason = PH_MOVE_REASON_DEADLINE;
    }
  else if (store->report == PH_MOVE_OPEN)
    ph_log (&node->ctx, PH_LOG_WARNING, PH_STEP_MOVE, NULL,
            "%s: the store holds the report of another revision", move->path);
  ph_move_merge (&node->ctx, node->world, &flag);
}

static bool
report_finish (Job *job, const PhStoreAnswer *answer, PhError *err)
{
  PhStore *store = job->store;
  PhNode *node = store->node;
  PhMove *move = ph_move_get (&node->world->moves, store->reported);

  (void)err;
  if (answer->status == PH_STORE_CONFLICT)
    return true; /* another node was first: its report is read next */
  store->is_report_unknown = false;
  if (move == NULL)
    return true;
  if (job->call.action == PH_STORE_GET)
    {
      if (store->is_report_found
          && (store->report != PH_MOVE_OPEN || !store->dialect->reports_open_moves))
        take_report (store, move);
      else if (store->is_report_found)
        move->is_open_status_written = true;
      job->due_at = node->ctx.now + store->watch_gap;
      return true;
    }
  if (answer->status != PH_STORE_OK)
    {
      job->due_at = node->ctx.now + IDLE_GAP;
      return true;
    }
  ph_log (&node->ctx, PH_LOG_INFO, PH_STEP_MOVE, NULL, "%s: reported as %s", move->path,
          ph_move_outcome_name (job->call.outcome));
  if (answer->revision > move->object_revision)
    move->object_revision = answer->revision;
  if (job->call.outcome == PH_MOVE_OPEN)
    move->is_open_status_written = true;
  else
    move->is_final_status_written = true;
  return true;
}

static const JobFuncs job_funcs[] = {
  [JOB_FIND] = { find_is_wanted, find_start, find_entry, find_finish },
  [JOB_PUBLISH] = { publish_is_wanted, publish_start, publish_entry, publish_finish },
  [JOB_REPORT] = { report_is_wanted, report_start, report_entry, report_finish },
  [JOB_WATCH] = { watch_is_wanted, watch_start, watch_entry, watch_finish },
};

static const JobFuncs *
funcs_of (const Job *job)
{
  return &job_funcs[job->kind < JOB_WATCH ? job->kind : JOB_WATCH];
}

/* Waits longer after each failure in a row, at a random point of the interval. Jobs that fail
 * beside the one that is tried do not count: their calls were open when the store went away. */
static void
back_off (Job *job)
{
  PhStore *store = job->store;
  PhContext *ctx = &store->node->ctx;
  PhTime most = ctx->now - store->state.failing_since < OUTAGE_SHORT ? BACKOFF_SHORT : BACKOFF_MAX;

  job->is_failing = true;
  /* A list answers at once when the store is back, a watch only when something changes. */
  job->is_listed = false;
  job->after[0] = '\0';
  if (store->trial != job && store->backoff != 0)
    return;
  store->trial = NULL;
  store->backoff = store->backoff == 0 ? BACKOFF_MIN : store->backoff * 2;
  if (store->backoff > most)
    store->backoff = most;
  store->retry_at
      = ctx->now + store->backoff / 2 + ph_random_below (&ctx->random, (uint32_t)store->backoff);
}

/* The other failing jobs follow at once. */
static void
end_backoff (Job *job)
{
  PhStore *store = job->store;

  if (!job->is_failing)
    return;
  job->is_failing = false;
  if (store->trial == job)
    store->trial = NULL;
  store->backoff = 0;
  store->retry_at = store->node->ctx.now;
}

static void
note_failure (Job *job, const PhError *err)
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
note_success (Job *job)
{
  PhStore *store = job->store;
  PhContext *ctx = &store->node->ctx;

  if (store->state.failing_since != 0)
    ph_log (ctx, PH_LOG_INFO, PH_STEP_STORE_READ, NULL, "the store responds again after %lld s",
            (long long)((ctx->now - store->state.failing_since) / PH_SECOND));
  store->state.failing_since = 0;
  store->state.last_success_at = ctx->now;
  end_backoff (job);
}

static void
on_head (void *user, PhTransferId id, int status)
{
  Job *job = user;

  (void)id;
  job->status = status;
}

/* Reads a response and passes it to the job. */
static bool
take_response (Job *job, PhTransferId id, PhError *err)
{
  PhStore *store = job->store;
  const PhStoreDialect *dialect = store->dialect;
  PhStoreResponse response = { .status = job->status };
  PhStoreAnswer answer;

  response.body = store->transport.body (store->node->fetch, id, &response.size);
  if (response.body == NULL)
    response.body = "";
  response.revision_field = store->transport.field (store->node->fetch, id, "Revision");
  return dialect->decode (dialect->user, &job->call, &response, funcs_of (job)->entry, job, &answer,
                          err)
         && funcs_of (job)->finish (job, &answer, err);
}

static void
on_done (void *user, PhTransferId id, const PhTransferResult *result)
{
  Job *job = user;
  PhStore *store = job->store;
  PhError err = { 0 };
  bool is_ok;

  if (!result->is_ok)
    is_ok = ph_error_set (&err, PH_ERROR_IO, PH_STEP_STORE_READ, store->node->settings.store, "%s",
                          result->text);
  else
    is_ok = take_response (job, id, &err);
  if (is_ok)
    note_success (job);
  else
    note_failure (job, &err);
  store->transport.drop (store->node->fetch, id);
  job->transfer = (PhTransferId){ 0 };
}

static PhStep
step_of (PhStoreAction action)
{
  if (action == PH_STORE_WATCH)
    return PH_STEP_STORE_WATCH;
  return action == PH_STORE_LIST || action == PH_STORE_GET ? PH_STEP_STORE_READ
                                                           : PH_STEP_STORE_WRITE;
}

/* The text of the call is not used any more after this. */
static bool
begin_call (Job *job, const PhStoreCall *call, PhTime timeout, PhError *err)
{
  PhStore *store = job->store;
  const PhStoreDialect *dialect = store->dialect;
  PhStoreRequest request;
  char url[URL_SIZE];
  const char *fields[] = { NULL, NULL };
  PhTransferOptions opts = { .url = url,
                             .fields = fields,
                             .timeout = timeout,
                             .is_body_collected = true,
                             .body_limit = BODY_LIMIT,
                             .funcs = { .head = on_head, .done = on_done },
                             .user = job };

  ph_text_copy (job->path, sizeof job->path, call->path);
  if (!dialect->encode (dialect->user, call, &request, err))
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
  job->status = 0;
  job->started_at = store->node->ctx.now;
  store->state.calls++;
  ph_log (&store->node->ctx, PH_LOG_DEBUG, step_of (call->action), store->node->settings.store,
          "%s %s", request.method, request.target);
  job->transfer = store->transport.start (store->node->fetch, &opts, err);
  free (request.body);
  return job->transfer.v != 0;
}

/* Takes a token of this node's calls to the store. */
static bool
take_token (PhStore *store)
{
  PhTime now = store->node->ctx.now;
  PhTime full = now - TOKENS_MAX * TOKEN_TIME;

  if (store->tokens_at < full)
    store->tokens_at = full;
  if (store->tokens_at + TOKEN_TIME > now)
    return false;
  store->tokens_at += TOKEN_TIME;
  return true;
}

static char *
format_contacts (const PhStore *store, const PhMemberId *ids, uint32_t count)
{
  json_t *addresses = json_array ();
  json_t *object;
  char *text;

  for (uint32_t i = 0; i < count; i++)
    {
      const PhMemberRecord *record = &ph_member_get (&store->node->world->members, ids[i])->record;
      char address[PH_ADDRESS_MAX + 8];

      snprintf (address, sizeof address, "%s:%u", record->address, (unsigned)record->control_port);
      json_array_append_new (addresses, json_string (address));
    }
  object = json_pack ("{s:s, s:{s:s, s:o}}", "kind", "contacts", "spec", "data_centre",
                      own_data_centre (store), "addresses", addresses);
  text = json_dumps (object, JSON_COMPACT | JSON_SORT_KEYS);
  json_decref (object);
  return text;
}

/* Looks at the own rank, and at who should be in the contact object, after the membership changed.
 */
static void
update_rank (PhStore *store)
{
  PhNode *node = store->node;
  PhWorld *world = node->world;
  PhMemberId ids[PH_STORE_CONTACTS_MAX];
  uint32_t count;
  bool is_watcher = false;

  if (world->membership.is_joined && store->joined_at == 0)
    {
      store->joined_at = node->ctx.now;
      store->rank_at = store->joined_at + SETTLE_TIME_FIRST;
    }
  if (!has_joined (store) || node->ctx.now < store->rank_at
      || (store->contacts != NULL && store->ranked_version == world->membership.state_version))
    return;
  store->rank_at = node->ctx.now + RANK_GAP;
  store->ranked_version = world->membership.state_version;
  count = ph_member_ranked (world, own_data_centre (store), ids, PH_STORE_CONTACTS_MAX);
  store->is_first = count > 0 && ids[0].v == world->membership.self.v;
  for (uint32_t i = 0; i < count && i < store->watchers; i++)
    is_watcher = is_watcher || ids[i].v == world->membership.self.v;
  if (is_watcher != store->state.is_watcher)
    ph_log (&node->ctx, PH_LOG_INFO, PH_STEP_STORE_WATCH, NULL,
            is_watcher ? "watches the store" : "no longer watches the store");
  store->state.is_watcher = is_watcher;
  free (store->contacts);
  store->contacts = format_contacts (store, ids, count);
}

/* Whether it is the turn of a failing job. */
static bool
has_turn (const Job *job)
{
  PhStore *store = job->store;

  if (store->trial != NULL)
    return false;
  for (uint32_t i = 0; i < JOB_COUNT; i++)
    {
      Job *other = &store->jobs[(store->turn + i) % JOB_COUNT];

      if (other->is_failing && other->transfer.v == 0 && funcs_of (other)->is_wanted (other))
        return other == job;
    }
  return false;
}

static void
drop_transfer (Job *job)
{
  PhStore *store = job->store;

  store->transport.drop (store->node->fetch, job->transfer);
  job->transfer = (PhTransferId){ 0 };
  if (store->trial == job)
    store->trial = NULL;
}

/* Starts a job that is due. Returns when it has to be looked at again. */
static PhTime
run_job (Job *job, bool *has_worked)
{
  PhStore *store = job->store;
  const JobFuncs *funcs = funcs_of (job);
  PhTime now = store->node->ctx.now;
  PhError err = { 0 };

  if (!funcs->is_wanted (job))
    {
      if (job->kind >= JOB_WATCH && job->transfer.v != 0)
        drop_transfer (job);
      return PH_TIME_NEVER;
    }
  if (job->transfer.v != 0)
    return PH_TIME_NEVER;
  if (job->due_at > now)
    return job->due_at;
  if (job->is_failing && store->retry_at > now)
    return store->retry_at;
  if (job->is_failing && !has_turn (job))
    return PH_TIME_NEVER;
  if (!take_token (store))
    return store->tokens_at + TOKEN_TIME;
  *has_worked = true;
  if (job->is_failing)
    {
      store->trial = job;
      store->turn = (uint32_t)(job->kind + 1);
    }
  if (funcs->start (job, &err))
    return PH_TIME_NEVER;
  note_failure (job, &err);
  return store->retry_at;
}

/* Whether a move is known whose report is not written yet. */
static bool
has_open_report (const PhStore *store)
{
  const PhWorld *world = store->node->world;
  PhMoveId id = { 0 };

  if (!store->dialect->reports_open_moves)
    return false;
  while ((id = ph_move_next (&world->moves, id)).v != 0)
    {
      const PhMove *move = ph_move_get (&world->moves, id);

      if (move->has_object && !move->is_final_status_written)
        return true;
    }
  return false;
}

static void
plan_wake (PhStore *store, PhTime next)
{
  PhNode *node = store->node;
  PhTime now = node->ctx.now;

  if (!has_joined (store) && store->started_at + JOIN_TIME < next)
    next = store->started_at + JOIN_TIME + PH_MS;
  if (store->joined_at == 0 && store->publish_at > now && store->publish_at < next)
    next = store->publish_at;
  if (!may_watch (store))
    {
      PhTime at = store->joined_at != 0 ? store->joined_at + settle_time (store)
                                        : store->started_at + ALONE_TIME;

      next = at > now && at < next ? at : next;
    }
  if (has_open_report (store) && now + REPORT_GAP < next)
    next = now + REPORT_GAP;
  if (store->ranked_version != node->world->membership.state_version && store->rank_at < next)
    next = store->rank_at;
  ev_timer_stop (node->loop, &store->wake);
  if (next == PH_TIME_NEVER)
    return;
  ev_timer_set (&store->wake, next > now ? (double)(next - now) / PH_SECOND : 0, 0);
  ev_timer_start (node->loop, &store->wake);
}

bool
ph_store_system (PhStore *store)
{
  bool has_worked = false;
  PhTime next = PH_TIME_NEVER;

  if (!store->state.is_configured)
    return false;
  update_rank (store);
  for (int i = 0; i < JOB_COUNT; i++)
    {
      PhTime at = run_job (&store->jobs[i], &has_worked);

      next = at < next ? at : next;
    }
  plan_wake (store, next);
  return has_worked;
}

/* Only ends the sleep of the loop. */
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
  static const PhStoreTransport fetch
      = { ph_fetch_start, ph_fetch_drop, ph_fetch_body, ph_fetch_field };
  PhStore *store = calloc (1, sizeof *store);

  if (store == NULL)
    {
      ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_SETTINGS, NULL, "no memory");
      return NULL;
    }
  store->node = node;
  store->transport = opts->transport != NULL ? *opts->transport : fetch;
  store->dialect = opts->dialect != NULL ? opts->dialect : ph_store_dialect_native ();
  store->watchers = opts->watcher_count != 0 ? opts->watcher_count : PH_STORE_WATCHERS;
  store->watch_gap = opts->watch_interval;
  store->find_gap = FIND_GAP_MIN;
  store->started_at = node->ctx.now;
  store->state.is_configured = node->settings.store[0] != '\0';
  for (int i = 0; i < JOB_COUNT; i++)
    store->jobs[i] = (Job){ .store = store, .kind = (JobKind)i };
  store->jobs[JOB_FIND].due_at
      = node->ctx.now + ph_random_below (&node->ctx.random, (uint32_t)FIND_SPREAD);
  ev_timer_init (&store->wake, on_wake, 0, 0);
  return store;
}

void
ph_store_drop (PhStore *store)
{
  if (store == NULL)
    return;
  ev_timer_stop (store->node->loop, &store->wake);
  for (int i = 0; i < JOB_COUNT; i++)
    store->transport.drop (store->node->fetch, store->jobs[i].transfer);
  free (store->contacts);
  free (store->published);
  free (store);
}

const PhStoreState *
ph_store_state (const PhStore *store)
{
  return &store->state;
}
