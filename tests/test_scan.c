#include "pollenhitch/scan.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pollenhitch/base.h"
#include "test.h"

static PhJsonPart
part_of (const char *text)
{
  return (PhJsonPart){ text, strlen (text) };
}

/* Guards against members that are found at the wrong place: inside a string, in a nested object, or
 * behind a name that only begins alike. */
static const struct
{
  const char *text;
  const char *value; /* of the member "a"; NULL for none */
} member_cases[] = {
  { "{\"a\":1}", "1" },
  { " { \"b\" : [ 1, {\"a\":2} ] , \"a\" : \"x,}\" } ", "\"x,}\"" },
  { "{\"b\":\"\\\"a\\\":5,\",\"a\":{\"c\":[]}}", "{\"c\":[]}" },
  { "{\"ab\":1,\"a\":2}", "2" },
  { "{\"b\":\"\\\\\",\"a\":3}", "3" },
  { "{\"b\":99999999999999999999999999,\"a\":\"\xff\"}", "\"\xff\"" },
  { "{\"a\":}", NULL },
  { "{\"a\":1", NULL },
  { "{\"a\":\"x}", NULL },
  { "{\"b\" 1,\"a\":1}", NULL },
  { "{}", NULL },
  { "[\"a\",1]", NULL },
  { "]", NULL },
  { "", NULL },
};

static void
test_members (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (member_cases); i++)
    {
      const char *expected = member_cases[i].value;
      PhJsonPart value;
      bool is_found = ph_json_member (part_of (member_cases[i].text), "a", &value);

      if (is_found != (expected != NULL)
          || (is_found
              && (value.size != strlen (expected)
                  || memcmp (value.text, expected, value.size) != 0)))
        CU_FAIL (member_cases[i].text);
    }
}

/* Guards against elements that are lost behind an odd one, and against a read beyond the text. */
static const struct
{
  const char *text;
  const char *elements[4]; /* NULL after the last */
} element_cases[] = {
  { "[1,2]", { "1", "2" } },
  { " [ {\"a\":[1,2]} , \"],\" , [[]] ]", { "{\"a\":[1,2]}", "\"],\"", "[[]]" } },
  { "[{\"a\":]},2]", { "{\"a\":]" } }, /* brackets that do not match end the array */
  { "[1,,2]", { "1" } },
  { "[1,2", { "1" } },
  { "[\"a", { NULL } },
  { "[]", { NULL } },
  { "{\"a\":1}", { NULL } },
  { "", { NULL } },
};

static void
test_elements (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (element_cases); i++)
    {
      PhJsonPart element;
      size_t offset = 0;
      size_t count = 0;

      while (ph_json_next_element (part_of (element_cases[i].text), &offset, &element))
        {
          const char *expected = element_cases[i].elements[count++];

          if (expected == NULL || element.size != strlen (expected)
              || memcmp (element.text, expected, element.size) != 0)
            {
              CU_FAIL (element_cases[i].text);
              break;
            }
        }
      CU_ASSERT_PTR_NULL (element_cases[i].elements[count]);
    }
}

/* Guards against a stack that overflows at deep nesting. */
static void
test_depth (void)
{
  const size_t depth = 1000000;
  static const char end[] = ",7]";
  char *text = malloc (1 + 2 * depth + sizeof end);
  PhJsonPart element;
  size_t offset = 0;

  text[0] = '[';
  memset (text + 1, '[', depth);
  memset (text + 1 + depth, ']', depth);
  memcpy (text + 1 + 2 * depth, end, sizeof end);
  CU_ASSERT_TRUE (ph_json_next_element (part_of (text), &offset, &element));
  CU_ASSERT_EQUAL (element.size, 2 * depth);
  CU_ASSERT_TRUE (ph_json_next_element (part_of (text), &offset, &element));
  CU_ASSERT_EQUAL (element.text[0], '7');
  free (text);
}

static const PhTest tests[] = {
  { "members of an object are found", test_members },
  { "elements of an array are found", test_elements },
  { "deeply nested values are passed over", test_depth },
};
PH_TEST_SUITE (scan, tests)
