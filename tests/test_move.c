#include "pollenhitch/move.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pollenhitch/gossip.h"
#include "pollenhitch/object.h"
#include "pollenhitch/world.h"
#include "test.h"

/* Version moves of one service over a few decision cores, with calls drawn at random. */

#define NODES 12
#define NEW_NODES 4 /* nodes 0 to 3 are beside upstreams of the new version */
#define SERVICE "team/s"
#define PATH "/teams/team/moves/m"
#define TICK (10 * PH_MS)
#define CALLS_PER_TICK 4
#define WINDOW (100 * PH_SECOND) /* from start to deadline */
#define WALL 1764806400000000LL  /* 2025-12-04T00:00:00Z */
#define PACKETS_MAX 512
#define NO_ROUTE 99
#define BAD_SHARE 0.02 /* of all calls, design page, 1.2.4 */
#define STALL (100 * PH_MS)
#define STOP_TIME (2 * PH_SECOND)

typedef struct
{
  bool is_used;
  uint32_t to;
  uint32_t from;
  PhTime at;
  uint32_t flag_count;
  PhMoveState flags[PH_DATAGRAM_MOVES_MAX];
  bool has_evidence;
  PhMoveEvidence evidence;
} Packet;

typedef struct
{
  const char *name;
  double old_failures;
  double new_failures; /* from bad_from on */
  PhTime new_time;     /* of a response, from bad_from on; old: 5 ms */
  double bad_from;     /* share from which on the new version is bad */
  uint32_t route;      /* the only bad route, or NO_ROUTE for all */
  uint32_t loss;       /* percent */
  uint32_t paused;     /* this node is paused from 20 s to 40 s, 0 for none */
  uint32_t seeds;
  PhMoveOutcome outcome;
  uint32_t stalls; /* of each VM in a minute: its calls take ten times as long for STALL */
} Case;

static struct
{
  PhContext ctx[NODES];
  PhWorld *worlds[NODES];
  Packet packets[PACKETS_MAX];
  PhRandom random;
  uint32_t loss;
  PhTime now;
  PhTime stalled_until[NODES];
} bed;

static void
send_message (void *user, const PhMessage *message)
{
  uint32_t from = (uint32_t)((PhContext *)user - bed.ctx);
  Packet *packet = bed.packets;

  if (ph_random_below (&bed.random, 100) < bed.loss
      || (message->move_count == 0 && message->evidence == NULL))
    return;
  while (packet->is_used)
    if (++packet == bed.packets + PACKETS_MAX)
      return;
  *packet = (Packet){ .is_used = true,
                      .from = from,
                      .to = message->port - 1u,
                      .at = bed.now + 2 * PH_MS,
                      .flag_count = message->move_count,
                      .has_evidence = message->evidence != NULL };
  memcpy (packet->flags, message->moves, message->move_count * sizeof *packet->flags);
  if (message->evidence != NULL)
    packet->evidence = *message->evidence;
}

static void
name_member (uint32_t i, PhMemberRecord *record)
{
  *record = (PhMemberRecord){ .epoch = 1,
                              .incarnation = 1,
                              .control_port = (uint16_t)(i + 1),
                              .data_centre = "d",
                              .has_upstream = true,
                              .service = SERVICE,
                              .upstream_state = PH_UPSTREAM_READY,
                              .slots = 9 };
  snprintf (record->name, sizeof record->name, "vm-%u", i);
  snprintf (record->address, sizeof record->address, "10.0.0.%u", i);
  snprintf (record->version, sizeof record->version, i < NEW_NODES ? "v2" : "v1");
}

