#include "lavender/hash.h"
#include "peers-imp.h"

/* A pair of a stream's key changed by this and its service precedes the pair
 * of the key and the version. Instances of earlier releases take it for
 * another stream, which nobody asks for. */
#define SERVICE_MARK UINT64_C(0x73657276696365a5)

/* Writes the pairs of an origin and returns their number. */
static uint32_t
fill_pairs(uint64_t key, lv_id version, lv_id service, peers_origin *pairs)
{
    uint32_t count = 0;

    if (service != LV_ID_NONE) {
        pairs[count].key = key ^ SERVICE_MARK;
        pairs[count++].version = service;
    }
    pairs[count].key = key;
    pairs[count++].version = version;
    return count;
}

static void
send_origins(peers_state *peers, const peers_peer *peer,
             const peers_origin *origins, uint32_t count)
{
    buf_buffer datagram;

    buf_init(&datagram);
    peers_write_origins(peers, origins, count, &datagram);
    if (!datagram.has_failed) {
        peers_send_datagram(peers, &datagram, &peer->address);
    }
    buf_finish(&datagram);
}

/* Returns the live peer with the highest weight below `below`, which it
 * becomes; NULL: none. */
static const peers_peer *
find_next_holder(const peers_state *peers, uint64_t key, uint64_t *below)
{
    const peers_peer *holder = NULL;
    uint64_t best = 0;
    uint32_t i;

    for (i = 0; i < peers->count; i++) {
        const peers_peer *peer = &peers->peers[i];
        uint64_t weight;

        if (!peer->is_live) {
            continue;
        }
        weight = hrw_weight(peers_pack_address(&peer->address), key);
        if (weight < *below && weight >= best) {
            best = weight;
            holder = peer;
        }
    }
    *below = best;
    return holder;
}

static void
send_to_holders(peers_state *peers, uint64_t key, const peers_origin *origins,
                uint32_t count, uint32_t max)
{
    uint64_t below = UINT64_MAX;
    uint32_t i;

    for (i = 0; i < max; i++) {
        const peers_peer *holder = find_next_holder(peers, key, &below);

        if (holder == NULL) {
            return;
        }
        send_origins(peers, holder, origins, count);
    }
}

void
peers_tell_origin(peers_state *peers, uint64_t key, lv_id version,
                  lv_id service)
{
    peers_origin pairs[2];
    uint32_t count = fill_pairs(key, version, service, pairs);

    send_to_holders(peers, key, pairs, count, ORG_HOLDERS);
}

void
peers_ask_origin(peers_state *peers, uint64_t key, lv_id service)
{
    peers_origin questions[] = {{.key = key}, {.key = service}};

    send_to_holders(peers, key, questions, 2, ORG_ASKED);
}

static void
answer_question(peers_state *peers, const peers_peer *peer, uint64_t key)
{
    peers_origin pairs[2];
    lv_id service = LV_ID_NONE;
    lv_id version = peers->on_origin_question(peers->owner, key, &service);

    if (version != ORG_VERSION_NONE) {
        send_origins(peers, peer, pairs,
                     fill_pairs(key, version, service, pairs));
    }
}

void
peers_apply_origins(peers_state *peers, const peers_peer *peer,
                    const msgpack_object_array *origins)
{
    peers_origin before = {0};
    uint32_t i;

    for (i = 0; i < origins->size && peers->on_origin != NULL; i += 2) {
        peers_origin origin = {.key = origins->ptr[i].via.u64,
                               .version = origins->ptr[i + 1].via.u64};
        bool is_service =
            i + 2 < origins->size &&
            origins->ptr[i + 2].via.u64 == (origin.key ^ SERVICE_MARK);

        if (origin.version == ORG_VERSION_NONE) {
            answer_question(peers, peer, origin.key);
        }
        else if (!is_service) {
            bool has_service = before.key == (origin.key ^ SERVICE_MARK);

            peers->on_origin(peers->owner, origin.key, origin.version,
                             has_service ? before.version : LV_ID_NONE,
                             peer->incarnation);
        }
        before = origin;
    }
}
