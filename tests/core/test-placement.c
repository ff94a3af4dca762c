/*
 * Placement with simulated engines: the engines reach the assignment, orders
 * keep the load rate, one in flight per engine, with the current fencing
 * numbers, and the last copy of a model is never unloaded.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <string.h>

#include "lavender/placement.h"
#include "texts.h"

#define ENDPOINTS 6
#define MODELS 3
#define ROUTERS 2
#define TICK (100 * LV_MILLISECOND)
#define REPORT_TICKS 5 /* ticks between load reports of an engine */

static const place_settings settings = {
    .order_interval = 2 * LV_SECOND,
    .order_timeout = 20 * LV_SECOND,
    .quiet_period = 5 * LV_SECOND,
};

/* An engine that needs time to load a model and may check fencing numbers. */
typedef struct engine {
    bool is_up;
    bool loaded[MODELS];
    int loading;           /* model, -1: none */
    lv_time loaded_at;     /* end of loading */
    uint32_t capacity;     /* models */
    uint64_t max_fence[2]; /* highest catalogue and list revision */
    uint32_t in_flight[ROUTERS];
} engine;

typedef struct fleet fleet;

typedef struct router {
    lv_host host; /* first member: vtable */
    fleet *fleet;
    uint32_t index;
    bool gets_no_reports;
    place_state placement;
    lv_time last_load_at;
    lv_time view_changed_at;
    lv_time load_interval;
    uint32_t reporting_engines; /* bit i: engine i reports to this router */
    uint32_t loads;
    uint32_t unloads;
} router;

typedef struct pending_order {
    bool is_pending;
    uint32_t router;
    uint32_t engine;
    lv_order order;
    char model[LV_NAME_SIZE];
    lv_time deliver_at;
} pending_order;

