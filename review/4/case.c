/*
 * A fleet in which some gateways read the store for the others. A runner's
 * entry is removed while the readers have no watch open, and the store forgets
 * its history, so that the readers see the removal in a list only. The other
 * gateways must learn of it, too.
 */
#define _GNU_SOURCE

#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define GATEWAYS 26
#define ZONES 2
#define SEEDS 3
#define RUNNERS 6 /* 0 to 2 from the start on, the others start later */
#define LEAVING 1

/* Bounds of the pages, in ms. */
#define DRAIN_TIME 2000
#define CONTACT_TIME 3000

#define HEARTBEAT 1200
#define SETTLE_TIME 9000
#define CALLERS 2 /* at each gateway */
#define CALL_PAUSE 100

/* Work of a runner on a request. */
#define LEAST_WORK 15
#define WORK_SPREAD 30

/* The runner that leaves serves on for this long after its removal. */
#define LINGER_TIME 14000
#define END_TIME 16000

typedef struct app_runner {
    rig_server server;
    uint32_t number;
    char key[RIG_TEXT_SIZE];
    bool is_listed;
} app_runner;

static rig_store store;
static app_runner runners[RUNNERS];
static rig_gateway gateways[GATEWAYS];
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static long removed_at;   /* 0: not yet */
static long forgotten_at; /* 0: not yet */
static volatile bool is_over;
static uint32_t late;    /* requests at the runner that left */
static uint32_t late_by; /* gateways that sent them, a bit for each */
static uint32_t answers[3];
static uint32_t sequence;

static const char config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"a.example\","
    "\"prefix\":\"/q/\",\"kind\":\"idempotent\",\"timeout_ms\":1500,"
    "\"target_latency_ms\":150,\"priority\":2,\"service\":\"app\","
    "\"max_attempts\":2,\"public\":true,\"sticky\":false,\"resumable\":false},"
    "{\"name\":\"b\",\"host\":\"a.example\",\"prefix\":\"/b/\","
    "\"kind\":\"non_idempotent\",\"timeout_ms\":1500,"
    "\"target_latency_ms\":150,\"priority\":2,\"service\":\"app\","
    "\"max_attempts\":1,\"public\":true,\"sticky\":false,\"resumable\":false}"
    "],\"services\":[{\"name\":\"app\",\"health_path\":\"/health\","
    "\"max_conns\":430,\"protocol\":\"h1\",\"tls\":false}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/* Ids are GATEWAY-TIME-NUMBER, with the time at which the client sends. */
static void
judge(const app_runner *runner, const char *id)
{
    unsigned gateway = (unsigned)strtoul(id, NULL, 10);
    long sent_at = strchr(id, '-') != NULL ? atol(strchr(id, '-') + 1) : 0;

    pthread_mutex_lock(&mutex);
    if (runner->number == LEAVING && removed_at > 0 &&
        sent_at > removed_at + DRAIN_TIME &&
        sent_at > forgotten_at + CONTACT_TIME) {
        if (late++ < 20) {
            rig_note("runner i-%u: got %s from front-%u, sent %ld ms after "
                     "the removal",
                     runner->number, id, gateway, sent_at - removed_at);
        }
        late_by |= 1u << gateway;
    }
    pthread_mutex_unlock(&mutex);
}

static bool
handle_request(rig_server *server, int fd, rig_message *request)
{
    const app_runner *runner = server->owner;
    char id[RIG_TEXT_SIZE] = "";
    char expected[RIG_TEXT_SIZE] = "";

    rig_header(request, "Lavenderproxy-Attempt-Id", id, sizeof id);
    rig_header(request, "Lavenderproxy-Expect-Runner", expected,
               sizeof expected);
    if (strcmp(expected, runner->key + strlen("servers/")) != 0) {
        return rig_send(fd, "HTTP/1.1 421 Misdirected Request\r\n"
                            "Content-Length: 0\r\n\r\n");
    }
    judge(runner, id);
    rig_sleep(LEAST_WORK + random() % WORK_SPREAD);
    return rig_send(fd,
                    "HTTP/1.1 200 OK\r\nLavenderproxy-Attempt-Id: %s\r\n"
                    "Lavenderproxy-Runner-Seal: 3e1b.07.5a2\r\n"
                    "Content-Length: 5\r\n\r\nplots",
                    id);
}

static void
write_entry(const app_runner *runner, unsigned written, char *to, size_t size)
{
    snprintf(to, size,
             "{\"service\":\"app\",\"address\":\"127.0.0.1:%u\","
             "\"zone\":\"zone-%u\",\"version\":\"v1\",\"slots\":6,"
             "\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":%u}",
             runner->server.port, runner->number % ZONES, written);
}

static void
register_runner(app_runner *runner)
{
    char entry[512];

    write_entry(runner, 1, entry, sizeof entry);
    rig_store_put(&store, runner->key, entry);
    pthread_mutex_lock(&mutex);
    runner->is_listed = true;
    pthread_mutex_unlock(&mutex);
    rig_note("store: %s is written, ready", runner->key);
}

static void *
write_heartbeats(void *context)
{
    unsigned written = 1;
    char entry[512];
    int i;

    (void)context;
    while (!is_over) {
        rig_sleep(HEARTBEAT);
        written++;
        pthread_mutex_lock(&mutex);
        for (i = 0; i < RUNNERS; i++) {
            if (runners[i].is_listed) {
                write_entry(&runners[i], written, entry, sizeof entry);
                rig_store_beat(&store, runners[i].key, entry);
            }
        }
        pthread_mutex_unlock(&mutex);
    }
    return NULL;
}

