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

typedef struct lists_zone {
    char name[LV_NAME_SIZE];
    lv_id id;
    lv_id region; /* hash of the region's name */
} lists_zone;

typedef struct lists_instance {
    char name[LV_NAME_SIZE];
    lv_id id;
    lv_handle zone;
    char peer[LV_ADDRESS_SIZE]; /* IP:PORT for messages of peers */
    char http[LV_ADDRESS_SIZE]; /* IP:PORT for HTTP */
    bool is_leaving;            /* state = leaving */
} lists_instance;

typedef struct lists_endpoint {
    char name[LV_NAME_SIZE];
    lv_id id;
    lv_id pool; /* hash of the pool's name */
    lv_handle zone;
    char address[LV_ADDRESS_SIZE];
    uint32_t slots;  /* 0: the slots of the pool */
    bool is_leaving; /* state = leaving */
} lists_endpoint;

typedef struct lists_snapshot {
    uint64_t revision;
    uint64_t digest;   /* XXH64 of the text */
    lists_zone *zones; /* sorted by id */
    uint32_t zone_count;
    lists_instance *instances; /* sorted by id */
    uint32_t instance_count;
    lists_endpoint *endpoints; /* sorted by id */
    uint32_t endpoint_count;
} lists_snapshot;

/* Parses and validates a text; `name` is its file or key name for error
 * messages. Returns false if it is invalid: errors then lists the errors and
 * the lists are empty. */
bool lists_init(lists_snapshot *lists, const char *name, const char *text,
                size_t size, err_list *errors);

/* Reads only [list] of a text. Sets *revision; returns false if the text has
 * syntax errors or no [list]. */
bool lists_read_revision(const char *text, size_t size, uint64_t *revision);

void lists_finish(lists_snapshot *lists);

/* Lookups return LV_HANDLE_NONE if nothing matches. */
lv_handle lists_find_instance(const lists_snapshot *lists, lv_id id);
lv_handle lists_find_endpoint(const lists_snapshot *lists, lv_id id);

#endif
