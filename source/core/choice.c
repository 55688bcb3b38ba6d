#include "pollenhitch/choice.h"

#include <math.h>
#include <string.h>

#include "pollenhitch/counter.h"
#include "pollenhitch/invariant.h"
#include "pollenhitch/load_view.h"
#include "pollenhitch/world.h"

/* Age at which the calls in flight of a load report count half. With 20 ms, the p99 at a few calls
 * per second was twice as high when an upstream was cold (docs/decisions/choice.md): a stale report
 * is still better than none. */
#define LOAD_HALF_LIFE (4.0 * PH_SECOND)

/* The difference between the latency of an upstream and that of its service loses half of its
 * weight once both this time and this number of choices have passed. A slow upstream is thus tried
 * again, but gets less than 1% of the calls of a busy node. */
#define LATENCY_HALF_LIFE (1.0 * PH_SECOND)
#define LATENCY_HALF_LIFE_CHOICES 64.0

/* Upper bound of that half-life. With few calls, the weight halves in this time by age alone, so
 * that an upstream that has recovered is noticed. */
#define LATENCY_HALF_LIFE_MAX (10.0 * PH_SECOND)

/* Differences up to this fraction of the service's latency are treated as noise. */
#define LATENCY_NOISE_FRACTION 0.4

/* The first candidate, and the nearer preference, are replaced only if the cost of the other one is
 * below this ratio of theirs. Small differences are noise in stale reports, and rotation spreads
 * calls more evenly than chance. A VM is slow for less than a second, and its node then refuses
 * calls, so the reports of a nearer one have to show more before a call crosses data centres. */
#define ROTATION_COST_RATIO 0.8
#define PREFERENCE_COST_RATIO 0.5

/* Expected wait at an upstream that is at its limit, as a multiple of its latency. */
#define WAIT_AT_LIMIT_FACTOR 0.5

/* Latency of an upstream that fails and has never reported a success, as a multiple of the
 * service's latency. */
#define FAILURE_LATENCY_FACTOR 10

/* The load that other VMs put on the same host changes within a few tenths of a second. Without a
 * recent report, an upstream is assumed to have the average slowdown. */
#define SLOWDOWN_HALF_LIFE (200.0 * PH_MS)
#define SLOWDOWN_AVERAGE_PERCENT 150.0

/* The search for an upstream for a large response ends at the nearest preference whose candidate
 * has fewer calls in flight and queued than this multiple of its limit. If there is a candidate in
 * a nearer preference, the best of these is chosen nevertheless: the traffic to a more distant one
 * costs more than the wait. */
#define BULK_UTILIZATION_MAX 2.0

/* Age at which a known free slot counts half: about the time of one call, after which a slot that
 * was free may be taken by another node. */
#define FREE_SLOT_HALF_LIFE (250.0 * PH_MS)

/* Age up to which a load makes a call leave a full data centre for a free slot in another one. With
 * 3 s, 30% of the calls left it at a load of 0.95, and the latencies were no better
 * (docs/decisions/fleet-capacity.md). */
#define LEAVE_AGE_MAX (500 * PH_MS)

#define LATENCY_SAMPLE_WEIGHT 0.2
#define LATENCY_DEFAULT_US 1000.0

/* Assumed additional latency of a call to another data centre of the region, and to another
 * region. */
#define SAME_REGION_DELAY_US 2000.0
#define OTHER_REGION_DELAY_US 30000.0

static PhPreference
compute_preference (const PhContext *ctx, const PhWorld *world, const PhUpstream *upstream)
{
  const PhDataCentre *own = ph_data_centre_get (&world->data_centres, world->data_centre);
  const PhDataCentre *dc = ph_data_centre_get (&world->data_centres, upstream->data_centre);
  bool is_suspended = upstream->suspended_until > ctx->now;

  if (upstream->state == PH_UPSTREAM_DRAINING || (dc != NULL && dc->is_out_of_service)
      || (upstream->is_local && world->is_stopping) || (is_suspended && upstream->is_withdrawn))
    return PH_PREFERENCE_EXCLUDED;
  if (is_suspended)
    return PH_PREFERENCE_SUSPENDED;
  if (upstream->data_centre.v == world->data_centre.v)
    return PH_PREFERENCE_SAME_DATA_CENTRE;
  return dc != NULL && own != NULL && strcmp (dc->region, own->region) == 0
             ? PH_PREFERENCE_SAME_REGION
             : PH_PREFERENCE_OTHER_REGION;
}

