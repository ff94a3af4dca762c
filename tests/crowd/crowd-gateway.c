/*
 * Clients that do not behave, against a gateway process with the settings that
 * the platform renders. A gateway must live, stay within the memory and the
 * descriptors of its machine, and serve an ordinary request while the crowd
 * stays and after it has left.
 */
#include <criterion/criterion.h>

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "crowd.h"
#include "stage-imp.h"

/* The machine of the users' pages. */
#define MACHINE_MEMORY_KB (260000000 / 1024)
#define MACHINE_DESCRIPTORS 4100

#define START_TIMEOUT_MS 20000

/* Lowered; of them, the gateway keeps half for itself. */
#define FEW_DESCRIPTORS 400

#define HEAD                                                                  \
    "POST /once/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"                     \
    "Lavenderproxy-Attempt-Id: crowd-%u\r\nLavenderproxy-Deadline-Ms: "       \
    "30000\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

#define ORDINARY                                                              \
    "POST /many/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"                     \
    "Lavenderproxy-Attempt-Id: ordinary\r\n"                                  \
    "Lavenderproxy-Deadline-Ms: 5000\r\nConnection: close\r\n"                \
    "Content-Length: 5\r\n\r\nhello"

#define METRICS_REQUEST "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n"

typedef struct gateway_rig {
    stage_fixture stage;
    proc_process process;
    char folder[64];
    char settings[128];
    char log[128];
    crowd_usage usage;
} gateway_rig;

/* How a gateway and its endpoints are set up. */
typedef struct gateway_shape {
    uint32_t descriptors;
    uint32_t endpoints;
    uint32_t slots;                /* of each endpoint; 0: few */
    const char *header_timeout_ms; /* NULL: a minute */
} gateway_shape;

static const gateway_shape machine = {.descriptors = MACHINE_DESCRIPTORS,
                                      .endpoints = 1};

static gateway_rig rig;
static char limits[256];

/* A route whose requests may stay in progress for longer than a crowd. */
#define SLOW_ROUTE                                                            \
    ",{\"name\":\"slow\",\"host\":\"h\",\"prefix\":\"/slow/\","               \
    "\"kind\":\"non_idempotent\",\"timeout_ms\":10000,"                       \
    "\"target_latency_ms\":10000,\"priority\":1,\"service\":\"pool\","        \
    "\"max_attempts\":1,\"target_gap_ms\":100}"
#define SLOW_HEAD                                                             \
    "POST /slow/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"                     \
    "Lavenderproxy-Attempt-Id: crowd-%u\r\nLavenderproxy-Deadline-Ms: "       \
    "60000\r\n"

static void
work(void *context)
{
    (void)context;
    uv_run(&rig.stage.loop, UV_RUN_NOWAIT);
    stage_end_watches(&rig.stage);
}

static void
write_settings(uint32_t descriptors)
{
    FILE *file = fopen(rig.settings, "w");
    char store[LV_ADDRESS_SIZE];

    cr_assert(file != NULL);
    stage_format_address(&rig.stage.store.listener, store);
    fprintf(file,
            "[instance]\nname = one\nzone = z\n"
            "[listen]\ncallers = %s\nreadiness = %s\npeer = %s\n"
            "descriptors = %u\n[peers]\nseeds = %s\n"
            "[store]\naddress = %s\n[budget]\nratio = 0.20\n",
            rig.stage.callers, rig.stage.readiness, rig.stage.peer,
            descriptors, rig.stage.peer, store);
    fclose(file);
}

