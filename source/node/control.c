#include "node/control.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netdb.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "pollenhitch/sync.h"
#include "wire/control.h"

/* Max syncs served at the same time. Further connections are closed, and the client tries another
 * member. */
#define SERVED_SYNCS_MAX 8
#define LINKS_MAX (SERVED_SYNCS_MAX + PH_CATCH_UP_OPEN_SYNCS_MAX)
#define LINK_TIMEOUT_SECONDS 5.0 /* a sync that takes longer fails */

/* A sync in which no byte moves for this time fails, since the next sync has to wait for its end.
 * Without this timeout, a node whose peer had been disconnected missed a configuration change for
 * the 5 s of LINK_TIMEOUT_SECONDS. The time is longer than 0.4 s, the longest probe timeout in
 * swim.c at a local health score of 0, within which a member that is not suspected responds. */
#define STALL_TIMEOUT_SECONDS 0.5
#define LISTEN_BACKLOG 64
#define DATAGRAMS_PER_WAKEUP 64 /* so that calls are served during a flood of datagrams */
#define RECORD_MARK_SIZE 4      /* bytes of the record mark (RFC 5531, section 11) */
#define LAST_FRAGMENT_BIT 0x80000000u
#define INPUT_CAPACITY_MIN 2048
#define PORT_TEXT_SIZE 8

typedef struct
{
  uint32_t v;
} LinkId;

/* A TCP connection, as client or as server of a sync. */
typedef struct
{
  ev_io watcher;
  ev_timer deadline_timer; /* ends the sync after LINK_TIMEOUT_SECONDS */
  ev_timer stall_timer;    /* restarted whenever bytes are sent or received */
  PhControl *control;
  LinkId id;
  int fd;
  bool is_client;
  bool is_second_request_sent; /* client: the second and last request was sent */
  bool is_pending; /* queued: a complete record is in the buffer, or the connection failed */
  bool is_failed;  /* closed in the next tick */
  char address[PH_ADDRESS_MAX]; /* IP address of the peer */
  uint16_t port;
  uint32_t xid; /* client: RPC transaction id of the request that awaits a reply */
  uint8_t *in;  /* received bytes, owned */
  size_t in_size;
  size_t in_capacity;
  uint8_t *out; /* bytes to send, owned */
  size_t out_size;
  size_t out_offset; /* bytes of out already sent */
} Link;

PH_DECLARE_TABLE (Link, LinkId, link)

struct PhControl
{
  PhNode *node;
  PhWireKey key;
  int datagram_fd;
  int listen_fd;
  ev_io datagram_watcher;
  ev_io listen_watcher;
  PhTable links;
  PhQueue pending;       /* links to process in the next tick */
  uint32_t served_count; /* links open as server */
  PhControlCounts counts;
};

/* Converts a numeric IPv4 or IPv6 address and a port to a socket address. */
static bool
parse_address (const char *address, uint16_t port, struct sockaddr_storage *out, socklen_t *size)
{
  struct addrinfo hints
      = { .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV, .ai_socktype = SOCK_DGRAM };
  struct addrinfo *found;
  char text[PORT_TEXT_SIZE];

  snprintf (text, sizeof text, "%u", (unsigned)port);
  if (getaddrinfo (address, text, &hints, &found) != 0)
    return false;
  memcpy (out, found->ai_addr, found->ai_addrlen);
  *size = found->ai_addrlen;
  freeaddrinfo (found);
  return true;
}

/* Converts a socket address to its numeric address and port. Returns false for other families. */
static bool
format_address (const struct sockaddr_storage *from, char *address, uint16_t *port)
{
  if (from->ss_family == AF_INET)
    {
      const struct sockaddr_in *in = (const struct sockaddr_in *)from;

      *port = ntohs (in->sin_port);
      return inet_ntop (AF_INET, &in->sin_addr, address, PH_ADDRESS_MAX) != NULL;
    }
  if (from->ss_family == AF_INET6)
    {
      const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)from;

      *port = ntohs (in6->sin6_port);
      return inet_ntop (AF_INET6, &in6->sin6_addr, address, PH_ADDRESS_MAX) != NULL;
    }
  return false;
}

