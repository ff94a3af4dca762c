#include "quarantine-imp.h"

/* A claim of another instance counts for this long. */
#define CLAIM_TIME (10 * LV_SECOND)

static void
add_claimant(qtn_suspect *suspect, uint64_t reporter, lv_time now)
{
    uint32_t i;

    if (lv_elapsed(now, suspect->claimed_at) >= CLAIM_TIME) {
        suspect->claimant_count = 0;
    }
    suspect->claimed_at = now;
    for (i = 0; i < suspect->claimant_count; i++) {
        if (suspect->claimants[i] == reporter) {
            return;
        }
    }
    if (suspect->claimant_count < QTN_CLAIMANTS_MAX) {
        suspect->claimants[suspect->claimant_count++] = reporter;
    }
}

static void
merge_claim(qtn_suspect *suspect, const qtn_report *report, lv_time now)
{
    lv_time crashed_at = lv_elapsed(now, report->age);
    lv_time refused_at = lv_elapsed(now, report->idle);

    if (report->trials > suspect->trials) {
        suspect->trials = report->trials;
        suspect->trial_at = now + qtn_trial_interval(suspect->trials);
    }
    if (crashed_at > suspect->last_crash_at) {
        suspect->last_crash_at = crashed_at;
    }
    if (report->idle < report->age && refused_at > suspect->refused_at) {
        suspect->refused_at = refused_at;
    }
}

void
qtn_apply_claim(qtn_table *table, const qtn_report *report, uint64_t reporter,
                lv_time now)
{
    lv_time begun_at = qtn_last_answer(table, report->key);
    qtn_suspect *suspect;

    if (qtn_refutes(table, begun_at, lv_elapsed(now, report->age))) {
        qtn_report cleared = {.kind = QTN_CLEARED, .key = report->key};

        qtn_add_report(table, &cleared, false, begun_at, now);
        return;
    }
    suspect =
        qtn_find_or_add(table, report->key, QTN_NO_CRASH, report->account);
    if (suspect == NULL) {
        return;
    }
    if (suspect->is_quarantined) {
        merge_claim(suspect, report, now);
        return;
    }
    merge_claim(suspect, report, now);
    add_claimant(suspect, reporter, now);
    if (suspect->claimant_count + suspect->is_own >= table->claimants_needed) {
        if (suspect->crashes == 0) {
            suspect->account = report->account;
        }
        suspect->has_other_accounts =
            suspect->has_other_accounts || report->is_for_all_accounts;
        qtn_begin(table, suspect, report->group, now);
    }
}
