#include "engine-imp.h"
#include "lavender/hash.h"

/* Engines evict the least recently used blocks when they need memory, so a
 * block remains cached until as many tokens have been prefilled after it as
 * the free KV cache holds. The rest of the KV cache is lost to partially
 * filled memory pages. */
#define USABLE_PERCENT 85

void
eng_add_block(eng_prompt *prompt, uint64_t block, uint32_t tokens)
{
    uint64_t previous_hash = 0;

    prompt->last.id = block;
    prompt->last.tokens = tokens;
    if (prompt->block_count == ENG_BLOCKS_MAX) {
        prompt->has_more_blocks = true;
        return;
    }
    if (prompt->block_count > 0) {
        previous_hash = prompt->blocks[prompt->block_count - 1].prefix_hash;
    }
    prompt->blocks[prompt->block_count].id = block;
    prompt->blocks[prompt->block_count].prefix_hash =
        map_mix(previous_hash ^ map_mix(block));
    prompt->blocks[prompt->block_count].tokens = tokens;
    prompt->block_count++;
}

uint32_t
eng_shared_blocks(const eng_prompt *prompt)
{
    if (prompt->has_more_blocks || prompt->block_count == 0) {
        return prompt->block_count;
    }
    return prompt->block_count - 1;
}

/* Returns the key of a block in the cache index, never 0. */
static uint64_t
cache_key(const eng_table *table, lv_handle endpoint, uint64_t prefix_hash)
{
    return map_mix(prefix_hash ^ table->endpoints[endpoint].spec.id) | 1;
}

/* Rendezvous hashing: sets the listed endpoints of a service, in zones that
 * are not evacuated, with the highest and the second highest weight for a
 * prefix hash; only those of a zone unless that is LV_ID_NONE, and of the
 * prompt's version. */
static void
choose_affinity(const eng_table *table, lv_id service, lv_id zone,
                uint64_t prefix_hash, eng_prompt *prompt)
{
    uint64_t best = 0;
    uint64_t second_best = 0;
    lv_handle row;

    for (row = 0; row < table->capacity; row++) {
        const eng_endpoint *endpoint = &table->endpoints[row];
        uint64_t weight = hrw_weight(endpoint->spec.id, prefix_hash);

        if (!endpoint->is_used || !endpoint->is_listed ||
            endpoint->is_evacuated || endpoint->spec.service != service ||
            (zone != LV_ID_NONE && endpoint->spec.zone != zone) ||
            (prompt->version != LV_ID_NONE &&
             endpoint->spec.version_id != prompt->version)) {
            continue;
        }
        if (weight >= best) {
            second_best = best;
            prompt->secondary_affinity = prompt->affinity;
            best = weight;
            prompt->affinity = row;
        }
        else if (weight >= second_best) {
            second_best = weight;
            prompt->secondary_affinity = row;
        }
    }
}

void
eng_clear_affinity(eng_prompt *prompt)
{
    prompt->affinity = LV_HANDLE_NONE;
    prompt->secondary_affinity = LV_HANDLE_NONE;
}

void
eng_find_affinity(const eng_table *table, lv_id service, eng_prompt *prompt)
{
    eng_clear_affinity(prompt);
    if (prompt->block_count >= 2) {
        choose_affinity(table, service, LV_ID_NONE,
                        prompt->blocks[prompt->block_count - 2].prefix_hash,
                        prompt);
    }
}

void
eng_find_zone_affinity(const eng_table *table, lv_id service, lv_id zone,
                       eng_prompt *prompt)
{
    lv_handle fleet_affinity;

    eng_find_affinity(table, service, prompt);
    fleet_affinity = prompt->affinity;
    if (fleet_affinity == LV_HANDLE_NONE) {
        return;
    }
    eng_clear_affinity(prompt);
    choose_affinity(table, service, zone,
                    prompt->blocks[prompt->block_count - 2].prefix_hash,
                    prompt);
    if (prompt->affinity == LV_HANDLE_NONE) {
        eng_find_affinity(table, service, prompt);
    }
    else if (prompt->affinity != fleet_affinity) {
        prompt->secondary_affinity = fleet_affinity;
    }
}

static bool
is_cached(const eng_table *table, lv_handle row, uint64_t prefix_hash)
{
    const eng_endpoint *endpoint = &table->endpoints[row];
    uint64_t key = cache_key(table, row, prefix_hash);
    uint32_t index = map_find(&table->cache_index, key);
    uint64_t used = eng_kv_used(endpoint);
    uint64_t usable = endpoint->kv_capacity * USABLE_PERCENT / 100;
    uint64_t prefilled_since;

    if (index == LV_HANDLE_NONE) {
        return false;
    }
    prefilled_since =
        endpoint->prefill_total - table->cache_entries[index].prefill_total;
    return prefilled_since + used < usable;
}

/* A block is only used together with all blocks before it, so the last cached
 * block implies that those are cached. */
uint32_t
eng_known_blocks(const eng_table *table, lv_handle endpoint,
                 const eng_prompt *prompt, uint32_t limit, uint32_t floor)
{
    uint32_t count = limit;

    while (
        count > floor &&
        !is_cached(table, endpoint, prompt->blocks[count - 1].prefix_hash)) {
        count--;
    }
    return count;
}

/* Returns the number of cached blocks at the start of a prompt. */
static uint32_t
count_cached_blocks(const eng_table *table, lv_handle endpoint,
                    const eng_prompt *prompt)
{
    uint32_t count = prompt->block_count;
    uint32_t presumed = 0; /* cached, at an affinity endpoint */

    if ((endpoint == prompt->affinity ||
         endpoint == prompt->secondary_affinity) &&
        count > 0) {
        presumed = count - 1;
    }
    return eng_known_blocks(table, endpoint, prompt, count, presumed);
}

uint32_t
eng_cached_tokens(const eng_table *table, lv_handle endpoint,
                  const eng_prompt *prompt)
{
    uint32_t blocks = count_cached_blocks(table, endpoint, prompt);
    uint32_t tokens = 0;
    uint32_t i;

    for (i = 0; i < blocks; i++) {
        tokens += prompt->blocks[i].tokens;
    }
    return tokens < prompt->tokens ? tokens : prompt->tokens;
}

void
eng_touch_block(eng_table *table, lv_handle endpoint, uint64_t prefix_hash)
{
    uint64_t key = cache_key(table, endpoint, prefix_hash);
    uint32_t index = map_find(&table->cache_index, key);
    eng_cache_entry *entry;

    if (index == LV_HANDLE_NONE) {
        index = table->next_cache_entry;
        entry = &table->cache_entries[index];
        if (entry->key != 0) {
            map_remove(&table->cache_index, entry->key);
            entry->key = 0;
        }
        if (!map_set(&table->cache_index, key, index)) {
            return;
        }
        table->next_cache_entry = (index + 1) % ENG_CACHE_ENTRIES_MAX;
    }
    entry = &table->cache_entries[index];
    entry->key = key;
    entry->prefill_total = table->endpoints[endpoint].prefill_total;
}

void
eng_count_fetched(eng_table *table, lv_handle endpoint, uint32_t tokens)
{
    table->endpoints[endpoint].prefill_total += tokens;
}
