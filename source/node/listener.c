#include "node/listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Memory pool of one connection in bytes; the request line and all fields must fit in it. */
#define CONNECTION_MEMORY_BYTES (32u * 1024)

/* Sets the timer to the daemon's next timeout. */
static void
schedule_timeout (PhListener *listener)
{
  MHD_UNSIGNED_LONG_LONG timeout_ms;

  ev_timer_stop (listener->node->loop, &listener->timer);
  if (MHD_get_timeout (listener->daemon, &timeout_ms) != MHD_YES)
    return;
  ev_timer_set (&listener->timer, (double)timeout_ms / 1e3, 0);
  ev_timer_start (listener->node->loop, &listener->timer);
}

static void
run_daemon (PhListener *listener)
{
  ph_node_update_clock (listener->node);
  MHD_run (listener->daemon);
  schedule_timeout (listener);
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  run_daemon (watcher->data);
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  run_daemon (watcher->data);
}

static bool
parse_address (const char *address, uint16_t port, struct sockaddr_in *out)
{
  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  out->sin_port = htons (port);
  return inet_pton (AF_INET, address, &out->sin_addr) == 1;
}

bool
ph_listener_start (PhListener *listener, PhNode *node, const PhListenerOptions *opts, PhError *err)
{
  struct sockaddr_in address;
  const union MHD_DaemonInfo *info;

  memset (listener, 0, sizeof *listener);
  listener->node = node;
  if (!parse_address (opts->address, opts->port, &address))
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_LISTEN, opts->address,
                         "listen address \"%.45s\" is not an IPv4 address", opts->address);
  listener->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, opts->port, NULL, NULL, opts->handler, opts->user,
      MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
      MHD_OPTION_CONNECTION_LIMIT, opts->connections_max, MHD_OPTION_PER_IP_CONNECTION_LIMIT,
      opts->connections_per_address_max, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_TIMEOUT, opts->idle_seconds,
      MHD_OPTION_URI_LOG_CALLBACK, opts->on_uri, opts->user, MHD_OPTION_NOTIFY_CONNECTION,
      opts->on_connection, opts->user, MHD_OPTION_NOTIFY_COMPLETED, opts->on_completed, opts->user,
      MHD_OPTION_END);
  if (listener->daemon == NULL)
    return ph_error_set (err, PH_ERROR_IO, PH_STEP_LISTEN, opts->address, "cannot listen on %s:%u",
                         opts->address, opts->port);
  info = MHD_get_daemon_info (listener->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init (&listener->readable, on_readable, info->epoll_fd, EV_READ);
  listener->readable.data = listener;
  ev_io_start (node->loop, &listener->readable);
  ev_timer_init (&listener->timer, on_timer, 0, 0);
  listener->timer.data = listener;
  return true;
}

void
ph_listener_quiesce (PhListener *listener)
{
  MHD_socket fd = MHD_quiesce_daemon (listener->daemon);

  if (fd != MHD_INVALID_SOCKET)
    close (fd);
}

void
ph_listener_stop (PhListener *listener)
{
  if (listener->daemon == NULL)
    return;
  ev_io_stop (listener->node->loop, &listener->readable);
  ev_timer_stop (listener->node->loop, &listener->timer);
  MHD_stop_daemon (listener->daemon);
  listener->daemon = NULL;
}

void
ph_listener_resume (PhListener *listener, struct MHD_Connection *connection)
{
  MHD_resume_connection (connection);
  listener->is_pending = true;
}

void
ph_listener_reset (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  const struct sockaddr none = { .sa_family = AF_UNSPEC };

  /* Linux resets a TCP connection that is dissolved. SO_LINGER does not help: libmicrohttpd shuts
   * the sending direction down before it closes the socket. */
  if (info != NULL)
    (void)connect (info->connect_fd, &none, sizeof none);
}

bool
ph_listener_system (PhListener *listener)
{
  if (!listener->is_pending)
    return false;
  listener->is_pending = false;
  run_daemon (listener);
  return true;
}

enum MHD_Result
ph_listener_respond (struct MHD_Connection *connection,
                     int status,
                     const char *content_type,
                     const char *text,
                     size_t size)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (size, (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  if (response == NULL)
    return MHD_NO;
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
  result = MHD_queue_response (connection, (unsigned)status, response);
  MHD_destroy_response (response);
  return result;
}
