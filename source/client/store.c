#include "client/store.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "node/head.h"
#include "pollenhitch/command.h"
#include "pollenhitch/config.h"
#include "pollenhitch/fields.h"
#include "pollenhitch/scan.h"

#define BACKOFF_INITIAL_MS 100
#define BACKOFF_MAX_MS 5000
#define RESPONSE_SIZE_MAX ((size_t)256 << 20) /* enough for all objects of the largest fleet */
#define URL_MAX 4096

enum
{
  STATUS_NONE = 0, /* no complete response was received */
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  STATUS_PRECONDITION_FAILED = 412,
  STATUS_SERVER_ERROR = 500 /* and above */
};

/* Result of one request. */
typedef struct
{
  int status;                    /* HTTP status, or STATUS_NONE */
  bool was_sent;                 /* whether the store may have received the request */
  PhHead head;                   /* of the response */
  uint64_t revision;             /* field "Revision" of the response, 0 when it has none */
  char *body;                    /* ends with a null byte, owned; NULL when empty */
  size_t size;                   /* bytes in body, without the null byte */
  char failure[CURL_ERROR_SIZE]; /* libcurl's message when there is no complete response */
} Response;

static void
clear_response (Response *response)
{
  ph_head_clear (&response->head);
  free (response->body);
  *response = (Response){ 0 };
}

/* A CURLOPT_WRITEFUNCTION; 0 makes libcurl abort the transfer. */
static size_t
append_body (char *data, size_t unit, size_t count, void *user)
{
  Response *response = user;
  char *body;

  (void)unit;
  if (response->size + count > RESPONSE_SIZE_MAX)
    return 0;
  body = realloc (response->body, response->size + count + 1);
  if (body == NULL)
    return 0;
  memcpy (body + response->size, data, count);
  response->body = body;
  response->size += count;
  body[response->size] = '\0';
  return count;
}

/* A CURLOPT_HEADERFUNCTION. libcurl passes complete lines, each with its line end. */
static size_t
add_head_line (char *data, size_t unit, size_t count, void *user)
{
  Response *response = user;
  const char *error = ph_head_add_line (&response->head, data, count);

  (void)unit;
  if (error == NULL)
    return count;
  snprintf (response->failure, sizeof response->failure, "%s", error);
  return 0;
}

/* Sets status and revision of a response that is complete, otherwise the reason why it is not. */
static void
finish_response (Response *response, CURLcode result)
{
  const char *revision = ph_head_field (&response->head, "Revision", NULL);

  if (result != CURLE_OK)
    {
      if (response->failure[0] == '\0')
        snprintf (response->failure, sizeof response->failure, "%s", curl_easy_strerror (result));
      return;
    }
  /* libcurl 7.88 reports no error for a response that ends within its head. */
  if (response->head.state != PH_HEAD_COMPLETE)
    {
      snprintf (response->failure, sizeof response->failure, "the response ended within its head");
      return;
    }
  response->status = response->head.status;
  if (revision == NULL || !ph_number_parse (revision, INT64_MAX, &response->revision))
    response->revision = 0;
}

bool
ph_client_store_open (PhClientStore *store, const PhStoreSettings *settings, PhError *err)
{
  struct timespec now;

  *store = (PhClientStore){ .settings = *settings };
  if (settings->url[0] == '\0')
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                         "--store (or POLLENHITCH_STORE) is not set; allowed: a URL that begins "
                         "with http:// or https://");
  if (strncmp (settings->url, "http://", 7) != 0 && strncmp (settings->url, "https://", 8) != 0)
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                         "--store: \"%.60s\" is not allowed; allowed: a URL that begins with "
                         "http:// or https://",
                         settings->url);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  store->curl = curl_easy_init ();
  if (store->curl == NULL)
    return ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_SETTINGS, NULL,
                         "libcurl cannot be initialised");
  clock_gettime (CLOCK_REALTIME, &now);
  ph_random_seed (&store->random, (uint64_t)now.tv_sec * 1000000000u + (uint64_t)now.tv_nsec);
  return true;
}

void
ph_client_store_close (PhClientStore *store)
{
  if (store->curl != NULL)
    curl_easy_cleanup (store->curl);
  curl_slist_free_all (store->headers);
  *store = (PhClientStore){ 0 };
}

