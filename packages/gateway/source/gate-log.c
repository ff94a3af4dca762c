#include <stdio.h>

#include "gate-imp.h"

/* docs/OPERATIONS.md explains the keys of the lines. */

/* Of the ids of blocks in a line; the last ones of many do not fit. */
#define LOGGED_BLOCKS_SIZE 256

static unsigned long long
to_ms(lv_time time)
{
    return (unsigned long long)(time / LV_MILLISECOND);
}

const char *
gate_request_label(const char *id, char *text)
{
    lv_shorten_name(text, LOG_REQUEST_SIZE, id != NULL ? id : "-");
    return text;
}

/* Names in a request's log lines, shortened to leave room for other keys. */
typedef struct log_names {
    char request[LOG_REQUEST_SIZE];
    char account[LV_NAME_SIZE];
    char host[2 * LV_NAME_SIZE];
    char prefix[2 * LV_NAME_SIZE];
} log_names;

static void
fill_names(const gate_request *request, log_names *names)
{
    gate_request_label(request->decoded.attempt_id, names->request);
    lv_shorten_name(names->account, sizeof names->account,
                    request->account != NULL ? request->account->name : "-");
    lv_shorten_name(names->host, sizeof names->host, request->route->host);
    lv_shorten_name(names->prefix, sizeof names->prefix,
                    request->route->prefix);
}

static const char *
endpoint_name(const gate_request *request, lv_handle row)
{
    return row != LV_HANDLE_NONE
               ? eng_at(&request->gate->endpoints, row)->spec.label
               : "-";
}

static const char *
endpoint_version(const gate_request *request, lv_handle row)
{
    const char *version =
        row != LV_HANDLE_NONE
            ? eng_at(&request->gate->endpoints, row)->spec.version
            : "";

    return version[0] != '\0' ? version : "-";
}

static unsigned
share_percent(const gate_request *request)
{
    return (unsigned)(request->decision.share_ratio * 100);
}

/* Time since the endpoint of the last attempt sent something, or since it was
 * sent the request. */
static lv_time
silence(const gate_request *request, lv_time now)
{
    return request->sends > 0 ? lv_elapsed(now, request->attempt->last_data_at)
                              : 0;
}

/* Time since the list of endpoints was last requested from the store. */
static lv_time
list_age(const gate_server *gate, lv_time now)
{
    return lv_elapsed(now, gate->feeds[WIRE_ENDPOINTS].last_request_at);
}

void
gate_log_step(const gate_request *request, const char *event,
              const char *reason)
{
    const gate_server *gate = request->gate;
    const adm_decision *decision = &request->decision;
    lv_time now = io_now();
    uint32_t in_flight = 0;
    char id[LOG_REQUEST_SIZE];
    char resumed[LOG_REQUEST_SIZE];

    if (decision->endpoint != LV_HANDLE_NONE) {
        in_flight =
            eng_in_flight(eng_at(&gate->endpoints, decision->endpoint));
    }
    log_request(
        LOG_LEVEL_INFO, LOG_ORDINARY, now, event,
        "request=%s reason=%s endpoint=%s age_ms=%llu wait_ms=%llu "
        "own_ms=%llu uncached=%u in_flight=%u candidates=%u sends=%u "
        "share_percent=%u list_age_ms=%llu peers=%u version=%s "
        "resumes=%s fetch=%s fetch_tokens=%u fetch_reason=%s%s%s",
        gate_request_label(request->decoded.attempt_id, id), reason,
        endpoint_name(request, decision->endpoint),
        to_ms(lv_elapsed(now, request->received_at)),
        to_ms(decision->prediction.wait),
        to_ms(decision->prediction.service_time),
        decision->prediction.uncached_tokens, in_flight,
        decision->candidate_count, request->sends, share_percent(request),
        to_ms(list_age(gate, now)), gate->peers.live_count,
        endpoint_version(request, decision->endpoint),
        gate_request_label(request->decoded.resumes, resumed),
        endpoint_name(request, request->fetch.source), request->fetch.tokens,
        fch_reason_text(request->fetch.reason),
        decision->crossing != LOC_UNKNOWN ? " zone=" : "",
        decision->crossing != LOC_UNKNOWN ? loc_reason_text(decision->crossing)
                                          : "");
}

