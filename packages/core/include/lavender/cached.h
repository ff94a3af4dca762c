/*
 * Which prompt blocks the endpoints of each software version have cached, as
 * they say themselves. The last block of a prompt belongs to the request or
 * its session, so an endpoint that has all of it cached has run the request.
 * After all instances of the fleet ended, only the endpoints know that.
 */
#ifndef LAVENDER_CACHED_H
#define LAVENDER_CACHED_H

#include "lavender/map.h"

#define CCH_VERSIONS_MAX 32 /* of all services */
#define CCH_BLOCKS_MAX 262144

typedef struct cch_table {
    map_table tokens; /* most that are cached, by service, version and block */
    lv_id versions[CCH_VERSIONS_MAX];
    uint32_t version_count;
} cch_table;

void cch_init(cch_table *table);
void cch_finish(cch_table *table);

/* Records that an endpoint of a service has tokens of a block cached. Returns
 * false when memory is exhausted, or there are too many versions or blocks;
 * nothing is recorded then. */
bool cch_add(cch_table *table, lv_id service, lv_id version, uint64_t block,
             uint32_t tokens);

/* Sets `version` to the one whose endpoints have so many tokens of a block
 * cached, and leaves it if none has. Returns false if several have, or it was
 * set to another one. */
bool cch_find(const cch_table *table, lv_id service, uint64_t block,
              uint32_t tokens, lv_id *version);

#endif
