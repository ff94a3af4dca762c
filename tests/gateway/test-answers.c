/*
 * Responses that callers receive for each kind of route and each behaviour of
 * an endpoint, valid or faulty.
 */
#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#include "stage.h"

static stage_fixture stage;

typedef struct response_case {
    const char *path;
    stage_mode modes[2]; /* of the two endpoints */
    uint32_t status;     /* 0: no response */
    bool is_complete;
    const char *body; /* NULL: not checked */
    uint32_t runs;    /* at both; 0: only checked if status is 503 */
} response_case;

#define ALL_EVENTS                                                            \
    "id: 0\ndata: piece-0\n\nid: 1\ndata: piece-1\n\nid: 2\ndata: piece-2"    \
    "\n\nid: 3\ndata: piece-3\n\nid: 4\ndata: piece-4\n\n"                    \
    "id: 5\ndata: piece-5\n\n"
#define TWO_EVENTS "id: 0\ndata: piece-0\n\nid: 1\ndata: piece-1\n\n"
#define BOTH(mode)                                                            \
    {                                                                         \
        mode, mode                                                            \
    }

static const response_case cases[] = {
    {"/once/1", BOTH(STAGE_RESPOND), 200, true, "body", 1},
    {"/once/1", BOTH(STAGE_ERROR), 500, true, "fail", 1},
    {"/once/1", BOTH(STAGE_RESET), 502, true, NULL, 1},
    {"/once/1", BOTH(STAGE_SHORT_BODY), 502, true, NULL, 1},
    {"/once/1", BOTH(STAGE_UNSEALED), 502, true, NULL, 1},
    {"/once/1", BOTH(STAGE_GARBAGE), 502, true, NULL, 1},
    {"/once/1", BOTH(STAGE_NO_RESPONSE), 504, true, NULL, 1},
    {"/once/1", BOTH(STAGE_SHED), 503, true, NULL, 0},
    {"/once/1", BOTH(STAGE_EXTRA_RESPONSE), 200, true, "body", 1},
    {"/once/1", BOTH(STAGE_STRAY_RESPONSE_FIRST), 200, true, "body", 1},
    {"/once/1", BOTH(STAGE_CLOSE_DELIMITED), 200, true, "body", 1},
    {"/once/1", BOTH(STAGE_CLOSE_DELIMITED_RESET), 502, true, NULL, 1},
    {"/many/1", BOTH(STAGE_RESPOND), 200, true, "body", 1},
    {"/many/1", BOTH(STAGE_ERROR), 500, true, "fail", 2},
    {"/many/1", BOTH(STAGE_RESET), 502, true, NULL, 2},
    {"/many/1", {STAGE_RESET, STAGE_RESPOND}, 200, true, "body", 0},
    {"/many/1", {STAGE_NO_RESPONSE, STAGE_RESPOND}, 200, true, "body", 0},
    {"/many/1", {STAGE_SHED, STAGE_RESPOND}, 200, true, "body", 1},
    {"/many/1", {STAGE_UNSEALED, STAGE_RESPOND}, 200, true, "body", 0},
    {"/stream/1", BOTH(STAGE_STREAM), 200, true, ALL_EVENTS, 1},
    {"/stream/1", BOTH(STAGE_STREAM_TRUNCATED), 200, false, NULL, 1},
    {"/stream/1", BOTH(STAGE_STREAM_STALL), 200, false, NULL, 1},
    {"/stream/1", BOTH(STAGE_RESET), 502, true, NULL, 1},
    {"/stream/1", BOTH(STAGE_CLOSE_DELIMITED_EVENTS), 200, true, TWO_EVENTS,
     1},
    {"/stream/1", BOTH(STAGE_CLOSE_DELIMITED_CUT), 200, false, NULL, 1},
    {"/resume/1", BOTH(STAGE_CLOSE_DELIMITED_EVENTS), 200, true, TWO_EVENTS,
     1},
    {"/resume/1", BOTH(STAGE_CLOSE_DELIMITED_CUT), 200, false, NULL, 2},
    {"/resume/1",
     {STAGE_CLOSE_DELIMITED_CUT, STAGE_STREAM},
     200,
     true,
     ALL_EVENTS,
     0},
    {"/resume/1", BOTH(STAGE_STREAM), 200, true, ALL_EVENTS, 1},
    {"/resume/1",
     {STAGE_STREAM_TRUNCATED, STAGE_STREAM},
     200,
     true,
     ALL_EVENTS,
     0},
    {"/resume/1",
     {STAGE_STREAM_STALL, STAGE_STREAM},
     200,
     true,
     ALL_EVENTS,
     0},
    {"/resume/1", {STAGE_RESET, STAGE_STREAM}, 200, true, ALL_EVENTS, 0},
};

