#include "client/output.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "pollenhitch/command.h"

bool
ph_output_parse (const char *text, PhOutputFormat *format, PhError *err)
{
  if (strcmp (text, "json") == 0)
    *format = PH_OUTPUT_JSON;
  else if (strcmp (text, "table") == 0)
    *format = PH_OUTPUT_TABLE;
  else
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                         "--output: \"%s\" is not allowed; allowed: json, table", text);
  return true;
}

int
ph_output_finish (const char *command, int status)
{
  if (fflush (stdout) == 0 && !ferror (stdout))
    return status;
  fprintf (stderr, "pollenhitch %s: the standard output cannot be written: %s\n", command,
           strerror (errno));
  return PH_EXIT_FAILED;
}

void
ph_output_print_json (const json_t *value)
{
  json_dumpf (value, stdout, JSON_INDENT (2));
  putchar ('\n');
}

void
ph_output_table_init (PhOutputTable *table, const char *const *titles, guint column_count)
{
  table->titles = titles;
  table->column_count = column_count;
  table->cells = g_ptr_array_new_with_free_func (g_free);
}

void
ph_output_table_add (PhOutputTable *table, const char *format, ...)
{
  va_list args;
  char *cell;

  va_start (args, format);
  cell = g_strdup_vprintf (format, args);
  va_end (args);
  for (char *c = cell; *c != '\0'; c++)
    if (g_ascii_iscntrl (*c))
      *c = '?';
  g_ptr_array_add (table->cells, cell);
}

static int
column_width (const PhOutputTable *table, guint column)
{
  size_t width = strlen (table->titles[column]);

  for (guint i = column; i < table->cells->len; i += table->column_count)
    width = MAX (width, strlen (table->cells->pdata[i]));
  return (int)width;
}

static void
print_cell (const PhOutputTable *table, guint column, const char *text)
{
  if (column + 1 < table->column_count)
    printf ("%-*s  ", column_width (table, column), text);
  else
    printf ("%s\n", text);
}

void
ph_output_table_print (PhOutputTable *table)
{
  for (guint i = 0; i < table->column_count; i++)
    print_cell (table, i, table->titles[i]);
  for (guint i = 0; i < table->cells->len; i += table->column_count)
    for (guint j = 0; j < table->column_count; j++)
      print_cell (table, j, table->cells->pdata[i + j]);
  g_ptr_array_free (table->cells, TRUE);
}
