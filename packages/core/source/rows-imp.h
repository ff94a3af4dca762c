/*
 * Tables of named rows for parsers of configuration files. Rows are added in
 * any order and then sorted by identity (the hash of the name); duplicate
 * names and hash collisions are reported.
 */
#ifndef LAVENDER_ROWS_IMP_H
#define LAVENDER_ROWS_IMP_H

#include "lavender/error.h"
#include "lavender/types.h"

/* The identity of a row and where its definition is. */
typedef struct row_entry {
    lv_id id;       /* valid after row_sort */
    uint32_t index; /* of the row, in order of addition */
    int line;
    const char *file; /* not owned */
} row_entry;

/* Each row begins with its name, a null-terminated string. */
typedef struct row_table {
    char *rows;         /* in order of addition */
    row_entry *entries; /* in order of addition, or sorted after row_sort */
    uint32_t count;
    uint32_t capacity;
    size_t row_size;
    bool has_failed; /* out of memory */
} row_table;

void row_init(row_table *table, size_t row_size);
void row_finish(row_table *table);

/* Adds a zeroed row. Returns NULL when out of memory, and sets has_failed. The
 * pointer is valid until the next row is added. `file` is not copied. */
void *row_add(row_table *table, const char *file, int line);

/* Copies the rows from index `first` on, and the numbers of their lines, to
 * two newly allocated arrays, which the caller frees, also after a failure.
 * `rows` points to a pointer to the rows' type. Call it before row_sort.
 * Returns false when out of memory. */
bool row_copy_from(const row_table *table, uint32_t first, void *rows,
                   int **lines);

/* Adds rows that row_copy_from copied from a table with the same row type.
 * Returns false when out of memory. */
bool row_append(row_table *table, const char *file, const void *rows,
                const int *lines, uint32_t count);

/* Returns the row at a position in the current order of `entries`. */
void *row_at(const row_table *table, uint32_t position);

/* Sorts `entries` by identity, and adds an error for each duplicate name and
 * hash collision. `what` is the kind of row in the messages. */
void row_sort(row_table *table, const char *what, err_list *errors);

/* Returns the position of an identity, or LV_HANDLE_NONE. The table must be
 * sorted. */
lv_handle row_find(const row_table *table, lv_id id);

/* Searches an array that is sorted by identity. `offset` is that of the lv_id
 * in each row. Returns the index of the row, or LV_HANDLE_NONE. */
lv_handle row_bsearch_id(const void *rows, uint32_t count, size_t row_size,
                         size_t offset, lv_id id);

#endif
