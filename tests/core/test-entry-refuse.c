/*
 * Admission: each reason for a refusal, what it says, and that the right
 * caller is told the right time to come back.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
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

TestSuite(refuse, .init = start, .fini = stop);

typedef struct refusal_case {
    const char *account;
    const char *class_name;
    const char *path; /* NULL: no route */
    uint64_t body_size;
    uint32_t before; /* requests submitted before */
    bool is_drained;
    out_reason reason;
    bool has_time;
} refusal_case;

static const refusal_case refusals[] = {
    {"a", "drafts", "/chat", 0, 0, true, OUT_REASON_DRAINING, true},
    {"nobody", NULL, "/chat", 0, 0, false, OUT_REASON_UNKNOWN_KEY, false},
    {"a", "nothing", "/chat", 0, 0, false, OUT_REASON_UNKNOWN_CLASS, false},
    {"a", "drafts", NULL, 0, 0, false, OUT_REASON_UNKNOWN_ROUTE, false},
    {"a", "drafts", "/model", 0, 0, false, OUT_REASON_UNKNOWN_MODEL, false},
    {"a", "small", "/chat", 11, 0, false, OUT_REASON_BODY_TOO_LARGE, false},
    {"a", "small", "/chat", 10, 0, false, OUT_REASON_NONE, false},
    {"a", "few", "/chat", 0, 1, false, OUT_REASON_NONE, false},
    {"a", "few", "/chat", 0, 2, false, OUT_REASON_WAITING_FULL, true},
    {"rated", NULL, "/chat", 0, 1, false, OUT_REASON_NONE, false},
    {"rated", NULL, "/chat", 0, 4, false, OUT_REASON_RATE, true},
};

static out_outcome
submit_case(const refusal_case *at, bool *was_refused)
{
    const char *path = at->path != NULL ? at->path : "/x";
    entry_request request = {
        .account = ew_id(at->account),
        .class_name = at->class_name,
        .route = cat_find_route(&world.catalogue, path, strlen(path)),
        .model = LV_HANDLE_NONE,
        .body_size = at->body_size,
    };
    out_outcome refusal = {0};
    lv_handle handle;

    *was_refused =
        !entry_submit(&world.entry, world.now, &request, &handle, &refusal);
    return refusal;
}

Test(refuse, each_reason)
{
    for (size_t i = 0; i < sizeof refusals / sizeof *refusals; i++) {
        const refusal_case *at = &refusals[i];
        out_outcome refusal;
        bool was_refused;

        stop();
        start();
        for (uint32_t j = 0; j < at->before; j++) {
            (void)submit_case(at, &was_refused);
            cr_assert_not(was_refused, "case %zu, request %u", i, j);
        }
        if (at->is_drained) {
            entry_drain(&world.entry, world.now);
        }
        refusal = submit_case(at, &was_refused);
        cr_assert_eq(was_refused, at->reason != OUT_REASON_NONE, "case %zu",
                     i);
        cr_assert_eq(refusal.reason, at->reason, "case %zu: %s", i,
                     out_reason_name(refusal.reason));
        cr_assert_eq(refusal.retry_after > 0, at->has_time, "case %zu", i);
        cr_assert(!was_refused || refusal.kind == OUT_NOT_RUN);
        cr_assert_eq(ew_counts(&world).refused[at->reason],
                     was_refused ? 1 : 0);
        cr_assert_eq(world.decisions[LV_DECIDE_REFUSE], was_refused ? 1 : 0);
        cr_assert_eq(world.finish_count, 0);
    }
}

Test(refuse, without_views)
{
    out_outcome refusal;

    entry_set_views(&world.entry, world.now, NULL, NULL);
    cr_assert_eq(ew_submit(&world, "a", "drafts", "/chat", &refusal),
                 LV_HANDLE_NONE);
    cr_assert_eq(refusal.reason, OUT_REASON_NOT_READY);
    cr_assert_gt(refusal.retry_after, 0);
}

Test(refuse, a_pool_without_endpoints)
{
    out_outcome refusal;

    ew_set_lists(&world, "[list]\nrevision = 2\n[zone z1]\nregion = perth\n"
                         "[endpoint e1]\npool = eng\nzone = z1\n"
                         "address = 127.0.0.1:7301\nstate = leaving\n");
    cr_assert_eq(ew_submit(&world, "a", "drafts", "/chat", &refusal),
                 LV_HANDLE_NONE);
    cr_assert_eq(refusal.reason, OUT_REASON_NO_ENDPOINT);
    cr_assert_eq(ew_submit(&world, "a", "drafts", "/look", &refusal),
                 LV_HANDLE_NONE);
    cr_assert_eq(refusal.reason, OUT_REASON_NO_ENDPOINT);
}

