#include <string.h>

#include "lavender/hash.h"
#include "peers-imp.h"

/* In a smaller fleet, reporting everything to all instances costs about the
 * same, and no request has to wait for a grant. */
#define LARGE_FLEET_INSTANCES 24

/* A coordinator that did not reply gets no start requests for this long: it
 * may be paused, and each request would wait for its timeout. */
#define UNANSWERED_BACKOFF LV_SECOND

bool
peers_is_large_fleet(const peers_state *peers)
{
    return peers->max_live_count + 1 >= LARGE_FLEET_INSTANCES;
}

static bool
is_backed_off(const peers_peer *peer, lv_time now)
{
    return peer->unanswered_at != 0 &&
           lv_elapsed(now, peer->unanswered_at) < UNANSWERED_BACKOFF;
}

/* The candidate with the highest rendezvous weight; NULL: this instance. A
 * start request skips peers that recently did not reply. */
static peers_peer *
find_coordinator(const peers_state *peers, lv_id key, bool is_start_request,
                 lv_time now)
{
    uint64_t best = 0;
    peers_peer *coordinator = NULL;
    uint32_t i;

    if (peers->can_coordinate) {
        best = hrw_weight(peers_pack_address(&peers->settings.bind), key);
    }
    for (i = 0; i < peers->count; i++) {
        peers_peer *peer = &peers->peers[i];
        uint64_t weight;

        if (!peer->is_live || !peer->can_coordinate ||
            (is_start_request && is_backed_off(peer, now))) {
            continue;
        }
        weight = hrw_weight(peers_pack_address(&peer->address), key);
        if (weight > best) {
            best = weight;
            coordinator = peer;
        }
    }
    return coordinator;
}

peers_peer *
peers_find_coordinator(const peers_state *peers, lv_id key)
{
    return find_coordinator(peers, key, false, 0);
}

bool
peers_is_coordinator(const peers_state *peers, lv_id key)
{
    return peers_find_coordinator(peers, key) == NULL;
}

bool
peers_request_start(peers_state *peers, const peers_start_request *request,
                    bool is_limited, lv_time now, struct sockaddr_in *address)
{
    const peers_peer *coordinator;
    buf_buffer datagram;

    if (!peers_is_large_fleet(peers) && !is_limited) {
        return false;
    }
    /* Only one instance may count the starts at a limited endpoint. */
    coordinator = find_coordinator(peers, request->endpoint, !is_limited, now);
    if (coordinator == NULL) {
        return false;
    }
    buf_init(&datagram);
    peers_write_start_request(peers, request, &datagram);
    if (!datagram.has_failed) {
        peers_send_datagram(peers, &datagram, &coordinator->address);
        peers->counts.starts_requested++;
        *address = coordinator->address;
    }
    buf_finish(&datagram);
    return !datagram.has_failed;
}

void
peers_note_unanswered(peers_state *peers,
                      const struct sockaddr_in *coordinator, lv_time now)
{
    peers_peer *peer = peers_find(peers, coordinator);

    peers->counts.starts_unanswered++;
    if (peer != NULL) {
        peer->unanswered_at = now;
    }
}
