/*
 * Cost of the entry: run under callgrind to count instructions per request
 * and per report; prints bytes per account, request, lease and ticket.
 *
 *     bench-entry ACCOUNTS fair|leases|memory
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lavender/entry.h"
#include "texts.h"

#define REQUESTS 20000u
#define REPORTS 20u
#define PER_PART 2000u
#define PARTS 32u
#define LEASES 16u
#define MANY_LEASES 4096u
#define STARTED (LEASES * 2)
#define TICKETS 10000u
#define TICKET_BOUND 20000u

typedef struct bench {
    lv_host host;
    entry_state entry;
    ledger_store ledger;
    cat_catalogue catalogue;
    lists_snapshot lists;
    lv_time now;
    lv_time full_sent;
    lv_attempt started[STARTED];
    uint32_t started_count;
    uint64_t reports;
    uint32_t next_account;
    uint32_t backlogged;
} bench;

static bench bed;

static void
note_report(lv_host *host, lv_id to, const msg_message *message)
{
    (void)host;
    (void)to;
    bed.reports++;
    if (message->is_full) {
        bed.full_sent = message->sent;
    }
}

static void
note_attempt(lv_host *host, const lv_attempt *attempt)
{
    (void)host;
    bed.started[bed.started_count++ % STARTED] = *attempt;
}

static void
drop_cancel(lv_host *host, lv_handle request, uint32_t number)
{
    (void)host;
    (void)request;
    (void)number;
}

static void
drop_finish(lv_host *host, lv_handle request, const out_outcome *outcome)
{
    (void)host;
    (void)request;
    (void)outcome;
}

static void
drop_decision(lv_host *host, const lv_decision *decision)
{
    (void)host;
    (void)decision;
}

static const lv_host_ops ops = {
    .send = note_report,
    .start_attempt = note_attempt,
    .cancel_attempt = drop_cancel,
    .finish_request = drop_finish,
    .log_decision = drop_decision,
};

static void
stop_with(const char *what)
{
    fprintf(stderr, "bench-entry: %s\n", what);
    exit(1);
}

static void
make_views(uint32_t accounts)
{
    static text_buffer texts[PARTS];
    cat_part parts[PARTS];
    text_buffer list = {0};
    err_list errors;
    size_t count = text_make_catalogue(texts, PARTS, 1, accounts, PER_PART);

    for (size_t i = 0; i < count; i++) {
        parts[i] = (cat_part){"part", texts[i].text, texts[i].size};
    }
    if (!cat_init(&bed.catalogue, parts, count, &errors)) {
        stop_with(errors.items[0].error.message);
    }
    text_make_lists(&list, 1, 1, 1, 2);
    if (!lists_init(&bed.lists, "lists", list.text, list.size, &errors)) {
        stop_with(errors.items[0].error.message);
    }
    for (size_t i = 0; i < count; i++) {
        text_finish(&texts[i]);
    }
    text_finish(&list);
}

static void
submit(uint32_t account)
{
    entry_request request = {
        .account = bed.catalogue.accounts[account].id,
        .class_name = "drafts",
        .route = 0,
        .model = 0,
        .input_units = 100,
    };
    out_outcome refusal;
    lv_handle handle;

    if (!entry_submit(&bed.entry, bed.now, &request, &handle, &refusal)) {
        stop_with(out_reason_name(refusal.reason));
    }
}

static void
start(uint32_t accounts, entry_mode mode)
{
    entry_settings settings;
    err_error error;

    bed.host.ops = &ops;
    bed.now = 100 * LV_SECOND;
    make_views(accounts);
    entry_default_settings(&settings);
    settings.mode = mode;
    settings.max_requests = 500000;
    if (!ledger_init(&bed.ledger, 2 * accounts, &error) ||
        !entry_init(&bed.entry, &bed.host, &settings, &bed.ledger, 1, 1,
                    bed.now, &error)) {
        stop_with(error.message);
    }
    entry_set_views(&bed.entry, bed.now, &bed.catalogue, &bed.lists);
    entry_set_dispatcher(&bed.entry, bed.now, lv_hash_name("shared"), 0, 2);
}

static void
grant(uint32_t first, uint32_t count, bool is_contended)
{
    msg_grant grants[LEASES];
    msg_message message = {.kind = MSG_GRANT,
                           .sender = 2,
                           .incarnation = 1,
                           .sequence = first + 1,
                           .pool = lv_hash_name("shared"),
                           .echo = bed.full_sent,
                           .ttl = 3600 * LV_SECOND,
                           .is_contended = is_contended,
                           .grants = grants,
                           .grant_count = count};

    for (uint32_t i = 0; i < count; i++) {
        grants[i] = (msg_grant){
            first + i + 1, bed.lists.endpoints[i % 2].id,
            bed.catalogue.accounts[i % bed.catalogue.account_count].id};
    }
    if (!entry_receive_grant(&bed.entry, bed.now, &message)) {
        stop_with("a grant was dropped");
    }
}

/* One request from its submission to its end, with its progress. */
static void
run_one(uint32_t index)
{
    lv_attempt attempt = bed.started[index % STARTED];

    bed.now += 100;
    if (!entry_may_send(&bed.entry, bed.now, attempt.request,
                        attempt.number)) {
        stop_with("a request may not be sent");
    }
    entry_update_progress(&bed.entry, bed.now, attempt.request, attempt.number,
                          50, 1000);
    entry_end_attempt(&bed.entry, bed.now, attempt.request, attempt.number,
                      ENTRY_RESULT_DONE, 100, 100 + index % 50);
}

