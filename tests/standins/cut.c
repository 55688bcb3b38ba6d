/*
 * Relay between HTTP clients and a server that cuts responses and closes.
 *
 * Arguments: HOST:PORT SERVER-HOST:PORT PLACE METHOD COUNT. PLACE names an entry of
 * the table below; METHOD is that of the requests whose responses are cut, or "any".
 * The first COUNT of these responses are cut, all others are relayed unchanged.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define PAIRS_MAX 64
#define HELD_MAX (256 * 1024) /* bytes of a response that is cut */

/* A connection of a client and the one to the server for it. */
typedef struct
{
  int client;
  int server;
  bool has_request;
  bool is_cut;
  size_t held_size;
  char held[HELD_MAX]; /* response that is cut, with a final zero byte */
} Pair;

typedef struct
{
  const char *name;
  /* Size of the part that is sent, or 0 while it is not known. head is the size of the head. */
  size_t (*size) (const char *held, size_t head);
} Place;

static size_t
within_status (const char *held, size_t head)
{
  (void)held;
  (void)head;
  return strlen ("HTTP/1.1 2");
}

static size_t
after_status (const char *held, size_t head)
{
  (void)head;
  return (size_t)(strstr (held, "\r\n") - held) + 2;
}

static size_t
within_field (const char *held, size_t head)
{
  return after_status (held, head) + 5;
}

static size_t
before_empty_line (const char *held, size_t head)
{
  (void)held;
  return head - 2;
}

static size_t
after_head (const char *held, size_t head)
{
  (void)held;
  return head;
}

static size_t
within_body (const char *held, size_t head)
{
  const char *length = strcasestr (held, "\r\nContent-Length:");
  size_t size
      = length != NULL ? (size_t)strtoul (length + strlen ("\r\nContent-Length:"), NULL, 10) : 2;

  return strlen (held) >= head + size / 2 ? head + size / 2 : 0;
}

static const Place places[] = {
  { "within-status", within_status }, { "after-status", after_status },
  { "within-field", within_field },   { "before-empty-line", before_empty_line },
  { "after-head", after_head },       { "within-body", within_body },
};

static Pair *pairs[PAIRS_MAX];
static const Place *place;
static const char *cut_method;
static int cuts_left;
static struct sockaddr_in server_address;

static bool
parse_address (char *text, struct sockaddr_in *address)
{
  char *colon = strchr (text, ':');

  if (colon == NULL)
    return false;
  *colon = '\0';
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)atoi (colon + 1));
  return inet_pton (AF_INET, text, &address->sin_addr) == 1;
}

static void
close_pair (int i)
{
  close (pairs[i]->client);
  close (pairs[i]->server);
  free (pairs[i]);
  pairs[i] = NULL;
}

static void
accept_client (int listen_fd)
{
  int client = accept (listen_fd, NULL, NULL);

  for (int i = 0; client >= 0 && i < PAIRS_MAX; i++)
    {
      if (pairs[i] != NULL)
        continue;
      pairs[i] = calloc (1, sizeof *pairs[i]);
      if (pairs[i] == NULL)
        abort ();
      pairs[i]->client = client;
      pairs[i]->server = socket (AF_INET, SOCK_STREAM, 0);
      if (connect (pairs[i]->server, (struct sockaddr *)&server_address, sizeof server_address)
          != 0)
        close_pair (i);
      return;
    }
  close (client);
}

/* Relays request bytes. Returns false at the end of the connection. */
static bool
relay_request (Pair *pair)
{
  char bytes[16384];
  ssize_t size = recv (pair->client, bytes, sizeof bytes, 0);
  size_t length = strlen (cut_method);

  if (size <= 0)
    return false;
  if (!pair->has_request && cuts_left > 0
      && (strcmp (cut_method, "any") == 0
          || ((size_t)size > length && memcmp (bytes, cut_method, length) == 0)))
    {
      pair->is_cut = true;
      cuts_left--;
    }
  pair->has_request = true;
  return send (pair->server, bytes, (size_t)size, MSG_NOSIGNAL) == size;
}

/* Relays response bytes, or the first part of a response that is cut. Returns false at the end of
 * the connection. */
static bool
relay_response (Pair *pair)
{
  char bytes[16384];
  ssize_t size = recv (pair->server, bytes, sizeof bytes, 0);
  const char *end;
  size_t cut_size;

  if (size <= 0)
    return false;
  if (!pair->is_cut)
    return send (pair->client, bytes, (size_t)size, MSG_NOSIGNAL) == size;
  if (pair->held_size + (size_t)size >= HELD_MAX)
    return false;
  memcpy (pair->held + pair->held_size, bytes, (size_t)size);
  pair->held_size += (size_t)size;
  end = strstr (pair->held, "\r\n\r\n");
  if (end == NULL)
    return true;
  cut_size = place->size (pair->held, (size_t)(end - pair->held) + 4);
  if (cut_size == 0)
    return true;
  send (pair->client, pair->held, cut_size, MSG_NOSIGNAL);
  return false;
}

static void
run (int listen_fd)
{
  struct pollfd fds[1 + 2 * PAIRS_MAX];

  for (;;)
    {
      fds[0] = (struct pollfd){ .fd = listen_fd, .events = POLLIN };
      for (int i = 0; i < PAIRS_MAX; i++)
        {
          fds[1 + 2 * i] = (struct pollfd){ pairs[i] != NULL ? pairs[i]->client : -1, POLLIN, 0 };
          fds[2 + 2 * i] = (struct pollfd){ pairs[i] != NULL ? pairs[i]->server : -1, POLLIN, 0 };
        }
      poll (fds, 1 + 2 * PAIRS_MAX, -1);
      for (int i = 0; i < PAIRS_MAX; i++)
        if ((fds[1 + 2 * i].revents != 0 && !relay_request (pairs[i]))
            || (fds[2 + 2 * i].revents != 0 && !relay_response (pairs[i])))
          close_pair (i);
      if (fds[0].revents != 0)
        accept_client (listen_fd);
    }
}

int
main (int argc, char **argv)
{
  struct sockaddr_in address = { 0 };
  int listen_fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  if (argc != 6 || !parse_address (argv[1], &address) || !parse_address (argv[2], &server_address))
    return 2;
  for (size_t i = 0; i < sizeof places / sizeof *places; i++)
    if (strcmp (places[i].name, argv[3]) == 0)
      place = &places[i];
  cut_method = argv[4];
  cuts_left = atoi (argv[5]);
  setsockopt (listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (place == NULL || bind (listen_fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listen_fd, 64) != 0)
    return 2;
  run (listen_fd);
}
