#include "node/dispatch.h"

#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "node/dialect.h"
#include "node/request.h"
#include "pollenhitch/fields.h"
#include "pollenhitch/load_view.h"
#include "pollenhitch/move.h"
#include "pollenhitch/trace.h"

/* Longest idle time of a connection that is reused: below the idle timeouts of common HTTP servers
 * and of this one. A connection that the upstream closes just as a request is sent leaves it
 * unknown whether the request was run, so calls that are not idempotent have the shorter limit. */
#define NON_IDEMPOTENT_IDLE_MAX (2 * PH_SECOND)
#define CONNECTION_IDLE_MAX (30 * PH_SECOND)

/* Bytes of the bodies of requests that are held for upstreams which read slowly, beside those of
 * PH_BUFFER_UNPOOLED. Uploads take 64 KiB in libcurl and the connection each as well: 300 of them,
 * as many as a fleet of 49 upstreams with 6 slots runs, leave half of a node with 160 MB. */
#define BODY_POOL_SIZE ((size_t)16 * 1024 * 1024)

/* Queues an exchange for the next tick. */
static void
mark_pending (PhExchange *exchange)
{
  if (exchange->is_pending)
    return;
  exchange->is_pending = ph_queue_push (&exchange->dispatch->pending, exchange->id.v);
}

static PhExchange *
exchange_of_call (PhDispatch *dispatch, PhCallId id)
{
  PhCall *call = ph_call_get (&dispatch->node->world->calls, id);

  return call != NULL ? call->user : NULL;
}

static PhForward *
forward_of_attempt (PhDispatch *dispatch, PhAttemptId id)
{
  PhAttempt *attempt = ph_attempt_get (&dispatch->node->world->attempts, id);

  return attempt != NULL ? attempt->user : NULL;
}

static void
drop_forward (PhDispatch *dispatch, PhForward *forward)
{
  PhExchange *exchange = ph_exchange_get (&dispatch->exchanges, forward->exchange);

  if (exchange != NULL)
    for (int i = 0; i < 2; i++)
      if (exchange->forwards[i].v == forward->id.v)
        exchange->forwards[i].v = 0;
  ph_fetch_drop_transfer (dispatch->node->fetch, forward->transfer);
  ph_forward_remove (&dispatch->forwards, forward->id);
}

/* Discards request bytes that every forward has sent, when the buffer is full. The call cannot
 * be sent again from then on, and its attempts that have no forward yet are cancelled. */
static void
trim_body (PhExchange *exchange)
{
  PhDispatch *dispatch = exchange->dispatch;
  PhNode *node = dispatch->node;
  uint64_t min_offset = UINT64_MAX;

  if (ph_buffer_free_space (&exchange->body) > 0)
    return;
  for (int i = 0; i < 2; i++)
    {
      PhForward *forward = ph_forward_get (&dispatch->forwards, exchange->forwards[i]);

      if (forward != NULL && forward->body_offset < min_offset)
        min_offset = forward->body_offset;
    }
  if (min_offset == UINT64_MAX || min_offset <= exchange->body.begin)
    return;
  ph_buffer_trim (&exchange->body, min_offset);
  ph_call_body_discarded (&node->ctx, node->world, exchange->call);
}

/* Supplies request bytes to libcurl; see PhTransferFuncs. */
static long
read_body (void *user, char *buffer, size_t size)
{
  PhForward *forward = user;
  PhExchange *exchange = ph_exchange_get (&forward->dispatch->exchanges, forward->exchange);
  size_t copied;

  /* Bytes that were discarded before they were sent are no end of the body. */
  if (exchange == NULL || forward->body_offset < exchange->body.begin)
    return PH_READ_ABORT;
  copied = ph_buffer_copy (&exchange->body, forward->body_offset, buffer, size);
  forward->body_offset += copied;
  if (copied > 0)
    {
      /* Space becomes free as bytes are sent: the server connection may wait for it. */
      if (exchange->is_suspended && !exchange->is_body_complete)
        mark_pending (exchange);
      return (long)copied;
    }
  if (exchange->is_body_complete)
    return 0;
  forward->is_waiting_for_body = true;
  exchange->is_body_requested = true;
  mark_pending (exchange);
  return PH_READ_PAUSE;
}

