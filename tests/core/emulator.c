#include "emulator.h"

#include <criterion/criterion.h>

#include <stdio.h>
#include <string.h>

/* The engines of the deployments' sheets. */
#define STEP_US 3370
#define STEP_US_PER_REQUEST 11
#define CHUNK_TOKENS 2048
#define READ_TOKENS_PER_MS 61.2
#define SLOTS 32
#define MEMORY_TOKENS 500000

#define TICK (LV_MILLISECOND)
#define GOSSIP (40 * LV_MILLISECOND)
#define HOLD_TICKS 10
#define SERVICE ((lv_id)9)

typedef struct instance {
    eng_table engines;
    shr_shares shares;
    adm_settings admission;
    eng_load said[EMU_ENGINES];
    shr_totals said_shares[EMU_ACCOUNTS];
    uint64_t chains[256]; /* parts used since the last word */
    uint32_t chain_engines[256];
    uint32_t chain_count;
} instance;

static instance instances[EMU_INSTANCES];
static emu_engine engines[EMU_ENGINES];
static emu_request requests[EMU_REQUESTS];
static uint32_t request_count;
static uint64_t random_state;
static const emu_load *load;
static emu_result *result;

static uint32_t
draw(uint32_t below)
{
    random_state += 0x9e3779b97f4a7c15u;
    return (uint32_t)(map_mix(random_state) % below);
}

static void
start_instances(void)
{
    for (int i = 0; i < EMU_INSTANCES; i++) {
        instance *self = &instances[i];
        eng_settings settings;

        memset(self, 0, sizeof *self);
        eng_default_settings(&settings);
        if (load->prefill_rate > 0) {
            settings.prefill_tokens_per_ms = load->prefill_rate;
        }
        adm_default_settings(&self->admission);
        cr_assert(eng_init(&self->engines, &settings, NULL));
        shr_init(&self->shares, 4 * LV_SECOND);
        for (lv_id e = 0; e < EMU_ENGINES; e++) {
            eng_spec spec = {
                .id = 1000 + e, .service = SERVICE, .slots = SLOTS};

            snprintf(spec.address, sizeof spec.address, "10.0.0.%u:1",
                     (unsigned)e);
            cr_assert_eq(eng_publish(&self->engines, &spec), e);
        }
        eng_set_service(&self->engines, SERVICE, true, MEMORY_TOKENS);
        for (lv_id a = 0; a < EMU_ACCOUNTS; a++) {
            cr_assert_eq(shr_find_or_add(&self->shares, a + 1), a);
        }
    }
}

static void
stop_instances(void)
{
    for (int i = 0; i < EMU_INSTANCES; i++) {
        eng_finish(&instances[i].engines);
        shr_finish(&instances[i].shares);
    }
}

static void
tell(instance *from, instance *to, lv_time now)
{
    for (lv_handle e = 0; e < EMU_ENGINES; e++) {
        eng_apply_peer_load(&to->engines, e, &from->said[e],
                            &from->engines.endpoints[e].local, now);
    }
    for (lv_handle a = 0; a < EMU_ACCOUNTS; a++) {
        const shr_totals *own = &from->shares.accounts[a].local;
        shr_totals added = {
            .requested = own->requested - from->said_shares[a].requested,
            .served = own->served - from->said_shares[a].served};

        shr_add_peer(&to->shares, a, &added, now);
    }
    for (uint32_t i = 0; !load->has_no_uses && i < from->chain_count; i++) {
        eng_touch_block(&to->engines, from->chain_engines[i], from->chains[i]);
    }
}

static void
gossip(lv_time now)
{
    for (int i = 0; i < EMU_INSTANCES; i++) {
        for (int k = 0; k < EMU_INSTANCES; k++) {
            if (i != k) {
                tell(&instances[i], &instances[k], now);
            }
        }
        for (lv_handle e = 0; e < EMU_ENGINES; e++) {
            instances[i].said[e] = instances[i].engines.endpoints[e].local;
        }
        for (lv_handle a = 0; a < EMU_ACCOUNTS; a++) {
            instances[i].said_shares[a] =
                instances[i].shares.accounts[a].local;
        }
        instances[i].chain_count = 0;
    }
}

