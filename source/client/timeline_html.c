#include "client/timeline.h"

#include <inttypes.h>
#include <string.h>

/* Sizes of the chart, in pixels. */
#define LANE_HEIGHT 64
#define LABEL_WIDTH 190
#define PLOT_WIDTH 1500
#define MARGIN_TOP 96
#define MARGIN_RIGHT 60
#define MARKER_RADIUS 5
#define TICK_INTERVALS 10

/* Markers of one lane that are closer than MARKER_SPACING are stacked: each is STACK_STEP pixels
 * below the one before, and after STACK_MAX of them the stack starts again at the top. */
#define MARKER_SPACING 11
#define STACK_MAX 4
#define STACK_STEP 11

typedef enum
{
  COLOUR_CALL,
  COLOUR_SUCCESS,
  COLOUR_FAILURE,
  COLOUR_RETRY,
  COLOUR_STATE,
  COLOUR_COUNT
} Colour;

typedef struct
{
  const char *css_class;
  const char *css_colour;
  const char *label; /* in the legend */
} ColourInfo;

static const ColourInfo colours[COLOUR_COUNT] = {
  { "call", "#3465a4", "call, attempt" },
  { "good", "#2e8b57", "response" },
  { "bad", "#cc0000", "failure, refusal" },
  { "retry", "#e08b00", "retry, hedge, abort" },
  { "state", "#75507b", "state, configuration, limit" },
};

/* Kinds of the two events that show one message between two nodes. */
typedef struct
{
  PhEventKind from; /* event at the sender */
  PhEventKind to;   /* event at the receiver */
} ArrowKind;

/* The two events belong to the same call. For a request the event at the sender has the receiving
 * node as its peer; for a response or a failure the event at the receiver has the sending node as
 * its peer. */
static const ArrowKind request_arrow = { PH_EVENT_UPSTREAM_CHOSEN, PH_EVENT_CALL_OPENED };
static const ArrowKind response_arrow = { PH_EVENT_RESPONSE, PH_EVENT_RESPONSE };
static const ArrowKind failure_arrow = { PH_EVENT_CALL_REFUSED, PH_EVENT_ATTEMPT_FAILED };

typedef struct
{
  const PhTimeline *timeline;
  FILE *out;
  uint64_t first_clock; /* clock of the first event */
  uint64_t clock_span;  /* width of the time axis in clock units, 1 or more */
  double *x;            /* position of each event's marker, in pixels */
  double *y;
} Chart;

static Colour
event_colour (PhEventKind kind)
{
  switch (kind)
    {
    case PH_EVENT_RESPONSE:
    case PH_EVENT_CALL_FINISHED:
      return COLOUR_SUCCESS;
    case PH_EVENT_ATTEMPT_FAILED:
    case PH_EVENT_CALL_REFUSED:
    case PH_EVENT_DATA_CENTRE_OUT:
      return COLOUR_FAILURE;
    case PH_EVENT_RETRY:
    case PH_EVENT_HEDGE:
    case PH_EVENT_CALL_ABORTED:
      return COLOUR_RETRY;
    case PH_EVENT_CALL_OPENED:
    case PH_EVENT_UPSTREAM_CHOSEN:
    case PH_EVENT_ATTEMPT_STARTED:
      return COLOUR_CALL;
    default:
      return COLOUR_STATE;
    }
}

static const PhTimelineEvent *
get_event (const Chart *chart, guint i)
{
  return &g_array_index (chart->timeline->events, PhTimelineEvent, i);
}

static const PhTimelineNode *
get_node (const Chart *chart, guint i)
{
  return &g_array_index (chart->timeline->nodes, PhTimelineNode, i);
}

/* Writes text with the special characters of HTML escaped. */
static void
write_text (const Chart *chart, const char *text)
{
  char *escaped = g_markup_escape_text (text, -1);

  fputs (escaped, chart->out);
  g_free (escaped);
}

/* The x coordinate of a clock value. */
static double
clock_to_x (const Chart *chart, uint64_t clock)
{
  return LABEL_WIDTH
         + (double)(clock - chart->first_clock) / (double)chart->clock_span * PLOT_WIDTH;
}

/* The y coordinate of the middle of a node's lane. */
static double
lane_centre_y (guint node)
{
  return MARGIN_TOP + (node + 0.5) * LANE_HEIGHT;
}

/* Computes the positions of all markers; those of one lane that would overlap are stacked. */
static void
place_markers (Chart *chart)
{
  guint count = chart->timeline->events->len;
  double *last_x = g_new0 (double, chart->timeline->nodes->len);
  int *stack_depth = g_new0 (int, chart->timeline->nodes->len);

  for (guint i = 0; i < count; i++)
    {
      const PhTimelineEvent *event = get_event (chart, i);
      double x = clock_to_x (chart, event->clock);

      stack_depth[event->node]
          = x - last_x[event->node] < MARKER_SPACING ? stack_depth[event->node] + 1 : 0;
      last_x[event->node] = x;
      chart->x[i] = x;
      chart->y[i]
          = lane_centre_y (event->node) + (stack_depth[event->node] % STACK_MAX - 1.5) * STACK_STEP;
    }
  g_free (last_x);
  g_free (stack_depth);
}

