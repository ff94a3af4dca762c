#include "emulator-imp.h"

#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

/* The engines of the deployments' sheets. */
static const emu_shape default_shape = {.slots = 32,
                                        .chunk_tokens = 2048,
                                        .step_us = 3370,
                                        .step_us_per_request = 11,
                                        .read_tokens_per_ms = 61.2,
                                        .memory_tokens = 500000};

#define TICK (LV_MILLISECOND)
#define GOSSIP (40 * LV_MILLISECOND)
#define HOLD_TICKS 10
#define MAX_DENIALS 3 /* of starts by coordinators */

emu_instance emu_instances[EMU_INSTANCES_MAX];
static emu_engine engines[EMU_ENGINES];
static emu_request requests[EMU_REQUESTS];
static uint32_t request_count;
static uint64_t random_state;
static const emu_shape *shape;
const emu_load *emu_playing;
static emu_result *result;

uint32_t
emu_draw(uint32_t below)
{
    random_state += 0x9e3779b97f4a7c15u;
    return (uint32_t)(map_mix(random_state) % below);
}

uint32_t
emu_instance_count(void)
{
    return emu_playing->fleet != NULL ? emu_playing->fleet->instances
                                      : EMU_INSTANCES;
}

double
emu_factor(uint32_t engine, lv_time now)
{
    return emu_playing->speed != NULL ? emu_playing->speed(engine, now) : 1;
}

uint32_t
emu_first_tokens(uint32_t engine, lv_time now)
{
    return engines[engine].factor == emu_factor(engine, now)
               ? engines[engine].first_tokens
               : 0;
}

static void
start_instances(void)
{
    for (uint32_t i = 0; i < emu_instance_count(); i++) {
        emu_instance *self = &emu_instances[i];
        eng_settings settings;

        memset(self, 0, sizeof *self);
        eng_default_settings(&settings);
        if (emu_playing->prefill_rate > 0) {
            settings.prefill_tokens_per_ms = emu_playing->prefill_rate;
        }
        settings.learn_speed_slots = emu_playing->learn_slots;
        adm_default_settings(&self->admission);
        self->admission.pause_tokens = emu_playing->pause_tokens;
        cr_assert(eng_init(&self->engines, &settings, NULL));
        shr_init(&self->shares, 4 * LV_SECOND);
        for (lv_id e = 0; e < EMU_ENGINES; e++) {
            eng_spec spec = {
                .id = 1000 + e, .service = EMU_SERVICE, .slots = shape->slots};

            snprintf(spec.address, sizeof spec.address, "10.0.0.%u:1",
                     (unsigned)e);
            cr_assert_eq(eng_publish(&self->engines, &spec), e);
        }
        eng_set_service(&self->engines, EMU_SERVICE, true,
                        shape->memory_tokens);
        for (lv_id a = 0; a < EMU_ACCOUNTS; a++) {
            cr_assert_eq(shr_find_or_add(&self->shares, a + 1), a);
        }
    }
}

static void
stop_instances(void)
{
    for (uint32_t i = 0; i < emu_instance_count(); i++) {
        eng_finish(&emu_instances[i].engines);
        shr_finish(&emu_instances[i].shares);
    }
}

static void
tell(emu_instance *from, emu_instance *to, lv_time now)
{
    for (lv_handle e = 0; e < EMU_ENGINES; e++) {
        eng_apply_peer_load(&to->engines, e, &from->said[e],
                            &from->engines.endpoints[e].local, now);
        eng_apply_peer_speed(&to->engines, e,
                             (uint64_t)(from - emu_instances) + 1,
                             &from->said[e].speed,
                             &from->engines.endpoints[e].local.speed, now);
    }
    for (lv_handle a = 0; a < EMU_ACCOUNTS; a++) {
        const shr_totals *own = &from->shares.accounts[a].local;
        shr_totals added = {
            .requested = own->requested - from->said_shares[a].requested,
            .served = own->served - from->said_shares[a].served};

        shr_add_peer(&to->shares, a, &added, now);
    }
    for (uint32_t i = 0; !emu_playing->has_no_uses && i < from->chain_count;
         i++) {
        eng_touch_block(&to->engines, from->chain_engines[i], from->chains[i]);
    }
}

