/*
 * Passes what this instance reads from the platform's store on to other
 * instances of its zone, over the store's own calls, so that the store's load
 * does not grow with the fleet. Nothing is stored or written: the relay holds
 * the items of the last list and the changes since, at the position of the
 * feed that reads them, and refuses while that feed is out of touch.
 */
#ifndef LAVENDER_GATEWAY_RELAY_H
#define LAVENDER_GATEWAY_RELAY_H

#include "lavender-gateway/front.h"

typedef struct rly_item {
    char *key;  /* owned */
    char *text; /* owned; as in a reply of the store */
    uint64_t revision;
    bool is_removed;
    bool is_in_list; /* seen since rly_begin_list */
} rly_item;

typedef struct rly_subject {
    rly_item *items;
    uint32_t count;
    uint32_t capacity;
    wire_position position;
    uint64_t history_start; /* changes after this revision are known */
    bool has_gap; /* a list lacked an item of which no change was told */
    bool is_serving;
} rly_subject;

/* A watch that waits for a change. */
typedef struct rly_watch {
    front_connection *connection;
    wire_subject subject;
    uint64_t after;
    lv_time deadline;
} rly_watch;

typedef struct rly_counts {
    uint64_t requests;
    uint64_t refused; /* while the feed is out of touch */
} rly_counts;

typedef struct rly_relay {
    front_server server;
    const wire_ops *wire;
    rly_subject subjects[WIRE_SUBJECT_COUNT];
    rly_watch *watches;
    uint32_t watch_count;
    uint32_t watch_capacity;
    bool has_failed; /* out of memory: an item is missing, so nothing is
                        served until the next list */
    rly_counts counts;
} rly_relay;

/* Listens on a TCP address. Returns false with the error set when it cannot be
 * bound. */
bool rly_init(rly_relay *relay, uv_loop_t *loop, const wire_ops *wire,
              const struct sockaddr_in *address, uint32_t max_connections,
              err_error *error);

/* Closes the listener and all connections; run the loop before rly_finish. */
void rly_close(rly_relay *relay);
void rly_finish(rly_relay *relay);

/* Follow a feed: its lists and items. */
void rly_begin_list(rly_relay *relay, wire_subject subject);
void rly_apply_item(rly_relay *relay, wire_subject subject,
                    const wire_item *item);
void rly_end_list(rly_relay *relay, wire_subject subject);

/* All items up to a position are applied: answers the watches that wait for
 * them. */
void rly_publish(rly_relay *relay, wire_subject subject,
                 wire_position position);

/* Whether the feed is in touch with the store. Watches end with a refusal when
 * it is not. */
void rly_set_serving(rly_relay *relay, wire_subject subject, bool is_serving);

/* Ends the watches whose time is over. */
void rly_tick(rly_relay *relay, lv_time now);

#endif
