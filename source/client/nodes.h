#ifndef PH_CLIENT_NODES_H
#define PH_CLIENT_NODES_H

#include <curl/curl.h>
#include <jansson.h>

#include "node/head.h"
#include "pollenhitch/base.h"
#include "pollenhitch/settings.h"
#include "pollenhitch/table.h"

/* Requests a page of the admin port from a list of nodes. One thread runs all requests, at most 64
 * at the same time. */

#define PH_NODE_LIST_MAX 262144 /* bytes of --nodes; enough for 3,200 IPv6 addresses */

typedef struct
{
  char address[64]; /* IP address with the admin port, as 10.0.0.1:8082 */
  char path[64];    /* path of the page; "/v1/status" unless the command sets another one */
  const char *required_field; /* integer field that a valid page has; NULL: "config_revision" */
  json_t *page;               /* page of the last request, owned; NULL when the request failed */
  uint64_t config_revision;   /* "config_revision" of the last valid page, 0 when it has none */
  char failure[100];          /* why the last request failed; valid while page is NULL */
  CURL *curl;                 /* request in progress, NULL when there is none */
  PhHead head;                /* of the response */
  char *body;                 /* response body received so far, owned */
  size_t body_size;           /* bytes in body */
} PhNodeRow;

typedef struct
{
  uint32_t v;
} PhNodeRowId;

PH_DECLARE_TABLE (PhNodeRow, PhNodeRowId, ph_node_row)

typedef struct
{
  PhTable rows;    /* of PhNodeRow */
  PhQueue pending; /* rows whose request is not started yet */
  CURLM *multi;    /* runs the requests */
} PhNodes;

#define PH_NODES_SETTING(Settings, member)                                                         \
  {                                                                                                \
    "nodes", PH_SETTING_TEXT, offsetof (Settings, member), "", 0, PH_NODE_LIST_MAX,                \
        "nodes to ask, as address:admin-port,..."                                                  \
  }

/* ph_nodes_open: parse a list of IP addresses with ports, as "10.0.0.1:8082,[fd00::1]:8082", and
 * add a row for each entry. Returns false with err set when the list is empty, an entry is not
 * valid (err names it), memory runs out or libcurl cannot be initialised. Release with
 * ph_nodes_close, also after a failure. */
bool ph_nodes_open (PhNodes *nodes, const char *list, PhError *err);
void ph_nodes_close (PhNodes *nodes);

/* ph_node_row_parse: parse a page as JSON into row->page; unknown fields are kept. Returns false
 * with row->failure set when it does not have the required field as an integer of 0 or more. */
bool ph_node_row_parse (PhNodeRow *row, const char *text, size_t size);

/*
 * ph_nodes_query: request the page of each node for which is_selected returns true.
 *
 * is_selected must not be NULL. Returns when all requests have ended; each one has
 * a timeout of timeout_ms milliseconds. Each result is in row->page, or
 * row->failure when page is NULL. A row that is not selected keeps those of its last
 * request. config_revision is kept also when a request fails.
 */
void ph_nodes_query (PhNodes *nodes,
                     int64_t timeout_ms,
                     bool (*is_selected) (void *user, const PhNodeRow *row),
                     void *user);

#endif
