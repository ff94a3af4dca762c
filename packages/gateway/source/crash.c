#include "lavender-gateway/crash.h"

#include <stdlib.h>
#include <string.h>

/* The connections of a crashed endpoint are seen to end within this time. */
#define SAME_CRASH_TIME (60 * LV_MILLISECOND)

/* Clocks of two instances and late loops tell one crash within this time. */
#define PEER_TOLERANCE (500 * LV_MILLISECOND)

/* A cut that nothing confirmed as a crash is forgotten after this long. */
#define CONFIRMATION_TIME (5 * LV_SECOND)

void
crash_init(crash_detector *detector, const crash_ops *ops, void *owner,
           qtn_table *blocks, qtn_table *requests)
{
    memset(detector, 0, sizeof *detector);
    detector->ops = ops;
    detector->owner = owner;
    detector->blocks = blocks;
    detector->requests = requests;
}

void
crash_record_end(crash_detector *detector, lv_id endpoint, lv_time now)
{
    crash_end *end = &detector->ends[detector->next_end];

    detector->next_end = (detector->next_end + 1) % CRASH_ENDS_MAX;
    end->endpoint = endpoint;
    end->at = now;
}

static void
free_keys(crash_cut *cut)
{
    free((void *)cut->blocks.keys);
    cut->blocks.keys = NULL;
    cut->blocks.count = 0;
}

static void
remove_cut(crash_detector *detector, crash_cut *cut)
{
    cut->endpoint = LV_ID_NONE;
    free_keys(cut);
    detector->cut_count--;
}

void
crash_finish(crash_detector *detector)
{
    uint32_t i;

    for (i = 0; i < CRASH_CUTS_MAX; i++) {
        free_keys(&detector->cuts[i]);
    }
}

/* Without memory the crash has one suspect less. */
static void
copy_keys(crash_cut *cut, const qtn_keys *from)
{
    size_t size = from->count * sizeof *from->keys;
    uint64_t *keys = size > 0 ? malloc(size) : NULL;

    if (keys != NULL) {
        memcpy(keys, from->keys, size);
    }
    cut->blocks.keys = keys;
    cut->blocks.count = keys != NULL ? from->count : 0;
}

void
crash_record_cut(crash_detector *detector, const crash_cut *cut)
{
    crash_cut *row = &detector->cuts[detector->next_cut];

    detector->next_cut = (detector->next_cut + 1) % CRASH_CUTS_MAX;
    detector->cut_count += row->endpoint == LV_ID_NONE;
    free_keys(row);
    *row = *cut;
    copy_keys(row, &cut->blocks);
    row->is_checked = false;
}

static bool
has_other_end(const crash_detector *detector, const crash_cut *cut)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < CRASH_ENDS_MAX; i++) {
        const crash_end *end = &detector->ends[i];

        count += end->endpoint == cut->endpoint &&
                 end->at + SAME_CRASH_TIME >= cut->at &&
                 cut->at + SAME_CRASH_TIME >= end->at;
    }
    return count >= 2;
}

static void
report_suspect(crash_detector *detector, const crash_cut *cut, lv_time at,
               lv_time now)
{
    lv_time exposure = lv_elapsed(cut->at, cut->sent_at);
    qtn_keys request = {.keys = &cut->digest,
                        .count = cut->digest != DIG_NONE};

    qtn_record_crash(detector->blocks, cut->endpoint, &cut->blocks,
                     cut->account, exposure, at, now);
    qtn_record_crash(detector->requests, cut->endpoint, &request, LV_ID_NONE,
                     exposure, at, now);
}

/* Reports all cuts of the crash that this one is of. */
static void
report_crash(crash_detector *detector, lv_id endpoint, lv_time at, lv_time now)
{
    uint32_t suspects = 0;
    uint32_t i;

    for (i = 0; i < CRASH_CUTS_MAX; i++) {
        crash_cut *cut = &detector->cuts[i];

        if (cut->endpoint != endpoint) {
            continue;
        }
        if (cut->is_suspect) {
            suspects++;
            report_suspect(detector, cut, at, now);
        }
        remove_cut(detector, cut);
    }
    if (suspects == 0) {
        qtn_record_crash(detector->blocks, endpoint, NULL, LV_ID_NONE, 0, at,
                         now);
        qtn_record_crash(detector->requests, endpoint, NULL, LV_ID_NONE, 0, at,
                         now);
    }
    detector->ops->on_crash(detector, endpoint, suspects, at);
}

void
crash_record_refusal(crash_detector *detector, lv_id endpoint, lv_time now)
{
    uint32_t i;

    for (i = 0; detector->cut_count > 0 && i < CRASH_CUTS_MAX; i++) {
        const crash_cut *cut = &detector->cuts[i];

        if (cut->endpoint == endpoint && cut->at < now) {
            report_crash(detector, endpoint, cut->at, now);
        }
    }
}

static void
check_cut(crash_detector *detector, crash_cut *cut, lv_time now)
{
    if (lv_elapsed(now, cut->at) < SAME_CRASH_TIME) {
        return;
    }
    if (!cut->is_checked) {
        cut->is_checked = true;
        if (detector->ops->is_connected(detector, cut->row)) {
            remove_cut(detector, cut);
            return;
        }
        if (has_other_end(detector, cut)) {
            report_crash(detector, cut->endpoint, cut->at, now);
            return;
        }
        detector->ops->probe(detector, cut->endpoint);
    }
    if (qtn_knows_crash(detector->blocks, cut->endpoint, cut->at,
                        PEER_TOLERANCE)) {
        report_crash(detector, cut->endpoint, cut->at, now);
    }
    else if (lv_elapsed(now, cut->at) >= CONFIRMATION_TIME) {
        remove_cut(detector, cut);
    }
}

void
crash_update(crash_detector *detector, lv_time now)
{
    uint32_t i;

    for (i = 0; detector->cut_count > 0 && i < CRASH_CUTS_MAX; i++) {
        if (detector->cuts[i].endpoint != LV_ID_NONE) {
            check_cut(detector, &detector->cuts[i], now);
        }
    }
}
