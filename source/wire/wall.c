#include <stdio.h>
#include <string.h>
#include <time.h>

#include "pollenhitch/object.h"

#define US_PER_SECOND 1000000
#define FRACTION_DIGITS 6

/* Value of two decimal digits, or -1 when there are other bytes. */
static int
parse_two_digits (const char *text)
{
  if (text[0] < '0' || text[0] > '9' || text[1] < '0' || text[1] > '9')
    return -1;
  return (text[0] - '0') * 10 + text[1] - '0';
}

/* Whether text begins with the pattern, in which 0 stands for any digit. */
static bool
matches_pattern (const char *text, const char *pattern)
{
  for (; *pattern != '\0'; pattern++, text++)
    if (*pattern == '0' ? (*text < '0' || *text > '9') : *text != *pattern)
      return false;
  return true;
}

bool
ph_wall_time_parse (const char *text, int64_t *wall_us)
{
  struct tm tm = { 0 };
  struct tm normalized;
  time_t seconds;
  int64_t fraction = 0;
  int digits = 0;

  if (!matches_pattern (text, "0000-00-00T00:00:00"))
    return false;
  tm.tm_year = parse_two_digits (text) * 100 + parse_two_digits (text + 2) - 1900;
  tm.tm_mon = parse_two_digits (text + 5) - 1;
  tm.tm_mday = parse_two_digits (text + 8);
  tm.tm_hour = parse_two_digits (text + 11);
  tm.tm_min = parse_two_digits (text + 14);
  tm.tm_sec = parse_two_digits (text + 17);
  text += strlen ("0000-00-00T00:00:00");
  normalized = tm;
  seconds = timegm (&normalized);
  /* timegm normalizes a date that does not exist, such as 30 February, to another one. */
  if (normalized.tm_year != tm.tm_year || normalized.tm_mon != tm.tm_mon
      || normalized.tm_mday != tm.tm_mday || normalized.tm_hour != tm.tm_hour
      || normalized.tm_min != tm.tm_min || normalized.tm_sec != tm.tm_sec
      || seconds < PH_OBJECT_WALL_TIME_MIN_S || seconds > PH_OBJECT_WALL_TIME_MAX_S)
    return false;
  if (*text == '.')
    {
      for (text++; *text >= '0' && *text <= '9' && digits < FRACTION_DIGITS; text++, digits++)
        fraction = fraction * 10 + *text - '0';
      if (digits == 0)
        return false;
      for (; digits < FRACTION_DIGITS; digits++)
        fraction *= 10;
    }
  if (strcmp (text, "Z") != 0)
    return false;
  *wall_us = (int64_t)seconds * US_PER_SECOND + fraction;
  return true;
}

void
ph_wall_time_format (int64_t wall_us, char *text)
{
  time_t seconds = wall_us / US_PER_SECOND;
  int fraction = (int)(wall_us % US_PER_SECOND);
  struct tm tm;
  size_t used;

  gmtime_r (&seconds, &tm);
  used = strftime (text, PH_WALL_TIME_TEXT_SIZE, "%Y-%m-%dT%H:%M:%S", &tm);
  if (fraction != 0)
    snprintf (text + used, PH_WALL_TIME_TEXT_SIZE - used, ".%06dZ", fraction);
  else
    snprintf (text + used, PH_WALL_TIME_TEXT_SIZE - used, "Z");
}
