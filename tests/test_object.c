#include "pollenhitch/object.h"

#include <stdlib.h>
#include <string.h>

#include "test.h"

#define SERVICE "/teams/cascade/services/booking-desk"
#define DATA_CENTRE "/teams/cascade/data-centres/kamloops"
#define MOVE "/teams/cascade/moves/friday"
#define BUDGET "/teams/cascade/budgets/booking-desk"
#define RULES "/teams/cascade/upstream-rules/booking-desk"
#define MOVE_SPEC(from, to, start, deadline)                                                       \
  "{\"kind\":\"move\",\"spec\":{\"service\":\"cascade/booking-desk\",\"from\":\"" from             \
  "\",\"to\":\"" to "\",\"start\":\"" start "\",\"deadline\":\"" deadline "\"}}"

typedef struct
{
  const char *path;
  const char *text;
  const char *error; /* substring of the error message; NULL for a valid object */
} Case;

/* Guards against invalid objects that are accepted, and against error messages that do not start
 * with the path or do not say which field or value is wrong. */
static const Case cases[] = {
  /* Service objects, and the form common to all kinds. */
  { SERVICE, "{\"kind\":\"service\",\"spec\":{}}", NULL },
  { SERVICE,
    "{\"kind\":\"service\",\"spec\":{\"deadline_ms\":900,\"queue_ms\":0,\"retry_percent\":100,"
    "\"probes_per_minute\":60}}",
    NULL },
  { SERVICE, "{\"kind\":\"service\",\"spec\":{\"deadline_ms\":0}}",
    SERVICE ": spec.deadline_ms: 0 is not allowed; allowed: a whole number from 1 to 3600000" },
  { SERVICE, "{\"kind\":\"service\",\"spec\":{\"retry_percent\":101}}", "spec.retry_percent: 101" },
  { SERVICE, "{\"kind\":\"service\",\"spec\":{\"retry_percent\":5.0}}", "spec.retry_percent: 5.0" },
  { SERVICE, "{\"kind\":\"service\",\"spec\":{\"queue_ms\":\"5\"}}", "spec.queue_ms: \"5\"" },
  { SERVICE, "{\"kind\":\"service\",\"spec\":{\"deadline\":5}}",
    "spec.\"deadline\" is not a field; allowed: deadline_ms, queue_ms" },
  { SERVICE, "{\"kind\":\"service\",\"spec\":{\"queue_ms\":1,\"queue_ms\":2}}", "duplicate" },
  { SERVICE, "{\"kind\":\"move\",\"spec\":{}}", "kind: \"move\" is not allowed; allowed: service" },
  { SERVICE, "{\"kind\":\"service\"}", "spec is missing" },
  { SERVICE, "{\"kind\":\"service\",\"spec\":[]}", "spec: []" },
  { SERVICE, "{\"kind\":\"service\",\"spec\":{},\"owner\":1}", "\"owner\" is not a field" },
  { SERVICE, "", "not a JSON object" },
  { SERVICE, "{\"kind\":\"service\",\x1bspec\":{}}", "not a JSON object" },
  { SERVICE, "[]", "not a JSON object" },
  { SERVICE, "{\"kind\":\"service\",\"spec\":{}} x", "not a JSON object" },
  { SERVICE, "{\"a\":[[[[[[[[1]]]]]]]]}", "nested too deeply" },
  { SERVICE, "{\"kind\":\"service\",\"spec\":{\"\\u0000\":1}}", "not a JSON object" },
  /* Paths. */
  { "/team/cascade/services/x", "{}", "the path is not allowed" },
  { "/teams/Cascade/services/x", "{}", "the team is not allowed; allowed: 1 to 31 lower-case" },
  { "/teams/cascade/service/x", "{}", "the collection is not allowed; allowed: services" },
  { "/teams/cascade/services/x-", "{}", "the service is not allowed" },
  { "/teams/cascade/services/", "{}", "the service is not allowed" },
  { "/teams/cascade/services/x/y", "{}", "the service is not allowed" },
  { "/teams/cascade/services/a2345678901234567890123456789012", "{}",
    "the service is not allowed" },
  /* Data centres. */
  { DATA_CENTRE, "{\"kind\":\"data-centre\",\"spec\":{\"region\":\"bc-south\",\"out\":true}}",
    NULL },
  { DATA_CENTRE, "{\"kind\":\"data-centre\",\"spec\":{}}", NULL },
  { DATA_CENTRE, "{\"kind\":\"data-centre\",\"spec\":{\"out\":1}}",
    "spec.out: 1 is not allowed; allowed: true, false" },
  { DATA_CENTRE, "{\"kind\":\"data-centre\",\"spec\":{\"region\":\"BC\"}}", "spec.region: \"BC\"" },
  /* Moves. */
  { MOVE, MOVE_SPEC ("1.0", "1.1", "2026-12-04T18:00:00Z", "2026-12-07T08:00:00.5Z"), NULL },
  { MOVE, MOVE_SPEC ("1.0", "1.0", "2026-12-04T18:00:00Z", "2026-12-07T08:00:00Z"),
    "spec.to: \"1.0\" is not allowed; allowed: a version other than from" },
  { MOVE, MOVE_SPEC ("1.0", "1.1", "2026-12-07T08:00:00Z", "2026-12-07T08:00:00Z"),
    "spec.deadline: \"2026-12-07T08:00:00Z\" is not allowed; allowed: a time after start" },
  { MOVE, MOVE_SPEC ("1.0", "1 1", "2026-12-04T18:00:00Z", "2026-12-07T08:00:00Z"), "spec.to" },
  { MOVE, MOVE_SPEC ("1.0", "1.1", "2026-02-30T18:00:00Z", "2026-12-07T08:00:00Z"), "spec.start" },
  { MOVE, MOVE_SPEC ("1.0", "1.1", "2026-12-04T18:00:00", "2026-12-07T08:00:00Z"), "spec.start" },
  { MOVE, MOVE_SPEC ("1.0", "1.1", "2026-12-04T18:00:00+01:00", "2026-12-07T08:00:00Z"),
    "spec.start" },
  { MOVE, "{\"kind\":\"move\",\"spec\":{\"service\":\"instituto/pedidos\"}}",
    "spec.service: \"instituto/pedidos\" is not allowed; allowed: a service of this team, as "
    "\"cascade/<service>\"" },
  { MOVE, "{\"kind\":\"move\",\"spec\":{\"service\":\"cascade/\"}}", "spec.service" },
  { MOVE, "{\"kind\":\"move\",\"spec\":{}}", "spec.service is missing" },
  /* Budgets. */
  { BUDGET, "{\"kind\":\"budget\",\"spec\":{\"probes_per_minute\":0}}", NULL },
  { BUDGET, "{\"kind\":\"budget\",\"spec\":{}}", "spec.probes_per_minute is missing" },
  { BUDGET, "{\"kind\":\"budget\",\"spec\":{\"probes_per_minute\":-1}}", "-1 is not allowed" },
  /* Rules of versions. */
  { RULES,
    "{\"kind\":\"upstream-rules\",\"spec\":{\"versions\":{\"1.0\":{\"max_slots\":9},"
    "\"1.1\":{\"cold_start_s\":30}}}}",
    NULL },
  { RULES, "{\"kind\":\"upstream-rules\",\"spec\":{\"versions\":{\"1.0\":{\"slots\":9}}}}",
    "spec.versions.1.0.\"slots\" is not a field; allowed: max_slots, cold_start_s" },
  { RULES, "{\"kind\":\"upstream-rules\",\"spec\":{\"versions\":{\"1.0\":9}}}",
    "9 is not allowed" },
  { RULES,
    "{\"kind\":\"upstream-rules\",\"spec\":{\"versions\":{\"1\":{},\"2\":{},\"3\":{},\"4\":{},"
    "\"5\":{},\"6\":{},\"7\":{},\"8\":{},\"9\":{}}}}",
    "at most 8 versions" },
};

