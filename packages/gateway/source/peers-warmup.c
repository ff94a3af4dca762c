#include "lavender/hash.h"
#include "peers-imp.h"

/* Entries in one datagram; successive datagrams list different ones. At 1,500
 * instances each hears every cold endpoint from many of them. */
#define WARMUPS_MAX 8

void
peers_note_readiness(peers_state *peers, lv_time now)
{
    if (peers->can_coordinate && peers->ready_at == 0) {
        peers->ready_at = now;
    }
}

/* Was a peer heard so lately that others may still hold it to be live? */
static bool
was_live(const peers_state *peers, const peers_peer *peer, lv_time now)
{
    return peer->is_live ||
           (peer->received_at != 0 &&
            lv_elapsed(now, peer->received_at) <
                peers_silence_timeout(peers) + WRM_TAKEOVER_TIME);
}

/* Counts the instances that were heard lately. At first also those that are
 * known by address alone: addresses of instances that ended are kept, too. */
static uint32_t
count_known(const peers_state *peers, lv_time joined_for)
{
    uint32_t known = 1;
    uint32_t i;

    if (joined_for < peers->settings.forget_timeout) {
        return peers->count + 1;
    }
    for (i = 0; i < peers->count; i++) {
        known += peers->peers[i].received_at != 0;
    }
    return known;
}

void
peers_view_coordinator(const peers_state *peers, lv_id endpoint, lv_time now,
                       wrm_view *view)
{
    uint64_t own =
        peers->can_coordinate
            ? hrw_weight(peers_pack_address(&peers->settings.bind), endpoint)
            : 0;
    uint32_t i;

    view->has_coordinator = false;
    view->had_coordinator = false;
    view->joined_for =
        peers->ready_at != 0 ? lv_elapsed(now, peers->ready_at) : 0;
    view->live = peers->live_count + 1;
    view->known = count_known(peers, view->joined_for);
    view->max_instances = peers_max_instances(peers);
    for (i = 0; i < peers->count; i++) {
        const peers_peer *peer = &peers->peers[i];

        if (!peer->can_coordinate || !was_live(peers, peer, now) ||
            hrw_weight(peers_pack_address(&peer->address), endpoint) <= own) {
            continue;
        }
        view->had_coordinator = true;
        view->has_coordinator = view->has_coordinator || peer->is_live;
    }
}

void
peers_pack_warmups(const peers_state *peers, lv_time now,
                   msgpack_packer *packer)
{
    const eng_table *table = peers->endpoints;
    lv_handle cold[WARMUPS_MAX];
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < table->capacity && count < WARMUPS_MAX; i++) {
        lv_handle row = (peers->sequence * WARMUPS_MAX + i) % table->capacity;
        const eng_endpoint *endpoint = &table->endpoints[row];

        if (endpoint->is_used && wrm_own_left(&endpoint->warmup, now) > 0) {
            cold[count++] = row;
        }
    }
    msgpack_pack_array(packer, (size_t)count * 2);
    for (i = 0; i < count; i++) {
        const eng_endpoint *endpoint = &table->endpoints[cold[i]];

        msgpack_pack_uint64(packer, endpoint->spec.id);
        msgpack_pack_uint64(packer, wrm_own_left(&endpoint->warmup, now) /
                                        LV_MILLISECOND);
    }
}

void
peers_apply_warmups(peers_state *peers, const peers_peer *peer,
                    const msgpack_object_array *list)
{
    uint32_t i;

    for (i = 0; peers->on_cold != NULL && i < list->size; i += 2) {
        lv_handle row = eng_find(peers->endpoints, list->ptr[i].via.u64);
        uint64_t left_ms = list->ptr[i + 1].via.u64;

        if (row != LV_HANDLE_NONE && left_ms <= PEERS_COLD_MAX_MS) {
            peers->on_cold(peers->owner, row, left_ms * LV_MILLISECOND,
                           peer->incarnation);
        }
    }
}
