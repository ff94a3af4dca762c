#include <stdio.h>

#include "gate-imp.h"

/* Holders answer within an iteration of their loops and one network round
 * trip. They are asked again, as datagrams may be lost. */
#define QUESTION_INTERVAL (25 * LV_MILLISECOND)
#define QUESTIONS_MAX 3

static unsigned long long
to_ms(lv_time time)
{
    return (unsigned long long)(time / LV_MILLISECOND);
}

const char *
gate_account_name(const gate_request *request)
{
    return request->account != NULL ? request->account->name : NULL;
}

/* Has the list of endpoints brought up to date, as the stream may have begun
 * on an endpoint that was added a moment ago. Returns whether to wait for the
 * store's reply; false when the store is unreachable or has not replied in
 * time. */
static bool
await_list(gate_request *request, lv_time now)
{
    gate_server *gate = request->gate;
    store_feed *feed = &gate->feeds[WIRE_ENDPOINTS];

    if (request->list_awaited_at == 0) {
        request->list_awaited_at = now;
    }
    if (feed->lost_at != 0 || lv_elapsed(now, request->list_awaited_at) >=
                                  gate->settings.store.timeout) {
        return false;
    }
    store_feed_check(feed, request->received_at);
    request->state = GATE_AWAITING_ORIGIN;
    return true;
}

/* Uses the service's only version as reported by peers. Returns false if this
 * instance's list has another version. */
static bool
use_sole_version(gate_request *request, lv_time now)
{
    lv_id listed;

    ver_find(&request->gate->versions, request->service, DIG_NONE, now,
             &listed);
    if (request->sole_version == LV_ID_NONE || request->is_sole_conflicting ||
        request->sole_version != listed) {
        return false;
    }
    request->version = listed;
    return true;
}

static void
log_states(const gate_request *request, lv_time from, lv_time now)
{
    const gate_server *gate = request->gate;
    lv_time lag = lag_find(&gate->peers.list_lag,
                           lv_elapsed(now, request->route->timeout), now);
    char id[LOG_REQUEST_SIZE];

    log_event(LOG_LEVEL_INFO, now, "origin-states",
              "request=%s from_ms=%llu peer_list_ms=%llu covered_ms=%llu "
              "proven_ms=%llu",
              gate_request_label(request->decoded.attempt_id, id),
              to_ms(lv_elapsed(now, from)), to_ms(lv_elapsed(now, lag)),
              to_ms(lv_elapsed(now, gate->versions.covered_since)),
              to_ms(lv_elapsed(now, gate->versions.proven_since)));
}

static ver_verdict
find_version(gate_request *request, lv_time now)
{
    gate_server *gate = request->gate;
    lv_time from = gate_earliest_begin(request, now);

    log_states(request, from, now);
    if (org_is_conflicting(&gate->origins, request->stream_key) ||
        gate_is_route_split(request->config, request->route, now)) {
        return VER_AMBIGUOUS;
    }
    return ver_find(&gate->versions, request->service,
                    gate_version_key(request), from, &request->version);
}

static bool
has_version(const gate_server *gate, lv_id service, lv_id version)
{
    lv_handle row;

    for (row = 0; row < gate->endpoints.capacity; row++) {
        const eng_endpoint *endpoint = &gate->endpoints.endpoints[row];

        if (endpoint->is_used && endpoint->is_published &&
            endpoint->spec.service == service &&
            endpoint->spec.version_id == version) {
            return true;
        }
    }
    return false;
}

/* Selects the service that began the stream, if the route still has it.
 * Otherwise no endpoint matches, since versions of two services differ. */
static void
follow_origin(gate_request *request)
{
    const rt_table *config = request->config;
    const rt_route *route = request->route;
    uint32_t i;

    for (i = 0; i < route->backend_count; i++) {
        lv_id service = config->backends[route->first_backend + i].service;

        if (has_version(request->gate, service, request->version)) {
            request->service = service;
            return;
        }
    }
}

/* Infers the service of a stream from its version's name, as an instance of an
 * earlier release tells no service. Returns LV_ID_NONE if several may be. */
