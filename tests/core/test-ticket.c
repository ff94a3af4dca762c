/*
 * Tickets: verdicts on first and repeated uses, expiry, and the limits on
 * tickets and remembered answers.
 */
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "lavender/ticket.h"

#define SELF 11
#define ACCOUNT 5
#define BODY_HASH 1234

static tkt_store store;
static char text[TKT_TEXT_SIZE];
static err_error error;

static tkt_settings
default_settings(void)
{
    tkt_settings settings = {.lifetime = 10 * LV_SECOND,
                             .max_tickets = 8,
                             .max_total_answer_size = 100,
                             .max_answer_size = 60};

    memset(settings.key, 0x5a, sizeof settings.key);
    return settings;
}

static void
init_store(void)
{
    tkt_settings settings = default_settings();

    cr_assert(tkt_init(&store, &settings, SELF, 3, &error) &&
              tkt_mint(&store, 0, ACCOUNT, text, &error));
}

static void
finish_store(void)
{
    tkt_finish(&store);
}

TestSuite(ticket, .init = init_store, .fini = finish_store);

static tkt_verdict
use(lv_time now, lv_handle *handle)
{
    lv_id minter;

    return tkt_redeem(&store, now, text, ACCOUNT, BODY_HASH, handle, &minter);
}

static void
end_request(lv_handle handle, out_kind kind, const char *body)
{
    tkt_answer answer = {.outcome = {kind, OUT_REASON_NONE, 0},
                         .status = 200,
                         .content_type = "text/plain",
                         .body = body,
                         .body_size = strlen(body)};

    tkt_complete(&store, 0, handle, &answer);
}

Test(ticket, verdict_follows_the_state_of_the_request)
{
    lv_handle first;
    lv_handle second;
    tkt_answer answer;

    cr_assert_eq(use(1, &first), TKT_RUN);
    cr_assert_eq(use(2, &second), TKT_JOIN);
    cr_assert_eq(first, second);
    cr_assert_not(tkt_read_answer(&store, first, &answer));
    end_request(first, OUT_DONE, "booked");
    cr_assert_eq(use(3, &second), TKT_REPLAY);
    cr_assert(tkt_read_answer(&store, second, &answer));
    cr_assert_eq(answer.body_size, 6);
    cr_assert_eq(memcmp(answer.body, "booked", 6), 0);
    cr_assert_eq(answer.status, 200);
    cr_assert_not(answer.is_truncated);
    end_request(first, OUT_UNKNOWN, "again");
    cr_assert(tkt_read_answer(&store, second, &answer));
    cr_assert_eq(answer.outcome.kind, OUT_DONE, "the first answer is kept");
}

Test(ticket, unknown_outcome_is_replayed)
{
    lv_handle handle;
    tkt_answer answer;

    cr_assert_eq(use(1, &handle), TKT_RUN);
    end_request(handle, OUT_UNKNOWN, "");
    cr_assert_eq(use(2, &handle), TKT_REPLAY);
    cr_assert(tkt_read_answer(&store, handle, &answer));
    cr_assert_eq(answer.outcome.kind, OUT_UNKNOWN);
}

Test(ticket, released_ticket_may_run_again)
{
    lv_handle handle;

    cr_assert_eq(use(1, &handle), TKT_RUN);
    tkt_release(&store, handle);
    cr_assert_eq(use(2, &handle), TKT_RUN);
    end_request(handle, OUT_NOT_RUN, "");
    cr_assert_eq(use(3, &handle), TKT_RUN);
    end_request(handle, OUT_DONE, "x");
    tkt_release(&store, handle);
    cr_assert_eq(use(4, &handle), TKT_REPLAY,
                 "an ended ticket is not released");
}

Test(ticket, other_body_is_a_mismatch_in_every_state)
{
    lv_handle handle;
    lv_id minter;

    cr_assert_eq(use(1, &handle), TKT_RUN);
    for (int i = 0; i < 3; i++) {
        cr_assert_eq(tkt_redeem(&store, 2, text, ACCOUNT, BODY_HASH + 1,
                                &handle, &minter),
                     TKT_MISMATCH, "state %d", i);
        if (i == 0) {
            end_request(handle, OUT_DONE, "x");
        }
    }
}

