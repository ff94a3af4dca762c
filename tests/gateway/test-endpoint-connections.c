/*
 * Connections to endpoints and to the store, whose other side closes them or
 * answers while the loop is late.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "back-imp.h"
#include "stage.h"

static stage_fixture stage;

#define ONCE_REQUEST                                                          \
    "POST /once/1 HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"                     \
    "Content-Length: 0\r\n\r\n"

/* Closes a connection if a listener's process accepted it. */
static void
close_if_accepted(uv_handle_t *handle, void *listener)
{
    struct sockaddr_in own = {0};
    struct sockaddr_in local = {0};
    struct sockaddr_in remote;
    int size = sizeof own;
    const uv_tcp_t *tcp = (const uv_tcp_t *)handle;

    if (handle->type != UV_TCP || handle == listener ||
        uv_is_closing(handle) ||
        uv_tcp_getpeername(tcp, (struct sockaddr *)&remote, &size) != 0) {
        return;
    }
    uv_tcp_getsockname(tcp, (struct sockaddr *)&local, &size);
    uv_tcp_getsockname(listener, (struct sockaddr *)&own, &size);
    if (local.sin_port == own.sin_port) {
        io_close(handle->data);
    }
}

/* Closes the connections that a listener accepted; their other side has not
 * read the end yet when this returns. */
static void
close_accepted(uv_tcp_t *listener)
{
    uv_walk(&stage.loop, close_if_accepted, listener);
    stage_block(STAGE_DELIVERY_MS);
}

static bool
is_answered(stage_fixture *self, void *context)
{
    (void)self;
    return ((stage_client *)context)->response.size > 0;
}

static bool
is_open(stage_fixture *self, void *context)
{
    (void)self;
    return ((stage_client *)context)->is_open;
}

/* Sends a request on an open connection, before anything else happens. */
static void
send_on(stage_client *client)
{
    io_write(&client->stream, ONCE_REQUEST, sizeof ONCE_REQUEST - 1);
    stage_block(STAGE_DELIVERY_MS);
}

static void
expect_ok(stage_client *client, const char *what)
{
    cr_expect(stage_run_until(&stage, is_answered, client, 3000), "%s", what);
    buf_append(&client->response, "", 1);
    cr_expect_eq(strncmp(client->response.data, "HTTP/1.1 200", 12), 0,
                 "%s: %.40s", what, client->response.data);
    buf_clear(&client->response);
}

/* Guards against a request that must not run twice and fails because it was
 * written to an idle connection that the endpoint had closed. */
Test(endpoint_connections, request_takes_no_connection_that_has_ended)
{
    stage_client client;

    stage_start(&stage, 1);
    stage_send(&stage, &client, ONCE_REQUEST, sizeof ONCE_REQUEST - 1);
    expect_ok(&client, "first request");
    send_on(&client);
    close_accepted(&stage.endpoints[0].listener);
    expect_ok(&client, "request after the end of the pooled connection");
    cr_expect_eq(stage.endpoints[0].runs, 2);
    stage_disconnect(&stage, &client);
    buf_finish(&client.response);
    stage_stop(&stage);
}

static bool
is_connecting(stage_fixture *self, void *context)
{
    const back_connection *connection = self->gate.endpoint_pool.connections;

    (void)context;
    return connection != NULL && !connection->stream.is_connected;
}

/* Guards against a connect timeout of a connection that is established, at an
 * instance whose loop is late. */
Test(endpoint_connections, late_loop_notices_an_established_connection)
{
    stage_client client;

    stage_start(&stage, 1);
    stage_send(&stage, &client, NULL, 0);
    cr_assert(stage_run_until(&stage, is_open, &client, 1000));
    send_on(&client);
    cr_assert(stage_run_until(&stage, is_connecting, NULL, 1000));
    stage_block(400);
    expect_ok(&client, "connected while the loop was late");
    stage_disconnect(&stage, &client);
    buf_finish(&client.response);
    stage_stop(&stage);
}

/* Guards against a store that is taken for lost because it closed an idle
 * connection, or because its answer was not read in time. */
Test(endpoint_connections, late_loop_does_not_lose_the_store)
{
    static const struct {
        const char *what;
        bool is_closed;  /* by the store, while idle; otherwise it answers */
        uint64_t run_ms; /* until the feed is idle, or watches */
    } cases[] = {{"idle connection closed", true, 300},
                 {"late answer", false, 800}};

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        store_feed *feed;
        uint64_t failures;

        stage_start(&stage, 1);
        stage_run_for(&stage, cases[i].run_ms);
        feed = &stage.gate.feeds[WIRE_ENDPOINTS];
        failures = feed->counts.failures;
        if (cases[i].is_closed) {
            cr_assert_eq(feed->phase, STORE_IDLE);
            feed->next_request_at = 0;
            close_accepted(&stage.store.listener);
            memset(stage.watches, 0, sizeof stage.watches);
        }
        else {
            cr_assert_eq(feed->phase, STORE_AWAITING_REPLY);
            feed->deadline = io_now();
            stage_advance_revision(&stage);
            stage_block(2 * STAGE_DELIVERY_MS);
        }
        stage_run_for(&stage, 500);
        cr_expect_eq(feed->counts.failures, failures, "%s", cases[i].what);
        cr_expect_eq(feed->lost_at, 0, "%s", cases[i].what);
        stage_stop(&stage);
    }
}
