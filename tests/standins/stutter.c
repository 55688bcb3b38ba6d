/*
 * Upstream of the object platform whose connections carry bytes besides one answer
 * to each request.
 *
 * Arguments: HOST:PORT INSTANCE [SEED SERVICE NODE]. The path of a request is
 * /ROUTE/MODE/FRAMING: a mode of the table below and "length", "chunked" or "close". The
 * first run of an id gets status 200, each later one status 500, and the body names the
 * id and the run. A second copy of an answer has the field X-Copy. GET /health is
 * answered at once, and again when the next request arrives on its connection. On
 * SIGTERM, prints how many requests came, and how many had an id that the same
 * connection had carried before.
 *
 * With a seed, mode and status of a request to the mode "random" depend on seed, id and
 * run; heartbeats for SERVICE go to NODE, HOST:PORT; and each request is a line of the
 * ledger on standard output: INSTANCE ID RUN STATUS ENDING. RUN is 0 when the request was
 * refused. ENDING is "whole", "cut" when a part of the body may arrive, or "none".
 */
#include "standin.h"

#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/socket.h>

#define CLIENTS_MAX 256
#define IDS_MAX 65536
#define ID_SIZE 40
#define BYTES_MAX 8192
#define CLIENT_IDS_MAX 64
#define PAUSE_MS 20 /* between the parts of what is sent */
#define HEARTBEAT_MS 300
#define ENDLESS_MS 3000 /* longer than the deadline of a request, 2000 ms */
#define PADDING_MAX 4000

/* When a second copy of an answer is sent, on the same connection. */
typedef enum
{
  COPY_NONE,
  COPY_TOGETHER, /* in the same write as the answer */
  COPY_LATE,     /* PAUSE_MS after the answer */
  COPY_LATE_END, /* the same, and the connection is closed */
  COPY_DUE,      /* when the next request arrives, PAUSE_MS before its answer */
  COPY_JOINED,   /* when the next request arrives, in the same write as its answer */
  COPY_HALVES,   /* when the next request arrives, in two writes; the answer with the second one */
  COPY_SPLIT     /* half of it with the answer, half when the next request arrives */
} CopyTime;

/* Answers to the first run of an id. Each has its second copy when the next request arrives. */
typedef enum
{
  ANSWER_SUCCESS,
  ANSWER_REFUSAL,       /* 503 with Not-Executed and the id */
  ANSWER_REFUSAL_NO_ID, /* 503 with Not-Executed, without an id */
  ANSWER_MISDIRECTED    /* 421, without an id */
} AnswerKind;

/* A head that does not come from one answer. */
typedef enum
{
  HEAD_WHOLE,
  HEAD_STATUS_CUT,   /* "HTTP/1.1 200 O", then an answer with status 500 */
  HEAD_FIELD_CUT,    /* an answer cut within a field line, then one with status 500 */
  HEAD_LINE_CUT,     /* an answer cut after a field line, then one with status 500 */
  HEAD_TWO_IDS,      /* the ids of another request and of this one */
  HEAD_TWO_IDS_LAST, /* the ids of this request and of another one */
  HEAD_TWO_SEALS,    /* two seals */
  HEAD_TWO_LENGTHS,  /* two lengths that differ */
  HEAD_INTERIM,      /* an interim response with the id of another request, then the answer */
  HEAD_STATUS_END,   /* cut within the status line, then the connection is closed */
  HEAD_FIELD_END,    /* cut within a field line, then closed */
  HEAD_LINE_END,     /* cut after a field line, then closed */
  HEAD_ENDLESS,      /* field lines until the connection ends */
  BODY_RESET,        /* cut within the body, then the connection is reset */
  BODY_ENDLESS,      /* a body that does not end */
  ANSWER_LOST        /* nothing is sent */
} HeadFault;

