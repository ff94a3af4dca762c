#include "dispatcher-imp.h"
#include "table-imp.h"

void
disp_send_enqueue(disp_dispatcher *disp, uint32_t row)
{
    if (disp->entries[row].needs_grant) {
        return;
    }
    if (!table_reserve((void **)&disp->touched, &disp->touched_capacity,
                       disp->touched_count + 1, sizeof *disp->touched)) {
        return;
    }
    disp->entries[row].needs_grant = true;
    disp->touched[disp->touched_count++] = row;
}

static void
add_level(disp_dispatcher *disp, uint32_t row)
{
    disp_demand *demand = &disp->demands[row];
    msg_level *level;

    if (!table_reserve((void **)&disp->out_levels, &disp->out_level_capacity,
                       disp->out_level_count + 1, sizeof *disp->out_levels)) {
        return;
    }
    demand->needs_level = false;
    demand->answered = disp->stamp;
    level = &disp->out_levels[disp->out_level_count++];
    level->account = disp->accounts[demand->account].id;
    level->level = disp_account_level(disp, demand->account);
    level->allowance = demand->allowance;
}

void
disp_send_level(disp_dispatcher *disp, lv_time now, uint32_t row)
{
    if (row == LV_HANDLE_NONE || disp->demands[row].answered == disp->stamp) {
        return;
    }
    disp_rate_share(disp, now, row);
    add_level(disp, row);
}

/* Allowances that were lowered go out at once. */
static void
add_lowered(disp_dispatcher *disp, const disp_entry *entry)
{
    for (uint32_t row = entry->reclaim_list.first; row != LV_HANDLE_NONE;
         row = disp->demands[row].of_reclaim.next) {
        if (disp->demands[row].needs_level) {
            add_level(disp, row);
        }
        if (disp->demands[row].reclaim_sequence == 0) {
            disp->demands[row].reclaim_sequence = entry->sent;
        }
    }
}

/* Grants that have not been sent, at most one message full. */
static uint32_t
collect_grants(disp_dispatcher *disp, const disp_entry *entry)
{
    uint32_t count = 0;
    uint32_t row = entry->pending_list.last;

    while (row != LV_HANDLE_NONE && disp->leases[row].sequence == 0 &&
           disp->leases[row].pending_link.previous != LV_HANDLE_NONE) {
        row = disp->leases[row].pending_link.previous;
    }
    for (; row != LV_HANDLE_NONE && count < MSG_ITEMS_MAX;
         row = disp->leases[row].pending_link.next) {
        disp_lease *lease = &disp->leases[row];

        if (lease->sequence != 0) {
            continue;
        }
        if (!table_reserve((void **)&disp->out_grants,
                           &disp->out_grant_capacity, count + 1,
                           sizeof *disp->out_grants)) {
            break;
        }
        lease->sequence = entry->sent;
        disp->out_grants[count].lease = lease->id;
        disp->out_grants[count].endpoint = disp->endpoints[lease->endpoint].id;
        disp->out_grants[count].account = LV_ID_NONE;
        if (lease->demand != LV_HANDLE_NONE) {
            uint32_t account = disp->demands[lease->demand].account;

            disp->out_grants[count].account = disp->accounts[account].id;
        }
        count++;
    }
    return count;
}

/* The first recall to send: a full answer repeats those that were sent, in
 * case their GRANT was lost. */
static uint32_t
first_recall(const disp_dispatcher *disp, const disp_entry *entry,
             bool is_answer)
{
    uint32_t row = entry->recall_list.last;
    uint32_t first = LV_HANDLE_NONE;

    if (is_answer) {
        return entry->recall_list.first;
    }
    while (row != LV_HANDLE_NONE && !disp->leases[row].is_recall_sent) {
        first = row;
        row = disp->leases[row].recall_link.previous;
    }
    return first;
}

