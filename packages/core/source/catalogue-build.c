#include "catalogue-imp.h"

#include <stdlib.h>
#include <string.h>

/* Sets a pointer of any type to a zeroed array; false if memory ran out. */
static bool
alloc_array(void *array, uint32_t count, size_t size)
{
    void *memory = calloc(count == 0 ? 1 : count, size);

    memcpy(array, &memory, sizeof memory);
    return memory != NULL;
}

/* Sorts the longest paths first and, of equal lengths, exact routes first. */
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

/* Copies the entries in the order of their accounts, those of one account in
 * the order of the texts. */
static void
group_entries(cat_catalogue *catalogue, const cat_parser *parser)
{
    uint32_t next_entry = 0;

    for (uint32_t i = 0; i < catalogue->account_count; i++) {
        catalogue->accounts[i].first_entry = next_entry;
        next_entry += catalogue->accounts[i].entry_count;
        catalogue->accounts[i].entry_count = 0;
    }
    for (uint32_t i = 0; i < parser->entries.count; i++) {
        const entry_row *row =
            (const entry_row *)(const void *)parser->entries.rows + i;
        cat_account *account = &catalogue->accounts[row->entry.account];

        catalogue->entries[account->first_entry + account->entry_count++] =
            row->entry;
    }
}

typedef struct key_record {
    uint8_t digest[CAT_KEY_DIGEST_SIZE];
    uint32_t account;
} key_record;

static int
compare_keys(const void *a, const void *b)
{
    return memcmp(a, b, CAT_KEY_DIGEST_SIZE);
}

static bool
build_key_index(cat_catalogue *catalogue, const cat_parser *parser,
                err_list *errors)
{
    key_record *keys = NULL;

    if (!alloc_array(&keys, catalogue->account_count, sizeof *keys)) {
        return false;
    }
    for (uint32_t i = 0; i < catalogue->account_count; i++) {
        memcpy(keys[i].digest, catalogue->accounts[i].key_digest,
               CAT_KEY_DIGEST_SIZE);
        keys[i].account = i;
    }
    qsort(keys, catalogue->account_count, sizeof *keys, compare_keys);
    for (uint32_t i = 0; i < catalogue->account_count; i++) {
        const row_entry *location = &parser->accounts.entries[keys[i].account];

        catalogue->key_index[i] = keys[i].account;
        if (i > 0 && compare_keys(&keys[i - 1], &keys[i]) == 0) {
            err_list_add(errors, location->file, location->line, ERR_CONFLICT,
                         "give each account its own key",
                         "account \"%s\" has the key_digest of account \"%s\"",
                         catalogue->accounts[keys[i].account].name,
                         catalogue->accounts[keys[i - 1].account].name);
        }
    }
    free(keys);
    return true;
}

static bool
alloc_arrays(cat_catalogue *catalogue, const cat_parser *parser)
{
    catalogue->pool_count = parser->pools.count;
    catalogue->route_count = parser->routes.count;
    catalogue->model_count = parser->models.count;
    catalogue->account_count = parser->accounts.count;
    catalogue->entry_count = parser->entries.count;
    return alloc_array(&catalogue->pools, catalogue->pool_count,
                       sizeof *catalogue->pools) &&
           alloc_array(&catalogue->routes, catalogue->route_count,
                       sizeof *catalogue->routes) &&
           alloc_array(&catalogue->models, catalogue->model_count,
                       sizeof *catalogue->models) &&
           alloc_array(&catalogue->accounts, catalogue->account_count,
                       sizeof *catalogue->accounts) &&
           alloc_array(&catalogue->entries, catalogue->entry_count,
                       sizeof *catalogue->entries) &&
           alloc_array(&catalogue->key_index, catalogue->account_count,
                       sizeof *catalogue->key_index);
}

