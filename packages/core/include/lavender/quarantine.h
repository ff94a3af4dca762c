/*
 * Quarantine of what crashes endpoints.
 *
 * When an endpoint crashes, it may have been the request whose answer it was
 * about to begin. The keys of all such requests are suspects; the rules of a
 * table say what its keys are. An answer that begins on a key afterwards, at
 * any endpoint, clears it. A key is quarantined when several endpoints crashed
 * under it, none began an answer on it in the meantime, and a sound key would
 * hardly have been in all of these crashes.
 *
 * Keys are blocks of prompts (qtn_block_rules): answers on other blocks tell
 * how likely a sound one is in a crash. Suspects that were present in nearly
 * the same crashes are quarantined jointly: only requests that have all of
 * them are refused, until a crash happens without one of them.
 *
 * Or the key is the digest of a whole request (qtn_request_rules), of which
 * there need not be others that are answered: it is quarantined when endpoint
 * after endpoint crashed that it was sent to, more often than they crash
 * without it.
 *
 * Instances share their crashes and answers in reports, so that each of them
 * decides on the evidence of the fleet. No report of a single other instance
 * quarantines a key; a few that have it in quarantine are followed.
 * Quarantine holds for the accounts whose requests crashed endpoints; when
 * there are two, for all. It ends when an answer begins: one instance of the
 * fleet lets a request through as a trial from time to time.
 *
 * A prompt may have thousands of blocks, so not all suspects of a crash need
 * fit, nor be told to the others. Keys without a known answer go first: an
 * answer on a block that crashes each endpoint never begins.
 */
#ifndef LAVENDER_QUARANTINE_H
#define LAVENDER_QUARANTINE_H

#include "lavender/map.h"

#define QTN_CRASHES_MAX 64 /* bits of qtn_suspect.crashes */
#define QTN_REPORTS_MAX 1024

/* Instances that must have a key in quarantine for others to follow them, in
 * a large fleet and in a small one; one less where the instance saw a crash
 * under the key itself. */
#define QTN_CLAIMANTS_MAX 4
#define QTN_CLAIMANTS_MIN 2

/* Crashes at different endpoints that a key is quarantined after. */
#define QTN_MIN_CRASHES 3

/* An answer that has lasted this long after its first output has begun; one
 * that a crash ends sooner may have caused it. */
#define QTN_BEGUN_AGE (250 * LV_MILLISECOND)

/* From the quarantine of a key to its first trial; the time to the next one
 * doubles each time. */
#define QTN_FIRST_TRIAL (20 * LV_SECOND)

typedef struct qtn_crash {
    lv_id endpoint; /* LV_ID_NONE: unused */
    lv_time at;
    lv_id service;         /* of the endpoint; LV_ID_NONE: not known */
    uint32_t service_size; /* endpoints of the service */
    uint32_t own_requests; /* of this instance, whose answers had not begun */
} qtn_crash;

/* What requests are told apart by: those with a key in common may crash
 * endpoints for the same reason. The keys, none of them 0, are the caller's
 * and of any number. */
typedef struct qtn_keys {
    const uint64_t *keys;
    uint32_t count;
} qtn_keys;

/* A key that endpoints crashed under, or that is quarantined. */
typedef struct qtn_suspect {
    uint64_t key;
    uint64_t crashes;                    /* set of indices of crashes */
    uint16_t exposures[QTN_CRASHES_MAX]; /* ms from the sending of the request
                                            to each of them */
    lv_time last_crash_at; /* also of crashes that only peers know */
    uint64_t answers;      /* of the table, at the first crash */
    uint32_t own_requests; /* of this instance, in the crashes */
    bool is_own;           /* this instance saw one of the crashes */
    bool is_reported;      /* and told others */
    uint64_t reporter;     /* the first other instance that reported one */
    bool has_two_reporters;
    lv_id account; /* of the first request */
    uint64_t other_account_reporter;
    bool has_other_accounts;
    bool is_quarantined;
    uint64_t group; /* the same for keys that are quarantined jointly */
    lv_time quarantined_at;
    bool is_explained; /* an endpoint crashed since then under another key of
                          the group, without this one */
    uint32_t trials;
    lv_time trial_at; /* of the next one */
    uint32_t claimant_count;
    uint64_t claimants[QTN_CLAIMANTS_MAX]; /* instances that have it in
                                              quarantine */
    lv_time claimed_at;
    lv_time refused_at; /* the latest request, by any instance; set if
                           is_kept_while_sent */
    uint64_t check;     /* of the table, when a request with it was checked */
} qtn_suspect;

