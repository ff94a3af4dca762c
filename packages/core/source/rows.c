#include "rows-imp.h"
#include "table-imp.h"

#include <stdlib.h>
#include <string.h>

void
row_init(row_table *table, size_t row_size)
{
    memset(table, 0, sizeof *table);
    table->row_size = row_size;
}

void
row_finish(row_table *table)
{
    free(table->rows);
    free(table->entries);
    table->rows = NULL;
    table->entries = NULL;
    table->count = 0;
    table->capacity = 0;
}

void *
row_add(row_table *table, const char *file, int line)
{
    uint32_t places_capacity = table->capacity;
    row_entry *place;
    char *row;

    if (!table_reserve((void **)&table->entries, &places_capacity,
                       table->count + 1, sizeof *table->entries) ||
        !table_reserve((void **)&table->rows, &table->capacity,
                       table->count + 1, table->row_size)) {
        table->has_failed = true;
        return NULL;
    }
    place = &table->entries[table->count];
    place->index = table->count;
    place->line = line;
    place->file = file;
    row = table->rows + table->row_size * table->count;
    memset(row, 0, table->row_size);
    table->count++;
    return row;
}

bool
row_copy_from(const row_table *table, uint32_t first, void *rows, int **lines)
{
    uint32_t count = table->count - first;
    void *copy = malloc((size_t)count * table->row_size + 1);

    *lines = malloc(count * sizeof **lines + 1);
    memcpy(rows, &copy, sizeof copy);
    if (copy == NULL || *lines == NULL) {
        return false;
    }
    if (count > 0) {
        memcpy(copy, table->rows + table->row_size * first,
               table->row_size * count);
    }
    for (uint32_t i = 0; i < count; i++) {
        (*lines)[i] = table->entries[first + i].line;
    }
    return true;
}

bool
row_append(row_table *table, const char *file, const void *rows,
           const int *lines, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        void *row = row_add(table, file, lines[i]);

        if (row == NULL) {
            return false;
        }
        memcpy(row, (const char *)rows + table->row_size * i, table->row_size);
    }
    return true;
}

void *
row_at(const row_table *table, uint32_t place)
{
    return table->rows + table->row_size * table->entries[place].index;
}

static int
compare_places(const void *a, const void *b)
{
    const row_entry *left = a;
    const row_entry *right = b;

    if (left->id != right->id) {
        return left->id < right->id ? -1 : 1;
    }
    return left->index < right->index ? -1 : left->index > right->index;
}

static void
report_twin(const row_table *table, uint32_t place, const char *what,
            err_list *errors)
{
    const char *name = row_at(table, place);
    const char *first = row_at(table, place - 1);
    const row_entry *at = &table->entries[place];
    const row_entry *before = &table->entries[place - 1];

    if (strcmp(name, first) == 0) {
        err_list_add(errors, at->file, at->line, ERR_CONFLICT,
                     "keep one of them, or rename one",
                     "%s \"%s\" stands twice, first at %s:%d", what, name,
                     before->file, before->line);
        return;
    }
    err_list_add(errors, at->file, at->line, ERR_CONFLICT,
                 "rename one of them",
                 "%s \"%s\" has the same hash as \"%s\" at %s:%d", what, name,
                 first, before->file, before->line);
}

void
row_sort(row_table *table, const char *what, err_list *errors)
{
    if (table->count == 0) {
        return;
    }
    for (uint32_t i = 0; i < table->count; i++) {
        table->entries[i].id = lv_hash_name(row_at(table, i));
    }
    qsort(table->entries, table->count, sizeof *table->entries,
          compare_places);
    for (uint32_t i = 1; i < table->count; i++) {
        if (table->entries[i].id == table->entries[i - 1].id) {
            report_twin(table, i, what, errors);
        }
    }
}

lv_handle
row_bsearch_id(const void *rows, uint32_t count, size_t row_size,
               size_t offset, lv_id id)
{
    const char *base = rows;
    uint32_t low = 0;
    uint32_t high = count;

    while (low < high) {
        uint32_t middle = low + (high - low) / 2;
        lv_id found;

        memcpy(&found, base + row_size * middle + offset, sizeof found);
        if (found == id) {
            return middle;
        }
        if (found < id) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return LV_HANDLE_NONE;
}

lv_handle
row_find(const row_table *table, lv_id id)
{
    return row_bsearch_id(table->entries, table->count, sizeof *table->entries,
                          offsetof(row_entry, id), id);
}