static uint32_t
collect_recalls(disp_dispatcher *disp, const disp_entry *entry, bool is_answer)
{
    uint32_t count = 0;

    for (uint32_t row = first_recall(disp, entry, is_answer);
         row != LV_HANDLE_NONE && count < MSG_ITEMS_MAX;
         row = disp->leases[row].recall_link.next) {
        if (!table_reserve((void **)&disp->out_recalls,
                           &disp->out_recall_capacity, count + 1,
                           sizeof *disp->out_recalls)) {
            break;
        }
        disp->leases[row].is_recall_sent = true;
        disp->out_recalls[count++] = disp->leases[row].id;
    }
    return count;
}

static void
send_grant(disp_dispatcher *disp, uint32_t row, bool is_answer)
{
    disp_entry *entry = &disp->entries[row];
    uint32_t first_level = 0;
    msg_message message;

    entry->needs_grant = false;
    entry->sent++;
    add_lowered(disp, entry);
    message = (msg_message){
        .kind = MSG_GRANT,
        .version = MSG_VERSION,
        .sender = disp->self,
        .target_incarnation = entry->incarnation,
        .tenure = disp->tenure,
        .pool = disp->pool_id,
        .shard = disp->shard,
        .echo = entry->echo,
        .ttl = disp->settings.lease_ttl,
        .is_contended = disp->is_contended,
        .wants_full = entry->wants_full,
        .grant_count = collect_grants(disp, entry),
        .recalled_count = collect_recalls(disp, entry, is_answer),
    };
    message.grants = disp->out_grants;
    message.recalled = disp->out_recalls;
    do {
        uint32_t left = disp->out_level_count - first_level;

        message.sequence = entry->sent;
        message.levels = disp->out_levels + first_level;
        message.level_count = left < MSG_ITEMS_MAX ? left : MSG_ITEMS_MAX;
        disp->host->ops->send(disp->host, entry->id, &message);
        first_level += message.level_count;
        message.grant_count = 0;
        message.recalled_count = 0;
        if (first_level < disp->out_level_count) {
            entry->sent++;
        }
    } while (first_level < disp->out_level_count);
    disp->out_level_count = 0;
}

void
disp_send_answer(disp_dispatcher *disp, uint32_t row)
{
    send_grant(disp, row, true);
}

void
disp_send_flush(disp_dispatcher *disp)
{
    for (uint32_t i = 0; i < disp->touched_count; i++) {
        disp_entry *entry = &disp->entries[disp->touched[i]];

        if (entry->needs_grant && !entry->is_gone) {
            send_grant(disp, disp->touched[i], false);
        }
        entry->needs_grant = false;
    }
    disp->touched_count = 0;
}

void
disp_send_sum(disp_dispatcher *disp, lv_time now)
{
    uint32_t kept = 0;
    uint32_t count = 0;
    msg_message message = {
        .kind = MSG_SHARD_SUM,
        .version = MSG_VERSION,
        .sender = disp->self,
        .tenure = disp->tenure,
        .pool = disp->pool_id,
        .shard = disp->shard,
        .sent = disp->started,
    };

    if (disp->root == LV_ID_NONE || now < disp->next_sum) {
        return;
    }
    disp->next_sum = now + disp->settings.report_interval;
    for (uint32_t i = 0; i < disp->dirty_count; i++) {
        uint32_t row = disp->dirty[i];
        disp_account *account = &disp->accounts[row];

        disp_account_drop_guess(disp, now, row);
        if (count == MSG_ITEMS_MAX ||
            !table_reserve((void **)&disp->out_services,
                           &disp->out_service_capacity, count + 1,
                           sizeof *disp->out_services)) {
            disp->dirty[kept++] = row;
            continue;
        }
        disp->out_services[count++] = (msg_service){
            .account = account->id,
            .total = account->given,
            .since = account->given - account->summed,
        };
        account->summed = account->given;
        if (--account->dirty > 0) {
            disp->dirty[kept++] = row;
        }
    }
    disp->dirty_count = kept;
    message.sequence = ++disp->sum_sequence;
    message.services = disp->out_services;
    message.service_count = count;
    disp->host->ops->send(disp->host, disp->root, &message);
}
