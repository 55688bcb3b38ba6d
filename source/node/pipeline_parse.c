#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "node/pipeline_rows.h"
#include "node/request.h"
#include "pollenhitch/counter.h"

/* Most bytes of the target and the fields of a request, as with libmicrohttpd's memory pool of one
 * connection (listener.c). */
#define HEAD_BYTES_MAX ((size_t)32 * 1024)
#define HEAD_CAPACITY_MIN ((size_t)512)

/* An early response is sent once the body has been read, see DISCARDED_BYTES_MAX in front.c. */
#define DISCARDED_BYTES_MAX ((uint64_t)1024 * 1024 * 1024)

#define STATUS_BAD_REQUEST 400
#define STATUS_URI_TOO_LONG 414
#define STATUS_FIELDS_TOO_LARGE 431
#define STATUS_UNAVAILABLE 503
#define STATUS_VERSION_NOT_SUPPORTED 505

#define CONTINUE_TEXT "HTTP/1.1 100 Continue\r\n\r\n"

static const char *
request_field (void *handle, const char *name)
{
  const PhPipelineRequest *request = handle;
  const char *text = request->head + strlen (request->head) + 1;

  for (uint32_t i = 0; i < request->field_count; i++)
    {
      const char *value = text + strlen (text) + 1;

      if (strcasecmp (text, name) == 0)
        return value;
      text = value + strlen (value) + 1;
    }
  return NULL;
}

static void
each_request_field (void *handle, PhFieldFunc func, void *user)
{
  const PhPipelineRequest *request = handle;
  const char *text = request->head + strlen (request->head) + 1;

  for (uint32_t i = 0; i < request->field_count; i++)
    {
      const char *value = text + strlen (text) + 1;

      if (!func (user, text, value))
        return;
      text = value + strlen (value) + 1;
    }
}

static void
resume_request (void *handle)
{
  const PhPipelineRequest *request = handle;

  ph_pipeline_mark_pending (request->connection);
}

static PhPipelineRequest *
parsing_request (PhPipelineConnection *c)
{
  return ph_pipeline_request_get (&c->server->requests, c->parsing);
}

/* Adds a request at the end of the connection's queue. Returns NULL when the table is full. */
static PhPipelineRequest *
add_request (PhPipelineConnection *c)
{
  PhPipelineServer *server = c->server;
  PhPipelineRequest *last = ph_pipeline_request_get (&server->requests, c->last);
  PhPipelineRequest *request;
  PhPipelineRequestId id = ph_pipeline_request_add (&server->requests, &request);

  if (id.v == 0)
    return NULL;
  request->id = id;
  request->connection = c;
  if (last != NULL)
    {
      last->next = id;
      server->pipelined_count++;
    }
  else
    c->first = id;
  c->last = c->parsing = id;
  c->request_count++;
  return request;
}

/* Appends bytes to the head of a request, with a final zero byte if is_end. Returns false when the
 * head is too large or memory runs out. */
static bool
append_head (PhPipelineRequest *request, const char *bytes, size_t size, bool is_end)
{
  size_t needed = request->head_size + size + 1;

  if (needed > HEAD_BYTES_MAX)
    return false;
  if (needed > request->head_capacity)
    {
      size_t capacity = request->head_capacity > 0 ? request->head_capacity : HEAD_CAPACITY_MIN;
      char *head;

      while (capacity < needed)
        capacity *= 2;
      head = realloc (request->head, capacity);
      if (head == NULL)
        return false;
      request->head = head;
      request->head_capacity = capacity;
    }
  if (size > 0)
    memcpy (request->head + request->head_size, bytes, size);
  request->head_size += size;
  if (is_end)
    request->head[request->head_size++] = '\0';
  return true;
}

/* Ends the value of a field: white space behind it is no part of it (RFC 9112, 5.1). */
static bool
end_value (PhPipelineRequest *request)
{
  while (request->head_size > 0
         && (request->head[request->head_size - 1] == ' '
             || request->head[request->head_size - 1] == '\t'))
    request->head_size--;
  return append_head (request, NULL, 0, true);
}

static int
on_message_begin (http_parser *parser)
{
  PhPipelineConnection *c = parser->data;

  c->is_value_last = false;
  return add_request (c) != NULL ? 0 : 1;
}

static int
on_url (http_parser *parser, const char *bytes, size_t size)
{
  PhPipelineConnection *c = parser->data;
  PhPipelineRequest *request = parsing_request (c);

  if (append_head (request, bytes, size, false))
    return 0;
  request->error_status = STATUS_URI_TOO_LONG;
  return 1;
}

static int
on_header_field (http_parser *parser, const char *bytes, size_t size)
{
  PhPipelineConnection *c = parser->data;
  PhPipelineRequest *request = parsing_request (c);
  bool is_new = request->field_count == 0 || c->is_value_last;

  /* Trailer fields are no fields of the head (RFC 9110, 6.5.1): they are dropped. */
  if (request->exchange.v != 0)
    return 0;
  if (is_new)
    request->field_count++;
  if ((!is_new || (c->is_value_last ? end_value (request) : append_head (request, NULL, 0, true)))
      && append_head (request, bytes, size, false))
    {
      c->is_value_last = false;
      return 0;
    }
  request->error_status = STATUS_FIELDS_TOO_LARGE;
  return 1;
}

