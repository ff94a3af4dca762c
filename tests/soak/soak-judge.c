#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

/* A configuration whose effect was seen may be missing in requests sent this
 * soon after. */
#define ROLLBACK_SLACK (250 * LV_MILLISECOND)

/* From a caller's leaving until nobody works for it. */
#define LEFT_BOUND (500 * LV_MILLISECOND)

/* After the last fault, until every request is served again. */
#define RECOVERY_TIME (4 * LV_SECOND)

void
judge_fault(soak_world *world, const char *format, ...)
{
    va_list arguments;

    world->violations++;
    printf("seed %llu, %.3f s: VIOLATION: ", (unsigned long long)world->seed,
           (double)(io_now() - world->started_at) / LV_SECOND);
    va_start(arguments, format);
    vprintf(format, arguments);
    va_end(arguments);
    putchar('\n');
    fflush(stdout);
}

void
judge_write_body(uint32_t call, char *text, size_t size)
{
    size_t used = 0;

    for (int i = 0; i < 8; i++) {
        used += (size_t)snprintf(text + used, size - used, "c%u ", call);
    }
    snprintf(text + used, size - used, "end\n");
}

uint32_t
judge_send(soak_world *world, const soak_call *call)
{
    if (world->call_count == world->call_capacity) {
        world->call_capacity =
            world->call_capacity > 0 ? world->call_capacity * 2 : 1024;
        world->calls =
            realloc(world->calls, world->call_capacity * sizeof *world->calls);
    }
    world->calls[world->call_count] = *call;
    return world->call_count++;
}

static lv_time
later(lv_time one, lv_time other)
{
    return one > other ? one : other;
}

static bool
may_repeat(const soak_call *call)
{
    return call->kind == SOAK_MANY || call->kind == SOAK_PROBE;
}

/* Did nothing happen to the process since, that would excuse it? */
static bool
is_same_process(const soak_world *world, const soak_call *call)
{
    const soak_daemon *daemon = &world->daemons[call->daemon];

    return daemon->life == call->life && daemon->state == DAEMON_RUNNING &&
           daemon->good_since < call->sent_at;
}

void
judge_run(soak_world *world, uint32_t number, const soak_endpoint *at)
{
    soak_call *call = &world->calls[number];
    const soak_daemon *daemon = &world->daemons[call->daemon];
    lv_time told_at = later(at->changed_at, daemon_calm_since(daemon));

    call->runs++;
    world->repeats += call->runs > 1;
    if (call->runs > (may_repeat(call) ? SOAK_ATTEMPTS : 1)) {
        judge_fault(world, "c%u (kind %d) runs for the %u. time", number,
                    call->kind, call->runs);
    }
    if (call->is_refused) {
        judge_fault(world, "c%u runs, and was said not to", number);
    }
    if (!at->is_listed && daemon_calm_since(daemon) != LV_TIME_NEVER &&
        call->sent_at > told_at + SOAK_LEAVE_BOUND + SOAK_MARGIN) {
        judge_fault(world, "c%u runs at e-%u, which left", number, at->number);
    }
}

void
judge_refused(soak_world *world, uint32_t number)
{
    soak_call *call = &world->calls[number];

    call->is_over = true;
    call->is_refused = true;
    world->refusals++;
    if (call->runs > 0) {
        judge_fault(world, "c%u is said not to have run, and it has", number);
    }
}

static bool
must_be_served(const soak_world *world, const soak_call *call)
{
    return world->is_calm && call->sent_at > world->calm_at + RECOVERY_TIME;
}

/* Is the probed version surely in force where it was probed? */
static bool
is_in_force(const soak_world *world, const soak_call *call)
{
    const soak_daemon *daemon = &world->daemons[call->daemon];
    lv_time calm_since = daemon_calm_since(daemon);
    lv_time told_at = later(
        calm_since, world->version_at[call->version % SOAK_VERSIONS_MAX]);

    return call->version == world->version && calm_since != LV_TIME_NEVER &&
           call->sent_at > told_at + SOAK_CONFIG_BOUND + SOAK_MARGIN;
}

