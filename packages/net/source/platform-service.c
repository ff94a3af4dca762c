#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "h2o.h"
#include "h2o/http1client.h"
#include "platform-imp.h"

#define BODY_MAX ((size_t)4 * 1024 * 1024)
#define REQUEST_SIZE 320
#define WATCH_PART 0

typedef struct service_call {
    plat_service *service;
    doc_kind doc;
    uint32_t part;
    bool is_watch;
    bool is_sized; /* the body's end can be told from a cut */
    int status;
    uint64_t revision;
    lv_time started;
    h2o_http1client_t *client;
    char request[REQUEST_SIZE];
    h2o_iovec_t vector;
    char *body;
    size_t size;
    size_t capacity;
    struct service_call *next;
} service_call;

typedef struct service_watch {
    service_call call;
    uv_timer_t pause;
    uint64_t revision;
    lv_time backoff;
} service_watch;

struct plat_service {
    plat_backend platform;
    char host[LV_ADDRESS_SIZE];
    uint16_t port;
    bool is_watching;
    uint64_t random;
    h2o_timeout_t short_timeout;
    h2o_timeout_t watch_timeout;
    h2o_http1client_ctx_t short_context;
    h2o_http1client_ctx_t watch_context;
    service_call *reads;
    service_watch watches[DOC_COUNT];
};

static void start_watch(service_watch *watch);

static lv_time
now_on(const plat_service *service)
{
    return uv_now(service->platform.loop) * LV_MILLISECOND;
}

/* Between half of length and length, so that watchers spread out. */
static lv_time
jitter(plat_service *service, lv_time length)
{
    uint64_t x = service->random;

    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    service->random = x;
    return length / 2 + x % (length / 2 + 1);
}

static void
on_pause_end(uv_timer_t *timer)
{
    start_watch(timer->data);
}

static void
pause_watch(service_watch *watch, lv_time length)
{
    uv_timer_start(&watch->pause, on_pause_end, length / LV_MILLISECOND + 1,
                   0);
}

static void
free_read(service_call *call)
{
    service_call **link = &call->service->reads;

    while (*link != NULL && *link != call) {
        link = &(*link)->next;
    }
    if (*link == call) {
        *link = call->next;
    }
    free(call->body);
    free(call);
}

static void
report(service_call *call, const char *text, size_t size)
{
    plat_backend *platform = &call->service->platform;

    platform->on_part(platform->context, call->doc, call->part, text, size);
}

static void
reset_watch(service_call *call)
{
    call->client = NULL;
    free(call->body);
    call->body = NULL;
    call->size = call->capacity = 0;
}

static void
end_call(service_call *call)
{
    if (call->is_watch) {
        reset_watch(call);
    }
    else {
        free_read(call);
    }
}

static void
fail(service_call *call)
{
    plat_service *service = call->service;
    service_watch *watch = &service->watches[call->doc];
    lv_time limit = service->platform.settings.request_timeout;
    lv_time pause;

    call->client = NULL;
    service->platform.counts.failures++;
    if (call->is_watch) {
        limit += service->platform.settings.max_watch_wait;
    }
    if (lv_elapsed(now_on(service), call->started) >= limit) {
        service->platform.counts.timeouts++;
    }
    report(call, NULL, 0);
    if (call->is_watch && service->is_watching) {
        pause = jitter(service, watch->backoff);
        watch->backoff *= 2;
        if (watch->backoff > service->platform.settings.max_backoff) {
            watch->backoff = service->platform.settings.max_backoff;
        }
        pause_watch(watch, pause);
    }
    end_call(call);
}

/* A watch that was answered goes on, but never faster than the first
 * back-off: a service that answers at once must not be called in a loop. */
static void
continue_watch(service_watch *watch)
{
    plat_service *service = watch->call.service;
    lv_time least = service->platform.settings.initial_backoff;
    lv_time taken = lv_elapsed(now_on(service), watch->call.started);

    watch->backoff = least;
    if (service->is_watching) {
        pause_watch(watch, taken < least ? least - taken : 0);
    }
}

