/*
 * Texts of catalogues and lists for the tests.
 */
#ifndef TESTS_TEXTS_H
#define TESTS_TEXTS_H

#include <stdio.h>

#include "lavender/catalogue.h"
#include "lavender/world.h"

/* Head of a small valid catalogue without account parts: engine pool
 * "shared", service pool "plain", models, routes, accounts "a" and "b". */
extern const char *const text_catalogue;

/* A small valid list: zones, instances r1 to r3, endpoints. */
extern const char *const text_lists;

/* Text that grows; init by zeroing. */
typedef struct text_buffer {
    char *text;
    size_t size;
    FILE *file; /* writes to text and size */
} text_buffer;

/* Add text in the manner of printf. */
#define TEXT_ADD(buffer, ...)                                                 \
    (fprintf(text_file(buffer), __VA_ARGS__), fflush((buffer)->file))

FILE *text_file(text_buffer *buffer);
void text_finish(text_buffer *buffer);

/* Sections of one account of number n with one entry of each priority. */
void text_add_account(text_buffer *buffer, unsigned n);

/* Lists with `instances` instances in `zones` zones and `endpoints` in pool
 * "shared". */
void text_make_lists(text_buffer *buffer, uint64_t revision, unsigned zones,
                     unsigned instances, unsigned endpoints);

/* A catalogue of a head and one part per `accounts_per_part` accounts; parts
 * has room for capacity of them. Returns the number of parts. */
size_t text_make_catalogue(text_buffer *parts, size_t capacity,
                           uint64_t revision, unsigned accounts,
                           unsigned accounts_per_part);

/* Next number of a small seeded generator. */
uint64_t text_random(uint64_t *state);

/* Change a text at random: bytes, lines lost, doubled or swapped. The result
 * is malloc'ed. */
char *text_mutate(const char *text, size_t size, uint64_t *state,
                  size_t *new_size);

#endif
