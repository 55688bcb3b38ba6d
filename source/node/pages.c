#include "node/pages.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "node/control.h"
#include "node/dispatch.h"
#include "node/store.h"
#include "pollenhitch/fields.h"
#include "pollenhitch/log.h"
#include "pollenhitch/move.h"
#include "pollenhitch/revision.h"

#define MEMBER_STATE_COUNT 4
#define OMISSIONS_MAX 100 /* on the status page; the count is that of all */

/* Indexed by is_out_of_service. */
static const char *const data_centre_state_names[] = { "in", "out" };

static json_t *
describe_members (const PhWorld *world)
{
  json_t *list = json_array ();
  PhMemberId id = { 0 };

  while ((id = ph_member_next (&world->members, id)).v != 0)
    {
      const PhMemberRecord *record = &ph_member_get (&world->members, id)->record;

      json_array_append_new (
          list, json_pack (
                    "{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "name", record->name, "state",
                    ph_member_state_name (record->state), "address", record->address, "data_centre",
                    record->data_centre, "service", record->has_upstream ? record->service : "",
                    "version", record->has_upstream ? record->version : "", "upstream_state",
                    record->has_upstream ? ph_upstream_state_name (record->upstream_state) : ""));
    }
  return list;
}

static json_t *
describe_services (const PhWorld *world)
{
  const PhRouteSet *set = world->route_set;
  json_t *list = json_array ();
  PhServiceId id = { 0 };

  while ((id = ph_service_next (&world->services, id)).v != 0)
    {
      const PhService *service = ph_service_get (&world->services, id);

      json_array_append_new (list, json_pack ("{s:s, s:b, s:I}", "name", service->name,
                                              "configured", service->is_configured, "upstreams",
                                              (json_int_t)service->upstream_count));
    }
  /* Services that the set of routes names, and that no call and no upstream has needed yet. */
  for (uint32_t i = 1; set != NULL && i < set->service_count; i++)
    {
      const char *name = ph_route_set_text (set, set->services[i].name);

      if (ph_service_find (world, name).v == 0)
        json_array_append_new (
            list, json_pack ("{s:s, s:b, s:i}", "name", name, "configured", 1, "upstreams", 0));
    }
  return list;
}

static json_t *
describe_data_centres (const PhWorld *world)
{
  json_t *list = json_array ();
  PhDataCentreId id = { 0 };

  while ((id = ph_data_centre_next (&world->data_centres, id)).v != 0)
    {
      const PhDataCentre *dc = ph_data_centre_get (&world->data_centres, id);

      json_array_append_new (list,
                             json_pack ("{s:s, s:s, s:s}", "name", dc->name, "region", dc->region,
                                        "state", data_centre_state_names[dc->is_out_of_service]));
    }
  return list;
}

static json_t *
describe_rejected_objects (const PhWorld *world)
{
  json_t *list = json_array ();
  PhObjectId id = { 0 };

  while ((id = ph_object_next (&world->objects, id)).v != 0)
    {
      const PhObjectRow *row = ph_object_get (&world->objects, id);

      if (row->is_rejected)
        json_array_append_new (list,
                               json_pack ("{s:s, s:I, s:s}", "path", row->path, "revision",
                                          (json_int_t)ph_revision_number (row->revision), "error",
                                          row->rejection_text != NULL ? row->rejection_text : ""));
    }
  return list;
}

/* What the set of routes in force leaves out or adjusts, the first OMISSIONS_MAX of it. */
static json_t *
describe_omissions (const PhWorld *world)
{
  const PhRouteSet *set = world->route_set;
  json_t *list = json_array ();

  for (uint32_t i = 0; set != NULL && i < set->omission_count && i < OMISSIONS_MAX; i++)
    json_array_append_new (
        list, json_pack ("{s:s, s:s}", "entry", ph_route_set_text (set, set->omissions[i].entry),
                         "reason", ph_route_set_text (set, set->omissions[i].reason)));
  return list;
}

static json_t *
describe_upstream (const PhWorld *world)
{
  PhLoad load = ph_admission_load (world);
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, world->admission.upstream);

  return json_pack ("{s:s, s:I, s:I, s:I, s:I}", "state",
                    upstream != NULL ? ph_upstream_state_name (upstream->state) : "none",
                    "in_flight", (json_int_t)load.in_flight, "queued", (json_int_t)load.queued,
                    "limit", (json_int_t)load.limit, "latency_us", (json_int_t)load.latency_us);
}

static json_t *
describe_moves (PhNode *node)
{
  const PhWorld *world = node->world;
  json_t *list = json_array ();
  PhMoveId id = { 0 };

  while ((id = ph_move_next (&world->moves, id)).v != 0)
    {
      const PhMove *move = ph_move_get (&world->moves, id);
      PhMoveReason reason;
      char condition[PH_MOVE_TEXT_MAX];

      ph_move_condition (&node->ctx, move, condition);
      json_array_append_new (
          list, json_pack ("{s:s, s:I, s:s, s:f, s:s}", "path", move->path, "revision",
                           (json_int_t)ph_revision_number (move->revision), "outcome",
                           ph_move_outcome_name (ph_move_outcome (&node->ctx, move, &reason)),
                           "share", ph_move_share (&node->ctx, move), "condition", condition));
    }
  return list;
}

