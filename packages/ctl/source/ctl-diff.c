#include "ctl-diff.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define VALUE_SIZE 80
#define NAME_SIZE (2 * LV_NAME_SIZE + 2)

typedef enum field_type {
    FIELD_U32,
    FIELD_U64,
    FIELD_TIME,
    FIELD_BOOL,
    FIELD_CHOICE,
    FIELD_POOL, /* handle of a pool */
    FIELD_DIGEST
} field_type;

typedef struct diff_field {
    const char *name;
    field_type type;
    size_t offset;
    const char *const *choices;
} diff_field;

typedef struct diff_table diff_table;

/* The rows of one kind in one catalogue. */
struct diff_table {
    const cat_catalogue *catalogue;
    const char *rows;
    uint32_t count;
    size_t row_size;
    void (*write_name)(const diff_table *table, const void *row, char *name);
};

typedef struct diff_kind {
    const char *name;
    diff_table (*open)(const cat_catalogue *catalogue);
    const diff_field *fields;
    size_t field_count;
} diff_kind;

static const char *const kind_words[] = {"engine", "service"};
static const char *const priority_words[] = {"urgent", "deferrable"};

#define FIELD(name, type, row, member)                                        \
    {                                                                         \
        name, type, offsetof(row, member), NULL                               \
    }

static const diff_field pool_fields[] = {
    {"kind", FIELD_CHOICE, offsetof(cat_pool, kind), kind_words},
    FIELD("slots", FIELD_U32, cat_pool, slots),
    FIELD("input_weight", FIELD_U32, cat_pool, input_weight),
    FIELD("output_weight", FIELD_U32, cat_pool, output_weight),
    FIELD("quantum", FIELD_U64, cat_pool, quantum),
    FIELD("urgent_credit", FIELD_U64, cat_pool, urgent_credit),
    FIELD("default_cost", FIELD_U64, cat_pool, default_cost),
    FIELD("hold", FIELD_TIME, cat_pool, idle_timeout),
    FIELD("shard_endpoints", FIELD_U32, cat_pool, shard_endpoints),
    FIELD("fencing checked", FIELD_BOOL, cat_pool, checks_fencing),
};

static const diff_field route_fields[] = {
    FIELD("idempotent", FIELD_BOOL, cat_route, idempotent),
    FIELD("pool", FIELD_POOL, cat_route, pool),
};

static const diff_field model_fields[] = {
    FIELD("pool", FIELD_POOL, cat_model, pool),
    FIELD("copies", FIELD_U32, cat_model, copies),
    FIELD("size", FIELD_U64, cat_model, size),
};

static const diff_field account_fields[] = {
    FIELD("weight", FIELD_U32, cat_account, weight),
    FIELD("key_digest", FIELD_DIGEST, cat_account, key_digest),
};

static const diff_field entry_fields[] = {
    {"priority", FIELD_CHOICE, offsetof(cat_entry, priority), priority_words},
    FIELD("requests_per_second", FIELD_U32, cat_entry,
          limits.requests_per_second),
    FIELD("burst", FIELD_U32, cat_entry, limits.burst),
    FIELD("in_flight", FIELD_U32, cat_entry, limits.in_flight),
    FIELD("waiting", FIELD_U32, cat_entry, limits.waiting),
    FIELD("body", FIELD_U64, cat_entry, limits.body),
    FIELD("deadline", FIELD_TIME, cat_entry, limits.deadline),
};

static void
write_row_name(const diff_table *table, const void *row, char *name)
{
    (void)table;
    snprintf(name, NAME_SIZE, "%s", (const char *)row);
}

static void
write_route_name(const diff_table *table, const void *row, char *name)
{
    const cat_route *route = row;

    (void)table;
    snprintf(name, NAME_SIZE, "%s%s", route->path,
             route->is_prefix ? "*" : "");
}

static void
write_entry_name(const diff_table *table, const void *row, char *name)
{
    const cat_entry *entry = row;

    snprintf(name, NAME_SIZE, "%s/%s",
             table->catalogue->accounts[entry->account].name,
             entry->class_name);
}

static diff_table
open_pools(const cat_catalogue *catalogue)
{
    diff_table found = {catalogue, (const char *)catalogue->pools,
                        catalogue->pool_count, sizeof(cat_pool),
                        write_row_name};

    return found;
}

static diff_table
open_routes(const cat_catalogue *catalogue)
{
    diff_table found = {catalogue, (const char *)catalogue->routes,
                        catalogue->route_count, sizeof(cat_route),
                        write_route_name};

    return found;
}

static diff_table
open_models(const cat_catalogue *catalogue)
{
    diff_table found = {catalogue, (const char *)catalogue->models,
                        catalogue->model_count, sizeof(cat_model),
                        write_row_name};

    return found;
}

static diff_table
open_accounts(const cat_catalogue *catalogue)
{
    diff_table found = {catalogue, (const char *)catalogue->accounts,
                        catalogue->account_count, sizeof(cat_account),
                        write_row_name};

    return found;
}

static diff_table
open_entries(const cat_catalogue *catalogue)
{
    diff_table found = {catalogue, (const char *)catalogue->entries,
                        catalogue->entry_count, sizeof(cat_entry),
                        write_entry_name};

    return found;
}

