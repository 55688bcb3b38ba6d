/*
 * Applies valid configurations of the object platform whose sizes are drawn over several orders of
 * magnitude, and compares the routes of requests with a naive model. Arguments: number of requests,
 * seed (default 1). The same arguments give the same inputs. The last line is "N passed, N failed".
 *
 * Guards against a value of some size or notation that keeps a configuration, or another entry of
 * it, out of force, against routes that are confused with each other, and against routes of an
 * earlier configuration that stay in force.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform.h"
#include "pollenhitch/world.h"

#define REQUESTS_PER_CONFIG 200
#define TEXT_BYTES_MAX (1000u * 1024)
#define ROUTES_MAX 3000
#define NAME_SIZE_MAX 20000
#define POOL_SIZE 8 /* hosts and services that routes share */
#define ALPHABET "abcdefghijklmnopqrstuvwxyz0123456789-"

typedef struct
{
  char *host; /* borrowed from the pool */
  char *prefix;
  char *service; /* borrowed from the pool */
} ModelRoute;

typedef struct
{
  PhRandom random;
  PhContext ctx;
  PhWorld *world;
  char *hosts[POOL_SIZE];
  char *services[POOL_SIZE];
  ModelRoute routes[ROUTES_MAX];
  uint32_t route_count;
  ModelRoute
      old_routes[ROUTES_MAX]; /* of the configuration before; hosts and services are not used */
  uint32_t old_count;
  uint64_t revision;
} Model;

static PlatformSettings settings = { .queue_ms = 250 };

/* A number from 1 to max, of any order of magnitude with the same probability. */
static uint32_t
draw_size (PhRandom *random, uint32_t max)
{
  return (uint32_t)exp (ph_random_unit (random) * log (max));
}

static char *
draw_name (PhRandom *random, uint32_t size)
{
  char *name = malloc (size + 1);

  if (name == NULL)
    abort ();
  for (uint32_t i = 0; i < size; i++)
    name[i] = ALPHABET[ph_random_below (random, sizeof ALPHABET - 1)];
  name[size] = '\0';
  return name;
}

/* A prefix of one to four segments. Every second one continues that of an earlier route, so that
 * many prefixes of a host begin alike. */
static char *
draw_prefix (Model *m, uint32_t index)
{
  const char *begin = index > 0 && ph_random_below (&m->random, 2) == 0
                          ? m->routes[ph_random_below (&m->random, index)].prefix
                          : "/";
  char *name = draw_name (&m->random, draw_size (&m->random, NAME_SIZE_MAX / 8));
  char *prefix;

  if (asprintf (&prefix, "%s%s/", strlen (begin) < NAME_SIZE_MAX ? begin : "/", name) < 0)
    abort ();
  free (name);
  return prefix;
}

static void
write_route (Model *m, FILE *out, const ModelRoute *route, uint32_t index)
{
  static const char *const numbers[] = { "1", "2.0", "3e0", "300", "1e30", "99999999999999999999" };
  static const char *const times[] = { "1ms", "1500ms", "2.5s", "1e3s", "99999999999s", "1e400s" };
  static const char *const unknown[]
      = { "1e999", "99999999999999999999", "\"\\u0000\"", "[[[{}]]]", "{\"host\":\"no\"}" };

  fprintf (out,
           "%s\"r%u\":{\"x\":%s,\"host\":\"%s\",\"pathPrefix\":\"%s\",\"kind\":\"safe\","
           "\"timeout\":\"%s\",\"targetLatency\":\"%s\",\"priority\":%s,\"maxAttempts\":%s,",
           index > 0 ? "," : "", index, unknown[ph_random_below (&m->random, 5)], route->host,
           route->prefix, times[ph_random_below (&m->random, 6)],
           times[ph_random_below (&m->random, 6)], numbers[ph_random_below (&m->random, 6)],
           numbers[ph_random_below (&m->random, 6)]);
  if (ph_random_below (&m->random, 3) != 0)
    {
      fprintf (out, "\"service\":\"%s\"}", route->service);
      return;
    }
  /* All weight is at the service of the model. */
  fprintf (out, "\"trafficSplit\":[");
  for (uint32_t i = draw_size (&m->random, 30); i > 0; i--)
    fprintf (out, "{\"service\":\"other%u\",\"weight\":0},", i);
  fprintf (out, "{\"service\":\"%s\",\"weight\":%s}]}", route->service,
           numbers[ph_random_below (&m->random, 6)]);
}

static void
free_routes (ModelRoute *routes, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    free (routes[i].prefix);
}

