/*
 * A second copy of an answer that an endpoint sends late: the next request on
 * its connection gets its own answer.
 */
#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#include "script-endpoint.h"

#define ANSWER(id, body)                                                      \
    "HTTP/1.1 200 OK\r\n" id "Lavenderproxy-Runner-Seal: seal-1\r\n"          \
    "Content-Length: 4\r\n\r\n" body
#define NAMED "Lavenderproxy-Attempt-Id: $\r\n"
#define NAMED_BEFORE "Lavenderproxy-Attempt-Id: id-0\r\n"
#define REFUSAL(id)                                                           \
    "HTTP/1.1 503 Busy\r\n" id "Lavenderproxy-Not-Executed: 1\r\n"            \
    "Content-Length: 0\r\n\r\n"

static stage_fixture stage;
static script_endpoint script;
static uint32_t request_count;

static bool
is_answered(stage_fixture *self, void *context)
{
    (void)self;
    return stage_count_responses(context, "HTTP/1.1 ") > 0;
}

/* Sends a request with an id, or without one, on a connection of its own and
 * returns how its answer ends. */
static void
send_to(const char *path, const char *id, char *body)
{
    char request[512];
    stage_client client;

    snprintf(request, sizeof request,
             "POST %s HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
             "Connection: close\r\n%s%s%sContent-Length: 0\r\n\r\n",
             path, id != NULL ? "Lavenderproxy-Attempt-Id: " : "",
             id != NULL ? id : "", id != NULL ? "\r\n" : "");
    stage_send(&stage, &client, request, strlen(request));
    stage_run_until(&stage, is_answered, &client, 3000);
    stage_run_until(&stage, stage_is_closed, &client, 1000);
    snprintf(body, 5, "%s",
             client.response.size >= 4
                 ? client.response.data + client.response.size - 4
                 : "");
    stage_finish_client(&stage, &client);
}

static void
send_one(const char *id, char *body)
{
    send_to("/many/1", id, body);
}

/* Guards against a copy that is taken for the answer to the next request on
 * the connection. */
Test(late_copies, the_next_request_gets_its_own_answer)
{
    static const struct {
        const char *what;
        script_step first[SCRIPT_STEPS];
        script_step second[SCRIPT_STEPS];
        uint64_t wait_ms; /* between the requests */
        const char *ids[2];
    } cases[] = {
        {"with the end of the answer",
         {{0, ANSWER(NAMED, "one.") ANSWER(NAMED, "one."), 0, SCRIPT_GO_ON}},
         {{0, ANSWER(NAMED, "two."), 0, SCRIPT_GO_ON}},
         0,
         {"id-0", "id-1"}},
        {"on an idle connection",
         {{0, ANSWER(NAMED, "one."), 0, SCRIPT_GO_ON},
          {30, ANSWER(NAMED, "one."), 0, SCRIPT_GO_ON}},
         {{0, ANSWER(NAMED, "two."), 0, SCRIPT_GO_ON}},
         100,
         {"id-0", "id-1"}},
        {"after the next request",
         {{0, ANSWER(NAMED, "one."), 0, SCRIPT_GO_ON}},
         {{0, ANSWER(NAMED_BEFORE, "one."), 0, SCRIPT_GO_ON},
          {30, ANSWER(NAMED, "two."), 0, SCRIPT_GO_ON}},
         20,
         {"id-0", "id-1"}},
        {"after the next request, which has no id",
         {{0, ANSWER(NAMED, "one."), 0, SCRIPT_GO_ON}},
         {{0, ANSWER(NAMED_BEFORE, "one."), 0, SCRIPT_GO_ON},
          {30, ANSWER("", "two."), 0, SCRIPT_GO_ON}},
         20,
         {"id-0", NULL}},
        {"within the answer to the next request",
         {{0, ANSWER(NAMED, "one."), 0, SCRIPT_GO_ON}},
         {{0, ANSWER(NAMED, "two.") ANSWER(NAMED_BEFORE, "one."), 0,
           SCRIPT_GO_ON}},
         20,
         {"id-0", "id-1"}},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        char bodies[2][5];

        request_count = 0;
        stage_prepare(&stage, 1);
        script.order = &request_count;
        script.steps = cases[i].first;
        script.next_steps = cases[i].second;
        script_start(&stage, 0, &script);
        script_start_gateway(&stage);
        send_one(cases[i].ids[0], bodies[0]);
        stage_run_for(&stage, cases[i].wait_ms);
        send_one(cases[i].ids[1], bodies[1]);
        cr_expect_str_eq(bodies[0], "one.", "%s: %s", cases[i].what,
                         bodies[0]);
        cr_expect_str_eq(bodies[1], "two.", "%s: %s", cases[i].what,
                         bodies[1]);
        script_stop(&stage, &script);
        stage_stop(&stage);
    }
}

