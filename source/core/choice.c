#include "pollenhitch/choice.h"

#include <math.h>
#include <string.h>

#include "pollenhitch/invariant.h"
#include "pollenhitch/world.h"

/* A report of calls in flight loses half of its weight in this time. At few calls a second, 20 ms
 * gave a p99 twice as high with a cold upstream (docs/decisions/choice.md): a stale report is still
 * better than none. */
#define LOAD_HALF_LIFE (4.0 * PH_SECOND)

/* The difference of an upstream's latency from the service's loses half of its weight when both
 * this time and this number of choices have passed, so that a slow upstream is tried again but
 * gets under 1% of the calls of a busy node. */
#define LATENCY_HALF_LIFE (1.0 * PH_SECOND)
#define LATENCY_HALF_TURNS 64.0

/* At few calls the age alone counts in the end, so that an upstream that recovered is found. */
#define LATENCY_HALF_LIFE_MAX (10.0 * PH_SECOND)

/* Differences of latency up to this part of the service's are taken for noise. */
#define LATENCY_BAND 0.4

/* The upstream whose turn it is, and the nearer preference, are left only for a cost below this
 * part of their own. Small differences are noise in stale reports, and turns spread calls more
 * evenly than chance. */
#define TURN_MARGIN 0.8
#define PREFERENCE_MARGIN 0.7

/* Expected wait at a full upstream, as a part of its latency. */
#define WAIT_AT_LIMIT 0.5

/* An upstream that fails, and has not reported a success, counts as this much slower than others.
 */
#define FAILURE_FACTOR 10

/* Neighbours of a VM come and go in a few tenths of a second. Without news an upstream is taken to
 * be as slow as they are on average. */
#define SLOWNESS_HALF_LIFE (200.0 * PH_MS)
#define SLOWNESS_USUAL 150.0

/* A large response is fetched from the nearest preference that has not as many calls waiting as
 * running: its bytes cost more on the way than the wait. */
#define BULK_PRESSURE 2.0

#define LATENCY_WEIGHT 0.2
#define LATENCY_DEFAULT_US 1000.0

/* Extra time of a call to another data centre or region, until it is measured. */
#define REGION_DISTANCE_US 2000.0
#define REMOTE_DISTANCE_US 30000.0

static PhPreference
preference_of (const PhContext *ctx, const PhWorld *world, const PhUpstream *upstream)
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

static uint32_t
class_of (const PhContext *ctx,
          const PhWorld *world,
          const PhService *service,
          const PhUpstream *upstream)
{
  bool is_moved_to
      = service->move_version[0] != '\0' && strcmp (service->move_version, upstream->version) == 0;

  return 2 * (uint32_t)preference_of (ctx, world, upstream) + is_moved_to;
}

static uint32_t
class_begin (const PhService *service, uint32_t class)
{
  return class == 0 ? 0 : service->group_end[class - 1];
}

static void
set_position (PhWorld *world, PhService *service, uint32_t at, PhUpstreamId id)
{
  service->upstreams[at] = id;
  ph_upstream_get (&world->upstreams, id)->service_index = at;
}

static void
swap_positions (PhWorld *world, PhService *service, uint32_t at, uint32_t other)
{
  PhUpstreamId id = service->upstreams[at];

  set_position (world, service, at, service->upstreams[other]);
  set_position (world, service, other, id);
}

