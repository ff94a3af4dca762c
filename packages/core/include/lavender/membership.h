/*
 * Membership: which instances are alive. It implements SWIM (direct probes,
 * indirect probes, suspicion, incarnations), with probes limited to a set of
 * peers so that the cost per instance does not grow with the fleet. The
 * platform's lists, which lag, say which instances may be members; this module
 * says which of them respond.
 *
 * Updates about members, here called rumours as in epidemic protocols, are
 * piggybacked on the probes, each a limited number of times. An instance is
 * declared dead only after a suspicion that it had time to refute. Every
 * receiver of a rumour applies this rule by itself, so a late or one-sided
 * report of a death only starts a suspicion. Dead instances that the lists
 * still contain are probed from time to time, so that the two sides of a
 * partition rediscover each other.
 *
 * The same messages carry rumours about endpoints that are leaving.
 */
#ifndef LAVENDER_MEMBERSHIP_H
#define LAVENDER_MEMBERSHIP_H

#include "lavender/host.h"
#include "lavender/world.h"

/* Maximum number of rumours of each kind in one message. */
#define SWIM_RUMOURS_MAX 32

/* Maximum number of outstanding probes of this instance, and of probes made on
 * request of other instances. */
#define SWIM_PROBES_MAX 16
#define SWIM_RELAYS_MAX 64

typedef struct swim_settings {
    lv_time probe_interval;
    lv_time probe_timeout;     /* of a direct probe; the indirect probes that
                                  follow get twice as long */
    lv_time suspicion_timeout; /* from suspect to dead */
    lv_time forget_timeout;    /* a dead member that is no longer listed is
                                  removed after this time */
    uint32_t indirect_probes;  /* peers asked for an indirect probe */
    uint32_t max_peers;        /* number of instances that this one probes;
                                  0: all */
    uint32_t rumours_per_message;
} swim_settings;

typedef struct swim_member swim_member;
typedef struct swim_leaving swim_leaving;

/* An outstanding probe. The entry is unused if target is LV_ID_NONE. */
typedef struct swim_probe {
    lv_id target;
    uint64_t number;
    lv_time sent_at;
    bool is_indirect; /* indirect probes were requested */
} swim_probe;

/* A probe made on request of another instance. The entry is unused if
 * requester is LV_ID_NONE. */
typedef struct swim_relay {
    lv_id requester;
    uint64_t requester_number; /* the requester's number of the probe */
    uint64_t number;           /* this instance's number of the probe */
    lv_id target;
    lv_time sent_at;
} swim_relay;

/* Ids of the instances or endpoints whose rumours are still to be sent. */
typedef struct swim_rumour_queue {
    lv_id *ids;
    uint32_t count;
    uint32_t capacity;
} swim_rumour_queue;

typedef struct swim_counts {
    uint64_t probes;
    uint64_t indirect_requests; /* requests for an indirect probe */
    uint64_t suspicions;        /* raised by this instance's own probes */
    uint64_t refutations;       /* of rumours about this instance */
    uint64_t deaths;            /* members that were declared dead or left */
    uint64_t recoveries;        /* members that became live again */
    uint64_t restarts;          /* members seen with a higher incarnation */
    uint64_t dropped_stale;     /* messages from an older or for another
                                   incarnation */
    uint64_t dropped_unknown;   /* messages of unknown senders or without an
                                   incarnation; rumours of leaving endpoints
                                   for which the table had no room */
    uint64_t dropped_malformed;
} swim_counts;

/* The fields are private. The type is complete so that the caller can allocate
 * it. */
