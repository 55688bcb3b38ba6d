#ifndef PH_CALL_H
#define PH_CALL_H

#include "pollenhitch/route.h"

/*
 * Calls and attempts.
 *
 * A call is one request that this node handles. An attempt is one try of a call at one
 * upstream: directly if the upstream is local, otherwise through the upstream's node. A call
 * from another node (PH_ORIGIN_PEER) has at most one attempt, at the local upstream.
 *
 * The functions below that take the handle of an attempt or call ignore one that has been removed,
 * since a response and a cancellation can cross; those that return a bool then return false.
 */

#define PH_CALL_ID_SIZE 16
#define PH_CALL_ID_TEXT_SIZE (PH_CALL_ID_SIZE * 2 + 1)
#define PH_DEPTH_MAX 8 /* calls above a call in its chain */
/* Attempts of one call, including the first. A deeper call that waits may make as many after each
 * wait (PH_CALL_WAITING). */
#define PH_ATTEMPTS_MAX 4

/* Handle of a row. The id that nodes send to each other is PhCall.id, PH_CALL_ID_SIZE bytes. */
typedef struct
{
  uint32_t v;
} PhCallId;

typedef struct
{
  uint32_t v;
} PhAttemptId;

/* Row of run_gate.h. */
typedef struct
{
  uint32_t v;
} PhRunGateId;

typedef enum
{
  PH_ORIGIN_CALLER, /* received from a caller */
  PH_ORIGIN_PEER    /* received from another node, for the local upstream */
} PhOrigin;

/* Whether an upstream ran the request, as far as this node can tell. */
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
  PH_REASON_STALE_UPSTREAM, /* the chosen upstream was replaced, withdrawn or not confirmed yet */
  PH_REASON_LIMIT,          /* at its limit; the queue is full or the wait would be too long */
  PH_REASON_QUEUE_TIME,     /* the service's maximum queue time has passed */
  PH_REASON_DEADLINE,
  PH_REASON_DRAINING,
  PH_REASON_DATA_CENTRE_OUT,
  PH_REASON_DEPTH,
  PH_REASON_STOPPING,
  PH_REASON_SHED,    /* the upstream itself refused the request without running it */
  PH_REASON_CONNECT, /* no connection to the upstream, or its probes failed */
  PH_REASON_CONNECTION_LOST,
  PH_REASON_MISMATCHED_RESPONSE,
  /* Without a length, a complete body cannot be told from one cut off by a lost connection. */
  PH_REASON_UNFRAMED_RESPONSE,
  PH_REASON_BAD_REQUEST,
  PH_REASON_TOO_LARGE,
  PH_REASON_CALLER_LIMIT, /* a limit on callers; not set by this version, but parsed */
  PH_REASON_TABLE_FULL,
  PH_REASON_CALLER_LEFT,      /* the caller closed its connection */
  PH_REASON_NO_CONFIGURATION, /* no configuration has been received yet */
  PH_REASON_UPSTREAM_ERROR,   /* an error response; the call is tried again elsewhere */
  PH_REASON_SLOW,             /* the upstream's VM is slow now and there are alternatives */
  PH_REASON_SILENT,           /* the upstream fell silent on the connection of the request */
  /* Runs of the route fail nearly always because their deeper calls are refused, see run_gate.h. */
  PH_REASON_DEPENDENCY,
  PH_REASON_ROUTE_LEFT_OUT, /* the configuration names no service of the route that can be used */
  PH_REASON_COUNT
} PhReason;

typedef enum
{
  PH_CALL_CHOOSING,  /* waits for the choice of an upstream */
  PH_CALL_WAITING,   /* a deeper call waits for a retry token or for a slot; no attempt is open */
  PH_CALL_TRYING,    /* at least one attempt is open without a response */
  PH_CALL_RESPONDING /* the head of the response was passed on to the caller */
} PhCallState;

typedef enum
{
  PH_ATTEMPT_QUEUED,    /* in the queue of the local upstream */
  PH_ATTEMPT_STARTED,   /* passed to the runtime */
  PH_ATTEMPT_RESPONDING /* the head of its response has arrived */
} PhAttemptState;

