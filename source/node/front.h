#ifndef PH_FRONT_H
#define PH_FRONT_H

#include "node/dispatch.h"
#include "node/listener.h"
#include "node/pipeline.h"

/*
 * HTTP servers for calls: one for callers and one for other nodes.
 *
 * libmicrohttpd does not poll the socket of a suspended connection. To notice that
 * the other side has closed such a connection, each connection is also registered,
 * edge-triggered, in an epoll set of its server.
 */
typedef struct
{
  PhNode *node;
  PhListener listener;
  PhOrigin origin;
  PhTable connections; /* Connection rows, see front.c */
  int close_epoll_fd;  /* epoll set that reports connections closed by the other side */
  ev_io close_watcher; /* watches close_epoll_fd */
} PhFrontServer;

struct PhFront
{
  PhFrontServer callers;      /* on --port-call, unless pipeline is set */
  PhPipelineServer *pipeline; /* on --port-call if --pipelined-requests is above 1, or NULL */
  PhFrontServer peers;        /* on --port-peer */
};

/* ph_front_new: start both servers on the ports of the settings. Returns NULL with err set when
 * a port cannot be opened or memory runs out. */
PhFront *ph_front_new (PhNode *node, PhError *err);

/* ph_front_drop: close all connections and free the servers. front may be NULL. */
void ph_front_drop (PhFront *front);

/* ph_front_settings_changed: apply --pipelined-requests from the next request on. Logs a warning if
 * the change needs another server, which only a new start opens. */
void ph_front_settings_changed (PhFront *front);

/* ph_front_quiesce: stop accepting connections; open ones are served to their end. */
void ph_front_quiesce (PhFront *front);

/* ph_front_is_idle: whether all responses that have been taken from their exchanges were sent. */
bool ph_front_is_idle (const PhFront *front);

/* ph_front_system: serve the connections that were resumed in this tick. Returns true when there
 * were any. */
bool ph_front_system (PhFront *front);

#endif
