#include <stdio.h>

#include "gate-imp.h"

/* Pairs of zones that are counted apart; the rest under "other". */
#define MAX_ZONE_SERIES 64

void
gate_init_zones(gate_server *gate)
{
    loc_init(&gate->zones, lv_hash_name(gate->settings.zone),
             lv_hash_name(gate->settings.instance));
    tal_init(&gate->requests_by_zone, "lavender_zone_requests_total",
             "requests sent, by zone of this instance and of the endpoint",
             MAX_ZONE_SERIES);
    tal_init(&gate->bytes_by_zone, "lavender_zone_bytes_total",
             "bytes of requests and of the bodies of answers, by zone of this "
             "instance and of the endpoint",
             MAX_ZONE_SERIES);
}

void
gate_finish_zones(gate_server *gate)
{
    tal_finish(&gate->requests_by_zone);
    tal_finish(&gate->bytes_by_zone);
}

void
gate_update_zones(gate_server *gate)
{
    const peers_state *peers = &gate->peers;
    uint32_t count = 1;
    uint32_t i;

    for (i = 0; i < peers->count; i++) {
        count += peers->peers[i].is_live &&
                 peers->peers[i].zone == gate->zones.zone;
    }
    gate->zones.zone_instances = count;
}

static void
choose_affinity(gate_request *request, bool is_large)
{
    gate_server *gate = request->gate;
    eng_prompt *prompt = &request->decoded.prompt;

    if (request->is_part_hot) {
        eng_find_zone_affinity(&gate->endpoints, request->service,
                               gate->zones.zone, prompt);
    }
    else {
        eng_find_affinity(&gate->endpoints, request->service, prompt);
    }
    if (!is_large) {
        /* The uses of every endpoint are known, so it is known whether a
         * second one has the prompt cached. */
        prompt->secondary_affinity = LV_HANDLE_NONE;
    }
}

void
gate_find_affinity(gate_request *request, lv_time now)
{
    gate_server *gate = request->gate;
    bool is_large = peers_is_large_fleet(&gate->peers);

    if (!request->is_use_counted) {
        request->is_use_counted = true;
        request->is_part_hot =
            loc_count_use(&gate->zones, &gate->settings.admission.locality,
                          &request->decoded.prompt, now);
    }
    if (request->affinity_version == gate->endpoints.list_version &&
        request->has_secondary_affinity == is_large &&
        request->decoded.prompt.version == gate_required_version(request)) {
        return;
    }
    request->decoded.prompt.version = gate_required_version(request);
    choose_affinity(request, is_large);
    request->affinity_version = gate->endpoints.list_version;
    request->has_secondary_affinity = is_large;
}

void
gate_fill_locality(const gate_request *request, lv_time now, loc_request *to)
{
    gate_server *gate = request->gate;
    const front_connection *connection = request->connection;
    uint64_t bytes =
        loc_request_bytes(connection != NULL ? connection->body.size : 0,
                          request->decoded.prompt.output_tokens);

    loc_prepare(&gate->zones, &gate->settings.admission.locality,
                &gate->endpoints, request->service, bytes, now, to);
    if (request->grant_denials > 0) {
        loc_ignore_cost(to);
    }
}

void
gate_count_traffic(gate_attempt *attempt, bool was_sent)
{
    gate_server *gate = attempt->request->gate;
    const eng_endpoint *endpoint;
    char own[LV_NAME_SIZE];
    char other[LV_NAME_SIZE];
    char labels[TAL_LABELS_SIZE];

    if (!attempt->is_running || !was_sent) {
        return;
    }
    endpoint = eng_at(&gate->endpoints, attempt->reservation.endpoint);
    met_copy_label(own, sizeof own, gate->settings.zone);
    met_copy_label(other, sizeof other, endpoint->spec.zone_name);
    snprintf(labels, sizeof labels, "own=\"%s\",other=\"%s\"", own, other);
    tal_increment(&gate->requests_by_zone, labels);
    tal_add(&gate->bytes_by_zone, labels, attempt->bytes);
}

void
gate_write_zone_metrics(const gate_server *gate, met_writer *writer)
{
    const loc_counts *counts = &gate->zones.counts;
    const met_scalar values[] = {
        {"lavender_zone_flips_total", "counter",
         "changes of the state of the own zone for a service: preferred, "
         "crowded or weak",
         (double)counts->flips},
        {"lavender_zone_spill_changes_total", "counter",
         "changes of the zone that takes this instance's excess",
         (double)counts->spill_changes},
        {"lavender_zone_hot_parts_total", "counter",
         "prompt parts that got an affinity endpoint in the zone",
         (double)counts->hot_parts},
    };

    tal_write(&gate->requests_by_zone, writer);
    tal_write(&gate->bytes_by_zone, writer);
    met_write_scalars(writer, values, sizeof values / sizeof values[0]);
}