bool
ph_client_store_path_check (const char *path, PhError *err)
{
  static const char allowed[]
      = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789/-_.";

  if (path[0] == '/' && strlen (path) < PH_PATH_MAX && path[strspn (path, allowed)] == '\0'
      && strstr (path, "//") == NULL && strstr (path, "/.") == NULL)
    return true;
  return ph_error_set (
      err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
      "path: \"%.120s\" is not allowed; allowed: names of letters, digits, hyphens, "
      "dots and underscores, each after one / and not beginning with a dot, at most %d bytes",
      path, PH_PATH_MAX - 1);
}

void
ph_client_store_back_off (PhClientStore *store, int64_t failure_count)
{
  int64_t limit_ms = BACKOFF_INITIAL_MS;
  int64_t wait_ms;

  for (int64_t i = 1; i < failure_count && limit_ms < BACKOFF_MAX_MS; i++)
    limit_ms *= 2;
  if (limit_ms > BACKOFF_MAX_MS)
    limit_ms = BACKOFF_MAX_MS;
  wait_ms = 1 + ph_random_below (&store->random, (uint32_t)limit_ms);
  nanosleep (&(struct timespec){ wait_ms / 1000, wait_ms % 1000 * 1000000 }, NULL);
}

/* Sends one request and waits for the response. condition is an If-Match or If-None-Match line, or
 * NULL; body is NULL for a request without a body. */
static void
send_request (PhClientStore *store,
              const char *method,
              const char *target,
              const char *condition,
              const char *body,
              Response *response)
{
  char url[URL_MAX];
  size_t length = strlen (store->settings.url);
  CURL *curl = store->curl;
  CURLcode result;
  long sent = 0;

  clear_response (response);
  while (length > 0 && store->settings.url[length - 1] == '/')
    length--;
  snprintf (url, sizeof url, "%.*s%s", (int)length, store->settings.url, target);
  curl_slist_free_all (store->headers);
  store->headers = curl_slist_append (NULL, "Content-Type: application/json");
  if (condition != NULL)
    store->headers = curl_slist_append (store->headers, condition);
  curl_easy_reset (curl);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)store->settings.timeout_ms);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, store->headers);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, response);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, add_head_line);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, response);
  curl_easy_setopt (curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (curl, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
  curl_easy_setopt (curl, CURLOPT_ERRORBUFFER, response->failure);
  /* On a reused connection that closes before the response, libcurl repeats the request by itself.
   * If the store had applied the first copy of a write, the second would fail its condition and be
   * reported as a conflict. Each request therefore has its own connection. */
  curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (curl, CURLOPT_FORBID_REUSE, 1L);
  if (body != NULL)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE, (long)strlen (body));
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
    }
  result = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_REQUEST_SIZE, &sent);
  response->was_sent = sent > 0;
  finish_response (response, result);
}

/* Whether the status tells if the store processed the request; a 5xx status does not, and there is
 * no status without a complete response. */
static bool
is_conclusive (const Response *response)
{
  return response->status != STATUS_NONE && response->status < STATUS_SERVER_ERROR;
}

/* Formats why an attempt had no conclusive response. */
static const char *
describe_failure (const Response *response, char *text, size_t size)
{
  if (response->status == STATUS_NONE)
    snprintf (text, size, "%.90s", response->failure);
  else
    snprintf (text, size, "status %d", response->status);
  return text;
}

static bool
set_unreachable_error (const PhClientStore *store,
                       PhStep step,
                       const char *path,
                       const Response *response,
                       PhError *err)
{
  char reason[100];

  return ph_error_set (err, PH_ERROR_TIMEOUT, step, NULL,
                       "%.120s: no conclusive response from the store in %" PRId64 " attempts (%s)",
                       path, store->settings.attempts,
                       describe_failure (response, reason, sizeof reason));
}

static bool
set_status_error (PhStep step, const char *path, const Response *response, PhError *err)
{
  return ph_error_set (err, response->status == STATUS_NOT_FOUND ? PH_ERROR_NOT_FOUND : PH_ERROR_IO,
                       step, NULL, "%.120s: %s", path,
                       response->status == STATUS_NOT_FOUND ? "no such object in the store"
                                                            : "the store refuses the read");
}

