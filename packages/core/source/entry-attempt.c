#include "entry-imp.h"

#define BUDGET_PER_RETRY UINT64_C(100) /* a success adds retry_percent */
#define RETRY_BUDGET_MAX (100 * BUDGET_PER_RETRY)
#define MEAN_DIVISOR 8 /* a new value has a weight of 1/8 */

/* Updates the moving average of the time between two events. *last is 0
 * before the first. */
static void
update_interval(lv_time now, lv_time *last, lv_time *mean)
{
    lv_time elapsed = lv_elapsed(now, *last);

    if (*last != 0) {
        *mean = *mean == 0
                    ? elapsed
                    : *mean - *mean / MEAN_DIVISOR + elapsed / MEAN_DIVISOR;
    }
    *last = now;
}

static void
record_start(entry_state *entry, lv_time now, const entry_item *item)
{
    entry_flow *flow = &entry->flows[item->flow];
    ledger_line *line = entry_ledger_line(entry, item->flow);

    if (now > item->arrived) {
        update_interval(now, &flow->last_start, &flow->mean_start_interval);
    }
    if (flow->retry_after_count > 0) {
        flow->retry_after_count--;
    }
    if (line != NULL && item->attempt == 0) {
        line->started++;
        line->total_wait += lv_elapsed(now, item->arrived);
    }
}

/* Starts an attempt of a waiting request, or resumes a stream at a non-zero
 * offset. The lease must not be in an idle list. */
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
        entry_dequeue(entry, now, index);
        record_start(entry, now, item);
    }
    lease->item = index;
    if (lease->flow == NONE && shard->is_contended) {
        lease->flow = item->flow;
    }
    item->lease = lease_index;
    item->state = ITEM_OPENING;
    item->attempt++;
    if (offset == 0) {
        entry_advance_virtual_time(entry, item->flow);
        entry_charge_start(entry, now, index);
    }
    entry->counts.running++;
    entry->counts.attempts++;
    attempt = (lv_attempt){
        .request = entry_item_handle(entry, index),
        .number = item->attempt,
        .endpoint = entry->endpoints[lease->endpoint].id,
        .needs_new_connection = !item->idempotent,
        .resume_offset = offset,
    };
    entry_log(entry, LV_DECIDE_ROUTE, reason, index, lease->endpoint,
              lease->id, alternatives);
    entry->host->ops->start_attempt(entry->host, &attempt);
}

/* Detaches an ended attempt from its lease and returns the lease. */
static uint32_t
detach_lease(entry_state *entry, uint32_t index)
{
    entry_item *item = &entry->items[index];
    uint32_t lease = item->lease;

    item->lease = NONE;
    entry->leases[lease].item = NONE;
    entry->counts.running--;
    return lease;
}

void
entry_finish_item(entry_state *entry, lv_time now, uint32_t index,
                  out_kind kind, out_reason reason, lv_time retry_after)
{
    const entry_item *item = &entry->items[index];
    lv_handle handle = entry_item_handle(entry, index);
    ledger_line *line = entry_ledger_line(entry, item->flow);
    out_outcome outcome = {kind, reason, retry_after};

    if (line != NULL) {
        line->finished++;
    }
    update_interval(now, &entry->last_finish, &entry->mean_finish_interval);
    entry->counts.finished[kind]++;
    entry_log(entry, LV_DECIDE_FINISH,
              reason == OUT_REASON_NONE ? out_kind_name(kind)
                                        : out_reason_name(reason),
              index, NONE, item->attempt, 0);
    entry_free_item(entry, index);
    entry->host->ops->finish_request(entry->host, handle, &outcome);
}

void
entry_back_off_endpoint(entry_state *entry, lv_time now, uint32_t index)
{
    entry_endpoint *endpoint = &entry->endpoints[index];
    lv_time delay = entry->settings.backoff;

    for (uint32_t i = 0;
         i < endpoint->failures && delay < entry->settings.backoff_max; i++) {
        delay *= 2;
    }
    if (delay > entry->settings.backoff_max) {
        delay = entry->settings.backoff_max;
    }
    if (endpoint->backoff_until == 0) {
        entry->backoff_count++;
        endpoint->failures++;
        endpoint->backoff_until = now + delay;
    }
    if (entry->next_backoff_end > endpoint->backoff_until) {
        entry->next_backoff_end = endpoint->backoff_until;
    }
    entry_schedule_tick(entry, entry->next_backoff_end);
}

