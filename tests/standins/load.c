/*
 * Load driver: sends a bounded number of calls, checks every byte of every
 * answer against its request, and asks the upstreams' ledgers at the end what
 * was run. Exit status 0: nothing lost, mixed, run twice or falsely refused.
 */
#include "standin.h"

#include <math.h>

#define TARGETS_MAX 256
#define COUNTERS_MAX 48
#define BUCKETS (64 * 32) /* log-linear: 32 buckets for each power of two */
#define GRACE_MS 5000     /* an answer later than this after its deadline is lost */

typedef enum
{
  CALL_PENDING,
  CALL_WHOLE,
  CALL_REFUSED, /* with Pollenhitch-Run: no */
  CALL_UNKNOWN, /* with Pollenhitch-Run: unknown */
  CALL_FAILED,  /* an error that the upstream responded with */
  CALL_LOST,    /* neither a whole answer nor a refusal */
  CALL_MIXED,   /* wrong content presented as an answer */
  CALL_OUTCOMES
} Outcome;

static const char *const outcome_names[]
    = { "pending", "whole", "refused", "unknown", "failed", "lost", "mixed" };

typedef struct
{
  uint64_t hash; /* of the request id, as in the ledgers */
  uint32_t runs;
  uint8_t outcome;
  bool is_repeatable;
} Call;

/* A call in flight. */
typedef struct
{
  bool is_used;
  unsigned number;
  CURL *easy;
  struct curl_slist *fields;
  char id[40];
  int64_t started;
  uint64_t body_size, want;
  uint64_t sent_at, received;
  XXH64_state_t *hash;
  bool is_sent;
  bool is_repeat; /* an earlier attempt was sent and had no answer: it may have run */
  bool is_wrong;
  bool is_echoed;
  bool is_hash_right;
  unsigned tries;
  unsigned target;
  char run[16];
  char reason[48];
  char version[32];
} Flight;

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
  Call *table;
  Flight *flights;
  unsigned in_flight;
  unsigned next;
  int64_t started_at;
  int64_t ends_at;
  uint64_t outcomes[CALL_OUTCOMES];
  uint64_t cut, twice, false_refusals, refused_repeats, reconnects, bytes, too_many;
  int cut_is_unknown, is_exact;
  uint64_t buckets[BUCKETS];
  Counter counters[COUNTERS_MAX];
  struct ev_loop *loop;
  PhClient client;
  PhTimerFd alarm;
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

/* Latencies. */

static unsigned
bucket_of (uint64_t us)
{
  unsigned power = us < 32 ? 0 : 58 - (unsigned)__builtin_clzll (us);

  return us < 32 ? (unsigned)us : power * 32 + (unsigned)(us >> power);
}

/* The middle of the bucket that the share falls in. */
static uint64_t
percentile (double share)
{
  uint64_t total = 0;
  uint64_t wanted;
  unsigned i = 0;

  for (unsigned j = 0; j < BUCKETS; j++)
    total += load.buckets[j];
  wanted = (uint64_t)ceil (share * (double)total);
  if (total == 0)
    return 0;
  for (total = load.buckets[0]; total < wanted; total += load.buckets[i])
    i++;
  if (i < 64)
    return i;
  return (((uint64_t)(i % 32) + 32) << (i / 32 - 1)) + ((uint64_t)1 << (i / 32 - 1)) / 2;
}

static void
count (const char *kind, const char *name)
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

/* Callbacks of libcurl: they write into the flight's row. */

static uint64_t
request_seed (const Flight *flight)
{
  return ~ph_hash (flight->id);
}

static size_t
give_body (char *out, size_t size, size_t number, void *user)
{
  Flight *flight = user;
  size_t part = MIN (size * number, flight->body_size - flight->sent_at);

  if (flight->sent_at == 0)
    XXH64_reset (flight->hash, 0);
  ph_body_fill (request_seed (flight), flight->sent_at, out, part);
  XXH64_update (flight->hash, out, part);
  flight->sent_at += part;
  return part;
}

