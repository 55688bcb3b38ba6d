/*
 * Callers of the object platform's nodes, and the judge of what they got.
 *
 * Upstream i-N is beside the Nth node. The callers keep connections open until the node closes
 * them, pipeline, send an id a second time to another node while the first is under way or after
 * it, and leave early. Then each response is compared with the ledgers of standin-stutter. Prints
 * the counts and the numbers of broken rules as one line of JSON; each broken rule is a line on
 * standard error. The exit status is 1 when a rule was broken.
 */
#include "standin.h"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>

#define REQUESTS_MAX 65536
#define SENDS_MAX 65536
#define RUNS_MAX 131072
#define KILLS_MAX 256
#define NODES_MAX 16
#define CONNECTIONS_MAX 256
#define PIPELINE_MAX 4
#define BYTES_MAX 32768 /* of responses that are being read */
#define NAME_SIZE 16
#define ID_SIZE 40
#define OUTBOUND_PORT 8147
#define DEADLINE_MS 2000
#define ANSWER_MAX_MS 10000 /* the deadline, and the time for which a node may be paused */
#define QUIET_MS 3000       /* after which nothing runs late */

typedef struct
{
  unsigned sends;
  int first_run; /* row of runs, or -1 */
  int route;
  int framing;
} Request;

typedef enum
{
  OUTCOME_OPEN,  /* no end within ANSWER_MAX_MS */
  OUTCOME_WHOLE, /* by its framing */
  OUTCOME_CUT,   /* a part arrived */
  OUTCOME_NONE,  /* nothing arrived */
  OUTCOME_LEFT   /* the caller left */
} Outcome;

/* One transmission of a request, with its response. */
typedef struct
{
  int64_t begin_ms, end_ms; /* wall clock */
  int request;
  int node;
  Outcome outcome;
  int status;
  int seal_status;
  unsigned run; /* of the seal */
  bool is_copy, is_sealed, has_other_id;
  bool is_body_right; /* complete, and names id, instance, run and status */
  char instance[NAME_SIZE];
} Send;

typedef struct
{
  int64_t next_ms;
  int64_t leave_ms; /* or 0 */
  size_t size;
  int fd; /* -1 while closed */
  int node;
  int count;
  int sends[PIPELINE_MAX]; /* rows under way, in order */
  bool has_reset;          /* the connection is reset when the caller leaves */
  char bytes[BYTES_MAX + 1];
} Connection;

/* A request that arrived at an upstream. */
typedef struct
{
  int request;
  int next;     /* run of the same request, or -1 */
  unsigned run; /* 0 when it was refused */
  int status;
  char instance[NAME_SIZE];
  char ending[8];
} Run;

/* A node was killed between two times. */
typedef struct
{
  int64_t begin_ms, end_ms;
  int node;
} Kill;

static Request requests[REQUESTS_MAX];
static Send sends[SENDS_MAX];
static Run runs[RUNS_MAX];
static Kill kills[KILLS_MAX];
static Connection connections[CONNECTIONS_MAX];
static struct sockaddr_in nodes[NODES_MAX];
static int request_count, send_count, run_count, kill_count, node_count;
static uint64_t draws;
static int seed, seconds = 5, connection_count = 24;
static char *targets, *ledgers, *faults;

static const char *const routes[] = { "read", "write", "split", "lib" };
static const char *const framings[] = { "length", "chunked", "close" };
#define ROUTE_WRITE 1 /* not idempotent */

static int64_t
wall_ms (void)
{
  return g_get_real_time () / 1000;
}

static int
draw (int count)
{
  return (int)(ph_mix (((uint64_t)seed << 32) + ++draws) % (uint64_t)count);
}

static void
format_id (int request, char *id)
{
  snprintf (id, ID_SIZE, "%08x%08x", (unsigned)ph_mix ((uint64_t)seed + 1), (unsigned)request);
}

/* Returns the request of an id, or -1. */
static int
find_request (const char *id)
{
  char own[ID_SIZE];
  int request = strlen (id) == 16 ? (int)strtol (id + 8, NULL, 16) : -1;

  if (request < 0 || request >= request_count)
    return -1;
  format_id (request, own);
  return strcmp (own, id) == 0 ? request : -1;
}

