#include "platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pollenhitch/fields.h"
#include "test.h"

/* Adapter of the object platform: decoding of what it receives, and encoding of what it sends. */

static PlatformSettings settings = { .retry_percent = 10,
                                     .probes_per_minute = 3600,
                                     .slot_percent = 80,
                                     .queue_ms = 250,
                                     .upstream = "10.0.0.1:80" };

/* Guards against a duration without a unit, or with an unknown one, that is accepted and read in
 * another unit than was meant. Also guards against a load field without a valid slowdown that is
 * taken for a slow VM. */
static const struct
{
  const char *text;
  PhTime time; /* -1: rejected */
} duration_cases[] = {
  { "1500ms", 1500 * PH_MS },
  { "2.5s", 2500 * PH_MS },
  { "0ms", 0 },
  { "0.5ms", 500 },
  { "15", -1 },
  { "", -1 },
  { "-1s", -1 },
  { "1m", -1 },
  { "s", -1 },
  { "1e99s", -1 },
  { "nan s", -1 },
  { "1 s", -1 },
};

static void
test_durations (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (duration_cases); i++)
    {
      PhTime time = -1;

      if (!ph_duration_parse (duration_cases[i].text, &time))
        time = -1;
      if (time != duration_cases[i].time)
        CU_FAIL (duration_cases[i].text);
    }
  CU_ASSERT_EQUAL (platform_slowdown_percent ("3,0,8,400"), 400);
  CU_ASSERT_EQUAL (platform_slowdown_percent ("3, 0, 8, 100"), 100);
  CU_ASSERT_EQUAL (platform_slowdown_percent ("3,0,8"), 0);
  CU_ASSERT_EQUAL (platform_slowdown_percent ("3,0,8,x"), 0);
  CU_ASSERT_EQUAL (platform_slowdown_percent (NULL), 0);
}

/* Guards against a successful response that is accepted although it belongs to another process or
 * request, against a refused request, which was not run, that is taken for a failed one, and
 * against the reverse. */
static const struct
{
  const char *name;
  /* HTTP status, id sent, id received, has a seal (Response-Seal, which only an upstream that has
   * run the request sends), says that it was not run (Not-Executed), has a content encoding,
   * has more than one id or seal */
  PlatformResponseHead in;
  bool is_matching; /* the response belongs to the request */
  bool is_run;      /* the request was run, or may have been */
  PhReason reason;  /* why the response is rejected, or why the request was not run */
} head_cases[] = {
  { "a successful response",
    { 200, "a", "a", true, false, false, false },
    true,
    true,
    PH_REASON_NONE },
  { "a failed request", { 500, "a", "a", true, false, false, false }, true, true, PH_REASON_NONE },
  { "the id of another request",
    { 200, "a", "b", true, false, false, false },
    false,
    true,
    PH_REASON_NONE },
  { "no seal",
    { 200, "a", "a", false, false, false, false },
    true,
    true,
    PH_REASON_MISMATCHED_RESPONSE },
  { "no id of a request",
    { 200, "a", NULL, true, false, false, false },
    true,
    true,
    PH_REASON_MISMATCHED_RESPONSE },
  { "an encoded body",
    { 200, "a", "a", true, false, true, false },
    true,
    true,
    PH_REASON_MISMATCHED_RESPONSE },
  { "two ids or seals", { 200, "a", "a", true, false, false, true }, false, true, PH_REASON_NONE },
  { "a refusal with two ids",
    { 503, "a", "a", false, true, false, true },
    false,
    false,
    PH_REASON_SHED },
  { "503 that says the request was not run",
    { 503, "a", "a", false, true, false, false },
    true,
    false,
    PH_REASON_SHED },
  { "503 that does not say whether the request was run",
    { 503, "a", "a", false, false, false, false },
    true,
    true,
    PH_REASON_MISMATCHED_RESPONSE },
  { "421: sent to an earlier process",
    { 421, "a", "a", false, false, false, false },
    true,
    false,
    PH_REASON_STALE_UPSTREAM },
};

static void
test_heads (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (head_cases); i++)
    {
      PhResponseHead head = { .matches_request = true, .is_run = true };

      platform_classify (&head_cases[i].in, &head);
      if (head.matches_request != head_cases[i].is_matching || head.is_run != head_cases[i].is_run
          || (head.is_run ? head.reject_reason : head.refusal_reason) != head_cases[i].reason)
        CU_FAIL (head_cases[i].name);
    }
}

/* Guards against a status that promises the caller that the request was not run, as 503 does, when
 * it was run or that is not known. Also guards against fields of a caller that reach the upstream
 * although the node sets them itself. */
static const struct
{
  PhRefusal refusal;
  int status;
} refusal_cases[] = {
  { { 503, PH_RUN_NO, PH_REASON_LIMIT, 0 }, 503 },
  { { 504, PH_RUN_NO, PH_REASON_DEADLINE, 0 }, 503 },
  { { 502, PH_RUN_NO, PH_REASON_CONNECT, 0 }, 503 },
  { { 404, PH_RUN_NO, PH_REASON_UNKNOWN_SERVICE, 0 }, 404 },
  { { 400, PH_RUN_NO, PH_REASON_BAD_REQUEST, 0 }, 400 },
  { { 413, PH_RUN_NO, PH_REASON_TOO_LARGE, 0 }, 413 },
  { { 503, PH_RUN_UNKNOWN, PH_REASON_LIMIT, 0 }, 502 },
  { { 502, PH_RUN_YES, PH_REASON_MISMATCHED_RESPONSE, 0 }, 502 },
  { { 504, PH_RUN_UNKNOWN, PH_REASON_DEADLINE, 0 }, 504 },
};

static void
test_refusals (void)
{
  PhDialect dialect;

  platform_dialect (&settings, &dialect);
  for (size_t i = 0; i < PH_ARRAY_SIZE (refusal_cases); i++)
    if (dialect.refusal_status (dialect.user, &refusal_cases[i].refusal) != refusal_cases[i].status)
      CU_FAIL (ph_reason_name (refusal_cases[i].refusal.reason));
  CU_ASSERT_FALSE (dialect.is_forwarded (dialect.user, "caller-service"));
  CU_ASSERT_FALSE (dialect.is_forwarded (dialect.user, "Deadline-Ms"));
  CU_ASSERT_TRUE (dialect.is_forwarded (dialect.user, "Attempt-Id"));
}

#define HEARTBEAT(born, info, status)                                                              \
  "{\"address\":\"10.0.0.1:80\",\"born\":" born ",\"info\":{" info "},\"status\":{" status "}}"
