/*
 * Real entries and a real dispatcher on virtual time: messages go through
 * the codec with a delay, attempts run at endpoints that count them.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry-world.h"
#include "lavender/dispatcher.h"
#include "texts.h"

#define ENTRIES 7
#define ACCOUNTS 4
#define MESSAGES_MAX 4096
#define RUNS_MAX 1024
#define LATENCY LV_MILLISECOND
#define ENDPOINTS_MAX 16
#define SLOTS 2

typedef struct letter {
    lv_time due;
    uint32_t to; /* entry, or ENTRIES: the dispatcher */
    char *bytes;
    size_t size;
} letter;

typedef struct run {
    lv_time due;
    uint32_t entry;
    lv_handle request;
    uint32_t number;
    uint32_t endpoint;
    uint32_t account;
    lv_time began;
} run;

typedef struct joint_host {
    lv_host base;
    uint32_t number;
} joint_host;

typedef struct joint_case {
    char name[40];
    uint64_t seed;
    uint32_t endpoints;
    uint32_t backlog[ACCOUNTS]; /* kept waiting or running in all */
    uint32_t spread[ACCOUNTS];  /* entries that it uses */
    uint32_t least_ms;
    uint32_t most_ms;
    uint32_t quantum; /* slot-milliseconds */
    uint32_t rate;    /* of the first account, per second; 0: no limit */
    uint32_t burst;
} joint_case;

typedef struct joint {
    const joint_case *with;
    lv_time now;
    uint64_t random;
    joint_host hosts[ENTRIES + 1];
    entry_state entries[ENTRIES];
    disp_dispatcher dispatcher;
    cat_catalogue catalogue;
    lists_snapshot lists;
    msg_buffer buffer;
    letter letters[MESSAGES_MAX];
    uint32_t letter_count;
    uint64_t sent[ENTRIES + 1];
    uint64_t sent_bytes[ENTRIES + 1];
    run runs[RUNS_MAX];
    uint32_t run_count;
    uint32_t running_at[ENDPOINTS_MAX];
    uint32_t open[ACCOUNTS][ENTRIES];
    uint64_t next_number;
    lv_time service[ACCOUNTS];
    lv_time busy;
    uint32_t finished;
    uint32_t routed; /* account of the last routing decision */
} joint;

static joint world;

static const char *const account_names[ACCOUNTS] = {"a0", "a1", "a2", "a3"};

static void
joint_send(lv_host *host, lv_id to, const msg_message *message)
{
    const joint_host *from = (const joint_host *)host;
    letter *at = &world.letters[world.letter_count++];
    err_error error;

    ew_check(world.letter_count < MESSAGES_MAX, "too many messages");
    at->due = world.now + LATENCY;
    at->to = from->number == ENTRIES ? (uint32_t)(to - 1) : ENTRIES;
    ew_check(msg_encode(message, &at->bytes, &at->size, &error),
             error.message);
    world.sent[from->number]++;
    world.sent_bytes[from->number] += at->size;
}

static uint32_t
endpoint_of(lv_id id)
{
    for (uint32_t i = 0; i < world.lists.endpoint_count; i++) {
        if (world.lists.endpoints[i].id == id) {
            return i;
        }
    }
    return 0;
}

static void
joint_start(lv_host *host, const lv_attempt *attempt)
{
    const joint_host *from = (const joint_host *)host;
    uint64_t width = world.with->most_ms - world.with->least_ms + 1;
    run *at = &world.runs[world.run_count++];

    ew_check(world.run_count < RUNS_MAX, "too many attempts");
    *at = (run){
        .due = world.now +
               (world.with->least_ms + text_random(&world.random) % width) *
                   LV_MILLISECOND,
        .entry = from->number,
        .request = attempt->request,
        .number = attempt->number,
        .endpoint = endpoint_of(attempt->endpoint),
        .account = world.routed,
        .began = world.now,
    };
    world.running_at[at->endpoint]++;
    ew_check(world.running_at[at->endpoint] <= SLOTS,
             "an endpoint has more than its slots");
}

static void
joint_cancel(lv_host *host, lv_handle request, uint32_t number)
{
    (void)host;
    (void)request;
    (void)number;
}

static void
joint_finish(lv_host *host, lv_handle request, const out_outcome *outcome)
{
    (void)host;
    (void)request;
    ew_check(outcome->kind == OUT_DONE, out_reason_name(outcome->reason));
    world.finished++;
}

/* A log line before each attempt names its account. */
static void
joint_log(lv_host *host, const lv_decision *decision)
{
    (void)host;
    ew_check(decision->reason != NULL, "a decision without a reason");
    ew_check(decision->kind != LV_DECIDE_ROUTE || decision->account != NULL,
             "a route without an account");
    if (decision->kind == LV_DECIDE_ROUTE && decision->account != NULL) {
        world.routed = (uint32_t)(decision->account[1] - '0');
    }
}

