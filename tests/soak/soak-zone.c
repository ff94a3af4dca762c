#include <stdio.h>

#include "soak.h"

uint32_t
zone_of(const soak_endpoint *endpoint)
{
    return endpoint->number % SOAK_ZONES;
}

void
zone_set_evacuated(soak_world *world, uint32_t zone, bool is_evacuated)
{
    world->evacuated = is_evacuated ? zone + 1 : 0;
    soak_log(world, "zone z%u is %s", zone,
             is_evacuated ? "evacuated" : "in service");
    store_show(world);
}

void
zone_show(soak_world *world)
{
    soak_store *store = &world->store;

    if (store->evacuated != world->evacuated) {
        store->evacuated = world->evacuated;
        store->evacuated_at = io_now();
    }
}

void
zone_write_key(const soak_world *world, char *key, size_t size)
{
    key[0] = '\0';
    if (world->store.evacuated != 0 && world->plant != SOAK_PLANT_ZONE) {
        snprintf(key, size, "op/evacuate/z%u", world->store.evacuated - 1);
    }
}

/* The store acknowledges a change when it shows it; while it is away or slow
 * the bound does not count. */
void
zone_judge(soak_endpoint *endpoint, uint32_t number)
{
    soak_world *world = endpoint->world;
    const soak_store *store = &world->store;
    const soak_call *call = &world->calls[number];
    lv_time told_at = daemon_calm_since(&world->daemons[call->daemon]);

    if (store->evacuated != zone_of(endpoint) + 1 ||
        store->mood != STORE_GOOD || told_at == LV_TIME_NEVER) {
        return;
    }
    told_at = told_at > store->evacuated_at ? told_at : store->evacuated_at;
    told_at = told_at > store->good_since ? told_at : store->good_since;
    if (call->sent_at > told_at + SOAK_EVACUATION_BOUND + SOAK_MARGIN) {
        judge_fault(world, "c%u reaches e-%u, whose zone is evacuated", number,
                    endpoint->number);
    }
}