static void
start_gateway(const gateway_shape *shape)
{
    proc_command command;
    char *const addresses[] = {rig.stage.callers, rig.stage.readiness,
                               rig.stage.peer};

    memset(&rig, 0, sizeof rig);
    stage_prepare(&rig.stage, shape->endpoints);
    snprintf(limits, sizeof limits,
             "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
             "\"header_timeout_ms\":%s,\"idle_timeout_ms\":15000}",
             shape->header_timeout_ms != NULL ? shape->header_timeout_ms
                                              : "60000");
    rig.stage.limits = limits;
    rig.stage.slots = shape->slots;
    rig.stage.config_extra = SLOW_ROUTE;
    for (uint32_t i = 0; i < shape->endpoints; i++) {
        rig.stage.endpoints[i].keeps_no_bodies = true;
    }
    for (size_t i = 0; i < 3; i++) {
        snprintf(addresses[i], LV_ADDRESS_SIZE, "127.0.0.1:%u",
                 proc_free_port("127.0.0.1"));
    }
    snprintf(rig.folder, sizeof rig.folder, "/tmp/crowd-XXXXXX");
    cr_assert(mkdtemp(rig.folder) != NULL);
    snprintf(rig.settings, sizeof rig.settings, "%s/boot.ini", rig.folder);
    snprintf(rig.log, sizeof rig.log, "%s/log", rig.folder);
    write_settings(shape->descriptors);
    crowd_raise_limits();
    crowd_set_sanitizer_options();
    proc_command_init(&command, FLEET_DAEMON);
    proc_command_add(&command, "--gateway");
    proc_command_add(&command, "--config");
    proc_command_add(&command, "%s", rig.settings);
    cr_assert(proc_start(&rig.process, &command, rig.log));
    cr_assert(crowd_ask_until_served(rig.stage.callers, ORDINARY, work, NULL),
              "the gateway does not serve");
}

static void
stop_gateway(void)
{
    proc_kill(&rig.process);
    unlink(rig.settings);
    unlink(rig.log);
    rmdir(rig.folder);
    stage_stop(&rig.stage);
}

static void
check_usage(uint32_t descriptors)
{
    const crowd_usage *usage = &rig.usage;

    fprintf(stderr,
            "memory %llu kB, unread %llu kB, descriptors %u, sent %llu MB, "
            "closed %u\n",
            (unsigned long long)usage->memory_kb,
            (unsigned long long)usage->unread_kb, usage->descriptors,
            (unsigned long long)usage->sent / 1000000, usage->closed);
    cr_expect_leq(usage->memory_kb + usage->unread_kb, MACHINE_MEMORY_KB,
                  "%llu kB and %llu kB unread, of %u kB",
                  (unsigned long long)usage->memory_kb,
                  (unsigned long long)usage->unread_kb, MACHINE_MEMORY_KB);
    cr_expect_leq(usage->descriptors, descriptors);
}

static void
set_mode(stage_mode mode)
{
    for (uint32_t i = 0; i < rig.stage.endpoint_count; i++) {
        rig.stage.endpoints[i].mode = mode;
    }
}

/* Two crowds one after the other: memory must not grow from wave to wave. */
static void
play(const char *address, const crowd_shape *shape, uint32_t descriptors,
     stage_mode mode)
{
    for (int wave = 0; wave < 2; wave++) {
        crowd_crowd *crowd;

        set_mode(mode);
        crowd =
            crowd_start(&rig.process, address, shape, work, NULL, &rig.usage);
        set_mode(STAGE_RESPOND);
        cr_expect(crowd_is_alive(&rig.process), "the gateway has ended");
        cr_expect(
            crowd_ask_until_served(rig.stage.callers, ORDINARY, work, NULL),
            "no ordinary request is served beside the crowd");
        crowd_stop(crowd);
        cr_expect(
            crowd_ask_until_served(rig.stage.callers, ORDINARY, work, NULL),
            "no ordinary request is served after the crowd");
    }
    cr_expect(crowd_is_alive(&rig.process), "the gateway has ended");
    check_usage(descriptors);
}

static void
play_callers(const crowd_shape *shape, stage_mode mode)
{
    start_gateway(&machine);
    play(rig.stage.callers, shape, MACHINE_DESCRIPTORS, mode);
    stop_gateway();
}