/* Score of an upstream of the version that a move leads to, see PhMoveTraffic. */
static uint64_t
move_score (const PhWorld *world, const PhService *service, const PhUpstream *upstream)
{
  const PhMember *member = ph_member_get (
      &world->members, upstream->is_local ? world->membership.self : upstream->member);

  return member != NULL ? ph_hash_mix (member->name_hash, service->move_path_hash) : 0;
}

static uint32_t
compute_group (const PhContext *ctx,
               const PhWorld *world,
               const PhService *service,
               const PhUpstream *upstream)
{
  bool is_target_version
      = service->move_version[0] != '\0' && strcmp (service->move_version, upstream->version) == 0;

  if (is_target_version && move_score (world, service, upstream) < service->move_score_min)
    return 2 * (uint32_t)PH_PREFERENCE_EXCLUDED + 1;
  return 2 * (uint32_t)compute_preference (ctx, world, upstream) + is_target_version;
}

static uint32_t
group_begin (const PhService *service, uint32_t group)
{
  return group == 0 ? 0 : service->group_end[group - 1];
}

static void
set_position (PhWorld *world, PhService *service, uint32_t position, PhUpstreamId id)
{
  service->upstreams[position] = id;
  ph_upstream_get (&world->upstreams, id)->position_in_service = position;
}

static void
swap_positions (PhWorld *world, PhService *service, uint32_t position, uint32_t other)
{
  PhUpstreamId id = service->upstreams[position];

  set_position (world, service, position, service->upstreams[other]);
  set_position (world, service, other, id);
}

/* Moves an upstream to a candidate group by swapping it across the borders of the groups between.
 */
static void
move_to_group (PhWorld *world, PhService *service, PhUpstream *upstream, uint32_t group)
{
  while (upstream->candidate_group > group)
    {
      uint32_t border = group_begin (service, upstream->candidate_group);

      swap_positions (world, service, upstream->position_in_service, border);
      service->group_end[--upstream->candidate_group]++;
    }
  while (upstream->candidate_group < group)
    {
      uint32_t border = --service->group_end[upstream->candidate_group++];

      swap_positions (world, service, upstream->position_in_service, border);
    }
}

void
ph_choice_update_group (PhContext *ctx, PhWorld *world, PhUpstreamId id)
{
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);
  PhService *service;

  if (upstream == NULL)
    return;
  service = ph_service_get (&world->services, upstream->service);
  move_to_group (world, service, upstream, compute_group (ctx, world, service, upstream));
}

void
ph_choice_add (PhContext *ctx, PhWorld *world, PhUpstreamId id)
{
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);
  PhService *service = ph_service_get (&world->services, upstream->service);

  PH_INVARIANT (service->upstream_count < PH_SERVICE_UPSTREAMS_MAX);
  upstream->candidate_group = PH_CANDIDATE_GROUP_COUNT - 1;
  set_position (world, service, service->upstream_count++, id);
  service->group_end[PH_CANDIDATE_GROUP_COUNT - 1]++;
  ph_choice_update_group (ctx, world, id);
}

void
ph_choice_remove (PhWorld *world, PhUpstreamId id)
{
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);
  PhService *service = ph_service_get (&world->services, upstream->service);

  PH_INVARIANT (service->upstreams[upstream->position_in_service].v == id.v);
  move_to_group (world, service, upstream, PH_CANDIDATE_GROUP_COUNT - 1);
  swap_positions (world, service, upstream->position_in_service, service->upstream_count - 1);
  service->upstream_count--;
  service->group_end[PH_CANDIDATE_GROUP_COUNT - 1]--;
}

void
ph_choice_data_centre_changed (PhContext *ctx, PhWorld *world, PhDataCentreId id)
{
  PhUpstreamId upstream_id = { 0 };

  while ((upstream_id = ph_upstream_next (&world->upstreams, upstream_id)).v != 0)
    if (ph_upstream_get (&world->upstreams, upstream_id)->data_centre.v == id.v
        || id.v == world->data_centre.v)
      ph_choice_update_group (ctx, world, upstream_id);
}

