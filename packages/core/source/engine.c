#include "lavender/engine.h"

#include <stdlib.h>
#include <string.h>

#include "engine-imp.h"

#define INITIAL_CAPACITY 32

/* Moving means change by 1/8 of the difference to each new value. */
#define MEAN_DIVISOR 8

/* The queue of an engine changes within this time. */
#define LAG_LIFETIME LV_SECOND

/* Mean duration of requests at an endpoint where none has ended yet: the time
 * of one call of a plain service in the deployments' specifications. */
#define INITIAL_DURATION (30 * LV_MILLISECOND)

void
eng_default_settings(eng_settings *settings)
{
    /* Half of an engine's maximum prefill rate: the other half of its time is
     * for decoding the running requests (docs/PLATFORM.md). */
    settings->prefill_tokens_per_ms = 30;
    settings->first_token_overhead = 10 * LV_MILLISECOND;
    settings->default_kv_tokens = 500000;
    settings->learn_speed_slots = 0;
}

bool
eng_init(eng_table *table, const eng_settings *settings, err_error *error)
{
    memset(table, 0, sizeof *table);
    table->settings = *settings;
    map_init(&table->by_id);
    map_init(&table->cache_index);
    table->cache_entries =
        calloc(ENG_CACHE_ENTRIES_MAX, sizeof *table->cache_entries);
    if (table->cache_entries == NULL) {
        return err_set(error, ERR_MEMORY, "give the process more memory",
                       "cannot allocate the prefix cache index");
    }
    return true;
}

void
eng_finish(eng_table *table)
{
    map_finish(&table->by_id);
    map_finish(&table->cache_index);
    free(table->cache_entries);
    free(table->endpoints);
    memset(table, 0, sizeof *table);
}

eng_endpoint *
eng_at(const eng_table *table, lv_handle endpoint)
{
    return &table->endpoints[endpoint];
}

lv_handle
eng_find(const eng_table *table, lv_id id)
{
    return map_find(&table->by_id, id);
}

static lv_handle
find_free_row(eng_table *table)
{
    uint32_t capacity =
        table->capacity > 0 ? table->capacity * 2 : INITIAL_CAPACITY;
    eng_endpoint *grown;
    lv_handle row;

    for (row = 0; row < table->capacity; row++) {
        if (!table->endpoints[row].is_used) {
            return row;
        }
    }
    grown = realloc(table->endpoints, capacity * sizeof *grown);
    if (grown == NULL) {
        return LV_HANDLE_NONE;
    }
    memset(grown + row, 0, (capacity - row) * sizeof *grown);
    table->endpoints = grown;
    table->capacity = capacity;
    return row;
}

static lv_handle
add_endpoint(eng_table *table, const eng_spec *spec)
{
    lv_handle row = find_free_row(table);
    eng_endpoint *endpoint;

    if (row == LV_HANDLE_NONE || !map_set(&table->by_id, spec->id, row)) {
        return LV_HANDLE_NONE;
    }
    endpoint = &table->endpoints[row];
    memset(endpoint, 0, sizeof *endpoint);
    endpoint->is_used = true;
    endpoint->generation = ++table->last_generation;
    endpoint->kv_capacity = table->settings.default_kv_tokens;
    endpoint->mean_duration = INITIAL_DURATION;
    out_init(&endpoint->outlier);
    eng_recall_availability(table, endpoint, spec->id);
    return row;
}

lv_handle
eng_publish(eng_table *table, const eng_spec *spec)
{
    lv_handle row = eng_find(table, spec->id);

    if (row == LV_HANDLE_NONE) {
        row = add_endpoint(table, spec);
    }
    if (row != LV_HANDLE_NONE) {
        eng_endpoint *endpoint = &table->endpoints[row];

        endpoint->spec = *spec;
        eng_update_evacuated(table, row);
        endpoint->is_published = true;
        endpoint->is_listed =
            !spec->is_draining && !endpoint->availability.is_leaving;
        table->list_version++;
    }
    return row;
}

static void
free_row_if_unused(eng_table *table, lv_handle row)
{
    eng_endpoint *endpoint = &table->endpoints[row];

    if (endpoint->is_used && !endpoint->is_published &&
        endpoint->reference_count == 0) {
        eng_remember_availability(table, endpoint);
        map_remove(&table->by_id, endpoint->spec.id);
        endpoint->is_used = false;
    }
}

void
eng_unlist(eng_table *table, lv_handle row)
{
    table->endpoints[row].is_listed = false;
    table->list_version++;
}

void
eng_withdraw(eng_table *table, lv_id id)
{
    lv_handle row = eng_find(table, id);

    if (row != LV_HANDLE_NONE) {
        eng_unlist(table, row);
        table->endpoints[row].spec.is_draining = false;
        table->endpoints[row].is_published = false;
        free_row_if_unused(table, row);
    }
}