struct fleet {
    lv_time now;
    bool checks_fencing;
    uint32_t lost_permille;  /* answers that are lost */
    uint32_t refused_orders; /* number of orders that engines will refuse */
    uint64_t random_state;
    cat_catalogue catalogue;
    lists_snapshot lists;
    engine engines[ENDPOINTS];
    router routers[ROUTERS];
    pending_order orders[64];
    bool was_loaded[MODELS];
    uint32_t stale_orders; /* refused for a stale fencing number */
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

/* Returns which rule an order breaks at the time it is sent, or NULL. */
static const char *
broken_rule(const router *from, const lv_order *order, const pending_order *p)
{
    const fleet *f = from->fleet;
    uint32_t index = find_engine(order->endpoint);

    if (p == NULL) {
        return "too many orders";
    }
    if (f->engines[index].in_flight[from->index] > 0) {
        return "two orders in flight to one endpoint";
    }
    if (order->is_load && from->loads > 0 &&
        f->now - from->last_load_at < from->load_interval) {
        return "faster than the weight store allows";
    }
    if ((!f->checks_fencing || !order->is_load) &&
        f->now - from->view_changed_at < settings.quiet_period) {
        return "the view was not quiet";
    }
    if (order->fence_catalogue != from->placement.catalogue->revision ||
        order->fence_lists != from->placement.lists->revision) {
        return "the fencing number is not that of the view";
    }
    return NULL;
}

static pending_order *
find_free_order(fleet *f)
{
    for (size_t i = 0; i < sizeof f->orders / sizeof f->orders[0]; i++) {
        if (!f->orders[i].is_pending) {
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
    pending_order *p = find_free_order(f);
    const char *fault = broken_rule(from, order, p);

    cr_assert_null(fault, "%s", fault);
    if (order->is_load) {
        from->last_load_at = f->now;
        from->loads++;
    }
    else {
        from->unloads++;
    }
    f->engines[index].in_flight[from->index]++;
    p->is_pending = true;
    p->router = from->index;
    p->engine = index;
    p->order = *order;
    lv_copy_name(p->model, sizeof p->model, order->model);
    p->deliver_at = f->now + TICK;
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
has_stale_fence(const engine *e, const lv_order *order)
{
    return order->fence_catalogue < e->max_fence[0] ||
           (order->fence_catalogue == e->max_fence[0] &&
            order->fence_lists < e->max_fence[1]);
}

static uint32_t
count_models(const engine *e)
{
    uint32_t count = e->loading >= 0;

    for (uint32_t i = 0; i < MODELS; i++) {
        count += e->loaded[i];
    }
    return count;
}

static int
model_index(const char *name)
{
    return name[1] - '0';
}

/* Applies an order to an engine; returns false if the engine refuses it. */
static bool
apply_order(fleet *f, engine *e, const pending_order *p)
{
    int model = model_index(p->model);

    if (f->checks_fencing) {
        if (has_stale_fence(e, &p->order)) {
            f->stale_orders++;
            return false;
        }
        e->max_fence[0] = p->order.fence_catalogue;
        e->max_fence[1] = p->order.fence_lists;
    }
    if (f->refused_orders > 0) {
        f->refused_orders--;
        return false;
    }
    if (!p->order.is_load) {
        e->loaded[model] = false;
        return true;
    }
    if (e->loaded[model] || e->loading == model) {
        return true;
    }
    if (e->loading >= 0 || count_models(e) >= e->capacity) {
        return false;
    }
    e->loading = model;
    e->loaded_at = f->now + 3 * LV_SECOND;
    return true;
}

static void
deliver_orders(fleet *f)
{
    for (size_t i = 0; i < sizeof f->orders / sizeof f->orders[0]; i++) {
        pending_order *p = &f->orders[i];
        engine *e = &f->engines[p->engine];
        bool is_accepted;

        if (!p->is_pending || f->now < p->deliver_at) {
            continue;
        }
        p->is_pending = false;
        e->in_flight[p->router]--;
        if (!e->is_up) {
            continue;
        }
        is_accepted = apply_order(f, e, p);
        if (text_random(&f->random_state) % 1000 >= f->lost_permille) {
            place_complete_order(&f->routers[p->router].placement, f->now,
                                 p->order.endpoint, is_accepted);
        }
    }
}

static void
send_report(fleet *f, uint32_t index)
{
    const engine *e = &f->engines[index];
    lv_id models[MODELS];
    uint32_t count = 0;
    char name[16];

    for (uint32_t m = 0; m < MODELS; m++) {
        if (e->loaded[m]) {
            snprintf(name, sizeof name, "m%u", m);
            models[count++] = lv_hash_name(name);
        }
    }
    snprintf(name, sizeof name, "e%u", index);
    for (uint32_t r = 0; r < ROUTERS; r++) {
        if (!f->routers[r].gets_no_reports &&
            (f->routers[r].reporting_engines >> index & 1) != 0) {
            place_set_loaded_models(&f->routers[r].placement, f->now,
                                    lv_hash_name(name), models, count);
        }
    }
}

/* A model that was loaded on a running engine stays loaded on one. */
static void
check_last_copies(fleet *f)
{
    for (uint32_t m = 0; m < MODELS; m++) {
        uint32_t copies = 0;

        for (uint32_t i = 0; i < ENDPOINTS; i++) {
            copies += f->engines[i].is_up && f->engines[i].loaded[m];
        }
        cr_assert(!f->was_loaded[m] || copies > 0, "last copy of m%u", m);
        f->was_loaded[m] = copies > 0;
    }
}

static void
run_fleet(fleet *f, lv_time duration)
{
    lv_time end = f->now + duration;

    while (f->now < end) {
        f->now += TICK;
        for (uint32_t i = 0; i < ENDPOINTS; i++) {
            engine *e = &f->engines[i];

            if (e->loading >= 0 && f->now >= e->loaded_at) {
                e->loaded[e->loading] = true;
                e->loading = -1;
            }
            if (e->is_up && f->now / TICK % REPORT_TICKS == i % REPORT_TICKS) {
                send_report(f, i);
            }
        }
        deliver_orders(f);
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

/* Lists of the engines; bit i of `leaving`: engine i is leaving. */
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
set_views(fleet *f, uint32_t index)
{
    router *r = &f->routers[index];

    r->view_changed_at = f->now;
    place_set_documents(&r->placement, f->now, &f->catalogue, &f->lists);
}

static void
set_role(fleet *f, uint32_t index, bool has_role)
{
    router *r = &f->routers[index];

    r->view_changed_at = f->now;
    place_set_pool_shards(&r->placement, f->now, lv_hash_name("shared"),
                          has_role ? 1 : 0, 1);
}

static void
init_fleet(fleet *f, bool checks_fencing, const unsigned copies[MODELS],
           uint32_t capacity)
{
    memset(f, 0, sizeof *f);
    f->now = 100 * LV_SECOND;
    f->random_state = 51;
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
        f->routers[r].reporting_engines = UINT32_MAX;
        f->routers[r].load_interval = settings.order_interval;
        cr_assert(place_init(&f->routers[r].placement, &f->routers[r].host,
                             &settings, f->now, NULL));
        set_views(f, r);
    }
}

static void
finish_fleet(fleet *f)
{
    for (uint32_t r = 0; r < ROUTERS; r++) {
        place_finish(&f->routers[r].placement);
    }
    cat_finish(&f->catalogue);
    lists_finish(&f->lists);
}

/* Does every engine have its assigned models; is_exact: and no others? */
static bool
is_placed(const fleet *f, bool is_exact)
{
    for (uint32_t i = 0; i < f->lists.endpoint_count; i++) {
        uint32_t index = find_engine(f->lists.endpoints[i].id);

        if (f->lists.endpoints[i].is_leaving) {
            continue;
        }
        for (uint32_t m = 0; m < f->catalogue.model_count; m++) {
            int model = model_index(f->catalogue.models[m].name);
            bool is_assigned =
                place_is_model_assigned(&f->catalogue, &f->lists, m, i);
            bool is_loaded = f->engines[index].loaded[model];

            if ((is_assigned && !is_loaded) ||
                (is_exact && !is_assigned && is_loaded)) {
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
    uint32_t lost_permille;  /* answers that are lost */
    uint32_t refused_orders; /* as in fleet */
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

/* From no models loaded and from all loaded, the engines reach the assignment;
 * then no further orders are sent. */
ParameterizedTest(placement_case *c, placement, cases)
{
    for (int start = 0; start < 2; start++) {
        fleet f;
        uint32_t loads;

        init_fleet(&f, c->checks_fencing, c->copies, c->capacity);
        f.lost_permille = c->lost_permille;
        f.refused_orders = c->refused_orders;
        for (uint32_t i = 0; i < ENDPOINTS && start == 1; i++) {
            memset(f.engines[i].loaded, 1, sizeof f.engines[i].loaded);
        }
        set_role(&f, 0, true);
        run_fleet(&f, 600 * LV_SECOND);
        cr_assert(is_placed(&f, true));
        loads = f.routers[0].loads + f.routers[0].unloads;
        run_fleet(&f, 100 * LV_SECOND);
        cr_assert_eq(f.routers[0].loads + f.routers[0].unloads, loads);
        cr_assert_eq(f.routers[1].loads, 0, "not its pool");
        finish_fleet(&f);
    }
}

/* Engines have room for one model, and nearly all have the same one. */
Test(placement, full_engines_unload_all_but_the_last_copy)
{
    static const unsigned copies[MODELS] = {2, 2, 2};
    fleet f;
    uint32_t copy_counts[MODELS] = {0};

    init_fleet(&f, true, copies, 1);
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        f.engines[i].loaded[i == 0 ? 1 : 0] = true;
    }
    set_role(&f, 0, true);
    run_fleet(&f, 600 * LV_SECOND);
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        for (uint32_t m = 0; m < MODELS; m++) {
            copy_counts[m] += f.engines[i].loaded[m];
        }
    }
    for (uint32_t m = 0; m < MODELS; m++) {
        cr_assert_eq(copy_counts[m], 2);
    }
    cr_assert(is_placed(&f, true));
    finish_fleet(&f);
}

/* The engine with the only copy of a model is leaving: another one loads it,
 * and the leaving one gets no order. */
Test(placement, models_of_leaving_engine_are_loaded_elsewhere)
{
    static const unsigned copies[MODELS] = {1, 1, 1};
    fleet f;
    lists_snapshot old_version;
    unsigned leaving = 0;

    init_fleet(&f, true, copies, 3);
    set_role(&f, 0, true);
    run_fleet(&f, 100 * LV_SECOND);
    cr_assert(is_placed(&f, true));
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        leaving |= f.engines[i].loaded[1] ? 1U << i : 0;
    }
    old_version = f.lists;
    make_lists(&f.lists, 9, leaving);
    set_views(&f, 0);
    set_views(&f, 1);
    lists_finish(&old_version);
    run_fleet(&f, 100 * LV_SECOND);
    cr_assert(is_placed(&f, true));
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        cr_assert((leaving >> i & 1) == 0 || f.engines[i].loaded[1]);
    }
    finish_fleet(&f);
}

/* The old dispatcher, which gets no more reports, still sends orders for an
 * older catalogue: engines that check fencing numbers refuse them, others
 * still reach the assignment of the newer catalogue. */
ParameterizedTestParameters(placement, two_dispatchers_converge)
{
    static bool cases[] = {true, false};

    return cr_make_param_array(bool, cases, sizeof cases / sizeof cases[0]);
}

ParameterizedTest(bool *checks_fencing, placement, two_dispatchers_converge)
{
    static const unsigned old_copies[MODELS] = {1, 2, 0};
    static const unsigned new_copies[MODELS] = {3, 1, 2};
    fleet f;
    cat_catalogue old_version;

    init_fleet(&f, *checks_fencing, old_copies, 3);
    set_role(&f, 0, true);
    set_role(&f, 1, true);
    run_fleet(&f, 8 * LV_SECOND);
    old_version = f.catalogue;
    make_catalogue(&f.catalogue, 4, *checks_fencing ? "checked" : "ignored",
                   new_copies);
    set_views(&f, 1);
    f.routers[0].gets_no_reports = true;
    run_fleet(&f, 60 * LV_SECOND);
    if (*checks_fencing) {
        cr_assert(is_placed(&f, true));
    }
    f.routers[0].gets_no_reports = false;
    set_views(&f, 0);
    set_role(&f, 0, false);
    cat_finish(&old_version);
    run_fleet(&f, 600 * LV_SECOND);
    cr_assert(is_placed(&f, true));
    finish_fleet(&f);
}

/* Two shards with one dispatcher each: each sends orders to the endpoints that
 * report to it, at half the rate. */
Test(placement, shards_share_the_load_rate)
{
    static const unsigned copies[MODELS] = {0, 2, 4};
    fleet f;

    init_fleet(&f, true, copies, 3);
    for (uint32_t r = 0; r < ROUTERS; r++) {
        f.routers[r].reporting_engines = r == 0 ? 7 : 56;
        f.routers[r].load_interval = 2 * settings.order_interval;
        f.routers[r].view_changed_at = f.now;
        place_set_pool_shards(&f.routers[r].placement, f.now,
                              lv_hash_name("shared"), 1, 2);
    }
    run_fleet(&f, 600 * LV_SECOND);
    cr_assert(is_placed(&f, false));
    cr_assert_eq(f.routers[0].loads + f.routers[1].loads, ENDPOINTS + 2 + 4);
    finish_fleet(&f);
}

/* Orders that are never answered time out, with growing delays between. */
Test(placement, unanswered_orders_time_out_and_back_off)
{
    static const unsigned copies[MODELS] = {0, 0, 0};
    fleet f;
    uint32_t first;

    init_fleet(&f, true, copies, 3);
    f.lost_permille = 1000;
    f.refused_orders = 1000000;
    set_role(&f, 0, true);
    run_fleet(&f, 15 * LV_SECOND);
    cr_assert_eq(f.routers[0].placement.counts.timeouts, 0);
    run_fleet(&f, 45 * LV_SECOND);
    first = (uint32_t)f.routers[0].placement.counts.timeouts;
    cr_assert_geq(first, ENDPOINTS);
    run_fleet(&f, 600 * LV_SECOND);
    cr_assert_lt(f.routers[0].placement.counts.timeouts, (uint64_t)12 * first);
    finish_fleet(&f);
}

Test(placement, no_orders_before_first_report)
{
    static const unsigned copies[MODELS] = {0, 0, 0};
    fleet f;

    init_fleet(&f, true, copies, 3);
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        f.engines[i].is_up = false;
    }
    set_role(&f, 0, true);
    run_fleet(&f, 60 * LV_SECOND);
    cr_assert_eq(f.routers[0].loads, 0);
    cr_assert_eq(place_next_tick(&f.routers[0].placement), LV_TIME_NEVER);
    finish_fleet(&f);
}

/* As many copies as requested, at most one for each endpoint that stays. */
Test(placement, assignment_has_the_requested_copies)
{
    static const unsigned copies[MODELS] = {0, 2, 9};
    cat_catalogue catalogue;
    lists_snapshot lists;

    make_catalogue(&catalogue, 1, "checked", copies);
    make_lists(&lists, 1, 5);
    for (uint32_t m = 0; m < MODELS; m++) {
        uint32_t count = 0;
        uint32_t wanted = catalogue.models[m].copies;
        uint32_t live = ENDPOINTS - 2;

        for (uint32_t i = 0; i < lists.endpoint_count; i++) {
            bool is_assigned =
                place_is_model_assigned(&catalogue, &lists, m, i);

            cr_assert_not(is_assigned && lists.endpoints[i].is_leaving);
            count += is_assigned;
        }
        cr_assert_eq(count, wanted == 0 || wanted > live ? live : wanted);
    }
    cat_finish(&catalogue);
    lists_finish(&lists);
}

Test(placement, zero_interval_is_rejected)
{
    place_settings invalid = settings;
    place_state placement;
    err_error error;

    invalid.order_interval = 0;
    cr_assert_not(place_init(&placement, NULL, &invalid, 0, &error));
    cr_assert_neq(error.remedy[0], '\0');
}
