/*
 * Stand-in for the platform's store: the API of docs/store-api.md, in memory,
 * with failures switched on and off by PUT /control.
 */
#include "standin.h"

#define OBJECTS_MAX 20000
#define REQUESTS_MAX 4096
#define BODY_MAX (1u << 20)

/* An object, or the tombstone of one (text is NULL). */
typedef struct
{
  char *path;
  uint64_t path_hash;
  uint64_t revision;
  char *text;
  uint64_t stale_revision; /* what stale reads see; 0: not there */
  char *stale_text;
} Object;

typedef enum
{
  KIND_GET,
  KIND_PUT,
  KIND_DELETE,
  KIND_LIST,
  KIND_WATCH,
  KIND_UNKNOWN,
  KIND_CONTROL,
  KIND_COUNT
} Kind;

typedef enum
{
  REQUEST_FREE,
  REQUEST_READING,
  REQUEST_DELAYED, /* suspended for the latency */
  REQUEST_WATCHING /* suspended until a change or the end of the wait */
} RequestState;

typedef struct
{
  RequestState state;
  struct MHD_Connection *connection;
  Kind kind;
  const char *path;
  GString *body;
  int64_t due;
  bool was_delayed;
  bool was_counted;
  int64_t wait_ends; /* of a watch */
} Request;

static struct
{
  Object objects[OBJECTS_MAX];
  unsigned object_count;
  uint64_t revision;
  uint64_t oldest; /* the history reaches back to this revision */
  Request requests[REQUESTS_MAX];
  unsigned request_count; /* rows ever used */
  uint64_t stats[KIND_COUNT];
  uint64_t refused;
  uint64_t conflicts;
  uint64_t lost;
  uint64_t stale_at; /* reads show the state at this revision */
  int is_down;
  int is_stale;
  int lose_next;
  int latency_ms;
  int port;
  char *address;
  struct ev_loop *loop;
  PhServer server;
  PhTimerFd alarm;
} store;

static const char *const kind_names[] = {
  [KIND_GET] = "get",   [KIND_PUT] = "put",     [KIND_DELETE] = "delete",
  [KIND_LIST] = "list", [KIND_WATCH] = "watch", [KIND_UNKNOWN] = "unknown",
};

/* Wakes the requests whose time has come and sets the alarm for the next one. */
static void
run_due (void *user)
{
  int64_t now = ph_now ();
  int64_t next = PH_NEVER;

  (void)user;
  for (unsigned i = 0; i < store.request_count; i++)
    {
      Request *request = &store.requests[i];

      if (request->state != REQUEST_DELAYED && request->state != REQUEST_WATCHING)
        continue;
      if (request->due > now)
        {
          next = MIN (next, request->due);
          continue;
        }
      request->state = REQUEST_READING;
      ph_server_resume (&store.server, request->connection);
    }
  ph_timerfd_set (&store.alarm, next);
}

static void
suspend (Request *request, RequestState state, int64_t due)
{
  request->state = state;
  request->due = due;
  MHD_suspend_connection (request->connection);
  ph_timerfd_set (&store.alarm, MIN (store.alarm.due_at, due));
}

static void
wake_watches (void)
{
  for (unsigned i = 0; i < store.request_count; i++)
    if (store.requests[i].state == REQUEST_WATCHING)
      store.requests[i].due = 0;
  ph_timerfd_set (&store.alarm, 0);
}

static Object *
find_object (const char *path)
{
  uint64_t hash = ph_hash (path);

  for (unsigned i = 0; i < store.object_count; i++)
    if (store.objects[i].path_hash == hash && strcmp (store.objects[i].path, path) == 0)
      return &store.objects[i];
  return NULL;
}

/* What a read sees of an object: its text, or NULL. */
static const char *
read_object (const Object *object, uint64_t *revision)
{
  bool is_stale = store.is_stale && object->revision > store.stale_at;

  *revision = is_stale ? object->stale_revision : object->revision;
  return is_stale ? object->stale_text : object->text;
}

