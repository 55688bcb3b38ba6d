#include "client/input.h"

#include <stdlib.h>
#include <string.h>

#include "pollenhitch/object.h"

static bool
set_item_error (const char *file, size_t index, const char *text, PhError *err)
{
  return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_CONFIG, NULL, "%.100s: object %zu: %s", file,
                       index + 1, text);
}

/* Reads one object of a file and checks it with the decoder that the nodes use. */
static bool
read_item (const char *file, size_t index, const json_t *source, PhInputItem *item, PhError *err)
{
  const json_t *revision = json_object_get (source, "revision");
  json_t *value;
  const char *name;
  PhObject object = { 0 };
  char *text;
  bool is_ok;

  item->path = json_string_value (json_object_get (source, "path"));
  if (!json_is_object (source) || item->path == NULL)
    return set_item_error (file, index, "not an object with the fields path, kind, spec", err);
  if (!ph_text_copy (object.path, sizeof object.path, item->path))
    return set_item_error (file, index, "path is over 159 bytes", err);
  if (revision != NULL && (!json_is_integer (revision) || json_integer_value (revision) < 0))
    return set_item_error (file, index, "revision is not a whole number of 0 or more", err);
  item->has_revision = revision != NULL;
  item->revision = (uint64_t)json_integer_value (revision);
  item->object = json_object ();
  json_object_foreach ((json_t *)source, name, value)
    if (strcmp (name, "path") != 0 && strcmp (name, "revision") != 0)
      json_object_set (item->object, name, value);
  text = json_dumps (item->object, JSON_COMPACT);
  if (text == NULL)
    return ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_CONFIG, NULL,
                         "out of memory for the text of an object");
  is_ok = ph_object_decode (NULL, text, strlen (text), &object, err);
  free (text);
  return is_ok;
}

void
ph_input_clear (PhInput *input)
{
  for (size_t i = 0; i < input->count; i++)
    json_decref (input->items[i].object);
  for (size_t i = 0; i < input->document_count; i++)
    json_decref (input->documents[i]);
  free (input->items);
  free (input->documents);
}

static bool
read_file (PhInput *input, const char *file, PhError *err)
{
  json_error_t json_error;
  json_t *root = strcmp (file, "-") == 0
                     ? json_loadf (stdin, JSON_REJECT_DUPLICATES, &json_error)
                     : json_load_file (file, JSON_REJECT_DUPLICATES, &json_error);
  size_t item_count = json_is_array (root) ? json_array_size (root) : 1;
  PhInputItem *items;

  if (root == NULL)
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_CONFIG, NULL, "%.100s: line %d: %.150s",
                         file, json_error.line, json_error.text);
  input->documents[input->document_count++] = root;
  items = realloc (input->items, (input->count + item_count + 1) * sizeof *items);
  if (items == NULL)
    return ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_CONFIG, NULL,
                         "out of memory for the list of objects");
  input->items = items;
  for (size_t i = 0; i < item_count; i++)
    {
      PhInputItem *item = &items[input->count++];

      *item = (PhInputItem){ 0 };
      if (!read_item (file, i, json_is_array (root) ? json_array_get (root, i) : root, item, err))
        return false;
    }
  return true;
}

bool
ph_input_read (PhInput *input, char **files, PhError *err)
{
  size_t count = 0;

  while (files[count] != NULL)
    count++;
  if (count == 0)
    return ph_error_set (err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
                         "FILE is not set; allowed: one or more files, - for the standard input");
  input->documents = calloc (count + 1, sizeof (json_t *));
  if (input->documents == NULL)
    return ph_error_set (err, PH_ERROR_MEMORY, PH_STEP_CONFIG, NULL,
                         "out of memory for the list of files");
  for (size_t i = 0; i < count; i++)
    if (!read_file (input, files[i], err))
      return false;
  return true;
}
