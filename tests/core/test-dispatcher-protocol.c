/*
 * The dispatcher's side of the lease protocol, message by message.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <string.h>

#include "lavender/dispatcher.h"

enum {
    GRANTS_MAX = 64
};

#define POOL ((lv_id)7)
#define SELF ((lv_id)100)
#define ENTRY ((lv_id)101)
#define OTHER ((lv_id)102)
#define ACCOUNT ((lv_id)500)
#define RIVAL ((lv_id)501)
#define ENDPOINT ((lv_id)300)

/* What was sent to one entry. */
typedef struct sent_log {
    uint32_t messages;
    uint64_t sequence;
    uint64_t tenure;
    lv_time echo;
    bool is_contended;
    uint32_t count;
    msg_grant grants[GRANTS_MAX];
    uint32_t recalled_count; /* of the last message */
    uint64_t recalled[GRANTS_MAX];
    int64_t level[2];   /* of ACCOUNT and RIVAL */
    uint32_t allowance; /* of RIVAL */
} sent_log;

typedef struct wire_host {
    lv_host base;
    sent_log logs[2]; /* to ENTRY and OTHER */
} wire_host;

static void
record(lv_host *base, lv_id to, const msg_message *message)
{
    sent_log *log = &((wire_host *)base)->logs[to - ENTRY];

    log->messages++;
    cr_assert_gt(message->sequence, log->sequence);
    log->sequence = message->sequence;
    log->tenure = message->tenure;
    log->echo = message->echo;
    log->is_contended = message->is_contended;
    for (uint32_t i = 0; i < message->grant_count; i++) {
        cr_assert_lt(log->count, GRANTS_MAX);
        log->grants[log->count++] = message->grants[i];
    }
    log->recalled_count = message->recalled_count;
    for (uint32_t i = 0; i < message->recalled_count; i++) {
        log->recalled[i] = message->recalled[i];
    }
    for (uint32_t i = 0; i < message->level_count; i++) {
        if (message->levels[i].account == RIVAL) {
            log->allowance = message->levels[i].allowance;
        }
        log->level[message->levels[i].account - ACCOUNT] =
            message->levels[i].level;
    }
}

static void
ignore_decision(lv_host *base, const lv_decision *decision)
{
    (void)base;
    (void)decision;
}

static const lv_host_ops host_ops = {
    .send = record,
    .log_decision = ignore_decision,
};

static const disp_settings settings = {
    .lease_ttl = 2 * LV_SECOND,
    .lease_margin = 200 * LV_MILLISECOND,
    .report_interval = 100 * LV_MILLISECOND,
    .settle_timeout = LV_SECOND,
};

static wire_host host;
static disp_dispatcher disp;
static lv_time now;
static cat_pool pool = {.name = "pool",
                        .id = POOL,
                        .slots = 2,
                        .quantum = 100,
                        .default_cost = 10,
                        .shard_endpoints = 64};
static cat_account accounts[] = {
    {.name = "account", .id = ACCOUNT, .weight = 1},
    {.name = "rival", .id = RIVAL, .weight = 2},
};
static cat_catalogue catalogue = {
    .pools = &pool, .pool_count = 1, .accounts = accounts, .account_count = 2};
static lists_endpoint endpoint = {.id = ENDPOINT, .pool = POOL};
static lists_snapshot lists = {.endpoints = &endpoint, .endpoint_count = 1};

static void
start(void)
{
    static const lv_id members[] = {ENTRY, OTHER};
    err_error error;

    memset(&host, 0, sizeof host);
    host.base.ops = &host_ops;
    now = 50 * LV_SECOND;
    cr_assert(disp_init(&disp, &host.base, &settings, SELF, POOL, 0, 3, now,
                        &error));
    disp_set_documents(&disp, now, &catalogue, &lists);
    disp_set_members(&disp, now, members, 2, 1000);
}

