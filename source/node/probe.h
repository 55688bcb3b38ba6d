#ifndef PH_NODE_PROBE_H
#define PH_NODE_PROBE_H

#include "node/node.h"

/*
 * ph_probe_send: send a health check to the local upstream. Implements the
 * send_probe effect; user is the PhNode.
 *
 * Requests the health path of the service, or --probe-path when it has none. The
 * dialect supplies a field of the request and decides whether a response is
 * healthy: the native one sends Pollenhitch-Probe and accepts a status below 500.
 * A check without a response within PH_PROBE_TIMEOUT has failed. The result is
 * passed to ph_probe_result. An earlier probe that is still open is dropped
 * without a result: its upstream was replaced. A stale handle is ignored.
 */
void ph_probe_send (void *user, PhUpstreamId upstream);

/* ph_probe_system: report a probe that could not be sent as failed. Returns true when there was
 * one. */
bool ph_probe_system (PhNode *node);

#endif
