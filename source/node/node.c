#include "node/node.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "node/admin.h"
#include "node/control.h"
#include "node/dialect.h"
#include "node/dispatch.h"
#include "node/fetch.h"
#include "node/front.h"
#include "node/probe.h"
#include "node/reload.h"
#include "node/store.h"
#include "pollenhitch/command.h"
#include "pollenhitch/log.h"
#include "pollenhitch/object.h"
#include "pollenhitch/settings.h"

#define COMMAND "pollenhitch node"

/* Maximum rounds of the systems in one tick. Work that remains is done in the next tick, after I/O.
 */
#define TICK_ROUNDS_MAX 8

/* A node that knows no other live member is ready after this time, in which it would have learned
 * of other nodes. */
#define ALONE_READY_TIME (3 * PH_SECOND)

static const PhSetting settings_table[] = {
  { "name", PH_SETTING_TEXT, offsetof (PhNodeSettings, name), NULL, 1, PH_NAME_MAX - 1,
    "name of the VM" },
  { "address", PH_SETTING_TEXT, offsetof (PhNodeSettings, address), NULL, 7, 45,
    "IPv4 address that callers and other nodes use" },
  { "data-centre", PH_SETTING_TEXT, offsetof (PhNodeSettings, data_centre), NULL, 1,
    PH_NAME_MAX - 1, "name of the data centre" },
  { "region", PH_SETTING_TEXT, offsetof (PhNodeSettings, region), NULL, 1, PH_NAME_MAX - 1,
    "name of the region" },
  { "port-call", PH_SETTING_NUMBER, offsetof (PhNodeSettings, port_call), "8080", 1, 65535,
    "port for callers" },
  { "port-peer", PH_SETTING_NUMBER, offsetof (PhNodeSettings, port_peer), "8081", 1, 65535,
    "port for calls from other nodes" },
  { "port-admin", PH_SETTING_NUMBER, offsetof (PhNodeSettings, port_admin), "8082", 1, 65535,
    "port for the local upstream and operators" },
  { "port-control", PH_SETTING_NUMBER, offsetof (PhNodeSettings, port_control), "8083", 1, 65535,
    "port for control messages, UDP and TCP" },
  { "upstream-address", PH_SETTING_TEXT, offsetof (PhNodeSettings, upstream_address), "", 7, 45,
    "IPv4 address of the local upstream; default: --address" },
  { "store", PH_SETTING_TEXT, offsetof (PhNodeSettings, store), "", 8, 200,
    "URL of the platform's store" },
  { "seeds", PH_SETTING_TEXT, offsetof (PhNodeSettings, seeds), "", 3, 2000,
    "control ports of other nodes, address:port,..." },
  { "cluster-key", PH_SETTING_TEXT, offsetof (PhNodeSettings, cluster_key), NULL, 32, 128,
    "key of the messages between nodes, hexadecimal; best set by POLLENHITCH_CLUSTER_KEY" },
  { "log-level", PH_SETTING_TEXT, offsetof (PhNodeSettings, log_level), "info", 4, 7,
    "error, warning, info or debug" },
  { "calls", PH_SETTING_NUMBER, offsetof (PhNodeSettings, call_capacity), "16384", 16, 262144,
    "most calls at a time" },
  { "caller-connections", PH_SETTING_NUMBER, offsetof (PhNodeSettings, caller_connections), "8192",
    1, 65536, "most connections of callers" },
  { "pipelined-requests", PH_SETTING_NUMBER, offsetof (PhNodeSettings, pipelined_requests), "1", 1,
    64, "most requests of one connection of a caller that run at the same time" },
  { "chain-precedence", PH_SETTING_NUMBER, offsetof (PhNodeSettings, chain_precedence), "0", 0, 1,
    "1: calls that the local upstream makes come before those of callers" },
  { "run-gating", PH_SETTING_NUMBER, offsetof (PhNodeSettings, run_gating), "0", 0, 1,
    "1: runs that are going to fail for refused deeper calls are not started" },
  { "fleet-capacity", PH_SETTING_NUMBER, offsetof (PhNodeSettings, fleet_capacity), "0", 0, 1,
    "1: nodes tell each other the free slots of their upstreams" },
  { "silence-detection", PH_SETTING_NUMBER, offsetof (PhNodeSettings, silence_detection), "0", 0, 1,
    "1: connections on which the upstream has fallen silent are given up" },
  { "catch-up-syncs", PH_SETTING_NUMBER, offsetof (PhNodeSettings, catch_up_syncs), "0", 0, 1,
    "1: nodes that start together learn of each other by syncs" },
  { "cold-precedence", PH_SETTING_NUMBER, offsetof (PhNodeSettings, cold_precedence), "0", 0, 1,
    "1: a cold upstream takes urgent calls first and refuses at once those that it cannot serve" },
  { "connections-per-caller", PH_SETTING_NUMBER, offsetof (PhNodeSettings, connections_per_caller),
    "2048", 1, 65536, "most connections from one caller address" },
  { "stop-seconds", PH_SETTING_DURATION, offsetof (PhNodeSettings, stop_limit_ms), "60", 3000,
    3600000, "time after which the process is killed when it is asked to stop" },
  { "events", PH_SETTING_NUMBER, offsetof (PhNodeSettings, event_capacity), "8192", 16, 1048576,
    "events kept for the timeline" },
  { "probe-path", PH_SETTING_TEXT, offsetof (PhNodeSettings, probe_path), "/", 1, 200,
    "path of the local upstream that a probe requests" },
  /* By the end of the grace time the other nodes have learned of the stop, and none of them sends a
   * request on a connection that is about to close. */
  { "stop-grace-ms", PH_SETTING_NUMBER, offsetof (PhNodeSettings, stop_grace_ms), "2000", 100,
    60000, "time for which a planned stop takes calls that still come" },
  { "announce-ttl-ms", PH_SETTING_NUMBER, offsetof (PhNodeSettings, announce_ttl_ms), "3000", 100,
    600000, "an upstream that says nothing for this long is gone" },
  { "watch-gap-ms", PH_SETTING_NUMBER, offsetof (PhNodeSettings, watch_interval_ms), "0", 0, 60000,
    "least time between two calls of a watch of the store" },
  { "settings-file", PH_SETTING_TEXT, offsetof (PhNodeSettings, settings_file), "", 1, 400,
    "file of NAME=VALUE lines, read at the start, on SIGHUP and when it changes" },
};

