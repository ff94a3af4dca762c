#include <string.h>

#include "gate-imp.h"

static unsigned long long
to_ms(lv_time time)
{
    return (unsigned long long)(time / LV_MILLISECOND);
}

static void
tell_origin(gate_request *request)
{
    gate_server *gate = request->gate;

    gate->origins.counts.told++;
    peers_tell_origin(&gate->peers, request->stream_key,
                      eng_version_id(request->service, request->version),
                      request->service);
}

/* Returns whether another instance may have a newer list of endpoints, that
 * is, whether a live peer reaches the store. */
bool
gate_may_others_know_more(const peers_state *peers)
{
    uint32_t i;

    if (peers->live_count == 0) {
        return peers->max_live_count > 0 || peers->settings.seed_count > 0;
    }
    for (i = 0; i < peers->count; i++) {
        if (peers->peers[i].is_live && peers->peers[i].is_store_reachable) {
            return true;
        }
    }
    return false;
}

/* Returns whether other instances may have changes of the list that this one
 * has not received. */
bool
gate_is_list_outdated(const gate_server *gate)
{
    return store_feed_is_lost(&gate->feeds[WIRE_ENDPOINTS], io_now()) &&
           gate_may_others_know_more(&gate->peers);
}

/* May streams of the route have begun at different services? A service that
 * the route had before counts as long as a stream may be taken up. */
bool
gate_is_route_split(const rt_table *config, const rt_route *route, lv_time now)
{
    return rt_has_several_services(config, route,
                                   lv_elapsed(now, ORG_VERSION_TIME));
}

void
gate_keep_origin(const gate_request *request, lv_time now)
{
    org_table *origins = &request->gate->origins;

    org_record(origins, request->stream_key,
               eng_version_id(request->service, request->version), now);
    org_note_service(origins, request->stream_key, request->service);
}

/* The same by the configuration in force: another one may have come since the
 * request was admitted. */
static bool
is_split_in_force(const gate_request *request, lv_time now)
{
    const rt_table *config = request->gate->config;
    const rt_route *route =
        rt_find_route(config, request->route->host, request->route->prefix,
                      strlen(request->route->prefix));

    return route != NULL && gate_is_route_split(config, route, now);
}

void
gate_record_origin(gate_attempt *attempt)
{
    gate_request *request = attempt->request;
    gate_server *gate = request->gate;
    lv_time now = io_now();

    if (request->version != LV_ID_NONE) {
        return;
    }
    request->version = attempt->version;
    if (request->stream_key == DIG_NONE &&
        request->decoded.attempt_id != NULL &&
        !request->decoded.is_resumption) {
        request->stream_key = dig_stream(request->decoded.attempt_id,
                                         gate_account_name(request));
    }
    if (request->stream_key == DIG_NONE) {
        return;
    }
    gate_keep_origin(request, now);
    if (org_is_mixed(&gate->origins, request->service, now) ||
        is_split_in_force(request, now) || gate_is_list_outdated(gate)) {
        tell_origin(request);
    }
}

static bool
has_known_origin(const gate_request *request)
{
    return request->state != GATE_FINISHED &&
           request->stream_key != DIG_NONE && request->version != LV_ID_NONE;
}

void
gate_tell_split_origins(gate_server *gate, lv_time now)
{
    gate_request *request;

    for (request = gate->requests; request != NULL; request = request->next) {
        if (has_known_origin(request) && is_split_in_force(request, now)) {
            tell_origin(request);
        }
    }
}

/* Tells the streams that began while their service had one version; of all
 * services with LV_ID_NONE. */
static void
tell_running_origins(gate_server *gate, lv_id service)
{
    gate_request *request;

    for (request = gate->requests; request != NULL; request = request->next) {
        if (has_known_origin(request) &&
            (service == LV_ID_NONE || request->service == service)) {
            tell_origin(request);
        }
    }
}

void
gate_note_version(gate_server *gate, const eng_spec *spec, lv_time now)
{
    if (org_note_version(&gate->origins, spec->service, spec->version_id,
                         now)) {
        log_event(LOG_LEVEL_NOTICE, now, "versions", "endpoint=%s version=%s",
                  spec->label, spec->version);
        tell_running_origins(gate, spec->service);
    }
}

/* While the list is outdated a second version may join unnoticed, so the peers
 * are told the version of every stream, also of services with one version. */
static void
note_outdated_list(gate_server *gate, lv_time now)
{
    bool is_outdated = gate_is_list_outdated(gate);

    if (is_outdated == gate->is_list_outdated) {
        return;
    }
    gate->is_list_outdated = is_outdated;
    log_event(LOG_LEVEL_NOTICE, now, "list",
              "state=%s complete_ms=%llu requests=%u",
              is_outdated ? "outdated" : "current",
              to_ms(lv_elapsed(now, gate->peers.list_complete_until)),
              gate->request_count);
    if (is_outdated) {
        tell_running_origins(gate, LV_ID_NONE);
    }
}

void
gate_update_origins(gate_server *gate, lv_time now)
{
    lv_handle row;

    note_outdated_list(gate, now);
    for (row = 0; row < gate->endpoints.capacity; row++) {
        const eng_endpoint *endpoint = &gate->endpoints.endpoints[row];

        if (endpoint->is_used && endpoint->is_published) {
            gate_note_version(gate, &endpoint->spec, now);
        }
    }
}