/* Moves an upstream from class to class across the borders between them. */
static void
move_to_class (PhWorld *world, PhService *service, PhUpstream *upstream, uint32_t class)
{
  while (upstream->candidate_group > class)
    {
      uint32_t border = class_begin (service, upstream->candidate_group);

      swap_positions (world, service, upstream->service_index, border);
      service->group_end[--upstream->candidate_group]++;
    }
  while (upstream->candidate_group < class)
    {
      uint32_t border = --service->group_end[upstream->candidate_group++];

      swap_positions (world, service, upstream->service_index, border);
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
  move_to_class (world, service, upstream, class_of (ctx, world, service, upstream));
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

  PH_INVARIANT (service->upstreams[upstream->service_index].v == id.v);
  move_to_class (world, service, upstream, PH_CANDIDATE_GROUP_COUNT - 1);
  swap_positions (world, service, upstream->service_index, service->upstream_count - 1);
  service->upstream_count--;
  service->group_end[PH_CANDIDATE_GROUP_COUNT - 1]--;
}

void
ph_choice_data_centre_changed (PhContext *ctx, PhWorld *world, PhDataCentreId id)
{
  PhUpstreamId at = { 0 };

  while ((at = ph_upstream_next (&world->upstreams, at)).v != 0)
    if (ph_upstream_get (&world->upstreams, at)->data_centre.v == id.v
        || id.v == world->data_centre.v)
      ph_choice_update_group (ctx, world, at);
}

void
ph_choice_set_move (
    PhContext *ctx, PhWorld *world, PhServiceId id, const char *version, double share)
{
  PhService *service = ph_service_get (&world->services, id);
  PhUpstreamId at = { 0 };

  if (service == NULL)
    return;
  service->move_share = share;
  if (strcmp (service->move_version, version) == 0)
    return;
  ph_text_copy (service->move_version, sizeof service->move_version, version);
  while ((at = ph_upstream_next (&world->upstreams, at)).v != 0)
    if (ph_upstream_get (&world->upstreams, at)->service.v == id.v)
      ph_choice_update_group (ctx, world, at);
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
confirm_latency (const PhContext *ctx, const PhService *service, PhUpstream *upstream, double time)
{
  upstream->latency_us = time;
  upstream->latency_confirmed_at = ctx->now;
  upstream->latency_choice_count = service->choice_count;
}

static void
learn_service_latency (PhService *service, double time)
{
  if (service->latency_us == 0)
    service->latency_us = time;
  service->latency_us += LATENCY_WEIGHT * (time - service->latency_us);
}

void
ph_choice_load_reported (PhContext *ctx, PhWorld *world, PhUpstreamId id)
{
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);
  PhService *service = ph_service_get (&world->services, upstream->service);

  upstream->sent_since_report = 0;
  if (upstream->load.latency_us == 0)
    return;
  confirm_latency (ctx, service, upstream, upstream->load.latency_us);
  learn_service_latency (service, upstream->load.latency_us);
}

void
ph_choice_observe_latency (
    PhContext *ctx, PhWorld *world, PhUpstreamId id, PhTime elapsed, bool is_complete)
{
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);
  PhService *service;
  double latency;

  if (upstream == NULL)
    return;
  service = ph_service_get (&world->services, upstream->service);
  if (!is_complete)
    {
      if ((double)elapsed > upstream->latency_us)
        confirm_latency (ctx, service, upstream, (double)elapsed);
      return;
    }
  /* A report says more than one response does. */
  if (upstream->load.latency_us != 0)
    return;
  latency = upstream->latency_us == 0 ? (double)elapsed : upstream->latency_us;
  latency += LATENCY_WEIGHT * ((double)elapsed - latency);
  confirm_latency (ctx, service, upstream, latency);
  learn_service_latency (service, (double)elapsed);
}

void
ph_choice_record_failure (PhContext *ctx, PhWorld *world, PhUpstreamId id)
{
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);
  PhService *service;
  double latency;

  /* The latency in a report is for one success. */
  if (upstream == NULL || upstream->load.latency_us != 0)
    return;
  service = ph_service_get (&world->services, upstream->service);
  latency = FAILURE_FACTOR * (service->latency_us > 0 ? service->latency_us : LATENCY_DEFAULT_US);
  confirm_latency (ctx, service, upstream,
                   upstream->latency_us > latency ? upstream->latency_us : latency);
}

static bool
is_tried (const PhCall *call, PhUpstreamId id)
{
  for (uint32_t i = 0; i < call->tried_count; i++)
    if (call->tried_upstreams[i].v == id.v)
      return true;
  return false;
}

