#include "node/request.h"

#include <inttypes.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "node/dialect.h"
#include "pollenhitch/fields.h"

/* Longest deadline that a request may set: 24 h. */
/* Longest time that nodes tell each other. Releases before this one refuse a request with a longer
 * one, and no call lasts as long. */
#define FIELD_MS_MAX ((uint64_t)24 * 3600 * 1000)

void
ph_request_add (PhRequest *request, const char *format, ...)
{
  char *line = request->bytes + request->size;
  size_t space = sizeof request->bytes - request->size;
  va_list args;
  int size;

  va_start (args, format);
  size = vsnprintf (line, space, format, args);
  va_end (args);
  if (size < 0 || (size_t)size >= space || request->count == PH_REQUEST_FIELDS_MAX)
    {
      request->is_full = true;
      return;
    }
  request->fields[request->count++] = line;
  request->size += (size_t)size + 1;
}

/* Adds a field of the caller's request unless it is hop-by-hop or the dialect withholds it. */
static bool
copy_field (void *user, const char *name, const char *value)
{
  PhRequest *request = user;
  const PhDialect *dialect = request->dialect;

  if (!ph_field_is_forwarded (name) || ph_field_is_listed (request->connection_field, name)
      || (dialect->is_forwarded != NULL && !dialect->is_forwarded (dialect->user, name)))
    return true;
  /* libcurl omits the field for "Name:" and sends an empty field for "Name;". */
  if (value == NULL || *value == '\0')
    ph_request_add (request, "%s;", name);
  else
    ph_request_add (request, "%s: %s", name, value);
  return !request->is_full;
}

/* Keeps libcurl from adding its own default fields where the caller sent none. */
static void
suppress_curl_defaults (PhRequest *request, const PhServerRequest *received)
{
  static const char *const defaults[] = { "Accept", "User-Agent", "Content-Type" };

  for (size_t i = 0; i < sizeof defaults / sizeof *defaults; i++)
    if (ph_server_field (received, defaults[i]) == NULL)
      ph_request_add (request, "%s:", defaults[i]);
}

/* A time in milliseconds as it is told to another node. */
static uint64_t
field_ms (PhTime time)
{
  uint64_t ms = time > 0 ? (uint64_t)(time / PH_MS) : 0;

  return ms < FIELD_MS_MAX ? ms : FIELD_MS_MAX;
}

/* Adds the fields of a request to another node. */
static void
add_peer_fields (PhRequest *request, PhNode *node, const PhCall *call, const PhAttempt *attempt)
{
  const PhWorld *world = node->world;
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, attempt->upstream);
  const PhService *service = ph_service_get (&world->services, call->service);
  char id[PH_CALL_ID_TEXT_SIZE];

  ph_call_id_format (call->id, id);
  request->id_hash = ph_hash (id);
  ph_request_add (request, PH_FIELD_CALL ": %s", id);
  ph_request_add (request, PH_FIELD_DEADLINE ": %" PRIu64,
                  field_ms (ph_call_time_left (&node->ctx, call)));
  ph_request_add (request, PH_FIELD_DEPTH ": %d", call->depth);
  if (attempt->is_rerun)
    ph_request_add (request, PH_FIELD_RERUN ": true");
  ph_request_add (request, PH_FIELD_SERVICE ": %s", service->name);
  ph_request_add (request, PH_FIELD_REPEATABLE ": %s", call->is_idempotent ? "true" : "false");
  ph_request_add (request, PH_FIELD_UPSTREAM ": %" PRIu64, upstream->epoch);
  ph_request_add (request, PH_FIELD_CLOCK ": %" PRIu64, ph_clock_now (&node->ctx));
  if (ph_call_has_alternatives (world, call))
    ph_request_add (request, PH_FIELD_OTHERS ": true");
  if (call->priority != 0)
    ph_request_add (request, PH_FIELD_PRIORITY ": %u", call->priority);
  if (call->objective_at != PH_TIME_NEVER)
    ph_request_add (request, PH_FIELD_OBJECTIVE ": %" PRIu64,
                    field_ms (call->objective_at - node->ctx.now));
  if (node->settings.caller_service[0] != '\0')
    ph_request_add (request, PH_FIELD_CALLER ": %s", node->settings.caller_service);
}

