/*
 * Engines on virtual time behind several instances that admit requests by
 * the engine model: batches, chunks of prompts between the tokens of other
 * requests, slots, and a cache of parts that yields the least recently used.
 * The instances hear of each other every some milliseconds.
 */
#ifndef EMULATOR_H
#define EMULATOR_H

#include "lavender/admission.h"
#include "lavender/fetch.h"
#include "lavender/shares.h"

#define EMU_INSTANCES 4
#define EMU_ENGINES 6
#define EMU_ACCOUNTS 8
#define EMU_PARTS 4096
#define EMU_REQUESTS 60000

typedef struct emu_request {
    uint32_t account;
    uint32_t instance;
    uint32_t engine;
    uint32_t kind; /* of the load's table */
    eng_prompt prompt;
    eng_reservation use;
    lv_time received;
    lv_time deadline; /* length */
    lv_time aim;
    lv_time first_at;
    lv_time ended_at;
    uint32_t unread; /* prompt tokens */
    uint32_t output; /* tokens to be generated */
    bool is_held;
    bool is_started;
    bool is_refused;
} emu_request;

typedef struct emu_part {
    uint64_t chain;
    uint32_t tokens;
    uint64_t used; /* order of use */
} emu_part;

typedef struct emu_engine {
    uint32_t reading[256]; /* requests in order of arrival */
    uint32_t reading_count;
    uint32_t running[256];
    uint32_t running_count;
    lv_time next_step;
    emu_part parts[EMU_PARTS];
    uint32_t part_count;
    uint64_t part_tokens;
    uint64_t uses;
} emu_engine;

/* One kind of request of a load. */
typedef struct emu_kind {
    uint32_t per_second; /* over all accounts */
    uint32_t sessions;   /* that share a part */
    uint32_t shared_tokens;
    uint32_t own_tokens;
    uint32_t output;
    lv_time aim;
    lv_time deadline;
} emu_kind;

typedef struct emu_load {
    const emu_kind *kinds;
    uint32_t kind_count;
    uint32_t weights[EMU_ACCOUNTS]; /* parts of the requests */
    lv_time length;
    double prefill_rate; /* of the model; 0: its default */
    bool has_no_homes;
    bool has_no_uses; /* instances do not tell where parts were sent */
    bool has_no_shares;
    bool has_fetches; /* engines fetch shared parts from each other */
} emu_load;

typedef struct emu_result {
    uint32_t asked;
    uint32_t started;
    uint32_t refused;
    uint32_t in_aim;
    uint32_t in_time;           /* ended before the deadline */
    uint64_t shared_tokens;     /* of shared parts in started requests */
    uint64_t shared_read;       /* of these, read and not found kept */
    uint64_t shared_fetched;    /* of these, fetched from another engine */
    uint64_t got[EMU_ACCOUNTS]; /* tokens, in the last two thirds */
    uint64_t asked_tokens[EMU_ACCOUNTS];
} emu_result;

void emu_play(const emu_load *load, emu_result *result);

#endif
