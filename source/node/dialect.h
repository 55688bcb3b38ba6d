#ifndef PH_DIALECT_H
#define PH_DIALECT_H

#include "node/request.h"

/*
 * Dialect: the protocol of callers, of the local upstream and of its health
 * checks.
 *
 * Between two nodes, requests always use pollenhitch's own fields. The requests of
 * callers and those to the local upstream go through these callbacks, so that a
 * platform with other field names can be served. user is passed to each callback.
 */

/* What the head of a response of the local upstream states. */
typedef struct
{
  bool matches_request; /* false: it belongs to another request */
  bool is_identified; /* it has the id of its request. The connection of one without is not kept: a
                         second copy of it could not be told from the response to another request */
  bool is_run;        /* whether the request was executed; false: it was refused and not executed */
  PhReason refusal_reason;   /* reason of a refusal, when is_run is false */
  PhReason reject_reason;    /* why an executed request's response must not be forwarded, or
                                PH_REASON_NONE */
  uint32_t slowdown_percent; /* see PhLoad; 0 when not reported */
} PhResponseHead;

typedef struct PhDialect
{
  /* Reads the call options from a caller's request. Sets all of *opts, which is not initialised,
   * except user and route_bucket; opts->id is NULL when the request has no call id. service is a
   * buffer of PH_NAME_MAX bytes and id one of PH_CALL_ID_SIZE bytes; opts may point to both.
   * Returns PH_REASON_NONE, or the reason to refuse the request: *opts is then not used. */
  PhReason (*read_request) (void *user,
                            PhNode *node,
                            const PhServerRequest *received,
                            const char *method,
                            const char *path,
                            PhCallOptions *opts,
                            char *service,
                            uint8_t *id);
  /* Whether a field of a request is forwarded, to the local upstream or to another node, beyond
   * the rules of ph_field_is_forwarded. May be NULL: no further field is withheld. */
  bool (*is_forwarded) (void *user, const char *name);
  /* Adds the fields that the node itself sets on a request to the local upstream, and sets
   * request->id_hash. */
  void (*add_upstream_fields) (void *user,
                               PhNode *node,
                               const PhExchange *exchange,
                               const PhCall *call,
                               const PhAttempt *attempt,
                               PhRequest *request);
  /* Reads the head of a response of the local upstream. *head is preset to a run response that
   * matches the request and is forwarded. */
  void (*read_response) (void *user,
                         PhNode *node,
                         const PhExchange *exchange,
                         PhTransferId transfer,
                         int status,
                         PhResponseHead *head);
  /* HTTP status of a refusal sent to a caller, and the fields of the refusal. */
  int (*refusal_status) (void *user, const PhRefusal *refusal);
  void (*add_refusal_fields) (void *user, const PhRefusal *refusal, const PhResponseFields *fields);
  /* Adds the fields that the node sets on every response to a caller. May be NULL. */
  void (*add_response_fields) (void *user,
                               const PhExchange *exchange,
                               const PhResponseFields *fields);
  /* Reads the complete response of a health check. A check without one is unhealthy and is not
   * passed here. *health is preset to unhealthy with nothing reported. */
  void (*read_health) (
      void *user, PhNode *node, PhTransferId transfer, int status, PhHealth *health);
  /* "Name: value" line added to a health check, or NULL for none. */
  const char *health_request_field;
  /* Whether a response of the local upstream without a length and without chunked encoding is
   * forwarded. It is complete when the upstream closes the connection, and truncated when the
   * connection is reset. */
  bool passes_unframed_responses;
  /* Whether an idempotent call is tried once more when the upstream responds with an error of
   * its own. If no other upstream accepts it, the caller gets a refusal instead of that response.
   */
  bool retries_upstream_errors;
  void *user;
} PhDialect;

/* ph_dialect_native: the dialect with pollenhitch's own fields. */
const PhDialect *ph_dialect_native (void);

#endif