/* A key of one crash that there was no row for among the suspects. */
typedef struct qtn_sighting {
    uint64_t key; /* 0: unused */
    lv_time at;   /* of the crash, as in its row */
    uint32_t crash;
    lv_id account;
} qtn_sighting;

/* The latest answer that began on a key. */
typedef struct qtn_answer {
    uint64_t key;
    lv_time begun_at; /* 0: unused */
} qtn_answer;

typedef enum qtn_report_kind {
    QTN_CRASHED, /* the endpoint crashed, without a suspect */
    QTN_ACCUSED, /* it crashed under the key */
    QTN_CLEARED, /* an answer began on the key */
    QTN_CLAIMED, /* the sender has the key in quarantine */
    QTN_REPORT_KINDS
} qtn_report_kind;

/* What instances tell each other. */
typedef struct qtn_report {
    qtn_report_kind kind;
    uint64_t key;
    lv_id endpoint; /* of QTN_CRASHED and QTN_ACCUSED */
    lv_id account;  /* of QTN_ACCUSED and QTN_CLAIMED; LV_ID_NONE: the requests
                       have none */

    /* Of QTN_ACCUSED. */
    lv_time exposure;   /* how long the endpoint had the request */
    lv_time answer_age; /* of the latest answer on the key, at the crash; 0:
                           none is known */

    /* Of QTN_CLAIMED. */
    uint64_t group;
    bool is_for_all_accounts;
    uint32_t trials;
    lv_time idle; /* since the latest request was refused, or crashed */

    lv_time age; /* of the (latest) crash or the first output */
} qtn_report;

/* A report of this instance, repeated for a while as datagrams may be lost. */
typedef struct qtn_own_report {
    qtn_report report; /* without its age */
    bool is_weak;      /* of a key that answers have begun on before */
    lv_time at;
    lv_time until; /* 0: unused */
    lv_time due_at;
    uint32_t sends;
} qtn_own_report;

typedef struct qtn_table qtn_table;

/* How the suspects of a table are judged. `settled` is the set of crashes that
 * are older than settle_time, `explained` that of the crashes under keys in
 * quarantine. */
typedef struct qtn_rules {
    uint32_t suspects_max;
    uint32_t sightings_max; /* 0: none */
    uint32_t answers_max;

    /* Returns the suspect that is to blame for most of the settled crashes
     * that nothing explains; NULL: none. */
    const qtn_suspect *(*find_culprit)(const qtn_table *table,
                                       uint64_t settled, uint64_t explained,
                                       lv_time now);

    /* Quarantines the culprit, and all that may as well be to blame. */
    void (*begin)(qtn_table *table, const qtn_suspect *culprit,
                  uint64_t settled, uint64_t explained, lv_time now);

    uint32_t trials_max; /* of one quarantine */

    lv_time cut_time; /* requests that are cut off so long after a crash were
                         sent to an endpoint that was down */
    lv_time answer_memory; /* an answer that began up to so long before a crash
                              clears its key of it, too */

    /* Does a quarantine last until no more requests come, rather than until
     * there are no more crashes? */
    bool is_kept_while_sent;
} qtn_rules;

/* Keys are the shared blocks of prompts. */
extern const qtn_rules qtn_block_rules;

/* The key is the digest of the request; its account is part of it. */
extern const qtn_rules qtn_request_rules;

typedef struct qtn_ops {
    /* A key was quarantined, or is no longer, or is tried: `change` is
     * "begun", "ended" or "trial". */
    void (*on_change)(qtn_table *table, const qtn_suspect *suspect,
                      const char *change);

    /* Is this instance the one of the fleet that tries the group? */
    bool (*may_try)(qtn_table *table, uint64_t group);

    /* Returns the service of an endpoint and how many endpoints it has;
     * LV_ID_NONE: not known. */
    lv_id (*find_service)(qtn_table *table, lv_id endpoint, uint32_t *size);
} qtn_ops;

