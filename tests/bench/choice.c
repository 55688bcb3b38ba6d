/*
 * Compares policies of choice in a queueing model: entry nodes run the real
 * core, upstreams are fakes with slots and a queue, and nothing but the delay
 * between data centres lies between them. Prints a table of latencies and the
 * cost of a choice, and exits with 1 when a goal of docs/design.md is missed.
 */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "pollenhitch/world.h"

#define UPSTREAMS_MAX 16
#define NODES_MAX 64
#define POOL_SIZE 16
#define QUEUE_MAX 256
#define SERVICE_US 5000.0
#define STAGES 4 /* of the Erlang distribution of service times: coefficient of variation 0.5 */
#define NEAR_US 100
#define WARM_UP (3 * PH_SECOND)
#define TIME_MAX (15 * PH_SECOND)
#define DEADLINE (2 * PH_SECOND)

typedef struct
{
  const char *name;
  uint32_t upstreams;
  uint32_t slots;
  uint32_t nodes;
  uint32_t far_us; /* one way between data centres */
  uint32_t scale;  /* of the service time and the time measured: more means fewer calls a second */
} Site;

static const Site sites[] = {
  { "cascade", 6, 9, 6, 1000, 1 },
  { "instituto", 7, 6, 7, 1500, 1 },
  { "many nodes", 12, 9, 64, 1000, 1 },
  { "few calls", 12, 9, 64, 1000, 20 },
};

typedef struct
{
  double load;    /* part of the capacity when no upstream is slow */
  double slow;    /* factor of upstream 0 */
  double skew;    /* calls of the first data centre's nodes, as a multiple of another node's */
  double goal;    /* p99 of round robin over p99 */
  uint32_t slots; /* of upstream 0 when it is cold, 0 for as many as the others */
  double tail;    /* part of the calls that take ten times as long, at any upstream */
} Scenario;

static const Scenario scenarios[] = {
  { 0.1, 1, 1, 1, 0, 0 }, { 0.5, 1, 1, 1, 0, 0 },    { 0.8, 1, 1, 1, 0, 0 },
  { 0.5, 1, 3, 1, 0, 0 }, { 0.1, 10, 1, 5, 0, 0 },   { 0.5, 10, 1, 5, 0, 0 },
  { 0.5, 1, 1, 1, 1, 0 }, { 0.3, 1, 1, 0, 0, 0.02 },
};

typedef struct Model Model;

typedef struct
{
  PhUpstreamId upstream;
  uint32_t in_flight;
  double latency_us;
} Probe;

typedef struct
{
  Model *model;
  PhContext ctx;
  PhWorld *world;
  uint32_t dc;
  PhTime wake_at; /* of the earliest timer event */
  PhUpstreamId ids[UPSTREAMS_MAX];
  Probe pool[POOL_SIZE]; /* of the hot/cold rule */
  uint32_t pool_count;
} Node;

typedef struct
{
  uint32_t dc;
  uint32_t slots;
  uint32_t in_flight;
  uint32_t queue[QUEUE_MAX];
  uint32_t head;
  uint32_t queued;
  double slots_us; /* smoothed time in a slot, as core/admission reports it */
} Upstream;

typedef struct
{
  uint32_t node;
  uint32_t upstream;
  PhAttemptId attempt;
  PhTime started_at;
  PhLoad load;
  bool is_refused;
} Flight;

typedef enum
{
  EVENT_OPEN,
  EVENT_ARRIVE,
  EVENT_SERVED,
  EVENT_RESPONSE,
  EVENT_PROBE,
  EVENT_PROBED,
  EVENT_TIMER
} EventKind;

struct Model
{
  const Site *site;
  const Scenario *scenario;
  bool is_idempotent;
  PhRandom random;
  PhTime now;
  PhTimerHeap events;
  Node nodes[NODES_MAX];
  Upstream upstreams[UPSTREAMS_MAX];
  PhTable flights;
  PhTime *latencies;
  uint32_t latency_count;
  uint32_t latency_capacity;
  uint32_t to_slow;
  uint32_t attempts;
  uint32_t probes;
};

static void
model_event (Model *m, PhTime after, EventKind kind, uint32_t handle)
{
  if (!ph_timer_add (&m->events, m->now + after, kind, handle))
    abort ();
}

