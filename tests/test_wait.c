#include "client/wait.h"

#include <stdio.h>
#include <string.h>

#include "test.h"

#define PATH "/teams/cascade/services/booking-desk"
#define NODES 2

typedef struct
{
  const char *pages[NODES]; /* status page of each node; NULL: it does not respond */
  uint32_t count;           /* nodes at which all changes are in force */
  const char *rejection;    /* substring of the error text; NULL: no node rejects a change */
} WaitCase;

/* PATH is written at revision 7 and another path at revision 9. Guards against a change that is
 * reported as in force at a node that does not have it yet, and against status pages of other
 * releases that are misread. */
static const WaitCase cases[] = {
  { { NULL, NULL }, 0, NULL },
  { { "{\"config_revision\":8}", "{\"config_revision\":9}" }, 1, NULL },
  { { "{\"config_revision\":12}", "{\"config_revision\":9}" }, 2, NULL },
  { { "{\"config_revision\":9,\"rejected\":[],\"later\":{\"x\":[1]}}", NULL }, 1, NULL },
  { { "{\"config_revision\":\"9\"}", "{\"config_revision\":-1}" }, 0, NULL },
  { { "{}", "[9]" }, 0, NULL },
  { { "", "{\"config_revision\":9" }, 0, NULL },
  { { "{\"config_revision\":9,\"rejected\":[{\"path\":\"" PATH "\",\"revision\":7,"
      "\"error\":\"spec.x\"}]}",
      NULL },
    0,
    PATH ": rejected by 127.0.0.1:1: spec.x" },
  { { NULL, "{\"config_revision\":9,\"rejected\":[{\"path\":\"" PATH "\",\"revision\":7}]}" },
    0,
    PATH ": rejected by 127.0.0.1:2: no reason given" },
  /* Rejections of another revision or path, and malformed entries, do not concern this change. */
  { { "{\"config_revision\":9,\"rejected\":[{\"path\":\"" PATH "\",\"revision\":6}]}",
      "{\"config_revision\":9,\"rejected\":[{\"path\":\"/x\",\"revision\":7},3,{}]}" },
    2,
    NULL },
};

/* Parses the page of each node into its row. */
static void
parse_pages (PhWait *wait, const WaitCase *c)
{
  PhNodeRowId id = { 0 };

  for (int i = 0; i < NODES; i++)
    {
      id = ph_node_row_next (&wait->nodes.rows, id);
      if (c->pages[i] != NULL)
        ph_node_row_parse (ph_node_row_get (&wait->nodes.rows, id), c->pages[i],
                           strlen (c->pages[i]));
    }
}

static void
test_wait_cases (void)
{
  static const PhWaitSettings settings
      = { .is_requested = true, .nodes = "127.0.0.1:1,127.0.0.1:2", .timeout_s = 1 };

  for (size_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      char text[400] = "";
      PhWait wait;
      uint32_t count = 0;
      bool is_ok;

      CU_ASSERT_TRUE_FATAL (ph_wait_open (&wait, &settings, NULL));
      ph_wait_add (&wait, PATH, 7);
      ph_wait_add (&wait, "/teams/cascade/services/trip-library", 9);
      parse_pages (&wait, &cases[i]);
      is_ok = ph_wait_count_in_force (&wait, &count, text, sizeof text);
      if (is_ok != (cases[i].rejection == NULL) || (is_ok && count != cases[i].count)
          || (!is_ok && strstr (text, cases[i].rejection) == NULL))
        {
          fprintf (stderr, "case %zu: %u nodes, \"%s\"\n", i, count, text);
          CU_FAIL ("count or rejection differs");
        }
      ph_wait_close (&wait);
    }
}

typedef struct
{
  const char *list;
  const char *error; /* substring of the error text; NULL: the list is valid */
} ListCase;

/* Guards against an address that is truncated or misread, so that a request is sent to a wrong host
 * or port. */
static const ListCase list_cases[] = {
  { "10.0.0.1:8082", NULL },
  { "10.0.0.1:1,[fd00::1]:65535", NULL },
  { "", "--nodes (or POLLENHITCH_NODES) is not set" },
  { "10.0.0.1", "\"10.0.0.1\" is not allowed" },
  { "10.0.0.1:", "\"10.0.0.1:\" is not allowed" },
  { "10.0.0.1:0", "is not allowed" },
  { "10.0.0.1:65536", "is not allowed" },
  { "10.0.0.1:+80", "is not allowed" },
  { "10.0.0.1:80,", "\"\" is not allowed" },
  { "10.0.0.1:80/x", "is not allowed" },
  { "10.0.0.1 :80", "is not allowed" },
  { "fd00::1:80", "is not allowed" },
  { "[fd00::1:80", "is not allowed" },
  { "[]:80", "is not allowed" },
  { "vm-1:80", "\"vm-1:80\" is not allowed; allowed: address:port" },
};

static void
test_node_lists (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (list_cases); i++)
    {
      PhNodes nodes;
      PhError err = { 0 };
      bool is_ok = ph_nodes_open (&nodes, list_cases[i].list, &err);

      if (is_ok != (list_cases[i].error == NULL)
          || (!is_ok && strstr (err.text, list_cases[i].error) == NULL))
        {
          fprintf (stderr, "list \"%s\": %s\n", list_cases[i].list, err.text);
          CU_FAIL ("list or error differs");
        }
      ph_nodes_close (&nodes);
    }
}

static const PhTest tests[] = {
  { "changes in force are counted", test_wait_cases },
  { "lists of nodes are checked", test_node_lists },
};
PH_TEST_SUITE (wait, tests)
