/*
 * Admission control: starts a request at an endpoint, queues it at this
 * instance, or refuses it.
 *
 * The endpoint with the earliest predicted first token is chosen; prompt
 * tokens that it has to prefill add a cost, because they delay all other
 * requests. The request starts if the wait at the endpoint is within an
 * allowance, which is a part of the request's latency target. It is queued for
 * a short time if the wait is expected to fall below the allowance soon.
 * Otherwise it is refused at once, with the time after which capacity is
 * expected.
 *
 * Endpoints that may be sent no request now (eng_check_send) are not compared.
 * If there are no others, the request is queued for one that may be sent
 * requests again in time, as long as there is room for it beside those that
 * wait already.
 *
 * An endpoint of another zone costs what the request pays for leaving its zone
 * (locality.h). This chooses among endpoints where the request may start; it
 * never decides whether a request starts, so shares of accounts do not depend
 * on zones.
 */
#ifndef LAVENDER_ADMISSION_H
#define LAVENDER_ADMISSION_H

#include "lavender/engine.h"
#include "lavender/locality.h"

#define ADM_TRIED_MAX 8

typedef enum adm_verdict {
    ADM_START,
    ADM_QUEUE,
    ADM_REFUSE
} adm_verdict;

/* How the endpoint is chosen. ADM_MODE_LEAST_LOADED is a baseline to measure
 * the effect of the engine model. */
typedef enum adm_mode {
    ADM_MODE_MODEL,       /* earliest predicted first token */
    ADM_MODE_LEAST_LOADED /* fewest requests in flight; no request is refused
                             while a slot is free */
} adm_mode;

typedef struct adm_settings {
    adm_mode mode;
    uint32_t wait_percent;  /* maximum wait at an endpoint, in percent of the
                               latency target */
    uint32_t queue_percent; /* maximum time in the queue of this instance, in
                               percent of the latency target */
    uint32_t prefill_cost_percent; /* weight of the prefill time in the cost of
                                      an endpoint */
    lv_time min_retry_after;       /* minimum Retry-After */
    loc_settings locality;
    uint32_t pause_tokens; /* prompt tokens that an engine prefills, when it
                              prefills without a break, while it generates one
                              event of a stream; 0: pauses are not predicted */
} adm_settings;

typedef struct adm_request {
    lv_id service;
    lv_id version; /* of the endpoints that may be used (eng_spec.version_id);
                      LV_ID_NONE: any */
    const eng_prompt *prompt;
    lv_time received;
    lv_time target;     /* latency target */
    lv_time gap_target; /* of the time between two events; 0: none */
    lv_time deadline;   /* an answer after it is of no use; 0: none */
    uint32_t waiting;   /* requests of the service that this instance queues;
                           0 for one of them */
    double share_ratio; /* tokens served to the account as a fraction of its
                           fair share (shr_ratio); 0: not limited */
    uint32_t first_row; /* any number: the row to begin with; of endpoints with
                           the same cost the first is taken, so different
                           numbers spread the instances over them */
    bool avoids_cold;   /* cold endpoints count as taking none now */
    uint32_t tried_count;
    lv_handle tried[ADM_TRIED_MAX]; /* endpoints that are excluded */
    loc_request locality;           /* this instance's zone, and what leaving
                                       it costs; zeroes: nothing */
} adm_request;

typedef struct adm_decision {
    adm_verdict verdict;
    lv_handle endpoint;
    eng_prediction prediction;
    uint32_t candidate_count; /* number of endpoints that were compared */
    double share_ratio;       /* as in the request */
    lv_time retry_after;      /* valid for ADM_REFUSE */
    lv_time free_at;    /* when one that may be sent no request now may be sent
                           one; LV_TIME_NEVER: none of them */
    const char *reason; /* a static string for logs and metrics */
    loc_reason crossing; /* why the endpoint is in another zone */
} adm_decision;

void adm_default_settings(adm_settings *settings);

/* Returns whether the request may start at this endpoint now, and writes the
 * prediction. */
bool adm_may_start(const adm_settings *settings, const eng_table *table,
                   const adm_request *request, lv_handle endpoint, lv_time now,
                   eng_prediction *prediction);

/* Chooses an endpoint, and whether the request starts there, is queued, or is
 * refused. The endpoint is LV_HANDLE_NONE if there is no candidate. */
void adm_decide(const adm_settings *settings, const eng_table *table,
                const adm_request *request, lv_time now,
                adm_decision *decision);

#endif
