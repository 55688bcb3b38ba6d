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

#define PAGE_EVENTS 1000
#define FOLLOW_PERIOD_US (500 * 1000)
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

/* What the events have to match; empty texts match all. */
typedef struct
{
  const Settings *settings;
  PhEventKind kind;
  bool has_kind;
  int64_t since_us;
  int64_t until_us;
} Filter;

typedef struct
{
  uint64_t last;   /* sequence of the last event read */
  uint64_t newest; /* of the node */
  guint node;      /* index into the timeline's nodes */
  bool is_known;
} Progress;

typedef struct
{
  PhNodes nodes;
  Progress *progress; /* one for each row of nodes, in order */
  PhTimeline timeline;
  Filter filter;
} Collector;

void
ph_timeline_time (uint64_t clock, char *text, size_t size)
{
  int64_t us = (int64_t)(clock >> PH_CLOCK_COUNTER_BITS);
  time_t seconds = (time_t)(us / PH_SECOND);
  struct tm tm;

  gmtime_r (&seconds, &tm);
  snprintf (text, size, "%02d:%02d:%02d.%06d", tm.tm_hour, tm.tm_min, tm.tm_sec,
            (int)(us % PH_SECOND));
}

void
ph_timeline_describe (const PhTimelineEvent *event, char *text, size_t size)
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
    [PH_EVENT_MOVE_STEP] = "%" PRId64,
    [PH_EVENT_PROBE] = "%" PRId64 " in the window",
    [PH_EVENT_STOP] = "",
  };
  const char *run = event->kind == PH_EVENT_CALL_REFUSED && event->value >= 0 && event->value <= 2
                        ? ph_run_name ((PhRun)event->value)
                        : NULL;

  if (run != NULL)
    snprintf (text, size, "run %s", run);
  else
    snprintf (text, size, formats[event->kind], event->value);
}

static bool
is_match (const char *wanted, const char *text)
{
  return wanted[0] == '\0' || strcmp (wanted, text) == 0;
}

static bool
is_wanted (const Collector *collector, const PhTimelineEvent *event)
{
  const Filter *filter = &collector->filter;
  const Settings *settings = filter->settings;
  const PhTimelineNode *node
      = &g_array_index (collector->timeline.nodes, PhTimelineNode, event->node);
  int64_t time = (int64_t)(event->clock >> PH_CLOCK_COUNTER_BITS);

  return strncmp (event->call, settings->call, strlen (settings->call)) == 0
         && is_match (settings->service, event->service)
         && (is_match (settings->vm, node->name) || is_match (settings->vm, event->peer))
         && is_match (settings->data_centre, node->data_centre)
         && (!filter->has_kind || filter->kind == event->kind) && time >= filter->since_us
         && time <= filter->until_us;
}

static const char *
text_of (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text != NULL ? text : "";
}

static uint64_t
number_of (const json_t *object, const char *name)
{
  return (uint64_t)json_integer_value (json_object_get (object, name));
}

/* Keeps an event that matches; an event of an unknown kind, of a newer node, is left out. */
static void
take_event (Collector *collector, const json_t *value, guint node)
{
  PhTimelineEvent event = { .node = node,
                            .clock = number_of (value, "clock"),
                            .sequence = number_of (value, "sequence"),
                            .value = json_integer_value (json_object_get (value, "value")) };

  if (!ph_event_kind_parse (text_of (value, "kind"), &event.kind))
    return;
  ph_text_copy (event.reason, sizeof event.reason, text_of (value, "reason"));
  ph_text_copy (event.call, sizeof event.call, text_of (value, "call"));
  ph_text_copy (event.service, sizeof event.service, text_of (value, "service"));
  ph_text_copy (event.peer, sizeof event.peer, text_of (value, "peer"));
  if (is_wanted (collector, &event))
    g_array_append_val (collector->timeline.events, event);
}

