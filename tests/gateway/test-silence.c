/*
 * Endpoints that fall silent in the middle of a request and go on: silence
 * alone never ends an answer before its deadline.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "stage.h"

#define ALL_EVENTS                                                            \
    "id: 0\ndata: piece-0\n\nid: 1\ndata: piece-1\n\nid: 2\ndata: piece-2"    \
    "\n\nid: 3\ndata: piece-3\n\nid: 4\ndata: piece-4\n\n"                    \
    "id: 5\ndata: piece-5\n\n"

/* The routes' timeout, and what a busy machine may add to it. */
#define TIMEOUT (1500 * LV_MILLISECOND)
#define TIMEOUT_MARGIN (500 * LV_MILLISECOND)

static stage_fixture stage;

typedef struct silence_case {
    const char *path;
    stage_mode first;  /* of the endpoint that is chosen first */
    stage_mode second; /* of the other one */
    bool is_budget_spent;
    const char *body; /* NULL: the answer is not complete */
} silence_case;

static void
spend_retry_budget(void)
{
    gate_server *gate = &stage.gate;
    uint32_t instances = peers_max_instances(&gate->peers);

    for (uint32_t i = 0; i < gate->service_budget_count; i++) {
        while (bud_take_retry(&gate->service_budgets[i].budget, instances,
                              io_now())) {
        }
    }
}

/* The other endpoint is chosen first, since this one seems to fail. */
static void
make_second_choice(const stage_endpoint *endpoint)
{
    eng_table *table = &stage.gate.endpoints;

    for (lv_handle row = 0; row < table->capacity; row++) {
        if (strcmp(table->endpoints[row].spec.name, endpoint->name) == 0) {
            out_record_failure(&table->endpoints[row].outlier, true, io_now());
        }
    }
}

static lv_time
run_case(const silence_case *one, stage_response *answer)
{
    lv_time started_at;

    stage_start(&stage, 2);
    if (one->is_budget_spent) {
        spend_retry_budget();
    }
    stage.endpoints[0].mode = one->first;
    stage.endpoints[1].mode = one->second;
    make_second_choice(&stage.endpoints[1]);
    started_at = io_now();
    stage_exchange(&stage, one->path, "", answer);
    return io_now() - started_at;
}

/* Guards against an answer that is cut, or replaced by an error, because its
 * endpoint paused and no other one could take over. */
Test(silence, an_endpoint_that_pauses_and_goes_on_still_gives_its_answer)
{
    static const silence_case cases[] = {
        {"/resume/1", STAGE_STREAM_PAUSE, STAGE_STREAM, true, ALL_EVENTS},
        {"/resume/1", STAGE_STREAM_PAUSE, STAGE_SHED, false, ALL_EVENTS},
        {"/resume/1", STAGE_STREAM_PAUSE, STAGE_ERROR, false, ALL_EVENTS},
        {"/resume/1", STAGE_STREAM_PAUSE, STAGE_RESET, false, ALL_EVENTS},
        {"/resume/1", STAGE_STREAM_PAUSE, STAGE_UNSEALED, false, ALL_EVENTS},
        {"/resume/1", STAGE_STREAM_PAUSE, STAGE_GARBAGE, false, ALL_EVENTS},
        {"/resume/1", STAGE_STREAM_PAUSE, STAGE_NO_RESPONSE, false,
         ALL_EVENTS},
        {"/resume/1", STAGE_STREAM_PAUSE, STAGE_STREAM_HEAD, false,
         ALL_EVENTS},
        {"/resume/1", STAGE_STREAM_PAUSE, STAGE_STREAM_HEAD_CLOSED, false,
         ALL_EVENTS},
        {"/resume/1", STAGE_STREAM_PAUSE, STAGE_CLOSE_DELIMITED, false,
         ALL_EVENTS},
        {"/resume/1", STAGE_STREAM_PAUSE, STAGE_STREAM_LATE, false,
         ALL_EVENTS},
        {"/resume/1", STAGE_ERROR_LATE, STAGE_STREAM_LATE, false, ALL_EVENTS},
        {"/many/1", STAGE_RESPOND_LATE, STAGE_SHORT_BODY, false, "body"},
        {"/many/1", STAGE_RESPOND_LATE, STAGE_CLOSE_DELIMITED_RESET, false,
         "body"},
        {"/many/1", STAGE_RESPOND_LATE, STAGE_RESPOND, true, "body"},
        {"/many/1", STAGE_RESPOND_LATE, STAGE_SHED, false, "body"},
        {"/many/1", STAGE_RESPOND_LATE, STAGE_ERROR, false, "body"},
        {"/many/1", STAGE_RESPOND_LATE, STAGE_RESET, false, "body"},
        {"/many/1", STAGE_RESPOND_LATE, STAGE_UNSEALED, false, "body"},
        {"/many/1", STAGE_RESPOND_LATE, STAGE_NO_RESPONSE, false, "body"},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_response answer;

        run_case(&cases[i], &answer);
        cr_expect_eq(answer.status, 200, "case %zu: %u", i, answer.status);
        cr_expect(answer.is_complete, "case %zu", i);
        cr_expect_str_eq(answer.body, cases[i].body, "case %zu", i);
        for (int k = 0; k < 2; k++) {
            cr_expect_eq(eng_in_flight(&stage.gate.endpoints.endpoints[k]), 0,
                         "case %zu", i);
        }
        stage_stop(&stage);
    }
}

