#include <stdlib.h>
#include <string.h>

#include "gate-imp.h"
#include "gate-warmup-imp.h"

/* A request that was cut off is not sent to another endpoint in the same
 * attempt of the caller once this many crashes under it were known before. */
#define CRASHES_WITHOUT_RETRY 2

/* Answers to requests with bodies up to this size are recorded also while
 * there are no suspects: identical requests of many callers are small. */
#define POPULAR_BODY_SIZE 1024 /* bytes */

static lv_id
account_id(const gate_request *request)
{
    return request->account != NULL ? request->account->id : LV_ID_NONE;
}

static bool
is_connected(crash_detector *detector, lv_handle endpoint)
{
    const gate_server *gate = detector->owner;

    return back_is_connected(&gate->endpoint_pool, endpoint);
}

static void
probe(crash_detector *detector, lv_id endpoint)
{
    gate_server *gate = detector->owner;
    lv_handle row = eng_find(&gate->endpoints, endpoint);

    if (row != LV_HANDLE_NONE) {
        back_probe(&gate->endpoint_pool, row);
    }
}

static void
on_crash(crash_detector *detector, lv_id endpoint, uint32_t suspects,
         lv_time at)
{
    gate_server *gate = detector->owner;
    lv_handle row = eng_find(&gate->endpoints, endpoint);
    lv_time now = io_now();

    if (row != LV_HANDLE_NONE) {
        gate_note_unreachable(gate, row);
    }
    log_event(LOG_LEVEL_WARNING, now, "endpoint-crash",
              "endpoint=%s age_ms=%llu suspects=%u",
              row != LV_HANDLE_NONE ? eng_at(&gate->endpoints, row)->spec.label
                                    : "-",
              (unsigned long long)(lv_elapsed(now, at) / LV_MILLISECOND),
              suspects);
}

static const crash_ops detector_ops = {
    .is_connected = is_connected, .probe = probe, .on_crash = on_crash};

static void
on_block_change(qtn_table *table, const qtn_suspect *suspect,
                const char *change)
{
    (void)table;
    log_event(LOG_LEVEL_WARNING, io_now(), "quarantine",
              "change=%s block=%llx group=%llx accounts=%s crashes=%d "
              "trials=%u",
              change, (unsigned long long)suspect->key,
              (unsigned long long)suspect->group,
              suspect->has_other_accounts ? "all" : "one",
              __builtin_popcountll(suspect->crashes), suspect->trials);
}

static bool
may_try(qtn_table *table, uint64_t group)
{
    const gate_server *gate = table->owner;

    return peers_is_coordinator(&gate->peers, group);
}

static void
on_request_change(qtn_table *table, const qtn_suspect *suspect,
                  const char *change)
{
    (void)table;
    log_event(LOG_LEVEL_WARNING, io_now(), "request-quarantine",
              "change=%s digest=%llx crashes=%u trials=%u own=%d", change,
              (unsigned long long)suspect->key,
              (unsigned)__builtin_popcountll(suspect->crashes),
              suspect->trials, suspect->is_own);
}

static lv_id
find_service(qtn_table *table, lv_id endpoint, uint32_t *size)
{
    const gate_server *gate = table->owner;
    lv_handle found = eng_find(&gate->endpoints, endpoint);
    lv_id service;
    lv_handle row;

    if (found == LV_HANDLE_NONE) {
        return LV_ID_NONE;
    }
    service = eng_at(&gate->endpoints, found)->spec.service;
    for (row = 0; row < gate->endpoints.capacity; row++) {
        const eng_endpoint *other = &gate->endpoints.endpoints[row];

        *size += other->is_used && other->is_listed &&
                 other->spec.service == service;
    }
    return service;
}

static const qtn_ops block_ops = {.on_change = on_block_change,
                                  .may_try = may_try,
                                  .find_service = find_service};

static const qtn_ops request_ops = {.on_change = on_request_change,
                                    .may_try = may_try,
                                    .find_service = find_service};

static void
on_remote_end(void *owner, lv_handle endpoint)
{
    gate_server *gate = owner;

    crash_record_end(&gate->crashes,
                     eng_at(&gate->endpoints, endpoint)->spec.id, io_now());
}

static void
on_probe_failed(void *owner, lv_handle endpoint)
{
    gate_server *gate = owner;

    crash_record_refusal(
        &gate->crashes, eng_at(&gate->endpoints, endpoint)->spec.id, io_now());
}

void
gate_finish_quarantine(gate_server *gate)
{
    crash_finish(&gate->crashes);
    qtn_finish(&gate->quarantine);
    qtn_finish(&gate->request_quarantine);
    free(gate->block_ids);
}

