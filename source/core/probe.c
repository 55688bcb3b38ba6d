#include "pollenhitch/probe.h"

#include <string.h>

#include "pollenhitch/invariant.h"
#include "pollenhitch/trace.h"
#include "pollenhitch/world.h"

/* An upstream is probed when nothing was heard of it for this time. */
#define IDLE_TIME (5 * PH_SECOND)

/* One failed probe may be a lost packet or a lagging health endpoint, so the second one decides. */
#define FAILURES_DOWN 2

/* Other nodes that are taken to probe a service before its members were counted. A check that is
 * wanted is sent when the budget bears one a second of each of them. */
#define OTHERS_UNCOUNTED 31
#define WANTED_PER_MINUTE 60
/* How slow a VM is changes in a few tenths of a second. Checks for it are only sent with a budget
 * of this size, which leaves one a second for each of many upstreams. */
#define REFRESH_AGE (60 * PH_MS)
#define REFRESH_PER_MINUTE_MIN 600

#define WANTED_DELAY (5 * PH_MS) /* for the announcement that follows a heartbeat */

#define DOWN_TIME (5 * PH_SECOND)
#define DOWN_DOUBLINGS_MAX 3

void
ph_probe_init (PhContext *ctx, PhWorld *world)
{
  world->probe = (PhProbe){ .membership_complete_since = ctx->now,
                            .window_began_at = ctx->now,
                            .last_evidence_at = ctx->now };
  ph_timer_add (&world->timers, ctx->now + PH_PROBE_PERIOD, PH_TIMER_UPSTREAM_PROBE, 0);
}

static const PhUpstream *
local_upstream (const PhWorld *world)
{
  return ph_upstream_get (&world->upstreams, world->admission.upstream);
}

/* Whether this member's node may be sending probes of the service, as far as is known here. */
static bool
may_probe (const PhContext *ctx, const PhMember *member, const char *service)
{
  if (member->is_self || !member->record.has_upstream
      || strcmp (member->record.service, service) != 0 || member->record.state == PH_MEMBER_LEFT)
    return false;
  return member->record.state != PH_MEMBER_DEAD
         || ctx->now - member->changed_at < PH_PROBE_DEAD_MEMBER_TIME;
}

/* Counts the other members that may be probing the service. */
static uint32_t
count_others (const PhContext *ctx, const PhWorld *world, const char *service, bool *are_alive)
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

/* Whether some member is alive in each other data centre that is in service. A side of a partition
 * whose nodes were all restarted knows the members of the other side only by this. */
static bool
are_data_centres_reached (const PhWorld *world)
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

/* Brings the count of other members up to date. */
static void
watch_members (PhContext *ctx, PhWorld *world, const PhUpstream *upstream)
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
  others = count_others (ctx, world, ph_service_get (&world->services, service)->name, &are_alive);
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
  if (!are_alive || !are_data_centres_reached (world))
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

/* Time of the probe that was sent count probes ago; 1 is the last one. */
static PhTime
sent_before (const PhProbe *probe, uint32_t count)
{
  return probe->sent_at[(probe->sent_count - count) % PH_PROBE_SHARE_MAX];
}

static uint32_t
count_in_window (const PhProbe *probe, PhTime now)
{
  uint32_t count = 0;

  while (count < probe->sent_count && count < PH_PROBE_SHARE_MAX
         && now - sent_before (probe, count + 1) <= PH_PROBE_WINDOW)
    count++;
  return count;
}

static bool
is_suspect (const PhContext *ctx, const PhWorld *world, const PhUpstream *upstream)
{
  return world->probe.consecutive_failures > 0 || world->admission.cold_start.is_cold
         || upstream->suspended_until > ctx->now;
}

/* Whether a probe would tell something that the calls do not. */
static bool
is_useful (const PhContext *ctx, const PhWorld *world, const PhUpstream *upstream)
{
  const PhDataCentre *dc = ph_data_centre_get (&world->data_centres, world->data_centre);
  PhTime quiet = ctx->now - world->probe.last_evidence_at;

  if (upstream->state == PH_UPSTREAM_DRAINING || world->is_stopping
      || (dc != NULL && dc->is_out_of_service))
    return false;
  if (world->admission.in_flight >= ph_admission_limit (ctx, world))
    return false;
  return quiet >= (is_suspect (ctx, world, upstream) ? PH_PROBE_PERIOD : IDLE_TIME);
}

/* Whether the share allows a probe now. Probes of an upstream that is not suspect are evenly
 * spaced, so that some are left for the moment when it becomes suspect. */
static bool
is_allowed (const PhContext *ctx, const PhWorld *world, const PhUpstream *upstream)
{
  const PhProbe *probe = &world->probe;
  uint32_t share = ph_probe_share (world);

  if (share == 0)
    return false;
  if (probe->sent_count > 0 && !is_suspect (ctx, world, upstream)
      && ctx->now - sent_before (probe, 1) <= PH_PROBE_WINDOW / share)
    return false;
  return count_in_window (probe, ctx->now) < share;
}

