#include <string.h>

#include "quarantine-imp.h"

/* Crashes within this time may have one cause, such as a failing zone, and
 * count as one. */
#define SAME_CAUSE_TIME (100 * LV_MILLISECOND)

/* Crashes without a key of a joint quarantine that show that it is not
 * needed. */
#define MIN_LATER_CRASHES 2

/* The time to the next trial stops to double here. */
#define MAX_TRIAL_DOUBLINGS 5

lv_time
qtn_trial_interval(uint32_t trials)
{
    return QTN_FIRST_TRIAL << (trials < MAX_TRIAL_DOUBLINGS
                                   ? trials
                                   : MAX_TRIAL_DOUBLINGS);
}

void
qtn_begin(qtn_table *table, qtn_suspect *suspect, uint64_t group, lv_time now)
{
    suspect->is_quarantined = true;
    suspect->group = group;
    suspect->quarantined_at = now;
    suspect->trial_at = now + qtn_trial_interval(suspect->trials);
    table->quarantined_count++;
    table->counts.quarantined++;
    table->ops->on_change(table, suspect, "begun");
}

static void
insert_sorted(lv_time *times, uint32_t count, lv_time time)
{
    while (count > 0 && times[count - 1] > time) {
        times[count] = times[count - 1];
        count--;
    }
    times[count] = time;
}

uint32_t
qtn_count_causes(const qtn_table *table, uint64_t crashes)
{
    lv_time times[QTN_CRASHES_MAX];
    lv_time last = 0;
    uint32_t count = 0;
    uint32_t causes = 0;
    uint32_t i;

    for (i = 0; i < QTN_CRASHES_MAX; i++) {
        if ((crashes >> i & 1) != 0) {
            insert_sorted(times, count++, table->crashes[i].at);
        }
    }
    for (i = 0; i < count; i++) {
        if (causes == 0 || times[i] - last >= SAME_CAUSE_TIME) {
            causes++;
            last = times[i];
        }
    }
    return causes;
}

/* Returns the crashes that all needed keys of a group were present in. */
static uint64_t
group_crashes(const qtn_table *table, uint64_t group)
{
    uint64_t crashes = UINT64_MAX;
    uint32_t i;

    for (i = 0; i < table->suspect_count; i++) {
        const qtn_suspect *suspect = &table->suspects[i];

        if (qtn_is_needed(suspect) && suspect->group == group) {
            crashes &= suspect->crashes;
        }
    }
    return crashes;
}

/* Returns the set of crashes that keys in quarantine explain. */
static uint64_t
explained_crashes(const qtn_table *table)
{
    uint64_t explained = 0;
    uint64_t last_group = 0;
    uint32_t i;

    for (i = 0; table->quarantined_count > 0 && i < table->suspect_count;
         i++) {
        const qtn_suspect *suspect = &table->suspects[i];

        if (qtn_is_needed(suspect) && suspect->group != last_group) {
            last_group = suspect->group;
            explained |= group_crashes(table, last_group);
        }
    }
    return explained;
}

/* Returns the crashes that are older than settle_time. */
static uint64_t
settled_crashes(const qtn_table *table, lv_time now)
{
    uint64_t settled = 0;
    uint32_t i;

    for (i = 0; i < QTN_CRASHES_MAX; i++) {
        if (table->crashes[i].endpoint != LV_ID_NONE &&
            lv_elapsed(now, table->crashes[i].at) >= table->settle_time) {
            settled |= (uint64_t)1 << i;
        }
    }
    return settled;
}

/* Returns the settled crashes since the quarantine of a key began. */
static uint64_t
later_crashes(const qtn_table *table, const qtn_suspect *suspect,
              uint64_t settled)
{
    uint64_t later = 0;
    uint32_t i;

    for (i = 0; i < QTN_CRASHES_MAX; i++) {
        if (table->crashes[i].at > suspect->quarantined_at) {
            later |= (uint64_t)1 << i;
        }
    }
    return later & settled;
}

/* Is there a suspect of all of the crashes outside the group? */
static bool
has_other_suspect(const qtn_table *table, uint64_t group, uint64_t crashes)
{
    uint32_t i;

    for (i = 0; i < table->suspect_count; i++) {
        const qtn_suspect *suspect = &table->suspects[i];

        if ((!suspect->is_quarantined || suspect->group != group) &&
            (suspect->crashes & crashes) == crashes) {
            return true;
        }
    }
    return false;
}

/* Did endpoints crash since under the other key of the group, without this
 * one, and for no other reason that is known? */
static bool
is_explained_by(const qtn_table *table, const qtn_suspect *one,
                const qtn_suspect *other, uint64_t later)
{
    uint64_t crashes = later & other->crashes;

    if (!qtn_is_needed(other) || other->group != one->group) {
        return false;
    }
    return (one->crashes & crashes) == 0 &&
           qtn_count_bits(crashes) >= MIN_LATER_CRASHES &&
           !has_other_suspect(table, one->group, crashes);
}

/* Marks the keys of joint quarantines without which endpoints crashed
 * since. */
static void
narrow_groups(qtn_table *table, uint64_t settled)
{
    uint32_t i, j;

    for (i = 0; table->quarantined_count > 1 && i < table->suspect_count;
         i++) {
        qtn_suspect *one = &table->suspects[i];
        uint64_t later =
            qtn_is_needed(one) ? later_crashes(table, one, settled) : 0;

        if (qtn_count_bits(later) < MIN_LATER_CRASHES) {
            continue;
        }
        for (j = 0; qtn_is_needed(one) && j < table->suspect_count; j++) {
            one->is_explained =
                is_explained_by(table, one, &table->suspects[j], later);
        }
    }
}

static void
expire(qtn_table *table, lv_time now)
{
    uint32_t i;

    for (i = table->suspect_count; i > 0; i--) {
        qtn_suspect *suspect = &table->suspects[i - 1];

        if (qtn_idle_time(suspect, now) >= QTN_RETENTION) {
            qtn_release(table, suspect);
        }
    }
}

void
qtn_update(qtn_table *table, lv_time now)
{
    uint64_t settled;
    uint64_t explained;
    const qtn_suspect *culprit;

    if (table->watched_since == 0) {
        table->watched_since = now;
    }
    if (table->suspect_count == 0) {
        return;
    }
    expire(table, now);
    settled = settled_crashes(table, now);
    narrow_groups(table, settled);
    explained = explained_crashes(table);
    while ((culprit = table->rules->find_culprit(table, settled, explained,
                                                 now)) != NULL) {
        uint64_t crashes = culprit->crashes;

        table->rules->begin(table, culprit, settled, explained, now);
        explained |= crashes;
    }
}
