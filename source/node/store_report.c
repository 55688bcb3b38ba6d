#include "node/store_rows.h"
#include "pollenhitch/revision.h"

/* Status reports of moves. With a dialect that reports open moves all nodes report, in the order
 * of report_rank; otherwise only watchers do. */

/* Number of alive members, without suspected ones, that report this move before this node. */
static uint32_t
report_rank (const PhWorld *world, const PhMove *move)
{
  const PhMember *self = ph_member_get (&world->members, world->membership.self);
  uint64_t own_hash = ph_hash_mix (self->name_hash, move->path_hash);
  PhMemberId id = { 0 };
  uint32_t rank = 0;

  while ((id = ph_member_next (&world->members, id)).v != 0)
    {
      const PhMember *member = ph_member_get (&world->members, id);

      if (member->record.state == PH_MEMBER_ALIVE && !member->is_self
          && ph_hash_mix (member->name_hash, move->path_hash) > own_hash)
        rank++;
    }
  return rank;
}

/* Whether a status of the move is to be written now. */
static bool
needs_report (const PhStore *store, const PhMove *move)
{
  const PhContext *ctx = &store->node->ctx;
  PhMoveReason reason;
  PhMoveOutcome outcome = ph_move_outcome (ctx, move, &reason);

  /* Until the object is read in the store's new era, its revision for the write is not known. */
  if (!move->has_object || move->is_final_status_written
      || ph_revision_era (move->object_revision) < store->node->world->store_era)
    return false;
  if (outcome == PH_MOVE_OPEN)
    return store->dialect->reports_open_moves && !move->is_open_status_written && !move->is_waiting
           && ctx->now >= move->learned_at
                              + report_rank (store->node->world, move) * PH_STORE_REPORT_INTERVAL;
  return ctx->now >= move->final_status_at
                         + (store->dialect->reports_open_moves
                                ? report_rank (store->node->world, move) * PH_STORE_REPORT_INTERVAL
                                : 0);
}

static PhMoveId
find_move_to_report (const PhStore *store)
{
  const PhWorld *world = store->node->world;
  PhMoveId id = { 0 };

  while ((id = ph_move_next (&world->moves, id)).v != 0)
    if (needs_report (store, ph_move_get (&world->moves, id)))
      break;
  return id;
}

static bool
report_is_needed (PhStoreJob *job)
{
  PhStore *store = job->store;

  return (store->state.is_watcher || store->dialect->reports_open_moves)
         && ph_store_has_settled (store) && find_move_to_report (store).v != 0;
}

static bool
report_start (PhStoreJob *job, PhError *err)
{
  PhStore *store = job->store;
  PhMoveId id = find_move_to_report (store);
  const PhMove *move = ph_move_get (&store->node->world->moves, id);
  char path[PH_PATH_MAX];
  const PhObjectRow *row = ph_config_find (store->node->world, move->path);
  PhStoreCall call = { .path = path,
                       .text = row != NULL ? row->text : NULL,
                       .move = move,
                       .revision = move->object_revision };

  store->dialect->report_path (store->dialect->user, move, path);
  if (path[0] == '\0')
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_MOVE, NULL, "%s: invalid path of a move",
                         move->path);
  if (id.v != store->reported_move.v)
    store->is_write_unconfirmed = false;
  store->reported_move = id;
  store->is_report_decoded = false;
  call.outcome = ph_move_outcome (&store->node->ctx, move, &call.reason);
  call.action = store->is_write_unconfirmed ? PH_STORE_GET : PH_STORE_REPORT;
  store->is_write_unconfirmed = true;
  return ph_store_start_call (job, &call, PH_STORE_CALL_TIMEOUT, err);
}

static void
report_entry (void *user, const char *path, uint64_t revision, const char *text, size_t size)
{
  PhStoreJob *job = user;
  PhStore *store = job->store;
  const PhStoreDialect *dialect = store->dialect;
  PhMove *move = ph_move_get (&store->node->world->moves, store->reported_move);

  (void)path;
  if (move == NULL || text == NULL)
    return;
  if (revision > move->object_revision)
    move->object_revision = revision;
  store->is_report_decoded
      = dialect->read_report (dialect->user, text, size, move, &store->stored_outcome);
}

/* Applies the report in the store, which takes precedence over the outcome that this node knows. */
static void
apply_stored_report (PhStore *store, PhMove *move)
{
  PhNode *node = store->node;
  PhMoveState state = ph_move_state (move);

  move->is_final_status_written = true;
  if (store->stored_outcome == PH_MOVE_DONE)
    {
      ph_move_apply_done (&node->ctx, node->world, store->reported_move);
      return;
    }
  if (store->stored_outcome == PH_MOVE_ROLLED_BACK && !state.is_bad)
    {
      state.is_bad = true;
      /* The reason is not read from the report: DEADLINE stands for any that another node found. */
      state.reason = PH_MOVE_REASON_DEADLINE;
    }
  else if (store->stored_outcome == PH_MOVE_OPEN)
    ph_log (&node->ctx, PH_LOG_WARNING, PH_STEP_MOVE, NULL,
            "%s: the store holds the report of another revision of the move; the status of this "
            "one is not written",
            move->path);
  ph_move_merge (&node->ctx, node->world, &state);
}

static bool
report_finish (PhStoreJob *job, const PhStoreResult *result, PhError *err)
{
  PhStore *store = job->store;
  PhNode *node = store->node;
  PhMove *move = ph_move_get (&node->world->moves, store->reported_move);

  (void)err;
  if (result->status == PH_STORE_CONFLICT)
    return true; /* another node has written a report, which is read next */
  store->is_write_unconfirmed = false;
  if (move == NULL)
    return true;
  if (job->call.action == PH_STORE_GET)
    {
      if (store->is_report_decoded
          && (store->stored_outcome != PH_MOVE_OPEN || !store->dialect->reports_open_moves))
        apply_stored_report (store, move);
      else if (store->is_report_decoded)
        move->is_open_status_written = true;
      job->due_at = node->ctx.now + store->watch_interval;
      return true;
    }
  if (result->status != PH_STORE_OK)
    {
      job->due_at = node->ctx.now + PH_STORE_IDLE_INTERVAL;
      return true;
    }
  ph_log (&node->ctx, PH_LOG_INFO, PH_STEP_MOVE, NULL, "%s: wrote status %s to the store",
          move->path, ph_move_outcome_name (job->call.outcome));
  if (result->revision > move->object_revision)
    move->object_revision = result->revision;
  if (move->is_status_lost)
    ph_store_record_rewrite (store, move->path);
  move->is_status_lost = false;
  if (job->call.outcome == PH_MOVE_OPEN)
    move->is_open_status_written = true;
  else
    move->is_final_status_written = true;
  return true;
}

const PhStoreJobFuncs ph_store_report_funcs
    = { report_is_needed, report_start, report_entry, report_finish };

/* Whether the report of a known move needs the timer. That is so with a dialect that reports open
 * moves, where each node reports at a time that depends on its rank. */
bool
ph_store_has_unfinished_report (const PhStore *store)
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