static void
take_page (Collector *collector, PhNodeRow *row, Progress *progress)
{
  const json_t *value;
  size_t i;

  if (row->status == NULL)
    return;
  if (!progress->is_known)
    {
      PhTimelineNode node = { .name = "" };

      ph_text_copy (node.name, sizeof node.name, text_of (row->status, "name"));
      ph_text_copy (node.data_centre, sizeof node.data_centre,
                    text_of (row->status, "data_centre"));
      progress->is_known = true;
      progress->node = collector->timeline.nodes->len;
      g_array_append_val (collector->timeline.nodes, node);
    }
  progress->last = number_of (row->status, "last");
  progress->newest = number_of (row->status, "newest");
  json_array_foreach (json_object_get (row->status, "events"), i, value)
    take_event (collector, value, progress->node);
}

static Progress *
progress_of (const Collector *collector, const PhNodeRow *row)
{
  size_t index = (size_t)((const char *)row - collector->nodes.rows.rows) / sizeof *row;

  return &collector->progress[index];
}

static bool
has_more (void *user, const PhNodeRow *row)
{
  const Progress *progress = progress_of (user, row);

  return progress->last < progress->newest;
}

/* Reads the events of all nodes that are newer than those read before. */
static void
collect (Collector *collector, int64_t timeout_ms)
{
  PhNodeRowId id = { 0 };
  bool is_complete = false;

  while ((id = ph_node_row_next (&collector->nodes.rows, id)).v != 0)
    progress_of (collector, ph_node_row_get (&collector->nodes.rows, id))->newest = UINT64_MAX;
  while (!is_complete)
    {
      while ((id = ph_node_row_next (&collector->nodes.rows, id)).v != 0)
        {
          PhNodeRow *row = ph_node_row_get (&collector->nodes.rows, id);

          snprintf (row->path, sizeof row->path, "/v1/events?after=%" PRIu64 "&limit=%d",
                    progress_of (collector, row)->last, PAGE_EVENTS);
          row->required = "last";
        }
      ph_nodes_ask (&collector->nodes, timeout_ms, has_more, collector);
      is_complete = true;
      while ((id = ph_node_row_next (&collector->nodes.rows, id)).v != 0)
        {
          PhNodeRow *row = ph_node_row_get (&collector->nodes.rows, id);
          Progress *progress = progress_of (collector, row);

          if (!has_more (collector, row))
            continue;
          take_page (collector, row, progress);
          if (row->status == NULL)
            progress->newest = progress->last;
          is_complete = is_complete && !has_more (collector, row);
        }
    }
}

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

  ph_timeline_time (event->clock, time, sizeof time);
  ph_timeline_describe (event, detail, sizeof detail);
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
      ph_timeline_html (&collector->timeline, stdout);
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

static void
follow (Collector *collector)
{
  const Settings *settings = collector->filter.settings;
  gint64 end = g_get_monotonic_time () + settings->follow_seconds * G_USEC_PER_SEC;

  while (g_get_monotonic_time () < end)
    {
      g_usleep (FOLLOW_PERIOD_US);
      collect (collector, settings->timeout_ms);
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
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                         "--follow-seconds: is not allowed with --output html; allowed: 0");
  return parse_time ("since", settings->since, 0, &filter->since_us, err)
         && parse_time ("until", settings->until, INT64_MAX, &filter->until_us, err);
}

/* Names the nodes that gave no events on stderr. Returns the exit status. */
static int
report_silent (const Collector *collector)
{
  PhNodeRowId id = { 0 };
  int status = 0;

  while ((id = ph_node_row_next (&collector->nodes.rows, id)).v != 0)
    {
      const PhNodeRow *row = ph_node_row_get (&collector->nodes.rows, id);

      if (progress_of (collector, row)->is_known)
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
      collector.progress = g_new0 (Progress, collector.nodes.rows.capacity);
      collect (&collector, settings.timeout_ms);
      print_events (&collector);
      follow (&collector);
      status = report_silent (&collector);
    }
  else
    status = ph_client_fail ("timeline", &err);
  ph_nodes_close (&collector.nodes);
  g_free (collector.progress);
  g_array_free (collector.timeline.nodes, TRUE);
  g_array_free (collector.timeline.events, TRUE);
  return status;
}
