#include "lease-fleet.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lavender/hash.h"
#include "lease-entry.h"

static const disp_settings dispatcher_settings = {
    .lease_ttl = 2 * LV_SECOND,
    .lease_margin = 200 * LV_MILLISECOND,
    .report_interval = 100 * LV_MILLISECOND,
    .settle_timeout = 1 * LV_SECOND,
};

static void
require(bool is_true, const char *what)
{
    cr_assert(is_true, "%s", what);
}

uint64_t
fleet_random(fleet_fleet *fleet)
{
    fleet->random += UINT64_C(0x9e3779b97f4a7c15);
    return map_mix(fleet->random);
}

static lv_id
instance_id(uint32_t instance)
{
    return 1000 + instance;
}

static bool
is_apart(const fleet_fleet *fleet, uint32_t from, uint32_t to)
{
    return fleet->entries[from].side != fleet->entries[to].side;
}

static void
queue_message(fleet_fleet *fleet, uint32_t from, uint32_t to,
              const char *bytes, size_t size)
{
    const fleet_plan *plan = &fleet->plan;
    fleet_message *message;
    lv_time delay = from == to ? FLEET_STEP : plan->latency;

    if (from != to && plan->jitter > 0) {
        delay += fleet_random(fleet) % plan->jitter;
    }
    require(fleet->message_count < FLEET_MESSAGES, "too many messages");
    message = &fleet->messages[fleet->message_count++];
    message->due = fleet->now + delay;
    message->from = from;
    message->to = to;
    message->size = size;
    message->bytes = malloc(size);
    memcpy(message->bytes, bytes, size);
}

static void
send_message(lv_host *base, lv_id to, const msg_message *message)
{
    fleet_host *host = (fleet_host *)base;
    fleet_fleet *fleet = host->fleet;
    uint32_t target = (uint32_t)(to - 1000);
    msg_message copy = *message;
    char *bytes = NULL;
    size_t size = 0;
    err_error error;

    copy.sender = instance_id(host->instance);
    copy.incarnation = fleet->entries[host->instance].incarnation;
    require(msg_encode(&copy, &bytes, &size, &error), error.message);
    fleet->sent++;
    if (host->instance == target) {
        queue_message(fleet, host->instance, target, bytes, size);
    }
    else if (!is_apart(fleet, host->instance, target) &&
             fleet_random(fleet) % 1000 >= fleet->plan.lost) {
        queue_message(fleet, host->instance, target, bytes, size);
        if (fleet_random(fleet) % 1000 < fleet->plan.repeated) {
            queue_message(fleet, host->instance, target, bytes, size);
        }
    }
    free(bytes);
}

static void
log_decision(lv_host *base, const lv_decision *decision)
{
    fleet_host *host = (fleet_host *)base;

    if (decision->reason == NULL || decision->pool == NULL ||
        decision->endpoint == LV_ID_NONE || decision->instance == LV_ID_NONE) {
        host->fleet->bad_decisions++;
    }
}

static const lv_host_ops host_ops = {
    .send = send_message,
    .log_decision = log_decision,
};

static void
init_host(fleet_fleet *fleet, fleet_host *host, uint32_t instance)
{
    host->base.ops = &host_ops;
    host->fleet = fleet;
    host->instance = instance;
}

static void
init_account(fleet_fleet *fleet, uint32_t place, uint32_t number)
{
    const fleet_work *work = &fleet->plan.work[number];
    cat_account *account = &fleet->accounts[place];
    cat_entry *entry = &fleet->entries_of[place];

    snprintf(account->name, sizeof account->name, "account-%u", number);
    account->id = 5000 + number;
    account->weight = work->weight > 0 ? work->weight : 1;
    account->first_entry = place;
    account->entry_count = 1;
    entry->account = place;
    entry->limits.in_flight = work->in_flight;
    entry->limits.requests_per_second = work->rate;
    entry->limits.burst = work->burst;
}