static void
send_datagram (PhControl *control, const PhMessage *message)
{
  uint8_t buffer[PH_DATAGRAM_MAX];
  struct sockaddr_storage to;
  socklen_t to_size;
  PhError err;
  size_t size = ph_wire_encode (&control->key, message, buffer, sizeof buffer, &err);

  if (size == 0)
    {
      ph_log_error (&control->node->ctx, PH_LOG_ERROR, &err);
      return;
    }
  if (!parse_address (message->address, message->port, &to, &to_size))
    {
      ph_log (&control->node->ctx, PH_LOG_WARNING, PH_STEP_GOSSIP, message->address,
              "cannot send a datagram: the address of the member is not an IP address");
      return;
    }
  /* A datagram that the socket does not accept counts as lost, like one that is lost in the
   * network. */
  if (sendto (control->datagram_fd, buffer, size, MSG_DONTWAIT, (struct sockaddr *)&to, to_size)
      < 0)
    return;
  control->counts.datagrams_sent++;
  control->counts.bytes_sent += size;
}

static void
receive_datagram (PhControl *control,
                  const uint8_t *data,
                  size_t size,
                  const struct sockaddr_storage *from)
{
  PhNode *node = control->node;
  PhWireMessage in;
  PhError err;

  control->counts.datagrams_received++;
  control->counts.bytes_received += size;
  if (!ph_wire_decode (&control->key, data, size, &in, &err))
    {
      control->counts.rejected++;
      return;
    }
  in.message.datagram_size = (uint32_t)size;
  if (format_address (from, in.message.address, &in.message.port))
    ph_member_receive (&node->ctx, node->world, &in.message);
  ph_wire_clear (&in);
}

/* Receives a bounded number of datagrams; the loop calls again while there are more. */
static void
on_datagram (struct ev_loop *loop, ev_io *watcher, int events)
{
  PhControl *control = watcher->data;
  uint8_t buffer[PH_DATAGRAM_MAX + 1];

  (void)loop;
  (void)events;
  ph_node_update_clock (control->node);
  for (int i = 0; i < DATAGRAMS_PER_WAKEUP; i++)
    {
      struct sockaddr_storage from = { 0 };
      socklen_t from_size = sizeof from;
      ssize_t size = recvfrom (control->datagram_fd, buffer, sizeof buffer, MSG_DONTWAIT,
                               (struct sockaddr *)&from, &from_size);

      if (size < 0)
        return;
      receive_datagram (control, buffer, (size_t)size, &from);
    }
}

/* Queues a link for the next tick. */
static void
mark_pending (Link *link)
{
  if (link->is_pending)
    return;
  link->is_pending = true;
  ph_queue_push (&link->control->pending, link->id.v);
}

/* Queues a link to be closed as failed. */
static void
fail_link (Link *link)
{
  link->is_failed = true;
  mark_pending (link);
}

/* Closes a link and reports the end of a client's sync to the world. */
static void
close_link (Link *link, bool is_ok)
{
  PhControl *control = link->control;
  PhNode *node = control->node;

  ev_io_stop (node->loop, &link->watcher);
  ev_timer_stop (node->loop, &link->deadline_timer);
  ev_timer_stop (node->loop, &link->stall_timer);
  close (link->fd);
  free (link->in);
  free (link->out);
  if (!is_ok)
    control->counts.syncs_failed++;
  if (link->is_client)
    ph_sync_end (&node->ctx, node->world, is_ok);
  else
    control->served_count--;
  link_remove (&control->links, link->id);
}