void
ph_choice_set_move (PhContext *ctx, PhWorld *world, PhServiceId id, const PhMoveTraffic *traffic)
{
  PhService *service = ph_service_get (&world->services, id);
  PhUpstreamId upstream_id = { 0 };

  if (service == NULL)
    return;
  service->move_share = traffic->share;
  if (strcmp (service->move_version, traffic->version) == 0
      && service->move_score_min == traffic->score_min)
    return;
  ph_text_copy (service->move_version, sizeof service->move_version, traffic->version);
  service->move_path_hash = traffic->path_hash;
  service->move_score_min = traffic->score_min;
  while ((upstream_id = ph_upstream_next (&world->upstreams, upstream_id)).v != 0)
    if (ph_upstream_get (&world->upstreams, upstream_id)->service.v == id.v)
      ph_choice_update_group (ctx, world, upstream_id);
}

void
ph_choice_suspend (
    PhContext *ctx, PhWorld *world, PhUpstreamId id, PhTime duration, bool is_withdrawn)
{
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  if (upstream == NULL
      || !ph_timer_add (&world->timers, ctx->now + duration, PH_TIMER_SUSPENSION, id.v))
    return;
  if (upstream->suspended_until <= ctx->now)
    upstream->is_withdrawn = false;
  upstream->is_withdrawn = upstream->is_withdrawn || is_withdrawn;
  if (upstream->suspended_until < ctx->now + duration)
    upstream->suspended_until = ctx->now + duration;
  ph_choice_update_group (ctx, world, id);
}

void
ph_choice_suspend_timer (PhContext *ctx, PhWorld *world, uint32_t handle)
{
  ph_choice_update_group (ctx, world, (PhUpstreamId){ handle });
}

static void
set_latency (const PhContext *ctx, const PhService *service, PhUpstream *upstream, double latency)
{
  upstream->latency_us = latency;
  upstream->latency_updated_at = ctx->now;
  upstream->latency_choice_count = service->choice_count;
}

static void
update_service_latency (PhService *service, double latency)
{
  if (service->latency_us == 0)
    service->latency_us = latency;
  service->latency_us += LATENCY_SAMPLE_WEIGHT * (latency - service->latency_us);
}

void
ph_choice_load_reported (PhContext *ctx, PhWorld *world, PhUpstreamId id)
{
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);
  PhService *service = ph_service_get (&world->services, upstream->service);

  upstream->sent_since_report = 0;
  if (upstream->load.latency_us == 0)
    return;
  set_latency (ctx, service, upstream, upstream->load.latency_us);
  update_service_latency (service, upstream->load.latency_us);
}

void
ph_choice_observe_latency (
    PhContext *ctx, PhWorld *world, PhUpstreamId id, PhTime elapsed, bool has_responded)
{
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);
  PhService *service;
  double latency;

  if (upstream == NULL)
    return;
  service = ph_service_get (&world->services, upstream->service);
  if (!has_responded)
    {
      if ((double)elapsed > upstream->latency_us)
        set_latency (ctx, service, upstream, (double)elapsed);
      return;
    }
  /* The latency in a load report is more accurate than that of one response. */
  if (upstream->load.latency_us != 0)
    return;
  latency = upstream->latency_us == 0 ? (double)elapsed : upstream->latency_us;
  latency += LATENCY_SAMPLE_WEIGHT * ((double)elapsed - latency);
  set_latency (ctx, service, upstream, latency);
  update_service_latency (service, (double)elapsed);
}

void
ph_choice_record_failure (PhContext *ctx, PhWorld *world, PhUpstreamId id)
{
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);
  PhService *service;
  double latency;

  /* The latency in a load report already accounts for failures: it is the time for one success. */
  if (upstream == NULL || upstream->load.latency_us != 0)
    return;
  service = ph_service_get (&world->services, upstream->service);
  latency = FAILURE_LATENCY_FACTOR
            * (service->latency_us > 0 ? service->latency_us : LATENCY_DEFAULT_US);
  set_latency (ctx, service, upstream,
               upstream->latency_us > latency ? upstream->latency_us : latency);
}

