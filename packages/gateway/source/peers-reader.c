#include <string.h>

#include "lavender/hash.h"
#include "peers-imp.h"

/* Readers of the store in each zone: one may be killed, cut off or late. */
#define READERS_PER_ZONE 2

/* Readers of further zones are not used as relays. */
#define ZONES_MAX 64

/* A relay that failed is passed over for this long. */
#define RELAY_BACKOFF (3 * LV_SECOND)

/* The key of the rendezvous hash that elects the readers. */
#define READER_KEY ((lv_id)0x72656164)

/* The readers of a zone, in the order of their weights; NULL stands for this
 * instance. */
typedef struct reader_list {
    const peers_peer *readers[READERS_PER_ZONE];
    uint64_t weights[READERS_PER_ZONE];
    uint32_t count;
} reader_list;

static void
insert_reader(reader_list *list, const peers_peer *peer, uint64_t weight)
{
    uint32_t place = list->count;

    while (place > 0 && list->weights[place - 1] < weight) {
        place--;
    }
    if (place == READERS_PER_ZONE) {
        return;
    }
    if (list->count < READERS_PER_ZONE) {
        list->count++;
    }
    memmove(&list->readers[place + 1], &list->readers[place],
            (list->count - 1 - place) * sizeof *list->readers);
    memmove(&list->weights[place + 1], &list->weights[place],
            (list->count - 1 - place) * sizeof *list->weights);
    list->readers[place] = peer;
    list->weights[place] = weight;
}

static void
find_readers(const peers_state *peers, lv_id zone, reader_list *list)
{
    uint32_t i;

    memset(list, 0, sizeof *list);
    if (zone == peers->settings.zone) {
        insert_reader(
            list, NULL,
            hrw_weight(peers_pack_address(&peers->settings.bind), READER_KEY));
    }
    for (i = 0; i < peers->count; i++) {
        const peers_peer *peer = &peers->peers[i];

        if (peer->is_live && peer->zone == zone) {
            insert_reader(
                list, peer,
                hrw_weight(peers_pack_address(&peer->address), READER_KEY));
        }
    }
}

static bool
is_passed_over(const peers_peer *peer, lv_time now)
{
    return peer->relay_failed_at != 0 &&
           lv_elapsed(now, peer->relay_failed_at) < RELAY_BACKOFF;
}

/* Returns a reader of the list whose relay may be used, or NULL. Instances are
 * spread over the readers. */
static const peers_peer *
find_relay(const peers_state *peers, const reader_list *list, lv_time now)
{
    uint32_t first =
        (uint32_t)map_mix(peers_pack_address(&peers->settings.bind));
    uint32_t i;

    for (i = 0; i < list->count; i++) {
        const peers_peer *reader = list->readers[(first + i) % list->count];

        if (reader->is_store_reachable && !is_passed_over(reader, now)) {
            return reader;
        }
    }
    return NULL;
}

typedef struct zone_list {
    lv_id zones[ZONES_MAX];
    uint32_t count;
} zone_list;

static void
add_zone(zone_list *list, lv_id zone)
{
    uint32_t i = 0;

    while (i < list->count && list->zones[i] != zone) {
        i++;
    }
    if (i == list->count && i < ZONES_MAX) {
        list->zones[list->count++] = zone;
    }
}

/* The same among the readers of all other zones; sets whether any of them
 * reaches the store. */
static const peers_peer *
find_relay_elsewhere(const peers_state *peers, lv_time now,
                     bool *is_store_reached)
{
    const peers_peer *relay = NULL;
    zone_list zones = {.count = 0};
    reader_list list;
    uint32_t i, j;

    for (i = 0; i < peers->count; i++) {
        if (peers->peers[i].is_live &&
            peers->peers[i].zone != peers->settings.zone) {
            add_zone(&zones, peers->peers[i].zone);
        }
    }
    for (i = 0; i < zones.count && relay == NULL; i++) {
        find_readers(peers, zones.zones[i], &list);
        for (j = 0; j < list.count; j++) {
            *is_store_reached =
                *is_store_reached || list.readers[j]->is_store_reachable;
        }
        relay = find_relay(peers, &list, now);
    }
    return relay;
}

peers_reader
peers_choose_reader(const peers_state *peers, lv_time now,
                    struct sockaddr_in *relay)
{
    bool is_store_reached = false;
    const peers_peer *reader;
    reader_list list;
    uint32_t i;

    if (!peers_is_large_fleet(peers)) {
        return PEERS_READS_ITSELF;
    }
    find_readers(peers, peers->settings.zone, &list);
    for (i = 0; i < list.count; i++) {
        if (list.readers[i] == NULL) {
            return PEERS_READS_ITSELF;
        }
        is_store_reached =
            is_store_reached || list.readers[i]->is_store_reachable;
    }
    reader = find_relay(peers, &list, now);
    if (reader == NULL) {
        reader = find_relay_elsewhere(peers, now, &is_store_reached);
    }
    if (reader == NULL) {
        return is_store_reached ? PEERS_HAS_NO_READER : PEERS_AWAITS_READER;
    }
    *relay = reader->address;
    return PEERS_READS_RELAY;
}

void
peers_note_relay_failed(peers_state *peers, const struct sockaddr_in *relay,
                        lv_time now)
{
    peers_peer *peer = peers_find(peers, relay);

    if (peer != NULL) {
        peer->relay_failed_at = now;
    }
}
