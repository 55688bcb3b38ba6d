#include "node/fetch.h"

#include <curl/curl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "node/buffer.h"
#include "node/connections.h"
#include "node/head.h"
#include "pollenhitch/counter.h"

#define CONNECT_TIMEOUT_DEFAULT PH_SECOND
#define CONNECTION_IDLE_DEFAULT (60 * PH_SECOND)

/* Time without a byte in either direction after which ph_fetch_abort_if_stalled ends a transfer. */
#define SHORT_STALL_SECONDS 1L

/* The smallest that libcurl takes. It keeps this buffer as long as an upload, 64 KiB by default. */
#define UPLOAD_BUFFER_SIZE 16384L
#define IDLE_HANDLES_MAX 256
#define IDLE_CONNECTIONS_MAX 1024

/* The queue of pending rows keeps dropped rows until the next tick, so it has to hold more rows
 * than the table. */
#define PENDING_CAPACITY_FACTOR 4

/* A transfer without is_body_collected in which no byte moves for this time is ended. */
#define STALL_TIMEOUT_SECONDS 60L

typedef struct
{
  PhFetch *fetch;
  PhTransferId id;
  CURL *easy; /* libcurl's handle of the transfer */
  struct curl_slist *request_fields;
  char *request_body; /* owned copy, NULL when funcs.read supplies the body */
  size_t request_body_size;
  size_t request_body_offset; /* bytes of request_body sent */
  PhTransferFuncs funcs;
  void *user;
  PhHead head;
  const char *head_error; /* why the head was rejected, or NULL */
  PhBuffer body;          /* response bytes that the owner has not read */
  char *collected;        /* owned response body, with is_body_collected */
  size_t collected_size;
  size_t body_limit;
  uint32_t send_count; /* times that the request was sent: 0 or 1 */
  uint64_t id_hash;
  uint64_t supplied_size;    /* bytes of the request body that funcs.read has supplied */
  int opened_fd;             /* socket of the connection that was opened for this transfer, or -1 */
  PhConnectionId connection; /* that the request was sent on */
  PhTransferTrace trace;
  bool needs_new_connection; /* the selected connection may not be used; not sent yet */
  bool is_body_collected;
  bool is_pending;        /* in the pending queue */
  bool is_head_reported;  /* funcs.head was called */
  bool has_new_data;      /* bytes were received since funcs.data was called */
  bool is_receive_paused; /* the buffer was full */
  bool is_send_paused;    /* funcs.read returned PH_READ_PAUSE */
  bool is_ended;
  bool is_end_reported; /* funcs.done was called */
  PhTransferResult result;
} Transfer;

PH_DECLARE_TABLE (Transfer, PhTransferId, transfer)

typedef struct
{
  ev_io watcher;
  PhFetch *fetch;
} SocketWatcher;

struct PhFetch
{
  PhNode *node;
  CURLM *multi;
  ev_timer timer; /* next timeout of libcurl */
  PhTable transfers;
  PhConnections connections;
  PhQueue pending;                      /* transfers to report in the next tick */
  CURL *idle_handles[IDLE_HANDLES_MAX]; /* kept for reuse */
  uint32_t idle_count;
};

/* Queues a transfer for the next tick. */
static void
mark_pending (Transfer *t)
{
  if (t->is_pending)
    return;
  t->is_pending = ph_queue_push (&t->fetch->pending, t->id.v);
}

