#include "entry-imp.h"

#define RETRY_AFTER_VIEW LV_SECOND

/* What admission found about a request. */
typedef struct admission {
    const cat_entry *class_of_work;
    const cat_route *route;
    uint32_t pool;
    uint32_t flow;
    uint32_t limits;
    uint32_t costs;
} admission;

static out_reason
find_entry(const cat_catalogue *catalogue, const entry_request *request,
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
    found->class_of_work = &catalogue->entries[class_handle];
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
    found->pool = entry_get_pool(entry, catalogue->pools[pool].id);
    if (found->pool == NONE) {
        return OUT_REASON_MEMORY;
    }
    return entry->pools[found->pool].endpoints > 0 ? OUT_REASON_NONE
                                                   : OUT_REASON_NO_ENDPOINT;
}

static out_reason
find_records(entry_state *entry, const entry_request *request,
             admission *found)
{
    lv_id id = found->class_of_work->id;

    found->flow = entry_get_flow(entry, found->pool, request->account);
    found->limits = entry_get_class(entry, id);
    found->costs =
        entry_get_class(entry, entry_pair(entry->pools[found->pool].id, id));
    if (found->flow == NONE || found->limits == NONE || found->costs == NONE) {
        return OUT_REASON_MEMORY;
    }
    return OUT_REASON_NONE;
}

/* One account may wait for as many requests as there is room left, so that
 * a flood always leaves room for others. */
