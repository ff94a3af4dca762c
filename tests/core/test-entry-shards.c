/*
 * Several shards of one pool, and the baselines without dispatchers.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "entry-world.h"
#include "lavender/hash.h"
#include "texts.h"

#define SHARDS 4

#define SHARDED_CATALOGUE(limits)                                             \
    "[catalogue]\nrevision = 2\n"                                             \
    "[pool eng]\nkind = engine\nslots = 2\ninput_weight = 1\n"                \
    "output_weight = 2\nquantum = 1000\nhold = 5ms\ndefault_cost = 100\n"     \
    "shard_endpoints = 1\n"                                                   \
    "[route /chat]\npool = eng\nidempotent = yes\n"                           \
    "[account a]\nweight = 1\nkey_digest = "                                  \
    "0000000000000000000000000000000000000000000000000000000000000001\n"      \
    "[entry a/drafts]\npriority = deferrable\ndeadline = 1m\n" limits         \
    "[account limited]\nweight = 1\nkey_digest = "                            \
    "0000000000000000000000000000000000000000000000000000000000000004\n"      \
    "[entry limited/work]\npriority = deferrable\ndeadline = 1m\n"            \
    "in_flight = 1\n"

static const char sharded_catalogue[] = SHARDED_CATALOGUE("");
static const char rated_catalogue[] =
    SHARDED_CATALOGUE("requests_per_second = 100\n");

static ew_world world;
static uint32_t told[SHARDS];
static lv_time full_sent[SHARDS];
static uint32_t first_shard_arrivals;

/* Keep what the last report to each shard said. */
static void
note_report(lv_host *host, lv_id to, const msg_message *message)
{
    (void)host;
    (void)to;
    if (message->pool != ew_id("eng")) {
        return;
    }
    cr_assert_lt(message->shard, SHARDS);
    if (message->is_full) {
        told[message->shard] = 0;
        full_sent[message->shard] = message->sent;
    }
    for (uint32_t i = 0; i < message->demand_count; i++) {
        told[message->shard] = message->demands[i].waiting[CAT_DEFERRABLE];
        if (message->shard == 0) {
            first_shard_arrivals = message->demands[i].arrivals;
        }
    }
}

static lv_host_ops ops;

static void
start(void)
{
    char lists[1024] = "[list]\nrevision = 2\n[zone z1]\nregion = perth\n";

    ew_init(&world, NULL);
    ops = *world.host.ops;
    ops.send = note_report;
    world.host.ops = &ops;
    for (int i = 1; i <= SHARDS; i++) {
        size_t used = strlen(lists);

        snprintf(lists + used, sizeof lists - used,
                 "[endpoint e%d]\npool = eng\nzone = z1\n"
                 "address = 127.0.0.1:73%02d\n",
                 i, i);
    }
    ew_set_catalogue(&world, sharded_catalogue);
    ew_set_lists(&world, lists);
    memset(told, 0, sizeof told);
    memset(full_sent, 0, sizeof full_sent);
    for (uint32_t i = 0; i < SHARDS; i++) {
        entry_set_dispatcher(&world.entry, world.now, ew_id("eng"), i,
                             ew_id("r2"));
    }
}

static void
stop(void)
{
    ew_finish_world(&world);
}

TestSuite(shards, .init = start, .fini = stop);

static void
answer(uint32_t shard, bool is_contended, const msg_grant *grant)
{
    msg_message message = ew_message(&world, "eng");

    message.shard = shard;
    message.echo = full_sent[shard];
    message.is_contended = is_contended;
    message.grants = grant;
    message.grant_count = grant != NULL;
    entry_receive_grant(&world.entry, world.now, &message);
}

static uint32_t
total_told(void)
{
    uint32_t total = 0;

    for (int i = 0; i < SHARDS; i++) {
        total += told[i];
    }
    return total;
}

static uint32_t
endpoints_of(uint32_t shard)
{
    uint32_t count = 0;

    for (int i = 1; i <= SHARDS; i++) {
        char name[8];

        snprintf(name, sizeof name, "e%d", i);
        count += hrw_shard_of(ew_id(name), SHARDS) == shard;
    }
    return count;
}

/* A shard that has slots. */
static uint32_t
used_shard(void)
{
    uint32_t shard = 0;

    while (endpoints_of(shard) == 0) {
        shard++;
    }
    return shard;
}

Test(shards, demand_is_spread_by_slots_and_told_once)
{
    cr_assert_eq(hrw_shard_count(SHARDS, 1), SHARDS);
    for (int i = 0; i < 20; i++) {
        ew_submit(&world, "a", NULL, "/chat", NULL);
    }
    ew_run(&world, 5 * LV_MILLISECOND);
    for (int i = 0; i < SHARDS; i++) {
        cr_assert_eq(told[i], 5 * endpoints_of((uint32_t)i),
                     "shard %d was told %u", i, told[i]);
    }
}