void
ph_node_update_clock (PhNode *node)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  node->ctx.now = (PhTime)now.tv_sec * PH_SECOND + now.tv_nsec / 1000;
  clock_gettime (CLOCK_REALTIME, &now);
  node->ctx.wall_us = (int64_t)now.tv_sec * PH_SECOND + now.tv_nsec / 1000;
}

void
ph_node_apply_features (PhNode *node)
{
  const PhNodeSettings *settings = &node->settings;

  ph_chain_set_enabled (node->world, settings->chain_precedence != 0);
  ph_run_gate_set_enabled (node->world, settings->run_gating != 0);
  node->world->uses_fleet_capacity = settings->fleet_capacity != 0;
  node->world->detects_silence = settings->silence_detection != 0;
  node->world->uses_catch_up_syncs = settings->catch_up_syncs != 0;
  node->world->uses_cold_precedence = settings->cold_precedence != 0;
}

static bool
run_io_systems (PhNode *node)
{
  bool has_worked = ph_fetch_system (node->fetch);

  has_worked = ph_dispatch_system (node->dispatch) || has_worked;
  has_worked = ph_probe_system (node) || has_worked;
  has_worked = ph_control_system (node->control) || has_worked;
  has_worked = ph_store_system (node->store) || has_worked;
  return ph_front_system (node->front) || has_worked;
}

/* Whether the world has left work for the I/O systems. Without another round, a refusal that the
 * world has decided would be sent only after the next event of the loop. */
static bool
has_io_work (const PhNode *node)
{
  return ph_fetch_has_work (node->fetch) || ph_dispatch_has_work (node->dispatch)
         || ph_control_has_work (node->control);
}

