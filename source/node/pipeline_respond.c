#include <inttypes.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

#include "node/pipeline_rows.h"
#include "node/response.h"

#define OUTPUT_CAPACITY_MIN ((size_t)4 * 1024)

#define CHUNK_HEAD_SIZE 8 /* of "%06zx\r\n" */
#define DISCARDED_BYTES_MAX ((uint64_t)1024 * 1024 * 1024)

/* Makes room for size bytes behind the output. Returns false when memory runs out. */
static bool
reserve_output (PhPipelineConnection *c, size_t size)
{
  size_t used = c->output_end - c->output_begin;
  size_t capacity = c->output_capacity > 0 ? c->output_capacity : OUTPUT_CAPACITY_MIN;
  char *output;

  if (c->output_end + size <= c->output_capacity)
    return true;
  if (c->output_begin > 0)
    {
      memmove (c->output, c->output + c->output_begin, used);
      c->output_begin = 0;
      c->output_end = used;
    }
  while (capacity < used + size)
    capacity *= 2;
  if (capacity == c->output_capacity)
    return true;
  output = realloc (c->output, capacity);
  if (output == NULL)
    return false;
  c->output = output;
  c->output_capacity = capacity;
  return true;
}

bool
ph_pipeline_write (PhPipelineConnection *c, const char *bytes, size_t size)
{
  if (!reserve_output (c, size))
    return false;
  memcpy (c->output + c->output_end, bytes, size);
  c->output_end += size;
  return true;
}

/* Head of a response under construction. */
typedef struct
{
  PhPipelineConnection *connection;
  bool is_failed; /* out of memory */
  bool has_date;
} ResponseHead;

static void
write_text (ResponseHead *head, const char *text)
{
  if (!ph_pipeline_write (head->connection, text, strlen (text)))
    head->is_failed = true;
}

static void
add_field (void *handle, const char *name, const char *value)
{
  ResponseHead *head = handle;

  if (strcasecmp (name, MHD_HTTP_HEADER_DATE) == 0)
    head->has_date = true;
  write_text (head, name);
  write_text (head, ": ");
  write_text (head, value);
  write_text (head, "\r\n");
}

static void
add_date (ResponseHead *head)
{
  time_t now = time (NULL);
  struct tm parts;
  char text[64];

  if (head->has_date || gmtime_r (&now, &parts) == NULL
      || strftime (text, sizeof text, "%a, %d %b %Y %H:%M:%S GMT", &parts) == 0)
    return;
  add_field (head, MHD_HTTP_HEADER_DATE, text);
}

static void
write_status (ResponseHead *head, int status)
{
  char text[32];

  snprintf (text, sizeof text, "HTTP/1.1 %d ", status);
  write_text (head, text);
  write_text (head, MHD_get_reason_phrase_for ((unsigned)status));
  write_text (head, "\r\n");
}

/* Whether the connection closes after the response to this request. During a planned stop it stays
 * open until the last request that was started is answered: a response that closes it tells the
 * caller that those behind it were not read. */
static bool
closes_after (const PhPipelineConnection *c, const PhPipelineRequest *request)
{
  bool is_stopping = c->server->listen_fd < 0 || c->server->node->world->is_stopping;

  return !request->keeps_connection || request->ends_with_connection
         || (is_stopping && c->last.v == request->id.v && c->parsing.v == 0);
}

/* Ends the head: adds the fields of the connection. */
static void
end_head (ResponseHead *head, PhPipelineRequest *request)
{
  PhPipelineConnection *c = head->connection;

  add_date (head);
  if (closes_after (c, request))
    {
      add_field (head, MHD_HTTP_HEADER_CONNECTION, "close");
      request->keeps_connection = false;
      c->is_input_over = true;
    }
  else if (request->is_http_1_0)
    add_field (head, MHD_HTTP_HEADER_CONNECTION, "Keep-Alive");
  write_text (head, "\r\n");
}

/* Writes a whole response with a text as its body. Returns false when memory runs out. */
static bool
end_with_text (ResponseHead *head, PhPipelineRequest *request, const char *text, size_t size)
{
  char length[24];

  snprintf (length, sizeof length, "%zu", size);
  add_field (head, MHD_HTTP_HEADER_CONTENT_LENGTH, length);
  end_head (head, request);
  return !head->is_failed
         && ((request->method != NULL && strcmp (request->method, "HEAD") == 0)
             || ph_pipeline_write (head->connection, text, size));
}

