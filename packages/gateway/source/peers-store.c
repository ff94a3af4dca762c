#include "peers-imp.h"

/* Datagrams name an unlisted endpoint for this long: some are lost, and some
 * instances join late. */
#define UNLISTED_REPORT_TIME (3 * LV_SECOND)

void
peers_report_unlisted(peers_state *peers, lv_id endpoint, uint64_t era,
                      uint64_t revision, lv_time now)
{
    uint32_t i;

    for (i = peers->unlisted_count; i > 0; i--) {
        if (now >= peers->unlisted[i - 1].report_until ||
            peers->unlisted[i - 1].endpoint == endpoint) {
            peers->unlisted[i - 1] = peers->unlisted[--peers->unlisted_count];
        }
    }
    if (peers->unlisted_count < PEERS_UNLISTED_MAX) {
        peers->unlisted[peers->unlisted_count].endpoint = endpoint;
        peers->unlisted[peers->unlisted_count].era = era;
        peers->unlisted[peers->unlisted_count].revision = revision;
        peers->unlisted[peers->unlisted_count].report_until =
            now + UNLISTED_REPORT_TIME;
        peers->unlisted_count++;
    }
}

/* True when at least half of the instances cannot reach it: a few may be cut
 * off while the store is up. */
bool
peers_is_store_unreachable(const peers_state *peers)
{
    uint32_t instances = peers->live_count + 1;
    uint32_t unreachable = !peers->is_store_reachable;
    uint32_t i;

    for (i = 0; i < peers->count; i++) {
        unreachable +=
            peers->peers[i].is_live && !peers->peers[i].is_store_reachable;
    }
    return unreachable * 2 >= instances;
}

lv_time
peers_find_list(const peers_state *peers, const struct sockaddr_in *address)
{
    uint64_t packed = peers_pack_address(address);
    uint32_t i;

    for (i = 0; i < peers->count; i++) {
        if (peers_pack_address(&peers->peers[i].address) == packed) {
            return peers->peers[i].list_complete_until;
        }
    }
    return 0;
}

uint64_t
peers_newest_config(const peers_state *peers)
{
    uint64_t newest = 0;
    uint32_t i;

    for (i = 0; i < peers->count; i++) {
        const peers_peer *peer = &peers->peers[i];

        if (peer->is_live && peer->config_version > newest) {
            newest = peer->config_version;
        }
    }
    return newest;
}
