#include "lavender/root.h"

#include <stdlib.h>
#include <string.h>

#include "table-imp.h"

/* An account whose service did not change for this long is not sent. */
#define ACTIVE (1 * LV_SECOND)

static uint64_t
part_key(uint32_t account, uint32_t shard)
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
    map_finish(&root->part_map);
    free(root->shards);
    free(root->accounts);
    free(root->parts);
    free(root->active);
    free(root->out_levels);
    memset(root, 0, sizeof *root);
}

/* A shard's dispatcher is told apart from an earlier one at the same
 * instance by the start that it states in `sent`. */
static uint32_t
find_shard(root_state *root, const msg_message *message)
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
        .sent = root->first_sequence,
    };
    return row;
}

static uint32_t
find_account(root_state *root, lv_id id)
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
find_part(root_state *root, uint32_t account, uint32_t shard)
{
    uint64_t key = part_key(account, shard);
    uint32_t row = map_find(&root->part_map, key);

    if (row != LV_HANDLE_NONE) {
        return row;
    }
    row = root->part_count;
    if (!table_reserve((void **)&root->parts, &root->part_capacity, row + 1,
                       sizeof *root->parts) ||
        !map_set(&root->part_map, key, row)) {
        return LV_HANDLE_NONE;
    }
    root->part_count++;
    root->parts[row] = (root_part){0};
    return row;
}

static void
make_active(root_state *root, uint32_t account)
{
    if (root->accounts[account].is_active ||
        !table_reserve((void **)&root->active, &root->active_capacity,
                       root->active_count + 1, sizeof *root->active)) {
        return;
    }
    root->accounts[account].is_active = true;
    root->active[root->active_count++] = account;
}

static void
take_sum(root_state *root, lv_time now, uint32_t shard,
         const msg_service *said)
{
    uint32_t account = find_account(root, said->account);
    uint32_t row = LV_HANDLE_NONE;
    root_part *part;
    int64_t change;

    if (account != LV_HANDLE_NONE) {
        row = find_part(root, account, shard);
    }
    if (row == LV_HANDLE_NONE) {
        return;
    }
    part = &root->parts[row];
    change = part->has_total ? said->total - part->total : said->since;
    part->has_total = true;
    part->total = said->total;
    part->sum += change;
    if (change != 0) {
        root->accounts[account].sum += change;
        root->accounts[account].changed = now;
        make_active(root, account);
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
        .sequence = ++shard->sent,
        .levels = root->out_levels,
        .level_count = count,
    };

    root->host->ops->send(root->host, shard->sender, &message);
}

/* Tell a shard what the others gave to the accounts that change now. */
static void
send_sum(root_state *root, uint32_t row)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < root->active_count; i++) {
        const root_account *account = &root->accounts[root->active[i]];
        uint32_t part;
        int64_t own;

        if (!table_reserve((void **)&root->out_levels,
                           &root->out_level_capacity, count + 1,
                           sizeof *root->out_levels)) {
            return;
        }
        part = map_find(&root->part_map, part_key(root->active[i], row));
        own = part != LV_HANDLE_NONE ? root->parts[part].sum : 0;
        root->out_levels[count++] = (msg_level){
            .account = account->id,
            .level = account->sum - own,
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
        shard = find_shard(root, message);
    }
    if (shard == LV_HANDLE_NONE ||
        message->sequence <= root->shards[shard].sequence) {
        root->stale++;
        return false;
    }
    root->shards[shard].sequence = message->sequence;
    root->shards[shard].heard = now;
    for (uint32_t i = 0; i < message->service_count; i++) {
        take_sum(root, now, shard, &message->services[i]);
    }
    send_sum(root, shard);
    return true;
}

/* Accounts whose service does not change any more are no longer sent. */
void
root_tick(root_state *root, lv_time now)
{
    uint32_t kept = 0;

    if (now < root->next_tick) {
        return;
    }
    root->next_tick = now + ACTIVE;
    for (uint32_t i = 0; i < root->active_count; i++) {
        uint32_t account = root->active[i];

        if (lv_elapsed(now, root->accounts[account].changed) <= ACTIVE) {
            root->active[kept++] = account;
        }
        else {
            root->accounts[account].is_active = false;
        }
    }
    root->active_count = kept;
}

lv_time
root_next_tick(const root_state *root)
{
    return root->next_tick;
}
