/*
 * Load generator: sends a bounded number of calls, checks every byte of every
 * response against its request, and at the end compares the outcomes with the
 * ledgers of the upstreams, which record what was run. Exit status 0: no call was
 * lost, mixed up with another one, run twice or falsely refused.
 */
#include "standin.h"

#include <math.h>

#define TARGETS_MAX 256
#define COUNTERS_MAX 48
#define LATENCY_BUCKETS (64 * 32) /* log-linear: 32 for each power of two of µs */
#define RESPONSE_GRACE_MS 5000    /* a response later than this after the deadline is lost */

typedef enum
{
  CALL_PENDING,
  CALL_COMPLETE,
  CALL_REFUSED, /* Pollenhitch-Run: no */
  CALL_UNKNOWN, /* Pollenhitch-Run: unknown */
  CALL_FAILED,  /* an error response of the upstream */
  CALL_LOST,    /* neither a complete response nor a refusal */
  CALL_MIXED,   /* status 200 with content that is not that of the request */
  CALL_OUTCOME_COUNT
} Outcome;

static const char *const outcome_names[]
    = { "pending", "whole", "refused", "unknown", "failed", "lost", "mixed" };

/* One row for each call, by number. */
typedef struct
{
  uint64_t hash; /* of the request id, as in the ledgers */
  uint32_t runs;
  uint8_t outcome;
  bool is_repeatable;
} Call;

/* A call in flight. Its row is reused when it ends. */
typedef struct
{
  bool is_active;
  unsigned number;
  CURL *easy;
  struct curl_slist *fields;
  char id[40];
  int64_t latency_from;              /* when the call was started or, with a rate, due */
  uint64_t body_size, expected_size; /* bodies of the request and of the response, bytes */
  uint64_t sent_size, received_size;
  XXH64_state_t *hash; /* of the request's body */
  bool is_sent;
  bool is_repeat; /* an earlier attempt was sent without a response: it may have run */
  bool has_wrong_body;
  bool has_right_echo; /* X-Request-Echo is the request's id */
  bool has_right_hash; /* X-Body-Hash is the hash of the request's body */
  unsigned tries;
  unsigned target; /* index of the entry node */
  char run[16];    /* Pollenhitch-Run, Pollenhitch-Reason and X-Version of the response */
  char reason[48];
  char version[32];
} ActiveCall;

/* Number of calls with one error, reason or version. */
typedef struct
{
  char name[64];
  uint64_t count;
} Counter;

static struct
{
  char *targets_text, *service, *ledger_text, *path, *name;
  char **targets;
  char **ledgers;
  char **services;
  unsigned target_count, service_count;
  int calls, concurrency, seconds, deadline_ms, seed, chain, caller_tries;
  int64_t large_bytes, small_bytes;
  double rate, post_share, large_share;
  Call *calls_by_number;
  ActiveCall *active_calls;
  unsigned in_flight;
  unsigned next_number;
  int64_t started_at;
  int64_t ends_at;
  uint64_t outcomes[CALL_OUTCOME_COUNT];
  uint64_t broken_connections, run_twice, false_refusals, refused_repeats, reconnects, bytes,
      concurrency_full;
  int break_is_unknown, has_exact_large_size;
  uint64_t latency_buckets[LATENCY_BUCKETS];
  Counter counters[COUNTERS_MAX];
  struct ev_loop *loop;
  PhClient client;
  PhTimerFd timer;
} load = { .service = "cascade/booking-desk",
           .path = "/load",
           .calls = 1000,
           .concurrency = 16,
           .seconds = 60,
           .deadline_ms = 2000,
           .post_share = 0.5,
           .small_bytes = 1024,
           .large_bytes = 1 << 20,
           .seed = 1,
           .caller_tries = 3 };

/* Latencies and counters. */

/* Returns the bucket of a latency in µs. */
static unsigned
latency_bucket (uint64_t us)
{
  unsigned power = us < 32 ? 0 : 58 - (unsigned)__builtin_clzll (us);

  return us < 32 ? (unsigned)us : power * 32 + (unsigned)(us >> power);
}

/* Returns the latency in µs that a fraction of the calls does not exceed, to the middle of its
 * bucket. */
