#include "stream.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TRIES_MAX 12

typedef struct stream {
    int number;
    int events;
    bool has_old;
    bool has_new;
    bool is_done;
    char first_id[32]; /* of the attempt that brought the first event */
} stream;

static stream_plan plan;
static stream streams[STREAMS_MAX];
static int first_gateway;
static volatile bool are_retries_held;

static void
publish_config(void)
{
    char config[2048];

    snprintf(
        config, sizeof config,
        "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
        "\"prefix\":\"/chat/\",\"kind\":\"stream\",\"timeout_ms\":%.0f,"
        "\"target_latency_ms\":400,\"priority\":1,\"service\":\"lm-pool\","
        "\"max_attempts\":2,\"public\":true,\"sticky\":true,"
        "\"resumable\":true,\"target_gap_ms\":400}],\"services\":[{"
        "\"name\":\"lm-pool\",\"health_path\":\"/health\",\"max_conns\":360,"
        "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
        "\"kv_capacity\":591354,\"stride\":6,\"models\":[{\"name\":\"m\"}]}}"
        "],\"limits\":{\"max_header_bytes\":16384,"
        "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
        "\"idle_timeout_ms\":15000,\"tokens_per_s\":250000}}",
        plan.timeout_ms);
    stand_put("op/config", config);
}

static bool
run_stream(stand_call *call)
{
    int event = atoi(call->last_event_id);
    char text[256];

    stand_record("endpoint %s (%s) runs %s from event %d", call->endpoint->id,
                 call->endpoint->version, call->id, event + 1);
    if (!stand_print(call->socket,
                     "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     "Lavenderproxy-Attempt-Id: %s\r\n"
                     "Lavenderproxy-Runner-Seal: %s\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n",
                     call->id, call->seal)) {
        return false;
    }
    while (event < plan.events) {
        stand_sleep(plan.event_ms);
        if (call->endpoint->is_gone || stand_is_closed(call->socket)) {
            return false;
        }
        event++;
        snprintf(text, sizeof text, "id: %d\ndata: %s\n\n", event,
                 call->endpoint->version);
        if (!stand_print(call->socket, "%zx\r\n%s\r\n", strlen(text), text)) {
            return false;
        }
    }
    return stand_print(call->socket, "0\r\n\r\n");
}

void
stream_start_endpoint(stand_endpoint *endpoint)
{
    strcpy(endpoint->service, "lm-pool");
    snprintf(endpoint->zone, sizeof endpoint->zone, "zone-%c",
             endpoint->id[strlen(endpoint->id) - 1] % 3 + '1');
    endpoint->slots = 64;
    endpoint->run = run_stream;
    stand_start_endpoint(endpoint);
}

void
stream_start(const stream_plan *wanted, stand_endpoint *endpoints, int count)
{
    int i;

    plan = *wanted;
    stand_start_store(plan.gateways);
    publish_config();
    for (i = 0; i < count; i++) {
        stream_start_endpoint(&endpoints[i]);
    }
    for (i = 0; i < plan.gateways; i++) {
        stand_start_gateway(i, plan.gateways);
    }
    for (i = 0; i < plan.gateways; i++) {
        stand_wait_ready(i, 5000);
    }
}

static void
note_events(stream *one, const char *id, const stand_answer *answer)
{
    int last = stand_last_event(answer->text);

    one->has_old = one->has_old || strstr(answer->text, "data: v1\n\n");
    one->has_new = one->has_new || strstr(answer->text, "data: v2\n\n");
    if (one->events == 0 && last > 0) {
        strcpy(one->first_id, id);
    }
    one->events = last > one->events ? last : one->events;
}

/* Sends one attempt, and reads its events; returns the status. */
static int
attempt(stream *one, int try, double until, stand_answer *answer)
{
    int gateway = ((first_gateway >= 0 ? first_gateway : one->number) + try) %
                  plan.gateways;
    int socket = stand_connect(stand_gateway_port(gateway));
    char id[32], resume[128] = "";

    memset(answer, 0, sizeof *answer);
    if (socket < 0) {
        return 0;
    }
    snprintf(id, sizeof id, "%08x%08x", one->number + 1, try + 1);
    if (one->events > 0) {
        snprintf(resume, sizeof resume, "Last-Event-Id: %d\r\nResumes: %s\r\n",
                 one->events, one->first_id);
    }
    stand_record("client %d sends %s to gateway %d%s%s", one->number, id,
                 gateway + 1, one->events > 0 ? ", resumes " : "",
                 one->events > 0 ? one->first_id : "");
    stand_print(socket,
                "POST /chat/x HTTP/1.1\r\nHost: a.example\r\n"
                "Lavenderproxy-Attempt-Id: %s\r\nLavenderproxy-Model: m\r\n"
                "Lavenderproxy-Token-Counts: 600,240\r\n"
                "Lavenderproxy-Prompt-Prefix: %x:200,%x:400\r\n"
                "Lavenderproxy-Deadline-Ms: %d\r\n%s"
                "Content-Length: 2\r\n\r\nhi",
                id, 0x5000 + one->number, 0x9000 + one->number,
                (int)(until - stand_now()), resume);
    stand_read_answer(socket, until, answer);
    close(socket);
    if (answer->status == 200) {
        note_events(one, id, answer);
    }
    stand_record("client %d: %s ends with status %d, %s, events up to %d",
                 one->number, id, answer->status,
                 answer->is_whole ? "whole" : "not whole", one->events);
    return answer->status;
}

static void *
run_client(void *argument)
{
    stream *one = argument;
    stand_answer *answer = malloc(sizeof *answer);
    double until = stand_now() + plan.timeout_ms;
    int try = 0;

    while (stand_now() < until && try < TRIES_MAX) {
        int status = attempt(one, try, until, answer);

        if (status == 200 && answer->is_whole) {
            break;
        }
        try++;
        while (are_retries_held && stand_now() < until) {
            stand_sleep(10);
        }
        /* Refusals say "Retry-After: 1.000". */
        stand_sleep(status == 503 ? 1000 : 50);
    }
    one->is_done = true;
    free(answer);
    return NULL;
}

void
stream_start_clients(int gateway)
{
    int i;

    first_gateway = gateway;
    for (i = 0; i < plan.streams; i++) {
        pthread_t thread;

        streams[i].number = i;
        if (pthread_create(&thread, NULL, run_client, &streams[i]) != 0) {
            stand_give_up("cannot start a client");
        }
        pthread_detach(thread);
        stand_sleep(10);
    }
}

void
stream_hold_retries(bool is_held)
{
    are_retries_held = is_held;
}

void
stream_wait(void)
{
    double until = stand_now() + plan.timeout_ms + 2000;
    int i;

    for (i = 0; i < plan.streams; i++) {
        while (!streams[i].is_done && stand_now() < until) {
            stand_sleep(20);
        }
    }
}

int
stream_count_mixed(int *old)
{
    int mixed = 0;
    int i;

    *old = 0;
    for (i = 0; i < plan.streams; i++) {
        *old += streams[i].has_old;
        mixed += streams[i].has_old && streams[i].has_new;
    }
    stand_record("%d of %d streams hold events of version v1, %d of these "
                 "hold events of v2, too (rule: at most 2)",
                 *old, plan.streams, mixed);
    return mixed;
}