/* Whether an upstream is the one of an attempt of the call, also if its row was replaced since. */
static bool
is_tried_in (const PhCall *call, uint32_t attempt, const PhUpstream *upstream, PhUpstreamId id)
{
  PhMemberId member = call->tried_members[attempt];

  return call->tried_upstreams[attempt].v == id.v
         || (call->tried_epochs[attempt] != 0 && call->tried_epochs[attempt] == upstream->epoch
             && member.v == upstream->member.v && (member.v != 0 || upstream->is_local));
}

static bool
is_tried (const PhCall *call, const PhUpstream *upstream, PhUpstreamId id)
{
  for (uint32_t i = 0; i < call->tried_count; i++)
    if (is_tried_in (call, i, upstream, id))
      return true;
  return false;
}

/* The upstream of an attempt of the call, or NULL if it has left the service. */
static const PhUpstream *
find_tried (const PhWorld *world, const PhService *service, const PhCall *call, uint32_t attempt)
{
  const PhUpstream *tried = ph_upstream_get (&world->upstreams, call->tried_upstreams[attempt]);

  for (uint32_t i = 0; tried == NULL && i < service->upstream_count; i++)
    {
      const PhUpstream *upstream = ph_upstream_get (&world->upstreams, service->upstreams[i]);

      if (is_tried_in (call, attempt, upstream, service->upstreams[i]))
        tried = upstream;
    }
  return tried;
}

bool
ph_choice_is_eligible (const PhContext *ctx,
                       const PhWorld *world,
                       const PhUpstream *upstream,
                       PhUpstreamId id,
                       const PhCall *call)
{
  return compute_preference (ctx, world, upstream) < PH_PREFERENCE_SUSPENDED
         && !is_tried (call, upstream, id);
}

/* Weight of a latency estimate, from 1 when it was just updated down to 0. */
static double
latency_weight (const PhContext *ctx, const PhService *service, const PhUpstream *upstream)
{
  double age = (double)(ctx->now - upstream->latency_updated_at);
  double by_time = age / LATENCY_HALF_LIFE;
  double by_choices
      = (service->choice_count - upstream->latency_choice_count) / LATENCY_HALF_LIFE_CHOICES;
  double half_lives = by_time < by_choices ? by_time : by_choices;

  if (half_lives < age / LATENCY_HALF_LIFE_MAX)
    half_lives = age / LATENCY_HALF_LIFE_MAX;
  return exp2 (-half_lives);
}

/* Duration of work at an upstream as a multiple of the usual, from its last report. It changes
 * several times per second, so the weight of a report decays quickly. */
static double
slowdown_factor (const PhContext *ctx, const PhWorld *world, const PhUpstream *upstream)
{
  uint32_t percent
      = upstream->is_local ? world->admission.slowdown_percent : upstream->load.slowdown_percent;
  PhTime reported_at
      = upstream->is_local ? world->admission.slowdown_reported_at : upstream->load_reported_at;
  double weight;

  if (percent == 0)
    return 1;
  weight = exp2 (-(double)(ctx->now - reported_at) / SLOWDOWN_HALF_LIFE);
  return (percent * weight + SLOWDOWN_AVERAGE_PERCENT * (1 - weight)) / 100;
}

static double
decayed_latency (const PhContext *ctx, const PhService *service, const PhUpstream *upstream)
{
  double usual = service->latency_us > 0 ? service->latency_us : LATENCY_DEFAULT_US;
  double difference;

  if (upstream->latency_us == 0)
    return usual;
  difference = (upstream->latency_us - usual) * latency_weight (ctx, service, upstream);
  if (fabs (difference) <= LATENCY_NOISE_FRACTION * usual)
    return usual;
  return usual + difference - copysign (LATENCY_NOISE_FRACTION * usual, difference);
}

/* Number of calls that the upstream can run concurrently. One that has not reported yet may be in a
 * cold start. */