static uint64_t
percentile (double fraction)
{
  uint64_t total = 0;
  uint64_t rank;
  unsigned i = 0;

  for (unsigned j = 0; j < LATENCY_BUCKETS; j++)
    total += load.latency_buckets[j];
  rank = (uint64_t)ceil (fraction * (double)total);
  if (total == 0)
    return 0;
  for (total = load.latency_buckets[0]; total < rank; total += load.latency_buckets[i])
    i++;
  if (i < 64)
    return i;
  return (((uint64_t)(i % 32) + 32) << (i / 32 - 1)) + ((uint64_t)1 << (i / 32 - 1)) / 2;
}

/* Increments the counter of an error, reason or version. The last row counts all others. */
static void
count_label (const char *kind, const char *name)
{
  char text[64];
  unsigned i = 0;

  snprintf (text, sizeof text, "%s %s", kind, name);
  while (i < COUNTERS_MAX - 1 && load.counters[i].count > 0
         && strcmp (load.counters[i].name, text) != 0)
    i++;
  g_strlcpy (load.counters[i].name, text, sizeof load.counters[i].name);
  load.counters[i].count++;
}

/* Callbacks of libcurl. Their user data is the row of the active call. */

static uint64_t
request_seed (const ActiveCall *active)
{
  return ~ph_hash (active->id);
}

static size_t
read_request_body (char *out, size_t size, size_t number, void *user)
{
  ActiveCall *active = user;
  size_t part = MIN (size * number, active->body_size - active->sent_size);

  if (active->sent_size == 0)
    XXH64_reset (active->hash, 0);
  ph_body_fill (request_seed (active), active->sent_size, out, part);
  XXH64_update (active->hash, out, part);
  active->sent_size += part;
  return part;
}

static int
rewind_request_body (void *user, curl_off_t offset, int origin)
{
  ActiveCall *active = user;

  if (offset != 0 || origin != SEEK_SET)
    return CURL_SEEKFUNC_FAIL;
  active->sent_size = 0;
  return CURL_SEEKFUNC_OK;
}

static size_t
check_response_body (char *data, size_t size, size_t number, void *user)
{
  ActiveCall *active = user;
  long status = 0;

  size *= number;
  curl_easy_getinfo (active->easy, CURLINFO_RESPONSE_CODE, &status);
  if (status == 200 && !active->has_wrong_body
      && (active->received_size + size > active->expected_size
          || !ph_body_equals (ph_hash (active->id), active->received_size, data, size)))
    active->has_wrong_body = true;
  active->received_size += size;
  load.bytes += size;
  return size;
}

/* Copies the value of a field line to value when the field has this name. */
static bool
parse_field (const char *line, size_t size, const char *name, char *value, size_t value_size)
{
  size_t length = strlen (name);

  if (size <= length || g_ascii_strncasecmp (line, name, length) != 0 || line[length] != ':')
    return false;
  g_strlcpy (value, line + length + 1, MIN (value_size, size - length));
  g_strstrip (value);
  return true;
}

/* Reads one field of the response. */
static size_t
read_response_field (char *line, size_t size, size_t number, void *user)
{
  ActiveCall *active = user;
  char value[64];

  size *= number;
  parse_field (line, size, "Pollenhitch-Run", active->run, sizeof active->run);
  parse_field (line, size, "Pollenhitch-Reason", active->reason, sizeof active->reason);
  parse_field (line, size, "X-Version", active->version, sizeof active->version);
  if (parse_field (line, size, "X-Request-Echo", value, sizeof value))
    active->has_right_echo = strcmp (value, active->id) == 0;
  if (parse_field (line, size, "X-Body-Hash", value, sizeof value))
    active->has_right_hash = strtoull (value, NULL, 16) == (uint64_t)XXH64_digest (active->hash);
  return size;
}

/* libcurl sends a request again by itself when a reused connection closes. That is aborted for a
 * call that is not repeatable, and marks any other call as a repeat. */
