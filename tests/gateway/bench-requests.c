/*
 * CPU time of one gateway for a refused request, a stream, and an idle second.
 * The gateway runs in a process of its own; this one plays the callers, the
 * endpoints and the store. Not run by ctest; docs/CAPACITY.md has the figures.
 */
#include <criterion/criterion.h>

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lavender-platform/platform.h"
#include "stage.h"

#define CALLERS 50
#define SLOTS 12 /* of the three endpoints */
#define BODY_BYTES 2000

static stage_fixture stage;

typedef struct bench_caller {
    stage_client client;
    bool is_waiting;
} bench_caller;

static bench_caller callers[CALLERS];
static int active_callers;
static char request[BODY_BYTES + 1024];
static size_t request_size;

/* Runs the gateway until SIGTERM. */
static void
run_gateway(const char *caller_address, const char *readiness_address)
{
    static gate_settings settings;
    static gate_server gate;
    uv_loop_t loop;
    err_error error;

    gate_default_settings(&settings);
    lv_copy_name(settings.instance, sizeof settings.instance, "one");
    lv_copy_name(settings.caller_address, LV_ADDRESS_SIZE, caller_address);
    lv_copy_name(settings.readiness_address, LV_ADDRESS_SIZE,
                 readiness_address);
    lv_copy_name(settings.peer_address, LV_ADDRESS_SIZE, "127.0.0.1:0");
    settings.budget.ratio = 0.2;
    settings.min_drain = 0;
    lv_copy_name(settings.store_address, LV_ADDRESS_SIZE, stage.callers);
    uv_loop_init(&loop);
    err_clear(&error);
    if (!gate_init(&gate, &loop, platform_wire_ops(), &settings, NULL,
                   &error)) {
        fprintf(stderr, "%s\n", error.message);
        _exit(2);
    }
    gate_run(&gate);
    _exit(0);
}

/* Returns the address of a port that is free now. */
static void
find_address(char *text)
{
    struct sockaddr_in address;
    uv_tcp_t listener;
    int size = sizeof address;

    io_parse_address("127.0.0.1:0", &address, NULL);
    uv_tcp_init(&stage.loop, &listener);
    uv_tcp_bind(&listener, (const struct sockaddr *)&address, 0);
    uv_tcp_getsockname(&listener, (struct sockaddr *)&address, &size);
    snprintf(text, LV_ADDRESS_SIZE, "127.0.0.1:%u", ntohs(address.sin_port));
    uv_close((uv_handle_t *)&listener, NULL);
    uv_run(&stage.loop, UV_RUN_NOWAIT);
}

static bool
never(stage_fixture *self, void *context)
{
    (void)self;
    (void)context;
    return false;
}

/* Returns the CPU time of the gateway so far, in microseconds. */
static double
cpu_time(pid_t gateway)
{
    char path[64];
    char text[1024] = "";
    unsigned long user = 0;
    unsigned long system = 0;
    FILE *file;

    snprintf(path, sizeof path, "/proc/%d/schedstat", (int)gateway);
    file = fopen(path, "r");
    if (file != NULL && fgets(text, sizeof text, file) != NULL) {
        sscanf(text, "%lu %lu", &user, &system);
    }
    if (file != NULL) {
        fclose(file);
    }
    return (double)user / 1000;
}

static uint32_t
count_responses(const stage_client *client)
{
    uint32_t count = 0;
    size_t i;

    for (i = 0; i + 9 <= client->response.size; i++) {
        count += memcmp(client->response.data + i, "HTTP/1.1 ", 9) == 0;
    }
    return count;
}

static bool
is_answered(stage_fixture *self, void *context)
{
    (void)self;
    (void)context;
    for (int i = 0; i < active_callers; i++) {
        buf_buffer *response = &callers[i].client.response;

        buf_append(response, "", 1);
        response->size--;
        if (count_responses(&callers[i].client) == 0 ||
            (strstr(response->data, "chunked") != NULL &&
             strstr(response->data, "\r\n0\r\n\r\n") == NULL)) {
            return false;
        }
    }
    return true;
}

