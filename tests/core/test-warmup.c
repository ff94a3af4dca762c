/*
 * Requests to cold endpoints, sent by fleets of 8, 80 and 200 instances on
 * virtual time: in any second the fleet keeps to the bound, and it uses the
 * rate, while datagrams are lost and coordinators come and go.
 */
#include <criterion/criterion.h>

#include <stdlib.h>
#include <string.h>

#include "lavender/map.h"
#include "lavender/warmup.h"

#define STEP LV_MILLISECOND
#define INSTANCES_MAX 200
#define ENDPOINTS_MAX 4
#define ASKS_MAX 4096
#define ARRIVALS_MAX 40000
#define START (1000 * LV_SECOND)
#define LENGTH (24 * LV_SECOND)
#define EVENT (START + 10 * LV_SECOND)
#define CUT_TIME (5 * LV_SECOND)
#define PAUSE_TIME (3 * LV_SECOND)
#define GRANT_TIMEOUT (25 * LV_MILLISECOND)
#define SILENT_CLOSURE (100 * LV_MILLISECOND)
#define SILENCE_TIMEOUT LV_SECOND /* until a peer is considered lost */
#define MAX_CONNECT_MS 300
#define VIEW_INTERVAL (100 * LV_MILLISECOND)
#define MAX_DENIALS 2
#define OVERSHOOT 1.5
#define SLACK 5.0
#define MIN_USE_PERCENT 90
#define SEEDS 3
#define NOBODY INSTANCES_MAX

typedef enum trouble {
    NO_TROUBLE,
    DIES,       /* the coordinator, for a second */
    JOINS,      /* the coordinator joins late */
    IS_CUT,     /* the coordinator from all others */
    HALVES_CUT, /* the fleet in two parts */
    ZONES_CUT,  /* one quarter from another; both reach the rest */
    PAUSES,     /* the coordinator's process */
    COLD_AGAIN  /* the endpoint is warm for 5 s before */
} trouble;

typedef struct day {
    const char *name;
    uint32_t instances;
    double rate;
    uint32_t demand; /* requests per second at each endpoint */
    uint32_t endpoints;
    double loss_percent; /* of datagrams */
    trouble trouble;
    uint32_t gap_s; /* seconds in which the rate need not be used */
} day;

typedef enum ask_state {
    ASK_FREE,
    ASK_SENT,
    ASK_REPLIED
} ask_state;

typedef struct ask {
    ask_state state;
    uint32_t instance, endpoint, coordinator, denials;
    bool is_granted, is_repeated;
    uint64_t key;
    lv_time wait, due_at, sent_at;
} ask;

static struct world {
    const day *day;
    uint64_t random;
    lv_time now;
    uint32_t special; /* the coordinator that the trouble is with */
    wrm_state states[INSTANCES_MAX][ENDPOINTS_MAX];
    ask asks[ASKS_MAX];
    lv_time arrivals[ENDPOINTS_MAX][ARRIVALS_MAX];
    uint32_t arrival_count[ENDPOINTS_MAX];
} world;

static uint64_t
draw(uint64_t below)
{
    world.random += 0x9e3779b97f4a7c15u;
    return map_mix(world.random) % below;
}

static bool
is_event(lv_time length)
{
    return world.now >= EVENT && world.now < EVENT + length;
}

static bool
is_up(uint32_t number)
{
    trouble kind = world.day->trouble;

    return number != world.special ||
           !((kind == DIES && is_event(LV_SECOND)) ||
             (kind == PAUSES && is_event(PAUSE_TIME)) ||
             (kind == JOINS && world.now < EVENT));
}

static bool
are_cut(uint32_t one, uint32_t other)
{
    uint32_t quarter = world.day->instances / 4;

    switch (world.day->trouble) {
    case IS_CUT:
        return one != other &&
               (one == world.special || other == world.special);
    case HALVES_CUT:
        return one % 2 != other % 2;
    case ZONES_CUT:
        return one / quarter + other / quarter == 1;
    default:
        return false;
    }
}

/* Returns how long a viewer has not heard from an instance; heartbeats come
 * with a delay that differs by pair. A process that was paused excuses the
 * silence of the others. */
