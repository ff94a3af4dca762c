#include "catalogue-imp.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lavender/value.h"

#define WEIGHT_MAX 1000000
#define COUNT_MAX 1000000
#define COST_MAX UINT64_C(1000000000000) /* service units */
#define HOLD_MAX (10 * LV_SECOND)
#define DEADLINE_MAX (86400 * LV_SECOND)
#define BODY_MAX (UINT64_C(1) << 30)
#define MODEL_SIZE_MAX (UINT64_C(1) << 50)
#define SHARD_ENDPOINTS_MAX 64
#define HOLD_DEFAULT (5 * LV_MILLISECOND)
#define BODY_DEFAULT (UINT64_C(1) << 20)

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
     .offset = offsetof(cat_stage, revision),
     .is_required = true,
     .min = 1,
     .max = INT64_MAX},
    {.name = "parts",
     .type = CONF_COUNT32,
     .offset = offsetof(cat_stage, part_count),
     .min = 0,
     .max = CAT_PARTS_MAX},
};

/* A pool's keys, in the order of pool_keys. */
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
                   .offset = offsetof(stage_pool, pool.kind),
                   .is_required = true,
                   .choices = kind_words},
    [POOL_SLOTS] = {.name = "slots",
                    .type = CONF_COUNT32,
                    .offset = offsetof(stage_pool, pool.slots),
                    .is_required = true,
                    .min = 1,
                    .max = COUNT_MAX},
    [POOL_INPUT_WEIGHT] = {.name = "input_weight",
                           .type = CONF_COUNT32,
                           .offset = offsetof(stage_pool, pool.input_weight),
                           .min = 0,
                           .max = WEIGHT_MAX},
    [POOL_OUTPUT_WEIGHT] = {.name = "output_weight",
                            .type = CONF_COUNT32,
                            .offset = offsetof(stage_pool, pool.output_weight),
                            .min = 1,
                            .max = WEIGHT_MAX},
    [POOL_FENCING] = {.name = "fencing",
                      .type = CONF_CHOICE,
                      .offset = offsetof(stage_pool, fencing),
                      .choices = fencing_words},
    {.name = "quantum",
     .type = CONF_COUNT64,
     .offset = offsetof(stage_pool, pool.quantum),
     .is_required = true,
     .min = 1,
     .max = COST_MAX},
    {.name = "urgent_credit",
     .type = CONF_COUNT64,
     .offset = offsetof(stage_pool, pool.urgent_credit),
     .min = 0,
     .max = COST_MAX},
    {.name = "hold",
     .type = CONF_TIME,
     .offset = offsetof(stage_pool, pool.idle_timeout),
     .min = 0,
     .max = HOLD_MAX},
    {.name = "default_cost",
     .type = CONF_COUNT64,
     .offset = offsetof(stage_pool, pool.default_cost),
     .is_required = true,
     .min = 1,
     .max = COST_MAX},
    {.name = "shard_endpoints",
     .type = CONF_COUNT32,
     .offset = offsetof(stage_pool, pool.shard_endpoints),
     .min = 1,
     .max = SHARD_ENDPOINTS_MAX},
};

static const conf_key route_keys[] = {
    {.name = "pool",
     .type = CONF_NAME,
     .offset = offsetof(stage_route, pool),
     .is_required = true},
    {.name = "idempotent",
     .type = CONF_BOOL,
     .offset = offsetof(stage_route, route.idempotent),
     .is_required = true},
    {.name = "match",
     .type = CONF_CHOICE,
     .offset = offsetof(stage_route, match),
     .choices = match_words},
};

static const conf_key model_keys[] = {
    {.name = "pool",
     .type = CONF_NAME,
     .offset = offsetof(stage_model, pool),
     .is_required = true},
    {.name = "copies",
     .type = CONF_COUNT32,
     .offset = offsetof(stage_model, model.copies),
     .is_required = true,
     .min = 1,
     .max = COUNT_MAX,
     .zero_word = "all"},
    {.name = "size",
     .type = CONF_SIZE,
     .offset = offsetof(stage_model, model.size),
     .is_required = true,
     .min = 1,
     .max = MODEL_SIZE_MAX},
};

static const conf_key account_keys[] = {
    {.name = "weight",
     .type = CONF_COUNT32,
     .offset = offsetof(stage_account, account.weight),
     .is_required = true,
     .min = 1,
     .max = WEIGHT_MAX},
    {.name = "key_digest",
     .type = CONF_HEX,
     .offset = offsetof(stage_account, account.key_digest),
     .is_required = true,
     .size = CAT_KEY_DIGEST_SIZE},
};