static void
init_catalogue(fleet_fleet *fleet)
{
    cat_pool *pool = &fleet->pool;

    snprintf(pool->name, sizeof pool->name, "pool");
    pool->id = 7;
    pool->kind = CAT_POOL_SERVICE;
    pool->slots = fleet->plan.slots;
    pool->quantum = fleet->plan.quantum;
    pool->urgent_credit = fleet->plan.urgent_credit;
    pool->default_cost = 100;
    pool->idle_timeout = 5 * LV_MILLISECOND;
    pool->shard_endpoints = FLEET_ENDPOINTS;
    if (fleet->plan.shards > 1) {
        pool->shard_endpoints = fleet->plan.endpoints / fleet->plan.shards * 2;
    }
    for (uint32_t i = 0; i < fleet->plan.accounts; i++) {
        init_account(fleet, i, i);
    }
    fleet->catalogue.pools = pool;
    fleet->catalogue.pool_count = 1;
    fleet->catalogue.accounts = fleet->accounts;
    fleet->catalogue.account_count = fleet->plan.accounts;
    fleet->catalogue.entries = fleet->entries_of;
    fleet->catalogue.entry_count = fleet->plan.accounts;
}

static void
init_lists(fleet_fleet *fleet)
{
    uint32_t slots[FLEET_SHARDS] = {0};
    uint32_t shards =
        hrw_shard_count(fleet->plan.endpoints, fleet->pool.shard_endpoints);

    require(shards <= FLEET_SHARDS, "too many shards");
    require(shards == fleet->plan.shards, "other number of shards");
    for (uint32_t i = 0; i < fleet->plan.endpoints; i++) {
        lists_endpoint *endpoint = &fleet->endpoints[i];

        endpoint->id = 3000 + i;
        endpoint->pool = fleet->pool.id;
        fleet->shard_of[i] = hrw_shard_of(endpoint->id, shards);
        slots[fleet->shard_of[i]] += fleet->plan.slots;
    }
    for (uint32_t a = 0; a < fleet->plan.accounts; a++) {
        fleet->home_of[a] =
            hrw_account_shard(fleet->accounts[a].id, slots, shards);
    }
    fleet->lists.endpoints = fleet->endpoints;
    fleet->lists.endpoint_count = fleet->plan.endpoints;
}

void
fleet_init(fleet_fleet *fleet, const fleet_plan *plan)
{
    memset(fleet, 0, sizeof *fleet);
    fleet->plan = *plan;
    fleet->random = plan->seed;
    fleet->now = 10 * LV_SECOND;
    msg_buffer_init(&fleet->buffer);
    init_catalogue(fleet);
    init_lists(fleet);
    for (uint32_t i = 0; i < plan->entries; i++) {
        fleet_start_entry(fleet, i);
    }
    if (plan->shards > 1) {
        init_host(fleet, &fleet->root_host, 0);
        require(root_init(&fleet->root, &fleet->root_host.base, instance_id(0),
                          fleet->pool.id, 1, fleet->now, NULL),
                "no counter root");
        fleet->has_root = true;
    }
    for (uint32_t shard = 0; shard < plan->shards; shard++) {
        uint32_t number = fleet_start_dispatcher(fleet, shard, shard, 1);

        for (uint32_t i = 0; i < plan->entries; i++) {
            fleet_turn(fleet, i, number);
        }
    }
}

void
fleet_finish(fleet_fleet *fleet)
{
    for (uint32_t i = 0; i < fleet->message_count; i++) {
        free(fleet->messages[i].bytes);
    }
    for (uint32_t i = 0; i < FLEET_ENTRIES; i++) {
        lease_entry_clear(&fleet->entries[i]);
    }
    for (uint32_t i = 0; i < fleet->dispatcher_count; i++) {
        fleet_stop_dispatcher(fleet, i);
    }
    for (int i = 0; i < CAT_PRIORITY_COUNT; i++) {
        free(fleet->waits[i].values);
    }
    if (fleet->has_root) {
        root_finish(&fleet->root);
    }
    msg_buffer_finish(&fleet->buffer);
}

void
fleet_tell_members(fleet_fleet *fleet, uint32_t number, uint32_t visible_share)
{
    fleet_dispatcher *dispatcher = &fleet->dispatchers[number];
    lv_id members[FLEET_ENTRIES];
    uint32_t count = 0;

    for (uint32_t i = 0; i < fleet->plan.entries; i++) {
        if (fleet->entries[i].is_up &&
            !is_apart(fleet, dispatcher->instance, i)) {
            members[count++] = instance_id(i);
        }
    }
    disp_set_members(&dispatcher->disp, fleet->now, members, count,
                     visible_share);
}

