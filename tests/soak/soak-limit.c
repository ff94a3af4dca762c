#include <string.h>

#include "soak.h"

/* Until the limit counts, and for a gateway that was told of it. */
#define CONTACT_TIME (3 * LV_SECOND)
#define REACTION_TIME (500 * LV_MILLISECOND)

#define WINDOW (4 * LV_SECOND)
#define SLACK 5

void
limit_set(soak_endpoint *endpoint, double limit)
{
    memset(&endpoint->limit, 0, sizeof endpoint->limit);
    endpoint->limit.per_second = limit;
    endpoint->limit.named_at = io_now();
}

void
limit_write(const soak_endpoint *endpoint, uint32_t number, buf_buffer *to)
{
    soak_call *call = &endpoint->world->calls[number];

    call->limited_by = 0;
    if (endpoint->limit.per_second > 0) {
        call->limited_by = endpoint->number + 1;
        if (endpoint->world->plant != SOAK_PLANT_LIMIT) {
            buf_append_format(to, "Server-Limit: %.2f\r\n",
                              endpoint->limit.per_second);
        }
    }
}

void
limit_passed_on(soak_world *world, uint32_t number)
{
    const soak_call *call = &world->calls[number];
    const soak_daemon *daemon = &world->daemons[call->daemon];
    soak_limit *limit;

    if (call->limited_by == 0 || call->life != daemon->life) {
        return;
    }
    limit = &world->endpoints[call->limited_by - 1].limit;
    if (limit->told[call->daemon].life != call->life ||
        limit->told[call->daemon].at <= daemon->good_since) {
        limit->told[call->daemon].life = call->life;
        limit->told[call->daemon].at = io_now();
    }
}

static uint32_t
count_lately(soak_limit *limit, lv_time now)
{
    uint32_t count = 0;
    uint32_t i;

    limit->arrivals[limit->next_arrival] = now;
    limit->next_arrival = (limit->next_arrival + 1) % SOAK_ARRIVALS;
    for (i = 0; i < SOAK_ARRIVALS; i++) {
        count += limit->arrivals[i] != 0 && limit->arrivals[i] + WINDOW > now;
    }
    return count;
}

void
limit_judge(soak_endpoint *endpoint, uint32_t number)
{
    soak_world *world = endpoint->world;
    soak_limit *limit = &endpoint->limit;
    const soak_call *call = &world->calls[number];
    const soak_daemon *daemon = &world->daemons[call->daemon];
    lv_time told_at = limit->told[call->daemon].at;
    lv_time now = io_now();
    double allowed = limit->per_second * 1.5 * 4 + SLACK;
    uint32_t count;

    /* A link in trouble held requests back, which then arrive together. */
    if (limit->per_second <= 0 || told_at == 0 ||
        now < limit->named_at + CONTACT_TIME ||
        now < told_at + REACTION_TIME + SOAK_MARGIN ||
        endpoint->link.fault != LINK_GOOD ||
        endpoint->link.good_since + WINDOW > now ||
        limit->told[call->daemon].life != daemon->life ||
        call->life != daemon->life || daemon->good_since >= told_at) {
        return;
    }
    count = count_lately(limit, now);
    if (count > allowed && !limit->is_exceeded) {
        limit->is_exceeded = true;
        judge_fault(world,
                    "e-%u gets %u requests in 4 s under its limit of %.2f",
                    endpoint->number, count, limit->per_second);
    }
}
