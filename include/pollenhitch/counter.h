#ifndef PH_COUNTER_H
#define PH_COUNTER_H

#include "pollenhitch/call.h"

/*
 * Counters and latency histograms of one node. They only grow; gauges are read
 * from the tables when the page is made.
 */

typedef enum
{
  PH_COUNT_CALLS_CALLER,
  PH_COUNT_CALLS_PEER,
  PH_COUNT_RESPONSES_COMPLETE,
  PH_COUNT_RESPONSES_TRUNCATED,
  PH_COUNT_CALLS_ABORTED,
  PH_COUNT_ATTEMPTS,
  PH_COUNT_RETRIES,
  PH_COUNT_RETRIES_DENIED,
  PH_COUNT_HEDGES,
  PH_COUNT_PROBES,
  PH_COUNT_PROBES_DENIED,
  PH_COUNT_QUEUED,
  PH_COUNT_CONFIG_APPLIED,
  PH_COUNT_CONFIG_REJECTED,
  PH_COUNT_MEMBER_CHANGES,
  PH_COUNT_MISMATCHED_RESPONSES,
  PH_COUNTER_COUNT
} PhCounterId;

typedef enum
{
  PH_HISTOGRAM_CALL,     /* caller's call, from its fields to the head of the response */
  PH_HISTOGRAM_UPSTREAM, /* local upstream, from the start of the attempt to its end */
  PH_HISTOGRAM_QUEUE,    /* wait in the queue of the local upstream */
  PH_HISTOGRAM_TICK,     /* run of one tick */
  PH_HISTOGRAM_COUNT
} PhHistogramId;

/* Buckets double from 64 us: 64 us, 128 us, ..., 2^20 * 64 us (67 s). */
#define PH_HISTOGRAM_BUCKETS 21
#define PH_HISTOGRAM_FIRST_US 64

typedef struct
{
  uint64_t buckets[PH_HISTOGRAM_BUCKETS + 1]; /* the last holds what is above all bounds */
  uint64_t count;
  uint64_t sum_us;
} PhHistogram;

struct PhCounters
{
  uint64_t values[PH_COUNTER_COUNT];
  uint64_t refused[PH_REASON_COUNT];
  PhHistogram histograms[PH_HISTOGRAM_COUNT];
};

typedef struct
{
  const char *name; /* in the exposition format */
  const char *help;
} PhCounterInfo;

/* ph_count: add to a counter; does nothing when the context has no counters. */
void ph_count (PhContext *ctx, PhCounterId id, uint64_t amount);
void ph_count_refusal (PhContext *ctx, PhReason reason);
void ph_count_time (PhContext *ctx, PhHistogramId id, PhTime time);

const PhCounterInfo *ph_counter_info (PhCounterId id);
const PhCounterInfo *ph_histogram_info (PhHistogramId id);

/* ph_histogram_bound: upper bound of a bucket in microseconds. */
uint64_t ph_histogram_bound (uint32_t bucket);

/* ph_histogram_quantile: upper bound of the bucket that holds a quantile, in microseconds; 0 when
 * there is nothing in it. */
uint64_t ph_histogram_quantile (const PhHistogram *histogram, double quantile);

#endif
