#include <string.h>

#include "gate-imp.h"

/* A keeper answers within a turn of its loop and two ways through the
 * network; one that takes longer is paused or cut off. */
#define ASK_TIME (25 * LV_MILLISECOND)

/* Keepers that may turn a request down before it is refused: each question
 * takes some milliseconds of its aim. */
#define ASKS_MAX 2

static void
fill_ask(gate_request *request, lv_time now, peers_start_request *ask)
{
    gate_server *gate = request->gate;
    const eng_endpoint *endpoint =
        eng_at(&gate->endpoints, request->decision.endpoint);

    memset(ask, 0, sizeof *ask);
    ask->number = request->ask_number;
    ask->endpoint = endpoint->spec.id;
    ask->target = request->route->aim;
    ask->waited = lv_elapsed(now, request->received);
    ask->share = request->decision.share;
    ask->prompt = request->wire.prompt;
}

bool
gate_has_asked_enough(const gate_request *request)
{
    return request->asks >= ASKS_MAX;
}

bool
gate_ask_keeper(gate_request *request)
{
    gate_server *gate = request->gate;
    lv_time now = io_now();
    peers_start_request ask;

    if (!eng_at(&gate->endpoints, request->decision.endpoint)->is_engine) {
        return false;
    }
    request->ask_number = ++gate->last_ask;
    fill_ask(request, now, &ask);
    if (!peers_request_start(&gate->peers, &ask, now, &request->ask_keeper)) {
        return false;
    }
    request->state = GATE_ASKING;
    request->ask_endpoint = ask.endpoint;
    request->ask_until = now + ASK_TIME;
    return true;
}

/* The endpoint may have left in the meantime. */
static void
start_or_decide(gate_request *request, const char *reason)
{
    const eng_table *table = &request->gate->endpoints;
    lv_handle endpoint = request->decision.endpoint;

    request->state = GATE_HELD;
    if (eng_find(table, request->ask_endpoint) == endpoint &&
        eng_at(table, endpoint)->is_listed) {
        gate_start(request, reason);
    }
    else {
        gate_decide(request);
    }
}

/* Without its keeper's answer the endpoint is chosen by what is known here. */
void
gate_watch_ask(gate_request *request, lv_time now)
{
    if (now < request->ask_until) {
        return;
    }
    peers_note_unanswered(&request->gate->peers, &request->ask_keeper, now);
    start_or_decide(request, "keeper-silent");
}

void
gate_take_ask(void *owner, lv_handle endpoint, const peers_start_request *ask,
              peers_start_reply *answer)
{
    gate_server *gate = owner;
    lv_time now = io_now();
    eng_prompt prompt = ask->prompt;
    adm_request request = {
        .service = eng_at(&gate->endpoints, endpoint)->spec.service,
        .prompt = &prompt,
        .received = now - ask->waited,
        .aim = ask->target,
        .share = ask->share};
    eng_prediction prediction;
    bool has_room;

    eng_forget_home(&prompt); /* the keeper knows what is kept there */
    has_room = adm_check(&gate->settings.admission, &gate->endpoints, &request,
                         endpoint, now, &prediction);
    answer->is_granted =
        has_room && eng_at(&gate->endpoints, endpoint)->is_listed;
    eng_summarize(&gate->endpoints, endpoint, now, &answer->summary);
    answer->service_time = prediction.own;
    answer->uncached_tokens = prediction.uncached;
}

/* Numbers begin anew with each process: an answer may be for the one before.
 */
static bool
is_answered_by(const gate_request *request, const peers_start_reply *answer)
{
    return request->state == GATE_ASKING &&
           request->ask_number == answer->number &&
           request->ask_endpoint == answer->endpoint;
}

static gate_request *
find_asking(const gate_server *gate, const peers_start_reply *answer)
{
    gate_request *request = gate->requests;

    while (request != NULL && !is_answered_by(request, answer)) {
        request = request->next;
    }
    return request;
}

void
gate_take_answer(void *owner, const peers_start_reply *answer)
{
    gate_server *gate = owner;
    gate_request *request = find_asking(gate, answer);
    eng_prediction *prediction;

    if (request == NULL) {
        return; /* its caller left, or it did not wait so long */
    }
    if (!answer->is_granted) {
        request->state = GATE_HELD;
        request->asks++;
        gate_log_step(request, "denied", "keeper");
        gate_decide(request);
        return;
    }
    prediction = &request->decision.prediction;
    prediction->wait = answer->summary.wait;
    prediction->own = answer->service_time;
    prediction->uncached = answer->uncached_tokens;
    start_or_decide(request, "granted");
}
