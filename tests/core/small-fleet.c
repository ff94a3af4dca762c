#include "small-fleet.h"

#include <criterion/criterion.h>

#include <string.h>

#define TICK LV_MILLISECOND
#define GOSSIP (100 * LV_MILLISECOND)
#define LOOP_TIMER (20 * LV_MILLISECOND)
#define PROBE (1000 * LV_MILLISECOND)
#define GIVE_UP (2500 * LV_MILLISECOND)
#define AIM (400 * LV_MILLISECOND)
#define EVENT_INTERVAL (30 * LV_MILLISECOND)
#define PREFILL_TOKENS_PER_MS 61
#define SLOTS 64
#define SERVICE ((lv_id)9)
#define REQUESTS_MAX 120000
#define WORK_MAX 65536

/* CPU time of pieces of work in us, as on the users' bench. */
#define REFUSAL_COST 40
#define START_COST 90
#define EVENT_COST 12
#define TIMER_COST 20

typedef enum work_kind {
    WORK_REQUEST,
    WORK_FIRST_TOKEN,
    WORK_EVENT,
    WORK_TIMER
} work_kind;

typedef struct work {
    work_kind kind;
    uint32_t request;
} work;

typedef enum request_state {
    STATE_ARRIVED, /* not looked at */
    STATE_QUEUED,
    STATE_STARTED,
    STATE_ENDED
} request_state;

typedef struct fleet_request {
    uint32_t account;
    uint32_t instance;
    uint32_t engine;
    request_state state;
    eng_prompt prompt;
    eng_reservation use;
    lv_time arrived_at;
    lv_time begins_at; /* the engine's first token */
    uint32_t events_left;
    lv_time next_event;
    bool has_begun;  /* at the engine */
    bool was_seen;   /* the instance saw the first token */
    bool is_counted; /* in the account's share */
    bool is_return;
    lv_time returns_at;
} fleet_request;

typedef struct fleet_instance {
    eng_table engines;
    shr_shares shares;
    adm_settings admission;
    ovl_detector overload;
    eng_load reported[FLEET_ENGINES];
    shr_totals reported_shares[FLEET_ACCOUNTS];
    work queue[WORK_MAX];
    uint32_t first;
    uint32_t count;
    double credit; /* CPU time in us */
    bool has_timer;
    bool is_in_rotation;
    lv_time next_timer;
} fleet_instance;

static fleet_instance instances[FLEET_INSTANCES];
static lv_time engine_free_at[FLEET_ENGINES];
static fleet_request requests[REQUESTS_MAX];
static uint32_t request_count;
static uint32_t first_active;
static uint64_t random_state;
static const fleet_load *load;
static fleet_result *result;

static uint32_t
draw(uint32_t below)
{
    random_state += 0x9e3779b97f4a7c15u;
    return (uint32_t)(map_mix(random_state) % below);
}

static void
push(uint32_t instance, work_kind kind, uint32_t request)
{
    fleet_instance *self = &instances[instance];

    cr_assert_lt(self->count, WORK_MAX);
    self->queue[(self->first + self->count++) % WORK_MAX] =
        (work){.kind = kind, .request = request};
}

static void
start_instance(fleet_instance *self)
{
    eng_settings settings;

    memset(self, 0, sizeof *self);
    eng_default_settings(&settings);
    adm_default_settings(&self->admission);
    cr_assert(eng_init(&self->engines, &settings, NULL));
    shr_init(&self->shares, 4 * LV_SECOND);
    ovl_init(&self->overload, LOOP_TIMER);
    self->is_in_rotation = true;
    for (lv_id e = 0; e < FLEET_ENGINES; e++) {
        eng_spec spec = {.id = 1000 + e, .service = SERVICE, .slots = SLOTS};

        cr_assert_eq(eng_publish(&self->engines, &spec), e);
    }
    eng_set_service(&self->engines, SERVICE, true, 500000);
    for (lv_id a = 0; a < FLEET_ACCOUNTS; a++) {
        cr_assert_eq(shr_find_or_add(&self->shares, a + 1), a);
    }
}

/* What instances tell each other; each hears it in time, as when a loop that
 * is late reads its datagrams first. */
