/*
 * Requests to one endpoint that names a limit, sent by fleets of 8, 80 and 200
 * instances on virtual time: the fleet stays within the limit and uses most of
 * it, while datagrams are lost, coordinators go and others lie.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "lavender/map.h"
#include "lavender/pace.h"

#define STEP LV_MILLISECOND
#define INSTANCES_MAX 200
#define ASKS_MAX 4096
#define STARTS_MAX 20000
#define START (1000 * LV_SECOND)
#define GRANT_TIMEOUT (25 * LV_MILLISECOND)
#define SILENT_CLOSURE (100 * LV_MILLISECOND)
#define SILENCE_TIMEOUT LV_SECOND /* until a dead instance is not asked */
#define ANSWER_TIME (50 * LV_MILLISECOND)
#define TOLD_TIME                                                             \
    (500 * LV_MILLISECOND) /* rule: an instance is bound then                 \
                            */
#define WINDOW (4 * LV_SECOND)
#define CONTACT (3 * LV_SECOND)
#define MAX_ASKS 6
#define MIN_USE_PERCENT 60
#define SEEDS 3

typedef struct day {
    const char *name;
    uint32_t instances;
    double limit;
    double later_limit; /* from `changes_at` on; PACE_NO_LIMIT: none named */
    lv_time changes_at; /* 0: never */
    uint32_t demand;    /* requests per second of the fleet */
    double loss;        /* of datagrams */
    lv_time kill_at;    /* the coordinator, for a second; 0: never */
    lv_time cut_at;     /* the coordinator from all others, for 3 s */
    double lie;         /* limit that instance 0 says in all its requests; 0:
                           none */
} day;

typedef struct instance {
    pace_state pace;
    bool is_dead;
    lv_time dead_until;
    lv_time told_at; /* first answer with a limit; 0: none */
} instance;

typedef enum ask_state {
    ASK_FREE,
    ASK_SENT,
    ASK_REPLIED,
    ASK_RUNNING
} ask_state;

/* A request of a caller at an instance. */
typedef struct ask {
    ask_state state;
    uint32_t instance;
    uint32_t coordinator;
    uint32_t asks;
    bool is_granted;
    lv_time wait;
    lv_time due_at; /* of the next state; LV_TIME_NEVER: it was lost */
    lv_time sent_at;
} ask;

static struct world {
    const day *day;
    uint64_t random;
    lv_time now;
    uint32_t cut; /* instance; INSTANCES_MAX: none */
    instance instances[INSTANCES_MAX];
    ask asks[ASKS_MAX];
    lv_time starts[STARTS_MAX]; /* of instances that are bound */
    uint32_t start_count;
    uint32_t all_starts;
} world;

static uint64_t
draw(uint64_t below)
{
    world.random += 0x9e3779b97f4a7c15u;
    return map_mix(world.random) % below;
}

static bool
happens(double probability)
{
    return (double)draw(1000000) < probability * 1000000;
}

static double
current_limit(void)
{
    return world.day->changes_at != 0 && world.now >= world.day->changes_at
               ? world.day->later_limit
               : world.day->limit;
}

static bool
is_up(uint32_t number)
{
    return world.now >= world.instances[number].dead_until;
}

static bool
reach_each_other(uint32_t one, uint32_t other)
{
    return is_up(one) && is_up(other) &&
           (one == other || (one != world.cut && other != world.cut));
}

/* Does an instance take another one for live? */
static bool
is_believed_live(uint32_t viewer, uint32_t number)
{
    if (viewer == number) {
        return true;
    }
    if (world.cut < INSTANCES_MAX &&
        (viewer == world.cut || number == world.cut)) {
        return world.now < world.day->cut_at + SILENCE_TIMEOUT;
    }
    return is_up(number) ||
           world.now + LV_SECOND <
               world.instances[number].dead_until + SILENCE_TIMEOUT;
}

/* Returns the instance with the highest weight. */
static uint32_t
find_coordinator(uint32_t viewer)
{
    uint32_t best = viewer;
    uint32_t i;

    for (i = 0; i < world.day->instances; i++) {
        if (!is_believed_live(viewer, i)) {
            continue;
        }
        if (map_mix(i + 1) > map_mix(best + 1)) {
            best = i;
        }
    }
    return best;
}

static void
start_request(ask *one)
{
    instance *self = &world.instances[one->instance];

    pace_count_start(&self->pace, world.now);
    one->state = ASK_RUNNING;
    one->due_at = world.now + ANSWER_TIME;
    world.all_starts++;
    if (self->told_at != 0 && world.now >= self->told_at + TOLD_TIME &&
        one->instance != world.cut) {
        cr_assert_lt(world.start_count, STARTS_MAX);
        world.starts[world.start_count++] = world.now;
    }
}

/* Asks the coordinator, or starts the request here if there is none to ask. A
 * request that may not start now is refused. */