static void
start_node (uint32_t i)
{
  const PhEffects effects = { .send_message = send_message, .user = &bed.ctx[i] };
  PhMemberRecord own;
  PhMemberRecord other;
  const PhWorldOptions opts = { .name = own.name,
                                .data_centre = "d",
                                .address = own.address,
                                .control_port = (uint16_t)(i + 1),
                                .epoch = 1,
                                .call_capacity = 16,
                                .upstream_capacity = 32,
                                .service_capacity = 16,
                                .object_capacity = 16,
                                .decode = ph_object_decode };
  const PhUpstreamOptions upstream = {
    .service = SERVICE, .version = own.version, .state = PH_UPSTREAM_READY, .port = 80, .slots = 9
  };

  name_member (i, &own);
  bed.ctx[i] = (PhContext){ .now = bed.now, .wall_us = WALL };
  ph_random_seed (&bed.ctx[i].random, ph_random_next (&bed.random));
  bed.worlds[i] = ph_world_new (&bed.ctx[i], &opts, &effects, NULL);
  if (bed.worlds[i] == NULL)
    abort ();
  bed.worlds[i]->membership.period_ends_at = PH_TIME_NEVER; /* no probes */
  for (uint32_t j = 0; j < NODES; j++)
    {
      name_member (j, &other);
      if (j != i)
        ph_member_merge (&bed.ctx[i], bed.worlds[i], &other);
    }
  ph_upstream_announce (&bed.ctx[i], bed.worlds[i], &upstream, NULL);
  bed.worlds[i]->admission.announcement_expires_at = PH_TIME_NEVER;
}

static void
start_bed (uint64_t seed, uint32_t loss)
{
  memset (&bed, 0, sizeof bed);
  ph_random_seed (&bed.random, seed);
  bed.now = PH_SECOND;
  bed.loss = loss;
  for (uint32_t i = 0; i < NODES; i++)
    start_node (i);
}

static void
stop_bed (void)
{
  for (uint32_t i = 0; i < NODES; i++)
    ph_world_drop (&bed.ctx[i], bed.worlds[i]);
}

/* Puts a move in force at all nodes. from_s and to_s are seconds after WALL. */
static void
put_move (const char *path, uint64_t revision, const char *to, int from_s, int to_s)
{
  char text[400];
  char start[PH_WALL_TIME_TEXT_SIZE];
  char deadline[PH_WALL_TIME_TEXT_SIZE];

  ph_wall_time_format (WALL + from_s * PH_SECOND, start);
  ph_wall_time_format (WALL + to_s * PH_SECOND, deadline);
  snprintf (text, sizeof text,
            "{\"kind\":\"move\",\"spec\":{\"service\":\"" SERVICE
            "\",\"from\":\"v1\",\"to\":\"%s\","
            "\"start\":\"%s\",\"deadline\":\"%s\"}}",
            to, start, deadline);
  for (uint32_t i = 0; i < NODES; i++)
    CU_ASSERT_TRUE (
        ph_config_apply (&bed.ctx[i], bed.worlds[i], path, revision, text, strlen (text), NULL));
}

static PhMove *
find_move (uint32_t node, const char *path)
{
  PhMoveId id = { 0 };

  while ((id = ph_move_next (&bed.worlds[node]->moves, id)).v != 0)
    if (strcmp (ph_move_get (&bed.worlds[node]->moves, id)->path, path) == 0)
      return ph_move_get (&bed.worlds[node]->moves, id);
  return NULL;
}

static const PhService *
service_at (uint32_t node)
{
  return ph_service_get (&bed.worlds[node]->services, ph_service_find (bed.worlds[node], SERVICE));
}

static void
run_tick (uint32_t paused)
{
  bed.now += TICK;
  for (uint32_t i = 0; i < NODES; i++)
    {
      bed.ctx[i].now = bed.now;
      bed.ctx[i].wall_us = WALL + bed.now - PH_SECOND;
    }
  for (Packet *p = bed.packets; p < bed.packets + PACKETS_MAX; p++)
    {
      PhMemberId sender;

      if (!p->is_used || p->at > bed.now || p->to == paused)
        continue;
      p->is_used = false;
      for (uint32_t k = 0; k < p->flag_count; k++)
        ph_move_merge (&bed.ctx[p->to], bed.worlds[p->to], &p->flags[k]);
      if (p->has_evidence)
        {
          char name[PH_NAME_MAX];

          snprintf (name, sizeof name, "vm-%u", p->from);
          sender = ph_member_find (bed.worlds[p->to], name);
          ph_move_merge_evidence (&bed.ctx[p->to], bed.worlds[p->to], sender, &p->evidence);
        }
    }
  for (uint32_t i = 0; i < NODES; i++)
    if (i != paused)
      ph_world_tick (&bed.ctx[i], bed.worlds[i]);
}

/* Noisy neighbours: VMs stall at random. */
static void
stall_nodes (uint32_t stalls)
{
  for (uint32_t i = 0; stalls > 0 && i < NODES; i++)
    if (ph_random_unit (&bed.random) * 60 * PH_SECOND < (double)stalls * TICK)
      bed.stalled_until[i] = bed.now + STALL;
}

