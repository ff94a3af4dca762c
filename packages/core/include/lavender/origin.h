/*
 * Where streams began: the software version of the endpoint that sent the
 * first event of a stream. What two versions of a service write does not fit
 * together, so a stream goes on only at the version that began it.
 *
 * An instance keeps the origins of the streams that it served. While a service
 * has several versions it tells each origin to a few holders, which rendezvous
 * hashing of the stream chooses among the instances, so that another instance
 * can ask them when a caller takes the stream up there. The word of one
 * instance is followed only where no other one says anything; an origin that
 * two report differently is not known.
 *
 * All memory is in the table; nothing is allocated.
 */
#ifndef LAVENDER_ORIGIN_H
#define LAVENDER_ORIGIN_H

#include "lavender/types.h"

#define ORG_STREAMS_MAX 16384 /* the oldest of few is forgotten first */
#define ORG_VERSIONS_MAX 64   /* of all services */

/* Holders that an origin is told to, and that are asked for it: instances may
 * have joined in between. */
#define ORG_HOLDERS 4
#define ORG_ASKED 6

/* A version of a service counts for this long after it was last listed:
 * streams that it began may be taken up. */
#define ORG_VERSION_TIME (60 * LV_SECOND)

#define ORG_VERSION_NONE 0 /* not known */

typedef struct org_stream {
    uint64_t key; /* of the attempt that brought the first event; 0: unused */
    lv_id version;
    lv_id service; /* of the endpoint; LV_ID_NONE: not known */
    lv_time at;
    bool is_own;         /* served by this instance */
    uint64_t reporter;   /* else the first one */
    bool is_confirmed;   /* by another one */
    bool is_conflicting; /* reported with different versions */
} org_stream;

typedef struct org_version {
    lv_id service; /* LV_ID_NONE: unused */
    lv_id version;
    lv_time listed_at; /* last */
} org_version;

typedef struct org_counts {
    uint64_t told;      /* own origins, to holders */
    uint64_t learned;   /* from others */
    uint64_t conflicts; /* reported differently */
} org_counts;

typedef struct org_table {
    org_stream streams[ORG_STREAMS_MAX]; /* by hash of the key */
    org_version versions[ORG_VERSIONS_MAX];
    org_counts counts;
} org_table;

void org_init(org_table *table);

/* Records that an endpoint of a service with this version is listed. Returns
 * whether the service has another version for the first time in
 * ORG_VERSION_TIME. */
bool org_note_version(org_table *table, lv_id service, lv_id version,
                      lv_time now);

/* Has the service had several versions in ORG_VERSION_TIME? */
bool org_is_mixed(const org_table *table, lv_id service, lv_time now);

/* Records a stream that this instance serves. */
void org_record(org_table *table, uint64_t key, lv_id version, lv_time now);

/* Records what another instance, which `reporter` identifies, reports of a
 * stream. */
void org_learn(org_table *table, uint64_t key, lv_id version,
               uint64_t reporter, lv_time now);

/* Notes the service of a stream that was recorded or learned. A service that
 * differs from one that is known makes the stream conflicting. */
void org_note_service(org_table *table, uint64_t key, lv_id service);

/* Returns the service of a stream, or LV_ID_NONE. */
lv_id org_find_service(const org_table *table, uint64_t key);

/* Returns the version that began a stream, or ORG_VERSION_NONE. */
lv_id org_find(const org_table *table, uint64_t key);

/* Returns the version that began a stream on the word of one other instance at
 * least, or ORG_VERSION_NONE. */
lv_id org_find_reported(const org_table *table, uint64_t key);

/* Was a stream reported with different versions? */
bool org_is_conflicting(const org_table *table, uint64_t key);

#endif