typedef struct swim_membership {
    lv_host *host;
    swim_settings settings;
    lv_id self;
    uint64_t incarnation;
    uint32_t refutation; /* raised to refute a rumour about this instance */
    uint64_t superseding_incarnation; /* a higher incarnation of this instance
                                         that peers know: they drop messages of
                                         this process, which should restart
                                         with a higher one; 0: none */
    bool is_draining;
    bool has_left;
    bool is_stale; /* resumed after a pause, no probe answered since */
    uint64_t prng_state;
    const lists_snapshot *lists;
    swim_member *members; /* sorted by id, without this instance */
    uint32_t member_count;
    uint32_t member_capacity;
    uint32_t live_count; /* members that are alive or suspect */
    uint32_t suspect_count;
    uint32_t reported_dead_count;
    lv_id *peers; /* members that this instance probes, in random order */
    uint32_t peer_count;
    uint32_t peer_capacity;
    uint32_t next_peer; /* index of the peer to probe next */
    bool needs_peer_selection;
    uint64_t probe_number; /* of the last probe */
    swim_probe probes[SWIM_PROBES_MAX];
    swim_relay relays[SWIM_RELAYS_MAX];
    uint32_t next_relay; /* index of the entry to reuse next */
    uint64_t revision;   /* incremented with every change visible to callers */
    swim_leaving *leaving; /* sorted by endpoint */
    uint32_t leaving_count;
    uint32_t leaving_capacity;
    swim_rumour_queue member_rumours;
    swim_rumour_queue leaving_rumours;
    uint32_t member_cursor; /* indices of the rumours that were last resent
                               after all their regular transmissions */
    uint32_t leaving_cursor;
    lv_time next_probe_at;
    lv_time next_dead_probe_at;
    lv_time next_expiry_at;    /* earliest expires_at of a member */
    lv_time last_message_at;   /* from any peer */
    uint64_t dropped_messages; /* stale, unknown and malformed ones */
    swim_counts counts;
} swim_membership;

/* Fills in the defaults, which suit round trips of a few milliseconds within a
 * region: a dead instance is detected in about 1.2 s. */
void swim_default_settings(swim_settings *settings);

/* Initializes a membership without members. Returns false and sets error if
 * the settings are invalid or the incarnation is 0. */
bool swim_init(swim_membership *membership, lv_host *host,
               const swim_settings *settings, lv_id self, uint64_t incarnation,
               uint64_t seed, lv_time now, err_error *error);
void swim_finish(swim_membership *membership);

/* Applies new lists of the platform, which must stay valid until the next
 * call. Newly listed instances become live members at once and are probed.
 * Members that are no longer listed stay while they respond. */
void swim_set_lists(swim_membership *membership, lv_time now,
                    const lists_snapshot *lists);

/* Receives a PING, ACK or PING_REQ; returns false if it was dropped. The
 * host's send must set version and docs of the messages sent; sender and
 * incarnations are set here. */
bool swim_receive(swim_membership *membership, lv_time now,
                  const msg_message *message);

void swim_tick(swim_membership *membership, lv_time now);
lv_time swim_next_tick(const swim_membership *membership);

/* Marks the membership as stale after this process was paused, and probes all
 * peers again. */
void swim_mark_stale(swim_membership *membership, lv_time now);

/* Returns true from swim_mark_stale until a peer answers a probe, unless no
 * member is live. */
bool swim_is_stale(const swim_membership *membership);

/* Starts draining: announces to the peers that this instance takes no
 * roles. */
void swim_drain(swim_membership *membership, lv_time now);

/* Announces to the peers that this instance leaves, so that they need no
 * suspicion to remove it. Sends nothing after that. */
void swim_leave(swim_membership *membership, lv_time now);

/* Writes the ids of the instances that may have roles, in ascending order:
 * those alive or suspect and not draining or leaving, including this one.
 * Returns the number written. */
uint32_t swim_collect_candidates(const swim_membership *membership, lv_id *ids,
                                 uint32_t capacity);

/* Writes the ids of the instances that may hold leases, in ascending order:
 * those alive or suspect, including this one and draining ones. Returns the
 * number written. */
uint32_t swim_collect_live(const swim_membership *membership, lv_id *ids,
                           uint32_t capacity);

/* Returns how many of the listed instances are live, including this one, in
 * thousandths: the share of the slots that this side of a partition may use.
 * Instances that announced that they leave do not count as listed. */
uint32_t swim_live_permille(const swim_membership *membership);

/* Returns whether an instance is alive or suspect, and its incarnation, which
 * is 0 while the instance is live only because it is listed. incarnation may
 * be NULL. */
bool swim_is_live(const swim_membership *membership, lv_id instance,
                  uint64_t *incarnation);

/* Records a rumour that an endpoint is leaving, as stated by the lists of the
 * given revision, and spreads it. The rumour is removed when lists of a higher
 * revision contain the endpoint as live or do not contain it. */
void swim_add_leaving(swim_membership *membership, lv_time now, lv_id endpoint,
                      uint64_t list_revision);
uint32_t swim_leaving_count(const swim_membership *membership);

/* Returns the endpoint of the rumour at an index below swim_leaving_count, and
 * the revision of the lists that state it. list_revision may be NULL. */
lv_id swim_leaving_at(const swim_membership *membership, uint32_t index,
                      uint64_t *list_revision);

/* Returns the number of bytes allocated besides the structure itself. */
size_t swim_memory(const swim_membership *membership);

#endif
