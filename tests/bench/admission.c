/*
 * Simulates the admission of one upstream: the core of the product in simulated
 * time, with a model of the upstream and Poisson arrivals from other nodes. Prints
 * the comparisons of docs/decisions/admission.md, limit.md, cold-start.md and
 * probe-budget.md, and exits with status 1 when a goal is missed.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../bed.h"

#define COUNT(array) (sizeof (array) / sizeof *(array))
#define SLOTS 9
#define SERVICE_TIME (10 * PH_MS) /* mean */
#define GOODPUT_GOAL 0.9          /* of the capacity, under overload */

/* Goals of the adaptive limit: minimum goodput as a fraction of that with all slots, and maximum
 * fraction of failed calls. The second is the bound on the calls that a bad version gets in a move
 * (BAD_SHARE_MAX in tests/test_move.c): an upstream that fails fast may get no more. */
#define LIMIT_GOODPUT_GOAL 0.9
#define FAILED_FRACTION_GOAL 0.02

#define PROBE_TIME (6 * PH_MS)

/* Kinds of events in addition to the outcomes of calls. */
#define EVENT_PROBE_OK 100
#define EVENT_PROBE_FAILED 101

typedef struct Model Model;

/* Behaviour of the upstream: the service time of a call and whether the call is run at all. */
typedef struct
{
  const char *name;
  double (*slowdown) (const Model *model, PhTime now); /* multiplies the service time, or NULL */
  double (*capacity) (const Model *model, PhTime now); /* calls it can run, or NULL for all */
  PhOutcome overload_outcome;                          /* outcome of a call over the capacity */
  double slow_fraction;                                /* of the calls, 20 times as long */
  double (*cores) (const Model *model, PhTime now);    /* calls that run in parallel, or NULL */
  double contention_exponent; /* exponent of the slowdown while more calls than cores run */
} Behaviour;

/* Load on the upstream. Deadlines are distributed evenly between two bounds. */
typedef struct
{
  double load_factor; /* arrivals as a multiple of the capacity */
  PhTime deadline_min;
  PhTime deadline_max;
  PhTime duration;
  PhUpstreamState announced; /* during the warm-up; afterwards it is ready */
  double warm_up_s;          /* duration of the warm-up, for behaviours that have one */
  bool is_idle;              /* no calls at all */
} Scenario;

struct Model
{
  PhContext ctx;
  PhWorld *world;
  const Behaviour *behaviour;
  const Scenario *scenario;
  PhTimerHeap events; /* ends of calls (kind: PhOutcome) and of probes */
  uint32_t in_flight;
  uint32_t opened_calls;
  uint32_t completed_calls;
  uint32_t failed_calls;  /* calls over the capacity */
  uint32_t max_excess;    /* largest number of calls over the capacity at one time */
  uint32_t refused_calls; /* not run */
  uint32_t probes;
  PhTime full_limit_at; /* when the limit last reached all slots */
  bool is_probe_ok;     /* probes succeed */
  PhTime suspected_at;  /* time of the first failed probe */
  PhTime down_at;       /* since when calls are refused */
  double *latencies;    /* of the completed calls, µs */
};

static double
draw_exponential (Model *model, double mean)
{
  return -log (1 - ph_random_unit (&model->ctx.random)) * mean;
}

static PhTime
draw_service_time (Model *model)
{
  const Behaviour *behaviour = model->behaviour;
  double service_time = SERVICE_TIME;

  if (behaviour->slow_fraction > 0)
    service_time = ph_random_unit (&model->ctx.random) < behaviour->slow_fraction
                       ? 20 * SERVICE_TIME
                       : SERVICE_TIME;
  service_time = 0.5 * service_time + draw_exponential (model, 0.5 * service_time);
  if (behaviour->slowdown != NULL)
    service_time *= behaviour->slowdown (model, model->ctx.now);
  if (behaviour->cores != NULL && model->in_flight > behaviour->cores (model, model->ctx.now))
    service_time *= pow (model->in_flight / behaviour->cores (model, model->ctx.now),
                         behaviour->contention_exponent);
  return (PhTime)service_time;
}

static void
start_attempt (void *user, PhAttemptId id)
{
  Model *model = user;
  PhOutcome outcome = PH_OUTCOME_OK;
  PhTime service_time;

  model->in_flight++;
  service_time = draw_service_time (model);
  if (model->behaviour->capacity != NULL)
    {
      double excess = model->in_flight - floor (model->behaviour->capacity (model, model->ctx.now));

      if (excess > 0)
        {
          outcome = model->behaviour->overload_outcome;
          service_time = PH_MS;
          model->failed_calls++;
          if (excess > model->max_excess)
            model->max_excess = (uint32_t)excess;
        }
    }
  ph_timer_add (&model->events, model->ctx.now + service_time, outcome, id.v);
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
  model->refused_calls += refusal->run == PH_RUN_NO;
}