/* Guards against a caller that waits for an endpoint that never goes on,
 * although another one can take over or the deadline has passed. */
Test(silence,
     an_endpoint_that_stays_silent_is_replaced_or_ends_at_the_deadline)
{
    static const silence_case cases[] = {
        {"/resume/1", STAGE_STREAM_STALL, STAGE_STREAM, false, ALL_EVENTS},
        {"/many/1", STAGE_NO_RESPONSE, STAGE_RESPOND, false, "body"},
        {"/resume/1", STAGE_STREAM_STALL, STAGE_STREAM, true, NULL},
        {"/resume/1", STAGE_STREAM_STALL, STAGE_STREAM_STALL, false, NULL},
        {"/resume/1", STAGE_STREAM_STALL, STAGE_SHED, false, NULL},
        {"/many/1", STAGE_NO_RESPONSE, STAGE_RESPOND, true, NULL},
        {"/many/1", STAGE_NO_RESPONSE, STAGE_SHED, false, NULL},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_response answer;
        lv_time duration = run_case(&cases[i], &answer);

        if (cases[i].body != NULL) {
            cr_expect_lt(duration, TIMEOUT, "case %zu", i);
            cr_expect(answer.is_complete, "case %zu", i);
            cr_expect_str_eq(answer.body, cases[i].body, "case %zu", i);
            cr_expect_gt(stage.endpoints[0].cancelled_runs, 0, "case %zu", i);
        }
        else {
            cr_expect_geq(duration, TIMEOUT, "case %zu: %llu us", i,
                          (unsigned long long)duration);
            cr_expect_lt(duration, TIMEOUT + TIMEOUT_MARGIN, "case %zu", i);
            cr_expect(!answer.is_complete || answer.status == 504,
                      "case %zu: %u", i, answer.status);
        }
        stage_stop(&stage);
    }
}

/* Guards against a failure of an endpoint that is replaced by one of the
 * gateway's own because no other endpoint could do better. */
Test(silence, the_failure_of_an_endpoint_is_kept_until_another_one_answers)
{
    static const stage_mode seconds[] = {STAGE_SHED, STAGE_ERROR, STAGE_RESET,
                                         STAGE_UNSEALED, STAGE_NO_RESPONSE};

    for (size_t i = 0; i < sizeof seconds / sizeof seconds[0]; i++) {
        const silence_case one = {
            .path = "/many/1", .first = STAGE_ERROR, .second = seconds[i]};
        stage_response answer;

        run_case(&one, &answer);
        cr_expect_eq(answer.status, 500, "case %zu: %u", i, answer.status);
        cr_expect(answer.is_complete, "case %zu", i);
        cr_expect_str_eq(answer.body, "fail", "case %zu", i);
        stage_stop(&stage);
    }
}

static bool
has_three_endpoints(stage_fixture *self, void *context)
{
    (void)context;
    return self->gate.config != NULL && self->gate.endpoints.capacity >= 3 &&
           self->gate.endpoints.endpoints[2].is_listed;
}

/* Guards against a request that fails because its first two endpoints are
 * silent, although its route allows a third attempt. */
Test(silence, a_third_endpoint_is_tried_beside_two_silent_ones)
{
    stage_response answer;

    stage_prepare(&stage, 3);
    stage.config_extra =
        ",{\"name\":\"three\",\"host\":\"h\",\"prefix\":\"/three/\","
        "\"kind\":\"idempotent\",\"timeout_ms\":1500,"
        "\"target_latency_ms\":200,\"priority\":1,\"service\":\"pool\","
        "\"max_attempts\":3}";
    stage_start_gateway(&stage);
    cr_assert(stage_run_until(&stage, has_three_endpoints, NULL, 5000));
    stage.gate.service_budgets[0].budget.settings.slack = 100;
    stage.endpoints[0].mode = stage.endpoints[1].mode = STAGE_NO_RESPONSE;
    make_second_choice(&stage.endpoints[2]);
    stage_exchange(&stage, "/three/1", "", &answer);
    cr_expect_eq(answer.status, 200);
    cr_expect_str_eq(answer.body, "body");
    cr_expect_eq(stage.endpoints[0].requests, 1);
    cr_expect_eq(stage.endpoints[1].requests, 1);
    cr_expect_eq(stage.endpoints[2].requests, 1);
    stage_stop(&stage);
}