Test(shards, limited_demand_goes_to_the_accounts_home)
{
    uint32_t slots[SHARDS];
    uint32_t home;

    for (int i = 0; i < SHARDS; i++) {
        slots[i] = endpoints_of((uint32_t)i);
    }
    home = hrw_account_shard(ew_id("limited"), slots, SHARDS);
    cr_assert_gt(slots[home], 0);
    for (int i = 0; i < 6; i++) {
        ew_submit(&world, "limited", NULL, "/chat", NULL);
    }
    ew_run(&world, 5 * LV_MILLISECOND);
    cr_assert_eq(told[home], 6);
    cr_assert_eq(total_told(), 6);
}

Test(shards, demand_goes_where_nobody_waits)
{
    uint32_t calm = used_shard();

    for (uint32_t i = 0; i < SHARDS; i++) {
        answer(i, i != calm, NULL);
    }
    for (int i = 0; i < 8; i++) {
        ew_submit(&world, "a", NULL, "/chat", NULL);
    }
    ew_run(&world, 5 * LV_MILLISECOND);
    cr_assert_eq(told[calm], 8);
    cr_assert_eq(total_told(), 8);
}

Test(shards, demand_of_a_silent_dispatcher_moves_to_the_others)
{
    uint32_t silent = used_shard();

    for (int i = 0; i < 8; i++) {
        ew_submit(&world, "a", NULL, "/chat", NULL);
    }
    for (int i = 0; i < 8; i++) {
        ew_run(&world, 100 * LV_MILLISECOND);
        for (uint32_t shard = 0; shard < SHARDS; shard++) {
            if (shard != silent) {
                answer(shard, true, NULL);
            }
        }
    }
    ew_run(&world, 110 * LV_MILLISECOND);
    cr_assert_eq(told[silent], 0);
    cr_assert_eq(total_told(), 8, "and none is lost");
    ew_submit(&world, "a", NULL, "/chat", NULL);
    ew_run(&world, 110 * LV_MILLISECOND);
    cr_assert_eq(told[silent], 0, "nor does new demand go there");
    answer(silent, false, NULL);
    ew_submit(&world, "a", NULL, "/chat", NULL);
    ew_run(&world, 110 * LV_MILLISECOND);
    cr_assert_eq(told[silent], 1, "it is back");
}

Test(shards, a_lease_of_any_shard_serves_the_oldest_request)
{
    lv_handle first = ew_submit(&world, "a", NULL, "/chat", NULL);

    for (int i = 0; i < 7; i++) {
        ew_submit(&world, "a", NULL, "/chat", NULL);
    }
    for (uint32_t shard = SHARDS; shard > 0; shard--) {
        for (int i = 1; i <= SHARDS; i++) {
            char name[8];
            msg_grant grant = {1, 0, ew_id("a")};

            snprintf(name, sizeof name, "e%d", i);
            grant.endpoint = ew_id(name);
            if (hrw_shard_of(grant.endpoint, SHARDS) == shard - 1) {
                answer(shard - 1, true, &grant);
                break;
            }
        }
    }
    cr_assert_gt(world.attempt_count, 0);
    cr_assert_eq(world.attempts[0].request, first);
    ew_run(&world, 110 * LV_MILLISECOND);
    cr_assert_eq(total_told(), 8 - world.attempt_count);
}

Test(shards, demand_leaves_shards_that_are_no_more)
{
    for (int i = 0; i < 8; i++) {
        ew_submit(&world, "a", NULL, "/chat", NULL);
    }
    ew_set_lists(&world, "[list]\nrevision = 3\n[zone z1]\nregion = perth\n"
                         "[endpoint e1]\npool = eng\nzone = z1\n"
                         "address = 127.0.0.1:7301\n");
    ew_run(&world, 110 * LV_MILLISECOND);
    cr_assert_eq(told[0], 8);
    cr_assert_eq(total_told(), 8);
}

Test(shards, the_first_shard_hears_of_every_account_with_a_rate)
{
    uint32_t before;

    ew_set_catalogue(&world, rated_catalogue);
    ew_run(&world, 110 * LV_MILLISECOND);
    for (uint32_t i = 0; i < SHARDS; i++) {
        answer(i, endpoints_of(i) != 1 || i == 0, NULL);
    }
    before = first_shard_arrivals;
    ew_submit(&world, "a", NULL, "/chat", NULL);
    ew_submit(&world, "a", NULL, "/chat", NULL);
    ew_run(&world, 110 * LV_MILLISECOND);
    cr_assert_eq(told[0], 0, "nothing waits for it");
    cr_assert_eq(first_shard_arrivals, before + 2);
}

/* The baselines: instances r1 .. rN, endpoints of three slots each. */

