#include "lavender/hash.h"

#include <xxhash.h>

typedef enum role_tag {
    ROLE_DISPATCHER = 1,
    ROLE_ROOT,
    ROLE_WATCHER,
    ROLE_SHARD,
    ROLE_MODEL
} role_tag;

static uint64_t
hash_words(uint64_t tag, uint64_t first, uint64_t second)
{
    uint64_t words[3] = {tag, first, second};

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

/* Ties go to the greater id, so that the order of candidates is no matter. */
static bool
is_better(lv_id candidate, lv_id other, uint64_t key)
{
    uint64_t weight = hrw_weight(candidate, key);
    uint64_t other_weight = hrw_weight(other, key);

    return weight > other_weight ||
           (weight == other_weight && candidate > other);
}

uint32_t
hrw_winners(const lv_id *candidates, uint32_t count, uint64_t key,
            lv_id *winners, uint32_t wanted)
{
    uint32_t written = 0;

    for (uint32_t i = 0; i < count; i++) {
        uint32_t place = written;

        while (place > 0 &&
               is_better(candidates[i], winners[place - 1], key)) {
            place--;
        }
        if (place >= wanted) {
            continue;
        }
        if (written < wanted) {
            written++;
        }
        for (uint32_t j = written - 1; j > place; j--) {
            winners[j] = winners[j - 1];
        }
        winners[place] = candidates[i];
    }
    return written;
}

uint64_t
hrw_dispatcher_key(lv_id pool, uint32_t shard)
{
    return hash_words(ROLE_DISPATCHER, pool, shard);
}

uint64_t
hrw_root_key(lv_id pool)
{
    return hash_words(ROLE_ROOT, pool, 0);
}

uint64_t
hrw_watcher_key(lv_id zone)
{
    return hash_words(ROLE_WATCHER, zone, 0);
}

uint64_t
hrw_model_key(lv_id model)
{
    return hash_words(ROLE_MODEL, model, 0);
}

uint32_t
hrw_shard_of(lv_id endpoint, uint32_t shards)
{
    lv_id best = LV_ID_NONE;
    uint32_t shard = 0;

    for (uint32_t i = 0; i < shards; i++) {
        uint64_t weight = hash_words(ROLE_SHARD, endpoint, i);

        if (i == 0 || weight > best) {
            best = weight;
            shard = i;
        }
    }
    return shard;
}

uint32_t
hrw_account_shard(lv_id account, const uint32_t *slots, uint32_t shards)
{
    uint32_t home = hrw_shard_of(account, shards);

    for (uint32_t i = 0; i < shards; i++) {
        if (slots[(home + i) % shards] > 0) {
            return (home + i) % shards;
        }
    }
    return home;
}

uint32_t
hrw_shard_count(uint32_t endpoints, uint32_t shard_endpoints)
{
    uint32_t mean = shard_endpoints / 2;

    if (endpoints <= shard_endpoints || mean == 0) {
        return endpoints > 0 && shard_endpoints == 1 ? endpoints : 1;
    }
    return (endpoints + mean - 1) / mean;
}
