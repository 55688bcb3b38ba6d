/*
 * Messages between nodes: ONC RPC program 0x40504831, version 1.
 *
 * All procedures use the same body. PING, PING_REQ and PUSH are sent in datagrams,
 * SYNC over TCP with record marking. The reply to PING is an ACK, that to PING_REQ
 * an ACK or a NACK, and that to SYNC a SYNC_REPLY: kind in the body tells which.
 * PUSH has no reply.
 *
 * The structures hold the fields of those in member.h and move.h, and enums are
 * sent as their numbers: ph_x_body and ph_x_verifier those of PhMessage, ph_x_target
 * its target fields, ph_x_record and ph_x_upstream those of PhMemberRecord,
 * ph_x_object those of PhMessageObject, ph_x_sync those of PhSync, ph_x_move those of
 * PhMoveState, ph_x_evidence those of PhMoveEvidence.
 *
 * The generated files are made by rpcgen -h and rpcgen -c; see the Makefile target
 * "xdr". "version" is a reserved word of the language, so the field is named
 * release.
 */

struct ph_x_upstream
{
  string service<63>;
  string release<31>;
  unsigned hyper epoch;
  unsigned int state;
  unsigned int slots;
  unsigned int connections;
};

struct ph_x_record
{
  string name<63>;
  unsigned hyper epoch;
  unsigned int incarnation;
  unsigned int state;
  unsigned int accuser; /* PhMemberRecord.suspected_by */
  string address<45>;
  unsigned int peer_port;
  unsigned int control_port;
  string data_centre<63>;
  string region<63>;
  ph_x_upstream *upstream;
};

struct ph_x_object
{
  string path<159>;
  unsigned hyper revision;
  bool is_deleted;
  bool is_stub; /* PhMessageObject.is_text_omitted */
  unsigned int packed_from; /* text size in bytes before compression (RFC 1950), 0 for none */
  opaque text<2098176>;
};

struct ph_x_target
{
  string name<63>;
  unsigned hyper epoch;
  string address<45>;
  unsigned int port;
};

/* Digests are sent only in the first request of a sync. */
struct ph_x_sync
{
  bool is_partial;
  unsigned hyper member_mask;
  unsigned hyper object_mask;
  unsigned hyper member_digests<64>;
  unsigned hyper object_digests<64>;
};

struct ph_x_move
{
  string path<159>;
  unsigned hyper revision;
  unsigned int stage;
  bool is_bad;
  unsigned int reason;
  unsigned int route; /* PhMoveState.route_bucket */
};

/* Counts of the sender's local upstream for one move: for each of 8 route buckets the calls, the
 * failures, and the calls in each of 8 latency buckets. */
struct ph_x_evidence
{
  string path<159>;
  unsigned hyper revision;
  bool is_new;
  unsigned int started_calls;
  unsigned int counts[80];
};

struct ph_x_body
{
  unsigned int kind;
  unsigned hyper config_revision;
  unsigned hyper config_digest;
  ph_x_target *target;
  ph_x_sync *sync;
  ph_x_record records<4096>;
  ph_x_object objects<8192>;
  ph_x_move moves<64>;
  ph_x_evidence *evidence;
};

/* Load of an upstream, see PhLoadEntry. Each of the last three numbers holds two of 16 bits, of
 * which the first is the upper one: half of the bytes tell twice as many loads. */
struct ph_x_load
{
  unsigned int upstream; /* PhLoadEntry.key */
  unsigned int calls;    /* in flight, queued */
  unsigned int limit;    /* limit, age in milliseconds */
  unsigned int speed;    /* slowdown_percent, cold_rate */
};

/* Follows the body of a datagram whose sender has --fleet-capacity set and knows a load. Otherwise
 * nothing follows the body, as in releases without this setting, which reject a longer message. */
struct ph_x_loads
{
  ph_x_load loads<48>;
};

/* Body of the RPC verifier. The code is an HMAC-SHA256 over the whole message, with these 32
 * bytes counted as zeros. */
struct ph_x_verifier
{
  string sender<63>;
  unsigned hyper epoch;
  unsigned hyper sequence;
  unsigned hyper receiver_epoch;
  opaque code[32];
};

program PH_CONTROL
{
  version PH_CONTROL_V1
  {
    ph_x_body PH_PING (ph_x_body) = 1;
    ph_x_body PH_PING_REQ (ph_x_body) = 2;
    void PH_PUSH (ph_x_body) = 3;
    ph_x_body PH_SYNC (ph_x_body) = 4;
  } = 1;
} = 0x40504831;
