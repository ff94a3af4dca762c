#include <float.h>

#include "lavender/ledger.h"
#include "lavender/map.h"

typedef struct judgement {
    lv_id pool;
    uint64_t from;
    uint64_t to;
    lv_time backlog; /* in a window that counts */
    ledger_weight_of *weight_of;
    void *context;
    ledger_share *shares;
    uint32_t capacity;
    uint32_t count;
    map_table places;
} judgement;

static ledger_share *
share_of(judgement *judge, lv_id account)
{
    uint32_t place = map_find(&judge->places, account);

    if (place != LV_HANDLE_NONE) {
        return &judge->shares[place];
    }
    if (judge->count == judge->capacity ||
        !map_set(&judge->places, account, judge->count)) {
        return NULL;
    }
    judge->shares[judge->count] = (ledger_share){
        .account = account,
        .weight = judge->weight_of(judge->context, account),
    };
    return &judge->shares[judge->count++];
}

static void
add_line(void *context, const ledger_line *line)
{
    judgement *judge = context;
    ledger_share *share;

    if (line->pool != judge->pool || line->window < judge->from ||
        line->window > judge->to) {
        return;
    }
    share = share_of(judge, line->account);
    if (share != NULL) {
        share->received += line->service;
        share->windows += line->backlogged_time >= judge->backlog;
    }
}

static void
find_gap(judgement *judge, ledger_gap *gap)
{
    double least = DBL_MAX;
    double most = -DBL_MAX;
    double sum = 0;
    double received = 0;
    double weights = 0;

    *gap = (ledger_gap){0};
    for (uint32_t i = 0; i < judge->count; i++) {
        ledger_share *share = &judge->shares[i];
        double level;

        share->is_backlogged =
            share->weight > 0 && share->windows == judge->to - judge->from + 1;
        if (!share->is_backlogged) {
            continue;
        }
        level = (double)share->received / share->weight;
        least = level < least ? level : least;
        most = level > most ? level : most;
        sum += level;
        received += (double)share->received;
        weights += share->weight;
        gap->backlogged_count++;
    }
    if (gap->backlogged_count == 0) {
        return;
    }
    gap->max_difference = most - least;
    gap->mean = sum / gap->backlogged_count;
    for (uint32_t i = 0; i < judge->count; i++) {
        ledger_share *share = &judge->shares[i];

        if (share->is_backlogged) {
            share->owed = (int64_t)(received * share->weight / weights);
        }
    }
}

uint32_t
ledger_compute_gap(const ledger_store *ledger, lv_id pool, uint64_t from,
                   uint64_t to, lv_time window_length,
                   ledger_weight_of *weight_of, void *context,
                   ledger_share *shares, uint32_t capacity, ledger_gap *gap)
{
    judgement judge = {
        .pool = pool,
        .from = from,
        .to = to,
        .backlog = window_length * LEDGER_BACKLOG_PERCENT / 100,
        .weight_of = weight_of,
        .context = context,
        .shares = shares,
        .capacity = capacity,
    };

    map_init(&judge.places);
    ledger_for_each_line(ledger, add_line, &judge);
    map_finish(&judge.places);
    find_gap(&judge, gap);
    return judge.count;
}
