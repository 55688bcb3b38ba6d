#ifndef PH_ADMIN_H
#define PH_ADMIN_H

#include "node/listener.h"

/*
 * HTTP servers for the local upstream, operators and the platform. Handlers
 * respond at once to a complete request. A body over 16 KiB is answered with
 * status 413, and the request reaches no handler.
 *
 * The node's default server has these routes:
 *   PUT /v1/upstream   announcement of the local upstream
 *   GET /v1/status     state of this node
 *   GET /v1/events     events after a sequence number, for the timeline
 *   GET /v1/ready      200 when this node may receive calls, otherwise 503
 *   GET /metrics       metrics in the Prometheus text format
 */

/* A request with its whole body. */
typedef struct
{
  PhNode *node;
  struct MHD_Connection *connection;
  const char *path;
  const char *body; /* NUL-terminated */
  size_t size;      /* bytes of the body without the NUL */
  void *user;       /* user of the matching route */
} PhAdminRequest;

/* Queues the response of a request with ph_listener_respond and returns its result. */
typedef enum MHD_Result (*PhAdminHandler) (const PhAdminRequest *request);

typedef struct
{
  const char *method;
  const char *path; /* matches exactly; as a prefix when it ends with a slash and is not "/" */
  PhAdminHandler handler;
  void *user;
} PhAdminRoute;

/* Options of one server. */
typedef struct PhAdminOptions
{
  const char *address; /* IPv4 address to listen on */
  uint16_t port;
  const PhAdminRoute *routes; /* must outlive the server */
  uint32_t route_count;
} PhAdminOptions;

struct PhAdmin
{
  PhNode *node;
  PhListener listener;
  const PhAdminRoute *routes;
  uint32_t route_count;
};

/* ph_admin_new: start a server on the node's loop. Returns NULL with err set when it cannot listen
 * or memory runs out. */
PhAdmin *ph_admin_new (PhNode *node, const PhAdminOptions *opts, PhError *err);

/* ph_admin_drop: close all connections and free the server. admin may be NULL. */
void ph_admin_drop (PhAdmin *admin);

/* ph_admin_default_options: fill in the options of the node's default server. */
void ph_admin_default_options (const PhNode *node, PhAdminOptions *opts);

/* ph_admin_ready: a PhAdminHandler that responds with 200 when the node is ready, otherwise 503. */
enum MHD_Result ph_admin_ready (const PhAdminRequest *request);

#endif
