/*
 * Quarantine of prompt blocks that crash endpoints.
 *
 * When an endpoint crashes, it may have been the request whose answer it was
 * about to begin. The shared blocks of all such requests are suspects. An
 * answer that begins on a block afterwards, at any endpoint, clears it. A
 * block is quarantined when several endpoints crashed under it, none began an
 * answer on it in the meantime, and answers on other blocks did begin: so many
 * that a sound block would hardly have been in all of these crashes.
 * Suspects that were present in nearly the same crashes are quarantined
 * jointly: only requests that have all of them are refused, until a crash
 * happens without one of them.
 *
 * Instances share their crashes and answers in reports, so that each of them
 * decides on the evidence of the fleet. No report of a single other instance
 * quarantines a block; a few that have it in quarantine are followed.
 * Quarantine holds for the accounts whose requests crashed endpoints; when
 * there are two, for all. It ends when an answer begins: one instance of the
 * fleet lets a request through as a trial from time to time.
 *
 * All memory is in the table; nothing is allocated.
 */
#ifndef LAVENDER_QUARANTINE_H
#define LAVENDER_QUARANTINE_H

#include "lavender/engine.h"

#define QTN_CRASHES_MAX 64 /* bits of qtn_suspect.crashes */
#define QTN_SUSPECTS_MAX 128
#define QTN_ANSWERS_MAX 2048
#define QTN_REPORTS_MAX 64

/* Instances that must have a block in quarantine for others to follow them, in
 * a large fleet and in a small one; one less where the instance saw a crash
 * under the block itself. */
#define QTN_CLAIMANTS_MAX 4
#define QTN_CLAIMANTS_MIN 2

/* Crashes at different endpoints that a block is quarantined after. */
#define QTN_MIN_CRASHES 3

/* An answer that has lasted this long after its first output has begun; one
 * that a crash ends sooner may have caused it. */
#define QTN_BEGUN_AGE (250 * LV_MILLISECOND)

/* From the quarantine of a block to its first trial; the time to the next one
 * doubles each time. */
#define QTN_FIRST_TRIAL (20 * LV_SECOND)

typedef struct qtn_crash {
    lv_id endpoint; /* LV_ID_NONE: unused */
    lv_time at;
    uint32_t own_requests; /* of this instance, whose answers had not begun */
} qtn_crash;

/* A block that endpoints crashed under, or that is quarantined. */
typedef struct qtn_suspect {
    bool is_used;
    uint64_t block;
    uint64_t crashes;      /* set of indices of crashes */
    lv_time last_crash_at; /* also of crashes that only peers know */
    uint64_t answers;      /* of the table, at the first crash */
    uint32_t own_requests; /* of this instance, in the crashes */
    bool is_own;           /* this instance saw one of the crashes */
    uint64_t reporter;     /* the first other instance that reported one */
    bool has_two_reporters;
    lv_id account; /* of the first request */
    uint64_t other_account_reporter;
    bool has_other_accounts;
    bool is_quarantined;
    uint64_t group; /* the same for blocks that are quarantined jointly */
    lv_time quarantined_at;
    bool is_explained; /* an endpoint crashed since then under another block of
                          the group, without this one */
    uint32_t trials;
    lv_time trial_at; /* of the next one */
    uint32_t claimant_count;
    uint64_t claimants[QTN_CLAIMANTS_MAX]; /* instances that have it in
                                              quarantine */
    lv_time claimed_at;
} qtn_suspect;

/* The latest answer that began on a block. */
typedef struct qtn_answer {
    uint64_t block;
    lv_time begun_at; /* 0: unused */
} qtn_answer;

typedef enum qtn_report_kind {
    QTN_CRASHED, /* the endpoint crashed, without a suspect */
    QTN_ACCUSED, /* it crashed under the block */
    QTN_CLEARED, /* an answer began on the block */
    QTN_CLAIMED, /* the sender has the block in quarantine */
    QTN_REPORT_KINDS
} qtn_report_kind;

/* What instances tell each other. */
typedef struct qtn_report {
    qtn_report_kind kind;
    uint64_t block;
    lv_id endpoint; /* of QTN_CRASHED and QTN_ACCUSED */
    lv_id account;  /* of QTN_ACCUSED and QTN_CLAIMED; LV_ID_NONE: the requests
                       have none */

    /* Of QTN_CLAIMED. */
    uint64_t group;
    bool is_for_all_accounts;
    uint32_t trials;

    lv_time age; /* of the (latest) crash or the first output */
} qtn_report;

/* A report of this instance, repeated for a while as datagrams may be lost. */
typedef struct qtn_own_report {
    qtn_report report; /* without its age */
    lv_time at;
    lv_time until; /* 0: unused */
    lv_time due_at;
    uint32_t sends;
} qtn_own_report;

typedef struct qtn_table qtn_table;

typedef struct qtn_ops {
    /* A block was quarantined, or is no longer, or is tried: `change` is
     * "begun", "ended" or "trial". */
    void (*on_change)(qtn_table *table, const qtn_suspect *suspect,
                      const char *change);

    /* Is this instance the one of the fleet that tries the group? */
    bool (*may_try)(qtn_table *table, uint64_t group);
} qtn_ops;

typedef struct qtn_counts {
    uint64_t crashes; /* that this instance saw */
    uint64_t quarantined;
    uint64_t cleared; /* suspects */
    uint64_t trials;
} qtn_counts;

struct qtn_table {
    const qtn_ops *ops;
    void *owner;

    /* From a crash until an answer that clears its suspects is known here; set
     * by the owner. */
    lv_time settle_time;
    uint32_t endpoint_count;   /* that prompts are sent to; set by the owner */
    uint32_t claimants_needed; /* set by the owner */
    qtn_crash crashes[QTN_CRASHES_MAX];
    uint32_t next_crash; /* index to overwrite */
    qtn_suspect suspects[QTN_SUSPECTS_MAX];
    uint32_t suspect_count;
    uint32_t quarantined_count;
    qtn_answer answers[QTN_ANSWERS_MAX]; /* by hash of the block */
    uint64_t answer_count;               /* ever, of this instance */
    qtn_own_report reports[QTN_REPORTS_MAX];
    uint32_t next_report;  /* index to overwrite */
    uint32_t next_claim;   /* suspect to claim first */
    uint32_t next_to_send; /* report to send first */
    qtn_counts counts;
};

/* `ops` and `owner` must outlive the table. */
void qtn_init(qtn_table *table, const qtn_ops *ops, void *owner);

/* Records a crash of an endpoint that this instance saw. Call it once for each
 * request whose answer had not begun, or with a prompt of NULL when there was
 * none. `account` is that of the request. */
void qtn_record_crash(qtn_table *table, lv_id endpoint,
                      const eng_prompt *prompt, lv_id account, lv_time at,
                      lv_time now);

/* Records an answer that began at a time and did not end in a crash. */
void qtn_record_answer(qtn_table *table, const eng_prompt *prompt,
                       lv_time begun_at, lv_time now);

/* Returns whether a crash of the endpoint is known, by any instance, within
 * `tolerance` of a time. */
bool qtn_knows_crash(const qtn_table *table, lv_id endpoint, lv_time at,
                     lv_time tolerance);

/* Applies a report of another instance, which `reporter` identifies. */
void qtn_apply_report(qtn_table *table, const qtn_report *report,
                      uint64_t reporter, lv_time now);

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
bool qtn_is_refused(qtn_table *table, const eng_prompt *prompt, lv_id account,
                    bool starts, lv_time now, lv_time *retry_after);

#endif
