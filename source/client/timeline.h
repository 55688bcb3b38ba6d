#ifndef PH_CLIENT_TIMELINE_H
#define PH_CLIENT_TIMELINE_H

#include <glib.h>
#include <stdio.h>

#include "pollenhitch/event.h"

/* Events of several nodes in one order. */

typedef struct
{
  char name[PH_NAME_MAX]; /* of the VM */
  char data_centre[PH_NAME_MAX];
} PhTimelineNode;

typedef struct
{
  uint64_t clock;
  uint64_t sequence;
  guint node; /* index into nodes */
  PhEventKind kind;
  char reason[32];
  char call[PH_CALL_ID_TEXT_SIZE];
  char service[PH_NAME_MAX];
  char peer[PH_NAME_MAX];
  int64_t value;
} PhTimelineEvent;

typedef struct
{
  GArray *nodes;  /* PhTimelineNode */
  GArray *events; /* PhTimelineEvent, in order of clock */
} PhTimeline;

/* ph_timeline_describe: "1234 us", "limit 9", by the kind of the event. */
void ph_timeline_describe (const PhTimelineEvent *event, char *text, size_t size);

/* ph_timeline_time: the time of day in UTC with microseconds. */
void ph_timeline_time (uint64_t clock, char *text, size_t size);

/* ph_timeline_html: write one page that needs no other file: a lane for each node, an arrow for
 * each message between nodes that two events show. */
void ph_timeline_html (const PhTimeline *timeline, FILE *out);

#endif
