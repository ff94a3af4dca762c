/*
 * Rendezvous hashing: the same answer whatever the order, balance, and
 * little movement when a candidate goes.
 */
#include <criterion/criterion.h>

#include "lavender/hash.h"

#define CANDIDATES 8
#define KEYS 8000

static void
fill(lv_id *ids, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        ids[i] = 0x9e3779b97f4a7c15u * (i + 1);
    }
}

Test(hash, no_candidates_no_winner)
{
    cr_assert_eq(hrw_winner(NULL, 0, 1), LV_ID_NONE);
}

Test(hash, order_of_candidates_is_no_matter)
{
    lv_id ids[CANDIDATES];
    lv_id turned[CANDIDATES];

    fill(ids, CANDIDATES);
    for (uint32_t i = 0; i < CANDIDATES; i++) {
        turned[i] = ids[CANDIDATES - 1 - i];
    }
    for (uint64_t key = 1; key <= 500; key++) {
        lv_id a[3];
        lv_id b[3];

        cr_assert_eq(hrw_winners(ids, CANDIDATES, key, a, 3), 3);
        cr_assert_eq(hrw_winners(turned, CANDIDATES, key, b, 3), 3);
        cr_assert_arr_eq(a, b, sizeof a);
        cr_assert_eq(hrw_winner(ids, CANDIDATES, key), a[0]);
        cr_assert(hrw_weight(a[0], key) > hrw_weight(a[1], key));
        cr_assert(hrw_weight(a[1], key) > hrw_weight(a[2], key));
    }
}

Test(hash, fewer_candidates_than_wanted)
{
    lv_id ids[2];
    lv_id winners[5];

    fill(ids, 2);
    cr_assert_eq(hrw_winners(ids, 2, 7, winners, 5), 2);
}

Test(hash, roles_spread_and_only_the_lost_ones_move)
{
    lv_id ids[CANDIDATES];
    uint32_t owned[CANDIDATES] = {0};

    fill(ids, CANDIDATES);
    for (uint64_t key = 1; key <= KEYS; key++) {
        lv_id winner = hrw_winner(ids, CANDIDATES, key);
        lv_id next = hrw_winner(ids, CANDIDATES - 1, key);

        if (winner != ids[CANDIDATES - 1]) {
            cr_assert_eq(winner, next);
        }
        for (uint32_t i = 0; i < CANDIDATES; i++) {
            owned[i] += ids[i] == winner;
        }
    }
    for (uint32_t i = 0; i < CANDIDATES; i++) {
        cr_assert(owned[i] > 850 && owned[i] < 1150, "%u", owned[i]);
    }
}

Test(hash, keys_of_roles_differ)
{
    cr_assert_neq(hrw_dispatcher_key(1, 0), hrw_dispatcher_key(1, 1));
    cr_assert_neq(hrw_dispatcher_key(1, 0), hrw_dispatcher_key(2, 0));
    cr_assert_neq(hrw_dispatcher_key(1, 0), hrw_root_key(1));
    cr_assert_neq(hrw_root_key(1), hrw_watcher_key(1));
}

/* Shards never get more endpoints than asked for, at 16 to 10,000. */
Test(hash, shards_stay_within_their_bound)
{
    static const uint32_t sizes[] = {1, 16, 64, 65, 200, 1000, 10000};

    for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++) {
        uint32_t shards = hrw_shard_count(sizes[s], 64);
        uint32_t filled[400] = {0};

        cr_assert(shards >= 1 && shards <= 400);
        for (uint32_t i = 0; i < sizes[s]; i++) {
            uint32_t shard =
                hrw_shard_of(0x9e3779b97f4a7c15u * (i + 1), shards);

            cr_assert(shard < shards);
            filled[shard]++;
            cr_assert(filled[shard] <= 64, "%u of %u", shard, shards);
        }
    }
    cr_assert_eq(hrw_shard_count(64, 64), 1);
    cr_assert_eq(hrw_shard_count(0, 64), 1);
    cr_assert_eq(hrw_shard_count(3, 1), 3);
}

Test(hash, a_further_shard_takes_its_part_only)
{
    uint32_t moved = 0;

    for (uint32_t i = 0; i < 1000; i++) {
        lv_id endpoint = 0x9e3779b97f4a7c15u * (i + 1);
        uint32_t before = hrw_shard_of(endpoint, 9);
        uint32_t after = hrw_shard_of(endpoint, 10);

        if (before != after) {
            cr_assert_eq(after, 9);
            moved++;
        }
    }
    cr_assert(moved > 60 && moved < 140, "%u", moved);
}