Test(ticket, ticket_expires_on_the_minters_clock)
{
    lv_handle handle;

    cr_assert_eq(use(10 * LV_SECOND - 1, &handle), TKT_RUN);
    cr_assert_eq(use(10 * LV_SECOND, &handle), TKT_EXPIRED);
    tkt_remove_expired(&store, 20 * LV_SECOND);
    cr_assert_eq(store.count, 1, "still running");
    end_request(handle, OUT_DONE, "late");
    cr_assert_eq(use(20 * LV_SECOND, &handle), TKT_EXPIRED);
    tkt_remove_expired(&store, 20 * LV_SECOND);
    cr_assert_eq(store.count, 0);
    cr_assert_eq(store.answer_bytes, 0);
    cr_assert_eq(use(20 * LV_SECOND, &handle), TKT_EXPIRED);
}

typedef struct minter_case {
    const char *name;
    lv_id self;
    uint64_t incarnation;
    lv_id account;
    bool has_other_key;
    tkt_verdict verdict;
} minter_case;

Test(ticket, minter_and_account_decide_the_verdict)
{
    static const minter_case cases[] = {
        {"same process", SELF, 3, ACCOUNT, false, TKT_RUN},
        {"restarted", SELF, 4, ACCOUNT, false, TKT_MINTER_RESTARTED},
        {"other instance", SELF + 1, 3, ACCOUNT, false, TKT_RELAY},
        {"other account", SELF, 3, ACCOUNT + 1, false, TKT_INVALID},
        {"other fleet", SELF, 3, ACCOUNT, true, TKT_INVALID},
    };

    for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
        tkt_settings settings = default_settings();
        tkt_store other_store;
        lv_handle handle;
        lv_id minter = 0;
        char other_text[TKT_TEXT_SIZE];
        tkt_verdict verdict;

        if (cases[i].has_other_key) {
            settings.key[0] ^= 1;
        }
        cr_assert(tkt_init(&other_store, &settings, cases[i].self,
                           cases[i].incarnation, &error));
        cr_assert(tkt_mint(&other_store, 0, ACCOUNT, other_text, &error));
        verdict = tkt_redeem(&other_store, 1, text, cases[i].account,
                             BODY_HASH, &handle, &minter);
        cr_assert_eq(verdict, cases[i].verdict, "%s", cases[i].name);
        if (verdict == TKT_RELAY || verdict == TKT_MINTER_RESTARTED) {
            cr_assert_eq(minter, SELF);
        }
        tkt_finish(&other_store);
    }
}

Test(ticket, changed_or_truncated_text_is_invalid)
{
    size_t length = strlen(text);
    lv_handle handle;

    cr_assert_lt(length, TKT_TEXT_SIZE);
    for (size_t i = 0; i < length; i++) {
        char original = text[i];

        text[i] = original == '0' ? '1' : '0';
        cr_assert_eq(use(1, &handle), TKT_INVALID, "byte %zu", i);
        text[i] = '\0';
        cr_assert_eq(use(1, &handle), TKT_INVALID, "truncated to %zu bytes",
                     i);
        text[i] = original;
    }
    cr_assert_eq(use(1, &handle), TKT_RUN);
}

Test(ticket, long_or_empty_text_is_invalid)
{
    char long_text[1000];
    lv_handle handle;
    lv_id minter;

    memset(long_text, 'a', sizeof long_text);
    long_text[sizeof long_text - 1] = '\0';
    memcpy(long_text, text, strlen(text));
    cr_assert_eq(
        tkt_redeem(&store, 1, long_text, ACCOUNT, BODY_HASH, &handle, &minter),
        TKT_INVALID);
    cr_assert_eq(
        tkt_redeem(&store, 1, "", ACCOUNT, BODY_HASH, &handle, &minter),
        TKT_INVALID);
}

