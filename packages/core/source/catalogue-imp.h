/*
 * Staging of a catalogue while its parts are read.
 */
#ifndef LAVENDER_CATALOGUE_IMP_H
#define LAVENDER_CATALOGUE_IMP_H

#include "lavender/catalogue.h"
#include "lavender/config.h"
#include "rows-imp.h"

#define CAT_PARTS_MAX 4096
#define CAT_FULL_NAME_SIZE (2 * LV_NAME_SIZE)

/* Rows begin with their name, see rows-imp.h. */
typedef struct stage_pool {
    cat_pool pool;
    uint32_t fencing;
} stage_pool;

typedef struct stage_route {
    char key[CAT_FULL_NAME_SIZE + 2]; /* the path, and '*' for a prefix */
    cat_route route;
    char pool[LV_NAME_SIZE];
    uint32_t match;
} stage_route;

typedef struct stage_model {
    cat_model model;
    char pool[LV_NAME_SIZE];
} stage_model;

typedef struct stage_account {
    cat_account account;
} stage_account;

typedef struct stage_entry {
    char full_name[CAT_FULL_NAME_SIZE]; /* ACCOUNT/CLASS */
    char account[LV_NAME_SIZE];
    cat_entry entry;
} stage_entry;

typedef struct cat_stage {
    conf_reader reader; /* first member: vtable */
    uint64_t revision;
    uint32_t part_count;
    bool has_head;
    bool is_head;      /* the part that is read is the head */
    uint64_t *digests; /* CAT_PARTS_MAX of them */
    bool *has_digest;
    bool ignores_rest; /* only the head's own sections count */
    row_table pools;
    row_table routes;
    row_table models;
    row_table accounts;
    row_table entries;
    bool has_failed; /* memory ended */
} cat_stage;

void cat_stage_init(cat_stage *stage, err_list *errors);
void cat_stage_finish(cat_stage *stage);

/* Read one part into the stage. */
void cat_stage_read(cat_stage *stage, const cat_part *part, bool is_head);

bool cat_stage_has_memory(const cat_stage *stage);

/* Check what reaches across sections; sorts the tables. */
void cat_stage_check(cat_stage *stage, const cat_part *parts, size_t count);

#endif
