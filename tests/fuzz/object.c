/*
 * Decodes mutated objects. Arguments: number of inputs, seed (default 1). The
 * same arguments give the same inputs. The last line is "N passed, N failed".
 *
 * Guards against input that crashes the decoder, that changes the object although
 * it is refused, that gives an error message of several lines or without the path,
 * and that decodes to an object whose encoding decodes to a different one.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pollenhitch/object.h"

#define INPUT_MAX 4096
#define MUTATIONS_MAX 6
#define FAILURES_SHOWN 10

typedef struct
{
  const char *path;
  const char *text;
} SeedObject;

static const SeedObject seed_objects[] = {
  { "/teams/cascade/services/booking-desk",
    "{\"kind\":\"service\",\"spec\":{\"deadline_ms\":900,\"queue_ms\":0,\"retry_percent\":100,"
    "\"probes_per_minute\":60}}" },
  { "/teams/cascade/data-centres/kamloops",
    "{\"kind\":\"data-centre\",\"spec\":{\"region\":\"bc-south\",\"out\":true}}" },
  { "/teams/cascade/moves/friday",
    "{\"kind\":\"move\",\"spec\":{\"service\":\"cascade/booking-desk\",\"from\":\"1.0\","
    "\"to\":\"1.1\",\"start\":\"2026-12-04T18:00:00Z\",\"deadline\":\"2026-12-07T08:00:00.25Z\","
    "\"cancelled\":false}}" },
  { "/teams/instituto/budgets/pedidos",
    "{\"kind\":\"budget\",\"spec\":{\"probes_per_minute\":30}}" },
  { "/teams/instituto/upstream-rules/horno",
    "{\"kind\":\"upstream-rules\",\"spec\":{\"versions\":{\"2.3\":{\"max_slots\":6,"
    "\"cold_start_s\":30},\"2.4\":{}}}}" },
};

/* Texts that parsers often handle wrongly. */
static const char *const tokens[] = {
  "\"",
  "\\",
  "{",
  "}",
  "[",
  "]",
  ":",
  ",",
  "null",
  "true",
  "-1",
  "0",
  "1e9",
  "4294967296",
  "-0",
  "1.0",
  "\\u0000",
  "\\ud800",
  "9223372036854775808",
  "\n",
  "\x80",
  "\xc3\xa9",
  "\"kind\"",
  "\"spec\"",
  "{\"a\":",
  "[[[[[[[[[[",
  "3600001",
  "2026-02-30T00:00:00Z",
};

#define COUNT(array) (sizeof (array) / sizeof *(array))

typedef struct
{
  char bytes[INPUT_MAX];
  size_t size;
} Input;

static size_t
draw_below (PhRandom *random, size_t bound)
{
  return ph_random_below (random, (uint32_t)bound);
}

/* Replaces count bytes of the input by a text, unless the result is too large. */
static void
replace (Input *input, size_t at, size_t count, const char *text, size_t size)
{
  if (input->size - count + size > INPUT_MAX)
    return;
  memmove (input->bytes + at + size, input->bytes + at + count, input->size - at - count);
  memcpy (input->bytes + at, text, size);
  input->size += size - count;
}

static void
mutate (PhRandom *random, Input *input)
{
  size_t at = draw_below (random, input->size + 1);
  size_t remaining = input->size - at;
  size_t count = draw_below (random, remaining < 32 ? remaining + 1 : 33);
  const char *token = tokens[draw_below (random, COUNT (tokens))];
  const char *other_text = seed_objects[draw_below (random, COUNT (seed_objects))].text;
  char slice[32];
  char byte = (char)ph_random_next (random);

  switch (draw_below (random, 6))
    {
    case 0: /* another byte */
      replace (input, at, remaining > 0, &byte, 1);
      break;
    case 1: /* a byte with one bit changed */
      if (remaining > 0)
        input->bytes[at] = (char)(input->bytes[at] ^ (1 << draw_below (random, 8)));
      break;
    case 2: /* a section removed */
      replace (input, at, count, "", 0);
      break;
    case 3: /* a section repeated */
      count = count < sizeof slice ? count : sizeof slice;
      memcpy (slice, input->bytes + at, count);
      replace (input, at, 0, slice, count);
      break;
    case 4: /* a token in place of a section */
      replace (input, at, count < 8 ? count : 0, token, strlen (token));
      break;
    default: /* the end of another object */
      at = at < strlen (other_text) ? at : strlen (other_text);
      replace (input, at, input->size - at, other_text + at, strlen (other_text) - at);
      break;
    }
}

