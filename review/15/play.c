/*
 * A configuration takes a key away and adds an account with a long name.
 *
 * Usage: case-15 PROGRAM FOLDER RECORD, or case-15 runner PORT ID VERSION.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base.h"
#include "platform.h"
#include "runner.h"

#define GATEWAYS 3
#define RUNNERS 3
#define SLOTS 6
#define CALM_MS 3000
#define CONFIG_APPLY_MS 2000
#define JUDGED_MS 10000
#define PACE_MS 100

/* 70 bytes. */
#define LONG_NAME                                                             \
    "consortium-of-pilgrimage-tour-operators-of-western-australia-perth-a-2"

#ifndef NEW_NAME
#define NEW_NAME LONG_NAME
#endif

typedef enum key {
    KEY_KEPT,
    KEY_TAKEN_AWAY,
    KEY_ADDED,
    KEYS
} key;

static const char *const key_texts[KEYS] = {
    "asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk", "t4hmz0dq9w2rj6cf8v1x"};

static runner runners[RUNNERS];

/* Answers to requests sent later than CONFIG_APPLY_MS after the change was
 * acknowledged. */
static int answers_200[KEYS];
static int answers_401[KEYS];
static int answers_other[KEYS];

static bool
answer_request(int fd, const base_message *request, const char *version)
{
    static const char body[] = "done\n";

    (void)version;
    runner_send_head(fd, request, "Content-Length: 5\r\n");
    return base_send(fd, body, sizeof body - 1);
}

static int
call(unsigned number, key used)
{
    base_reader *reader = malloc(sizeof *reader);
    base_message answer = {.status = 0};
    int fd = base_connect(platform_gateways[number % GATEWAYS].callers);

    if (fd >= 0) {
        base_begin_reading(reader, fd);
        base_send_text(fd,
                       "POST /book/%u HTTP/1.1\r\nHost: fjord.example\r\n"
                       "Lavenderproxy-Attempt-Id: %016x\r\n"
                       "Lavenderproxy-Deadline-Ms: 2500\r\n"
                       "Api-Key: %s\r\nContent-Length: 0\r\n\r\n",
                       number, number, key_texts[used]);
        if (base_read_head(reader, &answer)) {
            base_read_body(reader, &answer, false, NULL, NULL);
        }
        close(fd);
    }
    base_record("/book/%u with key %s: status %d", number, key_texts[used],
                answer.status);
    base_free_message(&answer);
    free(reader);
    return answer.status;
}

static void
send_requests(uint64_t duration, bool is_judged)
{
    static unsigned number;
    uint64_t end = base_now_ms() + duration;
    int used;

    while (base_now_ms() < end) {
        for (used = 0; used < KEYS; used++) {
            int status = call(++number, (key)used);

            if (is_judged) {
                answers_200[used] += status == 200;
                answers_401[used] += status == 401;
                answers_other[used] += status != 200 && status != 401;
            }
        }
        base_sleep_ms(PACE_MS);
    }
}

static void
publish_configuration(unsigned version, const char *tenants)
{
    platform_put("op/config",
                 "{\"version\":%u,\"routes\":["
                 "{\"name\":\"r-1\",\"host\":\"fjord.example\","
                 "\"prefix\":\"/book/\",\"kind\":\"non_idempotent\","
                 "\"timeout_ms\":2500,\"target_latency_ms\":150,"
                 "\"priority\":2,\"service\":\"subs-app\",\"max_attempts\":1,"
                 "\"public\":false,\"sticky\":false,\"resumable\":false}],"
                 "\"services\":[{\"name\":\"subs-app\","
                 "\"health_path\":\"/health\",\"max_conns\":100,"
                 "\"protocol\":\"h1\",\"tls\":false}],"
                 "\"limits\":{\"max_header_bytes\":16384,"
                 "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                 "\"idle_timeout_ms\":15000},\"tenants\":[%s]}",
                 version, tenants);
    base_record("configuration %u acknowledged, tenants %s", version, tenants);
}

static void
publish_first(void)
{
    char tenants[512];

    snprintf(tenants, sizeof tenants,
             "{\"name\":\"hule930\",\"api_keys\":[\"%s\",\"%s\"],"
             "\"priority\":1}",
             key_texts[KEY_KEPT], key_texts[KEY_TAKEN_AWAY]);
    publish_configuration(3, tenants);
}

static void
publish_change(void)
{
    char tenants[512];

    snprintf(tenants, sizeof tenants,
             "{\"name\":\"hule930\",\"api_keys\":[\"%s\"],\"priority\":1},"
             "{\"name\":\"%s\",\"api_keys\":[\"%s\"],\"priority\":1}",
             key_texts[KEY_KEPT], NEW_NAME, key_texts[KEY_ADDED]);
    publish_configuration(7, tenants);
}

static int
report(bool is_changed)
{
    int used;

    for (used = 0; used < KEYS; used++) {
        base_record("key %s: %d answers 200, %d answers 401, %d others",
                    key_texts[used], answers_200[used], answers_401[used],
                    answers_other[used]);
    }
    if (!is_changed) {
        return answers_200[KEY_TAKEN_AWAY] > 0 && answers_200[KEY_ADDED] == 0
                   ? BASE_HELD
                   : BASE_BROKEN;
    }
    return answers_200[KEY_TAKEN_AWAY] > 0 || answers_401[KEY_ADDED] > 0
               ? BASE_BROKEN
               : BASE_HELD;
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
    publish_first();
    for (i = 0; i < RUNNERS; i++) {
        runner *self = &runners[i];

        snprintf(self->id, sizeof self->id, "i-7f3a91c%c", '0' + i);
        snprintf(self->version, sizeof self->version, "v1");
        self->service = "subs-app";
        self->slots = SLOTS;
        self->port = self->address = base_free_port();
        runner_start(self, argv[0]);
        runner_publish(self);
    }
    platform_start_gateways(GATEWAYS, argv[1], argv[2]);
    base_sleep_ms(1000);
    send_requests(CALM_MS, false);
    if (has_trouble) {
        publish_change();
    }
    base_sleep_ms(CONFIG_APPLY_MS + 100);
    send_requests(JUDGED_MS, true);
    is_sound = platform_stop();
    for (i = 0; i < RUNNERS; i++) {
        runner_kill(&runners[i]);
    }
    return is_sound && answers_200[KEY_KEPT] > 0 ? report(has_trouble)
                                                 : BASE_CANNOT_RUN;
}