/* Connections. */

static void
end_send (Connection *connection, Outcome outcome)
{
  Send *send_row = &sends[connection->sends[0]];

  send_row->outcome = outcome;
  send_row->end_ms = wall_ms ();
  memmove (connection->sends, connection->sends + 1, sizeof connection->sends - sizeof (int));
  connection->count--;
}

/* Closes a connection; what is under way on it ends. */
static void
close_connection (Connection *connection, bool has_left)
{
  bool is_first = true;

  for (; connection->count > 0; is_first = false)
    end_send (connection, has_left                           ? OUTCOME_LEFT
                          : is_first && connection->size > 0 ? OUTCOME_CUT
                                                             : OUTCOME_NONE);
  close (connection->fd);
  connection->fd = -1;
  connection->size = 0;
  connection->leave_ms = 0;
  connection->next_ms = wall_ms () + draw (300);
}

static void
open_connection (Connection *connection)
{
  int one = 1;

  connection->node = draw (node_count);
  connection->fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (connection->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  /* Within one machine, a connection is made or refused at once, also by a process that is paused.
   */
  if (connect (connection->fd, (struct sockaddr *)&nodes[connection->node], sizeof *nodes) != 0)
    close_connection (connection, true);
  else
    fcntl (connection->fd, F_SETFL, O_NONBLOCK);
}

static void
send_request (Connection *connection, int request)
{
  char id[ID_SIZE];
  char text[256];
  int64_t begin_ms = wall_ms ();
  int size;

  if (send_count == SENDS_MAX || connection->fd < 0
      || (requests[request].route == ROUTE_WRITE && requests[request].sends > 0))
    return;
  format_id (request, id);
  size = snprintf (text, sizeof text,
                   "GET /%s/random/%s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\n"
                   "Deadline-Ms: %d\r\n\r\n",
                   routes[requests[request].route], framings[requests[request].framing], id,
                   DEADLINE_MS);
  if (send (connection->fd, text, (size_t)size, MSG_NOSIGNAL) != size)
    {
      close_connection (connection, false);
      return;
    }
  requests[request].sends++;
  sends[send_count] = (Send){ .request = request, .node = connection->node, .begin_ms = begin_ms };
  connection->sends[connection->count++] = send_count++;
}

static int
new_request (void)
{
  int drawn = draw (10);

  if (request_count == REQUESTS_MAX)
    return 0;
  requests[request_count] = (Request){ .first_run = -1,
                                       .route = draw (G_N_ELEMENTS (routes)),
                                       .framing = drawn < 6   ? 0
                                                  : drawn < 9 ? 1
                                                              : 2 };
  return request_count++;
}

/* Draws one of the last count requests that may run twice, or makes a new one. */
static int
earlier_request (int count)
{
  for (int i = 0; i < 8 && request_count > count; i++)
    {
      int request = request_count - 1 - draw (count);

      if (requests[request].route != ROUTE_WRITE)
        return request;
    }
  return new_request ();
}

/* What a caller does next on a connection. */
static void
do_single (Connection *connection)
{
  send_request (connection, new_request ());
}

static void
do_pipeline (Connection *connection)
{
  int count = 2 + draw (PIPELINE_MAX - 1);

  for (int i = 0; i < count; i++)
    send_request (connection, new_request ());
}

static void
do_hedge (Connection *connection)
{
  send_request (connection, earlier_request (connection_count));
}

static void
do_repeat (Connection *connection)
{
  send_request (connection, earlier_request (10 * connection_count));
}

static void
do_leave (Connection *connection)
{
  send_request (connection, new_request ());
  connection->leave_ms = wall_ms () + draw (100);
  connection->has_reset = draw (2) == 0;
}

static void
do_close (Connection *connection)
{
  close_connection (connection, true);
}

static const struct
{
  void (*func) (Connection *connection);
  int share; /* of 100 */
} actions[] = { { do_single, 48 }, { do_pipeline, 20 }, { do_hedge, 12 },
                { do_repeat, 12 }, { do_leave, 6 },     { do_close, 2 } };

/* Responses. */

/* Copies the value of a field to value, "" when it is missing. Returns whether it is there. */
static bool
read_field (const char *head, const char *name, char *value, size_t size)
{
  char start[64];
  const char *found;

  snprintf (start, sizeof start, "\r\n%s: ", name);
  found = strcasestr (head, start);
  value[0] = '\0';
  if (found == NULL)
    return false;
  found += strlen (start);
  snprintf (value, size, "%.*s", (int)strcspn (found, "\r\n"), found);
  return true;
}

/* Decodes chunks. Returns the bytes that they take, 0 when the last one is missing. */
static size_t
read_chunks (const char *bytes, size_t size, char *body, size_t *body_size)
{
  size_t at = 0;

  *body_size = 0;
  for (;;)
    {
      const char *line_end = memmem (bytes + at, size - at, "\r\n", 2);
      size_t chunk = line_end != NULL ? strtoul (bytes + at, NULL, 16) : 0;

      if (line_end == NULL)
        return 0;
      at = (size_t)(line_end - bytes) + 2;
      if (chunk > size || at + chunk + 2 > size)
        return 0;
      memcpy (body + *body_size, bytes + at, chunk);
      *body_size += chunk;
      at += chunk + 2;
      if (chunk == 0)
        return at;
    }
}

static void
read_seal (Send *send_row, const char *head, const char *body, size_t body_size)
{
  char seal[64];
  char id[ID_SIZE];
  char other[ID_SIZE];
  char named_id[ID_SIZE] = "";
  char named_instance[NAME_SIZE] = "";
  unsigned run = 0, padding = 0;
  int status = 0, text_size = 0;

  format_id (send_row->request, id);
  send_row->is_copy = read_field (head, "X-Copy", other, sizeof other);
  send_row->has_other_id
      = read_field (head, "Attempt-Id", other, sizeof other) && strcmp (other, id) != 0;
  send_row->is_sealed = read_field (head, "Response-Seal", seal, sizeof seal);
  sscanf (seal, "%15[^.].%u.%d", send_row->instance, &send_row->run, &send_row->seal_status);
  sscanf (body, "answer of %15s to %39[0-9a-f], run %u, status %d, padding %u\n%n", named_instance,
          named_id, &run, &status, &padding, &text_size);
  send_row->is_body_right = text_size > 0 && body_size == (size_t)text_size + padding
                            && strcmp (named_id, id) == 0
                            && strcmp (named_instance, send_row->instance) == 0
                            && run == send_row->run && status == send_row->status;
}

/* Reads one response from the bytes of a connection. Returns whether there was a complete one. */
static bool
read_response (Connection *connection, bool has_ended)
{
  static char body[BYTES_MAX + 1];
  char value[64];
  char *end;
  size_t body_size, left, used;
  int status = 0;
  bool is_unframed = false;

  connection->bytes[connection->size] = '\0';
  end = memmem (connection->bytes, connection->size, "\r\n\r\n", 4);
  if (end == NULL || connection->count == 0)
    return false;
  end[2] = '\0';
  left = connection->size - (size_t)(end + 4 - connection->bytes);
  sscanf (connection->bytes, "HTTP/1.%*d %d", &status);
  if (status / 100 == 1)
    body_size = used = 0;
  else if (read_field (connection->bytes, "Transfer-Encoding", value, sizeof value))
    used = read_chunks (end + 4, left, body, &body_size);
  else if (read_field (connection->bytes, "Content-Length", value, sizeof value))
    {
      used = body_size = strtoul (value, NULL, 10);
      memcpy (body, end + 4, MIN (used, left));
    }
  else
    {
      is_unframed = true;
      used = body_size = left;
      memcpy (body, end + 4, left);
    }
  if ((is_unframed && !has_ended) || used > left
      || (used == 0 && read_field (connection->bytes, "Transfer-Encoding", value, sizeof value)))
    {
      end[2] = '\r';
      return false;
    }
  body[MIN (body_size, BYTES_MAX)] = '\0';
  if (status / 100 != 1)
    {
      Send *send_row = &sends[connection->sends[0]];

      send_row->status = status;
      read_seal (send_row, connection->bytes, body, body_size);
      end_send (connection, OUTCOME_WHOLE);
    }
  connection->size = left - used;
  memmove (connection->bytes, end + 4 + used, connection->size);
  return true;
}

/* Reads what has arrived on a connection. */
static void
receive (Connection *connection)
{
  ssize_t size;

  while ((size = recv (connection->fd, connection->bytes + connection->size,
                       BYTES_MAX - connection->size, 0))
         > 0)
    {
      connection->size += (size_t)size;
      while (read_response (connection, false))
        ;
      if (connection->size == BYTES_MAX) /* of an endless body */
        break;
    }
  if (connection->size == BYTES_MAX)
    close_connection (connection, true);
  else if (size == 0 || (size < 0 && errno != EAGAIN))
    {
      if (size == 0)
        while (read_response (connection, true))
          ;
      close_connection (connection, false);
    }
}

/* Starts what is due on a connection. */
static void
act (Connection *connection, bool has_time)
{
  static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  int64_t now = wall_ms ();
  int drawn;

  if (connection->leave_ms > 0 && now >= connection->leave_ms)
    {
      if (connection->has_reset)
        setsockopt (connection->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close_connection (connection, true);
      return;
    }
  if (connection->count > 0 || !has_time || now < connection->next_ms)
    return;
  if (connection->fd < 0)
    open_connection (connection);
  if (connection->fd < 0)
    return;
  connection->next_ms = now + (draw (10) == 0 ? draw (1000) : draw (80));
  drawn = draw (100);
  for (size_t i = 0; i < G_N_ELEMENTS (actions); i++)
    {
      if (drawn < actions[i].share)
        {
          actions[i].func (connection);
          return;
        }
      drawn -= actions[i].share;
    }
}

static bool
is_under_way (void)
{
  for (int i = 0; i < connection_count; i++)
    if (connections[i].count > 0)
      return true;
  return false;
}

static void
run_callers (void)
{
  struct pollfd polls[CONNECTIONS_MAX];
  int64_t end_ms = wall_ms () + (int64_t)seconds * 1000;

  while (wall_ms () < end_ms || (is_under_way () && wall_ms () < end_ms + ANSWER_MAX_MS))
    {
      for (int i = 0; i < connection_count; i++)
        {
          act (&connections[i], wall_ms () < end_ms);
          polls[i] = (struct pollfd){ .fd = connections[i].fd, .events = POLLIN };
        }
      poll (polls, (nfds_t)connection_count, 5);
      for (int i = 0; i < connection_count; i++)
        if (polls[i].revents != 0 && connections[i].fd >= 0)
          receive (&connections[i]);
    }
}

/* Verdict. */

/* Calls func for each line of the files in a list that is separated by commas. */
static void
read_lines (const char *list, void (*func) (const char *line))
{
  char **paths = g_strsplit (list, ",", -1);
  char line[256];

  for (char **path = paths; *path != NULL; path++)
    {
      FILE *file = fopen (*path, "r");

      if (file == NULL)
        {
          fprintf (stderr, "%s: %s\n", *path, g_strerror (errno));
          exit (2);
        }
      while (fgets (line, sizeof line, file) != NULL)
        func (line);
      fclose (file);
    }
  g_strfreev (paths);
}

static void
add_run (const char *line)
{
  Run run = { .next = -1 };
  char id[ID_SIZE];

  if (sscanf (line, "%15s %39s %u %d %7s", run.instance, id, &run.run, &run.status, run.ending) != 5
      || (run.request = find_request (id)) < 0 || run_count == RUNS_MAX)
    return;
  run.next = requests[run.request].first_run;
  requests[run.request].first_run = run_count;
  runs[run_count++] = run;
}

/* Reads "MS kill-begin vm-N" and "MS kill-end vm-N", which follows. */
static void
add_kill (const char *line)
{
  Kill kill_row = { .end_ms = INT64_MAX };

  if (kill_count < KILLS_MAX
      && sscanf (line, "%" SCNd64 " kill-begin vm-%d", &kill_row.begin_ms, &kill_row.node) == 2)
    kills[kill_count++] = kill_row;
  else if (kill_count > 0
           && sscanf (line, "%" SCNd64 " kill-end vm-%d", &kill_row.end_ms, &kill_row.node) == 2)
    kills[kill_count - 1].end_ms = kill_row.end_ms;
}

/* Whether a node was killed while a response was under way. Nodes count from 1. */
static bool
was_killed (const Send *send_row, int node)
{
  for (int i = 0; i < kill_count; i++)
    if (kills[i].node == node && kills[i].end_ms >= send_row->begin_ms
        && kills[i].begin_ms <= send_row->end_ms)
      return true;
  return false;
}

/* Whether a node was killed that passes on the body of a response: the one that the caller sent the
 * request to, or the one beside an upstream that ran it. */
static bool
was_killed_on_path (const Send *send_row)
{
  int node;

  if (was_killed (send_row, send_row->node + 1))
    return true;
  for (int i = requests[send_row->request].first_run; i >= 0; i = runs[i].next)
    if (runs[i].run > 0 && sscanf (runs[i].instance, "i-%d", &node) == 1
        && was_killed (send_row, node))
      return true;
  return false;
}

/* The run that a response comes from, or NULL. */
static const Run *
run_of (const Send *send_row)
{
  for (int i = requests[send_row->request].first_run; i >= 0; i = runs[i].next)
    if (runs[i].run == send_row->run && runs[i].run > 0
        && strcmp (runs[i].instance, send_row->instance) == 0)
      return &runs[i];
  return NULL;
}

static unsigned
count_runs (int request, const char *ending) /* NULL for all */
{
  unsigned count = 0;

  for (int i = requests[request].first_run; i >= 0; i = runs[i].next)
    count += runs[i].run > 0 && (ending == NULL || strcmp (runs[i].ending, ending) == 0);
  return count;
}

static bool
is_whole_and_sealed (const Send *send_row)
{
  return send_row->outcome == OUTCOME_WHOLE && send_row->is_sealed;
}

static bool
is_of_another_request (const Send *send_row)
{
  return send_row->outcome == OUTCOME_WHOLE
         && (send_row->has_other_id || (send_row->is_sealed && run_of (send_row) == NULL));
}

static bool
is_second_copy (const Send *send_row)
{
  return send_row->outcome == OUTCOME_WHOLE && send_row->is_copy;
}

static bool
has_wrong_status (const Send *send_row)
{
  const Run *run = is_whole_and_sealed (send_row) ? run_of (send_row) : NULL;

  return is_whole_and_sealed (send_row)
         && (send_row->status != send_row->seal_status
             || (run != NULL && run->status != send_row->status));
}

static bool
has_wrong_body (const Send *send_row)
{
  const Run *run = is_whole_and_sealed (send_row) ? run_of (send_row) : NULL;

  return is_whole_and_sealed (send_row)
         && (!send_row->is_body_right || (run != NULL && strcmp (run->ending, "whole") != 0));
}

/* Also a failure that no node and no upstream of the test sends. */
static bool
is_unsealed (const Send *send_row)
{
  static const int statuses[] = { 408, 429, 502, 503, 504 };

  if (send_row->outcome != OUTCOME_WHOLE || send_row->is_sealed)
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    if (send_row->status == statuses[i])
      return false;
  return true;
}

static bool
is_refused_and_run (const Send *send_row)
{
  return send_row->outcome == OUTCOME_WHOLE && requests[send_row->request].sends == 1
         && (send_row->status == 429 || send_row->status == 503 || send_row->status == 408
             || send_row->status == 421)
         && count_runs (send_row->request, NULL) > 0;
}

static bool
is_write_run_twice (const Send *send_row)
{
  return requests[send_row->request].route == ROUTE_WRITE
         && count_runs (send_row->request, NULL) > 1;
}

/* The request was passed on, as an upstream has it, and the node was not killed. */
static bool
is_unanswered (const Send *send_row)
{
  return send_row->outcome == OUTCOME_NONE && requests[send_row->request].sends == 1
         && requests[send_row->request].first_run >= 0
         && !was_killed (send_row, send_row->node + 1);
}

static bool
is_cut_by_node (const Send *send_row)
{
  return send_row->outcome == OUTCOME_CUT && count_runs (send_row->request, "cut") == 0
         && !was_killed_on_path (send_row);
}

static bool
is_late (const Send *send_row)
{
  return send_row->outcome == OUTCOME_OPEN
         || (send_row->outcome != OUTCOME_LEFT
             && send_row->end_ms - send_row->begin_ms > ANSWER_MAX_MS);
}

static const struct
{
  const char *name;
  bool (*is_broken) (const Send *send_row);
} rules[] = {
  { "of_another_request", is_of_another_request },
  { "second_copy", is_second_copy },
  { "wrong_status", has_wrong_status },
  { "wrong_body", has_wrong_body },
  { "unsealed", is_unsealed },
  { "refused_and_run", is_refused_and_run },
  { "write_run_twice", is_write_run_twice },
  { "unanswered", is_unanswered },
  { "cut_by_node", is_cut_by_node },
  { "late", is_late },
};

static unsigned
judge (void)
{
  unsigned broken[G_N_ELEMENTS (rules)] = { 0 };
  unsigned outcomes[OUTCOME_LEFT + 1] = { 0 };
  unsigned successes = 0;
  unsigned sum = 0;
  char id[ID_SIZE];

  for (int i = 0; i < send_count; i++)
    {
      const Send *row = &sends[i];

      outcomes[row->outcome]++;
      successes += row->outcome == OUTCOME_WHOLE && row->status == 200;
      format_id (row->request, id);
      for (size_t j = 0; j < G_N_ELEMENTS (rules); j++)
        if (rules[j].is_broken (row))
          {
            broken[j]++;
            fprintf (stderr,
                     "%s: %s /%s/ %s node %d from %" PRId64 " to %" PRId64
                     " outcome %d status %d seal %s.%u.%d sends %u\n",
                     rules[j].name, id, routes[requests[row->request].route],
                     framings[requests[row->request].framing], row->node + 1, row->begin_ms,
                     row->end_ms, (int)row->outcome, row->status, row->instance, row->run,
                     row->seal_status, requests[row->request].sends);
          }
    }
  printf ("{\"sends\":%d,\"runs\":%d,\"successes\":%u,\"whole\":%u,\"cut\":%u,\"none\":%u,"
          "\"left\":%u",
          send_count, run_count, successes, outcomes[OUTCOME_WHOLE], outcomes[OUTCOME_CUT],
          outcomes[OUTCOME_NONE], outcomes[OUTCOME_LEFT]);
  for (size_t j = 0; j < G_N_ELEMENTS (rules); j++)
    {
      printf (",\"%s\":%u", rules[j].name, broken[j]);
      sum += broken[j];
    }
  printf ("}\n");
  return sum;
}

int
main (int argc, char **argv)
{
  const GOptionEntry flags[] = {
    { "targets", 0, 0, G_OPTION_ARG_STRING, &targets, "addresses of the nodes", "IP,..." },
    { "ledgers", 0, 0, G_OPTION_ARG_STRING, &ledgers, "outputs of the upstreams", "FILE,..." },
    { "faults", 0, 0, G_OPTION_ARG_STRING, &faults, "log of the nodes that were killed", "FILE" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "of the requests", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "for which requests are sent", "N" },
    { "connections", 0, 0, G_OPTION_ARG_INT, &connection_count, "of the callers", "N" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  char **parts;

  ph_standin_init (&argc, &argv, "Callers of the object platform.", flags);
  if (targets == NULL || ledgers == NULL || faults == NULL || connection_count > CONNECTIONS_MAX)
    return 2;
  parts = g_strsplit (targets, ",", -1);
  for (char **part = parts; *part != NULL && node_count < NODES_MAX; part++)
    {
      nodes[node_count].sin_family = AF_INET;
      nodes[node_count].sin_port = htons (OUTBOUND_PORT);
      inet_pton (AF_INET, *part, &nodes[node_count++].sin_addr);
    }
  g_strfreev (parts);
  for (int i = 0; i < connection_count; i++)
    connections[i].fd = -1;
  run_callers ();
  usleep (QUIET_MS * 1000);
  read_lines (ledgers, add_run);
  read_lines (faults, add_kill);
  return judge () == 0 ? 0 : 1;
}
