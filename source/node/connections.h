#ifndef PH_CONNECTIONS_H
#define PH_CONNECTIONS_H

#include "pollenhitch/table.h"

/*
 * Open connections of the HTTP client, and what each has carried.
 *
 * libcurl selects the connection of a request. It tells which one right before it
 * sends the request, by addresses and ports, and at the end by the socket.
 */

/* Number of ids that are held for a connection. One that has carried as many is not used again. */
#define PH_CONNECTION_IDS_MAX 256

typedef struct
{
  uint32_t v;
} PhConnectionId;

/* What identifies an open connection. */
typedef struct
{
  const char *address; /* of the peer */
  uint16_t port;       /* of the peer */
  uint16_t local_port;
} PhConnectionName;

typedef struct
{
  PhConnectionId id;
  uint64_t name_hash;
  uint64_t number; /* counts the connections of this node, from 1 */
  int fd;
  uint32_t request_count;
  uint32_t id_count;
  bool is_retired;                     /* no further request may be sent on it */
  bool is_unseen;                      /* the head of its last response was not reported yet */
  uint64_t ids[PH_CONNECTION_IDS_MAX]; /* hashes of the ids of its requests */
} PhConnection;

PH_DECLARE_TABLE (PhConnection, PhConnectionId, ph_connection)

typedef struct
{
  PhTable rows;
  PhIndex by_name;
  PhIndex by_fd;
  uint64_t opened_count;
} PhConnections;

/* ph_connections_init: allocate a table of capacity connections. Returns false with err set when
 * memory runs out; clearing is then allowed, but not needed. */
bool ph_connections_init (PhConnections *connections, uint32_t capacity, PhError *err);
void ph_connections_clear (PhConnections *connections);

/* ph_connections_add: add a connection that was just opened on a socket. Returns NULL when the
 * table is full. */
PhConnection *ph_connections_add (PhConnections *connections, const PhConnectionName *name, int fd);

/* ph_connections_find: the connection with this name, or NULL when it is not in the table. */
PhConnection *ph_connections_find (const PhConnections *connections, const PhConnectionName *name);

/* ph_connections_closed: remove the connection of a socket that is about to be closed, if it is in
 * the table. */
void ph_connections_closed (PhConnections *connections, int fd);

/* ph_connection_has_carried: whether a request with this id was sent on the connection. */
bool ph_connection_has_carried (const PhConnection *connection, uint64_t id);

/* ph_connection_carry: record that a request is sent on the connection. id is a hash, or 0 for a
 * request without an id. */
void ph_connection_carry (PhConnection *connection, uint64_t id);

/* ph_connection_is_full: whether the ids of further requests could not be held. */
bool ph_connection_is_full (const PhConnection *connection);

#endif
