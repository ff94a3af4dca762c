/*
 * Placement against small fake engines: the wanted set is brought about,
 * slowly enough, one order at a time, with fencing numbers, and the last
 * copy of a model stays.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <string.h>

#include "lavender/placement.h"
#include "texts.h"

#define ENDPOINTS 6
#define MODELS 3
#define ROUTERS 2
#define STEP (100 * LV_MILLISECOND)
#define REPORT_STEPS 5 /* load reports lag by up to so many steps */

static const place_settings settings = {
    .order_interval = 2 * LV_SECOND,
    .order_timeout = 20 * LV_SECOND,
    .quiet_period = 5 * LV_SECOND,
};

/* An engine that takes time to load and may check fencing numbers. */
typedef struct engine {
    bool is_up;
    bool has[MODELS];
    int loading; /* model, -1: none */
    lv_time done_at;
    uint32_t capacity; /* models */
    uint64_t fence[2]; /* highest seen */
    uint32_t in_flight[ROUTERS];
} engine;

typedef struct fleet fleet;

typedef struct router {
    lv_host host; /* first member: vtable */
    fleet *fleet;
    uint32_t index;
    bool is_cut_off;
    place_state placement;
    lv_time last_load;
    lv_time view_changed;
    lv_time load_interval;
    uint32_t hears; /* bit i: engine i reports here */
    uint32_t loads;
    uint32_t unloads;
} router;

typedef struct pending {
    bool is_used;
    uint32_t router;
    uint32_t engine;
    lv_order order;
    char model[LV_NAME_SIZE];
    lv_time at;
} pending;

struct fleet {
    lv_time now;
    bool checks_fencing;
    uint32_t lost;    /* thousandths of answers that are lost */
    uint32_t refused; /* orders still to be refused with "later" */
    uint64_t random;
    cat_catalogue catalogue;
    lists_snapshot lists;
    engine engines[ENDPOINTS];
    router routers[ROUTERS];
    pending orders[64];
    bool was_there[MODELS];
    uint32_t fenced; /* refused for an old fence */
};

static uint32_t
find_engine(lv_id id)
{
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        char name[16];

        snprintf(name, sizeof name, "e%u", i);
        if (lv_hash_name(name) == id) {
            return i;
        }
    }
    cr_assert_fail("no such engine");
    return 0;
}

/* What is wrong with an order when it is given; NULL when nothing is. */
static const char *
find_fault(const router *from, const lv_order *order, const pending *place)
{
    const fleet *f = from->fleet;
    uint32_t index = find_engine(order->endpoint);

    if (place == NULL) {
        return "too many orders";
    }
    if (f->engines[index].in_flight[from->index] > 0) {
        return "two orders in flight to one endpoint";
    }
    if (order->is_load && from->loads > 0 &&
        f->now - from->last_load < from->load_interval) {
        return "faster than the weight store allows";
    }
    if ((!f->checks_fencing || !order->is_load) &&
        f->now - from->view_changed < settings.quiet_period) {
        return "the view was not quiet";
    }
    if (order->fence_catalogue != from->placement.catalogue->revision ||
        order->fence_lists != from->placement.lists->revision) {
        return "the fencing number is not that of the view";
    }
    return NULL;
}

static pending *
find_free(fleet *f)
{
    for (size_t i = 0; i < sizeof f->orders / sizeof f->orders[0]; i++) {
        if (!f->orders[i].is_used) {
            return &f->orders[i];
        }
    }
    return NULL;
}

static void
on_order(lv_host *host, const lv_order *order)
{
    router *from = (router *)host;
    fleet *f = from->fleet;
    uint32_t index = find_engine(order->endpoint);
    pending *p = find_free(f);
    const char *fault = find_fault(from, order, p);

    cr_assert_null(fault, "%s", fault);
    if (order->is_load) {
        from->last_load = f->now;
        from->loads++;
    }
    else {
        from->unloads++;
    }
    f->engines[index].in_flight[from->index]++;
    p->is_used = true;
    p->router = from->index;
    p->engine = index;
    p->order = *order;
    lv_copy_name(p->model, sizeof p->model, order->model);
    p->at = f->now + STEP;
}

static void
on_log(lv_host *host, const lv_decision *decision)
{
    (void)host;
    cr_assert_eq(decision->kind, LV_DECIDE_ORDER);
}

