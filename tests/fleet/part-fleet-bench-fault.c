#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "part-fleet-bench.h"

/* A number, or "dispatcher". */
static uint32_t
read_router(const fleet_fleet *fleet, const char *text)
{
    uint32_t router = strcmp(text, "dispatcher") == 0
                          ? fleet_dispatcher(fleet, "models")
                          : (uint32_t)strtoul(text, NULL, 10);

    return router < fleet->shape.routers ? router : 0;
}

/* Routers below the number on one side, the others on the other. */
static void
partition(fleet_fleet *fleet, uint32_t below)
{
    for (uint32_t i = 0; i < below; i++) {
        for (uint32_t k = below; k < fleet->shape.routers; k++) {
            fleet_partition(fleet, i, k);
        }
    }
}

static void
fault_router(fleet_fleet *fleet, const bench_fault *fault)
{
    uint32_t index = read_router(fleet, fault->first);
    proc_process *process = &fleet->routers[index].process;

    fprintf(stderr, "  at %.0f s: %s router%u\n", fault->at, fault->verb,
            index);
    if (strcmp(fault->verb, "kill") == 0) {
        proc_kill(process);
    }
    else if (strcmp(fault->verb, "restart") == 0) {
        proc_kill(process);
        fleet_start_router(fleet, index);
    }
    else if (strcmp(fault->verb, "pause") == 0) {
        proc_signal(process, SIGSTOP);
    }
    else if (strcmp(fault->verb, "continue") == 0) {
        proc_signal(process, SIGCONT);
    }
}

static void
fault_endpoint(fleet_fleet *fleet, const bench_fault *fault)
{
    for (uint32_t i = 0; i < fleet->endpoint_count; i++) {
        if (strcmp(fleet->endpoints[i].name, fault->first) == 0) {
            fleet->endpoints[i].is_leaving = true;
        }
    }
    fleet_publish_lists(fleet);
}

static void
do_fault(fleet_fleet *fleet, const bench_fault *fault)
{
    const char *verb = fault->verb;
    const char *proxy = fleet->proxy.admin;

    if (strcmp(verb, "kill") == 0 || strcmp(verb, "restart") == 0 ||
        strcmp(verb, "pause") == 0 || strcmp(verb, "continue") == 0) {
        fault_router(fleet, fault);
        return;
    }
    fprintf(stderr, "  at %.0f s: %s %s\n", fault->at, verb, fault->first);
    if (strcmp(verb, "partition") == 0) {
        partition(fleet, (uint32_t)strtoul(fault->first, NULL, 10));
    }
    else if (strcmp(verb, "heal") == 0) {
        fleet_heal(fleet);
    }
    else if (strcmp(verb, "silence") == 0) {
        fleet_tell(proxy, "/admin/fault", "{\"silence\": true}");
    }
    else if (strcmp(verb, "cut") == 0) {
        fleet_tell(proxy, "/admin/fault", "{\"cut\": true}");
    }
    else if (strcmp(verb, "platform-down") == 0) {
        fleet_tell(fleet->platform.admin, "/admin/mode", "{\"down\": true}");
    }
    else if (strcmp(verb, "platform-up") == 0) {
        fleet_tell(fleet->platform.admin, "/admin/mode", "{\"down\": false}");
    }
    else if (strcmp(verb, "leave") == 0) {
        fault_endpoint(fleet, fault);
    }
    else if (strcmp(verb, "catalogue") == 0) {
        fleet_publish_catalogue(fleet);
    }
    else {
        fprintf(stderr, "  no such fault: %s\n", verb);
    }
}

bool
bench_do_faults(bench_bench *bench, bench_run *run, double seconds)
{
    bool is_left = false;

    for (uint32_t i = 0; i < run->fault_count; i++) {
        bench_fault *fault = &run->faults[i];

        if (!fault->is_done && seconds >= fault->at) {
            fault->is_done = true;
            do_fault(&bench->fleet, fault);
        }
        is_left = is_left || !fault->is_done;
    }
    return is_left;
}
