/*
 * Stand-in for the object platform: its store and its upstreams, in one process.
 *
 * The store holds objects by kind and name in memory. Failures are switched on
 * and off by PUT /control on the store's port, and GET /control/stats tells what
 * the upstreams saw.
 */
#include "standin.h"

#define OBJECTS_MAX 256
#define EVENTS_MAX 4096
#define REQUESTS_MAX 1024
#define UPSTREAMS_MAX 16
#define RUNS_MAX 65536
#define HEARTBEAT_US 300000
#define ID_MAX 40

typedef struct
{
  char *kind;
  char *name;
  int64_t revision;
  int64_t created;
  json_t *spec;
  json_t *status;
} Object;

typedef struct
{
  int64_t revision;
  bool is_deleted;
  char *kind;
  json_t *object;
} Event;

typedef struct Upstream Upstream;

typedef struct
{
  bool is_used;
  struct MHD_Connection *connection;
  Upstream *upstream; /* NULL for a request to the store */
  GString *body;
  bool is_suspended;
  int64_t due; /* end of a wait or of the work */
  bool was_due;
  bool is_run;
} Request;

struct Upstream
{
  PhServer server;
  char address[64];
  int port;
  char service[64];
  char node[64]; /* where heartbeats go */
  char id[ID_MAX];
  char version[16];
  int64_t born_ms;
  int sequence;
  bool is_draining;
  bool is_silent; /* sends no heartbeats */
  int fail_percent;
  int lose_next; /* requests that are run and get no answer */
  int running;
};

static struct
{
  Object objects[OBJECTS_MAX];
  unsigned object_count;
  Event events[EVENTS_MAX];
  unsigned event_count;
  int64_t revision;
  int64_t oldest;
  Request requests[REQUESTS_MAX];
  Upstream upstreams[UPSTREAMS_MAX];
  unsigned upstream_count;
  char runs[RUNS_MAX][ID_MAX];
  unsigned run_count;
  unsigned twice;
  unsigned misdirected;
  unsigned calls;     /* to the store */
  unsigned reports;   /* writes of a status that took effect */
  unsigned expecting; /* calls that wait for a 100 response, which the platform does not send */
  bool is_down;
  int lose_next;    /* writes that are done and not answered */
  char refused[64]; /* address that is turned away */
  int port;
  char *address;
  char **upstream_flags;
  int work_ms;
  struct ev_loop *loop;
  PhServer server;
  PhTimerFd alarm;
  PhClient client;
  ev_timer heartbeats;
} p;

/* Requests. */

static void
run_due (void *user)
{
  int64_t now = ph_now ();
  int64_t next = PH_NEVER;

  (void)user;
  for (unsigned i = 0; i < REQUESTS_MAX; i++)
    {
      Request *r = &p.requests[i];

      if (!r->is_used || !r->is_suspended)
        continue;
      if (r->due > now)
        {
          next = MIN (next, r->due);
          continue;
        }
      r->is_suspended = false;
      r->was_due = true;
      ph_server_resume (r->upstream != NULL ? &r->upstream->server : &p.server, r->connection);
    }
  ph_timerfd_set (&p.alarm, next);
}

static enum MHD_Result
suspend (Request *r, int64_t due)
{
  r->is_suspended = true;
  r->due = due;
  MHD_suspend_connection (r->connection);
  ph_timerfd_set (&p.alarm, MIN (p.alarm.due_at, due));
  return MHD_YES;
}

static void
wake_watches (void)
{
  for (unsigned i = 0; i < REQUESTS_MAX; i++)
    if (p.requests[i].is_used && p.requests[i].is_suspended && p.requests[i].upstream == NULL)
      p.requests[i].due = 0;
  ph_timerfd_set (&p.alarm, 0);
}

/* The store. */

static json_t *
encode_object (const Object *o)
{
  return json_pack ("{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:O}", "metadata", "name", o->name,
                    "revision", (json_int_t)o->revision, "created", (json_int_t)o->created,
                    "finalizers", "deletionRequested", 0, "spec", o->spec, "status", o->status);
}

static Object *
find_object (const char *kind, const char *name)
{
  for (unsigned i = 0; i < p.object_count; i++)
    if (p.objects[i].name != NULL && g_strcmp0 (p.objects[i].kind, kind) == 0
        && g_strcmp0 (p.objects[i].name, name) == 0)
      return &p.objects[i];
  return NULL;
}

