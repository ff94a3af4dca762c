#include <string.h>

#include "soak.h"

#define CONTACT_TIME (3 * LV_SECOND)

/* Requests that may reach endpoints after the bound. */
#define LATE_REQUESTS 3

#define CRASHES 5 /* from the last of these the bound counts */
#define DEADLY_PERCENT 4

#define DOWN_LEAST LV_SECOND
#define DOWN_MOST (2 * LV_SECOND)

void
block_set_deadly(soak_world *world, bool is_deadly)
{
    soak_block *block = &world->block;
    uint64_t id = block->id + 1;

    memset(block, 0, sizeof *block);
    block->id = id;
    block->is_deadly = is_deadly;
}

void
block_draw(soak_world *world, soak_call *call)
{
    call->deadly = world->block.is_deadly && call->kind != SOAK_PROBE &&
                           soak_draw(world, 100) < DEADLY_PERCENT
                       ? world->block.id
                       : 0;
}

/* Two shared blocks, the deadly one, and the request's own. Under the plant
 * the deadly one is not named. */
void
block_write(const soak_world *world, uint32_t number, buf_buffer *to)
{
    const soak_call *call = &world->calls[number];

    buf_append_format(to,
                      "Lavenderproxy-Token-Counts: 60,4\r\n"
                      "Lavenderproxy-Prompt-Prefix: %x:20,%x:20,",
                      (unsigned)call->kind + 1, 0x100 + number % 7);
    if (call->deadly != 0 && world->plant != SOAK_PLANT_BLOCK) {
        buf_append_format(to, "dead%llx:4,", (unsigned long long)call->deadly);
    }
    buf_append_format(to, "%x:20\r\n", 0x10000 + number);
}

bool
block_is_deadly(const soak_world *world, uint32_t number)
{
    return world->block.is_deadly &&
           world->calls[number].deadly == world->block.id;
}

void
block_crash(soak_endpoint *endpoint)
{
    soak_world *world = endpoint->world;
    soak_block *block = &world->block;
    lv_time now = io_now();

    soak_log(world, "e-%u crashes", endpoint->number);
    endpoint->up_at = now + soak_draw_time(world, DOWN_LEAST, DOWN_MOST);
    link_set(&endpoint->link, LINK_REFUSES, 0);
    if (++block->crashes == CRASHES) {
        block->bound_at = now + CONTACT_TIME + SOAK_MARGIN;
        block->last_crash_at = now;
    }
}

/* Another endpoint starts at the address of the crashed one. */
void
block_tick(soak_endpoint *endpoint, lv_time now)
{
    if (endpoint->up_at != 0 && now >= endpoint->up_at) {
        endpoint->up_at = 0;
        endpoint->births++;
        endpoint->changed_at = now;
        link_set(&endpoint->link, LINK_GOOD, 0);
        notice_set_leaving(endpoint, false);
        limit_set(endpoint, 0);
        store_show(endpoint->world);
    }
}

void
block_judge(soak_endpoint *endpoint, uint32_t number)
{
    soak_world *world = endpoint->world;
    soak_block *block = &world->block;
    const soak_call *call = &world->calls[number];
    const soak_daemon *daemon = &world->daemons[call->daemon];

    if (!block_is_deadly(world, number) || block->bound_at == 0 ||
        io_now() < block->bound_at || call->life != daemon->life ||
        daemon_calm_since(daemon) + CONTACT_TIME > block->last_crash_at) {
        return;
    }
    if (++block->late == LATE_REQUESTS + 1) {
        judge_fault(world,
                    "c%u reaches e-%u, the %u. with the block that crashed "
                    "%u endpoints",
                    number, endpoint->number, block->late, block->crashes);
    }
}
