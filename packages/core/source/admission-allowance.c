#include "admission-imp.h"

/* Percent of the usual wait allowance for an account over its fair share. The
 * allowance drops in one step at the share, which keeps all accounts near it;
 * with less than a step, accounts with a high demand stayed above
 * (core-test-admission-gap). */
#define OVER_SHARE_WAIT_PERCENT 30

/* An account that was served less than this fraction of its fair share has
 * FAR_UNDER_SHARE_WAIT_PERCENT of the usual allowance, which is as long as the
 * queues of requests with long latency targets: a late response is better than
 * none. */
#define FAR_UNDER_SHARE 0.5
#define FAR_UNDER_SHARE_WAIT_PERCENT 200

bool
adm_is_over_share(const adm_request *request)
{
    return request->share_ratio > 1;
}

/* Returns the fraction of the usual wait allowance for an account that was
 * served `share_ratio` times its fair share. Over the share it is
 * OVER_SHARE_WAIT_PERCENT divided by the square of the ratio, so that of two
 * such accounts the one with the lower ratio is served first. */
static double
allowance_factor(double share_ratio)
{
    if (share_ratio > 1) {
        return OVER_SHARE_WAIT_PERCENT / 100.0 / (share_ratio * share_ratio);
    }
    return 1;
}

static bool
is_far_under_share(const adm_request *request)
{
    return request->share_ratio > 0 && request->share_ratio < FAR_UNDER_SHARE;
}

lv_time
adm_wait_allowance(const adm_settings *settings, const adm_request *request,
                   const eng_prediction *prediction, lv_time now)
{
    lv_time allowance = request->target * settings->wait_percent / 100;
    lv_time used =
        prediction->service_time + lv_elapsed(now, request->received);
    lv_time remaining = lv_elapsed(request->target, used);

    if (is_far_under_share(request)) {
        return allowance * FAR_UNDER_SHARE_WAIT_PERCENT / 100;
    }
    allowance =
        (lv_time)((double)allowance * allowance_factor(request->share_ratio));
    if (remaining > allowance) {
        return allowance;
    }
    return remaining > allowance / 2 ? remaining : allowance / 2;
}

lv_time
adm_latest_free(const adm_settings *settings, const adm_request *request)
{
    lv_time usual = request->target * settings->wait_percent / 100;
    lv_time latest =
        request->received +
        (lv_time)((double)usual * allowance_factor(request->share_ratio));

    return request->deadline != 0 && request->deadline < latest
               ? request->deadline
               : latest;
}

lv_time
adm_max_wait_allowance(const adm_settings *settings,
                       const adm_request *request)
{
    lv_time usual = request->target * settings->wait_percent / 100;

    return is_far_under_share(request)
               ? usual * FAR_UNDER_SHARE_WAIT_PERCENT / 100
               : usual;
}

lv_time
adm_pause_excess(const adm_settings *settings, const adm_request *request,
                 const eng_prediction *prediction)
{
    lv_time target = request->gap_target;
    lv_time own = prediction->service_time;

    if (settings->pause_tokens == 0 || target == 0 ||
        prediction->learned_rate <= 0 || prediction->wait == 0 ||
        is_far_under_share(request) ||
        settings->pause_tokens <= prediction->learned_rate * (double)target /
                                      (double)LV_MILLISECOND) {
        return 0;
    }
    return lv_elapsed(prediction->wait + (own < target / 2 ? own : target / 2),
                      target);
}