void
gate_log_end(const gate_request *request, const char *outcome,
             const char *reason)
{
    const gate_server *gate = request->gate;
    lv_time now = io_now();
    bool is_served = request->attempt->status / 100 == 2 && outcome[0] == 's';
    lv_handle endpoint = request->sends > 0
                             ? request->attempt->reservation.endpoint
                             : request->decision.endpoint;
    log_names names;

    fill_names(request, &names);
    log_request(
        LOG_LEVEL_INFO, is_served ? LOG_ORDINARY : LOG_IMPORTANT, now, outcome,
        "request=%s reason=%s account=%s host=%s route=%s status=%u "
        "endpoint=%s took_ms=%llu wait_ms=%llu late_ms=%llu own_ms=%llu "
        "share_percent=%u sends=%u runs=%u may_have_run=%d begun=%d "
        "silent_ms=%llu retry_ms=%llu config=%llu "
        "list_age_ms=%llu store_lost=%d peers=%u",
        names.request, reason, names.account, names.host, names.prefix,
        request->attempt->status, endpoint_name(request, endpoint),
        to_ms(lv_elapsed(now, request->received_at)),
        to_ms(request->decision.prediction.wait),
        to_ms(request->decision.prediction.unmodelled_wait),
        to_ms(request->decision.prediction.service_time),
        share_percent(request), request->sends, request->runs,
        request->may_have_run, request->has_answer_begun,
        to_ms(silence(request, now)),
        to_ms(request->decision.verdict == ADM_REFUSE
                  ? request->decision.retry_after
                  : 0),
        (unsigned long long)request->config->version,
        to_ms(list_age(gate, now)), gate->feeds[WIRE_ENDPOINTS].lost_at != 0,
        gate->peers.live_count);
}

void
gate_log_cut(const gate_attempt *attempt, const char *reason)
{
    gate_request *request = attempt->request;
    char blocks[LOGGED_BLOCKS_SIZE];
    uint32_t block_count = gate_format_blocks(request, blocks, sizeof blocks);
    lv_time now = io_now();
    log_names names;

    fill_names(request, &names);
    log_request(
        LOG_LEVEL_INFO, LOG_IMPORTANT, now, "attempt-cut",
        "request=%s reason=%s endpoint=%s account=%s status=%u output=%d "
        "output_ms=%llu silent_ms=%llu digest=%llx block_count=%u "
        "blocks=%s fault=%s",
        names.request, reason,
        endpoint_name(request, attempt->reservation.endpoint), names.account,
        attempt->status, attempt->first_output_at != 0,
        to_ms(attempt->first_output_at != 0
                  ? lv_elapsed(now, attempt->first_output_at)
                  : 0),
        to_ms(lv_elapsed(now, attempt->last_data_at)),
        (unsigned long long)gate_digest(request), block_count, blocks,
        attempt->exchange.fault != NULL ? attempt->exchange.fault : "-");
}

void
gate_log_unrouted(const gate_server *gate, const http_head *head,
                  uint32_t status, const char *reason)
{
    wire_request decoded;
    char target[96];
    char id[LOG_REQUEST_SIZE];
    bool is_read = gate->wire->read_request(head, &decoded, NULL);

    log_request(LOG_LEVEL_INFO, LOG_IMPORTANT, io_now(), "unrouted",
                "request=%s status=%u reason=%s target=%s config=%llu "
                "store_lost=%d",
                gate_request_label(is_read ? decoded.attempt_id : NULL, id),
                status, reason, log_quote(head->target, target, sizeof target),
                gate->config != NULL
                    ? (unsigned long long)gate->config->version
                    : 0ULL,
                gate->feeds[WIRE_CONFIG].lost_at != 0);
}
