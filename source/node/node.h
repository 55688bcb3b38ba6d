#ifndef PH_NODE_H
#define PH_NODE_H

#include <ev.h>

#include "pollenhitch/counter.h"
#include "pollenhitch/event.h"
#include "pollenhitch/settings.h"
#include "pollenhitch/stop.h"
#include "pollenhitch/world.h"

/*
 * The node process: one libev loop on one thread.
 *
 * The I/O modules below record input in their own tables and in the world. The
 * tick runs from a prepare watcher, just before the loop sleeps: it passes input
 * to the world, runs the systems of the world, then sends their output.
 */

typedef struct
{
  uint32_t v;
} PhTransferId;

typedef struct PhFront PhFront;       /* HTTP server for callers and peers */
typedef struct PhFetch PhFetch;       /* HTTP client */
typedef struct PhDispatch PhDispatch; /* passes calls between front, world and fetch */
typedef struct PhControl PhControl;   /* control messages between nodes, as ONC RPC */
typedef struct PhStore PhStore;       /* client of the platform's object store */
typedef struct PhAdmin PhAdmin;       /* HTTP server for the local upstream and operators */
typedef struct PhDialect PhDialect;   /* protocol of callers and upstreams, see dialect.h */

typedef struct
{
  const char *name;    /* name of the VM */
  const char *address; /* IPv4 address of the VM, for callers and other nodes */
  const char *data_centre;
  const char *region;
  int64_t port_call;              /* port for callers */
  int64_t port_peer;              /* port for calls from other nodes */
  int64_t port_admin;             /* port for the local upstream and operators */
  int64_t port_control;           /* port for control messages, UDP and TCP */
  const char *upstream_address;   /* IPv4 address of the local upstream */
  const char *store;              /* URL of the platform's object store, "" for none */
  const char *seeds;              /* control ports of other nodes, "address:port,..." */
  const char *cluster_key;        /* key of the control messages, hexadecimal */
  const char *log_level;          /* error, warning, info or debug */
  int64_t call_capacity;          /* maximum of open calls */
  int64_t pipelined_requests;     /* requests of one caller connection in work at a time */
  int64_t chain_precedence;       /* 1: deeper calls come before first ones, see chain.h */
  int64_t run_gating;             /* 1: see run_gate.h; needs chain_precedence */
  int64_t fleet_capacity;         /* 1: see PhWorld.uses_fleet_capacity */
  int64_t silence_detection;      /* 1: see PhWorld.detects_silence */
  int64_t catch_up_syncs;         /* 1: see ph_sync_catch_up */
  int64_t cold_precedence;        /* 1: see PhWorld.uses_cold_precedence */
  int64_t caller_connections;     /* maximum of connections from callers */
  int64_t connections_per_caller; /* maximum of connections from one caller address */
  int64_t stop_limit_ms;          /* a planned stop has to end within this time */
  int64_t event_capacity;         /* events kept for the timeline */
  const char *probe_path;         /* path that a health check requests, see probe.h */
  const char *settings_file;      /* see reload.h, "" for none */
  int64_t watch_interval_ms;      /* least time from the end of a watch call to the next one */
  const char *caller_service;     /* service named as the caller of this VM's calls, "" for none */
  int64_t stop_grace_ms;          /* a planned stop still accepts calls of callers for this long */
  int64_t announce_ttl_ms; /* an announcement of the local upstream expires after this time */
} PhNodeSettings;

#define PH_ADAPTER_ADMIN_SERVERS_MAX 4

/*
 * Adapter of a platform: the protocols and policies that the platform needs.
 * NULL or 0 in a field selects pollenhitch's own.
 */
typedef struct PhAdapter
{
  const PhDialect *dialect;                   /* protocol of callers and upstreams */
  const struct PhStoreDialect *store;         /* protocol of the store */
  PhObjectDecodeFunc decode;                  /* decoder of configuration objects */
  void *decode_user;                          /* passed to decode */
  const struct PhAdminOptions *admin_servers; /* additional servers, see admin.h */
  uint32_t admin_server_count;                /* at most PH_ADAPTER_ADMIN_SERVERS_MAX */
  bool needs_routes;                          /* the node is not ready before routes are in force */
  PhLimitFunc adapt_limit;    /* adapts the concurrency limit of the local upstream */
  bool keeps_limit_on_errors; /* see PhAdmissionPolicy */
  double shed_floor_fraction; /* see PhAdmissionPolicy */
  uint32_t fleet_attempts;    /* see ph_retry_bound_fleet */
  const char *const *regions; /* pairs of data centre and region names, NULL-terminated */
  const char *service;        /* service of the local upstream, as "team/service" */
} PhAdapter;

/* State of the settings file, see reload.h. */
typedef struct
{
  ev_timer check_timer;
  ev_signal signal;    /* SIGHUP */
  int64_t modified_ns; /* modification time at the last check, since the Unix epoch */
  int64_t file_size;   /* bytes at the last check */
} PhReload;

typedef struct PhNode
{
  struct ev_loop *loop;
  PhContext ctx;
  PhWorld *world;
  PhNodeSettings settings;
  PhFetch *fetch;
  PhFront *front;
  PhDispatch *dispatch;
  PhControl *control;
  PhStore *store;
  PhAdmin *admin;                                       /* default server */
  PhAdmin *admin_servers[PH_ADAPTER_ADMIN_SERVERS_MAX]; /* additional servers of the adapter */
  const PhAdapter *adapter;
  PhReload reload;
  PhEventRing events;
  PhCounters counters;
  const PhDialect *dialect;
  PhUpstreamId probed_upstream; /* upstream of the probe in progress, or 0 */
  PhTransferId probe_transfer;  /* transfer of that probe, or 0 when it could not be sent */
  PhTime probe_sent_at;
  int probe_status; /* HTTP status of the probe's response, 0 before it */
  ev_prepare tick_watcher;
  ev_timer wake_timer; /* ends the loop's sleep when a system has work due */
  ev_timer stop_timer; /* checks during a planned stop whether calls are open */
  PhTime started_at;
  PhTime stop_check_at;      /* when stop_timer is due */
  PhStop stop;               /* of a planned stop */
  ev_signal stop_signals[2]; /* SIGTERM and SIGINT */
} PhNode;

/* ph_node_update_clock: set the context's monotonic and wall clocks to the present time. Called at
 * the start of each I/O callback that passes input to the world. */
void ph_node_update_clock (PhNode *node);

/* ph_node_apply_features: pass the settings that switch features of the core to the world. */
void ph_node_apply_features (PhNode *node);

/* ph_node_is_ready: whether callers may send calls to this node. */
bool ph_node_is_ready (const PhNode *node);

/* ph_node_run: run a node until a planned stop. To be called once in a process, after ph_log_start.
 * The settings and the adapter must outlive it. Returns 0 after a planned stop, and PH_EXIT_FAILED,
 * with the error logged, when the node cannot start. */
int ph_node_run (const PhNodeSettings *settings, const PhAdapter *adapter);

/* ph_node_settings: the settings table of the node command; *count is its number of entries. */
const PhSetting *ph_node_settings (size_t *count);

#endif
