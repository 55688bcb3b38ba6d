#ifndef PH_MEMBER_H
#define PH_MEMBER_H

#include "pollenhitch/move.h"
#include "pollenhitch/timer.h"
#include "pollenhitch/upstream.h"

/*
 * Membership: the nodes of the fleet, their addresses, and the upstream of each.
 *
 * The protocol is SWIM (Das, Gupta and Motivala 2002) with the extensions of
 * Lifeguard (Dadgar, Phillips and Currey 2017): one member probe in each protocol
 * period, indirect probes, suspicion and incarnations. In this header, a probe is
 * a member probe, not one of an upstream. A member is identified by
 * its VM name. Its epoch identifies the process: a record with a higher epoch
 * replaces that of an earlier process of the same name.
 *
 * A message names the epoch of the process that it is for. A hello is a ping
 * with epoch 0, sent to an address whose process is not known yet; the answer
 * holds the record of that process.
 */

#define PH_ADDRESS_MAX 46 /* bytes of an IP address as text, with its terminating zero */

typedef enum
{
  PH_MEMBER_ALIVE,
  PH_MEMBER_SUSPECT,
  PH_MEMBER_DEAD,
  PH_MEMBER_LEFT
} PhMemberState;

/* Record of a member, as nodes send it to each other. */
typedef struct
{
  char name[PH_NAME_MAX]; /* VM name */
  uint64_t epoch;         /* epoch of the process, see PhWorldOptions */
  uint32_t incarnation;   /* raised by the member itself with each change of its record except of
                             its epoch, and to refute a record */
  PhMemberState state;
  uint32_t suspected_by; /* of a suspect: low 32 bits of the hash of the name of the member that
                            suspects it; ph_member_compare ignores it */
  char address[PH_ADDRESS_MAX];
  uint16_t peer_port;    /* port for calls of other nodes */
  uint16_t control_port; /* port for control messages */
  char data_centre[PH_NAME_MAX];
  char region[PH_NAME_MAX];
  bool has_upstream; /* the node has a local upstream that admits calls; the fields below describe
                        it */
  char service[PH_NAME_MAX];
  char version[PH_VERSION_MAX];
  uint64_t upstream_epoch; /* epoch of the upstream's process, see PhUpstream */
  PhUpstreamState upstream_state;
  uint32_t slots;       /* as in PhUpstream */
  uint32_t connections; /* as in PhUpstream */
} PhMemberRecord;

/* Independent suspicions of a member, the first included, that bring its suspicion down to the
 * shortest timeout (Lifeguard, section IV-B). */
#define PH_SUSPICIONS_MAX 3

/* A row of the table of members. */
typedef struct
{
  PhMemberRecord record;
  uint64_t name_hash;    /* ph_hash of the VM name */
  PhUpstreamId upstream; /* row of the member's upstream, or 0 */
  PhTime changed_at;     /* time at which the record last changed here */
  uint32_t sends_left;   /* messages that are still to carry the record */
  bool is_gossip_queued; /* in PhMembership.gossip_members */
  bool is_self;          /* this node */
  PhTime suspect_since;  /* start of the suspicion, while the state is suspect */
  PhTime suspect_until;  /* end of the suspicion, at which the member is declared dead */
  uint32_t suspicion_sources[PH_SUSPICIONS_MAX]; /* suspected_by of each independent suspicion */
  uint32_t suspicion_count;                      /* entries of suspicion_sources */
  uint64_t received_sequence; /* highest message sequence received from the member's process */
  uint64_t received_window;   /* bit i is set when received_sequence - i was received */
  uint32_t sync_mark; /* set by the last sync whose reply held this row, see record_reply_rows in
                         sync.c */
} PhMember;

PH_DECLARE_TABLE (PhMember, PhMemberId, ph_member)

