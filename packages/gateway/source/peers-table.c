#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "peers-imp.h"

#define INITIAL_CAPACITY 8

bool
peers_reserve(void **rows, uint32_t count, uint32_t *capacity, size_t row_size)
{
    uint32_t new_capacity = *capacity > 0 ? *capacity * 2 : INITIAL_CAPACITY;
    void *grown;

    if (count < *capacity) {
        return true;
    }
    grown = realloc(*rows, new_capacity * row_size);
    if (grown == NULL) {
        return false;
    }
    *rows = grown;
    *capacity = new_capacity;
    return true;
}

uint64_t
peers_pack_address(const struct sockaddr_in *address)
{
    return (uint64_t)ntohl(address->sin_addr.s_addr) << 16 |
           ntohs(address->sin_port);
}

void
peers_unpack_address(uint64_t packed, struct sockaddr_in *address)
{
    memset(address, 0, sizeof *address);
    address->sin_family = AF_INET;
    address->sin_addr.s_addr = htonl((uint32_t)(packed >> 16));
    address->sin_port = htons((uint16_t)(packed & 0xffff));
}

peers_peer *
peers_find(peers_state *peers, const struct sockaddr_in *address)
{
    uint32_t i;

    for (i = 0; i < peers->count; i++) {
        if (peers_pack_address(&peers->peers[i].address) ==
            peers_pack_address(address)) {
            return &peers->peers[i];
        }
    }
    return NULL;
}

peers_peer *
peers_add(peers_state *peers, const struct sockaddr_in *address)
{
    peers_peer *peer;

    if (peers_pack_address(address) ==
        peers_pack_address(&peers->settings.bind)) {
        return NULL;
    }
    peer = peers_find(peers, address);
    if (peer != NULL) {
        return peer;
    }
    if (!peers_reserve((void **)&peers->peers, peers->count, &peers->capacity,
                       sizeof *peers->peers)) {
        return NULL;
    }
    peer = &peers->peers[peers->count++];
    memset(peer, 0, sizeof *peer);
    peer->address = *address;
    return peer;
}

peers_load *
peers_find_or_add_load(peers_loads *loads, lv_id endpoint)
{
    peers_load *row;
    uint32_t i;

    for (i = 0; i < loads->count; i++) {
        if (loads->rows[i].endpoint == endpoint) {
            return &loads->rows[i];
        }
    }
    if (!peers_reserve((void **)&loads->rows, loads->count, &loads->capacity,
                       sizeof *loads->rows)) {
        return NULL;
    }
    row = &loads->rows[loads->count++];
    memset(row, 0, sizeof *row);
    row->endpoint = endpoint;
    return row;
}

peers_account *
peers_find_or_add_account(peers_accounts *accounts, lv_id account,
                          bool *is_new)
{
    peers_account *row;
    uint32_t i;

    *is_new = false;
    for (i = 0; i < accounts->count; i++) {
        if (accounts->rows[i].account == account) {
            return &accounts->rows[i];
        }
    }
    if (!peers_reserve((void **)&accounts->rows, accounts->count,
                       &accounts->capacity, sizeof *accounts->rows)) {
        return NULL;
    }
    *is_new = true;
    row = &accounts->rows[accounts->count++];
    memset(row, 0, sizeof *row);
    row->account = account;
    return row;
}

static void
remove_load(peers_state *peers, const peers_load *load, lv_time now)
{
    lv_handle endpoint = eng_find(peers->endpoints, load->endpoint);
    eng_load removed = {.prefill_total = load->load.prefill_total};

    if (endpoint != LV_HANDLE_NONE &&
        eng_at(peers->endpoints, endpoint)->generation == load->generation) {
        eng_apply_peer_load(peers->endpoints, endpoint, &load->load, &removed,
                            now);
    }
}

void
peers_remove_contribution(peers_state *peers, peers_peer *peer, lv_time now)
{
    uint32_t i;

    for (i = 0; i < peer->loads.count; i++) {
        remove_load(peers, &peer->loads.rows[i], now);
    }
    peer->loads.count = 0;
    peer->accounts.count = 0;
}

void
peers_expire_loads(peers_state *peers, peers_peer *peer, lv_time now)
{
    uint32_t i;

    for (i = peer->loads.count; peers_is_large_fleet(peers) && i > 0; i--) {
        peers_load *load = &peer->loads.rows[i - 1];

        if (lv_elapsed(now, load->received_at) >= PEERS_ROW_EXPIRY) {
            remove_load(peers, load, now);
            *load = peer->loads.rows[--peer->loads.count];
        }
    }
}
