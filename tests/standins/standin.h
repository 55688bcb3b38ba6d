#ifndef PH_STANDIN_H
#define PH_STANDIN_H

#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

/*
 * What the stand-ins share: a µs timer, an HTTP server and an HTTP client on
 * one libev loop, and the generated bodies that every answer is checked
 * against. Each stand-in is a single source file, so this is all inline.
 */

#define PH_NEVER INT64_MAX

static inline int64_t
ph_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* The finaliser of splitmix64: a number that is random for each x. */
static inline uint64_t
ph_mix (uint64_t x)
{
  x += 0x9e3779b97f4a7c15u;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

/* From 0 up to, not including, 1. */
static inline double
ph_fraction (uint64_t x)
{
  return (double)(x >> 11) * 0x1p-53;
}

static inline uint64_t
ph_hash (const char *text)
{
  return XXH3_64bits (text, strlen (text));
}

/* Body bytes. Byte i depends on the seed and i only, so any part can be generated and checked. */

static inline char
ph_body_byte (uint64_t seed, uint64_t at)
{
  return (char)(ph_mix (seed + at / 8) >> (at % 8 * 8));
}

static inline void
ph_body_fill (uint64_t seed, uint64_t at, char *out, size_t size)
{
  size_t i = 0;

  for (; i < size && (at + i) % 8 != 0; i++)
    out[i] = ph_body_byte (seed, at + i);
  for (; i + 8 <= size; i += 8)
    {
      uint64_t word = ph_mix (seed + (at + i) / 8);

      memcpy (out + i, &word, 8);
    }
  for (; i < size; i++)
    out[i] = ph_body_byte (seed, at + i);
}

static inline bool
ph_body_equals (uint64_t seed, uint64_t at, const char *data, size_t size)
{
  char block[4096];

  for (size_t i = 0; i < size; i += sizeof block)
    {
      size_t part = MIN (sizeof block, size - i);

      ph_body_fill (seed, at + i, block, part);
      if (memcmp (block, data + i, part) != 0)
        return false;
    }
  return true;
}

/* libev's own timers have the resolution of epoll_wait, 1 ms. */
typedef struct
{
  ev_io io;
  int64_t due_at;
  void (*func) (void *user);
  void *user;
} PhTimerFd;

static inline void
ph_timerfd_fire (struct ev_loop *loop, ev_io *io, int events)
{
  PhTimerFd *alarm = io->data;
  uint64_t count;

  (void)loop;
  (void)events;
  if (read (io->fd, &count, sizeof count) != sizeof count)
    return;
  alarm->due_at = PH_NEVER;
  alarm->func (alarm->user);
}

/* Calls func at a time; PH_NEVER takes the alarm back. */
static inline void
ph_timerfd_set (PhTimerFd *alarm, int64_t at)
{
  struct itimerspec when = { 0 };

  if (at == alarm->due_at)
    return;
  alarm->due_at = at;
  if (at != PH_NEVER)
    {
      when.it_value.tv_sec = at / 1000000;
      when.it_value.tv_nsec = at % 1000000 * 1000 + 1;
    }
  timerfd_settime (alarm->io.fd, TFD_TIMER_ABSTIME, &when, NULL);
}

static inline void
ph_timerfd_init (PhTimerFd *alarm, struct ev_loop *loop, void (*func) (void *user), void *user)
{
  alarm->func = func;
  alarm->user = user;
  alarm->due_at = PH_NEVER;
  ev_io_init (&alarm->io, ph_timerfd_fire,
              timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC), EV_READ);
  alarm->io.data = alarm;
  ev_io_start (loop, &alarm->io);
}

/* HTTP server: libmicrohttpd's epoll descriptor in a libev loop. */
typedef struct
{
  struct MHD_Daemon *daemon;
  ev_io readable;
  ev_timer wake;
  ev_prepare prepare;
  bool is_resumed; /* a connection was resumed: MHD_run has work */
} PhServer;