static void
write_style (const Chart *chart)
{
  fputs ("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
         "<title>pollenhitch timeline</title>\n<style>\n"
         "body { font: 14px sans-serif; margin: 16px; color: #222; }\n"
         ".lane { fill: #f4f4f4; } .lane.odd { fill: #e9eef2; }\n"
         ".label { font-weight: bold; } .small { font-size: 11px; fill: #666; }\n"
         ".tick { stroke: #bbb; stroke-dasharray: 2 3; }\n"
         ".arrow { stroke: #555; stroke-width: 1.2; opacity: 0.7; }\n"
         "circle:hover { stroke: #000; stroke-width: 2; }\n"
         "table { border-collapse: collapse; margin-top: 16px; font-size: 12px; }\n"
         "td, th { padding: 2px 10px; text-align: left; border-bottom: 1px solid #ddd; }\n",
         chart->out);
  for (int i = 0; i < COLOUR_COUNT; i++)
    fprintf (chart->out, ".%s { fill: %s; }\n", colours[i].css_class, colours[i].css_colour);
  fputs ("</style></head><body>\n<h1>pollenhitch timeline</h1>\n", chart->out);
}

static void
write_legend (const Chart *chart)
{
  double x = LABEL_WIDTH;

  for (int i = 0; i < COLOUR_COUNT; i++)
    {
      fprintf (chart->out,
               "<circle class=\"%s\" cx=\"%.0f\" cy=\"16\" r=\"6\"/>"
               "<text x=\"%.0f\" y=\"21\">%s</text>\n",
               colours[i].css_class, x, x + 12, colours[i].label);
      x += 40 + 7.5 * (double)strlen (colours[i].label);
    }
}

/* Writes the ticks of the time axis, with the labels in two rows by turns, so that they do not
 * overlap. */
static void
write_ticks (const Chart *chart)
{
  double bottom = MARGIN_TOP + (double)chart->timeline->nodes->len * LANE_HEIGHT;

  for (int i = 0; i <= TICK_INTERVALS; i++)
    {
      uint64_t clock = chart->first_clock + chart->clock_span / TICK_INTERVALS * (uint64_t)i;
      double x = clock_to_x (chart, clock);
      char time[32];

      ph_timeline_format_time (clock, time, sizeof time);
      fprintf (chart->out,
               "<line class=\"tick\" x1=\"%.1f\" x2=\"%.1f\" y1=\"%d\" y2=\"%.1f\"/>"
               "<text class=\"small\" text-anchor=\"middle\" x=\"%.1f\" y=\"%d\">%s</text>\n",
               x, x, MARGIN_TOP, bottom, x, i % 2 == 0 ? MARGIN_TOP - 24 : MARGIN_TOP - 8, time);
    }
}

static void
write_lanes (const Chart *chart)
{
  for (guint i = 0; i < chart->timeline->nodes->len; i++)
    {
      fprintf (chart->out,
               "<rect class=\"lane%s\" x=\"0\" y=\"%d\" width=\"%d\" height=\"%d\"/>"
               "<text class=\"label\" x=\"8\" y=\"%.1f\">",
               i % 2 == 1 ? " odd" : "", MARGIN_TOP + (int)i * LANE_HEIGHT,
               LABEL_WIDTH + PLOT_WIDTH + MARGIN_RIGHT, LANE_HEIGHT, lane_centre_y (i) - 2);
      write_text (chart, get_node (chart, i)->name);
      fprintf (chart->out, "</text><text class=\"small\" x=\"8\" y=\"%.1f\">",
               lane_centre_y (i) + 14);
      write_text (chart, get_node (chart, i)->data_centre);
      fputs ("</text>\n", chart->out);
    }
}

static void
write_arrow (const Chart *chart, guint from, guint to)
{
  fprintf (chart->out,
           "<line class=\"arrow\" marker-end=\"url(#head)\" x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" "
           "y2=\"%.1f\"/>\n",
           chart->x[from], chart->y[from], chart->x[to], chart->y[to]);
}

/* Whether event a and the later event b show a message from a's node to b's. */
static bool
is_message (const Chart *chart, const PhTimelineEvent *a, const PhTimelineEvent *b)
{
  if (a->node == b->node || strcmp (a->call, b->call) != 0)
    return false;
  if (a->kind == request_arrow.from && b->kind == request_arrow.to)
    return strcmp (a->peer, get_node (chart, b->node)->name) == 0;
  return ((a->kind == response_arrow.from && b->kind == response_arrow.to)
          || (a->kind == failure_arrow.from && b->kind == failure_arrow.to))
         && strcmp (b->peer, get_node (chart, a->node)->name) == 0;
}

/* Maps each call's id to the indexes of its events (a GArray of guint), in the order of the
 * timeline. */