/* Changes the events that the loop watches on a link's socket. */
static void
watch_link (Link *link, int events)
{
  ev_io_stop (link->control->node->loop, &link->watcher);
  ev_io_set (&link->watcher, link->fd, events);
  ev_io_start (link->control->node->loop, &link->watcher);
}

static void
restart_stall_timer (Link *link)
{
  ev_timer_again (link->control->node->loop, &link->stall_timer);
}

/* Sends what the socket accepts of the output, then waits for the peer. */
static void
write_link (Link *link)
{
  while (link->out_offset < link->out_size)
    {
      ssize_t n = send (link->fd, link->out + link->out_offset, link->out_size - link->out_offset,
                        MSG_DONTWAIT | MSG_NOSIGNAL);

      if (n < 0)
        {
          if (errno != EAGAIN && errno != EINTR)
            fail_link (link);
          return;
        }
      link->out_offset += (size_t)n;
      link->control->counts.bytes_sent += (uint64_t)n;
      restart_stall_timer (link);
    }
  watch_link (link, EV_READ);
}

/* Makes room in the input buffer. It grows with the bytes received, not with the size that the
 * record mark announces. */
static bool
reserve_input (Link *link)
{
  size_t capacity = link->in_capacity == 0 ? INPUT_CAPACITY_MIN : link->in_capacity * 2;
  uint8_t *in;

  if (link->in_size < link->in_capacity)
    return true;
  if (link->in_capacity > PH_WIRE_MESSAGE_MAX)
    return false;
  in = realloc (link->in, capacity);
  if (in == NULL)
    return false;
  link->in = in;
  link->in_capacity = capacity;
  return true;
}

/* Size in bytes of the record in the buffer without its record mark; 0 while it is incomplete. */
static size_t
complete_record_size (Link *link)
{
  uint32_t mark;

  if (link->in_size < RECORD_MARK_SIZE)
    return 0;
  memcpy (&mark, link->in, RECORD_MARK_SIZE);
  mark = ntohl (mark);
  /* A record is sent in one fragment. */
  if ((mark & LAST_FRAGMENT_BIT) == 0 || (mark & ~LAST_FRAGMENT_BIT) > PH_WIRE_MESSAGE_MAX)
    {
      fail_link (link);
      return 0;
    }
  mark &= ~LAST_FRAGMENT_BIT;
  return link->in_size >= RECORD_MARK_SIZE + mark ? mark : 0;
}

/* Receives what the socket holds, and queues the link when a record is complete. */
static void
read_link (Link *link)
{
  ssize_t n;

  if (!reserve_input (link))
    {
      fail_link (link);
      return;
    }
  n = recv (link->fd, link->in + link->in_size, link->in_capacity - link->in_size, MSG_DONTWAIT);
  if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
    {
      fail_link (link);
      return;
    }
  if (n < 0)
    return;
  link->in_size += (size_t)n;
  link->control->counts.bytes_received += (uint64_t)n;
  restart_stall_timer (link);
  if (complete_record_size (link) != 0)
    mark_pending (link);
}

static void
on_link_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  Link *link = watcher->data;

  (void)loop;
  ph_node_update_clock (link->control->node);
  if (link->is_failed)
    return;
  if ((events & EV_WRITE) != 0)
    write_link (link);
  else if ((events & EV_READ) != 0)
    read_link (link);
}

/* Either timer of a link has expired. */
static void
on_link_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  Link *link = watcher->data;

  (void)loop;
  (void)events;
  ph_node_update_clock (link->control->node);
  fail_link (link);
}

static Link *
add_link (PhControl *control, int fd, bool is_client)
{
  Link *link;
  LinkId id = link_add (&control->links, &link);

  if (id.v == 0)
    return NULL;
  link->control = control;
  link->id = id;
  link->fd = fd;
  link->is_client = is_client;
  ev_io_init (&link->watcher, on_link_ready, fd, EV_READ);
  link->watcher.data = link;
  ev_timer_init (&link->deadline_timer, on_link_timeout, LINK_TIMEOUT_SECONDS, 0);
  link->deadline_timer.data = link;
  ev_timer_start (control->node->loop, &link->deadline_timer);
  ev_timer_init (&link->stall_timer, on_link_timeout, 0, STALL_TIMEOUT_SECONDS);
  link->stall_timer.data = link;
  restart_stall_timer (link);
  return link;
}

