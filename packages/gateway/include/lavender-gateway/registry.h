/*
 * The endpoints as the store lists them, by their keys there, and what an
 * outage of the store means for them: entries that lapsed meanwhile are
 * used on until their endpoints had time to publish themselves again.
 */
#ifndef LAVENDER_GATEWAY_REGISTRY_H
#define LAVENDER_GATEWAY_REGISTRY_H

#include "lavender-gateway/wire.h"

typedef struct reg_entry {
    char key[256];
    lv_id endpoint;    /* in the table of endpoints */
    bool is_listed;    /* seen since the present list began */
    lv_time ends_at;   /* the entry is gone then; 0: it is there */
    uint64_t revision; /* of the item it was read from */
} reg_entry;

typedef struct reg_registry {
    eng_table *endpoints;
    lv_time grace; /* for entries that lapsed while the store was away */
    lv_time grace_until;
    reg_entry *entries;
    uint32_t count;
    uint32_t capacity;
} reg_registry;

void reg_init(reg_registry *registry, eng_table *endpoints, lv_time grace);
void reg_finish(reg_registry *registry);

/* The entry of a key, or NULL. */
reg_entry *reg_find(reg_registry *registry, const char *key);

/* What an item meant: a stable word for the log, NULL for no change. */
const char *reg_apply_item(reg_registry *registry, const wire_item *item,
                           lv_time now);

/* Another instance read under a revision of the store that an endpoint
 * leaves. True when nothing newer is known here: then it gets no new
 * requests, until it is published again. */
bool reg_apply_unlisted(reg_registry *registry, lv_id endpoint,
                        uint64_t revision);

void reg_begin_list(reg_registry *registry);
void reg_end_list(reg_registry *registry, lv_time now);

/* The store answers again after an outage that may have let entries lapse. */
void reg_start_grace(reg_registry *registry, lv_time now);

/* Drop the entries whose time is over; returns how many. */
uint32_t reg_remove_expired(reg_registry *registry, lv_time now);

#endif