static const lv_host_ops ops = {
    .send = joint_send,
    .start_attempt = joint_start,
    .cancel_attempt = joint_cancel,
    .finish_request = joint_finish,
    .log_decision = joint_log,
};

static void
make_views(const joint_case *with)
{
    text_buffer text = {0};
    err_list errors;
    cat_part part = {"catalogue", NULL, 0};

    TEXT_ADD(&text,
             "[catalogue]\nrevision = 1\n[pool svc]\nkind = service\n"
             "slots = %d\nquantum = %u\nhold = 5ms\ndefault_cost = 100\n"
             "[route /look]\npool = svc\nidempotent = yes\n",
             SLOTS, with->quantum);
    for (int i = 0; i < ACCOUNTS; i++) {
        TEXT_ADD(&text,
                 "[account %s]\nweight = 1\nkey_digest = %064x\n"
                 "[entry %s/work]\npriority = deferrable\ndeadline = 10m\n",
                 account_names[i], (unsigned)i + 1, account_names[i]);
        if (i == 0 && with->rate > 0) {
            TEXT_ADD(&text, "requests_per_second = %u\nburst = %u\n",
                     with->rate, with->burst);
        }
    }
    part.text = text.text;
    part.size = text.size;
    ew_check(cat_init(&world.catalogue, &part, 1, &errors),
             errors.items[0].error.message);
    text_finish(&text);
    TEXT_ADD(&text, "[list]\nrevision = 1\n[zone z1]\nregion = perth\n");
    for (uint32_t i = 0; i < with->endpoints; i++) {
        TEXT_ADD(&text,
                 "[endpoint s%u]\npool = svc\nzone = z1\n"
                 "address = 127.0.0.1:%u\n",
                 i, 7300 + i);
    }
    ew_check(lists_init(&world.lists, "lists", text.text, text.size, &errors),
             errors.items[0].error.message);
    text_finish(&text);
}

/* Instances have the ids 1 .. ENTRIES; the first one dispatches. */
static void
start(const joint_case *with)
{
    disp_settings settings = {.lease_ttl = LV_SECOND,
                              .lease_margin = 100 * LV_MILLISECOND,
                              .report_interval = 100 * LV_MILLISECOND,
                              .settle_timeout = 300 * LV_MILLISECOND};
    lv_id ids[ENTRIES];
    entry_settings usual;
    err_error error;

    memset(&world, 0, sizeof world);
    world.with = with;
    world.now = 100 * LV_SECOND;
    world.random = with->seed;
    msg_buffer_init(&world.buffer);
    make_views(with);
    entry_default_settings(&usual);
    for (uint32_t i = 0; i <= ENTRIES; i++) {
        world.hosts[i] = (joint_host){{&ops}, i};
    }
    for (uint32_t i = 0; i < ENTRIES; i++) {
        ids[i] = i + 1;
    }
    ew_check(disp_init(&world.dispatcher, &world.hosts[ENTRIES].base,
                       &settings, 1, lv_hash_name("svc"), 0, 1, world.now,
                       &error),
             "refused");
    disp_set_documents(&world.dispatcher, world.now, &world.catalogue,
                       &world.lists);
    disp_set_members(&world.dispatcher, world.now, ids, ENTRIES, 1000);
    for (uint32_t i = 0; i < ENTRIES; i++) {
        ew_check(entry_init(&world.entries[i], &world.hosts[i].base, &usual,
                            NULL, i + 1, 1, world.now, &error),
                 "refused");
        entry_set_views(&world.entries[i], world.now, &world.catalogue,
                        &world.lists);
        entry_set_live_instances(&world.entries[i], world.now, ids, ENTRIES);
        entry_set_dispatcher(&world.entries[i], world.now, lv_hash_name("svc"),
                             0, 1);
    }
}

static void
stop(void)
{
    for (uint32_t i = 0; i < world.letter_count; i++) {
        free(world.letters[i].bytes);
    }
    for (uint32_t i = 0; i < ENTRIES; i++) {
        entry_finish(&world.entries[i]);
    }
    disp_finish(&world.dispatcher);
    cat_finish(&world.catalogue);
    lists_finish(&world.lists);
    msg_buffer_finish(&world.buffer);
}

