#include "node/pipeline.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node/pipeline_rows.h"

#define BACKLOG 511    /* as libmicrohttpd */
#define ACCEPTS_MAX 64 /* connections that are accepted in one callback */
#define CLOSE_EVENTS_MAX 64
#define IDLE_CHECK_SECONDS 2.0

/* After the last response a connection is read for this long, so that bytes which are still
 * arriving do not reset it before the caller has the response. */
#define LINGER_TIME (2 * PH_SECOND)

PhPipelineRequest *
ph_pipeline_first (PhPipelineConnection *c)
{
  return ph_pipeline_request_get (&c->server->requests, c->first);
}

PhExchange *
ph_pipeline_exchange (const PhPipelineRequest *request)
{
  return ph_exchange_get (&request->connection->server->node->dispatch->exchanges,
                          request->exchange);
}

void
ph_pipeline_mark_pending (PhPipelineConnection *c)
{
  if (!c->is_pending)
    c->is_pending = ph_queue_push (&c->server->pending, c->id.v);
}

static uint32_t
count_of_address (const PhPipelineServer *server, uint32_t address)
{
  return GPOINTER_TO_UINT (
      g_hash_table_lookup (server->address_counts, GUINT_TO_POINTER (address)));
}

static void
set_count_of_address (PhPipelineServer *server, uint32_t address, uint32_t count)
{
  if (count > 0)
    g_hash_table_insert (server->address_counts, GUINT_TO_POINTER (address),
                         GUINT_TO_POINTER (count));
  else
    g_hash_table_remove (server->address_counts, GUINT_TO_POINTER (address));
}

/* Accepts connections again once there is room for one. */
static void
resume_accepting (PhPipelineServer *server)
{
  if (server->listen_fd >= 0 && !ev_is_active (&server->acceptor)
      && server->connections.count < server->opts.connections_max)
    ev_io_start (server->node->loop, &server->acceptor);
}

/* Reads and drops what arrives after the last response. Returns false at the end of the input. */
static bool
drop_input (PhPipelineConnection *c)
{
  char bytes[4096];
  ssize_t count = recv (c->fd, bytes, sizeof bytes, 0);

  return count > 0 || (count < 0 && (errno == EAGAIN || errno == EINTR));
}

static void
close_connection (PhPipelineConnection *c)
{
  PhPipelineServer *server = c->server;
  const struct sockaddr none = { .sa_family = AF_UNSPEC };
  /* The end of the connection would pass as that of an incomplete response without a length. */
  bool needs_reset = c->is_unframed && (c->request_count > 0 || c->output_begin < c->output_end);

  while (ph_pipeline_first (c) != NULL)
    ph_pipeline_end_request (c);
  ev_io_stop (server->node->loop, &c->reader);
  ev_io_stop (server->node->loop, &c->writer);
  /* Linux resets a TCP connection that is dissolved. */
  if (needs_reset)
    (void)connect (c->fd, &none, sizeof none);
  close (c->fd);
  free (c->input);
  free (c->output);
  set_count_of_address (server, c->address, count_of_address (server, c->address) - 1);
  ph_pipeline_connection_remove (&server->connections, c->id);
  resume_accepting (server);
}

/* Sends what the socket takes. Returns false when the connection is lost. */
static bool
flush_output (PhPipelineConnection *c)
{
  while (c->output_begin < c->output_end)
    {
      ssize_t count = send (c->fd, c->output + c->output_begin, c->output_end - c->output_begin,
                            MSG_NOSIGNAL);

      if (count < 0 && errno == EINTR)
        continue;
      if (count < 0)
        return errno == EAGAIN || errno == EWOULDBLOCK;
      c->output_begin += (size_t)count;
      c->active_at = c->server->node->ctx.now;
    }
  c->output_begin = c->output_end = 0;
  return true;
}

/* Frees the buffers of a connection that waits for its next request. */
static void
free_idle_buffers (PhPipelineConnection *c)
{
  if (c->request_count > 0 || c->input_begin < c->input_end || c->output_end > 0)
    return;
  free (c->input);
  c->input = NULL;
  c->input_begin = c->input_end = 0;
  if (c->output_capacity > PH_PIPELINE_BLOCK_SIZE)
    {
      free (c->output);
      c->output = NULL;
      c->output_capacity = 0;
    }
}

