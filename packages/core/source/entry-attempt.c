#include "entry-imp.h"

#define HUNDREDTHS UINT64_C(100)
#define RETRY_BURST (100 * HUNDREDTHS)
#define GAP_PARTS 8

/* The average time between two events of a busy time. */
static void
note_gap(lv_time now, lv_time *last, lv_time *gap)
{
    lv_time length = lv_elapsed(now, *last);

    if (*last != 0) {
        *gap =
            *gap == 0 ? length : *gap - *gap / GAP_PARTS + length / GAP_PARTS;
    }
    *last = now;
}

static void
note_start(entry_state *entry, lv_time now, const entry_item *item)
{
    entry_flow *flow = &entry->flows[item->flow];
    ledger_line *line = entry_line(entry, item->flow);

    if (now > item->arrived) {
        note_gap(now, &flow->last_start, &flow->start_gap);
    }
    if (flow->told_later > 0) {
        flow->told_later--;
    }
    if (line != NULL && item->attempt == 0) {
        line->started++;
        line->waited += lv_elapsed(now, item->arrived);
    }
}

/* Give a waiting request (or, with an offset, one whose stream is to be
 * resumed) to a lease that is not in any idle list. */
void
entry_start_attempt(entry_state *entry, lv_time now, uint32_t index,
                    uint32_t lease_index, uint64_t offset, const char *reason,
                    uint32_t alternatives)
{
    entry_item *item = &entry->items[index];
    entry_lease *lease = &entry->leases[lease_index];
    entry_shard *shard = &entry->shards[lease->shard];
    lv_attempt attempt;

    if (item->state == ITEM_WAITING) {
        entry_unwait(entry, now, index);
        note_start(entry, now, item);
    }
    lease->item = index;
    if (lease->flow == NONE && shard->is_contended) {
        lease->flow = item->flow;
    }
    item->lease = lease_index;
    item->state = ITEM_OPENING;
    item->attempt++;
    if (offset == 0) {
        entry_note_turn(entry, item->flow);
        entry_charge_start(entry, now, index);
    }
    entry->counts.running++;
    entry->counts.attempts++;
    attempt = (lv_attempt){
        .request = entry_item_handle(entry, index),
        .number = item->attempt,
        .endpoint = entry->endpoints[lease->endpoint].id,
        .fresh_connection = !item->idempotent,
        .resume_offset = offset,
    };
    entry_log(entry, LV_DECIDE_ROUTE, reason, index, lease->endpoint,
              lease->id, alternatives);
    entry->host->ops->start_attempt(entry->host, &attempt);
}

/* The attempt is over: its lease serves no request now. */
static uint32_t
take_lease(entry_state *entry, uint32_t index)
{
    entry_item *item = &entry->items[index];
    uint32_t lease = item->lease;

    item->lease = NONE;
    entry->leases[lease].item = NONE;
    entry->counts.running--;
    return lease;
}

void
entry_end_item(entry_state *entry, lv_time now, uint32_t index, out_kind kind,
               out_reason reason, lv_time retry_after)
{
    const entry_item *item = &entry->items[index];
    lv_handle handle = entry_item_handle(entry, index);
    ledger_line *line = entry_line(entry, item->flow);
    out_outcome outcome = {kind, reason, retry_after};

    if (line != NULL) {
        line->finished++;
    }
    note_gap(now, &entry->last_finish, &entry->finish_gap);
    entry->counts.finished[kind]++;
    entry_log(entry, LV_DECIDE_FINISH,
              reason == OUT_REASON_NONE ? out_kind_name(kind)
                                        : out_reason_name(reason),
              index, NONE, item->attempt, 0);
    entry_free_item(entry, index);
    entry->host->ops->finish_request(entry->host, handle, &outcome);
}

