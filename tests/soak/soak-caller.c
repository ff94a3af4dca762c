#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "soak.h"

/* Between two requests of a caller. */
#define THINK_LEAST (5 * LV_MILLISECOND)
#define THINK_MOST (60 * LV_MILLISECOND)

/* After a connection that failed. */
#define REST_TIME (50 * LV_MILLISECOND)

/* Callers that leave before their answer, in percent. */
#define LEAVE_PERCENT 4
#define STAY_MOST (60 * LV_MILLISECOND)

#define ANSWER_SIZE 1024

struct soak_caller {
    io_stream stream; /* first member */
    soak_world *world;
    bool is_used; /* the stream, until it is closed */
    bool has_call;
    uint32_t daemon;
    uint32_t call;
    http_reader reader;
    bool has_reader;
    uint32_t status;
    bool is_not_ours; /* the answer names another request */
    bool is_last;     /* the answer says that the connection closes */
    char answer[ANSWER_SIZE];
    size_t answer_size;
    lv_time next_at;
    lv_time leave_at; /* 0: stays */
};

static bool
on_head(http_reader *reader, const http_head *head)
{
    soak_caller *self = reader->owner;
    const char *id = http_find_header(head, "Lavenderproxy-Attempt-Id");
    const char *connection = http_find_header(head, "Connection");
    char wanted[32];

    snprintf(wanted, sizeof wanted, "c%u", self->call);
    self->status = head->status;
    self->is_last = connection != NULL && strcasecmp(connection, "close") == 0;
    self->is_not_ours = id != NULL && strcmp(id, wanted) != 0;
    return true;
}

static bool
on_body(http_reader *reader, const char *data, size_t size)
{
    soak_caller *self = reader->owner;
    size_t room = sizeof self->answer - 1 - self->answer_size;
    size_t taken = size < room ? size : room;

    memcpy(self->answer + self->answer_size, data, taken);
    self->answer_size += taken;
    self->answer[self->answer_size] = '\0';
    return true;
}

static bool
on_answer_end(http_reader *reader)
{
    (void)reader;
    return true;
}

static const http_reader_ops reader_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_answer_end};

static bool
is_right(const soak_caller *self)
{
    const soak_call *call = &self->world->calls[self->call];
    char expected[ANSWER_SIZE];
    size_t used = 0;

    if (call->kind != SOAK_STREAM) {
        judge_write_body(self->call, expected, sizeof expected);
        return !self->is_not_ours && strcmp(expected, self->answer) == 0;
    }
    for (uint32_t i = 0; i < 6; i++) {
        used += (size_t)snprintf(expected + used, sizeof expected - used,
                                 "id: %u\ndata: c%u %u\n\n", i, self->call, i);
    }
    return !self->is_not_ours && strcmp(expected, self->answer) == 0;
}

static void
rest(soak_caller *self, lv_time least, lv_time most)
{
    self->next_at = io_now() + soak_draw_time(self->world, least, most);
}

static void
end_call(soak_caller *self)
{
    soak_world *world = self->world;
    uint32_t status = self->status;

    self->has_call = false;
    if (world->plant == SOAK_PLANT_LIE && status == 200) {
        status = 503;
    }
    if (status == 503) {
        judge_refused(world, self->call);
    }
    else {
        judge_answer(world, self->call, status, is_right(self));
    }
    rest(self, THINK_LEAST, THINK_MOST);
    if (self->is_last) {
        io_close(&self->stream);
    }
}

static void
send_call(soak_caller *self)
{
    static const char *const prefixes[] = {"once", "many", "stream"};
    const soak_call *call = &self->world->calls[self->call];
    char prefix[32];
    char request[512];
    int size;

    if (call->kind == SOAK_PROBE) {
        snprintf(prefix, sizeof prefix, "probe-%u", call->version);
    }
    else {
        snprintf(prefix, sizeof prefix, "%s", prefixes[call->kind]);
    }
    size = snprintf(request, sizeof request,
                    "POST /%s/x HTTP/1.1\r\nHost: h\r\n"
                    "Lavenderproxy-Attempt-Id: c%u\r\n"
                    "Lavenderproxy-Deadline-Ms: 5000\r\n"
                    "Api-Key: k1\r\nContent-Length: 5\r\n\r\nhello",
                    prefix, self->call);
    if (self->has_reader) {
        http_reader_finish(&self->reader);
    }
    http_reader_init(&self->reader, &reader_ops, self, false, 16384);
    self->has_reader = true;
    self->status = 0;
    self->answer_size = 0;
    self->answer[0] = '\0';
    io_write(&self->stream, request, (size_t)size);
}

