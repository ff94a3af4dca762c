/*
 * The cost of the dispatcher's decisions: a shard with many accounts, of
 * which a tenth waits, and many entries. Each round gives leases back and
 * reports demand and service, as entries in full work do.
 *
 * bench-dispatcher ACCOUNTS ENDPOINTS ENTRIES ROUNDS prints the decisions,
 * grants and bytes; run it under callgrind with 0 rounds and with some, and
 * divide the difference of the instructions by that of the decisions.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lavender/dispatcher.h"
#include "lavender/hash.h"

#define POOL ((lv_id)7)

enum {
    SLOTS = 8, /* of each endpoint */
    BACKLOG_PART = 10,
    HELD_MAX = 4096,
    ORDER_SIZE = 65536
};

typedef struct bench_entry {
    uint64_t sequence;
    uint64_t seen;
    uint32_t held_count;
    msg_grant held[HELD_MAX];
} bench_entry;

typedef struct bench_host {
    lv_host base;
    uint32_t entry_count;
    bench_entry *entries;
    uint32_t *order; /* entries in order of their grants, a ring */
    uint32_t first;
    uint32_t last;
} bench_host;

static disp_dispatcher disp;
static bench_host host;
static lv_time now = LV_SECOND;
static int64_t *totals; /* per account */

static void
take_grant(lv_host *base, lv_id to, const msg_message *message)
{
    bench_host *bench = (bench_host *)base;
    bench_entry *entry = &bench->entries[to - 1000];

    entry->seen = message->sequence;
    for (uint32_t i = 0; i < message->grant_count; i++) {
        if (entry->held_count < HELD_MAX) {
            entry->held[entry->held_count++] = message->grants[i];
            bench->order[bench->last++ % ORDER_SIZE] = (uint32_t)(to - 1000);
        }
    }
}

static void
ignore_decision(lv_host *base, const lv_decision *decision)
{
    (void)base;
    (void)decision;
}

static const lv_host_ops host_ops = {
    .send = take_grant,
    .log_decision = ignore_decision,
};

static uint32_t
entry_of(uint32_t account)
{
    return account % host.entry_count;
}

static msg_message
make_report(uint32_t entry, bool is_full)
{
    return (msg_message){
        .kind = MSG_REPORT,
        .sender = 1000 + entry,
        .incarnation = 1,
        .sequence = ++host.entries[entry].sequence,
        .pool = POOL,
        .is_full = is_full,
        .is_claim = host.entries[entry].sequence == 1,
        .sent = now,
        .seen = host.entries[entry].seen,
    };
}

/* A request ends: its lease comes back, its account waits on and was
 * charged. */
static void
end_one(uint32_t entry)
{
    bench_entry *at = &host.entries[entry];
    msg_grant lease = at->held[0];
    uint32_t account = (uint32_t)(lease.account - 100000);
    msg_demand demand = {.account = lease.account,
                         .waiting = {0, 100},
                         .oldest_age = {0, 1000}};
    msg_service service = {.account = lease.account};
    msg_message report = make_report(entry, false);

    at->held[0] = at->held[--at->held_count];
    totals[account] += 100 + account % 50;
    service.total = totals[account];
    report.released = &lease.lease;
    report.released_count = 1;
    report.demands = &demand;
    report.demand_count = 1;
    report.services = &service;
    report.service_count = 1;
    disp_receive_report(&disp, now, &report);
}

static void
claim_all(uint32_t accounts)
{
    msg_demand demand = {.waiting = {0, 100}, .oldest_age = {0, 1000}};
    msg_service service = {0};

    for (uint32_t i = 0; i < host.entry_count; i++) {
        msg_message report = make_report(i, true);

        disp_receive_report(&disp, now, &report);
    }
    for (uint32_t a = 0; a < accounts; a++) {
        msg_message report = make_report(entry_of(a), false);

        demand.account = 100000 + a;
        service.account = 100000 + a;
        demand.waiting[CAT_DEFERRABLE] = a % BACKLOG_PART == 0 ? 100 : 0;
        report.demands = &demand;
        report.demand_count = 1;
        report.services = &service;
        report.service_count = 1;
        disp_receive_report(&disp, now, &report);
    }
}