static msg_message
make_report(lv_id sender, uint64_t sequence, bool is_full)
{
    return (msg_message){
        .kind = MSG_REPORT,
        .sender = sender,
        .incarnation = 1,
        .sequence = sequence,
        .tenure = disp.tenure,
        .pool = POOL,
        .is_full = is_full,
        .sent = sequence * 1000,
        .seen = host.logs[sender - ENTRY].sequence,
    };
}

static void
claim_both(void)
{
    for (lv_id id = ENTRY; id <= OTHER; id++) {
        msg_message report = make_report(id, 1, true);

        report.is_claim = true;
        cr_assert(disp_receive_report(&disp, now, &report));
    }
}

static msg_demand
wait_for(lv_id account, uint32_t count)
{
    return (msg_demand){
        .account = account, .waiting = {0, count}, .oldest_age = {0, 1000}};
}

static bool
say_demand(lv_id sender, uint64_t sequence, lv_id account, uint32_t count)
{
    msg_demand demand = wait_for(account, count);
    msg_message report = make_report(sender, sequence, false);

    report.demands = &demand;
    report.demand_count = 1;
    return disp_receive_report(&disp, now, &report);
}

Test(dispatcher_protocol, grants_nothing_before_all_claims_are_in)
{
    msg_message report;
    msg_demand demand = wait_for(ACCOUNT, 3);

    start();
    report = make_report(ENTRY, 1, true);
    report.is_claim = true;
    report.demands = &demand;
    report.demand_count = 1;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(host.logs[0].count, 0);
    cr_expect_eq(host.logs[0].echo, 1000);
    report = make_report(OTHER, 1, true);
    report.is_claim = true;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(host.logs[0].count, 2);
    cr_expect_eq(host.logs[0].grants[0].account, ACCOUNT);
    cr_expect_eq(host.logs[0].grants[0].endpoint, ENDPOINT);
    cr_expect(host.logs[0].is_contended);
    disp_finish(&disp);
}

Test(dispatcher_protocol, settles_after_a_while_without_a_claim)
{
    msg_message report;
    msg_demand demand = wait_for(ACCOUNT, 1);

    start();
    report = make_report(ENTRY, 1, true);
    report.is_claim = true;
    report.demands = &demand;
    report.demand_count = 1;
    cr_assert(disp_receive_report(&disp, now, &report));
    now += settings.settle_timeout;
    cr_expect_leq(disp_next_tick(&disp), now);
    disp_tick(&disp, now);
    cr_expect_eq(host.logs[0].count, 1);
    disp_finish(&disp);
}

Test(dispatcher_protocol, drops_old_foreign_and_repeated_reports)
{
    msg_message report;

    start();
    claim_both();
    report = make_report(ENTRY, 5, true);
    cr_expect(disp_receive_report(&disp, now, &report));
    cr_expect_not(disp_receive_report(&disp, now, &report), "repeated");
    report.sequence = 4;
    cr_expect_not(disp_receive_report(&disp, now, &report), "older");
    report.sequence = 6;
    report.pool = 8;
    cr_expect_not(disp_receive_report(&disp, now, &report), "other pool");
    report.pool = POOL;
    report.shard = 1;
    cr_expect_not(disp_receive_report(&disp, now, &report), "other shard");
    report.shard = 0;
    report.kind = MSG_PING;
    cr_expect_not(disp_receive_report(&disp, now, &report), "other kind");
    report.kind = MSG_REPORT;
    report.incarnation = 0;
    cr_expect_not(disp_receive_report(&disp, now, &report), "ended process");
    report.incarnation = 2;
    report.sequence = 1;
    cr_expect(disp_receive_report(&disp, now, &report), "restarted");
    cr_expect_eq(disp.events.stale_reports, 6);
    disp_finish(&disp);
}

/* A lost GRANT: the next one has a higher sequence, and the lease is not in
 * the list. */
