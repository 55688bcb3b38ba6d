#ifndef PH_LOAD_VIEW_H
#define PH_LOAD_VIEW_H

#include "pollenhitch/gossip.h"

/*
 * View of the load of the upstreams of the fleet (setting --fleet-capacity).
 *
 * Nodes add to messages that they send anyway the load of their own upstream and the newest loads
 * that they know of others, each with its age. The receiver keeps a load in the row of the upstream
 * (PhUpstream.load) if it is newer than the one there. See docs/design/fleet-capacity.md.
 */

/* Age from which a load is neither passed on nor used to find a free slot. With 2 s, each of 100
 * nodes knew the loads of 22% of the others from pings and acknowledgements alone. */
#define PH_LOAD_AGE_MAX (3 * PH_SECOND)

/* ph_load_view_key: number by which all nodes name the run of an upstream: a hash of the name of
 * its VM and its epoch. */
uint32_t ph_load_view_key (const PhWorld *world, const PhUpstream *upstream);

/*
 * ph_load_view_collect: the newest loads that this node knows, the newest first, and before them
 * that of the local upstream.
 *
 * service: only upstreams of this service, without the local one, and only those with a free slot;
 * 0 for all. Fills in at most max entries and returns their number, which is 0 while the setting is
 * off.
 */
uint32_t ph_load_view_collect (const PhContext *ctx,
                               const PhWorld *world,
                               PhServiceId service,
                               PhLoadEntry *entries,
                               uint32_t max);

/* ph_load_view_apply: keep the loads that are newer than those known. Ignores those of unknown
 * upstreams and of the local one, and all while the setting is off. */
void
ph_load_view_apply (PhContext *ctx, PhWorld *world, const PhLoadEntry *entries, uint32_t count);

/* ph_load_view_fill: add loads to a datagram that is about to be sent, within its size limit and
 * what the other datagrams leave of the bytes a second that this node may send. */
void ph_load_view_fill (const PhContext *ctx, PhWorld *world, PhGossipMessage *out);

/* ph_load_view_is_known: whether the load of an upstream is known and not too old. */
bool ph_load_view_is_known (const PhContext *ctx, const PhUpstream *upstream);

/*
 * ph_load_view_free_slots: number of free slots that an upstream is known to have, less the calls
 * that this node sent there since the report; 0 when it has none or its load is not known or too
 * old.
 */
double
ph_load_view_free_slots (const PhContext *ctx, const PhWorld *world, const PhUpstream *upstream);

#endif
