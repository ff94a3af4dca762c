/*
 * What a catalogue costs against its number of accounts: bytes of text and
 * of tables. Run it under callgrind with one size to count instructions:
 *
 *   valgrind --tool=callgrind --callgrind-out-file=/dev/null \
 *       --toggle-collect=cat_init bench-catalogue 10000
 *
 * and with --toggle-collect=read_change to count those of a change of one
 * part of a catalogue that was read before.
 */
#include <stdio.h>
#include <stdlib.h>

#include "texts.h"

#define PARTS_MAX 64
#define ACCOUNTS_PER_PART 2500

/* The last part is another one than before. */
static __attribute__((noinline)) bool
read_change(cat_cache *cache, const cat_part *parts, size_t count)
{
    cat_catalogue catalogue;
    err_list errors;
    bool is_good = cat_init_cached(&catalogue, cache, parts, count, &errors);

    cat_finish(&catalogue);
    return is_good;
}

/* Returns the bytes that the cache holds. */
static size_t
change_one_part(unsigned accounts, size_t capacity)
{
    text_buffer texts[2][PARTS_MAX] = {{{0}}};
    cat_part parts[PARTS_MAX];
    cat_cache cache = {0};
    size_t memory;

    for (unsigned turn = 0; turn < 2; turn++) {
        size_t count = text_make_catalogue(texts[turn], capacity, turn + 1,
                                           accounts + turn, ACCOUNTS_PER_PART);

        for (size_t i = 0; i < count; i++) {
            parts[i] =
                (cat_part){"part", texts[turn][i].text, texts[turn][i].size};
        }
        if (turn == 0) {
            cat_catalogue catalogue;
            err_list errors;

            if (cat_init_cached(&catalogue, &cache, parts, count, &errors)) {
                cat_finish(&catalogue);
            }
        }
        else if (!read_change(&cache, parts, count)) {
            exit(1);
        }
    }
    memory = cat_cache_memory(&cache);
    cat_cache_finish(&cache);
    for (size_t i = 0; i < PARTS_MAX; i++) {
        text_finish(&texts[0][i]);
        text_finish(&texts[1][i]);
    }
    return memory;
}

static void
measure(unsigned accounts)
{
    text_buffer texts[PARTS_MAX] = {{0}};
    cat_part parts[PARTS_MAX];
    cat_catalogue catalogue;
    err_list errors;
    size_t text_size = 0;
    size_t count =
        text_make_catalogue(texts, PARTS_MAX, 1, accounts, ACCOUNTS_PER_PART);

    for (size_t i = 0; i < count; i++) {
        parts[i] = (cat_part){"part", texts[i].text, texts[i].size};
        text_size += texts[i].size;
    }
    if (!cat_init(&catalogue, parts, count, &errors)) {
        fprintf(stderr, "%s\n", errors.items[0].error.message);
        exit(1);
    }
    printf("%8u %8zu %12zu %12zu %12zu\n", accounts, count, text_size,
           catalogue.account_count * (sizeof(cat_account) + sizeof(uint32_t)) +
               catalogue.entry_count * sizeof(cat_entry),
           change_one_part(accounts, PARTS_MAX));
    cat_finish(&catalogue);
    for (size_t i = 0; i < PARTS_MAX; i++) {
        text_finish(&texts[i]);
    }
}

int
main(int argc, char **argv)
{
    static const unsigned sizes[] = {16, 1000, 10000, 36000};

    printf("%8s %8s %12s %12s %12s\n", "accounts", "parts", "text bytes",
           "table bytes", "cache bytes");
    if (argc > 1) {
        measure((unsigned)strtoul(argv[1], NULL, 10));
        return 0;
    }
    for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++) {
        measure(sizes[i]);
    }
    return 0;
}
