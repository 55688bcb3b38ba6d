#ifndef PH_CONFIG_H
#define PH_CONFIG_H

#include "pollenhitch/route.h"
#include "pollenhitch/upstream.h"

/*
 * Configuration objects by path and revision.
 *
 * A row keeps the newest revision seen of a path. A lower revision is ignored,
 * and a delete is kept as a tombstone, so that an old copy from another node
 * cannot bring a deleted object back.
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
  PH_OBJECT_ROUTES, /* all routes, services and limits of a deployment in one object */
  PH_OBJECT_KIND_COUNT
} PhObjectKind;

/* Kinds of objects under a team's path; those after them come from a platform. */
#define PH_OBJECT_TEAM_KINDS PH_OBJECT_ROUTES

typedef struct
{
  char name[PH_NAME_MAX];
  char region[PH_NAME_MAX];
  bool is_out_of_service;
} PhDataCentreSpec;

typedef enum
{
  PH_MOVE_OPEN,
  PH_MOVE_DONE,
  PH_MOVE_ROLLED_BACK
} PhMoveOutcome;

typedef struct
{
  char service[PH_NAME_MAX]; /* "team/service" */
  char from_version[PH_VERSION_MAX];
  char to_version[PH_VERSION_MAX];
  int64_t start_us;    /* wall clock */
  int64_t deadline_us; /* wall clock */
  bool is_cancelled;
  /* Of a platform whose moves begin when they are ordered: start_us and deadline_us are 0. */
  PhTime duration;           /* from the order to the deadline; 0 for a move with clock times */
  uint64_t created_revision; /* of the store, when the object was created */
  bool has_reported_outcome; /* the object says how this move stands */
  PhMoveOutcome reported_outcome;
} PhMoveSpec;

typedef struct
{
  char service[PH_NAME_MAX];
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
  union
  {
    PhServiceSpec service;
    PhDataCentreSpec data_centre;
    PhMoveSpec move;
    PhBudgetSpec budget;
    PhUpstreamRulesSpec upstream_rules;
    PhRouteSet *routes; /* owned by the object until it is in force, then NULL */
  } spec;
} PhObject;

/* A row of the table of objects. */
typedef struct
{
  char path[PH_PATH_MAX];
  uint64_t path_hash;
  uint64_t revision;
  bool is_deleted;
  bool is_rejected;     /* the newest revision is invalid; object is the last valid one */
  char *rejection_text; /* text of the error, owned, NULL when the newest revision is valid */
  PhObject object;      /* the revision in force; revision 0 when there was no valid one */
  char *text;           /* encoded form as the store holds it, owned, NULL for a tombstone */
  uint32_t text_size;
  uint32_t sends_left;   /* times that it is still to be passed on */
  bool is_gossip_queued; /* queued for dissemination */
  uint32_t last_list;    /* number of the last list of the store that held it */
  uint32_t sync_number;  /* of the exchange of tables that noted this row; see sync.c */
} PhObjectRow;

PH_DECLARE_TABLE (PhObjectRow, PhObjectId, ph_object)

#define PH_CONFIG_LISTS_MAX 4

/* Objects under a path prefix, as the store listed them last. */
typedef struct
{
  char prefix[PH_NAME_MAX];
  uint64_t revision;   /* of the newest list that was read */
  uint32_t read_count; /* lists that were read */
} PhConfigList;

/*
 * Decodes an object's text. Fills in *object (path, revision and is_deleted are
 * set already). Returns false with err naming path, field and what is allowed.
 */
typedef bool (*PhObjectDecodeFunc) (
    void *user, const char *text, size_t size, PhObject *object, PhError *err);

/*
 * What is in force does not depend on the order in which objects come:
 * - a data centre is out of service while an object of any team says so; its region is that of the
 *   newest object that names one;
 * - the probes of a service's budget object take precedence over those of its service object.
 */

/*
 * ph_config_apply: a revision of an object was read from the store or came from another node.
 *
 * text is copied; NULL means deleted. Returns true when the revision is newer
 * than the one held (also when it was rejected as invalid: the last valid one
 * stays in force and err tells why), false when it is old.
 */
bool ph_config_apply (PhContext *ctx,
                      PhWorld *world,
                      const char *path,
                      uint64_t revision,
                      const char *text,
                      size_t size,
                      PhError *err);

/* ph_config_mark_listed: the list of the store that is being read holds this path. */
void ph_config_mark_listed (PhWorld *world, const char *path);

/*
 * ph_config_finish_list: the list of the store's objects under a path prefix was read to its end,
 * as of a revision.
 *
 * Objects that it did not hold were deleted, also those that other nodes bring later, unless the
 * store answered from an older state than this node has seen. Returns false in that case.
 */
bool ph_config_finish_list (PhContext *ctx, PhWorld *world, const char *prefix, uint64_t revision);

/* ph_config_digest: one number for the revisions held and the state of moves; equal tables have
 * equal digests. */
uint64_t ph_config_digest (const PhWorld *world);

/* ph_config_find: row of a path, or NULL. */
PhObjectRow *ph_config_find (const PhWorld *world, const char *path);

#endif