Test(dispatcher_protocol, lease_of_a_lost_grant_is_free_again)
{
    msg_message report;

    start();
    claim_both();
    cr_assert(say_demand(ENTRY, 2, ACCOUNT, 2));
    cr_assert_eq(host.logs[0].count, 2);
    cr_expect_eq(disp.leased, 2);
    report = make_report(ENTRY, 3, true);
    report.seen = host.logs[0].sequence - 1;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(disp.leased, 2, "the grant may be on its way still");
    report = make_report(ENTRY, 4, true);
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(disp.leased, 0);
    disp_finish(&disp);
}

Test(dispatcher_protocol, given_back_leases_go_to_the_next)
{
    msg_message report;
    uint64_t released;

    start();
    claim_both();
    cr_assert(say_demand(ENTRY, 2, ACCOUNT, 2));
    cr_assert(say_demand(OTHER, 2, RIVAL, 1));
    cr_expect_eq(host.logs[1].count, 0);
    released = host.logs[0].grants[0].lease;
    report = make_report(OTHER, 3, false);
    report.released = &released;
    report.released_count = 1;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(disp.leased, 2, "not the holder");
    report = make_report(ENTRY, 3, false);
    report.released = &released;
    report.released_count = 1;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(host.logs[1].count, 1);
    cr_expect_eq(host.logs[1].grants[0].account, RIVAL);
    disp_finish(&disp);
}

Test(dispatcher_protocol, leases_end_after_ttl_and_margin)
{
    start();
    claim_both();
    cr_assert(say_demand(ENTRY, 2, ACCOUNT, 2));
    now += settings.lease_ttl + settings.lease_margin - 1;
    disp_tick(&disp, now);
    cr_expect_eq(disp.leased, 2);
    now++;
    disp_tick(&disp, now);
    cr_expect_eq(disp.leased, 0);
    cr_expect_eq(disp.events.expired, 2);
    disp_finish(&disp);
}

Test(dispatcher_protocol, silent_entry_gets_no_grants)
{
    start();
    claim_both();
    now += settings.lease_ttl / 2 + 1;
    disp_tick(&disp, now);
    cr_assert(say_demand(ENTRY, 2, ACCOUNT, 2));
    cr_expect_eq(disp.leased, 0);
    disp_finish(&disp);
}

/* A new dispatcher takes over the leases and the counters. */
Test(dispatcher_protocol, claims_bring_leases_and_counters_back)
{
    msg_lease held[] = {
        {.lease = 71,
         .endpoint = ENDPOINT,
         .account = ACCOUNT,
         .is_busy = true},
        {.lease = 72, .endpoint = ENDPOINT, .account = RIVAL, .is_busy = true},
    };
    msg_service services[] = {
        {.account = ACCOUNT, .total = 900, .level = 5000, .since = 40},
        {.account = RIVAL, .total = 300, .level = 4000, .since = 100},
    };
    msg_service more = {
        .account = ACCOUNT, .total = 10, .level = 4990, .since = 7};
    msg_message report;

    start();
    report = make_report(ENTRY, 1, true);
    report.is_claim = true;
    report.tenure = 9;
    report.held = held;
    report.held_count = 2;
    report.services = services;
    report.service_count = 2;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(disp.leased, 2);
    cr_expect_eq(host.logs[0].tenure, 10);
    cr_expect_eq(host.logs[0].level[0], 5040);
    cr_expect_eq(host.logs[0].level[1], 4050, "weight 2");
    report = make_report(OTHER, 1, true);
    report.is_claim = true;
    report.services = &more;
    report.service_count = 1;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(host.logs[1].level[0], 5047);
    report = make_report(ENTRY, 2, true);
    report.is_claim = true;
    report.held = held;
    report.held_count = 2;
    report.services = services;
    report.service_count = 2;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(host.logs[0].level[0], 5047, "a repeated claim");
    cr_assert(say_demand(OTHER, 2, RIVAL, 1));
    cr_expect_eq(host.logs[1].count, 0, "no slot is free");
    disp_finish(&disp);
}

/* Counters of two dispatchers that served apart can not be compared: a lead
 * that comes of them is bounded, so that nobody starves for it. */
