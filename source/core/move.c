#include "pollenhitch/move.h"

#include <stdio.h>
#include <string.h>

#include "core/move_parts.h"
#include "pollenhitch/event.h"
#include "pollenhitch/gossip.h"
#include "pollenhitch/revision.h"

/* Time between the end of a move, as a node sees it, and the write of its final status: a bad flag
 * that another node has set arrives within this time. */
#define FINAL_STATUS_DELAY (2 * PH_SECOND)
#define FINAL_STATUS_DELAY_SHORT (300 * PH_MS) /* of a move with a duration */

/* The upstreams show the result of a move that no node remembers, once all are known: after a
 * restart of all nodes they register within a few seconds. The status is written a second later. */
#define RESULT_SEARCH_TIME (4 * PH_SECOND)
#define RESULT_STATUS_DELAY (5 * PH_SECOND)

/* Fraction of the duration after which an open move is rolled back. It is later than the end of the
 * last stage at a node that is not an evaluator, and leaves time to write the report. */
#define DURATION_USABLE 0.97

static const char *const reason_names[] = { "none", "failures", "slow", "deadline", "cancelled" };

const char *
ph_move_reason_name (PhMoveReason reason)
{
  return reason_names[reason];
}

const char *
ph_move_outcome_name (PhMoveOutcome outcome)
{
  static const char *const names[] = { "open", "done", "taken-back" };

  return names[outcome];
}

uint32_t
ph_move_route_bucket (const char *method, const char *path)
{
  char key[PH_NAME_MAX];
  size_t length = path[0] == '/' ? 1 + strcspn (path + 1, "/?") : strcspn (path, "/?");

  snprintf (key, sizeof key, "%s %.*s", method, (int)length, path);
  return (uint32_t)(ph_hash (key) % PH_MOVE_ROUTE_BUCKETS);
}

static PhMoveId
find_move (const PhWorld *world, const char *path)
{
  PhMoveId id = { 0 };

  while ((id = ph_move_next (&world->moves, id)).v != 0)
    if (strcmp (ph_move_get (&world->moves, id)->path, path) == 0)
      break;
  return id;
}

/* Time between the end of a move and the write of its final status. That of a move with a duration
 * must be written within the duration. */
static PhTime
final_status_delay (const PhMove *move)
{
  return move->spec.duration != 0 ? FINAL_STATUS_DELAY_SHORT : FINAL_STATUS_DELAY;
}

/* Resets a move to the first stage at a revision, without evidence. */
static void
reset_move (const PhContext *ctx, PhWorld *world, PhMoveId id, uint64_t revision)
{
  PhMove *move = ph_move_get (&world->moves, id);
  PhMove fresh = { .path_hash = move->path_hash, .revision = revision, .stage_began_at = ctx->now };
  PhEvidenceId row_id = { 0 };

  fresh.is_gossip_queued = move->is_gossip_queued;
  fresh.sends_left = move->sends_left;
  /* A node that learned late of a move with a duration may have identified it by
   * created_revision, which can be lower than the revision that other nodes use (see
   * move_revision). A state that it receives then corrects the revision, and the object remains
   * valid. */
  if (move->has_object && move->spec.duration != 0)
    {
      fresh.has_object = true;
      fresh.spec = move->spec;
      fresh.learned_at = move->learned_at;
      fresh.object_revision = move->object_revision;
      fresh.is_open_status_written = move->is_open_status_written;
    }
  memcpy (fresh.path, move->path, sizeof fresh.path);
  *move = fresh;
  while ((row_id = ph_evidence_next (&world->evidence, row_id)).v != 0)
    if (ph_evidence_get (&world->evidence, row_id)->move.v == id.v)
      ph_evidence_remove (&world->evidence, row_id);
}

/* Finds or adds the row of a path, and resets it if it is at a lower revision. Returns NULL when
 * the row is at a higher revision, the table is full or the path is too long. */
static PhMove *
intern_move (PhContext *ctx, PhWorld *world, const char *path, uint64_t revision, PhMoveId *id)
{
  PhMove *move;

  *id = find_move (world, path);
  if (id->v == 0)
    {
      *id = ph_move_add (&world->moves, &move);
      if (id->v == 0 || !ph_text_copy (move->path, sizeof move->path, path))
        {
          ph_move_remove (&world->moves, *id);
          return NULL;
        }
      move->path_hash = ph_hash (path);
      ph_timer_add (&world->timers, ctx->now, PH_TIMER_MOVE, id->v);
    }
  move = ph_move_get (&world->moves, *id);
  if (revision > move->revision)
    reset_move (ctx, world, *id, revision);
  return revision == move->revision ? move : NULL;
}

