/*
 * Admission: where a request runs, or that it waits, or that it is refused.
 *
 * The endpoint with the earliest predicted first token is chosen, where
 * prompt tokens that it would have to read count as a cost to all others. A
 * request starts when the wait there is within its allowance, which is a
 * part of its aim; it waits here for a moment when the wait is expected to
 * fall within it soon, and otherwise is refused at once with the time after
 * which there should be room.
 */
#ifndef LAVENDER_ADMISSION_H
#define LAVENDER_ADMISSION_H

#include "lavender/engine.h"

#define ADM_TRIED_MAX 8

typedef enum adm_verdict {
    ADM_START,
    ADM_QUEUE,
    ADM_REFUSE
} adm_verdict;

/* A switch to measure what the engine model brings. */
typedef enum adm_mode {
    ADM_MODE_MODEL,       /* predicted first token */
    ADM_MODE_LEAST_LOADED /* fewest requests in flight; nothing is refused
                             while a slot is free */
} adm_mode;

typedef struct adm_settings {
    adm_mode mode;
    uint32_t wait_percent;  /* of the aim: longest wait at an endpoint */
    uint32_t queue_percent; /* of the aim: longest wait here */
    uint32_t prefill_cost_percent; /* weight of the time to read a prompt */
    lv_time min_retry_after;       /* shortest Retry-After */
} adm_settings;

typedef struct adm_request {
    lv_id service;
    const eng_prompt *prompt;
    lv_time received;
    lv_time target;
    double share_ratio; /* what the account got, in parts of what it is due */
    uint32_t first_row; /* any number: endpoints that are alike are taken from
                           here on, so that instances spread over them */
    uint32_t tried_count;
    lv_handle tried[ADM_TRIED_MAX]; /* endpoints that are not asked again */
} adm_request;

typedef struct adm_decision {
    adm_verdict verdict;
    lv_handle endpoint;
    eng_prediction prediction;
    uint32_t candidate_count; /* endpoints that were weighed */
    double share_ratio;       /* as in the request */
    lv_time retry_after;      /* ADM_REFUSE */
    const char *reason;       /* a stable word */
} adm_decision;

void adm_default_settings(adm_settings *settings);

/* May the request start at this endpoint now? */
bool adm_may_start(const adm_settings *settings, const eng_table *table,
                   const adm_request *request, lv_handle endpoint, lv_time now,
                   eng_prediction *prediction);

void adm_decide(const adm_settings *settings, const eng_table *table,
                const adm_request *request, lv_time now,
                adm_decision *decision);

#endif
