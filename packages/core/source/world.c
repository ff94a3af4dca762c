#include "lavender/world.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "lavender/config.h"
#include "lavender/value.h"
#include "rows-imp.h"

#define SLOTS_MAX 1000000

typedef enum section_index {
    SECTION_LIST,
    SECTION_ZONE,
    SECTION_INSTANCE,
    SECTION_ENDPOINT,
    SECTION_COUNT
} section_index;

/* Rows begin with their name, see rows-imp.h. */
typedef struct stage_zone {
    lists_zone zone;
    char region[LV_NAME_SIZE];
} stage_zone;

typedef struct stage_instance {
    lists_instance instance;
    char zone[LV_NAME_SIZE];
    uint32_t state;
} stage_instance;

typedef struct stage_endpoint {
    lists_endpoint endpoint;
    char pool[LV_NAME_SIZE];
    char zone[LV_NAME_SIZE];
    uint32_t state;
} stage_endpoint;

typedef struct stage_address {
    char address[LV_ADDRESS_SIZE];
} stage_address;

typedef struct world_stage {
    conf_reader reader; /* first member: vtable */
    uint64_t revision;
    bool has_list;
    bool ignores_rest; /* only [list] counts */
    row_table zones;
    row_table instances;
    row_table endpoints;
    row_table addresses;
} world_stage;

static const char *const state_words[] = {"live", "leaving", NULL};

static const conf_key list_keys[] = {
    {.name = "revision",
     .type = CONF_COUNT64,
     .offset = offsetof(world_stage, revision),
     .is_required = true,
     .min = 1,
     .max = INT64_MAX},
};

static const conf_key zone_keys[] = {
    {.name = "region",
     .type = CONF_NAME,
     .offset = offsetof(stage_zone, region),
     .is_required = true},
};

static const conf_key instance_keys[] = {
    {.name = "zone",
     .type = CONF_NAME,
     .offset = offsetof(stage_instance, zone),
     .is_required = true},
    {.name = "peer",
     .type = CONF_ADDRESS,
     .offset = offsetof(stage_instance, instance.peer),
     .is_required = true},
    {.name = "http",
     .type = CONF_ADDRESS,
     .offset = offsetof(stage_instance, instance.http),
     .is_required = true},
    {.name = "state",
     .type = CONF_CHOICE,
     .offset = offsetof(stage_instance, state),
     .choices = state_words},
};

static const conf_key endpoint_keys[] = {
    {.name = "pool",
     .type = CONF_NAME,
     .offset = offsetof(stage_endpoint, pool),
     .is_required = true},
    {.name = "zone",
     .type = CONF_NAME,
     .offset = offsetof(stage_endpoint, zone),
     .is_required = true},
    {.name = "address",
     .type = CONF_ADDRESS,
     .offset = offsetof(stage_endpoint, endpoint.address),
     .is_required = true},
    {.name = "slots",
     .type = CONF_COUNT32,
     .offset = offsetof(stage_endpoint, endpoint.slots),
     .min = 1,
     .max = SLOTS_MAX},
    {.name = "state",
     .type = CONF_CHOICE,
     .offset = offsetof(stage_endpoint, state),
     .choices = state_words},
};

#define KEYS(table)                                                           \
    .keys = (table), .key_count = sizeof(table) / sizeof *(table)

static const conf_section sections[SECTION_COUNT] = {
    [SECTION_LIST] = {.type = "list", KEYS(list_keys)},
    [SECTION_ZONE] = {.type = "zone", .has_name = true, KEYS(zone_keys)},
    [SECTION_INSTANCE] = {.type = "instance",
                          .has_name = true,
                          KEYS(instance_keys)},
    [SECTION_ENDPOINT] = {.type = "endpoint",
                          .has_name = true,
                          KEYS(endpoint_keys)},
};

static void *
open_list(world_stage *stage, int line)
{
    if (stage->has_list) {
        err_list_add(stage->reader.errors, stage->reader.file, line,
                     ERR_CONFLICT, "keep one of them", "[list] stands twice");
        return NULL;
    }
    stage->has_list = true;
    return stage;
}

