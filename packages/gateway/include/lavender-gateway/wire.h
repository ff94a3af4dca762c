/*
 * Interface between the gateway and the formats of the users' platform: a
 * vtable that decodes and encodes HTTP headers, and requests to the platform's
 * store. The implementation in platform/ knows all names and formats and makes
 * no decisions; the gateway knows none of them.
 */
#ifndef LAVENDER_GATEWAY_WIRE_H
#define LAVENDER_GATEWAY_WIRE_H

#include "lavender-gateway/http.h"
#include "lavender/engine.h"
#include "lavender/routing.h"

/* With the terminating zero. The store allows keys of 200 bytes; longer ones
 * of other writers are passed over. */
#define WIRE_KEY_SIZE 1024

/* Decoded headers of a request from a caller. The strings point into the
 * head. */
typedef struct wire_request {
    const char *attempt_id; /* of this attempt of the caller; NULL: none */
    const char *api_key;    /* API key of the account; NULL: none */
    const char *resumes;    /* attempt that brought the first event of the
                               stream that goes on; NULL: not given */
    bool is_resumption;     /* the caller has a part of the stream */
    lv_time timeout;        /* the caller's timeout; 0: not given */
    eng_prompt prompt;      /* its first blocks, which the model of caches
                               knows */
    const char *blocks;     /* all blocks of the prompt; NULL: not given */
} wire_request;

/* What the gateway adds to the headers of a request to an endpoint. */
typedef struct wire_forward {
    const char *endpoint;      /* the only one that may run the request */
    const char *account;       /* NULL: the request has no account */
    const char *last_event_id; /* resumes a stream after it; NULL: none */
    const char *fetch_from;    /* IP:PORT of the endpoint that cached prompt
                                  blocks are fetched from; NULL: none */
    lv_time timeout;           /* time left for the response */
} wire_forward;

/* Decoded headers of a response from an endpoint. The strings point into the
 * head. */
typedef struct wire_response {
    const char *attempt_id; /* attempt that it belongs to; NULL: not given */
    bool is_sealed;        /* has the endpoint's seal, which is not verified */
    bool was_not_executed; /* the endpoint did not execute the request */
    bool promises_not_executed; /* by its status, as callers read it */
    lv_time keep_alive_timeout; /* keep-alive timeout of the connection; 0: not
                                   given */
    bool is_draining;           /* the endpoint is draining by its own word */
    lv_time retry_after; /* of a 503: the endpoint takes no request for so
                            long; 0: not given */
    bool is_retry_after_invalid; /* of a 503: it was not valid, and ignored */
    bool is_misdirected;   /* by an endpoint that the request was not for */
    bool has_limit;        /* the endpoint names a limit */
    bool is_limit_invalid; /* it does, but not as a number */
    double limit; /* requests per second that it takes from all instances */
    bool has_cold_time;        /* the endpoint names its remaining cold time */
    bool is_cold_time_invalid; /* it does, but not as a number */
    lv_time cold_time;
} wire_response;

/* The parts of the store that the gateway reads. */
typedef enum wire_subject {
    WIRE_CONFIG, /* and the zones that are evacuated */
    WIRE_ENDPOINTS,
    WIRE_SUBJECT_COUNT
} wire_subject;

/* A point in the history of the store. When the store comes back from an older
 * copy, its era rises and its revisions are given out again. */
typedef struct wire_position {
    uint64_t era; /* 0: the store names none */
    uint64_t revision;
} wire_position;

static inline bool
wire_is_after(wire_position one, wire_position other)
{
    return one.era != other.era ? one.era > other.era
                                : one.revision > other.revision;
}

/* A decoded item of the store. */
typedef struct wire_item {
    char key[WIRE_KEY_SIZE];
    wire_position position;
    bool is_removed;           /* the key was deleted */
    uint64_t created_revision; /* of the key's creation; 0: not given */

    /* The item as in the store's reply, valid only during the callback; NULL:
     * out of memory. */
    const char *text;

    /* WIRE_CONFIG: the receiver calls rt_unref. NULL: deleted or invalid, or
     * the item is about a zone. */
    rt_table *config;

    /* WIRE_CONFIG: a zone, which is evacuated unless the key was deleted,
     * whatever its value. LV_ID_NONE: the item is the configuration. */
    lv_id zone;
    char zone_name[LV_NAME_SIZE]; /* for logs; see eng_spec */
    bool has_endpoint;            /* WIRE_ENDPOINTS: `endpoint` is valid */
    eng_spec endpoint;
    uint64_t started_at; /* of the endpoint's process; 0: not given */
    uint64_t sequence;   /* of the endpoint's writes; 0: not given */
    err_error error;     /* why the value is invalid */
} wire_item;

