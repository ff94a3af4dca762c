/*
 * The other instances of the fleet: membership, each instance's requests in
 * flight at the endpoints, and the tokens that each account has used there.
 * Instances exchange UDP datagrams that carry running totals, so the next
 * datagram makes up for a lost one. A datagram also serves as its sender's
 * heartbeat. Instances discover each other through the configured seeds and
 * through the peer addresses that datagrams list.
 *
 * In a small fleet every instance reports to all others. In a large fleet each
 * endpoint and account has a coordinator, which rendezvous hashing selects
 * among the live instances. The other instances report to the coordinator,
 * which broadcasts the sums. Before an instance sends a request to an engine,
 * it requests a start grant from the engine's coordinator.
 */
#ifndef LAVENDER_GATEWAY_PEERS_H
#define LAVENDER_GATEWAY_PEERS_H

#include <uv.h>

#include "lavender/buffer.h"
#include "lavender/engine.h"
#include "lavender/fetch.h"
#include "lavender/lag.h"
#include "lavender/origin.h"
#include "lavender/quarantine.h"
#include "lavender/shares.h"

#define PEERS_SEEDS_MAX 8

typedef struct peers_settings {
    struct sockaddr_in bind;
    lv_id zone; /* of this instance */
    struct sockaddr_in seeds[PEERS_SEEDS_MAX];
    uint32_t seed_count;
    lv_time interval;        /* between datagrams while updates are pending */
    lv_time idle_interval;   /* between heartbeats without updates */
    lv_time full_interval;   /* between full reports */
    lv_time silence_timeout; /* until a silent peer is considered lost */
    lv_time forget_timeout;  /* until a lost peer's address is removed */
    lv_time seed_interval;   /* between datagrams to peers that are not live */
} peers_settings;

/* The load of one instance at one endpoint. */
typedef struct peers_load {
    lv_id endpoint;
    uint32_t generation; /* of the endpoint row that the load is applied to */
    eng_load load;
    lv_time received_at;
} peers_load;

/* The totals of one account at one instance. */
typedef struct peers_account {
    lv_id account;
    shr_totals totals;
    lv_time received_at;
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
    uint64_t incarnation; /* of its process; 0: no datagram received yet */
    uint32_t sequence;    /* of its latest datagram */
    lv_time received_at;  /* of its latest datagram; 0: none */
    lv_time last_sent_at;
    lv_time unanswered_at; /* latest start request without a reply; 0: none */
    bool is_live;
    uint64_t config_version;     /* in force there; 0: none */
    bool is_store_reachable;     /* from this peer */
    lv_time list_complete_until; /* its list of endpoints has all changes up
                                    to then; 0: it has no list */
    lv_id zone;
    lv_time relay_failed_at; /* it did not serve as a relay; 0: never */
    bool can_coordinate;     /* it has a full list of the endpoints */
    bool has_reported_all;   /* a full report of this incarnation arrived */
    peers_loads loads;
    peers_accounts accounts;
} peers_peer;

typedef struct peers_counts {
    uint64_t sent_bytes;
    uint64_t sent_datagrams;
    uint64_t received_datagrams;
    uint64_t rejected;          /* malformed or out of date */
    uint64_t starts_requested;  /* start requests sent */
    uint64_t starts_unanswered; /* start requests without a reply in time */
    uint64_t starts_granted;    /* start requests granted as the coordinator */
    uint64_t starts_denied;     /* start requests denied as the coordinator */
} peers_counts;

/* A prompt block that was sent to an endpoint. */
typedef struct peers_block_use {
    lv_id endpoint;
    uint64_t prefix_hash;
} peers_block_use;

#define PEERS_BLOCK_USES_MAX 128

/* An endpoint that accepts no new requests. */
typedef struct peers_unlisted {
    lv_id endpoint;
    uint64_t era;         /* of the store, when it was unlisted */
    uint64_t revision;    /* of the store, then; 0: the endpoint itself said so
                             in an answer */
    lv_time report_until; /* datagrams name it until then */
} peers_unlisted;

