#include <string.h>

#include "admission-imp.h"

/* Cost of an endpoint with a failure rate of 1: a failure costs the caller the
 * response, so such an endpoint is as bad as one with a wait of this time. */
#define FAILURE_COST (2 * LV_SECOND)

/* Cost of the secondary affinity endpoint: a second copy of the prompt's
 * blocks pays only if the wait at the affinity endpoint is longer by this
 * time. */
#define SECONDARY_AFFINITY_COST (300 * LV_MILLISECOND)

/* Fraction of the fair share above which an account waits until an engine has
 * been idle for some time (required_idle_time). */
#define FAR_OVER_SHARE 1.2

/* Fraction of the fair share below which a delay that may be over does not
 * keep an account away. */
#define UNDER_SHARE 0.9

/* Refused requests return within this time after an endpoint may be sent
 * requests again: its slow start, and as long after it. */
#define RETURN_SPREAD (2 * AVL_SLOW_START)

typedef struct candidate {
    lv_handle endpoint;
    eng_prediction prediction;
    bool may_start;
    uint64_t cost;
} candidate;

/* The best candidates: at any cost of zones, with them, and in the own zone.
 */
typedef struct candidates {
    candidate any;
    candidate near;
    candidate own;
} candidates;

/* The endpoints that may be sent no request now. */
typedef struct unavailable {
    uint32_t count;
    avl_reason reason;     /* of the one that is available first */
    lv_time free_at;       /* then; LV_TIME_NEVER: none will be */
    lv_time tried_free_at; /* the same of those that are excluded */
    lv_time latest_free;   /* the request can wait until then */
    uint32_t places;       /* requests that may start by then */
} unavailable;

