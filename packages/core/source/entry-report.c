#include "entry-imp.h"

#include <string.h>

static lv_time
oldest_age(const entry_state *entry, lv_time now, uint32_t flow, int priority)
{
    lv_handle item = entry->queues.flows[flow].first[priority];

    return item == LV_HANDLE_NONE
               ? 0
               : lv_elapsed(now, entry->items[item].arrived);
}

static void
add_demand(entry_state *entry, lv_time now, entry_part *part,
           msg_message *message)
{
    msg_demand *demand = &entry->scratch->demands[message->demand_count];

    if (message->demand_count == MSG_ITEMS_MAX) {
        return;
    }
    message->demand_count++;
    demand->account = entry->flows[part->flow].account;
    demand->arrivals = entry->flows[part->flow].arrivals;
    part->told_arrivals = demand->arrivals;
    part->was_refused = false;
    for (int i = 0; i < CAT_PRIORITY_COUNT; i++) {
        demand->waiting[i] = part->waiting[i];
        demand->oldest_age[i] = oldest_age(entry, now, part->flow, i);
        part->told[i] = part->waiting[i];
    }
}

static void
add_service(entry_state *entry, entry_part *part, msg_message *message)
{
    msg_service *service = &entry->scratch->services[message->service_count];

    if (message->service_count == MSG_ITEMS_MAX) {
        return;
    }
    message->service_count++;
    service->account = entry->flows[part->flow].account;
    service->total = part->total;
    service->level = part->level;
    service->since = part->total - part->level_total;
    part->previous_total = part->told_total;
    part->told_total = part->total;
    part->progress_total = part->total;
}

static void
add_released(entry_state *entry, entry_shard *shard, msg_message *message)
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
add_held(entry_state *entry, const entry_shard *shard, msg_message *message)
{
    uint32_t index = shard->leases.first;
    uint32_t count = shard->leases.count < MSG_ITEMS_MAX ? shard->leases.count
                                                         : MSG_ITEMS_MAX;

    for (uint32_t i = 0; i < count; i++) {
        const entry_lease *lease = &entry->leases[index];
        msg_held *held = &entry->scratch->held[i];

        *held = (msg_held){.lease = lease->id,
                           .endpoint = entry->endpoints[lease->endpoint].id};
        if (lease->flow != NONE) {
            held->account = entry->flows[lease->flow].account;
        }
        if (lease->item != NONE) {
            held->is_busy = true;
            held->priority = entry->items[lease->item].priority;
        }
        index = lease->next[CHAIN_SHARD];
    }
    message->held_count = count;
}

static void
start_message(entry_state *entry, entry_shard *shard, msg_message *message)
{
    *message = (msg_message){
        .kind = MSG_REPORT,
        .version = MSG_VERSION,
        .sender = entry->self,
        .incarnation = entry->incarnation,
        .target_incarnation = shard->heard_incarnation,
        .sequence = ++shard->sequence,
        .tenure = shard->tenure,
        .pool = entry->pools[shard->pool].id,
        .shard = shard->number,
        .seen = shard->seen,
        .demands = entry->scratch->demands,
        .held = entry->scratch->held,
        .released = entry->scratch->released,
        .services = entry->scratch->services,
    };
}

/* Tell the changes since the last report; true when there were any. */
static bool
add_changes(entry_state *entry, lv_time now, entry_shard *shard,
            msg_message *message)
{
    uint32_t index = shard->changed.first;
    uint32_t count = shard->changed.count;

    for (uint32_t i = 0; i < count; i++) {
        entry_part *part = &entry->parts[index];

        if (message->demand_count == MSG_ITEMS_MAX) {
            break;
        }
        shard->changed.first = part->next_changed;
        shard->changed.count--;
        part->is_changed = false;
        if (memcmp(part->waiting, part->told, sizeof part->told) != 0) {
            add_demand(entry, now, part, message);
        }
        index = part->next_changed;
    }
    add_released(entry, shard, message);
    return message->demand_count > 0 || message->released_count > 0;
}