static void
write_request(const char *path)
{
    char body[BODY_BYTES];
    int size;

    memset(body, 'x', sizeof body);
    size = snprintf(request, sizeof request,
                    "POST %s HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
                    "Lavenderproxy-Attempt-Id: 9c41d07be2a35f68\r\n"
                    "Lavenderproxy-Deadline-Ms: 9000\r\n"
                    "Lavenderproxy-Model: m\r\n"
                    "Lavenderproxy-Token-Counts: 12000,400\r\n"
                    "Lavenderproxy-Prompt-Prefix: 5c1e07a2:5382,"
                    "91bd3f06:6000,e4402b7d:618\r\n"
                    "Content-Length: %d\r\n\r\n",
                    path, BODY_BYTES);
    memcpy(request + size, body, sizeof body);
    request_size = (size_t)size + sizeof body;
}

/* Sends a request from every caller, on its open connection or on a new one,
 * and waits for all responses. */
static void
play_round(bool is_fresh)
{
    for (int i = 0; i < active_callers; i++) {
        stage_client *client = &callers[i].client;

        if (is_fresh || !callers[i].is_waiting || client->is_ended) {
            stage_send(&stage, client, request, request_size);
            callers[i].is_waiting = true;
        }
        else {
            buf_clear(&client->response);
            io_write(&client->stream, request, request_size);
        }
    }
    if (!stage_run_until(&stage, is_answered, NULL, 5000)) {
        fprintf(stderr, "no response: %.300s\n",
                callers[0].client.response.data);
    }
    for (int i = 0; is_fresh && i < active_callers; i++) {
        stage_disconnect(&stage, &callers[i].client);
        buf_finish(&callers[i].client.response);
        callers[i].is_waiting = false;
    }
}

static void
measure(pid_t gateway, const char *name, const char *path, int caller_count,
        bool is_fresh)
{
    enum {
        ROUNDS = 100
    };
    double before;

    active_callers = caller_count;
    write_request(path);
    play_round(is_fresh);
    before = cpu_time(gateway);
    for (int i = 0; i < ROUNDS; i++) {
        play_round(is_fresh);
    }
    printf("%-44s %8.1f us\n", name,
           (cpu_time(gateway) - before) / ROUNDS / caller_count);
}

int
main(void)
{
    char readiness[LV_ADDRESS_SIZE];
    double before;
    pid_t gateway;

    setvbuf(stdout, NULL, _IOLBF, 0);
    stage_prepare(&stage, 3);
    find_address(stage.readiness);
    find_address(readiness);
    lv_copy_name(stage.callers, sizeof stage.callers, "");
    stage_format_address(&stage.store.listener, stage.callers);
    gateway = fork();
    if (gateway == 0) {
        run_gateway(stage.readiness, readiness);
    }
    lv_copy_name(stage.callers, sizeof stage.callers, stage.readiness);
    stage_run_until(&stage, never, NULL, 1000);
    before = cpu_time(gateway);
    stage_run_until(&stage, never, NULL, 2000);
    printf("%-44s %8.1f us\n", "a second without requests",
           (cpu_time(gateway) - before) / 2);
    for (int i = 0; i < 3; i++) {
        stage.endpoints[i].mode = STAGE_RESPOND;
    }
    measure(gateway, "a call of a plain service", "/many/1", SLOTS, false);
    for (int i = 0; i < 3; i++) {
        stage.endpoints[i].mode = STAGE_STREAM;
    }
    measure(gateway, "a stream of 6 events", "/stream/1", SLOTS, false);
    for (int i = 0; i < 3; i++) {
        stage.is_unlisted[i] = true;
    }
    stage_advance_revision(&stage);
    stage_run_until(&stage, never, NULL, 1500);
    measure(gateway, "a refusal on an open connection", "/many/1", CALLERS,
            false);
    measure(gateway, "a refusal on a new connection", "/many/1", CALLERS,
            true);
    kill(gateway, SIGTERM);
    waitpid(gateway, NULL, 0);
    return 0;
}
