#include "quarantine-imp.h"

/* Instances see the crash of one endpoint and the start at another one up to
 * this much out of order: datagrams are read late, and times are rounded. */
#define ORDER_TOLERANCE (10 * LV_MILLISECOND)

/* Crashes of endpoints that had copies of a request at the same time count as
 * one within this time, in which a zone fails. */
#define SAME_CAUSE_TIME (20 * LV_MILLISECOND)

/* A request is quarantined if a sound one would be in all of its crashes with
 * at most this probability. */
#define MAX_CHANCE 0.0003

/* The rate of other crashes is taken from this long before the first one under
 * a suspect. */
#define LOOK_BACK_TIME (5 * LV_SECOND)
#define MIN_UP_TIME LV_SECOND /* of all endpoints of a service */

/* In a storm of crashes, the rate about the time of a crash tells more. */
#define LOCAL_TIME (500 * LV_MILLISECOND) /* before it, and after it */

/* How long an endpoint is presumed to be down after a crash. */
#define DOWN_TIME (3 * LV_SECOND)

/* A request is exposed to a crash for this long at least. */
#define MIN_EXPOSURE (50 * LV_MILLISECOND)

/* Where several requests crash the same endpoints, each is in crashes that
 * another one explains. It is blamed for them, too, from this many on. */
#define EXPLAINED_CAUSES (QTN_MIN_CRASHES + 1)

/* The connections of a crashed endpoint are seen to end within this time, also
 * by a late loop. */
#define CUT_TIME (250 * LV_MILLISECOND)

/* An answer this soon before a crash clears the request of it. Many callers
 * send such a request, so that it is in flight at most crashes. */
#define ANSWER_MEMORY (5 * LV_SECOND)

/* A trial crashes an endpoint if the request is to blame. */
#define TRIALS_MAX 2

typedef struct timed_crash {
    lv_time at;
    lv_time sent_at; /* the request, to the endpoint */
} timed_crash;

static timed_crash
get_crash(const qtn_table *table, const qtn_suspect *suspect, uint32_t index)
{
    timed_crash crash = {.at = table->crashes[index].at};

    crash.sent_at =
        lv_elapsed(crash.at, suspect->exposures[index] * LV_MILLISECOND);
    return crash;
}

static void
insert_sorted(timed_crash *crashes, uint32_t count, timed_crash crash)
{
    while (count > 0 && crashes[count - 1].at > crash.at) {
        crashes[count] = crashes[count - 1];
        count--;
    }
    crashes[count] = crash;
}

/* Has a crash another cause than an earlier one? The request was sent to its
 * endpoint after the earlier one, or the two are far enough apart. */
static bool
is_separate(const timed_crash *crash, const timed_crash *earlier)
{
    return crash->sent_at + ORDER_TOLERANCE >= earlier->at ||
           crash->at - earlier->at >= SAME_CAUSE_TIME;
}

/* Returns how many crashes of a set have causes of their own. */
static uint32_t
count_causes(const qtn_table *table, const qtn_suspect *suspect,
             uint64_t crashes)
{
    timed_crash sorted[QTN_CRASHES_MAX];
    const timed_crash *last = NULL;
    uint32_t count = 0;
    uint32_t causes = 0;
    uint32_t i;

    for (i = 0; i < QTN_CRASHES_MAX; i++) {
        if ((crashes >> i & 1) != 0) {
            insert_sorted(sorted, count++, get_crash(table, suspect, i));
        }
    }
    for (i = 0; i < count; i++) {
        if (last == NULL || is_separate(&sorted[i], last)) {
            causes++;
            last = &sorted[i];
        }
    }
    return causes;
}

/* The crashes of one service, from some time before the first one under a
 * suspect. */
typedef struct crash_period {
    lv_time first_at; /* under the suspect */
    lv_time began_at;
    lv_time up_time; /* of all endpoints together */
    lv_id service;   /* LV_ID_NONE: not known */
    uint32_t endpoints;
    uint32_t other_crashes; /* without the suspect, and not explained */
} crash_period;

