#include "pollenhitch/route.h"

#include <stdio.h>
#include <stdlib.h>
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
  { "a.example", "/", "t/root" },           { "a.example", "/read/", "t/read" },
  { "a.example", "/read/deep/", "t/deep" }, { "b.example", "/read/", "t/other" },
  { "b.example:8081", "/read/", "t/port" }, { "[2001:DB8::1]", "/", "t/six" },
};
#define ENTRIES_MAX PH_ARRAY_SIZE (route_entries)

static void
apply_entries (Fixture *fixture, const RouteEntry *entries, uint32_t count)
{
  PhRouteShare shares[ENTRIES_MAX];
  PhRouteOptions routes[ENTRIES_MAX];

  for (uint32_t i = 0; i < count; i++)
    {
      shares[i] = (PhRouteShare){ entries[i].service, 1 };
      routes[i] = (PhRouteOptions){
        .host = entries[i].host, .prefix = entries[i].prefix, .shares = &shares[i], .share_count = 1
      };
    }
  ph_route_apply (&fixture->ctx, fixture->world, fixture_route_set (routes, count));
}

/* Guards against a short prefix that hides a longer one, a match that ends within a path segment,
 * a port or upper-case letters in the host that prevent a match, and a route for one port that is
 * not found. */
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
  { "b.example:8081", "/read/x", "t/port" },
  { "b.example:8082", "/read/x", "t/other" },
  { "[2001:db8::1]:80", "/x", "t/six" },
  { "[2001:db8::2]", "/x", NULL },
  { "a.example.of.a.host.that.is.longer.than.all.others", "/read/x", NULL },
  { "c.example", "/read/x", NULL },
  { "", "/read/x", NULL },
};

/* Name of the service that a request goes to, or NULL. */
static const char *
pick_service (Fixture *f, const char *host, const char *path)
{
  PhRouteId id = ph_route_find (f->world, host, path);
  PhServiceId service = ph_route_pick (&f->ctx, f->world, id, NULL);

  return service.v != 0 ? ph_service_get (&f->world->services, service)->name : NULL;
}

static void
test_match (void)
{
  Fixture f;

  fixture_start (&f, 1, 8, NULL);
  apply_entries (&f, route_entries, PH_ARRAY_SIZE (route_entries));
  for (size_t i = 0; i < PH_ARRAY_SIZE (match_cases); i++)
    {
      const char *service = pick_service (&f, match_cases[i].host, match_cases[i].path);

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
      static const char *const names[3] = { "t/s0", "t/s1", "t/s2" };
      PhRouteShare shares[3];
      const PhRouteOptions route
          = { .host = "a.example", .prefix = "/", .shares = shares, .share_count = 3 };
      uint32_t counts[3] = { 0 };
      double total = 0;
      PhRouteId id;
      Fixture f;

      fixture_start (&f, 1, 8, NULL);
      for (uint32_t k = 0; k < 3; k++)
        {
          shares[k] = (PhRouteShare){ names[k], split_cases[i][k] };
          total += split_cases[i][k];
        }
      ph_route_apply (&f.ctx, f.world, fixture_route_set (&route, 1));
      id = ph_route_find (f.world, "a.example", "/x");
      for (uint32_t n = 1; n <= SPLIT_CALLS; n++)
        {
          PhServiceId service = ph_route_pick (&f.ctx, f.world, id, NULL);

          for (uint32_t k = 0; k < 3; k++)
            {
              double share = split_cases[i][k] * n / total;

              counts[k] += ph_service_get (&f.world->services, service)->name[3] == '0' + (int)k;
              CU_ASSERT_TRUE (counts[k] <= share + 1 && counts[k] >= share - 1);
            }
        }
      fixture_stop (&f);
    }
}

/* Guards against a route that is refused as unknown, with 404, or whose requests go to some service
 * although the configuration gives them none. */
static const struct
{
  const char *name;
  double weights[2];
  uint32_t count;
  PhErrorCode code; /* PH_ERROR_NONE: a service is picked */
} unusable_cases[] = {
  { "no service", { 0, 0 }, 0, PH_ERROR_INVALID },
  { "weights of 0", { 0, 0 }, 2, PH_ERROR_INVALID },
  { "one weight of 0", { 0, 1 }, 2, PH_ERROR_NONE },
};

