#ifndef PH_LOG_H
#define PH_LOG_H

#include "pollenhitch/base.h"

/*
 * Logging: JSON lines on stderr through log4c.
 *
 * A line that stderr does not accept at once, or that is longer than 4096 bytes,
 * is dropped and counted, so that a blocked pipe never stalls calls. Lines of one
 * level and step over a rate (20 a second, at debug 1000) are suppressed; the
 * next line of that level and step holds their number.
 */

/* ph_log_start: set up log4c. node is the VM name that each line carries. level is "error",
 * "warning", "info" or "debug"; returns false with err set for any other. */
bool ph_log_start (const char *node, const char *level, PhError *err);
void ph_log_stop (void);

/* ph_log_level_check: whether a text is the name of a level. Otherwise err names those that are
 * allowed. */
bool ph_log_level_check (const char *level, PhError *err);

/* ph_log_set_level: change the level while the program runs; an unknown name is ignored. */
void ph_log_set_level (const char *level);

/* ph_log_is_debug_enabled: whether lines at debug are written. */
bool ph_log_is_debug_enabled (void);

/* ph_log_write: write one line; a PhLogFunc. user is not used. */
void ph_log_write (void *user, PhLogLevel level, PhStep step, const char *peer, const char *text);

/* ph_log_dropped_count: lines dropped since ph_log_start, without suppressed ones. */
uint64_t ph_log_dropped_count (void);

#endif
