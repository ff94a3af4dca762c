/*
 * Rendezvous hashing (highest random weight, HRW). It assigns each role, shard
 * and model copy to one of a set of candidates. Instances that know the same
 * candidates reach the same result without coordination, and when a candidate
 * is added or removed only the keys that it wins or loses move.
 */
#ifndef LAVENDER_HASH_H
#define LAVENDER_HASH_H

#include "lavender/types.h"

/* Returns the weight of a candidate for a key; the highest weight wins. */
uint64_t hrw_weight(lv_id candidate, uint64_t key);

/* Returns the candidate with the highest weight for the key, or LV_ID_NONE if
 * there are no candidates. */
lv_id hrw_winner(const lv_id *candidates, uint32_t count, uint64_t key);

/* Writes the candidates with the highest weights, in descending order of
 * weight, at most `max_winners` of them. Returns the number written. */
uint32_t hrw_winners(const lv_id *candidates, uint32_t count, uint64_t key,
                     lv_id *winners, uint32_t max_winners);

/* Keys of the roles; the candidates are instances. */
uint64_t hrw_dispatcher_key(lv_id pool, uint32_t shard);
uint64_t hrw_root_key(lv_id pool);
uint64_t hrw_watcher_key(lv_id zone);

/* Key of the copies of a model; the candidates are endpoints. */
uint64_t hrw_model_key(lv_id model);

/* Returns the shard, below `shard_count`, that an endpoint or an account
 * hashes to. */
uint32_t hrw_shard_of(lv_id id, uint32_t shard_count);

/* Returns the only shard that serves an account whose requests in flight are
 * limited: the shard that the account hashes to, or the next one that has
 * slots. `slots` has the number of slots of each shard. */
uint32_t hrw_account_shard(lv_id account, const uint32_t *slots,
                           uint32_t shard_count);

/* Returns the number of shards of a pool with `endpoint_count` endpoints when
 * a shard may have at most `max_shard_endpoints`. One shard is used while all
 * endpoints fit. Beyond that, shards are half full on average, because hashing
 * fills them unevenly: with a limit of 64, one in ten million shards exceeds
 * it. */
uint32_t hrw_shard_count(uint32_t endpoint_count,
                         uint32_t max_shard_endpoints);

#endif
