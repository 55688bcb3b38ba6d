#ifndef PH_DIALECT_H
#define PH_DIALECT_H

#include "node/request.h"

/*
 * Dialect: what callers, the local upstream and health checks speak.
 *
 * The hop between two nodes always speaks pollenhitch's own fields. What comes
 * before and after it goes through these callbacks, so that the node can serve
 * a platform with its own names. user is passed to each of them.
 */

/* What the head of a response of the local upstream says. */
typedef struct
{
  bool matches_request;    /* it answers the request that was sent */
  bool is_run;             /* false: it is a refusal that says that the request was not run */
  PhReason refusal_reason; /* why, when it is one */
  PhReason
      reject_reason; /* not PH_REASON_NONE: it must not be passed on, though the request was run */
  uint32_t slowdown_percent; /* see PhLoad; 0 when it does not tell */
} PhResponseHead;

typedef struct PhDialect
{
  /* Fills in opts from a caller's request; service is a PH_NAME_MAX buffer that opts may point to,
   * id a PH_CALL_ID_SIZE one. Returns why the request is refused, or PH_REASON_NONE. */
  PhReason (*read_request) (void *user,
                            PhNode *node,
                            struct MHD_Connection *connection,
                            const char *method,
                            const char *path,
                            PhCallOptions *opts,
                            char *service,
                            uint8_t *id);
  /* Whether a field of a request is passed on to the upstream. May be NULL: all are that
   * ph_field_is_forwarded allows. */
  bool (*is_forwarded) (void *user, const char *name);
  /* Adds the fields that the node itself sets towards the local upstream. */
  void (*add_upstream_fields) (void *user,
                               PhNode *node,
                               const PhExchange *exchange,
                               const PhCall *call,
                               const PhAttempt *attempt,
                               PhRequest *request);
  /* Reads the head of a response of the local upstream. */
  void (*read_response) (void *user,
                         PhNode *node,
                         const PhExchange *exchange,
                         PhTransferId transfer,
                         int status,
                         PhResponseHead *head);
  /* Status of a refusal towards a caller, and its fields. */
  int (*refusal_status) (void *user, const PhRefusal *refusal);
  void (*add_refusal_fields) (void *user, const PhRefusal *refusal, struct MHD_Response *response);
  /* Adds the fields that the node sets on every response to a caller. May be NULL. */
  void (*add_response_fields) (void *user,
                               const PhExchange *exchange,
                               struct MHD_Response *response);
  /* Reads the response of a health check. */
  void (*read_health) (
      void *user, PhNode *node, PhTransferId transfer, int status, PhHealth *health);
  /* Field of a health check's request, or NULL. */
  const char *health_request_field;
  /* Responses whose end is the end of their connection are passed on; a reset is told from it. */
  bool passes_unframed_responses;
  /* A call that may be repeated is tried once more when an upstream answers with a failure of its
   * own. If no other upstream takes it, the caller gets a refusal in place of that answer. */
  bool retries_upstream_errors;
  void *user;
} PhDialect;

/* ph_dialect_native: pollenhitch's own fields. */
const PhDialect *ph_dialect_native (void);

#endif