static lv_time
silence(uint32_t viewer, uint32_t number)
{
    trouble kind = world.day->trouble;
    bool is_special = number == world.special;
    lv_time delay =
        map_mix(viewer * INSTANCES_MAX + number + 1) % 400 * LV_MILLISECOND;
    lv_time length = kind == DIES     ? LV_SECOND
                     : kind == PAUSES ? PAUSE_TIME
                                      : CUT_TIME;

    if (viewer == number) {
        return 0;
    }
    if (kind == JOINS && (is_special || viewer == world.special)) {
        return world.now < EVENT + delay ? LV_TIME_NEVER : 0;
    }
    if (!is_event(length + delay) ||
        !(kind == DIES || kind == PAUSES ? is_special
                                         : are_cut(viewer, number))) {
        return 0;
    }
    return world.now - EVENT + delay / 2;
}

static bool
is_higher(uint32_t one, uint32_t other, uint32_t endpoint)
{
    return map_mix(one * ENDPOINTS_MAX + endpoint + 1) >
           map_mix(other * ENDPOINTS_MAX + endpoint + 1);
}

static uint32_t
find_coordinator(uint32_t viewer, uint32_t endpoint)
{
    uint32_t best = viewer;

    for (uint32_t i = 0; i < world.day->instances; i++) {
        if (is_higher(i, best, endpoint) &&
            silence(viewer, i) < SILENCE_TIMEOUT) {
            best = i;
        }
    }
    return best;
}

static void
update_view(uint32_t viewer, uint32_t endpoint)
{
    const day *today = world.day;
    bool is_new = viewer == world.special && world.now >= EVENT &&
                  (today->trouble == JOINS || today->trouble == DIES);
    wrm_view view = {.joined_for = is_new ? world.now - EVENT : WRM_JOIN_TIME,
                     .known = today->instances,
                     .max_instances = today->instances};

    for (uint32_t i = 0; i < today->instances; i++) {
        lv_time silent = silence(viewer, i);

        view.live += silent < SILENCE_TIMEOUT;
        if (is_higher(i, viewer, endpoint)) {
            view.has_coordinator |= silent < SILENCE_TIMEOUT;
            view.had_coordinator |=
                silent < SILENCE_TIMEOUT + WRM_TAKEOVER_TIME;
        }
    }
    wrm_set_view(&world.states[viewer][endpoint], &view, world.now);
}

/* One connection in 20 is opened slowly. */
static void
start_request(const ask *one)
{
    uint32_t *count = &world.arrival_count[one->endpoint];
    lv_time delay = draw(20) == 0 ? draw(MAX_CONNECT_MS) * LV_MILLISECOND : 0;

    wrm_count_start(&world.states[one->instance][one->endpoint], world.now);
    cr_assert_lt(*count, ARRIVALS_MAX);
    world.arrivals[one->endpoint][(*count)++] = world.now + delay;
}

static void
post(ask *one, ask_state state, lv_time delay)
{
    bool is_lost = (double)draw(10000) < world.day->loss_percent * 100;

    one->state = state;
    one->sent_at = state == ASK_SENT ? world.now : one->sent_at;
    one->due_at = is_lost ? LV_TIME_NEVER : world.now + delay;
}

static void
send_ask(ask *one)
{
    wrm_state *state = &world.states[one->instance][one->endpoint];
    lv_time free_at;

    one->state = ASK_FREE;
    one->coordinator = find_coordinator(one->instance, one->endpoint);
    if (one->coordinator == one->instance) {
        update_view(one->instance, one->endpoint);
    }
    if (one->denials++ == MAX_DENIALS ||
        !wrm_check(state, world.now, &free_at)) {
        return;
    }
    if (wrm_left(state, world.now) == 0 || one->coordinator == one->instance) {
        start_request(one);
        return;
    }
    one->is_repeated = false;
    one->key = draw(UINT64_MAX) | 1;
    post(one, ASK_SENT, STEP);
}

static void
decide(ask *one)
{
    if (!is_up(one->coordinator) ||
        (is_event(CUT_TIME) && are_cut(one->instance, one->coordinator))) {
        one->due_at = LV_TIME_NEVER;
        return;
    }
    update_view(one->coordinator, one->endpoint);
    one->is_granted = wrm_grant(&world.states[one->coordinator][one->endpoint],
                                one->key, world.now, &one->wait);
    post(one, ASK_REPLIED, STEP * (1 + draw(10)));
}

