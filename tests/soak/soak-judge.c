#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

/* A configuration whose effect was seen may be missing in requests sent this
 * soon after. */
#define ROLLBACK_SLACK (250 * LV_MILLISECOND)

/* From a caller's leaving until nobody works for it. */
#define LEFT_BOUND (500 * LV_MILLISECOND)

/* A process that ends leaves so much of its grace. */
#define GRACE_RESERVE (600 * LV_MILLISECOND)

/* What is said of a mistake when it is found. */
static const char *const plant_findings[SOAK_PLANT_COUNT] = {
    [SOAK_PLANT_NONE] = "",
    [SOAK_PLANT_TWICE] = "runs for the",
    [SOAK_PLANT_SWAP] = "not its answer",
    [SOAK_PLANT_CUT] = "not the whole",
    [SOAK_PLANT_LIE] = "said not to have run",
    [SOAK_PLANT_LATE] = "no answer in time",
    [SOAK_PLANT_LEAVE] = "which left",
    [SOAK_PLANT_OLD] = "router-0 ",
    [SOAK_PLANT_STALE] = "is not in force",
    [SOAK_PLANT_BUDGET] = "repeats of",
    [SOAK_PLANT_WORK] = "still works on it",
    [SOAK_PLANT_KEPT] = "in hand",
    [SOAK_PLANT_SILENT] = "was only silent",
    [SOAK_PLANT_DROP] =
        "neither an answer nor a refusal from router-0 (ending",
    [SOAK_PLANT_CLOSE] =
        "neither an answer nor a refusal from router-0 (paused",
    [SOAK_PLANT_WORD] = "which leaves by its word",
    [SOAK_PLANT_AGAIN] = "in its back-off",
    [SOAK_PLANT_LIMIT] = "under its limit",
    [SOAK_PLANT_BLOCK] = "with the block that crashed",
    [SOAK_PLANT_REPEAT] = "repeat of the request that crashed",
    [SOAK_PLANT_MIXED] = "goes on at software",
    [SOAK_PLANT_ZONE] = "whose zone is evacuated",
    [SOAK_PLANT_MALFORMED] = "malformed answer"};

