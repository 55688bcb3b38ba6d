#ifndef PH_MOVE_H
#define PH_MOVE_H

#include "pollenhitch/config.h"

/*
 * Version moves: a share of a service's calls goes to a new version, and grows
 * in stages up to all calls.
 *
 * There is no coordinator. The stage and the bad flag of a move only grow, and
 * every node takes the highest that it hears; the share follows from the stage,
 * the wall clock and the object. Nodes beside upstreams of the new version
 * raise the stage and set the flag, each from the evidence that it has: counts
 * of calls, failures and times, by route bucket, which only grow and which the nodes
 * beside the upstreams of the service send each other.
 */

#define PH_MOVE_ROUTE_BUCKETS 8
#define PH_MOVE_LATENCY_BUCKETS 8 /* buckets of response time */
#define PH_MOVE_STAGES 8          /* with a share below 1; the stage after them is the end */
#define PH_DATAGRAM_MOVES_MAX 4   /* states in a datagram */
#define PH_MOVES_MAX 64           /* moves that a node knows, and states in an exchange */
#define PH_MOVE_TEXT_MAX 160

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
  PH_MOVE_REASON_FAILURES,  /* more of its calls fail than of the old version's */
  PH_MOVE_REASON_SLOW,      /* more of its calls are slow */
  PH_MOVE_REASON_DEADLINE,  /* not all stages were passed in time */
  PH_MOVE_REASON_CANCELLED, /* by the operator */
  PH_MOVE_REASON_COUNT
} PhMoveReason;

/* Counts of one node beside an upstream; they only grow. */
typedef struct
{
  uint32_t calls;
  uint32_t failures;
  uint32_t latency_buckets[PH_MOVE_LATENCY_BUCKETS];
} PhMoveCounts;

/* What nodes tell each other of a move's state; the greater part of each wins. */
typedef struct
{
  const char *path;
  uint64_t revision;
  uint32_t stage;
  PhMoveReason reason; /* with bad: why */
  uint32_t route_bucket;
  bool is_bad;
} PhMoveState;

/* Counts of the sender of a message. */
typedef struct
{
  const char *path;
  uint64_t revision;
  bool is_new_version;
  PhMoveCounts route_counts[PH_MOVE_ROUTE_BUCKETS];
} PhMoveEvidence;

/* Counts as a row: of one node, for one move. */
typedef struct
{
  PhMoveId move;
  uint64_t node_hash; /* hash of the VM name */
  uint64_t epoch;
  bool is_new_version;
  PhMoveCounts route_counts[PH_MOVE_ROUTE_BUCKETS];
} PhEvidence;

/* A cumulative sum (CUSUM) of log likelihood ratios: bad against as good as the old version. */
typedef struct
{
  uint32_t call_count; /* of the new version that were taken in */
  uint32_t hit_count;
  double sum;
} PhMoveCusum;

typedef struct
{
  char path[PH_PATH_MAX];
  uint64_t path_hash;
  uint64_t revision; /* of the object, or of a state that came before it */
  bool has_object;
  PhMoveSpec spec;
  uint32_t stage;
  bool is_bad;
  PhMoveReason reason;
  uint32_t route_bucket;
  bool is_waiting;              /* another move of the service goes first */
  bool is_final_status_written; /* the final verdict is in the store */
  bool is_open_status_written;  /* the store says that the move has begun */
  uint64_t object_revision;     /* of the object in the store, for conditional writes */
  PhTime learned_at;            /* when this node knew of the move */
  PhTime final_status_at;       /* when states of other nodes have had time to come */
  PhTime stage_began_at;        /* when this node saw the stage begin */
  uint32_t stage_calls;         /* of the new version, known here at that time */
  PhTime evaluated_at;
  PhEvidenceId own_evidence; /* row of this node's counts */
  PhTime evidence_sent_at;   /* own evidence */
  uint32_t evidence_sent_calls;
  PhMoveCusum failure_cusums[PH_MOVE_ROUTE_BUCKETS];
  PhMoveCusum slow_cusums[PH_MOVE_ROUTE_BUCKETS];
  PhTime last_slow_call_at[PH_MOVE_ROUTE_BUCKETS]; /* last call counted here that was slower than
                                                      usual */
  uint32_t sends_left;
  bool is_gossip_queued;
} PhMove;

PH_DECLARE_TABLE (PhMove, PhMoveId, ph_move)
PH_DECLARE_TABLE (PhEvidence, PhEvidenceId, ph_evidence)

/* ph_move_route_bucket: the route of a call: a bucket of the hash of method and first path segment.
 */
uint32_t ph_move_route_bucket (const char *method, const char *path);

#define PH_MOVE_LATENCY_ABANDONED                                                                  \
  INT64_MAX /* cancelled before a response: counts as the slowest                                  \
             */

/* ph_move_observe: an attempt at the local upstream ended. To be called for each of them, with the
 * time until the head of the response. What an upstream does that starts cold or drains says
 * nothing about its version, and is not counted. */
void ph_move_observe (
    PhContext *ctx, PhWorld *world, uint32_t route_bucket, PhTime latency, bool is_failure);

/* ph_move_config_changed: an object of kind move is in force, or was deleted. */
void ph_move_config_changed (PhContext *ctx, PhWorld *world, const PhObject *object);

/* ph_move_merge, ph_move_merge_evidence: parts of a message came. sender is a known member. */
void ph_move_merge (PhContext *ctx, PhWorld *world, const PhMoveState *state);
void ph_move_merge_evidence (PhContext *ctx,
                             PhWorld *world,
                             PhMemberId sender,
                             const PhMoveEvidence *evidence);

/* ph_move_state: the state of a move as it travels. */
PhMoveState ph_move_state (const PhMove *move);

/* ph_move_digest: one number for the state of all moves. */
uint64_t ph_move_digest (const PhWorld *world);

/* ph_move_timer: looks at all open moves, while there are any. */
void ph_move_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/* ph_move_share: share of the calls that go to the new version. */
double ph_move_share (const PhContext *ctx, const PhMove *move);

/* ph_move_outcome: how the move ended, as far as this node knows. */
PhMoveOutcome ph_move_outcome (const PhContext *ctx, const PhMove *move, PhMoveReason *reason);

/* ph_move_condition: what the move waits for, or how it ended, in PH_MOVE_TEXT_MAX bytes. */
void ph_move_condition (const PhContext *ctx, const PhMove *move, char *text);

const char *ph_move_reason_name (PhMoveReason reason);
const char *ph_move_outcome_name (PhMoveOutcome outcome);

#endif