/* callgrind collects in these two only. */
void run_requests(entry_mode mode);
void run_reports(void);

void
run_requests(entry_mode mode)
{
    for (uint32_t i = 0; i < REQUESTS; i++) {
        uint32_t account = mode == ENTRY_MODE_LEASES
                               ? i % LEASES % bed.catalogue.account_count
                               : bed.next_account++ % bed.backlogged;

        submit(account);
        run_one(i);
    }
}

void
run_reports(void)
{
    for (uint32_t i = 0; i < REPORTS; i++) {
        bed.now += 100 * LV_MILLISECOND;
        entry_tick(&bed.entry, bed.now);
    }
}

/* A tenth of the accounts have a request waiting, at least 16. */
static void
fill(uint32_t accounts)
{
    bed.backlogged = accounts / 10 > LEASES ? accounts / 10 : LEASES;
    for (uint32_t i = 0; i < bed.backlogged; i++) {
        submit(i % accounts);
    }
    for (uint32_t i = 0; i < LEASES; i++) {
        submit(i % accounts);
    }
}

static size_t
memory(void)
{
    entry_counts counts;

    entry_read_counts(&bed.entry, &counts);
    return counts.memory;
}

static size_t
ticket_memory(const tkt_store *store)
{
    return store->settings.max_tickets * sizeof *store->records +
           (store->record_by_serial.capacity +
            store->account_counts.capacity) *
               sizeof(map_bucket);
}

static void
measure_tickets(void)
{
    tkt_settings settings = {.lifetime = LV_SECOND,
                             .max_tickets = TICKET_BOUND};
    char text[TKT_TEXT_SIZE];
    tkt_store store;
    err_error error;

    if (!tkt_init(&store, &settings, 1, 1, &error)) {
        stop_with(error.message);
    }
    for (uint32_t i = 0; i < TICKETS; i++) {
        if (!tkt_mint(&store, 0, i % 100 + 1, text, &error)) {
            stop_with(error.message);
        }
    }
    printf("tickets %u bytes %zu per ticket of the bound %zu\n", TICKETS,
           ticket_memory(&store), ticket_memory(&store) / TICKET_BOUND);
    tkt_finish(&store);
}

static void
measure_memory(uint32_t accounts)
{
    size_t empty = memory();
    size_t one_each;
    size_t ten_each;
    size_t further = (size_t)accounts * 9;

    for (uint32_t i = 0; i < accounts; i++) {
        submit(i);
    }
    one_each = memory();
    for (uint32_t i = 0; i < further; i++) {
        submit(i % accounts);
    }
    ten_each = memory();
    printf("accounts %u empty %zu one request each %zu ten each %zu: "
           "per further request %zu, per account without it %zu\n",
           accounts, empty, one_each, ten_each,
           (ten_each - one_each) / further,
           (one_each - empty) / accounts - (ten_each - one_each) / further);
    for (uint32_t i = 0; i < MANY_LEASES / LEASES; i++) {
        grant(i * LEASES, LEASES, false);
    }
    printf("leases %u: per lease %zu\n", MANY_LEASES,
           (memory() - ten_each) / MANY_LEASES);
    measure_tickets();
}

int
main(int argc, char **argv)
{
    uint32_t accounts = argc == 3 ? (uint32_t)strtoul(argv[1], NULL, 10) : 0;
    bool is_fair = argc == 3 && strcmp(argv[2], "fair") == 0;
    bool is_memory = argc == 3 && strcmp(argv[2], "memory") == 0;
    entry_mode mode = is_fair ? ENTRY_MODE_LOCAL_FAIR : ENTRY_MODE_LEASES;

    if (accounts == 0 || accounts > PER_PART * (PARTS - 1)) {
        stop_with("say bench-entry ACCOUNTS fair|leases|memory");
    }
    start(accounts, mode);
    if (is_memory) {
        measure_memory(accounts);
    }
    else {
        fill(accounts);
        if (!is_fair) {
            grant(0, LEASES, true);
        }
        run_requests(mode);
        run_reports();
        printf("requests %u, reports %u\n", REQUESTS, REPORTS);
    }
    entry_finish(&bed.entry);
    ledger_finish(&bed.ledger);
    cat_finish(&bed.catalogue);
    lists_finish(&bed.lists);
    return 0;
}
