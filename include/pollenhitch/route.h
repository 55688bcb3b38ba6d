#ifndef PH_ROUTE_H
#define PH_ROUTE_H

#include "pollenhitch/upstream.h"

/*
 * Routes: host and path prefix of a request to the service that answers it.
 *
 * The routes of a deployment, its services and the limits on callers come as
 * one set, which is in force as a whole or not at all. A route may be split
 * between services by weight.
 */

#define PH_HOST_MAX 128
#define PH_PREFIX_MAX 128
#define PH_ROUTE_TARGETS_MAX 8
#define PH_ROUTES_DEFAULT 4096

typedef struct
{
  uint32_t v;
} PhRouteId;

/* One service of a route and its share of the requests. */
typedef struct
{
  char service[PH_NAME_MAX]; /* "team/service" */
  uint32_t weight;
} PhRouteTarget;

typedef struct
{
  char host[PH_HOST_MAX];
  char prefix[PH_PREFIX_MAX]; /* begins and ends with a slash */
  bool is_idempotent;
  bool is_bulk;          /* large responses: placed near the caller */
  uint32_t priority;     /* 0 is the most urgent */
  uint32_t attempts_max; /* upstreams that one request may reach */
  PhTime timeout;        /* longest time that a caller is kept waiting */
  PhTime objective;      /* latency within which a response is of full use; 0 for none */
  uint32_t target_count;
  PhRouteTarget targets[PH_ROUTE_TARGETS_MAX];
} PhRouteSpec;

/* What a caller may send. The size of the fields is bounded by the server's memory for a
 * connection, and an idle connection is kept longer than any caller uses it again. */
typedef struct
{
  uint64_t body_bytes_max; /* 0 for no limit */
} PhCallerLimits;

/* A set as it is decoded. Owned by whoever holds it: ph_route_set_drop. */
typedef struct PhRouteSet
{
  uint32_t route_count;
  PhRouteSpec *routes;
  uint32_t service_count;
  struct PhServiceSpec *services;
  PhCallerLimits limits;
} PhRouteSet;

typedef struct
{
  PhRouteSpec spec;
  uint64_t key_hash;   /* hash of host and prefix */
  uint32_t generation; /* of the set that it was last seen in */
  int64_t
      current_weights[PH_ROUTE_TARGETS_MAX]; /* of the weighted round robin, see ph_route_pick */
} PhRoute;

PH_DECLARE_TABLE (PhRoute, PhRouteId, ph_route)

/* ph_route_set_new: an empty set with room. Returns NULL when memory runs out. */
PhRouteSet *ph_route_set_new (uint32_t routes, uint32_t services);
void ph_route_set_drop (PhRouteSet *set);

/*
 * ph_route_apply: put a set in force.
 *
 * Routes and services that it does not name are gone. Returns false with err
 * set, and changes nothing, when a table has no room.
 */
bool ph_route_apply (PhContext *ctx, PhWorld *world, const PhRouteSet *set, PhError *err);

/*
 * ph_route_find: the route of a request, or 0.
 *
 * host is the Host field; a port in it is ignored. path is the request target
 * as it was sent; among the routes of the host the longest prefix wins.
 */
PhRouteId ph_route_find (const PhWorld *world, const char *host, const char *path);

/*
 * ph_route_pick: the service of the next request of a route.
 *
 * Smooth weighted round robin: the shares hold in every short run of requests,
 * also while one part is short of room.
 */
PhServiceId ph_route_pick (PhWorld *world, PhRouteId id);

#endif
