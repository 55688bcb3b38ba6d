#include "pollenhitch/counter.h"
#include "pollenhitch/event.h"
#include "test.h"

#include <string.h>

typedef struct
{
  const char *name;
  int64_t wall_us; /* wall clock of this node, microseconds */
  /* Wall-clock part of the hybrid clock in the received message, microseconds; 0 for no message,
   * because merging a clock of 0 changes nothing. */
  int64_t remote_us;
  bool is_after; /* the hybrid clock of the next event is above that of the message */
} ClockCase;

/* Guards against an event that is ordered before its cause on another node when the wall clocks
 * differ. */
static const ClockCase clock_cases[] = {
  { "wall clocks are equal", 1000000, 1000000, true },
  { "the sender's wall clock is ahead", 1000000, 1500000, true },
  { "the sender's wall clock is behind", 1500000, 1000000, true },
  { "the sender's wall clock is too far ahead and is ignored", 1000000,
    1000000 + PH_CLOCK_SKEW_MAX + 1, false },
  { "the receiver's wall clock was set back", 500000, 1000000, true },
};

static void
test_clock (void)
{
  for (unsigned i = 0; i < PH_ARRAY_SIZE (clock_cases); i++)
    {
      const ClockCase *c = &clock_cases[i];
      PhContext ctx = { .wall_us = c->wall_us };
      uint64_t remote = (uint64_t)c->remote_us << PH_CLOCK_COUNTER_BITS;
      uint64_t before = ph_clock_now (&ctx);

      ph_clock_merge (&ctx, remote);
      CU_ASSERT_TRUE (ph_clock_now (&ctx) > before);
      CU_ASSERT_EQUAL (ph_clock_now (&ctx) > remote, c->is_after);
    }
}

/* Guards against events that are read twice, or read from overwritten rows, once the ring has
 * wrapped around. */
static void
test_ring_wraps (void)
{
  PhEventRing ring;
  PhContext ctx = { .events = &ring, .wall_us = 1 };
  const PhEvent *event;
  uint64_t sequence = 0;
  int count = 0;

  CU_ASSERT_TRUE_FATAL (ph_event_ring_init (&ring, 8, NULL));
  CU_ASSERT_PTR_NULL (ph_event_after (&ring, 0));
  for (int i = 1; i <= 20; i++)
    ph_event_record (&ctx, PH_EVENT_PROBE, NULL, "vm", i);
  for (; (event = ph_event_after (&ring, sequence)) != NULL; count++)
    {
      CU_ASSERT_EQUAL (event->value, 13 + count);
      sequence = event->sequence;
    }
  CU_ASSERT_EQUAL (count, 8);
  ph_event_ring_clear (&ring);
}

/* Guards against times that are counted in the wrong bucket: one bucket is compared with a naive
 * count. */
static void
test_histogram (void)
{
  static PhCounters counters;
  PhContext ctx = { .counters = &counters };
  PhRandom random;
  PhHistogram *histogram = &counters.histograms[PH_HISTOGRAM_CALL];
  uint64_t count_above_1024 = 0;
  uint64_t median;

  memset (&counters, 0, sizeof counters);
  ph_random_seed (&random, 4);
  CU_ASSERT_EQUAL (ph_histogram_quantile (histogram, 0.5), 0);
  for (int i = 0; i < 10000; i++)
    {
      PhTime elapsed = ph_random_below (&random, 2000);

      ph_count_time (&ctx, PH_HISTOGRAM_CALL, elapsed);
      count_above_1024 += elapsed > 1024;
    }
  median = ph_histogram_quantile (histogram, 0.5);
  CU_ASSERT_EQUAL (median, 1024);
  CU_ASSERT_EQUAL (histogram->count, 10000);
  CU_ASSERT_EQUAL (histogram->buckets[5], count_above_1024); /* above 1024 us, up to 2048 us */
  ph_count_time (&ctx, PH_HISTOGRAM_CALL, 3600 * PH_SECOND);
  CU_ASSERT_EQUAL (histogram->buckets[PH_HISTOGRAM_BUCKETS], 1);
}

static const PhTest tests[] = {
  { "the hybrid clock orders an event after its cause", test_clock },
  { "a full ring keeps the newest events", test_ring_wraps },
  { "histogram buckets agree with a naive count", test_histogram },
};
PH_TEST_SUITE (event, tests)