static emu_part *
find_part(emu_engine *engine, uint64_t chain)
{
    for (uint32_t i = 0; i < engine->part_count; i++) {
        if (engine->parts[i].chain == chain) {
            return &engine->parts[i];
        }
    }
    return NULL;
}

static void
drop_oldest(emu_engine *engine)
{
    uint32_t oldest = 0;

    for (uint32_t i = 1; i < engine->part_count; i++) {
        if (engine->parts[i].used < engine->parts[oldest].used) {
            oldest = i;
        }
    }
    engine->part_tokens -= engine->parts[oldest].tokens;
    engine->parts[oldest] = engine->parts[--engine->part_count];
}

static void
keep_part(emu_engine *engine, uint64_t chain, uint32_t tokens)
{
    emu_part *part = find_part(engine, chain);

    if (part == NULL) {
        while (engine->part_count == EMU_PARTS ||
               (engine->part_count > 0 &&
                engine->part_tokens + tokens > MEMORY_TOKENS * 3 / 4)) {
            drop_oldest(engine);
        }
        part = &engine->parts[engine->part_count++];
        part->chain = chain;
        part->tokens = tokens;
        engine->part_tokens += tokens;
    }
    part->used = ++engine->uses;
}

/* Is the part kept, or fetched from an engine that keeps it? Transfers take no
 * time. */
static bool
is_at_hand(emu_engine *engine, lv_handle source, const eng_block *block)
{
    if (find_part(engine, block->prefix_hash) != NULL) {
        return true;
    }
    if (source == LV_HANDLE_NONE ||
        find_part(&engines[source], block->prefix_hash) == NULL) {
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
        keep_part(engine, prompt->blocks[i].prefix_hash,
                  prompt->blocks[i].tokens);
    }
    cr_assert_lt(engine->reading_count, 256);
    engine->reading[engine->reading_count++] = number;
}

/* Returns the engine that shared parts are fetched from, and adjusts the
 * prediction to it. */
static lv_handle
choose_source(instance *self, const emu_request *request,
              adm_decision *decision, lv_time now)
{
    static const rt_service service = {
        .is_engine = true, .kv_bytes = 18432, .bandwidth_mbps = 100000};
    fch_settings settings;
    fch_choice choice;
    fch_request asked = {.service = &service,
                         .prompt = &request->prompt,
                         .endpoint = decision->endpoint};

    fch_default_settings(&settings);
    fch_note_endpoints(&self->engines, now);
    fch_choose(&settings, &self->engines, &asked, &decision->prediction, now,
               &choice);
    if (choice.source != LV_HANDLE_NONE) {
        eng_count_fetched(&self->engines, decision->endpoint,
                          fch_apply(&settings, &self->engines, &service,
                                    &request->prompt, &choice.offer,
                                    &decision->prediction));
    }
    return choice.source;
}