void
eng_set_service(eng_table *table, lv_id service, bool is_engine,
                uint64_t kv_tokens)
{
    lv_handle row;

    for (row = 0; row < table->capacity; row++) {
        eng_endpoint *endpoint = &table->endpoints[row];

        if (endpoint->is_used && endpoint->spec.service == service) {
            endpoint->is_engine = is_engine;
            if (kv_tokens > 0) {
                endpoint->kv_capacity = kv_tokens;
            }
        }
    }
}

void
eng_ref(eng_table *table, lv_handle endpoint)
{
    table->endpoints[endpoint].reference_count++;
}

void
eng_unref(eng_table *table, lv_handle endpoint)
{
    table->endpoints[endpoint].reference_count--;
    free_row_if_unused(table, endpoint);
}

uint32_t
eng_in_flight(const eng_endpoint *endpoint)
{
    uint32_t known = endpoint->local.in_flight + endpoint->peers_in_flight;

    return known > endpoint->reported.in_flight ? known
                                                : endpoint->reported.in_flight;
}

uint64_t
eng_kv_used(const eng_endpoint *endpoint)
{
    uint64_t known = endpoint->local.kv_tokens + endpoint->peers_kv_tokens;

    return known > endpoint->reported.kv_tokens ? known
                                                : endpoint->reported.kv_tokens;
}

static lv_time
prefill_time(const eng_table *table, const eng_endpoint *endpoint,
             uint64_t tokens)
{
    return (lv_time)((double)tokens / eng_prefill_rate(table, endpoint) *
                     (double)LV_MILLISECOND);
}

lv_time
eng_predict_wait(const eng_table *table, lv_handle row, lv_time now)
{
    const eng_endpoint *endpoint = &table->endpoints[row];

    if (!endpoint->is_engine) {
        return endpoint->overdue;
    }
    return eng_modelled_wait(endpoint, now) +
           (lv_time)endpoint->first_token_lag + endpoint->overdue;
}

/* Nothing tells whether the delay of first tokens lasts. */
static bool
is_lag_outdated(const eng_endpoint *endpoint, lv_time now)
{
    return endpoint->awaited == 0 &&
           lv_elapsed(now, endpoint->first_token_at) >= LAG_LIFETIME;
}

static void
predict_engine(const eng_table *table, lv_handle row, const eng_prompt *prompt,
               uint32_t cached, lv_time now, eng_prediction *prediction)
{
    const eng_endpoint *endpoint = &table->endpoints[row];
    uint64_t kv_used = eng_kv_used(endpoint);

    prediction->uncached_tokens = prompt->tokens - cached;
    prediction->learned_rate = eng_learned_rate(table, endpoint);
    prediction->has_capacity =
        eng_in_flight(endpoint) < endpoint->spec.slots &&
        kv_used + prompt->tokens + prompt->output_tokens <=
            endpoint->kv_capacity;
    prediction->unmodelled_wait =
        (lv_time)endpoint->first_token_lag + endpoint->overdue;
    prediction->wait = eng_predict_wait(table, row, now);
    prediction->outdated_wait = is_lag_outdated(endpoint, now)
                                    ? (lv_time)endpoint->first_token_lag
                                    : 0;
    prediction->idle_time = lv_elapsed(now, endpoint->prefill_until);
    prediction->service_time =
        prefill_time(table, endpoint, prediction->uncached_tokens) +
        table->settings.first_token_overhead;
}

/* Requests of plain services end before the other instances receive a report
 * of them, so most requests in the last reports have already ended: they count
 * in the choice of an endpoint, but not against its free slots. An endpoint
 * without a free slot refuses a request itself, before executing it. */
static void
predict_plain(const eng_endpoint *endpoint, eng_prediction *prediction)
{
    uint32_t in_flight = endpoint->local.in_flight;
    uint32_t slots = endpoint->spec.slots > 0 ? endpoint->spec.slots : 1;

    prediction->uncached_tokens = 0;
    prediction->learned_rate = 0;
    prediction->unmodelled_wait = endpoint->overdue;
    prediction->outdated_wait = 0;
    prediction->has_capacity = in_flight < slots;
    prediction->wait = endpoint->overdue;
    prediction->idle_time = LV_TIME_NEVER;
    if (!prediction->has_capacity) {
        prediction->wait +=
            (in_flight - slots + 1) * endpoint->mean_duration / slots;
    }
    prediction->service_time = endpoint->mean_duration;
}

void
eng_predict(const eng_table *table, lv_handle endpoint,
            const eng_prompt *prompt, lv_time now, eng_prediction *prediction)
{
    if (table->endpoints[endpoint].is_engine) {
        predict_engine(table, endpoint, prompt,
                       eng_cached_tokens(table, endpoint, prompt), now,
                       prediction);
    }
    else {
        predict_plain(&table->endpoints[endpoint], prediction);
    }
}

