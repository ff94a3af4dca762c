/*
 * The parts of the experiment runner.
 */
#ifndef PART_FLEET_BENCH_H
#define PART_FLEET_BENCH_H

#include "common-fleet.h"

#define BENCH_RUNS 24
#define BENCH_FAULTS 16
#define BENCH_TEXT_SIZE 16384

/* Something done to the fleet at a time of the run. */
typedef struct bench_fault {
    double at; /* seconds after the load began */
    char verb[32];
    char first[64];
    char second[64];
    bool is_done;
} bench_fault;

typedef struct bench_run {
    char name[FLEET_NAME_SIZE];
    char policy[FLEET_NAME_SIZE];
    bench_fault faults[BENCH_FAULTS];
    uint32_t fault_count;
    json_t *report;
} bench_run;

typedef struct bench_bench {
    const char *path;
    const char *programs;
    const char *daemon;
    const char *results;
    bool keeps_folder;
    char title[128];
    fleet_shape shape;
    char load_text[BENCH_TEXT_SIZE]; /* keys of [load] */
    char flow_text[BENCH_TEXT_SIZE]; /* the [flow] sections */
    char section[128];               /* last flow section written */
    bench_run runs[BENCH_RUNS];
    uint32_t run_count;
    fleet_fleet fleet;
} bench_bench;

void bench_read(bench_bench *bench);

/* Do the faults that are due; true while some are left. */
bool bench_do_faults(bench_bench *bench, bench_run *run, double seconds);

bool bench_write_results(const bench_bench *bench);
void bench_print_summary(const bench_bench *bench);

#endif
