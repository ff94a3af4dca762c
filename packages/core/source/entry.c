#include "lavender/entry.h"

#include <stdlib.h>

#include "entry-imp.h"

#define INITIAL_RETRIES 10u /* before the first success */
#define BUDGET_PER_RETRY UINT64_C(100)

void
entry_default_settings(entry_settings *settings)
{
    *settings = (entry_settings){
        .mode = ENTRY_MODE_LEASES,
        .max_requests = 20000,
        .max_attempts = 3,
        .retry_percent = 20,
        .assumed_instances = 1,
        .report_interval = 100 * LV_MILLISECOND,
        .full_interval = 400 * LV_MILLISECOND,
        .idle_interval = LV_SECOND,
        .short_interval = LV_MILLISECOND,
        .silence_timeout = LV_SECOND,
        .backoff = 100 * LV_MILLISECOND,
        .backoff_max = 2 * LV_SECOND,
        .max_prefixes = 16384,
    };
}

static bool
check_settings(const entry_settings *settings, err_error *error)
{
    if (settings->max_requests == 0 ||
        settings->max_requests >= ITEM_INDEX_MASK) {
        return err_set(
            error, ERR_BAD_VALUE, "write a number from 1 to 1048574",
            "the limit of accepted requests is %u, which is out of range",
            settings->max_requests);
    }
    if (settings->max_attempts == 0 || settings->max_prefixes == 0) {
        return err_set(error, ERR_BAD_VALUE, "write at least 1",
                       "the limit of attempts or of remembered prefixes is 0");
    }
    if (settings->report_interval == 0 || settings->short_interval == 0 ||
        settings->full_interval < settings->report_interval ||
        settings->idle_interval < settings->full_interval ||
        settings->silence_timeout <= settings->full_interval) {
        return err_set(error, ERR_CONFLICT,
                       "make full_interval at least report_interval, "
                       "idle_interval at least full_interval, silence longer "
                       "than full_interval, and all of them above 0",
                       "the report intervals or the silence timeout are 0 or "
                       "contradict each other");
    }
    if (settings->backoff == 0 || settings->backoff_max < settings->backoff) {
        return err_set(error, ERR_CONFLICT,
                       "make rest above 0 and rest_max at least rest",
                       "the backoff of failed endpoints is 0 or longer than "
                       "its maximum");
    }
    return true;
}

static uint32_t *
deadline_heap_index(void *owner, uint32_t item)
{
    return &((entry_state *)owner)->items[item].deadline_heap_index;
}

bool
entry_init(entry_state *entry, lv_host *host, const entry_settings *settings,
           ledger_store *ledger, lv_id self, uint64_t incarnation, lv_time now,
           err_error *error)
{
    (void)now;
    *entry = (entry_state){0};
    if (!check_settings(settings, error)) {
        return false;
    }
    entry->host = host;
    entry->settings = *settings;
    entry->ledger = ledger;
    entry->self = self;
    entry->incarnation = incarnation;
    entry->next_tick = LV_TIME_NEVER;
    entry->next_backoff_end = LV_TIME_NEVER;
    entry->retry_budget =
        settings->retry_percent > 0 ? INITIAL_RETRIES * BUDGET_PER_RETRY : 0;
    fq_init(&entry->queues);
    heap_init(&entry->deadlines, deadline_heap_index, entry);
    entry->prefixes = calloc(settings->max_prefixes, sizeof *entry->prefixes);
    entry->scratch = calloc(1, sizeof *entry->scratch);
    if (entry->prefixes == NULL || entry->scratch == NULL) {
        entry_finish(entry);
        return err_set(error, ERR_MEMORY, "give the process more memory",
                       "cannot allocate the tables of the entry role");
    }
    return true;
}

void
entry_finish(entry_state *entry)
{
    for (uint32_t i = 0; i < entry->shard_count; i++) {
        free(entry->shards[i].released);
    }
    free(entry->items);
    heap_finish(&entry->deadlines);
    fq_finish(&entry->queues);
    free(entry->flows);
    map_finish(&entry->flow_index);
    free(entry->classes);
    map_finish(&entry->class_index);
    free(entry->pools);
    map_finish(&entry->pool_index);
    free(entry->shards);
    map_finish(&entry->shard_index);
    free(entry->subflows);
    map_finish(&entry->subflow_index);
    free(entry->leases);
    map_finish(&entry->lease_index);
    free(entry->endpoints);
    map_finish(&entry->endpoint_index);
    free(entry->prefixes);
    free(entry->scratch);
    free(entry->live_instances);
    *entry = (entry_state){0};
}

/* Records backlogs every report interval while they last, so that a backlog
 * longer than a window of the ledger counts in each window. */
static void
flush_ledger_if_due(entry_state *entry, lv_time now)
{
    if (entry->ledger == NULL || entry->counts.waiting == 0) {
        return;
    }
    if (now >= entry->next_ledger) {
        entry_flush_ledger(entry, now);
        entry->next_ledger = now + entry->settings.report_interval;
    }
    entry_schedule_tick(entry, entry->next_ledger);
}

void
entry_tick(entry_state *entry, lv_time now)
{
    entry->next_tick = LV_TIME_NEVER;
    entry_expire_waiting(entry, now);
    entry_tick_shards(entry, now);
    entry_end_backoffs(entry, now);
    entry_expire_idle_leases(entry, now);
    flush_ledger_if_due(entry, now);
    entry_send_due_reports(entry, now);
}

lv_time
entry_next_tick(const entry_state *entry)
{
    return entry->next_tick;
}

void
entry_drain(entry_state *entry, lv_time now)
{
    (void)now;
    entry->is_draining = true;
}

bool
entry_is_idle(const entry_state *entry)
{
    return entry->counts.waiting == 0 && entry->counts.running == 0;
}

void
entry_read_counts(const entry_state *entry, entry_counts *counts)
{
    *counts = entry->counts;
    counts->memory = entry_memory_usage(entry);
}