/* Whether all bytes of a response with a length have arrived. */
static bool
has_whole_response (const Transfer *t)
{
  curl_off_t length = -1;

  curl_easy_getinfo (t->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
  return t->head.state == PH_HEAD_COMPLETE && !t->is_body_collected && length >= 0
         && t->body.end == (uint64_t)length;
}

static void
end_transfer (Transfer *t, CURLcode code)
{
  t->is_ended = true;
  /* For libcurl 7.88 a response is complete that ends before its length and the end of its head. An
   * upstream that has responded may never read the rest of the request. */
  t->result.is_ok = (code == CURLE_OK && t->head.state == PH_HEAD_COMPLETE)
                    || (code == CURLE_OPERATION_TIMEDOUT && has_whole_response (t));
  t->result.is_sent = t->send_count > 0;
  t->result.is_timeout = code == CURLE_OPERATION_TIMEDOUT;
  t->result.is_head_rejected = t->head_error != NULL;
  snprintf (t->result.text, sizeof t->result.text, "%s",
            t->head_error != NULL                  ? t->head_error
            : code == CURLE_OK && !t->result.is_ok ? "the response ended within its head"
                                                   : curl_easy_strerror (code));
  mark_pending (t);
}

/* Starts a transfer again whose request was not sent, on a new connection. */
static bool
restart_transfer (Transfer *t)
{
  CURLM *multi = t->fetch->multi;

  t->needs_new_connection = false;
  curl_multi_remove_handle (multi, t->easy);
  curl_easy_setopt (t->easy, CURLOPT_FRESH_CONNECT, 1L);
  return curl_multi_add_handle (multi, t->easy) == CURLM_OK;
}

/* Ends the transfers that libcurl reports as completed. */
static void
process_completed (PhFetch *fetch)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (fetch->multi, &left)) != NULL)
    {
      Transfer *t = NULL;
      CURLcode code = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, (char **)&t);
      if (t != NULL && !(t->needs_new_connection && restart_transfer (t)))
        end_transfer (t, code);
    }
}

static void
on_socket (struct ev_loop *loop, ev_io *watcher, int events)
{
  SocketWatcher *s = (SocketWatcher *)watcher;
  PhFetch *fetch = s->fetch;
  int mask = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0)
             | ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
  int running;

  (void)loop;
  ph_node_update_clock (fetch->node);
  curl_multi_socket_action (fetch->multi, watcher->fd, mask, &running);
  process_completed (fetch);
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  PhFetch *fetch = watcher->data;
  int running;

  (void)loop;
  (void)events;
  ph_node_update_clock (fetch->node);
  curl_multi_socket_action (fetch->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  process_completed (fetch);
}

/* Called by libcurl to start, change or stop watching a socket. */
static int
update_socket_watcher (CURL *easy, curl_socket_t fd, int what, void *user, void *assigned)
{
  PhFetch *fetch = user;
  SocketWatcher *s = assigned;
  int events
      = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) | ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);

  (void)easy;
  if (s != NULL)
    ev_io_stop (fetch->node->loop, &s->watcher);
  if (what == CURL_POLL_REMOVE)
    {
      free (s);
      return 0;
    }
  if (s == NULL)
    {
      s = calloc (1, sizeof *s);
      if (s == NULL)
        return -1;
      s->fetch = fetch;
      curl_multi_assign (fetch->multi, fd, s);
    }
  ev_io_init (&s->watcher, on_socket, fd, events);
  ev_io_start (fetch->node->loop, &s->watcher);
  return 0;
}

/* Called by libcurl to set, change or stop its timer. */
static int
update_timer (CURLM *multi, long timeout_ms, void *user)
{
  PhFetch *fetch = user;

  (void)multi;
  ev_timer_stop (fetch->node->loop, &fetch->timer);
  if (timeout_ms < 0)
    return 0;
  ev_timer_set (&fetch->timer, (double)timeout_ms / 1e3, 0);
  ev_timer_start (fetch->node->loop, &fetch->timer);
  return 0;
}

