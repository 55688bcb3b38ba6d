/*
 * Decodes mutated texts of the object platform: configuration, moves, heartbeats
 * and responses of the store. Arguments: number of inputs, seed (default 1). The
 * same arguments give the same inputs. The last line is "N passed, N failed".
 *
 * Guards against reads beyond the end of the input, and against accepted records
 * whose values are out of range.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform.h"

#define INPUT_MAX 1024
#define MUTATIONS_MAX 6
#define COUNT(array) (sizeof (array) / sizeof *(array))

static PlatformSettings settings = { .upstream = "10.0.0.1:80", .queue_ms = 250 };

/* Decodes a text. Returns whether it was refused or all decoded values are in range. */
typedef bool (*CheckFunc) (const char *path, const char *text, size_t size);

static bool
check_object (const char *path, const char *text, size_t size)
{
  PhObject object = { 0 };
  PhError err = { 0 };
  bool is_ok = true;

  ph_text_copy (object.path, sizeof object.path, path);
  if (!platform_decode (&settings, text, size, &object, &err))
    return err.code != PH_ERROR_NONE;
  if (object.kind == PH_OBJECT_MOVE)
    return object.spec.move.duration > 0 && object.spec.move.to_version[0] != '\0';
  if (object.kind != PH_OBJECT_ROUTES)
    return true;
  for (uint32_t i = 0; i < object.spec.routes->route_count; i++)
    {
      const PhRouteSet *set = object.spec.routes;
      const PhRouteSpec *route = &set->routes[i];
      const char *prefix = ph_route_set_text (set, route->prefix);

      /* A route without a service that can be used is recorded. */
      is_ok = is_ok && route->timeout >= 0 && (route->target_count >= 1 || set->omission_count > 0)
              && route->first_target + route->target_count <= set->target_count
              && ph_route_set_text (set, route->host)[0] != '\0'
              && route->prefix_size == strlen (prefix) && prefix[0] == '/'
              && prefix[route->prefix_size - 1] == '/';
      for (uint32_t k = 0; k < route->target_count; k++)
        is_ok = is_ok && set->targets[route->first_target + k].service.v != 0
                && set->targets[route->first_target + k].weight >= 0;
    }
  ph_route_set_drop (object.spec.routes);
  return is_ok;
}

static bool
check_heartbeat (const char *path, const char *text, size_t size)
{
  char service[PH_NAME_MAX];
  PhHeartbeat heartbeat;
  json_t *body = NULL;
  PhError err = { 0 };
  bool is_ok
      = platform_heartbeat_decode (&settings, path, text, size, &body, service, &heartbeat, &err);

  is_ok = is_ok ? heartbeat.slots >= 1 && heartbeat.cold_time_left >= 0 && heartbeat.port == 80
                      && heartbeat.version != NULL
                : err.code != PH_ERROR_NONE;
  json_decref (body);
  return is_ok;
}

static void
check_entry (void *user, const char *path, uint64_t revision, const char *text, size_t size)
{
  bool *is_ok = user;

  *is_ok = *is_ok && path[0] == '/' && revision > 0 && (text != NULL || size == 0);
}

static bool
check_store_response (const char *path, const char *text, size_t size)
{
  static const PhStoreAction actions[]
      = { PH_STORE_LIST, PH_STORE_WATCH, PH_STORE_GET, PH_STORE_REPLACE };
  PhStoreDialect dialect;
  bool is_ok = true;

  platform_store_dialect (&settings, &dialect);
  for (size_t i = 0; i < COUNT (actions); i++)
    {
      const PhStoreCall call = { .action = actions[i], .path = path };
      const PhStoreResponse response = { .http_status = 200, .body = text, .size = size };
      PhStoreResult result;
      PhError err = { 0 };

      if (!dialect.decode (dialect.user, &call, &response, check_entry, &is_ok, &result, &err)
          && err.code == PH_ERROR_NONE)
        return false;
    }
  return is_ok;
}

typedef struct
{
  CheckFunc check;
  const char *path;
  const char *text;
} SampleInput;

