#include <math.h>
#include <stdio.h>
#include <string.h>

#include "core/move_parts.h"

/* Fraction of the duration by which a stage has to be overdue before a node that is not an
 * evaluator advances it. */
#define NON_EVALUATOR_DELAY 0.04

/* A stage lasts at least the time between start and deadline divided by this, so that a good
 * version can pass all 8 stages in 8/10 of the time. */
#define STAGE_TIME_DIVISOR 10

/* Calls of the new version that a stage needs. The test cannot distinguish a failure rate of 1%
 * from one of 8% with fewer than 41 calls without a failure. */
#define STAGE_CALLS_MIN 50

/* If at least this many calls of the new version were expected and none was counted, the stage does
 * not end: its upstreams get no calls, or their counts do not arrive. If 5 calls are expected, none
 * arrives by chance in exp (-5) = 0.7% of moves. */
#define MISSED_CALLS_MAX 5.0

static const double stage_shares[PH_MOVE_STAGES] = { 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.5, 0.75 };

/* Stages of a move with a duration: share of the calls, and fraction of the duration by which the
 * stage begins at the latest. The platform (see config.h) allows a bad version EXPOSURE_SHARE of
 * the service's calls and EXPOSURE_SLACK more. A step is taken earlier when that account pays for
 * it (see can_afford_step). The steps to the last stage are short: a version that is bad only under
 * load shows it there, and each costs less than the same time in the last stage. */
#define DURATION_STAGES 6

static const struct
{
  double share;
  double begins_by;
  /* The share goes to a few upstreams, each of which gets the load of one in production: a version
   * that is bad under load only does not show it at a small share of all upstreams. */
  bool is_concentrated;
} duration_stages[DURATION_STAGES] = {
  { 0.01, 0, false },    { 0.17, 0.3, true },   { 0.02, 0.5, false },
  { 0.06, 0.74, false }, { 0.25, 0.79, false }, { 1, 0.82, false },
};

/* A concentrated stage ends early with this many calls, if it has lasted for this fraction of the
 * duration, in which slow calls show. */
#define CONCENTRATED_CALLS 80
#define CONCENTRATED_TIME_MIN 0.08

/* Fraction of the upstreams of the new version that a concentrated stage uses, at least one. */
#define CONCENTRATED_FRACTION 0.1

#define EXPOSURE_SHARE 0.1
#define EXPOSURE_SLACK 50

/* Time from the first failure of a version that turns bad until all nodes have stopped sending it
 * calls, with the time of the calls themselves. The calls of this time stay in reserve when a step
 * is taken early. */
#define DETECTION_TIME (2 * PH_SECOND)

/* Fractions of the duration. FIRST_STEP leaves time for the counts of all nodes to arrive, and
 * STEP_TIME_MIN for the evidence of a stage. */
#define FIRST_STEP 0.15
#define STEP_TIME_MIN 0.03

double
ph_move_share (const PhContext *ctx, const PhMove *move)
{
  PhMoveReason reason;
  PhMoveOutcome outcome = ph_move_outcome (ctx, move, &reason);

  if (!move->has_object || move->is_waiting || outcome == PH_MOVE_ROLLED_BACK
      || !ph_move_has_started (ctx, move))
    return 0;
  if (outcome == PH_MOVE_DONE)
    return 1;
  return move->spec.duration != 0
             ? duration_stages[move->stage < DURATION_STAGES ? move->stage : DURATION_STAGES - 1]
                   .share
             : stage_shares[move->stage];
}

/* Least time that a stage lasts. */
static PhTime
stage_time_min (const PhMove *move)
{
  PhTime total = move->spec.duration != 0 ? move->spec.duration
                                          : move->spec.deadline_us - move->spec.start_us;

  return total / STAGE_TIME_DIVISOR;
}

/* Fraction of its duration that has passed since the move was learned. */
double
ph_move_elapsed_fraction (const PhContext *ctx, const PhMove *move)
{
  return (double)(ctx->now - move->learned_at) / (double)move->spec.duration;
}

/* Whether the calls that a bad version may get by the end of the duration also pay for the next
 * stage: the calls of the stage until it ends, and those that the new version would get until it is
 * found to be bad in the last stage. */
static bool
can_afford_step (const PhMove *move, double elapsed, const PhMoveKnownCalls *known)
{
  double share = duration_stages[move->stage + 1].share;
  double end = share < 1 ? duration_stages[DURATION_STAGES - 1].begins_by : PH_MOVE_LAST_STAGE_END;
  double left = end > elapsed ? end - elapsed : 0;
  double total = (double)known->new_started + known->old_started;
  double calls_per_duration = total * known->upstreams_per_row / elapsed;
  double reserve
      = share < 1 ? calls_per_duration * DETECTION_TIME / (double)move->spec.duration : 0;

  return known->new_started * known->upstreams_per_row + share * calls_per_duration * left + reserve
         <= EXPOSURE_SHARE * (total + calls_per_duration * (1 - elapsed)) + EXPOSURE_SLACK;
}

