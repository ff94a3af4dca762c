#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "store-imp.h"

#define MAX_HEAD_SIZE ((size_t)16384)
#define MAX_BODY_SIZE ((size_t)16 * 1024 * 1024)
/* The connection counts as broken when sent data or keep-alive probes stay
 * unacknowledged for this long. */
#define STORE_SILENCE_TIMEOUT (2 * LV_SECOND)

/* Time for the owner to choose another source. */
#define RELAY_FAILURE_PAUSE (100 * LV_MILLISECOND)

/* Minimum time between two watches at a relay. */
#define RELAY_WATCH_INTERVAL (100 * LV_MILLISECOND)

struct store_connection {
    io_stream stream; /* first member */
    store_feed *feed; /* NULL: abandoned */
    http_reader reader;
    buf_buffer body;
    uint32_t status;
    uint64_t era; /* of the reply; 0: not named */
    bool is_keep_alive;
};

void
store_abandon_connection(store_feed *feed)
{
    if (feed->connection != NULL) {
        feed->connection->feed = NULL;
        io_close(&feed->connection->stream);
        feed->connection = NULL;
    }
}

/* After a lost connection the store may be in a new era. A watch from a
 * revision that it has reached again would tell only at its end, so the next
 * request is a list. */
static void
expect_new_era(store_feed *feed)
{
    feed->has_list = feed->has_list && feed->position.era == 0;
}

/* Drops the connection and schedules the next attempt. */
static void
fail_feed(store_feed *feed, const char *reason)
{
    lv_time now = io_now();

    store_abandon_connection(feed);
    store_cancel_past(feed);
    feed->counts.failures++;
    feed->is_unproven = true;
    feed->is_checking = false;
    if (feed->is_relayed) {
        feed->phase = STORE_IDLE;
        feed->is_listing = false;
        feed->next_request_at = now + RELAY_FAILURE_PAUSE;
        feed->ops->on_relay_failed(feed, reason);
        return;
    }
    expect_new_era(feed);
    feed->phase = STORE_IDLE;
    feed->is_listing = false;
    feed->next_request_at = now + feed->backoff;
    feed->backoff *= 2;
    if (feed->backoff > feed->settings->backoff_max) {
        feed->backoff = feed->settings->backoff_max;
    }
    if (feed->lost_at == 0) {
        feed->lost_at = now;
        feed->ops->on_lost(feed, reason);
    }
}

static void
mark_reachable(store_feed *feed, lv_time now)
{
    lv_time lost_at = feed->lost_at;

    feed->last_reply_at = now;
    feed->is_unproven = false;
    feed->backoff = feed->settings->backoff;
    feed->lost_at = 0;
    if (lost_at != 0) {
        feed->ops->on_regained(feed, lv_elapsed(now, lost_at));
    }
}

static void
schedule_next_request(store_feed *feed)
{
    lv_time interval = feed->is_relayed
                           ? RELAY_WATCH_INTERVAL
                           : feed->settings->min_watch_interval[feed->subject];

    feed->phase = STORE_IDLE;
    feed->next_request_at = feed->last_request_at + interval;
}

/* Returns whether watches report every revision of the items being read. In
 * lists, the revisions of endpoints also rise with heartbeats, which watches
 * do not report. */
static bool
has_watched_revisions(const store_feed *feed)
{
    return !feed->is_listing || feed->subject == WIRE_CONFIG;
}

static void
on_item(void *context, wire_item *item)
{
    store_feed *feed = context;

    item->position.era = feed->position.era;
    feed->has_new_items = true;
    if (has_watched_revisions(feed) &&
        item->position.revision > feed->last_change) {
        feed->last_change = item->position.revision;
    }
    feed->ops->on_item(feed, item);
}

/* A relay's data may be older than its reply. A watch without changes was
 * answered when its wait was over. */
static void
note_known(store_feed *feed)
{
    feed->complete_until = feed->asked_at;
    if (!feed->has_new_items) {
        feed->complete_until += feed->asked_wait;
    }
    if (!feed->is_relayed) {
        feed->known_at = feed->asked_at;
        feed->is_checking = false;
    }
}

static void
apply_page(store_feed *feed, const wire_store_reply *reply)
{
    if (feed->after_key[0] == '\0') {
        feed->list_revision = reply->revision;
    }
    if (reply->has_more) {
        if (strcmp(reply->last_key, feed->after_key) == 0) {
            fail_feed(feed, "page-without-progress");
            return;
        }
        lv_copy_name(feed->after_key, sizeof feed->after_key, reply->last_key);
        feed->phase = STORE_IDLE;
        feed->next_request_at = 0;
        return;
    }
    feed->is_listing = false;
    feed->has_list = true;
    feed->counts.lists_read++;
    /* The pages are no snapshot. Watching from the first page's revision also
     * reports what changed while later pages were read. */
    feed->position.revision = feed->list_revision;
    note_known(feed);
    feed->ops->on_list_end(feed);
    feed->ops->on_applied(feed);
    schedule_next_request(feed);
}

