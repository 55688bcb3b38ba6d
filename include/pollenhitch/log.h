#ifndef PH_LOG_H
#define PH_LOG_H

#include "pollenhitch/base.h"

/*
 * Logs: JSON lines on stderr through log4c.
 *
 * A line is dropped, and counted, when stderr cannot take it at once, so that a
 * blocked pipe never stalls calls.
 */

/* ph_log_start: set up log4c. node is the VM's name on each line. level is "error", "warning",
 * "info" or "debug". Returns false with err set for another level. */
bool ph_log_start (const char *node, const char *level, PhError *err);
void ph_log_stop (void);

/* ph_log_level_check: whether a text names a level; err tells which there are. */
bool ph_log_level_check (const char *level, PhError *err);

/* ph_log_set_level: change the level while the program runs; an unknown one changes nothing. */
void ph_log_set_level (const char *level);

/* ph_log_is_debug_enabled: whether lines at debug are written. */
bool ph_log_is_debug_enabled (void);

/* ph_log_write: a PhLogFunc. */
void ph_log_write (void *user, PhLogLevel level, PhStep step, const char *peer, const char *text);

/* ph_log_dropped_count: lines dropped since the start. */
uint64_t ph_log_dropped_count (void);

#endif
