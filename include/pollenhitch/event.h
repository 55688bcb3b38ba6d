#ifndef PH_EVENT_H
#define PH_EVENT_H

#include "pollenhitch/call.h"

/*
 * Event timeline: a ring buffer of the latest events of one node.
 *
 * Each event carries the time of a hybrid logical clock (Kulkarni et al. 2014):
 * 52 bits of wall clock in microseconds and 12 bits of counter. Messages between
 * nodes carry the clock too, so an event that caused another on a different node
 * has the lower clock value in spite of clock skew.
 */

#define PH_EVENTS_DEFAULT 8192   /* events in the ring */
#define PH_CLOCK_COUNTER_BITS 12 /* low bits of a clock value */

/* A received clock that is further ahead of the wall clock than this is ignored: otherwise one VM
 * with a wrong clock would set the clocks of the whole fleet ahead. */
#define PH_CLOCK_SKEW_MAX (60 * PH_SECOND)

/* Kinds of events, with the meaning of PhEvent.value, and of PhEvent.peer where it is set. The peer
 * of an attempt is the VM that it is sent to. */
typedef enum
{
  PH_EVENT_CALL_OPENED, /* value: depth of the call */
  /* An attempt was sent to the node of another upstream. value: microseconds from its creation. */
  PH_EVENT_UPSTREAM_CHOSEN,
  /* An attempt was started at the local upstream. value: microseconds that it was queued. */
  PH_EVENT_ATTEMPT_STARTED,
  PH_EVENT_ATTEMPT_FAILED,    /* value: microseconds since the attempt was created */
  PH_EVENT_RETRY,             /* value: number of this attempt of the call, from 1 */
  PH_EVENT_HEDGE,             /* value: as for RETRY */
  PH_EVENT_RESPONSE,          /* value: microseconds from the start of the attempt */
  PH_EVENT_CALL_FINISHED,     /* value: microseconds from the start of the attempt */
  PH_EVENT_CALL_REFUSED,      /* value: PhRun */
  PH_EVENT_CALL_ABORTED,      /* value: microseconds since the call was opened */
  PH_EVENT_LIMIT_CHANGED,     /* value: concurrency limit; peer: version of the local upstream */
  PH_EVENT_UPSTREAM_STATE,    /* value: announced slots; peer: state of the local upstream */
  PH_EVENT_MEMBER_STATE,      /* value: incarnation; peer: VM name; service: state of the member */
  PH_EVENT_REVISION_IN_FORCE, /* value: revision; peer: path of the object */
  PH_EVENT_DATA_CENTRE_OUT,   /* peer: name of the data centre; value: 0 */
  PH_EVENT_DATA_CENTRE_IN,    /* peer: name of the data centre; value: 0 */
  PH_EVENT_MOVE_STEP,         /* value: stage; peer: path of the move */
  PH_EVENT_PROBE,             /* value: probes in the last PH_PROBE_WINDOW, with this one */
  PH_EVENT_STOP,              /* value: 0 */
  PH_EVENT_KIND_COUNT
} PhEventKind;

typedef struct
{
  uint64_t clock;    /* hybrid logical clock */
  uint64_t sequence; /* number of the event on this node, from 1 */
  PhEventKind kind;
  PhReason reason;
  bool has_call;                 /* call is set */
  uint8_t call[PH_CALL_ID_SIZE]; /* id of the call */
  char service[PH_NAME_MAX];     /* "team/service" or ""; a state for MEMBER_STATE */
  char peer[PH_NAME_MAX];        /* VM or as PhEventKind says, or ""; a long path is cut off */
  int64_t value;                 /* see PhEventKind */
} PhEvent;

struct PhEventRing
{
  PhEvent *events;        /* owned */
  uint32_t capacity;      /* events */
  uint64_t next_sequence; /* sequence of the next event */
};

/* ph_clock_now: advance the context's clock for an event or for a message to be sent, and return
 * it. */
uint64_t ph_clock_now (PhContext *ctx);

/* ph_clock_merge: advance the context's clock to that of a received message, unless it is more than
 * PH_CLOCK_SKEW_MAX ahead of the wall clock. */
void ph_clock_merge (PhContext *ctx, uint64_t clock);

/* ph_event_ring_init: allocate a ring of capacity events. Returns false with err set when memory
 * runs out; clearing is then allowed, but not needed. */
bool ph_event_ring_init (PhEventRing *ring, uint32_t capacity, PhError *err);
void ph_event_ring_clear (PhEventRing *ring);

/* ph_event_add: append an event with kind, sequence and clock set and all other fields zero, for
 * the caller to complete at once. Overwrites the oldest event when the ring is full. Returns NULL
 * when the context has no ring. */
PhEvent *ph_event_add (PhContext *ctx, PhEventKind kind);

/* ph_event_call: add an event of a call, and log it when the context's logs_events is set. call and
 * peer may be NULL. */
void ph_event_call (PhContext *ctx,
                    PhEventKind kind,
                    const PhWorld *world,
                    const PhCall *call,
                    const char *peer,
                    PhReason reason,
                    int64_t value);

/* ph_event_record: add an event that belongs to no call. service and peer may be NULL. */
void ph_event_record (
    PhContext *ctx, PhEventKind kind, const char *service, const char *peer, int64_t value);

/* ph_event_after: the oldest event still held with a sequence above the given one, or NULL. */
const PhEvent *ph_event_after (const PhEventRing *ring, uint64_t sequence);

/* ph_event_kind_name, ph_event_kind_parse: text of a kind, and the kind of a text. The latter
 * returns false when there is no such kind. */
const char *ph_event_kind_name (PhEventKind kind);
bool ph_event_kind_parse (const char *text, PhEventKind *kind);

#endif
