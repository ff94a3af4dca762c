/*
 * The counter root of a pool that has several shards. It adds up the service
 * that the shards charged to each account and reports to each shard what the
 * other shards charged, so that all shards order the accounts by their service
 * in the whole pool.
 *
 * All values are service / weight. In SHARD_SUM, services[].total is what the
 * shard's dispatcher charged to the account since it started, and since is the
 * part that its previous SHARD_SUM did not contain; `sent` is the dispatcher's
 * start on its own clock. In POOL_SUM, levels[].level is what the other shards
 * charged since the root was created. Both are cumulative, so a lost message
 * loses no service.
 */
#ifndef LAVENDER_ROOT_H
#define LAVENDER_ROOT_H

#include "lavender/host.h"
#include "lavender/map.h"

/* A dispatcher of one shard. */
typedef struct root_shard {
    uint32_t shard;
    lv_id sender;
    lv_time started; /* on the sender's clock; distinguishes dispatchers of the
                        same instance */
    uint64_t received_sequence; /* of the last SHARD_SUM received */
    uint64_t sent_sequence;     /* of the last POOL_SUM sent */
    lv_time last_received;
} root_shard;

typedef struct root_account {
    lv_id id;
    int64_t sum; /* over all shards, since the root was created */
    lv_time last_change;
    bool is_active;
} root_account;

/* What one shard's dispatcher charged to one account. */
typedef struct root_contribution {
    int64_t total; /* as last reported */
    int64_t sum;   /* since the root was created */
    bool has_total;
} root_contribution;

/* All members are private; the type is public so that the owner can allocate
 * it. */
typedef struct root_state {
    lv_host *host;
    lv_id self;
    lv_id pool;
    uint64_t tenure;
    uint64_t first_sequence; /* where the POOL_SUMs to a new shard start */
    root_shard *shards;
    uint32_t shard_count;
    uint32_t shard_capacity;
    root_account *accounts;
    uint32_t account_count;
    uint32_t account_capacity;
    map_table account_map;
    root_contribution *contributions;
    uint32_t contribution_count;
    uint32_t contribution_capacity;
    map_table contribution_map; /* by rows of account and shard */
    uint32_t *active;           /* rows of accounts that POOL_SUMs list */
    uint32_t active_count;
    uint32_t active_capacity;
    msg_level *out_levels; /* of the POOL_SUM that is being built */
    uint32_t out_level_capacity;
    lv_time next_tick;
    uint64_t stale; /* messages dropped */
} root_state;

/* Initialises a root that knows no shard yet. The host must outlive it. Always
 * returns true; error is not used. */
bool root_init(root_state *root, lv_host *host, lv_id self, lv_id pool,
               uint64_t tenure, lv_time now, err_error *error);
void root_finish(root_state *root);

/* Applies a SHARD_SUM and answers it with a POOL_SUM. Returns false when it
 * was dropped because it is old, for another pool or of another kind, or
 * because memory is exhausted. */
bool root_receive_shard_sum(root_state *root, lv_time now,
                            const msg_message *message);

/* Removes idle accounts from the active ones, once a second. */
void root_tick(root_state *root, lv_time now);

/* Returns when root_tick is due. */
lv_time root_next_tick(const root_state *root);

#endif
