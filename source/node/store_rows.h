#ifndef PH_STORE_ROWS_H
#define PH_STORE_ROWS_H

#include "node/store.h"

/* Rows of the store client in store.h, shared by its source files. */

#define PH_STORE_CONTACTS_PREFIX "/contacts/"
#define PH_STORE_CALL_TIMEOUT (5 * PH_SECOND)

/* Time to refill one token of the bucket for the store calls of a node. */
#define PH_STORE_TOKEN_INTERVAL (250 * PH_MS)

/* Minimum delay after a list, or a watch that ended early, returned nothing new. Without it a store
 * that responds from an older state would be called in a tight loop. Also the delay after a write
 * that the store did not accept, except for a report that another node has written. */
#define PH_STORE_IDLE_INTERVAL PH_SECOND

/* A node with seeds that has not joined calls the store only when no seed has responded for this
 * time, so that nodes that start together do not all call the store. */
#define PH_STORE_JOIN_TIMEOUT (2 * PH_SECOND)

/* Mean interval between two reads of the contact objects; it doubles with each read. */
#define PH_STORE_DISCOVERY_INTERVAL_MIN (250 * PH_MS)

/* A node that has found no other for this time reads the configuration itself. */
#define PH_STORE_ALONE_TIMEOUT (2 * PH_SECOND)

/* With a dialect that reports open moves, nodes report a move in the order of report_rank, which
 * differs for each move, this far apart. A node that learns of another node's report in the
 * meantime writes none. */
#define PH_STORE_REPORT_INTERVAL (400 * PH_MS)

/* After a change of the store's era, the watchers list again at random times within this interval:
 * the store has just come back. */
#define PH_STORE_ERA_LIST_SPREAD (1500 * PH_MS)

typedef enum
{
  PH_STORE_JOB_DISCOVER, /* read the contact objects of all data centres */
  PH_STORE_JOB_PUBLISH,  /* read the contact object of this data centre, then update it */
  PH_STORE_JOB_REPORT,   /* write the status of a move */
  PH_STORE_JOB_WATCH,    /* list, then watch; one job for each prefix of the configuration */
  PH_STORE_JOB_COUNT = PH_STORE_JOB_WATCH + PH_CONFIG_LISTS_MAX
} PhStoreJobKind;

typedef struct PhStoreJob PhStoreJob;

typedef struct
{
  bool (*is_needed) (PhStoreJob *job);
  bool (*start) (PhStoreJob *job, PhError *err);
  /* Called for each object of a response, before finish. May be NULL. */
  PhStoreEntryFunc entry;
  /* Called for a decoded response. Returns false with err set when the call has failed. */
  bool (*finish) (PhStoreJob *job, const PhStoreResult *result, PhError *err);
} PhStoreJobFuncs;

struct PhStoreJob
{
  PhStore *store;
  PhStoreJobKind kind;
  PhTransferId transfer_id;
  PhStoreCall call; /* last call; call.path points to path */
  char path[PH_PATH_MAX];
  char list_after_path[PH_PATH_MAX]; /* PH_STORE_JOB_WATCH: last path of the last page read, "" for
                                        none */
  PhTime started_at;                 /* start of the last call */
  uint64_t started_era;              /* era of the store that was known then */
  PhTime due_at;                     /* earliest start of the next call */
  bool is_failing;                   /* the last call failed */
  int http_status;
  bool is_listed;            /* PH_STORE_JOB_WATCH: the list is complete, changes are watched */
  uint64_t watched_revision; /* PH_STORE_JOB_WATCH: revision of the store in the last response */
  PhTime renew_at;           /* PH_STORE_JOB_WATCH: when to replace an open watch by a new one */
};

