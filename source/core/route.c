#include "pollenhitch/route.h"

#include <string.h>

#include "pollenhitch/invariant.h"
#include "pollenhitch/world.h"

/* Host and prefix of a route to be found. The texts need not be terminated. */
typedef struct
{
  const PhWorld *world;
  const char *host;
  size_t host_size;
  const char *prefix;
  size_t prefix_size;
} RouteName;

static uint64_t
route_key (const RouteName *name)
{
  return ph_hash_mix (ph_hash_bytes (name->host, name->host_size),
                      ph_hash_bytes (name->prefix, name->prefix_size));
}

static bool
is_text (const char *text, const char *bytes, size_t size)
{
  return strncmp (text, bytes, size) == 0 && text[size] == '\0';
}

static bool
route_matches (const void *user, uint32_t handle, const char *key)
{
  const RouteName *name = user;
  const PhRouteSet *set = name->world->route_set;
  const PhRouteSpec *spec = ph_route_spec (name->world, (PhRouteId){ handle });

  (void)key;
  return spec->prefix_size == name->prefix_size
         && memcmp (ph_route_set_text (set, spec->prefix), name->prefix, name->prefix_size) == 0
         && is_text (ph_route_set_text (set, spec->host), name->host, name->host_size);
}

static PhRouteId
find_named (const RouteName *name)
{
  return (PhRouteId){ ph_index_find (&name->world->route_index, route_key (name), route_matches,
                                     name, NULL) };
}

/* The row of a route that a set names, among those of the set in force. */
static PhRouteId
find_same (const PhWorld *world, const PhRouteSet *set, const PhRouteSpec *spec, RouteName *name)
{
  *name = (RouteName){ .world = world,
                       .host = ph_route_set_text (set, spec->host),
                       .prefix = ph_route_set_text (set, spec->prefix),
                       .prefix_size = spec->prefix_size };
  name->host_size = strlen (name->host);
  return find_named (name);
}

const PhRouteSpec *
ph_route_spec (const PhWorld *world, PhRouteId id)
{
  const PhRoute *route = ph_route_get (&world->routes, id);

  return route != NULL ? &world->route_set->routes[route->spec] : NULL;
}

static const char *
target_name (const PhRouteSet *set, const PhRouteTarget *target)
{
  return ph_route_set_text (set, set->services[target->service.v].name);
}

/* Continues the round robin of a route in the next set if its targets and weights are the same. */
static void
keep_weights (const PhRouteSet *old_set,
              const PhRouteSpec *old,
              const PhRouteSet *set,
              const PhRouteSpec *spec)
{
  const PhRouteTarget *from = old_set->targets + old->first_target;
  PhRouteTarget *to = set->targets + spec->first_target;

  if (old->target_count != spec->target_count)
    return;
  for (uint32_t i = 0; i < spec->target_count; i++)
    if (from[i].weight != to[i].weight
        || strcmp (target_name (old_set, &from[i]), target_name (set, &to[i])) != 0)
      return;
  for (uint32_t i = 0; i < spec->target_count; i++)
    to[i].current_weight = from[i].current_weight;
}

/* Finds the rows of the routes that both sets name. */
static void
keep_routes (PhWorld *world, PhRouteSet *set)
{
  for (uint32_t i = 0; i < set->route_count; i++)
    {
      PhRouteSpec *spec = &set->routes[i];
      RouteName name;
      PhRoute *route;

      spec->row = find_same (world, set, spec, &name);
      route = ph_route_get (&world->routes, spec->row);
      if (route == NULL)
        continue;
      keep_weights (world->route_set, &world->route_set->routes[route->spec], set, spec);
      route->generation = world->route_generation;
    }
}

/* Removes the routes that the next set does not name. */
static void
remove_stale_routes (PhWorld *world)
{
  PhRouteId id = { 0 };

  while ((id = ph_route_next (&world->routes, id)).v != 0)
    {
      const PhRoute *route = ph_route_get (&world->routes, id);

      if (route->generation == world->route_generation)
        continue;
      ph_chain_reports_forget (world, id);
      ph_index_remove (&world->route_index, route->key_hash, id.v);
      ph_route_remove (&world->routes, id);
    }
}

/* Adds the row of a route of the set in force, or finds that of an earlier one of the same name. */
static void
add_route (PhWorld *world, PhRouteSet *set, PhRouteSpec *spec)
{
  RouteName name;
  PhRoute *route;

  spec->row = find_same (world, set, spec, &name);
  if (spec->row.v == 0)
    {
      spec->row = ph_route_add (&world->routes, &route);
      if (spec->row.v == 0)
        {
          char prefix[PH_NAME_MAX];

          ph_text_shorten (prefix, sizeof prefix, name.prefix);
          ph_route_set_add_omission (set, prefix, "left out: the table of routes is full");
          return;
        }
      route->key_hash = route_key (&name);
      route->generation = world->route_generation;
      ph_index_add (&world->route_index, route->key_hash, spec->row.v);
    }
  ph_route_get (&world->routes, spec->row)->spec = (uint32_t)(spec - set->routes);
}