/* Whether two revisions of an object request the same move with a duration, and differ only in its
 * reported status. */
static bool
is_same_move (const PhMoveSpec *a, const PhMoveSpec *b)
{
  return a->duration != 0 && a->duration == b->duration && strcmp (a->service, b->service) == 0
         && strcmp (a->to_version, b->to_version) == 0
         && a->created_revision == b->created_revision;
}

static bool
has_same_request (const PhMoveSpec *a, const PhMoveSpec *b)
{
  return a->duration == b->duration && a->start_us == b->start_us
         && a->deadline_us == b->deadline_us && strcmp (a->service, b->service) == 0
         && strcmp (a->from_version, b->from_version) == 0
         && strcmp (a->to_version, b->to_version) == 0 && (a->is_cancelled || !b->is_cancelled);
}

/* Whether an object of a later era of the store requests the move that is known. Its operator may
 * have written it again, which changes its creation, and a copy may lack its cancellation. */
static bool
is_rewritten_move (const PhMove *known, const PhObject *object)
{
  return known != NULL && known->has_object && !object->is_deleted
         && ph_revision_era (object->revision) > ph_revision_era (known->object_revision)
         && has_same_request (&known->spec, &object->spec.move);
}

/* The revision that identifies a move between nodes. On a platform that reports the status in the
 * object itself, each report raises the revision of the object, but the move remains the same. A
 * node that first sees the object with a report in it takes the revision of its creation: the nodes
 * that saw the object before the report use that one, unless the object was changed in between (see
 * reset_move).
 */
static uint64_t
move_revision (const PhWorld *world, const PhObject *object)
{
  const PhMoveSpec *spec = &object->spec.move;
  const PhMove *known = ph_move_get (&world->moves, find_move (world, object->path));

  if (is_rewritten_move (known, object))
    return known->revision;
  if (spec->duration == 0 || object->is_deleted)
    return object->revision;
  if (known != NULL && known->has_object && is_same_move (&known->spec, spec))
    return known->revision;
  return spec->has_reported_outcome && spec->created_revision != 0
                 && spec->created_revision < object->revision
             ? spec->created_revision
             : object->revision;
}

/* Sets the bad flag. The route bucket has a meaning for the reasons FAILURES and SLOW only. */
static void
set_bad (PhMove *move, PhMoveReason reason, uint32_t route_bucket)
{
  move->is_bad = true;
  move->reason = reason;
  move->route_bucket = route_bucket;
}

/* Sets the bad flag by the evidence of this node. */
void
ph_move_decide_bad (PhContext *ctx, PhMove *move, PhMoveReason reason, uint32_t route_bucket)
{
  set_bad (move, reason, route_bucket);
  ph_log (ctx, PH_LOG_WARNING, PH_STEP_MOVE, NULL,
          "%s: the move to version %s is taken back: %s in route bucket %u", move->path,
          move->spec.to_version, reason_names[reason], route_bucket);
}

/* Sets the bad flag as the store reports it. */
static void
apply_reported_rollback (PhContext *ctx, PhWorld *world, PhMoveId id)
{
  PhMove *move = ph_move_get (&world->moves, id);

  if (move->is_bad)
    return;
  /* The report does not say why; DEADLINE stands for a reason that is not known. */
  set_bad (move, PH_MOVE_REASON_DEADLINE, 0);
  ph_log (ctx, PH_LOG_INFO, PH_STEP_MOVE, NULL,
          "%s: the store has the end of the move to version %s: it was taken back", move->path,
          move->spec.to_version);
  ph_gossip_queue_move (ctx, world, id);
}