static row_table *
table_of(world_stage *stage, uint32_t section)
{
    if (section == SECTION_ZONE) {
        return &stage->zones;
    }
    return section == SECTION_INSTANCE ? &stage->instances : &stage->endpoints;
}

static void *
open_section(conf_reader *reader, uint32_t section, const char *name, int line)
{
    world_stage *stage = (world_stage *)reader;
    err_error error;
    char *row;

    if (section == SECTION_LIST) {
        return open_list(stage, line);
    }
    if (stage->ignores_rest) {
        return NULL;
    }
    if (!val_read_name(name, &error)) {
        err_list_add(reader->errors, reader->file, line, error.kind,
                     error.remedy, "%s: %s", sections[section].type,
                     error.message);
        return NULL;
    }
    row = row_add(table_of(stage, section), reader->file, line);
    if (row != NULL) {
        lv_copy_name(row, LV_NAME_SIZE, name);
    }
    return row;
}

static void
add_address(world_stage *stage, const char *address, int line)
{
    stage_address *row;

    if (address[0] == '\0') {
        return;
    }
    row = row_add(&stage->addresses, stage->reader.file, line);
    if (row != NULL) {
        lv_copy_name(row->address, sizeof row->address, address);
    }
}

static void
close_section(conf_reader *reader, uint32_t section, void *record, int line,
              uint64_t seen)
{
    world_stage *stage = (world_stage *)reader;

    (void)seen;
    if (section == SECTION_ZONE) {
        stage_zone *row = record;

        row->zone.id = lv_hash_name(row->zone.name);
        row->zone.region = lv_hash_name(row->region);
    }
    else if (section == SECTION_INSTANCE) {
        stage_instance *row = record;

        row->instance.id = lv_hash_name(row->instance.name);
        row->instance.is_leaving = row->state == 1;
        add_address(stage, row->instance.peer, line);
        add_address(stage, row->instance.http, line);
    }
    else if (section == SECTION_ENDPOINT) {
        stage_endpoint *row = record;

        row->endpoint.id = lv_hash_name(row->endpoint.name);
        row->endpoint.pool = lv_hash_name(row->pool);
        row->endpoint.is_leaving = row->state == 1;
        add_address(stage, row->endpoint.address, line);
    }
}

static const conf_reader_ops reader_ops = {
    .open_section = open_section,
    .close_section = close_section,
};

static lv_handle
find_zone(const world_stage *stage, const row_table *table, uint32_t place,
          const char *what, const char *zone)
{
    lv_handle found = row_find(&stage->zones, lv_hash_name(zone));
    const row_entry *at = &table->entries[place];

    if (found == LV_HANDLE_NONE && zone[0] != '\0') {
        err_list_add(stage->reader.errors, at->file, at->line,
                     ERR_UNKNOWN_NAME,
                     "add the [zone NAME], or write the name of one",
                     "%s \"%s\" is in zone \"%s\", which is not there", what,
                     (const char *)row_at(table, place), zone);
    }
    return found;
}

static void
check(world_stage *stage, const char *name)
{
    err_list *errors = stage->reader.errors;

    if (!stage->has_list) {
        err_list_add(errors, name, 0, ERR_SYNTAX,
                     "add [list] with a line revision = N",
                     "the text has no section [list]");
    }
    row_sort(&stage->zones, "zone", errors);
    row_sort(&stage->instances, "instance", errors);
    row_sort(&stage->endpoints, "endpoint", errors);
    row_sort(&stage->addresses, "address", errors);
    for (uint32_t i = 0; i < stage->instances.count; i++) {
        stage_instance *row = row_at(&stage->instances, i);

        row->instance.zone =
            find_zone(stage, &stage->instances, i, "instance", row->zone);
    }
    for (uint32_t i = 0; i < stage->endpoints.count; i++) {
        stage_endpoint *row = row_at(&stage->endpoints, i);

        row->endpoint.zone =
            find_zone(stage, &stage->endpoints, i, "endpoint", row->zone);
    }
}