static const SampleInput samples[] = {
  { check_object, "/config/main",
    "{\"spec\":{\"version\":\"00000007\",\"routes\":{\"r\":{\"host\":\"a.example\",\"pathPrefix\":"
    "\"/p/\",\"kind\":\"safe\",\"timeout\":\"1200ms\",\"targetLatency\":\"400ms\",\"priority\":2,"
    "\"trafficSplit\":[{\"service\":\"s\",\"weight\":90},{\"service\":\"t\",\"weight\":10}],"
    "\"maxAttempts\":2}},\"services\":{\"s\":{\"healthPath\":\"/health\",\"maxConnections\":220,"
    "\"cold\":\"3s\",\"coldPerS\":19.0}},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1,"
    "\"idleTimeout\":\"15000ms\"}}}" },
  { check_object, "/rollouts/s",
    "{\"spec\":{\"service\":\"s\",\"targetVersion\":\"v2\",\"duration\":\"12s\"},\"status\":"
    "{\"state\":\"running\",\"targetVersion\":\"v2\"},\"created\":8}" },
  { check_object, "/evacuations/z", "{\"spec\":{},\"status\":null,\"created\":7}" },
  { check_heartbeat, "i-7f3a91c2",
    "{\"address\":\"10.0.0.1:80\",\"born\":1796394680036,\"info\":{\"service\":\"s\",\"version\":"
    "\"v1\",\"zone\":\"z\",\"slots\":6},\"status\":{\"state\":\"ready\",\"sequence\":4,"
    "\"coldLeft\":\"0ms\"}}" },
  { check_store_response, "/contacts/z",
    "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":4,\"created\":3},\"spec\":{},"
    "\"status\":"
    "null}],\"morePages\":false,\"currentRev\":530}" },
  { check_store_response, "/config/main",
    "{\"events\":[{\"deleted\":false,\"object\":{\"metadata\":{\"name\":\"main\",\"revision\":9},"
    "\"spec\":{\"a\":1},\"status\":null}}],\"currentRev\":533}" },
};

static void
mutate (PhRandom *random, char *text)
{
  static const char alphabet[] = "{}[]\":,0123456789.eE-+tnsm/ \\u\x80\xff";
  size_t size = strlen (text);
  size_t at = size > 0 ? ph_random_below (random, (uint32_t)size) : 0;

  switch (ph_random_below (random, 4))
    {
    case 0:
      text[at] = alphabet[ph_random_below (random, sizeof alphabet - 1)];
      break;
    case 1:
      text[at] = '\0';
      break;
    case 2:
      memmove (text + at, text + at + (at < size), size - at);
      break;
    default:
      if (size + 1 < INPUT_MAX)
        {
          memmove (text + at + 1, text + at, size - at + 1);
          text[at] = alphabet[ph_random_below (random, sizeof alphabet - 1)];
        }
      break;
    }
}

int
main (int argc, char **argv)
{
  unsigned long input_count = argc > 1 ? strtoul (argv[1], NULL, 10) : 10000;
  unsigned long first_seed = argc > 2 ? strtoul (argv[2], NULL, 10) : 1;
  unsigned long failed = 0;

  for (unsigned long i = 0; i < input_count; i++)
    {
      PhRandom random;
      const SampleInput *sample;
      char text[INPUT_MAX];
      char *copy;
      uint32_t mutations;

      ph_random_seed (&random, first_seed + i);
      sample = &samples[ph_random_below (&random, COUNT (samples))];
      snprintf (text, INPUT_MAX, "%s", sample->text);
      mutations = ph_random_below (&random, MUTATIONS_MAX + 1);
      for (uint32_t j = 0; j < mutations; j++)
        mutate (&random, text);
      /* In a block of its exact size, so that the sanitizer detects reads beyond the end. */
      copy = strdup (text);
      if (copy == NULL)
        return 1;
      if (!sample->check (sample->path, copy, strlen (copy)))
        {
          failed++;
          printf ("seed %lu: %s\n", first_seed + i, text);
        }
      free (copy);
    }
  printf ("%lu passed, %lu failed\n", input_count - failed, failed);
  return failed != 0;
}
