#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define WORK_LEAST (5 * LV_MILLISECOND)
#define WORK_MOST (40 * LV_MILLISECOND)
#define WORK_SLOW (500 * LV_MILLISECOND)
#define EVENT_TIME (10 * LV_MILLISECOND)

/* Requests that an endpoint in a bad mood treats badly, in percent. */
#define BAD_PERCENT 50

#define BODY_SIZE 256

struct endpoint_work {
    soak_endpoint *endpoint;
    front_connection *connection; /* NULL: gone */
    uint32_t call;
    uint32_t software;
    endpoint_mood mood;
    bool is_stream;
    bool has_begun;
    uint32_t next_event;
    lv_time began_at;
    lv_time due_at;
    endpoint_work *next;
};

static const rt_limits limits = {.head_bytes = 16384,
                                 .body_bytes = 4096,
                                 .head_timeout = 10 * LV_SECOND,
                                 .idle_timeout = 6 * LV_SECOND};

static bool
read_call(const soak_world *world, const http_head *head, uint32_t *call)
{
    const char *id = http_find_header(head, "Lavenderproxy-Attempt-Id");

    if (id == NULL || id[0] != 'c') {
        return false;
    }
    *call = (uint32_t)strtoul(id + 1, NULL, 10);
    return *call < world->call_count;
}

static void
write_headers(soak_endpoint *endpoint, uint32_t call, const char *more,
              buf_buffer *to)
{
    buf_append_format(to,
                      "Lavenderproxy-Attempt-Id: c%u\r\n"
                      "Lavenderproxy-Runner-Seal: seal-%u\r\n%s",
                      call, call, more);
    notice_write(endpoint, call, to);
    limit_write(endpoint, call, to);
}

static void
shed(soak_endpoint *endpoint, front_connection *connection, uint32_t call,
     endpoint_mood mood)
{
    buf_buffer headers;

    buf_init(&headers);
    write_headers(endpoint, call, "Lavenderproxy-Not-Executed: 1\r\n",
                  &headers);
    if (mood == ENDPOINT_OVERLOADED) {
        notice_back_off(endpoint, call, &headers);
    }
    front_send_error(connection, 503, &headers, "busy");
    buf_finish(&headers);
}

void
endpoint_write_name(const soak_endpoint *endpoint, char *name, size_t size)
{
    if (endpoint->software == 1) {
        snprintf(name, size, "e-%u", endpoint->number);
    }
    else {
        snprintf(name, size, "e-%u-v%u", endpoint->number, endpoint->software);
    }
}

/* A gateway may not know yet that another endpoint has the address. */
static bool
is_expected(const soak_endpoint *endpoint, const http_head *head)
{
    const char *expected =
        http_find_header(head, "Lavenderproxy-Expect-Runner");
    char name[LV_NAME_SIZE];

    endpoint_write_name(endpoint, name, sizeof name);
    return expected != NULL && strcmp(expected, name) == 0;
}

static void
reject_misdirected(soak_endpoint *endpoint, front_connection *connection,
                   uint32_t call)
{
    buf_buffer headers;

    buf_init(&headers);
    write_headers(endpoint, call, "Lavenderproxy-Not-Executed: 1\r\n",
                  &headers);
    front_send_error(connection, 421, &headers, "misdirected");
    buf_finish(&headers);
}

static bool
is_stream(const soak_world *world, uint32_t call)
{
    return world->calls[call].kind == SOAK_STREAM ||
           world->calls[call].kind == SOAK_RESUME;
}

/* The first event, or the one after those that the caller has. */
static uint32_t
read_next_event(const http_head *head)
{
    const char *last = http_find_header(head, "Last-Event-Id");

    return last != NULL ? (uint32_t)strtoul(last, NULL, 10) + 1 : 0;
}

static endpoint_mood
choose_mood(soak_endpoint *endpoint)
{
    return soak_draw(endpoint->world, 100) < BAD_PERCENT ? endpoint->mood
                                                         : ENDPOINT_GOOD;
}