/* Drops a forward and reports the failure of its attempt. */
static void
fail_forward (PhForward *forward, PhRun run, PhReason reason)
{
  PhDispatch *dispatch = forward->dispatch;
  PhAttemptId attempt = forward->attempt;
  PhNode *node = dispatch->node;

  drop_forward (dispatch, forward);
  ph_attempt_fail (&node->ctx, node->world, attempt, run, reason);
}

/* How a response is treated: forwarded, or rejected with this run and reason. */
typedef struct
{
  bool matches_request; /* false: it belongs to another request */
  bool is_identified;   /* see PhResponseHead */
  bool is_rejected;     /* a refusal, or a response that must not be forwarded */
  PhRun run;
  PhReason reason;
} Classification;

/* Applies the load report, the clock and the report about the route that a response carries. */
static void
apply_reports (PhForward *forward)
{
  PhNode *node = forward->dispatch->node;
  const char *text = ph_fetch_field (node->fetch, forward->transfer, PH_FIELD_LOAD);
  const char *loads_text = ph_fetch_field (node->fetch, forward->transfer, PH_FIELD_LOADS);
  PhLoadEntry entries[PH_LOADS_MAX];
  PhLoad load;
  uint64_t clock;
  PhChainReport report;

  if (loads_text != NULL && !forward->is_local)
    ph_load_view_apply (&node->ctx, node->world, entries, ph_loads_parse (loads_text, entries));
  if (text != NULL && ph_load_parse (text, &load))
    ph_upstream_report_load (&node->ctx, node->world, forward->upstream, &load);
  text = forward->is_local ? NULL : ph_fetch_field (node->fetch, forward->transfer, PH_FIELD_CLOCK);
  if (text != NULL && ph_number_parse (text, UINT64_MAX, &clock))
    ph_clock_merge (&node->ctx, clock);
  text = forward->is_local ? NULL
                           : ph_fetch_field (node->fetch, forward->transfer, PH_FIELD_CHAIN_POOLS);
  if (text != NULL && ph_chain_pools_parse (text, &report))
    ph_chain_reports_receive_response (&node->ctx, node->world, forward->route, &report);
}

/* Classifies the response of another node. */
static void
classify_peer_response (PhForward *forward, const PhExchange *exchange, Classification *result)
{
  PhFetch *fetch = forward->dispatch->node->fetch;
  const char *id_text = ph_fetch_field (fetch, forward->transfer, PH_FIELD_CALL);
  const char *run_text = ph_fetch_field (fetch, forward->transfer, PH_FIELD_RUN);
  const char *reason_text = ph_fetch_field (fetch, forward->transfer, PH_FIELD_REASON);
  uint8_t id[PH_CALL_ID_SIZE];

  result->matches_request = id_text != NULL && ph_call_id_parse (id_text, id)
                            && ph_fetch_field_count (fetch, forward->transfer, PH_FIELD_CALL) == 1
                            && memcmp (id, exchange->call_id, sizeof id) == 0;
  result->is_identified = id_text != NULL;
  result->is_rejected = run_text != NULL && reason_text != NULL
                        && ph_run_parse (run_text, &result->run)
                        && ph_reason_parse (reason_text, &result->reason);
}

/* Classifies the response of the local upstream with the dialect. */
static void
classify_upstream_response (PhForward *forward,
                            const PhExchange *exchange,
                            int status,
                            Classification *result)
{
  PhNode *node = forward->dispatch->node;
  const PhDialect *dialect = node->dialect;
  PhResponseHead upstream_head = { .matches_request = true, .is_run = true };

  dialect->read_response (dialect->user, node, exchange, forward->transfer, status, &upstream_head);
  if (upstream_head.slowdown_percent != 0)
    ph_admission_report_slowdown (&node->ctx, node->world, upstream_head.slowdown_percent);
  result->matches_request = upstream_head.matches_request;
  result->is_identified = upstream_head.is_identified;
  result->is_rejected = !upstream_head.is_run || upstream_head.reject_reason != PH_REASON_NONE;
  result->run = upstream_head.is_run ? PH_RUN_YES : PH_RUN_NO;
  result->reason
      = upstream_head.is_run ? upstream_head.reject_reason : upstream_head.refusal_reason;
}