static void
start_local(ew_world *local, entry_mode mode, const char *self,
            const lv_id *live, uint32_t count)
{
    entry_settings settings;
    err_error error;

    entry_default_settings(&settings);
    settings.mode = mode;
    ew_init(local, &settings);
    entry_finish(&local->entry);
    cr_assert(entry_init(&local->entry, &local->host, &settings,
                         &local->ledger, ew_id(self), 1, local->now, &error));
    entry_set_live_instances(&local->entry, local->now, live, count);
    entry_set_views(&local->entry, local->now, &local->catalogue,
                    &local->lists);
}

TestSuite(baseline);

Test(baseline, the_routers_parts_add_up_to_the_slots)
{
    static const char *const names[] = {"r1", "r2", "r3", "r4",
                                        "r5", "r6", "r7"};
    lv_id live[7];

    for (uint32_t count = 1; count <= 7; count++) {
        uint32_t slots = 0;

        for (uint32_t i = 0; i < count; i++) {
            live[i] = ew_id(names[i]);
        }
        for (uint32_t i = 0; i < count; i++) {
            start_local(&world, ENTRY_MODE_LOCAL_FAIR, names[i], live, count);
            slots += ew_counts(&world).leases;
            ew_finish_world(&world);
        }
        cr_assert_eq(slots, 8, "%u routers take %u slots", count, slots);
    }
}

typedef struct order_case {
    entry_mode mode;
    const char *next; /* account served third */
} order_case;

Test(baseline, least_service_or_arrival_order)
{
    static const order_case cases[] = {{ENTRY_MODE_LOCAL_FAIR, "b"},
                                       {ENTRY_MODE_LOCAL_FIFO, "a"}};
    lv_id live[] = {ew_id("r1")};

    for (size_t i = 0; i < 2; i++) {
        lv_handle handles[6];

        start_local(&world, cases[i].mode, "r1", live, 1);
        for (int j = 0; j < 5; j++) {
            handles[j] = ew_submit(&world, "a", "drafts", "/chat", NULL);
        }
        handles[5] = ew_submit(&world, "b", NULL, "/chat", NULL);
        cr_assert_eq(world.attempt_count, 4, "all slots are its own");
        ew_send_last(&world);
        ew_end_last(&world, ENTRY_RESULT_DONE);
        cr_assert_eq(ew_last_attempt(&world)->request,
                     handles[strcmp(cases[i].next, "b") == 0 ? 5 : 4]);
        cr_assert_eq(world.report_count, 0, "nothing is told");
        ew_finish_world(&world);
    }
}

/* End the oldest attempt that runs. */
static void
end_oldest(uint32_t *oldest)
{
    const lv_attempt *attempt = &world.attempts[(*oldest)++];

    world.now += LV_MILLISECOND;
    entry_may_send(&world.entry, world.now, attempt->request, 1);
    entry_end_attempt(&world.entry, world.now, attempt->request, 1,
                      ENTRY_RESULT_DONE, 10, 50);
}

Test(baseline, an_account_that_was_idle_has_no_credit)
{
    lv_id live[] = {ew_id("r1")};
    lv_handle of_b[40];
    uint32_t oldest = 0;
    uint32_t started_b = 0;

    start_local(&world, ENTRY_MODE_LOCAL_FAIR, "r1", live, 1);
    for (int i = 0; i < 200; i++) {
        ew_submit(&world, "a", "drafts", "/chat", NULL);
    }
    while (oldest < 100) {
        end_oldest(&oldest);
    }
    for (int i = 0; i < 40; i++) {
        of_b[i] = ew_submit(&world, "b", NULL, "/chat", NULL);
    }
    for (int i = 0; i < 30; i++) {
        end_oldest(&oldest);
    }
    for (uint32_t i = 100; i < world.attempt_count; i++) {
        for (int j = 0; j < 40; j++) {
            started_b += world.attempts[i].request == of_b[j];
        }
    }
    cr_assert_geq(started_b, 16, "two thirds by weight, and not %u",
                  started_b);
    cr_assert_leq(started_b, 24, "two thirds by weight, and not %u",
                  started_b);
    ew_finish_world(&world);
}

Test(baseline, slots_follow_the_live_instances_at_request_ends)
{
    lv_id live[] = {ew_id("r1"), ew_id("r2")};

    start_local(&world, ENTRY_MODE_LOCAL_FAIR, "r1", live, 1);
    for (int i = 0; i < 6; i++) {
        ew_submit(&world, "a", "drafts", "/chat", NULL);
    }
    cr_assert_eq(world.attempt_count, 4);
    entry_set_live_instances(&world.entry, world.now, live, 2);
    for (uint32_t i = 0; i < 4; i++) {
        const lv_attempt *attempt = &world.attempts[i];

        entry_may_send(&world.entry, world.now, attempt->request, 1);
        entry_end_attempt(&world.entry, world.now, attempt->request, 1,
                          ENTRY_RESULT_DONE, 0, 0);
    }
    cr_assert_eq(ew_counts(&world).leases, 4,
                 "one slot at each of four endpoints");
    cr_assert_eq(world.attempt_count, 6);
    ew_finish_world(&world);
}