void
judge_fault(soak_world *world, const char *format, ...)
{
    char text[512];
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    world->violations++;
    world->plants_found += strstr(text, plant_findings[world->plant]) != NULL;
    printf("seed %llu, %.3f s: VIOLATION: %s\n",
           (unsigned long long)world->seed,
           (double)(io_now() - world->started_at) / LV_SECOND, text);
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
is_long(const soak_call *call)
{
    return call->kind == SOAK_LONG || call->kind == SOAK_RESUME;
}

static bool
may_repeat(const soak_call *call)
{
    return call->kind == SOAK_MANY || call->kind == SOAK_PROBE ||
           is_long(call);
}

static lv_time
timeout_of(const soak_call *call)
{
    return is_long(call) ? SOAK_LONG_TIMEOUT : SOAK_TIMEOUT;
}

/* Did nothing happen to the process since, that would excuse it? */
static bool
is_same_process(const soak_world *world, const soak_call *call)
{
    const soak_daemon *daemon = &world->daemons[call->daemon];

    return daemon->life == call->life && daemon->state == DAEMON_RUNNING &&
           daemon->good_since < call->sent_at;
}

/* The process that the request was sent to runs, or is paused, and is not at
 * the end of its grace. */
static bool
is_process_there(const soak_world *world, const soak_call *call)
{
    const soak_daemon *daemon = &world->daemons[call->daemon];

    return daemon->life == call->life && daemon->state != DAEMON_DOWN &&
           (daemon->state != DAEMON_STOPPING ||
            io_now() < daemon->stop_at + SOAK_GRACE - GRACE_RESERVE);
}

/* A connection that was idle for long enough may close while a request is on
 * its way; one that ends may close all that are idle. */
static bool
may_cross(const soak_call *call)
{
    return !call->has_arrived && call->runs == 0 &&
           call->idle >= SOAK_IDLE_LEAST;
}

/* Nothing but silences happened to it at its endpoints and its gateway. */
static bool
has_sound_endpoints(const soak_world *world, const soak_call *call)
{
    const soak_daemon *daemon = &world->daemons[call->daemon];

    for (uint32_t i = 0; i < SOAK_ENDPOINTS; i++) {
        const link_transport *link = &world->endpoints[i].link;

        if ((call->ran_at & 1U << i) != 0 &&
            (link->fault != LINK_GOOD || link->good_since >= call->sent_at)) {
            return false;
        }
    }
    return is_long(call) && call->runs > 0 && !call->is_treated_badly &&
           is_process_there(world, call) && !daemon->is_stopped &&
           daemon->good_since < call->sent_at;
}

void
judge_run(soak_world *world, uint32_t number, const soak_endpoint *at)
{
    soak_call *call = &world->calls[number];
    const soak_daemon *daemon = &world->daemons[call->daemon];
    lv_time told_at = later(at->changed_at, daemon_calm_since(daemon));

    call->runs++;
    call->ran_at |= 1U << at->number;
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
    return world->is_calm && call->sent_at > world->calm_at + SOAK_RECOVERY;
}

/* Is the newest version surely in force where the request was sent? */
static bool
is_newest_in_force(const soak_world *world, const soak_call *call)
{
    lv_time reached_since =
        daemon_reached_since(&world->daemons[call->daemon]);
    lv_time written_at = world->version_at[world->version % SOAK_VERSIONS_MAX];

    return reached_since != LV_TIME_NEVER &&
           call->sent_at > later(reached_since + SOAK_CONTACT,
                                 written_at + SOAK_CONFIG_BOUND) +
                               SOAK_CONFIG_MARGIN;
}

static void
judge_probe(soak_world *world, uint32_t number, uint32_t status)
{
    const soak_call *call = &world->calls[number];
    soak_daemon *daemon = &world->daemons[call->daemon];
    bool is_later = call->sent_at > daemon->version_at + ROLLBACK_SLACK;
    bool is_unknown = status == 404 || status == 401;

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
    else if (is_unknown && call->version == daemon->version &&
             call->version == world->version && is_later) {
        judge_fault(world, "c%u: router-%u has lost version %u", number,
                    call->daemon, call->version);
    }
    if (!is_newest_in_force(world, call)) {
        return;
    }
    if (is_unknown && call->version == world->version) {
        judge_fault(world, "c%u: version %u is not in force at router-%u",
                    number, call->version, call->daemon);
    }
    if (status == 200 && call->version < world->version) {
        judge_fault(world,
                    "c%u: version %u is in force at router-%u, and %u "
                    "is not in force",
                    number, call->version, call->daemon, world->version);
    }
}

void
judge_answer(soak_world *world, uint32_t number, uint32_t status,
             bool is_right)
{
    soak_call *call = &world->calls[number];

    call->is_over = true;
    world->answers++;
    if (status == 200 || status == 500) {
        notice_passed_on(world, number);
        limit_passed_on(world, number);
    }
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
    if (status != 200 && has_sound_endpoints(world, call)) {
        judge_fault(world, "c%u: %u, and its endpoint was only silent", number,
                    status);
    }
    if (status != 200 && must_be_served(world, call)) {
        judge_fault(world, "c%u: %u after the faults", number, status);
    }
    if (status == 200 && must_be_served(world, call)) {
        world->daemons[call->daemon].served_lately++;
    }
}

static unsigned
since_ms(lv_time at)
{
    return (unsigned)(lv_elapsed(io_now(), at) / LV_MILLISECOND);
}

static const char *
state_of(const soak_world *world, const soak_call *call)
{
    static const char *const states[] = {"down", "running", "paused",
                                         "ending"};

    return states[world->daemons[call->daemon].state];
}

void
judge_cut(soak_world *world, uint32_t number, uint32_t status)
{
    bool has_begun = status != 0;
    soak_call *call = &world->calls[number];

    call->is_over = true;
    if (has_begun && has_sound_endpoints(world, call)) {
        judge_fault(world, "c%u: cut, and its endpoint was only silent",
                    number);
    }
    else if (!has_begun && call->has_arrived &&
             is_process_there(world, call)) {
        judge_fault(world,
                    "c%u: neither an answer nor a refusal from router-%u "
                    "(%s; sent %u ms ago, alone since %u ms; runs %u)",
                    number, call->daemon, state_of(world, call),
                    since_ms(call->sent_at), since_ms(call->first_at),
                    call->runs);
    }
    else if (!has_begun && is_same_process(world, call) && !may_cross(call)) {
        judge_fault(world,
                    "c%u: no answer from router-%u (runs %u, idle %u ms)",
                    number, call->daemon, call->runs,
                    (unsigned)(call->idle / LV_MILLISECOND));
    }
    else if (has_begun && must_be_served(world, call) &&
             is_same_process(world, call)) {
        judge_fault(world,
                    "c%u: %u, cut after the faults by router-%u (kind %d, "
                    "runs %u, sent %u ms ago, first since %u ms)",
                    number, status, call->daemon, (int)call->kind, call->runs,
                    since_ms(call->sent_at), since_ms(call->first_at));
    }
}

void
judge_behind(soak_world *world, uint32_t number, bool is_last_known)
{
    soak_call *call = &world->calls[number];

    call->is_over = true;
    if (!is_last_known) {
        return;
    }
    call->is_refused = true;
    if (call->runs > 0) {
        judge_fault(world, "c%u ran behind the last answer", number);
    }
}

/* The time runs anew when a paused process goes on, and for a request behind
 * others when they are answered. */
void
judge_waiting(soak_world *world, uint32_t number, lv_time now)
{
    soak_call *call = &world->calls[number];
    const soak_daemon *daemon = &world->daemons[call->daemon];
    lv_time since = later(call->first_at, daemon->good_since);

    if (!call->is_over && is_process_there(world, call) &&
        !daemon->is_stopped &&
        now > since + timeout_of(call) + LEFT_BOUND + SOAK_MARGIN) {
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
