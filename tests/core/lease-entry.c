#include "lease-entry.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define SHORT_GAP LV_MILLISECOND

static void
push(fleet_queue *queue, fleet_request request)
{
    if (queue->count == queue->capacity) {
        uint32_t capacity = queue->capacity > 0 ? queue->capacity * 2 : 16;
        fleet_request *items = malloc(capacity * sizeof *items);

        for (uint32_t i = 0; i < queue->count; i++) {
            items[i] = queue->items[(queue->first + i) % queue->capacity];
        }
        free(queue->items);
        queue->items = items;
        queue->first = 0;
        queue->capacity = capacity;
    }
    queue->items[(queue->first + queue->count++) % queue->capacity] = request;
}

static fleet_request
pop(fleet_queue *queue)
{
    fleet_request request = queue->items[queue->first];

    queue->first = (queue->first + 1) % queue->capacity;
    queue->count--;
    return request;
}

void
lease_entry_clear(fleet_entry *entry)
{
    for (uint32_t a = 0; a < FLEET_ACCOUNTS; a++) {
        for (int p = 0; p < CAT_PRIORITY_COUNT; p++) {
            free(entry->queues[a][p].items);
            memset(&entry->queues[a][p], 0, sizeof entry->queues[a][p]);
        }
    }
}

static uint32_t
waiting(const fleet_entry *entry, uint32_t account)
{
    return entry->queues[account][CAT_URGENT].count +
           entry->queues[account][CAT_DEFERRABLE].count;
}

static bool
may_admit(fleet_fleet *fleet, fleet_entry *entry, uint32_t account)
{
    const fleet_talk *talk = &entry->talks[fleet->home_of[account]];

    if (fleet->plan.work[account].rate == 0) {
        return true;
    }
    if (talk->has_allowance[account]) {
        return (int32_t)(talk->allowance[account] - entry->arrivals[account]) >
               0;
    }
    lim_refill(&entry->cold[account], fleet->now);
    return lim_consume(&entry->cold[account], 1);
}

static void
change(fleet_entry *entry, uint32_t account)
{
    for (uint32_t shard = 0; shard < FLEET_SHARDS; shard++) {
        entry->talks[shard].is_changed[account] = true;
    }
}

void
lease_entry_arrive(fleet_fleet *fleet, uint32_t number, uint32_t account,
                   cat_priority priority)
{
    const fleet_work *work = &fleet->plan.work[account];
    fleet_entry *entry = &fleet->entries[number];
    fleet_request request = {.arrived = fleet->now};
    uint32_t spread = work->most_ms - work->least_ms + 1;

    for (uint32_t shard = 0; shard < FLEET_SHARDS; shard++) {
        entry->talks[shard].has_arrived[account] = true;
    }
    if (!may_admit(fleet, entry, account)) {
        fleet->refused[account]++;
        return;
    }
    fleet->admitted[account]++;
    entry->arrivals[account]++;
    request.cost =
        (work->least_ms + fleet_random(fleet) % spread) * LV_MILLISECOND;
    push(&entry->queues[account][priority], request);
    change(entry, account);
}

static void
note_wait(fleet_fleet *fleet, cat_priority priority, lv_time wait)
{
    fleet_waits *waits = &fleet->waits[priority];

    if (waits->count == waits->capacity) {
        waits->capacity = waits->capacity > 0 ? waits->capacity * 2 : 1024;
        waits->values =
            realloc(waits->values, waits->capacity * sizeof *waits->values);
    }
    waits->values[waits->count++] = wait;
}

static void
start(fleet_fleet *fleet, fleet_entry *entry, fleet_talk *talk,
      fleet_lease *lease, uint32_t account)
{
    cat_priority priority = entry->queues[account][CAT_URGENT].count > 0
                                ? CAT_URGENT
                                : CAT_DEFERRABLE;
    fleet_request request = pop(&entry->queues[account][priority]);

    note_wait(fleet, priority, fleet->now - request.arrived);
    lease->running = account;
    lease->priority = priority;
    lease->began = fleet->now;
    lease->cost = request.cost;
    lease->charged = entry->predicted[account];
    talk->total[account] += (int64_t)lease->charged;
    fleet->running[account]++;
    fleet->running_at[lease->endpoint]++;
    fleet->started_at[lease->endpoint]++;
    fleet->started[account]++;
    change(entry, account);
}

static void
drop_lease(fleet_talk *talk, uint32_t index)
{
    talk->leases[index] = talk->leases[--talk->lease_count];
}