static bool
set_up(uint32_t accounts, uint32_t endpoints, cat_catalogue *catalogue,
       lists_snapshot *lists)
{
    static const disp_settings settings = {
        .lease_ttl = 1000 * LV_SECOND,
        .lease_margin = LV_SECOND,
        .report_interval = 100 * LV_MILLISECOND,
        .settle_timeout = 0,
    };
    lv_id *members = calloc(host.entry_count, sizeof *members);
    err_error error;

    if (members == NULL ||
        !disp_init(&disp, &host.base, &settings, 1, POOL, 0, 1, now, &error)) {
        free(members);
        return false;
    }
    for (uint32_t i = 0; i < host.entry_count; i++) {
        members[i] = 1000 + i;
    }
    for (uint32_t i = 0; i < accounts; i++) {
        catalogue->accounts[i].id = 100000 + i;
        catalogue->accounts[i].weight = 1;
    }
    for (uint32_t i = 0; i < endpoints; i++) {
        lists->endpoints[i].id = 50000 + i;
        lists->endpoints[i].pool = POOL;
    }
    disp_set_documents(&disp, now, catalogue, lists);
    disp_set_members(&disp, now, members, host.entry_count, 1000);
    free(members);
    return true;
}

static void
run(uint32_t rounds)
{
    for (uint32_t i = 0; i < rounds && host.first != host.last; i++) {
        end_one(host.order[host.first++ % ORDER_SIZE]);
    }
}

static void
print_result(uint32_t accounts, uint32_t endpoints, uint32_t rounds,
             size_t before)
{
    disp_counts counts;

    disp_read_counts(&disp, &counts);
    printf("accounts %u endpoints %u entries %u rounds %u decisions %llu "
           "grants %llu recalls %llu leased %u bytes %zu empty %zu\n",
           accounts, endpoints, host.entry_count, rounds,
           (unsigned long long)counts.decisions,
           (unsigned long long)counts.grants,
           (unsigned long long)counts.recalls, counts.leased, counts.memory,
           before);
}

int
main(int count, char **arguments)
{
    uint32_t numbers[4] = {16, 14, 8, 1000};
    cat_pool pool = {.id = POOL,
                     .slots = SLOTS,
                     .quantum = 200,
                     .default_cost = 100,
                     .shard_endpoints = 64};
    cat_catalogue catalogue = {.pools = &pool, .pool_count = 1};
    lists_snapshot lists = {0};
    disp_counts empty;

    for (int i = 0; i < 4 && i + 1 < count; i++) {
        numbers[i] = (uint32_t)strtoul(arguments[i + 1], NULL, 10);
    }
    host.base.ops = &host_ops;
    host.entry_count = numbers[2] > 0 ? numbers[2] : 1;
    host.entries = calloc(host.entry_count, sizeof *host.entries);
    host.order = calloc(ORDER_SIZE, sizeof *host.order);
    totals = calloc(numbers[0] + 1, sizeof *totals);
    catalogue.account_count = numbers[0];
    catalogue.accounts = calloc(numbers[0] + 1, sizeof *catalogue.accounts);
    lists.endpoint_count = numbers[1];
    lists.endpoints = calloc(numbers[1] + 1, sizeof *lists.endpoints);
    if (host.entries == NULL || host.order == NULL || totals == NULL ||
        catalogue.accounts == NULL || lists.endpoints == NULL ||
        !set_up(numbers[0], numbers[1], &catalogue, &lists)) {
        fputs("bench-dispatcher: no memory\n", stderr);
        return 1;
    }
    disp_read_counts(&disp, &empty);
    claim_all(numbers[0]);
    run(numbers[3]);
    print_result(numbers[0], numbers[1], numbers[3], empty.memory);
    disp_finish(&disp);
    free(lists.endpoints);
    free(catalogue.accounts);
    free(totals);
    free(host.order);
    free(host.entries);
    return 0;
}