static double
concurrency_limit (const PhUpstream *upstream, const PhLoad *load)
{
  if (load->limit > 0)
    return load->limit;
  return upstream->state == PH_UPSTREAM_COLD || upstream->slots == 0 ? 1 : upstream->slots;
}

/* Fraction of the concurrency limit that is in use; from 1 on, a call must wait. The last report
 * includes the open calls of this node at that time; calls sent since then are added. */
static double
utilization (const PhContext *ctx, const PhWorld *world, const PhUpstream *upstream)
{
  PhLoad load = upstream->is_local ? ph_admission_load (world) : upstream->load;
  double age = upstream->is_local ? 0 : (double)(ctx->now - upstream->load_reported_at);
  double busy = (load.in_flight + load.queued) * LOAD_HALF_LIFE / (LOAD_HALF_LIFE + age);

  if (!upstream->is_local)
    busy += upstream->sent_since_report;
  if (busy < upstream->outstanding)
    busy = upstream->outstanding;
  return busy / concurrency_limit (upstream, &load);
}

double
ph_choice_cost (const PhContext *ctx,
                const PhWorld *world,
                const PhService *service,
                const PhUpstream *upstream)
{
  uint32_t preference = upstream->candidate_group / 2;
  double cost = decayed_latency (ctx, service, upstream) * slowdown_factor (ctx, world, upstream)
                * (1 + WAIT_AT_LIMIT_FACTOR * utilization (ctx, world, upstream));

  if (preference == PH_PREFERENCE_SAME_REGION)
    return cost + SAME_REGION_DELAY_US;
  return preference == PH_PREFERENCE_OTHER_REGION ? cost + OTHER_REGION_DELAY_US : cost;
}

/* Positions of a group that must not be drawn, in ascending order. */
typedef struct
{
  uint32_t positions[PH_ATTEMPTS_MAX + 1];
  uint32_t count;
} SkippedPositions;

static void
add_skipped_position (SkippedPositions *skips, uint32_t position)
{
  uint32_t i = skips->count++;

  for (; i > 0 && skips->positions[i - 1] > position; i--)
    skips->positions[i] = skips->positions[i - 1];
  skips->positions[i] = position;
}

static void
skip_tried_upstreams (const PhWorld *world,
                      const PhService *service,
                      const PhCall *call,
                      uint32_t group,
                      SkippedPositions *skips)
{
  skips->count = 0;
  for (uint32_t i = 0; i < call->tried_count; i++)
    {
      const PhUpstream *tried = find_tried (world, service, call, i);

      if (tried != NULL && tried->candidate_group == group)
        add_skipped_position (skips, tried->position_in_service);
    }
}

/* Draws an upstream of a group, in rotation or at random, leaving out the skipped positions.
 * Returns 0 if there is none. */
static PhUpstreamId
draw_from_group (PhContext *ctx,
                 const PhService *service,
                 uint32_t group,
                 const SkippedPositions *skips,
                 bool is_in_rotation)
{
  uint32_t begin = group_begin (service, group);
  uint32_t count = service->group_end[group] - begin;
  uint32_t position;

  if (count <= skips->count)
    return (PhUpstreamId){ 0 };
  count -= skips->count;
  position
      = begin
        + (is_in_rotation ? service->choice_count % count : ph_random_below (&ctx->random, count));
  for (uint32_t i = 0; i < skips->count && position >= skips->positions[i]; i++)
    position++;
  return service->upstreams[position];
}

/* Draws an upstream that the call has not tried, and that is not the other one, after checking that
 * it still belongs to the group: preferences also change with time, without a call to this module.
 * Draws in rotation if other is 0, otherwise at random. */
static PhUpstreamId
draw_checked (PhContext *ctx,
              PhWorld *world,
              const PhService *service,
              const PhCall *call,
              uint32_t group,
              PhUpstreamId other)
{
  SkippedPositions skips;
  PhUpstreamId id;
  PhUpstream *upstream;

  for (;;)
    {
      skip_tried_upstreams (world, service, call, group, &skips);
      upstream = ph_upstream_get (&world->upstreams, other);
      if (upstream != NULL && upstream->candidate_group == group)
        add_skipped_position (&skips, upstream->position_in_service);
      id = draw_from_group (ctx, service, group, &skips, other.v == 0);
      upstream = ph_upstream_get (&world->upstreams, id);
      if (upstream == NULL || compute_group (ctx, world, service, upstream) == group)
        return id;
      ph_choice_update_group (ctx, world, id);
    }
}

