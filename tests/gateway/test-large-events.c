/*
 * Events of a stream that are larger than what a caller may leave unread.
 */
#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#include "script-endpoint.h"

#define OWN                                                                   \
    "Lavenderproxy-Attempt-Id: $\r\nLavenderproxy-Runner-Seal: seal-1\r\n"
#define LINE_BYTES 8000
#define LINES 60 /* 480 KB */

static stage_fixture stage;
static script_endpoint scripts[2];

static bool
has_last_event(stage_fixture *self, void *context)
{
    (void)self;
    return stage_count_responses(context, "piece-1") > 0;
}

/* Guards against an endpoint that is paused for a caller that has read all:
 * the whole event is forwarded in one write, after which no other one ends. */
Test(large_events, stream_goes_on_after_a_large_event)
{
    static char line[LINE_BYTES + 32];
    script_step steps[SCRIPT_STEPS] = {
        {0,
         "HTTP/1.1 200 OK\r\n" OWN "Content-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n6\r\nid: 0\n\r\n",
         0, SCRIPT_GO_ON},
        {0, line, LINES, SCRIPT_GO_ON},
        {0, "1\r\n\n\r\n", 0, SCRIPT_GO_ON},
        {100, "15\r\nid: 1\ndata: piece-1\n\n\r\n0\r\n\r\n", 0, SCRIPT_GO_ON}};
    static const char request[] =
        "POST /resume/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
        "Lavenderproxy-Attempt-Id: 1\r\nContent-Length: 0\r\n\r\n";
    stage_client client;
    int size = snprintf(line, sizeof line, "%x\r\ndata: ", LINE_BYTES);

    memset(line + size, 'x', LINE_BYTES - 7);
    snprintf(line + size + LINE_BYTES - 7, 8, "\n\r\n");
    script_start_pair(&stage, scripts, steps, steps);
    stage_send(&stage, &client, request, sizeof request - 1);
    cr_expect(stage_run_until(&stage, has_last_event, &client, 1200));
    cr_expect_gt(client.response.size, (size_t)LINES * LINE_BYTES);
    stage_finish_client(&stage, &client);
    script_stop_pair(&stage, scripts);
}
