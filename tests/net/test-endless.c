/*
 * Servers that send bytes without end: the client ends the exchange early,
 * without a time-out, and keeps little of them.
 */
#include <criterion/criterion.h>

#include <malloc.h>
#include <string.h>

#include "lavender-net/endpoints.h"
#include "lavender-net/platform.h"
#include "script-server.h"

#define REQUEST "GET / HTTP/1.1\r\nhost: test\r\n\r\n"

/* What a server would send. */
#define ENDLESS_SIZE ((size_t)64 * 1024 * 1024)

/* Greatest body of a document, which the platform's client keeps in a buffer
 * that doubles. */
#define MAX_DOCUMENT ((size_t)4 * 1024 * 1024)

/* What the sockets of a connection hold by the system's defaults, and what is
 * kept besides bodies. */
#define SOCKETS_SIZE ((size_t)8 * 1024 * 1024)
#define MAX_KEPT ((size_t)2 * 1024 * 1024)

/* No time-out ends an exchange. */
#define NEVER (3600 * LV_SECOND)

#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK "transfer-encoding: chunked\r\n\r\n"

typedef struct endless_case {
    const char *name;
    const char *answer;
    const char *filling; /* again and again; NULL: one byte */
    exch_result result;
} endless_case;

static const endless_case cases[] = {
    {"header", OK "X-A: ", NULL, EXCH_PROTOCOL_ERROR},
    {"header name", OK, NULL, EXCH_PROTOCOL_ERROR},
    {"headers", OK, "X-A: b\r\n", EXCH_PROTOCOL_ERROR},
    {"status line", "HTTP/1.1 200 ", NULL, EXCH_PROTOCOL_ERROR},
    {"no HTTP", "x", NULL, EXCH_PROTOCOL_ERROR},
    {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n",
     EXCH_PROTOCOL_ERROR},
    {"extension of a chunk", CHUNKED "5;", NULL, EXCH_CONNECTION_LOST},
    {"extension of a later chunk", CHUNKED "2\r\nok\r\n5;", NULL,
     EXCH_CONNECTION_LOST},
    {"trailer", CHUNKED "2\r\nok\r\n0\r\nX-A: ", NULL, EXCH_CONNECTION_LOST},
    {"trailers", CHUNKED "2\r\nok\r\n0\r\n", "X-A: b\r\n",
     EXCH_CONNECTION_LOST},
};

/* Of a call, and of a read of a document. */
static const endless_case bodies[] = {
    {"body until the connection ends", OK "\r\n", NULL, EXCH_PROTOCOL_ERROR},
    {"body in chunks", CHUNKED, "4\r\nbody\r\n", EXCH_PROTOCOL_ERROR},
};

static const client_settings settings = {.connect_timeout = NEVER,
                                         .first_byte_timeout = NEVER,
                                         .idle_timeout = NEVER,
                                         .idle_connection_timeout = NEVER,
                                         .max_pooled_connections = 4};

static uv_loop_t loop;
static size_t memory_before;
static size_t most_kept;
static exch_result result;
static bool is_failed;

