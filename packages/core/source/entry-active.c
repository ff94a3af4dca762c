#include "entry-imp.h"

void
entry_schedule_tick(entry_state *entry, lv_time time)
{
    if (time < entry->next_tick) {
        entry->next_tick = time;
    }
}

void
entry_mark_shard_due(entry_state *entry, uint32_t index)
{
    entry_shard *shard = &entry->shards[index];

    if (shard->is_due || entry->settings.mode != ENTRY_MODE_LEASES) {
        return;
    }
    shard->is_due = true;
    shard->next_due = NONE;
    if (entry->due_shards.count++ > 0) {
        entry->shards[entry->due_shards.last].next_due = index;
    }
    else {
        entry->due_shards.first = index;
    }
    entry->due_shards.last = index;
}

/* Adds a subflow whose demand changed to the changes for the next report of
 * its shard. An urgent change makes that report due now. */
void
entry_mark_subflow_changed(entry_state *entry, uint32_t index, bool is_urgent)
{
    entry_subflow *subflow = &entry->subflows[index];
    entry_list *changed = &entry->shards[subflow->shard].changed;

    if (!subflow->is_changed) {
        subflow->is_changed = true;
        subflow->next_changed = changed->count > 0 ? changed->first : NONE;
        changed->first = index;
        changed->count++;
    }
    if (is_urgent) {
        entry_mark_shard_due(entry, subflow->shard);
    }
}

bool
entry_has_pending_demand(const entry_state *entry,
                         const entry_subflow *subflow)
{
    return subflow->waiting[CAT_URGENT] > 0 ||
           subflow->waiting[CAT_DEFERRABLE] > 0 || subflow->was_refused ||
           subflow->reported_arrivals != entry->flows[subflow->flow].arrivals;
}

void
entry_append_active_subflow(entry_state *entry, uint32_t index)
{
    entry_subflow *subflow = &entry->subflows[index];
    entry_list *active = &entry->shards[subflow->shard].active;

    subflow->is_active = true;
    subflow->next_active = NONE;
    subflow->previous_active = active->count > 0 ? active->last : NONE;
    if (active->count++ > 0) {
        entry->subflows[active->last].next_active = index;
    }
    else {
        active->first = index;
    }
    active->last = index;
}

/* Adds a subflow that has demand or unreported service to the list that full
 * reports include, and schedules the next reports. */
void
entry_activate_subflow(entry_state *entry, uint32_t index)
{
    entry_subflow *subflow = &entry->subflows[index];
    entry_shard *shard = &entry->shards[subflow->shard];
    lv_time next_progress =
        shard->last_progress_sent + entry->settings.report_interval;
    lv_time next_full = shard->last_full_sent + entry->settings.full_interval;

    if (subflow->is_active ||
        (!entry_has_pending_demand(entry, subflow) &&
         subflow->service_total == subflow->reported_total)) {
        return;
    }
    entry_append_active_subflow(entry, index);
    if (shard->next_full > next_full) {
        shard->next_full = next_full;
        entry_schedule_tick(entry, next_full);
    }
    if (shard->next_progress > next_progress) {
        shard->next_progress = next_progress;
        entry_schedule_tick(entry, next_progress);
    }
}

void
entry_remove_active_subflow(entry_state *entry, uint32_t index)
{
    entry_subflow *subflow = &entry->subflows[index];
    entry_list *active = &entry->shards[subflow->shard].active;

    if (subflow->previous_active != NONE) {
        entry->subflows[subflow->previous_active].next_active =
            subflow->next_active;
    }
    else {
        active->first = subflow->next_active;
    }
    if (subflow->next_active != NONE) {
        entry->subflows[subflow->next_active].previous_active =
            subflow->previous_active;
    }
    else {
        active->last = subflow->previous_active;
    }
    active->count--;
    subflow->is_active = false;
}
