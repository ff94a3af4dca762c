#include "engine-imp.h"
#include "lavender/hash.h"

/* Engines drop the least recently used parts when they need memory, so a
 * part lives until as much has been read after it as memory has to spare.
 * Some of that memory is lost to blocks that are half full. */
#define USABLE_PERCENT 85

void
eng_add_block(eng_prompt *prompt, uint64_t part, uint32_t tokens)
{
    uint64_t before = 0;

    if (prompt->block_count == ENG_BLOCKS_MAX) {
        return;
    }
    if (prompt->block_count > 0) {
        before = prompt->blocks[prompt->block_count - 1].chain;
    }
    prompt->blocks[prompt->block_count].chain =
        map_mix(before ^ map_mix(part));
    prompt->blocks[prompt->block_count].tokens = tokens;
    prompt->block_count++;
}

static uint64_t
cache_key(const eng_table *table, lv_handle endpoint, uint64_t chain)
{
    return map_mix(chain ^ table->endpoints[endpoint].spec.id) | 1;
}

/* The endpoints that a part is sent to while nobody knows of better ones: the
 * same for all instances. */
static void
find_homes(const eng_table *table, lv_id service, uint64_t chain,
           eng_prompt *prompt)
{
    uint64_t best = 0;
    uint64_t second = 0;
    lv_handle row;

    for (row = 0; row < table->capacity; row++) {
        const eng_endpoint *endpoint = &table->endpoints[row];
        uint64_t weight = hrw_weight(endpoint->spec.id, chain);

        if (!endpoint->is_used || !endpoint->is_listed ||
            endpoint->spec.service != service) {
            continue;
        }
        if (weight >= best) {
            second = best;
            prompt->secondary_affinity = prompt->affinity;
            best = weight;
            prompt->affinity = row;
        }
        else if (weight >= second) {
            second = weight;
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
        find_homes(table, service,
                   prompt->blocks[prompt->block_count - 2].chain, prompt);
    }
}

static bool
is_kept(const eng_table *table, lv_handle row, uint64_t chain)
{
    const eng_endpoint *endpoint = &table->endpoints[row];
    uint64_t key = cache_key(table, row, chain);
    uint32_t index = map_find(&table->cached, key);
    uint64_t running = eng_kv_used(endpoint);
    uint64_t usable = endpoint->kv_capacity * USABLE_PERCENT / 100;
    uint64_t read_since;

    if (index == LV_HANDLE_NONE) {
        return false;
    }
    read_since = endpoint->read_total - table->uses[index].read_total;
    return read_since + running < usable;
}

/* A part is used together with all before it, so that the last one that is
 * kept says the same of those. */
static uint32_t
kept_parts(const eng_table *table, lv_handle endpoint,
           const eng_prompt *prompt)
{
    uint32_t count = prompt->block_count;
    uint32_t presumed = 0;

    if ((endpoint == prompt->affinity ||
         endpoint == prompt->secondary_affinity) &&
        count > 0) {
        presumed = count - 1;
    }
    while (count > presumed &&
           !is_kept(table, endpoint, prompt->blocks[count - 1].chain)) {
        count--;
    }
    return count;
}

uint32_t
eng_cached_tokens(const eng_table *table, lv_handle endpoint,
                  const eng_prompt *prompt)
{
    uint32_t parts = kept_parts(table, endpoint, prompt);
    uint32_t tokens = 0;
    uint32_t i;

    for (i = 0; i < parts; i++) {
        tokens += prompt->blocks[i].tokens;
    }
    return tokens < prompt->tokens ? tokens : prompt->tokens;
}

void
eng_touch_block(eng_table *table, lv_handle endpoint, uint64_t chain)
{
    uint64_t key = cache_key(table, endpoint, chain);
    uint32_t index = map_find(&table->cached, key);
    eng_cached *use;

    if (index == LV_HANDLE_NONE) {
        index = table->use_next;
        use = &table->uses[index];
        if (use->key != 0) {
            map_remove(&table->cached, use->key);
            use->key = 0;
        }
        if (!map_set(&table->cached, key, index)) {
            return;
        }
        table->use_next = (index + 1) % ENG_CACHED_MAX;
    }
    use = &table->uses[index];
    use->key = key;
    use->read_total = table->endpoints[endpoint].read_total;
}
