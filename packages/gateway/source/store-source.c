/* The source of a feed, and the time and duration of its requests. */
#include "store-imp.h"

/* Duration of the first watch after a failure. A long poll could block until
 * its timeout without showing whether the source works again. */
#define FIRST_WAIT LV_MILLISECOND

lv_time
store_watch_wait(const store_feed *feed)
{
    const store_settings *settings = feed->settings;

    if (feed->is_unproven) {
        return FIRST_WAIT;
    }
    return feed->is_relayed ? settings->relay_wait : settings->watch_wait;
}

bool
store_feed_is_lost(const store_feed *feed, lv_time now)
{
    return feed->lost_at != 0 ||
           (feed->phase != STORE_IDLE && now >= feed->deadline);
}

void
store_feed_hold(store_feed *feed, lv_time until)
{
    if (feed->phase == STORE_IDLE && feed->next_request_at < until) {
        feed->next_request_at = until;
    }
}

/* The reader reaches the store. */
static void
end_outage(store_feed *feed)
{
    lv_time outage = lv_elapsed(io_now(), feed->lost_at);

    feed->lost_at = 0;
    feed->backoff = feed->settings->backoff;
    feed->ops->on_regained(feed, outage);
}

void
store_feed_renew(store_feed *feed)
{
    if (!feed->is_closing) {
        store_abandon_connection(feed);
        store_cancel_past(feed);
        feed->phase = STORE_IDLE;
        feed->is_listing = false;
        feed->is_unproven = true;
        feed->next_request_at = 0;
    }
}

void
store_feed_set_relay(store_feed *feed, const struct sockaddr_in *relay)
{
    const struct sockaddr_in *source =
        relay != NULL ? relay : &feed->settings->address;

    if (feed->is_relayed == (relay != NULL) &&
        feed->source.sin_port == source->sin_port &&
        feed->source.sin_addr.s_addr == source->sin_addr.s_addr) {
        return;
    }
    feed->source = *source;
    feed->is_relayed = relay != NULL;
    if (relay != NULL && feed->lost_at != 0) {
        end_outage(feed);
    }
    store_feed_renew(feed);
}

void
store_feed_check(store_feed *feed, lv_time since)
{
    if (feed->is_checking || feed->checked_at >= since ||
        feed->past.is_reading || feed->is_closing) {
        return;
    }
    store_feed_set_relay(feed, NULL);
    store_feed_renew(feed);
    feed->checked_at = io_now();
    feed->is_checking = true;
}

void
store_feed_relist(store_feed *feed)
{
    store_feed_renew(feed);
    feed->has_list = false;
}

void
store_feed_note_era(store_feed *feed, uint64_t era)
{
    if (era > feed->position.era && era > feed->noted_era) {
        feed->noted_era = era;
        store_feed_relist(feed);
    }
}