static void
release(fleet_talk *talk, uint32_t index)
{
    cr_assert_lt(talk->released_count, FLEET_LEASES);
    talk->released[talk->released_count++] = talk->leases[index].id;
    talk->has_news = true;
    drop_lease(talk, index);
}

static void
finish(fleet_fleet *fleet, fleet_entry *entry, fleet_talk *talk,
       fleet_lease *lease)
{
    uint32_t account = lease->running;
    int64_t more = (int64_t)(lease->cost - lease->charged);

    talk->total[account] += more;
    entry->predicted[account] =
        (entry->predicted[account] * 7 + lease->cost) / 8;
    fleet->running[account]--;
    fleet->running_at[lease->endpoint]--;
    lease->running = LV_HANDLE_NONE;
    lease->idle_since = fleet->now;
}

/* The account whose request a lease for any account runs next. */
static uint32_t
oldest_account(const fleet_fleet *fleet, const fleet_entry *entry)
{
    uint32_t best = LV_HANDLE_NONE;
    lv_time since = LV_TIME_NEVER;

    for (uint32_t a = 0; a < fleet->plan.accounts; a++) {
        for (int p = 0; p < CAT_PRIORITY_COUNT; p++) {
            const fleet_queue *queue = &entry->queues[a][p];

            if (queue->count > 0 && fleet->plan.work[a].in_flight == 0 &&
                queue->items[queue->first].arrived < since) {
                since = queue->items[queue->first].arrived;
                best = a;
            }
        }
    }
    return best;
}

/* Whether the lease stays after its use was looked at. */
static bool
use_lease(fleet_fleet *fleet, fleet_entry *entry, fleet_talk *talk,
          uint32_t index)
{
    fleet_lease *lease = &talk->leases[index];
    uint32_t account = lease->account;

    if (lease->running != LV_HANDLE_NONE) {
        if (fleet->now < lease->began + lease->cost) {
            return true;
        }
        finish(fleet, entry, talk, lease);
    }
    if (fleet->now >= talk->valid_until || lease->id == 0) {
        drop_lease(talk, index);
        return false;
    }
    if (account == LV_HANDLE_NONE && !talk->is_contended) {
        account = oldest_account(fleet, entry);
    }
    if (!lease->is_recalled && account != LV_HANDLE_NONE &&
        waiting(entry, account) > 0) {
        start(fleet, entry, talk, lease, account);
        return true;
    }
    if (lease->is_recalled || talk->is_contended ||
        (lease->account != LV_HANDLE_NONE &&
         fleet->now - lease->idle_since >= fleet->pool.idle_timeout)) {
        release(talk, index);
        return false;
    }
    return true;
}

static void
use_leases(fleet_fleet *fleet, fleet_entry *entry, fleet_talk *talk)
{
    uint32_t index = 0;

    while (index < talk->lease_count) {
        if (use_lease(fleet, entry, talk, index)) {
            index++;
        }
    }
}

static uint32_t
account_of(lv_id id)
{
    return id == LV_ID_NONE ? LV_HANDLE_NONE : (uint32_t)(id - 5000);
}

static lv_id
account_id(uint32_t account)
{
    return account == LV_HANDLE_NONE ? LV_ID_NONE : 5000 + account;
}

static fleet_lease *
find_lease(fleet_talk *talk, uint64_t id)
{
    for (uint32_t i = 0; i < talk->lease_count; i++) {
        if (talk->leases[i].id == id) {
            return &talk->leases[i];
        }
    }
    return NULL;
}

static void
add_lease(fleet_fleet *fleet, fleet_talk *talk, const msg_grant *grant)
{
    cr_assert_lt(talk->lease_count, FLEET_LEASES);
    talk->leases[talk->lease_count++] = (fleet_lease){
        .id = grant->lease,
        .endpoint = (uint32_t)(grant->endpoint - 3000),
        .account = account_of(grant->account),
        .running = LV_HANDLE_NONE,
        .idle_since = fleet->now,
    };
}

static void
take_levels(fleet_talk *talk, const msg_message *message)
{
    for (uint32_t i = 0; i < message->level_count; i++) {
        uint32_t account = account_of(message->levels[i].account);

        talk->level[account] = message->levels[i].level;
        talk->allowance[account] = message->levels[i].allowance;
        talk->has_allowance[account] = true;
        if (message->echo == talk->full_sent) {
            talk->level_total[account] = talk->full_total[account];
        }
    }
}

