#ifndef PH_RESPONSE_H
#define PH_RESPONSE_H

#include "node/dispatch.h"

/*
 * Fields of the responses of a node, whichever HTTP server sends them.
 */

#define PH_REFUSAL_TEXT_SIZE 128

/* Body of the refusal of a request for which there is no exchange. */
#define PH_TABLE_FULL_TEXT "table-full; request run: no\n"

/* ph_response_add_node_fields: add the fields that the node sets itself: towards a caller those of
 * the dialect, towards another node the call id, the clock and the load of the local upstream. */
void ph_response_add_node_fields (const PhExchange *exchange, const PhResponseFields *fields);

/* ph_response_add_upstream_fields: copy the end-to-end fields of the upstream's response. */
void ph_response_add_upstream_fields (const PhExchange *exchange,
                                      PhTransferId transfer,
                                      const PhResponseFields *fields);

/* ph_response_refusal_status: HTTP status of the exchange's refusal. */
int ph_response_refusal_status (const PhExchange *exchange);

/* ph_response_add_refusal_fields: add the fields of the exchange's refusal. */
void ph_response_add_refusal_fields (const PhExchange *exchange, const PhResponseFields *fields);

/* ph_response_refusal_text: write the body of a refusal to text, PH_REFUSAL_TEXT_SIZE bytes.
 * Returns its size. */
size_t ph_response_refusal_text (const PhRefusal *refusal, char *text);

#endif
