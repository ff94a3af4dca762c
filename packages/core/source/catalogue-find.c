#include <string.h>

#include "lavender/catalogue.h"
#include "rows-imp.h"

lv_handle
cat_find_account(const cat_catalogue *catalogue, lv_id id)
{
    return row_bsearch_id(catalogue->accounts, catalogue->account_count,
                          sizeof(cat_account), offsetof(cat_account, id), id);
}

lv_handle
cat_find_pool(const cat_catalogue *catalogue, lv_id id)
{
    return row_bsearch_id(catalogue->pools, catalogue->pool_count,
                          sizeof(cat_pool), offsetof(cat_pool, id), id);
}

lv_handle
cat_find_model(const cat_catalogue *catalogue, const char *name)
{
    return row_bsearch_id(catalogue->models, catalogue->model_count,
                          sizeof(cat_model), offsetof(cat_model, id),
                          lv_hash_name(name));
}

/* Compares in constant time, independent of where the digests differ. */
static bool
digests_equal(const uint8_t *a, const uint8_t *b)
{
    uint8_t difference = 0;

    for (size_t i = 0; i < CAT_KEY_DIGEST_SIZE; i++) {
        difference |= a[i] ^ b[i];
    }
    return difference == 0;
}

lv_handle
cat_find_account_by_key(const cat_catalogue *catalogue,
                        const uint8_t digest[CAT_KEY_DIGEST_SIZE])
{
    uint32_t low = 0;
    uint32_t high = catalogue->account_count;
    uint32_t account;

    while (low < high) {
        uint32_t middle = low + (high - low) / 2;

        account = catalogue->key_index[middle];
        if (memcmp(catalogue->accounts[account].key_digest, digest,
                   CAT_KEY_DIGEST_SIZE) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    if (low == catalogue->account_count) {
        return LV_HANDLE_NONE;
    }
    account = catalogue->key_index[low];
    if (!digests_equal(catalogue->accounts[account].key_digest, digest)) {
        return LV_HANDLE_NONE;
    }
    return account;
}

/* The routes are sorted by length, the longest first. */
lv_handle
cat_find_route(const cat_catalogue *catalogue, const char *path, size_t length)
{
    for (uint32_t i = 0; i < catalogue->route_count; i++) {
        const cat_route *route = &catalogue->routes[i];
        size_t route_length = strlen(route->path);

        if (route_length <= length &&
            memcmp(route->path, path, route_length) == 0 &&
            (route->is_prefix || route_length == length)) {
            return i;
        }
    }
    return LV_HANDLE_NONE;
}

lv_handle
cat_find_entry(const cat_catalogue *catalogue, lv_handle account,
               const char *class_name)
{
    const cat_account *owner;

    if (account >= catalogue->account_count) {
        return LV_HANDLE_NONE;
    }
    owner = &catalogue->accounts[account];
    for (uint32_t i = 0; i < owner->entry_count; i++) {
        lv_handle entry = owner->first_entry + i;

        if (class_name == NULL ||
            strcmp(catalogue->entries[entry].class_name, class_name) == 0) {
            return entry;
        }
    }
    return LV_HANDLE_NONE;
}
