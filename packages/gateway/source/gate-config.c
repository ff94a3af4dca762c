#include <stdlib.h>

#include "gate-imp.h"

static const char *
subject_name(const store_feed *feed)
{
    return feed->subject == WIRE_CONFIG ? "config" : "endpoints";
}

gate_service *
gate_find_service(gate_server *gate, lv_id service)
{
    uint32_t i;

    for (i = 0; i < gate->service_count; i++) {
        if (gate->services[i].id == service) {
            return &gate->services[i];
        }
    }
    return NULL;
}

static void
add_service(gate_server *gate, lv_id service)
{
    gate_service *grown =
        realloc(gate->services, (gate->service_count + 1) * sizeof *grown);

    if (grown == NULL) {
        return;
    }
    gate->services = grown;
    grown[gate->service_count].id = service;
    bud_init(&grown[gate->service_count].budget, &gate->settings.budget);
    gate->service_count++;
}

void
gate_apply_services(gate_server *gate)
{
    uint32_t i;

    if (gate->config == NULL) {
        return;
    }
    for (i = 0; i < gate->config->service_count; i++) {
        const rt_service *service = &gate->config->services[i];

        eng_set_service(&gate->endpoints, service->id, service->is_engine,
                        service->kv_tokens);
        if (gate_find_service(gate, service->id) == NULL) {
            add_service(gate, service->id);
        }
    }
}

static void
take_config(gate_server *gate, wire_item *item)
{
    rt_table *config = item->config;
    lv_time now = io_now();

    if (config == NULL) {
        log_event(LOG_LEVEL_WARNING, now, "config-unreadable",
                  "key=%s revision=%llu error=\"%s\"", item->key,
                  (unsigned long long)item->revision, item->error.message);
        return;
    }
    if (gate->config != NULL && config->version <= gate->config->version) {
        log_event(LOG_LEVEL_INFO, now, "config-kept",
                  "version=%llu offered=%llu",
                  (unsigned long long)gate->config->version,
                  (unsigned long long)config->version);
        rt_release(config);
        return;
    }
    rt_release(gate->config);
    gate->config = config;
    gate->callers.limits = config->limits;
    gate_apply_services(gate);
    gate->has_news = true;
    log_event(LOG_LEVEL_NOTICE, now, "config",
              "version=%llu revision=%llu routes=%u services=%u accounts=%u",
              (unsigned long long)config->version,
              (unsigned long long)item->revision, config->route_count,
              config->service_count, config->account_count);
}

/* Tell the peers when the endpoint of an entry gets no new requests. */
static void
note_leaving(gate_server *gate, lv_id endpoint, uint64_t revision, lv_time now)
{
    lv_handle row = eng_find(&gate->endpoints, endpoint);

    if (endpoint != LV_ID_NONE &&
        (row == LV_HANDLE_NONE || !eng_at(&gate->endpoints, row)->is_listed)) {
        peers_report_unlisted(&gate->peers, endpoint, revision, now);
    }
}

static void
take_endpoint(gate_server *gate, const wire_item *item)
{
    lv_time now = io_now();
    const reg_entry *known = reg_find(&gate->registry, item->key);
    lv_id before = known != NULL ? known->endpoint : LV_ID_NONE;
    const char *change = reg_apply_item(&gate->registry, item, now);

    if (!item->has_endpoint && !item->is_removed) {
        log_event(LOG_LEVEL_WARNING, now, "endpoint-unreadable",
                  "key=%s error=\"%s\"", item->key, item->error.message);
    }
    if (change != NULL) {
        log_event(LOG_LEVEL_NOTICE, now, "endpoint",
                  "key=%s change=%s revision=%llu", item->key, change,
                  (unsigned long long)item->revision);
        gate_apply_services(gate);
        gate->has_news = true;
        note_leaving(gate, before, item->revision, now);
    }
}

static void
on_item(store_feed *feed, wire_item *item)
{
    gate_server *gate = feed->owner;

    if (feed->subject == WIRE_CONFIG) {
        take_config(gate, item);
    }
    else {
        take_endpoint(gate, item);
    }
}

static void
on_list_begin(store_feed *feed)
{
    gate_server *gate = feed->owner;

    if (feed->subject == WIRE_ENDPOINTS) {
        reg_begin_list(&gate->registry);
    }
}

static void
on_list_end(store_feed *feed)
{
    gate_server *gate = feed->owner;

    if (feed->subject == WIRE_ENDPOINTS) {
        reg_end_list(&gate->registry, io_now());
    }
    log_event(LOG_LEVEL_NOTICE, io_now(), "store-listed",
              "subject=%s revision=%llu", subject_name(feed),
              (unsigned long long)feed->revision);
}

static void
on_lost(store_feed *feed, const char *reason)
{
    log_event(LOG_LEVEL_WARNING, io_now(), "store-lost",
              "subject=%s reason=\"%s\"", subject_name(feed), reason);
}

static void
on_regained(store_feed *feed, lv_time outage)
{
    log_event(LOG_LEVEL_NOTICE, io_now(), "store-regained",
              "subject=%s outage_ms=%llu", subject_name(feed),
              (unsigned long long)(outage / LV_MILLISECOND));
}

const store_ops gate_store_ops = {.on_item = on_item,
                                  .on_list_begin = on_list_begin,
                                  .on_list_end = on_list_end,
                                  .on_lost = on_lost,
                                  .on_regained = on_regained};