/* Replaces the output by a message with its record mark. */
static bool
set_output (Link *link, const PhMessage *message)
{
  size_t capacity = ph_wire_size (message) + RECORD_MARK_SIZE;
  PhError err = { 0 };
  size_t size;
  uint32_t mark;

  free (link->out);
  link->out_offset = link->out_size = 0;
  link->out = malloc (capacity);
  if (link->out == NULL)
    return false;
  size = ph_wire_encode (&link->control->key, message, link->out + RECORD_MARK_SIZE,
                         capacity - RECORD_MARK_SIZE, &err);
  if (size == 0)
    {
      ph_log_error (&link->control->node->ctx, PH_LOG_ERROR, &err);
      return false;
    }
  mark = htonl ((uint32_t)size | LAST_FRAGMENT_BIT);
  memcpy (link->out, &mark, RECORD_MARK_SIZE);
  link->out_size = size + RECORD_MARK_SIZE;
  return true;
}

static void
accept_link (PhControl *control)
{
  struct sockaddr_storage from = { 0 };
  socklen_t from_size = sizeof from;
  int fd = accept4 (control->listen_fd, (struct sockaddr *)&from, &from_size,
                    SOCK_NONBLOCK | SOCK_CLOEXEC);
  Link *link;

  if (fd < 0)
    return;
  link = control->served_count < SERVED_SYNCS_MAX ? add_link (control, fd, false) : NULL;
  if (link == NULL)
    {
      close (fd);
      return;
    }
  control->served_count++;
  format_address (&from, link->address, &link->port);
  ev_io_start (control->node->loop, &link->watcher);
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  PhControl *control = watcher->data;

  (void)loop;
  (void)events;
  ph_node_update_clock (control->node);
  accept_link (control);
}

