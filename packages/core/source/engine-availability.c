#include "engine-imp.h"

avl_reason
eng_check_send(const eng_table *table, lv_handle row, lv_time now,
               lv_time *free_at)
{
    const eng_endpoint *endpoint = &table->endpoints[row];

    if (!endpoint->is_listed && !endpoint->availability.is_leaving) {
        *free_at = LV_TIME_NEVER;
        return AVL_UNLISTED;
    }
    return avl_check(&endpoint->availability, now, free_at);
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

    if (!state->is_leaving && state->backoff_until == 0) {
        return;
    }
    departed = &table->departed[table->departed_count++ % ENG_DEPARTED_MAX];
    departed->id = endpoint->spec.id;
    departed->availability = *state;
}

void
eng_recall_availability(eng_table *table, lv_id id, avl_state *state)
{
    uint32_t i;

    avl_init(state);
    for (i = 0; i < ENG_DEPARTED_MAX; i++) {
        eng_departed *departed = &table->departed[i];

        if (departed->id == id) {
            *state = departed->availability;
            departed->id = LV_ID_NONE;
        }
    }
}
