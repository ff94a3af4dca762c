/*
 * Clients that do not behave, against a router process of packages/net, over
 * HTTP/1.1 and HTTP/2.
 */
#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#include "crowd.h"
#include "rig.h"

/* The machine of the tests, and the part of it that bodies and buffers may
 * use. */
#define MACHINE_MEMORY_KB (128 * 1024)
#define LIMITS "[limits]\nmemory = 32MiB\n"
#define MACHINE_DESCRIPTORS 1024

#define HEAD                                                                  \
    "POST /lookup/1 HTTP/1.1\r\nHost: r\r\nX-Number: %u\r\n"                  \
    "Authorization: Bearer key-of-alpha\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define ORDINARY                                                              \
    "POST /lookup/1 HTTP/1.1\r\nHost: r\r\nConnection: close\r\n"             \
    "Authorization: Bearer key-of-alpha\r\nContent-Length: 14\r\n\r\n"        \
    "{\"user\":\"o/1\"}"

#define START_TIMEOUT_MS 20000

#define H2_STREAMS 4
#define H2_FRAME_BYTES 16384

static rig_rig rig;
static crowd_usage usage;

static void
check_usage(void)
{
    fprintf(stderr,
            "memory %llu kB, unread %llu kB, descriptors %u, sent %llu MB, "
            "closed %u\n",
            (unsigned long long)usage.memory_kb,
            (unsigned long long)usage.unread_kb, usage.descriptors,
            (unsigned long long)usage.sent / 1000000, usage.closed);
    cr_expect_leq(usage.memory_kb + usage.unread_kb, MACHINE_MEMORY_KB,
                  "%llu kB and %llu kB unread, of %u kB",
                  (unsigned long long)usage.memory_kb,
                  (unsigned long long)usage.unread_kb, MACHINE_MEMORY_KB);
    cr_expect_leq(usage.descriptors, MACHINE_DESCRIPTORS);
}

typedef enum port {
    PORT_CALLERS,
    PORT_OPERATOR,
    PORT_PEER
} port;

static const char *
find_address(port which)
{
    const rig_router *router = &rig.routers[0];

    return which == PORT_CALLERS    ? router->callers
           : which == PORT_OPERATOR ? router->operator_address
                                    : router->peer;
}

/* Two crowds one after the other, at a port of the router. */
static void
play(const crowd_shape *shape, port which)
{
    static const rig_shape router = {.settings =
                                         LIMITS "[timeouts]\nrequest = 60s\n"};
    proc_process *process = &rig.routers[0].process;
    const char *callers = rig.routers[0].callers;

    crowd_raise_limits();
    crowd_set_sanitizer_options();
    cr_assert(rig_start(&rig, &router));
    cr_assert(crowd_ask_until_served(callers, ORDINARY, NULL, NULL),
              "the router does not serve");
    for (int wave = 0; wave < 2; wave++) {
        crowd_crowd *crowd = crowd_start(process, find_address(which), shape,
                                         NULL, NULL, &usage);

        cr_expect(crowd_is_alive(process), "the router has ended");
        cr_expect(crowd_ask_until_served(callers, ORDINARY, NULL, NULL),
                  "no ordinary request is served beside the crowd");
        crowd_stop(crowd);
        cr_expect(crowd_ask_until_served(callers, ORDINARY, NULL, NULL),
                  "no ordinary request is served after the crowd");
    }
    cr_expect(crowd_is_alive(process), "the router has ended");
    check_usage();
    cr_expect(rig_stop(&rig));
}

Test(net, one_chunk_less_a_byte)
{
    static const crowd_shape shape = {.clients = 60,
                                      .head = HEAD CHUNKED "400000\r\n",
                                      .piece = "x",
                                      .piece_bytes = CROWD_BODY_BYTES - 1};

    play(&shape, PORT_CALLERS);
}

Test(net, small_chunks_without_an_end)
{
    static const crowd_shape shape = {.clients = 60,
                                      .head = HEAD CHUNKED,
                                      .piece = "8\r\nxxxxxxxx\r\n",
                                      .piece_bytes =
                                          (CROWD_BODY_BYTES / 8 - 1) * 13};

    play(&shape, PORT_CALLERS);
}

Test(net, length_less_a_byte)
{
    static const crowd_shape shape = {.clients = 60,
                                      .head = HEAD
                                      "Content-Length: 4194304\r\n\r\n",
                                      .piece = "x",
                                      .piece_bytes = CROWD_BODY_BYTES - 1};

    play(&shape, PORT_CALLERS);
}

Test(net, bodies_at_the_operators_port)
{
    static const crowd_shape shape = {.clients = 60,
                                      .connections = 2,
                                      .head = HEAD CHUNKED "400000\r\n",
                                      .piece = "x",
                                      .piece_bytes = CROWD_BODY_BYTES - 1};

    play(&shape, PORT_OPERATOR);
}

static void
append_frame_head(buf_buffer *to, size_t size, uint8_t type, uint8_t flags,
                  uint8_t stream)
{
    const uint8_t head[9] = {(uint8_t)(size >> 16),
                             (uint8_t)(size >> 8),
                             (uint8_t)size,
                             type,
                             flags,
                             0,
                             0,
                             0,
                             stream};

    buf_append(to, head, sizeof head);
}

/* The client's settings, and the heads of its requests. */
static void
write_h2_start(buf_buffer *to)
{
    /* :method POST, :scheme http, :path /lookup/1, :authority r */
    static const char fields[] = "\x83\x86\x04\x09/lookup/1\x01\x01r";

    append_frame_head(to, 0, 4, 0, 0);
    for (uint8_t i = 0; i < H2_STREAMS; i++) {
        append_frame_head(to, sizeof fields - 1, 1, 4, (uint8_t)(1 + 2 * i));
        buf_append(to, fields, sizeof fields - 1);
    }
}

/* A DATA frame for each stream. */
static void
write_h2_data(buf_buffer *to)
{
    static const char data[H2_FRAME_BYTES];

    for (uint8_t i = 0; i < H2_STREAMS; i++) {
        append_frame_head(to, sizeof data, 0, 0, (uint8_t)(1 + 2 * i));
        buf_append(to, data, sizeof data);
    }
}

Test(net, http2_streams_without_an_end)
{
    crowd_shape shape = {.clients = 20,
                         .connections = 2,
                         .head = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
                         .reads = true};
    buf_buffer start;
    buf_buffer data;

    buf_init(&start);
    buf_init(&data);
    write_h2_start(&start);
    write_h2_data(&data);
    shape.more_head = start.data;
    shape.more_head_size = start.size;
    shape.piece = data.data;
    shape.piece_size = data.size;
    /* One frame less than the limit of a body. */
    shape.piece_bytes = (CROWD_BODY_BYTES / H2_FRAME_BYTES - 1) * data.size;
    play(&shape, PORT_CALLERS);
    buf_finish(&start);
    buf_finish(&data);
}

#define ZMTP_GREETING_BYTES 64

/* The handshake of ZMTP 3.0: the greeting without security of a client, and
 * the command that names its socket's type. */
static const char zmtp_start[] =
    "\xff\0\0\0\0\0\0\0\0\x7f\x03\0NULL\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0"
    "\0"
    "\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0"
    "\x04\x1c\x05READY\x0bSocket-Type\0\0\0\x06"
    "DEALER";

/* Clients that finish the handshake and then repeat a piece. */
static void
play_peers(uint32_t clients, const char *piece, size_t piece_size)
{
    const crowd_shape shape = {.clients = clients,
                               .connections = 2,
                               .head = "",
                               .more_head = zmtp_start,
                               .more_head_size = sizeof zmtp_start - 1,
                               .piece = piece,
                               .piece_size = piece_size,
                               .piece_bytes = 2 * CROWD_BODY_BYTES,
                               .reads = true,
                               .answer_min = ZMTP_GREETING_BYTES + 1};

    play(&shape, PORT_PEER);
}

Test(net, long_messages_at_the_peers_port)
{
    static char start[9 + 1024 * 1024] = {2, 0, 0, 0, 0, 4}; /* of 64 MiB */

    play_peers(40, start, sizeof start);
}

/* Messages of almost the largest size, which are malformed. */
Test(net, whole_messages_at_the_peers_port)
{
    static char message[9 + 1024 * 1024] = {2, 0, 0, 0, 0, 0, 16};

    play_peers(40, message, sizeof message);
}

/* One message in parts of 200 bytes, none of which is the last. */
Test(net, parts_without_an_end_at_the_peers_port)
{
    static const char part[202] = {1, (char)200};

    play_peers(40, part, sizeof part);
}

/* The same in parts of one byte, which need the most memory for each byte that
 * is sent. */
Test(net, smallest_parts_without_an_end_at_the_peers_port)
{
    static const char part[3] = {1, 1, 'x'};

    play_peers(8, part, sizeof part);
}

/* No crowd, and the default settings. */
Test(net, largest_body_in_calm)
{
    static const rig_shape router = {.entry = "body = 4MiB\n"};
    buf_buffer requests[2];

    crowd_write_largest(&requests[0], &requests[1],
                        "POST /lookup/1 HTTP/1.1\r\nHost: r\r\n"
                        "Authorization: Bearer key-of-alpha\r\n");
    cr_assert(rig_start(&rig, &router));
    for (int i = 0; i < 2; i++) {
        int status = crowd_ask(rig.routers[0].callers, requests[i].data, NULL,
                               NULL, START_TIMEOUT_MS);

        cr_expect_eq(status, 200, "request %d: %d", i, status);
        buf_finish(&requests[i]);
    }
    cr_expect(rig_stop(&rig));
}
