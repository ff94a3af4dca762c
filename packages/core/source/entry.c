#include "lavender/entry.h"

#include <stdlib.h>

#include "entry-imp.h"

#define FIRST_RETRIES 10u /* before there were successes */
#define HUNDREDTHS UINT64_C(100)

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
            "the bound of accepted requests is %u", settings->max_requests);
    }
    if (settings->max_attempts == 0 || settings->max_prefixes == 0) {
        return err_set(error, ERR_BAD_VALUE, "write at least 1",
                       "the attempts for a request or the remembered "
                       "prefixes are 0");
    }
    if (settings->report_interval == 0 || settings->short_interval == 0 ||
        settings->full_interval < settings->report_interval ||
        settings->idle_interval < settings->full_interval ||
        settings->silence_timeout <= settings->full_interval) {
        return err_set(error, ERR_CONFLICT,
                       "make the full interval at least the report interval, "
                       "the idle interval and the silence longer than that, "
                       "and all over 0",
                       "the intervals of reports do not fit together");
    }
    if (settings->backoff == 0 || settings->backoff_max < settings->backoff) {
        return err_set(error, ERR_CONFLICT,
                       "make the longest rest at least as long as the first",
                       "the rests of failed endpoints do not fit together");
    }
    return true;
}

static uint32_t *
deadline_place(void *owner, uint32_t item)
{
    return &((entry_state *)owner)->items[item].deadline_place;
}

bool
entry_init(entry_state *entry, lv_host *host, const entry_settings *settings,
           ledger_ledger *ledger, lv_id self, uint64_t incarnation,
           lv_time now, err_error *error)
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
    entry->next_rest = LV_TIME_NEVER;
    entry->budget =
        settings->retry_percent > 0 ? FIRST_RETRIES * HUNDREDTHS : 0;
    fq_init(&entry->queues);
    heap_init(&entry->deadlines, deadline_place, entry);
    entry->prefixes = calloc(settings->max_prefixes, sizeof *entry->prefixes);
    entry->scratch = calloc(1, sizeof *entry->scratch);
    if (entry->prefixes == NULL || entry->scratch == NULL) {
        entry_finish(entry);
        return err_set(error, ERR_MEMORY, "give the process more memory",
                       "no memory for the entry's tables");
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
    free(entry->parts);
    map_finish(&entry->part_index);
    free(entry->leases);
    map_finish(&entry->lease_index);
    free(entry->endpoints);
    map_finish(&entry->endpoint_index);
    free(entry->prefixes);
    free(entry->scratch);
    free(entry->live);
    *entry = (entry_state){0};
}

/* Long backlogs are booked while they last, so that each window of the
 * ledger gets its part. */
static void
flush_ledger(entry_state *entry, lv_time now)
{
    if (entry->ledger == NULL || entry->counts.waiting == 0) {
        return;
    }
    if (now >= entry->next_ledger) {
        entry_flush_ledger(entry, now);
        entry->next_ledger = now + entry->settings.report_interval;
    }
    entry_wake(entry, entry->next_ledger);
}

void
entry_tick(entry_state *entry, lv_time now)
{
    entry->next_tick = LV_TIME_NEVER;
    entry_expire_waits(entry, now);
    entry_tick_shards(entry, now);
    entry_end_rests(entry, now);
    entry_expire_holds(entry, now);
    flush_ledger(entry, now);
    entry_flush(entry, now);
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
    counts->memory = entry_memory(entry);
}