static void
submit(uint32_t account, uint32_t entry)
{
    entry_request request = {
        .account = lv_hash_name(account_names[account]),
        .route = cat_find_route(&world.catalogue, "/look", 5),
        .model = LV_HANDLE_NONE,
        .number = ++world.next_number,
    };
    out_outcome refusal;
    lv_handle handle;

    ew_check(entry_submit(&world.entries[entry], world.now, &request, &handle,
                          &refusal),
             out_reason_name(refusal.reason));
    world.open[account][entry]++;
}

/* Keep each account's backlog at the entries that it uses. */
static void
fill(void)
{
    for (uint32_t i = 0; i < ACCOUNTS; i++) {
        for (uint32_t j = 0; j < world.with->spread[i]; j++) {
            uint32_t entry = (i * 2 + j) % ENTRIES;

            while (world.open[i][entry] < world.with->backlog[i]) {
                submit(i, entry);
            }
        }
    }
}

static void
end_run(uint32_t index)
{
    run at = world.runs[index];
    uint32_t account = at.account;

    world.runs[index] = world.runs[--world.run_count];
    world.running_at[at.endpoint]--;
    world.service[account] += world.now - at.began;
    world.busy += world.now - at.began;
    world.open[account][at.entry] -= world.open[account][at.entry] > 0;
    ew_check(entry_may_send(&world.entries[at.entry], at.began, at.request,
                            at.number),
             "refused");
    entry_end_attempt(&world.entries[at.entry], world.now, at.request,
                      at.number, ENTRY_RESULT_DONE, 0, 0);
}

static void
deliver(uint32_t index)
{
    letter at = world.letters[index];
    msg_message message;
    err_error error;

    memmove(&world.letters[index], &world.letters[index + 1],
            (--world.letter_count - index) * sizeof *world.letters);
    ew_check(msg_decode(at.bytes, at.size, &message, &world.buffer, &error),
             error.message);
    if (at.to == ENTRIES) {
        ew_check(disp_receive_report(&world.dispatcher, world.now, &message),
                 "refused");
    }
    else {
        ew_check(
            entry_receive_grant(&world.entries[at.to], world.now, &message),
            "refused");
    }
    free(at.bytes);
}

static lv_time
least(lv_time a, lv_time b)
{
    return a < b ? a : b;
}

static void
step(lv_time end)
{
    lv_time next = least(end, disp_next_tick(&world.dispatcher));

    for (uint32_t i = 0; i < ENTRIES; i++) {
        next = least(next, entry_next_tick(&world.entries[i]));
    }
    for (uint32_t i = 0; i < world.letter_count; i++) {
        next = least(next, world.letters[i].due);
    }
    for (uint32_t i = 0; i < world.run_count; i++) {
        next = least(next, world.runs[i].due);
    }
    world.now = next > world.now ? next : world.now + 1;
    for (uint32_t i = 0; i < world.letter_count;) {
        if (world.letters[i].due <= world.now) {
            deliver(i);
        }
        else {
            i++;
        }
    }
    for (uint32_t i = 0; i < world.run_count;) {
        if (world.runs[i].due <= world.now) {
            end_run(i);
        }
        else {
            i++;
        }
    }
    fill();
    for (uint32_t i = 0; i < ENTRIES; i++) {
        entry_tick(&world.entries[i], world.now);
    }
    disp_tick(&world.dispatcher, world.now);
}

static void
run_for(lv_time length)
{
    lv_time end = world.now + length;

    while (world.now < end) {
        step(end);
    }
}

static joint_case joint_cases[] = {
    {"every account everywhere",
     1,
     10,
     {4, 4, 4, 4},
     {7, 7, 7, 7},
     50,
     350,
     200,
     0,
     0},
    {"one large neighbour",
     2,
     10,
     {200, 6, 6, 6},
     {7, 2, 2, 2},
     50,
     350,
     200,
     0,
     0},
    {"one entry each",
     3,
     5,
     {20, 20, 20, 20},
     {1, 1, 1, 1},
     50,
     350,
     200,
     0,
     0},
    {"short requests",
     4,
     5,
     {10, 10, 10, 10},
     {3, 3, 3, 3},
     5,
     20,
     1000,
     0,
     0},
};

ParameterizedTestParameters(entry_joint, shares_and_use)
{
    return cr_make_param_array(joint_case, joint_cases,
                               sizeof joint_cases / sizeof joint_cases[0]);
}

