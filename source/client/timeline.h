#ifndef PH_CLIENT_TIMELINE_H
#define PH_CLIENT_TIMELINE_H

#include <glib.h>
#include <stdio.h>

#include "pollenhitch/event.h"

/* Merges the events of several nodes into one order, by their hybrid logical clocks. */

typedef struct
{
  char name[PH_NAME_MAX]; /* name of the node's VM */
  char data_centre[PH_NAME_MAX];
} PhTimelineNode;

typedef struct
{
  uint64_t clock;    /* hybrid logical clock: microseconds of the wall clock, then
                        PH_CLOCK_COUNTER_BITS bits of counter */
  uint64_t sequence; /* position in the node's own stream, from 1 */
  guint node;        /* index into nodes */
  PhEventKind kind;
  char reason[32];                 /* "" when there is none */
  char call[PH_CALL_ID_TEXT_SIZE]; /* id of the call, "" when the event belongs to none */
  char service[PH_NAME_MAX];
  char peer[PH_NAME_MAX]; /* the other node, data centre, version or path */
  int64_t value;          /* meaning depends on kind, see ph_timeline_format_detail */
} PhTimelineEvent;

typedef struct
{
  GArray *nodes;  /* PhTimelineNode */
  GArray *events; /* PhTimelineEvent, ordered by clock */
} PhTimeline;

/* ph_timeline_format_detail: format the value of an event as its kind requires, as "after 1234 us"
 * or "limit 9". */
void ph_timeline_format_detail (const PhTimelineEvent *event, char *text, size_t size);

/* ph_timeline_format_time: format the time of day of a clock value, in UTC with microseconds. */
void ph_timeline_format_time (uint64_t clock, char *text, size_t size);

/*
 * ph_timeline_write_html: write a self-contained HTML page.
 *
 * The page has a chart with a lane for each node and an arrow for each message
 * between two nodes whose sending and arrival are both in the timeline, and a table
 * of all events. A write error is left in out, see ferror.
 */
void ph_timeline_write_html (const PhTimeline *timeline, FILE *out);

#endif