typedef enum
{
  PH_MESSAGE_PING,     /* requests an acknowledgement */
  PH_MESSAGE_ACK,      /* reply to PING, or to PING_REQ when the target acknowledged */
  PH_MESSAGE_NACK,     /* reply to PING_REQ: the target did not acknowledge in time */
  PH_MESSAGE_PING_REQ, /* requests that the receiver ping the target */
  PH_MESSAGE_PUSH,     /* records, objects, moves and evidence; has no reply */
  PH_MESSAGE_SYNC,     /* request of a sync, over TCP. Passed to send_message, it makes the runtime
                          start a sync with this member. */
  PH_MESSAGE_SYNC_REPLY, /* reply to SYNC */
  PH_MESSAGE_KIND_COUNT
} PhMessageKind;

/* A configuration object in a message. The strings are borrowed. */
typedef struct
{
  const char *path;
  uint64_t revision;
  const char *text; /* encoded form */
  uint32_t size;    /* bytes of text */
  bool is_deleted;
  bool is_text_omitted; /* the text does not fit in a datagram: the receiver gets it by a sync */
} PhMessageObject;

#define PH_SYNC_BUCKETS 64 /* buckets of a table, by the hash of a name or path */

/* Part of the messages SYNC and SYNC_REPLY, by which two nodes compare their tables bucket by
 * bucket. */
typedef struct
{
  bool is_partial;  /* of a reply: not all rows of the differing buckets fitted */
  bool has_digests; /* of a first request: the digests are set */
  uint64_t member_digests[PH_SYNC_BUCKETS];
  uint64_t object_digests[PH_SYNC_BUCKETS];
  uint64_t member_mask; /* of a reply: bit i is set when bucket i of the members differs */
  uint64_t object_mask; /* the same for objects */
} PhSync;

/* One decoded control message. The runtime encodes and decodes it; pointers are borrowed during the
 * call that it is passed to. */
typedef struct
{
  PhMessageKind kind;
  char address[PH_ADDRESS_MAX]; /* address of the other node */
  uint16_t port;                /* control port of the other node */
  uint32_t datagram_size;       /* bytes of a received datagram; a reply to a sender that may be
                                   spoofed is no larger */
  uint32_t xid;                 /* transaction id, chosen by the requester, repeated in the reply */
  char sender[PH_NAME_MAX];     /* VM name */
  uint64_t sender_epoch;
  uint64_t sequence;        /* increases with each message of the sender */
  uint64_t receiver_epoch;  /* epoch of the process that the message is for; 0 in a hello */
  uint64_t config_revision; /* highest revision that the sender has applied */
  uint64_t config_digest;   /* ph_config_digest of the sender */
  char target[PH_NAME_MAX]; /* VM name of the target: of PING_REQ and its replies, else "" */
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
  const PhMoveEvidence *evidence; /* counts of the sender for one move, or NULL */
  uint32_t load_count;            /* of a datagram, while --fleet-capacity is set */
  const PhLoadEntry *loads;
} PhMessage;

/* Sizes in bytes. A datagram with its ONC RPC header and verifier (the message authentication code)
 * is at most PH_DATAGRAM_MAX long. */
#define PH_DATAGRAM_MAX 1200
#define PH_DATAGRAM_HEADER_SIZE                                                                    \
  344 /* RPC header, verifier and fixed fields, with names of 63 bytes */

/* Rows in a datagram. */
#define PH_MESSAGE_RECORDS_MAX 8
#define PH_MESSAGE_OBJECTS_MAX 8
#define PH_MESSAGE_LOADS_MAX 48

#define PH_SEEDS_MAX 16
#define PH_RELAYS_MAX 64 /* pings in progress on behalf of other members */

/* A ping sent on behalf of another member. */
typedef struct
{
  uint32_t xid;           /* xid of the ping to the target, 0 while the entry is free */
  uint32_t requester_xid; /* xid of the requester's PING_REQ */
  PhMemberId requester;
  PhMemberId target;
  PhTime expires_at; /* time at which a NACK is sent */
} PhRelay;

/* Control address of a node that is contacted to join the fleet. */
typedef struct
{
  char address[PH_ADDRESS_MAX];
  uint16_t port;
} PhSeed;

