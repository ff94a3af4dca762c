/*
 * What the core asks of the program around it. The core decides and does no
 * I/O; every effect goes through this vtable. The daemon implements it on
 * libuv; tests implement it on virtual time.
 */
#ifndef LAVENDER_HOST_H
#define LAVENDER_HOST_H

#include "lavender/message.h"
#include "lavender/outcome.h"
#include "lavender/types.h"

/* One try of a request at an endpoint. */
typedef struct lv_attempt {
    lv_handle request;
    uint32_t number; /* 1 for the first; answers of older ones are dropped */
    lv_id endpoint;
    bool needs_new_connection; /* for a request that is not idempotent */
    uint64_t resume_offset; /* bytes of the answer's body already delivered */
} lv_attempt;

typedef enum lv_decision_kind {
    LV_DECIDE_ADMIT,
    LV_DECIDE_REFUSE,
    LV_DECIDE_ROUTE, /* a request is given to an endpoint */
    LV_DECIDE_RETRY,
    LV_DECIDE_FINISH,
    LV_DECIDE_GRANT,
    LV_DECIDE_RECALL,
    LV_DECIDE_ROLE,     /* a role was taken or given up */
    LV_DECIDE_MEMBER,   /* an instance's state changed */
    LV_DECIDE_DOCUMENT, /* a catalogue or list was accepted or refused */
    LV_DECIDE_ORDER     /* a placement order */
} lv_decision_kind;

/* One line of the decision log. Pointers live for the call only. */
typedef struct lv_decision {
    lv_decision_kind kind;
    const char *reason;    /* a stable word */
    uint64_t request;      /* request number, or 0 */
    const char *account;   /* name or NULL */
    const char *pool;      /* name or NULL */
    lv_id endpoint;        /* or LV_ID_NONE */
    lv_id instance;        /* or LV_ID_NONE */
    uint64_t value;        /* kind-specific: lease, revision, lead ... */
    uint32_t alternatives; /* how many others could have been chosen */
} lv_decision;

typedef struct lv_order {
    lv_id endpoint;
    const char *model;        /* name */
    bool is_load;             /* false: unload */
    uint64_t fence_catalogue; /* fencing number, high part */
    uint64_t fence_lists;     /* fencing number, low part */
} lv_order;

typedef struct lv_host lv_host;

typedef struct lv_host_ops {
    /* Send to a peer, best effort; the message lives for the call only. */
    void (*send)(lv_host *host, lv_id to, const msg_message *message);

    /* Open an attempt. The host must call entry_may_send on a fresh clock
     * reading before the first byte is written. */
    void (*start_attempt)(lv_host *host, const lv_attempt *attempt);

    /* Stop an attempt: close or cancel at the endpoint. No report needed. */
    void (*cancel_attempt)(lv_host *host, lv_handle request, uint32_t number);

    /* The request's final word. The handle is free after this call. */
    void (*finish_request)(lv_host *host, lv_handle request,
                           const out_outcome *outcome);

    /* Write one line of the decision log. */
    void (*log_decision)(lv_host *host, const lv_decision *decision);

    /* Send a placement order to an endpoint; the host answers with
     * node_order_done. */
    void (*send_order)(lv_host *host, const lv_order *order);

    /* A document came into force: the host takes settings from it. */
    void (*document_changed)(lv_host *host, doc_kind doc);

    /* Read a document's part from the platform, if this instance may. */
    void (*read_platform)(lv_host *host, doc_kind doc, uint32_t part);
} lv_host_ops;

/* First member of whatever the program uses as its host. */
struct lv_host {
    const lv_host_ops *ops;
};

#endif
