/*
 * A part of a prompt crashes each runner that begins to write on it. It is
 * not among the first 16 parts of its prompts.
 *
 * Usage: case-13 PROGRAM FOLDER RECORD, or case-13 runner PORT ID VERSION.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base.h"
#include "client.h"
#include "platform.h"
#include "runner.h"

#define GATEWAYS 3
#define RUNNERS 9
#define SLOTS 64
#define EVENTS 10

/* Shared parts of a prompt, and the position of the deadly one among them. */
#define PARTS 20
#ifndef DEADLY_PART
#define DEADLY_PART 17
#endif

#define SOUND_PACE_MS 30
#define DEADLY_PACE_MS 1000

/* A runner that crashed is back after this time. */
#define DOWN_MS 4000

#define CALM_MS 4000
#define CONTACT_MS 3000
#define CRASHES_ALLOWED 5
#define LATE_ALLOWED 3
#define JUDGED_MS 20000

/* The fifth crash comes within this time. */
#define LEARNING_MS 30000

static runner runners[RUNNERS];
static volatile bool is_judged;
static volatile bool is_over;
static volatile int whole_streams;
static volatile int lost_streams;      /* sound ones, cut or failed */
static volatile int late_lost_streams; /* of them, while it is judged */
static volatile int deadly_sent;
static volatile int crashes;
static volatile int late_crashes; /* while it is judged */
static volatile int running;
static const char *own_program;

static bool
answer_request(int fd, const base_message *request, const char *version)
{
    char parts[2048];

    base_find_header(request, "Lavenderproxy-Prompt-Prefix", parts,
                     sizeof parts);
    if (strstr(parts, "dead0001") != NULL) {
        base_sleep_ms(RUNNER_FIRST_MS);
        raise(SIGKILL);
    }
    runner_send_head(fd, request, "Transfer-Encoding: chunked\r\n");
    return runner_send_events(fd, request, EVENTS, true, version);
}

/* Writes the shared parts; all requests have the same first one. */
static void
write_parts(char *parts, bool is_deadly)
{
    int i;

    parts[0] = '\0';
    for (i = 0; i < PARTS; i++) {
        sprintf(parts + strlen(parts), "%s%x:15", i > 0 ? "," : "",
                is_deadly && i == DEADLY_PART ? 0xdead0001u
                                              : 0x5c1e0000u + (unsigned)i);
    }
}

static void *
call_sound(void *argument)
{
    static volatile unsigned last;
    unsigned number = __sync_add_and_fetch(&last, 1);
    client_stream stream = {.expected = EVENTS};
    bool is_lost;
    char parts[PARTS * 16];

    (void)argument;
    write_parts(parts, false);
    stream.parts = parts;
    snprintf(stream.path, sizeof stream.path, "/chat/sound/%u", number);
    client_call(&stream, platform_gateways[number % GATEWAYS].callers, 10000);
    is_lost = (stream.status / 100 == 2 && stream.count != EVENTS) ||
              stream.status == 502;
    __sync_fetch_and_add(&whole_streams, stream.count == EVENTS);
    __sync_fetch_and_add(&lost_streams, is_lost);
    __sync_fetch_and_add(&late_lost_streams, is_lost && is_judged);
    __sync_fetch_and_sub(&running, 1);
    return NULL;
}

static void *
call_deadly(void *argument)
{
    unsigned number = (unsigned)__sync_add_and_fetch(&deadly_sent, 1);
    client_stream stream = {.expected = EVENTS};
    char parts[PARTS * 16];

    (void)argument;
    write_parts(parts, true);
    stream.parts = parts;
    snprintf(stream.path, sizeof stream.path, "/chat/deadly/%u", number);
    client_call(&stream, platform_gateways[number % GATEWAYS].callers, 10000);
    __sync_fetch_and_sub(&running, 1);
    return NULL;
}

static void *
send_sound(void *argument)
{
    (void)argument;
    while (!is_over) {
        __sync_fetch_and_add(&running, 1);
        base_start_thread(call_sound, NULL);
        base_sleep_ms(SOUND_PACE_MS);
    }
    return NULL;
}

static void *
send_deadly(void *argument)
{
    (void)argument;
    while (!is_over) {
        __sync_fetch_and_add(&running, 1);
        base_start_thread(call_deadly, NULL);
        base_sleep_ms(DEADLY_PACE_MS);
    }
    return NULL;
}

static void
begin_runner(runner *self)
{
    static volatile unsigned last;

    snprintf(self->id, sizeof self->id, "i-7f3a%04x",
             __sync_add_and_fetch(&last, 1));
    runner_start(self, own_program);
    runner_publish(self);
}

/* Starts a runner again that crashed, as a new incarnation. */
static void *
watch_runner(void *argument)
{
    runner *self = argument;
    char key[64];

    while (!is_over) {
        if (waitpid(self->pid, NULL, WNOHANG) != self->pid) {
            base_sleep_ms(20);
            continue;
        }
        __sync_fetch_and_add(&crashes, 1);
        __sync_fetch_and_add(&late_crashes, is_judged);
        base_record("runner %s crashed%s", self->id,
                    is_judged ? ", LATE" : "");
        self->pid = 0;
        snprintf(key, sizeof key, "servers/%s", self->id);
        base_sleep_ms(DOWN_MS);
        platform_remove(key);
        begin_runner(self);
    }
    return NULL;
}

static int
report(void)
{
    base_record("%d deadly requests sent, %d crashes of runners, %d of them "
                "later than %d ms after the fifth",
                deadly_sent, crashes, late_crashes, CONTACT_MS);
    base_record("sound streams: %d whole, %d cut or failed, %d of them in "
                "that time",
                whole_streams, lost_streams, late_lost_streams);
    return late_crashes > LATE_ALLOWED && late_lost_streams > 0 ? BASE_BROKEN
                                                                : BASE_HELD;
}

int
main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    bool has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    uint64_t end;
    bool is_sound;
    int i;

    signal(SIGPIPE, SIG_IGN);
    if (argc == 5 && strcmp(argv[1], "runner") == 0) {
        return runner_run(argv, answer_request, 15000);
    }
    if (argc != 4) {
        return BASE_CANNOT_RUN;
    }
    own_program = argv[0];
    base_open_record(argv[3]);
    platform_start_store();
    platform_put_chat_route(SLOTS);
    for (i = 0; i < RUNNERS; i++) {
        runner *self = &runners[i];

        snprintf(self->version, sizeof self->version, "v1");
        self->service = "pouch-llm";
        self->slots = SLOTS;
        self->port = self->address = base_free_port();
        begin_runner(self);
        base_start_thread(watch_runner, self);
    }
    platform_start_gateways(GATEWAYS, argv[1], argv[2]);
    base_sleep_ms(2000);
    base_start_thread(send_sound, NULL);
    base_sleep_ms(CALM_MS);
    if (has_trouble) {
        base_start_thread(send_deadly, NULL);
    }
    end = base_now_ms() + LEARNING_MS;
    while (has_trouble && crashes < CRASHES_ALLOWED && base_now_ms() < end) {
        base_sleep_ms(10);
    }
    base_sleep_ms(CONTACT_MS);
    is_judged = true;
    base_sleep_ms(JUDGED_MS);
    is_over = true;
    while (running > 0) {
        base_sleep_ms(50);
    }
    is_sound = platform_stop();
    base_sleep_ms(DOWN_MS + 500);
    for (i = 0; i < RUNNERS; i++) {
        runner_kill(&runners[i]);
    }
    return is_sound && whole_streams > 0 ? report() : BASE_CANNOT_RUN;
}
