/*
 * The codec of peer messages: what goes in comes out, unknown keys are
 * skipped, malformed messages are refused, and random bytes never crash.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "lavender/message.h"

/* A hostile length makes the decoder's library ask for much memory; the
 * sanitizer must answer with NULL like malloc does. */
const char *__asan_default_options(void);

const char *
__asan_default_options(void)
{
    return "allocator_may_return_null=1:max_allocation_size_mb=256";
}

#define FUZZ_ROUNDS 20000
#define FUZZ_SEED 20261203u

static const msg_demand demands[] = {
    {11, {1, 2}, {300, 400}, 5},
    {12, {0, 70000}, {0, UINT64_MAX}, 0},
};
static const msg_lease held[] = {{1, 2, 3, true, CAT_DEFERRABLE}};
static const uint64_t released[] = {7, 8, UINT64_MAX};
static const msg_service services[] = {{11, -5, INT64_MAX, INT64_MIN}};
static const msg_grant grants[] = {{9, 10, LV_ID_NONE}};
static const msg_level levels[] = {{11, -1, 3}};
static const msg_member members[] = {{4, 5, MSG_MEMBER_LEFT, true, 6}};
static const msg_leaving leaving[] = {{21, 22}};

static msg_message
make_full(void)
{
    msg_message message = {
        .kind = MSG_REPORT,
        .version = MSG_VERSION,
        .sender = 77,
        .incarnation = 88,
        .docs = {{3, 4}, {5, 6}},
        .sequence = 9,
        .is_full = true,
        .sent = 123456789,
        .demands = demands,
        .demand_count = 2,
        .held = held,
        .held_count = 1,
        .released = released,
        .released_count = 3,
        .services = services,
        .service_count = 1,
        .grants = grants,
        .grant_count = 1,
        .levels = levels,
        .level_count = 1,
        .members = members,
        .member_count = 1,
        .leaving = leaving,
        .leaving_count = 1,
        .body = "text\0more",
        .body_size = 9,
    };

    return message;
}

Test(message, comes_out_as_it_went_in)
{
    msg_message in = make_full();
    msg_message out;
    msg_buffer buffer;
    char *bytes;
    size_t size;

    msg_buffer_init(&buffer);
    cr_assert(msg_encode(&in, &bytes, &size, NULL));
    cr_assert(msg_decode(bytes, size, &out, &buffer, NULL));
    cr_assert_eq(out.kind, MSG_REPORT);
    cr_assert_eq(out.sender, 77);
    cr_assert_eq(out.docs[DOC_LISTS].digest, 6);
    cr_assert(out.is_full);
    cr_assert_not(out.is_claim);
    cr_assert_eq(out.demand_count, 2);
    cr_assert_eq(out.demands[1].waiting[CAT_DEFERRABLE], 70000);
    cr_assert_eq(out.demands[1].oldest_age[CAT_DEFERRABLE], UINT64_MAX);
    cr_assert_eq(out.held[0].endpoint, 2);
    cr_assert_eq(out.held[0].priority, CAT_DEFERRABLE);
    cr_assert_eq(out.released[2], UINT64_MAX);
    cr_assert_eq(out.services[0].total, -5);
    cr_assert_eq(out.services[0].level, INT64_MAX);
    cr_assert_eq(out.services[0].since, INT64_MIN);
    cr_assert_eq(out.grants[0].lease, 9);
    cr_assert_eq(out.levels[0].level, -1);
    cr_assert_eq(out.members[0].state, MSG_MEMBER_LEFT);
    cr_assert(out.members[0].is_draining);
    cr_assert_eq(out.members[0].refutation, 6);
    cr_assert_eq(out.leaving[0].list_revision, 22);
    cr_assert_eq(out.body_size, 9);
    cr_assert_arr_eq(out.body, "text\0more", 9);
    free(bytes);
    msg_buffer_finish(&buffer);
}

typedef struct raw_case {
    const char *name;
    const char *bytes;
    size_t size;
    bool is_ok;
} raw_case;

#define RAW(name, text, ok)                                                   \
    {                                                                         \
        name, text, sizeof(text) - 1, ok                                      \
    }

