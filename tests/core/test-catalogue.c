/*
 * Catalogue: parsed values, errors of invalid texts, lookups, the cache of
 * parts and a catalogue of 36,000 accounts.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lavender/value.h"
#include "texts.h"

#define MAX_PARTS 32

static bool
parse(cat_catalogue *catalogue, const char *text, err_list *errors)
{
    cat_part part = {"head", text, strlen(text)};

    return cat_init(catalogue, &part, 1, errors);
}

Test(catalogue, valid_catalogue_is_parsed)
{
    cat_catalogue catalogue;
    err_list errors;
    lv_handle account;
    lv_handle shared;
    const cat_entry *entry;

    cr_assert(parse(&catalogue, text_catalogue, &errors), "%s",
              errors.items[0].error.message);
    cr_assert_eq(catalogue.revision, 7);
    cr_assert_eq(catalogue.pool_count, 2);
    cr_assert_eq(catalogue.entry_count, 3);
    shared = cat_find_pool(&catalogue, lv_hash_name("shared"));
    cr_assert_eq(catalogue.pools[shared].output_weight, 4);
    cr_assert(catalogue.pools[shared].checks_fencing);
    cr_assert_eq(catalogue.pools[shared].idle_timeout, 5000);
    cr_assert_eq(catalogue.pools[shared].shard_endpoints, 64);
    account = cat_find_account(&catalogue, lv_hash_name("a"));
    cr_assert_eq(catalogue.accounts[account].weight, 2);
    cr_assert_eq(catalogue.accounts[account].entry_count, 2);
    entry = &catalogue.entries[cat_find_entry(&catalogue, account, NULL)];
    cr_assert_str_eq(entry->class_name, "gate");
    cr_assert_eq(entry->account, account);
    cr_assert_eq(entry->limits.deadline, 5 * LV_SECOND);
    cr_assert_eq(entry->limits.body, 65536);
    cr_assert_eq(entry->limits.burst, 20);
    entry = &catalogue.entries[cat_find_entry(&catalogue, account, "drafts")];
    cr_assert_eq(entry->priority, CAT_DEFERRABLE);
    cr_assert_eq(entry->limits.in_flight, 0);
    cr_assert_eq(cat_find_entry(&catalogue, account, "x"), LV_HANDLE_NONE);
    cr_assert_eq(cat_find_entry(&catalogue, 9, NULL), LV_HANDLE_NONE);
    cr_assert_neq(cat_find_model(&catalogue, "m1"), LV_HANDLE_NONE);
    cr_assert_eq(cat_find_model(&catalogue, "m3"), LV_HANDLE_NONE);
    cat_finish(&catalogue);
    cr_assert_eq(cat_find_pool(&catalogue, lv_hash_name("shared")),
                 LV_HANDLE_NONE);
}

typedef struct route_case {
    char path[40];
    char found[40]; /* "" for none */
} route_case;

