/*
 * Messages between instances and their msgpack encoding.
 *
 * An encoded message is a map with integer keys. A receiver skips unknown keys
 * and sets fields whose key is missing to zero, so fields can be added without
 * breaking older instances. Arrays of a message to be sent belong to the
 * sender; those of a decoded message lie in the msg_buffer.
 */
#ifndef LAVENDER_MESSAGE_H
#define LAVENDER_MESSAGE_H

#include "lavender/catalogue.h"
#include "lavender/error.h"
#include "lavender/types.h"

#define MSG_VERSION 1

/* Maximum number of items in one array; longer arrays are rejected by both the
 * encoder and the decoder. */
#define MSG_ITEMS_MAX 4096

/* Maximum size of an encoded message in bytes; the decoder rejects longer
 * ones. */
#define MSG_SIZE_MAX ((size_t)1200000)

typedef enum msg_kind {
    MSG_PING = 1,  /* membership probe */
    MSG_ACK,       /* response to a probe */
    MSG_PING_REQ,  /* asks the receiver to probe `subject` */
    MSG_REPORT,    /* entry to dispatcher: demands, leases, services */
    MSG_GRANT,     /* dispatcher to entry: grants, recalls, levels */
    MSG_SHARD_SUM, /* dispatcher to counter root: services */
    MSG_POOL_SUM,  /* counter root to dispatchers: levels */
    MSG_DOC_FETCH, /* requests part `doc_part` of document `doc` */
    MSG_DOC_BODY,  /* response to MSG_DOC_FETCH: the part */
    MSG_KIND_END
} msg_kind;

/* Documents that instances exchange. */
typedef enum doc_kind {
    DOC_CATALOGUE,
    DOC_LISTS,
    DOC_COUNT
} doc_kind;

typedef struct msg_doc_state {
    uint64_t revision; /* 0: no document */
    uint64_t digest;   /* XXH64 of the head part */
} msg_doc_state;

typedef enum msg_member_state {
    MSG_MEMBER_ALIVE,
    MSG_MEMBER_SUSPECT,
    MSG_MEMBER_DEAD,
    MSG_MEMBER_LEFT
} msg_member_state;

/* A rumour about the state of an instance. Of two rumours with the same
 * incarnation, the one with the higher refutation wins: an instance that
 * receives a suspicion of itself raises its refutation above it. */
typedef struct msg_member {
    lv_id instance;
    uint64_t incarnation;
    msg_member_state state;
    bool is_draining;
    uint32_t refutation;
} msg_member;

/* A rumour that an endpoint is leaving. */
typedef struct msg_leaving {
    lv_id endpoint;
    uint64_t list_revision; /* revision of the lists that say so */
} msg_leaving;

/* The demand of an account at an entry; replaces the one reported before. */
typedef struct msg_demand {
    lv_id account;
    uint32_t waiting[CAT_PRIORITY_COUNT];   /* number of queued requests */
    lv_time oldest_age[CAT_PRIORITY_COUNT]; /* age of the oldest one */
    uint32_t arrivals; /* requests admitted for this pool since the start of
                          the entry's process, modulo 2^32 */
} msg_demand;

/* A lease that the reporting entry holds. */
typedef struct msg_lease {
    uint64_t lease;
    lv_id endpoint;
    lv_id account;
    bool is_busy;
    cat_priority priority; /* of the running request, when busy */
} msg_lease;

/* The service that an account received, in service units not divided by its
 * weight. total may fall slightly when a prediction is corrected. In a REPORT,
 * a new dispatcher rebuilds its virtual counters from level and since. In a
 * SHARD_SUM, level is not set and since is the service since the last sum. */
typedef struct msg_service {
    lv_id account;
    int64_t total; /* over the sender's incarnation */
    int64_t level; /* last virtual counter received from a dispatcher */
    int64_t since; /* service after that counter was received */
} msg_service;