typedef struct
{
  uint8_t id[PH_CALL_ID_SIZE];
  PhServiceId service;
  PhOrigin origin;
  PhCallState state;
  bool is_idempotent;
  bool is_pending; /* in the queue of the call system */
  bool can_resend; /* the complete request body is still stored */
  /* The request carries the field Pollenhitch-Rerun (the rerun mark): another attempt may run, or
   * have run, the same request. */
  bool is_rerun;
  uint8_t depth;
  PhRouteId route;            /* of PhCallOptions */
  uint8_t route_bucket;       /* hash bucket of method and path, see ph_move_route_bucket */
  uint64_t route_key;         /* see ph_run_gate_route_key */
  bool is_bulk;               /* a large response is expected */
  uint8_t priority;           /* 0 is the most urgent */
  bool is_expected_late;      /* queued, and not expected to meet its objective */
  uint8_t attempts_max;       /* maximum number of attempts that reach an upstream, at least 1 */
  bool has_alternatives;      /* of a call from another node: it may go to other upstreams */
  uint8_t delivered_attempts; /* attempts that reached an upstream */
  /* Entries of tried_upstreams: all attempts so far, or since the call waited after all upstreams
   * were tried. */
  uint8_t tried_count;
  uint8_t wait_count; /* times that the call has waited (PH_CALL_WAITING), at most 255 */
  /* The tokens for the next attempt are taken; no upstream was left when they were. */
  bool is_retry_paid;
  bool is_wait_over; /* it has waited, and has made no attempt since */
  uint8_t open_attempts;
  uint8_t maybe_run_count; /* ended attempts whose request may have been run */
  PhUpstreamId tried_upstreams[PH_ATTEMPTS_MAX];
  /* Of tried_upstreams, whose rows are replaced when an announcement expires and is renewed. An
   * epoch of 0 is not compared. The member is 0 for the local upstream. */
  uint64_t tried_epochs[PH_ATTEMPTS_MAX];
  PhMemberId tried_members[PH_ATTEMPTS_MAX];
  PhUpstreamId pinned_upstream; /* of a call from another node: the local upstream */
  PhTime opened_at;
  PhTime deadline;
  PhTime objective_at; /* a later response is of little use; PH_TIME_NEVER for none */
  PhAttemptId latest_attempt;
  PhAttemptId hedge_attempt; /* second concurrent attempt, or 0 */
  PhTime stall_check_at;     /* next check of a response past the deadline; 0 before the first */
  uint64_t moved_bytes;      /* see PhEffects.response_progress, at the last check */
  PhTime hedge_at;           /* when to start the hedge; 0 if there is none, or no longer */
  PhTime wait_ends_at;       /* of a waiting call: when it is tried again */
  PhRun run;                 /* worst value of the attempts so far; PH_RUN_UNKNOWN is the worst */
  PhReason reason;           /* of the last failed attempt */
  void *user;                /* context of the runtime */
} PhCall;

typedef struct
{
  PhCallId call;
  PhUpstreamId upstream;
  PhAttemptState state;
  bool is_local;
  bool is_slot_held; /* occupies a slot of the local upstream */
  /* The next two are set by the runtime before ph_attempt_finish, which reads them. */
  bool is_error; /* the response reports a failure of the upstream */
  /* The response is 502 or 504: a dependency of the upstream failed. */
  bool is_dependency_error;
  bool is_version_sampled; /* counted as slow for a move while it is open */
  uint32_t upstream_generation;
  PhRunGateId run_gate; /* of an attempt at the local upstream: that of its route, or 0 */
  bool is_spaced;       /* no other run of the route was started at about the same time */
  bool is_rerun;        /* another attempt may run, or have run, the same request */
  /* When it was added to the queue of the local upstream; for another upstream, when it was
   * created.
   */
  PhTime queued_at;
  PhTime queue_key; /* sort key in the queue of the local upstream */
  PhTime started_at;
  PhTime responded_at; /* when the head of the response arrived; 0 before */
  void *user;          /* context of the runtime */
} PhAttempt;

PH_DECLARE_TABLE (PhCall, PhCallId, ph_call)
PH_DECLARE_TABLE (PhAttempt, PhAttemptId, ph_attempt)

/* Final refusal or failure of a call, as it is reported to the caller. */
typedef struct
{
  int status;
  PhRun run;
  PhReason reason;
  PhTime retry_after; /* time until the caller should retry; 0 if that is of no use, and in each
                         refusal by ph_call_open */
} PhRefusal;

typedef struct
{
  const uint8_t *id;   /* PH_CALL_ID_SIZE bytes, or NULL to generate an id */
  const char *service; /* "team/service"; may be NULL if service_id is not 0 */
  PhOrigin origin;
  bool is_idempotent;
  bool can_resend;        /* see PhCall */
  bool is_rerun;          /* the request carries the rerun mark, see PhCall */
  uint32_t depth;         /* calls above this one in its chain */
  uint32_t route_bucket;  /* see ph_move_route_bucket */
  uint64_t route_key;     /* see ph_run_gate_route_key */
  PhServiceId service_id; /* used instead of service if it is not 0 */
  /* Of a platform whose calls carry no depth: route of the request, from which the depth is learned
   * (see chain.h); 0 for none. */
  PhRouteId route;
  bool is_bulk;
  /* Of a call from another node: it can go to other upstreams, and may be refused for that reason.
   */
  bool has_alternatives;
  uint32_t priority; /* 0 (the most urgent) to 255 */
  /* Maximum number of attempts that reach an upstream; an attempt that a node refused without
   * running it does not count. 0, or more than PH_ATTEMPTS_MAX, for PH_ATTEMPTS_MAX, which bounds
   * all attempts. */
  uint32_t attempts_max;
  PhTime objective;        /* time after which a response is of little use; 0 for none */
  PhTime time_left;        /* time until the deadline; 0 for the service's default */
  uint64_t upstream_epoch; /* of a call from another node: epoch of the upstream it chose */
  void *user;
} PhCallOptions;

