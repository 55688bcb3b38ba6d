#include "client/nodes.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONCURRENT_REQUESTS_MAX 64
#define RESPONSE_SIZE_MAX ((size_t)8 << 20) /* a status page with 3,200 members is under 1 MB */
#define POLL_TIMEOUT_MS 1000                /* longest wait for activity on the sockets */
#define STATUS_PAGE_FIELD "config_revision" /* integer that every status page has */

/* Whether text is an IP address with a port, as "10.0.0.1:8082" or "[fd00::1]:8082". */
static bool
is_address (const char *text)
{
  const char *colon = strrchr (text, ':');
  struct in6_addr binary;
  char host[64];
  size_t length;
  uint64_t port = 0;

  if (colon == NULL || colon == text || strlen (colon) < 2 || strlen (colon) > 6
      || colon[1 + strspn (colon + 1, "0123456789")] != '\0')
    return false;
  port = strtoull (colon + 1, NULL, 10);
  length = (size_t)(colon - text);
  if (length >= sizeof host || port < 1 || port > UINT16_MAX)
    return false;
  memcpy (host, text, length);
  host[length] = '\0';
  if (host[0] != '[')
    return inet_pton (AF_INET, host, &binary) == 1;
  if (host[length - 1] != ']')
    return false;
  host[length - 1] = '\0';
  return inet_pton (AF_INET6, host + 1, &binary) == 1;
}

static bool
add_row (PhNodes *nodes, const char *text, size_t length, PhError *err)
{
  PhNodeRow *row;

  if (ph_node_row_add (&nodes->rows, &row).v == 0)
    return ph_error_set (err, PH_ERROR_FULL, PH_STEP_SETTINGS, NULL, "--nodes: too many nodes");
  snprintf (row->address, sizeof row->address, "%.*s", (int)length, text);
  snprintf (row->path, sizeof row->path, "/v1/status");
  if (length < sizeof row->address && is_address (row->address))
    return true;
  return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                       "--nodes: \"%.60s\" is not allowed; allowed: address:port,... as "
                       "10.0.0.1:8082 or [fd00::1]:8082",
                       row->address);
}

bool
ph_nodes_open (PhNodes *nodes, const char *list, PhError *err)
{
  uint32_t count = 1;

  *nodes = (PhNodes){ 0 };
  if (list[0] == '\0')
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                         "--nodes (or POLLENHITCH_NODES) is not set; allowed: address:port,... as "
                         "10.0.0.1:8082 or [fd00::1]:8082");
  for (const char *c = list; *c != '\0'; c++)
    count += *c == ',';
  if (!ph_table_init (&nodes->rows, sizeof (PhNodeRow), count, err)
      || !ph_queue_init (&nodes->pending, count, err))
    return false;
  for (;;)
    {
      size_t length = strcspn (list, ",");

      if (!add_row (nodes, list, length, err))
        return false;
      if (list[length] == '\0')
        break;
      list += length + 1;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  nodes->multi = curl_multi_init ();
  if (nodes->multi == NULL)
    return ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_SETTINGS, NULL,
                         "libcurl cannot be initialised");
  return true;
}

void
ph_nodes_close (PhNodes *nodes)
{
  PhNodeRowId id = { 0 };

  if (nodes->rows.rows != NULL)
    while ((id = ph_node_row_next (&nodes->rows, id)).v != 0)
      json_decref (ph_node_row_get (&nodes->rows, id)->page);
  if (nodes->multi != NULL)
    curl_multi_cleanup (nodes->multi);
  ph_queue_clear (&nodes->pending);
  ph_table_clear (&nodes->rows);
}

/* A CURLOPT_WRITEFUNCTION; 0 makes libcurl abort the transfer. */
static size_t
append_body (char *data, size_t unit, size_t count, void *user)
{
  PhNodeRow *row = user;
  char *body;

  (void)unit;
  if (row->body_size + count > RESPONSE_SIZE_MAX)
    return 0;
  body = realloc (row->body, row->body_size + count);
  if (body == NULL)
    return 0;
  memcpy (body + row->body_size, data, count);
  row->body = body;
  row->body_size += count;
  return count;
}

