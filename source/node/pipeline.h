#ifndef PH_PIPELINE_H
#define PH_PIPELINE_H

#include "node/dispatch.h"

/*
 * HTTP/1.1 server for callers that runs the requests of one connection at the same time.
 *
 * Callers may send further requests before the first one is answered (RFC 9112, 9.3.2). Idempotent
 * requests are started as their heads arrive, up to a limit, and their responses are sent in the
 * order of the requests. A request that is not idempotent is started once all before it are
 * answered, and no request behind it is read before it is answered.
 *
 * Requests are parsed by http-parser. The server reads no further while a body or a request has to
 * wait, so that a connection holds one block of unparsed bytes beside the buffers of its requests.
 */

typedef struct PhPipelineServer PhPipelineServer;

typedef struct
{
  const char *address; /* IPv4 address to listen on */
  uint16_t port;
  uint32_t connections_max;             /* max connections open at a time */
  uint32_t connections_per_address_max; /* max connections from one IP address */
  uint32_t idle_seconds;                /* seconds after which an idle connection is closed */
  uint32_t requests_max; /* max requests of one connection in work, see ph_pipeline_set_limit */
} PhPipelineOptions;

/* ph_pipeline_new: open the port and serve it from the node's loop. Returns NULL with err set when
 * the address or the port cannot be used, or memory runs out. */
PhPipelineServer *ph_pipeline_new (PhNode *node, const PhPipelineOptions *opts, PhError *err);

/* ph_pipeline_drop: close all connections and free the server. server may be NULL. */
void ph_pipeline_drop (PhPipelineServer *server);

/* ph_pipeline_set_limit: most requests of one connection that are in work at the same time, from
 * the next request on. */
void ph_pipeline_set_limit (PhPipelineServer *server, uint32_t requests_max);

/* ph_pipeline_quiesce: stop accepting connections; open ones are served to their end. */
void ph_pipeline_quiesce (PhPipelineServer *server);

/* ph_pipeline_is_idle: whether no request is in work and all responses have been sent. */
bool ph_pipeline_is_idle (const PhPipelineServer *server);

/* ph_pipeline_system: continue the connections whose requests were resumed in this tick. Returns
 * true when there were any. */
bool ph_pipeline_system (PhPipelineServer *server);

#endif
