#ifndef PH_CLIENT_INPUT_H
#define PH_CLIENT_INPUT_H

#include <jansson.h>

#include "pollenhitch/base.h"

/* Reads objects from JSON files. A file holds one object {"path", "kind", "spec"}, with an optional
 * "revision", or an array of such objects. */

typedef struct
{
  const char *path;  /* path in the store, points into a document of PhInput */
  json_t *object;    /* the object without "path" and "revision", owned */
  uint64_t revision; /* if has_revision: revision that the object must be at, 0 for no object yet */
  bool has_revision; /* whether the file or --if-revision gives a revision */
} PhInputItem;

typedef struct
{
  PhInputItem *items;
  size_t count;
  json_t **documents; /* parsed files, owned; the items' paths point into them */
  size_t document_count;
} PhInput;

/*
 * ph_input_read: read and check all files; "-" is the standard input.
 *
 * input must be zeroed. files is an array of file names that ends with NULL. Each
 * object is checked with the decoder that the nodes use. Returns false with err set
 * when no file is given, or a file or an object in it is not valid. Release with
 * ph_input_clear, also after a failure.
 */
bool ph_input_read (PhInput *input, char **files, PhError *err);
void ph_input_clear (PhInput *input);

#endif