uint32_t
fleet_start_dispatcher(fleet_fleet *fleet, uint32_t shard, uint32_t instance,
                       uint64_t tenure)
{
    uint32_t number = fleet->dispatcher_count++;
    fleet_dispatcher *dispatcher = &fleet->dispatchers[number];
    disp_settings settings = dispatcher_settings;
    err_error error;

    require(number < FLEET_DISPATCHERS, "too many dispatchers");
    if (fleet->plan.report_interval > 0) {
        settings.report_interval = fleet->plan.report_interval;
    }
    init_host(fleet, &dispatcher->host, instance);
    dispatcher->shard = shard;
    dispatcher->instance = instance;
    require(disp_init(&dispatcher->disp, &dispatcher->host.base, &settings,
                      instance_id(instance), fleet->pool.id, shard, tenure,
                      fleet->now, &error),
            error.message);
    dispatcher->is_up = true;
    disp_set_documents(&dispatcher->disp, fleet->now, &fleet->catalogue,
                       &fleet->lists);
    if (fleet->has_root) {
        disp_set_root(&dispatcher->disp, instance_id(0));
    }
    fleet_tell_members(fleet, number, 1000);
    return number;
}

void
fleet_stop_dispatcher(fleet_fleet *fleet, uint32_t number)
{
    if (fleet->dispatchers[number].is_up) {
        fleet->dispatchers[number].is_up = false;
        disp_finish(&fleet->dispatchers[number].disp);
    }
}

void
fleet_turn(fleet_fleet *fleet, uint32_t entry, uint32_t number)
{
    fleet_talk *talk =
        &fleet->entries[entry].talks[fleet->dispatchers[number].shard];

    talk->dispatcher = number;
    talk->is_claiming = true;
    talk->seen = 0;
    talk->next_full = fleet->now;
}

void
fleet_start_entry(fleet_fleet *fleet, uint32_t number)
{
    fleet_entry *entry = &fleet->entries[number];
    uint64_t incarnation = entry->incarnation + 1;
    uint32_t side = entry->side;
    uint32_t dispatchers[FLEET_SHARDS];

    for (uint32_t i = 0; i < FLEET_SHARDS; i++) {
        dispatchers[i] = entry->talks[i].dispatcher;
    }
    memset(entry, 0, sizeof *entry);
    entry->is_up = true;
    entry->side = side;
    entry->incarnation = incarnation;
    for (uint32_t i = 0; i < FLEET_SHARDS; i++) {
        entry->talks[i].dispatcher = dispatchers[i];
        entry->talks[i].is_claiming = true;
    }
    for (uint32_t i = 0; i < fleet->plan.accounts; i++) {
        const fleet_work *work = &fleet->plan.work[i];

        entry->predicted[i] = 100 * LV_MILLISECOND;
        lim_init(&entry->cold[i],
                 work->rate * LIM_ONE_PER_SECOND / fleet->plan.entries, 1,
                 fleet->now);
    }
}

void
fleet_stop_entry(fleet_fleet *fleet, uint32_t number)
{
    fleet_entry *entry = &fleet->entries[number];

    for (uint32_t shard = 0; shard < fleet->plan.shards; shard++) {
        fleet_talk *talk = &entry->talks[shard];

        for (uint32_t i = 0; i < talk->lease_count; i++) {
            if (talk->leases[i].running != LV_HANDLE_NONE) {
                fleet->running[talk->leases[i].running]--;
                fleet->running_at[talk->leases[i].endpoint]--;
            }
        }
        talk->lease_count = 0;
    }
    lease_entry_clear(entry);
    entry->is_up = false;
}

static void
deliver_to_dispatchers(fleet_fleet *fleet, uint32_t to,
                       const msg_message *message)
{
    for (uint32_t i = 0; i < fleet->dispatcher_count; i++) {
        fleet_dispatcher *dispatcher = &fleet->dispatchers[i];

        if (!dispatcher->is_up || dispatcher->instance != to ||
            dispatcher->shard != message->shard) {
            continue;
        }
        if (message->kind == MSG_REPORT) {
            disp_receive_report(&dispatcher->disp, fleet->now, message);
        }
        else {
            disp_receive_pool_sum(&dispatcher->disp, fleet->now, message);
        }
    }
}

