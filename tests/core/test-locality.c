/*
 * Zones in the choice of an endpoint, alone and in fleets of 8 to 200
 * instances. What is true of a fleet's endpoints is an engine model that
 * knows every request; each instance has its own, which learns of the others
 * every 40 ms, and asks a coordinator for each start.
 */
#include <criterion/criterion.h>

#include <string.h>

#include "lavender/admission.h"
#include "lavender/shares.h"

#define ZONES 4
#define ACCOUNTS 8
#define INSTANCES 200
#define REQUESTS 32768
#define SERVICE ((lv_id)9)
#define BEGIN (100 * LV_SECOND)
#define LENGTH (16 * LV_SECOND)
#define CREST (2 * LV_SECOND) /* of a wave in one zone */
#define REPORT (40 * LV_MILLISECOND)
#define HOLD (20 * LV_MILLISECOND)
#define PARTS 12 /* of each kind */
#define CROSSING_COST (300 * LV_MILLISECOND)

/* Long drafts, chats and tagging of docs/design/0008-uneven-demand.md. */
static const struct {
    uint32_t shared;
    uint32_t own;
    uint32_t output;
    lv_time target;
} kinds[] = {
    {5382, 6610, 384, 1000 * LV_MILLISECOND},
    {198, 628, 288, 500 * LV_MILLISECOND},
    {568, 1800, 24, 600 * LV_MILLISECOND},
};

typedef struct request {
    eng_prompt prompt;
    eng_reservation use; /* at the instance */
    eng_reservation true_use;
    uint32_t instance;
    uint32_t account;
    lv_time received;
    lv_time target;
    lv_time ends_at;
    uint64_t bytes;
    bool is_held;
    bool is_running;
} request;

typedef struct instance {
    eng_table engines;
    shr_shares shares;
    shr_totals said[ACCOUNTS];
    loc_state zones;
} instance;

typedef struct fleet {
    const char *name;
    uint32_t zones;
    uint32_t instances; /* spread evenly over the zones */
    uint32_t endpoints[ZONES];
    uint32_t per_second;  /* requests for each endpoint */
    uint32_t wave_factor; /* of the demand in one zone after the other */
    lv_time lost_at;      /* zone 0 loses its endpoints then; 0: never */
    bool has_accounts; /* account 0 asks in zone 0 only, the others anywhere */
} fleet;

typedef struct outcome {
    double tokens; /* of started requests */
    double in_target;
    double crossing_bytes;
    double flip_rate; /* for each instance and second */
    double got[ACCOUNTS];
} outcome;

static instance instances[INSTANCES];
static eng_table truth;
static request requests[REQUESTS];
static uint32_t request_count;
static uint64_t random_state;
static adm_settings settings;
static const fleet *play;
static outcome result;

static uint32_t
draw(uint32_t below)
{
    random_state += 0x9e3779b97f4a7c15u;
    return (uint32_t)(map_mix(random_state) % below);
}

static void
start_table(eng_table *table, const uint32_t *endpoints, uint32_t zones)
{
    eng_settings engine;
    lv_id id = 1000;

    eng_default_settings(&engine);
    cr_assert(eng_init(table, &engine, NULL));
    for (uint32_t z = 0; z < zones; z++) {
        for (uint32_t e = 0; e < endpoints[z]; e++) {
            eng_spec spec = {.id = map_mix(id++),
                             .service = SERVICE,
                             .zone = z + 1,
                             .slots = 12};

            eng_publish(table, &spec);
        }
    }
    eng_set_service(table, SERVICE, true, 414406);
}

static uint32_t
instances_in(uint32_t zone)
{
    return (play->instances - zone + play->zones - 1) / play->zones;
}

