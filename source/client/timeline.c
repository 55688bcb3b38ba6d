#include "client/timeline.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "client/nodes.h"
#include "client/output.h"
#include "client/store.h"
#include "pollenhitch/command.h"
#include "pollenhitch/object.h"

#define EVENTS_PER_PAGE 1000 /* max events of one response */
#define FOLLOW_INTERVAL_US (500 * 1000)
#define EVENTS_LIMIT_MAX 1000000

typedef struct
{
  const char *nodes;
  const char *output;
  const char *call;
  const char *service;
  const char *vm;
  const char *data_centre;
  const char *kind;
  const char *since;
  const char *until;
  int64_t timeout_ms;
  int64_t limit;
  int64_t follow_seconds;
} Settings;

static const PhSetting settings_table[] = {
  PH_NODES_SETTING (Settings, nodes),
  { "output", PH_SETTING_TEXT, offsetof (Settings, output), "text", 4, 4, "text, json or html" },
  { "call", PH_SETTING_TEXT, offsetof (Settings, call), "", 4, 32, "start of a call's id" },
  { "service", PH_SETTING_TEXT, offsetof (Settings, service), "", 3, PH_NAME_MAX - 1,
    "team/service" },
  { "vm", PH_SETTING_TEXT, offsetof (Settings, vm), "", 1, PH_NAME_MAX - 1,
    "VM on which the event was, or that it names" },
  { "data-centre", PH_SETTING_TEXT, offsetof (Settings, data_centre), "", 1, PH_NAME_MAX - 1,
    "data centre of the node" },
  { "kind", PH_SETTING_TEXT, offsetof (Settings, kind), "", 3, 32,
    "kind of event, as call-refused" },
  { "since", PH_SETTING_TEXT, offsetof (Settings, since), "", 20, 32,
    "earliest time, as 2026-12-04T18:00:00Z" },
  { "until", PH_SETTING_TEXT, offsetof (Settings, until), "", 20, 32,
    "latest time, as 2026-12-04T18:00:00Z" },
  { "limit", PH_SETTING_NUMBER, offsetof (Settings, limit), "2000", 1, EVENTS_LIMIT_MAX,
    "newest events that are kept" },
  { "follow-seconds", PH_SETTING_NUMBER, offsetof (Settings, follow_seconds), "0", 0, 86400,
    "go on printing new events for this long" },
  { "timeout-ms", PH_SETTING_NUMBER, offsetof (Settings, timeout_ms), "2000", 10, 600000,
    "longest wait for the response of one node, in milliseconds" },
};

/* Conditions that an event has to meet. The texts are in settings; an empty one always matches. */
typedef struct
{
  const Settings *settings;
  PhEventKind kind;
  bool has_kind;
  int64_t since_us; /* wall clock, microseconds */
  int64_t until_us; /* wall clock, microseconds; inclusive */
} Filter;

/* How far the events of one node have been read. */
typedef struct
{
  uint64_t last_read; /* sequence of the last event that was read */
  uint64_t newest;    /* sequence of the node's newest event; UINT64_MAX: not known yet; set to
                         last_read when the node returned no valid page */
  guint node;         /* index into the timeline's nodes, valid once has_responded is true */
  bool has_responded;
} NodeProgress;

/* Reads events from the nodes into the timeline. */
typedef struct
{
  PhNodes nodes;
  NodeProgress *progress; /* one for each row of nodes, by row index */
  PhTimeline timeline;
  Filter filter;
} Collector;

void
ph_timeline_format_time (uint64_t clock, char *text, size_t size)
{
  int64_t us = (int64_t)(clock >> PH_CLOCK_COUNTER_BITS);
  time_t seconds = (time_t)(us / PH_SECOND);
  struct tm tm;

  gmtime_r (&seconds, &tm);
  snprintf (text, size, "%02d:%02d:%02d.%06d", tm.tm_hour, tm.tm_min, tm.tm_sec,
            (int)(us % PH_SECOND));
}

