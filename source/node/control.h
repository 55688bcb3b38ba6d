#ifndef PH_CONTROL_H
#define PH_CONTROL_H

#include "node/node.h"

/*
 * Control sockets: datagrams between nodes on UDP, exchanges of tables on TCP,
 * both on --port-control.
 *
 * Datagrams are decoded and passed to the world as they come. A TCP connection
 * is a row of a table: the callbacks fill its buffers and mark it, and
 * ph_control_system answers the requests that are complete.
 */

typedef struct
{
  uint64_t datagrams_sent;
  uint64_t datagrams_received;
  uint64_t bytes_sent; /* without IP and UDP or TCP headers */
  uint64_t bytes_received;
  uint64_t rejected; /* did not decode, or the authentication code did not match */
  uint64_t exchanges_started;
  uint64_t exchanges_served;
  uint64_t exchanges_failed;
} PhControlCounts;

/* ph_control_new: bind the sockets and write to the seeds of the settings. */
PhControl *ph_control_new (PhNode *node, PhError *err);
void ph_control_drop (PhControl *control);

/* ph_control_send: send a datagram, or start an exchange when the message is of kind SYNC. */
void ph_control_send (PhControl *control, const PhMessage *message);

/* ph_control_config_changed: a new revision is in force. The core has queued it to be passed on. */
void ph_control_config_changed (PhControl *control, PhObjectId id);

/* ph_control_has_work: whether ph_control_system has something to do. */
bool ph_control_has_work (const PhControl *control);

/* ph_control_system: answer complete requests. Returns true when there was any. */
bool ph_control_system (PhControl *control);

const PhControlCounts *ph_control_counts (const PhControl *control);

#endif