Test(dispatcher_protocol, merged_leads_are_bounded)
{
    msg_service service = {.account = ACCOUNT, .total = 9, .level = 1000000};
    msg_demand demand = wait_for(RIVAL, 1);
    msg_message report;

    start();
    report = make_report(ENTRY, 1, true);
    report.is_claim = true;
    report.services = &service;
    report.service_count = 1;
    cr_assert(disp_receive_report(&disp, now, &report));
    report = make_report(OTHER, 1, true);
    report.is_claim = true;
    report.demands = &demand;
    report.demand_count = 1;
    cr_assert(disp_receive_report(&disp, now, &report));
    service.since = 1;
    report = make_report(ENTRY, 2, true);
    report.services = &service;
    report.service_count = 1;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(host.logs[0].level[0], 1600, "when it settles");
    cr_assert(say_demand(OTHER, 2, RIVAL, 9));
    service.level = 2000000;
    report = make_report(ENTRY, 1, true);
    report.incarnation = 2;
    report.is_claim = true;
    report.services = &service;
    report.service_count = 1;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_leq(host.logs[0].level[0], 1601, "a late claim");
    disp_finish(&disp);
}

/* More leases than slots, as after a partition: no grant until they drain. */
Test(dispatcher_protocol, excess_leases_drain)
{
    msg_lease held[4];
    msg_message report;

    start();
    for (uint64_t i = 0; i < 4; i++) {
        held[i] = (msg_lease){.lease = 70 + i,
                              .endpoint = ENDPOINT,
                              .account = ACCOUNT,
                              .is_busy = true};
    }
    report = make_report(ENTRY, 1, true);
    report.is_claim = true;
    report.held = held;
    report.held_count = 4;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(host.logs[0].recalled_count, 2);
    report = make_report(OTHER, 1, true);
    report.is_claim = true;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_assert(say_demand(OTHER, 2, RIVAL, 1));
    report = make_report(ENTRY, 2, false);
    report.released = host.logs[0].recalled;
    report.released_count = 2;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(disp.leased, 2);
    cr_expect_eq(host.logs[1].count, 0);
    disp_finish(&disp);
}

Test(dispatcher_protocol, restarted_entry_counts_from_zero)
{
    msg_service service = {.account = ACCOUNT, .total = 500};
    msg_message report;

    start();
    claim_both();
    report = make_report(ENTRY, 2, true);
    report.services = &service;
    report.service_count = 1;
    service.since = 500;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(host.logs[0].level[0], 500);
    service.total = 450;
    report.sequence = 3;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(host.logs[0].level[0], 450, "a corrected prediction");
    service.total = 30;
    service.since = 30;
    report.incarnation = 2;
    report.sequence = 1;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(host.logs[0].level[0], 480);
    service.total = 40;
    report.sequence = 2;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(host.logs[0].level[0], 490);
    disp_finish(&disp);
}

/* One slot's worth of lag recalls one slot, however often it is looked at. */
Test(dispatcher_protocol, recalls_no_more_than_are_needed)
{
    msg_lease held[2];
    msg_service service = {.account = ACCOUNT, .since = 60};
    msg_message report;

    start();
    claim_both();
    cr_assert(say_demand(ENTRY, 2, ACCOUNT, 5));
    cr_assert(say_demand(OTHER, 2, RIVAL, 1));
    for (int i = 0; i < 2; i++) {
        held[i] = (msg_lease){.lease = host.logs[0].grants[i].lease,
                              .endpoint = ENDPOINT,
                              .account = ACCOUNT,
                              .is_busy = true,
                              .priority = CAT_DEFERRABLE};
    }
    for (uint64_t i = 0; i < 5; i++) {
        msg_demand demand = wait_for(ACCOUNT, 5);

        report = make_report(ENTRY, 3 + i, true);
        report.held = held;
        report.held_count = 2;
        report.demands = &demand;
        report.demand_count = 1;
        service.total += 60;
        report.services = &service;
        report.service_count = 1;
        cr_assert(disp_receive_report(&disp, now, &report));
        cr_expect_eq(host.logs[0].recalled_count, i < 1 ? 0 : 1,
                     "report %u: %u", (unsigned)i,
                     host.logs[0].recalled_count);
    }
    disp_finish(&disp);
}