/* Whether bytes may stand in the value of a field (RFC 9110, 5.5). http-parser does not check the
 * first one; a zero byte would end the value where the next field is expected. */
static bool
is_value_text (const char *bytes, size_t size)
{
  for (size_t i = 0; i < size; i++)
    if (((unsigned char)bytes[i] < ' ' && bytes[i] != '\t') || bytes[i] == '\x7f')
      return false;
  return true;
}

static int
on_header_value (http_parser *parser, const char *bytes, size_t size)
{
  PhPipelineConnection *c = parser->data;
  PhPipelineRequest *request = parsing_request (c);

  if (request->exchange.v != 0)
    return 0;
  if (!is_value_text (bytes, size))
    {
      request->error_status = STATUS_BAD_REQUEST;
      return 1;
    }
  if ((c->is_value_last || append_head (request, NULL, 0, true))
      && append_head (request, bytes, size, false))
    {
      c->is_value_last = true;
      return 0;
    }
  request->error_status = STATUS_FIELDS_TOO_LARGE;
  return 1;
}

static int
on_headers_complete (http_parser *parser)
{
  static const PhServerFuncs funcs = { request_field, each_request_field, resume_request };
  PhPipelineConnection *c = parser->data;
  PhPipelineRequest *request = parsing_request (c);
  PhDispatch *dispatch = c->server->node->dispatch;
  const char *expect;
  PhExchange *exchange;
  int64_t body_size;

  if (!(c->is_value_last ? end_value (request) : append_head (request, NULL, 0, true)))
    {
      request->error_status = STATUS_FIELDS_TOO_LARGE;
      return -1;
    }
  if (parser->http_major > 1)
    {
      request->error_status = STATUS_VERSION_NOT_SUPPORTED;
      return -1;
    }
  /* No protocol is upgraded: the body of such a request is read like any other. */
  parser->upgrade = 0;
  request->method = http_method_str ((enum http_method)parser->method);
  request->is_http_1_0 = parser->http_major == 0 || parser->http_minor == 0;
  request->keeps_connection = http_should_keep_alive (parser) != 0;
  expect = request_field (request, "Expect");
  request->expects_continue
      = !request->is_http_1_0 && expect != NULL && strcasecmp (expect, "100-continue") == 0;
  exchange = ph_dispatch_add (dispatch, (PhServerRequest){ &funcs, request }, PH_ORIGIN_CALLER,
                              request->head);
  if (exchange == NULL)
    {
      request->error_status = STATUS_UNAVAILABLE;
      return -1;
    }
  request->exchange = exchange->id;
  /* Where the next request begins is not known (request smuggling). */
  if (!ph_request_body_size (&exchange->request, &body_size))
    request->keeps_connection = false;
  request->is_held = !ph_dispatch_read (exchange, request->method) && c->request_count > 1;
  if (c->is_caller_gone)
    ph_dispatch_caller_closed (exchange);
  if (!request->is_held)
    {
      ph_dispatch_start (exchange);
      if (c->request_count > 1 && exchange->call.v != 0)
        ph_count (&c->server->node->ctx, PH_COUNT_CALLS_PIPELINED, 1);
    }
  if (!exchange->is_body_complete)
    http_parser_pause (parser, 1);
  return 0;
}

/* Passes body bytes to the exchange, or discards them once a response is ready and no forward takes
 * them any more. Returns how many were taken. */
static size_t
take_body (PhPipelineRequest *request, const char *bytes, size_t size)
{
  PhExchange *exchange = ph_pipeline_exchange (request);
  size_t count;

  if (ph_dispatch_is_ready (exchange) && !ph_dispatch_takes_body (exchange))
    {
      request->discarded_bytes += size;
      return size;
    }
  count = ph_dispatch_body (exchange, bytes, size);
  if (count < size)
    {
      ph_dispatch_body_blocked (exchange);
      exchange->is_suspended = true;
    }
  return count;
}

static int
on_body (http_parser *parser, const char *bytes, size_t size)
{
  PhPipelineConnection *c = parser->data;
  size_t count = take_body (parsing_request (c), bytes, size);

  c->body_rest = bytes + count;
  c->body_rest_size = size - count;
  if (c->body_rest_size > 0)
    http_parser_pause (parser, 1);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  PhPipelineConnection *c = parser->data;
  PhPipelineRequest *request = parsing_request (c);
  PhExchange *exchange = ph_pipeline_exchange (request);

  if (exchange->state == PH_EXCHANGE_BODY)
    ph_dispatch_body_end (exchange);
  else
    exchange->state = PH_EXCHANGE_WAITING;
  c->parsing.v = 0;
  if (!request->keeps_connection)
    c->is_input_over = true;
  http_parser_pause (parser, 1);
  return 0;
}

