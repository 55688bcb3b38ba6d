#ifndef PH_CLIENT_STORE_H
#define PH_CLIENT_STORE_H

#include <curl/curl.h>
#include <jansson.h>

#include "pollenhitch/base.h"
#include "pollenhitch/settings.h"

/*
 * Blocking client of the store, for the commands. It runs one request at a time,
 * each with a timeout, and repeats it with jittered back-off up to a maximum
 * number of attempts. A response is conclusive if it is complete and its status is
 * below 500; a 5xx status leaves open whether the store processed the request.
 */

/* Settings of every subcommand that reads or writes the store. */
typedef struct
{
  const char *url;    /* http:// or https:// */
  int64_t timeout_ms; /* longest wait for one response, in milliseconds */
  int64_t attempts;   /* max attempts of one request, 1 or more */
} PhStoreSettings;

#define PH_STORE_SETTINGS(Settings, member)                                                        \
  { "store",                                                                                       \
    PH_SETTING_TEXT,                                                                               \
    offsetof (Settings, member.url),                                                               \
    "",                                                                                            \
    1,                                                                                             \
    2048,                                                                                          \
    "URL of the store, as http://10.0.0.5:7000" },                                                 \
      { "timeout-ms",                                                                              \
        PH_SETTING_NUMBER,                                                                         \
        offsetof (Settings, member.timeout_ms),                                                    \
        "3000",                                                                                    \
        10,                                                                                        \
        600000,                                                                                    \
        "longest wait for one response of the store, in milliseconds" },                           \
  {                                                                                                \
    "attempts", PH_SETTING_NUMBER, offsetof (Settings, member.attempts), "6", 1, 100,              \
        "how often a request is tried while the store does not respond"                            \
  }

typedef struct
{
  CURL *curl;
  struct curl_slist *headers; /* header lines of the request in progress, owned */
  PhStoreSettings settings;
  PhRandom random; /* source of the back-off jitter */
} PhClientStore;

/* ph_client_store_open: check the URL and set up libcurl; nothing is sent yet. Returns false with
 * err set when the URL is not allowed or libcurl cannot be initialised. Release with
 * ph_client_store_close, also after a failure; a zeroed store may be closed too. */
bool ph_client_store_open (PhClientStore *store, const PhStoreSettings *settings, PhError *err);
void ph_client_store_close (PhClientStore *store);

/* ph_client_store_back_off: sleep for a random time between 1 ms and a limit ("full jitter"). The
 * limit is 100 ms after the first failed attempt (failure_count 1) and doubles with each further
 * one, up to 5 s. */
void ph_client_store_back_off (PhClientStore *store, int64_t failure_count);

/* ph_client_store_path_check: check the syntax of a path, or of a prefix, which ends in /. It
 * begins with / and has less than PH_PATH_MAX bytes; the names between the slashes consist of
 * letters, digits, hyphens, dots and underscores, and none is empty or begins with a dot. Returns
 * false with err naming the path. */
bool ph_client_store_path_check (const char *path, PhError *err);

/*
 * ph_client_store_get: read an object and its revision.
 *
 * *object is owned by the caller. Returns false with *object NULL and err set:
 * PH_ERROR_NOT_FOUND, with *revision 0, when there is no object at the path;
 * PH_ERROR_TIMEOUT when no attempt had a conclusive response; PH_ERROR_IO when the
 * store refused the request; PH_ERROR_PROTOCOL when the response is not a JSON
 * object.
 */
bool ph_client_store_get (
    PhClientStore *store, const char *path, json_t **object, uint64_t *revision, PhError *err);

/* ph_client_store_list: read the objects under a prefix and the store's newest revision. *objects
 * is an array of {"path", "revision", "object"}, owned by the caller. Errors as for
 * ph_client_store_get. */
bool ph_client_store_list (
    PhClientStore *store, const char *prefix, json_t **objects, uint64_t *revision, PhError *err);

/*
 * ph_client_store_put: write or delete an object if its path is at the expected revision.
 *
 * expected 0 means that there must be no object yet; object NULL means a delete.
 * *revision is the revision of the write; for a delete whose response was lost it
 * is the store's newest revision, or 0 if that cannot be read. A response is lost
 * when the write was sent and no conclusive response was received. The path is then
 * read back: an equal object counts as written, and a path that is still at the
 * expected revision is written again. Errors: PH_ERROR_CONFLICT when the path is at
 * another revision, which is in *revision (0 when there is no object), and nothing
 * was written; PH_ERROR_STATE when a response was lost and another write followed,
 * so that this write may have been applied before; PH_ERROR_TIMEOUT when no attempt
 * had a conclusive response, with a text that states whether the write may have been
 * applied; PH_ERROR_IO when the store refused the write; PH_ERROR_MEMORY when memory
 * runs out, with *revision unchanged.
 */
bool ph_client_store_put (PhClientStore *store,
                          const char *path,
                          const json_t *object,
                          uint64_t expected,
                          uint64_t *revision,
                          PhError *err);

/* ph_client_store_set_conflict_error: set err to PH_ERROR_CONFLICT for a path that is at revision
 * current instead of expected; 0 means no object. Returns false. */
bool ph_client_store_set_conflict_error (const char *path,
                                         uint64_t expected,
                                         uint64_t current,
                                         PhError *err);

/* ph_client_exit_status: the exit status (PH_EXIT_*) of a subcommand that failed with err. */
int ph_client_exit_status (const PhError *err);

/* ph_client_report_error: print the error of a failed subcommand as one line on stderr. command is
 * the subcommand without the program's name, as "diff". Returns the exit status. */
int ph_client_report_error (const char *command, const PhError *err);

#endif
