/*
 * The platform clients, against a listener of this test and against files.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "lavender-net/platform.h"

#define CONNECTIONS_MAX 64
#define REQUEST_SIZE 1024
#define END_MS 10000

/* What the listener does with a request. */
typedef enum answer_kind {
    ANSWER_VALUE,
    ANSWER_UNCHANGED,
    ANSWER_MISSING,
    ANSWER_LIMITED,
    ANSWER_DOWN,
    ANSWER_STATUS_000,
    ANSWER_BAD_NAME,
    ANSWER_CUT,     /* closes within the body */
    ANSWER_UNSIZED, /* gives no length and closes */
    ANSWER_CLOSE,   /* closes without a head */
    ANSWER_SILENCE  /* never answers */
} answer_kind;

#define VALUE_TEXT                                                            \
    "HTTP/1.1 200 OK\r\nConfig-Revision: 7\r\nContent-Length: 5\r\n\r\nvalue"

static const char *const answer_texts[] = {
    [ANSWER_VALUE] = VALUE_TEXT,
    [ANSWER_UNCHANGED] = "HTTP/1.1 304 Not Modified\r\n\r\n",
    [ANSWER_MISSING] = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
    [ANSWER_LIMITED] = "HTTP/1.1 429 Slow\r\nContent-Length: 4\r\n\r\nslow",
    [ANSWER_DOWN] = "HTTP/1.1 503 Down\r\nContent-Length: 4\r\n\r\ndown",
    [ANSWER_STATUS_000] = "HTTP/1.1 000 So\r\nContent-Length: 5\r\n\r\nvalue",
    [ANSWER_BAD_NAME] =
        "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 5\r\n\r\nvalue",
    [ANSWER_CUT] = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nval",
    [ANSWER_UNSIZED] = "HTTP/1.1 200 OK\r\n\r\nvalue",
    [ANSWER_CLOSE] = "",
    [ANSWER_SILENCE] = NULL,
};

typedef struct listener_listener listener_listener;

typedef struct listener_connection {
    uv_tcp_t tcp;
    listener_listener *listener;
    uv_write_t write;
    char request[REQUEST_SIZE];
    size_t size;
} listener_connection;

struct listener_listener {
    uv_loop_t loop;
    uv_tcp_t tcp;
    uv_timer_t end;
    uv_timer_t late;
    char address[LV_ADDRESS_SIZE];
    listener_connection *connections[CONNECTIONS_MAX];
    uint32_t connection_count;
    answer_kind answers[8]; /* the last one is given from then on */
    uint32_t answer_count;
    uint32_t request_count;
    uint32_t wanted_parts;
    uint32_t wanted_requests;
    char last_request[REQUEST_SIZE];
    uint32_t part_count;
    uint32_t failed_count;
    char part[64];
    doc_kind doc;
    uint32_t number;
};

static void
stop_if_done(listener_listener *listener)
{
    if (listener->part_count + listener->failed_count >=
            listener->wanted_parts &&
        listener->request_count >= listener->wanted_requests) {
        uv_stop(&listener->loop);
    }
}

static void
on_written(uv_write_t *write, int status)
{
    listener_connection *connection = write->data;

    (void)status;
    if (!uv_is_closing((uv_handle_t *)&connection->tcp)) {
        uv_close((uv_handle_t *)&connection->tcp, NULL);
    }
}

static void
answer(listener_connection *connection)
{
    listener_listener *listener = connection->listener;
    uint32_t last = listener->answer_count - 1;
    uint32_t index =
        listener->request_count < last ? listener->request_count : last;
    const char *text = answer_texts[listener->answers[index]];
    uv_buf_t buffer;

    listener->request_count++;
    snprintf(listener->last_request, REQUEST_SIZE, "%s", connection->request);
    if (text != NULL) {
        buffer = uv_buf_init((char *)text, (unsigned)strlen(text));
        connection->write.data = connection;
        uv_write(&connection->write, (uv_stream_t *)&connection->tcp, &buffer,
                 1, on_written);
    }
    stop_if_done(listener);
}

static void
on_allocate(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer)
{
    listener_connection *connection = handle->data;

    (void)wanted;
    *buffer = uv_buf_init(connection->request + connection->size,
                          (unsigned)(REQUEST_SIZE - 1 - connection->size));
}