static void
begin_call(soak_caller *self, lv_time now)
{
    soak_world *world = self->world;
    uint32_t drawn = soak_draw(world, 100);
    soak_call call = {.daemon = self->daemon,
                      .life = world->daemons[self->daemon].life,
                      .sent_at = now};

    call.kind = drawn < 30   ? SOAK_ONCE
                : drawn < 60 ? SOAK_MANY
                : drawn < 80 ? SOAK_STREAM
                             : SOAK_PROBE;
    if (world->plant == SOAK_PLANT_BUDGET) {
        call.kind = SOAK_MANY;
    }
    if (call.kind == SOAK_PROBE) {
        call.version = world->version - soak_draw(world, 2);
    }
    self->call = judge_send(world, &call);
    self->has_call = true;
    self->leave_at = 0;
    if (soak_draw(world, 100) < LEAVE_PERCENT && !world->is_ending) {
        self->leave_at =
            now + soak_draw_time(world, LV_MILLISECOND, STAY_MOST);
    }
    send_call(self);
}

static void
on_connect(io_stream *stream)
{
    io_read_start(stream);
}

static void
on_data(io_stream *stream, const char *data, size_t size)
{
    soak_caller *self = (soak_caller *)stream;
    size_t used;
    http_result result;

    if (!self->has_call) {
        judge_fault(self->world, "bytes that nobody asked for: %.*s",
                    (int)size, data);
        io_close(stream);
        return;
    }
    result = http_reader_feed(&self->reader, data, size, &used);
    if (result == HTTP_COMPLETE) {
        end_call(self);
    }
    else if (result != HTTP_INCOMPLETE) {
        judge_fault(self->world, "c%u: no proper answer", self->call);
        io_close(stream);
    }
}

static void
on_end(io_stream *stream, bool is_error)
{
    soak_caller *self = (soak_caller *)stream;

    if (self->has_call) {
        bool is_whole = !is_error && self->status != 0 &&
                        http_reader_feed_eof(&self->reader) == HTTP_COMPLETE;

        if (is_whole) {
            end_call(self);
        }
        else {
            self->has_call = false;
            judge_cut(self->world, self->call, self->status != 0);
        }
    }
    io_close(stream);
}

static void
on_close(io_stream *stream)
{
    soak_caller *self = (soak_caller *)stream;

    self->is_used = false;
    rest(self, 0, REST_TIME);
}

static void
ignore(io_stream *stream)
{
    (void)stream;
}

static const io_stream_ops stream_ops = {.on_connect = on_connect,
                                         .on_data = on_data,
                                         .on_end = on_end,
                                         .on_drain = ignore,
                                         .on_close = on_close};

static void
connect_caller(soak_caller *self)
{
    soak_world *world = self->world;
    struct sockaddr_in address;

    self->daemon = soak_draw(world, world->daemon_count);
    if (world->daemons[self->daemon].state != DAEMON_RUNNING) {
        rest(self, 0, REST_TIME);
        return;
    }
    io_parse_address(world->daemons[self->daemon].callers, &address, NULL);
    if (io_stream_init(&self->stream, &stream_ops, &world->loop)) {
        self->is_used = true;
        io_connect(&self->stream, &address, 0);
    }
}

static void
leave(soak_caller *self, lv_time now)
{
    self->world->calls[self->call].left_at = now;
    self->world->calls[self->call].is_over = true;
    self->has_call = false;
    io_close(&self->stream);
}

static void
tick(soak_caller *self, lv_time now)
{
    if (self->has_call) {
        if (self->leave_at != 0 && now >= self->leave_at) {
            leave(self, now);
            return;
        }
        judge_waiting(self->world, self->call, now);
        return;
    }
    if (now < self->next_at ||
        (self->world->is_ending && self->world->plant != SOAK_PLANT_KEPT)) {
        return;
    }
    if (!self->is_used) {
        connect_caller(self);
    }
    else if (self->stream.is_connected && !self->stream.is_closing) {
        begin_call(self, now);
    }
}

void
callers_start(soak_world *world)
{
    world->callers = calloc(world->caller_count, sizeof *world->callers);
    for (uint32_t i = 0; i < world->caller_count; i++) {
        world->callers[i].world = world;
        rest(&world->callers[i], 0, LV_SECOND);
    }
}

void
callers_tick(soak_world *world, lv_time now)
{
    for (uint32_t i = 0; i < world->caller_count; i++) {
        tick(&world->callers[i], now);
    }
}

void
callers_stop(soak_world *world)
{
    for (uint32_t i = 0; i < world->caller_count; i++) {
        soak_caller *self = &world->callers[i];

        if (self->has_reader) {
            http_reader_finish(&self->reader);
        }
        self->has_call = false;
        if (self->is_used && !self->stream.is_closing) {
            io_close(&self->stream);
        }
    }
}
