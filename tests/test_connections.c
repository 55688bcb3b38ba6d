#include <stdio.h>

#include "node/connections.h"
#include "test.h"

/* The table of open connections: what each has carried, and what happens to names and sockets that
 * are used again. */

typedef enum
{
  OPEN,  /* a connection is added */
  CARRY, /* a request is sent on it */
  CLOSE  /* its socket is closed */
} Action;

typedef struct
{
  Action action;
  uint16_t local_port;
  int fd;
  uint64_t id;
} Step;

#define STEPS_MAX 5

typedef struct
{
  const char *name;
  Step steps[STEPS_MAX];
  uint32_t step_count;
  uint16_t local_port; /* of the connection that is looked up afterwards */
  bool is_found;
  bool has_carried_7; /* whether a request with id 7 was sent on it */
} Case;

static const Case cases[] = {
  { "no connection", { { OPEN, 1, 10, 0 } }, 0, 1, false, false },
  { "a new connection", { { OPEN, 1, 10, 0 } }, 1, 1, true, false },
  { "a request with the id", { { OPEN, 1, 10, 0 }, { CARRY, 1, 0, 7 } }, 2, 1, true, true },
  { "a request with another id", { { OPEN, 1, 10, 0 }, { CARRY, 1, 0, 8 } }, 2, 1, true, false },
  { "a request without an id", { { OPEN, 1, 10, 0 }, { CARRY, 1, 0, 0 } }, 2, 1, true, false },
  { "the id on another connection",
    { { OPEN, 1, 10, 0 }, { OPEN, 2, 11, 0 }, { CARRY, 2, 0, 7 } },
    3,
    1,
    true,
    false },
  { "a connection that was closed",
    { { OPEN, 1, 10, 0 }, { CARRY, 1, 0, 7 }, { CLOSE, 0, 10, 0 } },
    3,
    1,
    false,
    false },
  { "the name is used again without a close",
    { { OPEN, 1, 10, 0 }, { CARRY, 1, 0, 7 }, { OPEN, 1, 11, 0 } },
    3,
    1,
    true,
    false },
  { "the socket is used again without a close",
    { { OPEN, 1, 10, 0 }, { CARRY, 1, 0, 7 }, { OPEN, 2, 10, 0 } },
    3,
    1,
    false,
    false },
  { "the socket is used again after a close, and closed",
    { { OPEN, 1, 10, 0 }, { CLOSE, 0, 10, 0 }, { OPEN, 2, 10, 0 }, { CLOSE, 0, 10, 0 } },
    4,
    2,
    false,
    false },
  { "another connection was closed",
    { { OPEN, 1, 10, 0 }, { OPEN, 2, 11, 0 }, { CARRY, 1, 0, 7 }, { CLOSE, 0, 11, 0 } },
    4,
    1,
    true,
    true },
};

typedef struct
{
  const char *name;
  PhConnectionName other; /* than 127.0.0.1, port 80, local port 1 */
  bool is_same;
} NameCase;

static const NameCase name_cases[] = {
  { "the same name", { "127.0.0.1", 80, 1 }, true },
  { "another address", { "127.0.0.2", 80, 1 }, false },
  { "another port", { "127.0.0.1", 81, 1 }, false },
  { "another local port", { "127.0.0.1", 80, 2 }, false },
  { "the ports swapped", { "127.0.0.1", 1, 80 }, false },
};

static PhConnectionName
name_of (uint16_t local_port)
{
  return (PhConnectionName){ .address = "127.0.0.1", .port = 80, .local_port = local_port };
}

static void
run_step (PhConnections *connections, const Step *step)
{
  PhConnectionName name = name_of (step->local_port);

  switch (step->action)
    {
    case OPEN:
      CU_ASSERT_PTR_NOT_NULL (ph_connections_add (connections, &name, step->fd));
      break;
    case CARRY:
      ph_connection_carry (ph_connections_find (connections, &name), step->id);
      break;
    case CLOSE:
      ph_connections_closed (connections, step->fd);
    }
}

static void
test_steps (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (cases); i++)
    {
      const Case *c = &cases[i];
      PhConnectionName name = name_of (c->local_port);
      PhConnections connections;
      const PhConnection *found;
      PhError err;

      CU_ASSERT_TRUE_FATAL (ph_connections_init (&connections, 4, &err));
      for (uint32_t step = 0; step < c->step_count; step++)
        run_step (&connections, &c->steps[step]);
      found = ph_connections_find (&connections, &name);
      if ((found != NULL) != c->is_found
          || (found != NULL && ph_connection_has_carried (found, 7) != c->has_carried_7))
        {
          fprintf (stderr, "connections: %s\n", c->name);
          CU_FAIL ("wrong connection");
        }
      ph_connections_clear (&connections);
    }
}

/* Guards against connections to different peers that are taken for one: the system uses a local
 * port again for another peer. */
static void
test_names (void)
{
  for (size_t i = 0; i < PH_ARRAY_SIZE (name_cases); i++)
    {
      const NameCase *c = &name_cases[i];
      PhConnectionName name = name_of (1);
      PhConnections connections;
      PhError err;

      CU_ASSERT_TRUE_FATAL (ph_connections_init (&connections, 4, &err));
      CU_ASSERT_PTR_NOT_NULL (ph_connections_add (&connections, &name, 10));
      if ((ph_connections_find (&connections, &c->other) != NULL) != c->is_same)
        {
          fprintf (stderr, "connections: %s\n", c->name);
          CU_FAIL ("wrong connection");
        }
      ph_connections_clear (&connections);
    }
}

/* Guards against ids that are forgotten while their connection is in use. */
static void
test_full (void)
{
  PhConnectionName name = name_of (1);
  PhConnections connections;
  PhConnection *connection;
  PhError err;

  CU_ASSERT_TRUE_FATAL (ph_connections_init (&connections, 1, &err));
  connection = ph_connections_add (&connections, &name, 10);
  for (uint64_t id = 1; id <= PH_CONNECTION_IDS_MAX; id++)
    {
      CU_ASSERT_FALSE (ph_connection_is_full (connection));
      ph_connection_carry (connection, id);
    }
  CU_ASSERT_TRUE (ph_connection_is_full (connection));
  for (uint64_t id = 1; id <= PH_CONNECTION_IDS_MAX; id++)
    CU_ASSERT_TRUE (ph_connection_has_carried (connection, id));
  name = name_of (2);
  CU_ASSERT_PTR_NULL (ph_connections_add (&connections, &name, 11));
  ph_connections_clear (&connections);
}

static const PhTest tests[] = {
  { "steps", test_steps },
  { "names", test_names },
  { "full", test_full },
};
PH_TEST_SUITE (connections, tests)
