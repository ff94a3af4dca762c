#ifndef LAVENDER_ADMISSION_IMP_H
#define LAVENDER_ADMISSION_IMP_H

#include "lavender/admission.h"

/* admission-allowance.c: how long requests may wait */

bool adm_is_over_share(const adm_request *request);

/* Returns how long the request may wait at the endpoint and still meet its
 * latency target, up to the usual allowance. The minimum is half of the usual
 * allowance: a request whose own prefill takes most of the target will be
 * late, but must not starve. */
lv_time adm_wait_allowance(const adm_settings *settings,
                           const adm_request *request,
                           const eng_prediction *prediction, lv_time now);

/* Returns an upper limit of adm_wait_allowance for any prediction. */
lv_time adm_max_wait_allowance(const adm_settings *settings,
                               const adm_request *request);

/* Returns until when the request may wait for an endpoint that takes none now:
 * as long as at one with a queue, and not beyond its deadline. */
lv_time adm_latest_free(const adm_settings *settings,
                        const adm_request *request);

/* Returns for how long the request must wait before it starts, so that the
 * streams at the engine do not pause for longer than the target between two
 * events: an engine that prefills without a break generates one token per
 * chunk. At most half of the target counts of the request's own prefill, and
 * an idle engine takes any request, so that the largest ones do not starve;
 * nor do accounts far under their share. */
lv_time adm_pause_excess(const adm_settings *settings,
                         const adm_request *request,
                         const eng_prediction *prediction);

#endif