#define INFO "\"service\":\"s\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":6"
#define STATUS "\"state\":\"ready\",\"sequence\":4,\"coldLeft\":\"250ms\""

/* Guards against an upstream that is registered by an invalid heartbeat: one with a field that is
 * missing or has another type, or with the address of another upstream. */
static const struct
{
  const char *name;
  const char *text;
  bool is_ok;
} heartbeat_cases[] = {
  { "all fields", HEARTBEAT ("17", INFO, STATUS), true },
  { "no start time of the process",
    "{\"address\":\"10.0.0.1:80\",\"info\":{" INFO "},\"status\":{" STATUS "}}", true },
  { "no remaining time of the cold start",
    HEARTBEAT ("17", INFO, "\"state\":\"ready\",\"sequence\":4"), true },
  { "numbers in other notations",
    HEARTBEAT ("17.0",
               "\"service\":\"s\",\"version\":\"v1\",\"slots\":6e0",
               "\"state\":\"ready\",\"sequence\":4.0"),
    true },
  { "more slots than the bound",
    HEARTBEAT ("17", "\"service\":\"s\",\"version\":\"v1\",\"slots\":100001", STATUS), true },
  { "a very long cold start",
    HEARTBEAT ("17", INFO, "\"state\":\"ready\",\"sequence\":4,\"coldLeft\":\"1e300s\""), true },
  { "a version longer than its field",
    HEARTBEAT ("17",
               "\"service\":\"s\",\"version\":\"sha256:"
               "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\",\"slots\":6",
               STATUS),
    true },
  { "a fraction of a slot",
    HEARTBEAT ("17", "\"service\":\"s\",\"version\":\"v1\",\"slots\":6.5", STATUS), false },
  { "the start time is a string", HEARTBEAT ("\"17\"", INFO, STATUS), false },
  { "the start time is a fraction", HEARTBEAT ("17.5", INFO, STATUS), false },
  { "no service", HEARTBEAT ("17", "\"version\":\"v1\",\"slots\":6", STATUS), false },
  { "the slots are a string",
    HEARTBEAT ("17", "\"service\":\"s\",\"version\":\"v1\",\"slots\":\"6\"", STATUS), false },
  { "the number of slots is 0",
    HEARTBEAT ("17", "\"service\":\"s\",\"version\":\"v1\",\"slots\":0", STATUS), false },
  { "unknown state", HEARTBEAT ("17", INFO, "\"state\":\"happy\",\"sequence\":4"), false },
  { "no sequence", HEARTBEAT ("17", INFO, "\"state\":\"ready\""), false },
  { "the sequence is a string", HEARTBEAT ("17", INFO, "\"state\":\"ready\",\"sequence\":\"4\""),
    false },
  { "the remaining time of the cold start has no unit",
    HEARTBEAT ("17", INFO, "\"state\":\"ready\",\"sequence\":4,\"coldLeft\":\"250\""), false },
  { "another address", "{\"address\":\"10.0.0.2:80\",\"info\":{" INFO "},\"status\":{" STATUS "}}",
    false },
  { "not a JSON object", "[]", false },
  { "not JSON", "{\"address\":", false },
  { "empty body", "", false },
};

static void
test_heartbeats (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (heartbeat_cases); i++)
    {
      char service[PH_NAME_MAX];
      PhHeartbeat heartbeat;
      json_t *body = NULL;
      PhError err;
      bool is_ok = platform_heartbeat_decode (&settings, "i-1", heartbeat_cases[i].text,
                                              strlen (heartbeat_cases[i].text), &body, service,
                                              &heartbeat, &err);

      if (is_ok != heartbeat_cases[i].is_ok)
        CU_FAIL (heartbeat_cases[i].name);
      CU_ASSERT_TRUE (!is_ok || strlen (heartbeat.version) < PH_VERSION_MAX);
      if (i == 0)
        {
          CU_ASSERT_STRING_EQUAL (heartbeat.service, "platform/s");
          CU_ASSERT_EQUAL (heartbeat.start_wall_ms, 17);
          CU_ASSERT_EQUAL (heartbeat.sequence, 4);
          CU_ASSERT_EQUAL (heartbeat.cold_time_left, 250 * PH_MS);
          CU_ASSERT_EQUAL (heartbeat.slots, 6);
          CU_ASSERT_EQUAL (heartbeat.port, 80);
        }
      json_decref (body);
    }
}

#define ROUTE_FIELDS                                                                               \
  "\"host\":\"A.example\",\"pathPrefix\":\"/p/\",\"kind\":\"safe\",\"timeout\":\"1200ms\","        \
  "\"targetLatency\":\"400ms\",\"priority\":2,\"maxAttempts\":2"
#define SERVICES_FIELD                                                                             \
  "\"services\":{\"s\":{\"healthPath\":\"/health\",\"maxConnections\":220,\"cold\":\"3s\","        \
  "\"coldPerS\":19.5}}"
#define CONFIG(routes) "{\"spec\":{\"routes\":{" routes "}," SERVICES_FIELD "}}"

#define NESTED_10 "[[[[[[[[[["
#define NESTED_100                                                                                 \
  NESTED_10 NESTED_10 NESTED_10 NESTED_10 NESTED_10 NESTED_10 NESTED_10 NESTED_10 NESTED_10        \
      NESTED_10
#define NESTED_1000                                                                                \
  NESTED_100 NESTED_100 NESTED_100 NESTED_100 NESTED_100 NESTED_100 NESTED_100 NESTED_100          \
      NESTED_100 NESTED_100
#define CLOSE_10 "]]]]]]]]]]"
#define CLOSE_100                                                                                  \
  CLOSE_10 CLOSE_10 CLOSE_10 CLOSE_10 CLOSE_10 CLOSE_10 CLOSE_10 CLOSE_10 CLOSE_10 CLOSE_10
#define CLOSE_1000                                                                                 \
  CLOSE_100 CLOSE_100 CLOSE_100 CLOSE_100 CLOSE_100 CLOSE_100 CLOSE_100 CLOSE_100 CLOSE_100        \
      CLOSE_100
#define NESTED_5000 NESTED_1000 NESTED_1000 NESTED_1000 NESTED_1000 NESTED_1000
#define CLOSE_5000 CLOSE_1000 CLOSE_1000 CLOSE_1000 CLOSE_1000 CLOSE_1000

/* Guards against one entry that keeps the whole configuration out of force, against an entry that
 * is left out without a record, and against a table with a syntax error that is applied in part. */
