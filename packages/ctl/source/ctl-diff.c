#include "ctl-diff.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define VALUE_SIZE 80
#define NAME_SIZE (2 * LV_NAME_SIZE + 2) /* an account and a class */

typedef enum field_type {
    FIELD_U32,
    FIELD_U64,
    FIELD_TIME,
    FIELD_BOOL,
    FIELD_CHOICE,
    FIELD_POOL, /* handle of a pool, or LV_HANDLE_NONE */
    FIELD_DIGEST
} field_type;

/* A field that is compared. */
typedef struct diff_field {
    const char *name; /* in the output */
    field_type type;
    size_t offset;              /* in the row */
    const char *const *choices; /* names of the values of FIELD_CHOICE */
} diff_field;

typedef struct diff_table diff_table;

/* The rows of one kind in one catalogue. write_name writes the name that
 * identifies a row, of at most NAME_SIZE bytes. */
struct diff_table {
    const cat_catalogue *catalogue;
    const char *rows;
    uint32_t count;
    size_t row_size;
    void (*write_name)(const diff_table *table, const void *row, char *name);
};

/* A kind of rows in a catalogue. */
typedef struct diff_kind {
    const char *name; /* in the output */
    diff_table (*make_table)(const cat_catalogue *catalogue);
    const diff_field *fields;
    size_t field_count;
} diff_kind;

static const char *const pool_kind_names[] = {"engine", "service"};
static const char *const priority_names[] = {"urgent", "deferrable"};

#define FIELD(name, type, row, member)                                        \
    {                                                                         \
        name, type, offsetof(row, member), NULL                               \
    }

static const diff_field pool_fields[] = {
    {"kind", FIELD_CHOICE, offsetof(cat_pool, kind), pool_kind_names},
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
    {"priority", FIELD_CHOICE, offsetof(cat_entry, priority), priority_names},
    FIELD("requests_per_second", FIELD_U32, cat_entry,
          limits.requests_per_second),
    FIELD("burst", FIELD_U32, cat_entry, limits.burst),
    FIELD("in_flight", FIELD_U32, cat_entry, limits.in_flight),
    FIELD("waiting", FIELD_U32, cat_entry, limits.waiting),
    FIELD("body", FIELD_U64, cat_entry, limits.body),
    FIELD("deadline", FIELD_TIME, cat_entry, limits.deadline),
};

/* For rows whose first member is their name. */
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
make_pool_table(const cat_catalogue *catalogue)
{
    diff_table table = {catalogue, (const char *)catalogue->pools,
                        catalogue->pool_count, sizeof(cat_pool),
                        write_row_name};

    return table;
}

static diff_table
make_route_table(const cat_catalogue *catalogue)
{
    diff_table table = {catalogue, (const char *)catalogue->routes,
                        catalogue->route_count, sizeof(cat_route),
                        write_route_name};

    return table;
}

static diff_table
make_model_table(const cat_catalogue *catalogue)
{
    diff_table table = {catalogue, (const char *)catalogue->models,
                        catalogue->model_count, sizeof(cat_model),
                        write_row_name};

    return table;
}

static diff_table
make_account_table(const cat_catalogue *catalogue)
{
    diff_table table = {catalogue, (const char *)catalogue->accounts,
                        catalogue->account_count, sizeof(cat_account),
                        write_row_name};

    return table;
}

static diff_table
make_entry_table(const cat_catalogue *catalogue)
{
    diff_table table = {catalogue, (const char *)catalogue->entries,
                        catalogue->entry_count, sizeof(cat_entry),
                        write_entry_name};

    return table;
}

#define FIELD_ARRAY(fields) (fields), sizeof(fields) / sizeof *(fields)

static const diff_kind kinds[] = {
    {"pool", make_pool_table, FIELD_ARRAY(pool_fields)},
    {"route", make_route_table, FIELD_ARRAY(route_fields)},
    {"model", make_model_table, FIELD_ARRAY(model_fields)},
    {"account", make_account_table, FIELD_ARRAY(account_fields)},
    {"entry", make_entry_table, FIELD_ARRAY(entry_fields)},
};

static void
write_digest(const uint8_t *digest, char *text)
{
    for (size_t i = 0; i < CAT_KEY_DIGEST_SIZE; i++) {
        snprintf(text + 2 * i, 3, "%02x", digest[i]);
    }
}

