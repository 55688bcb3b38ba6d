#ifndef PH_BASE_H
#define PH_BASE_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Context, errors, time and random numbers.
 *
 * Nearly every function of the library takes a PhContext as its first argument.
 * The program owns it: one for each process, and in tests one for each case. It
 * carries the clock and the random generator, so that a decision depends on
 * nothing outside its arguments.
 *
 * Conventions of the functions in source/core, unless a note says otherwise:
 * - a parameter "PhError *err" receives the reason of a failure and may be NULL;
 *   other pointers must not be NULL;
 * - strings and structs that are passed in are borrowed during the call;
 * - a stale handle is ignored, or gives 0, false or NULL (see table.h).
 */

/* A time on the monotonic clock, or a duration, in microseconds. */
typedef int64_t PhTime;

#define PH_MS ((PhTime)1000)
#define PH_SECOND ((PhTime)1000000)
#define PH_TIME_NEVER INT64_MAX

#define PH_NAME_MAX 64 /* bytes of a name with its terminating zero */

typedef enum
{
  PH_ERROR_NONE,
  PH_ERROR_INVALID,   /* a setting, field or argument has a value that is not allowed */
  PH_ERROR_FULL,      /* a table or queue is full */
  PH_ERROR_NOT_FOUND, /* no object, row or file of this name exists */
  PH_ERROR_CONFLICT,  /* a conditional update found another revision than it expected */
  PH_ERROR_TIMEOUT,
  PH_ERROR_IO,
  PH_ERROR_PROTOCOL, /* a message cannot be decoded */
  /* A message authentication code does not match, or a sync request is stale, a duplicate or for
   * another process. */
  PH_ERROR_AUTH,
  PH_ERROR_STATE, /* the operation is not allowed in the current state */
  PH_ERROR_MEMORY
} PhErrorCode;

/* Step of the work at which an error arose or a line was logged. */
typedef enum
{
  PH_STEP_NONE,
  PH_STEP_SETTINGS,
  PH_STEP_LISTEN,
  PH_STEP_ANNOUNCE,
  PH_STEP_CHOOSE,
  PH_STEP_ADMIT,
  PH_STEP_CONNECT,
  PH_STEP_SEND,
  PH_STEP_RESPONSE,
  PH_STEP_GOSSIP,
  PH_STEP_SYNC,
  PH_STEP_STORE_READ,
  PH_STEP_STORE_WRITE,
  PH_STEP_STORE_WATCH,
  PH_STEP_CONFIG,
  PH_STEP_MOVE,
  PH_STEP_PROBE,
  PH_STEP_STOP,
  PH_STEP_COUNT
} PhStep;

/* An error, with the step at which it arose and the peer that was involved. */
typedef struct
{
  PhErrorCode code;
  PhStep step;
  char peer[PH_NAME_MAX]; /* "" when there is none */
  char text[320];         /* room for an object's path, a field, its value and what is allowed */
} PhError;

typedef enum
{
  PH_LOG_ERROR,
  PH_LOG_WARNING,
  PH_LOG_INFO,
  PH_LOG_DEBUG
} PhLogLevel;

/* Writes one log line. peer and text are borrowed during the call; peer is "" when there is none.
 */
typedef void (*PhLogFunc) (
    void *user, PhLogLevel level, PhStep step, const char *peer, const char *text);

/* State of a random generator. */
typedef struct
{
  uint64_t state[4];
} PhRandom;

typedef struct PhEventRing PhEventRing;
typedef struct PhCounters PhCounters;

/* Context of a process: time, randomness, and where to log and to record. */
typedef struct
{
  PhTime now;      /* current time; set by the program before each tick */
  int64_t wall_us; /* wall clock, microseconds since 1970; set with now */
  PhRandom random;
  PhLogFunc log;        /* NULL for no log */
  void *log_user;       /* first argument of log */
  bool logs_events;     /* also logs each event of a call, at debug */
  uint64_t clock;       /* hybrid logical clock, see event.h */
  PhEventRing *events;  /* event timeline; borrowed, may be NULL */
  PhCounters *counters; /* borrowed, may be NULL */
} PhContext;

/*
 * ph_error_set: fill in an error; the text is cut off where it does not fit, and the peer
 * shortened.
 *
 * err and peer may be NULL. Always returns false, so that a caller can write
 * "return ph_error_set (...)".
 */
bool ph_error_set (
    PhError *err, PhErrorCode code, PhStep step, const char *peer, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/* ph_error_code_name, ph_step_name: static text for logs; "unknown" for a value out of range. */
const char *ph_error_code_name (PhErrorCode code);
const char *ph_step_name (PhStep step);

/* ph_log: pass one line, of at most 511 bytes, to the context's log function. peer may be NULL. */
void
ph_log (PhContext *ctx, PhLogLevel level, PhStep step, const char *peer, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/* ph_log_error: log an error with its code, step and peer. */
void ph_log_error (PhContext *ctx, PhLogLevel level, const PhError *err);

/*
 * ph_random_seed: initialise the generator (xoshiro256**, Blackman and Vigna
 * 2018, seeded by splitmix64). The same seed gives the same sequence.
 */
void ph_random_seed (PhRandom *random, uint64_t seed);

/* ph_random_next: the next 64-bit number of the sequence. */
uint64_t ph_random_next (PhRandom *random);

/* ph_random_below: a number from 0 to bound - 1; bound 0 gives 0. */
uint32_t ph_random_below (PhRandom *random, uint32_t bound);

/* ph_random_unit: a number in [0, 1). */
double ph_random_unit (PhRandom *random);

/* ph_text_copy: copy a string into a field of size bytes. Returns false, with the field set to "",
 * when the string and its terminating zero do not fit. */
bool ph_text_copy (char *field, size_t size, const char *text);

/*
 * ph_text_shorten: copy a name into a field of size bytes, at least PH_SHORT_TEXT_MIN.
 *
 * One that does not fit is replaced by its beginning, "~" and 24 digits of a hash (XXH3), so that
 * two long names remain different. A name that holds valid UTF-8 is cut between two characters.
 */
#define PH_SHORT_TEXT_MIN 32
void ph_text_shorten (char *field, size_t size, const char *text);

#endif