static inline void
ph_server_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  PhServer *server = prepare->data;
  MHD_UNSIGNED_LONG_LONG timeout;

  (void)events;
  while (server->is_resumed)
    {
      server->is_resumed = false;
      MHD_run (server->daemon);
    }
  ev_timer_stop (loop, &server->wake);
  if (MHD_get_timeout (server->daemon, &timeout) == MHD_YES)
    {
      ev_timer_set (&server->wake, (double)timeout / 1000, 0);
      ev_timer_start (loop, &server->wake);
    }
}

static inline void
ph_server_readable (struct ev_loop *loop, ev_io *io, int events)
{
  PhServer *server = io->data;

  (void)loop;
  (void)events;
  MHD_run (server->daemon);
}

static inline void
ph_server_wake (struct ev_loop *loop, ev_timer *timer, int events)
{
  PhServer *server = timer->data;

  (void)loop;
  (void)events;
  MHD_run (server->daemon);
}

static inline void
ph_server_resume (PhServer *server, struct MHD_Connection *connection)
{
  MHD_resume_connection (connection);
  server->is_resumed = true;
}

/* Ends the process with a message when the address cannot be used. */
static inline void
ph_server_start (PhServer *server,
                 struct ev_loop *loop,
                 const char *address,
                 int port,
                 unsigned connections,
                 MHD_AccessHandlerCallback handle,
                 MHD_RequestCompletedCallback completed)
{
  struct sockaddr_in where = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  const union MHD_DaemonInfo *info;

  if (inet_pton (AF_INET, address, &where.sin_addr) == 1)
    server->daemon = MHD_start_daemon (
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle, NULL, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&where, MHD_OPTION_CONNECTION_LIMIT, connections,
        MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024u, MHD_OPTION_NOTIFY_COMPLETED, completed, NULL,
        MHD_OPTION_END);
  if (server->daemon == NULL)
    {
      fprintf (stderr, "cannot listen on %s:%d\n", address, port);
      exit (1);
    }
  info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init (&server->readable, ph_server_readable, info->epoll_fd, EV_READ);
  server->readable.data = server;
  ev_io_start (loop, &server->readable);
  ev_timer_init (&server->wake, ph_server_wake, 0, 0);
  server->wake.data = server;
  ev_prepare_init (&server->prepare, ph_server_prepare);
  server->prepare.data = server;
  ev_prepare_start (loop, &server->prepare);
}

/* Queues a response with a small body and drops it. */
static inline enum MHD_Result
ph_server_reply (struct MHD_Connection *connection, unsigned status, const char *body)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (body), (void *)body, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result = MHD_queue_response (connection, status, response);

  MHD_destroy_response (response);
  return result;
}

/* Queues a JSON object and drops it. */
static inline enum MHD_Result
ph_server_reply_json (struct MHD_Connection *connection, unsigned status, json_t *object)
{
  char *text = json_dumps (object, JSON_COMPACT);
  enum MHD_Result result = ph_server_reply (connection, status, text);

  free (text);
  json_decref (object);
  return result;
}

static inline const char *
ph_server_field (struct MHD_Connection *connection, const char *name)
{
  return MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);
}

static inline const char *
ph_server_argument (struct MHD_Connection *connection, const char *name, const char *fallback)
{
  const char *value = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);

  return value != NULL ? value : fallback;
}

/* HTTP client: libcurl's multi handle in a libev loop. */
typedef struct
{
  CURLM *multi;
  struct ev_loop *loop;
  ev_timer timer;
  void (*done) (void *user, CURL *easy, CURLcode code);
  void *user;
} PhClient;

static inline void
ph_client_collect (PhClient *client)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (client->multi, &left)) != NULL)
    if (message->msg == CURLMSG_DONE)
      {
        CURL *easy = message->easy_handle;
        CURLcode code = message->data.result;

        curl_multi_remove_handle (client->multi, easy);
        client->done (client->user, easy, code);
      }
}