static int
prevent_resend (void *user, char *to, char *from, int to_port, int from_port)
{
  ActiveCall *active = user;
  bool is_second = active->is_sent && !load.calls_by_number[active->number].is_repeatable;

  active->is_repeat = active->is_repeat || active->is_sent;
  (void)to;
  (void)from;
  (void)to_port;
  (void)from_port;
  active->is_sent = true;
  return is_second ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/* Calls. */

/* All random properties of a call depend on the seed and the number of the call only. The streams
 * are 0 for the entry node, 1 for the method, 2 and 3 for the size of the request's body, 4 and 5
 * for the size of the response's body, and 6 for the service. */
static uint64_t
draw_random (unsigned number, unsigned stream)
{
  return ph_mix (ph_mix ((uint64_t)load.seed << 32 | number) + stream);
}

/* Uses two streams: stream and stream + 1. */
static uint64_t
draw_body_size (unsigned number, unsigned stream)
{
  bool is_large = ph_to_unit (draw_random (number, stream)) < load.large_share;

  if (is_large && load.has_exact_large_size)
    return (uint64_t)load.large_bytes;
  return draw_random (number, stream + 1)
         % (uint64_t)((is_large ? load.large_bytes : load.small_bytes) + 1);
}

/* Sends an attempt of a call to its current entry node. */
static void
send_call (ActiveCall *active)
{
  CURL *easy = active->easy;
  bool is_repeatable = load.calls_by_number[active->number].is_repeatable;
  char url[256];

  active->sent_size = active->received_size = 0;
  active->is_sent = active->has_wrong_body = active->has_right_echo = active->has_right_hash
      = false;
  active->run[0] = active->reason[0] = active->version[0] = '\0';
  XXH64_reset (active->hash, 0);
  snprintf (url, sizeof url, "http://%s%s/%u", load.targets[active->target], load.path,
            active->number);
  curl_easy_reset (easy);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, active->fields);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, active);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, check_response_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, active);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, read_response_field);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, active);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, prevent_resend);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, active);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)load.deadline_ms + RESPONSE_GRACE_MS);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
  if (!is_repeatable)
    {
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)active->body_size);
      curl_easy_setopt (easy, CURLOPT_READFUNCTION, read_request_body);
      curl_easy_setopt (easy, CURLOPT_READDATA, active);
      curl_easy_setopt (easy, CURLOPT_SEEKFUNCTION, rewind_request_body);
      curl_easy_setopt (easy, CURLOPT_SEEKDATA, active);
    }
  curl_multi_add_handle (load.client.multi, easy);
}

/* Starts the next call in a free row. */
static void
start_call (ActiveCall *active, int64_t latency_from)
{
  unsigned number = load.next_number++;
  Call *call = &load.calls_by_number[number];

  active->is_active = true;
  active->number = number;
  active->latency_from = latency_from;
  active->tries = 0;
  active->is_repeat = false;
  active->target = (unsigned)(draw_random (number, 0) % load.target_count);
  snprintf (active->id, sizeof active->id, "%s%x-%x", load.name, (unsigned)load.seed, number);
  call->hash = ph_hash (active->id);
  call->is_repeatable = ph_to_unit (draw_random (number, 1)) >= load.post_share;
  active->body_size = call->is_repeatable ? 0 : draw_body_size (number, 2);
  active->expected_size = draw_body_size (number, 4);
  PH_APPEND_FIELD (active->fields, "Pollenhitch-Service: %s",
                   load.services[draw_random (number, 6) % load.service_count]);
  PH_APPEND_FIELD (active->fields, "Pollenhitch-Deadline-Ms: %d", load.deadline_ms);
  PH_APPEND_FIELD (active->fields, "X-Request-Id: %s", active->id);
  PH_APPEND_FIELD (active->fields, "X-Want-Bytes: %" PRIu64, active->expected_size);
  PH_APPEND_FIELD (active->fields, "Expect:");
  if (load.chain > 0)
    PH_APPEND_FIELD (active->fields, "X-Chain: %d", load.chain);
  load.in_flight++;
  send_call (active);
}