void
ph_timeline_format_detail (const PhTimelineEvent *event, char *text, size_t size)
{
  static const char *const formats[PH_EVENT_KIND_COUNT] = {
    [PH_EVENT_CALL_OPENED] = "depth %" PRId64,
    [PH_EVENT_UPSTREAM_CHOSEN] = "",
    [PH_EVENT_ATTEMPT_STARTED] = "queued %" PRId64 " us",
    [PH_EVENT_ATTEMPT_FAILED] = "after %" PRId64 " us",
    [PH_EVENT_RETRY] = "attempt %" PRId64,
    [PH_EVENT_HEDGE] = "attempt %" PRId64,
    [PH_EVENT_RESPONSE] = "after %" PRId64 " us",
    [PH_EVENT_CALL_FINISHED] = "after %" PRId64 " us",
    [PH_EVENT_CALL_REFUSED] = "",
    [PH_EVENT_CALL_ABORTED] = "after %" PRId64 " us",
    [PH_EVENT_LIMIT_CHANGED] = "limit %" PRId64,
    [PH_EVENT_UPSTREAM_STATE] = "slots %" PRId64,
    [PH_EVENT_MEMBER_STATE] = "incarnation %" PRId64,
    [PH_EVENT_REVISION_IN_FORCE] = "revision %" PRId64,
    [PH_EVENT_DATA_CENTRE_OUT] = "",
    [PH_EVENT_DATA_CENTRE_IN] = "",
    [PH_EVENT_MOVE_STEP] = "stage %" PRId64,
    [PH_EVENT_PROBE] = "%" PRId64 " probes in the window",
    [PH_EVENT_STOP] = "",
  };
  /* The value of a refusal is a PhRun: whether an upstream ran the request. A value that is not
   * known, from a node of a newer release, is left out. */
  const char *run = event->kind == PH_EVENT_CALL_REFUSED && event->value >= 0 && event->value <= 2
                        ? ph_run_name ((PhRun)event->value)
                        : NULL;

  if (run != NULL)
    snprintf (text, size, "run %s", run);
  else
    snprintf (text, size, formats[event->kind], event->value);
}

/* Whether a text is the expected one; an empty expected text matches all. */
static bool
matches_text (const char *expected, const char *text)
{
  return expected[0] == '\0' || strcmp (expected, text) == 0;
}

static bool
matches_filter (const Collector *collector, const PhTimelineEvent *event)
{
  const Filter *filter = &collector->filter;
  const Settings *settings = filter->settings;
  const PhTimelineNode *node
      = &g_array_index (collector->timeline.nodes, PhTimelineNode, event->node);
  int64_t time = (int64_t)(event->clock >> PH_CLOCK_COUNTER_BITS);

  return strncmp (event->call, settings->call, strlen (settings->call)) == 0
         && matches_text (settings->service, event->service)
         && (matches_text (settings->vm, node->name) || matches_text (settings->vm, event->peer))
         && matches_text (settings->data_centre, node->data_centre)
         && (!filter->has_kind || filter->kind == event->kind) && time >= filter->since_us
         && time <= filter->until_us;
}

/* A text field of an object, or "" when it has none. */
static const char *
get_text (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text != NULL ? text : "";
}

/* An integer field of an object, or 0 when it has none. */
static uint64_t
get_number (const json_t *object, const char *name)
{
  return (uint64_t)json_integer_value (json_object_get (object, name));
}

/* Adds an event to the timeline if it matches the filter. An unknown kind, from a node of a newer
 * release, is ignored. */
static void
add_event (Collector *collector, const json_t *value, guint node)
{
  PhTimelineEvent event = { .node = node,
                            .clock = get_number (value, "clock"),
                            .sequence = get_number (value, "sequence"),
                            .value = json_integer_value (json_object_get (value, "value")) };

  if (!ph_event_kind_parse (get_text (value, "kind"), &event.kind))
    return;
  ph_text_copy (event.reason, sizeof event.reason, get_text (value, "reason"));
  ph_text_copy (event.call, sizeof event.call, get_text (value, "call"));
  ph_text_copy (event.service, sizeof event.service, get_text (value, "service"));
  ph_text_copy (event.peer, sizeof event.peer, get_text (value, "peer"));
  if (matches_filter (collector, &event))
    g_array_append_val (collector->timeline.events, event);
}

/* Reads the page of events of one node, and the node's name and data centre from its first page. */
static void
read_page (Collector *collector, PhNodeRow *row, NodeProgress *progress)
{
  const json_t *value;
  size_t i;

  if (row->page == NULL)
    return;
  if (!progress->has_responded)
    {
      PhTimelineNode node = { .name = "" };

      ph_text_copy (node.name, sizeof node.name, get_text (row->page, "name"));
      ph_text_copy (node.data_centre, sizeof node.data_centre, get_text (row->page, "data_centre"));
      progress->has_responded = true;
      progress->node = collector->timeline.nodes->len;
      g_array_append_val (collector->timeline.nodes, node);
    }
  progress->last_read = get_number (row->page, "last");
  progress->newest = get_number (row->page, "newest");
  json_array_foreach (json_object_get (row->page, "events"), i, value)
    add_event (collector, value, progress->node);
}

