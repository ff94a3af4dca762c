#include <stdio.h>
#include <string.h>

#include "gate-imp.h"
#include "gate-warmup-imp.h"

static bool
is_ready(const gate_server *gate)
{
    return gate_has_configuration(gate) && !gate->is_draining &&
           !gate->overload.is_overloaded &&
           gate->feeds[WIRE_ENDPOINTS].counts.lists_read > 0;
}

static void
write_endpoint_metrics(const gate_server *gate, met_writer *writer)
{
    lv_handle row;

    met_write_header(writer, "lavender_endpoint_in_flight", "gauge",
                     "requests in flight of all instances, as known here");
    for (row = 0; row < gate->endpoints.capacity; row++) {
        const eng_endpoint *endpoint = &gate->endpoints.endpoints[row];
        char labels[LV_NAME_SIZE + 16];

        if (endpoint->is_used) {
            gate_write_endpoint_label(endpoint, labels, sizeof labels);
            met_write_sample(writer, "lavender_endpoint_in_flight", labels,
                             eng_in_flight(endpoint));
        }
    }
}

/* Returns how long peers have named a change that this instance lacks. */
static lv_time
behind_time(const gate_server *gate, lv_time now)
{
    lv_time longest = 0;
    int i;

    for (i = 0; i < WIRE_SUBJECT_COUNT; i++) {
        lv_time since = gate->behind_since[i];

        if (since != 0 && lv_elapsed(now, since) > longest) {
            longest = lv_elapsed(now, since);
        }
    }
    return longest;
}

static void
write_store_metrics(const gate_server *gate, met_writer *writer)
{
    lv_time now = io_now();
    const met_scalar values[] = {
        {"lavender_store_calls_total", "counter", "calls of the store",
         (double)(gate->feeds[WIRE_CONFIG].counts.requests +
                  gate->feeds[WIRE_ENDPOINTS].counts.requests)},
        {"lavender_relay_calls_total", "counter",
         "calls of the store made at another instance's relay",
         (double)(gate->feeds[WIRE_CONFIG].counts.relay_requests +
                  gate->feeds[WIRE_ENDPOINTS].counts.relay_requests)},
        {"lavender_relay_served_total", "counter",
         "such calls that this instance's relay received",
         (double)gate->relay.counts.requests},
        {"lavender_relay_refused_total", "counter",
         "of these, refused out of touch with the store",
         (double)gate->relay.counts.refused},
        {"lavender_endpoints_age_seconds", "gauge",
         "since the list of endpoints was last asked for",
         (double)lv_elapsed(now, gate->feeds[WIRE_ENDPOINTS].last_request_at) /
             (double)LV_SECOND},
        {"lavender_store_lost", "gauge",
         "feeds that the store does not answer",
         (double)((gate->feeds[WIRE_CONFIG].lost_at != 0) +
                  (gate->feeds[WIRE_ENDPOINTS].lost_at != 0))},
        {"lavender_store_behind_seconds", "gauge",
         "since peers name a change that did not arrive here",
         (double)behind_time(gate, now) / (double)LV_SECOND},
        {"lavender_store_renewals_total", "counter",
         "requests sent again for such a change",
         (double)gate->counts.store_renewals},
    };

    met_write_scalars(writer, values, sizeof values / sizeof values[0]);
}

static void
write_caller_metrics(const gate_server *gate, met_writer *writer)
{
    const front_counts *counts = &gate->callers.counts;
    const met_scalar values[] = {
        {"lavender_caller_connections", "gauge", "open connections of callers",
         gate->callers.connection_count},
        {"lavender_caller_connections_total", "counter",
         "connections of callers", (double)counts->accepted},
        {"lavender_caller_connections_over_limit_total", "counter",
         "connections beyond the limit, closed or refused",
         (double)counts->over_limit},
        {"lavender_caller_input_discarded_total", "counter",
         "connections with input discarded after their last response",
         (double)counts->discarded},
        {"lavender_caller_memory_refused_total", "counter",
         "requests refused because the memory for data of clients is used up",
         (double)counts->over_memory},
        {"lavender_caller_stalled_closed_total", "counter",
         "connections with an incomplete request, closed for new ones",
         (double)counts->closed_stalled},
        {"lavender_caller_silent_closed_total", "counter",
         "connections closed because their caller did not read",
         (double)counts->closed_silent},
        {"lavender_client_memory_bytes", "gauge",
         "memory for data of clients, all listeners",
         (double)gate->memory.used},
        {"lavender_probe_requests_rejected_total", "counter",
         "malformed or oversized requests at the readiness port",
         (double)gate->readiness.counts.rejected},
        {"lavender_caller_closed_unread_total", "counter",
         "connections that this instance closed with unread input",
         (double)counts->closed_unread},
    };

    met_write_scalars(writer, values, sizeof values / sizeof values[0]);
}

static void
write_request_metrics(const gate_server *gate, met_writer *writer)
{
    const gate_counts *counts = &gate->counts;
    const met_scalar values[] = {
        {"lavender_requests_total", "counter", "requests routed",
         (double)counts->requests},
        {"lavender_served_total", "counter", "whole answers passed on",
         (double)counts->served},
        {"lavender_refused_total", "counter", "requests not run",
         (double)counts->refused},
        {"lavender_failed_total", "counter", "requests that failed",
         (double)counts->failed},
        {"lavender_gone_total", "counter", "callers that left",
         (double)counts->caller_disconnects},
        {"lavender_repeats_total", "counter", "attempts after the first",
         (double)counts->retries},
        {"lavender_stalls_total", "counter",
         "attempts beside which another was tried, as their endpoint was "
         "silent",
         (double)counts->stalls},
        {"lavender_stalls_resumed_total", "counter",
         "of these, gone on with, as no other endpoint answered first",
         (double)counts->stalls_resumed},
        {"lavender_in_hand", "gauge", "requests in hand", gate->request_count},
    };

    met_write_scalars(writer, values, sizeof values / sizeof values[0]);
}