/* Whether a complete response body can be distinguished from a truncated one (RFC 9112, 6.3). */
static bool
has_framing (PhForward *forward, const PhExchange *exchange, int status)
{
  PhFetch *fetch = forward->dispatch->node->fetch;
  const char *encoding
      = ph_fetch_field (fetch, forward->transfer, MHD_HTTP_HEADER_TRANSFER_ENCODING);

  return strcmp (exchange->method, "HEAD") == 0 || status == MHD_HTTP_NO_CONTENT
         || status == MHD_HTTP_NOT_MODIFIED || ph_fetch_length (fetch, forward->transfer) >= 0
         || (encoding != NULL && strcasecmp (encoding, "chunked") == 0);
}

/* Whether a status is an error of the upstream itself. 502 and 504 are errors of a service that
 * it depends on, and another upstream would respond in the same way. */
static bool
is_upstream_error_status (int status)
{
  return status >= MHD_HTTP_INTERNAL_SERVER_ERROR && status != MHD_HTTP_BAD_GATEWAY
         && status != MHD_HTTP_GATEWAY_TIMEOUT;
}

/* Logs, at debug, where the response of an attempt came from. */
static void
log_response (PhForward *forward, const PhExchange *exchange, const PhAttempt *attempt, int status)
{
  PhNode *node = forward->dispatch->node;
  const char *peer = attempt != NULL ? ph_trace_peer (node->world, attempt) : NULL;
  PhTransferTrace trace;
  char id[PH_CALL_ID_TEXT_SIZE];

  if (!node->ctx.logs_events)
    return;
  trace = ph_fetch_trace (node->fetch, forward->transfer);
  ph_call_id_format (exchange->call_id, id);
  ph_log (&node->ctx, PH_LOG_DEBUG, PH_STEP_RESPONSE, id,
          "response of %s: status %d, connection %llu, request %u on it, %lld us after the send",
          peer != NULL ? peer : "an unknown VM", status, (unsigned long long)trace.connection,
          trace.request_number, (long long)(node->ctx.now - trace.sent_at));
}

/* The head of a response has been received: selects the response for the caller, or fails the
 * attempt. */
static void
on_head (void *user, PhTransferId id, int status)
{
  PhForward *forward = user;
  PhDispatch *dispatch = forward->dispatch;
  PhNode *node = dispatch->node;
  PhExchange *exchange = ph_exchange_get (&dispatch->exchanges, forward->exchange);
  PhAttempt *attempt = ph_attempt_get (&node->world->attempts, forward->attempt);
  Classification result = { 0 };

  (void)id;
  if (exchange == NULL)
    {
      ph_fetch_retire_connection (node->fetch, forward->transfer);
      drop_forward (dispatch, forward);
      return;
    }
  apply_reports (forward);
  log_response (forward, exchange, attempt, status);
  if (forward->is_local)
    classify_upstream_response (forward, exchange, status, &result);
  else
    classify_peer_response (forward, exchange, &result);
  /* The response to this request may still arrive on the connection of one to another request. */
  if (!result.matches_request || !result.is_identified)
    ph_fetch_retire_connection (node->fetch, forward->transfer);
  if (!result.matches_request)
    {
      ph_log (&node->ctx, PH_LOG_ERROR, PH_STEP_RESPONSE,
              attempt != NULL ? ph_trace_peer (node->world, attempt) : NULL,
              "the response does not carry the id of this call; dropping it");
      fail_forward (forward, PH_RUN_UNKNOWN, PH_REASON_MISMATCHED_RESPONSE);
      return;
    }
  if (result.is_rejected)
    {
      fail_forward (forward, result.run, result.reason);
      return;
    }
  if (!(forward->is_local && node->dialect->passes_unframed_responses)
      && !has_framing (forward, exchange, status))
    {
      fail_forward (forward, PH_RUN_YES, PH_REASON_UNFRAMED_RESPONSE);
      return;
    }
  if (node->dialect->retries_upstream_errors && is_upstream_error_status (status)
      && ph_attempt_should_rerun (&node->ctx, node->world, forward->attempt))
    {
      fail_forward (forward, PH_RUN_YES, PH_REASON_UPSTREAM_ERROR);
      return;
    }
  if (!ph_attempt_response (&node->ctx, node->world, forward->attempt))
    {
      drop_forward (dispatch, forward);
      return;
    }
  if (attempt != NULL)
    {
      attempt->is_dependency_error
          = status == MHD_HTTP_BAD_GATEWAY || status == MHD_HTTP_GATEWAY_TIMEOUT;
      attempt->is_error = is_upstream_error_status (status);
    }
  exchange->winning_forward = forward->id;
  exchange->status = status;
  mark_pending (exchange);
}

