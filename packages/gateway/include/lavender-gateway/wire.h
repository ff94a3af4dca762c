/*
 * What the gateway needs of the platform's formats: a small vtable that
 * reads and writes heads of messages, and the calls to the platform's store.
 * The implementation (platform/) knows names and formats and decides
 * nothing; the gateway knows none of them.
 */
#ifndef LAVENDER_GATEWAY_WIRE_H
#define LAVENDER_GATEWAY_WIRE_H

#include "lavender-gateway/http.h"
#include "lavender/engine.h"
#include "lavender/routing.h"

#define WIRE_ATTEMPT_ID_SIZE 128

/* What a caller says of its request. Texts live as long as the head. */
typedef struct wire_request {
    const char *attempt_id; /* of this attempt of the caller; NULL: none */
    const char *api_key;    /* of the account; NULL: none */
    lv_time timeout;        /* how long the caller waits; 0: it does not say */
    eng_prompt prompt;
} wire_request;

/* What goes to the endpoint besides the caller's own headers. */
typedef struct wire_forward {
    const char *endpoint;      /* the only one that may run it */
    const char *account;       /* NULL: the request has no account */
    const char *last_event_id; /* a stream goes on after it; NULL: no */
    lv_time timeout;           /* how long an answer is waited for */
} wire_forward;

/* What an endpoint says of its answer. */
typedef struct wire_response {
    const char *attempt_id; /* of the request it belongs to; NULL: not said */
    bool is_sealed;         /* bears the endpoint's signature */
    bool was_not_executed;  /* the endpoint did not run the request */
    lv_time keep_alive_timeout; /* the connection is kept for; 0: not said */
} wire_response;

/* What is published under a key of the store. */
typedef enum wire_subject {
    WIRE_CONFIG,
    WIRE_ENDPOINTS,
    WIRE_SUBJECT_COUNT
} wire_subject;

/* One item of the store, decoded. */
typedef struct wire_item {
    char key[256];
    uint64_t revision;
    bool is_removed;
    rt_table *config;  /* WIRE_CONFIG; the receiver releases it. NULL: gone
                          or not readable */
    bool has_endpoint; /* WIRE_ENDPOINTS: `endpoint` is whole */
    eng_spec endpoint;
    uint64_t born;   /* of the endpoint's process; 0: not said */
    err_error error; /* why the item is not readable */
} wire_item;

typedef void wire_on_item(void *context, wire_item *item);

/* What the store says besides the items. */
typedef struct wire_reply {
    uint64_t revision; /* of the store */
    bool has_more;     /* more pages after last_key */
    char last_key[256];
} wire_reply;

typedef struct wire_ops {
    /* False when the request's own headers cannot be read. */
    bool (*read_request)(const http_head *head, wire_request *request,
                         err_error *error);

    /* The headers for the endpoint: the caller's, without those of one
     * connection and those that are ours to set, and ours. */
    void (*write_request)(buf_buffer *to, const http_head *head,
                          const wire_forward *forward);

    void (*read_response)(const http_head *head, wire_response *answer);

    /* The headers of an endpoint's answer for the caller. */
    void (*write_response)(buf_buffer *to, const http_head *head);

    /* Headers of a refusal: when to come back. */
    void (*write_retry_after)(buf_buffer *to, lv_time retry_after);

    /* Targets of the store's calls. */
    void (*write_list)(buf_buffer *to, wire_subject subject,
                       const char *after_key);
    void (*write_watch)(buf_buffer *to, wire_subject subject,
                        uint64_t revision, lv_time wait);

    /* The body of a call's answer; false when it cannot be read. */
    bool (*read_reply)(const char *body, size_t size, wire_subject subject,
                       wire_on_item *on_item, void *context, wire_reply *reply,
                       err_error *error);
} wire_ops;

#endif
