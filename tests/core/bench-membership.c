/*
 * Messages and bytes that membership costs a node, against the size of the
 * fleet: at rest, while an instance dies, and while a zone dies. Counts on
 * virtual time; the same figures every time.
 */
#include <inttypes.h>
#include <stdio.h>

#include "mesh.h"

#define ZONES 17
#define SETTLE (10 * LV_SECOND)
#define REST (20 * LV_SECOND)
#define EVENT (10 * LV_SECOND)

typedef struct load {
    uint64_t messages;
    uint64_t bytes;
} load;

static load
read_load(const mesh_mesh *mesh)
{
    load sum = {0, 0};

    for (uint32_t i = 0; i < mesh->settings.nodes; i++) {
        sum.messages += mesh->nodes[i].sent;
        sum.bytes += mesh->nodes[i].sent_bytes;
    }
    return sum;
}

static void
print_load(const mesh_mesh *mesh, const char *what, load before,
           lv_time length)
{
    load now = read_load(mesh);
    double seconds =
        (double)length / (double)LV_SECOND * (double)mesh->settings.nodes;

    printf("%6u  %-16s %8.1f %10.0f", mesh->settings.nodes, what,
           (double)(now.messages - before.messages) / seconds,
           (double)(now.bytes - before.bytes) / seconds);
}

/* Until every running instance holds exactly the running ones live. */
static double
wait_until_all_agree(mesh_mesh *mesh, lv_time limit)
{
    lv_time taken = 0;

    while (!mesh_agrees(mesh) && taken < limit) {
        mesh_run(mesh, 50 * LV_MILLISECOND);
        taken += 50 * LV_MILLISECOND;
    }
    return (double)taken / (double)LV_SECOND;
}

static void
kill_and_print(mesh_mesh *mesh, const char *what, uint32_t count)
{
    load before = read_load(mesh);
    lv_time start = mesh->now;
    double taken;

    for (uint32_t i = 0; i < count; i++) {
        mesh_kill(mesh, mesh->settings.nodes - 1 - i);
    }
    taken = wait_until_all_agree(mesh, EVENT);
    mesh_run(mesh, EVENT - (mesh->now - start));
    print_load(mesh, what, before, EVENT);
    printf(" %8.2f s until all agree\n", taken);
    for (uint32_t i = 0; i < count; i++) {
        mesh_start(mesh, mesh->settings.nodes - 1 - i);
    }
    mesh_run(mesh, SETTLE);
}

static void
measure(uint32_t nodes)
{
    mesh_settings settings;
    mesh_mesh mesh;
    load before;

    mesh_default_settings(&settings, nodes, 1);
    settings.zones = ZONES;
    settings.has_no_documents = true;
    mesh_init(&mesh, &settings);
    mesh_run(&mesh, SETTLE);
    before = read_load(&mesh);
    mesh_run(&mesh, REST);
    print_load(&mesh, "at rest", before, REST);
    printf(" %8zu bytes held\n",
           swim_memory(&mesh.nodes[0].swim) + sizeof mesh.nodes[0].swim);
    kill_and_print(&mesh, "one dies", 1);
    kill_and_print(&mesh, "a zone dies", nodes / ZONES + 1);
    mesh_finish(&mesh);
}

int
main(void)
{
    static const uint32_t sizes[] = {8, 50, 200, 1500};

    printf("%6s  %-16s %8s %10s\n", "nodes", "", "msg/s", "bytes/s");
    for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++) {
        measure(sizes[i]);
        fflush(stdout);
    }
    return 0;
}
