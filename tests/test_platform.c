#include "platform.h"

#include <stdio.h>
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

/* Guards against an invalid configuration that is applied in part, and against a valid one that is
 * rejected because of an unknown field. */
static const struct
{
  const char *path;
  const char *text;
  bool is_ok;
} object_cases[] = {
  /* Valid configurations: all fields, an unknown field, a traffic split, and no routes. */
  { "/config/main", CONFIG ("\"r\":{" ROUTE_FIELDS ",\"service\":\"s\"}"), true },
  { "/config/main", CONFIG ("\"r\":{" ROUTE_FIELDS ",\"service\":\"s\",\"colour\":\"red\"}"),
    true },
  { "/config/main",
    CONFIG ("\"r\":{" ROUTE_FIELDS ",\"trafficSplit\":[{\"service\":\"s\",\"weight\":9},"
            "{\"service\":\"t\",\"weight\":1}]}"),
    true },
  { "/config/main", CONFIG (""), true },
  /* Invalid routes: no service, a service name with a slash, a split without a weight, a path
   * prefix that does not end in a slash, and a timeout without a unit. */
  { "/config/main", CONFIG ("\"r\":{" ROUTE_FIELDS "}"), false },
  { "/config/main", CONFIG ("\"r\":{" ROUTE_FIELDS ",\"service\":\"a/b\"}"), false },
  { "/config/main", CONFIG ("\"r\":{" ROUTE_FIELDS ",\"trafficSplit\":[{\"service\":\"s\"}]}"),
    false },
  { "/config/main",
    CONFIG ("\"r\":{\"host\":\"a\",\"pathPrefix\":\"/p\",\"kind\":\"safe\","
            "\"timeout\":\"1s\",\"service\":\"s\"}"),
    false },
  { "/config/main",
    CONFIG ("\"r\":{\"host\":\"a\",\"pathPrefix\":\"/p/\",\"kind\":\"safe\","
            "\"timeout\":1000,\"service\":\"s\"}"),
    false },
  /* No services, no spec, and an unknown path. */
  { "/config/main", "{\"spec\":{\"routes\":{}}}", false },
  { "/config/main", "{\"spec\":null}", false },
  { "/config/other", CONFIG (""), false },
  /* Rollouts: valid, without a version, and without a duration. */
  { "/rollouts/s",
    "{\"spec\":{\"service\":\"s\",\"targetVersion\":\"v2\",\"duration\":\"12s\"},\"status\":null,"
    "\"created\":8}",
    true },
  { "/rollouts/s", "{\"spec\":{\"service\":\"s\",\"duration\":\"12s\"}}", false },
  { "/rollouts/s", "{\"spec\":{\"service\":\"s\",\"targetVersion\":\"v2\"}}", false },
  /* Evacuations: valid, and without a data centre; and an unknown collection. */
  { "/evacuations/z", "{\"spec\":{}}", true },
  { "/evacuations/", "{\"spec\":{}}", false },
  { "/evacuations/z", "null", false }, /* content that could not be decoded */
  { "/else/z", "{\"spec\":{}}", false },
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
      if (is_ok != object_cases[i].is_ok)
        {
          printf ("%s: %s\n", object_cases[i].path, object_cases[i].text);
          CU_FAIL ("accepted or rejected differently from the case");
        }
      if (i == 0 && is_ok)
        {
          const PhRouteSpec *route = &object.spec.routes->routes[0];
          const PhServiceRules *rules = &object.spec.routes->services[0].rules;

          CU_ASSERT_STRING_EQUAL (route->host, "a.example");
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

/* Guards against a rate whose time between two calls overflows: the time of the next call would be
 * in the past, and the node would not wait for it. */
static const struct
{
  const char *text;
  double calls_per_s; /* 0: not limited */
} cold_rate_cases[] = {
  { "19", 19 },    { "0.5", 0.5 }, { "0", 0 },     { "-3", 0 },
  { "1e-300", 0 }, { "1e-19", 0 }, { "1e300", 0 }, { "1e7", 0 },
  { "\"19\"", 0 }, { "null", 0 },  { "[19]", 0 },  { "9007199254740993", 0 },
};

static void
test_cold_rates (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (cold_rate_cases); i++)
    {
      PhObject object = { .path = "/config/main" };
      char text[256];
      int size = snprintf (text, sizeof text,
                           "{\"spec\":{\"routes\":{},\"services\":{\"s\":{\"coldPerS\":%s}}}}",
                           cold_rate_cases[i].text);
      PhError err;

      CU_ASSERT_TRUE_FATAL (platform_decode (&settings, text, (size_t)size, &object, &err));
      if (object.spec.routes->services[0].rules.cold_calls_per_s != cold_rate_cases[i].calls_per_s)
        CU_FAIL (cold_rate_cases[i].text);
      ph_route_set_drop (object.spec.routes);
    }
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

static const PhTest tests[] = {
  { "durations and slowdowns are parsed", test_durations },
  { "response heads are classified", test_heads },
  { "refusals get the right status", test_refusals },
  { "invalid heartbeats are rejected", test_heartbeats },
  { "invalid objects are rejected", test_objects },
  { "rates of cold upstreams are in range", test_cold_rates },
  { "responses of the store are decoded", test_responses },
  { "calls to the store are encoded", test_calls },
};
PH_TEST_SUITE (platform, tests)
