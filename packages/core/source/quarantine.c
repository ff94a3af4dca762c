#include "lavender/quarantine.h"

#include <stdlib.h>
#include <string.h>

#include "quarantine-imp.h"

/* Keys of one request that a crash is reported for, and of them such as
 * answers are known to have begun on. */
#define REPORTS_PER_REQUEST 256
#define WEAK_REPORTS_PER_REQUEST 16

/* An answer this long ago tells little of a key: it may crash endpoints only
 * since then. */
#define ANSWER_AGE_MAX (60 * LV_SECOND)

/* A crash of the same endpoint this much later is another one: the endpoint
 * has restarted under its id. */
#define SAME_CRASH_TIME (2 * LV_SECOND)

void
qtn_init(qtn_table *table, const qtn_rules *rules, const qtn_ops *ops,
         void *owner)
{
    memset(table, 0, sizeof *table);
    table->rules = rules;
    table->ops = ops;
    table->owner = owner;
    table->settle_time = 2 * QTN_BEGUN_AGE;
    table->endpoint_count = 1;
    table->claimants_needed = QTN_CLAIMANTS_MIN;
    map_init(&table->by_key);
}

void
qtn_finish(qtn_table *table)
{
    free(table->suspects);
    free(table->sightings);
    free(table->answers);
    map_finish(&table->by_key);
    memset(table, 0, sizeof *table);
}

static qtn_answer *
find_answer(const qtn_table *table, uint64_t key)
{
    return &table->answers[map_mix(key) % table->rules->answers_max];
}

lv_time
qtn_last_answer(const qtn_table *table, uint64_t key)
{
    const qtn_answer *answer =
        table->answers != NULL ? find_answer(table, key) : NULL;

    return answer != NULL && answer->key == key ? answer->begun_at : 0;
}

/* Empties a row of the crashes, which its suspects lose. */
static void
forget_crash(qtn_table *table, uint32_t index)
{
    uint32_t i;

    table->crashes[index].endpoint = LV_ID_NONE;
    for (i = table->suspect_count; i > 0; i--) {
        qtn_suspect *suspect = &table->suspects[i - 1];

        suspect->crashes &= ~((uint64_t)1 << index);
        if (suspect->crashes == 0 && !suspect->is_quarantined &&
            suspect->claimant_count == 0) {
            qtn_release(table, suspect);
        }
    }
}

static lv_time
distance(lv_time one, lv_time other)
{
    return one > other ? one - other : other - one;
}

/* Returns the index of a crash, which is added if it is new. */
static uint32_t
find_or_add_crash(qtn_table *table, lv_id endpoint, lv_time at)
{
    uint32_t i;

    for (i = 0; i < QTN_CRASHES_MAX; i++) {
        const qtn_crash *crash = &table->crashes[i];

        if (crash->endpoint == endpoint &&
            distance(crash->at, at) < SAME_CRASH_TIME) {
            return i;
        }
    }
    i = table->next_crash;
    table->next_crash = (i + 1) % QTN_CRASHES_MAX;
    if (table->crashes[i].endpoint != LV_ID_NONE) {
        forget_crash(table, i);
    }
    table->crashes[i].endpoint = endpoint;
    table->crashes[i].at = at;
    table->crashes[i].own_requests = 0;
    table->crashes[i].service_size = 0;
    table->crashes[i].service = table->ops->find_service(
        table, endpoint, &table->crashes[i].service_size);
    return i;
}

bool
qtn_knows_crash(const qtn_table *table, lv_id endpoint, lv_time at,
                lv_time tolerance)
{
    uint32_t i;

    for (i = 0; i < QTN_CRASHES_MAX; i++) {
        if (table->crashes[i].endpoint == endpoint &&
            distance(table->crashes[i].at, at) <= tolerance) {
            return true;
        }
    }
    return false;
}

/* Notes the account of a request, on the word of `reporter`; 0: this
 * instance. */
static void
add_account(qtn_suspect *suspect, lv_id account, uint64_t reporter)
{
    if (suspect->crashes == 0) {
        suspect->account = account;
    }
    else if (account != suspect->account) {
        if (reporter == 0 || (suspect->other_account_reporter != 0 &&
                              suspect->other_account_reporter != reporter)) {
            suspect->has_other_accounts = true;
        }
        suspect->other_account_reporter = reporter;
    }
}

