#ifndef PH_FETCH_H
#define PH_FETCH_H

#include "node/node.h"

/*
 * HTTP client: libcurl multi on the node's loop.
 *
 * A transfer is a row of a table. libcurl's callbacks only write into the row
 * and mark it; ph_fetch_system, run in the tick, passes what happened to the
 * owner's functions. The owner may start and cancel transfers from there.
 */

#define PH_BODY_BUFFER_SIZE (64u * 1024) /* bytes held of a body in each direction */

typedef struct
{
  bool is_ok;   /* the whole response came */
  bool is_sent; /* a byte of the request may have reached the peer */
  bool is_timeout;
  char text[128]; /* what went wrong */
} PhTransferResult;

/* The owner's functions; head, data and read may be NULL. */
typedef struct
{
  /* Supplies request body bytes: returns how many were written to buffer, 0 at the end of the
   * body, PH_READ_PAUSE to wait for ph_fetch_resume, PH_READ_ABORT to end the transfer. Called
   * from within libcurl: it must not call into ph_fetch. */
  long (*read) (void *user, char *buffer, size_t size);

  /* The status line and all fields have come; see ph_fetch_field. */
  void (*head) (void *user, PhTransferId id, int status);

  /* Response bytes can be taken with ph_fetch_read. */
  void (*data) (void *user, PhTransferId id);

  /* The transfer ended; unread response bytes stay until ph_fetch_drop, which the owner must call.
   */
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
  int64_t body_size;          /* bytes, PH_BODY_CHUNKED or PH_BODY_NONE */
  const char *body;           /* copied; NULL when funcs.read supplies the body */
  PhTime timeout;             /* of the whole transfer; 0 for none */
  PhTime connect_timeout;     /* 0 for 1 s */
  PhTime connection_idle_max; /* longest idle time of a connection that is used again; 0 for 60 s */
  bool is_body_collected; /* no bound on response bytes but body_limit; for small control bodies */
  uint32_t body_limit;    /* with is_body_collected */
  PhTransferFuncs funcs;
  void *user;
} PhTransferOptions;

PhFetch *ph_fetch_new (PhNode *node, uint32_t transfers, PhError *err);
void ph_fetch_drop_all (PhFetch *fetch);

/*
 * ph_fetch_start: start a transfer. A request is sent at most once: libcurl's own second send on
 * a reused connection is stopped and ends the transfer. Returns 0 with err set on failure.
 */
PhTransferId ph_fetch_start (PhFetch *fetch, const PhTransferOptions *opts, PhError *err);

/* ph_fetch_resume: funcs.read returned PH_READ_PAUSE and has bytes now. */
void ph_fetch_resume (PhFetch *fetch, PhTransferId id);

/* ph_fetch_drop: end and free a transfer; a stale handle is ignored. Closes the connection if the
 * response is not complete. */
void ph_fetch_drop (PhFetch *fetch, PhTransferId id);

/* ph_fetch_field: value of a response field, or NULL. Valid until the transfer is dropped. */
const char *ph_fetch_field (PhFetch *fetch, PhTransferId id, const char *name);

/* ph_fetch_field_at: the field at a position, in order of arrival. Returns false past the end. */
bool ph_fetch_field_at (
    PhFetch *fetch, PhTransferId id, uint32_t index, const char **name, const char **value);

/* ph_fetch_length: Content-Length of the response, or -1. */
int64_t ph_fetch_length (PhFetch *fetch, PhTransferId id);

/* ph_fetch_read: move response bytes out. Returns how many. */
size_t ph_fetch_read (PhFetch *fetch, PhTransferId id, char *buffer, size_t size);

/* ph_fetch_body: the collected bytes of a transfer with is_body_collected. */
const char *ph_fetch_body (PhFetch *fetch, PhTransferId id, size_t *size);

/* ph_fetch_is_drained: the transfer has ended and no response byte is left. */
bool ph_fetch_is_drained (PhFetch *fetch, PhTransferId id);

/* ph_fetch_has_work: whether ph_fetch_system has something to do. */
bool ph_fetch_has_work (const PhFetch *fetch);

/* ph_fetch_system: pass marked rows on to their owners. Returns true when there was any. */
bool ph_fetch_system (PhFetch *fetch);

#endif
