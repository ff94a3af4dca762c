#include "gate-imp.h"

void
gate_begin_answer(gate_attempt *attempt)
{
    gate_request *request = attempt->request;

    gate_choose_attempt(attempt);
    if (!request->has_answer_begun) {
        request->has_answer_begun = true;
        front_begin_response(request->connection, attempt->status,
                             &attempt->headers, FRONT_SIZE_UNKNOWN);
    }
}

bool
gate_is_success(const gate_attempt *attempt)
{
    return attempt->status / 100 == 2;
}

bool
gate_is_failure(const gate_attempt *attempt)
{
    return attempt->status >= 500 || attempt->status == 0;
}

bool
gate_must_drop_answer(const gate_attempt *attempt)
{
    const gate_request *request = attempt->request;
    const gate_attempt *other = gate_find_set_aside(request);

    if (request->has_answer_begun && !gate_is_success(attempt)) {
        return true;
    }
    return attempt->was_not_run || attempt->is_false_promise ||
           (gate_is_failure(attempt) &&
            (attempt->is_set_aside || other != NULL));
}

void
gate_finish_answer(gate_attempt *attempt)
{
    gate_request *request = attempt->request;
    front_connection *connection = request->connection;
    gate_server *gate = request->gate;
    bool is_served = attempt->status < 500;

    gate_choose_attempt(attempt);
    if (attempt->partial_event.size > 0) {
        gate_begin_answer(attempt);
    }
    if (request->has_answer_begun) {
        if (attempt->partial_event.size > 0) {
            front_send_body(request->connection, attempt->partial_event.data,
                            attempt->partial_event.size);
        }
    }
    else {
        front_begin_response(request->connection, attempt->status,
                             &attempt->headers, attempt->body.size);
        front_send_body(request->connection, attempt->body.data,
                        attempt->body.size);
    }
    if (is_served) {
        gate->counts.served++;
    }
    else {
        gate->counts.failed++;
    }
    /* The end of the response may read the next request over this one's. */
    request->ops->end(request, is_served ? "served" : "endpoint-error",
                      "whole");
    front_end_response(connection);
}