void
entry_end_backoffs(entry_state *entry, lv_time now)
{
    if (entry->backoff_count == 0) {
        return;
    }
    if (entry->next_backoff_end > now) {
        entry_schedule_tick(entry, entry->next_backoff_end);
        return;
    }
    entry->next_backoff_end = LV_TIME_NEVER;
    for (uint32_t i = 0; i < entry->endpoint_count; i++) {
        entry_endpoint *endpoint = &entry->endpoints[i];

        if (endpoint->backoff_until == 0) {
            continue;
        }
        if (endpoint->backoff_until <= now) {
            endpoint->backoff_until = 0;
            entry->backoff_count--;
        }
        else if (endpoint->backoff_until < entry->next_backoff_end) {
            entry->next_backoff_end = endpoint->backoff_until;
        }
    }
    entry_schedule_tick(entry, entry->next_backoff_end);
    entry_recheck_idle_leases(entry, now);
}

static bool
consume_retry_budget(entry_state *entry)
{
    if (entry->retry_budget < BUDGET_PER_RETRY) {
        return false;
    }
    entry->retry_budget -= BUDGET_PER_RETRY;
    return true;
}

static void
record_success(entry_state *entry, uint32_t endpoint)
{
    entry->retry_budget += entry->settings.retry_percent;
    if (entry->retry_budget > RETRY_BUDGET_MAX) {
        entry->retry_budget = RETRY_BUDGET_MAX;
    }
    entry->endpoints[endpoint].failures = 0;
}

static out_reason
failure_reason(entry_result result)
{
    switch (result) {
    case ENTRY_RESULT_LOST:
        return OUT_REASON_ENDPOINT_LOST;
    case ENTRY_RESULT_INVALID:
    case ENTRY_RESULT_BUSY:
        return OUT_REASON_ENDPOINT_FAILED;
    default:
        return OUT_REASON_NO_ENDPOINT;
    }
}

/* A single lost connection or protocol violation does not make an endpoint
 * back off; two failures in a row, no connection or a busy answer do. */
static void
record_failure(entry_state *entry, lv_time now, uint32_t endpoint,
               entry_result result)
{
    if (result == ENTRY_RESULT_UNCONNECTED || result == ENTRY_RESULT_BUSY ||
        entry->endpoints[endpoint].failures > 0) {
        entry_back_off_endpoint(entry, now, endpoint);
    }
    else {
        entry->endpoints[endpoint].failures = 1;
    }
}

/* Returns the outcome of a request that is not tried again. */
static out_kind
abandoned_kind(const entry_item *item)
{
    if (!item->was_sent) {
        return OUT_NOT_RUN;
    }
    return item->idempotent && item->delivered_bytes > 0 ? OUT_INCOMPLETE
                                                         : OUT_UNKNOWN;
}

typedef enum next_step {
    STEP_RETRY,
    STEP_RESUME,
    STEP_GIVE_UP
} next_step;

/* Chooses what follows a failed attempt. A request that is not idempotent is
 * never sent twice. */
static next_step
choose_next_step(const entry_state *entry, lv_time now, const entry_item *item,
                 entry_result result)
{
    if (item->was_sent && !item->idempotent) {
        return STEP_GIVE_UP;
    }
    if (item->delivered_bytes == 0) {
        return STEP_RETRY;
    }
    if (item->can_resume && result != ENTRY_RESULT_INVALID &&
        entry_is_lease_usable(entry, now, item->lease)) {
        return STEP_RESUME;
    }
    return STEP_GIVE_UP;
}

static void
abandon(entry_state *entry, lv_time now, uint32_t index, out_reason reason)
{
    uint32_t lease = detach_lease(entry, index);
    out_kind kind = abandoned_kind(&entry->items[index]);
    lv_time retry_after = 0;

    if (reason == OUT_REASON_DEADLINE) {
        uint32_t flow = entry->items[index].flow;

        retry_after =
            entry_estimate_wait(entry, flow, entry->flows[flow].waiting + 1);
    }
    else if (kind == OUT_NOT_RUN || reason == OUT_REASON_RETRIES_SPENT) {
        retry_after = entry->settings.backoff_max;
    }
    entry_handle_free_lease(entry, now, lease, "same-slot");
    entry_finish_item(entry, now, index, kind, reason, retry_after);
}

static void
resume_stream(entry_state *entry, lv_time now, uint32_t index)
{
    entry_item *item = &entry->items[index];
    uint32_t lease = detach_lease(entry, index);

    item->prior_output_units += item->output_units;
    item->output_units = 0;
    entry->counts.resumes++;
    entry_start_attempt(entry, now, index, lease, item->delivered_bytes,
                        "resume", 0);
}

/* Puts the request back at the front of its queue. It is offered the idle
 * leases of other endpoints before the one that it had. */
static void
requeue_request(entry_state *entry, lv_time now, uint32_t index)
{
    uint32_t lease = detach_lease(entry, index);
    uint32_t queue = entry->items[index].queue_flow;

    entry_enqueue(entry, now, index, false);
    entry_start_waiting(entry, now, queue);
    entry_handle_free_lease(entry, now, lease, "same-slot");
}

static void
record_tried_endpoint(entry_state *entry, entry_item *item)
{
    item->tried[item->tried_count++ % TRIED_MAX] =
        entry->leases[item->lease].endpoint;
}

