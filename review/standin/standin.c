/*
 * Small stand-ins for the cases of this review: backends and consumers, as separate processes with
 * blocking sockets and a thread for each connection. They keep to PROTOCOL.md.
 *
 *   standin backend LISTEN NODE SERVICE ID SLOTS RECORD
 *     A backend at LISTEN (address:port) with heartbeats to NODE. It reads a whole request, waits
 *     for a slot, works, and answers. RECORD gets one line for each request that it runs:
 *     "ran TIME ID INSTANCE LENGTH HASH METHOD TARGET" with the length and hash of the body.
 *     Parts of a path set the work, in ms (wN, or WN for work that doesn't vary), the size of the
 *     answer (bN), the time that it takes to send it, in ms (pN), and that a backend with
 *     EARLY_PERCENT in its environment answers so many of these requests in chunks as soon as it
 *     has read N bytes of a longer body, keeps the connection and reads on later (eN). It then
 *     records "rest TIME ID INSTANCE LENGTH HASH METHOD TARGET inside ID" with the length and hash
 *     of all bytes that came as that body and the id of a request that was among them, or "cut ..."
 *     if they did not all come.
 *
 *   standin call ADDRESS METHOD TARGET HOST ID BODY
 *     Sends one request and exits with 0 if its status is 2xx.
 *
 *   standin proxy LISTEN TARGET
 *     Relays connections. SIGUSR1 lets the open ones go silent for good, without a reset; new ones
 *     work.
 *
 *   standin consumer NODE HOST PATH METHOD BODY_BYTES CHUNKED PER_S SECONDS DEADLINE_MS SEED RECORD
 *     Sends requests at random times, each on a new connection, and records
 *     "sent TIME ID LENGTH HASH" and "answered TIME ID STATUS LENGTH COMPLETE MS".
 */
#ifndef _GNU_SOURCE
#define _GNU_SOURCE
#endif
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 32768

static FILE *record;

static double
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static void
sleep_ms (double ms)
{
  struct timespec t = { (time_t)(ms / 1e3), (long)((ms - 1e3 * (double)(long)(ms / 1e3)) * 1e6) };

  while (ms > 0 && nanosleep (&t, &t) < 0 && errno == EINTR)
    ;
}

static uint64_t
mix (uint64_t x)
{
  x += 0x9e3779b97f4a7c15u;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

static uint64_t
hash_bytes (uint64_t hash, const char *bytes, size_t size)
{
  for (size_t i = 0; i < size; i++)
    hash = (hash ^ (unsigned char)bytes[i]) * 0x100000001b3u;
  return hash;
}

static struct sockaddr_in
parse_address (const char *text)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  char host[64];
  const char *colon = strrchr (text, ':');

  snprintf (host, sizeof host, "%.*s", (int)(colon - text), text);
  a.sin_port = htons ((uint16_t)atoi (colon + 1));
  if (inet_pton (AF_INET, host, &a.sin_addr) != 1 || (ntohl (a.sin_addr.s_addr) >> 24) != 127)
    {
      fprintf (stderr, "standin: %s is no loopback address\n", text);
      exit (2);
    }
  return a;
}

