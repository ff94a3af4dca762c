#include "dispatcher-imp.h"

/* An account's mean cost moves an eighth of the way to each new sample. */
enum {
    COST_DIVISOR = 8
};

/* Returns the sender's row, or LV_HANDLE_NONE for an old message. A new
 * incarnation gets a new row; the leases of the old one run to their
 * deadline. */
static uint32_t
find_sender(disp_dispatcher *disp, lv_time now, const msg_message *message)
{
    uint32_t row = disp_entry_find(disp, message->sender);

    if (row == LV_HANDLE_NONE) {
        return disp_entry_add(disp, now, message->sender,
                              message->incarnation);
    }
    if (message->incarnation < disp->entries[row].incarnation ||
        (message->incarnation == disp->entries[row].incarnation &&
         message->sequence <= disp->entries[row].report_sequence)) {
        return LV_HANDLE_NONE;
    }
    if (message->incarnation > disp->entries[row].incarnation) {
        disp_entry_save_sequence(disp, row);
        disp->entries[row].is_superseded = true;
        disp_entry_set_unresponsive(disp, now, row);
        row = disp_entry_add(disp, now, message->sender, message->incarnation);
    }
    return row;
}

/* Raises the tenure above that of every other dispatcher that a report
 * names. */
static void
raise_tenure(disp_dispatcher *disp, const msg_message *message)
{
    if (message->tenure > disp->tenure ||
        (message->is_claim && message->tenure == disp->tenure)) {
        disp->tenure = message->tenure + 1;
    }
}

static void
apply_acknowledgement(disp_dispatcher *disp, lv_time now, uint32_t row,
                      uint64_t seen)
{
    uint32_t lease = disp->entries[row].pending_list.first;

    while (lease != LV_HANDLE_NONE &&
           disp->leases[lease].grant_sequence != 0 &&
           disp->leases[lease].grant_sequence <= seen) {
        slot_lease_acknowledge(disp, now, lease);
        lease = disp->entries[row].pending_list.first;
    }
    disp_rate_acknowledge(disp, row, seen);
}

static void
free_released_leases(disp_dispatcher *disp, lv_time now, uint32_t row,
                     const msg_message *message)
{
    for (uint32_t i = 0; i < message->released_count; i++) {
        uint32_t lease = map_find(&disp->lease_map, message->released[i]);

        if (message->released[i] != 0 && lease != LV_HANDLE_NONE &&
            disp->leases[lease].entry == row) {
            slot_lease_free(disp, now, lease);
        }
    }
}

static void
update_demand(disp_dispatcher *disp, lv_time now, uint32_t row,
              const msg_message *message, const msg_demand *received)
{
    disp_demand *demand = &disp->demands[row];
    bool is_responsive = disp->entries[demand->entry].is_responsive;
    uint32_t waiting[CAT_PRIORITY_COUNT];
    lv_time arrival[CAT_PRIORITY_COUNT];
    uint32_t reported = 0;
    uint32_t previous = demand->reported_waiting;

    for (int i = 0; i < CAT_PRIORITY_COUNT; i++) {
        waiting[i] = is_responsive ? received->waiting[i] : 0;
        arrival[i] = lv_elapsed(now, received->oldest_age[i]);
        reported += received->waiting[i];
    }
    disp_demand_set_reported_waiting(disp, row, is_responsive ? reported : 0);
    disp_demand_set_waiting(disp, now, row, waiting, arrival);
    disp_rate_record_arrivals(disp, now, row, received->arrivals,
                              message->is_claim);
    /* Started are those that waited or arrived and no longer wait. The
     * arrivals have just been added. */
    previous += demand->started_since_charge;
    demand->started_since_charge =
        previous > reported ? previous - reported : 0;
}

static void
apply_demands(disp_dispatcher *disp, lv_time now, uint32_t entry,
              const msg_message *message)
{
    for (uint32_t i = 0; i < message->demand_count; i++) {
        const msg_demand *received = &message->demands[i];
        uint32_t account =
            disp_account_find_or_add(disp, now, received->account);
        uint32_t row;

        if (account == LV_HANDLE_NONE) {
            continue;
        }
        row = disp_demand_find_or_add(disp, entry, account);
        if (row != LV_HANDLE_NONE) {
            disp->demands[row].listed_report = disp->report_number;
            update_demand(disp, now, row, message, received);
        }
    }
}

/* Clears the demand that a full report does not list. */
static void
clear_unlisted_demand(disp_dispatcher *disp, lv_time now, uint32_t entry)
{
    uint32_t row = disp->entries[entry].waiting_list.first;

    while (row != LV_HANDLE_NONE) {
        uint32_t next = disp->demands[row].waiting_link.next;

        if (disp->demands[row].listed_report != disp->report_number) {
            disp_demand_clear_waiting(disp, now, row);
        }
        row = next;
    }
}

