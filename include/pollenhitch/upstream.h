#ifndef PH_UPSTREAM_H
#define PH_UPSTREAM_H

#include "pollenhitch/retry.h"
#include "pollenhitch/table.h"

/*
 * Registry: data centres, services, and the upstreams of each service.
 *
 * The rows are owned by the world. An upstream row exists for each upstream
 * that a live member announces; the row of this node's own upstream has
 * is_local set.
 */

#define PH_SERVICE_UPSTREAMS_MAX 1024 /* upstreams of one service */
#define PH_VERSION_MAX 32
#define PH_HEALTH_PATH_MAX 128

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

/* Rank of an upstream in the choice of this node, most preferred first. */
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
  bool is_out_of_service; /* an operator took it out of service */
} PhDataCentre;

/* Load as the node beside an upstream reports it on responses and refusals. */
typedef struct
{
  uint32_t in_flight;
  uint32_t queued;
  uint32_t limit;
  uint32_t latency_us; /* smoothed time of a response at the upstream */
  uint32_t
      slowdown_percent; /* time that work takes there now, in percent of the usual; 0 unknown */
} PhLoad;

typedef struct
{
  PhServiceId service;
  PhMemberId member; /* the node beside it; 0 for the local upstream */
  PhDataCentreId data_centre;
  char version[PH_VERSION_MAX];
  PhUpstreamState state;
  bool is_local;
  uint64_t epoch; /* of its start, or of its node's; an announcement of an older one is ignored */
  char instance[PH_NAME_MAX]; /* local: the name that this start of the upstream goes by, or "" */
  uint16_t port;              /* of the upstream itself, used only when it is local */
  uint32_t slots;
  uint32_t connections;
  uint32_t service_index; /* position in the service's list */
  uint8_t
      candidate_group; /* part of the list it is in: 2 * preference, + 1 for the version moved to */
  bool is_withdrawn;   /* until suspended_until: it refused calls because it is leaving */

  PhLoad load; /* last report */
  PhTime load_reported_at;
  double latency_us;             /* estimate of the time of a response, 0 when unknown */
  PhTime latency_confirmed_at;   /* when it was last confirmed */
  uint32_t latency_choice_count; /* choices of the service at that time */
  uint32_t outstanding;          /* attempts of this node that have not ended */
  uint32_t sent_since_report;    /* attempts of this node since the last report */
  PhTime suspended_until;        /* not chosen before, after a connection failure */
} PhUpstream;

/* Rules of a service, from its configuration object. */
typedef struct
{
  uint32_t deadline_ms;       /* of a call that brings none */
  uint32_t queue_ms;          /* longest wait in the queue beside an upstream */
  uint32_t retry_percent;     /* retries as a share of calls */
  uint32_t probes_per_minute; /* for the whole service */
  uint32_t slot_percent;      /* part of the announced slots that is used; 0 for all */
  double cold_calls_per_s;    /* calls a second that a cold upstream bears; 0: not known */
  PhTime cold_duration;       /* how long an upstream stays cold after its start */
  uint32_t connections_max;   /* of an upstream, from all callers; 0: as announced */
  char health_path[PH_HEALTH_PATH_MAX]; /* of the health check, "" for the node's setting */
} PhServiceRules;

#define PH_RULE_VERSIONS_MAX 8

/* Limits for the upstreams of one version; 0 leaves what the upstream announces. */
typedef struct
{
  char version[PH_VERSION_MAX];
  uint32_t max_slots;
  uint32_t cold_start_s;
} PhVersionRule;

