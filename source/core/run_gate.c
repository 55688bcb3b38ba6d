#include "pollenhitch/run_gate.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "pollenhitch/trace.h"
#include "pollenhitch/world.h"

/* Share of failed runs above which a run is not started: each failed run costs a slot, its deeper
 * calls and perhaps a retry token; below it, callers gain more from the runs that succeed. */
#define FAILED_SHARE 0.9
#define SUCCESS_SCORE (FAILED_SHARE / (1 - FAILED_SHARE))

/* Factor by which counted runs and windows count less with each further one: 500 and 100 of them
 * have an effect. */
#define RUN_FADE 0.998
#define WINDOW_FADE 0.99

/* Runs that would have been seen to make no deeper call, after which the share of those that make
 * them is known. Of 60 such runs 18 make none if the share is 0.7; with 6 or less it would be taken
 * for 0.9, in 1 of 1,000 cases. */
#define INFORMATIVE_RUNS_MIN 60

/* Runs of a route that are started within this time of each other do not count: those of one caller
 * come together, and the calls of one would be taken for calls of the others. */
#define RUN_SPACING (20 * PH_MS)

/* A window begins this time after the start of a run and up to the second one later, so that calls
 * of this run do not fall into it. */
#define WINDOW_DELAY (200 * PH_MS)
#define WINDOW_DELAY_SPREAD (300 * PH_MS)

/* Deeper calls after which the runs of a route are known to call a service. A run that the node has
 * cancelled may still make a call while a run of another route is alone. */
#define LINK_CALLS_MIN 3

/* Evidence of one deeper call, as the logarithm of the ratio of its probabilities when 98 of 100
 * calls are refused and when 60 are, and the sum of these at which nearly all are refused. At 55 of
 * 100, 25 calls in a row are refused in 3 of 10 million cases. */
#define REFUSED_SCORE 0.49
#define RESPONDED_SCORE 3.0
#define REFUSAL_SCORE_CLOSED 12.0
#define REFUSAL_SCORE_MAX 14.0

/* A service without any upstream that can be chosen refuses all calls. Two of its refusals are
 * enough, one is not. */
#define NO_UPSTREAM_SCORE (REFUSAL_SCORE_CLOSED / 2)

/* Failed runs after which a gate closes if nearly all runs are known to make deeper calls, the
 * factor by which this grows when a probe run shows that runs succeed in spite of refused calls,
 * and its upper bound, which also applies while the share of runs with deeper calls is not known.
 * If 0.7 of the runs make deeper calls, 32 of them in a row fail in 1 of 100,000 cases. */
#define FAILURES_MIN 2
#define FAILURES_FACTOR 4
#define FAILURES_MAX 32

/* Evidence is dropped when nothing was added for this time. A route with fewer runs needs no gate:
 * probe runs are more frequent. */
#define EVIDENCE_AGE_MAX (5 * PH_SECOND)

/* A run that fails later after the refusal of its deeper call failed for another reason. A run of
 * 160 ms takes 640 ms on a VM that is four times slower. */
#define REFUSAL_AGE_MAX PH_SECOND

/* Time between the starts of probe runs of a node, so that there are at most two a second. */
#define PROBE_INTERVAL (500 * PH_MS)

static bool
is_active (const PhWorld *world)
{
  return world->run_gates.is_enabled && world->chain.is_enabled;
}

static void
remove_gates (PhWorld *world)
{
  PhRunGates *gates = &world->run_gates;
  PhRunGateId id = ph_run_gate_next (&gates->rows, (PhRunGateId){ 0 });

  while (id.v != 0)
    {
      PhRunGateId next = ph_run_gate_next (&gates->rows, id);

      ph_run_gate_remove (&gates->rows, id);
      id = next;
    }
}

void
ph_run_gate_set_enabled (PhWorld *world, bool is_enabled)
{
  if (!is_enabled)
    {
      remove_gates (world);
      world->run_gates.called_at = 0;
    }
  world->run_gates.is_enabled = is_enabled;
}