static void
apply_held_lease(disp_dispatcher *disp, lv_time now, uint32_t entry,
                 const msg_lease *held)
{
    uint32_t row = map_find(&disp->lease_map, held->lease);
    uint32_t account = LV_HANDLE_NONE;
    uint32_t demand = LV_HANDLE_NONE;
    bool is_new = row == LV_HANDLE_NONE;

    if (held->lease == 0) {
        return;
    }
    if (is_new) {
        row = slot_lease_adopt(disp, now, entry, held);
    }
    if (row == LV_HANDLE_NONE || disp->leases[row].entry != entry) {
        return;
    }
    if (disp->leases[row].is_pending) {
        slot_lease_acknowledge(disp, now, row);
    }
    disp->leases[row].listed_report = disp->report_number;
    disp->leases[row].is_busy = held->is_busy;
    disp->leases[row].priority = held->priority;
    if (held->account != LV_ID_NONE) {
        account = disp_account_find_or_add(disp, now, held->account);
    }
    if (account != LV_HANDLE_NONE) {
        demand = disp_demand_find_or_add(disp, entry, account);
    }
    if (is_new || disp->leases[row].demand != LV_HANDLE_NONE ||
        (disp->is_contended && held->is_busy)) {
        slot_lease_bind(disp, now, row, demand);
    }
    if (disp->leases[row].demand == LV_HANDLE_NONE && !held->is_busy) {
        disp->entries[entry].idle_floating++;
    }
}

/* Frees acknowledged leases that a full report does not list, and counts the
 * pending floating ones as idle. */
static void
free_unlisted_leases(disp_dispatcher *disp, lv_time now, uint32_t entry)
{
    uint32_t row = disp->entries[entry].lease_list.first;

    while (row != LV_HANDLE_NONE) {
        uint32_t next = disp->leases[row].entry_link.next;

        if (!disp->leases[row].is_pending &&
            disp->leases[row].listed_report != disp->report_number) {
            slot_lease_free(disp, now, row);
        }
        else if (disp->leases[row].is_pending &&
                 disp->leases[row].demand == LV_HANDLE_NONE) {
            disp->entries[entry].idle_floating++;
        }
        row = next;
    }
}

static void
update_mean_cost(disp_dispatcher *disp, uint32_t row, int64_t service)
{
    disp_demand *demand = &disp->demands[row];
    disp_account *account = &disp->accounts[demand->account];

    demand->service_since_move += service;
    if (demand->started_since_charge > 0 && service > 0) {
        account->mean_cost +=
            (service / demand->started_since_charge - account->mean_cost) /
            COST_DIVISOR;
        demand->started_since_charge = 0;
    }
}

static void
apply_service(disp_dispatcher *disp, lv_time now, uint32_t entry,
              const msg_message *message, const msg_service *received)
{
    uint32_t account = disp_account_find_or_add(disp, now, received->account);
    uint32_t row;
    disp_demand *demand;
    int64_t service;

    if (account == LV_HANDLE_NONE) {
        return;
    }
    row = disp_demand_find_or_add(disp, entry, account);
    if (row == LV_HANDLE_NONE) {
        return;
    }
    demand = &disp->demands[row];
    service = demand->has_service_total
                  ? received->total - demand->service_total
                  : received->since;
    if (!demand->has_service_total && message->is_claim) {
        disp_account_apply_claim(disp, account, received->level,
                                 received->since);
    }
    else {
        disp_account_charge(disp, account, service);
    }
    demand->has_service_total = true;
    demand->service_total = received->total;
    update_mean_cost(disp, row, service);
    disp_account_refresh(disp, now, account);
    if (service > 0) {
        disp_move_leases(disp, now, row);
    }
}

static void
apply_services(disp_dispatcher *disp, lv_time now, uint32_t entry,
               const msg_message *message)
{
    for (uint32_t i = 0; i < message->service_count; i++) {
        apply_service(disp, now, entry, message, &message->services[i]);
    }
}

/* Full and progress reports have charged every request that started before
 * them. */
static void
clear_uncharged_grants(disp_dispatcher *disp, lv_time now, uint32_t entry)
{
    uint32_t row = disp->entries[entry].uncharged_list.first;

    while (row != LV_HANDLE_NONE) {
        disp_demand_clear_uncharged(disp, row);
        disp_account_refresh(disp, now, disp->demands[row].account);
        row = disp->entries[entry].uncharged_list.first;
    }
}

