/*
 * The platform's lists: availability zones, instances of this product and
 * endpoints. The platform publishes them with a delay. They are read-only once
 * parsed.
 *
 * The lists are one INI text:
 *   [list]          revision
 *   [zone NAME]     region
 *   [instance NAME] zone, peer = IP:PORT (ZeroMQ), http = IP:PORT (callers,
 *                   and tickets that other routers relay), state =
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
    char peer[LV_ADDRESS_SIZE]; /* IP:PORT for messages of peers */
    char http[LV_ADDRESS_SIZE]; /* IP:PORT for HTTP */
    bool leaving;               /* state = leaving */
} inst_instance;

typedef struct ep_endpoint {
    char name[LV_NAME_SIZE];
    lv_id id;
    lv_id pool; /* hash of the pool's name */
    lv_handle zone;
    char address[LV_ADDRESS_SIZE];
    uint32_t slots; /* 0: the slots of the pool */
    bool leaving;   /* state = leaving */
} ep_endpoint;

typedef struct world_lists {
    uint64_t revision;
    uint64_t digest;  /* XXH64 of the text */
    zone_zone *zones; /* sorted by id */
    uint32_t zone_count;
    inst_instance *instances; /* sorted by id */
    uint32_t instance_count;
    ep_endpoint *endpoints; /* sorted by id */
    uint32_t endpoint_count;
} world_lists;

/* Parse and validate a text; `name` is its file or key name for error
 * messages. Returns false if it is invalid: errors then has the errors found
 * and the lists are empty. */
bool world_init(world_lists *lists, const char *name, const char *text,
                size_t size, err_list *errors);

/* Read only [list] of a text. Sets *revision; returns false if the text has
 * syntax errors or no [list]. */
bool world_read_revision(const char *text, size_t size, uint64_t *revision);

void world_finish(world_lists *lists);

/* Lookups return LV_HANDLE_NONE if nothing matches. */
lv_handle inst_find(const world_lists *lists, lv_id id);
lv_handle ep_find(const world_lists *lists, lv_id id);

#endif