static Outcome
classify_response (const ActiveCall *active, CURLcode code, long status)
{
  if (code != CURLE_OK)
    {
      count_label ("error", curl_easy_strerror (code));
      load.broken_connections += code != CURLE_OPERATION_TIMEDOUT;
      return load.break_is_unknown && code != CURLE_OPERATION_TIMEDOUT ? CALL_UNKNOWN : CALL_LOST;
    }
  if (status == 200)
    return active->has_right_echo && active->has_right_hash && !active->has_wrong_body
                   && active->received_size == active->expected_size
               ? CALL_COMPLETE
               : CALL_MIXED;
  /* The refusal of a repeat does not cover the earlier attempt, which may have run. */
  if (strcmp (active->run, "no") == 0 && active->is_repeat)
    {
      load.refused_repeats++;
      return CALL_UNKNOWN;
    }
  if (strcmp (active->run, "no") == 0)
    return CALL_REFUSED;
  if (strcmp (active->run, "unknown") == 0)
    return CALL_UNKNOWN;
  return active->has_right_echo ? CALL_FAILED : CALL_LOST;
}

static void start_due_calls (void *user);

static void
on_transfer_done (void *user, CURL *easy, CURLcode code)
{
  ActiveCall *active = NULL;
  Call *call;
  long status = 0;

  (void)user;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &active);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  call = &load.calls_by_number[active->number];
  /* A caller tries the next entry node when nothing was sent to the first one. It also repeats an
   * idempotent call whose connection broke. */
  if (code != CURLE_OK && code != CURLE_OPERATION_TIMEDOUT
      && (!active->is_sent || call->is_repeatable) && ++active->tries < (unsigned)load.caller_tries)
    {
      load.reconnects++;
      active->is_repeat = active->is_repeat || active->is_sent;
      active->target = (active->target + 1) % load.target_count;
      send_call (active);
      return;
    }
  call->outcome = (uint8_t)classify_response (active, code, status);
  load.outcomes[call->outcome]++;
  if (call->outcome == CALL_COMPLETE)
    load.latency_buckets[latency_bucket ((uint64_t)(ph_now () - active->latency_from))]++;
  if (active->reason[0] != '\0')
    count_label ("reason", active->reason);
  if (call->outcome == CALL_COMPLETE || call->outcome == CALL_FAILED)
    count_label ("version", active->version);
  curl_slist_free_all (active->fields);
  active->fields = NULL;
  active->is_active = false;
  load.in_flight--;
  ph_timerfd_set (&load.timer, 0);
}

/* Starts the calls that are due. With a rate, the latency of a call is measured from the time at
 * which it was due, also when it starts late. */
static void
start_due_calls (void *user)
{
  int64_t now = ph_now ();
  int64_t due_at = now;
  bool is_finished = load.next_number == (unsigned)load.calls || now >= load.ends_at;

  (void)user;
  for (int i = 0;
       i < load.concurrency && !is_finished && load.in_flight < (unsigned)load.concurrency; i++)
    {
      if (load.active_calls[i].is_active)
        continue;
      if (load.rate > 0)
        due_at = load.started_at + (int64_t)(load.next_number / load.rate * 1e6);
      if (due_at > now)
        {
          ph_timerfd_set (&load.timer, due_at);
          return;
        }
      start_call (&load.active_calls[i], due_at);
      is_finished = load.next_number == (unsigned)load.calls;
    }
  if (load.rate > 0 && !is_finished && load.in_flight == (unsigned)load.concurrency)
    load.concurrency_full++;
  if (is_finished && load.in_flight == 0)
    ev_break (load.loop, EVBREAK_ALL);
}

/* Ledgers. */

static size_t
collect_text (char *data, size_t size, size_t number, void *user)
{
  g_string_append_len (user, data, (gssize)(size * number));
  return size * number;
}

/* Adds a line of a ledger, "HASH RUNS r" or "HASH RUNS n", to the runs of all upstreams. Counts the
 * call when it is not repeatable ("n") and has run more than once. */
static void
count_ledger_line (GHashTable *runs, const char *line)
{
  char *at;
  uint64_t hash = strtoull (line, &at, 16);
  unsigned run_count = (unsigned)strtoul (at, &at, 10);
  gpointer key = (gpointer)(uintptr_t)hash; /* pointers have 64 bits */
  unsigned previous_runs = GPOINTER_TO_UINT (g_hash_table_lookup (runs, key));

  if (at[1] == 'n' && previous_runs + run_count > 1)
    load.run_twice++;
  g_hash_table_insert (runs, key, GUINT_TO_POINTER (previous_runs + run_count));
}