static NodeProgress *
get_progress (const Collector *collector, const PhNodeRow *row)
{
  size_t index = (size_t)((const char *)row - collector->nodes.rows.rows) / sizeof *row;

  return &collector->progress[index];
}

/* Whether the node has events that have not been read yet. An is_selected callback of
 * ph_nodes_query; user is the Collector. */
static bool
has_more (void *user, const PhNodeRow *row)
{
  const NodeProgress *progress = get_progress (user, row);

  return progress->last_read < progress->newest;
}

/* Reads the events of all nodes that are newer than those read before, page by page. A node that
 * does not respond is left out until the next call. */
static void
collect_events (Collector *collector, int64_t timeout_ms)
{
  PhNodeRowId id = { 0 };
  bool is_complete = false;

  while ((id = ph_node_row_next (&collector->nodes.rows, id)).v != 0)
    get_progress (collector, ph_node_row_get (&collector->nodes.rows, id))->newest = UINT64_MAX;
  while (!is_complete)
    {
      while ((id = ph_node_row_next (&collector->nodes.rows, id)).v != 0)
        {
          PhNodeRow *row = ph_node_row_get (&collector->nodes.rows, id);

          snprintf (row->path, sizeof row->path, "/v1/events?after=%" PRIu64 "&limit=%d",
                    get_progress (collector, row)->last_read, EVENTS_PER_PAGE);
          row->required_field = "last";
        }
      ph_nodes_query (&collector->nodes, timeout_ms, has_more, collector);
      is_complete = true;
      while ((id = ph_node_row_next (&collector->nodes.rows, id)).v != 0)
        {
          PhNodeRow *row = ph_node_row_get (&collector->nodes.rows, id);
          NodeProgress *progress = get_progress (collector, row);

          if (!has_more (collector, row))
            continue;
          read_page (collector, row, progress);
          if (row->page == NULL)
            progress->newest = progress->last_read;
          is_complete = is_complete && !has_more (collector, row);
        }
    }
}

/* Orders events by clock; node and sequence make the order the same in each run. */
static gint
compare_events (gconstpointer a, gconstpointer b)
{
  const PhTimelineEvent *x = a;
  const PhTimelineEvent *y = b;

  if (x->clock != y->clock)
    return x->clock < y->clock ? -1 : 1;
  return x->node != y->node ? (x->node < y->node ? -1 : 1) : (x->sequence < y->sequence ? -1 : 1);
}

static void
print_text (const PhTimeline *timeline, const PhTimelineEvent *event)
{
  char time[32];
  char detail[64];

  ph_timeline_format_time (event->clock, time, sizeof time);
  ph_timeline_format_detail (event, detail, sizeof detail);
  printf ("%s  %-12s %-17s %-8.8s  %s%s%s%s%s%s%s\n", time,
          g_array_index (timeline->nodes, PhTimelineNode, event->node).name,
          ph_event_kind_name (event->kind), event->call, event->service,
          event->peer[0] != '\0' ? "  " : "", event->peer, event->reason[0] != '\0' ? "  " : "",
          event->reason, detail[0] != '\0' ? "  " : "", detail);
}

static void
print_json (const PhTimeline *timeline, const PhTimelineEvent *event)
{
  const PhTimelineNode *node = &g_array_index (timeline->nodes, PhTimelineNode, event->node);
  json_t *value = json_pack ("{s:I, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:I}", "clock",
                             (json_int_t)event->clock, "node", node->name, "data_centre",
                             node->data_centre, "kind", ph_event_kind_name (event->kind), "call",
                             event->call, "service", event->service, "peer", event->peer, "reason",
                             event->reason, "value", (json_int_t)event->value);

  json_dumpf (value, stdout, JSON_COMPACT);
  putchar ('\n');
  json_decref (value);
}

/* Sorts the collected events, drops the oldest above --limit, prints the rest and, unless the
 * output is HTML, removes them from the timeline. */