void
gate_init_quarantine(gate_server *gate)
{
    qtn_init(&gate->quarantine, &qtn_block_rules, &block_ops, gate);
    qtn_init(&gate->request_quarantine, &qtn_request_rules, &request_ops,
             gate);
    crash_init(&gate->crashes, &detector_ops, gate, &gate->quarantine,
               &gate->request_quarantine);
    gate->endpoint_pool.on_remote_end = on_remote_end;
    gate->endpoint_pool.on_probe_failed = on_probe_failed;
    gate->peers.quarantines[PEERS_BLOCKS] = &gate->quarantine;
    gate->peers.quarantines[PEERS_REQUESTS] = &gate->request_quarantine;
}

/* Had the answer not begun, so that the request may have caused a crash? */
static bool
is_suspect(const gate_attempt *attempt, lv_time now)
{
    return attempt->first_output_at == 0 ||
           lv_elapsed(now, attempt->first_output_at) < QTN_BEGUN_AGE;
}

static void
note_cut(const gate_attempt *attempt)
{
    gate_request *request = attempt->request;
    gate_server *gate = request->gate;
    lv_handle row = attempt->reservation.endpoint;
    lv_time now = io_now();
    crash_cut cut = {.endpoint = eng_at(&gate->endpoints, row)->spec.id,
                     .row = row,
                     .at = now,
                     .is_suspect = is_suspect(attempt, now),
                     .account = account_id(request),
                     .sent_at = attempt->reservation.started_at,
                     .digest = gate_digest(request)};

    gate_collect_blocks(request, &cut.blocks);
    crash_record_cut(&gate->crashes, &cut);
}

static void
note_refused_connection(const gate_attempt *attempt)
{
    gate_server *gate = attempt->request->gate;

    crash_record_refusal(
        &gate->crashes,
        eng_at(&gate->endpoints, attempt->reservation.endpoint)->spec.id,
        io_now());
}

static void
record_request_answer(const gate_attempt *attempt, lv_time now)
{
    gate_request *request = attempt->request;
    qtn_table *table = &request->gate->request_quarantine;

    if (table->suspect_count > 0 ||
        request->connection->body.size <= POPULAR_BODY_SIZE) {
        uint64_t digest = gate_digest(request);
        qtn_keys keys = {.keys = &digest, .count = 1};

        qtn_record_answer(table, &keys, attempt->first_output_at, now);
    }
}

/* A response that blames the caller, too, shows that the endpoint did not
 * crash. */
static void
note_request_answer(gate_attempt *attempt, lv_time now)
{
    if (!attempt->is_begun_recorded && attempt->first_output_at != 0 &&
        attempt->status < 500 && !attempt->was_not_run) {
        record_request_answer(attempt, now);
    }
}

void
gate_note_outcome(gate_attempt *attempt, back_outcome outcome,
                  const char *reason)
{
    if (outcome == BACK_COMPLETE) {
        gate_record_begun(attempt, true, io_now());
        note_request_answer(attempt, io_now());
    }
    else if (outcome == BACK_NOT_SENT &&
             strcmp(reason, "connect-failed") == 0) {
        note_refused_connection(attempt);
        gate_note_unreachable(attempt->request->gate,
                              attempt->reservation.endpoint);
    }
    else if (outcome == BACK_NOT_SENT &&
             !ovl_is_late(&attempt->request->gate->overload)) {
        gate_note_unreachable(attempt->request->gate,
                              attempt->reservation.endpoint);
    }
    else if (outcome == BACK_NO_RESPONSE || outcome == BACK_TRUNCATED) {
        gate_log_cut(attempt, reason);
        note_cut(attempt);
    }
}

void
gate_record_begun(gate_attempt *attempt, bool is_whole, lv_time now)
{
    qtn_keys blocks;

    if (attempt->is_begun_recorded || attempt->first_output_at == 0 ||
        attempt->status / 100 != 2 ||
        (!is_whole &&
         lv_elapsed(now, attempt->first_output_at) < QTN_BEGUN_AGE)) {
        return;
    }
    attempt->is_begun_recorded = true;
    gate_collect_blocks(attempt->request, &blocks);
    qtn_record_answer(&attempt->request->gate->quarantine, &blocks,
                      attempt->first_output_at, now);
    record_request_answer(attempt, now);
}

bool
gate_is_cause_of_crashes(const gate_attempt *attempt)
{
    gate_request *request = attempt->request;
    const qtn_table *table = &request->gate->request_quarantine;
    uint64_t digest;
    qtn_keys keys = {.keys = &digest, .count = 1};

    if (table->suspect_count == 0 || request->has_answer_begun ||
        !is_suspect(attempt, io_now())) {
        return false;
    }
    digest = gate_digest(request);
    return qtn_count_crashes(table, &keys) >= CRASHES_WITHOUT_RETRY;
}

