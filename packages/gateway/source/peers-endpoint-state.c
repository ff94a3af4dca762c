#include "peers-imp.h"

/* Numbers in an entry of each list, in the order of the fields. */
static const uint32_t entry_sizes[] = {4, 2, 4};

#define LIST_COUNT (sizeof entry_sizes / sizeof entry_sizes[0])

void
peers_pack_endpoint_state(peers_state *peers, lv_time now,
                          msgpack_packer *packer)
{
    msgpack_pack_array(packer, 0); /* evacuations */
    msgpack_pack_array(packer, 0); /* warm-ups */
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
    const msgpack_object_array *speeds =
        &lists[PEERS_FIELD_SPEEDS - PEERS_FIELD_EVACUATIONS].via.array;

    peers_apply_speeds(peers, peer, speeds, now);
}