/* Sends a GET request for target until a response is conclusive or the attempts are used up. */
static bool
read_with_retries (
    PhClientStore *store, const char *path, const char *target, Response *response, PhError *err)
{
  for (int64_t attempt = 1; attempt <= store->settings.attempts; attempt++)
    {
      if (attempt > 1)
        ph_client_store_back_off (store, attempt - 1);
      send_request (store, "GET", target, NULL, NULL, response);
      if (is_conclusive (response))
        return response->status == STATUS_OK
               || set_status_error (PH_STEP_STORE_READ, path, response, err);
    }
  return set_unreachable_error (store, PH_STEP_STORE_READ, path, response, err);
}

static json_t *
parse_body (const char *path, const Response *response, PhError *err)
{
  json_t *body = json_loadb (response->body != NULL ? response->body : "", response->size, 0, NULL);

  if (json_is_object (body))
    return body;
  json_decref (body);
  ph_error_set (err, PH_ERROR_PROTOCOL, PH_STEP_STORE_READ, NULL,
                "%.120s: the store's response is not a JSON object", path);
  return NULL;
}

static void
make_target (const char *path, char *target)
{
  snprintf (target, URL_MAX / 2, "/v1/objects%s", path);
}

bool
ph_client_store_get (
    PhClientStore *store, const char *path, json_t **object, uint64_t *revision, PhError *err)
{
  char target[URL_MAX / 2];
  Response response = { 0 };

  *object = NULL;
  *revision = 0;
  make_target (path, target);
  if (read_with_retries (store, path, target, &response, err))
    {
      *object = parse_body (path, &response, err);
      *revision = response.revision;
    }
  /* An object of another writer that is not JSON can still be replaced or deleted. */
  if (*object == NULL && *revision != 0)
    {
      fprintf (stderr, "warning: %s: the object at revision %" PRIu64 " cannot be read\n", path,
               *revision);
      *object = json_null ();
    }
  clear_response (&response);
  return *object != NULL;
}

/* Reads one entry of a list. Returns NULL, with a warning, for one that cannot be read or has no
 * path under the prefix. */
static json_t *
load_entry (const char *prefix, PhJsonPart part)
{
  json_t *entry = json_loadb (part.text, part.size, 0, NULL);
  const char *path = json_string_value (json_object_get (entry, "path"));
  PhJsonPart name = { "", 0 };

  if (path != NULL && strncmp (path, prefix, strlen (prefix)) == 0)
    return entry;
  json_decref (entry);
  ph_json_member (part, "path", &name);
  fputs ("warning: an object that cannot be read is left out: ", stderr);
  for (size_t i = 0; i < name.size && i < PH_PATH_MAX; i++)
    fputc (name.text[i] >= ' ' && name.text[i] <= '~' ? name.text[i] : '?', stderr);
  fputc ('\n', stderr);
  return NULL;
}

bool
ph_client_store_list (
    PhClientStore *store, const char *prefix, json_t **objects, uint64_t *revision, PhError *err)
{
  char target[URL_MAX / 2];
  Response response = { 0 };
  PhJsonPart body;
  PhJsonPart part;
  PhJsonPart entries = { "", 0 };
  json_t *number = NULL;
  size_t offset = 0;

  *objects = NULL;
  snprintf (target, sizeof target, "/v1/list?prefix=%s", prefix);
  if (!read_with_retries (store, prefix, target, &response, err))
    {
      clear_response (&response);
      return false;
    }
  body = (PhJsonPart){ response.body != NULL ? response.body : "", response.size };
  if (ph_json_member (body, "revision", &part))
    number = json_loadb (part.text, part.size, JSON_DECODE_ANY, NULL);
  *revision = (uint64_t)json_integer_value (number);
  json_decref (number);
  /* Each entry is decoded on its own, so that one of another writer does not hide the others. */
  if (ph_json_member (body, "objects", &entries))
    *objects = json_array ();
  while (*objects != NULL && ph_json_next_element (entries, &offset, &part))
    {
      json_t *entry = load_entry (prefix, part);

      if (entry != NULL)
        json_array_append_new (*objects, entry);
    }
  clear_response (&response);
  return *objects != NULL
         || ph_error_set (err, PH_ERROR_PROTOCOL, PH_STEP_STORE_READ, NULL,
                          "%.120s: the store's response has no list of objects", prefix);
}