/* Ends the sending direction once all output is sent. */
static void
begin_linger (PhPipelineConnection *c)
{
  c->is_lingering = true;
  c->active_at = c->server->node->ctx.now;
  shutdown (c->fd, SHUT_WR);
}

/* Starts the watchers that the state of the connection needs. The reader is stopped only when
 * bytes arrive that cannot be read yet, which saves system calls. */
static void
update_watchers (PhPipelineConnection *c)
{
  struct ev_loop *loop = c->server->node->loop;

  if (c->output_begin < c->output_end)
    ev_io_start (loop, &c->writer);
  else
    ev_io_stop (loop, &c->writer);
  if (!ev_is_active (&c->reader) && !c->is_read_closed
      && (c->is_lingering || ph_pipeline_wants_input (c)))
    ev_io_start (loop, &c->reader);
}

/* Parses, responds and sends as far as possible. The connection may be closed and its row removed.
 */
static void
serve (PhPipelineConnection *c)
{
  bool has_progress = true;

  while (has_progress && !c->closes_after_output)
    {
      uint32_t count = c->request_count;
      size_t unsent;

      has_progress = ph_pipeline_parse (c);
      if (!ph_pipeline_respond (c))
        goto close;
      unsent = c->output_end - c->output_begin;
      if (!flush_output (c))
        goto close;
      /* A response waits while too much is unsent: it goes on once that was sent. */
      has_progress = has_progress || c->request_count != count
                     || (unsent >= PH_PIPELINE_OUTPUT_MAX && c->output_end == 0);
    }
  if (!flush_output (c))
    goto close;
  if (c->output_end == 0)
    {
      /* The caller can send nothing more, and nothing is left to be sent. */
      if (c->request_count == 0 && c->is_read_closed)
        goto close;
      if (c->closes_after_output && !c->is_lingering)
        begin_linger (c);
    }
  free_idle_buffers (c);
  update_watchers (c);
  return;

close:
  close_connection (c);
}

/* The caller has closed its sending direction. A request that has not arrived whole never will, and
 * the calls of the others are cancelled: most callers that close have left. */
static void
handle_read_closed (PhPipelineConnection *c)
{
  PhPipelineRequestId id = c->first;

  c->is_caller_gone = true;
  while (id.v != 0)
    {
      PhPipelineRequest *request = ph_pipeline_request_get (&c->server->requests, id);
      PhExchange *exchange = ph_pipeline_exchange (request);

      if (exchange != NULL)
        ph_dispatch_caller_closed (exchange);
      id = request->next;
    }
}