static size_t
used_memory(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

static void
measure(uv_timer_t *timer)
{
    size_t used = used_memory();

    (void)timer;
    if (used > memory_before && used - memory_before > most_kept) {
        most_kept = used - memory_before;
    }
}

static void
start(uv_timer_t *timer)
{
    uv_loop_init(&loop);
    uv_timer_init(&loop, timer);
    uv_timer_start(timer, measure, 1, 1);
    uv_unref((uv_handle_t *)timer);
    most_kept = 0;
    memory_before = used_memory();
}

static void
check(const char *name, script_server *server, size_t max_body)
{
    cr_expect_leq(atomic_load(&server->sent), 2 * max_body + SOCKETS_SIZE,
                  "%s: %zu bytes sent", name, atomic_load(&server->sent));
    cr_expect_leq(most_kept, 2 * max_body + MAX_KEPT, "%s: %zu bytes kept",
                  name, most_kept);
}

static void
start_server(script_server *server, const endless_case *one)
{
    *server = (script_server){.answer = one->answer,
                              .repeat = ENDLESS_SIZE,
                              .filling = one->filling,
                              .keeps_open = 1};
    script_start(server);
}

static void
end_loop(uv_timer_t *timer)
{
    uv_close((uv_handle_t *)timer, NULL);
    uv_run(&loop, UV_RUN_DEFAULT);
    cr_expect_eq(uv_loop_close(&loop), 0);
}

static void
on_end(void *owner, exch_result end)
{
    (void)owner;
    result = end;
    uv_stop(&loop);
}

/* Guards against memory and processor time that an endpoint without end takes
 * from the instance that called it. */
Test(endless, endpoint_is_cut_off, .timeout = 120)
{
    static const exch_ops ops = {.on_end = on_end};

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        script_server server;
        exch_request request = {.head = REQUEST, .head_size = strlen(REQUEST)};
        client_context client;
        uv_timer_t timer;

        start(&timer);
        cr_assert(client_init(&client, &loop, &settings, NULL));
        start_server(&server, &cases[i]);
        request.address = server.address;
        cr_assert_not_null(exch_start(&client, &request, &ops, NULL));
        uv_run(&loop, UV_RUN_DEFAULT);
        cr_expect_eq(result, cases[i].result, "%s: result %d", cases[i].name,
                     (int)result);
        check(cases[i].name, &server, 0);
        script_stop(&server);
        client_finish(&client);
        end_loop(&timer);
    }
}

static void
on_response(void *context, const exch_response *response)
{
    (void)context;
    result = response->result;
    uv_stop(&loop);
}

/* Guards against an endpoint's body without end that an instance keeps, as of
 * its own calls. */
Test(endless, body_of_a_call_is_cut_off, .timeout = 120)
{
    enum {
        MAX_RESPONSE = 256 * 1024
    };

    for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++) {
        script_server server;
        exch_call_options options = {.method = "GET",
                                     .path = "/v1/load",
                                     .headers = "",
                                     .max_response_size = MAX_RESPONSE};
        client_context client;
        uv_timer_t timer;

        start(&timer);
        cr_assert(client_init(&client, &loop, &settings, NULL));
        start_server(&server, &bodies[i]);
        options.address = server.address;
        cr_assert_not_null(
            exch_call_start(&client, &options, on_response, NULL));
        uv_run(&loop, UV_RUN_DEFAULT);
        cr_expect_eq(result, bodies[i].result, "%s: result %d", bodies[i].name,
                     (int)result);
        check(bodies[i].name, &server, MAX_RESPONSE);
        script_stop(&server);
        client_finish(&client);
        end_loop(&timer);
    }
}

static void
on_part(void *context, doc_kind doc, uint32_t part, const char *text,
        size_t size)
{
    (void)context;
    (void)doc;
    (void)part;
    (void)size;
    is_failed = text == NULL;
    uv_stop(&loop);
}

static void
read_document(const endless_case *one, size_t max_body)
{
    script_server server;
    plat_settings platform = {.request_timeout = NEVER,
                              .max_watch_wait = LV_SECOND,
                              .initial_backoff = LV_SECOND,
                              .max_backoff = LV_SECOND};
    plat_service *service = calloc(1, plat_service_size());
    plat_backend *backend = (plat_backend *)service;
    uv_timer_t timer;

    start(&timer);
    start_server(&server, one);
    lv_copy_name(platform.address, sizeof platform.address, server.address);
    cr_assert(
        plat_service_init(service, &loop, &platform, on_part, NULL, NULL));
    is_failed = false;
    backend->ops->read(backend, DOC_CATALOGUE, 0);
    uv_run(&loop, UV_RUN_DEFAULT);
    cr_expect(is_failed, "%s", one->name);
    check(one->name, &server, max_body);
    script_stop(&server);
    backend->ops->finish(backend);
    end_loop(&timer);
    free(service);
}

/* Guards against memory and processor time that the platform's service takes
 * with an answer without end. */
Test(endless, platform_is_cut_off, .timeout = 120)
{
    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        read_document(&cases[i], 0);
    }
    for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++) {
        read_document(&bodies[i], MAX_DOCUMENT);
    }
}