/* Writes a field of a row as text of at most VALUE_SIZE bytes. */
static void
write_value(const diff_table *table, const void *row, const diff_field *field,
            char *text)
{
    const void *value = (const char *)row + field->offset;
    uint32_t value32 = 0;
    uint64_t value64 = 0;

    if (field->type == FIELD_U64 || field->type == FIELD_TIME) {
        memcpy(&value64, value, sizeof value64);
    }
    else if (field->type != FIELD_BOOL && field->type != FIELD_DIGEST) {
        memcpy(&value32, value, sizeof value32);
    }
    switch (field->type) {
    case FIELD_U32:
        snprintf(text, VALUE_SIZE, "%" PRIu32, value32);
        break;
    case FIELD_U64:
        snprintf(text, VALUE_SIZE, "%" PRIu64, value64);
        break;
    case FIELD_TIME:
        snprintf(text, VALUE_SIZE, "%" PRIu64 "us", value64);
        break;
    case FIELD_BOOL:
        snprintf(text, VALUE_SIZE, "%s", *(const bool *)value ? "yes" : "no");
        break;
    case FIELD_CHOICE:
        snprintf(text, VALUE_SIZE, "%s", field->choices[value32]);
        break;
    case FIELD_POOL:
        snprintf(text, VALUE_SIZE, "%s",
                 value32 == LV_HANDLE_NONE
                     ? "by-model"
                     : table->catalogue->pools[value32].name);
        break;
    case FIELD_DIGEST:
        write_digest(value, text);
        break;
    }
}

/* Appends a change for each field whose value differs; false when out of
 * memory. */
static bool
append_field_changes(json_t *changes, const diff_kind *kind, const char *name,
                     const diff_table *old_table, const void *old_row,
                     const diff_table *new_table, const void *new_row)
{
    for (size_t i = 0; i < kind->field_count; i++) {
        char old_value[VALUE_SIZE];
        char new_value[VALUE_SIZE];

        write_value(old_table, old_row, &kind->fields[i], old_value);
        write_value(new_table, new_row, &kind->fields[i], new_value);
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
get_row(const diff_table *table, uint32_t index)
{
    return table->rows + table->row_size * index;
}

/* Returns a JSON object that maps the names of rows to their indices. The
 * caller owns it; NULL when out of memory. */
static json_t *
index_rows_by_name(const diff_table *table)
{
    json_t *index = json_object();

    for (uint32_t i = 0; index != NULL && i < table->count; i++) {
        char name[NAME_SIZE];

        table->write_name(table, get_row(table, i), name);
        json_object_set_new(index, name, json_integer(i));
    }
    return index;
}

/* Appends the addition or removal of a row; false when out of memory. */
static bool
append_row_change(json_t *changes, const diff_kind *kind, const char *name,
                  const char *change)
{
    return json_array_append_new(changes, json_pack("{s:s, s:s, s:s}", "kind",
                                                    kind->name, "name", name,
                                                    "change", change)) == 0;
}

/* Appends the changes of the rows of one kind; false when out of memory. */
static bool
append_kind_changes(json_t *changes, const diff_kind *kind,
                    const cat_catalogue *old_catalogue,
                    const cat_catalogue *new_catalogue)
{
    diff_table old_table = kind->make_table(old_catalogue);
    diff_table new_table = kind->make_table(new_catalogue);
    json_t *old_index = index_rows_by_name(&old_table);
    json_t *new_index = index_rows_by_name(&new_table);
    bool is_ok = old_index != NULL && new_index != NULL;
    char name[NAME_SIZE];

    for (uint32_t i = 0; is_ok && i < old_table.count; i++) {
        const json_t *new_position;

        old_table.write_name(&old_table, get_row(&old_table, i), name);
        new_position = json_object_get(new_index, name);
        is_ok = new_position == NULL
                    ? append_row_change(changes, kind, name, "removed")
                    : append_field_changes(
                          changes, kind, name, &old_table,
                          get_row(&old_table, i), &new_table,
                          get_row(&new_table,
                                  (uint32_t)json_integer_value(new_position)));
    }
    for (uint32_t i = 0; is_ok && i < new_table.count; i++) {
        new_table.write_name(&new_table, get_row(&new_table, i), name);
        if (json_object_get(old_index, name) == NULL) {
            is_ok = append_row_change(changes, kind, name, "added");
        }
    }
    json_decref(old_index);
    json_decref(new_index);
    return is_ok;
}

json_t *
ctl_diff_catalogues(const cat_catalogue *old_catalogue,
                    const cat_catalogue *new_catalogue)
{
    json_t *changes = json_array();

    for (size_t i = 0; changes != NULL && i < sizeof kinds / sizeof kinds[0];
         i++) {
        if (!append_kind_changes(changes, &kinds[i], old_catalogue,
                                 new_catalogue)) {
            json_decref(changes);
            return NULL;
        }
    }
    return changes;
}
