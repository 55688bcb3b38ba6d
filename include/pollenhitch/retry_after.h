#ifndef PH_RETRY_AFTER_H
#define PH_RETRY_AFTER_H

#include "pollenhitch/call.h"

/*
 * Time at which a refused caller should return (setting --fleet-capacity).
 *
 * The node knows how many slots of a service become free in a second, and gives its share of them
 * to the callers that it refuses, one after the other, the urgent ones first. A caller that returns
 * when it is told then finds a slot, unless it was given to a more urgent one. Callers that were
 * told a time keep it.
 */

/*
 * ph_retry_after_choose: time until a refused caller should retry, and record that it was told so.
 *
 * Returns 0 if a retry is of no use: the time left at the return would be shorter than the expected
 * latency. Never more than a third of the time left, because callers wait no longer. A caller for
 * which there is no slot by then is told to return towards the end of that time and gets no place
 * in the order, so that callers that repeat at once do not delay those that come after them without
 * bound. Returns -1 if the rate at which slots become free is not known.
 */
PhTime ph_retry_after_choose (PhContext *ctx,
                              const PhWorld *world,
                              PhService *service,
                              const PhCall *call);

/* ph_retry_after_slot_rate: slots of a service that become free in a second at its eligible
 * upstreams, as this node knows them, while all are in use; 0 if unknown. */
double
ph_retry_after_slot_rate (const PhContext *ctx, const PhWorld *world, const PhService *service);

#endif