static void
advance(ask *one)
{
    wrm_state *state = &world.states[one->instance][one->endpoint];

    if (!is_up(one->instance)) {
        one->state = ASK_FREE;
    }
    else if (world.now >= one->sent_at + GRANT_TIMEOUT && !one->is_repeated) {
        one->is_repeated = true;
        post(one, ASK_SENT, STEP);
    }
    else if (world.now >= one->sent_at + GRANT_TIMEOUT) {
        wrm_close(state, SILENT_CLOSURE, world.now);
        send_ask(one);
    }
    else if (world.now >= one->due_at && one->state == ASK_SENT) {
        decide(one);
    }
    else if (world.now >= one->due_at && one->is_granted) {
        one->state = ASK_FREE;
        start_request(one);
    }
    else if (world.now >= one->due_at) {
        wrm_close(state, one->wait, world.now);
        send_ask(one);
    }
}

/* Half of the requests come to the first quarter of the instances. */
static void
arrive(void)
{
    uint32_t count = world.day->instances;
    uint32_t number = (uint32_t)draw(draw(2) == 0 ? count : count / 4 + 1);
    ask *one = world.asks;

    while (one < world.asks + ASKS_MAX && one->state != ASK_FREE) {
        one++;
    }
    if (one < world.asks + ASKS_MAX && is_up(number)) {
        memset(one, 0, sizeof *one);
        one->instance = number;
        one->endpoint = (uint32_t)draw(world.day->endpoints);
        send_ask(one);
    }
}

static void
update_views(void)
{
    for (uint32_t i = 0; i < world.day->instances; i++) {
        for (uint32_t e = 0; is_up(i) && e < world.day->endpoints; e++) {
            update_view(i, e);
        }
    }
}

static void
note_entries(lv_time remaining, uint64_t sequence)
{
    const wrm_notice notice = {.word = WRM_WORD_GIVEN, .remaining = remaining};

    for (uint32_t i = 0; i < world.day->instances; i++) {
        for (uint32_t e = 0; e < world.day->endpoints; e++) {
            wrm_note_entry(&world.states[i][e], &notice, 1, sequence,
                           world.now);
        }
    }
    update_views();
}

static void
set_up(const day *today, uint64_t seed)
{
    wrm_service service = {.cold_time = LENGTH,
                           .rate = today->rate,
                           .tokens_max =
                               wrm_max_tokens(today->rate, OVERSHOOT, SLACK)};

    memset(&world, 0, sizeof world);
    world.day = today;
    world.random = seed;
    world.now = START;
    world.special = NOBODY;
    world.special = find_coordinator(0, 0);
    for (uint32_t i = 0; i < today->instances; i++) {
        for (uint32_t e = 0; e < today->endpoints; e++) {
            wrm_set_service(&world.states[i][e], &service, world.now);
        }
    }
    note_entries(LENGTH, 1);
}

static void
play(const day *today, uint64_t seed)
{
    uint32_t due = 0; /* thousandths of a request */

    for (set_up(today, seed); world.now < START + LENGTH; world.now += STEP) {
        if (today->trouble == COLD_AGAIN &&
            world.now == EVENT - 5 * LV_SECOND) {
            note_entries(0, 2);
        }
        if (today->trouble == COLD_AGAIN && world.now == EVENT) {
            world.arrival_count[0] = 0;
            note_entries(LENGTH, 3);
        }
        if ((world.now - START) % VIEW_INTERVAL == 0) {
            update_views();
        }
        for (due += today->demand * today->endpoints; due >= 1000;
             due -= 1000) {
            arrive();
        }
        for (uint32_t i = 0; i < ASKS_MAX; i++) {
            if (world.asks[i].state != ASK_FREE) {
                advance(&world.asks[i]);
            }
        }
    }
}

static int
compare_times(const void *one, const void *other)
{
    lv_time a = *(const lv_time *)one;
    lv_time b = *(const lv_time *)other;

    return (a > b) - (a < b);
}

