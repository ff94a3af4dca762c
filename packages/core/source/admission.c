#include "lavender/admission.h"

#include <string.h>

/* A failure costs its caller the answer: an endpoint that fails always is as
 * bad as one with this wait. */
#define FAILURE_COST (2 * LV_SECOND)

/* A second copy of a prompt's parts is worth having only when there is a
 * queue of this length at the first. */
#define SECOND_HOME_COST (300 * LV_MILLISECOND)

/* A step at the share keeps all near it; less than a step let accounts that
 * ask much stay above (core-test-admission-gap). */
#define OVER_SHARE_PERCENT 30

/* An account that got less than this part of its share waits as long as the
 * queues of requests with long aims are: late is better than never. */
#define FAR_UNDER_SHARE 0.5
#define UNDER_SHARE_PERCENT 200

#define FAR_OVER_SHARE 1.2

typedef struct candidate {
    lv_handle endpoint;
    eng_prediction prediction;
    bool may_start;
    uint64_t cost;
} candidate;

void
adm_default_settings(adm_settings *settings)
{
    settings->mode = ADM_MODE_MODEL;
    settings->wait_percent = 70;
    settings->queue_percent = 12;
    settings->prefill_cost_percent = 400;
    settings->min_retry_after = 100 * LV_MILLISECOND;
}

static bool
was_tried(const adm_request *request, lv_handle endpoint)
{
    uint32_t i;

    for (i = 0; i < request->tried_count; i++) {
        if (request->tried[i] == endpoint) {
            return true;
        }
    }
    return false;
}

static uint64_t
cost_of(const adm_settings *settings, const eng_endpoint *endpoint,
        const eng_prediction *prediction, bool is_second, lv_time now)
{
    double failure = out_share(&endpoint->outlier, now);
    uint64_t cost = (uint64_t)(failure * (double)FAILURE_COST);

    if (settings->mode == ADM_MODE_LEAST_LOADED) {
        return cost + eng_in_flight(endpoint) * LV_MILLISECOND;
    }
    cost += prediction->wait + prediction->service_time;
    cost += prediction->service_time * settings->prefill_cost_percent / 100;
    if (is_second) {
        cost += SECOND_HOME_COST;
    }
    /* Of two that are alike the one with fewer requests decodes faster. */
    cost += eng_in_flight(endpoint) * LV_MILLISECOND / 2;
    return cost;
}

static bool
is_over_share(const adm_request *request)
{
    return request->share_ratio > 1;
}

/* The part of the usual wait that an account may have. One over its share
 * waits OVER_SHARE_PERCENT, and when it got r times its share 1/r^2 of that:
 * of two accounts over their shares the one with less goes first. */
static double
part_of_wait(double share)
{
    if (share > 1) {
        return OVER_SHARE_PERCENT / 100.0 / (share * share);
    }
    return 1;
}

static bool
is_far_under_share(const adm_request *request)
{
    return request->share_ratio > 0 && request->share_ratio < FAR_UNDER_SHARE;
}

/* How long the request may wait at the endpoint and still meet its aim. A
 * request whose own prompt takes most of the aim may wait half of the usual:
 * it will be late, but it must not starve. */
static lv_time
wait_allowance(const adm_settings *settings, const adm_request *request,
               const eng_prediction *prediction, lv_time now)
{
    lv_time allowance = request->target * settings->wait_percent / 100;
    lv_time used =
        prediction->service_time + lv_elapsed(now, request->received);
    lv_time left = lv_elapsed(request->target, used);

    if (is_far_under_share(request)) {
        return allowance * UNDER_SHARE_PERCENT / 100;
    }
    allowance =
        (lv_time)((double)allowance * part_of_wait(request->share_ratio));
    if (left > allowance) {
        return allowance;
    }
    return left > allowance / 2 ? left : allowance / 2;
}

/* An account far over its share leaves engines that have just become free to
 * the others for a part of the time that it would take. */
static lv_time
idle_needed(const adm_request *request, const eng_prediction *prediction)
{
    double over = request->share_ratio - FAR_OVER_SHARE;

    if (over <= 0) {
        return 0;
    }
    return (lv_time)((double)prediction->service_time * over);
}

static bool
may_start(const adm_settings *settings, const adm_request *request,
          const eng_endpoint *endpoint, const eng_prediction *prediction,
          lv_time now)
{
    if (settings->mode == ADM_MODE_LEAST_LOADED) {
        return prediction->has_capacity;
    }
    if (endpoint->is_engine && !prediction->has_capacity) {
        return false;
    }
    return prediction->wait <=
               wait_allowance(settings, request, prediction, now) &&
           prediction->idle >= idle_needed(request, prediction);
}