static void
send_ask(ask *one)
{
    instance *self = &world.instances[one->instance];
    lv_time free_at;

    one->state = ASK_FREE;
    if (one->asks++ == MAX_ASKS ||
        !pace_check(&self->pace, world.now, &free_at)) {
        return;
    }
    if (!pace_is_limited(&self->pace)) {
        start_request(one);
        return;
    }
    one->coordinator = find_coordinator(one->instance);
    if (one->coordinator == one->instance) {
        start_request(one);
        return;
    }
    one->state = ASK_SENT;
    one->sent_at = world.now;
    one->due_at = happens(world.day->loss) ? LV_TIME_NEVER : world.now + STEP;
}

static void
arrive(uint32_t number)
{
    uint32_t i = 0;

    while (i < ASKS_MAX && world.asks[i].state != ASK_FREE) {
        i++;
    }
    if (i < ASKS_MAX && is_up(number)) {
        memset(&world.asks[i], 0, sizeof world.asks[i]);
        world.asks[i].instance = number;
        send_ask(&world.asks[i]);
    }
}

static void
decide(ask *one)
{
    pace_state *pace = &world.instances[one->coordinator].pace;
    const pace_state *asker = &world.instances[one->instance].pace;
    bool lies = world.day->lie > 0 && one->instance == 0;
    uint32_t percent =
        find_coordinator(one->coordinator) == one->coordinator ? 100 : 50;

    if (!reach_each_other(one->instance, one->coordinator)) {
        one->due_at = LV_TIME_NEVER;
        return;
    }
    pace_hear(pace, lies ? world.day->lie : asker->limit, one->instance + 1,
              lies ? world.now : asker->heard_at, world.now);
    one->is_granted = pace_grant(pace, percent, world.now, &one->wait);
    one->state = ASK_REPLIED;
    one->due_at = happens(world.day->loss) ? LV_TIME_NEVER : world.now + STEP;
}

static void
handle_reply(ask *one)
{
    if (one->is_granted) {
        start_request(one);
        return;
    }
    pace_close(&world.instances[one->instance].pace, one->wait, world.now);
    send_ask(one);
}

static void
handle_answer(ask *one)
{
    instance *self = &world.instances[one->instance];
    double limit = current_limit();

    one->state = ASK_FREE;
    pace_name(&self->pace, limit, world.now);
    if (limit >= 0 && self->told_at == 0) {
        self->told_at = world.now;
    }
}

static void
advance(ask *one)
{
    if (one->state != ASK_FREE && !is_up(one->instance)) {
        one->state = ASK_FREE;
    }
    else if ((one->state == ASK_SENT || one->state == ASK_REPLIED) &&
             world.now >= one->sent_at + GRANT_TIMEOUT) {
        pace_close(&world.instances[one->instance].pace, SILENT_CLOSURE,
                   world.now);
        send_ask(one);
    }
    else if (one->state != ASK_FREE && world.now >= one->due_at) {
        if (one->state == ASK_SENT) {
            decide(one);
        }
        else if (one->state == ASK_REPLIED) {
            handle_reply(one);
        }
        else {
            handle_answer(one);
        }
    }
}

static void
disturb(void)
{
    const day *today = world.day;
    uint32_t coordinator = 0;
    uint32_t i;

    for (i = 1; i < today->instances; i++) {
        if (map_mix(i + 1) > map_mix(coordinator + 1)) {
            coordinator = i;
        }
    }
    if (today->kill_at != 0 && world.now == today->kill_at) {
        instance *self = &world.instances[coordinator];

        memset(self, 0, sizeof *self);
        pace_init(&self->pace);
        self->dead_until = world.now + LV_SECOND;
    }
    world.cut = today->cut_at != 0 && world.now >= today->cut_at &&
                        world.now < today->cut_at + 3 * LV_SECOND
                    ? coordinator
                    : INSTANCES_MAX;
}

/* Half of the requests come to the first quarter of the instances. */
static uint32_t
draw_instance(void)
{
    uint32_t count = world.day->instances;

    return (uint32_t)draw(draw(2) == 0 ? count : count / 4 + 1);
}

static void
play(const day *today, uint64_t seed, lv_time length)
{
    uint32_t due = 0; /* thousandths of a request */
    uint32_t i;

    memset(&world, 0, sizeof world);
    world.day = today;
    world.random = seed;
    for (i = 0; i < today->instances; i++) {
        pace_init(&world.instances[i].pace);
    }
    for (world.now = START; world.now < START + length; world.now += STEP) {
        disturb();
        for (due += today->demand; due >= 1000; due -= 1000) {
            arrive(draw_instance());
        }
        for (i = 0; i < ASKS_MAX; i++) {
            if (world.asks[i].state != ASK_FREE) {
                advance(&world.asks[i]);
            }
        }
    }
}

/* Returns the most starts in a window that begins at or after `from` and ends
 * before `until`. */
