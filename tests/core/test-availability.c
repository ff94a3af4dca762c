/*
 * Endpoints that say in their answers that they leave, or that they take no
 * request for some time: a plain service under load on virtual time, while its
 * list is published again and again.
 */
#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

#include "lavender/admission.h"

#define TICK LV_MILLISECOND
#define SERVICE ((lv_id)5)
#define ENDPOINTS_MAX 8
#define REQUESTS_MAX 20000
#define SERVICE_TIME (30 * LV_MILLISECOND)
#define REFUSAL_TIME (2 * LV_MILLISECOND)

/* A refusal after a longer wait is a late one: a request may be turned away by
 * four endpoints before. */
#define AT_ONCE (4 * REFUSAL_TIME + 2 * TICK)

/* What the list does meanwhile. */
typedef enum listing {
    LIST_UNCHANGED,
    LIST_REREAD,   /* the same entries are published every 20 ms */
    LIST_ERAS,     /* all are withdrawn and published again every 50 ms */
    LIST_SERVICES, /* the service is configured anew every 20 ms */
    LIST_REBORN    /* at 500 ms the first address has another endpoint */
} listing;

/* Endpoints from the first on. Times since the start. */
typedef struct scenario {
    const char *name;
    uint32_t endpoints;
    uint32_t leaving; /* this many say that they leave */
    lv_time leaves_at;
    uint32_t refusing; /* this many answer 503 with a time until `backs_off` */
    lv_time refuses_from;
    lv_time refuses_until; /* end of the back-off */
    uint32_t per_tick;
    lv_time target;
    lv_time length;
    listing listing;
    uint32_t max_reached;      /* requests that reach one that took none */
    uint32_t max_refused;      /* at once */
    uint32_t max_refused_late; /* after a wait */
} scenario;

typedef struct request {
    lv_time received;
    lv_time answered_at;  /* of the running attempt */
    lv_handle endpoint;   /* of the running attempt; LV_HANDLE_NONE: queued */
    lv_time returns_at;   /* of a refused one */
    uint32_t server;      /* that has the request */
    uint32_t tried_count; /* endpoints */
    lv_handle tried[ADM_TRIED_MAX];
    eng_reservation use;
    bool is_refusal; /* the running attempt is refused by the endpoint */
    bool is_ended;
} request;

typedef struct result {
    uint32_t reached; /* an endpoint that had said that it takes none */
    uint32_t served;
    uint32_t refused;
    uint32_t refused_late;
    uint32_t reborn; /* requests of the endpoint at the same address */
    uint32_t starts_after_backoff[10]; /* by 50 ms */
    uint32_t returns[40];   /* refused requests by 100 ms of their return */
    uint32_t early_returns; /* before the end of the back-off */
} result;

static eng_table table;
static adm_settings settings;
static request requests[REQUESTS_MAX];
static uint32_t request_count;
static uint32_t first_open; /* all before it have ended */

/* What each endpoint has said, as the caller of the test saw it. */
static lv_time left_at[ENDPOINTS_MAX + 1];
static lv_time none_until[ENDPOINTS_MAX + 1];

static lv_id
endpoint_id(uint32_t number)
{
    return number + 1;
}

static void
publish(uint32_t number)
{
    eng_spec spec = {
        .id = endpoint_id(number), .service = SERVICE, .slots = 16};

    snprintf(spec.name, sizeof spec.name, "e-%u", number);
    cr_assert_neq(eng_publish(&table, &spec), LV_HANDLE_NONE);
}

static void
configure(void)
{
    eng_set_service(&table, SERVICE, false, 0);
}

static bool
is_every(lv_time now, lv_time interval)
{
    return now % interval == 0;
}

static void
update_list(const scenario *with, lv_time now)
{
    uint32_t last = with->endpoints;

    if (with->listing == LIST_REBORN && now == 500 * LV_MILLISECOND) {
        eng_withdraw(&table, endpoint_id(0));
        publish(with->endpoints);
        configure();
    }
    for (uint32_t i = 0; i < last; i++) {
        if (with->listing == LIST_ERAS && is_every(now, 50 * TICK)) {
            eng_withdraw(&table, endpoint_id(i));
        }
        if ((with->listing == LIST_ERAS && is_every(now, 50 * TICK)) ||
            (with->listing == LIST_REREAD && is_every(now, 20 * TICK))) {
            publish(i);
        }
    }
    if (with->listing == LIST_SERVICES ? is_every(now, 20 * TICK)
                                       : with->listing == LIST_ERAS) {
        configure();
    }
}

static void
send_request(const scenario *with, request *one, const adm_decision *decision,
             lv_time now, result *to)
{
    uint32_t server =
        (uint32_t)eng_at(&table, decision->endpoint)->spec.id - 1;
    lv_time since = lv_elapsed(now, with->refuses_until);

    one->endpoint = decision->endpoint;
    one->server = server;
    one->is_refusal = server < with->refusing && now >= with->refuses_from &&
                      now < with->refuses_until;
    one->answered_at = now + (one->is_refusal ? REFUSAL_TIME : SERVICE_TIME);
    eng_start_predicted(&table, decision->endpoint,
                        &(eng_prompt){.affinity = LV_HANDLE_NONE},
                        &decision->prediction, now, &one->use);
    to->reached += now > left_at[server] || now < none_until[server];
    to->reborn += server == with->endpoints;
    if (server < with->refusing && now >= with->refuses_until &&
        since < AVL_SLOW_START) {
        to->starts_after_backoff[since / (50 * LV_MILLISECOND)]++;
    }
}