static inline void
ph_client_event (struct ev_loop *loop, ev_io *io, int events)
{
  PhClient *client = io->data;
  int running;

  (void)loop;
  curl_multi_socket_action (client->multi, io->fd,
                            ((events & EV_READ) ? CURL_CSELECT_IN : 0)
                                | ((events & EV_WRITE) ? CURL_CSELECT_OUT : 0),
                            &running);
  ph_client_collect (client);
}

static inline void
ph_client_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  PhClient *client = timer->data;
  int running;

  (void)loop;
  (void)events;
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  ph_client_collect (client);
}

static inline int
ph_client_watch (CURL *easy, curl_socket_t fd, int what, void *user, void *watcher)
{
  PhClient *client = user;
  ev_io *io = watcher;

  (void)easy;
  if (io != NULL)
    ev_io_stop (client->loop, io);
  if (what == CURL_POLL_REMOVE)
    {
      g_free (io);
      return 0;
    }
  if (io == NULL)
    {
      io = g_new0 (ev_io, 1);
      curl_multi_assign (client->multi, fd, io);
    }
  ev_io_init (io, ph_client_event, fd,
              ((what & CURL_POLL_IN) ? EV_READ : 0) | ((what & CURL_POLL_OUT) ? EV_WRITE : 0));
  io->data = client;
  ev_io_start (client->loop, io);
  return 0;
}

static inline int
ph_client_set_timer (CURLM *multi, long timeout_ms, void *user)
{
  PhClient *client = user;

  (void)multi;
  ev_timer_stop (client->loop, &client->timer);
  if (timeout_ms >= 0)
    {
      ev_timer_set (&client->timer, (double)timeout_ms / 1000, 0);
      ev_timer_start (client->loop, &client->timer);
    }
  return 0;
}

static inline void
ph_client_init (PhClient *client,
                struct ev_loop *loop,
                long connections,
                void (*done) (void *user, CURL *easy, CURLcode code),
                void *user)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
  client->multi = curl_multi_init ();
  client->loop = loop;
  client->done = done;
  client->user = user;
  ev_timer_init (&client->timer, ph_client_timeout, 0, 0);
  client->timer.data = client;
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, ph_client_watch);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, ph_client_set_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, connections);
}

static inline size_t
ph_client_discard (char *data, size_t size, size_t count, void *user)
{
  (void)data;
  (void)user;
  return size * count;
}

/* Builds one "Name: value" field of a request. */
#define PH_APPEND_FIELD(list, ...)                                                                 \
  do                                                                                               \
    {                                                                                              \
      char line_[256];                                                                             \
      snprintf (line_, sizeof line_, __VA_ARGS__);                                                 \
      (list) = curl_slist_append ((list), line_);                                                  \
    }                                                                                              \
  while (0)

static inline void
ph_loop_stop (struct ev_loop *loop, ev_signal *signal, int events)
{
  (void)signal;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

/* Parses the flags; a wrong flag ends the process with status 2. SIGTERM and SIGINT end the loop.
 */
static inline struct ev_loop *
ph_standin_init (int *argc, char ***argv, const char *summary, const GOptionEntry *flags)
{
  static ev_signal stop[2];
  struct ev_loop *loop = ev_default_loop (0);
  GOptionContext *options = g_option_context_new (NULL);
  GError *failure = NULL;

  g_option_context_set_summary (options, summary);
  g_option_context_add_main_entries (options, flags, NULL);
  if (!g_option_context_parse (options, argc, argv, &failure))
    {
      fprintf (stderr, "%s: %s\n", (*argv)[0], failure->message);
      exit (2);
    }
  g_option_context_free (options);
  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&stop[0], ph_loop_stop, SIGTERM);
  ev_signal_init (&stop[1], ph_loop_stop, SIGINT);
  ev_signal_start (loop, &stop[0]);
  ev_signal_start (loop, &stop[1]);
  return loop;
}

#endif