#define PEERS_UNLISTED_MAX 64

/* Subjects of the store whose changes datagrams name. */
#define PEERS_SUBJECTS 2

/* A request to the coordinator of an endpoint for a start grant. */
typedef struct peers_start_request {
    uint32_t number; /* chosen by the sender; the reply repeats it */
    lv_id endpoint;
    lv_time target; /* latency target */
    lv_time waited; /* since the caller's request was received */
    double share;   /* of its account, as in adm_request */

    /* What the endpoint said last of its limit to the sender, if anything. */
    bool has_limit_word;
    double limit;      /* as in pace_state */
    lv_time limit_age; /* of the word */
    uint64_t sender;   /* its incarnation; set by the receiver */
    fch_offer fetch;   /* cached blocks that the endpoint will fetch */
    eng_prompt prompt;
} peers_start_request;

/* The grant or denial of a start request. */
typedef struct peers_start_reply {
    uint32_t number;
    lv_id endpoint;
    bool is_granted;
    eng_summary summary;      /* without the request */
    lv_time service_time;     /* predicted, as in eng_prediction */
    uint32_t uncached_tokens; /* prompt tokens to prefill */
    uint32_t spared_tokens;   /* not among these because of a fetch */
    lv_time limit_wait; /* denied for the endpoint's limit: how long to wait;
                           0: not for that */
    lv_time cold_left;  /* the endpoint is cold for so long; 0: it is warm */
    lv_time cold_wait;  /* denied as it is cold: how long to wait */
} peers_start_reply;

/* The quarantines whose reports instances send to each other. */
typedef enum peers_quarantine {
    PEERS_BLOCKS,   /* of prompts */
    PEERS_REQUESTS, /* by digest */
    PEERS_QUARANTINES
} peers_quarantine;

typedef struct peers_state peers_state;

struct peers_state {
    peers_settings settings;

    /* Sends a datagram; false on failure. Uses the socket unless a test
     * replaces it. */
    bool (*send)(peers_state *peers, const buf_buffer *datagram,
                 const struct sockaddr_in *address);
    uv_udp_t socket;
    uv_timer_t timer;
    eng_table *endpoints;
    shr_shares *shares;
    qtn_table *quarantines[PEERS_QUARANTINES]; /* set by the owner; NULL:
                                                  reports of crashes are
                                                  neither sent nor applied */
    evc_set *evacuation;  /* set by the owner; NULL: notices of zones are
                             neither sent nor applied */
    uint64_t incarnation; /* of this process */
    uint32_t sequence;    /* of the latest datagram sent */
    lv_time sent_at;      /* latest update, or tick in a large fleet */
    lv_time last_full_at; /* latest full report; 0: one is due */
    peers_peer *peers;
    uint32_t count;
    uint32_t capacity;
    uint32_t live_count;
    uint32_t max_live_count;        /* since the process started */
    peers_loads reported_loads;     /* as last sent, to find changes */
    const peers_load *packed_loads; /* in the datagram that is being written;
                                       NULL: it is one of sums */
    uint32_t packed_load_count;
    peers_accounts reported_accounts;
    peers_block_use block_uses[PEERS_BLOCK_USES_MAX]; /* not yet sent */
    uint32_t block_use_count;
    peers_unlisted unlisted[PEERS_UNLISTED_MAX];
    uint32_t unlisted_count;
    bool is_store_reachable;     /* from this instance */
    lv_time list_complete_until; /* of this instance, set by the owner */
    lag_record list_lag;         /* of the peers, also while they are silent */
    uint64_t store_era;          /* latest known, set by the owner; 0: none */
    uint64_t config_version;     /* in force here, set by the owner; 0: none */