void
entry_rest_endpoint(entry_state *entry, lv_time now, uint32_t index)
{
    entry_endpoint *endpoint = &entry->endpoints[index];
    lv_time rest = entry->settings.backoff;

    for (uint32_t i = 0;
         i < endpoint->failures && rest < entry->settings.backoff_max; i++) {
        rest *= 2;
    }
    if (rest > entry->settings.backoff_max) {
        rest = entry->settings.backoff_max;
    }
    if (endpoint->rest_until == 0) {
        entry->resting++;
        endpoint->failures++;
        endpoint->rest_until = now + rest;
    }
    if (entry->next_rest > endpoint->rest_until) {
        entry->next_rest = endpoint->rest_until;
    }
    entry_wake(entry, entry->next_rest);
}

void
entry_end_rests(entry_state *entry, lv_time now)
{
    if (entry->resting == 0) {
        return;
    }
    if (entry->next_rest > now) {
        entry_wake(entry, entry->next_rest);
        return;
    }
    entry->next_rest = LV_TIME_NEVER;
    for (uint32_t i = 0; i < entry->endpoint_count; i++) {
        entry_endpoint *endpoint = &entry->endpoints[i];

        if (endpoint->rest_until == 0) {
            continue;
        }
        if (endpoint->rest_until <= now) {
            endpoint->rest_until = 0;
            entry->resting--;
        }
        else if (endpoint->rest_until < entry->next_rest) {
            entry->next_rest = endpoint->rest_until;
        }
    }
    entry_wake(entry, entry->next_rest);
    entry_serve_all(entry, now);
}

static bool
draw_retry(entry_state *entry)
{
    if (entry->budget < HUNDREDTHS) {
        return false;
    }
    entry->budget -= HUNDREDTHS;
    return true;
}

static void
note_success(entry_state *entry, uint32_t endpoint)
{
    entry->budget += entry->settings.retry_percent;
    if (entry->budget > RETRY_BURST) {
        entry->budget = RETRY_BURST;
    }
    entry->endpoints[endpoint].failures = 0;
}

static out_reason
failure_reason(entry_result end)
{
    switch (end) {
    case ENTRY_RESULT_LOST:
        return OUT_REASON_ENDPOINT_LOST;
    case ENTRY_RESULT_INVALID:
    case ENTRY_RESULT_BUSY:
        return OUT_REASON_ENDPOINT_FAILED;
    default:
        return OUT_REASON_NO_ENDPOINT;
    }
}

/* A lost connection alone does not speak against an endpoint; two in a row,
 * or no connection at all, do. */
static void
note_failure(entry_state *entry, lv_time now, uint32_t endpoint,
             entry_result end)
{
    if (end == ENTRY_RESULT_UNCONNECTED || end == ENTRY_RESULT_BUSY ||
        entry->endpoints[endpoint].failures > 0) {
        entry_rest_endpoint(entry, now, endpoint);
    }
    else {
        entry->endpoints[endpoint].failures = 1;
    }
}

/* The outcome of a request that is given up. */
static out_kind
given_up_kind(const entry_item *item)
{
    if (!item->was_sent) {
        return OUT_NOT_RUN;
    }
    return item->idempotent && item->delivered > 0 ? OUT_INCOMPLETE
                                                   : OUT_UNKNOWN;
}

typedef enum next_step {
    STEP_RETRY,
    STEP_RESUME,
    STEP_GIVE_UP
} next_step;

/* What a failed attempt allows. Once a request that is not idempotent was
 * sent, nothing allows a second time. */
static next_step
after_failure(const entry_state *entry, lv_time now, const entry_item *item,
              entry_result end)
{
    if (item->was_sent && !item->idempotent) {
        return STEP_GIVE_UP;
    }
    if (item->delivered == 0) {
        return STEP_RETRY;
    }
    if (item->can_resume && end != ENTRY_RESULT_INVALID &&
        entry_may_use(entry, now, item->lease)) {
        return STEP_RESUME;
    }
    return STEP_GIVE_UP;
}

