#ifndef PH_REQUEST_H
#define PH_REQUEST_H

#include "node/dispatch.h"

/*
 * The HTTP request of an attempt, built from the fields of the exchange, and the
 * call options that are read from a caller's or a peer's request.
 */

#define PH_REQUEST_FIELDS_MAX 100
#define PH_REQUEST_BYTES_MAX (40u * 1024)

typedef struct
{
  const char *fields[PH_REQUEST_FIELDS_MAX + 1]; /* "Name: value" lines, NULL-terminated */
  uint32_t count;                                /* lines in fields */
  char bytes[PH_REQUEST_BYTES_MAX];              /* text of the lines */
  size_t size;                                   /* bytes used of bytes */
  char url[512];
  char *long_url;               /* owned; used instead of url when the URL does not fit there */
  const char *connection_field; /* value of the request's Connection field, or NULL */
  bool is_full;                 /* a line did not fit */
  uint64_t id_hash;             /* hash of the id that the response repeats; 0 when it has none */
  const PhDialect *dialect;
} PhRequest;

/* ph_request_add: add one "Name: value" line. Sets is_full when it does not fit. */
void ph_request_add (PhRequest *request, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* ph_request_build: build the request of an attempt. Returns false with err set when the
 * upstream has no address or the request does not fit. On true, free it with ph_request_clear. */
bool ph_request_build (PhRequest *request,
                       PhDispatch *dispatch,
                       const PhExchange *exchange,
                       const PhCall *call,
                       const PhAttempt *attempt,
                       PhError *err);

/* ph_request_clear: free what ph_request_build allocated. */
void ph_request_clear (PhRequest *request);

/* ph_request_options: read the call options from the fields of a request. service is a buffer of
 * PH_NAME_MAX bytes and id one of PH_CALL_ID_SIZE bytes; opts may point to both. Returns false when
 * a field is malformed or a required one is missing. */
bool ph_request_options (const PhServerRequest *received,
                         PhOrigin origin,
                         const char *method,
                         PhCallOptions *opts,
                         char *service,
                         uint8_t *id);

/* ph_request_body_size: the Content-Length in bytes, PH_BODY_CHUNKED or PH_BODY_NONE. Returns
 * false when a field name or the length is malformed, when the encoding is not chunked, or when the
 * framing is ambiguous: the length or the encoding is given twice with different values, or both
 * are given. */
bool ph_request_body_size (const PhServerRequest *received, int64_t *size);

#endif
