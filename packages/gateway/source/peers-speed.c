#include <msgpack.h>

#include "peers-imp.h"

#define ENTRY_SIZE 4

/* Rows in one datagram; further ones follow in later datagrams. */
#define SPEEDS_MAX 64

/* Samples are reported for this long: a full report or two repeat them when a
 * datagram is lost. */
#define SAMPLE_REPORT_TIME (1500 * LV_MILLISECOND)

#define TOKENS_PER_SECOND 1000 /* in a token per ms */

static bool
has_samples(const peers_state *peers, const peers_load *load, lv_time now)
{
    lv_handle row = eng_find(peers->endpoints, load->endpoint);

    return row != LV_HANDLE_NONE && load->load.speed.tokens > 0 &&
           lv_elapsed(now,
                      eng_at(peers->endpoints, row)->speed.sums_began_at) <
               SAMPLE_REPORT_TIME;
}

static void
pack_samples(const peers_state *peers, lv_time now, msgpack_packer *packer)
{
    const peers_load *sampled[SPEEDS_MAX];
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < peers->packed_load_count && count < SPEEDS_MAX; i++) {
        if (has_samples(peers, &peers->packed_loads[i], now)) {
            sampled[count++] = &peers->packed_loads[i];
        }
    }
    msgpack_pack_array(packer, (size_t)count * ENTRY_SIZE);
    for (i = 0; i < count; i++) {
        msgpack_pack_uint64(packer, sampled[i]->endpoint);
        msgpack_pack_uint32(packer, sampled[i]->load.speed.tokens);
        msgpack_pack_uint32(packer, sampled[i]->load.speed.time);
        msgpack_pack_uint32(packer, 0);
    }
}

static void
pack_rates(const peers_state *peers, msgpack_packer *packer)
{
    const eng_table *table = peers->endpoints;
    lv_handle coordinated[SPEEDS_MAX];
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < table->capacity && count < SPEEDS_MAX; i++) {
        lv_handle row = (peers->sequence + i) % table->capacity;
        const eng_endpoint *endpoint = &table->endpoints[row];

        if (endpoint->is_used && eng_learns_speed(table, row) &&
            endpoint->speed.rate > 0 &&
            peers_is_coordinator(peers, endpoint->spec.id)) {
            coordinated[count++] = row;
        }
    }
    msgpack_pack_array(packer, (size_t)count * ENTRY_SIZE);
    for (i = 0; i < count; i++) {
        const eng_endpoint *endpoint = eng_at(table, coordinated[i]);

        msgpack_pack_uint64(packer, endpoint->spec.id);
        msgpack_pack_uint32(packer, 0);
        msgpack_pack_uint32(packer, 0);
        msgpack_pack_uint32(
            packer, (uint32_t)(endpoint->speed.rate * TOKENS_PER_SECOND));
    }
}

void
peers_pack_speeds(peers_state *peers, lv_time now, msgpack_packer *packer)
{
    if (peers->packed_loads != NULL) {
        pack_samples(peers, now, packer);
    }
    else {
        pack_rates(peers, packer);
    }
}

static void
apply_samples(peers_state *peers, peers_peer *peer, lv_handle row,
              const spd_sums *after, lv_time now)
{
    peers_load *load = peers_find_or_add_load(
        &peer->loads, eng_at(peers->endpoints, row)->spec.id);

    if (load != NULL) {
        eng_apply_peer_speed(peers->endpoints, row, peer->incarnation,
                             &load->load.speed, after, now);
        load->load.speed = *after;
    }
}

void
peers_apply_speeds(peers_state *peers, peers_peer *peer,
                   const msgpack_object_array *speeds, lv_time now)
{
    uint32_t i;

    for (i = 0; i < speeds->size; i += ENTRY_SIZE) {
        const msgpack_object *values = speeds->ptr + i;
        lv_id id = values[0].via.u64;
        lv_handle row = eng_find(peers->endpoints, id);
        spd_sums samples = {.tokens = (uint32_t)values[1].via.u64,
                            .time = (uint32_t)values[2].via.u64};
        uint32_t rate = (uint32_t)values[3].via.u64;

        if (row == LV_HANDLE_NONE) {
            continue;
        }
        if (samples.tokens > 0) {
            apply_samples(peers, peer, row, &samples, now);
        }
        if (rate > 0 && peers_find_coordinator(peers, id) == peer) {
            eng_apply_speed(peers->endpoints, row,
                            (double)rate / TOKENS_PER_SECOND, now);
        }
    }
}
