#include "pollenhitch/retry_after.h"

#include "pollenhitch/load_view.h"
#include "pollenhitch/world.h"

/* Callers wait for at most this part of their time left. */
#define WAIT_DIVISOR 3

/* Callers with up to this time left are the first of their priority, then those with up to twice
 * and four times as much. */
#define LEVEL_TIME (500 * PH_MS)

/* Calls per second that an upstream takes because it is cold; 0 if it is not, or if its service has
 * no rate for it. */
static double
cold_calls_per_s (const PhContext *ctx,
                  const PhWorld *world,
                  const PhService *service,
                  const PhUpstream *upstream)
{
  if (upstream->is_local)
    return ph_cold_rate_is_cold (&world->admission.cold_rate, ctx->now)
               ? service->rules.cold_calls_per_s
               : 0;
  if (ph_load_view_is_known (ctx, upstream))
    return (double)upstream->cold_rate / PH_COLD_RATE_SCALE;
  return upstream->state == PH_UPSTREAM_COLD ? service->rules.cold_calls_per_s : 0;
}

static PhLoad
load_of (const PhWorld *world, const PhUpstream *upstream)
{
  return upstream->is_local ? ph_admission_load (world) : upstream->load;
}

/* Slots that become free in a second at one upstream while all of them are in use. */
static double
upstream_slot_rate (const PhContext *ctx,
                    const PhWorld *world,
                    const PhService *service,
                    const PhUpstream *upstream)
{
  PhLoad load = load_of (world, upstream);
  double latency = upstream->latency_us > 0 ? upstream->latency_us : service->latency_us;
  double cold = cold_calls_per_s (ctx, world, service, upstream);
  double slots = upstream->slots > 0 ? upstream->slots : 1;

  if (cold > 0)
    return cold;
  if (latency <= 0)
    return 0;
  if (ph_load_view_is_known (ctx, upstream))
    {
      slots = load.limit;
      if (load.slowdown_percent > 100)
        latency *= load.slowdown_percent / 100.0;
    }
  return slots * PH_SECOND / latency;
}

double
ph_retry_after_slot_rate (const PhContext *ctx, const PhWorld *world, const PhService *service)
{
  double rate = 0;

  for (uint32_t i = 0; i < service->group_end[2 * PH_PREFERENCE_SUSPENDED - 1]; i++)
    rate += upstream_slot_rate (ctx, world, service,
                                ph_upstream_get (&world->upstreams, service->upstreams[i]));
  return rate;
}

/* Calls that wait in the queues of the service's upstreams, as this node knows them. */
static double
queued_calls (const PhContext *ctx, const PhWorld *world, const PhService *service)
{
  double queued = 0;

  for (uint32_t i = 0; i < service->upstream_count; i++)
    {
      const PhUpstream *upstream = ph_upstream_get (&world->upstreams, service->upstreams[i]);

      if (ph_load_view_is_known (ctx, upstream))
        queued += load_of (world, upstream).queued;
    }
  return queued;
}

/* Class of a caller: by priority, then by the time left. One that has little left has few times to
 * return; with one class for each priority, callers with much time left took the places, and of 87
 * that returned to a cold upstream 68 were served instead of 73 without any order. */
static uint32_t
caller_class (const PhCall *call, PhTime left)
{
  uint32_t priority
      = call->priority < PH_RETURN_PRIORITIES ? call->priority : PH_RETURN_PRIORITIES - 1;
  uint32_t level = 0;

  while (level < PH_RETURN_LEVELS - 1 && left > LEVEL_TIME << level)
    level++;
  return priority * PH_RETURN_LEVELS + level;
}

/* Removes the callers that are due by now: one for each slot that this node may count on. */
static void
drain (const PhContext *ctx, PhReturnOrder *order, double slots_per_us)
{
  double due = (double)(ctx->now - order->counted_at) * slots_per_us;

  order->counted_at = ctx->now;
  for (uint32_t i = 0; i < PH_RETURN_CLASSES; i++)
    order->ahead[i] = order->ahead[i] > due ? order->ahead[i] - due : 0;
}

PhTime
ph_retry_after_choose (PhContext *ctx, const PhWorld *world, PhService *service, const PhCall *call)
{
  PhReturnOrder *order = &service->return_order;
  double rate = ph_retry_after_slot_rate (ctx, world, service);
  PhTime left = ph_call_time_left (ctx, call);
  uint32_t own_class = caller_class (call, left);
  PhTime longest = left / WAIT_DIVISOR;
  double slots_per_us = rate / PH_SECOND / world->membership.live_count;
  double ahead;
  PhTime wait;

  if (rate <= 0)
    return -1;
  drain (ctx, order, slots_per_us);
  /* A random part of a place: nodes that refuse at the same time do not tell the same time. */
  ahead = order->ahead[own_class] + ph_random_unit (&ctx->random);
  /* The most urgent calls go before those that are queued. */
  if (call->priority > 0)
    ahead += queued_calls (ctx, world, service) / world->membership.live_count;
  if (ahead / slots_per_us < (double)longest)
    wait = (PhTime)(ahead / slots_per_us) + 1;
  else
    {
      wait = longest * (own_class / PH_RETURN_LEVELS + 1) / PH_RETURN_PRIORITIES;
      wait -= ph_random_below (&ctx->random, (uint32_t)(wait / 2 + 1));
    }
  if (wait <= 0 || (double)(left - wait) < service->latency_us)
    return 0;
  if (ahead / slots_per_us < (double)longest)
    for (uint32_t i = own_class; i < PH_RETURN_CLASSES; i++)
      order->ahead[i]++;
  return wait;
}