static json_t *
describe_store (PhNode *node)
{
  const PhStoreState *store = ph_store_state (node->store);

  return json_pack (
      "{s:b, s:I, s:s, s:I, s:I}", "watching", store->is_watcher, "waiting_ms",
      (json_int_t)(store->failing_since != 0 ? (node->ctx.now - store->failing_since) / PH_MS : 0),
      "last_error", store->last_error, "calls", (json_int_t)store->calls, "era",
      (json_int_t)node->world->store_era);
}

json_t *
ph_page_status (PhNode *node)
{
  PhWorld *world = node->world;

  return json_pack (
      "{s:s, s:s, s:s, s:I, s:I, s:I, s:b, s:o, s:o, s:o, s:o, s:o, s:I, s:o, s:o, s:o}", "name",
      node->settings.name, "data_centre", node->settings.data_centre, "region",
      node->settings.region, "epoch", (json_int_t)world->epoch, "config_revision",
      (json_int_t)ph_revision_number (ph_config_newest (world)), "calls",
      (json_int_t)world->calls.count, "stopping", world->is_stopping, "upstream",
      describe_upstream (world), "store", describe_store (node), "services",
      describe_services (world), "data_centres", describe_data_centres (world), "rejected",
      describe_rejected_objects (world), "left_out_count",
      (json_int_t)ph_config_left_out_count (world), "left_out", describe_omissions (world), "moves",
      describe_moves (node), "members", describe_members (world));
}

static json_t *
describe_event (const PhEvent *event)
{
  char call[PH_CALL_ID_TEXT_SIZE] = "";

  if (event->has_call)
    ph_call_id_format (event->call, call);
  return json_pack (
      "{s:I, s:I, s:s, s:s, s:s, s:s, s:s, s:I}", "clock", (json_int_t)event->clock, "sequence",
      (json_int_t)event->sequence, "kind", ph_event_kind_name (event->kind), "reason",
      event->reason != PH_REASON_NONE ? ph_reason_name (event->reason) : "", "call", call,
      "service", event->service, "peer", event->peer, "value", (json_int_t)event->value);
}

json_t *
ph_page_events (PhNode *node, uint64_t after, uint32_t limit)
{
  json_t *list = json_array ();
  const PhEvent *event;

  for (uint32_t i = 0; i < limit && (event = ph_event_after (&node->events, after)) != NULL; i++)
    {
      after = event->sequence;
      json_array_append_new (list, describe_event (event));
    }
  return json_pack ("{s:s, s:s, s:I, s:I, s:o}", "name", node->settings.name, "data_centre",
                    node->settings.data_centre, "last", (json_int_t)after, "newest",
                    (json_int_t)(node->events.next_sequence - 1), "events", list);
}

static void
write_metric_header (FILE *out, const char *name, const char *help, const char *type)
{
  fprintf (out, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, type);
}

static void
write_gauge (FILE *out, const char *name, const char *help, uint64_t value)
{
  write_metric_header (out, name, help, "gauge");
  fprintf (out, "%s %" PRIu64 "\n", name, value);
}

static void
write_counter (FILE *out, const char *name, const char *help, uint64_t value)
{
  write_metric_header (out, name, help, "counter");
  fprintf (out, "%s %" PRIu64 "\n", name, value);
}

static void
write_refusals (FILE *out, const PhCounters *counters)
{
  static const char name[] = "pollenhitch_refusals_total";

  write_metric_header (out, name, "Calls refused, by reason.", "counter");
  for (int i = 0; i < PH_REASON_COUNT; i++)
    if (counters->refused[i] > 0)
      fprintf (out, "%s{reason=\"%s\"} %" PRIu64 "\n", name, ph_reason_name ((PhReason)i),
               counters->refused[i]);
}

static void
write_histogram (FILE *out, const PhCounterInfo *info, const PhHistogram *histogram)
{
  uint64_t sum = 0;

  write_metric_header (out, info->name, info->help, "histogram");
  for (uint32_t i = 0; i < PH_HISTOGRAM_BUCKETS; i++)
    {
      sum += histogram->buckets[i];
      fprintf (out, "%s_bucket{le=\"%g\"} %" PRIu64 "\n", info->name,
               (double)ph_histogram_bound (i) / PH_SECOND, sum);
    }
  fprintf (out, "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n%s_sum %.6f\n%s_count %" PRIu64 "\n",
           info->name, histogram->count, info->name, (double)histogram->sum_us / PH_SECOND,
           info->name, histogram->count);
}