static lv_id
infer_service(const gate_request *request, lv_id version)
{
    const rt_table *config = request->config;
    const rt_route *route = request->route;
    lv_id found = LV_ID_NONE;
    uint32_t i;

    for (i = 0; i < route->backend_count; i++) {
        lv_id service = config->backends[route->first_backend + i].service;

        if (service == found ||
            !has_version(request->gate, service,
                         eng_version_id(service, version))) {
            continue;
        }
        if (found != LV_ID_NONE) {
            return LV_ID_NONE;
        }
        found = service;
    }
    if (gate_is_route_split(config, route, io_now())) {
        return found;
    }
    return request->service;
}

/* Uses an origin that is kept here or was told by others, by the hash of its
 * version's name. Returns false if it does not show the service. */
static bool
use_origin(gate_request *request, lv_id version)
{
    lv_id service =
        org_find_service(&request->gate->origins, request->stream_key);

    if (version == ORG_VERSION_NONE) {
        return false;
    }
    if (service == LV_ID_NONE) {
        service = infer_service(request, version);
    }
    if (service == LV_ID_NONE) {
        return false;
    }
    request->version = eng_version_id(service, version);
    follow_origin(request);
    return true;
}

/* Uses the version whose endpoints have run the request. */
static bool
use_cached_version(gate_request *request, lv_time now)
{
    gate_server *gate = request->gate;
    lv_id version = gate_find_cached_version(request, now);

    if (version == LV_ID_NONE ||
        org_is_conflicting(&gate->origins, request->stream_key)) {
        return false;
    }
    request->version = version;
    follow_origin(request);
    gate->counts.cached_origins++;
    gate_log_step(request, "origin", "cached");
    if (request->stream_key != DIG_NONE) {
        gate_keep_origin(request, now);
    }
    return true;
}

/* No instance knows which version began the stream, so it follows from the
 * versions that the list had, or from what endpoints have cached. Refuses the
 * request if it does not. Returns false also if it waits for the list or its
 * past. */
static bool
compute_origin(gate_request *request, lv_time now)
{
    gate_server *gate = request->gate;
    ver_verdict verdict;

    if (gate->feeds[WIRE_ENDPOINTS].known_at < request->received_at) {
        if (await_list(request, now)) {
            return false;
        }
        if (gate_may_others_know_more(&gate->peers)) {
            gate_log_step(request, "origin", "list-unknown");
            gate_refuse_request(request, 503, LV_SECOND, "version-unknown");
            return false;
        }
    }
    verdict = find_version(request, now);
    if (verdict == VER_NOT_COVERED && use_sole_version(request, now)) {
        verdict = VER_CERTAIN;
    }
    if ((verdict == VER_NOT_COVERED && gate_await_past(request)) ||
        (verdict != VER_CERTAIN && gate_await_cached(request, now))) {
        request->state = GATE_AWAITING_ORIGIN;
        return false;
    }
    gate->counts.computed_origins[verdict]++;
    if (verdict != VER_CERTAIN && use_cached_version(request, now)) {
        return true;
    }
    gate_log_step(request, "origin", ver_verdict_text(verdict));
    if (verdict != VER_CERTAIN) {
        gate_refuse_request(request, 503, LV_SECOND, "version-unknown");
        return false;
    }
    if (request->stream_key != DIG_NONE) {
        gate_keep_origin(request, now);
    }
    return true;
}

/* This instance may not have heard of a second version yet, so it asks also
 * while it knows of one. */
static void
ask_origin(gate_request *request, lv_time now)
{
    request->state = GATE_AWAITING_ORIGIN;
    request->origin_asked_at = now;
    request->origin_questions++;
    peers_ask_origin(&request->gate->peers, request->stream_key,
                     request->service);
}

bool
gate_find_origin(gate_request *request)
{
    gate_server *gate = request->gate;
    const wire_request *decoded = &request->decoded;
    lv_time now = io_now();

    if (!request->route->is_resumable || !decoded->is_resumption) {
        return true;
    }
    if (decoded->resumes != NULL) {
        request->stream_key =
            dig_stream(decoded->resumes, gate_account_name(request));
        if (use_origin(request,
                       org_find(&gate->origins, request->stream_key))) {
            return true;
        }
    }
    if (decoded->resumes != NULL && gate->peers.live_count > 0) {
        ask_origin(request, now);
        return false;
    }
    return compute_origin(request, now);
}

