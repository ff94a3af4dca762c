#include "catalogue-imp.h"

#include <stdlib.h>
#include <string.h>

static bool
make_table(void *table, uint32_t count, size_t size)
{
    void *memory = calloc(count == 0 ? 1 : count, size);

    memcpy(table, &memory, sizeof memory);
    return memory != NULL;
}

static int
compare_routes(const void *a, const void *b)
{
    const cat_route *left = a;
    const cat_route *right = b;
    size_t left_length = strlen(left->path);
    size_t right_length = strlen(right->path);

    if (left_length != right_length) {
        return left_length > right_length ? -1 : 1;
    }
    if (left->is_prefix != right->is_prefix) {
        return left->is_prefix ? 1 : -1;
    }
    return strcmp(left->path, right->path);
}

/* Places the entries behind their accounts, in order of the texts. */
static void
place_entries(cat_catalogue *catalogue, const cat_stage *stage)
{
    uint32_t next = 0;

    for (uint32_t i = 0; i < catalogue->account_count; i++) {
        catalogue->accounts[i].first_entry = next;
        next += catalogue->accounts[i].entry_count;
        catalogue->accounts[i].entry_count = 0;
    }
    for (uint32_t i = 0; i < stage->entries.count; i++) {
        const stage_entry *row =
            (const stage_entry *)(const void *)stage->entries.rows + i;
        cat_account *account = &catalogue->accounts[row->entry.account];

        catalogue->entries[account->first_entry + account->entry_count++] =
            row->entry;
    }
}

typedef struct key_place {
    uint8_t digest[CAT_KEY_DIGEST_SIZE];
    uint32_t account;
} key_place;

static int
compare_keys(const void *a, const void *b)
{
    return memcmp(a, b, CAT_KEY_DIGEST_SIZE);
}

static bool
index_keys(cat_catalogue *catalogue, const cat_stage *stage, err_list *errors)
{
    key_place *keys = NULL;

    if (!make_table(&keys, catalogue->account_count, sizeof *keys)) {
        return false;
    }
    for (uint32_t i = 0; i < catalogue->account_count; i++) {
        memcpy(keys[i].digest, catalogue->accounts[i].key_digest,
               CAT_KEY_DIGEST_SIZE);
        keys[i].account = i;
    }
    qsort(keys, catalogue->account_count, sizeof *keys, compare_keys);
    for (uint32_t i = 0; i < catalogue->account_count; i++) {
        const row_entry *at = &stage->accounts.entries[keys[i].account];

        catalogue->key_index[i] = keys[i].account;
        if (i > 0 && compare_keys(&keys[i - 1], &keys[i]) == 0) {
            err_list_add(errors, at->file, at->line, ERR_CONFLICT,
                         "give each account a key of its own",
                         "account \"%s\" has the key_digest of account \"%s\"",
                         catalogue->accounts[keys[i].account].name,
                         catalogue->accounts[keys[i - 1].account].name);
        }
    }
    free(keys);
    return true;
}

static bool
make_tables(cat_catalogue *catalogue, const cat_stage *stage)
{
    catalogue->pool_count = stage->pools.count;
    catalogue->route_count = stage->routes.count;
    catalogue->model_count = stage->models.count;
    catalogue->account_count = stage->accounts.count;
    catalogue->entry_count = stage->entries.count;
    return make_table(&catalogue->pools, catalogue->pool_count,
                      sizeof *catalogue->pools) &&
           make_table(&catalogue->routes, catalogue->route_count,
                      sizeof *catalogue->routes) &&
           make_table(&catalogue->models, catalogue->model_count,
                      sizeof *catalogue->models) &&
           make_table(&catalogue->accounts, catalogue->account_count,
                      sizeof *catalogue->accounts) &&
           make_table(&catalogue->entries, catalogue->entry_count,
                      sizeof *catalogue->entries) &&
           make_table(&catalogue->key_index, catalogue->account_count,
                      sizeof *catalogue->key_index);
}

