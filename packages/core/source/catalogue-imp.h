/*
 * The parser of catalogues: rows of all parts are staged in tables, validated
 * together and then copied into a cat_catalogue.
 */
#ifndef LAVENDER_CATALOGUE_IMP_H
#define LAVENDER_CATALOGUE_IMP_H

#include "lavender/catalogue.h"
#include "lavender/config.h"
#include "rows-imp.h"

#define CAT_MAX_PARTS 4096
#define CAT_FULL_NAME_SIZE (2 * LV_NAME_SIZE)

/* Staged rows; each begins with its name, as rows-imp.h requires. */
typedef struct pool_row {
    cat_pool pool;
    uint32_t fencing; /* index in fencing_words */
} pool_row;

typedef struct route_row {
    char key[CAT_FULL_NAME_SIZE + 2]; /* the path, and '*' for a prefix */
    cat_route route;
    char pool[LV_NAME_SIZE];
    uint32_t match; /* index in match_words */
} route_row;

typedef struct model_row {
    cat_model model;
    char pool[LV_NAME_SIZE];
} model_row;

typedef struct account_row {
    cat_account account;
} account_row;

typedef struct entry_row {
    char full_name[CAT_FULL_NAME_SIZE]; /* ACCOUNT/CLASS */
    char account[LV_NAME_SIZE];
    cat_entry entry;
} entry_row;

typedef struct cat_parser {
    conf_reader reader; /* first member: vtable */
    uint64_t revision;
    uint32_t part_count;
    bool has_head;
    bool is_head_part;      /* the current part is the head */
    cat_cache *cache;       /* or NULL */
    uint64_t *head_digests; /* of [digest], by part number - 1 */
    uint64_t *digests;      /* computed from the texts, by part number */
    bool *has_digest;       /* [digest] has a line, by part number - 1 */
    bool reads_head_only;   /* skips all but [catalogue] and [digest] */
    row_table pools;
    row_table routes;
    row_table models;
    row_table accounts;
    row_table entries;
    bool is_out_of_memory; /* an array could not be allocated */
} cat_parser;

void cat_parser_init(cat_parser *parser, err_list *errors);
void cat_parser_finish(cat_parser *parser);

/* Parses one part and stages its rows; part 0 is the head. */
void cat_parser_read(cat_parser *parser, const cat_part *part,
                     uint32_t number);

/* catalogue-cache.c */

/* Stages the cached rows of a part. Returns false if the part is not cached or
 * memory ran out. */
bool cat_cache_restore(cat_parser *parser, const cat_part *part,
                       uint32_t number);

/* Stores copies of the rows that a part has staged, which begin at
 * first_account and first_entry. Without memory the part is not cached. */
void cat_cache_store(cat_parser *parser, const cat_part *part, uint32_t number,
                     uint32_t first_account, uint32_t first_entry);

/* Removes parts once a catalogue is read: those that it does not use if it was
 * valid, else those that were added for it. */
void cat_cache_evict(cat_cache *cache, bool was_valid);

/* Returns whether all allocations have succeeded. */
bool cat_parser_has_memory(const cat_parser *parser);

/* Sorts the tables and checks references across sections and the digests of
 * the parts. */
void cat_parser_validate(cat_parser *parser, const cat_part *parts,
                         size_t count);

#endif