static const struct
{
  const char *path;
  const char *text;
  bool is_ok;
  uint32_t route_count;
  uint32_t omission_count;
} object_cases[] = {
  /* Valid configurations: all fields, an unknown field, a traffic split, and no routes. */
  { "/config/main", CONFIG ("\"r\":{" ROUTE_FIELDS ",\"service\":\"s\"}"), true, 1, 0 },
  { "/config/main", CONFIG ("\"r\":{" ROUTE_FIELDS ",\"service\":\"s\",\"colour\":\"red\"}"), true,
    1, 0 },
  { "/config/main",
    CONFIG ("\"r\":{" ROUTE_FIELDS ",\"trafficSplit\":[{\"service\":\"s\",\"weight\":9},"
            "{\"service\":\"t\",\"weight\":1}]}"),
    true, 1, 0 },
  { "/config/main", CONFIG (""), true, 0, 0 },
  /* Unknown fields whose values a JSON library rejects. */
  { "/config/main", CONFIG ("\"r\":{" ROUTE_FIELDS ",\"service\":\"s\",\"x\":1e999}"), true, 1, 0 },
  { "/config/main",
    CONFIG ("\"r\":{" ROUTE_FIELDS ",\"service\":\"s\",\"x\":99999999999999999999}"), true, 1, 0 },
  { "/config/main", CONFIG ("\"r\":{" ROUTE_FIELDS ",\"service\":\"s\",\"x\":\"\\u0000\"}"), true,
    1, 0 },
  { "/config/main",
    CONFIG ("\"r\":{" ROUTE_FIELDS ",\"service\":\"s\",\"x\":" NESTED_5000 CLOSE_5000 "}"), true, 1,
    0 },
  /* Routes without a service that can be used, which are kept so that their calls are refused: no
   * service, one that is no text, and splits with a target without a weight or name. */
  { "/config/main", CONFIG ("\"r\":{" ROUTE_FIELDS "},\"q\":{" ROUTE_FIELDS ",\"service\":\"s\"}"),
    true, 2, 1 },
  { "/config/main", CONFIG ("\"r\":{" ROUTE_FIELDS ",\"service\":7}"), true, 1, 1 },
  { "/config/main", CONFIG ("\"r\":{" ROUTE_FIELDS ",\"trafficSplit\":[{\"service\":\"s\"}]}"),
    true, 1, 1 },
  { "/config/main", CONFIG ("\"r\":{" ROUTE_FIELDS ",\"trafficSplit\":[{\"weight\":1}]}"), true, 1,
    1 },
  { "/config/main",
    CONFIG ("\"r\":{" ROUTE_FIELDS ",\"trafficSplit\":[{\"service\":\"s\",\"weight\":-1}]}"), true,
    1, 1 },
  /* A weight beyond the range of double, which is taken as the largest one. */
  { "/config/main",
    CONFIG ("\"r\":{" ROUTE_FIELDS ",\"trafficSplit\":[{\"service\":\"s\",\"weight\":1e999}]}"),
    true, 1, 0 },
  /* Routes that are left out beside others: a prefix that does not end in a slash, no host, a host
   * that is no text, and a value that is no object. */
  { "/config/main",
    CONFIG ("\"r\":{\"host\":\"a\",\"pathPrefix\":\"/p\",\"kind\":\"safe\","
            "\"timeout\":\"1s\",\"service\":\"s\"},\"q\":{" ROUTE_FIELDS ",\"service\":\"s\"}"),
    true, 1, 1 },
  { "/config/main",
    CONFIG (
        "\"r\":{\"pathPrefix\":\"/p/\",\"kind\":\"safe\",\"service\":\"s\"},\"q\":{" ROUTE_FIELDS
        ",\"service\":\"s\"}"),
    true, 1, 1 },
  { "/config/main",
    CONFIG ("\"r\":{\"host\":\"\\u0000\",\"pathPrefix\":\"/p/\",\"kind\":\"safe\","
            "\"service\":\"s\"},\"q\":{" ROUTE_FIELDS ",\"service\":\"s\"}"),
    true, 1, 1 },
  { "/config/main", CONFIG ("\"r\":17,\"q\":{" ROUTE_FIELDS ",\"service\":\"s\"}"), true, 1, 2 },
  /* A time-out without a unit, and a kind that is no text: the route is kept without them. */
  { "/config/main",
    CONFIG ("\"r\":{\"host\":\"a\",\"pathPrefix\":\"/p/\",\"kind\":\"safe\","
            "\"timeout\":1000,\"service\":\"s\"}"),
    true, 1, 1 },
  { "/config/main",
    CONFIG ("\"r\":{\"host\":\"a\",\"pathPrefix\":\"/p/\",\"kind\":7,"
            "\"timeout\":\"1s\",\"service\":\"s\"}"),
    true, 1, 1 },
  /* A service that is no object, and one without a name. */
  { "/config/main", "{\"spec\":{\"routes\":{},\"services\":{\"s\":7}}}", true, 0, 1 },
  { "/config/main", "{\"spec\":{\"routes\":{},\"services\":{\"\":{}}}}", true, 0, 1 },
  /* Syntax errors within a table, behind which entries would be missing. */
  { "/config/main", CONFIG ("\"r\":{" ROUTE_FIELDS ",\"service\":\"s\"},"), false, 0, 0 },
  { "/config/main", CONFIG ("\"r\":{" ROUTE_FIELDS ",\"service\":\"s\"} \"q\":{}"), false, 0, 0 },
  { "/config/main", CONFIG ("\"r\" {" ROUTE_FIELDS ",\"service\":\"s\"}"), false, 0, 0 },
  /* No services, no spec, and an unknown path. */
  { "/config/main", "{\"spec\":{\"routes\":{}}}", false, 0, 0 },
  { "/config/main", "{\"spec\":null}", false, 0, 0 },
  { "/config/main", "{\"spec\":{\"routes\":[],\"services\":{}}}", false, 0, 0 },
  { "/config/other", CONFIG (""), false, 0, 0 },
  /* Rollouts: valid, with durations beyond the bounds and a long version, without a version, and
   * without a duration. */
  { "/rollouts/s",
    "{\"spec\":{\"service\":\"s\",\"targetVersion\":\"v2\",\"duration\":\"12s\"},\"status\":null,"
    "\"created\":8}",
    true, 0, 0 },
  { "/rollouts/s",
    "{\"spec\":{\"service\":\"s\",\"targetVersion\":\"v2\",\"duration\":\"1e400s\"}}", true, 0, 0 },
  { "/rollouts/s", "{\"spec\":{\"service\":\"s\",\"targetVersion\":\"v2\",\"duration\":\"0ms\"}}",
    true, 0, 0 },
  { "/rollouts/s",
    "{\"spec\":{\"service\":\"s\",\"targetVersion\":\"sha256:" NESTED_100 "\",\"duration\":"
    "\"12s\"}}",
    true, 0, 0 },
  { "/rollouts/s", "{\"spec\":{\"service\":\"s\",\"duration\":\"12s\"}}", false, 0, 0 },
  { "/rollouts/s", "{\"spec\":{\"service\":\"s\",\"targetVersion\":\"v2\"}}", false, 0, 0 },
  /* Evacuations: valid, with a long name, and without a data centre; and an unknown collection. */
  { "/evacuations/z", "{\"spec\":{}}", true, 0, 0 },
  { "/evacuations/z" NESTED_100, "{\"spec\":{}}", true, 0, 0 },
  { "/evacuations/", "{\"spec\":{}}", false, 0, 0 },
  { "/evacuations/z", "null", false, 0, 0 }, /* content that could not be decoded */
  { "/else/z", "{\"spec\":{}}", false, 0, 0 },
};