static void
start(void)
{
    start_table(&truth, play->endpoints, play->zones);
    for (uint32_t i = 0; i < play->instances; i++) {
        instance *self = &instances[i];

        memset(self, 0, sizeof *self);
        start_table(&self->engines, play->endpoints, play->zones);
        loc_init(&self->zones, i % play->zones + 1, map_mix(i + 1));
        self->zones.zone_instances = instances_in(i % play->zones);
        shr_init(&self->shares, 4 * LV_SECOND);
        for (lv_id a = 0; a < ACCOUNTS; a++) {
            shr_find_or_add(&self->shares, a + 1);
        }
    }
}

static uint32_t
tokens_of(const request *self)
{
    return self->prompt.tokens + 2 * self->prompt.output_tokens;
}

static void
report_shares(instance *from, lv_time now)
{
    for (lv_handle a = 0; a < ACCOUNTS; a++) {
        const shr_totals *own = &from->shares.accounts[a].local;
        shr_totals added = {.requested =
                                own->requested - from->said[a].requested,
                            .served = own->served - from->said[a].served};

        for (uint32_t i = 0; i < play->instances; i++) {
            if (&instances[i] != from) {
                shr_add_peer(&instances[i].shares, a, &added, now);
            }
        }
        from->said[a] = *own;
    }
}

static void
report(lv_time now)
{
    for (lv_handle e = 0; e < truth.capacity; e++) {
        eng_summary summary;

        eng_summarize(&truth, e, now, &summary);
        for (uint32_t i = 0; i < play->instances; i++) {
            eng_apply_summary(&instances[i].engines, e, &summary, now);
        }
    }
    for (uint32_t i = 0; play->has_accounts && i < play->instances; i++) {
        report_shares(&instances[i], now);
    }
}

static void
start_request(request *self, const eng_prompt *bare, lv_handle endpoint,
              lv_time now)
{
    instance *at = &instances[self->instance];

    eng_start_request(&at->engines, endpoint, &self->prompt, now, &self->use);
    eng_start_request(&truth, endpoint, bare, now, &self->true_use);
    self->is_running = true;
    self->ends_at = self->true_use.first_token_due +
                    self->prompt.output_tokens * (lv_time)3790;
    result.tokens += tokens_of(self);
    result.in_target +=
        self->true_use.first_token_due <= self->received + self->target;
    result.got[self->account] += tokens_of(self);
    if (truth.endpoints[endpoint].spec.zone != at->zones.zone) {
        result.crossing_bytes += (double)self->bytes;
    }
    shr_add_served(&at->shares, self->account, tokens_of(self), now);
}

/* As the gateway: a request that coordinators deny twice is refused. */
static void
decide(request *self, lv_time now)
{
    instance *at = &instances[self->instance];
    eng_prompt bare = self->prompt;
    adm_request asked = {.service = SERVICE,
                         .received = self->received,
                         .target = self->target,
                         .first_row = draw(1000)};
    adm_decision decision;

    eng_clear_affinity(&bare);
    if (play->has_accounts) {
        asked.share_ratio =
            shr_ratio(&at->shares, self->account, tokens_of(self), now);
    }
    for (int i = 0; i < 2; i++) {
        eng_prediction prediction;
        eng_summary summary;

        loc_prepare(&at->zones, &settings.locality, &at->engines, SERVICE,
                    self->bytes, now, &asked.locality);
        if (i > 0) {
            loc_ignore_cost(&asked.locality);
        }
        asked.prompt = &self->prompt;
        adm_decide(&settings, &at->engines, &asked, now, &decision);
        self->is_held = decision.verdict == ADM_QUEUE;
        if (decision.verdict != ADM_START) {
            return;
        }
        asked.prompt = &bare;
        if (adm_may_start(&settings, &truth, &asked, decision.endpoint, now,
                          &prediction)) {
            start_request(self, &bare, decision.endpoint, now);
            return;
        }
        eng_summarize(&truth, decision.endpoint, now, &summary);
        eng_apply_summary(&at->engines, decision.endpoint, &summary, now);
    }
}

