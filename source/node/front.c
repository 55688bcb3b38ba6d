#include "node/front.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "node/response.h"

#define PEER_CONNECTIONS_MAX 16384
#define RESPONSE_BLOCK_SIZE ((size_t)16 * 1024)

/* Once an early response is ready and no forward takes the request body any more, up to this many
 * bytes of it are read and discarded before the response is sent. If the connection were closed
 * while the caller is still sending, the caller would get a reset and lose the response. 1 GiB is
 * the largest body that is drained in this way.
 */
#define DISCARDED_BYTES_MAX ((uint64_t)1024 * 1024 * 1024)

#define CLOSE_EVENTS_MAX 64

typedef struct
{
  uint32_t v;
} ConnectionId;

/* An open server connection and the exchange that it currently carries. */
typedef struct
{
  ConnectionId id;
  PhExchangeId exchange;
  PhFrontServer *server;
  struct MHD_Connection *connection;
} Connection;

PH_DECLARE_TABLE (Connection, ConnectionId, connection)

static struct MHD_Connection *
mhd_connection (const PhExchange *exchange)
{
  const Connection *c = exchange->request.handle;

  return c->connection;
}

static const char *
request_field (void *handle, const char *name)
{
  const Connection *c = handle;

  return MHD_lookup_connection_value (c->connection, MHD_HEADER_KIND, name);
}

typedef struct
{
  PhFieldFunc func;
  void *user;
} FieldIteration;

static enum MHD_Result
pass_field (void *user, enum MHD_ValueKind kind, const char *name, const char *value)
{
  const FieldIteration *iteration = user;

  (void)kind;
  return iteration->func (iteration->user, name, value) ? MHD_YES : MHD_NO;
}

static void
each_request_field (void *handle, PhFieldFunc func, void *user)
{
  const Connection *c = handle;
  FieldIteration iteration = { func, user };

  MHD_get_connection_values (c->connection, MHD_HEADER_KIND, pass_field, &iteration);
}

static void
resume_request (void *handle)
{
  const Connection *c = handle;

  ph_listener_resume (&c->server->listener, c->connection);
}

static const PhServerFuncs request_funcs = { request_field, each_request_field, resume_request };

static void
add_response_field (void *handle, const char *name, const char *value)
{
  struct MHD_Response *response = handle;

  MHD_add_response_header (response, name, value);
}

static void
suspend_exchange (PhExchange *exchange)
{
  exchange->is_suspended = true;
  MHD_suspend_connection (mhd_connection (exchange));
}

/* Ends a response whose body broke off. Without a length its end may be that of the connection,
 * which passes as complete for a caller of HTTP/1.0 unless the connection is reset. */
