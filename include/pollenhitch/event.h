#ifndef PH_EVENT_H
#define PH_EVENT_H

#include "pollenhitch/call.h"

/*
 * Event timeline: a bounded ring of typed events of one node.
 *
 * Events carry a hybrid logical clock (Kulkarni et al. 2014): 52 bits of wall
 * clock in microseconds and 12 bits of counter. The clock travels on messages
 * between nodes, so an event that caused another comes before it in the order
 * of clocks, in spite of clock skew.
 */

#define PH_EVENTS_DEFAULT 8192
#define PH_CLOCK_COUNTER_BITS 12

/* A clock further ahead than this is not taken over: one VM with a wrong clock would otherwise
 * carry the whole fleet with it. */
#define PH_CLOCK_SKEW_MAX (60 * PH_SECOND)

typedef enum
{
  PH_EVENT_CALL_OPENED,
  PH_EVENT_UPSTREAM_CHOSEN,
  PH_EVENT_ATTEMPT_STARTED, /* on the connection to the local upstream */
  PH_EVENT_ATTEMPT_FAILED,
  PH_EVENT_RETRY,
  PH_EVENT_HEDGE,
  PH_EVENT_RESPONSE,
  PH_EVENT_CALL_FINISHED,
  PH_EVENT_CALL_REFUSED,
  PH_EVENT_CALL_ABORTED,
  PH_EVENT_LIMIT_CHANGED,
  PH_EVENT_UPSTREAM_STATE,
  PH_EVENT_MEMBER_STATE,
  PH_EVENT_REVISION_IN_FORCE,
  PH_EVENT_DATA_CENTRE_OUT,
  PH_EVENT_DATA_CENTRE_IN,
  PH_EVENT_MOVE_STEP,
  PH_EVENT_PROBE,
  PH_EVENT_STOP,
  PH_EVENT_KIND_COUNT
} PhEventKind;

typedef struct
{
  uint64_t clock;
  uint64_t sequence; /* position in the node's own stream, from 1 */
  PhEventKind kind;
  PhReason reason;
  bool has_call;
  uint8_t call[PH_CALL_ID_SIZE];
  char service[PH_NAME_MAX];
  char peer[PH_NAME_MAX]; /* the other node, data centre, version or path */
  int64_t value;          /* microseconds, limit, revision or state, by kind */
} PhEvent;

struct PhEventRing
{
  PhEvent *events;
  uint32_t capacity;
  uint64_t next_sequence; /* sequence of the next event */
};

/* ph_clock_now: advance the context's clock for an event or a message that is sent. */
uint64_t ph_clock_now (PhContext *ctx);

/* ph_clock_merge: a message with this clock came. */
void ph_clock_merge (PhContext *ctx, uint64_t clock);

bool ph_event_ring_init (PhEventRing *ring, uint32_t capacity, PhError *err);
void ph_event_ring_clear (PhEventRing *ring);

/* ph_event_add: a zeroed event with kind and clock filled in, to be completed by the caller at
 * once. Returns NULL when the context has no ring. */
PhEvent *ph_event_add (PhContext *ctx, PhEventKind kind);

/* ph_event_call: add an event of a call. call and peer may be NULL. */
void ph_event_call (PhContext *ctx,
                    PhEventKind kind,
                    const PhWorld *world,
                    const PhCall *call,
                    const char *peer,
                    PhReason reason,
                    int64_t value);

/* ph_event_record: add an event that belongs to no call. */
void ph_event_record (
    PhContext *ctx, PhEventKind kind, const char *service, const char *peer, int64_t value);

/* ph_event_after: the first event with a sequence above the given one, or NULL. Events that the
 * ring has overwritten are skipped. */
const PhEvent *ph_event_after (const PhEventRing *ring, uint64_t sequence);

const char *ph_event_kind_name (PhEventKind kind);
bool ph_event_kind_parse (const char *text, PhEventKind *kind);

#endif
