/*
 * An instance that gets too little processor: the flood of one account's
 * callers at one instance of a large fleet.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "stage.h"

#define ASKS 40

static stage_stage stage;

/* Refusals of so many requests. */
static uint32_t
ask_many(void)
{
    uint32_t refused = 0;

    for (int i = 0; i < ASKS; i++) {
        stage_answer answer;

        stage_ask(&stage, "/many/1", "", &answer);
        cr_expect(answer.status == 200 || answer.status == 503, "%u",
                  answer.status);
        if (answer.status == 503) {
            refused++;
            cr_expect_not_null(strstr(answer.head, "Retry-After"));
        }
    }
    cr_expect_eq(stage.endpoints[0].runs, ASKS - refused,
                 "what was refused has not run");
    return refused;
}

/* What the callers' account and another one got, of 1,000 tokens asked. */
static void
set_shares(uint32_t own_got, uint32_t other_got)
{
    shr_shares *shares = &stage.gate.shares;
    lv_handle own = shr_find_or_add(shares, lv_hash_name("north"));
    lv_handle other = shr_find_or_add(shares, lv_hash_name("other"));
    lv_time now = io_now();

    if (other_got > 0) {
        shr_add_requested(shares, own, 1000, now);
        shr_add_requested(shares, other, 1000, now);
        shr_add_served(shares, own, own_got, now);
        shr_add_served(shares, other, other_got, now);
    }
}

Test(overload, late_turns_in_a_row_shed_part_of_the_requests)
{
    static const struct {
        uint32_t late_ticks;
        uint32_t own_got;
        uint32_t other_got;
        uint32_t least;
        uint32_t most;
    } cases[] = {
        {0, 0, 0, 0, 0},
        {1, 0, 0, 0, 0}, /* a pause of the process */
        {2, 0, 0, ASKS / 8, ASKS - ASKS / 8},
        {9, 0, 0, ASKS / 8, ASKS - ASKS / 8},
        {2, 100, 900, 1, ASKS / 2 + 2}, /* far below its share */
        {2, 700, 900, ASKS / 2 - 2, ASKS - 1},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        uint32_t refused;

        stage_start(&stage, 1);
        uv_timer_stop(&stage.gate.timer); /* it would count anew */
        stage.gate.prng_state = 77;
        set_shares(cases[i].own_got, cases[i].other_got);
        stage.gate.late_ticks = cases[i].late_ticks;
        refused = ask_many();
        cr_expect(refused >= cases[i].least && refused <= cases[i].most,
                  "case %zu: %u", i, refused);
        stage_stop(&stage);
    }
}
