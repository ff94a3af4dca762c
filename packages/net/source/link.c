#include "lavender-net/link.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "lavender/value.h"
#include "link-imp.h"

/* Maximum messages received in one call of receive_batch, so that a flood of
 * peers' messages leaves time for callers. */
#define MESSAGES_PER_BATCH 256

/* Time to send queued messages after a socket was closed, in milliseconds. An
 * instance that shuts down announces this in its last messages. */
#define LINGER_MS 100

/* Size of receive buffers in the kernel, which limits unread data. */
#define RECEIVE_BUFFER_BYTES (32 * 1024)

#define PEER_ADDRESS_SIZE (2 * LV_ADDRESS_SIZE + 16)

#define BIND_REMEDY "check [listen] peer: it must be IP:PORT and free"

struct link_peer {
    lv_id id;
    char address[LV_ADDRESS_SIZE];
    void *socket; /* DEALER, or NULL when not connected */
};

static int
to_milliseconds(lv_time duration)
{
    return (int)(duration / LV_MILLISECOND);
}

static bool
set_int_option(void *socket, int option, int value)
{
    return zmq_setsockopt(socket, option, &value, sizeof value) == 0;
}

static bool
set_socket_options(const link_transport *link, void *socket)
{
    int heartbeat = to_milliseconds(link->settings.heartbeat_interval);
    int64_t max_size = MSG_SIZE_MAX;

    return zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max_size,
                          sizeof max_size) == 0 &&
           set_int_option(socket, ZMQ_LINGER, LINGER_MS) &&
           set_int_option(socket, ZMQ_RCVBUF, RECEIVE_BUFFER_BYTES) &&
           set_int_option(socket, ZMQ_SNDHWM,
                          (int)link->settings.queue_limit) &&
           set_int_option(socket, ZMQ_RCVHWM,
                          (int)link->settings.queue_limit) &&
           set_int_option(socket, ZMQ_HEARTBEAT_IVL, heartbeat) &&
           set_int_option(socket, ZMQ_HEARTBEAT_TIMEOUT, 2 * heartbeat) &&
           set_int_option(socket, ZMQ_HEARTBEAT_TTL, 3 * heartbeat);
}

static bool
set_server_keys(const link_transport *link, void *socket)
{
    if (!link->settings.use_curve) {
        return true;
    }
    return set_int_option(socket, ZMQ_CURVE_SERVER, 1) &&
           zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY,
                          link->settings.secret_key, LINK_KEY_SIZE) == 0;
}

static bool
set_client_keys(const link_transport *link, void *socket)
{
    const link_settings *settings = &link->settings;

    if (!settings->use_curve) {
        return true;
    }
    return zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, settings->public_key,
                          LINK_KEY_SIZE) == 0 &&
           zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, settings->public_key,
                          LINK_KEY_SIZE) == 0 &&
           zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, settings->secret_key,
                          LINK_KEY_SIZE) == 0;
}

static int
compare_peers(const void *left, const void *right)
{
    const link_peer *a = left;
    const link_peer *b = right;

    if (a->id == b->id) {
        return 0;
    }
    return a->id < b->id ? -1 : 1;
}

static link_peer *
find_peer(const link_transport *link, lv_id id)
{
    link_peer key = {.id = id};

    if (link->peer_count == 0) {
        return NULL;
    }
    return bsearch(&key, link->peers, link->peer_count, sizeof key,
                   compare_peers);
}

/* Learns the address that a peer sends in the body of a PING. Peers that are
 * known already are skipped, so that the lists take precedence. */
static void
learn_peer(link_transport *link, const msg_message *message)
{
    link_peer peer = {.id = message->sender};
    link_peer *peers;

    if (find_peer(link, peer.id) != NULL || peer.id == link->settings.self ||
        peer.id == LV_ID_NONE || message->body_size >= sizeof peer.address ||
        link->learned_count == LINK_LEARNED_PEERS_MAX) {
        return;
    }
    memcpy(peer.address, message->body, message->body_size);
    if (!val_check_address(peer.address, NULL)) {
        return;
    }
    peers = realloc(link->peers, (link->peer_count + 1) * sizeof *peers);
    if (peers == NULL) {
        return;
    }
    peers[link->peer_count++] = peer;
    link->peers = peers;
    link->learned_count++;
    qsort(peers, link->peer_count, sizeof *peers, compare_peers);
}

