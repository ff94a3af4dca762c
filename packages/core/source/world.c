#include "lavender/world.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "lavender/config.h"
#include "lavender/value.h"
#include "rows-imp.h"

#define MAX_SLOTS 1000000

typedef enum section_index {
    SECTION_LIST,
    SECTION_ZONE,
    SECTION_INSTANCE,
    SECTION_ENDPOINT,
    SECTION_COUNT
} section_index;

/* Parsed rows; each begins with its name, as rows-imp.h requires. */
typedef struct zone_row {
    lists_zone zone;
    char region[LV_NAME_SIZE];
} zone_row;

typedef struct instance_row {
    lists_instance instance;
    char zone[LV_NAME_SIZE];
    uint32_t state; /* index in state_words */
} instance_row;

typedef struct endpoint_row {
    lists_endpoint endpoint;
    char pool[LV_NAME_SIZE];
    char zone[LV_NAME_SIZE];
    uint32_t state; /* index in state_words */
} endpoint_row;

/* An address of an instance or endpoint; each may be used once. */
typedef struct address_row {
    char address[LV_ADDRESS_SIZE];
} address_row;

typedef struct lists_parser {
    conf_reader reader; /* first member: vtable */
    uint64_t revision;
    bool has_list;
    bool reads_list_only; /* skips all sections but [list] */
    row_table zones;
    row_table instances;
    row_table endpoints;
    row_table addresses;
} lists_parser;

static const char *const state_words[] = {"live", "leaving", NULL};

static const conf_key list_keys[] = {
    {.name = "revision",
     .type = CONF_COUNT64,
     .offset = offsetof(lists_parser, revision),
     .is_required = true,
     .min = 1,
     .max = INT64_MAX},
};

static const conf_key zone_keys[] = {
    {.name = "region",
     .type = CONF_NAME,
     .offset = offsetof(zone_row, region),
     .is_required = true},
};

static const conf_key instance_keys[] = {
    {.name = "zone",
     .type = CONF_NAME,
     .offset = offsetof(instance_row, zone),
     .is_required = true},
    {.name = "peer",
     .type = CONF_ADDRESS,
     .offset = offsetof(instance_row, instance.peer),
     .is_required = true},
    {.name = "http",
     .type = CONF_ADDRESS,
     .offset = offsetof(instance_row, instance.http),
     .is_required = true},
    {.name = "state",
     .type = CONF_CHOICE,
     .offset = offsetof(instance_row, state),
     .choices = state_words},
};

