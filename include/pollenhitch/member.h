#ifndef PH_MEMBER_H
#define PH_MEMBER_H

#include "pollenhitch/move.h"
#include "pollenhitch/timer.h"
#include "pollenhitch/upstream.h"

/*
 * Membership: which nodes exist, where they are, and the upstream beside each.
 *
 * SWIM (Das, Gupta and Motivala 2002): one probe a period, indirect probes,
 * suspicion and incarnations. A member is known by VM name and epoch; a higher
 * epoch of a name replaces a lower one.
 */

#define PH_ADDRESS_MAX 46 /* text of an IPv4 or IPv6 address with its zero */

typedef enum
{
  PH_MEMBER_ALIVE,
  PH_MEMBER_SUSPECT,
  PH_MEMBER_DEAD,
  PH_MEMBER_LEFT
} PhMemberState;

/* A member's record as it travels between nodes. */
typedef struct
{
  char name[PH_NAME_MAX];
  uint64_t epoch;
  uint32_t incarnation;
  PhMemberState state;
  uint32_t suspected_by; /* of a suspect: hash of the member that suspects it; not compared */
  char address[PH_ADDRESS_MAX];
  uint16_t peer_port;
  uint16_t control_port;
  char data_centre[PH_NAME_MAX];
  char region[PH_NAME_MAX];
  bool has_upstream;
  char service[PH_NAME_MAX];
  char version[PH_VERSION_MAX];
  uint64_t upstream_epoch; /* of the upstream's start, see PhUpstream */
  PhUpstreamState upstream_state;
  uint32_t slots;
  uint32_t connections;
} PhMemberRecord;

#define PH_SUSPICIONS_MAX 3 /* independent suspicions that count; Lifeguard, section IV-B */

typedef struct
{
  PhMemberRecord record;
  uint64_t name_hash;
  PhUpstreamId upstream;
  PhTime changed_at;
  uint32_t sends_left;   /* times that the record is still to be passed on */
  bool is_gossip_queued; /* queued for dissemination */
  bool is_self;
  PhTime suspect_since;
  PhTime suspect_until;
  uint32_t suspicion_sources[PH_SUSPICIONS_MAX];
  uint32_t suspicion_count;
  uint64_t received_sequence; /* highest received from it */
  uint64_t received_window;   /* bit i: sequence - i was received */
  uint32_t sync_number;       /* of the exchange of tables that noted this row; see sync.c */
} PhMember;

PH_DECLARE_TABLE (PhMember, PhMemberId, ph_member)

typedef enum
{
  PH_MESSAGE_PING, /* asks for an acknowledgement */
  PH_MESSAGE_ACK,
  PH_MESSAGE_NACK,     /* answer to a ping request: the target did not respond */
  PH_MESSAGE_PING_REQ, /* asks another member to ping the target */
  PH_MESSAGE_PUSH,     /* records and objects only; no response is expected */
  PH_MESSAGE_SYNC,     /* over TCP; from the core: start an exchange with this member */
  PH_MESSAGE_SYNC_REPLY,
  PH_MESSAGE_KIND_COUNT
} PhMessageKind;

/* A configuration object in a message; the texts are borrowed. */
typedef struct
{
  const char *path;
  uint64_t revision;
  const char *text;
  uint32_t size;
  bool is_deleted;
  bool is_text_omitted; /* the text does not fit in a datagram and is to be asked for */
} PhMessageObject;

#define PH_SYNC_BUCKETS 64

/* Part of a message that compares and exchanges tables by bucket of the name's or path's hash. */
typedef struct
{
  bool is_partial;  /* more differs than fits in one reply */
  bool has_digests; /* first request of an exchange */
  uint64_t member_digests[PH_SYNC_BUCKETS];
  uint64_t object_digests[PH_SYNC_BUCKETS];
  uint64_t member_mask; /* of a reply: buckets that differ */
  uint64_t object_mask;
} PhSync;

/* One control message. Encoding is left to the runtime; pointers are borrowed during the call. */
typedef struct
{
  PhMessageKind kind;
  char address[PH_ADDRESS_MAX]; /* of the other side */
  uint16_t port;
  uint32_t datagram_size; /* bytes of a datagram that came; an answer that anyone could ask for is
                             no larger */
  uint32_t xid;           /* chosen by the requester, repeated in the answer */
  char sender[PH_NAME_MAX];
  uint64_t sender_epoch;
  uint64_t sequence;       /* rises with each message of a sender */
  uint64_t receiver_epoch; /* process that the message is for; 0 before it is known */
  uint64_t config_revision;
  uint64_t config_digest;
  char target[PH_NAME_MAX]; /* of a ping request, else empty */
  uint64_t target_epoch;
  char target_address[PH_ADDRESS_MAX];
  uint16_t target_port;
  const PhSync *sync; /* of SYNC and SYNC_REPLY, else NULL */
  uint32_t record_count;
  const PhMemberRecord *const *records;
  uint32_t object_count;
  const PhMessageObject *objects;
  uint32_t move_count;
  const PhMoveState *moves;
  const PhMoveEvidence *evidence; /* of the sender, or NULL */
} PhMessage;

/* Bytes that core code may fill with records and objects, so that a datagram with its header and
 * verifier stays within 1,200 bytes. */
#define PH_DATAGRAM_MAX 1200
#define PH_DATAGRAM_HEADER_SIZE                                                                    \
  344 /* RPC header, verifier and fixed fields with names of 63 bytes */