/* Drops the position, so that the next request is a list. */
static void
forget_position(store_feed *feed)
{
    store_cancel_past(feed);
    feed->has_list = false;
    feed->is_listing = false;
    feed->phase = STORE_IDLE;
    feed->next_request_at = 0;
}

/* Compares the era of a reply with the feed's. Returns whether the reply may
 * be used: one of a newer era only if it is the first page of a list. */
static bool
check_era(store_feed *feed, uint64_t era)
{
    bool is_first_page = feed->is_listing && feed->after_key[0] == '\0';
    bool is_first_era = feed->position.era == 0;

    if (era == 0 || era == feed->position.era) {
        return true;
    }
    if (era < feed->position.era) {
        fail_feed(feed, "reply-of-an-older-era");
        return false;
    }
    feed->position.era = era;
    feed->last_change = 0;
    feed->ops->on_new_era(feed);
    if (is_first_era) {
        return true;
    }
    if (!is_first_page) {
        forget_position(feed);
    }
    return is_first_page;
}

static void
fail_on_status(store_feed *feed, uint32_t status)
{
    char reason[32];

    snprintf(reason, sizeof reason, "status-%u", status);
    fail_feed(feed, reason);
}

static void
handle_reply(store_feed *feed, uint32_t status, uint64_t era,
             const buf_buffer *body)
{
    wire_store_reply reply;
    err_error error;

    if (!check_era(feed, era)) {
        return;
    }
    if (feed->past.is_reading && store_handle_past(feed, status, body)) {
        mark_reachable(feed, io_now());
        return;
    }
    if (status == STORE_GONE && !feed->is_listing) {
        mark_reachable(feed, io_now());
        forget_position(feed);
        return;
    }
    if (status != STORE_OK) {
        fail_on_status(feed, status);
        return;
    }
    err_clear(&error);
    if (!feed->wire->read_store_reply(body->data, body->size, feed->subject,
                                      on_item, feed, &reply, &error)) {
        fail_feed(feed, error.message);
        return;
    }
    mark_reachable(feed, io_now());
    if (feed->is_listing) {
        apply_page(feed, &reply);
        return;
    }
    if (reply.revision > feed->position.revision) {
        feed->position.revision = reply.revision;
    }
    note_known(feed);
    feed->ops->on_applied(feed);
    schedule_next_request(feed);
}

static bool
on_head(http_reader *reader, const http_head *head)
{
    store_connection *connection = reader->owner;

    connection->status = head->status;
    connection->era = connection->feed->wire->read_store_era(head);
    connection->is_keep_alive = head->is_keep_alive;
    return true;
}

static bool
on_body(http_reader *reader, const char *data, size_t size)
{
    store_connection *connection = reader->owner;

    buf_append(&connection->body, data, size);
    return !connection->body.has_failed &&
           connection->body.size <= MAX_BODY_SIZE;
}

static bool
on_message_end(http_reader *reader)
{
    store_connection *connection = reader->owner;
    store_feed *feed = connection->feed;

    if (!connection->is_keep_alive) {
        store_abandon_connection(feed);
    }
    handle_reply(feed, connection->status, connection->era, &connection->body);
    return true;
}

static const http_reader_ops reader_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_message_end};

static void
on_data(io_stream *stream, const char *data, size_t size)
{
    store_connection *connection = (store_connection *)stream;
    http_result result;
    size_t used;

    if (connection->feed == NULL) {
        return;
    }
    if (connection->feed->phase != STORE_AWAITING_REPLY) {
        fail_feed(connection->feed, "unasked-bytes");
        return;
    }
    result = http_reader_feed(&connection->reader, data, size, &used);
    if (result != HTTP_COMPLETE && result != HTTP_INCOMPLETE &&
        connection->feed != NULL) {
        fail_feed(connection->feed,
                  result == HTTP_MALFORMED
                      ? http_reader_fault(&connection->reader)
                      : "bad-answer");
    }
}