/* Calls that the new version should have had so far, by the calls of the old version and the
 * smallest share. The old version's cold upstreams count: without their calls, a move went through
 * all stages without evidence on either version. */
static double
expected_calls (const PhMoveKnownCalls *known)
{
  return known->old_started * duration_stages[0].share;
}

/* Whether the stage of a move with a duration is over. Only the evaluators, which know the counts
 * of all nodes, take a step early. */
static bool
is_duration_stage_over (const PhContext *ctx,
                        const PhWorld *world,
                        const PhMove *move,
                        const PhMoveKnownCalls *known)
{
  bool is_paying = ph_move_is_evaluator (world, move);
  double elapsed = ph_move_elapsed_fraction (ctx, move) - (is_paying ? 0 : NON_EVALUATOR_DELAY);

  if (known->new_calls == 0 && expected_calls (known) >= MISSED_CALLS_MAX)
    return false;
  if (move->stage + 1 >= DURATION_STAGES)
    return move->stage < PH_MOVE_STAGES && elapsed >= PH_MOVE_LAST_STAGE_END;
  if (duration_stages[move->stage].is_concentrated && is_paying
      && known->new_calls >= move->stage_calls + CONCENTRATED_CALLS
      && ctx->now - move->stage_began_at >= CONCENTRATED_TIME_MIN * move->spec.duration)
    return true;
  return elapsed >= duration_stages[move->stage + 1].begins_by
         || (is_paying && elapsed >= FIRST_STEP
             && known->upstreams_per_row <= PH_MOVE_UPSTREAMS_PER_ROW_MAX
             && ctx->now - move->stage_began_at >= STEP_TIME_MIN * move->spec.duration
             && can_afford_step (move, elapsed, known));
}

/* Whether the stage has lasted long enough and the new version had enough calls in it. */
bool
ph_move_is_stage_over (const PhContext *ctx,
                       const PhWorld *world,
                       const PhMove *move,
                       const PhMoveKnownCalls *known)
{
  if (move->spec.duration != 0)
    return is_duration_stage_over (ctx, world, move, known);
  return ctx->now - move->stage_began_at >= stage_time_min (move)
         && known->new_calls >= move->stage_calls + STAGE_CALLS_MIN;
}

/* The next stage, or a later one of a move with a duration if that should have begun by now. */
uint32_t
ph_move_next_stage (const PhContext *ctx, const PhMove *move)
{
  uint32_t stage = move->stage + 1;

  if (move->spec.duration == 0)
    return stage;
  if (stage >= DURATION_STAGES)
    return PH_MOVE_STAGES;
  while (stage + 1 < DURATION_STAGES
         && ph_move_elapsed_fraction (ctx, move) >= duration_stages[stage + 1].begins_by)
    stage++;
  return stage;
}

/* Hash score of an upstream by which a concentrated stage selects upstreams. All nodes compute the
 * same. */
static uint64_t
upstream_score (const PhWorld *world, const PhMove *move, const PhUpstream *upstream)
{
  return ph_move_evaluator_score (world, move,
                                  upstream->is_local ? world->membership.self : upstream->member);
}

static bool
is_concentrated (const PhContext *ctx, const PhMove *move)
{
  return ph_move_is_running (ctx, move) && move->spec.duration != 0 && move->stage < DURATION_STAGES
         && duration_stages[move->stage].is_concentrated;
}

/* Selects the ready upstreams of the new version with the highest scores. Sets *share to the share
 * of the calls that gives each of them the load of one in production, at most that of the stage.
 * Returns the lowest score selected, or 0 when there are none to select from. */
static uint64_t
select_upstreams (const PhWorld *world, const PhMove *move, double *share)
{
  const PhService *service
      = ph_service_get (&world->services, ph_service_find (world, move->spec.service));
  uint64_t scores[PH_MOVE_CONCENTRATED_MAX];
  uint32_t total = 0;
  uint32_t count = 0;
  uint32_t wanted;

  for (uint32_t i = 0; service != NULL && i < service->upstream_count; i++)
    {
      const PhUpstream *upstream = ph_upstream_get (&world->upstreams, service->upstreams[i]);
      const PhDataCentre *dc = ph_data_centre_get (&world->data_centres, upstream->data_centre);
      uint64_t score = upstream_score (world, move, upstream);
      uint32_t rank = count;

      if (strcmp (upstream->version, move->spec.to_version) != 0)
        continue;
      total++;
      if (upstream->state != PH_UPSTREAM_READY || (dc != NULL && dc->is_out_of_service))
        continue;
      while (rank > 0 && scores[rank - 1] < score)
        rank--;
      if (rank == PH_MOVE_CONCENTRATED_MAX)
        continue;
      if (count < PH_MOVE_CONCENTRATED_MAX)
        count++;
      memmove (&scores[rank + 1], &scores[rank], (count - rank - 1) * sizeof *scores);
      scores[rank] = score;
    }
  if (count == 0)
    return 0;
  wanted = (uint32_t)(CONCENTRATED_FRACTION * total);
  wanted = wanted < 1 ? 1 : wanted;
  wanted = wanted < count ? wanted : count;
  *share = fmin (*share, (double)wanted / total);
  return scores[wanted - 1];
}