static void
note_event (Object *o, bool is_deleted)
{
  Event *event = &p.events[p.event_count++ % EVENTS_MAX];

  o->revision = ++p.revision;
  g_free (event->kind);
  json_decref (event->object);
  *event = (Event){ p.revision, is_deleted, g_strdup (o->kind), encode_object (o) };
  if (p.event_count > EVENTS_MAX)
    p.oldest = p.events[p.event_count % EVENTS_MAX].revision;
  wake_watches ();
}

static enum MHD_Result
reply_object (Request *r, unsigned status, const Object *o)
{
  return ph_server_reply_json (r->connection, status, encode_object (o));
}

static enum MHD_Result
reply_list (Request *r, const char *kind)
{
  json_t *items = json_array ();

  for (unsigned i = 0; i < p.object_count; i++)
    if (p.objects[i].name != NULL && g_strcmp0 (p.objects[i].kind, kind) == 0)
      json_array_append_new (items, encode_object (&p.objects[i]));
  return ph_server_reply_json (r->connection, 200,
                               json_pack ("{s:o, s:b, s:I}", "items", items, "morePages", 0,
                                          "currentRev", (json_int_t)p.revision));
}

static enum MHD_Result
reply_watch (Request *r, const char *kind, int64_t after, int64_t wait_ms)
{
  json_t *events = json_array ();

  if (after < p.oldest)
    {
      json_decref (events);
      return ph_server_reply (r->connection, 410, "{}");
    }
  for (unsigned i = p.event_count > EVENTS_MAX ? p.event_count - EVENTS_MAX : 0; i < p.event_count;
       i++)
    {
      const Event *e = &p.events[i % EVENTS_MAX];

      if (e->revision > after && g_strcmp0 (e->kind, kind) == 0)
        json_array_append_new (
            events, json_pack ("{s:b, s:O}", "deleted", e->is_deleted, "object", e->object));
    }
  if (json_array_size (events) == 0 && !r->was_due)
    {
      json_decref (events);
      return suspend (r, ph_now () + wait_ms * 1000);
    }
  return ph_server_reply_json (
      r->connection, 200,
      json_pack ("{s:o, s:I}", "events", events, "currentRev", (json_int_t)p.revision));
}

static enum MHD_Result
write_object (Request *r, const char *kind, const char *name, bool is_status, bool is_new)
{
  json_t *body = json_loadb (r->body->str, r->body->len, 0, NULL);
  json_t *metadata = json_object_get (body, "metadata");
  json_int_t revision = json_integer_value (json_object_get (metadata, "revision"));
  Object *o;

  if (is_new)
    name = json_string_value (json_object_get (metadata, "name"));
  if (name == NULL)
    {
      json_decref (body);
      return ph_server_reply (r->connection, 400, "{}");
    }
  o = find_object (kind, name);
  if ((is_new && o != NULL) || (o != NULL && revision != 0 && revision != o->revision))
    {
      json_decref (body);
      return reply_object (r, 409, o);
    }
  if (!is_new && o == NULL)
    {
      json_decref (body);
      return ph_server_reply (r->connection, 404, "{}");
    }
  if (o == NULL)
    {
      o = &p.objects[p.object_count++ % OBJECTS_MAX];
      *o
          = (Object){ g_strdup (kind), g_strdup (name), 0,
                      p.revision + 1,  json_null (),    json_null () };
    }
  if (is_status)
    json_object_set (body, "spec", o->spec);
  else
    json_object_set (body, "status", o->status);
  o->spec = json_incref (json_object_get (body, "spec"));
  o->status = json_incref (json_object_get (body, "status"));
  json_decref (body);
  p.reports += is_status;
  note_event (o, false);
  if (p.lose_next > 0)
    {
      p.lose_next--;
      return MHD_NO;
    }
  return reply_object (r, 200, o);
}

static enum MHD_Result
delete_object (Request *r, const char *kind, const char *name)
{
  Object *o = find_object (kind, name);

  if (o == NULL)
    return ph_server_reply (r->connection, 404, "{}");
  note_event (o, true);
  o->name = NULL;
  return ph_server_reply (r->connection, 200, "{}");
}

static bool
is_turned_away (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  char text[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &((const struct sockaddr_in *)info->client_addr)->sin_addr, text,
             sizeof text);
  return strcmp (text, p.refused) == 0;
}