typedef struct
{
  char name[PH_NAME_MAX]; /* "team/service" */
  uint64_t name_hash;
  bool is_configured;   /* false while only announced by upstreams */
  PhServiceRules rules; /* of the service object; the budget object replaces its probes */
  uint32_t version_rule_count;
  PhVersionRule version_rules[PH_RULE_VERSIONS_MAX];
  PhUpstreamId *upstreams; /* owned, PH_SERVICE_UPSTREAMS_MAX entries, in order of group */
  uint32_t upstream_count;
  uint32_t group_end[PH_CANDIDATE_GROUP_COUNT]; /* position after the last upstream of each group */
  double latency_us;                            /* smoothed time of a response of the service */
  char move_version[PH_VERSION_MAX];            /* version that a move leads to, "" for none */
  double move_share;                            /* share of calls for that version */
  PhRetryBudget retry;
  uint32_t choice_count; /* choices so far */
} PhService;

PH_DECLARE_TABLE (PhDataCentre, PhDataCentreId, ph_data_centre)
PH_DECLARE_TABLE (PhService, PhServiceId, ph_service)
PH_DECLARE_TABLE (PhUpstream, PhUpstreamId, ph_upstream)

typedef struct PhWorld PhWorld;

/* What a node says of the upstream beside it. */
typedef struct
{
  const char *service; /* "team/service" */
  const char *version;
  PhUpstreamState state;
  PhDataCentreId data_centre;
  PhMemberId member;
  bool is_local;
  uint64_t epoch;       /* 0: the epoch of this node's process */
  const char *instance; /* of the local upstream; NULL when it has no name of its own */
  uint16_t port;
  uint32_t slots;
  uint32_t connections;
} PhUpstreamOptions;

/* ph_service_find: handle of a service by "team/service", or 0. */
PhServiceId ph_service_find (const PhWorld *world, const char *name);

/* ph_service_intern: find or add a service. Returns 0 with err set when the table is full or the
 * name is not "team/service". */
PhServiceId ph_service_intern (PhContext *ctx, PhWorld *world, const char *name, PhError *err);

/* ph_service_rules_default: the rules of a service whose object sets none. */
void ph_service_rules_default (PhServiceRules *rules);

/* ph_service_version_rule: limits set for a version, or NULL. */
const PhVersionRule *ph_service_version_rule (const PhService *service, const char *version);

/* ph_data_centre_intern: find or add a data centre by name. region may be NULL. */
PhDataCentreId ph_data_centre_intern (
    PhContext *ctx, PhWorld *world, const char *name, const char *region, PhError *err);

/*
 * ph_upstream_upsert: add an upstream, or update the one that id names.
 *
 * id may be 0. A change of service, epoch or version replaces the row, so that
 * load and outstanding calls of a predecessor are not counted for its
 * successor. Returns the handle, or 0 with err set.
 */
PhUpstreamId ph_upstream_upsert (
    PhContext *ctx, PhWorld *world, PhUpstreamId id, const PhUpstreamOptions *opts, PhError *err);

/* ph_upstream_drop: take an upstream out of its service; a stale handle is ignored. */
void ph_upstream_drop (PhContext *ctx, PhWorld *world, PhUpstreamId id);

/*
 * ph_upstream_announce: the local upstream announced itself.
 *
 * opts->member, epoch and data_centre are filled in by the world. The
 * announcement holds for PH_ANNOUNCE_TTL and must be renewed.
 */
bool
ph_upstream_announce (PhContext *ctx, PhWorld *world, const PhUpstreamOptions *opts, PhError *err);

/* ph_upstream_withdraw: the local upstream is gone. */
void ph_upstream_withdraw (PhContext *ctx, PhWorld *world);

/* ph_upstream_announce_timer: the announcement of the local upstream may have run out. */
void ph_upstream_announce_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/* ph_upstream_report_load: a load report came with a response or a refusal. */
void ph_upstream_report_load (PhContext *ctx, PhWorld *world, PhUpstreamId id, const PhLoad *load);

#define PH_ANNOUNCE_TTL (3 * PH_SECOND) /* three missed renewals */

const char *ph_upstream_state_name (PhUpstreamState state);
bool ph_upstream_state_parse (const char *text, PhUpstreamState *state);

#endif
