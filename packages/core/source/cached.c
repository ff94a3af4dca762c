#include "lavender/cached.h"

#include <string.h>

static uint64_t
make_key(lv_id service, lv_id version, uint64_t block)
{
    uint64_t key = map_mix(map_mix(service ^ map_mix(version)) + block);

    return key != 0 ? key : 1;
}

void
cch_init(cch_table *table)
{
    memset(table, 0, sizeof *table);
    map_init(&table->tokens);
}

void
cch_finish(cch_table *table)
{
    map_finish(&table->tokens);
    table->version_count = 0;
}

static bool
add_version(cch_table *table, lv_id version)
{
    uint32_t i;

    for (i = 0; i < table->version_count; i++) {
        if (table->versions[i] == version) {
            return true;
        }
    }
    if (table->version_count == CCH_VERSIONS_MAX) {
        return false;
    }
    table->versions[table->version_count++] = version;
    return true;
}

bool
cch_add(cch_table *table, lv_id service, lv_id version, uint64_t block,
        uint32_t tokens)
{
    uint64_t key = make_key(service, version, block);
    uint32_t known = map_find(&table->tokens, key);

    if (!add_version(table, version) ||
        (known == LV_HANDLE_NONE && table->tokens.count >= CCH_BLOCKS_MAX)) {
        return false;
    }
    return (known != LV_HANDLE_NONE && known >= tokens) ||
           map_set(&table->tokens, key, tokens);
}

bool
cch_find(const cch_table *table, lv_id service, uint64_t block,
         uint32_t tokens, lv_id *version)
{
    uint32_t i;

    for (i = 0; i < table->version_count; i++) {
        uint32_t known = map_find(
            &table->tokens, make_key(service, table->versions[i], block));

        if (known == LV_HANDLE_NONE || known < tokens) {
            continue;
        }
        if (*version != LV_ID_NONE && *version != table->versions[i]) {
            return false;
        }
        *version = table->versions[i];
    }
    return true;
}