static void
send_probe (void *user, PhUpstreamId id)
{
  Model *model = user;

  model->probes++;
  if (model->is_probe_ok)
    ph_timer_add (&model->events, model->ctx.now + PROBE_TIME, EVENT_PROBE_OK, id.v);
  else
    ph_timer_add (&model->events, model->ctx.now + PH_SECOND, EVENT_PROBE_FAILED, id.v);
}

/* Reports the result of a probe to the core, and records suspicion and refusal. */
static void
end_probe (Model *model, PhUpstreamId id, bool is_ok)
{
  PhProbe *probe = &model->world->probe;

  ph_probe_result (&model->ctx, model->world, id, is_ok, is_ok ? PROBE_TIME : PH_SECOND);
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
    model->latencies[model->completed_calls++]
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

  model->opened_calls++;
  if (bed_call (&model->ctx, model->world, time_left).v == 0)
    model->refused_calls++;
}

/* Announces the state of the upstream, as it does each second. */
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
  model->is_probe_ok = true;
  model->latencies = calloc (4u << 20, sizeof *model->latencies);
  if (model->latencies == NULL)
    abort ();
  model->world = bed_world_new (&model->ctx, &effects, "kamloops", SLOTS);
  announce (model);
}

/* Runs the model for the duration of its scenario. */
static void
run_model (Model *model)
{
  const Scenario *scenario = model->scenario;
  PhTime end = model->ctx.now + scenario->duration;
  double mean_interval = SERVICE_TIME / (SLOTS * scenario->load_factor);
  PhTime next_arrival = scenario->is_idle ? PH_TIME_NEVER : model->ctx.now;
  PhTime next_announcement = model->ctx.now + PH_SECOND;
  PhTime next_tick = model->ctx.now;
  bool was_full = false;
  bool is_full;

  while (model->ctx.now < end)
    {
      PhTimer timer;

      model->ctx.now = next_tick < next_arrival ? next_tick : next_arrival;
      if (ph_timer_next (&model->events) < model->ctx.now)
        model->ctx.now = ph_timer_next (&model->events);
      if (next_announcement < model->ctx.now)
        model->ctx.now = next_announcement;
      if (next_announcement == model->ctx.now)
        {
          announce (model);
          next_announcement += PH_SECOND;
        }
      while (ph_timer_pop (&model->events, model->ctx.now, &timer))
        if (timer.kind >= EVENT_PROBE_OK)
          end_probe (model, (PhUpstreamId){ timer.handle }, timer.kind == EVENT_PROBE_OK);
        else
          end_attempt (model, (PhAttemptId){ timer.handle }, (PhOutcome)timer.kind);
      if (next_arrival == model->ctx.now)
        {
          open_call (model);
          next_arrival += 1 + (PhTime)draw_exponential (model, mean_interval);
        }
      next_tick = ph_world_tick (&model->ctx, model->world);
      is_full = ph_admission_limit (&model->ctx, model->world) == SLOTS;
      if (is_full && !was_full)
        model->full_limit_at = model->ctx.now;
      was_full = is_full;
    }
}

static void
end_model (Model *model)
{
  ph_world_drop (&model->ctx, model->world);
  ph_timer_clear (&model->events);
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
percentile_ms (Model *model, double fraction)
{
  if (model->completed_calls == 0)
    return 0;
  qsort (model->latencies, model->completed_calls, sizeof *model->latencies, compare_doubles);
  return model->latencies[(uint32_t)(fraction * (model->completed_calls - 1))] / PH_MS;
}

/* Returns the responses within the deadline as a fraction of the capacity of all slots. */
static double
goodput (const Model *model)
{
  return model->completed_calls * (double)SERVICE_TIME
         / ((double)model->scenario->duration * SLOTS);
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

/* Compares orders of the queue. Returns whether the goals are met, as bench_limit and
 * bench_cold do. */
static bool
bench_queue (void)
{
  bool goals_met = true;

  puts ("Queue: goodput as a share of the capacity, p99 in ms of the calls that succeeded");
  printf ("%-31s %-13s", "order", "deadlines");
  for (size_t i = 0; i < COUNT (loads); i++)
    printf ("  load %.1f     ", loads[i]);
  puts ("");
  for (size_t d = 0; d < COUNT (deadline_cases); d++)
    for (size_t q = 0; q < COUNT (queue_cases); q++)
      {
        const QueueCase *queue_case = &queue_cases[q];

        printf ("%-31s %-13s", queue_case->name, deadline_cases[d].name);
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
                                       .queue_order = queue_case->order,
                                       .drops_early = queue_case->drops_early };
            model.world->admission.cold_start.is_cold = false;
            run_model (&model);
            printf ("  %.3f %6.1f", goodput (&model), percentile_ms (&model, 0.99));
            if (queue_case->drops_early && loads[i] >= 2 && goodput (&model) < GOODPUT_GOAL)
              goals_met = false;
            end_model (&model);
          }
        puts ("");
      }
  return goals_met;
}