static const conf_key endpoint_keys[] = {
    {.name = "pool",
     .type = CONF_NAME,
     .offset = offsetof(endpoint_row, pool),
     .is_required = true},
    {.name = "zone",
     .type = CONF_NAME,
     .offset = offsetof(endpoint_row, zone),
     .is_required = true},
    {.name = "address",
     .type = CONF_ADDRESS,
     .offset = offsetof(endpoint_row, endpoint.address),
     .is_required = true},
    {.name = "slots",
     .type = CONF_COUNT32,
     .offset = offsetof(endpoint_row, endpoint.slots),
     .min = 1,
     .max = MAX_SLOTS},
    {.name = "state",
     .type = CONF_CHOICE,
     .offset = offsetof(endpoint_row, state),
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
open_list(lists_parser *parser, int line)
{
    if (parser->has_list) {
        err_list_add(parser->reader.errors, parser->reader.file, line,
                     ERR_CONFLICT, "keep one of them",
                     "[list] is given twice");
        return NULL;
    }
    parser->has_list = true;
    return parser;
}

static row_table *
section_table(lists_parser *parser, uint32_t section)
{
    if (section == SECTION_ZONE) {
        return &parser->zones;
    }
    return section == SECTION_INSTANCE ? &parser->instances
                                       : &parser->endpoints;
}

static void *
open_section(conf_reader *reader, uint32_t section, const char *name, int line)
{
    lists_parser *parser = (lists_parser *)reader;
    err_error error;
    char *row;

    if (section == SECTION_LIST) {
        return open_list(parser, line);
    }
    if (parser->reads_list_only) {
        return NULL;
    }
    if (!val_check_name(name, &error)) {
        err_list_add(reader->errors, reader->file, line, error.kind,
                     error.remedy, "%s: %s", sections[section].type,
                     error.message);
        return NULL;
    }
    row = row_add(section_table(parser, section), reader->file, line);
    if (row != NULL) {
        lv_copy_name(row, LV_NAME_SIZE, name);
    }
    return row;
}

static void
add_address(lists_parser *parser, const char *address, int line)
{
    address_row *row;

    if (address[0] == '\0') {
        return;
    }
    row = row_add(&parser->addresses, parser->reader.file, line);
    if (row != NULL) {
        lv_copy_name(row->address, sizeof row->address, address);
    }
}

static void
close_section(conf_reader *reader, uint32_t section, void *record, int line,
              uint64_t seen)
{
    lists_parser *parser = (lists_parser *)reader;

    (void)seen;
    if (section == SECTION_ZONE) {
        zone_row *row = record;

        row->zone.id = lv_hash_name(row->zone.name);
        row->zone.region = lv_hash_name(row->region);
    }
    else if (section == SECTION_INSTANCE) {
        instance_row *row = record;

        row->instance.id = lv_hash_name(row->instance.name);
        row->instance.is_leaving = row->state == 1;
        add_address(parser, row->instance.peer, line);
        add_address(parser, row->instance.http, line);
    }
    else if (section == SECTION_ENDPOINT) {
        endpoint_row *row = record;

        row->endpoint.id = lv_hash_name(row->endpoint.name);
        row->endpoint.pool = lv_hash_name(row->pool);
        row->endpoint.is_leaving = row->state == 1;
        add_address(parser, row->endpoint.address, line);
    }
}

static const conf_reader_ops reader_ops = {
    .open_section = open_section,
    .close_section = close_section,
};

/* Returns the zone of a row; reports an unknown zone, unless it is empty,
 * which the reader has reported. */
static lv_handle
find_zone(const lists_parser *parser, const row_table *table, uint32_t index,
          const char *subject, const char *zone)
{
    lv_handle zone_handle = row_find(&parser->zones, lv_hash_name(zone));
    const row_entry *location = &table->entries[index];

    if (zone_handle == LV_HANDLE_NONE && zone[0] != '\0') {
        err_list_add(parser->reader.errors, location->file, location->line,
                     ERR_UNKNOWN_NAME,
                     "add the [zone NAME] or name an existing zone",
                     "%s \"%s\" is in zone \"%s\", which does not exist",
                     subject, (const char *)row_at(table, index), zone);
    }
    return zone_handle;
}

static void
validate(lists_parser *parser, const char *name)
{
    err_list *errors = parser->reader.errors;

    if (!parser->has_list) {
        err_list_add(errors, name, 0, ERR_SYNTAX,
                     "add [list] with a line revision = N",
                     "the text has no section [list]");
    }
    row_sort(&parser->zones, "zone", errors);
    row_sort(&parser->instances, "instance", errors);
    row_sort(&parser->endpoints, "endpoint", errors);
    row_sort(&parser->addresses, "address", errors);
    for (uint32_t i = 0; i < parser->instances.count; i++) {
        instance_row *row = row_at(&parser->instances, i);

        row->instance.zone =
            find_zone(parser, &parser->instances, i, "instance", row->zone);
    }
    for (uint32_t i = 0; i < parser->endpoints.count; i++) {
        endpoint_row *row = row_at(&parser->endpoints, i);

        row->endpoint.zone =
            find_zone(parser, &parser->endpoints, i, "endpoint", row->zone);
    }
}

static bool
build_lists(lists_snapshot *lists, const lists_parser *parser)
{
    lists->zone_count = parser->zones.count;
    lists->instance_count = parser->instances.count;
    lists->endpoint_count = parser->endpoints.count;
    lists->zones = calloc(lists->zone_count + 1, sizeof *lists->zones);
    lists->instances =
        calloc(lists->instance_count + 1, sizeof *lists->instances);
    lists->endpoints =
        calloc(lists->endpoint_count + 1, sizeof *lists->endpoints);
    if (lists->zones == NULL || lists->instances == NULL ||
        lists->endpoints == NULL) {
        return false;
    }
    lists->revision = parser->revision;
    for (uint32_t i = 0; i < lists->zone_count; i++) {
        const zone_row *row = row_at(&parser->zones, i);

        lists->zones[i] = row->zone;
    }
    for (uint32_t i = 0; i < lists->instance_count; i++) {
        const instance_row *row = row_at(&parser->instances, i);

        lists->instances[i] = row->instance;
    }
    for (uint32_t i = 0; i < lists->endpoint_count; i++) {
        const endpoint_row *row = row_at(&parser->endpoints, i);

        lists->endpoints[i] = row->endpoint;
    }
    return true;
}

static void
parser_finish(lists_parser *parser)
{
    row_finish(&parser->zones);
    row_finish(&parser->instances);
    row_finish(&parser->endpoints);
    row_finish(&parser->addresses);
}

bool
lists_init(lists_snapshot *lists, const char *name, const char *text,
           size_t size, err_list *errors)
{
    lists_parser parser = {
        .reader = {.ops = &reader_ops,
                   .sections = sections,
                   .section_count = SECTION_COUNT,
                   .errors = errors},
    };
    bool has_memory;

    memset(lists, 0, sizeof *lists);
    err_list_init(errors);
    row_init(&parser.zones, sizeof(zone_row));
    row_init(&parser.instances, sizeof(instance_row));
    row_init(&parser.endpoints, sizeof(endpoint_row));
    row_init(&parser.addresses, sizeof(address_row));
    conf_read(&parser.reader, name, text, size);
    has_memory = !parser.zones.has_failed && !parser.instances.has_failed &&
                 !parser.endpoints.has_failed && !parser.addresses.has_failed;
    if (has_memory) {
        validate(&parser, name);
    }
    if (has_memory && errors->count == 0) {
        has_memory = build_lists(lists, &parser);
        lists->digest = XXH64(text, size, 0);
    }
    parser_finish(&parser);
    if (!has_memory) {
        err_list_add(errors, name, 0, ERR_MEMORY,
                     "give the process more memory",
                     "out of memory for the lists");
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
    lists_parser parser = {
        .reader = {.ops = &reader_ops,
                   .sections = sections,
                   .section_count = SECTION_COUNT,
                   .errors = &errors},
        .reads_list_only = true,
    };

    err_list_init(&errors);
    conf_read(&parser.reader, "lists", text, size);
    *revision = parser.revision;
    return errors.count == 0 && parser.has_list;
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