uint64_t
ph_run_gate_route_key (const PhWorld *world, const char *host, const char *method, const char *path)
{
  const PhRoute *route = world->has_routes && host != NULL
                             ? ph_route_get (&world->routes, ph_route_find (world, host, path))
                             : NULL;
  size_t length = path[0] == '/' ? 1 + strcspn (path + 1, "/?") : strcspn (path, "/?");

  if (route != NULL)
    return route->key_hash;
  return ph_hash_mix (ph_hash (method), ph_hash_bytes (path, length));
}

/* Forgets the runs of a process that was replaced, and what was learned from them. */
static void
follow_generation (PhWorld *world)
{
  if (world->run_gates.upstream_generation == world->admission.upstream_generation)
    return;
  world->run_gates.upstream_generation = world->admission.upstream_generation;
  remove_gates (world);
}

static PhRunGateId
find_gate (const PhWorld *world, uint64_t route_key)
{
  const PhTable *rows = &world->run_gates.rows;
  PhRunGateId id = { 0 };

  while ((id = ph_run_gate_next (rows, id)).v != 0)
    if (ph_run_gate_get (rows, id)->route_key == route_key)
      break;
  return id;
}

/* Makes room for a gate: removes the open one without runs in flight that was used least recently.
 */
static void
remove_oldest_gate (PhWorld *world)
{
  PhTable *rows = &world->run_gates.rows;
  PhRunGateId id = { 0 };
  PhRunGateId oldest = { 0 };

  while ((id = ph_run_gate_next (rows, id)).v != 0)
    {
      const PhRunGate *gate = ph_run_gate_get (rows, id);

      if (gate->in_flight == 0 && !gate->is_closed
          && (oldest.v == 0 || gate->used_at < ph_run_gate_get (rows, oldest)->used_at))
        oldest = id;
    }
  if (oldest.v != 0)
    ph_run_gate_remove (rows, oldest);
}

/* Finds or adds a gate. Returns 0 when the table is full; the run is not counted then. */
static PhRunGateId
intern_gate (PhWorld *world, uint64_t route_key)
{
  PhTable *rows = &world->run_gates.rows;
  PhRunGateId id = find_gate (world, route_key);
  PhRunGate *gate;

  if (id.v != 0)
    return id;
  if (rows->count == PH_RUN_GATES_MAX)
    remove_oldest_gate (world);
  id = ph_run_gate_add (rows, &gate);
  if (id.v != 0)
    {
      gate->route_key = route_key;
      gate->failures_needed = FAILURES_MIN;
    }
  return id;
}

static bool
is_link_known (const PhRunLink *link)
{
  return link->call_count >= LINK_CALLS_MIN;
}

/* Whether calls to a service are refused nearly always now. */
static bool
is_link_refused (const PhContext *ctx, const PhRunLink *link)
{
  return is_link_known (link) && link->refusal_score >= REFUSAL_SCORE_CLOSED
         && ctx->now - link->score_changed_at <= EVIDENCE_AGE_MAX;
}

/* The service whose refusals make the runs of a route fail, or NULL. */
static const PhRunLink *
refused_link (const PhContext *ctx, const PhRunGate *gate)
{
  for (int i = 0; i < PH_RUN_LINKS_MAX; i++)
    if (is_link_refused (ctx, &gate->links[i]))
      return &gate->links[i];
  return NULL;
}

/* Number of runs that would have been seen to make no deeper call. */
static double
informative_runs (const PhRunGate *gate)
{
  return gate->window_count > 0 ? gate->run_count * gate->quiet_window_count / gate->window_count
                                : 0;
}

/* Number of failed runs in a row after which the gate closes, or infinity. */
static double
failures_needed (const PhRunGate *gate)
{
  double informative = informative_runs (gate);

  if (informative < INFORMATIVE_RUNS_MIN)
    return FAILURES_MAX;
  return gate->quiet_run_count <= (1 - FAILED_SHARE) * informative ? gate->failures_needed
                                                                   : INFINITY;
}

static void
log_change (PhContext *ctx, const PhWorld *world, const PhRunGate *gate, const PhRunLink *link)
{
  const PhService *service = link != NULL ? ph_service_get (&world->services, link->service) : NULL;

  ph_log (ctx, PH_LOG_INFO, PH_STEP_ADMIT, NULL,
          "run gate %s: route %016" PRIx64 ", service called %s, evidence: refused calls %.1f, "
          "failed runs %.0f, runs without calls %.1f of %.0f",
          gate->is_closed ? "closed" : "open", gate->route_key,
          service != NULL ? service->name : "", link != NULL ? link->refusal_score : 0,
          gate->failure_score, gate->quiet_run_count, informative_runs (gate));
}

