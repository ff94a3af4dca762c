#include "dispatcher-imp.h"

/* A request's cost moves an eighth of the way to each new sample. */
enum {
    COST_SHIFT = 8
};

/* The entry's row; a new incarnation gets a new one, and the leases of the
 * old one run to their deadline. */
static uint32_t
find_sender(disp_dispatcher *disp, lv_time now, const msg_message *message)
{
    uint32_t row = disp_entry_find(disp, message->sender);

    if (row == LV_HANDLE_NONE) {
        return disp_entry_make(disp, now, message->sender,
                               message->incarnation);
    }
    if (message->incarnation < disp->entries[row].incarnation ||
        (message->incarnation == disp->entries[row].incarnation &&
         message->sequence <= disp->entries[row].sequence)) {
        return LV_HANDLE_NONE;
    }
    if (message->incarnation > disp->entries[row].incarnation) {
        disp_entry_keep_sequence(disp, row);
        disp->entries[row].is_gone = true;
        disp_entry_silence(disp, now, row);
        row =
            disp_entry_make(disp, now, message->sender, message->incarnation);
    }
    return row;
}

/* A dispatcher's tenure lies above every other's that it hears of. */
static void
raise_tenure(disp_dispatcher *disp, const msg_message *message)
{
    if (message->tenure > disp->tenure ||
        (message->is_claim && message->tenure == disp->tenure)) {
        disp->tenure = message->tenure + 1;
    }
}

static void
take_seen(disp_dispatcher *disp, lv_time now, uint32_t row, uint64_t seen)
{
    uint32_t lease = disp->entries[row].pending_list.first;

    while (lease != LV_HANDLE_NONE && disp->leases[lease].sequence != 0 &&
           disp->leases[lease].sequence <= seen) {
        slot_lease_acknowledge(disp, now, lease);
        lease = disp->entries[row].pending_list.first;
    }
    disp_rate_seen(disp, row, seen);
}

static void
take_released(disp_dispatcher *disp, lv_time now, uint32_t row,
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
note_demand(disp_dispatcher *disp, lv_time now, uint32_t row,
            const msg_message *message, const msg_demand *said)
{
    disp_demand *demand = &disp->demands[row];
    bool is_usable = disp->entries[demand->entry].is_fresh;
    uint32_t waiting[CAT_PRIORITY_COUNT];
    lv_time oldest[CAT_PRIORITY_COUNT];
    uint32_t reported = 0;
    uint32_t before = demand->reported;

    for (int i = 0; i < CAT_PRIORITY_COUNT; i++) {
        waiting[i] = is_usable ? said->waiting[i] : 0;
        oldest[i] = lv_elapsed(now, said->oldest_age[i]);
        reported += said->waiting[i];
    }
    disp_demand_set_reported(disp, row, is_usable ? reported : 0);
    disp_demand_set_waiting(disp, now, row, waiting, oldest);
    disp_rate_note(disp, now, row, said->arrivals, message->is_claim);
    before += demand->started;
    demand->started = before > reported ? before - reported : 0;
}

static void
take_demands(disp_dispatcher *disp, lv_time now, uint32_t entry,
             const msg_message *message)
{
    for (uint32_t i = 0; i < message->demand_count; i++) {
        const msg_demand *said = &message->demands[i];
        uint32_t account = disp_account_make(disp, now, said->account);
        uint32_t row;

        if (account == LV_HANDLE_NONE) {
            continue;
        }
        row = disp_demand_make(disp, entry, account);
        if (row != LV_HANDLE_NONE) {
            disp->demands[row].stamp = disp->stamp;
            note_demand(disp, now, row, message, said);
        }
    }
}

/* A full report lists all demand: what it does not list is gone. */
static void
clear_unlisted_demand(disp_dispatcher *disp, lv_time now, uint32_t entry)
{
    uint32_t row = disp->entries[entry].waiting_list.first;

    while (row != LV_HANDLE_NONE) {
        uint32_t next = disp->demands[row].of_waiting.next;

        if (disp->demands[row].stamp != disp->stamp) {
            disp_demand_clear(disp, now, row);
        }
        row = next;
    }
}

static void
take_held(disp_dispatcher *disp, lv_time now, uint32_t entry,
          const msg_held *held)
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
    disp->leases[row].stamp = disp->stamp;
    disp->leases[row].is_busy = held->is_busy;
    disp->leases[row].priority = held->priority;
    if (held->account != LV_ID_NONE) {
        account = disp_account_make(disp, now, held->account);
    }
    if (account != LV_HANDLE_NONE) {
        demand = disp_demand_make(disp, entry, account);
    }
    if (is_new || disp->leases[row].demand != LV_HANDLE_NONE ||
        (disp->is_contended && held->is_busy)) {
        slot_lease_bind(disp, now, row, demand);
    }
    if (disp->leases[row].demand == LV_HANDLE_NONE && !held->is_busy) {
        disp->entries[entry].idle_any++;
    }
}

/* Leases that the entry knew of and does not list are free. */
static void
free_unlisted_leases(disp_dispatcher *disp, lv_time now, uint32_t entry)
{
    uint32_t row = disp->entries[entry].lease_list.first;

    while (row != LV_HANDLE_NONE) {
        uint32_t next = disp->leases[row].entry_link.next;

        if (!disp->leases[row].is_pending &&
            disp->leases[row].stamp != disp->stamp) {
            slot_lease_free(disp, now, row);
        }
        else if (disp->leases[row].is_pending &&
                 disp->leases[row].demand == LV_HANDLE_NONE) {
            disp->entries[entry].idle_any++;
        }
        row = next;
    }
}

