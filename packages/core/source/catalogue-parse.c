#include "catalogue-imp.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lavender/value.h"

#define MAX_WEIGHT 1000000
#define MAX_COUNT 1000000
#define MAX_COST UINT64_C(1000000000000) /* service units */
#define MAX_IDLE_TIMEOUT (10 * LV_SECOND)
#define MAX_DEADLINE (86400 * LV_SECOND)
#define MAX_BODY_SIZE (UINT64_C(1) << 30)  /* bytes */
#define MAX_MODEL_SIZE (UINT64_C(1) << 50) /* bytes */
#define MAX_SHARD_ENDPOINTS 64
#define DEFAULT_IDLE_TIMEOUT (5 * LV_MILLISECOND)
#define DEFAULT_BODY_SIZE (UINT64_C(1) << 20) /* bytes */

typedef enum section_index {
    SECTION_CATALOGUE,
    SECTION_DIGEST,
    SECTION_POOL,
    SECTION_ROUTE,
    SECTION_MODEL,
    SECTION_ACCOUNT,
    SECTION_ENTRY,
    SECTION_COUNT
} section_index;

static const char *const kind_words[] = {"engine", "service", NULL};
static const char *const fencing_words[] = {"ignored", "checked", NULL};
static const char *const match_words[] = {"exact", "prefix", NULL};
static const char *const priority_words[] = {"urgent", "deferrable", NULL};

static const conf_key catalogue_keys[] = {
    {.name = "revision",
     .type = CONF_COUNT64,
     .offset = offsetof(cat_parser, revision),
     .is_required = true,
     .min = 1,
     .max = INT64_MAX},
    {.name = "parts",
     .type = CONF_COUNT32,
     .offset = offsetof(cat_parser, part_count),
     .min = 0,
     .max = CAT_MAX_PARTS},
};

/* Indices in pool_keys of the keys that are checked together. */
typedef enum pool_key {
    POOL_KIND,
    POOL_SLOTS,
    POOL_INPUT_WEIGHT,
    POOL_OUTPUT_WEIGHT,
    POOL_FENCING
} pool_key;

static const conf_key pool_keys[] = {
    [POOL_KIND] = {.name = "kind",
                   .type = CONF_CHOICE,
                   .offset = offsetof(pool_row, pool.kind),
                   .is_required = true,
                   .choices = kind_words},
    [POOL_SLOTS] = {.name = "slots",
                    .type = CONF_COUNT32,
                    .offset = offsetof(pool_row, pool.slots),
                    .is_required = true,
                    .min = 1,
                    .max = MAX_COUNT},
    [POOL_INPUT_WEIGHT] = {.name = "input_weight",
                           .type = CONF_COUNT32,
                           .offset = offsetof(pool_row, pool.input_weight),
                           .min = 0,
                           .max = MAX_WEIGHT},
    [POOL_OUTPUT_WEIGHT] = {.name = "output_weight",
                            .type = CONF_COUNT32,
                            .offset = offsetof(pool_row, pool.output_weight),
                            .min = 1,
                            .max = MAX_WEIGHT},
    [POOL_FENCING] = {.name = "fencing",
                      .type = CONF_CHOICE,
                      .offset = offsetof(pool_row, fencing),
                      .choices = fencing_words},
    {.name = "quantum",
     .type = CONF_COUNT64,
     .offset = offsetof(pool_row, pool.quantum),
     .is_required = true,
     .min = 1,
     .max = MAX_COST},
    {.name = "urgent_credit",
     .type = CONF_COUNT64,
     .offset = offsetof(pool_row, pool.urgent_credit),
     .min = 0,
     .max = MAX_COST},
    {.name = "hold",
     .type = CONF_TIME,
     .offset = offsetof(pool_row, pool.idle_timeout),
     .min = 0,
     .max = MAX_IDLE_TIMEOUT},
    {.name = "default_cost",
     .type = CONF_COUNT64,
     .offset = offsetof(pool_row, pool.default_cost),
     .is_required = true,
     .min = 1,
     .max = MAX_COST},
    {.name = "shard_endpoints",
     .type = CONF_COUNT32,
     .offset = offsetof(pool_row, pool.shard_endpoints),
     .min = 1,
     .max = MAX_SHARD_ENDPOINTS},
};