struct PhStore
{
  PhNode *node;
  PhStoreState state;
  PhStoreTransport transport;
  const PhStoreDialect *dialect;
  uint32_t watcher_count;
  PhTime watch_interval;
  PhStoreJob jobs[PH_STORE_JOB_COUNT];
  PhStoreJob *retrying_job;  /* failing job whose retry is in progress, or NULL */
  uint32_t next_retry_index; /* index in jobs at which the search for the next retry starts */
  PhTime retry_at;           /* earliest time of the next retry */
  PhTime backoff;            /* interval before the next retry, 0 while no job is failing */
  ev_timer wake_timer;
  PhTime started_at;
  PhTime
      bucket_empty_at; /* the bucket has (now - bucket_empty_at) / PH_STORE_TOKEN_INTERVAL tokens */
  PhTime discovery_interval;
  PhTime discovered_at;    /* end of the first read of the contact objects, 0 before */
  PhTime first_publish_at; /* when a node that has joined none writes the contact object, or 0 */
  PhTime joined_at;        /* when this node noticed that it had joined, 0 before */
  PhTime early_read_delay; /* see EARLY_READ_JITTER */
  bool is_settled;         /* the membership came to rest after this node had joined */
  uint32_t seen_state_version;   /* version of the membership in the last run */
  PhTime membership_changed_at;  /* when that version was first seen */
  uint32_t ranked_state_version; /* version of the membership at the last evaluation of the rank */
  uint32_t deeper_version;       /* version of the deeper routes at that time */
  PhTime next_rank_at;           /* earliest time of the next evaluation of the rank */
  bool is_first_by_rank;         /* this node is the first by rank in its data centre */
  uint32_t renewing_count;       /* nodes that renew their watches: one in each data centre */
  uint32_t renewing_index;       /* place of this data centre among them, by name */
  char *contact_text;            /* text that the contact object should have, owned */
  char *published_text;          /* text that the contact object is known to have, owned, or NULL */
  uint64_t contact_revision;     /* revision of the contact object, 0 when there is none */
  bool is_contact_read;          /* contact_revision is current */
  bool is_contact_lost;          /* the contact object was written before the era changed */
  bool has_era;                  /* a response of the store has named its era */
  uint32_t seen_era_number;      /* world->store_era_number at the last run */
  PhMoveId reported_move;        /* move whose report is being written or read */
  bool is_write_unconfirmed;     /* a write was started and not confirmed: read the report first */
  bool is_report_decoded;        /* the last read returned a report */
  PhMoveOutcome stored_outcome;  /* outcome in that report */
};

extern const PhStoreJobFuncs ph_store_discover_funcs;
extern const PhStoreJobFuncs ph_store_publish_funcs;
extern const PhStoreJobFuncs ph_store_report_funcs;
extern const PhStoreJobFuncs ph_store_watch_funcs;

/* ph_store_job_funcs: the callbacks of a job. */
const PhStoreJobFuncs *ph_store_job_funcs (const PhStoreJob *job);

/* ph_store_data_centre: name of this node's data centre. */
const char *ph_store_data_centre (const PhStore *store);

/* ph_store_is_join_over: whether this node has joined other nodes, has no seeds, or has waited
 * PH_STORE_JOIN_TIMEOUT for one. */
bool ph_store_is_join_over (const PhStore *store);

/* ph_store_settles_at: when a node that has joined may act as a watcher, if the membership does not
 * change until then. */
PhTime ph_store_settles_at (const PhStore *store);

/* ph_store_has_settled: whether this node has had time to learn of the other members, so that its
 * rank can be relied on, or has found no other node for PH_STORE_ALONE_TIMEOUT. */
bool ph_store_has_settled (const PhStore *store);

/* ph_store_rewrite_delay: random time after which this node writes again what the store has lost.
 */
PhTime ph_store_rewrite_delay (PhStore *store);

/* ph_store_is_rank_current: whether neither the membership nor the deeper routes have changed since
 * the last evaluation of the rank. */
bool ph_store_is_rank_current (const PhStore *store);

/* ph_store_update_rank: evaluate this node's rank and the text of the contact object again after a
 * change of the membership or of the deeper routes. */
void ph_store_update_rank (PhStore *store);

/* ph_store_format_contact: text of the contact object with the addresses of these members. The
 * caller frees it. */
char *ph_store_format_contact (const PhStore *store, const PhMemberId *ids, uint32_t count);

/* ph_store_set_published_text: set the text that the contact object is known to have, and own it.
 */
void ph_store_set_published_text (PhStore *store, char *text);

/* ph_store_record_rewrite: record that a write that the store had lost was repeated. */
void ph_store_record_rewrite (PhStore *store, const char *path);

/* ph_store_has_unfinished_report: whether the report of a known move needs the timer. */
bool ph_store_has_unfinished_report (const PhStore *store);

/* ph_store_schedule_renewal: set the time at which the watch of a job is replaced. */
void ph_store_schedule_renewal (PhStoreJob *job, bool has_changed);

/* ph_store_renew_watch: end the watch of a job when its renewal is due; the next one then starts at
 * once. */
void ph_store_renew_watch (PhStoreJob *job);

/* ph_store_restart_list: make a job begin again with a list. */
void ph_store_restart_list (PhStoreJob *job, PhTime due_at);

/* ph_store_start_call: start a call of a job. What call points to has to stay valid only until this
 * returns. */
bool ph_store_start_call (PhStoreJob *job, const PhStoreCall *call, PhTime timeout, PhError *err);

/* ph_store_cancel_transfer: drop the open call of a job. */
void ph_store_cancel_transfer (PhStoreJob *job);

/* ph_store_consume_token: take one token from the bucket of store calls. Returns false when it is
 * empty. */
bool ph_store_consume_token (PhStore *store);

/* ph_store_is_next_retry: whether a failing job is the next one to be retried. */
bool ph_store_is_next_retry (const PhStoreJob *job);

/* ph_store_record_failure: count the failure of a job and set the time of its retry. */
void ph_store_record_failure (PhStoreJob *job, const PhError *err);

#endif