    /* Latest change of each subject of the store, of this instance and as
     * named by peers in the same era. */
    uint64_t own_changes[PEERS_SUBJECTS];
    uint64_t named_changes[PEERS_SUBJECTS];
    bool can_coordinate;     /* this instance can be a coordinator */
    lv_time ready_at;        /* since then; 0: not noted yet */
    lv_time last_updates_at; /* latest updates sent to coordinators */
    lv_time last_join_at;    /* a peer became live */
    lv_time last_sums_at;    /* latest broadcast of the coordinated sums */
    lv_time expired_at;      /* latest call of peers_expire */

    /* A peer joined or was lost; `change` is "joined" or "lost". */
    void (*on_change)(void *owner, const char *change, const char *address);

    /* A peer reports that the store unlisted an endpoint at this point. */
    void (*on_unlisted)(void *owner, lv_id endpoint, uint64_t era,
                        uint64_t revision);

    /* Notices of a peer changed `evacuation`. */
    void (*on_evacuation)(void *owner);

    /* A peer has seen a later era of the store than store_era, which the
     * callback sets. */
    void (*on_store_era)(void *owner, uint64_t era);

    /* A peer requests a start grant at an endpoint that this instance
     * coordinates. Fills in the reply except number and endpoint. NULL: start
     * requests are ignored. */
    void (*on_start_request)(void *owner, lv_handle endpoint,
                             const peers_start_request *request,
                             peers_start_reply *reply);

    /* A peer reports that an endpoint is cold for some time. NULL: ignored. */
    void (*on_cold)(void *owner, lv_handle endpoint, lv_time left,
                    uint64_t incarnation);

    /* A coordinator granted or denied a start request. */
    void (*on_start_reply)(void *owner, const peers_start_reply *reply);

    /* A peer tells the origin of a stream; or asks for it: returns the version
     * that began the stream, or ORG_VERSION_NONE. Versions are hashes of their
     * names. `service` is LV_ID_NONE if it is not known, as for an instance of
     * an earlier release. NULL: ignored. */
    void (*on_origin)(void *owner, uint64_t key, lv_id version, lv_id service,
                      uint64_t incarnation);
    lv_id (*on_origin_question)(void *owner, uint64_t key, lv_id *service);
    void *owner;
    peers_counts counts;
};

/* Opens the socket and starts the timer. Keeps pointers to `endpoints` and
 * `shares`, which must outlive `peers`. Returns false with the error set when
 * the address cannot be bound. */
bool peers_init(peers_state *peers, uv_loop_t *loop,
                const peers_settings *settings, eng_table *endpoints,
                shr_shares *shares, uint64_t incarnation, err_error *error);

/* Processes the datagrams that wait in the socket, for a loop that is late:
 * libuv reads only a few in each turn. */
void peers_drain(peers_state *peers);

/* Closes the libuv handles; run the loop before peers_finish. */
void peers_close(peers_state *peers);

/* Frees the memory. */
void peers_finish(peers_state *peers);

/* Replaces the seeds, of which there may be up to PEERS_SEEDS_MAX. */
void peers_set_seeds(peers_state *peers, const struct sockaddr_in *seeds,
                     uint32_t count);

/* Reports to the peers that a prompt block was sent to an endpoint. Dropped
 * when PEERS_BLOCK_USES_MAX uses are already pending. */
void peers_report_block_use(peers_state *peers, lv_handle endpoint,
                            uint64_t prefix_hash);

/* Reports to the peers that the store unlisted an endpoint at this point, or,
 * with revision 0, that the endpoint said in an answer that it leaves. */
void peers_report_unlisted(peers_state *peers, lv_id endpoint, uint64_t era,
                           uint64_t revision, lv_time now);

/* Is the store unreachable from at least half of the live instances, this one
 * included? */
bool peers_is_store_unreachable(const peers_state *peers);

/* Returns up to when the list of a peer is complete; 0: it is not known. */
lv_time peers_find_list(const peers_state *peers,
                        const struct sockaddr_in *address);

/* Returns the newest version of the configuration that a live peer has in
 * force; 0: none has. */
uint64_t peers_newest_config(const peers_state *peers);

/* Do endpoints and accounts have coordinators? Once the fleet was large
 * enough, this stays true while the process runs. */
