#include <stdlib.h>

#include "gate-imp.h"

static const char *
subject_name(const store_feed *feed)
{
    return feed->subject == WIRE_CONFIG ? "config" : "endpoints";
}

gate_service_budget *
gate_find_budget(gate_server *gate, lv_id service)
{
    uint32_t i;

    for (i = 0; i < gate->service_budget_count; i++) {
        if (gate->service_budgets[i].id == service) {
            return &gate->service_budgets[i];
        }
    }
    return NULL;
}

static void
add_budget(gate_server *gate, lv_id service)
{
    gate_service_budget *budgets =
        realloc(gate->service_budgets,
                (gate->service_budget_count + 1) * sizeof *budgets);

    if (budgets == NULL) {
        return;
    }
    gate->service_budgets = budgets;
    budgets[gate->service_budget_count].id = service;
    bud_init(&budgets[gate->service_budget_count].budget,
             &gate->settings.budget);
    gate->service_budget_count++;
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
        if (gate_find_budget(gate, service->id) == NULL) {
            add_budget(gate, service->id);
        }
    }
}

static void
apply_config(gate_server *gate, wire_item *item)
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
        rt_unref(config);
        return;
    }
    rt_unref(gate->config);
    gate->config = config;
    gate->callers.limits = config->limits;
    gate_apply_services(gate);
    gate->has_pending_updates = true;
    log_event(LOG_LEVEL_NOTICE, now, "config",
              "version=%llu revision=%llu routes=%u services=%u accounts=%u",
              (unsigned long long)config->version,
              (unsigned long long)item->revision, config->route_count,
              config->service_count, config->account_count);
}

/* Reports to the peers that an endpoint gets no new requests, if it was
 * withdrawn or drains. */
static void
report_leaving(gate_server *gate, lv_id endpoint, uint64_t revision,
               lv_time now)
{
    lv_handle row = eng_find(&gate->endpoints, endpoint);

    if (endpoint != LV_ID_NONE &&
        (row == LV_HANDLE_NONE || !eng_at(&gate->endpoints, row)->is_listed)) {
        peers_report_unlisted(&gate->peers, endpoint, revision, now);
    }
}

static void
apply_endpoint(gate_server *gate, const wire_item *item)
{
    lv_time now = io_now();
    const reg_entry *entry = reg_find(&gate->registry, item->key);
    lv_id previous = entry != NULL ? entry->endpoint : LV_ID_NONE;
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
        gate->has_pending_updates = true;
        report_leaving(gate, previous, item->revision, now);
    }
}

static void
on_item(store_feed *feed, wire_item *item)
{
    gate_server *gate = feed->owner;

    if (feed->subject == WIRE_CONFIG) {
        apply_config(gate, item);
    }
    else {
        apply_endpoint(gate, item);
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
on_store_lost(store_feed *feed, const char *reason)
{
    log_event(LOG_LEVEL_WARNING, io_now(), "store-lost",
              "subject=%s reason=\"%s\"", subject_name(feed), reason);
}

static void
on_store_regained(store_feed *feed, lv_time outage)
{
    log_event(LOG_LEVEL_NOTICE, io_now(), "store-regained",
              "subject=%s outage_ms=%llu", subject_name(feed),
              (unsigned long long)(outage / LV_MILLISECOND));
}

const store_ops gate_store_ops = {.on_item = on_item,
                                  .on_list_begin = on_list_begin,
                                  .on_list_end = on_list_end,
                                  .on_lost = on_store_lost,
                                  .on_regained = on_store_regained};