static uint32_t
most_starts(lv_time from, lv_time until)
{
    uint32_t most = 0;
    uint32_t i, j;

    for (i = 0; i < world.start_count; i++) {
        for (j = i; j < world.start_count &&
                    world.starts[j] < world.starts[i] + WINDOW &&
                    world.starts[j] < until;
             j++) {
        }
        if (world.starts[i] >= from && j - i > most) {
            most = j - i;
        }
    }
    return most;
}

static uint32_t
count_starts(lv_time from, lv_time until)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < world.start_count; i++) {
        count += world.starts[i] >= from && world.starts[i] < until;
    }
    return count;
}

static const day days[] = {
    {.name = "8 instances", .instances = 8, .limit = 6.1, .demand = 60},
    {.name = "8, small limit", .instances = 8, .limit = 0.5, .demand = 40},
    {.name = "8, large limit", .instances = 8, .limit = 40, .demand = 200},
    {.name = "8, loss",
     .instances = 8,
     .limit = 6.1,
     .demand = 60,
     .loss = .2},
    {.name = "8, coordinator dies",
     .instances = 8,
     .limit = 6.1,
     .demand = 60,
     .kill_at = START + 8 * LV_SECOND},
    {.name = "8, coordinator is cut off",
     .instances = 8,
     .limit = 6.1,
     .demand = 60,
     .cut_at = START + 8 * LV_SECOND},
    {.name = "8, falls",
     .instances = 8,
     .limit = 20,
     .later_limit = 3,
     .changes_at = START + 8 * LV_SECOND,
     .demand = 100},
    {.name = "8, rises",
     .instances = 8,
     .limit = 2,
     .later_limit = 20,
     .changes_at = START + 8 * LV_SECOND,
     .demand = 100},
    {.name = "8, a liar says more",
     .instances = 8,
     .limit = 6.1,
     .demand = 60,
     .lie = 1000},
    {.name = "8, a liar says less",
     .instances = 8,
     .limit = 6.1,
     .demand = 60,
     .lie = 0.05},
    {.name = "80 instances", .instances = 80, .limit = 1.8, .demand = 40},
    {.name = "80, loss, coordinator dies",
     .instances = 80,
     .limit = 3,
     .demand = 40,
     .loss = .1,
     .kill_at = START + 8 * LV_SECOND},
    {.name = "80, cut, liar",
     .instances = 80,
     .limit = 3,
     .demand = 40,
     .cut_at = START + 8 * LV_SECOND,
     .lie = 1000},
    {.name = "200 instances", .instances = 200, .limit = 1.8, .demand = 40},
    {.name = "200, loss, falls",
     .instances = 200,
     .limit = 8,
     .later_limit = 1.2,
     .changes_at = START + 8 * LV_SECOND,
     .demand = 60,
     .loss = .05},
};

/* Checks a part of the day with one limit. */
static void
check_limit(const day *today, double limit, lv_time from, lv_time until)
{
    uint32_t most = most_starts(from, until);
    uint32_t count = count_starts(from, until);
    double allowed = 1.5 * limit * (double)WINDOW / (double)LV_SECOND + 5;
    double due = limit * (double)(until - from) / (double)LV_SECOND;

    cr_log_info("%s: limit %.1f, %u in 4 s (%.0f allowed), %u of %.0f used",
                today->name, limit, most, allowed, count, due);
    cr_expect_leq(most, allowed, "%s: %u starts in 4 s, allowed %.0f",
                  today->name, most, allowed);
    cr_expect_geq(count * 100 + 100, due * MIN_USE_PERCENT,
                  "%s: %u starts of %.0f", today->name, count, due);
}

/* Guards against sending an endpoint more requests than the limit that it
 * named, and against leaving its capacity unused. */
Test(pace, fleet_keeps_to_the_limit)
{
    const lv_time length = 24 * LV_SECOND;

    for (size_t i = 0; i < sizeof days / sizeof days[0]; i++) {
        for (uint64_t seed = 1; seed <= SEEDS; seed++) {
            const day *today = &days[i];
            lv_time change = today->changes_at;

            play(today, seed, length);
            check_limit(today, today->limit, START + CONTACT,
                        change != 0 ? change : START + length);
            if (change != 0) {
                check_limit(today, today->later_limit, change + CONTACT,
                            START + length);
            }
        }
    }
}

/* A limit that is no longer named is gone at all instances, though most of
 * them had no answer since. */
Test(pace, limit_ends)
{
    static const day cases[] = {
        {.instances = 8, .limit = 2, .demand = 100},
        {.instances = 80, .limit = 1, .demand = 200},
        {.instances = 8, .limit = 0, .demand = 100},
    };

    for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++) {
        day today = cases[i];
        uint32_t limited = 0;

        today.later_limit = PACE_NO_LIMIT;
        today.changes_at = START + 10 * LV_SECOND;
        play(&today, 1, 40 * LV_SECOND);
        for (uint32_t j = 0; j < today.instances; j++) {
            limited += pace_is_limited(&world.instances[j].pace);
        }
        cr_expect_leq(limited, today.instances / 10,
                      "case %zu: %u of %u instances keep the limit", i,
                      limited, today.instances);
    }
}
