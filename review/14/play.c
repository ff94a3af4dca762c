/*
 * A route is split over a second service. Then a gateway is killed, and the
 * clients of its streams take them up at other gateways.
 *
 * Usage: case-14 PROGRAM FOLDER RECORD, or case-14 runner PORT ID VERSION.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"
#include "client.h"
#include "platform.h"
#include "runner.h"

#define GATEWAYS 6
#define OLD_RUNNERS 6 /* of the first service; three of each version */
#define NEW_RUNNERS 3 /* of the second one */
#define RUNNERS (OLD_RUNNERS + NEW_RUNNERS)
#define SLOTS 64
#define EVENTS 90
#define PACE_MS 50

/* Percent of the requests that still go to the first service. */
#define OLD_PERCENT 10

/* From the change of the configuration to the kill; it is in force after 2 s
 * at the latest. */
#define KILL_AFTER_MS 2200

/* A killed gateway starts again after this time. */
#define DOWN_MS 3000

/* Streams that are taken up must be this many for a judgement. */
#define LEAST_TAKE_UPS 12

static runner runners[RUNNERS];
static volatile bool is_over;
static volatile int asked;
static volatile int begun;
static volatile int taken_up;
static volatile int gone_on;
static volatile int mixed_streams;
static volatile int running;

static bool
answer_request(int fd, const base_message *request, const char *version)
{
    runner_send_head(fd, request, "Transfer-Encoding: chunked\r\n");
    return runner_send_events(fd, request, EVENTS, true, version);
}

/* A client goes to another gateway if its own does not accept connections. */
static uint16_t
choose_gateway(unsigned number)
{
    while (!platform_is_ready(number % GATEWAYS)) {
        number++;
    }
    return platform_gateways[number % GATEWAYS].callers;
}

static void *
call_stream(void *argument)
{
    static volatile unsigned last;
    unsigned number = __sync_add_and_fetch(&last, 1);
    client_stream stream = {.expected = EVENTS};
    int count;

    (void)argument;
    snprintf(stream.path, sizeof stream.path, "/chat/%u", number);
    client_call(&stream, choose_gateway(number), 10000);
    count = stream.count;
    __sync_fetch_and_add(&asked, 1);
    __sync_fetch_and_add(&begun, count > 0);
    if (count > 0 && count < EVENTS && !stream.is_whole) {
        client_call(&stream, choose_gateway(number + 1), 8000);
        __sync_fetch_and_add(&taken_up, 1);
        __sync_fetch_and_add(&gone_on, stream.count > count);
    }
    __sync_fetch_and_add(&mixed_streams, stream.has_two_versions);
    __sync_fetch_and_sub(&running, 1);
    return NULL;
}

static void *
call_streams(void *argument)
{
    (void)argument;
    while (!is_over) {
        __sync_fetch_and_add(&running, 1);
        base_start_thread(call_stream, NULL);
        base_sleep_ms(PACE_MS);
    }
    return NULL;
}

static void
publish_configuration(unsigned version, const char *backends)
{
    platform_put(
        "op/config",
        "{\"version\":%u,\"routes\":["
        "{\"name\":\"r-1\",\"host\":\"fjord.example\",\"prefix\":\"/chat/\","
        "\"kind\":\"stream\",\"timeout_ms\":10000,"
        "\"target_latency_ms\":400,\"priority\":1,%s,"
        "\"max_attempts\":2,\"public\":false,\"sticky\":true,"
        "\"resumable\":true,\"target_gap_ms\":300}],"
        "\"services\":["
        "{\"name\":\"pouch-llm\",\"health_path\":\"/health\","
        "\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,"
        "\"engine\":{\"slots\":%d,\"kv_capacity\":573713}},"
        "{\"name\":\"pouch-llm-next\",\"health_path\":\"/health\","
        "\"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,"
        "\"engine\":{\"slots\":%d,\"kv_capacity\":573713}}],"
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
        "\"tokens_per_s\":330000},"
        "\"tenants\":[{\"name\":\"hule930\","
        "\"api_keys\":[\"asnmgkcuyj8pjbvk9m68\"],\"priority\":1}]}",
        version, backends, SLOTS, SLOTS);
    base_record("configuration %u: %s", version, backends);
}

static void
split_route(void)
{
    char backends[256];

    snprintf(backends, sizeof backends,
             "\"backends\":[{\"service\":\"pouch-llm\",\"weight\":%d},"
             "{\"service\":\"pouch-llm-next\",\"weight\":%d}]",
             OLD_PERCENT, 100 - OLD_PERCENT);
    publish_configuration(4, backends);
}

static void
start_runners(const char *program)
{
    int i;

    for (i = 0; i < RUNNERS; i++) {
        runner *self = &runners[i];
        bool is_old = i < OLD_RUNNERS;

        snprintf(self->id, sizeof self->id, "i-7f3a91c%c", '0' + i);
        snprintf(self->version, sizeof self->version, "%s",
                 !is_old      ? "v3"
                 : i % 2 == 0 ? "v1"
                              : "v2");
        self->service = is_old ? "pouch-llm" : "pouch-llm-next";
        self->slots = SLOTS;
        self->port = self->address = base_free_port();
        runner_start(self, program);
        runner_publish(self);
    }
}

static int
report(void)
{
    bool is_broken =
        taken_up >= LEAST_TAKE_UPS && gone_on * asked * 2 < begun * taken_up;

    base_record("new streams: %d of %d begun; streams taken up: %d of %d went "
                "on; %d hold events of two versions",
                begun, asked, gone_on, taken_up, mixed_streams);
    return is_broken ? BASE_BROKEN : BASE_HELD;
}

int
main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    bool has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    bool is_sound;
    int i;

    signal(SIGPIPE, SIG_IGN);
    if (argc == 5 && strcmp(argv[1], "runner") == 0) {
        return runner_run(argv, answer_request, 15000);
    }
    if (argc != 4) {
        return BASE_CANNOT_RUN;
    }
    base_open_record(argv[3]);
    platform_start_store();
    publish_configuration(1, "\"service\":\"pouch-llm\"");
    start_runners(argv[0]);
    platform_start_gateways(GATEWAYS, argv[1], argv[2]);
    base_sleep_ms(2000);
    base_start_thread(call_streams, NULL);
    base_sleep_ms(9000);
    split_route();
    base_sleep_ms(KILL_AFTER_MS);
    if (has_trouble) {
        base_record("gateway 0 is killed");
        platform_kill_gateway(0);
    }
    base_sleep_ms(DOWN_MS);
    if (has_trouble) {
        platform_start_gateway(0);
    }
    base_sleep_ms(4000);
    is_over = true;
    while (running > 0) {
        base_sleep_ms(50);
    }
    is_sound = platform_stop();
    for (i = 0; i < RUNNERS; i++) {
        runner_kill(&runners[i]);
    }
    return is_sound && begun > 0 ? report() : BASE_CANNOT_RUN;
}
