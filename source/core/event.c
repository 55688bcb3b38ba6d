#include "pollenhitch/event.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pollenhitch/world.h"

static const char *const kind_names[PH_EVENT_KIND_COUNT] = {
  "call-opened",
  "upstream-chosen",
  "attempt-started",
  "attempt-failed",
  "retry",
  "hedge",
  "response",
  "call-finished",
  "call-refused",
  "call-aborted",
  "limit-changed",
  "upstream-state",
  "member-state",
  "revision-in-force",
  "data-centre-out",
  "data-centre-in",
  "move-step",
  "probe",
  "stop",
};

const char *
ph_event_kind_name (PhEventKind kind)
{
  return kind_names[kind];
}

bool
ph_event_kind_parse (const char *text, PhEventKind *kind)
{
  for (int i = 0; i < PH_EVENT_KIND_COUNT; i++)
    if (strcmp (text, kind_names[i]) == 0)
      {
        *kind = (PhEventKind)i;
        return true;
      }
  return false;
}

uint64_t
ph_clock_now (PhContext *ctx)
{
  uint64_t wall = (uint64_t)ctx->wall_us << PH_CLOCK_COUNTER_BITS;

  ctx->clock = wall > ctx->clock ? wall : ctx->clock + 1;
  return ctx->clock;
}

void
ph_clock_merge (PhContext *ctx, uint64_t clock)
{
  uint64_t bound = (uint64_t)(ctx->wall_us + PH_CLOCK_SKEW_MAX) << PH_CLOCK_COUNTER_BITS;

  if (clock > ctx->clock && clock <= bound)
    ctx->clock = clock;
}

bool
ph_event_ring_init (PhEventRing *ring, uint32_t capacity, PhError *err)
{
  ring->events = calloc (capacity, sizeof *ring->events);
  ring->capacity = capacity;
  ring->next_sequence = 1;
  if (ring->events != NULL)
    return true;
  return ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_SETTINGS, NULL, "out of memory for %u events",
                       capacity);
}

void
ph_event_ring_clear (PhEventRing *ring)
{
  free (ring->events);
  memset (ring, 0, sizeof *ring);
}

PhEvent *
ph_event_add (PhContext *ctx, PhEventKind kind)
{
  PhEventRing *ring = ctx->events;
  PhEvent *event;

  if (ring == NULL)
    return NULL;
  event = &ring->events[ring->next_sequence % ring->capacity];
  memset (event, 0, sizeof *event);
  event->kind = kind;
  event->sequence = ring->next_sequence++;
  event->clock = ph_clock_now (ctx);
  return event;
}

void
ph_call_id_format (const uint8_t *id, char *text)
{
  static const char digits[] = "0123456789abcdef";

  for (int i = 0; i < PH_CALL_ID_SIZE; i++)
    {
      text[2 * i] = digits[id[i] >> 4];
      text[2 * i + 1] = digits[id[i] & 15];
    }
  text[2 * PH_CALL_ID_SIZE] = '\0';
}

static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return -1;
}

bool
ph_call_id_parse (const char *text, uint8_t *id)
{
  if (strlen (text) != PH_CALL_ID_TEXT_SIZE - 1)
    return false;
  for (int i = 0; i < PH_CALL_ID_SIZE; i++)
    {
      int high = hex_digit (text[2 * i]);
      int low = hex_digit (text[2 * i + 1]);

      if (high < 0 || low < 0)
        return false;
      id[i] = (uint8_t)(high << 4 | low);
    }
  return true;
}

/* Logs an event of a call. The peer field of the line is the id of the call, as in the line for a
 * refusal. The meaning of the value depends on the kind, see PhEventKind. */
static void
log_call_event (PhContext *ctx,
                PhEventKind kind,
                const PhWorld *world,
                const PhCall *call,
                const char *peer,
                PhReason reason,
                int64_t value)
{
  static const PhStep steps[PH_EVENT_KIND_COUNT] = {
    [PH_EVENT_CALL_OPENED] = PH_STEP_CHOOSE,    [PH_EVENT_UPSTREAM_CHOSEN] = PH_STEP_CHOOSE,
    [PH_EVENT_ATTEMPT_STARTED] = PH_STEP_ADMIT, [PH_EVENT_ATTEMPT_FAILED] = PH_STEP_SEND,
    [PH_EVENT_RETRY] = PH_STEP_CHOOSE,          [PH_EVENT_HEDGE] = PH_STEP_CHOOSE,
    [PH_EVENT_RESPONSE] = PH_STEP_RESPONSE,     [PH_EVENT_CALL_FINISHED] = PH_STEP_RESPONSE,
    [PH_EVENT_CALL_REFUSED] = PH_STEP_RESPONSE, [PH_EVENT_CALL_ABORTED] = PH_STEP_RESPONSE,
  };
  const PhService *service = ph_service_get (&world->services, call->service);
  char id[PH_CALL_ID_TEXT_SIZE];

  ph_call_id_format (call->id, id);
  ph_log (ctx, PH_LOG_DEBUG, steps[kind], id,
          "%s, peer '%s', reason %s, value %lld, service %s, depth %u", kind_names[kind],
          peer != NULL ? peer : "", ph_reason_name (reason), (long long)value,
          service != NULL ? service->name : "", call->depth);
}

void
ph_event_call (PhContext *ctx,
               PhEventKind kind,
               const PhWorld *world,
               const PhCall *call,
               const char *peer,
               PhReason reason,
               int64_t value)
{
  PhEvent *event = ph_event_add (ctx, kind);
  const PhService *service;

  if (ctx->logs_events && call != NULL)
    log_call_event (ctx, kind, world, call, peer, reason, value);
  if (event == NULL)
    return;
  event->reason = reason;
  event->value = value;
  if (peer != NULL)
    ph_text_copy (event->peer, sizeof event->peer, peer);
  if (call == NULL)
    return;
  event->has_call = true;
  memcpy (event->call, call->id, sizeof event->call);
  service = ph_service_get (&world->services, call->service);
  if (service != NULL)
    memcpy (event->service, service->name, sizeof event->service);
}

void
ph_event_record (
    PhContext *ctx, PhEventKind kind, const char *service, const char *peer, int64_t value)
{
  PhEvent *event = ph_event_add (ctx, kind);

  if (event == NULL)
    return;
  event->value = value;
  if (service != NULL)
    ph_text_copy (event->service, sizeof event->service, service);
  /* The path of an object may be longer than the field. What is kept of it still shows the team and
   * the kind of object. */
  if (peer != NULL)
    ph_text_shorten (event->peer, sizeof event->peer, peer);
}

const PhEvent *
ph_event_after (const PhEventRing *ring, uint64_t sequence)
{
  uint64_t oldest = ring->next_sequence > ring->capacity ? ring->next_sequence - ring->capacity : 1;

  if (sequence + 1 < oldest)
    sequence = oldest - 1;
  if (sequence + 1 >= ring->next_sequence)
    return NULL;
  return &ring->events[(sequence + 1) % ring->capacity];
}
