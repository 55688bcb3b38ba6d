#include "platform.h"

#include <stdio.h>
#include <string.h>

#include "test.h"

/* The adapter of the object platform: what it reads, and what it says. */

static PlatformSettings settings = { .retry_percent = 10,
                                     .probes_per_minute = 3600,
                                     .slot_percent = 80,
                                     .queue_ms = 250,
                                     .upstream = "10.0.0.1:80" };

/* Guards against times that are read as numbers of another unit. */
static const struct
{
  const char *text;
  PhTime time; /* -1: refused */
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

      if (!platform_duration_parse (duration_cases[i].text, &time))
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

/* Guards against a success that is not the upstream's, a refusal that is taken for a failure, and a
 * failure that is taken for a refusal. */
static const struct
{
  const char *name;
  PlatformResponseHead in;
  bool is_own;
  bool is_run;
  PhReason reason; /* of the refusal or the rejection */
} head_cases[] = {
  { "success", { 200, "a", "a", true, false, false }, true, true, PH_REASON_NONE },
  { "failure", { 500, "a", "a", true, false, false }, true, true, PH_REASON_NONE },
  { "another request's", { 200, "a", "b", true, false, false }, false, true, PH_REASON_NONE },
  { "no signature",
    { 200, "a", "a", false, false, false },
    true,
    true,
    PH_REASON_MISMATCHED_RESPONSE },
  { "no id", { 200, "a", NULL, true, false, false }, true, true, PH_REASON_MISMATCHED_RESPONSE },
  { "encoded", { 200, "a", "a", true, false, true }, true, true, PH_REASON_MISMATCHED_RESPONSE },
  { "not run", { 503, "a", "a", false, true, false }, true, false, PH_REASON_SHED },
  { "503 without a promise",
    { 503, "a", "a", false, false, false },
    true,
    true,
    PH_REASON_MISMATCHED_RESPONSE },
  { "another start",
    { 421, "a", "a", false, false, false },
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
      if (head.matches_request != head_cases[i].is_own || head.is_run != head_cases[i].is_run
          || (head.is_run ? head.reject_reason : head.refusal_reason) != head_cases[i].reason)
        CU_FAIL (head_cases[i].name);
    }
}

/* Guards against a promise that a request was not run where that is not known. */
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

#define BEAT(born, info, status)                                                                   \
  "{\"address\":\"10.0.0.1:80\",\"born\":" born ",\"info\":{" info "},\"status\":{" status "}}"
#define INFO "\"service\":\"s\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":6"
#define STATUS "\"state\":\"ready\",\"sequence\":4,\"coldLeft\":\"250ms\""

/* Guards against records of other writers, with fields missing or of another type, that name an
 * upstream. */
static const struct
{
  const char *name;
  const char *text;
  bool is_ok;
} beat_cases[] = {
  { "whole", BEAT ("17", INFO, STATUS), true },
  { "without birth", "{\"address\":\"10.0.0.1:80\",\"info\":{" INFO "},\"status\":{" STATUS "}}",
    true },
  { "without the rest of its cold time", BEAT ("17", INFO, "\"state\":\"ready\",\"sequence\":4"),
    true },
  { "birth is a text", BEAT ("\"17\"", INFO, STATUS), false },
  { "birth is a fraction", BEAT ("17.5", INFO, STATUS), false },
  { "no service", BEAT ("17", "\"version\":\"v1\",\"slots\":6", STATUS), false },
  { "slots are a text", BEAT ("17", "\"service\":\"s\",\"version\":\"v1\",\"slots\":\"6\"", STATUS),
    false },
  { "no slots", BEAT ("17", "\"service\":\"s\",\"version\":\"v1\",\"slots\":0", STATUS), false },
  { "unknown state", BEAT ("17", INFO, "\"state\":\"happy\",\"sequence\":4"), false },
  { "no sequence", BEAT ("17", INFO, "\"state\":\"ready\""), false },
  { "sequence is a text", BEAT ("17", INFO, "\"state\":\"ready\",\"sequence\":\"4\""), false },
  { "cold time without a unit",
    BEAT ("17", INFO, "\"state\":\"ready\",\"sequence\":4,\"coldLeft\":\"250\""), false },
  { "another address", "{\"address\":\"10.0.0.2:80\",\"info\":{" INFO "},\"status\":{" STATUS "}}",
    false },
  { "no object", "[]", false },
  { "not JSON", "{\"address\":", false },
  { "nothing", "", false },
};

static void
test_heartbeats (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (beat_cases); i++)
    {
      char service[PH_NAME_MAX];
      PhHeartbeat heartbeat;
      json_t *body = NULL;
      PhError err;
      bool is_ok = platform_heartbeat_decode (&settings, "i-1", beat_cases[i].text,
                                              strlen (beat_cases[i].text), &body, service,
                                              &heartbeat, &err);

      if (is_ok != beat_cases[i].is_ok)
        CU_FAIL (beat_cases[i].name);
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

#define ROUTE                                                                                      \
  "\"host\":\"A.example\",\"pathPrefix\":\"/p/\",\"kind\":\"safe\",\"timeout\":\"1200ms\","        \
  "\"targetLatency\":\"400ms\",\"priority\":2,\"maxAttempts\":2"
#define SERVICES                                                                                   \
  "\"services\":{\"s\":{\"healthPath\":\"/health\",\"maxConnections\":220,\"cold\":\"3s\","        \
  "\"coldPerS\":19.5}}"
#define CONFIG(routes) "{\"spec\":{\"routes\":{" routes "}," SERVICES "}}"

/* Guards against a configuration that is taken in part, and against one that is refused for a field
 * that is not known. */
static const struct
{
  const char *path;
  const char *text;
  bool is_ok;
} object_cases[] = {
  { "/config/main", CONFIG ("\"r\":{" ROUTE ",\"service\":\"s\"}"), true },
  { "/config/main", CONFIG ("\"r\":{" ROUTE ",\"service\":\"s\",\"colour\":\"red\"}"), true },
  { "/config/main",
    CONFIG ("\"r\":{" ROUTE ",\"trafficSplit\":[{\"service\":\"s\",\"weight\":9},"
            "{\"service\":\"t\",\"weight\":1}]}"),
    true },
  { "/config/main", CONFIG (""), true },
  { "/config/main", CONFIG ("\"r\":{" ROUTE "}"), false },
  { "/config/main", CONFIG ("\"r\":{" ROUTE ",\"service\":\"a/b\"}"), false },
  { "/config/main", CONFIG ("\"r\":{" ROUTE ",\"trafficSplit\":[{\"service\":\"s\"}]}"), false },
  { "/config/main",
    CONFIG ("\"r\":{\"host\":\"a\",\"pathPrefix\":\"/p\",\"kind\":\"safe\","
            "\"timeout\":\"1s\",\"service\":\"s\"}"),
    false },
  { "/config/main",
    CONFIG ("\"r\":{\"host\":\"a\",\"pathPrefix\":\"/p/\",\"kind\":\"safe\","
            "\"timeout\":1000,\"service\":\"s\"}"),
    false },
  { "/config/main", "{\"spec\":{\"routes\":{}}}", false },
  { "/config/main", "{\"spec\":null}", false },
  { "/config/other", CONFIG (""), false },
  { "/rollouts/s",
    "{\"spec\":{\"service\":\"s\",\"targetVersion\":\"v2\",\"duration\":\"12s\"},\"status\":null,"
    "\"created\":8}",
    true },
  { "/rollouts/s", "{\"spec\":{\"service\":\"s\",\"duration\":\"12s\"}}", false },
  { "/rollouts/s", "{\"spec\":{\"service\":\"s\",\"targetVersion\":\"v2\"}}", false },
  { "/evacuations/z", "{\"spec\":{}}", true },
  { "/evacuations/", "{\"spec\":{}}", false },
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
          CU_FAIL ("another result was expected");
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

typedef struct
{
  uint32_t count;
  char path[PH_PATH_MAX];
  uint64_t revision;
  bool is_deleted;
} Entries;

static void
take_entry (void *user, const char *path, uint64_t revision, const char *text, size_t size)
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

/* Guards against answers of the store that are read as something else. */
static const struct
{
  const char *name;
  PhStoreAction action;
  int http;
  const char *body;
  bool is_ok;
  bool has_more;
  PhStoreStatus status;
  uint32_t entries;
  uint64_t revision;
} answer_cases[] = {
  { "list", PH_STORE_LIST, 200,
    "{\"items\":[" OBJECT ("a", "4") "," OBJECT ("b", "5") "],\"morePages\":false,"
                                                           "\"currentRev\":9}",
    true, false, PH_STORE_OK, 2, 9 },
  { "first page", PH_STORE_LIST, 200,
    "{\"items\":[" OBJECT ("a", "4") "],\"morePages\":true,\"currentRev\":9}", true, true,
    PH_STORE_OK, 1, 9 },
  { "list with an object that cannot be read", PH_STORE_LIST, 200,
    "{\"items\":[17,{\"metadata\":{}}," OBJECT ("b", "5") "],\"currentRev\":9}", true, false,
    PH_STORE_OK, 1, 9 },
  { "list without a revision", PH_STORE_LIST, 200, "{\"items\":[]}", false, false, PH_STORE_OK, 0,
    0 },
  { "change", PH_STORE_WATCH, 200,
    "{\"events\":[{\"deleted\":true,\"object\":" OBJECT ("a", "7") "}],\"currentRev\":7}", true,
    false, PH_STORE_OK, 1, 7 },
  { "history is gone", PH_STORE_WATCH, 410, "", true, false, PH_STORE_GONE, 0, 0 },
  { "busy", PH_STORE_WATCH, 429, "", false, false, PH_STORE_OK, 0, 0 },
  { "down", PH_STORE_LIST, 503, "{}", false, false, PH_STORE_OK, 0, 0 },
  { "object", PH_STORE_GET, 200, OBJECT ("a", "4"), true, false, PH_STORE_OK, 1, 4 },
  { "no object", PH_STORE_GET, 404, "", true, false, PH_STORE_NOT_FOUND, 0, 0 },
  { "created", PH_STORE_CREATE, 201, OBJECT ("a", "4"), true, false, PH_STORE_OK, 0, 4 },
  { "conflict", PH_STORE_REPLACE, 409, OBJECT ("a", "6"), true, false, PH_STORE_CONFLICT, 0, 0 },
  { "not JSON", PH_STORE_GET, 200, "<html>", false, false, PH_STORE_OK, 0, 0 },
};

static void
test_answers (void)
{
  PhStoreDialect dialect;

  platform_store_dialect (&settings, &dialect);
  for (size_t i = 0; i < PH_ARRAY_SIZE (answer_cases); i++)
    {
      const PhStoreCall call = { .action = answer_cases[i].action, .path = "/contacts/a" };
      const PhStoreResponse response = { .http_status = answer_cases[i].http,
                                         .body = answer_cases[i].body,
                                         .size = strlen (answer_cases[i].body) };
      Entries entries = { 0 };
      PhStoreResult answer;
      PhError err;
      bool is_ok
          = dialect.decode (dialect.user, &call, &response, take_entry, &entries, &answer, &err);

      if (is_ok != answer_cases[i].is_ok
          || (is_ok
              && (answer.status != answer_cases[i].status
                  || answer.revision != answer_cases[i].revision
                  || answer.has_more != answer_cases[i].has_more))
          || entries.count != answer_cases[i].entries)
        CU_FAIL (answer_cases[i].name);
    }
}

/* Guards against calls that the store would read as something else. */
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
  { "durations and loads", test_durations },
  { "heads of responses", test_heads },
  { "statuses of refusals", test_refusals },
  { "heartbeats", test_heartbeats },
  { "objects", test_objects },
  { "answers of the store", test_answers },
  { "calls to the store", test_calls },
};
PH_TEST_SUITE (platform, tests)