static const lv_host_ops host_ops = {
    .send_order = on_order,
    .log_decision = on_log,
};

static bool
is_old_fence(const engine *e, const lv_order *order)
{
    return order->fence_catalogue < e->fence[0] ||
           (order->fence_catalogue == e->fence[0] &&
            order->fence_lists < e->fence[1]);
}

static uint32_t
count_models(const engine *e)
{
    uint32_t count = e->loading >= 0;

    for (uint32_t i = 0; i < MODELS; i++) {
        count += e->has[i];
    }
    return count;
}

static int
model_index(const char *name)
{
    return name[1] - '0';
}

/* What an engine does with an order; false when it refuses it. */
static bool
take_order(fleet *f, engine *e, const pending *p)
{
    int model = model_index(p->model);

    if (f->checks_fencing) {
        if (is_old_fence(e, &p->order)) {
            f->fenced++;
            return false;
        }
        e->fence[0] = p->order.fence_catalogue;
        e->fence[1] = p->order.fence_lists;
    }
    if (f->refused > 0) {
        f->refused--;
        return false;
    }
    if (!p->order.is_load) {
        e->has[model] = false;
        return true;
    }
    if (e->has[model] || e->loading == model) {
        return true;
    }
    if (e->loading >= 0 || count_models(e) >= e->capacity) {
        return false;
    }
    e->loading = model;
    e->done_at = f->now + 3 * LV_SECOND;
    return true;
}

static void
run_orders(fleet *f)
{
    for (size_t i = 0; i < sizeof f->orders / sizeof f->orders[0]; i++) {
        pending *p = &f->orders[i];
        engine *e = &f->engines[p->engine];
        bool is_taken;

        if (!p->is_used || f->now < p->at) {
            continue;
        }
        p->is_used = false;
        e->in_flight[p->router]--;
        if (!e->is_up) {
            continue;
        }
        is_taken = take_order(f, e, p);
        if (text_random(&f->random) % 1000 >= f->lost) {
            place_complete_order(&f->routers[p->router].placement, f->now,
                                 p->order.endpoint, is_taken);
        }
    }
}

static void
report(fleet *f, uint32_t index)
{
    const engine *e = &f->engines[index];
    lv_id models[MODELS];
    uint32_t count = 0;
    char name[16];

    for (uint32_t m = 0; m < MODELS; m++) {
        if (e->has[m]) {
            snprintf(name, sizeof name, "m%u", m);
            models[count++] = lv_hash_name(name);
        }
    }
    snprintf(name, sizeof name, "e%u", index);
    for (uint32_t r = 0; r < ROUTERS; r++) {
        if (!f->routers[r].is_cut_off &&
            (f->routers[r].hears >> index & 1) != 0) {
            place_set_loaded_models(&f->routers[r].placement, f->now,
                                    lv_hash_name(name), models, count);
        }
    }
}

/* A model that was loaded somewhere stays loaded somewhere, but when its
 * engine goes. */
static void
check_last_copies(fleet *f)
{
    for (uint32_t m = 0; m < MODELS; m++) {
        uint32_t copies = 0;

        for (uint32_t i = 0; i < ENDPOINTS; i++) {
            copies += f->engines[i].is_up && f->engines[i].has[m];
        }
        cr_assert(!f->was_there[m] || copies > 0, "last copy of m%u", m);
        f->was_there[m] = copies > 0;
    }
}

static void
run(fleet *f, lv_time length)
{
    lv_time end = f->now + length;

    while (f->now < end) {
        f->now += STEP;
        for (uint32_t i = 0; i < ENDPOINTS; i++) {
            engine *e = &f->engines[i];

            if (e->loading >= 0 && f->now >= e->done_at) {
                e->has[e->loading] = true;
                e->loading = -1;
            }
            if (e->is_up && f->now / STEP % REPORT_STEPS == i % REPORT_STEPS) {
                report(f, i);
            }
        }
        run_orders(f);
        for (uint32_t r = 0; r < ROUTERS; r++) {
            if (place_next_tick(&f->routers[r].placement) <= f->now) {
                place_tick(&f->routers[r].placement, f->now);
            }
        }
        check_last_copies(f);
    }
}