static enum MHD_Result
reply_revision (struct MHD_Connection *connection, unsigned status, uint64_t revision)
{
  return ph_server_reply_json (connection, status,
                               json_pack ("{s:I}", "revision", (json_int_t)revision));
}

static bool
meets_condition (struct MHD_Connection *connection, const Object *object)
{
  const char *match = ph_server_field (connection, "If-Match");
  const char *none = ph_server_field (connection, "If-None-Match");
  bool is_there = object != NULL && object->text != NULL;

  if (match != NULL && (!is_there || strtoull (match, NULL, 10) != object->revision))
    return false;
  return none == NULL || strcmp (none, "*") != 0 || !is_there;
}

static enum MHD_Result
write_object (Request *request)
{
  struct MHD_Connection *connection = request->connection;
  Object *object = find_object (request->path);
  bool is_there = object != NULL && object->text != NULL;

  if (request->kind == KIND_DELETE && !is_there)
    return ph_server_reply (connection, 404, "no such object\n");
  if (!meets_condition (connection, object))
    {
      store.conflicts++;
      return reply_revision (connection, 412, is_there ? object->revision : 0);
    }
  if (request->body->len > BODY_MAX)
    return ph_server_reply (connection, 413, "over 1 MB\n");
  if (request->kind == KIND_PUT)
    {
      json_t *value = json_loadb (request->body->str, request->body->len, 0, NULL);
      bool is_object = json_is_object (value);

      json_decref (value);
      if (!is_object)
        return ph_server_reply (connection, 400, "not a JSON object\n");
    }
  if (object == NULL)
    {
      if (store.object_count == OBJECTS_MAX)
        return ph_server_reply (connection, 507, "full\n");
      object = &store.objects[store.object_count++];
      object->path = g_strdup (request->path);
      object->path_hash = ph_hash (object->path);
    }
  if (store.is_stale && object->revision <= store.stale_at)
    {
      g_free (object->stale_text);
      object->stale_text = object->text;
      object->stale_revision = object->revision;
    }
  else
    g_free (object->text);
  object->text
      = request->kind == KIND_PUT ? g_strndup (request->body->str, request->body->len) : NULL;
  object->revision = ++store.revision;
  wake_watches ();
  if (store.lose_next > 0)
    {
      store.lose_next--;
      store.lost++;
      return MHD_NO; /* closes the connection */
    }
  return reply_revision (connection, 200, object->revision);
}