static void
on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
    listener_connection *connection = stream->data;

    (void)buffer;
    if (count < 0) {
        if (!uv_is_closing((uv_handle_t *)stream)) {
            uv_close((uv_handle_t *)stream, NULL);
        }
        return;
    }
    connection->size += (size_t)count;
    if (strstr(connection->request, "\r\n\r\n") != NULL) {
        uv_read_stop(stream);
        answer(connection);
    }
}

static void
require(bool holds)
{
    cr_assert(holds);
}

static void
on_connection(uv_stream_t *stream, int status)
{
    listener_listener *listener = stream->data;
    listener_connection *connection = calloc(1, sizeof *connection);

    require(status == 0);
    require(listener->connection_count < CONNECTIONS_MAX);
    listener->connections[listener->connection_count++] = connection;
    connection->listener = listener;
    uv_tcp_init(&listener->loop, &connection->tcp);
    connection->tcp.data = connection;
    require(uv_accept(stream, (uv_stream_t *)&connection->tcp) == 0);
    uv_read_start((uv_stream_t *)&connection->tcp, on_allocate, on_read);
}

static void
on_end(uv_timer_t *timer)
{
    uv_stop(timer->loop);
}

static void
on_part(void *context, doc_kind doc, uint32_t part, const char *text,
        size_t size)
{
    listener_listener *listener = context;

    listener->doc = doc;
    listener->number = part;
    if (text == NULL) {
        listener->failed_count++;
    }
    else {
        listener->part_count++;
        cr_assert_lt(size, sizeof listener->part);
        memcpy(listener->part, text, size);
        listener->part[size] = '\0';
    }
    stop_if_done(listener);
}

static void
listener_init(listener_listener *listener)
{
    struct sockaddr_in name;
    int size = sizeof name;

    memset(listener, 0, sizeof *listener);
    listener->wanted_parts = UINT32_MAX;
    uv_loop_init(&listener->loop);
    uv_tcp_init(&listener->loop, &listener->tcp);
    listener->tcp.data = listener;
    uv_ip4_addr("127.0.0.1", 0, &name);
    require(uv_tcp_bind(&listener->tcp, (const struct sockaddr *)&name, 0) ==
            0);
    require(uv_listen((uv_stream_t *)&listener->tcp, 16, on_connection) == 0);
    uv_tcp_getsockname(&listener->tcp, (struct sockaddr *)&name, &size);
    snprintf(listener->address, sizeof listener->address, "127.0.0.1:%u",
             (unsigned)ntohs(name.sin_port));
    uv_timer_init(&listener->loop, &listener->end);
    uv_timer_start(&listener->end, on_end, END_MS, 0);
}

static void
listener_finish(listener_listener *listener, plat_backend *platform)
{
    platform->ops->finish(platform);
    uv_close((uv_handle_t *)&listener->tcp, NULL);
    uv_close((uv_handle_t *)&listener->end, NULL);
    for (uint32_t i = 0; i < listener->connection_count; i++) {
        uv_handle_t *handle = (uv_handle_t *)&listener->connections[i]->tcp;

        if (!uv_is_closing(handle)) {
            uv_close(handle, NULL);
        }
    }
    uv_run(&listener->loop, UV_RUN_DEFAULT);
    cr_assert_eq(uv_loop_close(&listener->loop), 0);
    for (uint32_t i = 0; i < listener->connection_count; i++) {
        free(listener->connections[i]);
    }
    free(platform);
}

static plat_backend *
make_service(listener_listener *listener)
{
    plat_service *service = calloc(1, plat_service_size());
    plat_settings settings = {.max_watch_wait = 50 * LV_MILLISECOND,
                              .request_timeout = 100 * LV_MILLISECOND,
                              .initial_backoff = 10 * LV_MILLISECOND,
                              .max_backoff = 40 * LV_MILLISECOND,
                              .jitter_seed = 1};
    err_error error;

    snprintf(settings.address, sizeof settings.address, "%s",
             listener->address);
    cr_assert(plat_service_init(service, &listener->loop, &settings, on_part,
                                listener, &error));
    return (plat_backend *)service;
}

typedef struct read_case {
    const char *name;
    answer_kind kind;
    bool is_read;
    uint64_t silent;
} read_case;

