#ifndef PH_DISPATCH_H
#define PH_DISPATCH_H

#include "node/buffer.h"
#include "node/fetch.h"
#include "node/listener.h"

/*
 * Carries calls between the HTTP server, the world and the HTTP client.
 *
 * An exchange is one request on a server connection; it lasts until the
 * connection is done with it. A forward is the HTTP request of one attempt.
 */

typedef struct
{
  uint32_t v;
} PhExchangeId;

typedef struct
{
  uint32_t v;
} PhForwardId;

typedef enum
{
  PH_EXCHANGE_NEW,       /* the request line has come */
  PH_EXCHANGE_HEAD,      /* request fields have come; the body is not asked for yet */
  PH_EXCHANGE_BODY,      /* the request body is coming */
  PH_EXCHANGE_WAITING,   /* the request is complete */
  PH_EXCHANGE_RESPONDING /* a response is queued */
} PhExchangeState;

typedef struct
{
  PhExchangeId id;
  PhDispatch *dispatch;
  struct MHD_Connection *connection;
  PhListener *listener;
  PhOrigin origin;
  PhExchangeState state;
  const char *method;
  char *url;         /* path and query, owned; NULL when the target is not a path */
  int64_t body_size; /* Content-Length, PH_BODY_CHUNKED or PH_BODY_NONE */
  PhBuffer body;
  bool is_body_complete;
  bool is_body_requested;
  bool is_suspended;
  bool is_pending;
  uint64_t discarded_bytes;
  PhCallId call;
  uint8_t call_id[PH_CALL_ID_SIZE];
  PhForwardId forwards[2];
  PhForwardId winning_forward; /* its response is the caller's */
  int status;
  bool is_refused;
  PhRefusal refusal;
  bool is_response_ended; /* the transfer of the winner ended */
  bool is_response_complete;
} PhExchange;

typedef struct
{
  PhForwardId id;
  PhDispatch *dispatch;
  PhExchangeId exchange;
  PhAttemptId attempt;
  PhUpstreamId upstream;
  PhTransferId transfer;
  bool is_local;
  bool is_waiting_for_body; /* libcurl waits for request bytes */
  uint64_t body_offset;
} PhForward;

PH_DECLARE_TABLE (PhExchange, PhExchangeId, ph_exchange)
PH_DECLARE_TABLE (PhForward, PhForwardId, ph_forward)

struct PhDispatch
{
  PhNode *node;
  PhTable exchanges;
  PhTable forwards;
  PhQueue pending;
  PhQueue unstarted; /* forwards whose transfer could not be started */
};

PhDispatch *ph_dispatch_new (PhNode *node, uint32_t calls, PhError *err);
void ph_dispatch_drop (PhDispatch *dispatch);

/* ph_dispatch_effects: fill in the effects that dispatch handles; their user is the PhNode. */
void ph_dispatch_effects (PhEffects *effects);

/* ph_dispatch_add: a request line has come. Returns NULL when the table is full. */
PhExchange *ph_dispatch_add (PhDispatch *dispatch,
                             PhListener *listener,
                             struct MHD_Connection *connection,
                             PhOrigin origin,
                             const char *uri);

/* ph_dispatch_open: the fields have come; opens the call. The exchange may be refused at once. */
void ph_dispatch_open (PhExchange *exchange, const char *method);

/* ph_dispatch_body: request bytes came. Returns how many were taken. */
size_t ph_dispatch_body (PhExchange *exchange, const char *bytes, size_t size);

/* ph_dispatch_body_end: the request body is complete. */
void ph_dispatch_body_end (PhExchange *exchange);

/* ph_dispatch_close: the connection is done with the exchange; an open call is aborted. */
void ph_dispatch_close (PhExchange *exchange);

/*
 * ph_dispatch_caller_closed: the caller closed its side while it waited for the response.
 *
 * Cancels the call. A caller that only closed its sending side is told so by a
 * refusal. Does nothing when a response is ready.
 */
void ph_dispatch_caller_closed (PhExchange *exchange);

/* ph_dispatch_is_ready: a response or a refusal can be queued. */
bool ph_dispatch_is_ready (const PhExchange *exchange);

/* ph_dispatch_has_work: whether ph_dispatch_system has something to do. */
bool ph_dispatch_has_work (const PhDispatch *dispatch);

/* ph_dispatch_system: pass on what is pending. Returns true when there was any. */
bool ph_dispatch_system (PhDispatch *dispatch);

#endif
