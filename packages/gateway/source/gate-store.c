#include <stdlib.h>

#include "gate-imp.h"
#include "gate-warmup-imp.h"

/* From the expiry of an older copy to the list that it is judged by: entries
 * of the copy were first seen within this time. */
#define COPY_RELIST_DELAY LV_SECOND

const char *
gate_subject_name(wire_subject subject)
{
    return subject == WIRE_CONFIG ? "config" : "endpoints";
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
    gate_apply_warmup(gate, io_now());
}

/* Something in the store is older than what is known here. It is listed again
 * when the copy would have expired, or was written again. */
static void
expect_expiry_of_copy(gate_server *gate, lv_time now)
{
    if (gate->copy_expires_at == 0) {
        gate->copy_expires_at = now + REG_COPY_EXPIRY;
        gate->has_relisted_copy = false;
    }
}

/* Versions only increase. A lower one in a new era was restored from a backup
 * of the store; an equal one updates config_era. */
static bool
is_newer_config(const gate_server *gate, const wire_item *item)
{
    uint64_t version = item->config->version;

    return gate->config == NULL || version > gate->config->version ||
           (version == gate->config->version &&
            item->position.era > gate->config_era);
}

/* asked_ms: since the request was sent; quiet_ms: since the previous reply. */
static void
log_config(const gate_server *gate, const wire_item *item)
{
    const store_feed *feed = &gate->feeds[WIRE_CONFIG];
    const rt_table *config = gate->config;
    lv_time now = io_now();

    log_event(LOG_LEVEL_NOTICE, now, "config",
              "version=%llu era=%llu revision=%llu routes=%u services=%u "
              "accounts=%u ignored=%u error=\"%s\" source=%s relayed=%d "
              "asked_ms=%llu quiet_ms=%llu",
              (unsigned long long)config->version,
              (unsigned long long)item->position.era,
              (unsigned long long)item->position.revision, config->route_count,
              config->service_count, config->account_count,
              config->ignored_count, config->ignored.message,
              feed->is_listing ? "list" : "watch", feed->is_relayed,
              (unsigned long long)(lv_elapsed(now, feed->last_request_at) /
                                   LV_MILLISECOND),
              (unsigned long long)(feed->last_reply_at != 0
                                       ? lv_elapsed(now, feed->last_reply_at) /
                                             LV_MILLISECOND
                                       : 0));
}

static void
apply_config(gate_server *gate, wire_item *item)
{
    rt_table *config = item->config;
    lv_time now = io_now();

    if (config == NULL) {
        log_event(LOG_LEVEL_WARNING, now, "config-unreadable",
                  "key=%s era=%llu revision=%llu error=\"%s\"", item->key,
                  (unsigned long long)item->position.era,
                  (unsigned long long)item->position.revision,
                  item->error.message);
        return;
    }
    if (!is_newer_config(gate, item)) {
        log_event(LOG_LEVEL_INFO, now, "config-kept",
                  "version=%llu offered=%llu era=%llu revision=%llu",
                  (unsigned long long)gate->config->version,
                  (unsigned long long)config->version,
                  (unsigned long long)item->position.era,
                  (unsigned long long)item->position.revision);
        rt_unref(config);
        return;
    }
    rt_note_changes(config, gate->config, now);
    rt_unref(gate->config);
    gate->config = config;
    gate->config_era = item->position.era;
    gate->peers.config_version = config->version;
    gate->callers.limits = config->limits;
    http_allow_head_size(config->limits.head_bytes);
    gate_apply_services(gate);
    gate->has_pending_updates = true;
    gate_tell_split_origins(gate, now);
    log_config(gate, item);
}

/* Reports to the peers that an endpoint gets no new requests, if it was
 * withdrawn or drains. */
static void
report_leaving(gate_server *gate, lv_id endpoint, wire_position position,
               lv_time now)
{
    lv_handle row = eng_find(&gate->endpoints, endpoint);

    if (endpoint != LV_ID_NONE &&
        (row == LV_HANDLE_NONE || !eng_at(&gate->endpoints, row)->is_listed)) {
        peers_report_unlisted(&gate->peers, endpoint, position.era,
                              position.revision, now);
    }
}

void
gate_handle_departure(void *owner, lv_id id, uint64_t era, uint64_t at)
{
    gate_server *gate = owner;
    wire_position position = {.era = era, .revision = at};
    lv_time now = io_now();
    bool is_copy;

    if (at == 0) {
        gate_handle_peer_notice(gate, id);
        return;
    }
    is_copy = reg_apply_earlier_departure(&gate->registry, id, position, now);
    if (is_copy) {
        expect_expiry_of_copy(gate, now);
    }
    if (is_copy || reg_apply_unlisted(&gate->registry, id, position)) {
        log_event(LOG_LEVEL_NOTICE, now, "endpoint",
                  "key=%s change=leaving revision=%llu source=peer",
                  eng_at(&gate->endpoints, eng_find(&gate->endpoints, id))
                      ->spec.label,
                  (unsigned long long)at);
    }
}

/* Instances that started since then read the copy only, and know of no
 * departure. */
static void
report_older_copy(gate_server *gate, const wire_item *item, lv_time now)
{
    peers_report_unlisted(&gate->peers, item->endpoint.id,
                          item->position.era - 1, 1, now);
}