static double
exponential (Model *m, double mean)
{
  return -mean * log (1 - ph_random_unit (&m->random));
}

static PhTime
delay (const Model *m, const Node *node, uint32_t upstream)
{
  return node->dc == m->upstreams[upstream].dc ? NEAR_US : m->site->far_us;
}

static bool
is_measured (const Model *m)
{
  return m->now >= PH_SECOND + WARM_UP * m->site->scale;
}

static void
record (Model *m, PhTime latency)
{
  if (!is_measured (m) || m->latency_count == m->latency_capacity)
    return;
  m->latencies[m->latency_count++] = latency;
}

static uint32_t
upstream_at (const Node *node, PhUpstreamId id)
{
  for (uint32_t i = 0; i < node->model->site->upstreams; i++)
    if (node->ids[i].v == id.v)
      return i;
  abort ();
}

static void
start_attempt (void *user, PhAttemptId id)
{
  Node *node = user;
  Model *m = node->model;
  PhAttempt *attempt = ph_attempt_get (&node->world->attempts, id);
  Flight *flight;
  uint32_t handle = ph_table_add (&m->flights, (void **)&flight);

  if (handle == 0)
    abort ();
  flight->node = (uint32_t)(node - m->nodes);
  flight->upstream = upstream_at (node, attempt->upstream);
  flight->attempt = id;
  if (is_measured (m))
    {
      m->attempts++;
      m->to_slow += flight->upstream == 0;
    }
  model_event (m, delay (m, node, flight->upstream), EVENT_ARRIVE, handle);
}

static void
cancel_attempt (void *user, PhAttemptId id)
{
  (void)user;
  (void)id;
}

static void
refuse_call (void *user, PhCallId id, const PhRefusal *refusal)
{
  Node *node = user;

  (void)id;
  (void)refusal;
  record (node->model, DEADLINE * node->model->site->scale);
}

static void
tick (Node *node)
{
  Model *m = node->model;
  PhTime next;

  node->ctx.now = m->now;
  next = ph_world_tick (&node->ctx, node->world);
  next = next > m->now ? next : m->now;
  if (next == PH_TIME_NEVER || (node->wake_at > m->now && node->wake_at <= next))
    return;
  node->wake_at = next;
  model_event (m, next - m->now, EVENT_TIMER, (uint32_t)(node - m->nodes));
}

static void
open_call (Model *m, uint32_t at)
{
  Node *node = &m->nodes[at];
  double rate
      = m->scenario->load * m->site->upstreams * m->site->slots / (SERVICE_US * m->site->scale);
  double weights = 0;
  PhRefusal refusal;

  for (uint32_t i = 0; i < m->site->nodes; i++)
    weights += m->nodes[i].dc == 0 ? m->scenario->skew : 1;
  rate *= (node->dc == 0 ? m->scenario->skew : 1) / weights;
  model_event (m, 1 + (PhTime)exponential (m, 1 / rate), EVENT_OPEN, at);
  node->ctx.now = m->now;
  ph_call_open (&node->ctx, node->world,
                &(PhCallOptions){ .service = "team/service",
                                  .time_left = DEADLINE * m->site->scale,
                                  .is_idempotent = m->is_idempotent,
                                  .can_resend = true },
                &refusal);
  tick (node);
}

static void
serve (Model *m, uint32_t handle, Flight *flight)
{
  double mean
      = SERVICE_US * m->site->scale / STAGES * (flight->upstream == 0 ? m->scenario->slow : 1);
  double time = 0;

  if (ph_random_unit (&m->random) < m->scenario->tail)
    mean *= 10;
  for (int i = 0; i < STAGES; i++)
    time += exponential (m, mean);
  m->upstreams[flight->upstream].in_flight++;
  flight->started_at = m->now;
  model_event (m, (PhTime)time, EVENT_SERVED, handle);
}

static void
respond (Model *m, uint32_t handle, Flight *flight)
{
  const Upstream *upstream = &m->upstreams[flight->upstream];

  flight->load = (PhLoad){ upstream->in_flight, upstream->queued, upstream->slots,
                           (uint32_t)upstream->slots_us, 0 };
  model_event (m, delay (m, &m->nodes[flight->node], flight->upstream), EVENT_RESPONSE, handle);
}

