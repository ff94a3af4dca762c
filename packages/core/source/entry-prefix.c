#include "entry-imp.h"

/* A direct-mapped table: a prefix replaces any other in the same row. The rows
 * are only hints, so that a lost one costs no more than a cache miss. */

static entry_prefix *
prefix_row(const entry_state *entry, uint64_t hash)
{
    return &entry->prefixes[hash % entry->settings.max_prefixes];
}

void
entry_record_prefix(entry_state *entry, uint64_t hash, uint32_t endpoint)
{
    if (hash == 0) {
        return;
    }
    *prefix_row(entry, hash) =
        (entry_prefix){hash, endpoint, entry->endpoints[endpoint].cache_epoch};
}

uint32_t
entry_find_prefix_endpoint(const entry_state *entry, uint64_t hash)
{
    const entry_prefix *prefix;

    if (hash == 0) {
        return NONE;
    }
    prefix = prefix_row(entry, hash);
    if (prefix->hash != hash ||
        entry->endpoints[prefix->endpoint].cache_epoch != prefix->epoch) {
        return NONE;
    }
    return prefix->endpoint;
}

void
entry_receive_cache_event(entry_state *entry, lv_id id, uint64_t number,
                          uint64_t hash, bool is_cached)
{
    uint32_t index = map_find(&entry->endpoint_index, id);
    entry_endpoint *endpoint;

    if (index == NONE) {
        return;
    }
    endpoint = &entry->endpoints[index];
    if (number <= endpoint->last_cache_event) {
        return;
    }
    if (endpoint->last_cache_event != 0 &&
        number != endpoint->last_cache_event + 1) {
        endpoint->cache_epoch++;
    }
    endpoint->last_cache_event = number;
    if (is_cached) {
        entry_record_prefix(entry, hash, index);
    }
    else if (entry_find_prefix_endpoint(entry, hash) == index) {
        prefix_row(entry, hash)->hash = 0;
    }
}