static void
write_members (FILE *out, const PhWorld *world)
{
  static const char name[] = "pollenhitch_members";
  uint64_t states[MEMBER_STATE_COUNT] = { 0 };
  PhMemberId id = { 0 };

  while ((id = ph_member_next (&world->members, id)).v != 0)
    states[ph_member_get (&world->members, id)->record.state]++;
  write_metric_header (out, name, "Members known, by state.", "gauge");
  for (int i = 0; i < MEMBER_STATE_COUNT; i++)
    fprintf (out, "%s{state=\"%s\"} %" PRIu64 "\n", name, ph_member_state_name ((PhMemberState)i),
             states[i]);
}

/* Resident memory of this process in bytes; 0 when /proc/self/statm cannot be read. */
static uint64_t
read_resident_bytes (void)
{
  FILE *statm = fopen ("/proc/self/statm", "re");
  char line[128] = "";
  char *rest = line;

  if (statm == NULL)
    return 0;
  if (fgets (line, sizeof line, statm) != NULL)
    strtoul (line, &rest, 10); /* skips the total size; the resident size in pages follows */
  fclose (statm);
  return strtoul (rest, NULL, 10) * (uint64_t)sysconf (_SC_PAGESIZE);
}

static uint32_t
count_waiting_calls (const PhWorld *world)
{
  PhServiceId id = { 0 };
  uint32_t count = 0;

  while ((id = ph_service_next (&world->services, id)).v != 0)
    count += ph_service_get (&world->services, id)->token_demand.waiting_count;
  return count;
}

static void
write_gauges (FILE *out, PhNode *node)
{
  PhWorld *world = node->world;
  PhLoad load = ph_admission_load (world);

  write_gauge (out, "pollenhitch_calls_open", "Calls in progress.", world->calls.count);
  write_gauge (out, "pollenhitch_deeper_waiting", "Deeper calls that wait for a token or a slot.",
               count_waiting_calls (world));
  write_gauge (out, "pollenhitch_deeper_routes", "Routes that upstreams are found to call.",
               ph_chain_reports_deeper_count (world));
  write_gauge (out, "pollenhitch_run_gates_closed",
               "Routes of the local upstream whose gate is closed.",
               ph_run_gate_closed_count (world));
  write_gauge (out, "pollenhitch_upstream_in_flight", "Attempts in flight at the local upstream.",
               load.in_flight);
  write_gauge (out, "pollenhitch_upstream_queued", "Attempts in the queue of the local upstream.",
               load.queued);
  write_gauge (out, "pollenhitch_upstream_limit",
               "Attempts allowed in flight at the local upstream.", load.limit);
  write_gauge (out, "pollenhitch_config_revision",
               "Highest revision of the configuration in force.",
               ph_revision_number (ph_config_newest (world)));
  write_gauge (out, "pollenhitch_config_left_out",
               "Objects rejected and entries left out or adjusted in the configuration in force.",
               ph_config_left_out_count (world));
  write_gauge (out, "pollenhitch_store_era", "Highest era of the store that is known.",
               world->store_era);
  write_gauge (out, "pollenhitch_memory_bytes", "Resident memory.", read_resident_bytes ());
  write_gauge (out, "pollenhitch_epoch", "Start time of the process in microseconds since 1970.",
               world->epoch);
}

static void
write_control_and_store (FILE *out, PhNode *node)
{
  const PhControlCounts *control = ph_control_counts (node->control);
  const PhStoreState *store = ph_store_state (node->store);

  write_counter (out, "pollenhitch_control_sent_bytes_total",
                 "Bytes of control messages sent, without IP, UDP and TCP headers.",
                 control->bytes_sent);
  write_counter (out, "pollenhitch_control_received_bytes_total",
                 "Bytes of control messages received, without IP, UDP and TCP headers.",
                 control->bytes_received);
  write_counter (out, "pollenhitch_control_rejected_total",
                 "Control messages that did not decode or had a wrong authentication code.",
                 control->rejected);
  write_counter (out, "pollenhitch_store_calls_total", "Calls to the store.", store->calls);
  write_counter (out, "pollenhitch_store_failures_total", "Calls to the store that failed.",
                 store->failures);
  write_gauge (out, "pollenhitch_store_waiting_seconds",
               "Time since the store stopped responding; 0 while it responds.",
               store->failing_since != 0
                   ? (uint64_t)((node->ctx.now - store->failing_since) / PH_SECOND)
                   : 0);
}

char *
ph_page_metrics (PhNode *node)
{
  char *text = NULL;
  size_t size;
  FILE *out = open_memstream (&text, &size);

  if (out == NULL)
    return NULL;
  for (int i = 0; i < PH_COUNTER_COUNT; i++)
    {
      const PhCounterInfo *info = ph_counter_info ((PhCounterId)i);

      write_counter (out, info->name, info->help, node->counters.values[i]);
    }
  write_refusals (out, &node->counters);
  write_counter (out, "pollenhitch_log_lines_dropped_total",
                 "Log lines dropped because stderr did not take them.", ph_log_dropped_count ());
  for (int i = 0; i < PH_HISTOGRAM_COUNT; i++)
    write_histogram (out, ph_histogram_info ((PhHistogramId)i), &node->counters.histograms[i]);
  write_gauges (out, node);
  write_control_and_store (out, node);
  write_members (out, node->world);
  fclose (out);
  return text;
}