/* Fills in the service and the first of its crashes. */
static void
find_service(const qtn_table *table, uint64_t crashes, lv_time now,
             crash_period *period)
{
    uint32_t i;

    period->first_at = now;
    period->service = LV_ID_NONE;
    period->endpoints = table->endpoint_count;
    for (i = 0; i < QTN_CRASHES_MAX; i++) {
        const qtn_crash *crash = &table->crashes[i];

        if ((crashes >> i & 1) == 0) {
            continue;
        }
        if (crash->at < period->first_at) {
            period->first_at = crash->at;
        }
        if (crash->service != LV_ID_NONE && crash->service_size > 0) {
            period->service = crash->service;
            period->endpoints = crash->service_size;
        }
    }
}

/* May the endpoint of a crash be one of the service? */
static bool
may_serve(const qtn_crash *crash, lv_id service)
{
    return service == LV_ID_NONE || crash->service == LV_ID_NONE ||
           crash->service == service;
}

/* Returns how long the endpoint of a crash was down within a period. */
static lv_time
down_time_since(const qtn_crash *crash, lv_time began_at, lv_time now)
{
    lv_time from = crash->at > began_at ? crash->at : began_at;
    lv_time until = crash->at + DOWN_TIME < now ? crash->at + DOWN_TIME : now;

    return lv_elapsed(until, from);
}

/* `others` is the set of crashes that are not under the suspect. */
static void
find_period(const qtn_table *table, uint64_t crashes, uint64_t others,
            lv_time now, crash_period *period)
{
    lv_time down_time = 0;
    uint32_t i;

    find_service(table, crashes, now, period);
    period->began_at = lv_elapsed(period->first_at, LOOK_BACK_TIME);
    if (period->began_at < table->watched_since) {
        period->began_at = table->watched_since;
    }
    period->other_crashes = 0;
    for (i = 0; i < QTN_CRASHES_MAX; i++) {
        const qtn_crash *crash = &table->crashes[i];

        if (crash->endpoint != LV_ID_NONE &&
            may_serve(crash, period->service)) {
            down_time += down_time_since(crash, period->began_at, now);
            period->other_crashes +=
                (others >> i & 1) != 0 && crash->at >= period->began_at;
        }
    }
    period->up_time = lv_elapsed(
        lv_elapsed(now, period->began_at) * period->endpoints, down_time);
    if (period->up_time < MIN_UP_TIME) {
        period->up_time = MIN_UP_TIME;
    }
}

/* Returns the rate of other crashes about a time, per endpoint that was up and
 * microsecond. */
static double
local_rate(const qtn_table *table, const crash_period *period, uint64_t others,
           lv_time at)
{
    uint32_t crashed = 0;
    uint32_t down = 0;
    uint32_t up;
    uint32_t i;

    for (i = 0; i < QTN_CRASHES_MAX; i++) {
        const qtn_crash *crash = &table->crashes[i];

        if (crash->endpoint != LV_ID_NONE &&
            may_serve(crash, period->service)) {
            crashed += (others >> i & 1) != 0 &&
                       crash->at + LOCAL_TIME >= at &&
                       at + LOCAL_TIME >= crash->at;
            down += crash->at < at && at < crash->at + DOWN_TIME;
        }
    }
    up = down < period->endpoints ? period->endpoints - down : 1;
    return crashed / (2.0 * up * (double)LOCAL_TIME);
}

/* Estimates how likely endpoints that crash for another reason would crash
 * each time while they have the request, from the rate of crashes without it.
 */
