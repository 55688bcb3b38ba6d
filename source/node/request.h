#ifndef PH_REQUEST_H
#define PH_REQUEST_H

#include "node/dispatch.h"

/* The HTTP request of an attempt: its fields, built from those of the exchange. */

#define PH_REQUEST_FIELDS_MAX 100
#define PH_REQUEST_BYTES_MAX (40u * 1024)

typedef struct
{
  const char *fields[PH_REQUEST_FIELDS_MAX + 1]; /* NULL-terminated */
  uint32_t count;
  char bytes[PH_REQUEST_BYTES_MAX];
  size_t size;
  char url[512];
  char *long_url;               /* owned, when url is too small */
  const char *connection_field; /* value of the Connection field, or NULL */
  bool is_full;
  const PhDialect *dialect;
} PhRequest;

/* ph_request_add: add one "Name: value" line; sets is_full when there is no room. */
void ph_request_add (PhRequest *request, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* ph_request_build: returns false with err set when the request does not fit. */
bool ph_request_build (PhRequest *request,
                       PhDispatch *dispatch,
                       const PhExchange *exchange,
                       const PhCall *call,
                       const PhAttempt *attempt,
                       PhError *err);
void ph_request_clear (PhRequest *request);

/* ph_request_options: read the call options from the fields of a connection. service is a
 * PH_NAME_MAX buffer. Returns false when a field is malformed. */
bool ph_request_options (struct MHD_Connection *connection,
                         PhOrigin origin,
                         const char *method,
                         PhCallOptions *opts,
                         char *service,
                         uint8_t *id);

/* ph_request_body_size: Content-Length, PH_BODY_CHUNKED or PH_BODY_NONE. Returns false when the
 * length is malformed, or given twice with different values. */
bool ph_request_body_size (struct MHD_Connection *connection, int64_t *size);

#endif
