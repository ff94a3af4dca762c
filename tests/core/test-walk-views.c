/*
 * Seeded walks over membership and documents: loss, partitions, pauses,
 * kills, restarts, a platform that is down or old, changes of both
 * documents; what was accepted never goes back, and once all is well again
 * everybody agrees in time.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include "mesh.h"

#define NODES 6
#define STEPS 16
#define SEEDS_PER_CASE 100

typedef struct walk {
    mesh_mesh mesh;
    uint64_t random;
    uint64_t catalogue; /* last revision published */
    uint64_t lists;
} walk;

static uint32_t
draw(walk *w, uint32_t below)
{
    return (uint32_t)(text_random(&w->random) % below);
}

static void
publish(walk *w)
{
    if (w->catalogue < MESH_VERSIONS_MAX - 2) {
        w->catalogue++;
        mesh_publish_catalogue(&w->mesh, w->catalogue,
                               10 + (unsigned)draw(w, 30));
    }
    if (draw(w, 2) == 0 && w->lists < MESH_VERSIONS_MAX - 2) {
        w->lists++;
        mesh_publish_lists(&w->mesh, w->lists);
    }
}

/* Watchers hear at once what was published while the platform was down. */
static void
set_platform(walk *w, bool is_down)
{
    w->mesh.platform_is_down = is_down;
    for (uint32_t i = 0; i < w->mesh.settings.watchers && !is_down; i++) {
        if (w->mesh.nodes[i].is_up) {
            mesh_read_platform(&w->mesh, i, DOC_CATALOGUE);
            mesh_read_platform(&w->mesh, i, DOC_LISTS);
        }
    }
}

/* One fault, or its end, or a change. */
static void
take_step(walk *w)
{
    mesh_mesh *mesh = &w->mesh;
    uint32_t node = draw(w, NODES);

    switch (draw(w, 9)) {
    case 0:
        mesh_partition(mesh, 1 + draw(w, NODES - 1));
        break;
    case 1:
        mesh_partition(mesh, 0);
        break;
    case 2:
        mesh_pause(mesh, node, draw(w, 5000) * LV_MILLISECOND);
        break;
    case 3:
        mesh_kill(mesh, node);
        break;
    case 4:
        mesh_start(mesh, node);
        break;
    case 5:
        set_platform(w, draw(w, 2) == 0);
        break;
    case 6:
        mesh->platform_lag = draw(w, 4);
        break;
    case 7:
        mesh->settings.drop = draw(w, 150);
        mesh->settings.duplicate = draw(w, 100);
        mesh->settings.jitter = 1 + draw(w, 30) * LV_MILLISECOND;
        break;
    default:
        publish(w);
        break;
    }
}

static void
heal(walk *w)
{
    mesh_mesh *mesh = &w->mesh;

    mesh_partition(mesh, 0);
    mesh->settings.drop = 0;
    mesh->settings.duplicate = 0;
    mesh->settings.jitter = LV_MILLISECOND;
    mesh->platform_lag = 0;
    set_platform(w, false);
    for (uint32_t i = 0; i < NODES; i++) {
        if (!mesh->nodes[i].is_up) {
            mesh_start(mesh, i);
        }
    }
    mesh_run(mesh, 10 * LV_SECOND); /* pauses end, sides find each other */
}

static bool
all_heard_of_leaving(const mesh_mesh *mesh, lv_id endpoint)
{
    for (uint32_t i = 0; i < NODES; i++) {
        const swim_membership *swim = &mesh->nodes[i].swim;

        if (swim_leaving_count(swim) != 1 ||
            swim_leaving_at(swim, 0, NULL) != endpoint) {
            return false;
        }
    }
    return true;
}

/* What is wrong at the end of a walk; NULL when nothing is. */
static const char *
judge(walk *w)
{
    mesh_mesh *mesh = &w->mesh;
    lv_id endpoint = lv_hash_name("e0");
    uint64_t accepted;

    heal(w);
    accepted = mesh_highest(mesh, DOC_CATALOGUE);
    if (accepted != w->catalogue) {
        return "what was published is not in force";
    }
    if (mesh_went_back(mesh) > 0) {
        return "a document went back";
    }
    if (!mesh_agrees(mesh)) {
        return "the membership does not agree";
    }
    if (accepted > 0 && mesh_count_behind(mesh, DOC_CATALOGUE, accepted) > 0) {
        return "an accepted catalogue is not in force everywhere";
    }
    w->catalogue++;
    mesh_publish_catalogue(mesh, w->catalogue, 12);
    swim_add_leaving(&mesh->nodes[draw(w, NODES)].swim, mesh->now, endpoint,
                     w->lists);
    mesh_run(mesh, 3 * LV_SECOND);
    if (mesh_count_behind(mesh, DOC_CATALOGUE, w->catalogue) > 0) {
        return "a change is not in force after 3 s";
    }
    if (!all_heard_of_leaving(mesh, endpoint)) {
        return "a leaving endpoint is not known after 3 s";
    }
    return mesh_went_back(mesh) > 0 ? "a document went back" : NULL;
}

static void
begin(walk *w, uint64_t seed)
{
    mesh_settings settings;

    mesh_default_settings(&settings, NODES, seed);
    w->random = seed * 7919;
    w->catalogue = 1;
    w->lists = 1;
    mesh_init(&w->mesh, &settings);
    mesh_publish_catalogue(&w->mesh, 1, 12);
    mesh_run(&w->mesh, draw(w, 4000) * LV_MILLISECOND);
}

ParameterizedTestParameters(walk_views, seeds)
{
    static uint64_t cases[] = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9};

    return cr_make_param_array(uint64_t, cases,
                               sizeof cases / sizeof cases[0]);
}

static void
walk_seed(uint64_t seed)
{
    const char *fault;
    walk w;

    begin(&w, seed);
    for (int step = 0; step < STEPS; step++) {
        take_step(&w);
        mesh_run(&w.mesh, draw(&w, 2500) * LV_MILLISECOND);
    }
    fault = judge(&w);
    cr_assert_null(fault, "seed %lu: %s", seed, fault);
    mesh_finish(&w.mesh);
}

ParameterizedTest(uint64_t *block, walk_views, seeds)
{
    for (uint64_t i = 0; i < SEEDS_PER_CASE; i++) {
        walk_seed(*block * SEEDS_PER_CASE + i + 1);
    }
}

/* Seeds beyond those that failed once. */
Test(walk_views, seeds_that_failed)
{
    walk_seed(5467);
}

/* The checks find faults that are planted. */
ParameterizedTestParameters(walk_views, planted)
{
    static mesh_fault cases[] = {
        MESH_FAULT_FORGETS,
        MESH_FAULT_NO_BODIES,
        MESH_FAULT_DEAF,
    };

    return cr_make_param_array(mesh_fault, cases,
                               sizeof cases / sizeof cases[0]);
}

ParameterizedTest(mesh_fault *fault, walk_views, planted)
{
    for (uint64_t seed = 1; seed <= 10; seed++) {
        walk w;

        begin(&w, seed);
        publish(&w);
        mesh_run(&w.mesh, 4 * LV_SECOND);
        w.mesh.nodes[3].fault = *fault;
        if (*fault == MESH_FAULT_FORGETS) {
            w.mesh.platform_lag = 1;
            mesh_partition(&w.mesh, 3);
            for (uint32_t i = 3; i < NODES; i++) {
                mesh_forget(&w.mesh, i);
            }
            mesh_run(&w.mesh, 4 * LV_SECOND);
        }
        cr_assert_not_null(judge(&w), "seed %lu", seed);
        mesh_finish(&w.mesh);
    }
}