/* State of the membership protocol on this node. */
typedef struct
{
  PhMemberId self;        /* row of this node */
  uint64_t sent_sequence; /* sequence of the last message sent */
  uint32_t last_xid;      /* last transaction id used */
  uint32_t state_version; /* incremented with each change of another member's state or epoch */
  uint32_t live_count;    /* alive and suspect members, this node included */
  uint32_t dead_count;    /* rows of dead members and of members that left */

  /* Member probe of the current protocol period. */
  PhTime period_ends_at; /* end of the period, 0 before the first one */
  PhMemberId probe_target;
  uint64_t probe_target_epoch;
  uint32_t probe_xid;
  bool is_probe_acked;
  bool must_repeat_probe; /* the next probe is sent to the same member */
  bool is_probe_repeated; /* this probe is the second one in a row to the same member */
  PhTime probe_sent_at;
  uint32_t missing_nacks; /* ping requests of this probe without a NACK so far */
  /* Score of Lifeguard's local health multiplier, 0 to 8: 0 is healthy, and a higher score makes
   * the node wait longer. */
  uint32_t local_health_score;
  PhTime smoothed_rtt; /* smoothed round-trip time of probes */

  uint32_t *probe_order; /* handles of members in the shuffled order of probes; owned */
  uint32_t probe_order_count;
  uint32_t probe_order_index; /* position of the next target */

  PhRelay relays[PH_RELAYS_MAX];
  PhSeed seeds[PH_SEEDS_MAX];
  uint32_t seed_count;

  /* Gossip. */
  PhQueue gossip_members; /* rows that are still to be sent */
  PhQueue gossip_objects;
  PhQueue gossip_moves;
  PhTime next_round_at; /* time of the scheduled gossip round, PH_TIME_NEVER for none */
  PhTime last_round_at; /* time of the last push */

  /* Syncs (anti-entropy). */
  bool is_joined;              /* at least one sync has succeeded */
  uint32_t open_syncs;         /* syncs in progress that this node started */
  uint32_t sync_number;        /* number of the last sync whose reply was compared */
  uint32_t catch_up_syncs;     /* syncs that were started in the last catch-up */
  PhTime next_sync_at;         /* time of the next periodic sync */
  PhTime sync_started_at;      /* start of the last sync that this node started */
  PhTime digests_differ_since; /* time since which received messages carry another configuration
                                  digest than this node's, 0 when the last one matched */
  PhTime catch_up_since;       /* start of the catch-up by syncs, 0 while there is none */
  PhTime catch_up_ends_at;     /* its end, if no more records come to wait for gossip */
  PhTime next_dead_probe_at;   /* time of the next ping to a dead member */
  PhMemberId dead_cursor;      /* last row that was considered for such a ping */
  uint64_t member_digests[PH_SYNC_BUCKETS]; /* digest of the live members in each bucket */

  /* Rate limits. */
  PhTime hello_window_ends_at; /* end of the window in which hellos are counted */
  /* Hellos, and replies larger than the message that they answer, in the window. */
  uint32_t hello_count;
  PhTime epoch_raise_window_began_at; /* start of the window in which raises of this process's epoch
                                         are counted, 0 before the first */
  uint32_t epoch_raise_count;         /* raises in the window */

  /* Bytes that datagrams with loads may have, see ph_load_view_fill. */
  double load_bytes;
  PhTime load_bytes_refilled_at;

  uint64_t rejected_count; /* messages that were stale, replayed or for another process */
} PhMembership;

/* ph_member_start: add this node's own record and allocate the queues. Called once by ph_world_new.
 * Returns false with err set when memory runs out. */
bool ph_member_start (PhContext *ctx, PhWorld *world, const PhMemberRecord *self, PhError *err);

/* ph_member_clear: free what ph_member_start allocated. */
void ph_member_clear (PhWorld *world);

/* ph_member_find: handle of a member by VM name, or 0. */
PhMemberId ph_member_find (const PhWorld *world, const char *name);