/* Draws the next configuration. Its text is at most TEXT_BYTES_MAX long and a route. */
static char *
draw_config (Model *m, size_t *size)
{
  uint32_t count = draw_size (&m->random, ROUTES_MAX);
  char *text;
  FILE *out = open_memstream (&text, size);

  if (out == NULL)
    abort ();
  free_routes (m->old_routes, m->old_count);
  memcpy (m->old_routes, m->routes, sizeof m->old_routes);
  m->old_count = m->route_count;
  for (int i = 0; i < POOL_SIZE; i++)
    {
      free (m->hosts[i]);
      free (m->services[i]);
      m->hosts[i] = draw_name (&m->random, draw_size (&m->random, NAME_SIZE_MAX));
      m->services[i] = draw_name (&m->random, draw_size (&m->random, NAME_SIZE_MAX));
    }
  fprintf (out, "{\"spec\":{\"routes\":{");
  for (m->route_count = 0; m->route_count < count && ftell (out) < (long)TEXT_BYTES_MAX;
       m->route_count++)
    {
      ModelRoute *route = &m->routes[m->route_count];

      route->host = m->hosts[ph_random_below (&m->random, POOL_SIZE)];
      route->service = m->services[ph_random_below (&m->random, POOL_SIZE)];
      route->prefix = draw_prefix (m, m->route_count);
      write_route (m, out, route, m->route_count);
    }
  fprintf (out, "},\"services\":{\"a\":{\"coldPerS\":1e-9,\"maxConnections\":1e30}}}}");
  fclose (out);
  return text;
}

/* Service of a request, NULL for none: the longest prefix counts, and of two equal routes the last.
 */
static const char *
find_in_model (const Model *m, const char *host, const char *path)
{
  const ModelRoute *best = NULL;

  for (uint32_t i = 0; i < m->route_count; i++)
    {
      const ModelRoute *route = &m->routes[i];

      if (strcmp (route->host, host) == 0
          && strncmp (path, route->prefix, strlen (route->prefix)) == 0
          && (best == NULL || strlen (route->prefix) >= strlen (best->prefix)))
        best = route;
    }
  return best != NULL ? best->service : NULL;
}

static bool
check_request (Model *m, const char *host, const char *path)
{
  const char *service = find_in_model (m, host, path);
  PhRouteId route = ph_route_find (m->world, host, path);
  PhServiceId id = ph_route_pick (&m->ctx, m->world, route, NULL);
  const PhService *found = ph_service_get (&m->world->services, id);
  char name[PH_NAME_MAX];

  if (service == NULL)
    return route.v == 0;
  return found != NULL && platform_service_name (service, name) && strcmp (found->name, name) == 0
         && found->is_configured;
}

/* A path of this or of the previous configuration, or one that differs from it at one place. *host
 * is mostly that of its route. */
static char *
draw_path (Model *m, const char **host)
{
  bool is_old = m->old_count > 0 && ph_random_below (&m->random, 8) == 0;
  const ModelRoute *routes = is_old ? m->old_routes : m->routes;
  const ModelRoute *route
      = &routes[ph_random_below (&m->random, is_old ? m->old_count : m->route_count)];
  char *path;

  *host = is_old || ph_random_below (&m->random, 4) == 0
              ? m->hosts[ph_random_below (&m->random, POOL_SIZE)]
              : route->host;
  if (asprintf (&path, "%sx%s", route->prefix,
                ph_random_below (&m->random, 2) == 0 ? "?a=/b/" : "/y")
      < 0)
    abort ();
  if (ph_random_below (&m->random, 4) == 0)
    path[1 + ph_random_below (&m->random, (uint32_t)strlen (path) - 1)] = '/';
  return path;
}

int
main (int argc, char **argv)
{
  unsigned long request_count = argc > 1 ? strtoul (argv[1], NULL, 10) : 10000;
  unsigned long seed = argc > 2 ? strtoul (argv[2], NULL, 10) : 1;
  static Model m;
  const PhWorldOptions opts = { .name = "a",
                                .data_centre = "d",
                                .address = "127.0.0.1",
                                .epoch = 1,
                                .service_capacity = 32768,
                                .decode = platform_decode,
                                .decode_user = &settings };
  unsigned long failed = 0;

  ph_random_seed (&m.random, seed);
  m.ctx.now = PH_SECOND;
  m.world = ph_world_new (&m.ctx, &opts, &(PhEffects){ 0 }, NULL);
  if (m.world == NULL)
    return 1;
  for (unsigned long i = 0; i < request_count; i++)
    {
      bool is_ok = true;
      const char *host;
      char *path;

      if (i % REQUESTS_PER_CONFIG == 0)
        {
          size_t size;
          char *text = draw_config (&m, &size);

          is_ok = ph_config_apply (&m.ctx, m.world, "/config/main", ++m.revision, text, size, NULL)
                  && m.world->route_set->route_count == m.route_count;
          free (text);
        }
      path = draw_path (&m, &host);
      is_ok = is_ok && check_request (&m, host, path);
      if (!is_ok)
        {
          failed++;
          printf ("seed %lu, configuration %lu, request %lu: %.80s\n", seed,
                  i / REQUESTS_PER_CONFIG, i, path);
        }
      free (path);
    }
  free_routes (m.routes, m.route_count);
  free_routes (m.old_routes, m.old_count);
  for (int i = 0; i < POOL_SIZE; i++)
    {
      free (m.hosts[i]);
      free (m.services[i]);
    }
  ph_world_drop (&m.ctx, m.world);
  printf ("%lu passed, %lu failed\n", request_count - failed, failed);
  return failed != 0;
}