static uint32_t
count_eligible (const PhService *service, bool is_target_version)
{
  uint32_t count = 0;

  for (uint32_t preference = 0; preference < PH_PREFERENCE_SUSPENDED; preference++)
    count += service->group_end[2 * preference + is_target_version]
             - group_begin (service, 2 * preference + is_target_version);
  return count;
}

uint32_t
ph_choice_eligible_count (const PhService *service)
{
  return count_eligible (service, true) + count_eligible (service, false);
}

typedef struct
{
  PhUpstreamId id; /* 0 for none */
  double cost;
} Candidate;

static Candidate
make_candidate (const PhContext *ctx,
                const PhWorld *world,
                const PhService *service,
                PhUpstreamId id)
{
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  return upstream != NULL ? (Candidate){ id, ph_choice_cost (ctx, world, service, upstream) }
                          : (Candidate){ { 0 }, 0 };
}

/* Returns the second candidate if its cost is below this ratio of the first one's, otherwise the
 * first. */
static Candidate
cheaper_candidate (Candidate first, Candidate second, double ratio)
{
  if (second.id.v == 0)
    return first;
  return first.id.v == 0 || second.cost < ratio * first.cost ? second : first;
}

/* Whether the queue of an upstream is short enough for a large response to be fetched from there.
 */
static bool
has_short_queue (const PhContext *ctx, const PhWorld *world, PhUpstreamId id)
{
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  return upstream != NULL && utilization (ctx, world, upstream) < BULK_UTILIZATION_MAX;
}

/* Whether an upstream may have a free slot. Calls that were queued at the time of its report have
 * been started or refused once the maximum queue time has passed, so an older report does not show
 * that it is full now. */
static bool
may_have_free_slot (const PhContext *ctx,
                    const PhWorld *world,
                    const PhService *service,
                    const PhUpstream *upstream)
{
  PhTime age = upstream->is_local ? 0 : ctx->now - upstream->load_reported_at;

  return utilization (ctx, world, upstream) < 1
         || (age > (PhTime)service->rules.queue_ms * PH_MS
             && upstream->outstanding < upstream->load.limit);
}

/* Whether the call must leave the nearer upstream, because it is full, regardless of the cost. A
 * call from within a chain could otherwise wait for a slot that its own callers hold until it ends.
 */
static bool
must_leave_full (const PhContext *ctx,
                 const PhWorld *world,
                 const PhService *service,
                 const PhCall *call,
                 PhUpstreamId nearer,
                 PhUpstreamId other)
{
  const PhUpstream *full = ph_upstream_get (&world->upstreams, nearer);
  const PhUpstream *free = ph_upstream_get (&world->upstreams, other);

  return call->depth > 0 && full != NULL && free != NULL
         && !may_have_free_slot (ctx, world, service, full)
         && may_have_free_slot (ctx, world, service, free);
}

/* Whether an upstream is expected to have a free slot, by its load if that is known, otherwise as
 * without --fleet-capacity. */
static bool
has_room (const PhContext *ctx, const PhWorld *world, const PhService *service, PhUpstreamId id)
{
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  if (upstream == NULL)
    return false;
  return ph_load_view_is_known (ctx, upstream) ? ph_load_view_free_slots (ctx, world, upstream) > 0
                                               : may_have_free_slot (ctx, world, service, upstream);
}

/* Weight of an upstream among those that are known to have a free slot, 0 if it has none: its free
 * slots, less the older the report is and the slower the upstream. */
static double
free_slot_weight (const PhContext *ctx,
                  const PhWorld *world,
                  const PhService *service,
                  const PhUpstream *upstream)
{
  double usual = service->latency_us > 0 ? service->latency_us : LATENCY_DEFAULT_US;
  double age = upstream->is_local ? 0 : (double)(ctx->now - upstream->load_reported_at);
  double free_slots = ph_load_view_free_slots (ctx, world, upstream);

  if (free_slots == 0)
    return 0;
  return free_slots * exp2 (-age / FREE_SLOT_HALF_LIFE) * usual
         / (decayed_latency (ctx, service, upstream) * slowdown_factor (ctx, world, upstream));
}

