#include <stdio.h>

#include "gate-imp.h"
#include "gate-warmup-imp.h"

/* A peer's notice is repeated in its datagrams for seconds; it counts again
 * only when the failure rate has decayed to this. */
#define NOTICED_FAILURE_RATE 0.5

static const char *
endpoint_name(const gate_server *gate, lv_handle row)
{
    return eng_at(&gate->endpoints, row)->spec.label;
}

static void
begin_leaving(gate_server *gate, lv_handle row, const char *request_id)
{
    const eng_endpoint *endpoint = eng_at(&gate->endpoints, row);
    bool was_listed = endpoint->is_listed;
    lv_time now = io_now();

    if (!eng_begin_leaving(&gate->endpoints, row)) {
        return;
    }
    gate->counts.leaving_notices++;
    gate->has_pending_updates = true;
    log_event(LOG_LEVEL_NOTICE, now, "endpoint-leaving",
              "request=%s endpoint=%s source=answer listed=%d", request_id,
              endpoint->spec.label, was_listed);
    if (was_listed) {
        /* No revision of the store says so. */
        peers_report_unlisted(&gate->peers, endpoint->spec.id, 0, 0, now);
    }
    back_withhold(&gate->endpoint_pool, row);
}

static void
begin_backoff(gate_server *gate, lv_handle row, lv_time duration,
              const char *request_id)
{
    lv_time now = io_now();

    if (!eng_begin_backoff(&gate->endpoints, row, duration, now)) {
        return;
    }
    gate->counts.backoffs++;
    log_event(LOG_LEVEL_NOTICE, now, "endpoint-backoff",
              "request=%s endpoint=%s change=begun seconds=%.3f source=answer",
              request_id, endpoint_name(gate, row),
              (double)duration / (double)LV_SECOND);
    back_withhold(&gate->endpoint_pool, row);
}

/* A limit holds until an answer names none. What a limit that is not valid was
 * meant to say is not known, so the one before stays. */
static void
note_limit(gate_server *gate, lv_handle row, const wire_response *response,
           const char *request_id)
{
    eng_endpoint *endpoint = eng_at(&gate->endpoints, row);
    double limit = response->has_limit ? response->limit : PACE_NO_LIMIT;

    if (response->is_limit_invalid || response->is_misdirected) {
        return;
    }
    gate->counts.limit_notices += response->has_limit;
    if (pace_name(&endpoint->pace, limit, io_now())) {
        gate->has_pending_updates = true;
        log_event(LOG_LEVEL_NOTICE, io_now(), "endpoint-limit",
                  "request=%s endpoint=%s change=%s per_second=%.3f",
                  request_id, endpoint->spec.label,
                  response->has_limit ? "named" : "ended",
                  response->has_limit ? limit : 0);
    }
}

void
gate_handle_response(void *owner, lv_handle row, const back_exchange *exchange,
                     const http_head *head, const wire_response *response)
{
    gate_server *gate = owner;
    char request_id[LOG_REQUEST_SIZE];

    if (head->status / 100 == 2 && !response->is_sealed) {
        return; /* not the endpoint's own answer */
    }
    gate_request_label(exchange->id[0] != '\0' ? exchange->id : NULL,
                       request_id);
    if (response->is_retry_after_invalid) {
        gate->counts.invalid_retry_after++;
        log_event(LOG_LEVEL_WARNING, io_now(), "retry-after-ignored",
                  "request=%s endpoint=%s", request_id,
                  endpoint_name(gate, row));
    }
    if (response->is_limit_invalid) {
        gate->counts.invalid_limits++;
        log_event(LOG_LEVEL_WARNING, io_now(), "limit-ignored",
                  "request=%s endpoint=%s", request_id,
                  endpoint_name(gate, row));
    }
    note_limit(gate, row, response, request_id);
    gate_note_cold_time(gate, row, response);
    if (response->is_draining) {
        begin_leaving(gate, row, request_id);
    }
    begin_backoff(gate, row, response->retry_after, request_id);
}

void
gate_end_backoffs(gate_server *gate, lv_time now)
{
    lv_handle row;

    while ((row = eng_end_backoff(&gate->endpoints, now)) != LV_HANDLE_NONE) {
        log_event(LOG_LEVEL_NOTICE, now, "endpoint-backoff",
                  "endpoint=%s change=ended", endpoint_name(gate, row));
    }
}