/* Runs the systems just before the loop sleeps, and sets the timer for the next work that is due.
 */
static void
on_tick (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  PhNode *node = watcher->data;
  bool has_worked = true;
  PhTime next = PH_TIME_NEVER;
  PhTime start;

  (void)events;
  ph_node_update_clock (node);
  for (int round = 0; round < TICK_ROUNDS_MAX && has_worked; round++)
    {
      has_worked = run_io_systems (node);
      next = ph_world_tick (&node->ctx, node->world);
      has_worked = has_io_work (node) || has_worked;
    }
  if (has_worked)
    next = node->ctx.now;
  start = node->ctx.now;
  ph_node_update_clock (node);
  ph_count_time (&node->ctx, PH_HISTOGRAM_TICK, node->ctx.now - start);
  ev_timer_stop (loop, &node->wake_timer);
  if (next == PH_TIME_NEVER)
    return;
  ev_now_update (loop);
  ev_timer_set (&node->wake_timer,
                next > node->ctx.now ? (double)(next - node->ctx.now) / PH_SECOND : 0, 0);
  ev_timer_start (loop, &node->wake_timer);
}

/* Does nothing: the timer only wakes the loop, and the tick does the work. */
static void
on_wake (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
}

/* Measures how late the stop timer runs. A process that runs later than before refuses the open
 * calls sooner. */
static void
measure_stop_delay (PhNode *node)
{
  PhTime delay = node->ctx.now - node->stop_check_at;

  if (delay <= node->stop.delay)
    return;
  node->stop.delay = delay;
  ph_count (&node->ctx, PH_COUNT_STOP_DELAYS, 1);
  ph_world_limit_stop (node->world, ph_stop_refuse_at (&node->stop));
}

static void
schedule_stop_check (PhNode *node)
{
  node->stop_check_at = ph_stop_next_at (&node->stop, node->ctx.now);
  ev_now_update (node->loop);
  ev_timer_set (&node->stop_timer, (double)(node->stop_check_at - node->ctx.now) / PH_SECOND, 0);
  ev_timer_start (node->loop, &node->stop_timer);
}

/* Runs repeatedly during a planned stop, see ph_stop_decide. */
static void
on_stop_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  PhNode *node = watcher->data;
  bool is_idle = ph_world_is_idle (node->world) && node->dispatch->exchanges.count == 0
                 && ph_front_is_idle (node->front);
  PhStopAction action;

  (void)events;
  ph_node_update_clock (node);
  measure_stop_delay (node);
  action = ph_stop_decide (&node->stop, node->ctx.now, is_idle);
  if (action != PH_STOP_WAIT)
    ph_world_refuse_callers (node->world);
  if (action == PH_STOP_TIME_OUT)
    ph_log (&node->ctx, PH_LOG_WARNING, PH_STEP_STOP, NULL,
            "planned stop: timed out, calls open: %u", node->dispatch->exchanges.count);
  if (action == PH_STOP_EXIT || action == PH_STOP_TIME_OUT)
    {
      ph_log (&node->ctx, PH_LOG_INFO, PH_STEP_STOP, NULL,
              "planned stop: ended after %lld ms, the process ran up to %lld ms late",
              (long long)((node->ctx.now - node->stop.began_at) / PH_MS),
              (long long)(node->stop.delay / PH_MS));
      ev_break (loop, EVBREAK_ALL);
      return;
    }
  /* The ports stay open until no call is left: calls that the upstream sends while it works on a
   * call in flight get a refusal, not a failed connection. */
  if (action == PH_STOP_QUIESCE && !node->stop.is_quiesced)
    {
      ph_front_quiesce (node->front);
      node->stop.is_quiesced = true;
      node->stop.quiesced_at = node->ctx.now;
    }
  schedule_stop_check (node);
}