static int
rewind_body (void *user, curl_off_t offset, int origin)
{
  Flight *flight = user;

  if (offset != 0 || origin != SEEK_SET)
    return CURL_SEEKFUNC_FAIL;
  flight->sent_at = 0;
  return CURL_SEEKFUNC_OK;
}

static size_t
take_body (char *data, size_t size, size_t number, void *user)
{
  Flight *flight = user;
  long status = 0;

  size *= number;
  curl_easy_getinfo (flight->easy, CURLINFO_RESPONSE_CODE, &status);
  if (status == 200 && !flight->is_wrong
      && (flight->received + size > flight->want
          || !ph_body_equals (ph_hash (flight->id), flight->received, data, size)))
    flight->is_wrong = true;
  flight->received += size;
  load.bytes += size;
  return size;
}

static bool
read_field (const char *line, size_t size, const char *name, char *value, size_t room)
{
  size_t length = strlen (name);

  if (size <= length || g_ascii_strncasecmp (line, name, length) != 0 || line[length] != ':')
    return false;
  g_strlcpy (value, line + length + 1, MIN (room, size - length));
  g_strstrip (value);
  return true;
}

static size_t
take_field (char *line, size_t size, size_t number, void *user)
{
  Flight *flight = user;
  char value[64];

  size *= number;
  read_field (line, size, "Pollenhitch-Run", flight->run, sizeof flight->run);
  read_field (line, size, "Pollenhitch-Reason", flight->reason, sizeof flight->reason);
  read_field (line, size, "X-Version", flight->version, sizeof flight->version);
  if (read_field (line, size, "X-Request-Echo", value, sizeof value))
    flight->is_echoed = strcmp (value, flight->id) == 0;
  if (read_field (line, size, "X-Body-Hash", value, sizeof value))
    flight->is_hash_right = strtoull (value, NULL, 16) == (uint64_t)XXH64_digest (flight->hash);
  return size;
}

/* A call that may not be repeated must not be sent a second time by libcurl itself. One that may be
 * is a repeat from then on. */
static int
stop_second_send (void *user, char *to, char *from, int to_port, int from_port)
{
  Flight *flight = user;
  bool is_second = flight->is_sent && !load.table[flight->number].is_repeatable;

  flight->is_repeat = flight->is_repeat || flight->is_sent;
  (void)to;
  (void)from;
  (void)to_port;
  (void)from_port;
  flight->is_sent = true;
  return is_second ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/* Calls. */

/* Everything random about a call follows from the seed and its number. */
static uint64_t
draw (unsigned number, unsigned which)
{
  return ph_mix (ph_mix ((uint64_t)load.seed << 32 | number) + which);
}

static uint64_t
draw_size (unsigned number, unsigned which)
{
  bool is_large = ph_fraction (draw (number, which)) < load.large_share;

  if (is_large && load.is_exact)
    return (uint64_t)load.large_bytes;
  return draw (number, which + 1)
         % (uint64_t)((is_large ? load.large_bytes : load.small_bytes) + 1);
}

static void
send_flight (Flight *flight)
{
  CURL *easy = flight->easy;
  bool is_repeatable = load.table[flight->number].is_repeatable;
  char url[256];

  flight->sent_at = flight->received = 0;
  flight->is_sent = flight->is_wrong = flight->is_echoed = flight->is_hash_right = false;
  flight->run[0] = flight->reason[0] = flight->version[0] = '\0';
  XXH64_reset (flight->hash, 0);
  snprintf (url, sizeof url, "http://%s%s/%u", load.targets[flight->target], load.path,
            flight->number);
  curl_easy_reset (easy);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, flight->fields);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, flight);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, take_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, flight);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, take_field);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, flight);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, stop_second_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, flight);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)load.deadline_ms + GRACE_MS);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, 1000L);
  if (!is_repeatable)
    {
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)flight->body_size);
      curl_easy_setopt (easy, CURLOPT_READFUNCTION, give_body);
      curl_easy_setopt (easy, CURLOPT_READDATA, flight);
      curl_easy_setopt (easy, CURLOPT_SEEKFUNCTION, rewind_body);
      curl_easy_setopt (easy, CURLOPT_SEEKDATA, flight);
    }
  curl_multi_add_handle (load.client.multi, easy);
}