/* Contention binds a lease for any account to the one whose request runs. */
static void
set_contended(fleet_talk *talk, bool is_contended)
{
    talk->is_contended = is_contended;
    for (uint32_t i = 0; is_contended && i < talk->lease_count; i++) {
        if (talk->leases[i].account == LV_HANDLE_NONE) {
            talk->leases[i].account = talk->leases[i].running;
        }
    }
}

void
lease_entry_take_grant(fleet_fleet *fleet, uint32_t number, uint32_t from,
                       const msg_message *message)
{
    fleet_entry *entry = &fleet->entries[number];
    fleet_talk *talk = &entry->talks[message->shard];
    const fleet_dispatcher *dispatcher = &fleet->dispatchers[talk->dispatcher];

    if (dispatcher->instance != from || message->tenure < talk->tenure ||
        message->sequence <= talk->seen ||
        message->target_incarnation != entry->incarnation) {
        return;
    }
    talk->tenure = message->tenure;
    talk->seen = message->sequence;
    talk->is_claiming = false;
    if (message->echo + message->ttl > talk->valid_until) {
        talk->valid_until = message->echo + message->ttl;
    }
    take_levels(talk, message);
    for (uint32_t i = 0; i < message->grant_count; i++) {
        if (find_lease(talk, message->grants[i].lease) == NULL) {
            add_lease(fleet, talk, &message->grants[i]);
        }
    }
    for (uint32_t i = 0; i < message->recalled_count; i++) {
        fleet_lease *lease = find_lease(talk, message->recalled[i]);

        if (lease != NULL) {
            lease->is_recalled = true;
        }
    }
    set_contended(talk, message->is_contended);
    use_leases(fleet, entry, talk);
}

/* Charge what running requests used over their prediction. */
static void
charge_progress(fleet_fleet *fleet, fleet_talk *talk)
{
    for (uint32_t i = 0; i < talk->lease_count; i++) {
        fleet_lease *lease = &talk->leases[i];
        lv_time used = fleet->now - lease->began;

        if (lease->running != LV_HANDLE_NONE && used > lease->charged) {
            talk->total[lease->running] += (int64_t)(used - lease->charged);
            lease->charged = used;
        }
    }
}

static msg_demand
make_demand(const fleet_fleet *fleet, const fleet_entry *entry,
            uint32_t account)
{
    msg_demand demand = {.account = account_id(account),
                         .arrivals = entry->arrivals[account]};

    for (int p = 0; p < CAT_PRIORITY_COUNT; p++) {
        const fleet_queue *queue = &entry->queues[account][p];

        demand.waiting[p] = queue->count;
        if (queue->count > 0) {
            demand.oldest_age[p] =
                fleet->now - queue->items[queue->first].arrived;
        }
    }
    return demand;
}

static msg_service
make_service(const fleet_talk *talk, uint32_t account)
{
    int64_t total = talk->total[account] / 1000;

    return (msg_service){
        .account = account_id(account),
        .total = total,
        .level = talk->level[account],
        .since = total - talk->level_total[account],
    };
}

typedef struct report_room {
    msg_demand demands[FLEET_ACCOUNTS];
    msg_service services[FLEET_ACCOUNTS];
    msg_lease held[FLEET_LEASES];
} report_room;

static bool
asks_shard(const fleet_fleet *fleet, uint32_t account, uint32_t shard)
{
    uint32_t mask = fleet->plan.work[account].shards;

    return mask == 0 || (mask >> shard & 1) != 0;
}

static void
add_accounts(const fleet_fleet *fleet, fleet_entry *entry, fleet_talk *talk,
             msg_message *message, report_room *room)
{
    for (uint32_t a = 0; a < fleet->plan.accounts; a++) {
        bool has_work = waiting(entry, a) > 0 || talk->has_arrived[a];

        if (asks_shard(fleet, a, message->shard) &&
            (message->is_full ? has_work : talk->is_changed[a])) {
            room->demands[message->demand_count++] =
                make_demand(fleet, entry, a);
            talk->said_waiting[a] = waiting(entry, a);
        }
        if (message->is_full && talk->total[a] != 0) {
            room->services[message->service_count++] = make_service(talk, a);
        }
        if (message->is_full) {
            talk->full_total[a] = talk->total[a] / 1000;
            talk->has_arrived[a] = false;
        }
        talk->is_changed[a] = false;
    }
}

