/*
 * Peer links over real sockets on loopback: delivery, CURVE keys, garbage on
 * the peer port.
 */
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lavender-net/link.h"

/* The longest wait for a condition, in milliseconds. */
#define WAIT_LIMIT 10000
#define WAIT_STEP 5

typedef struct end_point {
    link_transport link;
    lv_id id;
    uint32_t taken;
    uint64_t last_sequence;
} end_point;

typedef struct fixture {
    uv_loop_t loop;
    uv_timer_t timer;
    end_point ends[2];
    lists_instance instances[2];
    lists_snapshot lists;
} fixture;

static void
on_message(void *context, const msg_message *message)
{
    end_point *end = context;

    end->taken++;
    end->last_sequence = message->sequence;
}

static void
on_timer(uv_timer_t *timer)
{
    (void)timer;
}

static link_settings
make_settings(lv_id self, int port)
{
    link_settings settings = {
        .self = self,
        .queue_limit = 100,
        .heartbeat_interval = 200 * LV_MILLISECOND,
    };

    snprintf(settings.bind_address, sizeof settings.bind_address,
             "127.0.0.1:%d", port);
    return settings;
}

/* A port that the kernel says is free. */
static int
pick_port(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof address;
    int probe = socket(AF_INET, SOCK_STREAM, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    cr_assert(bind(probe, (struct sockaddr *)&address, size) == 0 &&
              getsockname(probe, (struct sockaddr *)&address, &size) == 0);
    close(probe);
    return ntohs(address.sin_port);
}

static void
open_end(fixture *f, int place, const link_settings *keys)
{
    end_point *end = &f->ends[place];
    link_settings settings =
        make_settings(f->instances[place].id, pick_port());
    err_error error;

    if (keys->heartbeat_interval > 0) {
        settings.heartbeat_interval = keys->heartbeat_interval;
    }
    settings.use_curve = keys->use_curve;
    memcpy(settings.public_key, keys->public_key, LINK_KEY_SIZE);
    memcpy(settings.secret_key, keys->secret_key, LINK_KEY_SIZE);
    cr_assert(
        link_init(&end->link, &f->loop, &settings, on_message, end, &error),
        "%s", error.message);
    memcpy(f->instances[place].peer, settings.bind_address,
           sizeof settings.bind_address);
}

static void
open_all(fixture *f, const link_settings *first, const link_settings *second)
{
    memset(f, 0, sizeof *f);
    uv_loop_init(&f->loop);
    uv_timer_init(&f->loop, &f->timer);
    uv_timer_start(&f->timer, on_timer, WAIT_STEP, WAIT_STEP);
    f->instances[0].id = 1;
    f->instances[1].id = 2;
    open_end(f, 0, first);
    open_end(f, 1, second);
    f->lists.instances = f->instances;
    f->lists.instance_count = 2;
    link_set_lists(&f->ends[0].link, &f->lists);
    link_set_lists(&f->ends[1].link, &f->lists);
}

static void
close_all(fixture *f)
{
    link_finish(&f->ends[0].link);
    link_finish(&f->ends[1].link);
    uv_close((uv_handle_t *)&f->timer, NULL);
    uv_run(&f->loop, UV_RUN_DEFAULT);
    cr_assert_eq(uv_loop_close(&f->loop), 0);
}

static void
send_number(fixture *f, int from, lv_id to, uint64_t sequence)
{
    msg_message message = {
        .kind = MSG_PING,
        .version = MSG_VERSION,
        .sender = f->instances[from].id,
        .sequence = sequence,
    };

    link_send(&f->ends[from].link, to, &message);
}

/* Send until the other end has taken one, at most for the wait limit. */
static bool
exchange(fixture *f, int from, int to)
{
    for (int waited = 0; waited < WAIT_LIMIT; waited += WAIT_STEP) {
        send_number(f, from, f->instances[to].id, 5);
        uv_run(&f->loop, UV_RUN_ONCE);
        if (f->ends[to].taken > 0) {
            return true;
        }
    }
    return false;
}

Test(link, delivers_both_ways)
{
    link_settings none = {0};
    fixture f;

    open_all(&f, &none, &none);
    cr_assert(exchange(&f, 0, 1));
    cr_assert(exchange(&f, 1, 0));
    cr_assert_eq(f.ends[1].last_sequence, 5);
    close_all(&f);
}

Test(link, unknown_receiver_is_counted)
{
    link_settings none = {0};
    fixture f;

    open_all(&f, &none, &none);
    send_number(&f, 0, 99, 1);
    cr_assert_eq(f.ends[0].link.counts.dropped_unknown_receiver, 1);
    close_all(&f);
}

static void
send_address(fixture *f, int from, lv_id sender, lv_id to, const char *address)
{
    msg_message message = {
        .kind = MSG_PING,
        .version = MSG_VERSION,
        .sender = sender,
        .body = address,
        .body_size = strlen(address),
    };

    link_send(&f->ends[from].link, to, &message);
}

/* An end without lists, as after a start while the platform is down, answers
 * whoever said where it listens; the next list has the last word. */
Test(link, an_address_is_learned_until_a_list_comes)
{
    link_settings none = {0};
    lists_snapshot empty = {0};
    fixture f;

    open_all(&f, &none, &none);
    link_set_lists(&f.ends[1].link, &empty);
    send_number(&f, 1, f.instances[0].id, 1);
    cr_assert_eq(f.ends[1].link.counts.dropped_unknown_receiver, 1);
    for (int waited = 0; waited < WAIT_LIMIT && f.ends[1].taken == 0;
         waited += WAIT_STEP) {
        send_address(&f, 0, f.instances[0].id, f.instances[1].id,
                     f.instances[0].peer);
        uv_run(&f.loop, UV_RUN_ONCE);
    }
    cr_assert_eq(f.ends[1].link.learned_count, 1);
    cr_assert(exchange(&f, 1, 0));
    link_set_lists(&f.ends[1].link, &empty);
    cr_assert_eq(f.ends[1].link.peer_count, 0);
    close_all(&f);
}

/* Addresses that are none, and more than are kept. */
Test(link, what_is_learned_is_checked_and_bounded)
{
    static const char *const bad[] = {
        "router-1:7000",
        "127.0.0.1",
        "999.0.0.1:1",
        "1111:1111:1111:1111:1111:1111:1111:1111:1111:1111:1111:1111:1111:111",
    };
    link_settings none = {0};
    fixture f;
    uint32_t taken = 0;

    open_all(&f, &none, &none);
    cr_assert(exchange(&f, 0, 1));
    for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++) {
        send_address(&f, 0, 100 + i, f.instances[1].id, bad[i]);
    }
    for (lv_id id = 1000; id < 1000 + LINK_LEARNED_PEERS_MAX + 10; id++) {
        send_address(&f, 0, id, f.instances[1].id, "127.0.0.1:9");
        taken++;
    }
    for (int waited = 0;
         waited < WAIT_LIMIT &&
         f.ends[1].taken < taken + sizeof bad / sizeof bad[0] + 1;
         waited += WAIT_STEP) {
        uv_run(&f.loop, UV_RUN_ONCE);
    }
    cr_assert_eq(f.ends[1].link.learned_count, LINK_LEARNED_PEERS_MAX);
    cr_assert_eq(f.ends[1].link.peer_count, 2 + LINK_LEARNED_PEERS_MAX);
    close_all(&f);
}

