/*
 * Requests of which only a part has arrived: when the process stops, and when
 * the rest comes slowly or never.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "stage.h"

static stage_fixture stage;

#define HEAD                                                                  \
    "POST /many/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"                     \
    "Content-Length: 5\r\n"
#define REFUSED_REQUEST "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

/* Guards against a request whose connection is closed without an answer when
 * the process stops, since its head or body has not arrived whole. */
Test(partial_requests, are_refused_when_the_process_stops)
{
    static const struct {
        const char *what;
        const char *first;  /* read before the stop */
        const char *second; /* arrived, and not read by then */
        uint32_t answers;
    } cases[] = {
        {"nothing", "", "", 0},
        {"half a head", "POST /many/1 HTTP/1.1\r\nHo", "", 1},
        {"a head", HEAD "\r\n", "", 1},
        {"half a body", HEAD "\r\nhe", "", 1},
        {"a body that waits to be asked for",
         HEAD "Expect: 100-continue\r\n\r\n", "", 1},
        {"half a head, not read", "", "POST /many/1 HTTP/1.1\r\nHo", 1},
        {"a head, not read", "", HEAD "\r\n", 1},
        {"half a body, not read", HEAD "\r\n", "he", 1},
        {"half a body behind an answer", REFUSED_REQUEST HEAD "\r\nhe", "", 1},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_client client;

        stage_start(&stage, 1);
        stage_send(&stage, &client, cases[i].first, strlen(cases[i].first));
        cr_assert(stage_run_until(&stage, stage_is_accepted, NULL, 1000));
        stage_run_for(&stage, STAGE_DELIVERY_MS);
        io_write(&client.stream, cases[i].second, strlen(cases[i].second));
        stage_block(STAGE_DELIVERY_MS);
        stage_stop(&stage);
        cr_expect_eq(stage_count_responses(&client, "HTTP/1.1 503"),
                     cases[i].answers, "%s", cases[i].what);
        cr_expect_eq(stage_count_responses(&client, "Connection: close"),
                     cases[i].answers, "%s", cases[i].what);
        cr_expect_not(client.is_reset, "%s: reset", cases[i].what);
        cr_expect_eq(stage.endpoints[0].requests, 0, "%s", cases[i].what);
        buf_finish(&client.response);
    }
}