typedef struct
{
  uint32_t calls;
  uint32_t bad_calls; /* at the new version after it became bad */
  PhTime flagged_at;
  PhTime last_new_call_at;
} Result;

static void
run_call (const Case *c, bool *is_bad, Result *result)
{
  const PhService *service = service_at (ph_random_below (&bed.random, NODES));
  bool is_new = ph_random_unit (&bed.random) < service->move_share;
  uint32_t route = ph_random_below (&bed.random, 4);
  uint32_t node = is_new ? ph_random_below (&bed.random, NEW_NODES)
                         : NEW_NODES + ph_random_below (&bed.random, NODES - NEW_NODES);
  bool is_hit = is_new && *is_bad && (c->route == NO_ROUTE || c->route == route);
  double failures = is_hit ? c->new_failures : c->old_failures;
  PhTime time = is_hit ? c->new_time : 5 * PH_MS;

  *is_bad = *is_bad || service->move_share >= c->bad_from;
  result->calls++;
  result->bad_calls += is_new && *is_bad ? 1 : 0;
  if (is_new)
    result->last_new_call_at = bed.now;
  if (bed.now < bed.stalled_until[node])
    time *= 10;
  time += ph_random_below (&bed.random, (uint32_t)time);
  ph_move_observe (&bed.ctx[node], bed.worlds[node], route, time,
                   ph_random_unit (&bed.random) < failures);
}

static Result
run_case (const Case *c, uint64_t seed)
{
  Result result = { 0 };
  PhMoveReason reason;
  bool is_bad = false;

  start_bed (seed, c->loss);
  put_move (PATH, 1, "v2", 0, (int)(WINDOW / PH_SECOND));
  while (bed.now < WINDOW + 5 * PH_SECOND)
    {
      bool is_paused = c->paused != 0 && bed.now > 20 * PH_SECOND && bed.now < 40 * PH_SECOND;

      stall_nodes (c->stalls);
      run_tick (is_paused ? c->paused : NODES);
      for (int i = 0; i < CALLS_PER_TICK; i++)
        run_call (c, &is_bad, &result);
      for (uint32_t i = 0; i < NODES && result.flagged_at == 0; i++)
        if (find_move (i, PATH)->is_bad)
          result.flagged_at = bed.now;
    }
  for (uint32_t i = 0; i < NODES; i++)
    if (ph_move_outcome (&bed.ctx[i], find_move (i, PATH), &reason) != c->outcome)
      {
        printf ("%s, seed %llu, node %u: %s\n", c->name, (unsigned long long)seed, i,
                ph_move_reason_name (reason));
        CU_FAIL ("another outcome was expected");
      }
  stop_bed ();
  return result;
}

#define GOOD 9.0 /* a share that is never reached */
#define OLD_TIME (5 * PH_MS)

static const Case cases[] = {
  { "good", 0, 0, OLD_TIME, GOOD, NO_ROUTE, 0, 0, 5, PH_MOVE_DONE, 0 },
  { "good, 5% failures, 10% loss", 0.05, 0, OLD_TIME, GOOD, NO_ROUTE, 10, 0, 20, PH_MOVE_DONE, 0 },
  { "good, 20% failures", 0.2, 0, OLD_TIME, GOOD, NO_ROUTE, 0, 0, 10, PH_MOVE_DONE, 0 },
  { "good, a node is paused", 0.02, 0, OLD_TIME, GOOD, NO_ROUTE, 10, 1, 5, PH_MOVE_DONE, 0 },
  { "good, VMs stall", 0.01, 0, OLD_TIME, GOOD, NO_ROUTE, 10, 0, 20, PH_MOVE_DONE, 30 },
  { "fails", 0.01, 1, OLD_TIME, 0, NO_ROUTE, 10, 0, 10, PH_MOVE_ROLLED_BACK, 0 },
  { "fails in part", 0.02, 0.3, OLD_TIME, 0, NO_ROUTE, 10, 0, 10, PH_MOVE_ROLLED_BACK, 0 },
  { "is slow", 0.01, 0.01, 10 * OLD_TIME, 0, NO_ROUTE, 10, 0, 10, PH_MOVE_ROLLED_BACK, 0 },
  { "fails on one route", 0.01, 1, OLD_TIME, 0, 2, 10, 0, 10, PH_MOVE_ROLLED_BACK, 0 },
  { "is slow on one route", 0.01, 0.01, 10 * OLD_TIME, 0, 3, 10, 0, 10, PH_MOVE_ROLLED_BACK, 0 },
  { "fails late", 0.01, 1, OLD_TIME, 0.3, NO_ROUTE, 10, 0, 10, PH_MOVE_ROLLED_BACK, 0 },
  { "fails in part under load", 0.01, 0.3, OLD_TIME, 0.5, NO_ROUTE, 10, 2, 10, PH_MOVE_ROLLED_BACK,
    0 },
  { "is slow under load", 0.01, 0.01, 10 * OLD_TIME, 0.75, NO_ROUTE, 10, 0, 10, PH_MOVE_ROLLED_BACK,
    0 },
};