static void
on_data (void *user, PhTransferId id)
{
  PhForward *forward = user;
  PhExchange *exchange = ph_exchange_get (&forward->dispatch->exchanges, forward->exchange);

  (void)id;
  if (exchange != NULL && exchange->winning_forward.v == forward->id.v)
    mark_pending (exchange);
}

/* A transfer has ended: a winning forward ends the call's response, another one fails its
 * attempt. */
static void
on_done (void *user, PhTransferId id, const PhTransferResult *result)
{
  PhForward *forward = user;
  PhNode *node = forward->dispatch->node;
  PhExchange *exchange = ph_exchange_get (&forward->dispatch->exchanges, forward->exchange);

  (void)id;
  if (result->is_head_rejected)
    {
      const PhAttempt *attempt = ph_attempt_get (&node->world->attempts, forward->attempt);

      ph_log (&node->ctx, PH_LOG_WARNING, PH_STEP_RESPONSE,
              attempt != NULL ? ph_trace_peer (node->world, attempt) : NULL,
              "response rejected: %s", result->text);
    }
  if (exchange == NULL || exchange->winning_forward.v != forward->id.v)
    {
      fail_forward (forward, result->is_sent ? PH_RUN_UNKNOWN : PH_RUN_NO,
                    result->is_sent ? PH_REASON_CONNECTION_LOST : PH_REASON_CONNECT);
      return;
    }
  exchange->is_response_ended = true;
  exchange->is_response_complete = result->is_ok;
  exchange->call.v = 0;
  mark_pending (exchange);
  ph_attempt_finish (&node->ctx, node->world, forward->attempt, result->is_ok);
}

/* An effect of the world: starts the transfer of an attempt. A transfer that cannot be started
 * fails in the next run of ph_dispatch_system, since the world must not be called from here. */
static void
start_attempt (void *user, PhAttemptId id)
{
  static const PhTransferFuncs funcs = { read_body, on_head, on_data, on_done };
  PhNode *node = user;
  PhDispatch *dispatch = node->dispatch;
  PhAttempt *attempt = ph_attempt_get (&node->world->attempts, id);
  PhCall *call = ph_call_get (&node->world->calls, attempt->call);
  PhExchange *exchange = call->user;
  PhRequest request;
  PhForward *forward;
  PhForwardId forward_id = ph_forward_add (&dispatch->forwards, &forward);
  PhTransferOptions opts = { 0 };
  PhError err;

  /* The table of forwards has as many rows as that of attempts. */
  if (forward_id.v == 0)
    abort ();
  forward->id = forward_id;
  forward->dispatch = dispatch;
  forward->exchange = exchange->id;
  forward->attempt = id;
  forward->upstream = attempt->upstream;
  forward->route = call->route;
  forward->is_local = attempt->is_local;
  attempt->user = forward;
  exchange->forwards[exchange->forwards[0].v != 0 ? 1 : 0] = forward_id;
  if (!ph_request_build (&request, dispatch, exchange, call, attempt, &err))
    goto fail;
  opts.method = exchange->method;
  opts.url = request.long_url != NULL ? request.long_url : request.url;
  opts.fields = request.fields;
  opts.body_size = exchange->body_size;
  opts.id_hash = request.id_hash;
  /* The upstream may close a reused connection just as the request is sent, which leaves it
   * unknown whether the request was run. */
  opts.connection_idle_max
      = attempt->is_local && !call->is_idempotent ? NON_IDEMPOTENT_IDLE_MAX : CONNECTION_IDLE_MAX;
  opts.funcs = funcs;
  opts.user = forward;
  forward->transfer = ph_fetch_start (node->fetch, &opts, &err);
  ph_request_clear (&request);
  if (forward->transfer.v != 0)
    return;

fail:
  ph_log_error (&node->ctx, PH_LOG_WARNING, &err);
  ph_queue_push (&dispatch->unstarted, forward_id.v);
}