Test(link, curve_keys_of_one_fleet_are_let_in)
{
    link_settings keys = {.use_curve = true};
    fixture f;

    cr_assert(link_generate_keys(keys.public_key, keys.secret_key, NULL));
    open_all(&f, &keys, &keys);
    cr_assert(exchange(&f, 0, 1));
    close_all(&f);
}

/* The stranger knows the fleet's public key but not its secret one. */
Test(link, curve_key_of_a_stranger_is_refused)
{
    link_settings keys = {.use_curve = true};
    link_settings strange = {.use_curve = true};
    fixture f;

    cr_assert(link_generate_keys(keys.public_key, keys.secret_key, NULL));
    cr_assert(
        link_generate_keys(strange.public_key, strange.secret_key, NULL));
    open_all(&f, &strange, &keys);
    memcpy(f.ends[0].link.settings.public_key, keys.public_key, LINK_KEY_SIZE);
    link_set_lists(&f.ends[0].link, &f.lists);
    for (int i = 0; i < 200; i++) {
        send_number(&f, 0, 2, 1);
        uv_run(&f.loop, UV_RUN_ONCE);
    }
    cr_assert_eq(f.ends[1].taken, 0);
    close_all(&f);
}

Test(link, garbage_on_the_peer_port_is_counted)
{
    link_settings none = {0};
    fixture f;
    int waited = 0;

    open_all(&f, &none, &none);
    cr_assert(exchange(&f, 0, 1));
    send_number(&f, 0, 2, 1);
    while (f.ends[1].link.counts.dropped_malformed == 0 &&
           waited < WAIT_LIMIT) {
        msg_message nameless = {.kind = MSG_PING, .version = MSG_VERSION};

        link_send(&f.ends[0].link, 2, &nameless);
        uv_run(&f.loop, UV_RUN_ONCE);
        waited += WAIT_STEP;
    }
    cr_assert_gt(f.ends[1].link.counts.dropped_malformed, 0);
    f.ends[1].taken = 0;
    cr_assert(exchange(&f, 0, 1));
    close_all(&f);
}

/* The handshake of ZMTP 3.0 without security, as a DEALER. */
static const char zmtp_start[] =
    "\xff\0\0\0\0\0\0\0\0\x7f\x03\0NULL\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0"
    "\0"
    "\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0"
    "\x04\x1c\x05READY\x0bSocket-Type\0\0\0\x06"
    "DEALER";

/* Sends `size` bytes of repeated pieces. Returns false if the connection has
 * ended. */
