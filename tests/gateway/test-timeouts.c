/*
 * Connections of callers that the gateway closes: after a timeout, at the
 * limit of open ones, and when the process stops.
 */
#include <criterion/criterion.h>

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "stage.h"

static stage_fixture stage;

#define REQUEST_HEAD                                                          \
    " HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\nContent-Length: 0\r\n"
#define REQUEST "POST /many/1" REQUEST_HEAD "\r\n"
#define LAST_REQUEST "POST /many/1" REQUEST_HEAD "Connection: close\r\n\r\n"

static bool
is_forwarded(stage_fixture *self, void *context)
{
    (void)context;
    return self->endpoints[0].requests > 0;
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
        stage_start_drain(&stage);
        break;
    case CASE_LATE:
        break;
    }
}

/* Guards against a timeout that closes a connection over a request that has
 * arrived and was not read yet, because the loop is late. */
Test(timeouts, timeouts_read_what_has_arrived_before_they_close)
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
        cr_assert(stage_run_until(&stage, stage_is_accepted, NULL, 1000));
        stage_run_for(&stage, STAGE_DELIVERY_MS);
        io_write(&client.stream, cases[i].rest, strlen(cases[i].rest));
        shorten_timeout(cases[i].kind);
        stage_block(cases[i].block_ms);
        stage_run_until(&stage, stage_is_closed, &client, 3000);
        cr_expect_eq(stage_count_responses(&client, "HTTP/1.1 200"), 1,
                     "%s: %zu bytes: %.40s", cases[i].what,
                     client.response.size, client.response.data);
        cr_expect_eq(stage.gate.callers.counts.closed_unread, 0, "%s",
                     cases[i].what);
        stage_finish_client(&stage, &client);
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
Test(timeouts, late_close_does_not_reset_the_last_response)
{
    stage_client client;

    stage_start(&stage, 1);
    stage_send(&stage, &client, NULL, 0);
    cr_assert(stage_run_until(&stage, stage_is_accepted, NULL, 1000));
    stage_run_for(&stage, STAGE_DELIVERY_MS);
    io_read_stop(&client.stream);
    io_write(&client.stream, LAST_REQUEST, sizeof LAST_REQUEST - 1);
    cr_assert(stage_run_until(&stage, is_lingering, NULL, 1000));
    io_write(&client.stream, REQUEST, sizeof REQUEST - 1);
    stage_block(700);
    stage_run_for(&stage, 50);
    io_read_start(&client.stream);
    stage_run_until(&stage, stage_is_closed, &client, 1000);
    cr_expect_eq(stage_count_responses(&client, "HTTP/1.1 200"), 1);
    cr_expect(!client.is_reset);
    stage_finish_client(&stage, &client);
    stage_stop(&stage);
}

/* Guards against a limit that is lowered while callers still rely on the old
 * one: their connections close at once, over requests that are on the way. */
Test(timeouts, lowered_idle_timeout_counts_from_its_change)
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
        cr_assert(stage_run_until(&stage, stage_is_accepted, NULL, 1000));
        stage_run_for(&stage, cases[i].idle_ms);
        if (cases[i].kind == CASE_DRAIN) {
            stage_start_drain(&stage);
        }
        else {
            stage.gate.callers.limits.idle_timeout =
                cases[i].limit_ms * LV_MILLISECOND;
        }
        stage_run_for(&stage, cases[i].after_ms);
        cr_expect_eq(!client.is_closed, cases[i].is_answered, "case %zu", i);
        if (!client.is_closed) {
            io_write(&client.stream, REQUEST, sizeof REQUEST - 1);
            stage_run_until(&stage, stage_is_closed, &client, 1500);
        }
        cr_expect_eq(stage_count_responses(&client, "HTTP/1.1 200"),
                     cases[i].is_answered, "case %zu", i);
        stage_finish_client(&stage, &client);
        stage_stop(&stage);
    }
}

/* Guards against a connection at the limit of open ones that is closed without
 * a response. */
Test(timeouts, connection_beyond_the_limit_is_served_or_refused)
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
        cr_expect(stage_run_until(&stage, stage_is_closed, &client, 3000));
        cr_expect_eq(stage_count_responses(&client, cases[i].status), 1,
                     "case %zu: %zu bytes: %.40s", i, client.response.size,
                     client.response.data);
        stage_finish_client(&stage, &client);
        for (int k = 0; k < LIMIT; k++) {
            stage_finish_client(&stage, &idle[k]);
        }
        stage_stop(&stage);
    }
}

enum {
    BURST_LIMIT = 100,
    BURST = 80
};

static bool
are_closed(stage_fixture *self, void *context)
{
    const stage_client *clients = context;
    bool are = true;

    (void)self;
    for (int i = 0; i < BURST; i++) {
        are = are && clients[i].is_closed;
    }
    return are;
}

/* Guards against connections that are closed at once although idle ones made
 * room for them in the same iteration of the loop. */
Test(timeouts, burst_beyond_the_limit_replaces_idle_connections)
{
    /* No route: answered at once, without an endpoint. */
    static const char request[] =
        "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    static stage_client idle[BURST_LIMIT];
    static stage_client clients[BURST];
    uint32_t answered = 0;

    stage_start(&stage, 1);
    stage.gate.callers.max_connections = BURST_LIMIT;
    stage.gate.callers.limits.idle_timeout = 60 * LV_SECOND;
    for (int i = 0; i < BURST_LIMIT; i++) {
        stage_send(&stage, &idle[i], NULL, 0);
    }
    stage_run_for(&stage, 700);
    for (int i = 0; i < BURST; i++) {
        stage_send(&stage, &clients[i], request, sizeof request - 1);
    }
    stage_block(STAGE_DELIVERY_MS);
    cr_expect(stage_run_until(&stage, are_closed, clients, 3000));
    for (int i = 0; i < BURST; i++) {
        answered += stage_count_responses(&clients[i], "HTTP/1.1 404");
        stage_finish_client(&stage, &clients[i]);
    }
    cr_expect_eq(answered, BURST, "%u", answered);
    for (int i = 0; i < BURST_LIMIT; i++) {
        stage_finish_client(&stage, &idle[i]);
    }
    stage_stop(&stage);
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
Test(timeouts, requests_at_the_stop_are_answered_or_refused)
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
            cr_assert(stage_run_until(&stage, stage_is_accepted, NULL, 1000));
        }
        send_request(client);
        if (cases[i].is_forwarded) {
            cr_assert(stage_run_until(&stage, is_forwarded, NULL, 1000));
        }
        stage_start_drain(&stage);
        stage.gate.drain_since = io_now() - cases[i].drained;
        stage_block(2 * STAGE_DELIVERY_MS);
        gate_run(&stage.gate);
        stage_stop(&stage);
        recv(client, response, sizeof response - 1, MSG_DONTWAIT);
        cr_expect_eq(strncmp(response, cases[i].status, 12), 0, "%s: %.40s",
                     cases[i].what, response);
        close(client);
    }
}
