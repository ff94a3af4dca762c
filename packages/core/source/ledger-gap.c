#include <float.h>

#include "lavender/ledger.h"
#include "lavender/map.h"

typedef struct gap_computation {
    lv_id pool;
    uint64_t from;
    uint64_t to;
    lv_time min_backlog; /* time backlogged from which a window counts */
    ledger_weight_of *weight_of;
    void *context;
    ledger_share *shares;
    uint32_t capacity;
    uint32_t count;
    map_table share_indices;
} gap_computation;

static ledger_share *
find_or_add_share(gap_computation *computation, lv_id account)
{
    uint32_t index = map_find(&computation->share_indices, account);

    if (index != LV_HANDLE_NONE) {
        return &computation->shares[index];
    }
    if (computation->count == computation->capacity ||
        !map_set(&computation->share_indices, account, computation->count)) {
        return NULL;
    }
    computation->shares[computation->count] = (ledger_share){
        .account = account,
        .weight = computation->weight_of(computation->context, account),
    };
    return &computation->shares[computation->count++];
}

static void
add_line(void *context, const ledger_line *line)
{
    gap_computation *computation = context;
    ledger_share *share;

    if (line->pool != computation->pool || line->window < computation->from ||
        line->window > computation->to) {
        return;
    }
    share = find_or_add_share(computation, line->account);
    if (share != NULL) {
        share->received += line->service;
        share->backlogged_windows +=
            line->backlogged_time >= computation->min_backlog;
    }
}

static void
compute_gap(gap_computation *computation, ledger_gap *gap)
{
    double minimum = DBL_MAX;
    double maximum = -DBL_MAX;
    double level_sum = 0;
    double total_received = 0;
    double total_weight = 0;

    *gap = (ledger_gap){0};
    for (uint32_t i = 0; i < computation->count; i++) {
        ledger_share *share = &computation->shares[i];
        double level;

        share->is_backlogged =
            share->weight > 0 && share->backlogged_windows ==
                                     computation->to - computation->from + 1;
        if (!share->is_backlogged) {
            continue;
        }
        level = (double)share->received / share->weight;
        minimum = level < minimum ? level : minimum;
        maximum = level > maximum ? level : maximum;
        level_sum += level;
        total_received += (double)share->received;
        total_weight += share->weight;
        gap->backlogged_count++;
    }
    if (gap->backlogged_count == 0) {
        return;
    }
    gap->max_difference = maximum - minimum;
    gap->mean = level_sum / gap->backlogged_count;
    for (uint32_t i = 0; i < computation->count; i++) {
        ledger_share *share = &computation->shares[i];

        if (share->is_backlogged) {
            share->owed =
                (int64_t)(total_received * share->weight / total_weight);
        }
    }
}

uint32_t
ledger_compute_gap(const ledger_store *ledger, lv_id pool, uint64_t from,
                   uint64_t to, lv_time window_length,
                   ledger_weight_of *weight_of, void *context,
                   ledger_share *shares, uint32_t capacity, ledger_gap *gap)
{
    gap_computation computation = {
        .pool = pool,
        .from = from,
        .to = to,
        .min_backlog = window_length * LEDGER_BACKLOG_PERCENT / 100,
        .weight_of = weight_of,
        .context = context,
        .shares = shares,
        .capacity = capacity,
    };

    map_init(&computation.share_indices);
    ledger_for_each_line(ledger, add_line, &computation);
    map_finish(&computation.share_indices);
    compute_gap(&computation, gap);
    return computation.count;
}
