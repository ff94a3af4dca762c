#include <stdlib.h>
#include <string.h>

#include "pump.h"

static bool
is_before(const pump_event *left, const pump_event *right)
{
    if (left->time != right->time) {
        return left->time < right->time;
    }
    return left->order < right->order;
}

static void
swap_events(pump_event *left, pump_event *right)
{
    pump_event kept = *left;

    *left = *right;
    *right = kept;
}

static void
rise(pump_event *events, uint32_t place)
{
    while (place > 0) {
        uint32_t parent = (place - 1) / 2;

        if (!is_before(&events[place], &events[parent])) {
            return;
        }
        swap_events(&events[place], &events[parent]);
        place = parent;
    }
}

static void
sink(pump_event *events, uint32_t count)
{
    uint32_t place = 0;

    for (;;) {
        uint32_t least = place;

        for (uint32_t child = 2 * place + 1;
             child <= 2 * place + 2 && child < count; child++) {
            if (is_before(&events[child], &events[least])) {
                least = child;
            }
        }
        if (least == place) {
            return;
        }
        swap_events(&events[place], &events[least]);
        place = least;
    }
}

void
pump_push(pump_pump *pump, lv_time delay, const pump_event *event)
{
    pump_event *slot;

    if (pump->event_count == pump->event_capacity) {
        pump->event_capacity = 2 * pump->event_capacity + 1024;
        pump->events =
            realloc(pump->events, pump->event_capacity * sizeof *pump->events);
    }
    slot = &pump->events[pump->event_count];
    *slot = *event;
    slot->time = pump->now + delay;
    slot->order = pump->event_order++;
    rise(pump->events, pump->event_count++);
}

bool
pump_pop(pump_pump *pump, lv_time until, pump_event *event)
{
    if (pump->event_count == 0 || pump->events[0].time > until) {
        return false;
    }
    *event = pump->events[0];
    pump->events[0] = pump->events[--pump->event_count];
    sink(pump->events, pump->event_count);
    return true;
}

uint32_t
pump_random(pump_pump *pump, uint32_t below)
{
    pump->random = pump->random * 6364136223846793005u + 1442695040888963407u;
    return below == 0 ? 0 : (uint32_t)(pump->random >> 33) % below;
}
