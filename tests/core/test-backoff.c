/*
 * The back-off of an endpoint, its slow start, and what is decided about a
 * request while it lasts.
 */
#include <criterion/criterion.h>

#include <stdio.h>

#include "lavender/admission.h"

#define MS LV_MILLISECOND
#define SERVICE ((lv_id)5)

static eng_table table;
static adm_settings settings;

static void
publish(uint32_t number)
{
    eng_spec spec = {.id = number + 1, .service = SERVICE, .slots = 16};

    snprintf(spec.name, sizeof spec.name, "e-%u", number);
    cr_assert_neq(eng_publish(&table, &spec), LV_HANDLE_NONE);
    eng_set_service(&table, SERVICE, false, 0);
}

Test(backoff, longer_backoff_stays)
{
    static const struct {
        lv_time first;
        lv_time second; /* 100 ms later */
        lv_time until;
    } cases[] = {
        {LV_SECOND, 500 * MS, LV_SECOND},
        {LV_SECOND, 900 * MS, LV_SECOND},
        {LV_SECOND, 2 * LV_SECOND, 2100 * MS},
        {LV_SECOND, 0, LV_SECOND},
        {0, LV_SECOND, 1100 * MS},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        avl_state state;
        lv_time start = 50 * LV_SECOND;
        lv_time free_at;

        avl_init(&state);
        avl_begin_backoff(&state, cases[i].first, start);
        avl_begin_backoff(&state, cases[i].second, start + 100 * MS);
        cr_expect_eq(avl_check(&state, start + 200 * MS, &free_at),
                     AVL_BACKING_OFF, "case %zu", i);
        cr_expect_eq(free_at, start + cases[i].until, "case %zu", i);
        cr_expect_eq(avl_check(&state, free_at, &free_at), AVL_AVAILABLE,
                     "case %zu", i);
    }
}

Test(backoff, leaving_outlasts_a_backoff)
{
    avl_state state;
    lv_time free_at;

    avl_init(&state);
    cr_expect(avl_begin_backoff(&state, LV_SECOND, LV_SECOND));
    cr_expect(avl_begin_leaving(&state));
    cr_expect_not(avl_begin_leaving(&state));
    for (lv_time now = LV_SECOND; now < 10 * LV_SECOND; now += LV_SECOND) {
        avl_end_backoff(&state, now);
        cr_expect_eq(avl_check(&state, now, &free_at), AVL_LEAVING);
        cr_expect_eq(free_at, LV_TIME_NEVER);
    }
}

/* The slow start doubles with each step and ends. */
Test(backoff, slow_start)
{
    static const struct {
        lv_time after; /* the back-off */
        uint32_t places;
    } cases[] = {
        {0, 2},
        {49 * MS, 2},
        {50 * MS, 4},
        {125 * MS, 8},
        {450 * MS, 1024},
        {499 * MS, 1024},
        {500 * MS, UINT32_MAX},
    };
    avl_state state;

    avl_init(&state);
    cr_expect_eq(avl_places(&state, LV_SECOND), UINT32_MAX);
    avl_begin_backoff(&state, LV_SECOND, LV_SECOND);
    cr_expect_eq(avl_places(&state, LV_SECOND), 0);
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        cr_expect_eq(avl_places(&state, 2 * LV_SECOND + cases[i].after),
                     cases[i].places, "case %zu", i);
    }
}