typedef enum
{
  WRITE_PENDING, /* not known to be applied; to be attempted again */
  WRITE_DONE,
  WRITE_FAILED /* err is set */
} WriteState;

/* A conditional write and the state that its attempts share. */
typedef struct
{
  PhClientStore *store;
  const char *path;
  const json_t *object; /* NULL for a delete */
  const char *text;     /* object as JSON, NULL for a delete */
  uint64_t expected;    /* revision that the path must be at, 0 for no object */
  uint64_t revision;    /* revision of the write, or the current one on a conflict */
  bool may_be_applied;  /* an attempt was sent and had no conclusive response */
  Response response;    /* response to the last request */
  PhError *err;
} Write;

bool
ph_client_store_set_conflict_error (const char *path,
                                    uint64_t expected,
                                    uint64_t current,
                                    PhError *err)
{
  char expects[40] = "no object";
  char found[40] = "there is none";

  if (expected != 0)
    snprintf (expects, sizeof expects, "revision %" PRIu64, expected);
  if (current != 0)
    snprintf (found, sizeof found, "it is at revision %" PRIu64, current);
  return ph_error_set (err, PH_ERROR_CONFLICT, PH_STEP_STORE_WRITE, NULL,
                       "%.120s: conflict: expected %s, but %s", path, expects, found);
}

/* Fails the write because the path is at revision current. */
static WriteState
fail_conflict (Write *write, uint64_t current)
{
  write->revision = current;
  if (!write->may_be_applied)
    ph_client_store_set_conflict_error (write->path, write->expected, current, write->err);
  else
    ph_error_set (write->err, PH_ERROR_STATE, PH_STEP_STORE_WRITE, NULL,
                  "%.120s: a write had no conclusive response and another write followed (revision "
                  "%" PRIu64 "); the first may have been applied before it",
                  write->path, current);
  return WRITE_FAILED;
}

/* Reads the path and compares it with the object to write, after a lost response or a failed
 * condition. */
static WriteState
verify_write (Write *write)
{
  char target[URL_MAX / 2];
  json_t *object;
  uint64_t current;
  bool is_equal;

  make_target (write->path, target);
  send_request (write->store, "GET", target, NULL, NULL, &write->response);
  if (write->response.status == STATUS_NOT_FOUND)
    {
      if (write->object == NULL)
        return WRITE_DONE;
      return write->expected == 0 ? WRITE_PENDING : fail_conflict (write, 0);
    }
  if (write->response.status != STATUS_OK)
    return WRITE_PENDING;
  current = write->response.revision;
  object = parse_body (write->path, &write->response, write->err);
  is_equal = write->object != NULL && json_equal (object, write->object);
  json_decref (object);
  if (is_equal)
    {
      write->revision = current;
      return WRITE_DONE;
    }
  return current == write->expected ? WRITE_PENDING : fail_conflict (write, current);
}

/* The revision in the body of the response to a write: the new one, or the current one on a
 * conflict. */
static uint64_t
response_revision (const Write *write)
{
  json_t *body = parse_body (write->path, &write->response, NULL);
  uint64_t revision = (uint64_t)json_integer_value (json_object_get (body, "revision"));

  json_decref (body);
  return revision;
}

