#include <stdio.h>

#include "part-fleet-engine.h"

#define GAP_EVERY 7 /* each seventh event is lost */

static void
add_event(engine_cache *cache, uint64_t prefix, bool is_kept, uint64_t now_us)
{
    engine_event *event;

    if (++cache->event_number % GAP_EVERY == 0) {
        return;
    }
    event = &cache->events[cache->event_count++ % ENGINE_EVENTS];
    event->number = cache->event_number;
    event->prefix = prefix;
    event->is_kept = is_kept;
    event->at_us = now_us;
}

bool
engine_cache_use(engine_cache *cache, uint64_t prefix, uint64_t now_us)
{
    engine_cache_entry *oldest = &cache->entries[0];

    cache->clock++;
    for (uint32_t i = 0; i < cache->count; i++) {
        engine_cache_entry *entry = &cache->entries[i];

        if (entry->prefix == prefix) {
            entry->used = cache->clock;
            return true;
        }
        if (entry->used < oldest->used) {
            oldest = entry;
        }
    }
    if (cache->count < cache->capacity) {
        oldest = &cache->entries[cache->count++];
    }
    else {
        add_event(cache, oldest->prefix, false, now_us);
    }
    oldest->prefix = prefix;
    oldest->used = cache->clock;
    add_event(cache, prefix, true, now_us);
    return false;
}

json_t *
engine_cache_to_json(const engine_cache *cache, uint64_t after,
                     uint64_t before_us)
{
    json_t *events = json_array();
    uint64_t first = cache->event_count > ENGINE_EVENTS
                         ? cache->event_count - ENGINE_EVENTS
                         : 0;

    for (uint64_t i = first; i < cache->event_count; i++) {
        const engine_event *event = &cache->events[i % ENGINE_EVENTS];
        char prefix[32];

        if (event->number <= after || event->at_us > before_us) {
            continue;
        }
        snprintf(prefix, sizeof prefix, "%016llx",
                 (unsigned long long)event->prefix);
        json_array_append_new(events,
                              json_pack("{s:I, s:s, s:b}", "number",
                                        (json_int_t)event->number, "prefix",
                                        prefix, "kept", (int)event->is_kept));
    }
    return events;
}