/* Guards against bad versions that get more than a small share of the calls, and good ones that are
 * taken back or not completed by the deadline. */
static void
test_cases (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      double worst_share = 0;
      PhTime worst_stop = 0;

      for (uint64_t seed = 1; seed <= cases[i].seeds; seed++)
        {
          Result r = run_case (&cases[i], seed);
          double share = (double)r.bad_calls / r.calls;
          PhTime stop = r.last_new_call_at - r.flagged_at;

          worst_share = share > worst_share ? share : worst_share;
          if (cases[i].outcome == PH_MOVE_ROLLED_BACK && stop > worst_stop)
            worst_stop = stop;
        }
      printf ("%s: at most %.2f%% of calls to the bad version, the last %.2f s after the flag\n",
              cases[i].name, worst_share * 100, (double)worst_stop / PH_SECOND);
      CU_ASSERT_TRUE (worst_share < BAD_SHARE);
      CU_ASSERT_TRUE (worst_stop < STOP_TIME);
    }
}

static void
run_seconds (int seconds)
{
  for (PhTime end = bed.now + seconds * PH_SECOND; bed.now < end;)
    run_tick (NODES);
}

/* Guards against two moves of a service that both get calls, moves that keep their stage or flag
 * after the operator changed them, and shares that stay after a move was withdrawn. */
static void
test_changes (void)
{
  const PhMoveState flag = { .path = PATH, .revision = 1, .stage = 3 };
  const PhMoveState bad
      = { .path = PATH, .revision = 5, .reason = PH_MOVE_REASON_SLOW, .is_bad = true };
  char text[PH_MOVE_TEXT_MAX];

  start_bed (1, 0);
  put_move (PATH, 1, "v2", 5, 100);
  put_move ("/teams/team/moves/other", 2, "v3", 0, 100);
  run_seconds (2);
  CU_ASSERT_EQUAL (service_at (7)->move_share, 0); /* before the start */
  run_seconds (5);
  CU_ASSERT_STRING_EQUAL (service_at (7)->move_version, "v2");
  CU_ASSERT_DOUBLE_EQUAL (service_at (7)->move_share, 0.01, 0);
  ph_move_condition (&bed.ctx[7], find_move (7, "/teams/team/moves/other"), text);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "waits for an earlier move"));
  ph_move_merge (&bed.ctx[5], bed.worlds[5], &flag); /* from another node */
  run_seconds (2);
  for (uint32_t i = 0; i < NODES; i++)
    CU_ASSERT_EQUAL (find_move (i, PATH)->stage, 3);
  /* A node that missed all pushes is found by its digest. */
  CU_ASSERT_NOT_EQUAL (ph_move_digest (bed.worlds[3]), 0);
  CU_ASSERT_EQUAL (ph_config_digest (bed.worlds[3]), ph_config_digest (bed.worlds[8]));
  put_move (PATH, 3, "v2", 5, 200); /* changed: starts anew, and is now the later of the two */
  run_seconds (2);
  CU_ASSERT_EQUAL (find_move (7, PATH)->stage, 0);
  CU_ASSERT_STRING_EQUAL (service_at (7)->move_version, "v3");
  for (uint32_t i = 0; i < NODES; i++)
    ph_config_apply (&bed.ctx[i], bed.worlds[i], "/teams/team/moves/other", 4, NULL, 0, NULL);
  run_seconds (2); /* withdrawn: the other one runs */
  CU_ASSERT_STRING_EQUAL (service_at (7)->move_version, "v2");
  ph_move_merge (&bed.ctx[5], bed.worlds[5], &bad); /* came before its object */
  run_seconds (2);
  put_move (PATH, 5, "v2", 5, 200);
  run_seconds (2);
  for (uint32_t i = 0; i < NODES; i++)
    CU_ASSERT_TRUE (find_move (i, PATH)->is_bad && service_at (i)->move_share == 0);
  CU_ASSERT_STRING_EQUAL (service_at (7)->move_version, "v2"); /* no ordinary share either */
  run_seconds (200);
  CU_ASSERT_TRUE (find_move (7, PATH)->is_bad);
  stop_bed ();
}

