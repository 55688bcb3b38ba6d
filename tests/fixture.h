#ifndef PH_FIXTURE_H
#define PH_FIXTURE_H

#include "pollenhitch/world.h"

/* A world with one configured service, for tests of the decisions. */

#define FIXTURE_SERVICE "team/service"

typedef struct
{
  PhContext ctx;
  PhWorld *world;
  PhServiceId service;
  PhDataCentreId data_centres[4]; /* near, two more of its region, one of another region */
} Fixture;

/* fixture_start: effects may be NULL when no call is opened. */
void fixture_start (Fixture *fixture, uint64_t seed, uint32_t calls, const PhEffects *effects);
void fixture_stop (Fixture *fixture);

/* fixture_tick: run the world at a later time. */
void fixture_tick (Fixture *fixture, PhTime time);

/* fixture_upsert: add (id 0) or update a remote upstream with 4 slots. */
PhUpstreamId fixture_upsert (
    Fixture *fixture, PhUpstreamId id, uint32_t dc, PhUpstreamState state, const char *version);

/* fixture_announce: announce the local upstream with 4 slots. */
PhUpstreamId fixture_announce (Fixture *fixture, PhUpstreamState state);

/* fixture_set_out_of_service: take a data centre out of service or back. */
void fixture_set_out_of_service (Fixture *fixture, uint32_t dc, bool is_out);

PhService *fixture_service (Fixture *fixture);
PhUpstream *fixture_upstream (Fixture *fixture, PhUpstreamId id);

#endif