static out_reason
check_room(const entry_state *entry, const admission *found)
{
    const cat_limits *limits = &found->class_of_work->limits;
    uint32_t used = entry->counts.waiting + entry->counts.running;

    if (limits->waiting > 0 &&
        entry->classes[found->limits].waiting >= limits->waiting) {
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
live_count(const entry_state *entry)
{
    if (entry->live_count > 0) {
        return entry->live_count;
    }
    return entry->settings.assumed_instances > 0
               ? entry->settings.assumed_instances
               : 1;
}

static bool
has_allowance(const entry_state *entry, lv_time now, const entry_flow *flow)
{
    return flow->is_rated && flow->has_allowance &&
           lv_elapsed(now, flow->allowance_time) <
               entry->settings.silence_timeout;
}

/* Requests per second and burst that this instance may admit by itself:
 * all of it under a dispatcher's allowance, else its fair part. */
static void
refill(lv_time now, const cat_limits *limits, uint32_t share,
       entry_class *record)
{
    uint64_t rate = limits->requests_per_second * LIM_PER_SECOND / share;
    uint32_t burst =
        limits->burst > 0 ? limits->burst : limits->requests_per_second;

    if (!record->has_bucket) {
        lim_init(&record->bucket, rate, burst / share, now);
        record->has_bucket = true;
    }
    else {
        lim_set(&record->bucket, rate, burst / share, now);
    }
}

static out_reason
draw_rate(entry_state *entry, lv_time now, const admission *found,
          lv_time *retry_after)
{
    const cat_limits *limits = &found->class_of_work->limits;
    const entry_flow *flow = &entry->flows[found->flow];
    entry_class *record = &entry->classes[found->limits];
    bool is_allowed = has_allowance(entry, now, flow);

    if (limits->requests_per_second == 0) {
        return OUT_REASON_NONE;
    }
    refill(now, limits, is_allowed ? 1 : live_count(entry), record);
    if (is_allowed && (int32_t)(flow->allowance - flow->arrivals) <= 0) {
        entry_ask_allowance(entry, found->flow);
        *retry_after =
            LV_SECOND * live_count(entry) / limits->requests_per_second;
        return OUT_REASON_RATE;
    }
    if (!lim_take(&record->bucket, 1)) {
        *retry_after = lim_wait(&record->bucket);
        return OUT_REASON_RATE;
    }
    return OUT_REASON_NONE;
}

static out_reason
judge(entry_state *entry, lv_time now, const entry_request *request,
      admission *found, lv_time *retry_after)
{
    out_reason reason;

    if (entry->is_draining) {
        return OUT_REASON_DRAINING;
    }
    if (entry->catalogue == NULL || entry->lists == NULL) {
        return OUT_REASON_NOT_READY;
    }
    reason = find_entry(entry->catalogue, request, found);
    if (reason == OUT_REASON_NONE) {
        reason = find_pool(entry, request, found);
    }
    if (reason != OUT_REASON_NONE) {
        return reason;
    }
    if (found->class_of_work->limits.body > 0 &&
        request->body_size > found->class_of_work->limits.body) {
        return OUT_REASON_BODY_TOO_LARGE;
    }
    reason = find_records(entry, request, found);
    if (reason == OUT_REASON_NONE) {
        reason = check_room(entry, found);
    }
    if (reason == OUT_REASON_NONE) {
        reason = draw_rate(entry, now, found, retry_after);
    }
    return reason;
}

/* The time after which there is probably room: each caller that was told to
 * come back gets the next place. */
static lv_time
later(entry_state *entry, const admission *found, out_reason reason)
{
    switch (reason) {
    case OUT_REASON_WAITING_FULL:
        return entry_drain_time(entry, found->flow,
                                ++entry->flows[found->flow].told_later);
    case OUT_REASON_MEMORY:
        return entry->finish_gap > 0 &&
                       entry->finish_gap < ENTRY_RETRY_AFTER_MAX
                   ? entry->finish_gap
                   : RETRY_AFTER_VIEW;
    case OUT_REASON_DRAINING:
    case OUT_REASON_NOT_READY:
    case OUT_REASON_NO_ENDPOINT:
        return RETRY_AFTER_VIEW;
    default:
        return 0;
    }
}

static void
refuse(entry_state *entry, const entry_request *request,
       const admission *found, out_reason reason, lv_time retry_after,
       out_outcome *refusal)
{
    ledger_line *line =
        found->flow == NONE ? NULL : entry_line(entry, found->flow);

    if (line != NULL) {
        line->refused++;
    }
    if (reason == OUT_REASON_RATE) {
        entry_note_rate(entry, found->flow, true);
    }
    *refusal = (out_outcome){OUT_NOT_RUN, reason, retry_after};
    entry->counts.refused[reason]++;
    entry_log_refusal(entry, request, reason);
}

static void
fill_item(entry_state *entry, lv_time now, uint32_t index,
          const entry_request *request, const admission *found)
{
    entry_item *item = &entry->items[index];
    const cat_entry *class_of_work = found->class_of_work;

    item->number = request->number;
    item->entry_id = class_of_work->id;
    item->limits = found->limits;
    item->costs = found->costs;
    item->flow = found->flow;
    item->queue = found->flow;
    item->priority = class_of_work->priority;
    item->idempotent = found->route->idempotent;
    item->can_resume = request->can_resume;
    item->arrived = now;
    item->deadline = class_of_work->limits.deadline > 0
                         ? now + class_of_work->limits.deadline
                         : LV_TIME_NEVER;
    item->prefix_hash = request->prefix_hash;
    item->input_units = request->input_units;
    item->hint_units = request->output_hint_units;
    if (entry->settings.mode == ENTRY_MODE_LOCAL_FIFO) {
        item->queue = entry->pools[found->pool].fifo;
        item->priority = CAT_DEFERRABLE;
    }
}

bool
entry_submit(entry_state *entry, lv_time now, const entry_request *request,
             lv_handle *handle, out_outcome *refusal)
{
    admission found = {.flow = NONE};
    lv_time retry_after = 0;
    out_reason reason = judge(entry, now, request, &found, &retry_after);
    uint32_t index = NONE;

    if (reason == OUT_REASON_NONE) {
        index = entry_new_item(entry);
        reason = index == NONE ? OUT_REASON_MEMORY : OUT_REASON_NONE;
    }
    if (reason != OUT_REASON_NONE) {
        if (retry_after == 0) {
            retry_after = later(entry, &found, reason);
        }
        refuse(entry, request, &found, reason, retry_after, refusal);
        return false;
    }
    if (entry_is_idle(entry)) {
        entry->last_finish = now;
    }
    fill_item(entry, now, index, request, &found);
    *handle = entry_item_handle(entry, index);
    entry->counts.admitted++;
    entry_log(entry, LV_DECIDE_ADMIT,
              found.route->idempotent ? "idempotent" : "once", index, NONE,
              entry->flows[found.flow].waiting, 0);
    entry_wait(entry, now, index, true);
    entry_note_rate(entry, found.flow, false);
    entry_serve_flow(entry, now, entry->items[index].queue);
    entry_flush(entry, now);
    return true;
}