static void
gossip(lv_time now)
{
    for (uint32_t i = 0; i < emu_instance_count(); i++) {
        for (uint32_t k = 0; k < emu_instance_count(); k++) {
            if (i != k) {
                tell(&emu_instances[i], &emu_instances[k], now);
            }
        }
        for (lv_handle e = 0; e < EMU_ENGINES; e++) {
            emu_instances[i].said[e] =
                emu_instances[i].engines.endpoints[e].local;
        }
        for (lv_handle a = 0; a < EMU_ACCOUNTS; a++) {
            emu_instances[i].said_shares[a] =
                emu_instances[i].shares.accounts[a].local;
        }
        emu_instances[i].chain_count = 0;
    }
}

/* Is the part kept, or fetched from an engine that keeps it? Transfers take no
 * time. */
static bool
is_at_hand(emu_engine *engine, lv_handle source, const eng_block *block)
{
    if (emu_find_part(engine, block->prefix_hash) != NULL) {
        return true;
    }
    if (source == LV_HANDLE_NONE ||
        emu_find_part(&engines[source], block->prefix_hash) == NULL) {
        return false;
    }
    result->shared_fetched += block->tokens;
    return true;
}

static void
arrive_at_engine(emu_request *request, uint32_t number, lv_handle source)
{
    emu_engine *engine = &engines[request->engine];
    const eng_prompt *prompt = &request->prompt;
    bool is_kept = true;

    request->unread = prompt->tokens;
    for (uint32_t i = 0; i < prompt->block_count; i++) {
        bool is_shared = i + 1 < prompt->block_count;

        is_kept = is_kept && is_at_hand(engine, source, &prompt->blocks[i]);
        if (is_kept) {
            request->unread -= prompt->blocks[i].tokens;
        }
        if (is_shared) {
            result->shared_tokens += prompt->blocks[i].tokens;
            result->shared_read += is_kept ? 0 : prompt->blocks[i].tokens;
        }
        emu_keep_part(engine, shape->memory_tokens,
                      prompt->blocks[i].prefix_hash, prompt->blocks[i].tokens);
    }
    cr_assert_lt(engine->reading_count, 256);
    engine->reading[engine->reading_count++] = number;
}

static void
decide(uint32_t number, lv_time now)
{
    emu_request *request = &requests[number];
    emu_instance *self = &emu_instances[request->instance];
    adm_request asked = {.service = EMU_SERVICE,
                         .prompt = &request->prompt,
                         .received = request->received,
                         .target = request->aim,
                         .gap_target = shape->gap_aim};
    adm_decision decision;
    lv_handle source = LV_HANDLE_NONE;

    if (emu_playing->fleet != NULL && emu_playing->fleet->is_pinned) {
        for (lv_handle e = 0; e < EMU_ENGINES; e++) {
            if (e != number % EMU_ENGINES) {
                asked.tried[asked.tried_count++] = e;
            }
        }
    }
    eng_clear_affinity(&request->prompt);
    if (!emu_playing->has_no_homes) {
        eng_find_affinity(&self->engines, EMU_SERVICE, &request->prompt);
        request->prompt.secondary_affinity =
            LV_HANDLE_NONE; /* all uses are known */
    }
    if (!emu_playing->has_no_shares) {
        asked.share_ratio =
            shr_ratio(&self->shares, request->account,
                      request->prompt.tokens + 2 * request->output, now);
    }
    adm_decide(&self->admission, &self->engines, &asked, now, &decision);
    request->is_held = decision.verdict == ADM_QUEUE;
    request->is_refused = decision.verdict == ADM_REFUSE;
    if (decision.verdict != ADM_START) {
        return;
    }
    if (emu_playing->fleet != NULL &&
        !emu_ask_start(request->instance, decision.endpoint, &asked, now,
                       &decision.prediction)) {
        request->is_refused = ++request->denials == MAX_DENIALS;
        request->is_held = !request->is_refused;
        return;
    }
    request->is_started = true;
    request->engine = decision.endpoint;
    if (emu_playing->has_fetches) {
        source = emu_choose_source(self, request, &decision, now);
    }
    eng_start_predicted(&self->engines, decision.endpoint, &request->prompt,
                        &decision.prediction, now, &request->use);
    if (self->chain_count < 256) {
        self->chains[self->chain_count] =
            request->prompt.blocks[1].prefix_hash;
        self->chain_engines[self->chain_count++] = decision.endpoint;
    }
    shr_add_served(&self->shares, request->account,
                   request->prompt.tokens + 2 * request->output, now);
    arrive_at_engine(request, number, source);
}