Test(refuse, a_flood_leaves_room_for_others)
{
    entry_settings settings;
    out_outcome refusal;
    uint32_t accepted = 0;

    stop();
    entry_default_settings(&settings);
    settings.max_requests = 100;
    ew_init(&world, &settings);
    while (ew_submit(&world, "a", "drafts", "/chat", &refusal) !=
           LV_HANDLE_NONE) {
        accepted++;
        cr_assert_leq(accepted, 100);
    }
    cr_assert_eq(refusal.reason, OUT_REASON_MEMORY);
    cr_assert_gt(refusal.retry_after, 0);
    cr_assert_eq(accepted, 50);
    for (int i = 0; i < 20; i++) {
        cr_assert_neq(ew_submit(&world, "b", NULL, "/chat", &refusal),
                      LV_HANDLE_NONE);
    }
}

Test(refuse, the_bound_holds_for_all_accounts_together)
{
    static const char *const accounts[] = {"a", "b", "limited"};
    entry_settings settings;
    uint32_t accepted = 0;

    stop();
    entry_default_settings(&settings);
    settings.max_requests = 10;
    ew_init(&world, &settings);
    for (int i = 0; i < 60; i++) {
        accepted +=
            ew_submit(&world, accounts[i % 3], i % 3 == 0 ? "drafts" : NULL,
                      "/chat", NULL) != LV_HANDLE_NONE;
    }
    cr_assert_leq(accepted, 10);
    cr_assert_geq(accepted, 7, "of three floods each leaves a quarter free");
}

/* Let the one request that runs end after a time, renew the lease, and make
 * sure that the next one runs. */
static void
end_after(lv_time length, const char *account)
{
    msg_message message;

    ew_run(&world, length);
    ew_send_last(&world);
    ew_end_last(&world, ENTRY_RESULT_DONE);
    message = ew_message(&world, "eng");
    ew_take(&world, &message);
    if (ew_counts(&world).leases == 0) {
        ew_grant(&world, "eng", "e1", account);
    }
}

/* Requests of the class with two places that end every 200 ms. */
static void
run_steadily(int count)
{
    ew_submit(&world, "a", "few", "/chat", NULL);
    ew_submit(&world, "a", "few", "/chat", NULL);
    ew_grant(&world, "eng", "e1", "a");
    for (int i = 0; i < count; i++) {
        ew_submit(&world, "a", "few", "/chat", NULL);
        end_after(200 * LV_MILLISECOND, "a");
    }
}

/* Fill the class until it is refused. */
static out_outcome
fill_class(void)
{
    out_outcome refusal = {0};

    while (ew_submit(&world, "a", "few", "/chat", &refusal) !=
           LV_HANDLE_NONE) {
    }
    return refusal;
}

Test(refuse, the_time_to_come_back_follows_the_drain_rate)
{
    out_outcome first;
    out_outcome second;

    run_steadily(40);
    first = fill_class();
    second = fill_class();
    cr_assert_eq(first.reason, OUT_REASON_WAITING_FULL);
    cr_assert_geq(first.retry_after, 150 * LV_MILLISECOND);
    cr_assert_leq(first.retry_after, 250 * LV_MILLISECOND);
    cr_assert_eq(second.retry_after, 2 * first.retry_after,
                 "each caller gets the next place");
}

Test(refuse, idle_time_does_not_lengthen_the_time_to_come_back)
{
    run_steadily(40);
    for (int i = 0; i < 3; i++) {
        ew_send_last(&world);
        ew_end_last(&world, ENTRY_RESULT_DONE);
    }
    cr_assert(entry_is_idle(&world.entry));
    ew_run(&world, 600 * LV_SECOND);
    run_steadily(3);
    cr_assert_leq(fill_class().retry_after, 250 * LV_MILLISECOND);
}

Test(refuse, a_full_router_says_when_requests_end)
{
    entry_settings settings;
    out_outcome refusal = {0};

    stop();
    entry_default_settings(&settings);
    settings.max_requests = 4;
    ew_init(&world, &settings);
    ew_run(&world, 600 * LV_SECOND);
    ew_submit(&world, "b", NULL, "/chat", NULL);
    ew_grant(&world, "eng", "e1", "b");
    for (int i = 0; i < 20; i++) {
        ew_submit(&world, "b", NULL, "/chat", NULL);
        end_after(300 * LV_MILLISECOND, "b");
    }
    while (ew_submit(&world, "b", NULL, "/chat", &refusal) != LV_HANDLE_NONE) {
    }
    cr_assert_eq(refusal.reason, OUT_REASON_MEMORY);
    cr_assert_geq(refusal.retry_after, 250 * LV_MILLISECOND);
    cr_assert_leq(refusal.retry_after, 350 * LV_MILLISECOND);
}

