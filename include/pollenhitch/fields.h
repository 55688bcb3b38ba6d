#ifndef PH_FIELDS_H
#define PH_FIELDS_H

#include "pollenhitch/chain_reports.h"

/* Names of pollenhitch's HTTP fields, and encoding of their values: numbers are decimal, flags
 * "true" or "false". The parse functions return false when the text is not valid. */

#define PH_FIELD_PREFIX "Pollenhitch-"
#define PH_FIELD_SERVICE "Pollenhitch-Service"       /* "team/service" */
#define PH_FIELD_CALL "Pollenhitch-Call"             /* id of the call, see ph_call_id_format */
#define PH_FIELD_DEADLINE "Pollenhitch-Deadline-Ms"  /* to the deadline; 0 if it has passed */
#define PH_FIELD_DEPTH "Pollenhitch-Depth"           /* calls above this one in its chain */
#define PH_FIELD_REPEATABLE "Pollenhitch-Repeatable" /* flag: the call is idempotent */
#define PH_FIELD_UPSTREAM "Pollenhitch-Upstream" /* between nodes: epoch of the chosen upstream */
#define PH_FIELD_RUN "Pollenhitch-Run"           /* see ph_run_name */
#define PH_FIELD_REASON "Pollenhitch-Reason"     /* see ph_reason_name */
#define PH_FIELD_PROBE "Pollenhitch-Probe"       /* "true" in a probe of an upstream */
#define PH_FIELD_RERUN "Pollenhitch-Rerun"       /* flag: the rerun mark, see PhCall.is_rerun */
#define PH_FIELD_CLOCK "Pollenhitch-Clock"       /* between nodes: hybrid clock, see event.h */
#define PH_FIELD_LOAD "Pollenhitch-Load"         /* between nodes: see ph_load_format */
#define PH_FIELD_LOADS "Pollenhitch-Loads"       /* between nodes: see ph_loads_format */
#define PH_FIELD_PRIORITY "Pollenhitch-Priority" /* between nodes: 0 (the most urgent) to 255 */

/* Between nodes: time to the objective of the call; 0 if it has passed, absent if it has none. */
#define PH_FIELD_OBJECTIVE "Pollenhitch-Objective-Ms"

/* Between nodes: present, as "true", if the call can go to other upstreams; see
 * PhCallOptions.has_alternatives. */
#define PH_FIELD_OTHERS "Pollenhitch-Others"
#define PH_FIELD_CALLER "Pollenhitch-Caller" /* between nodes: service of the calling VM */

/* Between nodes, see chain_reports.h: in a request the key of its route and the evidence to be
 * added to the pool, in both directions pools. */
#define PH_FIELD_CHAIN_ROUTE "Pollenhitch-Chain-Route"
#define PH_FIELD_CHAIN_EVIDENCE "Pollenhitch-Chain-Evidence"
#define PH_FIELD_CHAIN_POOLS "Pollenhitch-Chain-Pools"

#define PH_LOAD_TEXT_SIZE 64

/* ph_load_format, ph_load_parse: "in-flight queued limit latency-us slowdown-percent", decimal
 * numbers. text has PH_LOAD_TEXT_SIZE bytes for ph_load_format. */
void ph_load_format (const PhLoad *load, char *text);
bool ph_load_parse (const char *text, PhLoad *load);

#define PH_LOADS_MAX 3 /* entries of PH_FIELD_LOADS */
#define PH_LOADS_TEXT_SIZE 256

/*
 * ph_loads_format, ph_loads_parse: entries of at most PH_LOADS_MAX upstreams, separated by commas.
 * Each is "key age-ms in-flight queued limit slowdown-percent cold-rate", see PhLoadEntry: the key
 * in hexadecimal, the other numbers decimal. text has PH_LOADS_TEXT_SIZE bytes for
 * ph_loads_format. ph_loads_parse returns the number of entries, 0 when the text is not valid.
 */
void ph_loads_format (const PhLoadEntry *entries, uint32_t count, char *text);
uint32_t ph_loads_parse (const char *text, PhLoadEntry *entries);

#define PH_CHAIN_POOLS_TEXT_SIZE 320

/* ph_chain_route_parse: a key of 16 hexadecimal digits in lower case. ph_chain_evidence_parse: a
 * decimal integer from -max to max, with a minus or no sign. */
bool ph_chain_route_parse (const char *text, uint64_t *key);
bool ph_chain_evidence_parse (const char *text, int32_t max, int32_t *evidence);

/*
 * ph_chain_pools_format, ph_chain_pools_parse: the pools of a report, separated by commas. Each is
 * "key age-ms pool": the key in hexadecimal, the others decimal, the pool as above. text has
 * PH_CHAIN_POOLS_TEXT_SIZE bytes for ph_chain_pools_format. ph_chain_pools_parse returns false, and
 * leaves no pool in the report, when the text is not valid.
 */
void ph_chain_pools_format (const PhChainReport *report, char *text);
bool ph_chain_pools_parse (const char *text, PhChainReport *report);

#define PH_DURATION_MAX (10000000 * PH_SECOND) /* 115 days */

/* ph_number_parse: a decimal integer from 0 to max, without a sign, spaces or other text. */
bool ph_number_parse (const char *text, uint64_t max, uint64_t *number);

/* ph_duration_parse: convert a number with the unit ms or s, such as "1500ms" or "2.5s", to
 * microseconds; at most PH_DURATION_MAX. text may be NULL. Returns false for any other text. */
bool ph_duration_parse (const char *text, PhTime *time);

/* ph_duration_read: convert a number with the unit ms or s to seconds, without a bound: the result
 * may be infinite. text may be NULL. Returns false for any other text. */
bool ph_duration_read (const char *text, double *seconds);

/* ph_flag_parse: "true" or "false". */
bool ph_flag_parse (const char *text, bool *flag);

/* ph_field_is_forwarded: whether a field is copied to a forwarded message: false for hop-by-hop
 * fields (RFC 9110, 7.6.1), Pollenhitch-* fields and fields that the HTTP libraries set. */
bool ph_field_is_forwarded (const char *name);

/* ph_field_is_token: whether a field name has the syntax of a token (RFC 9110, 5.6.2). */
bool ph_field_is_token (const char *name);

/* ph_field_is_listed: whether the value of a Connection field lists a field, which makes that field
 * hop-by-hop. connection may be NULL. */
bool ph_field_is_listed (const char *connection, const char *name);

/* ph_service_from_host: convert a host "service.team", which a dot and further labels or a colon
 * and a port may follow, to "team/service" in lower case, in a buffer of PH_NAME_MAX bytes. Returns
 * false when one of the first two labels is empty or has other characters than letters, digits and
 * hyphens, or when the result does not fit. */
bool ph_service_from_host (const char *host, char *service);

/* ph_method_is_safe: whether a method is GET, HEAD or OPTIONS, which are safe methods by RFC
 * 9110. */
bool ph_method_is_safe (const char *method);

#endif