static uint32_t
draw_account(void)
{
    uint32_t total = 0;
    uint32_t place;
    uint32_t i;

    for (i = 0; i < EMU_ACCOUNTS; i++) {
        total += emu_playing->weights[i];
    }
    place = emu_draw(total);
    for (i = 0; place >= emu_playing->weights[i]; i++) {
        place -= emu_playing->weights[i];
    }
    return i;
}

static void
arrive(uint32_t kind_number, lv_time now)
{
    const emu_kind *kind = &emu_playing->kinds[kind_number];
    emu_request *request = &requests[request_count];
    emu_instance *self;
    uint32_t session;

    cr_assert_lt(request_count, EMU_REQUESTS);
    memset(request, 0, sizeof *request);
    request->kind = kind_number;
    request->account = draw_account();
    /* Callers are spread unevenly, as by a hash of their addresses. */
    request->instance =
        emu_draw(emu_instance_count() + 1) % emu_instance_count();
    request->received = now;
    request->aim = kind->aim;
    request->deadline = kind->deadline;
    request->output = kind->output / 2 + emu_draw(kind->output);
    request->prompt.output_tokens = request->output;
    request->prompt.tokens = kind->shared_tokens + kind->own_tokens;
    /* A part that all sessions of a third share, and the session's own. */
    session = emu_draw(kind->sessions);
    eng_add_block(&request->prompt, kind_number * 100000 + session % 3 + 1,
                  kind->shared_tokens / 10);
    eng_add_block(&request->prompt, kind_number * 100000 + session + 10,
                  kind->shared_tokens - kind->shared_tokens / 10);
    eng_add_block(&request->prompt, ((uint64_t)1 << 40) + request_count,
                  kind->own_tokens);
    self = &emu_instances[request->instance];
    shr_add_requested(&self->shares, request->account,
                      request->prompt.tokens + 2 * request->output, now);
    decide(request_count++, now);
}

static void
finish(uint32_t number, lv_time now)
{
    emu_request *request = &requests[number];

    request->ended_at = now;
    eng_end_request(&emu_instances[request->instance].engines, &request->use,
                    now);
}

static void
record_first(emu_engine *engine, uint32_t number, lv_time now)
{
    emu_request *request = &requests[number];

    request->first_at = now;
    request->event_at = now;
    engine->first_tokens += request->use.started_at >= engine->changed_at &&
                            spd_is_usable(request->use.work_tokens);
    eng_record_first_token(&emu_instances[request->instance].engines,
                           &request->use, now);
    engine->running[engine->running_count++] = number;
}

/* In engines of a given shape the first token is out when the chunk with the
 * end of its prompt is read, in the default ones at the chunk's begin. */
static uint32_t
read_chunk(emu_engine *engine, lv_time now)
{
    uint32_t left = shape->chunk_tokens;

    while (engine->reading_count > 0 && left > 0 &&
           engine->running_count + engine->ending_count < shape->slots) {
        uint32_t number = engine->reading[0];
        emu_request *request = &requests[number];
        uint32_t part = request->unread < left ? request->unread : left;

        request->unread -= part;
        left -= part;
        if (request->unread > 0) {
            break;
        }
        if (emu_playing->shape == NULL) {
            record_first(engine, number, now);
        }
        else {
            engine->ending[engine->ending_count++] = number;
        }
        engine->reading_count--;
        memmove(engine->reading, engine->reading + 1,
                engine->reading_count * sizeof *engine->reading);
    }
    return shape->chunk_tokens - left;
}