static void
arrive (Model *m, uint32_t handle)
{
  Flight *flight = ph_table_get (&m->flights, handle);
  Upstream *upstream = &m->upstreams[flight->upstream];

  if (upstream->in_flight < upstream->slots)
    serve (m, handle, flight);
  else if (upstream->queued < QUEUE_MAX)
    upstream->queue[(upstream->head + upstream->queued++) % QUEUE_MAX] = handle;
  else
    {
      flight->is_refused = true;
      respond (m, handle, flight);
    }
}

static void
served (Model *m, uint32_t handle)
{
  Flight *flight = ph_table_get (&m->flights, handle);
  Upstream *upstream = &m->upstreams[flight->upstream];

  upstream->in_flight--;
  upstream->slots_us += 0.1 * ((double)(m->now - flight->started_at) - upstream->slots_us);
  respond (m, handle, flight);
  if (upstream->queued == 0)
    return;
  handle = upstream->queue[upstream->head];
  upstream->head = (upstream->head + 1) % QUEUE_MAX;
  upstream->queued--;
  serve (m, handle, ph_table_get (&m->flights, handle));
}

static void
receive_response (Model *m, uint32_t handle)
{
  Flight *flight = ph_table_get (&m->flights, handle);
  Node *node = &m->nodes[flight->node];
  PhAttempt *attempt = ph_attempt_get (&node->world->attempts, flight->attempt);

  node->ctx.now = m->now;
  ph_upstream_report_load (&node->ctx, node->world, node->ids[flight->upstream], &flight->load);
  if (flight->is_refused)
    ph_attempt_fail (&node->ctx, node->world, flight->attempt, PH_RUN_NO, PH_REASON_LIMIT);
  else if (attempt != NULL)
    {
      PhTime opened_at = ph_call_get (&node->world->calls, attempt->call)->opened_at;

      if (ph_attempt_response (&node->ctx, node->world, flight->attempt))
        record (m, m->now - opened_at);
      ph_attempt_finish (&node->ctx, node->world, flight->attempt, true);
    }
  ph_table_remove (&m->flights, handle);
  tick (node);
}

/* A probe of the hot/cold rule reaches its upstream (is_back false) or returns. */
static void
move_probe (Model *m, uint32_t handle, bool is_back)
{
  Flight *flight = ph_table_get (&m->flights, handle);
  const Upstream *upstream = &m->upstreams[flight->upstream];
  Node *node = &m->nodes[flight->node];
  double wait;

  if (!is_back)
    {
      flight->load.in_flight = upstream->in_flight + upstream->queued;
      wait = (double)flight->load.in_flight / upstream->slots;
      flight->load.latency_us = (uint32_t)(upstream->slots_us * (wait > 1 ? wait : 1));
      model_event (m, delay (m, node, flight->upstream), EVENT_PROBED, handle);
      return;
    }
  if (node->pool_count == POOL_SIZE)
    memmove (node->pool, node->pool + 1, --node->pool_count * sizeof *node->pool);
  node->pool[node->pool_count++]
      = (Probe){ node->ids[flight->upstream], flight->load.in_flight,
                 flight->load.latency_us + 2.0 * (double)delay (m, node, flight->upstream) };
  ph_table_remove (&m->flights, handle);
}

/* Naive full scan for the least cost. */
static PhUpstreamId
choose_scan (void *user, PhContext *ctx, PhWorld *world, PhService *service, const PhCall *call)
{
  PhUpstreamId best = { 0 };
  double best_cost = 0;

  (void)user;
  service->choice_count++;
  for (uint32_t i = 0; i < service->upstream_count; i++)
    {
      PhUpstreamId id = service->upstreams[i];
      const PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);
      double cost = ph_choice_cost (ctx, world, service, upstream)
                    * (1 + ph_random_unit (&ctx->random) * 1e-6);

      if (!ph_choice_is_eligible (ctx, world, upstream, id, call)
          || (best.v != 0 && cost >= best_cost))
        continue;
      best = id;
      best_cost = cost;
    }
  return best;
}

