/*
 * How often an endpoint fails, as a share that forgets: recent results count
 * most, and without any the share falls, so that the endpoint is tried again
 * by itself. It weighs in the choice; nothing is ever ruled out by it alone,
 * because a service whose endpoints all fail must still be served.
 */
#ifndef LAVENDER_OUTLIER_H
#define LAVENDER_OUTLIER_H

#include "lavender/error.h"
#include "lavender/types.h"

typedef struct out_outlier {
    double share;    /* of failed requests, 0 to 1 */
    lv_time updated; /* when share was true */
} out_outlier;

void out_init(out_outlier *outlier);

/* A request ended; is_hard: the endpoint could not be reached at all. */
void out_record_success(out_outlier *outlier, lv_time now);
void out_record_failure(out_outlier *outlier, bool is_hard, lv_time now);

/* The share of failures to expect now. */
double out_share(const out_outlier *outlier, lv_time now);

#endif