void
adm_default_settings(adm_settings *settings)
{
    settings->mode = ADM_MODE_MODEL;
    settings->wait_percent = 70;
    settings->queue_percent = 12;
    settings->prefill_cost_percent = 400;
    settings->min_retry_after = 100 * LV_MILLISECOND;
    loc_default_settings(&settings->locality);
    settings->pause_tokens = 0;
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

/* Returns the wait at an endpoint as far as it counts for the request. An
 * outdated delay would keep an account under its share away from an endpoint
 * for good, as only a request that starts there shows whether the delay lasts.
 */
static lv_time
known_wait(const adm_request *request, const eng_prediction *prediction)
{
    bool is_under_share =
        request->share_ratio > 0 && request->share_ratio < UNDER_SHARE;

    return is_under_share
               ? lv_elapsed(prediction->wait, prediction->outdated_wait)
               : prediction->wait;
}

static uint64_t
endpoint_cost(const adm_settings *settings, const adm_request *request,
              const eng_endpoint *endpoint, const eng_prediction *prediction,
              bool is_secondary, lv_time now)
{
    double failure_rate = out_failure_rate(&endpoint->outlier, now);
    uint64_t cost = (uint64_t)(failure_rate * (double)FAILURE_COST);

    if (settings->mode == ADM_MODE_LEAST_LOADED) {
        return cost + eng_in_flight(endpoint) * LV_MILLISECOND;
    }
    cost += known_wait(request, prediction) + prediction->service_time;
    cost += prediction->service_time * settings->prefill_cost_percent / 100;
    if (is_secondary) {
        cost += SECONDARY_AFFINITY_COST;
    }
    /* Of two equal endpoints, the one with fewer requests decodes faster. */
    cost += eng_in_flight(endpoint) * LV_MILLISECOND / 2;
    return cost;
}

/* Returns how long an engine must have been idle before it starts a request of
 * an account far over its fair share: a fraction of the request's own prefill
 * time, during which the other accounts can use the engine. */
static lv_time
required_idle_time(const adm_request *request,
                   const eng_prediction *prediction)
{
    double excess = request->share_ratio - FAR_OVER_SHARE;

    if (excess <= 0) {
        return 0;
    }
    return (lv_time)((double)prediction->service_time * excess);
}

static bool
may_start(const adm_settings *settings, const adm_request *request,
          const eng_endpoint *endpoint, const eng_prediction *prediction,
          lv_time now)
{
    if (settings->mode == ADM_MODE_LEAST_LOADED) {
        return prediction->has_capacity;
    }
    if (endpoint->is_engine &&
        (!prediction->has_capacity ||
         adm_pause_excess(settings, request, prediction) > 0)) {
        return false;
    }
    return known_wait(request, prediction) <=
               adm_wait_allowance(settings, request, prediction, now) &&
           prediction->idle_time >= required_idle_time(request, prediction);
}

/* An endpoint where the request may start is better than one where it may not,
 * even if it has to prefill more tokens. This does not apply to accounts over
 * their fair share: their prompts are not prefilled again elsewhere only to
 * avoid a queue. */
static bool
is_better(const adm_request *request, const candidate *one,
          const candidate *other)
{
    if (other->endpoint == LV_HANDLE_NONE) {
        return true;
    }
    if (one->may_start != other->may_start && !adm_is_over_share(request)) {
        return one->may_start;
    }
    if (one->prediction.has_capacity != other->prediction.has_capacity) {
        return one->prediction.has_capacity;
    }
    return one->cost < other->cost;
}

/* Returns whether the endpoint may be sent the request now; adds it to those
 * that may not. */
static bool
is_candidate(const eng_table *table, const adm_request *request, lv_handle row,
             lv_time now, unavailable *others)
{
    const eng_endpoint *endpoint = &table->endpoints[row];
    lv_time free_at;
    uint32_t places;
    avl_reason reason;

    if (!endpoint->is_used || endpoint->spec.service != request->service ||
        (request->version != LV_ID_NONE &&
         endpoint->spec.version_id != request->version)) {
        return false;
    }
    reason = eng_check_send(table, row, now, &free_at);
    if (was_tried(request, row)) {
        if (free_at < others->tried_free_at) {
            others->tried_free_at = free_at;
        }
        return false;
    }
    if (reason == AVL_AVAILABLE && request->avoids_cold &&
        wrm_left(&endpoint->warmup, now) > 0) {
        reason = AVL_COLD;
    }
    if (reason == AVL_AVAILABLE || reason == AVL_UNLISTED) {
        return reason == AVL_AVAILABLE;
    }
    if (others->count == 0 || free_at < others->free_at ||
        (reason == AVL_EVACUATED && others->free_at == LV_TIME_NEVER)) {
        others->free_at = free_at;
        others->reason = reason;
    }
    others->count++;
    places = request->avoids_cold && reason == AVL_COLD
                 ? 0
                 : eng_places(table, row, others->latest_free);
    others->places = places > UINT32_MAX - others->places
                         ? UINT32_MAX
                         : others->places + places;
    return false;
}

/* Looks the prompt up in the cache model only for endpoints where the request
 * may start and for the affinity endpoints: with 100 busy endpoints the
 * lookups for all of them would take most of an instance's CPU time. */
static void
predict_candidate(const adm_settings *settings, const eng_table *table,
                  const adm_request *request, lv_time now, candidate *one)
{
    lv_handle row = one->endpoint;
    const eng_prompt *prompt = request->prompt;

    if (row != prompt->affinity && row != prompt->secondary_affinity &&
        settings->mode == ADM_MODE_MODEL &&
        eng_predict_wait(table, row, now) >
            adm_max_wait_allowance(settings, request)) {
        eng_predict_uncached(table, row, prompt, now, &one->prediction);
    }
    else {
        eng_predict(table, row, prompt, now, &one->prediction);
    }
}

static void
clear_candidates(candidates *best)
{
    memset(best, 0, sizeof *best);
    best->any.endpoint = LV_HANDLE_NONE;
    best->near.endpoint = LV_HANDLE_NONE;
    best->own.endpoint = LV_HANDLE_NONE;
}

static void
compare_candidate(const adm_request *request, const eng_endpoint *endpoint,
                  candidate *one, candidates *best)
{
    if (is_better(request, one, &best->any)) {
        best->any = *one;
    }
    if (request->locality.zone == LV_ID_NONE) {
        return;
    }
    one->cost += loc_cost(&request->locality, endpoint->spec.zone);
    if (is_better(request, one, &best->near)) {
        best->near = *one;
    }
    if (endpoint->spec.zone == request->locality.zone &&
        is_better(request, one, &best->own)) {
        best->own = *one;
    }
}

/* Zones count only among endpoints where the request may start, so that a
 * request starts whenever it would without them, and no sooner. */
static const candidate *
choose_candidate(const candidates *best)
{
    return best->any.may_start && best->near.may_start ? &best->near
                                                       : &best->any;
}

/* Writes the best candidates, whose endpoints are LV_HANDLE_NONE if there are
 * none, and what is known of the endpoints that may be sent no request.
 * Returns the number of candidates. */
static uint32_t
find_best(const adm_settings *settings, const eng_table *table,
          const adm_request *request, lv_time now, candidates *best,
          unavailable *others)
{
    uint32_t count = 0;
    uint32_t i;

    memset(others, 0, sizeof *others);
    others->free_at = LV_TIME_NEVER;
    others->tried_free_at = LV_TIME_NEVER;
    others->latest_free = adm_latest_free(settings, request);
    clear_candidates(best);
    for (i = 0; i < table->capacity; i++) {
        lv_handle row =
            (request->first_row % table->capacity + i) % table->capacity;
        const eng_endpoint *endpoint = &table->endpoints[row];
        candidate one = {.endpoint = row};

        if (!is_candidate(table, request, row, now, others)) {
            continue;
        }
        count++;
        predict_candidate(settings, table, request, now, &one);
        one.cost =
            endpoint_cost(settings, request, endpoint, &one.prediction,
                          row == request->prompt->secondary_affinity, now);
        one.may_start =
            may_start(settings, request, endpoint, &one.prediction, now);
        compare_candidate(request, endpoint, &one, best);
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

/* Returns how long a request that is refused until `free_at` waits, spread so
 * that such requests do not return together. */
static lv_time
spread_return(const adm_request *request, lv_time free_at, lv_time now)
{
    return lv_elapsed(free_at, now) +
           map_mix((uint64_t)request->first_row + 1) % RETURN_SPREAD;
}

/* Queues the request until an endpoint may be sent requests again, or refuses
 * it. */
static void
decide_unavailable(const adm_request *request, const unavailable *others,
                   lv_time now, adm_decision *decision)
{
    const char *reason =
        others->count > 0 ? avl_reason_text(others->reason) : "no-endpoint";

    if (others->free_at != LV_TIME_NEVER) {
        if (others->free_at <= others->latest_free &&
            request->waiting < others->places) {
            decision->verdict = ADM_QUEUE;
            decision->reason = reason;
            return;
        }
        refuse(decision, spread_return(request, others->free_at, now), reason);
        return;
    }
    if (request->tried_count > 0) {
        reason = "all-tried";
    }
    else if (others->count > 0 && others->reason == AVL_EVACUATED) {
        refuse(decision, spread_return(request, now + LV_SECOND, now), reason);
        return;
    }
    if (others->tried_free_at != LV_TIME_NEVER &&
        others->tried_free_at > now) {
        refuse(decision, spread_return(request, others->tried_free_at, now),
               reason);
        return;
    }
    refuse(decision, LV_SECOND, reason);
}

static const char *
waiting_reason(const candidate *best, lv_time pause)
{
    if (!best->prediction.has_capacity) {
        return "slots";
    }
    return pause > 0 ? "pause" : "queue";
}

void
adm_decide(const adm_settings *settings, const eng_table *table,
           const adm_request *request, lv_time now, adm_decision *decision)
{
    candidates found;
    candidate best;
    unavailable others;
    lv_time allowance;
    lv_time queued_time = lv_elapsed(now, request->received);
    lv_time max_queue_time = request->target * settings->queue_percent / 100;
    lv_time excess, pause;
    lv_time retry_after;

    decision->share_ratio = request->share_ratio;
    decision->candidate_count =
        find_best(settings, table, request, now, &found, &others);
    best = *choose_candidate(&found);
    decision->crossing =
        loc_explain(&request->locality, table, best.endpoint, &best.prediction,
                    found.own.endpoint, &found.own.prediction, now);
    decision->endpoint = best.endpoint;
    decision->free_at = others.free_at;
    decision->prediction = best.prediction;
    if (best.endpoint == LV_HANDLE_NONE) {
        decide_unavailable(request, &others, now, decision);
        return;
    }
    allowance = adm_wait_allowance(settings, request, &best.prediction, now);
    if (best.may_start) {
        decision->verdict = ADM_START;
        decision->reason = "room";
        return;
    }
    excess = lv_elapsed(known_wait(request, &best.prediction), allowance);
    pause = adm_pause_excess(settings, request, &best.prediction);
    excess = pause > excess ? pause : excess;
    retry_after = excess > settings->min_retry_after
                      ? excess
                      : settings->min_retry_after;
    if (lv_elapsed(others.free_at, now) < excess) {
        lv_time spread = spread_return(request, others.free_at, now);

        excess = lv_elapsed(others.free_at, now);
        retry_after = spread < retry_after ? spread : retry_after;
    }
    if (queued_time < max_queue_time &&
        excess < max_queue_time - queued_time) {
        decision->verdict = ADM_QUEUE;
        decision->reason = waiting_reason(&best, pause);
        return;
    }
    refuse(decision, retry_after,
           adm_is_over_share(request) ? "over-share"
                                      : waiting_reason(&best, pause));
}
