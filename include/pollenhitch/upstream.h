#ifndef PH_UPSTREAM_H
#define PH_UPSTREAM_H

#include "pollenhitch/retry.h"
#include "pollenhitch/table.h"

/*
 * Tables of data centres, services, and the upstreams of each service.
 *
 * The rows are owned by the world. There is a row for each upstream that a live
 * member announces. The row of the local upstream, the one that this node
 * serves, has is_local set.
 */

#define PH_SERVICE_UPSTREAMS_MAX 1024 /* upstreams of one service */
#define PH_VERSION_MAX 32             /* bytes with the final zero */
#define PH_INSTANCE_MAX 256           /* bytes with the final zero */

typedef struct
{
  uint32_t v;
} PhDataCentreId;

typedef struct
{
  uint32_t v;
} PhServiceId;

typedef struct
{
  uint32_t v;
} PhUpstreamId;

typedef struct
{
  uint32_t v;
} PhMemberId;

typedef enum
{
  PH_UPSTREAM_COLD,
  PH_UPSTREAM_READY,
  PH_UPSTREAM_DRAINING
} PhUpstreamState;

/* Order in which this node prefers the upstreams of a service. */
typedef enum
{
  PH_PREFERENCE_SAME_DATA_CENTRE, /* in this node's data centre */
  PH_PREFERENCE_SAME_REGION,      /* in another data centre of its region */
  PH_PREFERENCE_OTHER_REGION,     /* in another region */
  PH_PREFERENCE_SUSPENDED,        /* after a connection failure */
  PH_PREFERENCE_EXCLUDED,         /* draining, leaving, or its data centre is out of service */
  PH_PREFERENCE_COUNT
} PhPreference;

/* Each preference has two candidate groups: upstreams of the version that a move leads to, and all
 * others. */
#define PH_CANDIDATE_GROUP_COUNT (2 * PH_PREFERENCE_COUNT)

typedef struct
{
  char name[PH_NAME_MAX];
  char region[PH_NAME_MAX];
  bool is_out_of_service; /* taken out of service by an operator */
} PhDataCentre;

/* Load of an upstream as its node reports it on responses and refusals. */
typedef struct
{
  uint32_t in_flight; /* attempts that the upstream is executing, and the probe in flight */
  uint32_t queued;    /* attempts that wait for a slot */
  uint32_t limit;     /* concurrency limit */
  /* Mean latency divided by the ratio of successes (ph_limit_time_per_success), microseconds; 0 if
   * unknown. */
  uint32_t latency_us;
  uint32_t slowdown_percent; /* execution time relative to normal, 100 is normal; 0 if unknown */
} PhLoad;

#define PH_COLD_RATE_SCALE                                                                         \
  10 /* a rate of a cold upstream is kept in tenths of a call per second                           \
      */

/* Load of an upstream as nodes pass it on to each other, see load_view.h. */
typedef struct
{
  uint32_t key; /* ph_load_view_key of the upstream */
  PhTime age;   /* time since its node took the load */
  PhLoad load;  /* latency_us is not passed on and 0 */
  /* Calls per second that the upstream can serve while it is cold, times PH_COLD_RATE_SCALE; 0 if
   * it is not cold or its service has no rate for it. */
  uint32_t cold_rate;
} PhLoadEntry;

typedef struct
{
  PhServiceId service;
  PhMemberId member; /* the upstream's node; 0 for the local upstream */
  PhDataCentreId data_centre;
  char version[PH_VERSION_MAX];
  PhUpstreamState state;
  bool is_local;
  /* Identifies the run of its process: a hash of the instance's name and start time if it registers
   * by heartbeats, otherwise the epoch of its node. Unlike that of a member it has no order. An
   * announcement with another epoch replaces the row. */
  uint64_t epoch;
  char instance[PH_INSTANCE_MAX]; /* of the local upstream: name of its instance, or "" */
  uint16_t port;                  /* of the local upstream itself */
  uint32_t slots;                 /* calls that it executes at once, as announced; 0 counts as 1 */
  /* Connections that it accepts, as announced, or as set by operators if it registers by
   * heartbeats; 0 for no limit. */
  uint32_t connections;
  uint32_t position_in_service; /* position in PhService.upstreams */
  uint8_t candidate_group;      /* 2 * preference, + 1 for the version that a move leads to */
  /* Until suspended_until: its node refused calls because the choice was stale: it is leaving,
   * replaced, not confirmed yet or out of service. */
  bool is_withdrawn;

  PhLoad load; /* last report */
  PhTime load_reported_at;
  /* Estimate in microseconds, 0 if unknown: from load reports the time per success, without them a
   * mean of response times, which failures raise. An abandoned attempt raises both. */
  double latency_us;
  PhTime latency_updated_at;     /* when the estimate was last updated */
  uint32_t latency_choice_count; /* choice_count of the service at that time */
  uint32_t outstanding;          /* attempts of this node that have not ended */
  uint32_t sent_since_report;    /* attempts of this node since the last load report */
  PhTime last_sent_at;           /* start of the last attempt of this node */
  uint32_t cold_rate;            /* as in PhLoadEntry, from the last entry of the view */
  /* End of the suspension after a failure or a withdrawal. Until then, it is chosen only if no
   * other upstream is left, and never while is_withdrawn. */
  PhTime suspended_until;
} PhUpstream;