/* Returns whether the encoding of an object decodes to an object with the same encoding. */
static bool
is_encoding_stable (const PhObject *object)
{
  PhObject decoded = { 0 };
  char *text = ph_object_encode (object, NULL);
  char *reencoded = NULL;
  bool is_stable = false;

  ph_text_copy (decoded.path, sizeof decoded.path, object->path);
  if (text != NULL && ph_object_decode (NULL, text, strlen (text), &decoded, NULL))
    reencoded = ph_object_encode (&decoded, NULL);
  if (text != NULL && reencoded != NULL)
    is_stable = strcmp (text, reencoded) == 0;
  free (text);
  free (reencoded);
  return is_stable;
}

static bool
is_one_line (const char *text)
{
  for (; *text != '\0'; text++)
    if ((unsigned char)*text < ' ')
      return false;
  return true;
}

/* Decodes an input. Returns whether it was accepted as a stable object or refused with a proper
 * error. The bytes are in a block of exactly their size, so that the sanitizer detects reads beyond
 * it. */
static bool
is_handled_correctly (const SeedObject *seed_object, const Input *input, bool *is_valid)
{
  char *bytes = malloc (input->size > 0 ? input->size : 1);
  PhObject object;
  char before[sizeof object];
  const void *after = &object;
  PhError err = { 0 };

  if (bytes == NULL)
    return false;
  memcpy (bytes, input->bytes, input->size);
  memset (&object, 0, sizeof object);
  ph_text_copy (object.path, sizeof object.path, seed_object->path);
  memcpy (before, &object, sizeof before);
  *is_valid = ph_object_decode (NULL, bytes, input->size, &object, &err);
  free (bytes);
  if (*is_valid)
    return is_encoding_stable (&object);
  return memcmp (after, before, sizeof before) == 0 && err.code == PH_ERROR_INVALID
         && strncmp (err.text, seed_object->path, strlen (seed_object->path)) == 0
         && is_one_line (err.text);
}

int
main (int argc, char **argv)
{
  unsigned long input_count = argc > 1 ? strtoul (argv[1], NULL, 10) : 10000;
  unsigned long first_seed = argc > 2 ? strtoul (argv[2], NULL, 10) : 1;
  unsigned long failed = 0;
  unsigned long valid_count = 0;
  static Input input;

  for (unsigned long i = 0; i < input_count; i++)
    {
      PhRandom random;
      const SeedObject *seed_object;
      bool is_valid = false;
      size_t mutations;

      ph_random_seed (&random, first_seed + i);
      seed_object = &seed_objects[draw_below (&random, COUNT (seed_objects))];
      input.size = strlen (seed_object->text);
      memcpy (input.bytes, seed_object->text, input.size);
      mutations = draw_below (&random, MUTATIONS_MAX + 1);
      for (size_t j = 0; j < mutations; j++)
        mutate (&random, &input);
      if (!is_handled_correctly (seed_object, &input, &is_valid) && failed++ < FAILURES_SHOWN)
        printf ("seed %lu: %s: %.*s\n", first_seed + i, seed_object->path, (int)input.size,
                input.bytes);
      valid_count += is_valid;
    }
  printf ("%lu of %lu inputs are valid objects\n", valid_count, input_count);
  printf ("%lu passed, %lu failed\n", input_count - failed, failed);
  return failed != 0;
}
