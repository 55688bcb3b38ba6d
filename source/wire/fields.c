#include "pollenhitch/fields.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Hop-by-hop fields, and those that libmicrohttpd and libcurl set themselves. */
static const char *const not_forwarded[] = {
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "Proxy-Authenticate",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Proxy-Authorization",
  "Upgrade",
  "Content-Length",
  "Expect",
};

static const char *const safe_methods[] = { "GET", "HEAD", "OPTIONS" };

bool
ph_number_parse (const char *text, uint64_t max, uint64_t *number)
{
  uint64_t value = 0;

  if (*text == '\0')
    return false;
  for (; *text != '\0'; text++)
    {
      uint64_t digit = (uint64_t)(*text - '0');

      if (*text < '0' || *text > '9' || digit > max || value > (max - digit) / 10)
        return false;
      value = value * 10 + digit;
    }
  *number = value;
  return true;
}

bool
ph_duration_read (const char *text, double *seconds)
{
  char *unit;
  double number;

  if (text == NULL || text[0] < '0' || text[0] > '9')
    return false;
  number = strtod (text, &unit);
  if (strcmp (unit, "ms") == 0)
    number /= 1e3;
  else if (strcmp (unit, "s") != 0)
    return false;
  *seconds = number;
  return true;
}

bool
ph_duration_parse (const char *text, PhTime *time)
{
  double seconds;

  if (!ph_duration_read (text, &seconds) || seconds > (double)PH_DURATION_MAX / PH_SECOND)
    return false;
  *time = (PhTime)(seconds * PH_SECOND + 0.5);
  return true;
}

bool
ph_flag_parse (const char *text, bool *flag)
{
  *flag = strcmp (text, "true") == 0;
  return *flag || strcmp (text, "false") == 0;
}

void
ph_load_format (const PhLoad *load, char *text)
{
  snprintf (text, PH_LOAD_TEXT_SIZE, "%" PRIu32 " %" PRIu32 " %" PRIu32 " %" PRIu32 " %" PRIu32,
            load->in_flight, load->queued, load->limit, load->latency_us, load->slowdown_percent);
}

bool
ph_load_parse (const char *text, PhLoad *load)
{
  uint32_t *const numbers[] = { &load->in_flight, &load->queued, &load->limit, &load->latency_us,
                                &load->slowdown_percent };
  char copy[PH_LOAD_TEXT_SIZE];
  char *rest = copy;

  if (!ph_text_copy (copy, sizeof copy, text))
    return false;
  for (size_t i = 0; i < sizeof numbers / sizeof *numbers; i++)
    {
      char *word = strsep (&rest, " ");
      uint64_t number;

      if (word == NULL || !ph_number_parse (word, UINT32_MAX, &number))
        return false;
      *numbers[i] = (uint32_t)number;
    }
  return rest == NULL;
}

#define LOAD_AGE_MAX_MS 60000
#define CHAIN_ROUTE_DIGITS 16

void
ph_loads_format (const PhLoadEntry *entries, uint32_t count, char *text)
{
  int size = 0;

  text[0] = '\0';
  for (uint32_t i = 0; i < count && i < PH_LOADS_MAX && size < PH_LOADS_TEXT_SIZE; i++)
    {
      const PhLoadEntry *e = &entries[i];

      size += snprintf (text + size, (size_t)(PH_LOADS_TEXT_SIZE - size),
                        "%s%" PRIx32 " %" PRId64 " %" PRIu32 " %" PRIu32 " %" PRIu32 " %" PRIu32
                        " %" PRIu32,
                        i > 0 ? "," : "", e->key, e->age / PH_MS, e->load.in_flight, e->load.queued,
                        e->load.limit, e->load.slowdown_percent, e->cold_rate);
    }
}

static bool
parse_key (const char *text, uint32_t *key)
{
  size_t digits = strspn (text, "0123456789abcdef");

  *key = (uint32_t)strtoul (text, NULL, 16);
  return digits > 0 && digits <= 8 && text[digits] == '\0';
}

static bool
parse_load_entry (char *text, PhLoadEntry *entry)
{
  uint64_t numbers[6];
  const char *word = strsep (&text, " ");

  if (!parse_key (word, &entry->key))
    return false;
  for (size_t i = 0; i < sizeof numbers / sizeof *numbers; i++)
    {
      word = strsep (&text, " ");
      if (word == NULL
          || !ph_number_parse (word, i == 0 ? LOAD_AGE_MAX_MS : UINT32_MAX, &numbers[i]))
        return false;
    }
  entry->age = (PhTime)numbers[0] * PH_MS;
  entry->load = (PhLoad){ (uint32_t)numbers[1], (uint32_t)numbers[2], (uint32_t)numbers[3], 0,
                          (uint32_t)numbers[4] };
  entry->cold_rate = (uint32_t)numbers[5];
  return text == NULL;
}

