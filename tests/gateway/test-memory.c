/*
 * Which requests are refused when callers' bytes take all of their memory.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "stage.h"

#define HEAD                                                                  \
    "POST /once/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"                     \
    "Lavenderproxy-Attempt-Id: 1\r\n"
#define LARGE_SENT 1900 /* of 2,000 bytes */

static stage_fixture stage;

static bool
is_answered(stage_fixture *self, void *context)
{
    const stage_client *client = context;

    (void)self;
    return client->response.size > 0;
}

static bool
is_forwarded(stage_fixture *self, void *context)
{
    (void)context;
    return self->endpoints[0].requests > 0;
}

/* The largest incomplete request is refused, and says when to come again; the
 * small one that comes later is served, and all memory is given back. */
Test(memory, largest_incomplete_request_is_refused)
{
    static const char head[] = HEAD "Content-Length: 2000\r\n\r\n";
    static const char small[] = HEAD "Content-Length: 20\r\n\r\n0123456789";
    char large[sizeof head - 1 + LARGE_SENT];
    stage_client clients[2];
    size_t used;

    memcpy(large, head, sizeof head - 1);
    memset(large + sizeof head - 1, 'x', LARGE_SENT);
    stage_start(&stage, 1);
    used = stage.gate.memory.used;
    stage_send(&stage, &clients[0], large, sizeof large);
    stage_send(&stage, &clients[1], small, sizeof small - 1);
    stage_run_for(&stage, 100);
    stage.gate.memory.limit = stage.gate.memory.used - 1;
    io_write(&clients[1].stream, "01234", 5);
    cr_expect(stage_run_until(&stage, is_answered, &clients[0], 1000));
    cr_expect_eq(stage_count_responses(&clients[0], "HTTP/1.1 503"), 1);
    cr_expect_eq(stage_count_responses(&clients[0], "Retry-After: 1\r\n"), 1);
    io_write(&clients[1].stream, "56789", 5);
    cr_expect(stage_run_until(&stage, is_answered, &clients[1], 1000));
    cr_expect_eq(stage_count_responses(&clients[1], "HTTP/1.1 200"), 1);
    cr_expect_eq(stage.endpoints[0].requests, 1);
    cr_expect_eq(stage.gate.callers.counts.over_memory, 1);
    stage_finish_client(&stage, &clients[0]);
    stage_finish_client(&stage, &clients[1]);
    stage_run_for(&stage, 200);
    cr_expect_eq(stage.gate.memory.used, used, "%zu bytes remain",
                 stage.gate.memory.used - used);
    stage_stop(&stage);
}

/* What has been sent must not be refused, however little memory is left. */
Test(memory, requests_in_hand_are_answered)
{
    static const char request[] = HEAD "Content-Length: 5\r\n\r\nhello";
    stage_client client;

    stage_start(&stage, 1);
    stage.endpoints[0].mode = STAGE_RESPOND_LATE;
    stage_send(&stage, &client, request, sizeof request - 1);
    cr_assert(stage_run_until(&stage, is_forwarded, NULL, 1000));
    stage.gate.memory.limit = 1;
    cr_expect(stage_run_until(&stage, is_answered, &client, 3000));
    cr_expect_eq(stage_count_responses(&client, "HTTP/1.1 200"), 1);
    stage_finish_client(&stage, &client);
    stage_stop(&stage);
}

static bool
has_endpoint(stage_fixture *self, void *context)
{
    (void)context;
    return self->gate.config != NULL && self->gate.endpoints.capacity > 0 &&
           self->gate.endpoints.endpoints[0].is_listed;
}

static bool
is_silent_closed(stage_fixture *self, void *context)
{
    (void)context;
    return self->gate.callers.counts.closed_silent > 0 &&
           self->gate.callers.connection_count == 0;
}

/* A caller that does not read its response while the memory is used up. */
Test(memory, silent_caller_is_closed)
{
    static const char request[] =
        "POST /slow/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
        "Lavenderproxy-Attempt-Id: 1\r\nContent-Length: 0\r\n\r\n";
    stage_client client;

    stage_prepare(&stage, 1);
    stage.config_extra =
        ",{\"name\":\"slow\",\"host\":\"h\",\"prefix\":\"/slow/\","
        "\"kind\":\"non_idempotent\",\"timeout_ms\":20000,"
        "\"target_latency_ms\":200,\"priority\":1,\"service\":\"pool\","
        "\"max_attempts\":1,\"target_gap_ms\":100}";
    stage_start_gateway(&stage);
    cr_assert(stage_run_until(&stage, has_endpoint, NULL, 5000));
    stage.endpoints[0].mode = STAGE_ENDLESS_BODY;
    stage_send(&stage, &client, request, sizeof request - 1);
    cr_assert(stage_run_until(&stage, is_forwarded, NULL, 1000));
    io_read_stop(&client.stream);
    stage.gate.memory.limit = 1;
    cr_expect(stage_run_until(&stage, is_silent_closed, NULL, 5000));
    cr_expect_eq(stage.gate.counts.caller_disconnects, 1);
    stage_finish_client(&stage, &client);
    stage_stop(&stage);
}
