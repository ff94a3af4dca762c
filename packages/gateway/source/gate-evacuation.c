#include <stdio.h>

#include "gate-imp.h"

/* The instances begin to use a zone that returned to service at random within
 * this time, each with the slow start of a back-off, so that its endpoints do
 * not get the load of the whole fleet at once. */
#define RETURN_SPREAD LV_SECOND

static evc_position
to_position(wire_position position)
{
    evc_position result = {.era = position.era, .revision = position.revision};

    return result;
}

const char *
gate_zone_name(const evc_zone *zone, char *text, size_t size)
{
    if (zone->name[0] == '\0') {
        snprintf(text, size, "%016llx", (unsigned long long)zone->id);
    }
    else {
        lv_copy_name(text, size, zone->name);
    }
    return text;
}

static uint32_t
count_endpoints(const gate_server *gate, lv_id zone)
{
    uint32_t count = 0;
    lv_handle row;

    for (row = 0; row < gate->endpoints.capacity; row++) {
        const eng_endpoint *endpoint = eng_at(&gate->endpoints, row);

        count += endpoint->is_used && endpoint->spec.zone == zone;
    }
    return count;
}

static void
log_change(const gate_server *gate, const evc_zone *zone, evc_change change)
{
    static const char *const names[] = {[EVC_EVACUATED] = "evacuated",
                                        [EVC_RETURNED] = "returned",
                                        [EVC_KEPT] = "kept"};
    char text[LV_NAME_SIZE];

    log_event(LOG_LEVEL_NOTICE, io_now(), "zone",
              "zone=%s change=%s era=%llu revision=%llu source=%s "
              "endpoints=%u",
              gate_zone_name(zone, text, sizeof text), names[change],
              (unsigned long long)zone->position.era,
              (unsigned long long)zone->position.revision,
              zone->source == EVC_STORE ? "store" : "peer",
              count_endpoints(gate, zone->id));
}

/* Requests whose connections are being opened are decided again at once, and
 * queued ones before the loop polls or at the next tick. */
static void
update_endpoints(gate_server *gate)
{
    uint64_t withheld = gate->endpoint_pool.counts.withheld;
    lv_time now = io_now();
    lv_handle row;

    /* All rows first: a request that is withheld is decided at once. */
    for (row = 0; row < gate->endpoints.capacity; row++) {
        if (eng_at(&gate->endpoints, row)->is_used &&
            eng_update_evacuated(&gate->endpoints, row) &&
            !eng_at(&gate->endpoints, row)->is_evacuated) {
            eng_begin_backoff(&gate->endpoints, row,
                              gate_random(gate) % RETURN_SPREAD + 1, now);
        }
    }
    for (row = 0; row < gate->endpoints.capacity; row++) {
        if (eng_at(&gate->endpoints, row)->is_used &&
            eng_at(&gate->endpoints, row)->is_evacuated) {
            back_withhold(&gate->endpoint_pool, row);
        }
    }
    gate->counts.kept_from_evacuated +=
        gate->endpoint_pool.counts.withheld - withheld;
    gate->has_pending_updates = true;
}

static void
handle_changes(void *owner)
{
    gate_server *gate = owner;
    const evc_zone *zone;
    evc_change change;
    bool has_changed = false;

    while ((zone = evc_take_change(&gate->evacuation, &change)) != NULL) {
        log_change(gate, zone, change);
        gate->counts.evacuations += change == EVC_EVACUATED;
        has_changed = true;
    }
    if (has_changed) {
        update_endpoints(gate);
    }
}

void
gate_init_evacuation(gate_server *gate)
{
    evc_init(&gate->evacuation);
    gate->endpoints.evacuation = &gate->evacuation;
    gate->peers.evacuation = &gate->evacuation;
    gate->peers.on_evacuation = handle_changes;
}

void
gate_apply_zone(gate_server *gate, const wire_item *item)
{
    lv_time now = io_now();

    if (!item->is_removed && item->error.kind != ERR_NONE) {
        log_event(LOG_LEVEL_WARNING, now, "zone-unreadable",
                  "key=%s error=\"%s\"", item->key, item->error.message);
    }
    if (!evc_apply_item(&gate->evacuation, item->zone_name, item->zone,
                        !item->is_removed, to_position(item->position), now)) {
        log_event(LOG_LEVEL_ERROR, now, "zone-not-evacuated",
                  "key=%s reason=too-many-zones", item->key);
    }
    handle_changes(gate);
}

void
gate_end_zone_list(gate_server *gate, wire_position position)
{
    evc_end_list(&gate->evacuation, to_position(position), io_now());
    handle_changes(gate);
}

void
gate_note_zone_view(gate_server *gate, wire_position position)
{
    evc_note_view(&gate->evacuation, to_position(position), io_now());
}

void
gate_relist_zones(gate_server *gate, lv_time now)
{
    if (evc_needs_list(&gate->evacuation, now)) {
        store_feed_relist(&gate->feeds[WIRE_CONFIG]);
    }
}

bool
gate_has_configuration(const gate_server *gate)
{
    return gate->config != NULL && !gate->is_config_awaited &&
           gate->feeds[WIRE_CONFIG].counts.lists_read > 0;
}

/* Names come from the store: characters that would end or escape the label
 * are replaced. */
static void
write_label(const evc_zone *zone, char *text, size_t size)
{
    char name[LV_NAME_SIZE];
    char *cursor;

    gate_zone_name(zone, name, sizeof name);
    for (cursor = name; *cursor != '\0'; cursor++) {
        if (*cursor == '"' || *cursor == '\\' || *cursor == '\n') {
            *cursor = '_';
        }
    }
    snprintf(text, size, "zone=\"%s\"", name);
}

void
gate_write_evacuation_metrics(const gate_server *gate, met_writer *writer)
{
    const gate_counts *counts = &gate->counts;
    const met_scalar values[] = {
        {"lavender_zone_evacuations_total", "counter",
         "evacuations of zones that this instance learned of",
         (double)counts->evacuations},
        {"lavender_evacuation_kept_total", "counter",
         "requests decided again before they were sent, as the zone of their "
         "endpoint is evacuated",
         (double)counts->kept_from_evacuated},
    };
    uint32_t i;

    met_write_scalars(writer, values, sizeof values / sizeof values[0]);
    met_write_header(writer, "lavender_zone_evacuated", "gauge",
                     "1: its endpoints are sent no requests");
    for (i = 0; i < gate->evacuation.count; i++) {
        const evc_zone *zone = &gate->evacuation.zones[i];
        char label[LV_NAME_SIZE + 16];

        write_label(zone, label, sizeof label);
        met_write_sample(writer, "lavender_zone_evacuated", label,
                         zone->is_evacuated);
    }
}