uint32_t
ph_loads_parse (const char *text, PhLoadEntry *entries)
{
  char copy[PH_LOADS_TEXT_SIZE];
  char *rest = copy;
  uint32_t count = 0;

  if (!ph_text_copy (copy, sizeof copy, text))
    return 0;
  while (rest != NULL)
    {
      char *entry = strsep (&rest, ",");

      if (count == PH_LOADS_MAX || !parse_load_entry (entry, &entries[count++]))
        return 0;
    }
  return count;
}

bool
ph_chain_route_parse (const char *text, uint64_t *key)
{
  *key = strtoull (text, NULL, 16);
  return strlen (text) == CHAIN_ROUTE_DIGITS
         && strspn (text, "0123456789abcdef") == CHAIN_ROUTE_DIGITS;
}

bool
ph_chain_evidence_parse (const char *text, int32_t max, int32_t *evidence)
{
  bool is_negative = text[0] == '-';
  uint64_t number;

  if (!ph_number_parse (text + is_negative, (uint64_t)max, &number))
    return false;
  *evidence = is_negative ? -(int32_t)number : (int32_t)number;
  return true;
}

#define CHAIN_AGE_MAX_MS ((uint64_t)(PH_CHAIN_POOL_AGE_MAX / PH_MS))

void
ph_chain_pools_format (const PhChainReport *report, char *text)
{
  int size = 0;

  text[0] = '\0';
  for (uint32_t i = 0; i < report->pool_count && size < PH_CHAIN_POOLS_TEXT_SIZE; i++)
    {
      const PhChainPoolEntry *e = &report->pools[i];

      size += snprintf (text + size, (size_t)(PH_CHAIN_POOLS_TEXT_SIZE - size),
                        "%s%" PRIx32 " %" PRId64 " %" PRId32, i > 0 ? "," : "", e->key,
                        e->age / PH_MS, e->pool);
    }
}

static bool
parse_pool_entry (char *text, PhChainPoolEntry *entry)
{
  const char *key = strsep (&text, " ");
  const char *age = strsep (&text, " ");
  const char *pool = strsep (&text, " ");
  uint64_t age_ms;

  if (!parse_key (key, &entry->key) || age == NULL
      || !ph_number_parse (age, CHAIN_AGE_MAX_MS, &age_ms) || pool == NULL
      || !ph_chain_evidence_parse (pool, PH_CHAIN_POOL_MAX, &entry->pool))
    return false;
  entry->age = (PhTime)age_ms * PH_MS;
  return text == NULL;
}

bool
ph_chain_pools_parse (const char *text, PhChainReport *report)
{
  char copy[PH_CHAIN_POOLS_TEXT_SIZE];
  char *rest = copy;
  uint32_t count = 0;

  report->pool_count = 0;
  if (!ph_text_copy (copy, sizeof copy, text))
    return false;
  while (rest != NULL)
    {
      char *entry = strsep (&rest, ",");

      if (count == PH_CHAIN_REPORT_POOLS || !parse_pool_entry (entry, &report->pools[count++]))
        return false;
    }
  report->pool_count = count;
  return true;
}

bool
ph_field_is_forwarded (const char *name)
{
  if (strncasecmp (name, PH_FIELD_PREFIX, strlen (PH_FIELD_PREFIX)) == 0)
    return false;
  for (size_t i = 0; i < sizeof not_forwarded / sizeof *not_forwarded; i++)
    if (strcasecmp (name, not_forwarded[i]) == 0)
      return false;
  return true;
}

bool
ph_field_is_token (const char *name)
{
  static const char allowed[] = "!#$%&'*+-.^_`|~0123456789"
                                "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

  return name[0] != '\0' && name[strspn (name, allowed)] == '\0';
}

bool
ph_field_is_listed (const char *connection, const char *name)
{
  size_t size = strlen (name);

  while (connection != NULL && *connection != '\0')
    {
      size_t token_size;

      connection += strspn (connection, ", \t");
      token_size = strcspn (connection, ", \t");
      if (token_size == size && strncasecmp (connection, name, size) == 0)
        return true;
      connection += token_size;
    }
  return false;
}

bool
ph_service_from_host (const char *host, char *service)
{
  static const char allowed[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-";
  size_t first = strspn (host, allowed);
  size_t second;

  if (first == 0 || host[first] != '.')
    return false;
  second = strspn (host + first + 1, allowed);
  if (second == 0 || first + second + 2 > PH_NAME_MAX
      || strchr (".:", host[first + 1 + second]) == NULL)
    return false;
  snprintf (service, PH_NAME_MAX, "%.*s/%.*s", (int)second, host + first + 1, (int)first, host);
  /* Host names are case-insensitive; names of services are lower-case. */
  for (char *c = service; *c != '\0'; c++)
    if (*c >= 'A' && *c <= 'Z')
      *c = (char)(*c - 'A' + 'a');
  return true;
}

bool
ph_method_is_safe (const char *method)
{
  for (size_t i = 0; i < sizeof safe_methods / sizeof *safe_methods; i++)
    if (strcmp (method, safe_methods[i]) == 0)
      return true;
  return false;
}