static uint32_t
most_in_a_second(uint32_t endpoint)
{
    lv_time *times = world.arrivals[endpoint];
    uint32_t count = world.arrival_count[endpoint];
    uint32_t most = 0;
    uint32_t first = 0;

    qsort(times, count, sizeof *times, compare_times);
    for (uint32_t i = 0; i < count; i++) {
        while (times[i] >= times[first] + LV_SECOND) {
            first++;
        }
        most = i + 1 - first > most ? i + 1 - first : most;
    }
    return most;
}

static const day days[] = {
    {"8 instances", 8, 7.8, 60, 1, 0, NO_TROUBLE, 0},
    {"8, 1/s", 8, 1, 40, 1, 0, NO_TROUBLE, 0},
    {"8, 1000/s", 8, 1000, 3000, 1, 0, NO_TROUBLE, 0},
    {"8, loss", 8, 7.8, 60, 1, 5, NO_TROUBLE, 0},
    {"8, coordinator dies", 8, 7.8, 60, 1, 0, DIES, 5},
    {"8, coordinator joins", 8, 7.8, 60, 1, 0, JOINS, 3},
    {"8, coordinator is cut off", 8, 7.8, 60, 1, 0, IS_CUT, 5},
    {"8, cut in halves", 8, 7.8, 60, 1, 0, HALVES_CUT, 9},
    {"8, coordinator pauses", 8, 7.8, 60, 1, 0, PAUSES, 5},
    {"8, 1/s, coordinator pauses", 8, 1, 60, 1, 0, PAUSES, 5},
    {"8, cold again", 8, 7.8, 60, 1, 0, COLD_AGAIN, 10},
    {"80 instances", 80, 7.8, 60, 1, 0, NO_TROUBLE, 0},
    {"80, 1/s, loss", 80, 1, 60, 1, 5, NO_TROUBLE, 0},
    {"80, 1000/s", 80, 1000, 400, 1, 0, NO_TROUBLE, 0},
    {"80, loss, coordinator dies", 80, 7.8, 60, 1, 5, DIES, 5},
    {"80, coordinator joins", 80, 7.8, 60, 1, 0, JOINS, 3},
    {"80, coordinator is cut off", 80, 7.8, 60, 1, 0, IS_CUT, 5},
    {"80, zones cut", 80, 7.8, 60, 1, 0, ZONES_CUT, 9},
    {"80, 1/s, zones cut", 80, 1, 60, 1, 0, ZONES_CUT, 9},
    {"80, a zone returns cold", 80, 7.8, 40, 4, 0, NO_TROUBLE, 0},
    {"200 instances", 200, 7.8, 60, 1, 0, NO_TROUBLE, 0},
    {"200, 1/s, coordinator dies", 200, 1, 60, 1, 0, DIES, 5},
    {"200, loss, cold again", 200, 7.8, 60, 1, 5, COLD_AGAIN, 10},
};

static void
check_day(const day *today, uint64_t seed)
{
    double allowed = today->rate * OVERSHOOT + SLACK;
    double due = today->rate < today->demand ? today->rate : today->demand;

    due *= (double)(LENGTH - today->gap_s * LV_SECOND) / (double)LV_SECOND;
    for (uint32_t e = 0; e < today->endpoints; e++) {
        uint32_t most = most_in_a_second(e);
        uint32_t count = world.arrival_count[e];

        cr_log_info("%s, seed %u: %u in 1 s, allowed %.1f; %u of %.0f used",
                    today->name, (unsigned)seed, most, allowed, count, due);
        cr_expect_leq(most, allowed, "%s: %u in 1 s", today->name, most);
        cr_expect_geq(count * 100, due * MIN_USE_PERCENT, "%s: %u of %.0f",
                      today->name, count, due);
    }
}

/* Guards against sending a cold endpoint more than it can take, and against
 * leaving it idle. */
Test(warmup, fleet_keeps_to_the_rate, .timeout = 300)
{
    for (size_t i = 0; i < sizeof days / sizeof days[0]; i++) {
        for (uint64_t seed = 1; seed <= SEEDS; seed++) {
            play(&days[i], seed);
            check_day(&days[i], seed);
        }
    }
}