/* Draws an upstream of a group that is known to have a free slot, at random by weight, so that
 * nodes with the same view do not all take the same slot. Returns 0 if there is none. */
static PhUpstreamId
draw_free_slot (PhContext *ctx,
                const PhWorld *world,
                const PhService *service,
                const PhCall *call,
                uint32_t group)
{
  PhUpstreamId drawn = { 0 };
  double sum = 0;

  for (uint32_t i = group_begin (service, group); i < service->group_end[group]; i++)
    {
      const PhUpstream *upstream = ph_upstream_get (&world->upstreams, service->upstreams[i]);
      double weight;

      if (is_tried (call, upstream, service->upstreams[i])
          || compute_group (ctx, world, service, upstream) != group)
        continue;
      weight = free_slot_weight (ctx, world, service, upstream);
      sum += weight;
      if (weight > 0 && ph_random_unit (&ctx->random) * sum < weight)
        drawn = service->upstreams[i];
    }
  return drawn;
}

static bool
is_known_free (const PhContext *ctx, const PhWorld *world, PhUpstreamId id)
{
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  return upstream != NULL && ph_load_view_free_slots (ctx, world, upstream) > 0;
}

/* Replaces the best candidate of a group by one that is known to have a free slot, if neither it
 * nor the best of the nearer groups has room. */
static Candidate
replace_full (PhContext *ctx,
              const PhWorld *world,
              const PhService *service,
              const PhCall *call,
              uint32_t group,
              PhUpstreamId nearer,
              Candidate group_best)
{
  PhUpstreamId third;

  if (!world->uses_fleet_capacity || is_known_free (ctx, world, group_best.id)
      || (has_room (ctx, world, service, group_best.id)
          && (nearer.v == 0 || has_room (ctx, world, service, nearer))))
    return group_best;
  third = draw_free_slot (ctx, world, service, call, group);
  return third.v != 0 ? make_candidate (ctx, world, service, third) : group_best;
}

/* Whether the load of an upstream is new enough for a call to leave a data centre for its slot. */
static bool
is_fresh (const PhContext *ctx, const PhWorld *world, PhUpstreamId id)
{
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  return upstream != NULL
         && (upstream->is_local || ctx->now - upstream->load_reported_at < LEAVE_AGE_MAX);
}

/* Whether a call goes to one upstream regardless of the cost, because that one is known to have a
 * free slot and the other one has no room. The traffic of a large response costs more than the
 * wait. */
static bool
has_only_slot (const PhContext *ctx,
               const PhWorld *world,
               const PhService *service,
               const PhCall *call,
               PhUpstreamId id,
               PhUpstreamId other)
{
  return world->uses_fleet_capacity && !call->is_bulk && is_known_free (ctx, world, id)
         && other.v != 0 && !has_room (ctx, world, service, other);
}

bool
ph_choice_has_free_slot (const PhContext *ctx,
                         const PhWorld *world,
                         const PhService *service,
                         const PhCall *call)
{
  if (!world->uses_fleet_capacity)
    return false;
  for (uint32_t i = 0; i < service->group_end[2 * PH_PREFERENCE_SUSPENDED - 1]; i++)
    {
      const PhUpstream *upstream = ph_upstream_get (&world->upstreams, service->upstreams[i]);

      if (ph_choice_is_eligible (ctx, world, upstream, service->upstreams[i], call)
          && ph_load_view_free_slots (ctx, world, upstream) > 0)
        return true;
    }
  return false;
}

/* Chooses among eligible upstreams, with two candidates of each preference, so that a near upstream
 * is always compared with distant ones. With --fleet-capacity, a third one that is known to have a
 * free slot replaces them if neither is expected to have one. */
