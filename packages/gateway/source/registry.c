#include "lavender-gateway/registry.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 32

const char reg_older_copy[] = "older-copy";

void
reg_init(reg_registry *registry, eng_table *endpoints, lv_time grace)
{
    memset(registry, 0, sizeof *registry);
    registry->endpoints = endpoints;
    registry->grace = grace;
    registry->removal_grace = grace;
}

void
reg_finish(reg_registry *registry)
{
    free(registry->entries);
}

reg_entry *
reg_find(reg_registry *registry, const char *key)
{
    uint32_t i;

    for (i = 0; i < registry->count; i++) {
        if (strcmp(registry->entries[i].key, key) == 0) {
            return &registry->entries[i];
        }
    }
    return NULL;
}

static reg_entry *
add_entry(reg_registry *registry, const char *key)
{
    reg_entry *entry;

    if (registry->count == registry->capacity) {
        uint32_t capacity =
            registry->capacity > 0 ? registry->capacity * 2 : INITIAL_CAPACITY;
        reg_entry *grown =
            realloc(registry->entries, capacity * sizeof *grown);

        if (grown == NULL) {
            return NULL;
        }
        registry->entries = grown;
        registry->capacity = capacity;
    }
    entry = &registry->entries[registry->count++];
    memset(entry, 0, sizeof *entry);
    lv_copy_name(entry->key, sizeof entry->key, key);
    return entry;
}

static reg_departure *
find_departure(reg_registry *registry, lv_id endpoint)
{
    uint32_t i;

    for (i = 0; i < REG_DEPARTURES_MAX; i++) {
        if (registry->departures[i].endpoint == endpoint) {
            return &registry->departures[i];
        }
    }
    return NULL;
}

/* Remembers that an endpoint drains or is gone. */
static reg_departure *
add_departure(reg_registry *registry, const reg_entry *entry)
{
    reg_departure *departure = find_departure(registry, entry->endpoint);

    if (departure == NULL) {
        departure = &registry->departures[registry->departure_count++ %
                                          REG_DEPARTURES_MAX];
    }
    departure->endpoint = entry->endpoint;
    departure->era = entry->position.era;
    departure->sequence = entry->sequence;
    departure->believed_until = 0;
    return departure;
}

static void
forget_departure(reg_registry *registry, lv_id endpoint)
{
    reg_departure *departure = find_departure(registry, endpoint);

    if (departure != NULL) {
        memset(departure, 0, sizeof *departure);
    }
}

/* Does the item show an endpoint that has left as it was before, because the
 * store came back from an older copy? */
static bool
is_older_copy(reg_registry *registry, const wire_item *item, lv_time now)
{
    reg_departure *departure = find_departure(registry, item->endpoint.id);

    if (departure == NULL || item->position.era <= departure->era ||
        item->endpoint.is_draining) {
        return false;
    }
    if (departure->believed_until == 0) {
        departure->believed_until = now + REG_COPY_EXPIRY;
        if (item->sequence > departure->sequence) {
            departure->sequence = item->sequence;
        }
        return true;
    }
    return item->sequence <= departure->sequence &&
           now < departure->believed_until;
}

static void
remove_entry(reg_registry *registry, reg_entry *entry)
{
    add_departure(registry, entry);
    eng_withdraw(registry->endpoints, entry->endpoint);
    *entry = registry->entries[--registry->count];
}

static const char *
apply_endpoint(reg_registry *registry, reg_entry *entry, const wire_item *item,
               lv_time now)
{
    const eng_spec *spec = &item->endpoint;
    lv_handle row = eng_find(registry->endpoints, spec->id);
    const char *change = "added";

    if (is_older_copy(registry, item, now)) {
        if (entry != NULL && entry->endpoint == spec->id) {
            entry->is_in_list = true; /* it drains on */
        }
        return reg_older_copy;
    }
    if (entry == NULL) {
        entry = add_entry(registry, item->key);
        if (entry == NULL) {
            return "no-memory";
        }
    }
    else if (entry->endpoint != spec->id) {
        add_departure(registry, entry);
        eng_withdraw(registry->endpoints, entry->endpoint);
        change = "reborn";
    }
    if (row != LV_HANDLE_NONE) {
        bool was_draining = eng_at(registry->endpoints, row)->spec.is_draining;

        change = was_draining == spec->is_draining ? NULL
                 : spec->is_draining               ? "draining"
                                                   : "ready";
    }
    if (entry->endpoint != spec->id ||
        entry->position.era != item->position.era) {
        bool is_judged = find_departure(registry, spec->id) != NULL;

        entry->first_sequence = item->sequence;
        entry->first_seen_at = is_judged ? 0 : now;
    }
    entry->endpoint = spec->id;
    entry->is_in_list = true;
    entry->expires_at = 0;
    entry->position = item->position;
    entry->started_at = item->started_at;
    entry->sequence = item->sequence;
    if (spec->is_draining) {
        add_departure(registry, entry);
    }
    else {
        forget_departure(registry, spec->id);
    }
    if (eng_publish(registry->endpoints, spec) == LV_HANDLE_NONE) {
        return "no-memory";
    }
    return change;
}