/* Connects to a member and sends the first request of a sync. */
static void
start_sync (PhControl *control, const PhMessage *message)
{
  PhNode *node = control->node;
  struct sockaddr_storage to;
  socklen_t to_size;
  PhSyncMessage request = { 0 };
  PhError err = { 0 };
  Link *link = NULL;
  int fd = -1;

  control->counts.syncs_started++;
  if (!parse_address (message->address, message->port, &to, &to_size))
    goto fail;
  fd = socket (to.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    goto fail;
  link = add_link (control, fd, true);
  if (link == NULL)
    goto fail;
  ph_text_copy (link->address, sizeof link->address, message->address);
  link->port = message->port;
  if (!ph_sync_build_request (&node->ctx, node->world, message, &request, &err)
      || !set_output (link, &request.message))
    goto fail;
  link->xid = request.message.xid;
  ph_sync_message_clear (&request);
  if (connect (fd, (struct sockaddr *)&to, to_size) < 0 && errno != EINPROGRESS)
    fail_link (link);
  else
    watch_link (link, EV_WRITE);
  return;

fail:
  ph_sync_message_clear (&request);
  if (link != NULL)
    {
      fail_link (link);
      return;
    }
  if (fd >= 0)
    close (fd);
  control->counts.syncs_failed++;
  ph_sync_end (&node->ctx, node->world, false);
}

void
ph_control_send (PhControl *control, const PhMessage *message)
{
  if (message->kind == PH_MESSAGE_SYNC)
    start_sync (control, message);
  else
    send_datagram (control, message);
}

void
ph_control_config_changed (PhControl *control, PhObjectId id)
{
  (void)control;
  (void)id;
}

/* Sends the reply or the second request of a sync. */
static void
send_next_message (Link *link, PhSyncMessage *next)
{
  if (set_output (link, &next->message))
    write_link (link);
  else
    fail_link (link);
  if (!link->is_failed && link->out_offset < link->out_size)
    watch_link (link, EV_WRITE);
}

/* Handles a request as server and sends the reply. */
static void
serve_request (Link *link, const PhMessage *request)
{
  PhNode *node = link->control->node;
  PhSyncMessage next;
  PhError err = { 0 };

  if (request->kind != PH_MESSAGE_SYNC
      || !ph_sync_handle_request (&node->ctx, node->world, request, &next, &err))
    {
      fail_link (link);
      return;
    }
  link->control->counts.sync_requests_served++;
  send_next_message (link, &next);
  ph_sync_message_clear (&next);
}

/* Handles a reply as client. Returns true when the sync is complete. */
static bool
handle_reply (Link *link, const PhMessage *reply)
{
  PhNode *node = link->control->node;
  PhSyncMessage next;
  PhError err = { 0 };

  if (reply->kind != PH_MESSAGE_SYNC_REPLY || reply->xid != link->xid)
    {
      fail_link (link);
      return false;
    }
  if (!ph_sync_handle_reply (&node->ctx, node->world, reply, &next, &err))
    {
      /* Without an error there is nothing to send: the sync is complete. */
      if (err.code == PH_ERROR_NONE)
        return true;
      fail_link (link);
      return false;
    }
  if (link->is_second_request_sent)
    {
      ph_sync_message_clear (&next);
      return true;
    }
  link->is_second_request_sent = true;
  link->xid = next.message.xid;
  send_next_message (link, &next);
  ph_sync_message_clear (&next);
  return false;
}

/* Processes the complete record of a link, if any, and closes a link whose sync has ended. */
static void
process_link (Link *link)
{
  PhControl *control = link->control;
  size_t size = link->is_failed ? 0 : complete_record_size (link);
  PhWireMessage in;
  PhError err;
  bool is_complete = false;

  if (size != 0 && !ph_wire_decode (&control->key, link->in + RECORD_MARK_SIZE, size, &in, &err))
    {
      control->counts.rejected++;
      link->is_failed = true;
    }
  else if (size != 0)
    {
      ph_text_copy (in.message.address, sizeof in.message.address, link->address);
      in.message.port = link->port;
      link->in_size -= RECORD_MARK_SIZE + size;
      memmove (link->in, link->in + RECORD_MARK_SIZE + size, link->in_size);
      if (link->is_client)
        is_complete = handle_reply (link, &in.message);
      else
        serve_request (link, &in.message);
      ph_wire_clear (&in);
    }
  /* The client closes the connection after its last request. For a server that has replied, the
   * end of the connection is therefore no failure. */
  if (is_complete || link->is_failed)
    close_link (link, is_complete || (!link->is_client && link->out_size != 0));
}

bool
ph_control_has_work (const PhControl *control)
{
  return control->pending.count > 0;
}

bool
ph_control_system (PhControl *control)
{
  bool has_worked = ph_control_has_work (control);

  for (uint32_t n = control->pending.count; n > 0; n--)
    {
      LinkId id = { ph_queue_pop (&control->pending) };
      Link *link = link_get (&control->links, id);

      if (link == NULL)
        continue;
      link->is_pending = false;
      process_link (link);
    }
  return has_worked;
}

const PhControlCounts *
ph_control_counts (const PhControl *control)
{
  return &control->counts;
}

static int
bind_socket (const PhNodeSettings *settings, int type, PhError *err)
{
  struct sockaddr_storage address;
  socklen_t address_size;
  int on = 1;
  int fd;

  if (!parse_address (settings->address, (uint16_t)settings->port_control, &address, &address_size))
    {
      ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                    "--address: \"%.46s\" is not an IP address", settings->address);
      return -1;
    }
  fd = socket (address.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0 && setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0
      && bind (fd, (struct sockaddr *)&address, address_size) == 0
      && (type == SOCK_DGRAM || listen (fd, LISTEN_BACKLOG) == 0))
    return fd;
  ph_error_set (err, PH_ERROR_IO, PH_STEP_LISTEN, NULL, "cannot open control port %s:%d: %s",
                settings->address, (int)settings->port_control, strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

/* Passes the list "address:port,..." of the settings to the world. */
static bool
add_seeds (PhControl *control, PhError *err)
{
  PhNode *node = control->node;
  char *list = strdup (node->settings.seeds);
  char *rest = list;
  char *seed;
  bool is_ok = list != NULL;

  while (is_ok && (seed = strsep (&rest, ",")) != NULL)
    {
      char *colon = strrchr (seed, ':');
      long port = colon != NULL ? strtol (colon + 1, NULL, 10) : 0;
      struct sockaddr_storage address;
      socklen_t size;

      if (seed[0] == '\0')
        continue;
      if (colon != NULL)
        *colon = '\0';
      if (port < 1 || port > UINT16_MAX || !parse_address (seed, (uint16_t)port, &address, &size))
        is_ok = ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                              "--seeds: \"%.60s\" is not an IP address with a port from 1 to 65535",
                              seed);
      else
        ph_member_add_seed (&node->ctx, node->world, seed, (uint16_t)port);
    }
  free (list);
  return is_ok;
}

PhControl *
ph_control_new (PhNode *node, PhError *err)
{
  PhControl *control = calloc (1, sizeof *control);

  if (control == NULL)
    {
      ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_LISTEN, NULL,
                    "out of memory for the control sockets");
      return NULL;
    }
  control->node = node;
  control->datagram_fd = control->listen_fd = -1;
  if (!ph_wire_key_parse (node->settings.cluster_key, &control->key, err)
      || !ph_table_init (&control->links, sizeof (Link), LINKS_MAX, err)
      || !ph_queue_init (&control->pending, LINKS_MAX, err))
    goto fail;
  control->datagram_fd = bind_socket (&node->settings, SOCK_DGRAM, err);
  if (control->datagram_fd < 0)
    goto fail;
  control->listen_fd = bind_socket (&node->settings, SOCK_STREAM, err);
  if (control->listen_fd < 0)
    goto fail;
  ev_io_init (&control->datagram_watcher, on_datagram, control->datagram_fd, EV_READ);
  control->datagram_watcher.data = control;
  ev_io_start (node->loop, &control->datagram_watcher);
  ev_io_init (&control->listen_watcher, on_accept, control->listen_fd, EV_READ);
  control->listen_watcher.data = control;
  ev_io_start (node->loop, &control->listen_watcher);
  /* Adding a seed sends a message to it through the world's effects, which use node->control. */
  node->control = control;
  if (!add_seeds (control, err))
    goto fail;
  return control;

fail:
  node->control = NULL;
  ph_control_drop (control);
  return NULL;
}

void
ph_control_drop (PhControl *control)
{
  LinkId id = { 0 };

  if (control == NULL)
    return;
  while ((id = link_next (&control->links, id)).v != 0)
    {
      Link *link = link_get (&control->links, id);

      ev_io_stop (control->node->loop, &link->watcher);
      ev_timer_stop (control->node->loop, &link->deadline_timer);
      ev_timer_stop (control->node->loop, &link->stall_timer);
      close (link->fd);
      free (link->in);
      free (link->out);
    }
  ev_io_stop (control->node->loop, &control->datagram_watcher);
  ev_io_stop (control->node->loop, &control->listen_watcher);
  if (control->datagram_fd >= 0)
    close (control->datagram_fd);
  if (control->listen_fd >= 0)
    close (control->listen_fd);
  ph_table_clear (&control->links);
  ph_queue_clear (&control->pending);
  free (control);
}
