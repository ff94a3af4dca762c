#include <string.h>

#include "quarantine-imp.h"

/* Answers on other blocks that must have begun here since the first crash: if
 * none begin, the endpoints are at fault and not the block. */
#define MIN_OTHER_ANSWERS 4

/* A block is quarantined if a sound one would be in all of its crashes with at
 * most this probability. */
#define MAX_CHANCE 0.0003

/* The same for a block that answers are known to have begun on before: it is
 * less likely that it has become deadly. */
#define MAX_CHANCE_ANSWERED 0.000003

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

/* A block that an answer has begun on this recently is not blamed yet: the
 * next one may clear it, and clearances of many blocks take long to be told.
 */
#define ANSWER_GRACE (2 * LV_SECOND)

static bool
was_answered_recently(const qtn_table *table, const qtn_suspect *suspect,
                      lv_time now)
{
    lv_time begun_at = qtn_last_answer(table, suspect->key);

    return begun_at != 0 && lv_elapsed(now, begun_at) < ANSWER_GRACE;
}

static bool
is_corroborated(const qtn_table *table, const qtn_suspect *suspect)
{
    return (suspect->is_own || suspect->has_two_reporters) &&
           table->answer_count - suspect->answers >= MIN_OTHER_ANSWERS;
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
    return chance > (qtn_last_answer(table, suspect->key) != 0
                         ? MAX_CHANCE_ANSWERED
                         : MAX_CHANCE);
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

    for (i = 0; i < table->suspect_count; i++) {
        const qtn_suspect *suspect = &table->suspects[i];
        uint32_t causes;

        if (suspect->is_quarantined ||
            qtn_count_bits(suspect->crashes & crashes) <= most ||
            was_answered_recently(table, suspect, now) ||
            !is_corroborated(table, suspect)) {
            continue;
        }
        causes = qtn_count_causes(table, suspect->crashes & crashes);
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

/* Is the block a suspect of nearly all of the crashes? What tells it from
 * their culprit may not have been reported yet. */
static bool
is_suspect_of(const qtn_table *table, const qtn_suspect *suspect,
              uint64_t crashes, lv_time now)
{
    return !suspect->is_quarantined &&
           !was_answered_recently(table, suspect, now) &&
           qtn_count_bits(suspect->crashes & crashes) * 100 >=
               qtn_count_bits(crashes) * JOINT_PERCENT;
}

/* Quarantines the suspects of the same crashes, as a group that all instances
 * give the same number. */
static void
begin_jointly(qtn_table *table, const qtn_suspect *culprit, uint64_t settled,
              uint64_t explained, lv_time now)
{
    uint64_t crashes = culprit->crashes & ~explained;
    uint64_t group = UINT64_MAX;
    uint32_t i;

    (void)settled;
    for (i = 0; i < table->suspect_count; i++) {
        const qtn_suspect *suspect = &table->suspects[i];

        if (is_suspect_of(table, suspect, crashes, now) &&
            suspect->key < group) {
            group = suspect->key;
        }
    }
    for (i = 0; i < table->suspect_count; i++) {
        if (is_suspect_of(table, &table->suspects[i], crashes, now)) {
            qtn_begin(table, &table->suspects[i], group, now);
        }
    }
}

const qtn_rules qtn_block_rules = {.suspects_max = 4096,
                                   .sightings_max = 65536,
                                   .answers_max = 16384,
                                   .find_culprit = find_culprit,
                                   .begin = begin_jointly,
                                   .trials_max = UINT32_MAX,
                                   .cut_time = LV_TIME_NEVER};
