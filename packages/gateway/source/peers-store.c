#include "peers-imp.h"

/* Every datagram of this long names an endpoint that leaves: some are lost,
 * and some instances join late. */
#define LEAVING_TIME (3 * LV_SECOND)

void
peers_report_unlisted(peers_state *peers, lv_id endpoint, uint64_t revision,
                      lv_time now)
{
    uint32_t i;

    for (i = peers->leaving_count; i > 0; i--) {
        if (now >= peers->leaving[i - 1].until ||
            peers->leaving[i - 1].endpoint == endpoint) {
            peers->leaving[i - 1] = peers->leaving[--peers->leaving_count];
        }
    }
    if (peers->leaving_count < PEERS_LEAVING_MAX) {
        peers->leaving[peers->leaving_count].endpoint = endpoint;
        peers->leaving[peers->leaving_count].revision = revision;
        peers->leaving[peers->leaving_count].until = now + LEAVING_TIME;
        peers->leaving_count++;
    }
}

/* One instance that the store turns away says nothing of the store. */
bool
peers_is_store_unreachable(const peers_state *peers)
{
    uint32_t missing = !peers->is_store_reachable;
    uint32_t i;

    for (i = 0; i < peers->count; i++) {
        missing += peers->peers[i].is_live && !peers->peers[i].reads_store;
    }
    return missing * 2 > peers->live_count;
}