static void
test_objects (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (object_cases); i++)
    {
      PhObject object = { 0 };
      PhError err;
      bool is_ok;

      ph_text_copy (object.path, sizeof object.path, object_cases[i].path);
      is_ok = platform_decode (&settings, object_cases[i].text, strlen (object_cases[i].text),
                               &object, &err);
      if (is_ok != object_cases[i].is_ok
          || (is_ok && object.kind == PH_OBJECT_ROUTES
              && (object.spec.routes->route_count != object_cases[i].route_count
                  || object.spec.routes->omission_count != object_cases[i].omission_count)))
        {
          printf ("%s: %.300s\n", object_cases[i].path, object_cases[i].text);
          CU_FAIL ("accepted or left out differently from the case");
        }
      if (i == 0 && is_ok)
        {
          const PhRouteSet *set = object.spec.routes;
          const PhRouteSpec *route = &set->routes[0];
          const PhServiceRules *rules = &ph_route_set_find_service (set, "platform/s")->rules;

          CU_ASSERT_STRING_EQUAL (ph_route_set_text (set, route->host), "a.example");
          CU_ASSERT_TRUE (route->is_idempotent && !route->is_bulk);
          CU_ASSERT_EQUAL (route->timeout, 1200 * PH_MS);
          CU_ASSERT_EQUAL (route->objective, 400 * PH_MS);
          CU_ASSERT_EQUAL (route->attempts_max, 2);
          CU_ASSERT_EQUAL (rules->cold_duration, 3 * PH_SECOND);
          CU_ASSERT_DOUBLE_EQUAL (rules->cold_calls_per_s, 19.5, 0);
          CU_ASSERT_EQUAL (rules->slot_percent, 80);
        }
      if (is_ok && object.kind == PH_OBJECT_ROUTES)
        ph_route_set_drop (object.spec.routes);
    }
}

typedef enum
{
  NUMBER_ATTEMPTS,
  NUMBER_PRIORITY,
  NUMBER_TIMEOUT,   /* seconds */
  NUMBER_OBJECTIVE, /* seconds */
  NUMBER_COLD,      /* seconds */
  NUMBER_COLD_RATE,
  NUMBER_CONNECTIONS,
  NUMBER_BODY
} Number;

static const struct
{
  const char *field;
  const char *format; /* of a configuration with the field's value */
} number_fields[] = {
#define ROUTE_WITH(field)                                                                          \
  "{\"spec\":{\"routes\":{\"r\":{\"host\":\"h\",\"pathPrefix\":\"/\",\"kind\":\"safe\","           \
  "\"service\":\"s\",\"" field "\":%s}},\"services\":{\"s\":{}}}}"
#define SERVICE_WITH(field)                                                                        \
  "{\"spec\":{\"routes\":{\"r\":{\"host\":\"h\",\"pathPrefix\":\"/\",\"kind\":\"safe\","           \
  "\"service\":\"s\"}},\"services\":{\"s\":{\"" field "\":%s}}}}"
  [NUMBER_ATTEMPTS] = { "maxAttempts", ROUTE_WITH ("maxAttempts") },
  [NUMBER_PRIORITY] = { "priority", ROUTE_WITH ("priority") },
  [NUMBER_TIMEOUT] = { "timeout", ROUTE_WITH ("timeout") },
  [NUMBER_OBJECTIVE] = { "targetLatency", ROUTE_WITH ("targetLatency") },
  [NUMBER_COLD] = { "cold", SERVICE_WITH ("cold") },
  [NUMBER_COLD_RATE] = { "coldPerS", SERVICE_WITH ("coldPerS") },
  [NUMBER_CONNECTIONS] = { "maxConnections", SERVICE_WITH ("maxConnections") },
  [NUMBER_BODY]
  = { "maxBodyBytes", "{\"spec\":{\"routes\":{\"r\":{\"host\":\"h\",\"pathPrefix\":\"/\","
                      "\"kind\":\"safe\",\"service\":\"s\"}},\"services\":{\"s\":{}},"
                      "\"limits\":{\"maxBodyBytes\":%s}}}" },
};

static double
decoded_number (const PhRouteSet *set, Number number)
{
  const PhRouteSpec *route = &set->routes[0];
  const PhServiceRules *rules = &ph_route_set_find_service (set, "platform/s")->rules;
  const double numbers[] = {
    [NUMBER_ATTEMPTS] = route->attempts_max,
    [NUMBER_PRIORITY] = route->priority,
    [NUMBER_TIMEOUT] = (double)route->timeout / PH_SECOND,
    [NUMBER_OBJECTIVE] = (double)route->objective / PH_SECOND,
    [NUMBER_COLD] = (double)rules->cold_duration / PH_SECOND,
    [NUMBER_COLD_RATE] = rules->cold_calls_per_s,
    [NUMBER_CONNECTIONS] = rules->connections_max,
    [NUMBER_BODY] = (double)set->limits.body_bytes_max,
  };

  return numbers[number];
}

#define MAX_S 1e7 /* PH_DURATION_MAX */

/* Guards against a number that is out of range or in another notation and is taken as missing, or
 * as its opposite: the least urgent priority as the most urgent one, a rate near 0 as no limit.
 * Also against a rate whose time between two calls overflows: the time of the next call would be in
 * the past, and the node would not wait for it. */
