#include "pollenhitch/move.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "pollenhitch/event.h"
#include "pollenhitch/gossip.h"
#include "pollenhitch/world.h"

/* A watcher writes the verdict this long after it knows of it, so that a flag from elsewhere comes
 * first. */
#define VERDICT_GAP (2 * PH_SECOND)

#define VERDICT_GAP_SHORT (300 * PH_MS)

#define LOOK (100 * PH_MS)

/* Slow calls of one node and route within this time have one cause. */
#define BURST (100 * PH_MS)
#define SEND_GAP PH_SECOND
#define SEND_GAP_SHORT (400 * PH_MS) /* of a move with a duration */

/* Nodes beside the new version to which all others send their counts, chosen by rank, so that some
 * node sees all evidence however many there are; one more at random stands in for them. */
#define JUDGES 2

/* A node that is no judge raises the stage when it is late by this part of the duration. */
#define JUDGE_LATE 0.04

/* A gap between two looks after which this node was paused: what it knows is old, so that it starts
 * the stage anew before it raises it. */
#define PAUSE PH_SECOND

/* A stage lasts at least this part of the time between start and deadline, so that a good version
 * has gone through the stages in 8 of 10 parts. */
#define STAGE_PARTS 10

/* Calls of the new version that a stage needs. With fewer than 41 calls without a failure the test
 * does not tell 1% of failures from 8%. */
#define STAGE_CALLS 50

/* The new version had no call although so many were to be expected: by chance in exp (-5) = 0.7% of
 * moves. Its upstreams get none, or their counts do not arrive, and the stage goes on. */
#define CALLS_MISSED 5.0

/* The sum of log likelihood ratios at which a version is bad. A test raises a false alarm after
 * exp (16) = 9 million calls on average or later (Lorden 1971). */
#define ALARM 16.0

/* A sum above the alarm divided by this, two failures or so, is told to the judges at once. */
#define DOUBT_PART 8

/* Failures of the old version that are believed before any call was counted: 1 in 20. */
#define PRIOR_CALLS 20.0
#define CONTROL_MIN 50 /* calls of the old version that a limit of response times needs */

static const double shares[PH_MOVE_STAGES] = { 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.5, 0.75 };
/* Upper bounds of the classes of response time but the last. A factor of two where the calls of the
 * deployments lie: with four, calls that are slowed eightfold and calls on a busy VM fall into one
 * class. */
static const PhTime class_limits[PH_MOVE_LATENCY_BUCKETS - 1]
    = { 2 * PH_MS, 8 * PH_MS, 32 * PH_MS, 128 * PH_MS, 256 * PH_MS, 512 * PH_MS, 1024 * PH_MS };

/* Shares of a move with a duration, and the part of the duration after which each ends. A platform
 * bounds the calls that a bad version may get to a tenth of all, and a good one must have all calls
 * in time, so that most of the time goes to a small share and the steps after it are short. All
 * calls go to the new version for a tenth of the time before the move is reported as done: the old
 * upstreams stop at the report, and their calls must have ended. */
#define ORDER_STAGES 5

static const struct
{
  double share;
  double until;
} order_stages[ORDER_STAGES]
    = { { 0.03, 0.5 }, { 0.1, 0.53 }, { 0.25, 0.56 }, { 0.5, 0.59 }, { 1, 0.85 } };

/* Part of the duration after which an open move is taken back: after the last stage of a node that
 * is no judge, and so that the report is written within the duration. */
#define ORDER_END 0.93

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

/* Time between the end of a move and its report. A move with a duration is to be reported within
 * it. */
static PhTime
verdict_gap (const PhMove *move)
{
  return move->spec.duration != 0 ? VERDICT_GAP_SHORT : VERDICT_GAP;
}

