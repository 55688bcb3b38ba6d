#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "client/nodes.h"
#include "client/output.h"
#include "client/store.h"
#include "pollenhitch/command.h"

typedef struct
{
  const char *nodes;
  const char *output;
  int64_t timeout_ms;
} Settings;

static const PhSetting settings_table[] = {
  PH_NODES_SETTING (Settings, nodes),
  PH_OUTPUT_SETTING (Settings, output, "table"),
  { "timeout-ms", PH_SETTING_NUMBER, offsetof (Settings, timeout_ms), "2000", 10, 600000,
    "longest wait for the response of one node, in milliseconds" },
};

/* Formats the number of members in each state, as "alive 5, suspect 1". Release with g_free. */
static char *
format_members (const json_t *members)
{
  json_t *counts = json_object ();
  GString *text = g_string_new (NULL);
  const char *name;
  json_t *value;
  size_t i;

  json_array_foreach (members, i, value)
    {
      const char *state = json_string_value (json_object_get (value, "state"));

      if (state == NULL)
        state = "unknown";
      json_object_set_new (counts, state,
                           json_integer (json_integer_value (json_object_get (counts, state)) + 1));
    }
  json_object_foreach (counts, name, value)
    g_string_append_printf (text, "%s%s %" JSON_INTEGER_FORMAT, text->len > 0 ? ", " : "", name,
                            json_integer_value (value));
  json_decref (counts);
  return g_string_free (text, FALSE);
}

/* Adds a cell with a text field of an object, or "-" when it has none. */
static void
add_text (PhOutputTable *table, const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  ph_output_table_add (table, "%s", text != NULL ? text : "-");
}

/* Adds a cell with an integer field of an object, or "-" when it has none. */
static void
add_number (PhOutputTable *table, const json_t *object, const char *name)
{
  const json_t *value = json_object_get (object, name);

  if (json_is_integer (value))
    ph_output_table_add (table, "%" JSON_INTEGER_FORMAT, json_integer_value (value));
  else
    ph_output_table_add (table, "-");
}

/* Adds a cell that shows whether the node watches the store, or how long it has waited for it. */
static void
add_store (PhOutputTable *table, const json_t *store)
{
  json_int_t waiting_ms = json_integer_value (json_object_get (store, "waiting_ms"));

  if (waiting_ms > 0)
    ph_output_table_add (table, "waiting %" JSON_INTEGER_FORMAT " s", waiting_ms / 1000);
  else
    ph_output_table_add (table, "%s",
                         json_is_true (json_object_get (store, "watching")) ? "watching" : "-");
}

/* Prints what a node leaves out of an object that is in force, a line each. */
static void
print_left_out (const PhNodeRow *row)
{
  json_t *entry;
  size_t i;

  json_array_foreach (json_object_get (row->page, "left_out"), i, entry)
    printf ("%s leaves out or adjusts %s: %s\n", row->address,
            json_string_value (json_object_get (entry, "entry")),
            json_string_value (json_object_get (entry, "reason")));
}

static void
print_table (const PhNodes *nodes)
{
  static const char *const titles[]
      = { "NODE",  "NAME",  "DATA-CENTRE", "REVISION", "REJECTED", "LEFT-OUT",
          "STORE", "CALLS", "IN-FLIGHT",   "QUEUED",   "LIMIT",    "MEMBERS" };
  PhNodeRowId id = { 0 };
  PhOutputTable table;

  ph_output_table_init (&table, titles, sizeof titles / sizeof *titles);
  while ((id = ph_node_row_next (&nodes->rows, id)).v != 0)
    {
      const PhNodeRow *row = ph_node_row_get (&nodes->rows, id);
      const json_t *upstream = json_object_get (row->page, "upstream");
      char *members;

      ph_output_table_add (&table, "%s", row->address);
      add_text (&table, row->page, "name");
      add_text (&table, row->page, "data_centre");
      add_number (&table, row->page, "config_revision");
      ph_output_table_add (&table, "%zu",
                           json_array_size (json_object_get (row->page, "rejected")));
      add_number (&table, row->page, "left_out_count");
      add_store (&table, json_object_get (row->page, "store"));
      add_number (&table, row->page, "calls");
      add_number (&table, upstream, "in_flight");
      add_number (&table, upstream, "queued");
      add_number (&table, upstream, "limit");
      members = format_members (json_object_get (row->page, "members"));
      if (row->page != NULL)
        ph_output_table_add (&table, "%s", members);
      else
        ph_output_table_add (&table, "does not respond: %s", row->failure);
      g_free (members);
    }
  ph_output_table_print (&table);
  while ((id = ph_node_row_next (&nodes->rows, id)).v != 0)
    print_left_out (ph_node_row_get (&nodes->rows, id));
}

static void
print_json (const PhNodes *nodes)
{
  json_t *list = json_array ();
  PhNodeRowId id = { 0 };

  while ((id = ph_node_row_next (&nodes->rows, id)).v != 0)
    {
      const PhNodeRow *row = ph_node_row_get (&nodes->rows, id);

      json_array_append_new (list, row->page != NULL
                                       ? json_pack ("{s:s, s:b, s:O}", "node", row->address,
                                                    "responds", 1, "status", row->page)
                                       : json_pack ("{s:s, s:b, s:s}", "node", row->address,
                                                    "responds", 0, "error", row->failure));
    }
  ph_output_print_json (list);
  json_decref (list);
}

/* An is_selected callback of ph_nodes_query. */
static bool
select_all (void *user, const PhNodeRow *row)
{
  (void)user;
  (void)row;
  return true;
}

static bool
all_responded (const PhNodes *nodes)
{
  PhNodeRowId id = { 0 };

  while ((id = ph_node_row_next (&nodes->rows, id)).v != 0)
    if (ph_node_row_get (&nodes->rows, id)->page == NULL)
      return false;
  return true;
}

int
ph_command_status (int argc, char **argv)
{
  static const char summary[] = "Asks each node for its status. Exit status 1 when one of them "
                                "does not respond.";
  Settings settings = { 0 };
  PhNodes nodes = { 0 };
  PhOutputFormat format = PH_OUTPUT_TABLE;
  PhError err = { 0 };
  int status = 0;

  if (!ph_settings_parse (settings_table, sizeof settings_table / sizeof *settings_table,
                          "pollenhitch status", NULL, summary, &argc, &argv, &settings, &err)
      || !ph_output_parse (settings.output, &format, &err))
    return ph_settings_print_error ("pollenhitch status", &err);
  if (ph_nodes_open (&nodes, settings.nodes, &err))
    {
      ph_nodes_query (&nodes, settings.timeout_ms, select_all, NULL);
      if (format == PH_OUTPUT_JSON)
        print_json (&nodes);
      else
        print_table (&nodes);
      status = all_responded (&nodes) ? 0 : PH_EXIT_FAILED;
    }
  else
    status = ph_client_report_error ("status", &err);
  ph_nodes_close (&nodes);
  return ph_output_finish ("status", status);
}
