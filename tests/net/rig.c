#include "rig.h"

#include <openssl/sha.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define START_TIMEOUT_MS 20000
#define POLL_MS 20
#define END_TIMEOUT_MS 30000

static FILE *
open_file(const rig_rig *rig, const char *name, char path[PROC_PATH_SIZE])
{
    snprintf(path, PROC_PATH_SIZE, "%.400s/%.64s", rig->folder, name);
    return fopen(path, "w");
}

static void
write_account(FILE *file, const char *name, const char *lines)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    char key[64];
    size_t i;

    snprintf(key, sizeof key, "key-of-%s", name);
    SHA256((const unsigned char *)key, strlen(key), digest);
    fprintf(file, "[account %s]\nweight = 1\nkey_digest = ", name);
    for (i = 0; i < sizeof digest; i++) {
        fprintf(file, "%02x", digest[i]);
    }
    fprintf(file, "\n[entry %s/work]\npriority = urgent\n%s\n%s", name, lines,
            strstr(lines, "deadline") == NULL ? "deadline = 30s\n" : "");
}

static bool
write_catalogue(const rig_rig *rig, const rig_shape *shape)
{
    char path[PROC_PATH_SIZE];
    FILE *file = open_file(rig, "head.ini", path);

    if (file == NULL) {
        return false;
    }
    fprintf(file, "[catalogue]\nrevision = 1\n"
                  "[pool models]\nkind = engine\nslots = 4\n"
                  "input_weight = 1\noutput_weight = 2\nquantum = 1000\n"
                  "urgent_credit = 1000\nhold = 5ms\nfencing = checked\n"
                  "default_cost = 100\n"
                  "[pool plots]\nkind = service\nslots = 4\n"
                  "quantum = 1000\nurgent_credit = 1000\nhold = 5ms\n"
                  "default_cost = 20\n"
                  "[route /v1/chat/completions]\npool = by-model\n"
                  "idempotent = yes\n"
                  "[route /book]\npool = plots\nidempotent = no\n"
                  "match = prefix\n"
                  "[route /lookup]\npool = plots\nidempotent = yes\n"
                  "match = prefix\n"
                  "[model m]\npool = models\ncopies = all\nsize = 1MiB\n");
    fprintf(file, "%s\n", shape->catalogue == NULL ? "" : shape->catalogue);
    write_account(file, "alpha", shape->entry == NULL ? "" : shape->entry);
    write_account(file, "beta", "");
    return fclose(file) == 0;
}

static bool
write_lists(const rig_rig *rig, const rig_shape *shape)
{
    char path[PROC_PATH_SIZE];
    FILE *file = open_file(rig, "lists.ini", path);
    uint32_t i;

    if (file == NULL) {
        return false;
    }
    fprintf(file, "[list]\nrevision = 1\n[zone zone1]\nregion = home\n");
    for (i = 0; i < rig->router_count; i++) {
        fprintf(file,
                "[instance %s]\nzone = zone1\npeer = %s\nhttp = %s\n"
                "state = live\n",
                rig->routers[i].name, rig->routers[i].peer,
                rig->routers[i].callers);
    }
    fprintf(file,
            "[endpoint engine1]\npool = models\nzone = zone1\n"
            "address = %s\nstate = live\n"
            "[endpoint service1]\npool = plots\nzone = zone1\n"
            "address = %s\nstate = live\n",
            rig->engine.address,
            shape->service_address == NULL ? rig->service.address
                                           : shape->service_address);
    return fclose(file) == 0;
}

static bool
write_settings(const rig_rig *rig, rig_router *router, const rig_shape *shape)
{
    char name[64], path[PROC_PATH_SIZE];
    FILE *file;

    snprintf(name, sizeof name, "%s.ini", router->name);
    file = open_file(rig, name, path);
    if (file == NULL) {
        return false;
    }
    memcpy(router->settings, path, sizeof path);
    fprintf(file,
            "[instance]\nname = %s\nzone = zone1\n"
            "[listen]\ncallers = %s\noperator = %s\npeer = %s\n%s\n"
            "[platform]\nsource = file\nfolder = %s\n"
            "[tickets]\nkey = 000102030405060708090a0b0c0d0e0f"
            "101112131415161718191a1b1c1d1e1f\n%s\n"
            "[documents]\nstart_wait = 100ms\n%s\n",
            router->name, router->callers, router->operator_address,
            router->peer, shape->listen == NULL ? "" : shape->listen,
            rig->folder, shape->tickets == NULL ? "" : shape->tickets,
            shape->settings == NULL ? "" : shape->settings);
    return fclose(file) == 0;
}

static void
add_option(proc_command *command, const char *option, uint32_t value)
{
    if (value > 0) {
        proc_command_add(command, "%s", option);
        proc_command_add(command, "%u", value);
    }
}

static bool
start_endpoints(rig_rig *rig, const rig_shape *shape)
{
    proc_command command;

    proc_command_init(&command, FLEET_PROGRAMS "/fleet-engine");
    add_option(&command, "--token-us", shape->token_us);
    add_option(&command, "--linger", shape->linger_ms);
    if (!proc_start(&rig->engine, &command, rig->log) ||
        !proc_wait_ready(&rig->engine, START_TIMEOUT_MS)) {
        return false;
    }
    proc_command_init(&command, FLEET_PROGRAMS "/fleet-service");
    add_option(&command, "--time-us", shape->service_time_us);
    return proc_start(&rig->service, &command, rig->log) &&
           proc_wait_ready(&rig->service, START_TIMEOUT_MS);
}