static ssize_t
end_with_error (PhExchange *exchange, int64_t length)
{
  if (length < 0)
    ph_listener_reset (mhd_connection (exchange));
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

/* Content reader of libmicrohttpd: copies response bytes of the winning forward into buffer. */
static ssize_t
read_response (void *user, uint64_t position, char *buffer, size_t max)
{
  PhExchange *exchange = user;
  PhDispatch *dispatch = exchange->dispatch;
  PhForward *forward = ph_forward_get (&dispatch->forwards, exchange->winning_forward);
  PhFetch *fetch = dispatch->node->fetch;
  size_t count;

  (void)position;
  if (forward == NULL)
    return end_with_error (exchange, -1);
  count = ph_fetch_read (fetch, forward->transfer, buffer, max);
  if (count > 0)
    return (ssize_t)count;
  if (!exchange->is_response_ended)
    {
      suspend_exchange (exchange);
      return 0;
    }
  return exchange->is_response_complete
             ? MHD_CONTENT_READER_END_OF_STREAM
             : end_with_error (exchange, ph_fetch_length (fetch, forward->transfer));
}

/* Adds the fields that the node sets itself. While the node stops, every response closes its
 * connection, so that no caller or peer sends a further request on a connection that is about to be
 * closed. */
static void
add_node_fields (const PhExchange *exchange, struct MHD_Response *response)
{
  const PhResponseFields fields = { add_response_field, response };

  if (exchange->dispatch->node->world->is_stopping)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  ph_response_add_node_fields (exchange, &fields);
}

/* Queues the response of the winning forward; its body is streamed by read_response. */
static enum MHD_Result
respond_with_winner (PhExchange *exchange)
{
  PhDispatch *dispatch = exchange->dispatch;
  PhForward *forward = ph_forward_get (&dispatch->forwards, exchange->winning_forward);
  int64_t length = ph_fetch_length (dispatch->node->fetch, forward->transfer);
  struct MHD_Response *response
      = MHD_create_response_from_callback (length >= 0 ? (uint64_t)length : MHD_SIZE_UNKNOWN,
                                           RESPONSE_BLOCK_SIZE, read_response, exchange, NULL);
  const PhResponseFields fields = { add_response_field, response };
  enum MHD_Result result;

  if (response == NULL)
    return MHD_NO;
  ph_response_add_upstream_fields (exchange, forward->transfer, &fields);
  add_node_fields (exchange, response);
  result = MHD_queue_response (mhd_connection (exchange), (unsigned)exchange->status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
respond_with_refusal (PhExchange *exchange)
{
  char text[PH_REFUSAL_TEXT_SIZE];
  size_t size = ph_response_refusal_text (&exchange->refusal, text);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (size, text, MHD_RESPMEM_MUST_COPY);
  const PhResponseFields fields = { add_response_field, response };
  enum MHD_Result result;

  if (response == NULL)
    return MHD_NO;
  ph_response_add_refusal_fields (exchange, &fields);
  add_node_fields (exchange, response);
  result = MHD_queue_response (mhd_connection (exchange),
                               (unsigned)ph_response_refusal_status (exchange), response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
respond (PhExchange *exchange)
{
  exchange->state = PH_EXCHANGE_RESPONDING;
  return exchange->is_refused ? respond_with_refusal (exchange) : respond_with_winner (exchange);
}

/* Whether the caller waits for a 100 (Continue) response before it sends the body. */
static bool
expects_continue (const PhExchange *exchange)
{
  const char *expect = MHD_lookup_connection_value (mhd_connection (exchange), MHD_HEADER_KIND,
                                                    MHD_HTTP_HEADER_EXPECT);

  return expect != NULL && strcasecmp (expect, "100-continue") == 0;
}

/*
 * First call of the request handler, before the body is read.
 *
 * libmicrohttpd closes the connection after a response that is queued here. An
 * early response is therefore sent here only to a caller that waits for a 100
 * response. The response to a request without a body is queued in the last call.
 */
static enum MHD_Result
handle_head (PhExchange *exchange)
{
  bool is_ready = ph_dispatch_is_ready (exchange);

  if (exchange->is_body_complete)
    {
      exchange->state = PH_EXCHANGE_WAITING;
      return MHD_YES;
    }
  if (is_ready && expects_continue (exchange))
    return respond (exchange);
  if (is_ready || exchange->is_body_requested)
    {
      exchange->state = PH_EXCHANGE_BODY;
      return MHD_YES;
    }
  suspend_exchange (exchange);
  return MHD_YES;
}

/* Passes body bytes to the exchange and suspends the connection while the buffer is full. The bytes
 * are discarded once a response is ready and no forward takes them any more. */
static enum MHD_Result
handle_body (PhExchange *exchange, const char *bytes, size_t *size)
{
  size_t count;

  if (ph_dispatch_is_ready (exchange) && !ph_dispatch_takes_body (exchange))
    {
      exchange->discarded_bytes += *size;
      *size = 0;
      return exchange->discarded_bytes <= DISCARDED_BYTES_MAX ? MHD_YES : MHD_NO;
    }
  count = ph_dispatch_body (exchange, bytes, *size);
  *size -= count;
  if (*size == 0)
    return MHD_YES;
  ph_dispatch_body_blocked (exchange);
  suspend_exchange (exchange);
  return MHD_YES;
}

/* Last call of the request handler: queues the response, or suspends the connection until there is
 * one. */
static enum MHD_Result
handle_body_end (PhExchange *exchange)
{
  if (exchange->state == PH_EXCHANGE_BODY)
    ph_dispatch_body_end (exchange);
  if (ph_dispatch_is_ready (exchange))
    return respond (exchange);
  suspend_exchange (exchange);
  return MHD_YES;
}

/* Called when the request line has been received. The exchange keeps the target as it was sent,
 * since the url argument of the request handler is unescaped and lacks the query. */
static void *
on_uri (void *user, const char *uri, struct MHD_Connection *connection)
{
  PhFrontServer *server = user;
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  Connection *c = info != NULL ? info->socket_context : NULL;
  const PhServerRequest request = { &request_funcs, c };
  PhExchange *exchange
      = c != NULL ? ph_dispatch_add (server->node->dispatch, request, server->origin, uri) : NULL;

  if (exchange != NULL)
    c->exchange = exchange->id;
  return exchange;
}

static void
on_connection (void *user,
               struct MHD_Connection *connection,
               void **context,
               enum MHD_ConnectionNotificationCode code)
{
  PhFrontServer *server = user;
  Connection *c = *context;
  struct epoll_event event = { .events = EPOLLRDHUP | EPOLLET };

  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      if (c != NULL)
        connection_remove (&server->connections, c->id);
      *context = NULL;
      return;
    }
  event.data.u32 = connection_add (&server->connections, &c).v;
  if (event.data.u32 == 0)
    return;
  c->id.v = event.data.u32;
  c->server = server;
  c->connection = connection;
  *context = c;
  epoll_ctl (server->close_epoll_fd, EPOLL_CTL_ADD,
             MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd,
             &event);
}

/* Cancels the call of each connection that the other side has closed, also while the connection
 * is suspended. */
static void
on_close_events (struct ev_loop *loop, ev_io *watcher, int events)
{
  PhFrontServer *server = watcher->data;
  struct epoll_event closed[CLOSE_EVENTS_MAX];
  int count = epoll_wait (server->close_epoll_fd, closed, CLOSE_EVENTS_MAX, 0);

  (void)loop;
  (void)events;
  for (int i = 0; i < count; i++)
    {
      ConnectionId id = { closed[i].data.u32 };
      Connection *c = connection_get (&server->connections, id);
      PhExchange *exchange
          = c != NULL ? ph_exchange_get (&server->node->dispatch->exchanges, c->exchange) : NULL;

      if (exchange != NULL)
        ph_dispatch_caller_closed (exchange);
    }
}

/* Request handler of libmicrohttpd: called when the head is complete, for each block of the
 * body, and at the end of the body. */
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
  PhExchange *exchange = *state;

  (void)user;
  (void)url;
  (void)version;
  if (exchange == NULL)
    return ph_listener_respond (connection, ph_reason_status (PH_REASON_TABLE_FULL), "text/plain",
                                PH_TABLE_FULL_TEXT, strlen (PH_TABLE_FULL_TEXT));
  if (exchange->state == PH_EXCHANGE_NEW)
    ph_dispatch_open (exchange, method);
  if (exchange->state == PH_EXCHANGE_HEAD)
    return handle_head (exchange);
  if (*upload_size > 0)
    return handle_body (exchange, upload, upload_size);
  return handle_body_end (exchange);
}

static void
on_completed (void *user,
              struct MHD_Connection *connection,
              void **state,
              enum MHD_RequestTerminationCode code)
{
  PhExchange *exchange = *state;

  (void)user;
  (void)connection;
  (void)code;
  if (exchange != NULL)
    ph_dispatch_close (exchange);
  *state = NULL;
}

static bool
start_server (PhFrontServer *server,
              PhNode *node,
              PhOrigin origin,
              const PhListenerOptions *opts,
              PhError *err)
{
  PhListenerOptions server_opts = *opts;

  server->node = node;
  server->origin = origin;
  server_opts.address = node->settings.address;
  server_opts.idle_seconds = PH_CONNECTION_IDLE_SECONDS;
  server_opts.handler = on_request;
  server_opts.on_uri = on_uri;
  server_opts.on_completed = on_completed;
  server_opts.on_connection = on_connection;
  server_opts.user = server;
  if (!ph_table_init (&server->connections, sizeof (Connection), opts->connections_max, err))
    return false;
  server->close_epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (server->close_epoll_fd < 0)
    return ph_error_set (err, PH_ERROR_IO, PH_STEP_LISTEN, NULL,
                         "cannot create the epoll set for closed connections");
  ev_io_init (&server->close_watcher, on_close_events, server->close_epoll_fd, EV_READ);
  server->close_watcher.data = server;
  ev_io_start (node->loop, &server->close_watcher);
  return ph_listener_start (&server->listener, node, &server_opts, err);
}

/* Starts the server of callers: with one request in work for each connection that of libmicrohttpd,
 * which can have no more. */
static bool
start_caller_server (PhFront *front, PhNode *node, const PhListenerOptions *opts, PhError *err)
{
  const PhPipelineOptions pipeline
      = { .address = node->settings.address,
          .port = opts->port,
          .connections_max = opts->connections_max,
          .connections_per_address_max = opts->connections_per_address_max,
          .idle_seconds = PH_CONNECTION_IDLE_SECONDS,
          .requests_max = (uint32_t)node->settings.pipelined_requests };

  if (pipeline.requests_max <= 1)
    return start_server (&front->callers, node, PH_ORIGIN_CALLER, opts, err);
  front->pipeline = ph_pipeline_new (node, &pipeline, err);
  return front->pipeline != NULL;
}

PhFront *
ph_front_new (PhNode *node, PhError *err)
{
  const PhNodeSettings *settings = &node->settings;
  PhFront *front = calloc (1, sizeof *front);
  const PhListenerOptions callers
      = { .port = (uint16_t)settings->port_call,
          .connections_max = (uint32_t)settings->caller_connections,
          .connections_per_address_max = (uint32_t)settings->connections_per_caller };
  const PhListenerOptions peers
      = { .port = (uint16_t)settings->port_peer, .connections_max = PEER_CONNECTIONS_MAX };

  if (front == NULL)
    {
      ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_LISTEN, NULL,
                    "out of memory for the HTTP servers of calls");
      return NULL;
    }
  front->callers.close_epoll_fd = front->peers.close_epoll_fd = -1;
  if (start_caller_server (front, node, &callers, err)
      && start_server (&front->peers, node, PH_ORIGIN_PEER, &peers, err))
    return front;
  ph_front_drop (front);
  return NULL;
}

/* libmicrohttpd aborts the process when it is stopped while a connection is suspended. */
static void
resume_suspended (PhFrontServer *server)
{
  PhDispatch *dispatch = server->node->dispatch;
  PhExchangeId id = { 0 };

  while ((id = ph_exchange_next (&dispatch->exchanges, id)).v != 0)
    {
      PhExchange *exchange = ph_exchange_get (&dispatch->exchanges, id);

      const Connection *c = exchange->request.handle;

      if (c->server == server && exchange->is_suspended)
        {
          exchange->is_suspended = false;
          MHD_resume_connection (mhd_connection (exchange));
        }
    }
}

static void
stop_server (PhFrontServer *server)
{
  if (server->node != NULL)
    resume_suspended (server);
  ph_listener_stop (&server->listener);
  if (server->close_epoll_fd >= 0)
    {
      ev_io_stop (server->node->loop, &server->close_watcher);
      close (server->close_epoll_fd);
    }
  ph_table_clear (&server->connections);
}

void
ph_front_drop (PhFront *front)
{
  if (front == NULL)
    return;
  ph_pipeline_drop (front->pipeline);
  stop_server (&front->callers);
  stop_server (&front->peers);
  free (front);
}

void
ph_front_settings_changed (PhFront *front)
{
  PhNode *node = front->peers.node;
  uint32_t requests_max = (uint32_t)node->settings.pipelined_requests;

  if (front->pipeline != NULL)
    ph_pipeline_set_limit (front->pipeline, requests_max);
  else if (requests_max > 1)
    ph_log (&node->ctx, PH_LOG_WARNING, PH_STEP_SETTINGS, NULL,
            "pipelined-requests: %u takes effect when the node is started again", requests_max);
}

void
ph_front_quiesce (PhFront *front)
{
  if (front->pipeline != NULL)
    ph_pipeline_quiesce (front->pipeline);
  else
    ph_listener_quiesce (&front->callers.listener);
  ph_listener_quiesce (&front->peers.listener);
}

bool
ph_front_is_idle (const PhFront *front)
{
  return front->pipeline == NULL || ph_pipeline_is_idle (front->pipeline);
}

bool
ph_front_system (PhFront *front)
{
  bool has_worked = front->pipeline != NULL ? ph_pipeline_system (front->pipeline)
                                            : ph_listener_system (&front->callers.listener);

  return ph_listener_system (&front->peers.listener) || has_worked;
}