typedef void wire_on_item(void *context, wire_item *item);

/* The fields of a store's reply other than its items. */
typedef struct wire_store_reply {
    uint64_t revision; /* of the store */
    bool has_more;     /* another page follows after last_key */
    char last_key[WIRE_KEY_SIZE];
} wire_store_reply;

/* A call of the store that another instance makes here. */
typedef struct wire_store_request {
    wire_subject subject;
    bool is_watch;  /* or a list */
    uint64_t after; /* of a watch: the revision that it starts after */
    lv_time wait;   /* of a watch */
} wire_store_request;

/* An endpoint has tokens of a prompt block cached. */
typedef void wire_on_cached(void *context, uint64_t block, uint32_t tokens);

typedef struct wire_ops {
    /* Decodes the headers of a caller's request; false with the error set when
     * a header is malformed. */
    bool (*read_request)(const http_head *head, wire_request *request,
                         err_error *error);

    /* Writes the ids of the blocks of a prompt (wire_request.blocks), none of
     * them 0, and returns how many there are, which may be more than `max`.
     * The ids are those of eng_block and wire_on_cached. */
    uint32_t (*read_block_ids)(const char *blocks, uint64_t *ids,
                               uint32_t max);

    /* Appends the headers for the endpoint: those of `forward`, and the
     * caller's except hop-by-hop headers and those reserved for the
     * gateway. */
    void (*write_request)(buf_buffer *to, const http_head *head,
                          const wire_forward *forward);

    /* Decodes the headers of an endpoint's response. */
    void (*read_response)(const http_head *head, wire_response *answer);

    /* Appends the headers of an endpoint's response for the caller. */
    void (*write_response)(buf_buffer *to, const http_head *head);

    /* Appends the header that tells a refused caller when to retry. */
    void (*write_retry_after)(buf_buffer *to, lv_time retry_after);

    /* Append the request target of a list or a watch of the store. A list
     * starts after `after_key`, or at the first key when NULL; a watch reports
     * changes after `revision` and replies within `wait`. */
    void (*write_list_target)(buf_buffer *to, wire_subject subject,
                              const char *after_key);
    void (*write_watch_target)(buf_buffer *to, wire_subject subject,
                               uint64_t revision, lv_time wait);

    /* Returns the store's era from the head of a reply; 0: not named. */
    uint64_t (*read_store_era)(const http_head *head);

    /* The other side of the store's calls, for the relay. The reader decodes a
     * request target; false when it is not a call that a feed makes. A reply
     * is begun, followed by the texts of its items, separated by commas, and
     * ended. */
    bool (*read_store_request)(const char *target,
                               wire_store_request *request);
    void (*write_store_era)(buf_buffer *headers, uint64_t era);
    void (*begin_store_reply)(buf_buffer *to, bool is_watch);
    void (*end_store_reply)(buf_buffer *to, uint64_t revision);

    /* Decodes the body of a store's reply and calls `on_item` for each item of
     * the subject. Returns false with the error set when it is malformed. An
     * item with an invalid value is passed on with its error. */
    bool (*read_store_reply)(const char *body, size_t size,
                             wire_subject subject, wire_on_item *on_item,
                             void *context, wire_store_reply *reply,
                             err_error *error);

    /* Appends the request for the prompt blocks that an endpoint has cached;
     * `address` is its IP:PORT. */
    void (*write_cached_request)(buf_buffer *to, const char *endpoint,
                                 const char *address);

    /* Decodes the body of the response and calls `on_cached` for each block.
     * Returns false with the error set when it names none. */
    bool (*read_cached)(const char *body, size_t size,
                        wire_on_cached *on_cached, void *context,
                        err_error *error);
} wire_ops;

#endif
