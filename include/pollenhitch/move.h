#ifndef PH_MOVE_H
#define PH_MOVE_H

#include "pollenhitch/config.h"

/*
 * Moves: gradual rollouts of a new version of a service with canary analysis.
 * The new version gets a share of the service's calls, which grows in stages
 * until it gets all of them.
 *
 * There is no coordinator. The state of a move is its stage, which only
 * increases, and a flag that the version is bad, which is only ever set. Nodes
 * gossip this state and keep the maximum of what they have and what they
 * receive. The share follows from the state, the clock and the configuration
 * object.
 *
 * Nodes with a local upstream of the service count its calls, failures and
 * response times by route bucket, and send these counts, which only grow, to
 * nodes of the new version. Each node of the new version compares the two
 * versions on the counts that it has, and advances the stage or sets the flag.
 */

#define PH_MOVE_ROUTE_BUCKETS 8 /* see ph_move_route_bucket */
#define PH_MOVE_LATENCY_BUCKETS 8
/* Stages 0 to 7; a move at stage 8 is done. A move with a duration has stages 0 to 4 only, and goes
 * from 4 to 8. */
#define PH_MOVE_STAGES 8
#define PH_DATAGRAM_MOVES_MAX 4     /* states in a datagram */
#define PH_MOVE_CONCENTRATED_MAX 64 /* upstreams that a stage may concentrate its share on */
/* Rows of evidence, one for each move, process of a node and version; 0.7 MB. */
#define PH_EVIDENCE_MAX 2048
#define PH_MOVES_MAX 64      /* rows of a node's table, and states in a sync message */
#define PH_MOVE_TEXT_MAX 160 /* bytes of ph_move_condition */

typedef struct
{
  uint32_t v;
} PhMoveId;

typedef struct
{
  uint32_t v;
} PhEvidenceId;

typedef enum
{
  PH_MOVE_REASON_NONE,
  PH_MOVE_REASON_FAILURES,  /* the new version fails a larger fraction of calls than the old one */
  PH_MOVE_REASON_SLOW,      /* a larger fraction of its calls is slow */
  PH_MOVE_REASON_DEADLINE,  /* the deadline passed before the last stage ended */
  PH_MOVE_REASON_CANCELLED, /* the operator cancelled the move */
  PH_MOVE_REASON_COUNT
} PhMoveReason;

/* Counts of the calls to one local upstream on one route bucket; they only grow. */
typedef struct
{
  uint32_t calls;
  uint32_t failures;
  uint32_t latency_buckets[PH_MOVE_LATENCY_BUCKETS];
} PhMoveCounts;

/* State of a move as nodes gossip it. A state of a higher revision replaces the known one, a state
 * of a lower one is ignored. At the same revision, merging keeps the higher stage and a bad flag
 * that is set. */
typedef struct
{
  const char *path;
  uint64_t revision;
  uint32_t stage;
  PhMoveReason reason; /* if is_bad */
  /* For the reasons FAILURES and SLOW: where the new version did worse. */
  uint32_t route_bucket;
  bool is_bad;
} PhMoveState;

/* Counts of a node's local upstream as the node sends them. */
typedef struct
{
  const char *path;
  uint64_t revision;
  bool is_new_version;
  uint32_t started_calls; /* as in PhEvidence */
  PhMoveCounts route_counts[PH_MOVE_ROUTE_BUCKETS];
} PhMoveEvidence;

/* Row with the counts of one node's local upstream for one move. */
typedef struct
{
  PhMoveId move;
  uint64_t node_hash; /* hash of the VM name */
  uint64_t epoch;     /* of the node's process; a restarted node counts from 0 in a new row */
  PhTime updated_at;  /* when the counts were last received or, for the own row, increased */
  bool is_new_version;
  /* All calls that were passed to the local upstream. route_counts has only those that are evidence
   * on its version: no calls to a cold upstream, and one for a burst of slow calls. */
  uint32_t started_calls;
  PhMoveCounts route_counts[PH_MOVE_ROUTE_BUCKETS];
} PhEvidence;

/*
 * Sequential test of the new version: a cumulative sum (CUSUM) of log likelihood
 * ratios of "worse than the old version" against "as good as the old version".
 */
typedef struct
{
  uint32_t call_count;     /* calls of the new version that the sum includes */
  uint32_t bad_call_count; /* those of them that failed or were slow */
  double sum;              /* never below 0 */
} PhMoveCusum;

