#include "entry-imp.h"

#include <string.h>

static lv_time
queue_head_age(const entry_state *entry, lv_time now, uint32_t flow,
               int priority)
{
    lv_handle item = entry->queues.flows[flow].first[priority];

    return item == LV_HANDLE_NONE
               ? 0
               : lv_elapsed(now, entry->items[item].arrived);
}

static void
append_demand(entry_state *entry, lv_time now, entry_subflow *subflow,
              msg_message *message)
{
    msg_demand *demand = &entry->scratch->demands[message->demand_count];

    if (message->demand_count == MSG_ITEMS_MAX) {
        return;
    }
    message->demand_count++;
    demand->account = entry->flows[subflow->flow].account;
    demand->arrivals = entry->flows[subflow->flow].arrivals;
    subflow->reported_arrivals = demand->arrivals;
    subflow->was_refused = false;
    for (int i = 0; i < CAT_PRIORITY_COUNT; i++) {
        demand->waiting[i] = subflow->waiting[i];
        demand->oldest_age[i] = queue_head_age(entry, now, subflow->flow, i);
        subflow->reported[i] = subflow->waiting[i];
    }
}

static void
append_service(entry_state *entry, entry_subflow *subflow,
               msg_message *message)
{
    msg_service *service = &entry->scratch->services[message->service_count];

    if (message->service_count == MSG_ITEMS_MAX) {
        return;
    }
    message->service_count++;
    service->account = entry->flows[subflow->flow].account;
    service->total = subflow->service_total;
    service->level = subflow->level;
    service->since = subflow->service_total - subflow->total_at_level;
    subflow->previous_reported_total = subflow->reported_total;
    subflow->reported_total = subflow->service_total;
    subflow->progress_total = subflow->service_total;
}

static void
append_released(entry_state *entry, entry_shard *shard, msg_message *message)
{
    uint32_t count = shard->released_count < MSG_ITEMS_MAX
                         ? shard->released_count
                         : MSG_ITEMS_MAX;

    if (count == 0) {
        return;
    }
    memcpy(entry->scratch->released, shard->released,
           count * sizeof *shard->released);
    message->released_count = count;
    shard->released_count -= count;
    memmove(shard->released, shard->released + count,
            shard->released_count * sizeof *shard->released);
}

static void
append_held_leases(entry_state *entry, const entry_shard *shard,
                   msg_message *message)
{
    uint32_t index = shard->leases.first;
    uint32_t count = shard->leases.count < MSG_ITEMS_MAX ? shard->leases.count
                                                         : MSG_ITEMS_MAX;

    for (uint32_t i = 0; i < count; i++) {
        const entry_lease *lease = &entry->leases[index];
        msg_lease *held = &entry->scratch->held[i];

        *held = (msg_lease){.lease = lease->id,
                            .endpoint = entry->endpoints[lease->endpoint].id};
        if (lease->flow != NONE) {
            held->account = entry->flows[lease->flow].account;
        }
        if (lease->item != NONE) {
            held->is_busy = true;
            held->priority = entry->items[lease->item].priority;
        }
        index = lease->next[LIST_SHARD];
    }
    message->held_count = count;
}

static void
init_report(entry_state *entry, entry_shard *shard, msg_message *message)
{
    *message = (msg_message){
        .kind = MSG_REPORT,
        .version = MSG_VERSION,
        .sender = entry->self,
        .incarnation = entry->incarnation,
        .target_incarnation = shard->dispatcher_incarnation,
        .sequence = ++shard->report_sequence,
        .tenure = shard->tenure,
        .pool = entry->pools[shard->pool].id,
        .shard = shard->number,
        .seen = shard->grant_sequence,
        .demands = entry->scratch->demands,
        .held = entry->scratch->held,
        .released = entry->scratch->released,
        .services = entry->scratch->services,
    };
}

/* Appends demand that changed and leases released since the last report;
 * returns whether there were any. */
static bool
append_changes(entry_state *entry, lv_time now, entry_shard *shard,
               msg_message *message)
{
    uint32_t index = shard->changed.first;
    uint32_t count = shard->changed.count;

    for (uint32_t i = 0; i < count; i++) {
        entry_subflow *subflow = &entry->subflows[index];

        if (message->demand_count == MSG_ITEMS_MAX) {
            break;
        }
        shard->changed.first = subflow->next_changed;
        shard->changed.count--;
        subflow->is_changed = false;
        if (memcmp(subflow->waiting, subflow->reported,
                   sizeof subflow->reported) != 0) {
            append_demand(entry, now, subflow, message);
        }
        index = subflow->next_changed;
    }
    append_released(entry, shard, message);
    return message->demand_count > 0 || message->released_count > 0;
}