static void
deliver(fleet_fleet *fleet, const fleet_message *letter)
{
    msg_message message;
    err_error error;

    if (!fleet->entries[letter->to].is_up) {
        return;
    }
    require(msg_decode(letter->bytes, letter->size, &message, &fleet->buffer,
                       &error),
            error.message);
    if (message.kind == MSG_GRANT) {
        lease_entry_take_grant(fleet, letter->to, letter->from, &message);
    }
    else if (message.kind == MSG_SHARD_SUM) {
        if (fleet->has_root && letter->to == fleet->root_host.instance) {
            root_receive_shard_sum(&fleet->root, fleet->now, &message);
        }
    }
    else {
        deliver_to_dispatchers(fleet, letter->to, &message);
    }
}

static void
deliver_due(fleet_fleet *fleet)
{
    uint32_t kept = 0;
    uint32_t count = fleet->message_count;

    for (uint32_t i = 0; i < count; i++) {
        fleet_message letter = fleet->messages[i];

        if (letter.due <= fleet->now) {
            deliver(fleet, &letter);
            free(letter.bytes);
        }
        else {
            fleet->messages[kept++] = letter;
        }
    }
    for (uint32_t i = count; i < fleet->message_count; i++) {
        fleet->messages[kept++] = fleet->messages[i];
    }
    fleet->message_count = kept;
}

static void
arrive(fleet_fleet *fleet, uint32_t account)
{
    const fleet_work *work = &fleet->plan.work[account];

    if (work->interval == 0 || fleet->now < fleet->next_arrival[account] ||
        fleet->now < work->start ||
        (work->stop > 0 && fleet->now >= work->stop)) {
        return;
    }
    fleet->next_arrival[account] = fleet->now + work->interval;
    for (uint32_t tries = 0; tries < fleet->plan.entries; tries++) {
        uint32_t entry = fleet->next_entry[account]++ % fleet->plan.entries;

        if ((work->entries >> entry & 1) != 0 && fleet->entries[entry].is_up) {
            lease_entry_arrive(fleet, entry, account, work->priority);
            return;
        }
    }
}

static bool
has_waiting(const fleet_fleet *fleet)
{
    for (uint32_t i = 0; i < fleet->plan.entries; i++) {
        for (uint32_t a = 0; a < fleet->plan.accounts; a++) {
            if (fleet->entries[i].is_up &&
                fleet->plan.work[a].in_flight == 0 &&
                (fleet->entries[i].queues[a][CAT_URGENT].count > 0 ||
                 fleet->entries[i].queues[a][CAT_DEFERRABLE].count > 0)) {
                return true;
            }
        }
    }
    return false;
}

static void
note_idle(fleet_fleet *fleet, bool is_waiting)
{
    for (uint32_t i = 0; i < fleet->plan.endpoints; i++) {
        if (!is_waiting || fleet->running_at[i] >= fleet->plan.slots) {
            fleet->idle_from[i] = 0;
        }
        else if (fleet->idle_from[i] == 0) {
            fleet->idle_from[i] = fleet->now;
        }
        else if (fleet->now - fleet->idle_from[i] > fleet->longest_idle) {
            fleet->longest_idle = fleet->now - fleet->idle_from[i];
        }
    }
}

static void
account_step(fleet_fleet *fleet)
{
    bool is_waiting;
    uint32_t busy = 0;
    uint32_t slots = fleet->plan.endpoints * fleet->plan.slots;

    for (uint32_t a = 0; a < fleet->plan.accounts; a++) {
        fleet->service[a] += fleet->running[a] * FLEET_STEP;
        busy += fleet->running[a];
        if (fleet->running[a] > fleet->most_running[a]) {
            fleet->most_running[a] = fleet->running[a];
        }
    }
    for (uint32_t i = 0; i < fleet->plan.endpoints; i++) {
        if (fleet->running_at[i] > fleet->most_running_at[i]) {
            fleet->most_running_at[i] = fleet->running_at[i];
        }
    }
    is_waiting = has_waiting(fleet);
    note_idle(fleet, is_waiting);
    if (is_waiting) {
        fleet->slot_time += slots * FLEET_STEP;
        fleet->busy_time += (busy < slots ? busy : slots) * FLEET_STEP;
    }
}

