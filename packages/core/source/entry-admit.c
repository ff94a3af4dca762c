#include "entry-imp.h"

#define DEFAULT_RETRY_AFTER LV_SECOND

/* What a request refers to, as far as it has been looked up. */
typedef struct admission {
    const cat_entry *class_entry;
    const cat_route *route;
    uint32_t pool;
    uint32_t flow;
    uint32_t limits_class;
    uint32_t cost_class;
} admission;

static out_reason
find_class(const cat_catalogue *catalogue, const entry_request *request,
           admission *found)
{
    lv_handle account = cat_find_account(catalogue, request->account);
    lv_handle class_handle;

    if (account == LV_HANDLE_NONE) {
        return OUT_REASON_UNKNOWN_KEY;
    }
    if (catalogue->accounts[account].entry_count == 0) {
        return OUT_REASON_NOT_ENTITLED;
    }
    class_handle = cat_find_entry(catalogue, account, request->class_name);
    if (class_handle == LV_HANDLE_NONE) {
        return OUT_REASON_UNKNOWN_CLASS;
    }
    found->class_entry = &catalogue->entries[class_handle];
    return OUT_REASON_NONE;
}

static out_reason
find_pool(entry_state *entry, const entry_request *request, admission *found)
{
    const cat_catalogue *catalogue = entry->catalogue;
    lv_handle pool;

    if (request->route >= catalogue->route_count) {
        return OUT_REASON_UNKNOWN_ROUTE;
    }
    found->route = &catalogue->routes[request->route];
    pool = found->route->pool;
    if (pool == LV_HANDLE_NONE) {
        if (request->model >= catalogue->model_count) {
            return OUT_REASON_UNKNOWN_MODEL;
        }
        pool = catalogue->models[request->model].pool;
    }
    found->pool = entry_ensure_pool(entry, catalogue->pools[pool].id);
    if (found->pool == NONE) {
        return OUT_REASON_MEMORY;
    }
    return entry->pools[found->pool].endpoint_count > 0
               ? OUT_REASON_NONE
               : OUT_REASON_NO_ENDPOINT;
}

static out_reason
find_records(entry_state *entry, const entry_request *request,
             admission *found)
{
    lv_id id = found->class_entry->id;

    found->flow = entry_ensure_flow(entry, found->pool, request->account);
    found->limits_class = entry_ensure_class(entry, id);
    found->cost_class = entry_ensure_class(
        entry, entry_pair_key(entry->pools[found->pool].id, id));
    if (found->flow == NONE || found->limits_class == NONE ||
        found->cost_class == NONE) {
        return OUT_REASON_MEMORY;
    }
    return OUT_REASON_NONE;
}

/* Limits the waiting requests of one account to the capacity that is left, so
 * that a flood from one account always leaves room for others. */
static out_reason
check_capacity(const entry_state *entry, const admission *found)
{
    const cat_limits *limits = &found->class_entry->limits;
    uint32_t used = entry->counts.waiting + entry->counts.running;

    if (limits->waiting > 0 &&
        entry->classes[found->limits_class].waiting >= limits->waiting) {
        return OUT_REASON_WAITING_FULL;
    }
    if (used >= entry->settings.max_requests ||
        entry->flows[found->flow].waiting >=
            entry->settings.max_requests - used) {
        return OUT_REASON_MEMORY;
    }
    return OUT_REASON_NONE;
}

static uint32_t
instance_count(const entry_state *entry)
{
    if (entry->live_instance_count > 0) {
        return entry->live_instance_count;
    }
    return entry->settings.assumed_instances > 0
               ? entry->settings.assumed_instances
               : 1;
}

static bool
is_allowance_valid(const entry_state *entry, lv_time now,
                   const entry_flow *flow)
{
    return flow->is_rated && flow->has_allowance &&
           lv_elapsed(now, flow->allowance_received) <
               entry->settings.silence_timeout;
}

/* Refills the bucket and sets the rate and burst that this instance may admit
 * on its own: the whole limit (divisor 1) under a dispatcher's allowance, else
 * an equal part per live instance. */
static void
update_bucket(lv_time now, const cat_limits *limits, uint32_t divisor,
              entry_class *record)
{
    uint64_t rate = limits->requests_per_second * LIM_ONE_PER_SECOND / divisor;
    uint32_t burst =
        limits->burst > 0 ? limits->burst : limits->requests_per_second;

    if (!record->has_bucket) {
        lim_init(&record->bucket, rate, burst / divisor, now);
        record->has_bucket = true;
    }
    else {
        lim_configure(&record->bucket, rate, burst / divisor, now);
    }
}

static out_reason
consume_rate(entry_state *entry, lv_time now, const admission *found,
             lv_time *retry_after)
{
    const cat_limits *limits = &found->class_entry->limits;
    const entry_flow *flow = &entry->flows[found->flow];
    entry_class *record = &entry->classes[found->limits_class];
    bool has_valid_allowance = is_allowance_valid(entry, now, flow);

    if (limits->requests_per_second == 0) {
        return OUT_REASON_NONE;
    }
    update_bucket(now, limits, has_valid_allowance ? 1 : instance_count(entry),
                  record);
    if (has_valid_allowance &&
        (int32_t)(flow->allowance - flow->arrivals) <= 0) {
        entry_request_allowance(entry, found->flow);
        *retry_after =
            LV_SECOND * instance_count(entry) / limits->requests_per_second;
        return OUT_REASON_RATE;
    }
    if (!lim_consume(&record->bucket, 1)) {
        *retry_after = lim_time_until_available(&record->bucket);
        return OUT_REASON_RATE;
    }
    return OUT_REASON_NONE;
}