static void
start_call (Flight *flight, int64_t at)
{
  unsigned number = load.next++;
  Call *call = &load.table[number];

  flight->is_used = true;
  flight->number = number;
  flight->started = at;
  flight->tries = 0;
  flight->is_repeat = false;
  flight->target = (unsigned)(draw (number, 0) % load.target_count);
  snprintf (flight->id, sizeof flight->id, "%s%x-%x", load.name, (unsigned)load.seed, number);
  call->hash = ph_hash (flight->id);
  call->is_repeatable = ph_fraction (draw (number, 1)) >= load.post_share;
  flight->body_size = call->is_repeatable ? 0 : draw_size (number, 2);
  flight->want = draw_size (number, 4);
  PH_APPEND_FIELD (flight->fields, "Pollenhitch-Service: %s",
                   load.services[draw (number, 6) % load.service_count]);
  PH_APPEND_FIELD (flight->fields, "Pollenhitch-Deadline-Ms: %d", load.deadline_ms);
  PH_APPEND_FIELD (flight->fields, "X-Request-Id: %s", flight->id);
  PH_APPEND_FIELD (flight->fields, "X-Want-Bytes: %" PRIu64, flight->want);
  PH_APPEND_FIELD (flight->fields, "Expect:");
  if (load.chain > 0)
    PH_APPEND_FIELD (flight->fields, "X-Chain: %d", load.chain);
  load.in_flight++;
  send_flight (flight);
}

static Outcome
judge (const Flight *flight, CURLcode code, long status)
{
  if (code != CURLE_OK)
    {
      count ("error", curl_easy_strerror (code));
      load.cut += code != CURLE_OPERATION_TIMEDOUT;
      return load.cut_is_unknown && code != CURLE_OPERATION_TIMEDOUT ? CALL_UNKNOWN : CALL_LOST;
    }
  if (status == 200)
    return flight->is_echoed && flight->is_hash_right && !flight->is_wrong
                   && flight->received == flight->want
               ? CALL_WHOLE
               : CALL_MIXED;
  /* The refusal of a repeat says nothing of the attempt before it. */
  if (strcmp (flight->run, "no") == 0 && flight->is_repeat)
    {
      load.refused_repeats++;
      return CALL_UNKNOWN;
    }
  if (strcmp (flight->run, "no") == 0)
    return CALL_REFUSED;
  if (strcmp (flight->run, "unknown") == 0)
    return CALL_UNKNOWN;
  return flight->is_echoed ? CALL_FAILED : CALL_LOST;
}

static void start_due (void *user);

static void
end_flight (void *user, CURL *easy, CURLcode code)
{
  Flight *flight = NULL;
  Call *call;
  long status = 0;

  (void)user;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &flight);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  call = &load.table[flight->number];
  /* A caller whose entry node cannot be reached takes another one: nothing was sent. It also
   * repeats an idempotent call whose connection broke. */
  if (code != CURLE_OK && code != CURLE_OPERATION_TIMEDOUT
      && (!flight->is_sent || call->is_repeatable) && ++flight->tries < (unsigned)load.caller_tries)
    {
      load.reconnects++;
      flight->is_repeat = flight->is_repeat || flight->is_sent;
      flight->target = (flight->target + 1) % load.target_count;
      send_flight (flight);
      return;
    }
  call->outcome = (uint8_t)judge (flight, code, status);
  load.outcomes[call->outcome]++;
  if (call->outcome == CALL_WHOLE)
    load.buckets[bucket_of ((uint64_t)(ph_now () - flight->started))]++;
  if (flight->reason[0] != '\0')
    count ("reason", flight->reason);
  if (call->outcome == CALL_WHOLE || call->outcome == CALL_FAILED)
    count ("version", flight->version);
  curl_slist_free_all (flight->fields);
  flight->fields = NULL;
  flight->is_used = false;
  load.in_flight--;
  ph_timerfd_set (&load.alarm, 0);
}

