#include "pollenhitch/load_view.h"

#include <string.h>

#include "pollenhitch/world.h"

/* Encoded size of the number of entries, and of each one. */
#define COUNT_BYTES 4
#define ENTRY_BYTES 16

/* Bytes of control messages that a node may send in a second, and at once, if they have loads. Each
 * datagram counts, but loads yield to all else: while 20 nodes join in 20 s, other rows take more
 * than this. The limit is 3 KB/s (docs/CAPACITY.md). */
#define BYTES_PER_SECOND 2800.0
#define BYTES_MAX 5600.0

/* A cold upstream is limited by its rate. One call at a time is sent there by each node, so that
 * nodes that know the same report do not exceed the rate together. */
#define COLD_SLOTS_MAX 1.0

static const PhMember *
upstream_member (const PhWorld *world, const PhUpstream *upstream)
{
  return ph_member_get (&world->members,
                        upstream->is_local ? world->membership.self : upstream->member);
}

uint32_t
ph_load_view_key (const PhWorld *world, const PhUpstream *upstream)
{
  const PhMember *member = upstream_member (world, upstream);

  return (uint32_t)ph_hash_mix (member != NULL ? member->name_hash : 0, upstream->epoch);
}

static uint32_t
local_cold_rate (const PhContext *ctx, const PhWorld *world, const PhUpstream *local)
{
  const PhService *service = ph_service_get (&world->services, local->service);

  return ph_cold_rate_is_cold (&world->admission.cold_rate, ctx->now)
             ? (uint32_t)(service->rules.cold_calls_per_s * PH_COLD_RATE_SCALE)
             : 0;
}

static PhLoadEntry
make_entry (const PhContext *ctx, const PhWorld *world, const PhUpstream *upstream)
{
  if (upstream->is_local)
    return (PhLoadEntry){ .key = ph_load_view_key (world, upstream),
                          .load = ph_admission_load (world),
                          .cold_rate = local_cold_rate (ctx, world, upstream) };
  return (PhLoadEntry){ .key = ph_load_view_key (world, upstream),
                        .age = ctx->now - upstream->load_reported_at,
                        .load = upstream->load,
                        .cold_rate = upstream->cold_rate };
}

bool
ph_load_view_is_known (const PhContext *ctx, const PhUpstream *upstream)
{
  return upstream->is_local
         || (upstream->load_reported_at != 0 && upstream->load.limit > 0
             && ctx->now - upstream->load_reported_at < PH_LOAD_AGE_MAX);
}

double
ph_load_view_free_slots (const PhContext *ctx, const PhWorld *world, const PhUpstream *upstream)
{
  bool is_sent = upstream->sent_since_report > 0;
  PhLoadEntry entry;
  double used;
  double free_slots;

  if (!ph_load_view_is_known (ctx, upstream))
    return 0;
  entry = make_entry (ctx, world, upstream);
  used = entry.load.in_flight + entry.load.queued;
  if (!upstream->is_local)
    used += upstream->sent_since_report;
  if (used < upstream->outstanding)
    used = upstream->outstanding;
  free_slots = entry.load.limit - used;
  if (free_slots < 1)
    return 0;
  if (entry.cold_rate == 0)
    return free_slots;
  if (entry.load.queued > 0)
    return 0;
  if (upstream->is_local)
    is_sent = ph_cold_rate_next_at (&world->admission.cold_rate, ctx->now,
                                    (double)entry.cold_rate / PH_COLD_RATE_SCALE, 0)
              > ctx->now;
  return is_sent ? 0 : COLD_SLOTS_MAX;
}

static bool
is_collected (const PhContext *ctx,
              const PhWorld *world,
              PhServiceId service,
              const PhUpstream *upstream)
{
  if (!ph_load_view_is_known (ctx, upstream) || upstream->state == PH_UPSTREAM_DRAINING)
    return false;
  return service.v == 0
         || (upstream->service.v == service.v && !upstream->is_local
             && upstream->suspended_until <= ctx->now
             && ph_load_view_free_slots (ctx, world, upstream) > 0);
}

