#include <string.h>

#include "quarantine-imp.h"

/* Crashes within this time may have one cause, such as a failing zone, and
 * count as one. */
#define SAME_CAUSE_TIME (100 * LV_MILLISECOND)

/* Answers on other blocks that must have begun here since the first crash: if
 * none begin, the endpoints are at fault and not the block. */
#define MIN_OTHER_ANSWERS 4

/* A block is quarantined if a sound one would be in all of its crashes with at
 * most this probability. */
#define MAX_CHANCE 0.0003

/* When crashes end most requests, MAX_CHANCE is not reached. A block is then
 * quarantined after this many separate crashes without an answer on it, once
 * this many answers on other blocks have begun here. */
#define STORM_CAUSES 6
#define STORM_ANSWERS 120

/* How long a request may be cut off by a crash before its answer has begun,
 * for an estimate. */
#define EXPOSED_TIME (500 * LV_MILLISECOND)

/* Rates are taken over this time at least. */
#define MIN_RATE_TIME LV_SECOND

/* A block that was present in this part of the crashes of another one is
 * quarantined jointly with it. */
#define JOINT_PERCENT 75

/* Crashes without a block of a joint quarantine that show that it is not
 * needed. */
#define MIN_LATER_CRASHES 2

/* The time to the next trial stops to double here. */
#define MAX_TRIAL_DOUBLINGS 5

static uint32_t
count_bits(uint64_t set)
{
    return (uint32_t)__builtin_popcountll(set);
}

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

/* Returns how many crashes of a set have causes of their own. */
static uint32_t
count_causes(const qtn_table *table, uint64_t crashes)
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

static bool
is_corroborated(const qtn_table *table, const qtn_suspect *suspect)
{
    return (suspect->is_own || suspect->has_two_reporters) &&
           table->answer_count - suspect->answers >= MIN_OTHER_ANSWERS;
}

/* Returns the crashes that all needed blocks of a group were present in. */
static uint64_t
group_crashes(const qtn_table *table, uint64_t group)
{
    uint64_t crashes = UINT64_MAX;
    uint32_t i;

    for (i = 0; i < QTN_SUSPECTS_MAX; i++) {
        const qtn_suspect *suspect = &table->suspects[i];

        if (qtn_is_needed(suspect) && suspect->group == group) {
            crashes &= suspect->crashes;
        }
    }
    return crashes;
}