/* Recent calls that were denied a retry token. */
typedef struct
{
  double count; /* decayed up to denied_at */
  PhTime denied_at;
  uint8_t priority; /* most urgent one of these calls */
} PhDenials;

/* Demand for retry tokens of a service at this node, see chain.h. */
typedef struct
{
  uint32_t waiting_count; /* calls in the state PH_CALL_WAITING */
  PhDenials first;        /* of first calls that were not run */
  PhDenials deeper;       /* of deeper calls that were not run */
} PhTokenDemand;

/* Rules of a service, from its configuration object or from the set of routes. */
typedef struct
{
  uint32_t deadline_ms;       /* default deadline of a call */
  uint32_t queue_ms;          /* longest wait in the queue of an upstream's node */
  uint32_t retry_percent;     /* retry budget as a percentage of calls */
  uint32_t hedge_percent;     /* part of it that hedges may use; 0 for half of retry_percent */
  uint32_t probes_per_minute; /* probe budget of the whole service */
  uint32_t slot_percent;      /* percentage of the announced slots to use; 0 for all */
  double cold_calls_per_s;    /* calls a second that a cold upstream can serve; 0 if unknown */
  /* Time for which cold_calls_per_s applies from a cold start on, unless the upstream reports
   * another. */
  PhTime cold_duration;
  /* Connections that an upstream that registers by heartbeats accepts, from all callers; 0 for no
   * limit. */
  uint32_t connections_max;
} PhServiceRules;

/* Classes of callers: the priorities 0 to 2 and all others together, each by the time left. */
#define PH_RETURN_PRIORITIES 4
#define PH_RETURN_LEVELS 4
#define PH_RETURN_CLASSES (PH_RETURN_PRIORITIES * PH_RETURN_LEVELS)

/* Refused callers that were told to return and are not due yet, see retry_after.h. */
typedef struct
{
  double ahead[PH_RETURN_CLASSES]; /* before a caller of each class */
  PhTime counted_at;               /* time of these counts */
} PhReturnOrder;

#define PH_RULE_VERSIONS_MAX 8

/* Limits for the upstreams of one version. */
typedef struct
{
  char version[PH_VERSION_MAX];
  uint32_t max_slots; /* upper bound on the announced slots; 0 for none */
  /* Seconds of the ramp from one call in flight to all slots, see ph_cold_set_ramp; 0 for the
   * default. Not used if the service has cold_calls_per_s. */
  uint32_t cold_start_s;
} PhVersionRule;

typedef struct
{
  char name[PH_NAME_MAX]; /* "team/service" */
  uint64_t name_hash;
  /* It has a service object or is in the set of routes; if not, only upstreams announce it. */
  bool is_configured;
  /* From the service object, with probes_per_minute from the budget object, or from the set of
   * routes. */
  PhServiceRules rules;
  uint32_t version_rule_count;
  PhVersionRule version_rules[PH_RULE_VERSIONS_MAX];
  /* Owned, PH_SERVICE_UPSTREAMS_MAX entries, in order of group; NULL before the first one. */
  PhUpstreamId *upstreams;
  uint32_t upstream_count;
  uint32_t group_end[PH_CANDIDATE_GROUP_COUNT]; /* position after the last upstream of each group */
  double latency_us;                            /* smoothed response time of the service */
  char move_version[PH_VERSION_MAX];            /* version that a move leads to, "" for none */
  double move_share;                            /* share of calls for that version, 0 to 1 */
  uint64_t move_path_hash;                      /* these two as in PhMoveTraffic */
  uint64_t move_score_min;
  bool is_move_open; /* a move of the service is neither done nor rolled back */
  PhRetryBudget retry;
  PhTokenDemand token_demand;
  PhReturnOrder return_order;
  uint32_t choice_count; /* grows with the choices, from a random start; wraps around */
} PhService;

