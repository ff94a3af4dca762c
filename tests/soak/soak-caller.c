#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>

#include "soak.h"

/* Between two requests of a caller. */
#define THINK_LEAST (5 * LV_MILLISECOND)
#define THINK_MOST (60 * LV_MILLISECOND)

/* Some callers leave their connection idle for longer. */
#define LONG_THINK_PERCENT 3
#define LONG_THINK_MOST (1500 * LV_MILLISECOND)

/* Requests on a connection at a time, and how often there is more than one;
 * how often, at each tick, one is sent behind an answer that has begun. */
#define CALLS_MAX 3
#define PIPELINE_PERCENT 25
#define BEHIND_PERCENT 5

/* A request that the other side's kernel has acknowledged after so long, while
 * the connection is open, came before any close. */
#define ARRIVAL_TIME (50 * LV_MILLISECOND)

/* After a connection that failed. */
#define REST_TIME (50 * LV_MILLISECOND)

/* Callers that leave before their answer, in percent. */
#define LEAVE_PERCENT 4
#define STAY_MOST (60 * LV_MILLISECOND)

struct soak_caller {
    io_stream stream; /* first member */
    soak_world *world;
    bool is_used;  /* the stream, until it is closed */
    bool has_home; /* its gateway is no longer drawn */
    uint32_t daemon;
    uint32_t life;             /* of the process that it connected to */
    uint32_t calls[CALLS_MAX]; /* in the order of their sending */
    uint32_t count;
    lv_time sent_at; /* the last of them */
    lv_time idle_since;
    http_reader reader;
    bool has_reader;
    uint32_t status;
    bool is_not_ours; /* the answer names another request */
    bool is_last;     /* the answer says that the connection closes */
    char answer[SOAK_ANSWER_SIZE];
    size_t answer_size;
    lv_time next_at;
    lv_time leave_at;    /* 0: stays */
    bool has_cut_stream; /* its next request takes up the stream of `cut` */
    soak_call cut;
};

