/*
 * Tickets: who may run a request under them, what a second use gets, and
 * the bounds.
 */
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "lavender/ticket.h"

#define SELF 11
#define ACCOUNT 5
#define BODY 1234

static tkt_store store;
static char text[TKT_TEXT_SIZE];
static err_error error;

static tkt_settings
usual(void)
{
    tkt_settings settings = {.lifetime = 10 * LV_SECOND,
                             .max_tickets = 8,
                             .max_total_answer_size = 100,
                             .max_answer_size = 60};

    memset(settings.key, 0x5a, sizeof settings.key);
    return settings;
}

static void
start(void)
{
    tkt_settings settings = usual();

    cr_assert(tkt_init(&store, &settings, SELF, 3, &error) &&
              tkt_mint(&store, 0, ACCOUNT, text, &error));
}

static void
stop(void)
{
    tkt_finish(&store);
}

TestSuite(ticket, .init = start, .fini = stop);

static tkt_verdict
use(lv_time now, lv_handle *handle)
{
    lv_id minter;

    return tkt_redeem(&store, now, text, ACCOUNT, BODY, handle, &minter);
}

static void
end(lv_handle handle, out_kind kind, const char *body)
{
    tkt_answer answer = {.outcome = {kind, OUT_REASON_NONE, 0},
                         .status = 200,
                         .content_type = "text/plain",
                         .body = body,
                         .body_size = strlen(body)};

    tkt_complete(&store, 0, handle, &answer);
}

Test(ticket, first_use_runs_second_joins_later_ones_replay)
{
    lv_handle first;
    lv_handle second;
    tkt_answer answer;

    cr_assert_eq(use(1, &first), TKT_RUN);
    cr_assert_eq(use(2, &second), TKT_JOIN);
    cr_assert_eq(first, second);
    cr_assert_not(tkt_read_answer(&store, first, &answer));
    end(first, OUT_DONE, "booked");
    cr_assert_eq(use(3, &second), TKT_REPLAY);
    cr_assert(tkt_read_answer(&store, second, &answer));
    cr_assert_eq(answer.body_size, 6);
    cr_assert_eq(memcmp(answer.body, "booked", 6), 0);
    cr_assert_eq(answer.status, 200);
    cr_assert_not(answer.is_truncated);
    end(first, OUT_UNKNOWN, "again");
    cr_assert(tkt_read_answer(&store, second, &answer));
    cr_assert_eq(answer.outcome.kind, OUT_DONE, "the first end stands");
}

Test(ticket, an_unknown_outcome_is_remembered_and_never_run)
{
    lv_handle handle;
    tkt_answer answer;

    cr_assert_eq(use(1, &handle), TKT_RUN);
    end(handle, OUT_UNKNOWN, "");
    cr_assert_eq(use(2, &handle), TKT_REPLAY);
    cr_assert(tkt_read_answer(&store, handle, &answer));
    cr_assert_eq(answer.outcome.kind, OUT_UNKNOWN);
}

Test(ticket, a_request_that_did_not_run_may_run_again)
{
    lv_handle handle;

    cr_assert_eq(use(1, &handle), TKT_RUN);
    tkt_release(&store, handle);
    cr_assert_eq(use(2, &handle), TKT_RUN);
    end(handle, OUT_NOT_RUN, "");
    cr_assert_eq(use(3, &handle), TKT_RUN);
    end(handle, OUT_DONE, "x");
    tkt_release(&store, handle);
    cr_assert_eq(use(4, &handle), TKT_REPLAY, "an end is not released");
}

Test(ticket, another_body_is_a_mismatch_in_every_state)
{
    lv_handle handle;
    lv_id minter;

    cr_assert_eq(use(1, &handle), TKT_RUN);
    for (int i = 0; i < 3; i++) {
        cr_assert_eq(
            tkt_redeem(&store, 2, text, ACCOUNT, BODY + 1, &handle, &minter),
            TKT_MISMATCH, "state %d", i);
        if (i == 0) {
            end(handle, OUT_DONE, "x");
        }
    }
}

Test(ticket, expiry_is_counted_on_the_minters_clock)
{
    lv_handle handle;

    cr_assert_eq(use(10 * LV_SECOND - 1, &handle), TKT_RUN);
    cr_assert_eq(use(10 * LV_SECOND, &handle), TKT_EXPIRED);
    tkt_remove_expired(&store, 20 * LV_SECOND);
    cr_assert_eq(store.count, 1, "it runs still");
    end(handle, OUT_DONE, "late");
    cr_assert_eq(use(20 * LV_SECOND, &handle), TKT_EXPIRED);
    tkt_remove_expired(&store, 20 * LV_SECOND);
    cr_assert_eq(store.count, 0);
    cr_assert_eq(store.answer_bytes, 0);
    cr_assert_eq(use(20 * LV_SECOND, &handle), TKT_EXPIRED);
}

typedef struct foreign_case {
    const char *what;
    lv_id self;
    uint64_t incarnation;
    lv_id account;
    bool has_other_key;
    tkt_verdict verdict;
} foreign_case;

