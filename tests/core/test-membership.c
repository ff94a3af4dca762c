/*
 * Membership over a pump of messages: who is held live, when, and under
 * which faults; what a member tells of itself; what is dropped.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <stdlib.h>

#include "mesh.h"

#define SETTLE (5 * LV_SECOND)

typedef struct size_case {
    uint32_t nodes;
    uint32_t drop;
    uint32_t duplicate;
    lv_time jitter;
} size_case;

static void
set_up(mesh_mesh *mesh, const size_case *c, uint64_t seed)
{
    mesh_settings settings;

    mesh_default_settings(&settings, c->nodes, seed);
    settings.drop = c->drop;
    settings.duplicate = c->duplicate;
    settings.jitter = c->jitter;
    settings.has_no_documents = true;
    mesh_init(mesh, &settings);
    mesh_run(mesh, SETTLE);
}

#define QUIET                                                                 \
    {                                                                         \
        8, 0, 0, LV_MILLISECOND                                               \
    }

ParameterizedTestParameters(membership, sizes)
{
    static size_case cases[] = {
        {2, 0, 0, LV_MILLISECOND},   {3, 50, 20, 20 * LV_MILLISECOND},
        {8, 0, 0, LV_MILLISECOND},   {8, 50, 50, 30 * LV_MILLISECOND},
        {50, 0, 0, LV_MILLISECOND},  {50, 50, 20, 20 * LV_MILLISECOND},
        {200, 0, 0, LV_MILLISECOND}, {200, 20, 10, 10 * LV_MILLISECOND},
    };

    return cr_make_param_array(size_case, cases,
                               sizeof cases / sizeof cases[0]);
}

static uint32_t
count_deaths(const mesh_mesh *mesh)
{
    uint64_t deaths = 0;

    for (uint32_t i = 0; i < mesh->settings.nodes; i++) {
        if (mesh->nodes[i].is_up) {
            deaths += mesh->nodes[i].swim.counts.deaths;
        }
    }
    return (uint32_t)deaths;
}

/* Nobody is held dead who lives; one that is killed is held dead by all
 * within 3 s, and live again after its restart. */
ParameterizedTest(size_case *c, membership, sizes)
{
    mesh_mesh mesh;
    uint32_t victim = c->nodes - 1;

    set_up(&mesh, c, 11);
    cr_assert(mesh_agrees(&mesh));
    cr_assert_eq(count_deaths(&mesh), 0);
    mesh_run(&mesh, 20 * LV_SECOND);
    cr_assert_eq(count_deaths(&mesh), 0, "%u nodes", c->nodes);
    mesh_kill(&mesh, victim);
    mesh_run(&mesh, 3 * LV_SECOND);
    cr_assert(mesh_agrees(&mesh));
    mesh_start(&mesh, victim);
    mesh_run(&mesh, 3 * LV_SECOND);
    cr_assert(mesh_agrees(&mesh));
    mesh_finish(&mesh);
}

static bool
all_know(const mesh_mesh *mesh, uint32_t victim)
{
    for (uint32_t i = 0; i < mesh->settings.nodes; i++) {
        if (i != victim && mesh_sees(mesh, i, victim)) {
            return false;
        }
    }
    return true;
}

/* With eight instances and no loss all know within 1.5 s in the mean, and
 * within 3 s whenever and whoever dies. */
Test(membership, a_dead_router_is_noticed_in_time)
{
    static const size_case quiet = QUIET;
    const lv_time step = 50 * LV_MILLISECOND;
    lv_time sum = 0;

    for (uint64_t seed = 1; seed <= 40; seed++) {
        mesh_mesh mesh;
        uint32_t victim = seed % 8;
        lv_time taken = 0;

        set_up(&mesh, &quiet, seed);
        mesh_run(&mesh, seed * 37 * LV_MILLISECOND);
        mesh_kill(&mesh, victim);
        while (!all_know(&mesh, victim)) {
            mesh_run(&mesh, step);
            taken += step;
            cr_assert(taken <= 3 * LV_SECOND, "seed %lu", seed);
        }
        sum += taken;
        mesh_finish(&mesh);
    }
    cr_assert(sum / 40 <= 1500 * LV_MILLISECOND, "%lu us", sum / 40);
}

