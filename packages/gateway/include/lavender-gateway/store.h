/*
 * Client of the platform's store. A feed lists one subject page by page, then
 * follows it with long-polling watches. It lists the subject again when the
 * store no longer has the history since the last revision, and when the store
 * begins a new era. Each feed has its own connection.
 *
 * On request a feed reads the changes before its position, as far back as the
 * store keeps them.
 */
#ifndef LAVENDER_GATEWAY_STORE_H
#define LAVENDER_GATEWAY_STORE_H

#include "lavender-gateway/io.h"
#include "lavender-gateway/wire.h"

typedef struct store_settings {
    struct sockaddr_in address;
    char host[LV_ADDRESS_SIZE]; /* of the Host header */

    /* Maximum duration of a watch. It also limits how long a connection that
     * became silent goes unnoticed. */
    lv_time watch_wait;
    lv_time relay_wait;  /* the same for watches at a relay */
    lv_time timeout;     /* of a list, and of a watch beyond its duration */
    lv_time backoff;     /* after the first failure; doubles with each */
    lv_time backoff_max; /* well below the deadline of a new configuration */
    lv_time min_watch_interval[WIRE_SUBJECT_COUNT]; /* minimum time between two
                                                       watches */
    lv_time history;   /* that the store keeps; 0: none is read */
    lv_time heartbeat; /* time between two writes of an endpoint */
} store_settings;

typedef struct store_feed store_feed;

typedef struct store_ops {
    /* An item was listed or changed. */
    void (*on_item)(store_feed *feed, wire_item *item);

    /* Bracket a full list; items that it lacks are no longer in the store. A
     * list that fails has no end; another one begins later. */
    void (*on_list_begin)(store_feed *feed);
    void (*on_list_end)(store_feed *feed);

    /* Past changes follow, in the order of revisions; what was reported of
     * them before is void. */
    void (*on_past_begin)(store_feed *feed);
    void (*on_past_item)(store_feed *feed, wire_item *item);

    /* The store has no change between its oldest and `revision`, and all
     * later ones were reported; STORE_NO_REVISION: they could not be read. */
    void (*on_past_end)(store_feed *feed, uint64_t revision);

    /* The store became unreachable, or replies again after `outage`. */
    void (*on_lost)(store_feed *feed, const char *reason);
    void (*on_regained)(store_feed *feed, lv_time outage);

    /* All items of a reply are applied; feed->position is up to date. */
    void (*on_applied)(store_feed *feed);

    /* The relay that the feed reads from did not reply; the feed waits for
     * another source. */
    void (*on_relay_failed)(store_feed *feed, const char *reason);

    /* The store named its era for the first time, or came back from an older
     * copy in a new era, which is feed->position.era; the feed then lists the
     * subject again. */
    void (*on_new_era)(store_feed *feed);
} store_ops;

#define STORE_NO_REVISION UINT64_MAX

typedef enum store_phase {
    STORE_IDLE, /* until next_request_at */
    STORE_CONNECTING,
    STORE_AWAITING_REPLY
} store_phase;

typedef struct store_counts {
    uint64_t requests;       /* sent to the store */
    uint64_t relay_requests; /* sent to relays */
    uint64_t failures;
    uint64_t lists;      /* begun */
    uint64_t lists_read; /* completed */
} store_counts;

/* A connection of a feed. It is freed once its stream is closed, which may be
 * after its feed has abandoned it. */
typedef struct store_connection store_connection;

/* Search for the oldest changes that the store keeps. */
typedef struct store_past {
    bool is_reading;
    uint64_t end;      /* the feed's position when it began */
    uint64_t begin;    /* of the read in progress: after this revision */
    uint64_t next;     /* the same for its next request */
    uint64_t kept;     /* the earliest that the store has all changes after */
    uint64_t rejected; /* the latest that it does not, if has_rejected */
    bool has_rejected;
    uint64_t step;
    uint32_t reads;
} store_past;

struct store_feed {
    const store_ops *ops; /* first member */
    const wire_ops *wire;
    uv_loop_t *loop;
    const store_settings *settings;
    wire_subject subject;
    void *owner;
    store_connection *connection;
    store_phase phase;
    bool has_list;                 /* a list is complete; watches follow */
    bool is_listing;               /* a list is in progress */
    bool is_unproven;              /* no reply since the last failure */
    uint64_t list_revision;        /* of the first page */
    char after_key[WIRE_KEY_SIZE]; /* last key of the previous page */
    wire_position position;        /* after which the next watch starts */
    uint64_t last_change;          /* highest revision that peers can compare
                                      with their positions */
    struct sockaddr_in source;     /* of the store, or of a relay */
    bool is_relayed;
    uint64_t noted_era; /* highest that others have seen */
    lv_time next_request_at;
    lv_time last_request_at;
    lv_time last_reply_at;  /* that could be used; 0: none yet */
    lv_time asked_at;       /* the list or watch in progress was sent */
    lv_time known_at;       /* the feed has all changes up to then; 0: none */
    lv_time asked_wait;     /* of the watch in progress */
    bool has_new_items;     /* its reply has */
    lv_time complete_until; /* all changes up to then that the source, which
                               may be a relay, had are applied; 0: none */
    lv_time checked_at;     /* start of the latest store_feed_check */
    bool is_checking;       /* it is in progress */
    lv_time deadline;       /* of the connection attempt or pending reply */
    lv_time backoff;        /* after the next failure */
    lv_time lost_at; /* start of the outage; 0: the store is reachable */
    store_past past;
    bool is_closing;
    store_counts counts;
};

/* Keeps the pointers; `settings` may change while the feed is in use. */
void store_feed_init(store_feed *feed, const store_ops *ops,
                     const wire_ops *wire, uv_loop_t *loop,
                     const store_settings *settings, wire_subject subject,
                     void *owner);

/* Sends the requests that are due and detects timeouts. To be called several
 * times a second. */
void store_feed_tick(store_feed *feed, lv_time now);

/* Does the source not reply? True also at the end of a pause of the process,
 * before the reply is timed out. */
bool store_feed_is_lost(const store_feed *feed, lv_time now);

/* Reads from another instance's relay from now on, or from the store again
 * with NULL. The position stays: relays name the store's. */
void store_feed_set_relay(store_feed *feed, const struct sockaddr_in *relay);

/* Sends no request before `until`, unless one is pending. */
void store_feed_hold(store_feed *feed, lv_time until);

/* Sends the pending request again, on a new connection: its reply may be
 * lost. A watch is sent with a minimal duration, to be answered at once. */
void store_feed_renew(store_feed *feed);

/* Queries the store directly, bypassing a relay, so that known_at becomes at
 * least `since`. Does nothing if a query was sent since then or is pending. */
void store_feed_check(store_feed *feed, lv_time since);

/* Lists the subject again at once. */
void store_feed_relist(store_feed *feed);

/* Reads the past changes from the store, as far back as it has them; does
 * nothing before the first list. */
void store_feed_read_past(store_feed *feed);

/* Notes an era that another feed or instance has seen. If it is newer, the
 * feed's position means nothing any more, and it lists the subject again. */
void store_feed_note_era(store_feed *feed, uint64_t era);

/* Stops the feed and closes its connection, which is freed by the loop. */
void store_feed_close(store_feed *feed);

#endif