static void
succeed(service_call *call)
{
    service_watch *watch = &call->service->watches[call->doc];

    if (call->status != 200 && !(call->is_watch && call->status == 304)) {
        fail(call);
        return;
    }
    call->client = NULL;
    if (call->status == 200) {
        if (call->is_watch) {
            watch->revision = call->revision;
        }
        report(call, call->body != NULL ? call->body : "", call->size);
    }
    if (call->is_watch) {
        continue_watch(watch);
    }
    end_call(call);
}

static bool
append(service_call *call, const char *bytes, size_t size)
{
    size_t capacity = call->capacity > 0 ? call->capacity : 4096;
    char *body;

    if (call->size + size > BODY_MAX) {
        return false;
    }
    while (capacity < call->size + size + 1) {
        capacity *= 2;
    }
    if (capacity != call->capacity) {
        body = realloc(call->body, capacity);
        if (body == NULL) {
            return false;
        }
        call->body = body;
        call->capacity = capacity;
    }
    memcpy(call->body + call->size, bytes, size);
    call->size += size;
    call->body[call->size] = '\0';
    return true;
}

static int
on_body(h2o_http1client_t *client, const char *error)
{
    service_call *call = client->data;
    h2o_buffer_t *input = client->sock->input;

    if (error != NULL && error != h2o_http1client_error_is_eos) {
        fail(call);
        return -1;
    }
    if (!append(call, input->bytes, input->size)) {
        fail(call);
        return -1;
    }
    h2o_buffer_consume(&client->sock->input, input->size);
    if (error == h2o_http1client_error_is_eos) {
        if (call->is_sized) {
            succeed(call);
        }
        else {
            fail(call);
        }
    }
    return 0;
}

static bool
is_header(const h2o_header_t *header, const char *name)
{
    return h2o_lcstris(header->name->base, header->name->len, name,
                       strlen(name));
}

static void
read_headers(service_call *call, const h2o_header_t *headers, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (is_header(&headers[i], "config-revision")) {
            call->revision =
                h2o_strtosize(headers[i].value.base, headers[i].value.len);
        }
        if (is_header(&headers[i], "content-length") ||
            is_header(&headers[i], "transfer-encoding")) {
            call->is_sized = true;
        }
    }
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *error, int minor_version,
        int status, h2o_iovec_t message, h2o_header_t *headers, size_t count,
        int rlen)
{
    service_call *call = client->data;

    (void)minor_version;
    (void)message;
    (void)rlen;
    if (error != NULL && error != h2o_http1client_error_is_eos) {
        fail(call);
        return NULL;
    }
    call->status = status;
    read_headers(call, headers, count);
    if (error == h2o_http1client_error_is_eos) {
        succeed(call);
        return NULL;
    }
    if (status != 200) {
        succeed(call);
        return NULL;
    }
    return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *error, h2o_iovec_t **vectors,
           size_t *vector_count, int *is_head)
{
    service_call *call = client->data;

    if (error != NULL) {
        fail(call);
        return NULL;
    }
    if (call->is_watch) {
        client->ctx = &call->service->watch_context;
    }
    call->vector = h2o_iovec_init(call->request, strlen(call->request));
    *vectors = &call->vector;
    *vector_count = 1;
    *is_head = 0;
    return on_head;
}

static void
start_call(service_call *call)
{
    plat_service *service = call->service;
    char key[PLAT_KEY_SIZE];
    char query[96] = "";

    plat_format_key(key, call->doc, call->part);
    if (call->is_watch) {
        snprintf(query, sizeof query, "?after=%" PRIu64 "&wait_ms=%" PRIu64,
                 service->watches[call->doc].revision,
                 service->platform.settings.max_watch_wait / LV_MILLISECOND);
    }
    snprintf(call->request, sizeof call->request,
             "GET /v1/config/%s%s HTTP/1.1\r\nHost: %s\r\n"
             "Connection: close\r\n\r\n",
             key, query, service->platform.settings.address);
    call->is_sized = false;
    call->status = 0;
    call->revision = 0;
    call->started = now_on(service);
    h2o_http1client_connect(
        &call->client, call, &service->short_context,
        h2o_iovec_init(service->host, strlen(service->host)), service->port, 0,
        on_connect);
}

static void
start_watch(service_watch *watch)
{
    if (watch->call.client == NULL && watch->call.service->is_watching) {
        watch->call.service->platform.counts.watches++;
        start_call(&watch->call);
    }
}

