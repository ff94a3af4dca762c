#include "entry-imp.h"

#include "lavender/hash.h"

/* The local modes: each instance uses a fixed part of each endpoint's slots,
 * as leases without a dispatcher. Every instance gets the quotient of slots
 * and instances; the remainder goes to those with the highest rendezvous
 * weight for the endpoint, so that the parts add up to the slots. */

static uint32_t
local_rank(const entry_state *entry, lv_id endpoint)
{
    uint64_t own_weight = hrw_weight(entry->self, endpoint);
    uint32_t rank = 0;

    for (uint32_t i = 0; i < entry->live_instance_count; i++) {
        rank += entry->live_instances[i] != entry->self &&
                hrw_weight(entry->live_instances[i], endpoint) > own_weight;
    }
    return rank;
}

static uint32_t
local_slot_count(const entry_state *entry, const lists_endpoint *endpoint,
                 uint32_t slots)
{
    uint32_t count = entry->live_instance_count;

    if (count == 0) {
        count = entry->settings.assumed_instances > 0
                    ? entry->settings.assumed_instances
                    : 1;
        return (slots + count - 1) / count;
    }
    return slots / count +
           (local_rank(entry, endpoint->id) < slots % count ? 1 : 0);
}

static uint32_t
count_leases(const entry_state *entry, const entry_shard *shard,
             uint32_t endpoint)
{
    uint32_t index = shard->leases.first;
    uint32_t count = 0;

    for (uint32_t i = 0; i < shard->leases.count; i++) {
        const entry_lease *lease = &entry->leases[index];

        count += lease->endpoint == endpoint && !lease->is_recalled;
        index = lease->next[LIST_SHARD];
    }
    return count;
}

static void
recall_surplus(entry_state *entry, uint32_t shard, uint32_t endpoint,
               uint32_t surplus)
{
    uint32_t index = entry->shards[shard].leases.first;
    uint32_t count = entry->shards[shard].leases.count;

    for (uint32_t i = 0; i < count && surplus > 0; i++) {
        entry_lease *lease = &entry->leases[index];

        if (lease->endpoint == endpoint && !lease->is_recalled) {
            lease->is_recalled = true;
            surplus--;
        }
        index = lease->next[LIST_SHARD];
    }
}

static void
update_endpoint_leases(entry_state *entry, lv_time now,
                       const lists_endpoint *listed)
{
    uint32_t index = map_find(&entry->endpoint_index, listed->id);
    const entry_endpoint *endpoint;
    uint32_t pool;
    uint32_t wanted = 0;
    uint32_t count;

    if (index == NONE || entry->endpoints[index].shard == NONE) {
        return;
    }
    endpoint = &entry->endpoints[index];
    pool = entry->shards[endpoint->shard].pool;
    if (!endpoint->is_leaving && !endpoint->is_list_leaving) {
        uint32_t handle = entry->pools[pool].handle;

        wanted = local_slot_count(entry, listed,
                                  listed->slots > 0
                                      ? listed->slots
                                      : entry->catalogue->pools[handle].slots);
    }
    entry->shards[endpoint->shard].lease_expiry = LV_TIME_NEVER;
    count = count_leases(entry, &entry->shards[endpoint->shard], index);
    if (count > wanted) {
        recall_surplus(entry, endpoint->shard, index, count - wanted);
    }
    for (; count < wanted; count++) {
        uint32_t lease = entry_add_lease(
            entry, endpoint->shard, ++entry->last_local_lease, index, NONE);

        if (lease != NONE) {
            entry_handle_free_lease(entry, now, lease, "own-part");
        }
    }
}

void
entry_update_local_leases(entry_state *entry, lv_time now)
{
    if (entry->settings.mode == ENTRY_MODE_LEASES ||
        entry->catalogue == NULL || entry->lists == NULL) {
        return;
    }
    for (uint32_t i = 0; i < entry->lists->endpoint_count; i++) {
        update_endpoint_leases(entry, now, &entry->lists->endpoints[i]);
    }
}
