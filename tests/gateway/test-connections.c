/*
 * Connections of callers: no request is dropped silently by a connection that
 * the gateway closes.
 */
#include <criterion/criterion.h>

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "stage.h"

static stage_fixture stage;

#define REQUEST_HEAD                                                          \
    " HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\nContent-Length: 0\r\n"
#define REQUEST "POST /many/1" REQUEST_HEAD "\r\n"
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