static void
test_unusable (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (unusable_cases); i++)
    {
      const PhRouteShare shares[2]
          = { { "t/a", unusable_cases[i].weights[0] }, { "t/b", unusable_cases[i].weights[1] } };
      const PhRouteOptions routes[2] = { { .host = "a.example",
                                           .prefix = "/",
                                           .shares = &(PhRouteShare){ "t/root", 1 },
                                           .share_count = 1 },
                                         { .host = "a.example",
                                           .prefix = "/x/",
                                           .shares = shares,
                                           .share_count = unusable_cases[i].count } };
      PhError err = { 0 };
      PhServiceId service;
      Fixture f;

      fixture_start (&f, 1, 8, NULL);
      ph_route_apply (&f.ctx, f.world, fixture_route_set (routes, 2));
      service = ph_route_pick (&f.ctx, f.world, ph_route_find (f.world, "a.example", "/x/y"), &err);
      if (err.code != unusable_cases[i].code || (service.v != 0) != (err.code == PH_ERROR_NONE))
        CU_FAIL (unusable_cases[i].name);
      fixture_stop (&f);
    }
}

#define LONG_TEXT_MAX 70000

/* Sizes around the former bounds of a host, a path prefix and a service name, and far beyond. */
static const uint32_t text_sizes[] = { 2, 62, 63, 64, 127, 128, 129, 190, 300, 4096, 65000 };

/* Writes '/' or a letter, then filler, and a digit that tells two texts apart at their end. */
static const char *
long_text (char *text, char first, uint32_t size, char digit, char last)
{
  memset (text, 'a', size);
  text[0] = first;
  text[size - 2] = digit;
  text[size - 1] = last;
  text[size] = '\0';
  return text;
}

/* Guards against hosts and prefixes that are cut off: two that differ only at their end are two
 * routes, and a longer path does not match a prefix that only begins alike. */
static void
test_long_texts (void)
{
  static char hosts[2][LONG_TEXT_MAX];
  static char prefixes[2][LONG_TEXT_MAX];
  static char path[LONG_TEXT_MAX];

  for (size_t i = 0; i < PH_ARRAY_SIZE (text_sizes) * 2; i++)
    {
      bool is_host = i % 2 != 0;
      uint32_t size = text_sizes[i / 2] + 2;
      const PhRouteShare shares[2] = { { "t/0", 1 }, { "t/1", 1 } };
      PhRouteOptions routes[2];
      Fixture f;

      fixture_start (&f, 1, 8, NULL);
      for (int k = 0; k < 2; k++)
        routes[k] = (PhRouteOptions){
          .host = is_host ? long_text (hosts[k], 'A', size, (char)('0' + k), 'z') : "h",
          .prefix = is_host ? "/" : long_text (prefixes[k], '/', size, (char)('0' + k), '/'),
          .shares = &shares[k],
          .share_count = 1
        };
      ph_route_apply (&f.ctx, f.world, fixture_route_set (routes, 2));
      for (int k = 0; k < 2; k++)
        {
          snprintf (path, sizeof path, "%sx?q", routes[k].prefix);
          CU_ASSERT_STRING_EQUAL (pick_service (&f, routes[k].host, path), shares[k].service);
        }
      path[size - 2] = '2';
      hosts[1][size - 2] = '2';
      CU_ASSERT_EQUAL (ph_route_find (f.world, is_host ? hosts[1] : "h", path).v, 0);
      fixture_stop (&f);
    }
}

#define SPLIT_SERVICES 300

/* Guards against a bound on the services of a split, and against weights beyond one of an integer
 * type: the shares of all of them hold. */