Test(gateway, one_chunk_less_a_byte)
{
    static const crowd_shape shape = {.clients = 100,
                                      .head = HEAD CHUNKED "400000\r\n",
                                      .piece = "x",
                                      .piece_bytes = CROWD_BODY_BYTES - 1};

    play_callers(&shape, STAGE_RESPOND);
}

Test(gateway, small_chunks_without_an_end)
{
    static const crowd_shape shape = {.clients = 90,
                                      .head = HEAD CHUNKED,
                                      .piece = "8\r\nxxxxxxxx\r\n",
                                      .piece_bytes =
                                          (CROWD_BODY_BYTES / 8 - 1) * 13};

    play_callers(&shape, STAGE_RESPOND);
}

Test(gateway, length_less_a_byte)
{
    static const crowd_shape shape = {.clients = 100,
                                      .head = HEAD
                                      "Content-Length: 4194304\r\n\r\n",
                                      .piece = "x",
                                      .piece_bytes = CROWD_BODY_BYTES - 1};

    play_callers(&shape, STAGE_RESPOND);
}

Test(gateway, whole_bodies_in_hand)
{
    static const crowd_shape shape = {.clients = 100,
                                      .head = HEAD
                                      "Content-Length: 4194304\r\n\r\n",
                                      .piece = "x",
                                      .piece_bytes = CROWD_BODY_BYTES};

    play_callers(&shape, STAGE_NO_RESPONSE);
}

/* Refused at the limit of a body; the clients come again. */
Test(gateway, endless_chunk)
{
    static const crowd_shape shape = {.clients = 100,
                                      .connections = 4,
                                      .head = HEAD CHUNKED "7fffffff\r\n",
                                      .piece = "x",
                                      .piece_bytes = 4 * CROWD_BODY_BYTES};

    play_callers(&shape, STAGE_RESPOND);
}

Test(gateway, announced_far_over_the_limit)
{
    static const crowd_shape shape = {.clients = 300,
                                      .connections = 2,
                                      .head = HEAD
                                      "Content-Length: 1073741824\r\n\r\n",
                                      .piece = "x",
                                      .piece_bytes = 4 * CROWD_BODY_BYTES};

    play_callers(&shape, STAGE_RESPOND);
}

Test(gateway, unfinished_heads)
{
    static const crowd_shape shape = {.clients = 1200,
                                      .head = HEAD "X-Filler: ",
                                      .piece = "x",
                                      .piece_bytes = 15 * 1024};

    play_callers(&shape, STAGE_RESPOND);
}

/* Bytes behind requests that wait for their answer. */
Test(gateway, bytes_behind_a_request)
{
    static const crowd_shape shape = {.clients = 2000,
                                      .head = HEAD "Content-Length: 0\r\n\r\n",
                                      .piece = "x",
                                      .piece_bytes = 250 * 1024};

    play_callers(&shape, STAGE_NO_RESPONSE);
}

/* Requests whose answers are not read. */
Test(gateway, unread_answers)
{
    static const crowd_shape shape = {
        .clients = 100,
        .head = "GET /metrics?%u HTTP/1.1\r\nHost: m\r\n\r\n",
        .piece = METRICS_REQUEST,
        .piece_bytes = (sizeof METRICS_REQUEST - 1) * 2000};

    start_gateway(&machine);
    play(rig.stage.readiness, &shape, MACHINE_DESCRIPTORS, STAGE_RESPOND);
    stop_gateway();
}

Test(gateway, bodies_at_the_readiness_port)
{
    static const crowd_shape shape = {.clients = 100,
                                      .connections = 2,
                                      .head = HEAD CHUNKED "400000\r\n",
                                      .piece = "x",
                                      .piece_bytes = CROWD_BODY_BYTES - 1};

    start_gateway(&machine);
    play(rig.stage.readiness, &shape, MACHINE_DESCRIPTORS, STAGE_RESPOND);
    stop_gateway();
}

