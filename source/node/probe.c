#include "node/probe.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/dialect.h"
#include "node/fetch.h"
#include "pollenhitch/fields.h"
#include "pollenhitch/probe.h"

#define RESPONSE_BYTES_MAX (64u * 1024)

/* Passes the result of the open probe to the world. */
static void
finish_probe (PhNode *node, bool is_ok)
{
  PhUpstreamId upstream = node->probed_upstream;

  node->probed_upstream.v = 0;
  ph_probe_result (&node->ctx, node->world, upstream, is_ok, node->ctx.now - node->probe_sent_at);
}

static void
on_head (void *user, PhTransferId id, int status)
{
  PhNode *node = user;

  (void)id;
  node->probe_status = status;
}

static void
on_done (void *user, PhTransferId id, const PhTransferResult *result)
{
  PhNode *node = user;
  const PhDialect *dialect = node->dialect;
  PhHealth health = { .cold_time_left = -1 };

  if (result->is_ok)
    dialect->read_health (dialect->user, node, id, node->probe_status, &health);
  ph_registration_apply_health (&node->ctx, node->world, &health);
  ph_fetch_drop_transfer (node->fetch, id);
  node->probe_transfer.v = 0;
  finish_probe (node, health.is_healthy);
}

void
ph_probe_send (void *user, PhUpstreamId upstream_id)
{
  PhNode *node = user;
  const char *fields[] = { node->dialect->health_request_field, NULL };
  const PhUpstream *upstream = ph_upstream_get (&node->world->upstreams, upstream_id);
  const PhService *service
      = upstream != NULL ? ph_service_get (&node->world->services, upstream->service) : NULL;
  const char *health_path = service != NULL ? ph_route_health_path (node->world, service) : "";
  char *url;
  PhTransferOptions opts = { .method = "GET",
                             .fields = fields,
                             .body_size = PH_BODY_NONE,
                             .timeout = PH_PROBE_TIMEOUT,
                             .is_body_collected = true,
                             .body_limit = RESPONSE_BYTES_MAX,
                             .funcs = { .head = on_head, .done = on_done },
                             .user = node };
  PhError err;

  if (upstream == NULL)
    return;
  /* A probe that is still open was sent to a replaced upstream, and its result would be ignored. */
  ph_fetch_drop_transfer (node->fetch, node->probe_transfer);
  node->probed_upstream = upstream_id;
  node->probe_sent_at = node->ctx.now;
  node->probe_status = 0;
  if (asprintf (&url, "http://%s:%u%s", node->settings.upstream_address, upstream->port,
                health_path[0] != '\0' ? health_path : node->settings.probe_path)
      < 0)
    return;
  opts.url = url;
  node->probe_transfer = ph_fetch_start (node->fetch, &opts, &err);
  free (url);
  if (node->probe_transfer.v == 0)
    ph_log_error (&node->ctx, PH_LOG_WARNING, &err);
}

bool
ph_probe_system (PhNode *node)
{
  if (node->probed_upstream.v == 0 || node->probe_transfer.v != 0)
    return false;
  finish_probe (node, false);
  return true;
}
