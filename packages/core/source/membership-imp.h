/*
 * Internal interfaces of the membership: membership.c holds the tables,
 * membership-rumour.c spreads and applies rumours, membership-probe.c sends
 * and handles probes.
 */
#ifndef LAVENDER_MEMBERSHIP_IMP_H
#define LAVENDER_MEMBERSHIP_IMP_H

#include "lavender/membership.h"

struct swim_member {
    lv_id id;
    uint64_t incarnation; /* 0: not known yet */
    uint32_t refutation;
    msg_member_state state;
    bool is_listed;
    bool is_listed_leaving; /* the lists say that it leaves */
    bool is_draining;
    bool is_reported_dead; /* alive, but a rumour says that it is dead; it is
                              probed and can refute the rumour */
    uint32_t remaining_sends; /* of its rumour */
    lv_time changed_at;       /* when the state was set */
    lv_time expires_at;       /* end of the suspicion or of the time to refute
                                 the reported death */
};

struct swim_leaving {
    lv_id endpoint;
    uint64_t list_revision;
    uint32_t remaining_sends;
};

/* membership.c */
/* Returns the member with an id, or NULL; never this instance. */
swim_member *swim_find(const swim_membership *membership, lv_id id);

/* Returns whether a member is alive or suspect. */
bool swim_is_member_live(const swim_member *member);

/* Sets whether a rumour reports a live member as dead. */
void swim_set_reported_dead(swim_membership *membership, swim_member *member,
                            bool is_reported_dead);

/* Sets when a member's suspicion or reported death expires, and schedules the
 * check. */
void swim_set_expiry(swim_membership *membership, swim_member *member,
                     lv_time expires_at);

/* Returns a pseudo-random number. */
uint64_t swim_random(swim_membership *membership);

/* Writes a change of an instance to the decision log. */
void swim_log(swim_membership *membership, const char *reason, lv_id instance,
              uint64_t incarnation);

/* Sets the state of a member, counts and logs the change, and queues a rumour
 * about it. */
void swim_set_state(swim_membership *membership, lv_time now,
                    swim_member *member, msg_member_state state,
                    const char *reason);

/* membership-rumour.c */
/* Queues a rumour about a member, with the full number of sends. */
void swim_queue_member(swim_membership *membership, swim_member *member);

/* Queues all rumours again, for an instance that started or recovered and so
 * missed their earlier transmissions. */
void swim_queue_all(swim_membership *membership);

/* Records that peers know a higher incarnation of this instance. */
void swim_set_superseded(swim_membership *membership, uint64_t incarnation);

/* Applies the rumours in a message, including the one about its sender. */
void swim_apply_rumours(swim_membership *membership, lv_time now,
                        const msg_message *message);

/* Writes the rumours for one message to a peer; returns the number written. */
uint32_t swim_pick_members(swim_membership *membership, lv_id to,
                           msg_member *rumours);
uint32_t swim_pick_leaving(swim_membership *membership, msg_leaving *rumours);

/* Removes rumours of leaving endpoints that newer lists supersede. */
void swim_remove_superseded_leaving(swim_membership *membership);

/* membership-probe.c */
/* Selects the peers again after the set of live members changed. */
void swim_select_peers(swim_membership *membership);

/* Sends a message with rumours to an instance. */
void swim_send(swim_membership *membership, lv_id to, msg_kind kind,
               uint64_t probe, lv_id subject);

/* Probes all peers at once. */
void swim_probe_peers(swim_membership *membership, lv_time now);

#endif