typedef struct qtn_counts {
    uint64_t crashes; /* that this instance saw */
    uint64_t quarantined;
    uint64_t cleared; /* suspects */
    uint64_t trials;
} qtn_counts;

struct qtn_table {
    const qtn_rules *rules;
    const qtn_ops *ops;
    void *owner;

    /* From a crash until an answer that clears its suspects is known here; set
     * by the owner. */
    lv_time settle_time;
    uint32_t endpoint_count;   /* that requests with keys are sent to; set by
                                  the owner */
    uint32_t claimants_needed; /* set by the owner */
    lv_time watched_since;     /* the first qtn_update */
    qtn_crash crashes[QTN_CRASHES_MAX];
    uint32_t next_crash; /* index to overwrite */
    qtn_suspect *suspects;
    uint32_t suspect_count;
    uint32_t suspect_capacity;
    map_table by_key; /* index of a suspect */
    uint32_t
        next_candidate; /* suspect to compare first when there is no room */
    qtn_sighting *sightings; /* by hash of the key; NULL: none yet */
    uint32_t quarantined_count;
    uint64_t check_count;
    qtn_answer *answers;   /* by hash of the key; NULL: none yet */
    uint64_t answer_count; /* ever, of this instance */
    qtn_own_report reports[QTN_REPORTS_MAX];
    uint32_t next_report;  /* index to overwrite */
    uint32_t next_claim;   /* suspect to claim first */
    uint32_t next_to_send; /* report to send first */
    qtn_counts counts;
};

/* The arguments must outlive the table. Memory for suspects and answers is
 * allocated when there are some; without any, nothing new is quarantined. */
void qtn_init(qtn_table *table, const qtn_rules *rules, const qtn_ops *ops,
              void *owner);
void qtn_finish(qtn_table *table);

/* Returns when the latest known answer began on a key; 0: none is known. */
lv_time qtn_last_answer(const qtn_table *table, uint64_t key);

/* Records a crash of an endpoint that this instance saw. Call it once for each
 * request whose answer had not begun, or with keys of NULL when there was
 * none. `account` is that of the request, which the endpoint had for
 * `exposure`. */
void qtn_record_crash(qtn_table *table, lv_id endpoint, const qtn_keys *keys,
                      lv_id account, lv_time exposure, lv_time at,
                      lv_time now);

/* Records an answer that began at a time and did not end in a crash. */
void qtn_record_answer(qtn_table *table, const qtn_keys *keys,
                       lv_time begun_at, lv_time now);

/* Returns whether a crash of the endpoint is known, by any instance, within
 * `tolerance` of a time. */
bool qtn_knows_crash(const qtn_table *table, lv_id endpoint, lv_time at,
                     lv_time tolerance);

/* Applies a report of another instance, which `reporter` identifies. */
void qtn_apply_report(qtn_table *table, const qtn_report *report,
                      uint64_t reporter, lv_time now);

/* Returns the largest number of crashes under one of the keys that no answer
 * has cleared. */
uint32_t qtn_count_crashes(const qtn_table *table, const qtn_keys *keys);

/* Returns whether a report for the other instances is due. */
bool qtn_has_reports(const qtn_table *table, lv_time now);

/* Writes up to `max` reports for the other instances, which count as sent, and
 * returns their number. Successive calls write different ones if there are
 * more. */
uint32_t qtn_collect_reports(qtn_table *table, lv_time now,
                             qtn_report *reports, uint32_t max);

/* Quarantines what the evidence suffices for. Call it several times a second.
 */
void qtn_update(qtn_table *table, lv_time now);

/* Returns whether a request may not be sent to any endpoint. Writes when to
 * ask again. A request that `starts` now takes the trial that is due. */
bool qtn_is_refused(qtn_table *table, const qtn_keys *keys, lv_id account,
                    bool starts, lv_time now, lv_time *retry_after);

#endif
