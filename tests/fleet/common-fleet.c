#include "common-fleet.h"

#include <dirent.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "common-fleet-imp.h"
#include "common-usage.h"

#define READY_MS 20000
#define STEP_MS 20

static void
set_default(uint32_t *field, uint32_t value)
{
    if (*field == 0) {
        *field = value;
    }
}

static void
set_defaults(fleet_shape *shape)
{
    set_default(&shape->routers, 3);
    set_default(&shape->zones, 1);
    set_default(&shape->engines, 2);
    set_default(&shape->engine_slots, 4);
    set_default(&shape->token_us, 5000);
    set_default(&shape->prefill_us, 50);
    set_default(&shape->services, 1);
    set_default(&shape->service_slots, 4);
    set_default(&shape->service_time_us, 20000);
    set_default(&shape->quantum, 200);
    set_default(&shape->urgent_credit, 400);
    set_default(&shape->output_weight, 2);
    set_default(&shape->hold_ms, 20);
    set_default(&shape->watch_ms, 30000);
    if (shape->policy[0] == '\0') {
        snprintf(shape->policy, sizeof shape->policy, "leases");
    }
    if (shape->account_count == 0) {
        for (uint32_t i = 0; i < 4; i++) {
            snprintf(shape->accounts[i].name, FLEET_NAME_SIZE, "account%u", i);
        }
        shape->account_count = 4;
    }
    for (uint32_t i = 0; i < shape->account_count; i++) {
        set_default(&shape->accounts[i].weight, 1);
    }
}

static bool
fail(const fleet_fleet *fleet, const char *what)
{
    fprintf(stderr, "fleet: %s; look into %s\n", what, fleet->folder);
    return false;
}

static void
format_log(const fleet_fleet *fleet, const char *name,
           char path[PROC_PATH_SIZE])
{
    snprintf(path, PROC_PATH_SIZE, "%.400s/%s.log", fleet->folder, name);
}

static bool
start_standin(fleet_fleet *fleet, proc_process *process,
              const proc_command *command, const char *name)
{
    char log[PROC_PATH_SIZE];

    format_log(fleet, name, log);
    return (proc_start(process, command, log) &&
            proc_wait_ready(process, READY_MS)) ||
           fail(fleet, name);
}

static void
begin_command(const fleet_fleet *fleet, proc_command *command,
              const char *program)
{
    char path[PROC_PATH_SIZE];

    snprintf(path, sizeof path, "%.400s/%s", fleet->shape.programs, program);
    proc_command_init(command, path);
}

static bool
start_engine(fleet_fleet *fleet, fleet_endpoint *endpoint)
{
    const fleet_shape *shape = &fleet->shape;
    static proc_command command;

    begin_command(fleet, &command, "fleet-engine");
    proc_command_add(&command, "--slots=%u", shape->engine_slots);
    proc_command_add(&command, "--token-us=%u", shape->token_us);
    proc_command_add(&command, "--prefill-us=%u", shape->prefill_us);
    proc_command_add(&command, "--output-weight=%u", shape->output_weight);
    proc_command_add(&command, "--weights=%s", fleet->platform.address);
    if (shape->ignores_fencing) {
        proc_command_add(&command, "--ignore-fencing");
    }
    return start_standin(fleet, &endpoint->process, &command, endpoint->name);
}

static bool
start_service(fleet_fleet *fleet, fleet_endpoint *endpoint)
{
    static proc_command command;

    begin_command(fleet, &command, "fleet-service");
    proc_command_add(&command, "--slots=%u", fleet->shape.service_slots);
    proc_command_add(&command, "--time-us=%u", fleet->shape.service_time_us);
    return start_standin(fleet, &endpoint->process, &command, endpoint->name);
}