void
ph_move_apply_done (PhContext *ctx, PhWorld *world, PhMoveId id)
{
  PhMove *move = ph_move_get (&world->moves, id);
  PhMoveState done = ph_move_state (move);

  move->is_final_status_written = true;
  if (move->is_bad)
    ph_log (ctx, PH_LOG_WARNING, PH_STEP_MOVE, NULL,
            "%s: the store has the move to version %s as done: the verdict against it is dropped",
            move->path, move->spec.to_version);
  move->is_bad = false;
  move->reason = PH_MOVE_REASON_NONE;
  done.is_bad = false;
  done.stage = PH_MOVE_STAGES;
  ph_move_merge (ctx, world, &done);
  ph_timer_add (&world->timers, ctx->now, PH_TIMER_MOVE, id.v);
}

/* Applies the outcome that the object itself reports. */
static void
apply_reported_outcome (PhContext *ctx, PhWorld *world, PhMoveId id)
{
  PhMove *move = ph_move_get (&world->moves, id);

  if (!move->spec.has_reported_outcome)
    return;
  move->is_open_status_written = true;
  if (move->spec.reported_outcome == PH_MOVE_OPEN)
    return;
  move->is_final_status_written = true;
  if (move->spec.reported_outcome == PH_MOVE_ROLLED_BACK)
    {
      apply_reported_rollback (ctx, world, id);
      return;
    }
  ph_move_apply_done (ctx, world, id);
}

/* Takes over the object of a later era for a known move. The store may have lost its status, which
 * is then due again. */
static void
continue_move (PhMove *move, PhMoveSpec *spec)
{
  spec->is_cancelled = spec->is_cancelled || move->spec.is_cancelled;
  move->is_status_lost
      = move->is_status_lost || move->is_open_status_written || move->is_final_status_written;
  move->is_result_kept = move->is_result_kept || move->is_final_status_written;
  move->is_open_status_written = false;
  move->is_final_status_written = false;
}

/* Whether the deadline has passed. A duration is measured on the monotonic clock, because the wall
 * clock of a VM may jump, and only DURATION_USABLE of it counts. */
static bool
is_past_deadline (const PhContext *ctx, const PhMove *move)
{
  return move->spec.duration != 0
             ? ctx->now - move->learned_at >= DURATION_USABLE * move->spec.duration
             : ctx->wall_us >= move->spec.deadline_us;
}

/* Whether the result of a move is not known: this node learns the move after its deadline. In a
 * store without eras the status is not lost, and is read when it is to be written. */
static bool
has_unknown_result (const PhContext *ctx, const PhMove *move)
{
  return move->has_object && ph_revision_era (move->object_revision) != 0 && move->stage == 0
         && !move->is_bad && !move->spec.is_cancelled && is_past_deadline (ctx, move);
}

void
ph_move_config_changed (PhContext *ctx, PhWorld *world, const PhObject *object)
{
  PhMoveId id = find_move (world, object->path);
  bool is_rewritten = is_rewritten_move (ph_move_get (&world->moves, id), object);
  PhMove *move = intern_move (ctx, world, object->path, move_revision (world, object), &id);
  PhMoveSpec spec = object->spec.move;

  if (move == NULL)
    return;
  if (is_rewritten)
    continue_move (move, &spec);
  else if (!move->has_object || !is_same_move (&move->spec, &spec))
    {
      move->learned_at = ctx->now;
      move->is_open_status_written = false;
    }
  move->object_revision = object->revision;
  move->has_object = !object->is_deleted;
  move->spec = spec;
  move->final_status_at = ctx->now + final_status_delay (move);
  if (move->learned_at == ctx->now && has_unknown_result (ctx, move))
    {
      move->is_result_unknown = true;
      move->final_status_at = ctx->now + RESULT_STATUS_DELAY;
    }
  ph_timer_add (&world->timers, ctx->now, PH_TIMER_MOVE, id.v);
  if (move->has_object)
    apply_reported_outcome (ctx, world, id);
}

PhMoveState
ph_move_state (const PhMove *move)
{
  return (PhMoveState){ .path = move->path,
                        .revision = move->revision,
                        .stage = move->stage,
                        .reason = move->reason,
                        .route_bucket = move->route_bucket,
                        .is_bad = move->is_bad };
}

uint64_t
ph_move_digest (const PhWorld *world)
{
  PhMoveId id = { 0 };
  uint64_t digest = 0;

  while ((id = ph_move_next (&world->moves, id)).v != 0)
    {
      const PhMove *move = ph_move_get (&world->moves, id);
      uint64_t state = move->stage * 2 + (move->is_bad ? 1 : 0);

      if (state != 0)
        digest ^= ph_hash_mix (move->path_hash, ph_hash_mix (move->revision, state));
    }
  return digest;
}