void
gate_handle_peer_notice(gate_server *gate, lv_id id)
{
    lv_time now = io_now();
    lv_handle row = eng_find(&gate->endpoints, id);
    eng_endpoint *endpoint;

    if (row == LV_HANDLE_NONE) {
        return;
    }
    endpoint = eng_at(&gate->endpoints, row);
    if (!endpoint->is_listed ||
        out_failure_rate(&endpoint->outlier, now) > NOTICED_FAILURE_RATE) {
        return;
    }
    out_record_failure(&endpoint->outlier, true, now);
    gate->counts.peer_leaving_notices++;
    log_event(LOG_LEVEL_NOTICE, now, "endpoint-leaving",
              "endpoint=%s source=peer", endpoint->spec.label);
}

bool
gate_is_leaving(const gate_server *gate, lv_id id)
{
    lv_handle row = eng_find(&gate->endpoints, id);

    return row != LV_HANDLE_NONE &&
           eng_at(&gate->endpoints, row)->availability.is_leaving;
}

uint32_t
gate_count_queued(const gate_server *gate, lv_id service)
{
    const gate_request *request;
    uint32_t count = 0;

    for (request = gate->requests; request != NULL; request = request->next) {
        count += request->state == GATE_QUEUED &&
                 request->has_logged_queueing && request->service == service;
    }
    return count;
}

void
gate_write_endpoint_label(const eng_endpoint *endpoint, char *text,
                          size_t size)
{
    char name[LV_NAME_SIZE];

    met_copy_label(name, sizeof name, endpoint->spec.label);
    snprintf(text, size, "endpoint=\"%s\"", name);
}

void
gate_write_endpoint_gauge(const gate_server *gate, met_writer *writer,
                          const char *name, const char *help,
                          double (*value)(const eng_endpoint *endpoint,
                                          lv_time now))
{
    lv_time now = io_now();
    lv_handle row;

    met_write_header(writer, name, "gauge", help);
    for (row = 0; row < gate->endpoints.capacity; row++) {
        const eng_endpoint *endpoint = eng_at(&gate->endpoints, row);
        char labels[LV_NAME_SIZE + 16];

        if (endpoint->is_used) {
            gate_write_endpoint_label(endpoint, labels, sizeof labels);
            met_write_sample(writer, name, labels, value(endpoint, now));
        }
    }
}

static double
leaving_value(const eng_endpoint *endpoint, lv_time now)
{
    (void)now;
    return endpoint->availability.is_leaving;
}

static double
limit_value(const eng_endpoint *endpoint, lv_time now)
{
    (void)now;
    return endpoint->pace.limit;
}

static double
backoff_value(const eng_endpoint *endpoint, lv_time now)
{
    return (double)lv_elapsed(endpoint->availability.backoff_until, now) /
           (double)LV_SECOND;
}

void
gate_write_notice_metrics(const gate_server *gate, met_writer *writer)
{
    const gate_counts *counts = &gate->counts;
    const met_scalar values[] = {
        {"lavender_endpoint_leaving_notices_total", "counter",
         "endpoints that said in an answer that they leave",
         (double)counts->leaving_notices},
        {"lavender_endpoint_peer_leaving_notices_total", "counter",
         "such notices passed on by peers",
         (double)counts->peer_leaving_notices},
        {"lavender_endpoint_backoffs_total", "counter",
         "back-offs that endpoints asked for, or made longer",
         (double)counts->backoffs},
        {"lavender_retry_after_ignored_total", "counter",
         "answers of endpoints with a Retry-After that was not valid",
         (double)counts->invalid_retry_after},
        {"lavender_endpoint_limit_notices_total", "counter",
         "answers that named a limit of the endpoint",
         (double)counts->limit_notices},
        {"lavender_limits_ignored_total", "counter",
         "answers that named one that was not valid",
         (double)counts->invalid_limits},
        {"lavender_withheld_requests_total", "counter",
         "requests not sent on a connection opened for them",
         (double)gate->endpoint_pool.counts.withheld},
    };

    met_write_scalars(writer, values, sizeof values / sizeof values[0]);
    gate_write_endpoint_gauge(gate, writer, "lavender_endpoint_leaving",
                              "1: it said that it leaves", leaving_value);
    gate_write_endpoint_gauge(
        gate, writer, "lavender_endpoint_limit",
        "requests per second that it takes; -1: no limit", limit_value);
    gate_write_endpoint_gauge(
        gate, writer, "lavender_endpoint_backoff_seconds",
        "left of the back-off that it asked for", backoff_value);
}
