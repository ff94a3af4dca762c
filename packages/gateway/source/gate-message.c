#include "gate-imp.h"

void
gate_write_request(const gate_request *request, buf_buffer *to)
{
    const gate_server *gate = request->gate;
    const http_head *head = request->connection->head;
    const buf_buffer *body = &request->connection->body;
    wire_forward forward = {
        .endpoint =
            eng_at(&gate->endpoints, request->decision.endpoint)->spec.name,
        .account = request->account != NULL ? request->account->name : NULL,
        .last_event_id =
            request->last_event_id[0] != '\0' ? request->last_event_id : NULL,
        .fetch_from = gate_fetch_address(request),
        .timeout = lv_elapsed(request->answer_deadline, io_now())};

    buf_append_text(to, head->method);
    buf_append_text(to, " ");
    buf_append_text(to, head->target);
    buf_append_text(to, " HTTP/1.1\r\n");
    gate->wire->write_request(to, head, &forward);
    if (head->framing != HTTP_NO_BODY) {
        buf_append_format(to, "Content-Length: %zu\r\n", body->size);
    }
    buf_append_text(to, "\r\n");
    buf_append(to, body->data, body->size);
}

uint64_t
gate_digest(gate_request *request)
{
    const http_head *head = request->connection->head;
    const buf_buffer *body = &request->connection->body;
    dig_request parts = {
        .method = head->method,
        .host = request->route->host,
        .target = head->target,
        .account = request->account != NULL ? request->account->name : NULL,
        .body = body->data,
        .body_size = body->size};

    if (request->digest == DIG_NONE) {
        request->digest = dig_compute(&parts);
    }
    return request->digest;
}
