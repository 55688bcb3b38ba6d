#include "fixture.h"

#include <stdlib.h>

static const char *const data_centre_names[][2]
    = { { "a1", "a" }, { "a2", "a" }, { "a3", "a" }, { "b1", "b" } };

void
fixture_start (Fixture *fixture, uint64_t seed, uint32_t call_capacity, const PhEffects *effects)
{
  const PhWorldOptions opts = { .name = "node",
                                .data_centre = data_centre_names[0][0],
                                .region = data_centre_names[0][1],
                                .epoch = 7,
                                .call_capacity = call_capacity,
                                .upstream_capacity = 2048,
                                .service_capacity = 8,
                                .object_capacity = 8 };
  const PhEffects no_effects = { 0 };
  PhError err;

  *fixture = (Fixture){ .ctx.now = PH_SECOND };
  ph_random_seed (&fixture->ctx.random, seed);
  fixture->world
      = ph_world_new (&fixture->ctx, &opts, effects != NULL ? effects : &no_effects, &err);
  if (fixture->world == NULL)
    abort ();
  for (uint32_t i = 0; i < 4; i++)
    fixture->data_centres[i] = ph_data_centre_intern (
        &fixture->ctx, fixture->world, data_centre_names[i][0], data_centre_names[i][1], NULL);
  fixture->service = ph_service_intern (&fixture->ctx, fixture->world, FIXTURE_SERVICE, NULL);
  fixture_service (fixture)->is_configured = true;
}

void
fixture_stop (Fixture *fixture)
{
  ph_world_drop (&fixture->ctx, fixture->world);
}

void
fixture_tick (Fixture *fixture, PhTime elapsed)
{
  fixture->ctx.now += elapsed;
  ph_world_tick (&fixture->ctx, fixture->world);
}

PhUpstreamId
fixture_upsert (
    Fixture *fixture, PhUpstreamId id, uint32_t dc, PhUpstreamState state, const char *version)
{
  const PhUpstreamOptions opts = { .service = FIXTURE_SERVICE,
                                   .version = version,
                                   .state = state,
                                   .data_centre = fixture->data_centres[dc],
                                   .epoch = 1,
                                   .slots = 4 };

  return ph_upstream_upsert (&fixture->ctx, fixture->world, id, &opts, NULL);
}

PhUpstreamId
fixture_announce (Fixture *fixture, PhUpstreamState state)
{
  const PhUpstreamOptions opts
      = { .service = FIXTURE_SERVICE, .version = "1", .state = state, .slots = 4 };

  ph_upstream_announce (&fixture->ctx, fixture->world, &opts, NULL);
  return fixture->world->admission.upstream;
}

void
fixture_set_out_of_service (Fixture *fixture, uint32_t dc, bool is_out)
{
  ph_data_centre_get (&fixture->world->data_centres, fixture->data_centres[dc])->is_out_of_service
      = is_out;
  ph_choice_data_centre_changed (&fixture->ctx, fixture->world, fixture->data_centres[dc]);
}

PhService *
fixture_service (Fixture *fixture)
{
  return ph_service_get (&fixture->world->services, fixture->service);
}

PhUpstream *
fixture_upstream (Fixture *fixture, PhUpstreamId id)
{
  return ph_upstream_get (&fixture->world->upstreams, id);
}

PhRouteSet *
fixture_route_set (const PhRouteOptions *routes, uint32_t count)
{
  PhServiceRules rules;
  PhRouteSet *set;

  ph_service_rules_default (&rules);
  set = ph_route_set_new (&rules);
  if (set == NULL)
    abort ();
  for (uint32_t i = 0; i < count; i++)
    ph_route_set_add_route (set, &routes[i]);
  if (!ph_route_set_prepare (set, NULL))
    abort ();
  return set;
}