static bool
send_pieces(fixture *f, int client, const char *piece, size_t piece_size,
            size_t size)
{
    size_t sent = 0;

    for (int waited = 0; sent < size && waited < WAIT_LIMIT;) {
        size_t offset = sent % piece_size;
        size_t next = piece_size - offset < size - sent ? piece_size - offset
                                                        : size - sent;
        ssize_t count = send(client, piece + offset, next, MSG_NOSIGNAL);

        if (count > 0) {
            sent += (size_t)count;
            continue;
        }
        if (errno != EAGAIN && errno != ENOTCONN) {
            return false;
        }
        uv_run(&f->loop, UV_RUN_ONCE);
        waited += WAIT_STEP;
    }
    return sent == size;
}

#define ZMTP_GREETING_BYTES 64

/* Connects a client and waits for the end of the handshake. */
static int
connect_client(fixture *f, int place)
{
    char answer[256];
    size_t size = 0;
    struct sockaddr_in address = {.sin_family = AF_INET};
    const char *text = f->instances[place].peer;
    int client = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons((uint16_t)atoi(strchr(text, ':') + 1));
    cr_assert(connect(client, (struct sockaddr *)&address, sizeof address) ==
                  0 ||
              errno == EINPROGRESS);
    cr_assert(send_pieces(f, client, zmtp_start, sizeof zmtp_start - 1,
                          sizeof zmtp_start - 1));
    for (int waited = 0; size <= ZMTP_GREETING_BYTES && waited < WAIT_LIMIT;
         waited += WAIT_STEP) {
        ssize_t count = recv(client, answer, sizeof answer, 0);

        size += count > 0 ? (size_t)count : 0;
        uv_run(&f->loop, UV_RUN_ONCE);
    }
    cr_assert_gt(size, ZMTP_GREETING_BYTES);
    return client;
}

/* Sends a valid message in one frame. */
static void
send_valid(fixture *f, int client)
{
    msg_message message = {
        .kind = MSG_PING, .version = MSG_VERSION, .sender = 3, .sequence = 7};
    char frame[256];
    char *bytes;
    size_t size;

    cr_assert(msg_encode(&message, &bytes, &size, NULL));
    cr_assert_leq(size, sizeof frame - 2);
    frame[0] = 0;
    frame[1] = (char)size;
    memcpy(frame + 2, bytes, size);
    free(bytes);
    cr_assert(send_pieces(f, client, frame, size + 2, size + 2));
}

static void
run_until(fixture *f, const uint64_t *count, uint64_t value)
{
    for (int waited = 0; waited < WAIT_LIMIT && *count < value;
         waited += WAIT_STEP) {
        uv_run(&f->loop, UV_RUN_ONCE);
    }
    cr_expect_eq(*count, value);
}

/* A client that sends parts without an end is closed, and a large message of a
 * peer that is incomplete at that time arrives. */
Test(link, incomplete_messages_of_strangers_are_closed_first)
{
    static const char part[202] = {1, (char)200};
    static const char head[9] = {2, 0, 0, 0, 0, 0, 0x12, 0, 0}; /* 1.18 MB */
    static const char zeros[1024];
    const size_t rest = 100;
    /* The clients do not answer heartbeats. */
    link_settings settings = {.heartbeat_interval = 60 * LV_SECOND};
    link_counts *counts;
    int peer;
    int stranger;
    fixture f;

    open_all(&f, &settings, &settings);
    counts = &f.ends[1].link.counts;
    peer = connect_client(&f, 1);
    stranger = connect_client(&f, 1);
    send_valid(&f, peer);
    run_until(&f, &counts->received, 1);
    cr_assert(send_pieces(&f, peer, head, sizeof head, sizeof head));
    cr_assert(send_pieces(&f, peer, zeros, sizeof zeros, 0x120000 - rest));
    send_pieces(&f, stranger, part, sizeof part, 20000 * sizeof part);
    run_until(&f, &counts->closed_incomplete, 1);
    cr_expect_eq(counts->dropped_malformed, 0);
    cr_expect(send_pieces(&f, peer, zeros, sizeof zeros, rest));
    run_until(&f, &counts->dropped_malformed, 1);
    cr_expect_eq(counts->closed_incomplete, 1);
    cr_expect(exchange(&f, 0, 1));
    close(peer);
    close(stranger);
    close_all(&f);
}

/* A message that was whole before its connection was first examined is not
 * incomplete. */
Test(link, first_messages_are_complete)
{
    static char message[9 + 0x100000] = {2, 0, 0, 0, 0, 0, 0x10};
    link_settings settings = {.heartbeat_interval = 60 * LV_SECOND};
    link_counts *counts;
    int clients[4];
    fixture f;

    open_all(&f, &settings, &settings);
    counts = &f.ends[1].link.counts;
    for (uint32_t i = 0; i < 4; i++) {
        clients[i] = connect_client(&f, 1);
        cr_assert(send_pieces(&f, clients[i], message, sizeof message,
                              sizeof message));
        run_until(&f, &counts->dropped_malformed, i + 1);
    }
    for (int i = 0; i < 100; i++) {
        uv_run(&f.loop, UV_RUN_ONCE);
    }
    cr_expect_eq(counts->closed_incomplete, 0);
    for (int i = 0; i < 4; i++) {
        close(clients[i]);
    }
    close_all(&f);
}