static void
handle_failure(entry_state *entry, lv_time now, uint32_t index,
               entry_result result)
{
    entry_item *item = &entry->items[index];
    uint32_t endpoint = entry->leases[item->lease].endpoint;
    next_step step = choose_next_step(entry, now, item, result);

    item->failures++;
    if (step != STEP_RESUME) {
        record_failure(entry, now, endpoint, result);
    }
    if (step == STEP_GIVE_UP) {
        abandon(entry, now, index, failure_reason(result));
        return;
    }
    if (item->failures >= entry->settings.max_attempts ||
        !consume_retry_budget(entry)) {
        abandon(entry, now, index, OUT_REASON_RETRIES_SPENT);
        return;
    }
    entry->counts.retries++;
    entry_log(entry, LV_DECIDE_RETRY, step == STEP_RESUME ? "resume" : "retry",
              index, endpoint, item->attempt, 0);
    if (step == STEP_RESUME) {
        resume_stream(entry, now, index);
        return;
    }
    record_tried_endpoint(entry, item);
    requeue_request(entry, now, index);
}

static void
handle_success(entry_state *entry, lv_time now, uint32_t index)
{
    entry_item *item = &entry->items[index];
    uint32_t lease = detach_lease(entry, index);
    uint32_t endpoint = entry->leases[lease].endpoint;

    record_success(entry, endpoint);
    entry_record_prefix(entry, item->prefix_hash, endpoint);
    entry_handle_free_lease(entry, now, lease, "same-slot");
    entry_finish_item(entry, now, index, OUT_DONE, OUT_REASON_NONE, 0);
}

/* Returns the request if the attempt is its current one; otherwise counts a
 * stale answer and returns NULL. */
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

/* A response shows that the request reached the endpoint. */
static bool
is_response(entry_result result)
{
    return result == ENTRY_RESULT_DONE || result == ENTRY_RESULT_BUSY ||
           result == ENTRY_RESULT_INVALID;
}

void
entry_end_attempt(entry_state *entry, lv_time now, lv_handle request,
                  uint32_t number, entry_result result, uint64_t input_units,
                  uint64_t output_units)
{
    entry_item *item = find_attempt(entry, request, number);
    uint32_t index = request & ITEM_INDEX_MASK;
    bool was_run;

    if (item == NULL) {
        return;
    }
    if (result == ENTRY_RESULT_UNCONNECTED && item->state == ITEM_SENT) {
        result = ENTRY_RESULT_LOST;
    }
    else if (is_response(result)) {
        item->was_sent = true;
    }
    was_run = item->state == ITEM_SENT && result != ENTRY_RESULT_BUSY;
    if (choose_next_step(entry, now, item, result) != STEP_RESUME ||
        result == ENTRY_RESULT_DONE) {
        entry_charge_end(entry, now, index, was_run,
                         result == ENTRY_RESULT_DONE, input_units,
                         output_units);
    }
    if (result == ENTRY_RESULT_DONE) {
        handle_success(entry, now, index);
    }
    else {
        handle_failure(entry, now, index, result);
    }
    entry_send_due_reports(entry, now);
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
    if (delivered_bytes > item->delivered_bytes) {
        item->delivered_bytes = delivered_bytes;
    }
    entry_charge_progress(entry, now, request & ITEM_INDEX_MASK);
}

/* Withdraws an attempt that has not written a byte. */
static void
withdraw_attempt(entry_state *entry, lv_time now, uint32_t index)
{
    entry_item *item = &entry->items[index];

    if (item->delivered_bytes > 0) {
        abandon(entry, now, index, OUT_REASON_ENDPOINT_LOST);
        return;
    }
    entry_charge_end(entry, now, index, false, false, 0, 0);
    if (item->deadline <= now) {
        abandon(entry, now, index, OUT_REASON_DEADLINE);
        return;
    }
    requeue_request(entry, now, index);
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
        abandon(entry, now, index, OUT_REASON_ENDPOINT_LOST);
        entry_send_due_reports(entry, now);
        return false;
    }
    if (entry_is_lease_usable(entry, now, item->lease) &&
        (item->deadline > now || item->delivered_bytes > 0)) {
        item->state = ITEM_SENT;
        item->was_sent = true;
        return true;
    }
    withdraw_attempt(entry, now, index);
    entry_send_due_reports(entry, now);
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
        entry_dequeue(entry, now, index);
    }
    else {
        uint32_t lease;

        entry_charge_end(entry, now, index, item->state == ITEM_SENT, false, 0,
                         0);
        lease = detach_lease(entry, index);
        entry->host->ops->cancel_attempt(entry->host, request, item->attempt);
        entry_handle_free_lease(entry, now, lease, "same-slot");
    }
    entry_finish_item(entry, now, index, abandoned_kind(item),
                      OUT_REASON_CALLER_GONE, 0);
    entry_send_due_reports(entry, now);
}