static void
add_reporter(qtn_suspect *suspect, uint64_t reporter)
{
    if (reporter == 0) {
        suspect->is_own = true;
    }
    else if (suspect->reporter == 0) {
        suspect->reporter = reporter;
    }
    else if (suspect->reporter != reporter) {
        suspect->has_two_reporters = true;
    }
}

/* Of several copies of a request at the endpoint, the first one counts. */
static void
add_exposure(qtn_suspect *suspect, uint32_t crash, lv_time exposure)
{
    lv_time ms = exposure / LV_MILLISECOND;
    bool is_new = (suspect->crashes >> crash & 1) == 0;

    if (ms > UINT16_MAX) {
        ms = UINT16_MAX;
    }
    if (is_new || ms > suspect->exposures[crash]) {
        suspect->exposures[crash] = (uint16_t)ms;
    }
}

/* Returns the suspect, or NULL if the key is cleared, or there is no room. */
static qtn_suspect *
accuse(qtn_table *table, const qtn_report *report, uint64_t reporter,
       lv_time at, lv_time now)
{
    lv_time begun_at = qtn_last_answer(table, report->key);
    qtn_suspect *suspect;
    uint32_t crash;

    if (qtn_refutes(table, begun_at, at)) {
        qtn_report cleared = {.kind = QTN_CLEARED, .key = report->key};

        qtn_add_report(table, &cleared, reporter == 0, begun_at, now);
        return NULL;
    }
    crash = find_or_add_crash(table, report->endpoint, at);
    if (at - table->crashes[crash].at > table->rules->cut_time &&
        at > table->crashes[crash].at) {
        return NULL;
    }
    suspect = qtn_find_or_add(table, report->key, crash, report->account);
    if (suspect == NULL) {
        return NULL;
    }
    add_account(suspect, report->account, reporter);
    add_reporter(suspect, reporter);
    suspect->own_requests += reporter == 0;
    add_exposure(suspect, crash, report->exposure);
    suspect->crashes |= (uint64_t)1 << crash;
    if (at > suspect->last_crash_at) {
        suspect->last_crash_at = at;
    }
    return suspect;
}

static bool
is_answered(const qtn_table *table, uint64_t key, lv_time now)
{
    lv_time begun_at = qtn_last_answer(table, key);

    return begun_at != 0 && lv_elapsed(now, begun_at) < ANSWER_AGE_MAX;
}

/* Accuses the keys of a request that answers are known to have begun on
 * lately, or the others, and reports up to `max` of them. Returns how many
 * were reported. */
static uint32_t
accuse_keys(qtn_table *table, const qtn_keys *keys, bool are_answered,
            qtn_report *report, uint32_t max, lv_time at, lv_time now)
{
    uint32_t reported = 0;
    uint32_t i;

    for (i = 0; i < keys->count; i++) {
        qtn_suspect *suspect;

        report->key = keys->keys[i];
        if (is_answered(table, report->key, now) != are_answered) {
            continue;
        }
        report->answer_age =
            are_answered ? lv_elapsed(at, qtn_last_answer(table, report->key))
                         : 0;
        suspect = accuse(table, report, 0, at, now);
        if (suspect != NULL && reported < max) {
            suspect->is_reported = true;
            qtn_add_report(table, report, are_answered, at, now);
            reported++;
        }
    }
    return reported;
}

void
qtn_record_crash(qtn_table *table, lv_id endpoint, const qtn_keys *keys,
                 lv_id account, lv_time exposure, lv_time at, lv_time now)
{
    qtn_report report = {.kind = QTN_CRASHED, .endpoint = endpoint};
    uint32_t reported;

    table->counts.crashes += !qtn_knows_crash(table, endpoint, at, 0);
    if (keys == NULL || keys->count == 0) {
        find_or_add_crash(table, endpoint, at);
        qtn_add_report(table, &report, false, at, now);
        return;
    }
    report.kind = QTN_ACCUSED;
    report.account = account;
    report.exposure = exposure;
    reported =
        accuse_keys(table, keys, false, &report, REPORTS_PER_REQUEST, at, now);
    accuse_keys(table, keys, true, &report,
                reported < WEAK_REPORTS_PER_REQUEST
                    ? WEAK_REPORTS_PER_REQUEST - reported
                    : 0,
                at, now);
    table->crashes[find_or_add_crash(table, endpoint, at)].own_requests++;
}