static bool
write_error (PhPipelineConnection *c, PhPipelineRequest *request)
{
  ResponseHead head = { .connection = c };
  const char *reason = request->error_status == MHD_HTTP_SERVICE_UNAVAILABLE
                           ? PH_TABLE_FULL_TEXT
                           : MHD_get_reason_phrase_for ((unsigned)request->error_status);

  write_status (&head, request->error_status);
  add_field (&head, MHD_HTTP_HEADER_CONTENT_TYPE, "text/plain");
  return end_with_text (&head, request, reason, strlen (reason));
}

static bool
write_refusal (PhPipelineConnection *c, PhPipelineRequest *request, const PhExchange *exchange)
{
  ResponseHead head = { .connection = c };
  const PhResponseFields fields = { add_field, &head };
  char text[PH_REFUSAL_TEXT_SIZE];
  size_t size = ph_response_refusal_text (&exchange->refusal, text);

  write_status (&head, ph_response_refusal_status (exchange));
  ph_response_add_refusal_fields (exchange, &fields);
  ph_response_add_node_fields (exchange, &fields);
  return end_with_text (&head, request, text, size);
}

/* Writes the head of the winning forward's response. */
static bool
write_head (PhPipelineConnection *c, PhPipelineRequest *request, const PhExchange *exchange)
{
  PhDispatch *dispatch = exchange->dispatch;
  const PhForward *forward = ph_forward_get (&dispatch->forwards, exchange->winning_forward);
  int64_t length = ph_fetch_length (dispatch->node->fetch, forward->transfer);
  ResponseHead head = { .connection = c };
  const PhResponseFields fields = { add_field, &head };
  char text[24];

  request->has_no_body = strcmp (exchange->method, MHD_HTTP_METHOD_HEAD) == 0
                         || exchange->status == MHD_HTTP_NO_CONTENT
                         || exchange->status == MHD_HTTP_NOT_MODIFIED;
  request->is_chunked = length < 0 && !request->has_no_body && !request->is_http_1_0;
  request->ends_with_connection = length < 0 && !request->has_no_body && request->is_http_1_0;
  c->is_unframed = c->is_unframed || request->ends_with_connection;
  write_status (&head, exchange->status);
  ph_response_add_upstream_fields (exchange, forward->transfer, &fields);
  ph_response_add_node_fields (exchange, &fields);
  if (request->is_chunked)
    add_field (&head, MHD_HTTP_HEADER_TRANSFER_ENCODING, "chunked");
  else if (length >= 0 && exchange->status != MHD_HTTP_NO_CONTENT)
    {
      snprintf (text, sizeof text, "%" PRId64, length);
      add_field (&head, MHD_HTTP_HEADER_CONTENT_LENGTH, text);
    }
  end_head (&head, request);
  return !head.is_failed;
}

typedef enum
{
  PROGRESS_WAITS, /* for the upstream or for the caller to read */
  PROGRESS_ENDED, /* the response is written */
  PROGRESS_FAILED /* the connection has to be closed */
} Progress;

/* Reads one block of the response body to the output, for which reserve_output has made room.
 * Returns its size. */
static size_t
read_block (PhPipelineConnection *c, const PhPipelineRequest *request, const PhForward *forward)
{
  size_t head_size = request->is_chunked ? CHUNK_HEAD_SIZE : 0;
  char head[24];
  char *block;
  size_t count;

  if (request->has_no_body)
    return 0;
  block = c->output + c->output_end + head_size;
  count = ph_fetch_read (c->server->node->fetch, forward->transfer, block,
                         PH_PIPELINE_BLOCK_SIZE - CHUNK_HEAD_SIZE - 2);
  if (count == 0)
    return 0;
  if (request->is_chunked)
    {
      snprintf (head, sizeof head, "%06zx\r\n", count);
      memcpy (block - head_size, head, head_size);
      block[count] = '\r';
      block[count + 1] = '\n';
      c->output_end += head_size + 2;
    }
  c->output_end += count;
  return count;
}

