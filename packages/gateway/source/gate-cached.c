/* Reads the cache lists of the endpoints, to find which software version began
 * a stream that no running instance has served. */
#include <stdlib.h>

#include "gate-imp.h"

#define MAX_HEAD_SIZE ((size_t)8192)
#define MAX_BODY_SIZE ((size_t)1024 * 1024)
#define CALL_TIMEOUT (400 * LV_MILLISECOND)

/* Endpoints cache whole pages of tokens; an incomplete last page is not
 * cached.
 */
#define PAGE_TOKENS 16

/* A request waits this long for the answers, and is refused then. */
#define WAIT_MAX LV_SECOND

/* A round asks the endpoints that have not answered yet, including those
 * listed since the last one: after a store outage the list is incomplete at
 * first. */
#define ROUNDS_MAX 4
#define ROUND_INTERVAL LV_SECOND

struct gate_cached_call {
    io_stream stream;  /* first member */
    gate_server *gate; /* NULL: abandoned */
    uint32_t slot;
    http_reader reader;
    buf_buffer body;
    uint32_t status;
    lv_id id; /* of the endpoint */
    lv_id service;
    lv_id version;
    lv_time deadline;
    char endpoint[ENG_NAME_SIZE];
    char address[LV_ADDRESS_SIZE];
};

static void start_calls(gate_server *gate);

static void
on_cached(void *context, uint64_t block, uint32_t tokens)
{
    const gate_cached_call *call = context;
    gate_cached *cached = &call->gate->cached;

    if (cch_add(&cached->blocks, call->service, call->version, block,
                tokens)) {
        cached->block_count++;
    }
}

/* Frees the call's slot. The call itself is freed once its stream is closed.
 */
static void
abandon_call(gate_cached_call *call)
{
    call->gate->cached.calls[call->slot] = NULL;
    call->gate = NULL;
    io_close(&call->stream);
}

static void
finish_call(gate_cached_call *call, bool is_whole)
{
    gate_server *gate = call->gate;
    err_error error;

    err_clear(&error);
    if (is_whole && call->status == 200 &&
        gate->wire->read_cached(call->body.data, call->body.size, on_cached,
                                call, &error)) {
        map_set(&gate->cached.answered, call->id, 1);
    }
    else {
        log_event(LOG_LEVEL_INFO, io_now(), "cached-unknown",
                  "endpoint=%s status=%u bytes=%zu fault=%s error=\"%s\"",
                  call->endpoint, call->status, call->body.size,
                  http_reader_fault(&call->reader), error.message);
    }
    abandon_call(call);
    start_calls(gate);
}

static bool
on_head(http_reader *reader, const http_head *head)
{
    gate_cached_call *call = reader->owner;

    call->status = head->status;
    return true;
}

static bool
on_body(http_reader *reader, const char *data, size_t size)
{
    gate_cached_call *call = reader->owner;

    if (call->body.size + size > MAX_BODY_SIZE) {
        return false;
    }
    buf_append(&call->body, data, size);
    return !call->body.has_failed;
}

static bool
on_message_end(http_reader *reader)
{
    (void)reader;
    return true;
}

static const http_reader_ops reader_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_message_end};

static void
on_connect(io_stream *stream)
{
    gate_cached_call *call = (gate_cached_call *)stream;
    buf_buffer request;

    if (call->gate == NULL) {
        return;
    }
    buf_init(&request);
    call->gate->wire->write_cached_request(&request, call->endpoint,
                                           call->address);
    io_read_start(stream);
    if (request.has_failed || !io_write(stream, request.data, request.size)) {
        finish_call(call, false);
    }
    buf_finish(&request);
}

static void
on_data(io_stream *stream, const char *data, size_t size)
{
    gate_cached_call *call = (gate_cached_call *)stream;
    http_result result;
    size_t used;

    if (call->gate == NULL) {
        return;
    }
    result = http_reader_feed(&call->reader, data, size, &used);
    if (result != HTTP_INCOMPLETE) {
        finish_call(call, result == HTTP_COMPLETE);
    }
}

static void
on_stream_end(io_stream *stream, bool is_error)
{
    gate_cached_call *call = (gate_cached_call *)stream;

    if (call->gate != NULL) {
        finish_call(call, !is_error && http_reader_feed_eof(&call->reader) ==
                                           HTTP_COMPLETE);
    }
}

static void
on_drain(io_stream *stream)
{
    (void)stream;
}

static void
on_close(io_stream *stream)
{
    gate_cached_call *call = (gate_cached_call *)stream;

    http_reader_finish(&call->reader);
    buf_finish(&call->body);
    free(call);
}

static const io_stream_ops stream_ops = {.on_connect = on_connect,
                                         .on_data = on_data,
                                         .on_end = on_stream_end,
                                         .on_drain = on_drain,
                                         .on_close = on_close};

/* Returns whether the endpoint will be heard of by finish_call. */
static bool
start_call(gate_server *gate, uint32_t slot, const eng_spec *spec)
{
    gate_cached_call *call = calloc(1, sizeof *call);
    struct sockaddr_in address;

    if (call == NULL || !io_parse_address(spec->address, &address, NULL) ||
        !io_stream_init(&call->stream, &stream_ops, gate->loop)) {
        free(call);
        return false;
    }
    call->gate = gate;
    call->slot = slot;
    call->id = spec->id;
    call->service = spec->service;
    call->version = spec->version_id;
    call->deadline = io_now() + CALL_TIMEOUT;
    lv_copy_name(call->endpoint, sizeof call->endpoint, spec->name);
    lv_copy_name(call->address, sizeof call->address, spec->address);
    http_reader_init(&call->reader, &reader_ops, call, false, MAX_HEAD_SIZE);
    buf_init(&call->body);
    gate->cached.calls[slot] = call;
    gate->cached.asked++;
    if (!io_connect(&call->stream, &address, CALL_TIMEOUT)) {
        abandon_call(call);
        return false;
    }
    return true;
}

