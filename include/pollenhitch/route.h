#ifndef PH_ROUTE_H
#define PH_ROUTE_H

#include "pollenhitch/chain.h"
#include "pollenhitch/route_set.h"

/*
 * Routes: map the host and path prefix of a request to a service.
 *
 * The set in force (see route_set.h) holds what the configuration says of the
 * routes; the table of routes has a row for each of them with what this node has
 * learned, which is kept from one set to the next. A set is put in force as a
 * whole. A route may be split between services by weight.
 */

/* Default capacity of the table of routes. A route takes at least 33 bytes of the text of an object
 * ("r":{"host":"h","pathPrefix":"/"}, and a comma), so that an object of 1 MiB has fewer. */
#define PH_ROUTES_DEFAULT (32u * 1024)

typedef struct
{
  uint64_t key_hash;     /* hash of host and prefix */
  uint32_t spec;         /* index in PhRouteSet.routes of the set in force */
  uint32_t generation;   /* number of the last set that contained it */
  PhChainEvidence chain; /* whether the local upstream calls the route */
} PhRoute;

PH_DECLARE_TABLE (PhRoute, PhRouteId, ph_route)

/*
 * ph_route_apply: put a set in force in place of the previous one. Takes over the set, which was
 * prepared with ph_route_set_prepare, and cannot fail.
 *
 * Routes that the set does not name are removed; services that it does not name
 * are no longer configured. Routes for which the table has no room are left out, which is recorded
 * as an omission of the set; with the default capacity there is room for all.
 */
void ph_route_apply (PhContext *ctx, PhWorld *world, PhRouteSet *set);

/* ph_route_configure_service: set the rules of a service that has got its row after the set was put
 * in force. */
void ph_route_configure_service (PhWorld *world, PhService *service);

/* ph_route_spec: what the set in force says of a route; NULL for a stale handle. */
const PhRouteSpec *ph_route_spec (const PhWorld *world, PhRouteId id);

/* ph_route_health_path: path of health checks of a service, "" if the set in force has none. */
const char *ph_route_health_path (const PhWorld *world, const PhService *service);

/*
 * ph_route_find: the route of a request, or 0.
 *
 * host is the Host field, whose letters match in either case. A route whose host has a port is
 * found only with this port; without such a route a port is ignored. path is the request target as
 * received; a query in it is ignored. The route of the host with the longest matching prefix is
 * found. A prefix matches with its final slash: "/a/" matches "/a/b", not "/a".
 */
PhRouteId ph_route_find (const PhWorld *world, const char *host, const char *path);

/*
 * ph_route_pick: the service of the next request of a route.
 *
 * Smooth weighted round robin: the shares hold in every short sequence of
 * requests, whether or not the services have free capacity. Returns 0 with err set: for a stale
 * handle PH_ERROR_NOT_FOUND, for a route none of whose services can be used PH_ERROR_INVALID, and
 * PH_ERROR_FULL when the table of services is full.
 */
PhServiceId ph_route_pick (PhContext *ctx, PhWorld *world, PhRouteId id, PhError *err);

#endif
