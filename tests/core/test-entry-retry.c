/*
 * Attempts that fail: what is tried again, where, how often, and what a
 * request that must not run twice is told.
 */
#include <criterion/criterion.h>
#include <string.h>

#include "entry-world.h"

static ew_world world;

static void
start(void)
{
    ew_init(&world, NULL);
}

static void
stop(void)
{
    ew_finish_world(&world);
}

TestSuite(retry, .init = start, .fini = stop);

/* An idle lease at each endpoint of a pool. */
static void
grant_all(const char *pool)
{
    bool is_engine = strcmp(pool, "eng") == 0;

    ew_grant(&world, pool, is_engine ? "e1" : "s1", NULL);
    ew_grant(&world, pool, is_engine ? "e2" : "s2", NULL);
}

typedef enum step {
    STEP_END, /* of the case */
    STEP_SEND,
    STEP_PROGRESS, /* bytes reach the caller */
    STEP_CONNECT,
    STEP_BUSY,
    STEP_LOST,
    STEP_PROTOCOL,
    STEP_DONE,
    STEP_CANCEL,
    STEP_SEND_AGAIN /* the same attempt asks a second time */
} step;

typedef struct matrix_case {
    const char *path;
    step steps[8];
    int outcome;       /* out_kind, or -1: not ended */
    uint32_t attempts; /* started in all */
    uint32_t sent;     /* times that entry_may_send said yes */
} matrix_case;

#define OPEN (-1)

static const matrix_case matrix[] = {
    /* Not idempotent: once sent, the answer or `unknown`. */
    {"/book", {STEP_SEND, STEP_DONE}, OUT_DONE, 1, 1},
    {"/book", {STEP_SEND, STEP_LOST}, OUT_UNKNOWN, 1, 1},
    {"/book", {STEP_SEND, STEP_PROTOCOL}, OUT_UNKNOWN, 1, 1},
    {"/book", {STEP_SEND, STEP_BUSY}, OUT_UNKNOWN, 1, 1},
    {"/book", {STEP_SEND, STEP_CONNECT}, OUT_UNKNOWN, 1, 1},
    {"/book", {STEP_SEND, STEP_CANCEL}, OUT_UNKNOWN, 1, 1},
    {"/book", {STEP_SEND, STEP_PROGRESS, STEP_LOST}, OUT_UNKNOWN, 1, 1},
    {"/book", {STEP_SEND, STEP_SEND_AGAIN}, OUT_UNKNOWN, 1, 1},
    {"/book", {STEP_CONNECT}, OPEN, 2, 0},
    {"/book", {STEP_LOST}, OPEN, 2, 0},
    {"/book", {STEP_CONNECT, STEP_SEND, STEP_DONE}, OUT_DONE, 2, 1},
    {"/book", {STEP_CONNECT, STEP_SEND, STEP_LOST}, OUT_UNKNOWN, 2, 1},
    {"/book", {STEP_CANCEL}, OUT_NOT_RUN, 1, 0},
    {"/book", {STEP_CONNECT, STEP_CONNECT}, OPEN, 2, 0},
    /* An answer without permission to send shows that bytes left. */
    {"/book", {STEP_BUSY}, OUT_UNKNOWN, 1, 0},
    {"/book", {STEP_PROTOCOL}, OUT_UNKNOWN, 1, 0},
    /* The same on an engine. */
    {"/once", {STEP_SEND, STEP_BUSY}, OUT_UNKNOWN, 1, 1},
    {"/once", {STEP_SEND, STEP_LOST}, OUT_UNKNOWN, 1, 1},
    /* Idempotent: again, as long as the caller got nothing. */
    {"/chat", {STEP_SEND, STEP_LOST}, OPEN, 2, 1},
    {"/chat", {STEP_SEND, STEP_BUSY}, OPEN, 2, 1},
    {"/chat", {STEP_SEND, STEP_PROTOCOL}, OPEN, 2, 1},
    {"/chat", {STEP_CONNECT}, OPEN, 2, 0},
    {"/chat", {STEP_SEND, STEP_LOST, STEP_SEND, STEP_DONE}, OUT_DONE, 2, 2},
    {"/chat", {STEP_SEND, STEP_PROGRESS, STEP_LOST}, OUT_INCOMPLETE, 1, 1},
    {"/chat", {STEP_SEND, STEP_PROGRESS, STEP_CANCEL}, OUT_INCOMPLETE, 1, 1},
    {"/chat", {STEP_SEND, STEP_SEND_AGAIN, STEP_DONE}, OUT_DONE, 1, 2},
    {"/chat", {STEP_CANCEL}, OUT_NOT_RUN, 1, 0},
    {"/chat", {STEP_SEND, STEP_CANCEL}, OUT_UNKNOWN, 1, 1},
};

