#ifndef PH_SERVER_H
#define PH_SERVER_H

#include <stdbool.h>

/*
 * A received request, independent of the HTTP server that received it.
 *
 * Dispatch and dialects read requests and set response fields only through these callbacks, so that
 * callers and nodes can be served by different HTTP servers.
 */

/* Heads of requests up to this size pass both fronts and the way to another node, whose fields are
 * added: libmicrohttpd has 32 KiB for a connection (listener.c). */
#define PH_REQUEST_HEAD_BYTES (24u * 1024)

/* Seconds after which an idle connection of a caller is closed. */
#define PH_CONNECTION_IDLE_SECONDS 75

/* Called for each field of a request. value is NULL or "" for an empty field. Returns false to end
 * the iteration. */
typedef bool (*PhFieldFunc) (void *user, const char *name, const char *value);

typedef struct
{
  /* The value of the first field with this name, compared without case, or NULL. Valid as long as
   * the request. */
  const char *(*field) (void *handle, const char *name);
  /* Calls func for each field in the order of the request. */
  void (*each_field) (void *handle, PhFieldFunc func, void *user);
  /* Continues a suspended request in this tick. */
  void (*resume) (void *handle);
} PhServerFuncs;

typedef struct
{
  const PhServerFuncs *funcs;
  void *handle; /* of the server, passed to each function */
} PhServerRequest;

/* Response under construction: adds fields to it. name and value are copied. */
typedef struct
{
  void (*add) (void *handle, const char *name, const char *value);
  void *handle;
} PhResponseFields;

static inline const char *
ph_server_field (const PhServerRequest *request, const char *name)
{
  return request->funcs->field (request->handle, name);
}

static inline void
ph_response_add (const PhResponseFields *fields, const char *name, const char *value)
{
  fields->add (fields->handle, name, value);
}

#endif
