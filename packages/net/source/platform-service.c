#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "guard-imp.h"
#include "h2o.h"
#include "h2o/http1client.h"
#include "lavender/buffer.h"
#include "platform-imp.h"

#define MAX_BODY_SIZE ((size_t)4 * 1024 * 1024)
#define REQUEST_SIZE 320
#define HEAD_PART 0

/* A request to the service: a read of a part or a watch of a head. */
typedef struct service_call {
    guard_state guard; /* first member */
    plat_service *service;
    doc_kind doc;
    uint32_t part;
    bool is_watch;
    bool is_framed; /* false: a truncated body looks like a complete one */
    int status;
    uint64_t revision; /* of the response's document; 0: not stated */
    lv_time start_time;
    h2o_http1client_t *http;
    char request[REQUEST_SIZE];
    h2o_iovec_t request_buffer;
    buf_buffer body;
    struct service_call *next;
} service_call;

typedef struct service_watch {
    service_call call;
    uv_timer_t delay_timer; /* starts the next request */
    uint64_t revision;      /* last one received; 0: none */
    lv_time backoff;
} service_watch;

struct plat_service {
    plat_backend platform;
    char host[LV_ADDRESS_SIZE];
    uint16_t port;
    bool is_watching;
    uint64_t random_state;
    h2o_timeout_t read_timeout;
    h2o_timeout_t watch_timeout;
    h2o_timeout_t zero_timeout; /* defers a call to the next iteration */
    h2o_http1client_ctx_t read_context;
    h2o_http1client_ctx_t watch_context;
    service_call *reads;
    service_watch watches[DOC_COUNT];
};

static void start_watch(service_watch *watch);

static lv_time
current_time(const plat_service *service)
{
    return uv_now(service->platform.loop) * LV_MILLISECOND;
}

/* A random delay from max / 2 to max, so that retries spread out. */
static lv_time
jitter(plat_service *service, lv_time max)
{
    uint64_t x = service->random_state;

    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    service->random_state = x;
    return max / 2 + x % (max / 2 + 1);
}

static void
on_delay_timer(uv_timer_t *timer)
{
    start_watch(timer->data);
}

static void
schedule_watch(service_watch *watch, lv_time delay)
{
    uv_timer_start(&watch->delay_timer, on_delay_timer,
                   delay / LV_MILLISECOND + 1, 0);
}

static void
destroy_read(service_call *call)
{
    guard_stop(&call->guard);
    buf_finish(&call->body);
    free(call);
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
    destroy_read(call);
}

static void
report_part(service_call *call, const char *text, size_t size)
{
    plat_backend *platform = &call->service->platform;

    platform->on_part(platform->context, call->doc, call->part, text, size);
}

static void
reset_watch(service_call *call)
{
    call->http = NULL;
    guard_stop(&call->guard);
    buf_finish(&call->body);
}

static void
release_call(service_call *call)
{
    if (call->is_watch) {
        reset_watch(call);
    }
    else {
        free_read(call);
    }
}

static void
fail_call(service_call *call)
{
    plat_service *service = call->service;
    service_watch *watch = &service->watches[call->doc];
    lv_time limit = service->platform.settings.request_timeout;
    lv_time delay;

    call->http = NULL;
    service->platform.counts.failures++;
    if (call->is_watch) {
        limit += service->platform.settings.max_watch_wait;
    }
    if (lv_elapsed(current_time(service), call->start_time) >= limit) {
        service->platform.counts.timeouts++;
    }
    report_part(call, NULL, 0);
    if (call->is_watch && service->is_watching) {
        delay = jitter(service, watch->backoff);
        watch->backoff *= 2;
        if (watch->backoff > service->platform.settings.max_backoff) {
            watch->backoff = service->platform.settings.max_backoff;
        }
        schedule_watch(watch, delay);
    }
    release_call(call);
}

/* Schedule the request after a successful one. Requests of a watch start at
 * least the initial backoff apart, because a service that responds at once
 * must not be called in a tight loop. */
static void
schedule_next_watch(service_watch *watch)
{
    plat_service *service = watch->call.service;
    lv_time interval = service->platform.settings.initial_backoff;
    lv_time elapsed =
        lv_elapsed(current_time(service), watch->call.start_time);

    watch->backoff = interval;
    if (service->is_watching) {
        schedule_watch(watch, elapsed < interval ? interval - elapsed : 0);
    }
}

static void
complete_call(service_call *call)
{
    service_watch *watch = &call->service->watches[call->doc];

    buf_append(&call->body, "", 1);
    if (call->body.has_failed ||
        (call->status != 200 && !(call->is_watch && call->status == 304))) {
        fail_call(call);
        return;
    }
    call->http = NULL;
    if (call->status == 200) {
        if (call->is_watch) {
            watch->revision = call->revision;
        }
        report_part(call, call->body.data, call->body.size - 1);
    }
    if (call->is_watch) {
        schedule_next_watch(watch);
    }
    release_call(call);
}

static bool
append_body(service_call *call, const char *bytes, size_t size)
{
    if (call->body.size + size > MAX_BODY_SIZE) {
        return false;
    }
    buf_append(&call->body, bytes, size);
    return !call->body.has_failed;
}

