#include "pollenhitch/probe.h"

#include <string.h>

#include "pollenhitch/invariant.h"
#include "pollenhitch/trace.h"
#include "pollenhitch/world.h"

/* Time without calls or probes after which an upstream is probed that does not need frequent
 * probes, see needs_frequent_probes. */
#define IDLE_TIME (5 * PH_SECOND)

/* Failed probes in a row after which the upstream is down. A single failure may be a lost packet or
 * a slow health endpoint. */
#define FAILURES_UNTIL_DOWN 2

/* A requested probe does not depend on the share, which is 0 at first. It is sent when the budget
 * allows one probe a second to each prober: this node and the other nodes of the service, taken as
 * at least OTHER_PROBERS_ASSUMED, because they may not all be known yet. So a budget below 32 * 60
 * = 1,920 probes a minute allows none. */
#define OTHER_PROBERS_ASSUMED 31
#define REQUESTED_PER_MINUTE_MIN 60

/* Age of a report of the slowdown at which it is refreshed. The speed of a VM changes within a few
 * tenths of a second. */
#define SLOWDOWN_AGE_MAX (60 * PH_MS)

/* Minimum budget of the service, in probes per minute, with which slowdowns are refreshed: enough
 * for one probe a second at each of 10 upstreams. */
#define REFRESH_PER_MINUTE_MIN 600

#define REQUESTED_PROBE_DELAY (5 * PH_MS) /* lets the announcement after a heartbeat come first */

/* Time for which an upstream that is down gets no calls; doubles with each further failed probe. */
#define DOWN_TIME (5 * PH_SECOND)
#define DOWN_DOUBLINGS_MAX 3

void
ph_probe_init (PhContext *ctx, PhWorld *world)
{
  world->probe = (PhProbe){ .membership_complete_since = ctx->now,
                            .window_began_at = ctx->now,
                            .last_outcome_at = ctx->now };
  ph_timer_add (&world->timers, ctx->now + PH_PROBE_PERIOD, PH_TIMER_UPSTREAM_PROBE, 0);
}

static const PhUpstream *
local_upstream (const PhWorld *world)
{
  return ph_upstream_get (&world->upstreams, world->admission.upstream);
}

/* Whether a member may be probing an upstream of the service, as far as this node knows. */
static bool
may_probe (const PhContext *ctx, const PhMember *member, const char *service)
{
  if (member->is_self || !member->record.has_upstream
      || strcmp (member->record.service, service) != 0 || member->record.state == PH_MEMBER_LEFT)
    return false;
  return member->record.state != PH_MEMBER_DEAD
         || ctx->now - member->changed_at < PH_PROBE_DEAD_MEMBER_TIME;
}

/* Counts the other members that may be probing the service. Sets *are_alive if all of them are. */
static uint32_t
count_other_probers (const PhContext *ctx,
                     const PhWorld *world,
                     const char *service,
                     bool *are_alive)
{
  PhMemberId id = { 0 };
  uint32_t count = 0;

  *are_alive = true;
  while ((id = ph_member_next (&world->members, id)).v != 0)
    {
      const PhMember *member = ph_member_get (&world->members, id);

      if (!may_probe (ctx, member, service))
        continue;
      count++;
      if (member->record.state != PH_MEMBER_ALIVE)
        *are_alive = false;
    }
  return count;
}

static bool
has_alive_member (const PhWorld *world, const char *data_centre)
{
  PhMemberId id = { 0 };

  while ((id = ph_member_next (&world->members, id)).v != 0)
    {
      const PhMember *member = ph_member_get (&world->members, id);

      if (member->record.state == PH_MEMBER_ALIVE
          && strcmp (member->record.data_centre, data_centre) == 0)
        return true;
    }
  return false;
}

/* Whether some member is alive in each other data centre that is in service. If all nodes on one
 * side of a partition were restarted, they do not know the members on the other side and have no
 * other sign of the partition. */