/* Connects within a second. from, if not NULL, is the local address. */
static int
connect_to (const char *to)
{
  struct sockaddr_in a = parse_address (to);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
send_all (int fd, const char *bytes, size_t size)
{
  while (size > 0)
    {
      ssize_t n = send (fd, bytes, size, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      bytes += n;
      size -= (size_t)n;
    }
  return true;
}

/* A buffered reader of one connection. */
typedef struct
{
  int fd;
  size_t begin, end;
  char bytes[65536];
  /* Attempt-Id of a request that was found among the bytes of a body, for the record. */
  char found[32];
} Reader;

static bool
fill (Reader *r)
{
  ssize_t n;

  if (r->begin == r->end)
    r->begin = r->end = 0;
  if (r->end == sizeof r->bytes)
    return false;
  n = recv (r->fd, r->bytes + r->end, sizeof r->bytes - r->end, 0);
  if (n <= 0)
    return false;
  r->end += (size_t)n;
  return true;
}

/* Reads a line without its end. */
static bool
read_line (Reader *r, char *line, size_t size)
{
  size_t length = 0;

  for (;;)
    {
      if (r->begin == r->end && !fill (r))
        return false;
      if (r->bytes[r->begin] == '\n')
        break;
      if (length + 1 < size)
        line[length++] = r->bytes[r->begin];
      r->begin++;
    }
  r->begin++;
  if (length > 0 && line[length - 1] == '\r')
    length--;
  line[length] = '\0';
  return true;
}

/* Reads size bytes of a body. size < 0: until the end of the connection. */
static bool
read_bytes (Reader *r, int64_t size, uint64_t *length, uint64_t *hash)
{
  while (size != 0)
    {
      size_t n = r->end - r->begin;

      if (n == 0)
        {
          if (!fill (r))
            return size < 0;
          continue;
        }
      if (size > 0 && (int64_t)n > size)
        n = (size_t)size;
      *hash = hash_bytes (*hash, r->bytes + r->begin, n);
      {
        const char *id = memmem (r->bytes + r->begin, n, "Attempt-Id: ", 12);

        if (id != NULL && id + 28 <= r->bytes + r->begin + n)
          snprintf (r->found, sizeof r->found, "%.16s", id + 12);
      }
      *length += n;
      r->begin += n;
      size -= size > 0 ? (int64_t)n : 0;
    }
  return true;
}

typedef struct
{
  char first[8192]; /* first line */
  char id[64];
  char target[64];
  char seal[128];
  int64_t length; /* -1: none */
  bool is_chunked;
  bool closes;
  bool expects;
  uint64_t body_length;
  uint64_t body_hash;
} Message;

static bool
read_head (Reader *r, Message *m)
{
  char line[8192];

  memset (m, 0, sizeof *m);
  m->length = -1;
  m->body_hash = 0xcbf29ce484222325u;
  if (!read_line (r, m->first, sizeof m->first))
    return false;
  for (;;)
    {
      char *value;

      if (!read_line (r, line, sizeof line))
        return false;
      if (line[0] == '\0')
        return true;
      value = strchr (line, ':');
      if (value == NULL)
        continue;
      *value++ = '\0';
      while (*value == ' ')
        value++;
      if (strcasecmp (line, "Content-Length") == 0)
        m->length = atoll (value);
      else if (strcasecmp (line, "Transfer-Encoding") == 0)
        m->is_chunked = strcasecmp (value, "chunked") == 0;
      else if (strcasecmp (line, "Connection") == 0)
        m->closes = strcasecmp (value, "close") == 0;
      else if (strcasecmp (line, "Expect") == 0)
        m->expects = true;
      else if (strcasecmp (line, "Attempt-Id") == 0)
        snprintf (m->id, sizeof m->id, "%s", value);
      else if (strcasecmp (line, "Target-Instance") == 0)
        snprintf (m->target, sizeof m->target, "%s", value);
      else if (strcasecmp (line, "Response-Seal") == 0)
        snprintf (m->seal, sizeof m->seal, "%s", value);
    }
}

/* Reads the body that the head announces; without a length it is empty or, of an answer, all until
 * the connection ends. */
static bool
read_body (Reader *r, Message *m, bool is_answer)
{
  char line[256];

  if (!m->is_chunked)
    return read_bytes (r,
                       m->length >= 0 ? m->length
                       : is_answer    ? -1
                                      : 0,
                       &m->body_length, &m->body_hash);
  for (;;)
    {
      int64_t size;

      if (!read_line (r, line, sizeof line))
        return false;
      size = strtoll (line, NULL, 16);
      if (size == 0)
        break;
      if (!read_bytes (r, size, &m->body_length, &m->body_hash)
          || !read_line (r, line, sizeof line))
        return false;
    }
  while (read_line (r, line, sizeof line))
    if (line[0] == '\0')
      return true;
  return false;
}

/* Backend. */

static struct
{
  const char *listen, *node, *service, *id;
  int slots;
  int running, waiting;
  pthread_mutex_t lock;
  pthread_cond_t freed;
} backend = { .lock = PTHREAD_MUTEX_INITIALIZER, .freed = PTHREAD_COND_INITIALIZER };

static double
path_number (const char *path, char key, double standard)
{
  char text[4] = { '/', key, '\0' };
  const char *found = path;

  while ((found = strstr (found, text)) != NULL)
    {
      if (found[2] >= '0' && found[2] <= '9')
        return atof (found + 2);
      found++;
    }
  return standard;
}

static bool
answer (int fd, const Message *m, const char *status, bool has_run, size_t size, double pace_ms)
{
  static const char block[4096];
  char head[1024];
  int n;

  pthread_mutex_lock (&backend.lock);
  n = snprintf (head, sizeof head,
                "HTTP/1.1 %s\r\nInstance-Id: %s\r\nServer-Load: %d,%d,%d,100\r\n", status,
                backend.id, backend.running, backend.waiting, backend.slots);
  pthread_mutex_unlock (&backend.lock);
  if (m->id[0] != '\0')
    n += snprintf (head + n, sizeof head - (size_t)n, "Attempt-Id: %s\r\n", m->id);
  if (has_run)
    n += snprintf (head + n, sizeof head - (size_t)n, "Response-Seal: %s.%016llx\r\n", backend.id,
                   (unsigned long long)m->body_hash);
  n += snprintf (head + n, sizeof head - (size_t)n, "Content-Length: %zu\r\n\r\n", size);
  if (!send_all (fd, head, (size_t)n))
    return false;
  for (size_t whole = size; size > 0; size -= size < sizeof block ? size : sizeof block)
    {
      if (!send_all (fd, block, size < sizeof block ? size : sizeof block))
        return false;
      if (pace_ms > 0)
        sleep_ms (pace_ms * sizeof block / (double)whole);
    }
  return true;
}

/* Runs one request. Returns false when the connection must be closed. */
static bool
run (int fd, const Message *m)
{
  char method[32] = "", target[4096] = "";
  double work;
  bool is_ok;

  sscanf (m->first, "%31s %4095s", method, target);
  if (strcmp (target, "/health") == 0)
    return answer (fd, m, "200 OK", false, 0, 0);
  if (m->target[0] != '\0' && strcmp (m->target, backend.id) != 0)
    return answer (fd, m, "421 Misdirected Request", false, 0, 0);
  pthread_mutex_lock (&backend.lock);
  backend.waiting++;
  while (backend.running >= backend.slots)
    pthread_cond_wait (&backend.freed, &backend.lock);
  backend.waiting--;
  backend.running++;
  fprintf (record, "ran %.3f %s %s %llu %016llx %s %s\n", now_ms (), m->id, backend.id,
           (unsigned long long)m->body_length, (unsigned long long)m->body_hash, method, target);
  fflush (record);
  pthread_mutex_unlock (&backend.lock);
  work = path_number (target, 'W', 0);
  /* Real work varies: half to one and a half times. */
  if (work <= 0)
    work = path_number (target, 'w', 100)
           * (0.5 + (double)(mix ((uint64_t)now_ms () ^ (uint64_t)fd) % 1000) / 1000);
  sleep_ms (work);
  is_ok = answer (fd, m, "200 OK", true, (size_t)path_number (target, 'b', 200),
                  path_number (target, 'p', 0));
  pthread_mutex_lock (&backend.lock);
  backend.running--;
  pthread_cond_signal (&backend.freed);
  pthread_mutex_unlock (&backend.lock);
  return is_ok;
}

/* EARLY_PERCENT of the long requests are answered early. */
static bool
answers_early (const Message *m)
{
  const char *percent = getenv ("EARLY_PERCENT");

  return percent != NULL && mix (strtoull (m->id, NULL, 16)) % 100 < strtoull (percent, NULL, 10);
}

/* Answers after the first bytes of a body, and reads the rest later. Returns false when the
 * connection ends. */
static bool
run_early (Reader *r, Message *m, size_t early)
{
  char method[32] = "", target[4096] = "", text[1024];
  bool is_whole;
  int n;

  r->found[0] = '\0';
  sscanf (m->first, "%31s %4095s", method, target);
  if (!read_bytes (r, (int64_t)early, &m->body_length, &m->body_hash))
    return false;
  pthread_mutex_lock (&backend.lock);
  fprintf (record, "early %.3f %s %s %llu %016llx %s %s\n", now_ms (), m->id, backend.id,
           (unsigned long long)m->body_length, (unsigned long long)m->body_hash, method, target);
  fflush (record);
  pthread_mutex_unlock (&backend.lock);
  n = snprintf (
      text, sizeof text,
      "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nAttempt-Id: %s\r\nResponse-Seal: %s.early\r\n"
      "Transfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n",
      backend.id, m->id, backend.id);
  if (!send_all (r->fd, text, (size_t)n))
    return false;
  sleep_ms (200);
  is_whole = read_bytes (r, m->length - (int64_t)early, &m->body_length, &m->body_hash);
  pthread_mutex_lock (&backend.lock);
  fprintf (record, "%s %.3f %s %s %llu %016llx %s %s inside %s\n", is_whole ? "rest" : "cut",
           now_ms (), m->id, backend.id, (unsigned long long)m->body_length,
           (unsigned long long)m->body_hash, method, target,
           r->found[0] != '\0' ? r->found : "none");
  fflush (record);
  pthread_mutex_unlock (&backend.lock);
  return is_whole;
}

static void *
serve_connection (void *user)
{
  Reader *r = calloc (1, sizeof *r);
  Message m;

  r->fd = (int)(intptr_t)user;
  while (read_head (r, &m))
    {
      if (m.expects && !send_all (r->fd, "HTTP/1.1 100 Continue\r\n\r\n", 25))
        break;
      if (answers_early (&m) && m.length > 0 && path_number (m.first, 'e', 0) > 0
          && (double)m.length > path_number (m.first, 'e', 0)
          && (m.target[0] == '\0' || strcmp (m.target, backend.id) == 0))
        {
          if (!run_early (r, &m, (size_t)path_number (m.first, 'e', 0)) || m.closes)
            break;
          continue;
        }
      if (!read_body (r, &m, false) || !run (r->fd, &m) || m.closes)
        break;
    }
  close (r->fd);
  free (r);
  return NULL;
}

static void
start_thread (void *(*func) (void *), void *user)
{
  pthread_attr_t attr;
  pthread_t thread;

  pthread_attr_init (&attr);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attr, 256 * 1024);
  if (pthread_create (&thread, &attr, func, user) != 0)
    {
      fprintf (stderr, "standin: no thread\n");
      exit (2);
    }
  pthread_attr_destroy (&attr);
}

static void *
send_heartbeats (void *user)
{
  long long born = (long long)now_ms ();
  int sequence = 0;

  (void)user;
  for (;; sleep_ms (500))
    {
      char body[512], text[1024];
      int fd = connect_to (backend.node);
      Reader *r = calloc (1, sizeof *r);
      Message m;

      if (fd >= 0)
        {
          snprintf (
              body, sizeof body,
              "{\"address\":\"%s\",\"born\":%lld,\"info\":{\"service\":\"%s\",\"version\":\"v1\","
              "\"zone\":\"z\",\"slots\":%d},\"status\":{\"state\":\"ready\",\"sequence\":%d,"
              "\"coldLeft\":\"0ms\"}}",
              backend.listen, born, backend.service, backend.slots, ++sequence);
          snprintf (text, sizeof text,
                    "PUT /instances/%s HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
                    "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                    backend.id, strlen (body), body);
          r->fd = fd;
          if (send_all (fd, text, strlen (text)) && read_head (r, &m))
            read_body (r, &m, true);
          close (fd);
        }
      free (r);
    }
  return NULL;
}

static int
backend_main (char **argv)
{
  struct sockaddr_in a = parse_address (argv[0]);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  backend.listen = argv[0];
  backend.node = argv[1];
  backend.service = argv[2];
  backend.id = argv[3];
  backend.slots = atoi (argv[4]);
  record = fopen (argv[5], "a");
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (record == NULL || fd < 0 || bind (fd, (struct sockaddr *)&a, sizeof a) < 0
      || listen (fd, 256) < 0)
    {
      perror ("standin backend");
      return 2;
    }
  start_thread (send_heartbeats, NULL);
  for (;;)
    {
      int c = accept (fd, NULL, NULL);

      if (c < 0)
        continue;
      setsockopt (c, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      start_thread (serve_connection, (void *)(intptr_t)c);
    }
}

/* One call, for the scripts: exits with 0 if the status is 2xx. */
static int
call_main (char **argv)
{
  static Reader reader;
  Reader *r = &reader;
  struct timeval limit = { 3, 0 };
  Message m;
  size_t size = strlen (argv[5]);
  char head[1024];
  int status = 0;
  int n = snprintf (head, sizeof head,
                    "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1000\r\n"
                    "Content-Type: application/json\r\nContent-Length: %zu\r\n"
                    "Connection: close\r\n\r\n",
                    argv[1], argv[2], argv[3], argv[4], size);

  if ((r->fd = connect_to (argv[0])) < 0)
    return 1;
  setsockopt (r->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (send_all (r->fd, head, (size_t)n) && send_all (r->fd, argv[5], size) && read_head (r, &m)
      && read_body (r, &m, true))
    sscanf (m.first, "HTTP/1.1 %d", &status);
  return status >= 200 && status < 300 ? 0 : 1;
}

/* Proxy. */

static volatile sig_atomic_t silence_count;
static const char *proxy_target;

static void
on_silence (int number)
{
  (void)number;
  silence_count++;
}

/* Relays one connection. Once it is silent, its sockets stay open and nothing is read or sent. */
static void *
relay (void *user)
{
  static const int timeout_ms = 20;
  int began_at = silence_count;
  struct pollfd fds[2] = { { .fd = (int)(intptr_t)user, .events = POLLIN },
                           { .fd = connect_to (proxy_target), .events = POLLIN } };
  char bytes[16384];

  while (fds[1].fd >= 0)
    {
      if (silence_count != began_at)
        {
          sleep_ms (100);
          continue;
        }
      if (poll (fds, 2, timeout_ms) <= 0)
        continue;
      for (int i = 0; i < 2; i++)
        {
          ssize_t n = fds[i].revents != 0 ? recv (fds[i].fd, bytes, sizeof bytes, 0) : -2;

          if (n == -2)
            continue;
          if (n <= 0 || !send_all (fds[1 - i].fd, bytes, (size_t)n))
            goto end;
        }
    }

end:
  close (fds[0].fd);
  if (fds[1].fd >= 0)
    close (fds[1].fd);
  return NULL;
}

static int
proxy_main (char **argv)
{
  struct sockaddr_in a = parse_address (argv[0]);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  proxy_target = argv[1];
  parse_address (proxy_target);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (fd < 0 || bind (fd, (struct sockaddr *)&a, sizeof a) < 0 || listen (fd, 256) < 0)
    {
      perror ("standin proxy");
      return 2;
    }
  signal (SIGUSR1, on_silence);
  for (;;)
    {
      int c = accept (fd, NULL, NULL);

      if (c < 0)
        continue;
      setsockopt (c, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      start_thread (relay, (void *)(intptr_t)c);
    }
}

/* Consumer. */

static struct
{
  const char *node, *host, *path, *method;
  size_t body_bytes;
  bool is_chunked;
  int deadline_ms;
  uint64_t seed;
  int open;
  pthread_mutex_t lock;
} consumer = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void
write_record (const char *text)
{
  pthread_mutex_lock (&consumer.lock);
  fputs (text, record);
  fflush (record);
  pthread_mutex_unlock (&consumer.lock);
}

static bool
send_request (int fd, const char *id, const char *body)
{
  char head[1024];
  size_t sent = 0;
  int n = snprintf (head, sizeof head,
                    "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n",
                    consumer.method, consumer.path, consumer.host, id, consumer.deadline_ms);

  if (consumer.body_bytes > 0 && consumer.is_chunked)
    n += snprintf (head + n, sizeof head - (size_t)n, "Transfer-Encoding: chunked\r\n");
  else if (consumer.body_bytes > 0)
    n += snprintf (head + n, sizeof head - (size_t)n, "Content-Length: %zu\r\n",
                   consumer.body_bytes);
  n += snprintf (head + n, sizeof head - (size_t)n, "\r\n");
  if (!send_all (fd, head, (size_t)n))
    return false;
  while (sent < consumer.body_bytes)
    {
      size_t size = consumer.body_bytes - sent < 8192 ? consumer.body_bytes - sent : 8192;

      if (consumer.is_chunked)
        {
          n = snprintf (head, sizeof head, "%zx\r\n", size);
          if (!send_all (fd, head, (size_t)n))
            return false;
        }
      if (!send_all (fd, body + sent, size) || (consumer.is_chunked && !send_all (fd, "\r\n", 2)))
        return false;
      sent += size;
    }
  return consumer.body_bytes == 0 || !consumer.is_chunked || send_all (fd, "0\r\n\r\n", 5);
}

static void *
send_one (void *user)
{
  uint64_t number = (uint64_t)(intptr_t)user;
  Reader *r = calloc (1, sizeof *r);
  char *body = malloc (consumer.body_bytes + 8);
  char id[32], line[512];
  double start = now_ms ();
  struct timeval limit = { consumer.deadline_ms / 1000, consumer.deadline_ms % 1000 * 1000 };
  Message m = { 0 };
  bool is_complete = false;
  int status = 0;

  if (body == NULL || r == NULL)
    exit (2);
  snprintf (id, sizeof id, "%016llx", (unsigned long long)mix (consumer.seed * 1000003 + number));
  for (size_t i = 0; i < consumer.body_bytes; i += 8)
    {
      uint64_t word = mix (consumer.seed ^ (number << 32) ^ i);

      memcpy (body + i, &word, 8);
    }
  snprintf (line, sizeof line, "sent %.3f %s %zu %016llx %s %s\n", start, id, consumer.body_bytes,
            (unsigned long long)hash_bytes (0xcbf29ce484222325u, body, consumer.body_bytes),
            consumer.method, consumer.path);
  write_record (line);
  r->fd = connect_to (consumer.node);
  if (r->fd >= 0)
    {
      setsockopt (r->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
      setsockopt (r->fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
      send_request (r->fd, id, body);
      while (read_head (r, &m))
        {
          sscanf (m.first, "HTTP/1.1 %d", &status);
          if (status >= 200)
            {
              is_complete = read_body (r, &m, true);
              break;
            }
        }
      close (r->fd);
    }
  snprintf (line, sizeof line, "answered %.3f %s %d %llu %s %.0f ms seal %s\n", now_ms (), id,
            status, (unsigned long long)m.body_length, is_complete ? "whole" : "not-whole",
            now_ms () - start, m.seal[0] != '\0' ? m.seal : "none");
  write_record (line);
  free (body);
  free (r);
  pthread_mutex_lock (&consumer.lock);
  consumer.open--;
  pthread_mutex_unlock (&consumer.lock);
  return NULL;
}

static int
consumer_main (char **argv)
{
  double per_s = atof (argv[6]);
  double seconds = atof (argv[7]);
  double start = now_ms ();
  double next = start;
  uint64_t number = 0;

  consumer.node = argv[0];
  consumer.host = argv[1];
  consumer.path = argv[2];
  consumer.method = argv[3];
  consumer.body_bytes = (size_t)atol (argv[4]) & ~(size_t)7;
  consumer.is_chunked = strcmp (argv[5], "chunked") == 0;
  consumer.deadline_ms = atoi (argv[8]);
  consumer.seed = strtoull (argv[9], NULL, 10);
  record = fopen (argv[10], "a");
  if (record == NULL)
    return 2;
  while (next < start + seconds * 1e3)
    {
      if (next > now_ms ())
        sleep_ms (next - now_ms ());
      pthread_mutex_lock (&consumer.lock);
      consumer.open++;
      pthread_mutex_unlock (&consumer.lock);
      start_thread (send_one, (void *)(intptr_t)number++);
      /* Intervals between half and one and a half of the mean. */
      next += 1e3 / per_s * (0.5 + (double)(mix (consumer.seed + number) % 1000) / 1000);
    }
  for (int left = 1; left > 0; sleep_ms (10))
    {
      pthread_mutex_lock (&consumer.lock);
      left = consumer.open;
      pthread_mutex_unlock (&consumer.lock);
    }
  return 0;
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  if (argc == 8 && strcmp (argv[1], "backend") == 0)
    return backend_main (argv + 2);
  if (argc == 13 && strcmp (argv[1], "consumer") == 0)
    return consumer_main (argv + 2);
  if (argc == 8 && strcmp (argv[1], "call") == 0)
    return call_main (argv + 2);
  if (argc == 4 && strcmp (argv[1], "proxy") == 0)
    return proxy_main (argv + 2);
  fprintf (stderr, "usage: see the comment at the start of standin.c\n");
  return 2;
}
