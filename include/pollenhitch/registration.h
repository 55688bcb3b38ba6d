#ifndef PH_REGISTRATION_H
#define PH_REGISTRATION_H

#include "pollenhitch/upstream.h"

/*
 * Registration of the local upstream by heartbeats.
 *
 * An instance is one run of the upstream's process, identified by its name and
 * start time. Heartbeats may be late, forged or from an earlier instance at the
 * same address. They are ordered by the start time of the instance and then by
 * sequence; one that is out of order is ignored. An instance that has left
 * cannot register again.
 *
 * A node that has just started does not know which departures its previous
 * process recorded. It admits no call until a health check shows that the
 * registering instance is running and not leaving, or until several of its
 * heartbeats were accepted.
 */

#define PH_REGISTRATION_DEPARTED_MAX 8 /* instances that left and are remembered */

typedef struct
{
  const char *instance;   /* name of the instance */
  uint64_t start_wall_ms; /* wall clock when it started, milliseconds; 0 if not reported */
  uint64_t sequence;      /* increases with each heartbeat of an instance */
  const char *service;    /* "team/service" */
  const char *version;
  bool is_draining;
  uint32_t slots;
  uint16_t port;
  PhTime cold_time_left; /* time for which the upstream stays cold; 0 if it is warm */
} PhHeartbeat;

typedef enum
{
  PH_HEARTBEAT_ACCEPTED,
  PH_HEARTBEAT_STALE,  /* out of order, or of an instance that has left; ignored */
  PH_HEARTBEAT_REFUSED /* of another service than this node's, or could not be applied */
} PhHeartbeatResult;

/* An instance that has left. */
typedef struct
{
  char instance[PH_INSTANCE_MAX];
  uint64_t start_wall_ms; /* instances of this name that started up to this time have left */
} PhDepartedInstance;

typedef struct
{
  char service[PH_NAME_MAX];      /* service of the local upstream in the settings, or "" for any */
  char instance[PH_INSTANCE_MAX]; /* the registered instance */
  uint64_t start_wall_ms;         /* of the instance, as in PhHeartbeat */
  uint64_t sequence;              /* of its last heartbeat */
  uint32_t heartbeat_count;       /* heartbeats of the instance that were not stale, also
                                     those that could not be applied */
  bool is_draining;               /* it reported that it is draining, or it left */
  bool is_confirmed;              /* it may get calls */
  PhTime health_check_until;      /* not used: never set, always 0 */
  PhDepartedInstance departed[PH_REGISTRATION_DEPARTED_MAX]; /* ring of the last ones */
  uint32_t departed_count;                                   /* all that have left so far */
} PhRegistration;

/* Result of a health check of the local upstream. */
typedef struct
{
  bool is_healthy;           /* it serves calls and is not leaving */
  const char *instance;      /* NULL if not reported */
  PhTime cold_time_left;     /* negative if not reported */
  uint32_t slowdown_percent; /* see PhLoad; 0 if not reported */
} PhHealth;

/* ph_registration_apply_heartbeat: register the local upstream or renew its registration. err is
 * set with PH_HEARTBEAT_REFUSED only, when the service is not this node's (PH_ERROR_INVALID) or
 * ph_upstream_announce failed. */
PhHeartbeatResult ph_registration_apply_heartbeat (PhContext *ctx,
                                                   PhWorld *world,
                                                   const PhHeartbeat *heartbeat,
                                                   PhError *err);

/* ph_registration_leave: remove the registration of an instance that has ended, or that ends
 * without further heartbeats. Later heartbeats of it are stale. An instance that is not registered
 * is only remembered as departed. */
void ph_registration_leave (PhContext *ctx, PhWorld *world, const char *instance);

/* ph_registration_apply_health: apply the result of a health check (see probe.h). Does not replace
 * ph_probe_result, which is called for each probe. */
void ph_registration_apply_health (PhContext *ctx, PhWorld *world, const PhHealth *health);

/* ph_registration_admits_calls: whether the registration allows calls to be admitted. Always true
 * for an upstream that announces itself without heartbeats. */
bool ph_registration_admits_calls (const PhWorld *world);

#endif
