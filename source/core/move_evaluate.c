#include <math.h>
#include <stdio.h>

#include "core/move_parts.h"
#include "pollenhitch/gossip.h"

/* Route bucket in a verdict on all routes together. */
#define ALL_ROUTE_BUCKETS PH_MOVE_ROUTE_BUCKETS

/* Time between two log lines on the evidence of an open move; a step or a verdict always has one.
 */
#define LOG_INTERVAL PH_SECOND

/* If two evaluations are further apart than this, the node was paused in between. The counts that
 * it has are out of date, so it restarts the stage before it may advance it. */
#define PAUSE_MIN PH_SECOND

/* The threshold of a move with a duration, which has a few hundred to a few thousand calls of the
 * new version: the mean time to a false alarm is at least exp (10) = 22,000 calls. A good version
 * that is taken back costs another attempt, a bad one costs callers. */
#define ALARM_THRESHOLD_DURATION 10.0

/* A move with a duration whose highest sum is above this when it would be done is taken back: after
 * that the old upstreams are gone. There are two sums over all routes and sixteen of single ones,
 * so that a lower threshold for the former raises no more false alarms. */
#define DOUBT_THRESHOLD 6.0
#define DOUBT_THRESHOLD_ALL_ROUTES 4.0

/* The largest difference between the rates that a test compares, as a fraction of the calls that
 * are not bad. Without it, an old version that fails itself, since it is overloaded, puts the rate
 * of a bad version out of reach. */
#define DIFFERENCE_MAX 0.3

/* Weight in calls of the prior estimate of the old version's rates: 1 in 20. */
#define PRIOR_CALLS 20.0

/* Calls of an upstream of the old version that are needed to tell how slow it is. */
#define UPSTREAM_CALLS_MIN 8

/* Share of the calls of the old version that the upstreams with a typical latency have. Up to a
 * third of the upstreams may be slowed by neighbours of their VMs. */
#define TYPICAL_SHARE 0.6

/* Least fraction of slow calls of the old version. The typical upstreams are chosen for having few.
 */
#define SLOW_RATE_MIN 0.05

/* Calls of the old version that are needed to compare response times. */
#define CONTROL_CALLS_MIN 50

/* The threshold of the tests at this node. A node that is not an evaluator has some of the counts
 * only, and many such nodes test the same version. */
static double
alarm_threshold (const PhWorld *world, const PhMove *move)
{
  return move->spec.duration != 0 && ph_move_is_evaluator (world, move) ? ALARM_THRESHOLD_DURATION
                                                                        : PH_MOVE_ALARM_THRESHOLD;
}

/* Adds the calls since the last evaluation to a test. calls and bad_calls are totals of the new
 * version; old_rate is the fraction of bad calls of the old version. The test compares the
 * hypotheses that the rate of the new version is slightly above old_rate, as a good version may
 * have it, and that it is three times as high plus excess, but at most DIFFERENCE_MAX of the rest
 * higher. Returns the log likelihood ratio of the added calls. */
static double
update_cusum (
    PhMoveCusum *cusum, uint32_t calls, uint32_t bad_calls, double old_rate, double excess)
{
  double good_rate = fmin (old_rate * 1.25 + 0.01, 0.6);
  double bad_rate = fmin (good_rate * 3 + excess, good_rate + (1 - good_rate) * DIFFERENCE_MAX);
  double ratio;
  uint32_t new_calls = calls > cusum->call_count ? calls - cusum->call_count : 0;
  uint32_t new_bad_calls
      = bad_calls > cusum->bad_call_count ? bad_calls - cusum->bad_call_count : 0;

  new_bad_calls = new_bad_calls < new_calls ? new_bad_calls : new_calls;
  cusum->call_count = ph_move_max_count (cusum->call_count, calls);
  cusum->bad_call_count = ph_move_max_count (cusum->bad_call_count, bad_calls);
  ratio = new_bad_calls * log (bad_rate / good_rate)
          + (new_calls - new_bad_calls) * log ((1 - bad_rate) / (1 - good_rate));
  cusum->sum = fmax (cusum->sum + ratio, 0);
  return ratio;
}

/* Calls in the latency buckets above a bucket. */
static uint32_t
count_above (const PhMoveCounts *counts, uint32_t bucket)
{
  uint32_t count = 0;

  for (uint32_t t = bucket + 1; t < PH_MOVE_LATENCY_BUCKETS; t++)
    count += counts->latency_buckets[t];
  return count;
}