/* Runs one case. first_mode is the index of the mode that endpoint 0 gets, so
 * that a case with two modes is run with either endpoint in either mode. */
static void
run_case(const response_case *expected, int first_mode)
{
    stage_response answer;
    uint32_t runs;

    stage_start(&stage, 2);
    stage.endpoints[0].mode = expected->modes[first_mode];
    stage.endpoints[1].mode = expected->modes[1 - first_mode];
    stage_exchange(&stage, expected->path, "", &answer);
    runs = stage.endpoints[0].runs + stage.endpoints[1].runs;
    cr_expect_eq(answer.status, expected->status, "%s, modes %d %d: status %u",
                 expected->path, expected->modes[0], expected->modes[1],
                 answer.status);
    cr_expect_eq(answer.is_complete, expected->is_complete, "%s",
                 expected->path);
    if (expected->body != NULL) {
        cr_expect_str_eq(answer.body, expected->body, "%s", expected->path);
    }
    if (expected->runs > 0 || expected->status == 503) {
        cr_expect_eq(runs, expected->runs, "%s: %u runs", expected->path,
                     runs);
    }
    if (expected->status == 200 && expected->is_complete) {
        cr_expect_not_null(strstr(answer.head, "seal-1"));
    }
    cr_expect_eq(eng_in_flight(&stage.gate.endpoints.endpoints[0]), 0);
    cr_expect_eq(eng_in_flight(&stage.gate.endpoints.endpoints[1]), 0);
    stage_stop(&stage);
}

Test(answers, endpoint_behaviour_determines_the_response)
{
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        run_case(&cases[i], 0);
        run_case(&cases[i], 1);
    }
}

/* A status that means "not executed" (408, 421, 429, 503) must never follow
 * a run, whatever the endpoint does. */
Test(answers, an_executed_request_is_never_reported_as_not_executed)
{
    for (int mode = STAGE_RESPOND; mode <= STAGE_GARBAGE; mode++) {
        stage_response answer;

        stage_start(&stage, 1);
        stage.endpoints[0].mode = (stage_mode)mode;
        stage_exchange(&stage, "/once/1", "", &answer);
        if (stage.endpoints[0].runs > 0) {
            cr_expect(answer.status != 503 && answer.status != 429 &&
                          answer.status != 408 && answer.status != 421,
                      "mode %d: %u", mode, answer.status);
        }
        cr_expect_leq(stage.endpoints[0].runs, 1);
        stage_stop(&stage);
    }
}

Test(answers, each_request_receives_its_own_response)
{
    static const stage_mode modes[] = {STAGE_RESPOND, STAGE_EXTRA_RESPONSE,
                                       STAGE_STRAY_RESPONSE_FIRST};

    for (size_t i = 0; i < sizeof modes / sizeof modes[0]; i++) {
        stage_start(&stage, 1);
        stage.endpoints[0].mode = modes[i];
        for (int k = 0; k < 4; k++) {
            stage_response answer;

            stage_exchange(&stage, "/many/1", "", &answer);
            cr_expect_eq(answer.status, 200);
            cr_expect_str_eq(answer.body, "body");
        }
        stage_stop(&stage);
    }
}

static bool
has_request(stage_fixture *self, void *context)
{
    (void)context;
    return self->endpoints[0].requests > 0;
}

static bool
has_cancelled_run(stage_fixture *self, void *context)
{
    (void)context;
    return self->endpoints[0].cancelled_runs > 0;
}