bool peers_is_large_fleet(const peers_state *peers);

/* Who reads the store for an instance. */
typedef enum peers_reader {
    PEERS_READS_ITSELF,  /* it is a reader, or the fleet is small */
    PEERS_READS_RELAY,   /* another instance is */
    PEERS_HAS_NO_READER, /* all relays failed: it reads for itself */
    PEERS_AWAITS_READER  /* no reader of any zone reaches the store */
} peers_reader;

/* Chooses the reader. Two live instances of each zone read the store, by
 * rendezvous hashing; the others are spread over them, and over those of other
 * zones while none of their own reaches the store. Writes the address of the
 * relay. */
peers_reader peers_choose_reader(const peers_state *peers, lv_time now,
                                 struct sockaddr_in *relay);

/* Records that a relay failed; it is passed over for a while. */
void peers_note_relay_failed(peers_state *peers,
                             const struct sockaddr_in *relay, lv_time now);

/* Returns the time between two datagrams of an instance that reach all others,
 * for the current number of live ones. */
lv_time peers_broadcast_interval(const peers_state *peers);

/* Returns whether this instance is the coordinator of an endpoint or
 * account. */
bool peers_is_coordinator(const peers_state *peers, lv_id key);

/* Notes when this instance can coordinate; call it at every tick of the
 * timer. */
void peers_note_readiness(peers_state *peers, lv_time now);

/* Describes the fleet as it matters for the coordinator of a cold endpoint. */
void peers_view_coordinator(const peers_state *peers, lv_id endpoint,
                            lv_time now, wrm_view *view);

/* Requests a start grant from the endpoint's coordinator and writes its
 * address to `address`. Passes over coordinators that recently did not reply,
 * unless the endpoint is limited.
 * Returns false when no request was sent: this instance is the coordinator,
 * there is no memory, or the fleet is small and the endpoint not limited. */
bool peers_request_start(peers_state *peers,
                         const peers_start_request *request, bool is_limited,
                         lv_time now, struct sockaddr_in *address);

/* Records that a coordinator did not reply in time; peers_request_start passes
 * it over for a while. */
void peers_note_unanswered(peers_state *peers,
                           const struct sockaddr_in *coordinator, lv_time now);

/* Returns the maximum number of instances, this one included, since the
 * process started. They share the retry budget; a silent peer counts because
 * it may still be serving. */
uint32_t peers_max_instances(const peers_state *peers);

typedef enum peers_datagram_kind {
    PEERS_UPDATES, /* what changed at this instance */
    PEERS_FULL,    /* everything this instance has in flight or has used */
    PEERS_SUMS,    /* sums over all instances, from their coordinator */
    PEERS_START /* a start request or its reply, or the origin of a stream */
} peers_datagram_kind;

/* Steps of sending and receiving, exposed for tests without a socket. The
 * writers append one datagram to a buffer, which they mark as failed when
 * memory runs out. */
void peers_write_datagram(peers_state *peers, peers_datagram_kind kind,
                          lv_time now, buf_buffer *to);
void peers_write_start_request(peers_state *peers,
                               const peers_start_request *request,
                               buf_buffer *to);
void peers_write_start_reply(peers_state *peers,
                             const peers_start_reply *reply, buf_buffer *to);

/* Decodes and applies a datagram. Returns false when it is malformed or out of
 * date. */
bool peers_receive(peers_state *peers, const struct sockaddr_in *from,
                   const char *data, size_t size, lv_time now);

/* Removes the contributions of peers that exceed their silence timeout, and
 * state that has expired. */
void peers_expire(peers_state *peers, lv_time now);

/* Sends the updates, full reports and sums that are due. */
void peers_send_due(peers_state *peers, lv_time now);

/* Tell the origin of a stream to its holders, and ask them for it and for the
 * only version that its service has had; answers come with on_origin. */
void peers_tell_origin(peers_state *peers, uint64_t key, lv_id version,
                       lv_id service);
void peers_ask_origin(peers_state *peers, uint64_t key, lv_id service);

#endif
