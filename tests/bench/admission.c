/*
 * A queueing model around the real core: one upstream, Poisson arrivals from
 * other nodes, simulated time. Prints the comparisons of docs/decisions/
 * admission.md, limit.md, cold-start.md and probe-budget.md, and exits with 1
 * when a goal is missed.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../bed.h"

#define COUNT(array) (sizeof (array) / sizeof *(array))
#define SLOTS 9
#define LATENCY (10 * PH_MS)
#define GOODPUT_GOAL 0.9

/* The adaptive limit must not cost more goodput than this against all slots, and an upstream that
 * fails fast gets no more calls than a bad version may. */
#define LIMIT_GOAL 0.9
#define FAILED_GOAL 0.02

#define PROBE_COST (6 * PH_MS)

/* Kinds of ends beside the outcomes of calls. */
#define PROBE_OK 100
#define PROBE_FAILED 101

typedef struct Model Model;

/* Behaviour of the upstream: time of a call that starts now, and whether it is run at all. */
typedef struct
{
  const char *name;
  double (*slowness) (const Model *model, PhTime now); /* multiplies the time of a call */
  double (*capacity) (const Model *model, PhTime now); /* calls in flight that it bears, or NULL */
  PhOutcome overload;                                  /* outcome of a call over the capacity */
  double slow_share;                                   /* of a route that takes 20 times as long */
  double (*cores) (const Model *model, PhTime now);    /* calls that run side by side, or NULL */
  double contention; /* exponent of the slowdown when more calls than cores run */
} Behaviour;

typedef struct
{
  double load; /* arrivals as a multiple of the capacity */
  PhTime deadline_min;
  PhTime deadline_max;
  PhTime length;
  PhUpstreamState announced;
  double warm_up_s; /* of the behaviours that warm up */
  bool is_idle;     /* no calls at all */
} Scenario;

struct Model
{
  PhContext ctx;
  PhWorld *world;
  const Behaviour *behaviour;
  const Scenario *scenario;
  PhTimerHeap ends; /* ends of calls; kind is the outcome */
  uint32_t in_flight;
  uint32_t opened;
  uint32_t good;
  uint32_t failed;  /* calls that the upstream did not bear */
  uint32_t excess;  /* most calls over the capacity at one time */
  uint32_t refused; /* not run */
  uint32_t probes;
  PhTime full_at; /* when the limit last came up to all slots */
  bool probe_works;
  PhTime suspected_at; /* first failed probe */
  PhTime down_at;      /* calls are refused */
  double *latencies;
};

static double
draw_exponential (Model *model, double mean)
{
  return -log (1 - ph_random_unit (&model->ctx.random)) * mean;
}

static PhTime
draw_time (Model *model)
{
  const Behaviour *behaviour = model->behaviour;
  double time = LATENCY;

  if (behaviour->slow_share > 0)
    time = ph_random_unit (&model->ctx.random) < behaviour->slow_share ? 20 * LATENCY : LATENCY;
  time = 0.5 * time + draw_exponential (model, 0.5 * time);
  if (behaviour->slowness != NULL)
    time *= behaviour->slowness (model, model->ctx.now);
  if (behaviour->cores != NULL && model->in_flight > behaviour->cores (model, model->ctx.now))
    time
        *= pow (model->in_flight / behaviour->cores (model, model->ctx.now), behaviour->contention);
  return (PhTime)time;
}

static void
start_attempt (void *user, PhAttemptId id)
{
  Model *model = user;
  PhOutcome outcome = PH_OUTCOME_OK;
  PhTime time;

  model->in_flight++;
  time = draw_time (model);
  if (model->behaviour->capacity != NULL)
    {
      double over = model->in_flight - floor (model->behaviour->capacity (model, model->ctx.now));

      if (over > 0)
        {
          outcome = model->behaviour->overload;
          time = PH_MS;
          model->failed++;
          if (over > model->excess)
            model->excess = (uint32_t)over;
        }
    }
  ph_timer_add (&model->ends, model->ctx.now + time, outcome, id.v);
}

static void
cancel_attempt (void *user, PhAttemptId id)
{
  Model *model = user;

  (void)id;
  model->in_flight--;
}

