#include <string.h>

#include "gate-imp.h"
#include "gate-warmup-imp.h"

/* A coordinator answers within an iteration of its loop and one network round
 * trip; one that takes longer is paused or cut off. */
#define GRANT_TIMEOUT (25 * LV_MILLISECOND)

/* A request is refused after this many denials: each grant request takes some
 * milliseconds of its latency target. */
#define MAX_GRANT_DENIALS 2

/* The same for denials by the limits of endpoints, each of another one: it is
 * passed over afterwards. */
#define MAX_LIMIT_DENIALS 6

/* A limited endpoint whose coordinator did not answer is passed over for this
 * long. */
#define SILENT_CLOSURE (100 * LV_MILLISECOND)

/* Percent of an endpoint's limit that an instance grants while it takes
 * another one for the coordinator, which may be granting, too. */
#define STAND_IN_PERCENT 50

static void
fill_limit_word(const pace_state *pace, lv_time now, peers_start_request *ask)
{
    ask->limit_age = lv_elapsed(now, pace->heard_at);
    ask->has_limit_word = pace->heard_at != 0;
    ask->limit = pace->limit;
}

static void
fill_grant_request(gate_request *request, lv_time now,
                   peers_start_request *ask)
{
    gate_server *gate = request->gate;
    const eng_endpoint *endpoint =
        eng_at(&gate->endpoints, request->decision.endpoint);

    memset(ask, 0, sizeof *ask);
    ask->number = request->grant_number;
    ask->endpoint = endpoint->spec.id;
    ask->target = request->route->target;
    ask->waited = lv_elapsed(now, gate_waiting_since(request));
    ask->share = request->decision.share_ratio;
    ask->prompt = request->decoded.prompt;
    ask->fetch = request->fetch.offer;
    fill_limit_word(&endpoint->pace, now, ask);
}

bool
gate_is_denial_limit_reached(const gate_request *request)
{
    return request->grant_denials >= MAX_GRANT_DENIALS ||
           request->limit_denials >= MAX_LIMIT_DENIALS;
}

bool
gate_send_grant_request(gate_request *request, bool is_limited, lv_time now)
{
    peers_start_request ask;

    fill_grant_request(request, now, &ask);
    if (!peers_request_start(&request->gate->peers, &ask, is_limited, now,
                             &request->grant_coordinator)) {
        return false;
    }
    request->state = GATE_AWAITING_GRANT;
    request->grant_endpoint = ask.endpoint;
    request->grant_deadline = now + GRANT_TIMEOUT;
    return true;
}

bool
gate_request_grant(gate_request *request)
{
    gate_server *gate = request->gate;
    lv_time now = io_now();
    lv_handle row = request->decision.endpoint;
    const eng_endpoint *endpoint = eng_at(&gate->endpoints, row);
    bool is_limited =
        pace_is_limited(&endpoint->pace) || gate_is_cold(gate, row, now);

    gate_choose_fetch(request);
    if (!endpoint->is_engine && !is_limited) {
        return false;
    }
    request->grant_number = ++gate->last_grant_number;
    request->is_grant_repeated = false;
    if (gate_send_grant_request(request, is_limited, now)) {
        return true;
    }
    if (gate_may_start_cold(gate, row, now)) {
        return false;
    }
    gate_deny_cold(request, row, 0, "cold");
    gate_decide_request(request);
    return true;
}

/* The endpoint may have been withdrawn while the request waited for a grant,
 * or takes no request for some time; the request is then decided again. A
 * grant counts more than what this instance knows of the endpoint's limit. */
static void
start_if_available(gate_request *request, bool is_granted, const char *reason)
{
    const eng_table *table = &request->gate->endpoints;
    lv_handle endpoint = request->decision.endpoint;
    avl_reason reason_not;
    lv_time free_at;

    request->state = GATE_QUEUED;
    reason_not = eng_check_send(table, endpoint, io_now(), &free_at);
    if (eng_find(table, request->grant_endpoint) == endpoint &&
        (reason_not == AVL_AVAILABLE ||
         ((reason_not == AVL_LIMITED || reason_not == AVL_COLD) &&
          is_granted))) {
        gate_check_fetch(request);
        gate_start_request(request, reason);
    }
    else {
        request->gate->counts.kept_from_evacuated +=
            reason_not == AVL_EVACUATED;
        gate_decide_request(request);
    }
}

/* Without an answer in time the request starts where this instance decided,
 * unless the endpoint is limited: it goes elsewhere then. */
