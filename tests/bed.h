#ifndef PH_TEST_BED_H
#define PH_TEST_BED_H

#include <stdlib.h>

#include "pollenhitch/world.h"

/* Test bed: the world of one node with one service and its local upstream, for tests and
 * benchmarks of admission and probes. */

#define BED_SERVICE "cascade/booking-desk"

/* bed_announce: announce the local upstream with slots concurrent calls and 200 connections. It
 * expires after PH_ANNOUNCE_TTL unless it is announced again. Aborts the program on failure. */
static inline void
bed_announce (
    PhContext *ctx, PhWorld *world, PhUpstreamState state, const char *version, uint32_t slots)
{
  const PhUpstreamOptions opts = { .service = BED_SERVICE,
                                   .version = version,
                                   .state = state,
                                   .port = 1,
                                   .slots = slots,
                                   .connections = 200 };

  if (!ph_upstream_announce (ctx, world, &opts, NULL))
    abort ();
}

/* bed_service: the service of the local upstream. */
static inline PhService *
bed_service (const PhWorld *world)
{
  return ph_service_get (&world->services, ph_service_find (world, BED_SERVICE));
}

/* bed_world_new: create a world that starts at ctx->now, to be freed with ph_world_drop. Its
 * service is configured, and its local upstream is announced as ready, see bed_announce. Like every
 * new upstream it begins with a cold start, with a limit of one call; a test that needs all slots
 * sets admission.cold_start.is_cold to false. Aborts the program on failure. */
static inline PhWorld *
bed_world_new (PhContext *ctx, const PhEffects *effects, const char *data_centre, uint32_t slots)
{
  const PhWorldOptions opts = { .name = "a",
                                .data_centre = data_centre,
                                .region = "bc-south",
                                .epoch = 1,
                                .call_capacity = 4096,
                                .upstream_capacity = 32,
                                .service_capacity = 16,
                                .object_capacity = 16 };
  PhWorld *world = ph_world_new (ctx, &opts, effects, NULL);

  if (world == NULL)
    abort ();
  bed_announce (ctx, world, PH_UPSTREAM_READY, "1", slots);
  bed_service (world)->is_configured = true;
  return world;
}

/* bed_call: open a call that another node sent to the local upstream. Its deadline is time_left
 * microseconds from now. Returns 0 if the call is refused at once. */
static inline PhCallId
bed_call (PhContext *ctx, PhWorld *world, PhTime time_left)
{
  const PhCallOptions opts = {
    .service = BED_SERVICE, .origin = PH_ORIGIN_PEER, .upstream_epoch = 1, .time_left = time_left
  };
  PhRefusal refusal;

  return ph_call_open (ctx, world, &opts, &refusal);
}

/* bed_end_attempt: end an attempt that has not ended yet, as the runtime would. outcome:
 * PH_OUTCOME_SHED, the upstream shed it; PH_OUTCOME_OK or PH_OUTCOME_ERROR, it sent a complete
 * response or error response. Other values are not allowed. */
static inline void
bed_end_attempt (PhContext *ctx, PhWorld *world, PhAttemptId id, PhOutcome outcome)
{
  if (outcome == PH_OUTCOME_SHED)
    {
      ph_attempt_fail (ctx, world, id, PH_RUN_NO, PH_REASON_SHED);
      return;
    }
  ph_attempt_get (&world->attempts, id)->is_error = outcome == PH_OUTCOME_ERROR;
  ph_attempt_response (ctx, world, id);
  ph_attempt_finish (ctx, world, id, true);
}

#endif