static void
make_catalogue(cat_catalogue *catalogue, uint64_t revision,
               const char *fencing, const unsigned copies[MODELS])
{
    text_buffer text = {0};
    err_list errors;
    cat_part part = {"head", NULL, 0};

    TEXT_ADD(&text,
             "[catalogue]\nrevision = %lu\n[pool shared]\nkind = engine\n"
             "slots = 8\ninput_weight = 1\noutput_weight = 4\n"
             "quantum = 1000\ndefault_cost = 100\nfencing = %s\n",
             revision, fencing);
    for (unsigned m = 0; m < MODELS; m++) {
        TEXT_ADD(&text,
                 "[model m%u]\npool = shared\nsize = 4GiB\ncopies = ", m);
        if (copies[m] == 0) {
            TEXT_ADD(&text, "all\n");
        }
        else {
            TEXT_ADD(&text, "%u\n", copies[m]);
        }
    }
    part.text = text.text;
    part.size = text.size;
    cr_assert(cat_init(catalogue, &part, 1, &errors), "%s",
              errors.items[0].error.message);
    text_finish(&text);
}

/* Lists of the engines; bit i of `leaving`: engine i leaves. */
static void
make_lists(lists_snapshot *lists, uint64_t revision, unsigned leaving)
{
    text_buffer text = {0};
    err_list errors;

    TEXT_ADD(&text, "[list]\nrevision = %lu\n[zone z]\nregion = r\n",
             revision);
    for (unsigned i = 0; i < ENDPOINTS; i++) {
        TEXT_ADD(&text,
                 "[endpoint e%u]\npool = shared\nzone = z\n"
                 "address = 127.0.0.1:%u\nstate = %s\n",
                 i, 7000 + i, (leaving >> i & 1) != 0 ? "leaving" : "live");
    }
    cr_assert(lists_init(lists, "lists", text.text, text.size, &errors));
    text_finish(&text);
}

static void
show(fleet *f, uint32_t index)
{
    router *r = &f->routers[index];

    r->view_changed = f->now;
    place_set_documents(&r->placement, f->now, &f->catalogue, &f->lists);
}

static void
take_role(fleet *f, uint32_t index, bool is_mine)
{
    router *r = &f->routers[index];

    r->view_changed = f->now;
    place_set_pool_shards(&r->placement, f->now, lv_hash_name("shared"),
                          is_mine ? 1 : 0, 1);
}

static void
open_fleet(fleet *f, bool checks_fencing, const unsigned copies[MODELS],
           uint32_t capacity)
{
    memset(f, 0, sizeof *f);
    f->now = 100 * LV_SECOND;
    f->random = 51;
    f->checks_fencing = checks_fencing;
    make_catalogue(&f->catalogue, 3, checks_fencing ? "checked" : "ignored",
                   copies);
    make_lists(&f->lists, 8, 0);
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        f->engines[i].is_up = true;
        f->engines[i].loading = -1;
        f->engines[i].capacity = capacity;
    }
    for (uint32_t r = 0; r < ROUTERS; r++) {
        f->routers[r].host.ops = &host_ops;
        f->routers[r].fleet = f;
        f->routers[r].index = r;
        f->routers[r].hears = UINT32_MAX;
        f->routers[r].load_interval = settings.order_interval;
        cr_assert(place_init(&f->routers[r].placement, &f->routers[r].host,
                             &settings, f->now, NULL));
        show(f, r);
    }
}

static void
close_fleet(fleet *f)
{
    for (uint32_t r = 0; r < ROUTERS; r++) {
        place_finish(&f->routers[r].placement);
    }
    cat_finish(&f->catalogue);
    lists_finish(&f->lists);
}

/* Every live engine has what is wanted there; `exactly`: and no more. */
static bool
is_placed(const fleet *f, bool exactly)
{
    for (uint32_t i = 0; i < f->lists.endpoint_count; i++) {
        uint32_t index = find_engine(f->lists.endpoints[i].id);

        if (f->lists.endpoints[i].is_leaving) {
            continue;
        }
        for (uint32_t m = 0; m < f->catalogue.model_count; m++) {
            int model = model_index(f->catalogue.models[m].name);
            bool is_wanted = place_is_wanted(&f->catalogue, &f->lists, m, i);
            bool is_there = f->engines[index].has[model];

            if ((is_wanted && !is_there) ||
                (exactly && !is_wanted && is_there)) {
                return false;
            }
        }
    }
    return true;
}