/* Compares the outcomes with the ledgers. Returns false when a ledger cannot be read or lacks a
 * call that has a response. */
static bool
check_ledgers (void)
{
  GHashTable *runs = g_hash_table_new (NULL, NULL);
  bool is_ok = true;

  for (char **at = load.ledgers; at != NULL && *at != NULL; at++)
    {
      CURL *easy = curl_easy_init ();
      GString *text = g_string_new (NULL);
      char url[128];

      snprintf (url, sizeof url, "http://%s/control/ledger", *at);
      curl_easy_setopt (easy, CURLOPT_URL, url);
      curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 20000L);
      curl_easy_setopt (easy, CURLOPT_FAILONERROR, 1L);
      curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, collect_text);
      curl_easy_setopt (easy, CURLOPT_WRITEDATA, text);
      if (curl_easy_perform (easy) != CURLE_OK)
        {
          fprintf (stderr, "cannot read the ledger of %s\n", *at);
          is_ok = false;
        }
      for (char *line = text->str; strchr (line, '\n') != NULL; line = strchr (line, '\n') + 1)
        count_ledger_line (runs, line);
      g_string_free (text, TRUE);
      curl_easy_cleanup (easy);
    }
  for (unsigned i = 0; i < load.next_number && load.ledgers != NULL; i++)
    {
      unsigned run_count = GPOINTER_TO_UINT (
          g_hash_table_lookup (runs, (gpointer)(uintptr_t)load.calls_by_number[i].hash));

      load.false_refusals += load.calls_by_number[i].outcome == CALL_REFUSED && run_count > 0;
      if (load.calls_by_number[i].outcome == CALL_COMPLETE && run_count == 0)
        is_ok = false; /* a response without a run: a ledger is missing */
    }
  g_hash_table_destroy (runs);
  return is_ok;
}

static void
print_results (double seconds)
{
  printf ("{\"calls\":%u", load.next_number);
  for (int i = CALL_COMPLETE; i < CALL_OUTCOME_COUNT; i++)
    printf (",\"%s\":%" PRIu64, outcome_names[i], load.outcomes[i]);
  printf (",\"cut\":%" PRIu64 ",\"run_twice\":%" PRIu64 ",\"false_refusals\":%" PRIu64
          ",\"refused_repeats\":%" PRIu64 ",\"reconnects\":%" PRIu64 ",\"bytes\":%" PRIu64
          ",\"p50_us\":%" PRIu64 ",\"p99_us\":%" PRIu64 ",\"p999_us\":%" PRIu64
          ",\"seconds\":%.3f,\"rate\":%.0f,\"counts\":{",
          load.broken_connections, load.run_twice, load.false_refusals, load.refused_repeats,
          load.reconnects, load.bytes, percentile (0.5), percentile (0.99), percentile (0.999),
          seconds, load.next_number / seconds);
  for (unsigned i = 0; i < COUNTERS_MAX && load.counters[i].count > 0; i++)
    printf ("%s\"%s\":%" PRIu64, i > 0 ? "," : "", load.counters[i].name, load.counters[i].count);
  printf ("}}\n");
  printf ("%u calls in %.1f s: %" PRIu64 " whole, %" PRIu64 " refused, %" PRIu64
          " unknown, %" PRIu64 " failed, %" PRIu64 " lost, %" PRIu64 " mixed, %" PRIu64
          " run twice, %" PRIu64 " falsely refused; p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms\n",
          load.next_number, seconds, load.outcomes[CALL_COMPLETE], load.outcomes[CALL_REFUSED],
          load.outcomes[CALL_UNKNOWN], load.outcomes[CALL_FAILED], load.outcomes[CALL_LOST],
          load.outcomes[CALL_MIXED], load.run_twice, load.false_refusals,
          (double)percentile (0.5) / 1000, (double)percentile (0.99) / 1000,
          (double)percentile (0.999) / 1000);
}

