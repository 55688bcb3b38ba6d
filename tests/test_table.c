#include "pollenhitch/table.h"

#include <string.h>

#include "pollenhitch/timer.h"
#include "test.h"

#define CAPACITY 8
#define STEPS 200000

/* Differential test: the table must agree with a naive array of handles and values under random
 * additions and removals. Guards against lost rows and against a handle of a removed row that gives
 * another row. */
static void
test_table_random (void)
{
  PhTable table;
  PhRandom random;
  uint32_t handles[CAPACITY] = { 0 };
  uint32_t values[CAPACITY] = { 0 };
  uint32_t removed_handle = 0;
  uint32_t count = 0;

  ph_random_seed (&random, 1);
  CU_ASSERT_TRUE_FATAL (ph_table_init (&table, sizeof (uint32_t), CAPACITY, NULL));
  for (uint32_t step = 1; step <= STEPS; step++)
    {
      uint32_t i = ph_random_below (&random, CAPACITY);

      if (handles[i] == 0)
        {
          uint32_t *row;

          handles[i] = ph_table_add (&table, (void **)&row);
          CU_ASSERT_NOT_EQUAL_FATAL (handles[i], 0);
          *row = values[i] = step;
          count++;
        }
      else
        {
          CU_ASSERT_EQUAL_FATAL (*(uint32_t *)ph_table_get (&table, handles[i]), values[i]);
          ph_table_remove (&table, handles[i]);
          removed_handle = handles[i];
          handles[i] = 0;
          count--;
        }
      CU_ASSERT_EQUAL_FATAL (table.count, count);
      CU_ASSERT_PTR_NULL_FATAL (ph_table_get (&table, handles[i] == 0 ? removed_handle : 0));
    }
  ph_table_clear (&table);
}

/* Guards against a row that is added beyond the capacity of the table. */
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
match_handle (const void *user, uint32_t handle, const char *key)
{
  (void)key;
  return *(const uint32_t *)user == handle;
}

/* Differential test with a naive set. Guards against a removal that breaks the probe sequence of
 * another entry, which is then no longer found. */
static void
test_index_random (void)
{
  PhIndex index;
  PhRandom random;
  bool is_present[64] = { false };

  ph_random_seed (&random, 2);
  CU_ASSERT_TRUE_FATAL (ph_index_init (&index, 64, NULL));
  for (int step = 0; step < STEPS; step++)
    {
      uint32_t handle = ph_random_below (&random, 63) + 1;
      uint64_t hash = handle % 7; /* many collisions */

      if (is_present[handle])
        ph_index_remove (&index, hash, handle);
      else
        ph_index_add (&index, hash, handle);
      is_present[handle] = !is_present[handle];
      for (uint32_t i = 1; i < 64; i++)
        if ((ph_index_find (&index, i % 7, match_handle, &i, "") == i) != is_present[i])
          CU_FAIL_FATAL ("index and naive set differ");
    }
  ph_index_clear (&index);
}

/* Guards against timers that expire early, late or out of order. */
static void
test_timer_order (void)
{
  PhTimerHeap heap = { 0 };
  PhRandom random;
  PhTimer timer;
  PhTime last_due_at = 0;
  uint32_t expired_count = 0;

  ph_random_seed (&random, 3);
  for (uint32_t i = 0; i < 10000; i++)
    CU_ASSERT_TRUE_FATAL (ph_timer_add (&heap, ph_random_below (&random, 5000), 0, i + 1));
  for (PhTime now = 0; now <= 5000; now += 10)
    while (ph_timer_pop (&heap, now, &timer))
      {
        CU_ASSERT_TRUE_FATAL (timer.due_at <= now && timer.due_at >= last_due_at
                              && timer.due_at > now - 10);
        last_due_at = timer.due_at;
        expired_count++;
      }
  CU_ASSERT_EQUAL (expired_count, 10000);
  CU_ASSERT_EQUAL (ph_timer_next (&heap), PH_TIME_NEVER);
  ph_timer_clear (&heap);
}

static bool
is_handle (const void *user, uint32_t handle, const char *key)
{
  (void)key;
  return *(const uint32_t *)user == handle;
}

/* Guards against handles that are lost when an index grows. */
static void
test_index_reserve (void)
{
  PhIndex index;
  uint32_t capacity = 1;

  CU_ASSERT_TRUE_FATAL (ph_index_init (&index, capacity, NULL));
  for (uint32_t handle = 1; handle <= 5000; handle++)
    {
      if (handle > capacity)
        capacity *= 2;
      CU_ASSERT_TRUE_FATAL (ph_index_reserve (&index, capacity));
      ph_index_add (&index, ph_hash_mix (handle, 1), handle);
    }
  for (uint32_t handle = 1; handle <= 5000; handle++)
    CU_ASSERT_EQUAL (ph_index_find (&index, ph_hash_mix (handle, 1), is_handle, &handle, NULL),
                     handle);
  ph_index_clear (&index);
}

/* Guards against two long texts that are shortened to the same one, and against half a character at
 * a cut, for which encoders of JSON reject a whole page. */
static const struct
{
  const char *text;
  const char *begin; /* of the result; NULL if it is the text itself */
} short_cases[] = {
  { "", NULL },
  { "0123456789012345678901234567890", NULL },
  { "01234567890123456789012345678901", "012345~" },
  { "01234567890123456789012345678902", "012345~" },
  { "0123\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9"
    "\xc3\xa9\xc3\xa9\xc3\xa9",
    "0123\xc3\xa9~" },
  { "01234\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9"
    "\xc3\xa9\xc3\xa9\xc3\xa9",
    "01234~" },
  { "0123\xe2\x82\xac\xe2\x82\xac\xe2\x82\xac\xe2\x82\xac\xe2\x82\xac\xe2\x82\xac\xe2\x82\xac"
    "\xe2\x82\xac\xe2\x82\xac\xe2\x82\xac",
    "0123~" },
  { "012\xe2\x82\xac\xe2\x82\xac\xe2\x82\xac\xe2\x82\xac\xe2\x82\xac\xe2\x82\xac\xe2\x82\xac"
    "\xe2\x82\xac\xe2\x82\xac\xe2\x82\xac",
    "012\xe2\x82\xac~" },
};

static void
test_short_texts (void)
{
  char results[PH_ARRAY_SIZE (short_cases)][PH_SHORT_TEXT_MIN];

  for (size_t i = 0; i < PH_ARRAY_SIZE (short_cases); i++)
    {
      const char *begin = short_cases[i].begin != NULL ? short_cases[i].begin : short_cases[i].text;

      ph_text_shorten (results[i], PH_SHORT_TEXT_MIN, short_cases[i].text);
      if (strncmp (results[i], begin, strlen (begin)) != 0
          || strlen (results[i]) != strlen (begin) + (short_cases[i].begin != NULL ? 24 : 0))
        CU_FAIL (short_cases[i].text);
      for (size_t k = 0; k < i; k++)
        CU_ASSERT_STRING_NOT_EQUAL (results[i], results[k]);
    }
}

static const PhTest tests[] = {
  { "an index keeps its handles when it grows", test_index_reserve },
  { "long texts are shortened", test_short_texts },
  { "the table agrees with a naive array", test_table_random },
  { "a full table rejects another row", test_table_full },
  { "the index agrees with a naive set", test_index_random },
  { "timers expire in order", test_timer_order },
};
PH_TEST_SUITE (table, tests)
