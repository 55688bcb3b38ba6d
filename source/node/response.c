#include "node/response.h"

#include <inttypes.h>
#include <microhttpd.h>
#include <stdio.h>

#include "node/dialect.h"
#include "pollenhitch/fields.h"
#include "pollenhitch/load_view.h"

/* Adds the load of the local upstream and of others of its service that have a free slot. */
static void
add_loads (const PhNode *node, const PhResponseFields *fields)
{
  const PhWorld *world = node->world;
  const PhUpstream *local = ph_upstream_get (&world->upstreams, world->admission.upstream);
  PhLoadEntry entries[PH_LOADS_MAX];
  char text[PH_LOADS_TEXT_SIZE];
  uint32_t count;

  if (!world->uses_fleet_capacity || local == NULL)
    return;
  count = ph_load_view_collect (&node->ctx, world, (PhServiceId){ 0 }, entries, 1);
  count += ph_load_view_collect (&node->ctx, world, local->service, entries + count,
                                 PH_LOADS_MAX - count);
  ph_loads_format (entries, count, text);
  ph_response_add (fields, PH_FIELD_LOADS, text);
}

/* Adds the report about the route of a call from another node, see chain_reports.h. */
static void
add_chain_report (const PhExchange *exchange, const PhResponseFields *fields)
{
  const PhNode *node = exchange->dispatch->node;
  char text[PH_CHAIN_POOLS_TEXT_SIZE];
  PhChainReport report;

  if (exchange->chain_route == 0
      || !ph_chain_reports_response (&node->ctx, node->world, exchange->chain_route, &report)
      || report.pool_count == 0)
    return;
  ph_chain_pools_format (&report, text);
  ph_response_add (fields, PH_FIELD_CHAIN_POOLS, text);
}

void
ph_response_add_node_fields (const PhExchange *exchange, const PhResponseFields *fields)
{
  PhNode *node = exchange->dispatch->node;
  const PhDialect *dialect = node->dialect;
  char id[PH_CALL_ID_TEXT_SIZE];
  char text[PH_LOAD_TEXT_SIZE];
  PhLoad load;

  if (exchange->origin != PH_ORIGIN_PEER)
    {
      if (dialect->add_response_fields != NULL)
        dialect->add_response_fields (dialect->user, exchange, fields);
      return;
    }
  ph_call_id_format (exchange->call_id, id);
  ph_response_add (fields, PH_FIELD_CALL, id);
  snprintf (text, sizeof text, "%" PRIu64, ph_clock_now (&node->ctx));
  ph_response_add (fields, PH_FIELD_CLOCK, text);
  load = ph_admission_load (node->world);
  ph_load_format (&load, text);
  ph_response_add (fields, PH_FIELD_LOAD, text);
  add_loads (node, fields);
  add_chain_report (exchange, fields);
}

void
ph_response_add_upstream_fields (const PhExchange *exchange,
                                 PhTransferId transfer,
                                 const PhResponseFields *fields)
{
  PhFetch *fetch = exchange->dispatch->node->fetch;
  const char *listed = ph_fetch_field (fetch, transfer, MHD_HTTP_HEADER_CONNECTION);
  const char *name;
  const char *value;

  for (uint32_t i = 0; ph_fetch_field_at (fetch, transfer, i, &name, &value); i++)
    if (ph_field_is_forwarded (name) && !ph_field_is_listed (listed, name))
      ph_response_add (fields, name, value);
}

/* Other nodes are refused in pollenhitch's own dialect, callers in that of the platform. */
static const PhDialect *
refusal_dialect (const PhExchange *exchange)
{
  return exchange->origin == PH_ORIGIN_PEER ? ph_dialect_native ()
                                            : exchange->dispatch->node->dialect;
}

int
ph_response_refusal_status (const PhExchange *exchange)
{
  const PhDialect *dialect = refusal_dialect (exchange);

  return dialect->refusal_status (dialect->user, &exchange->refusal);
}

void
ph_response_add_refusal_fields (const PhExchange *exchange, const PhResponseFields *fields)
{
  const PhDialect *dialect = refusal_dialect (exchange);

  ph_response_add (fields, MHD_HTTP_HEADER_CONTENT_TYPE, "text/plain");
  dialect->add_refusal_fields (dialect->user, &exchange->refusal, fields);
}

size_t
ph_response_refusal_text (const PhRefusal *refusal, char *text)
{
  int size = snprintf (text, PH_REFUSAL_TEXT_SIZE, "%s; request run: %s\n",
                       ph_reason_name (refusal->reason), ph_run_name (refusal->run));

  return (size_t)size;
}