/* ph_member_add_seed: add an address, from the settings or published in the store by another node
 * (its contact object), and send a hello to it. The hello is repeated while no other member is
 * live, or while the local health score is at its maximum, which means that recent member
 * probes have failed. A new address replaces a random one if PH_SEEDS_MAX are known. This node's
 * own address is ignored, and one that is too long is not added. */
void
ph_member_add_seed (PhContext *ctx, PhWorld *world, const char *address, uint16_t control_port);

/* ph_member_receive: handle an authenticated control message. One that ph_member_accept rejects is
 * not merged. */
void ph_member_receive (PhContext *ctx, PhWorld *world, const PhMessage *message);

/*
 * ph_member_accept: whether a message is for this process and was not received before.
 *
 * Returns false, and counts the message as rejected, for a message of a replaced process, for a
 * duplicate, and for a message that was sent to a predecessor of this process. The caller must
 * ignore the content of a rejected message. Records the sequence of an accepted message of a
 * process that is a known member.
 */
bool ph_member_accept (PhContext *ctx, PhWorld *world, const PhMessage *message);

/* ph_member_merge: merge a received record into the table. Returns true when it changed the table,
 * false when the record is not newer or not valid, or the table is full of live members. */
bool ph_member_merge (PhContext *ctx, PhWorld *world, const PhMemberRecord *record);

/* ph_member_compare: order of two records of one name by epoch, then incarnation, then state.
 * Returns a negative number, 0 or a positive number; the greater record is the newer one. */
int ph_member_compare (const PhMemberRecord *a, const PhMemberRecord *b);

/* ph_member_self_changed: update this node's own record after a change of the local upstream or at
 * a planned stop, raise its incarnation and queue it for gossip. */
void ph_member_self_changed (PhContext *ctx, PhWorld *world);

/* ph_member_random: a random live member other than this node, or 0. */
PhMemberId ph_member_random (PhContext *ctx, PhWorld *world);

/*
 * ph_member_ranked: the live members of a data centre that rank highest by rendezvous hashing of
 * their names.
 *
 * All nodes with the same table get the same order, and adding or removing a member does not change
 * the order of the others. Fills in at most max handles and returns their number.
 */
uint32_t
ph_member_ranked (const PhWorld *world, const char *data_centre, PhMemberId *ids, uint32_t max);

#define PH_MEMBER_DATA_CENTRES_MAX 64

/* ph_member_data_centres: number of data centres that have live members, at most
 * PH_MEMBER_DATA_CENTRES_MAX. Sets *place to the number of them that come before data_centre by
 * name. */
uint32_t ph_member_data_centres (const PhWorld *world, const char *data_centre, uint32_t *place);

/* ph_member_init_message: set the kind, receiver, sender, revision and digest of a message to a
 * member; other fields are left as they are. */
void ph_member_init_message (PhWorld *world,
                             PhMessageKind kind,
                             const PhMemberRecord *to,
                             PhMessage *message);

/* ph_member_period_timer: end a protocol period and start the next one. handle is not used. */
void ph_member_period_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/* ph_member_probe_timer: a member probe, or a ping on behalf of another member, timed out; handle
 * is its xid. Starts indirect probes, or sends the NACK; does nothing if it was acknowledged. */
void ph_member_probe_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/* ph_member_hello_timer: send hellos to the seeds again, with --catch-up-syncs, until another
 * member is known or 5 s have passed since the start. handle is the number of hellos sent so far.
 */
void ph_member_hello_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/* ph_member_suspicion_timer: declare a member dead if its suspicion has timed out; handle is its
 * row. Extends the suspicion after a pause of the event loop, in which a refutation may have been
 * missed. */
void ph_member_suspicion_timer (PhContext *ctx, PhWorld *world, uint32_t handle);

/* ph_member_state_name: "alive", "suspect", "dead" or "left". */
const char *ph_member_state_name (PhMemberState state);

#endif