typedef struct
{
  char path[PH_PATH_MAX];
  uint64_t path_hash;
  /* Identifies the move between nodes, see move_revision in move.c; object_revision is that of the
   * object. */
  uint64_t revision;
  bool has_object; /* the object is known and not deleted */
  PhMoveSpec spec;
  uint32_t stage;
  bool is_bad;
  PhMoveReason reason; /* as in PhMoveState, like route_bucket */
  uint32_t route_bucket;
  bool is_waiting;              /* an earlier move of the service is open */
  bool is_final_status_written; /* the store holds the final status */
  bool is_open_status_written;  /* the store holds the status that the move is open */
  bool is_status_lost;          /* a status was in the store before its era changed */
  bool is_result_kept;          /* so was the final status: the result does not change any more */
  bool is_result_unknown;   /* learned after its deadline in an era of the store, without a state */
  bool is_decided_again;    /* as that, and nothing showed which result it had */
  uint64_t object_revision; /* of the object in the store, for conditional writes */
  PhTime learned_at;        /* when this node received the object */
  PhTime final_status_at;   /* earliest time at which the final status may be written */
  PhTime stage_began_at;    /* when this node entered the stage */
  uint32_t stage_calls;     /* calls of the new version that were known here at that time */
  PhTime logged_at;         /* time of the last log line on the evidence */
  PhTime evaluated_at;      /* time of the last periodic run of ph_move_timer */
  PhEvidenceId own_evidence;    /* row with the counts of the local upstream */
  PhTime evidence_sent_at;      /* when own_evidence was last sent */
  uint32_t evidence_sent_calls; /* started and counted calls in own_evidence at that time */
  PhMoveCusum failure_cusums[PH_MOVE_ROUTE_BUCKETS];
  PhMoveCusum slow_cusums[PH_MOVE_ROUTE_BUCKETS];
  /* Counts of the new version that slow_cusums include. */
  PhMoveCounts slow_tested[PH_MOVE_ROUTE_BUCKETS];
  double failure_sum; /* as the sums of failure_cusums, over all route buckets */
  double slow_sum;
  /* Last call of the local upstream that was slower than most and was counted. */
  PhTime last_slow_call_at[PH_MOVE_ROUTE_BUCKETS];
  uint32_t sends_left;   /* datagrams that are still to carry the state */
  bool is_gossip_queued; /* queued for dissemination */
} PhMove;

PH_DECLARE_TABLE (PhMove, PhMoveId, ph_move)
PH_DECLARE_TABLE (PhEvidence, PhEvidenceId, ph_evidence)

/* ph_move_route_bucket: the bucket of a call by a hash of its method and first path segment. */
uint32_t ph_move_route_bucket (const char *method, const char *path);

/* Latency of an attempt that was cancelled before its response: counts in the slowest bucket. */
#define PH_MOVE_LATENCY_ABANDONED INT64_MAX

/*
 * ph_move_count_start: count an attempt that is passed to the local upstream,
 * cold or not, for the account of the calls that a version had. Does nothing
 * while no move of the upstream's service and version is running.
 */
void ph_move_count_start (PhContext *ctx, PhWorld *world);

/*
 * ph_move_observe: count an attempt at the local upstream that ended.
 *
 * To be called for each attempt. latency is the time until the response head,
 * in microseconds, or PH_MOVE_LATENCY_ABANDONED. Attempts are not counted while
 * the upstream is cold or draining: they do not show how good its version is. Of
 * slow calls on one route bucket in quick succession, only the first and those
 * that failed are counted. Does nothing while no move of the upstream's service
 * and version is running.
 */
void ph_move_observe (
    PhContext *ctx, PhWorld *world, uint32_t route_bucket, PhTime latency, bool is_failure);

/*
 * ph_move_open_limits: times after which open attempts count as slow, by route bucket.
 *
 * An attempt that is open for longer is above the 90th percentile of the old version, by the counts
 * known here, or in the slowest latency bucket: how much slower it becomes does not matter. The
 * timer of a move observes the attempts at the local upstream at this time, since the response of
 * a slow version would come seconds later.
 */
void ph_move_open_limits (const PhWorld *world, PhMoveId id, PhTime *limits);

/* ph_move_config_changed: apply a new revision of a move's object, or its deletion. */
void ph_move_config_changed (PhContext *ctx, PhWorld *world, const PhObject *object);

/* ph_move_merge, ph_move_merge_evidence: merge a state or counts that were received, as PhMoveState
 * says; a move that is not known yet gets a row. Counts of a sender that is not a known member are
 * ignored, and everything about a new move when the table is full or its path is too long. */
void ph_move_merge (PhContext *ctx, PhWorld *world, const PhMoveState *state);
void ph_move_merge_evidence (PhContext *ctx,
                             PhWorld *world,
                             PhMemberId sender,
                             const PhMoveEvidence *evidence);

/* ph_move_apply_done: the store has the move as done. Drops a verdict against the new version, and
 * later ones are ignored: the old upstreams have stopped. */
void ph_move_apply_done (PhContext *ctx, PhWorld *world, PhMoveId id);

/* ph_move_state: the state of a move to send to other nodes. Its path points into *move. */
PhMoveState ph_move_state (const PhMove *move);

/* ph_move_digest: hash of the states of all moves, for ph_config_digest. */
uint64_t ph_move_digest (const PhWorld *world);

/* ph_move_timer: evaluate a move, send its evidence, update the traffic share of its service, and
 * schedule the next run. handle is that of a PhMoveId. Does nothing for a move without an object
 * so far. */
void ph_move_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/* ph_move_share: share of the service's calls that is to go to the new version, from 0 to 1. */
double ph_move_share (const PhContext *ctx, const PhMove *move);

/* ph_move_outcome: whether the move is open, done or rolled back, as far as this node knows.
 * *reason is set to why it was rolled back, and to PH_MOVE_REASON_NONE otherwise. Valid only if
 * has_object is set: without the spec, an open move counts as past its deadline. */
PhMoveOutcome ph_move_outcome (const PhContext *ctx, const PhMove *move, PhMoveReason *reason);

/* ph_move_condition: write a sentence on what the move waits for or how it ended. text has
 * PH_MOVE_TEXT_MAX bytes. */
void ph_move_condition (const PhContext *ctx, const PhMove *move, char *text);

/* ph_move_reason_name, ph_move_outcome_name: static text of a value, as in the status that the
 * store holds. */
const char *ph_move_reason_name (PhMoveReason reason);
const char *ph_move_outcome_name (PhMoveOutcome outcome);

#endif