int
main (int argc, char **argv)
{
  const GOptionEntry flags[] = {
    { "targets", 0, 0, G_OPTION_ARG_STRING, &load.targets_text, "entry nodes", "HOST:PORT,..." },
    /* Upstreams whose ledgers are compared with the outcomes of the calls. */
    { "ledger", 0, 0, G_OPTION_ARG_STRING, &load.ledger_text, "upstreams", "HOST:PORT,..." },
    { "service", 0, 0, G_OPTION_ARG_STRING, &load.service, "services", "TEAM/NAME,..." },
    { "path", 0, 0, G_OPTION_ARG_STRING, &load.path, "prefix of the paths", "PATH" },
    { "name", 0, 0, G_OPTION_ARG_STRING, &load.name, "prefix of the request ids", "TEXT" },
    { "calls", 0, 0, G_OPTION_ARG_INT, &load.calls, "calls in all", "N" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &load.seconds, "starts no call after this", "N" },
    { "concurrency", 0, 0, G_OPTION_ARG_INT, &load.concurrency, "calls in flight at most", "N" },
    { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &load.rate, "calls a second; 0: as they end", "N" },
    { "post-share", 0, 0, G_OPTION_ARG_DOUBLE, &load.post_share, "POST calls", "0..1" },
    { "large-share", 0, 0, G_OPTION_ARG_DOUBLE, &load.large_share, "large bodies", "0..1" },
    { "large-bytes", 0, 0, G_OPTION_ARG_INT64, &load.large_bytes, "largest large body", "N" },
    { "exact", 0, 0, G_OPTION_ARG_NONE, &load.has_exact_large_size,
      "large bodies have exactly this size", NULL },
    { "small-bytes", 0, 0, G_OPTION_ARG_INT64, &load.small_bytes, "largest small body", "N" },
    { "deadline-ms", 0, 0, G_OPTION_ARG_INT, &load.deadline_ms, "deadline of a call", "N" },
    { "chain", 0, 0, G_OPTION_ARG_INT, &load.chain, "nested calls by the upstreams", "N" },
    { "caller-tries", 0, 0, G_OPTION_ARG_INT, &load.caller_tries,
      "entry nodes tried when one cannot be reached", "N" },
    { "cut-is-unknown", 0, 0, G_OPTION_ARG_NONE, &load.break_is_unknown,
      "a broken connection is an unknown outcome, not a lost call", NULL },
    { "seed", 0, 0, G_OPTION_ARG_INT, &load.seed, "seed", "N" },
    { 0 },
  };
  bool is_ok;

  load.name = "";
  load.loop = ph_standin_init (&argc, &argv, "Load generator.", flags);
  if (load.targets_text == NULL || load.calls < 1 || load.concurrency < 1)
    {
      fprintf (stderr, "--targets must be set; --calls and --concurrency must be at least 1\n");
      return 2;
    }
  load.targets = g_strsplit (load.targets_text, ",", TARGETS_MAX);
  load.target_count = g_strv_length (load.targets);
  load.services = g_strsplit (load.service, ",", 0);
  load.service_count = g_strv_length (load.services);
  load.ledgers = load.ledger_text != NULL ? g_strsplit (load.ledger_text, ",", 0) : NULL;
  load.calls_by_number = g_new0 (Call, load.calls);
  load.active_calls = g_new0 (ActiveCall, load.concurrency);
  for (int i = 0; i < load.concurrency; i++)
    {
      load.active_calls[i].easy = curl_easy_init ();
      load.active_calls[i].hash = XXH64_createState ();
    }
  ph_client_init (&load.client, load.loop, load.concurrency + (long)load.target_count,
                  on_transfer_done, NULL);
  ph_timerfd_init (&load.timer, load.loop, start_due_calls, NULL);
  load.started_at = ph_now ();
  load.ends_at = load.started_at + load.seconds * (int64_t)1000000;
  ph_timerfd_set (&load.timer, 0);
  ev_run (load.loop, 0);
  load.ends_at = ph_now ();
  is_ok = check_ledgers ();
  print_results ((double)(load.ends_at - load.started_at) / 1e6);
  return is_ok && load.in_flight == 0
                 && load.outcomes[CALL_LOST] + load.outcomes[CALL_MIXED] + load.run_twice
                            + load.false_refusals
                        == 0
             ? 0
             : 1;
}
