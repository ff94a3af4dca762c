/*
 * DRAIN: the store turns three of eight gateways away, and one more is cut off
 * from it. Endpoints leave without reporting that they drain: their entries
 * are removed. The gateways that see the removal send them requests for longer
 * than `drain_ms`.
 */
#include "stand.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define GATEWAYS 8
#define TURNED_AWAY 3
#define ENDPOINTS 8
#define LEAVING 3
#define CLIENTS 160
#define DRAIN_MS 2000.0

/* An endpoint serves on for drain_ms and a little longer, and exits. */
#define LITTLE_LONGER_MS 150.0
#define EVENTS 6
#define EVENT_MS 50.0

static const char config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
    "\"prefix\":\"/bundle/\",\"kind\":\"stream\",\"timeout_ms\":15000,"
    "\"target_latency_ms\":800,\"priority\":1,\"service\":\"lm-pool\","
    "\"max_attempts\":1,\"public\":true,\"sticky\":true,\"resumable\":false,"
    "\"target_gap_ms\":400}],\"services\":[{\"name\":\"lm-pool\","
    "\"health_path\":\"/health\",\"max_conns\":240,\"protocol\":\"h1\","
    "\"tls\":false,\"engine\":{\"slots\":32,\"kv_capacity\":530410,"
    "\"stride\":6,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{"
    "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
    "\"tokens_per_s\":250000}}";

/* False with TROUBLE=0: the disruption is left out. */
static bool has_trouble;

static stand_endpoint endpoints[ENDPOINTS];
static double left_at[ENDPOINTS]; /* 0: it has not left */
static volatile int late_count;
static volatile int lost_count;
static volatile int sent_count;
static volatile bool is_over;

/* The first half of an id is the number of the gateway. */
static int
gateway_of(const char *id)
{
    char text[9] = "";

    memcpy(text, id, 8);
    return (int)strtol(text, NULL, 16);
}

/* Is a gateway neither turned away nor cut off at any time? */
static bool
is_in_touch(int gateway)
{
    return gateway > TURNED_AWAY;
}

static bool
write_events(stand_call *call)
{
    static const char event[] = "d\r\ndata: words\n\n\r\n";
    int i;

    for (i = 0; i < EVENTS; i++) {
        stand_sleep(EVENT_MS);
        if (call->endpoint->is_gone || stand_is_closed(call->socket) ||
            !stand_write(call->socket, event, sizeof event - 1)) {
            return false;
        }
    }
    return stand_print(call->socket, "0\r\n\r\n");
}

static bool
run_stream(stand_call *call)
{
    int number = (int)(call->endpoint - endpoints);
    int gateway = gateway_of(call->id);
    double late =
        left_at[number] > 0 ? stand_now() - left_at[number] - DRAIN_MS : 0;
    bool is_late = late > 0 && is_in_touch(gateway);
    bool is_whole;

    if (late > 0) {
        stand_record("request %s from gateway %d (%s) reaches endpoint %s "
                     "%.0f ms after its entry was removed (bound %.0f ms)",
                     call->id, gateway + 1,
                     is_in_touch(gateway) ? "in touch" : "not in touch",
                     call->endpoint->id, late + DRAIN_MS, DRAIN_MS);
    }
    if (!stand_print(call->socket,
                     "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     "Lavenderproxy-Attempt-Id: %s\r\n"
                     "Lavenderproxy-Runner-Seal: %s\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n",
                     call->id, call->seal)) {
        return false;
    }
    is_whole = write_events(call);
    if (is_late) {
        __sync_add_and_fetch(&late_count, 1);
        if (!is_whole && call->endpoint->is_gone) {
            __sync_add_and_fetch(&lost_count, 1);
            stand_record("request %s is cut off as endpoint %s exits",
                         call->id, call->endpoint->id);
        }
    }
    return is_whole;
}

