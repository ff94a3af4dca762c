#include "lavender/admission.h"

#include <string.h>

/* Cost of an endpoint with a failure rate of 1: a failure costs the caller the
 * response, so such an endpoint is as bad as one with a wait of this time. */
#define FAILURE_COST (2 * LV_SECOND)

/* Cost of the secondary affinity endpoint: a second copy of the prompt's
 * blocks pays only if the wait at the affinity endpoint is longer by this
 * time. */
#define SECONDARY_AFFINITY_COST (300 * LV_MILLISECOND)

/* Percent of the usual wait allowance for an account over its fair share. The
 * allowance drops in one step at the share, which keeps all accounts near it;
 * with less than a step, accounts with a high demand stayed above
 * (core-test-admission-gap). */
#define OVER_SHARE_WAIT_PERCENT 30

/* An account that was served less than this fraction of its fair share has
 * FAR_UNDER_SHARE_WAIT_PERCENT of the usual allowance, which is as long as the
 * queues of requests with long latency targets: a late response is better than
 * none. */
#define FAR_UNDER_SHARE 0.5
#define FAR_UNDER_SHARE_WAIT_PERCENT 200

/* Fraction of the fair share above which an account waits until an engine has
 * been idle for some time (required_idle_time). */
#define FAR_OVER_SHARE 1.2

/* Refused requests return within this time after an endpoint may be sent
 * requests again: its slow start, and as long after it. */
#define RETURN_SPREAD (2 * AVL_SLOW_START)

typedef struct candidate {
    lv_handle endpoint;
    eng_prediction prediction;
    bool may_start;
    uint64_t cost;
} candidate;

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

static uint64_t
endpoint_cost(const adm_settings *settings, const eng_endpoint *endpoint,
              const eng_prediction *prediction, bool is_secondary, lv_time now)
{
    double failure_rate = out_failure_rate(&endpoint->outlier, now);
    uint64_t cost = (uint64_t)(failure_rate * (double)FAILURE_COST);

    if (settings->mode == ADM_MODE_LEAST_LOADED) {
        return cost + eng_in_flight(endpoint) * LV_MILLISECOND;
    }
    cost += prediction->wait + prediction->service_time;
    cost += prediction->service_time * settings->prefill_cost_percent / 100;
    if (is_secondary) {
        cost += SECONDARY_AFFINITY_COST;
    }
    /* Of two equal endpoints, the one with fewer requests decodes faster. */
    cost += eng_in_flight(endpoint) * LV_MILLISECOND / 2;
    return cost;
}

static bool
is_over_share(const adm_request *request)
{
    return request->share_ratio > 1;
}

/* Returns the fraction of the usual wait allowance for an account that was
 * served `share_ratio` times its fair share. Over the share it is
 * OVER_SHARE_WAIT_PERCENT divided by the square of the ratio, so that of two
 * such accounts the one with the lower ratio is served first. */
static double
allowance_factor(double share_ratio)
{
    if (share_ratio > 1) {
        return OVER_SHARE_WAIT_PERCENT / 100.0 / (share_ratio * share_ratio);
    }
    return 1;
}

static bool
is_far_under_share(const adm_request *request)
{
    return request->share_ratio > 0 && request->share_ratio < FAR_UNDER_SHARE;
}

/* Returns how long the request may wait at the endpoint and still meet its
 * latency target, up to the usual allowance. The minimum is half of the usual
 * allowance: a request whose own prefill takes most of the target will be
 * late, but must not starve. */