static void
print_events (Collector *collector)
{
  const Settings *settings = collector->filter.settings;
  GArray *events = collector->timeline.events;

  g_array_sort (events, compare_events);
  if (events->len > settings->limit)
    g_array_remove_range (events, 0, events->len - (guint)settings->limit);
  if (strcmp (settings->output, "html") == 0)
    {
      ph_timeline_write_html (&collector->timeline, stdout);
      return;
    }
  for (guint i = 0; i < events->len; i++)
    {
      const PhTimelineEvent *event = &g_array_index (events, PhTimelineEvent, i);

      if (strcmp (settings->output, "json") == 0)
        print_json (&collector->timeline, event);
      else
        print_text (&collector->timeline, event);
    }
  fflush (stdout);
  g_array_set_size (events, 0);
}

/* Prints new events at an interval until --follow-seconds have passed. */
static void
follow (Collector *collector)
{
  const Settings *settings = collector->filter.settings;
  gint64 end = g_get_monotonic_time () + settings->follow_seconds * G_USEC_PER_SEC;

  while (g_get_monotonic_time () < end)
    {
      g_usleep (FOLLOW_INTERVAL_US);
      collect_events (collector, settings->timeout_ms);
      print_events (collector);
    }
}

static bool
parse_time (const char *name, const char *text, int64_t fallback, int64_t *time, PhError *err)
{
  *time = fallback;
  if (text[0] == '\0' || ph_wall_time_parse (text, time))
    return true;
  return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                       "--%s: \"%s\" is not allowed; allowed: a time in UTC as "
                       "2026-12-04T18:00:00Z",
                       name, text);
}

static bool
make_filter (Filter *filter, const Settings *settings, PhError *err)
{
  const char *output = settings->output;

  filter->settings = settings;
  filter->has_kind = settings->kind[0] != '\0';
  if (filter->has_kind && !ph_event_kind_parse (settings->kind, &filter->kind))
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                         "--kind: \"%s\" is not allowed; allowed: a kind of event, as call-refused",
                         settings->kind);
  if (strcmp (output, "text") != 0 && strcmp (output, "json") != 0 && strcmp (output, "html") != 0)
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                         "--output: \"%s\" is not allowed; allowed: text, json, html", output);
  if (settings->follow_seconds > 0 && strcmp (output, "html") == 0)
    return ph_error_set (
        err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
        "--follow-seconds: a value above 0 is not allowed with --output html; allowed: 0");
  return parse_time ("since", settings->since, 0, &filter->since_us, err)
         && parse_time ("until", settings->until, INT64_MAX, &filter->until_us, err);
}

/* Prints on stderr the nodes that have never responded. Returns the exit status. */
static int
report_unresponsive_nodes (const Collector *collector)
{
  PhNodeRowId id = { 0 };
  int status = 0;

  while ((id = ph_node_row_next (&collector->nodes.rows, id)).v != 0)
    {
      const PhNodeRow *row = ph_node_row_get (&collector->nodes.rows, id);

      if (get_progress (collector, row)->has_responded)
        continue;
      fprintf (stderr, "pollenhitch timeline: %s does not respond: %s\n", row->address,
               row->failure);
      status = PH_EXIT_FAILED;
    }
  return status;
}

int
ph_command_timeline (int argc, char **argv)
{
  static const char summary[]
      = "Prints the events of several nodes in one order: what caused an event comes before it, in "
        "spite of clock differences.";
  Settings settings = { 0 };
  Collector collector = { 0 };
  PhError err = { 0 };
  int status = 0;

  if (!ph_settings_parse (settings_table, sizeof settings_table / sizeof *settings_table,
                          "pollenhitch timeline", NULL, summary, &argc, &argv, &settings, &err)
      || !make_filter (&collector.filter, &settings, &err))
    return ph_settings_print_error ("pollenhitch timeline", &err);
  collector.timeline.nodes = g_array_new (FALSE, FALSE, sizeof (PhTimelineNode));
  collector.timeline.events = g_array_new (FALSE, FALSE, sizeof (PhTimelineEvent));
  if (ph_nodes_open (&collector.nodes, settings.nodes, &err))
    {
      collector.progress = g_new0 (NodeProgress, collector.nodes.rows.capacity);
      collect_events (&collector, settings.timeout_ms);
      print_events (&collector);
      follow (&collector);
      status = report_unresponsive_nodes (&collector);
    }
  else
    status = ph_client_report_error ("timeline", &err);
  ph_nodes_close (&collector.nodes);
  g_free (collector.progress);
  g_array_free (collector.timeline.nodes, TRUE);
  g_array_free (collector.timeline.events, TRUE);
  return status;
}
