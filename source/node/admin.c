#include "node/admin.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "node/pages.h"
#include "pollenhitch/fields.h"

#define BODY_BYTES_MAX ((size_t)16 * 1024)
#define CONNECTIONS_MAX 64
#define IDLE_SECONDS 30
#define EVENTS_PER_PAGE_MAX 1000
#define SLOTS_MAX 100000

/* Body of a request, collected until the request is complete. */
typedef struct
{
  char bytes[BODY_BYTES_MAX + 1]; /* NUL-terminated */
  size_t size;
  bool is_too_large;
} RequestBody;

/* Responds with a JSON value and frees it. */
static enum MHD_Result
respond_json (struct MHD_Connection *connection, int status, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);
  enum MHD_Result result = MHD_NO;

  json_decref (value);
  if (text != NULL)
    result = ph_listener_respond (connection, status, "application/json", text, strlen (text));
  free (text);
  return result;
}

static enum MHD_Result
respond_error (struct MHD_Connection *connection, int status, const char *text)
{
  return respond_json (connection, status, json_pack ("{s:s}", "error", text));
}

static bool
check_announcement (json_int_t port, json_int_t slots, json_int_t connections, PhError *err)
{
  if (port < 1 || port > UINT16_MAX)
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_ANNOUNCE, NULL,
                         "port: %" PRId64 " is not allowed; allowed: 1 to 65535", (int64_t)port);
  if (slots < 1 || slots > SLOTS_MAX || connections < 1 || connections > SLOTS_MAX)
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_ANNOUNCE, NULL,
                         "slots and connections: each must be a number from 1 to %d", SLOTS_MAX);
  return true;
}

/* Decodes an announcement of the local upstream and applies it to the world. */
static bool
apply_announcement (const PhAdminRequest *request, PhError *err)
{
  PhNode *node = request->node;
  json_error_t json_error;
  json_t *value = json_loadb (request->body, request->size, 0, &json_error);
  PhUpstreamOptions opts = { 0 };
  const char *state;
  json_int_t port;
  json_int_t slots;
  json_int_t connections;
  bool is_ok = false;

  if (json_unpack_ex (value, &json_error, 0, "{s:s, s:s, s:s, s:I, s:I, s:I}", "service",
                      &opts.service, "version", &opts.version, "state", &state, "port", &port,
                      "slots", &slots, "connections", &connections)
      != 0)
    ph_error_set (err, PH_ERROR_INVALID, PH_STEP_ANNOUNCE, NULL, "%s", json_error.text);
  else if (!ph_upstream_state_parse (state, &opts.state))
    ph_error_set (err, PH_ERROR_INVALID, PH_STEP_ANNOUNCE, NULL,
                  "state: \"%.20s\" is not allowed; allowed: cold, ready, draining", state);
  else if (check_announcement (port, slots, connections, err))
    {
      opts.port = (uint16_t)port;
      opts.slots = (uint32_t)slots;
      opts.connections = (uint32_t)connections;
      is_ok = ph_upstream_announce (&node->ctx, node->world, &opts, err);
    }
  json_decref (value);
  return is_ok;
}

static enum MHD_Result
put_upstream (const PhAdminRequest *request)
{
  PhError err;

  if (apply_announcement (request, &err))
    return respond_json (request->connection, MHD_HTTP_OK, json_object ());
  return respond_error (request->connection, MHD_HTTP_BAD_REQUEST, err.text);
}

static enum MHD_Result
get_status (const PhAdminRequest *request)
{
  return respond_json (request->connection, MHD_HTTP_OK, ph_page_status (request->node));
}

/* Reads a number from the query. *value stays as it is when the argument is missing. */
static bool
read_argument (struct MHD_Connection *connection, const char *name, uint64_t max, uint64_t *value)
{
  const char *text = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);

  return text == NULL || ph_number_parse (text, max, value);
}

static enum MHD_Result
get_events (const PhAdminRequest *request)
{
  uint64_t after = 0;
  uint64_t limit = EVENTS_PER_PAGE_MAX;

  if (!read_argument (request->connection, "after", INT64_MAX, &after)
      || !read_argument (request->connection, "limit", EVENTS_PER_PAGE_MAX, &limit))
    return respond_error (request->connection, MHD_HTTP_BAD_REQUEST,
                          "after and limit are numbers; limit is at most 1000");
  return respond_json (request->connection, MHD_HTTP_OK,
                       ph_page_events (request->node, after, (uint32_t)limit));
}

static enum MHD_Result
get_metrics (const PhAdminRequest *request)
{
  char *text = ph_page_metrics (request->node);
  enum MHD_Result result = MHD_NO;

  if (text != NULL)
    result = ph_listener_respond (request->connection, MHD_HTTP_OK, "text/plain; version=0.0.4",
                                  text, strlen (text));
  free (text);
  return result;
}

