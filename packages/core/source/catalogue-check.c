#include "catalogue-imp.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define BY_MODEL "by-model"

uint64_t
cat_digest_part(const char *text, size_t size)
{
    return XXH64(text, size, 0);
}

static void
report(cat_stage *stage, const row_table *table, uint32_t place, err_kind kind,
       const char *remedy, const char *what, const char *name,
       const char *fault)
{
    const row_entry *at = &table->entries[place];

    err_list_add(stage->reader.errors, at->file, at->line, kind, remedy,
                 "%s \"%s\" %s", what, name, fault);
}

static void
check_head(cat_stage *stage, const cat_part *parts, size_t count)
{
    if (!stage->has_head) {
        err_list_add(stage->reader.errors, parts[0].name, 0, ERR_SYNTAX,
                     "add [catalogue] with a line revision = N",
                     "the head has no section [catalogue]");
        return;
    }
    if (stage->part_count != count - 1) {
        err_list_add(stage->reader.errors, parts[0].name, 0, ERR_CONFLICT,
                     "write the number of account parts, or add the parts",
                     "the head says parts = %" PRIu32 ", but %zu were given",
                     stage->part_count, count - 1);
    }
    for (uint32_t i = stage->part_count; i < CAT_PARTS_MAX; i++) {
        if (stage->has_digest[i]) {
            err_list_add(stage->reader.errors, parts[0].name, 0, ERR_CONFLICT,
                         "take the line out, or write the number of parts",
                         "[digest] names part %" PRIu32 " of %" PRIu32, i + 1,
                         stage->part_count);
        }
    }
}

static void
check_digest(cat_stage *stage, const cat_part *parts, uint32_t part)
{
    uint64_t digest = stage->found[part];
    char remedy[ERR_REMEDY_SIZE];

    snprintf(remedy, sizeof remedy,
             "write %" PRIu32 " = %016" PRIx64 " under [digest]", part,
             digest);
    if (!stage->has_digest[part - 1]) {
        err_list_add(stage->reader.errors, parts[0].name, 0, ERR_CONFLICT,
                     remedy, "[digest] has no line for part %" PRIu32, part);
    }
    else if (stage->digests[part - 1] != digest) {
        err_list_add(stage->reader.errors, parts[part].name, 0, ERR_CONFLICT,
                     remedy,
                     "the text is not the one that the head's [digest] names");
    }
}

static void
check_routes(cat_stage *stage)
{
    for (uint32_t i = 0; i < stage->routes.count; i++) {
        stage_route *row = row_at(&stage->routes, i);

        row->route.pool = LV_HANDLE_NONE;
        if (row->pool[0] == '\0') {
            continue;
        }
        if (strcmp(row->pool, BY_MODEL) == 0) {
            if (stage->models.count == 0) {
                report(stage, &stage->routes, i, ERR_CONFLICT,
                       "add a [model NAME], or name a pool", "route",
                       row->route.path, "goes by model, but there is none");
            }
            continue;
        }
        row->route.pool = row_find(&stage->pools, lv_hash_name(row->pool));
        if (row->route.pool == LV_HANDLE_NONE) {
            report(stage, &stage->routes, i, ERR_UNKNOWN_NAME,
                   "add the [pool NAME], or write the name of one", "route",
                   row->route.path, "names a pool that is not there");
        }
    }
}

static void
check_models(cat_stage *stage)
{
    for (uint32_t i = 0; i < stage->models.count; i++) {
        stage_model *row = row_at(&stage->models, i);
        const stage_pool *pool;

        if (row->pool[0] == '\0') {
            continue;
        }
        row->model.pool = row_find(&stage->pools, lv_hash_name(row->pool));
        if (row->model.pool == LV_HANDLE_NONE) {
            report(stage, &stage->models, i, ERR_UNKNOWN_NAME,
                   "add the [pool NAME], or write the name of one", "model",
                   row->model.name, "names a pool that is not there");
            continue;
        }
        pool = row_at(&stage->pools, row->model.pool);
        if (pool->pool.kind != CAT_POOL_ENGINE) {
            report(stage, &stage->models, i, ERR_CONFLICT,
                   "write the name of a pool of kind = engine", "model",
                   row->model.name, "is in a service pool");
        }
    }
}

static void
check_entries(cat_stage *stage)
{
    for (uint32_t i = 0; i < stage->entries.count; i++) {
        stage_entry *row = row_at(&stage->entries, i);
        lv_handle account =
            row_find(&stage->accounts, lv_hash_name(row->account));
        stage_account *owner;

        row->entry.account = account;
        if (account == LV_HANDLE_NONE) {
            report(stage, &stage->entries, i, ERR_UNKNOWN_NAME,
                   "add the [account NAME], or take the entry out", "entry",
                   row->full_name, "has an account that is not there");
            continue;
        }
        owner = row_at(&stage->accounts, account);
        owner->account.entry_count++;
    }
}

static void
check_accounts(cat_stage *stage)
{
    for (uint32_t i = 0; i < stage->accounts.count; i++) {
        const stage_account *row = row_at(&stage->accounts, i);

        if (row->account.entry_count == 0) {
            report(stage, &stage->accounts, i, ERR_CONFLICT,
                   "add an [entry ACCOUNT/CLASS], or take the account out",
                   "account", row->account.name, "has no entry");
        }
    }
}

void
cat_stage_check(cat_stage *stage, const cat_part *parts, size_t count)
{
    err_list *errors = stage->reader.errors;

    check_head(stage, parts, count);
    for (uint32_t i = 1; i < count && i <= stage->part_count; i++) {
        check_digest(stage, parts, i);
    }
    row_sort(&stage->pools, "pool", errors);
    row_sort(&stage->routes, "route", errors);
    row_sort(&stage->models, "model", errors);
    row_sort(&stage->accounts, "account", errors);
    row_sort(&stage->entries, "entry", errors);
    if (stage->pools.count == 0) {
        err_list_add(errors, parts[0].name, 0, ERR_CONFLICT,
                     "add a [pool NAME]", "the catalogue has no pool");
    }
    check_routes(stage);
    check_models(stage);
    check_entries(stage);
    check_accounts(stage);
}
