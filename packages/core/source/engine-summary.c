#include <string.h>

#include "engine-imp.h"

/* A summary is used for so long: several are lost before that. */
#define SUMMARY_LIFE (2 * LV_SECOND)

/* Others go on sending to an endpoint of which we only hear from time to
 * time, so that its queue does not shrink as if they had stopped. */
lv_time
eng_modelled_wait(const eng_endpoint *endpoint, lv_time now)
{
    lv_time own = lv_elapsed(endpoint->prefill_until, now);

    return own > endpoint->told.wait ? own : endpoint->told.wait;
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

    endpoint->told = *summary;
    endpoint->told_at = now;
    endpoint->prefill_until = now + summary->wait;
}

void
eng_expire_summaries(eng_table *table, lv_time now)
{
    lv_handle row;

    for (row = 0; row < table->capacity; row++) {
        eng_endpoint *endpoint = &table->endpoints[row];

        if (endpoint->told_at != 0 &&
            lv_elapsed(now, endpoint->told_at) >= SUMMARY_LIFE) {
            memset(&endpoint->told, 0, sizeof endpoint->told);
            endpoint->told_at = 0;
        }
    }
}