static void
on_stop_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  PhNode *node = watcher->data;
  PhTime limit = node->settings.stop_limit_ms * PH_MS;
  PhTime grace = node->settings.stop_grace_ms * PH_MS;

  (void)loop;
  (void)events;
  if (node->world->is_stopping)
    return;
  ph_node_update_clock (node);
  ph_log (&node->ctx, PH_LOG_INFO, PH_STEP_STOP, NULL,
          "planned stop: started by SIGTERM or SIGINT");
  /* The settings may have been reloaded since the start. */
  node->stop = (PhStop){ .began_at = node->ctx.now,
                         .limit = limit,
                         .grace = grace < limit / 2 ? grace : limit / 2 };
  ph_world_stop (&node->ctx, node->world, ph_stop_refuse_at (&node->stop));
  schedule_stop_check (node);
}

static void
send_message (void *user, const PhMessage *message)
{
  PhNode *node = user;

  if (node->control != NULL)
    ph_control_send (node->control, message);
}

static void
config_changed (void *user, PhObjectId object)
{
  PhNode *node = user;

  if (node->control != NULL)
    ph_control_config_changed (node->control, object);
}

static bool
start_world (PhNode *node, PhEffects *effects, PhError *err)
{
  const PhNodeSettings *settings = &node->settings;
  const PhAdapter *adapter = node->adapter;
  PhWorldOptions opts = { .name = settings->name,
                          .data_centre = settings->data_centre,
                          .region = settings->region,
                          .address = settings->address,
                          .peer_port = (uint16_t)settings->port_peer,
                          .control_port = (uint16_t)settings->port_control,
                          .epoch = (uint64_t)node->ctx.wall_us,
                          .call_capacity = (uint32_t)settings->call_capacity,
                          .announce_ttl = settings->announce_ttl_ms * PH_MS,
                          .service = adapter->service,
                          .adapt_limit = adapter->adapt_limit,
                          .keeps_limit_on_errors = adapter->keeps_limit_on_errors,
                          .shed_floor_fraction = adapter->shed_floor_fraction,
                          .fleet_attempts = adapter->fleet_attempts,
                          .decode = adapter->decode != NULL ? adapter->decode : ph_object_decode,
                          .decode_user = adapter->decode_user };

  node->world = ph_world_new (&node->ctx, &opts, effects, err);
  if (node->world == NULL)
    return false;
  for (const char *const *pair = adapter->regions; pair != NULL && pair[0] != NULL; pair += 2)
    if (ph_data_centre_intern (&node->ctx, node->world, pair[0], pair[1], err).v == 0)
      return false;
  return true;
}

bool
ph_node_is_ready (const PhNode *node)
{
  const PhWorld *world = node->world;
  bool is_alone = world->membership.live_count < 2;

  if (world->is_stopping || (node->adapter->needs_routes && !world->has_routes))
    return false;
  return world->membership.is_joined || !is_alone
         || node->ctx.now > node->started_at + ALONE_READY_TIME;
}

static void
start_watchers (PhNode *node)
{
  static const int signals[] = { SIGTERM, SIGINT };

  ev_prepare_init (&node->tick_watcher, on_tick);
  node->tick_watcher.data = node;
  ev_prepare_start (node->loop, &node->tick_watcher);
  ev_timer_init (&node->wake_timer, on_wake, 0, 0);
  ev_timer_init (&node->stop_timer, on_stop_timer, 0, 0);
  node->stop_timer.data = node;
  for (int i = 0; i < 2; i++)
    {
      ev_signal_init (&node->stop_signals[i], on_stop_signal, signals[i]);
      node->stop_signals[i].data = node;
      ev_signal_start (node->loop, &node->stop_signals[i]);
    }
}

static bool
start_servers (PhNode *node, PhError *err)
{
  const PhAdapter *adapter = node->adapter;
  PhAdminOptions opts;

  node->front = ph_front_new (node, err);
  if (node->front == NULL)
    return false;
  ph_admin_default_options (node, &opts);
  node->admin = ph_admin_new (node, &opts, err);
  if (node->admin == NULL)
    return false;
  for (uint32_t i = 0; i < adapter->admin_server_count; i++)
    {
      node->admin_servers[i] = ph_admin_new (node, &adapter->admin_servers[i], err);
      if (node->admin_servers[i] == NULL)
        return false;
    }
  return true;
}

