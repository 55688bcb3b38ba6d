#include "pollenhitch/config.h"

#include <stdio.h>
#include <string.h>

#include "pollenhitch/object.h"
#include "pollenhitch/world.h"
#include "test.h"

#define STEPS_MAX 5
#define NO_OBJECT 0

static PhWorld *
make_world (PhContext *ctx)
{
  const PhWorldOptions opts = { .name = "self",
                                .data_centre = "here",
                                .region = "r",
                                .address = "127.0.0.1",
                                .control_port = 1,
                                .epoch = 1,
                                .call_capacity = 16,
                                .upstream_capacity = 16,
                                .service_capacity = 16,
                                .object_capacity = 16,
                                .decode = ph_object_decode };
  const PhEffects effects = { 0 };

  ph_random_seed (&ctx->random, 1);
  return ph_world_new (ctx, &opts, &effects, NULL);
}

typedef struct
{
  const char *path;
  const char *text; /* NULL: deleted */
} Step;

#define OUT(out) "{\"kind\":\"data-centre\",\"spec\":{\"region\":\"r\",\"out\":" out "}}"
#define SERVICE(n) "{\"kind\":\"service\",\"spec\":{\"probes_per_minute\":" n "}}"
#define BUDGET(n) "{\"kind\":\"budget\",\"spec\":{\"probes_per_minute\":" n "}}"
#define RULES(n)                                                                                   \
  "{\"kind\":\"upstream-rules\",\"spec\":{\"versions\":{\"v2\":{\"max_slots\":" n "}}}}"
#define DC_A "/teams/a/data-centres/d"
#define DC_B "/teams/b/data-centres/d"
#define SERVICE_A "/teams/a/services/s"
#define BUDGET_A "/teams/a/budgets/s"
#define RULES_A "/teams/a/upstream-rules/s"

/* Step i has revision i + 1. */
static const struct
{
  Step steps[STEPS_MAX];
  bool is_out;
  uint32_t probes;
  uint32_t max_slots;
  const char *rejected; /* path of an object that is held as rejected, or NULL */
} cases[] = {
  /* A team cannot put back in service what another took out. */
  { { { DC_A, OUT ("true") }, { DC_B, OUT ("false") } }, true, 60, 0, NULL },
  { { { DC_A, OUT ("true") }, { DC_B, OUT ("true") }, { DC_A, OUT ("false") } },
    true,
    60,
    0,
    NULL },
  { { { DC_A, OUT ("true") }, { DC_B, OUT ("true") }, { DC_A, NULL }, { DC_B, NULL } },
    false,
    60,
    0,
    NULL },
  { { { DC_A, OUT ("true") }, { DC_A, OUT ("3") } }, true, 60, 0, DC_A },
  /* A budget takes precedence over the service object. */
  { { { BUDGET_A, BUDGET ("7") }, { SERVICE_A, SERVICE ("9") } }, false, 7, 0, NULL },
  { { { SERVICE_A, SERVICE ("9") }, { BUDGET_A, BUDGET ("7") }, { BUDGET_A, NULL } },
    false,
    9,
    0,
    NULL },
  { { { BUDGET_A, BUDGET ("0") }, { SERVICE_A, SERVICE ("9") }, { SERVICE_A, NULL } },
    false,
    0,
    0,
    NULL },
  { { { BUDGET_A, BUDGET ("7") }, { BUDGET_A, BUDGET ("-1") }, { SERVICE_A, SERVICE ("9") } },
    false,
    7,
    0,
    BUDGET_A },
  { { { RULES_A, RULES ("4") }, { SERVICE_A, SERVICE ("9") } }, false, 9, 4, NULL },
  { { { RULES_A, RULES ("4") }, { SERVICE_A, SERVICE ("9") }, { RULES_A, NULL } },
    false,
    9,
    0,
    NULL },
};

static void
check_case (const PhWorld *world, size_t at)
{
  const PhService *service = ph_service_get (&world->services, ph_service_find (world, "a/s"));
  const PhVersionRule *rule = service != NULL ? ph_service_version_rule (service, "v2") : NULL;
  PhDataCentreId id = { 0 };
  bool is_out = false;

  while ((id = ph_data_centre_next (&world->data_centres, id)).v != 0)
    is_out = is_out || ph_data_centre_get (&world->data_centres, id)->is_out_of_service;
  if (is_out != cases[at].is_out)
    printf ("case %zu\n", at);
  CU_ASSERT_EQUAL (is_out, cases[at].is_out);
  CU_ASSERT_EQUAL (service != NULL ? service->rules.probes_per_minute : 60, cases[at].probes);
  CU_ASSERT_EQUAL (rule != NULL ? rule->max_slots : 0, cases[at].max_slots);
  if (cases[at].rejected != NULL)
    {
      const PhObjectRow *row = ph_config_find (world, cases[at].rejected);

      CU_ASSERT_TRUE (row->is_rejected);
      CU_ASSERT_TRUE (row->rejection_text != NULL
                      && strstr (row->rejection_text, cases[at].rejected) != NULL);
    }
}

/* The order is that of the steps, rotated and reversed. An invalid revision that comes before the
 * valid one that it replaces leaves nothing in force, so cases with one run in order only. */
static void
run_order (size_t at, unsigned first, bool is_reversed)
{
  PhContext ctx = { .now = PH_SECOND };
  PhWorld *world = make_world (&ctx);
  unsigned count = 0;

  while (count < STEPS_MAX && cases[at].steps[count].path != NULL)
    count++;
  for (unsigned i = 0; i < count; i++)
    {
      unsigned n = ((is_reversed ? count - 1 - i : i) + first) % count;
      const Step *step = &cases[at].steps[n];

      ph_config_apply (&ctx, world, step->path, n + 1, step->text,
                       step->text != NULL ? strlen (step->text) : 0, NULL);
    }
  check_case (world, at);
  ph_world_drop (&ctx, world);
}

/* Guards against rules in force that depend on the order in which a node heard of objects. */
static void
test_in_force (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    for (unsigned first = 0; first < (cases[i].rejected != NULL ? 1 : STEPS_MAX); first++)
      {
        run_order (i, first, false);
        if (cases[i].rejected == NULL)
          run_order (i, first, true);
      }
}

/* Guards against an old error that is still shown for an object that was put right. */
static void
test_rejection_ends (void)
{
  PhContext ctx = { .now = PH_SECOND };
  PhWorld *world = make_world (&ctx);

  ph_config_apply (&ctx, world, DC_A, 1, "{}", 2, NULL);
  CU_ASSERT_TRUE (ph_config_find (world, DC_A)->is_rejected);
  CU_ASSERT_EQUAL (ph_config_find (world, DC_A)->object.revision, NO_OBJECT);
  ph_config_apply (&ctx, world, DC_A, 2, OUT ("true"), strlen (OUT ("true")), NULL);
  CU_ASSERT_FALSE (ph_config_find (world, DC_A)->is_rejected);
  CU_ASSERT_PTR_NULL (ph_config_find (world, DC_A)->rejection_text);
  ph_world_drop (&ctx, world);
}

static const PhTest tests[] = {
  { "what is in force does not depend on the order", test_in_force },
  { "a valid revision ends a rejection", test_rejection_ends },
};
PH_TEST_SUITE (config, tests)
