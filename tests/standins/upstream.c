/*
 * Stand-in for an upstream: announces itself to the node beside it, runs calls
 * within its slots, proves in each answer which request it belongs to, keeps a
 * ledger of what it ran, and misbehaves as told by PUT /control.
 */
#include "standin.h"

#include <stddef.h>
#include <sys/socket.h>

#define CALLS_MAX 8192
#define LEDGER_MAX (1u << 21) /* power of two */
#define BLOCK 32768
#define CONTROL_CONNECTIONS 16
#define DEEPER_BYTES 256
#define LENGTH_ERROR 100

typedef enum
{
  CALL_FREE,
  CALL_READING,
  CALL_RUNNING,
  CALL_DEEPER,   /* waits for the answer of a deeper call */
  CALL_ANSWERING /* the run is over */
} CallState;

/* How a run ends. */
typedef enum
{
  END_WHOLE,
  END_FAIL,
  END_DEADLINE,
  END_DEEPER_FAILED,
  END_RESET,
  END_CUT,
  END_SHORT,   /* body shorter than Content-Length; the connection stays open */
  END_LONG,    /* body longer than Content-Length */
  END_CROSSED, /* the answer of another call */
  END_CANCELLED
} End;

/* What an answer is made from. */
typedef struct
{
  char id[64];
  char call[64];
  uint64_t want;
} Identity;

typedef struct
{
  CallState state;
  End end;
  struct MHD_Connection *connection;
  Identity identity;
  Identity answer;
  XXH64_state_t *hash;
  int64_t due;
  int64_t deadline;
  bool is_probe;
  bool is_repeatable;
  bool is_suspended;
  ev_io closed; /* the caller's connection, during the run */
  CURL *deeper;
  struct curl_slist *deeper_fields;
  uint64_t deeper_at;
  bool is_deeper_sent;
  bool is_deeper_wrong;
  unsigned control_status;
} Call;

/* One row for each request id: how often it ran. */
typedef struct
{
  uint64_t hash;
  uint32_t runs;
  bool is_repeatable;
} LedgerRow;

/* Switched by PUT /control with numbers or booleans. */
typedef struct
{
  double slow;                      /* factor on the service time */
  double fail_rate, fail_fast_rate; /* 500 after the service time, 500 at once */
  double shed_rate;                 /* 503 with Pollenhitch-Run: no */
  double reset_rate, cut_rate;      /* after the run: no byte, half of the body */
  double short_rate, long_rate, crossed_rate;
  double head_delay_ms;
  double health_lag_ms; /* age of what /health and /load report */
  double health_is;     /* status that /health reports; 0: the truth */
  double load_is;       /* calls that /load reports; -1: the truth */
  double only_over;     /* misbehaves only with more calls than this running */
  double is_draining;
  double is_cold; /* set: becomes cold again, unannounced */
} Behaviour;

#define FIELD(name)                                                                                \
  {                                                                                                \
#name, offsetof(Behaviour, name)                                                               \
  }
static const struct
{
  const char *name;
  size_t offset;
} behaviour_fields[] = {
  FIELD (slow),         FIELD (fail_rate),     FIELD (fail_fast_rate), FIELD (shed_rate),
  FIELD (reset_rate),   FIELD (cut_rate),      FIELD (short_rate),     FIELD (long_rate),
  FIELD (crossed_rate), FIELD (head_delay_ms), FIELD (health_lag_ms),  FIELD (health_is),
  FIELD (load_is),      FIELD (only_over),     FIELD (is_draining),    FIELD (is_cold),
};

