/*
 * Load shedding by an instance that is short of CPU time, as when the callers
 * of one account flood one instance of a large fleet.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "gate-imp.h"
#include "stage.h"

#define REQUEST_COUNT 40

static stage_fixture stage;

/* Sends REQUEST_COUNT requests and returns how many were rejected. */
static uint32_t
send_requests(void)
{
    uint32_t rejected = 0;

    for (int i = 0; i < REQUEST_COUNT; i++) {
        stage_response answer;

        stage_exchange(&stage, "/many/1", "", &answer);
        cr_expect(answer.status == 200 || answer.status == 503, "%u",
                  answer.status);
        if (answer.status == 503) {
            rejected++;
            cr_expect_not_null(strstr(answer.head, "Retry-After"));
        }
    }
    cr_expect_eq(stage.endpoints[0].runs, REQUEST_COUNT - rejected,
                 "rejected requests must not be executed");
    return rejected;
}

/* Sets the tokens served to the callers' account and to another one, of 1000
 * tokens requested by each. Does nothing if other_served is 0. */
static void
set_shares(uint32_t own_served, uint32_t other_served)
{
    shr_shares *shares = &stage.gate.shares;
    lv_handle own = shr_find_or_add(shares, lv_hash_name("north"));
    lv_handle other = shr_find_or_add(shares, lv_hash_name("other"));
    lv_time now = io_now();

    if (other_served > 0) {
        shr_add_requested(shares, own, 1000, now);
        shr_add_requested(shares, other, 1000, now);
        shr_add_served(shares, own, own_served, now);
        shr_add_served(shares, other, other_served, now);
    }
}

Test(overload, consecutive_late_ticks_shed_part_of_the_requests)
{
    static const struct {
        uint32_t late_ticks;
        uint32_t own_served;
        uint32_t other_served;
        uint32_t min_rejected;
        uint32_t max_rejected;
    } cases[] = {
        {0, 0, 0, 0, 0},
        {1, 0, 0, 0, 0}, /* a single pause of the process */
        {2, 0, 0, REQUEST_COUNT / 8, REQUEST_COUNT - REQUEST_COUNT / 8},
        {9, 0, 0, REQUEST_COUNT / 8, REQUEST_COUNT - REQUEST_COUNT / 8},
        {2, 100, 900, 1, REQUEST_COUNT / 2 + 2}, /* far below its fair share */
        {2, 700, 900, REQUEST_COUNT / 2 - 2, REQUEST_COUNT - 1},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        uint32_t rejected;

        stage_start(&stage, 1);
        uv_timer_stop(&stage.gate.timer); /* it would reset late_ticks */
        stage.gate.prng_state = 77;
        set_shares(cases[i].own_served, cases[i].other_served);
        stage.gate.overload.late_ticks = cases[i].late_ticks;
        rejected = send_requests();
        cr_expect(rejected >= cases[i].min_rejected &&
                      rejected <= cases[i].max_rejected,
                  "case %zu: %u", i, rejected);
        stage_stop(&stage);
    }
}

/* Ticks of the timer, `interval` apart. */
static void
tick(uint32_t count, lv_time interval, lv_time *now)
{
    for (uint32_t i = 0; i < count; i++) {
        *now += interval;
        gate_record_tick(&stage.gate, *now);
    }
}

/* The platform then sends new connections to other instances of the zone, and
 * callers whose requests are refused open new ones. */
Test(overload, overloaded_instance_leaves_the_rotation)
{
    static const struct {
        uint32_t late_ticks;
        lv_time timely; /* after them */
        bool is_ready;
    } cases[] = {
        {0, 0, true},
        {1, 0, true}, /* a single pause of the process */
        {2, 0, true},
        {3, 0, false},
        {9, 0, false},
        {3, LV_SECOND, false},
        {3, 2 * LV_SECOND, true},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        lv_time now;
        stage_response answer;

        stage_start(&stage, 1);
        uv_timer_stop(&stage.gate.timer);
        now = stage.gate.overload.ticked_at;
        tick(cases[i].late_ticks, 150 * LV_MILLISECOND, &now);
        tick((uint32_t)(cases[i].timely / GATE_TICK), GATE_TICK, &now);
        stage_probe(&stage, &answer);
        cr_expect_eq(answer.status, cases[i].is_ready ? 200 : 503,
                     "case %zu: %u", i, answer.status);
        stage.is_unlisted[0] = true;
        eng_unlist(&stage.gate.endpoints, 0);
        stage_exchange(&stage, "/many/1", "", &answer);
        cr_expect_eq(answer.status, 503);
        cr_expect_eq(strstr(answer.head, "Connection: close") == NULL,
                     cases[i].is_ready, "case %zu: %s", i, answer.head);
        stage_stop(&stage);
    }
}

/* System calls are most of the cost of a refusal. */
Test(overload, refusal_is_one_write)
{
    stage_response answer;
    uint64_t writes;

    stage_start(&stage, 1);
    eng_unlist(&stage.gate.endpoints, 0);
    writes = io_count_writes();
    stage_exchange(&stage, "/many/1", "", &answer);
    cr_expect_eq(answer.status, 503);
    cr_expect_eq(io_count_writes() - writes, 2, "the request and its refusal");
    stage_stop(&stage);
}