/* Returns whether the message is valid. */
static bool
receive_payload(link_transport *link, zmq_msg_t *payload)
{
    size_t size = zmq_msg_size(payload);
    msg_message message;

    link->counts.received++;
    link->counts.received_bytes += size;
    if (!msg_decode(zmq_msg_data(payload), size, &message, &link->buffer,
                    NULL)) {
        link->counts.dropped_malformed++;
        return false;
    }
    if (message.kind == MSG_PING && message.body_size > 0) {
        learn_peer(link, &message);
    }
    link->on_message(link->context, &message);
    return true;
}

/* Size of a frame on the wire, in ZMTP without encryption. */
static size_t
wire_size(zmq_msg_t *frame)
{
    size_t size = zmq_msg_size(frame);

    return size + (size > UINT8_MAX ? 1 + sizeof(uint64_t) : 2);
}

/* Receives one message of two frames: the connection's identity and the
 * payload. Messages with another number of frames are dropped. Returns false
 * when no message is queued. */
static bool
receive_message(link_transport *link)
{
    zmq_msg_t frame;
    size_t size = 0;
    int frame_count = 0;
    bool has_more = true;

    while (has_more) {
        zmq_msg_init(&frame);
        if (zmq_msg_recv(&frame, link->router, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&frame);
            return false;
        }
        has_more = zmq_msg_more(&frame);
        frame_count++;
        size += frame_count > 1 ? wire_size(&frame) : 0;
        if (!has_more) {
            int socket = zmq_msg_get(&frame, ZMQ_SRCFD);
            bool is_valid = frame_count == 2 && receive_payload(link, &frame);

            link_note_message(link, socket, size, is_valid);
        }
        zmq_msg_close(&frame);
    }
    link->counts.dropped_malformed += frame_count != 2;
    return true;
}

static void on_idle(uv_idle_t *handle);

static void
set_idle_active(link_transport *link, bool is_active)
{
    if (is_active == link->is_idle_active) {
        return;
    }
    link->is_idle_active = is_active;
    if (is_active) {
        uv_idle_start(&link->idle, on_idle);
    }
    else {
        uv_idle_stop(&link->idle);
    }
}

void
link_receive_batch(link_transport *link)
{
    uint32_t received = 0;

    while (received < MESSAGES_PER_BATCH && receive_message(link)) {
        received++;
    }
    set_idle_active(link, received == MESSAGES_PER_BATCH);
}

static void
on_idle(uv_idle_t *handle)
{
    link_receive_batch(handle->data);
}

static void
on_readable(uv_poll_t *handle, int status, int events)
{
    (void)status;
    (void)events;
    link_receive_batch(handle->data);
}

static void
on_prepare(uv_prepare_t *handle)
{
    link_receive_batch(handle->data);
}

bool
link_init(link_transport *link, uv_loop_t *loop, const link_settings *settings,
          link_on_message *on_message, void *context, err_error *error)
{
    char address[LV_ADDRESS_SIZE + 8];

    memset(link, 0, sizeof *link);
    link->loop = loop;
    link->settings = *settings;
    link->on_message = on_message;
    link->context = context;
    msg_buffer_init(&link->buffer);
    link->zmq = zmq_ctx_new();
    if (link->zmq == NULL) {
        return link_set_zmq_error(error, "raise the limit of open files",
                                  "cannot create the ZeroMQ context");
    }
    if (!link_open_authenticator(link, error)) {
        goto close_context;
    }
    link->router = zmq_socket(link->zmq, ZMQ_ROUTER);
    if (link->router == NULL || !set_socket_options(link, link->router) ||
        !set_server_keys(link, link->router)) {
        link_set_zmq_error(error, "check [peers] keys",
                           "cannot open the socket for peer messages");
        goto close_sockets;
    }
    if (!link_open_inbound(link, error)) {
        goto close_sockets;
    }
    snprintf(address, sizeof address, "tcp://%s", settings->bind_address);
    if (zmq_bind(link->router, address) != 0) {
        link_set_zmq_error(error, BIND_REMEDY, settings->bind_address);
        goto close_inbound;
    }
    uv_poll_init(loop, &link->poll, link_poll_descriptor(link->router));
    uv_prepare_init(loop, &link->prepare);
    uv_idle_init(loop, &link->idle);
    link->poll.data = link;
    link->prepare.data = link;
    link->idle.data = link;
    uv_poll_start(&link->poll, UV_READABLE, on_readable);
    uv_prepare_start(&link->prepare, on_prepare);
    return true;
close_inbound:
    link_close_inbound(link);
close_sockets:
    if (link->router != NULL) {
        zmq_close(link->router);
    }
    link_close_authenticator(link);
close_context:
    zmq_ctx_term(link->zmq);
    return false;
}

static void
close_peer_socket(link_peer *peer)
{
    if (peer->socket != NULL) {
        zmq_close(peer->socket);
        peer->socket = NULL;
    }
}

