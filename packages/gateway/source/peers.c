#include "lavender-gateway/peers.h"

#include <stdlib.h>
#include <string.h>

#include "lavender-gateway/io.h"
#include "peers-imp.h"

#define DATAGRAM_SIZE ((size_t)16 * 1024)

/* Fewer peers than this are told at the full rate; with more the interval
 * grows, so that an instance's control traffic stays about the same. */
#define FULL_RATE_PEERS 8

/* Keepers know of starts already, since they granted them; what has ended
 * may be a tenth of a second old. */
#define KEEPER_NEWS_INTERVAL (100 * LV_MILLISECOND)

/* A peer is gone when so many heartbeats are missing; some are just lost. */
#define HEARTBEATS_LOST 4

static char receive_buffer[DATAGRAM_SIZE];

static void
report(peers_state *peers, const char *what, const peers_peer *peer)
{
    char host[INET_ADDRSTRLEN] = "";
    char text[LV_ADDRESS_SIZE];

    if (peers->on_change != NULL) {
        uv_ip4_name(&peer->address, host, sizeof host);
        snprintf(text, sizeof text, "%s:%u", host,
                 (unsigned)(peers_pack_address(&peer->address) & 0xffff));
        peers->on_change(peers->owner, what, text);
    }
}

static lv_time
news_interval(const peers_state *peers)
{
    uint32_t live = peers->live_count;

    if (live <= FULL_RATE_PEERS) {
        return peers->settings.interval;
    }
    return peers->settings.interval * live / FULL_RATE_PEERS;
}

static lv_time
silence_bound(const peers_state *peers)
{
    lv_time several = news_interval(peers) * HEARTBEATS_LOST;

    return several > peers->settings.silence_timeout
               ? several
               : peers->settings.silence_timeout;
}

void
peers_expire(peers_state *peers, lv_time now)
{
    uint32_t i;

    eng_expire_summaries(peers->endpoints, now);
    for (i = peers->count; i > 0; i--) {
        peers_peer *peer = &peers->peers[i - 1];
        lv_time silent = lv_elapsed(now, peer->heard_at);

        peers_drop_old_loads(peers, peer, now);
        if (peer->is_live && silent >= silence_bound(peers)) {
            peer->is_live = false;
            peer->has_told_all = false;
            peers->live_count--;
            peers_withdraw(peers, peer, now);
            report(peers, "lost", peer);
        }
        if (!peer->is_live && peer->heard_at != 0 &&
            silent >= peers->settings.forget_timeout) {
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
peers_report_block_use(peers_state *peers, lv_handle endpoint, uint64_t chain)
{
    if (peers->use_count < PEERS_USES_MAX) {
        peers->uses[peers->use_count].endpoint =
            eng_at(peers->endpoints, endpoint)->spec.id;
        peers->uses[peers->use_count].chain = chain;
        peers->use_count++;
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
peers_send(peers_state *peers, const buf_buffer *datagram,
           const struct sockaddr_in *address)
{
    if (peers->send(peers, datagram, address)) {
        peers->counts.sent_bytes += datagram->size;
        peers->counts.sent_datagrams++;
    }
}

static bool
is_due(const peers_state *peers, const peers_peer *peer, lv_time now)
{
    return peer->is_live ||
           lv_elapsed(now, peer->tried_at) >= peers->settings.seed_interval;
}

static void
send_to_peers(peers_state *peers, const buf_buffer *datagram, lv_time now)
{
    uint32_t i;

    for (i = 0; i < peers->count; i++) {
        peers_peer *peer = &peers->peers[i];

        if (is_due(peers, peer, now)) {
            peer->tried_at = now;
            peers_send(peers, datagram, &peer->address);
        }
    }
}

static bool
has_news(const peers_state *peers)
{
    uint32_t i, j;

    if (peers->use_count > 0) {
        return true;
    }
    for (i = 0; i < peers->endpoints->capacity; i++) {
        const eng_endpoint *endpoint = &peers->endpoints->endpoints[i];

        for (j = 0; endpoint->is_used && j < peers->said.count; j++) {
            if (peers->said.rows[j].endpoint == endpoint->spec.id &&
                memcmp(&peers->said.rows[j].load, &endpoint->local,
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

/* To all, as long as the fleet is small. */
static void
tell_all(peers_state *peers, peers_kind kind, lv_time now)
{
    buf_buffer datagram;

    buf_init(&datagram);
    peers_write(peers, kind, now, &datagram);
    if (!datagram.has_failed) {
        send_to_peers(peers, &datagram, now);
    }
    buf_finish(&datagram);
}

static void
tell_large_fleet(peers_state *peers, bool is_full, lv_time now)
{
    if (is_full || (lv_elapsed(now, peers->news_at) >= KEEPER_NEWS_INTERVAL &&
                    has_news(peers))) {
        peers->news_at = now;
        peers_send_news(peers, is_full ? PEERS_FULL : PEERS_NEWS);
    }
    if (lv_elapsed(now, peers->state_at) >= news_interval(peers)) {
        peers->state_at = now;
        tell_all(peers, PEERS_STATE, now);
    }
}

static void
tell_small_fleet(peers_state *peers, bool is_full, lv_time now)
{
    lv_time passed = lv_elapsed(now, peers->sent_at);

    if (passed < news_interval(peers) ||
        (!is_full && !has_news(peers) &&
         passed < peers->settings.idle_interval)) {
        return;
    }
    peers->sent_at = now;
    tell_all(peers, is_full ? PEERS_FULL : PEERS_NEWS, now);
    if (is_full) {
        peers->full_at = now;
    }
}

void
peers_tell(peers_state *peers, lv_time now)
{
    bool is_full =
        lv_elapsed(now, peers->full_at) >= peers->settings.full_interval;

    if (!peers_is_large_fleet(peers)) {
        tell_small_fleet(peers, is_full, now);
        return;
    }
    if (lv_elapsed(now, peers->sent_at) >= peers->settings.interval) {
        peers->sent_at = now;
        tell_large_fleet(peers, is_full, now);
        if (is_full) {
            peers->full_at = now;
        }
    }
}

static void
on_timer(uv_timer_t *timer)
{
    peers_state *peers = timer->data;
    lv_time now = io_now();

    add_seeds(peers);
    peers_expire(peers, now);
    peers_tell(peers, now);
}

static void
allocate(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
    (void)handle;
    (void)size;
    *buffer = uv_buf_init(receive_buffer, DATAGRAM_SIZE);
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
    if (peers_take(peers, address, buffer->base, (size_t)size, io_now()) &&
        !was_live) {
        report(peers, "joined", peers_find(peers, address));
    }
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
        return err_set(error, ERR_SYSTEM,
                       "give [listen] peer an address that is free",
                       "the socket for the peers cannot be opened");
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
    free(peers->said.rows);
    free(peers->said_accounts.rows);
}