enum MHD_Result
ph_admin_ready (const PhAdminRequest *request)
{
  static const char ready[] = "ready\n";
  static const char not_ready[] = "not ready\n";

  if (ph_node_is_ready (request->node))
    return ph_listener_respond (request->connection, MHD_HTTP_OK, "text/plain", ready,
                                sizeof ready - 1);
  return ph_listener_respond (request->connection, MHD_HTTP_SERVICE_UNAVAILABLE, "text/plain",
                              not_ready, sizeof not_ready - 1);
}

void
ph_admin_default_options (const PhNode *node, PhAdminOptions *opts)
{
  static const PhAdminRoute default_routes[] = {
    { "PUT", "/v1/upstream", put_upstream, NULL }, { "GET", "/v1/status", get_status, NULL },
    { "GET", "/v1/events", get_events, NULL },     { "GET", "/v1/ready", ph_admin_ready, NULL },
    { "GET", "/metrics", get_metrics, NULL },
  };

  *opts = (PhAdminOptions){ .address = node->settings.address,
                            .port = (uint16_t)node->settings.port_admin,
                            .routes = default_routes,
                            .route_count = sizeof default_routes / sizeof *default_routes };
}

static bool
path_matches (const PhAdminRoute *route, const char *path)
{
  size_t size = strlen (route->path);

  return route->path[size - 1] == '/' && size > 1 ? strncmp (path, route->path, size) == 0
                                                  : strcmp (path, route->path) == 0;
}

static enum MHD_Result
dispatch_request (PhAdmin *admin,
                  struct MHD_Connection *connection,
                  const char *method,
                  const char *path,
                  const RequestBody *body)
{
  PhAdminRequest request = { .node = admin->node,
                             .connection = connection,
                             .path = path,
                             .body = body->bytes,
                             .size = body->size };
  bool is_path_known = false;

  if (body->is_too_large)
    return respond_error (connection, MHD_HTTP_CONTENT_TOO_LARGE, "body is over 16384 bytes");
  ph_node_update_clock (admin->node);
  for (uint32_t i = 0; i < admin->route_count; i++)
    {
      const PhAdminRoute *candidate = &admin->routes[i];

      if (!path_matches (candidate, path))
        continue;
      is_path_known = true;
      request.user = candidate->user;
      if (strcmp (method, candidate->method) == 0)
        return candidate->handler (&request);
    }
  return is_path_known
             ? respond_error (connection, MHD_HTTP_METHOD_NOT_ALLOWED, "method is not allowed")
             : respond_error (connection, MHD_HTTP_NOT_FOUND, "no such path");
}

/* Called by libmicrohttpd at the start of a request, for each part of its body, and at its end. */
static enum MHD_Result
on_request (void *user,
            struct MHD_Connection *connection,
            const char *url,
            const char *method,
            const char *version,
            const char *upload,
            size_t *upload_size,
            void **state)
{
  RequestBody *body = *state;
  size_t free_size;

  (void)version;
  if (body == NULL)
    {
      *state = calloc (1, sizeof *body);
      return *state != NULL ? MHD_YES : MHD_NO;
    }
  if (*upload_size == 0)
    return dispatch_request (user, connection, method, url, body);
  free_size = BODY_BYTES_MAX - body->size;
  body->is_too_large = body->is_too_large || *upload_size > free_size;
  if (!body->is_too_large)
    {
      memcpy (body->bytes + body->size, upload, *upload_size);
      body->size += *upload_size;
    }
  *upload_size = 0;
  return MHD_YES;
}

static void
on_completed (void *user,
              struct MHD_Connection *connection,
              void **state,
              enum MHD_RequestTerminationCode code)
{
  (void)user;
  (void)connection;
  (void)code;
  free (*state);
  *state = NULL;
}

PhAdmin *
ph_admin_new (PhNode *node, const PhAdminOptions *opts, PhError *err)
{
  PhAdmin *admin = calloc (1, sizeof *admin);
  const PhListenerOptions listener = { .address = opts->address,
                                       .port = opts->port,
                                       .connections_max = CONNECTIONS_MAX,
                                       .idle_seconds = IDLE_SECONDS,
                                       .handler = on_request,
                                       .on_completed = on_completed,
                                       .user = admin };

  if (admin == NULL)
    {
      ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_LISTEN, NULL,
                    "out of memory for an admin server");
      return NULL;
    }
  admin->node = node;
  admin->routes = opts->routes;
  admin->route_count = opts->route_count;
  if (ph_listener_start (&admin->listener, node, &listener, err))
    return admin;
  ph_admin_drop (admin);
  return NULL;
}

void
ph_admin_drop (PhAdmin *admin)
{
  if (admin == NULL)
    return;
  ph_listener_stop (&admin->listener);
  free (admin);
}