void
ph_route_configure_service (PhWorld *world, PhService *service)
{
  const PhRouteService *spec = ph_route_set_find_service (world->route_set, service->name);

  if (world->route_set == NULL)
    return;
  service->is_configured = spec != NULL;
  if (spec != NULL)
    service->rules = spec->rules;
}

const char *
ph_route_health_path (const PhWorld *world, const PhService *service)
{
  const PhRouteService *spec = ph_route_set_find_service (world->route_set, service->name);

  return spec != NULL ? ph_route_set_text (world->route_set, spec->health_path) : "";
}

static void
configure_services (PhWorld *world)
{
  PhServiceId id = { 0 };

  while ((id = ph_service_next (&world->services, id)).v != 0)
    ph_route_configure_service (world, ph_service_get (&world->services, id));
}

void
ph_route_apply (PhContext *ctx, PhWorld *world, PhRouteSet *set)
{
  PhRouteSet *old = world->route_set;

  world->route_generation++;
  keep_routes (world, set);
  remove_stale_routes (world);
  world->route_set = set;
  for (uint32_t i = 0; i < set->route_count; i++)
    if (set->routes[i].row.v != 0)
      ph_route_get (&world->routes, set->routes[i].row)->spec = i;
  for (uint32_t i = 0; i < set->route_count; i++)
    if (set->routes[i].row.v == 0)
      add_route (world, set, &set->routes[i]);
  ph_route_set_drop (old);
  configure_services (world);
  world->caller_limits = set->limits;
  world->has_routes = true;
  ph_chain_reports_recall_waiting (ctx, world);
  world->admission.is_pending = true;
}

/* The route of a host, in lower case, with the longest prefix of a path. */
static PhRouteId
find_longest (RouteName *name, const char *path, size_t size)
{
  const PhRouteSet *set = name->world->route_set;

  name->prefix = path;
  for (uint32_t i = 0; i < set->prefix_size_count; i++)
    {
      PhRouteId id;

      name->prefix_size = set->prefix_sizes[i];
      if (name->prefix_size > size || path[name->prefix_size - 1] != '/')
        continue;
      id = find_named (name);
      if (id.v != 0)
        return id;
    }
  return (PhRouteId){ 0 };
}

PhRouteId
ph_route_find (const PhWorld *world, const char *host, const char *path)
{
  const PhRouteSet *set = world->route_set;
  RouteName name = { .world = world, .host_size = strlen (host) };
  size_t name_size = ph_host_name_size (host);
  size_t path_size = strcspn (path, "?#");
  PhRouteId id = { 0 };

  if (set == NULL || name_size == 0 || name_size > set->host_size_max)
    return id;
  name.host = set->host_buffer;
  for (size_t i = 0; i < name.host_size && i < set->host_size_max; i++)
    set->host_buffer[i] = (char)(host[i] >= 'A' && host[i] <= 'Z' ? host[i] - 'A' + 'a' : host[i]);
  if (set->has_host_ports && name_size < name.host_size && name.host_size <= set->host_size_max)
    id = find_longest (&name, path, path_size);
  if (id.v != 0)
    return id;
  name.host_size = name_size;
  return find_longest (&name, path, path_size);
}

/* The target of the next request, or NULL when the weights are all 0. */
static PhRouteTarget *
pick_target (PhRouteTarget *targets, uint32_t count)
{
  int64_t total = 0;
  uint32_t best = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      targets[i].current_weight += targets[i].weight;
      total += targets[i].weight;
      if (targets[i].current_weight > targets[best].current_weight)
        best = i;
    }
  if (total == 0)
    return NULL;
  targets[best].current_weight -= total;
  return &targets[best];
}

PhServiceId
ph_route_pick (PhContext *ctx, PhWorld *world, PhRouteId id, PhError *err)
{
  const PhRouteSpec *spec = ph_route_spec (world, id);
  const PhRouteSet *set = world->route_set;
  const PhRouteTarget *target;
  PhRouteService *service;

  if (spec == NULL)
    {
      ph_error_set (err, PH_ERROR_NOT_FOUND, PH_STEP_CHOOSE, NULL, "the route was removed");
      return (PhServiceId){ 0 };
    }
  target = pick_target (set->targets + spec->first_target, spec->target_count);
  if (target == NULL)
    {
      ph_error_set (err, PH_ERROR_INVALID, PH_STEP_CHOOSE, NULL,
                    "the route has no service that can be used");
      return (PhServiceId){ 0 };
    }
  service = &set->services[target->service.v];
  if (service->row.v == 0)
    service->row = ph_service_intern (ctx, world, ph_route_set_text (set, service->name), err);
  return service->row;
}