static bool
build_catalogue(cat_catalogue *catalogue, const cat_parser *parser,
                err_list *errors)
{
    if (!alloc_arrays(catalogue, parser)) {
        return false;
    }
    catalogue->revision = parser->revision;
    for (uint32_t i = 0; i < catalogue->pool_count; i++) {
        const pool_row *row = row_at(&parser->pools, i);

        catalogue->pools[i] = row->pool;
    }
    for (uint32_t i = 0; i < catalogue->route_count; i++) {
        const route_row *row = row_at(&parser->routes, i);

        catalogue->routes[i] = row->route;
    }
    qsort(catalogue->routes, catalogue->route_count, sizeof *catalogue->routes,
          compare_routes);
    for (uint32_t i = 0; i < catalogue->model_count; i++) {
        const model_row *row = row_at(&parser->models, i);

        catalogue->models[i] = row->model;
    }
    for (uint32_t i = 0; i < catalogue->account_count; i++) {
        const account_row *row = row_at(&parser->accounts, i);

        catalogue->accounts[i] = row->account;
    }
    group_entries(catalogue, parser);
    return build_key_index(catalogue, parser, errors);
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
    cat_parser parser;
    bool has_memory;

    memset(catalogue, 0, sizeof *catalogue);
    err_list_init(errors);
    if (count == 0) {
        err_list_add(errors, "catalogue", 0, ERR_UNAVAILABLE,
                     "provide at least the head part",
                     "the catalogue has no parts");
        return false;
    }
    cat_parser_init(&parser, errors);
    parser.cache = cache;
    has_memory = !parser.is_out_of_memory;
    for (size_t i = 0; has_memory && i < count; i++) {
        cat_parser_read(&parser, &parts[i], (uint32_t)i);
    }
    has_memory = has_memory && cat_parser_has_memory(&parser);
    if (has_memory) {
        cat_parser_validate(&parser, parts, count);
    }
    if (has_memory && errors->count == 0) {
        has_memory = build_catalogue(catalogue, &parser, errors);
        catalogue->digest = cat_digest_part(parts[0].text, parts[0].size);
    }
    cat_parser_finish(&parser);
    if (!has_memory) {
        err_list_add(errors, parts[0].name, 0, ERR_MEMORY,
                     "give the process more memory",
                     "out of memory for the catalogue");
    }
    if (cache != NULL) {
        cat_cache_evict(cache, errors->count == 0);
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
    cat_parser parser;
    err_list errors;
    bool is_valid = false;

    err_list_init(&errors);
    cat_parser_init(&parser, &errors);
    parser.reads_head_only = true;
    if (parser.is_out_of_memory) {
        err_set(error, ERR_MEMORY, "give the process more memory",
                "out of memory for the head of the catalogue");
        goto done;
    }
    cat_parser_read(&parser, head, 0);
    if (errors.count == 0 && !parser.has_head) {
        err_list_add(&errors, head->name, 0, ERR_SYNTAX,
                     "add [catalogue] with a line revision = N",
                     "the head has no section [catalogue]");
    }
    for (uint32_t i = 0; i < parser.part_count && errors.count == 0; i++) {
        if (!parser.has_digest[i]) {
            err_list_add(&errors, head->name, 0, ERR_CONFLICT,
                         "add N = DIGEST to [digest] for each part",
                         "[digest] has no line for part %u", i + 1);
        }
    }
    if (errors.count > 0) {
        err_set(error, errors.items[0].error.kind,
                errors.items[0].error.remedy, "line %d: %s",
                errors.items[0].line, errors.items[0].error.message);
        goto done;
    }
    if (digests != NULL && parser.part_count > capacity) {
        err_set(error, ERR_LIMIT, "split the catalogue into fewer parts",
                "the head lists %u parts, the maximum is %zu",
                parser.part_count, capacity);
        goto done;
    }
    *revision = parser.revision;
    *count = parser.part_count;
    if (digests != NULL) {
        memcpy(digests, parser.head_digests,
               parser.part_count * sizeof *digests);
    }
    is_valid = true;
done:
    cat_parser_finish(&parser);
    return is_valid;
}