/* Power of two choices on calls in flight alone, without latency or distance. */
static PhUpstreamId
choose_two_by_load (
    void *user, PhContext *ctx, PhWorld *world, PhService *service, const PhCall *call)
{
  PhUpstreamId best = { 0 };
  double best_busy = 0;

  (void)user;
  for (int i = 0; i < 2; i++)
    {
      PhUpstreamId id = service->upstreams[ph_random_below (&ctx->random, service->upstream_count)];
      const PhUpstream *upstream = ph_upstream_get (&world->upstreams, id);
      double age = (double)(ctx->now - upstream->load_reported_at);
      double busy = (upstream->load.in_flight + upstream->load.queued) * 20000 / (20000 + age);

      busy = busy > upstream->outstanding ? busy : upstream->outstanding;
      if (ph_choice_is_eligible (ctx, world, upstream, id, call)
          && (best.v == 0 || busy < best_busy))
        {
          best = id;
          best_busy = busy;
        }
    }
  return best.v != 0 ? best : ph_choose_power_of_two (user, ctx, world, service, call);
}

static int
compare_numbers (const void *a, const void *b)
{
  PhTime x = *(const PhTime *)a;
  PhTime y = *(const PhTime *)b;

  return x < y ? -1 : x > y;
}

/* Three probes for each call, each used once, as in Prequal (Wydrowski et al. 2024). */
static void
send_probes (Model *m, uint32_t node)
{
  for (int i = 0; i < 3; i++)
    {
      Flight *flight;
      uint32_t handle = ph_table_add (&m->flights, (void **)&flight);

      if (handle == 0)
        abort ();
      flight->node = node;
      flight->upstream = ph_random_below (&m->random, m->site->upstreams);
      m->probes += is_measured (m);
      model_event (m, delay (m, &m->nodes[node], flight->upstream), EVENT_PROBE, handle);
    }
}

/* Prequal's rule: among the probes whose calls in flight are at most a quantile, the lowest
 * latency. */
static PhUpstreamId
choose_hot_cold (void *user, PhContext *ctx, PhWorld *world, PhService *service, const PhCall *call)
{
  Model *m = user;
  Node *node = m->nodes;
  PhTime sorted[POOL_SIZE];
  uint32_t best = POOL_SIZE;
  PhUpstreamId id;

  while (node->world != world)
    node++;
  send_probes (m, (uint32_t)(node - m->nodes));
  if (node->pool_count < 2)
    return ph_choose_power_of_two (NULL, ctx, world, service, call);
  for (uint32_t i = 0; i < node->pool_count; i++)
    sorted[i] = node->pool[i].in_flight;
  qsort (sorted, node->pool_count, sizeof *sorted, compare_numbers);
  for (uint32_t i = 0; i < node->pool_count; i++)
    if (node->pool[i].in_flight <= sorted[node->pool_count * 5 / 6]
        && (best == POOL_SIZE || node->pool[i].latency_us < node->pool[best].latency_us))
      best = i;
  id = node->pool[best].upstream;
  memmove (node->pool + best, node->pool + best + 1,
           (--node->pool_count - best) * sizeof *node->pool);
  return id;
}

typedef struct
{
  const char *name;
  PhChooseFunc choose;
  bool is_idempotent;
} Policy;

static const Policy policies[] = {
  { "round robin", ph_choose_round_robin, false },  { "two by load", choose_two_by_load, false },
  { "hot/cold", choose_hot_cold, false },           { "full scan", choose_scan, false },
  { "two choices", ph_choose_power_of_two, false }, { "two + hedge", ph_choose_power_of_two, true },
};

#define POLICY_CHOSEN 4

typedef struct
{
  double p50;
  double p99;
  double to_slow;
  double refused;
  double extra;
  double probes;
} Result;

