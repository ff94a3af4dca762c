#include "watcher.h"

#include <criterion/criterion.h>
#include <string.h>

#define REQUEST "GET / HTTP/1.1\r\nhost: test\r\n\r\n"

static bool
on_ready(void *owner)
{
    watch_watcher *self = owner;

    self->ready++;
    return !self->is_refused;
}

static bool
on_head(void *owner, const exch_response_head *head)
{
    watch_watcher *self = owner;

    self->head = *head;
    self->head.headers = NULL;
    return true;
}

static bool
on_body(void *owner, const char *bytes, size_t size)
{
    watch_watcher *self = owner;

    (void)bytes;
    self->size += size;
    if (self->is_paused) {
        exch_set_paused(self->exchange, true);
    }
    return true;
}

static void
on_end(void *owner, exch_result end)
{
    watch_watcher *self = owner;

    cr_assert(!self->is_ended);
    self->is_ended = true;
    self->end = end;
    uv_stop(self->loop);
}

static const exch_ops ops = {on_ready, on_head, on_body, on_end};

const client_settings watch_settings = {
    .connect_timeout = 500 * LV_MILLISECOND,
    .first_byte_timeout = 300 * LV_MILLISECOND,
    .idle_timeout = 300 * LV_MILLISECOND,
    .idle_connection_timeout = 5 * LV_SECOND,
    .max_pooled_connections = 4};

void
watch_ask(client_context *client, watch_watcher *self, const char *address,
          bool is_fresh)
{
    exch_request request = {.address = address,
                            .needs_new_connection = is_fresh,
                            .head = REQUEST,
                            .head_size = strlen(REQUEST)};

    self->exchange = exch_start(client, &request, &ops, self);
    cr_assert_not_null(self->exchange);
    uv_run(self->loop, UV_RUN_DEFAULT);
}

void
watch_finish(client_context *client, uv_loop_t *loop)
{
    bool is_idle = client->open_exchange_count == 0;

    client_finish(client);
    uv_run(loop, UV_RUN_DEFAULT);
    cr_expect(uv_loop_close(loop) == 0 && is_idle);
}