static bool
start_endpoints(fleet_fleet *fleet)
{
    const fleet_shape *shape = &fleet->shape;

    fleet->endpoint_count = shape->engines + shape->services;
    for (uint32_t i = 0; i < fleet->endpoint_count; i++) {
        fleet_endpoint *endpoint = &fleet->endpoints[i];
        bool is_started;

        endpoint->is_service = i >= shape->engines;
        endpoint->zone = i % shape->zones;
        snprintf(endpoint->name, FLEET_NAME_SIZE, "%s%u",
                 endpoint->is_service ? "service" : "engine",
                 endpoint->is_service ? i - shape->engines : i);
        is_started = endpoint->is_service ? start_service(fleet, endpoint)
                                          : start_engine(fleet, endpoint);
        if (!is_started) {
            return false;
        }
    }
    return true;
}

/* Each router has an IP number of its own, so that the proxy can tell where
 * a connection comes from. */
static void
choose_addresses(fleet_fleet *fleet)
{
    unsigned block = (unsigned)getpid() % 250;
    char ip[24];

    for (uint32_t i = 0; i < fleet->shape.routers; i++) {
        fleet_router *router = &fleet->routers[i];

        snprintf(router->name, FLEET_NAME_SIZE, "router%u", i);
        router->zone = i % fleet->shape.zones;
        snprintf(ip, sizeof ip, "127.%u.%u.%u",
                 1 + (unsigned)getpid() / 250 % 250, block, i + 1);
        snprintf(router->ip, HTTP_ADDRESS_SIZE, "%s", ip);
        snprintf(router->callers, HTTP_ADDRESS_SIZE, "%s:%u", ip,
                 proc_free_port(ip));
        snprintf(router->operator_address, HTTP_ADDRESS_SIZE, "%s:%u", ip,
                 proc_free_port(ip));
        snprintf(router->peer, HTTP_ADDRESS_SIZE, "%s:%u", ip,
                 proc_free_port(ip));
    }
}

static void
add_delay(json_t *faults, const char *source, const char *target,
          uint32_t delay_us)
{
    json_array_append_new(faults, json_pack("{s:s, s:s, s:I}", "source",
                                            source, "target", target,
                                            "delay_us", (json_int_t)delay_us));
}

static bool
set_delays(fleet_fleet *fleet)
{
    json_t *faults = json_array();
    char *text;
    bool is_done;

    for (uint32_t i = 0; i < fleet->shape.routers; i++) {
        for (uint32_t k = 0; k < fleet->shape.routers; k++) {
            if (fleet->routers[i].zone != fleet->routers[k].zone) {
                add_delay(faults, fleet->routers[i].ip, fleet->routers[k].name,
                          fleet->shape.zone_delay_us);
            }
        }
    }
    for (uint32_t i = 0; i < fleet->endpoint_count; i++) {
        add_delay(faults, "*", fleet->endpoints[i].name,
                  fleet->shape.zone_delay_us);
    }
    text = json_dumps(faults, JSON_COMPACT);
    is_done = fleet_tell(fleet->proxy.admin, "/admin/fault", text);
    free(text);
    json_decref(faults);
    return is_done;
}

static void
read_listen(json_t *listen, const char *name, char address[HTTP_ADDRESS_SIZE])
{
    const char *text = json_string_value(json_object_get(listen, name));

    snprintf(address, HTTP_ADDRESS_SIZE, "%s", text != NULL ? text : "");
}

static bool
start_proxy(fleet_fleet *fleet)
{
    static proc_command command;
    json_t *state;
    json_t *listen;

    begin_command(fleet, &command, "fleet-proxy");
    for (uint32_t i = 0; i < fleet->shape.routers; i++) {
        proc_command_add(&command, "%s=%s", fleet->routers[i].name,
                         fleet->routers[i].peer);
    }
    for (uint32_t i = 0; i < fleet->endpoint_count; i++) {
        proc_command_add(&command, "%s=%s", fleet->endpoints[i].name,
                         fleet->endpoints[i].process.address);
    }
    proc_command_add(&command, "platform=%s", fleet->platform.address);
    if (!start_standin(fleet, &fleet->proxy, &command, "proxy")) {
        return false;
    }
    state = http_json_wait(fleet->proxy.admin, "GET", "/admin/state", "");
    listen = json_object_get(state, "listen");
    for (uint32_t i = 0; i < fleet->shape.routers; i++) {
        read_listen(listen, fleet->routers[i].name,
                    fleet->routers[i].peer_proxy);
    }
    for (uint32_t i = 0; i < fleet->endpoint_count; i++) {
        read_listen(listen, fleet->endpoints[i].name,
                    fleet->endpoints[i].listed);
    }
    read_listen(listen, "platform", fleet->platform.address);
    json_decref(state);
    return (fleet->shape.zone_delay_us == 0 || set_delays(fleet)) ||
           fail(fleet, "the proxy did not take the delays");
}

