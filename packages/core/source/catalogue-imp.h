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
    cat_cache *cache;  /* or NULL */
    uint64_t *digests; /* as the head names them; CAT_PARTS_MAX of them */
    uint64_t *found;   /* digests of the texts, by part */
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

/* Read one part into the stage; part 0 is the head. */
void cat_stage_read(cat_stage *stage, const cat_part *part, uint32_t number);

/* catalogue-cache.c */

/* Add the rows of a part from the cache; false when it has not got them. */
bool cat_cache_take(cat_stage *stage, const cat_part *part, uint32_t number);

/* Keep the rows that a part has added to the stage's tables. */
void cat_cache_put(cat_stage *stage, const cat_part *part, uint32_t number,
                   uint32_t first_account, uint32_t first_entry);

/* Forget what the catalogue that was read does not have; if it was bad, what
 * it alone has. */
void cat_cache_settle(cat_cache *cache, bool was_good);

bool cat_stage_has_memory(const cat_stage *stage);

/* Check what reaches across sections; sorts the tables. */
void cat_stage_check(cat_stage *stage, const cat_part *parts, size_t count);

#endif
