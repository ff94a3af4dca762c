#include "gate-warmup-imp.h"

/* Between two looks at who coordinates the cold endpoints; the role is also
 * determined for each request that is about to start. */
#define VIEW_INTERVAL (100 * LV_MILLISECOND)

static void
set_service(gate_server *gate, eng_endpoint *endpoint, lv_time now)
{
    const gate_settings *settings = &gate->settings;
    wrm_service values = {0};
    uint32_t i;

    for (i = 0; i < gate->config->service_count; i++) {
        const rt_service *service = &gate->config->services[i];

        if (service->id == endpoint->spec.service) {
            values.cold_time = service->cold_time;
            values.rate = service->cold_rate;
        }
    }
    values.tokens_max = wrm_max_tokens(
        values.rate, settings->cold_overshoot_thousandths / 1000.0,
        settings->cold_slack);
    wrm_set_service(&endpoint->warmup, &values, now);
}

void
gate_update_role(gate_server *gate, lv_handle row, lv_time now)
{
    eng_endpoint *endpoint = eng_at(&gate->endpoints, row);
    wrm_view view;

    if (wrm_left(&endpoint->warmup, now) > 0) {
        peers_view_coordinator(&gate->peers, endpoint->spec.id, now, &view);
        wrm_set_view(&endpoint->warmup, &view, now);
    }
}

static void
log_change(gate_server *gate, lv_handle row, lv_time now)
{
    eng_endpoint *endpoint = eng_at(&gate->endpoints, row);
    wrm_source source = wrm_find_source(&endpoint->warmup, now);

    if (!wrm_note_change(&endpoint->warmup, now)) {
        return;
    }
    gate->has_pending_updates = true;
    gate->counts.invalid_cold_times +=
        source == WRM_SOURCE_MISSING || source == WRM_SOURCE_INVALID;
    log_event(source == WRM_SOURCE_MISSING || source == WRM_SOURCE_INVALID
                  ? LOG_LEVEL_WARNING
                  : LOG_LEVEL_NOTICE,
              now, "endpoint-cold",
              "endpoint=%s change=%s source=%s seconds=%.3f per_second=%.3f",
              endpoint->spec.label,
              source == WRM_SOURCE_NONE ? "warm" : "cold",
              wrm_source_text(source),
              (double)wrm_left(&endpoint->warmup, now) / (double)LV_SECOND,
              endpoint->warmup.service.rate);
}

/* An endpoint that has just turned cold has no role yet. */
static void
handle_change(gate_server *gate, lv_handle row, lv_time now)
{
    if (eng_at(&gate->endpoints, row)->warmup.role_at == 0) {
        gate_update_role(gate, row, now);
    }
    log_change(gate, row, now);
}

void
gate_apply_warmup(gate_server *gate, lv_time now)
{
    lv_handle row;

    for (row = 0; row < gate->endpoints.capacity; row++) {
        eng_endpoint *endpoint = eng_at(&gate->endpoints, row);

        if (endpoint->is_used) {
            set_service(gate, endpoint, now);
            handle_change(gate, row, now);
        }
    }
}

void
gate_note_entry(gate_server *gate, const wire_item *item, lv_time now)
{
    lv_handle row = eng_find(&gate->endpoints, item->endpoint.id);

    if (row != LV_HANDLE_NONE) {
        wrm_note_entry(&eng_at(&gate->endpoints, row)->warmup,
                       &item->endpoint.cold, item->started_at, item->sequence,
                       now);
        handle_change(gate, row, now);
    }
}

void
gate_note_cold_time(gate_server *gate, lv_handle row,
                    const wire_response *response)
{
    wrm_state *warmup = &eng_at(&gate->endpoints, row)->warmup;
    lv_time now = io_now();

    if (warmup->service.cold_time == 0 || response->is_misdirected) {
        return;
    }
    wrm_note_return(warmup, now);
    if (response->has_cold_time) {
        wrm_note_answer(warmup, response->cold_time, now);
        handle_change(gate, row, now);
    }
    else if (response->is_cold_time_invalid) {
        gate->counts.invalid_cold_times++;
        log_event(LOG_LEVEL_WARNING, now, "cold-time-ignored", "endpoint=%s",
                  eng_at(&gate->endpoints, row)->spec.label);
    }
}

void
gate_note_unreachable(gate_server *gate, lv_handle row)
{
    wrm_state *warmup = &eng_at(&gate->endpoints, row)->warmup;

    if (warmup->service.cold_time > 0) {
        wrm_note_failure(warmup, io_now());
        handle_change(gate, row, io_now());
    }
}

void
gate_hear_cold(void *owner, lv_handle row, lv_time left, uint64_t reporter)
{
    gate_server *gate = owner;
    lv_time now = io_now();

    wrm_hear(&eng_at(&gate->endpoints, row)->warmup, left, reporter,
             gate->peers.live_count <= 1, now);
    handle_change(gate, row, now);
}

