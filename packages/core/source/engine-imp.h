#ifndef LAVENDER_ENGINE_IMP_H
#define LAVENDER_ENGINE_IMP_H

#include "lavender/engine.h"

/* Parts of prompts that are remembered: some 100 live sessions at each of
 * 100 endpoints. */
#define ENG_CACHED_MAX 16384

/* A larger step of a peer's wrapping total is not work but a new life of the
 * peer: no engine holds as many tokens. */
#define ENG_STEP_MAX 4000000u

/* engine-summary.c: time until the prompts sent so far have been read */
lv_time eng_modelled_wait(const eng_endpoint *endpoint, lv_time now);

/* engine.c: memory of the requests in flight of all instances, in tokens */
uint64_t eng_kv_used(const eng_endpoint *endpoint);

#endif
