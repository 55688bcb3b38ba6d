#ifndef PH_CONFIG_H
#define PH_CONFIG_H

#include "pollenhitch/route.h"
#include "pollenhitch/upstream.h"

/*
 * Configuration objects, identified by path and revision.
 *
 * They are written by the teams, or come from a platform: a control plane of the
 * users with a store of its own, whose objects are decoded to the same kinds.
 *
 * A row holds the highest revision of a path that this node has received. A
 * lower revision is ignored. A deleted object stays in the table as a tombstone,
 * so that an old copy from another node cannot restore it. An object that comes
 * back because the store lost its deletion stays deleted for
 * PH_CONFIG_HOLD_TIME, a move until it is written again.
 *
 * The resulting configuration does not depend on the order in which objects are
 * received:
 * - a data centre is out of service while an object of any team says so; its
 *   region is that of the newest object that names one;
 * - the probes of a service's budget object take precedence over those of its
 *   service object.
 */

#define PH_PATH_MAX 160

typedef struct
{
  uint32_t v;
} PhObjectId;

typedef enum
{
  PH_OBJECT_SERVICE,
  PH_OBJECT_DATA_CENTRE,
  PH_OBJECT_MOVE,
  PH_OBJECT_BUDGET,
  PH_OBJECT_UPSTREAM_RULES,
  PH_OBJECT_ROUTES, /* all routes, services and limits of a platform's fleet in one object */
  PH_OBJECT_KIND_COUNT
} PhObjectKind;

/* Number of kinds under a team's path; they come first. The others come only from a platform. */
#define PH_OBJECT_TEAM_KINDS PH_OBJECT_ROUTES

typedef struct
{
  char name[PH_NAME_MAX];
  char region[PH_NAME_MAX];
  bool is_out_of_service; /* taken out of service by an operator */
} PhDataCentreSpec;

typedef enum
{
  PH_MOVE_OPEN,
  PH_MOVE_DONE,
  PH_MOVE_ROLLED_BACK
} PhMoveOutcome;

typedef struct
{
  char service[PH_NAME_MAX];         /* "team/service" */
  char from_version[PH_VERSION_MAX]; /* "" for all versions but to_version */
  char to_version[PH_VERSION_MAX];
  int64_t start_us;    /* wall clock, microseconds; 0 for a move with a duration */
  int64_t deadline_us; /* wall clock, microseconds; 0 for a move with a duration */
  bool is_cancelled;
  /* Set only by a platform whose moves start as soon as they are requested. */
  PhTime duration;                /* from the request to the deadline; 0 for a move with start_us */
  uint64_t created_revision;      /* revision of the store at which the object was created */
  bool has_reported_outcome;      /* the object holds the status of the move */
  PhMoveOutcome reported_outcome; /* if has_reported_outcome */
} PhMoveSpec;

typedef struct
{
  char service[PH_NAME_MAX]; /* "team/service" */
  uint32_t probes_per_minute;
} PhBudgetSpec;

typedef struct PhServiceSpec
{
  char service[PH_NAME_MAX]; /* "team/service" */
  PhServiceRules rules;
} PhServiceSpec;

typedef struct
{
  char service[PH_NAME_MAX]; /* "team/service" */
  uint32_t version_count;
  PhVersionRule versions[PH_RULE_VERSIONS_MAX];
} PhUpstreamRulesSpec;

/* A decoded object. */
typedef struct
{
  char path[PH_PATH_MAX];
  uint64_t revision;
  bool is_deleted;
  PhObjectKind kind;
  /* Version that the content itself names and that its writer only raises, 0 if it names none. */
  uint64_t content_version;
  union
  {
    PhServiceSpec service;
    PhDataCentreSpec data_centre;
    PhMoveSpec move;
    PhBudgetSpec budget;
    PhUpstreamRulesSpec upstream_rules;
    PhRouteSet *routes; /* owned by the object until it is applied, then NULL */
  } spec;
} PhObject;

/* Revisions of a path that a row remembers. An object may come back from the store at any revision
 * that it had: a move has four, its request, the report of its start, a cancellation and the report
 * of its end. */
#define PH_OBJECT_REVISIONS_MAX 4

/* Row of the table of objects. */
typedef struct
{
  char path[PH_PATH_MAX];
  uint64_t path_hash;
  uint64_t revision;
  bool is_deleted;
  bool is_rejected;      /* this revision is invalid; the last valid one remains in force */
  char *rejection_text;  /* why it is invalid, owned; NULL when it is valid */
  PhObject object;       /* the revision in force; its revision is 0 if none was valid */
  char *text;            /* this revision as the store holds it, owned; NULL for a tombstone */
  uint32_t text_size;    /* bytes */
  uint32_t sends_left;   /* datagrams that are still to carry this revision */
  bool is_gossip_queued; /* queued for dissemination */
  /* Hashes of the last revisions and their texts, the newest first, 0 for none; see
   * ph_deletion_is_lost. */
  uint64_t revision_hashes[PH_OBJECT_REVISIONS_MAX];
  PhTime kept_until;  /* from then on an object of the same revision replaces the row's deletion; 0
                         for none */
  char *kept_text;    /* text of that object, owned; NULL for none */
  uint32_t kept_size; /* bytes */
  uint32_t last_list; /* number of the last list of the store that contained it */
  uint32_t sync_mark; /* set by the last sync whose reply held this row, see record_reply_rows in
                         sync.c */
} PhObjectRow;