static void
apply_full_report(disp_dispatcher *disp, lv_time now, uint32_t row,
                  const msg_message *message)
{
    disp_entry *entry = &disp->entries[row];

    entry->last_full_report = now;
    entry->echo = message->sent;
    entry->lease_deadline =
        now + disp->settings.lease_ttl + disp->settings.lease_margin;
    entry->is_responsive = entry->is_member;
    entry->idle_floating = 0;
    for (uint32_t i = 0; i < message->held_count; i++) {
        apply_held_lease(disp, now, row, &message->held[i]);
    }
    free_unlisted_leases(disp, now, row);
}

static void
append_levels(disp_dispatcher *disp, lv_time now, uint32_t entry,
              const msg_message *message)
{
    for (uint32_t i = 0; i < message->demand_count; i++) {
        uint32_t account =
            map_find(&disp->account_map, message->demands[i].account);

        if (account != LV_HANDLE_NONE) {
            disp_send_append_level(disp, now,
                                   disp_demand_find(disp, entry, account));
        }
    }
    for (uint32_t i = 0; i < message->service_count; i++) {
        uint32_t account =
            map_find(&disp->account_map, message->services[i].account);

        if (account != LV_HANDLE_NONE) {
            disp_send_append_level(disp, now,
                                   disp_demand_find(disp, entry, account));
        }
    }
}

/* Allowances of accounts with a fleet-wide rate limit are sent after progress
 * reports too. */
static void
append_rate_limited_levels(disp_dispatcher *disp, lv_time now, uint32_t entry,
                           const msg_message *message)
{
    for (uint32_t i = 0; i < message->demand_count; i++) {
        uint32_t account =
            map_find(&disp->account_map, message->demands[i].account);

        if (account != LV_HANDLE_NONE &&
            disp->accounts[account].has_rate_limit) {
            disp_send_append_level(disp, now,
                                   disp_demand_find(disp, entry, account));
            disp_send_enqueue(disp, entry);
        }
    }
}

static void
detect_lost_report(disp_entry *entry, const msg_message *message)
{
    if (message->is_full) {
        entry->needs_full_report = false;
    }
    else if (message->sequence != entry->report_sequence + 1) {
        entry->needs_full_report = true;
    }
}

/* A GRANT that was sent before the last progress report and is not
 * acknowledged by this one was lost. Sending another makes the entry detect
 * the gap in the sequence. */
static void
detect_lost_grant(disp_dispatcher *disp, uint32_t row,
                  const msg_message *message)
{
    disp_entry *entry = &disp->entries[row];
    uint32_t first = entry->pending_list.first;

    if (entry->needs_full_report ||
        (first != LV_HANDLE_NONE && disp->leases[first].grant_sequence != 0 &&
         disp->leases[first].grant_sequence <= entry->grant_at_progress &&
         disp->leases[first].grant_sequence > message->seen)) {
        disp_send_enqueue(disp, row);
    }
    entry->grant_at_progress = entry->grant_sequence;
}

bool
disp_receive_report(disp_dispatcher *disp, lv_time now,
                    const msg_message *message)
{
    uint32_t row = LV_HANDLE_NONE;
    bool is_merge;

    if (message->kind == MSG_REPORT && message->pool == disp->pool_id &&
        message->shard == disp->shard) {
        row = find_sender(disp, now, message);
    }
    if (row == LV_HANDLE_NONE) {
        disp->events.stale_reports++;
        return false;
    }
    is_merge = disp->is_settled && message->is_claim && message->tenure != 0 &&
               message->tenure != disp->tenure;
    raise_tenure(disp, message);
    disp->report_number++;
    detect_lost_report(&disp->entries[row], message);
    disp->entries[row].report_sequence = message->sequence;
    disp->entries[row].has_reported = true;
    if (!message->is_claim) {
        apply_acknowledgement(disp, now, row, message->seen);
    }
    free_released_leases(disp, now, row, message);
    if (message->is_full) {
        apply_full_report(disp, now, row, message);
    }
    apply_demands(disp, now, row, message);
    if (message->is_full) {
        clear_unlisted_demand(disp, now, row);
    }
    apply_services(disp, now, row, message);
    if (message->is_full || message->is_progress) {
        clear_uncharged_grants(disp, now, row);
    }
    if (is_merge) {
        disp_account_limit_leads(disp, now);
    }
    disp_check_settled(disp, now);
    disp_assign_slots(disp, now);
    if (message->is_full) {
        disp_adjust_floating(disp, now, row);
        append_levels(disp, now, row, message);
        disp_send_reply(disp, row);
    }
    else if (message->is_progress) {
        append_rate_limited_levels(disp, now, row, message);
        detect_lost_grant(disp, row, message);
    }
    disp_send_flush(disp);
    return true;
}
