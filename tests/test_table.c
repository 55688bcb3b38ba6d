#include "pollenhitch/table.h"
#include "pollenhitch/timer.h"
#include "test.h"

#define CAPACITY 8
#define STEPS 200000

/* Differential test: a naive array of (handle, value) must agree with the table. Guards against
 * reuse of a handle and lost rows. */
static void
test_table_random (void)
{
  PhTable table;
  PhRandom random;
  uint32_t live[CAPACITY] = { 0 };
  uint32_t values[CAPACITY] = { 0 };
  uint32_t stale = 0;
  uint32_t count = 0;

  ph_random_seed (&random, 1);
  CU_ASSERT_TRUE_FATAL (ph_table_init (&table, sizeof (uint32_t), CAPACITY, NULL));
  for (uint32_t step = 1; step <= STEPS; step++)
    {
      uint32_t i = ph_random_below (&random, CAPACITY);

      if (live[i] == 0)
        {
          uint32_t *row;

          live[i] = ph_table_add (&table, (void **)&row);
          CU_ASSERT_NOT_EQUAL_FATAL (live[i], 0);
          *row = values[i] = step;
          count++;
        }
      else
        {
          CU_ASSERT_EQUAL_FATAL (*(uint32_t *)ph_table_get (&table, live[i]), values[i]);
          ph_table_remove (&table, live[i]);
          stale = live[i];
          live[i] = 0;
          count--;
        }
      CU_ASSERT_EQUAL_FATAL (table.count, count);
      CU_ASSERT_PTR_NULL_FATAL (ph_table_get (&table, live[i] == 0 ? stale : 0));
    }
  ph_table_clear (&table);
}

static void
test_table_full (void)
{
  PhTable table;
  void *row;

  CU_ASSERT_TRUE_FATAL (ph_table_init (&table, 4, 2, NULL));
  CU_ASSERT_NOT_EQUAL (ph_table_add (&table, &row), 0);
  CU_ASSERT_NOT_EQUAL (ph_table_add (&table, &row), 0);
  CU_ASSERT_EQUAL (ph_table_add (&table, &row), 0);
  ph_table_clear (&table);
}

static bool
match_any (const void *user, uint32_t handle, const char *key)
{
  (void)key;
  return *(const uint32_t *)user == handle;
}

/* Guards against a removal that breaks the probe sequence of another entry. */
static void
test_index_random (void)
{
  PhIndex index;
  PhRandom random;
  bool is_in[64] = { false };

  ph_random_seed (&random, 2);
  CU_ASSERT_TRUE_FATAL (ph_index_init (&index, 64, NULL));
  for (int step = 0; step < STEPS; step++)
    {
      uint32_t handle = ph_random_below (&random, 63) + 1;
      uint64_t hash = handle % 7; /* many collisions */

      if (is_in[handle])
        ph_index_remove (&index, hash, handle);
      else
        ph_index_add (&index, hash, handle);
      is_in[handle] = !is_in[handle];
      for (uint32_t i = 1; i < 64; i++)
        if ((ph_index_find (&index, i % 7, match_any, &i, "") == i) != is_in[i])
          CU_FAIL_FATAL ("index and naive set differ");
    }
  ph_index_clear (&index);
}

/* Guards against timers that come up early, late or out of order. */
static void
test_timer_order (void)
{
  PhTimerHeap heap = { 0 };
  PhRandom random;
  PhTimer timer;
  PhTime last = 0;
  uint32_t popped = 0;

  ph_random_seed (&random, 3);
  for (uint32_t i = 0; i < 10000; i++)
    CU_ASSERT_TRUE_FATAL (ph_timer_add (&heap, ph_random_below (&random, 5000), 0, i + 1));
  for (PhTime now = 0; now <= 5000; now += 10)
    while (ph_timer_pop (&heap, now, &timer))
      {
        CU_ASSERT_TRUE_FATAL (timer.due_at <= now && timer.due_at >= last
                              && timer.due_at > now - 10);
        last = timer.due_at;
        popped++;
      }
  CU_ASSERT_EQUAL (popped, 10000);
  CU_ASSERT_EQUAL (ph_timer_next (&heap), PH_TIME_NEVER);
  ph_timer_clear (&heap);
}

static const PhTest tests[] = {
  { "table agrees with a naive array", test_table_random },
  { "full table refuses a row", test_table_full },
  { "index agrees with a naive set", test_index_random },
  { "timers come up in order", test_timer_order },
};
PH_TEST_SUITE (table, tests)