/* The latency bucket above which a call is slow: that of the 90th percentile, but at most the one
 * after that of the median. Attempts that lost against a hedge count in the slowest bucket and can
 * be more than a tenth. */
static uint32_t
slow_latency_bucket (const PhMoveCounts *counts)
{
  uint32_t above = count_above (counts, 0);
  uint32_t bucket = 0;
  uint32_t last = PH_MOVE_LATENCY_BUCKETS - 1;

  while (bucket < last && above * 10 > counts->calls)
    {
      if (above * 2 <= counts->calls && last > bucket + 1)
        last = bucket + 1;
      above -= counts->latency_buckets[++bucket];
    }
  return bucket;
}

/* Counts of the old version on one route bucket, for the comparison of latencies. */
typedef struct
{
  uint32_t bucket; /* latency bucket above which a call is slow */
  uint32_t calls;
  uint32_t slow_calls;
} SlowControl;

/* Rows of evidence of the old version. */
typedef struct
{
  const PhEvidence *rows[PH_EVIDENCE_MAX];
  uint32_t count;
} OldRows;

static void
collect_old_rows (const PhWorld *world, PhMoveId id, OldRows *old)
{
  PhEvidenceId row_id = { 0 };

  old->count = 0;
  while ((row_id = ph_evidence_next (&world->evidence, row_id)).v != 0)
    {
      const PhEvidence *row = ph_evidence_get (&world->evidence, row_id);

      if (row->move.v == id.v && !row->is_new_version)
        old->rows[old->count++] = row;
    }
}

/* Measures how slow a typical upstream of the old version is: of the fastest upstreams that have
 * TYPICAL_SHARE of the calls, the slowest. The calls of all upstreams together would hide a slow
 * version behind a few slow upstreams. counts are those of all upstreams, which are used when no
 * upstream has enough calls. */
static void
measure_slow_control (const OldRows *old,
                      uint32_t route_bucket,
                      const PhMoveCounts *counts,
                      SlowControl *control)
{
  uint32_t calls_by_bucket[PH_MOVE_LATENCY_BUCKETS] = { 0 };
  uint32_t total = 0;
  uint32_t below = 0;

  *control = (SlowControl){ .bucket = slow_latency_bucket (counts), .calls = counts->calls };
  control->slow_calls = count_above (counts, control->bucket);
  if (counts->calls < CONTROL_CALLS_MIN)
    return;
  for (uint32_t i = 0; i < old->count; i++)
    {
      const PhMoveCounts *row = &old->rows[i]->route_counts[route_bucket];

      if (row->calls < UPSTREAM_CALLS_MIN)
        continue;
      calls_by_bucket[slow_latency_bucket (row)] += row->calls;
      total += row->calls;
    }
  if (total < CONTROL_CALLS_MIN)
    return;
  *control = (SlowControl){ 0 };
  while (below + calls_by_bucket[control->bucket] < TYPICAL_SHARE * total)
    below += calls_by_bucket[control->bucket++];
  for (uint32_t i = 0; i < old->count; i++)
    {
      const PhMoveCounts *row = &old->rows[i]->route_counts[route_bucket];

      if (row->calls < UPSTREAM_CALLS_MIN || slow_latency_bucket (row) > control->bucket)
        continue;
      control->calls += row->calls;
      control->slow_calls += count_above (row, control->bucket);
    }
}

void
ph_move_open_limits (const PhWorld *world, PhMoveId id, PhTime *limits)
{
  PhMoveCounts old_counts[PH_MOVE_ROUTE_BUCKETS];
  OldRows old;

  ph_move_sum_evidence (world, id, false, old_counts);
  collect_old_rows (world, id, &old);
  for (uint32_t i = 0; i < PH_MOVE_ROUTE_BUCKETS; i++)
    {
      uint32_t bucket = PH_MOVE_LATENCY_BUCKETS - 2;
      SlowControl control;

      measure_slow_control (&old, i, &old_counts[i], &control);
      if (old_counts[i].calls >= CONTROL_CALLS_MIN)
        bucket = control.bucket;
      limits[i] = ph_move_latency_limits[bucket < PH_MOVE_LATENCY_BUCKETS - 1
                                             ? bucket
                                             : PH_MOVE_LATENCY_BUCKETS - 2];
    }
}

/* Whether this node can tell how slow typical upstreams of the old version are. Evaluators get the
 * counts of all; the others need recent ones of half of the upstreams. */