PhFetch *
ph_fetch_new (PhNode *node, uint32_t transfers, PhError *err)
{
  PhFetch *fetch = calloc (1, sizeof *fetch);

  if (fetch == NULL)
    {
      ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_SETTINGS, NULL,
                    "out of memory for the HTTP client");
      return NULL;
    }
  fetch->node = node;
  if (curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK
      || (fetch->multi = curl_multi_init ()) == NULL)
    {
      ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_SETTINGS, NULL, "cannot start libcurl");
      goto fail;
    }
  if (!ph_table_init (&fetch->transfers, sizeof (Transfer), transfers, err)
      || !ph_connections_init (&fetch->connections, transfers + IDLE_CONNECTIONS_MAX, err)
      || !ph_queue_init (&fetch->pending, transfers * PENDING_CAPACITY_FACTOR, err))
    goto fail;
  curl_multi_setopt (fetch->multi, CURLMOPT_SOCKETFUNCTION, update_socket_watcher);
  curl_multi_setopt (fetch->multi, CURLMOPT_SOCKETDATA, fetch);
  curl_multi_setopt (fetch->multi, CURLMOPT_TIMERFUNCTION, update_timer);
  curl_multi_setopt (fetch->multi, CURLMOPT_TIMERDATA, fetch);
  curl_multi_setopt (fetch->multi, CURLMOPT_MAXCONNECTS, (long)IDLE_CONNECTIONS_MAX);
  ev_timer_init (&fetch->timer, on_timer, 0, 0);
  fetch->timer.data = fetch;
  return fetch;

fail:
  ph_fetch_drop (fetch);
  return NULL;
}

void
ph_fetch_drop (PhFetch *fetch)
{
  PhTransferId id = { 0 };

  if (fetch == NULL)
    return;
  while ((id = transfer_next (&fetch->transfers, (PhTransferId){ 0 })).v != 0)
    ph_fetch_drop_transfer (fetch, id);
  while (fetch->idle_count > 0)
    curl_easy_cleanup (fetch->idle_handles[--fetch->idle_count]);
  if (fetch->multi != NULL)
    curl_multi_cleanup (fetch->multi);
  ev_timer_stop (fetch->node->loop, &fetch->timer);
  ph_table_clear (&fetch->transfers);
  ph_connections_clear (&fetch->connections);
  ph_queue_clear (&fetch->pending);
  free (fetch);
  curl_global_cleanup ();
}

static size_t
read_copied_body (Transfer *t, char *buffer, size_t size)
{
  size_t left = t->request_body_size - t->request_body_offset;

  if (size > left)
    size = left;
  memcpy (buffer, t->request_body + t->request_body_offset, size);
  t->request_body_offset += size;
  return size;
}

static size_t
on_read (char *buffer, size_t size, size_t count, void *user)
{
  Transfer *t = user;
  long result;

  if (t->request_body != NULL)
    return read_copied_body (t, buffer, size * count);
  result = t->funcs.read (t->user, buffer, size * count);
  if (result == PH_READ_PAUSE)
    {
      t->is_send_paused = true;
      return CURL_READFUNC_PAUSE;
    }
  if (result < 0)
    return CURL_READFUNC_ABORT;
  t->supplied_size += (uint64_t)result;
  return (size_t)result;
}

/* Refuses to rewind the request body: libcurl would do so to send the request again. */
static int
on_seek (void *user, curl_off_t offset, int origin)
{
  (void)user;
  (void)offset;
  (void)origin;
  return CURL_SEEKFUNC_FAIL;
}

