#include "pollenhitch/counter.h"

static const PhCounterInfo counter_infos[PH_COUNTER_COUNT] = {
  [PH_COUNT_CALLS_CALLER] = { "pollenhitch_calls_from_callers_total", "Calls of callers." },
  [PH_COUNT_CALLS_PEER]
  = { "pollenhitch_calls_from_nodes_total", "Calls of other nodes for the local upstream." },
  [PH_COUNT_CALLS_PIPELINED]
  = { "pollenhitch_calls_pipelined_total",
      "Calls that were started while an earlier one of their connection was in work." },
  [PH_COUNT_RESPONSES_COMPLETE]
  = { "pollenhitch_responses_whole_total", "Responses that came whole from the upstream." },
  [PH_COUNT_RESPONSES_TRUNCATED]
  = { "pollenhitch_responses_cut_total", "Responses that were cut short by the upstream." },
  [PH_COUNT_CALLS_ABORTED]
  = { "pollenhitch_calls_aborted_total", "Calls whose caller left before the response." },
  [PH_COUNT_ATTEMPTS]
  = { "pollenhitch_attempts_total", "Requests sent to an upstream or to the node beside it." },
  [PH_COUNT_RETRIES] = { "pollenhitch_retries_total", "Attempts after a failed one." },
  [PH_COUNT_RETRIES_DENIED]
  = { "pollenhitch_retries_denied_total", "Retries that the budget did not allow." },
  [PH_COUNT_HEDGES] = { "pollenhitch_hedges_total", "Second concurrent attempts." },
  [PH_COUNT_DEEPER_WAITS]
  = { "pollenhitch_deeper_waits_total", "Waits of deeper calls for a retry token or a slot." },
  [PH_COUNT_DEEPER_WAITS_ENDED]
  = { "pollenhitch_deeper_waits_ended_total", "Deeper calls refused after they had waited." },
  [PH_COUNT_RETRIES_LEFT_TO_DEEPER]
  = { "pollenhitch_retries_left_to_deeper_total",
      "Retries of first calls denied in favour of deeper calls." },
  [PH_COUNT_CHAIN_DECISIONS]
  = { "pollenhitch_chain_decisions_total",
      "Changed decisions on whether upstreams or callers call a route." },
  [PH_COUNT_CHAIN_REPORTS]
  = { "pollenhitch_chain_reports_total", "Reports of other nodes on who calls a route." },
  [PH_COUNT_CHAIN_POOLS_DROPPED]
  = { "pollenhitch_chain_pools_dropped_total",
      "Pooled evidence of other nodes not kept because the table is full." },
  [PH_COUNT_RUN_GATE_CLOSINGS]
  = { "pollenhitch_run_gate_closings_total",
      "Times that the gate of a route closed: its runs fail because deeper calls are refused." },
  [PH_COUNT_RUN_GATE_PROBES]
  = { "pollenhitch_run_gate_probes_total", "Probe runs of routes whose gate is closed." },
  [PH_COUNT_RUNS_NOT_STARTED]
  = { "pollenhitch_runs_not_started_total",
      "Attempts at the local upstream refused because the gate of their route is closed." },
  [PH_COUNT_PROBES] = { "pollenhitch_probes_total", "Probes of the local upstream." },
  [PH_COUNT_PROBES_DENIED]
  = { "pollenhitch_probes_denied_total", "Probes that the budget did not allow." },
  [PH_COUNT_QUEUED]
  = { "pollenhitch_queued_total", "Attempts that waited in the queue of the local upstream." },
  [PH_COUNT_CONFIG_APPLIED]
  = { "pollenhitch_config_applied_total", "Revisions of objects put in force." },
  [PH_COUNT_CONFIG_REJECTED]
  = { "pollenhitch_config_rejected_total", "Revisions of objects rejected as invalid." },
  [PH_COUNT_STORE_ERAS]
  = { "pollenhitch_store_eras_total", "Changes of the store's era: it came back from a copy." },
  [PH_COUNT_STORE_REWRITES]
  = { "pollenhitch_store_rewrites_total",
      "Contact objects and statuses of moves written again after a change of the store's era." },
  [PH_COUNT_STORE_KEPT_DELETIONS]
  = { "pollenhitch_store_kept_deletions_total",
      "Objects that came back with a copy of the store and stay deleted." },
  [PH_COUNT_MEMBER_CHANGES]
  = { "pollenhitch_member_changes_total", "Changes of state of members." },
  [PH_COUNT_CATCH_UP_SYNCS] = { "pollenhitch_catch_up_syncs_total",
                                "Syncs started because many member records waited for gossip." },
  [PH_COUNT_MISMATCHED_RESPONSES]
  = { "pollenhitch_mismatched_responses_total", "Responses that carried the id of another call." },
  [PH_COUNT_REJECTED_HEADS]
  = { "pollenhitch_rejected_heads_total", "Responses whose head cannot be that of one response." },
  [PH_COUNT_REPEATED_IDS]
  = { "pollenhitch_repeated_ids_total",
      "Requests whose id the selected connection had carried; they got a new connection." },
  [PH_COUNT_UNUSABLE_CONNECTIONS]
  = { "pollenhitch_unusable_connections_total",
      "Kept connections that had input or were retired; the request got a new connection." },
  [PH_COUNT_REFUSALS_AVOIDED]
  = { "pollenhitch_refusals_avoided_total",
      "Redirects without a token, because an upstream was known to have a free slot." },
  [PH_COUNT_SILENT_CONNECTIONS]
  = { "pollenhitch_silent_connections_total",
      "Connections on which the local upstream was found to be silent." },
  [PH_COUNT_STOP_DELAYS]
  = { "pollenhitch_stop_delays_total",
      "Times that the end of a planned stop was brought forward because the process runs late." },
};