/* Guards against a version that is taken back because its upstreams start cold. */
static void
test_cold_start (void)
{
  PhUpstreamOptions upstream
      = { .service = SERVICE, .version = "v2", .state = PH_UPSTREAM_COLD, .port = 80, .slots = 9 };

  start_bed (1, 0);
  put_move (PATH, 1, "v2", 0, 100);
  for (int cold = 1; cold >= 0; cold--)
    {
      upstream.state = cold ? PH_UPSTREAM_COLD : PH_UPSTREAM_READY;
      ph_upstream_announce (&bed.ctx[1], bed.worlds[1], &upstream, NULL);
      run_seconds (1);
      for (int i = 0; i < 100; i++)
        ph_move_observe (&bed.ctx[1], bed.worlds[1], 0, PH_SECOND, true);
      run_seconds (1);
      CU_ASSERT_EQUAL (find_move (7, PATH)->is_bad, !cold);
    }
  stop_bed ();
}

/* Guards against a stage that is raised without calls, and a move that goes on after its deadline.
 */
static void
test_no_evidence (void)
{
  PhMoveReason reason;

  start_bed (1, 0);
  put_move (PATH, 1, "v2", 0, 50);
  run_seconds (49);
  CU_ASSERT_EQUAL (find_move (1, PATH)->stage, 0);
  run_seconds (2);
  CU_ASSERT_EQUAL (ph_move_outcome (&bed.ctx[1], find_move (1, PATH), &reason),
                   PH_MOVE_ROLLED_BACK);
  CU_ASSERT_EQUAL (reason, PH_MOVE_REASON_DEADLINE);
  CU_ASSERT_EQUAL (service_at (7)->move_share, 0);
  stop_bed ();
}

/* Moves that a platform orders with a duration, at the rates and times of its deployments. */

#define ORDER_DURATION (14 * PH_SECOND)
#define ORDER_CALLS_PER_S 84
#define ORDER_CALLS_LARGE 555
#define ORDER_CALLS_SMALL 10     /* 2 calls of the new version in the first stage, none in 1 of 8 */
#define ORDER_EXPOSURE_SHARE 0.1 /* of all calls of the service until the deadline, */
#define ORDER_EXPOSURE_EXTRA 50  /* and so many more: the platform's bound */
#define ORDER_WORK (120 * PH_MS)
#define ORDER_BUSY_SHARE 0.15 /* calls that meet a VM with busy neighbours, */
#define ORDER_BUSY_FACTOR 4   /* and how much slower they are */

typedef struct
{
  const char *name;
  double failures;  /* of the new version, while it is bad */
  PhTime factor;    /* of its times */
  PhTime bad_after; /* since the order */
  double bad_from;  /* share of the calls */
  uint32_t route;
  PhMoveOutcome outcome;
  double calls_per_s;
} OrderCase;