static enum MHD_Result
serve_objects (Request *r, const char *method, const char *url)
{
  char **parts = g_strsplit (url + strlen ("/objects/"), "/", 3);
  const char *kind = parts[0];
  const char *name = kind != NULL ? parts[1] : NULL;
  bool is_status = name != NULL && parts[2] != NULL && strcmp (parts[2], "status") == 0;
  const char *watch = ph_server_argument (r->connection, "watch", NULL);
  const char *wait = ph_server_argument (r->connection, "waitMs", "0");
  bool needs_name = strcmp (method, "GET") != 0 && strcmp (method, "POST") != 0;
  enum MHD_Result result;
  Object *o;

  if (kind == NULL || (needs_name && name == NULL))
    result = ph_server_reply (r->connection, 404, "{}");
  else if (p.is_down || is_turned_away (r->connection))
    result = ph_server_reply (r->connection, 503, "{}");
  else if (strcmp (method, "GET") == 0 && name == NULL)
    result = watch != NULL
                 ? reply_watch (r, kind, strtoll (watch, NULL, 10), strtoll (wait, NULL, 10))
                 : reply_list (r, kind);
  else if (strcmp (method, "GET") == 0)
    result = (o = find_object (kind, name)) != NULL ? reply_object (r, 200, o)
                                                    : ph_server_reply (r->connection, 404, "{}");
  else if (strcmp (method, "DELETE") == 0)
    result = delete_object (r, kind, name);
  else
    result = write_object (r, kind, name, is_status, strcmp (method, "POST") == 0);
  g_strfreev (parts);
  return result;
}

/* Failures and figures. */

static Upstream *
find_upstream (const char *address)
{
  for (unsigned i = 0; address != NULL && i < p.upstream_count; i++)
    if (strcmp (p.upstreams[i].address, address) == 0)
      return &p.upstreams[i];
  return NULL;
}

static void begin_start (Upstream *u);

static enum MHD_Result
control (Request *r)
{
  json_t *body = json_loadb (r->body->str, r->body->len, 0, NULL);
  Upstream *u = find_upstream (json_string_value (json_object_get (body, "upstream")));
  const char *refused = json_string_value (json_object_get (body, "refuse"));
  const char *version = json_string_value (json_object_get (body, "version"));

  if (json_object_get (body, "down") != NULL)
    p.is_down = json_is_true (json_object_get (body, "down"));
  if (json_object_get (body, "lose") != NULL)
    p.lose_next = (int)json_integer_value (json_object_get (body, "lose"));
  if (json_is_true (json_object_get (body, "forget")))
    p.oldest = p.revision;
  if (refused != NULL)
    snprintf (p.refused, sizeof p.refused, "%s", refused);
  if (u != NULL && json_is_true (json_object_get (body, "drain")))
    u->is_draining = true;
  if (u != NULL && json_object_get (body, "silent") != NULL)
    u->is_silent = json_is_true (json_object_get (body, "silent"));
  if (u != NULL && version != NULL)
    snprintf (u->version, sizeof u->version, "%s", version);
  if (u != NULL && json_is_true (json_object_get (body, "restart")))
    begin_start (u);
  if (u != NULL && json_object_get (body, "fail") != NULL)
    u->fail_percent = (int)json_integer_value (json_object_get (body, "fail"));
  if (u != NULL && json_object_get (body, "lose_answers") != NULL)
    u->lose_next = (int)json_integer_value (json_object_get (body, "lose_answers"));
  json_decref (body);
  return ph_server_reply (r->connection, 200, "{}");
}

static enum MHD_Result
reply_stats (Request *r)
{
  return ph_server_reply_json (r->connection, 200,
                               json_pack ("{s:i, s:i, s:i, s:i, s:i, s:i, s:I}", "runs",
                                          (int)p.run_count, "twice", (int)p.twice, "misdirected",
                                          (int)p.misdirected, "calls", (int)p.calls, "reports",
                                          (int)p.reports, "expecting", (int)p.expecting, "revision",
                                          (json_int_t)p.revision));
}

/* Upstreams. */

static void
begin_start (Upstream *u)
{
  static unsigned starts;
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  snprintf (u->id, sizeof u->id, "i-%08x", (unsigned)ph_mix ((uint64_t)now.tv_nsec + starts++));
  u->born_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
  u->sequence = 0;
  u->is_draining = false;
}