uint32_t
ph_load_view_collect (const PhContext *ctx,
                      const PhWorld *world,
                      PhServiceId service,
                      PhLoadEntry *entries,
                      uint32_t max)
{
  PhUpstreamId id = { 0 };
  uint32_t count = 0;

  if (!world->uses_fleet_capacity)
    return 0;
  while ((id = ph_upstream_next (&world->upstreams, id)).v != 0)
    {
      const PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);
      PhTime age = upstream->is_local ? 0 : ctx->now - upstream->load_reported_at;
      uint32_t place = count < max ? count : max;

      if ((count == max && (max == 0 || (!upstream->is_local && age >= entries[max - 1].age)))
          || !is_collected (ctx, world, service, upstream))
        continue;
      while (place > 0 && (upstream->is_local || entries[place - 1].age > age))
        place--;
      if (count < max)
        count++;
      memmove (&entries[place + 1], &entries[place], (count - place - 1) * sizeof *entries);
      entries[place] = make_entry (ctx, world, upstream);
    }
  return count;
}

static PhUpstream *
find_upstream (const PhWorld *world, uint32_t key)
{
  PhUpstreamId id = { 0 };

  while ((id = ph_upstream_next (&world->upstreams, id)).v != 0)
    {
      PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

      if (ph_load_view_key (world, upstream) == key)
        return upstream;
    }
  return NULL;
}

void
ph_load_view_apply (PhContext *ctx, PhWorld *world, const PhLoadEntry *entries, uint32_t count)
{
  if (!world->uses_fleet_capacity)
    return;
  for (uint32_t i = 0; i < count; i++)
    {
      PhUpstream *upstream = find_upstream (world, entries[i].key);
      PhTime reported_at = ctx->now - entries[i].age;
      uint32_t latency;

      if (upstream == NULL || upstream->is_local || entries[i].age < 0
          || reported_at <= upstream->load_reported_at)
        continue;
      latency = upstream->load.latency_us;
      upstream->load = entries[i].load;
      /* The view does not carry the latency: the estimate stays that of the last response. */
      upstream->load.latency_us = latency;
      upstream->cold_rate = entries[i].cold_rate;
      upstream->load_reported_at = reported_at;
      /* Calls that were sent after the report are not in it. Those sent before it may be counted
       * twice until the next report. */
      if (upstream->last_sent_at < reported_at)
        upstream->sent_since_report = 0;
    }
}

/* Refills the bytes that datagrams may have, and returns how many there are. */
static double
refill_bytes (const PhContext *ctx, PhMembership *ms)
{
  double elapsed = (double)(ctx->now - ms->load_bytes_refilled_at) / PH_SECOND;

  ms->load_bytes_refilled_at = ctx->now;
  ms->load_bytes += elapsed * BYTES_PER_SECOND;
  if (ms->load_bytes > BYTES_MAX)
    ms->load_bytes = BYTES_MAX;
  return ms->load_bytes;
}

void
ph_load_view_fill (const PhContext *ctx, PhWorld *world, PhGossipMessage *out)
{
  PhMembership *ms = &world->membership;
  double room = (double)out->size_limit - out->size;
  double left;
  uint32_t max = 0;

  if (!world->uses_fleet_capacity)
    return;
  left = refill_bytes (ctx, ms) - out->size;
  if (room > left)
    room = left;
  if (room >= COUNT_BYTES + ENTRY_BYTES)
    max = (uint32_t)((room - COUNT_BYTES) / ENTRY_BYTES);
  if (max > PH_MESSAGE_LOADS_MAX)
    max = PH_MESSAGE_LOADS_MAX;
  out->message.load_count = ph_load_view_collect (ctx, world, (PhServiceId){ 0 }, out->loads, max);
  out->message.loads = out->loads;
  if (out->message.load_count > 0)
    out->size += COUNT_BYTES + out->message.load_count * ENTRY_BYTES;
  ms->load_bytes -= out->size;
  if (ms->load_bytes < -BYTES_MAX)
    ms->load_bytes = -BYTES_MAX;
}
