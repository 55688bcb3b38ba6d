#ifndef PH_FIXTURE_H
#define PH_FIXTURE_H

#include "pollenhitch/world.h"

/* Fixture: a world with one configured service and four data centres, for unit tests of routes,
 * choice, calls and registration. */

#define FIXTURE_SERVICE "team/service"

typedef struct
{
  PhContext ctx;
  PhWorld *world;
  PhServiceId service;
  /* The node's own, two others in its region, one in another region. */
  PhDataCentreId data_centres[4];
} Fixture;

/* fixture_start: create the world of a node with epoch 7, with room for call_capacity calls.
 * effects may be NULL if the test opens no call. Aborts the program on failure. */
void
fixture_start (Fixture *fixture, uint64_t seed, uint32_t call_capacity, const PhEffects *effects);

/* fixture_stop: free the world. */
void fixture_stop (Fixture *fixture);

/* fixture_tick: advance the clock by elapsed microseconds and run one tick of the world. */
void fixture_tick (Fixture *fixture, PhTime elapsed);

/* fixture_upsert: add (id 0) or update a remote upstream with epoch 1 and 4 slots. dc is an index
 * into data_centres. Returns its handle, which differs from id if the version changed. */
PhUpstreamId fixture_upsert (
    Fixture *fixture, PhUpstreamId id, uint32_t dc, PhUpstreamState state, const char *version);

/* fixture_announce: announce the local upstream with 4 slots, as version "1". The first
 * announcement begins a cold start, with a limit of one call. The announcement expires after
 * PH_ANNOUNCE_TTL unless it is repeated. Returns the handle of the upstream. */
PhUpstreamId fixture_announce (Fixture *fixture, PhUpstreamState state);

/* fixture_set_out_of_service: take a data centre out of service, or put it back into service. dc
 * is an index into data_centres. */
void fixture_set_out_of_service (Fixture *fixture, uint32_t dc, bool is_out);

/* fixture_route_set: a prepared set of routes, whose services have the default rules. Aborts the
 * program on failure. */
PhRouteSet *fixture_route_set (const PhRouteOptions *routes, uint32_t count);

PhService *fixture_service (Fixture *fixture);
PhUpstream *fixture_upstream (Fixture *fixture, PhUpstreamId id);

#endif