static double
chance(const qtn_table *table, const qtn_suspect *suspect, uint64_t crashes,
       uint64_t others, lv_time now)
{
    crash_period period;
    double mean_rate; /* per endpoint and microsecond */
    double result = 1;
    uint32_t i;

    find_period(table, crashes, others, now, &period);
    mean_rate = (period.other_crashes + 1) / (double)period.up_time;
    for (i = 0; i < QTN_CRASHES_MAX; i++) {
        lv_time exposure = suspect->exposures[i] * LV_MILLISECOND;
        double rate, exposed;

        if ((crashes >> i & 1) == 0) {
            continue;
        }
        rate = local_rate(table, &period, others, table->crashes[i].at);
        exposed = (rate > mean_rate ? rate : mean_rate) *
                  (double)(exposure > MIN_EXPOSURE ? exposure : MIN_EXPOSURE);
        result *= exposed < 1 ? exposed : 1;
    }
    return result;
}

/* May a sound request have been in these crashes? */
static bool
is_chance(const qtn_table *table, const qtn_suspect *suspect, uint64_t crashes,
          uint64_t explained, lv_time now)
{
    uint64_t others = ~(suspect->crashes | explained);

    return chance(table, suspect, crashes, others, now) > MAX_CHANCE;
}

/* Are there enough crashes for a decision? Two causes suffice with one crash
 * more, since concurrent copies of a request crash several endpoints at once.
 */
static bool
are_enough(uint64_t crashes, uint32_t causes)
{
    return causes >= QTN_MIN_CRASHES ||
           (causes + 1 >= QTN_MIN_CRASHES &&
            qtn_count_bits(crashes) > QTN_MIN_CRASHES);
}

/* Returns how many separate crashes a suspect is to blame for; 0: it may be
 * sound. */
static uint32_t
count_blamed(const qtn_table *table, const qtn_suspect *suspect,
             uint64_t settled, uint64_t explained, lv_time now)
{
    uint64_t crashes = suspect->crashes & settled;
    uint64_t unexplained = crashes & ~explained;
    uint32_t causes = count_causes(table, suspect, unexplained);

    if (are_enough(unexplained, causes) &&
        !is_chance(table, suspect, unexplained, explained, now)) {
        return causes;
    }
    causes = count_causes(table, suspect, crashes);
    if (causes >= EXPLAINED_CAUSES &&
        !is_chance(table, suspect, crashes, 0, now)) {
        return causes;
    }
    return 0;
}

static const qtn_suspect *
find_culprit(const qtn_table *table, uint64_t settled, uint64_t explained,
             lv_time now)
{
    const qtn_suspect *culprit = NULL;
    uint32_t most = 0;
    uint32_t i;

    for (i = 0; i < table->suspect_count; i++) {
        const qtn_suspect *suspect = &table->suspects[i];
        uint32_t blamed;

        if (suspect->is_quarantined ||
            (!suspect->is_own && !suspect->has_two_reporters)) {
            continue;
        }
        blamed = count_blamed(table, suspect, settled, explained, now);
        if (blamed > most) {
            most = blamed;
            culprit = suspect;
        }
    }
    return culprit;
}

/* Requests that were in all crashes of the culprit cannot be told from it. */
static void
begin(qtn_table *table, const qtn_suspect *culprit, uint64_t settled,
      uint64_t explained, lv_time now)
{
    uint64_t crashes = culprit->crashes & settled;
    uint32_t i;

    (void)explained;
    for (i = 0; i < table->suspect_count; i++) {
        qtn_suspect *suspect = &table->suspects[i];

        if (!suspect->is_quarantined &&
            (suspect->crashes & crashes) == crashes) {
            qtn_begin(table, suspect, suspect->key, now);
        }
    }
}

const qtn_rules qtn_request_rules = {.suspects_max = 128,
                                     .answers_max = 2048,
                                     .find_culprit = find_culprit,
                                     .begin = begin,
                                     .trials_max = TRIALS_MAX,
                                     .cut_time = CUT_TIME,
                                     .answer_memory = ANSWER_MEMORY,
                                     .is_kept_while_sent = true};