static void
start_node (Model *m, uint32_t at, const Policy *policy)
{
  static const char *const dc_names[] = { "dc1", "dc2", "dc3" };
  Node *node = &m->nodes[at];
  const PhEffects effects = { .start_attempt = start_attempt,
                              .cancel_attempt = cancel_attempt,
                              .refuse_call = refuse_call,
                              .user = node };

  node->model = m;
  node->dc = at % 3;
  node->ctx.now = m->now;
  ph_random_seed (&node->ctx.random, at + 100);
  node->world = ph_world_new (&node->ctx,
                              &(PhWorldOptions){ .name = "node",
                                                 .data_centre = dc_names[node->dc],
                                                 .region = "region",
                                                 .call_capacity = 65536,
                                                 .upstream_capacity = 64,
                                                 .service_capacity = 4,
                                                 .object_capacity = 4,
                                                 .choose = policy->choose,
                                                 .choose_user = m },
                              &effects, NULL);
  for (uint32_t i = 0; i < m->site->upstreams; i++)
    {
      const PhUpstreamOptions opts
          = { .service = "team/service",
              .version = "1",
              .state = PH_UPSTREAM_READY,
              .data_centre
              = ph_data_centre_intern (&node->ctx, node->world, dc_names[i % 3], "region", NULL),
              .epoch = 1,
              .slots = m->site->slots };

      node->ids[i] = ph_upstream_upsert (&node->ctx, node->world, (PhUpstreamId){ 0 }, &opts, NULL);
    }
  ph_service_get (&node->world->services, ph_service_find (node->world, "team/service"))
      ->is_configured
      = true;
  model_event (m, at, EVENT_OPEN, at);
}

static void
run_event (Model *m, const PhTimer *event)
{
  switch ((EventKind)event->kind)
    {
    case EVENT_OPEN:
      open_call (m, event->handle);
      break;
    case EVENT_ARRIVE:
      arrive (m, event->handle);
      break;
    case EVENT_SERVED:
      served (m, event->handle);
      break;
    case EVENT_RESPONSE:
      receive_response (m, event->handle);
      break;
    case EVENT_PROBE:
    case EVENT_PROBED:
      move_probe (m, event->handle, event->kind == EVENT_PROBED);
      break;
    case EVENT_TIMER:
      tick (&m->nodes[event->handle]);
      break;
    }
}

/* In milliseconds, of sorted latencies. */
static double
quantile (const Model *m, uint32_t percent)
{
  uint64_t at = (uint64_t)m->latency_count * percent / 100;

  return (double)m->latencies[at] / 1000;
}

static Result
run_model (const Site *site, const Scenario *scenario, const Policy *policy)
{
  static Model m;
  PhTimer event;
  Result result;
  uint32_t refused = 0;

  memset (&m, 0, sizeof m);
  m.site = site;
  m.scenario = scenario;
  m.is_idempotent = policy->is_idempotent;
  m.now = PH_SECOND;
  m.latency_capacity = 1000000;
  m.latencies = malloc (m.latency_capacity * sizeof *m.latencies);
  ph_random_seed (&m.random, 1);
  if (m.latencies == NULL || !ph_table_init (&m.flights, sizeof (Flight), 1 << 18, NULL))
    abort ();
  for (uint32_t i = 0; i < site->upstreams; i++)
    {
      m.upstreams[i].dc = i % 3;
      m.upstreams[i].slots = i == 0 && scenario->slots > 0 ? scenario->slots : site->slots;
    }
  for (uint32_t i = 0; i < site->nodes; i++)
    start_node (&m, i, policy);
  while (m.now < TIME_MAX * site->scale && ph_timer_pop (&m.events, PH_TIME_NEVER, &event))
    {
      m.now = event.due_at;
      run_event (&m, &event);
    }
  qsort (m.latencies, m.latency_count, sizeof *m.latencies, compare_numbers);
  for (uint32_t i = 0; i < m.latency_count; i++)
    refused += m.latencies[i] >= DEADLINE * site->scale;
  result = (Result){ quantile (&m, 50),
                     quantile (&m, 99),
                     100.0 * m.to_slow / m.attempts,
                     100.0 * refused / m.latency_count,
                     100.0 * ((double)m.attempts / m.latency_count - 1),
                     (double)m.probes / m.latency_count };
  for (uint32_t i = 0; i < site->nodes; i++)
    ph_world_drop (&m.nodes[i].ctx, m.nodes[i].world);
  ph_table_clear (&m.flights);
  ph_timer_clear (&m.events);
  free (m.latencies);
  return result;
}