/* An endpoint must not continue to work for a disconnected caller. */
Test(answers, a_run_is_cancelled_when_the_caller_disconnects)
{
    static const char request[] =
        "POST /stream/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
        "Lavenderproxy-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n";
    stage_client client;

    stage_start(&stage, 1);
    stage.endpoints[0].mode = STAGE_NO_RESPONSE;
    stage_send(&stage, &client, request, sizeof request - 1);
    cr_assert(stage_run_until(&stage, has_request, NULL, 2000));
    stage_disconnect(&stage, &client);
    cr_expect(stage_run_until(&stage, has_cancelled_run, NULL, 400));
    buf_finish(&client.response);
    stage_stop(&stage);
}

static bool
is_open(stage_fixture *self, void *context)
{
    (void)self;
    return ((stage_client *)context)->is_open;
}

/* On a busy instance, a caller may disconnect before its request is read. */
Test(answers, a_request_of_a_disconnected_caller_is_not_executed)
{
    static const char request[] =
        "POST /many/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
        "Lavenderproxy-Attempt-Id: id-1\r\nContent-Length: 0\r\n\r\n";
    stage_response answer;
    stage_client client;

    stage_start(&stage, 1);
    /* Leaves an idle connection to the endpoint. */
    stage_exchange(&stage, "/many/1", "", &answer);
    stage_send(&stage, &client, request, sizeof request - 1);
    cr_assert(stage_run_until(&stage, is_open, &client, 2000));
    stage_disconnect(&stage, &client);
    stage_run_for(&stage, 100);
    cr_expect_eq(stage.gate.counts.requests, 2);
    cr_expect_eq(stage.gate.counts.caller_disconnects, 1);
    cr_expect_eq(stage.endpoints[0].requests, 1);
    buf_finish(&client.response);
    stage_stop(&stage);
}

Test(answers, forwarded_headers_follow_the_protocol)
{
    stage_response answer;
    const stage_endpoint *endpoint = &stage.endpoints[0];

    stage_start(&stage, 1);
    stage_exchange(&stage, "/many/x?y=1",
                   "Lavenderproxy-Tenant: somebody\r\nConnection: X-Hop\r\n"
                   "X-Hop: 1\r\nX-Own: 2\r\nLavenderproxy-Hold: 9\r\n"
                   "Kv-From: 1.2.3.4:5/6\r\n",
                   &answer);
    cr_expect_eq(answer.status, 200);
    cr_expect_str_eq(endpoint->last_target, "/many/x?y=1");
    cr_expect_eq(endpoint->last_body_size, 5);
    cr_expect_not_null(
        strstr(endpoint->last_head, "Lavenderproxy-Attempt-Id: id-1\n"));
    cr_expect_not_null(
        strstr(endpoint->last_head, "Lavenderproxy-Expect-Runner: e-0\n"));
    cr_expect_not_null(
        strstr(endpoint->last_head, "Lavenderproxy-Tenant: north\n"));
    cr_expect_not_null(strstr(endpoint->last_head, "X-Own: 2\n"));
    cr_expect_null(strstr(endpoint->last_head, "somebody"));
    cr_expect_null(strstr(endpoint->last_head, "k1"));
    cr_expect_null(strstr(endpoint->last_head, "X-Hop"));
    cr_expect_null(strstr(endpoint->last_head, "Hold"));
    cr_expect_null(strstr(endpoint->last_head, "Kv-From"));
    stage_stop(&stage);
}

Test(answers, unknown_routes_are_not_found)
{
    static const struct {
        const char *path;
        const char *headers;
        uint32_t status;
    } requests[] = {
        {"/many/1", "", 200},
        {"/nowhere", "", 404},
        {"/many", "", 404},
    };

    stage_start(&stage, 1);
    for (size_t i = 0; i < sizeof requests / sizeof requests[0]; i++) {
        stage_response answer;

        stage_exchange(&stage, requests[i].path, requests[i].headers, &answer);
        cr_expect_eq(answer.status, requests[i].status, "%s",
                     requests[i].path);
    }
    stage_stop(&stage);
}
