/*
 * The other instances: who they are, and what each has in flight at the
 * endpoints and has given to the accounts. Everything travels in datagrams
 * of totals, so a lost one is made good by the next; a datagram is also the
 * heartbeat of its sender. Instances find each other through the seeds and
 * through the addresses that datagrams name.
 *
 * In a small fleet all tell all. In a large one each endpoint and account has
 * a keeper, chosen by rendezvous hashing from the live instances: the others
 * tell it what they have there, and it tells all the sums. Before a request
 * is sent to an engine, its keeper is asked.
 */
#ifndef LAVENDER_GATEWAY_PEERS_H
#define LAVENDER_GATEWAY_PEERS_H

#include <uv.h>

#include "lavender/buffer.h"
#include "lavender/engine.h"
#include "lavender/shares.h"

#define PEERS_SEEDS_MAX 8

typedef struct peers_settings {
    struct sockaddr_in bind;
    struct sockaddr_in seeds[PEERS_SEEDS_MAX];
    uint32_t seed_count;
    lv_time interval;        /* between datagrams while there is news */
    lv_time idle_interval;   /* heartbeat without news */
    lv_time full_interval;   /* everything is said again */
    lv_time silence_timeout; /* after which a peer counts as gone */
    lv_time forget_timeout;  /* after which its address is dropped */
    lv_time seed_interval;   /* between tries of seeds not heard from */
} peers_settings;

typedef struct peers_load {
    lv_id endpoint;
    uint32_t serial; /* of the endpoint's row that knows the load */
    eng_load load;
    lv_time heard_at;
} peers_load;

typedef struct peers_account {
    lv_id account;
    shr_totals totals;
    lv_time heard_at;
} peers_account;

typedef struct peers_loads {
    peers_load *rows;
    uint32_t count;
    uint32_t capacity;
} peers_loads;

typedef struct peers_accounts {
    peers_account *rows;
    uint32_t count;
    uint32_t capacity;
} peers_accounts;

typedef struct peers_peer {
    struct sockaddr_in address;
    uint64_t incarnation; /* of its process; 0: not heard yet */
    uint32_t sequence;
    lv_time heard_at;
    lv_time tried_at;      /* last time we sent while it was silent */
    lv_time unanswered_at; /* it did not answer what it was asked; 0: never */
    bool is_live;
    bool reads_store;  /* the store answers it */
    bool can_keep;     /* it knows the endpoints */
    bool has_told_all; /* in this life, to us */
    peers_loads loads;
    peers_accounts accounts;
} peers_peer;

typedef struct peers_counts {
    uint64_t sent_bytes;
    uint64_t sent_datagrams;
    uint64_t received_datagrams;
    uint64_t rejected;         /* not readable, or older than what is known */
    uint64_t starts_requested; /* keepers of endpoints, by this instance */
    uint64_t starts_unanswered;
    uint64_t starts_granted; /* as a keeper */
    uint64_t starts_denied;
} peers_counts;

/* A part of a prompt that was sent to an endpoint. */
typedef struct peers_use {
    lv_id endpoint;
    uint64_t chain;
} peers_use;

#define PEERS_USES_MAX 128

/* An endpoint that leaves is named in every datagram for a while. */
typedef struct peers_leaving {
    lv_id endpoint;
    uint64_t revision; /* of the store, that says so */
    lv_time until;
} peers_leaving;

#define PEERS_LEAVING_MAX 64

/* What a keeper is asked: may a request start at an endpoint now? */
typedef struct peers_start_request {
    uint32_t number; /* of the asker, for the answer */
    lv_id endpoint;
    lv_time target;
    lv_time waited; /* since the request was received */
    double share;   /* of its account, as in adm_request */
    eng_prompt prompt;
} peers_start_request;

typedef struct peers_start_reply {
    uint32_t number;
    lv_id endpoint;
    bool is_granted;
    eng_summary summary;  /* before the request */
    lv_time service_time; /* predicted, as in eng_prediction */
    uint32_t uncached_tokens;
} peers_start_reply;

typedef struct peers_state peers_state;

struct peers_state {
    peers_settings settings;