static const PhMove *
newer_move (const PhMove *a, const PhMove *b)
{
  return a == NULL || a->revision < b->revision ? b : a;
}

/* Sets the share of a service's new version by its moves. The open move with the lowest revision
 * runs, and the others wait. The share of a move that ended, 0 or 1, remains until a later move
 * runs. */
void
ph_move_update_traffic_share (PhContext *ctx, PhWorld *world, const char *service)
{
  PhServiceId id = ph_service_find (world, service);
  PhMoveId move_id = { 0 };
  PhMove *running = NULL;
  const PhMove *done = NULL;
  const PhMove *rolled_back = NULL;
  PhMoveReason reason;

  while ((move_id = ph_move_next (&world->moves, move_id)).v != 0)
    {
      PhMove *move = ph_move_get (&world->moves, move_id);
      PhMoveOutcome outcome;

      if (!move->has_object || strcmp (move->spec.service, service) != 0)
        continue;
      move->is_waiting = false;
      outcome = ph_move_outcome (ctx, move, &reason);
      if (outcome == PH_MOVE_DONE)
        done = newer_move (done, move);
      if (outcome == PH_MOVE_ROLLED_BACK)
        rolled_back = newer_move (rolled_back, move);
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
  if (ph_service_get (&world->services, id) != NULL)
    ph_service_get (&world->services, id)->is_move_open = running != NULL;
  if (running != NULL && ph_move_has_started (ctx, running))
    {
      double share = ph_move_share (ctx, running);
      uint64_t score
          = is_concentrated (ctx, running) ? select_upstreams (world, running, &share) : 0;

      ph_choice_set_move (ctx, world, id,
                          &(PhMoveTraffic){ .version = running->spec.to_version,
                                            .share = share,
                                            .path_hash = running->path_hash,
                                            .score_min = score });
    }
  else if (done != NULL)
    ph_choice_set_move (ctx, world, id,
                        &(PhMoveTraffic){ .version = done->spec.to_version, .share = 1 });
  else if (running != NULL || rolled_back != NULL)
    ph_choice_set_move (
        ctx, world, id,
        &(PhMoveTraffic){ .version = (running != NULL ? running : rolled_back)->spec.to_version });
  else
    ph_choice_set_move (ctx, world, id, &(PhMoveTraffic){ .version = "" });
}

void
ph_move_condition (const PhContext *ctx, const PhMove *move, char *text)
{
  PhMoveReason reason;
  PhMoveOutcome outcome = ph_move_outcome (ctx, move, &reason);
  PhTime left = stage_time_min (move) - (ctx->now - move->stage_began_at);

  if (outcome == PH_MOVE_DONE)
    snprintf (text, PH_MOVE_TEXT_MAX, "done: all calls go to %s", move->spec.to_version);
  else if (outcome == PH_MOVE_ROLLED_BACK && move->is_bad)
    snprintf (text, PH_MOVE_TEXT_MAX, "taken back: %s on route %u", ph_move_reason_name (reason),
              move->route_bucket);
  else if (outcome == PH_MOVE_ROLLED_BACK)
    snprintf (text, PH_MOVE_TEXT_MAX, "taken back: %s", ph_move_reason_name (reason));
  else if (move->is_waiting)
    snprintf (text, PH_MOVE_TEXT_MAX, "waits for an earlier move of %s", move->spec.service);
  else if (!ph_move_has_started (ctx, move))
    snprintf (text, PH_MOVE_TEXT_MAX, "waits for its start");
  else if (left > 0)
    snprintf (text, PH_MOVE_TEXT_MAX, "stage %u of %d, %g%% of the calls: next in %lld s or later",
              move->stage + 1, PH_MOVE_STAGES, stage_shares[move->stage] * 100,
              (long long)(left / PH_SECOND));
  else
    snprintf (text, PH_MOVE_TEXT_MAX,
              "stage %u of %d, %g%% of the calls: waits for %d calls of %s without doubt",
              move->stage + 1, PH_MOVE_STAGES, ph_move_share (ctx, move) * 100, STAGE_CALLS_MIN,
              move->spec.to_version);
}
