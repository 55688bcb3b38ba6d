#include "pollenhitch/route_set.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Makes room for count rows more in an array that doubles its capacity. Returns false when memory
 * runs out. */
static bool
reserve (void **array, uint32_t *capacity, uint32_t used, size_t count, size_t row_size)
{
  size_t needed = used + count;
  size_t size = *capacity > 0 ? *capacity : 16;
  void *grown;

  if (needed <= *capacity)
    return true;
  while (size < needed)
    size *= 2;
  grown = size <= UINT32_MAX ? realloc (*array, size * row_size) : NULL;
  if (grown == NULL)
    return false;
  *array = grown;
  *capacity = (uint32_t)size;
  return true;
}

/* Makes room for rows in one of the arrays of a set. */
#define RESERVE(set, array, used, capacity, count)                                                 \
  ((set)->is_out_of_memory = (set)->is_out_of_memory                                               \
                             || !reserve ((void **)&(set)->array, &(set)->capacity, (set)->used,   \
                                          count, sizeof *(set)->array))

size_t
ph_host_name_size (const char *host)
{
  size_t size = host[0] == '[' ? strcspn (host, "]") : 0;

  return size + strcspn (host + size, ":");
}

static PhTextId
add_text (PhRouteSet *set, const char *text)
{
  size_t size = strlen (text) + 1;
  PhTextId id = { set->text_size };

  if (size == 1 || RESERVE (set, text, text_size, text_capacity, size))
    return (PhTextId){ 0 };
  memcpy (set->text + id.v, text, size);
  set->text_size += (uint32_t)size;
  return id;
}

PhRouteSet *
ph_route_set_new (const PhServiceRules *rules)
{
  PhRouteSet *set = calloc (1, sizeof *set);

  if (set == NULL)
    return NULL;
  set->default_rules = *rules;
  if (!ph_index_init (&set->service_index, 16, NULL)
      || RESERVE (set, text, text_size, text_capacity, 1)
      || RESERVE (set, services, service_count, service_capacity, 1)
      || RESERVE (set, targets, target_count, target_capacity, 1))
    {
      ph_route_set_drop (set);
      return NULL;
    }
  set->text[set->text_size++] = '\0';
  set->services[set->service_count++] = (PhRouteService){ 0 };
  return set;
}

void
ph_route_set_drop (PhRouteSet *set)
{
  if (set == NULL)
    return;
  free (set->text);
  free (set->routes);
  free (set->targets);
  free (set->services);
  ph_index_clear (&set->service_index);
  free (set->omissions);
  free (set->prefix_sizes);
  free (set->host_buffer);
  free (set);
}

static bool
service_matches (const void *user, uint32_t handle, const char *key)
{
  const PhRouteSet *set = user;

  return strcmp (ph_route_set_text (set, set->services[handle].name), key) == 0;
}

PhRouteService *
ph_route_set_find_service (const PhRouteSet *set, const char *name)
{
  uint32_t row = set != NULL ? ph_index_find (&set->service_index, ph_hash (name), service_matches,
                                              set, name)
                             : 0;

  return row != 0 ? &set->services[row] : NULL;
}

/* Finds or adds a service. Returns 0 when memory runs out. */
static PhRouteServiceId
intern_service (PhRouteSet *set, const char *name)
{
  const PhRouteService *known = ph_route_set_find_service (set, name);
  PhRouteServiceId id = { set->service_count };
  PhTextId text;

  if (known != NULL)
    return (PhRouteServiceId){ (uint32_t)(known - set->services) };
  text = add_text (set, name);
  if (RESERVE (set, services, service_count, service_capacity, 1)
      || !ph_index_reserve (&set->service_index, set->service_count + 1))
    {
      set->is_out_of_memory = true;
      return (PhRouteServiceId){ 0 };
    }
  set->services[set->service_count++]
      = (PhRouteService){ .name = text, .rules = set->default_rules };
  ph_index_add (&set->service_index, ph_hash (name), id.v);
  return id;
}

void
ph_route_set_add_service (PhRouteSet *set,
                          const char *name,
                          const char *health_path,
                          const PhServiceRules *rules)
{
  PhRouteServiceId id = intern_service (set, name);

  if (set->is_out_of_memory)
    return;
  set->services[id.v].rules = *rules;
  set->services[id.v].health_path = add_text (set, health_path);
}