static void
cancel_attempt (void *user, PhAttemptId id)
{
  PhNode *node = user;
  PhForward *forward = forward_of_attempt (node->dispatch, id);

  if (forward != NULL)
    drop_forward (node->dispatch, forward);
}

static uint64_t
response_progress (void *user, PhAttemptId id)
{
  PhNode *node = user;
  const PhForward *forward = forward_of_attempt (node->dispatch, id);

  return forward != NULL ? ph_fetch_progress (node->fetch, forward->transfer) : PH_PROGRESS_HELD;
}

/* Aborts the transfer of a response; on_done follows. */
static void
end_response (void *user, PhAttemptId id)
{
  PhNode *node = user;
  const PhForward *forward = forward_of_attempt (node->dispatch, id);

  if (forward != NULL)
    ph_fetch_abort (node->fetch, forward->transfer);
}

static void
refuse_call (void *user, PhCallId id, const PhRefusal *refusal)
{
  PhNode *node = user;
  PhExchange *exchange = exchange_of_call (node->dispatch, id);

  exchange->is_refused = true;
  exchange->refusal = *refusal;
  exchange->call.v = 0;
  mark_pending (exchange);
}

void
ph_dispatch_effects (PhEffects *effects)
{
  effects->start_attempt = start_attempt;
  effects->cancel_attempt = cancel_attempt;
  effects->response_progress = response_progress;
  effects->end_response = end_response;
  effects->refuse_call = refuse_call;
}

PhDispatch *
ph_dispatch_new (PhNode *node, uint32_t calls, PhError *err)
{
  PhDispatch *dispatch = calloc (1, sizeof *dispatch);

  if (dispatch == NULL)
    {
      ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_SETTINGS, NULL,
                    "out of memory for the tables of exchanges and forwards");
      return NULL;
    }
  dispatch->node = node;
  dispatch->body_pool.max = BODY_POOL_SIZE;
  if (ph_table_init (&dispatch->exchanges, sizeof (PhExchange), calls, err)
      && ph_table_init (&dispatch->forwards, sizeof (PhForward), calls * 2, err)
      && ph_queue_init (&dispatch->pending, calls * 4, err)
      && ph_queue_init (&dispatch->unstarted, calls * 4, err))
    return dispatch;
  ph_dispatch_drop (dispatch);
  return NULL;
}

void
ph_dispatch_drop (PhDispatch *dispatch)
{
  if (dispatch == NULL)
    return;
  ph_table_clear (&dispatch->exchanges);
  ph_table_clear (&dispatch->forwards);
  ph_queue_clear (&dispatch->pending);
  ph_queue_clear (&dispatch->unstarted);
  free (dispatch);
}

/* Refuses an exchange that has no call. */
static void
refuse_before_open (PhExchange *exchange, PhReason reason)
{
  exchange->is_refused = true;
  exchange->refusal
      = (PhRefusal){ .status = ph_reason_status (reason), .run = PH_RUN_NO, .reason = reason };
}

