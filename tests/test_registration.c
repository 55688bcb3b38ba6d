#include "pollenhitch/registration.h"

#include <stdio.h>
#include <string.h>

#include "fixture.h"
#include "test.h"

/* Heartbeats, leave messages and health checks in any order, and whether calls are admitted after
 * them. */

#define STEPS_MAX 8
#define SLOTS 9

typedef enum
{
  HEARTBEAT,
  HEARTBEAT_DRAINING,   /* the instance reports that it is draining */
  HEARTBEAT_FOREIGN,    /* names another service than the node's */
  LEAVE,                /* the instance reports that it has ended */
  CHECK_HEALTHY,        /* the health check names the instance, which serves calls */
  CHECK_OTHER_INSTANCE, /* the health check names another instance, which serves calls */
  CHECK_UNHEALTHY,      /* the health check reports that the instance does not serve calls */
  RESTART_NODE          /* the node forgets all registrations */
} Action;

typedef struct
{
  Action action;
  const char *instance;
  uint64_t instance_start_ms; /* start of the instance, wall clock, milliseconds */
  uint64_t sequence;          /* of the heartbeat */
} Step;

typedef struct
{
  const char *name;
  Step steps[STEPS_MAX];
  size_t count;
  const char *instance; /* registered at the end, NULL for none */
  bool is_admitting;    /* calls from other nodes are admitted at the end */
} RegistrationCase;

/* Guards against calls to an upstream that has left, that is not the registered one, or that may
 * have started to leave before its node restarted; and against a healthy upstream that gets no
 * calls. The upstream is announced to the other nodes only when it admits calls: when it was
 * announced earlier, each node sent a call there and then did not choose the upstream for 2 s;
 * after a power failure, every node did so for every upstream. */
static const RegistrationCase registration_cases[] = {
  { "first heartbeat: no calls before a health check",
    { { HEARTBEAT, "a", 5, 1 } },
    1,
    "a",
    false },
  { "health check confirms the instance",
    { { HEARTBEAT, "a", 5, 1 }, { CHECK_HEALTHY, "a", 0, 0 } },
    2,
    "a",
    true },
  { "health check names another instance: not confirmed",
    { { HEARTBEAT, "a", 5, 1 }, { CHECK_OTHER_INSTANCE, "b", 0, 0 } },
    2,
    "a",
    false },
  { "failed health check: not confirmed",
    { { HEARTBEAT, "a", 5, 1 }, { CHECK_UNHEALTHY, "a", 0, 0 } },
    2,
    "a",
    false },
  { "three heartbeats confirm despite a failed health check",
    { { HEARTBEAT, "a", 5, 1 },
      { CHECK_UNHEALTHY, "a", 0, 0 },
      { HEARTBEAT, "a", 5, 2 },
      { HEARTBEAT, "a", 5, 3 } },
    4,
    "a",
    true },
  { "repeated heartbeat is not counted",
    { { HEARTBEAT, "a", 5, 1 }, { HEARTBEAT, "a", 5, 1 }, { HEARTBEAT, "a", 5, 1 } },
    3,
    "a",
    false },
  { "draining: not ended by a delayed heartbeat",
    { { HEARTBEAT, "a", 5, 1 },
      { CHECK_HEALTHY, "a", 0, 0 },
      { HEARTBEAT_DRAINING, "a", 5, 3 },
      { HEARTBEAT, "a", 5, 2 } },
    4,
    "a",
    false },
  { "draining: not ended by a later heartbeat",
    { { HEARTBEAT, "a", 5, 1 },
      { CHECK_HEALTHY, "a", 0, 0 },
      { HEARTBEAT_DRAINING, "a", 5, 2 },
      { HEARTBEAT, "a", 5, 3 } },
    4,
    "a",
    false },
  { "left: not registered again by a later heartbeat",
    { { HEARTBEAT, "a", 5, 1 },
      { CHECK_HEALTHY, "a", 0, 0 },
      { LEAVE, "a", 0, 0 },
      { HEARTBEAT, "a", 5, 2 } },
    4,
    NULL,
    false },
  { "leave message before the heartbeat: not registered",
    { { LEAVE, "a", 0, 0 }, { HEARTBEAT, "a", 5, 2 }, { CHECK_HEALTHY, "a", 0, 0 } },
    3,
    NULL,
    false },
  /* No health check is needed, because an earlier instance has registered with this node. */
  { "new instance with the name of one that left",
    { { HEARTBEAT, "a", 5, 1 }, { LEAVE, "a", 0, 0 }, { HEARTBEAT, "a", 9, 1 } },
    3,
    "a",
    true },
  { "heartbeat of an older instance is ignored",
    { { HEARTBEAT, "b", 9, 1 }, { CHECK_HEALTHY, "b", 0, 0 }, { HEARTBEAT, "a", 5, 7 } },
    3,
    "b",
    true },
  { "heartbeat of another service: not registered",
    { { HEARTBEAT_FOREIGN, "x", 9, 1 } },
    1,
    NULL,
    false },
  { "restarted node: no calls before a health check",
    { { HEARTBEAT, "a", 5, 1 },
      { CHECK_HEALTHY, "a", 0, 0 },
      { RESTART_NODE, "", 0, 0 },
      { HEARTBEAT, "a", 5, 2 } },
    4,
    "a",
    false },
};