static const struct
{
  Number number;
  bool is_recorded; /* as an omission */
  const char *text;
  double expected;
} number_cases[] = {
  { NUMBER_ATTEMPTS, false, "2", 2 },
  { NUMBER_ATTEMPTS, false, "255", 255 },
  { NUMBER_ATTEMPTS, false, "256", 256 },
  { NUMBER_ATTEMPTS, false, "1e3", 1000 },
  { NUMBER_ATTEMPTS, false, "2.0", 2 },
  { NUMBER_ATTEMPTS, true, "99999999999999999999", UINT32_MAX },
  { NUMBER_ATTEMPTS, true, "1e999", UINT32_MAX },
  { NUMBER_ATTEMPTS, true, "0", 1 },
  { NUMBER_ATTEMPTS, true, "-1", 1 },
  { NUMBER_ATTEMPTS, true, "\"2\"", 1 },
  { NUMBER_PRIORITY, false, "255", 255 },
  { NUMBER_PRIORITY, true, "256", 255 },
  { NUMBER_PRIORITY, true, "1e300", 255 },
  { NUMBER_PRIORITY, true, "-1", 0 },
  { NUMBER_TIMEOUT, false, "\"10000000s\"", MAX_S },
  { NUMBER_TIMEOUT, true, "\"10000001s\"", MAX_S },
  { NUMBER_TIMEOUT, true, "\"1e400ms\"", MAX_S },
  { NUMBER_TIMEOUT, false, "\"1.5e3ms\"", 1.5 },
  { NUMBER_TIMEOUT, false, "\"0.000001s\"", 1e-6 },
  { NUMBER_TIMEOUT, true, "\"0.0000001s\"", 1e-6 },
  { NUMBER_TIMEOUT, true, "\"0ms\"", 1e-6 },
  { NUMBER_TIMEOUT, true, "\"5m\"", 0 },
  { NUMBER_TIMEOUT, true, "null", 0 },
  { NUMBER_OBJECTIVE, false, "\"100000s\"", 100000 },
  { NUMBER_OBJECTIVE, true, "\"1e300s\"", MAX_S },
  { NUMBER_OBJECTIVE, false, "\"0ms\"", 0 },
  { NUMBER_COLD, true, "\"10000001s\"", MAX_S },
  { NUMBER_COLD, false, "\"3000.5ms\"", 3.0005 },
  { NUMBER_COLD_RATE, false, "19", 19 },
  { NUMBER_COLD_RATE, false, "0.5", 0.5 },
  { NUMBER_COLD_RATE, false, "1e6", 1e6 },
  { NUMBER_COLD_RATE, true, "1e7", 1e6 },
  { NUMBER_COLD_RATE, true, "1e300", 1e6 },
  { NUMBER_COLD_RATE, true, "9007199254740993", 1e6 },
  { NUMBER_COLD_RATE, true, "1e-19", 0.001 },
  { NUMBER_COLD_RATE, true, "1e-300", 0.001 },
  { NUMBER_COLD_RATE, true, "0", 0.001 },
  { NUMBER_COLD_RATE, true, "-3", 0.001 },
  /* Not numbers: as if the field were missing, so that the rate is not limited. */
  { NUMBER_COLD_RATE, true, "\"19\"", 0 },
  { NUMBER_COLD_RATE, true, "null", 0 },
  { NUMBER_COLD_RATE, true, "[19]", 0 },
  { NUMBER_CONNECTIONS, false, "2147483647", INT32_MAX },
  { NUMBER_CONNECTIONS, true, "2147483648", INT32_MAX },
  { NUMBER_CONNECTIONS, true, "1e99", INT32_MAX },
  { NUMBER_CONNECTIONS, true, "0", 1 },
  { NUMBER_BODY, false, "4294967295", UINT32_MAX },
  { NUMBER_BODY, false, "4294967296", 4294967296.0 },
  { NUMBER_BODY, true, "1e20", 9007199254740992.0 },
};

static void
test_numbers (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (number_cases); i++)
    {
      PhObject object = { .path = "/config/main" };
      char text[512];
      int size = snprintf (text, sizeof text, number_fields[number_cases[i].number].format,
                           number_cases[i].text);
      PhError err;
      double number;

      CU_ASSERT_TRUE_FATAL (platform_decode (&settings, text, (size_t)size, &object, &err));
      number = decoded_number (object.spec.routes, number_cases[i].number);
      if (number != number_cases[i].expected
          || (object.spec.routes->omission_count != 0) != number_cases[i].is_recorded)
        {
          printf ("%s %s: %g\n", number_fields[number_cases[i].number].field, number_cases[i].text,
                  number);
          CU_FAIL ("the number or its record differs from the case");
        }
      ph_route_set_drop (object.spec.routes);
    }
}

/* What grows in a configuration. */
typedef enum
{
  GROWS_HOST,
  GROWS_PREFIX,
  GROWS_ROUTE_NAME,
  GROWS_SERVICE,
  GROWS_HEALTH_PATH,
  GROWS_SPLIT,
  GROWS_ROUTES,
  GROWS_SERVICES,
  GROWS_COUNT
} Growth;

/* Sizes or numbers at a former bound, one over it, and far over it. */
static const struct
{
  const char *name;
  uint32_t sizes[4];
} growth_cases[GROWS_COUNT] = {
  [GROWS_HOST] = { "host", { 127, 128, 190, 100000 } },
  [GROWS_PREFIX] = { "path prefix", { 127, 128, 136, 100000 } },
  [GROWS_ROUTE_NAME] = { "name of a route", { 40, 300, 4096, 100000 } },
  [GROWS_SERVICE] = { "name of a service", { 54, 55, 253, 100000 } },
  [GROWS_HEALTH_PATH] = { "health path", { 127, 128, 500, 100000 } },
  [GROWS_SPLIT] = { "services of a split", { 8, 9, 12, 2000 } },
  [GROWS_ROUTES] = { "routes", { 2048, 4096, 4097, 9000 } },
  [GROWS_SERVICES] = { "services", { 600, 1024, 1025, 9000 } },
};

#define GROWN_TEXT_MAX (1u << 20)

/* A configuration in which one thing has a size. The route of "tail.example" comes last, so that it
 * is missing if anything before keeps the rest out. */