static void
note_answer(qtn_table *table, uint64_t key, lv_time begun_at)
{
    const qtn_suspect *suspect = qtn_find(table, key);
    qtn_answer *answer;

    qtn_forget_sighting(table, key);
    if (suspect != NULL && suspect->is_reported) {
        qtn_void_accusations(table, key,
                             begun_at + table->rules->answer_memory);
    }
    if (table->answers == NULL) {
        table->answers =
            calloc(table->rules->answers_max, sizeof *table->answers);
    }
    if (table->answers == NULL) {
        return;
    }
    answer = find_answer(table, key);
    if (answer->key != key || begun_at > answer->begun_at) {
        answer->key = key;
        answer->begun_at = begun_at;
    }
}

bool
qtn_clear(qtn_table *table, uint64_t key, lv_time begun_at)
{
    qtn_suspect *suspect = qtn_find(table, key);
    lv_time cleared_until = begun_at + table->rules->answer_memory;
    uint32_t i;

    if (suspect == NULL) {
        return false;
    }
    if (cleared_until > suspect->last_crash_at) {
        qtn_release(table, suspect);
        table->counts.cleared++;
        return true;
    }
    for (i = 0; i < QTN_CRASHES_MAX; i++) {
        if (table->crashes[i].at < cleared_until) {
            suspect->crashes &= ~((uint64_t)1 << i);
        }
    }
    return true;
}

void
qtn_record_answer(qtn_table *table, const qtn_keys *keys, lv_time begun_at,
                  lv_time now)
{
    uint32_t i;

    table->answer_count += keys->count > 0;
    for (i = 0; i < keys->count; i++) {
        qtn_report report = {.kind = QTN_CLEARED, .key = keys->keys[i]};
        const qtn_suspect *suspect = qtn_find(table, report.key);
        bool is_known_to_others =
            suspect != NULL &&
            (suspect->is_reported || suspect->reporter != 0 ||
             suspect->claimant_count > 0);

        note_answer(table, report.key, begun_at);
        if (qtn_clear(table, report.key, begun_at) && is_known_to_others) {
            qtn_add_report(table, &report, false, begun_at, now);
        }
    }
}

void
qtn_apply_report(qtn_table *table, const qtn_report *report, uint64_t reporter,
                 lv_time now)
{
    lv_time at = lv_elapsed(now, report->age);
    bool is_current =
        report->age < QTN_RETENTION ||
        (report->kind == QTN_CLAIMED && report->idle < QTN_RETENTION);

    if (!is_current || (report->key == 0 && report->kind != QTN_CRASHED)) {
        return;
    }
    switch (report->kind) {
    case QTN_CRASHED:
        find_or_add_crash(table, report->endpoint, at);
        break;
    case QTN_ACCUSED:
        if (report->answer_age != 0) {
            note_answer(table, report->key,
                        lv_elapsed(at, report->answer_age));
        }
        accuse(table, report, reporter, at, now);
        break;
    case QTN_CLEARED:
        note_answer(table, report->key, at);
        qtn_clear(table, report->key, at);
        break;
    case QTN_CLAIMED:
        qtn_apply_claim(table, report, reporter, now);
        break;
    case QTN_REPORT_KINDS:
        break;
    }
}

uint32_t
qtn_count_crashes(const qtn_table *table, const qtn_keys *keys)
{
    uint32_t most = 0;
    uint32_t i;

    for (i = 0; i < keys->count; i++) {
        const qtn_suspect *suspect = qtn_find(table, keys->keys[i]);
        uint32_t crashes =
            suspect != NULL ? qtn_count_bits(suspect->crashes) : 0;

        most = crashes > most ? crashes : most;
    }
    return most;
}
