#ifndef PH_DISPATCH_H
#define PH_DISPATCH_H

#include "node/buffer.h"
#include "node/fetch.h"
#include "node/server.h"

/*
 * Dispatch: carries calls between the HTTP server, the world and the HTTP client.
 *
 * An exchange is one request on a server connection; it lasts until the connection
 * has finished with the request. A forward is the HTTP request of one attempt. An
 * exchange has at most one open forward, or two while its call is hedged.
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
  PH_EXCHANGE_NEW,       /* the request line has been received */
  PH_EXCHANGE_HEAD,      /* the fields have been received; the body has not been requested yet */
  PH_EXCHANGE_BODY,      /* the request body is being received */
  PH_EXCHANGE_WAITING,   /* the request is complete; no response is queued yet */
  PH_EXCHANGE_RESPONDING /* a response is queued */
} PhExchangeState;

typedef struct
{
  PhExchangeId id;
  PhDispatch *dispatch;
  PhServerRequest request; /* of the HTTP server that received it */
  PhOrigin origin;
  PhExchangeState state;
  const char *method;
  PhCallOptions opts; /* read from the head; service points to the next field */
  char service[PH_NAME_MAX];
  PhTime arrived_at;        /* when the head was complete */
  char *url;                /* owned path and query; NULL, refused as bad: none, or out of memory */
  int64_t body_size;        /* bytes, or PH_BODY_CHUNKED or PH_BODY_NONE */
  PhBuffer body;            /* request bytes that a forward may still need */
  bool is_body_complete;    /* the last byte of the request has been received */
  bool is_body_requested;   /* a forward is ready to send request bytes */
  bool is_suspended;        /* the server connection is suspended */
  bool is_pending;          /* in the pending queue */
  uint64_t discarded_bytes; /* request bytes discarded once an early response was ready */
  PhCallId call;            /* 0 once the call is closed */
  uint8_t call_id[PH_CALL_ID_SIZE];
  uint64_t chain_route;        /* of a call from another node: key of its route, 0 if it has none */
  PhForwardId forwards[2];     /* open forwards; 0 for none */
  PhForwardId winning_forward; /* forward whose response is sent to the caller; 0 for none yet */
  int status;                  /* HTTP status of the winning response */
  bool is_refused;             /* the caller gets refusal instead of a response */
  PhRefusal refusal;
  bool is_response_ended;    /* the transfer of the winning forward has ended */
  bool is_response_complete; /* it ended without being truncated */
} PhExchange;

typedef struct
{
  PhForwardId id;
  PhDispatch *dispatch;
  PhExchangeId exchange;
  PhAttemptId attempt;
  PhUpstreamId upstream;
  PhRouteId route; /* of the call, which may have ended before the response arrives */
  PhTransferId transfer;
  bool is_local;            /* sent to the local upstream, otherwise to another node */
  bool is_waiting_for_body; /* libcurl has paused until request bytes are available */
  uint64_t body_offset;     /* offset of the next request byte to send */
} PhForward;

PH_DECLARE_TABLE (PhExchange, PhExchangeId, ph_exchange)
PH_DECLARE_TABLE (PhForward, PhForwardId, ph_forward)

struct PhDispatch
{
  PhNode *node;
  PhTable exchanges;
  PhTable forwards;
  PhQueue pending; /* exchanges to process in the next tick */

  /* Forwards whose transfer could not be started; they fail in the next run of
   * ph_dispatch_system. */
  PhQueue unstarted;
  PhBufferPool body_pool; /* for the bodies of requests */
};

/* ph_dispatch_new: calls is the max number of exchanges. Returns NULL with err set when memory
 * runs out. */
PhDispatch *ph_dispatch_new (PhNode *node, uint32_t calls, PhError *err);

/* ph_dispatch_drop: free the tables. dispatch may be NULL. */
void ph_dispatch_drop (PhDispatch *dispatch);

/* ph_dispatch_effects: set the effects that dispatch handles. Their user must be the PhNode. */
void ph_dispatch_effects (PhEffects *effects);

/* ph_dispatch_add: add an exchange for a request line. request must be valid until
 * ph_dispatch_close; uri is the request target as it was sent. Returns NULL when the table is
 * full. */
PhExchange *
ph_dispatch_add (PhDispatch *dispatch, PhServerRequest request, PhOrigin origin, const char *uri);

/* ph_dispatch_read: read the options of the call once all fields have been received. The exchange
 * may be refused at once. method must outlive the exchange. Returns whether the request may run
 * beside others of its connection: it is idempotent or refused. */
bool ph_dispatch_read (PhExchange *exchange, const char *method);

/* ph_dispatch_start: open the call after ph_dispatch_read. Its deadline and objective count from
 * then. The exchange may be refused at once. */
void ph_dispatch_start (PhExchange *exchange);

/* ph_dispatch_open: ph_dispatch_read and ph_dispatch_start. */
void ph_dispatch_open (PhExchange *exchange, const char *method);

/* ph_dispatch_body: append received request bytes to the buffer of the exchange. Returns how
 * many there was space for. */
size_t ph_dispatch_body (PhExchange *exchange, const char *bytes, size_t size);

/* ph_dispatch_takes_body: whether the forward whose response is ready still takes request bytes. An
 * upstream may respond before it has read the whole body and read on later: a connection on which
 * the body is not sent whole must not be used again. */
bool ph_dispatch_takes_body (const PhExchange *exchange);

/* ph_dispatch_body_blocked: request bytes wait because the buffer is full. Ends the forward whose
 * response is ready if it does not move. */
void ph_dispatch_body_blocked (PhExchange *exchange);

/* ph_dispatch_body_end: the request body has been received completely. */
void ph_dispatch_body_end (PhExchange *exchange);

/* ph_dispatch_close: remove the exchange once its connection has finished with it. A call that
 * is still open is aborted. */
void ph_dispatch_close (PhExchange *exchange);

/*
 * ph_dispatch_caller_closed: the caller closed its side of the connection before
 * it got a response.
 *
 * Cancels the call and prepares a refusal, which reaches the caller if it closed
 * only its sending side. Does nothing when a response is ready.
 */
void ph_dispatch_caller_closed (PhExchange *exchange);

/* ph_dispatch_is_ready: whether a response or a refusal can be queued. */
bool ph_dispatch_is_ready (const PhExchange *exchange);

/* ph_dispatch_has_work: whether ph_dispatch_system has rows to process. */
bool ph_dispatch_has_work (const PhDispatch *dispatch);

/* ph_dispatch_system: fail the forwards that could not be started, and resume the forwards and
 * connections of pending exchanges. Returns true when there were any. */
bool ph_dispatch_system (PhDispatch *dispatch);

#endif
