/*
 * Parts of the membership: tables, rumours, probes.
 */
#ifndef LAVENDER_MEMBERSHIP_IMP_H
#define LAVENDER_MEMBERSHIP_IMP_H

#include "lavender/membership.h"

struct swim_member {
    lv_id id;
    uint64_t incarnation; /* 0: not heard yet */
    uint32_t refutation;
    msg_member_state state;
    bool is_listed;
    bool is_list_leaving; /* the list says that it leaves */
    bool is_draining;
    bool is_doubted; /* alive here, but a rumour says dead: the instance is
                        told and can refute it */
    uint32_t transmissions; /* left for its rumour */
    lv_time changed;        /* when the state was taken */
    lv_time expires;        /* of a suspicion or a doubt */
};

struct swim_leaving {
    lv_id endpoint;
    uint64_t list_revision;
    uint32_t transmissions;
};

/* membership.c */
swim_member *swim_find(const swim_membership *membership, lv_id id);
bool swim_is_up(const swim_member *member);

void swim_set_doubt(swim_membership *membership, swim_member *member,
                    bool is_doubted);

/* Let expire_suspicions look again at a member's time of expiry. */
void swim_set_expiry(swim_membership *membership, swim_member *member,
                     lv_time expires);
uint64_t swim_random(swim_membership *membership);
void swim_log(swim_membership *membership, const char *reason, lv_id instance,
              uint64_t incarnation);

/* Set a member's state, count and log it, and spread it as a rumour. */
void swim_set_state(swim_membership *membership, lv_time now,
                    swim_member *member, msg_member_state state,
                    const char *reason);

/* membership-rumour.c */
void swim_spread_member(swim_membership *membership, swim_member *member);
void swim_spread_all(swim_membership *membership);

/* Another process of this instance's name has a higher incarnation. */
void swim_note_outranked(swim_membership *membership, uint64_t incarnation);

/* Apply what a message says about its sender and others. */
void swim_take_rumours(swim_membership *membership, lv_time now,
                       const msg_message *message);

/* Write the rumours of one message to a peer; returns their number. */
uint32_t swim_pick_members(swim_membership *membership, lv_id to,
                           msg_member *members);
uint32_t swim_pick_leaving(swim_membership *membership, msg_leaving *leaving);

/* Forget rumours that the list overrules. */
void swim_check_leaving(swim_membership *membership);

/* membership-probe.c */
void swim_choose_peers(swim_membership *membership);
void swim_send(swim_membership *membership, lv_id to, msg_kind kind,
               uint64_t probe, lv_id subject);
void swim_probe_peers(swim_membership *membership, lv_time now);

#endif
