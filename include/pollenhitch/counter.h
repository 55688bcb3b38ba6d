#ifndef PH_COUNTER_H
#define PH_COUNTER_H

#include "pollenhitch/call.h"

/*
 * Counters and latency histograms of one node. They only increase; gauges are
 * read from the tables when the metrics page is written.
 */

typedef enum
{
  PH_COUNT_CALLS_CALLER,    /* calls received from callers */
  PH_COUNT_CALLS_PEER,      /* calls received from other nodes */
  PH_COUNT_CALLS_PIPELINED, /* calls started while an earlier one of their connection was in work */
  PH_COUNT_RESPONSES_COMPLETE,
  PH_COUNT_RESPONSES_TRUNCATED,
  PH_COUNT_CALLS_ABORTED,
  PH_COUNT_ATTEMPTS,
  PH_COUNT_RETRIES,
  PH_COUNT_RETRIES_DENIED,
  PH_COUNT_HEDGES,
  PH_COUNT_DEEPER_WAITS,           /* waits of deeper calls for a token or a slot */
  PH_COUNT_DEEPER_WAITS_ENDED,     /* waiting calls that were refused at the end of their time */
  PH_COUNT_RETRIES_LEFT_TO_DEEPER, /* retries of first calls denied in favour of deeper calls */
  PH_COUNT_CHAIN_DECISIONS,        /* decisions for a route that changed, see chain_reports.h */
  PH_COUNT_CHAIN_REPORTS,          /* reports of evidence received */
  PH_COUNT_CHAIN_POOLS_DROPPED,    /* pools of other nodes not kept: the table is full */
  PH_COUNT_RUN_GATE_CLOSINGS,      /* see run_gate.h, like the next two */
  PH_COUNT_RUN_GATE_PROBES,        /* probe runs of closed gates */
  PH_COUNT_RUNS_NOT_STARTED,       /* attempts refused by closed gates */
  PH_COUNT_PROBES,
  PH_COUNT_PROBES_DENIED,
  PH_COUNT_QUEUED,
  PH_COUNT_CONFIG_APPLIED,
  PH_COUNT_CONFIG_REJECTED,
  PH_COUNT_STORE_ERAS,           /* changes of the store's era */
  PH_COUNT_STORE_REWRITES,       /* writes that the store had lost and that were written again */
  PH_COUNT_STORE_KEPT_DELETIONS, /* deletions that the store had lost and that are kept */
  PH_COUNT_MEMBER_CHANGES,
  PH_COUNT_CATCH_UP_SYNCS, /* see ph_sync_catch_up */
  PH_COUNT_MISMATCHED_RESPONSES,
  PH_COUNT_REJECTED_HEADS,       /* responses whose head cannot be that of one response */
  PH_COUNT_REPEATED_IDS,         /* kept connections not used: they had carried the request's id */
  PH_COUNT_UNUSABLE_CONNECTIONS, /* kept connections not used for another reason */
  PH_COUNT_REFUSALS_AVOIDED,     /* redirects without a token, see ph_choice_has_free_slot */
  PH_COUNT_SILENT_CONNECTIONS,   /* attempts at the local upstream judged to get no response */
  PH_COUNT_STOP_DELAYS,          /* times that a planned stop was brought forward: it runs late */
  PH_COUNTER_COUNT
} PhCounterId;

typedef enum
{
  PH_HISTOGRAM_CALL,     /* call of a caller, from its header fields to the head of the response */
  PH_HISTOGRAM_UPSTREAM, /* attempt at the local upstream, from its start to its end */
  PH_HISTOGRAM_QUEUE,    /* wait in the queue of the local upstream */
  PH_HISTOGRAM_TICK,     /* duration of one tick */
  PH_HISTOGRAM_COUNT
} PhHistogramId;

/* Upper bounds of the buckets: 64 us, 128 us, ..., 2^20 * 64 us (67 s). */
#define PH_HISTOGRAM_BUCKETS 21
#define PH_HISTOGRAM_FIRST_US 64

typedef struct
{
  uint64_t buckets[PH_HISTOGRAM_BUCKETS + 1]; /* the last one holds values above all bounds */
  uint64_t count;                             /* values recorded */
  uint64_t sum_us;                            /* their sum in microseconds */
} PhHistogram;

struct PhCounters
{
  uint64_t values[PH_COUNTER_COUNT];
  uint64_t refused[PH_REASON_COUNT]; /* refusals by reason */
  PhHistogram histograms[PH_HISTOGRAM_COUNT];
};

typedef struct
{
  const char *name; /* name of the metric in the Prometheus exposition format */
  const char *help; /* text of its HELP line */
} PhCounterInfo;

/* ph_count: add amount to a counter. Like the next two, it does nothing when the context has no
 * counters. */
void ph_count (PhContext *ctx, PhCounterId id, uint64_t amount);

/* ph_count_refusal: count a refused call by its reason. */
void ph_count_refusal (PhContext *ctx, PhReason reason);

/* ph_count_time: record a duration in a histogram; a negative one counts as 0. */
void ph_count_time (PhContext *ctx, PhHistogramId id, PhTime time);

/* ph_counter_info, ph_histogram_info: name and help text of a metric; static. */
const PhCounterInfo *ph_counter_info (PhCounterId id);
const PhCounterInfo *ph_histogram_info (PhHistogramId id);

/* ph_histogram_bound: upper bound of a bucket in microseconds. */
uint64_t ph_histogram_bound (uint32_t bucket);

/* ph_histogram_quantile: upper bound, in microseconds, of the bucket that holds a quantile (0 to
 * 1); 0 when the histogram is empty. For a value above all bounds it is twice the last bound. */
uint64_t ph_histogram_quantile (const PhHistogram *histogram, double quantile);

#endif