static uint32_t
draw_zone(lv_time now)
{
    uint32_t crest = (uint32_t)(now / CREST % play->zones);
    uint32_t factor = play->wave_factor > 0 ? play->wave_factor : 1;
    uint32_t place = draw(play->zones - 1 + factor);

    return place < play->zones ? place : crest;
}

static void
arrive(lv_time now)
{
    request *self = &requests[request_count++];
    uint32_t place = draw(100);
    uint32_t k = place < 30 ? 0 : place < 75 ? 1 : 2;
    uint32_t zone = draw_zone(now);
    uint32_t a = draw(PARTS);
    uint32_t b = draw(PARTS);
    instance *at;

    cr_assert_lt(request_count, REQUESTS);
    memset(self, 0, sizeof *self);
    self->account = 1 + draw(ACCOUNTS - 1);
    if (play->has_accounts && draw(ACCOUNTS) == 0) {
        self->account = 0;
        zone = 0;
    }
    self->instance = draw(instances_in(zone)) * play->zones + zone;
    self->received = now;
    self->target = kinds[k].target;
    self->prompt.tokens = kinds[k].shared + kinds[k].own;
    self->prompt.output_tokens = kinds[k].output;
    /* Some parts are used often, others rarely. */
    eng_add_block(&self->prompt, 100 * (k + 1) + (a < b ? a : b),
                  kinds[k].shared);
    eng_add_block(&self->prompt, 100000 + request_count, kinds[k].own);
    self->bytes =
        loc_request_bytes(4 * (uint64_t)kinds[k].own, kinds[k].output);
    at = &instances[self->instance];
    if (loc_count_use(&at->zones, &settings.locality, &self->prompt, now)) {
        eng_find_zone_affinity(&at->engines, SERVICE, at->zones.zone,
                               &self->prompt);
    }
    else {
        eng_find_affinity(&at->engines, SERVICE, &self->prompt);
    }
    shr_add_requested(&at->shares, self->account, tokens_of(self), now);
    decide(self, now);
}

static void
step(request *self, lv_time now)
{
    eng_table *engines = &instances[self->instance].engines;

    if (self->is_running && now >= self->true_use.first_token_due) {
        eng_record_first_token(engines, &self->use, now);
    }
    if (self->is_running && now >= self->ends_at) {
        self->is_running = false;
        eng_end_request(engines, &self->use, now);
        eng_end_request(&truth, &self->true_use, now);
    }
    if (self->is_held && now % HOLD == 0) {
        decide(self, now);
    }
}

static void
lose_zone(eng_table *table)
{
    for (lv_handle e = 0; e < table->capacity; e++) {
        if (table->endpoints[e].spec.zone == 1) {
            eng_unlist(table, e);
        }
    }
}

static void
play_second_by_second(uint32_t endpoints)
{
    uint32_t due = 0; /* thousandths of a request */
    uint32_t first = 0;

    for (lv_time now = BEGIN; now < BEGIN + LENGTH; now += LV_MILLISECOND) {
        if (play->lost_at != 0 && now == BEGIN + play->lost_at) {
            lose_zone(&truth);
            for (uint32_t i = 0; i < play->instances; i++) {
                lose_zone(&instances[i].engines);
            }
        }
        for (due += play->per_second * endpoints; due >= 1000; due -= 1000) {
            arrive(now);
        }
        while (first < request_count && !requests[first].is_held &&
               !requests[first].is_running) {
            first++;
        }
        for (uint32_t i = first; i < request_count; i++) {
            step(&requests[i], now);
        }
        if (now % REPORT == 0) {
            report(now);
        }
    }
}