/* A recalled slot counts with the mean cost of what it will run. */
Test(dispatcher_protocol, recalls_stop_when_the_lag_is_made_up)
{
    msg_lease held[2];
    msg_service service = {.account = ACCOUNT, .total = 120, .since = 120};
    msg_demand demand = wait_for(ACCOUNT, 5);
    msg_message report;

    pool.default_cost = 60;
    start();
    claim_both();
    cr_assert(say_demand(ENTRY, 2, ACCOUNT, 5));
    cr_assert(say_demand(OTHER, 2, RIVAL, 5));
    for (int i = 0; i < 2; i++) {
        held[i] = (msg_lease){.lease = host.logs[0].grants[i].lease,
                              .endpoint = ENDPOINT,
                              .account = ACCOUNT,
                              .is_busy = true,
                              .priority = CAT_DEFERRABLE};
    }
    report = make_report(ENTRY, 3, true);
    report.held = held;
    report.held_count = 2;
    report.demands = &demand;
    report.demand_count = 1;
    report.services = &service;
    report.service_count = 1;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(host.logs[0].recalled_count, 1, "%u recalled",
                 host.logs[0].recalled_count);
    disp_finish(&disp);
}

/* What an entry admits by itself is paid back from the fleet's rate. */
Test(dispatcher_protocol, admission_without_allowance_is_charged)
{
    cat_entry classes[2] = {0};
    msg_demand demand = {.account = RIVAL, .arrivals = 2};
    msg_message report;
    uint32_t allowance[4];

    classes[1].limits.requests_per_second = 5;
    classes[1].limits.burst = 5;
    catalogue.entries = classes;
    catalogue.entry_count = 2;
    accounts[1].first_entry = 1;
    accounts[1].entry_count = 1;
    start();
    claim_both();
    for (uint64_t i = 0; i < 4; i++) {
        report = make_report(ENTRY, 2 + i, true);
        report.demands = &demand;
        report.demand_count = 1;
        cr_assert(disp_receive_report(&disp, now, &report));
        allowance[i] = host.logs[0].allowance - demand.arrivals;
        demand.arrivals = 12;
        now += i == 2 ? 1400 * LV_MILLISECOND : 0;
    }
    cr_expect_eq(allowance[0], 5, "%u: full burst", allowance[0]);
    cr_expect_eq(allowance[1], 0, "%u: five over it", allowance[1]);
    cr_expect_eq(allowance[2], 0);
    cr_expect_eq(allowance[3], 2, "%u after 1.4 s", allowance[3]);
    disp_finish(&disp);
}

/* A sticky lease at one entry does not starve the account elsewhere. */
Test(dispatcher_protocol, slots_move_to_the_oldest_request)
{
    msg_lease held[2];
    msg_service service = {.account = ACCOUNT, .total = 120, .since = 120};
    msg_demand demand = wait_for(ACCOUNT, 5);
    msg_message report;

    start();
    claim_both();
    cr_assert(say_demand(ENTRY, 2, ACCOUNT, 5));
    now += 100;
    cr_assert(say_demand(OTHER, 2, ACCOUNT, 1));
    for (int i = 0; i < 2; i++) {
        held[i] = (msg_lease){.lease = host.logs[0].grants[i].lease,
                              .endpoint = ENDPOINT,
                              .account = ACCOUNT,
                              .is_busy = true,
                              .priority = CAT_DEFERRABLE};
    }
    demand.oldest_age[CAT_DEFERRABLE] = 0;
    report = make_report(ENTRY, 3, true);
    report.held = held;
    report.held_count = 2;
    report.demands = &demand;
    report.demand_count = 1;
    report.services = &service;
    report.service_count = 1;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(host.logs[0].recalled_count, 1);
    report = make_report(ENTRY, 4, false);
    report.released = host.logs[0].recalled;
    report.released_count = 1;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_eq(host.logs[1].count, 1);
    disp_finish(&disp);
}