static void
end_of_input (PhPipelineConnection *c)
{
  c->is_read_closed = true;
  ev_io_stop (c->server->node->loop, &c->reader);
  handle_read_closed (c);
  c->is_input_over = true;
  if (c->parsing.v != 0)
    {
      PhPipelineRequest *request = ph_pipeline_request_get (&c->server->requests, c->parsing);
      PhExchange *exchange = ph_pipeline_exchange (request);

      if (exchange != NULL)
        ph_dispatch_close (exchange);
      request->exchange.v = 0;
      request->error_status = 0;
      c->parsing.v = 0;
      c->body_rest_size = 0;
    }
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  PhPipelineConnection *c = watcher->data;
  ssize_t count;

  (void)events;
  ph_node_update_clock (c->server->node);
  if (c->is_lingering)
    {
      if (!drop_input (c))
        close_connection (c);
      return;
    }
  if (!ph_pipeline_wants_input (c))
    {
      ev_io_stop (loop, watcher);
      return;
    }
  if (c->input == NULL && (c->input = malloc (PH_PIPELINE_BLOCK_SIZE)) == NULL)
    {
      close_connection (c);
      return;
    }
  count = recv (c->fd, c->input, PH_PIPELINE_BLOCK_SIZE, 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (count < 0)
    {
      close_connection (c);
      return;
    }
  c->active_at = c->server->node->ctx.now;
  c->input_begin = 0;
  c->input_end = (size_t)count;
  if (count == 0)
    end_of_input (c);
  serve (c);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  ph_node_update_clock (((PhPipelineConnection *)watcher->data)->server->node);
  serve (watcher->data);
}

/* Cancels the calls of each connection that the other side has closed, also while nothing is read
 * from it. */
static void
on_close_events (struct ev_loop *loop, ev_io *watcher, int events)
{
  PhPipelineServer *server = watcher->data;
  struct epoll_event closed[CLOSE_EVENTS_MAX];
  int count = epoll_wait (server->close_epoll_fd, closed, CLOSE_EVENTS_MAX, 0);

  (void)loop;
  (void)events;
  ph_node_update_clock (server->node);
  for (int i = 0; i < count; i++)
    {
      PhPipelineConnectionId id = { closed[i].data.u32 };
      PhPipelineConnection *c = ph_pipeline_connection_get (&server->connections, id);

      if (c == NULL)
        continue;
      if ((closed[i].events & (EPOLLERR | EPOLLHUP)) != 0 && !c->is_lingering)
        close_connection (c);
      else
        handle_read_closed (c);
    }
}

static void
add_connection (PhPipelineServer *server, int fd, uint32_t address)
{
  const int one = 1;
  struct epoll_event event = { .events = EPOLLRDHUP | EPOLLET };
  PhPipelineConnection *c;
  PhPipelineConnectionId id = ph_pipeline_connection_add (&server->connections, &c);

  if (id.v == 0)
    {
      close (fd);
      return;
    }
  c->id = id;
  c->server = server;
  c->fd = fd;
  c->address = address;
  c->active_at = server->node->ctx.now;
  http_parser_init (&c->parser, HTTP_REQUEST);
  c->parser.data = c;
  ev_io_init (&c->reader, on_readable, fd, EV_READ);
  ev_io_init (&c->writer, on_writable, fd, EV_WRITE);
  c->reader.data = c->writer.data = c;
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  event.data.u32 = id.v;
  epoll_ctl (server->close_epoll_fd, EPOLL_CTL_ADD, fd, &event);
  set_count_of_address (server, address, count_of_address (server, address) + 1);
  ev_io_start (server->node->loop, &c->reader);
}

static void
on_acceptable (struct ev_loop *loop, ev_io *watcher, int events)
{
  PhPipelineServer *server = watcher->data;

  (void)events;
  ph_node_update_clock (server->node);
  for (int i = 0; i < ACCEPTS_MAX; i++)
    {
      struct sockaddr_in address = { 0 };
      socklen_t size = sizeof address;
      int fd;

      if (server->connections.count >= server->opts.connections_max)
        {
          ev_io_stop (loop, watcher);
          return;
        }
      fd = accept4 (server->listen_fd, (struct sockaddr *)&address, &size,
                    SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        {
          /* Without a free descriptor or memory the port stays readable: the next check of idle
           * connections, or the next connection that closes, tries again. */
          if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
            ev_io_stop (loop, watcher);
          return;
        }
      if (count_of_address (server, address.sin_addr.s_addr)
          < server->opts.connections_per_address_max)
        add_connection (server, fd, address.sin_addr.s_addr);
      else
        close (fd);
    }
}

/* Whether nothing has moved on a connection for too long while it waits for the caller. */
static bool
is_idle (PhPipelineConnection *c)
{
  PhTime age = c->server->node->ctx.now - c->active_at;
  bool waits_for_caller
      = c->request_count == 0 || ph_pipeline_waits_for_body (c) || c->output_begin < c->output_end;

  return c->is_lingering ? age >= LINGER_TIME
                         : waits_for_caller && age >= c->server->opts.idle_seconds * PH_SECOND;
}

static void
on_idle_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  PhPipelineServer *server = timer->data;
  PhPipelineConnectionId id = { 0 };

  (void)loop;
  (void)events;
  ph_node_update_clock (server->node);
  while ((id = ph_pipeline_connection_next (&server->connections, id)).v != 0)
    {
      PhPipelineConnection *c = ph_pipeline_connection_get (&server->connections, id);

      if (is_idle (c))
        close_connection (c);
    }
  resume_accepting (server);
}

static bool
open_port (PhPipelineServer *server, PhError *err)
{
  const PhPipelineOptions *opts = &server->opts;
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (opts->port) };
  const int one = 1;

  if (inet_pton (AF_INET, opts->address, &address.sin_addr) != 1)
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_LISTEN, opts->address,
                         "listen address \"%.45s\" is not an IPv4 address", opts->address);
  server->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (server->listen_fd < 0
      || setsockopt (server->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) != 0
      || bind (server->listen_fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (server->listen_fd, BACKLOG) != 0)
    return ph_error_set (err, PH_ERROR_IO, PH_STEP_LISTEN, opts->address, "cannot listen on %s:%u",
                         opts->address, opts->port);
  return true;
}

