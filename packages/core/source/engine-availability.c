#include "engine-imp.h"

avl_reason
eng_check_send(const eng_table *table, lv_handle row, lv_time now,
               lv_time *free_at)
{
    const eng_endpoint *endpoint = &table->endpoints[row];
    avl_reason reason;

    if (!endpoint->is_listed && !endpoint->availability.is_leaving) {
        *free_at = LV_TIME_NEVER;
        return AVL_UNLISTED;
    }
    if (endpoint->is_evacuated) {
        *free_at = LV_TIME_NEVER;
        return AVL_EVACUATED;
    }
    reason = avl_check(&endpoint->availability, now, free_at);
    if (reason == AVL_AVAILABLE &&
        !pace_check(&endpoint->pace, now, free_at)) {
        return AVL_LIMITED;
    }
    /* Tested here, as this is called for every endpoint of a decision. */
    if (reason == AVL_AVAILABLE && endpoint->warmup.service.cold_time > 0 &&
        !wrm_check(&endpoint->warmup, now, free_at)) {
        return AVL_COLD;
    }
    return reason;
}

uint32_t
eng_places(const eng_table *table, lv_handle row, lv_time until)
{
    const eng_endpoint *endpoint = &table->endpoints[row];
    uint32_t places = avl_places(&endpoint->availability, until);
    uint32_t paced = pace_places(&endpoint->pace, until);
    uint32_t warm = wrm_places(&endpoint->warmup, until);

    if (endpoint->is_evacuated) {
        return 0;
    }
    places = paced < places ? paced : places;
    return warm < places ? warm : places;
}

bool
eng_update_evacuated(eng_table *table, lv_handle row)
{
    eng_endpoint *endpoint = &table->endpoints[row];
    bool is_evacuated =
        table->evacuation != NULL &&
        evc_is_evacuated(table->evacuation, endpoint->spec.zone);

    if (is_evacuated == endpoint->is_evacuated) {
        return false;
    }
    endpoint->is_evacuated = is_evacuated;
    table->list_version++;
    return true;
}

bool
eng_begin_leaving(eng_table *table, lv_handle row)
{
    if (!avl_begin_leaving(&table->endpoints[row].availability)) {
        return false;
    }
    eng_unlist(table, row);
    return true;
}

bool
eng_begin_backoff(eng_table *table, lv_handle row, lv_time duration,
                  lv_time now)
{
    return avl_begin_backoff(&table->endpoints[row].availability, duration,
                             now);
}

lv_handle
eng_end_backoff(eng_table *table, lv_time now)
{
    lv_handle row;

    for (row = 0; row < table->capacity; row++) {
        if (table->endpoints[row].is_used &&
            avl_end_backoff(&table->endpoints[row].availability, now)) {
            return row;
        }
    }
    return LV_HANDLE_NONE;
}

void
eng_remember_availability(eng_table *table, const eng_endpoint *endpoint)
{
    const avl_state *state = &endpoint->availability;
    eng_departed *departed;

    if (!state->is_leaving && state->backoff_until == 0 &&
        !pace_is_limited(&endpoint->pace) &&
        endpoint->warmup.service.cold_time == 0) {
        return;
    }
    departed = &table->departed[table->departed_count++ % ENG_DEPARTED_MAX];
    departed->id = endpoint->spec.id;
    departed->availability = *state;
    departed->pace = endpoint->pace;
    departed->warmup = endpoint->warmup;
}

void
eng_recall_availability(eng_table *table, eng_endpoint *endpoint, lv_id id)
{
    uint32_t i;

    avl_init(&endpoint->availability);
    pace_init(&endpoint->pace);
    for (i = 0; i < ENG_DEPARTED_MAX; i++) {
        eng_departed *departed = &table->departed[i];

        if (departed->id == id) {
            endpoint->availability = departed->availability;
            endpoint->pace = departed->pace;
            endpoint->warmup = departed->warmup;
            departed->id = LV_ID_NONE;
        }
    }
}