/* A lease granted to the receiving entry. */
typedef struct msg_grant {
    uint64_t lease;
    lv_id endpoint;
    lv_id account; /* LV_ID_NONE: any account */
} msg_grant;

/* The virtual counter of an account, and the requests that the receiving entry
 * may admit under the fleet-wide rate limit: it admits a request while
 * allowance - arrivals, as a signed 32-bit difference, is positive. Both count
 * from the start of the entry's process, so a repeated or lost message neither
 * adds to the allowance nor loses any of it. Without a rate limit in the
 * catalogue, allowance is meaningless. */
typedef struct msg_level {
    lv_id account;
    int64_t level;      /* service units / weight */
    uint32_t allowance; /* maximum of arrivals, modulo 2^32 */
} msg_level;

/* A message of any kind. Members of other kinds are zero. */
typedef struct msg_message {
    msg_kind kind;
    uint32_t version;
    lv_id sender;
    uint64_t incarnation; /* of the sender; increases at every restart */
    uint64_t target_incarnation;   /* of the receiver, as known; 0: unknown */
    msg_doc_state docs[DOC_COUNT]; /* in force at the sender */

    uint64_t sequence; /* increases per (sender, receiver, kind, pool,
                          shard) */
    uint64_t tenure;   /* of the dispatcher or the counter root */
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
    bool is_full;     /* lists all leases, demands and services */
    bool is_claim;    /* first report to a new dispatcher */
    bool is_progress; /* lists all services whose total changed */
    lv_time sent;     /* sender's clock; echoed in GRANT. SHARD_SUM: start of
                         the dispatcher role */
    uint64_t seen;    /* highest GRANT sequence received */
    const msg_demand *demands;
    uint32_t demand_count;
    const msg_lease *held;
    uint32_t held_count;
    const uint64_t *released; /* leases returned to the dispatcher */
    uint32_t released_count;
    const msg_service *services; /* REPORT, SHARD_SUM (total, since) */
    uint32_t service_count;

    /* GRANT */
    lv_time echo;      /* `sent` of the last REPORT received */
    lv_time ttl;       /* leases expire at echo + ttl, entry's clock */
    bool is_contended; /* demand is waiting: release idle leases at once */
    bool wants_full;   /* a REPORT was lost: resend a full one */
    const msg_grant *grants;
    uint32_t grant_count;
    const uint64_t *recalled; /* leases to release when their request ends */
    uint32_t recalled_count;
    const msg_level *levels; /* GRANT, POOL_SUM (level only) */
    uint32_t level_count;

    /* DOC_FETCH, DOC_BODY */
    doc_kind doc;
    uint32_t doc_part; /* 0: the head */
    uint64_t doc_digest;
    const char *body; /* the part, not null-terminated. PING to a receiver that
                         may not know the sender: its peer address */
    size_t body_size;
} msg_message;

/* Memory for the arrays of a decoded message; can be reused for any number of
 * messages. */
typedef struct msg_buffer {
    void *memory;
    size_t capacity; /* bytes */
    size_t used;     /* bytes */
} msg_buffer;

void msg_buffer_init(msg_buffer *buffer);

/* Frees the arrays of the last message decoded into the buffer. */
void msg_buffer_finish(msg_buffer *buffer);

/* Encodes a message into a new block of memory, which the caller frees with
 * free(). Fails with ERR_LIMIT when an array has more than MSG_ITEMS_MAX items
 * and with ERR_MEMORY when no block can be allocated. */
bool msg_encode(const msg_message *message, char **bytes, size_t *size,
                err_error *error);

/* Decodes a message. Its arrays lie in buffer until the next use of buffer;
 * body points into bytes. Fails with ERR_SYNTAX when the message is malformed
 * and with ERR_MEMORY when the arrays cannot be allocated. */
bool msg_decode(const char *bytes, size_t size, msg_message *message,
                msg_buffer *buffer, err_error *error);

/* Returns the name of a kind, such as "ping", or "unknown" when the kind is
 * out of range. */
const char *msg_kind_name(msg_kind kind);

#endif