static void
refuse_call (void *user, PhCallId id, const PhRefusal *refusal)
{
  Model *model = user;

  (void)id;
  model->refused += refusal->run == PH_RUN_NO;
}

static void
send_probe (void *user, PhUpstreamId id)
{
  Model *model = user;

  model->probes++;
  if (model->probe_works)
    ph_timer_add (&model->ends, model->ctx.now + PROBE_COST, PROBE_OK, id.v);
  else
    ph_timer_add (&model->ends, model->ctx.now + PH_SECOND, PROBE_FAILED, id.v);
}

static void
end_probe (Model *model, PhUpstreamId id, bool is_ok)
{
  PhProbe *probe = &model->world->probe;

  ph_probe_result (&model->ctx, model->world, id, is_ok, is_ok ? PROBE_COST : PH_SECOND);
  if (model->suspected_at == 0 && probe->consecutive_failures == 1)
    model->suspected_at = model->ctx.now;
  if (model->down_at == 0 && probe->down_until > model->ctx.now)
    model->down_at = model->ctx.now;
}

static void
end_attempt (Model *model, PhAttemptId id, PhOutcome outcome)
{
  PhAttempt *attempt = ph_attempt_get (&model->world->attempts, id);

  if (attempt == NULL)
    return;
  model->in_flight--;
  if (outcome == PH_OUTCOME_OK)
    model->latencies[model->good++]
        = (double)(model->ctx.now - ph_call_get (&model->world->calls, attempt->call)->opened_at);
  bed_end_attempt (&model->ctx, model->world, id, outcome);
}

static void
open_call (Model *model)
{
  const Scenario *scenario = model->scenario;
  PhTime spread = scenario->deadline_max - scenario->deadline_min;
  PhTime time_left
      = scenario->deadline_min + (PhTime)(ph_random_unit (&model->ctx.random) * (double)spread);

  model->opened++;
  if (bed_call (&model->ctx, model->world, time_left).v == 0)
    model->refused++;
}

static void
announce (Model *model)
{
  const Scenario *scenario = model->scenario;
  bool is_warm = model->ctx.now >= PH_SECOND + (PhTime)(scenario->warm_up_s * PH_SECOND);

  bed_announce (&model->ctx, model->world, is_warm ? PH_UPSTREAM_READY : scenario->announced, "1",
                SLOTS);
}

static void
start_model (Model *model, const Behaviour *behaviour, const Scenario *scenario)
{
  const PhEffects effects = { .start_attempt = start_attempt,
                              .cancel_attempt = cancel_attempt,
                              .refuse_call = refuse_call,
                              .send_probe = send_probe,
                              .user = model };

  memset (model, 0, sizeof *model);
  model->ctx.now = PH_SECOND;
  ph_random_seed (&model->ctx.random, 42);
  model->behaviour = behaviour;
  model->scenario = scenario;
  model->probe_works = true;
  model->latencies = calloc (4u << 20, sizeof *model->latencies);
  if (model->latencies == NULL)
    abort ();
  model->world = bed_world_new (&model->ctx, &effects, "kamloops", SLOTS);
  announce (model);
}

static void
run_model (Model *model)
{
  const Scenario *scenario = model->scenario;
  PhTime end = model->ctx.now + scenario->length;
  double gap = LATENCY / (SLOTS * scenario->load);
  PhTime arrival = scenario->is_idle ? PH_TIME_NEVER : model->ctx.now;
  PhTime renewal = model->ctx.now + PH_SECOND;
  PhTime due = model->ctx.now;
  bool was_full = false;
  bool is_full;

  while (model->ctx.now < end)
    {
      PhTimer timer;

      model->ctx.now = due < arrival ? due : arrival;
      if (ph_timer_next (&model->ends) < model->ctx.now)
        model->ctx.now = ph_timer_next (&model->ends);
      if (renewal < model->ctx.now)
        model->ctx.now = renewal;
      if (renewal == model->ctx.now)
        {
          announce (model);
          renewal += PH_SECOND;
        }
      while (ph_timer_pop (&model->ends, model->ctx.now, &timer))
        if (timer.kind >= PROBE_OK)
          end_probe (model, (PhUpstreamId){ timer.handle }, timer.kind == PROBE_OK);
        else
          end_attempt (model, (PhAttemptId){ timer.handle }, (PhOutcome)timer.kind);
      if (arrival == model->ctx.now)
        {
          open_call (model);
          arrival += 1 + (PhTime)draw_exponential (model, gap);
        }
      due = ph_world_tick (&model->ctx, model->world);
      is_full = ph_admission_limit (&model->ctx, model->world) == SLOTS;
      if (is_full && !was_full)
        model->full_at = model->ctx.now;
      was_full = is_full;
    }
}