#define FIELDS(fields) (fields), sizeof(fields) / sizeof *(fields)

static const diff_kind kinds[] = {
    {"pool", open_pools, FIELDS(pool_fields)},
    {"route", open_routes, FIELDS(route_fields)},
    {"model", open_models, FIELDS(model_fields)},
    {"account", open_accounts, FIELDS(account_fields)},
    {"entry", open_entries, FIELDS(entry_fields)},
};

static void
write_digest(const uint8_t *digest, char *text)
{
    for (size_t i = 0; i < CAT_KEY_DIGEST_SIZE; i++) {
        snprintf(text + 2 * i, 3, "%02x", digest[i]);
    }
}

static void
write_value(const diff_table *table, const void *row, const diff_field *field,
            char *text)
{
    const void *value = (const char *)row + field->offset;
    uint32_t small = 0;
    uint64_t large = 0;

    if (field->type == FIELD_U64 || field->type == FIELD_TIME) {
        memcpy(&large, value, sizeof large);
    }
    else if (field->type != FIELD_BOOL && field->type != FIELD_DIGEST) {
        memcpy(&small, value, sizeof small);
    }
    switch (field->type) {
    case FIELD_U32:
        snprintf(text, VALUE_SIZE, "%" PRIu32, small);
        break;
    case FIELD_U64:
        snprintf(text, VALUE_SIZE, "%" PRIu64, large);
        break;
    case FIELD_TIME:
        snprintf(text, VALUE_SIZE, "%" PRIu64 "us", large);
        break;
    case FIELD_BOOL:
        snprintf(text, VALUE_SIZE, "%s", *(const bool *)value ? "yes" : "no");
        break;
    case FIELD_CHOICE:
        snprintf(text, VALUE_SIZE, "%s", field->choices[small]);
        break;
    case FIELD_POOL:
        snprintf(text, VALUE_SIZE, "%s",
                 small == LV_HANDLE_NONE
                     ? "by-model"
                     : table->catalogue->pools[small].name);
        break;
    case FIELD_DIGEST:
        write_digest(value, text);
        break;
    }
}

static bool
compare_rows(json_t *changes, const diff_kind *kind, const char *name,
             const diff_table *old_table, const void *old,
             const diff_table *new_table, const void *new)
{
    for (size_t i = 0; i < kind->field_count; i++) {
        char old_value[VALUE_SIZE];
        char new_value[VALUE_SIZE];

        write_value(old_table, old, &kind->fields[i], old_value);
        write_value(new_table, new, &kind->fields[i], new_value);
        if (strcmp(old_value, new_value) != 0 &&
            json_array_append_new(
                changes, json_pack("{s:s, s:s, s:s, s:s, s:s, s:s}", "kind",
                                   kind->name, "name", name, "change",
                                   "changed", "key", kind->fields[i].name,
                                   "old", old_value, "new", new_value)) != 0) {
            return false;
        }
    }
    return true;
}

static const void *
row_of(const diff_table *table, uint32_t index)
{
    return table->rows + table->row_size * index;
}

/* The rows of a table by their names; the caller owns the object. */
static json_t *
index_rows(const diff_table *table)
{
    json_t *index = json_object();

    for (uint32_t i = 0; index != NULL && i < table->count; i++) {
        char name[NAME_SIZE];

        table->write_name(table, row_of(table, i), name);
        json_object_set_new(index, name, json_integer(i));
    }
    return index;
}

static bool
add_whole(json_t *changes, const diff_kind *kind, const char *name,
          const char *change)
{
    return json_array_append_new(changes, json_pack("{s:s, s:s, s:s}", "kind",
                                                    kind->name, "name", name,
                                                    "change", change)) == 0;
}

static bool
compare_kind(json_t *changes, const diff_kind *kind, const cat_catalogue *from,
             const cat_catalogue *to)
{
    diff_table old = kind->open(from);
    diff_table new = kind->open(to);
    json_t *old_index = index_rows(&old);
    json_t *new_index = index_rows(&new);
    bool is_ok = old_index != NULL && new_index != NULL;
    char name[NAME_SIZE];

    for (uint32_t i = 0; is_ok && i < old.count; i++) {
        const json_t *place;

        old.write_name(&old, row_of(&old, i), name);
        place = json_object_get(new_index, name);
        is_ok = place == NULL
                    ? add_whole(changes, kind, name, "removed")
                    : compare_rows(
                          changes, kind, name, &old, row_of(&old, i), &new,
                          row_of(&new, (uint32_t)json_integer_value(place)));
    }
    for (uint32_t i = 0; is_ok && i < new.count; i++) {
        new.write_name(&new, row_of(&new, i), name);
        if (json_object_get(old_index, name) == NULL) {
            is_ok = add_whole(changes, kind, name, "added");
        }
    }
    json_decref(old_index);
    json_decref(new_index);
    return is_ok;
}

json_t *
ctl_diff(const cat_catalogue *from, const cat_catalogue *to)
{
    json_t *changes = json_array();

    for (size_t i = 0; changes != NULL && i < sizeof kinds / sizeof kinds[0];
         i++) {
        if (!compare_kind(changes, &kinds[i], from, to)) {
            json_decref(changes);
            return NULL;
        }
    }
    return changes;
}
