/*
 * Connections of callers: no request is dropped silently by a connection that
 * the gateway closes.
 */
#include <criterion/criterion.h>

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "stage.h"

static stage_fixture stage;

#define REQUEST_HEAD                                                          \
    " HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\nContent-Length: 0\r\n"
#define REQUEST "POST /many/1" REQUEST_HEAD "\r\n"
#define STREAM_REQUEST "POST /stream/1" REQUEST_HEAD "\r\n"
#define LAST_REQUEST "POST /many/1" REQUEST_HEAD "Connection: close\r\n\r\n"

/* Time for bytes to reach a receive buffer of this host. */
#define DELIVERY_MS 20

/* Stops the loop, and the gateway with it, for a while. */
static void
block_loop(uint64_t milliseconds)
{
    struct timespec time = {(time_t)(milliseconds / 1000),
                            (long)(milliseconds % 1000) * 1000000};

    nanosleep(&time, NULL);
}

static bool
is_closed(stage_fixture *self, void *context)
{
    (void)self;
    return ((stage_client *)context)->is_closed;
}

static bool
is_accepted(stage_fixture *self, void *context)
{
    (void)context;
    return self->gate.callers.connections != NULL;
}

static void
finish_client(stage_client *client)
{
    if (!client->is_closed) {
        stage_disconnect(&stage, client);
    }
    buf_finish(&client->response);
}

static bool
is_forwarded(stage_fixture *self, void *context)
{
    (void)context;
    return self->endpoints[0].requests > 0;
}

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

/* Returns how many responses with this status a client received. */
static uint32_t
count_responses(stage_client *client, const char *status)
{
    uint32_t count = 0;
    const char *next;

    buf_append(&client->response, "", 1);
    client->response.size--;
    for (next = client->response.data; (next = strstr(next, status)) != NULL;
         next++) {
        count++;
    }
    return count;
}

static void
start_drain(void)
{
    stage.gate.is_draining = true;
    stage.gate.drain_since = io_now();
    front_drain(&stage.gate.callers);
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
        cr_assert(stage_run_until(&stage, is_closed, &client, 3000));
        stage_run_for(&stage, 50);
        cr_expect_eq(read_metric("lavender_caller_input_discarded_total"),
                     cases[i].discarded, "case %zu", i);
        finish_client(&client);
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
        cr_assert(stage_run_until(&stage, is_accepted, NULL, 1000));
        io_write(&client.stream, cases[i].bytes, strlen(cases[i].bytes));
        block_loop(DELIVERY_MS);
        front_close_all(&stage.gate.callers);
        cr_assert(stage_run_until(&stage, is_closed, &client, 1000));
        cr_expect_eq(read_metric("lavender_caller_closed_unread_total"),
                     cases[i].unread, "case %zu", i);
        finish_client(&client);
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
        start_drain();
        if (cases[i].is_first_complete) {
            stage_run_until(&stage, is_quiet, NULL, 1000);
        }
        io_write(&client.stream, cases[i].second, strlen(cases[i].second));
        cr_expect(stage_run_until(&stage, is_closed, &client, 3000));
        cr_expect_eq(count_responses(&client, "HTTP/1.1 200"), 2,
                     "%s: %u responses", cases[i].what,
                     count_responses(&client, "HTTP/1.1 200"));
        cr_expect_eq(count_responses(&client, "Connection: close"), 1,
                     "%s: the last response does not announce the close",
                     cases[i].what);
        finish_client(&client);
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
        stage_run_until(&stage, is_closed, &client, 4000);
        cr_expect_eq(count_responses(&client, "HTTP/1.1 200"), 1 + COUNT,
                     "case %zu: %u responses", i,
                     count_responses(&client, "HTTP/1.1 200"));
        finish_client(&client);
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
    stage_run_until(&stage, is_closed, &client, 1500);
    cr_expect_eq(count_responses(&client, "HTTP/1.1 404"), COUNT,
                 "%u responses", count_responses(&client, "HTTP/1.1 404"));
    finish_client(&client);
    stage_stop(&stage);
}

typedef enum timeout_case_kind {
    CASE_LIMIT_LOWERED,
    CASE_CROWDED,
    CASE_DRAIN,
    CASE_LATE
} timeout_case_kind;

/* Puts a timeout of open connections into force that is shorter than the time
 * for which the test then blocks the loop. */
