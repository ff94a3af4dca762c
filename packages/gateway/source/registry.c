#include "lavender-gateway/registry.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_ENTRIES 32

void
reg_init(reg_registry *registry, eng_table *endpoints, lv_time grace)
{
    memset(registry, 0, sizeof *registry);
    registry->endpoints = endpoints;
    registry->grace = grace;
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
add(reg_registry *registry, const char *key)
{
    reg_entry *entry;

    if (registry->count == registry->capacity) {
        uint32_t capacity =
            registry->capacity > 0 ? registry->capacity * 2 : FIRST_ENTRIES;
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

static void
drop(reg_registry *registry, reg_entry *entry)
{
    eng_withdraw(registry->endpoints, entry->endpoint);
    *entry = registry->entries[--registry->count];
}

static const char *
publish(reg_registry *registry, reg_entry *entry, const wire_item *item)
{
    const eng_spec *spec = &item->endpoint;
    lv_handle known = eng_find(registry->endpoints, spec->id);
    const char *change = "added";

    if (entry == NULL) {
        entry = add(registry, item->key);
        if (entry == NULL) {
            return "no-memory";
        }
    }
    else if (entry->endpoint != spec->id) {
        eng_withdraw(registry->endpoints, entry->endpoint);
        change = "reborn";
    }
    if (known != LV_HANDLE_NONE) {
        bool was_draining =
            eng_at(registry->endpoints, known)->spec.is_draining;

        change = was_draining == spec->is_draining ? NULL
                 : spec->is_draining               ? "draining"
                                                   : "ready";
    }
    entry->endpoint = spec->id;
    entry->is_listed = true;
    entry->ends_at = 0;
    entry->revision = item->revision;
    if (eng_publish(registry->endpoints, spec) == LV_HANDLE_NONE) {
        return "no-memory";
    }
    return change;
}

static void
end_entry(reg_registry *registry, reg_entry *entry, lv_time now)
{
    if (now < registry->grace_until) {
        entry->ends_at = registry->grace_until;
    }
    else {
        drop(registry, entry);
    }
}

const char *
reg_apply_item(reg_registry *registry, const wire_item *item, lv_time now)
{
    reg_entry *entry = reg_find(registry, item->key);

    if (item->has_endpoint) {
        return publish(registry, entry, item);
    }
    if (entry == NULL) {
        return NULL;
    }
    if (item->is_removed) {
        end_entry(registry, entry, now);
        return "gone";
    }
    drop(registry, entry);
    return "unreadable";
}

bool
reg_apply_unlisted(reg_registry *registry, lv_id endpoint, uint64_t revision)
{
    lv_handle row = eng_find(registry->endpoints, endpoint);
    uint32_t i;

    if (row == LV_HANDLE_NONE ||
        !eng_at(registry->endpoints, row)->is_listed) {
        return false;
    }
    for (i = 0; i < registry->count; i++) {
        if (registry->entries[i].endpoint == endpoint &&
            registry->entries[i].revision >= revision) {
            return false;
        }
    }
    eng_unlist(registry->endpoints, row);
    return true;
}

void
reg_begin_list(reg_registry *registry)
{
    uint32_t i;

    for (i = 0; i < registry->count; i++) {
        registry->entries[i].is_listed = false;
    }
}

void
reg_end_list(reg_registry *registry, lv_time now)
{
    uint32_t i;

    for (i = registry->count; i > 0; i--) {
        reg_entry *entry = &registry->entries[i - 1];

        if (!entry->is_listed && entry->ends_at == 0) {
            end_entry(registry, entry, now);
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
    uint32_t dropped = 0;
    uint32_t i;

    for (i = registry->count; i > 0; i--) {
        reg_entry *entry = &registry->entries[i - 1];

        if (entry->ends_at != 0 && now >= entry->ends_at) {
            drop(registry, entry);
            dropped++;
        }
    }
    return dropped;
}
