/*
 * Proxy in front of the stand-in of the platform's store. Machine i reaches the store at ADDRESS +
 * i - 1, so that the proxy can tell the machines apart.
 *
 * It adds what PROTOCOL.md allows the store: a list of contacts that is called with staleOk is
 * answered with the state of STALE-MS before, and machines whose numbers stand in the file REFUSED,
 * one a line, get status 503 while the others are served. Each call takes DELAY-MS. The number of
 * each machine that watches the configuration is appended to the file WATCHERS.
 *
 * Arguments: ADDRESS PORT MACHINES STORE-ADDRESS STORE-PORT STALE-MS DELAY-MS REFUSED WATCHERS
 */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MESSAGE_MAX (4u << 20)
#define SNAPSHOTS_MAX 4096
#define POLL_MS 40
#define MACHINES_MAX 64

static struct sockaddr_in store_address;
static long stale_ms, delay_ms;
static const char *refused_path, *watchers_path;

typedef struct
{
  long at_ms;
  char *response;
  size_t size;
} Snapshot;

static Snapshot snapshots[SNAPSHOTS_MAX];
static unsigned snapshot_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static long
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
sleep_ms (long ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&t, NULL);
}

static int
send_all (int fd, const char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t n = send (fd, data, size, MSG_NOSIGNAL);

      if (n <= 0)
        return -1;
      data += n;
      size -= (size_t)n;
    }
  return 0;
}

static long
length_of (const char *head)
{
  const char *line;

  for (line = strstr (head, "\r\n"); line != NULL; line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, "Content-Length:", 15) == 0)
      return atol (line + 17);
  return 0;
}

/* Reads one message with its body into buffer. Returns its size, or 0 at the end or an error. */
static size_t
read_message (int fd, char *buffer)
{
  size_t size = 0;
  char *end;

  for (;;)
    {
      ssize_t n = recv (fd, buffer + size, MESSAGE_MAX - 1 - size, 0);

      if (n <= 0)
        return 0;
      size += (size_t)n;
      buffer[size] = '\0';
      end = strstr (buffer, "\r\n\r\n");
      if (end != NULL && size >= (size_t)(end + 4 - buffer) + (size_t)length_of (buffer))
        return size;
      if (size == MESSAGE_MAX - 1)
        return 0;
    }
}

static int
connect_store (void)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&store_address, sizeof store_address) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Keeps the list of contacts as it was at each time. */
static void *
poll_contacts (void *arg)
{
  static const char request[] = "GET /objects/contacts HTTP/1.1\r\nHost: store\r\n\r\n";
  char *buffer = malloc (MESSAGE_MAX);
  int fd = -1;

  (void)arg;
  for (;; sleep_ms (POLL_MS))
    {
      size_t size;

      if (fd < 0 && (fd = connect_store ()) < 0)
        continue;
      size = send_all (fd, request, sizeof request - 1) == 0 ? read_message (fd, buffer) : 0;
      if (size == 0)
        {
          close (fd);
          fd = -1;
          continue;
        }
      pthread_mutex_lock (&lock);
      if (snapshot_count < SNAPSHOTS_MAX)
        {
          Snapshot *s = &snapshots[snapshot_count++];

          s->at_ms = now_ms ();
          s->size = size;
          s->response = malloc (size);
          memcpy (s->response, buffer, size);
        }
      pthread_mutex_unlock (&lock);
    }
  return NULL;
}

/* The newest snapshot that is old enough, or the first one. */
static const Snapshot *
stale_snapshot (void)
{
  const Snapshot *found = NULL;

  pthread_mutex_lock (&lock);
  for (unsigned i = 0; i < snapshot_count; i++)
    if (found == NULL || snapshots[i].at_ms <= now_ms () - stale_ms)
      found = &snapshots[i];
  pthread_mutex_unlock (&lock);
  return found;
}

static int
is_refused (int machine)
{
  FILE *file = fopen (refused_path, "r");
  char line[64];
  int found = 0;

  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    {
      found = found || atoi (line) == machine;
    }
  if (file != NULL)
    fclose (file);
  return found;
}

typedef struct
{
  int fd;
  int machine;
} Client;

static void *
serve (void *arg)
{
  static const char refusal[]
      = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
        "Content-Length: 2\r\n\r\n{}";
  Client *client = arg;
  char *buffer = malloc (MESSAGE_MAX);
  int store = -1;
  size_t size;

  while ((size = read_message (client->fd, buffer)) != 0)
    {
      const Snapshot *stale = NULL;

      sleep_ms (delay_ms);
      if (strncmp (buffer, "GET /objects/config?watch=", 26) == 0)
        {
          FILE *file = fopen (watchers_path, "a");

          fprintf (file, "%d\n", client->machine);
          fclose (file);
        }
      if (is_refused (client->machine))
        {
          if (send_all (client->fd, refusal, sizeof refusal - 1) != 0)
            break;
          continue;
        }
      if (strncmp (buffer, "GET /objects/contacts?", 22) == 0
          && strstr (buffer, "staleOk=1") != NULL
          && strstr (buffer, "staleOk=1") < strstr (buffer, "\r\n"))
        stale = stale_snapshot ();
      if (stale != NULL)
        {
          if (send_all (client->fd, stale->response, stale->size) != 0)
            break;
          continue;
        }
      if (store < 0 && (store = connect_store ()) < 0)
        break;
      if (send_all (store, buffer, size) != 0 || (size = read_message (store, buffer)) == 0
          || (is_refused (client->machine) ? send_all (client->fd, refusal, sizeof refusal - 1)
                                           : send_all (client->fd, buffer, size))
                 != 0)
        break;
    }
  if (store >= 0)
    close (store);
  close (client->fd);
  free (buffer);
  free (client);
  return NULL;
}

int
main (int argc, char **argv)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct pollfd listening[MACHINES_MAX];
  int count = argc == 10 ? atoi (argv[3]) : 0;
  int on = 1;
  pthread_t thread;

  if (count < 1 || count > MACHINES_MAX)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  address.sin_port = htons ((uint16_t)atoi (argv[2]));
  store_address.sin_family = AF_INET;
  store_address.sin_port = htons ((uint16_t)atoi (argv[5]));
  stale_ms = atol (argv[6]);
  delay_ms = atol (argv[7]);
  refused_path = argv[8];
  watchers_path = argv[9];
  if (inet_pton (AF_INET, argv[1], &address.sin_addr) != 1
      || inet_pton (AF_INET, argv[4], &store_address.sin_addr) != 1)
    return 2;
  for (int i = 0; i < count; i++)
    {
      int fd = socket (AF_INET, SOCK_STREAM, 0);

      setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0 || listen (fd, 128) != 0)
        return 2;
      listening[i] = (struct pollfd){ .fd = fd, .events = POLLIN };
      address.sin_addr.s_addr = htonl (ntohl (address.sin_addr.s_addr) + 1);
    }
  pthread_create (&thread, NULL, poll_contacts, NULL);
  while (poll (listening, (nfds_t)count, -1) > 0)
    for (int i = 0; i < count; i++)
      {
        Client *client;

        if (listening[i].revents == 0)
          continue;
        client = malloc (sizeof *client);
        client->machine = i + 1;
        client->fd = accept (listening[i].fd, NULL, NULL);
        if (client->fd < 0)
          {
            free (client);
            continue;
          }
        setsockopt (client->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        pthread_create (&thread, NULL, serve, client);
        pthread_detach (thread);
      }
  return 2;
}