void
eng_predict_uncached(const eng_table *table, lv_handle endpoint,
                     const eng_prompt *prompt, lv_time now,
                     eng_prediction *prediction)
{
    if (table->endpoints[endpoint].is_engine) {
        predict_engine(table, endpoint, prompt, 0, now, prediction);
    }
    else {
        predict_plain(&table->endpoints[endpoint], prediction);
    }
}

static void
add_prefill(eng_table *table, eng_endpoint *endpoint, uint32_t tokens,
            lv_time now)
{
    if (endpoint->prefill_until < now) {
        endpoint->prefill_until = now;
    }
    endpoint->prefill_until += prefill_time(table, endpoint, tokens);
    endpoint->prefill_total += tokens;
}

static void
touch_blocks(eng_table *table, lv_handle row, const eng_prompt *prompt)
{
    uint32_t i;

    for (i = 0; i < prompt->block_count; i++) {
        eng_touch_block(table, row, prompt->blocks[i].prefix_hash);
    }
}

void
eng_start_predicted(eng_table *table, lv_handle row, const eng_prompt *prompt,
                    const eng_prediction *prediction, lv_time now,
                    eng_reservation *use)
{
    eng_endpoint *endpoint = &table->endpoints[row];

    use->endpoint = row;
    use->started_at = now;
    use->first_token_due = now + prediction->wait + prediction->service_time;
    use->uncached_tokens = prediction->uncached_tokens;
    use->work_tokens = eng_predicted_work(table, endpoint, prediction);
    use->kv_tokens = prompt->tokens + prompt->output_tokens;
    use->has_first_token = false;
    endpoint->awaited++;
    endpoint->local.in_flight++;
    endpoint->local.prefill_total += prediction->uncached_tokens;
    endpoint->local.kv_tokens += use->kv_tokens;
    avl_count_start(&endpoint->availability, now);
    pace_count_start(&endpoint->pace, now);
    wrm_count_start(&endpoint->warmup, now);
    add_prefill(table, endpoint, prediction->uncached_tokens, now);
    touch_blocks(table, row, prompt);
    eng_ref(table, row);
}

void
eng_start_request(eng_table *table, lv_handle row, const eng_prompt *prompt,
                  lv_time now, eng_reservation *use)
{
    eng_prediction prediction;

    eng_predict(table, row, prompt, now, &prediction);
    eng_start_predicted(table, row, prompt, &prediction, now, use);
}

void
eng_start_peer_request(eng_table *table, lv_handle row,
                       const eng_prompt *prompt, uint32_t uncached,
                       eng_load *load, lv_time now)
{
    eng_load before = *load;

    load->in_flight++;
    load->prefill_total += uncached;
    load->kv_tokens += prompt->tokens + prompt->output_tokens;
    eng_apply_peer_load(table, row, &before, load, now);
    touch_blocks(table, row, prompt);
}

void
eng_record_first_token(eng_table *table, eng_reservation *use, lv_time now)
{
    eng_endpoint *endpoint = &table->endpoints[use->endpoint];
    int64_t error = (int64_t)now - (int64_t)use->first_token_due;

    if (use->has_first_token) {
        return;
    }
    use->has_first_token = true;
    endpoint->awaited--;
    endpoint->first_token_at = now;
    if (eng_learns_speed(table, use->endpoint)) {
        /* The rate explains the delay; a lag would count it twice. */
        endpoint->first_token_lag = 0;
        eng_observe_speed(table, use, now);
        return;
    }
    endpoint->first_token_lag += error / MEAN_DIVISOR;
    /* Early first tokens must not raise the prefill rate: the setting is a
     * maximum. */
    if (endpoint->first_token_lag < 0) {
        endpoint->first_token_lag = 0;
    }
}

void
eng_end_request(eng_table *table, const eng_reservation *use, lv_time now)
{
    eng_endpoint *endpoint = &table->endpoints[use->endpoint];
    int64_t duration = (int64_t)lv_elapsed(now, use->started_at);
    int64_t mean = (int64_t)endpoint->mean_duration;

    endpoint->awaited -= !use->has_first_token;
    endpoint->local.in_flight--;
    endpoint->local.kv_tokens -= use->kv_tokens;
    endpoint->mean_duration =
        (lv_time)(mean + (duration - mean) / MEAN_DIVISOR);
    eng_unref(table, use->endpoint);
}

void
eng_apply_peer_load(eng_table *table, lv_handle row, const eng_load *before,
                    const eng_load *after, lv_time now)
{
    eng_endpoint *endpoint = &table->endpoints[row];
    uint32_t tokens = after->prefill_total - before->prefill_total;

    endpoint->peers_in_flight += after->in_flight - before->in_flight;
    endpoint->peers_kv_tokens += after->kv_tokens;
    endpoint->peers_kv_tokens -= before->kv_tokens;
    if (tokens > 0 && tokens < ENG_PREFILL_STEP_MAX) {
        add_prefill(table, endpoint, tokens, now);
    }
}