static void
shorten_timeout(timeout_case_kind kind)
{
    front_server *callers = &stage.gate.callers;

    switch (kind) {
    case CASE_LIMIT_LOWERED:
        callers->limits.idle_timeout = 50 * LV_MILLISECOND;
        break;
    case CASE_CROWDED:
        callers->max_connections = 1;
        break;
    case CASE_DRAIN:
        start_drain();
        break;
    case CASE_LATE:
        break;
    }
}

/* Guards against a timeout that closes a connection over a request that has
 * arrived and was not read yet, because the loop is late. */
Test(connections, timeouts_read_what_has_arrived_before_they_close)
{
    static const struct {
        const char *what;
        timeout_case_kind kind;
        const char *first; /* read before the loop is blocked */
        const char *rest;  /* arrives while it is blocked */
        uint64_t block_ms;
    } cases[] = {
        {"idle limit lowered", CASE_LIMIT_LOWERED, "", REQUEST, 200},
        {"crowded", CASE_CROWDED, "", REQUEST, 300},
        {"drain", CASE_DRAIN, "", REQUEST, 700},
        {"late loop, idle", CASE_LATE, "", REQUEST, 1300},
        {"late loop, head", CASE_LATE, "POST /many/1",
         " HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n\r\n", 600},
        {"late loop, body", CASE_LATE,
         "POST /many/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
         "Content-Length: 5\r\n\r\nhe",
         "llo", 600},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_client client;

        stage_start(&stage, 1);
        stage_send(&stage, &client, cases[i].first, strlen(cases[i].first));
        cr_assert(stage_run_until(&stage, is_accepted, NULL, 1000));
        stage_run_for(&stage, DELIVERY_MS);
        io_write(&client.stream, cases[i].rest, strlen(cases[i].rest));
        shorten_timeout(cases[i].kind);
        block_loop(cases[i].block_ms);
        stage_run_until(&stage, is_closed, &client, 3000);
        cr_expect_eq(count_responses(&client, "HTTP/1.1 200"), 1,
                     "%s: %zu bytes: %.40s", cases[i].what,
                     client.response.size, client.response.data);
        cr_expect_eq(stage.gate.callers.counts.closed_unread, 0, "%s",
                     cases[i].what);
        finish_client(&client);
        stage_stop(&stage);
    }
}

static bool
is_lingering(stage_fixture *self, void *context)
{
    const front_connection *connection = self->gate.callers.connections;

    (void)context;
    return connection != NULL && connection->phase == FRONT_LINGERING;
}

/* Guards against a reset that takes the last response from its caller, because
 * the connection is closed over bytes that a late loop did not read. */
Test(connections, late_close_does_not_reset_the_last_response)
{
    stage_client client;

    stage_start(&stage, 1);
    stage_send(&stage, &client, NULL, 0);
    cr_assert(stage_run_until(&stage, is_accepted, NULL, 1000));
    stage_run_for(&stage, DELIVERY_MS);
    io_read_stop(&client.stream);
    io_write(&client.stream, LAST_REQUEST, sizeof LAST_REQUEST - 1);
    cr_assert(stage_run_until(&stage, is_lingering, NULL, 1000));
    io_write(&client.stream, REQUEST, sizeof REQUEST - 1);
    block_loop(700);
    stage_run_for(&stage, 50);
    io_read_start(&client.stream);
    stage_run_until(&stage, is_closed, &client, 1000);
    cr_expect_eq(count_responses(&client, "HTTP/1.1 200"), 1);
    cr_expect(!client.is_reset);
    finish_client(&client);
    stage_stop(&stage);
}

/* Guards against a limit that is lowered while callers still rely on the old
 * one: their connections close at once, over requests that are on the way. */
Test(connections, lowered_idle_timeout_counts_from_its_change)
{
    static const struct {
        timeout_case_kind kind;
        lv_time limit_ms;
        uint64_t idle_ms;  /* before the change */
        uint64_t after_ms; /* the request follows the change */
        bool is_answered;
    } cases[] = {
        {CASE_LIMIT_LOWERED, 400, 500, 100, true},
        {CASE_LIMIT_LOWERED, 200, 300, 600, false},
        {CASE_LIMIT_LOWERED, 900, 850, 400, false}, /* past the old one */
        {CASE_DRAIN, 0, 600, 300, true},
        {CASE_DRAIN, 0, 50, 900, false},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_client client;

        stage_start(&stage, 1);
        stage_send(&stage, &client, NULL, 0);
        cr_assert(stage_run_until(&stage, is_accepted, NULL, 1000));
        stage_run_for(&stage, cases[i].idle_ms);
        if (cases[i].kind == CASE_DRAIN) {
            start_drain();
        }
        else {
            stage.gate.callers.limits.idle_timeout =
                cases[i].limit_ms * LV_MILLISECOND;
        }
        stage_run_for(&stage, cases[i].after_ms);
        cr_expect_eq(!client.is_closed, cases[i].is_answered, "case %zu", i);
        if (!client.is_closed) {
            io_write(&client.stream, REQUEST, sizeof REQUEST - 1);
            stage_run_until(&stage, is_closed, &client, 1500);
        }
        cr_expect_eq(count_responses(&client, "HTTP/1.1 200"),
                     cases[i].is_answered, "case %zu", i);
        finish_client(&client);
        stage_stop(&stage);
    }
}