static void
end_model (Model *model)
{
  ph_world_drop (&model->ctx, model->world);
  ph_timer_clear (&model->ends);
  free (model->latencies);
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static double
percentile_ms (Model *model, double share)
{
  if (model->good == 0)
    return 0;
  qsort (model->latencies, model->good, sizeof *model->latencies, compare_doubles);
  return model->latencies[(uint32_t)(share * (model->good - 1))] / PH_MS;
}

/* Responses within the deadline as a share of what all slots can do. */
static double
goodput (const Model *model)
{
  return model->good * (double)LATENCY / ((double)model->scenario->length * SLOTS);
}

typedef struct
{
  const char *name;
  PhQueueOrderFunc order;
  bool drops_early;
} QueueCase;

static const QueueCase queue_cases[] = {
  { "first in, first out", ph_queue_order_fifo, false },
  { "last in, first out", ph_queue_order_lifo, false },
  { "earliest deadline", ph_queue_order_latest_start, false },
  { "earliest deadline, early drop", ph_queue_order_latest_start, true },
};

static const Behaviour steady = { .name = "steady" };

typedef struct
{
  const char *name;
  PhTime deadline_min;
  PhTime deadline_max;
} DeadlineCase;

static const DeadlineCase deadline_cases[] = {
  { "20 to 200 ms", 20 * PH_MS, 200 * PH_MS },
  { "20 to 50 ms", 20 * PH_MS, 50 * PH_MS },
  { "all 40 ms", 40 * PH_MS, 40 * PH_MS },
  { "all 10 s", 10 * PH_SECOND, 10 * PH_SECOND },
};

static const double loads[] = { 0.5, 1, 2, 4 };

static bool
bench_queue (void)
{
  bool is_met = true;

  puts ("Queue: goodput as a share of the capacity, p99 in ms of the calls that succeeded");
  printf ("%-31s %-13s", "order", "deadlines");
  for (size_t i = 0; i < COUNT (loads); i++)
    printf ("  load %.1f     ", loads[i]);
  puts ("");
  for (size_t d = 0; d < COUNT (deadline_cases); d++)
    for (size_t q = 0; q < COUNT (queue_cases); q++)
      {
        const QueueCase *order = &queue_cases[q];

        printf ("%-31s %-13s", order->name, deadline_cases[d].name);
        for (size_t i = 0; i < COUNT (loads); i++)
          {
            Scenario scenario = { loads[i],
                                  deadline_cases[d].deadline_min,
                                  deadline_cases[d].deadline_max,
                                  30 * PH_SECOND,
                                  PH_UPSTREAM_READY,
                                  0,
                                  false };
            Model model;

            start_model (&model, &steady, &scenario);
            model.world->admission.policy
                = (PhAdmissionPolicy){ .adapt_limit = ph_limit_fixed,
                                       .queue_order = order->order,
                                       .drops_early = order->drops_early };
            model.world->admission.cold_start.is_cold = false;
            run_model (&model);
            printf ("  %.3f %6.1f", goodput (&model), percentile_ms (&model, 0.99));
            if (order->drops_early && loads[i] >= 2 && goodput (&model) < GOODPUT_GOAL)
              is_met = false;
            end_model (&model);
          }
        puts ("");
      }
  return is_met;
}

static double
slow_drift (const Model *model, PhTime now)
{
  (void)model;
  return 1 + 2 * (double)(now - PH_SECOND) / (30 * PH_SECOND);
}

static double
slow_neighbour (const Model *model, PhTime now)
{
  (void)model;
  return now % (5 * PH_SECOND) < 2 * PH_SECOND ? 4 : 1;
}

static double
cores_three (const Model *model, PhTime now)
{
  (void)model;
  (void)now;
  return 3;
}

static double
cores_shared (const Model *model, PhTime now)
{
  (void)model;
  return now % (5 * PH_SECOND) < 2 * PH_SECOND ? 3 : SLOTS;
}

/* Fails every call for two seconds of each ten. */
static double
capacity_outage (const Model *model, PhTime now)
{
  (void)model;
  return now % (10 * PH_SECOND) < 2 * PH_SECOND ? 0 : SLOTS;
}

static double
capacity_dip (const Model *model, PhTime now)
{
  (void)model;
  return now % (10 * PH_SECOND) < 2 * PH_SECOND ? 2 : SLOTS;
}

static double
capacity_five (const Model *model, PhTime now)
{
  (void)model;
  (void)now;
  return 5;
}

static const Behaviour limit_behaviours[] = {
  { .name = "steady" },
  { .name = "latency drifts to 3 times", .slowness = slow_drift },
  { .name = "1 call in 10 takes 20 times", .slow_share = 0.1 },
  { .name = "noisy neighbour, 4 times slower", .slowness = slow_neighbour },
  { .name = "3 cores under 9 slots", .cores = cores_three, .contention = 1 },
  { .name = "neighbour takes 6 of 9 cores", .cores = cores_shared, .contention = 2 },
  { .name = "fails fast 2 s in 10", .capacity = capacity_outage, .overload = PH_OUTCOME_ERROR },
  { .name = "sheds above 2, 2 s in 10", .capacity = capacity_dip, .overload = PH_OUTCOME_SHED },
  { .name = "sheds above 5", .capacity = capacity_five, .overload = PH_OUTCOME_SHED },
};

typedef struct
{
  const char *name;
  PhLimitFunc adapt;
} LimitCase;

static const LimitCase limit_cases[] = {
  { "slots only", ph_limit_fixed },
  { "AIMD on least latency", ph_limit_aimd },
  { "Vegas", ph_limit_vegas },
  { "gradient", ph_limit_gradient },
};

static bool
bench_limit (void)
{
  static const double limit_loads[] = { 0.3, 0.7, 1.5 };
  double slots_only[COUNT (limit_loads)] = { 0 };
  bool is_met = true;

  puts ("\nLimit: goodput as a share of the nominal capacity, p99 in ms, calls failed in 1,000");
  printf ("%-32s %-22s", "upstream", "policy");
  for (size_t i = 0; i < COUNT (limit_loads); i++)
    printf ("  load %.1f             ", limit_loads[i]);
  puts ("");
  for (size_t b = 0; b < COUNT (limit_behaviours); b++)
    for (size_t l = 0; l < COUNT (limit_cases); l++)
      {
        printf ("%-32s %-22s", limit_behaviours[b].name, limit_cases[l].name);
        for (size_t i = 0; i < COUNT (limit_loads); i++)
          {
            Scenario scenario = { limit_loads[i],    50 * PH_MS, 500 * PH_MS, 30 * PH_SECOND,
                                  PH_UPSTREAM_READY, 0,          false };
            Model model;

            start_model (&model, &limit_behaviours[b], &scenario);
            model.world->admission.policy.adapt_limit = limit_cases[l].adapt;
            model.world->admission.cold_start.is_cold = false;
            run_model (&model);
            printf ("  %.3f %6.1f %6.1f", goodput (&model), percentile_ms (&model, 0.99),
                    1000.0 * model.failed / model.opened);
            if (limit_cases[l].adapt == ph_limit_fixed)
              slots_only[i] = goodput (&model);
            if (limit_cases[l].adapt == ph_limit_gradient
                && (goodput (&model) < LIMIT_GOAL * slots_only[i]
                    || model.failed > FAILED_GOAL * model.opened))
              is_met = false;
            end_model (&model);
          }
        puts ("");
      }
  return is_met;
}

/* Time at which the upstream of a scenario turns cold without warning. */
#define COLD_AGAIN (PH_SECOND + 20 * PH_SECOND)

static double
warm_share (const Model *model, PhTime since)
{
  double share = (double)since / (model->scenario->warm_up_s * PH_SECOND);

  return share < 1 ? share : 1;
}

static double
capacity_warming (const Model *model, PhTime now)
{
  return 1 + (SLOTS - 1) * warm_share (model, now - PH_SECOND);
}

static double
capacity_cold_again (const Model *model, PhTime now)
{
  return now < COLD_AGAIN ? SLOTS : 1 + (SLOTS - 1) * warm_share (model, now - COLD_AGAIN);
}

/* A cold upstream takes up to three times as long. */
static double
slow_warming (const Model *model, PhTime now)
{
  return 3 - 2 * warm_share (model, now - PH_SECOND);
}

typedef struct
{
  const char *name;
  Behaviour behaviour;
  PhUpstreamState announced;
  PhTime cold_at;
  bool has_ramp;     /* false: all slots at once, for comparison */
  uint32_t over_max; /* goal: calls over the capacity at one time */
  double failed_max; /* goal: share of calls that failed */
} ColdCase;

static const ColdCase cold_cases[] = {
  { "no cold start handling",
    { .capacity = capacity_warming, .overload = PH_OUTCOME_ERROR },
    PH_UPSTREAM_READY,
    PH_SECOND,
    false,
    SLOTS,
    1 },
  { "announced cold",
    { .capacity = capacity_warming, .overload = PH_OUTCOME_ERROR },
    PH_UPSTREAM_COLD,
    PH_SECOND,
    true,
    0,
    0 },
  { "announced cold, slower too",
    { .capacity = capacity_warming, .slowness = slow_warming, .overload = PH_OUTCOME_ERROR },
    PH_UPSTREAM_COLD,
    PH_SECOND,
    true,
    0,
    0 },
  { "new, says ready, fails",
    { .capacity = capacity_warming, .overload = PH_OUTCOME_ERROR },
    PH_UPSTREAM_READY,
    PH_SECOND,
    true,
    1,
    0.01 },
  { "new, says ready, sheds",
    { .capacity = capacity_warming, .overload = PH_OUTCOME_SHED },
    PH_UPSTREAM_READY,
    PH_SECOND,
    true,
    1,
    0.01 },
  { "cold again, no warning, fails",
    { .capacity = capacity_cold_again, .overload = PH_OUTCOME_ERROR },
    PH_UPSTREAM_READY,
    COLD_AGAIN,
    true,
    SLOTS - 1, /* the calls in flight at that moment */
    0.01 },
  { "cold again, no warning, sheds",
    { .capacity = capacity_cold_again, .overload = PH_OUTCOME_SHED },
    PH_UPSTREAM_READY,
    COLD_AGAIN,
    true,
    SLOTS - 1,
    0.01 },
};

static const double warm_ups[] = { 1, 3, 10 };
static const double cold_loads[] = { 0.5, 1.2 };

static bool
bench_cold (void)
{
  bool is_met = true;

  puts ("\nCold start: calls failed, most over the capacity at one time, time to full load as a\n"
        "multiple of the upstream's own warm-up time (1, 3 and 10 s)");
  printf ("%-31s %4s", "upstream", "load");
  for (size_t i = 0; i < COUNT (warm_ups); i++)
    printf ("   warm-up %4.0f s       ", warm_ups[i]);
  puts ("");
  for (size_t c = 0; c < COUNT (cold_cases); c++)
    for (size_t l = 0; l < COUNT (cold_loads); l++)
      {
        printf ("%-31s %4.1f", cold_cases[c].name, cold_loads[l]);
        for (size_t i = 0; i < COUNT (warm_ups); i++)
          {
            Scenario scenario = { cold_loads[l],           50 * PH_MS,  500 * PH_MS, 50 * PH_SECOND,
                                  cold_cases[c].announced, warm_ups[i], false };
            Model model;

            start_model (&model, &cold_cases[c].behaviour, &scenario);
            model.world->admission.cold_start.is_cold = cold_cases[c].has_ramp;
            run_model (&model);
            printf ("  %5u %2u over %5.2f x ", model.failed, model.excess,
                    (double)(model.full_at - cold_cases[c].cold_at) / PH_SECOND / warm_ups[i]);
            if (model.excess > cold_cases[c].over_max
                || model.failed > cold_cases[c].failed_max * model.opened)
              is_met = false;
            end_model (&model);
          }
        puts ("");
      }
  return is_met;
}

#define UPSTREAMS 6
#define PROBE_RUNS 40

static void
add_member (Model *model, int number)
{
  PhMember *member;

  ph_member_add (&model->world->members, &member);
  snprintf (member->record.name, sizeof member->record.name, "vm-%d", number);
  member->record.has_upstream = true;
  ph_text_copy (member->record.service, sizeof member->record.service, BED_SERVICE);
}

static void
bench_probe (void)
{
  static const uint32_t budgets[] = { 6, 12, 30, 60, 120, 360 };

  printf ("\nProbes: an idle upstream, one of %d, fails without a sign (%d runs)\n", UPSTREAMS,
          PROBE_RUNS);
  puts (
      "budget a minute  probes a minute  upstream time  first failed probe, s  refused as down, s\n"
      "                 and upstream                      mean     most          mean     most");
  for (size_t b = 0; b < COUNT (budgets); b++)
    {
      double suspected_sum = 0;
      double suspected_max = 0;
      double down_sum = 0;
      double down_max = 0;
      double rate = 0;

      for (int run = 0; run < PROBE_RUNS; run++)
        {
          Scenario scenario
              = { 1, 0, 0, 660 * PH_SECOND + run * 1370 * PH_MS, PH_UPSTREAM_READY, 0, true };
          Model model;
          PhTime failed_at;
          double suspected;
          double down;

          start_model (&model, &steady, &scenario);
          for (int i = 1; i < UPSTREAMS; i++)
            add_member (&model, i);
          model.world->admission.cold_start.is_cold = false;
          bed_service (model.world)->rules.probes_per_minute = budgets[b];
          run_model (&model);
          failed_at = model.ctx.now;
          rate += model.probes * 60.0 / ((double)(scenario.length - PH_PROBE_WINDOW) / PH_SECOND)
                  / PROBE_RUNS;
          model.probe_works = false;
          scenario.length = 300 * PH_SECOND;
          run_model (&model);
          suspected = (double)(model.suspected_at - failed_at) / PH_SECOND;
          down = (double)(model.down_at - failed_at) / PH_SECOND;
          suspected_sum += suspected;
          down_sum += down;
          suspected_max = fmax (suspected_max, suspected);
          down_max = fmax (down_max, down);
          end_model (&model);
        }
      printf ("%15u  %15.2f  %12.3f%%  %14.1f %8.1f  %12.1f %8.1f\n", budgets[b], rate,
              rate * PROBE_COST / (60.0 * PH_SECOND) * 100, suspected_sum / PROBE_RUNS,
              suspected_max, down_sum / PROBE_RUNS, down_max);
    }
}

/* Processor time of a call in the core and the model, at twice the capacity. */
static void
bench_cost (void)
{
  Scenario scenario = { 2, 20 * PH_MS, 200 * PH_MS, 300 * PH_SECOND, PH_UPSTREAM_READY, 0, false };
  struct timespec start;
  struct timespec end;
  Model model;

  start_model (&model, &steady, &scenario);
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &start);
  run_model (&model);
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &end);
  printf ("\nCost: %.2f us a call over %u calls, of which %u were refused\n",
          ((double)(end.tv_sec - start.tv_sec) * 1e9 + (double)(end.tv_nsec - start.tv_nsec)) / 1000
              / model.opened,
          model.opened, model.refused);
  end_model (&model);
}

int
main (void)
{
  bool is_met = bench_queue ();

  is_met = bench_limit () && is_met;
  is_met = bench_cold () && is_met;
  bench_probe ();
  bench_cost ();
  puts (is_met ? "all goals met" : "a goal was missed");
  return is_met ? 0 : 1;
}