static void
close_gate (PhContext *ctx, PhWorld *world, PhRunGate *gate)
{
  gate->is_closed = true;
  gate->probed_at = ctx->now;
  ph_count (ctx, PH_COUNT_RUN_GATE_CLOSINGS, 1);
  log_change (ctx, world, gate, refused_link (ctx, gate));
}

static void
open_gate (PhContext *ctx, const PhWorld *world, PhRunGate *gate)
{
  gate->is_closed = false;
  gate->failure_score = 0;
  log_change (ctx, world, gate, refused_link (ctx, gate));
}

/* Whether another closed gate, whose last probe run was earlier, has calls for one. Otherwise the
 * route with the most calls would make all probe runs. */
static bool
is_other_probe_due (const PhContext *ctx, const PhWorld *world, const PhRunGate *gate)
{
  const PhTable *rows = &world->run_gates.rows;
  PhRunGateId id = { 0 };

  while ((id = ph_run_gate_next (rows, id)).v != 0)
    {
      const PhRunGate *other = ph_run_gate_get (rows, id);

      if (other->is_closed && other->probed_at < gate->probed_at && other->refused_at != 0
          && ctx->now - other->refused_at < PROBE_INTERVAL)
        return true;
    }
  return false;
}

static bool
is_probe_due (const PhContext *ctx, const PhWorld *world, const PhRunGate *gate)
{
  const PhRunGates *gates = &world->run_gates;

  return ph_attempt_get (&world->attempts, gates->probe_run) == NULL
         && ctx->now - gates->probe_started_at >= PROBE_INTERVAL
         && ctx->now - gate->probed_at >= PROBE_INTERVAL && !is_other_probe_due (ctx, world, gate);
}

PhReason
ph_run_gate_check (PhContext *ctx, PhWorld *world, const PhCall *call)
{
  PhRunGate *gate;

  if (!is_active (world))
    return PH_REASON_NONE;
  follow_generation (world);
  gate = ph_run_gate_get (&world->run_gates.rows, find_gate (world, call->route_key));
  if (gate == NULL || !gate->is_closed || is_probe_due (ctx, world, gate))
    return PH_REASON_NONE;
  gate->refused_at = ctx->now;
  ph_count (ctx, PH_COUNT_RUNS_NOT_STARTED, 1);
  return PH_REASON_DEPENDENCY;
}

/* Counts the window that has ended, and begins the next one. */
static void
advance_window (PhContext *ctx, PhRunGate *gate)
{
  if (gate->run_time == 0 || (gate->window_begins_at != 0 && ctx->now <= gate->window_ends_at))
    return;
  if (gate->window_begins_at != 0)
    {
      gate->window_count = gate->window_count * WINDOW_FADE + 1;
      gate->quiet_window_count = gate->quiet_window_count * WINDOW_FADE + !gate->has_window_call;
    }
  gate->window_begins_at
      = ctx->now + WINDOW_DELAY + ph_random_below (&ctx->random, WINDOW_DELAY_SPREAD);
  gate->window_ends_at = gate->window_begins_at + gate->run_time;
  gate->has_window_call = false;
}

/* Notes the start of a run. */
static void
count_start (PhContext *ctx, PhWorld *world, PhRunGate *gate, PhAttemptId id)
{
  PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  PhAttempt *last = ph_attempt_get (&world->attempts, gate->last_run);

  attempt->is_spaced = gate->used_at == 0 || ctx->now - gate->used_at >= RUN_SPACING;
  if (last != NULL && !attempt->is_spaced)
    last->is_spaced = false;
  gate->in_flight++;
  gate->used_at = ctx->now;
  gate->last_run = id;
  if (world->run_gates.called_at != 0)
    advance_window (ctx, gate);
}