static void
gossip(lv_time now)
{
    for (int i = 0; i < FLEET_INSTANCES; i++) {
        fleet_instance *from = &instances[i];

        for (int k = 0; k < FLEET_INSTANCES; k++) {
            fleet_instance *to = &instances[k];

            for (lv_handle e = 0; k != i && e < FLEET_ENGINES; e++) {
                eng_apply_peer_load(&to->engines, e, &from->reported[e],
                                    &from->engines.endpoints[e].local, now);
            }
            for (lv_handle a = 0; k != i && a < FLEET_ACCOUNTS; a++) {
                const shr_totals *own = &from->shares.accounts[a].local;
                shr_totals added = {
                    .requested =
                        own->requested - from->reported_shares[a].requested,
                    .served = own->served - from->reported_shares[a].served};

                shr_add_peer(&to->shares, a, &added, now);
            }
        }
        for (lv_handle e = 0; e < FLEET_ENGINES; e++) {
            from->reported[e] = from->engines.endpoints[e].local;
        }
        for (lv_handle a = 0; a < FLEET_ACCOUNTS; a++) {
            from->reported_shares[a] = from->shares.accounts[a].local;
        }
    }
}

/* The platform's choice: an instance that the caller's address hashes to, or
 * another one while that is not ready. */
static uint32_t
choose_instance(uint32_t account)
{
    uint32_t chosen =
        account == 0 ? draw(load->known_instances) : draw(FLEET_INSTANCES);

    if (!instances[chosen].is_in_rotation) {
        chosen = draw(FLEET_INSTANCES);
    }
    return chosen;
}

static void
arrive(uint32_t account, bool is_return, lv_time now)
{
    fleet_request *request = &requests[request_count];

    cr_assert_lt(request_count, REQUESTS_MAX);
    memset(request, 0, sizeof *request);
    request->account = account;
    request->instance = choose_instance(account);
    request->arrived_at = now;
    request->is_return = is_return;
    request->prompt.tokens = load->tokens;
    request->prompt.output_tokens = load->events * 8;
    eng_clear_affinity(&request->prompt);
    if (!is_return && now / LV_SECOND < FLEET_WINDOWS) {
        result->requested[now / LV_SECOND][account] += load->tokens;
    }
    push(request->instance, WORK_REQUEST, request_count++);
}

static uint32_t
share_tokens(const fleet_request *request)
{
    return request->prompt.tokens + 2 * request->prompt.output_tokens;
}

static void
end_request(fleet_request *request, lv_time now)
{
    fleet_instance *self = &instances[request->instance];

    if (request->state == STATE_STARTED) {
        eng_end_request(&self->engines, &request->use, now);
    }
    if (request->is_counted && !request->was_seen && !load->counts_unbegun) {
        shr_return_served(&self->shares, request->account,
                          share_tokens(request), now);
        result->counted[request->account] -= share_tokens(request);
    }
    request->state = STATE_ENDED;
}

static void
start_request(fleet_request *request, lv_handle engine, lv_time now)
{
    fleet_instance *self = &instances[request->instance];

    request->state = STATE_STARTED;
    request->engine = engine;
    request->is_counted = true;
    request->events_left = load->events;
    eng_start_request(&self->engines, engine, &request->prompt, now,
                      &request->use);
    shr_add_served(&self->shares, request->account, share_tokens(request),
                   now);
    result->counted[request->account] += share_tokens(request);
    if (engine_free_at[engine] < now) {
        engine_free_at[engine] = now;
    }
    /* Half of the engine's time goes to decoding. */
    engine_free_at[engine] +=
        (lv_time)request->prompt.tokens * 2 * 1000 / PREFILL_TOKENS_PER_MS;
    request->begins_at = engine_free_at[engine];
    request->next_event = request->begins_at + EVENT_INTERVAL;
}

static void
refuse(fleet_request *request, lv_time retry_after, lv_time now)
{
    end_request(request, now);
    if (!request->is_return) {
        request->returns_at = now + retry_after;
    }
}

static void
decide(uint32_t number, lv_time now)
{
    fleet_request *request = &requests[number];
    fleet_instance *self = &instances[request->instance];
    double share =
        shr_ratio(&self->shares, request->account, share_tokens(request), now);
    adm_request asked = {.service = SERVICE,
                         .prompt = &request->prompt,
                         .received = request->arrived_at,
                         .target = AIM,
                         .first_row = draw(1000),
                         .share_ratio = share};
    adm_decision decision;

    if (request->state == STATE_ARRIVED &&
        ovl_should_shed(&self->overload, share, draw(1000))) {
        refuse(request, LV_SECOND, now);
        return;
    }
    adm_decide(&self->admission, &self->engines, &asked, now, &decision);
    request->state = STATE_QUEUED;
    if (decision.verdict == ADM_START) {
        start_request(request, decision.endpoint, now);
    }
    else if (decision.verdict == ADM_REFUSE) {
        refuse(request, decision.retry_after, now);
    }
}

