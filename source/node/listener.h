#ifndef PH_LISTENER_H
#define PH_LISTENER_H

#include <microhttpd.h>

#include "node/node.h"

/* An HTTP server socket: a libmicrohttpd daemon run from the node's loop. */
typedef struct
{
  const char *address; /* IPv4 address to listen on */
  uint16_t port;
  uint32_t connections_max;             /* max connections open at a time */
  uint32_t connections_per_address_max; /* max connections from one IP address; 0 for no limit */
  uint32_t idle_seconds;                /* seconds after which an idle connection is closed */
  MHD_AccessHandlerCallback handler;    /* request handler */
  /* Called when the request line has been received. Returns the state of the request: the handler
   * gets it in its last argument, and on_completed frees it. May be NULL. */
  void *(*on_uri) (void *user, const char *uri, struct MHD_Connection *connection);
  /* Called when a request has ended; frees the state of the request. May be NULL. */
  MHD_RequestCompletedCallback on_completed;
  /* Called when a connection is opened or closed. May be NULL. */
  MHD_NotifyConnectionCallback on_connection;
  void *user; /* first argument of all callbacks */
} PhListenerOptions;

typedef struct
{
  PhNode *node;
  struct MHD_Daemon *daemon;
  ev_io readable;  /* watches the daemon's epoll descriptor */
  ev_timer timer;  /* next timeout of the daemon */
  bool is_pending; /* connections were resumed and the daemon is to be run in this tick */
} PhListener;

/* ph_listener_start: open the socket and serve it from the node's loop. Returns false with err set
 * when the address or the port cannot be used. */
bool
ph_listener_start (PhListener *listener, PhNode *node, const PhListenerOptions *opts, PhError *err);

/* ph_listener_quiesce: stop accepting connections; open ones are served to their end. */
void ph_listener_quiesce (PhListener *listener);

/* ph_listener_stop: close all connections and the socket. Does nothing when the listener was not
 * started. */
void ph_listener_stop (PhListener *listener);

/* ph_listener_resume: resume a suspended connection; ph_listener_system serves it in this tick. */
void ph_listener_resume (PhListener *listener, struct MHD_Connection *connection);

/* ph_listener_reset: reset a connection, so that what was sent on it does not pass as complete. The
 * server closes it afterwards. */
void ph_listener_reset (struct MHD_Connection *connection);

/* ph_listener_system: run the daemon if connections were resumed. Returns true when it ran. */
bool ph_listener_system (PhListener *listener);

/* ph_listener_respond: queue a response. text is copied and need not end with a zero byte. */
enum MHD_Result ph_listener_respond (struct MHD_Connection *connection,
                                     int status,
                                     const char *content_type,
                                     const char *text,
                                     size_t size);

#endif
