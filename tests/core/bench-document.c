/*
 * What a change of the catalogue costs a node against the size of the fleet
 * and of the parts: bytes sent, and the time until it is in force everywhere.
 * Counts on virtual time; one account is added, two nodes hear of it from the
 * platform.
 */
#include <inttypes.h>
#include <stdio.h>

#include "mesh.h"

#define ACCOUNTS 1200
#define STEP (10 * LV_MILLISECOND)
#define LIMIT (10 * LV_SECOND)

typedef struct load {
    uint64_t sum;
    uint64_t most;
} load;

/* Bytes sent since `before`, which takes the present counts. */
static load
read_load(const mesh_mesh *mesh, uint64_t *before)
{
    load found = {0, 0};

    for (uint32_t i = 0; i < mesh->settings.nodes; i++) {
        uint64_t sent = mesh->nodes[i].sent_bytes - before[i];

        before[i] = mesh->nodes[i].sent_bytes;
        found.sum += sent;
        found.most = sent > found.most ? sent : found.most;
    }
    return found;
}

static void
measure(uint32_t nodes, uint32_t accounts_per_part)
{
    static uint64_t before[2000];
    mesh_settings settings;
    mesh_mesh mesh;
    const mesh_version *version;
    lv_time taken = 0;
    load change;

    mesh_default_settings(&settings, nodes, 1);
    settings.accounts_per_part = accounts_per_part;
    mesh_init(&mesh, &settings);
    mesh_publish_catalogue(&mesh, 1, ACCOUNTS - 1);
    mesh_run(&mesh, 5 * LV_SECOND);
    read_load(&mesh, before);
    mesh_publish_catalogue(&mesh, 2, ACCOUNTS);
    while (mesh_count_behind(&mesh, DOC_CATALOGUE, 2) > 0 && taken < LIMIT) {
        mesh_run(&mesh, STEP);
        taken += STEP;
    }
    change = read_load(&mesh, before);
    version = &mesh.versions[DOC_CATALOGUE][1];
    printf("%6" PRIu32 " %6" PRIu32 " %10zu %10zu %12" PRIu64 " %12" PRIu64
           " %8.2f\n",
           nodes, version->part_count - 1, version->parts[0].size,
           version->parts[version->part_count - 1].size, change.sum / nodes,
           change.most, (double)taken / (double)LV_SECOND);
    mesh_finish(&mesh);
}

int
main(void)
{
    static const uint32_t sizes[] = {8, 50, 200};
    static const uint32_t parts[] = {1200, 120, 20};

    printf("%6s %6s %10s %10s %12s %12s %8s\n", "nodes", "parts", "head",
           "part", "bytes/node", "most", "seconds");
    for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++) {
        for (size_t p = 0; p < sizeof parts / sizeof parts[0]; p++) {
            measure(sizes[i], parts[p]);
            fflush(stdout);
        }
    }
    return 0;
}