static void
decide(uint32_t number, lv_time now)
{
    emu_request *request = &requests[number];
    instance *self = &instances[request->instance];
    adm_request asked = {.service = SERVICE,
                         .prompt = &request->prompt,
                         .received = request->received,
                         .target = request->aim};
    adm_decision decision;
    lv_handle source = LV_HANDLE_NONE;

    eng_clear_affinity(&request->prompt);
    if (!load->has_no_homes) {
        eng_find_affinity(&self->engines, SERVICE, &request->prompt);
        request->prompt.secondary_affinity =
            LV_HANDLE_NONE; /* all uses are known */
    }
    if (!load->has_no_shares) {
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
    request->is_started = true;
    request->engine = decision.endpoint;
    if (load->has_fetches) {
        source = choose_source(self, request, &decision, now);
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
        total += load->weights[i];
    }
    place = draw(total);
    for (i = 0; place >= load->weights[i]; i++) {
        place -= load->weights[i];
    }
    return i;
}

static void
arrive(uint32_t kind_number, lv_time now)
{
    const emu_kind *kind = &load->kinds[kind_number];
    emu_request *request = &requests[request_count];
    instance *self;
    uint32_t session;

    cr_assert_lt(request_count, EMU_REQUESTS);
    memset(request, 0, sizeof *request);
    request->kind = kind_number;
    request->account = draw_account();
    /* Callers are spread unevenly, as by a hash of their addresses. */
    request->instance = draw(EMU_INSTANCES + 1) % EMU_INSTANCES;
    request->received = now;
    request->aim = kind->aim;
    request->deadline = kind->deadline;
    request->output = kind->output / 2 + draw(kind->output);
    request->prompt.output_tokens = request->output;
    request->prompt.tokens = kind->shared_tokens + kind->own_tokens;
    /* A part that all sessions of a third share, and the session's own. */
    session = draw(kind->sessions);
    eng_add_block(&request->prompt, kind_number * 100000 + session % 3 + 1,
                  kind->shared_tokens / 10);
    eng_add_block(&request->prompt, kind_number * 100000 + session + 10,
                  kind->shared_tokens - kind->shared_tokens / 10);
    eng_add_block(&request->prompt, ((uint64_t)1 << 40) + request_count,
                  kind->own_tokens);
    self = &instances[request->instance];
    shr_add_requested(&self->shares, request->account,
                      request->prompt.tokens + 2 * request->output, now);
    decide(request_count++, now);
}

static void
finish(uint32_t number, lv_time now)
{
    emu_request *request = &requests[number];

    request->ended_at = now;
    eng_end_request(&instances[request->instance].engines, &request->use, now);
}

static uint32_t
read_chunk(emu_engine *engine, lv_time now)
{
    uint32_t left = CHUNK_TOKENS;

    while (engine->reading_count > 0 && left > 0 &&
           engine->running_count < SLOTS) {
        uint32_t number = engine->reading[0];
        emu_request *request = &requests[number];
        uint32_t part = request->unread < left ? request->unread : left;

        request->unread -= part;
        left -= part;
        if (request->unread > 0) {
            break;
        }
        request->first_at = now;
        eng_record_first_token(&instances[request->instance].engines,
                               &request->use, now);
        engine->running[engine->running_count++] = number;
        engine->reading_count--;
        memmove(engine->reading, engine->reading + 1,
                engine->reading_count * sizeof *engine->reading);
    }
    return CHUNK_TOKENS - left;
}

static void
step(emu_engine *engine, lv_time now)
{
    uint32_t read;

    for (uint32_t i = engine->running_count; i > 0; i--) {
        uint32_t number = engine->running[i - 1];

        if (--requests[number].output == 0) {
            finish(number, now);
            engine->running[i - 1] = engine->running[--engine->running_count];
        }
    }
    read = read_chunk(engine, now);
    engine->next_step = now + STEP_US +
                        (lv_time)engine->running_count * STEP_US_PER_REQUEST +
                        (lv_time)((double)read / READ_TOKENS_PER_MS * 1000);
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
        if (request->received > load->length / 3) {
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

    load = with;
    result = to;
    memset(to, 0, sizeof *to);
    memset(engines, 0, sizeof engines);
    request_count = 0;
    random_state = 77;
    start_instances();
    for (now = TICK; now < load->length + tail; now += TICK) {
        for (uint32_t k = 0; now < load->length && k < load->kind_count; k++) {
            if (draw(1000) < load->kinds[k].per_second) {
                arrive(k, now);
            }
        }
        for (uint32_t e = 0; e < EMU_ENGINES; e++) {
            if (engines[e].next_step <= now) {
                step(&engines[e], now);
            }
        }
        if (now % GOSSIP == 0) {
            gossip(now);
        }
        if (now % (HOLD_TICKS * TICK) == 0) {
            decide_held(now);
        }
    }
    count_results();
    stop_instances();
}