void
ph_move_set_stage (PhContext *ctx, PhMove *move, uint32_t stage, uint32_t calls)
{
  move->stage = stage;
  move->stage_began_at = ctx->now;
  move->stage_calls = calls;
  ph_event_record (ctx, PH_EVENT_MOVE_STEP, NULL, move->path, stage);
}

/* Prepares a known move for a state or counts of a higher revision, after the store's era has
 * changed. A node that first saw the object in the new era identifies the move by a revision up to
 * that of the object here: this node then uses that revision too, and keeps the state. Returns
 * false when the revision is of an era of which this node has not yet read the object, so that it
 * cannot tell whether the move is the same. */
static bool
adopt_revision (PhContext *ctx, PhWorld *world, const char *path, uint64_t revision)
{
  PhMoveId id = find_move (world, path);
  PhMove *move = ph_move_get (&world->moves, id);

  if (move == NULL || !move->has_object || revision <= move->revision
      || ph_revision_era (revision > move->object_revision ? revision : move->object_revision) == 0)
    return true;
  if (revision > move->object_revision)
    return ph_revision_era (revision) == ph_revision_era (move->object_revision);
  move->revision = revision;
  ph_gossip_queue_move (ctx, world, id);
  return true;
}

PhMove *
ph_move_find_revision (
    PhContext *ctx, PhWorld *world, const char *path, uint64_t revision, PhMoveId *id)
{
  return adopt_revision (ctx, world, path, revision) ? intern_move (ctx, world, path, revision, id)
                                                     : NULL;
}

void
ph_move_merge (PhContext *ctx, PhWorld *world, const PhMoveState *state)
{
  PhMoveId id;
  PhMove *move;
  PhMoveCounts route_counts[PH_MOVE_ROUTE_BUCKETS];
  bool is_changed = false;

  move = ph_move_find_revision (ctx, world, state->path, state->revision, &id);
  if (move == NULL)
    return;
  if (state->stage > move->stage && state->stage <= PH_MOVE_STAGES)
    {
      ph_move_sum_evidence (world, id, true, route_counts);
      ph_move_set_stage (ctx, move, state->stage, ph_move_sum_calls (route_counts));
      is_changed = true;
    }
  /* The old upstreams stop when the store has the move as done: the verdict of a node that was cut
   * off does not undo it. */
  if (state->is_bad && !move->is_bad && state->reason < PH_MOVE_REASON_COUNT
      && !(move->stage == PH_MOVE_STAGES
           && (move->is_final_status_written || move->is_result_kept)))
    {
      set_bad (move, state->reason, state->route_bucket);
      ph_log (ctx, PH_LOG_INFO, PH_STEP_MOVE, NULL,
              "%s: the move to version %s was taken back by another node: %s in route bucket %u",
              move->path, move->spec.to_version, reason_names[state->reason], state->route_bucket);
      is_changed = true;
    }
  if (!is_changed)
    return;
  ph_gossip_queue_move (ctx, world, id);
  ph_timer_add (&world->timers, ctx->now, PH_TIMER_MOVE, id.v);
}

bool
ph_move_has_started (const PhContext *ctx, const PhMove *move)
{
  return move->spec.duration != 0 || ctx->wall_us >= move->spec.start_us;
}

bool
ph_move_is_running (const PhContext *ctx, const PhMove *move)
{
  PhMoveReason reason;

  return move->has_object && !move->is_waiting && ph_move_has_started (ctx, move)
         && ph_move_outcome (ctx, move, &reason) == PH_MOVE_OPEN;
}

PhMoveOutcome
ph_move_outcome (const PhContext *ctx, const PhMove *move, PhMoveReason *reason)
{
  *reason = PH_MOVE_REASON_NONE;
  if (move->is_bad)
    *reason = move->reason;
  else if (move->stage == PH_MOVE_STAGES)
    return PH_MOVE_DONE;
  else if (move->spec.is_cancelled)
    *reason = PH_MOVE_REASON_CANCELLED;
  else if (is_past_deadline (ctx, move))
    *reason = PH_MOVE_REASON_DEADLINE;
  return *reason == PH_MOVE_REASON_NONE ? PH_MOVE_OPEN : PH_MOVE_ROLLED_BACK;
}