static void *
run_client(void *argument)
{
    int gateway = (int)(intptr_t)argument % GATEWAYS;
    stand_answer *answer = malloc(sizeof *answer);

    while (!is_over) {
        int number = __sync_add_and_fetch(&sent_count, 1);
        int socket = stand_connect(stand_gateway_port(gateway));

        if (socket < 0) {
            stand_give_up("gateway %d does not listen", gateway + 1);
        }
        stand_print(socket,
                    "POST /bundle/x HTTP/1.1\r\nHost: a.example\r\n"
                    "Lavenderproxy-Attempt-Id: %08x%08x\r\n"
                    "Lavenderproxy-Model: m\r\n"
                    "Lavenderproxy-Token-Counts: 600,120\r\n"
                    "Lavenderproxy-Prompt-Prefix: %x:200,%x:400\r\n"
                    "Lavenderproxy-Deadline-Ms: 15000\r\n"
                    "Content-Length: 2\r\n\r\nhi",
                    gateway, number, 0x5000 + number % 50, 0x90000 + number);
        stand_read_answer(socket, stand_now() + 15000, answer);
        close(socket);
        stand_sleep(20 + rand() % 300);
    }
    free(answer);
    return NULL;
}

static void
start_clients(void)
{
    int i;

    for (i = 0; i < CLIENTS; i++) {
        pthread_t thread;

        if (pthread_create(&thread, NULL, run_client, (void *)(intptr_t)i) !=
            0) {
            stand_give_up("cannot start a client");
        }
        pthread_detach(thread);
        stand_sleep(15);
    }
}

static void
start_all(void)
{
    int i;

    stand_start_store(GATEWAYS);
    stand_put("op/config", config);
    for (i = 0; i < ENDPOINTS; i++) {
        snprintf(endpoints[i].id, sizeof endpoints[i].id, "i-0c%08x", i + 1);
        strcpy(endpoints[i].service, "lm-pool");
        strcpy(endpoints[i].version, "v1");
        snprintf(endpoints[i].zone, sizeof endpoints[i].zone, "zone-%d",
                 i % 3 + 1);
        endpoints[i].slots = 32;
        endpoints[i].run = run_stream;
        stand_start_endpoint(&endpoints[i]);
    }
    for (i = 0; i < GATEWAYS; i++) {
        stand_start_gateway(i, GATEWAYS);
    }
    for (i = 0; i < GATEWAYS; i++) {
        stand_wait_ready(i, 5000);
    }
}

/* The leaving endpoints leave 4 s to 5 s after the disruption began. The
 * cut lasts 5.5 s, as the site file has it. */
static void
let_endpoints_leave(double begun_at)
{
    int i;

    for (i = 0; i < LEAVING; i++) {
        stand_sleep(begun_at + 4000 + 500 * i - stand_now());
        left_at[i] = stand_now();
        stand_withdraw_endpoint(&endpoints[i]);
    }
    if (has_trouble) {
        stand_sleep(begun_at + 5500 - stand_now());
        stand_set_store_mode(TURNED_AWAY, STORE_SERVES);
    }
    for (i = 0; i < LEAVING; i++) {
        stand_sleep(left_at[i] + DRAIN_MS + LITTLE_LONGER_MS - stand_now());
        stand_end_endpoint(&endpoints[i]);
    }
    if (has_trouble) {
        stand_sleep(begun_at + 9000 - stand_now());
        for (i = 0; i < TURNED_AWAY; i++) {
            stand_set_store_mode(i, STORE_SERVES);
        }
    }
}

int
main(int argc, char **argv)
{
    const char *trouble = getenv("TROUBLE");
    double begun_at;
    int i;

    if (argc != 2) {
        return 2;
    }
    has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    stand_open_record(argv[1]);
    stand_record("the disruption is %s (TROUBLE=%s)",
                 has_trouble ? "made" : "left out",
                 trouble != NULL ? trouble : "");
    start_all();
    start_clients();
    stand_sleep(4000);
    begun_at = stand_now();
    for (i = 0; i <= TURNED_AWAY && has_trouble; i++) {
        stand_set_store_mode(i, STORE_SILENT);
    }
    let_endpoints_leave(begun_at);
    is_over = true;
    stand_sleep(2000);
    stand_record("%d requests reached an endpoint later than %.0f ms after "
                 "its removal from gateways in touch; %d of them were lost",
                 late_count, DRAIN_MS, lost_count);
    stand_end_all();
    return late_count > 0;
}
