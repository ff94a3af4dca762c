/*
 * Rendezvous hashing (highest random weight): says which instance has a
 * role, from the live membership alone, with the least movement when the
 * membership changes.
 */
#ifndef LAVENDER_HASH_H
#define LAVENDER_HASH_H

#include "lavender/types.h"

/* The weight of a candidate for a key. */
uint64_t hrw_weight(lv_id candidate, uint64_t key);

/* The winner among candidates; LV_ID_NONE when there are none. */
lv_id hrw_winner(const lv_id *candidates, uint32_t count, uint64_t key);

/* The best `wanted` candidates, best first; returns how many were written. */
uint32_t hrw_winners(const lv_id *candidates, uint32_t count, uint64_t key,
                     lv_id *winners, uint32_t wanted);

/* Keys of the roles. */
uint64_t hrw_dispatcher_key(lv_id pool, uint32_t shard);
uint64_t hrw_root_key(lv_id pool);
uint64_t hrw_watcher_key(lv_id zone);

/* Key of a model's copies, whose candidates are endpoints. */
uint64_t hrw_model_key(lv_id model);

/* The shard of an endpoint, when its pool has `shards` of them. */
uint32_t hrw_shard_of(lv_id endpoint, uint32_t shards);

/* The one shard that serves an account whose requests in flight are limited:
 * the account's own by hash, or the next one that has slots. slots has a
 * value for each shard. */
uint32_t hrw_account_shard(lv_id account, const uint32_t *slots,
                           uint32_t shards);

/* How many shards a pool of `endpoints` needs, when one is to have at most
 * `shard_endpoints`. One is enough while all fit; beyond that the shards are
 * half full in the mean, because hashing fills them unevenly: with 64, one
 * in ten million shards gets more. */
uint32_t hrw_shard_count(uint32_t endpoints, uint32_t shard_endpoints);

#endif
