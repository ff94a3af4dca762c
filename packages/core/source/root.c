#include "lavender/root.h"

#include <stdlib.h>
#include <string.h>

#include "table-imp.h"

/* POOL_SUMs leave out accounts whose service did not change for this time. */
#define ACTIVE_TIMEOUT (1 * LV_SECOND)

static uint64_t
contribution_key(uint32_t account, uint32_t shard)
{
    return ((uint64_t)account + 1) << 32 | shard;
}

bool
root_init(root_state *root, lv_host *host, lv_id self, lv_id pool,
          uint64_t tenure, lv_time now, err_error *error)
{
    (void)error;
    memset(root, 0, sizeof *root);
    root->host = host;
    root->self = self;
    root->pool = pool;
    root->tenure = tenure;
    root->first_sequence = now;
    return true;
}

void
root_finish(root_state *root)
{
    map_finish(&root->account_map);
    map_finish(&root->contribution_map);
    free(root->shards);
    free(root->accounts);
    free(root->contributions);
    free(root->active);
    free(root->out_levels);
    memset(root, 0, sizeof *root);
}

/* Returns the row of the message's dispatcher. Dispatchers of the same
 * instance are distinguished by their start, which `sent` contains. */
static uint32_t
find_or_add_shard(root_state *root, const msg_message *message)
{
    uint32_t row;

    for (row = 0; row < root->shard_count; row++) {
        const root_shard *shard = &root->shards[row];

        if (shard->sender == message->sender &&
            shard->shard == message->shard &&
            shard->started == message->sent) {
            return row;
        }
    }
    if (!table_reserve((void **)&root->shards, &root->shard_capacity, row + 1,
                       sizeof *root->shards)) {
        return LV_HANDLE_NONE;
    }
    root->shard_count++;
    root->shards[row] = (root_shard){
        .shard = message->shard,
        .sender = message->sender,
        .started = message->sent,
        .sent_sequence = root->first_sequence,
    };
    return row;
}

static uint32_t
find_or_add_account(root_state *root, lv_id id)
{
    uint32_t row = map_find(&root->account_map, id);

    if (row != LV_HANDLE_NONE || id == LV_ID_NONE) {
        return row;
    }
    row = root->account_count;
    if (!table_reserve((void **)&root->accounts, &root->account_capacity,
                       row + 1, sizeof *root->accounts) ||
        !map_set(&root->account_map, id, row)) {
        return LV_HANDLE_NONE;
    }
    root->account_count++;
    root->accounts[row] = (root_account){.id = id};
    return row;
}

static uint32_t
find_or_add_contribution(root_state *root, uint32_t account, uint32_t shard)
{
    uint64_t key = contribution_key(account, shard);
    uint32_t row = map_find(&root->contribution_map, key);

    if (row != LV_HANDLE_NONE) {
        return row;
    }
    row = root->contribution_count;
    if (!table_reserve((void **)&root->contributions,
                       &root->contribution_capacity, row + 1,
                       sizeof *root->contributions) ||
        !map_set(&root->contribution_map, key, row)) {
        return LV_HANDLE_NONE;
    }
    root->contribution_count++;
    root->contributions[row] = (root_contribution){0};
    return row;
}

static void
activate(root_state *root, uint32_t account)
{
    if (root->accounts[account].is_active ||
        !table_reserve((void **)&root->active, &root->active_capacity,
                       root->active_count + 1, sizeof *root->active)) {
        return;
    }
    root->accounts[account].is_active = true;
    root->active[root->active_count++] = account;
}

/* Adds what a dispatcher charged since its last report. Of its first report
 * to this root only `since` is added; the rest was in earlier SHARD_SUMs. */
static void
apply_service(root_state *root, lv_time now, uint32_t shard,
              const msg_service *service)
{
    uint32_t account = find_or_add_account(root, service->account);
    uint32_t row = LV_HANDLE_NONE;
    root_contribution *contribution;
    int64_t change;

    if (account != LV_HANDLE_NONE) {
        row = find_or_add_contribution(root, account, shard);
    }
    if (row == LV_HANDLE_NONE) {
        return;
    }
    contribution = &root->contributions[row];
    change = contribution->has_total ? service->total - contribution->total
                                     : service->since;
    contribution->has_total = true;
    contribution->total = service->total;
    contribution->sum += change;
    if (change != 0) {
        root->accounts[account].sum += change;
        root->accounts[account].last_change = now;
        activate(root, account);
    }
}

static void
send_levels(root_state *root, uint32_t row, uint32_t count)
{
    root_shard *shard = &root->shards[row];
    msg_message message = {
        .kind = MSG_POOL_SUM,
        .version = MSG_VERSION,
        .sender = root->self,
        .tenure = root->tenure,
        .pool = root->pool,
        .shard = shard->shard,
        .sequence = ++shard->sent_sequence,
        .levels = root->out_levels,
        .level_count = count,
    };

    root->host->ops->send(root->host, shard->sender, &message);
}

/* Reports to a shard what the others charged to the active accounts, in as
 * many POOL_SUMs as needed. */
static void
send_pool_sum(root_state *root, uint32_t row)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < root->active_count; i++) {
        const root_account *account = &root->accounts[root->active[i]];
        uint32_t contribution;
        int64_t own_sum;

        if (!table_reserve((void **)&root->out_levels,
                           &root->out_level_capacity, count + 1,
                           sizeof *root->out_levels)) {
            return;
        }
        contribution = map_find(&root->contribution_map,
                                contribution_key(root->active[i], row));
        own_sum = contribution != LV_HANDLE_NONE
                      ? root->contributions[contribution].sum
                      : 0;
        root->out_levels[count++] = (msg_level){
            .account = account->id,
            .level = account->sum - own_sum,
        };
        if (count == MSG_ITEMS_MAX) {
            send_levels(root, row, count);
            count = 0;
        }
    }
    if (count > 0) {
        send_levels(root, row, count);
    }
}

bool
root_receive_shard_sum(root_state *root, lv_time now,
                       const msg_message *message)
{
    uint32_t shard = LV_HANDLE_NONE;

    if (message->kind == MSG_SHARD_SUM && message->pool == root->pool) {
        shard = find_or_add_shard(root, message);
    }
    if (shard == LV_HANDLE_NONE ||
        message->sequence <= root->shards[shard].received_sequence) {
        root->stale++;
        return false;
    }
    root->shards[shard].received_sequence = message->sequence;
    root->shards[shard].last_received = now;
    for (uint32_t i = 0; i < message->service_count; i++) {
        apply_service(root, now, shard, &message->services[i]);
    }
    send_pool_sum(root, shard);
    return true;
}

void
root_tick(root_state *root, lv_time now)
{
    uint32_t remaining = 0;

    if (now < root->next_tick) {
        return;
    }
    root->next_tick = now + ACTIVE_TIMEOUT;
    for (uint32_t i = 0; i < root->active_count; i++) {
        uint32_t account = root->active[i];

        if (lv_elapsed(now, root->accounts[account].last_change) <=
            ACTIVE_TIMEOUT) {
            root->active[remaining++] = account;
        }
        else {
            root->accounts[account].is_active = false;
        }
    }
    root->active_count = remaining;
}

lv_time
root_next_tick(const root_state *root)
{
    return root->next_tick;
}