static void
test_large_split (void)
{
  static const double scales[] = { 1, 1e6, 1e15, 1e300, 1e-300 };
  static char names[SPLIT_SERVICES][PH_NAME_MAX];
  static PhRouteShare shares[SPLIT_SERVICES];

  for (size_t i = 0; i < PH_ARRAY_SIZE (scales); i++)
    {
      const PhRouteOptions route
          = { .host = "h", .prefix = "/", .shares = shares, .share_count = SPLIT_SERVICES };
      uint32_t counts[SPLIT_SERVICES] = { 0 };
      uint32_t total = 0;
      Fixture f;
      PhRouteId id;

      fixture_start (&f, 1, 8, NULL);
      for (uint32_t k = 0; k < SPLIT_SERVICES; k++)
        {
          snprintf (names[k], sizeof names[k], "t/%u", k);
          shares[k] = (PhRouteShare){ names[k], (k % 3 + 1) * scales[i] };
          total += k % 3 + 1;
        }
      ph_route_apply (&f.ctx, f.world, fixture_route_set (&route, 1));
      id = ph_route_find (f.world, "h", "/");
      for (uint32_t n = 0; n < 10 * total; n++)
        {
          /* The table of services of the fixture is small, so the choice is read from the set. */
          const PhRouteTarget *targets = f.world->route_set->targets;
          uint32_t best = 0;

          for (uint32_t k = 1; k < SPLIT_SERVICES; k++)
            if (targets[k].current_weight + targets[k].weight
                > targets[best].current_weight + targets[best].weight)
              best = k;
          ph_route_pick (&f.ctx, f.world, id, NULL);
          counts[best]++;
        }
      for (uint32_t k = 0; k < SPLIT_SERVICES; k++)
        CU_ASSERT_TRUE (counts[k] + 1 >= 10 * (k % 3 + 1) && counts[k] <= 10 * (k % 3 + 1) + 1);
      fixture_stop (&f);
    }
}

/* Sets that follow each other, as first route, number of routes and routes of the table. */
static const struct
{
  const char *name;
  uint32_t first;
  uint32_t count;
  uint32_t row_count;      /* expected */
  uint32_t omission_count; /* expected */
} capacity_cases[] = {
  { "fills the table", 0, 64, 64, 0 },
  { "keeps most of a full table", 8, 64, 64, 0 },
  { "replaces a full table", 1000, 64, 64, 0 },
  { "one over the table", 0, 65, 64, 1 },
  { "far over the table", 0, 200, 64, 136 },
  { "fits again", 0, 10, 10, 0 },
  { "none", 0, 0, 0, 0 },
};

/* Guards against a set that finds no room beside the one it replaces, which left all nodes with the
 * old one, and against routes beyond the table that keep the others out. */
static void
test_capacity (void)
{
  const PhWorldOptions opts = {
    .name = "a", .data_centre = "d", .address = "127.0.0.1", .epoch = 1, .route_capacity = 64
  };
  static char prefixes[256][PH_NAME_MAX];
  static PhRouteOptions routes[256];
  const PhRouteShare share = { "t/s", 1 };
  PhContext ctx = { .now = PH_SECOND };
  PhWorld *world = ph_world_new (&ctx, &opts, &(PhEffects){ 0 }, NULL);

  if (world == NULL)
    abort ();
  for (size_t i = 0; i < PH_ARRAY_SIZE (capacity_cases); i++)
    {
      for (uint32_t k = 0; k < capacity_cases[i].count; k++)
        {
          snprintf (prefixes[k], sizeof prefixes[k], "/%u/", capacity_cases[i].first + k);
          routes[k] = (PhRouteOptions){
            .host = "h", .prefix = prefixes[k], .shares = &share, .share_count = 1
          };
        }
      ph_route_apply (&ctx, world, fixture_route_set (routes, capacity_cases[i].count));
      if (world->routes.count != capacity_cases[i].row_count
          || world->route_set->omission_count != capacity_cases[i].omission_count)
        CU_FAIL (capacity_cases[i].name);
      for (uint32_t k = 0; k < capacity_cases[i].row_count; k++)
        CU_ASSERT_NOT_EQUAL (ph_route_find (world, "h", prefixes[k]).v, 0);
    }
  ph_world_drop (&ctx, world);
}

static const PhTest tests[] = {
  { "match of the longest prefix", test_match },
  { "shares of the services of a route", test_split },
  { "routes without a service that can be used", test_unusable },
  { "long hosts and prefixes", test_long_texts },
  { "splits over many services and with any weights", test_large_split },
  { "sets that fill the table", test_capacity },
};
PH_TEST_SUITE (route, tests)
