#ifndef PH_WORLD_H
#define PH_WORLD_H

#include "pollenhitch/admission.h"
#include "pollenhitch/call.h"
#include "pollenhitch/choice.h"
#include "pollenhitch/config.h"
#include "pollenhitch/member.h"
#include "pollenhitch/probe.h"
#include "pollenhitch/registration.h"
#include "pollenhitch/route.h"
#include "pollenhitch/table.h"
#include "pollenhitch/timer.h"
#include "pollenhitch/upstream.h"

/*
 * World: all tables of one node, and the systems that run over them each tick.
 *
 * The runtime records input with the calls of the other headers, then runs
 * ph_world_tick once for each turn of its loop.
 */

/* What the core asks of the runtime. Each call is made from within ph_world_tick or from the call
 * that caused it; the functions must not call back into the core. */
typedef struct
{
  /* Send the attempt to its upstream (is_local) or to the node beside it. */
  void (*start_attempt) (void *user, PhAttemptId attempt);

  /* Stop an attempt; the row is removed after this call and its user pointer must not be used. */
  void (*cancel_attempt) (void *user, PhAttemptId attempt);

  /* Tell the caller that the call failed; the row is removed after this call. */
  void (*refuse_call) (void *user, PhCallId call, const PhRefusal *refusal);

  /* Send one probe to the local upstream; ph_probe_result is called once for it. May be NULL. */
  void (*send_probe) (void *user, PhUpstreamId upstream);

  /* Send one control message to a member or an address; see member.h. */
  void (*send_message) (void *user, const PhMessage *message);

  /* A new revision is in force. */
  void (*config_changed) (void *user, PhObjectId object);

  void *user;
} PhEffects;

typedef struct
{
  const char *name; /* of the VM */
  const char *data_centre;
  const char *region;
  const char *address;
  uint16_t peer_port;
  uint16_t control_port;
  uint64_t epoch; /* start time of the process, wall clock microseconds */
  uint32_t call_capacity;
  uint32_t upstream_capacity;
  uint32_t service_capacity;
  uint32_t object_capacity;
  uint32_t route_capacity;
  PhTime announce_ttl; /* of the local upstream's announcement; 0 for PH_ANNOUNCE_TTL */
  const char *service; /* of the local upstream, when it is known from settings, or NULL */
  PhObjectDecodeFunc decode;
  void *decode_user;
  PhLimitFunc adapt_limit; /* of the local upstream's limit; NULL for ph_limit_gradient */
  void *adapt_limit_user;
  bool keeps_limit_on_errors; /* see PhAdmissionPolicy */
  double shed_floor_fraction; /* see PhAdmissionPolicy */
  PhChooseFunc choose;        /* NULL for ph_choose_power_of_two */
  void *choose_user;
} PhWorldOptions;

typedef enum
{
  PH_TIMER_CALL,
  PH_TIMER_QUEUE,             /* admission: an attempt has waited as long as it may */
  PH_TIMER_ANNOUNCE,          /* the announcement of the local upstream runs out */
  PH_TIMER_MEMBERSHIP_PERIOD, /* period of the membership protocol */
  PH_TIMER_MEMBER_PROBE,      /* membership: a direct answer is late */
  PH_TIMER_SUSPICION,
  PH_TIMER_GOSSIP,
  PH_TIMER_UPSTREAM_PROBE, /* the probe schedule of the local upstream */
  PH_TIMER_MOVE,           /* moves: the next look */
  PH_TIMER_SUSPENSION,     /* the suspension of an upstream runs out */
  PH_TIMER_KIND_COUNT
} PhTimerKind;

struct PhWorld
{
  PhTable data_centres;
  PhTable services;
  PhTable upstreams;
  PhTable members;
  PhTable calls;
  PhTable attempts;
  PhTable objects;
  PhTable moves;
  PhTable evidence;
  PhTable routes;
  PhIndex service_index;
  PhIndex member_index;
  PhIndex object_index;
  PhIndex route_index;
  PhTimerHeap timers;
  PhQueue pending_calls;
  PhAdmission admission;
  PhProbe probe;
  PhRegistration registration;
  PhMembership membership;
  PhDataCentreId data_centre; /* own */
  uint64_t epoch;
  uint64_t config_revision;                       /* highest applied */
  PhConfigList config_lists[PH_CONFIG_LISTS_MAX]; /* of the store that this node read */
  uint32_t config_list_count;
  uint32_t route_generation; /* rises with each set of routes */
  bool has_routes;           /* a set of routes is in force */
  PhCallerLimits caller_limits;
  PhTime announce_ttl;
  uint64_t object_digests[PH_SYNC_BUCKETS];
  uint32_t traced_limit; /* of the last limit event */
  bool is_stopping;
  bool is_closed; /* a planned stop takes no more calls, of callers neither */
  PhEffects effects;
  PhObjectDecodeFunc decode;
  void *decode_user;
  PhChooseFunc choose;
  void *choose_user;
};

#define PH_CALLS_DEFAULT 16384
#define PH_UPSTREAMS_DEFAULT 4096
#define PH_SERVICES_DEFAULT 1024
#define PH_OBJECTS_DEFAULT 8192

/* ph_world_new: returns NULL with err set when an option is not allowed or memory runs out. */
PhWorld *
ph_world_new (PhContext *ctx, const PhWorldOptions *opts, const PhEffects *effects, PhError *err);
void ph_world_drop (PhContext *ctx, PhWorld *world);

/*
 * ph_world_tick: run the systems over what is pending or due at ctx->now.
 *
 * Returns the time of the next due entry, or PH_TIME_NEVER.
 */
PhTime ph_world_tick (PhContext *ctx, PhWorld *world);

/* ph_world_stop: a planned stop. New calls are refused as not run; calls in flight finish. */
void ph_world_stop (PhContext *ctx, PhWorld *world);

/* ph_world_close: the last part of a planned stop. Calls of callers are refused too, as not run:
 * they would be cut off at its end. */
void ph_world_close (PhWorld *world);

/* ph_world_is_idle: no call is open. */
bool ph_world_is_idle (const PhWorld *world);

#endif