static void
take_step(step what, lv_handle request, uint32_t *sent)
{
    static const entry_result ends[] = {
        [STEP_CONNECT] = ENTRY_RESULT_UNCONNECTED,
        [STEP_BUSY] = ENTRY_RESULT_BUSY,
        [STEP_LOST] = ENTRY_RESULT_LOST,
        [STEP_PROTOCOL] = ENTRY_RESULT_INVALID,
        [STEP_DONE] = ENTRY_RESULT_DONE,
    };

    switch (what) {
    case STEP_SEND:
    case STEP_SEND_AGAIN:
        *sent += ew_send_last(&world);
        break;
    case STEP_PROGRESS:
        entry_update_progress(&world.entry, world.now, request,
                              ew_last_attempt(&world)->number, 5, 100);
        break;
    case STEP_CANCEL:
        entry_cancel(&world.entry, world.now, request);
        break;
    default:
        ew_end_last(&world, ends[what]);
        break;
    }
}

Test(retry, event_order_decides_the_outcome)
{
    for (size_t i = 0; i < sizeof matrix / sizeof *matrix; i++) {
        const matrix_case *at = &matrix[i];
        const char *pool = at->path[1] == 'b' ? "svc" : "eng";
        uint32_t sent = 0;
        lv_handle request;

        stop();
        start();
        grant_all(pool);
        request = ew_submit(&world, "a", "drafts", at->path, NULL);
        for (const step *what = at->steps; *what != STEP_END; what++) {
            take_step(*what, request, &sent);
        }
        cr_assert_eq(world.attempt_count, at->attempts, "case %zu: %u", i,
                     world.attempt_count);
        cr_assert_eq(sent, at->sent, "case %zu: sent %u", i, sent);
        cr_assert_eq(world.finish_count, at->outcome == OPEN ? 0 : 1,
                     "case %zu", i);
        if (at->outcome != OPEN) {
            cr_assert_eq((int)ew_last_finish(&world)->outcome.kind,
                         at->outcome, "case %zu: %s", i,
                         out_kind_name(ew_last_finish(&world)->outcome.kind));
        }
    }
}

Test(retry, another_endpoint_is_preferred)
{
    lv_id first;

    grant_all("eng");
    ew_submit(&world, "a", "drafts", "/chat", NULL);
    first = ew_last_attempt(&world)->endpoint;
    ew_send_last(&world);
    ew_end_last(&world, ENTRY_RESULT_LOST);
    cr_assert_eq(world.attempt_count, 2);
    cr_assert_neq(ew_last_attempt(&world)->endpoint, first);
    cr_assert_eq(ew_last_attempt(&world)->number, 2);
}

Test(retry, a_failed_endpoint_rests_and_is_tried_again)
{
    entry_settings settings;
    lv_time failed;

    entry_default_settings(&settings);
    ew_submit(&world, "a", "drafts", "/chat", NULL);
    ew_grant(&world, "eng", "e1", "a");
    failed = world.now;
    ew_end_last(&world, ENTRY_RESULT_UNCONNECTED);
    cr_assert_eq(world.attempt_count, 1);
    cr_assert_eq(ew_counts(&world).idle_leases, 1, "kept meanwhile");
    ew_run(&world, settings.backoff - 1);
    cr_assert_eq(world.attempt_count, 1);
    ew_run(&world, 1);
    cr_assert_eq(world.attempt_count, 2);
    ew_end_last(&world, ENTRY_RESULT_UNCONNECTED);
    ew_run(&world, 2 * settings.backoff - 1);
    cr_assert_eq(world.attempt_count, 2, "the rest has doubled");
    ew_run(&world, 1);
    cr_assert_eq(world.attempt_count, 3);
    cr_assert_eq(world.now, failed + 3 * settings.backoff);
}

