#ifndef LAVENDER_ENGINE_IMP_H
#define LAVENDER_ENGINE_IMP_H

#include "lavender/engine.h"

/* Prompt blocks whose use is remembered: enough for about 100 active sessions
 * at each of 100 endpoints. */
#define ENG_CACHE_ENTRIES_MAX 16384

/* A larger increase of a peer's wrapping prefill total means that the peer's
 * process was restarted: no engine holds as many tokens. */
#define ENG_PREFILL_STEP_MAX 4000000u

/* engine-summary.c: returns the time until all prompts sent so far are
 * prefilled. */
lv_time eng_modelled_wait(const eng_endpoint *endpoint, lv_time now);

/* engine.c: returns the KV cache usage of the requests in flight of all
 * instances, in tokens. */
uint64_t eng_kv_used(const eng_endpoint *endpoint);

/* engine-availability.c: keep what an endpoint has said of itself beyond the
 * life of its row, and restore it when the endpoint is published again. */
void eng_remember_availability(eng_table *table, const eng_endpoint *endpoint);
void eng_recall_availability(eng_table *table, eng_endpoint *endpoint,
                             lv_id id);

/* engine-speed.c: returns the estimated prefill rate of an endpoint; 0: there
 * is none. */
double eng_learned_rate(const eng_table *table, const eng_endpoint *endpoint);

/* engine-speed.c: returns the prompt tokens that a request of this prediction
 * waits for, its own included; 0: tells nothing of the endpoint's speed. */
uint32_t eng_predicted_work(const eng_table *table,
                            const eng_endpoint *endpoint,
                            const eng_prediction *prediction);

/* engine-speed.c: samples the speed of an endpoint at a first token. */
void eng_observe_speed(eng_table *table, const eng_reservation *use,
                       lv_time now);

#endif