/* Called by libcurl to open the socket of a new connection. */
static curl_socket_t
open_socket (void *user, curlsocktype purpose, struct curl_sockaddr *address)
{
  Transfer *t = user;

  (void)purpose;
  t->opened_fd = socket (address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
  return t->opened_fd >= 0 ? t->opened_fd : CURL_SOCKET_BAD;
}

static int
close_socket (void *user, curl_socket_t fd)
{
  PhFetch *fetch = user;

  ph_connections_closed (&fetch->connections, fd);
  return close (fd);
}

/* Whether bytes, an end or an error have arrived on an idle connection. */
static bool
has_input (const PhConnection *connection)
{
  struct pollfd fd = { .fd = connection->fd, .events = POLLIN | POLLRDHUP };

  return poll (&fd, 1, 0) != 0;
}

/* Whether a request may be sent on the kept connection that libcurl has selected, which is NULL
 * when it is not known. A second copy of the response to an earlier request may still arrive on it:
 * the id tells such a copy from the response that is due, unless both requests have the same id or
 * the response has none. Whether it has one is known once the owner has seen its head, which is
 * later than libcurl gives the connection to the next request. */
static bool
may_use_connection (const Transfer *t, const PhConnection *connection)
{
  bool is_usable = connection != NULL && !connection->is_retired && !connection->is_unseen
                   && !has_input (connection);
  bool is_repeated = is_usable && ph_connection_has_carried (connection, t->id_hash);

  ph_count (&t->fetch->node->ctx, PH_COUNT_UNUSABLE_CONNECTIONS, !is_usable);
  ph_count (&t->fetch->node->ctx, PH_COUNT_REPEATED_IDS, is_repeated);
  return is_usable && !is_repeated;
}

/* Records how the request is sent on its connection, which is NULL when the table of connections is
 * full. */
static void
record_send (Transfer *t, PhConnection *connection)
{
  t->send_count = 1;
  t->trace.sent_at = t->fetch->node->ctx.now;
  if (connection != NULL)
    {
      ph_connection_carry (connection, t->id_hash);
      connection->is_unseen = true;
      t->connection = connection->id;
      t->trace.connection = connection->number;
      t->trace.request_number = connection->request_count;
    }
  if (connection == NULL || ph_connection_is_full (connection))
    curl_easy_setopt (t->easy, CURLOPT_FORBID_REUSE, 1L);
}

/*
 * Called right before a request is sent on a connection.
 *
 * libcurl sends a request again when a reused connection closes before the first
 * response byte. The upstream may have run the request, so the second send is
 * stopped. A first send that is stopped is started again on a new connection.
 */
static int
on_prerequest (void *user, char *ip, char *local_ip, int port, int local_port)
{
  Transfer *t = user;
  PhConnections *connections = &t->fetch->connections;
  bool is_new = t->opened_fd >= 0;
  PhConnectionName name
      = { .address = ip, .port = (uint16_t)port, .local_port = (uint16_t)local_port };
  PhConnection *connection;

  (void)local_ip;
  if (t->send_count > 0)
    return CURL_PREREQFUNC_ABORT;
  connection = is_new ? ph_connections_add (connections, &name, t->opened_fd)
                      : ph_connections_find (connections, &name);
  if (!is_new && !may_use_connection (t, connection))
    {
      t->needs_new_connection = true;
      return CURL_PREREQFUNC_ABORT;
    }
  record_send (t, connection);
  return CURL_PREREQFUNC_OK;
}

/* Appends to the collected body. Returns 0, which ends the transfer, beyond body_limit. */
static size_t
append_collected (Transfer *t, const char *bytes, size_t size)
{
  char *grown;

  if (t->collected_size + size > t->body_limit)
    return 0;
  grown = realloc (t->collected, t->collected_size + size + 1);
  if (grown == NULL)
    return 0;
  memcpy (grown + t->collected_size, bytes, size);
  t->collected = grown;
  t->collected_size += size;
  t->collected[t->collected_size] = '\0';
  return size;
}

/* Receives response bytes from libcurl; pauses the transfer while the buffer is full. */
static size_t
on_write (char *bytes, size_t size, size_t count, void *user)
{
  Transfer *t = user;

  size *= count;
  if (t->is_body_collected)
    return append_collected (t, bytes, size);
  if (ph_buffer_free_space (&t->body) < size)
    {
      t->is_receive_paused = true;
      return CURL_WRITEFUNC_PAUSE;
    }
  t->has_new_data = true;
  mark_pending (t);
  return ph_buffer_append (&t->body, bytes, size);
}

/* Receives one line of the response head, or of the trailer, from libcurl. */
static size_t
on_header (char *line, size_t size, size_t count, void *user)
{
  Transfer *t = user;
  bool was_complete = t->head.state == PH_HEAD_COMPLETE;

  t->head_error = ph_head_add_line (&t->head, line, size * count);
  if (t->head_error != NULL)
    {
      ph_count (&t->fetch->node->ctx, PH_COUNT_REJECTED_HEADS, 1);
      return 0;
    }
  if (t->head.state == PH_HEAD_COMPLETE && !was_complete)
    mark_pending (t);
  return size * count;
}

static CURL *
acquire_handle (PhFetch *fetch)
{
  return fetch->idle_count > 0 ? fetch->idle_handles[--fetch->idle_count] : curl_easy_init ();
}

static void
release_handle (PhFetch *fetch, CURL *easy)
{
  if (easy == NULL)
    return;
  if (fetch->idle_count == IDLE_HANDLES_MAX)
    {
      curl_easy_cleanup (easy);
      return;
    }
  curl_easy_reset (easy);
  fetch->idle_handles[fetch->idle_count++] = easy;
}

static void
set_method (CURL *easy, const PhTransferOptions *opts)
{
  if (strcmp (opts->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else if (opts->body_size != PH_BODY_NONE)
    {
      curl_easy_setopt (easy, CURLOPT_UPLOAD, 1L);
      curl_easy_setopt (easy, CURLOPT_UPLOAD_BUFFERSIZE, UPLOAD_BUFFER_SIZE);
      curl_easy_setopt (easy, CURLOPT_INFILESIZE_LARGE, (curl_off_t)opts->body_size);
      curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, opts->method);
    }
  else if (strcmp (opts->method, "GET") != 0)
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, opts->method);
}

static void
set_options (Transfer *t, const PhTransferOptions *opts)
{
  CURL *easy = t->easy;
  PhTime idle
      = opts->connection_idle_max != 0 ? opts->connection_idle_max : CONNECTION_IDLE_DEFAULT;
  PhTime connect = opts->connect_timeout != 0 ? opts->connect_timeout : CONNECT_TIMEOUT_DEFAULT;

  curl_easy_setopt (easy, CURLOPT_URL, opts->url);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, t);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, t->request_fields);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)(connect / PH_MS));
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)(opts->timeout / PH_MS));
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, (long)(idle / PH_SECOND));
  curl_easy_setopt (easy, CURLOPT_READFUNCTION, on_read);
  curl_easy_setopt (easy, CURLOPT_READDATA, t);
  curl_easy_setopt (easy, CURLOPT_SEEKFUNCTION, on_seek);
  curl_easy_setopt (easy, CURLOPT_SEEKDATA, t);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_write);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, t);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, t);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, t);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, t->fetch);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_prerequest);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, t);
  if (!opts->is_body_collected)
    {
      curl_easy_setopt (easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
      curl_easy_setopt (easy, CURLOPT_LOW_SPEED_TIME, STALL_TIMEOUT_SECONDS);
    }
  /* On a kept connection, the response to a request without an id could not be told from a second
   * copy of an earlier one, nor a copy of it from a later one. */
  if (opts->has_own_connection || opts->id_hash == 0)
    {
      curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
    }
  set_method (easy, opts);
}