/* Starts the calls that are due. With a rate a late call counts from the time it was due. */
static void
start_due (void *user)
{
  int64_t now = ph_now ();
  int64_t due = now;
  bool is_over = load.next == (unsigned)load.calls || now >= load.ends_at;

  (void)user;
  for (int i = 0; i < load.concurrency && !is_over && load.in_flight < (unsigned)load.concurrency;
       i++)
    {
      if (load.flights[i].is_used)
        continue;
      if (load.rate > 0)
        due = load.started_at + (int64_t)(load.next / load.rate * 1e6);
      if (due > now)
        {
          ph_timerfd_set (&load.alarm, due);
          return;
        }
      start_call (&load.flights[i], due);
      is_over = load.next == (unsigned)load.calls;
    }
  if (load.rate > 0 && !is_over && load.in_flight == (unsigned)load.concurrency)
    load.too_many++;
  if (is_over && load.in_flight == 0)
    ev_break (load.loop, EVBREAK_ALL);
}

/* Ledgers. */

static size_t
collect_text (char *data, size_t size, size_t number, void *user)
{
  g_string_append_len (user, data, (gssize)(size * number));
  return size * number;
}

static void
count_runs (GHashTable *runs, const char *line)
{
  char *at;
  uint64_t hash = strtoull (line, &at, 16);
  unsigned ran = (unsigned)strtoul (at, &at, 10);
  gpointer key = (gpointer)(uintptr_t)hash; /* 64-bit pointers */
  unsigned before = GPOINTER_TO_UINT (g_hash_table_lookup (runs, key));

  if (at[1] == 'n' && before + ran > 1)
    load.twice++;
  g_hash_table_insert (runs, key, GUINT_TO_POINTER (before + ran));
}

/* Returns false when a ledger cannot be read. */
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
        count_runs (runs, line);
      g_string_free (text, TRUE);
      curl_easy_cleanup (easy);
    }
  for (unsigned i = 0; i < load.next && load.ledgers != NULL; i++)
    {
      unsigned ran
          = GPOINTER_TO_UINT (g_hash_table_lookup (runs, (gpointer)(uintptr_t)load.table[i].hash));

      load.false_refusals += load.table[i].outcome == CALL_REFUSED && ran > 0;
      if (load.table[i].outcome == CALL_WHOLE && ran == 0)
        is_ok = false; /* an answer without a run: a ledger is missing */
    }
  g_hash_table_destroy (runs);
  return is_ok;
}

static void
print_results (double seconds)
{
  printf ("{\"calls\":%u", load.next);
  for (int i = CALL_WHOLE; i < CALL_OUTCOMES; i++)
    printf (",\"%s\":%" PRIu64, outcome_names[i], load.outcomes[i]);
  printf (",\"cut\":%" PRIu64 ",\"run_twice\":%" PRIu64 ",\"false_refusals\":%" PRIu64
          ",\"refused_repeats\":%" PRIu64 ",\"reconnects\":%" PRIu64 ",\"bytes\":%" PRIu64
          ",\"p50_us\":%" PRIu64 ",\"p99_us\":%" PRIu64 ",\"p999_us\":%" PRIu64
          ",\"seconds\":%.3f,\"rate\":%.0f,\"counts\":{",
          load.cut, load.twice, load.false_refusals, load.refused_repeats, load.reconnects,
          load.bytes, percentile (0.5), percentile (0.99), percentile (0.999), seconds,
          load.next / seconds);
  for (unsigned i = 0; i < COUNTERS_MAX && load.counters[i].count > 0; i++)
    printf ("%s\"%s\":%" PRIu64, i > 0 ? "," : "", load.counters[i].name, load.counters[i].count);
  printf ("}}\n");
  printf ("%u calls in %.1f s: %" PRIu64 " whole, %" PRIu64 " refused, %" PRIu64
          " unknown, %" PRIu64 " failed, %" PRIu64 " lost, %" PRIu64 " mixed, %" PRIu64
          " run twice, %" PRIu64 " falsely refused; p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms\n",
          load.next, seconds, load.outcomes[CALL_WHOLE], load.outcomes[CALL_REFUSED],
          load.outcomes[CALL_UNKNOWN], load.outcomes[CALL_FAILED], load.outcomes[CALL_LOST],
          load.outcomes[CALL_MIXED], load.twice, load.false_refusals,
          (double)percentile (0.5) / 1000, (double)percentile (0.99) / 1000,
          (double)percentile (0.999) / 1000);
}