static void
send_short(entry_state *entry, lv_time now, entry_shard *shard)
{
    msg_message message;

    start_message(entry, shard, &message);
    if (!add_changes(entry, now, shard, &message)) {
        shard->sequence--;
        return;
    }
    shard->short_sent = now;
    entry->counts.reports_short++;
    if (shard->changed.count > 0 || shard->released_count > 0) {
        entry_mark_due(entry, (uint32_t)(shard - entry->shards));
    }
    entry->host->ops->send(entry->host, shard->dispatcher, &message);
}

static void
add_claim(entry_state *entry, lv_time now, entry_shard *shard,
          msg_message *message)
{
    uint32_t index = shard->parts.count > 0 ? shard->parts.first : NONE;

    while (index != NONE) {
        entry_part *part = &entry->parts[index];

        part->told[CAT_URGENT] = 0;
        part->told[CAT_DEFERRABLE] = 0;
        if (entry_has_demand(entry, part)) {
            add_demand(entry, now, part, message);
        }
        if (part->total != 0 || part->level != 0) {
            add_service(entry, part, message);
        }
        index = part->next;
    }
}

/* What a full report does not list counts as no demand. */
static void
add_active_part(entry_state *entry, lv_time now, uint32_t index,
                msg_message *message)
{
    entry_part *part = &entry->parts[index];
    bool has_room = message->service_count < MSG_ITEMS_MAX;

    part->told[CAT_URGENT] = 0;
    part->told[CAT_DEFERRABLE] = 0;
    if (!has_room) {
        return;
    }
    add_service(entry, part, message);
    if (entry_has_demand(entry, part)) {
        add_demand(entry, now, part, message);
    }
    entry_leave_active(entry, index);
    if (entry_has_demand(entry, part)) {
        entry_append_active(entry, index);
    }
}

/* Those that found no room come first in the next report. */
static void
add_active(entry_state *entry, lv_time now, entry_shard *shard,
           msg_message *message)
{
    uint32_t index = shard->active.first;
    uint32_t count = shard->active.count;

    for (uint32_t i = 0; i < count; i++) {
        uint32_t next = entry->parts[index].next_active;

        add_active_part(entry, now, index, message);
        index = next;
    }
}

/* Demand that found no room follows in short reports. */
static void
mark_untold(entry_state *entry, const entry_shard *shard)
{
    uint32_t index = shard->active.first;

    for (uint32_t i = 0; i < shard->active.count; i++) {
        const entry_part *part = &entry->parts[index];

        if (memcmp(part->waiting, part->told, sizeof part->told) != 0) {
            entry_mark_part(entry, index, true);
        }
        index = part->next_active;
    }
}

static void
forget_changes(entry_state *entry, entry_shard *shard)
{
    uint32_t index = shard->changed.first;

    for (uint32_t i = 0; i < shard->changed.count; i++) {
        entry->parts[index].is_changed = false;
        index = entry->parts[index].next_changed;
    }
    shard->changed.count = 0;
}

/* A claim is repeated soon: the first may come before its receiver knows that
 * it is the dispatcher. */
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
note_full_sent(entry_state *entry, lv_time now, entry_shard *shard)
{
    bool is_busy = shard->active.count > 0 || shard->leases.count > 0;

    shard->full_sent = now;
    shard->short_sent = now;
    shard->progress_sent = now;
    shard->next_full = now + choose_full_interval(entry, shard);
    shard->next_progress =
        is_busy ? now + entry->settings.report_interval : LV_TIME_NEVER;
    if (shard->unanswered_since == 0) {
        shard->unanswered_since = now;
    }
    if (shard->is_claiming && shard->claim_sent == 0) {
        shard->claim_sent = now;
    }
    entry_wake(entry, shard->next_full);
    entry_wake(entry, shard->next_progress);
    entry_wake(entry,
               shard->unanswered_since + entry->settings.silence_timeout);
    entry->counts.reports_full++;
}

