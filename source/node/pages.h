#ifndef PH_PAGES_H
#define PH_PAGES_H

#include <jansson.h>

#include "node/node.h"

/*
 * Bodies of the admin server's responses.
 *
 * The caller owns what is returned: it drops JSON with json_decref and frees
 * text. NULL means that memory ran out.
 */

/* ph_page_status: body of GET /v1/status. */
json_t *ph_page_status (PhNode *node);

/* ph_page_events: body of GET /v1/events: at most limit events with a sequence number above after.
 */
json_t *ph_page_events (PhNode *node, uint64_t after, uint32_t limit);

/* ph_page_metrics: body of GET /metrics, in the Prometheus text exposition format 0.0.4. */
char *ph_page_metrics (PhNode *node);

#endif