static void
on_request(front_server *server, front_connection *connection)
{
    soak_endpoint *endpoint = server->owner;
    soak_world *world = endpoint->world;
    endpoint_mood mood = choose_mood(endpoint);
    endpoint_work *work;
    uint32_t call;

    if (!read_call(world, connection->head, &call)) {
        judge_fault(world, "an endpoint got a request of nobody: %s",
                    connection->head->target);
        front_abort_response(connection);
        return;
    }
    if (!is_expected(endpoint, connection->head)) {
        world->calls[call].is_treated_badly = true;
        reject_misdirected(endpoint, connection, call);
        return;
    }
    notice_judge(endpoint, call);
    limit_judge(endpoint, call);
    block_judge(endpoint, call);
    zone_judge(endpoint, call);
    if (mood != ENDPOINT_GOOD) {
        world->calls[call].is_treated_badly = true;
    }
    if (mood == ENDPOINT_SHEDS || mood == ENDPOINT_OVERLOADED) {
        shed(endpoint, connection, call, mood);
        return;
    }
    judge_run(world, call, endpoint);
    if (world->plant == SOAK_PLANT_TWICE) {
        judge_run(world, call, endpoint);
    }
    work = calloc(1, sizeof *work);
    work->endpoint = endpoint;
    work->connection = connection;
    work->call = call;
    work->software = endpoint->software;
    work->mood = mood;
    work->began_at = io_now();
    work->is_stream = is_stream(world, call);
    work->next_event = read_next_event(connection->head);
    work->due_at =
        io_now() + (mood == ENDPOINT_SLOW
                        ? WORK_SLOW
                        : soak_draw_time(world, WORK_LEAST, WORK_MOST));
    work->next = endpoint->works;
    endpoint->works = work;
    connection->request = work;
}

static void
on_gone(front_server *server, front_connection *connection)
{
    const soak_endpoint *endpoint = server->owner;
    endpoint_work *work = connection->request;

    if (work != NULL) {
        work->connection = NULL;
        if (endpoint->world->plant != SOAK_PLANT_WORK) {
            work->due_at = 0;
        }
    }
}

static void
ignore_drain(front_server *server, front_connection *connection)
{
    (void)server;
    (void)connection;
}

static void
on_rejected(front_server *server, uint32_t status, const char *reason)
{
    soak_endpoint *endpoint = server->owner;

    /* Connections that the proxy resets in the middle of a request. */
    if (endpoint->link.fault == LINK_GOOD && endpoint->world->is_calm) {
        judge_fault(endpoint->world, "an endpoint got a bad request: %u %s",
                    status, reason);
    }
}

static const front_ops server_ops = {.on_request = on_request,
                                     .on_disconnect = on_gone,
                                     .on_drain = ignore_drain,
                                     .on_rejected = on_rejected};

static void
send_whole(endpoint_work *work, uint32_t status)
{
    const soak_world *world = work->endpoint->world;
    bool is_swapped = world->plant == SOAK_PLANT_SWAP && work->call > 0;
    char body[BODY_SIZE];
    size_t size;
    buf_buffer headers;

    judge_write_body(is_swapped ? work->call - 1 : work->call, body,
                     sizeof body);
    size = strlen(body);
    if (world->plant == SOAK_PLANT_CUT) {
        size /= 2;
    }
    buf_init(&headers);
    write_headers(work->endpoint, work->call, "", &headers);
    front_begin_response(work->connection, status, &headers, size);
    if (work->mood == ENDPOINT_RESETS) {
        front_send_body(work->connection, body, size / 2);
        front_abort_response(work->connection);
    }
    else {
        front_send_body(work->connection, body, size);
        front_end_response(work->connection);
    }
    buf_finish(&headers);
}

/* Sends an answer whose head RFC 9112 calls invalid, else proper. */
static void
send_malformed(endpoint_work *work)
{
    static const char *const heads[] = {
        "HTTP/1.1 000 So\r\n",
        "HTTP/1.1 099 So\r\n",
        "HTTP/1.1 200 OK\r\nX Y: a\r\n",
        "HTTP/1.1 200 OK\r\nX\001Y: a\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
    };
    const soak_world *world = work->endpoint->world;
    const char *head = world->plant == SOAK_PLANT_MALFORMED
                           ? "HTTP/1.1 200 OK\r\n"
                           : heads[work->call % 5];
    char body[BODY_SIZE];
    buf_buffer text;

    judge_write_body(work->call, body, sizeof body);
    buf_init(&text);
    buf_append_text(&text, head);
    write_headers(work->endpoint, work->call, "Soak-Malformed: 1\r\n", &text);
    buf_append_format(&text, "Content-Length: %zu\r\n\r\n%s", strlen(body),
                      body);
    io_write(&work->connection->stream, text.data, text.size);
    io_close(&work->connection->stream);
    buf_finish(&text);
}

static void
begin_stream(endpoint_work *work)
{
    buf_buffer headers;

    buf_init(&headers);
    write_headers(work->endpoint, work->call,
                  "Content-Type: text/event-stream\r\n", &headers);
    front_begin_response(work->connection, 200, &headers, FRONT_SIZE_UNKNOWN);
    buf_finish(&headers);
    work->has_begun = true;
}