static const raw_case raw_cases[] = {
    RAW("ping with the least", "\x83\x01\x01\x02\x01\x03\x05", true),
    RAW("unknown key is skipped",
        "\x84\x01\x01\x02\x01\x03\x05\xcd\x03\xe8\xa3zzz", true),
    RAW("item with more fields than known",
        "\x84\x01\x01\x02\x01\x03\x05\x28\x91\x96\x01\x02\x01\xc3\x07\x08",
        true),
    RAW("item with fewer fields",
        "\x84\x01\x01\x02\x01\x03\x05\x28\x91\x91\x01", true),
    RAW("nothing", "", false),
    RAW("not a map", "\x93\x01\x02\x03", false),
    RAW("cut off", "\x83\x01\x01\x02\x01\x03", false),
    RAW("more bytes behind", "\x83\x01\x01\x02\x01\x03\x05\x00", false),
    RAW("no kind", "\x82\x02\x01\x03\x05", false),
    RAW("unknown kind", "\x83\x01\x70\x02\x01\x03\x05", false),
    RAW("no sender", "\x82\x01\x01\x02\x01", false),
    RAW("no version", "\x82\x01\x01\x03\x05", false),
    RAW("key is a text", "\x84\x01\x01\x02\x01\x03\x05\xa1k\x01", false),
    RAW("list is a number", "\x84\x01\x01\x02\x01\x03\x05\x28\x07", false),
    RAW("same list twice",
        "\x85\x01\x01\x02\x01\x03\x05\x28\x91\x91\x01\x28\x91\x91\x01", false),
    RAW("negative where none may be", "\x83\x01\x01\x02\x01\x03\xff", false),
    RAW("state out of range",
        "\x84\x01\x01\x02\x01\x03\x05\x28\x91\x93\x01\x02\x09", false),
    RAW("list that claims four thousand million items",
        "\x84\x01\x01\x02\x01\x03\x05\x28\xdd\xff\xff\xff\xff", false),
};

Test(message, table_of_raw_messages)
{
    msg_buffer buffer;

    msg_buffer_init(&buffer);
    for (size_t i = 0; i < sizeof raw_cases / sizeof raw_cases[0]; i++) {
        const raw_case *c = &raw_cases[i];
        char *exact = malloc(c->size + 1);
        msg_message message;
        err_error error;

        err_clear(&error);
        memcpy(exact, c->bytes, c->size);
        cr_expect_eq(msg_decode(exact, c->size, &message, &buffer, &error),
                     c->is_ok, "%s: %s", c->name, error.message);
        cr_expect(c->is_ok || error.remedy[0] != '\0', "%s", c->name);
        free(exact);
    }
    msg_buffer_finish(&buffer);
}

Test(message, too_many_items_are_refused)
{
    msg_message message = make_full();
    char *bytes;
    size_t size;
    err_error error;

    message.released_count = MSG_ITEMS_MAX + 1;
    cr_assert_not(msg_encode(&message, &bytes, &size, &error));
    cr_assert_eq(error.kind, ERR_LIMIT);
}

static uint32_t
next_random(uint32_t *state)
{
    *state = *state * 1664525u + 1013904223u;
    return *state >> 8;
}

Test(message, mutated_messages_never_crash)
{
    msg_message in = make_full();
    uint32_t state = FUZZ_SEED;
    uint32_t accepted = 0;
    msg_buffer buffer;
    char *bytes;
    size_t size;

    msg_buffer_init(&buffer);
    cr_assert(msg_encode(&in, &bytes, &size, NULL));
    for (int round = 0; round < FUZZ_ROUNDS; round++) {
        size_t kept = size - next_random(&state) % (size / 4);
        uint32_t changes = 1 + next_random(&state) % 4;
        char *copy = malloc(kept);
        msg_message out;

        if (next_random(&state) % 2 == 0) {
            kept = size;
            free(copy);
            copy = malloc(kept);
        }
        memcpy(copy, bytes, kept);
        for (uint32_t i = 0; i < changes; i++) {
            copy[next_random(&state) % kept] = (char)next_random(&state);
        }
        if (msg_decode(copy, kept, &out, &buffer, NULL)) {
            accepted++;
            cr_assert_lt(out.kind, MSG_KIND_END);
            cr_assert_leq(out.demand_count, MSG_ITEMS_MAX);
        }
        free(copy);
    }
    cr_assert_gt(accepted, 0);
    cr_assert_lt(accepted, FUZZ_ROUNDS);
    free(bytes);
    msg_buffer_finish(&buffer);
}