static const conf_key route_keys[] = {
    {.name = "pool",
     .type = CONF_NAME,
     .offset = offsetof(route_row, pool),
     .is_required = true},
    {.name = "idempotent",
     .type = CONF_BOOL,
     .offset = offsetof(route_row, route.idempotent),
     .is_required = true},
    {.name = "match",
     .type = CONF_CHOICE,
     .offset = offsetof(route_row, match),
     .choices = match_words},
};

static const conf_key model_keys[] = {
    {.name = "pool",
     .type = CONF_NAME,
     .offset = offsetof(model_row, pool),
     .is_required = true},
    {.name = "copies",
     .type = CONF_COUNT32,
     .offset = offsetof(model_row, model.copies),
     .is_required = true,
     .min = 1,
     .max = MAX_COUNT,
     .zero_keyword = "all"},
    {.name = "size",
     .type = CONF_SIZE,
     .offset = offsetof(model_row, model.size),
     .is_required = true,
     .min = 1,
     .max = MAX_MODEL_SIZE},
};

static const conf_key account_keys[] = {
    {.name = "weight",
     .type = CONF_COUNT32,
     .offset = offsetof(account_row, account.weight),
     .is_required = true,
     .min = 1,
     .max = MAX_WEIGHT},
    {.name = "key_digest",
     .type = CONF_HEX,
     .offset = offsetof(account_row, account.key_digest),
     .is_required = true,
     .size = CAT_KEY_DIGEST_SIZE},
};

/* Indices in entry_keys of the keys that are checked together. */
typedef enum entry_key {
    ENTRY_PRIORITY,
    ENTRY_RATE,
    ENTRY_BURST
} entry_key;

static const conf_key entry_keys[] = {
    [ENTRY_PRIORITY] = {.name = "priority",
                        .type = CONF_CHOICE,
                        .offset = offsetof(entry_row, entry.priority),
                        .is_required = true,
                        .choices = priority_words},
    [ENTRY_RATE] = {.name = "requests_per_second",
                    .type = CONF_COUNT32,
                    .offset =
                        offsetof(entry_row, entry.limits.requests_per_second),
                    .min = 1,
                    .max = MAX_COUNT},
    [ENTRY_BURST] = {.name = "burst",
                     .type = CONF_COUNT32,
                     .offset = offsetof(entry_row, entry.limits.burst),
                     .min = 1,
                     .max = MAX_COUNT},
    {.name = "in_flight",
     .type = CONF_COUNT32,
     .offset = offsetof(entry_row, entry.limits.in_flight),
     .min = 1,
     .max = MAX_COUNT},
    {.name = "waiting",
     .type = CONF_COUNT32,
     .offset = offsetof(entry_row, entry.limits.waiting),
     .min = 1,
     .max = MAX_COUNT},
    {.name = "body",
     .type = CONF_SIZE,
     .offset = offsetof(entry_row, entry.limits.body),
     .min = 1,
     .max = MAX_BODY_SIZE},
    {.name = "deadline",
     .type = CONF_TIME,
     .offset = offsetof(entry_row, entry.limits.deadline),
     .is_required = true,
     .min = LV_MILLISECOND,
     .max = MAX_DEADLINE},
};

#define KEYS(table)                                                           \
    .keys = (table), .key_count = sizeof(table) / sizeof *(table)

static const conf_section sections[SECTION_COUNT] = {
    [SECTION_CATALOGUE] = {.type = "catalogue", KEYS(catalogue_keys)},
    [SECTION_DIGEST] = {.type = "digest"},
    [SECTION_POOL] = {.type = "pool", .has_name = true, KEYS(pool_keys)},
    [SECTION_ROUTE] = {.type = "route", .has_name = true, KEYS(route_keys)},
    [SECTION_MODEL] = {.type = "model", .has_name = true, KEYS(model_keys)},
    [SECTION_ACCOUNT] = {.type = "account",
                         .has_name = true,
                         KEYS(account_keys)},
    [SECTION_ENTRY] = {.type = "entry", .has_name = true, KEYS(entry_keys)},
};