/* Returns the set of crashes that blocks in quarantine explain. */
static uint64_t
explained_crashes(const qtn_table *table)
{
    uint64_t explained = 0;
    uint32_t i;

    for (i = 0; table->quarantined_count > 0 && i < QTN_SUSPECTS_MAX; i++) {
        if (qtn_is_needed(&table->suspects[i])) {
            explained |= group_crashes(table, table->suspects[i].group);
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

/* The crashes since the first one of a suspect, but those that blocks in
 * quarantine explain. */
typedef struct crash_period {
    lv_time began_at;
    uint32_t crashes;
    uint32_t own_requests; /* in them, without those of the suspect */
} crash_period;

static void
find_period(const qtn_table *table, const qtn_suspect *suspect,
            uint64_t crashes, uint64_t explained, lv_time now,
            crash_period *period)
{
    uint32_t i;

    memset(period, 0, sizeof *period);
    period->began_at = now;
    for (i = 0; i < QTN_CRASHES_MAX; i++) {
        if ((crashes >> i & 1) != 0 &&
            table->crashes[i].at < period->began_at) {
            period->began_at = table->crashes[i].at;
        }
    }
    for (i = 0; i < QTN_CRASHES_MAX; i++) {
        const qtn_crash *crash = &table->crashes[i];

        if ((explained >> i & 1) == 0 && crash->endpoint != LV_ID_NONE &&
            crash->at >= period->began_at) {
            period->crashes++;
            period->own_requests += crash->own_requests;
        }
    }
    period->own_requests -= period->own_requests < suspect->own_requests
                                ? period->own_requests
                                : suspect->own_requests;
}

/* Estimates which part of the requests with a sound block crashes end before
 * their answers begin: from the other requests of this instance, and from the
 * crashes of the fleet. */
static double
loss_rate(const qtn_table *table, const qtn_suspect *suspect, uint64_t crashes,
          uint64_t explained, lv_time now)
{
    crash_period period;
    lv_time elapsed;
    double answers = (double)(table->answer_count - suspect->answers);
    double own_rate, fleet_rate;

    find_period(table, suspect, crashes, explained, now, &period);
    elapsed = lv_elapsed(now, period.began_at);
    elapsed = elapsed > MIN_RATE_TIME ? elapsed : MIN_RATE_TIME;
    own_rate =
        (period.own_requests + 0.5) / (period.own_requests + answers + 1);
    fleet_rate = period.crashes * (double)EXPOSED_TIME /
                 ((double)elapsed * table->endpoint_count);
    return own_rate > fleet_rate ? own_rate : fleet_rate;
}

/* Could a sound block be in all of these crashes by chance? */
static bool
is_chance(const qtn_table *table, const qtn_suspect *suspect, uint64_t crashes,
          uint64_t explained, lv_time now)
{
    double rate = loss_rate(table, suspect, crashes, explained, now);
    double chance = 1;

    for (; crashes != 0; crashes &= crashes - 1) {
        chance *= rate;
    }
    return chance > MAX_CHANCE;
}

static bool
is_cause_of_storm(const qtn_table *table, const qtn_suspect *suspect,
                  uint32_t causes)
{
    return causes >= STORM_CAUSES &&
           table->answer_count - suspect->answers >= STORM_ANSWERS;
}

/* Returns the suspect of most of the settled crashes that nothing explains;
 * NULL if it is none of enough. */
static const qtn_suspect *
find_culprit(const qtn_table *table, uint64_t settled, uint64_t explained,
             lv_time now)
{
    uint64_t crashes = settled & ~explained;
    const qtn_suspect *culprit = NULL;
    uint32_t most = QTN_MIN_CRASHES - 1;
    uint32_t i;

    for (i = 0; i < QTN_SUSPECTS_MAX; i++) {
        const qtn_suspect *suspect = &table->suspects[i];
        uint32_t causes;

        if (!suspect->is_used || suspect->is_quarantined ||
            !is_corroborated(table, suspect)) {
            continue;
        }
        causes = count_causes(table, suspect->crashes & crashes);
        if (causes > most &&
            (is_cause_of_storm(table, suspect, causes) ||
             !is_chance(table, suspect, suspect->crashes & crashes, explained,
                        now))) {
            most = causes;
            culprit = suspect;
        }
    }
    return culprit;
}

/* Returns the settled crashes since the quarantine of a block began. */
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

    for (i = 0; i < QTN_SUSPECTS_MAX; i++) {
        const qtn_suspect *suspect = &table->suspects[i];

        if (suspect->is_used &&
            (!suspect->is_quarantined || suspect->group != group) &&
            (suspect->crashes & crashes) == crashes) {
            return true;
        }
    }
    return false;
}

/* Did endpoints crash since under the other block of the group, without this
 * one, and for no other reason that is known? */
static bool
is_explained_by(const qtn_table *table, const qtn_suspect *one,
                const qtn_suspect *other, uint64_t settled)
{
    uint64_t crashes;

    if (!qtn_is_needed(other) || other->group != one->group) {
        return false;
    }
    crashes = later_crashes(table, one, settled) & other->crashes;
    return (one->crashes & crashes) == 0 &&
           count_bits(crashes) >= MIN_LATER_CRASHES &&
           !has_other_suspect(table, one->group, crashes);
}

/* Marks the blocks of joint quarantines without which endpoints crashed
 * since. */
static void
narrow_groups(qtn_table *table, uint64_t settled)
{
    uint32_t i, j;

    for (i = 0; table->quarantined_count > 1 && i < QTN_SUSPECTS_MAX; i++) {
        qtn_suspect *one = &table->suspects[i];

        for (j = 0; qtn_is_needed(one) && j < QTN_SUSPECTS_MAX; j++) {
            one->is_explained =
                is_explained_by(table, one, &table->suspects[j], settled);
        }
    }
}

static void
expire(qtn_table *table, lv_time now)
{
    uint32_t i;

    for (i = 0; i < QTN_SUSPECTS_MAX; i++) {
        qtn_suspect *suspect = &table->suspects[i];

        if (suspect->is_used &&
            lv_elapsed(now, suspect->last_crash_at) >= QTN_RETENTION) {
            qtn_release(table, suspect);
        }
    }
}

/* Is the block a suspect of nearly all of the crashes? What tells it from
 * their culprit may not have been reported yet. */
static bool
is_suspect_of(const qtn_suspect *suspect, uint64_t crashes)
{
    return suspect->is_used && !suspect->is_quarantined &&
           count_bits(suspect->crashes & crashes) * 100 >=
               count_bits(crashes) * JOINT_PERCENT;
}

/* Quarantines the suspects of the same crashes, as a group that all instances
 * give the same number. */
static void
begin_jointly(qtn_table *table, uint64_t crashes, lv_time now)
{
    uint64_t group = UINT64_MAX;
    uint32_t i;

    for (i = 0; i < QTN_SUSPECTS_MAX; i++) {
        const qtn_suspect *suspect = &table->suspects[i];

        if (is_suspect_of(suspect, crashes) && suspect->block < group) {
            group = suspect->block;
        }
    }
    for (i = 0; i < QTN_SUSPECTS_MAX; i++) {
        if (is_suspect_of(&table->suspects[i], crashes)) {
            qtn_begin(table, &table->suspects[i], group, now);
        }
    }
}

void
qtn_update(qtn_table *table, lv_time now)
{
    uint64_t settled;
    uint64_t explained;
    const qtn_suspect *culprit;

    if (table->suspect_count == 0) {
        return;
    }
    expire(table, now);
    settled = settled_crashes(table, now);
    narrow_groups(table, settled);
    explained = explained_crashes(table);
    while ((culprit = find_culprit(table, settled, explained, now)) != NULL) {
        uint64_t crashes = culprit->crashes & ~explained;

        begin_jointly(table, crashes, now);
        explained |= crashes;
    }
}
