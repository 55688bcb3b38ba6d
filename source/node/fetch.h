#ifndef PH_FETCH_H
#define PH_FETCH_H

#include "node/node.h"

/*
 * HTTP client: libcurl's multi interface on the node's loop.
 *
 * A transfer is a row of a table. The callbacks of libcurl only write into the row
 * and queue it as pending. ph_fetch_system, which runs in the tick, reports the
 * changes to the functions of the transfer's owner. These may start and drop
 * transfers.
 */

#define PH_BODY_BUFFER_SIZE (64u * 1024) /* max bytes held of a body, in each direction */

typedef struct
{
  bool is_ok;            /* the complete response was received */
  bool is_sent;          /* the request may have reached the peer, at least in part */
  bool is_timeout;       /* a timeout ended the transfer */
  bool is_head_rejected; /* the head cannot be that of one response, see ph_head_add_line */
  char text[128];        /* why the head was rejected, or libcurl's description of the error */
} PhTransferResult;

/* How the request of a transfer was sent. */
typedef struct
{
  uint64_t connection;     /* number of the connection at this node, from 1; 0 if not known */
  uint32_t request_number; /* of the request on the connection, from 1 */
  PhTime sent_at;          /* 0 if it was not sent */
} PhTransferTrace;

/* Functions of a transfer's owner. head and data may be NULL, and read too when there is no body
 * or it is given in PhTransferOptions. */
typedef struct
{
  /* Supplies request body bytes. Returns how many were written to buffer, 0 at the end of the
   * body, PH_READ_PAUSE to wait for ph_fetch_resume, or PH_READ_ABORT to end the transfer. Called
   * from within libcurl: must not call ph_fetch functions. */
  long (*read) (void *user, char *buffer, size_t size);

  /* The status line and all fields have been received; see ph_fetch_field. */
  void (*head) (void *user, PhTransferId id, int status);

  /* Response bytes can be read with ph_fetch_read. */
  void (*data) (void *user, PhTransferId id);

  /* The transfer has ended. Unread response bytes are kept until ph_fetch_drop_transfer, which the
   * owner must call. */
  void (*done) (void *user, PhTransferId id, const PhTransferResult *result);
} PhTransferFuncs;

#define PH_READ_PAUSE (-1L)
#define PH_READ_ABORT (-2L)
#define PH_BODY_NONE (-2)
#define PH_BODY_CHUNKED (-1)

typedef struct
{
  const char *method;
  const char *url;
  const char *const *fields;  /* "Name: value" lines, NULL-terminated */
  int64_t body_size;          /* bytes, or PH_BODY_CHUNKED or PH_BODY_NONE */
  const char *body;           /* body_size bytes, copied; NULL when funcs.read supplies the body */
  uint64_t id_hash;           /* hash of the id that the response repeats; 0 when it has none: the
                                 request then has a connection of its own */
  PhTime timeout;             /* for the whole transfer; 0 for none; see ph_fetch_start */
  PhTime connect_timeout;     /* 0 for the default of 1 s */
  PhTime connection_idle_max; /* longest idle time of a connection that is reused; 0 for the default
                                 of 60 s */
  bool is_body_collected; /* the body is collected in memory for ph_fetch_body instead of being read
                             in parts; for small responses */
  bool has_own_connection; /* no kept connection is used, and this one is not kept: a kept one may
                              have gone silent */
  uint32_t body_limit;     /* max bytes of a collected body; a larger one ends the transfer */
  PhTransferFuncs funcs;
  void *user;
} PhTransferOptions;

/* ph_fetch_new: transfers is the max number of open transfers. Returns NULL with err set when
 * memory runs out or libcurl cannot be started. */
PhFetch *ph_fetch_new (PhNode *node, uint32_t transfers, PhError *err);

/* ph_fetch_drop: drop all transfers and free the client. The functions of the owners are not
 * called. fetch may be NULL. */
void ph_fetch_drop (PhFetch *fetch);