static bool
start_node (PhNode *node, PhError *err)
{
  PhEffects effects = { .send_message = send_message,
                        .config_changed = config_changed,
                        .send_probe = ph_probe_send,
                        .user = node };

  node->loop = ev_default_loop (EVFLAG_AUTO);
  if (node->loop == NULL)
    return ph_error_set (err, PH_ERROR_IO, PH_STEP_LISTEN, NULL,
                         "libev: cannot create the event loop");
  signal (SIGPIPE, SIG_IGN);
  ph_node_update_clock (node);
  node->started_at = node->ctx.now;
  node->dialect = node->adapter->dialect != NULL ? node->adapter->dialect : ph_dialect_native ();
  ph_random_seed (&node->ctx.random, (uint64_t)node->ctx.wall_us ^ ((uint64_t)getpid () << 40));
  node->ctx.log = ph_log_write;
  node->ctx.logs_events = ph_log_is_debug_enabled ();
  node->ctx.counters = &node->counters;
  if (!ph_event_ring_init (&node->events, (uint32_t)node->settings.event_capacity, err))
    return false;
  node->ctx.events = &node->events;
  node->dispatch = ph_dispatch_new (node, (uint32_t)node->settings.call_capacity, err);
  if (node->dispatch == NULL)
    return false;
  ph_dispatch_effects (&effects);
  if (!start_world (node, &effects, err))
    return false;
  ph_node_apply_features (node);
  node->fetch = ph_fetch_new (node, (uint32_t)node->settings.call_capacity * 2, err);
  if (node->fetch == NULL)
    return false;
  ph_reload_start (node);
  if (!start_servers (node, err))
    return false;
  node->control = ph_control_new (node, err);
  if (node->control == NULL)
    return false;
  node->store = ph_store_new (
      node,
      &(PhStoreOptions){ .dialect = node->adapter->store,
                         .watch_interval = node->settings.watch_interval_ms * PH_MS },
      err);
  if (node->store == NULL)
    return false;
  start_watchers (node);
  return true;
}

static void
stop_node (PhNode *node)
{
  for (uint32_t i = 0; i < node->adapter->admin_server_count; i++)
    ph_admin_drop (node->admin_servers[i]);
  ph_admin_drop (node->admin);
  ph_store_drop (node->store);
  ph_control_drop (node->control);
  node->control = NULL;
  ph_front_drop (node->front);
  ph_fetch_drop (node->fetch);
  ph_dispatch_drop (node->dispatch);
  ph_world_drop (&node->ctx, node->world);
  ph_event_ring_clear (&node->events);
}

const PhSetting *
ph_node_settings (size_t *count)
{
  *count = sizeof settings_table / sizeof *settings_table;
  return settings_table;
}

int
ph_node_run (const PhNodeSettings *settings, const PhAdapter *adapter)
{
  static PhNode node;
  PhError err;
  int status = PH_EXIT_FAILED;

  node.settings = *settings;
  node.adapter = adapter;
  if (node.settings.upstream_address[0] == '\0')
    node.settings.upstream_address = node.settings.address;
  if (!start_node (&node, &err))
    {
      ph_log_error (&node.ctx, PH_LOG_ERROR, &err);
      goto stop;
    }
  ph_log (&node.ctx, PH_LOG_INFO, PH_STEP_LISTEN, NULL, "node started: its ports are open");
  ev_run (node.loop, 0);
  ph_log (&node.ctx, PH_LOG_INFO, PH_STEP_STOP, NULL, "node stopped");
  status = 0;

stop:
  stop_node (&node);
  return status;
}

int
ph_command_node (int argc, char **argv)
{
  static const PhAdapter native;
  PhNodeSettings settings;
  PhError err;
  int status;

  if (!ph_settings_parse (settings_table, sizeof settings_table / sizeof *settings_table, COMMAND,
                          NULL, "Runs the node beside an upstream VM.", &argc, &argv, &settings,
                          &err)
      || !ph_log_start (settings.name, settings.log_level, &err))
    return ph_settings_print_error (COMMAND, &err);
  settings.caller_service = "";
  status = ph_node_run (&settings, &native);
  ph_log_stop ();
  return status;
}
