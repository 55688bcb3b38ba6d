#ifndef PH_WORLD_H
#define PH_WORLD_H

#include "pollenhitch/admission.h"
#include "pollenhitch/call.h"
#include "pollenhitch/chain_reports.h"
#include "pollenhitch/choice.h"
#include "pollenhitch/config.h"
#include "pollenhitch/member.h"
#include "pollenhitch/probe.h"
#include "pollenhitch/registration.h"
#include "pollenhitch/route.h"
#include "pollenhitch/run_gate.h"
#include "pollenhitch/silence.h"
#include "pollenhitch/table.h"
#include "pollenhitch/timer.h"
#include "pollenhitch/upstream.h"

/*
 * World: all tables of one node, and the systems that run over them each tick.
 *
 * The runtime enters events with the functions of the other headers, such as
 * ph_call_open, and runs ph_world_tick once in each iteration of its event loop.
 */

#define PH_PROGRESS_HELD UINT64_MAX

/* Callbacks by which the core has the runtime act. They are called from ph_world_tick, or from the
 * function of the core that the runtime has called, and must not call back into the core. */
typedef struct
{
  /* Send an attempt to the local upstream (is_local) or to the node of another upstream. */
  void (*start_attempt) (void *user, PhAttemptId attempt);

  /* Stop an attempt. The core removes its row after this call, and its user pointer must not be
   * used any more. */
  void (*cancel_attempt) (void *user, PhAttemptId attempt);

  /* Send the caller a response that the call failed. The core removes its row after this call. */
  void (*refuse_call) (void *user, PhCallId call, const PhRefusal *refusal);

  /* Bytes of the request body and the response body that an attempt with a response has moved, or
   * PH_PROGRESS_HELD while it waits for the caller or has ended. May be NULL: responses have no
   * deadline then. */
  uint64_t (*response_progress) (void *user, PhAttemptId attempt);

  /* End the response of an attempt, so that it does not pass as complete. The runtime calls
   * ph_attempt_finish afterwards. May be NULL if response_progress is. */
  void (*end_response) (void *user, PhAttemptId attempt);

  /* Send one probe to the local upstream, and call ph_probe_result once when it ends. May be NULL.
   */
  void (*send_probe) (void *user, PhUpstreamId upstream);

  /* Send one control message to the address in it; see member.h. May be NULL. */
  void (*send_message) (void *user, const PhMessage *message);

  /* A revision of an object, or its deletion, is in force. Not called for a rejected revision. May
   * be NULL. */
  void (*config_changed) (void *user, PhObjectId object);

  void *user; /* first argument of each callback */
} PhEffects;

/* Options of a world. Strings are copied; a capacity of 0 stands for its default. */
typedef struct
{
  const char *name;        /* VM name */
  const char *data_centre; /* must not be NULL */
  const char *region;      /* NULL for none */
  const char *address;     /* IP address under which other nodes reach this one */
  uint16_t peer_port;      /* port for calls of other nodes */
  uint16_t control_port;   /* port for control messages */
  uint64_t epoch;          /* start time of the process, wall clock, microseconds */
  uint32_t call_capacity;
  uint32_t upstream_capacity; /* also the capacity of the table of members */
  uint32_t service_capacity;
  uint32_t object_capacity;
  uint32_t route_capacity;
  PhTime announce_ttl; /* lifetime of the local upstream's announcement; 0 for PH_ANNOUNCE_TTL */
  const char *service; /* service of the local upstream if the settings name it, else NULL */
  PhObjectDecodeFunc decode; /* decodes objects; NULL only if none is ever applied */
  void *decode_user;
  PhLimitFunc adapt_limit; /* sets the local upstream's limit; NULL for ph_limit_gradient */
  void *adapt_limit_user;
  bool keeps_limit_on_errors; /* see PhAdmissionPolicy */
  double shed_floor_fraction; /* see PhAdmissionPolicy */
  uint32_t fleet_attempts;    /* see ph_retry_bound_fleet; 0 for the default */
  PhChooseFunc choose;        /* chooses an upstream; NULL for ph_choose_power_of_two */
  void *choose_user;
} PhWorldOptions;