/* One line for the reader; the assertions follow. */
static void
print_traffic(const joint_case *with, lv_time gap, lv_time mean,
              lv_time length)
{
    double seconds = (double)length / LV_SECOND;
    double slots = (double)with->endpoints * SLOTS;
    double reports = 0;
    double bytes = 0;
    uint64_t full = 0;
    uint64_t shorter = 0;
    disp_counts counts;

    for (int i = 0; i < ENTRIES; i++) {
        entry_counts own;

        entry_read_counts(&world.entries[i], &own);
        full += own.reports_full;
        shorter += own.reports_short;
        reports += (double)world.sent[i] / ENTRIES;
        bytes += (double)world.sent_bytes[i] / ENTRIES;
    }
    disp_read_counts(&world.dispatcher, &counts);
    fprintf(stderr,
            "%s: gap %.2f%%, use %.2f%%; an entry %.0f reports/s, %.0f B/s; "
            "the dispatcher %.0f grants/s, %.0f B/s; full %lu short %lu "
            "grants %lu recalls %lu\n",
            with->name, 100.0 * (double)gap / (double)mean,
            100.0 * (double)world.busy / (double)length / slots,
            reports / seconds, bytes / seconds,
            (double)world.sent[ENTRIES] / seconds,
            (double)world.sent_bytes[ENTRIES] / seconds, full, shorter,
            counts.grants, counts.recalls);
}

ParameterizedTest(joint_case *with, entry_joint, shares_and_use)
{
    lv_time length = 20 * LV_SECOND;
    lv_time least_service = LV_TIME_NEVER;
    lv_time most_service = 0;
    lv_time mean = 0;
    lv_time slot_time = (lv_time)with->endpoints * SLOTS * length;

    start(with);
    run_for(2 * LV_SECOND);
    memset(world.service, 0, sizeof world.service);
    memset(world.sent, 0, sizeof world.sent);
    memset(world.sent_bytes, 0, sizeof world.sent_bytes);
    world.busy = 0;
    run_for(length);
    for (int i = 0; i < ACCOUNTS; i++) {
        least_service = least(least_service, world.service[i]);
        most_service =
            world.service[i] > most_service ? world.service[i] : most_service;
        mean += world.service[i] / ACCOUNTS;
    }
    print_traffic(with, most_service - least_service, mean, length);
    cr_assert_leq((most_service - least_service) * 20, mean,
                  "the gap is over 5%% of the mean service");
    cr_assert_geq(world.busy * 100, slot_time * 98,
                  "slots are busy for less than 98%% of the time");
    stop();
}

typedef struct rate_case {
    joint_case joint;
    uint32_t entries;  /* where the requests come in, in turn */
    uint32_t interval; /* milliseconds between two */
} rate_case;

static rate_case rate_cases[] = {
    {{.name = "at all routers",
      .seed = 5,
      .endpoints = 5,
      .least_ms = 5,
      .most_ms = 20,
      .quantum = 200,
      .rate = 50,
      .burst = 20},
     ENTRIES,
     4},
    {{.name = "at one router",
      .seed = 6,
      .endpoints = 5,
      .least_ms = 5,
      .most_ms = 20,
      .quantum = 200,
      .rate = 50,
      .burst = 20},
     1,
     4},
    {{.name = "less than a request for each router",
      .seed = 7,
      .endpoints = 5,
      .least_ms = 5,
      .most_ms = 20,
      .quantum = 200,
      .rate = 5,
      .burst = 2},
     ENTRIES,
     10},
};

ParameterizedTestParameters(entry_joint, rate_holds_and_is_used)
{
    return cr_make_param_array(rate_case, rate_cases,
                               sizeof rate_cases / sizeof rate_cases[0]);
}

/* Offer a request; true when it was admitted. */
static bool
offer(uint32_t entry)
{
    entry_request request = {
        .account = lv_hash_name(account_names[0]),
        .route = cat_find_route(&world.catalogue, "/look", 5),
        .model = LV_HANDLE_NONE,
        .number = ++world.next_number,
    };
    out_outcome refusal;
    lv_handle handle;

    if (entry_submit(&world.entries[entry], world.now, &request, &handle,
                     &refusal)) {
        return true;
    }
    ew_check(refusal.reason == OUT_REASON_RATE,
             out_reason_name(refusal.reason));
    return false;
}

ParameterizedTest(rate_case *with, entry_joint, rate_holds_and_is_used)
{
    uint32_t seconds = 20;
    uint32_t admitted = 0;
    uint32_t turn = 0;
    lv_time begin;

    start(&with->joint);
    begin = world.now + 5 * LV_SECOND;
    while (world.now < begin + seconds * LV_SECOND) {
        bool was_admitted = offer(turn++ % with->entries);

        admitted += was_admitted && world.now >= begin;
        run_for(with->interval * LV_MILLISECOND);
    }
    printf("%s: %u admitted, at most %u\n", with->joint.name, admitted,
           with->joint.rate * seconds + with->joint.burst);
    cr_expect_leq(admitted, with->joint.rate * seconds + with->joint.burst);
    cr_expect_geq(admitted * 100, with->joint.rate * seconds * 95);
    stop();
}
