/*
 * The catalogue: what is parsed, what each fault is told, and its size.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lavender/value.h"
#include "texts.h"

#define PARTS 32

static bool
parse(cat_catalogue *catalogue, const char *text, err_list *errors)
{
    cat_part part = {"head", text, strlen(text)};

    return cat_init(catalogue, &part, 1, errors);
}

Test(catalogue, a_valid_catalogue)
{
    cat_catalogue catalogue;
    err_list errors;
    lv_handle a;
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
    a = cat_find_account(&catalogue, lv_hash_name("a"));
    cr_assert_eq(catalogue.accounts[a].weight, 2);
    cr_assert_eq(catalogue.accounts[a].entry_count, 2);
    entry = &catalogue.entries[cat_find_entry(&catalogue, a, NULL)];
    cr_assert_str_eq(entry->class_name, "gate");
    cr_assert_eq(entry->account, a);
    cr_assert_eq(entry->limits.deadline, 5 * LV_SECOND);
    cr_assert_eq(entry->limits.body, 65536);
    cr_assert_eq(entry->limits.burst, 20);
    entry = &catalogue.entries[cat_find_entry(&catalogue, a, "drafts")];
    cr_assert_eq(entry->priority, CAT_DEFERRABLE);
    cr_assert_eq(entry->limits.in_flight, 0);
    cr_assert_eq(cat_find_entry(&catalogue, a, "x"), LV_HANDLE_NONE);
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

/* A fault is made by putting one text in place of another, once. */
typedef struct fault_case {
    char from[72];
    char to[320];
    err_kind kind;
    char words[80];
} fault_case;

#define HEX "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define HEX_B                                                                 \
    "10112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