/* Removes an entry that is no longer in the store; during a grace period, only
 * at its end or after `longest`. Returns the kind of change. */
static const char *
expire_entry(reg_registry *registry, reg_entry *entry, lv_time longest,
             lv_time now)
{
    if (now >= registry->grace_until) {
        remove_entry(registry, entry);
        return "gone";
    }
    entry->expires_at = registry->grace_until < now + longest
                            ? registry->grace_until
                            : now + longest;
    return "lapsing";
}

const char *
reg_apply_item(reg_registry *registry, const wire_item *item, lv_time now)
{
    reg_entry *entry = reg_find(registry, item->key);

    if (item->has_endpoint) {
        return apply_endpoint(registry, entry, item, now);
    }
    if (entry == NULL) {
        return NULL;
    }
    if (item->is_removed) {
        return expire_entry(registry, entry, registry->removal_grace, now);
    }
    remove_entry(registry, entry);
    return "unreadable";
}

bool
reg_apply_unlisted(reg_registry *registry, lv_id endpoint,
                   wire_position position)
{
    lv_handle row = eng_find(registry->endpoints, endpoint);
    uint32_t i;

    if (row == LV_HANDLE_NONE ||
        !eng_at(registry->endpoints, row)->is_listed) {
        return false;
    }
    for (i = 0; i < registry->count; i++) {
        if (registry->entries[i].endpoint == endpoint &&
            !wire_is_after(position, registry->entries[i].position)) {
            return false;
        }
    }
    eng_unlist(registry->endpoints, row);
    return true;
}

static reg_entry *
find_endpoint(reg_registry *registry, lv_id endpoint)
{
    uint32_t i;

    for (i = 0; i < registry->count; i++) {
        if (registry->entries[i].endpoint == endpoint) {
            return &registry->entries[i];
        }
    }
    return NULL;
}

bool
reg_apply_earlier_departure(reg_registry *registry, lv_id endpoint,
                            wire_position position, lv_time now)
{
    const reg_entry *entry = find_endpoint(registry, endpoint);
    lv_handle row = eng_find(registry->endpoints, endpoint);
    reg_departure *departure;

    if (entry == NULL || position.era >= entry->position.era ||
        entry->sequence > entry->first_sequence ||
        lv_elapsed(now, entry->first_seen_at) >= REG_COPY_EXPIRY ||
        find_departure(registry, endpoint) != NULL || row == LV_HANDLE_NONE ||
        !eng_at(registry->endpoints, row)->is_listed) {
        return false;
    }
    departure = add_departure(registry, entry);
    departure->era = position.era;
    departure->believed_until = entry->first_seen_at + REG_COPY_EXPIRY;
    eng_unlist(registry->endpoints, row);
    return true;
}

void
reg_begin_list(reg_registry *registry)
{
    uint32_t i;

    for (i = 0; i < registry->count; i++) {
        registry->entries[i].is_in_list = false;
    }
}

void
reg_end_list(reg_registry *registry, lv_time now)
{
    uint32_t i;

    for (i = registry->count; i > 0; i--) {
        reg_entry *entry = &registry->entries[i - 1];

        if (!entry->is_in_list && entry->expires_at == 0) {
            (void)expire_entry(registry, entry, registry->grace, now);
        }
    }
}

void
reg_start_grace(reg_registry *registry, lv_time now)
{
    registry->grace_until = now + registry->grace;
}

uint32_t
reg_remove_expired(reg_registry *registry, lv_time now)
{
    uint32_t removed = 0;
    uint32_t i;

    for (i = registry->count; i > 0; i--) {
        reg_entry *entry = &registry->entries[i - 1];

        if (entry->expires_at != 0 && now >= entry->expires_at) {
            remove_entry(registry, entry);
            removed++;
        }
    }
    return removed;
}