static size_t
write_grown (char *text, Growth growth, uint32_t size, const char *tail_service)
{
  FILE *out = fmemopen (text, GROWN_TEXT_MAX, "w");
  char *fill = malloc (size + 1);
  size_t length;

  if (out == NULL || fill == NULL)
    abort ();
  memset (fill, 'x', size);
  fill[size] = '\0';
  fprintf (out, "{\"spec\":{\"routes\":{");
  if (growth == GROWS_ROUTES)
    for (uint32_t i = 0; i < size; i++)
      fprintf (
          out,
          "\"r%u\":{\"host\":\"h\",\"pathPrefix\":\"/%u/\",\"kind\":\"safe\",\"service\":\"%s\"},",
          i, i, tail_service);
  if (growth == GROWS_SPLIT)
    {
      fprintf (out, "\"split\":{\"host\":\"grown\",\"pathPrefix\":\"/"
                    "\",\"kind\":\"safe\",\"trafficSplit\":[");
      for (uint32_t i = 0; i < size; i++)
        fprintf (out, "%s{\"service\":\"s%u\",\"weight\":%d}", i > 0 ? "," : "", i, i + 1 == size);
      fprintf (out, "]},");
    }
  else
    fprintf (
        out,
        "\"%s\":{\"host\":\"%s\",\"pathPrefix\":\"/%s\",\"kind\":\"safe\",\"service\":\"%s\"},",
        growth == GROWS_ROUTE_NAME ? fill : "grown", growth == GROWS_HOST ? fill : "grown",
        growth == GROWS_PREFIX ? (fill[size - 2] = '/', fill[size - 1] = '\0', fill) : "",
        growth == GROWS_SERVICE ? fill : "s0");
  fprintf (out,
           "\"tail\":{\"host\":\"tail.example\",\"pathPrefix\":\"/\",\"kind\":\"safe\","
           "\"service\":\"%s\"}},\"services\":{",
           tail_service);
  if (growth == GROWS_SERVICES)
    for (uint32_t i = 0; i < size; i++)
      fprintf (out, "\"t%u\":{\"coldPerS\":10},", i);
  fprintf (out, "\"%s\":{\"healthPath\":\"/%s\"},\"%s\":{}}}}",
           growth == GROWS_SERVICE ? fill : "s0", growth == GROWS_HEALTH_PATH ? fill + 1 : "",
           tail_service);
  length = (size_t)ftell (out);
  fclose (out);
  free (fill);
  return length;
}

static PhServiceId
pick (PhContext *ctx, PhWorld *world, const char *host, const char *path)
{
  return ph_route_pick (ctx, world, ph_route_find (world, host, path), NULL);
}

static const char *
picked_name (PhContext *ctx, PhWorld *world, const char *host, const char *path)
{
  const PhService *service = ph_service_get (&world->services, pick (ctx, world, host, path));

  return service != NULL && service->is_configured ? service->name : "";
}

/* Guards against a large value that keeps the configuration out of force: each is applied after a
 * version with another service, whose routes must be gone. */
static void
check_growth (Growth growth, uint32_t size)
{
  const PhWorldOptions opts = { .name = "a",
                                .data_centre = "d",
                                .address = "127.0.0.1",
                                .epoch = 1,
                                .decode = platform_decode,
                                .decode_user = &settings };
  static char text[GROWN_TEXT_MAX];
  PhContext ctx = { .now = PH_SECOND };
  PhWorld *world = ph_world_new (&ctx, &opts, &(PhEffects){ 0 }, NULL);
  size_t length = write_grown (text, GROWS_HOST, 5, "old");
  char *host = malloc (size + 8);
  const char *name;

  if (world == NULL || host == NULL)
    abort ();
  CU_ASSERT_TRUE (ph_config_apply (&ctx, world, "/config/main", 1, text, length, NULL));
  CU_ASSERT_STRING_EQUAL (picked_name (&ctx, world, "tail.example", "/x"), "platform/old");
  length = write_grown (text, growth, size, "new");
  CU_ASSERT_TRUE (ph_config_apply (&ctx, world, "/config/main", 2, text, length, NULL));
  CU_ASSERT_STRING_EQUAL (picked_name (&ctx, world, "tail.example", "/x"), "platform/new");
  CU_ASSERT_EQUAL (ph_config_left_out_count (world), 0);
  CU_ASSERT_EQUAL (ph_route_find (world, "xxxxx", "/").v, 0);
  memset (host, 'x', size);
  host[size] = '\0';
  name = picked_name (&ctx, world, growth == GROWS_HOST ? host : "grown", "/");
  if (growth == GROWS_PREFIX)
    {
      host[0] = '/';
      memcpy (host + size - 1, "/y", 3);
      name = picked_name (&ctx, world, "grown", host);
      host[size - 2] = 'y';
      CU_ASSERT_EQUAL (ph_route_find (world, "grown", host).v, 0);
    }
  if (growth == GROWS_SPLIT)
    {
      char last[PH_NAME_MAX];

      snprintf (last, sizeof last, "platform/s%u", size - 1);
      CU_ASSERT_STRING_EQUAL (name, last);
    }
  else if (growth != GROWS_SERVICE)
    CU_ASSERT_STRING_EQUAL (name, "platform/s0");
  if (name[0] == '\0' || strlen (name) >= PH_NAME_MAX)
    {
      printf ("%s of %u\n", growth_cases[growth].name, size);
      CU_FAIL ("the grown entry is not in force");
    }
  if (growth == GROWS_ROUTES)
    {
      snprintf (host, size + 8, "/%u/", size - 1);
      CU_ASSERT_STRING_EQUAL (picked_name (&ctx, world, "h", host), "platform/new");
    }
  ph_world_drop (&ctx, world);
  free (host);
}

static void
test_growth (void)
{
  for (int growth = 0; growth < GROWS_COUNT; growth++)
    for (int i = 0; i < 4; i++)
      check_growth ((Growth)growth, growth_cases[growth].sizes[i]);
}

/* Guards against two names that become one where they are shortened. */
static const struct
{
  const char *a;
  const char *b;
  bool are_shortened;
} name_cases[] = {
  { "a", "b", false },
  { "a/b", "a~b", false },
  { NESTED_100 "a", NESTED_100 "b", true },
  { "a" NESTED_100, "b" NESTED_100, true },
  { NESTED_100, NESTED_100 "[", true },
  { NESTED_100 "/a", NESTED_100 "/b", true },
};

static void
test_names (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (name_cases); i++)
    {
      char a[PH_NAME_MAX];
      char b[PH_NAME_MAX];
      char again[PH_NAME_MAX];

      CU_ASSERT_TRUE (platform_service_name (name_cases[i].a, a));
      CU_ASSERT_TRUE (platform_service_name (name_cases[i].b, b));
      CU_ASSERT_TRUE (platform_service_name (name_cases[i].a, again));
      CU_ASSERT_STRING_NOT_EQUAL (a, b);
      CU_ASSERT_STRING_EQUAL (a, again);
      CU_ASSERT_EQUAL (strchr (a + strlen (PLATFORM_TEAM "/"), '/'), NULL);
      if (name_cases[i].are_shortened)
        CU_ASSERT_PTR_NOT_NULL (strchr (a, '~'));
    }
  CU_ASSERT_FALSE (platform_service_name ("", (char[PH_NAME_MAX]){ 0 }));
  CU_ASSERT_FALSE (platform_service_name (NULL, (char[PH_NAME_MAX]){ 0 }));
}