/* Adds the report about the route of a call, see chain_reports.h. */
static void
add_chain_report (PhRequest *request, PhNode *node, const PhCall *call)
{
  char text[PH_CHAIN_POOLS_TEXT_SIZE];
  PhChainReport report;

  if (!ph_chain_reports_request (&node->ctx, node->world, call->route, &report))
    return;
  ph_request_add (request, PH_FIELD_CHAIN_ROUTE ": %016" PRIx64, report.route);
  if (report.evidence != 0)
    ph_request_add (request, PH_FIELD_CHAIN_EVIDENCE ": %" PRId32, report.evidence);
  if (report.pool_count == 0)
    return;
  ph_chain_pools_format (&report, text);
  ph_request_add (request, PH_FIELD_CHAIN_POOLS ": %s", text);
}

/* Writes the URL of the attempt: the local upstream, or the peer port of the upstream's node. */
static bool
build_url (PhRequest *request, PhNode *node, const PhExchange *exchange, const PhAttempt *attempt)
{
  const PhUpstream *upstream = ph_upstream_get (&node->world->upstreams, attempt->upstream);
  const PhMember *member = ph_member_get (&node->world->members, upstream->member);
  const char *address = node->settings.upstream_address;
  unsigned port = upstream->port;
  int size;

  if (!attempt->is_local)
    {
      if (member == NULL)
        return false;
      address = member->record.address;
      port = member->record.peer_port;
    }
  size = snprintf (request->url, sizeof request->url, "http://%s:%u%s", address, port,
                   exchange->url);
  if (size >= (int)sizeof request->url
      && asprintf (&request->long_url, "http://%s:%u%s", address, port, exchange->url) < 0)
    request->long_url = NULL;
  return size < (int)sizeof request->url || request->long_url != NULL;
}

bool
ph_request_build (PhRequest *request,
                  PhDispatch *dispatch,
                  const PhExchange *exchange,
                  const PhCall *call,
                  const PhAttempt *attempt,
                  PhError *err)
{
  PhNode *node = dispatch->node;

  request->count = 0;
  request->size = 0;
  request->long_url = NULL;
  request->is_full = false;
  request->id_hash = 0;
  request->dialect = node->dialect;
  request->connection_field = ph_server_field (&exchange->request, MHD_HTTP_HEADER_CONNECTION);
  if (!build_url (request, node, exchange, attempt))
    return ph_error_set (
        err, PH_ERROR_STATE, PH_STEP_CONNECT, NULL,
        "no URL for the upstream: its node is no longer a member, or out of memory for the URL");
  if (attempt->is_local)
    {
      node->dialect->add_upstream_fields (node->dialect->user, node, exchange, call, attempt,
                                          request);
      ph_request_add (request, "Expect:");
    }
  else
    {
      add_peer_fields (request, node, call, attempt);
      add_chain_report (request, node, call);
    }
  suppress_curl_defaults (request, &exchange->request);
  exchange->request.funcs->each_field (exchange->request.handle, copy_field, request);
  request->fields[request->count] = NULL;
  if (!request->is_full)
    return true;
  ph_request_clear (request);
  return ph_error_set (err, PH_ERROR_FULL, PH_STEP_CONNECT, NULL,
                       "the fields of the request are too many or too large to forward");
}

void
ph_request_clear (PhRequest *request)
{
  free (request->long_url);
  request->long_url = NULL;
}

/* Reads a number from a field; *value is unchanged when the field is absent. Returns false when
 * it is malformed or greater than max. */
static bool
parse_field (const PhServerRequest *received, const char *name, uint64_t max, uint64_t *value)
{
  const char *text = ph_server_field (received, name);

  return text == NULL || ph_number_parse (text, max, value);
}

/* Reads the service from the Pollenhitch-Service field or else from the Host field. Returns
 * false when there is no Host field or the name is too long. */
static bool
read_service (const PhServerRequest *received, char *service)
{
  const char *text = ph_server_field (received, PH_FIELD_SERVICE);
  const char *host = ph_server_field (received, MHD_HTTP_HEADER_HOST);

  if (host == NULL)
    return false;
  if (text != NULL)
    return ph_text_copy (service, PH_NAME_MAX, text);
  service[0] = '\0';
  /* A host that names no service is not an error here: the call is then refused for an unknown
   * service. */
  ph_service_from_host (host, service);
  return true;
}