static const OrderCase order_cases[] = {
  { "good", 0, 1, 0, 0, NO_ROUTE, PH_MOVE_DONE, ORDER_CALLS_PER_S },
  { "fails", 1, 1, 0, 0, NO_ROUTE, PH_MOVE_ROLLED_BACK, ORDER_CALLS_PER_S },
  { "fails by half", 0.5, 1, 0, 0, NO_ROUTE, PH_MOVE_ROLLED_BACK, ORDER_CALLS_PER_S },
  { "is slow", 0, 8, 0, 0, NO_ROUTE, PH_MOVE_ROLLED_BACK, ORDER_CALLS_PER_S },
  { "fails late", 0.5, 1, 3 * PH_SECOND, 0, NO_ROUTE, PH_MOVE_ROLLED_BACK, ORDER_CALLS_PER_S },
  { "fails under load", 0.5, 1, 0, 0.2, NO_ROUTE, PH_MOVE_ROLLED_BACK, ORDER_CALLS_PER_S },
  { "fails on one route", 0.5, 1, 0, 0, 0, PH_MOVE_ROLLED_BACK, ORDER_CALLS_PER_S },
  { "fails under full load", 0.5, 1, 0, 0.5, NO_ROUTE, PH_MOVE_ROLLED_BACK, ORDER_CALLS_PER_S },
  { "good, large service", 0, 1, 0, 0, NO_ROUTE, PH_MOVE_DONE, ORDER_CALLS_LARGE },
  { "good, small service", 0, 1, 0, 0, NO_ROUTE, PH_MOVE_DONE, ORDER_CALLS_SMALL },
  { "good, a call in two seconds", 0, 1, 0, 0, NO_ROUTE, PH_MOVE_DONE, 0.5 },
  { "good, no calls", 0, 1, 0, 0, NO_ROUTE, PH_MOVE_DONE, 0 },
  { "fails, small service", 1, 1, 0, 0, NO_ROUTE, PH_MOVE_ROLLED_BACK, ORDER_CALLS_SMALL },
  { "fails under load, large service", 0.5, 1, 0, 0.25, NO_ROUTE, PH_MOVE_ROLLED_BACK,
    ORDER_CALLS_LARGE },
  { "fails under full load, large service", 0.5, 1, 0, 0.9, NO_ROUTE, PH_MOVE_ROLLED_BACK,
    ORDER_CALLS_LARGE },
  { "fails in part under full load, large service", 0.3, 1, 0, 0.9, NO_ROUTE, PH_MOVE_ROLLED_BACK,
    ORDER_CALLS_LARGE },
  { "fails in part under full load on a route, large service", 0.3, 1, 0, 0.9, 0,
    PH_MOVE_ROLLED_BACK, ORDER_CALLS_LARGE },
  { "is slow under full load, large service", 0, 8, 0, 0.9, NO_ROUTE, PH_MOVE_ROLLED_BACK,
    ORDER_CALLS_LARGE },
};

static void
order_move (void)
{
  PhObject object = { .path = PATH, .revision = 1, .kind = PH_OBJECT_MOVE };

  ph_text_copy (object.spec.move.service, sizeof object.spec.move.service, SERVICE);
  ph_text_copy (object.spec.move.to_version, sizeof object.spec.move.to_version, "v2");
  object.spec.move.duration = ORDER_DURATION;
  for (uint32_t i = 0; i < NODES; i++)
    ph_move_config_changed (&bed.ctx[i], bed.worlds[i], &object);
}

/* One call of a service with two routes. Returns whether it went to the new version. */
static bool
run_ordered_call (const OrderCase *c, PhTime since)
{
  const PhService *service = service_at (ph_random_below (&bed.random, NODES));
  bool is_new = ph_random_unit (&bed.random) < service->move_share;
  uint32_t route = ph_random_below (&bed.random, 2);
  uint32_t node = is_new ? ph_random_below (&bed.random, NEW_NODES)
                         : NEW_NODES + ph_random_below (&bed.random, NODES - NEW_NODES);
  bool is_hit = is_new && since >= c->bad_after && service->move_share >= c->bad_from
                && (c->route == NO_ROUTE || c->route == route);
  PhTime time = ORDER_WORK * 7 / 10 + ph_random_below (&bed.random, ORDER_WORK * 6 / 10);

  if (ph_random_unit (&bed.random) < ORDER_BUSY_SHARE)
    time *= ORDER_BUSY_FACTOR;
  if (is_hit)
    time *= c->factor;
  ph_move_observe (&bed.ctx[node], bed.worlds[node], route, time,
                   is_hit && ph_random_unit (&bed.random) < c->failures);
  return is_new;
}

/* Guards against a bad version that gets more than the bound when it is bad only with all calls
 * (fleetbench chre-mesh-grown trouble-2: 1,157 calls of 1,077 allowed; 929 of 826 here), against a
 * good version that has no time for its stages and is taken back at the deadline (inpas-malla
 * trouble-1), against one that waits there for a first call of a service
 * with few (tests/e2e/platform.sh, about once in 100 runs), and against a bad one that gets more
 * than the platform's bound. */
