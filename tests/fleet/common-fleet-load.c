#include <stdio.h>
#include <string.h>

#include "common-fleet.h"

/* One address a line: the plan's lines are bounded. */
static void
write_endpoints(FILE *file, const fleet_fleet *fleet, bool is_service)
{
    for (uint32_t i = 0; i < fleet->endpoint_count; i++) {
        if (fleet->endpoints[i].is_service == is_service) {
            fprintf(file, "%s = %s\n", is_service ? "services" : "engines",
                    fleet->endpoints[i].process.admin);
        }
    }
}

/* The services themselves in place of routers. */
static void
write_direct(FILE *file, const fleet_fleet *fleet)
{
    for (uint32_t i = 0; i < fleet->endpoint_count; i++) {
        if (fleet->endpoints[i].is_service) {
            fprintf(file, "routers = %s\n",
                    fleet->endpoints[i].process.address);
        }
    }
}

static void
write_routers(FILE *file, const fleet_fleet *fleet)
{
    bool is_direct = strcmp(fleet->shape.policy, FLEET_DIRECT) == 0;

    for (uint32_t i = 0; i < fleet->shape.routers; i++) {
        const fleet_router *router = &fleet->routers[i];

        if (!is_direct) {
            fprintf(file, "routers = %s\n", router->callers);
        }
        fprintf(file, "operators = %s\npids = %d\n", router->operator_address,
                (int)router->process.pid);
    }
    if (is_direct) {
        write_direct(file, fleet);
    }
}

static bool
write_plan(const fleet_fleet *fleet, const char *path, const char *load_keys,
           const char *flows)
{
    FILE *file = fopen(path, "w");

    if (file == NULL) {
        perror(path);
        return false;
    }
    fputs("[load]\n", file);
    write_routers(file, fleet);
    fprintf(file, "platform = %s\n", fleet->platform.admin);
    write_endpoints(file, fleet, false);
    write_endpoints(file, fleet, true);
    fprintf(file, "%s%s", load_keys, flows);
    return fclose(file) == 0;
}

bool
fleet_start_load(const fleet_fleet *fleet, proc_process *load,
                 const char *load_keys, const char *flows)
{
    static proc_command command;
    char path[PROC_PATH_SIZE];

    snprintf(path, sizeof path, "%.400s/plan.ini", fleet->folder);
    if (!write_plan(fleet, path, load_keys, flows)) {
        return false;
    }
    snprintf(path, sizeof path, "%.400s/fleet-load", fleet->shape.programs);
    proc_command_init(&command, path);
    proc_command_add(&command, "%.400s/plan.ini", fleet->folder);
    proc_command_add(&command, "--json=%.400s/report.json", fleet->folder);
    proc_command_add(&command, "--csv=%.400s/requests.csv", fleet->folder);
    snprintf(path, sizeof path, "%.400s/load.log", fleet->folder);
    return proc_start(load, &command, path);
}

json_t *
fleet_finish_load(const fleet_fleet *fleet, proc_process *load,
                  uint64_t timeout_ms)
{
    char path[PROC_PATH_SIZE];
    bool is_ended = proc_wait_end(load, timeout_ms);

    proc_kill(load);
    snprintf(path, sizeof path, "%.400s/report.json", fleet->folder);
    return is_ended ? json_load_file(path, 0, NULL) : NULL;
}

static bool
has_finding(const fleet_fleet *fleet, const char *name)
{
    char path[PROC_PATH_SIZE];
    char line[4096];
    bool is_found = false;
    FILE *file;

    snprintf(path, sizeof path, "%.400s/%.60s.log", fleet->folder, name);
    file = fopen(path, "r");
    if (file == NULL) {
        return false;
    }
    while (!is_found && fgets(line, sizeof line, file) != NULL) {
        is_found = strstr(line, "Sanitizer: ") != NULL ||
                   strstr(line, "runtime error: ") != NULL;
    }
    fclose(file);
    if (is_found) {
        fprintf(stderr, "%s: %s", path, line);
    }
    return is_found;
}

bool
fleet_has_findings(const fleet_fleet *fleet)
{
    bool is_found = has_finding(fleet, "platform") ||
                    has_finding(fleet, "proxy") || has_finding(fleet, "load");

    for (uint32_t i = 0; i < fleet->shape.routers; i++) {
        is_found = is_found || has_finding(fleet, fleet->routers[i].name);
    }
    for (uint32_t i = 0; i < fleet->endpoint_count; i++) {
        is_found = is_found || has_finding(fleet, fleet->endpoints[i].name);
    }
    return is_found;
}