typedef struct partition_case {
    uint32_t nodes;
    uint32_t first;
    uint32_t drop;
    lv_time length;
} partition_case;

ParameterizedTestParameters(membership, partitions)
{
    static partition_case cases[] = {
        {8, 4, 0, 10 * LV_SECOND},        {8, 1, 0, 10 * LV_SECOND},
        {8, 7, 20, 30 * LV_SECOND},       {8, 3, 0, 900 * LV_MILLISECOND},
        {8, 3, 0, 1200 * LV_MILLISECOND}, {50, 25, 20, 10 * LV_SECOND},
        {200, 150, 0, 10 * LV_SECOND},
    };

    return cr_make_param_array(partition_case, cases,
                               sizeof cases / sizeof cases[0]);
}

/* Instances of one side that another one of it does not hold live. */
static uint32_t
count_lost_neighbours(const mesh_mesh *mesh, uint32_t first)
{
    uint32_t lost = 0;

    for (uint32_t i = 0; i < mesh->settings.nodes; i++) {
        for (uint32_t j = 0; j < mesh->settings.nodes; j++) {
            lost +=
                i != j && (i < first) == (j < first) && !mesh_sees(mesh, i, j);
        }
    }
    return lost;
}

/* Each side ends with its own instances; after the partition both find each
 * other, and what the one said of the other makes nobody dead who lives. */
ParameterizedTest(partition_case *c, membership, partitions)
{
    mesh_mesh mesh;
    size_case sizes = {c->nodes, c->drop, 0, LV_MILLISECOND};
    uint32_t share;

    set_up(&mesh, &sizes, 5);
    mesh_partition(&mesh, c->first);
    mesh_run(&mesh, c->length);
    if (c->length >= 5 * LV_SECOND) {
        cr_assert(mesh_agrees(&mesh), "%u nodes, first %u", c->nodes,
                  c->first);
        share = swim_live_permille(&mesh.nodes[0].swim);
        cr_assert_eq(share, 1000 * c->first / c->nodes);
    }
    mesh_partition(&mesh, 0);
    for (int step = 0; step < 150; step++) {
        mesh_run(&mesh, 100 * LV_MILLISECOND);
        cr_assert_eq(count_lost_neighbours(&mesh, c->first), 0);
    }
    cr_assert(mesh_agrees(&mesh));
    cr_assert_eq(swim_live_permille(&mesh.nodes[0].swim), 1000);
    mesh_finish(&mesh);
}

/* Paused for less than it takes: nobody notices. For longer: held dead, and
 * live again after waking; the one that woke holds nobody dead for it. */
ParameterizedTestParameters(membership, pauses)
{
    static lv_time cases[] = {100 * LV_MILLISECOND, 300 * LV_MILLISECOND,
                              1100 * LV_MILLISECOND, 5 * LV_SECOND,
                              60 * LV_SECOND};

    return cr_make_param_array(lv_time, cases, sizeof cases / sizeof cases[0]);
}

ParameterizedTest(lv_time *length, membership, pauses)
{
    static const size_case quiet = QUIET;
    mesh_mesh mesh;

    set_up(&mesh, &quiet, 6);
    mesh_pause(&mesh, 3, *length);
    mesh_run(&mesh, *length);
    if (*length >= 5 * LV_SECOND) {
        cr_assert_not(mesh_sees(&mesh, 0, 3));
    }
    mesh_run(&mesh, 2 * LV_SECOND);
    cr_assert(mesh_agrees(&mesh));
    cr_assert_eq(mesh.nodes[3].swim.counts.deaths, 0);
    cr_assert_not(swim_is_stale(&mesh.nodes[3].swim));
    mesh_finish(&mesh);
}