static double
slowdown_drift (const Model *model, PhTime now)
{
  (void)model;
  return 1 + 2 * (double)(now - PH_SECOND) / (30 * PH_SECOND);
}

static double
slowdown_neighbour (const Model *model, PhTime now)
{
  (void)model;
  return now % (5 * PH_SECOND) < 2 * PH_SECOND ? 4 : 1;
}

static double
three_cores (const Model *model, PhTime now)
{
  (void)model;
  (void)now;
  return 3;
}

static double
shared_cores (const Model *model, PhTime now)
{
  (void)model;
  return now % (5 * PH_SECOND) < 2 * PH_SECOND ? 3 : SLOTS;
}

/* No capacity for 2 s in every 10 s. */
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
  { .name = "latency drifts to 3 times", .slowdown = slowdown_drift },
  { .name = "1 call in 10 takes 20 times", .slow_fraction = 0.1 },
  { .name = "noisy neighbour, 4 times slower", .slowdown = slowdown_neighbour },
  { .name = "3 cores under 9 slots", .cores = three_cores, .contention_exponent = 1 },
  { .name = "neighbour takes 6 of 9 cores", .cores = shared_cores, .contention_exponent = 2 },
  { .name = "fails fast 2 s in 10",
    .capacity = capacity_outage,
    .overload_outcome = PH_OUTCOME_ERROR },
  { .name = "sheds above 2, 2 s in 10",
    .capacity = capacity_dip,
    .overload_outcome = PH_OUTCOME_SHED },
  { .name = "sheds above 5", .capacity = capacity_five, .overload_outcome = PH_OUTCOME_SHED },
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

/* Compares policies of the concurrency limit. */
static bool
bench_limit (void)
{
  static const double limit_loads[] = { 0.3, 0.7, 1.5 };
  double slots_only[COUNT (limit_loads)] = { 0 };
  bool goals_met = true;

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
                    1000.0 * model.failed_calls / model.opened_calls);
            if (limit_cases[l].adapt == ph_limit_fixed)
              slots_only[i] = goodput (&model);
            if (limit_cases[l].adapt == ph_limit_gradient
                && (goodput (&model) < LIMIT_GOODPUT_GOAL * slots_only[i]
                    || model.failed_calls > FAILED_FRACTION_GOAL * model.opened_calls))
              goals_met = false;
            end_model (&model);
          }
        puts ("");
      }
  return goals_met;
}

/* Time at which an upstream becomes cold again without an announcement. */
#define COLD_AGAIN_AT (PH_SECOND + 20 * PH_SECOND)

static double
warm_fraction (const Model *model, PhTime since)
{
  double fraction = (double)since / (model->scenario->warm_up_s * PH_SECOND);

  return fraction < 1 ? fraction : 1;
}

static double
capacity_warming (const Model *model, PhTime now)
{
  return 1 + (SLOTS - 1) * warm_fraction (model, now - PH_SECOND);
}

static double
capacity_cold_again (const Model *model, PhTime now)
{
  return now < COLD_AGAIN_AT ? SLOTS : 1 + (SLOTS - 1) * warm_fraction (model, now - COLD_AGAIN_AT);
}

/* A cold upstream takes up to three times as long for a call. */
static double
slowdown_warming (const Model *model, PhTime now)
{
  return 3 - 2 * warm_fraction (model, now - PH_SECOND);
}

typedef struct
{
  const char *name;
  Behaviour behaviour;
  PhUpstreamState announced;
  PhTime cold_since;          /* start of the warm-up */
  bool has_cold_start;        /* false: all slots from the start, for comparison */
  uint32_t excess_max;        /* goal: largest number of calls over the capacity at one time */
  double failed_fraction_max; /* goal: largest fraction of failed calls */
} ColdCase;

