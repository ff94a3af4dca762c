#include <stdlib.h>
#include <string.h>

#include "soak.h"

/* After a 503 with Retry-After, until its time counts. */
#define REACTION_TIME (500 * LV_MILLISECOND)

/* Requests that may reach an endpoint in a time that it named. */
#define BACKOFF_REQUESTS 2

/* Is what the gateway was told then still known to it? */
static bool
is_still_told(const soak_daemon *daemon, uint32_t life, lv_time at)
{
    return at != 0 && daemon->life == life && daemon->good_since < at;
}

void
notice_set_leaving(soak_endpoint *endpoint, bool is_leaving)
{
    endpoint->is_leaving = is_leaving;
    memset(endpoint->told, 0, sizeof endpoint->told);
}

void
notice_write(soak_endpoint *endpoint, uint32_t number, buf_buffer *to)
{
    soak_call *call = &endpoint->world->calls[number];

    call->noticed_by = 0;
    if (endpoint->is_leaving) {
        call->noticed_by = endpoint->number + 1;
        call->noticed_births = endpoint->births;
        if (endpoint->world->plant != SOAK_PLANT_WORD) {
            buf_append_text(to, "Server-Leaving: 1\r\n");
        }
    }
}

void
notice_passed_on(soak_world *world, uint32_t number)
{
    const soak_call *call = &world->calls[number];
    const soak_daemon *daemon = &world->daemons[call->daemon];
    soak_endpoint *endpoint;

    if (call->noticed_by == 0 || call->life != daemon->life) {
        return;
    }
    endpoint = &world->endpoints[call->noticed_by - 1];
    if (endpoint->is_leaving && endpoint->births == call->noticed_births &&
        !is_still_told(daemon, endpoint->told[call->daemon].life,
                       endpoint->told[call->daemon].at)) {
        endpoint->told[call->daemon].life = call->life;
        endpoint->told[call->daemon].at = io_now();
    }
}

void
notice_back_off(soak_endpoint *endpoint, uint32_t number, buf_buffer *to)
{
    static const char *const times[] = {"1", "2", "3", "0.8", "1.5", "2.25"};
    const soak_call *call = &endpoint->world->calls[number];
    const soak_daemon *daemon = &endpoint->world->daemons[call->daemon];
    const char *drawn = times[soak_draw(endpoint->world, 6)];
    lv_time now = io_now();

    if (endpoint->world->plant != SOAK_PLANT_AGAIN) {
        buf_append_format(to, "Retry-After: %s\r\n", drawn);
    }
    if (endpoint->link.fault != LINK_GOOD || call->life != daemon->life) {
        return;
    }
    for (int i = 0; i < SOAK_BACKOFFS; i++) {
        soak_backoff *backoff = &endpoint->backoffs[call->daemon][i];

        if (now >= backoff->until) {
            backoff->life = call->life;
            backoff->at = now;
            backoff->until = now + (lv_time)(atof(drawn) * LV_SECOND);
            backoff->count = 0;
            return;
        }
    }
}

static void
count_in_backoff(soak_endpoint *endpoint, uint32_t number,
                 soak_backoff *backoff)
{
    soak_world *world = endpoint->world;
    const soak_call *call = &world->calls[number];
    const soak_daemon *daemon = &world->daemons[call->daemon];
    const link_transport *link = &endpoint->link;

    /* A back-off holds for one birth of the endpoint. Just after another one a
     * gateway may still send to the birth that it knows. */
    if (backoff->at < endpoint->changed_at + SOAK_LEAVE_BOUND ||
        !is_still_told(daemon, backoff->life, backoff->at) ||
        link->fault != LINK_GOOD || link->good_since >= backoff->at ||
        world->last_tick_at <= backoff->at + REACTION_TIME ||
        io_now() >= backoff->until) {
        return;
    }
    backoff->count++;
    if (backoff->count == BACKOFF_REQUESTS + 1) {
        judge_fault(world,
                    "c%u reaches e-%u, the %u. from router-%u in its back-off",
                    number, endpoint->number, backoff->count, call->daemon);
    }
}

void
notice_judge(soak_endpoint *endpoint, uint32_t number)
{
    soak_world *world = endpoint->world;
    const soak_call *call = &world->calls[number];
    const soak_daemon *daemon = &world->daemons[call->daemon];
    lv_time told_at = endpoint->told[call->daemon].at;

    if (endpoint->is_leaving && call->life == daemon->life &&
        is_still_told(daemon, endpoint->told[call->daemon].life, told_at) &&
        call->sent_at > told_at + SOAK_LEAVE_BOUND) {
        judge_fault(world, "c%u reaches e-%u, which leaves by its word",
                    number, endpoint->number);
    }
    for (int i = 0; i < SOAK_BACKOFFS; i++) {
        count_in_backoff(endpoint, number,
                         &endpoint->backoffs[call->daemon][i]);
    }
}
