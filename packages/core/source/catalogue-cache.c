#include <stdlib.h>
#include <string.h>

#include "catalogue-imp.h"
#include "table-imp.h"

struct cat_cached_part {
    uint64_t digest;
    size_t size;
    stage_account *accounts;
    int *account_lines;
    uint32_t account_count;
    stage_entry *entries;
    int *entry_lines;
    uint32_t entry_count;
    bool is_used; /* by the catalogue that is read */
    bool is_new;  /* read for it */
};

static void
free_part(cat_cached_part *part)
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
        free_part(&cache->parts[i]);
    }
    free(cache->parts);
    memset(cache, 0, sizeof *cache);
}

static bool
is_same(const cat_cached_part *part, uint64_t digest, size_t size)
{
    return part->digest == digest && part->size == size;
}

/* The part most likely stands where it stood before. */
static cat_cached_part *
find_part(const cat_cache *cache, uint32_t number, uint64_t digest,
          size_t size)
{
    uint32_t guess = number - 1;

    if (guess < cache->count && is_same(&cache->parts[guess], digest, size)) {
        return &cache->parts[guess];
    }
    for (uint32_t i = 0; i < cache->count; i++) {
        if (is_same(&cache->parts[i], digest, size)) {
            return &cache->parts[i];
        }
    }
    return NULL;
}

bool
cat_cache_take(cat_stage *stage, const cat_part *part, uint32_t number)
{
    cat_cached_part *found;

    if (stage->cache == NULL) {
        return false;
    }
    found = find_part(stage->cache, number, stage->found[number], part->size);
    if (found == NULL) {
        return false;
    }
    found->is_used = true;
    return row_append(&stage->accounts, part->name, found->accounts,
                      found->account_lines, found->account_count) &&
           row_append(&stage->entries, part->name, found->entries,
                      found->entry_lines, found->entry_count);
}

/* Without memory the part is read again next time. */
void
cat_cache_put(cat_stage *stage, const cat_part *part, uint32_t number,
              uint32_t first_account, uint32_t first_entry)
{
    cat_cache *cache = stage->cache;
    cat_cached_part kept = {
        .digest = stage->found[number],
        .size = part->size,
        .account_count = stage->accounts.count - first_account,
        .entry_count = stage->entries.count - first_entry,
        .is_used = true,
        .is_new = true,
    };

    if (cache == NULL) {
        return;
    }
    if (!row_copy_from(&stage->accounts, first_account, &kept.accounts,
                       &kept.account_lines) ||
        !row_copy_from(&stage->entries, first_entry, &kept.entries,
                       &kept.entry_lines) ||
        !table_reserve((void **)&cache->parts, &cache->capacity,
                       cache->count + 1, sizeof *cache->parts)) {
        free_part(&kept);
        return;
    }
    cache->parts[cache->count++] = kept;
}

void
cat_cache_settle(cat_cache *cache, bool was_good)
{
    uint32_t kept = 0;

    for (uint32_t i = 0; i < cache->count; i++) {
        cat_cached_part *part = &cache->parts[i];
        bool stays = was_good ? part->is_used : !part->is_new;

        part->is_used = false;
        part->is_new = false;
        if (stays) {
            cache->parts[kept++] = *part;
        }
        else {
            free_part(part);
        }
    }
    cache->count = kept;
}

size_t
cat_cache_memory(const cat_cache *cache)
{
    size_t bytes = cache->capacity * sizeof *cache->parts;

    for (uint32_t i = 0; i < cache->count; i++) {
        const cat_cached_part *part = &cache->parts[i];

        bytes += part->account_count * (sizeof(stage_account) + sizeof(int)) +
                 part->entry_count * (sizeof(stage_entry) + sizeof(int));
    }
    return bytes;
}
