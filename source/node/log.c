#include "pollenhitch/log.h"

#include <jansson.h>
#include <log4c.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <unistd.h>

#define CATEGORY "pollenhitch"

/* A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF). Longer lines
 * are dropped. */
#define LINE_BYTES_MAX 4096

/* Rate limits for lines of the same level and step. Lines over the limit are suppressed, and the
 * next line of that level and step holds their number, so that a flood of refusals is cheap and its
 * size is known. At debug a call has several lines, and a node handles a few hundred calls a
 * second. */
#define LINES_PER_SECOND_MAX 20
#define DEBUG_LINES_PER_SECOND_MAX 1000

/* Lines of one level and step. */
typedef struct
{
  int64_t second;      /* wall clock second that lines counts */
  uint32_t lines;      /* lines admitted in that second */
  uint32_t suppressed; /* lines suppressed since the last line admitted */
} LineRate;

static struct
{
  char node[PH_NAME_MAX];
  LineRate rates[4][PH_STEP_COUNT];
  log4c_category_t *category;
  uint64_t dropped; /* lines that stderr did not accept */
} logger;

static const char *const level_names[] = { "error", "warning", "info", "debug" };
static const int log4c_priorities[]
    = { LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_WARN, LOG4C_PRIORITY_INFO, LOG4C_PRIORITY_DEBUG };

/* Returns the message unchanged: ph_log_write has already formatted it as JSON. */
static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  (void)layout;
  return event->evt_msg;
}

/* Writes a line to stderr if that does not block, and otherwise drops it. */
static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  struct pollfd fd = { .fd = STDERR_FILENO, .events = POLLOUT };
  size_t size = strlen (event->evt_rendered_msg);

  (void)appender;
  if (size > LINE_BYTES_MAX || poll (&fd, 1, 0) != 1 || (fd.revents & POLLOUT) == 0
      || write (STDERR_FILENO, event->evt_rendered_msg, size) != (ssize_t)size)
    logger.dropped++;
  return 0;
}

static const log4c_layout_type_t layout_type = { .name = "ph-json", .format = format_line };
static const log4c_appender_type_t appender_type = { .name = "ph-stderr", .append = append_line };

/* Returns the index of a level in level_names, or -1. */
static int
find_level (const char *name)
{
  for (int i = 0; i < 4; i++)
    if (strcmp (name, level_names[i]) == 0)
      return i;
  return -1;
}

bool
ph_log_level_check (const char *level, PhError *err)
{
  return find_level (level) >= 0
         || ph_error_set (
             err, PH_ERROR_INVALID, PH_STEP_SETTINGS, NULL,
             "--log-level: \"%.20s\" is not allowed; allowed: error, warning, info, debug", level);
}

void
ph_log_set_level (const char *level)
{
  int index = find_level (level);

  if (logger.category != NULL && index >= 0)
    log4c_category_set_priority (logger.category, log4c_priorities[index]);
}

bool
ph_log_is_debug_enabled (void)
{
  return logger.category != NULL
         && log4c_category_is_priority_enabled (logger.category, LOG4C_PRIORITY_DEBUG);
}

bool
ph_log_start (const char *node, const char *level, PhError *err)
{
  int index = find_level (level);
  log4c_appender_t *appender;
  log4c_layout_t *layout;

  if (!ph_log_level_check (level, err))
    return false;
  snprintf (logger.node, sizeof logger.node, "%s", node);
  log4c_layout_type_set (&layout_type);
  log4c_appender_type_set (&appender_type);
  layout = log4c_layout_get ("ph-json");
  log4c_layout_set_type (layout, &layout_type);
  appender = log4c_appender_get ("ph-stderr");
  log4c_appender_set_type (appender, &appender_type);
  log4c_appender_set_layout (appender, layout);
  logger.category = log4c_category_get (CATEGORY);
  log4c_category_set_additivity (logger.category, 0);
  log4c_category_set_appender (logger.category, appender);
  log4c_category_set_priority (logger.category, log4c_priorities[index]);
  return true;
}

void
ph_log_stop (void)
{
  logger.category = NULL;
  log4c_fini ();
}

/* Whether a line is within its rate limit. *suppressed is the number of lines of the same level and
 * step that were suppressed before it. */
static bool
admit_line (LineRate *rate, uint32_t max, int64_t second, uint32_t *suppressed)
{
  if (second != rate->second)
    {
      rate->second = second;
      rate->lines = 0;
    }
  *suppressed = rate->suppressed;
  if (rate->lines >= max)
    {
      rate->suppressed++;
      return false;
    }
  rate->lines++;
  rate->suppressed = 0;
  return true;
}

void
ph_log_write (void *user, PhLogLevel level, PhStep step, const char *peer, const char *text)
{
  struct timeval now;
  json_t *line;
  char *encoded;
  uint32_t suppressed;

  (void)user;
  if (logger.category == NULL
      || !log4c_category_is_priority_enabled (logger.category, log4c_priorities[level]))
    return;
  gettimeofday (&now, NULL);
  if (!admit_line (&logger.rates[level][step],
                   level == PH_LOG_DEBUG ? DEBUG_LINES_PER_SECOND_MAX : LINES_PER_SECOND_MAX,
                   now.tv_sec, &suppressed))
    return;
  line = json_pack ("{s:f, s:s, s:s, s:s, s:s, s:s}", "time",
                    (double)now.tv_sec + (double)now.tv_usec / 1e6, "level", level_names[level],
                    "node", logger.node, "step", ph_step_name (step), "peer", peer, "text", text);
  if (suppressed > 0)
    json_object_set_new (line, "suppressed", json_integer (suppressed));
  encoded = json_dumps (line, JSON_COMPACT | JSON_REAL_PRECISION (16));
  if (encoded != NULL)
    log4c_category_log (logger.category, log4c_priorities[level], "%s\n", encoded);
  free (encoded);
  json_decref (line);
}

uint64_t
ph_log_dropped_count (void)
{
  return logger.dropped;
}
