/*
 * Membership: which instances live, by SWIM (probe, indirect probe,
 * suspicion, incarnation) among a bounded set of peers, so that the cost
 * per node does not grow with the fleet. The platform's lagging list says
 * who may be a member; this says who answers.
 *
 * Rumours ride on the probes, each a bounded number of times. An instance is
 * held dead only after a suspicion that it could have refuted; that is so
 * for each receiver of a rumour, so a late or one-sided "dead" costs a
 * suspicion and no more. Dead instances that the list still names are
 * probed now and then, so that two sides of a partition find each other.
 *
 * It also carries the rumours of leaving endpoints.
 */
#ifndef LAVENDER_MEMBERSHIP_H
#define LAVENDER_MEMBERSHIP_H

#include "lavender/host.h"
#include "lavender/world.h"

/* The most rumours of one message. */
#define SWIM_RUMOURS_MAX 32

/* Probes that can wait for their answer at one time, and probes made for
 * others. */
#define SWIM_PROBES_MAX 16
#define SWIM_RELAYS_MAX 64

typedef struct swim_settings {
    lv_time probe_interval;
    lv_time probe_timeout; /* direct; then indirect probes for twice as long */
    lv_time suspicion_timeout; /* from suspect to dead */
    lv_time forget_timeout;    /* a dead one is forgotten after this */
    uint32_t indirect_probes;
    uint32_t max_peers; /* probed set; 0: all */
    uint32_t rumours_per_message;
} swim_settings;

typedef struct swim_member swim_member;
typedef struct swim_leaving swim_leaving;

/* A probe whose answer is awaited; target LV_ID_NONE: free. */
typedef struct swim_probe {
    lv_id target;
    uint64_t number;
    lv_time sent;
    bool was_relayed;
} swim_probe;

/* A probe made for another instance. */
typedef struct swim_relay {
    lv_id requester;
    uint64_t requested; /* the requester's number */
    uint64_t number;    /* ours */
    lv_id subject;
    lv_time sent;
} swim_relay;

/* Identities whose rumours still have transmissions left. */
typedef struct swim_queue {
    lv_id *ids;
    uint32_t count;
    uint32_t capacity;
} swim_queue;

typedef struct swim_counts {
    uint64_t probes;
    uint64_t indirect;   /* requests for an indirect probe */
    uint64_t suspicions; /* raised by this instance's own probes */
    uint64_t refuted;    /* rumours about this instance */
    uint64_t deaths;     /* held dead, or left */
    uint64_t revivals;   /* dead ones that came back */
    uint64_t restarts;   /* members seen with a higher incarnation */
    uint64_t dropped_old;
    uint64_t dropped_foreign;
    uint64_t dropped_malformed;
} swim_counts;

/* Private but for its size, so that the caller can own the memory. */
typedef struct swim_membership {
    lv_host *host;
    swim_settings settings;
    lv_id self;
    uint64_t incarnation;
    uint32_t refutation;
    uint64_t outranked_by; /* a higher incarnation that others know of this
                              instance: this process is not heard and should
                              start again with a higher one; 0: none */
    bool is_draining;
    bool has_left;
    bool is_stale; /* woke from a pause, no answer since */
    uint64_t random;
    const world_lists *lists;
    swim_member *members; /* sorted by id, self not among them */
    uint32_t member_count;
    uint32_t member_capacity;
    uint32_t live_count; /* alive and suspect ones */
    uint32_t suspect_count;
    uint32_t doubt_count;
    lv_id *peers; /* the probed set, shuffled */
    uint32_t peer_count;
    uint32_t peer_capacity;
    uint32_t next_probe;
    bool peers_changed;
    uint64_t probe_number;
    swim_probe probes[SWIM_PROBES_MAX];
    swim_relay relays[SWIM_RELAYS_MAX];
    uint32_t next_relay;
    uint64_t revision;     /* grows with every visible change */
    swim_leaving *leaving; /* sorted by endpoint */
    uint32_t leaving_count;
    uint32_t leaving_capacity;
    swim_queue member_rumours;
    swim_queue leaving_rumours;
    uint32_t background; /* cursors of the trickle of settled facts */
    uint32_t background_leaving;
    lv_time next_probe_at;
    lv_time next_search_at; /* for dead ones */
    lv_time next_expiry;    /* of a suspicion */
    lv_time last_heard;     /* from any peer */
    uint64_t dropped;       /* old, foreign and malformed messages */
    swim_counts counts;
} swim_membership;

/* Settings for a few milliseconds of round trip within a region: a dead
 * instance is noticed in about 1.2 s. */
void swim_default_settings(swim_settings *settings);

bool swim_init(swim_membership *membership, lv_host *host,
               const swim_settings *settings, lv_id self, uint64_t incarnation,
               uint64_t seed, lv_time now, err_error *error);
void swim_finish(swim_membership *membership);

/* The platform's list changed; it stays valid until the next call. Listed
 * instances become members at once and are probed; those no longer listed
 * are kept while they answer. */
void swim_set_lists(swim_membership *membership, lv_time now,
                    const world_lists *lists);

/* Take PING, ACK or PING_REQ; false when dropped. The host's send fills in
 * version and docs; sender and incarnations are set here. */
bool swim_receive(swim_membership *membership, lv_time now,
                  const msg_message *message);

void swim_tick(swim_membership *membership, lv_time now);
lv_time swim_next_tick(const swim_membership *membership);

/* This process was paused: what it believes is old; probe all again. */
void swim_mark_stale(swim_membership *membership, lv_time now);

/* True from swim_mark_stale to the first answer of a peer; false when no
 * peer is held live. */
bool swim_is_stale(const swim_membership *membership);

/* Say that this instance drains (it keeps no roles). */
void swim_drain(swim_membership *membership, lv_time now);

/* Say goodbye to the peers: they need no suspicion to hold this instance
 * gone. Nothing is sent after that. */
void swim_leave(swim_membership *membership, lv_time now);

/* Instances that may have roles: alive or suspect, not draining, self
 * included. Sorted by id; returns the number written. */
uint32_t swim_collect_candidates(const swim_membership *membership, lv_id *ids,
                                 uint32_t capacity);

/* Instances that may hold leases: as above, and draining ones. */
uint32_t swim_collect_live(const swim_membership *membership, lv_id *ids,
                           uint32_t capacity);

/* Listed instances in thousandths that are live, self included: the share
 * of slots that this side of a partition may use. Those that said goodbye
 * do not count. */
uint32_t swim_live_permille(const swim_membership *membership);

/* incarnation may be NULL; it is set to 0 when the instance is live by the
 * list but has not been heard. */
bool swim_is_live(const swim_membership *membership, lv_id instance,
                  uint64_t *incarnation);

/* Rumours of leaving endpoints. One is dropped when a list with a higher
 * revision shows its endpoint live or no longer names it. */
void swim_add_leaving(swim_membership *membership, lv_time now, lv_id endpoint,
                      uint64_t list_revision);
uint32_t swim_leaving_count(const swim_membership *membership);

/* list_revision may be NULL. */
lv_id swim_leaving_at(const swim_membership *membership, uint32_t index,
                      uint64_t *list_revision);

/* Bytes of memory held besides the structure itself. */
size_t swim_memory(const swim_membership *membership);

#endif