/* Slot time counts while it passes, also when no answer streams. */
static void
charge_running(entry_state *entry, lv_time now, const entry_shard *shard)
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
        index = lease->next[CHAIN_SHARD];
    }
}

void
entry_send_full(entry_state *entry, lv_time now, uint32_t index)
{
    entry_shard *shard = &entry->shards[index];
    msg_message message;

    charge_running(entry, now, shard);
    start_message(entry, shard, &message);
    message.is_full = true;
    message.sent = now;
    message.is_claim = shard->is_claiming;
    if (shard->is_claiming) {
        add_claim(entry, now, shard, &message);
    }
    else {
        add_active(entry, now, shard, &message);
    }
    forget_changes(entry, shard);
    add_held(entry, shard, &message);
    add_released(entry, shard, &message);
    note_full_sent(entry, now, shard);
    if (message.demand_count == MSG_ITEMS_MAX ||
        message.service_count == MSG_ITEMS_MAX) {
        mark_untold(entry, shard);
    }
    entry->host->ops->send(entry->host, shard->dispatcher, &message);
}

/* Service that changed, and arrivals that use up a fleet-wide rate. */
static void
add_progress(entry_state *entry, lv_time now, const entry_shard *shard,
             msg_message *message)
{
    uint32_t index = shard->active.first;

    for (uint32_t i = 0; i < shard->active.count; i++) {
        entry_part *part = &entry->parts[index];
        const entry_flow *flow = &entry->flows[part->flow];

        if (part->total != part->progress_total &&
            message->service_count < MSG_ITEMS_MAX) {
            msg_service *service =
                &entry->scratch->services[message->service_count++];

            *service =
                (msg_service){.account = flow->account, .total = part->total};
            part->progress_total = part->total;
        }
        if (flow->is_rated && part->told_arrivals != flow->arrivals) {
            add_demand(entry, now, part, message);
        }
        index = part->next_active;
    }
}

/* Between full reports, what was used is told more often than what is
 * held. */
static void
send_progress(entry_state *entry, lv_time now, entry_shard *shard)
{
    msg_message message;

    charge_running(entry, now, shard);
    start_message(entry, shard, &message);
    message.is_progress = true;
    add_changes(entry, now, shard, &message);
    add_progress(entry, now, shard, &message);
    shard->progress_sent = now;
    shard->next_progress = now + entry->settings.report_interval;
    entry_wake(entry, shard->next_progress);
    if (message.demand_count + message.service_count +
            message.released_count ==
        0) {
        shard->sequence--;
        return;
    }
    shard->short_sent = now;
    entry->counts.reports_progress++;
    entry->host->ops->send(entry->host, shard->dispatcher, &message);
}

static bool
take_due(entry_state *entry, uint32_t *index)
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

/* Send what is due; what came too soon after the last report stays due. */
void
entry_flush(entry_state *entry, lv_time now)
{
    uint32_t waiting = 0;
    uint32_t index;

    if (entry->is_sending) {
        return;
    }
    entry->is_sending = true;
    while (waiting < entry->due_shards.count && take_due(entry, &index)) {
        entry_shard *shard = &entry->shards[index];
        lv_time earliest = shard->short_sent + entry->settings.short_interval;

        if (shard->dispatcher == LV_ID_NONE) {
            continue;
        }
        if (shard->next_full <= now) {
            entry_send_full(entry, now, index);
        }
        else if (shard->next_progress <= now) {
            send_progress(entry, now, shard);
        }
        else if (now >= earliest) {
            send_short(entry, now, shard);
        }
        else {
            entry_mark_due(entry, index);
            entry_wake(entry, earliest);
            waiting++;
        }
    }
    entry->is_sending = false;
}
