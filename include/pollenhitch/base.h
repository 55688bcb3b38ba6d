#ifndef PH_BASE_H
#define PH_BASE_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Context, errors, time and random numbers.
 *
 * Every call of the library takes a PhContext first. It is owned by the
 * program (one for each process; tests make one for each case) and carries the
 * inputs that a decision may use: the clock and the random generator.
 */

/* Microseconds on the monotonic clock. */
typedef int64_t PhTime;

#define PH_MS ((PhTime)1000)
#define PH_SECOND ((PhTime)1000000)
#define PH_TIME_NEVER INT64_MAX

#define PH_NAME_MAX 64 /* bytes of a name with its final zero */

typedef enum
{
  PH_ERROR_NONE,
  PH_ERROR_INVALID,   /* a setting, field or argument is not allowed */
  PH_ERROR_FULL,      /* a table or queue has no room */
  PH_ERROR_NOT_FOUND, /* the named thing does not exist */
  PH_ERROR_CONFLICT,  /* a conditional update lost */
  PH_ERROR_TIMEOUT,
  PH_ERROR_IO,
  PH_ERROR_PROTOCOL, /* a message does not decode */
  PH_ERROR_AUTH,     /* a message authentication code does not match */
  PH_ERROR_STATE,    /* the call is not allowed in this state */
  PH_ERROR_MEMORY
} PhErrorCode;

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

/* An error with the step and the peer at which it arose. */
typedef struct
{
  PhErrorCode code;
  PhStep step;
  char peer[PH_NAME_MAX];
  char text[320]; /* a path of an object, a field, a value and what is allowed */
} PhError;

typedef enum
{
  PH_LOG_ERROR,
  PH_LOG_WARNING,
  PH_LOG_INFO,
  PH_LOG_DEBUG
} PhLogLevel;

typedef void (*PhLogFunc) (
    void *user, PhLogLevel level, PhStep step, const char *peer, const char *text);

typedef struct
{
  uint64_t state[4];
} PhRandom;

typedef struct PhEventRing PhEventRing;
typedef struct PhCounters PhCounters;

typedef struct
{
  PhTime now;      /* set by the program before each tick */
  int64_t wall_us; /* wall clock in microseconds, for records that people read */
  PhRandom random;
  PhLogFunc log;
  void *log_user;
  bool logs_events;     /* each event of a call is also a line at debug */
  uint64_t clock;       /* hybrid logical clock, see event.h */
  PhEventRing *events;  /* borrowed, may be NULL */
  PhCounters *counters; /* borrowed, may be NULL */
} PhContext;

/*
 * ph_error_set: fill in an error.
 *
 * err may be NULL. peer may be NULL. Returns false, so that a caller can write
 * "return ph_error_set (...)".
 */
bool ph_error_set (
    PhError *err, PhErrorCode code, PhStep step, const char *peer, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

const char *ph_error_code_name (PhErrorCode code);
const char *ph_step_name (PhStep step);

/* ph_log: pass one line to the context's log function. peer may be NULL. */
void
ph_log (PhContext *ctx, PhLogLevel level, PhStep step, const char *peer, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/* ph_log_error: log an error with its own step and peer. */
void ph_log_error (PhContext *ctx, PhLogLevel level, const PhError *err);

/*
 * ph_random_seed: start the generator (xoshiro256**, Blackman and Vigna 2018,
 * seeded by splitmix64). The same seed gives the same numbers.
 */
void ph_random_seed (PhRandom *random, uint64_t seed);
uint64_t ph_random_next (PhRandom *random);

/* ph_random_below: a number from 0 to bound - 1; bound 0 gives 0. */
uint32_t ph_random_below (PhRandom *random, uint32_t bound);

/* ph_random_unit: a number in [0, 1). */
double ph_random_unit (PhRandom *random);

/* ph_text_copy: copy a string into a field of size bytes. Returns false, with the field empty,
 * when it does not fit. */
bool ph_text_copy (char *field, size_t size, const char *text);

#endif