bool
rig_wait_status(const char *operator_address, const char *path)
{
    uint64_t waited;
    rig_answer answer;
    bool is_ready;

    for (waited = 0; waited < START_TIMEOUT_MS; waited += POLL_MS) {
        rig_ask(operator_address, "GET", path, "", "", &answer);
        is_ready = answer.status == 200;
        rig_answer_finish(&answer);
        if (is_ready) {
            return true;
        }
        proc_sleep_ms(POLL_MS);
    }
    return false;
}

bool
rig_start_router(rig_rig *rig, uint32_t index)
{
    rig_router *router = &rig->routers[index];
    proc_command command;

    proc_command_init(&command, FLEET_DAEMON);
    proc_command_add(&command, "--config");
    proc_command_add(&command, "%s", router->settings);
    return proc_start(&router->process, &command, rig->log) &&
           rig_wait_status(router->operator_address,
                           rig->has_no_catalogue ? "/healthz" : "/readyz");
}

/* Each process and router has a loopback address of its own, so that tests
 * that run at the same time do not take each other's ports. */
static void
name_router(rig_router *router, uint32_t index)
{
    uint32_t pid = (uint32_t)getpid();
    uint16_t port;
    char ip[32];

    snprintf(ip, sizeof ip, "127.%u.%u.%u", 1 + (pid >> 15) % 254,
             (pid >> 7) & 0xff, (pid & 0x7f) + index * 0x80);
    port = proc_free_port(ip);
    port = port < UINT16_MAX - 2 ? port : port - 2;
    snprintf(router->name, sizeof router->name, "router%u", index + 1);
    snprintf(router->callers, sizeof router->callers, "%s:%u", ip, port);
    snprintf(router->operator_address, sizeof router->operator_address,
             "%s:%u", ip, port + 1U);
    snprintf(router->peer, sizeof router->peer, "%s:%u", ip, port + 2U);
}

bool
rig_start(rig_rig *rig, const rig_shape *shape)
{
    uint32_t i;

    memset(rig, 0, sizeof *rig);
    snprintf(rig->folder, sizeof rig->folder, "/tmp/rig-XXXXXX");
    if (mkdtemp(rig->folder) == NULL) {
        return false;
    }
    memcpy(rig->log, rig->folder, strlen(rig->folder));
    memcpy(rig->log + strlen(rig->folder), "/log", sizeof "/log");
    rig->has_no_catalogue = shape->has_no_catalogue;
    rig->router_count = shape->has_two_routers ? 2 : 1;
    if (!start_endpoints(rig, shape)) {
        return false;
    }
    for (i = 0; i < rig->router_count; i++) {
        name_router(&rig->routers[i], i);
    }
    if ((!shape->has_no_catalogue && !write_catalogue(rig, shape)) ||
        !write_lists(rig, shape)) {
        return false;
    }
    for (i = 0; i < rig->router_count; i++) {
        if (!write_settings(rig, &rig->routers[i], shape) ||
            !rig_start_router(rig, i)) {
            return false;
        }
    }
    return true;
}

static void
remove_file(const rig_rig *rig, const char *name)
{
    char path[PROC_PATH_SIZE];

    snprintf(path, sizeof path, "%.400s/%.64s", rig->folder, name);
    unlink(path);
}

/* A router that still runs must drain and end by itself, without a word of
 * the sanitizers. */
static bool
end_router(rig_router *router)
{
    if (router->process.pid == 0) {
        return true;
    }
    proc_signal(&router->process, SIGTERM);
    if (!proc_wait_end(&router->process, END_TIMEOUT_MS)) {
        fprintf(stderr, "%s does not end\n", router->name);
        proc_kill(&router->process);
        return false;
    }
    if (!WIFEXITED(router->process.status) ||
        WEXITSTATUS(router->process.status) != 0) {
        fprintf(stderr, "%s ended with status %#x\n", router->name,
                (unsigned)router->process.status);
        return false;
    }
    return true;
}

/* With RIG_KEEP in the environment the folder stays for a look. */
bool
rig_stop(rig_rig *rig)
{
    bool is_good = true;
    uint32_t i;
    char name[64];

    for (i = 0; i < rig->router_count; i++) {
        is_good &= end_router(&rig->routers[i]);
    }
    proc_kill(&rig->engine);
    proc_kill(&rig->service);
    if (getenv("RIG_KEEP") != NULL || !is_good) {
        fprintf(stderr, "the log is %s\n", rig->log);
        return is_good;
    }
    for (i = 0; i < rig->router_count; i++) {
        snprintf(name, sizeof name, "%s.ini", rig->routers[i].name);
        remove_file(rig, name);
    }
    remove_file(rig, "head.ini");
    remove_file(rig, "lists.ini");
    remove_file(rig, "log");
    rmdir(rig->folder);
    return true;
}

bool
rig_tell(const proc_process *process, const char *json)
{
    rig_answer answer;
    bool is_taken;

    rig_ask(process->admin, "POST", "/admin/fault", "", json, &answer);
    is_taken = answer.status == 200;
    rig_answer_finish(&answer);
    return is_taken;
}

long long
rig_count(const proc_process *process, const char *path, const char *name)
{
    rig_answer answer;
    json_t *root;
    const json_t *value;
    long long count = -1;

    rig_ask(process->admin, "GET", path, "", "", &answer);
    root = json_loads(answer.body == NULL ? "" : answer.body, 0, NULL);
    value = json_object_get(root, name);
    if (json_is_integer(value)) {
        count = json_integer_value(value);
    }
    json_decref(root);
    rig_answer_finish(&answer);
    return count;
}