static double
work_on(fleet_instance *self, const work *piece, lv_time now)
{
    fleet_request *request = &requests[piece->request];

    switch (piece->kind) {
    case WORK_TIMER: {
        lv_time delay = ovl_record_tick(&self->overload, now);

        result->worst_turn =
            delay > result->worst_turn ? delay : result->worst_turn;
        self->has_timer = false;
        self->next_timer = now + LOOP_TIMER;
        return TIMER_COST;
    }
    case WORK_REQUEST:
        if (request->state != STATE_ARRIVED) {
            return REFUSAL_COST; /* its caller has left */
        }
        shr_add_requested(&self->shares, request->account,
                          share_tokens(request), now);
        decide(piece->request, now);
        return request->state == STATE_STARTED ? START_COST : REFUSAL_COST;
    case WORK_FIRST_TOKEN:
        if (request->state == STATE_STARTED) {
            request->was_seen = true;
            eng_record_first_token(&self->engines, &request->use, now);
        }
        return EVENT_COST;
    case WORK_EVENT:
        return EVENT_COST;
    }
    return 0;
}

static void
run_instance(uint32_t number, lv_time now)
{
    fleet_instance *self = &instances[number];

    if (now >= self->next_timer && !self->has_timer) {
        self->has_timer = true;
        push(number, WORK_TIMER, 0);
    }
    self->credit += load->cpu_share * (double)TICK;
    while (self->count > 0 && self->credit > 0) {
        work piece = self->queue[self->first];

        self->first = (self->first + 1) % WORK_MAX;
        self->count--;
        self->credit -= work_on(self, &piece, now);
    }
    if (self->count == 0 && self->credit > 0) {
        self->credit = 0;
    }
}

static void
probe(void)
{
    for (int i = 0; i < FLEET_INSTANCES; i++) {
        instances[i].is_in_rotation =
            load->stays_in_rotation || !instances[i].overload.is_overloaded;
    }
}

static void
advance_request(uint32_t number, lv_time now)
{
    fleet_request *request = &requests[number];

    if (request->returns_at != 0 && now >= request->returns_at) {
        request->returns_at = 0;
        arrive(request->account, true, now);
    }
    if (request->state == STATE_ENDED) {
        return;
    }
    if (!request->was_seen && now >= request->arrived_at + GIVE_UP) {
        result->left++;
        end_request(request, now);
        return;
    }
    if (request->state == STATE_QUEUED && now % (10 * TICK) == 0) {
        decide(number, now);
    }
    if (request->state != STATE_STARTED) {
        return;
    }
    if (!request->has_begun && now >= request->begins_at) {
        request->has_begun = true;
        result->began[request->account] += share_tokens(request);
        if (now / LV_SECOND < FLEET_WINDOWS) {
            result->begun[now / LV_SECOND][request->account] += load->tokens;
        }
        push(request->instance, WORK_FIRST_TOKEN, number);
    }
    if (request->has_begun && now >= request->next_event) {
        request->next_event += EVENT_INTERVAL;
        push(request->instance, WORK_EVENT, number);
        if (--request->events_left == 0) {
            end_request(request, now);
        }
    }
}

static void
advance_requests(lv_time now)
{
    uint32_t end = request_count;

    while (first_active < end && requests[first_active].state == STATE_ENDED &&
           requests[first_active].returns_at == 0) {
        first_active++;
    }
    for (uint32_t i = first_active; i < end; i++) {
        advance_request(i, now);
    }
}

void
fleet_play(const fleet_load *with, fleet_result *to)
{
    lv_time now;

    load = with;
    result = to;
    memset(to, 0, sizeof *to);
    memset(engine_free_at, 0, sizeof engine_free_at);
    request_count = 0;
    first_active = 0;
    random_state = 77;
    for (int i = 0; i < FLEET_INSTANCES; i++) {
        start_instance(&instances[i]);
    }
    for (now = TICK; now < load->length; now += TICK) {
        for (uint32_t a = 0; a < FLEET_ACCOUNTS; a++) {
            uint32_t per_second = load->per_second[a];

            for (uint32_t k = 0; k < per_second / 1000; k++) {
                arrive(a, false, now);
            }
            if (draw(1000) < per_second % 1000) {
                arrive(a, false, now);
            }
        }
        advance_requests(now);
        for (uint32_t i = 0; i < FLEET_INSTANCES; i++) {
            run_instance(i, now);
        }
        if (now % GOSSIP == 0) {
            gossip(now);
        }
        if (now % PROBE == 0) {
            probe();
        }
    }
    for (uint32_t i = 0; i < request_count; i++) {
        if (requests[i].state != STATE_ENDED) {
            end_request(&requests[i], now);
        }
    }
    for (int i = 0; i < FLEET_INSTANCES; i++) {
        eng_finish(&instances[i].engines);
        shr_finish(&instances[i].shares);
    }
}
