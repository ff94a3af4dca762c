/*
 * Tokens that an account was served: the sum of the requests that endpoints
 * began to run, whatever became of the others.
 */
#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#include "stage.h"

#define TOKENS 1000
#define HEADERS                                                               \
    "Lavenderproxy-Token-Counts: 800,100\r\n"                                 \
    "Lavenderproxy-Prompt-Prefix: 1:500,2:300\r\n"

static stage_fixture stage;

static const struct outcome {
    stage_mode mode;
    const char *path;
    uint32_t begun; /* runs whose output the gateway saw */
} outcomes[] = {
    {STAGE_RESPOND, "/many/1", 1},
    {STAGE_RESPOND, "/once/1", 1},
    {STAGE_STREAM, "/stream/1", 1},
    {STAGE_STREAM_TRUNCATED, "/stream/1", 1},
    {STAGE_STREAM, "/resume/1", 1},
    {STAGE_STREAM_TRUNCATED, "/resume/1", 1},
    {STAGE_SHED, "/many/1", 0},
    {STAGE_SHED, "/once/1", 0},
    {STAGE_RESET, "/many/1", 0},
    {STAGE_RESET, "/once/1", 0},
    {STAGE_NO_RESPONSE, "/once/1", 0},
    {STAGE_UNSEALED, "/once/1", 0},
    {STAGE_GARBAGE, "/once/1", 0},
    {STAGE_ERROR, "/once/1", 1},
};

#define OUTCOME_COUNT (sizeof outcomes / sizeof outcomes[0])

static const shr_account *
account(void)
{
    shr_shares *shares = &stage.gate.shares;

    return &shares->accounts[shr_find_or_add(shares, lv_hash_name("north"))];
}

static void
play(const struct outcome *outcome)
{
    stage_response answer;

    for (uint32_t i = 0; i < stage.endpoint_count; i++) {
        stage.endpoints[i].mode = outcome->mode;
    }
    stage_exchange(&stage, outcome->path, HEADERS, &answer);
}

Test(share_accounting, request_counts_when_its_run_began)
{
    for (size_t i = 0; i < OUTCOME_COUNT; i++) {
        stage_start(&stage, 2);
        play(&outcomes[i]);
        stage_run_for(&stage, 50);
        cr_expect_eq(account()->local.requested, TOKENS, "case %zu", i);
        cr_expect_eq(account()->local.served, outcomes[i].begun * TOKENS,
                     "case %zu: %u", i, account()->local.served);
        stage_stop(&stage);
    }
}

static bool
is_forwarded(stage_fixture *self, void *context)
{
    (void)context;
    return self->endpoints[0].requests > 0;
}

static bool
is_given_up(stage_fixture *self, void *context)
{
    (void)context;
    return self->gate.request_count == 0;
}

Test(share_accounting, caller_that_leaves_before_the_run_began_gets_it_back)
{
    static const struct {
        stage_mode mode;
        uint32_t begun;
    } cases[] = {{STAGE_NO_RESPONSE, 0}, {STAGE_STREAM_STALL, 1}};
    static const char request[] =
        "POST /stream/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
        "Lavenderproxy-Attempt-Id: a\r\n" HEADERS "Content-Length: 0\r\n\r\n";

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_client client;

        stage_start(&stage, 1);
        stage.endpoints[0].mode = cases[i].mode;
        stage_send(&stage, &client, request, sizeof request - 1);
        cr_assert(stage_run_until(&stage, is_forwarded, NULL, 1000));
        stage_run_for(&stage, 100);
        cr_expect_eq(account()->local.served, TOKENS, "counted at the start");
        stage_disconnect(&stage, &client);
        cr_assert(stage_run_until(&stage, is_given_up, NULL, 1000));
        cr_expect_eq(account()->local.served, cases[i].begun * TOKENS,
                     "case %zu: %u", i, account()->local.served);
        buf_finish(&client.response);
        stage_stop(&stage);
    }
}

Test(share_accounting, sums_hold_over_random_schedules, .timeout = 120)
{
    for (uint64_t seed = 1; seed <= 4; seed++) {
        uint64_t state = seed;
        uint32_t begun = 0;

        stage_start(&stage, 3);
        for (int i = 0; i < 25; i++) {
            const struct outcome *outcome;

            state = map_mix(state + 0x9e3779b97f4a7c15u);
            outcome = &outcomes[state % OUTCOME_COUNT];
            if (outcome->mode == STAGE_NO_RESPONSE) {
                continue; /* takes its whole time-out */
            }
            play(outcome);
            begun += outcome->begun;
        }
        stage_run_for(&stage, 100);
        cr_expect_eq(account()->local.served, begun * TOKENS,
                     "seed %llu: %u of %u", (unsigned long long)seed,
                     account()->local.served, begun * TOKENS);
        stage_stop(&stage);
    }
}

/* Guards against telling an account that floods the fleet that the service is
 * not available, and an account within its share that it sends too much. */
Test(share_accounting, refusals_tell_who_asks_too_much)
{
    static const struct {
        uint32_t requested; /* by "north" */
        uint32_t others;    /* requested by another account */
        uint32_t endpoints;
        uint32_t status;
    } cases[] = {{100000, 100000, 1, 429},
                 {1000, 200000, 1, 503},
                 {100000, 100000, 0, 503}};

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        shr_shares *shares = &stage.gate.shares;
        stage_response answer;
        lv_handle north, other;

        stage_start(&stage, 1);
        if (cases[i].endpoints == 0) {
            eng_unlist(&stage.gate.endpoints, 0);
        }
        eng_at(&stage.gate.endpoints, 0)->local.in_flight = 100000;
        north = shr_find_or_add(shares, lv_hash_name("north"));
        other = shr_find_or_add(shares, lv_hash_name("south"));
        shr_add_requested(shares, north, cases[i].requested, io_now());
        shr_add_requested(shares, other, cases[i].others, io_now());
        shr_add_served(shares, north, 500, io_now());
        shr_add_served(shares, other, 50000, io_now());
        stage_exchange(&stage, "/stream/1", HEADERS, &answer);
        cr_expect_eq(answer.status, cases[i].status, "case %zu: %u", i,
                     answer.status);
        cr_expect_not_null(strstr(answer.head, "Retry-After:"));
        stage_stop(&stage);
    }
}
