#ifndef PH_FIELDS_H
#define PH_FIELDS_H

#include "pollenhitch/call.h"

/* HTTP fields of pollenhitch: names, and the text of their values. */

#define PH_FIELD_PREFIX "Pollenhitch-"
#define PH_FIELD_SERVICE "Pollenhitch-Service"
#define PH_FIELD_CALL "Pollenhitch-Call"
#define PH_FIELD_DEADLINE "Pollenhitch-Deadline-Ms"
#define PH_FIELD_DEPTH "Pollenhitch-Depth"
#define PH_FIELD_REPEATABLE "Pollenhitch-Repeatable"
#define PH_FIELD_UPSTREAM "Pollenhitch-Upstream"
#define PH_FIELD_RUN "Pollenhitch-Run"
#define PH_FIELD_REASON "Pollenhitch-Reason"
#define PH_FIELD_PROBE "Pollenhitch-Probe"
#define PH_FIELD_RERUN "Pollenhitch-Rerun"
#define PH_FIELD_CLOCK "Pollenhitch-Clock"
#define PH_FIELD_LOAD "Pollenhitch-Load"
#define PH_FIELD_PRIORITY "Pollenhitch-Priority"
#define PH_FIELD_OBJECTIVE "Pollenhitch-Objective-Ms"
#define PH_FIELD_OTHERS "Pollenhitch-Others"
#define PH_FIELD_CALLER "Pollenhitch-Caller"

#define PH_LOAD_TEXT_SIZE 64

/* ph_load_format: "in-flight queued limit latency-us slowness". */
void ph_load_format (const PhLoad *load, char *text);
bool ph_load_parse (const char *text, PhLoad *load);

/* ph_number_parse: a whole decimal number from 0 to max; no sign, space or other text. */
bool ph_number_parse (const char *text, uint64_t max, uint64_t *number);

/* ph_flag_parse: "true" or "false". */
bool ph_flag_parse (const char *text, bool *flag);

/* ph_field_is_forwarded: false for hop-by-hop fields (RFC 9110, 7.6.1), for Pollenhitch-* fields
 * and for those that the HTTP libraries set themselves. */
bool ph_field_is_forwarded (const char *name);

/* ph_field_is_token: whether a field name has the syntax of a token (RFC 9110, 5.6.2). */
bool ph_field_is_token (const char *name);

/* ph_field_is_listed: whether a Connection field's value names a field, which is hop-by-hop then.
 * connection may be NULL. */
bool ph_field_is_listed (const char *connection, const char *name);

/* ph_service_from_host: "service.team[...]" to "team/service" in a PH_NAME_MAX buffer. Returns
 * false when the first two labels are not names of a service and a team. */
bool ph_service_from_host (const char *host, char *service);

/* ph_method_is_idempotent: GET, HEAD and OPTIONS (the safe methods of RFC 9110). */
bool ph_method_is_idempotent (const char *method);

#endif