ParameterizedTestParameters(catalogue, routes)
{
    static route_case cases[] = {
        {"/v1/chat/completions", "/v1/chat/completions"},
        {"/v1/chat/completions/", ""},
        {"/v1/chat", ""},
        {"/plots/", "/plots/"},
        {"/plots/7", "/plots/"},
        {"/plots", ""},
        {"/plots/book", "/plots/book"},
        {"/plots/book/7", "/plots/"},
        {"", ""},
    };

    return cr_make_param_array(route_case, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(route_case *c, catalogue, routes)
{
    cat_catalogue catalogue;
    err_list errors;
    lv_handle route;

    cr_assert(parse(&catalogue, text_catalogue, &errors));
    route = cat_find_route(&catalogue, c->path, strlen(c->path));
    if (c->found[0] == '\0') {
        cr_assert_eq(route, LV_HANDLE_NONE);
    }
    else {
        cr_assert_neq(route, LV_HANDLE_NONE);
        cr_assert_str_eq(catalogue.routes[route].path, c->found);
    }
    cat_finish(&catalogue);
}

/* Replaces the first `from` in a valid catalogue by `new_text`. One of
 * the errors must be of the kind and contain `expected`. */
typedef struct error_case {
    char from[72];
    char new_text[320];
    err_kind kind;
    char expected[80];
} error_case;

#define HEX "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define HEX_B                                                                 \
    "10112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

ParameterizedTestParameters(catalogue, faults)
{
    static error_case cases[] = {
        {"[catalogue]", "[catalog]", ERR_UNKNOWN_NAME, "[catalog]"},
        {"revision = 7", "revision = seven", ERR_BAD_VALUE, "seven"},
        {"revision = 7", "revision = 0", ERR_BAD_VALUE, "from 1"},
        {"revision = 7", "parts = 0", ERR_BAD_VALUE, "revision"},
        {"revision = 7", "revision = 7\nparts = 2", ERR_CONFLICT,
         "parts = 2, but 0"},
        {"revision = 7", "revision = 7\n[digest]\n1 = 0011223344556677",
         ERR_CONFLICT, "part 1 of 0"},
        {"revision = 7", "revision = 7\n[digest]\nx = 0011223344556677",
         ERR_BAD_VALUE, "number of a part"},
        {"revision = 7", "revision = 7\n[digest]\n1 = 00", ERR_BAD_VALUE,
         "16 hex digits"},
        {"kind = engine", "kind = motor", ERR_BAD_VALUE, "engine or service"},
        {"input_weight = 1\n", "", ERR_CONFLICT, "without weights"},
        {"quantum = 100\n", "quantum = 100\noutput_weight = 2\n", ERR_CONFLICT,
         "service pool"},
        {"quantum = 100\n", "quantum = 100\nfencing = checked\n", ERR_CONFLICT,
         "no orders"},
        {"quantum = 100\n", "quantum = 100\nshard_endpoints = 65\n",
         ERR_BAD_VALUE, "from 1 to 64"},
        {"quantum = 100\n", "", ERR_BAD_VALUE, "quantum"},
        {"quantum = 100\n", "quantum = 0\n", ERR_BAD_VALUE, "quantum"},
        {"hold = 5ms", "hold = 5", ERR_BAD_VALUE, "without a unit"},
        {"slots = 8", "slots = 8\nslots = 9", ERR_CONFLICT, "twice"},
        {"slots = 8", "slot = 8", ERR_UNKNOWN_NAME, "\"slot\""},
        {"[pool plain]", "[pool shared]", ERR_CONFLICT, "stands twice"},
        {"pool = plain\nmatch", "pool = plane\nmatch", ERR_UNKNOWN_NAME,
         "route \"/plots/\" names a pool"},
        {"pool = shared\ncopies = 2", "pool = plain\ncopies = 2", ERR_CONFLICT,
         "service pool"},
        {"pool = shared\ncopies = 2", "pool = none\ncopies = 2",
         ERR_UNKNOWN_NAME, "model \"m2\" names a pool"},
        {"copies = 2", "copies = 0", ERR_BAD_VALUE, "copies"},
        {"size = 4GiB", "size = 4", ERR_BAD_VALUE, "unit"},
        {"size = 4GiB", "size = 4GB", ERR_BAD_VALUE, "GiB"},
        {"idempotent = no", "idempotent = never", ERR_BAD_VALUE, "no or yes"},
        {"idempotent = no\n", "", ERR_BAD_VALUE, "idempotent"},
        {"[route /plots/book]\npool = plain",
         "[route /plots/]\nmatch = prefix\npool = plain", ERR_CONFLICT,
         "route \"/plots/*\" stands twice"},
        {"[route /plots/book]", "[route plots/book]", ERR_BAD_VALUE,
         "begins with '/'"},
        {"[route /plots/book]", "[route /plots/book?x=1]", ERR_BAD_VALUE,
         "'?'"},
        {"weight = 2", "weight = 0", ERR_BAD_VALUE, "weight"},
        {"weight = 2\n", "", ERR_BAD_VALUE, "weight"},
        {"key_digest = 001", "key_digest = 01", ERR_BAD_VALUE, "64 hex"},
        {HEX_B, HEX, ERR_CONFLICT, "has the key_digest of account"},
        {"[account b]", "[account c]", ERR_UNKNOWN_NAME, "account that is"},
        {"[account b]", "[account a]", ERR_CONFLICT, "stands twice"},
        {"[entry b/gate]", "[entry a/gate]", ERR_CONFLICT, "stands twice"},
        {"[entry b/gate]", "[entry b]", ERR_SYNTAX, "ACCOUNT/CLASS"},
        {"[entry b/gate]", "[entry b/]", ERR_BAD_VALUE, "entry's class"},
        {"[entry b/gate]", "[entry a/new]", ERR_CONFLICT, "has no entry"},
        {"requests_per_second = 10\nburst", "burst", ERR_CONFLICT,
         "burst without requests_per_second"},
        {"deadline = 2m", "deadline = 0s", ERR_BAD_VALUE, "deadline"},
        {"deadline = 2m", "deadline = 2", ERR_BAD_VALUE, "without a unit"},
        {"priority = deferrable", "priority = low", ERR_BAD_VALUE,
         "urgent or deferrable"},
        {"body = 64KiB", "body = 64", ERR_BAD_VALUE, "without a unit"},
    };

    return cr_make_param_array(error_case, cases,
                               sizeof cases / sizeof cases[0]);
}

static void
replace(const char *text, const error_case *c, char *result, size_t size)
{
    const char *at = strstr(text, c->from);

    cr_assert_not_null(at, "%s", c->from);
    snprintf(result, size, "%.*s%s%s", (int)(at - text), text, c->new_text,
             at + strlen(c->from));
}

ParameterizedTest(error_case *c, catalogue, faults)
{
    cat_catalogue catalogue;
    err_list errors;
    char text[4096];
    char line[1024] = "";
    bool is_reported = false;

    replace(text_catalogue, c, text, sizeof text);
    cr_assert_not(parse(&catalogue, text, &errors), "%s", c->new_text);
    cr_assert_eq(catalogue.account_count, 0);
    for (size_t i = 0; i < errors.count && i < ERR_LIST_SIZE; i++) {
        err_item_format(&errors.items[i], line, sizeof line);
        is_reported = is_reported || (errors.items[i].error.kind == c->kind &&
                                      strstr(line, c->expected) != NULL &&
                                      errors.items[i].error.remedy[0] != '\0');
    }
    cr_assert(is_reported, "%s -> %s: %s", c->from, c->new_text, line);
}

Test(catalogue, all_errors_are_reported_with_lines)
{
    cat_catalogue catalogue;
    err_list errors;

    cr_assert_not(parse(&catalogue,
                        "[catalogue]\nrevision = x\n[pool p]\nkind = engine\n"
                        "[thing]\n[route x]\n",
                        &errors));
    cr_assert_eq(errors.items[0].line, 2);
    cr_assert_eq(errors.items[1].line, 3); /* slots */
    cr_assert_eq(errors.items[2].line, 3); /* quantum */
    cr_assert_eq(errors.items[3].line, 3); /* default_cost */
    cr_assert_eq(errors.items[4].line, 3); /* weights of tokens */
    cr_assert_eq(errors.items[5].line, 5);
    cr_assert_eq(errors.items[6].line, 6);
    cr_assert_eq(errors.count, 7);
}

static size_t
make_parts(text_buffer *texts, cat_part *parts, uint64_t revision,
           unsigned accounts, unsigned per_part)
{
    size_t count =
        text_make_catalogue(texts, MAX_PARTS, revision, accounts, per_part);

    for (size_t i = 0; i < count; i++) {
        parts[i] = (cat_part){"part", texts[i].text, texts[i].size};
    }
    return count;
}

static void
free_texts(text_buffer *texts)
{
    for (size_t i = 0; i < MAX_PARTS; i++) {
        text_finish(&texts[i]);
    }
}

Test(catalogue, head_lists_parts_and_digests)
{
    text_buffer texts[MAX_PARTS] = {{0}};
    cat_part parts[MAX_PARTS];
    uint64_t digests[MAX_PARTS];
    uint64_t revision = 0;
    size_t count = make_parts(texts, parts, 12, 30, 10);
    size_t listed_count = 0;
    err_error error;

    cr_assert_eq(count, 4);
    cr_assert(cat_read_head(&parts[0], &revision, digests, MAX_PARTS,
                            &listed_count, &error));
    cr_assert_eq(revision, 12);
    cr_assert_eq(listed_count, 3);
    cr_assert_eq(digests[2], cat_digest_part(parts[3].text, parts[3].size));
    cr_assert_not(cat_read_head(&parts[0], &revision, digests, 2,
                                &listed_count, &error));
    cr_assert_eq(error.kind, ERR_LIMIT);
    cr_assert_not(cat_read_head(&parts[1], &revision, digests, MAX_PARTS,
                                &listed_count, &error));
    free_texts(texts);
}

Test(catalogue, part_with_other_digest_is_rejected)
{
    text_buffer texts[MAX_PARTS] = {{0}};
    cat_part parts[MAX_PARTS];
    cat_catalogue catalogue;
    err_list errors;
    size_t count = make_parts(texts, parts, 12, 30, 10);
    char expected_remedy[64];

    cr_assert(cat_init(&catalogue, parts, count, &errors));
    cat_finish(&catalogue);
    texts[2].text[12] ^= 1;
    cr_assert_not(cat_init(&catalogue, parts, count, &errors));
    snprintf(expected_remedy, sizeof expected_remedy, "write 2 = %016" PRIx64,
             cat_digest_part(parts[2].text, parts[2].size));
    cr_assert_not_null(strstr(errors.items[0].error.remedy, expected_remedy));
    texts[2].text[12] ^= 1;
    cr_assert_not(cat_init(&catalogue, parts, count - 1, &errors));
    cr_assert_not_null(strstr(errors.items[0].error.message, "parts = 3"));
    free_texts(texts);
}

Test(catalogue, oversized_and_missing_parts_are_rejected)
{
    cat_catalogue catalogue;
    err_list errors;
    char *text = malloc(CAT_PART_SIZE + 1);
    cat_part part = {"head", text, CAT_PART_SIZE + 1};

    memset(text, '\n', CAT_PART_SIZE + 1);
    cr_assert_not(cat_init(&catalogue, &part, 1, &errors));
    cr_assert_eq(errors.items[0].error.kind, ERR_LIMIT);
    cr_assert_not(cat_init(&catalogue, &part, 0, &errors));
    free(text);
}

/* Each account is found by id and by key and has its own entries. */
Test(catalogue, finds_each_of_36000_accounts)
{
    text_buffer texts[MAX_PARTS] = {{0}};
    cat_part parts[MAX_PARTS];
    cat_catalogue catalogue;
    err_list errors;
    size_t count = make_parts(texts, parts, 1, 36000, 2500);

    cr_assert(cat_init(&catalogue, parts, count, &errors));
    cr_assert_eq(catalogue.account_count, 36000);
    cr_assert_eq(catalogue.entry_count, 72000);
    for (uint32_t i = 0; i < catalogue.account_count; i++) {
        const cat_account *account = &catalogue.accounts[i];
        char full_name[LV_NAME_SIZE * 2];
        lv_handle entry = cat_find_entry(&catalogue, i, "drafts");

        cr_assert_eq(cat_find_account(&catalogue, account->id), i);
        cr_assert_eq(cat_find_account_by_key(&catalogue, account->key_digest),
                     i);
        snprintf(full_name, sizeof full_name, "%s/drafts", account->name);
        cr_assert_eq(catalogue.entries[entry].id, lv_hash_name(full_name));
    }
    cat_finish(&catalogue);
    free_texts(texts);
}

static bool
is_same_catalogue(const cat_catalogue *a, const cat_catalogue *b)
{
    return a->revision == b->revision && a->digest == b->digest &&
           a->account_count == b->account_count &&
           a->entry_count == b->entry_count &&
           memcmp(a->accounts, b->accounts,
                  a->account_count * sizeof *a->accounts) == 0 &&
           memcmp(a->entries, b->entries,
                  a->entry_count * sizeof *a->entries) == 0 &&
           memcmp(a->key_index, b->key_index,
                  a->account_count * sizeof *a->key_index) == 0;
}

/* Guards against stale rows from the cache: over a sequence of catalogues with
 * more and fewer accounts, other part sizes and invalid parts, the catalogue
 * and the errors with a cache are the same as without one. */
Test(catalogue, cached_result_equals_uncached_result)
{
    static const unsigned shapes[][2] = {{30, 10}, {31, 10}, {31, 10},
                                         {12, 10}, {60, 20}, {60, 5},
                                         {1, 10},  {30, 10}};
    cat_cache cache = {0};

    for (size_t i = 0; i < 4 * sizeof shapes / sizeof shapes[0]; i++) {
        const unsigned *shape = shapes[i % (sizeof shapes / sizeof shapes[0])];
        text_buffer texts[MAX_PARTS] = {{0}};
        cat_part parts[MAX_PARTS];
        cat_catalogue uncached;
        cat_catalogue cached;
        err_list uncached_errors;
        err_list cached_errors;
        size_t count = make_parts(texts, parts, i + 1, shape[0], shape[1]);
        bool is_valid;

        if (i % 3 == 2) {
            texts[count - 1].text[3] ^= 1;
        }
        is_valid = cat_init(&uncached, parts, count, &uncached_errors);
        cr_assert_eq(
            cat_init_cached(&cached, &cache, parts, count, &cached_errors),
            is_valid);
        cr_assert_eq(uncached_errors.count, cached_errors.count);
        cr_assert(!is_valid || is_same_catalogue(&uncached, &cached));
        cr_assert(!is_valid || cache.count == count - 1);
        for (size_t e = 0; e < uncached_errors.count; e++) {
            cr_assert_str_eq(uncached_errors.items[e].error.message,
                             cached_errors.items[e].error.message);
            cr_assert_eq(uncached_errors.items[e].line,
                         cached_errors.items[e].line);
        }
        cat_finish(&uncached);
        cat_finish(&cached);
        free_texts(texts);
    }
    cr_assert_gt(cat_cache_memory(&cache), 0);
    cat_cache_finish(&cache);
}

Test(catalogue, unknown_keys_are_not_found)
{
    cat_catalogue catalogue;
    err_list errors;
    uint8_t digest[CAT_KEY_DIGEST_SIZE];

    cr_assert(parse(&catalogue, text_catalogue, &errors));
    cr_assert(val_parse_hex(HEX, digest, sizeof digest, NULL));
    cr_assert_neq(cat_find_account_by_key(&catalogue, digest), LV_HANDLE_NONE);
    digest[CAT_KEY_DIGEST_SIZE - 1] ^= 1;
    cr_assert_eq(cat_find_account_by_key(&catalogue, digest), LV_HANDLE_NONE);
    memset(digest, 0xff, sizeof digest);
    cr_assert_eq(cat_find_account_by_key(&catalogue, digest), LV_HANDLE_NONE);
    cat_finish(&catalogue);
}

/* Random changes of a valid text parse or give an error; none crashes. */
Test(catalogue, mutated_text_parses_or_gives_an_error)
{
    uint64_t seed = 21;
    uint32_t valid_count = 0;

    for (int i = 0; i < 5000; i++) {
        cat_catalogue catalogue;
        err_list errors;
        size_t size;
        char *text =
            text_mutate(text_catalogue, strlen(text_catalogue), &seed, &size);
        cat_part part = {"head", text, size};
        uint64_t digests[4];
        uint64_t revision = 0;
        size_t listed_count = 0;
        bool is_valid = cat_init(&catalogue, &part, 1, &errors);

        cr_assert_eq(is_valid, errors.count == 0);
        if (is_valid) {
            cr_assert(cat_read_head(&part, &revision, digests, 4,
                                    &listed_count, NULL));
            cr_assert_eq(revision, catalogue.revision);
        }
        valid_count += is_valid;
        cat_finish(&catalogue);
        free(text);
    }
    cr_assert(valid_count > 0 && valid_count < 5000, "%u", valid_count);
}

/* Reads a file of the example in etc/catalogue; the caller frees the text. */
static char *
read_example(const char *name, size_t *size)
{
    char path[128];
    char *text = malloc(CAT_PART_SIZE);
    FILE *file;

    snprintf(path, sizeof path, "../etc/catalogue/%s", name);
    file = fopen(path, "rb");
    cr_assert_not_null(file, "%s", path);
    *size = fread(text, 1, CAT_PART_SIZE, file);
    fclose(file);
    return text;
}

Test(catalogue, example_is_valid)
{
    cat_part parts[2] = {{"head.ini", NULL, 0}, {"accounts-1.ini", NULL, 0}};
    cat_catalogue catalogue;
    lists_snapshot lists;
    err_list errors;
    char *texts[3];
    size_t size;

    texts[0] = read_example("head.ini", &parts[0].size);
    texts[1] = read_example("accounts-1.ini", &parts[1].size);
    texts[2] = read_example("lists.ini", &size);
    parts[0].text = texts[0];
    parts[1].text = texts[1];
    cr_assert(cat_init(&catalogue, parts, 2, &errors), "%s; %s",
              errors.items[0].error.message, errors.items[0].error.remedy);
    cr_assert(lists_init(&lists, "lists.ini", texts[2], size, &errors));
    for (uint32_t i = 0; i < lists.endpoint_count; i++) {
        cr_assert_neq(cat_find_pool(&catalogue, lists.endpoints[i].pool),
                      LV_HANDLE_NONE);
    }
    cat_finish(&catalogue);
    lists_finish(&lists);
    for (int i = 0; i < 3; i++) {
        free(texts[i]);
    }
}