Test(ticket, who_minted_it_decides)
{
    static const foreign_case cases[] = {
        {"our own", SELF, 3, ACCOUNT, false, TKT_RUN},
        {"restarted", SELF, 4, ACCOUNT, false, TKT_MINTER_RESTARTED},
        {"other instance", SELF + 1, 3, ACCOUNT, false, TKT_RELAY},
        {"other account", SELF, 3, ACCOUNT + 1, false, TKT_INVALID},
        {"other fleet", SELF, 3, ACCOUNT, true, TKT_INVALID},
    };

    for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
        tkt_settings settings = usual();
        tkt_store judge;
        lv_handle handle;
        lv_id minter = 0;
        char own[TKT_TEXT_SIZE];
        tkt_verdict verdict;

        if (cases[i].has_other_key) {
            settings.key[0] ^= 1;
        }
        cr_assert(tkt_init(&judge, &settings, cases[i].self,
                           cases[i].incarnation, &error));
        cr_assert(tkt_mint(&judge, 0, ACCOUNT, own, &error));
        verdict = tkt_redeem(&judge, 1, text, cases[i].account, BODY, &handle,
                             &minter);
        cr_assert_eq(verdict, cases[i].verdict, "%s", cases[i].what);
        if (verdict == TKT_RELAY || verdict == TKT_MINTER_RESTARTED) {
            cr_assert_eq(minter, SELF);
        }
        tkt_finish(&judge);
    }
}

Test(ticket, a_changed_text_is_invalid)
{
    size_t length = strlen(text);
    lv_handle handle;

    cr_assert_lt(length, TKT_TEXT_SIZE);
    for (size_t i = 0; i < length; i++) {
        char kept = text[i];

        text[i] = kept == '0' ? '1' : '0';
        cr_assert_eq(use(1, &handle), TKT_INVALID, "byte %zu", i);
        text[i] = '\0';
        cr_assert_eq(use(1, &handle), TKT_INVALID, "cut at %zu", i);
        text[i] = kept;
    }
    cr_assert_eq(use(1, &handle), TKT_RUN);
}

Test(ticket, a_long_or_empty_text_is_invalid)
{
    char longer[1000];
    lv_handle handle;
    lv_id minter;

    memset(longer, 'a', sizeof longer);
    longer[sizeof longer - 1] = '\0';
    memcpy(longer, text, strlen(text));
    cr_assert_eq(
        tkt_redeem(&store, 1, longer, ACCOUNT, BODY, &handle, &minter),
        TKT_INVALID);
    cr_assert_eq(tkt_redeem(&store, 1, "", ACCOUNT, BODY, &handle, &minter),
                 TKT_INVALID);
}

Test(ticket, none_is_forgotten_early_and_one_account_can_not_take_all)
{
    char other[TKT_TEXT_SIZE];
    uint32_t minted = 1;
    lv_handle handle;

    while (tkt_mint(&store, 1, ACCOUNT, other, &error)) {
        minted++;
        cr_assert_leq(minted, 8);
    }
    cr_assert_eq(error.kind, ERR_LIMIT);
    cr_assert_eq(minted, 6, "the last quarter is left to others");
    cr_assert(tkt_mint(&store, 1, ACCOUNT + 1, other, &error));
    cr_assert_eq(use(2, &handle), TKT_RUN, "the oldest is there still");
    cr_assert(tkt_mint(&store, 11 * LV_SECOND, ACCOUNT, other, &error));
    cr_assert_eq(store.count, 2, "one runs, one is new");
}

typedef struct bound_case {
    size_t size;
    bool is_truncated;
} bound_case;

Test(ticket, answers_are_bounded_and_their_outcome_is_kept)
{
    static const bound_case cases[] = {
        {60, false}, {61, true}, {40, false}, {1, true}, {0, false}};
    char body[100];

    memset(body, 'x', sizeof body);
    for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
        tkt_answer answer = {.outcome = {OUT_DONE, OUT_REASON_NONE, 0},
                             .body = body,
                             .body_size = cases[i].size};
        tkt_answer kept;
        lv_handle handle;

        cr_assert_eq(use(1, &handle), TKT_RUN);
        tkt_complete(&store, 1, handle, &answer);
        cr_assert(tkt_read_answer(&store, handle, &kept));
        cr_assert_eq(kept.is_truncated, cases[i].is_truncated, "case %zu", i);
        cr_assert_eq(kept.body_size,
                     cases[i].is_truncated ? 0 : cases[i].size);
        cr_assert_eq(kept.outcome.kind, OUT_DONE);
        cr_assert(tkt_mint(&store, 1, ACCOUNT, text, &error));
    }
    cr_assert_eq(store.answer_bytes, 100);
}

Test(ticket, settings_that_can_not_hold)
{
    tkt_settings settings = usual();
    tkt_store none;

    settings.max_tickets = 0;
    cr_assert_not(tkt_init(&none, &settings, SELF, 1, &error));
    cr_assert_eq(error.kind, ERR_BAD_VALUE);
    settings = usual();
    settings.lifetime = 0;
    cr_assert_not(tkt_init(&none, &settings, SELF, 1, &error));
}

/* Random uses against a model: what runs under one ticket runs once. */
Test(ticket, never_two_runs_of_one_ticket)
{
    uint64_t random = 7;

    for (int round = 0; round < 1000; round++) {
        lv_handle handle = LV_HANDLE_NONE;
        bool is_running = false;
        bool has_ended = false;

        cr_assert(tkt_mint(&store, (lv_time)round * LV_SECOND, ACCOUNT, text,
                           &error));
        for (int step = 0; step < 12; step++) {
            lv_time now = (lv_time)round * LV_SECOND + (lv_time)step;

            random = random * UINT64_C(6364136223846793005) + 1;
            switch ((random >> 40) % 4) {
            case 0:
                if (is_running) {
                    end(handle, OUT_DONE, "y");
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