void
link_finish(link_transport *link)
{
    uv_poll_stop(&link->poll);
    uv_close((uv_handle_t *)&link->poll, NULL);
    uv_close((uv_handle_t *)&link->prepare, NULL);
    uv_close((uv_handle_t *)&link->idle, NULL);
    for (uint32_t i = 0; i < link->peer_count; i++) {
        close_peer_socket(&link->peers[i]);
    }
    free(link->peers);
    link_close_inbound(link);
    zmq_close(link->router);
    link_close_authenticator(link);
    zmq_ctx_term(link->zmq);
    msg_buffer_finish(&link->buffer);
}

/* Binds the source address of outgoing connections to the IP address that this
 * instance listens on, so that firewalls and peers can distinguish instances
 * on one machine. A wildcard address sets no source address. */
static void
format_peer_address(const link_transport *link, const link_peer *peer,
                    char address[PEER_ADDRESS_SIZE])
{
    const char *bind = link->settings.bind_address;
    const char *colon = strrchr(bind, ':');
    int length = colon != NULL ? (int)(colon - bind) : 0;

    if (length == 0 || strncmp(bind, "0.0.0.0:", 8) == 0 ||
        strncmp(bind, "[::]:", 5) == 0 || strncmp(bind, "*:", 2) == 0) {
        snprintf(address, PEER_ADDRESS_SIZE, "tcp://%s", peer->address);
        return;
    }
    snprintf(address, PEER_ADDRESS_SIZE, "tcp://%.*s:0;%s", length, bind,
             peer->address);
}

static void
connect_peer(link_transport *link, link_peer *peer)
{
    char address[PEER_ADDRESS_SIZE];

    peer->socket = zmq_socket(link->zmq, ZMQ_DEALER);
    if (peer->socket == NULL) {
        return;
    }
    format_peer_address(link, peer, address);
    if (!set_socket_options(link, peer->socket) ||
        !set_int_option(peer->socket, ZMQ_IMMEDIATE, 1) ||
        !set_client_keys(link, peer->socket) ||
        zmq_connect(peer->socket, address) != 0) {
        close_peer_socket(peer);
    }
}

/* Moves the open connection of a peer whose address is unchanged to its new
 * entry. */
static void
reuse_socket(link_transport *link, link_peer *peer)
{
    link_peer *old = find_peer(link, peer->id);

    if (old != NULL && strcmp(old->address, peer->address) == 0) {
        peer->socket = old->socket;
        old->socket = NULL;
    }
}

void
link_set_lists(link_transport *link, const lists_snapshot *lists)
{
    uint32_t count = lists->instance_count;
    link_peer *peers = calloc(count + 1, sizeof *peers);

    if (peers == NULL) {
        return;
    }
    for (uint32_t i = 0; i < count; i++) {
        peers[i].id = lists->instances[i].id;
        memcpy(peers[i].address, lists->instances[i].peer,
               sizeof peers[i].address);
        reuse_socket(link, &peers[i]);
    }
    for (uint32_t i = 0; i < link->peer_count; i++) {
        close_peer_socket(&link->peers[i]);
    }
    free(link->peers);
    link->peers = peers;
    link->peer_count = count;
    link->learned_count = 0;
    qsort(peers, count, sizeof *peers, compare_peers);
    for (uint32_t i = 0; count <= LINK_EAGER_PEERS_MAX && i < count; i++) {
        if (peers[i].socket == NULL && peers[i].id != link->settings.self) {
            connect_peer(link, &peers[i]);
        }
    }
}

void
link_send(link_transport *link, lv_id to, const msg_message *message)
{
    link_peer *peer = find_peer(link, to);
    char *bytes;
    size_t size;

    if (peer == NULL) {
        link->counts.dropped_unknown_receiver++;
        return;
    }
    if (peer->socket == NULL) {
        connect_peer(link, peer);
    }
    if (peer->socket == NULL || !msg_encode(message, &bytes, &size, NULL)) {
        link->counts.dropped_full++;
        return;
    }
    if (zmq_send(peer->socket, bytes, size, ZMQ_DONTWAIT) < 0) {
        link->counts.dropped_full++;
    }
    else {
        link->counts.sent++;
        link->counts.sent_bytes += size;
    }
    free(bytes);
}

bool
link_generate_keys(char public_key[LINK_KEY_SIZE],
                   char secret_key[LINK_KEY_SIZE], err_error *error)
{
    if (zmq_curve_keypair(public_key, secret_key) != 0) {
        return link_set_zmq_error(error, "install a libzmq with CURVE support",
                                  "cannot generate CURVE keys");
    }
    return true;
}
