#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node/fetch.h"
#include "test.h"

/* The HTTP client, over real sockets: with a server that sends given bytes and closes, and with one
 * that keeps its connections. Guards against a connection that carries an id twice, and against a
 * response that breaks off and counts as complete: health checks, reads and writes of the store
 * have no other sign that it did (libcurl 7.88 ends a transfer without an error when a head breaks
 * off before its length). */

#define OK "HTTP/1.1 200 OK\r\n"
#define INTERIM "HTTP/1.1 103 Early Hints\r\n"
#define WAIT_S 2.0
#define KEPT_MAX 4

typedef struct
{
  const char *name;
  const char *bytes;
  bool is_reset; /* the connection is reset, not closed */
  bool is_ok;
} Case;

static const Case cases[] = {
  { "a response with a length", OK "Content-Length: 2\r\n\r\nab", false, true },
  { "a response in chunks", OK "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", false,
    true },
  { "a response that ends with its connection", OK "\r\nab", false, true },
  { "an error", "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", false, true },
  { "nothing", "", false, false },
  { "cut within the status line", "HTTP/1.1 20", false, false },
  { "cut after the status", "HTTP/1.1 200", false, false },
  { "cut after the status line", OK, false, false },
  { "cut within a field", OK "Conte", false, false },
  { "cut after a field", OK "A: b\r\n", false, false },
  { "cut within the empty line", OK "A: b\r\n\r", false, false },
  { "cut after the length", OK "Content-Length: 2\r\n", false, false },
  { "cut after a length of zero", OK "Content-Length: 0\r\n", false, false },
  { "cut after the encoding", OK "Transfer-Encoding: chunked\r\n", false, false },
  { "cut after an interim response", "HTTP/1.1 100 Continue\r\n\r\n", false, false },
  { "cut within a body with a length", OK "Content-Length: 2\r\n\r\na", false, false },
  { "cut within a chunk", OK "Transfer-Encoding: chunked\r\n\r\n2\r\na", false, false },
  { "cut before the last chunk", OK "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", false, false },
  { "reset within a body without a length", OK "\r\na", true, false },
  { "reset within a body with a length", OK "Content-Length: 2\r\n\r\na", true, false },
  { "a length in an interim response", INTERIM "Content-Length: 1\r\n\r\n" OK "\r\nab", false,
    false },
  { "an encoding in an interim response",
    INTERIM "Transfer-Encoding: chunked\r\n\r\n" OK "\r\n1\r\na\r\n0\r\n\r\n", false, false },
  { "an encoding behind the chunks",
    OK "Transfer-Encoding: chunked, identity\r\n\r\n1\r\na\r\n0\r\n\r\n", false, false },
  { "cut within a chunk size, then another message",
    OK "Transfer-Encoding: chunked\r\n\r\n0" OK "Content-Length: 0\r\n\r\n", false, false },
  { "cut within a chunk size, then a message in chunks",
    OK "Transfer-Encoding: chunked\r\n\r\n0" OK "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    false, false },
  { "a trailer", OK "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nA: b\r\n\r\n", false, true },
  { "an encoding without chunks", OK "Transfer-Encoding: gzip\r\n\r\n", false, false },
  { "chunks in capitals", OK "Transfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", false, true },
  { "a length beyond 64 bits", OK "Content-Length: 18446744073709551617\r\n\r\na", false, false },
  { "a length beyond 63 bits", OK "Content-Length: 9223372036854775808\r\n\r\na", false, false },
  { "a length with a sign", OK "Content-Length: +1\r\n\r\na", false, false },
  { "a list of lengths", OK "Content-Length: 1, 2\r\n\r\na", false, false },
  { "a length with a unit", OK "Content-Length: 1k\r\n\r\na", false, false },
  { "a length that is followed by a space", OK "Content-Length: 1 \r\n\r\na", false, true },
};

/* One server and one transfer. */
typedef struct
{
  PhNode node;
  const Case *test_case;
  int listen_fd;
  uint16_t port;
  ev_io accept_watcher;
  ev_timer reset_timer; /* resets the connection once its bytes have been read */
  int reset_fd;
  ev_io request_watcher; /* of the connection that was opened last, with kept connections */
  int kept_fds[KEPT_MAX];
  uint32_t kept_count;
  uint32_t request_count; /* on kept connections */
  uint32_t
      answered_max; /* number of requests that are answered; the next one ends its connection */
  uint64_t id_hash; /* of the next transfer */
  bool retires;     /* the connection of the next transfer */
  bool is_done;
  PhTransferResult result;
  PhTransferTrace trace;
} Bed;

static void
on_reset (struct ev_loop *loop, ev_timer *watcher, int events)
{
  static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  Bed *bed = watcher->data;

  (void)loop;
  (void)events;
  setsockopt (bed->reset_fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (bed->reset_fd);
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  Bed *bed = watcher->data;
  const char *bytes = bed->test_case->bytes;
  char request[4096];
  int fd = accept (bed->listen_fd, NULL, NULL);

  (void)events;
  CU_ASSERT_FATAL (fd >= 0);
  /* A request that was not read would turn the close into a reset. */
  CU_ASSERT (recv (fd, request, sizeof request, 0) > 0);
  CU_ASSERT_EQUAL (send (fd, bytes, strlen (bytes), MSG_NOSIGNAL), (ssize_t)strlen (bytes));
  if (!bed->test_case->is_reset)
    {
      close (fd);
      return;
    }
  bed->reset_fd = fd;
  ev_timer_set (&bed->reset_timer, 0.05, 0);
  ev_timer_start (loop, &bed->reset_timer);
}

static void
on_done (void *user, PhTransferId id, const PhTransferResult *result)
{
  Bed *bed = user;

  (void)id;
  bed->is_done = true;
  bed->result = *result;
  ev_break (bed->node.loop, EVBREAK_ALL);
}

static void
on_tick (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  Bed *bed = watcher->data;

  (void)loop;
  (void)events;
  ph_node_update_clock (&bed->node);
  ph_fetch_system (bed->node.fetch);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

static void
start_server (Bed *bed)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;

  bed->listen_fd = socket (AF_INET, SOCK_STREAM, 0);
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  CU_ASSERT_EQUAL_FATAL (bind (bed->listen_fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (bed->listen_fd, 4), 0);
  getsockname (bed->listen_fd, (struct sockaddr *)&address, &size);
  bed->port = ntohs (address.sin_port);
  ev_io_init (&bed->accept_watcher, on_accept, bed->listen_fd, EV_READ);
  bed->accept_watcher.data = bed;
  ev_io_start (bed->node.loop, &bed->accept_watcher);
  ev_init (&bed->reset_timer, on_reset);
  bed->reset_timer.data = bed;
}

static void
run_transfer (Bed *bed)
{
  char url[64];
  const PhTransferOptions opts = { .method = "GET",
                                   .url = url,
                                   .body_size = PH_BODY_NONE,
                                   .is_body_collected = true,
                                   .body_limit = 1024,
                                   .id_hash = bed->id_hash,
                                   .funcs = { .done = on_done },
                                   .user = bed };
  ev_prepare tick;
  ev_timer timer;
  PhTransferId id;
  PhError err;

  snprintf (url, sizeof url, "http://127.0.0.1:%u/", bed->port);
  id = ph_fetch_start (bed->node.fetch, &opts, &err);
  CU_ASSERT_FATAL (id.v != 0);
  ev_prepare_init (&tick, on_tick);
  tick.data = bed;
  ev_prepare_start (bed->node.loop, &tick);
  ev_timer_init (&timer, on_timeout, WAIT_S, 0);
  ev_timer_start (bed->node.loop, &timer);
  ev_run (bed->node.loop, 0);
  ev_timer_stop (bed->node.loop, &timer);
  ev_prepare_stop (bed->node.loop, &tick);
  bed->trace = ph_fetch_trace (bed->node.fetch, id);
  if (bed->retires)
    ph_fetch_retire_connection (bed->node.fetch, id);
  ph_fetch_drop_transfer (bed->node.fetch, id);
}

static void
test_responses (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      Bed bed = { .test_case = &cases[i] };
      PhError err;

      bed.node.loop = ev_loop_new (EVFLAG_AUTO);
      ph_node_update_clock (&bed.node);
      bed.node.fetch = ph_fetch_new (&bed.node, 4, &err);
      CU_ASSERT_PTR_NOT_NULL_FATAL (bed.node.fetch);
      start_server (&bed);
      run_transfer (&bed);
      if (!bed.is_done || bed.result.is_ok != cases[i].is_ok)
        {
          fprintf (stderr, "fetch: %s: %s, %s\n", cases[i].name,
                   bed.result.is_ok ? "complete" : "failed", bed.result.text);
          CU_FAIL ("wrong result");
        }
      ev_io_stop (bed.node.loop, &bed.accept_watcher);
      ph_fetch_drop (bed.node.fetch);
      ev_loop_destroy (bed.node.loop);
      close (bed.listen_fd);
    }
}

typedef struct
{
  const char *name;
  uint64_t last_id; /* of the last transfer; 0 for none */
  uint32_t count;   /* of transfers before the last one, with the ids 1 to count */
  bool is_retired;  /* the connection, before the last transfer */
  bool is_kept;     /* the last transfer uses the connection of the one before */
} ReuseCase;

static const ReuseCase reuse_cases[] = {
  { "another id", 2, 1, false, true },
  { "no id", 0, 1, false, false },
  { "the same id", 1, 1, false, false },
  { "an earlier id", 1, 3, false, false },
  { "a retired connection", 2, 1, true, false },
  { "the last id that can be held", 1000, 255, false, true },
  { "all ids that can be held", 1000, 256, false, false },
};

/* Answers each request on a connection that is kept. */
static void
on_request (struct ev_loop *loop, ev_io *watcher, int events)
{
  static const char response[] = OK "Content-Length: 0\r\n\r\n";
  Bed *bed = watcher->data;
  char request[4096];

  (void)events;
  if (recv (watcher->fd, request, sizeof request, 0) <= 0)
    ev_io_stop (loop, watcher);
  else if (++bed->request_count > bed->answered_max)
    shutdown (watcher->fd, SHUT_RDWR);
  else
    CU_ASSERT_EQUAL (send (watcher->fd, response, strlen (response), MSG_NOSIGNAL),
                     (ssize_t)strlen (response));
}

static void
on_accept_kept (struct ev_loop *loop, ev_io *watcher, int events)
{
  Bed *bed = watcher->data;
  int fd = accept (bed->listen_fd, NULL, NULL);

  (void)events;
  CU_ASSERT_FATAL (fd >= 0 && bed->kept_count < KEPT_MAX);
  bed->kept_fds[bed->kept_count++] = fd;
  ev_io_stop (loop, &bed->request_watcher);
  ev_io_set (&bed->request_watcher, fd, EV_READ);
  ev_io_start (loop, &bed->request_watcher);
}

/* Guards against a connection that carries an id twice, that is used after it was retired, or that
 * is not kept at all. */
static void
test_reuse (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (reuse_cases); i++)
    {
      const ReuseCase *c = &reuse_cases[i];
      Bed bed = { .answered_max = UINT32_MAX };
      uint64_t before;
      PhError err;

      bed.node.loop = ev_loop_new (EVFLAG_AUTO);
      ph_node_update_clock (&bed.node);
      bed.node.fetch = ph_fetch_new (&bed.node, 4, &err);
      CU_ASSERT_PTR_NOT_NULL_FATAL (bed.node.fetch);
      start_server (&bed);
      ev_set_cb (&bed.accept_watcher, on_accept_kept);
      ev_init (&bed.request_watcher, on_request);
      bed.request_watcher.data = &bed;
      for (bed.id_hash = 1; bed.id_hash <= c->count; bed.id_hash++)
        {
          bed.retires = c->is_retired;
          run_transfer (&bed);
          CU_ASSERT_EQUAL (bed.trace.connection, 1);
          CU_ASSERT_EQUAL (bed.trace.request_number, bed.id_hash);
        }
      before = bed.trace.connection;
      bed.id_hash = c->last_id;
      run_transfer (&bed);
      if (!bed.result.is_ok || (bed.trace.connection == before) != c->is_kept)
        {
          fprintf (stderr, "fetch: %s: connection %llu, %s\n", c->name,
                   (unsigned long long)bed.trace.connection, bed.result.text);
          CU_FAIL ("wrong connection");
        }
      ev_io_stop (bed.node.loop, &bed.accept_watcher);
      ev_io_stop (bed.node.loop, &bed.request_watcher);
      ph_fetch_drop (bed.node.fetch);
      ev_loop_destroy (bed.node.loop);
      close (bed.listen_fd);
      while (bed.kept_count > 0)
        close (bed.kept_fds[--bed.kept_count]);
    }
}

/* Guards against a request that is sent twice: libcurl does so when a kept connection ends before
 * the first byte of its response. */
static void
test_lost (void)
{
  Bed bed = { .answered_max = 1 };
  PhError err;

  bed.node.loop = ev_loop_new (EVFLAG_AUTO);
  ph_node_update_clock (&bed.node);
  bed.node.fetch = ph_fetch_new (&bed.node, 4, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (bed.node.fetch);
  start_server (&bed);
  ev_set_cb (&bed.accept_watcher, on_accept_kept);
  ev_init (&bed.request_watcher, on_request);
  bed.request_watcher.data = &bed;
  for (bed.id_hash = 1; bed.id_hash <= 2; bed.id_hash++)
    run_transfer (&bed);
  CU_ASSERT_EQUAL (bed.request_count, 2);
  CU_ASSERT_EQUAL (bed.trace.request_number, 2);
  CU_ASSERT_FALSE (bed.result.is_ok);
  CU_ASSERT_TRUE (bed.result.is_sent);
  ev_io_stop (bed.node.loop, &bed.accept_watcher);
  ev_io_stop (bed.node.loop, &bed.request_watcher);
  ph_fetch_drop (bed.node.fetch);
  ev_loop_destroy (bed.node.loop);
  close (bed.listen_fd);
  while (bed.kept_count > 0)
    close (bed.kept_fds[--bed.kept_count]);
}

/* What the owner of a transfer does with a complete response before the next request starts. */
static const struct
{
  const char *name;
  bool is_reported; /* the owner has been told of the response */
  bool is_retired;  /* and retires the connection */
  bool is_dropped;  /* the transfer is dropped */
  int connections;  /* that both requests use */
} unseen_cases[] = {
  { "of a response that the owner accepts", true, false, true, 1 },
  { "of a response that the owner cannot assign", true, true, true, 2 },
  { "of a response that the owner has not seen yet", false, false, false, 2 },
  { "of a response that the owner never saw", false, false, true, 2 },
};

/* A server that keeps its connections open, and two transfers after each other. */
typedef struct
{
  Bed bed;
  size_t index;
  int fds[4];
  ev_io watchers[4];
  int connection_count;
} KeptBed;

static void
on_kept_input (struct ev_loop *loop, ev_io *watcher, int events)
{
  static const char response[] = "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n";
  char request[4096];

  (void)events;
  if (recv (watcher->fd, request, sizeof request, 0) <= 0)
    ev_io_stop (loop, watcher);
  else
    send (watcher->fd, response, strlen (response), MSG_NOSIGNAL);
}

static void
on_kept_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  KeptBed *kept = watcher->data;
  int i = kept->connection_count++;

  (void)events;
  CU_ASSERT_FATAL (i < 4);
  kept->fds[i] = accept (kept->bed.listen_fd, NULL, NULL);
  ev_io_init (&kept->watchers[i], on_kept_input, kept->fds[i], EV_READ);
  ev_io_start (loop, &kept->watchers[i]);
}

static void
on_kept_head (void *user, PhTransferId id, int status)
{
  KeptBed *kept = user;

  CU_ASSERT_EQUAL (status, 503);
  if (unseen_cases[kept->index].is_retired)
    ph_fetch_retire_connection (kept->bed.node.fetch, id);
}

static void
on_kept_done (void *user, PhTransferId id, const PhTransferResult *result)
{
  (void)user;
  (void)id;
  CU_ASSERT (result->is_ok);
}

/* Starts a transfer and runs the loop, without the tick, until its response has arrived. */
static PhTransferId
start_kept_transfer (KeptBed *kept, uint64_t id_hash)
{
  char url[64];
  const PhTransferOptions opts = { .method = "GET",
                                   .url = url,
                                   .body_size = PH_BODY_NONE,
                                   .id_hash = id_hash,
                                   .is_body_collected = true,
                                   .body_limit = 1024,
                                   .funcs = { .head = on_kept_head, .done = on_kept_done },
                                   .user = kept };
  ev_timer timer;
  PhTransferId id;
  PhError err;

  snprintf (url, sizeof url, "http://127.0.0.1:%u/", kept->bed.port);
  id = ph_fetch_start (kept->bed.node.fetch, &opts, &err);
  CU_ASSERT_FATAL (id.v != 0);
  ev_timer_init (&timer, on_timeout, 0.1, 0);
  ev_timer_start (kept->bed.node.loop, &timer);
  ev_run (kept->bed.node.loop, 0);
  return id;
}

/* Guards against a request that is sent on the connection of a refusal without an id before the
 * owner has seen the refusal: a second copy of it passed for the response (tests/soak/platform.sh,
 * seed 1: a request that is not idempotent ran at two upstreams). */
static void
test_unseen (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (unseen_cases); i++)
    {
      KeptBed kept = { .index = i };
      Bed *bed = &kept.bed;
      PhTransferId first;
      PhError err;

      bed->node.loop = ev_loop_new (EVFLAG_AUTO);
      ph_node_update_clock (&bed->node);
      bed->node.fetch = ph_fetch_new (&bed->node, 4, &err);
      CU_ASSERT_PTR_NOT_NULL_FATAL (bed->node.fetch);
      start_server (bed);
      ev_set_cb (&bed->accept_watcher, on_kept_accept);
      bed->accept_watcher.data = &kept;
      first = start_kept_transfer (&kept, 1);
      if (unseen_cases[i].is_reported)
        ph_fetch_system (bed->node.fetch);
      if (unseen_cases[i].is_dropped)
        ph_fetch_drop_transfer (bed->node.fetch, first);
      start_kept_transfer (&kept, 2);
      if (kept.connection_count != unseen_cases[i].connections)
        {
          fprintf (stderr, "fetch: after the end %s: %d connections\n", unseen_cases[i].name,
                   kept.connection_count);
          CU_FAIL ("wrong number of connections");
        }
      ph_fetch_drop (bed->node.fetch);
      for (int j = 0; j < kept.connection_count; j++)
        {
          ev_io_stop (bed->node.loop, &kept.watchers[j]);
          close (kept.fds[j]);
        }
      ev_io_stop (bed->node.loop, &bed->accept_watcher);
      ev_loop_destroy (bed->node.loop);
      close (bed->listen_fd);
    }
}

static const PhTest tests[] = {
  { "responses that break off", test_responses },
  { "connections of responses that their owner has not seen", test_unseen },
  { "connections that are used again", test_reuse },
  { "a request without a response", test_lost },
};
PH_TEST_SUITE (fetch, tests)