static void
refuse(const scenario *with, request *one, const adm_decision *decision,
       lv_time now, result *to)
{
    lv_time returns_at = now + decision->retry_after;

    one->is_ended = true;
    if (now - one->received <= AT_ONCE) {
        to->refused++;
    }
    else {
        to->refused_late++;
    }
    to->early_returns += returns_at < with->refuses_until;
    if (returns_at / (100 * LV_MILLISECOND) < 40) {
        to->returns[returns_at / (100 * LV_MILLISECOND)]++;
    }
}

static uint32_t
count_waiting(void)
{
    uint32_t count = 0;

    for (uint32_t i = first_open; i < request_count; i++) {
        count +=
            !requests[i].is_ended && requests[i].endpoint == LV_HANDLE_NONE;
    }
    return count;
}

static void
decide(const scenario *with, request *one, bool is_new, lv_time now,
       result *to)
{
    eng_prompt prompt = {.affinity = LV_HANDLE_NONE,
                         .secondary_affinity = LV_HANDLE_NONE};
    adm_request admission = {
        .service = SERVICE,
        .prompt = &prompt,
        .received = one->received,
        .target = with->target,
        .waiting = is_new ? count_waiting() : 0,
        .first_row = (uint32_t)map_mix(one->received + request_count),
        .tried_count = one->tried_count};
    adm_decision decision;

    memcpy(admission.tried, one->tried, sizeof one->tried);
    adm_decide(&settings, &table, &admission, now, &decision);
    if (decision.verdict == ADM_START) {
        send_request(with, one, &decision, now, to);
    }
    else if (decision.verdict == ADM_REFUSE) {
        refuse(with, one, &decision, now, to);
    }
}

static void
receive_answer(const scenario *with, request *one, lv_time now, result *to)
{
    lv_time left = with->refuses_until - now;

    eng_end_request(&table, &one->use, now);
    if (one->server < with->leaving && now >= with->leaves_at) {
        eng_begin_leaving(&table, one->endpoint);
        if (left_at[one->server] == LV_TIME_NEVER) {
            left_at[one->server] = now;
        }
    }
    if (!one->is_refusal) {
        one->is_ended = true;
        to->served++;
        return;
    }
    eng_begin_backoff(&table, one->endpoint, left, now);
    none_until[one->server] = with->refuses_until;
    one->tried[one->tried_count++] = one->endpoint;
    one->endpoint = LV_HANDLE_NONE;
    decide(with, one, false, now, to);
}

static void
step(const scenario *with, lv_time now, result *to)
{
    update_list(with, now);
    while (first_open < request_count && requests[first_open].is_ended) {
        first_open++;
    }
    for (uint32_t i = first_open; i < request_count; i++) {
        request *one = &requests[i];

        if (one->is_ended) {
            continue;
        }
        if (one->endpoint == LV_HANDLE_NONE) {
            decide(with, one, false, now, to);
        }
        else if (now >= one->answered_at) {
            receive_answer(with, one, now, to);
        }
    }
    for (uint32_t i = 0; i < with->per_tick && now < with->length; i++) {
        request *one = &requests[request_count];

        cr_assert_lt(request_count, REQUESTS_MAX);
        memset(one, 0, sizeof *one);
        one->received = now;
        one->endpoint = LV_HANDLE_NONE;
        decide(with, one, true, now, to);
        request_count++;
    }
    while (eng_end_backoff(&table, now) != LV_HANDLE_NONE) {
    }
}

static void
play(const scenario *with, result *to)
{
    eng_settings engine;

    memset(to, 0, sizeof *to);
    request_count = 0;
    first_open = 0;
    adm_default_settings(&settings);
    eng_default_settings(&engine);
    cr_assert(eng_init(&table, &engine, NULL));
    for (uint32_t i = 0; i < ENDPOINTS_MAX + 1; i++) {
        left_at[i] = LV_TIME_NEVER;
        none_until[i] = 0;
    }
    for (uint32_t i = 0; i < with->endpoints; i++) {
        publish(i);
    }
    configure();
    for (lv_time now = TICK; now < with->length + 2 * LV_SECOND; now += TICK) {
        step(with, now, to);
    }
    eng_finish(&table);
}

#define MS LV_MILLISECOND

/* Requests of the tick before the answer was read are on their way: at most
 * those of two ticks reach an endpoint later. */