Test(membership, one_that_woke_is_stale_until_it_heard)
{
    static const size_case quiet = QUIET;
    mesh_mesh mesh;
    swim_membership *swim;

    set_up(&mesh, &quiet, 7);
    swim = &mesh.nodes[2].swim;
    cr_assert_not(swim_is_stale(swim));
    swim_mark_stale(swim, mesh.now);
    cr_assert(swim_is_stale(swim));
    mesh_run(&mesh, 10 * LV_MILLISECOND);
    cr_assert_not(swim_is_stale(swim));
    mesh_finish(&mesh);
}

Test(membership, one_that_drains_keeps_leases_but_no_roles)
{
    static const size_case quiet = QUIET;
    mesh_mesh mesh;
    lv_id ids[16];

    set_up(&mesh, &quiet, 8);
    swim_drain(&mesh.nodes[5].swim, mesh.now);
    mesh_run(&mesh, 500 * LV_MILLISECOND);
    for (uint32_t i = 0; i < 8; i++) {
        const swim_membership *swim = &mesh.nodes[i].swim;
        uint32_t count = swim_collect_candidates(swim, ids, 16);

        cr_assert_eq(count, 7);
        for (uint32_t k = 0; k < count; k++) {
            cr_assert_neq(ids[k], mesh.nodes[5].id);
            cr_assert(k == 0 || ids[k - 1] < ids[k]);
        }
        cr_assert_eq(swim_collect_live(swim, ids, 16), 8);
    }
    swim_leave(&mesh.nodes[5].swim, mesh.now);
    mesh_run(&mesh, 300 * LV_MILLISECOND);
    mesh_kill(&mesh, 5);
    for (uint32_t i = 0; i < 8; i++) {
        if (i != 5) {
            cr_assert_eq(swim_collect_live(&mesh.nodes[i].swim, ids, 16), 7);
            cr_assert_eq(mesh.nodes[i].swim.counts.suspicions, 0);
            cr_assert_eq(swim_live_permille(&mesh.nodes[i].swim), 1000);
        }
    }
    mesh_start(&mesh, 5);
    mesh_run(&mesh, 3 * LV_SECOND);
    cr_assert_eq(swim_collect_candidates(&mesh.nodes[0].swim, ids, 16), 8);
    mesh_finish(&mesh);
}

Test(membership, capacity_bounds_what_is_written)
{
    static const size_case quiet = QUIET;
    mesh_mesh mesh;
    lv_id ids[4] = {0, 0, 0, 99};

    set_up(&mesh, &quiet, 9);
    cr_assert_eq(swim_collect_candidates(&mesh.nodes[0].swim, ids, 3), 3);
    cr_assert_eq(swim_collect_live(&mesh.nodes[0].swim, ids, 3), 3);
    cr_assert_eq(ids[3], 99);
    mesh_finish(&mesh);
}

/* A restart during a pause, twice in a row, and all at once. */
Test(membership, restarts)
{
    static const size_case quiet = QUIET;
    mesh_mesh mesh;
    uint64_t incarnation = 0;

    set_up(&mesh, &quiet, 10);
    mesh_start(&mesh, 1);
    mesh_run(&mesh, 100 * LV_MILLISECOND);
    mesh_start(&mesh, 1);
    mesh_run(&mesh, 2 * LV_SECOND);
    cr_assert(mesh_agrees(&mesh));
    for (uint32_t i = 0; i < 8; i++) {
        mesh_start(&mesh, i);
    }
    mesh_run(&mesh, 3 * LV_SECOND);
    cr_assert(mesh_agrees(&mesh));
    for (uint32_t i = 0; i < 8; i++) {
        for (uint32_t j = 0; j < 8; j++) {
            cr_assert(swim_is_live(&mesh.nodes[i].swim, mesh.nodes[j].id,
                                   &incarnation));
            cr_assert_eq(incarnation, mesh.nodes[j].incarnation);
        }
    }
    mesh_finish(&mesh);
}

/* Half of the fleet goes at once, as when a zone is lost. */
Test(membership, half_of_the_fleet_goes_at_once)
{
    static const size_case sizes = {50, 0, 0, LV_MILLISECOND};
    mesh_mesh mesh;

    set_up(&mesh, &sizes, 12);
    for (uint32_t i = 25; i < 50; i++) {
        mesh_kill(&mesh, i);
    }
    mesh_run(&mesh, 10 * LV_SECOND);
    cr_assert(mesh_agrees(&mesh));
    mesh_finish(&mesh);
}