static void
add_held(const fleet_talk *talk, msg_message *message, report_room *room)
{
    for (uint32_t i = 0; i < talk->lease_count; i++) {
        const fleet_lease *lease = &talk->leases[i];
        bool is_busy = lease->running != LV_HANDLE_NONE;

        if (lease->id != 0) {
            room->held[message->held_count++] = (msg_lease){
                .lease = lease->id,
                .endpoint = 3000 + lease->endpoint,
                .account =
                    account_id(is_busy ? lease->running : lease->account),
                .is_busy = is_busy,
                .priority = lease->priority,
            };
        }
    }
}

static void
report(fleet_fleet *fleet, uint32_t number, uint32_t shard, bool is_full)
{
    fleet_entry *entry = &fleet->entries[number];
    fleet_talk *talk = &entry->talks[shard];
    fleet_dispatcher *dispatcher = &fleet->dispatchers[talk->dispatcher];
    fleet_host host = dispatcher->host;
    static report_room room;
    msg_message message = {
        .kind = MSG_REPORT,
        .version = MSG_VERSION,
        .sequence = ++talk->sequence,
        .tenure = talk->tenure,
        .pool = fleet->pool.id,
        .shard = shard,
        .is_full = is_full,
        .is_claim = is_full && talk->is_claiming,
        .sent = fleet->now,
        .seen = talk->seen,
        .demands = room.demands,
        .services = room.services,
        .held = room.held,
        .released = talk->released,
        .released_count = talk->released_count,
    };

    charge_progress(fleet, talk);
    add_accounts(fleet, entry, talk, &message, &room);
    if (is_full) {
        add_held(talk, &message, &room);
        talk->full_sent = fleet->now;
    }
    host.instance = number;
    host.base.ops->send(&host.base, 1000 + dispatcher->instance, &message);
    talk->released_count = 0;
    talk->has_news = false;
    talk->last_short = fleet->now;
}

static bool
has_news(const fleet_fleet *fleet, const fleet_entry *entry,
         const fleet_talk *talk)
{
    for (uint32_t a = 0; a < fleet->plan.accounts; a++) {
        uint32_t count = waiting(entry, a);

        if (talk->is_changed[a] &&
            asks_shard(fleet, a, (uint32_t)(talk - entry->talks)) &&
            (count > talk->said_waiting[a] ||
             (count == 0 && talk->said_waiting[a] > 0))) {
            return true;
        }
    }
    return talk->has_news;
}

static void
expire(fleet_fleet *fleet, fleet_talk *talk)
{
    if (fleet->now < talk->valid_until) {
        return;
    }
    for (uint32_t i = 0; i < talk->lease_count; i++) {
        if (talk->leases[i].running != LV_HANDLE_NONE) {
            talk->leases[i].id = 0;
        }
    }
}

static void
top_up(fleet_fleet *fleet, uint32_t number)
{
    fleet_entry *entry = &fleet->entries[number];

    for (uint32_t a = 0; a < fleet->plan.accounts; a++) {
        const fleet_work *work = &fleet->plan.work[a];

        if ((work->entries >> number & 1) == 0 || fleet->now < work->start ||
            (work->stop > 0 && fleet->now >= work->stop)) {
            continue;
        }
        for (uint32_t n = entry->queues[a][CAT_DEFERRABLE].count;
             n < work->backlog; n++) {
            lease_entry_arrive(fleet, number, a, CAT_DEFERRABLE);
        }
    }
}

void
lease_entry_tick(fleet_fleet *fleet, uint32_t number)
{
    fleet_entry *entry = &fleet->entries[number];

    for (uint32_t shard = 0; shard < fleet->plan.shards; shard++) {
        fleet_talk *talk = &entry->talks[shard];

        expire(fleet, talk);
        use_leases(fleet, entry, talk);
    }
    top_up(fleet, number);
    for (uint32_t shard = 0; shard < fleet->plan.shards; shard++) {
        fleet_talk *talk = &entry->talks[shard];

        if (fleet->now >= talk->next_full) {
            talk->next_full = fleet->now + (fleet->plan.report_interval > 0
                                                ? fleet->plan.report_interval
                                                : 100 * LV_MILLISECOND);
            report(fleet, number, shard, true);
        }
        else if (!talk->is_claiming &&
                 fleet->now >= talk->last_short + SHORT_GAP &&
                 has_news(fleet, entry, talk)) {
            report(fleet, number, shard, false);
        }
    }
}
