/*
 * The endpoints that the platform's store lists, by their keys in the store.
 * Entries that expired during an outage of the store stay in use for a grace
 * period, in which their endpoints can publish themselves again.
 */
#ifndef LAVENDER_GATEWAY_REGISTRY_H
#define LAVENDER_GATEWAY_REGISTRY_H

#include "lavender-gateway/wire.h"

typedef struct reg_entry {
    char key[256];
    lv_id endpoint;     /* id in the table of endpoints */
    bool is_in_list;    /* seen since reg_begin_list */
    lv_time expires_at; /* end of its grace period; 0: it is in the store */
    uint64_t revision;  /* of the item that it was read from */
} reg_entry;

typedef struct reg_registry {
    eng_table *endpoints;
    lv_time grace; /* for entries that expired during an outage */
    lv_time grace_until;
    reg_entry *entries;
    uint32_t count;
    uint32_t capacity;
} reg_registry;

/* Keeps a pointer to `endpoints`, which must outlive the registry. */
void reg_init(reg_registry *registry, eng_table *endpoints, lv_time grace);

/* Frees the entries; the table of endpoints is left as it is. */
void reg_finish(reg_registry *registry);

/* Returns the entry of a key, or NULL. The pointer is valid until the registry
 * changes. */
reg_entry *reg_find(reg_registry *registry, const char *key);

/* Applies an item of the store to the registry and to the table of endpoints.
 * Returns the kind of change as a stable word for the log, or NULL when
 * nothing changed. */
const char *reg_apply_item(reg_registry *registry, const wire_item *item,
                           lv_time now);

/* Applies the report of another instance that the store unlisted an endpoint
 * at `revision`. Unless this instance has read a newer entry, the endpoint
 * gets no new requests until it is published again. Returns whether that
 * changed. */
bool reg_apply_unlisted(reg_registry *registry, lv_id endpoint,
                        uint64_t revision);

/* Bracket the items of a full list. Entries that the list lacks are removed,
 * or expire with the grace period. */
void reg_begin_list(reg_registry *registry);
void reg_end_list(reg_registry *registry, lv_time now);

/* Starts a grace period now, because of an outage of the store in which
 * entries may have expired. */
void reg_start_grace(reg_registry *registry, lv_time now);

/* Removes the entries whose grace period is over; returns their number. */
uint32_t reg_remove_expired(reg_registry *registry, lv_time now);

#endif