void
gate_hear_coordinator(gate_server *gate, const peers_start_reply *answer)
{
    lv_handle row = eng_find(&gate->endpoints, answer->endpoint);

    if (row != LV_HANDLE_NONE && answer->cold_left > 0) {
        wrm_hear_coordinator(&eng_at(&gate->endpoints, row)->warmup,
                             answer->cold_left, io_now());
        handle_change(gate, row, io_now());
    }
}

void
gate_grant_cold(gate_server *gate, lv_handle row,
                const peers_start_request *ask, peers_start_reply *answer)
{
    wrm_state *warmup = &eng_at(&gate->endpoints, row)->warmup;
    lv_time now = io_now();

    answer->cold_left = wrm_left(warmup, now);
    if (answer->cold_left == 0 || !answer->is_granted) {
        return;
    }
    gate_update_role(gate, row, now);
    answer->is_granted = wrm_grant(warmup, ask->sender ^ map_mix(ask->number),
                                   now, &answer->cold_wait);
    gate->counts.cold_grants += answer->is_granted;
    gate->counts.cold_refusals += !answer->is_granted;
}

void
gate_return_cold(gate_server *gate, lv_handle row)
{
    wrm_state *warmup = &eng_at(&gate->endpoints, row)->warmup;

    if (wrm_left(warmup, io_now()) > 0) {
        wrm_return_grant(warmup);
        gate->counts.cold_grants--;
    }
}

bool
gate_is_cold(const gate_server *gate, lv_handle row, lv_time now)
{
    return wrm_left(&eng_at(&gate->endpoints, row)->warmup, now) > 0;
}

bool
gate_may_start_cold(gate_server *gate, lv_handle row, lv_time now)
{
    lv_time free_at;

    gate_update_role(gate, row, now);
    return !gate_is_cold(gate, row, now) ||
           (eng_at(&gate->endpoints, row)->warmup.role == WRM_COORDINATES &&
            wrm_check(&eng_at(&gate->endpoints, row)->warmup, now, &free_at));
}

void
gate_deny_cold(gate_request *request, lv_handle row, lv_time wait,
               const char *reason)
{
    gate_server *gate = request->gate;
    lv_time now = io_now();

    request->state = GATE_QUEUED;
    request->cold_denials++;
    gate->counts.cold_denials++;
    wrm_close(&eng_at(&gate->endpoints, row)->warmup, wait, now);
    gate_log_step(request, "denied", reason);
}

bool
gate_repeat_cold_request(gate_request *request, lv_time now)
{
    if (request->is_grant_repeated) {
        return false;
    }
    request->is_grant_repeated = true;
    return gate_send_grant_request(request, true, now);
}

void
gate_update_warmup(gate_server *gate, lv_time now)
{
    bool is_view_due = lv_elapsed(now, gate->cold_viewed_at) >= VIEW_INTERVAL;
    lv_handle row;

    peers_note_readiness(&gate->peers, now);
    if (is_view_due) {
        gate->cold_viewed_at = now;
    }
    for (row = 0; row < gate->endpoints.capacity; row++) {
        const eng_endpoint *endpoint = eng_at(&gate->endpoints, row);

        if (endpoint->is_used && endpoint->warmup.service.cold_time > 0) {
            if (is_view_due) {
                gate_update_role(gate, row, now);
            }
            log_change(gate, row, now);
        }
    }
}

static double
cold_seconds(const eng_endpoint *endpoint, lv_time now)
{
    return (double)wrm_left(&endpoint->warmup, now) / (double)LV_SECOND;
}

static bool
has_cold_services(const gate_server *gate)
{
    uint32_t i;

    for (i = 0; gate->config != NULL && i < gate->config->service_count; i++) {
        if (gate->config->services[i].cold_time > 0) {
            return true;
        }
    }
    return false;
}

void
gate_write_warmup_metrics(const gate_server *gate, met_writer *writer)
{
    const met_scalar values[] = {
        {"lavender_cold_denials_total", "counter",
         "starts at cold endpoints that this instance was denied",
         (double)gate->counts.cold_denials},
        {"lavender_cold_starts_granted_total", "counter",
         "starts at cold endpoints that this instance granted",
         (double)gate->counts.cold_grants},
        {"lavender_cold_starts_refused_total", "counter",
         "starts at cold endpoints that it denied to others",
         (double)gate->counts.cold_refusals},
        {"lavender_cold_times_invalid_total", "counter",
         "cold times of endpoints that were missing or not valid",
         (double)gate->counts.invalid_cold_times},
    };

    if (has_cold_services(gate)) {
        met_write_scalars(writer, values, sizeof values / sizeof values[0]);
        gate_write_endpoint_gauge(
            gate, writer, "lavender_endpoint_cold_seconds",
            "for which it is cold; 0: it is warm", cold_seconds);
    }
}