void
gate_check_grant_deadline(gate_request *request, lv_time now)
{
    gate_server *gate = request->gate;
    lv_handle endpoint;

    if (now < request->grant_deadline) {
        return;
    }
    peers_note_unanswered(&gate->peers, &request->grant_coordinator, now);
    endpoint = eng_find(&gate->endpoints, request->grant_endpoint);
    if (endpoint != LV_HANDLE_NONE && gate_is_cold(gate, endpoint, now)) {
        if (!gate_repeat_cold_request(request, now)) {
            gate_deny_cold(request, endpoint, SILENT_CLOSURE, "keeper-silent");
            gate_decide_request(request);
        }
        return;
    }
    if (endpoint != LV_HANDLE_NONE &&
        pace_is_limited(&eng_at(&gate->endpoints, endpoint)->pace)) {
        request->state = GATE_QUEUED;
        request->limit_denials++;
        pace_close(&eng_at(&gate->endpoints, endpoint)->pace, SILENT_CLOSURE,
                   now);
        gate_log_step(request, "denied", "keeper-silent");
        gate_decide_request(request);
        return;
    }
    start_if_available(request, false, "keeper-silent");
}

static uint32_t
grant_percent(const gate_server *gate, lv_id endpoint)
{
    return peers_is_coordinator(&gate->peers, endpoint) ? 100
                                                        : STAND_IN_PERCENT;
}

void
gate_handle_grant_request(void *owner, lv_handle endpoint,
                          const peers_start_request *ask,
                          peers_start_reply *answer)
{
    gate_server *gate = owner;
    lv_time now = io_now();
    eng_prompt prompt = ask->prompt;
    adm_request request = {
        .service = eng_at(&gate->endpoints, endpoint)->spec.service,
        .prompt = &prompt,
        .received = now - ask->waited,
        .target = ask->target,
        .share_ratio = ask->share};
    pace_state *pace = &eng_at(&gate->endpoints, endpoint)->pace;
    eng_prediction prediction;
    avl_reason reason;
    lv_time free_at;
    bool has_room;

    eng_clear_affinity(&prompt); /* the coordinator knows what is cached */
    has_room = adm_may_start(&gate->settings.admission, &gate->endpoints,
                             &request, endpoint, now, &prediction);
    /* A back-off is between the endpoint and this instance alone. */
    reason = eng_check_send(&gate->endpoints, endpoint, now, &free_at);
    answer->is_granted = has_room && reason != AVL_UNLISTED &&
                         reason != AVL_LEAVING && reason != AVL_EVACUATED;
    if (ask->has_limit_word) {
        pace_hear(pace, ask->limit, ask->sender,
                  lv_elapsed(now, ask->limit_age), now);
    }
    gate_grant_cold(gate, endpoint, ask, answer);
    if (answer->is_granted) {
        answer->is_granted =
            pace_grant(pace, grant_percent(gate, ask->endpoint), now,
                       &answer->limit_wait);
        if (!answer->is_granted) {
            gate_return_cold(gate, endpoint);
        }
    }
    eng_summarize(&gate->endpoints, endpoint, now, &answer->summary);
    answer->spared_tokens = gate_apply_offer(gate, endpoint, ask, &prediction);
    if (answer->is_granted) {
        eng_count_fetched(&gate->endpoints, endpoint, answer->spared_tokens);
    }
    answer->service_time = prediction.service_time;
    answer->uncached_tokens = prediction.uncached_tokens;
}

/* Grant numbers restart with each process: an answer to the previous process
 * may have the number of a current request, so the endpoint must match too. */
static bool
matches_answer(const gate_request *request, const peers_start_reply *answer)
{
    return request->state == GATE_AWAITING_GRANT &&
           request->grant_number == answer->number &&
           request->grant_endpoint == answer->endpoint;
}

static gate_request *
find_awaiting_request(const gate_server *gate, const peers_start_reply *answer)
{
    gate_request *request = gate->requests;

    while (request != NULL && !matches_answer(request, answer)) {
        request = request->next;
    }
    return request;
}

static void
handle_denial(gate_request *request, const peers_start_reply *answer)
{
    eng_table *endpoints = &request->gate->endpoints;

    request->state = GATE_QUEUED;
    if (answer->cold_wait > 0) {
        gate_deny_cold(request, request->decision.endpoint, answer->cold_wait,
                       "cold");
    }
    else if (answer->limit_wait > 0) {
        request->limit_denials++;
        pace_close(&eng_at(endpoints, request->decision.endpoint)->pace,
                   answer->limit_wait, io_now());
        gate_log_step(request, "denied", "limited");
    }
    else {
        request->grant_denials++;
        gate_log_step(request, "denied", "keeper");
    }
    gate_decide_request(request);
}

void
gate_handle_grant_answer(void *owner, const peers_start_reply *answer)
{
    gate_server *gate = owner;
    gate_request *request = find_awaiting_request(gate, answer);
    eng_prediction *prediction;

    gate_hear_coordinator(gate, answer);
    if (request == NULL) {
        return; /* the caller disconnected, or the deadline passed */
    }
    if (!answer->is_granted) {
        handle_denial(request, answer);
        return;
    }
    prediction = &request->decision.prediction;
    prediction->wait = answer->summary.wait;
    prediction->unmodelled_wait = 0;
    prediction->service_time = answer->service_time;
    prediction->uncached_tokens = answer->uncached_tokens;
    gate_note_spared(request, answer->spared_tokens);
    start_if_available(request, true, "granted");
}