static bool
copy_request (Transfer *t, const PhTransferOptions *opts)
{
  struct curl_slist *list;

  for (const char *const *field = opts->fields; field != NULL && *field != NULL; field++)
    {
      list = curl_slist_append (t->request_fields, *field);
      if (list == NULL)
        return false;
      t->request_fields = list;
    }
  if (opts->body == NULL)
    return true;
  /* By default libcurl waits up to 1 s for a 100 (Continue) response before it sends the body. */
  list = curl_slist_append (t->request_fields, "Expect:");
  if (list == NULL)
    return false;
  t->request_fields = list;
  t->request_body_size = (size_t)opts->body_size;
  t->request_body = malloc (t->request_body_size + 1);
  if (t->request_body == NULL)
    return false;
  memcpy (t->request_body, opts->body, t->request_body_size);
  return true;
}

PhTransferId
ph_fetch_start (PhFetch *fetch, const PhTransferOptions *opts, PhError *err)
{
  Transfer *t;
  PhTransferId id = transfer_add (&fetch->transfers, &t);

  if (id.v == 0)
    {
      ph_error_set (err, PH_ERROR_FULL, PH_STEP_CONNECT, opts->url,
                    "the table of HTTP transfers is full");
      return id;
    }
  t->fetch = fetch;
  t->id = id;
  t->funcs = opts->funcs;
  t->user = opts->user;
  t->is_body_collected = opts->is_body_collected;
  t->body_limit = opts->body_limit;
  t->id_hash = opts->id_hash;
  t->opened_fd = -1;
  ph_buffer_init (&t->body, PH_BODY_BUFFER_SIZE, NULL);
  t->easy = acquire_handle (fetch);
  if (t->easy == NULL || !copy_request (t, opts))
    {
      ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_CONNECT, opts->url,
                    "out of memory for an HTTP transfer");
      goto fail;
    }
  set_options (t, opts);
  if (curl_multi_add_handle (fetch->multi, t->easy) != CURLM_OK)
    {
      ph_error_set (err, PH_ERROR_IO, PH_STEP_CONNECT, opts->url,
                    "libcurl did not accept the HTTP transfer");
      goto fail;
    }
  return id;