static struct
{
  Call calls[CALLS_MAX];
  unsigned call_count; /* rows ever used */
  LedgerRow *ledger;
  Behaviour behaviour;
  char route[64]; /* behaviours apply to paths with this prefix */
  char *address, *admin, *service, *version, *chain;
  int port, slots, connections, latency_us, cold_seconds, jitter, probe_us;
  int64_t cold_from; /* start of the cold state; PH_NEVER when warm */
  bool is_cold_announced;
  int64_t drained_at; /* when draining began */
  unsigned running;
  uint64_t random;
  Identity last;
  unsigned reported_running; /* what /load reports */
  bool reported_ok;
  int64_t reported_at;
  struct
  {
    json_int_t runs, peak, over_capacity, probes, cancelled, shed, expired, failed, drained_runs;
    json_int_t deeper, deeper_failed, deeper_wrong, misbehaved;
  } stats;
  CURL *announcement;
  bool is_announcing;
  char announcement_body[512];
  ev_timer announce_timer;
  struct ev_loop *loop;
  PhServer server;
  PhClient client;
  PhTimerFd alarm;
} up = { .slots = 9,
         .connections = 200,
         .latency_us = 2000,
         .probe_us = 6000,
         .address = "127.0.0.1",
         .service = "cascade/booking-desk",
         .version = "v1",
         .behaviour = { .slow = 1, .load_is = -1 } };

static bool
happens (double rate)
{
  return rate > 0 && ph_fraction (ph_mix (++up.random)) < rate;
}

static LedgerRow *
find_ledger (uint64_t hash)
{
  for (uint64_t i = hash;; i++)
    {
      LedgerRow *row = &up.ledger[i & (LEDGER_MAX - 1)];

      if (row->runs == 0 || row->hash == hash)
        return row;
    }
}

/* Calls that can run at once: while cold it rises from 1 to the slots. */
static unsigned
capacity (void)
{
  int64_t age = ph_now () - up.cold_from;
  int64_t length = up.cold_seconds * (int64_t)1000000;

  if (up.cold_from != PH_NEVER && age < length)
    return 1 + (unsigned)((up.slots - 1) * age / length);
  up.cold_from = PH_NEVER;
  return (unsigned)up.slots;
}

static void
end_run (Call *call)
{
  up.running -= call->state != CALL_ANSWERING;
  call->state = CALL_ANSWERING;
  up.stats.cancelled += call->end == END_CANCELLED;
  up.stats.expired += call->end == END_DEADLINE;
  if (call->deeper != NULL)
    {
      curl_multi_remove_handle (up.client.multi, call->deeper);
      curl_easy_cleanup (call->deeper);
      curl_slist_free_all (call->deeper_fields);
      call->deeper = NULL;
      call->deeper_fields = NULL;
    }
  if (call->is_suspended)
    {
      ev_io_stop (up.loop, &call->closed);
      call->is_suspended = false;
      ph_server_resume (&up.server, call->connection);
    }
}

static size_t
take_deeper (char *data, size_t size, size_t count, void *user)
{
  Call *call = user;
  char id[80];

  snprintf (id, sizeof id, "%s.d", call->identity.id);
  if (!ph_body_equals (ph_hash (id), call->deeper_at, data, size * count))
    call->is_deeper_wrong = true;
  call->deeper_at += size * count;
  return size * count;
}

/* libcurl repeats a request by itself when a reused connection closes; this stops it. */
static int
stop_second_send (void *user, char *to, char *from, int to_port, int from_port)
{
  Call *call = user;
  bool is_second = call->is_deeper_sent;

  (void)to;
  (void)from;
  (void)to_port;
  (void)from_port;
  call->is_deeper_sent = true;
  return is_second ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static void
start_deeper (Call *call, int levels)
{
  const char *depth = ph_server_field (call->connection, "Pollenhitch-Depth");
  const char *rerun = ph_server_field (call->connection, "Pollenhitch-Rerun");
  CURL *easy = call->deeper = curl_easy_init ();

  call->state = CALL_DEEPER;
  call->deeper_at = 0;
  PH_APPEND_FIELD (call->deeper_fields, "Pollenhitch-Service: %s", up.service);
  /* The node has already raised the depth. */
  PH_APPEND_FIELD (call->deeper_fields, "Pollenhitch-Depth: %s", depth != NULL ? depth : "1");
  if (rerun != NULL)
    PH_APPEND_FIELD (call->deeper_fields, "Pollenhitch-Rerun: %s", rerun);
  PH_APPEND_FIELD (call->deeper_fields, "X-Request-Id: %s.d", call->identity.id);
  PH_APPEND_FIELD (call->deeper_fields, "X-Chain: %d", levels - 1);
  PH_APPEND_FIELD (call->deeper_fields, "X-Want-Bytes: %d", DEEPER_BYTES);
  if (call->deadline != PH_NEVER)
    PH_APPEND_FIELD (call->deeper_fields, "Pollenhitch-Deadline-Ms: %" PRId64,
                     MAX (1, (call->deadline - ph_now ()) / 1000));
  curl_easy_setopt (easy, CURLOPT_URL, up.chain);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->deeper_fields);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, take_deeper);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, stop_second_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  if (!call->is_repeatable)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, "");
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, 0L);
    }
  up.stats.deeper++;
  curl_multi_add_handle (up.client.multi, easy);
}

