#ifndef PH_ADMIN_H
#define PH_ADMIN_H

#include "node/listener.h"

/*
 * HTTP servers for the local upstream, operators and the platform: small
 * requests, answered at once.
 *
 * The node's own one:
 *   PUT /v1/upstream   announcement of the local upstream
 *   GET /v1/status     state of this node
 *   GET /v1/events     events after a sequence, for the timeline
 *   GET /v1/ready      200 when callers may be sent to this node, else 503
 *   GET /metrics       counters in the text exposition format
 */

typedef struct
{
  PhNode *node;
  struct MHD_Connection *connection;
  const char *path;
  const char *body; /* ends with a zero */
  size_t size;
  void *user; /* of the route */
} PhAdminRequest;

typedef enum MHD_Result (*PhAdminHandler) (const PhAdminRequest *request);

typedef struct
{
  const char *method;
  const char *path; /* one that ends with a slash stands for all below it */
  PhAdminHandler handler;
  void *user;
} PhAdminRoute;

typedef struct PhAdminOptions
{
  const char *address;
  uint16_t port;
  const PhAdminRoute *routes;
  uint32_t route_count;
} PhAdminOptions;

struct PhAdmin
{
  PhNode *node;
  PhListener listener;
  const PhAdminRoute *routes;
  uint32_t route_count;
};

PhAdmin *ph_admin_new (PhNode *node, const PhAdminOptions *opts, PhError *err);
void ph_admin_drop (PhAdmin *admin);

/* ph_admin_default_options: fill in the options of the node's own server. */
void ph_admin_default_options (const PhNode *node, PhAdminOptions *opts);

/* ph_admin_ready: a PhAdminHandler that says whether the node is ready. */
enum MHD_Result ph_admin_ready (const PhAdminRequest *request);

#endif
