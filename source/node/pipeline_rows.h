#ifndef PH_PIPELINE_ROWS_H
#define PH_PIPELINE_ROWS_H

#include <http_parser.h>

#include "node/pipeline.h"

/* Rows of the server in pipeline.h, shared by its source files. */

#define PH_PIPELINE_BLOCK_SIZE ((size_t)16 * 1024)

/* Responses are read from their upstreams while less than this waits to be sent. With one more
 * block the output fits into 32 KiB, so that a connection takes no more memory than one of
 * libmicrohttpd. */
#define PH_PIPELINE_OUTPUT_MAX ((size_t)16 * 1024)

/* Requests in work behind the first one of their connection, on all connections together. Each may
 * hold 64 KiB in each direction, so that they take 32 MiB of a node with 160 MB at most. */
#define PH_PIPELINED_REQUESTS_MAX 256u

typedef struct
{
  uint32_t v;
} PhPipelineConnectionId;

typedef struct
{
  uint32_t v;
} PhPipelineRequestId;

typedef struct PhPipelineConnection PhPipelineConnection;

/* A request from its first byte until its response has been written to the output buffer. */
typedef struct
{
  PhPipelineRequestId id;
  PhPipelineConnection *connection;
  PhPipelineRequestId next; /* behind it on the connection, 0 for none */
  PhExchangeId exchange;    /* 0 when the request cannot be parsed or the table is full */
  int error_status;         /* response of a request without an exchange */
  const char *method;
  char *head;           /* owned: the target, then name and value of each field, each with a zero */
  size_t head_size;     /* bytes used */
  size_t head_capacity; /* bytes allocated */
  uint32_t field_count;
  bool is_held;              /* waits until all requests before it are answered */
  bool is_http_1_0;          /* the caller speaks HTTP/1.0 */
  bool keeps_connection;     /* the caller allows another request after it */
  bool expects_continue;     /* the caller waits for a 100 response before it sends the body */
  bool is_chunked;           /* the response is sent in chunks */
  bool ends_with_connection; /* the response ends with the connection */
  bool has_no_body;          /* the response has no body: HEAD, 204 or 304 */
  uint64_t discarded_bytes;  /* of the body, once an early response is ready */
} PhPipelineRequest;

struct PhPipelineConnection
{
  PhPipelineConnectionId id;
  PhPipelineServer *server;
  int fd;
  uint32_t address; /* of the caller, network byte order */
  ev_io reader;
  ev_io writer;
  http_parser parser;
  char *input; /* owned, PH_PIPELINE_BLOCK_SIZE bytes; NULL while nothing waits to be parsed */
  size_t input_begin; /* offset of the first byte that has not been parsed */
  size_t input_end;
  const char *body_rest; /* parsed body bytes within input that the exchange has not taken yet */
  size_t body_rest_size;
  PhPipelineRequestId first; /* whose response is sent next */
  PhPipelineRequestId last;
  uint32_t request_count;
  PhPipelineRequestId parsing; /* request that is being received, 0 between two */
  bool is_value_last;          /* the last part of the head was the value of a field */
  char *output;                /* owned: bytes to send */
  size_t output_begin;
  size_t output_end;
  size_t output_capacity;
  bool is_caller_gone;      /* the caller has closed its sending direction, perhaps behind input */
  bool is_read_closed;      /* the caller has closed its sending direction */
  bool is_input_over;       /* no further request is read */
  bool closes_after_output; /* to be closed once all output is sent */
  bool is_unframed;         /* a response that ends with the connection has been begun */
  bool is_lingering;        /* all output is sent: input is read and dropped until its end */
  bool is_pending;          /* in the pending queue of the server */
  PhTime active_at;         /* when a byte last moved */
};

PH_DECLARE_TABLE (PhPipelineConnection, PhPipelineConnectionId, ph_pipeline_connection)
PH_DECLARE_TABLE (PhPipelineRequest, PhPipelineRequestId, ph_pipeline_request)

struct PhPipelineServer
{
  PhNode *node;
  PhPipelineOptions opts;
  int listen_fd; /* -1 once the server is quiesced */
  ev_io acceptor;
  ev_timer idle_timer;
  int close_epoll_fd; /* edge-triggered set that reports connections closed by the other side */
  ev_io close_watcher;
  PhTable connections;
  PhTable requests;
  PhQueue pending;          /* connections to continue in the next tick */
  void *address_counts;     /* GHashTable: connections by address */
  uint32_t pipelined_count; /* requests in work behind the first one of their connection */
};

/* ph_pipeline_first: the request whose response is sent next, or NULL. */
PhPipelineRequest *ph_pipeline_first (PhPipelineConnection *c);

/* ph_pipeline_exchange: the exchange of a request, or NULL. */
PhExchange *ph_pipeline_exchange (const PhPipelineRequest *request);

/* ph_pipeline_parse: parse the received bytes as far as requests may be started and their bodies
 * are taken. Returns true when a byte was parsed. */
bool ph_pipeline_parse (PhPipelineConnection *c);

/* ph_pipeline_wants_input: whether more bytes can be read and parsed now. */
bool ph_pipeline_wants_input (PhPipelineConnection *c);

/* ph_pipeline_waits_for_body: whether the rest of a request can be taken and has not arrived. */
bool ph_pipeline_waits_for_body (PhPipelineConnection *c);

/* ph_pipeline_reject: answer the request that is being received, or the bytes that are none, with
 * an error, and read no further. */
void ph_pipeline_reject (PhPipelineConnection *c, int status);

/* ph_pipeline_write: append bytes to the output. Returns false when memory runs out. */
bool ph_pipeline_write (PhPipelineConnection *c, const char *bytes, size_t size);

/* ph_pipeline_start_held: start the request that waited for all others, if it is the first now. */
void ph_pipeline_start_held (PhPipelineConnection *c);

/* ph_pipeline_respond: write responses to the output as far as they are ready, in order. Returns
 * false when the connection has to be closed at once. */
bool ph_pipeline_respond (PhPipelineConnection *c);

/* ph_pipeline_end_request: remove the first request; its call is aborted if it is still open. */
void ph_pipeline_end_request (PhPipelineConnection *c);

/* ph_pipeline_mark_pending: continue the connection in the next tick. */
void ph_pipeline_mark_pending (PhPipelineConnection *c);

#endif