static void
count_token(emu_request *request, lv_time now)
{
    if (shape->event_tokens > 0 &&
        ++request->in_event == shape->event_tokens) {
        lv_time gap = now - request->event_at;

        request->longest_gap =
            gap > request->longest_gap ? gap : request->longest_gap;
        request->event_at = now;
        request->in_event = 0;
    }
}

static void
step(emu_engine *engine, lv_time now)
{
    double factor = emu_factor((uint32_t)(engine - engines), now);
    double read;

    if (factor != engine->factor) {
        engine->factor = factor;
        engine->changed_at = now;
        engine->first_tokens = 0;
    }

    for (uint32_t i = engine->running_count; i > 0; i--) {
        uint32_t number = engine->running[i - 1];

        count_token(&requests[number], now);
        if (--requests[number].output == 0) {
            finish(number, now);
            engine->running[i - 1] = engine->running[--engine->running_count];
        }
    }
    while (engine->ending_count > 0) {
        record_first(engine, engine->ending[--engine->ending_count], now);
    }
    read = (double)read_chunk(engine, now) / shape->read_tokens_per_ms * 1000;
    engine->next_step =
        now +
        (lv_time)((shape->step_us +
                   (double)engine->running_count * shape->step_us_per_request +
                   read) /
                  factor);
}

static void
decide_held(lv_time now)
{
    uint32_t first = request_count > 2000 ? request_count - 2000 : 0;

    for (uint32_t i = first; i < request_count; i++) {
        if (requests[i].is_held) {
            decide(i, now);
        }
    }
}

static void
count_results(void)
{
    for (uint32_t i = 0; i < request_count; i++) {
        const emu_request *request = &requests[i];
        uint32_t tokens =
            request->prompt.tokens + 2 * request->prompt.output_tokens;

        result->asked++;
        result->started += request->is_started;
        result->refused += request->is_refused;
        result->in_aim +=
            request->first_at != 0 &&
            request->first_at <= request->received + request->aim;
        result->in_time +=
            request->ended_at != 0 &&
            request->ended_at <= request->received + request->deadline;
        result->in_gap +=
            request->first_at != 0 &&
            request->first_at <= request->received + request->aim &&
            request->ended_at != 0 &&
            request->ended_at <= request->received + request->deadline &&
            request->longest_gap <= shape->gap_aim;
        result->long_asked += request->kind == 0;
        result->long_in_time +=
            request->kind == 0 && request->ended_at != 0 &&
            request->ended_at <= request->received + request->deadline;
        if (request->received > emu_playing->length / 3) {
            result->asked_tokens[request->account] += tokens;
            result->got[request->account] += request->is_started ? tokens : 0;
        }
    }
}

void
emu_play(const emu_load *with, emu_result *to)
{
    lv_time tail = 30 * LV_SECOND; /* for what runs to its end */
    lv_time now;

    emu_playing = with;
    shape = with->shape != NULL ? with->shape : &default_shape;
    result = to;
    memset(to, 0, sizeof *to);
    memset(engines, 0, sizeof engines);
    request_count = 0;
    random_state = with->seed != 0 ? with->seed : 77;
    start_instances();
    for (now = TICK; now < emu_playing->length + tail; now += TICK) {
        for (uint32_t k = 0;
             now < emu_playing->length && k < emu_playing->kind_count; k++) {
            if (emu_draw(1000) < emu_playing->kinds[k].per_second) {
                arrive(k, now);
            }
        }
        for (uint32_t e = 0; e < EMU_ENGINES; e++) {
            if (engines[e].next_step <= now) {
                step(&engines[e], now);
            }
        }
        if (emu_playing->fleet != NULL) {
            emu_tick_fleet(now);
        }
        else if (now % GOSSIP == 0) {
            gossip(now);
        }
        if (now % (HOLD_TICKS * TICK) == 0) {
            decide_held(now);
        }
    }
    count_results();
    stop_instances();
}