/* False: the stream goes on. */
static bool
send_event(endpoint_work *work, lv_time now)
{
    char event[128];

    if (!work->has_begun) {
        begin_stream(work);
    }
    if (work->next_event >= SOAK_EVENTS) {
        front_end_response(work->connection);
        return true;
    }
    if (work->mood == ENDPOINT_RESETS && work->next_event == SOAK_EVENTS / 2) {
        front_abort_response(work->connection);
        return true;
    }
    snprintf(event, sizeof event, "id: %u\ndata: c%u %u v%u\n\n",
             work->next_event, work->call, work->next_event, work->software);
    front_send_body(work->connection, event, strlen(event));
    work->next_event++;
    work->due_at = now + EVENT_TIME;
    return false;
}

/* Under the plant: the work was in hand when the silence ended. */
static bool
is_broken_by_silence(const endpoint_work *work, lv_time now)
{
    const soak_endpoint *endpoint = work->endpoint;

    return endpoint->world->plant == SOAK_PLANT_SILENT &&
           endpoint->silent_until != 0 && now >= endpoint->silent_until &&
           work->began_at < endpoint->silent_until;
}

/* The endpoint crashes where it would begin the answer. */
static void
crash(soak_endpoint *endpoint, uint32_t call)
{
    endpoint_work *work;

    for (work = endpoint->works; work != NULL; work = work->next) {
        endpoint->world->calls[work->call].is_treated_badly = true;
    }
    block_crash(endpoint, call);
}

/* False: there is more to do. */
static bool
do_work(endpoint_work *work, lv_time now)
{
    if (work->connection == NULL) {
        return work->due_at == 0 || now >= work->due_at + LV_SECOND * 10;
    }
    if (is_broken_by_silence(work, now)) {
        front_abort_response(work->connection);
        return true;
    }
    if (now < work->due_at || now < work->endpoint->silent_until ||
        work->mood == ENDPOINT_MUTE ||
        work->endpoint->world->plant == SOAK_PLANT_KEPT) {
        return false;
    }
    if (block_is_deadly(work->endpoint->world, work->call)) {
        crash(work->endpoint, work->call);
        front_abort_response(work->connection);
        return true;
    }
    if (work->mood == ENDPOINT_FAILS) {
        send_whole(work, 500);
        return true;
    }
    if (work->mood == ENDPOINT_MALFORMED) {
        send_malformed(work);
        return true;
    }
    if (work->is_stream) {
        return send_event(work, now);
    }
    send_whole(work, 200);
    return true;
}

void
endpoint_tick(soak_endpoint *endpoint, lv_time now)
{
    endpoint_work **at = &endpoint->works;

    while (*at != NULL) {
        endpoint_work *work = *at;

        if (do_work(work, now)) {
            if (work->connection != NULL) {
                work->connection->request = NULL;
            }
            *at = work->next;
            free(work);
            continue;
        }
        judge_working(endpoint->world, work->call, endpoint, now);
        at = &work->next;
    }
    block_tick(endpoint, now);
    link_tick(&endpoint->link, now);
    front_tick(&endpoint->server, now);
}

void
endpoint_start(soak_world *world, uint32_t number)
{
    soak_endpoint *endpoint = &world->endpoints[number];
    struct sockaddr_in address;
    int size = sizeof address;
    char target[LV_ADDRESS_SIZE];

    endpoint->world = world;
    endpoint->number = number;
    endpoint->is_listed = true;
    endpoint->software = 1;
    io_parse_address("127.0.0.1:0", &address, NULL);
    front_listen(&endpoint->server, &world->loop, &server_ops, &address, 2000,
                 endpoint, NULL);
    endpoint->server.limits = limits;
    uv_tcp_getsockname(&endpoint->server.listener, (struct sockaddr *)&address,
                       &size);
    snprintf(target, sizeof target, "127.0.0.1:%u",
             (unsigned)ntohs(address.sin_port));
    link_start(&endpoint->link, world, target);
}

void
endpoint_fall_silent(soak_endpoint *endpoint)
{
    lv_time now = io_now();

    if (now > endpoint->silent_until + SOAK_SILENCE_GAP) {
        endpoint->silent_until =
            now + soak_draw_time(endpoint->world, SOAK_SILENCE_LEAST,
                                 SOAK_SILENCE_MOST);
        soak_log(
            endpoint->world, "e-%u silent until %.3f", endpoint->number,
            (double)(endpoint->silent_until - endpoint->world->started_at) /
                LV_SECOND);
    }
}

void
endpoint_stop(soak_endpoint *endpoint)
{
    link_stop(&endpoint->link);
    front_close_all(&endpoint->server);
    front_stop_listening(&endpoint->server);
}