/* An endpoint where the request may start goes before one where it may not,
 * also when it has to read more; but accounts over their share do not get
 * prompts read anew to evade a queue. */
static bool
is_better(const adm_request *request, const candidate *one,
          const candidate *other)
{
    if (other->endpoint == LV_HANDLE_NONE) {
        return true;
    }
    if (one->may_start != other->may_start && !is_over_share(request)) {
        return one->may_start;
    }
    if (one->prediction.has_capacity != other->prediction.has_capacity) {
        return one->prediction.has_capacity;
    }
    return one->cost < other->cost;
}

static bool
is_candidate(const eng_table *table, const adm_request *request, lv_handle row)
{
    const eng_endpoint *endpoint = &table->endpoints[row];

    return endpoint->is_used && endpoint->is_listed &&
           endpoint->spec.service == request->service &&
           !was_tried(request, row);
}

/* No prediction allows a longer wait. */
static lv_time
longest_allowance(const adm_settings *settings, const adm_request *request)
{
    lv_time usual = request->target * settings->wait_percent / 100;

    return is_far_under_share(request) ? usual * UNDER_SHARE_PERCENT / 100
                                       : usual;
}

/* What an endpoint keeps of the prompt is looked up where the request might
 * start, and at its homes: with a hundred busy endpoints the look at all
 * would take most of an instance's time. */
static void
predict(const adm_settings *settings, const eng_table *table,
        const adm_request *request, lv_time now, candidate *one)
{
    lv_handle row = one->endpoint;
    const eng_prompt *prompt = request->prompt;

    if (row != prompt->affinity && row != prompt->secondary_affinity &&
        settings->mode == ADM_MODE_MODEL &&
        eng_wait(table, row, now) > longest_allowance(settings, request)) {
        eng_predict_unread(table, row, prompt, now, &one->prediction);
    }
    else {
        eng_predict(table, row, prompt, now, &one->prediction);
    }
}

static uint32_t
find_best(const adm_settings *settings, const eng_table *table,
          const adm_request *request, lv_time now, candidate *best)
{
    uint32_t count = 0;
    uint32_t i;

    memset(best, 0, sizeof *best);
    best->endpoint = LV_HANDLE_NONE;
    for (i = 0; i < table->capacity; i++) {
        lv_handle row =
            (request->first_row % table->capacity + i) % table->capacity;
        const eng_endpoint *endpoint = &table->endpoints[row];
        candidate one = {.endpoint = row};

        if (!is_candidate(table, request, row)) {
            continue;
        }
        count++;
        predict(settings, table, request, now, &one);
        one.cost = cost_of(settings, endpoint, &one.prediction,
                           row == request->prompt->secondary_affinity, now);
        one.may_start =
            may_start(settings, request, endpoint, &one.prediction, now);
        if (is_better(request, &one, best)) {
            *best = one;
        }
    }
    return count;
}

bool
adm_may_start(const adm_settings *settings, const eng_table *table,
              const adm_request *request, lv_handle endpoint, lv_time now,
              eng_prediction *prediction)
{
    eng_predict(table, endpoint, request->prompt, now, prediction);
    return may_start(settings, request, eng_at(table, endpoint), prediction,
                     now);
}

static void
refuse(adm_decision *decision, lv_time retry_after, const char *reason)
{
    decision->verdict = ADM_REFUSE;
    decision->retry_after = retry_after;
    decision->reason = reason;
}

void
adm_decide(const adm_settings *settings, const eng_table *table,
           const adm_request *request, lv_time now, adm_decision *decision)
{
    candidate best;
    lv_time allowance;
    lv_time held = lv_elapsed(now, request->received);
    lv_time hold = request->target * settings->queue_percent / 100;
    lv_time excess;

    decision->share_ratio = request->share_ratio;
    decision->candidate_count =
        find_best(settings, table, request, now, &best);
    decision->endpoint = best.endpoint;
    decision->prediction = best.prediction;
    if (best.endpoint == LV_HANDLE_NONE) {
        refuse(decision, LV_SECOND,
               request->tried_count > 0 ? "all-tried" : "no-endpoint");
        return;
    }
    allowance = wait_allowance(settings, request, &best.prediction, now);
    if (best.may_start) {
        decision->verdict = ADM_START;
        decision->reason = "room";
        return;
    }
    excess = lv_elapsed(best.prediction.wait, allowance);
    if (held < hold && excess < hold - held) {
        decision->verdict = ADM_QUEUE;
        decision->reason = best.prediction.has_capacity ? "queue" : "slots";
        return;
    }
    refuse(decision,
           excess > settings->min_retry_after ? excess
                                              : settings->min_retry_after,
           is_over_share(request)         ? "over-share"
           : best.prediction.has_capacity ? "queue"
                                          : "slots");
}
