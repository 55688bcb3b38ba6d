#ifndef PH_TEST_H
#define PH_TEST_H

#include <CUnit/Basic.h>

/*
 * A test file holds tables of cases and one table of tests, and registers it:
 *
 *   static const PhTest tests[] = { { "name", function }, ... };
 *   PH_TEST_SUITE (table, tests)
 */

typedef struct
{
  const char *name;
  void (*run) (void);
} PhTest;

void ph_test_add_suite (const char *name, const PhTest *tests, unsigned count);

#define PH_TEST_SUITE(suite, tests)                                                                \
  __attribute__ ((constructor)) static void register_##suite (void)                                \
  {                                                                                                \
    ph_test_add_suite (#suite, tests, sizeof tests / sizeof *tests);                               \
  }

#define PH_ARRAY_SIZE(array) (sizeof (array) / sizeof *(array))

#endif