/* Starts a move anew at a revision. */
static void
reset_move (const PhContext *ctx, PhWorld *world, PhMoveId id, uint64_t revision)
{
  PhMove *move = ph_move_get (&world->moves, id);
  PhMove fresh = { .path_hash = move->path_hash, .revision = revision, .stage_began_at = ctx->now };
  PhEvidenceId at = { 0 };

  fresh.is_gossip_queued = move->is_gossip_queued;
  fresh.sends_left = move->sends_left;
  /* A node that learned of a move with a duration late may take an earlier revision for its order;
   * a flag of the right one then corrects it, and the object still holds. */
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
  while ((at = ph_evidence_next (&world->evidence, at)).v != 0)
    if (ph_evidence_get (&world->evidence, at)->move.v == id.v)
      ph_evidence_remove (&world->evidence, at);
}

/* The row of a path at a revision; NULL when the row is of a later one or the table is full. */
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

/* Whether two revisions of an object order the same move: only what is reported of it differs. */
static bool
is_same_order (const PhMoveSpec *a, const PhMoveSpec *b)
{
  return a->duration != 0 && a->duration == b->duration && strcmp (a->service, b->service) == 0
         && strcmp (a->to_version, b->to_version) == 0
         && a->created_revision == b->created_revision;
}

/* The revision that stands for the order of a move. On a platform that reports in the object
 * itself, its revision rises with each report. */
static uint64_t
order_revision (const PhWorld *world, const PhObject *object)
{
  const PhMoveSpec *spec = &object->spec.move;
  const PhMove *known = ph_move_get (&world->moves, find_move (world, object->path));

  if (spec->duration == 0 || object->is_deleted)
    return object->revision;
  if (known != NULL && known->has_object && is_same_order (&known->spec, spec))
    return known->revision;
  return spec->has_reported_outcome && spec->created_revision != 0
                 && spec->created_revision < object->revision
             ? spec->created_revision
             : object->revision;
}

/* Takes over what the object itself says of how the move stands. */
static void
take_reported (PhContext *ctx, PhWorld *world, PhMoveId id)
{
  PhMove *move = ph_move_get (&world->moves, id);
  PhMoveState flag = ph_move_state (move);

  if (!move->spec.has_reported_outcome)
    return;
  move->is_open_status_written = true;
  if (move->spec.reported_outcome == PH_MOVE_OPEN)
    return;
  move->is_final_status_written = true;
  if (move->spec.reported_outcome == PH_MOVE_DONE)
    flag.stage = PH_MOVE_STAGES;
  else
    {
      flag.is_bad = true;
      flag.reason = move->is_bad ? move->reason : PH_MOVE_REASON_DEADLINE;
    }
  ph_move_merge (ctx, world, &flag);
}

