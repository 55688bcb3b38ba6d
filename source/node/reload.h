#ifndef PH_RELOAD_H
#define PH_RELOAD_H

#include "node/node.h"

/*
 * Settings that change while the node runs.
 *
 * The settings file holds lines NAME=VALUE with the names of the flags. It is
 * read at the start, on SIGHUP, and when its size or time of change differ at a
 * look once a second. Names that are not known are ignored. A value that is not
 * allowed leaves the settings as they were, and one log line says so.
 */

/* ph_reload_start: read the file, if there is one, and watch it. Run by the node's start. */
void ph_reload_start (PhNode *node);

/* ph_reload_read: read the file now. Returns false with err set when it changed nothing. */
bool ph_reload_read (PhNode *node, PhError *err);

#endif