Test(platform, a_read_is_whole_or_failed)
{
    static const read_case cases[] = {
        {"a value", ANSWER_VALUE, true, 0},
        {"an unwanted 304", ANSWER_UNCHANGED, false, 0},
        {"no such key", ANSWER_MISSING, false, 0},
        {"over the rate", ANSWER_LIMITED, false, 0},
        {"down", ANSWER_DOWN, false, 0},
        {"status 000", ANSWER_STATUS_000, false, 0},
        {"a blank in a name", ANSWER_BAD_NAME, false, 0},
        {"cut", ANSWER_CUT, false, 0},
        {"without a length", ANSWER_UNSIZED, false, 0},
        {"closed", ANSWER_CLOSE, false, 0},
        {"silent", ANSWER_SILENCE, false, 1},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        const read_case *one = &cases[i];
        listener_listener listener;
        plat_backend *platform;

        listener_init(&listener);
        listener.answers[0] = one->kind;
        listener.answer_count = 1;
        listener.wanted_parts = 1;
        platform = make_service(&listener);
        platform->ops->read(platform, DOC_CATALOGUE, 2);
        uv_run(&listener.loop, UV_RUN_DEFAULT);
        cr_expect_eq(listener.part_count, one->is_read ? 1 : 0, "%s",
                     one->name);
        cr_expect_eq(listener.failed_count, one->is_read ? 0 : 1, "%s",
                     one->name);
        cr_expect_eq(platform->counts.reads, 1, "%s", one->name);
        cr_expect_eq(platform->counts.failures, one->is_read ? 0 : 1, "%s",
                     one->name);
        cr_expect_eq(platform->counts.timeouts, one->silent, "%s", one->name);
        cr_expect_eq(listener.number, 2, "%s", one->name);
        cr_expect_not_null(strstr(listener.last_request,
                                  "GET /v1/config/catalogue/accounts/2 "),
                           "%s: %s", one->name, listener.last_request);
        if (one->is_read) {
            cr_expect_str_eq(listener.part, "value");
        }
        listener_finish(&listener, platform);
    }
}

Test(platform, a_watch_goes_on_after_its_revision)
{
    listener_listener listener;
    plat_backend *platform;

    listener_init(&listener);
    listener.answers[0] = ANSWER_VALUE;
    listener.answer_count = 1;
    listener.wanted_parts = 4;
    listener.wanted_requests = 5;
    platform = make_service(&listener);
    platform->ops->set_watching(platform, true);
    uv_run(&listener.loop, UV_RUN_DEFAULT);
    cr_expect_geq(listener.part_count, 4);
    cr_expect_eq(listener.failed_count, 0);
    cr_expect_geq(platform->counts.watches, 4);
    cr_expect_not_null(strstr(listener.last_request, "?after=7&wait_ms=50 "),
                       "%s", listener.last_request);
    listener_finish(&listener, platform);
}

Test(platform, a_watch_outlives_each_failure)
{
    static const answer_kind kinds[] = {
        ANSWER_DOWN, ANSWER_LIMITED, ANSWER_CUT, ANSWER_CLOSE, ANSWER_SILENCE};

    for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++) {
        listener_listener listener;
        plat_backend *platform;

        listener_init(&listener);
        for (int k = 0; k < 4; k++) {
            listener.answers[k] = kinds[i];
        }
        listener.answers[4] = ANSWER_VALUE;
        listener.answer_count = 5;
        listener.wanted_parts = 6;
        platform = make_service(&listener);
        platform->ops->set_watching(platform, true);
        uv_run(&listener.loop, UV_RUN_DEFAULT);
        cr_expect_geq(listener.part_count, 1, "kind %d", kinds[i]);
        cr_expect_eq(listener.failed_count, 4, "kind %d", kinds[i]);
        cr_expect_eq(platform->counts.failures, 4, "kind %d", kinds[i]);
        cr_expect_eq(platform->counts.timeouts,
                     kinds[i] == ANSWER_SILENCE ? 4 : 0, "kind %d", kinds[i]);
        listener_finish(&listener, platform);
    }
}

Test(platform, only_who_is_told_to_watches)
{
    listener_listener listener;
    plat_backend *platform;

    listener_init(&listener);
    listener.answers[0] = ANSWER_SILENCE;
    listener.answer_count = 1;
    platform = make_service(&listener);
    uv_timer_start(&listener.end, on_end, 100, 0);
    uv_run(&listener.loop, UV_RUN_DEFAULT);
    cr_expect_eq(listener.request_count, 0);
    platform->ops->set_watching(platform, true);
    listener.wanted_parts = 0;
    listener.wanted_requests = 2;
    uv_timer_start(&listener.end, on_end, END_MS, 0);
    uv_run(&listener.loop, UV_RUN_DEFAULT);
    cr_expect_eq(listener.request_count, 2);
    platform->ops->set_watching(platform, false);
    listener.wanted_requests = 3;
    uv_timer_start(&listener.end, on_end, 300, 0);
    uv_run(&listener.loop, UV_RUN_DEFAULT);
    cr_expect_eq(listener.request_count, 2);
    cr_expect_eq(platform->counts.watches, 2);
    listener_finish(&listener, platform);
}