static enum MHD_Result
reply_object (Request *request)
{
  Object *object = find_object (request->path);
  uint64_t revision = 0;
  const char *text = object != NULL ? read_object (object, &revision) : NULL;
  struct MHD_Response *response;
  enum MHD_Result result;
  char value[24];

  if (text == NULL)
    return ph_server_reply (request->connection, 404, "no such object\n");
  response = MHD_create_response_from_buffer (strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  snprintf (value, sizeof value, "%" PRIu64, revision);
  MHD_add_response_header (response, "Revision", value);
  result = MHD_queue_response (request->connection, 200, response);
  MHD_destroy_response (response);
  return result;
}

static int
compare_revisions (const void *a, const void *b)
{
  const Object *first = *(Object *const *)a;
  const Object *second = *(Object *const *)b;

  return first->revision < second->revision ? -1 : first->revision > second->revision;
}

/* Collects the objects under a prefix that changed after a revision, oldest change first. */
static GPtrArray *
collect_objects (const char *prefix, uint64_t after)
{
  GPtrArray *found = g_ptr_array_new ();

  for (unsigned i = 0; i < store.object_count; i++)
    if (g_str_has_prefix (store.objects[i].path, prefix) && store.objects[i].revision > after)
      g_ptr_array_add (found, &store.objects[i]);
  /* An empty array has no memory, and qsort takes no NULL. */
  if (found->len > 0)
    qsort (found->pdata, found->len, sizeof *found->pdata, compare_revisions);
  return found;
}

static enum MHD_Result
reply_list (Request *request)
{
  GPtrArray *found = collect_objects (ph_server_argument (request->connection, "prefix", "/"), 0);
  GString *text = g_string_new (NULL);
  const char *comma = "";
  enum MHD_Result result;

  g_string_printf (text, "{\"revision\":%" PRIu64 ",\"objects\":[",
                   store.is_stale ? store.stale_at : store.revision);
  for (unsigned i = 0; i < found->len; i++)
    {
      const Object *object = found->pdata[i];
      uint64_t revision;
      const char *value = read_object (object, &revision);

      if (value == NULL)
        continue;
      g_string_append_printf (text, "%s{\"path\":\"%s\",\"revision\":%" PRIu64 ",\"object\":%s}",
                              comma, object->path, revision, value);
      comma = ",";
    }
  g_string_append (text, "]}");
  result = ph_server_reply (request->connection, 200, text->str);
  g_string_free (text, TRUE);
  g_ptr_array_free (found, TRUE);
  return result;
}

/* Responds to a watch, or suspends it when there is no change yet. */
static enum MHD_Result
reply_watch (Request *request)
{
  struct MHD_Connection *connection = request->connection;
  uint64_t after = strtoull (ph_server_argument (connection, "after", "0"), NULL, 10);
  int64_t wait = strtoll (ph_server_argument (connection, "wait_ms", "0"), NULL, 10) * 1000;
  GPtrArray *found;
  GString *text;
  enum MHD_Result result;

  if (request->wait_ends == 0)
    request->wait_ends = ph_now () + wait;
  if (after < store.oldest)
    return ph_server_reply (connection, 410, "history does not reach back\n");
  found = collect_objects (ph_server_argument (connection, "prefix", "/"), after);
  if (found->len == 0 && ph_now () < request->wait_ends)
    {
      request->was_delayed = true;
      suspend (request, REQUEST_WATCHING, request->wait_ends);
      g_ptr_array_free (found, TRUE);
      return MHD_YES;
    }
  text = g_string_new (NULL);
  g_string_printf (text, "{\"revision\":%" PRIu64 ",\"changes\":[", store.revision);
  for (unsigned i = 0; i < found->len; i++)
    {
      const Object *object = found->pdata[i];

      g_string_append_printf (
          text, "%s{\"path\":\"%s\",\"revision\":%" PRIu64 ",\"deleted\":%s%s%s}", i > 0 ? "," : "",
          object->path, object->revision, object->text == NULL ? "true" : "false",
          object->text != NULL ? ",\"object\":" : "", object->text != NULL ? object->text : "");
    }
  g_string_append (text, "]}");
  result = ph_server_reply (connection, 200, text->str);
  g_string_free (text, TRUE);
  g_ptr_array_free (found, TRUE);
  return result;
}

static enum MHD_Result
reply_control (Request *request)
{
  json_t *object;
  bool was_stale = store.is_stale;
  int forget = 0;

  if (strcmp (request->path, "/control/stats") == 0)
    {
      object = json_pack ("{s:I,s:I,s:I,s:I}", "revision", (json_int_t)store.revision, "refused",
                          (json_int_t)store.refused, "conflicts", (json_int_t)store.conflicts,
                          "lost", (json_int_t)store.lost);
      for (Kind i = KIND_GET; i < KIND_CONTROL; i++)
        json_object_set_new (object, kind_names[i], json_integer ((json_int_t)store.stats[i]));
      return ph_server_reply_json (request->connection, 200, object);
    }
  object = json_loadb (request->body->str, request->body->len, 0, NULL);
  if (object == NULL
      || json_unpack (object, "{s?b,s?i,s?i,s?b,s?b !}", "down", &store.is_down, "latency_ms",
                      &store.latency_ms, "lose_next_responses", &store.lose_next, "stale_reads",
                      &store.is_stale, "forget_history", &forget)
             != 0)
    {
      json_decref (object);
      return ph_server_reply (request->connection, 400, "unknown control field or type\n");
    }
  json_decref (object);
  if (store.is_stale && !was_stale)
    store.stale_at = store.revision;
  if (forget)
    {
      store.revision++; /* so that every watch in progress is behind */
      store.oldest = store.revision;
    }
  if (forget || store.is_down)
    wake_watches ();
  return ph_server_reply (request->connection, 200, "{}");
}

static enum MHD_Result
respond (Request *request)
{
  if (request->kind == KIND_CONTROL)
    return reply_control (request);
  if (!request->was_counted)
    store.stats[request->kind]++;
  request->was_counted = true;
  if (store.is_down)
    {
      store.refused++;
      return ph_server_reply (request->connection, 503, "down\n");
    }
  if (store.latency_ms > 0 && !request->was_delayed)
    {
      request->was_delayed = true;
      suspend (request, REQUEST_DELAYED, ph_now () + store.latency_ms * (int64_t)1000);
      return MHD_YES;
    }
  switch (request->kind)
    {
    case KIND_GET:
      return reply_object (request);
    case KIND_PUT:
    case KIND_DELETE:
      return write_object (request);
    case KIND_LIST:
      return reply_list (request);
    case KIND_WATCH:
      return reply_watch (request);
    default:
      return ph_server_reply (request->connection, 404, "no such request\n");
    }
}

static void
classify (Request *request, const char *url, const char *method)
{
  static const char objects[] = "/v1/objects";

  request->kind = KIND_UNKNOWN;
  request->path = url;
  if (g_str_has_prefix (url, "/control"))
    request->kind = KIND_CONTROL;
  else if (strcmp (url, "/v1/list") == 0)
    request->kind = KIND_LIST;
  else if (strcmp (url, "/v1/watch") == 0)
    request->kind = KIND_WATCH;
  else if (g_str_has_prefix (url, objects) && url[sizeof objects - 1] == '/')
    {
      request->path = url + sizeof objects - 1;
      request->kind = strcmp (method, "PUT") == 0      ? KIND_PUT
                      : strcmp (method, "DELETE") == 0 ? KIND_DELETE
                      : strcmp (method, "GET") == 0    ? KIND_GET
                                                       : KIND_UNKNOWN;
    }
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
  Request *request = *state;
  unsigned i = 0;

  (void)user;
  (void)version;
  if (request == NULL)
    {
      while (i < store.request_count && store.requests[i].state != REQUEST_FREE)
        i++;
      if (i == REQUESTS_MAX)
        return MHD_NO;
      store.request_count = MAX (store.request_count, i + 1);
      request = *state = &store.requests[i];
      *request = (Request){ .state = REQUEST_READING,
                            .connection = connection,
                            .body = g_string_new (NULL) };
      classify (request, url, method);
      return MHD_YES;
    }
  if (*size > 0)
    {
      if (request->body->len <= BODY_MAX)
        g_string_append_len (request->body, data, (gssize)*size);
      *size = 0;
      return MHD_YES;
    }
  return respond (request);
}

static void
completed (void *user,
           struct MHD_Connection *connection,
           void **state,
           enum MHD_RequestTerminationCode code)
{
  Request *request = *state;

  (void)user;
  (void)connection;
  (void)code;
  if (request == NULL)
    return;
  g_string_free (request->body, TRUE);
  request->state = REQUEST_FREE;
}

int
main (int argc, char **argv)
{
  const GOptionEntry flags[] = {
    { "address", 0, 0, G_OPTION_ARG_STRING, &store.address, "address to listen on", "IP" },
    { "port", 0, 0, G_OPTION_ARG_INT, &store.port, "port to listen on", "N" },
    { "latency-ms", 0, 0, G_OPTION_ARG_INT, &store.latency_ms, "time of each call", "N" },
    { 0 },
  };

  store.loop = ph_standin_init (&argc, &argv, "Stand-in for the platform's store.", flags);
  ph_timerfd_init (&store.alarm, store.loop, run_due, NULL);
  ph_server_start (&store.server, store.loop, store.address != NULL ? store.address : "127.0.0.1",
                   store.port, REQUESTS_MAX, handle, completed);
  ev_run (store.loop, 0);
  return 0;
}
