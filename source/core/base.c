#include "pollenhitch/base.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define LOG_LINE_MAX 512
#define SHORT_TEXT_DIGITS 24 /* of the hash in a shortened text */

static const char *const error_code_names[] = {
  "none",     "invalid",  "full", "not-found", "conflict", "timeout",
  "io-error", "protocol", "auth", "state",     "memory",
};

static const char *const step_names[PH_STEP_COUNT] = {
  "none",        "settings",    "listen",   "announce", "choose", "admit",
  "connect",     "send",        "response", "gossip",   "sync",   "store-read",
  "store-write", "store-watch", "config",   "move",     "probe",  "stop",
};

const char *
ph_error_code_name (PhErrorCode code)
{
  return (size_t)code < sizeof error_code_names / sizeof *error_code_names ? error_code_names[code]
                                                                           : "unknown";
}

const char *
ph_step_name (PhStep step)
{
  return (unsigned)step < PH_STEP_COUNT ? step_names[step] : "unknown";
}

/* Length of a text after an incomplete UTF-8 character at its end is left out. */
static size_t
complete_size (const char *text, size_t size)
{
  size_t at = size;

  while (at > 0 && ((unsigned char)text[at - 1] & 0xc0) == 0x80 && size - at < 3)
    at--;
  if (at == 0 || (unsigned char)text[at - 1] < 0xc0)
    return size;
  return size - at + 1
                 == ((unsigned char)text[at - 1] >= 0xf0   ? 4u
                     : (unsigned char)text[at - 1] >= 0xe0 ? 3u
                                                           : 2u)
             ? size
             : at - 1;
}

/* Formats a text. One that does not fit is cut between two UTF-8 characters, because encoders of
 * JSON reject a text with half of one. */
__attribute__ ((format (printf, 3, 0))) static void
format_text (char *text, size_t size, const char *format, va_list args)
{
  if (vsnprintf (text, size, format, args) >= (int)size)
    text[complete_size (text, strlen (text))] = '\0';
}

bool
ph_error_set (
    PhError *err, PhErrorCode code, PhStep step, const char *peer, const char *format, ...)
{
  va_list args;

  if (err == NULL)
    return false;
  err->code = code;
  err->step = step;
  ph_text_shorten (err->peer, sizeof err->peer, peer != NULL ? peer : "");
  va_start (args, format);
  format_text (err->text, sizeof err->text, format, args);
  va_end (args);
  return false;
}

void
ph_log (PhContext *ctx, PhLogLevel level, PhStep step, const char *peer, const char *format, ...)
{
  char text[LOG_LINE_MAX];
  va_list args;

  if (ctx->log == NULL)
    return;
  va_start (args, format);
  format_text (text, sizeof text, format, args);
  va_end (args);
  ctx->log (ctx->log_user, level, step, peer != NULL ? peer : "", text);
}

void
ph_log_error (PhContext *ctx, PhLogLevel level, const PhError *err)
{
  ph_log (ctx, level, err->step, err->peer, "%s: %s", ph_error_code_name (err->code), err->text);
}

static uint64_t
splitmix64 (uint64_t *state)
{
  uint64_t z = (*state += 0x9e3779b97f4a7c15u);

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

static uint64_t
rotate_left (uint64_t x, int bits)
{
  return (x << bits) | (x >> (64 - bits));
}

void
ph_random_seed (PhRandom *random, uint64_t seed)
{
  for (int i = 0; i < 4; i++)
    random->state[i] = splitmix64 (&seed);
}

uint64_t
ph_random_next (PhRandom *random)
{
  uint64_t *s = random->state;
  uint64_t result = rotate_left (s[1] * 5, 7) * 9;
  uint64_t t = s[1] << 17;

  s[2] ^= s[0];
  s[3] ^= s[1];
  s[1] ^= s[2];
  s[0] ^= s[3];
  s[2] ^= t;
  s[3] = rotate_left (s[3], 45);
  return result;
}

uint32_t
ph_random_below (PhRandom *random, uint32_t bound)
{
  return (uint32_t)(((ph_random_next (random) >> 32) * bound) >> 32);
}

double
ph_random_unit (PhRandom *random)
{
  return (double)(ph_random_next (random) >> 11) * 0x1.0p-53;
}

bool
ph_text_copy (char *field, size_t size, const char *text)
{
  size_t needed = strlen (text) + 1;

  field[0] = '\0';
  if (needed > size)
    return false;
  memcpy (field, text, needed);
  return true;
}

void
ph_text_shorten (char *field, size_t size, const char *text)
{
  size_t text_size = strlen (text);
  size_t kept = size - 1 - SHORT_TEXT_DIGITS - 1;
  XXH128_hash_t hash;

  if (ph_text_copy (field, size, text))
    return;
  hash = XXH3_128bits (text, text_size);
  kept = complete_size (text, kept);
  memcpy (field, text, kept);
  snprintf (field + kept, size - kept, "~%08" PRIx32 "%016" PRIx64, (uint32_t)hash.high64,
            hash.low64);
}
