#include "soak.h"

static void
plant_mistake(soak_world *world)
{
    soak_daemon *daemon = &world->daemons[0];

    switch (world->plant) {
    case SOAK_PLANT_LATE:
        daemon_pause(daemon);
        break;
    case SOAK_PLANT_LEAVE:
        for (uint32_t i = 0; i < SOAK_ENDPOINTS; i++) {
            world->endpoints[i].is_listed = false;
            world->endpoints[i].changed_at = io_now();
        }
        break;
    case SOAK_PLANT_STALE:
        world->store.mood = STORE_STALE;
        fault_show_version(world);
        break;
    case SOAK_PLANT_OLD:
        world->store.version--;
        world->store.revision++;
        /* One that still runs would name the newer version. */
        for (uint32_t i = 0; i < world->daemon_count; i++) {
            fault_kill_and_restart(world, &world->daemons[i]);
        }
        break;
    case SOAK_PLANT_SILENT:
        for (uint32_t i = 0; i < SOAK_ENDPOINTS; i++) {
            endpoint_fall_silent(&world->endpoints[i]);
        }
        break;
    case SOAK_PLANT_DROP:
        fault_terminate(daemon);
        break;
    case SOAK_PLANT_CLOSE:
        daemon_pause(daemon);
        break;
    case SOAK_PLANT_WORD:
        for (uint32_t i = 0; i < SOAK_ENDPOINTS; i++) {
            notice_set_leaving(&world->endpoints[i], true);
        }
        break;
    case SOAK_PLANT_AGAIN:
        for (uint32_t i = 0; i < SOAK_ENDPOINTS; i++) {
            world->endpoints[i].mood = ENDPOINT_OVERLOADED;
        }
        break;
    case SOAK_PLANT_LIMIT:
        for (uint32_t i = 0; i < SOAK_ENDPOINTS; i++) {
            limit_set(&world->endpoints[i], SOAK_LIMIT_LEAST);
        }
        break;
    case SOAK_PLANT_BLOCK:
        block_set_deadly(&world->block, true);
        break;
    case SOAK_PLANT_REPEAT:
        block_set_deadly(&world->request, true);
        break;
    case SOAK_PLANT_ZONE:
        zone_set_evacuated(world, 0, true);
        break;
    case SOAK_PLANT_MIXED:
        fault_release(world);
        for (uint32_t i = 0; i < SOAK_ENDPOINTS; i++) {
            world->endpoints[i].mood = ENDPOINT_RESETS;
        }
        break;
    case SOAK_PLANT_MALFORMED:
        for (uint32_t i = 0; i < SOAK_ENDPOINTS; i++) {
            world->endpoints[i].mood = ENDPOINT_MALFORMED;
        }
        break;
    case SOAK_PLANT_BUDGET:
        for (uint32_t i = 0; i < SOAK_ENDPOINTS; i++) {
            world->endpoints[i].mood = ENDPOINT_FAILS;
        }
        break;
    default:
        break;
    }
}

/* Before a mistake is planted: two versions that are in force. */
#define PLANT_AT (4 * LV_SECOND)
#define SECOND_VERSION_AT (2 * LV_SECOND)

/* The gateway that the plant paused goes on when its connections are closed.
 */
static void
end_plant(soak_world *world, lv_time now)
{
    soak_daemon *daemon = &world->daemons[0];

    if (world->plant == SOAK_PLANT_CLOSE && daemon->is_stopped &&
        lv_elapsed(now, world->started_at) > PLANT_AT + LV_SECOND) {
        callers_close_paused(world);
        daemon_go_on(daemon);
    }
}

void
plant_tick(soak_world *world, lv_time now)
{
    lv_time passed = lv_elapsed(now, world->started_at);

    end_plant(world, now);
    if (world->next_fault_at == 0 && passed > SECOND_VERSION_AT) {
        world->next_fault_at = world->started_at + PLANT_AT;
        fault_show_version(world);
    }
    else if (world->next_fault_at != 0 && now > world->next_fault_at) {
        world->next_fault_at = LV_TIME_NEVER;
        plant_mistake(world);
    }
}