static void
send_short_report(entry_state *entry, lv_time now, entry_shard *shard)
{
    msg_message message;

    init_report(entry, shard, &message);
    if (!append_changes(entry, now, shard, &message)) {
        shard->report_sequence--;
        return;
    }
    shard->last_report_sent = now;
    entry->counts.reports_short++;
    if (shard->changed.count > 0 || shard->released_count > 0) {
        entry_mark_shard_due(entry, (uint32_t)(shard - entry->shards));
    }
    entry->host->ops->send(entry->host, shard->dispatcher, &message);
}

static void
append_claim(entry_state *entry, lv_time now, entry_shard *shard,
             msg_message *message)
{
    uint32_t index = shard->subflows.count > 0 ? shard->subflows.first : NONE;

    while (index != NONE) {
        entry_subflow *subflow = &entry->subflows[index];

        subflow->reported[CAT_URGENT] = 0;
        subflow->reported[CAT_DEFERRABLE] = 0;
        if (entry_has_pending_demand(entry, subflow)) {
            append_demand(entry, now, subflow, message);
        }
        if (subflow->service_total != 0 || subflow->level != 0) {
            append_service(entry, subflow, message);
        }
        index = subflow->next;
    }
}

/* Appends the service and demand of a subflow to a full report if there is
 * room. Demand that a full report does not list counts as none. */
static void
append_active_subflow(entry_state *entry, lv_time now, uint32_t index,
                      msg_message *message)
{
    entry_subflow *subflow = &entry->subflows[index];
    bool has_room = message->service_count < MSG_ITEMS_MAX;

    subflow->reported[CAT_URGENT] = 0;
    subflow->reported[CAT_DEFERRABLE] = 0;
    if (!has_room) {
        return;
    }
    append_service(entry, subflow, message);
    if (entry_has_pending_demand(entry, subflow)) {
        append_demand(entry, now, subflow, message);
    }
    entry_remove_active_subflow(entry, index);
    if (entry_has_pending_demand(entry, subflow)) {
        entry_append_active_subflow(entry, index);
    }
}

/* Appends all active subflows. Those for which there is no room stay at the
 * head of the list and come first in the next report. */
static void
append_active_subflows(entry_state *entry, lv_time now, entry_shard *shard,
                       msg_message *message)
{
    uint32_t index = shard->active.first;
    uint32_t count = shard->active.count;

    for (uint32_t i = 0; i < count; i++) {
        uint32_t next = entry->subflows[index].next_active;

        append_active_subflow(entry, now, index, message);
        index = next;
    }
}

/* Marks demand for which the report had no room, so that short reports list
 * it. */
static void
mark_unreported(entry_state *entry, const entry_shard *shard)
{
    uint32_t index = shard->active.first;

    for (uint32_t i = 0; i < shard->active.count; i++) {
        const entry_subflow *subflow = &entry->subflows[index];

        if (memcmp(subflow->waiting, subflow->reported,
                   sizeof subflow->reported) != 0) {
            entry_mark_subflow_changed(entry, index, true);
        }
        index = subflow->next_active;
    }
}

static void
clear_changes(entry_state *entry, entry_shard *shard)
{
    uint32_t index = shard->changed.first;

    for (uint32_t i = 0; i < shard->changed.count; i++) {
        entry->subflows[index].is_changed = false;
        index = entry->subflows[index].next_changed;
    }
    shard->changed.count = 0;
}

/* A claim is repeated after the report interval: the first may arrive before
 * the receiver knows that it is the dispatcher. */
static lv_time
choose_full_interval(const entry_state *entry, const entry_shard *shard)
{
    if (shard->is_claiming || shard->is_stale) {
        return entry->settings.report_interval;
    }
    if (shard->active.count > 0 || shard->leases.count > 0) {
        return entry->settings.full_interval;
    }
    return entry->settings.idle_interval;
}

static void
record_full_sent(entry_state *entry, lv_time now, entry_shard *shard)
{
    bool is_busy = shard->active.count > 0 || shard->leases.count > 0;

    shard->last_full_sent = now;
    shard->last_report_sent = now;
    shard->last_progress_sent = now;
    shard->next_full = now + choose_full_interval(entry, shard);
    shard->next_progress =
        is_busy ? now + entry->settings.report_interval : LV_TIME_NEVER;
    if (shard->unanswered_since == 0) {
        shard->unanswered_since = now;
    }
    if (shard->is_claiming && shard->claim_sent == 0) {
        shard->claim_sent = now;
    }
    entry_schedule_tick(entry, shard->next_full);
    entry_schedule_tick(entry, shard->next_progress);
    entry_schedule_tick(entry, shard->unanswered_since +
                                   entry->settings.silence_timeout);
    entry->counts.reports_full++;
}