/* Counts the upstreams of the move's service by version; those of other versions count as old ones
 * of a move from all versions. */
static void
count_upstreams (const PhWorld *world, const PhMove *move, uint32_t *new_count, uint32_t *old_count)
{
  PhUpstreamId id = { 0 };

  *new_count = *old_count = 0;
  while ((id = ph_upstream_next (&world->upstreams, id)).v != 0)
    {
      const PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);
      const PhService *service = ph_service_get (&world->services, upstream->service);

      if (service == NULL || strcmp (service->name, move->spec.service) != 0)
        continue;
      if (strcmp (upstream->version, move->spec.to_version) == 0)
        ++*new_count;
      else if (move->spec.from_version[0] == '\0'
               || strcmp (upstream->version, move->spec.from_version) == 0)
        ++*old_count;
    }
}

/* Whether a later move begins with the version that this one leads to. */
static bool
has_successor (const PhWorld *world, const PhMove *move)
{
  PhMoveId id = { 0 };

  while ((id = ph_move_next (&world->moves, id)).v != 0)
    {
      const PhMove *other = ph_move_get (&world->moves, id);

      if (other->has_object && other->spec.start_us >= move->spec.deadline_us
          && strcmp (other->spec.service, move->spec.service) == 0
          && strcmp (other->spec.from_version, move->spec.to_version) == 0)
        return true;
    }
  return false;
}

/* Decides a move whose final status was lost with the store and that no node remembers. A second
 * result that differs from the first one would send the calls to the other version: the old
 * version's upstreams stop when the move is reported as done, and the new one's when it is taken
 * back. */
static void
find_unknown_result (PhContext *ctx, PhWorld *world, PhMoveId id)
{
  PhMove *move = ph_move_get (&world->moves, id);
  PhMoveState done = ph_move_state (move);
  uint32_t new_count;
  uint32_t old_count;

  if (move->stage != 0 || move->is_bad || move->is_final_status_written)
    move->is_result_unknown = false;
  if (!move->is_result_unknown || ctx->now < move->learned_at + RESULT_SEARCH_TIME)
    return;
  move->is_result_unknown = false;
  count_upstreams (world, move, &new_count, &old_count);
  if (has_successor (world, move) || (new_count > 0 && old_count == 0))
    {
      done.stage = PH_MOVE_STAGES;
      ph_move_merge (ctx, world, &done);
      ph_log (ctx, PH_LOG_INFO, PH_STEP_MOVE, NULL,
              "%s: the store has lost the end of the move to version %s: it was done, as upstreams "
              "or a "
              "later move show",
              move->path, move->spec.to_version);
      return;
    }
  move->is_decided_again = new_count > 0 || old_count == 0;
  ph_log (ctx, PH_LOG_WARNING, PH_STEP_MOVE, NULL,
          "%s: the store has lost the end of the move to version %s: %s", move->path,
          move->spec.to_version,
          move->is_decided_again ? "nothing shows its result, and it is decided again as taken back"
                                 : "it was taken back, as the upstreams show");
}

void
ph_move_timer (PhContext *ctx, PhWorld *world, uint32_t handle)
{
  PhMoveId id = { handle };
  PhMove *move = ph_move_get (&world->moves, id);
  PhMoveReason reason;
  bool is_new;

  if (move == NULL || move->spec.service[0] == '\0')
    return;
  if (ph_move_is_running (ctx, move) && ph_move_is_local_participant (world, move, &is_new))
    {
      ph_move_observe_open_attempts (ctx, world, id);
      if (is_new)
        ph_move_evaluate (ctx, world, id);
      ph_move_send_evidence (ctx, world, id, is_new);
    }
  ph_move_update_traffic_share (ctx, world, move->spec.service);
  find_unknown_result (ctx, world, id);
  if (ph_move_outcome (ctx, move, &reason) == PH_MOVE_OPEN)
    move->final_status_at = ctx->now + final_status_delay (move);
  /* Keeps one periodic timer for each move; the function also runs when a state or an object
   * arrives. */
  if (move->has_object && ctx->now >= move->evaluated_at + PH_MOVE_EVALUATION_PERIOD)
    {
      move->evaluated_at = ctx->now;
      ph_timer_add (&world->timers, ctx->now + PH_MOVE_EVALUATION_PERIOD, PH_TIMER_MOVE, handle);
    }
}
