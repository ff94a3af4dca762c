#include "lavender-gateway/peers.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "lavender-gateway/io.h"
#include "peers-imp.h"

#define RECEIVE_BUFFER_SIZE ((size_t)16 * 1024)

/* Up to this many live peers receive datagrams at the full rate. With more the
 * interval grows in proportion, so that the control traffic of an instance
 * stays about constant. */
#define FULL_RATE_PEERS 8

/* Coordinators already know of starts, which they granted; only completed
 * requests may be out of date by this long. */
#define COORDINATOR_UPDATE_INTERVAL (100 * LV_MILLISECOND)

/* Heartbeats that must be missing in a row until a peer is considered lost;
 * fewer may be packet loss. */
#define MISSED_HEARTBEATS 4

/* Bounds the time for datagrams in a turn of the loop; several seconds of them
 * in a fleet of 300. */
#define DRAINED_DATAGRAMS_MAX 4096

static char receive_buffer[RECEIVE_BUFFER_SIZE];

static void
report_change(peers_state *peers, const char *change, const peers_peer *peer)
{
    char host[INET_ADDRSTRLEN] = "";
    char text[LV_ADDRESS_SIZE];

    if (peers->on_change != NULL) {
        uv_ip4_name(&peer->address, host, sizeof host);
        snprintf(text, sizeof text, "%s:%u", host,
                 (unsigned)(peers_pack_address(&peer->address) & 0xffff));
        peers->on_change(peers->owner, change, text);
    }
}

lv_time
peers_broadcast_interval(const peers_state *peers)
{
    uint32_t live = peers->live_count;

    if (live <= FULL_RATE_PEERS) {
        return peers->settings.interval;
    }
    return peers->settings.interval * live / FULL_RATE_PEERS;
}

/* The silence timeout of the settings, but at least MISSED_HEARTBEATS update
 * intervals, which grow with the fleet. */
lv_time
peers_silence_timeout(const peers_state *peers)
{
    lv_time heartbeats = peers_broadcast_interval(peers) * MISSED_HEARTBEATS;

    return heartbeats > peers->settings.silence_timeout
               ? heartbeats
               : peers->settings.silence_timeout;
}

/* A late tick counts as PEERS_LATE_TICK of silence, however late it is: what
 * the peers sent meanwhile may have been dropped by a full socket. */
static void
excuse_silence(peers_state *peers, lv_time now)
{
    lv_time elapsed = lv_elapsed(now, peers->expired_at);
    uint32_t i;

    if (peers->expired_at != 0 && elapsed >= PEERS_LATE_TICK) {
        for (i = 0; i < peers->count; i++) {
            peers_peer *peer = &peers->peers[i];

            if (peer->received_at != 0 && peer->received_at < now) {
                peer->received_at += elapsed - PEERS_LATE_TICK;
                if (peer->received_at > now) {
                    peer->received_at = now;
                }
            }
        }
    }
    peers->expired_at = now;
}

/* A silent peer may be cut off and serve on with the list that it has. */
static void
note_list_lag(peers_state *peers, lv_time since, lv_time now)
{
    uint32_t i;

    for (i = 0; i < peers->count; i++) {
        lv_time complete_until = peers->peers[i].list_complete_until;

        if (complete_until != 0) {
            lag_note(&peers->list_lag, complete_until, since, now);
        }
    }
}

void
peers_expire(peers_state *peers, lv_time now)
{
    uint32_t i;

    note_list_lag(peers, peers->expired_at != 0 ? peers->expired_at : now,
                  now);
    excuse_silence(peers, now);
    eng_expire_summaries(peers->endpoints, now);
    for (i = peers->count; i > 0; i--) {
        peers_peer *peer = &peers->peers[i - 1];
        lv_time silence_time = lv_elapsed(now, peer->received_at);

        peers_expire_loads(peers, peer, now);
        if (peer->is_live && silence_time >= peers_silence_timeout(peers)) {
            peer->is_live = false;
            peer->has_reported_all = false;
            peers->live_count--;
            peers_remove_contribution(peers, peer, now);
            report_change(peers, "lost", peer);
        }
        if (!peer->is_live && peer->received_at != 0 &&
            silence_time >= peers->settings.forget_timeout) {
            free(peer->loads.rows);
            free(peer->accounts.rows);
            *peer = peers->peers[--peers->count];
        }
    }
}