static const struct
{
  const char *name;
  CopyTime copy;
  HeadFault head;
  AnswerKind kind;
  unsigned share; /* of the mode "random", of 1000; the rest is plain */
} modes[] = {
  { "plain", COPY_NONE, HEAD_WHOLE, ANSWER_SUCCESS, 0 },
  { "together", COPY_TOGETHER, HEAD_WHOLE, ANSWER_SUCCESS, 30 },
  { "late", COPY_LATE, HEAD_WHOLE, ANSWER_SUCCESS, 120 },
  { "late-end", COPY_LATE_END, HEAD_WHOLE, ANSWER_SUCCESS, 20 },
  { "due", COPY_DUE, HEAD_WHOLE, ANSWER_SUCCESS, 30 },
  { "joined", COPY_JOINED, HEAD_WHOLE, ANSWER_SUCCESS, 20 },
  { "halves", COPY_HALVES, HEAD_WHOLE, ANSWER_SUCCESS, 20 },
  { "split", COPY_SPLIT, HEAD_WHOLE, ANSWER_SUCCESS, 20 },
  { "status-cut", COPY_NONE, HEAD_STATUS_CUT, ANSWER_SUCCESS, 10 },
  { "field-cut", COPY_NONE, HEAD_FIELD_CUT, ANSWER_SUCCESS, 10 },
  { "line-cut", COPY_NONE, HEAD_LINE_CUT, ANSWER_SUCCESS, 10 },
  { "two-ids", COPY_NONE, HEAD_TWO_IDS, ANSWER_SUCCESS, 5 },
  { "two-ids-last", COPY_NONE, HEAD_TWO_IDS_LAST, ANSWER_SUCCESS, 5 },
  { "two-seals", COPY_NONE, HEAD_TWO_SEALS, ANSWER_SUCCESS, 5 },
  { "two-lengths", COPY_NONE, HEAD_TWO_LENGTHS, ANSWER_SUCCESS, 5 },
  { "interim", COPY_NONE, HEAD_INTERIM, ANSWER_SUCCESS, 10 },
  { "status-end", COPY_NONE, HEAD_STATUS_END, ANSWER_SUCCESS, 10 },
  { "field-end", COPY_NONE, HEAD_FIELD_END, ANSWER_SUCCESS, 10 },
  { "line-end", COPY_NONE, HEAD_LINE_END, ANSWER_SUCCESS, 10 },
  { "body-reset", COPY_NONE, BODY_RESET, ANSWER_SUCCESS, 20 },
  { "refusal", COPY_DUE, HEAD_WHOLE, ANSWER_REFUSAL, 30 },
  { "refusal-no-id", COPY_DUE, HEAD_WHOLE, ANSWER_REFUSAL_NO_ID, 30 },
  { "misdirected", COPY_DUE, HEAD_WHOLE, ANSWER_MISDIRECTED, 5 },
  { "lost", COPY_NONE, ANSWER_LOST, ANSWER_SUCCESS, 5 },
  { "endless-head", COPY_NONE, HEAD_ENDLESS, ANSWER_SUCCESS, 3 },
  { "endless-body", COPY_NONE, BODY_ENDLESS, ANSWER_SUCCESS, 3 },
};

typedef enum
{
  FRAMED_BY_LENGTH,
  FRAMED_BY_CHUNKS,
  FRAMED_BY_CLOSE
} Framing;

static const char *const framing_names[] = { "length", "chunked", "close" };

typedef struct
{
  char bytes[BYTES_MAX];
  size_t size;
} Text;

typedef struct
{
  size_t head_size;
  long due_at_ms;
  Text copy; /* bytes to send when the next request arrives */
  Text due;  /* bytes to send at due_at_ms */
  int fd;
  CopyTime time; /* of copy */
  unsigned id_count;
  bool closes;          /* once due has been sent */
  long endless_till_ms; /* end of an endless answer, or 0 */
  char ids[CLIENT_IDS_MAX][ID_SIZE];
  char head[BYTES_MAX]; /* of the request that is being read */
} Client;

static Client clients[CLIENTS_MAX];
static nfds_t client_count;
static char run_ids[IDS_MAX][ID_SIZE];
static unsigned run_count, requests, repeated_ids;
static const char *instance;
static uint64_t seed; /* 0 for none */
static const char *service;
static struct sockaddr_in own_address, node_address;
static int heartbeat_fd = -1;
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
append (Text *text, const char *bytes, size_t size)
{
  if (size > sizeof text->bytes - text->size)
    size = sizeof text->bytes - text->size;
  memcpy (text->bytes + text->size, bytes, size);
  text->size += size;
}

static bool
send_text (int fd, const char *bytes, size_t size)
{
  return size == 0 || send (fd, bytes, size, MSG_NOSIGNAL) == (ssize_t)size;
}

typedef struct
{
  const char *id;
  unsigned run;
  int status;
  AnswerKind kind;
  Framing framing;
  const char *extra; /* field lines before the others, or NULL */
  unsigned padding;  /* bytes at the end of the body */
  const char *last;  /* field lines behind the others, or NULL */
} Answer;