static bool
are_data_centres_represented (const PhWorld *world)
{
  PhDataCentreId id = { 0 };

  while ((id = ph_data_centre_next (&world->data_centres, id)).v != 0)
    {
      const PhDataCentre *dc = ph_data_centre_get (&world->data_centres, id);

      if (id.v != world->data_centre.v && !dc->is_out_of_service
          && !has_alive_member (world, dc->name))
        return false;
    }
  return true;
}

/* Updates the number of other probers and whether the membership was complete for a window. */
static void
update_membership (PhContext *ctx, PhWorld *world, const PhUpstream *upstream)
{
  PhProbe *probe = &world->probe;
  PhServiceId service = upstream != NULL ? upstream->service : (PhServiceId){ 0 };
  bool are_alive;
  uint32_t others;

  if (service.v != probe->service.v)
    {
      probe->service = service;
      probe->membership_complete_since = ctx->now;
      probe->is_counted_by_members = false;
    }
  if (upstream == NULL)
    return;
  others = count_other_probers (ctx, world, ph_service_get (&world->services, service)->name,
                                &are_alive);
  if (ctx->now - probe->window_began_at > PH_PROBE_WINDOW)
    {
      probe->max_other_probers[1] = probe->max_other_probers[0];
      probe->max_other_probers[0] = 0;
      probe->window_began_at = ctx->now;
    }
  if (others > probe->max_other_probers[0])
    probe->max_other_probers[0] = others;
  if (probe->is_counted_by_members)
    return;
  if (!are_alive || !are_data_centres_represented (world))
    probe->membership_complete_since = ctx->now;
  probe->is_counted_by_members = ctx->now - probe->membership_complete_since > PH_PROBE_WINDOW;
}

uint32_t
ph_probe_share (const PhWorld *world)
{
  const PhProbe *probe = &world->probe;
  const PhService *service = ph_service_get (&world->services, probe->service);
  uint32_t others = probe->max_other_probers[0] > probe->max_other_probers[1]
                        ? probe->max_other_probers[0]
                        : probe->max_other_probers[1];
  uint32_t share;

  if (service == NULL || !service->is_configured || !probe->is_counted_by_members)
    return 0;
  share = service->rules.probes_per_minute / (1 + others);
  return share < PH_PROBE_SHARE_MAX ? share : PH_PROBE_SHARE_MAX;
}

/* Time at which the last probe was sent (count 1), the one before it (count 2), and so on. */
static PhTime
last_sent_at (const PhProbe *probe, uint32_t count)
{
  return probe->sent_at[(probe->sent_count - count) % PH_PROBE_SHARE_MAX];
}

static uint32_t
count_in_window (const PhProbe *probe, PhTime now)
{
  uint32_t count = 0;

  while (count < probe->sent_count && count < PH_PROBE_SHARE_MAX
         && now - last_sent_at (probe, count + 1) <= PH_PROBE_WINDOW)
    count++;
  return count;
}

/* Whether the upstream is to be probed each PH_PROBE_PERIOD: it is cold or suspended, or its last
 * probe failed. */
static bool
needs_frequent_probes (const PhContext *ctx, const PhWorld *world, const PhUpstream *upstream)
{
  return world->probe.consecutive_failures > 0 || world->admission.cold_start.is_cold
         || upstream->suspended_until > ctx->now;
}

/* Whether a probe would give information that recent calls and probes did not. */
static bool
is_probe_useful (const PhContext *ctx, const PhWorld *world, const PhUpstream *upstream)
{
  const PhDataCentre *dc = ph_data_centre_get (&world->data_centres, world->data_centre);
  PhTime quiet = ctx->now - world->probe.last_outcome_at;

  if (upstream->state == PH_UPSTREAM_DRAINING || world->is_stopping
      || (dc != NULL && dc->is_out_of_service))
    return false;
  if (world->admission.in_flight >= ph_admission_limit (ctx, world))
    return false;
  return quiet >= (needs_frequent_probes (ctx, world, upstream) ? PH_PROBE_PERIOD : IDLE_TIME);
}