/* Merges the clock of the node that sent the call. */
static void
merge_sender_clock (PhExchange *exchange)
{
  const char *text = ph_server_field (&exchange->request, PH_FIELD_CLOCK);
  uint64_t clock;

  if (exchange->origin == PH_ORIGIN_PEER && text != NULL
      && ph_number_parse (text, UINT64_MAX, &clock))
    ph_clock_merge (&exchange->dispatch->node->ctx, clock);
}

/* Applies what another node reports about the route of its call. A value that is not valid is
 * ignored. */
static void
receive_chain_report (PhExchange *exchange)
{
  PhNode *node = exchange->dispatch->node;
  const char *route = ph_server_field (&exchange->request, PH_FIELD_CHAIN_ROUTE);
  const char *evidence = ph_server_field (&exchange->request, PH_FIELD_CHAIN_EVIDENCE);
  const char *pools = ph_server_field (&exchange->request, PH_FIELD_CHAIN_POOLS);
  PhChainReport report = { 0 };

  if (exchange->origin != PH_ORIGIN_PEER || route == NULL
      || !ph_chain_route_parse (route, &report.route))
    return;
  exchange->chain_route = report.route;
  if (evidence != NULL
      && !ph_chain_evidence_parse (evidence, PH_CHAIN_EVIDENCE_MAX, &report.evidence))
    report.evidence = 0;
  if (pools != NULL)
    ph_chain_pools_parse (pools, &report);
  ph_chain_reports_receive (&node->ctx, node->world, &report);
}

/* Fills in opts from the request. Returns the reason to refuse it before a call is opened, or
 * PH_REASON_NONE. */
static PhReason
read_request (PhExchange *exchange, PhCallOptions *opts, char *service, uint8_t *id)
{
  PhNode *node = exchange->dispatch->node;
  const PhDialect *dialect = node->dialect;

  if (exchange->url == NULL || !ph_request_body_size (&exchange->request, &exchange->body_size))
    return PH_REASON_BAD_REQUEST;
  if (exchange->origin == PH_ORIGIN_CALLER && node->world->caller_limits.body_bytes_max != 0
      && exchange->body_size > (int64_t)node->world->caller_limits.body_bytes_max)
    return PH_REASON_TOO_LARGE;
  if (exchange->origin == PH_ORIGIN_CALLER)
    return dialect->read_request (dialect->user, node, &exchange->request, exchange->method,
                                  exchange->url, opts, service, id);
  return ph_request_options (&exchange->request, exchange->origin, exchange->method, opts, service,
                             id)
             ? PH_REASON_NONE
             : PH_REASON_BAD_REQUEST;
}

/* Time that is left of a limit which began when the head arrived, at least 1. */
static PhTime
time_left (PhTime limit, PhTime waited)
{
  if (limit == 0)
    return 0;
  return limit > waited ? limit - waited : 1;
}

/* Copies path and query of a request target in origin form or absolute form (RFC 9112, 3.2).
 * Returns NULL for other forms. */
static char *
copy_path_and_query (const char *uri)
{
  const char *authority = strncasecmp (uri, "http://", 7) == 0 ? uri + 7 : NULL;
  const char *path = authority != NULL ? strpbrk (authority, "/?") : uri;

  if (authority != NULL && path == NULL)
    return strdup ("/");
  return path[0] == '/' ? strdup (path) : NULL;
}

PhExchange *
ph_dispatch_add (PhDispatch *dispatch, PhServerRequest request, PhOrigin origin, const char *uri)
{
  PhExchange *exchange;
  PhExchangeId id = ph_exchange_add (&dispatch->exchanges, &exchange);

  if (id.v == 0)
    return NULL;
  exchange->id = id;
  exchange->dispatch = dispatch;
  exchange->request = request;
  exchange->origin = origin;
  exchange->url = copy_path_and_query (uri);
  ph_buffer_init (&exchange->body, PH_BODY_BUFFER_SIZE, &dispatch->body_pool);
  return exchange;
}