ParameterizedTestParameters(catalogue, faults)
{
    static fault_case cases[] = {
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

    return cr_make_param_array(fault_case, cases,
                               sizeof cases / sizeof cases[0]);
}

static void
replace(const char *text, const fault_case *c, char *out, size_t size)
{
    const char *at = strstr(text, c->from);

    cr_assert_not_null(at, "%s", c->from);
    snprintf(out, size, "%.*s%s%s", (int)(at - text), text, c->to,
             at + strlen(c->from));
}

ParameterizedTest(fault_case *c, catalogue, faults)
{
    cat_catalogue catalogue;
    err_list errors;
    char text[4096];
    char line[1024] = "";
    bool is_found = false;

    replace(text_catalogue, c, text, sizeof text);
    cr_assert_not(parse(&catalogue, text, &errors), "%s", c->to);
    cr_assert_eq(catalogue.account_count, 0);
    for (size_t i = 0; i < errors.count && i < ERR_LIST_SIZE; i++) {
        err_item_format(&errors.items[i], line, sizeof line);
        is_found = is_found || (errors.items[i].error.kind == c->kind &&
                                strstr(line, c->words) != NULL &&
                                errors.items[i].error.remedy[0] != '\0');
    }
    cr_assert(is_found, "%s -> %s: %s", c->from, c->to, line);
}

Test(catalogue, all_faults_at_once_each_with_its_line)
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
make(text_buffer *texts, cat_part *parts, uint64_t revision, unsigned accounts,
     unsigned per_part)
{
    size_t count =
        text_make_catalogue(texts, PARTS, revision, accounts, per_part);

    for (size_t i = 0; i < count; i++) {
        parts[i] = (cat_part){"part", texts[i].text, texts[i].size};
    }
    return count;
}

static void
finish(text_buffer *texts)
{
    for (size_t i = 0; i < PARTS; i++) {
        text_finish(&texts[i]);
    }
}

Test(catalogue, head_names_parts_and_digests)
{
    text_buffer texts[PARTS] = {{0}};
    cat_part parts[PARTS];
    uint64_t digests[PARTS];
    uint64_t revision = 0;
    size_t count = make(texts, parts, 12, 30, 10);
    size_t named = 0;
    err_error error;

    cr_assert_eq(count, 4);
    cr_assert(
        cat_read_head(&parts[0], &revision, digests, PARTS, &named, &error));
    cr_assert_eq(revision, 12);
    cr_assert_eq(named, 3);
    cr_assert_eq(digests[2], cat_digest_part(parts[3].text, parts[3].size));
    cr_assert_not(
        cat_read_head(&parts[0], &revision, digests, 2, &named, &error));
    cr_assert_eq(error.kind, ERR_LIMIT);
    cr_assert_not(
        cat_read_head(&parts[1], &revision, digests, PARTS, &named, &error));
    finish(texts);
}

Test(catalogue, another_part_than_the_head_names_is_refused)
{
    text_buffer texts[PARTS] = {{0}};
    cat_part parts[PARTS];
    cat_catalogue catalogue;
    err_list errors;
    size_t count = make(texts, parts, 12, 30, 10);
    char wanted[64];

    cr_assert(cat_init(&catalogue, parts, count, &errors));
    cat_finish(&catalogue);
    texts[2].text[12] ^= 1;
    cr_assert_not(cat_init(&catalogue, parts, count, &errors));
    snprintf(wanted, sizeof wanted, "write 2 = %016" PRIx64,
             cat_digest_part(parts[2].text, parts[2].size));
    cr_assert_not_null(strstr(errors.items[0].error.remedy, wanted));
    texts[2].text[12] ^= 1;
    cr_assert_not(cat_init(&catalogue, parts, count - 1, &errors));
    cr_assert_not_null(strstr(errors.items[0].error.message, "parts = 3"));
    finish(texts);
}

Test(catalogue, a_part_over_the_bound_is_refused)
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

/* 36,000 accounts; each is found by id and by key, and owns its entries. */
Test(catalogue, thirty_six_thousand_accounts)
{
    text_buffer texts[PARTS] = {{0}};
    cat_part parts[PARTS];
    cat_catalogue catalogue;
    err_list errors;
    size_t count = make(texts, parts, 1, 36000, 2500);

    cr_assert(cat_init(&catalogue, parts, count, &errors));
    cr_assert_eq(catalogue.account_count, 36000);
    cr_assert_eq(catalogue.entry_count, 72000);
    for (uint32_t i = 0; i < catalogue.account_count; i++) {
        const cat_account *account = &catalogue.accounts[i];
        char full[LV_NAME_SIZE * 2];
        lv_handle entry = cat_find_entry(&catalogue, i, "drafts");

        cr_assert_eq(cat_find_account(&catalogue, account->id), i);
        cr_assert_eq(cat_find_account_by_key(&catalogue, account->key_digest),
                     i);
        snprintf(full, sizeof full, "%s/drafts", account->name);
        cr_assert_eq(catalogue.entries[entry].id, lv_hash_name(full));
    }
    cat_finish(&catalogue);
    finish(texts);
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

/* A cache changes neither the catalogue nor the verdict: over a walk of
 * catalogues that grow, shrink, are cut anew and are bad in between. */
Test(catalogue, a_cache_changes_nothing)
{
    static const unsigned walk[][2] = {{30, 10}, {31, 10}, {31, 10}, {12, 10},
                                       {60, 20}, {60, 5},  {1, 10},  {30, 10}};
    cat_cache cache = {0};

    for (size_t i = 0; i < 4 * sizeof walk / sizeof walk[0]; i++) {
        const unsigned *shape = walk[i % (sizeof walk / sizeof walk[0])];
        text_buffer texts[PARTS] = {{0}};
        cat_part parts[PARTS];
        cat_catalogue plain;
        cat_catalogue cached;
        err_list plain_errors;
        err_list cached_errors;
        size_t count = make(texts, parts, i + 1, shape[0], shape[1]);
        bool is_good;

        if (i % 3 == 2) {
            texts[count - 1].text[3] ^= 1;
        }
        is_good = cat_init(&plain, parts, count, &plain_errors);
        cr_assert_eq(
            cat_init_cached(&cached, &cache, parts, count, &cached_errors),
            is_good);
        cr_assert_eq(plain_errors.count, cached_errors.count);
        cr_assert(!is_good || is_same_catalogue(&plain, &cached));
        cr_assert(!is_good || cache.count == count - 1);
        for (size_t e = 0; e < plain_errors.count; e++) {
            cr_assert_str_eq(plain_errors.items[e].error.message,
                             cached_errors.items[e].error.message);
            cr_assert_eq(plain_errors.items[e].line,
                         cached_errors.items[e].line);
        }
        cat_finish(&plain);
        cat_finish(&cached);
        finish(texts);
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
    cr_assert(val_read_hex(HEX, digest, sizeof digest, NULL));
    cr_assert_neq(cat_find_account_by_key(&catalogue, digest), LV_HANDLE_NONE);
    digest[CAT_KEY_DIGEST_SIZE - 1] ^= 1;
    cr_assert_eq(cat_find_account_by_key(&catalogue, digest), LV_HANDLE_NONE);
    memset(digest, 0xff, sizeof digest);
    cr_assert_eq(cat_find_account_by_key(&catalogue, digest), LV_HANDLE_NONE);
    cat_finish(&catalogue);
}

/* Random changes of a valid text parse or give an error, never a crash. */
Test(catalogue, mutations_parse_or_give_an_error)
{
    uint64_t state = 21;
    uint32_t good = 0;

    for (int i = 0; i < 5000; i++) {
        cat_catalogue catalogue;
        err_list errors;
        size_t size;
        char *text =
            text_mutate(text_catalogue, strlen(text_catalogue), &state, &size);
        cat_part part = {"head", text, size};
        uint64_t digests[4];
        uint64_t revision = 0;
        size_t named = 0;
        bool is_good = cat_init(&catalogue, &part, 1, &errors);

        cr_assert_eq(is_good, errors.count == 0);
        if (is_good) {
            cr_assert(
                cat_read_head(&part, &revision, digests, 4, &named, NULL));
            cr_assert_eq(revision, catalogue.revision);
        }
        good += is_good;
        cat_finish(&catalogue);
        free(text);
    }
    cr_assert(good > 0 && good < 5000, "%u", good);
}

/* The example under etc/ is a valid catalogue. */
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

Test(catalogue, the_example_is_valid)
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