/* Objects of a decoded response: their number, and the last one. */
typedef struct
{
  uint32_t count;
  char path[PH_PATH_MAX];
  uint64_t revision;
  bool is_deleted;
} Entries;

static void
record_entry (void *user, const char *path, uint64_t revision, const char *text, size_t size)
{
  Entries *entries = user;

  (void)size;
  entries->count++;
  entries->revision = revision;
  entries->is_deleted = text == NULL;
  ph_text_copy (entries->path, sizeof entries->path, path);
}

#define OBJECT(name, revision)                                                                     \
  "{\"metadata\":{\"name\":\"" name "\",\"revision\":" revision "},\"spec\":{},\"status\":null}"

/* An object with this spec, between two ordinary ones. */
#define LIST_WITH(spec)                                                                            \
  "{\"items\":[" OBJECT ("a",                                                                      \
                         "4") ",{\"metadata\":{\"name\":\"odd\",\"revision\":5},\"spec\":" spec    \
                              "}," OBJECT ("b", "6") "],\"currentRev\":9}"

/* Guards against responses of the store that are decoded wrongly, and against error responses that
 * are taken for results of the call. Also against one odd object of another writer that makes the
 * whole list unreadable, so that no node follows it any more. */
static const struct
{
  const char *name;
  PhStoreAction action;
  int http_status;
  const char *body;
  /* The response settles the call, also with not found, conflict or gone. Otherwise the call has to
   * be repeated. */
  bool is_ok;
  bool has_more; /* another page follows */
  PhStoreStatus status;
  uint32_t entry_count; /* objects */
  uint64_t revision;
} response_cases[] = {
  { "a list of one page", PH_STORE_LIST, 200,
    "{\"items\":[" OBJECT ("a", "4") "," OBJECT ("b", "5") "],\"morePages\":false,"
                                                           "\"currentRev\":9}",
    true, false, PH_STORE_OK, 2, 9 },
  { "the first page of a list", PH_STORE_LIST, 200,
    "{\"items\":[" OBJECT ("a", "4") "],\"morePages\":true,\"currentRev\":9}", true, true,
    PH_STORE_OK, 1, 9 },
  { "a list with objects that cannot be decoded", PH_STORE_LIST, 200,
    "{\"items\":[17,{\"metadata\":{}}," OBJECT ("b", "5") "],\"currentRev\":9}", true, false,
    PH_STORE_OK, 1, 9 },
  { "an object nested 5,000 deep", PH_STORE_LIST, 200, LIST_WITH (NESTED_5000 CLOSE_5000), true,
    false, PH_STORE_OK, 3, 9 },
  { "an object with a number over 64 bits", PH_STORE_LIST, 200,
    LIST_WITH ("{\"port\":99999999999999999999}"), true, false, PH_STORE_OK, 3, 9 },
  { "an object with a number out of range", PH_STORE_LIST, 200, LIST_WITH ("{\"port\":1e999}"),
    true, false, PH_STORE_OK, 3, 9 },
  { "an object with invalid UTF-8", PH_STORE_LIST, 200, LIST_WITH ("\"\xff\""), true, false,
    PH_STORE_OK, 3, 9 },
  { "an object with a NUL character", PH_STORE_LIST, 200, LIST_WITH ("\"\\u0000\""), true, false,
    PH_STORE_OK, 3, 9 },
  { "an object whose name is empty, and ones whose name has a slash or a line feed", PH_STORE_LIST,
    200,
    "{\"items\":[" OBJECT ("", "4") "," OBJECT ("b/c", "5") "," OBJECT ("b\\n", "5") "," OBJECT (
        "b", "6") "],\"currentRev\":9}",
    true, false, PH_STORE_OK, 1, 9 },
  { "revisions that are too large, negative, a fraction or a text", PH_STORE_LIST, 200,
    "{\"items\":[" OBJECT ("a", "99999999999999999999") "," OBJECT ("a", "-4") "," OBJECT (
        "a", "4.5") "," OBJECT ("a", "\"4\"") "," OBJECT ("b", "6") "],\"currentRev\":9}",
    true, false, PH_STORE_OK, 1, 9 },
  { "a page whose last object has no valid name", PH_STORE_LIST, 200,
    "{\"items\":[" OBJECT ("a", "4") ",{\"metadata\":{\"name\":7}}],\"morePages\":true,"
                                     "\"currentRev\":9}",
    true, true, PH_STORE_OK, 1, 9 },
  { "a change with an odd object among others", PH_STORE_WATCH, 200,
    "{\"events\":[{\"object\":{\"metadata\":{\"name\":\"odd\",\"revision\":7},\"spec\":"
    "{\"x\":99999999999999999999}}},{\"deleted\":true,\"object\":" OBJECT ("a",
                                                                           "8") "}],"
                                                                                "\"currentRev\":8}",
    true, false, PH_STORE_OK, 2, 8 },
  { "a list without a revision", PH_STORE_LIST, 200, "{\"items\":[]}", false, false, PH_STORE_OK, 0,
    0 },
  { "a change", PH_STORE_WATCH, 200,
    "{\"events\":[{\"deleted\":true,\"object\":" OBJECT ("a", "7") "}],\"currentRev\":7}", true,
    false, PH_STORE_OK, 1, 7 },
  { "the history after the revision is no longer kept", PH_STORE_WATCH, 410, "", true, false,
    PH_STORE_GONE, 0, 0 },
  { "429: too many requests", PH_STORE_WATCH, 429, "", false, false, PH_STORE_OK, 0, 0 },
  { "503: the store is not available", PH_STORE_LIST, 503, "{}", false, false, PH_STORE_OK, 0, 0 },
  { "an object", PH_STORE_GET, 200, OBJECT ("a", "4"), true, false, PH_STORE_OK, 1, 4 },
  { "an odd object: nested 5,000 deep", PH_STORE_GET, 200,
    "{\"metadata\":{\"name\":\"a\",\"revision\":4},\"spec\":" NESTED_5000 CLOSE_5000 "}", true,
    false, PH_STORE_OK, 1, 4 },
  { "an odd object: a number over 64 bits", PH_STORE_GET, 200,
    "{\"metadata\":{\"name\":\"a\",\"revision\":4},\"spec\":99999999999999999999}", true, false,
    PH_STORE_OK, 1, 4 },
  { "an object that does not exist", PH_STORE_GET, 404, "", true, false, PH_STORE_NOT_FOUND, 0, 0 },
  { "an object was created", PH_STORE_CREATE, 201, OBJECT ("a", "4"), true, false, PH_STORE_OK, 0,
    4 },
  { "the condition of a write did not hold", PH_STORE_REPLACE, 409, OBJECT ("a", "6"), true, false,
    PH_STORE_CONFLICT, 0, 0 },
  { "a body that is not JSON", PH_STORE_GET, 200, "<html>", false, false, PH_STORE_OK, 0, 0 },
};

