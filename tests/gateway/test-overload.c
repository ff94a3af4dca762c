/*
 * Load shedding by an instance that is short of CPU time, as when the callers
 * of one account flood one instance of a large fleet.
 */
#include <criterion/criterion.h>

#include <string.h>

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
        stage.gate.late_ticks = cases[i].late_ticks;
        rejected = send_requests();
        cr_expect(rejected >= cases[i].min_rejected &&
                      rejected <= cases[i].max_rejected,
                  "case %zu: %u", i, rejected);
        stage_stop(&stage);
    }
}
