#include "entry-imp.h"

void
entry_wake(entry_state *entry, lv_time time)
{
    if (time < entry->next_tick) {
        entry->next_tick = time;
    }
}

void
entry_mark_due(entry_state *entry, uint32_t index)
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

/* The part's demand changed; an urgent change goes out at once. */
void
entry_mark_part(entry_state *entry, uint32_t index, bool is_urgent)
{
    entry_part *part = &entry->parts[index];
    entry_list *changed = &entry->shards[part->shard].changed;

    if (!part->is_changed) {
        part->is_changed = true;
        part->next_changed = changed->count > 0 ? changed->first : NONE;
        changed->first = index;
        changed->count++;
    }
    if (is_urgent) {
        entry_mark_due(entry, part->shard);
    }
}

bool
entry_has_demand(const entry_state *entry, const entry_part *part)
{
    return part->waiting[CAT_URGENT] > 0 ||
           part->waiting[CAT_DEFERRABLE] > 0 || part->was_refused ||
           part->told_arrivals != entry->flows[part->flow].arrivals;
}

void
entry_append_active(entry_state *entry, uint32_t index)
{
    entry_part *part = &entry->parts[index];
    entry_list *active = &entry->shards[part->shard].active;

    part->is_active = true;
    part->next_active = NONE;
    part->previous_active = active->count > 0 ? active->last : NONE;
    if (active->count++ > 0) {
        entry->parts[active->last].next_active = index;
    }
    else {
        active->first = index;
    }
    active->last = index;
}

/* Enter a part into the list of those that full reports tell about. */
void
entry_update_active(entry_state *entry, uint32_t index)
{
    entry_part *part = &entry->parts[index];
    entry_shard *shard = &entry->shards[part->shard];
    lv_time progress = shard->progress_sent + entry->settings.report_interval;
    lv_time full = shard->full_sent + entry->settings.full_interval;

    if (part->is_active ||
        (!entry_has_demand(entry, part) && part->total == part->told_total)) {
        return;
    }
    entry_append_active(entry, index);
    if (shard->next_full > full) {
        shard->next_full = full;
        entry_wake(entry, full);
    }
    if (shard->next_progress > progress) {
        shard->next_progress = progress;
        entry_wake(entry, progress);
    }
}

void
entry_leave_active(entry_state *entry, uint32_t index)
{
    entry_part *part = &entry->parts[index];
    entry_list *active = &entry->shards[part->shard].active;

    if (part->previous_active != NONE) {
        entry->parts[part->previous_active].next_active = part->next_active;
    }
    else {
        active->first = part->next_active;
    }
    if (part->next_active != NONE) {
        entry->parts[part->next_active].previous_active =
            part->previous_active;
    }
    else {
        active->last = part->previous_active;
    }
    active->count--;
    part->is_active = false;
}