bool
ph_dispatch_read (PhExchange *exchange, const char *method)
{
  PhReason reason;

  ph_node_update_clock (exchange->dispatch->node);
  exchange->method = method;
  exchange->state = PH_EXCHANGE_HEAD;
  exchange->arrived_at = exchange->dispatch->node->ctx.now;
  reason = read_request (exchange, &exchange->opts, exchange->service, exchange->call_id);
  if (reason != PH_REASON_NONE || exchange->opts.id == NULL)
    memset (exchange->call_id, 0, sizeof exchange->call_id);
  if (reason != PH_REASON_NONE)
    {
      refuse_before_open (exchange, reason);
      return true;
    }
  exchange->is_body_complete = exchange->body_size == PH_BODY_NONE || exchange->body_size == 0;
  exchange->opts.user = exchange;
  exchange->opts.route_bucket = ph_move_route_bucket (exchange->method, exchange->url);
  exchange->opts.route_key = ph_run_gate_route_key (
      exchange->dispatch->node->world, ph_server_field (&exchange->request, MHD_HTTP_HEADER_HOST),
      exchange->method, exchange->url);
  return exchange->opts.is_idempotent;
}

void
ph_dispatch_start (PhExchange *exchange)
{
  PhNode *node = exchange->dispatch->node;
  PhCallOptions opts = exchange->opts;
  PhRefusal refusal;
  PhTime waited;

  if (exchange->is_refused)
    return;
  ph_node_update_clock (node);
  waited = node->ctx.now - exchange->arrived_at;
  opts.time_left = time_left (opts.time_left, waited);
  opts.objective = time_left (opts.objective, waited);
  merge_sender_clock (exchange);
  receive_chain_report (exchange);
  exchange->call = ph_call_open (&node->ctx, node->world, &opts, &refusal);
  if (exchange->call.v == 0)
    {
      exchange->is_refused = true;
      exchange->refusal = refusal;
      return;
    }
  memcpy (exchange->call_id, ph_call_get (&node->world->calls, exchange->call)->id,
          PH_CALL_ID_SIZE);
}

void
ph_dispatch_open (PhExchange *exchange, const char *method)
{
  ph_dispatch_read (exchange, method);
  ph_dispatch_start (exchange);
}

/* Resumes the forwards that wait for request bytes. */
static void
resume_forwards (PhExchange *exchange)
{
  PhDispatch *dispatch = exchange->dispatch;

  for (int i = 0; i < 2; i++)
    {
      PhForward *forward = ph_forward_get (&dispatch->forwards, exchange->forwards[i]);

      if (forward == NULL || !forward->is_waiting_for_body)
        continue;
      forward->is_waiting_for_body = false;
      ph_fetch_resume (dispatch->node->fetch, forward->transfer);
    }
}

size_t
ph_dispatch_body (PhExchange *exchange, const char *bytes, size_t size)
{
  size_t appended;

  trim_body (exchange);
  appended = ph_buffer_append (&exchange->body, bytes, size);
  if (appended > 0)
    mark_pending (exchange);
  return appended;
}

bool
ph_dispatch_takes_body (const PhExchange *exchange)
{
  return exchange->winning_forward.v != 0 && !exchange->is_response_ended;
}

void
ph_dispatch_body_blocked (PhExchange *exchange)
{
  PhDispatch *dispatch = exchange->dispatch;
  const PhForward *winner = ph_forward_get (&dispatch->forwards, exchange->winning_forward);

  if (winner != NULL)
    ph_fetch_abort_if_stalled (dispatch->node->fetch, winner->transfer);
}

void
ph_dispatch_body_end (PhExchange *exchange)
{
  exchange->is_body_complete = true;
  exchange->state = PH_EXCHANGE_WAITING;
  mark_pending (exchange);
}

