#ifndef PH_STORE_H
#define PH_STORE_H

#include "node/fetch.h"
#include "node/node.h"
#include "pollenhitch/move.h"

/*
 * Client of the platform's object store.
 *
 * In each data centre the first two live members by rank (ph_member_ranked) are
 * watchers: they list and watch the configuration and maintain the contact object
 * of the data centre. This object, /contacts/<data centre>, lists the control
 * addresses of up to PH_STORE_CONTACTS_MAX of its nodes, so that a new node finds
 * one. The other nodes receive the configuration from their peers, so the
 * number of store calls does not grow with the fleet. A node that knows no other
 * live member reads the contact objects to find one.
 */

#define PH_STORE_WATCHERS 2      /* default number of watchers in each data centre */
#define PH_STORE_CONTACTS_MAX 16 /* addresses in a contact object */

/* State of the client, for the status page. Times are on the monotonic clock; 0 means never. */
typedef struct
{
  bool is_configured;
  bool is_watcher;
  PhTime last_success_at;
  PhTime failing_since; /* first failure after the last success; 0 while calls succeed */
  char last_error[sizeof ((PhError *)0)->text];
  uint64_t revision; /* highest store revision that a list or watch has returned */
  uint64_t calls;    /* calls started */
  uint64_t failures; /* calls that failed */
} PhStoreState;

/* Operation of a store call. */
typedef enum
{
  PH_STORE_LIST,    /* read all objects under a prefix, page by page */
  PH_STORE_WATCH,   /* wait for changes under a prefix after a revision */
  PH_STORE_GET,     /* read one object */
  PH_STORE_CREATE,  /* write an object that must not exist yet */
  PH_STORE_REPLACE, /* write an object that must still be at the given revision */
  PH_STORE_REPORT   /* write the status of a move, unless another node has written it */
} PhStoreAction;

/* A store call. For decode, after_path, text and move are NULL. */
typedef struct
{
  PhStoreAction action;
  const char *path;       /* object path; LIST and WATCH: path prefix */
  uint64_t revision;      /* WATCH: report changes after it; REPLACE, REPORT: revision last read;
                             for encode, without the era */
  const char *after_path; /* LIST: last path of the previous page, "" for the first page */
  uint32_t wait_max_ms;   /* WATCH: time after which the store responds without a change */
  bool allows_stale;      /* LIST: the response may be some seconds old */
  const char *text;       /* CREATE, REPLACE: text of the object; REPORT: of the move's object */
  const PhMove *move;     /* REPORT, and GET of a report: the move */
  PhMoveOutcome outcome;  /* REPORT: outcome to write */
  PhMoveReason reason;    /* REPORT: reason of the outcome */
} PhStoreCall;

#define PH_STORE_TARGET_MAX 512

/* HTTP request of a call. */
typedef struct
{
  const char *method;
  char target[PH_STORE_TARGET_MAX]; /* path and query */
  char field[64];                   /* header field as "Name: value", or "" for none */
  char *body;                       /* allocated, freed by the client; NULL for none */
} PhStoreRequest;

typedef enum
{
  PH_STORE_OK,
  PH_STORE_NOT_FOUND,
  PH_STORE_CONFLICT, /* the precondition of a write did not hold */
  PH_STORE_GONE,     /* WATCH: the store no longer keeps the history after the revision */
  PH_STORE_FAILED
} PhStoreStatus;

/* Decoded response of a call. */
typedef struct
{
  PhStoreStatus status;
  uint64_t revision;      /* LIST, WATCH: revision of the store; otherwise of the object; decode
                             sets it without the era */
  bool has_more;          /* LIST: another page follows */
  uint32_t skipped_count; /* LIST, WATCH: objects without valid metadata, which entry did not get */
  char next_after_path[PH_PATH_MAX]; /* LIST: after_path of the call for the next page */
} PhStoreResult;

/* Receives one object of a response. text is NULL for a deleted object, and otherwise valid only
 * during the call. */
typedef void (*PhStoreEntryFunc) (
    void *user, const char *path, uint64_t revision, const char *text, size_t size);

typedef struct
{
  int http_status;
  const char *revision_field; /* value of the field Revision, or NULL */
  const char *body;
  size_t size; /* bytes of the body */
} PhStoreResponse;

/*
 * Dialect of the store: the encoding of calls and responses.
 *
 * All platforms share the client; these callbacks hold what differs between
 * them. user is passed to each callback.
 */
typedef struct PhStoreDialect
{
  /* Encodes a call as an HTTP request. Returns false with err set when memory runs out. */
  bool (*encode) (void *user, const PhStoreCall *call, PhStoreRequest *request, PhError *err);
  /* Decodes a response and calls entry for each object in it. Sets all of *result, which is not
   * initialised. Returns false with err set when the response is invalid or has an unexpected
   * status. */
  bool (*decode) (void *user,
                  const PhStoreCall *call,
                  const PhStoreResponse *response,
                  PhStoreEntryFunc entry,
                  void *entry_user,
                  PhStoreResult *result,
                  PhError *err);
  /* Writes the path of the object that holds the report of a move into path, PH_PATH_MAX bytes.
   * Writes "" when the path of the move is invalid. */
  void (*report_path) (void *user, const PhMove *move, char *path);
  /* Decodes the object at the report path. *outcome is PH_MOVE_OPEN also for a report of another
   * revision of the move. Returns false when the object holds no report yet. */
  bool (*read_report) (
      void *user, const char *text, size_t size, const PhMove *move, PhMoveOutcome *outcome);
  const char *era_field; /* response field with the era of the store, see revision.h */
  const char *prefixes[PH_CONFIG_LISTS_MAX]; /* of the configuration's paths; NULL after the last */
  /* For each prefix, the longest time between the starts of two watches in the fleet, so that a
   * change is read although the connections of open watches have gone silent. 0: until the watch
   * ends. */
  PhTime renewal_intervals[PH_CONFIG_LISTS_MAX];
  bool reports_open_moves; /* the start of a move is reported too, not only its end */
  void *user;
} PhStoreDialect;

/* ph_store_dialect_native: pollenhitch's own store protocol. */
const PhStoreDialect *ph_store_dialect_native (void);

/* Transport of store calls. The default is the functions of fetch.h: ph_fetch_start,
 * ph_fetch_drop_transfer, ph_fetch_body and ph_fetch_field. */
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
  const PhStoreDialect *dialect;     /* NULL for ph_store_dialect_native */
  uint32_t watcher_count;            /* watchers in each data centre; 0 for PH_STORE_WATCHERS */
  PhTime watch_interval;             /* least time from the end of a watch call to the next one */
} PhStoreOptions;

/* ph_store_new: create the client of a node. Without a store URL in the settings it makes no calls.
 * Returns NULL with err set when memory runs out. */
PhStore *ph_store_new (PhNode *node, const PhStoreOptions *opts, PhError *err);

/* ph_store_drop: cancel open calls and free the client. store may be NULL. */
void ph_store_drop (PhStore *store);

/* ph_store_system: start the calls that are due. Returns true when it started any. */
bool ph_store_system (PhStore *store);

/* ph_store_state: state of the client, valid until ph_store_drop. */
const PhStoreState *ph_store_state (const PhStore *store);

#endif