static void
report_error(cat_parser *parser, int line, const err_error *error,
             const char *subject)
{
    err_list_add(parser->reader.errors, parser->reader.file, line, error->kind,
                 error->remedy, "%s: %s", subject, error->message);
}

static bool
copy_name(cat_parser *parser, int line, const char *name, char *target,
          const char *subject)
{
    err_error error;

    if (val_check_name(name, &error)) {
        return lv_copy_name(target, LV_NAME_SIZE, name);
    }
    report_error(parser, line, &error, subject);
    return false;
}

static void *
open_head(cat_parser *parser, uint32_t section, int line)
{
    if (!parser->is_head_part) {
        err_list_add(parser->reader.errors, parser->reader.file, line,
                     ERR_CONFLICT, "move the section to the head part",
                     "[%s] is valid in the head part only",
                     sections[section].type);
        return NULL;
    }
    if (section == SECTION_CATALOGUE) {
        if (parser->has_head) {
            err_list_add(parser->reader.errors, parser->reader.file, line,
                         ERR_CONFLICT, "keep one of them",
                         "[catalogue] is given twice");
            return NULL;
        }
        parser->has_head = true;
    }
    return parser;
}

/* Adds a row with the name of its section. Returns NULL after an error. */
static void *
add_row(cat_parser *parser, row_table *table, const char *name, int line,
        const char *subject)
{
    char copy[LV_NAME_SIZE] = "";
    char *row;

    if (!copy_name(parser, line, name, copy, subject)) {
        return NULL;
    }
    row = row_add(table, parser->reader.file, line);
    if (row != NULL) {
        memcpy(row, copy, sizeof copy);
    }
    return row;
}

static void *
open_pool(cat_parser *parser, const char *name, int line)
{
    pool_row *row = add_row(parser, &parser->pools, name, line, "pool");

    if (row != NULL) {
        row->pool.id = lv_hash_name(name);
        row->pool.idle_timeout = DEFAULT_IDLE_TIMEOUT;
        row->pool.shard_endpoints = MAX_SHARD_ENDPOINTS;
    }
    return row;
}

static void *
open_model(cat_parser *parser, const char *name, int line)
{
    model_row *row = add_row(parser, &parser->models, name, line, "model");

    if (row != NULL) {
        row->model.id = lv_hash_name(name);
    }
    return row;
}

static void *
open_account(cat_parser *parser, const char *name, int line)
{
    account_row *row =
        add_row(parser, &parser->accounts, name, line, "account");

    if (row != NULL) {
        row->account.id = lv_hash_name(name);
    }
    return row;
}

static void *
open_route(cat_parser *parser, const char *path, int line)
{
    route_row *row;

    if (path[0] != '/' || strlen(path) >= sizeof row->route.path ||
        strpbrk(path, "?# \t") != NULL) {
        err_list_add(parser->reader.errors, parser->reader.file, line,
                     ERR_BAD_VALUE,
                     "write a path that begins with '/'; no '?', '#' or space",
                     "route: found \"%.100s\"", path);
        return NULL;
    }
    row = row_add(&parser->routes, parser->reader.file, line);
    if (row != NULL) {
        lv_copy_name(row->route.path, sizeof row->route.path, path);
    }
    return row;
}

static void *
open_entry(cat_parser *parser, const char *name, int line)
{
    const char *slash = strchr(name, '/');
    char account[CAT_FULL_NAME_SIZE] = "";
    char class_name[LV_NAME_SIZE] = "";
    entry_row *row;

    if (slash == NULL || (size_t)(slash - name) >= sizeof account) {
        err_list_add(parser->reader.errors, parser->reader.file, line,
                     ERR_SYNTAX, "write [entry ACCOUNT/CLASS]",
                     "entry: found \"%.100s\"", name);
        return NULL;
    }
    memcpy(account, name, (size_t)(slash - name));
    if (!copy_name(parser, line, account, account, "entry's account") ||
        !copy_name(parser, line, slash + 1, class_name, "entry's class")) {
        return NULL;
    }
    row = row_add(&parser->entries, parser->reader.file, line);
    if (row != NULL) {
        lv_copy_name(row->full_name, sizeof row->full_name, name);
        memcpy(row->account, account, sizeof row->account);
        memcpy(row->entry.class_name, class_name, sizeof class_name);
        row->entry.id = lv_hash_name(name);
        row->entry.limits.body = DEFAULT_BODY_SIZE;
    }
    return row;
}