/* Charges the requests that run in a service pool for the time so far: slot
 * time is used also while no answer arrives. */
static void
charge_running_services(entry_state *entry, lv_time now,
                        const entry_shard *shard)
{
    uint32_t index = shard->leases.first;

    if (entry->pools[shard->pool].kind != CAT_POOL_SERVICE) {
        return;
    }
    for (uint32_t i = 0; i < shard->leases.count; i++) {
        const entry_lease *lease = &entry->leases[index];

        if (lease->item != NONE) {
            entry_charge_progress(entry, now, lease->item);
        }
        index = lease->next[LIST_SHARD];
    }
}

void
entry_send_full_report(entry_state *entry, lv_time now, uint32_t index)
{
    entry_shard *shard = &entry->shards[index];
    msg_message message;

    charge_running_services(entry, now, shard);
    init_report(entry, shard, &message);
    message.is_full = true;
    message.sent = now;
    message.is_claim = shard->is_claiming;
    if (shard->is_claiming) {
        append_claim(entry, now, shard, &message);
    }
    else {
        append_active_subflows(entry, now, shard, &message);
    }
    clear_changes(entry, shard);
    append_held_leases(entry, shard, &message);
    append_released(entry, shard, &message);
    record_full_sent(entry, now, shard);
    if (message.demand_count == MSG_ITEMS_MAX ||
        message.service_count == MSG_ITEMS_MAX) {
        mark_unreported(entry, shard);
    }
    entry->host->ops->send(entry->host, shard->dispatcher, &message);
}

/* Appends service totals that changed, and arrivals of accounts that have a
 * fleet-wide rate. */
static void
append_progress(entry_state *entry, lv_time now, const entry_shard *shard,
                msg_message *message)
{
    uint32_t index = shard->active.first;

    for (uint32_t i = 0; i < shard->active.count; i++) {
        entry_subflow *subflow = &entry->subflows[index];
        const entry_flow *flow = &entry->flows[subflow->flow];

        if (subflow->service_total != subflow->progress_total &&
            message->service_count < MSG_ITEMS_MAX) {
            msg_service *service =
                &entry->scratch->services[message->service_count++];

            *service = (msg_service){.account = flow->account,
                                     .total = subflow->service_total};
            subflow->progress_total = subflow->service_total;
        }
        if (flow->is_rated && subflow->reported_arrivals != flow->arrivals) {
            append_demand(entry, now, subflow, message);
        }
        index = subflow->next_active;
    }
}

/* Sends the service used since the last report. This is sent more often than
 * full reports, which also list the leases. */
static void
send_progress_report(entry_state *entry, lv_time now, entry_shard *shard)
{
    msg_message message;

    charge_running_services(entry, now, shard);
    init_report(entry, shard, &message);
    message.is_progress = true;
    append_changes(entry, now, shard, &message);
    append_progress(entry, now, shard, &message);
    shard->last_progress_sent = now;
    shard->next_progress = now + entry->settings.report_interval;
    entry_schedule_tick(entry, shard->next_progress);
    if (message.demand_count + message.service_count +
            message.released_count ==
        0) {
        shard->report_sequence--;
        return;
    }
    shard->last_report_sent = now;
    entry->counts.reports_progress++;
    entry->host->ops->send(entry->host, shard->dispatcher, &message);
}

static bool
pop_due_shard(entry_state *entry, uint32_t *index)
{
    if (entry->due_shards.count == 0) {
        return false;
    }
    *index = entry->due_shards.first;
    entry->due_shards.first = entry->shards[*index].next_due;
    entry->due_shards.count--;
    entry->shards[*index].is_due = false;
    return true;
}

/* Sends the reports that are due. A short report too soon after the last
 * report stays due. */
void
entry_send_due_reports(entry_state *entry, lv_time now)
{
    uint32_t postponed = 0;
    uint32_t index;

    if (entry->is_sending) {
        return;
    }
    entry->is_sending = true;
    while (postponed < entry->due_shards.count &&
           pop_due_shard(entry, &index)) {
        entry_shard *shard = &entry->shards[index];
        lv_time earliest =
            shard->last_report_sent + entry->settings.short_interval;

        if (shard->dispatcher == LV_ID_NONE) {
            continue;
        }
        if (shard->next_full <= now) {
            entry_send_full_report(entry, now, index);
        }
        else if (shard->next_progress <= now) {
            send_progress_report(entry, now, shard);
        }
        else if (now >= earliest) {
            send_short_report(entry, now, shard);
        }
        else {
            entry_mark_shard_due(entry, index);
            entry_schedule_tick(entry, earliest);
            postponed++;
        }
    }
    entry->is_sending = false;
}