static const ColdCase cold_cases[] = {
  { "no cold start handling",
    { .capacity = capacity_warming, .overload_outcome = PH_OUTCOME_ERROR },
    PH_UPSTREAM_READY,
    PH_SECOND,
    false,
    SLOTS,
    1 },
  { "announced cold",
    { .capacity = capacity_warming, .overload_outcome = PH_OUTCOME_ERROR },
    PH_UPSTREAM_COLD,
    PH_SECOND,
    true,
    0,
    0 },
  { "announced cold, slower too",
    { .capacity = capacity_warming,
      .slowdown = slowdown_warming,
      .overload_outcome = PH_OUTCOME_ERROR },
    PH_UPSTREAM_COLD,
    PH_SECOND,
    true,
    0,
    0 },
  { "new, says ready, fails",
    { .capacity = capacity_warming, .overload_outcome = PH_OUTCOME_ERROR },
    PH_UPSTREAM_READY,
    PH_SECOND,
    true,
    1,
    0.01 },
  { "new, says ready, sheds",
    { .capacity = capacity_warming, .overload_outcome = PH_OUTCOME_SHED },
    PH_UPSTREAM_READY,
    PH_SECOND,
    true,
    1,
    0.01 },
  { "cold again, no warning, fails",
    { .capacity = capacity_cold_again, .overload_outcome = PH_OUTCOME_ERROR },
    PH_UPSTREAM_READY,
    COLD_AGAIN_AT,
    true,
    SLOTS - 1, /* calls that are in flight at that time */
    0.01 },
  { "cold again, no warning, sheds",
    { .capacity = capacity_cold_again, .overload_outcome = PH_OUTCOME_SHED },
    PH_UPSTREAM_READY,
    COLD_AGAIN_AT,
    true,
    SLOTS - 1,
    0.01 },
};

static const double warm_ups[] = { 1, 3, 10 };
static const double cold_loads[] = { 0.5, 1.2 };

/* Compares cold starts that are announced, detected or not handled. */
static bool
bench_cold (void)
{
  bool goals_met = true;

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
            model.world->admission.cold_start.is_cold = cold_cases[c].has_cold_start;
            run_model (&model);
            printf ("  %5u %2u over %5.2f x ", model.failed_calls, model.max_excess,
                    (double)(model.full_limit_at - cold_cases[c].cold_since) / PH_SECOND
                        / warm_ups[i]);
            if (model.max_excess > cold_cases[c].excess_max
                || model.failed_calls > cold_cases[c].failed_fraction_max * model.opened_calls)
              goals_met = false;
            end_model (&model);
          }
        puts ("");
      }
  return goals_met;
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

/* Measures the time until an upstream that fails while it is idle is suspected, and until calls to
 * it are refused, by probe budget. */
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
      double suspicion_sum = 0;
      double suspicion_max = 0;
      double refusal_sum = 0;
      double refusal_max = 0;
      double probe_rate = 0;

      for (int run = 0; run < PROBE_RUNS; run++)
        {
          /* In each run the upstream fails at another time between two probes. */
          Scenario scenario
              = { 1, 0, 0, 660 * PH_SECOND + run * 1370 * PH_MS, PH_UPSTREAM_READY, 0, true };
          Model model;
          PhTime failed_at;
          double time_to_suspicion;
          double time_to_refusal;

          start_model (&model, &steady, &scenario);
          for (int i = 1; i < UPSTREAMS; i++)
            add_member (&model, i);
          model.world->admission.cold_start.is_cold = false;
          bed_service (model.world)->rules.probes_per_minute = budgets[b];
          run_model (&model);
          failed_at = model.ctx.now;
          probe_rate += model.probes * 60.0
                        / ((double)(scenario.duration - PH_PROBE_WINDOW) / PH_SECOND) / PROBE_RUNS;
          model.is_probe_ok = false;
          scenario.duration = 300 * PH_SECOND;
          run_model (&model);
          time_to_suspicion = (double)(model.suspected_at - failed_at) / PH_SECOND;
          time_to_refusal = (double)(model.down_at - failed_at) / PH_SECOND;
          suspicion_sum += time_to_suspicion;
          refusal_sum += time_to_refusal;
          suspicion_max = fmax (suspicion_max, time_to_suspicion);
          refusal_max = fmax (refusal_max, time_to_refusal);
          end_model (&model);
        }
      printf ("%15u  %15.2f  %12.3f%%  %14.1f %8.1f  %12.1f %8.1f\n", budgets[b], probe_rate,
              probe_rate * PROBE_TIME / (60.0 * PH_SECOND) * 100, suspicion_sum / PROBE_RUNS,
              suspicion_max, refusal_sum / PROBE_RUNS, refusal_max);
    }
}

/* Measures the processor time of a call in the core and the model, at twice the capacity. */
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
              / model.opened_calls,
          model.opened_calls, model.refused_calls);
  end_model (&model);
}

int
main (void)
{
  bool goals_met = bench_queue ();

  goals_met = bench_limit () && goals_met;
  goals_met = bench_cold () && goals_met;
  bench_probe ();
  bench_cost ();
  puts (goals_met ? "all goals met" : "a goal was missed");
  return goals_met ? 0 : 1;
}