bool
fleet_start_rest(fleet_fleet *fleet, const fleet_shape *shape)
{
    static proc_command command;

    memset(fleet, 0, sizeof *fleet);
    fleet->shape = *shape;
    set_defaults(&fleet->shape);
    snprintf(fleet->folder, sizeof fleet->folder,
             "/tmp/lavender-fleet-XXXXXX");
    if (mkdtemp(fleet->folder) == NULL) {
        return fail(fleet, "no folder in /tmp");
    }
    choose_addresses(fleet);
    begin_command(fleet, &command, "fleet-platform");
    return start_standin(fleet, &fleet->platform, &command, "platform") &&
           start_endpoints(fleet) && start_proxy(fleet) &&
           (fleet_publish_catalogue(fleet) ||
            fail(fleet, "catalogue not taken")) &&
           (fleet_publish_lists(fleet) || fail(fleet, "lists not taken"));
}

bool
fleet_start_router(fleet_fleet *fleet, uint32_t index)
{
    fleet_router *router = &fleet->routers[index];
    static proc_command command;
    char path[PROC_PATH_SIZE];
    char log[PROC_PATH_SIZE];

    if (!fleet_write_settings(fleet, router, path)) {
        return fail(fleet, "settings not written");
    }
    proc_command_init(&command, fleet->shape.daemon);
    proc_command_add(&command, "--config=%s", path);
    format_log(fleet, router->name, log);
    return proc_start(&router->process, &command, log) ||
           fail(fleet, "router not started");
}

bool
fleet_wait_ready(fleet_fleet *fleet, uint32_t index, uint64_t timeout_ms)
{
    fleet_router *router = &fleet->routers[index];
    uint64_t end = usage_now_us() + timeout_ms * 1000;
    bool is_ready = false;

    while (!is_ready && usage_now_us() < end) {
        http_call call;

        if (proc_wait_end(&router->process, 0)) {
            return fail(fleet, "a router ended before it was ready");
        }
        is_ready = http_call_wait(&call, router->operator_address, "GET",
                                  "/readyz", "", "", 1000) &&
                   call.status == 200;
        http_call_finish(&call);
        if (!is_ready) {
            proc_sleep_ms(STEP_MS);
        }
    }
    return is_ready || fail(fleet, "a router did not get ready");
}

bool
fleet_start(fleet_fleet *fleet, const fleet_shape *shape)
{
    if (!fleet_start_rest(fleet, shape)) {
        return false;
    }
    for (uint32_t i = 0; i < fleet->shape.routers; i++) {
        if (!fleet_start_router(fleet, i)) {
            return false;
        }
    }
    for (uint32_t i = 0; i < fleet->shape.routers; i++) {
        if (!fleet_wait_ready(fleet, i, READY_MS)) {
            return false;
        }
    }
    return true;
}

static void
remove_folder(const char *folder)
{
    DIR *items = opendir(folder);
    struct dirent *item;
    char path[PROC_PATH_SIZE];

    if (items == NULL) {
        return;
    }
    while ((item = readdir(items)) != NULL) {
        if (item->d_name[0] != '.') {
            snprintf(path, sizeof path, "%.200s/%.255s", folder, item->d_name);
            unlink(path);
        }
    }
    closedir(items);
    rmdir(folder);
}

