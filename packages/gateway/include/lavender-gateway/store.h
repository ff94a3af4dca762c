/*
 * Reads the platform's store: lists a subject once, then follows it by
 * waiting watches, and lists it anew when the store has dropped the history
 * in between. One feed a subject, each with its own connection.
 */
#ifndef LAVENDER_GATEWAY_STORE_H
#define LAVENDER_GATEWAY_STORE_H

#include "lavender-gateway/io.h"
#include "lavender-gateway/wire.h"

typedef struct store_settings {
    struct sockaddr_in address;
    char host[LV_ADDRESS_SIZE];
    lv_time watch_wait;  /* of one watch; a silent connection is found then */
    lv_time timeout;     /* of a list; of a watch past its wait */
    lv_time backoff;     /* first pause after a failure; doubles */
    lv_time backoff_max; /* well inside the bound of a new configuration */
    lv_time min_watch_interval[WIRE_SUBJECT_COUNT]; /* least time between two
                                                       watches */
} store_settings;

typedef struct store_feed store_feed;

typedef struct store_ops {
    void (*on_item)(store_feed *feed, wire_item *item);

    /* A full list begins; it ended, and items that it lacked are gone. */
    void (*on_list_begin)(store_feed *feed);
    void (*on_list_end)(store_feed *feed);

    /* The store was lost, or answers again after `outage`. */
    void (*on_lost)(store_feed *feed, const char *reason);
    void (*on_regained)(store_feed *feed, lv_time outage);
} store_ops;

typedef enum store_phase {
    STORE_RESTING, /* until next_at */
    STORE_CONNECTING,
    STORE_ASKING /* a call is out */
} store_phase;

typedef struct store_counts {
    uint64_t requests;
    uint64_t failures;
    uint64_t lists;
} store_counts;

/* One connection of a feed; it outlives its feed's interest until closed. */
typedef struct store_connection store_connection;

struct store_feed {
    const store_ops *ops; /* first member */
    const wire_ops *wire;
    uv_loop_t *loop;
    const store_settings *settings;
    wire_subject subject;
    void *owner;
    store_connection *connection;
    store_phase phase;
    bool has_list;          /* a list was read whole; watches follow */
    bool is_listing;        /* between two pages of a list */
    uint64_t list_revision; /* of the first page */
    char after_key[256];    /* of the next page */
    uint64_t revision;
    lv_time next_at;
    lv_time last_request_at;
    lv_time deadline; /* of the call that is out */
    lv_time backoff;
    lv_time lost_at; /* 0: the store answers */
    bool is_closing;
    store_counts counts;
};

void store_feed_init(store_feed *feed, const store_ops *ops,
                     const wire_ops *wire, uv_loop_t *loop,
                     const store_settings *settings, wire_subject subject,
                     void *owner);

/* Call it some times a second: sends what is due, notices time-outs. */
void store_feed_tick(store_feed *feed, lv_time now);

void store_feed_close(store_feed *feed);

#endif
