#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "gate-imp.h"

static json_t *
make_requests(const gate_server *gate)
{
    const gate_request *request;
    int waiting = 0;
    int running = 0;

    for (request = gate->requests; request != NULL; request = request->next) {
        running += request->state == GATE_RUNNING;
        waiting +=
            request->state != GATE_RUNNING && request->state != GATE_FINISHED;
    }
    return json_pack("{s:i, s:i}", "waiting", waiting, "running", running);
}

static json_t *
make_members(const gate_server *gate)
{
    json_t *members = json_array();
    uint32_t i;

    json_array_append_new(members, json_string(gate->settings.peer_address));
    for (i = 0; i < gate->peers.count; i++) {
        const peers_peer *peer = &gate->peers.peers[i];
        char text[LV_ADDRESS_SIZE];

        if (peer->is_live &&
            uv_ip4_name(&peer->address, text, sizeof text) == 0) {
            json_array_append_new(
                members,
                json_sprintf("%s:%u", text, ntohs(peer->address.sin_port)));
        }
    }
    return members;
}

static json_t *
make_evacuated_zones(const gate_server *gate)
{
    json_t *zones = json_array();
    uint32_t i;

    for (i = 0; i < gate->evacuation.count; i++) {
        const evc_zone *zone = &gate->evacuation.zones[i];
        char name[LV_NAME_SIZE];

        if (zone->is_evacuated) {
            json_array_append_new(
                zones, json_string(gate_zone_name(zone, name, sizeof name)));
        }
    }
    return zones;
}

static json_t *
make_cold_endpoints(const gate_server *gate)
{
    json_t *endpoints = json_array();
    lv_time now = io_now();
    lv_handle row;

    for (row = 0; row < gate->endpoints.capacity; row++) {
        const eng_endpoint *endpoint = eng_at(&gate->endpoints, row);
        lv_time left =
            endpoint->is_used ? wrm_left(&endpoint->warmup, now) : 0;

        if (left > 0) {
            json_array_append_new(
                endpoints,
                json_pack(
                    "{s:s, s:f, s:s}", "endpoint", endpoint->spec.label,
                    "seconds", (double)left / (double)LV_SECOND, "source",
                    wrm_source_text(wrm_find_source(&endpoint->warmup, now))));
        }
    }
    return endpoints;
}

static char *
write_status(const gate_server *gate, bool is_ready)
{
    json_t *root =
        json_pack("{s:s, s:s, s:b}", "instance", gate->settings.instance,
                  "zone", gate->settings.zone, "ready", is_ready);
    char *text;

    json_object_set_new(root, "members", make_members(gate));
    json_object_set_new(root, "requests", make_requests(gate));
    json_object_set_new(root, "documents",
                        json_pack("{s:{s:I}}", "catalogue", "revision",
                                  gate->config != NULL
                                      ? (json_int_t)gate->config->version
                                      : 0));
    json_object_set_new(root, "evacuated_zones", make_evacuated_zones(gate));
    json_object_set_new(root, "cold_endpoints", make_cold_endpoints(gate));
    text = json_dumps(root, JSON_INDENT(2));
    json_decref(root);
    return text;
}

void
gate_send_status(const gate_server *gate, bool is_ready,
                 front_connection *connection)
{
    char *text = write_status(gate, is_ready);

    if (text == NULL) {
        front_send_error(connection, 500, NULL, "no-memory");
        return;
    }
    front_begin_response(connection, 200, NULL, strlen(text));
    front_send_body(connection, text, strlen(text));
    front_end_response(connection);
    free(text);
}
