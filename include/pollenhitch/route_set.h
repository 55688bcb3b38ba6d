#ifndef PH_ROUTE_SET_H
#define PH_ROUTE_SET_H

#include "pollenhitch/upstream.h"

/*
 * Set of routes: the routes, services and limits on callers of one version of a platform's
 * configuration.
 *
 * All texts of a set are in one buffer that it owns, and its rows refer to them, to each other and
 * to ranges of rows by small handles. Lengths and counts are bounded by memory only. A set is built
 * with ph_route_set_new and the functions ph_route_set_add_*, and then passed to ph_route_apply
 * (see route.h). Pointers to its rows and texts are valid until the next row or text is added.
 *
 * When memory runs out while a set is built, the functions that add to it do nothing from then on,
 * and is_out_of_memory is set.
 */

typedef struct
{
  uint32_t v;
} PhRouteId;

/* A text of a set; 0 is "". */
typedef struct
{
  uint32_t v;
} PhTextId;

/* A row of PhRouteSet.services. */
typedef struct
{
  uint32_t v;
} PhRouteServiceId;

/* One service of a route and its share of the requests. */
typedef struct
{
  PhRouteServiceId service;
  int64_t weight;         /* 0 to PH_ROUTE_WEIGHT_MAX */
  int64_t current_weight; /* state of the weighted round robin */
} PhRouteTarget;

/* Weights are kept up to this value; the sum of those of a route fits int64_t. */
#define PH_ROUTE_WEIGHT_MAX ((int64_t)1 << 40)

typedef struct
{
  PhTextId host;         /* lower case */
  PhTextId prefix;       /* begins and ends with a slash */
  uint32_t prefix_size;  /* bytes */
  uint32_t first_target; /* range in PhRouteSet.targets; without targets, calls are refused */
  uint32_t target_count;
  uint32_t priority;     /* 0 is the most urgent */
  uint32_t attempts_max; /* attempts of one request that may reach an upstream; see call.h */
  PhTime timeout;        /* time within which a caller gets a response or a refusal; 0 for none */
  PhTime objective;      /* latency up to which a response has its full value; 0 for none */
  PhRouteId row;         /* set by ph_route_apply */
  bool is_idempotent;    /* requests may be executed more than once */
  bool is_bulk;          /* responses are large: upstreams near the caller are preferred */
} PhRouteSpec;

typedef struct
{
  PhTextId name; /* "team/service" */
  PhTextId health_path;
  PhServiceRules rules;
  PhServiceId row; /* 0 until a call needs it */
} PhRouteService;

/* Something that the configuration names and that is not in force as it was written. */
typedef struct
{
  PhTextId entry;  /* place in the object, such as "routes.NAME.pathPrefix" */
  PhTextId reason; /* bound, size or value, and what is in force instead */
} PhOmission;

/* Limits on what callers send. There is no limit on the size of header fields, which the server's
 * memory for a connection bounds, and none on idle connections, which are kept longer than any
 * caller reuses them. */
typedef struct
{
  uint64_t body_bytes_max; /* 0 for no limit */
} PhCallerLimits;

typedef struct PhRouteSet
{
  char *text; /* texts with their terminating zeros, one after the other */
  uint32_t text_size;
  uint32_t text_capacity;
  PhRouteSpec *routes;
  uint32_t route_count;
  uint32_t route_capacity;
  PhRouteTarget *targets;
  uint32_t target_count;
  uint32_t target_capacity;
  PhRouteService *services; /* row 0 is not used */
  uint32_t service_count;
  uint32_t service_capacity;
  PhIndex service_index; /* by name */
  PhOmission *omissions;
  uint32_t omission_count;
  uint32_t omission_capacity;
  uint32_t *prefix_sizes; /* the different sizes of prefixes, longest first */
  uint32_t prefix_size_count;
  char *host_buffer;      /* host_size_max + 1 bytes, for ph_route_find */
  uint32_t host_size_max; /* bytes of the longest host */
  bool has_host_ports;    /* some host has a port */
  PhServiceRules default_rules;
  PhCallerLimits limits;
  bool is_out_of_memory;
} PhRouteSet;

/* Service of a route, for PhRouteOptions. */
typedef struct
{
  const char *service; /* "team/service" */
  double weight;       /* at least 0; only the ratios count */
} PhRouteShare;

/* Options of a route. Texts are copied. */
typedef struct
{
  const char *host; /* upper-case letters are converted */
  const char *prefix;
  PhTime timeout;
  PhTime objective;
  const PhRouteShare *shares; /* may be NULL if share_count is 0 */
  uint32_t share_count;
  uint32_t priority;
  uint32_t attempts_max;
  bool is_idempotent;
  bool is_bulk;
} PhRouteOptions;

/* ph_route_set_new: an empty set, owned by the caller. rules are those of services that routes name
 * and ph_route_set_add_service is not called for. Returns NULL when memory runs out. */
PhRouteSet *ph_route_set_new (const PhServiceRules *rules);

/* ph_route_set_drop: free a set, which may be NULL. */
void ph_route_set_drop (PhRouteSet *set);

/* ph_route_set_add_route: add a route. Of two routes with the same host and prefix the last one
 * counts. If the weights are not integers up to PH_ROUTE_WEIGHT_MAX, they are scaled. */
void ph_route_set_add_route (PhRouteSet *set, const PhRouteOptions *opts);

/* ph_route_set_add_service: add a service, or set the rules of one that a route has named.
 * health_path may be "" for none. */
void ph_route_set_add_service (PhRouteSet *set,
                               const char *name,
                               const char *health_path,
                               const PhServiceRules *rules);

/* ph_route_set_add_omission: record an entry that is left out or adjusted. */
void ph_route_set_add_omission (PhRouteSet *set, const char *entry, const char *reason);

/* ph_route_set_text: a text of the set. */
static inline const char *
ph_route_set_text (const PhRouteSet *set, PhTextId id)
{
  return set->text + id.v;
}

/* ph_host_name_size: bytes of a Host field or host before its port. The colons of an IPv6 address
 * in brackets are part of the host. */
size_t ph_host_name_size (const char *host);

/* ph_route_set_find_service: the service of a name, or NULL. set may be NULL. */
PhRouteService *ph_route_set_find_service (const PhRouteSet *set, const char *name);

/* ph_route_set_prepare: build what ph_route_find needs, once all routes are added. Returns false
 * with err set when memory has run out, now or before. */
bool ph_route_set_prepare (PhRouteSet *set, PhError *err);

#endif