typedef struct placement_case {
    bool checks_fencing;
    unsigned copies[MODELS];
    uint32_t capacity;
    uint32_t lost;    /* thousandths of answers */
    uint32_t refused; /* orders */
} placement_case;

ParameterizedTestParameters(placement, cases)
{
    static placement_case cases[] = {
        {true, {0, 2, 1}, 3, 0, 0},    {false, {0, 2, 1}, 3, 0, 0},
        {true, {0, 0, 0}, 3, 0, 0},    {true, {1, 1, 1}, 3, 0, 0},
        {true, {9, 2, 3}, 3, 0, 0},    {true, {0, 2, 1}, 3, 0, 4},
        {false, {0, 2, 1}, 3, 0, 4},   {true, {0, 2, 1}, 3, 200, 0},
        {false, {0, 2, 1}, 3, 200, 2},
    };

    return cr_make_param_array(placement_case, cases,
                               sizeof cases / sizeof cases[0]);
}

/* From nothing loaded and from all loaded to what is wanted; then nothing
 * more is ordered. */
ParameterizedTest(placement_case *c, placement, cases)
{
    for (int start = 0; start < 2; start++) {
        fleet f;
        uint32_t loads;

        open_fleet(&f, c->checks_fencing, c->copies, c->capacity);
        f.lost = c->lost;
        f.refused = c->refused;
        for (uint32_t i = 0; i < ENDPOINTS && start == 1; i++) {
            memset(f.engines[i].has, 1, sizeof f.engines[i].has);
        }
        take_role(&f, 0, true);
        run(&f, 600 * LV_SECOND);
        cr_assert(is_placed(&f, true));
        loads = f.routers[0].loads + f.routers[0].unloads;
        run(&f, 100 * LV_SECOND);
        cr_assert_eq(f.routers[0].loads + f.routers[0].unloads, loads);
        cr_assert_eq(f.routers[1].loads, 0, "not its pool");
        close_fleet(&f);
    }
}

/* Engines with room for one model, and all have the wrong one. */
Test(placement, full_engines_make_room_but_keep_the_last_copy)
{
    static const unsigned copies[MODELS] = {2, 2, 2};
    fleet f;
    uint32_t copies_of[MODELS] = {0};

    open_fleet(&f, true, copies, 1);
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        f.engines[i].has[i == 0 ? 1 : 0] = true;
    }
    take_role(&f, 0, true);
    run(&f, 600 * LV_SECOND);
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        for (uint32_t m = 0; m < MODELS; m++) {
            copies_of[m] += f.engines[i].has[m];
        }
    }
    for (uint32_t m = 0; m < MODELS; m++) {
        cr_assert_eq(copies_of[m], 2);
    }
    cr_assert(is_placed(&f, true));
    close_fleet(&f);
}

/* An engine with the only copy leaves: another one loads it, and the one
 * that leaves gets no order. */
Test(placement, a_leaving_engine_is_replaced)
{
    static const unsigned copies[MODELS] = {1, 1, 1};
    fleet f;
    lists_snapshot old;
    unsigned leaving = 0;

    open_fleet(&f, true, copies, 3);
    take_role(&f, 0, true);
    run(&f, 100 * LV_SECOND);
    cr_assert(is_placed(&f, true));
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        leaving |= f.engines[i].has[1] ? 1U << i : 0;
    }
    old = f.lists;
    make_lists(&f.lists, 9, leaving);
    show(&f, 0);
    show(&f, 1);
    lists_finish(&old);
    run(&f, 100 * LV_SECOND);
    cr_assert(is_placed(&f, true));
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        cr_assert((leaving >> i & 1) == 0 || f.engines[i].has[1]);
    }
    close_fleet(&f);
}

/* The role moves while the old holder, cut off, still believes in it and in
 * an older catalogue: fenced where the engines check; where they do not, the
 * state still comes to what the newer view wants. */
ParameterizedTestParameters(placement, two_holders)
{
    static bool cases[] = {true, false};

    return cr_make_param_array(bool, cases, sizeof cases / sizeof cases[0]);
}