static int
compare_policies (void)
{
  int missed = 0;

  printf ("%-11s %4s %4s %4s %5s %4s  %-12s %8s %8s %7s %7s %7s %7s %7s\n", "site", "load", "slow",
          "skew", "slots", "tail", "policy", "p50 ms", "p99 ms", "ratio", "slow %", "refus %",
          "extra %", "probes");
  for (size_t i = 0; i < sizeof sites / sizeof *sites; i++)
    for (size_t j = 0; j < sizeof scenarios / sizeof *scenarios; j++)
      {
        const Scenario *scenario = &scenarios[j];
        double baseline = 0;

        for (size_t k = 0; k < sizeof policies / sizeof *policies; k++)
          {
            Result r = run_model (&sites[i], scenario, &policies[k]);
            bool is_missed;

            baseline = k == 0 ? r.p99 : baseline;
            is_missed = k == POLICY_CHOSEN && baseline / r.p99 < scenario->goal;
            missed += is_missed;
            printf ("%-11s %4.1f %4.0f %4.0f %5u %4.2f  %-12s %8.2f %8.2f %7.2f %7.2f %7.2f %7.2f "
                    "%7.2f%s\n",
                    sites[i].name, scenario->load, scenario->slow, scenario->skew, scenario->slots,
                    scenario->tail, policies[k].name, r.p50, r.p99, baseline / r.p99, r.to_slow,
                    r.refused, r.extra, r.probes, is_missed ? "  MISSED" : "");
          }
      }
  return missed;
}

static double
seconds (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

/* Prints the cost of a choice by number of upstreams; half of them are draining. */
static void
measure_cost (void)
{
  static const uint32_t counts[] = { 10, 100, 1000 };
  static const Policy timed[] = {
    { "two choices", ph_choose_power_of_two, false },
    { "full scan", choose_scan, false },
    { "round robin", ph_choose_round_robin, false },
  };

  printf ("\n%-12s %10s %10s\n", "policy", "upstreams", "ns/choice");
  for (size_t i = 0; i < sizeof timed / sizeof *timed; i++)
    for (size_t j = 0; j < sizeof counts / sizeof *counts; j++)
      {
        PhContext ctx = { .now = PH_SECOND };
        const PhEffects none = { 0 };
        PhWorld *world = ph_world_new (&ctx,
                                       &(PhWorldOptions){ .name = "node",
                                                          .data_centre = "dc1",
                                                          .region = "region",
                                                          .call_capacity = 8,
                                                          .upstream_capacity = 1024,
                                                          .service_capacity = 4,
                                                          .object_capacity = 4 },
                                       &none, NULL);
        uint32_t rounds = timed[i].choose == choose_scan ? 20000 : 1000000;
        const PhCall call = { 0 };
        PhService *service;
        double start;

        ph_random_seed (&ctx.random, 1);
        for (uint32_t k = 0; k < counts[j]; k++)
          {
            const PhUpstreamOptions opts
                = { .service = "team/service",
                    .version = "1",
                    .state = k % 2 == 0 ? PH_UPSTREAM_READY : PH_UPSTREAM_DRAINING,
                    .data_centre = ph_data_centre_intern (&ctx, world, k % 3 == 0 ? "dc1" : "dc2",
                                                          "region", NULL),
                    .epoch = 1,
                    .slots = 9 };
            PhUpstreamId id = ph_upstream_upsert (&ctx, world, (PhUpstreamId){ 0 }, &opts, NULL);

            ph_upstream_report_load (&ctx, world, id, &(PhLoad){ k % 9, 0, 9, 5000, 0 });
          }
        service = ph_service_get (&world->services, ph_service_find (world, "team/service"));
        start = seconds ();
        for (uint32_t k = 0; k < rounds; k++)
          {
            ctx.now++;
            if (timed[i].choose (NULL, &ctx, world, service, &call).v == 0)
              abort ();
          }
        printf ("%-12s %10u %10.0f\n", timed[i].name, counts[j],
                (seconds () - start) / rounds * 1e9);
        ph_world_drop (&ctx, world);
      }
}

int
main (void)
{
  int missed;

  setvbuf (stdout, NULL, _IOLBF, 0);
  missed = compare_policies ();

  measure_cost ();
  printf ("\n%d goals missed\n", missed);
  return missed != 0;
}