/*
 * ph_fetch_start: start a transfer.
 *
 * A request is sent at most once: libcurl would send it again when a reused
 * connection closes, but the second send is stopped and ends the transfer. A
 * kept connection is not used if it has carried a request with the same id, or if
 * something has arrived on it since its last response. The
 * strings of opts are copied. Whatever its timeout, a transfer without
 * is_body_collected also times out when no byte moves for 60 s. Returns 0 with
 * err set on failure.
 */
PhTransferId ph_fetch_start (PhFetch *fetch, const PhTransferOptions *opts, PhError *err);

/* ph_fetch_resume: continue a transfer whose funcs.read returned PH_READ_PAUSE and has bytes
 * now. */
void ph_fetch_resume (PhFetch *fetch, PhTransferId id);

/* ph_fetch_abort_if_stalled: from now on, end a transfer when no byte moves for a second: as
 * complete if the whole response has arrived, as failed otherwise. Libcurl takes the mean of up to
 * 5 s. */
void ph_fetch_abort_if_stalled (PhFetch *fetch, PhTransferId id);

/* ph_fetch_progress: bytes of the request body that the owner has supplied and bytes of the
 * response body that have arrived, together. UINT64_MAX when the transfer waits for its owner, has
 * ended or the handle is stale. */
uint64_t ph_fetch_progress (PhFetch *fetch, PhTransferId id);

/* ph_fetch_abort: end a transfer as if its timeout had passed; funcs.done follows in the next tick.
 * Bytes that have arrived can still be read. */
void ph_fetch_abort (PhFetch *fetch, PhTransferId id);

/* ph_fetch_drop_transfer: end a transfer and free its row; a stale handle is ignored. The
 * functions of the owner are not called. Closes the connection if the response is not complete. */
void ph_fetch_drop_transfer (PhFetch *fetch, PhTransferId id);

/* ph_fetch_field: value of the first response field with this name (case-insensitive), or NULL.
 * Valid until the transfer is dropped. */
const char *ph_fetch_field (PhFetch *fetch, PhTransferId id, const char *name);

/* ph_fetch_field_count: number of response fields with this name; 0 for a stale handle. */
uint32_t ph_fetch_field_count (PhFetch *fetch, PhTransferId id, const char *name);

/* ph_fetch_field_at: name and value of a response field by its index in order of arrival.
 * Returns false past the last one. */
bool ph_fetch_field_at (
    PhFetch *fetch, PhTransferId id, uint32_t index, const char **name, const char **value);

/* ph_fetch_retire_connection: let no further request be sent on the connection of a transfer. */
void ph_fetch_retire_connection (PhFetch *fetch, PhTransferId id);

/* ph_fetch_trace: how the request was sent; all zero for a stale handle. */
PhTransferTrace ph_fetch_trace (PhFetch *fetch, PhTransferId id);

/* ph_fetch_length: Content-Length of the response in bytes, or -1. */
int64_t ph_fetch_length (PhFetch *fetch, PhTransferId id);

/* ph_fetch_read: take response bytes out of the transfer's buffer. Returns how many. */
size_t ph_fetch_read (PhFetch *fetch, PhTransferId id, char *buffer, size_t size);

/* ph_fetch_body: the collected body of a transfer with is_body_collected, with a final zero
 * byte. Never NULL: "" with *size 0 for a stale handle or when no byte was received. Valid until
 * the transfer is dropped. */
const char *ph_fetch_body (PhFetch *fetch, PhTransferId id, size_t *size);

/* ph_fetch_is_drained: whether the transfer has ended and all response bytes were read. True for
 * a stale handle. */
bool ph_fetch_is_drained (PhFetch *fetch, PhTransferId id);

/* ph_fetch_has_work: whether ph_fetch_system has rows to process. */
bool ph_fetch_has_work (const PhFetch *fetch);

/* ph_fetch_system: report the changes of pending transfers to their owners. Returns true when
 * there were any. */
bool ph_fetch_system (PhFetch *fetch);

#endif
