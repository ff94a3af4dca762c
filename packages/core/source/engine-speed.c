#include "engine-imp.h"

/* At most one part in this many of the time to the first token counts as
 * overhead, so that an engine with less of it is not taken for a fast one. */
#define MAX_OVERHEAD_PART 8

static bool
learns(const eng_table *table, const eng_endpoint *endpoint)
{
    return endpoint->is_engine && table->settings.learn_speed_slots > 0 &&
           endpoint->spec.slots <= table->settings.learn_speed_slots;
}

bool
eng_learns_speed(const eng_table *table, lv_handle row)
{
    return learns(table, &table->endpoints[row]);
}

double
eng_learned_rate(const eng_table *table, const eng_endpoint *endpoint)
{
    return learns(table, endpoint) ? endpoint->speed.rate : 0;
}

double
eng_prefill_rate(const eng_table *table, const eng_endpoint *endpoint)
{
    double learned = eng_learned_rate(table, endpoint);

    return learned > 0 ? learned : table->settings.prefill_tokens_per_ms;
}

/* Recomputes the end of the prefill queue at the new rate: the same tokens are
 * queued, but they take another time. */
static void
adjust_queue(const eng_table *table, eng_endpoint *endpoint, double before,
             lv_time now)
{
    lv_time left = lv_elapsed(endpoint->prefill_until, now);

    if (left > 0) {
        endpoint->prefill_until =
            now + (lv_time)((double)left * before /
                            eng_prefill_rate(table, endpoint));
    }
}

static void
add_sample(const eng_table *table, eng_endpoint *endpoint, uint64_t source,
           const spd_sums *sums, lv_time now)
{
    double before = eng_prefill_rate(table, endpoint);

    if (spd_add_sample(&endpoint->speed, source, sums,
                       table->settings.prefill_tokens_per_ms, now)) {
        adjust_queue(table, endpoint, before, now);
    }
}

/* The rate that a prediction was made with follows from its service time; the
 * coordinator that made it may know another rate than this instance. */
uint32_t
eng_predicted_work(const eng_table *table, const eng_endpoint *endpoint,
                   const eng_prediction *prediction)
{
    double rate = eng_prefill_rate(table, endpoint);
    lv_time wait = lv_elapsed(prediction->wait, prediction->unmodelled_wait);
    lv_time own = lv_elapsed(prediction->service_time,
                             table->settings.first_token_overhead);
    double tokens;

    if (!learns(table, endpoint)) {
        return 0;
    }
    if (own >= LV_MILLISECOND) {
        rate = prediction->uncached_tokens /
               ((double)own / (double)LV_MILLISECOND);
    }
    tokens = prediction->uncached_tokens +
             (double)wait / (double)LV_MILLISECOND * rate;
    return tokens < (double)UINT32_MAX ? (uint32_t)tokens : 0;
}

/* A queue that was shorter than modelled makes a first token early, which says
 * little of the rate. So the queue shows a rate that is little higher than the
 * present one at most, and only the request's own tokens show more. */
#define QUEUE_RISE 1.1

static uint32_t
shown_work(const eng_table *table, const eng_reservation *use, lv_time time)
{
    double rate = eng_prefill_rate(table, &table->endpoints[use->endpoint]);
    double expected =
        QUEUE_RISE * rate * (double)time / (double)LV_MILLISECOND;

    if (expected >= use->work_tokens) {
        return use->work_tokens;
    }
    return expected > use->uncached_tokens ? (uint32_t)expected
                                           : use->uncached_tokens;
}

void
eng_observe_speed(eng_table *table, const eng_reservation *use, lv_time now)
{
    eng_endpoint *endpoint = &table->endpoints[use->endpoint];
    lv_time time = lv_elapsed(now, use->started_at);
    lv_time overhead = table->settings.first_token_overhead;
    spd_sums sample;

    time -= overhead < time / MAX_OVERHEAD_PART ? overhead
                                                : time / MAX_OVERHEAD_PART;
    sample.tokens = shown_work(table, use, time);
    sample.time = (uint32_t)time;
    if (use->work_tokens == 0 || !spd_is_usable(sample.tokens)) {
        return;
    }
    spd_add_to_sums(&endpoint->speed, &endpoint->local.speed, sample.tokens,
                    time, now);
    if (!spd_is_reported(&endpoint->speed, now)) {
        add_sample(table, endpoint, SPD_LOCAL, &sample, now);
    }
}

void
eng_apply_peer_speed(eng_table *table, lv_handle row, uint64_t source,
                     const spd_sums *before, const spd_sums *after,
                     lv_time now)
{
    eng_endpoint *endpoint = &table->endpoints[row];

    if (learns(table, endpoint) &&
        (before->tokens != after->tokens || before->time != after->time)) {
        /* Peers report to the coordinator, or to all: the one that reported
         * the rate to this instance is not it any more. */
        endpoint->speed.reported_at = 0;
        add_sample(table, endpoint, source, after, now);
    }
}

void
eng_apply_speed(eng_table *table, lv_handle row, double rate, lv_time now)
{
    eng_endpoint *endpoint = &table->endpoints[row];

    if (learns(table, endpoint) && rate > 0) {
        spd_apply_report(&endpoint->speed, rate,
                         table->settings.prefill_tokens_per_ms, now);
    }
}

/* Returns the mean rate of the other endpoints of a service that have recent
 * samples, or the setting. */
static double
find_prior(const eng_table *table, lv_handle other, lv_time now)
{
    lv_id service = table->endpoints[other].spec.service;
    double sum = 0;
    uint32_t count = 0;
    lv_handle row;

    for (row = 0; row < table->capacity; row++) {
        const eng_endpoint *endpoint = &table->endpoints[row];

        if (row != other && endpoint->is_used &&
            endpoint->spec.service == service && learns(table, endpoint) &&
            endpoint->speed.rate > 0 && spd_is_recent(&endpoint->speed, now)) {
            sum += endpoint->speed.rate;
            count++;
        }
    }
    return count > 0 ? sum / count : table->settings.prefill_tokens_per_ms;
}

/* Returns the free part of an endpoint, less a half: one that is slow keeps
 * its requests for long, and one that is fast again soon has few. */
static double
free_part(const eng_endpoint *endpoint)
{
    double used = eng_in_flight(endpoint) * 2.0 / endpoint->spec.slots;

    return used < 1 ? 1 - used : 0;
}

void
eng_update_speeds(eng_table *table, lv_time now)
{
    lv_handle row;

    if (lv_elapsed(now, table->speeds_updated_at) < SPD_DRIFT_INTERVAL) {
        return;
    }
    table->speeds_updated_at = now;
    for (row = 0; row < table->capacity; row++) {
        eng_endpoint *endpoint = &table->endpoints[row];
        double before = eng_prefill_rate(table, endpoint);

        if (endpoint->is_used && learns(table, endpoint) &&
            !spd_is_recent(&endpoint->speed, now)) {
            spd_drift(&endpoint->speed, find_prior(table, row, now),
                      free_part(endpoint),
                      table->settings.prefill_tokens_per_ms);
            adjust_queue(table, endpoint, before, now);
        }
    }
}