/* Guards against a connection at the limit of open ones that is closed without
 * a response. */
Test(connections, connection_beyond_the_limit_is_served_or_refused)
{
    enum {
        LIMIT = 4
    };
    static const struct {
        uint64_t idle_ms; /* of the connections within the limit */
        const char *status;
    } cases[] = {{700, "HTTP/1.1 200"}, {50, "HTTP/1.1 503"}};

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_client idle[LIMIT];
        stage_client client;

        stage_start(&stage, 1);
        stage.gate.callers.max_connections = LIMIT;
        stage.gate.callers.limits.idle_timeout = 60 * LV_SECOND;
        for (int k = 0; k < LIMIT; k++) {
            stage_send(&stage, &idle[k], NULL, 0);
        }
        stage_run_for(&stage, cases[i].idle_ms);
        stage_send(&stage, &client, LAST_REQUEST, sizeof LAST_REQUEST - 1);
        cr_expect(stage_run_until(&stage, is_closed, &client, 3000));
        cr_expect_eq(count_responses(&client, cases[i].status), 1,
                     "case %zu: %zu bytes: %.40s", i, client.response.size,
                     client.response.data);
        finish_client(&client);
        for (int k = 0; k < LIMIT; k++) {
            finish_client(&idle[k]);
        }
        stage_stop(&stage);
    }
}

/* Connects without the loop: the connection waits in the listener's queue. */
static int
connect_socket(void)
{
    struct sockaddr_in address;
    int client = socket(AF_INET, SOCK_STREAM, 0);

    cr_assert(io_parse_address(stage.callers, &address, NULL));
    cr_assert_eq(connect(client, (struct sockaddr *)&address, sizeof address),
                 0);
    return client;
}

static void
send_request(int client)
{
    cr_assert_eq(send(client, REQUEST, sizeof REQUEST - 1, 0),
                 (ssize_t)sizeof REQUEST - 1);
}

/* Guards against a request that has arrived when the process stops and gets
 * neither an answer nor a refusal. */
Test(connections, requests_at_the_stop_are_answered_or_refused)
{
    static const struct {
        const char *what;
        stage_mode mode;
        lv_time drained; /* of a drain of at most 8 s */
        bool is_accepted;
        bool is_forwarded;
        const char *status;
    } cases[] = {
        {"connects as the last connection has closed", STAGE_RESPOND,
         4 * LV_SECOND, false, false, "HTTP/1.1 200"},
        {"connects at the end of the drain", STAGE_RESPOND,
         7700 * LV_MILLISECOND, false, false, "HTTP/1.1 503"},
        {"unread at the end of the drain", STAGE_RESPOND,
         7700 * LV_MILLISECOND, true, false, "HTTP/1.1 503"},
        {"under way at the end of the drain", STAGE_NO_RESPONSE,
         7700 * LV_MILLISECOND, true, true, "HTTP/1.1 502"},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        char response[1024] = "";
        int client;

        stage_start(&stage, 1);
        stage.endpoints[0].mode = cases[i].mode;
        client = connect_socket();
        if (cases[i].is_accepted) {
            cr_assert(stage_run_until(&stage, is_accepted, NULL, 1000));
        }
        send_request(client);
        if (cases[i].is_forwarded) {
            cr_assert(stage_run_until(&stage, is_forwarded, NULL, 1000));
        }
        start_drain();
        stage.gate.drain_since = io_now() - cases[i].drained;
        block_loop(2 * DELIVERY_MS);
        gate_run(&stage.gate);
        stage_stop(&stage);
        recv(client, response, sizeof response - 1, MSG_DONTWAIT);
        cr_expect_eq(strncmp(response, cases[i].status, 12), 0, "%s: %.40s",
                     cases[i].what, response);
        close(client);
    }
}
