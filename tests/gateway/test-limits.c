/*
 * Endpoints that name in their answers how many requests a second they take.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "gate-imp.h"
#include "stage.h"

#define ROUND_MS 100
#define ROUNDS_PER_SECOND 10
#define PER_ROUND 6
#define SECONDS 4
#define ALL_REQUESTS (SECONDS * ROUNDS_PER_SECOND * PER_ROUND)
#define SLACK 5 /* requests above the limit that the rule allows */

static stage_fixture stage;

/* Sends 60 requests a second and counts the answers with 200; the others must
 * be refusals with a time to return. */
static uint32_t
flood(uint32_t seconds)
{
    uint32_t served = 0;
    uint32_t i;

    for (i = 0; i < seconds * ROUNDS_PER_SECOND * PER_ROUND; i++) {
        stage_response answer;

        stage_exchange(&stage, "/many/1", "", &answer);
        served += answer.status == 200;
        cr_assert(answer.status == 200 || answer.status == 503, "%u",
                  answer.status);
        if (answer.status == 503) {
            cr_expect_not_null(strstr(answer.head, "Retry-After:"));
        }
        if (i % PER_ROUND == 0) {
            stage_run_for(&stage, ROUND_MS);
        }
    }
    return served;
}

/* Guards against sending an endpoint more requests than it named. */
Test(limits, requests_keep_to_the_limit, .timeout = 120)
{
    static const struct {
        const char *header;
        double limit; /* -1: none, as the header is not valid */
    } cases[] = {
        {"Server-Limit: 4\r\n", 4},
        {"Server-Limit: 1.5\r\n", 1.5},
        {"Server-Limit: 0\r\n", 0},
        {"Server-Limit: 1000000000000000000000\r\n", 1000000},
        {"Server-Limit: -1\r\n", -1},
        {"Server-Limit: \r\n", -1},
        {"Server-Limit: few\r\n", -1},
        {"Server-Limit: 1e3\r\n", -1},
        {"Server-Limit: 4\r\nServer-Limit: 5\r\n", -1},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        uint32_t before, requests, served;
        lv_time began_at;
        double due;

        stage_start(&stage, 1);
        stage.endpoints[0].more_headers = cases[i].header;
        flood(1);
        before = stage.endpoints[0].requests;
        began_at = io_now();
        served = flood(SECONDS);
        requests = stage.endpoints[0].requests - before;
        due =
            cases[i].limit * (double)(io_now() - began_at) / (double)LV_SECOND;
        if (cases[i].limit < 0 || due > ALL_REQUESTS) {
            cr_expect_eq(served, ALL_REQUESTS, "%s", cases[i].header);
        }
        else {
            cr_expect_leq(requests, due + SLACK, "%s: %u of %.0f",
                          cases[i].header, requests, due);
            cr_expect_geq(requests + SLACK, due / 2, "%s: %u of %.0f",
                          cases[i].header, requests, due);
        }
        cr_expect_eq(stage.gate.counts.invalid_limits > 0, cases[i].limit < 0,
                     "%s", cases[i].header);
        stage_stop(&stage);
    }
}

/* Other endpoints of the service take what a limited one does not, also those
 * at its address. */
Test(limits, others_take_the_rest)
{
    stage_start(&stage, 2);
    stage.endpoints[0].more_headers = "Server-Limit: 2\r\n";
    flood(1);
    cr_expect_eq(flood(2), 2 * ROUNDS_PER_SECOND * PER_ROUND);
    cr_expect_leq(stage.endpoints[0].requests, 60 + 4 + 5);
    stage_stop(&stage);
}

Test(limits, a_limit_ends_with_an_answer_that_names_none)
{
    stage_start(&stage, 1);
    stage.endpoints[0].more_headers = "Server-Limit: 2\r\n";
    flood(1);
    stage.endpoints[0].more_headers = NULL;
    flood(1);
    cr_expect_not(pace_is_limited(&eng_at(&stage.gate.endpoints, 0)->pace));
    cr_expect_eq(flood(1), ROUNDS_PER_SECOND * PER_ROUND);
    stage_stop(&stage);
}

/* What was learned of a limit outlives the list's entry. */
Test(limits, another_list_keeps_the_limit)
{
    stage_start(&stage, 1);
    stage.endpoints[0].more_headers = "Server-Limit: 2\r\n";
    flood(1);
    eng_withdraw(&stage.gate.endpoints,
                 eng_at(&stage.gate.endpoints, 0)->spec.id);
    stage_advance_revision(&stage);
    stage_run_for(&stage, 300);
    cr_expect_leq(flood(2), 4 + 5);
    stage_stop(&stage);
}