/* Guards against a copy without an id, which cannot be told from the answer to
 * the next request: a connection whose answers name no request is not used
 * again. */
Test(late_copies, answers_without_an_id_end_their_connection)
{
    static const struct {
        script_step steps[SCRIPT_STEPS];
        const char *id;
        uint32_t connections;
    } cases[] = {
        {{{0, ANSWER(NAMED, "one."), 0, SCRIPT_GO_ON}}, "id-0", 1},
        {{{0, ANSWER("", "one."), 0, SCRIPT_GO_ON}}, "id-0", 2},
        {{{0, ANSWER("", "one."), 0, SCRIPT_GO_ON}}, NULL, 2},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        char body[5];

        request_count = 0;
        stage_prepare(&stage, 1);
        script.order = &request_count;
        script.steps = cases[i].steps;
        script.next_steps = NULL;
        script_start(&stage, 0, &script);
        script_start_gateway(&stage);
        for (int k = 0; k < 2; k++) {
            send_one(cases[i].id, body);
            cr_expect_str_eq(body, "one.", "case %zu", i);
        }
        cr_expect_eq(script.connections, cases[i].connections,
                     "case %zu: %u connections", i, script.connections);
        script_stop(&stage, &script);
        stage_stop(&stage);
    }
}

/* Guards against a second copy of a refusal that is taken for the endpoint's
 * word that a later request on the connection did not run. */
Test(late_copies, a_copy_of_a_refusal_refuses_no_other_request)
{
    static const struct {
        const char *what;
        script_step first[SCRIPT_STEPS]; /* the refusal */
        script_step next[SCRIPT_STEPS];
        const char *ids[3]; /* of the requests */
        int count;
        const char *body; /* of the later ones' answers; NULL: a failure */
    } cases[] = {
        {"before the answer",
         {{0, REFUSAL(NAMED), 0, SCRIPT_GO_ON}},
         {{0, REFUSAL(NAMED_BEFORE), 0, SCRIPT_GO_ON},
          {50, ANSWER(NAMED, "two."), 0, SCRIPT_GO_ON}},
         {"id-0", "id-1", "id-2"},
         3,
         "two."},
        {"on an idle connection",
         {{0, REFUSAL(NAMED), 0, SCRIPT_GO_ON},
          {20, REFUSAL(NAMED), 0, SCRIPT_GO_ON}},
         {{0, ANSWER(NAMED, "two."), 0, SCRIPT_GO_ON}},
         {"id-0", "id-1", "id-2"},
         3,
         "two."},
        {"of a request before the last, and this one has no id",
         {{0, REFUSAL(NAMED), 0, SCRIPT_GO_ON}},
         {{0, REFUSAL(NAMED_BEFORE), 0, SCRIPT_GO_ON},
          {50, ANSWER(NAMED, "two."), 0, SCRIPT_GO_ON}},
         {"id-0", "id-1", NULL},
         3,
         "two."},
        {"without its id",
         {{0, REFUSAL(NAMED), 0, SCRIPT_GO_ON}},
         {{0, REFUSAL(""), 0, SCRIPT_GO_ON},
          {50, ANSWER(NAMED, "two."), 0, SCRIPT_GO_ON}},
         {"id-0", "id-1"},
         2,
         NULL},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        char body[5];
        uint64_t refused;

        request_count = 0;
        stage_prepare(&stage, 1);
        script.order = &request_count;
        script.steps = cases[i].first;
        script.next_steps = cases[i].next;
        script_start(&stage, 0, &script);
        script_start_gateway(&stage);
        send_to("/once/1", cases[i].ids[0], body);
        stage_run_for(&stage, 40);
        refused = stage.gate.counts.refused;
        for (int k = 1; k < cases[i].count; k++) {
            send_to("/once/1", cases[i].ids[k], body);
            cr_expect(cases[i].body == NULL ||
                          strcmp(body, cases[i].body) == 0,
                      "%s, request %d: '%s'", cases[i].what, k, body);
        }
        cr_expect_eq(stage.gate.counts.refused, refused, "%s", cases[i].what);
        script_stop(&stage, &script);
        stage_stop(&stage);
    }
}