static void
test_orders (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (order_cases); i++)
    for (uint64_t seed = 1; seed <= 40; seed++)
      {
        const OrderCase *c = &order_cases[i];
        uint32_t exposed = 0;
        uint32_t calls = 0;
        double due = 0; /* calls */
        PhMoveReason reason;

        start_bed (seed, 5);
        order_move ();
        for (PhTime since = 0; since < ORDER_DURATION - TICK; since += TICK)
          {
            run_tick (NODES);
            due += c->calls_per_s * TICK / PH_SECOND;
            for (; calls < (uint32_t)due; calls++)
              exposed += run_ordered_call (c, since);
          }
        if (ph_move_outcome (&bed.ctx[7], find_move (7, PATH), &reason) != c->outcome)
          {
            printf ("%s, seed %llu: %s, stage %u\n", c->name, (unsigned long long)seed,
                    ph_move_reason_name (reason), find_move (7, PATH)->stage);
            CU_FAIL ("another outcome was expected");
          }
        if (c->outcome == PH_MOVE_ROLLED_BACK
            && exposed > ORDER_EXPOSURE_SHARE * calls + ORDER_EXPOSURE_EXTRA)
          {
            printf ("%s, seed %llu: %u of %u calls\n", c->name, (unsigned long long)seed, exposed,
                    calls);
            CU_FAIL ("too many calls went to a bad version");
          }
        stop_bed ();
      }
}

/* Guards against a report in the object that starts the move anew, and against a node that learns
 * of a move late and takes another revision for its order. */
static void
test_reports (void)
{
  PhObject object = { .path = PATH, .revision = 5, .kind = PH_OBJECT_MOVE };
  PhMoveSpec *spec = &object.spec.move;
  const PhMoveState flag = { .path = PATH, .revision = 5, .stage = 2 };

  start_bed (1, 0);
  ph_text_copy (spec->service, sizeof spec->service, SERVICE);
  ph_text_copy (spec->to_version, sizeof spec->to_version, "v2");
  spec->duration = ORDER_DURATION;
  spec->created_revision = 2;
  ph_move_config_changed (&bed.ctx[0], bed.worlds[0], &object);
  CU_ASSERT_EQUAL (find_move (0, PATH)->revision, 5);
  ph_move_merge (&bed.ctx[0], bed.worlds[0], &flag);
  object.revision = 9;
  spec->has_reported_outcome = true;
  ph_move_config_changed (&bed.ctx[0], bed.worlds[0], &object);
  CU_ASSERT_EQUAL (find_move (0, PATH)->revision, 5);
  CU_ASSERT_EQUAL (find_move (0, PATH)->stage, 2);
  CU_ASSERT_TRUE (find_move (0, PATH)->is_open_status_written);
  ph_move_config_changed (&bed.ctx[1], bed.worlds[1], &object); /* late */
  CU_ASSERT_EQUAL (find_move (1, PATH)->revision, 2);
  ph_move_merge (&bed.ctx[1], bed.worlds[1], &flag);
  CU_ASSERT_EQUAL (find_move (1, PATH)->stage, 2);
  CU_ASSERT_TRUE (find_move (1, PATH)->has_object);
  spec->reported_outcome = PH_MOVE_DONE;
  object.revision = 11;
  ph_move_config_changed (&bed.ctx[1], bed.worlds[1], &object);
  CU_ASSERT_EQUAL (find_move (1, PATH)->stage, PH_MOVE_STAGES);
  object.revision = 13; /* a new order on the same object */
  ph_text_copy (spec->to_version, sizeof spec->to_version, "v3");
  spec->has_reported_outcome = false;
  ph_move_config_changed (&bed.ctx[1], bed.worlds[1], &object);
  CU_ASSERT_EQUAL (find_move (1, PATH)->stage, 0);
  CU_ASSERT_EQUAL (find_move (1, PATH)->revision, 13);
  CU_ASSERT_FALSE (find_move (1, PATH)->is_final_status_written);
  stop_bed ();
}

static const PhTest tests[] = {
  { "bad versions are taken back and good ones completed", test_cases },
  { "moves that are changed, withdrawn or second", test_changes },
  { "calls of a cold start do not count", test_cold_start },
  { "no stage is passed without calls", test_no_evidence },
  { "moves with a duration", test_orders },
  { "reports in the object itself", test_reports },
};
PH_TEST_SUITE (move, tests)