/* An instance that the list names but that never answers is held dead by
 * all, also by those that do not probe it. */
Test(membership, one_that_never_came_is_held_dead_by_all)
{
    mesh_mesh mesh;
    mesh_settings settings;

    mesh_default_settings(&settings, 60, 13);
    settings.has_no_documents = true;
    mesh_init(&mesh, &settings);
    mesh_kill(&mesh, 59);
    mesh_run(&mesh, 6 * LV_SECOND);
    cr_assert(mesh_agrees(&mesh));
    mesh_finish(&mesh);
}

/* Rumours of a leaving endpoint. */
Test(membership, all_hear_of_a_leaving_endpoint)
{
    static const size_case sizes = {50, 50, 20, 10 * LV_MILLISECOND};
    mesh_mesh mesh;
    lv_id endpoint = lv_hash_name("e1");
    uint64_t revision = 0;

    set_up(&mesh, &sizes, 14);
    swim_add_leaving(&mesh.nodes[7].swim, mesh.now, endpoint, 1);
    mesh_run(&mesh, 2 * LV_SECOND);
    for (uint32_t i = 0; i < 50; i++) {
        const swim_membership *swim = &mesh.nodes[i].swim;

        cr_assert_eq(swim_leaving_count(swim), 1);
        cr_assert_eq(swim_leaving_at(swim, 0, &revision), endpoint);
        cr_assert_eq(revision, 1);
    }
    mesh_start(&mesh, 3);
    mesh_run(&mesh, 2 * LV_SECOND);
    cr_assert_eq(swim_leaving_count(&mesh.nodes[3].swim), 1);
    mesh_finish(&mesh);
}

typedef struct leaving_case {
    uint64_t revision;
    char state[12]; /* of e1 in the new list; "": not in it */
    uint32_t left;  /* rumours after that */
} leaving_case;

ParameterizedTestParameters(membership, leaving)
{
    static leaving_case cases[] = {
        {5, "live", 1}, {6, "live", 0}, {6, "leaving", 1},
        {6, "", 0},     {4, "", 1},
    };

    return cr_make_param_array(leaving_case, cases,
                               sizeof cases / sizeof cases[0]);
}

/* A rumour of list revision 5 against a list. */
ParameterizedTest(leaving_case *c, membership, leaving)
{
    static const size_case quiet = QUIET;
    mesh_mesh mesh;
    swim_membership *swim;
    lists_snapshot lists;
    err_list errors;
    text_buffer text = {0};

    set_up(&mesh, &quiet, 15);
    swim = &mesh.nodes[0].swim;
    swim_add_leaving(swim, mesh.now, lv_hash_name("e1"), 5);
    text_make_lists(&text, c->revision, 2, 8, 1);
    if (c->state[0] != '\0') {
        TEXT_ADD(&text,
                 "[endpoint e1]\npool = shared\nzone = z0\n"
                 "address = 12.0.0.1:1\nstate = %s\n",
                 c->state);
    }
    cr_assert(lists_init(&lists, "lists", text.text, text.size, &errors));
    swim_set_lists(swim, mesh.now, &lists);
    cr_assert_eq(swim_leaving_count(swim), c->left);
    swim_add_leaving(swim, mesh.now, lv_hash_name("e1"), 5);
    cr_assert_eq(swim_leaving_count(swim), c->left);
    mesh_finish(&mesh);
    lists_finish(&lists);
    text_finish(&text);
}

/* Messages that must be dropped and counted. */
typedef struct drop_case {
    char what[40];
    uint32_t sender;            /* 99: a stranger */
    int64_t sender_incarnation; /* added to the true one */
    int64_t target_incarnation;
    msg_kind kind;
    uint32_t state; /* of a rumour */
    size_t count;   /* offset of the count that grows */
} drop_case;

#define COUNT_OF(name) offsetof(swim_counts, name)

