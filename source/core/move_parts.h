#ifndef PH_MOVE_PARTS_H
#define PH_MOVE_PARTS_H

#include "pollenhitch/world.h"

/*
 * Functions that the parts of moves share; internal to the core. move.c has the
 * rows, revisions and states, move_evidence.c the counts and who gets them,
 * move_evaluate.c the comparison of the versions, move_stage.c the stages and
 * the share of the calls.
 *
 * Handles must be valid.
 */

#define PH_MOVE_EVALUATION_PERIOD (100 * PH_MS)

/* Sum of log likelihood ratios at which the new version is bad. The mean time to a false alarm of
 * one test is at least exp (16) = 9 million calls (Lorden 1971). */
#define PH_MOVE_ALARM_THRESHOLD 16.0

/* Upstreams for each known and recent row of counts, up to which a node that is not an evaluator
 * tests for slow calls, and any node takes a step early. With few of the upstreams, the fastest
 * that it knows are not the typical ones: of 195 nodes one took a good version back with 13 slow
 * calls of 31, 10 of 112 of the old version. The counts of less than half are no estimate of all
 * calls. */
#define PH_MOVE_UPSTREAMS_PER_ROW_MAX 2

/* Fraction of the duration until which the new version gets all calls, when the move is reported as
 * done: the old upstreams stop at the report, and their calls must have ended by then. */
#define PH_MOVE_LAST_STAGE_END 0.88

/* Upper bounds of the latency buckets; the last bucket has none. */
extern const PhTime ph_move_latency_limits[PH_MOVE_LATENCY_BUCKETS - 1];

/* Known calls of a move's service: those that are evidence, and all that were started. */
typedef struct
{
  uint32_t new_calls;
  uint32_t old_calls;
  uint32_t new_started;
  uint32_t old_started;
  /* Upstreams of the service for each node whose counts are known and recent, at least 1. The known
   * calls are multiplied by this where the counts of some nodes are missing or old. */
  double upstreams_per_row;
} PhMoveKnownCalls;

static inline uint32_t
ph_move_max_count (uint32_t a, uint32_t b)
{
  return a > b ? a : b;
}

/* In move.c. */

/* ph_move_find_revision: the row of a path at a revision that was received, added or reset if that
 * is needed. Returns NULL when the row is at a higher revision, the revision cannot be compared
 * before this node has read the object, the table is full or the path is too long. */
PhMove *ph_move_find_revision (
    PhContext *ctx, PhWorld *world, const char *path, uint64_t revision, PhMoveId *id);

/* ph_move_decide_bad: set the bad flag by the evidence of this node. */
void ph_move_decide_bad (PhContext *ctx, PhMove *move, PhMoveReason reason, uint32_t route_bucket);

/* ph_move_set_stage: begin a stage now; calls are those of the new version so far. */
void ph_move_set_stage (PhContext *ctx, PhMove *move, uint32_t stage, uint32_t calls);

bool ph_move_has_started (const PhContext *ctx, const PhMove *move);
bool ph_move_is_running (const PhContext *ctx, const PhMove *move);

/* In move_evidence.c. */

/* ph_move_sum_evidence: sum the counts of the old or the new version that this node knows, by route
 * bucket. */
void
ph_move_sum_evidence (const PhWorld *world, PhMoveId id, bool is_new, PhMoveCounts *route_counts);

uint32_t ph_move_sum_calls (const PhMoveCounts *route_counts);

/* ph_move_sum_started_calls: calls of the old or the new version that this node knows to have been
 * started. */
uint32_t ph_move_sum_started_calls (const PhWorld *world, PhMoveId id, bool is_new);

/* ph_move_is_local_participant: whether the local upstream is of the move's service and of its old
 * or new version. Sets *is_new for the new one. */
bool ph_move_is_local_participant (const PhWorld *world, const PhMove *move, bool *is_new);

/* ph_move_evaluator_score: rank of a node among the evaluators, by rendezvous hash; all nodes
 * compute the same. */
uint64_t ph_move_evaluator_score (const PhWorld *world, const PhMove *move, PhMemberId id);

bool ph_move_is_evaluator (const PhWorld *world, const PhMove *move);

/* ph_move_upstreams_per_row: upstreams of the service of a move for each node whose counts are
 * known and recent, at least 1. */
double ph_move_upstreams_per_row (const PhContext *ctx, const PhWorld *world, PhMoveId id);

/* ph_move_observe_open_attempts: observe the attempts at the local upstream that are open for
 * longer than ph_move_open_limits. */
void ph_move_observe_open_attempts (PhContext *ctx, PhWorld *world, PhMoveId id);

/* ph_move_send_evidence: send this node's counts to the evaluators and to one other random node of
 * the new version, if they changed. */
void ph_move_send_evidence (PhContext *ctx, PhWorld *world, PhMoveId id, bool is_new);

/* In move_evaluate.c. */

/* ph_move_highest_sum: the highest sum of all tests. */
double ph_move_highest_sum (const PhMove *move);

/* ph_move_evaluate: set the bad flag or advance the stage by the evidence known here. Runs on nodes
 * of the new version. */
void ph_move_evaluate (PhContext *ctx, PhWorld *world, PhMoveId id);

/* In move_stage.c. */

/* ph_move_elapsed_fraction: fraction of its duration that has passed since the move was learned. */
double ph_move_elapsed_fraction (const PhContext *ctx, const PhMove *move);

/* ph_move_is_stage_over: whether the stage has lasted long enough and the new version had enough
 * calls in it. */
bool ph_move_is_stage_over (const PhContext *ctx,
                            const PhWorld *world,
                            const PhMove *move,
                            const PhMoveKnownCalls *known);

/* ph_move_next_stage: the next stage, or a later one of a move with a duration if that should have
 * begun by now. */
uint32_t ph_move_next_stage (const PhContext *ctx, const PhMove *move);

/* ph_move_update_traffic_share: set the share of a service's new version by its moves. */
void ph_move_update_traffic_share (PhContext *ctx, PhWorld *world, const char *service);

#endif