/*
 * ph_call_open: open a call for a request that arrived.
 *
 * The call is pending, and the next tick chooses an upstream. Returns 0 and fills in *refusal
 * if the call is refused at once; refuse_call is then not called. *opts is not kept.
 */
PhCallId
ph_call_open (PhContext *ctx, PhWorld *world, const PhCallOptions *opts, PhRefusal *refusal);

/* ph_call_has_alternatives: whether the call can go to another upstream if the node it is sent to
 * refuses it, so that the refusal costs little. */
bool ph_call_has_alternatives (const PhWorld *world, const PhCall *call);

/* ph_call_abort: the caller is gone. Cancels the attempts and frees the call; no refusal is sent.
 */
void ph_call_abort (PhContext *ctx, PhWorld *world, PhCallId id);

/*
 * ph_attempt_is_rerun: whether the request must carry the rerun mark.
 *
 * True for hedges, for retries after an attempt that may have been run, and for every attempt
 * of a call that arrived with the mark. Such a call is not hedged or rerun again, so that the
 * extra work of several layers adds up and does not multiply.
 */
bool ph_attempt_is_rerun (const PhWorld *world, PhAttemptId id);

/* ph_call_verify: check all rows of calls, attempts and upstreams against each other. Aborts
 * (PH_INVARIANT) if they disagree. For tests and sanitizer builds: the time grows with the square
 * of the number of rows. */
void ph_call_verify (const PhWorld *world);

/* ph_call_time_left: microseconds until the deadline, 0 if it has passed. */
PhTime ph_call_time_left (const PhContext *ctx, const PhCall *call);

/*
 * ph_attempt_response: the head of a response has arrived.
 *
 * Returns true if it becomes the response of the call; every other attempt is then cancelled.
 * Returns false if it is late or a duplicate: the runtime drops it.
 */
bool ph_attempt_response (PhContext *ctx, PhWorld *world, PhAttemptId id);

/*
 * ph_attempt_should_rerun: whether to drop an error response and try again at another upstream.
 *
 * True for an idempotent call of a caller without the rerun mark, if no other attempt is open,
 * the request can still be sent again, and there is another upstream, enough time and enough
 * retry budget. To be called before ph_attempt_response; after true the runtime calls
 * ph_attempt_fail instead.
 */
bool ph_attempt_should_rerun (const PhContext *ctx, const PhWorld *world, PhAttemptId id);

/*
 * ph_attempt_fail: an attempt ended without a response that can be passed on.
 *
 * run says whether the upstream ran the request. Unless another attempt is open, the call
 * system tries again or refuses the call when it runs next. After ph_attempt_response this is the
 * same as ph_attempt_finish with is_complete false.
 */
void ph_attempt_fail (PhContext *ctx, PhWorld *world, PhAttemptId id, PhRun run, PhReason reason);

/* ph_attempt_finish: the body of the response is complete (is_complete) or was truncated. Frees the
 * call. Before ph_attempt_response this is the same as ph_attempt_fail with PH_RUN_UNKNOWN. */
void ph_attempt_finish (PhContext *ctx, PhWorld *world, PhAttemptId id, bool is_complete);

/* ph_call_system: choose upstreams for pending calls, retry or refuse them. Run by ph_world_tick.
 */
void ph_call_system (PhContext *ctx, PhWorld *world);

/* ph_call_timer: start the hedge of a call whose hedge time has come, try a waiting call again, or
 * abandon the attempts of a call whose deadline has passed without a response, and refuse it; or
 * end a response that makes no progress after the deadline. handle is that of a PhCallId. */
void ph_call_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/* ph_call_body_discarded: the runtime no longer stores the first bytes of the request body, which
 * an open attempt has sent. No further attempt can be made; another one that waits in the queue of
 * the local upstream is cancelled. */
void ph_call_body_discarded (PhContext *ctx, PhWorld *world, PhCallId id);

/* ph_call_limit_deadlines: bring forward the deadlines that are later than latest. */
void ph_call_limit_deadlines (PhWorld *world, PhTime latest);

/* ph_reason_status: HTTP status of a refusal. ph_reason_name, ph_run_name: static text of a value,
 * as in the fields between nodes. The parse functions return false, and leave the value unchanged,
 * when text is not such a name. */
int ph_reason_status (PhReason reason);
const char *ph_reason_name (PhReason reason);
bool ph_reason_parse (const char *text, PhReason *reason);
const char *ph_run_name (PhRun run);
bool ph_run_parse (const char *text, PhRun *run);

/* ph_call_id_format, ph_call_id_parse: convert an id of PH_CALL_ID_SIZE bytes to and from text of
 * PH_CALL_ID_TEXT_SIZE bytes. ph_call_id_parse returns false unless text is 32 lower-case
 * hexadecimal digits; *id is then undefined. */
void ph_call_id_format (const uint8_t *id, char *text);
bool ph_call_id_parse (const char *text, uint8_t *id);

#endif
