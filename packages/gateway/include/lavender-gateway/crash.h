/*
 * Tells crashes of endpoints from connections that end one by one. A crash
 * ends all connections of an endpoint at once, or its port refuses connections
 * afterwards, or another instance saw it. Where the only connection ended, a
 * new one is tried. The requests that were cut off
 * before their answers had begun are then reported to the quarantines of
 * blocks and of requests.
 */
#ifndef LAVENDER_GATEWAY_CRASH_H
#define LAVENDER_GATEWAY_CRASH_H

#include "lavender-gateway/digest.h"
#include "lavender/quarantine.h"

#define CRASH_CUTS_MAX 128
#define CRASH_ENDS_MAX 256

/* A request that an endpoint broke off. */
typedef struct crash_cut {
    lv_id endpoint; /* LV_ID_NONE: unused */
    lv_handle row;  /* of the endpoint */
    lv_time at;
    bool is_checked; /* whether the endpoint has other connections */
    bool is_suspect; /* its answer had not begun */
    lv_id account;
    lv_time sent_at; /* to the endpoint */
    qtn_keys blocks; /* of its prompt; the detector keeps a copy */
    uint64_t digest; /* of the request; DIG_NONE: not known */
} crash_cut;

/* A connection that an endpoint ended. */
typedef struct crash_end {
    lv_id endpoint;
    lv_time at;
} crash_end;

typedef struct crash_detector crash_detector;

typedef struct crash_ops {
    /* Is a connection to the endpoint established? */
    bool (*is_connected)(crash_detector *detector, lv_handle endpoint);

    /* Try to connect to the endpoint; crash_record_refusal tells if it fails.
     */
    void (*probe)(crash_detector *detector, lv_id endpoint);

    /* An endpoint has crashed; `suspects` requests were reported. */
    void (*on_crash)(crash_detector *detector, lv_id endpoint,
                     uint32_t suspects, lv_time at);
} crash_ops;

struct crash_detector {
    const crash_ops *ops;
    void *owner;
    qtn_table *blocks;   /* quarantine of prompt blocks */
    qtn_table *requests; /* and of whole requests */
    crash_cut cuts[CRASH_CUTS_MAX];
    uint32_t next_cut; /* index to overwrite */
    uint32_t cut_count;
    crash_end ends[CRASH_ENDS_MAX];
    uint32_t next_end;
};

/* The arguments must outlive the detector. */
void crash_init(crash_detector *detector, const crash_ops *ops, void *owner,
                qtn_table *blocks, qtn_table *requests);

void crash_finish(crash_detector *detector);

/* Record that an endpoint ended a connection, broke a request off on it, and
 * refused a new connection. */
void crash_record_end(crash_detector *detector, lv_id endpoint, lv_time now);
void crash_record_cut(crash_detector *detector, const crash_cut *cut);
void crash_record_refusal(crash_detector *detector, lv_id endpoint,
                          lv_time now);

/* Reports the crashes that are certain by now. Call it several times a second.
 */
void crash_update(crash_detector *detector, lv_time now);

#endif
