#include "pollenhitch/route.h"

#include <stdio.h>
#include <string.h>

#include "fixture.h"
#include "test.h"

/* Routes: which route a request matches, and how calls are shared between the services of a
 * route. */

typedef struct
{
  const char *host;
  const char *prefix;
  const char *service;
} RouteEntry;

static const RouteEntry route_entries[] = {
  { "a.example", "/", "t/root" },
  { "a.example", "/read/", "t/read" },
  { "a.example", "/read/deep/", "t/deep" },
  { "b.example", "/read/", "t/other" },
};

static void
apply_entries (Fixture *fixture, const RouteEntry *entries, uint32_t count)
{
  PhRouteSet *set = ph_route_set_new (count, count);

  for (uint32_t i = 0; i < count; i++)
    {
      PhRouteSpec *spec = &set->routes[set->route_count++];

      ph_text_copy (spec->host, sizeof spec->host, entries[i].host);
      ph_text_copy (spec->prefix, sizeof spec->prefix, entries[i].prefix);
      spec->target_count = 1;
      spec->targets[0].weight = 1;
      ph_text_copy (spec->targets[0].service, PH_NAME_MAX, entries[i].service);
      ph_text_copy (set->services[set->service_count++].service, PH_NAME_MAX, entries[i].service);
    }
  CU_ASSERT_TRUE (ph_route_apply (&fixture->ctx, fixture->world, set, NULL));
  ph_route_set_drop (set);
}

/* Guards against a short prefix that hides a longer one, a match that ends within a path segment,
 * and a port or upper-case letters in the host that prevent a match. */
static const struct
{
  const char *host;
  const char *path;
  const char *service; /* NULL for no route */
} match_cases[] = {
  { "a.example", "/read/x", "t/read" },
  { "a.example", "/read/", "t/read" },
  { "a.example", "/read", "t/root" },
  { "a.example", "/readers/x", "t/root" },
  { "a.example", "/read/deep/x/y", "t/deep" },
  { "a.example", "/read/deep", "t/read" },
  { "a.example", "/read/x?y=/read/deep/", "t/read" },
  { "A.Example:8080", "/read/x", "t/read" },
  { "b.example", "/read/x", "t/other" },
  { "b.example", "/", NULL },
  { "c.example", "/read/x", NULL },
  { "", "/read/x", NULL },
};

static void
test_match (void)
{
  Fixture f;

  fixture_start (&f, 1, 8, NULL);
  apply_entries (&f, route_entries, PH_ARRAY_SIZE (route_entries));
  for (size_t i = 0; i < PH_ARRAY_SIZE (match_cases); i++)
    {
      PhRouteId id = ph_route_find (f.world, match_cases[i].host, match_cases[i].path);
      const PhRoute *route = ph_route_get (&f.world->routes, id);
      const char *service = route != NULL ? route->spec.targets[0].service : NULL;

      if ((service == NULL) != (match_cases[i].service == NULL)
          || (service != NULL && strcmp (service, match_cases[i].service) != 0))
        CU_FAIL (match_cases[i].path);
    }
  /* A new set of routes replaces the previous set as a whole. */
  apply_entries (&f, route_entries + 1, 1);
  CU_ASSERT_EQUAL (f.world->routes.count, 1);
  CU_ASSERT_EQUAL (ph_route_find (f.world, "a.example", "/x").v, 0);
  CU_ASSERT_NOT_EQUAL (ph_route_find (f.world, "a.example", "/read/x").v, 0);
  CU_ASSERT_FALSE (
      ph_service_get (&f.world->services, ph_service_find (f.world, "t/root"))->is_configured);
  fixture_stop (&f);
}

#define SPLIT_CALLS 1000

/* Guards against weights that are met only over many calls: after any number of calls, the count
 * of each service is within 1 of its exact share. */
/* Weights of the three services of a route. */
static const uint32_t split_cases[][3] = { { 1, 0, 0 }, { 1, 1, 0 }, { 90, 10, 0 }, { 3, 2, 1 } };

static void
test_split (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (split_cases); i++)
    {
      PhRouteSet *set = ph_route_set_new (1, 3);
      PhRouteSpec *spec = &set->routes[set->route_count++];
      uint32_t counts[3] = { 0 };
      uint32_t total = 0;
      PhRouteId id;
      Fixture f;

      fixture_start (&f, 1, 8, NULL);
      ph_text_copy (spec->host, sizeof spec->host, "a.example");
      ph_text_copy (spec->prefix, sizeof spec->prefix, "/");
      for (uint32_t k = 0; k < 3; k++)
        {
          PhRouteTarget *target = &spec->targets[spec->target_count++];

          snprintf (target->service, sizeof target->service, "t/s%u", k);
          target->weight = split_cases[i][k];
          total += target->weight;
          ph_text_copy (set->services[set->service_count++].service, PH_NAME_MAX, target->service);
        }
      CU_ASSERT_TRUE (ph_route_apply (&f.ctx, f.world, set, NULL));
      ph_route_set_drop (set);
      id = ph_route_find (f.world, "a.example", "/x");
      for (uint32_t n = 1; n <= SPLIT_CALLS; n++)
        {
          PhServiceId service = ph_route_pick (f.world, id);

          for (uint32_t k = 0; k < 3; k++)
            {
              double share = (double)split_cases[i][k] * n / total;

              counts[k] += ph_service_get (&f.world->services, service)->name[3] == '0' + (int)k;
              CU_ASSERT_TRUE (counts[k] <= share + 1 && counts[k] >= share - 1);
            }
        }
      fixture_stop (&f);
    }
}

static const PhTest tests[] = {
  { "match of the longest prefix", test_match },
  { "shares of the services of a route", test_split },
};
PH_TEST_SUITE (route, tests)
