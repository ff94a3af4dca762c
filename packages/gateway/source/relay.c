#include "lavender-gateway/relay.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 64

/* Removed items that are kept for watches from before their removal. */
#define REMOVED_MAX 256

/* Longest wait of a watch; the requests' own waits are shorter. */
#define MAX_WAIT (30 * LV_SECOND)

static const rt_limits request_limits = {.head_bytes = 4096,
                                         .body_bytes = 0,
                                         .head_timeout = 3 * LV_SECOND,
                                         .idle_timeout = 30 * LV_SECOND};

static void
refuse(rly_relay *relay, front_connection *connection)
{
    relay->counts.refused++;
    front_send_error(connection, 503, NULL, "not-a-reader");
}

/* The feed lists the subject again. */
static void
send_gone(front_connection *connection)
{
    front_send_error(connection, 410, NULL, "history-gone");
}

/* Sends the items of a list, or the changes after a revision. */
static void
send_reply(rly_relay *relay, front_connection *connection,
           wire_subject subject, bool is_watch, uint64_t after)
{
    const rly_subject *state = &relay->subjects[subject];
    const char *separator = "";
    buf_buffer headers;
    buf_buffer body;
    uint32_t i;

    buf_init(&headers);
    buf_init(&body);
    relay->wire->write_store_era(&headers, state->position.era);
    relay->wire->begin_store_reply(&body, is_watch);
    for (i = 0; i < state->count; i++) {
        const rly_item *item = &state->items[i];

        if (is_watch ? item->revision > after : !item->is_removed) {
            buf_append_text(&body, separator);
            buf_append_text(&body, item->text);
            separator = ",";
        }
    }
    relay->wire->end_store_reply(&body, state->position.revision);
    if (headers.has_failed || body.has_failed) {
        refuse(relay, connection);
    }
    else {
        front_begin_response(connection, 200, &headers, body.size);
        front_send_body(connection, body.data, body.size);
        front_end_response(connection);
    }
    buf_finish(&headers);
    buf_finish(&body);
}

static bool
has_change_after(const rly_subject *state, uint64_t after)
{
    uint32_t i;

    for (i = 0; i < state->count; i++) {
        if (state->items[i].revision > after) {
            return true;
        }
    }
    return false;
}

static bool
add_watch(rly_relay *relay, const rly_watch *watch)
{
    if (relay->watch_count == relay->watch_capacity) {
        uint32_t capacity = relay->watch_capacity > 0
                                ? relay->watch_capacity * 2
                                : INITIAL_CAPACITY;
        rly_watch *watches =
            realloc(relay->watches, capacity * sizeof *watches);

        if (watches == NULL) {
            return false;
        }
        relay->watches = watches;
        relay->watch_capacity = capacity;
    }
    relay->watches[relay->watch_count++] = *watch;
    return true;
}

static void
handle_watch(rly_relay *relay, front_connection *connection,
             const wire_store_request *request)
{
    const rly_subject *state = &relay->subjects[request->subject];
    rly_watch watch = {
        .connection = connection,
        .subject = request->subject,
        .after = request->after,
        .deadline =
            io_now() + (request->wait < MAX_WAIT ? request->wait : MAX_WAIT)};

    if (request->after < state->history_start) {
        send_gone(connection);
    }
    else if (has_change_after(state, request->after)) {
        send_reply(relay, connection, request->subject, true, request->after);
    }
    else if (!add_watch(relay, &watch)) {
        refuse(relay, connection);
    }
}

static void
on_request(front_server *server, front_connection *connection)
{
    rly_relay *relay = server->owner;
    wire_store_request request;

    relay->counts.requests++;
    if (!relay->wire->read_store_request(connection->head->target, &request)) {
        front_send_error(connection, 404, NULL, "no-such-call");
        return;
    }
    if (!relay->subjects[request.subject].is_serving || relay->has_failed) {
        refuse(relay, connection);
    }
    else if (request.is_watch) {
        handle_watch(relay, connection, &request);
    }
    else {
        send_reply(relay, connection, request.subject, false, 0);
    }
}

static void
on_disconnect(front_server *server, front_connection *connection)
{
    rly_relay *relay = server->owner;
    uint32_t i;

    for (i = relay->watch_count; i > 0; i--) {
        if (relay->watches[i - 1].connection == connection) {
            relay->watches[i - 1] = relay->watches[--relay->watch_count];
        }
    }
}

static void
ignore_drain(front_server *server, front_connection *connection)
{
    (void)server;
    (void)connection;
}

static void
ignore_rejected(front_server *server, uint32_t status, const char *reason)
{
    (void)server;
    (void)status;
    (void)reason;
}

static const front_ops server_ops = {.on_request = on_request,
                                     .on_disconnect = on_disconnect,
                                     .on_drain = ignore_drain,
                                     .on_rejected = ignore_rejected};

bool
rly_init(rly_relay *relay, uv_loop_t *loop, const wire_ops *wire,
         const struct sockaddr_in *address, uint32_t max_connections,
         err_error *error)
{
    memset(relay, 0, sizeof *relay);
    relay->wire = wire;
    if (!front_listen(&relay->server, loop, &server_ops, address,
                      max_connections, relay, error)) {
        return false;
    }
    relay->server.limits = request_limits;
    return true;
}

void
rly_close(rly_relay *relay)
{
    front_close_all(&relay->server);
    front_stop_listening(&relay->server);
}