static const PhCounterInfo histogram_infos[PH_HISTOGRAM_COUNT] = {
  [PH_HISTOGRAM_CALL]
  = { "pollenhitch_call_seconds", "Time from the fields of a caller's call to its response." },
  [PH_HISTOGRAM_UPSTREAM]
  = { "pollenhitch_upstream_seconds", "Time of an attempt at the local upstream." },
  [PH_HISTOGRAM_QUEUE]
  = { "pollenhitch_queue_seconds", "Wait in the queue of the local upstream." },
  [PH_HISTOGRAM_TICK] = { "pollenhitch_tick_seconds", "Time of one tick of the loop." },
};

void
ph_count (PhContext *ctx, PhCounterId id, uint64_t amount)
{
  if (ctx->counters != NULL)
    ctx->counters->values[id] += amount;
}

void
ph_count_refusal (PhContext *ctx, PhReason reason)
{
  if (ctx->counters != NULL)
    ctx->counters->refused[reason]++;
}

uint64_t
ph_histogram_bound (uint32_t bucket)
{
  return (uint64_t)PH_HISTOGRAM_FIRST_US << bucket;
}

void
ph_count_time (PhContext *ctx, PhHistogramId id, PhTime time)
{
  PhHistogram *histogram;
  uint64_t us = time > 0 ? (uint64_t)time : 0;
  uint32_t bucket = 0;

  if (ctx->counters == NULL)
    return;
  histogram = &ctx->counters->histograms[id];
  while (bucket < PH_HISTOGRAM_BUCKETS && us > ph_histogram_bound (bucket))
    bucket++;
  histogram->buckets[bucket]++;
  histogram->count++;
  histogram->sum_us += us;
}

uint64_t
ph_histogram_quantile (const PhHistogram *histogram, double quantile)
{
  double target = quantile * (double)histogram->count;
  uint64_t cumulative = 0;

  if (histogram->count == 0)
    return 0;
  for (uint32_t bucket = 0; bucket < PH_HISTOGRAM_BUCKETS; bucket++)
    {
      cumulative += histogram->buckets[bucket];
      if ((double)cumulative >= target)
        return ph_histogram_bound (bucket);
    }
  return ph_histogram_bound (PH_HISTOGRAM_BUCKETS);
}

const PhCounterInfo *
ph_counter_info (PhCounterId id)
{
  return &counter_infos[id];
}

const PhCounterInfo *
ph_histogram_info (PhHistogramId id)
{
  return &histogram_infos[id];
}