bool
ph_choice_is_eligible (const PhContext *ctx,
                       const PhWorld *world,
                       const PhUpstream *upstream,
                       PhUpstreamId id,
                       const PhCall *call)
{
  return preference_of (ctx, world, upstream) < PH_PREFERENCE_SUSPENDED && !is_tried (call, id);
}

/* How much a latency still counts, from 1 when it is new to 0. */
static double
latency_weight (const PhContext *ctx, const PhService *service, const PhUpstream *upstream)
{
  double age = (double)(ctx->now - upstream->latency_confirmed_at);
  double by_time = age / LATENCY_HALF_LIFE;
  double by_turns = (service->choice_count - upstream->latency_choice_count) / LATENCY_HALF_TURNS;
  double half_lives = by_time < by_turns ? by_time : by_turns;

  if (half_lives < age / LATENCY_HALF_LIFE_MAX)
    half_lives = age / LATENCY_HALF_LIFE_MAX;
  return exp2 (-half_lives);
}

/* Time that work takes at an upstream now, as a multiple of the usual, from what it last told. It
 * changes several times a second, so that an old report says little. */
static double
slowness_of (const PhContext *ctx, const PhWorld *world, const PhUpstream *upstream)
{
  uint32_t told
      = upstream->is_local ? world->admission.slowdown_percent : upstream->load.slowdown_percent;
  PhTime at
      = upstream->is_local ? world->admission.slowdown_reported_at : upstream->load_reported_at;
  double weight;

  if (told == 0)
    return 1;
  weight = exp2 (-(double)(ctx->now - at) / SLOWNESS_HALF_LIFE);
  return (told * weight + SLOWNESS_USUAL * (1 - weight)) / 100;
}

static double
aged_latency (const PhContext *ctx, const PhService *service, const PhUpstream *upstream)
{
  double usual = service->latency_us > 0 ? service->latency_us : LATENCY_DEFAULT_US;
  double difference;

  if (upstream->latency_us == 0)
    return usual;
  difference = (upstream->latency_us - usual) * latency_weight (ctx, service, upstream);
  if (fabs (difference) <= LATENCY_BAND * usual)
    return usual;
  return usual + difference - copysign (LATENCY_BAND * usual, difference);
}

/* Calls that the upstream can run at once. One that has not reported yet may be in a cold start. */
static double
limit_of (const PhUpstream *upstream, const PhLoad *load)
{
  if (load->limit > 0)
    return load->limit;
  return upstream->state == PH_UPSTREAM_COLD || upstream->slots == 0 ? 1 : upstream->slots;
}

/* Part of the limit that is in use: from 1 on, a call would wait. Calls of this node since the last
 * report come on top of it, calls before it that are still open are in it. */
static double
pressure_of (const PhContext *ctx, const PhWorld *world, const PhUpstream *upstream)
{
  PhLoad load = upstream->is_local ? ph_admission_load (world) : upstream->load;
  double age = upstream->is_local ? 0 : (double)(ctx->now - upstream->load_reported_at);
  double busy = (load.in_flight + load.queued) * LOAD_HALF_LIFE / (LOAD_HALF_LIFE + age);

  if (!upstream->is_local)
    busy += upstream->sent_since_report;
  if (busy < upstream->outstanding)
    busy = upstream->outstanding;
  return busy / limit_of (upstream, &load);
}

double
ph_choice_cost (const PhContext *ctx,
                const PhWorld *world,
                const PhService *service,
                const PhUpstream *upstream)
{
  uint32_t preference = upstream->candidate_group / 2;
  double cost = aged_latency (ctx, service, upstream) * slowness_of (ctx, world, upstream)
                * (1 + WAIT_AT_LIMIT * pressure_of (ctx, world, upstream));

  if (preference == PH_PREFERENCE_SAME_REGION)
    return cost + REGION_DISTANCE_US;
  return preference == PH_PREFERENCE_OTHER_REGION ? cost + REMOTE_DISTANCE_US : cost;
}

