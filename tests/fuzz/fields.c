/*
 * Reads mutated values of HTTP fields. Arguments: number of inputs, seed
 * (default 1). The same arguments give the same inputs. The last line is
 * "N passed, N failed".
 *
 * Guards against input that is read beyond its end, and against values that are
 * accepted but differ from their own canonical text.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pollenhitch/fields.h"

#define INPUT_MAX 128
#define MUTATIONS_MAX 4
#define COUNT(array) (sizeof (array) / sizeof *(array))

/* Whether the reader handled the text: refused it, or accepted its canonical form only. */
typedef bool (*ReadFunc) (const char *text);

static bool
read_call_id (const char *text)
{
  uint8_t id[PH_CALL_ID_SIZE];
  char again[PH_CALL_ID_TEXT_SIZE];

  if (!ph_call_id_parse (text, id))
    return true;
  ph_call_id_format (id, again);
  return strcmp (text, again) == 0;
}

/* Leading zeros are allowed in numbers; nothing else may differ. */
static bool
read_number (const char *text)
{
  uint64_t number;
  char again[32];
  const char *digits = text + strspn (text, "0");

  if (!ph_number_parse (text, UINT32_MAX, &number))
    return true;
  snprintf (again, sizeof again, "%" PRIu64, number);
  return number <= UINT32_MAX && strcmp (*digits != '\0' ? digits : "0", again) == 0;
}

static bool
read_load (const char *text)
{
  PhLoad load;
  PhLoad same;
  char again[PH_LOAD_TEXT_SIZE];

  if (!ph_load_parse (text, &load))
    return true;
  ph_load_format (&load, again);
  return ph_load_parse (again, &same) && memcmp (&load, &same, sizeof load) == 0;
}

static bool
read_host (const char *text)
{
  char service[PH_NAME_MAX] = "";
  const char *slash;

  if (!ph_service_from_host (text, service))
    return true;
  slash = strchr (service, '/');
  return slash != NULL && slash > service && slash[1] != '\0' && strchr (slash + 1, '/') == NULL
         && strpbrk (service, "HI") == NULL;
}

/* A field that is listed is in the text; an empty name never is. */
static bool
read_listed (const char *text)
{
  return !ph_field_is_listed (text, "X-Hop") || strstr (text, "op") != NULL
         || strstr (text, "OP") != NULL;
}

static bool
read_token (const char *text)
{
  return !ph_field_is_token (text) || strpbrk (text, " \t:,;\r\n\"") == NULL;
}

typedef struct
{
  const char *text;
  ReadFunc read;
} Seed;

static const Seed seeds[] = {
  { "00112233445566778899aabbccddeeff", read_call_id },
  { "4294967295", read_number },
  { "3 0 9 12345", read_load },
  { "booking-desk.cascade:8080", read_host },
  { "Horno.Instituto.example", read_host },
  { "keep-alive, X-Hop", read_listed },
  { "X-Request-Id", read_token },
};

static void
mutate (PhRandom *random, char *text)
{
  static const char bytes[] = "0f9 .:,/-xX\t\"\x01\xff";
  size_t size = strlen (text);
  size_t at = ph_random_below (random, (uint32_t)size + 1);

  switch (ph_random_below (random, 4))
    {
    case 0: /* replace */
      if (at < size)
        text[at] = bytes[ph_random_below (random, sizeof bytes - 1)];
      break;
    case 1: /* insert */
      if (size + 1 < INPUT_MAX)
        {
          memmove (text + at + 1, text + at, size - at + 1);
          text[at] = bytes[ph_random_below (random, sizeof bytes - 1)];
        }
      break;
    case 2: /* cut */
      text[at] = '\0';
      break;
    case 3: /* double */
      if (size * 2 < INPUT_MAX)
        {
          memcpy (text + size, text, size);
          text[size * 2] = '\0';
        }
      break;
    default:
      break;
    }
}

int
main (int argc, char **argv)
{
  unsigned long total = argc > 1 ? strtoul (argv[1], NULL, 10) : 10000;
  unsigned long first = argc > 2 ? strtoul (argv[2], NULL, 10) : 1;
  unsigned long failed = 0;

  for (unsigned long i = 0; i < total; i++)
    {
      PhRandom random;
      const Seed *seed;
      char text[INPUT_MAX];
      char *copy;
      uint32_t mutations;

      ph_random_seed (&random, first + i);
      seed = &seeds[ph_random_below (&random, COUNT (seeds))];
      snprintf (text, INPUT_MAX, "%s", seed->text);
      mutations = ph_random_below (&random, MUTATIONS_MAX + 1);
      for (uint32_t j = 0; j < mutations; j++)
        mutate (&random, text);
      /* In memory of its own size, so that the sanitizer sees a read beyond the end. */
      copy = strdup (text);
      if (copy == NULL)
        return 1;
      if (!seed->read (copy))
        {
          failed++;
          printf ("seed %lu: %s\n", first + i, text);
        }
      free (copy);
    }
  printf ("%lu passed, %lu failed\n", total - failed, failed);
  return failed != 0;
}