/* Aborts the call if it is still open, and drops the forwards. */
static void
abort_call (PhExchange *exchange)
{
  PhDispatch *dispatch = exchange->dispatch;
  PhNode *node = dispatch->node;

  ph_node_update_clock (node);
  ph_call_abort (&node->ctx, node->world, exchange->call);
  exchange->call.v = 0;
  for (int i = 0; i < 2; i++)
    {
      PhForward *forward = ph_forward_get (&dispatch->forwards, exchange->forwards[i]);

      if (forward != NULL)
        drop_forward (dispatch, forward);
    }
}

void
ph_dispatch_caller_closed (PhExchange *exchange)
{
  bool is_started = exchange->forwards[0].v != 0 || exchange->forwards[1].v != 0;

  PhDispatch *dispatch = exchange->dispatch;
  const PhForward *winner = ph_forward_get (&dispatch->forwards, exchange->winning_forward);

  /* The caller may have closed only its sending direction, and a response that arrives is still
   * sent. One that stalls would keep its upstream's slot for as long as the upstream likes: only a
   * write shows that the caller has left. */
  if (winner != NULL)
    ph_fetch_abort_if_stalled (dispatch->node->fetch, winner->transfer);
  if (ph_dispatch_is_ready (exchange) || exchange->state == PH_EXCHANGE_NEW)
    return;
  abort_call (exchange);
  exchange->is_refused = true;
  exchange->refusal = (PhRefusal){ .status = ph_reason_status (PH_REASON_CALLER_LEFT),
                                   .run = is_started ? PH_RUN_UNKNOWN : PH_RUN_NO,
                                   .reason = PH_REASON_CALLER_LEFT };
  mark_pending (exchange);
}

void
ph_dispatch_close (PhExchange *exchange)
{
  PhDispatch *dispatch = exchange->dispatch;

  abort_call (exchange);
  ph_buffer_clear (&exchange->body);
  free (exchange->url);
  ph_exchange_remove (&dispatch->exchanges, exchange->id);
}

bool
ph_dispatch_is_ready (const PhExchange *exchange)
{
  return exchange->is_refused || exchange->winning_forward.v != 0;
}

/* Whether a suspended server connection can make progress. */
static bool
should_resume (PhExchange *exchange)
{
  switch (exchange->state)
    {
    case PH_EXCHANGE_NEW:
      return false;
    case PH_EXCHANGE_HEAD:
      return ph_dispatch_is_ready (exchange)
             || (exchange->is_body_requested && !exchange->is_body_complete);
    case PH_EXCHANGE_BODY:
      trim_body (exchange);
      return (ph_dispatch_is_ready (exchange) && !ph_dispatch_takes_body (exchange))
             || ph_buffer_free_space (&exchange->body) > 0;
    case PH_EXCHANGE_WAITING:
      return ph_dispatch_is_ready (exchange);
    case PH_EXCHANGE_RESPONDING:
      return true;
    }
  return false;
}

/* Fails the attempts whose transfers could not be started. */
static void
fail_unstarted (PhDispatch *dispatch)
{
  uint32_t handle;

  while ((handle = ph_queue_pop (&dispatch->unstarted)) != 0)
    {
      PhForward *forward = ph_forward_get (&dispatch->forwards, (PhForwardId){ handle });

      if (forward != NULL)
        fail_forward (forward, PH_RUN_NO, PH_REASON_CONNECT);
    }
}

bool
ph_dispatch_has_work (const PhDispatch *dispatch)
{
  return dispatch->pending.count > 0 || dispatch->unstarted.count > 0;
}

bool
ph_dispatch_system (PhDispatch *dispatch)
{
  bool has_worked = ph_dispatch_has_work (dispatch);
  uint32_t handle;

  fail_unstarted (dispatch);
  while ((handle = ph_queue_pop (&dispatch->pending)) != 0)
    {
      PhExchange *exchange = ph_exchange_get (&dispatch->exchanges, (PhExchangeId){ handle });

      if (exchange == NULL)
        continue;
      exchange->is_pending = false;
      resume_forwards (exchange);
      if (exchange->is_suspended && should_resume (exchange))
        {
          exchange->is_suspended = false;
          exchange->request.funcs->resume (exchange->request.handle);
        }
    }
  return has_worked;
}