static bool
build(lists_snapshot *lists, const world_stage *stage)
{
    lists->zone_count = stage->zones.count;
    lists->instance_count = stage->instances.count;
    lists->endpoint_count = stage->endpoints.count;
    lists->zones = calloc(lists->zone_count + 1, sizeof *lists->zones);
    lists->instances =
        calloc(lists->instance_count + 1, sizeof *lists->instances);
    lists->endpoints =
        calloc(lists->endpoint_count + 1, sizeof *lists->endpoints);
    if (lists->zones == NULL || lists->instances == NULL ||
        lists->endpoints == NULL) {
        return false;
    }
    lists->revision = stage->revision;
    for (uint32_t i = 0; i < lists->zone_count; i++) {
        const stage_zone *row = row_at(&stage->zones, i);

        lists->zones[i] = row->zone;
    }
    for (uint32_t i = 0; i < lists->instance_count; i++) {
        const stage_instance *row = row_at(&stage->instances, i);

        lists->instances[i] = row->instance;
    }
    for (uint32_t i = 0; i < lists->endpoint_count; i++) {
        const stage_endpoint *row = row_at(&stage->endpoints, i);

        lists->endpoints[i] = row->endpoint;
    }
    return true;
}

static void
stage_finish(world_stage *stage)
{
    row_finish(&stage->zones);
    row_finish(&stage->instances);
    row_finish(&stage->endpoints);
    row_finish(&stage->addresses);
}

bool
lists_init(lists_snapshot *lists, const char *name, const char *text,
           size_t size, err_list *errors)
{
    world_stage stage = {
        .reader = {.ops = &reader_ops,
                   .sections = sections,
                   .section_count = SECTION_COUNT,
                   .errors = errors},
    };
    bool has_memory;

    memset(lists, 0, sizeof *lists);
    err_list_init(errors);
    row_init(&stage.zones, sizeof(stage_zone));
    row_init(&stage.instances, sizeof(stage_instance));
    row_init(&stage.endpoints, sizeof(stage_endpoint));
    row_init(&stage.addresses, sizeof(stage_address));
    conf_read(&stage.reader, name, text, size);
    has_memory = !stage.zones.has_failed && !stage.instances.has_failed &&
                 !stage.endpoints.has_failed && !stage.addresses.has_failed;
    if (has_memory) {
        check(&stage, name);
    }
    if (has_memory && errors->count == 0) {
        has_memory = build(lists, &stage);
        lists->digest = XXH64(text, size, 0);
    }
    stage_finish(&stage);
    if (!has_memory) {
        err_list_add(errors, name, 0, ERR_MEMORY,
                     "give the process more memory",
                     "memory for the lists could not be had");
    }
    if (errors->count > 0) {
        lists_finish(lists);
        return false;
    }
    return true;
}

bool
lists_read_revision(const char *text, size_t size, uint64_t *revision)
{
    err_list errors;
    world_stage stage = {
        .reader = {.ops = &reader_ops,
                   .sections = sections,
                   .section_count = SECTION_COUNT,
                   .errors = &errors},
        .ignores_rest = true,
    };

    err_list_init(&errors);
    conf_read(&stage.reader, "lists", text, size);
    *revision = stage.revision;
    return errors.count == 0 && stage.has_list;
}

void
lists_finish(lists_snapshot *lists)
{
    free(lists->zones);
    free(lists->instances);
    free(lists->endpoints);
    memset(lists, 0, sizeof *lists);
}

lv_handle
lists_find_instance(const lists_snapshot *lists, lv_id id)
{
    return row_bsearch_id(lists->instances, lists->instance_count,
                          sizeof(lists_instance), offsetof(lists_instance, id),
                          id);
}

lv_handle
lists_find_endpoint(const lists_snapshot *lists, lv_id id)
{
    return row_bsearch_id(lists->endpoints, lists->endpoint_count,
                          sizeof(lists_endpoint), offsetof(lists_endpoint, id),
                          id);
}