/* Positions of a class that may not be drawn, in rising order. */
typedef struct
{
  uint32_t at[PH_ATTEMPTS_MAX + 1];
  uint32_t count;
} Skips;

static void
add_skip (Skips *skips, uint32_t at)
{
  uint32_t i = skips->count++;

  for (; i > 0 && skips->at[i - 1] > at; i--)
    skips->at[i] = skips->at[i - 1];
  skips->at[i] = at;
}

static void
skip_tried (const PhWorld *world, const PhCall *call, uint32_t class, Skips *skips)
{
  skips->count = 0;
  for (uint32_t i = 0; i < call->tried_count; i++)
    {
      const PhUpstream *tried = ph_upstream_get (&world->upstreams, call->tried_upstreams[i]);

      if (tried != NULL && tried->candidate_group == class)
        add_skip (skips, tried->service_index);
    }
}

/* Takes an upstream of a class without the skipped positions, in turn or at random. Returns 0 when
 * there is none. */
static PhUpstreamId
draw (PhContext *ctx, const PhService *service, uint32_t class, const Skips *skips, bool is_in_turn)
{
  uint32_t begin = class_begin (service, class);
  uint32_t count = service->group_end[class] - begin;
  uint32_t at;

  if (count <= skips->count)
    return (PhUpstreamId){ 0 };
  count -= skips->count;
  at = begin + (is_in_turn ? service->choice_count % count : ph_random_below (&ctx->random, count));
  for (uint32_t i = 0; i < skips->count && at >= skips->at[i]; i++)
    at++;
  return service->upstreams[at];
}

/* Draws like draw, after a check of the class: it may have changed without a call of this module.
 */
static PhUpstreamId
draw_current (PhContext *ctx,
              PhWorld *world,
              const PhService *service,
              const PhCall *call,
              uint32_t class,
              PhUpstreamId other)
{
  Skips skips;
  PhUpstreamId id;
  PhUpstream *upstream;

  for (;;)
    {
      skip_tried (world, call, class, &skips);
      upstream = ph_upstream_get (&world->upstreams, other);
      if (upstream != NULL && upstream->candidate_group == class)
        add_skip (&skips, upstream->service_index);
      id = draw (ctx, service, class, &skips, other.v == 0);
      upstream = ph_upstream_get (&world->upstreams, id);
      if (upstream == NULL || class_of (ctx, world, service, upstream) == class)
        return id;
      ph_choice_update_group (ctx, world, id);
    }
}