uint32_t
peers_max_instances(const peers_state *peers)
{
    return peers->max_live_count + 1;
}

void
peers_set_seeds(peers_state *peers, const struct sockaddr_in *seeds,
                uint32_t count)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        peers->settings.seeds[i] = seeds[i];
    }
    peers->settings.seed_count = count;
}

void
peers_report_block_use(peers_state *peers, lv_handle endpoint,
                       uint64_t prefix_hash)
{
    if (peers->block_use_count < PEERS_BLOCK_USES_MAX) {
        peers->block_uses[peers->block_use_count].endpoint =
            eng_at(peers->endpoints, endpoint)->spec.id;
        peers->block_uses[peers->block_use_count].prefix_hash = prefix_hash;
        peers->block_use_count++;
    }
}

static bool
send_by_socket(peers_state *peers, const buf_buffer *datagram,
               const struct sockaddr_in *address)
{
    uv_buf_t buffer =
        uv_buf_init(datagram->data, (unsigned int)datagram->size);

    return uv_udp_try_send(&peers->socket, &buffer, 1,
                           (const struct sockaddr *)address) >= 0;
}

void
peers_send_datagram(peers_state *peers, const buf_buffer *datagram,
                    const struct sockaddr_in *address)
{
    if (peers->send(peers, datagram, address)) {
        peers->counts.sent_bytes += datagram->size;
        peers->counts.sent_datagrams++;
    }
}

static bool
is_send_due(const peers_state *peers, const peers_peer *peer, lv_time now)
{
    return peer->is_live || lv_elapsed(now, peer->last_sent_at) >=
                                peers->settings.seed_interval;
}

static void
send_to_due_peers(peers_state *peers, const buf_buffer *datagram, lv_time now)
{
    uint32_t i;

    for (i = 0; i < peers->count; i++) {
        peers_peer *peer = &peers->peers[i];

        if (is_send_due(peers, peer, now)) {
            peer->last_sent_at = now;
            peers_send_datagram(peers, datagram, &peer->address);
        }
    }
}

static bool
has_pending_updates(const peers_state *peers, lv_time now)
{
    uint32_t i, j;

    if (peers->block_use_count > 0 || peers_has_reports(peers, now)) {
        return true;
    }
    for (i = 0; i < peers->endpoints->capacity; i++) {
        const eng_endpoint *endpoint = &peers->endpoints->endpoints[i];

        for (j = 0; endpoint->is_used && j < peers->reported_loads.count;
             j++) {
            if (peers->reported_loads.rows[j].endpoint == endpoint->spec.id &&
                memcmp(&peers->reported_loads.rows[j].load, &endpoint->local,
                       sizeof endpoint->local) != 0) {
                return true;
            }
        }
    }
    return false;
}

static void
add_seeds(peers_state *peers)
{
    uint32_t i;

    for (i = 0; i < peers->settings.seed_count; i++) {
        peers_add(peers, &peers->settings.seeds[i]);
    }
}

static void
send_to_all(peers_state *peers, peers_datagram_kind kind, lv_time now)
{
    buf_buffer datagram;

    buf_init(&datagram);
    peers_write_datagram(peers, kind, now, &datagram);
    if (!datagram.has_failed) {
        send_to_due_peers(peers, &datagram, now);
    }
    buf_finish(&datagram);
}

static void
send_in_large_fleet(peers_state *peers, bool is_full, lv_time now)
{
    if (is_full || (lv_elapsed(now, peers->last_updates_at) >=
                        COORDINATOR_UPDATE_INTERVAL &&
                    has_pending_updates(peers, now))) {
        peers->last_updates_at = now;
        peers_send_to_coordinators(peers, is_full ? PEERS_FULL : PEERS_UPDATES,
                                   now);
    }
    if (lv_elapsed(now, peers->last_sums_at) >=
        peers_broadcast_interval(peers)) {
        peers->last_sums_at = now;
        send_to_all(peers, PEERS_SUMS, now);
    }
}

static void
send_in_small_fleet(peers_state *peers, bool is_full, lv_time now)
{
    lv_time elapsed = lv_elapsed(now, peers->sent_at);

    if (elapsed < peers_broadcast_interval(peers) ||
        (!is_full && !has_pending_updates(peers, now) &&
         elapsed < peers->settings.idle_interval)) {
        return;
    }
    peers->sent_at = now;
    send_to_all(peers, is_full ? PEERS_FULL : PEERS_UPDATES, now);
    if (is_full) {
        peers->last_full_at = now;
    }
}