static outcome
play_fleet(const fleet *with, lv_time crossing_cost)
{
    uint32_t endpoints = 0;

    play = with;
    memset(&result, 0, sizeof result);
    adm_default_settings(&settings);
    settings.locality.crossing_cost = crossing_cost;
    random_state = 7;
    request_count = 0;
    start();
    for (uint32_t z = 0; z < play->zones; z++) {
        endpoints += play->endpoints[z];
    }
    play_second_by_second(endpoints);
    eng_finish(&truth);
    for (uint32_t i = 0; i < play->instances; i++) {
        result.flip_rate += (double)instances[i].zones.counts.flips /
                            play->instances /
                            ((double)LENGTH / (double)LV_SECOND);
        eng_finish(&instances[i].engines);
        shr_finish(&instances[i].shares);
    }
    return result;
}

/* Guards against requests that leave their zone without need, that are lost
 * for staying in it, and zones that are left and preferred in turns: at most
 * one change in 2 s, as often as the wave moves. */
Test(locality, bytes_between_zones_are_halved_without_loss)
{
    static const fleet fleets[] = {
        {"8 in 3 zones", 3, 8, {5, 4, 4}, 6, 0, 0, false},
        {"8 in 3 zones, wave", 3, 8, {5, 4, 4}, 6, 3, 0, false},
        {"80 in 3 zones, few endpoints", 3, 80, {10, 51, 51}, 6, 0, 0, false},
        {"80 in 4 zones, one endpoint",
         4,
         80,
         {1, 37, 37, 37},
         6,
         0,
         0,
         false},
        {"80 in 3 zones, one lost",
         3,
         81,
         {38, 37, 37},
         4,
         0,
         LENGTH / 2,
         false},
        {"80 in 3 zones, wave", 3, 80, {38, 37, 37}, 6, 3, 0, false},
        {"200 in 4 zones", 4, 200, {28, 28, 28, 28}, 6, 0, 0, false},
        {"200 in 4 zones, wave", 4, 200, {28, 28, 28, 28}, 6, 3, 0, false},
    };

    for (size_t i = 0; i < sizeof fleets / sizeof fleets[0]; i++) {
        outcome off = play_fleet(&fleets[i], 0);
        outcome on = play_fleet(&fleets[i], CROSSING_COST);

        cr_log_info("%s: bytes %.3f of those without zones, tokens %.3f, in "
                    "target %.3f, flips %.3f per instance and second",
                    fleets[i].name, on.crossing_bytes / off.crossing_bytes,
                    on.tokens / off.tokens, on.in_target / off.in_target,
                    on.flip_rate);
        cr_expect_leq(on.crossing_bytes, 0.5 * off.crossing_bytes, "%s",
                      fleets[i].name);
        cr_expect_geq(on.tokens, 0.99 * off.tokens, "%s", fleets[i].name);
        cr_expect_geq(on.in_target, 0.99 * off.in_target, "%s",
                      fleets[i].name);
        cr_expect_leq(on.flip_rate, 0.5, "%s", fleets[i].name);
        cr_expect_eq(off.flip_rate, 0);
    }
}

/* Guards against an account that gets less because its callers are in a zone
 * with too few endpoints. */
Test(locality, account_in_a_crowded_zone_gets_as_much_as_the_others)
{
    static const fleet fleets[] = {
        {"8", 3, 8, {3, 5, 5}, 12, 0, 0, true},
        {"80", 3, 80, {10, 51, 51}, 12, 0, 0, true},
    };

    for (size_t i = 0; i < sizeof fleets / sizeof fleets[0]; i++) {
        outcome on = play_fleet(&fleets[i], CROSSING_COST);
        outcome off = play_fleet(&fleets[i], 0);
        double others = (on.tokens - on.got[0]) / (ACCOUNTS - 1);

        cr_log_info("%s: %.3f of the mean of the others, tokens %.3f of those "
                    "without zones",
                    fleets[i].name, on.got[0] / others,
                    on.tokens / off.tokens);
        cr_expect_geq(on.got[0], 0.95 * others, "%s", fleets[i].name);
        cr_expect_geq(on.tokens, 0.99 * off.tokens, "%s", fleets[i].name);
    }
}