fail:
  ph_fetch_drop_transfer (fetch, id);
  return (PhTransferId){ 0 };
}

void
ph_fetch_resume (PhFetch *fetch, PhTransferId id)
{
  Transfer *t = transfer_get (&fetch->transfers, id);

  if (t == NULL || !t->is_send_paused || t->is_ended)
    return;
  t->is_send_paused = false;
  curl_easy_pause (t->easy, t->is_receive_paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
}

void
ph_fetch_abort_if_stalled (PhFetch *fetch, PhTransferId id)
{
  Transfer *t = transfer_get (&fetch->transfers, id);
  int paused = 0;

  if (t == NULL || t->is_ended)
    return;
  curl_easy_setopt (t->easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
  curl_easy_setopt (t->easy, CURLOPT_LOW_SPEED_TIME, SHORT_STALL_SECONDS);
  paused |= t->is_receive_paused ? CURLPAUSE_RECV : 0;
  paused |= t->is_send_paused ? CURLPAUSE_SEND : 0;
  /* Makes libcurl check the speed, also if nothing arrives. */
  curl_easy_pause (t->easy, paused);
}

uint64_t
ph_fetch_progress (PhFetch *fetch, PhTransferId id)
{
  const Transfer *t = transfer_get (&fetch->transfers, id);

  return t == NULL || t->is_ended || t->is_receive_paused || t->is_send_paused
             ? UINT64_MAX
             : t->supplied_size + t->body.end;
}

void
ph_fetch_abort (PhFetch *fetch, PhTransferId id)
{
  Transfer *t = transfer_get (&fetch->transfers, id);

  if (t == NULL || t->is_ended)
    return;
  curl_multi_remove_handle (fetch->multi, t->easy);
  end_transfer (t, CURLE_OPERATION_TIMEDOUT);
}

void
ph_fetch_drop_transfer (PhFetch *fetch, PhTransferId id)
{
  Transfer *t = transfer_get (&fetch->transfers, id);

  if (t == NULL)
    return;
  if (t->easy != NULL)
    curl_multi_remove_handle (fetch->multi, t->easy);
  release_handle (fetch, t->easy);
  curl_slist_free_all (t->request_fields);
  free (t->request_body);
  ph_head_clear (&t->head);
  free (t->collected);
  ph_buffer_clear (&t->body);
  transfer_remove (&fetch->transfers, id);
}

bool
ph_fetch_field_at (
    PhFetch *fetch, PhTransferId id, uint32_t index, const char **name, const char **value)
{
  const Transfer *t = transfer_get (&fetch->transfers, id);

  return t != NULL && ph_head_field_at (&t->head, index, name, value);
}

const char *
ph_fetch_field (PhFetch *fetch, PhTransferId id, const char *name)
{
  const Transfer *t = transfer_get (&fetch->transfers, id);

  return t != NULL ? ph_head_field (&t->head, name, NULL) : NULL;
}

uint32_t
ph_fetch_field_count (PhFetch *fetch, PhTransferId id, const char *name)
{
  const Transfer *t = transfer_get (&fetch->transfers, id);
  uint32_t count = 0;

  if (t != NULL)
    ph_head_field (&t->head, name, &count);
  return count;
}

void
ph_fetch_retire_connection (PhFetch *fetch, PhTransferId id)
{
  const Transfer *t = transfer_get (&fetch->transfers, id);
  PhConnection *connection
      = t != NULL ? ph_connection_get (&fetch->connections.rows, t->connection) : NULL;

  if (connection != NULL)
    connection->is_retired = true;
}

PhTransferTrace
ph_fetch_trace (PhFetch *fetch, PhTransferId id)
{
  const Transfer *t = transfer_get (&fetch->transfers, id);

  return t != NULL ? t->trace : (PhTransferTrace){ 0 };
}

int64_t
ph_fetch_length (PhFetch *fetch, PhTransferId id)
{
  Transfer *t = transfer_get (&fetch->transfers, id);
  curl_off_t length = -1;

  if (t != NULL)
    curl_easy_getinfo (t->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
  return (int64_t)length;
}

size_t
ph_fetch_read (PhFetch *fetch, PhTransferId id, char *buffer, size_t size)
{
  Transfer *t = transfer_get (&fetch->transfers, id);
  size_t copied;

  if (t == NULL)
    return 0;
  copied = ph_buffer_copy (&t->body, t->body.begin, buffer, size);
  ph_buffer_trim (&t->body, t->body.begin + copied);
  /* Receiving is resumed only when the buffer is half empty: resumed after every read, libcurl
   * would run far more often. */
  if (t->is_receive_paused && !t->is_ended
      && ph_buffer_free_space (&t->body) >= PH_BODY_BUFFER_SIZE / 2)
    {
      t->is_receive_paused = false;
      curl_easy_pause (t->easy, t->is_send_paused ? CURLPAUSE_SEND : CURLPAUSE_CONT);
    }
  return copied;
}

const char *
ph_fetch_body (PhFetch *fetch, PhTransferId id, size_t *size)
{
  Transfer *t = transfer_get (&fetch->transfers, id);

  *size = t != NULL ? t->collected_size : 0;
  return t != NULL && t->collected != NULL ? t->collected : "";
}

bool
ph_fetch_is_drained (PhFetch *fetch, PhTransferId id)
{
  Transfer *t = transfer_get (&fetch->transfers, id);

  return t == NULL || (t->is_ended && t->body.begin == t->body.end);
}

/* Reports what happened to a transfer. The owner may drop it in each function, so the row is
 * looked up again. */
static void
notify_owner (PhFetch *fetch, PhTransferId id)
{
  Transfer *t = transfer_get (&fetch->transfers, id);
  PhConnection *connection;

  if (t == NULL)
    return;
  t->is_pending = false;
  if (t->head.state == PH_HEAD_COMPLETE && !t->is_head_reported)
    {
      t->is_head_reported = true;
      connection = ph_connection_get (&fetch->connections.rows, t->connection);
      if (connection != NULL)
        connection->is_unseen = false;
      if (t->funcs.head != NULL)
        t->funcs.head (t->user, id, t->head.status);
    }
  t = transfer_get (&fetch->transfers, id);
  if (t != NULL && t->has_new_data)
    {
      t->has_new_data = false;
      if (t->funcs.data != NULL)
        t->funcs.data (t->user, id);
    }
  t = transfer_get (&fetch->transfers, id);
  if (t != NULL && t->is_ended && !t->is_end_reported)
    {
      PhTransferResult result = t->result;

      t->is_end_reported = true;
      t->funcs.done (t->user, id, &result);
    }
}

bool
ph_fetch_has_work (const PhFetch *fetch)
{
  return fetch->pending.count > 0;
}

bool
ph_fetch_system (PhFetch *fetch)
{
  bool has_worked = ph_fetch_has_work (fetch);
  uint32_t handle;

  while ((handle = ph_queue_pop (&fetch->pending)) != 0)
    notify_owner (fetch, (PhTransferId){ handle });
  return has_worked;
}
