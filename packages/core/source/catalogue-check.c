#include "catalogue-imp.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define BY_MODEL_POOL "by-model" /* a route's pool is that of the model */

uint64_t
cat_digest_part(const char *text, size_t size)
{
    return XXH64(text, size, 0);
}

static void
report_row(cat_parser *parser, const row_table *table, uint32_t index,
           err_kind kind, const char *remedy, const char *row_type,
           const char *name, const char *problem)
{
    const row_entry *location = &table->entries[index];

    err_list_add(parser->reader.errors, location->file, location->line, kind,
                 remedy, "%s \"%s\" %s", row_type, name, problem);
}

static void
check_head(cat_parser *parser, const cat_part *parts, size_t count)
{
    if (!parser->has_head) {
        err_list_add(parser->reader.errors, parts[0].name, 0, ERR_SYNTAX,
                     "add [catalogue] with a line revision = N",
                     "the head has no section [catalogue]");
        return;
    }
    if (parser->part_count != count - 1) {
        err_list_add(parser->reader.errors, parts[0].name, 0, ERR_CONFLICT,
                     "correct the number of account parts or add the parts",
                     "the head has parts = %" PRIu32
                     ", but %zu account parts were given",
                     parser->part_count, count - 1);
    }
    for (uint32_t i = parser->part_count; i < CAT_MAX_PARTS; i++) {
        if (parser->has_digest[i]) {
            err_list_add(parser->reader.errors, parts[0].name, 0, ERR_CONFLICT,
                         "remove the line or correct the number of parts",
                         "[digest] names part %" PRIu32 " of %" PRIu32, i + 1,
                         parser->part_count);
        }
    }
}

static void
check_digest(cat_parser *parser, const cat_part *parts, uint32_t part)
{
    uint64_t digest = parser->digests[part];
    char remedy[ERR_REMEDY_SIZE];

    snprintf(remedy, sizeof remedy,
             "write %" PRIu32 " = %016" PRIx64 " under [digest]", part,
             digest);
    if (!parser->has_digest[part - 1]) {
        err_list_add(parser->reader.errors, parts[0].name, 0, ERR_CONFLICT,
                     remedy, "[digest] has no line for part %" PRIu32, part);
    }
    else if (parser->head_digests[part - 1] != digest) {
        err_list_add(parser->reader.errors, parts[part].name, 0, ERR_CONFLICT,
                     remedy,
                     "the digest of the text differs from that in [digest]");
    }
}

static void
check_routes(cat_parser *parser)
{
    for (uint32_t i = 0; i < parser->routes.count; i++) {
        route_row *row = row_at(&parser->routes, i);

        row->route.pool = LV_HANDLE_NONE;
        if (row->pool[0] == '\0') {
            continue;
        }
        if (strcmp(row->pool, BY_MODEL_POOL) == 0) {
            if (parser->models.count == 0) {
                report_row(
                    parser, &parser->routes, i, ERR_CONFLICT,
                    "add a [model NAME] or name a pool", "route",
                    row->route.path,
                    "takes its pool from the model, but there is no model");
            }
            continue;
        }
        row->route.pool = row_find(&parser->pools, lv_hash_name(row->pool));
        if (row->route.pool == LV_HANDLE_NONE) {
            report_row(parser, &parser->routes, i, ERR_UNKNOWN_NAME,
                       "add the [pool NAME] or name an existing pool", "route",
                       row->route.path, "names a pool that does not exist");
        }
    }
}

static void
check_models(cat_parser *parser)
{
    for (uint32_t i = 0; i < parser->models.count; i++) {
        model_row *row = row_at(&parser->models, i);
        const pool_row *pool;

        if (row->pool[0] == '\0') {
            continue;
        }
        row->model.pool = row_find(&parser->pools, lv_hash_name(row->pool));
        if (row->model.pool == LV_HANDLE_NONE) {
            report_row(parser, &parser->models, i, ERR_UNKNOWN_NAME,
                       "add the [pool NAME] or name an existing pool", "model",
                       row->model.name, "names a pool that does not exist");
            continue;
        }
        pool = row_at(&parser->pools, row->model.pool);
        if (pool->pool.kind != CAT_POOL_ENGINE) {
            report_row(parser, &parser->models, i, ERR_CONFLICT,
                       "name a pool of kind = engine", "model",
                       row->model.name, "is in a service pool");
        }
    }
}

static void
check_entries(cat_parser *parser)
{
    for (uint32_t i = 0; i < parser->entries.count; i++) {
        entry_row *row = row_at(&parser->entries, i);
        lv_handle account =
            row_find(&parser->accounts, lv_hash_name(row->account));
        account_row *owner;

        row->entry.account = account;
        if (account == LV_HANDLE_NONE) {
            report_row(parser, &parser->entries, i, ERR_UNKNOWN_NAME,
                       "add the [account NAME] or remove the entry", "entry",
                       row->full_name, "has an account that is not defined");
            continue;
        }
        owner = row_at(&parser->accounts, account);
        owner->account.entry_count++;
    }
}

static void
check_account_entries(cat_parser *parser)
{
    for (uint32_t i = 0; i < parser->accounts.count; i++) {
        const account_row *row = row_at(&parser->accounts, i);

        if (row->account.entry_count == 0) {
            report_row(parser, &parser->accounts, i, ERR_CONFLICT,
                       "add an [entry ACCOUNT/CLASS] or remove the account",
                       "account", row->account.name, "has no entry");
        }
    }
}

void
cat_parser_validate(cat_parser *parser, const cat_part *parts, size_t count)
{
    err_list *errors = parser->reader.errors;

    check_head(parser, parts, count);
    for (uint32_t i = 1; i < count && i <= parser->part_count; i++) {
        check_digest(parser, parts, i);
    }
    row_sort(&parser->pools, "pool", errors);
    row_sort(&parser->routes, "route", errors);
    row_sort(&parser->models, "model", errors);
    row_sort(&parser->accounts, "account", errors);
    row_sort(&parser->entries, "entry", errors);
    if (parser->pools.count == 0) {
        err_list_add(errors, parts[0].name, 0, ERR_CONFLICT,
                     "add a [pool NAME]", "the catalogue has no pool");
    }
    check_routes(parser);
    check_models(parser);
    check_entries(parser);
    check_account_entries(parser);
}
