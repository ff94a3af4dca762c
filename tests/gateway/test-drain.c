/*
 * Drain after SIGTERM: how long an instance accepts new requests.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "stage.h"

static stage_fixture stage;

/* Puts the gateway into a drain that started this long ago. The fixture's
 * routes have a timeout of 1.5 s. */
static void
start_drain(lv_time elapsed)
{
    stage.gate.is_draining = true;
    stage.gate.drain_since = io_now() - elapsed;
    front_drain(&stage.gate.callers);
}

Test(drain, requests_are_accepted_until_they_may_outlast_the_drain)
{
    static const struct {
        lv_time elapsed;
        uint32_t status;
    } cases[] = {
        {0, 200},
        {2 * LV_SECOND, 200},
        {4 * LV_SECOND, 200},
        {6500 * LV_MILLISECOND, 503},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_response answer;

        stage_start(&stage, 1);
        stage.endpoints[0].mode = STAGE_STREAM;
        start_drain(cases[i].elapsed);
        stage_exchange(&stage, "/stream/1", "", &answer);
        cr_expect_eq(answer.status, cases[i].status, "case %zu: %u", i,
                     answer.status);
        cr_expect_eq(stage.endpoints[0].runs, cases[i].status == 200,
                     "case %zu: %u runs on %u connections, last %s", i,
                     stage.endpoints[0].runs, stage.endpoints[0].connections,
                     stage.endpoints[0].last_head);
        cr_expect_not_null(strstr(answer.head, "Connection: close"));
        stage_stop(&stage);
    }
}