static void
service_read(plat_backend *platform, doc_kind doc, uint32_t part)
{
    plat_service *service = (plat_service *)platform;
    service_call *call = calloc(1, sizeof *call);

    if (call == NULL) {
        platform->on_part(platform->context, doc, part, NULL, 0);
        return;
    }
    call->service = service;
    call->doc = doc;
    call->part = part;
    call->next = service->reads;
    service->reads = call;
    platform->counts.reads++;
    start_call(call);
}

static void
stop_watch(service_watch *watch)
{
    uv_timer_stop(&watch->pause);
    if (watch->call.client != NULL) {
        h2o_http1client_cancel(watch->call.client);
        reset_watch(&watch->call);
    }
}

static void
service_set_watching(plat_backend *platform, bool is_watching)
{
    plat_service *service = (plat_service *)platform;

    if (service->is_watching == is_watching) {
        return;
    }
    service->is_watching = is_watching;
    for (int doc = 0; doc < DOC_COUNT; doc++) {
        service_watch *watch = &service->watches[doc];

        if (!is_watching) {
            stop_watch(watch);
            continue;
        }
        watch->revision = 0;
        watch->backoff = platform->settings.initial_backoff;
        pause_watch(watch, 0);
    }
}

static void
service_finish(plat_backend *platform)
{
    plat_service *service = (plat_service *)platform;
    service_call *call;

    service_set_watching(platform, false);
    call = service->reads;
    while (call != NULL) {
        service_call *next = call->next;

        if (call->client != NULL) {
            h2o_http1client_cancel(call->client);
        }
        free(call->body);
        free(call);
        call = next;
    }
    service->reads = NULL;
    for (int doc = 0; doc < DOC_COUNT; doc++) {
        uv_close((uv_handle_t *)&service->watches[doc].pause, NULL);
    }
    h2o_timeout_dispose(platform->loop, &service->short_timeout);
    h2o_timeout_dispose(platform->loop, &service->watch_timeout);
}

static const plat_ops service_ops = {
    .read = service_read,
    .set_watching = service_set_watching,
    .finish = service_finish,
};

size_t
plat_service_size(void)
{
    return sizeof(plat_service);
}

static bool
parse_address(plat_service *service, const char *address, err_error *error)
{
    const char *colon = strrchr(address, ':');
    struct sockaddr_in socket_address;
    long port = colon != NULL ? strtol(colon + 1, NULL, 10) : 0;

    if (colon != NULL) {
        snprintf(service->host, sizeof service->host, "%.*s",
                 (int)(colon - address), address);
    }
    if (port < 1 || port > UINT16_MAX ||
        uv_ip4_addr(service->host, (int)port, &socket_address) != 0) {
        return err_set(error, ERR_BAD_VALUE,
                       "write an IPv4 number and a port, such as "
                       "127.0.0.1:8500",
                       "the platform's address is '%s'", address);
    }
    service->port = (uint16_t)port;
    return true;
}

bool
plat_service_init(plat_service *service, uv_loop_t *loop,
                  const plat_settings *settings, plat_on_part *on_part,
                  void *context, err_error *error)
{
    lv_time timeout = settings->request_timeout;

    memset(service, 0, sizeof *service);
    plat_init(&service->platform, &service_ops, loop, settings, on_part,
              context);
    service->random = settings->jitter_seed != 0 ? settings->jitter_seed : 1;
    if (!parse_address(service, settings->address, error)) {
        return false;
    }
    h2o_timeout_init(loop, &service->short_timeout, timeout / LV_MILLISECOND);
    h2o_timeout_init(loop, &service->watch_timeout,
                     (timeout + settings->max_watch_wait) / LV_MILLISECOND);
    service->short_context.loop = loop;
    service->short_context.io_timeout = &service->short_timeout;
    service->watch_context.loop = loop;
    service->watch_context.io_timeout = &service->watch_timeout;
    for (int doc = 0; doc < DOC_COUNT; doc++) {
        service_watch *watch = &service->watches[doc];

        watch->call.service = service;
        watch->call.doc = (doc_kind)doc;
        watch->call.part = WATCH_PART;
        watch->call.is_watch = true;
        uv_timer_init(loop, &watch->pause);
        watch->pause.data = watch;
    }
    return true;
}