static void
apply_endpoint(gate_server *gate, const wire_item *item)
{
    lv_time now = io_now();
    const reg_entry *entry = reg_find(&gate->registry, item->key);
    lv_id previous = entry != NULL ? entry->endpoint : LV_ID_NONE;
    bool was_leaving = gate_is_leaving(gate, previous);
    const char *change = reg_apply_item(&gate->registry, item, now);

    if (!item->has_endpoint && !item->is_removed) {
        log_event(LOG_LEVEL_WARNING, now, "endpoint-unreadable",
                  "key=%s error=\"%s\"", item->key, item->error.message);
    }
    if (item->has_endpoint && change != reg_older_copy) {
        gate_note_version(gate, &item->endpoint, now);
    }
    if (change == reg_older_copy) {
        expect_expiry_of_copy(gate, now);
        report_older_copy(gate, item, now);
    }
    if (change != reg_older_copy) {
        gate_record_item(gate, item, now);
    }
    if (change != NULL) {
        log_event(LOG_LEVEL_NOTICE, now, "endpoint",
                  "key=%s change=%s era=%llu revision=%llu was_leaving=%d "
                  "version=%s",
                  item->key, change, (unsigned long long)item->position.era,
                  (unsigned long long)item->position.revision, was_leaving,
                  item->has_endpoint && item->endpoint.version[0] != '\0'
                      ? item->endpoint.version
                      : "-");
        gate_apply_services(gate);
        gate->has_pending_updates = true;
        report_leaving(gate, previous, item->position, now);
    }
    if (item->has_endpoint && change != reg_older_copy) {
        gate_note_entry(gate, item, now);
    }
}

static void
on_item(store_feed *feed, wire_item *item)
{
    gate_server *gate = feed->owner;

    rly_apply_item(&gate->relay, feed->subject, item);
    if (item->zone != LV_ID_NONE) {
        gate_apply_zone(gate, item);
    }
    else if (feed->subject == WIRE_CONFIG) {
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

    rly_begin_list(&gate->relay, feed->subject);
    if (feed->subject == WIRE_ENDPOINTS) {
        reg_begin_list(&gate->registry);
        ver_begin_list(&gate->versions);
    }
    else {
        evc_begin_list(&gate->evacuation);
    }
}

/* Removes the endpoints that a full list lacks, and reports to the peers those
 * that are no longer used. */
static void
remove_unlisted(gate_server *gate, wire_position position, lv_time now)
{
    reg_registry *registry = &gate->registry;
    lv_id *lacking = calloc(registry->count + 1, sizeof *lacking);
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; lacking != NULL && i < registry->count; i++) {
        if (!registry->entries[i].is_in_list) {
            lacking[count++] = registry->entries[i].endpoint;
        }
    }
    reg_end_list(registry, now);
    for (i = 0; i < count; i++) {
        report_leaving(gate, lacking[i], position, now);
    }
    free(lacking);
}

static void
on_list_end(store_feed *feed)
{
    gate_server *gate = feed->owner;

    rly_end_list(&gate->relay, feed->subject);
    if (feed->subject == WIRE_ENDPOINTS) {
        remove_unlisted(gate, feed->position, io_now());
        ver_end_list(&gate->versions, io_now());
    }
    else {
        gate_end_zone_list(gate, feed->position);
    }
    log_event(LOG_LEVEL_NOTICE, io_now(), "store-listed",
              "subject=%s revision=%llu", gate_subject_name(feed->subject),
              (unsigned long long)feed->position.revision);
}

void
gate_begin_store_era(void *owner, uint64_t era)
{
    gate_server *gate = owner;
    lv_time now = io_now();
    bool is_first = gate->peers.store_era == 0;
    int i;

    if (era <= gate->peers.store_era) {
        return; /* the other feed has seen it */
    }
    gate->peers.store_era = era;
    log_event(LOG_LEVEL_NOTICE, now, "store-era", "era=%llu",
              (unsigned long long)era);
    if (is_first) {
        return;
    }
    gate->copy_expires_at = 0;
    for (i = 0; i < PEERS_SUBJECTS; i++) {
        gate->peers.named_changes[i] = 0;
    }
    reg_start_grace(&gate->registry, now);
    for (i = 0; i < WIRE_SUBJECT_COUNT; i++) {
        store_feed_note_era(&gate->feeds[i], era);
    }
}

void
gate_relist_after_copy(gate_server *gate, lv_time now)
{
    int i;

    if (gate->copy_expires_at == 0 || gate->has_relisted_copy ||
        lv_elapsed(now, gate->copy_expires_at) < COPY_RELIST_DELAY) {
        return;
    }
    gate->has_relisted_copy = true;
    for (i = 0; i < WIRE_SUBJECT_COUNT; i++) {
        store_feed_relist(&gate->feeds[i]);
    }
}

static void
on_new_era(store_feed *feed)
{
    gate_begin_store_era(feed->owner, feed->position.era);
}

static void
on_store_lost(store_feed *feed, const char *reason)
{
    log_event(LOG_LEVEL_WARNING, io_now(), "store-lost",
              "subject=%s reason=\"%s\"", gate_subject_name(feed->subject),
              reason);
}

static void
on_store_regained(store_feed *feed, lv_time outage)
{
    log_event(LOG_LEVEL_NOTICE, io_now(), "store-regained",
              "subject=%s outage_ms=%llu", gate_subject_name(feed->subject),
              (unsigned long long)(outage / LV_MILLISECOND));
}

const store_ops gate_store_ops = {.on_item = on_item,
                                  .on_list_begin = on_list_begin,
                                  .on_list_end = on_list_end,
                                  .on_applied = gate_handle_applied,
                                  .on_past_begin = gate_begin_past,
                                  .on_past_item = gate_note_past_item,
                                  .on_past_end = gate_end_past,
                                  .on_relay_failed = gate_handle_relay_failed,
                                  .on_lost = on_store_lost,
                                  .on_regained = on_store_regained,
                                  .on_new_era = on_new_era};
