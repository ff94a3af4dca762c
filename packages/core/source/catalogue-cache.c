#include <stdlib.h>
#include <string.h>

#include "catalogue-imp.h"
#include "table-imp.h"

struct cat_cached_part {
    uint64_t digest;
    size_t size;
    account_row *accounts;
    int *account_lines;
    uint32_t account_count;
    entry_row *entries;
    int *entry_lines;
    uint32_t entry_count;
    bool is_current; /* used by the catalogue that is being read */
    bool is_new;     /* added for the catalogue that is being read */
};

static void
free_cached_part(cat_cached_part *part)
{
    free(part->accounts);
    free(part->account_lines);
    free(part->entries);
    free(part->entry_lines);
}

void
cat_cache_finish(cat_cache *cache)
{
    for (uint32_t i = 0; i < cache->count; i++) {
        free_cached_part(&cache->parts[i]);
    }
    free(cache->parts);
    memset(cache, 0, sizeof *cache);
}

static bool
matches_text(const cat_cached_part *part, uint64_t digest, size_t size)
{
    return part->digest == digest && part->size == size;
}

/* Tries the index that the part had in the last catalogue first. */
static cat_cached_part *
find_part(const cat_cache *cache, uint32_t number, uint64_t digest,
          size_t size)
{
    uint32_t expected_index = number - 1;

    if (expected_index < cache->count &&
        matches_text(&cache->parts[expected_index], digest, size)) {
        return &cache->parts[expected_index];
    }
    for (uint32_t i = 0; i < cache->count; i++) {
        if (matches_text(&cache->parts[i], digest, size)) {
            return &cache->parts[i];
        }
    }
    return NULL;
}

bool
cat_cache_restore(cat_parser *parser, const cat_part *part, uint32_t number)
{
    cat_cached_part *cached;

    if (parser->cache == NULL) {
        return false;
    }
    cached =
        find_part(parser->cache, number, parser->digests[number], part->size);
    if (cached == NULL) {
        return false;
    }
    cached->is_current = true;
    return row_append(&parser->accounts, part->name, cached->accounts,
                      cached->account_lines, cached->account_count) &&
           row_append(&parser->entries, part->name, cached->entries,
                      cached->entry_lines, cached->entry_count);
}

void
cat_cache_store(cat_parser *parser, const cat_part *part, uint32_t number,
                uint32_t first_account, uint32_t first_entry)
{
    cat_cache *cache = parser->cache;
    cat_cached_part new_part = {
        .digest = parser->digests[number],
        .size = part->size,
        .account_count = parser->accounts.count - first_account,
        .entry_count = parser->entries.count - first_entry,
        .is_current = true,
        .is_new = true,
    };

    if (cache == NULL) {
        return;
    }
    if (!row_copy_from(&parser->accounts, first_account, &new_part.accounts,
                       &new_part.account_lines) ||
        !row_copy_from(&parser->entries, first_entry, &new_part.entries,
                       &new_part.entry_lines) ||
        !table_reserve((void **)&cache->parts, &cache->capacity,
                       cache->count + 1, sizeof *cache->parts)) {
        free_cached_part(&new_part);
        return;
    }
    cache->parts[cache->count++] = new_part;
}

void
cat_cache_evict(cat_cache *cache, bool was_valid)
{
    uint32_t retained = 0;

    for (uint32_t i = 0; i < cache->count; i++) {
        cat_cached_part *part = &cache->parts[i];
        bool is_retained = was_valid ? part->is_current : !part->is_new;

        part->is_current = false;
        part->is_new = false;
        if (is_retained) {
            cache->parts[retained++] = *part;
        }
        else {
            free_cached_part(part);
        }
    }
    cache->count = retained;
}

size_t
cat_cache_memory(const cat_cache *cache)
{
    size_t bytes = cache->capacity * sizeof *cache->parts;

    for (uint32_t i = 0; i < cache->count; i++) {
        const cat_cached_part *part = &cache->parts[i];

        bytes += part->account_count * (sizeof(account_row) + sizeof(int)) +
                 part->entry_count * (sizeof(entry_row) + sizeof(int));
    }
    return bytes;
}
