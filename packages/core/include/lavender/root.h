/*
 * The counter root of a pool that has several shards: it adds up the
 * service that the shards gave to each active account and tells each shard
 * what the others gave, so that all shards order the accounts by the
 * service of the whole pool.
 *
 * In SHARD_SUM, services[].total is the service / weight that the shard's
 * dispatcher charged to the account since it started (`sent` says when, on
 * its clock), and since is the part that the last SHARD_SUM did not have; in
 * POOL_SUM, levels[].level is what the other shards charged since the root
 * started. Both are cumulative, so a lost message loses nothing.
 */
#ifndef LAVENDER_ROOT_H
#define LAVENDER_ROOT_H

#include "lavender/host.h"
#include "lavender/map.h"

typedef struct root_shard {
    uint32_t shard;
    lv_id sender;
    lv_time started;   /* on the shard's clock: tells its dispatchers apart */
    uint64_t sequence; /* of the last SHARD_SUM taken */
    uint64_t sent;     /* sequence of the last POOL_SUM */
    lv_time heard;
} root_shard;

typedef struct root_account {
    lv_id id; /* LV_ID_NONE: the place is free */
    int64_t sum;
    lv_time changed;
    bool is_active;
} root_account;

/* One account's service at one shard. */
typedef struct root_part {
    int64_t total; /* as last reported */
    int64_t sum;   /* since this root heard of it */
    bool has_total;
} root_part;

/* Public only so that its owner can place it; all members are private. */
typedef struct root_state {
    lv_host *host;
    lv_id self;
    lv_id pool;
    uint64_t tenure;
    uint64_t first_sequence;
    root_shard *shards;
    uint32_t shard_count;
    uint32_t shard_capacity;
    root_account *accounts;
    uint32_t account_count;
    uint32_t account_capacity;
    map_table account_map;
    root_part *parts;
    uint32_t part_count;
    uint32_t part_capacity;
    map_table part_map; /* by account and shard */
    uint32_t *active;   /* accounts whose service changed lately */
    uint32_t active_count;
    uint32_t active_capacity;
    msg_level *out_levels;
    uint32_t out_level_capacity;
    lv_time next_tick;
    uint64_t stale; /* messages dropped */
} root_state;

bool root_init(root_state *root, lv_host *host, lv_id self, lv_id pool,
               uint64_t tenure, lv_time now, err_error *error);
void root_finish(root_state *root);

/* Take a shard's SHARD_SUM and answer it with a POOL_SUM; false when it was
 * dropped (old, foreign). */
bool root_receive_shard_sum(root_state *root, lv_time now,
                            const msg_message *message);

/* Set aside the accounts that are idle. */
void root_tick(root_state *root, lv_time now);
lv_time root_next_tick(const root_state *root);

#endif
