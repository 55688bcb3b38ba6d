/*
 * Measures a set of 4,000 routes of the object platform: the time of a decision for a request, the
 * time to apply a new version, which is the longest tick that it causes, and the memory that it
 * takes. Without arguments; prints a table. It has no goal of its own: builds are compared in one
 * run, see docs/measurements.md.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "platform.h"
#include "pollenhitch/world.h"

#define ROUTES 4000
#define SERVICES 40
#define KEPT_ROUTES 1900 /* both versions fit the table of older builds */
#define REQUESTS 2000000
#define VERSIONS 20

static PlatformSettings settings = { .queue_ms = 250 };

static double
now_us (void)
{
  struct timespec time;

  clock_gettime (CLOCK_MONOTONIC, &time);
  return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

static char *
write_config (uint32_t routes, uint32_t version, size_t *size)
{
  char *text;
  FILE *out = open_memstream (&text, size);

  if (out == NULL)
    abort ();
  fprintf (out, "{\"spec\":{\"version\":\"%08x\",\"routes\":{", version);
  for (uint32_t i = 0; i < routes; i++)
    fprintf (out,
             "%s\"route-%u\":{\"host\":\"host%u.example\",\"pathPrefix\":\"/path%u/\",\"kind\":"
             "\"safe\",\"timeout\":\"1500ms\",\"targetLatency\":\"400ms\",\"priority\":1,"
             "\"maxAttempts\":2,\"service\":\"service-%u\"}",
             i > 0 ? "," : "", i, i % 50, i, (i + version) % SERVICES);
  fprintf (out, "},\"services\":{");
  for (uint32_t i = 0; i < SERVICES; i++)
    fprintf (out, "%s\"service-%u\":{\"healthPath\":\"/health\",\"coldPerS\":19}", i > 0 ? "," : "",
             i);
  fprintf (out, "}},\"status\":null,\"created\":1}");
  fclose (out);
  return text;
}

static PhWorld *
new_world (PhContext *ctx)
{
  const PhWorldOptions opts = { .name = "a",
                                .data_centre = "d",
                                .address = "127.0.0.1",
                                .epoch = 1,
                                .decode = platform_decode,
                                .decode_user = &settings };
  PhWorld *world;

  *ctx = (PhContext){ .now = PH_SECOND };
  world = ph_world_new (ctx, &opts, &(PhEffects){ 0 }, NULL);
  if (world == NULL)
    abort ();
  return world;
}

static double
apply (PhContext *ctx, PhWorld *world, uint32_t routes, uint32_t version)
{
  size_t size;
  char *text = write_config (routes, version, &size);
  double start = now_us ();

  if (!ph_config_apply (ctx, world, "/config/main", version, text, size, NULL))
    abort ();
  start = now_us () - start;
  free (text);
  return start;
}

/* Resident memory in KiB. */
static long
resident_kib (void)
{
  FILE *file = fopen ("/proc/self/statm", "r");
  long total = 0;
  long resident = 0;

  if (file == NULL || fscanf (file, "%ld %ld", &total, &resident) != 2)
    abort ();
  fclose (file);
  return resident * 4;
}

int
main (void)
{
  PhContext ctx;
  PhWorld *world = new_world (&ctx);
  long before;
  double worst = 0;
  double sum = 0;
  double start;
  static char hosts[ROUTES][64];
  static char paths[ROUTES][64];
  uint32_t found = 0;

  malloc_trim (0);
  before = resident_kib ();
  apply (&ctx, world, ROUTES, 1);
  malloc_trim (0);
  printf ("memory for %d routes: %ld KiB\n", ROUTES, resident_kib () - before);
  for (uint32_t i = 0; i < ROUTES; i++)
    {
      snprintf (hosts[i], sizeof hosts[i], "host%u.example", i % 50);
      snprintf (paths[i], sizeof paths[i], "/path%u/some/item?x=1", i);
    }
  start = now_us ();
  for (uint32_t i = 0; i < REQUESTS; i++)
    found += ph_route_find (world, hosts[i % ROUTES], paths[i % ROUTES]).v != 0;
  printf ("decision: %.0f ns (with %.0f%% found)\n", (now_us () - start) * 1e3 / REQUESTS,
          100.0 * found / REQUESTS);
  ph_world_drop (&ctx, world);
  world = new_world (&ctx);
  for (uint32_t version = 1; version <= VERSIONS; version++)
    {
      double time = apply (&ctx, world, KEPT_ROUTES, version);

      worst = time > worst ? time : worst;
      sum += time;
    }
  printf ("apply %d routes: mean %.1f ms, longest %.1f ms\n", KEPT_ROUTES, sum / VERSIONS / 1e3,
          worst / 1e3);
  ph_world_drop (&ctx, world);
  world = new_world (&ctx);
  printf ("apply %d routes at the start: %.1f ms\n", ROUTES, apply (&ctx, world, ROUTES, 1) / 1e3);
  printf ("apply %d routes again: %.1f ms\n", ROUTES, apply (&ctx, world, ROUTES, 2) / 1e3);
  ph_world_drop (&ctx, world);
  return 0;
}