static void
end_transfer (void *user, CURL *easy, CURLcode code)
{
  Call *call = NULL;
  long status = 0;

  (void)user;
  if (easy == up.announcement)
    {
      up.is_announcing = false;
      return;
    }
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &call);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  if (code != CURLE_OK || status != 200)
    {
      call->end = END_DEEPER_FAILED;
      up.stats.deeper_failed++;
    }
  else if (call->is_deeper_wrong || call->deeper_at != DEEPER_BYTES)
    {
      call->end = END_DEEPER_FAILED;
      up.stats.deeper_wrong++;
    }
  end_run (call);
}

/* Ends the runs that are due and sets the alarm for the next one. */
static void
run_due (void *user)
{
  int64_t now = ph_now ();
  int64_t next = PH_NEVER;

  (void)user;
  for (unsigned i = 0; i < up.call_count; i++)
    {
      Call *call = &up.calls[i];
      const char *levels;

      if (call->state == CALL_DEEPER && call->deadline <= now)
        {
          call->end = END_DEADLINE;
          end_run (call);
        }
      if (call->state == CALL_DEEPER)
        next = MIN (next, call->deadline);
      if (call->state != CALL_RUNNING)
        continue;
      if (call->due > now)
        {
          next = MIN (next, call->due);
          continue;
        }
      levels = up.chain != NULL ? ph_server_field (call->connection, "X-Chain") : NULL;
      if (call->end == END_WHOLE && levels != NULL && atoi (levels) > 0)
        {
          start_deeper (call, atoi (levels));
          next = MIN (next, call->deadline);
        }
      else
        end_run (call);
    }
  ph_timerfd_set (&up.alarm, next);
}