static void
apply_heartbeat (Fixture *f, const Step *step)
{
  const PhHeartbeat heartbeat
      = { .instance = step->instance,
          .start_wall_ms = step->instance_start_ms,
          .sequence = step->sequence,
          .service = step->action == HEARTBEAT_FOREIGN ? "team/foreign" : FIXTURE_SERVICE,
          .version = "v1",
          .is_draining = step->action == HEARTBEAT_DRAINING,
          .slots = SLOTS,
          .port = 80 };
  PhError err;

  ph_registration_apply_heartbeat (&f->ctx, f->world, &heartbeat, &err);
}

static void
set_up (Fixture *f)
{
  fixture_start (f, 1, 16, NULL);
  ph_text_copy (f->world->registration.service, PH_NAME_MAX, FIXTURE_SERVICE);
  /* A LEAVE that arrives before the instance is registered covers the instances of that name that
   * started up to this time, which is 7 ms, such as the one that started at 5 ms. */
  f->ctx.wall_us = 7 * PH_MS;
}

static void
apply_step (Fixture *f, const Step *step)
{
  PhHealth health = { .is_healthy = step->action != CHECK_UNHEALTHY,
                      .instance = step->instance,
                      .cold_time_left = -1 };

  switch (step->action)
    {
    case HEARTBEAT:
    case HEARTBEAT_DRAINING:
    case HEARTBEAT_FOREIGN:
      apply_heartbeat (f, step);
      break;
    case LEAVE:
      ph_registration_leave (&f->ctx, f->world, step->instance);
      break;
    case CHECK_HEALTHY:
    case CHECK_OTHER_INSTANCE:
    case CHECK_UNHEALTHY:
      ph_registration_apply_health (&f->ctx, f->world, &health);
      break;
    case RESTART_NODE:
      fixture_stop (f);
      set_up (f);
      break;
    }
}

/* Whether the upstream is announced to other nodes. */
static bool
is_announced (const Fixture *f)
{
  return ph_member_get (&f->world->members, f->world->membership.self)->record.has_upstream;
}

/* Whether a call from another node would be admitted. */
static bool
is_admitting (Fixture *f)
{
  const PhUpstream *upstream = fixture_upstream (f, f->world->admission.upstream);

  return upstream != NULL && upstream->state != PH_UPSTREAM_DRAINING
         && ph_registration_admits_calls (f->world);
}

static void
test_orders (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (registration_cases); i++)
    {
      const RegistrationCase *c = &registration_cases[i];
      const PhUpstream *upstream;
      Fixture f;

      set_up (&f);
      for (size_t s = 0; s < c->count; s++)
        apply_step (&f, &c->steps[s]);
      upstream = fixture_upstream (&f, f.world->admission.upstream);
      if ((upstream != NULL) != (c->instance != NULL)
          || (upstream != NULL && strcmp (upstream->instance, c->instance) != 0))
        {
          printf ("%s: %s is registered\n", c->name,
                  upstream != NULL ? upstream->instance : "none");
          CU_FAIL ("another instance was expected");
        }
      if (is_admitting (&f) != c->is_admitting)
        {
          printf ("%s\n", c->name);
          CU_FAIL ("calls are admitted or refused wrongly");
        }
      if (is_announced (&f) != (upstream != NULL && ph_registration_admits_calls (f.world)))
        {
          printf ("%s\n", c->name);
          CU_FAIL ("the upstream is announced to other nodes or hidden wrongly");
        }
      fixture_stop (&f);
    }
}

static const PhTest tests[] = {
  { "heartbeats, leave messages and health checks in any order", test_orders },
};
PH_TEST_SUITE (registration, tests)
