#ifndef PH_REGISTRATION_H
#define PH_REGISTRATION_H

#include "pollenhitch/upstream.h"

/*
 * Registration of the local upstream by heartbeats.
 *
 * Heartbeats may be late, forged or from an earlier start of an upstream at the
 * same address. They are put in order by the time of the upstream's start and
 * then by sequence; one that is out of order changes nothing. A start that has
 * left does not come back.
 *
 * A node that has just started has forgotten what it acknowledged before. It
 * admits no call until a health check has said that the upstream is the one
 * that registers and is not leaving, or until several heartbeats in a row have
 * said so.
 */

#define PH_REGISTRATION_DEPARTED_MAX 8

typedef struct
{
  const char *instance;   /* name of this start of the upstream */
  uint64_t start_wall_ms; /* wall clock of the start; 0 when it is not told */
  uint64_t sequence;      /* rises with each heartbeat of a start */
  const char *service;    /* "team/service" */
  const char *version;
  bool is_draining;
  uint32_t slots;
  uint16_t port;
  PhTime cold_time_left; /* how long the upstream stays cold; 0 when it is warm */
} PhHeartbeat;

typedef enum
{
  PH_HEARTBEAT_ACCEPTED,
  PH_HEARTBEAT_STALE,  /* older than what is known; nothing changed */
  PH_HEARTBEAT_FOREIGN /* not of the upstream beside this node; nothing changed */
} PhHeartbeatResult;

/* A start of an upstream that said that it leaves. */
typedef struct
{
  char instance[PH_NAME_MAX];
  uint64_t start_wall_ms; /* starts of this name up to this time have left */
} PhDepartedInstance;

typedef struct
{
  char service[PH_NAME_MAX]; /* of the local upstream by the settings, or "" */
  char instance[PH_NAME_MAX];
  uint64_t start_wall_ms;
  uint64_t sequence;
  uint32_t heartbeat_count; /* taken of this start */
  bool is_draining;
  bool is_confirmed;         /* admits calls */
  PhTime health_check_until; /* a health check is wanted until then, 0 for none */
  PhDepartedInstance departed[PH_REGISTRATION_DEPARTED_MAX];
  uint32_t departed_count; /* in all; the ring holds the last ones */
} PhRegistration;

/* What a health check of the local upstream said. */
typedef struct
{
  bool is_healthy;           /* it serves and is not leaving */
  const char *instance;      /* NULL when it does not tell */
  PhTime cold_time_left;     /* negative when it does not tell */
  uint32_t slowdown_percent; /* see PhLoad; 0 when it does not tell */
} PhHealth;

PhHeartbeatResult ph_registration_apply_heartbeat (PhContext *ctx,
                                                   PhWorld *world,
                                                   const PhHeartbeat *heartbeat,
                                                   PhError *err);

/* ph_registration_leave: the upstream of this name is gone, or about to go without more words. */
void ph_registration_leave (PhContext *ctx, PhWorld *world, const char *instance);

/* ph_registration_apply_health: a health check ended. */
void ph_registration_apply_health (PhContext *ctx, PhWorld *world, const PhHealth *health);

/* ph_registration_admits_calls: whether calls may be admitted, as far as registration is concerned.
 * Always true for an upstream that announces itself without heartbeats. */
bool ph_registration_admits_calls (const PhWorld *world);

#endif