/* Sends the write once. */
static WriteState
attempt_write (Write *write)
{
  char target[URL_MAX / 2];
  char condition[48];

  make_target (write->path, target);
  if (write->expected == 0)
    snprintf (condition, sizeof condition, "If-None-Match: *");
  else
    snprintf (condition, sizeof condition, "If-Match: %" PRIu64, write->expected);
  send_request (write->store, write->object != NULL ? "PUT" : "DELETE", target, condition,
                write->text, &write->response);
  if (write->response.status == STATUS_OK)
    {
      write->revision = response_revision (write);
      return WRITE_DONE;
    }
  if (write->response.status == STATUS_PRECONDITION_FAILED
      || write->response.status == STATUS_NOT_FOUND)
    {
      /* The condition may have failed because an earlier attempt of this write was applied. When
       * no earlier attempt can have been applied, the object is another writer's, even if it is
       * equal. */
      if (write->may_be_applied)
        return verify_write (write);
      return fail_conflict (write, response_revision (write));
    }
  if (is_conclusive (&write->response))
    {
      ph_error_set (write->err, PH_ERROR_IO, PH_STEP_STORE_WRITE, NULL,
                    "%.120s: the store refuses the write with status %d", write->path,
                    write->response.status);
      return WRITE_FAILED;
    }
  /* The store's documentation does not promise that a write answered with 503 had no effect. */
  write->may_be_applied = write->may_be_applied || write->response.was_sent;
  return WRITE_PENDING;
}

/* Repeats the write until its outcome is known or the attempts are used up. */
static WriteState
run_write (Write *write)
{
  const PhClientStore *store = write->store;
  WriteState state = WRITE_PENDING;
  char reason[100];

  for (int64_t attempt = 1; attempt <= store->settings.attempts && state == WRITE_PENDING;
       attempt++)
    {
      if (attempt > 1)
        ph_client_store_back_off (write->store, attempt - 1);
      if (write->may_be_applied)
        state = verify_write (write);
      /* When the read had no conclusive response either, another write would only add load to the
       * store. */
      if (state == WRITE_PENDING && (!write->may_be_applied || is_conclusive (&write->response)))
        state = attempt_write (write);
    }
  if (state == WRITE_PENDING && write->may_be_applied)
    {
      ph_client_store_back_off (write->store, 1);
      state = verify_write (write);
    }
  if (state == WRITE_PENDING)
    ph_error_set (write->err, PH_ERROR_TIMEOUT, PH_STEP_STORE_WRITE, NULL,
                  "%.120s: no conclusive response from the store in %" PRId64 " attempts (%s); %s",
                  write->path, store->settings.attempts,
                  describe_failure (&write->response, reason, sizeof reason),
                  write->may_be_applied ? "the write may have been applied, read the path first"
                                        : "nothing was written");
  return state;
}

bool
ph_client_store_put (PhClientStore *store,
                     const char *path,
                     const json_t *object,
                     uint64_t expected,
                     uint64_t *revision,
                     PhError *err)
{
  char *text = object != NULL ? json_dumps (object, JSON_COMPACT) : NULL;
  Write write = {
    .store = store, .path = path, .object = object, .text = text, .expected = expected, .err = err
  };
  WriteState state;
  json_t *objects;

  if (object != NULL && text == NULL)
    return ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_STORE_WRITE, NULL,
                         "%.120s: out of memory for the text of the object", path);
  state = run_write (&write);
  /* After a delete whose response was lost there is no object to read the revision from. The
   * store's newest revision is used instead: it is at least that of the delete. */
  if (state == WRITE_DONE && write.revision == 0
      && ph_client_store_list (store, path, &objects, &write.revision, err))
    json_decref (objects);
  *revision = write.revision;
  clear_response (&write.response);
  free (text);
  return state == WRITE_DONE;
}

int
ph_client_exit_status (const PhError *err)
{
  switch (err->code)
    {
    case PH_ERROR_INVALID:
      return PH_EXIT_USAGE;
    case PH_ERROR_CONFLICT:
      return PH_EXIT_CONFLICT;
    case PH_ERROR_NOT_FOUND:
      return PH_EXIT_NOT_FOUND;
    case PH_ERROR_TIMEOUT:
      return PH_EXIT_UNREACHABLE;
    case PH_ERROR_STATE: /* set only by ph_client_store_put */
      return PH_EXIT_UNKNOWN;
    default:
      return PH_EXIT_FAILED;
    }
}

int
ph_client_report_error (const char *command, const PhError *err)
{
  fprintf (stderr, "pollenhitch %s: ", command);
  /* The text may hold bytes from files and responses, which must not break the line. */
  for (const char *c = err->text; *c != '\0'; c++)
    fputc (*c >= ' ' && *c <= '~' ? *c : '?', stderr);
  fputc ('\n', stderr);
  return ph_client_exit_status (err);
}