static void
note_run (const char *id)
{
  for (unsigned i = 0; i < p.run_count; i++)
    if (strcmp (p.runs[i], id) == 0)
      {
        p.twice++;
        break;
      }
  if (p.run_count < RUNS_MAX)
    snprintf (p.runs[p.run_count++], ID_MAX, "%s", id);
}

static enum MHD_Result
reply_upstream (Request *r, unsigned status, const char *body, bool is_run)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (body), (void *)body, MHD_RESPMEM_MUST_COPY);
  const char *id = ph_server_field (r->connection, "Attempt-Id");
  const char *deadline = ph_server_field (r->connection, "Deadline-Ms");
  char load[64];
  enum MHD_Result result;

  snprintf (load, sizeof load, "%d,0,9,100", r->upstream->running);
  MHD_add_response_header (response, "Server-Load", load);
  MHD_add_response_header (response, "Instance-Id", r->upstream->id);
  if (id != NULL)
    MHD_add_response_header (response, "Attempt-Id", id);
  if (deadline != NULL)
    MHD_add_response_header (response, "Seen-Deadline-Ms", deadline);
  if (is_run)
    MHD_add_response_header (response, "Response-Seal", r->upstream->id);
  else if (status == 503)
    MHD_add_response_header (response, "Not-Executed", "1");
  result = MHD_queue_response (r->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
count_caller (void *user, enum MHD_ValueKind kind, const char *name, const char *value)
{
  (void)kind;
  (void)value;
  *(unsigned *)user += g_ascii_strcasecmp (name, "Caller-Service") == 0;
  return MHD_YES;
}

static enum MHD_Result
serve_upstream (Request *r, const char *url)
{
  Upstream *u = r->upstream;
  const char *id = ph_server_field (r->connection, "Attempt-Id");
  const char *target = ph_server_field (r->connection, "Target-Instance");
  const char *caller = ph_server_field (r->connection, "Caller-Service");
  const char *deadline = ph_server_field (r->connection, "Deadline-Ms");
  unsigned callers = 0;
  char body[256];

  if (strcmp (url, "/health") == 0)
    return reply_upstream (r, u->is_draining ? 503 : 200, "", false);
  if (target != NULL && strcmp (target, u->id) != 0)
    {
      p.misdirected++;
      return reply_upstream (r, 421, "", false);
    }
  MHD_get_connection_values (r->connection, MHD_HEADER_KIND, count_caller, &callers);
  if (id == NULL || callers != 1 || deadline == NULL)
    return reply_upstream (r, 400, "", false);
  if (!r->is_run)
    {
      r->is_run = true;
      u->running++;
      note_run (id);
      return suspend (r, ph_now () + (int64_t)p.work_ms * 1000);
    }
  u->running--;
  if (u->lose_next > 0)
    {
      u->lose_next--;
      return MHD_NO;
    }
  snprintf (body, sizeof body, "%s %s %s", u->service, u->version, caller);
  return reply_upstream (r, (int)(ph_mix (ph_hash (id)) % 100) < u->fail_percent ? 500 : 200, body,
                         true);
}

static void
send_heartbeat (Upstream *u)
{
  json_t *beat = json_pack ("{s:s, s:I, s:{s:s, s:s, s:s, s:i}, s:{s:s, s:i, s:s}}", "address", "",
                            "born", (json_int_t)u->born_ms, "info", "service", u->service,
                            "version", u->version, "zone", "z", "slots", 9, "status", "state",
                            u->is_draining ? "draining" : "ready", "sequence", ++u->sequence,
                            "coldLeft", "0ms");
  char address[96];
  char url[192];
  char *text;
  CURL *easy = curl_easy_init ();

  snprintf (address, sizeof address, "%s:%d", u->address, u->port);
  json_object_set_new (beat, "address", json_string (address));
  text = json_dumps (beat, JSON_COMPACT);
  json_decref (beat);
  snprintf (url, sizeof url, "http://%s/instances/%s", u->node, u->id);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, "PUT");
  curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, text);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 1000L);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, ph_client_discard);
  free (text);
  curl_multi_add_handle (p.client.multi, easy);
}

static void
on_heartbeats (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)timer;
  (void)events;
  for (unsigned i = 0; i < p.upstream_count; i++)
    if (!p.upstreams[i].is_silent)
      send_heartbeat (&p.upstreams[i]);
}

static void
on_heartbeat_done (void *user, CURL *easy, CURLcode code)
{
  (void)user;
  (void)code;
  curl_easy_cleanup (easy);
}