Test(retry, attempts_are_bounded)
{
    lv_handle request = ew_submit(&world, "a", "drafts", "/book", NULL);

    ew_grant(&world, "svc", "s1", "a");
    for (uint32_t i = 1; i <= 3; i++) {
        cr_assert_eq(world.attempt_count, i);
        ew_end_last(&world, ENTRY_RESULT_UNCONNECTED);
        ew_run(&world, 500 * LV_MILLISECOND);
    }
    cr_assert_eq(world.finish_count, 1);
    cr_assert_eq(ew_last_finish(&world)->request, request);
    cr_assert_eq(ew_last_finish(&world)->outcome.kind, OUT_NOT_RUN);
    cr_assert_eq(ew_last_finish(&world)->outcome.reason,
                 OUT_REASON_RETRIES_SPENT);
    cr_assert_gt(ew_last_finish(&world)->outcome.retry_after, 0);
}

Test(retry, attempts_that_were_taken_back_are_not_failures)
{
    ew_submit(&world, "a", "drafts", "/chat", NULL);
    for (uint32_t i = 1; i <= 6; i++) {
        ew_grant(&world, "eng", "e1", "a");
        cr_assert_eq(world.attempt_count, i);
        entry_set_endpoint_leaving(&world.entry, world.now, ew_id("e1"), true);
        cr_assert_not(ew_send_last(&world));
        entry_set_endpoint_leaving(&world.entry, world.now, ew_id("e1"),
                                   false);
    }
    cr_assert_eq(world.finish_count, 0);
    cr_assert_eq(ew_counts(&world).retries, 0);
}

/* Fail once and succeed once, so often; returns how many were retried. */
static uint64_t
fail_and_succeed(int count)
{
    uint64_t before = ew_counts(&world).retries;

    for (int i = 0; i < count; i++) {
        grant_all("eng");
        ew_submit(&world, "a", "drafts", "/chat", NULL);
        ew_send_last(&world);
        ew_end_last(&world, ENTRY_RESULT_LOST);
        if (ew_counts(&world).running > 0) {
            ew_send_last(&world);
            ew_end_last(&world, ENTRY_RESULT_DONE);
        }
        ew_run(&world, 5 * LV_SECOND);
    }
    return ew_counts(&world).retries - before;
}

Test(retry, retries_are_a_fraction_of_recent_successes)
{
    (void)fail_and_succeed(40);
    cr_assert_leq(fail_and_succeed(100), 25,
                  "a fifth of the successes, and none of those that failed");
    cr_assert_eq(ew_last_finish(&world)->outcome.reason ==
                     OUT_REASON_RETRIES_SPENT,
                 ew_last_finish(&world)->outcome.kind == OUT_UNKNOWN);
}

Test(retry, without_a_budget_nothing_is_retried)
{
    entry_settings settings;

    stop();
    entry_default_settings(&settings);
    settings.retry_percent = 0;
    ew_init(&world, &settings);
    grant_all("eng");
    ew_submit(&world, "a", "drafts", "/chat", NULL);
    ew_end_last(&world, ENTRY_RESULT_UNCONNECTED);
    cr_assert_eq(ew_last_finish(&world)->outcome.kind, OUT_NOT_RUN);
    cr_assert_eq(ew_last_finish(&world)->outcome.reason,
                 OUT_REASON_RETRIES_SPENT);
}

Test(retry, answers_of_older_attempts_are_dropped)
{
    lv_handle request;

    grant_all("eng");
    request = ew_submit(&world, "a", "drafts", "/chat", NULL);
    ew_send_last(&world);
    ew_end_last(&world, ENTRY_RESULT_LOST);
    ew_send_last(&world);
    entry_end_attempt(&world.entry, world.now, request, 1, ENTRY_RESULT_DONE,
                      1, 1);
    entry_update_progress(&world.entry, world.now, request, 1, 9, 9);
    cr_assert_eq(world.finish_count, 0);
    cr_assert_eq(ew_counts(&world).stale_answers, 2);
    ew_end_last(&world, ENTRY_RESULT_DONE);
    cr_assert_eq(world.finish_count, 1);
}

static lv_handle
submit_resumable(void)
{
    entry_request request = {
        .account = ew_id("a"),
        .class_name = "drafts",
        .route = cat_find_route(&world.catalogue, "/chat", 5),
        .model = LV_HANDLE_NONE,
        .input_units = 10,
        .can_resume = true,
    };
    out_outcome refusal;
    lv_handle handle = LV_HANDLE_NONE;

    cr_assert(
        entry_submit(&world.entry, world.now, &request, &handle, &refusal));
    return handle;
}