static out_reason
check_admission(entry_state *entry, lv_time now, const entry_request *request,
                admission *found, lv_time *retry_after)
{
    out_reason reason;

    if (entry->is_draining) {
        return OUT_REASON_DRAINING;
    }
    if (entry->catalogue == NULL || entry->lists == NULL) {
        return OUT_REASON_NOT_READY;
    }
    reason = find_class(entry->catalogue, request, found);
    if (reason == OUT_REASON_NONE) {
        reason = find_pool(entry, request, found);
    }
    if (reason != OUT_REASON_NONE) {
        return reason;
    }
    if (found->class_entry->limits.body > 0 &&
        request->body_size > found->class_entry->limits.body) {
        return OUT_REASON_BODY_TOO_LARGE;
    }
    reason = find_records(entry, request, found);
    if (reason == OUT_REASON_NONE) {
        reason = check_capacity(entry, found);
    }
    if (reason == OUT_REASON_NONE) {
        reason = consume_rate(entry, now, found, retry_after);
    }
    return reason;
}

/* Estimates when there will be capacity, for Retry-After. When the account's
 * queue is full, each refused caller is given a place behind the one before.
 */
static lv_time
estimate_retry_after(entry_state *entry, const admission *found,
                     out_reason reason)
{
    switch (reason) {
    case OUT_REASON_WAITING_FULL:
        return entry_estimate_wait(
            entry, found->flow, ++entry->flows[found->flow].retry_after_count);
    case OUT_REASON_MEMORY:
        return entry->mean_finish_interval > 0 &&
                       entry->mean_finish_interval < ENTRY_RETRY_AFTER_MAX
                   ? entry->mean_finish_interval
                   : DEFAULT_RETRY_AFTER;
    case OUT_REASON_DRAINING:
    case OUT_REASON_NOT_READY:
    case OUT_REASON_NO_ENDPOINT:
        return DEFAULT_RETRY_AFTER;
    default:
        return 0;
    }
}

static void
refuse_request(entry_state *entry, const entry_request *request,
               const admission *found, out_reason reason, lv_time retry_after,
               out_outcome *refusal)
{
    ledger_line *line =
        found->flow == NONE ? NULL : entry_ledger_line(entry, found->flow);

    if (line != NULL) {
        line->refused++;
    }
    if (reason == OUT_REASON_RATE) {
        entry_update_rate_demand(entry, found->flow, true);
    }
    *refusal = (out_outcome){OUT_NOT_RUN, reason, retry_after};
    entry->counts.refused[reason]++;
    entry_log_refusal(entry, request, reason);
}

static void
init_item(entry_state *entry, lv_time now, uint32_t index,
          const entry_request *request, const admission *found)
{
    entry_item *item = &entry->items[index];
    const cat_entry *class_entry = found->class_entry;

    item->number = request->number;
    item->entry_id = class_entry->id;
    item->limits_class = found->limits_class;
    item->cost_class = found->cost_class;
    item->flow = found->flow;
    item->queue_flow = found->flow;
    item->priority = class_entry->priority;
    item->idempotent = found->route->idempotent;
    item->can_resume = request->can_resume;
    item->arrived = now;
    item->deadline = class_entry->limits.deadline > 0
                         ? now + class_entry->limits.deadline
                         : LV_TIME_NEVER;
    item->prefix_hash = request->prefix_hash;
    item->input_units = request->input_units;
    item->output_hint_units = request->output_hint_units;
    if (entry->settings.mode == ENTRY_MODE_LOCAL_FIFO) {
        item->queue_flow = entry->pools[found->pool].fifo_flow;
        item->priority = CAT_DEFERRABLE;
    }
}

bool
entry_submit(entry_state *entry, lv_time now, const entry_request *request,
             lv_handle *handle, out_outcome *refusal)
{
    admission found = {.flow = NONE};
    lv_time retry_after = 0;
    out_reason reason =
        check_admission(entry, now, request, &found, &retry_after);
    uint32_t index = NONE;

    if (reason == OUT_REASON_NONE) {
        index = entry_new_item(entry);
        reason = index == NONE ? OUT_REASON_MEMORY : OUT_REASON_NONE;
    }
    if (reason != OUT_REASON_NONE) {
        if (retry_after == 0) {
            retry_after = estimate_retry_after(entry, &found, reason);
        }
        refuse_request(entry, request, &found, reason, retry_after, refusal);
        return false;
    }
    if (entry_is_idle(entry)) {
        entry->last_finish = now;
    }
    init_item(entry, now, index, request, &found);
    *handle = entry_item_handle(entry, index);
    entry->counts.admitted++;
    entry_log(entry, LV_DECIDE_ADMIT,
              found.route->idempotent ? "idempotent" : "once", index, NONE,
              entry->flows[found.flow].waiting, 0);
    entry_enqueue(entry, now, index, true);
    entry_update_rate_demand(entry, found.flow, false);
    entry_start_waiting(entry, now, entry->items[index].queue_flow);
    entry_send_due_reports(entry, now);
    return true;
}