void
fleet_stop(fleet_fleet *fleet, bool keeps_folder)
{
    for (uint32_t i = 0; i < fleet->shape.routers; i++) {
        proc_kill(&fleet->routers[i].process);
    }
    for (uint32_t i = 0; i < fleet->endpoint_count; i++) {
        proc_kill(&fleet->endpoints[i].process);
    }
    proc_kill(&fleet->proxy);
    proc_kill(&fleet->platform);
    if (!keeps_folder) {
        remove_folder(fleet->folder);
    }
}

bool
fleet_tell(const char *admin, const char *path, const char *json)
{
    json_t *answer = http_json_wait(admin, "POST", path, json);
    bool is_done = answer != NULL;

    json_decref(answer);
    return is_done;
}

long long
fleet_count(const char *admin, const char *path, const char *name)
{
    json_t *answer = http_json_wait(admin, "GET", path, "");
    json_t *value = json_object_get(answer, name);
    long long count = json_is_integer(value) ? json_integer_value(value) : -1;

    json_decref(answer);
    return count;
}

double
fleet_metric(const fleet_fleet *fleet, uint32_t router, const char *line)
{
    size_t length = strlen(line);
    double value = -1;
    http_call call;

    if (http_call_wait(&call, fleet->routers[router].operator_address, "GET",
                       "/metrics", "", "", 5000) &&
        call.body != NULL) {
        const char *at = call.body;

        while (at != NULL) {
            if (strncmp(at, line, length) == 0 && at[length] == ' ') {
                value = strtod(at + length, NULL);
            }
            at = strchr(at, '\n');
            at = at != NULL ? at + 1 : NULL;
        }
    }
    http_call_finish(&call);
    return value;
}

uint32_t
fleet_dispatcher(const fleet_fleet *fleet, const char *pool)
{
    uint32_t found = fleet->shape.routers;
    char line[160];
    double most = 0;

    snprintf(line, sizeof line,
             "lavender_dispatcher_slots{pool=\"%s\",shard=\"0\"}", pool);
    for (uint32_t i = 0; i < fleet->shape.routers; i++) {
        double slots = fleet->routers[i].process.pid > 0
                           ? fleet_metric(fleet, i, line)
                           : 0;

        if (slots > most) {
            most = slots;
            found = i;
        }
    }
    return found;
}

json_t *
fleet_status(const fleet_fleet *fleet, uint32_t router)
{
    return http_json_wait(fleet->routers[router].operator_address, "GET",
                          "/v1/status", "");
}

uint64_t
fleet_revision(const fleet_fleet *fleet, uint32_t router)
{
    json_t *status = fleet_status(fleet, router);
    json_t *documents = json_object_get(status, "documents");
    json_t *catalogue = json_object_get(documents, "catalogue");
    uint64_t revision =
        (uint64_t)json_integer_value(json_object_get(catalogue, "revision"));

    json_decref(status);
    return revision;
}

uint32_t
fleet_members(const fleet_fleet *fleet, uint32_t router)
{
    json_t *status = fleet_status(fleet, router);
    uint32_t count =
        (uint32_t)json_array_size(json_object_get(status, "members"));

    json_decref(status);
    return count;
}

bool
fleet_partition(fleet_fleet *fleet, uint32_t left, uint32_t right)
{
    char text[512];

    snprintf(text, sizeof text,
             "[{\"source\": \"%s\", \"target\": \"%s\", \"partition\": true},"
             "{\"source\": \"%s\", \"target\": \"%s\", \"partition\": true}]",
             fleet->routers[left].ip, fleet->routers[right].name,
             fleet->routers[right].ip, fleet->routers[left].name);
    return fleet_tell(fleet->proxy.admin, "/admin/fault", text);
}

bool
fleet_heal(fleet_fleet *fleet)
{
    return fleet_tell(fleet->proxy.admin, "/admin/fault", "{\"heal\": true}");
}
