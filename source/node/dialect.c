#include "node/dialect.h"

#include <inttypes.h>
#include <microhttpd.h>
#include <string.h>

#include "pollenhitch/fields.h"

#define UNHEALTHY_STATUS_MIN 500 /* a health check with this status or above has failed */

static PhReason
read_request (void *user,
              PhNode *node,
              const PhServerRequest *received,
              const char *method,
              const char *path,
              PhCallOptions *opts,
              char *service,
              uint8_t *id)
{
  (void)user;
  (void)node;
  (void)path;
  return ph_request_options (received, PH_ORIGIN_CALLER, method, opts, service, id)
             ? PH_REASON_NONE
             : PH_REASON_BAD_REQUEST;
}

static void
add_upstream_fields (void *user,
                     PhNode *node,
                     const PhExchange *exchange,
                     const PhCall *call,
                     const PhAttempt *attempt,
                     PhRequest *request)
{
  char id[PH_CALL_ID_TEXT_SIZE];

  (void)user;
  (void)exchange;
  ph_call_id_format (call->id, id);
  request->id_hash = ph_hash (id);
  ph_request_add (request, PH_FIELD_CALL ": %s", id);
  ph_request_add (request, PH_FIELD_DEADLINE ": %" PRId64,
                  ph_call_time_left (&node->ctx, call) / PH_MS);
  ph_request_add (request, PH_FIELD_DEPTH ": %d", call->depth + 1);
  if (attempt->is_rerun)
    ph_request_add (request, PH_FIELD_RERUN ": true");
}

/* Whether the call id of a response, if any, is that of the exchange. Upstreams may omit it. */
static bool
is_call_id_matching (const PhExchange *exchange, const char *text)
{
  uint8_t id[PH_CALL_ID_SIZE];

  return text == NULL
         || (ph_call_id_parse (text, id) && memcmp (id, exchange->call_id, sizeof id) == 0);
}

static void
read_response (void *user,
               PhNode *node,
               const PhExchange *exchange,
               PhTransferId transfer,
               int status,
               PhResponseHead *head)
{
  const char *run_text = ph_fetch_field (node->fetch, transfer, PH_FIELD_RUN);
  const char *id_text = ph_fetch_field (node->fetch, transfer, PH_FIELD_CALL);
  PhRun run;

  (void)user;
  head->is_identified = id_text != NULL;
  head->matches_request = ph_fetch_field_count (node->fetch, transfer, PH_FIELD_CALL) <= 1
                          && is_call_id_matching (exchange, id_text);
  head->is_run = run_text == NULL || !ph_run_parse (run_text, &run) || run != PH_RUN_NO
                 || status != MHD_HTTP_SERVICE_UNAVAILABLE;
  head->refusal_reason = PH_REASON_SHED;
}

static int
refusal_status (void *user, const PhRefusal *refusal)
{
  (void)user;
  return refusal->status;
}

static void
add_refusal_fields (void *user, const PhRefusal *refusal, const PhResponseFields *fields)
{
  (void)user;
  ph_response_add (fields, PH_FIELD_RUN, ph_run_name (refusal->run));
  ph_response_add (fields, PH_FIELD_REASON, ph_reason_name (refusal->reason));
}

static void
add_response_fields (void *user, const PhExchange *exchange, const PhResponseFields *fields)
{
  char id[PH_CALL_ID_TEXT_SIZE];

  (void)user;
  ph_call_id_format (exchange->call_id, id);
  ph_response_add (fields, PH_FIELD_CALL, id);
}

static void
read_health (void *user, PhNode *node, PhTransferId transfer, int status, PhHealth *health)
{
  (void)user;
  (void)node;
  (void)transfer;
  *health = (PhHealth){ .is_healthy = status < UNHEALTHY_STATUS_MIN, .cold_time_left = -1 };
}

const PhDialect *
ph_dialect_native (void)
{
  static const PhDialect native = { .read_request = read_request,
                                    .add_upstream_fields = add_upstream_fields,
                                    .read_response = read_response,
                                    .refusal_status = refusal_status,
                                    .add_refusal_fields = add_refusal_fields,
                                    .add_response_fields = add_response_fields,
                                    .read_health = read_health,
                                    .health_request_field = PH_FIELD_PROBE ": true" };

  return &native;
}