/* One endpoint in back-off, a target of 400 ms, of which 280 may be waited. */
Test(backoff, a_request_waits_only_for_one_that_is_free_in_time)
{
    static const struct {
        lv_time backoff;
        lv_time waited;
        lv_time time_left; /* 0: not limited */
        uint32_t waiting;
        uint32_t tried; /* the endpoint is excluded */
        double share_ratio;
        adm_verdict verdict;
        lv_time retry_after; /* at least, and up to 1 s more */
    } cases[] = {
        {200 * MS, 0, 0, 0, 0, 0, ADM_QUEUE, 0},
        {280 * MS, 0, 0, 0, 0, 0, ADM_QUEUE, 0},
        {281 * MS, 0, 0, 0, 0, 0, ADM_REFUSE, 281 * MS},
        {200 * MS, 100 * MS, 0, 0, 0, 0, ADM_REFUSE, 200 * MS},
        {200 * MS, 0, 150 * MS, 0, 0, 0, ADM_REFUSE, 200 * MS},
        {200 * MS, 0, 250 * MS, 0, 0, 0, ADM_QUEUE, 0},
        {200 * MS, 0, 0, 3, 0, 0, ADM_QUEUE, 0},
        {200 * MS, 0, 0, 4, 0, 0, ADM_REFUSE, 200 * MS},
        {200 * MS, 0, 0, 0, 0, 2, ADM_REFUSE, 200 * MS},
        {5000 * MS, 0, 0, 0, 0, 0, ADM_REFUSE, 5000 * MS},
        {5000 * MS, 0, 0, 0, 1, 0, ADM_REFUSE, 5000 * MS},
    };
    lv_time now = 50 * LV_SECOND;

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        eng_prompt prompt = {.affinity = LV_HANDLE_NONE,
                             .secondary_affinity = LV_HANDLE_NONE};
        adm_request admission = {
            .service = SERVICE,
            .prompt = &prompt,
            .received = now - cases[i].waited,
            .target = 400 * MS,
            .deadline = cases[i].time_left > 0 ? now + cases[i].time_left : 0,
            .waiting = cases[i].waiting,
            .tried_count = cases[i].tried,
            .share_ratio = cases[i].share_ratio,
            .first_row = (uint32_t)i};
        adm_decision decision;
        eng_settings engine;

        adm_default_settings(&settings);
        eng_default_settings(&engine);
        cr_assert(eng_init(&table, &engine, NULL));
        publish(0);
        eng_begin_backoff(&table, 0, cases[i].backoff, now);
        adm_decide(&settings, &table, &admission, now, &decision);
        cr_expect_eq(decision.verdict, cases[i].verdict, "case %zu", i);
        if (cases[i].verdict == ADM_REFUSE) {
            cr_expect_geq(decision.retry_after, cases[i].retry_after,
                          "case %zu", i);
            cr_expect_lt(decision.retry_after,
                         cases[i].retry_after + LV_SECOND, "case %zu", i);
        }
        eng_finish(&table);
    }
}

/* The other endpoint has a queue that is longer than the back-off, so refused
 * requests return after the back-off, and not together. */
Test(backoff, refused_requests_return_for_the_one_in_backoff)
{
    eng_prompt prompt = {.affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};
    lv_time now = 50 * LV_SECOND;
    lv_time least = LV_TIME_NEVER;
    lv_time most = 0;
    eng_settings engine;

    adm_default_settings(&settings);
    eng_default_settings(&engine);
    cr_assert(eng_init(&table, &engine, NULL));
    publish(0);
    publish(1);
    for (int i = 0; i < 1600; i++) {
        eng_reservation use;

        eng_start_request(&table, 1, &prompt, now, &use);
    }
    eng_begin_backoff(&table, 0, 500 * MS, now);
    for (uint32_t i = 0; i < 100; i++) {
        adm_request admission = {.service = SERVICE,
                                 .prompt = &prompt,
                                 .received = now,
                                 .target = 400 * MS,
                                 .first_row = i};
        adm_decision decision;

        adm_decide(&settings, &table, &admission, now, &decision);
        cr_assert_eq(decision.verdict, ADM_REFUSE);
        least = decision.retry_after < least ? decision.retry_after : least;
        most = decision.retry_after > most ? decision.retry_after : most;
    }
    cr_expect_geq(least, 500 * MS);
    cr_expect_leq(most, 1500 * MS);
    cr_expect_geq(most - least, 500 * MS, "%llu to %llu",
                  (unsigned long long)least, (unsigned long long)most);
    eng_finish(&table);
}