static void
give_up(entry_state *entry, lv_time now, uint32_t index, out_reason reason)
{
    uint32_t lease = take_lease(entry, index);
    out_kind kind = given_up_kind(&entry->items[index]);
    lv_time retry_after = 0;

    if (reason == OUT_REASON_DEADLINE) {
        uint32_t flow = entry->items[index].flow;

        retry_after =
            entry_drain_time(entry, flow, entry->flows[flow].waiting + 1);
    }
    else if (kind == OUT_NOT_RUN || reason == OUT_REASON_RETRIES_SPENT) {
        retry_after = entry->settings.backoff_max;
    }
    entry_settle_lease(entry, now, lease, "same-slot");
    entry_end_item(entry, now, index, kind, reason, retry_after);
}

static void
resume(entry_state *entry, lv_time now, uint32_t index)
{
    entry_item *item = &entry->items[index];
    uint32_t lease = take_lease(entry, index);

    item->base_units += item->output_units;
    item->output_units = 0;
    entry->counts.resumes++;
    entry_start_attempt(entry, now, index, lease, item->delivered, "resume",
                        0);
}

/* Put the request back at the front of its queue; another endpoint's idle
 * lease goes before the one it had. */
static void
wait_again(entry_state *entry, lv_time now, uint32_t index)
{
    uint32_t lease = take_lease(entry, index);
    uint32_t queue = entry->items[index].queue;

    entry_wait(entry, now, index, false);
    entry_serve_flow(entry, now, queue);
    entry_settle_lease(entry, now, lease, "same-slot");
}

static void
note_tried(entry_state *entry, entry_item *item)
{
    item->tried[item->tried_count++ % TRIED_MAX] =
        entry->leases[item->lease].endpoint;
}

static void
take_failure(entry_state *entry, lv_time now, uint32_t index, entry_result end)
{
    entry_item *item = &entry->items[index];
    uint32_t endpoint = entry->leases[item->lease].endpoint;
    next_step step = after_failure(entry, now, item, end);

    item->failures++;
    if (step != STEP_RESUME) {
        note_failure(entry, now, endpoint, end);
    }
    if (step == STEP_GIVE_UP) {
        give_up(entry, now, index, failure_reason(end));
        return;
    }
    if (item->failures >= entry->settings.max_attempts || !draw_retry(entry)) {
        give_up(entry, now, index, OUT_REASON_RETRIES_SPENT);
        return;
    }
    entry->counts.retries++;
    entry_log(entry, LV_DECIDE_RETRY, step == STEP_RESUME ? "resume" : "retry",
              index, endpoint, item->attempt, 0);
    if (step == STEP_RESUME) {
        resume(entry, now, index);
        return;
    }
    note_tried(entry, item);
    wait_again(entry, now, index);
}

static void
take_done(entry_state *entry, lv_time now, uint32_t index)
{
    entry_item *item = &entry->items[index];
    uint32_t lease = take_lease(entry, index);
    uint32_t endpoint = entry->leases[lease].endpoint;

    note_success(entry, endpoint);
    entry_note_prefix(entry, item->prefix_hash, endpoint);
    entry_settle_lease(entry, now, lease, "same-slot");
    entry_end_item(entry, now, index, OUT_DONE, OUT_REASON_NONE, 0);
}

/* The request of a running attempt; NULL and counted for an older one. */
static entry_item *
find_attempt(entry_state *entry, lv_handle request, uint32_t number)
{
    entry_item *item = entry_find_item(entry, request);

    if (item == NULL || item->lease == NONE || item->attempt != number) {
        entry->counts.stale_answers++;
        return NULL;
    }
    return item;
}

/* An answer shows that the request reached the endpoint. */
static bool
has_answered(entry_result end)
{
    return end == ENTRY_RESULT_DONE || end == ENTRY_RESULT_BUSY ||
           end == ENTRY_RESULT_INVALID;
}