#define PH_MESSAGE_RECORDS_MAX 8
#define PH_MESSAGE_OBJECTS_MAX 8

#define PH_SEEDS_MAX 16
#define PH_RELAYS_MAX 64

/* A ping sent on behalf of another member. */
typedef struct
{
  uint32_t xid; /* of our ping, 0 when free */
  uint32_t requester_xid;
  PhMemberId requester;
  PhMemberId target;
  PhTime expires_at;
} PhRelay;

typedef struct
{
  char address[PH_ADDRESS_MAX];
  uint16_t port;
} PhSeed;

typedef struct
{
  PhMemberId self;
  uint64_t sent_sequence; /* of the last message sent */
  uint32_t last_xid;
  uint32_t state_version; /* rises with each change of a member's state */
  uint32_t alive_count;
  uint32_t dead_count; /* dead and left members that are still kept */

  /* Probe of the current period. */
  PhTime period_ends_at; /* when the current period ends */
  PhMemberId probe_target;
  uint64_t probe_target_epoch;
  uint32_t probe_xid;
  bool is_probe_acked;
  bool must_repeat_probe; /* the next probe goes to the same member */
  bool is_probe_repeated;
  PhTime probe_sent_at;
  uint32_t missing_nacks;
  uint32_t local_health_score; /* local health score of Lifeguard: 0 is healthy */
  PhTime smoothed_rtt;         /* smoothed */

  uint32_t *probe_order; /* handles in the shuffled order of probes */
  uint32_t probe_order_count;
  uint32_t probe_order_index;

  PhRelay relays[PH_RELAYS_MAX];
  PhSeed seeds[PH_SEEDS_MAX];
  uint32_t seed_count;

  /* Dissemination. */
  PhQueue gossip_members;
  PhQueue gossip_objects;
  PhQueue gossip_moves;
  PhTime next_round_at; /* next round that is scheduled, PH_TIME_NEVER for none */
  PhTime last_round_at;

  /* Exchange of tables. */
  bool is_joined; /* one exchange has succeeded */
  bool is_sync_open;
  uint32_t sync_number;   /* number of the last exchange */
  PhTime next_sync_at;    /* next one by schedule */
  PhTime sync_started_at; /* of the last one */
  PhTime
      digests_differ_since; /* since when the tables of others differ from this node's, 0 for not */
  PhTime next_dead_probe_at;
  PhMemberId dead_cursor;
  uint64_t member_digests[PH_SYNC_BUCKETS];

  PhTime hello_window_ends_at; /* until when the hellos caused by unknown senders are counted */
  uint32_t hello_count;
  PhTime epoch_raise_window_began_at; /* when this process heard of a later epoch under its name */
  uint32_t epoch_raise_count;         /* since then */

  uint64_t rejected_count; /* messages that were for another process or replayed */
} PhMembership;

/* ph_member_start: add this node's own record. Called once by ph_world_new. */
bool ph_member_start (PhContext *ctx, PhWorld *world, const PhMemberRecord *self, PhError *err);
void ph_member_clear (PhWorld *world);

/* ph_member_find: handle of a member by VM name, or 0. */
PhMemberId ph_member_find (const PhWorld *world, const char *name);

/* ph_member_add_seed: send a first message to an address from the settings or a contact object, and
 * again while no other member is known. */
void
ph_member_add_seed (PhContext *ctx, PhWorld *world, const char *address, uint16_t control_port);

/* ph_member_receive: an authenticated control message came. */
void ph_member_receive (PhContext *ctx, PhWorld *world, const PhMessage *message);

/*
 * ph_member_accept: whether a message is for this process, and new.
 *
 * A message of a replaced process, one that was received before, and one that was sent to a
 * predecessor of this process change nothing.
 */
bool ph_member_accept (PhContext *ctx, PhWorld *world, const PhMessage *message);

/* ph_member_merge: one record came. Returns true when it changed the table. */
bool ph_member_merge (PhContext *ctx, PhWorld *world, const PhMemberRecord *record);

/* ph_member_compare: order of two records of one name: epoch, then incarnation, then state. */
int ph_member_compare (const PhMemberRecord *a, const PhMemberRecord *b);

/* ph_member_self_changed: the local upstream's announcement changed, or the node stops; raises the
 * incarnation. */
void ph_member_self_changed (PhContext *ctx, PhWorld *world);

/* ph_member_random: a live member other than this node, or 0. */
PhMemberId ph_member_random (PhContext *ctx, PhWorld *world);

/*
 * ph_member_ranked: the first live members of a data centre by rendezvous hash of their names.
 *
 * Every node with the same table gets the same order, and a change of one member moves only that
 * one. Fills in up to limit handles and returns how many.
 */
uint32_t
ph_member_ranked (const PhWorld *world, const char *data_centre, PhMemberId *ids, uint32_t max);

/* ph_member_init_message: a message to a member with sender and digests filled in. */
void ph_member_init_message (PhWorld *world,
                             PhMessageKind kind,
                             const PhMemberRecord *to,
                             PhMessage *message);

/* ph_member_period_timer: the period of the membership protocol came up. */
void ph_member_period_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/* ph_member_probe_timer: the direct answer to a probe is late; handle is the probe's xid. */
void ph_member_probe_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/* ph_member_suspicion_timer: a suspicion may have run out. */
void ph_member_suspicion_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

const char *ph_member_state_name (PhMemberState state);

#endif
