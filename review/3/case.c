/*
 * A stream without a length, and a gateway that is killed while it passes the
 * stream on. The client must see that the answer is not complete.
 */
#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define EVENTS 30
#define EVENT_PAUSE 50  /* ms */
#define KILLED_AFTER 10 /* events, until the gateway is killed */
#define STREAMS 8

typedef struct stream_call {
    pthread_t thread;
    uint32_t number;
    uint16_t port;
    rig_end end;
    int status;
    bool has_seal;
    bool has_length; /* or chunks */
    int events;
} stream_call;

static rig_store store;
static rig_server runner;
static rig_gateway gateway;
static stream_call calls[STREAMS];

static const char config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"a.example\","
    "\"prefix\":\"/s/\",\"kind\":\"stream\",\"timeout_ms\":15000,"
    "\"target_latency_ms\":800,\"priority\":1,\"service\":\"lm\","
    "\"max_attempts\":1,\"public\":true,\"sticky\":true,\"resumable\":false,"
    "\"target_gap_ms\":400}],\"services\":[{\"name\":\"lm\","
    "\"health_path\":\"/health\",\"max_conns\":240,\"protocol\":\"h1\","
    "\"tls\":false,\"engine\":{\"slots\":32,\"kv_capacity\":530410,"
    "\"kv_bytes\":163840,\"bandwidth_mbps\":1100000.0,"
    "\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max_header_bytes\":16384,"
    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
    "\"idle_timeout_ms\":15000}}";

/* An answer with neither a length nor chunks, which ends with its connection.
 */
static bool
handle_stream(rig_server *server, int fd, rig_message *request)
{
    char id[RIG_TEXT_SIZE] = "";
    int i;

    (void)server;
    rig_header(request, "Lavenderproxy-Attempt-Id", id, sizeof id);
    rig_note("runner: runs %s", id);
    rig_send(fd,
             "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
             "Connection: close\r\nLavenderproxy-Attempt-Id: %s\r\n"
             "Lavenderproxy-Runner-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n",
             id);
    for (i = 1; i <= EVENTS; i++) {
        if (!rig_send(fd, "id: %d\ndata: piece %d of %d\n\n", i, i, EVENTS)) {
            rig_note("runner: %s was broken off after %d events", id, i - 1);
            return false;
        }
        rig_sleep(EVENT_PAUSE);
    }
    rig_note("runner: %s is whole, %d events", id, EVENTS);
    return false;
}

static int
count_events(const char *text)
{
    int count = 0;

    while ((text = strstr(text, "data: ")) != NULL) {
        count++;
        text++;
    }
    return count;
}

static void *
call_stream(void *context)
{
    stream_call *call = context;
    rig_message answer;
    char value[RIG_TEXT_SIZE];
    int fd = rig_connect(call->port);

    rig_send(
        fd,
        "POST /s/2f HTTP/1.1\r\nHost: a.example\r\n"
        "Lavenderproxy-Attempt-Id: stream-%u\r\nLavenderproxy-Model: m\r\n"
        "Lavenderproxy-Token-Counts: 100,80\r\n"
        "Lavenderproxy-Prompt-Prefix: 5c1e07a2:60,%x:40\r\n"
        "Lavenderproxy-Deadline-Ms: 15000\r\nContent-Length: 4\r\n\r\n"
        "body",
        call->number, 0x9000 + call->number);
    call->end = rig_read(fd, &answer, true, 15000);
    call->status = rig_status(&answer);
    call->has_seal =
        rig_header(&answer, "Lavenderproxy-Runner-Seal", value, sizeof value);
    call->has_length =
        rig_header(&answer, "Content-Length", value, sizeof value) ||
        rig_header(&answer, "Transfer-Encoding", value, sizeof value);
    call->events = count_events(answer.body);
    rig_note("client: stream-%u: status %d, seal %d, length or chunks %d, "
             "%d of %d events, %s",
             call->number, call->status, call->has_seal, call->has_length,
             call->events, EVENTS,
             call->end == RIG_COMPLETE  ? "ended as complete"
             : call->end == RIG_RESET   ? "reset"
             : call->end == RIG_TIMEOUT ? "not ended in time"
                                        : "broken off");
    rig_free(&answer);
    close(fd);
    return NULL;
}

int
main(int argc, char **argv)
{
    char entry[512];
    int false_ends = 0;
    int whole = 0;
    int i;

    rig_init(argc > 1 ? argv[1] : ".");
    rig_store_start(&store);
    rig_serve(&runner, handle_stream, NULL);
    snprintf(entry, sizeof entry,
             "{\"service\":\"lm\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z\","
             "\"version\":\"v1\",\"slots\":32,\"state\":\"ready\","
             "\"cold_remaining_ms\":0,\"seq\":4}",
             runner.port);
    rig_store_put(&store, "op/config", config);
    rig_store_put(&store, "servers/i-1", entry);
    rig_gateway_init(&gateway, "front-z-1", "z");
    rig_gateway_start(&gateway, &gateway, 1, &store);
    if (!rig_gateway_await(&gateway, 10000)) {
        rig_fail("the gateway is not ready");
    }
    for (i = 0; i < STREAMS; i++) {
        calls[i].number = (uint32_t)i;
        calls[i].port = gateway.front;
        pthread_create(&calls[i].thread, NULL, call_stream, &calls[i]);
    }
    rig_sleep(KILLED_AFTER * EVENT_PAUSE);
    if (!rig_is_calm()) {
        rig_gateway_signal(&gateway, SIGKILL, true);
    }
    for (i = 0; i < STREAMS; i++) {
        pthread_join(calls[i].thread, NULL);
        if (calls[i].end == RIG_COMPLETE && calls[i].status == 200) {
            whole += calls[i].events == EVENTS;
            false_ends += calls[i].events < EVENTS;
        }
    }
    rig_note("%d streams whole, %d ended as complete before their last event",
             whole, false_ends);
    if (rig_is_calm() && whole < STREAMS) {
        rig_fail("streams are not whole without the disruption");
    }
    rig_finish(false_ends > 0 ? RIG_BROKEN : RIG_HELD);
}