static void *
open_section(conf_reader *reader, uint32_t section, const char *name, int line)
{
    cat_parser *parser = (cat_parser *)reader;
    void *record = NULL;

    if (section == SECTION_CATALOGUE || section == SECTION_DIGEST) {
        return open_head(parser, section, line);
    }
    if (parser->reads_head_only) {
        return NULL;
    }
    switch ((section_index)section) {
    case SECTION_POOL:
        record = open_pool(parser, name, line);
        break;
    case SECTION_ROUTE:
        record = open_route(parser, name, line);
        break;
    case SECTION_MODEL:
        record = open_model(parser, name, line);
        break;
    case SECTION_ACCOUNT:
        record = open_account(parser, name, line);
        break;
    default:
        record = open_entry(parser, name, line);
        break;
    }
    return record;
}

static void
read_digest_line(conf_reader *reader, uint32_t section, const char *key,
                 const char *value, int line)
{
    cat_parser *parser = (cat_parser *)reader;
    uint8_t bytes[sizeof(uint64_t)];
    uint64_t part = 0;
    uint64_t digest = 0;
    err_error error;

    (void)section;
    if (!val_parse_uint(key, 1, CAT_MAX_PARTS, &part, &error)) {
        report_error(parser, line, &error, "number of a part");
        return;
    }
    if (!val_parse_hex(value, bytes, sizeof bytes, &error)) {
        report_error(parser, line, &error, "digest of the part");
        return;
    }
    for (size_t i = 0; i < sizeof bytes; i++) {
        digest = digest << 8 | bytes[i];
    }
    if (parser->has_digest[part - 1]) {
        err_list_add(reader->errors, reader->file, line, ERR_CONFLICT,
                     "keep one of the lines",
                     "the digest of part %" PRIu64 " is given twice", part);
        return;
    }
    parser->has_digest[part - 1] = true;
    parser->head_digests[part - 1] = digest;
}

static bool
has_key(uint64_t seen, uint32_t key)
{
    return (seen >> key & 1) != 0;
}

static void
close_pool(cat_parser *parser, pool_row *row, int line, uint64_t seen)
{
    cat_pool *pool = &row->pool;
    bool has_weights =
        has_key(seen, POOL_INPUT_WEIGHT) && has_key(seen, POOL_OUTPUT_WEIGHT);
    bool has_any_weight =
        has_key(seen, POOL_INPUT_WEIGHT) || has_key(seen, POOL_OUTPUT_WEIGHT);

    pool->checks_fencing = row->fencing == 1;
    if (!has_key(seen, POOL_KIND)) {
        return;
    }
    if (pool->kind == CAT_POOL_ENGINE && !has_weights) {
        err_list_add(parser->reader.errors, parser->reader.file, line,
                     ERR_CONFLICT, "add input_weight and output_weight",
                     "engine pool \"%s\" is without weights of tokens",
                     pool->name);
    }
    if (pool->kind == CAT_POOL_SERVICE && has_any_weight) {
        err_list_add(parser->reader.errors, parser->reader.file, line,
                     ERR_CONFLICT, "remove input_weight and output_weight",
                     "service pool \"%s\" has token weights", pool->name);
    }
    if (pool->kind == CAT_POOL_SERVICE && has_key(seen, POOL_FENCING)) {
        err_list_add(parser->reader.errors, parser->reader.file, line,
                     ERR_CONFLICT, "remove fencing: services get no orders",
                     "service pool \"%s\" has fencing", pool->name);
    }
}

