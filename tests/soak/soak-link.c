#include <stdlib.h>
#include <string.h>

#include "soak.h"

typedef struct link_side {
    io_stream stream; /* first member */
    link_pair *pair;
    struct link_side *other;
    buf_buffer held; /* read and not passed on */
    lv_time due_at;
    bool is_ended; /* it sent all it will */
    bool is_closed;
    bool is_forward; /* the connecting side */
} link_side;

struct link_pair {
    link_transport *link;
    link_side sides[2];
    bool is_lost; /* it carries nothing any more */
    link_pair *next;
};

static bool
is_held(const link_side *side)
{
    link_fault fault = side->pair->link->fault;

    return fault == LINK_SILENT ||
           fault == (side->is_forward ? LINK_HOLDS_FORWARD : LINK_HOLDS_BACK);
}

static void
pass_on(link_side *side, lv_time now)
{
    if (is_held(side) || now < side->due_at ||
        side->other->stream.is_closing || !side->other->stream.is_connected) {
        return;
    }
    if (side->held.size > 0) {
        io_write(&side->other->stream, side->held.data, side->held.size);
        buf_clear(&side->held);
    }
    if (side->is_ended) {
        io_shutdown(&side->other->stream);
        side->is_ended = false;
    }
}

static void
reset_pair(link_pair *pair)
{
    for (int i = 0; i < 2; i++) {
        if (!pair->sides[i].stream.is_closing) {
            io_reset(&pair->sides[i].stream);
        }
    }
}

static void
on_connect(io_stream *stream)
{
    link_side *side = (link_side *)stream;

    io_read_start(stream);
    pass_on(side->other, io_now());
}

static void
on_data(io_stream *stream, const char *data, size_t size)
{
    link_side *side = (link_side *)stream;
    link_transport *link = side->pair->link;
    lv_time now = io_now();

    if (link->fault == LINK_LOSES) {
        side->pair->is_lost = true;
    }
    if (side->pair->is_lost) {
        return;
    }
    buf_append(&side->held, data, size);
    if (link->fault == LINK_DELAYED) {
        side->due_at = now + link->delay;
    }
    pass_on(side, now);
}

static void
on_end(io_stream *stream, bool is_error)
{
    link_side *side = (link_side *)stream;
    bool is_half = side->other->stream.is_closing;

    if (is_error || is_half) {
        if (is_held(side)) {
            io_close(stream); /* the other side does not hear of it */
            return;
        }
        reset_pair(side->pair);
        return;
    }
    side->is_ended = true;
    pass_on(side, io_now());
}

static void
on_close(io_stream *stream)
{
    link_side *side = (link_side *)stream;

    side->is_closed = true;
    if (!side->other->stream.is_closing && !is_held(side)) {
        io_close(&side->other->stream);
    }
}

static void
ignore(io_stream *stream)
{
    (void)stream;
}

static const io_stream_ops side_ops = {.on_connect = on_connect,
                                       .on_data = on_data,
                                       .on_end = on_end,
                                       .on_drain = ignore,
                                       .on_close = on_close};

static void
init_side(link_pair *pair, int number)
{
    link_side *side = &pair->sides[number];

    side->pair = pair;
    side->other = &pair->sides[1 - number];
    side->is_forward = number == 0;
    buf_init(&side->held);
    io_stream_init(&side->stream, &side_ops, &pair->link->world->loop);
}

static void
on_connection(uv_stream_t *listener, int status)
{
    link_transport *link = listener->data;
    link_pair *pair = calloc(1, sizeof *pair);

    if (status != 0 || pair == NULL) {
        free(pair);
        return;
    }
    pair->link = link;
    pair->next = link->pairs;
    link->pairs = pair;
    init_side(pair, 0);
    init_side(pair, 1);
    io_accept(&pair->sides[0].stream, listener, 0, NULL);
    if (link->fault == LINK_REFUSES) {
        reset_pair(pair);
        return;
    }
    io_read_start(&pair->sides[0].stream);
    io_connect(&pair->sides[1].stream, &link->target, 0);
}

void
link_start(link_transport *link, soak_world *world, const char *target)
{
    struct sockaddr_in address;
    int size = sizeof address;

    memset(link, 0, sizeof *link);
    link->world = world;
    io_parse_address(target, &link->target, NULL);
    io_parse_address("127.0.0.1:0", &address, NULL);
    uv_tcp_init(&world->loop, &link->listener);
    link->listener.data = link;
    uv_tcp_bind(&link->listener, (const struct sockaddr *)&address, 0);
    uv_listen((uv_stream_t *)&link->listener, 256, on_connection);
    uv_tcp_getsockname(&link->listener, (struct sockaddr *)&address, &size);
    snprintf(link->address, sizeof link->address, "127.0.0.1:%u",
             (unsigned)ntohs(address.sin_port));
}

void
link_set(link_transport *link, link_fault fault, lv_time delay)
{
    link->fault = fault;
    link->delay = delay;
    link->good_since = io_now();
    for (link_pair *pair = link->pairs; fault == LINK_REFUSES && pair != NULL;
         pair = pair->next) {
        reset_pair(pair);
    }
}

static bool
is_over(const link_pair *pair)
{
    return pair->sides[0].is_closed && pair->sides[1].is_closed;
}

/* One end is gone and the other was not told, because it was cut off. */
static void
tell_of_close(link_pair *pair)
{
    for (int i = 0; i < 2; i++) {
        link_side *side = &pair->sides[i];

        if (side->is_closed && !side->other->stream.is_closing &&
            !is_held(side)) {
            io_reset(&side->other->stream);
        }
    }
}

void
link_tick(link_transport *link, lv_time now)
{
    link_pair **at = &link->pairs;

    while (*at != NULL) {
        link_pair *pair = *at;

        if (is_over(pair)) {
            *at = pair->next;
            buf_finish(&pair->sides[0].held);
            buf_finish(&pair->sides[1].held);
            free(pair);
            continue;
        }
        pass_on(&pair->sides[0], now);
        pass_on(&pair->sides[1], now);
        tell_of_close(pair);
        at = &pair->next;
    }
}

void
link_stop(link_transport *link)
{
    for (link_pair *pair = link->pairs; pair != NULL; pair = pair->next) {
        reset_pair(pair);
    }
    uv_close((uv_handle_t *)&link->listener, NULL);
}
