/*
 * Messages between instances, and their codec (msgpack).
 *
 * A message is a map from small integers to values; a receiver skips keys it
 * does not know and takes the default for keys that are missing, so fields
 * can be added without breaking older instances. Arrays point into memory
 * owned by the sender, or by the msg_buffer that decoded them.
 */
#ifndef LAVENDER_MESSAGE_H
#define LAVENDER_MESSAGE_H

#include "lavender/catalogue.h"
#include "lavender/error.h"
#include "lavender/types.h"

#define MSG_VERSION 1

/* The most items in one array of a message; longer ones are refused. */
#define MSG_ITEMS_MAX 4096

/* The most bytes of one encoded message. */
#define MSG_SIZE_MAX ((size_t)1200000)

typedef enum msg_kind {
    MSG_PING = 1,  /* membership probe */
    MSG_ACK,       /* answer to a probe */
    MSG_PING_REQ,  /* please probe `subject` for me */
    MSG_REPORT,    /* entry to dispatcher: demand, leases, service */
    MSG_GRANT,     /* dispatcher to entry: grants, recalls, levels */
    MSG_SHARD_SUM, /* dispatcher to counter root */
    MSG_POOL_SUM,  /* counter root to dispatchers */
    MSG_DOC_FETCH, /* please send part `doc_part` of document `doc` */
    MSG_DOC_BODY,  /* a part of a document */
    MSG_KIND_END
} msg_kind;

/* Documents that spread among the instances. */
typedef enum doc_kind {
    DOC_CATALOGUE,
    DOC_LISTS,
    DOC_COUNT
} doc_kind;

typedef struct msg_doc_state {
    uint64_t revision; /* 0: has none */
    uint64_t digest;   /* of the head part */
} msg_doc_state;

typedef enum msg_member_state {
    MSG_MEMBER_ALIVE,
    MSG_MEMBER_SUSPECT,
    MSG_MEMBER_DEAD,
    MSG_MEMBER_LEFT
} msg_member_state;

/* One rumour about an instance. Of two with the same incarnation the one
 * with the higher refutation counts: an instance that hears it is suspected
 * raises its own. */
typedef struct msg_member {
    lv_id instance;
    uint64_t incarnation;
    msg_member_state state;
    bool is_draining;
    uint32_t refutation;
} msg_member;

/* One rumour about an endpoint that leaves. */
typedef struct msg_leaving {
    lv_id endpoint;
    uint64_t list_revision; /* of the list that says so */
} msg_leaving;

/* Demand of one account at one entry; replaces what was said before. */
typedef struct msg_demand {
    lv_id account;
    uint32_t waiting[CAT_PRIORITY_COUNT];   /* requests queued */
    lv_time oldest_age[CAT_PRIORITY_COUNT]; /* of the head of each queue */
    uint32_t arrivals; /* requests admitted for this pool since the entry's
                          process started, modulo 2^32 */
} msg_demand;

/* A lease that an entry holds. */
typedef struct msg_lease {
    uint64_t lease;
    lv_id endpoint;
    lv_id account;
    bool is_busy;
    cat_priority priority; /* of the request that runs, when busy */
} msg_lease;

/* Service that an entry gave to an account, cumulative over this
 * incarnation; may fall a little when a prediction is corrected. level is
 * the account's counter as last heard from a dispatcher, and since is the
 * service given after that: a new dispatcher rebuilds its counters from
 * them. */
typedef struct msg_service {
    lv_id account;
    int64_t total; /* service units, not divided by weight */
    int64_t level;
    int64_t since;
} msg_service;

typedef struct msg_grant {
    uint64_t lease;
    lv_id endpoint;
    lv_id account; /* LV_ID_NONE: any account */
} msg_grant;

/* An account's virtual counter, and what this entry may admit under the
 * fleet-wide rate: a request may come in while allowance - arrivals, as a
 * signed 32-bit difference, is above zero. Counting from the start of the
 * entry's process, it neither grows nor is lost with a repeated or lost
 * message. It says nothing where the catalogue sets no rate. */
typedef struct msg_level {
    lv_id account;
    int64_t level;      /* service units / weight */
    uint32_t allowance; /* highest value of arrivals, modulo 2^32 */
} msg_level;

typedef struct msg_message {
    msg_kind kind;
    uint32_t version;
    lv_id sender;
    uint64_t incarnation;        /* of the sender; grows with every restart */
    uint64_t target_incarnation; /* of the receiver as known; 0: unknown */
    msg_doc_state docs[DOC_COUNT]; /* what the sender has in force */

    uint64_t sequence; /* grows per (sender, receiver, kind, pool, shard) */
    uint64_t tenure;   /* of the dispatcher or counter root */
    lv_id pool;
    uint32_t shard;

    /* PING, ACK, PING_REQ */
    uint64_t probe;
    lv_id subject;
    const msg_member *members;
    uint32_t member_count;
    const msg_leaving *leaving;
    uint32_t leaving_count;

    /* REPORT */
    bool is_full;     /* lists every lease, demand and service */
    bool is_claim;    /* first report to a new dispatcher */
    bool is_progress; /* lists every service total that changed */
    lv_time sent;     /* sender's clock; echoed in GRANT */
    uint64_t seen;    /* highest GRANT sequence taken */
    const msg_demand *demands;
    uint32_t demand_count;
    const msg_lease *held;
    uint32_t held_count;
    const uint64_t *released; /* leases given back */
    uint32_t released_count;
    const msg_service *services; /* REPORT, SHARD_SUM (total only) */
    uint32_t service_count;

    /* GRANT */
    lv_time echo;      /* `sent` of the last report taken */
    lv_time ttl;       /* leases end at echo + ttl on the entry's clock */
    bool is_contended; /* somebody waits: give idle slots back at once */
    bool wants_full;   /* a report was lost: send a full one */
    const msg_grant *grants;
    uint32_t grant_count;
    const uint64_t *recalled; /* give back at the end of the request */
    uint32_t recalled_count;
    const msg_level *levels; /* GRANT, POOL_SUM (level only) */
    uint32_t level_count;

    /* DOC_FETCH, DOC_BODY */
    doc_kind doc;
    uint32_t doc_part; /* 0: the head */
    uint64_t doc_digest;
    const char *body; /* PING to one that may not know the sender: the
                         sender's peer address, without a zero */
    size_t body_size;
} msg_message;

/* Memory of one decoded message. Zero it with msg_buffer_init, reuse it for
 * any number of messages. */
typedef struct msg_buffer {
    void *memory;
    size_t capacity;
    size_t used;
} msg_buffer;

void msg_buffer_init(msg_buffer *buffer);
void msg_buffer_finish(msg_buffer *buffer);

/* Encode into a malloc'ed block that the caller frees. */
bool msg_encode(const msg_message *message, char **bytes, size_t *size,
                err_error *error);

/* Decode; strings and arrays live in buffer until its next use, except body,
 * which points into bytes. */
bool msg_decode(const char *bytes, size_t size, msg_message *message,
                msg_buffer *buffer, err_error *error);

/* "ping", "report" ... */
const char *msg_kind_name(msg_kind kind);

#endif
