#include "lavender/lag.h"

/* Slot 0 is that of an unused row. */
static uint64_t
slot_number(lv_time at)
{
    return at / LAG_SLOT_TIME + 1;
}

void
lag_note(lag_record *record, lv_time complete_until, lv_time from, lv_time now)
{
    uint64_t last = slot_number(now);
    uint64_t number = slot_number(from);

    if (number + LAG_SLOTS <= last) {
        number = last - LAG_SLOTS + 1;
    }
    for (; number <= last; number++) {
        lag_slot *slot = &record->slots[number % LAG_SLOTS];

        if (slot->number != number || complete_until < slot->complete_until) {
            slot->number = number;
            slot->complete_until = complete_until;
        }
    }
}

lv_time
lag_find(const lag_record *record, lv_time since, lv_time now)
{
    uint64_t first = slot_number(since);
    uint64_t last = slot_number(now);
    lv_time earliest = now;
    uint32_t i;

    for (i = 0; i < LAG_SLOTS; i++) {
        const lag_slot *slot = &record->slots[i];

        if (slot->number >= first && slot->number <= last &&
            slot->complete_until < earliest) {
            earliest = slot->complete_until;
        }
    }
    return earliest;
}
