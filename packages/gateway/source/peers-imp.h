#ifndef LAVENDER_GATEWAY_PEERS_IMP_H
#define LAVENDER_GATEWAY_PEERS_IMP_H

#include <msgpack.h>

#include "lavender-gateway/peers.h"

/* Fields of a datagram, which is a msgpack array. Lists are flat arrays of
 * unsigned numbers; the comment names the numbers of one entry. */
enum {
    PEERS_FIELD_FORMAT_VERSION,
    PEERS_FIELD_INCARNATION,
    PEERS_FIELD_SEQUENCE,
    PEERS_FIELD_KIND,
    PEERS_FIELD_FLAGS,
    PEERS_FIELD_STORE_ERA,
    PEERS_FIELD_ZONE,
    PEERS_FIELD_CONFIG_VERSION, /* in force; 0: none */

    /* Milliseconds, plus 1, for which the sender's list of endpoints may have
     * missed changes; 0: it has no list. */
    PEERS_FIELD_LIST_AGE,
    PEERS_FIELD_CHANGES,    /* latest change of each subject of the store */
    PEERS_FIELD_LOADS,      /* endpoint, requests in flight, prefill total, KV
                               tokens */
    PEERS_FIELD_ACCOUNTS,   /* account, requested and served total */
    PEERS_FIELD_BLOCK_USES, /* endpoint, prefix hash of a block */
    PEERS_FIELD_ADDRESSES,  /* address of another instance, packed */
    PEERS_FIELD_UNLISTED,   /* endpoint, store era and revision */
    PEERS_FIELD_ACCOUNT_SUMS, /* account, requested and served in the last
                                 window */

    /* Endpoint, requests in flight, KV tokens, wait in us. */
    PEERS_FIELD_ENDPOINT_SUMMARIES,

    /* One entry: number, endpoint, latency target and time waited in us, share
     * in percent, prompt tokens, output tokens, limit (0: no word, 1: none,
     * else 2 and thousandths of requests per second) and its age in us, tokens
     * at the start of the prompt that are fetched from another endpoint's
     * cache, whether that is only presumed to have them; then prefix hash and
     * tokens of each prompt block. */
    PEERS_FIELD_START_REQUEST,

    /* One entry: number, endpoint, granted, requests in flight, KV tokens,
     * wait and service time in us, uncached tokens, wait for the limit in us,
     * time for which the endpoint is cold and wait for its rate in us, tokens
     * that are not among the uncached ones because of a fetch. */
    PEERS_FIELD_START_REPLY,

    /* Kind, key, endpoint, account, group or age of the latest answer, trials
     * and whether the claim is for all accounts, exposure or idle time and age
     * in us (qtn_report): of prompt blocks, and of requests. */
    PEERS_FIELD_QUARANTINES,

    /* Key of a stream, and the version that began it, or ORG_VERSION_NONE to
     * ask for it; the same for a service and its only version. */
    PEERS_FIELD_ORIGINS = PEERS_FIELD_QUARANTINES + PEERS_QUARANTINES,

    /* Zone, store era and revision, and whether it is evacuated. */
    PEERS_FIELD_EVACUATIONS,

    /* Endpoint, and the time in ms for which it is still cold. */
    PEERS_FIELD_WARMUPS,

    /* Endpoint, prompt tokens and time to first token in us of the sender's
     * recent samples (spd_sums; 0: none), and the prefill rate that it
     * estimates as the coordinator, in tokens per second (0: none). */
    PEERS_FIELD_SPEEDS,
    PEERS_FIELD_COUNT
};

#define PEERS_FORMAT_VERSION 14

enum {
    PEERS_FLAG_STORE_REACHABLE = 1,
    PEERS_FLAG_CAN_COORDINATE = 2
};

#define PEERS_START_REQUEST_MIN_SIZE 11 /* numbers, without prompt blocks */
#define PEERS_START_REPLY_SIZE 12       /* numbers */

/* A cold time that is longer is not believed. */
#define PEERS_COLD_MAX_MS 3600000

/* The limit in a start request. */
enum {
    PEERS_LIMIT_UNKNOWN,
    PEERS_LIMIT_NONE,
    PEERS_LIMIT_NAMED /* and thousandths of requests per second */
};

/* In a large fleet a row that was not refreshed for three default intervals of
 * full reports is considered expired: the peer reports to another
 * coordinator. */
#define PEERS_ROW_EXPIRY (3 * LV_SECOND)

/* A timer tick this long after the one before means that the loop was late or
 * that the process was paused. */
#define PEERS_LATE_TICK (100 * LV_MILLISECOND)

/* Returns the peer with an address; NULL when there is none. */
peers_peer *peers_find(peers_state *peers, const struct sockaddr_in *address);