static lv_time
wait_allowance(const adm_settings *settings, const adm_request *request,
               const eng_prediction *prediction, lv_time now)
{
    lv_time allowance = request->target * settings->wait_percent / 100;
    lv_time used =
        prediction->service_time + lv_elapsed(now, request->received);
    lv_time remaining = lv_elapsed(request->target, used);

    if (is_far_under_share(request)) {
        return allowance * FAR_UNDER_SHARE_WAIT_PERCENT / 100;
    }
    allowance =
        (lv_time)((double)allowance * allowance_factor(request->share_ratio));
    if (remaining > allowance) {
        return allowance;
    }
    return remaining > allowance / 2 ? remaining : allowance / 2;
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

/* Returns for how long the request must wait before it starts, so that the
 * streams at the engine do not pause for longer than the target between two
 * events: an engine that prefills without a break generates one token per
 * chunk. At most half of the target counts of the request's own prefill, and
 * an idle engine takes any request, so that the largest ones do not starve;
 * nor do accounts far under their share. */
static lv_time
pause_excess(const adm_settings *settings, const adm_request *request,
             const eng_prediction *prediction)
{
    lv_time target = request->gap_target;
    lv_time own = prediction->service_time;

    if (settings->pause_tokens == 0 || target == 0 ||
        prediction->learned_rate <= 0 || prediction->wait == 0 ||
        is_far_under_share(request) ||
        settings->pause_tokens <= prediction->learned_rate * (double)target /
                                      (double)LV_MILLISECOND) {
        return 0;
    }
    return lv_elapsed(prediction->wait + (own < target / 2 ? own : target / 2),
                      target);
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
         pause_excess(settings, request, prediction) > 0)) {
        return false;
    }
    return prediction->wait <=
               wait_allowance(settings, request, prediction, now) &&
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
    if (one->may_start != other->may_start && !is_over_share(request)) {
        return one->may_start;
    }
    if (one->prediction.has_capacity != other->prediction.has_capacity) {
        return one->prediction.has_capacity;
    }
    return one->cost < other->cost;
}

/* Returns until when the request may wait for an endpoint that takes none now:
 * as long as at one with a queue, and not beyond its deadline. */
static lv_time
latest_free(const adm_settings *settings, const adm_request *request)
{
    lv_time usual = request->target * settings->wait_percent / 100;
    lv_time latest =
        request->received +
        (lv_time)((double)usual * allowance_factor(request->share_ratio));

    return request->deadline != 0 && request->deadline < latest
               ? request->deadline
               : latest;
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
    if (reason == AVL_AVAILABLE || reason == AVL_UNLISTED) {
        return reason == AVL_AVAILABLE;
    }
    if (others->count == 0 || free_at < others->free_at) {
        others->free_at = free_at;
        others->reason = reason;
    }
    others->count++;
    places = eng_places(table, row, others->latest_free);
    others->places = places > UINT32_MAX - others->places
                         ? UINT32_MAX
                         : others->places + places;
    return false;
}

/* Returns an upper limit of wait_allowance for any prediction. */
static lv_time
max_wait_allowance(const adm_settings *settings, const adm_request *request)
{
    lv_time usual = request->target * settings->wait_percent / 100;

    return is_far_under_share(request)
               ? usual * FAR_UNDER_SHARE_WAIT_PERCENT / 100
               : usual;
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
            max_wait_allowance(settings, request)) {
        eng_predict_uncached(table, row, prompt, now, &one->prediction);
    }
    else {
        eng_predict(table, row, prompt, now, &one->prediction);
    }
}

/* Writes the best candidate, whose endpoint is LV_HANDLE_NONE if there is
 * none, and what is known of the endpoints that may be sent no request.
 * Returns the number of candidates. */
static uint32_t
find_best(const adm_settings *settings, const eng_table *table,
          const adm_request *request, lv_time now, candidate *best,
          unavailable *others)
{
    uint32_t count = 0;
    uint32_t i;

    memset(others, 0, sizeof *others);
    others->free_at = LV_TIME_NEVER;
    others->tried_free_at = LV_TIME_NEVER;
    others->latest_free = latest_free(settings, request);
    memset(best, 0, sizeof *best);
    best->endpoint = LV_HANDLE_NONE;
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
            endpoint_cost(settings, endpoint, &one.prediction,
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
    candidate best;
    unavailable others;
    lv_time allowance;
    lv_time queued_time = lv_elapsed(now, request->received);
    lv_time max_queue_time = request->target * settings->queue_percent / 100;
    lv_time excess, pause;
    lv_time retry_after;

    decision->share_ratio = request->share_ratio;
    decision->candidate_count =
        find_best(settings, table, request, now, &best, &others);
    decision->endpoint = best.endpoint;
    decision->free_at = others.free_at;
    decision->prediction = best.prediction;
    if (best.endpoint == LV_HANDLE_NONE) {
        decide_unavailable(request, &others, now, decision);
        return;
    }
    allowance = wait_allowance(settings, request, &best.prediction, now);
    if (best.may_start) {
        decision->verdict = ADM_START;
        decision->reason = "room";
        return;
    }
    excess = lv_elapsed(best.prediction.wait, allowance);
    pause = pause_excess(settings, request, &best.prediction);
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
           is_over_share(request) ? "over-share"
                                  : waiting_reason(&best, pause));
}