static bool
can_tell_typical (const PhContext *ctx, const PhWorld *world, PhMoveId id)
{
  const PhMove *move = ph_move_get (&world->moves, id);

  return move->spec.duration == 0 || ph_move_is_evaluator (world, move)
         || ph_move_upstreams_per_row (ctx, world, id) <= PH_MOVE_UPSTREAMS_PER_ROW_MAX;
}

/* Log likelihood ratios of the calls of one evaluation, over all route buckets. */
typedef struct
{
  double failures;
  double slow;
} Ratios;

/* Compares the calls of the two versions on one route bucket, and sets the bad flag if the new one
 * fails a larger fraction of them, or if a larger fraction is above the latency bucket of the 90th
 * percentile of the old version's typical upstreams. Adds to the ratios of all route buckets. */
static void
evaluate_route_bucket (PhContext *ctx,
                       const PhWorld *world,
                       PhMoveId id,
                       const OldRows *old,
                       uint32_t route_bucket,
                       const PhMoveCounts *old_counts,
                       const PhMoveCounts *new_counts,
                       Ratios *ratios)
{
  PhMove *move = ph_move_get (&world->moves, id);
  PhMoveCusum *failures = &move->failure_cusums[route_bucket];
  PhMoveCusum *slow = &move->slow_cusums[route_bucket];
  double weight = old_counts->calls + PRIOR_CALLS;
  SlowControl control;
  double slow_rate;

  ratios->failures += update_cusum (failures, new_counts->calls, new_counts->failures,
                                    (old_counts->failures + 1) / weight, 0.05);
  if (failures->sum >= alarm_threshold (world, move))
    ph_move_decide_bad (ctx, move, PH_MOVE_REASON_FAILURES, route_bucket);
  if (old_counts->calls < CONTROL_CALLS_MIN || move->is_bad || !can_tell_typical (ctx, world, id))
    return;
  measure_slow_control (old, route_bucket, old_counts, &control);
  slow_rate = fmax ((control.slow_calls + 1) / (control.calls + PRIOR_CALLS), SLOW_RATE_MIN);
  /* The bucket may have changed since the last evaluation; earlier calls between the two buckets
   * are not new slow calls. */
  slow->bad_call_count = count_above (&move->slow_tested[route_bucket], control.bucket);
  ratios->slow += update_cusum (slow, new_counts->calls, count_above (new_counts, control.bucket),
                                slow_rate, 0.2);
  move->slow_tested[route_bucket] = *new_counts;
  if (slow->sum >= alarm_threshold (world, move))
    ph_move_decide_bad (ctx, move, PH_MOVE_REASON_SLOW, route_bucket);
}

/* Adds the ratios of one evaluation to the sums over all route buckets: a version that is bad on
 * each of several routes shows in them before it does on one. */
static void
evaluate_all_routes (PhContext *ctx, const PhWorld *world, PhMove *move, const Ratios *ratios)
{
  move->failure_sum = fmax (move->failure_sum + ratios->failures, 0);
  move->slow_sum = fmax (move->slow_sum + ratios->slow, 0);
  if (move->failure_sum >= alarm_threshold (world, move))
    ph_move_decide_bad (ctx, move, PH_MOVE_REASON_FAILURES, ALL_ROUTE_BUCKETS);
  else if (move->slow_sum >= alarm_threshold (world, move))
    ph_move_decide_bad (ctx, move, PH_MOVE_REASON_SLOW, ALL_ROUTE_BUCKETS);
}

/* The highest sum of all tests. */
double
ph_move_highest_sum (const PhMove *move)
{
  double sum = fmax (move->failure_sum, move->slow_sum);

  for (uint32_t i = 0; i < PH_MOVE_ROUTE_BUCKETS; i++)
    sum = fmax (sum, fmax (move->failure_cusums[i].sum, move->slow_cusums[i].sum));
  return sum;
}

/* Whether a move that would be done has to be taken back. */
static bool
is_doubtful (const PhMove *move)
{
  return ph_move_highest_sum (move) >= DOUBT_THRESHOLD
         || fmax (move->failure_sum, move->slow_sum) >= DOUBT_THRESHOLD_ALL_ROUTES;
}

/* Whether some test is more than halfway to its alarm threshold. */
static bool
is_suspect (const PhWorld *world, const PhMove *move)
{
  return ph_move_highest_sum (move) > alarm_threshold (world, move) / 2;
}