static void
on_stream_end(io_stream *stream, bool is_error)
{
    store_connection *connection = (store_connection *)stream;
    store_feed *feed = connection->feed;

    if (feed == NULL) {
        return;
    }
    if (feed->phase == STORE_IDLE) {
        /* The store may close an idle connection. */
        store_abandon_connection(feed);
        feed->is_unproven = true;
        if (!feed->is_relayed) {
            expect_new_era(feed);
        }
        return;
    }
    if (!is_error && feed->phase == STORE_AWAITING_REPLY &&
        http_reader_feed_eof(&connection->reader) == HTTP_COMPLETE) {
        return;
    }
    fail_feed(feed, is_error ? "connection-failed" : "connection-closed");
}

static void
send_request(store_feed *feed)
{
    const store_settings *settings = feed->settings;
    lv_time wait = store_watch_wait(feed);
    buf_buffer request;
    bool is_watch = feed->has_list && !feed->is_listing;

    buf_init(&request);
    buf_append_text(&request, "GET ");
    feed->asked_wait = is_watch ? wait : 0;
    feed->has_new_items = false;
    if (is_watch) {
        feed->asked_at = io_now();
        store_write_watch(feed, wait, &request);
    }
    else {
        if (!feed->is_listing) {
            feed->asked_at = io_now();
            feed->is_listing = true;
            feed->after_key[0] = '\0';
            feed->counts.lists++;
            feed->ops->on_list_begin(feed);
        }
        feed->wire->write_list_target(
            &request, feed->subject,
            feed->after_key[0] != '\0' ? feed->after_key : NULL);
    }
    buf_append_format(&request, " HTTP/1.1\r\nHost: %s\r\n\r\n",
                      settings->host);
    feed->phase = STORE_AWAITING_REPLY;
    feed->last_request_at = io_now();
    feed->deadline =
        feed->last_request_at + settings->timeout + (is_watch ? wait : 0);
    feed->counts.requests += !feed->is_relayed;
    feed->counts.relay_requests += feed->is_relayed;
    http_reader_restart(&feed->connection->reader);
    buf_clear(&feed->connection->body);
    if (request.has_failed ||
        !io_write(&feed->connection->stream, request.data, request.size)) {
        fail_feed(feed, "write-failed");
    }
    buf_finish(&request);
}

static void
on_connect(io_stream *stream)
{
    store_connection *connection = (store_connection *)stream;

    if (connection->feed != NULL) {
        io_read_start(stream);
        send_request(connection->feed);
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
    store_connection *connection = (store_connection *)stream;

    http_reader_finish(&connection->reader);
    buf_finish(&connection->body);
    free(connection);
}

static const io_stream_ops stream_ops = {.on_connect = on_connect,
                                         .on_data = on_data,
                                         .on_end = on_stream_end,
                                         .on_drain = on_drain,
                                         .on_close = on_close};

static void
open_connection(store_feed *feed)
{
    store_connection *connection = calloc(1, sizeof *connection);

    if (connection == NULL) {
        fail_feed(feed, "no-memory");
        return;
    }
    if (!io_stream_init(&connection->stream, &stream_ops, feed->loop)) {
        free(connection);
        fail_feed(feed, "no-socket");
        return;
    }
    connection->feed = feed;
    http_reader_init(&connection->reader, &reader_ops, connection, false,
                     MAX_HEAD_SIZE);
    buf_init(&connection->body);
    feed->connection = connection;
    feed->phase = STORE_CONNECTING;
    feed->deadline = io_now() + feed->settings->timeout;
    if (!io_connect(&connection->stream, &feed->source,
                    STORE_SILENCE_TIMEOUT)) {
        fail_feed(feed, "connect-failed");
    }
}

void
store_feed_init(store_feed *feed, const store_ops *ops, const wire_ops *wire,
                uv_loop_t *loop, const store_settings *settings,
                wire_subject subject, void *owner)
{
    memset(feed, 0, sizeof *feed);
    feed->ops = ops;
    feed->wire = wire;
    feed->loop = loop;
    feed->settings = settings;
    feed->subject = subject;
    feed->owner = owner;
    feed->backoff = settings->backoff;
    feed->source = settings->address;
}

void
store_feed_tick(store_feed *feed, lv_time now)
{
    if (feed->is_closing) {
        return;
    }
    if (feed->connection != NULL &&
        io_has_unseen_event(&feed->connection->stream)) {
        return; /* the loop is late */
    }
    if (feed->phase != STORE_IDLE) {
        if (now >= feed->deadline) {
            fail_feed(feed, "timeout");
        }
        return;
    }
    if (now < feed->next_request_at) {
        return;
    }
    if (feed->connection != NULL) {
        send_request(feed);
    }
    else {
        open_connection(feed);
    }
}

void
store_feed_close(store_feed *feed)
{
    feed->is_closing = true;
    feed->phase = STORE_IDLE;
    store_abandon_connection(feed);
}
