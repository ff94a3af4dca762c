#include "lavender/hash.h"

#include <xxhash.h>

/* Domains keep the hashes of different uses of the same ids apart. */
typedef enum hash_domain {
    DOMAIN_DISPATCHER = 1,
    DOMAIN_ROOT,
    DOMAIN_WATCHER,
    DOMAIN_SHARD,
    DOMAIN_MODEL
} hash_domain;

static uint64_t
hash_words(uint64_t domain, uint64_t first, uint64_t second)
{
    uint64_t words[3] = {domain, first, second};

    return XXH64(words, sizeof words, 0);
}

uint64_t
hrw_weight(lv_id candidate, uint64_t key)
{
    uint64_t words[2] = {candidate, key};

    return XXH64(words, sizeof words, 0);
}

lv_id
hrw_winner(const lv_id *candidates, uint32_t count, uint64_t key)
{
    lv_id winner = LV_ID_NONE;

    hrw_winners(candidates, count, key, &winner, 1);
    return winner;
}

/* The greater id wins a tie, so the result does not depend on the order of the
 * candidates. */
static bool
has_higher_weight(lv_id candidate, lv_id other, uint64_t key)
{
    uint64_t weight = hrw_weight(candidate, key);
    uint64_t other_weight = hrw_weight(other, key);

    return weight > other_weight ||
           (weight == other_weight && candidate > other);
}

uint32_t
hrw_winners(const lv_id *candidates, uint32_t count, uint64_t key,
            lv_id *winners, uint32_t max_winners)
{
    uint32_t written = 0;

    for (uint32_t i = 0; i < count; i++) {
        uint32_t index = written;

        while (index > 0 &&
               has_higher_weight(candidates[i], winners[index - 1], key)) {
            index--;
        }
        if (index >= max_winners) {
            continue;
        }
        if (written < max_winners) {
            written++;
        }
        for (uint32_t j = written - 1; j > index; j--) {
            winners[j] = winners[j - 1];
        }
        winners[index] = candidates[i];
    }
    return written;
}

uint64_t
hrw_dispatcher_key(lv_id pool, uint32_t shard)
{
    return hash_words(DOMAIN_DISPATCHER, pool, shard);
}

uint64_t
hrw_root_key(lv_id pool)
{
    return hash_words(DOMAIN_ROOT, pool, 0);
}

uint64_t
hrw_watcher_key(lv_id zone)
{
    return hash_words(DOMAIN_WATCHER, zone, 0);
}

uint64_t
hrw_model_key(lv_id model)
{
    return hash_words(DOMAIN_MODEL, model, 0);
}

uint32_t
hrw_shard_of(lv_id id, uint32_t shard_count)
{
    uint64_t best_weight = 0;
    uint32_t shard = 0;

    for (uint32_t i = 0; i < shard_count; i++) {
        uint64_t weight = hash_words(DOMAIN_SHARD, id, i);

        if (i == 0 || weight > best_weight) {
            best_weight = weight;
            shard = i;
        }
    }
    return shard;
}

uint32_t
hrw_account_shard(lv_id account, const uint32_t *slots, uint32_t shard_count)
{
    uint32_t first = hrw_shard_of(account, shard_count);

    for (uint32_t i = 0; i < shard_count; i++) {
        if (slots[(first + i) % shard_count] > 0) {
            return (first + i) % shard_count;
        }
    }
    return first;
}

uint32_t
hrw_shard_count(uint32_t endpoint_count, uint32_t max_shard_endpoints)
{
    uint32_t mean_shard_endpoints = max_shard_endpoints / 2;

    if (endpoint_count <= max_shard_endpoints || mean_shard_endpoints == 0) {
        return endpoint_count > 0 && max_shard_endpoints == 1 ? endpoint_count
                                                              : 1;
    }
    return (endpoint_count + mean_shard_endpoints - 1) / mean_shard_endpoints;
}