/* A caller's bytes or its close during the run: a closed connection is a cancellation. */
static void
notice_close (struct ev_loop *loop, ev_io *io, int events)
{
  Call *call = io->data;
  char byte;
  ssize_t size = recv (io->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  (void)events;
  if (size > 0)
    ev_io_stop (loop, io); /* the next request; it stays readable */
  if (size > 0 || (size < 0 && errno == EAGAIN))
    return;
  call->end = END_CANCELLED;
  end_run (call);
}

static End
choose_end (const char *path)
{
  const Behaviour *b = &up.behaviour;
  const struct
  {
    double rate;
    End end;
  } ends[] = {
    { b->fail_rate, END_FAIL },   { b->reset_rate, END_RESET }, { b->cut_rate, END_CUT },
    { b->short_rate, END_SHORT }, { b->long_rate, END_LONG },   { b->crossed_rate, END_CROSSED },
  };

  if (!g_str_has_prefix (path, up.route) || up.running < b->only_over)
    return END_WHOLE;
  for (size_t i = 0; i < G_N_ELEMENTS (ends); i++)
    if (happens (ends[i].rate))
      {
        up.stats.misbehaved++;
        return ends[i].end;
      }
  return END_WHOLE;
}

static enum MHD_Result
reply_without_run (struct MHD_Connection *connection, unsigned status, const char *run)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (5, "busy\n", MHD_RESPMEM_PERSISTENT);
  enum MHD_Result result;

  if (run != NULL)
    MHD_add_response_header (response, "Pollenhitch-Run", run);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static ssize_t
read_answer (void *user, uint64_t at, char *buffer, size_t size)
{
  Call *call = user;
  uint64_t stop = call->end == END_CUT ? call->answer.want / 2 : call->answer.want;

  if (at >= stop && call->end == END_SHORT)
    {
      /* Sends no more, and keeps the connection open until the caller closes it. */
      call->is_suspended = true;
      MHD_suspend_connection (call->connection);
      ev_io_start (up.loop, &call->closed);
      return 0;
    }
  if (at >= stop)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  size = MIN (size, stop - at);
  ph_body_fill (ph_hash (call->answer.id), at, buffer, size);
  return (ssize_t)size;
}

/* Sends the answer of a run that is over. */
static enum MHD_Result
answer (Call *call)
{
  struct sockaddr nowhere = { .sa_family = AF_UNSPEC };
  unsigned status = call->end == END_FAIL            ? 500
                    : call->end == END_DEADLINE      ? 504
                    : call->end == END_DEEPER_FAILED ? 502
                                                     : 200;
  struct MHD_Response *response;
  enum MHD_Result result;
  char value[32];

  if (call->end == END_CANCELLED)
    return MHD_NO;
  if (call->end == END_RESET)
    {
      (void)connect (call->closed.fd, &nowhere, sizeof nowhere); /* sends a reset */
      return MHD_NO;
    }
  up.stats.failed += status != 200;
  call->answer = call->end == END_CROSSED && up.last.id[0] != '\0' ? up.last : call->identity;
  up.last = call->identity;
  if (call->answer.want <= 1024 && call->end != END_CUT && call->end != END_SHORT)
    {
      char *body = g_malloc (call->answer.want + 1);

      ph_body_fill (ph_hash (call->answer.id), 0, body, call->answer.want);
      response
          = MHD_create_response_from_buffer_with_free_callback (call->answer.want, body, g_free);
    }
  else
    response = MHD_create_response_from_callback (call->answer.want
                                                      + (call->end == END_SHORT ? LENGTH_ERROR : 0),
                                                  BLOCK, read_answer, call, NULL);
  snprintf (value, sizeof value, "%016" PRIx64, (uint64_t)XXH64_digest (call->hash));
  MHD_add_response_header (response, "X-Body-Hash", value);
  MHD_add_response_header (response, "X-Request-Echo", call->answer.id);
  MHD_add_response_header (response, "X-Version", up.version);
  if (call->answer.call[0] != '\0')
    MHD_add_response_header (response, "Pollenhitch-Call", call->answer.call);
  result = MHD_queue_response (call->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

/* Starts the run of a request that has arrived in full. */
static enum MHD_Result
start_run (Call *call, const char *path)
{
  const Behaviour *b = &up.behaviour;
  const char *deadline = ph_server_field (call->connection, "Pollenhitch-Deadline-Ms");
  bool is_misbehaving = g_str_has_prefix (path, up.route) && up.running >= b->only_over;
  int64_t now = ph_now ();
  unsigned most = capacity ();
  double us = call->is_probe ? up.probe_us : up.latency_us;
  const union MHD_ConnectionInfo *info;

  if (!call->is_probe && is_misbehaving && happens (b->shed_rate))
    {
      up.stats.shed++;
      return reply_without_run (call->connection, 503, "no");
    }
  call->end = choose_end (path);
  call->deadline = deadline != NULL ? now + atoll (deadline) * 1000 : PH_NEVER;
  call->state = CALL_RUNNING;
  up.running++;
  up.stats.peak = MAX (up.stats.peak, up.running);
  up.stats.probes += call->is_probe;
  if (!call->is_probe)
    {
      LedgerRow *row = find_ledger (ph_hash (call->identity.id));

      row->hash = ph_hash (call->identity.id);
      row->is_repeatable = call->is_repeatable;
      row->runs++;
      if (++up.stats.runs == LEDGER_MAX / 2)
        exit (3); /* the ledger is full */
      up.stats.drained_runs += up.drained_at != 0 && now - up.drained_at > 2000000;
    }
  /* Over its capacity an upstream slows down; when cold, or far over it, the call fails. */
  if (up.running > most)
    {
      up.stats.over_capacity++;
      us *= (double)up.running / most;
      if (up.cold_from != PH_NEVER || up.running > 2 * most)
        call->end = END_FAIL;
    }
  if (is_misbehaving)
    us = us * b->slow + b->head_delay_ms * 1000;
  us *= 1 + up.jitter / 100.0 * (2 * ph_fraction (ph_mix (++up.random)) - 1);
  call->due = now + (int64_t)us;
  if (is_misbehaving && happens (b->fail_fast_rate))
    {
      up.stats.misbehaved++;
      call->end = END_FAIL;
      call->due = now;
    }
  if (call->due > call->deadline)
    {
      call->due = call->deadline;
      call->end = END_DEADLINE;
    }
  info = MHD_get_connection_info (call->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  ev_io_init (&call->closed, notice_close, info->connect_fd, EV_READ);
  call->closed.data = call;
  if (call->due <= now && up.chain == NULL)
    {
      end_run (call);
      return answer (call);
    }
  ev_io_start (up.loop, &call->closed);
  call->is_suspended = true;
  MHD_suspend_connection (call->connection);
  ph_timerfd_set (&up.alarm, MIN (up.alarm.due_at, call->due));
  return MHD_YES;
}

/* Control and reports. */

static enum MHD_Result
reply_ledger (struct MHD_Connection *connection)
{
  const char *id = ph_server_argument (connection, "id", NULL);
  GString *text;
  enum MHD_Result result;

  if (id != NULL)
    return ph_server_reply_json (
        connection, 200, json_pack ("{s:i}", "runs", (int)find_ledger (ph_hash (id))->runs));
  text = g_string_new (NULL);
  for (unsigned i = 0; i < LEDGER_MAX; i++)
    if (up.ledger[i].runs > 0)
      g_string_append_printf (text, "%016" PRIx64 " %u %c\n", up.ledger[i].hash, up.ledger[i].runs,
                              up.ledger[i].is_repeatable ? 'r' : 'n');
  result = ph_server_reply (connection, 200, text->str);
  g_string_free (text, TRUE);
  return result;
}

static enum MHD_Result
reply_stats (struct MHD_Connection *connection)
{
  return ph_server_reply_json (
      connection, 200,
      json_pack ("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:i}", "runs", up.stats.runs,
                 "peak", up.stats.peak, "over_capacity", up.stats.over_capacity, "probes",
                 up.stats.probes, "cancelled", up.stats.cancelled, "shed", up.stats.shed, "expired",
                 up.stats.expired, "failed", up.stats.failed, "drained_runs", up.stats.drained_runs,
                 "deeper", up.stats.deeper, "deeper_failed", up.stats.deeper_failed, "deeper_wrong",
                 up.stats.deeper_wrong, "misbehaved", up.stats.misbehaved, "running",
                 (int)up.running));
}

/* /health and /load report a state that may be old or false. */
static enum MHD_Result
reply_report (struct MHD_Connection *connection, bool is_health)
{
  const Behaviour *b = &up.behaviour;
  int64_t now = ph_now ();

  up.stats.probes++;
  if (now - up.reported_at >= (int64_t)(b->health_lag_ms * 1000))
    {
      up.reported_at = now;
      up.reported_running = up.running;
      up.reported_ok = up.running <= capacity () && b->is_draining == 0;
    }
  if (is_health)
    return ph_server_reply (connection,
                            b->health_is > 0 ? (unsigned)b->health_is
                            : up.reported_ok ? 200
                                             : 503,
                            "");
  return ph_server_reply_json (
      connection, 200,
      json_pack ("{s:i,s:i}", "in_flight",
                 b->load_is >= 0 ? (int)b->load_is : (int)up.reported_running, "slots", up.slots));
}

static void
announce (struct ev_loop *loop, ev_timer *timer, int events)
{
  const char *state = up.drained_at != 0                                         ? "draining"
                      : up.is_cold_announced && capacity () < (unsigned)up.slots ? "cold"
                                                                                 : "ready";

  (void)loop;
  (void)timer;
  (void)events;
  if (up.announcement == NULL || up.is_announcing)
    return;
  snprintf (up.announcement_body, sizeof up.announcement_body,
            "{\"service\":\"%s\",\"version\":\"%s\",\"port\":%d,\"slots\":%d,\"connections\":%d,"
            "\"state\":\"%s\"}",
            up.service, up.version, up.port, up.slots, up.connections, state);
  curl_easy_setopt (up.announcement, CURLOPT_POSTFIELDS, up.announcement_body);
  curl_multi_add_handle (up.client.multi, up.announcement);
  up.is_announcing = true;
}

/* Returns the status of the response. */
static unsigned
take_control (const char *text, size_t size)
{
  json_t *object = json_loadb (text, size, 0, NULL);
  const char *name;
  json_t *value;
  bool is_ok = json_is_object (object);

  json_object_foreach (object, name, value)
    {
      size_t i = 0;

      if (strcmp (name, "route") == 0 && json_is_string (value))
        {
          g_strlcpy (up.route, json_string_value (value), sizeof up.route);
          continue;
        }
      while (i < G_N_ELEMENTS (behaviour_fields) && strcmp (behaviour_fields[i].name, name) != 0)
        i++;
      if (i == G_N_ELEMENTS (behaviour_fields)
          || !(json_is_number (value) || json_is_boolean (value)))
        {
          is_ok = false;
          break;
        }
      *(double *)((char *)&up.behaviour + behaviour_fields[i].offset)
          = json_is_boolean (value) ? json_is_true (value) : json_number_value (value);
    }
  json_decref (object);
  if (!is_ok)
    return 400;
  up.drained_at = up.behaviour.is_draining == 0 ? 0
                  : up.drained_at != 0          ? up.drained_at
                                                : ph_now ();
  if (up.behaviour.is_cold != 0)
    {
      up.behaviour.is_cold = 0;
      up.is_cold_announced = false;
      up.cold_from = ph_now ();
    }
  announce (up.loop, NULL, 0);
  return 200;
}

static Call *
add_call (struct MHD_Connection *connection, const char *method)
{
  const char *id = ph_server_field (connection, "X-Request-Id");
  const char *trace = ph_server_field (connection, "Pollenhitch-Call");
  const char *want = ph_server_field (connection, "X-Want-Bytes");
  const char *repeatable = ph_server_field (connection, "Pollenhitch-Repeatable");
  unsigned i = 0;
  Call *call;

  while (i < up.call_count && up.calls[i].state != CALL_FREE)
    i++;
  if (i == CALLS_MAX)
    return NULL;
  up.call_count = MAX (up.call_count, i + 1);
  call = &up.calls[i];
  *call = (Call){ .state = CALL_READING, .connection = connection, .hash = XXH64_createState () };
  XXH64_reset (call->hash, 0);
  g_strlcpy (call->identity.id, id != NULL ? id : "", sizeof call->identity.id);
  g_strlcpy (call->identity.call, trace != NULL ? trace : "", sizeof call->identity.call);
  call->identity.want = want != NULL ? strtoull (want, NULL, 10) : 0;
  call->is_probe = ph_server_field (connection, "Pollenhitch-Probe") != NULL;
  call->is_repeatable
      = repeatable != NULL ? strcmp (repeatable, "true") == 0 : strcmp (method, "GET") == 0;
  return call;
}

static enum MHD_Result
handle (void *user,
        struct MHD_Connection *connection,
        const char *url,
        const char *method,
        const char *version,
        const char *data,
        size_t *size,
        void **state)
{
  Call *call = *state;

  (void)user;
  (void)version;
  if (call == NULL)
    {
      *state = add_call (connection, method);
      return *state != NULL ? MHD_YES : MHD_NO;
    }
  if (*size > 0)
    {
      if (strcmp (url, "/control") == 0)
        call->control_status = take_control (data, *size);
      XXH64_update (call->hash, data, *size);
      *size = 0;
      return MHD_YES;
    }
  if (call->state == CALL_ANSWERING)
    return answer (call);
  if (strcmp (url, "/control") == 0)
    return ph_server_reply (connection, call->control_status, "");
  if (strcmp (url, "/control/ledger") == 0)
    return reply_ledger (connection);
  if (strcmp (url, "/control/stats") == 0)
    return reply_stats (connection);
  if (strcmp (url, "/health") == 0 || strcmp (url, "/load") == 0)
    return reply_report (connection, url[1] == 'h');
  return start_run (call, url);
}

static void
completed (void *user,
           struct MHD_Connection *connection,
           void **state,
           enum MHD_RequestTerminationCode code)
{
  Call *call = *state;

  (void)user;
  (void)connection;
  if (call == NULL)
    return;
  if (call->state == CALL_ANSWERING && call->end == END_WHOLE
      && code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
    up.stats.cancelled++;
  if (call->end == END_LONG && code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
    (void)send (call->closed.fd, (char[LENGTH_ERROR]){ 0 }, LENGTH_ERROR,
                MSG_DONTWAIT | MSG_NOSIGNAL);
  XXH64_freeState (call->hash);
  call->state = CALL_FREE;
}

static void
init_announcement (void)
{
  char url[128];

  ph_client_init (&up.client, up.loop, up.connections, end_transfer, NULL);
  if (up.admin == NULL)
    return;
  snprintf (url, sizeof url, "http://%s/v1/upstream", up.admin);
  up.announcement = curl_easy_init ();
  curl_easy_setopt (up.announcement, CURLOPT_URL, url);
  curl_easy_setopt (up.announcement, CURLOPT_CUSTOMREQUEST, "PUT");
  curl_easy_setopt (up.announcement, CURLOPT_TIMEOUT_MS, 900L);
  curl_easy_setopt (up.announcement, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (up.announcement, CURLOPT_WRITEFUNCTION, ph_client_discard);
  ev_timer_init (&up.announce_timer, announce, 0, 1);
  ev_timer_start (up.loop, &up.announce_timer);
}

int
main (int argc, char **argv)
{
  const GOptionEntry flags[] = {
    { "address", 0, 0, G_OPTION_ARG_STRING, &up.address, "address to listen on", "IP" },
    { "port", 0, 0, G_OPTION_ARG_INT, &up.port, "port to listen on", "N" },
    { "admin", 0, 0, G_OPTION_ARG_STRING, &up.admin, "its node's admin port", "HOST:PORT" },
    { "service", 0, 0, G_OPTION_ARG_STRING, &up.service, "service", "TEAM/NAME" },
    { "version", 0, 0, G_OPTION_ARG_STRING, &up.version, "version", "NAME" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &up.slots, "calls that run at once", "N" },
    { "connections", 0, 0, G_OPTION_ARG_INT, &up.connections, "connections", "N" },
    { "latency-us", 0, 0, G_OPTION_ARG_INT, &up.latency_us, "service time", "N" },
    { "probe-us", 0, 0, G_OPTION_ARG_INT, &up.probe_us, "service time of a probe", "N" },
    { "jitter", 0, 0, G_OPTION_ARG_INT, &up.jitter, "spread of the service time", "PERCENT" },
    { "cold-seconds", 0, 0, G_OPTION_ARG_INT, &up.cold_seconds, "length of a cold start", "N" },
    { "chain", 0, 0, G_OPTION_ARG_STRING, &up.chain, "node that takes the deeper calls", "URL" },
    { 0 },
  };

  up.loop = ph_standin_init (&argc, &argv, "Stand-in for an upstream.", flags);
  up.ledger = g_new0 (LedgerRow, LEDGER_MAX);
  up.random = (uint64_t)up.port;
  up.cold_from = up.cold_seconds > 0 ? ph_now () : PH_NEVER;
  up.is_cold_announced = up.cold_seconds > 0;
  ph_timerfd_init (&up.alarm, up.loop, run_due, NULL);
  ph_server_start (&up.server, up.loop, up.address, up.port,
                   (unsigned)up.connections + CONTROL_CONNECTIONS, handle, completed);
  init_announcement ();
  ev_run (up.loop, 0);
  return 0;
}
