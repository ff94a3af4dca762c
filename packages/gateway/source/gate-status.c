#include "gate-imp.h"

/* Writes a JSON string, with the characters replaced that would end or escape
 * it. */
static void
append_string(buf_buffer *to, const char *text)
{
    buf_append_text(to, "\"");
    for (; *text != '\0'; text++) {
        bool is_plain = *text != '"' && *text != '\\' && *text >= ' ';

        buf_append(to, is_plain ? text : "_", 1);
    }
    buf_append_text(to, "\"");
}

static void
append_cold_endpoints(const gate_server *gate, buf_buffer *to)
{
    lv_time now = io_now();
    bool is_first = true;
    lv_handle row;

    buf_append_text(to, ",\"cold_endpoints\":[");
    for (row = 0; row < gate->endpoints.capacity; row++) {
        const eng_endpoint *endpoint = eng_at(&gate->endpoints, row);
        lv_time left =
            endpoint->is_used ? wrm_left(&endpoint->warmup, now) : 0;

        if (left > 0) {
            buf_append_text(to,
                            is_first ? "{\"endpoint\":" : ",{\"endpoint\":");
            append_string(to, endpoint->spec.name);
            buf_append_format(
                to, ",\"seconds\":%.3f,\"source\":\"%s\"}",
                (double)left / (double)LV_SECOND,
                wrm_source_text(wrm_find_source(&endpoint->warmup, now)));
            is_first = false;
        }
    }
    buf_append_text(to, "]");
}

static uint32_t
count_requests(const gate_server *gate, gate_request_state state)
{
    const gate_request *request;
    uint32_t count = 0;

    for (request = gate->requests; request != NULL; request = request->next) {
        count += request->state == state;
    }
    return count;
}

static void
write_status(const gate_server *gate, bool is_ready, buf_buffer *to)
{
    buf_append_text(to, "{\"instance\":");
    append_string(to, gate->settings.instance);
    buf_append_text(to, ",\"zone\":");
    append_string(to, gate->settings.zone);
    buf_append_format(
        to,
        ",\"ready\":%s,\"documents\":{\"catalogue\":{\"revision\":%llu}},"
        "\"peers\":%u,\"requests\":{\"waiting\":%u,\"running\":%u}",
        is_ready ? "true" : "false",
        gate->config != NULL ? (unsigned long long)gate->config->version : 0,
        gate->peers.live_count, count_requests(gate, GATE_QUEUED),
        count_requests(gate, GATE_RUNNING));
    append_cold_endpoints(gate, to);
    buf_append_text(to, "}\n");
}

void
gate_send_status(const gate_server *gate, bool is_ready,
                 front_connection *connection)
{
    buf_buffer text;

    buf_init(&text);
    write_status(gate, is_ready, &text);
    if (text.has_failed) {
        front_send_error(connection, 500, NULL, "no-memory");
    }
    else {
        front_begin_response(connection, 200, NULL, text.size);
        front_send_body(connection, text.data, text.size);
        front_end_response(connection);
    }
    buf_finish(&text);
}