static void
judge_probe(soak_world *world, uint32_t number, uint32_t status)
{
    const soak_call *call = &world->calls[number];
    soak_daemon *daemon = &world->daemons[call->daemon];
    bool is_later = call->sent_at > daemon->version_at + ROLLBACK_SLACK;

    if (call->life != daemon->life) {
        return;
    }
    if (status == 200 && call->version > daemon->version) {
        daemon->version = call->version;
        daemon->version_at = io_now();
    }
    else if (status == 200 && call->version < daemon->version && is_later) {
        judge_fault(world, "c%u: router-%u went back from version %u to %u",
                    number, call->daemon, daemon->version, call->version);
    }
    else if (status == 404 && call->version == daemon->version &&
             call->version == world->version && is_later) {
        judge_fault(world, "c%u: router-%u has lost version %u", number,
                    call->daemon, call->version);
    }
    if (status == 404 && is_in_force(world, call)) {
        judge_fault(world, "c%u: version %u is not in force at router-%u",
                    number, call->version, call->daemon);
    }
}

void
judge_answer(soak_world *world, uint32_t number, uint32_t status,
             bool is_right)
{
    soak_call *call = &world->calls[number];

    call->is_over = true;
    world->answers++;
    if (status == 200 && !is_right) {
        judge_fault(world, "c%u: not its answer, or not the whole", number);
    }
    if (status == 200 && call->runs == 0) {
        judge_fault(world, "c%u: an answer, and it did not run", number);
    }
    if (call->kind == SOAK_PROBE) {
        judge_probe(world, number, status);
        return;
    }
    if (status == 404 || status == 401 || status == 400) {
        judge_fault(world, "c%u: %u for a proper request", number, status);
    }
    if (status != 200 && must_be_served(world, call)) {
        judge_fault(world, "c%u: %u after the faults", number, status);
    }
    if (status == 200 && must_be_served(world, call)) {
        world->daemons[call->daemon].served_lately++;
    }
}

void
judge_cut(soak_world *world, uint32_t number, bool has_begun)
{
    soak_call *call = &world->calls[number];

    call->is_over = true;
    if (!has_begun && is_same_process(world, call)) {
        judge_fault(world, "c%u: no answer from router-%u (runs %u)", number,
                    call->daemon, call->runs);
    }
    else if (must_be_served(world, call) && is_same_process(world, call)) {
        judge_fault(world, "c%u: cut after the faults", number);
    }
}

void
judge_waiting(soak_world *world, uint32_t number, lv_time now)
{
    soak_call *call = &world->calls[number];

    if (!call->is_over && is_same_process(world, call) &&
        now > call->sent_at + SOAK_TIMEOUT + LEFT_BOUND + SOAK_MARGIN) {
        call->is_over = true;
        judge_fault(world, "c%u: no answer in time from router-%u", number,
                    call->daemon);
    }
}

void
judge_working(soak_world *world, uint32_t number,
              const soak_endpoint *endpoint, lv_time now)
{
    soak_call *call = &world->calls[number];
    bool is_reached = endpoint->link.fault == LINK_GOOD &&
                      endpoint->link.good_since < call->left_at;

    if (call->left_at != 0 && is_reached && is_same_process(world, call) &&
        now > call->left_at + LEFT_BOUND + SOAK_MARGIN) {
        call->left_at = 0;
        judge_fault(world, "c%u: e-%u still works on it", number,
                    endpoint->number);
    }
}

void
judge_end(soak_world *world)
{
    uint32_t allowed =
        world->call_count * SOAK_BUDGET_PERCENT / 100 + SOAK_BUDGET_SLACK;

    for (uint32_t i = 0; i < world->daemon_count; i++) {
        soak_daemon *daemon = &world->daemons[i];
        double in_hand = daemon_metric(daemon, "lavender_in_hand");
        double sent = daemon_metric(daemon, "lavender_peer_bytes_total");
        double seconds =
            (double)(io_now() - daemon->begun_at) / (double)LV_SECOND;

        world->peer_rate += sent / seconds / world->daemon_count;

        if (in_hand != 0) {
            judge_fault(world, "router-%u has %.0f requests in hand", i,
                        in_hand);
        }
        if (world->plant == SOAK_PLANT_NONE && daemon->served_lately == 0) {
            judge_fault(world, "router-%u served nothing after the faults", i);
        }
    }
    if (world->repeats > allowed) {
        judge_fault(world, "%u repeats of %u requests, %u allowed",
                    world->repeats, world->call_count, allowed);
    }
}
