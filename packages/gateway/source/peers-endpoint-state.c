#include "peers-imp.h"

/* Numbers in an entry of each list, in the order of the fields. */
static const uint32_t entry_sizes[] = {4, 2, 4};

#define LIST_COUNT (sizeof entry_sizes / sizeof entry_sizes[0])

/* Zones in one datagram; further ones follow in later datagrams. */
#define EVACUATIONS_MAX 8

static void
pack_evacuations(peers_state *peers, lv_time now, msgpack_packer *packer)
{
    evc_notice notices[EVACUATIONS_MAX];
    uint32_t count = 0;
    uint32_t i;

    if (peers->evacuation != NULL) {
        count = evc_collect_notices(peers->evacuation, now, notices,
                                    EVACUATIONS_MAX);
    }
    msgpack_pack_array(packer, (size_t)count * entry_sizes[0]);
    for (i = 0; i < count; i++) {
        msgpack_pack_uint64(packer, notices[i].zone);
        msgpack_pack_uint64(packer, notices[i].position.era);
        msgpack_pack_uint64(packer, notices[i].position.revision);
        msgpack_pack_uint32(packer, notices[i].is_evacuated);
    }
}

static void
apply_evacuations(peers_state *peers, const msgpack_object_array *list,
                  lv_time now)
{
    bool has_changed = false;
    uint32_t i;

    if (peers->evacuation == NULL) {
        return;
    }
    for (i = 0; i < list->size; i += entry_sizes[0]) {
        const msgpack_object *numbers = list->ptr + i;
        evc_notice notice = {.zone = numbers[0].via.u64,
                             .position = {.era = numbers[1].via.u64,
                                          .revision = numbers[2].via.u64},
                             .is_evacuated = numbers[3].via.u64 != 0};

        has_changed =
            evc_apply_notice(peers->evacuation, &notice, now) || has_changed;
    }
    if (has_changed && peers->on_evacuation != NULL) {
        peers->on_evacuation(peers->owner);
    }
}

void
peers_pack_endpoint_state(peers_state *peers, lv_time now,
                          msgpack_packer *packer)
{
    pack_evacuations(peers, now, packer);
    peers_pack_warmups(peers, now, packer);
    peers_pack_speeds(peers, now, packer);
}

void
peers_pack_no_endpoint_state(msgpack_packer *packer)
{
    uint32_t i;

    for (i = 0; i < LIST_COUNT; i++) {
        msgpack_pack_array(packer, 0);
    }
}

bool
peers_is_endpoint_state(const msgpack_object *lists)
{
    uint32_t i;

    for (i = 0; i < LIST_COUNT; i++) {
        if (!peers_is_number_list(&lists[i], entry_sizes[i])) {
            return false;
        }
    }
    return true;
}

void
peers_apply_endpoint_state(peers_state *peers, peers_peer *peer,
                           const msgpack_object *lists, lv_time now)
{
    apply_evacuations(peers, &lists[0].via.array, now);
    peers_apply_warmups(
        peers, peer,
        &lists[PEERS_FIELD_WARMUPS - PEERS_FIELD_EVACUATIONS].via.array);
    peers_apply_speeds(
        peers, peer,
        &lists[PEERS_FIELD_SPEEDS - PEERS_FIELD_EVACUATIONS].via.array, now);
}
