/*
 * The platform's lists: availability zones, instances of this product and
 * endpoints. They lag, and are read-only once parsed.
 *
 * One INI text:
 *   [list]          revision
 *   [zone NAME]     region
 *   [instance NAME] zone, peer = IP:PORT (ZeroMQ), http = IP:PORT (callers;
 *                   other routers relay tickets to it), state =
 *                   live|leaving
 *   [endpoint NAME] pool, zone, address = IP:PORT, slots (optional), state =
 *                   live|leaving
 */
#ifndef LAVENDER_WORLD_H
#define LAVENDER_WORLD_H

#include "lavender/error.h"
#include "lavender/types.h"

typedef struct lists_zone {
    char name[LV_NAME_SIZE];
    lv_id id;
    lv_id region; /* hash of the region's name */
} lists_zone;

typedef struct lists_instance {
    char name[LV_NAME_SIZE];
    lv_id id;
    lv_handle zone;
    char peer[LV_ADDRESS_SIZE];
    char http[LV_ADDRESS_SIZE];
    bool is_leaving;
} lists_instance;

typedef struct lists_endpoint {
    char name[LV_NAME_SIZE];
    lv_id id;
    lv_id pool; /* hash of the pool's name */
    lv_handle zone;
    char address[LV_ADDRESS_SIZE];
    uint32_t slots; /* 0: as the pool says */
    bool is_leaving;
} lists_endpoint;

typedef struct lists_snapshot {
    uint64_t revision;
    uint64_t digest; /* XXH64 of the text */
    lists_zone *zones;
    uint32_t zone_count;
    lists_instance *instances; /* sorted by id */
    uint32_t instance_count;
    lists_endpoint *endpoints; /* sorted by id */
    uint32_t endpoint_count;
} lists_snapshot;

/* Parse and validate; on failure lists is empty and errors says why. */
bool lists_init(lists_snapshot *lists, const char *name, const char *text,
                size_t size, err_list *errors);
/* The revision that a list states; false when the text has syntax errors. */
bool lists_read_revision(const char *text, size_t size, uint64_t *revision);

void lists_finish(lists_snapshot *lists);

lv_handle lists_find_instance(const lists_snapshot *lists, lv_id id);
lv_handle lists_find_endpoint(const lists_snapshot *lists, lv_id id);

#endif