bool
ph_request_options (const PhServerRequest *received,
                    PhOrigin origin,
                    const char *method,
                    PhCallOptions *opts,
                    char *service,
                    uint8_t *id)
{
  const char *repeatable = ph_server_field (received, PH_FIELD_REPEATABLE);
  const char *rerun = ph_server_field (received, PH_FIELD_RERUN);
  const char *call_id = ph_server_field (received, PH_FIELD_CALL);
  uint64_t deadline_ms = 0;
  uint64_t depth = 0;
  uint64_t priority = 0;
  uint64_t objective_ms = 0;

  memset (opts, 0, sizeof *opts);
  opts->origin = origin;
  opts->service = service;
  opts->can_resend = true;
  opts->is_idempotent = ph_method_is_safe (method);
  if (!read_service (received, service)
      || !parse_field (received, PH_FIELD_DEADLINE, FIELD_MS_MAX, &deadline_ms)
      || !parse_field (received, PH_FIELD_DEPTH, UINT8_MAX, &depth))
    return false;
  if (repeatable != NULL && !ph_flag_parse (repeatable, &opts->is_idempotent))
    return false;
  if (rerun != NULL && !ph_flag_parse (rerun, &opts->is_rerun))
    return false;
  opts->time_left = (PhTime)deadline_ms * PH_MS;
  /* A deadline of 0 has passed, whereas time_left of 0 stands for no deadline. */
  if (deadline_ms == 0 && ph_server_field (received, PH_FIELD_DEADLINE) != NULL)
    opts->time_left = 1;
  opts->depth = (uint32_t)depth;
  if (origin != PH_ORIGIN_PEER)
    return true;
  if (call_id == NULL || !ph_call_id_parse (call_id, id))
    return false;
  opts->id = id;
  if (!parse_field (received, PH_FIELD_PRIORITY, UINT8_MAX, &priority)
      || !parse_field (received, PH_FIELD_OBJECTIVE, FIELD_MS_MAX, &objective_ms))
    return false;
  opts->priority = (uint32_t)priority;
  opts->has_alternatives = ph_server_field (received, PH_FIELD_OTHERS) != NULL;
  /* An objective of 0 ms has passed, whereas an objective of 0 stands for none. */
  if (ph_server_field (received, PH_FIELD_OBJECTIVE) != NULL)
    opts->objective = objective_ms > 0 ? (PhTime)objective_ms * PH_MS : 1;
  return parse_field (received, PH_FIELD_UPSTREAM, UINT64_MAX, &opts->upstream_epoch);
}

/* Framing fields of a request. Two of them that differ allow a request to be hidden in the body
 * (request smuggling). */
typedef struct
{
  const char *length;   /* value of Content-Length, or NULL */
  const char *encoding; /* value of Transfer-Encoding, or NULL */
  bool is_ambiguous;    /* a framing field is repeated with another value */
  bool is_malformed;    /* a field name is not a token (RFC 9110, 5.6.2) */
} Framing;

/* Stores the value of a framing field; a second, different value is ambiguous. */
static void
set_framing_value (Framing *framing, const char **stored, const char *value)
{
  if (*stored != NULL && strcmp (*stored, value) != 0)
    framing->is_ambiguous = true;
  *stored = value;
}

static bool
collect_framing (void *user, const char *name, const char *value)
{
  Framing *framing = user;

  if (!ph_field_is_token (name))
    framing->is_malformed = true;
  if (value == NULL)
    return true;
  if (strcasecmp (name, MHD_HTTP_HEADER_CONTENT_LENGTH) == 0)
    set_framing_value (framing, &framing->length, value);
  else if (strcasecmp (name, MHD_HTTP_HEADER_TRANSFER_ENCODING) == 0)
    set_framing_value (framing, &framing->encoding, value);
  return true;
}

bool
ph_request_body_size (const PhServerRequest *received, int64_t *size)
{
  Framing framing = { 0 };
  uint64_t number;

  *size = PH_BODY_NONE;
  received->funcs->each_field (received->handle, collect_framing, &framing);
  if (framing.is_malformed || framing.is_ambiguous
      || (framing.encoding != NULL && framing.length != NULL))
    return false;
  if (framing.encoding != NULL)
    {
      *size = PH_BODY_CHUNKED;
      return strcasecmp (framing.encoding, "chunked") == 0;
    }
  if (framing.length == NULL)
    return true;
  if (!ph_number_parse (framing.length, INT64_MAX, &number))
    return false;
  *size = (int64_t)number;
  return true;
}
