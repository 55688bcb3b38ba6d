#ifndef PH_CLIENT_OUTPUT_H
#define PH_CLIENT_OUTPUT_H

#include <glib.h>
#include <jansson.h>

#include "pollenhitch/base.h"
#include "pollenhitch/settings.h"

/* Standard output of the commands that print objects or nodes, as JSON or as a table. */

typedef enum
{
  PH_OUTPUT_JSON,
  PH_OUTPUT_TABLE
} PhOutputFormat;

#define PH_OUTPUT_SETTING(Settings, member, fallback)                                              \
  {                                                                                                \
    "output", PH_SETTING_TEXT, offsetof (Settings, member), fallback, 1, 16, "json or table"       \
  }

/* ph_output_parse: parse the value of --output. Returns false with err set when it is neither json
 * nor table. */
bool ph_output_parse (const char *text, PhOutputFormat *format, PhError *err);

/* ph_output_finish: flush standard output. Returns status, the exit status of the command so far,
 * or PH_EXIT_FAILED with a line on stderr when the output could not be written. command is the
 * subcommand without the program's name, as "diff". */
int ph_output_finish (const char *command, int status);

/* ph_output_print_json: print an array or object as indented JSON and a line end. A write error is
 * reported by ph_output_finish. */
void ph_output_print_json (const json_t *value);

/* Table of text cells, printed in aligned columns under a line of titles. */
typedef struct
{
  const char *const *titles; /* column_count titles, not owned */
  guint column_count;
  GPtrArray *cells; /* char *, row by row, owned */
} PhOutputTable;

/* ph_output_table_init: start an empty table. titles must outlive it. Release with
 * ph_output_table_print. */
void ph_output_table_init (PhOutputTable *table, const char *const *titles, guint column_count);

/* ph_output_table_add: format the next cell, in row order. Control characters become "?". */
void ph_output_table_add (PhOutputTable *table, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* ph_output_table_print: print the table on standard output and release it. */
void ph_output_table_print (PhOutputTable *table);

#endif