static bool
start_server (PhPipelineServer *server, PhError *err)
{
  struct ev_loop *loop = server->node->loop;
  uint32_t connections = server->opts.connections_max;

  if (!ph_table_init (&server->connections, sizeof (PhPipelineConnection), connections, err)
      || !ph_table_init (&server->requests, sizeof (PhPipelineRequest),
                         connections + PH_PIPELINED_REQUESTS_MAX, err)
      || !ph_queue_init (&server->pending, connections, err) || !open_port (server, err))
    return false;
  server->close_epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (server->close_epoll_fd < 0)
    return ph_error_set (err, PH_ERROR_IO, PH_STEP_LISTEN, NULL,
                         "cannot create the epoll set for closed connections");
  ev_io_init (&server->close_watcher, on_close_events, server->close_epoll_fd, EV_READ);
  ev_io_init (&server->acceptor, on_acceptable, server->listen_fd, EV_READ);
  ev_timer_init (&server->idle_timer, on_idle_timer, IDLE_CHECK_SECONDS, IDLE_CHECK_SECONDS);
  server->close_watcher.data = server->acceptor.data = server->idle_timer.data = server;
  ev_io_start (loop, &server->close_watcher);
  ev_io_start (loop, &server->acceptor);
  ev_timer_start (loop, &server->idle_timer);
  return true;
}

PhPipelineServer *
ph_pipeline_new (PhNode *node, const PhPipelineOptions *opts, PhError *err)
{
  PhPipelineServer *server = calloc (1, sizeof *server);

  if (server == NULL)
    {
      ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_LISTEN, NULL,
                    "out of memory for the HTTP server of callers");
      return NULL;
    }
  server->node = node;
  server->opts = *opts;
  server->listen_fd = server->close_epoll_fd = -1;
  server->address_counts = g_hash_table_new (g_direct_hash, g_direct_equal);
  if (start_server (server, err))
    return server;
  ph_pipeline_drop (server);
  return NULL;
}

void
ph_pipeline_drop (PhPipelineServer *server)
{
  PhPipelineConnectionId id = { 0 };

  if (server == NULL)
    return;
  while ((id = ph_pipeline_connection_next (&server->connections, id)).v != 0)
    close_connection (ph_pipeline_connection_get (&server->connections, id));
  ph_pipeline_quiesce (server);
  if (server->close_epoll_fd >= 0)
    {
      ev_io_stop (server->node->loop, &server->close_watcher);
      ev_timer_stop (server->node->loop, &server->idle_timer);
      close (server->close_epoll_fd);
    }
  g_hash_table_destroy (server->address_counts);
  ph_table_clear (&server->connections);
  ph_table_clear (&server->requests);
  ph_queue_clear (&server->pending);
  free (server);
}

void
ph_pipeline_set_limit (PhPipelineServer *server, uint32_t requests_max)
{
  server->opts.requests_max = requests_max;
}

void
ph_pipeline_quiesce (PhPipelineServer *server)
{
  if (server->listen_fd < 0)
    return;
  ev_io_stop (server->node->loop, &server->acceptor);
  close (server->listen_fd);
  server->listen_fd = -1;
}

bool
ph_pipeline_is_idle (const PhPipelineServer *server)
{
  PhPipelineConnectionId id = { 0 };

  while ((id = ph_pipeline_connection_next (&server->connections, id)).v != 0)
    {
      const PhPipelineConnection *c = ph_pipeline_connection_get (&server->connections, id);

      if (c->request_count > 0 || c->output_begin < c->output_end)
        return false;
    }
  return true;
}

bool
ph_pipeline_system (PhPipelineServer *server)
{
  bool has_worked = server->pending.count > 0;
  uint32_t handle;

  while ((handle = ph_queue_pop (&server->pending)) != 0)
    {
      PhPipelineConnection *c
          = ph_pipeline_connection_get (&server->connections, (PhPipelineConnectionId){ handle });

      if (c == NULL)
        continue;
      c->is_pending = false;
      serve (c);
    }
  return has_worked;
}