static void
write_metrics(const gate_server *gate, met_writer *writer)
{
    const met_scalar values[] = {
        {"lavender_peers", "gauge", "other instances heard from",
         gate->peers.live_count},
        {"lavender_peer_bytes_total", "counter", "bytes sent to peers",
         (double)gate->peers.counts.sent_bytes},
        {"lavender_keeper_asked_total", "counter",
         "starts that keepers of endpoints were asked for",
         (double)gate->peers.counts.starts_requested},
        {"lavender_keeper_unanswered_total", "counter",
         "of these, without an answer in time",
         (double)gate->peers.counts.starts_unanswered},
        {"lavender_keeper_granted_total", "counter",
         "starts that this instance granted as a keeper",
         (double)gate->peers.counts.starts_granted},
        {"lavender_keeper_denied_total", "counter", "starts that it denied",
         (double)gate->peers.counts.starts_denied},
        {"lavender_connections_opened_total", "counter",
         "connections to endpoints",
         (double)gate->endpoint_pool.counts.opened},
        {"lavender_writes_total", "counter",
         "writes to callers, endpoints and the store",
         (double)io_count_writes()},
        {"lavender_overloaded", "gauge",
         "out of the rotation for lack of CPU time",
         gate->overload.is_overloaded},
        {"lavender_stray_answers_total", "counter",
         "answers that belonged to no request",
         (double)gate->endpoint_pool.counts.unmatched_responses},
        {"lavender_malformed_answers_total", "counter",
         "answers of endpoints that were not proper HTTP",
         (double)gate->endpoint_pool.counts.malformed_responses},
        {"lavender_log_left_out_total", "counter",
         "log lines that the bound or a slow reader cost",
         (double)log_dropped_lines()},
        {"lavender_config_version", "gauge", "configuration in force",
         gate->config != NULL ? (double)gate->config->version : 0},
        {"lavender_config_ignored_rows", "gauge",
         "rows of the configuration in force that cannot be used",
         gate->config != NULL ? gate->config->ignored_count : 0},
    };
    uint32_t i;

    write_request_metrics(gate, writer);
    met_write_scalars(writer, values, sizeof values / sizeof values[0]);
    write_store_metrics(gate, writer);
    write_caller_metrics(gate, writer);
    met_write_header(writer, "lavender_first_piece_seconds", "histogram",
                     "from receipt to the first piece of the answer");
    for (i = 0; i < RT_KINDS; i++) {
        char labels[32];

        snprintf(labels, sizeof labels, "kind=\"%s\"",
                 rt_kind_name((rt_kind)i));
        met_write_histogram(writer, "lavender_first_piece_seconds", labels,
                            &gate->first_output_times[i]);
    }
    met_write_header(writer, "lavender_prediction_error_seconds", "histogram",
                     "first piece later than predicted");
    met_write_histogram(writer, "lavender_prediction_error_seconds", "",
                        &gate->prediction_errors);
    met_write_header(writer, "lavender_loop_delay_seconds", "histogram",
                     "ticks of the timer later than due");
    met_write_histogram(writer, "lavender_loop_delay_seconds", "",
                        &gate->tick_delays);
    tal_write(&gate->ends_by_reason, writer);
    tal_write(&gate->ends_by_account, writer);
    write_endpoint_metrics(gate, writer);
    gate_write_notice_metrics(gate, writer);
    gate_write_warmup_metrics(gate, writer);
    gate_write_speed_metrics(gate, writer);
    gate_write_quarantine_metrics(gate, writer);
    gate_write_origin_metrics(gate, writer);
    gate_write_evacuation_metrics(gate, writer);
    gate_write_fetch_metrics(gate, writer);
    gate_write_zone_metrics(gate, writer);
}

static void
send_metrics(const gate_server *gate, front_connection *connection)
{
    met_writer writer;

    met_writer_init(&writer);
    write_metrics(gate, &writer);
    if (writer.has_failed) {
        front_send_error(connection, 500, NULL, "no-memory");
    }
    else {
        front_begin_response(connection, 200, NULL, writer.size);
        front_send_body(connection, writer.text, writer.size);
        front_end_response(connection);
    }
    met_writer_finish(&writer);
}

static void
on_request(front_server *server, front_connection *connection)
{
    gate_server *gate = server->owner;

    if (strcmp(connection->head->target, "/metrics") == 0) {
        send_metrics(gate, connection);
    }
    else if (strcmp(connection->head->target, "/v1/status") == 0) {
        gate_send_status(gate, is_ready(gate), connection);
    }
    else if (is_ready(gate)) {
        front_begin_response(connection, 200, NULL, 0);
        front_end_response(connection);
    }
    else {
        front_send_error(connection, 503, NULL,
                         gate->is_draining              ? "draining"
                         : gate->overload.is_overloaded ? "overloaded"
                                                        : "no-configuration");
    }
}

static void
ignore_connection(front_server *server, front_connection *connection)
{
    (void)server;
    (void)connection;
}

static void
ignore_rejection(front_server *server, uint32_t status, const char *reason)
{
    (void)server;
    (void)status;
    (void)reason;
}

const front_ops gate_readiness_ops = {.on_request = on_request,
                                      .on_disconnect = ignore_connection,
                                      .on_drain = ignore_connection,
                                      .on_rejected = ignore_rejection};