void
ph_run_gate_started (PhContext *ctx, PhWorld *world, PhAttemptId id)
{
  PhRunGates *gates = &world->run_gates;
  PhAttempt *attempt = ph_attempt_get (&world->attempts, id);
  PhRunGate *gate;

  if (!is_active (world))
    return;
  follow_generation (world);

  attempt->run_gate = intern_gate (world, ph_call_get (&world->calls, attempt->call)->route_key);
  gate = ph_run_gate_get (&gates->rows, attempt->run_gate);
  if (gate == NULL)
    return;
  count_start (ctx, world, gate, id);
  if (!gate->is_closed)
    return;
  gate->probed_at = ctx->now;
  gates->probe_run = id;
  gates->probe_started_at = ctx->now;
  ph_count (ctx, PH_COUNT_RUN_GATE_PROBES, 1);
}

/* Assigns a refused call to a run of the route that has failed: the earliest one that the run can
 * have made, since runs that began earlier mostly call earlier. Returns false if there is none. */
static bool
take_refusal (const PhContext *ctx, PhRunGate *gate, const PhAttempt *run)
{
  PhRunRefusal *earliest = NULL;

  for (int i = 0; i < PH_RUN_REFUSALS_MAX; i++)
    {
      PhRunRefusal *refusal = &gate->refusals[i];

      if (refusal->refused_at != 0 && refusal->opened_at >= run->started_at
          && ctx->now - refusal->refused_at <= REFUSAL_AGE_MAX
          && (earliest == NULL || refusal->opened_at < earliest->opened_at))
        earliest = refusal;
    }
  if (earliest == NULL)
    return false;
  earliest->refused_at = 0;
  return true;
}

static void
add_refusal (const PhContext *ctx, PhRunGate *gate, const PhCall *call)
{
  PhRunRefusal *oldest = &gate->refusals[0];

  for (int i = 1; i < PH_RUN_REFUSALS_MAX; i++)
    if (gate->refusals[i].refused_at < oldest->refused_at)
      oldest = &gate->refusals[i];
  *oldest = (PhRunRefusal){ .opened_at = call->opened_at, .refused_at = ctx->now };
}

/* Counts a run, and whether a deeper call arrived in its time. */
static void
count_run (const PhContext *ctx, const PhRunGates *gates, PhRunGate *gate, const PhAttempt *run)
{
  gate->run_time = ctx->now - run->started_at;
  if (!run->is_spaced || gates->called_at == 0)
    return;
  gate->run_count = gate->run_count * RUN_FADE + 1;
  gate->quiet_run_count
      = gate->quiet_run_count * RUN_FADE + (gates->called_at < run->started_at ? 1 : 0);
}

static void
record_run (PhContext *ctx, PhRunGate *gate, bool is_refused)
{
  if (ctx->now - gate->score_changed_at > EVIDENCE_AGE_MAX)
    gate->failure_score = 0;
  gate->failure_score
      = is_refused ? gate->failure_score + 1 : fmax (gate->failure_score - SUCCESS_SCORE, 0);
  gate->score_changed_at = ctx->now;
}

/* Records a probe run of a closed gate. One that did not fail for a refused call opens the gate. */
static void
record_probe_run (PhContext *ctx, PhWorld *world, PhRunGate *gate, bool is_refused)
{
  if (is_refused)
    return;
  /* Runs succeed although calls are refused nearly always: the route does not need them. */
  if (refused_link (ctx, gate) != NULL)
    gate->failures_needed = fmin (gate->failures_needed * FAILURES_FACTOR, FAILURES_MAX);
  open_gate (ctx, world, gate);
}

void
ph_run_gate_ended (PhContext *ctx, PhWorld *world, PhAttemptId id, PhOutcome outcome)
{
  PhRunGates *gates = &world->run_gates;
  const PhAttempt *run = ph_attempt_get (&world->attempts, id);
  PhRunGate *gate = ph_run_gate_get (&gates->rows, run->run_gate);
  const PhCall *call = ph_call_get (&world->calls, run->call);

  /* A run without a response by its deadline may have waited for a call that was refused. */
  bool is_late
      = outcome == PH_OUTCOME_UNKNOWN && run->responded_at == 0 && ctx->now >= call->deadline;
  bool is_error = outcome == PH_OUTCOME_ERROR || run->is_error || run->is_dependency_error;
  bool is_refused;

  if (gate == NULL)
    return;
  gate->in_flight--;
  if (outcome != PH_OUTCOME_OK && !is_error && !is_late)
    return;
  count_run (ctx, gates, gate, run);
  is_refused = (is_error || is_late) && take_refusal (ctx, gate, run);
  record_run (ctx, gate, is_refused);
  if (gate->is_closed && gates->probe_run.v == id.v)
    record_probe_run (ctx, world, gate, is_refused);
  else if (!gate->is_closed && gate->failure_score >= failures_needed (gate)
           && refused_link (ctx, gate) != NULL)
    close_gate (ctx, world, gate);
}

