#ifndef PH_CONTROL_H
#define PH_CONTROL_H

#include "node/node.h"

/*
 * Control sockets, both on --port-control: datagrams between nodes over UDP,
 * syncs over TCP. A sync is an exchange of tables with one or two requests, each
 * with a reply; see sync.h.
 *
 * Datagrams are decoded and passed to the world as they are received. A TCP
 * connection is a row of a table. The callbacks fill its buffers and queue it as
 * pending, and ph_control_system processes the messages that are complete.
 */

typedef struct
{
  uint64_t datagrams_sent;
  uint64_t datagrams_received;
  uint64_t bytes_sent; /* payload bytes, without IP, UDP and TCP headers */
  uint64_t bytes_received;
  uint64_t rejected;             /* messages that did not decode or whose authentication failed */
  uint64_t syncs_started;        /* syncs started as client */
  uint64_t sync_requests_served; /* sync requests answered as server */
  uint64_t syncs_failed;         /* syncs failed, as client or server */
} PhControlCounts;

/* ph_control_new: bind the sockets and send a first message to the seeds of the settings. Returns
 * NULL with err set when a setting is invalid or the port cannot be opened. */
PhControl *ph_control_new (PhNode *node, PhError *err);

/* ph_control_drop: close the sockets and all connections. control may be NULL. */
void ph_control_drop (PhControl *control);

/*
 * ph_control_send: send a datagram, or start a sync with the member when the
 * message is of kind PH_MESSAGE_SYNC.
 *
 * A datagram that cannot be sent counts as lost. The end of a sync, also of one
 * that cannot be started, is passed to ph_sync_end, possibly before this returns.
 */
void ph_control_send (PhControl *control, const PhMessage *message);

/* ph_control_config_changed: a new revision of an object is in force. Does nothing, since the
 * world has queued the object for gossip itself. */
void ph_control_config_changed (PhControl *control, PhObjectId id);

/* ph_control_has_work: whether ph_control_system has rows to process. */
bool ph_control_has_work (const PhControl *control);

/* ph_control_system: process pending connections: respond to complete requests, handle replies
 * and close what has failed. Returns true when there were any. */
bool ph_control_system (PhControl *control);

/* ph_control_counts: counts since the start of the process. */
const PhControlCounts *ph_control_counts (const PhControl *control);

#endif