Test(refuse, the_rate_refills_when_it_said)
{
    out_outcome refusal;

    for (int i = 0; i < 4; i++) {
        cr_assert_neq(ew_submit(&world, "rated", NULL, "/chat", &refusal),
                      LV_HANDLE_NONE);
    }
    cr_assert_eq(ew_submit(&world, "rated", NULL, "/chat", &refusal),
                 LV_HANDLE_NONE);
    cr_assert_eq(refusal.retry_after, 100 * LV_MILLISECOND);
    ew_run(&world, refusal.retry_after - 1);
    cr_assert_eq(ew_submit(&world, "rated", NULL, "/chat", &refusal),
                 LV_HANDLE_NONE);
    ew_run(&world, 1);
    cr_assert_neq(ew_submit(&world, "rated", NULL, "/chat", &refusal),
                  LV_HANDLE_NONE);
}

Test(refuse, without_a_dispatcher_the_rate_is_shared_by_the_live_instances)
{
    lv_id live[] = {ew_id("r1"), ew_id("r2")};
    uint32_t accepted = 0;

    entry_set_live_instances(&world.entry, world.now, live, 2);
    for (int i = 0; i < 100; i++) {
        accepted +=
            ew_submit(&world, "rated", NULL, "/chat", NULL) != LV_HANDLE_NONE;
        ew_run(&world, 100 * LV_MILLISECOND);
    }
    cr_assert_geq(accepted, 2 + 48, "a burst of 2 and 5 a second for 9.9 s");
    cr_assert_leq(accepted, 2 + 50);
}

Test(refuse, the_dispatchers_allowance_counts_from_the_start)
{
    msg_level level = {ew_id("rated"), 0, 3};
    msg_message message;
    out_outcome refusal;

    ew_submit(&world, "rated", NULL, "/chat", NULL);
    message = ew_message(&world, "eng");
    message.levels = &level;
    message.level_count = 1;
    ew_take(&world, &message);
    for (int i = 0; i < 2; i++) {
        cr_assert_neq(ew_submit(&world, "rated", NULL, "/chat", NULL),
                      LV_HANDLE_NONE);
        message.sequence = ++world.sequence;
        ew_take(&world, &message);
    }
    cr_assert_eq(ew_submit(&world, "rated", NULL, "/chat", &refusal),
                 LV_HANDLE_NONE, "a repeated allowance is no new one");
    cr_assert_eq(refusal.reason, OUT_REASON_RATE);
    cr_assert_gt(refusal.retry_after, 0);
    level.allowance = 4;
    message.sequence = ++world.sequence;
    ew_take(&world, &message);
    cr_assert_neq(ew_submit(&world, "rated", NULL, "/chat", NULL),
                  LV_HANDLE_NONE);
}

/* Use up the rate: nothing waits afterwards. */
static void
use_up_rate(void)
{
    lv_handle request = ew_submit(&world, "rated", NULL, "/chat", NULL);

    while (request != LV_HANDLE_NONE) {
        entry_cancel(&world.entry, world.now, request);
        request = ew_submit(&world, "rated", NULL, "/chat", NULL);
    }
}

Test(refuse, an_account_refused_for_its_rate_is_told_once)
{
    lv_id live[] = {ew_id("r1"), ew_id("r2")};
    msg_message message = ew_message(&world, "eng");
    uint32_t before;

    entry_set_live_instances(&world.entry, world.now, live, 2);
    ew_take(&world, &message);
    use_up_rate();
    ew_run(&world, 110 * LV_MILLISECOND);
    before = world.rated_told;
    cr_assert_gt(before, 0, "arrivals are told");
    cr_assert_eq(ew_submit(&world, "rated", NULL, "/chat", NULL),
                 LV_HANDLE_NONE, "5 a second: no token yet");
    ew_run(&world, 110 * LV_MILLISECOND);
    cr_assert_eq(world.rated_told, before + 1);
    ew_run(&world, LV_SECOND);
    cr_assert_eq(world.rated_told, before + 1);
}

typedef struct settings_case {
    const char *what;
    size_t offset;
    uint64_t value;
    size_t size;
} settings_case;

#define SETTING(member, value)                                                \
    {                                                                         \
#member, offsetof(entry_settings, member), value,                     \
            sizeof(((entry_settings *)0)->member)                             \
    }

Test(refuse, settings_that_can_not_hold)
{
    static const settings_case cases[] = {
        SETTING(max_requests, 0),    SETTING(max_requests, 1048575),
        SETTING(max_attempts, 0),    SETTING(max_prefixes, 0),
        SETTING(report_interval, 0), SETTING(short_interval, 0),
        SETTING(idle_interval, 1),   SETTING(silence_timeout, 1),
        SETTING(backoff, 0),         SETTING(backoff_max, 1),
    };

    for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
        entry_settings settings;
        entry_state entry;
        err_error error;

        entry_default_settings(&settings);
        memcpy((char *)&settings + cases[i].offset, &cases[i].value,
               cases[i].size);
        cr_assert_not(
            entry_init(&entry, &world.host, &settings, NULL, 1, 1, 0, &error),
            "%s", cases[i].what);
        cr_assert_gt(strlen(error.message), 0);
        cr_assert_gt(strlen(error.remedy), 0);
    }
}