static GHashTable *
group_events_by_call (const Chart *chart)
{
  GHashTable *calls
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_array_unref);

  for (guint i = 0; i < chart->timeline->events->len; i++)
    {
      const PhTimelineEvent *event = get_event (chart, i);
      GArray *group = g_hash_table_lookup (calls, event->call);

      if (event->call[0] == '\0')
        continue;
      if (group == NULL)
        {
          group = g_array_new (FALSE, FALSE, sizeof (guint));
          g_hash_table_insert (calls, (gpointer)event->call, group);
        }
      g_array_append_val (group, i);
    }
  return calls;
}

static void
write_arrows (const Chart *chart)
{
  GHashTable *calls = group_events_by_call (chart);
  GHashTableIter iter;
  gpointer group;

  g_hash_table_iter_init (&iter, calls);
  while (g_hash_table_iter_next (&iter, NULL, &group))
    {
      const GArray *indexes = group;

      for (guint i = 0; i < indexes->len; i++)
        for (guint j = i + 1; j < indexes->len; j++)
          {
            guint from = g_array_index (indexes, guint, i);
            guint to = g_array_index (indexes, guint, j);

            if (is_message (chart, get_event (chart, from), get_event (chart, to)))
              write_arrow (chart, from, to);
          }
    }
  g_hash_table_destroy (calls);
}

static void
write_markers (const Chart *chart)
{
  for (guint i = 0; i < chart->timeline->events->len; i++)
    {
      const PhTimelineEvent *event = get_event (chart, i);
      char time[32];
      char detail[64];

      ph_timeline_format_time (event->clock, time, sizeof time);
      ph_timeline_format_detail (event, detail, sizeof detail);
      fprintf (chart->out,
               "<circle class=\"%s\" cx=\"%.1f\" cy=\"%.1f\" r=\"%d\"><title>%s %s %s %.8s ",
               colours[event_colour (event->kind)].css_class, chart->x[i], chart->y[i],
               MARKER_RADIUS, time, ph_event_kind_name (event->kind), detail, event->call);
      write_text (chart, event->service);
      fputc (' ', chart->out);
      write_text (chart, event->peer);
      fputc (' ', chart->out);
      write_text (chart, event->reason);
      fputs ("</title></circle>\n", chart->out);
    }
}

static void
write_cell (const Chart *chart, const char *text)
{
  fputs ("<td>", chart->out);
  write_text (chart, text);
  fputs ("</td>", chart->out);
}

/* Writes a table with one row for each event. */
static void
write_table (const Chart *chart)
{
  fputs ("<table><tr><th>time</th><th>node</th><th>event</th><th>call</th><th>service</th>"
         "<th>peer</th><th>reason</th><th>value</th></tr>\n",
         chart->out);
  for (guint i = 0; i < chart->timeline->events->len; i++)
    {
      const PhTimelineEvent *event = get_event (chart, i);
      char text[64];

      fputs ("<tr>", chart->out);
      ph_timeline_format_time (event->clock, text, sizeof text);
      write_cell (chart, text);
      write_cell (chart, get_node (chart, event->node)->name);
      write_cell (chart, ph_event_kind_name (event->kind));
      snprintf (text, sizeof text, "%.8s", event->call);
      write_cell (chart, text);
      write_cell (chart, event->service);
      write_cell (chart, event->peer);
      write_cell (chart, event->reason);
      ph_timeline_format_detail (event, text, sizeof text);
      write_cell (chart, text);
      fputs ("</tr>\n", chart->out);
    }
  fputs ("</table>\n", chart->out);
}

void
ph_timeline_write_html (const PhTimeline *timeline, FILE *out)
{
  guint count = timeline->events->len;
  Chart chart = { .timeline = timeline, .out = out, .clock_span = 1 };

  chart.x = g_new0 (double, count + 1);
  chart.y = g_new0 (double, count + 1);
  if (count > 0)
    {
      chart.first_clock = get_event (&chart, 0)->clock;
      chart.clock_span = get_event (&chart, count - 1)->clock - chart.first_clock + 1;
    }
  place_markers (&chart);
  write_style (&chart);
  fprintf (out,
           "<p>%u events of %u nodes. Point at a mark to read it; the table below has them all.</p>"
           "<svg width=\"%d\" height=\"%d\"><defs><marker id=\"head\" viewBox=\"0 0 8 8\" "
           "refX=\"10\" refY=\"4\" markerWidth=\"7\" markerHeight=\"7\" orient=\"auto\">"
           "<path d=\"M0 0L8 4L0 8z\" fill=\"#555\"/></marker></defs>\n",
           count, timeline->nodes->len, LABEL_WIDTH + PLOT_WIDTH + MARGIN_RIGHT,
           MARGIN_TOP + (int)timeline->nodes->len * LANE_HEIGHT + 16);
  write_lanes (&chart);
  write_legend (&chart);
  write_ticks (&chart);
  write_arrows (&chart);
  write_markers (&chart);
  fputs ("</svg>\n", out);
  write_table (&chart);
  fputs ("</body></html>\n", out);
  g_free (chart.x);
  g_free (chart.y);
}
