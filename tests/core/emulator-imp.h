#ifndef EMULATOR_IMP_H
#define EMULATOR_IMP_H

#include "emulator.h"

#define EMU_SERVICE ((lv_id)9)

typedef struct emu_instance {
    eng_table engines;
    shr_shares shares;
    adm_settings admission;
    eng_load said[EMU_ENGINES];
    shr_totals said_shares[EMU_ACCOUNTS];
    uint64_t chains[256]; /* parts used since the last word */
    uint32_t chain_engines[256];
    uint32_t chain_count;

    /* As a coordinator: the load of each other instance. */
    eng_load known[EMU_INSTANCES_MAX][EMU_ENGINES];
} emu_instance;

extern emu_instance emu_instances[EMU_INSTANCES_MAX];

/* emulator.c: the load that is played, and its random numbers. */
extern const emu_load *emu_playing;
uint32_t emu_draw(uint32_t below);
uint32_t emu_instance_count(void);

/* emulator-cache.c: the parts that an engine keeps. */
emu_part *emu_find_part(emu_engine *engine, uint64_t chain);
void emu_keep_part(emu_engine *engine, uint32_t memory_tokens, uint64_t chain,
                   uint32_t tokens);

/* emulator-cache.c: returns the engine that shared parts are fetched from, and
 * adjusts the prediction to it. */
lv_handle emu_choose_source(emu_instance *self, const emu_request *request,
                            adm_decision *decision, lv_time now);

/* emulator-fleet.c: asks the engine's coordinator for a start; writes its
 * prediction. */
bool emu_ask_start(uint32_t instance, uint32_t engine,
                   const adm_request *request, lv_time now,
                   eng_prediction *prediction);

/* emulator-fleet.c: sends the reports and sums that are due. */
void emu_tick_fleet(lv_time now);

/* emulator.c: returns the number of first tokens (emu_fleet.watch). */
uint32_t emu_first_tokens(uint32_t engine, lv_time now);

/* Returns the factor of an engine's speed. */
double emu_factor(uint32_t engine, lv_time now);

#endif