/* An entry's keys, in the order of entry_keys. */
typedef enum entry_key {
    ENTRY_PRIORITY,
    ENTRY_RATE,
    ENTRY_BURST
} entry_key;

static const conf_key entry_keys[] = {
    [ENTRY_PRIORITY] = {.name = "priority",
                        .type = CONF_CHOICE,
                        .offset = offsetof(stage_entry, entry.priority),
                        .is_required = true,
                        .choices = priority_words},
    [ENTRY_RATE] = {.name = "requests_per_second",
                    .type = CONF_COUNT32,
                    .offset = offsetof(stage_entry,
                                       entry.limits.requests_per_second),
                    .min = 1,
                    .max = COUNT_MAX},
    [ENTRY_BURST] = {.name = "burst",
                     .type = CONF_COUNT32,
                     .offset = offsetof(stage_entry, entry.limits.burst),
                     .min = 1,
                     .max = COUNT_MAX},
    {.name = "in_flight",
     .type = CONF_COUNT32,
     .offset = offsetof(stage_entry, entry.limits.in_flight),
     .min = 1,
     .max = COUNT_MAX},
    {.name = "waiting",
     .type = CONF_COUNT32,
     .offset = offsetof(stage_entry, entry.limits.waiting),
     .min = 1,
     .max = COUNT_MAX},
    {.name = "body",
     .type = CONF_SIZE,
     .offset = offsetof(stage_entry, entry.limits.body),
     .min = 1,
     .max = BODY_MAX},
    {.name = "deadline",
     .type = CONF_TIME,
     .offset = offsetof(stage_entry, entry.limits.deadline),
     .is_required = true,
     .min = LV_MILLISECOND,
     .max = DEADLINE_MAX},
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
add_error(cat_stage *stage, int line, const err_error *error, const char *what)
{
    err_list_add(stage->reader.errors, stage->reader.file, line, error->kind,
                 error->remedy, "%s: %s", what, error->message);
}

static bool
take_name(cat_stage *stage, int line, const char *name, char *to,
          const char *what)
{
    err_error error;

    if (val_read_name(name, &error)) {
        return lv_copy_name(to, LV_NAME_SIZE, name);
    }
    add_error(stage, line, &error, what);
    return false;
}

static void *
open_head(cat_stage *stage, uint32_t section, int line)
{
    if (!stage->is_head) {
        err_list_add(stage->reader.errors, stage->reader.file, line,
                     ERR_CONFLICT, "move the section to the head",
                     "[%s] in a part that is not the head",
                     sections[section].type);
        return NULL;
    }
    if (section == SECTION_CATALOGUE) {
        if (stage->has_head) {
            err_list_add(stage->reader.errors, stage->reader.file, line,
                         ERR_CONFLICT, "keep one of them",
                         "[catalogue] stands twice");
            return NULL;
        }
        stage->has_head = true;
    }
    return stage;
}

/* A row for a section whose name is the row's name. */
static void *
open_named(cat_stage *stage, row_table *table, const char *name, int line,
           const char *what)
{
    char copy[LV_NAME_SIZE] = "";
    char *row;

    if (!take_name(stage, line, name, copy, what)) {
        return NULL;
    }
    row = row_add(table, stage->reader.file, line);
    if (row != NULL) {
        memcpy(row, copy, sizeof copy);
    }
    return row;
}

static void *
open_pool(cat_stage *stage, const char *name, int line)
{
    stage_pool *row = open_named(stage, &stage->pools, name, line, "pool");

    if (row != NULL) {
        row->pool.id = lv_hash_name(name);
        row->pool.idle_timeout = HOLD_DEFAULT;
        row->pool.shard_endpoints = SHARD_ENDPOINTS_MAX;
    }
    return row;
}

static void *
open_model(cat_stage *stage, const char *name, int line)
{
    stage_model *row = open_named(stage, &stage->models, name, line, "model");

    if (row != NULL) {
        row->model.id = lv_hash_name(name);
    }
    return row;
}

static void *
open_account(cat_stage *stage, const char *name, int line)
{
    stage_account *row =
        open_named(stage, &stage->accounts, name, line, "account");

    if (row != NULL) {
        row->account.id = lv_hash_name(name);
    }
    return row;
}

static void *
open_route(cat_stage *stage, const char *path, int line)
{
    stage_route *row;

    if (path[0] != '/' || strlen(path) >= sizeof row->route.path ||
        strpbrk(path, "?# \t") != NULL) {
        err_list_add(stage->reader.errors, stage->reader.file, line,
                     ERR_BAD_VALUE,
                     "write a path that begins with '/' and has no '?', '#' "
                     "or space",
                     "route: found \"%.100s\"", path);
        return NULL;
    }
    row = row_add(&stage->routes, stage->reader.file, line);
    if (row != NULL) {
        lv_copy_name(row->route.path, sizeof row->route.path, path);
    }
    return row;
}

static void *
open_entry(cat_stage *stage, const char *name, int line)
{
    const char *slash = strchr(name, '/');
    char account[CAT_FULL_NAME_SIZE] = "";
    char class_name[LV_NAME_SIZE] = "";
    stage_entry *row;

    if (slash == NULL || (size_t)(slash - name) >= sizeof account) {
        err_list_add(stage->reader.errors, stage->reader.file, line,
                     ERR_SYNTAX, "write [entry ACCOUNT/CLASS]",
                     "entry: found \"%.100s\"", name);
        return NULL;
    }
    memcpy(account, name, (size_t)(slash - name));
    if (!take_name(stage, line, account, account, "entry's account") ||
        !take_name(stage, line, slash + 1, class_name, "entry's class")) {
        return NULL;
    }
    row = row_add(&stage->entries, stage->reader.file, line);
    if (row != NULL) {
        lv_copy_name(row->full_name, sizeof row->full_name, name);
        memcpy(row->account, account, sizeof row->account);
        memcpy(row->entry.class_name, class_name, sizeof class_name);
        row->entry.id = lv_hash_name(name);
        row->entry.limits.body = BODY_DEFAULT;
    }
    return row;
}

static void *
open_section(conf_reader *reader, uint32_t section, const char *name, int line)
{
    cat_stage *stage = (cat_stage *)reader;
    void *record = NULL;

    if (section == SECTION_CATALOGUE || section == SECTION_DIGEST) {
        return open_head(stage, section, line);
    }
    if (stage->ignores_rest) {
        return NULL;
    }
    switch ((section_index)section) {
    case SECTION_POOL:
        record = open_pool(stage, name, line);
        break;
    case SECTION_ROUTE:
        record = open_route(stage, name, line);
        break;
    case SECTION_MODEL:
        record = open_model(stage, name, line);
        break;
    case SECTION_ACCOUNT:
        record = open_account(stage, name, line);
        break;
    default:
        record = open_entry(stage, name, line);
        break;
    }
    return record;
}

static void
read_digest(conf_reader *reader, uint32_t section, const char *key,
            const char *value, int line)
{
    cat_stage *stage = (cat_stage *)reader;
    uint8_t bytes[sizeof(uint64_t)];
    uint64_t part = 0;
    uint64_t digest = 0;
    err_error error;

    (void)section;
    if (!val_read_count(key, 1, CAT_PARTS_MAX, &part, &error)) {
        add_error(stage, line, &error, "number of a part");
        return;
    }
    if (!val_read_hex(value, bytes, sizeof bytes, &error)) {
        add_error(stage, line, &error, "digest of a part");
        return;
    }
    for (size_t i = 0; i < sizeof bytes; i++) {
        digest = digest << 8 | bytes[i];
    }
    if (stage->has_digest[part - 1]) {
        err_list_add(reader->errors, reader->file, line, ERR_CONFLICT,
                     "keep one of the lines",
                     "the digest of part %" PRIu64 " is given twice", part);
        return;
    }
    stage->has_digest[part - 1] = true;
    stage->digests[part - 1] = digest;
}

static bool
is_seen(uint64_t seen, uint32_t key)
{
    return (seen >> key & 1) != 0;
}

static void
close_pool(cat_stage *stage, stage_pool *row, int line, uint64_t seen)
{
    cat_pool *pool = &row->pool;
    bool has_weights =
        is_seen(seen, POOL_INPUT_WEIGHT) && is_seen(seen, POOL_OUTPUT_WEIGHT);
    bool has_any =
        is_seen(seen, POOL_INPUT_WEIGHT) || is_seen(seen, POOL_OUTPUT_WEIGHT);

    pool->checks_fencing = row->fencing == 1;
    if (!is_seen(seen, POOL_KIND)) {
        return;
    }
    if (pool->kind == CAT_POOL_ENGINE && !has_weights) {
        err_list_add(stage->reader.errors, stage->reader.file, line,
                     ERR_CONFLICT, "add input_weight and output_weight",
                     "engine pool \"%s\" without weights of tokens",
                     pool->name);
    }
    if (pool->kind == CAT_POOL_SERVICE && has_any) {
        err_list_add(stage->reader.errors, stage->reader.file, line,
                     ERR_CONFLICT, "take input_weight and output_weight out",
                     "service pool \"%s\" with weights of tokens", pool->name);
    }
    if (pool->kind == CAT_POOL_SERVICE && is_seen(seen, POOL_FENCING)) {
        err_list_add(stage->reader.errors, stage->reader.file, line,
                     ERR_CONFLICT, "take fencing out: services get no orders",
                     "service pool \"%s\" with fencing", pool->name);
    }
}

static void
close_entry(cat_stage *stage, stage_entry *row, int line, uint64_t seen)
{
    cat_limits *limits = &row->entry.limits;

    if (is_seen(seen, ENTRY_BURST) && !is_seen(seen, ENTRY_RATE)) {
        err_list_add(stage->reader.errors, stage->reader.file, line,
                     ERR_CONFLICT,
                     "add requests_per_second, or take burst out",
                     "entry \"%s\" has burst without requests_per_second",
                     row->full_name);
    }
    if (!is_seen(seen, ENTRY_BURST)) {
        limits->burst = limits->requests_per_second;
    }
}

static void
close_section(conf_reader *reader, uint32_t section, void *record, int line,
              uint64_t seen)
{
    cat_stage *stage = (cat_stage *)reader;

    if (section == SECTION_POOL) {
        close_pool(stage, record, line, seen);
    }
    else if (section == SECTION_ROUTE) {
        stage_route *row = record;

        row->route.is_prefix = row->match == 1;
        snprintf(row->key, sizeof row->key, "%s%s", row->route.path,
                 row->route.is_prefix ? "*" : "");
    }
    else if (section == SECTION_ENTRY) {
        close_entry(stage, record, line, seen);
    }
}

static const conf_reader_ops reader_ops = {
    .open_section = open_section,
    .read_key = read_digest,
    .close_section = close_section,
};

void
cat_stage_init(cat_stage *stage, err_list *errors)
{
    memset(stage, 0, sizeof *stage);
    stage->reader.ops = &reader_ops;
    stage->reader.sections = sections;
    stage->reader.section_count = SECTION_COUNT;
    stage->reader.errors = errors;
    row_init(&stage->pools, sizeof(stage_pool));
    row_init(&stage->routes, sizeof(stage_route));
    row_init(&stage->models, sizeof(stage_model));
    row_init(&stage->accounts, sizeof(stage_account));
    row_init(&stage->entries, sizeof(stage_entry));
    stage->digests = calloc(CAT_PARTS_MAX, sizeof *stage->digests);
    stage->has_digest = calloc(CAT_PARTS_MAX, sizeof *stage->has_digest);
    stage->found = calloc(CAT_PARTS_MAX + 1, sizeof *stage->found);
    stage->has_failed = stage->digests == NULL || stage->has_digest == NULL ||
                        stage->found == NULL;
}

void
cat_stage_finish(cat_stage *stage)
{
    row_finish(&stage->pools);
    row_finish(&stage->routes);
    row_finish(&stage->models);
    row_finish(&stage->accounts);
    row_finish(&stage->entries);
    free(stage->digests);
    free(stage->has_digest);
    free(stage->found);
}

/* Rows of tables that only the head should fill. */
static uint32_t
count_other_rows(const cat_stage *stage)
{
    return stage->pools.count + stage->routes.count + stage->models.count;
}

void
cat_stage_read(cat_stage *stage, const cat_part *part, uint32_t number)
{
    uint32_t first_account = stage->accounts.count;
    uint32_t first_entry = stage->entries.count;
    uint32_t others = count_other_rows(stage);
    size_t errors = stage->reader.errors->count;

    stage->is_head = number == 0;
    if (part->size > CAT_PART_SIZE) {
        err_list_add(stage->reader.errors, part->name, 0, ERR_LIMIT,
                     "cut the catalogue into more parts",
                     "the part has %zu bytes, at most %zu fit", part->size,
                     CAT_PART_SIZE);
        return;
    }
    if (number > CAT_PARTS_MAX) {
        return;
    }
    if (number > 0) {
        stage->found[number] = cat_digest_part(part->text, part->size);
        if (cat_cache_take(stage, part, number)) {
            return;
        }
    }
    conf_read(&stage->reader, part->name, part->text, part->size);
    if (number > 0 && stage->reader.errors->count == errors &&
        count_other_rows(stage) == others && cat_stage_has_memory(stage)) {
        cat_cache_put(stage, part, number, first_account, first_entry);
    }
}

bool
cat_stage_has_memory(const cat_stage *stage)
{
    return !stage->has_failed && !stage->pools.has_failed &&
           !stage->routes.has_failed && !stage->models.has_failed &&
           !stage->accounts.has_failed && !stage->entries.has_failed;
}
