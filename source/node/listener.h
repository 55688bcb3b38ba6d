#ifndef PH_LISTENER_H
#define PH_LISTENER_H

#include <microhttpd.h>

#include "node/node.h"

/* An HTTP server socket: a libmicrohttpd daemon driven by the node's loop. */
typedef struct
{
  const char *address;
  uint16_t port;
  uint32_t connections_max;          /* most connections at a time */
  uint32_t connections_per_peer_max; /* most for each peer address; 0 for no limit */
  uint32_t idle_seconds;             /* an idle connection is closed after this time */
  MHD_AccessHandlerCallback handler;
  void *(*on_uri) (void *user,
                   const char *uri,
                   struct MHD_Connection *connection); /* may be NULL */
  MHD_RequestCompletedCallback on_completed;           /* may be NULL */
  MHD_NotifyConnectionCallback on_connection;          /* may be NULL */
  void *user;
} PhListenerOptions;

typedef struct
{
  PhNode *node;
  struct MHD_Daemon *daemon;
  ev_io readable;
  ev_timer timer;
  bool is_pending; /* connections were resumed: the daemon has to run */
} PhListener;

bool
ph_listener_start (PhListener *listener, PhNode *node, const PhListenerOptions *opts, PhError *err);

/* ph_listener_quiesce: accept no more connections; those that are open go on. */
void ph_listener_quiesce (PhListener *listener);

/* ph_listener_stop: close all connections. */
void ph_listener_stop (PhListener *listener);

/* ph_listener_resume: resume a suspended connection in this tick. */
void ph_listener_resume (PhListener *listener, struct MHD_Connection *connection);

/* ph_listener_system: run the daemon if connections were resumed. Returns true when it ran. */
bool ph_listener_system (PhListener *listener);

/* ph_listener_respond: queue a response with a body of text, which is copied. */
enum MHD_Result ph_listener_respond (struct MHD_Connection *connection,
                                     int status,
                                     const char *content_type,
                                     const char *text,
                                     size_t size);

#endif
