#ifndef PH_FRONT_H
#define PH_FRONT_H

#include "node/dispatch.h"

/*
 * HTTP servers for calls: one for callers, one for other nodes.
 *
 * libmicrohttpd does not look at a suspended connection, so each connection is
 * also in an epoll set of the entry, edge-triggered for the close of the other
 * side.
 */
typedef struct
{
  PhNode *node;
  PhListener listener;
  PhOrigin origin;
  PhTable connections;
  int close_epoll_fd; /* epoll descriptor */
  ev_io close_watcher;
} PhFrontServer;

struct PhFront
{
  PhFrontServer callers;
  PhFrontServer peers;
};

PhFront *ph_front_new (PhNode *node, PhError *err);
void ph_front_drop (PhFront *front);

/* ph_front_quiesce: accept no more connections. */
void ph_front_quiesce (PhFront *front);
bool ph_front_system (PhFront *front);

#endif
