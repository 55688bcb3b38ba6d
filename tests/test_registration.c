#include "pollenhitch/registration.h"

#include <stdio.h>
#include <string.h>

#include "fixture.h"
#include "test.h"

/* Heartbeats and leaves in any order, and what may be admitted after them. */

#define STEPS_MAX 8
#define SLOTS 9

typedef enum
{
  BEAT,
  BEAT_DRAINING,
  BEAT_FOREIGN, /* of another service */
  LEAVE,
  CHECK_GOOD,  /* a health check that names the start and says that it serves */
  CHECK_OTHER, /* names another start */
  CHECK_BAD,
  RESTART_NODE
} Action;

typedef struct
{
  Action action;
  const char *instance;
  uint64_t born_ms;
  uint64_t sequence;
} Step;

typedef struct
{
  const char *name;
  Step steps[STEPS_MAX];
  size_t count;
  const char *instance; /* that is registered at the end, NULL for none */
  bool is_admitting;
} Case;

/* Guards against calls to an upstream that has left, is not the one that registered, or may have
 * turned to leaving before its node restarted; and against a good one that is kept out. The other
 * nodes are told of an upstream when it takes calls: told before, each sent a call there and then
 * left the upstream out for 2 s, after a loss of power every node and every upstream. */
static const Case cases[] = {
  { "a first heartbeat waits for a check", { { BEAT, "a", 5, 1 } }, 1, "a", false },
  { "a check confirms", { { BEAT, "a", 5, 1 }, { CHECK_GOOD, "a", 0, 0 } }, 2, "a", true },
  { "a check of another start does not",
    { { BEAT, "a", 5, 1 }, { CHECK_OTHER, "b", 0, 0 } },
    2,
    "a",
    false },
  { "a bad check does not", { { BEAT, "a", 5, 1 }, { CHECK_BAD, "a", 0, 0 } }, 2, "a", false },
  { "three heartbeats are believed against a bad check",
    { { BEAT, "a", 5, 1 }, { CHECK_BAD, "a", 0, 0 }, { BEAT, "a", 5, 2 }, { BEAT, "a", 5, 3 } },
    4,
    "a",
    true },
  { "a repeated heartbeat does not count",
    { { BEAT, "a", 5, 1 }, { BEAT, "a", 5, 1 }, { BEAT, "a", 5, 1 } },
    3,
    "a",
    false },
  { "a drain holds against a late heartbeat",
    { { BEAT, "a", 5, 1 },
      { CHECK_GOOD, "a", 0, 0 },
      { BEAT_DRAINING, "a", 5, 3 },
      { BEAT, "a", 5, 2 } },
    4,
    "a",
    false },
  { "and against a later one",
    { { BEAT, "a", 5, 1 },
      { CHECK_GOOD, "a", 0, 0 },
      { BEAT_DRAINING, "a", 5, 2 },
      { BEAT, "a", 5, 3 } },
    4,
    "a",
    false },
  { "a leave is final",
    { { BEAT, "a", 5, 1 }, { CHECK_GOOD, "a", 0, 0 }, { LEAVE, "a", 0, 0 }, { BEAT, "a", 5, 2 } },
    4,
    NULL,
    false },
  { "a leave that comes first",
    { { LEAVE, "a", 0, 0 }, { BEAT, "a", 5, 2 }, { CHECK_GOOD, "a", 0, 0 } },
    3,
    NULL,
    false },
  { "a new start under the old name",
    { { BEAT, "a", 5, 1 }, { LEAVE, "a", 0, 0 }, { BEAT, "a", 9, 1 } },
    3,
    "a",
    true },
  { "an old start after a new one",
    { { BEAT, "b", 9, 1 }, { CHECK_GOOD, "b", 0, 0 }, { BEAT, "a", 5, 7 } },
    3,
    "b",
    true },
  { "another service names no upstream", { { BEAT_FOREIGN, "x", 9, 1 } }, 1, NULL, false },
  { "a restarted node waits again",
    { { BEAT, "a", 5, 1 },
      { CHECK_GOOD, "a", 0, 0 },
      { RESTART_NODE, "", 0, 0 },
      { BEAT, "a", 5, 2 } },
    4,
    "a",
    false },
};

static void
take_beat (Fixture *f, const Step *step)
{
  const PhHeartbeat heartbeat
      = { .instance = step->instance,
          .start_wall_ms = step->born_ms,
          .sequence = step->sequence,
          .service = step->action == BEAT_FOREIGN ? "team/foreign" : FIXTURE_SERVICE,
          .version = "v1",
          .is_draining = step->action == BEAT_DRAINING,
          .slots = SLOTS,
          .port = 80 };
  PhError err;

  ph_registration_apply_heartbeat (&f->ctx, f->world, &heartbeat, &err);
}

static void
start (Fixture *f)
{
  fixture_start (f, 1, 16, NULL);
  ph_text_copy (f->world->registration.service, PH_NAME_MAX, FIXTURE_SERVICE);
  f->ctx.wall_us = 7 * PH_MS; /* starts born until 7 ms were before this */
}

static void
take_step (Fixture *f, const Step *step)
{
  PhHealth health = { .is_healthy = step->action != CHECK_BAD,
                      .instance = step->instance,
                      .cold_time_left = -1 };

  switch (step->action)
    {
    case BEAT:
    case BEAT_DRAINING:
    case BEAT_FOREIGN:
      take_beat (f, step);
      break;
    case LEAVE:
      ph_registration_leave (&f->ctx, f->world, step->instance);
      break;
    case CHECK_GOOD:
    case CHECK_OTHER:
    case CHECK_BAD:
      ph_registration_apply_health (&f->ctx, f->world, &health);
      break;
    case RESTART_NODE:
      fixture_stop (f);
      start (f);
      break;
    }
}

/* Whether other nodes are told of the upstream. */
static bool
is_told (const Fixture *f)
{
  return ph_member_get (&f->world->members, f->world->membership.self)->record.has_upstream;
}

/* Whether a call from another node would be started at once. */
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
  for (size_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      const Case *c = &cases[i];
      const PhUpstream *upstream;
      Fixture f;

      start (&f);
      for (size_t s = 0; s < c->count; s++)
        take_step (&f, &c->steps[s]);
      upstream = fixture_upstream (&f, f.world->admission.upstream);
      if ((upstream != NULL) != (c->instance != NULL)
          || (upstream != NULL && strcmp (upstream->instance, c->instance) != 0))
        {
          printf ("%s: %s is registered\n", c->name,
                  upstream != NULL ? upstream->instance : "none");
          CU_FAIL ("another start was expected");
        }
      if (is_admitting (&f) != c->is_admitting)
        {
          printf ("%s\n", c->name);
          CU_FAIL ("admits");
        }
      if (is_told (&f) != (upstream != NULL && ph_registration_admits_calls (f.world)))
        {
          printf ("%s\n", c->name);
          CU_FAIL ("the others are told");
        }
      fixture_stop (&f);
    }
}

static const PhTest tests[] = {
  { "heartbeats, leaves and checks in any order", test_orders },
};
PH_TEST_SUITE (registration, tests)