typedef enum
{
  PH_TIMER_CALL,              /* a call reaches its deadline or its time for a hedge */
  PH_TIMER_QUEUE,             /* the first attempt in the admission queue must be evaluated again */
  PH_TIMER_ANNOUNCE,          /* the announcement of the local upstream expires */
  PH_TIMER_MEMBERSHIP_PERIOD, /* a period of the membership protocol ends */
  PH_TIMER_MEMBER_PROBE,      /* a member probe, or a ping on behalf of another member, times out */
  PH_TIMER_HELLO,             /* hellos to the seeds are repeated */
  PH_TIMER_SUSPICION,         /* the suspicion of a member times out */
  PH_TIMER_GOSSIP,            /* a gossip round is due */
  PH_TIMER_UPSTREAM_PROBE,    /* a periodic or a requested run of ph_probe_timer is due */
  PH_TIMER_MOVE,              /* the next evaluation of a move is due */
  PH_TIMER_KEPT_DELETION,     /* the deletion of an object that came back is not kept any longer */
  PH_TIMER_SUSPENSION,        /* the suspension of an upstream ends */
  PH_TIMER_SILENCE,           /* attempts at the local upstream are checked for silence */
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
  PhIndex service_index; /* by name */
  PhIndex member_index;  /* by VM name */
  PhIndex object_index;  /* by path */
  PhIndex route_index;   /* by host and path prefix */
  PhTimerHeap timers;
  PhQueue pending_calls; /* calls that the call system has to process */
  PhAdmission admission;
  PhChain chain;
  PhRunGates run_gates;
  PhSilence silence;
  PhProbe probe;
  PhRegistration registration;
  PhMembership membership;
  PhDataCentreId data_centre; /* data centre of this node */
  uint64_t epoch; /* of this process: its start time, or a higher value after another process with
                     this VM name was found to have a higher epoch */
  uint64_t config_revision;  /* highest revision applied */
  uint64_t store_era;        /* highest era of the store that is known */
  uint32_t store_era_number; /* incremented when the era changes while configuration is known */
  PhConfigList config_lists[PH_CONFIG_LISTS_MAX]; /* lists that this node read from the store */
  uint32_t config_list_count;
  PhRouteSet *route_set;     /* in force, owned; NULL before the first */
  uint32_t route_generation; /* incremented with each set of routes */
  bool has_routes;           /* a set of routes is in force */
  PhCallerLimits caller_limits;
  uint32_t fleet_attempts;                  /* of PhWorldOptions */
  PhTime announce_ttl;                      /* lifetime of the local upstream's announcement */
  uint64_t object_digests[PH_SYNC_BUCKETS]; /* digest of the objects in each bucket, see sync.h */
  uint32_t traced_limit;                    /* limit in the last limit-changed event */
  bool is_stopping;                         /* ph_world_stop was called */
  PhTime stop_ends_at;                      /* end of a planned stop: no call lasts longer */
  bool uses_fleet_capacity;                 /* --fleet-capacity */
  bool detects_silence;                     /* --silence-detection */
  bool uses_catch_up_syncs;                 /* --catch-up-syncs */
  bool uses_cold_precedence;                /* --cold-precedence, see admission.h */
  bool refuses_callers;                     /* ph_world_refuse_callers was called */
  PhEffects effects;
  PhObjectDecodeFunc decode;
  void *decode_user;
  PhChooseFunc choose;
  void *choose_user;
};

/* Default capacities, in rows. */
#define PH_CALLS_DEFAULT 16384
#define PH_UPSTREAMS_DEFAULT 4096
#define PH_SERVICES_DEFAULT 4096
#define PH_OBJECTS_DEFAULT 8192

/* ph_world_new: create a world, to be freed with ph_world_drop. *effects is copied. Returns NULL
 * with err set when an option is not allowed or memory runs out. */
PhWorld *
ph_world_new (PhContext *ctx, const PhWorldOptions *opts, const PhEffects *effects, PhError *err);

/* ph_world_drop: free a world and all of its rows; NULL is ignored. No effect is called for calls
 * and attempts that are open; their user pointers stay with the runtime. */
void ph_world_drop (PhContext *ctx, PhWorld *world);

/*
 * ph_world_tick: run the timers that are due at ctx->now, then the systems over
 * all pending rows.
 *
 * Returns the time at which the next tick is due at the latest: ctx->now when
 * rows are still pending, PH_TIME_NEVER when no timer is set.
 */
PhTime ph_world_tick (PhContext *ctx, PhWorld *world);

/*
 * ph_world_stop: begin a planned stop that ends at ends_at.
 *
 * The node announces that it leaves and refuses new calls of other nodes as not run. Calls in
 * flight go on until ends_at at the latest, when they are refused as for their deadline. A new call
 * of a caller that is not expected to end by then is refused at once as not run.
 */
void ph_world_stop (PhContext *ctx, PhWorld *world, PhTime ends_at);

/* ph_world_limit_stop: bring forward the end of a planned stop. */
void ph_world_limit_stop (PhWorld *world, PhTime ends_at);

/* ph_world_refuse_callers: begin the last phase of a planned stop. New calls of callers are refused
 * too, as not run, because the end of the process would cut them off. */
void ph_world_refuse_callers (PhWorld *world);

/* ph_world_is_idle: whether no call is open. */
bool ph_world_is_idle (const PhWorld *world);

#endif
