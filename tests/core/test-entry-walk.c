/*
 * Seeded random walks over all events of an entry, checked against a model
 * of each request: one final outcome, not-run only when nothing was sent,
 * a request that may run once is sent at most once, counts that agree, and
 * everything accepted is finished after a drain.
 */
#include <criterion/criterion.h>
#include <string.h>

#include "entry-imp.h"
#include "entry-world.h"
#include "texts.h"

#define WALKS 1500
#define STEPS 250
#define MODELS 1024
#define INDEX_MASK (MODELS - 1)

typedef struct model {
    lv_handle handle;
    bool is_open;
    bool is_single; /* not idempotent */
    uint32_t sent;
    uint32_t attempt; /* 0: none started */
    bool is_running;
    bool may_write; /* in the attempt that runs */
} model;

static ew_world world;
static model models[MODELS];
static uint64_t state;
static uint64_t seed;
static uint32_t open_count;
static uint32_t attempts_seen;
static uint32_t finishes_seen;
static uint64_t digest;
static bool is_leaving[2];

/* Fail and name the seed. */
static void
check(bool holds, const char *what)
{
    cr_assert(holds, "seed %lu: %s", seed, what);
}

static uint32_t
pick(uint32_t count)
{
    return (uint32_t)(text_random(&state) % count);
}

static model *
model_of(lv_handle handle)
{
    return &models[handle & INDEX_MASK];
}

static void
add_model(lv_handle handle, bool is_single)
{
    model *at = model_of(handle);

    check(!at->is_open, "a handle is used twice");
    *at = (model){.handle = handle, .is_open = true, .is_single = is_single};
    open_count++;
}

/* Take over what the host was asked to do. A request's first attempt may
 * come before its handle is known. */
static void
see_events(void)
{
    for (; attempts_seen < world.attempt_count; attempts_seen++) {
        const lv_attempt *attempt = &world.attempts[attempts_seen];
        model *at = model_of(attempt->request);

        check(at->is_open && at->handle == attempt->request,
              "an attempt for no request");
        check(attempt->number > at->attempt, "an attempt number came again");
        check(!at->is_single || at->sent == 0, "a second run is prepared");
        check(attempt->needs_new_connection == at->is_single,
              "the wrong kind of connection");
        for (int i = 0; i < 2; i++) {
            check(!is_leaving[i] ||
                      attempt->endpoint != ew_id(i ? "e2" : "e1"),
                  "work for a leaving endpoint");
        }
        at->attempt = attempt->number;
        at->is_running = true;
        at->may_write = false;
        digest = digest * 31 + attempt->number + attempt->endpoint;
    }
    for (; finishes_seen < world.finish_count; finishes_seen++) {
        const ew_finish *finish = &world.finishes[finishes_seen];
        model *at = model_of(finish->request);

        check(at->is_open && at->handle == finish->request,
              "a second outcome");
        check(finish->outcome.kind != OUT_NOT_RUN || at->sent == 0,
              "not-run after a byte was sent");
        at->is_open = false;
        at->is_running = false;
        open_count--;
        digest = digest * 31 + finish->outcome.kind + finish->outcome.reason;
    }
}

static void
check_counts(void)
{
    entry_counts counts = ew_counts(&world);
    uint64_t finished = 0;

    for (int i = 0; i <= OUT_UNKNOWN; i++) {
        finished += counts.finished[i];
    }
    check(counts.waiting + counts.running == open_count,
          "waiting and running are not all");
    check(counts.admitted - finished == open_count,
          "admitted and finished do not agree");
    check(counts.leases == counts.idle_leases + counts.running,
          "a lease is neither idle nor running");
    check(entry_is_idle(&world.entry) == (open_count == 0),
          "idle with open requests");
}

/* No lease is idle while a request that may use it waits. */
static void
check_idle_leases(void)
{
    const entry_state *entry = &world.entry;

    for (uint32_t i = 0; i < entry->lease_count; i++) {
        const entry_lease *lease = &entry->leases[i];
        const entry_pool *pool =
            &entry->pools[entry->shards[lease->shard].pool];
        bool is_backing_off =
            entry->endpoints[lease->endpoint].backoff_until > world.now;

        if (!lease->is_idle || is_backing_off ||
            !entry_is_lease_usable(entry, world.now, i)) {
            continue;
        }
        check(lease->flow != NONE
                  ? fq_count_items(&entry->queues, lease->flow) == 0
                  : fq_choose_flow(&entry->queues, pool->queue_group) == NONE,
              "a lease is idle while work waits for it");
    }
}