void
rly_finish(rly_relay *relay)
{
    int subject;
    uint32_t i;

    for (subject = 0; subject < WIRE_SUBJECT_COUNT; subject++) {
        rly_subject *state = &relay->subjects[subject];

        for (i = 0; i < state->count; i++) {
            free(state->items[i].key);
            free(state->items[i].text);
        }
        free(state->items);
    }
    free(relay->watches);
}

static rly_item *
find_item(rly_subject *state, const char *key)
{
    uint32_t i;

    for (i = 0; i < state->count; i++) {
        if (strcmp(state->items[i].key, key) == 0) {
            return &state->items[i];
        }
    }
    return NULL;
}

static rly_item *
add_item(rly_subject *state, const char *key)
{
    rly_item *item;

    if (state->count == state->capacity) {
        uint32_t capacity =
            state->capacity > 0 ? state->capacity * 2 : INITIAL_CAPACITY;
        rly_item *items = realloc(state->items, capacity * sizeof *items);

        if (items == NULL) {
            return NULL;
        }
        state->items = items;
        state->capacity = capacity;
    }
    item = &state->items[state->count];
    memset(item, 0, sizeof *item);
    item->key = strdup(key);
    if (item->key == NULL) {
        return NULL;
    }
    state->count++;
    return item;
}

static void
remove_item(rly_subject *state, rly_item *item)
{
    if (item->revision > state->history_start) {
        state->history_start = item->revision;
    }
    free(item->key);
    free(item->text);
    *item = state->items[--state->count];
}

/* Removes the oldest of the removed items when there are too many. */
static void
limit_removed(rly_subject *state)
{
    rly_item *oldest = NULL;
    uint32_t removed = 0;
    uint32_t i;

    for (i = 0; i < state->count; i++) {
        rly_item *item = &state->items[i];

        if (item->is_removed) {
            removed++;
            if (oldest == NULL || item->revision < oldest->revision) {
                oldest = item;
            }
        }
    }
    if (removed > REMOVED_MAX) {
        remove_item(state, oldest);
    }
}

void
rly_begin_list(rly_relay *relay, wire_subject subject)
{
    rly_subject *state = &relay->subjects[subject];
    uint32_t i;

    for (i = 0; i < state->count; i++) {
        state->items[i].is_in_list = false;
    }
}

void
rly_apply_item(rly_relay *relay, wire_subject subject, const wire_item *item)
{
    rly_subject *state = &relay->subjects[subject];
    rly_item *known = find_item(state, item->key);
    char *text = item->text != NULL ? strdup(item->text) : NULL;

    if (known == NULL && text != NULL) {
        known = add_item(state, item->key);
    }
    if (known == NULL || text == NULL) {
        free(text);
        relay->has_failed = true;
        return;
    }
    free(known->text);
    known->text = text;
    known->revision = item->position.revision;
    known->is_removed = item->is_removed;
    known->is_in_list = true;
    limit_removed(state);
}

void
rly_end_list(rly_relay *relay, wire_subject subject)
{
    rly_subject *state = &relay->subjects[subject];
    uint32_t i;

    for (i = state->count; i > 0; i--) {
        rly_item *item = &state->items[i - 1];

        if (!item->is_in_list) {
            state->has_gap = state->has_gap || !item->is_removed;
            remove_item(state, item);
        }
    }
    relay->has_failed = false;
}

/* Takes a watch out of the table before it is answered: the answer may bring
 * the next request of its connection. */
static rly_watch
take_watch(rly_relay *relay, uint32_t index)
{
    rly_watch watch = relay->watches[index];

    relay->watches[index] = relay->watches[--relay->watch_count];
    return watch;
}

/* A reply in a new era makes the feed list again by itself. */
static void
end_watch(rly_relay *relay, const rly_watch *watch, bool is_new_era)
{
    if (!is_new_era &&
        watch->after < relay->subjects[watch->subject].history_start) {
        send_gone(watch->connection);
    }
    else {
        send_reply(relay, watch->connection, watch->subject, true,
                   watch->after);
    }
}

void
rly_publish(rly_relay *relay, wire_subject subject, wire_position position)
{
    rly_subject *state = &relay->subjects[subject];
    bool is_new_era = position.era != state->position.era;
    uint32_t i;

    state->position = position;
    if (is_new_era || state->history_start == 0 || state->has_gap) {
        state->history_start = position.revision;
        state->has_gap = false;
    }
    for (i = relay->watch_count; i > 0; i--) {
        const rly_watch *watch = &relay->watches[i - 1];

        if (i <= relay->watch_count && watch->subject == subject &&
            (is_new_era || watch->after < state->history_start ||
             has_change_after(state, watch->after))) {
            rly_watch ended = take_watch(relay, i - 1);

            end_watch(relay, &ended, is_new_era);
        }
    }
}

void
rly_set_serving(rly_relay *relay, wire_subject subject, bool is_serving)
{
    uint32_t i;

    if (relay->subjects[subject].is_serving && !is_serving) {
        relay->subjects[subject].is_serving = false;
        for (i = relay->watch_count; i > 0; i--) {
            if (i <= relay->watch_count &&
                relay->watches[i - 1].subject == subject) {
                refuse(relay, take_watch(relay, i - 1).connection);
            }
        }
    }
    relay->subjects[subject].is_serving = is_serving;
}

void
rly_tick(rly_relay *relay, lv_time now)
{
    uint32_t i;

    for (i = relay->watch_count; i > 0; i--) {
        if (i <= relay->watch_count && now >= relay->watches[i - 1].deadline) {
            rly_watch watch = take_watch(relay, i - 1);

            send_reply(relay, watch.connection, watch.subject, true,
                       watch.after);
        }
    }
    front_tick(&relay->server, now);
}