ParameterizedTest(bool *checks_fencing, placement, two_holders)
{
    static const unsigned before[MODELS] = {1, 2, 0};
    static const unsigned after[MODELS] = {3, 1, 2};
    fleet f;
    cat_catalogue old;

    open_fleet(&f, *checks_fencing, before, 3);
    take_role(&f, 0, true);
    take_role(&f, 1, true);
    run(&f, 8 * LV_SECOND);
    old = f.catalogue;
    make_catalogue(&f.catalogue, 4, *checks_fencing ? "checked" : "ignored",
                   after);
    show(&f, 1);
    f.routers[0].is_cut_off = true;
    run(&f, 60 * LV_SECOND);
    if (*checks_fencing) {
        cr_assert(is_placed(&f, true));
    }
    f.routers[0].is_cut_off = false;
    show(&f, 0);
    take_role(&f, 0, false);
    cat_finish(&old);
    run(&f, 600 * LV_SECOND);
    cr_assert(is_placed(&f, true));
    close_fleet(&f);
}

/* Two shards with a dispatcher each: each gives orders to the endpoints that
 * report to it, at half the rate. */
Test(placement, shards_share_the_rate)
{
    static const unsigned copies[MODELS] = {0, 2, 4};
    fleet f;

    open_fleet(&f, true, copies, 3);
    for (uint32_t r = 0; r < ROUTERS; r++) {
        f.routers[r].hears = r == 0 ? 7 : 56;
        f.routers[r].load_interval = 2 * settings.order_interval;
        f.routers[r].view_changed = f.now;
        place_set_pool_shards(&f.routers[r].placement, f.now,
                              lv_hash_name("shared"), 1, 2);
    }
    run(&f, 600 * LV_SECOND);
    cr_assert(is_placed(&f, false));
    cr_assert_eq(f.routers[0].loads + f.routers[1].loads, ENDPOINTS + 2 + 4);
    close_fleet(&f);
}

/* An order that is never answered is given up after its time, and the next
 * one waits longer each time. */
Test(placement, silence_is_timed_out_and_backed_off)
{
    static const unsigned copies[MODELS] = {0, 0, 0};
    fleet f;
    uint32_t first;

    open_fleet(&f, true, copies, 3);
    f.lost = 1000;
    f.refused = 1000000;
    take_role(&f, 0, true);
    run(&f, 15 * LV_SECOND);
    cr_assert_eq(f.routers[0].placement.counts.timeouts, 0);
    run(&f, 45 * LV_SECOND);
    first = (uint32_t)f.routers[0].placement.counts.timeouts;
    cr_assert_geq(first, ENDPOINTS);
    run(&f, 600 * LV_SECOND);
    cr_assert_lt(f.routers[0].placement.counts.timeouts, (uint64_t)12 * first);
    close_fleet(&f);
}

Test(placement, no_report_no_order)
{
    static const unsigned copies[MODELS] = {0, 0, 0};
    fleet f;

    open_fleet(&f, true, copies, 3);
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        f.engines[i].is_up = false;
    }
    take_role(&f, 0, true);
    run(&f, 60 * LV_SECOND);
    cr_assert_eq(f.routers[0].loads, 0);
    cr_assert_eq(place_next_tick(&f.routers[0].placement), LV_TIME_NEVER);
    close_fleet(&f);
}

/* As many copies as asked for, or as endpoints that do not leave. */
Test(placement, the_wanted_set_has_the_copies)
{
    static const unsigned copies[MODELS] = {0, 2, 9};
    cat_catalogue catalogue;
    lists_snapshot lists;

    make_catalogue(&catalogue, 1, "checked", copies);
    make_lists(&lists, 1, 5);
    for (uint32_t m = 0; m < MODELS; m++) {
        uint32_t count = 0;
        uint32_t asked = catalogue.models[m].copies;
        uint32_t there = ENDPOINTS - 2;

        for (uint32_t i = 0; i < lists.endpoint_count; i++) {
            bool is_wanted = place_is_wanted(&catalogue, &lists, m, i);

            cr_assert_not(is_wanted && lists.endpoints[i].is_leaving);
            count += is_wanted;
        }
        cr_assert_eq(count, asked == 0 || asked > there ? there : asked);
    }
    cat_finish(&catalogue);
    lists_finish(&lists);
}

Test(placement, lengths_of_time_must_not_be_zero)
{
    place_settings bad = settings;
    place_state placement;
    err_error error;

    bad.order_interval = 0;
    cr_assert_not(place_init(&placement, NULL, &bad, 0, &error));
    cr_assert_neq(error.remedy[0], '\0');
}
