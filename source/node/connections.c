#include "node/connections.h"

#include <string.h>

static uint64_t
hash_name (const PhConnectionName *name)
{
  return ph_hash_mix (ph_hash (name->address), (uint64_t)name->port << 16 | name->local_port);
}

static uint64_t
hash_fd (int fd)
{
  return ph_hash_mix ((uint64_t)fd, 0);
}

/* Keys are compared by their hash alone: two connections that are taken for one have carried the
 * ids of both. */
static bool
match_any (const void *user, uint32_t handle, const char *key)
{
  (void)user;
  (void)handle;
  (void)key;
  return true;
}

static void
remove_row (PhConnections *connections, PhConnectionId id)
{
  const PhConnection *connection = ph_connection_get (&connections->rows, id);

  if (connection == NULL)
    return;
  ph_index_remove (&connections->by_name, connection->name_hash, id.v);
  ph_index_remove (&connections->by_fd, hash_fd (connection->fd), id.v);
  ph_connection_remove (&connections->rows, id);
}

bool
ph_connections_init (PhConnections *connections, uint32_t capacity, PhError *err)
{
  memset (connections, 0, sizeof *connections);
  if (ph_table_init (&connections->rows, sizeof (PhConnection), capacity, err)
      && ph_index_init (&connections->by_name, capacity, err)
      && ph_index_init (&connections->by_fd, capacity, err))
    return true;
  ph_connections_clear (connections);
  return false;
}

void
ph_connections_clear (PhConnections *connections)
{
  ph_table_clear (&connections->rows);
  ph_index_clear (&connections->by_name);
  ph_index_clear (&connections->by_fd);
}

static PhConnectionId
find_hash (const PhIndex *index, uint64_t hash)
{
  return (PhConnectionId){ ph_index_find (index, hash, match_any, NULL, NULL) };
}

PhConnection *
ph_connections_add (PhConnections *connections, const PhConnectionName *name, int fd)
{
  uint64_t hash = hash_name (name);
  PhConnection *connection;
  PhConnectionId id;

  ph_connections_closed (connections, fd);
  remove_row (connections, find_hash (&connections->by_name, hash));
  id = ph_connection_add (&connections->rows, &connection);
  if (id.v == 0)
    return NULL;
  connection->id = id;
  connection->name_hash = hash;
  connection->fd = fd;
  connection->number = ++connections->opened_count;
  ph_index_add (&connections->by_name, hash, id.v);
  ph_index_add (&connections->by_fd, hash_fd (fd), id.v);
  return connection;
}

PhConnection *
ph_connections_find (const PhConnections *connections, const PhConnectionName *name)
{
  return ph_connection_get (&connections->rows,
                            find_hash (&connections->by_name, hash_name (name)));
}

void
ph_connections_closed (PhConnections *connections, int fd)
{
  remove_row (connections, find_hash (&connections->by_fd, hash_fd (fd)));
}

bool
ph_connection_has_carried (const PhConnection *connection, uint64_t id)
{
  for (uint32_t i = 0; i < connection->id_count; i++)
    if (connection->ids[i] == id)
      return true;
  return false;
}

void
ph_connection_carry (PhConnection *connection, uint64_t id)
{
  connection->request_count++;
  if (id != 0 && !ph_connection_is_full (connection))
    connection->ids[connection->id_count++] = id;
}

bool
ph_connection_is_full (const PhConnection *connection)
{
  return connection->id_count == PH_CONNECTION_IDS_MAX;
}
