/*
 * Connections of callers: no request is dropped silently by a connection that
 * the gateway closes.
 */
#include <criterion/criterion.h>

#include <stdlib.h>
#include <string.h>

#include "stage.h"

static stage_fixture stage;

#define REQUEST_HEAD                                                          \
    " HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\nContent-Length: 0\r\n"
#define REQUEST "POST /many/1" REQUEST_HEAD "\r\n"
#define STREAM_REQUEST "POST /stream/1" REQUEST_HEAD "\r\n"
#define LAST_REQUEST "POST /many/1" REQUEST_HEAD "Connection: close\r\n\r\n"

static bool
has_begun(stage_fixture *self, void *context)
{
    (void)self;
    return ((stage_client *)context)->response.size > 0;
}

static bool
is_quiet(stage_fixture *self, void *context)
{
    const front_connection *connection = self->gate.callers.connections;

    (void)context;
    return connection == NULL || connection->phase != FRONT_PROCESSING;
}

static long
read_metric(const char *name)
{
    static stage_response answer;
    const char *line;

    stage_get(&stage, "/metrics", &answer);
    line = strstr(answer.body, name);
    while (line != NULL && line > answer.body && line[-1] != '\n') {
        line = strstr(line + 1, name);
    }
    return line != NULL ? strtol(line + strlen(name), NULL, 10) : -1;
}

/* Guards against a request that is read and dropped without a trace. */
Test(connections, input_discarded_after_the_last_response_is_counted)
{
    static const struct {
        const char *bytes;
        long discarded;
    } cases[] = {{LAST_REQUEST, 0}, {LAST_REQUEST REQUEST, 1}};

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_client client;

        stage_start(&stage, 1);
        stage_send(&stage, &client, cases[i].bytes, strlen(cases[i].bytes));
        cr_assert(stage_run_until(&stage, stage_is_closed, &client, 3000));
        stage_run_for(&stage, 50);
        cr_expect_eq(read_metric("lavender_caller_input_discarded_total"),
                     cases[i].discarded, "case %zu", i);
        stage_finish_client(&stage, &client);
        stage_stop(&stage);
    }
}

/* Guards against a connection closed over unread input without a trace. */
Test(connections, close_with_unread_input_is_counted)
{
    static const struct {
        const char *bytes;
        long unread;
    } cases[] = {{"", 0}, {REQUEST, 1}};

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_client client;

        stage_start(&stage, 1);
        stage_send(&stage, &client, NULL, 0);
        cr_assert(stage_run_until(&stage, stage_is_accepted, NULL, 1000));
        io_write(&client.stream, cases[i].bytes, strlen(cases[i].bytes));
        stage_block(STAGE_DELIVERY_MS);
        front_close_all(&stage.gate.callers);
        cr_assert(stage_run_until(&stage, stage_is_closed, &client, 1000));
        cr_expect_eq(read_metric("lavender_caller_closed_unread_total"),
                     cases[i].unread, "case %zu", i);
        stage_finish_client(&stage, &client);
        stage_stop(&stage);
    }
}

/* Guards against a request that a drain drops behind a response without
 * "Connection: close": the caller could not know that it was the last. */
