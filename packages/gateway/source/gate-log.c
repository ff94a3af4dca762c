#include "gate-imp.h"

/* Lines of requests: docs/OPERATIONS.md explains the keys. */

static unsigned long long
ms(lv_time time)
{
    return (unsigned long long)(time / LV_MILLISECOND);
}

static const char *
id_of(const gate_request *request)
{
    return request->wire.attempt_id != NULL ? request->wire.attempt_id : "-";
}

static const char *
endpoint_name(const gate_request *request, lv_handle row)
{
    return row != LV_HANDLE_NONE
               ? eng_at(&request->gate->endpoints, row)->spec.name
               : "-";
}

static unsigned
share_percent(const gate_request *request)
{
    return (unsigned)(request->decision.share * 100);
}

/* How long ago the list of endpoints was last heard of. */
static lv_time
list_age(const gate_server *gate, lv_time now)
{
    return lv_elapsed(now, gate->feeds[WIRE_ENDPOINTS].last_request_at);
}

/* A decision on the way of a request, with what it was made from. */
void
gate_log_step(const gate_request *request, const char *event,
              const char *reason)
{
    const gate_server *gate = request->gate;
    const adm_decision *decision = &request->decision;
    lv_time now = io_now();
    uint32_t in_flight = 0;

    if (decision->endpoint != LV_HANDLE_NONE) {
        in_flight =
            eng_in_flight(eng_at(&gate->endpoints, decision->endpoint));
    }
    log_request(
        LOG_LEVEL_INFO, LOG_ORDINARY, now, event,
        "request=%s reason=%s endpoint=%s age_ms=%llu wait_ms=%llu "
        "own_ms=%llu uncached=%u in_flight=%u candidates=%u sends=%u "
        "share_percent=%u list_age_ms=%llu peers=%u",
        id_of(request), reason, endpoint_name(request, decision->endpoint),
        ms(lv_elapsed(now, request->received)), ms(decision->prediction.wait),
        ms(decision->prediction.own), decision->prediction.uncached, in_flight,
        decision->candidates, request->sends, share_percent(request),
        ms(list_age(gate, now)), gate->peers.live_count);
}

/* The end of a request. */
void
gate_log_end(const gate_request *request, const char *outcome,
             const char *reason)
{
    const gate_server *gate = request->gate;
    lv_time now = io_now();
    bool is_served = request->status / 100 == 2 && outcome[0] == 's';
    lv_handle endpoint = request->sends > 0 ? request->use.endpoint
                                            : request->decision.endpoint;

    log_request(
        LOG_LEVEL_INFO, is_served ? LOG_ORDINARY : LOG_IMPORTANT, now, outcome,
        "request=%s reason=%s account=%s host=%s route=%s status=%u "
        "endpoint=%s took_ms=%llu wait_ms=%llu late_ms=%llu own_ms=%llu "
        "share_percent=%u sends=%u runs=%u may_have_run=%d begun=%d "
        "retry_ms=%llu config=%llu "
        "list_age_ms=%llu store_lost=%d peers=%u",
        id_of(request), reason,
        request->account != NULL ? request->account->name : "-",
        request->route->host, request->route->prefix, request->status,
        endpoint_name(request, endpoint),
        ms(lv_elapsed(now, request->received)),
        ms(request->decision.prediction.wait),
        ms(request->decision.prediction.late),
        ms(request->decision.prediction.own), share_percent(request),
        request->sends, request->runs, request->may_have_run,
        request->has_begun,
        ms(request->decision.verdict == ADM_REFUSE
               ? request->decision.retry_after
               : 0),
        (unsigned long long)request->config->version, ms(list_age(gate, now)),
        gate->feeds[WIRE_ENDPOINTS].lost_at != 0, gate->peers.live_count);
}

/* A request that no route or key allows. */
void
gate_log_unrouted(const gate_server *gate, const http_head *head,
                  uint32_t status, const char *reason)
{
    wire_request wire;
    char target[96];
    bool is_read = gate->wire->read_request(head, &wire, NULL);

    log_request(LOG_LEVEL_INFO, LOG_IMPORTANT, io_now(), "unrouted",
                "request=%s status=%u reason=%s target=%s config=%llu "
                "store_lost=%d",
                is_read && wire.attempt_id != NULL ? wire.attempt_id : "-",
                status, reason, log_quote(head->target, target, sizeof target),
                gate->config != NULL
                    ? (unsigned long long)gate->config->version
                    : 0ULL,
                gate->feeds[WIRE_CONFIG].lost_at != 0);
}