/* A CURLOPT_HEADERFUNCTION; a head that is rejected ends the transfer. */
static size_t
add_head_line (char *data, size_t unit, size_t count, void *user)
{
  PhNodeRow *row = user;

  (void)unit;
  return ph_head_add_line (&row->head, data, count) == NULL ? count : 0;
}

static void
start_request (PhNodes *nodes, PhNodeRow *row, int64_t timeout_ms)
{
  char url[160];

  json_decref (row->page);
  row->page = NULL;
  row->curl = curl_easy_init ();
  if (row->curl == NULL)
    {
      snprintf (row->failure, sizeof row->failure, "out of memory for a request");
      return;
    }
  snprintf (url, sizeof url, "http://%s%s", row->address, row->path);
  curl_easy_setopt (row->curl, CURLOPT_URL, url);
  curl_easy_setopt (row->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (row->curl, CURLOPT_PROXY, "");
  curl_easy_setopt (row->curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (row->curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (row->curl, CURLOPT_WRITEDATA, row);
  curl_easy_setopt (row->curl, CURLOPT_HEADERFUNCTION, add_head_line);
  curl_easy_setopt (row->curl, CURLOPT_HEADERDATA, row);
  curl_easy_setopt (row->curl, CURLOPT_PRIVATE, row);
  curl_multi_add_handle (nodes->multi, row->curl);
}

bool
ph_node_row_parse (PhNodeRow *row, const char *text, size_t size)
{
  json_t *page = json_loadb (text, size, 0, NULL);
  const json_t *field = json_object_get (page, row->required_field != NULL ? row->required_field
                                                                           : STATUS_PAGE_FIELD);

  if (json_is_integer (field) && json_integer_value (field) >= 0)
    {
      json_decref (row->page);
      row->page = page;
      row->config_revision
          = (uint64_t)json_integer_value (json_object_get (page, STATUS_PAGE_FIELD));
      return true;
    }
  json_decref (page);
  snprintf (row->failure, sizeof row->failure, "the response is not a valid page of a node");
  return false;
}

static void
read_response (PhNodeRow *row, CURLcode result)
{
  if (result != CURLE_OK)
    snprintf (row->failure, sizeof row->failure, "%.90s", curl_easy_strerror (result));
  /* libcurl 7.88 reports no error for a response that ends within its head. */
  else if (row->head.state != PH_HEAD_COMPLETE)
    snprintf (row->failure, sizeof row->failure, "the response ended within its head");
  else if (row->head.status != 200)
    snprintf (row->failure, sizeof row->failure, "status %d", row->head.status);
  else
    ph_node_row_parse (row, row->body != NULL ? row->body : "", row->body_size);
}

static void
finish_request (PhNodes *nodes, CURL *curl, CURLcode result)
{
  PhNodeRow *row;

  curl_easy_getinfo (curl, CURLINFO_PRIVATE, (char **)&row);
  read_response (row, result);
  curl_multi_remove_handle (nodes->multi, curl);
  curl_easy_cleanup (curl);
  row->curl = NULL;
  ph_head_clear (&row->head);
  free (row->body);
  row->body = NULL;
  row->body_size = 0;
}

void
ph_nodes_query (PhNodes *nodes,
                int64_t timeout_ms,
                bool (*is_selected) (void *user, const PhNodeRow *row),
                void *user)
{
  PhNodeRowId id = { 0 };
  int running = 0;
  CURLMsg *message;
  int messages_left;

  while ((id = ph_node_row_next (&nodes->rows, id)).v != 0)
    if (is_selected (user, ph_node_row_get (&nodes->rows, id)))
      ph_queue_push (&nodes->pending, id.v);
  while (running > 0 || nodes->pending.count > 0)
    {
      for (; running < CONCURRENT_REQUESTS_MAX && nodes->pending.count > 0; running++)
        start_request (
            nodes, ph_node_row_get (&nodes->rows, (PhNodeRowId){ ph_queue_pop (&nodes->pending) }),
            timeout_ms);
      curl_multi_perform (nodes->multi, &running);
      while ((message = curl_multi_info_read (nodes->multi, &messages_left)) != NULL)
        if (message->msg == CURLMSG_DONE)
          finish_request (nodes, message->easy_handle, message->data.result);
      if (running > 0)
        curl_multi_poll (nodes->multi, NULL, 0, POLL_TIMEOUT_MS, NULL);
    }
}