/* Writes a complete answer. */
static void
format_answer (Text *text, const Answer *answer)
{
  char body[256 + PADDING_MAX];
  char id_line[ID_SIZE + 16] = "";
  char framing_line[64] = "";
  int body_size
      = snprintf (body, sizeof body, "answer of %s to %s, run %u, status %d, padding %u\n",
                  instance, answer->id, answer->run, answer->status, answer->padding);
  int size;

  memset (body + body_size, 'x', answer->padding);
  body_size += (int)answer->padding;
  body[body_size] = '\0';
  if (answer->kind == ANSWER_SUCCESS || answer->kind == ANSWER_REFUSAL)
    snprintf (id_line, sizeof id_line, "Attempt-Id: %s\r\n", answer->id);
  if (answer->framing == FRAMED_BY_LENGTH)
    snprintf (framing_line, sizeof framing_line, "Content-Length: %d\r\n", body_size);
  else if (answer->framing == FRAMED_BY_CHUNKS)
    snprintf (framing_line, sizeof framing_line, "Transfer-Encoding: chunked\r\n");
  size = snprintf (text->bytes, sizeof text->bytes, "HTTP/1.1 %d %s\r\n%s%s", answer->status,
                   answer->status == 200 ? "OK" : "Failed",
                   answer->extra != NULL ? answer->extra : "", id_line);
  text->size = (size_t)size;
  if (answer->kind == ANSWER_SUCCESS)
    size = snprintf (text->bytes + text->size, sizeof text->bytes - text->size,
                     "Response-Seal: %s.%u.%d\r\n%s%s", instance, answer->run, answer->status,
                     framing_line, answer->last != NULL ? answer->last : "");
  else
    size = snprintf (text->bytes + text->size, sizeof text->bytes - text->size, "%s%s",
                     answer->kind == ANSWER_MISDIRECTED ? "" : "Not-Executed: 1\r\n", framing_line);
  text->size += (size_t)size;
  if (answer->framing == FRAMED_BY_CHUNKS)
    size = snprintf (text->bytes + text->size, sizeof text->bytes - text->size,
                     "\r\n%x\r\n%s\r\n0\r\n\r\n", (unsigned)body_size, body);
  else
    size = snprintf (text->bytes + text->size, sizeof text->bytes - text->size, "\r\n%s", body);
  text->size += (size_t)size;
}

/* The size of an answer up to the end of a string in it. */
static size_t
size_up_to (const Text *answer, const char *end)
{
  const char *found = memmem (answer->bytes, answer->size, end, strlen (end));

  return found != NULL ? (size_t)(found - answer->bytes) + strlen (end) : answer->size;
}

/* Sends what a mode with a faulty head makes of an answer. Returns false when the connection ends.
 */