void
entry_end_attempt(entry_state *entry, lv_time now, lv_handle request,
                  uint32_t number, entry_result end, uint64_t input_units,
                  uint64_t output_units)
{
    entry_item *item = find_attempt(entry, request, number);
    uint32_t index = request & ITEM_INDEX_MASK;
    bool ran;

    if (item == NULL) {
        return;
    }
    if (end == ENTRY_RESULT_UNCONNECTED && item->state == ITEM_SENT) {
        end = ENTRY_RESULT_LOST;
    }
    else if (has_answered(end)) {
        item->was_sent = true;
    }
    ran = item->state == ITEM_SENT && end != ENTRY_RESULT_BUSY;
    if (after_failure(entry, now, item, end) != STEP_RESUME ||
        end == ENTRY_RESULT_DONE) {
        entry_charge_end(entry, now, index, ran, end == ENTRY_RESULT_DONE,
                         input_units, output_units);
    }
    if (end == ENTRY_RESULT_DONE) {
        take_done(entry, now, index);
    }
    else {
        take_failure(entry, now, index, end);
    }
    entry_flush(entry, now);
}

void
entry_update_progress(entry_state *entry, lv_time now, lv_handle request,
                      uint32_t number, uint64_t output_units,
                      uint64_t delivered_bytes)
{
    entry_item *item = find_attempt(entry, request, number);

    if (item == NULL || item->state != ITEM_SENT) {
        return;
    }
    if (output_units > item->output_units) {
        item->output_units = output_units;
    }
    if (delivered_bytes > item->delivered) {
        item->delivered = delivered_bytes;
    }
    entry_charge_progress(entry, now, request & ITEM_INDEX_MASK);
}

/* Take an attempt back that wrote nothing. */
static void
take_back(entry_state *entry, lv_time now, uint32_t index)
{
    entry_item *item = &entry->items[index];

    if (item->delivered > 0) {
        give_up(entry, now, index, OUT_REASON_ENDPOINT_LOST);
        return;
    }
    entry_charge_end(entry, now, index, false, false, 0, 0);
    if (item->deadline <= now) {
        give_up(entry, now, index, OUT_REASON_DEADLINE);
        return;
    }
    wait_again(entry, now, index);
}

bool
entry_may_send(entry_state *entry, lv_time now, lv_handle request,
               uint32_t number)
{
    entry_item *item = find_attempt(entry, request, number);
    uint32_t index = request & ITEM_INDEX_MASK;

    if (item == NULL) {
        return false;
    }
    if (item->state == ITEM_SENT) {
        if (item->idempotent) {
            return true;
        }
        entry_charge_end(entry, now, index, true, false, 0, 0);
        give_up(entry, now, index, OUT_REASON_ENDPOINT_LOST);
        entry_flush(entry, now);
        return false;
    }
    if (entry_may_use(entry, now, item->lease) &&
        (item->deadline > now || item->delivered > 0)) {
        item->state = ITEM_SENT;
        item->was_sent = true;
        return true;
    }
    take_back(entry, now, index);
    entry_flush(entry, now);
    return false;
}

void
entry_cancel(entry_state *entry, lv_time now, lv_handle request)
{
    entry_item *item = entry_find_item(entry, request);
    uint32_t index = request & ITEM_INDEX_MASK;

    if (item == NULL) {
        return;
    }
    if (item->lease == NONE) {
        entry_unwait(entry, now, index);
    }
    else {
        uint32_t lease;

        entry_charge_end(entry, now, index, item->state == ITEM_SENT, false, 0,
                         0);
        lease = take_lease(entry, index);
        entry->host->ops->cancel_attempt(entry->host, request, item->attempt);
        entry_settle_lease(entry, now, lease, "same-slot");
    }
    entry_end_item(entry, now, index, given_up_kind(item),
                   OUT_REASON_CALLER_GONE, 0);
    entry_flush(entry, now);
}
