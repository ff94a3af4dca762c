#include "part-fleet-platform.h"

static void
on_weight_gone(void *memory)
{
    weight_wait *wait = memory;
    weight_wait **link = &wait->platform->weights;

    while (*link != NULL && *link != wait) {
        link = &(*link)->next;
    }
    if (*link == wait) {
        *link = wait->next;
    }
}

/* The store sends one set of weights after the other at its rate. */
void
platform_send_weights(config_service *platform, h2o_req_t *req)
{
    uint64_t bytes = http_query_number(req, "bytes", 0);
    uint64_t now = uv_now(&platform->loop);
    weight_wait *wait =
        h2o_mem_alloc_shared(&req->pool, sizeof *wait, on_weight_gone);

    platform->weight_calls++;
    if (platform->weight_free_ms < now) {
        platform->weight_free_ms = now;
    }
    platform->weight_free_ms += bytes * 1000 / platform->weight_rate;
    wait->platform = platform;
    wait->req = req;
    wait->due_ms = platform->weight_free_ms;
    wait->next = platform->weights;
    platform->weights = wait;
}

void
platform_try_weights(config_service *platform)
{
    weight_wait *wait = platform->weights;

    while (wait != NULL) {
        weight_wait *next = wait->next;

        if (uv_now(&platform->loop) >= wait->due_ms) {
            h2o_req_t *req = wait->req;

            on_weight_gone(wait);
            http_send_text(req, 200, "text/plain", "loaded\n", 7);
        }
        wait = next;
    }
}
