/*
 * Long uploads whose endpoint answers before it has read them, and resets the
 * connection while they are being written.
 */
#include <criterion/criterion.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "script-endpoint.h"

#define UPLOAD_SIZE 4000000
#define HEAD                                                                  \
    "HTTP/1.1 200 OK\r\nLavenderproxy-Attempt-Id: $\r\n"                      \
    "Lavenderproxy-Runner-Seal: seal-1\r\n"
#define LIMITS                                                                \
    "{\"max_header_bytes\":4096,\"max_body_bytes\":8000000,"                  \
    "\"header_timeout_ms\":400,\"idle_timeout_ms\":1000}"

static stage_fixture stage;
static script_endpoint endpoint;
static char request[UPLOAD_SIZE + 512];

typedef struct upload_case {
    const char *path;
    const char *version;
    uint64_t reset_after_ms;
} upload_case;

static void
upload(const upload_case *one, const char *response, stage_client *client)
{
    static script_step steps[SCRIPT_STEPS];
    static uint32_t order;
    size_t size;

    steps[0] = (script_step){0, response, 0, SCRIPT_GO_ON};
    steps[1] = (script_step){one->reset_after_ms, "", 0, SCRIPT_RESET};
    order = 0;
    stage_prepare(&stage, 1);
    stage.limits = LIMITS;
    endpoint.steps = steps;
    endpoint.order = &order;
    script_start(&stage, 0, &endpoint);
    endpoint.answers_heads = true;
    script_start_gateway(&stage);
    size = (size_t)snprintf(request, sizeof request,
                            "POST %s HTTP/%s\r\nHost: h\r\nApi-Key: k1\r\n"
                            "Connection: close\r\n"
                            "Lavenderproxy-Attempt-Id: id-1\r\n"
                            "Content-Length: %d\r\n\r\n",
                            one->path, one->version, UPLOAD_SIZE);
    memset(request + size, 'x', UPLOAD_SIZE);
    stage_send(&stage, client, request, size + UPLOAD_SIZE);
    cr_expect(stage_run_until(&stage, stage_is_closed, client, 8000),
              "%s: no end", one->path);
    buf_append(&client->response, "", 1);
}

/* Returns whether the caller takes what it got for a whole answer. */
static bool
looks_whole(const stage_client *client)
{
    const char *text = client->response.data;

    if (strstr(text, "Content-Length: ") != NULL) {
        return true;
    }
    if (strstr(text, "Transfer-Encoding: chunked") != NULL) {
        return strstr(text, "\r\n0\r\n\r\n") != NULL;
    }
    return !client->is_reset;
}

static bool
is_refusal(const stage_client *client)
{
    return strstr(client->response.data, " 502 ") != NULL &&
           strstr(client->response.data, "piece") == NULL;
}

/* Guards against a part of an answer without a length that passes for all of
 * it, as the end of its connection is not seen to be a reset. */
Test(long_uploads, part_of_an_answer_does_not_look_whole)
{
    static const char *const paths[] = {"/once/1", "/many/1", "/stream/1",
                                        "/resume/1"};
    static const char *const versions[] = {"1.1", "1.0"};
    static const uint64_t delays_ms[] = {0, 20, 100};

    for (size_t i = 0; i < 24; i++) {
        upload_case one = {paths[i % 4], versions[i / 4 % 2],
                           delays_ms[i / 8]};
        stage_client client;

        upload(&one, HEAD "\r\nid: 0\ndata: piece-0\n\n", &client);
        cr_expect(is_refusal(&client) || !looks_whole(&client),
                  "%s, HTTP/%s, reset after %u ms: %s", one.path, one.version,
                  (unsigned)one.reset_after_ms, client.response.data);
        cr_expect_geq(endpoint.requests, 1);
        stage_finish_client(&stage, &client);
        script_stop(&stage, &endpoint);
        stage_stop(&stage);
    }
}
