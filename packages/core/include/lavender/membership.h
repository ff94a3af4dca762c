/*
 * Membership: which instances live, by SWIM (probe, indirect probe,
 * suspicion, incarnation) among a bounded set of peers, so that the cost
 * per node does not grow with the fleet. The platform's lagging list says
 * who may be a member; this says who answers.
 *
 * It also carries the rumours of leaving endpoints.
 */
#ifndef LAVENDER_MEMBERSHIP_H
#define LAVENDER_MEMBERSHIP_H

#include "lavender/host.h"
#include "lavender/world.h"

typedef struct swim_settings {
    lv_time probe_interval;
    lv_time probe_timeout; /* direct; then indirect probes */
    lv_time suspicion;     /* from suspect to dead */
    lv_time forget;        /* a dead one is forgotten after this */
    uint32_t indirect_probes;
    uint32_t peers; /* probed set; 0: all */
    uint32_t rumours_per_message;
} swim_settings;

typedef struct swim_member swim_member;
typedef struct swim_leaving swim_leaving;

typedef struct swim_membership {
    lv_host *host;
    swim_settings settings;
    lv_id self;
    uint64_t incarnation;
    bool is_draining;
    uint64_t random; /* state of the seeded generator */
    swim_member *members;
    uint32_t member_count;
    uint32_t member_capacity;
    uint32_t next_probe; /* place in the shuffled probe order */
    uint64_t probe_number;
    uint64_t revision; /* grows with every visible change */
    swim_leaving *leaving;
    uint32_t leaving_count;
    uint32_t leaving_capacity;
    lv_time next_tick;
    lv_time last_heard; /* from any peer */
    uint64_t dropped;   /* old or foreign messages */
} swim_membership;

bool swim_init(swim_membership *membership, lv_host *host,
               const swim_settings *settings, lv_id self, uint64_t incarnation,
               uint64_t seed, lv_time now, err_error *error);
void swim_finish(swim_membership *membership);

/* The platform's list changed. Listed instances become members at once and
 * are probed; those no longer listed are kept while they answer. */
void swim_set_lists(swim_membership *membership, lv_time now,
                    const world_lists *lists);

/* Take PING, ACK or PING_REQ; false when dropped. */
bool swim_take(swim_membership *membership, lv_time now,
               const msg_message *message);

void swim_tick(swim_membership *membership, lv_time now);
lv_time swim_next_tick(const swim_membership *membership);

/* This process was paused: what it believes is old; probe all again. */
void swim_mark_stale(swim_membership *membership, lv_time now);

/* Say that this instance drains (it keeps no roles). */
void swim_drain(swim_membership *membership, lv_time now);

/* Instances that may have roles: alive or suspect, not draining, self
 * included. Sorted by id; returns the number written. */
uint32_t swim_candidates(const swim_membership *membership, lv_id *ids,
                         uint32_t capacity);

/* Instances that may hold leases: as above, and draining ones. */
uint32_t swim_live(const swim_membership *membership, lv_id *ids,
                   uint32_t capacity);

/* Listed instances in thousandths that are live, self included: the share
 * of slots that this side of a partition may use. */
uint32_t swim_visible_share(const swim_membership *membership);

bool swim_is_live(const swim_membership *membership, lv_id instance,
                  uint64_t *incarnation);

/* Rumours of leaving endpoints. */
void swim_note_leaving(swim_membership *membership, lv_time now,
                       lv_id endpoint, uint64_t list_revision);
uint32_t swim_leaving_count(const swim_membership *membership);
lv_id swim_leaving_at(const swim_membership *membership, uint32_t index,
                      uint64_t *list_revision);

#endif