/* Returns the peer with an address, added when it is new; NULL when memory
 * runs out or the address is this instance's own. May move the table of
 * peers. */
peers_peer *peers_add(peers_state *peers, const struct sockaddr_in *address);

/* Returns the row of an endpoint or account, added when it is new; NULL when
 * memory runs out. */
peers_load *peers_find_or_add_load(peers_loads *loads, lv_id endpoint);
peers_account *peers_find_or_add_account(peers_accounts *accounts,
                                         lv_id account, bool *is_new);

/* Removes the loads that a peer contributed and that have expired; only in a
 * large fleet. */
void peers_expire_loads(peers_state *peers, peers_peer *peer, lv_time now);

/* Removes all loads that a peer contributed, and forgets its totals. */
void peers_remove_contribution(peers_state *peers, peers_peer *peer,
                               lv_time now);

/* Makes room for one more row. Returns false when memory runs out. */
bool peers_reserve(void **rows, uint32_t count, uint32_t *capacity,
                   size_t row_size);

/* Returns the coordinator of an endpoint or account; NULL: this instance. */
peers_peer *peers_find_coordinator(const peers_state *peers, lv_id key);

/* Sends the pending updates, or a full report, to the coordinators of the
 * respective endpoints and accounts; in a large fleet. */
void peers_send_to_coordinators(peers_state *peers, peers_datagram_kind kind,
                                lv_time now);

/* Sends a datagram and counts it. */
void peers_send_datagram(peers_state *peers, const buf_buffer *datagram,
                         const struct sockaddr_in *address);

/* Decode a start request or its reply; false when it is malformed. */
bool peers_read_start_request(const msgpack_object_array *values,
                              peers_start_request *request);
bool peers_read_start_reply(const msgpack_object_array *values,
                            peers_start_reply *reply);

/* Does a datagram hold nothing but unsigned numbers and lists of them? */
bool peers_has_only_numbers(const char *data, size_t size);

/* Is it a list of numbers whose length is a multiple of `stride`? */
bool peers_is_number_list(const msgpack_object *object, uint32_t stride);

/* peers-quarantine.c: the reports of crashes in datagrams */
void peers_pack_reports(const peers_state *peers, lv_time now,
                        msgpack_packer *packer);
bool peers_are_report_lists(const msgpack_object *lists);
void peers_apply_reports(peers_state *peers, uint64_t incarnation,
                         const msgpack_object *lists, lv_time now);

/* peers-endpoint-state.c: the lists from PEERS_FIELD_EVACUATIONS on. Datagrams
 * of single requests carry them empty. */
void peers_pack_endpoint_state(peers_state *peers, lv_time now,
                               msgpack_packer *packer);
void peers_pack_no_endpoint_state(msgpack_packer *packer);
bool peers_is_endpoint_state(const msgpack_object *lists);
void peers_apply_endpoint_state(peers_state *peers, peers_peer *peer,
                                const msgpack_object *lists, lv_time now);

/* peers-warmup.c: the list of cold endpoints */
void peers_pack_warmups(const peers_state *peers, lv_time now,
                        msgpack_packer *packer);
void peers_apply_warmups(peers_state *peers, const peers_peer *peer,
                         const msgpack_object_array *list);

/* peers.c: returns how long a peer may be silent before it is considered
 * lost. */
lv_time peers_silence_timeout(const peers_state *peers);
/* peers-speed.c: the list PEERS_FIELD_SPEEDS. Updates carry the samples of the
 * endpoints whose loads they carry, sums the rates of the endpoints that this
 * instance coordinates. */
void peers_pack_speeds(peers_state *peers, lv_time now,
                       msgpack_packer *packer);
void peers_apply_speeds(peers_state *peers, peers_peer *peer,
                        const msgpack_object_array *speeds, lv_time now);

/* peers-origin.c: which version began a stream */
void peers_apply_origins(peers_state *peers, const peers_peer *peer,
                         const msgpack_object_array *origins);

/* An origin; without a version, the question for it. */
typedef struct peers_origin {
    uint64_t key; /* of a stream, or the id of a service that has had only one
                     version */
    lv_id version;
} peers_origin;

/* peers-write.c: a datagram with origins. */
void peers_write_origins(peers_state *peers, const peers_origin *origins,
                         uint32_t count, buf_buffer *to);

/* Is a report to be sent soon? */
bool peers_has_reports(const peers_state *peers, lv_time now);

/* Convert an address to and from the number that datagrams carry: the IPv4
 * address in bits 16 to 47, the port below. */
uint64_t peers_pack_address(const struct sockaddr_in *address);
void peers_unpack_address(uint64_t packed, struct sockaddr_in *address);

#endif
