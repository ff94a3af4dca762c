#include "entry-imp.h"

/* A direct-mapped table: a newer prefix takes the place of an older one
 * with the same position. Entries are hints, so that is enough. */

static entry_prefix *
place_of(const entry_state *entry, uint64_t hash)
{
    return &entry->prefixes[hash % entry->settings.max_prefixes];
}

void
entry_note_prefix(entry_state *entry, uint64_t hash, uint32_t endpoint)
{
    if (hash == 0) {
        return;
    }
    *place_of(entry, hash) =
        (entry_prefix){hash, endpoint, entry->endpoints[endpoint].cache_epoch};
}

uint32_t
entry_prefix_endpoint(const entry_state *entry, uint64_t hash)
{
    const entry_prefix *prefix;

    if (hash == 0) {
        return NONE;
    }
    prefix = place_of(entry, hash);
    if (prefix->hash != hash ||
        entry->endpoints[prefix->endpoint].cache_epoch != prefix->epoch) {
        return NONE;
    }
    return prefix->endpoint;
}

void
entry_receive_cache_event(entry_state *entry, lv_id id, uint64_t number,
                          uint64_t hash, bool is_kept)
{
    uint32_t index = map_find(&entry->endpoint_index, id);
    entry_endpoint *endpoint;

    if (index == NONE) {
        return;
    }
    endpoint = &entry->endpoints[index];
    if (number <= endpoint->cache_number) {
        return;
    }
    if (endpoint->cache_number != 0 && number != endpoint->cache_number + 1) {
        endpoint->cache_epoch++;
    }
    endpoint->cache_number = number;
    if (is_kept) {
        entry_note_prefix(entry, hash, index);
    }
    else if (entry_prefix_endpoint(entry, hash) == index) {
        place_of(entry, hash)->hash = 0;
    }
}
