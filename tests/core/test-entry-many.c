/*
 * More accounts than one message holds: all demand is told all the same,
 * and memory grows evenly.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry-world.h"
#include "texts.h"

#define ACCOUNTS 10000
#define PER_PART 2000
#define PARTS 8

static lv_host host;
static entry_state entry;
static cat_catalogue catalogue;
static lists_snapshot lists;
static lv_time now = 10 * LV_SECOND;
static uint32_t told;
static bool is_full_seen;
static lv_time last_full;

static void
note_report(lv_host *unused, lv_id to, const msg_message *message)
{
    (void)unused;
    (void)to;
    if (message->is_full) {
        told = 0;
        is_full_seen = true;
        last_full = message->sent;
    }
    for (uint32_t i = 0; i < message->demand_count; i++) {
        told += message->demands[i].waiting[CAT_DEFERRABLE];
    }
}

static void
drop_attempt(lv_host *unused, const lv_attempt *attempt)
{
    (void)unused;
    (void)attempt;
}

static void
drop_finish(lv_host *unused, lv_handle request, const out_outcome *outcome)
{
    (void)unused;
    (void)request;
    (void)outcome;
}

static void
drop_decision(lv_host *unused, const lv_decision *decision)
{
    (void)unused;
    (void)decision;
}

static const lv_host_ops ops = {
    .send = note_report,
    .start_attempt = drop_attempt,
    .finish_request = drop_finish,
    .log_decision = drop_decision,
};

static void
make_views(void)
{
    text_buffer texts[PARTS];
    text_buffer list = {0};
    cat_part parts[PARTS];
    err_list errors;
    size_t count;

    memset(texts, 0, sizeof texts);
    count = text_make_catalogue(texts, PARTS, 1, ACCOUNTS, PER_PART);
    for (size_t i = 0; i < count; i++) {
        parts[i] = (cat_part){"part", texts[i].text, texts[i].size};
    }
    ew_check(cat_init(&catalogue, parts, count, &errors), "bad catalogue");
    text_make_lists(&list, 1, 1, 1, 4);
    ew_check(lists_init(&lists, "lists", list.text, list.size, &errors),
             "bad lists");
    for (size_t i = 0; i < count; i++) {
        text_finish(&texts[i]);
    }
    text_finish(&list);
}

/* Answer the claim. */
static void
answer(void)
{
    msg_message message = {.kind = MSG_GRANT,
                           .sender = 2,
                           .incarnation = 1,
                           .sequence = 1,
                           .pool = lv_hash_name("shared"),
                           .echo = last_full,
                           .ttl = LV_SECOND};

    cr_assert(entry_receive_grant(&entry, now, &message));
}

static void
submit(uint32_t account)
{
    entry_request request = {
        .account = catalogue.accounts[account].id,
        .class_name = "drafts",
        .route = 0,
        .model = 0,
        .number = account,
    };
    out_outcome refusal;
    lv_handle handle;

    cr_assert(entry_submit(&entry, now, &request, &handle, &refusal), "%s",
              out_reason_name(refusal.reason));
}

static void
run(lv_time length)
{
    lv_time end = now + length;

    while (entry_next_tick(&entry) <= end) {
        lv_time next = entry_next_tick(&entry);

        now = next > now ? next : now + 1;
        entry_tick(&entry, now);
    }
    now = end;
}

Test(entry_many, all_demand_is_told)
{
    entry_settings settings;
    err_error error;

    host.ops = &ops;
    make_views();
    entry_default_settings(&settings);
    cr_assert(entry_init(&entry, &host, &settings, NULL, 1, 1, now, &error));
    entry_set_views(&entry, now, &catalogue, &lists);
    entry_set_dispatcher(&entry, now, lv_hash_name("shared"), 0, 2);
    run(LV_SECOND);
    for (uint32_t i = 0; i < ACCOUNTS; i++) {
        submit(i);
    }
    run(50 * LV_MILLISECOND);
    cr_assert_eq(told, ACCOUNTS, "short reports told %u", told);
    for (int round = 0; round < 5; round++) {
        is_full_seen = false;
        while (!is_full_seen) {
            run(LV_MILLISECOND);
        }
        run(20 * LV_MILLISECOND);
        cr_assert_eq(told, ACCOUNTS, "full and short reports told %u", told);
        if (round == 1) {
            answer();
        }
    }
    entry_finish(&entry);
    cat_finish(&catalogue);
    lists_finish(&lists);
}