static bool
on_head(http_reader *reader, const http_head *head)
{
    soak_caller *self = reader->owner;
    const char *id = http_find_header(head, "Lavenderproxy-Attempt-Id");
    const char *connection = http_find_header(head, "Connection");
    char wanted[32];

    snprintf(wanted, sizeof wanted, "c%u", self->calls[0]);
    self->status = head->status;
    self->is_last = connection != NULL &&
                    strcasecmp(connection, "close") == 0 &&
                    self->world->plant != SOAK_PLANT_DROP;
    self->is_not_ours = id != NULL && strcmp(id, wanted) != 0;
    if (http_find_header(head, "Soak-Malformed") != NULL) {
        judge_fault(self->world, "c%u: a malformed answer is passed on",
                    self->calls[0]);
    }
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

static void
rest(soak_caller *self, lv_time least, lv_time most)
{
    self->next_at = io_now() + soak_draw_time(self->world, least, most);
}

static void
expect_answer(soak_caller *self)
{
    if (self->has_reader) {
        http_reader_finish(&self->reader);
    }
    http_reader_init(&self->reader, &reader_ops, self, false, 16384);
    self->has_reader = true;
    self->status = 0;
    self->is_last = false;
    self->answer_size = 0;
    self->answer[0] = '\0';
    self->world->calls[self->calls[0]].first_at = io_now();
}

static void
drop_behind(soak_caller *self, bool is_last_known)
{
    for (uint32_t i = 0; i < self->count; i++) {
        judge_behind(self->world, self->calls[i], is_last_known);
    }
    self->count = 0;
}

/* Its first request is over. */
static void
remove_call(soak_caller *self)
{
    self->count--;
    memmove(self->calls, self->calls + 1, self->count * sizeof *self->calls);
}

static void
end_call(soak_caller *self)
{
    soak_world *world = self->world;
    uint32_t status = self->status;

    if (world->plant == SOAK_PLANT_LIE && status == 200) {
        status = 503;
    }
    if (status == 503) {
        judge_refused(world, self->calls[0]);
    }
    else {
        request_note_events(world, self->calls[0], self->answer);
        judge_answer(
            world, self->calls[0], status,
            !self->is_not_ours &&
                request_is_answer(world, self->calls[0], self->answer));
    }
    remove_call(self);
    self->idle_since = self->world->last_tick_at;
    if (self->is_last) {
        drop_behind(self, true);
        io_close(&self->stream);
    }
    if (self->count > 0) {
        expect_answer(self);
        return;
    }
    rest(self, THINK_LEAST, THINK_MOST);
    if (soak_draw(world, 100) < LONG_THINK_PERCENT) {
        rest(self, THINK_MOST, LONG_THINK_MOST);
    }
}

static void
add_call(soak_caller *self, lv_time now, buf_buffer *to)
{
    soak_world *world = self->world;
    soak_call call = {.kind = request_draw_kind(world),
                      .daemon = self->daemon,
                      .life = self->life,
                      .sent_at = now};

    if (self->has_cut_stream) {
        self->has_cut_stream = false;
        call.kind = SOAK_RESUME;
        call.is_resumed = true;
        call.resumes = self->cut.resumes;
        call.first_event = self->cut.first_event;
        call.software = self->cut.software;
    }
    if (call.kind == SOAK_PROBE) {
        call.version = world->version - soak_draw(world, 2);
    }
    block_draw(world, &call);
    if (self->status == 0 && self->idle_since != 0) {
        call.idle = lv_elapsed(now, self->idle_since);
    }
    self->calls[self->count] = judge_send(world, &call);
    self->sent_at = now;
    request_write(world, self->calls[self->count], to);
    self->count++;
}

static void
begin_calls(soak_caller *self, lv_time now)
{
    soak_world *world = self->world;
    buf_buffer text;

    buf_init(&text);
    self->status = 0;
    do {
        add_call(self, now, &text);
    } while (self->count < CALLS_MAX &&
             soak_draw(world, 100) < PIPELINE_PERCENT);
    self->leave_at = 0;
    if (soak_draw(world, 100) < LEAVE_PERCENT && !world->is_ending) {
        self->leave_at =
            now + soak_draw_time(world, LV_MILLISECOND, STAY_MOST);
    }
    expect_answer(self);
    io_write(&self->stream, text.data, text.size);
    buf_finish(&text);
}

/* Sends a request behind an answer that has begun. */
static void
add_behind(soak_caller *self, lv_time now)
{
    buf_buffer text;

    if (self->status == 0 || self->is_last || self->count == CALLS_MAX ||
        self->world->is_ending || self->stream.is_closing ||
        soak_draw(self->world, 100) >= BEHIND_PERCENT) {
        return;
    }
    buf_init(&text);
    add_call(self, now, &text);
    io_write(&self->stream, text.data, text.size);
    buf_finish(&text);
}

/* Notes that all was received by the other side's kernel while the connection
 * was open in both directions. */
static void
watch_arrival(soak_caller *self, lv_time now)
{
    soak_world *world = self->world;
    struct tcp_info info;
    socklen_t size = sizeof info;
    uv_os_fd_t descriptor;
    int unacknowledged;

    if (world->calls[self->calls[self->count - 1]].has_arrived ||
        now < self->sent_at + ARRIVAL_TIME || self->stream.is_closing ||
        uv_fileno((const uv_handle_t *)&self->stream.tcp, &descriptor) != 0 ||
        io_write_queue_size(&self->stream) > 0 ||
        ioctl(descriptor, SIOCOUTQ, &unacknowledged) != 0 ||
        unacknowledged > 0 ||
        getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
        info.tcpi_state != TCP_ESTABLISHED) {
        return;
    }
    for (uint32_t i = 0; i < self->count; i++) {
        world->calls[self->calls[i]].has_arrived = true;
    }
}

static void
on_connect(io_stream *stream)
{
    soak_caller *self = (soak_caller *)stream;

    self->idle_since = self->world->last_tick_at;
    io_read_start(stream);
}

static void
on_data(io_stream *stream, const char *data, size_t size)
{
    soak_caller *self = (soak_caller *)stream;

    while (size > 0 && !stream->is_closing) {
        http_result result;
        size_t used;

        if (self->count == 0) {
            judge_fault(self->world, "bytes that nobody asked for: %.*s",
                        (int)size, data);
            io_close(stream);
            return;
        }
        result = http_reader_feed(&self->reader, data, size, &used);
        if (result == HTTP_INCOMPLETE) {
            return;
        }
        if (result != HTTP_COMPLETE) {
            judge_fault(self->world, "c%u: no proper answer", self->calls[0]);
            io_close(stream);
            return;
        }
        end_call(self);
        data += used;
        size -= used;
    }
}

/* The connection ended without the rest of its answers. */
static void
end_connection(soak_caller *self)
{
    if (self->count > 0) {
        judge_cut(self->world, self->calls[0], self->status);
        request_note_events(self->world, self->calls[0], self->answer);
        memset(&self->cut, 0, sizeof self->cut);
        self->has_cut_stream = request_resume(self->world, self->calls[0],
                                              self->answer, &self->cut);
        remove_call(self);
    }
    drop_behind(self, false);
}

static void
on_end(io_stream *stream, bool is_error)
{
    soak_caller *self = (soak_caller *)stream;

    if (self->count > 0 && !is_error && self->status != 0 &&
        http_reader_feed_eof(&self->reader) == HTTP_COMPLETE) {
        self->is_last = true;
        end_call(self);
    }
    end_connection(self);
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

    self->daemon = self->has_home ? (uint32_t)(self - world->callers) %
                                        world->daemon_count
                                  : soak_draw(world, world->daemon_count);
    if (world->daemons[self->daemon].state == DAEMON_DOWN) {
        rest(self, 0, REST_TIME);
        return;
    }
    io_parse_address(world->daemons[self->daemon].callers, &address, NULL);
    if (io_stream_init(&self->stream, &stream_ops, &world->loop)) {
        self->is_used = true;
        self->life = world->daemons[self->daemon].life;
        self->idle_since = 0;
        io_connect(&self->stream, &address, 0);
    }
}

static void
leave(soak_caller *self, lv_time now)
{
    for (uint32_t i = 0; i < self->count; i++) {
        soak_call *call = &self->world->calls[self->calls[i]];

        call->left_at = now;
        call->is_over = true;
    }
    self->count = 0;
    io_close(&self->stream);
}

/* After the faults a gateway that began last would have no callers, as their
 * connections to the others stay open. */
static void
go_home(soak_caller *self)
{
    self->has_home = true;
    if (self->is_used && !self->stream.is_closing) {
        io_close(&self->stream);
    }
}

static void
tick(soak_caller *self, lv_time now)
{
    if (self->count > 0) {
        if (self->leave_at != 0 && now >= self->leave_at) {
            leave(self, now);
            return;
        }
        judge_waiting(self->world, self->calls[0], now);
        watch_arrival(self, now);
        add_behind(self, io_now());
        return;
    }
    if (now < self->next_at ||
        (self->world->is_ending && self->world->plant != SOAK_PLANT_KEPT)) {
        return;
    }
    if (!self->has_home && self->world->is_calm &&
        now > self->world->calm_at + SOAK_RECOVERY) {
        go_home(self);
    }
    else if (!self->is_used) {
        connect_caller(self);
    }
    else if (self->stream.is_connected && !self->stream.is_closing) {
        begin_calls(self, io_now());
    }
}

/* Closes the connections to paused gateways as if these had done it. */
void
callers_close_paused(soak_world *world)
{
    for (uint32_t i = 0; i < world->caller_count; i++) {
        soak_caller *self = &world->callers[i];

        if (self->count > 0 && world->daemons[self->daemon].is_stopped &&
            !self->stream.is_closing) {
            end_connection(self);
            io_close(&self->stream);
        }
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
        self->count = 0;
        if (self->is_used && !self->stream.is_closing) {
            io_close(&self->stream);
        }
    }
}