    /* How a datagram leaves; through the socket unless a test sees to it. */
    bool (*send)(peers_state *peers, const buf_buffer *datagram,
                 const struct sockaddr_in *address);
    uv_udp_t socket;
    uv_timer_t timer;
    eng_table *endpoints;
    shr_shares *shares;
    uint64_t incarnation;
    uint32_t sequence;
    lv_time sent_at;
    lv_time full_at;
    peers_peer *peers;
    uint32_t count;
    uint32_t capacity;
    uint32_t live_count;     /* peers that are live now */
    uint32_t max_live_count; /* the most there ever were */
    peers_loads said;        /* as last sent, to find what changed */
    peers_accounts said_accounts;
    peers_use uses[PEERS_USES_MAX]; /* since the last datagram */
    uint32_t use_count;
    peers_leaving leaving[PEERS_LEAVING_MAX];
    uint32_t leaving_count;
    bool is_store_reachable; /* the store answers this instance */
    bool can_coordinate;     /* this instance knows the endpoints */
    lv_time news_at;         /* keepers were last told what changed here */
    lv_time joined_at;       /* a peer was heard of anew */
    lv_time state_at; /* the sums that this instance keeps were last told */
    void (*on_change)(void *owner, const char *what, const char *address);

    /* A peer has read in the store that an endpoint leaves. */
    void (*on_unlisted)(void *owner, lv_id endpoint, uint64_t revision);

    /* A peer asks for a start at an endpoint that this instance keeps: fill
     * in the answer, all but number and endpoint. */
    void (*on_start_request)(void *owner, lv_handle endpoint,
                             const peers_start_request *ask,
                             peers_start_reply *answer);
    void (*on_start_reply)(void *owner, const peers_start_reply *answer);
    void *owner;
    peers_counts counts;
};

bool peers_init(peers_state *peers, uv_loop_t *loop,
                const peers_settings *settings, eng_table *endpoints,
                shr_shares *shares, uint64_t incarnation, err_error *error);
void peers_close(peers_state *peers);
void peers_finish(peers_state *peers);

/* The seeds may change while the process runs. */
void peers_set_seeds(peers_state *peers, const struct sockaddr_in *seeds,
                     uint32_t count);

/* A part was sent to an endpoint; the peers will know it. */
void peers_report_block_use(peers_state *peers, lv_handle endpoint,
                            uint64_t chain);

/* An endpoint leaves; the peers will know it. */
void peers_report_unlisted(peers_state *peers, lv_id endpoint,
                           uint64_t revision, lv_time now);

/* Does the store answer less than half of the instances heard from? */
bool peers_is_store_unreachable(const peers_state *peers);

/* Is the fleet so large that endpoints and accounts have keepers? Once it
 * was, it stays so for the life of the process. */
bool peers_is_large_fleet(const peers_state *peers);

/* Is this instance the keeper of an endpoint or account? */
bool peers_is_coordinator(const peers_state *peers, lv_id key);

/* Ask the endpoint's keeper; false when there is none to be asked: the fleet
 * is small, or this instance is the keeper. A keeper that did not answer
 * lately is passed over for the next one. Writes who is asked. */
bool peers_request_start(peers_state *peers, const peers_start_request *ask,
                         lv_time now, struct sockaddr_in *asked);

/* Who was asked did not answer in time. */
void peers_note_unanswered(peers_state *peers,
                           const struct sockaddr_in *keeper, lv_time now);

/* Instances that share the retry budget: the most seen in this life, since
 * a peer that is silent may still be serving. */
uint32_t peers_max_instances(const peers_state *peers);

typedef enum peers_kind {
    PEERS_NEWS,  /* what changed at this instance */
    PEERS_FULL,  /* everything that this instance has */
    PEERS_STATE, /* sums of what this instance keeps */
    PEERS_CALL   /* a question to a keeper, or its answer */
} peers_kind;

/* Parts that tests drive without a socket. */
void peers_write(peers_state *peers, peers_kind kind, lv_time now,
                 buf_buffer *to);
void peers_write_ask(peers_state *peers, const peers_start_request *ask,
                     buf_buffer *to);
void peers_write_answer(peers_state *peers, const peers_start_reply *answer,
                        buf_buffer *to);
bool peers_take(peers_state *peers, const struct sockaddr_in *from,
                const char *data, size_t size, lv_time now);
void peers_expire(peers_state *peers, lv_time now);
void peers_tell(peers_state *peers, lv_time now); /* what is due */

#endif