/* Whether the budget bears a check that is wanted, also while the members are not counted. */
static bool
is_wanted_allowed (const PhContext *ctx, const PhWorld *world)
{
  const PhProbe *probe = &world->probe;
  const PhService *service = ph_service_get (&world->services, probe->service);
  uint32_t others = probe->max_other_probers[0] > probe->max_other_probers[1]
                        ? probe->max_other_probers[0]
                        : probe->max_other_probers[1];

  if (service == NULL || !service->is_configured)
    return false;
  if (others < OTHERS_UNCOUNTED)
    others = OTHERS_UNCOUNTED;
  if (service->rules.probes_per_minute / (1 + others) < WANTED_PER_MINUTE)
    return false;
  return probe->sent_count == 0 || ctx->now - sent_before (probe, 1) >= PH_PROBE_PERIOD;
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

  /* A look out of turn, for a check that is wanted, does not move the schedule. */
  if (handle == 0)
    ph_timer_add (&world->timers, ctx->now + PH_PROBE_PERIOD, PH_TIMER_UPSTREAM_PROBE, 0);
  world->admission.is_pending = true; /* it follows the state of the data centre */
  watch_members (ctx, world, upstream);
  if (probe->open_upstream.v != 0 && ctx->now - sent_before (probe, 1) >= PH_PROBE_TIMEOUT)
    ph_probe_result (ctx, world, probe->open_upstream, false, PH_PROBE_TIMEOUT);
  if (upstream == NULL || probe->open_upstream.v != 0 || world->effects.send_probe == NULL)
    return;
  if (probe->is_requested && is_wanted_allowed (ctx, world)
      && world->admission.in_flight < ph_admission_limit (ctx, world))
    {
      send_probe (ctx, world);
      return;
    }
  if (!is_useful (ctx, world, upstream))
    return;
  if (is_allowed (ctx, world, upstream))
    send_probe (ctx, world);
  else
    ph_count (ctx, PH_COUNT_PROBES_DENIED, 1);
}

void
ph_probe_request (PhContext *ctx, PhWorld *world)
{
  world->probe.is_requested = true;
  ph_timer_add (&world->timers, ctx->now + WANTED_DELAY, PH_TIMER_UPSTREAM_PROBE, 1);
}

/* Least time between two checks of this node when all nodes share the budget by the minute. Members
 * that died count too, so that the parts of a split membership do not send more together. */
static PhTime
refresh_gap (const PhWorld *world)
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
  PhTime gap = refresh_gap (world);

  if (admission->slowdown_percent == 0 || ctx->now - admission->slowdown_reported_at < REFRESH_AGE
      || probe->open_upstream.v != 0 || gap == PH_TIME_NEVER || world->effects.send_probe == NULL
      || (probe->sent_count > 0 && ctx->now - sent_before (probe, 1) < gap)
      || admission->in_flight >= ph_admission_limit (ctx, world)
      || ph_cold_rate_is_cold (&admission->cold_rate, ctx->now))
    return false;
  probe->is_requested = true;
  send_probe (ctx, world);
  return true;
}

static void
mark_down (PhContext *ctx, PhWorld *world)
{
  PhProbe *probe = &world->probe;
  uint32_t doublings = probe->consecutive_failures - FAILURES_DOWN;

  if (doublings > DOWN_DOUBLINGS_MAX)
    doublings = DOWN_DOUBLINGS_MAX;
  probe->down_until = ctx->now + (DOWN_TIME << doublings);
  world->admission.is_pending = true;
}

static void
note_failed_probe (PhContext *ctx, PhWorld *world, PhTime latency)
{
  PhProbe *probe = &world->probe;

  probe->consecutive_failures++;
  ph_log (ctx, PH_LOG_WARNING, PH_STEP_PROBE, NULL,
          "probe of the local upstream failed after %lld us, %u in a row%s", (long long)latency,
          probe->consecutive_failures,
          world->admission.cold_start.is_cold ? "" : "; it is taken as cold");
  if (!world->admission.cold_start.is_cold)
    ph_admission_begin_cold (ctx, world, false);
  if (probe->consecutive_failures >= FAILURES_DOWN)
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
  probe->last_evidence_at = ctx->now;
  if (probe->open_generation == world->admission.upstream_generation)
    world->admission.in_flight--;
  world->admission.is_pending = true;
  if (upstream == NULL)
    return;
  if (!is_ok)
    {
      note_failed_probe (ctx, world, latency);
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
  probe->last_evidence_at = ctx->now;
  if (outcome == PH_OUTCOME_OK)
    {
      probe->consecutive_failures = 0;
      probe->down_until = 0;
    }
  else if (probe->consecutive_failures >= FAILURES_DOWN)
    mark_down (ctx, world);
}

bool
ph_probe_is_down (const PhContext *ctx, const PhWorld *world)
{
  return ctx->now < world->probe.down_until;
}