static bool
is_request_refused(gate_request *request, bool starts, lv_time *retry_after)
{
    qtn_table *table = &request->gate->request_quarantine;
    uint64_t digest;
    qtn_keys keys = {.keys = &digest, .count = 1};

    if (table->quarantined_count == 0) {
        return false;
    }
    digest = gate_digest(request);
    return qtn_is_refused(table, &keys, LV_ID_NONE, starts, io_now(),
                          retry_after);
}

static bool
is_block_refused(gate_request *request, bool starts, lv_time *retry_after)
{
    qtn_table *table = &request->gate->quarantine;
    qtn_keys blocks;

    if (table->quarantined_count == 0) {
        return false;
    }
    gate_collect_blocks(request, &blocks);
    return qtn_is_refused(table, &blocks, account_id(request), starts,
                          io_now(), retry_after);
}

bool
gate_refuse_quarantined(gate_request *request, bool starts)
{
    lv_time retry_after;

    if (is_request_refused(request, starts, &retry_after)) {
        request->gate->counts.quarantined_requests_refused++;
    }
    else if (is_block_refused(request, starts, &retry_after)) {
        request->gate->counts.quarantine_refused++;
    }
    else {
        return false;
    }
    if (request->may_have_run || request->has_answer_begun ||
        gate_find_set_aside(request) != NULL) {
        gate_give_up_request(request, 502, "quarantined");
    }
    else {
        gate_refuse_request(request, 503, retry_after, "quarantined");
    }
    return true;
}

static uint32_t
count_endpoints(const eng_table *table, uint32_t *engines)
{
    uint32_t listed = 0;
    lv_handle row;

    *engines = 0;

    for (row = 0; row < table->capacity; row++) {
        const eng_endpoint *endpoint = &table->endpoints[row];

        if (endpoint->is_used && endpoint->is_listed) {
            listed++;
            *engines += endpoint->is_engine;
        }
    }
    return listed;
}

static void
update_table(const gate_server *gate, qtn_table *table, uint32_t endpoints,
             lv_time now)
{
    table->claimants_needed = peers_is_large_fleet(&gate->peers)
                                  ? QTN_CLAIMANTS_MAX
                                  : QTN_CLAIMANTS_MIN;
    table->endpoint_count = endpoints > 0 ? endpoints : 1;
    table->settle_time =
        2 * QTN_BEGUN_AGE + 2 * peers_broadcast_interval(&gate->peers);
    qtn_update(table, now);
}

/* Prompts are sent to engines, or to all endpoints where no service is
 * declared one. */
void
gate_update_quarantine(gate_server *gate, lv_time now)
{
    uint32_t engines;
    uint32_t listed = count_endpoints(&gate->endpoints, &engines);

    crash_update(&gate->crashes, now);
    update_table(gate, &gate->quarantine, engines > 0 ? engines : listed, now);
    update_table(gate, &gate->request_quarantine, listed, now);
}

void
gate_write_quarantine_metrics(const gate_server *gate, met_writer *writer)
{
    const qtn_counts *counts = &gate->quarantine.counts;
    const qtn_table *requests = &gate->request_quarantine;
    const met_scalar values[] = {
        {"lavender_endpoint_crashes_total", "counter",
         "crashes of endpoints that this instance saw",
         (double)counts->crashes},
        {"lavender_suspect_blocks", "gauge",
         "prompt blocks that endpoints crashed under and no answer cleared",
         gate->quarantine.suspect_count},
        {"lavender_suspect_blocks_cleared_total", "counter",
         "of such blocks, cleared by an answer", (double)counts->cleared},
        {"lavender_quarantined_blocks", "gauge", "prompt blocks in quarantine",
         gate->quarantine.quarantined_count},
        {"lavender_quarantined_blocks_total", "counter",
         "prompt blocks that were quarantined here",
         (double)counts->quarantined},
        {"lavender_quarantine_refused_total", "counter",
         "requests refused for a block in quarantine",
         (double)gate->counts.quarantine_refused},
        {"lavender_quarantine_trials_total", "counter",
         "requests sent as a trial of a block in quarantine",
         (double)counts->trials},
        {"lavender_suspect_requests", "gauge",
         "requests that endpoints crashed under and no answer cleared",
         requests->suspect_count},
        {"lavender_suspect_requests_cleared_total", "counter",
         "of such requests, cleared by an answer",
         (double)requests->counts.cleared},
        {"lavender_quarantined_requests", "gauge",
         "requests in quarantine, by digest", requests->quarantined_count},
        {"lavender_quarantined_requests_total", "counter",
         "requests that were quarantined here",
         (double)requests->counts.quarantined},
        {"lavender_quarantined_requests_refused_total", "counter",
         "repeats of requests in quarantine that were refused",
         (double)gate->counts.quarantined_requests_refused},
        {"lavender_quarantined_requests_trials_total", "counter",
         "repeats of requests in quarantine that were sent as a trial",
         (double)requests->counts.trials},
    };

    met_write_scalars(writer, values, sizeof values / sizeof values[0]);
}