/* Writes as much of the response body as has arrived and may wait to be sent. */
static Progress
write_body (PhPipelineConnection *c, PhPipelineRequest *request, PhExchange *exchange)
{
  PhDispatch *dispatch = exchange->dispatch;
  const PhForward *forward = ph_forward_get (&dispatch->forwards, exchange->winning_forward);

  while (forward != NULL && c->output_end - c->output_begin < PH_PIPELINE_OUTPUT_MAX)
    {
      if (!reserve_output (c, PH_PIPELINE_BLOCK_SIZE))
        return PROGRESS_FAILED;
      if (read_block (c, request, forward) > 0)
        continue;
      if (!exchange->is_response_ended)
        {
          exchange->is_suspended = true;
          return PROGRESS_WAITS;
        }
      if (exchange->is_response_complete)
        return !request->is_chunked || ph_pipeline_write (c, "0\r\n\r\n", 5) ? PROGRESS_ENDED
                                                                             : PROGRESS_FAILED;
      /* A response without a length would pass as complete if the connection ended normally. What
       * was sent of one with a length or in chunks reaches the caller, as do those before it. */
      request->keeps_connection = false;
      return request->ends_with_connection ? PROGRESS_FAILED : PROGRESS_ENDED;
    }
  return forward != NULL ? PROGRESS_WAITS : PROGRESS_FAILED;
}

/* Continues the response to the first request. */
static Progress
write_response (PhPipelineConnection *c, PhPipelineRequest *request)
{
  PhExchange *exchange = ph_pipeline_exchange (request);

  if (exchange == NULL && c->parsing.v == request->id.v)
    return PROGRESS_WAITS; /* its head is being received */
  /* The caller has closed its sending direction within the request: what was written before it is
   * still sent. */
  if (exchange == NULL && request->error_status == 0)
    {
      request->keeps_connection = false;
      return PROGRESS_ENDED;
    }
  if (exchange == NULL)
    return write_error (c, request) ? PROGRESS_ENDED : PROGRESS_FAILED;
  if (request->discarded_bytes > DISCARDED_BYTES_MAX)
    return PROGRESS_FAILED;
  if (exchange->state == PH_EXCHANGE_RESPONDING)
    return write_body (c, request, exchange);
  if (exchange->state != PH_EXCHANGE_WAITING)
    return PROGRESS_WAITS;
  if (!ph_dispatch_is_ready (exchange))
    {
      exchange->is_suspended = true;
      return PROGRESS_WAITS;
    }
  exchange->state = PH_EXCHANGE_RESPONDING;
  if (exchange->is_refused)
    return write_refusal (c, request, exchange) ? PROGRESS_ENDED : PROGRESS_FAILED;
  return write_head (c, request, exchange) ? write_body (c, request, exchange) : PROGRESS_FAILED;
}

void
ph_pipeline_end_request (PhPipelineConnection *c)
{
  PhPipelineServer *server = c->server;
  PhPipelineRequest *request = ph_pipeline_first (c);
  PhExchange *exchange = ph_pipeline_exchange (request);

  if (exchange != NULL)
    ph_dispatch_close (exchange);
  if (c->parsing.v == request->id.v)
    c->parsing.v = 0;
  if (request->next.v != 0)
    server->pipelined_count--;
  else
    c->last.v = 0;
  c->first = request->next;
  c->request_count--;
  free (request->head);
  ph_pipeline_request_remove (&server->requests, request->id);
}

bool
ph_pipeline_respond (PhPipelineConnection *c)
{
  PhPipelineRequest *request;

  while ((request = ph_pipeline_first (c)) != NULL
         && c->output_end - c->output_begin < PH_PIPELINE_OUTPUT_MAX)
    {
      Progress progress = write_response (c, request);
      bool keeps_connection = request->keeps_connection;

      if (progress == PROGRESS_WAITS)
        return true;
      if (progress == PROGRESS_FAILED)
        return false;
      ph_pipeline_end_request (c);
      if (!keeps_connection)
        {
          c->is_input_over = c->closes_after_output = true;
          while (ph_pipeline_first (c) != NULL)
            ph_pipeline_end_request (c);
          return true;
        }
      ph_pipeline_start_held (c);
    }
  return true;
}