Test(platform, an_address_that_is_no_number_is_refused)
{
    static const char *const addresses[] = {"", "localhost:80", "127.0.0.1",
                                            "127.0.0.1:0", "127.0.0.1:99999"};

    for (size_t i = 0; i < sizeof addresses / sizeof addresses[0]; i++) {
        plat_service *service = calloc(1, plat_service_size());
        plat_settings settings = {0};
        uv_loop_t loop;
        err_error error;

        uv_loop_init(&loop);
        snprintf(settings.address, sizeof settings.address, "%s",
                 addresses[i]);
        cr_expect_not(plat_service_init(service, &loop, &settings, on_part,
                                        NULL, &error),
                      "%s", addresses[i]);
        cr_expect_eq(error.kind, ERR_BAD_VALUE);
        cr_expect_gt(strlen(error.remedy), 0);
        uv_loop_close(&loop);
        free(service);
    }
}

static void
write_file(const char *folder, const char *name, const char *text)
{
    char path[256];
    FILE *file;

    snprintf(path, sizeof path, "%s/%s", folder, name);
    file = fopen(path, "w");
    cr_assert_not_null(file);
    fputs(text, file);
    fclose(file);
}

static plat_backend *
make_files(listener_listener *listener, const char *folder)
{
    plat_files *files = calloc(1, plat_files_size());
    plat_settings settings = {0};
    err_error error;

    snprintf(settings.directory, sizeof settings.directory, "%s", folder);
    cr_assert(plat_files_init(files, &listener->loop, &settings, on_part,
                              listener, &error));
    return (plat_backend *)files;
}

static void
on_late(uv_timer_t *timer)
{
    write_file(timer->data, "head.ini", "second");
}

Test(platform, files_are_read_and_their_changes_seen)
{
    char folder[] = "/tmp/lavender-platform-XXXXXX";
    char path[256];
    listener_listener listener;
    plat_backend *platform;

    cr_assert_not_null(mkdtemp(folder));
    write_file(folder, "head.ini", "first");
    write_file(folder, "accounts-3.ini", "three");
    listener_init(&listener);
    platform = make_files(&listener, folder);
    listener.wanted_parts = 1;
    platform->ops->read(platform, DOC_CATALOGUE, 3);
    cr_expect_eq(listener.part_count, 0);
    uv_run(&listener.loop, UV_RUN_DEFAULT);
    cr_expect_str_eq(listener.part, "three");
    listener.wanted_parts = 2;
    platform->ops->read(platform, DOC_CATALOGUE, 4);
    uv_run(&listener.loop, UV_RUN_DEFAULT);
    cr_expect_eq(listener.failed_count, 1);
    listener.wanted_parts = 4;
    uv_timer_init(&listener.loop, &listener.late);
    listener.late.data = folder;
    uv_timer_start(&listener.late, on_late, 200, 0);
    platform->ops->set_watching(platform, true);
    uv_run(&listener.loop, UV_RUN_DEFAULT);
    cr_expect_str_eq(listener.part, "second");
    cr_expect_eq(listener.part_count, 3);
    uv_close((uv_handle_t *)&listener.late, NULL);
    listener_finish(&listener, platform);
    for (int i = 0; i < 2; i++) {
        snprintf(path, sizeof path, "%s/%s", folder,
                 i == 0 ? "head.ini" : "accounts-3.ini");
        unlink(path);
    }
    rmdir(folder);
}

Test(platform, a_folder_that_is_not_there_is_refused)
{
    plat_files *files = calloc(1, plat_files_size());
    plat_settings settings = {.directory = "/tmp/lavender-not-there"};
    uv_loop_t loop;
    err_error error;

    uv_loop_init(&loop);
    cr_expect_not(
        plat_files_init(files, &loop, &settings, on_part, NULL, &error));
    cr_expect_eq(error.kind, ERR_BAD_VALUE);
    uv_loop_close(&loop);
    free(files);
}
