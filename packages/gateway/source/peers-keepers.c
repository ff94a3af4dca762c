#include <string.h>

#include "lavender/hash.h"
#include "peers-imp.h"

/* With fewer instances, telling everything to all costs about the same and
 * no request waits for a keeper. */
#define LARGE_FLEET 24

/* A keeper that did not answer is not asked for so long: it may be paused,
 * and the requests have better to do than to wait for it. */
#define KEEPER_PENALTY LV_SECOND

bool
peers_is_large_fleet(const peers_state *peers)
{
    return peers->max_live_count + 1 >= LARGE_FLEET;
}

static bool
is_silent(const peers_peer *peer, lv_time now)
{
    return peer->unanswered_at != 0 &&
           lv_elapsed(now, peer->unanswered_at) < KEEPER_PENALTY;
}

/* The best by weight; for a question, of those that answer. */
static peers_peer *
find_best(const peers_state *peers, lv_id key, bool is_question, lv_time now)
{
    uint64_t best = 0;
    peers_peer *keeper = NULL;
    uint32_t i;

    if (peers->can_coordinate) {
        best = hrw_weight(peers_pack_address(&peers->settings.bind), key);
    }
    for (i = 0; i < peers->count; i++) {
        peers_peer *peer = &peers->peers[i];
        uint64_t weight;

        if (!peer->is_live || !peer->can_keep ||
            (is_question && is_silent(peer, now))) {
            continue;
        }
        weight = hrw_weight(peers_pack_address(&peer->address), key);
        if (weight > best) {
            best = weight;
            keeper = peer;
        }
    }
    return keeper;
}

peers_peer *
peers_find_keeper(const peers_state *peers, lv_id key)
{
    return find_best(peers, key, false, 0);
}

bool
peers_is_coordinator(const peers_state *peers, lv_id key)
{
    return peers_find_keeper(peers, key) == NULL;
}

bool
peers_request_start(peers_state *peers, const peers_start_request *ask,
                    lv_time now, struct sockaddr_in *asked)
{
    const peers_peer *keeper;
    buf_buffer datagram;

    if (!peers_is_large_fleet(peers)) {
        return false;
    }
    keeper = find_best(peers, ask->endpoint, true, now);
    if (keeper == NULL) {
        return false;
    }
    buf_init(&datagram);
    peers_write_ask(peers, ask, &datagram);
    if (!datagram.has_failed) {
        peers_send(peers, &datagram, &keeper->address);
        peers->counts.starts_requested++;
        *asked = keeper->address;
    }
    buf_finish(&datagram);
    return !datagram.has_failed;
}

void
peers_note_unanswered(peers_state *peers, const struct sockaddr_in *keeper,
                      lv_time now)
{
    peers_peer *peer = peers_find(peers, keeper);

    peers->counts.starts_unanswered++;
    if (peer != NULL) {
        peer->unanswered_at = now;
    }
}