static uint32_t
count_eligible (const PhService *service, bool is_moved_to)
{
  uint32_t count = 0;

  for (uint32_t preference = 0; preference < PH_PREFERENCE_SUSPENDED; preference++)
    count += service->group_end[2 * preference + is_moved_to]
             - class_begin (service, 2 * preference + is_moved_to);
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
price (const PhContext *ctx, const PhWorld *world, const PhService *service, PhUpstreamId id)
{
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  return upstream != NULL ? (Candidate){ id, ph_choice_cost (ctx, world, service, upstream) }
                          : (Candidate){ { 0 }, 0 };
}

/* The second candidate if it costs less than this part of the first, else the first. */
static Candidate
cheaper (Candidate first, Candidate second, double part)
{
  if (second.id.v == 0)
    return first;
  return first.id.v == 0 || second.cost < part * first.cost ? second : first;
}

/* Whether a call would not wait for long at an upstream. */
static bool
has_room (const PhContext *ctx, const PhWorld *world, PhUpstreamId id)
{
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  return upstream != NULL && pressure_of (ctx, world, upstream) < BULK_PRESSURE;
}

/* Whether an upstream may run a call at once. Calls that waited when it reported have been served
 * or refused after the queue time, so that a report of this age does not show it full. */
static bool
may_be_free (const PhContext *ctx,
             const PhWorld *world,
             const PhService *service,
             const PhUpstream *upstream)
{
  PhTime age = upstream->is_local ? 0 : ctx->now - upstream->load_reported_at;

  return pressure_of (ctx, world, upstream) < 1
         || (age > (PhTime)service->rules.queue_ms * PH_MS
             && upstream->outstanding < upstream->load.limit);
}

/* Whether the call is to leave the nearer preference whatever its cost is. A call from within a
 * chain may wait at a full upstream for its own callers, which hold the slots until it ends. */
static bool
has_to_leave (const PhContext *ctx,
              const PhWorld *world,
              const PhService *service,
              const PhCall *call,
              PhUpstreamId nearer,
              PhUpstreamId other)
{
  const PhUpstream *full = ph_upstream_get (&world->upstreams, nearer);
  const PhUpstream *free = ph_upstream_get (&world->upstreams, other);

  return call->depth > 0 && full != NULL && free != NULL && !may_be_free (ctx, world, service, full)
         && may_be_free (ctx, world, service, free);
}

/* Two of each preference, so that a near upstream is always compared with others. */
static PhUpstreamId
choose_eligible (
    PhContext *ctx, PhWorld *world, const PhService *service, const PhCall *call, bool is_moved_to)
{
  Candidate best = { { 0 }, 0 };

  for (uint32_t preference = 0; preference < PH_PREFERENCE_SUSPENDED; preference++)
    {
      uint32_t class = 2 * preference + is_moved_to;
      PhUpstreamId first = draw_current (ctx, world, service, call, class, (PhUpstreamId){ 0 });
      PhUpstreamId second;
      Candidate in_preference;

      if (first.v == 0)
        continue;
      second = draw_current (ctx, world, service, call, class, first);
      in_preference = cheaper (price (ctx, world, service, first),
                               price (ctx, world, service, second), TURN_MARGIN);
      if (call->is_bulk && has_room (ctx, world, in_preference.id))
        return best.id.v != 0 ? best.id : in_preference.id;
      best = has_to_leave (ctx, world, service, call, best.id, in_preference.id)
                 ? in_preference
                 : cheaper (best, in_preference, PREFERENCE_MARGIN);
    }
  return best.id;
}

/* The latency of an upstream that was slow is confirmed for now when it is tried again, so that
 * one call tries it, and not all that come before its response. */
static void
note_choice (const PhContext *ctx, const PhWorld *world, PhService *service, PhUpstreamId id)
{
  PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);

  service->choice_count++;
  if (upstream != NULL && upstream->latency_us > service->latency_us)
    confirm_latency (ctx, service, upstream, upstream->latency_us);
}

PhUpstreamId
ph_choose_power_of_two (
    void *user, PhContext *ctx, PhWorld *world, PhService *service, const PhCall *call)
{
  bool is_moved = service->move_version[0] != '\0' && service->move_share > 0
                  && ph_random_unit (&ctx->random) < service->move_share;
  PhUpstreamId id = { 0 };

  (void)user;
  if (is_moved)
    id = choose_eligible (ctx, world, service, call, true);
  if (id.v == 0)
    id = choose_eligible (ctx, world, service, call, false);
  if (id.v == 0 && is_moved && count_eligible (service, true) == 0)
    id = draw_current (ctx, world, service, call, 2 * PH_PREFERENCE_SUSPENDED + 1, id);
  if (id.v == 0 && count_eligible (service, false) == 0)
    id = draw_current (ctx, world, service, call, 2 * PH_PREFERENCE_SUSPENDED, id);
  note_choice (ctx, world, service, id);
  return id;
}

PhUpstreamId
ph_choose_round_robin (
    void *user, PhContext *ctx, PhWorld *world, PhService *service, const PhCall *call)
{
  uint32_t count = class_begin (service, 2 * PH_PREFERENCE_SUSPENDED);

  (void)user;
  for (uint32_t i = 0; i <= call->tried_count && i < count; i++)
    {
      PhUpstreamId id = service->upstreams[service->choice_count++ % count];

      if (ph_choice_is_eligible (ctx, world, ph_upstream_get (&world->upstreams, id), id, call))
        return id;
    }
  return (PhUpstreamId){ 0 };
}