static void
test_responses (void)
{
  PhStoreDialect dialect;

  platform_store_dialect (&settings, &dialect);
  for (size_t i = 0; i < PH_ARRAY_SIZE (response_cases); i++)
    {
      const PhStoreCall call = { .action = response_cases[i].action, .path = "/contacts/a" };
      const PhStoreResponse response = { .http_status = response_cases[i].http_status,
                                         .body = response_cases[i].body,
                                         .size = strlen (response_cases[i].body) };
      Entries entries = { 0 };
      PhStoreResult result;
      PhError err;
      bool is_ok
          = dialect.decode (dialect.user, &call, &response, record_entry, &entries, &result, &err);

      if (is_ok != response_cases[i].is_ok
          || (is_ok
              && (result.status != response_cases[i].status
                  || result.revision != response_cases[i].revision
                  || result.has_more != response_cases[i].has_more))
          || entries.count != response_cases[i].entry_count)
        CU_FAIL (response_cases[i].name);
    }
}

#define ODD_NAME "a b&c?d#e%f\xc3\xa9"
#define ODD_NAME_ENCODED "a%20b%26c%3Fd%23e%25f%C3%A9"

static const PhMove odd_move = { .spec = { .to_version = "v2" } };

/* Guards against calls that are encoded wrongly, so that the store does something else. Also
 * against one odd name of another writer, last on a page, after which no further page is read. */
static const struct
{
  PhStoreCall call;
  const char *method;
  const char *target;
} call_cases[] = {
  { { .action = PH_STORE_LIST, .path = "/config/" }, "GET", "/objects/config" },
  { { .action = PH_STORE_LIST, .path = "/config/", .after_path = "/config/m" },
    "GET",
    "/objects/config?after=m" },
  { { .action = PH_STORE_LIST, .path = "/contacts/", .allows_stale = true },
    "GET",
    "/objects/contacts?staleOk=1" },
  { { .action = PH_STORE_LIST,
      .path = "/contacts/",
      .after_path = "/contacts/m",
      .allows_stale = true },
    "GET",
    "/objects/contacts?after=m&staleOk=1" },
  { { .action = PH_STORE_WATCH, .path = "/config/", .revision = 7, .wait_max_ms = 20000 },
    "GET",
    "/objects/config?watch=7&waitMs=20000" },
  { { .action = PH_STORE_GET, .path = "/contacts/z" }, "GET", "/objects/contacts/z" },
  { { .action = PH_STORE_CREATE, .path = "/contacts/z", .text = "{}" },
    "POST",
    "/objects/contacts" },
  { { .action = PH_STORE_REPLACE, .path = "/contacts/z", .text = "{}", .revision = 3 },
    "PUT",
    "/objects/contacts/z" },
  { { .action = PH_STORE_LIST, .path = "/config/", .after_path = "/config/" ODD_NAME },
    "GET",
    "/objects/config?after=" ODD_NAME_ENCODED },
  { { .action = PH_STORE_GET, .path = "/contacts/" ODD_NAME },
    "GET",
    "/objects/contacts/" ODD_NAME_ENCODED },
  { { .action = PH_STORE_REPLACE, .path = "/contacts/" ODD_NAME, .text = "{}", .revision = 3 },
    "PUT",
    "/objects/contacts/" ODD_NAME_ENCODED },
  { { .action = PH_STORE_REPORT, .path = "/rollouts/" ODD_NAME, .move = &odd_move, .revision = 3 },
    "PUT",
    "/objects/rollouts/" ODD_NAME_ENCODED "/status" },
};

static void
test_calls (void)
{
  PhStoreDialect dialect;

  platform_store_dialect (&settings, &dialect);
  for (size_t i = 0; i < PH_ARRAY_SIZE (call_cases); i++)
    {
      PhStoreRequest request;
      PhError err;

      CU_ASSERT_TRUE (dialect.encode (dialect.user, &call_cases[i].call, &request, &err));
      CU_ASSERT_STRING_EQUAL (request.method, call_cases[i].method);
      CU_ASSERT_STRING_EQUAL (request.target, call_cases[i].target);
      free (request.body);
    }
}

#define LONG_VERSION "sha256:0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

/* Guards against a status that names the shortened version of a move: its writer would not know it.
 */
static void
test_long_version (void)
{
  static const char text[] = "{\"spec\":{\"service\":\"s\",\"targetVersion\":\"" LONG_VERSION
                             "\",\"duration\":\"12s\"},\"status\":{\"state\":\"completed\","
                             "\"targetVersion\":\"" LONG_VERSION "\"},\"created\":8}";
  PhObject object = { .path = "/rollouts/s" };
  PhMove move = { .path = "/rollouts/s" };
  PhStoreCall call = { .action = PH_STORE_REPORT, .path = move.path, .text = text, .move = &move };
  PhMoveOutcome outcome;
  PhStoreRequest request;
  PhStoreDialect dialect;
  PhError err;

  platform_store_dialect (&settings, &dialect);
  CU_ASSERT_TRUE_FATAL (platform_decode (&settings, text, strlen (text), &object, &err));
  move.spec = object.spec.move;
  CU_ASSERT_TRUE (dialect.encode (dialect.user, &call, &request, &err));
  CU_ASSERT_PTR_NOT_NULL (strstr (request.body, "\"" LONG_VERSION "\""));
  CU_ASSERT_TRUE (dialect.read_report (dialect.user, text, strlen (text), &move, &outcome)
                  && outcome == PH_MOVE_DONE);
  free (request.body);
}

static const PhTest tests[] = {
  { "durations and slowdowns are parsed", test_durations },
  { "response heads are classified", test_heads },
  { "refusals get the right status", test_refusals },
  { "invalid heartbeats are rejected", test_heartbeats },
  { "entries that cannot be decoded leave the others in force", test_objects },
  { "numbers out of range are taken as the nearest", test_numbers },
  { "values of any size are in force", test_growth },
  { "long names stay different", test_names },
  { "responses of the store are decoded", test_responses },
  { "calls to the store are encoded", test_calls },
  { "a status names a long version in full", test_long_version },
};
PH_TEST_SUITE (platform, tests)
