/*
 * The endpoints that the platform's store lists, by their keys in the store.
 * Entries that expired during an outage of the store stay in use for a grace
 * period, in which their endpoints can publish themselves again.
 *
 * In a new era the store shows an older copy. An endpoint that was known to
 * drain, or was removed, is not taken from it again until the endpoint has
 * written there since, or until the copy would have expired.
 */
#ifndef LAVENDER_GATEWAY_REGISTRY_H
#define LAVENDER_GATEWAY_REGISTRY_H

#include "lavender-gateway/wire.h"

typedef struct reg_entry {
    char key[256];
    lv_id endpoint;     /* id in the table of endpoints */
    bool is_in_list;    /* seen since reg_begin_list */
    lv_time expires_at; /* end of its grace period; 0: it is in the store */
    wire_position position;  /* of the item that it was read from */
    uint64_t started_at;     /* Unix time in ms, by the endpoint's clock */
    uint64_t sequence;       /* of the endpoint's writes, as in that item */
    uint64_t first_sequence; /* the first one that was seen in its era */
    lv_time first_seen_at;   /* when that was; 0: it had left before */
} reg_entry;

/* An endpoint that left, by what the store said in an era. */
typedef struct reg_departure {
    lv_id endpoint;
    uint64_t era;
    uint64_t sequence;      /* highest seen; a later one is a new write */
    lv_time believed_until; /* once seen in a later era; 0: not seen there */
} reg_departure;

#define REG_DEPARTURES_MAX 128

typedef struct reg_registry {
    eng_table *endpoints;
    lv_time grace; /* for entries that expired during an outage */
    lv_time grace_until;
    lv_time removal_grace; /* maximum for entries removed by a change; set by
                              the owner, initially `grace` */
    reg_entry *entries;
    uint32_t count;
    uint32_t capacity;
    reg_departure departures[REG_DEPARTURES_MAX]; /* a ring */
    uint32_t departure_count;                     /* since the start */
} reg_registry;

/* Keeps a pointer to `endpoints`, which must outlive the registry. */
void reg_init(reg_registry *registry, eng_table *endpoints, lv_time grace);

/* Frees the entries; the table of endpoints is left as it is. */
void reg_finish(reg_registry *registry);

/* Returns the entry of a key, or NULL. The pointer is valid until the registry
 * changes. */
reg_entry *reg_find(reg_registry *registry, const char *key);

/* The change of an entry that is older than what is known here. */
extern const char reg_older_copy[];

/* Applies an item of the store to the registry and to the table of endpoints.
 * Returns the kind of change as a stable word for the log, or NULL when
 * nothing changed. */
const char *reg_apply_item(reg_registry *registry, const wire_item *item,
                           lv_time now);

/* Applies the report of another instance that the store unlisted an endpoint
 * at `position`. Unless this instance has read a newer entry, the endpoint
 * gets no new requests until it is published again. Returns whether that
 * changed. */
bool reg_apply_unlisted(reg_registry *registry, lv_id endpoint,
                        wire_position position);

/* Applies such a report from an earlier era than that of the entry. An
 * instance that started since then read the entry from an older copy; the
 * departure counts as if this instance had seen it. Returns whether the
 * endpoint gets no new requests because of it. */
bool reg_apply_earlier_departure(reg_registry *registry, lv_id endpoint,
                                 wire_position position, lv_time now);

/* How long the departure of an endpoint outweighs an older copy of its entry:
 * the store drops the entry of an endpoint that writes no more before. */
#define REG_COPY_EXPIRY (5 * LV_SECOND)

/* Bracket the items of a full list. Entries that the list lacks are removed,
 * or expire with the grace period. */
void reg_begin_list(reg_registry *registry);
void reg_end_list(reg_registry *registry, lv_time now);

/* Starts a grace period now, because entries may have expired in an outage of
 * the store. An entry that is missing from a list stays in use until the end
 * of the period. One that is removed by a change stays for `removal_grace` at
 * most, because its endpoint may have left. */
void reg_start_grace(reg_registry *registry, lv_time now);

/* Removes the entries whose grace period is over; returns their number. */
uint32_t reg_remove_expired(reg_registry *registry, lv_time now);

#endif
