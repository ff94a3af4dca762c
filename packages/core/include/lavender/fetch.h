/*
 * Decides whether an endpoint fetches cached prompt blocks from another one
 * before it prefills a prompt, and from which. The choice of the endpoint that
 * runs the request is not changed by it.
 *
 * A source is another endpoint of the same service and software version that
 * may be sent requests itself. It is known from recorded uses to have the
 * blocks cached, or it is the affinity endpoint of the prompt, which is only
 * presumed to. A fetch from a source that has none of them returns nothing.
 */
#ifndef LAVENDER_FETCH_H
#define LAVENDER_FETCH_H

#include "lavender/engine.h"
#include "lavender/routing.h"

typedef struct fch_settings {
    /* Longest transfer in percent of the time to prefill the same tokens; 0:
     * nothing is fetched. */
    uint32_t max_transfer_percent;
} fch_settings;

/* Why a source was chosen, or none. */
typedef enum fch_reason {
    FCH_UNDECIDED,
    FCH_KNOWN,       /* the source is known to have the blocks */
    FCH_PRESUMED,    /* the source is presumed to have them */
    FCH_OFF,         /* by the settings or the service's configuration, or the
                        prompt has no shared blocks */
    FCH_CACHED,      /* the endpoint has all shared blocks itself */
    FCH_NO_SOURCE,   /* no endpoint that may be used has more of them */
    FCH_SMALL,       /* too few tokens */
    FCH_SLOW,        /* the transfer takes too long beside the prefill */
    FCH_SOURCE_LOST, /* the source may not be used any more */
    FCH_REASONS
} fch_reason;

typedef struct fch_request {
    const rt_service *service; /* NULL: not configured */
    const eng_prompt *prompt;
    lv_handle endpoint;  /* that the request is sent to */
    const lv_id *failed; /* endpoints that are not used as sources */
    uint32_t failed_count;
} fch_request;

/* What a source has cached of a prompt. */
typedef struct fch_offer {
    uint32_t tokens; /* at the start of the prompt; 0: there is no source */
    bool is_presumed;
} fch_offer;

typedef struct fch_choice {
    fch_reason reason;
    lv_handle source; /* LV_HANDLE_NONE: none */
    lv_id source_id;
    fch_offer offer;
    uint32_t tokens; /* offered beyond those known at the endpoint */
} fch_choice;

void fch_default_settings(fch_settings *settings);

/* Records when endpoints are seen first; call it at every tick. */
void fch_note_endpoints(eng_table *table, lv_time now);

/* Chooses the source. `prediction` is that of the request at its endpoint,
 * without a fetch. */
void fch_choose(const fch_settings *settings, const eng_table *table,
                const fch_request *request, const eng_prediction *prediction,
                lv_time now, fch_choice *choice);

/* May the source of an earlier choice still be used? */
bool fch_may_use(const eng_table *table, const fch_request *request,
                 const fch_choice *choice, lv_time now);

/* Changes a prediction to one with a fetch. Returns the prompt tokens that no
 * longer count as prefilled: all that are fetched from a known source, and a
 * part of those that the source is only presumed to have. Every instance that
 * counts the request applies it, so that they count the same. */
uint32_t fch_apply(const fch_settings *settings, const eng_table *table,
                   const rt_service *service, const eng_prompt *prompt,
                   const fch_offer *offer, eng_prediction *prediction);

/* Returns the reason as a static string for logs and metrics. */
const char *fch_reason_text(fch_reason reason);

#endif