PH_DECLARE_TABLE (PhDataCentre, PhDataCentreId, ph_data_centre)
PH_DECLARE_TABLE (PhService, PhServiceId, ph_service)
PH_DECLARE_TABLE (PhUpstream, PhUpstreamId, ph_upstream)

typedef struct PhWorld PhWorld;

/* Announcement of an upstream by its node. */
typedef struct
{
  const char *service; /* "team/service" */
  const char *version;
  PhUpstreamState state;
  PhDataCentreId data_centre;
  PhMemberId member;
  bool is_local;
  uint64_t epoch;       /* 0 for the epoch of this node's process */
  const char *instance; /* of the local upstream; NULL if its instance has no name */
  uint16_t port;        /* of the local upstream itself */
  uint32_t slots;       /* as in PhUpstream, like connections */
  uint32_t connections;
} PhUpstreamOptions;

/* ph_service_find: the service named "team/service", or 0. */
PhServiceId ph_service_find (const PhWorld *world, const char *name);

/* ph_service_intern: find or add a service. Returns 0 with err set when the table is full, memory
 * runs out or the name is not "team/service". */
PhServiceId ph_service_intern (PhContext *ctx, PhWorld *world, const char *name, PhError *err);

/* ph_service_rules_default: the rules of a service whose object sets none. */
void ph_service_rules_default (PhServiceRules *rules);

/* ph_service_version_rule: the limits for a version, or NULL. */
const PhVersionRule *ph_service_version_rule (const PhService *service, const char *version);

/* ph_data_centre_intern: find or add a data centre by name and set its region, unless region is
 * NULL. Returns 0 with err set when the table is full or a name is too long; a region that is too
 * long becomes "" if the data centre was known before. */
PhDataCentreId ph_data_centre_intern (
    PhContext *ctx, PhWorld *world, const char *name, const char *region, PhError *err);

/*
 * ph_upstream_upsert: add an upstream, or update the one that id names.
 *
 * id may be 0 or stale; the upstream is then added. A change of service, epoch or
 * version replaces the row, so that the load and the outstanding attempts of a
 * previous instance do not count for the new one. Returns the handle, or 0 with
 * err set when the service or version is not valid, a table is full, the service
 * has PH_SERVICE_UPSTREAMS_MAX upstreams, or memory runs out. On failure the old
 * upstream may or may not remain; drop id if it is not wanted.
 */
PhUpstreamId ph_upstream_upsert (
    PhContext *ctx, PhWorld *world, PhUpstreamId id, const PhUpstreamOptions *opts, PhError *err);

/* ph_upstream_drop: remove an upstream. A stale handle is ignored. */
void ph_upstream_drop (PhContext *ctx, PhWorld *world, PhUpstreamId id);

/*
 * ph_upstream_announce: apply an announcement of the local upstream.
 *
 * The node's own values are used for member, data_centre, is_local, and an epoch
 * of 0. The announcement expires after the TTL of the world, by default
 * PH_ANNOUNCE_TTL, unless it is renewed. Returns false with err set as
 * ph_upstream_upsert does. A new epoch, service or version, or a change to cold,
 * resets admission (ph_admission_reset).
 */
bool
ph_upstream_announce (PhContext *ctx, PhWorld *world, const PhUpstreamOptions *opts, PhError *err);

/* ph_upstream_withdraw: remove the local upstream and announce that to the other nodes. */
void ph_upstream_withdraw (PhContext *ctx, PhWorld *world);

/* ph_upstream_announce_timer: withdraw the local upstream if its announcement has expired. handle
 * is that of a PhUpstreamId. */
void ph_upstream_announce_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/* ph_upstream_report_load: record a load report that was received with a response or a refusal. A
 * stale handle is ignored. */
void ph_upstream_report_load (PhContext *ctx, PhWorld *world, PhUpstreamId id, const PhLoad *load);

#define PH_ANNOUNCE_TTL (3 * PH_SECOND) /* three missed renewals */

/* ph_upstream_state_name, ph_upstream_state_parse: static text of a state, and the state of a text.
 * The latter returns false when there is no such state. */
const char *ph_upstream_state_name (PhUpstreamState state);
bool ph_upstream_state_parse (const char *text, PhUpstreamState *state);

#endif