int
main (int argc, char **argv)
{
  const GOptionEntry flags[] = {
    { "targets", 0, 0, G_OPTION_ARG_STRING, &load.targets_text, "entry nodes", "HOST:PORT,..." },
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
    { "exact", 0, 0, G_OPTION_ARG_NONE, &load.is_exact, "large bodies have exactly this size",
      NULL },
    { "small-bytes", 0, 0, G_OPTION_ARG_INT64, &load.small_bytes, "largest small body", "N" },
    { "deadline-ms", 0, 0, G_OPTION_ARG_INT, &load.deadline_ms, "deadline of a call", "N" },
    { "chain", 0, 0, G_OPTION_ARG_INT, &load.chain, "deeper calls by the upstreams", "N" },
    { "caller-tries", 0, 0, G_OPTION_ARG_INT, &load.caller_tries,
      "entry nodes tried when one cannot be reached", "N" },
    { "cut-is-unknown", 0, 0, G_OPTION_ARG_NONE, &load.cut_is_unknown,
      "a broken connection is an unknown outcome, not a lost call", NULL },
    { "seed", 0, 0, G_OPTION_ARG_INT, &load.seed, "seed", "N" },
    { 0 },
  };
  bool is_ok;

  load.name = "";
  load.loop = ph_standin_init (&argc, &argv, "Load driver.", flags);
  if (load.targets_text == NULL || load.calls < 1 || load.concurrency < 1)
    {
      fprintf (stderr, "--targets, --calls and --concurrency must be set\n");
      return 2;
    }
  load.targets = g_strsplit (load.targets_text, ",", TARGETS_MAX);
  load.target_count = g_strv_length (load.targets);
  load.services = g_strsplit (load.service, ",", 0);
  load.service_count = g_strv_length (load.services);
  load.ledgers = load.ledger_text != NULL ? g_strsplit (load.ledger_text, ",", 0) : NULL;
  load.table = g_new0 (Call, load.calls);
  load.flights = g_new0 (Flight, load.concurrency);
  for (int i = 0; i < load.concurrency; i++)
    {
      load.flights[i].easy = curl_easy_init ();
      load.flights[i].hash = XXH64_createState ();
    }
  ph_client_init (&load.client, load.loop, load.concurrency + (long)load.target_count, end_flight,
                  NULL);
  ph_timerfd_init (&load.alarm, load.loop, start_due, NULL);
  load.started_at = ph_now ();
  load.ends_at = load.started_at + load.seconds * (int64_t)1000000;
  ph_timerfd_set (&load.alarm, 0);
  ev_run (load.loop, 0);
  load.ends_at = ph_now ();
  is_ok = check_ledgers ();
  print_results ((double)(load.ends_at - load.started_at) / 1e6);
  return is_ok && load.in_flight == 0
                 && load.outcomes[CALL_LOST] + load.outcomes[CALL_MIXED] + load.twice
                            + load.false_refusals
                        == 0
             ? 0
             : 1;
}
