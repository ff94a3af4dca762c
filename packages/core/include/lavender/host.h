/*
 * The interface between the core and the program that embeds it, the host. The
 * core makes the decisions and does no I/O: all I/O goes through this vtable.
 * The daemon implements it with libuv, the tests with a simulated clock.
 */
#ifndef LAVENDER_HOST_H
#define LAVENDER_HOST_H

#include "lavender/message.h"
#include "lavender/outcome.h"
#include "lavender/types.h"

/* One attempt to run a request at an endpoint. */
typedef struct lv_attempt {
    lv_handle request;
    uint32_t number; /* counts the request's attempts from 1; a response to an
                        earlier attempt is dropped */
    lv_id endpoint;
    bool needs_new_connection; /* do not reuse an idle connection; set for
                                  requests that are not idempotent */
    uint64_t resume_offset; /* bytes of the response body that the caller has
                               already received */
} lv_attempt;

typedef enum lv_decision_kind {
    LV_DECIDE_ADMIT,
    LV_DECIDE_REFUSE,
    LV_DECIDE_ROUTE, /* a request was assigned to an endpoint */
    LV_DECIDE_RETRY,
    LV_DECIDE_FINISH,
    LV_DECIDE_GRANT,
    LV_DECIDE_RECALL,
    LV_DECIDE_ROLE,     /* this instance started or stopped a role */
    LV_DECIDE_MEMBER,   /* the state of an instance changed */
    LV_DECIDE_DOCUMENT, /* a catalogue or lists document was accepted or
                           rejected */
    LV_DECIDE_ORDER     /* a placement order was sent or failed */
} lv_decision_kind;

/* One line of the decision log. Pointers are valid during the call only. */
typedef struct lv_decision {
    lv_decision_kind kind;
    const char *reason;    /* identifier; operators' tools match it */
    uint64_t request;      /* request number, or 0 */
    const char *account;   /* name, or NULL */
    const char *pool;      /* name, or NULL */
    lv_id endpoint;        /* or LV_ID_NONE */
    lv_id instance;        /* or LV_ID_NONE */
    uint64_t value;        /* depends on the kind: lease, revision, lead,
                              incarnation, tenure, ... */
    uint32_t alternatives; /* depends on the kind: other candidates for the
                              choice, live peers (MEMBER), shard number (ROLE),
                              ... */
} lv_decision;

/* An order to load or unload a model at an endpoint. Its fencing number is the
 * pair (fence_catalogue, fence_lists), compared in this order. */
typedef struct lv_order {
    lv_id endpoint;
    const char *model;        /* name */
    bool is_load;             /* false: unload */
    uint64_t fence_catalogue; /* revision of the catalogue */
    uint64_t fence_lists;     /* revision of the lists */
} lv_order;

typedef struct lv_host lv_host;

typedef struct lv_host_ops {
    /* Sends a message to a peer, best effort. The message is valid during the
     * call only. */
    void (*send)(lv_host *host, lv_id to, const msg_message *message);

    /* Starts an attempt. The host must call entry_may_send with a current
     * clock reading before it writes the first byte. */
    void (*start_attempt)(lv_host *host, const lv_attempt *attempt);

    /* Aborts an attempt: closes its connection or cancels it at the endpoint.
     * The host does not report its result. */
    void (*cancel_attempt)(lv_host *host, lv_handle request, uint32_t number);

    /* Reports the final outcome of a request. The handle is invalid after the
     * call. */
    void (*finish_request)(lv_host *host, lv_handle request,
                           const out_outcome *outcome);

    /* Writes one line to the decision log. */
    void (*log_decision)(lv_host *host, const lv_decision *decision);

    /* Sends a placement order to an endpoint. The host reports the response
     * with place_complete_order. */
    void (*send_order)(lv_host *host, const lv_order *order);

    /* Reports that a new revision of a document is in force, so that the host
     * can apply the settings in it. */
    void (*document_changed)(lv_host *host, doc_kind doc);

    /* Reads a part of a document from the platform, if this instance may. */
    void (*read_platform)(lv_host *host, doc_kind doc, uint32_t part);
} lv_host_ops;

/* The host embeds this as its first member. */
struct lv_host {
    const lv_host_ops *ops;
};

#endif