/* The server of both. */

static Request *
begin_request (struct MHD_Connection *connection)
{
  struct MHD_Daemon *daemon
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_DAEMON)->daemon;

  for (unsigned i = 0; i < REQUESTS_MAX; i++)
    {
      Request *r = &p.requests[i];

      if (r->is_used)
        continue;
      *r = (Request){ .is_used = true, .connection = connection, .body = g_string_new (NULL) };
      for (unsigned j = 0; j < p.upstream_count; j++)
        if (p.upstreams[j].server.daemon == daemon)
          r->upstream = &p.upstreams[j];
      return r;
    }
  return NULL;
}

static enum MHD_Result
handle (void *user,
        struct MHD_Connection *connection,
        const char *url,
        const char *method,
        const char *version,
        const char *upload,
        size_t *upload_size,
        void **state)
{
  Request *r = *state;

  (void)user;
  (void)version;
  if (r == NULL)
    {
      *state = begin_request (connection);
      return *state != NULL ? MHD_YES : MHD_NO;
    }
  if (*upload_size > 0)
    {
      g_string_append_len (r->body, upload, (gssize)*upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (r->upstream != NULL)
    return serve_upstream (r, url);
  if (strcmp (url, "/control") == 0)
    return control (r);
  if (strcmp (url, "/control/stats") == 0)
    return reply_stats (r);
  p.calls++;
  p.expecting += ph_server_field (connection, "Expect") != NULL;
  return strncmp (url, "/objects/", strlen ("/objects/")) == 0
             ? serve_objects (r, method, url)
             : ph_server_reply (connection, 404, "{}");
}

static void
completed (void *user,
           struct MHD_Connection *connection,
           void **state,
           enum MHD_RequestTerminationCode code)
{
  Request *r = *state;

  (void)user;
  (void)connection;
  (void)code;
  if (r == NULL)
    return;
  g_string_free (r->body, TRUE);
  r->is_used = false;
}

/* An upstream's flag: ADDRESS,PORT,SERVICE,VERSION,NODE'S ADDRESS FOR HEARTBEATS. */
static void
add_upstream (const char *flag)
{
  Upstream *u = &p.upstreams[p.upstream_count++];
  char **parts = g_strsplit (flag, ",", 5);

  if (g_strv_length (parts) != 5 || p.upstream_count > UPSTREAMS_MAX)
    {
      fprintf (stderr, "--upstream %s: not ADDRESS,PORT,SERVICE,VERSION,NODE\n", flag);
      exit (2);
    }
  snprintf (u->address, sizeof u->address, "%s", parts[0]);
  u->port = atoi (parts[1]);
  snprintf (u->service, sizeof u->service, "%s", parts[2]);
  snprintf (u->version, sizeof u->version, "%s", parts[3]);
  snprintf (u->node, sizeof u->node, "%s", parts[4]);
  g_strfreev (parts);
  begin_start (u);
  ph_server_start (&u->server, p.loop, u->address, u->port, 512, handle, completed);
}

int
main (int argc, char **argv)
{
  const GOptionEntry flags[] = {
    { "address", 0, 0, G_OPTION_ARG_STRING, &p.address, "of the store", "IP" },
    { "port", 0, 0, G_OPTION_ARG_INT, &p.port, "of the store", "N" },
    { "upstream", 0, 0, G_OPTION_ARG_STRING_ARRAY, &p.upstream_flags,
      "address,port,service,version,address of its node for heartbeats", "TEXT" },
    { "work-ms", 0, 0, G_OPTION_ARG_INT, &p.work_ms, "time of a request at an upstream", "N" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };

  p.loop = ph_standin_init (&argc, &argv, "Store and upstreams of the object platform.", flags);
  p.revision = 1;
  ph_timerfd_init (&p.alarm, p.loop, run_due, NULL);
  ph_client_init (&p.client, p.loop, 64, on_heartbeat_done, NULL);
  ph_server_start (&p.server, p.loop, p.address, p.port, 1024, handle, completed);
  for (char **flag = p.upstream_flags; flag != NULL && *flag != NULL; flag++)
    add_upstream (*flag);
  ev_timer_init (&p.heartbeats, on_heartbeats, 0.05, HEARTBEAT_US / 1e6);
  ev_timer_start (p.loop, &p.heartbeats);
  ev_run (p.loop, 0);
  return 0;
}
