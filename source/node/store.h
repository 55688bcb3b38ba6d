#ifndef PH_STORE_H
#define PH_STORE_H

#include "node/fetch.h"
#include "node/node.h"
#include "pollenhitch/move.h"

/*
 * Client of the platform's store.
 *
 * Two nodes of each data centre, the first two by rank over the live members,
 * list and watch /teams/ and keep the data centre's contact object; the others
 * get the configuration from their peers. So the number of calls does not grow
 * with the fleet. A node that finds no other member reads the contact objects.
 */

#define PH_STORE_WATCHERS 2
#define PH_STORE_CONTACTS_MAX 16

/* For the status page. Times are on the monotonic clock; 0 means never or not. */
typedef struct
{
  bool is_configured;
  bool is_watcher;
  PhTime last_success_at;
  PhTime failing_since; /* of the first failure after the last success */
  char last_error[sizeof ((PhError *)0)->text];
  uint64_t revision; /* the store's, as of the last response */
  uint64_t calls;
  uint64_t failures;
} PhStoreState;

/* What a call to the store does. */
typedef enum
{
  PH_STORE_LIST,    /* all objects under a prefix, page by page */
  PH_STORE_WATCH,   /* changes under a prefix after a revision */
  PH_STORE_GET,     /* one object */
  PH_STORE_CREATE,  /* an object that must not exist yet */
  PH_STORE_REPLACE, /* an object at the revision that was read */
  PH_STORE_REPORT   /* how a move stands, for operators, on condition that nobody did before */
} PhStoreAction;

typedef struct
{
  PhStoreAction action;
  const char *path;       /* a prefix for LIST and WATCH */
  uint64_t revision;      /* WATCH: after it; REPLACE, REPORT: the one that was read */
  const char *after_path; /* LIST: last path of the page before, "" for the first page */
  uint32_t wait_ms;       /* WATCH */
  bool allows_stale;      /* LIST: an answer that is some seconds old will do */
  const char *text;       /* CREATE, REPLACE: the object */
  const PhMove *move;     /* REPORT, and GET of a report: the move */
  PhMoveOutcome outcome;
  PhMoveReason reason;
} PhStoreCall;

#define PH_STORE_TARGET_MAX 512

/* A call as it is sent. */
typedef struct
{
  const char *method;
  char target[PH_STORE_TARGET_MAX]; /* path and query */
  char field[64];                   /* "Name: value", or "" */
  char *body;                       /* owned, or NULL */
} PhStoreRequest;

typedef enum
{
  PH_STORE_OK,
  PH_STORE_NOT_FOUND,
  PH_STORE_CONFLICT, /* the condition did not hold */
  PH_STORE_GONE,     /* the history after the revision is no longer kept */
  PH_STORE_FAILED
} PhStoreStatus;

typedef struct
{
  PhStoreStatus status;
  uint64_t revision; /* the store's, or that of the one object */
  bool has_more;     /* LIST: another page follows */
  char after[PH_PATH_MAX];
} PhStoreAnswer;

/* One object of an answer. text is NULL for one that was deleted, and valid during the call. */
typedef void (*PhStoreEntryFunc) (
    void *user, const char *path, uint64_t revision, const char *text, size_t size);

typedef struct
{
  int status; /* of HTTP */
  const char *revision_field;
  const char *body;
  size_t size;
} PhStoreResponse;

/*
 * Dialect of the store: how calls and answers are encoded.
 *
 * There is one client; what differs between platforms goes through these
 * callbacks, to which user is passed.
 */
typedef struct PhStoreDialect
{
  bool (*encode) (void *user, const PhStoreCall *call, PhStoreRequest *request, PhError *err);
  /* Calls entry for each object. Returns false with err set when the response is not an answer. */
  bool (*decode) (void *user,
                  const PhStoreCall *call,
                  const PhStoreResponse *response,
                  PhStoreEntryFunc entry,
                  void *entry_user,
                  PhStoreAnswer *answer,
                  PhError *err);
  /* Path under which a move is reported. */
  void (*report_path) (void *user, const PhMove *move, char *path);
  /* How a report that was read stands; false when there is none yet. */
  bool (*read_report) (
      void *user, const char *text, size_t size, const PhMove *move, PhMoveOutcome *outcome);
  const char *prefixes[PH_CONFIG_LISTS_MAX]; /* of the configuration; NULL ends them */
  bool reports_open_moves;                   /* also that a move has begun */
  void *user;
} PhStoreDialect;

const PhStoreDialect *ph_store_dialect_native (void);

/* How calls reach the store; the functions of fetch.h by default. */
typedef struct
{
  PhTransferId (*start) (PhFetch *fetch, const PhTransferOptions *opts, PhError *err);
  void (*drop) (PhFetch *fetch, PhTransferId id);
  const char *(*body) (PhFetch *fetch, PhTransferId id, size_t *size);
  const char *(*field) (PhFetch *fetch, PhTransferId id, const char *name);
} PhStoreTransport;

typedef struct
{
  const PhStoreTransport *transport; /* NULL for the default */
  const PhStoreDialect *dialect;     /* NULL for pollenhitch's own */
  uint32_t watcher_count;            /* of each data centre; 0 for PH_STORE_WATCHERS */
  PhTime watch_interval;             /* least time between two calls of a watch */
} PhStoreOptions;

PhStore *ph_store_new (PhNode *node, const PhStoreOptions *opts, PhError *err);
void ph_store_drop (PhStore *store);

/* ph_store_system: start the calls that are due. Returns true when there was any. */
bool ph_store_system (PhStore *store);

const PhStoreState *ph_store_state (const PhStore *store);

#endif
