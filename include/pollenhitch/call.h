#ifndef PH_CALL_H
#define PH_CALL_H

#include "pollenhitch/route.h"

/*
 * Calls and attempts.
 *
 * A call is one request that this node handles. An attempt is one try of a call
 * at one upstream: through the node beside that upstream, or directly when the
 * upstream is local. A call from another node (PH_ORIGIN_PEER) has at most one
 * attempt, at the local upstream.
 */

#define PH_CALL_ID_SIZE 16
#define PH_CALL_ID_TEXT_SIZE (PH_CALL_ID_SIZE * 2 + 1)
#define PH_DEPTH_MAX 8
#define PH_ATTEMPTS_MAX 4 /* attempts of one call, the first included */

typedef struct
{
  uint32_t v;
} PhCallId;

typedef struct
{
  uint32_t v;
} PhAttemptId;

typedef enum
{
  PH_ORIGIN_CALLER,
  PH_ORIGIN_PEER
} PhOrigin;

/* Whether the request was run by an upstream, as far as this node can tell. */
typedef enum
{
  PH_RUN_NO,
  PH_RUN_YES,
  PH_RUN_UNKNOWN
} PhRun;

typedef enum
{
  PH_REASON_NONE,
  PH_REASON_UNKNOWN_SERVICE,
  PH_REASON_NO_UPSTREAM,
  PH_REASON_STALE_UPSTREAM, /* the chosen upstream was replaced */
  PH_REASON_LIMIT,          /* the upstream is at its limit and its queue is full */
  PH_REASON_QUEUE_TIME,     /* waited as long as the queue allows */
  PH_REASON_DEADLINE,
  PH_REASON_DRAINING,
  PH_REASON_DATA_CENTRE_OUT,
  PH_REASON_DEPTH,
  PH_REASON_STOPPING,
  PH_REASON_SHED, /* the upstream itself refused without running it */
  PH_REASON_CONNECT,
  PH_REASON_CONNECTION_LOST,
  PH_REASON_MISMATCHED_RESPONSE,
  PH_REASON_UNFRAMED_RESPONSE, /* a body that ends with the connection cannot be told from a cut one
                                */
  PH_REASON_BAD_REQUEST,
  PH_REASON_TOO_LARGE,
  PH_REASON_CALLER_LIMIT,
  PH_REASON_TABLE_FULL,
  PH_REASON_CALLER_LEFT,      /* the caller closed its side of the connection */
  PH_REASON_NO_CONFIGURATION, /* nothing is in force yet */
  PH_REASON_UPSTREAM_ERROR,   /* the upstream answered that it failed; tried again elsewhere */
  PH_REASON_SLOW,             /* the upstream's VM is slow now, and others are left to choose */
  PH_REASON_COUNT
} PhReason;

typedef enum
{
  PH_CALL_CHOOSING,  /* waits for the choice of an upstream */
  PH_CALL_TRYING,    /* at least one attempt has not responded */
  PH_CALL_RESPONDING /* the head of the response was passed on */
} PhCallState;

typedef enum
{
  PH_ATTEMPT_QUEUED,    /* in the queue of the local upstream */
  PH_ATTEMPT_STARTED,   /* handed to the runtime */
  PH_ATTEMPT_RESPONDING /* the head of its response has come */
} PhAttemptState;

typedef struct
{
  uint8_t id[PH_CALL_ID_SIZE];
  PhServiceId service;
  PhOrigin origin;
  PhCallState state;
  bool is_idempotent;
  bool is_pending; /* queued for the call system */
  bool can_resend; /* the whole request body is still held; kept up to date by the runtime */
  bool is_rerun;   /* came with the mark of a rerun: see ph_attempt_is_rerun */
  uint8_t depth;
  uint8_t route_bucket;       /* bucket of method and path, see ph_move_route_bucket */
  bool is_bulk;               /* a large response is expected */
  uint8_t priority;           /* 0 is the most urgent */
  bool is_expected_late;      /* waits, and is expected to miss its objective */
  uint8_t attempts_max;       /* upstreams that the call may reach */
  bool has_alternatives;      /* of a call from another node: it may go to other upstreams */
  uint8_t delivered_attempts; /* attempts that reached an upstream */
  uint8_t tried_count;
  uint8_t open_attempts;
  uint8_t maybe_run_count; /* ended attempts that an upstream may have seen */
  PhUpstreamId tried_upstreams[PH_ATTEMPTS_MAX];
  PhUpstreamId pinned_upstream; /* of a call from another node: the local upstream */
  PhTime opened_at;
  PhTime deadline;
  PhTime objective_at;        /* a response after this is of little use; PH_TIME_NEVER for none */
  PhAttemptId latest_attempt; /* the latest */
  PhAttemptId hedge_attempt;  /* second concurrent attempt, or 0 */
  PhTime hedge_at;            /* 0 for no hedge, or none any more */
  PhRun run;                  /* worst outcome of the attempts so far */
  PhReason reason;            /* of the last failed attempt */
  void *user;                 /* of the runtime */
} PhCall;