static int
on_body(h2o_http1client_t *http, const char *error)
{
    service_call *call = http->data;
    h2o_buffer_t *input = http->sock->input;
    bool is_end = error == h2o_http1client_error_is_eos;

    if ((error != NULL && !is_end) ||
        (error == NULL && !guard_accepts_body(&call->guard, input->size)) ||
        !append_body(call, input->bytes, input->size)) {
        fail_call(call);
        return -1;
    }
    h2o_buffer_consume(&http->sock->input, input->size);
    if (is_end) {
        if (call->is_framed) {
            complete_call(call);
        }
        else {
            fail_call(call);
        }
    }
    return 0;
}

static bool
header_name_equals(const h2o_header_t *header, const char *name)
{
    return h2o_lcstris(header->name->base, header->name->len, name,
                       strlen(name));
}

static void
read_headers(service_call *call, const h2o_header_t *headers, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (header_name_equals(&headers[i], "config-revision")) {
            call->revision =
                h2o_strtosize(headers[i].value.base, headers[i].value.len);
        }
        if (header_name_equals(&headers[i], "content-length") ||
            header_name_equals(&headers[i], "transfer-encoding")) {
            call->is_framed = true;
        }
    }
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *http, const char *error, int minor_version,
        int status, h2o_iovec_t message, h2o_header_t *headers, size_t count,
        int head_size)
{
    service_call *call = http->data;

    (void)minor_version;
    (void)message;
    (void)head_size;
    if (error != NULL && error != h2o_http1client_error_is_eos) {
        fail_call(call);
        return NULL;
    }
    call->status = status;
    read_headers(call, headers, count);
    if (error == h2o_http1client_error_is_eos || status != 200) {
        complete_call(call);
        return NULL;
    }
    return on_body;
}

static void
on_fault(guard_state *guard)
{
    service_call *call = (service_call *)guard;

    guard_log_fault(guard, call->service->platform.settings.address);
    h2o_http1client_cancel(call->http);
    fail_call(call);
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *http, const char *error, h2o_iovec_t **buffers,
           size_t *buffer_count, int *is_head_method)
{
    service_call *call = http->data;

    if (error != NULL) {
        fail_call(call);
        return NULL;
    }
    if (call->is_watch) {
        http->ctx = &call->service->watch_context;
    }
    call->request_buffer =
        h2o_iovec_init(call->request, strlen(call->request));
    *buffers = &call->request_buffer;
    *buffer_count = 1;
    *is_head_method = 0;
    call->guard.on_fault = on_fault;
    guard_start(&call->guard, http, call->service->platform.loop,
                &call->service->zero_timeout);
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
    call->is_framed = false;
    call->status = 0;
    call->revision = 0;
    call->start_time = current_time(service);
    h2o_http1client_connect(
        &call->http, call, &service->read_context,
        h2o_iovec_init(service->host, strlen(service->host)), service->port, 0,
        on_connect);
}

static void
start_watch(service_watch *watch)
{
    if (watch->call.http == NULL && watch->call.service->is_watching) {
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
    uv_timer_stop(&watch->delay_timer);
    if (watch->call.http != NULL) {
        h2o_http1client_cancel(watch->call.http);
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
        schedule_watch(watch, 0);
    }
}

static void
service_finish(plat_backend *platform)
{
    plat_service *service = (plat_service *)platform;
    service_call *call;

    service_set_watching(platform, false);
    while ((call = service->reads) != NULL) {
        service->reads = call->next;
        if (call->http != NULL) {
            h2o_http1client_cancel(call->http);
        }
        destroy_read(call);
    }
    for (int doc = 0; doc < DOC_COUNT; doc++) {
        uv_close((uv_handle_t *)&service->watches[doc].delay_timer, NULL);
    }
    h2o_timeout_dispose(platform->loop, &service->read_timeout);
    h2o_timeout_dispose(platform->loop, &service->watch_timeout);
    h2o_timeout_dispose(platform->loop, &service->zero_timeout);
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
                       "write an IPv4 address and a port, such as "
                       "127.0.0.1:8500",
                       "[platform] address '%s' is not IPv4:PORT", address);
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
    service->random_state =
        settings->jitter_seed != 0 ? settings->jitter_seed : 1;
    if (!parse_address(service, settings->address, error)) {
        return false;
    }
    h2o_timeout_init(loop, &service->read_timeout, timeout / LV_MILLISECOND);
    h2o_timeout_init(loop, &service->watch_timeout,
                     (timeout + settings->max_watch_wait) / LV_MILLISECOND);
    h2o_timeout_init(loop, &service->zero_timeout, 0);
    service->read_context.loop = loop;
    service->read_context.io_timeout = &service->read_timeout;
    service->watch_context.loop = loop;
    service->watch_context.io_timeout = &service->watch_timeout;
    for (int doc = 0; doc < DOC_COUNT; doc++) {
        service_watch *watch = &service->watches[doc];

        watch->call.service = service;
        watch->call.doc = (doc_kind)doc;
        watch->call.part = HEAD_PART;
        watch->call.is_watch = true;
        uv_timer_init(loop, &watch->delay_timer);
        watch->delay_timer.data = watch;
    }
    return true;
}