void
peers_send_due(peers_state *peers, lv_time now)
{
    bool is_full =
        lv_elapsed(now, peers->last_full_at) >= peers->settings.full_interval;

    if (!peers_is_large_fleet(peers)) {
        send_in_small_fleet(peers, is_full, now);
        return;
    }
    if (lv_elapsed(now, peers->sent_at) >= peers->settings.interval) {
        peers->sent_at = now;
        send_in_large_fleet(peers, is_full, now);
        if (is_full) {
            peers->last_full_at = now;
        }
    }
}

static void
allocate(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
    (void)handle;
    (void)size;
    *buffer = uv_buf_init(receive_buffer, RECEIVE_BUFFER_SIZE);
}

static void
on_receive(uv_udp_t *socket, ssize_t size, const uv_buf_t *buffer,
           const struct sockaddr *from, unsigned flags)
{
    peers_state *peers = socket->data;
    const struct sockaddr_in *address = (const struct sockaddr_in *)from;
    const peers_peer *peer;
    bool was_live;

    (void)flags;
    if (size <= 0 || from == NULL) {
        return;
    }
    peers->counts.received_datagrams++;
    peer = peers_find(peers, address);
    was_live = peer != NULL && peer->is_live;
    if (peers_receive(peers, address, buffer->base, (size_t)size, io_now()) &&
        !was_live) {
        report_change(peers, "joined", peers_find(peers, address));
    }
}

void
peers_drain(peers_state *peers)
{
    uv_buf_t buffer = uv_buf_init(receive_buffer, RECEIVE_BUFFER_SIZE);
    struct sockaddr_in from;
    uv_os_fd_t descriptor;
    uint32_t i;

    if (uv_fileno((uv_handle_t *)&peers->socket, &descriptor) != 0) {
        return;
    }
    for (i = 0; i < DRAINED_DATAGRAMS_MAX; i++) {
        socklen_t from_size = sizeof from;
        ssize_t size =
            recvfrom(descriptor, receive_buffer, RECEIVE_BUFFER_SIZE,
                     MSG_DONTWAIT, (struct sockaddr *)&from, &from_size);

        if (size < 0) {
            return;
        }
        on_receive(&peers->socket, size, &buffer,
                   (const struct sockaddr *)&from, 0);
    }
}

static void
on_timer(uv_timer_t *timer)
{
    peers_state *peers = timer->data;
    lv_time now = io_now();

    add_seeds(peers);
    if (lv_elapsed(now, peers->expired_at) >= PEERS_LATE_TICK) {
        peers_drain(peers);
    }
    peers_expire(peers, now);
    peers_send_due(peers, now);
}

bool
peers_init(peers_state *peers, uv_loop_t *loop, const peers_settings *settings,
           eng_table *endpoints, shr_shares *shares, uint64_t incarnation,
           err_error *error)
{
    memset(peers, 0, sizeof *peers);
    peers->settings = *settings;
    peers->endpoints = endpoints;
    peers->shares = shares;
    peers->incarnation = incarnation;
    peers->send = send_by_socket;
    uv_udp_init(loop, &peers->socket);
    uv_timer_init(loop, &peers->timer);
    peers->socket.data = peers;
    peers->timer.data = peers;
    if (uv_udp_bind(&peers->socket, (const struct sockaddr *)&settings->bind,
                    0) != 0 ||
        uv_udp_recv_start(&peers->socket, allocate, on_receive) != 0) {
        return err_set(
            error, ERR_SYSTEM,
            "set [listen] peer to a local address that is not in use",
            "cannot open the UDP socket for peers");
    }
    uv_timer_start(&peers->timer, on_timer, 0,
                   settings->interval / LV_MILLISECOND / 2);
    return true;
}

void
peers_close(peers_state *peers)
{
    uv_close((uv_handle_t *)&peers->timer, NULL);
    uv_close((uv_handle_t *)&peers->socket, NULL);
}

void
peers_finish(peers_state *peers)
{
    uint32_t i;

    for (i = 0; i < peers->count; i++) {
        free(peers->peers[i].loads.rows);
        free(peers->peers[i].accounts.rows);
    }
    free(peers->peers);
    free(peers->reported_loads.rows);
    free(peers->reported_accounts.rows);
}