/* Returns the next endpoint to ask, or NULL. */
static const eng_spec *
next_endpoint(gate_server *gate)
{
    const eng_table *table = &gate->endpoints;

    while (gate->cached.next_row < table->capacity) {
        const eng_endpoint *endpoint =
            &table->endpoints[gate->cached.next_row++];

        if (endpoint->is_used && endpoint->is_published &&
            endpoint->is_engine &&
            map_find(&gate->cached.answered, endpoint->spec.id) ==
                LV_HANDLE_NONE) {
            return &endpoint->spec;
        }
    }
    return NULL;
}

static void
start_calls(gate_server *gate)
{
    gate_cached *cached = &gate->cached;
    const eng_spec *spec = NULL;
    uint32_t running = 0;
    uint32_t i;

    for (i = 0; i < GATE_CACHED_CALLS_MAX; i++) {
        while (cached->calls[i] == NULL &&
               (spec = next_endpoint(gate)) != NULL &&
               !start_call(gate, i, spec)) {
        }
        running += cached->calls[i] != NULL;
    }
    if (running == 0 && cached->is_asking) {
        cached->is_asking = false;
        log_event(LOG_LEVEL_NOTICE, io_now(), "cached-blocks",
                  "round=%u asked=%u answered=%u blocks=%u took_ms=%llu",
                  cached->rounds, cached->asked, cached->answered.count,
                  cached->block_count,
                  (unsigned long long)(lv_elapsed(io_now(), cached->round_at) /
                                       LV_MILLISECOND));
    }
}

/* Is there somebody to ask, and is it time to? */
static bool
is_round_due(const gate_server *gate, lv_time now)
{
    const gate_cached *cached = &gate->cached;

    if (cached->is_asking || cached->rounds == 0) {
        return !cached->is_asking;
    }
    return cached->rounds < ROUNDS_MAX &&
           lv_elapsed(now, cached->round_at) >= ROUND_INTERVAL &&
           (cached->answered.count < cached->asked ||
            cached->list_version != gate->endpoints.list_version);
}

static void
begin_round(gate_server *gate, lv_time now)
{
    gate_cached *cached = &gate->cached;

    cached->is_asking = true;
    cached->rounds++;
    cached->round_at = now;
    cached->list_version = gate->endpoints.list_version;
    cached->asked = cached->answered.count;
    cached->next_row = 0;
    start_calls(gate);
}

void
gate_init_cached(gate_server *gate)
{
    cch_init(&gate->cached.blocks);
    map_init(&gate->cached.answered);
}

void
gate_finish_cached(gate_server *gate)
{
    uint32_t i;

    gate->cached.next_row = UINT32_MAX;
    for (i = 0; i < GATE_CACHED_CALLS_MAX; i++) {
        if (gate->cached.calls[i] != NULL) {
            abandon_call(gate->cached.calls[i]);
        }
    }
    cch_finish(&gate->cached.blocks);
    map_finish(&gate->cached.answered);
}

void
gate_update_cached(gate_server *gate, lv_time now)
{
    uint32_t i;

    for (i = 0; i < GATE_CACHED_CALLS_MAX; i++) {
        gate_cached_call *call = gate->cached.calls[i];

        if (call != NULL && now >= call->deadline &&
            !io_has_unseen_event(&call->stream)) {
            finish_call(call, false);
        }
    }
}

/* The last block of the prompt; NULL: it does not identify the request. */
static const eng_block *
own_block(const gate_request *request)
{
    const eng_prompt *prompt = &request->decoded.prompt;

    return prompt->block_count > 0 && prompt->last.id != 0 ? &prompt->last
                                                           : NULL;
}

/* The cache lists show the state shortly after this instance started. Streams
 * that began later are found through the list's history. */
static bool
may_have_begun_before(const gate_request *request, lv_time now)
{
    return gate_earliest_begin(request, now) <
           request->gate->versions.proven_since;
}

bool
gate_await_cached(gate_request *request, lv_time now)
{
    gate_cached *cached = &request->gate->cached;

    if (own_block(request) == NULL || !may_have_begun_before(request, now) ||
        gate_find_cached_version(request, now) != LV_ID_NONE) {
        return false;
    }
    if (is_round_due(request->gate, now)) {
        begin_round(request->gate, now);
    }
    return cached->is_asking &&
           lv_elapsed(now, request->received_at) < WAIT_MAX;
}

lv_id
gate_find_cached_version(const gate_request *request, lv_time now)
{
    const eng_block *block = own_block(request);
    lv_id found = LV_ID_NONE;
    uint32_t tokens;
    uint32_t i;

    if (block == NULL || !may_have_begun_before(request, now)) {
        return LV_ID_NONE;
    }
    tokens = block->tokens > PAGE_TOKENS ? block->tokens - PAGE_TOKENS : 1;
    for (i = 0; i < request->route->backend_count; i++) {
        lv_id service =
            request->config->backends[request->route->first_backend + i]
                .service;

        if (!cch_find(&request->gate->cached.blocks, service, block->id,
                      tokens, &found)) {
            return LV_ID_NONE;
        }
    }
    return found;
}