static void
close_entry(cat_parser *parser, entry_row *row, int line, uint64_t seen)
{
    cat_limits *limits = &row->entry.limits;

    if (has_key(seen, ENTRY_BURST) && !has_key(seen, ENTRY_RATE)) {
        err_list_add(parser->reader.errors, parser->reader.file, line,
                     ERR_CONFLICT, "add requests_per_second or remove burst",
                     "entry \"%s\" has burst without requests_per_second",
                     row->full_name);
    }
    if (!has_key(seen, ENTRY_BURST)) {
        limits->burst = limits->requests_per_second;
    }
}

static void
close_section(conf_reader *reader, uint32_t section, void *record, int line,
              uint64_t seen)
{
    cat_parser *parser = (cat_parser *)reader;

    if (section == SECTION_POOL) {
        close_pool(parser, record, line, seen);
    }
    else if (section == SECTION_ROUTE) {
        route_row *row = record;

        row->route.is_prefix = row->match == 1;
        snprintf(row->key, sizeof row->key, "%s%s", row->route.path,
                 row->route.is_prefix ? "*" : "");
    }
    else if (section == SECTION_ENTRY) {
        close_entry(parser, record, line, seen);
    }
}

static const conf_reader_ops reader_ops = {
    .open_section = open_section,
    .read_key = read_digest_line,
    .close_section = close_section,
};

void
cat_parser_init(cat_parser *parser, err_list *errors)
{
    memset(parser, 0, sizeof *parser);
    parser->reader.ops = &reader_ops;
    parser->reader.sections = sections;
    parser->reader.section_count = SECTION_COUNT;
    parser->reader.errors = errors;
    row_init(&parser->pools, sizeof(pool_row));
    row_init(&parser->routes, sizeof(route_row));
    row_init(&parser->models, sizeof(model_row));
    row_init(&parser->accounts, sizeof(account_row));
    row_init(&parser->entries, sizeof(entry_row));
    parser->head_digests = calloc(CAT_MAX_PARTS, sizeof *parser->head_digests);
    parser->has_digest = calloc(CAT_MAX_PARTS, sizeof *parser->has_digest);
    parser->digests = calloc(CAT_MAX_PARTS + 1, sizeof *parser->digests);
    parser->is_out_of_memory = parser->head_digests == NULL ||
                               parser->has_digest == NULL ||
                               parser->digests == NULL;
}

void
cat_parser_finish(cat_parser *parser)
{
    row_finish(&parser->pools);
    row_finish(&parser->routes);
    row_finish(&parser->models);
    row_finish(&parser->accounts);
    row_finish(&parser->entries);
    free(parser->head_digests);
    free(parser->has_digest);
    free(parser->digests);
}

/* Counts rows that only the head should add; the cache has no such rows. */
static uint32_t
count_head_rows(const cat_parser *parser)
{
    return parser->pools.count + parser->routes.count + parser->models.count;
}

void
cat_parser_read(cat_parser *parser, const cat_part *part, uint32_t number)
{
    uint32_t first_account = parser->accounts.count;
    uint32_t first_entry = parser->entries.count;
    uint32_t old_rows = count_head_rows(parser);
    size_t old_errors = parser->reader.errors->count;

    parser->is_head_part = number == 0;
    if (part->size > CAT_PART_SIZE) {
        err_list_add(parser->reader.errors, part->name, 0, ERR_LIMIT,
                     "split the catalogue into more parts",
                     "the part has %zu bytes, the maximum is %zu", part->size,
                     CAT_PART_SIZE);
        return;
    }
    if (number > CAT_MAX_PARTS) {
        return;
    }
    if (number > 0) {
        parser->digests[number] = cat_digest_part(part->text, part->size);
        if (cat_cache_restore(parser, part, number)) {
            return;
        }
    }
    conf_read(&parser->reader, part->name, part->text, part->size);
    if (number > 0 && parser->reader.errors->count == old_errors &&
        count_head_rows(parser) == old_rows && cat_parser_has_memory(parser)) {
        cat_cache_store(parser, part, number, first_account, first_entry);
    }
}

bool
cat_parser_has_memory(const cat_parser *parser)
{
    return !parser->is_out_of_memory && !parser->pools.has_failed &&
           !parser->routes.has_failed && !parser->models.has_failed &&
           !parser->accounts.has_failed && !parser->entries.has_failed;
}