static bool
is_deeper_call (const PhWorld *world, const PhCall *call)
{
  return is_active (world) && call->depth > 0 && call->origin == PH_ORIGIN_CALLER;
}

/* Counts a call that is certainly of a route; replaces the link that was used least recently. */
static void
count_link_call (const PhContext *ctx, PhRunGate *gate, PhServiceId service)
{
  PhRunLink *link = &gate->links[0];

  for (int i = 0; i < PH_RUN_LINKS_MAX; i++)
    {
      if (gate->links[i].service.v == service.v)
        {
          link = &gate->links[i];
          break;
        }
      if (gate->links[i].called_at < link->called_at)
        link = &gate->links[i];
    }
  if (link->service.v != service.v)
    *link = (PhRunLink){ .service = service };
  link->call_count += link->call_count < UINT32_MAX;
  link->called_at = ctx->now;
}

void
ph_run_gate_call_opened (PhContext *ctx, PhWorld *world, const PhCall *call)
{
  PhRunGates *gates = &world->run_gates;
  uint32_t in_flight = ph_admission_calls_in_flight (world);
  PhRunGateId id = { 0 };

  if (!is_deeper_call (world, call))
    return;
  follow_generation (world);
  gates->called_at = ctx->now;
  while ((id = ph_run_gate_next (&gates->rows, id)).v != 0)
    {
      PhRunGate *gate = ph_run_gate_get (&gates->rows, id);

      if (gate->window_begins_at <= ctx->now && ctx->now <= gate->window_ends_at)
        gate->has_window_call = true;
      /* Only runs of this route are in flight. */
      if (in_flight > 0 && gate->in_flight == in_flight)
        count_link_call (ctx, gate, call->service);
    }
}

static void
score_call (PhContext *ctx, PhRunLink *link, PhReason reason)
{
  double score = reason == PH_REASON_NONE          ? -RESPONDED_SCORE
                 : reason == PH_REASON_NO_UPSTREAM ? NO_UPSTREAM_SCORE
                                                   : REFUSED_SCORE;

  if (ctx->now - link->score_changed_at > EVIDENCE_AGE_MAX)
    link->refusal_score = 0;
  link->refusal_score = fmin (fmax (link->refusal_score + score, 0), REFUSAL_SCORE_MAX);
  link->score_changed_at = ctx->now;
}

void
ph_run_gate_call_ended (PhContext *ctx, PhWorld *world, const PhCall *call, PhReason reason)
{
  PhRunGates *gates = &world->run_gates;
  PhRunGateId id = { 0 };

  if (!is_deeper_call (world, call))
    return;
  follow_generation (world);
  while ((id = ph_run_gate_next (&gates->rows, id)).v != 0)
    {
      PhRunGate *gate = ph_run_gate_get (&gates->rows, id);
      PhRunLink *link = NULL;

      for (int i = 0; i < PH_RUN_LINKS_MAX && link == NULL; i++)
        if (gate->links[i].service.v == call->service.v && is_link_known (&gate->links[i]))
          link = &gate->links[i];
      if (link == NULL)
        continue;
      score_call (ctx, link, reason);
      if (reason != PH_REASON_NONE && gate->in_flight > 0)
        add_refusal (ctx, gate, call);
      if (gate->is_closed && refused_link (ctx, gate) == NULL)
        {
          gate->failures_needed = FAILURES_MIN;
          open_gate (ctx, world, gate);
        }
    }
}

uint32_t
ph_run_gate_closed_count (const PhWorld *world)
{
  const PhTable *rows = &world->run_gates.rows;
  PhRunGateId id = { 0 };
  uint32_t count = 0;

  while ((id = ph_run_gate_next (rows, id)).v != 0)
    count += ph_run_gate_get (rows, id)->is_closed;
  return count;
}