/* Contention is told at once to those that hold leases for any account. */
Test(dispatcher_protocol, float_lease_comes_back_in_contention)
{
    msg_demand demand = {.account = ACCOUNT, .arrivals = 1};
    msg_message report;

    start();
    claim_both();
    report = make_report(ENTRY, 2, true);
    report.demands = &demand;
    report.demand_count = 1;
    cr_assert(disp_receive_report(&disp, now, &report));
    demand.arrivals = 4;
    report = make_report(ENTRY, 3, true);
    report.demands = &demand;
    report.demand_count = 1;
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_assert_eq(host.logs[0].count, 1);
    cr_expect_eq(host.logs[0].grants[0].account, LV_ID_NONE);
    cr_expect_not(host.logs[0].is_contended);
    cr_assert(say_demand(OTHER, 2, RIVAL, 3));
    cr_expect_eq(host.logs[1].count, 1);
    cr_expect(host.logs[0].is_contended);
    disp_finish(&disp);
}

/* An entry that was forgotten has seen the sequence of its last GRANT. */
Test(dispatcher_protocol, sequence_goes_on_after_an_entry_was_forgotten)
{
    static const lv_id without[] = {OTHER};
    static const lv_id with[] = {ENTRY, OTHER};
    msg_message report;
    uint64_t sequence;

    start();
    claim_both();
    cr_assert(say_demand(ENTRY, 2, ACCOUNT, 1));
    disp_set_members(&disp, now, without, 1, 1000);
    now += 120 * LV_SECOND;
    disp_tick(&disp, now);
    cr_assert_eq(map_find(&disp.entry_map, ENTRY), LV_HANDLE_NONE);
    disp_set_members(&disp, now, with, 2, 1000);
    sequence = host.logs[0].sequence;
    report = make_report(ENTRY, 3, true);
    cr_assert(disp_receive_report(&disp, now, &report));
    cr_expect_gt(host.logs[0].sequence, sequence);
    disp_finish(&disp);
}

Test(dispatcher_protocol, forgets_idle_accounts)
{
    disp_counts counts;
    msg_message report;

    start();
    claim_both();
    cr_assert(say_demand(ENTRY, 2, ACCOUNT, 1));
    cr_assert(say_demand(ENTRY, 3, ACCOUNT, 0));
    report = make_report(ENTRY, 4, true);
    cr_assert(disp_receive_report(&disp, now, &report));
    disp_read_counts(&disp, &counts);
    cr_expect_eq(counts.active_accounts, 0);
    cr_expect_neq(map_find(&disp.account_map, ACCOUNT), LV_HANDLE_NONE);
    now += 120 * LV_SECOND;
    disp_tick(&disp, now);
    cr_expect_eq(map_find(&disp.account_map, ACCOUNT), LV_HANDLE_NONE);
    cr_expect_eq(disp.demand_map.count, 0);
    cr_assert(say_demand(OTHER, 2, ACCOUNT, 0));
    disp_finish(&disp);
}

typedef struct settings_case {
    disp_settings settings;
    err_kind kind;
} settings_case;

Test(dispatcher_protocol, refuses_impossible_settings)
{
    static const settings_case cases[] = {
        {{0, 0, 1000, 0}, ERR_BAD_VALUE},
        {{1000, 0, 0, 0}, ERR_BAD_VALUE},
        {{1000, 0, 600, 0}, ERR_CONFLICT},
    };

    memset(&host, 0, sizeof host);
    host.base.ops = &host_ops;
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        err_error error;

        cr_expect_not(disp_init(&disp, &host.base, &cases[i].settings, SELF,
                                POOL, 0, 1, 0, &error));
        cr_expect_eq(error.kind, cases[i].kind);
        cr_expect_gt(strlen(error.remedy), 0);
    }
}
