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

/* Two feeds keep up to 16 MiB of an answer in a buffer that doubles, a quarter
 * of the memory of a machine of 260 MB. */
#define MAX_KEPT_OF_STORE ((size_t)64 * 1024 * 1024)

/* Guards against the same by a store that sends bytes without end: callers are
 * served by what was read before. */
Test(endless, store_is_cut_off, .timeout = 120)
{
    static const stage_mode modes[] = {
        STAGE_ENDLESS_HEAD, STAGE_ENDLESS_INTERIM, STAGE_ENDLESS_BODY,
        STAGE_ENDLESS_CHUNK, STAGE_ENDLESS_TRAILER};

    for (size_t i = 0; i < sizeof modes / sizeof modes[0]; i++) {
        struct sockaddr_in address;
        stage_response answer;
        size_t before, used;

        stage_start(&stage, 2);
        stage.endpoints[1].mode = modes[i];
        io_parse_address(stage.endpoints[1].address, &address, NULL);
        stage.gate.feeds[WIRE_CONFIG].source = address;
        stage.gate.feeds[WIRE_ENDPOINTS].source = address;
        stage.gate.settings.store.address = address;
        eng_unlist(&stage.gate.endpoints, 1);
        before = used_memory();
        stage_cut_store(&stage);
        for (int j = 0; j < 300; j++) {
            stage_run_for(&stage, 10);
            used = used_memory();
            cr_assert_leq(used, before + MAX_KEPT_OF_STORE,
                          "mode %zu: %zu bytes kept", i, used - before);
        }
        cr_expect_gt(stage.endpoints[1].endless_bytes, 0);
        cr_expect_neq(stage.gate.feeds[WIRE_CONFIG].lost_at, 0);
        stage_exchange(&stage, "/once/1", "", &answer);
        cr_expect_eq(answer.status, 200, "mode %zu: %u", i, answer.status);
        stage_stop(&stage);
    }
}

/* Guards against the same by an endpoint that is asked what it has cached. */
Test(endless, list_of_cached_blocks_is_cut_off, .timeout = 120)
{
    static const stage_mode modes[] = {
        STAGE_ENDLESS_HEAD, STAGE_ENDLESS_INTERIM, STAGE_ENDLESS_BODY,
        STAGE_ENDLESS_CHUNK, STAGE_ENDLESS_TRAILER};

    for (size_t i = 0; i < sizeof modes / sizeof modes[0]; i++) {
        stage_response answer;

        stage_prepare(&stage, 1);
        stage.service_extra =
            ",\"engine\":{\"slots\":4,\"kv_capacity\":400000}";
        stage.past_since = STAGE_FIRST_REVISION;
        stage_start_gateway(&stage);
        stage.gate.settings.store.history = 20 * LV_SECOND;
        while (stage.gate.config == NULL ||
               !stage.gate.feeds[WIRE_ENDPOINTS].has_list) {
            stage_run_for(&stage, 20);
        }
        stage.endpoints[0].mode = modes[i];
        stage_exchange(&stage, "/resume/1",
                       "Last-Event-Id: 1\r\nResumes: s\r\n"
                       "Lavenderproxy-Token-Counts: 600,10\r\n"
                       "Lavenderproxy-Prompt-Prefix: 51:200,91:400\r\n",
                       &answer);
        cr_expect_eq(answer.status, 503, "mode %zu: %u", i, answer.status);
        cr_expect_leq(stage.endpoints[0].endless_bytes, MAX_SENT,
                      "mode %zu: %zu bytes sent", i,
                      stage.endpoints[0].endless_bytes);
        cr_expect_eq(stage.gate.cached.asked, 1);
        stage_stop(&stage);
    }
}

/* Guards against many events without end, each below its limit, that take the
 * memory of other clients. */
Test(endless, events_share_the_memory, .timeout = 120)
{
    enum {
        STREAMS = 12,
        LIMIT = 4 * 1024 * 1024, /* of the data of clients */
        EVENT = 900 * 1024,
        /* what each stream may keep, and one read, while memory is scarce */
        SCARCE_EVENT = (128 + 64) * 1024
    };
    static const char request[] =
        "POST /resume/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
        "Lavenderproxy-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n";
    static stage_client clients[STREAMS];
    size_t most = 0;

    stage_prepare(&stage, 2);
    stage.slots = 4 * STREAMS;
    stage_start_gateway(&stage);
    while (stage.gate.config == NULL ||
           !stage.gate.feeds[WIRE_ENDPOINTS].has_list) {
        stage_run_for(&stage, 20);
    }
    for (int i = 0; i < 2; i++) {
        stage.endpoints[i].mode = STAGE_ENDLESS_EVENT;
        stage.endpoints[i].endless_limit = (size_t)STREAMS * EVENT / 2;
    }
    stage.gate.memory.limit = LIMIT;
    for (int i = 0; i < STREAMS; i++) {
        stage_send(&stage, &clients[i], request, sizeof request - 1);
    }
    for (int i = 0; i < 800; i++) {
        stage_run_for(&stage, 1);
        most = stage.gate.memory.used > most ? stage.gate.memory.used : most;
    }
    cr_expect_gt(stage.endpoints[0].endless_bytes, LIMIT / 4);
    cr_expect_leq(most, LIMIT / 4 * 3 + (size_t)STREAMS * SCARCE_EVENT,
                  "%zu bytes", most);
    for (int i = 0; i < STREAMS; i++) {
        stage_finish_client(&stage, &clients[i]);
    }
    stage_stop(&stage);
}