static void
step(fleet_fleet *fleet)
{
    fleet->now += FLEET_STEP;
    deliver_due(fleet);
    for (uint32_t a = 0; a < fleet->plan.accounts; a++) {
        arrive(fleet, a);
    }
    for (uint32_t i = 0; i < fleet->plan.entries; i++) {
        if (fleet->entries[i].is_up) {
            lease_entry_tick(fleet, i);
        }
    }
    for (uint32_t i = 0; i < fleet->dispatcher_count; i++) {
        fleet_dispatcher *dispatcher = &fleet->dispatchers[i];

        if (dispatcher->is_up &&
            fleet->now >= disp_next_tick(&dispatcher->disp)) {
            disp_tick(&dispatcher->disp, fleet->now);
        }
    }
    if (fleet->has_root) {
        root_tick(&fleet->root, fleet->now);
    }
    account_step(fleet);
}

void
fleet_run(fleet_fleet *fleet, lv_time until)
{
    while (fleet->now < until) {
        step(fleet);
    }
}

void
fleet_mark(const fleet_fleet *fleet, lv_time snapshot[FLEET_ACCOUNTS])
{
    memcpy(snapshot, fleet->service, sizeof fleet->service);
}

fleet_gap
fleet_gap_since(const fleet_fleet *fleet,
                const lv_time snapshot[FLEET_ACCOUNTS], uint32_t mask)
{
    lv_time least = LV_TIME_NEVER;
    lv_time most = 0;
    lv_time sum = 0;
    uint32_t count = 0;

    for (uint32_t a = 0; a < fleet->plan.accounts; a++) {
        lv_time got =
            (fleet->service[a] - snapshot[a]) / fleet->accounts[a].weight;

        if ((mask >> a & 1) == 0) {
            continue;
        }
        least = got < least ? got : least;
        most = got > most ? got : most;
        sum += got;
        count++;
    }
    return (fleet_gap){.gap = count > 0 ? most - least : 0,
                       .mean = count > 0 ? sum / count : 0};
}

lv_time
fleet_bound(const fleet_fleet *fleet)
{
    const fleet_plan *plan = &fleet->plan;
    uint32_t views = plan->shards > 1 ? 3 : 1;
    disp_bound_input input = {
        .max_slot_rate = 1000,
        .slots = plan->endpoints * plan->slots,
        .min_weight = UINT32_MAX,
        .quantum = plan->quantum,
        .urgent_credit = plan->urgent_credit,
        .recall_delay =
            views * (dispatcher_settings.report_interval + 2 * plan->latency),
    };

    for (uint32_t a = 0; a < plan->accounts; a++) {
        if (plan->work[a].most_ms > input.max_request_cost) {
            input.max_request_cost = plan->work[a].most_ms;
        }
        if (fleet->accounts[a].weight < input.min_weight) {
            input.min_weight = fleet->accounts[a].weight;
        }
    }
    return disp_fairness_bound(&input) * LV_MILLISECOND;
}

uint32_t
fleet_use(const fleet_fleet *fleet)
{
    if (fleet->slot_time == 0) {
        return 1000;
    }
    return (uint32_t)(fleet->busy_time * 1000 / fleet->slot_time);
}

void
fleet_reset_counts(fleet_fleet *fleet)
{
    fleet->slot_time = 0;
    fleet->longest_idle = 0;
    fleet->busy_time = 0;
    for (int i = 0; i < CAT_PRIORITY_COUNT; i++) {
        fleet->waits[i].count = 0;
    }
    memset(fleet->most_running, 0, sizeof fleet->most_running);
    memset(fleet->most_running_at, 0, sizeof fleet->most_running_at);
    memset(fleet->started_at, 0, sizeof fleet->started_at);
}

static int
compare_times(const void *left, const void *right)
{
    lv_time a = *(const lv_time *)left;
    lv_time b = *(const lv_time *)right;

    return (a > b) - (a < b);
}

lv_time
fleet_wait(fleet_fleet *fleet, cat_priority priority, uint32_t part)
{
    fleet_waits *waits = &fleet->waits[priority];

    if (waits->count == 0) {
        return 0;
    }
    qsort(waits->values, waits->count, sizeof *waits->values, compare_times);
    return waits->values[(uint64_t)(waits->count - 1) * part / 1000];
}