void
gate_check_origin_deadline(gate_request *request, lv_time now)
{
    if (lv_elapsed(now, request->origin_asked_at) < QUESTION_INTERVAL) {
        return;
    }
    if (request->origin_questions < QUESTIONS_MAX &&
        (org_is_mixed(&request->gate->origins, request->service, now) ||
         gate_is_route_split(request->config, request->route, now))) {
        ask_origin(request, now);
        return;
    }
    if (use_origin(request, org_find_reported(&request->gate->origins,
                                              request->stream_key)) ||
        compute_origin(request, now)) {
        gate_decide_request(request);
    }
}

/* A peer says which version alone a service has had. */
static void
note_sole_version(gate_server *gate, lv_id service, lv_id version)
{
    gate_request *request;

    for (request = gate->requests; request != NULL; request = request->next) {
        if (request->state == GATE_AWAITING_ORIGIN &&
            request->service == service) {
            request->is_sole_conflicting =
                request->is_sole_conflicting ||
                (request->sole_version != LV_ID_NONE &&
                 request->sole_version != version);
            request->sole_version = version;
        }
    }
}

static bool
is_service(const gate_server *gate, uint64_t key)
{
    return gate->config != NULL && rt_find_service(gate->config, key) != NULL;
}

static void
on_origin(void *owner, uint64_t key, lv_id version, lv_id service,
          uint64_t incarnation)
{
    gate_server *gate = owner;
    gate_request *request;

    if (is_service(gate, key)) {
        note_sole_version(gate, key, eng_version_id(key, version));
        return;
    }
    org_learn(&gate->origins, key, version, incarnation, io_now());
    org_note_service(&gate->origins, key, service);
    version = org_find(&gate->origins, key);
    for (request = gate->requests; request != NULL; request = request->next) {
        if (request->state == GATE_AWAITING_ORIGIN &&
            request->stream_key == key && use_origin(request, version)) {
            request->state = GATE_QUEUED;
            gate->has_pending_updates = true;
        }
    }
}

static lv_id
on_origin_question(void *owner, uint64_t key, lv_id *service)
{
    const gate_server *gate = owner;
    lv_id version;

    if (!is_service(gate, key)) {
        *service = org_find_service(&gate->origins, key);
        return org_find_reported(&gate->origins, key);
    }
    version = gate_is_list_outdated(gate)
                  ? LV_ID_NONE
                  : gate_sole_version(gate, key, io_now());
    return version != LV_ID_NONE ? eng_version_id(key, version) : LV_ID_NONE;
}

void
gate_init_origins(gate_server *gate)
{
    org_init(&gate->origins);
    ver_init(&gate->versions, io_now());
    gate->peers.on_origin = on_origin;
    gate->peers.on_origin_question = on_origin_question;
}

void
gate_write_origin_metrics(const gate_server *gate, met_writer *writer)
{
    const org_counts *counts = &gate->origins.counts;
    const met_scalar values[] = {
        {"lavender_origins_told_total", "counter",
         "streams whose software version was told to other instances",
         (double)counts->told},
        {"lavender_origins_learned_total", "counter",
         "streams whose software version other instances told",
         (double)counts->learned},
        {"lavender_origin_conflicts_total", "counter",
         "such reports that contradict each other", (double)counts->conflicts},
        {"lavender_origins_cached_total", "counter",
         "streams whose software version follows from what endpoints have "
         "cached",
         (double)gate->counts.cached_origins},
    };
    int i;

    met_write_scalars(writer, values, sizeof values / sizeof values[0]);
    met_write_header(writer, "lavender_origins_computed_total", "counter",
                     "resumed streams that no instance knew: their software "
                     "version follows from the list (certain), or they were "
                     "refused");
    for (i = 0; i < VER_VERDICTS; i++) {
        char labels[48];

        snprintf(labels, sizeof labels, "verdict=\"%s\"",
                 ver_verdict_text((ver_verdict)i));
        met_write_sample(writer, "lavender_origins_computed_total", labels,
                         (double)gate->counts.computed_origins[i]);
    }
}
