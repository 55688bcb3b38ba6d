#ifndef PH_RUN_GATE_H
#define PH_RUN_GATE_H

#include "pollenhitch/call.h"
#include "pollenhitch/limit.h"

/*
 * Gates of the routes that the local upstream serves.
 *
 * A run is an attempt that the local upstream executes. While it is in flight it may make deeper
 * calls (chain.h) through this node. When nearly all runs of a route fail because their deeper
 * calls are refused, each further run costs a slot, its deeper calls and perhaps a retry token, and
 * its caller gets an error that it may not repeat. The gate of the route closes then: its calls are
 * refused before they start, as not run, except for single probe runs, which find out when to open
 * it again.
 *
 * A gate closes on three conditions, each learned from other events:
 * - nearly all runs of the route make deeper calls;
 * - the deeper calls to a service that runs of this route call are refused nearly always;
 * - the last runs of the route failed after one of these refusals.
 *
 * A deeper call does not say which run made it. The share of runs that make deeper calls is learned
 * from those in whose time none arrived: if a share s of the runs makes them, and none arrives in a
 * share q of windows of the same length that begin at random, none arrives in the time of (1 - s) q
 * of the runs.
 */

#define PH_RUN_GATES_MAX 64    /* routes of the local upstream */
#define PH_RUN_LINKS_MAX 4     /* services that the runs of one route call */
#define PH_RUN_REFUSALS_MAX 16 /* refusals that no failed run is assigned to yet */

/* Calls of the runs of a route to one service. */
typedef struct
{
  PhServiceId service;
  uint32_t call_count;  /* calls that are certainly of this route */
  PhTime called_at;     /* the last one of these */
  double refusal_score; /* evidence that calls to the service are refused nearly always */
  PhTime score_changed_at;
} PhRunLink;

/* A refused call that runs of the route may have made. */
typedef struct
{
  PhTime opened_at;
  PhTime refused_at; /* 0 for a free entry */
} PhRunRefusal;

typedef struct
{
  uint64_t route_key; /* see ph_run_gate_route_key */
  uint32_t in_flight; /* runs of the route */
  PhTime used_at;     /* start of the last run */
  PhAttemptId last_run;
  PhTime run_time; /* duration of the last run that has ended */
  /* Runs, and those in whose time no deeper call arrived; the same of windows. The counts fade with
   * each further run or window. */
  double run_count;
  double quiet_run_count;
  double window_count;
  double quiet_window_count;
  PhTime window_begins_at; /* current window; 0 for none */
  PhTime window_ends_at;
  bool has_window_call;
  PhRunLink links[PH_RUN_LINKS_MAX];
  PhRunRefusal refusals[PH_RUN_REFUSALS_MAX];
  /* Evidence that more than 9 of 10 runs fail after a refused call: 1 for each that did, -9 for
   * each other one, at least 0. */
  double failure_score;
  PhTime score_changed_at;
  double failures_needed; /* failure_score at which the gate closes */
  bool is_closed;
  PhTime probed_at;  /* start of the last probe run, or when the gate closed */
  PhTime refused_at; /* last call that the gate refused */
} PhRunGate;

PH_DECLARE_TABLE (PhRunGate, PhRunGateId, ph_run_gate)

typedef struct
{
  bool is_enabled; /* --run-gating; without ph_chain_set_enabled it has no effect */
  PhTable rows;
  uint32_t upstream_generation; /* of the process whose runs are counted */
  PhAttemptId probe_run;        /* the last one of all gates */
  PhTime probe_started_at;
  PhTime called_at; /* last deeper call; 0 before the first, when runs without calls say nothing */
} PhRunGates;

/* ph_run_gate_set_enabled: start or stop the gates. Stopping forgets what was learned. */
void ph_run_gate_set_enabled (PhWorld *world, bool is_enabled);

/* ph_run_gate_route_key: key of the route of a request: with a set of routes that of the route that
 * matches host and path, otherwise a hash of the method and the first segment of the path. host may
 * be NULL. */
uint64_t ph_run_gate_route_key (const PhWorld *world,
                                const char *host,
                                const char *method,
                                const char *path);

/* ph_run_gate_check: whether the local upstream may start a run of a call now. Returns
 * PH_REASON_NONE, or PH_REASON_DEPENDENCY if the call is to be refused. */
PhReason ph_run_gate_check (PhContext *ctx, PhWorld *world, const PhCall *call);

/* ph_run_gate_started: an attempt was started at the local upstream and is in flight. */
void ph_run_gate_started (PhContext *ctx, PhWorld *world, PhAttemptId id);

/* ph_run_gate_ended: an attempt that was in flight at the local upstream has ended; outcome is that
 * of ph_admission_release. */
void ph_run_gate_ended (PhContext *ctx, PhWorld *world, PhAttemptId id, PhOutcome outcome);

/* ph_run_gate_call_opened, ph_run_gate_call_ended: a call was opened; it was refused for a reason,
 * or got a response (PH_REASON_NONE). Calls that are no deeper calls of callers' origin are
 * ignored. */
void ph_run_gate_call_opened (PhContext *ctx, PhWorld *world, const PhCall *call);
void ph_run_gate_call_ended (PhContext *ctx, PhWorld *world, const PhCall *call, PhReason reason);

/* ph_run_gate_closed_count: number of closed gates. */
uint32_t ph_run_gate_closed_count (const PhWorld *world);

#endif