static void
submit(void)
{
    static const struct {
        const char *account;
        const char *class_name;
    } who[] = {{"a", "drafts"}, {"a", "gate"},   {"a", "hasty"},
               {"b", NULL},     {"rated", NULL}, {"limited", NULL}};
    static const char *const paths[] = {"/chat", "/once", "/look", "/book"};
    uint32_t from = pick(6);
    uint32_t path = pick(4);
    entry_request request = {
        .account = ew_id(who[from].account),
        .class_name = who[from].class_name,
        .route =
            cat_find_route(&world.catalogue, paths[path], strlen(paths[path])),
        .model = LV_HANDLE_NONE,
        .prefix_hash = pick(3),
        .input_units = pick(50),
        .output_hint_units = pick(50),
        .number = world.next_request++,
        .can_resume = pick(2) == 0,
    };
    out_outcome refusal = {0};
    lv_handle handle = LV_HANDLE_NONE;

    if (entry_submit(&world.entry, world.now, &request, &handle, &refusal)) {
        add_model(handle, path % 2 == 1);
    }
    else {
        check(refusal.kind == OUT_NOT_RUN, "a refusal that may have run");
    }
}

/* A random open request with a running attempt; NULL when none is met. */
static model *
pick_running(void)
{
    uint32_t from = pick(MODELS);

    for (uint32_t i = 0; i < MODELS; i++) {
        model *at = &models[(from + i) & INDEX_MASK];

        if (at->is_open && at->is_running) {
            return at;
        }
    }
    return NULL;
}

static void
send(model *at)
{
    if (entry_may_send(&world.entry, world.now, at->handle, at->attempt)) {
        check(at->is_open, "an ended request may send");
        at->sent++;
        at->may_write = true;
        check(!at->is_single || at->sent <= 1, "sent twice");
    }
    else {
        at->is_running = false;
    }
}

static void
end(model *at, entry_result how)
{
    at->is_running = false;
    entry_end_attempt(&world.entry, world.now, at->handle, at->attempt, how,
                      pick(3), pick(60));
}

static void
act_on_running(void)
{
    model *at = pick_running();

    if (at == NULL) {
        return;
    }
    if (!at->may_write) {
        if (pick(5) == 0) {
            end(at,
                pick(2) == 0 ? ENTRY_RESULT_UNCONNECTED : ENTRY_RESULT_LOST);
        }
        else {
            send(at);
        }
        return;
    }
    switch (pick(8)) {
    case 0:
        end(at, ENTRY_RESULT_BUSY);
        break;
    case 1:
        end(at, ENTRY_RESULT_LOST);
        break;
    case 2:
        end(at, ENTRY_RESULT_INVALID);
        break;
    case 3:
        send(at);
        break;
    case 4:
        entry_update_progress(&world.entry, world.now, at->handle, at->attempt,
                              pick(80), pick(5000));
        break;
    default:
        end(at, ENTRY_RESULT_DONE);
        break;
    }
}

/* Events that come too late or never belonged to anything. */
static void
act_stale(void)
{
    const model *at = &models[pick(MODELS)];
    uint32_t number = at->attempt > 0 ? at->attempt - 1 : 77;
    uint32_t before = world.finish_count;

    check(!entry_may_send(&world.entry, world.now, at->handle, number),
          "an older attempt may send");
    entry_end_attempt(&world.entry, world.now, at->handle, number,
                      (entry_result)pick(5), 0, 0);
    if (!at->is_open) {
        entry_cancel(&world.entry, world.now, at->handle ^ (1u << 25));
    }
    check(world.finish_count == before, "a late event ended a request");
}

static void
grant(void)
{
    static const char *const endpoints[] = {"e1", "e2", "s1", "s2"};
    static const char *const accounts[] = {"a", "b", "rated", "limited", NULL};
    uint32_t endpoint = pick(4);

    ew_grant_shard(&world, endpoint < 2 ? "eng" : "svc",
                   endpoint < 2 ? pick(2) : 0, endpoints[endpoint],
                   accounts[pick(5)]);
}

static void
dispatch(void)
{
    msg_message message = ew_message(&world, pick(2) ? "eng" : "svc");
    uint64_t recalled = pick(100) + 1;
    msg_level level = {ew_id(pick(2) ? "a" : "b"), (int64_t)pick(5000),
                       pick(50)};

    message.is_contended = pick(2) == 0;
    message.recalled = &recalled;
    message.recalled_count = pick(2);
    message.levels = &level;
    message.level_count = 1;
    if (pick(8) == 0) {
        message.sequence -= pick(3);
        message.incarnation -= pick(2);
    }
    ew_take(&world, &message);
}

static const char without_gate[] =
    "[catalogue]\nrevision = 2\n"
    "[pool eng]\nkind = engine\nslots = 2\ninput_weight = 1\n"
    "output_weight = 2\nquantum = 1000\nhold = 1ms\ndefault_cost = 100\n"
    "[route /chat]\npool = eng\nidempotent = yes\n"
    "[route /once]\npool = eng\nidempotent = no\n"
    "[account a]\nweight = 3\nkey_digest = "
    "0000000000000000000000000000000000000000000000000000000000000001\n"
    "[entry a/drafts]\npriority = deferrable\ndeadline = 1m\n";