static bool
send_faulty_head (Client *client, HeadFault head, const Answer *what)
{
  static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  static const char *const extra[] = {
    [HEAD_TWO_IDS] = "Attempt-Id: 0123456789abcdef\r\n",
    [HEAD_TWO_SEALS] = "Response-Seal: i-other.1.200\r\n",
    [HEAD_TWO_LENGTHS] = "Content-Length: 7\r\n",
    [ANSWER_LOST] = NULL,
  };
  Answer first = *what;
  Answer second = *what;
  Text answer = { .size = 0 };
  Text other = { .size = 0 };
  size_t size = 0;

  first.status = 200;
  first.extra = extra[head];
  first.last = head == HEAD_TWO_IDS_LAST ? extra[HEAD_TWO_IDS] : NULL;
  second.status = 500;
  format_answer (&answer, &first);
  format_answer (&other, &second);
  switch (head)
    {
    case HEAD_STATUS_CUT:
    case HEAD_STATUS_END:
      size = size_up_to (&answer, " 200 O");
      break;
    case HEAD_FIELD_CUT:
    case HEAD_FIELD_END:
      size = size_up_to (&answer, "Response-Se");
      break;
    case HEAD_LINE_CUT:
    case HEAD_LINE_END:
      size = size_up_to (&answer, ".200\r\n"); /* the end of the seal */
      break;
    case BODY_RESET:
    case BODY_ENDLESS:
      size = size_up_to (&answer, "answer of ");
      client->endless_till_ms = head == BODY_ENDLESS ? now_ms () + ENDLESS_MS : 0;
      break;
    case HEAD_ENDLESS:
      size = size_up_to (&answer, ".200\r\n");
      client->endless_till_ms = now_ms () + ENDLESS_MS;
      break;
    case ANSWER_LOST:
      return true;
    case HEAD_INTERIM:
      {
        static const char interim[]
            = "HTTP/1.1 103 Early Hints\r\nAttempt-Id: 0123456789abcdef\r\nX-Interim: 1\r\n\r\n";

        return send_text (client->fd, interim, strlen (interim))
               && send_text (client->fd, answer.bytes, answer.size);
      }
    default:
      return send_text (client->fd, answer.bytes, answer.size);
    }
  if (!send_text (client->fd, answer.bytes, size))
    return false;
  if (head == BODY_RESET)
    {
      usleep (PAUSE_MS * 1000);
      setsockopt (client->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      return false;
    }
  if (head == HEAD_ENDLESS || head == BODY_ENDLESS)
    return true;
  if (head == HEAD_STATUS_END || head == HEAD_FIELD_END || head == HEAD_LINE_END)
    return false;
  return send_text (client->fd, other.bytes, other.size);
}

/* Copies the value of a field of the request into value. */
static void
read_field (const char *head, const char *name, char *value)
{
  const char *found = strcasestr (head, name);
  size_t size = found != NULL ? strcspn (found + strlen (name), "\r\n") : 0;

  snprintf (value, ID_SIZE, "%.*s", (int)(size < ID_SIZE ? size : ID_SIZE - 1),
            found != NULL ? found + strlen (name) : "");
}

static unsigned
count_run (const char *id)
{
  unsigned run = 1;

  for (unsigned i = 0; i < run_count && i < IDS_MAX; i++)
    run += strcmp (run_ids[i], id) == 0 ? 1 : 0;
  snprintf (run_ids[run_count++ % IDS_MAX], ID_SIZE, "%s", id);
  return run;
}

static void
note_id (Client *client, const char *id)
{
  unsigned count = client->id_count < CLIENT_IDS_MAX ? client->id_count : CLIENT_IDS_MAX;

  for (unsigned i = 0; i < count; i++)
    if (strcmp (client->ids[i], id) == 0)
      {
        repeated_ids++;
        return;
      }
  snprintf (client->ids[client->id_count++ % CLIENT_IDS_MAX], ID_SIZE, "%s", id);
}

/* Sends the rest of an earlier copy before the answer to the next request. Returns whether the
 * answer must wait until the copy was read. */
static bool
send_pending_copy (Client *client)
{
  size_t half = client->copy.size / 2;

  switch (client->time)
    {
    case COPY_DUE:
    case COPY_SPLIT:
      send_text (client->fd, client->copy.bytes, client->copy.size);
      return true;
    case COPY_HALVES:
      send_text (client->fd, client->copy.bytes, half);
      append (&client->due, client->copy.bytes + half, client->copy.size - half);
      return true;
    case COPY_JOINED:
      append (&client->due, client->copy.bytes, client->copy.size);
      return false;
    default:
      return false;
    }
}

/* Sends the answer, and sets the copy that its mode asks for. Returns false when the connection
 * ends. */
static bool
send_answer (Client *client, CopyTime time, const Answer *what)
{
  Answer what_copied = *what;
  Text answer = { .size = 0 };
  Text copy = { .size = 0 };
  size_t half;
  bool has_to_wait;

  what_copied.extra = "X-Copy: 1\r\n";
  format_answer (&answer, what);
  format_answer (&copy, &what_copied);
  half = copy.size / 2;
  client->due.size = 0;
  has_to_wait = send_pending_copy (client);
  client->copy.size = 0;
  client->time = COPY_NONE;
  append (&client->due, answer.bytes, answer.size);
  client->closes = what->framing == FRAMED_BY_CLOSE;
  if (time == COPY_TOGETHER)
    append (&client->due, copy.bytes, copy.size);
  if (time == COPY_SPLIT)
    {
      append (&client->due, copy.bytes, half);
      append (&client->copy, copy.bytes + half, copy.size - half);
      client->time = time;
    }
  if (time == COPY_DUE || time == COPY_JOINED || time == COPY_HALVES)
    {
      client->copy = copy;
      client->time = time;
    }
  if (has_to_wait)
    {
      client->due_at_ms = now_ms () + PAUSE_MS;
      return true;
    }
  if (!send_text (client->fd, client->due.bytes, client->due.size))
    return false;
  client->due.size = 0;
  if (time == COPY_LATE || time == COPY_LATE_END)
    {
      client->due = copy;
      client->due_at_ms
          = now_ms () + (seed != 0 ? 1 + (long)(ph_mix (seed + requests) % 50) : PAUSE_MS);
      client->closes = time == COPY_LATE_END;
      return true;
    }
  return !client->closes;
}

/* Draws the mode of a request to the mode "random". */
static unsigned
draw_mode (uint64_t drawn)
{
  unsigned left = (unsigned)(drawn % 1000);

  for (unsigned i = 0; i < G_N_ELEMENTS (modes); i++)
    {
      if (left < modes[i].share)
        return i;
      left -= modes[i].share;
    }
  return 0;
}

/* What a caller may get of an answer, for the ledger. */
static const char *
ending_of (HeadFault head)
{
  if (head == HEAD_WHOLE || head == HEAD_INTERIM)
    return "whole";
  return head == BODY_RESET || head == BODY_ENDLESS ? "cut" : "none";
}

/* Answers a request in a mode. Returns false when the connection ends. */
static bool
answer_in_mode (Client *client, unsigned mode, const char *id, Framing framing, bool is_random)
{
  Answer answer = { id, 1, 200, modes[mode].kind, framing, NULL, 0, NULL };
  HeadFault head = modes[mode].head;
  uint64_t drawn;

  if (answer.kind != ANSWER_SUCCESS)
    answer.status = answer.kind == ANSWER_MISDIRECTED ? 421 : 503;
  else if ((answer.run = count_run (id)) > 1)
    answer.status = 500;
  if (head == BODY_ENDLESS)
    answer.framing = FRAMED_BY_CLOSE;
  if (head != HEAD_WHOLE)
    answer.status = 200;
  if (is_random && head == HEAD_WHOLE && answer.kind == ANSWER_SUCCESS)
    {
      drawn = ph_mix (seed ^ ph_mix (ph_hash (id) + answer.run));
      answer.status = drawn % 5 == 0 ? 500 : 200;
      answer.padding = drawn / 5 % 4 == 0 ? (unsigned)(drawn / 20 % PADDING_MAX) : 0;
    }
  if (seed != 0)
    printf ("%s %s %u %d %s\n", instance, id, answer.kind == ANSWER_SUCCESS ? answer.run : 0,
            answer.status, ending_of (head));
  if (head != HEAD_WHOLE)
    return send_faulty_head (client, head, &answer)
           && (answer.framing != FRAMED_BY_CLOSE || client->endless_till_ms > 0
               || head == ANSWER_LOST);
  return send_answer (client, is_random || answer.run == 1 ? modes[mode].copy : COPY_NONE, &answer);
}

/* Answers the request in client->head. Returns false when the connection ends. */
static bool
answer_request (Client *client)
{
  char id[ID_SIZE];
  char mode[32] = "";
  char framing_name[32] = "";
  Framing framing = FRAMED_BY_LENGTH;
  char health[256];

  if (strncmp (client->head, "GET /health", strlen ("GET /health")) == 0)
    {
      snprintf (health, sizeof health,
                "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", instance);
      if (client->time == COPY_NONE)
        {
          client->copy.size = 0;
          append (&client->copy, health, strlen (health));
          client->time = COPY_DUE;
        }
      return send_text (client->fd, health, strlen (health));
    }
  read_field (client->head, "\nAttempt-Id: ", id);
  sscanf (client->head, "%*s /%*[^/]/%31[^/]/%31[a-z]", mode, framing_name);
  for (int i = 0; i < 3; i++)
    if (strcmp (framing_names[i], framing_name) == 0)
      framing = (Framing)i;
  requests++;
  note_id (client, id);
  if (strcmp (mode, "random") == 0)
    {
      unsigned drawn = draw_mode (ph_mix (seed + ph_hash (id) + requests));

      /* A copy of an answer that ends with its connection would be a part of its body, and the
       * other one of two lengths the only one. */
      if (modes[drawn].copy != COPY_NONE || modes[drawn].head == HEAD_TWO_LENGTHS)
        framing = FRAMED_BY_LENGTH;
      return answer_in_mode (client, drawn, id, framing, true);
    }
  for (unsigned i = 0; i < G_N_ELEMENTS (modes); i++)
    if (strcmp (modes[i].name, mode) == 0)
      return answer_in_mode (client, i, id, framing, false);
  return false;
}

/* Sends more of an endless answer. Returns false when the connection has ended. */
static bool
send_endless (Client *client)
{
  static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  char line[1024];

  if (now_ms () > client->endless_till_ms)
    {
      setsockopt (client->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      return false;
    }
  memset (line, 'x', sizeof line);
  memcpy (line, "X-Fill: ", strlen ("X-Fill: "));
  memcpy (line + sizeof line - 2, "\r\n", 2);
  return send (client->fd, line, sizeof line, MSG_NOSIGNAL | MSG_DONTWAIT) >= 0 || errno == EAGAIN;
}

/* Sends a heartbeat, without waiting for the answer to it, as the node may be paused. */
static void
send_heartbeat (void)
{
  static long last_ms, born_ms, sequence;
  char body[512];
  char text[1024];
  char host[INET_ADDRSTRLEN];
  int body_size;
  int size;

  if (seed == 0 || now_ms () < last_ms + HEARTBEAT_MS)
    return;
  last_ms = now_ms ();
  if (sequence++ == 0)
    born_ms = time (NULL) * 1000;
  inet_ntop (AF_INET, &own_address.sin_addr, host, sizeof host);
  body_size = snprintf (body, sizeof body,
                        "{\"address\":\"%s:%d\",\"born\":%ld,\"info\":{\"service\":\"%s\","
                        "\"version\":\"v1\",\"zone\":\"z\",\"slots\":30},\"status\":{\"state\":"
                        "\"ready\",\"sequence\":%ld,\"coldLeft\":\"0ms\"}}",
                        host, ntohs (own_address.sin_port), born_ms, service, sequence);
  size = snprintf (text, sizeof text,
                   "PUT /instances/%s HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n"
                   "Connection: close\r\n\r\n%s",
                   instance, body_size, body);
  if (heartbeat_fd >= 0)
    close (heartbeat_fd);
  heartbeat_fd = socket (AF_INET, SOCK_STREAM, 0);
  if (connect (heartbeat_fd, (struct sockaddr *)&node_address, sizeof node_address) == 0)
    send (heartbeat_fd, text, (size_t)size, MSG_NOSIGNAL);
}

/* Sends what is due and reads what has arrived. Returns false when the connection has ended. */
static bool
serve (Client *client)
{
  char byte;
  ssize_t size;

  if (client->endless_till_ms > 0)
    return send_endless (client);
  if (client->due.size > 0)
    {
      if (now_ms () < client->due_at_ms)
        return true;
      if (!send_text (client->fd, client->due.bytes, client->due.size) || client->closes)
        return false;
      client->due.size = 0;
    }
  while ((size = recv (client->fd, &byte, 1, MSG_DONTWAIT)) == 1)
    {
      if (client->head_size + 1 < sizeof client->head)
        client->head[client->head_size++] = byte;
      client->head[client->head_size] = '\0';
      if (client->head_size < 4 || strcmp (client->head + client->head_size - 4, "\r\n\r\n") != 0)
        continue;
      client->head_size = 0;
      if (!answer_request (client))
        return false;
      if (client->due.size > 0)
        return true;
    }
  return size < 0 && errno == EAGAIN;
}

/* Parses HOST:PORT, which is changed. */
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

int
main (int argc, char **argv)
{
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (argc < 3 || !parse_address (argv[1], &own_address))
    return 2;
  instance = argv[2];
  if (argc > 5)
    {
      seed = strtoull (argv[3], NULL, 10) + 1;
      service = argv[4];
      if (!parse_address (argv[5], &node_address))
        return 2;
      setvbuf (stdout, NULL, _IOLBF, 0);
    }
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&own_address, sizeof own_address) != 0 || listen (fd, 64) != 0)
    return 2;
  signal (SIGTERM, on_term);
  while (!is_stopped)
    {
      struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

      poll (&poll_fd, 1, 1);
      send_heartbeat ();
      if ((poll_fd.revents & POLLIN) != 0 && client_count < CLIENTS_MAX)
        clients[client_count++] = (Client){ .fd = accept (fd, NULL, NULL) };
      for (nfds_t i = client_count; i-- > 0;)
        if (!serve (&clients[i]))
          {
            close (clients[i].fd);
            clients[i] = clients[--client_count];
          }
    }
  printf ("{\"requests\":%u,\"repeated_ids\":%u}\n", requests, repeated_ids);
  return 0;
}