/* Whether the share allows a probe now. Probes of an upstream that does not need frequent
 * ones are spaced evenly, so that some of the share is left when it does. */
static bool
is_probe_within_share (const PhContext *ctx, const PhWorld *world, const PhUpstream *upstream)
{
  const PhProbe *probe = &world->probe;
  uint32_t share = ph_probe_share (world);

  if (share == 0)
    return false;
  if (probe->sent_count > 0 && !needs_frequent_probes (ctx, world, upstream)
      && ctx->now - last_sent_at (probe, 1) <= PH_PROBE_WINDOW / share)
    return false;
  return count_in_window (probe, ctx->now) < share;
}

/* Whether the budget allows a requested probe now; see OTHER_PROBERS_ASSUMED. */
static bool
is_requested_probe_allowed (const PhContext *ctx, const PhWorld *world)
{
  const PhProbe *probe = &world->probe;
  const PhService *service = ph_service_get (&world->services, probe->service);
  uint32_t others = probe->max_other_probers[0] > probe->max_other_probers[1]
                        ? probe->max_other_probers[0]
                        : probe->max_other_probers[1];

  if (service == NULL || !service->is_configured)
    return false;
  if (others < OTHER_PROBERS_ASSUMED)
    others = OTHER_PROBERS_ASSUMED;
  if (service->rules.probes_per_minute / (1 + others) < REQUESTED_PER_MINUTE_MIN)
    return false;
  return probe->sent_count == 0 || ctx->now - last_sent_at (probe, 1) >= PH_PROBE_PERIOD;
}

static void
send_probe (PhContext *ctx, PhWorld *world)
{
  PhProbe *probe = &world->probe;

  probe->sent_at[probe->sent_count++ % PH_PROBE_SHARE_MAX] = ctx->now;
  PH_INVARIANT (probe->is_requested || count_in_window (probe, ctx->now) <= ph_probe_share (world));
  probe->is_requested = false;
  probe->open_upstream = world->admission.upstream;
  probe->open_generation = world->admission.upstream_generation;
  world->admission.in_flight++; /* the probe uses a slot of the upstream */
  PH_INVARIANT (world->admission.in_flight <= ph_admission_limit (ctx, world));
  ph_count (ctx, PH_COUNT_PROBES, 1);
  ph_event_record (ctx, PH_EVENT_PROBE, NULL, NULL, count_in_window (probe, ctx->now));
  world->effects.send_probe (world->effects.user, probe->open_upstream);
}

void
ph_probe_timer (PhContext *ctx, PhWorld *world, uint32_t handle)
{
  PhProbe *probe = &world->probe;
  const PhUpstream *upstream = local_upstream (world);

  /* A run for a requested probe does not change the periodic schedule. */
  if (handle == 0)
    ph_timer_add (&world->timers, ctx->now + PH_PROBE_PERIOD, PH_TIMER_UPSTREAM_PROBE, 0);
  world->admission.is_pending = true; /* the data centre may have gone out of or into service */
  update_membership (ctx, world, upstream);
  if (probe->open_upstream.v != 0 && ctx->now - last_sent_at (probe, 1) >= PH_PROBE_TIMEOUT)
    ph_probe_result (ctx, world, probe->open_upstream, false, PH_PROBE_TIMEOUT);
  if (upstream == NULL || probe->open_upstream.v != 0 || world->effects.send_probe == NULL)
    return;
  if (probe->is_requested && is_requested_probe_allowed (ctx, world)
      && world->admission.in_flight < ph_admission_limit (ctx, world))
    {
      send_probe (ctx, world);
      return;
    }
  if (!is_probe_useful (ctx, world, upstream))
    return;
  if (is_probe_within_share (ctx, world, upstream))
    send_probe (ctx, world);
  else
    ph_count (ctx, PH_COUNT_PROBES_DENIED, 1);
}

void
ph_probe_request (PhContext *ctx, PhWorld *world)
{
  world->probe.is_requested = true;
  ph_timer_add (&world->timers, ctx->now + REQUESTED_PROBE_DELAY, PH_TIMER_UPSTREAM_PROBE, 1);
}

