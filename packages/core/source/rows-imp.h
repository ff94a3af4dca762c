/*
 * Tables of named rows while a text is read: rows are added in any order and
 * then sorted by identity, and names that stand twice or whose hashes
 * collide are reported.
 */
#ifndef LAVENDER_ROWS_IMP_H
#define LAVENDER_ROWS_IMP_H

#include "lavender/error.h"
#include "lavender/types.h"

typedef struct row_entry {
    lv_id id;
    uint32_t index; /* of the row, in order of the texts */
    int line;
    const char *file;
} row_entry;

/* Each row begins with its name, a zero-terminated text. */
typedef struct row_table {
    char *rows;
    row_entry *entries;
    uint32_t count;
    uint32_t capacity;
    size_t row_size;
    bool has_failed; /* memory ended */
} row_table;

void row_init(row_table *table, size_t row_size);
void row_finish(row_table *table);

/* Add a zeroed row; NULL when memory ended. The pointer lives until the
 * next one is added. */
void *row_add(row_table *table, const char *file, int line);

/* Rows from `first` on, in order of the texts, and the lines they stand in,
 * as two blocks that the caller frees. */
bool row_copy_from(const row_table *table, uint32_t first, void *rows,
                   int **lines);

/* Add copies of rows that were copied from a table of the same kind. */
bool row_append(row_table *table, const char *file, const void *rows,
                const int *lines, uint32_t count);

/* The row at a place of the table's present order. */
void *row_at(const row_table *table, uint32_t place);

/* Sort the places by identity (hash of the name) and report names that
 * stand twice or collide; `what` names the kind of row. */
void row_sort(row_table *table, const char *what, err_list *errors);

/* After row_sort: the place of an identity, LV_HANDLE_NONE if there is
 * none. */
lv_handle row_find(const row_table *table, lv_id id);

/* The index of an identity in a table that is sorted by it, LV_HANDLE_NONE
 * if there is none. The identity stands at `offset` in each row. */
lv_handle row_bsearch_id(const void *rows, uint32_t count, size_t row_size,
                         size_t offset, lv_id id);

#endif
