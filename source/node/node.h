#ifndef PH_NODE_H
#define PH_NODE_H

#include <ev.h>

#include "pollenhitch/counter.h"
#include "pollenhitch/event.h"
#include "pollenhitch/settings.h"
#include "pollenhitch/world.h"

/*
 * The node process: one libev loop on one thread.
 *
 * The I/O modules below record input in their tables and in the world. The tick
 * runs from a prepare watcher, right before the loop sleeps: inputs, then the
 * systems of the world, then outputs.
 */

typedef struct
{
  uint32_t v;
} PhTransferId;

typedef struct PhFront PhFront;       /* HTTP server for callers and peers */
typedef struct PhFetch PhFetch;       /* HTTP client */
typedef struct PhDispatch PhDispatch; /* carries calls between front, world and fetch */
typedef struct PhControl PhControl;   /* ONC RPC between nodes */
typedef struct PhStore PhStore;       /* client of the platform's store */
typedef struct PhAdmin PhAdmin;       /* HTTP server for the local upstream and operators */
typedef struct PhDialect PhDialect;   /* what callers and the upstream speak, see dialect.h */

typedef struct
{
  const char *name;
  const char *address;
  const char *data_centre;
  const char *region;
  int64_t port_call;
  int64_t port_peer;
  int64_t port_admin;
  int64_t port_control;
  const char *upstream_address;
  const char *store;       /* URL, "" for none */
  const char *seeds;       /* "address:port,...", control ports of other nodes */
  const char *cluster_key; /* hexadecimal */
  const char *log_level;
  int64_t call_capacity;
  int64_t caller_connections;
  int64_t connections_per_caller;
  int64_t stop_seconds;
  int64_t event_capacity;
  const char *probe_path;
  const char *settings_file;  /* read at the start and when it changes, "" for none */
  int64_t watch_interval_ms;  /* between two calls of a watch of the store */
  const char *caller_service; /* service of the VM, told to upstreams of calls that begin here */
  int64_t stop_grace_ms;      /* calls are taken for this long after a planned stop begins */
  int64_t announce_ttl_ms;    /* an upstream that says nothing for this long is gone */
} PhNodeSettings;

#define PH_ADAPTER_LISTENERS_MAX 4

/*
 * Adapter of a platform: what the node speaks towards it. All parts may be NULL
 * or 0, which stands for pollenhitch's own.
 */
typedef struct PhAdapter
{
  const PhDialect *dialect;
  const struct PhStoreDialect *store;
  PhObjectDecodeFunc decode;
  void *decode_user;
  const struct PhAdminOptions *listeners;
  uint32_t listener_count;
  bool needs_routes;          /* the node is not ready before routes are in force */
  PhLimitFunc adapt_limit;    /* of the limit beside the upstream */
  bool keeps_limit_on_errors; /* see PhAdmissionPolicy */
  double shed_floor_fraction; /* see PhAdmissionPolicy */
  const char *const *regions; /* pairs of data centre and region, NULL-terminated */
  const char *service;        /* of the local upstream, as "team/service" */
} PhAdapter;

/* Settings that may change while the node runs, from a file of NAME=VALUE lines. */
typedef struct
{
  ev_timer timer;
  ev_signal signal;
  int64_t modified_ns; /* of the file that was read last */
  int64_t size;
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
  PhAdmin *admin;
  PhAdmin *listeners[PH_ADAPTER_LISTENERS_MAX]; /* of the adapter */
  const PhAdapter *adapter;
  PhReload reload;
  PhEventRing events;
  PhCounters counters;
  const PhDialect *dialect;
  PhUpstreamId probed_upstream; /* upstream of the probe under way, or 0 */
  PhTransferId probe_transfer;
  PhTime probe_sent_at;
  int probe_status;
  ev_prepare tick;
  ev_timer wake;
  ev_timer stop_poll;
  PhTime started_at;
  PhTime stop_at;
  bool is_quiesced; /* the ports for calls are closed */
  ev_signal stop_signals[2];
} PhNode;

/* ph_node_update_clock: set the context's clock from the loop's; called at the start of each I/O
 * callback that passes input to the world. */
void ph_node_update_clock (PhNode *node);

/* ph_node_is_ready: whether callers may be sent to this node. */
bool ph_node_is_ready (const PhNode *node);

/* ph_node_run: run a node until a planned stop. The settings and the adapter must outlive it.
 * Returns the exit status. */
int ph_node_run (const PhNodeSettings *settings, const PhAdapter *adapter);

/* ph_node_settings: the table of the settings that the node command takes. */
const PhSetting *ph_node_settings (size_t *count);

#endif
