#include <string.h>

#include "quarantine-imp.h"

/* Own reports are repeated for this long, after pauses that double. */
#define REPORT_TIME (4 * LV_SECOND)
#define FIRST_REPORT_PAUSE (20 * LV_MILLISECOND)

/* Keys of a joint quarantine that others are told. */
#define CLAIMED_GROUP_MAX 16

/* Returns a current report of the same; NULL: there is none. */
static qtn_own_report *
find_report(qtn_table *table, const qtn_report *report)
{
    uint32_t i;

    for (i = 0; i < QTN_REPORTS_MAX; i++) {
        qtn_own_report *own = &table->reports[i];

        if (own->until != 0 && own->report.kind == report->kind &&
            own->report.key == report->key &&
            own->report.endpoint == report->endpoint &&
            own->report.account == report->account) {
            return own;
        }
    }
    return NULL;
}

/* Returns an unused row. If there is none, returns a weak report's row, or for
 * a report that is not weak any row; NULL if there is no such row. */
static qtn_own_report *
find_free_report(qtn_table *table, bool is_weak, lv_time now)
{
    qtn_own_report *weak = NULL;
    uint32_t i;

    for (i = 0; i < QTN_REPORTS_MAX; i++) {
        qtn_own_report *own =
            &table->reports[(table->next_report + i) % QTN_REPORTS_MAX];

        if (own->until <= now) {
            return own;
        }
        if (own->is_weak && weak == NULL) {
            weak = own;
        }
    }
    if (weak == NULL && !is_weak) {
        weak = &table->reports[table->next_report];
    }
    return weak;
}

void
qtn_add_report(qtn_table *table, const qtn_report *report, bool is_weak,
               lv_time at, lv_time now)
{
    qtn_own_report *own = find_report(table, report);

    if (own == NULL) {
        own = find_free_report(table, is_weak, now);
        if (own == NULL) {
            return;
        }
        own->until = 0;
        table->next_report =
            (uint32_t)(own - table->reports + 1) % QTN_REPORTS_MAX;
    }
    own->is_weak = is_weak;
    if (own->until <= now || at > own->at) {
        own->due_at = now;
        own->sends = 0;
    }
    own->report = *report;
    own->at = at;
    own->until = now + REPORT_TIME;
}

void
qtn_void_accusations(qtn_table *table, uint64_t key, lv_time cleared_until)
{
    uint32_t i;

    for (i = 0; i < QTN_REPORTS_MAX; i++) {
        qtn_own_report *own = &table->reports[i];

        if (own->until != 0 && own->report.kind == QTN_ACCUSED &&
            own->report.key == key && own->at < cleared_until) {
            own->until = 0;
        }
    }
}

static void
write_claim(const qtn_suspect *suspect, lv_time now, qtn_report *report)
{
    memset(report, 0, sizeof *report);
    report->kind = QTN_CLAIMED;
    report->key = suspect->key;
    report->account = suspect->account;
    report->is_for_all_accounts = suspect->has_other_accounts;
    report->group = suspect->group;
    report->trials = suspect->trials;
    report->idle = qtn_idle_time(suspect, now);
    report->age = lv_elapsed(now, suspect->last_crash_at);
}

/* A large group takes many datagrams, and an instance that knows only some of
 * its keys would refuse more requests, so it is not claimed. */
static bool
is_claimed(const qtn_table *table, const qtn_suspect *suspect)
{
    uint32_t size = 0;
    uint32_t i;

    for (i = 0; i < table->suspect_count && size <= CLAIMED_GROUP_MAX; i++) {
        size += qtn_is_needed(&table->suspects[i]) &&
                table->suspects[i].group == suspect->group;
    }
    return size <= CLAIMED_GROUP_MAX;
}

static uint32_t
collect_claims(qtn_table *table, lv_time now, qtn_report *reports,
               uint32_t max)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; table->quarantined_count > 0 && i < table->suspect_count &&
                count < max;
         i++) {
        const qtn_suspect *suspect =
            &table->suspects[(table->next_claim + i) % table->suspect_count];

        if (qtn_is_needed(suspect) && is_claimed(table, suspect)) {
            write_claim(suspect, now, &reports[count++]);
        }
    }
    table->next_claim += i;
    return count;
}

typedef enum report_priority {
    PRIORITY_CLEARANCE,
    PRIORITY_ACCUSATION,
    PRIORITY_WEAK
} report_priority;

static report_priority
find_priority(const qtn_own_report *own)
{
    if (own->is_weak) {
        return PRIORITY_WEAK;
    }
    return own->report.kind == QTN_CLEARED ? PRIORITY_CLEARANCE
                                           : PRIORITY_ACCUSATION;
}

static bool
is_due(const qtn_own_report *own, lv_time now)
{
    return own->until > now && own->due_at <= now;
}

bool
qtn_has_reports(const qtn_table *table, lv_time now)
{
    uint32_t i;

    for (i = 0; i < QTN_REPORTS_MAX; i++) {
        if (is_due(&table->reports[i], now)) {
            return true;
        }
    }
    return false;
}

/* Writes the own reports of one priority. */
static uint32_t
collect_own(qtn_table *table, report_priority priority, lv_time now,
            qtn_report *reports, uint32_t max)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < QTN_REPORTS_MAX && count < max; i++) {
        qtn_own_report *own =
            &table->reports[(table->next_to_send + i) % QTN_REPORTS_MAX];

        if (is_due(own, now) && find_priority(own) == priority) {
            own->due_at = now + (FIRST_REPORT_PAUSE << own->sends++);
            reports[count] = own->report;
            reports[count++].age = lv_elapsed(now, own->at);
        }
    }
    if (priority == PRIORITY_ACCUSATION) {
        table->next_to_send = (table->next_to_send + i) % QTN_REPORTS_MAX;
    }
    return count;
}

/* Where room is short, a key is better quarantined late than wrongly, so that
 * clearances go first; but many of them must not hold back the accusations of
 * a block that crashes endpoint after endpoint. */
uint32_t
qtn_collect_reports(qtn_table *table, lv_time now, qtn_report *reports,
                    uint32_t max)
{
    uint32_t count = collect_claims(table, now, reports, max / 4);

    count += collect_own(table, PRIORITY_CLEARANCE, now, reports + count,
                         (max - count) / 2);
    count += collect_own(table, PRIORITY_ACCUSATION, now, reports + count,
                         max - count);
    count += collect_own(table, PRIORITY_CLEARANCE, now, reports + count,
                         max - count);
    count +=
        collect_own(table, PRIORITY_WEAK, now, reports + count, max - count);
    return count;
}
