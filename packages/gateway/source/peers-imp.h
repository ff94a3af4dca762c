#ifndef LAVENDER_GATEWAY_PEERS_IMP_H
#define LAVENDER_GATEWAY_PEERS_IMP_H

#include <msgpack.h>

#include "lavender-gateway/peers.h"

/* Fields of a datagram, a msgpack array; lists of numbers are flat. */
enum {
    PEERS_FIELD_FORMAT,
    PEERS_FIELD_INCARNATION,
    PEERS_FIELD_SEQUENCE,
    PEERS_FIELD_KIND,
    PEERS_FIELD_FLAGS,
    PEERS_FIELD_LOADS,     /* endpoint, in flight, read total, memory */
    PEERS_FIELD_ACCOUNTS,  /* account, asked total, got total */
    PEERS_FIELD_USES,      /* endpoint, chain of a part */
    PEERS_FIELD_ADDRESSES, /* of other instances */
    PEERS_FIELD_LEAVING,   /* endpoint, revision of the store */
    PEERS_FIELD_SUMS,      /* account, asked and got in the last window */
    PEERS_FIELD_SUMMARIES, /* endpoint, in flight, memory, wait in us */
    PEERS_FIELD_ASK,       /* number, endpoint, aim and waited in us, percent
                              of the share, tokens, output tokens; then chain
                              and tokens of each part */
    PEERS_FIELD_ANSWER,    /* number, endpoint, granted, in flight, memory,
                              wait and own in us, uncached tokens */
    PEERS_FIELD_COUNT
};

#define PEERS_FORMAT 7

enum {
    PEERS_FLAG_READS_STORE = 1,
    PEERS_FLAG_CAN_KEEP = 2
};

#define PEERS_ASK_LEAST 7 /* numbers without the parts */
#define PEERS_ANSWER_SIZE 8

/* What a peer told is not refreshed for so long when it is told to another
 * keeper by now: three full datagrams at their default interval. */
#define PEERS_ROW_LIFE (3 * LV_SECOND)

/* Peers by address; NULL when there is none, or no memory for a new one. */
peers_peer *peers_find(peers_state *peers, const struct sockaddr_in *address);
peers_peer *peers_add(peers_state *peers, const struct sockaddr_in *address);

/* The row of an endpoint or account, which is added when it is new; NULL when
 * memory ended. */
peers_load *peers_load_row(peers_loads *loads, lv_id endpoint);
peers_account *peers_account_row(peers_accounts *accounts, lv_id account,
                                 bool *is_new);

/* Take what a peer contributed out of the tables: all, or what it tells to
 * another keeper by now. */
void peers_drop_old_loads(peers_state *peers, peers_peer *peer, lv_time now);
void peers_withdraw(peers_state *peers, peers_peer *peer, lv_time now);

/* Make room for one more row; false when memory ended. */
bool peers_reserve(void **rows, uint32_t count, uint32_t *capacity,
                   size_t row_size);

/* The keeper of an endpoint or account; NULL: this instance. */
peers_peer *peers_find_keeper(const peers_state *peers, lv_id key);

/* In a large fleet, news are told to their keepers alone. */
void peers_send_news(peers_state *peers, peers_kind kind);

void peers_send(peers_state *peers, const buf_buffer *datagram,
                const struct sockaddr_in *address);

/* Read a question or an answer; false if it is none. */
bool peers_read_ask(const msgpack_object_array *values,
                    peers_start_request *ask);
bool peers_read_answer(const msgpack_object_array *values,
                       peers_start_reply *answer);

/* An address as one number, to be sent. */
uint64_t peers_pack_address(const struct sockaddr_in *address);
void peers_unpack_address(uint64_t packed, struct sockaddr_in *address);

#endif