/* The weight that corresponds to PH_ROUTE_WEIGHT_MAX, or 0 if all weights are kept as they are:
 * integers within this bound. */
static double
full_weight (const PhRouteOptions *opts)
{
  double max = 0;
  bool is_exact = true;

  for (uint32_t i = 0; i < opts->share_count; i++)
    {
      max = fmax (max, opts->shares[i].weight);
      is_exact = is_exact && opts->shares[i].weight == floor (opts->shares[i].weight);
    }
  return is_exact && max <= (double)PH_ROUTE_WEIGHT_MAX ? 0 : max;
}

static void
add_target (PhRouteSet *set, PhRouteSpec *route, const PhRouteShare *share, double full)
{
  double scaled = full > 0 ? share->weight / full * (double)PH_ROUTE_WEIGHT_MAX : share->weight;
  int64_t weight = llround (scaled);

  if (share->weight > 0 && weight == 0)
    weight = 1;
  set->targets[set->target_count++]
      = (PhRouteTarget){ .service = intern_service (set, share->service), .weight = weight };
  route->target_count++;
}

static void
lower_case (char *text)
{
  for (; *text != '\0'; text++)
    if (*text >= 'A' && *text <= 'Z')
      *text = (char)(*text - 'A' + 'a');
}

void
ph_route_set_add_route (PhRouteSet *set, const PhRouteOptions *opts)
{
  PhRouteSpec route = { .prefix_size = (uint32_t)strlen (opts->prefix),
                        .first_target = set->target_count,
                        .priority = opts->priority,
                        .attempts_max = opts->attempts_max,
                        .timeout = opts->timeout,
                        .objective = opts->objective,
                        .is_idempotent = opts->is_idempotent,
                        .is_bulk = opts->is_bulk };
  double full = full_weight (opts);

  route.host = add_text (set, opts->host);
  route.prefix = add_text (set, opts->prefix);
  if (RESERVE (set, routes, route_count, route_capacity, 1)
      || RESERVE (set, targets, target_count, target_capacity, opts->share_count))
    return;
  lower_case (set->text + route.host.v);
  for (uint32_t i = 0; i < opts->share_count; i++)
    add_target (set, &route, &opts->shares[i], full);
  set->routes[set->route_count++] = route;
}

void
ph_route_set_add_omission (PhRouteSet *set, const char *entry, const char *reason)
{
  PhOmission omission = { add_text (set, entry), add_text (set, reason) };

  if (!RESERVE (set, omissions, omission_count, omission_capacity, 1))
    set->omissions[set->omission_count++] = omission;
}

static int
compare_sizes (const void *a, const void *b)
{
  const uint32_t *first = a;
  const uint32_t *second = b;

  return (*first < *second) - (*first > *second);
}

/* Collects the different sizes of prefixes. A lookup hashes at most one prefix of each size, so
 * that it never hashes more bytes than the set has text. */
static void
collect_prefix_sizes (PhRouteSet *set)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < set->route_count; i++)
    set->prefix_sizes[i] = set->routes[i].prefix_size;
  if (set->route_count > 0)
    qsort (set->prefix_sizes, set->route_count, sizeof *set->prefix_sizes, compare_sizes);
  for (uint32_t i = 0; i < set->route_count; i++)
    if (count == 0 || set->prefix_sizes[i] != set->prefix_sizes[count - 1])
      set->prefix_sizes[count++] = set->prefix_sizes[i];
  set->prefix_size_count = count;
}

bool
ph_route_set_prepare (PhRouteSet *set, PhError *err)
{
  for (uint32_t i = 0; i < set->route_count; i++)
    {
      const char *host = ph_route_set_text (set, set->routes[i].host);
      uint32_t size = (uint32_t)strlen (host);

      set->host_size_max = size > set->host_size_max ? size : set->host_size_max;
      set->has_host_ports = set->has_host_ports || ph_host_name_size (host) < size;
    }
  set->prefix_sizes = calloc (set->route_count + 1, sizeof *set->prefix_sizes);
  set->host_buffer = malloc (set->host_size_max + 1);
  if (set->prefix_sizes == NULL || set->host_buffer == NULL || set->is_out_of_memory)
    return ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_CONFIG, NULL, "out of memory for routes");
  collect_prefix_sizes (set);
  return true;
}