static PhUpstreamId
choose_eligible (PhContext *ctx,
                 PhWorld *world,
                 const PhService *service,
                 const PhCall *call,
                 bool is_target_version)
{
  Candidate best = { { 0 }, 0 };

  for (uint32_t preference = 0; preference < PH_PREFERENCE_SUSPENDED; preference++)
    {
      uint32_t group = 2 * preference + is_target_version;
      PhUpstreamId first = draw_checked (ctx, world, service, call, group, (PhUpstreamId){ 0 });
      PhUpstreamId second;
      Candidate group_best;

      if (first.v == 0)
        continue;
      second = draw_checked (ctx, world, service, call, group, first);
      group_best
          = cheaper_candidate (make_candidate (ctx, world, service, first),
                               make_candidate (ctx, world, service, second), ROTATION_COST_RATIO);
      group_best = replace_full (ctx, world, service, call, group, best.id, group_best);
      if (call->is_bulk && has_short_queue (ctx, world, group_best.id))
        return best.id.v != 0 ? best.id : group_best.id;
      if (must_leave_full (ctx, world, service, call, best.id, group_best.id)
          || (is_fresh (ctx, world, group_best.id)
              && has_only_slot (ctx, world, service, call, group_best.id, best.id)))
        best = group_best;
      else if (!has_only_slot (ctx, world, service, call, best.id, group_best.id))
        best = cheaper_candidate (best, group_best, PREFERENCE_COST_RATIO);
    }
  return best.id;
}

/* Restarts the decay of the estimate of a slow upstream that was chosen: its full latency counts
 * again until its response, so that a single call tries it, and not all calls. */
static void
record_choice (const PhContext *ctx, const PhWorld *world, PhService *service, PhUpstreamId id)
{
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  service->choice_count++;
  if (upstream != NULL && upstream->latency_us > service->latency_us)
    set_latency (ctx, service, upstream, upstream->latency_us);
}

/* Whether all upstreams of a service are of the version that a move leads to. */
static bool
has_only_target_version (const PhWorld *world, const PhService *service)
{
  for (uint32_t i = 0; i < service->upstream_count; i++)
    if (strcmp (ph_upstream_get (&world->upstreams, service->upstreams[i])->version,
                service->move_version)
        != 0)
      return false;
  return true;
}

PhUpstreamId
ph_choose_power_of_two (
    void *user, PhContext *ctx, PhWorld *world, PhService *service, const PhCall *call)
{
  bool is_target_version = service->move_version[0] != '\0' && service->move_share > 0
                           && ph_random_unit (&ctx->random) < service->move_share;
  PhUpstreamId id = { 0 };

  (void)user;
  /* While it is not known whether the new version is good, a call that failed there is better
   * served by the old one, and costs no second call of those that a bad version may get. */
  if (is_target_version && service->is_move_open && call->tried_count > 0)
    {
      id = choose_eligible (ctx, world, service, call, false);
      if (id.v != 0)
        {
          record_choice (ctx, world, service, id);
          return id;
        }
    }
  if (is_target_version)
    id = choose_eligible (ctx, world, service, call, true);
  if (id.v == 0)
    id = choose_eligible (ctx, world, service, call, false);
  if (id.v == 0 && is_target_version && count_eligible (service, true) == 0)
    id = draw_checked (ctx, world, service, call, 2 * PH_PREFERENCE_SUSPENDED + 1, id);
  if (id.v == 0 && count_eligible (service, false) == 0)
    id = draw_checked (ctx, world, service, call, 2 * PH_PREFERENCE_SUSPENDED, id);
  /* A version that was taken back is better than none. */
  if (id.v == 0 && !is_target_version && has_only_target_version (world, service))
    id = choose_eligible (ctx, world, service, call, true);
  record_choice (ctx, world, service, id);
  return id;
}

PhUpstreamId
ph_choose_round_robin (
    void *user, PhContext *ctx, PhWorld *world, PhService *service, const PhCall *call)
{
  uint32_t count = group_begin (service, 2 * PH_PREFERENCE_SUSPENDED);

  (void)user;
  for (uint32_t i = 0; i <= call->tried_count && i < count; i++)
    {
      PhUpstreamId id = service->upstreams[service->choice_count++ % count];

      if (ph_choice_is_eligible (ctx, world, ph_upstream_get (&world->upstreams, id), id, call))
        return id;
    }
  return (PhUpstreamId){ 0 };
}