/* The engines in two shards. */
static const char in_two_shards[] =
    "[catalogue]\nrevision = 3\n"
    "[pool eng]\nkind = engine\nslots = 2\ninput_weight = 1\n"
    "output_weight = 2\nquantum = 1000\nhold = 1ms\ndefault_cost = 100\n"
    "shard_endpoints = 1\n"
    "[route /chat]\npool = eng\nidempotent = yes\n"
    "[route /once]\npool = eng\nidempotent = no\n"
    "[account a]\nweight = 1\nkey_digest = "
    "0000000000000000000000000000000000000000000000000000000000000001\n"
    "[entry a/drafts]\npriority = deferrable\ndeadline = 1m\n"
    "[entry a/gate]\npriority = urgent\ndeadline = 1m\n"
    "[account b]\nweight = 1\nkey_digest = "
    "0000000000000000000000000000000000000000000000000000000000000002\n"
    "[entry b/work]\npriority = deferrable\ndeadline = 1m\n";

static void
disturb(void)
{
    uint32_t endpoint = pick(2);

    switch (pick(14)) {
    case 12:
    case 13:
        ew_set_catalogue(&world, in_two_shards);
        break;
    case 0:
        entry_mark_stale(&world.entry, world.now);
        break;
    case 1:
        ew_run(&world, 2 * EW_TTL);
        break;
    case 2:
        ew_set_catalogue(&world, without_gate);
        break;
    case 3:
        ew_restore_catalogue(&world);
        break;
    case 4:
        entry_set_dispatcher(&world.entry, world.now, ew_id("eng"), 0,
                             pick(2) ? ew_id("r3") : LV_ID_NONE);
        break;
    case 5:
    case 6:
        entry_set_dispatcher(&world.entry, world.now, ew_id("eng"), 0,
                             ew_id("r2"));
        break;
    default:
        is_leaving[endpoint] = !is_leaving[endpoint];
        entry_set_endpoint_leaving(&world.entry, world.now,
                                   ew_id(endpoint ? "e2" : "e1"),
                                   is_leaving[endpoint]);
        break;
    }
}

static void
step(void)
{
    uint32_t what = pick(20);

    if (what < 5) {
        submit();
    }
    else if (what < 12) {
        act_on_running();
    }
    else if (what < 15) {
        grant();
    }
    else if (what == 15) {
        dispatch();
    }
    else if (what == 16) {
        act_stale();
    }
    else if (what == 17) {
        model *at = &models[pick(64)];

        if (at->is_open) {
            at->is_running = false;
            entry_cancel(&world.entry, world.now, at->handle);
        }
    }
    else if (what == 18) {
        ew_run(&world, pick(20) * LV_MILLISECOND);
    }
    else if (pick(4) == 0) {
        disturb();
    }
}

static void
finish_all(void)
{
    ew_restore_catalogue(&world);
    entry_set_dispatcher(&world.entry, world.now, ew_id("eng"), 0,
                         ew_id("r2"));
    entry_drain(&world.entry, world.now);
    for (int i = 0; i < 2; i++) {
        is_leaving[i] = false;
        entry_set_endpoint_leaving(&world.entry, world.now,
                                   ew_id(i ? "e2" : "e1"), false);
    }
    for (int round = 0; round < 4000 && open_count > 0; round++) {
        model *at = pick_running();

        if (at == NULL) {
            grant();
            ew_run(&world, 20 * LV_MILLISECOND);
        }
        else if (!at->may_write) {
            send(at);
        }
        else {
            end(at, ENTRY_RESULT_DONE);
        }
        see_events();
    }
    check(open_count == 0, "accepted and not finished");
    check(entry_is_idle(&world.entry), "not idle after a drain");
}

static uint64_t
walk(uint64_t number)
{
    entry_settings settings;

    entry_default_settings(&settings);
    settings.mode = number % 8 == 6   ? ENTRY_MODE_LOCAL_FAIR
                    : number % 8 == 7 ? ENTRY_MODE_LOCAL_FIFO
                                      : ENTRY_MODE_LEASES;
    seed = number;
    state = number * 2654435761u + 1;
    memset(models, 0, sizeof models);
    for (uint32_t i = 0; i < MODELS; i++) {
        models[i].handle = i;
    }
    open_count = 0;
    attempts_seen = 0;
    finishes_seen = 0;
    digest = 0;
    memset(is_leaving, 0, sizeof is_leaving);
    ew_init(&world, &settings);
    entry_set_dispatcher(&world.entry, world.now, ew_id("eng"), 1,
                         ew_id("r2"));
    for (int i = 0; i < STEPS; i++) {
        step();
        see_events();
        check_counts();
        check_idle_leases();
    }
    finish_all();
    check_counts();
    ew_finish_world(&world);
    return digest;
}

Test(entry_walk, promises_hold_on_every_seed, .timeout = 300)
{
    for (uint64_t number = 1; number <= WALKS; number++) {
        walk(number);
    }
}

Test(entry_walk, the_same_seed_gives_the_same_walk)
{
    for (uint64_t number = 1; number <= 20; number++) {
        cr_assert_eq(walk(number), walk(number));
    }
}
