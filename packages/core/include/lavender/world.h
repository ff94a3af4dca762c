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

typedef struct zone_zone {
    char name[LV_NAME_SIZE];
    lv_id id;
    lv_id region; /* hash of the region's name */
} zone_zone;

typedef struct inst_instance {
    char name[LV_NAME_SIZE];
    lv_id id;
    lv_handle zone;
    char peer[LV_ADDRESS_SIZE];
    char http[LV_ADDRESS_SIZE];
    bool leaving;
} inst_instance;

typedef struct ep_endpoint {
    char name[LV_NAME_SIZE];
    lv_id id;
    lv_id pool; /* hash of the pool's name */
    lv_handle zone;
    char address[LV_ADDRESS_SIZE];
    uint32_t slots; /* 0: as the pool says */
    bool leaving;
} ep_endpoint;

typedef struct world_lists {
    uint64_t revision;
    uint64_t digest; /* XXH64 of the text */
    zone_zone *zones;
    uint32_t zone_count;
    inst_instance *instances; /* sorted by id */
    uint32_t instance_count;
    ep_endpoint *endpoints; /* sorted by id */
    uint32_t endpoint_count;
} world_lists;

/* Parse and validate; on failure lists is empty and errors says why. */
bool world_init(world_lists *lists, const char *name, const char *text,
                size_t size, err_list *errors);
/* The revision that a list states; false when the text has syntax errors. */
bool world_read_revision(const char *text, size_t size, uint64_t *revision);

void world_finish(world_lists *lists);

lv_handle inst_find(const world_lists *lists, lv_id id);
lv_handle ep_find(const world_lists *lists, lv_id id);

#endif