Test(gateway, bodies_at_the_peer_port)
{
    static const crowd_shape shape = {.clients = 100,
                                      .connections = 2,
                                      .head = HEAD CHUNKED "400000\r\n",
                                      .piece = "x",
                                      .piece_bytes = CROWD_BODY_BYTES - 1};

    start_gateway(&machine);
    play(rig.stage.peer, &shape, MACHINE_DESCRIPTORS, STAGE_RESPOND);
    stop_gateway();
}

Test(gateway, more_connections_than_descriptors)
{
    static const gateway_shape few = {.descriptors = FEW_DESCRIPTORS,
                                      .endpoints = 1};
    static const crowd_shape shape = {.clients = 600,
                                      .connections = 2,
                                      .head = HEAD CHUNKED "10\r\n",
                                      .piece = "x",
                                      .piece_bytes = 8};

    start_gateway(&few);
    play(rig.stage.callers, &shape, FEW_DESCRIPTORS, STAGE_RESPOND);
    stop_gateway();
}

/* The header timeout, which ends such requests, is longer than the test. */
Test(gateway, stalled_requests_on_all_connections)
{
    static const gateway_shape few = {.descriptors = FEW_DESCRIPTORS,
                                      .endpoints = 1,
                                      .header_timeout_ms = "3600000"};
    static const crowd_shape shape = {.clients = 600,
                                      .head = HEAD CHUNKED "10\r\n",
                                      .piece = "x",
                                      .piece_bytes = 8};

    start_gateway(&few);
    play(rig.stage.callers, &shape, FEW_DESCRIPTORS, STAGE_RESPOND);
    stop_gateway();
}

static const gateway_shape busy = {
    .descriptors = MACHINE_DESCRIPTORS, .endpoints = 8, .slots = 200};

Test(gateway, bytes_behind_requests_in_progress)
{
    static const crowd_shape shape = {.clients = 1200,
                                      .head = SLOW_HEAD
                                      "Content-Length: 0\r\n\r\n",
                                      .piece = "x",
                                      .piece_bytes = 250 * 1024};

    start_gateway(&busy);
    play(rig.stage.callers, &shape, MACHINE_DESCRIPTORS, STAGE_NO_RESPONSE);
    stop_gateway();
}

/* Each request in progress has a connection to its endpoint, too. */
Test(gateway, requests_in_progress_on_all_connections)
{
    static const gateway_shape few = {
        .descriptors = FEW_DESCRIPTORS, .endpoints = 8, .slots = 200};
    static const crowd_shape shape = {.clients = 600,
                                      .head = SLOW_HEAD
                                      "Content-Length: 0\r\n\r\n",
                                      .piece = "x",
                                      .piece_bytes = 0};

    start_gateway(&few);
    play(rig.stage.callers, &shape, FEW_DESCRIPTORS, STAGE_NO_RESPONSE);
    stop_gateway();
}

Test(gateway, unread_answers_of_endpoints)
{
    static const crowd_shape shape = {.clients = 300,
                                      .head = SLOW_HEAD
                                      "Content-Length: 0\r\n\r\n",
                                      .piece = "x",
                                      .piece_bytes = 0};

    start_gateway(&busy);
    play(rig.stage.callers, &shape, MACHINE_DESCRIPTORS, STAGE_ENDLESS_BODY);
    stop_gateway();
}

/* No crowd: the largest body inside the limits, in one piece and in the
 * smallest chunks. */
Test(gateway, largest_body_in_calm)
{
    buf_buffer requests[2];

    crowd_write_largest(&requests[0], &requests[1],
                        "POST /many/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
                        "Lavenderproxy-Attempt-Id: largest\r\n");
    start_gateway(&machine);
    for (int i = 0; i < 2; i++) {
        int status = crowd_ask(rig.stage.callers, requests[i].data, work, NULL,
                               START_TIMEOUT_MS);

        cr_expect_eq(status, 200, "request %d: %d", i, status);
        buf_finish(&requests[i]);
    }
    stop_gateway();
}