ParameterizedTestParameters(membership, drops)
{
    static drop_case cases[] = {
        {"a stranger", 99, 0, 0, MSG_PING, 0, COUNT_OF(dropped_unknown)},
        {"an old process", 1, -1, 0, MSG_PING, 0, COUNT_OF(dropped_stale)},
        {"for a predecessor", 1, 0, -1, MSG_PING, 0, COUNT_OF(dropped_stale)},
        {"an ack for a predecessor", 1, 0, -1, MSG_ACK, 0,
         COUNT_OF(dropped_stale)},
        {"another kind", 1, 0, 0, MSG_REPORT, 0, COUNT_OF(dropped_malformed)},
        {"no state", 1, 0, 0, MSG_PING, 9, COUNT_OF(dropped_malformed)},
    };

    return cr_make_param_array(drop_case, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(drop_case *c, membership, drops)
{
    static const size_case quiet = QUIET;
    mesh_mesh mesh;
    swim_membership *swim;
    swim_counts before;
    msg_member member = {.instance = 5, .state = (msg_member_state)c->state};
    msg_message message = {.kind = c->kind, .version = MSG_VERSION};
    const uint64_t *count;
    uint64_t old;

    set_up(&mesh, &quiet, 16);
    mesh_start(&mesh, 0);
    mesh_start(&mesh, 1);
    mesh_run(&mesh, SETTLE);
    swim = &mesh.nodes[0].swim;
    before = swim->counts;
    message.sender = c->sender == 99 ? 12345 : mesh.nodes[c->sender].id;
    message.incarnation =
        mesh.nodes[1].incarnation + (uint64_t)c->sender_incarnation;
    message.target_incarnation =
        mesh.nodes[0].incarnation + (uint64_t)c->target_incarnation;
    message.members = &member;
    message.member_count = 1;
    cr_assert_not(swim_receive(swim, mesh.now, &message), "%s", c->what);
    count = (const uint64_t *)(const void *)((const char *)&swim->counts +
                                             c->count);
    old = *(const uint64_t *)(const void *)((const char *)&before + c->count);
    cr_assert_eq(*count, old + 1, "%s", c->what);
    mesh_run(&mesh, SETTLE);
    cr_assert(mesh_agrees(&mesh));
    mesh_finish(&mesh);
}

/* A process whose clock gave it a lower incarnation than its predecessor's
 * is told so. */
Test(membership, a_lower_incarnation_is_noticed)
{
    static const size_case quiet = QUIET;
    mesh_mesh mesh;

    set_up(&mesh, &quiet, 17);
    mesh.next_incarnation = 0;
    mesh_start(&mesh, 4);
    cr_assert_eq(mesh.nodes[4].incarnation, 1);
    mesh_run(&mesh, 2 * LV_SECOND);
    cr_assert_eq(mesh.nodes[4].swim.superseding_incarnation, 5);
    mesh_finish(&mesh);
}

typedef struct setting_case {
    size_t offset;
    uint64_t value;
    bool is_32;
} setting_case;

ParameterizedTestParameters(membership, settings)
{
    static setting_case cases[] = {
        {offsetof(swim_settings, probe_interval), 0, false},
        {offsetof(swim_settings, probe_interval), 1000, false},
        {offsetof(swim_settings, probe_timeout), 0, false},
        {offsetof(swim_settings, suspicion_timeout), 0, false},
        {offsetof(swim_settings, rumours_per_message), 0, true},
        {offsetof(swim_settings, rumours_per_message), 33, true},
    };

    return cr_make_param_array(setting_case, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(setting_case *c, membership, settings)
{
    swim_membership swim;
    swim_settings settings;
    err_error error;
    char *field = (char *)&settings + c->offset;

    swim_default_settings(&settings);
    if (c->is_32) {
        *(uint32_t *)(void *)field = (uint32_t)c->value;
    }
    else {
        *(uint64_t *)(void *)field = c->value;
    }
    cr_assert_not(swim_init(&swim, NULL, &settings, 1, 1, 1, 0, &error));
    cr_assert_neq(error.remedy[0], '\0');
}