/* Logs what an evaluation knows: progress, calls, rows of recent counts, and for each route bucket
 * with calls of the new version the calls, failures and slow calls of both versions and the sums of
 * the tests. */
static void
log_evaluation (PhContext *ctx,
                const PhWorld *world,
                PhMoveId id,
                const PhMoveKnownCalls *known,
                const OldRows *old,
                const PhMoveCounts *old_counts,
                const PhMoveCounts *new_counts)
{
  const PhMove *move = ph_move_get (&world->moves, id);
  char text[512];
  size_t size = 0;

  text[0] = '\0';
  for (uint32_t i = 0; i < PH_MOVE_ROUTE_BUCKETS && size < sizeof text; i++)
    {
      SlowControl control;

      if (new_counts[i].calls == 0)
        continue;
      measure_slow_control (old, i, &old_counts[i], &control);
      size += (size_t)snprintf (
          text + size, sizeof text - size,
          "; route %u: new %u, failed %u, slow %u; old %u, failed %u, typical %u, slow %u above "
          "bucket %u; sums %.1f and %.1f",
          i, new_counts[i].calls, new_counts[i].failures,
          count_above (&new_counts[i], control.bucket), old_counts[i].calls, old_counts[i].failures,
          control.calls, control.slow_calls, control.bucket, move->failure_cusums[i].sum,
          move->slow_cusums[i].sum);
    }
  ph_log (ctx, PH_LOG_INFO, PH_STEP_MOVE, NULL,
          "%s: evaluation in stage %u at %.2f of the duration: calls of the new version %u, of the "
          "old one %u, started %u and %u, upstreams for each known node %.1f%s",
          move->path, move->stage, ph_move_elapsed_fraction (ctx, move), known->new_calls,
          known->old_calls, known->new_started, known->old_started, known->upstreams_per_row, text);
}

/* Sets the bad flag or advances the stage by the evidence known here. Runs on nodes of the new
 * version. */
void
ph_move_evaluate (PhContext *ctx, PhWorld *world, PhMoveId id)
{
  PhMove *move = ph_move_get (&world->moves, id);
  PhMoveCounts old_counts[PH_MOVE_ROUTE_BUCKETS];
  PhMoveCounts new_counts[PH_MOVE_ROUTE_BUCKETS];
  uint32_t stage = move->stage;
  PhMoveKnownCalls known;
  Ratios ratios = { 0 };
  OldRows old;

  ph_move_sum_evidence (world, id, false, old_counts);
  ph_move_sum_evidence (world, id, true, new_counts);
  collect_old_rows (world, id, &old);
  known = (PhMoveKnownCalls){ .new_calls = ph_move_sum_calls (new_counts),
                              .old_calls = ph_move_sum_calls (old_counts),
                              .new_started = ph_move_sum_started_calls (world, id, true),
                              .old_started = ph_move_sum_started_calls (world, id, false),
                              .upstreams_per_row = ph_move_upstreams_per_row (ctx, world, id) };
  if (move->evaluated_at != 0 && ctx->now - move->evaluated_at > PAUSE_MIN)
    ph_move_set_stage (ctx, move, stage, known.new_calls);
  for (uint32_t i = 0; i < PH_MOVE_ROUTE_BUCKETS && !move->is_bad; i++)
    evaluate_route_bucket (ctx, world, id, &old, i, &old_counts[i], &new_counts[i], &ratios);
  if (!move->is_bad)
    evaluate_all_routes (ctx, world, move, &ratios);
  if (!move->is_bad && move->spec.duration != 0
      && ph_move_elapsed_fraction (ctx, move) >= PH_MOVE_LAST_STAGE_END
      && ph_move_is_evaluator (world, move) && is_doubtful (move))
    ph_move_decide_bad (ctx, move, PH_MOVE_REASON_DEADLINE, ALL_ROUTE_BUCKETS);
  if (!move->is_bad && ph_move_is_stage_over (ctx, world, move, &known)
      && !is_suspect (world, move))
    ph_move_set_stage (ctx, move, ph_move_next_stage (ctx, move), known.new_calls);
  if (move->spec.duration != 0
      && (move->is_bad || move->stage != stage || ctx->now >= move->logged_at + LOG_INTERVAL))
    {
      move->logged_at = ctx->now;
      log_evaluation (ctx, world, id, &known, &old, old_counts, new_counts);
    }
  if (!move->is_bad && move->stage == stage)
    return;
  ph_gossip_queue_move (ctx, world, id);
}