Test(connections, drain_answers_the_request_after_an_unannounced_close)
{
    static const struct {
        const char *what;
        const char *first;      /* sent before the drain begins */
        const char *second;     /* after that */
        bool is_first_complete; /* before the second is sent */
    } cases[] = {
        {"pipelined before the drain", STREAM_REQUEST REQUEST, "", false},
        {"during the response", STREAM_REQUEST, REQUEST, false},
        {"after the response", STREAM_REQUEST, REQUEST, true},
        {"in two parts", STREAM_REQUEST "POST /many/1 HTTP",
         "/1.1\r\nHost: h\r\nApi-Key: k1\r\nContent-Length: 0\r\n\r\n", false},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_client client;

        stage_start(&stage, 1);
        stage.endpoints[0].mode = STAGE_STREAM;
        stage_send(&stage, &client, cases[i].first, strlen(cases[i].first));
        cr_assert(stage_run_until(&stage, has_begun, &client, 1000));
        stage_start_drain(&stage);
        if (cases[i].is_first_complete) {
            stage_run_until(&stage, is_quiet, NULL, 1000);
        }
        io_write(&client.stream, cases[i].second, strlen(cases[i].second));
        cr_expect(stage_run_until(&stage, stage_is_closed, &client, 3000));
        cr_expect_eq(stage_count_responses(&client, "HTTP/1.1 200"), 2,
                     "%s: %u responses", cases[i].what,
                     stage_count_responses(&client, "HTTP/1.1 200"));
        cr_expect_eq(stage_count_responses(&client, "Connection: close"), 1,
                     "%s: the last response does not announce the close",
                     cases[i].what);
        stage_finish_client(&stage, &client);
        stage_stop(&stage);
    }
}

/* Guards against requests that are dropped because many bytes were pipelined
 * behind a response. */
Test(connections, all_pipelined_requests_are_answered)
{
    enum {
        BODY_SIZE = 2000,
        COUNT = 400 /* 800 KB */
    };
    static const char head[] = "POST /many/1 HTTP/1.1\r\nHost: h\r\n"
                               "Api-Key: k1\r\nContent-Length: 2000\r\n\r\n";
    static const size_t pipelined_elsewhere[] = {0, 64 * 1024 * 1024};
    static char requests[COUNT * (sizeof head - 1 + BODY_SIZE)];
    stage_client client;
    char *to = requests;

    for (int i = 0; i < COUNT; i++) {
        memcpy(to, head, sizeof head - 1);
        memset(to + sizeof head - 1, 'x', BODY_SIZE);
        to += sizeof head - 1 + BODY_SIZE;
    }
    for (size_t i = 0; i < 2; i++) {
        stage_start(&stage, 1);
        stage.gate.callers.pipelined_bytes = pipelined_elsewhere[i];
        stage.endpoints[0].mode = STAGE_STREAM;
        stage_send(&stage, &client, STREAM_REQUEST, sizeof STREAM_REQUEST - 1);
        cr_assert(stage_run_until(&stage, has_begun, &client, 1000));
        stage.endpoints[0].mode = STAGE_RESPOND;
        io_write(&client.stream, requests, sizeof requests);
        stage_run_until(&stage, stage_is_closed, &client, 4000);
        cr_expect_eq(stage_count_responses(&client, "HTTP/1.1 200"), 1 + COUNT,
                     "case %zu: %u responses", i,
                     stage_count_responses(&client, "HTTP/1.1 200"));
        stage_finish_client(&stage, &client);
        cr_expect_eq(stage.gate.callers.pipelined_bytes,
                     pipelined_elsewhere[i]);
        stage_stop(&stage);
    }
}

/* Guards against a stack that grows with each pipelined request that is
 * refused at once. */
Test(connections, many_pipelined_refusals_do_not_nest)
{
    enum {
        COUNT = 8900 /* 258 KB */
    };
    static const char request[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    static char requests[COUNT * (sizeof request - 1)];
    stage_client client;

    for (int i = 0; i < COUNT; i++) {
        memcpy(requests + i * (sizeof request - 1), request,
               sizeof request - 1);
    }
    stage_start(&stage, 1);
    stage.endpoints[0].mode = STAGE_STREAM;
    stage_send(&stage, &client, STREAM_REQUEST, sizeof STREAM_REQUEST - 1);
    cr_assert(stage_run_until(&stage, has_begun, &client, 1000));
    io_write(&client.stream, requests, sizeof requests);
    stage_run_until(&stage, stage_is_closed, &client, 1500);
    cr_expect_eq(stage_count_responses(&client, "HTTP/1.1 404"), COUNT,
                 "%u responses",
                 stage_count_responses(&client, "HTTP/1.1 404"));
    stage_finish_client(&stage, &client);
    stage_stop(&stage);
}