/* Checks that an encoded object decodes to an object with the same encoding. */
static void
check_encoding (const PhObject *object)
{
  PhObject decoded = { 0 };
  char *text = ph_object_encode (object, NULL);
  char *reencoded_text = NULL;

  ph_text_copy (decoded.path, sizeof decoded.path, object->path);
  if (text != NULL && ph_object_decode (NULL, text, strlen (text), &decoded, NULL))
    reencoded_text = ph_object_encode (&decoded, NULL);
  CU_ASSERT_TRUE (text != NULL && reencoded_text != NULL && strcmp (text, reencoded_text) == 0);
  free (text);
  free (reencoded_text);
}

static void
test_object_cases (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      PhObject object = { 0 };
      PhError err = { 0 };
      bool is_ok;

      ph_text_copy (object.path, sizeof object.path, cases[i].path);
      is_ok = ph_object_decode (NULL, cases[i].text, strlen (cases[i].text), &object, &err);
      if (is_ok != (cases[i].error == NULL)
          || (!is_ok
              && (strstr (err.text, cases[i].error) == NULL
                  || strncmp (err.text, cases[i].path, strlen (cases[i].path)) != 0
                  || strpbrk (err.text, "\n\x1b") != NULL)))
        {
          fprintf (stderr, "case %zu: %s\n", i, err.text);
          CU_FAIL ("the result of decoding or the error differs from the case");
        }
      if (is_ok)
        check_encoding (&object);
    }
}

/* Guards against values that are decoded into the wrong field, and times in the wrong unit. */
static void
test_object_values (void)
{
  static const char invalid_text[] = MOVE_SPEC ("1.0", "2.0", "1970-01-01T00:00:00Z", "x");
  static const char valid_text[]
      = MOVE_SPEC ("1.0", "2.0", "2026-12-04T18:00:00Z", "2026-12-04T18:00:01.25Z");
  PhObject object = { .path = MOVE };
  PhError err;

  CU_ASSERT_FALSE (ph_object_decode (NULL, invalid_text, strlen (invalid_text), &object, &err));
  CU_ASSERT_TRUE_FATAL (ph_object_decode (NULL, valid_text, strlen (valid_text), &object, &err));
  CU_ASSERT_STRING_EQUAL (object.spec.move.from_version, "1.0");
  CU_ASSERT_STRING_EQUAL (object.spec.move.to_version, "2.0");
  CU_ASSERT_EQUAL (object.spec.move.start_us, 1796407200000000);
  CU_ASSERT_EQUAL (object.spec.move.deadline_us, 1796407201250000);
}

static const PhTest tests[] = {
  { "invalid objects are rejected with a precise error", test_object_cases },
  { "values are decoded into their fields", test_object_values },
};
PH_TEST_SUITE (object, tests)
