#include "emulator-imp.h"

#define REPORT_INTERVAL (100 * LV_MILLISECOND)
#define SUMS_INTERVAL (400 * LV_MILLISECOND) /* of 80 instances */

/* Reports repeat what was sampled within this time. */
#define SAMPLE_REPORT_TIME (1500 * LV_MILLISECOND)

#define LIAR 3

static uint32_t
coordinator(uint32_t engine, lv_time now)
{
    const emu_fleet *fleet = emu_playing->fleet;
    bool is_handed_over = fleet->handover_at != 0 && now >= fleet->handover_at;

    return (engine * 7 + 11 + is_handed_over * 5) % fleet->instances;
}

static bool
is_lost(void)
{
    return emu_draw(100) < emu_playing->fleet->lost_percent;
}

bool
emu_ask_start(uint32_t instance, uint32_t engine, const adm_request *request,
              lv_time now, eng_prediction *prediction)
{
    uint32_t number = coordinator(engine, now);
    emu_instance *other = &emu_instances[number];
    eng_prompt prompt = *request->prompt;
    adm_request asked = *request;
    eng_summary summary;

    if (number == instance) {
        return true;
    }
    eng_clear_affinity(&prompt);
    asked.prompt = &prompt;
    if (!adm_may_start(&other->admission, &other->engines, &asked, engine, now,
                       prediction)) {
        return false;
    }
    eng_summarize(&other->engines, engine, now, &summary);
    eng_start_peer_request(&other->engines, engine, &prompt,
                           prediction->uncached_tokens,
                           &other->known[instance][engine], now);
    eng_apply_summary(&emu_instances[instance].engines, engine, &summary, now);
    prediction->wait = summary.wait;
    prediction->unmodelled_wait = 0;
    return true;
}

static void
report(uint32_t from, uint32_t engine, lv_time now)
{
    const eng_endpoint *own = &emu_instances[from].engines.endpoints[engine];
    emu_instance *to = &emu_instances[coordinator(engine, now)];
    eng_load *known = &to->known[from][engine];
    eng_load after = own->local;
    bool is_liar = emu_playing->fleet->has_liar && from == LIAR;

    if (lv_elapsed(now, own->speed.sums_began_at) > SAMPLE_REPORT_TIME) {
        after.speed = known->speed;
    }
    if (is_liar) {
        after.speed.tokens = 1000000000 + emu_draw(1000);
        after.speed.time = emu_draw(1000);
    }
    if ((int32_t)(after.prefill_total - known->prefill_total) < 0 ||
        known->prefill_total == 0) {
        known->prefill_total = after.prefill_total;
    }
    eng_apply_peer_load(&to->engines, engine, known, &after, now);
    eng_apply_peer_speed(&to->engines, engine, from + 1, &known->speed,
                         &after.speed, now);
    *known = after;
}

static void
send_sums(uint32_t engine, lv_time now)
{
    uint32_t number = coordinator(engine, now);
    const eng_table *table = &emu_instances[number].engines;
    eng_summary summary;

    eng_summarize(table, engine, now, &summary);
    for (uint32_t i = 0; i < emu_playing->fleet->instances; i++) {
        if (i != number && !is_lost()) {
            eng_apply_summary(&emu_instances[i].engines, engine, &summary,
                              now);
            eng_apply_speed(&emu_instances[i].engines, engine,
                            table->endpoints[engine].speed.rate, now);
        }
    }
}

void
emu_tick_fleet(lv_time now)
{
    const emu_fleet *fleet = emu_playing->fleet;

    for (uint32_t i = 0; i < fleet->instances; i++) {
        eng_expire_summaries(&emu_instances[i].engines, now);
        eng_update_speeds(&emu_instances[i].engines, now);
    }
    for (uint32_t e = 0; e < EMU_ENGINES; e++) {
        for (uint32_t i = 0;
             now % REPORT_INTERVAL == 0 && i < fleet->instances; i++) {
            if (i != coordinator(e, now) && !is_lost()) {
                report(i, e, now);
            }
        }
        if (now % SUMS_INTERVAL == 0) {
            send_sums(e, now);
        }
        if (fleet->watch != NULL) {
            fleet->watch(e, &emu_instances[coordinator(e, now)].engines,
                         emu_factor(e, now), emu_first_tokens(e, now), now);
        }
    }
}