static void
note_cost(disp_dispatcher *disp, uint32_t row, int64_t service)
{
    disp_demand *demand = &disp->demands[row];
    disp_account *account = &disp->accounts[demand->account];

    demand->used += service;
    if (demand->started > 0 && service > 0) {
        account->cost +=
            (service / demand->started - account->cost) / COST_SHIFT;
        demand->started = 0;
    }
}

static void
take_service(disp_dispatcher *disp, lv_time now, uint32_t entry,
             const msg_message *message, const msg_service *said)
{
    uint32_t account = disp_account_make(disp, now, said->account);
    uint32_t row;
    disp_demand *demand;
    int64_t service;

    if (account == LV_HANDLE_NONE) {
        return;
    }
    row = disp_demand_make(disp, entry, account);
    if (row == LV_HANDLE_NONE) {
        return;
    }
    demand = &disp->demands[row];
    service = demand->has_total ? said->total - demand->total : said->since;
    if (!demand->has_total && message->is_claim) {
        disp_account_claim(disp, account, said->level, said->since);
    }
    else {
        disp_account_charge(disp, account, service);
    }
    demand->has_total = true;
    demand->total = said->total;
    note_cost(disp, row, service);
    disp_account_refresh(disp, now, account);
    if (service > 0) {
        disp_choose_move(disp, now, row);
    }
}

static void
take_services(disp_dispatcher *disp, lv_time now, uint32_t entry,
              const msg_message *message)
{
    for (uint32_t i = 0; i < message->service_count; i++) {
        take_service(disp, now, entry, message, &message->services[i]);
    }
}

/* A full report has charged every request that began before it. */
static void
end_begun(disp_dispatcher *disp, lv_time now, uint32_t entry)
{
    uint32_t row = disp->entries[entry].begun_list.first;

    while (row != LV_HANDLE_NONE) {
        disp_demand_end_begun(disp, row);
        disp_account_refresh(disp, now, disp->demands[row].account);
        row = disp->entries[entry].begun_list.first;
    }
}

static void
take_full(disp_dispatcher *disp, lv_time now, uint32_t row,
          const msg_message *message)
{
    disp_entry *entry = &disp->entries[row];

    entry->heard = now;
    entry->echo = message->sent;
    entry->deadline =
        now + disp->settings.lease_ttl + disp->settings.lease_margin;
    entry->is_fresh = entry->is_member;
    entry->idle_any = 0;

    for (uint32_t i = 0; i < message->held_count; i++) {
        take_held(disp, now, row, &message->held[i]);
    }
    free_unlisted_leases(disp, now, row);
}

static void
list_levels(disp_dispatcher *disp, lv_time now, uint32_t entry,
            const msg_message *message)
{
    for (uint32_t i = 0; i < message->demand_count; i++) {
        uint32_t account =
            map_find(&disp->account_map, message->demands[i].account);

        if (account != LV_HANDLE_NONE) {
            disp_send_level(disp, now, disp_demand_find(disp, entry, account));
        }
    }
    for (uint32_t i = 0; i < message->service_count; i++) {
        uint32_t account =
            map_find(&disp->account_map, message->services[i].account);

        if (account != LV_HANDLE_NONE) {
            disp_send_level(disp, now, disp_demand_find(disp, entry, account));
        }
    }
}

/* Accounts under a fleet-wide rate hear their allowance more often. */
static void
list_rated_levels(disp_dispatcher *disp, lv_time now, uint32_t entry,
                  const msg_message *message)
{
    for (uint32_t i = 0; i < message->demand_count; i++) {
        uint32_t account =
            map_find(&disp->account_map, message->demands[i].account);

        if (account != LV_HANDLE_NONE && disp->accounts[account].is_rated) {
            disp_send_level(disp, now, disp_demand_find(disp, entry, account));
            disp_send_enqueue(disp, entry);
        }
    }
}

static void
note_loss(disp_entry *entry, const msg_message *message)
{
    if (message->is_full) {
        entry->wants_full = false;
    }
    else if (message->sequence != entry->sequence + 1) {
        entry->wants_full = true;
    }
}

/* A GRANT that was sent before the last report of progress and is not known
 * of now was lost; another one makes the entry see the gap. */
static void
answer_loss(disp_dispatcher *disp, uint32_t row, const msg_message *message)
{
    disp_entry *entry = &disp->entries[row];
    uint32_t first = entry->pending_list.first;

    if (entry->wants_full ||
        (first != LV_HANDLE_NONE && disp->leases[first].sequence != 0 &&
         disp->leases[first].sequence <= entry->sent_before &&
         disp->leases[first].sequence > message->seen)) {
        disp_send_enqueue(disp, row);
    }
    entry->sent_before = entry->sent;
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
    disp->stamp++;
    note_loss(&disp->entries[row], message);
    disp->entries[row].sequence = message->sequence;
    disp->entries[row].has_claimed = true;
    if (!message->is_claim) {
        take_seen(disp, now, row, message->seen);
    }
    take_released(disp, now, row, message);
    if (message->is_full) {
        take_full(disp, now, row, message);
    }
    take_demands(disp, now, row, message);
    if (message->is_full) {
        clear_unlisted_demand(disp, now, row);
    }
    take_services(disp, now, row, message);
    if (message->is_full || message->is_progress) {
        end_begun(disp, now, row);
    }
    if (is_merge) {
        disp_account_bound_leads(disp, now);
    }
    disp_check_settled(disp, now);
    disp_assign_slots(disp, now);
    if (message->is_full) {
        disp_choose_float(disp, now, row);
        list_levels(disp, now, row, message);
        disp_send_answer(disp, row);
    }
    else if (message->is_progress) {
        list_rated_levels(disp, now, row, message);
        answer_loss(disp, row, message);
    }
    disp_send_flush(disp);
    return true;
}
