/*
 * Upstream that answers each request before it has read a long body, keeps the
 * connection and reads on later.
 *
 * Arguments: HOST:PORT PAUSE-MS BODY-BYTES. After the first EARLY_BYTES of a body it sends a
 * complete response, reads nothing for PAUSE-MS, then reads the rest. All bodies
 * must consist of BODY-BYTES times the byte BODY_BYTE. On SIGTERM, prints the number
 * of requests with a body, of whole bodies, of bodies that ended with their connection, and of
 * other bytes in bodies.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CLIENTS_MAX 128
#define EARLY_BYTES 4000
#define BODY_BYTE 'b'
#define HEAD_MAX 8192
#define RESPONSE "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n"

typedef enum
{
  READ_HEAD,
  READ_BODY,       /* of a body with a length */
  READ_CHUNK_SIZE, /* of a body in chunks */
  READ_CHUNK,
  READ_CHUNK_END
} State;

/* A connection and its current request. */
typedef struct
{
  int fd;
  State state;
  char line[HEAD_MAX]; /* the head, or the line of a chunk's size */
  size_t line_size;
  size_t left; /* bytes of the body or of the chunk */
  size_t body_size;
  bool has_responded;
  bool is_last_chunk;
  long paused_until_ms;
} Client;

static Client clients[CLIENTS_MAX];
static nfds_t client_count;
static size_t expected_size;
static size_t requests, whole_bodies, cut_bodies, other_bytes;
static volatile sig_atomic_t is_stopped;

static void
on_term (int signal_number)
{
  (void)signal_number;
  is_stopped = 1;
}

static long
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
respond (Client *client, long pause_ms)
{
  if (send (client->fd, RESPONSE, strlen (RESPONSE), MSG_NOSIGNAL) < 0)
    return;
  client->has_responded = true;
  client->paused_until_ms = now_ms () + pause_ms;
}

static void
end_body (Client *client)
{
  if (!client->has_responded)
    respond (client, 0);
  whole_bodies += client->body_size == expected_size ? 1 : 0;
  client->state = READ_HEAD;
  client->line_size = 0;
}

static void
start_body (Client *client)
{
  const char *length = strcasestr (client->line, "\nContent-Length:");

  client->body_size = client->line_size = 0;
  client->has_responded = client->is_last_chunk = false;
  client->left = length != NULL ? strtoul (strchr (length, ':') + 1, NULL, 10) : 0;
  if (strcasestr (client->line, "\nTransfer-Encoding: chunked") != NULL)
    client->state = READ_CHUNK_SIZE;
  else if (client->left > 0)
    client->state = READ_BODY;
  else
    end_body (client);
  requests += client->state != READ_HEAD ? 1 : 0;
}

/* Adds a byte to the line. Returns whether the line ends with end. */
static bool
add_to_line (Client *client, char byte, const char *end)
{
  size_t size = strlen (end);

  if (client->line_size + 1 < sizeof client->line)
    client->line[client->line_size++] = byte;
  client->line[client->line_size] = '\0';
  return client->line_size >= size && strcmp (client->line + client->line_size - size, end) == 0;
}

static void
read_byte (Client *client, char byte, long pause_ms)
{
  switch (client->state)
    {
    case READ_HEAD:
      if (add_to_line (client, byte, "\r\n\r\n"))
        start_body (client);
      return;
    case READ_CHUNK_SIZE:
      if (!add_to_line (client, byte, "\r\n"))
        return;
      client->left = strtoul (client->line, NULL, 16);
      client->is_last_chunk = client->left == 0;
      client->line_size = 0;
      client->state = client->is_last_chunk ? READ_CHUNK_END : READ_CHUNK;
      return;
    case READ_CHUNK_END:
      if (!add_to_line (client, byte, "\r\n"))
        return;
      client->line_size = 0;
      client->state = READ_CHUNK_SIZE;
      if (client->is_last_chunk)
        end_body (client);
      return;
    case READ_BODY:
    case READ_CHUNK:
      other_bytes += byte != BODY_BYTE ? 1 : 0;
      if (++client->body_size == EARLY_BYTES)
        respond (client, pause_ms);
      if (--client->left > 0)
        return;
      if (client->state == READ_BODY)
        end_body (client);
      else
        client->state = READ_CHUNK_END;
    }
}

/* Reads what has arrived. Returns false when the connection has ended. */
static bool
serve (Client *client, long pause_ms)
{
  char buffer[EARLY_BYTES];
  ssize_t size;

  while (now_ms () >= client->paused_until_ms)
    {
      size = recv (client->fd, buffer, sizeof buffer, MSG_DONTWAIT);
      if (size < 0 && errno == EAGAIN)
        return true;
      if (size <= 0)
        {
          cut_bodies += client->state != READ_HEAD ? 1 : 0;
          return false;
        }
      for (ssize_t i = 0; i < size; i++)
        read_byte (client, buffer[i], pause_ms);
    }
  return true;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char *colon = argc > 2 ? strchr (argv[1], ':') : NULL;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (colon == NULL || argc < 4)
    return 2;
  expected_size = strtoul (argv[3], NULL, 10);
  *colon = '\0';
  address.sin_port = htons ((uint16_t)atoi (colon + 1));
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (inet_pton (AF_INET, argv[1], &address.sin_addr) != 1
      || bind (fd, (struct sockaddr *)&address, sizeof address) != 0 || listen (fd, 64) != 0)
    return 2;
  signal (SIGTERM, on_term);
  while (!is_stopped)
    {
      struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

      poll (&poll_fd, 1, 1);
      if ((poll_fd.revents & POLLIN) != 0 && client_count < CLIENTS_MAX)
        clients[client_count++] = (Client){ .fd = accept (fd, NULL, NULL) };
      for (nfds_t i = client_count; i-- > 0;)
        if (!serve (&clients[i], atol (argv[2])))
          {
            close (clients[i].fd);
            clients[i] = clients[--client_count];
          }
    }
  printf ("{\"requests\":%zu,\"whole\":%zu,\"cut\":%zu,\"other\":%zu}\n", requests, whole_bodies,
          cut_bodies, other_bytes);
  return 0;
}
