#ifndef PH_RELOAD_H
#define PH_RELOAD_H

#include "node/node.h"

/*
 * Settings that change while the node runs.
 *
 * The settings file consists of lines NAME=VALUE, where the names are those of
 * flags, and of comment lines that start with #. Only log-level, stop-seconds,
 * stop-grace-ms, pipelined-requests, chain-precedence, run-gating, fleet-capacity,
 * silence-detection, catch-up-syncs and cold-precedence can be set; they override the flags, and a
 * setting that is removed from the file keeps its last value. A node that was started
 * with a pipelined-requests of 1 keeps it until it is started again. All other names are ignored,
 * also those of other flags. If a value is not allowed, no setting changes and a warning is logged.
 *
 * The file is read at startup, on SIGHUP, and when its size or modification time
 * has changed, which is checked once a second.
 */

/* ph_reload_start: read the settings file, if one is set, and start to watch it. Also starts to
 * handle SIGHUP. */
void ph_reload_start (PhNode *node);

/* ph_reload_read: read the settings file and apply it. Returns false with err set, and all settings
 * unchanged, when the file cannot be read or a value is not allowed. */
bool ph_reload_read (PhNode *node, PhError *err);

#endif