/* Whether the next request of the connection may be read now. */
static bool
may_read_next (PhPipelineConnection *c)
{
  const PhPipelineServer *server = c->server;
  const PhPipelineRequest *last = ph_pipeline_request_get (&server->requests, c->last);
  const PhExchange *exchange = last != NULL ? ph_pipeline_exchange (last) : NULL;

  if (last == NULL)
    return true;
  return c->request_count < server->opts.requests_max
         && server->pipelined_count < PH_PIPELINED_REQUESTS_MAX && !server->node->world->is_stopping
         && !last->is_held && exchange != NULL
         && (exchange->is_refused || exchange->opts.is_idempotent);
}

/* Continues a request whose head is complete and whose body is not. Returns false while the body
 * may not be read yet. */
static bool
begin_body (PhPipelineConnection *c, PhPipelineRequest *request, PhExchange *exchange)
{
  bool is_ready = ph_dispatch_is_ready (exchange);

  if (request->is_held)
    return false;
  if (is_ready && request->expects_continue)
    {
      exchange->state = PH_EXCHANGE_WAITING;
      request->keeps_connection = false;
      c->is_input_over = true;
      c->parsing.v = 0;
      return false;
    }
  if (!is_ready && !exchange->is_body_requested)
    {
      exchange->is_suspended = true;
      return false;
    }
  if (request->expects_continue)
    {
      /* The interim response has its place behind the responses to earlier requests. */
      if (c->first.v != request->id.v)
        return false;
      if (!ph_pipeline_write (c, CONTINUE_TEXT, sizeof CONTINUE_TEXT - 1))
        return false;
      request->expects_continue = false;
    }
  exchange->state = PH_EXCHANGE_BODY;
  return true;
}

/* Whether the parser may continue: takes what is left of a body first. */
static bool
may_parse (PhPipelineConnection *c)
{
  PhPipelineRequest *request = parsing_request (c);
  PhExchange *exchange = request != NULL ? ph_pipeline_exchange (request) : NULL;
  size_t count;

  if (c->is_input_over)
    return false;
  if (request == NULL)
    return may_read_next (c);
  if (exchange == NULL)
    return true; /* its head is being read */
  if (exchange->state == PH_EXCHANGE_HEAD && !exchange->is_body_complete
      && !begin_body (c, request, exchange))
    return false;
  if (c->body_rest_size == 0)
    return request->discarded_bytes <= DISCARDED_BYTES_MAX;
  count = take_body (request, c->body_rest, c->body_rest_size);
  c->body_rest += count;
  c->body_rest_size -= count;
  return c->body_rest_size == 0 && request->discarded_bytes <= DISCARDED_BYTES_MAX;
}

void
ph_pipeline_reject (PhPipelineConnection *c, int status)
{
  PhPipelineRequest *request = parsing_request (c);
  PhExchange *exchange;

  c->is_input_over = true;
  c->body_rest_size = 0;
  if (request == NULL)
    request = add_request (c);
  if (request == NULL)
    return;
  c->parsing.v = 0;
  exchange = ph_pipeline_exchange (request);
  if (exchange != NULL)
    ph_dispatch_close (exchange);
  request->exchange.v = 0;
  request->keeps_connection = false;
  if (request->error_status == 0)
    request->error_status = status;
}

bool
ph_pipeline_parse (PhPipelineConnection *c)
{
  static const http_parser_settings settings = { .on_message_begin = on_message_begin,
                                                 .on_url = on_url,
                                                 .on_header_field = on_header_field,
                                                 .on_header_value = on_header_value,
                                                 .on_headers_complete = on_headers_complete,
                                                 .on_body = on_body,
                                                 .on_message_complete = on_message_complete };
  size_t begin = c->input_begin;

  /* A parser that has stopped behind the last byte of a body still has to end the message. */
  while (may_parse (c) && c->input_begin < c->input_end)
    {
      enum http_errno error;

      http_parser_pause (&c->parser, 0);
      c->input_begin += http_parser_execute (&c->parser, &settings, c->input + c->input_begin,
                                             c->input_end - c->input_begin);
      error = HTTP_PARSER_ERRNO (&c->parser);
      if (error != HPE_OK && error != HPE_PAUSED)
        {
          ph_pipeline_reject (c, STATUS_BAD_REQUEST);
          break;
        }
    }
  return c->input_begin != begin;
}

bool
ph_pipeline_wants_input (PhPipelineConnection *c)
{
  return c->input_begin == c->input_end && may_parse (c);
}

bool
ph_pipeline_waits_for_body (PhPipelineConnection *c)
{
  const PhPipelineRequest *request = parsing_request (c);
  const PhExchange *exchange = request != NULL ? ph_pipeline_exchange (request) : NULL;

  if (request == NULL)
    return false;
  return exchange == NULL || (exchange->state == PH_EXCHANGE_BODY && c->body_rest_size == 0);
}

void
ph_pipeline_start_held (PhPipelineConnection *c)
{
  PhPipelineRequest *request = ph_pipeline_first (c);

  if (request == NULL || !request->is_held)
    return;
  request->is_held = false;
  ph_dispatch_start (ph_pipeline_exchange (request));
}