Test(ticket, full_store_keeps_tickets_and_reserves_some_for_other_accounts)
{
    char other[TKT_TEXT_SIZE];
    uint32_t minted = 1;
    lv_handle handle;

    while (tkt_mint(&store, 1, ACCOUNT, other, &error)) {
        minted++;
        cr_assert_leq(minted, 8);
    }
    cr_assert_eq(error.kind, ERR_LIMIT);
    cr_assert_eq(minted, 6, "two are reserved for other accounts");
    cr_assert(tkt_mint(&store, 1, ACCOUNT + 1, other, &error));
    cr_assert_eq(use(2, &handle), TKT_RUN, "the oldest has not been removed");
    cr_assert(tkt_mint(&store, 11 * LV_SECOND, ACCOUNT, other, &error));
    cr_assert_eq(store.count, 2, "one is running, one is new");
}

typedef struct size_case {
    size_t size;
    bool is_truncated;
} size_case;

Test(ticket, body_over_the_limits_is_dropped_and_the_outcome_kept)
{
    static const size_case cases[] = {
        {60, false}, {61, true}, {40, false}, {1, true}, {0, false}};
    char body[100];

    memset(body, 'x', sizeof body);
    for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
        tkt_answer answer = {.outcome = {OUT_DONE, OUT_REASON_NONE, 0},
                             .body = body,
                             .body_size = cases[i].size};
        tkt_answer remembered;
        lv_handle handle;

        cr_assert_eq(use(1, &handle), TKT_RUN);
        tkt_complete(&store, 1, handle, &answer);
        cr_assert(tkt_read_answer(&store, handle, &remembered));
        cr_assert_eq(remembered.is_truncated, cases[i].is_truncated,
                     "case %zu", i);
        cr_assert_eq(remembered.body_size,
                     cases[i].is_truncated ? 0 : cases[i].size);
        cr_assert_eq(remembered.outcome.kind, OUT_DONE);
        cr_assert(tkt_mint(&store, 1, ACCOUNT, text, &error));
    }
    cr_assert_eq(store.answer_bytes, 100);
}

Test(ticket, zero_limits_are_rejected)
{
    tkt_settings settings = default_settings();
    tkt_store invalid;

    settings.max_tickets = 0;
    cr_assert_not(tkt_init(&invalid, &settings, SELF, 1, &error));
    cr_assert_eq(error.kind, ERR_BAD_VALUE);
    settings = default_settings();
    settings.lifetime = 0;
    cr_assert_not(tkt_init(&invalid, &settings, SELF, 1, &error));
}

/* Random uses, ends and releases: TKT_RUN is never returned while the request
 * runs or after it has ended. */
Test(ticket, ticket_never_runs_twice)
{
    uint64_t prng_state = 7;

    for (int round = 0; round < 1000; round++) {
        lv_handle handle = LV_HANDLE_NONE;
        bool is_running = false;
        bool has_ended = false;

        cr_assert(tkt_mint(&store, (lv_time)round * LV_SECOND, ACCOUNT, text,
                           &error));
        for (int step = 0; step < 12; step++) {
            lv_time now = (lv_time)round * LV_SECOND + (lv_time)step;

            prng_state = prng_state * UINT64_C(6364136223846793005) + 1;
            switch ((prng_state >> 40) % 4) {
            case 0:
                if (is_running) {
                    end_request(handle, OUT_DONE, "y");
                    has_ended = true;
                    is_running = false;
                }
                break;
            case 1:
                if (is_running) {
                    tkt_release(&store, handle);
                    is_running = false;
                }
                break;
            default:
                if (use(now, &handle) == TKT_RUN) {
                    cr_assert_not(is_running || has_ended, "round %d", round);
                    is_running = true;
                }
                break;
            }
        }
        if (is_running) {
            tkt_release(&store, handle);
        }
        tkt_remove_expired(&store, (lv_time)(round + 6) * LV_SECOND);
        if (store.count > 4) {
            tkt_remove_expired(&store, (lv_time)(round + 20) * LV_SECOND);
        }
    }
}