void
ph_move_config_changed (PhContext *ctx, PhWorld *world, const PhObject *object)
{
  PhMoveId id;
  PhMove *move = intern_move (ctx, world, object->path, order_revision (world, object), &id);

  if (move == NULL)
    return;
  if (!move->has_object || !is_same_order (&move->spec, &object->spec.move))
    {
      move->learned_at = ctx->now;
      move->is_open_status_written = false;
    }
  move->object_revision = object->revision;
  move->has_object = !object->is_deleted;
  move->spec = object->spec.move;
  move->final_status_at = ctx->now + verdict_gap (move);
  ph_timer_add (&world->timers, ctx->now, PH_TIMER_MOVE, id.v);
  if (move->has_object)
    take_reported (ctx, world, id);
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

static void
set_stage (PhContext *ctx, PhMove *move, uint32_t stage, uint32_t calls)
{
  move->stage = stage;
  move->stage_began_at = ctx->now;
  move->stage_calls = calls;
  ph_event_record (ctx, PH_EVENT_MOVE_STEP, NULL, move->path, stage);
}

static void
set_bad (PhContext *ctx, PhMove *move, PhMoveReason reason, uint32_t route)
{
  move->is_bad = true;
  move->reason = reason;
  move->route_bucket = route;
  ph_log (ctx, PH_LOG_WARNING, PH_STEP_MOVE, NULL, "%s: version %s is bad: %s on route %u",
          move->path, move->spec.to_version, reason_names[reason], route);
}

/* Counts known here of one side of a move. */
static void
sum_evidence (const PhWorld *world, PhMoveId id, bool is_new, PhMoveCounts *routes)
{
  PhEvidenceId at = { 0 };

  memset (routes, 0, PH_MOVE_ROUTE_BUCKETS * sizeof *routes);
  while ((at = ph_evidence_next (&world->evidence, at)).v != 0)
    {
      const PhEvidence *row = ph_evidence_get (&world->evidence, at);

      if (row->move.v != id.v || row->is_new_version != is_new)
        continue;
      for (uint32_t i = 0; i < PH_MOVE_ROUTE_BUCKETS; i++)
        {
          routes[i].calls += row->route_counts[i].calls;
          routes[i].failures += row->route_counts[i].failures;
          for (uint32_t t = 0; t < PH_MOVE_LATENCY_BUCKETS; t++)
            routes[i].latency_buckets[t] += row->route_counts[i].latency_buckets[t];
        }
    }
}

static uint32_t
sum_calls (const PhMoveCounts *routes)
{
  uint32_t calls = 0;

  for (uint32_t i = 0; i < PH_MOVE_ROUTE_BUCKETS; i++)
    calls += routes[i].calls;
  return calls;
}

void
ph_move_merge (PhContext *ctx, PhWorld *world, const PhMoveState *state)
{
  PhMoveId id;
  PhMove *move = intern_move (ctx, world, state->path, state->revision, &id);
  PhMoveCounts routes[PH_MOVE_ROUTE_BUCKETS];
  bool is_changed = false;

  if (move == NULL)
    return;
  if (state->stage > move->stage && state->stage <= PH_MOVE_STAGES)
    {
      sum_evidence (world, id, true, routes);
      set_stage (ctx, move, state->stage, sum_calls (routes));
      is_changed = true;
    }
  if (state->is_bad && !move->is_bad && state->reason < PH_MOVE_REASON_COUNT)
    {
      set_bad (ctx, move, state->reason, state->route_bucket);
      is_changed = true;
    }
  if (!is_changed)
    return;
  ph_gossip_queue_move (ctx, world, id);
  ph_timer_add (&world->timers, ctx->now, PH_TIMER_MOVE, id.v);
}

static PhEvidenceId
intern_evidence (PhWorld *world, PhMoveId move, uint64_t node, uint64_t epoch, bool is_new)
{
  PhEvidenceId id = { 0 };
  PhEvidence *row;

  while ((id = ph_evidence_next (&world->evidence, id)).v != 0)
    {
      row = ph_evidence_get (&world->evidence, id);
      if (row->move.v == move.v && row->node_hash == node && row->epoch == epoch
          && row->is_new_version == is_new)
        return id;
    }
  id = ph_evidence_add (&world->evidence, &row);
  if (id.v == 0)
    return id;
  row->move = move;
  row->node_hash = node;
  row->epoch = epoch;
  row->is_new_version = is_new;
  return id;
}

static uint32_t
greater (uint32_t a, uint32_t b)
{
  return a > b ? a : b;
}

void
ph_move_merge_evidence (PhContext *ctx,
                        PhWorld *world,
                        PhMemberId sender,
                        const PhMoveEvidence *evidence)
{
  const PhMember *member = ph_member_get (&world->members, sender);
  PhMoveId id;
  PhEvidence *row;

  if (member == NULL || intern_move (ctx, world, evidence->path, evidence->revision, &id) == NULL)
    return;
  row = ph_evidence_get (&world->evidence,
                         intern_evidence (world, id, member->name_hash, member->record.epoch,
                                          evidence->is_new_version));
  if (row == NULL)
    return;
  for (uint32_t i = 0; i < PH_MOVE_ROUTE_BUCKETS; i++)
    {
      PhMoveCounts *own = &row->route_counts[i];
      const PhMoveCounts *other = &evidence->route_counts[i];

      own->calls = greater (own->calls, other->calls);
      own->failures = greater (own->failures, other->failures);
      for (uint32_t t = 0; t < PH_MOVE_LATENCY_BUCKETS; t++)
        own->latency_buckets[t] = greater (own->latency_buckets[t], other->latency_buckets[t]);
    }
}

/* Whether the local upstream is of the move's service and one of its versions. */
static bool
is_beside (const PhWorld *world, const PhMove *move, bool *is_new)
{
  const PhUpstream *own = ph_upstream_get (&world->upstreams, world->admission.upstream);
  const PhService *service = own != NULL ? ph_service_get (&world->services, own->service) : NULL;

  if (service == NULL || !move->has_object || strcmp (service->name, move->spec.service) != 0)
    return false;
  *is_new = strcmp (own->version, move->spec.to_version) == 0;
  return *is_new || move->spec.from_version[0] == '\0'
         || strcmp (own->version, move->spec.from_version) == 0;
}

static bool
has_started (const PhContext *ctx, const PhMove *move)
{
  return move->spec.duration != 0 || ctx->wall_us >= move->spec.start_us;
}

/* Whether the deadline has passed. A duration is measured on the monotonic clock: the wall clock of
 * a VM may jump. It ends early enough for the report. */
static bool
is_late (const PhContext *ctx, const PhMove *move)
{
  return move->spec.duration != 0 ? ctx->now - move->learned_at >= ORDER_END * move->spec.duration
                                  : ctx->wall_us >= move->spec.deadline_us;
}

static bool
is_running (const PhContext *ctx, const PhMove *move)
{
  PhMoveReason reason;

  return move->has_object && !move->is_waiting && has_started (ctx, move)
         && ph_move_outcome (ctx, move, &reason) == PH_MOVE_OPEN;
}

static uint32_t
time_class (PhTime time)
{
  uint32_t class = 0;

  while (class + 1 < PH_MOVE_LATENCY_BUCKETS && time >= class_limits[class])
    class ++;
  return class;
}

/* The class of most response times of a route. */
static uint32_t
common_class (const PhMoveCounts *counts)
{
  uint32_t common = 0;

  for (uint32_t t = 1; t < PH_MOVE_LATENCY_BUCKETS; t++)
    if (counts->latency_buckets[t] > counts->latency_buckets[common])
      common = t;
  return common;
}

/* Whether a call is one of several slow ones at the same time. A pause of the VM makes all calls in
 * flight slow; the test takes calls as independent and would count each of them. */
static bool
is_same_burst (PhMove *move, const PhMoveCounts *counts, uint32_t route, PhTime now, PhTime time)
{
  if (counts->calls == 0 || time_class (time) <= common_class (counts))
    return false;
  if (now - move->last_slow_call_at[route] < BURST)
    return true;
  move->last_slow_call_at[route] = now;
  return false;
}

/* This node's counts of a move; NULL when the table is full. */
static PhEvidence *
find_own (PhWorld *world, PhMoveId id, bool is_new)
{
  const PhMember *self = ph_member_get (&world->members, world->membership.self);
  PhMove *move = ph_move_get (&world->moves, id);
  PhEvidence *row = ph_evidence_get (&world->evidence, move->own_evidence);

  if (row != NULL && row->epoch == world->epoch && row->is_new_version == is_new)
    return row;
  move->own_evidence = intern_evidence (world, id, self->name_hash, world->epoch, is_new);
  return ph_evidence_get (&world->evidence, move->own_evidence);
}

void
ph_move_observe (
    PhContext *ctx, PhWorld *world, uint32_t route_bucket, PhTime latency, bool is_failure)
{
  const PhUpstream *own = ph_upstream_get (&world->upstreams, world->admission.upstream);
  PhMoveId id = { 0 };

  if (own == NULL || own->state != PH_UPSTREAM_READY)
    return;
  while ((id = ph_move_next (&world->moves, id)).v != 0)
    {
      PhMove *move = ph_move_get (&world->moves, id);
      PhEvidence *row;
      bool is_new;

      if (!is_beside (world, move, &is_new) || !is_running (ctx, move))
        continue;
      row = find_own (world, id, is_new);
      if (row == NULL
          || (!is_failure
              && is_same_burst (move, &row->route_counts[route_bucket], route_bucket, ctx->now,
                                latency)))
        continue;
      row->route_counts[route_bucket].calls++;
      row->route_counts[route_bucket].failures += is_failure ? 1 : 0;
      row->route_counts[route_bucket].latency_buckets[time_class (latency)]++;
    }
}

double
ph_move_share (const PhContext *ctx, const PhMove *move)
{
  PhMoveReason reason;
  PhMoveOutcome outcome = ph_move_outcome (ctx, move, &reason);

  if (!move->has_object || move->is_waiting || outcome == PH_MOVE_ROLLED_BACK
      || !has_started (ctx, move))
    return 0;
  if (outcome == PH_MOVE_DONE)
    return 1;
  return move->spec.duration != 0
             ? order_stages[move->stage < ORDER_STAGES ? move->stage : ORDER_STAGES - 1].share
             : shares[move->stage];
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
  else if (is_late (ctx, move))
    *reason = PH_MOVE_REASON_DEADLINE;
  return *reason == PH_MOVE_REASON_NONE ? PH_MOVE_OPEN : PH_MOVE_ROLLED_BACK;
}

/* Takes the calls since the last look into a test. Returns true when the version is bad. */
static bool
add_to_test (PhMoveCusum *test, uint32_t calls, uint32_t hits, double normal, double excess)
{
  double good = normal * 1.25 + 0.01;
  double bad = good * 3 + excess;
  uint32_t new_calls = calls > test->call_count ? calls - test->call_count : 0;
  uint32_t new_hits = hits > test->hit_count ? hits - test->hit_count : 0;

  good = good < 0.6 ? good : 0.6;
  bad = bad < 0.95 ? bad : 0.95;
  new_hits = new_hits < new_calls ? new_hits : new_calls;
  test->call_count = greater (test->call_count, calls);
  test->hit_count = greater (test->hit_count, hits);
  test->sum += new_hits * log (bad / good) + (new_calls - new_hits) * log ((1 - bad) / (1 - good));
  test->sum = test->sum > 0 ? test->sum : 0;
  return test->sum >= ALARM;
}

static uint32_t
count_above (const PhMoveCounts *counts, uint32_t class)
{
  uint32_t count = 0;

  for (uint32_t t = class + 1; t < PH_MOVE_LATENCY_BUCKETS; t++)
    count += counts->latency_buckets[t];
  return count;
}

/* The class that 9 in 10 calls of the old version do not exceed. */
static uint32_t
usual_class (const PhMoveCounts *control)
{
  uint32_t class = 0;

  while (class + 1 < PH_MOVE_LATENCY_BUCKETS && count_above (control, class) * 10 > control->calls)
    class ++;
  return class;
}

static void
judge_route (PhContext *ctx,
             PhMove *move,
             uint32_t route,
             const PhMoveCounts *control,
             const PhMoveCounts *counts)
{
  double known = control->calls + PRIOR_CALLS;
  uint32_t class;

  if (add_to_test (&move->failure_cusums[route], counts->calls, counts->failures,
                   (control->failures + 1) / known, 0.05))
    set_bad (ctx, move, PH_MOVE_REASON_FAILURES, route);
  if (control->calls < CONTROL_MIN || move->is_bad)
    return;
  class = usual_class (control);
  if (add_to_test (&move->slow_cusums[route], counts->calls, count_above (counts, class),
                   (count_above (control, class) + 1) / known, 0.2))
    set_bad (ctx, move, PH_MOVE_REASON_SLOW, route);
}

static bool
is_in_doubt (const PhMove *move)
{
  for (uint32_t i = 0; i < PH_MOVE_ROUTE_BUCKETS; i++)
    if (move->failure_cusums[i].sum > ALARM / 2 || move->slow_cusums[i].sum > ALARM / 2)
      return true;
  return false;
}

static PhTime
stage_time (const PhMove *move)
{
  PhTime whole = move->spec.duration != 0 ? move->spec.duration
                                          : move->spec.deadline_us - move->spec.start_us;

  return whole / STAGE_PARTS;
}

/* The node beside an upstream of the service's new version; 0 for any other upstream. */
static PhMemberId
member_beside_new (const PhWorld *world, const PhMove *move, PhUpstreamId id)
{
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  if (strcmp (upstream->version, move->spec.to_version) != 0)
    return (PhMemberId){ 0 };
  return upstream->is_local ? world->membership.self : upstream->member;
}

static uint64_t
judge_score (const PhWorld *world, const PhMove *move, PhMemberId id)
{
  const PhMember *member = ph_member_get (&world->members, id);

  return member != NULL ? ph_hash_mix (member->name_hash, move->path_hash) : 0;
}

/* The first nodes beside the new version by rendezvous hash. Returns how many there are. */
static uint32_t
find_judges (const PhWorld *world, const PhMove *move, PhMemberId *judges)
{
  const PhService *service
      = ph_service_get (&world->services, ph_service_find (world, move->spec.service));
  uint32_t count = 0;

  for (uint32_t i = 0; service != NULL && i < service->upstream_count; i++)
    {
      PhMemberId id = member_beside_new (world, move, service->upstreams[i]);
      uint32_t at = count;

      if (ph_member_get (&world->members, id) == NULL)
        continue;
      while (at > 0 && judge_score (world, move, judges[at - 1]) < judge_score (world, move, id))
        at--;
      if (at == JUDGES)
        continue;
      if (count < JUDGES)
        count++;
      memmove (&judges[at + 1], &judges[at], (count - at - 1) * sizeof *judges);
      judges[at] = id;
    }
  return count;
}

static bool
is_listed (const PhMemberId *ids, uint32_t at)
{
  for (uint32_t i = 0; i < at; i++)
    if (ids[i].v == ids[at].v)
      return true;
  return false;
}

static PhMemberId
draw_beside_new (PhContext *ctx, const PhWorld *world, const PhMove *move)
{
  const PhService *service
      = ph_service_get (&world->services, ph_service_find (world, move->spec.service));
  uint32_t count = service != NULL ? service->upstream_count : 0;
  uint32_t start = ph_random_below (&ctx->random, count);

  for (uint32_t i = 0; i < count; i++)
    {
      PhMemberId id = member_beside_new (world, move, service->upstreams[(start + i) % count]);

      if (id.v != 0 && id.v != world->membership.self.v)
        return id;
    }
  return (PhMemberId){ 0 };
}

static bool
is_judge (const PhWorld *world, const PhMove *move)
{
  PhMemberId judges[JUDGES + 1];
  uint32_t count = find_judges (world, move, judges);

  judges[count] = world->membership.self;
  return is_listed (judges, count);
}

/* Calls that the new version should have had until a part of the duration, from those of the old
 * one and the shares of the stages. */
static double
expected_calls (const PhMove *move, double part, uint32_t old_calls)
{
  double begin = 0;
  double old_weight = 0;
  double new_weight = 0;

  for (uint32_t i = 0; i <= move->stage && i < ORDER_STAGES; i++)
    {
      double end = i < move->stage ? order_stages[i].until : part;

      new_weight += order_stages[i].share * (end - begin);
      old_weight += (1 - order_stages[i].share) * (end - begin);
      begin = end;
    }
  return old_weight > 0 ? old_calls * new_weight / old_weight : 0;
}

/* Whether the present stage has lasted, and has seen, enough. */
static bool
is_stage_over (const PhContext *ctx,
               const PhWorld *world,
               const PhMove *move,
               uint32_t calls,
               uint32_t old_calls)
{
  double part;

  if (move->spec.duration != 0)
    {
      part = (double)(ctx->now - move->learned_at) / (double)move->spec.duration;
      if (!is_judge (world, move))
        part -= JUDGE_LATE;
      return move->stage < ORDER_STAGES && part >= order_stages[move->stage].until
             && (calls > 0 || expected_calls (move, part, old_calls) < CALLS_MISSED);
    }
  return ctx->now - move->stage_began_at >= stage_time (move)
         && calls >= move->stage_calls + STAGE_CALLS;
}

static uint32_t
next_stage (const PhMove *move)
{
  return move->spec.duration != 0 && move->stage + 1 >= ORDER_STAGES ? PH_MOVE_STAGES
                                                                     : move->stage + 1;
}

/* Beside an upstream of the new version: decides on the flag and on the next stage. */
static void
judge (PhContext *ctx, PhWorld *world, PhMoveId id)
{
  PhMove *move = ph_move_get (&world->moves, id);
  PhMoveCounts control[PH_MOVE_ROUTE_BUCKETS];
  PhMoveCounts counts[PH_MOVE_ROUTE_BUCKETS];
  uint32_t stage = move->stage;
  uint32_t calls;

  sum_evidence (world, id, false, control);
  sum_evidence (world, id, true, counts);
  calls = sum_calls (counts);
  if (move->evaluated_at != 0 && ctx->now - move->evaluated_at > PAUSE)
    set_stage (ctx, move, stage, calls);
  for (uint32_t i = 0; i < PH_MOVE_ROUTE_BUCKETS && !move->is_bad; i++)
    judge_route (ctx, move, i, &control[i], &counts[i]);
  if (!move->is_bad && is_stage_over (ctx, world, move, calls, sum_calls (control))
      && !is_in_doubt (move))
    set_stage (ctx, move, next_stage (move), calls);
  if (!move->is_bad && move->stage == stage)
    return;
  ph_gossip_queue_move (ctx, world, id);
}

/* Time between two sends of own counts. Signs of a bad version are sent at once. */
static PhTime
send_gap (const PhMove *move)
{
  double sum = 0;

  if (move->spec.duration == 0)
    return SEND_GAP;
  for (uint32_t i = 0; i < PH_MOVE_ROUTE_BUCKETS; i++)
    sum = fmax (sum, fmax (move->failure_cusums[i].sum, move->slow_cusums[i].sum));
  return sum > ALARM / DOUBT_PART ? LOOK : SEND_GAP_SHORT;
}

/* Sends own counts to the judges and to one random node beside an upstream of the new version. */
static void
send_evidence (PhContext *ctx, PhWorld *world, PhMoveId id, bool is_new)
{
  PhMove *move = ph_move_get (&world->moves, id);
  const PhEvidence *own = find_own (world, id, is_new);
  PhMemberId targets[JUDGES + 1];
  uint32_t count;

  if (own == NULL || ctx->now < move->evidence_sent_at + send_gap (move)
      || sum_calls (own->route_counts) == move->evidence_sent_calls)
    return;
  move->evidence_sent_at = ctx->now;
  move->evidence_sent_calls = sum_calls (own->route_counts);
  count = find_judges (world, move, targets);
  targets[count++] = draw_beside_new (ctx, world, move);
  for (uint32_t i = 0; i < count; i++)
    {
      const PhMember *member = ph_member_get (&world->members, targets[i]);

      if (member != NULL && !member->is_self && !(i == count - 1 && is_listed (targets, i)))
        ph_gossip_send_evidence (ctx, world, &member->record, move, own);
    }
}

static const PhMove *
later (const PhMove *a, const PhMove *b)
{
  return a == NULL || a->revision < b->revision ? b : a;
}

/* The open move of a service with the lowest revision goes first; the others wait. A move that
 * ended keeps its share, all or none, until a later one runs. */
static void
set_share (PhContext *ctx, PhWorld *world, const char *service)
{
  PhServiceId id = ph_service_find (world, service);
  PhMoveId at = { 0 };
  PhMove *running = NULL;
  const PhMove *done = NULL;
  const PhMove *taken_back = NULL;
  PhMoveReason reason;

  while ((at = ph_move_next (&world->moves, at)).v != 0)
    {
      PhMove *move = ph_move_get (&world->moves, at);
      PhMoveOutcome outcome;

      if (!move->has_object || strcmp (move->spec.service, service) != 0)
        continue;
      move->is_waiting = false;
      outcome = ph_move_outcome (ctx, move, &reason);
      if (outcome == PH_MOVE_DONE)
        done = later (done, move);
      if (outcome == PH_MOVE_ROLLED_BACK)
        taken_back = later (taken_back, move);
      if (outcome != PH_MOVE_OPEN)
        continue;
      if (running == NULL || move->revision < running->revision)
        {
          PhMove *other = running;

          running = move;
          move = other;
        }
      if (move != NULL)
        move->is_waiting = true;
    }
  if (running != NULL && has_started (ctx, running))
    ph_choice_set_move (ctx, world, id, running->spec.to_version, ph_move_share (ctx, running));
  else if (done != NULL)
    ph_choice_set_move (ctx, world, id, done->spec.to_version, 1);
  else if (running != NULL || taken_back != NULL)
    ph_choice_set_move (ctx, world, id, (running != NULL ? running : taken_back)->spec.to_version,
                        0);
  else
    ph_choice_set_move (ctx, world, id, "", 0);
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
  if (is_running (ctx, move) && is_beside (world, move, &is_new))
    {
      if (is_new)
        judge (ctx, world, id);
      send_evidence (ctx, world, id, is_new);
    }
  set_share (ctx, world, move->spec.service);
  if (ph_move_outcome (ctx, move, &reason) == PH_MOVE_OPEN)
    move->final_status_at = ctx->now + verdict_gap (move);
  /* One entry at a time, however often this was called. */
  if (move->has_object && ctx->now >= move->evaluated_at + LOOK)
    {
      move->evaluated_at = ctx->now;
      ph_timer_add (&world->timers, ctx->now + LOOK, PH_TIMER_MOVE, handle);
    }
}

void
ph_move_condition (const PhContext *ctx, const PhMove *move, char *text)
{
  PhMoveReason reason;
  PhMoveOutcome outcome = ph_move_outcome (ctx, move, &reason);
  PhTime left = stage_time (move) - (ctx->now - move->stage_began_at);

  if (outcome == PH_MOVE_DONE)
    snprintf (text, PH_MOVE_TEXT_MAX, "done: all calls go to %s", move->spec.to_version);
  else if (outcome == PH_MOVE_ROLLED_BACK && move->is_bad)
    snprintf (text, PH_MOVE_TEXT_MAX, "taken back: %s on route %u", reason_names[reason],
              move->route_bucket);
  else if (outcome == PH_MOVE_ROLLED_BACK)
    snprintf (text, PH_MOVE_TEXT_MAX, "taken back: %s", reason_names[reason]);
  else if (move->is_waiting)
    snprintf (text, PH_MOVE_TEXT_MAX, "waits for an earlier move of %s", move->spec.service);
  else if (!has_started (ctx, move))
    snprintf (text, PH_MOVE_TEXT_MAX, "waits for its start");
  else if (left > 0)
    snprintf (text, PH_MOVE_TEXT_MAX, "stage %u of %d, %g%% of the calls: next in %lld s or later",
              move->stage + 1, PH_MOVE_STAGES, shares[move->stage] * 100,
              (long long)(left / PH_SECOND));
  else
    snprintf (text, PH_MOVE_TEXT_MAX,
              "stage %u of %d, %g%% of the calls: waits for %d calls of %s without doubt",
              move->stage + 1, PH_MOVE_STAGES, ph_move_share (ctx, move) * 100, STAGE_CALLS,
              move->spec.to_version);
}