static void
count_answer(int status)
{
    pthread_mutex_lock(&mutex);
    answers[status == 200 ? 0 : status == 503 || status == 429 ? 1 : 2]++;
    pthread_mutex_unlock(&mutex);
}

static void *
call_gateway(void *context)
{
    const rig_gateway *gateway = context;
    unsigned number = (unsigned)(gateway - gateways);
    int fd = -1;

    while (!is_over) {
        rig_message answer;
        bool is_booking;
        unsigned call;

        if (fd < 0) {
            fd = rig_connect(gateway->front);
        }
        pthread_mutex_lock(&mutex);
        call = ++sequence;
        pthread_mutex_unlock(&mutex);
        is_booking = call % 2 == 0;
        if (fd < 0 ||
            !rig_send(fd,
                      "%s/%u HTTP/1.1\r\nHost: a.example\r\n"
                      "Lavenderproxy-Attempt-Id: %u-%ld-%u\r\n"
                      "Lavenderproxy-Deadline-Ms: 1500\r\n%s\r\n",
                      is_booking ? "POST /b" : "GET /q", call, number,
                      rig_now(), call,
                      is_booking ? "Content-Length: 0\r\n" : "") ||
            rig_read(fd, &answer, true, 3000) != RIG_COMPLETE) {
            count_answer(0);
            close(fd);
            fd = -1;
            rig_sleep(CALL_PAUSE);
            continue;
        }
        count_answer(rig_status(&answer));
        if (rig_status(&answer) >= 500 && rig_status(&answer) != 503) {
            rig_note("client: %s %u-%u is answered %d",
                     is_booking ? "booking" : "lookup", number, call,
                     rig_status(&answer));
        }
        rig_free(&answer);
        rig_sleep(CALL_PAUSE);
    }
    return NULL;
}

static void
start_fleet(void)
{
    char name[RIG_TEXT_SIZE];
    char zone[RIG_TEXT_SIZE];
    int i;

    for (i = 0; i < GATEWAYS; i++) {
        snprintf(name, sizeof name, "front-%d", i);
        snprintf(zone, sizeof zone, "zone-%d", i % ZONES);
        rig_gateway_init(&gateways[i], name, zone);
    }
    for (i = 0; i < GATEWAYS; i++) {
        rig_gateway_start(&gateways[i], gateways, SEEDS, &store);
    }
    for (i = 0; i < GATEWAYS; i++) {
        if (!rig_gateway_await(&gateways[i], 15000)) {
            rig_fail("front-%d is not ready", i);
        }
    }
    rig_sleep(SETTLE_TIME);
}

/* Runners start, one after the other, so that the readers read the list in
 * their pace; then another one is removed, as those are that do not report
 * that they drain. */
static void
change_runners(void)
{
    register_runner(&runners[3]);
    rig_sleep(1500);
    register_runner(&runners[4]);
    rig_sleep(150);
    register_runner(&runners[5]);
    rig_sleep(200);
    pthread_mutex_lock(&mutex);
    runners[LEAVING].is_listed = false;
    pthread_mutex_unlock(&mutex);
    rig_store_remove(&store, runners[LEAVING].key);
    pthread_mutex_lock(&mutex);
    removed_at = rig_now();
    forgotten_at = removed_at;
    pthread_mutex_unlock(&mutex);
    rig_note("store: %s is removed", runners[LEAVING].key);
    if (!rig_is_calm()) {
        rig_sleep(20);
        rig_store_forget(&store);
        pthread_mutex_lock(&mutex);
        forgotten_at = rig_now();
        pthread_mutex_unlock(&mutex);
        rig_note("store: the history is discarded");
    }
}

int
main(int argc, char **argv)
{
    int i;

    rig_init(argc > 1 ? argv[1] : ".");
    rig_store_start(&store);
    rig_store_put(&store, "op/config", config);
    for (i = 0; i < RUNNERS; i++) {
        runners[i].number = (uint32_t)i;
        snprintf(runners[i].key, sizeof runners[i].key, "servers/i-%d", i);
        rig_serve(&runners[i].server, handle_request, &runners[i]);
        if (i < 3) {
            register_runner(&runners[i]);
        }
    }
    rig_start_thread(write_heartbeats, NULL);
    start_fleet();
    for (i = 0; i < GATEWAYS * CALLERS; i++) {
        rig_start_thread(call_gateway, &gateways[i % GATEWAYS]);
    }
    rig_sleep(4000);
    change_runners();
    rig_sleep(LINGER_TIME);
    rig_note("runner i-%d: exits", LEAVING);
    close(runners[LEAVING].server.listener);
    rig_cut(&runners[LEAVING].server);
    rig_sleep(END_TIME - LINGER_TIME);
    is_over = true;
    rig_note("clients: %u answered 200, %u refused, %u others", answers[0],
             answers[1], answers[2]);
    rig_note("%u requests of %d gateways reached i-%d later than %d ms after "
             "its removal and %d ms after the history was discarded",
             late, __builtin_popcount(late_by), LEAVING, DRAIN_TIME,
             CONTACT_TIME);
    if (answers[0] == 0) {
        rig_fail("no request was served");
    }
    rig_finish(late > 0 ? RIG_BROKEN : RIG_HELD);
}