PH_DECLARE_TABLE (PhObjectRow, PhObjectId, ph_object)

/* Prefixes that a node may list; one more aborts. No prefix may begin with another. */
#define PH_CONFIG_LISTS_MAX 4

/* List of the store's objects under a path prefix. */
typedef struct
{
  char prefix[PH_NAME_MAX];
  uint64_t revision;       /* of the store at the newest list that was read */
  uint32_t read_count;     /* lists that were read to the end; the newest one has this number */
  uint32_t era_read_count; /* read_count at the first list of the era */
  PhTime held_until;       /* end of the hold, see ph_config_end_holds; 0 for none */
} PhConfigList;

/*
 * PhObjectDecodeFunc: decode the text of an object.
 *
 * Sets kind and spec; path, revision and is_deleted are set already. Returns
 * false with err naming the path, the field and what is allowed.
 */
typedef bool (*PhObjectDecodeFunc) (
    void *user, const char *text, size_t size, PhObject *object, PhError *err);

/*
 * ph_config_apply: apply a revision of an object that was read from the store or received from
 * another node.
 *
 * Between two eras of the store, the content with the higher content_version
 * wins, whatever its revision: the store may have come back from a copy that is
 * older than what is in force. Content without a version is ordered by revision.
 *
 * text is copied; NULL means that the object is deleted. Returns true when the
 * revision is higher than that of the row, also if it is invalid; the last valid
 * revision then remains in force, and err says why. Returns false when the
 * revision is not higher, or with err set when a table or memory is full, the
 * path is too long or the text is over PH_OBJECT_TEXT_MAX. err may be NULL. It is not changed in
 * the other cases: set err->code to PH_ERROR_NONE before the call to tell them apart.
 */
bool ph_config_apply (PhContext *ctx,
                      PhWorld *world,
                      const char *path,
                      uint64_t revision,
                      const char *text,
                      size_t size,
                      PhError *err);

/* ph_config_mark_listed: record that the list of the store that is being read contains a path.
 * To be called after ph_config_apply for the path; a path without a row is ignored. */
void ph_config_mark_listed (PhWorld *world, const char *path);

/*
 * ph_config_finish_list: apply the end of a list of the store's objects under a path prefix.
 *
 * revision is that of the store when it made the list. Objects that the list did
 * not contain are deleted; if another node sends such an object later, it is
 * taken as deleted too. After a change of the store's era, objects of an earlier
 * era are held instead, see ph_config_end_holds. Returns false, and deletes nothing, when the list
 * is older than some object under the prefix that this node has. prefix is copied; it has fewer
 * than PH_NAME_MAX bytes, and PH_CONFIG_LISTS_MAX says which prefixes are allowed.
 */
bool ph_config_finish_list (PhContext *ctx, PhWorld *world, const char *prefix, uint64_t revision);

/* Time for which an object of an earlier era that the store lacks stays in force, so that its
 * writer can write it again. */
#define PH_CONFIG_HOLD_TIME (60 * PH_SECOND)

/* ph_config_timer: handler of PH_TIMER_KEPT_DELETION. Puts an object that came back in force when
 * its deletion was kept for PH_CONFIG_HOLD_TIME and not repeated. */
void ph_config_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/* ph_config_end_holds: delete the objects of earlier eras that are not in the store after
 * PH_CONFIG_HOLD_TIME. Returns the time of the next call, PH_TIME_NEVER for none. */
PhTime ph_config_end_holds (PhContext *ctx, PhWorld *world);

/* ph_config_learn_era: take note of an era of the store, as the store itself or another node names
 * it. An era that is not higher than the known one changes nothing. */
void ph_config_learn_era (PhContext *ctx, PhWorld *world, uint64_t era);

/* ph_config_newest: highest revision applied, but at least the beginning of the known era. */
uint64_t ph_config_newest (const PhWorld *world);

/* ph_config_digest: hash of the revisions of all objects and the states of all moves. Nodes
 * compare it to find whether a sync is needed. Equal tables have equal digests. */
uint64_t ph_config_digest (const PhWorld *world);

/* ph_config_left_out_count: objects whose newest revision is rejected, and omissions of the set of
 * routes in force: all that the store holds and that is not in force as it is written. */
uint32_t ph_config_left_out_count (const PhWorld *world);

/* ph_config_find: the row of a path, or NULL. */
PhObjectRow *ph_config_find (const PhWorld *world, const char *path);

#endif
