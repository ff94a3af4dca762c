#include "store-imp.h"

/* The oldest revision that the store keeps is found by exponential search: the
 * step backwards grows by this factor until the store rejects a revision, and
 * a binary search follows. */
#define STEP_FACTOR 4
#define READS_MAX 48

/* Past changes are there at once, if any. */
#define PAST_WAIT LV_MILLISECOND

void
store_feed_read_past(store_feed *feed)
{
    store_past *past = &feed->past;

    if (past->is_reading || !feed->has_list || feed->is_closing) {
        return;
    }
    store_feed_set_relay(feed, NULL);
    store_feed_renew(feed);
    *past = (store_past){.is_reading = true,
                         .end = feed->position.revision,
                         .kept = feed->position.revision,
                         .step = 1};
    past->begin = past->next = past->end > 0 ? past->end - 1 : 0;
    feed->ops->on_past_begin(feed);
}

static void
end_past(store_feed *feed, uint64_t revision)
{
    feed->past.is_reading = false;
    feed->ops->on_past_end(feed, revision);
}

void
store_cancel_past(store_feed *feed)
{
    if (feed->past.is_reading) {
        end_past(feed, STORE_NO_REVISION);
    }
}

static void
on_item(void *context, wire_item *item)
{
    store_feed *feed = context;

    if (item->position.revision <= feed->past.end) {
        feed->ops->on_past_item(feed, item);
    }
}

/* Goes on with an earlier revision, or with one between those that the store
 * rejected and kept. */
static void
search_on(store_feed *feed)
{
    store_past *past = &feed->past;

    if (past->kept == 0 ||
        (past->has_rejected && past->kept - past->rejected <= 1)) {
        end_past(feed, past->kept);
        return;
    }
    if (++past->reads == READS_MAX) {
        end_past(feed, STORE_NO_REVISION);
        return;
    }
    if (past->has_rejected) {
        past->begin = past->rejected + (past->kept - past->rejected) / 2;
    }
    else {
        past->step *= STEP_FACTOR;
        past->begin = past->end > past->step ? past->end - past->step : 0;
    }
    past->next = past->begin;
}

void
store_write_watch(const store_feed *feed, lv_time wait, buf_buffer *to)
{
    bool is_past = feed->past.is_reading;

    feed->wire->write_watch_target(
        to, feed->subject, is_past ? feed->past.next : feed->position.revision,
        is_past ? PAST_WAIT : wait);
}

static void
apply_reply(store_feed *feed, const buf_buffer *body)
{
    store_past *past = &feed->past;
    wire_store_reply reply;
    err_error error;

    err_clear(&error);
    if (past->next == past->begin) {
        feed->ops->on_past_begin(feed);
    }
    if (!feed->wire->read_store_reply(body->data, body->size, feed->subject,
                                      on_item, feed, &reply, &error) ||
        reply.revision <= past->next) {
        end_past(feed, STORE_NO_REVISION);
    }
    else if (reply.revision < past->end) {
        past->next = reply.revision; /* there are more */
    }
    else {
        past->kept = past->begin;
        search_on(feed);
    }
}

bool
store_handle_past(store_feed *feed, uint32_t status, const buf_buffer *body)
{
    if (status != STORE_OK && status != STORE_GONE) {
        return false;
    }
    feed->phase = STORE_IDLE;
    feed->next_request_at = 0;
    if (status == STORE_OK) {
        apply_reply(feed, body);
    }
    else {
        feed->past.rejected = feed->past.begin;
        feed->past.has_rejected = true;
        search_on(feed);
    }
    return true;
}