static const scenario scenarios[] = {
    {"one leaves", 4, 1, 300 * MS, 0, 0, 0, 1, 400 * MS, 1000 * MS,
     LIST_UNCHANGED, 0, 0, 0},
    {"one leaves, list reread", 4, 1, 300 * MS, 0, 0, 0, 1, 400 * MS,
     1000 * MS, LIST_REREAD, 0, 0, 0},
    {"one leaves, list of older eras", 4, 1, 300 * MS, 0, 0, 0, 1, 400 * MS,
     1000 * MS, LIST_ERAS, 0, 0, 0},
    {"one leaves, configurations", 4, 1, 300 * MS, 0, 0, 0, 1, 400 * MS,
     1000 * MS, LIST_SERVICES, 0, 0, 0},
    {"one leaves and is reborn", 4, 1, 300 * MS, 0, 0, 0, 1, 400 * MS,
     1000 * MS, LIST_REBORN, 0, 0, 0},
    {"half back off", 4, 0, 0, 2, 300 * MS, 700 * MS, 1, 400 * MS, 1500 * MS,
     LIST_UNCHANGED, 0, 0, 0},
    {"half back off, list reread", 4, 0, 0, 2, 300 * MS, 700 * MS, 1, 400 * MS,
     1500 * MS, LIST_REREAD, 0, 0, 0},
    {"half back off, list of older eras", 4, 0, 0, 2, 300 * MS, 700 * MS, 1,
     400 * MS, 1500 * MS, LIST_ERAS, 0, 0, 0},
    {"all back off for long", 4, 0, 0, 4, 300 * MS, 2000 * MS, 1, 400 * MS,
     1000 * MS, LIST_UNCHANGED, 0, 700, 0},
    {"all back off for long, list of older eras", 4, 0, 0, 4, 300 * MS,
     2000 * MS, 1, 400 * MS, 1000 * MS, LIST_ERAS, 0, 700, 0},
    {"one leaves, the others back off", 4, 1, 300 * MS, 4, 300 * MS, 600 * MS,
     1, 400 * MS, 1000 * MS, LIST_UNCHANGED, 0, 700, 0},
    {"one leaves and backs off", 2, 1, 300 * MS, 1, 400 * MS, 800 * MS, 1,
     400 * MS, 1500 * MS, LIST_REREAD, 0, 0, 0},
    {"one backs off, leaves and is reborn", 2, 1, 450 * MS, 1, 300 * MS,
     1200 * MS, 1, 400 * MS, 1500 * MS, LIST_REBORN, 0, 0, 0},
};

Test(availability, no_request_reaches_an_endpoint_that_takes_none)
{
    for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++) {
        const scenario *with = &scenarios[i];
        result got;

        play(with, &got);
        cr_log_info("%s: reached %u served %u refused %u late %u of %u",
                    with->name, got.reached, got.served, got.refused,
                    got.refused_late, request_count);
        cr_expect_leq(got.reached, with->max_reached, "%s: %u reached",
                      with->name, got.reached);
        cr_expect_leq(got.refused, with->max_refused, "%s: %u refused",
                      with->name, got.refused);
        cr_expect_leq(got.refused_late, with->max_refused_late,
                      "%s: %u refused late", with->name, got.refused_late);
        cr_expect_eq(got.served + got.refused + got.refused_late,
                     request_count, "%s: a request did not end", with->name);
        if (with->listing == LIST_REBORN) {
            cr_expect_gt(got.reborn, 0, "%s", with->name);
        }
    }
}

/* Callers come back after the back-off, spread over the slow start. */
Test(availability, refused_requests_do_not_return_together)
{
    scenario with = {"all back off", 2,         0, 0,        2,
                     300 * MS,       2000 * MS, 2, 400 * MS, 1000 * MS,
                     LIST_UNCHANGED, 0,         0, 0};
    result got;
    uint32_t most = 0;

    play(&with, &got);
    for (size_t i = 0; i < 40; i++) {
        most = got.returns[i] > most ? got.returns[i] : most;
    }
    cr_log_info("refused %u, early %u, most in 100 ms %u", got.refused,
                got.early_returns, most);
    cr_expect_gt(got.refused, 1000);
    cr_expect_eq(got.early_returns, 0, "%u", got.early_returns);
    cr_expect_leq(most, got.refused / 5, "%u of %u", most, got.refused);
}

/* Requests wait for the end of the back-off: some start then, the others with
 * the steps of the slow start, and no more wait than can start in time. */
Test(availability, waiting_requests_start_a_few_at_a_time)
{
    scenario with = {"one backs off", 1,        0, 0,         1,
                     100 * MS,        500 * MS, 1, 1500 * MS, 480 * MS,
                     LIST_UNCHANGED,  0,        0, 0};
    result got;

    play(&with, &got);
    cr_log_info("served %u refused %u late %u; starts after the back-off: %u "
                "%u %u %u %u %u",
                got.served, got.refused, got.refused_late,
                got.starts_after_backoff[0], got.starts_after_backoff[1],
                got.starts_after_backoff[2], got.starts_after_backoff[3],
                got.starts_after_backoff[4], got.starts_after_backoff[5]);
    cr_expect_leq(got.starts_after_backoff[0], 2);
    cr_expect_leq(got.starts_after_backoff[1], 2);
    cr_expect_leq(got.starts_after_backoff[2], 4);
    cr_expect_gt(got.served, 150);
    cr_expect_leq(got.refused_late, 20, "%u", got.refused_late);
}