/* Time between two probes of this node if all members share the budget equally. Dead members count
 * too, so that the sides of a partition together stay within the budget. */
static PhTime
refresh_interval (const PhWorld *world)
{
  const PhService *service = ph_service_get (&world->services, world->probe.service);
  uint32_t per_minute = service != NULL ? service->rules.probes_per_minute : 0;

  return per_minute < REFRESH_PER_MINUTE_MIN ? PH_TIME_NEVER
                                             : 60 * PH_SECOND * world->members.count / per_minute;
}

bool
ph_probe_refresh_slowdown (PhContext *ctx, PhWorld *world)
{
  PhProbe *probe = &world->probe;
  const PhAdmission *admission = &world->admission;
  PhTime interval = refresh_interval (world);

  if (admission->slowdown_percent == 0
      || ctx->now - admission->slowdown_reported_at < SLOWDOWN_AGE_MAX
      || probe->open_upstream.v != 0 || interval == PH_TIME_NEVER
      || world->effects.send_probe == NULL
      || (probe->sent_count > 0 && ctx->now - last_sent_at (probe, 1) < interval)
      || admission->in_flight >= ph_admission_limit (ctx, world)
      || ph_cold_rate_is_cold (&admission->cold_rate, ctx->now))
    return false;
  /* Exempt from the share, which send_probe checks otherwise. */
  probe->is_requested = true;
  send_probe (ctx, world);
  return true;
}

static void
mark_down (PhContext *ctx, PhWorld *world)
{
  PhProbe *probe = &world->probe;
  uint32_t doublings = probe->consecutive_failures - FAILURES_UNTIL_DOWN;

  if (doublings > DOWN_DOUBLINGS_MAX)
    doublings = DOWN_DOUBLINGS_MAX;
  probe->down_until = ctx->now + (DOWN_TIME << doublings);
  world->admission.is_pending = true;
}

static void
record_failed_probe (PhContext *ctx, PhWorld *world, PhTime latency)
{
  PhProbe *probe = &world->probe;

  probe->consecutive_failures++;
  ph_log (ctx, PH_LOG_WARNING, PH_STEP_PROBE, NULL,
          "probe of the local upstream failed after %lld us, %u in a row%s", (long long)latency,
          probe->consecutive_failures,
          world->admission.cold_start.is_cold ? "" : "; it is treated as cold");
  if (!world->admission.cold_start.is_cold)
    ph_admission_begin_cold (ctx, world, false);
  if (probe->consecutive_failures >= FAILURES_UNTIL_DOWN)
    mark_down (ctx, world);
}

void
ph_probe_result (PhContext *ctx, PhWorld *world, PhUpstreamId id, bool is_ok, PhTime latency)
{
  PhProbe *probe = &world->probe;
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  if (id.v == 0 || probe->open_upstream.v != id.v)
    return;
  probe->open_upstream = (PhUpstreamId){ 0 };
  probe->last_outcome_at = ctx->now;
  if (probe->open_generation == world->admission.upstream_generation)
    world->admission.in_flight--;
  world->admission.is_pending = true;
  if (upstream == NULL)
    return;
  if (!is_ok)
    {
      record_failed_probe (ctx, world, latency);
      return;
    }
  probe->consecutive_failures = 0;
  probe->down_until = 0;
}

void
ph_probe_observe (PhContext *ctx, PhWorld *world, PhOutcome outcome)
{
  PhProbe *probe = &world->probe;

  if (outcome == PH_OUTCOME_UNKNOWN)
    return;
  probe->last_outcome_at = ctx->now;
  if (outcome == PH_OUTCOME_OK)
    {
      probe->consecutive_failures = 0;
      probe->down_until = 0;
    }
  else if (probe->consecutive_failures >= FAILURES_UNTIL_DOWN)
    mark_down (ctx, world);
}

bool
ph_probe_is_down (const PhContext *ctx, const PhWorld *world)
{
  return ctx->now < world->probe.down_until;
}
