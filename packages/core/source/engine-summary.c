#include <string.h>

#include "engine-imp.h"

/* Age at which a reported summary expires: several reports are lost before it
 * is reached. */
#define SUMMARY_EXPIRY (2 * LV_SECOND)

/* Between two reports the other instances continue to send requests, so the
 * queue is not modelled as shorter than it was reported. */
lv_time
eng_modelled_wait(const eng_endpoint *endpoint, lv_time now)
{
    lv_time modelled = lv_elapsed(endpoint->prefill_until, now);

    return modelled > endpoint->reported.wait ? modelled
                                              : endpoint->reported.wait;
}

void
eng_summarize(const eng_table *table, lv_handle row, lv_time now,
              eng_summary *summary)
{
    const eng_endpoint *endpoint = &table->endpoints[row];

    summary->in_flight = eng_in_flight(endpoint);
    summary->kv_tokens = (uint32_t)eng_kv_used(endpoint);
    summary->wait = lv_elapsed(endpoint->prefill_until, now);
}

void
eng_apply_summary(eng_table *table, lv_handle row, const eng_summary *summary,
                  lv_time now)
{
    eng_endpoint *endpoint = &table->endpoints[row];

    endpoint->reported = *summary;
    endpoint->reported_at = now;
    endpoint->prefill_until = now + summary->wait;
}

void
eng_expire_summaries(eng_table *table, lv_time now)
{
    lv_handle row;

    for (row = 0; row < table->capacity; row++) {
        eng_endpoint *endpoint = &table->endpoints[row];

        if (endpoint->reported_at != 0 &&
            lv_elapsed(now, endpoint->reported_at) >= SUMMARY_EXPIRY) {
            memset(&endpoint->reported, 0, sizeof endpoint->reported);
            endpoint->reported_at = 0;
        }
    }
}