typedef struct
{
  PhCallId call;
  PhUpstreamId upstream;
  PhAttemptState state;
  bool is_local;
  bool is_slot_held;        /* counts against the limit of the local upstream */
  bool is_error;            /* the response says that the upstream failed; set by the runtime */
  bool is_dependency_error; /* 502 or 504: the upstream had no response from further on; as is_error
                             */
  uint32_t upstream_generation;
  bool is_rerun; /* the request may run, or have run, in another attempt too */
  PhTime queued_at;
  PhTime queue_key; /* place in the queue of the local upstream */
  PhTime started_at;
  PhTime responded_at; /* head of the response, 0 before */
  void *user;          /* of the runtime */
} PhAttempt;

PH_DECLARE_TABLE (PhCall, PhCallId, ph_call)
PH_DECLARE_TABLE (PhAttempt, PhAttemptId, ph_attempt)

/* A final refusal or failure, as the caller is told. */
typedef struct
{
  int status;
  PhRun run;
  PhReason reason;
  PhTime retry_after; /* when to come back, 0 when coming back is of no use */
} PhRefusal;

typedef struct
{
  const uint8_t *id; /* PH_CALL_ID_SIZE bytes, or NULL for a new one */
  const char *service;
  PhOrigin origin;
  bool is_idempotent;
  bool can_resend;
  bool is_rerun; /* the request came with the mark of a rerun */
  uint32_t depth;
  uint32_t route_bucket;  /* see ph_move_route_bucket */
  PhServiceId service_id; /* used instead of service when it is not 0 */
  bool is_bulk;
  bool has_alternatives; /* of a call from another node: it may be refused for others' sake */
  uint32_t priority;
  uint32_t attempts_max;   /* 0 for PH_ATTEMPTS_MAX */
  PhTime objective;        /* time until the response is of little use; 0 for none */
  PhTime time_left;        /* until the deadline; 0 for the service's default */
  uint64_t upstream_epoch; /* of a call from another node: the upstream it chose */
  void *user;
} PhCallOptions;

/*
 * ph_call_open: a request came in.
 *
 * The call is pending, and the next tick chooses an upstream. Returns 0 with
 * *refusal filled in when the call is refused at once.
 */
PhCallId
ph_call_open (PhContext *ctx, PhWorld *world, const PhCallOptions *opts, PhRefusal *refusal);

/* ph_call_has_alternatives: whether a call that is refused by the node it is sent to has another
 * upstream to go to, so that the refusal costs it little. */
bool ph_call_has_alternatives (const PhWorld *world, const PhCall *call);

/* ph_call_abort: the caller went away. Cancels the attempts and frees the call; no refusal is
 * sent. */
void ph_call_abort (PhContext *ctx, PhWorld *world, PhCallId id);

/*
 * ph_attempt_is_rerun: whether the request has to carry the mark of a rerun.
 *
 * True for hedges, for retries after an attempt that may have been run, and for every attempt of a
 * call that came with the mark. Such a call is not hedged or rerun again, so that the extra work
 * of several layers adds up and does not multiply.
 */
bool ph_attempt_is_rerun (const PhWorld *world, PhAttemptId id);

/* ph_call_verify: check all rows of calls, attempts and upstreams against each other. For tests and
 * sanitizer builds: it takes time in the number of rows. */
void ph_call_verify (const PhWorld *world);

/* ph_call_time_left: microseconds until the deadline, 0 when it has passed. */
PhTime ph_call_time_left (const PhContext *ctx, const PhCall *call);

/*
 * ph_attempt_response: the head of a response came.
 *
 * Returns true when this attempt's response is the call's; every other attempt
 * is cancelled. Returns false when it came too late or twice: the runtime drops it.
 */
bool ph_attempt_response (PhContext *ctx, PhWorld *world, PhAttemptId id);

/*
 * ph_attempt_should_rerun: whether a response that says that the upstream failed is better dropped.
 *
 * True for a call that may be repeated, when another upstream may be tried and there is time and
 * budget for it. The runtime then calls ph_attempt_fail instead of ph_attempt_response.
 */
bool ph_attempt_should_rerun (const PhContext *ctx, const PhWorld *world, PhAttemptId id);

/*
 * ph_attempt_fail: an attempt ended without a response that can be passed on.
 *
 * run says whether the upstream ran the request. The call system decides in the next tick whether
 * to try again or to refuse the call. After ph_attempt_response this is the same as
 * ph_attempt_finish with is_complete false.
 */
void ph_attempt_fail (PhContext *ctx, PhWorld *world, PhAttemptId id, PhRun run, PhReason reason);

/* ph_attempt_finish: the body of the response ended (is_complete) or was truncated. Frees the call.
 * Before ph_attempt_response it is the same as ph_attempt_fail with an unknown run. */
void ph_attempt_finish (PhContext *ctx, PhWorld *world, PhAttemptId id, bool is_complete);

/* ph_call_system: choose upstreams for pending calls, retry or refuse. Run by ph_world_tick. */
void ph_call_system (PhContext *ctx, PhWorld *world);

/* ph_call_timer: deadline or hedge time of a call came up. */
void ph_call_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

int ph_reason_status (PhReason reason);
const char *ph_reason_name (PhReason reason);
bool ph_reason_parse (const char *text, PhReason *reason);
const char *ph_run_name (PhRun run);
bool ph_run_parse (const char *text, PhRun *run);

/* ph_call_id_format, ph_call_id_parse: an id as hexadecimal digits, PH_CALL_ID_TEXT_SIZE bytes. */
void ph_call_id_format (const uint8_t *id, char *text);
bool ph_call_id_parse (const char *text, uint8_t *id);

#endif
