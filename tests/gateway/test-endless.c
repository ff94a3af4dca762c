/*
 * Endpoints in trouble that send bytes without end: the gateway closes the
 * connection early and keeps little of them.
 */
#include <criterion/criterion.h>

#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "stage.h"

/* Of what an endpoint sends until it is cut off: the gateway's bounds, and
 * what the sockets hold. */
#define MAX_SENT ((size_t)8 * 1024 * 1024)

/* Memory of the gateway, of the endpoint's queue and of the fixture. */
#define MAX_KEPT ((size_t)8 * 1024 * 1024)

static stage_fixture stage;

static size_t
used_memory(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

/* Sends a request and returns the most memory that was in use until its
 * connection ended, or for 3 s. */
static size_t
exchange(const char *path, bool reads, stage_client *client)
{
    static char request[512];
    size_t before = used_memory();
    size_t most = 0;
    int i;

    snprintf(request, sizeof request,
             "POST %s HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
             "Connection: close\r\n"
             "Lavenderproxy-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n",
             path);
    stage_send(&stage, client, request, strlen(request));
    for (i = 0; i < 300 && !client->is_ended && !client->is_reset; i++) {
        size_t used;

        stage_run_for(&stage, 10);
        if (!reads && client->is_open) {
            io_read_stop(&client->stream);
        }
        used = used_memory();
        most = used > before && used - before > most ? used - before : most;
    }
    return most;
}

/* Guards against memory and processor time that an endpoint without end
 * takes. */
Test(endless, endpoint_is_cut_off, .timeout = 120)
{
    static const struct {
        const char *name;
        const char *path;
        stage_mode mode;
    } cases[] = {
        {"head", "/once/1", STAGE_ENDLESS_HEAD},
        {"interim responses", "/once/1", STAGE_ENDLESS_INTERIM},
        {"another response", "/once/1", STAGE_ENDLESS_STRAY},
        {"other responses", "/once/1", STAGE_ENDLESS_STRAYS},
        {"event", "/resume/1", STAGE_ENDLESS_EVENT},
        {"chunk extension", "/once/1", STAGE_ENDLESS_CHUNK},
        {"trailer", "/once/1", STAGE_ENDLESS_TRAILER},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_client client;
        size_t kept;

        stage_start(&stage, 1);
        stage.endpoints[0].mode = cases[i].mode;
        kept = exchange(cases[i].path, true, &client);
        cr_expect_leq(stage.endpoints[0].endless_bytes, MAX_SENT,
                      "%s: %zu bytes sent", cases[i].name,
                      stage.endpoints[0].endless_bytes);
        cr_expect_leq(kept, MAX_KEPT, "%s: %zu bytes kept", cases[i].name,
                      kept);
        cr_expect_eq(stage_count_responses(&client, "HTTP/1.1 502 "), 1,
                     "%s: not answered with 502", cases[i].name);
        stage_finish_client(&stage, &client);
        stage_stop(&stage);
    }
}

/* An answer that has begun goes on until the route's time-out, at the pace of
 * its caller. */
Test(endless, body_waits_for_its_caller, .timeout = 120)
{
    static const struct {
        const char *path;
        stage_mode mode;
    } cases[] = {
        {"/once/1", STAGE_ENDLESS_BODY},
        {"/stream/1", STAGE_ENDLESS_BODY},
        {"/once/1", STAGE_ENDLESS_FAILURE},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        stage_client client;
        size_t kept;

        stage_start(&stage, 1);
        stage.endpoints[0].mode = cases[i].mode;
        kept = exchange(cases[i].path, false, &client);
        cr_expect_leq(kept, MAX_KEPT, "case %zu: %zu bytes kept", i, kept);
        stage_finish_client(&stage, &client);
        stage_stop(&stage);
    }
}