Test(retry, the_endpoints_own_count_of_a_resumed_stream_is_added)
{
    lv_handle request;

    grant_all("eng");
    request = submit_resumable();
    ew_send_last(&world);
    entry_update_progress(&world.entry, world.now, request, 1, 40, 1234);
    ew_end_last(&world, ENTRY_RESULT_LOST);
    ew_send_last(&world);
    entry_end_attempt(&world.entry, world.now, request, 2, ENTRY_RESULT_DONE,
                      12, 25);
    cr_assert_eq(
        ledger_find_or_add_line(&world.ledger, ew_id("eng"), ew_id("a"))
            ->service,
        12 + 2 * (40 + 25));
}

Test(retry, a_stream_is_resumed_at_its_offset_at_the_same_endpoint)
{
    lv_handle request;
    lv_id endpoint;

    grant_all("eng");
    request = submit_resumable();
    endpoint = ew_last_attempt(&world)->endpoint;
    ew_send_last(&world);
    entry_update_progress(&world.entry, world.now, request, 1, 40, 1234);
    ew_end_last(&world, ENTRY_RESULT_LOST);
    cr_assert_eq(world.finish_count, 0);
    cr_assert_eq(ew_last_attempt(&world)->endpoint, endpoint);
    cr_assert_eq(ew_last_attempt(&world)->resume_offset, 1234);
    cr_assert_eq(ew_last_attempt(&world)->number, 2);
    cr_assert(ew_send_last(&world));
    entry_update_progress(&world.entry, world.now, request, 2, 20, 2000);
    ew_end_last(&world, ENTRY_RESULT_DONE);
    cr_assert_eq(ew_last_finish(&world)->outcome.kind, OUT_DONE);
    cr_assert_eq(
        ledger_find_or_add_line(&world.ledger, ew_id("eng"), ew_id("a"))
            ->service,
        10 + 2 * 60, "input once, output of both attempts");
    cr_assert_eq(ew_counts(&world).resumes, 1);
}

typedef struct resume_case {
    const char *what;
    entry_result end;
    bool is_leaving;
    bool has_expired;
} resume_case;

Test(retry, a_stream_that_can_not_be_resumed_is_incomplete)
{
    static const resume_case cases[] = {
        {"protocol broken", ENTRY_RESULT_INVALID, false, false},
        {"endpoint leaving", ENTRY_RESULT_LOST, true, false},
        {"lease ended", ENTRY_RESULT_LOST, false, true},
    };

    for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
        lv_handle request;

        stop();
        start();
        grant_all("eng");
        request = submit_resumable();
        ew_send_last(&world);
        entry_update_progress(&world.entry, world.now, request, 1, 40, 1234);
        if (cases[i].is_leaving) {
            entry_set_endpoint_leaving(&world.entry, world.now,
                                       ew_last_attempt(&world)->endpoint,
                                       true);
        }
        if (cases[i].has_expired) {
            ew_run(&world, 2 * EW_TTL);
        }
        ew_end_last(&world, cases[i].end);
        cr_assert_eq(world.finish_count, 1, "%s", cases[i].what);
        cr_assert_eq(ew_last_finish(&world)->outcome.kind, OUT_INCOMPLETE,
                     "%s", cases[i].what);
    }
}

Test(retry, a_retry_that_waits_past_its_deadline_is_unknown)
{
    ew_submit(&world, "a", "hasty", "/chat", NULL);
    ew_grant(&world, "eng", "e1", "a");
    ew_send_last(&world);
    ew_end_last(&world, ENTRY_RESULT_BUSY);
    entry_set_endpoint_leaving(&world.entry, world.now, ew_id("e1"), true);
    ew_run(&world, 2 * LV_SECOND);
    cr_assert_eq(world.finish_count, 1);
    cr_assert_eq(ew_last_finish(&world)->outcome.kind, OUT_UNKNOWN,
                 "a byte had left this router");
    cr_assert_eq(ew_last_finish(&world)->outcome.reason, OUT_REASON_DEADLINE);
}

Test(retry, only_requests_that_may_run_once_get_a_fresh_connection)
{
    grant_all("svc");
    ew_submit(&world, "a", "drafts", "/book", NULL);
    cr_assert(ew_last_attempt(&world)->needs_new_connection);
    ew_submit(&world, "a", "drafts", "/look", NULL);
    cr_assert_not(ew_last_attempt(&world)->needs_new_connection);
}