static bool
build(cat_catalogue *catalogue, const cat_stage *stage, err_list *errors)
{
    if (!make_tables(catalogue, stage)) {
        return false;
    }
    catalogue->revision = stage->revision;
    for (uint32_t i = 0; i < catalogue->pool_count; i++) {
        const stage_pool *row = row_at(&stage->pools, i);

        catalogue->pools[i] = row->pool;
    }
    for (uint32_t i = 0; i < catalogue->route_count; i++) {
        const stage_route *row = row_at(&stage->routes, i);

        catalogue->routes[i] = row->route;
    }
    qsort(catalogue->routes, catalogue->route_count, sizeof *catalogue->routes,
          compare_routes);
    for (uint32_t i = 0; i < catalogue->model_count; i++) {
        const stage_model *row = row_at(&stage->models, i);

        catalogue->models[i] = row->model;
    }
    for (uint32_t i = 0; i < catalogue->account_count; i++) {
        const stage_account *row = row_at(&stage->accounts, i);

        catalogue->accounts[i] = row->account;
    }
    place_entries(catalogue, stage);
    return index_keys(catalogue, stage, errors);
}

bool
cat_init(cat_catalogue *catalogue, const cat_part *parts, size_t count,
         err_list *errors)
{
    return cat_init_cached(catalogue, NULL, parts, count, errors);
}

bool
cat_init_cached(cat_catalogue *catalogue, cat_cache *cache,
                const cat_part *parts, size_t count, err_list *errors)
{
    cat_stage stage;
    bool has_memory;

    memset(catalogue, 0, sizeof *catalogue);
    err_list_init(errors);
    if (count == 0) {
        err_list_add(errors, "catalogue", 0, ERR_UNAVAILABLE,
                     "give the head part", "no part was given");
        return false;
    }
    cat_stage_init(&stage, errors);
    stage.cache = cache;
    has_memory = !stage.has_failed;
    for (size_t i = 0; has_memory && i < count; i++) {
        cat_stage_read(&stage, &parts[i], (uint32_t)i);
    }
    has_memory = has_memory && cat_stage_has_memory(&stage);
    if (has_memory) {
        cat_stage_check(&stage, parts, count);
    }
    if (has_memory && errors->count == 0) {
        has_memory = build(catalogue, &stage, errors);
        catalogue->digest = cat_digest_part(parts[0].text, parts[0].size);
    }
    cat_stage_finish(&stage);
    if (!has_memory) {
        err_list_add(errors, parts[0].name, 0, ERR_MEMORY,
                     "give the process more memory",
                     "memory for the catalogue could not be had");
    }
    if (cache != NULL) {
        cat_cache_settle(cache, errors->count == 0);
    }
    if (errors->count > 0) {
        cat_finish(catalogue);
        return false;
    }
    return true;
}

void
cat_finish(cat_catalogue *catalogue)
{
    free(catalogue->pools);
    free(catalogue->routes);
    free(catalogue->models);
    free(catalogue->accounts);
    free(catalogue->entries);
    free(catalogue->key_index);
    memset(catalogue, 0, sizeof *catalogue);
}

bool
cat_read_head(const cat_part *head, uint64_t *revision, uint64_t *digests,
              size_t capacity, size_t *count, err_error *error)
{
    cat_stage stage;
    err_list errors;
    bool is_good = false;

    err_list_init(&errors);
    cat_stage_init(&stage, &errors);
    stage.ignores_rest = true;
    if (stage.has_failed) {
        err_set(error, ERR_MEMORY, "give the process more memory",
                "memory for the catalogue's head could not be had");
        goto done;
    }
    cat_stage_read(&stage, head, 0);
    if (errors.count == 0 && !stage.has_head) {
        err_list_add(&errors, head->name, 0, ERR_SYNTAX,
                     "add [catalogue] with a line revision = N",
                     "the head has no section [catalogue]");
    }
    for (uint32_t i = 0; i < stage.part_count && errors.count == 0; i++) {
        if (!stage.has_digest[i]) {
            err_list_add(&errors, head->name, 0, ERR_CONFLICT,
                         "add the line to [digest]",
                         "[digest] has no line for part %u", i + 1);
        }
    }
    if (errors.count > 0) {
        err_set(error, errors.items[0].error.kind,
                errors.items[0].error.remedy, "line %d: %s",
                errors.items[0].line, errors.items[0].error.message);
        goto done;
    }
    if (digests != NULL && stage.part_count > capacity) {
        err_set(error, ERR_LIMIT, "cut the catalogue into fewer parts",
                "the head names %u parts, at most %zu fit", stage.part_count,
                capacity);
        goto done;
    }
    *revision = stage.revision;
    *count = stage.part_count;
    if (digests != NULL) {
        memcpy(digests, stage.digests, stage.part_count * sizeof *digests);
    }
    is_good = true;
done:
    cat_stage_finish(&stage);
    return is_good;
}
