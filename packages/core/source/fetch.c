#include "lavender/fetch.h"

#include <string.h>

/* Fewer tokens are prefilled in about one step of an engine, so a fetch saves
 * no time. */
#define MIN_TOKENS 128

/* Percent of the tokens that a source is only presumed to have that still
 * count as prefilled: if it lacks them, they are. */
#define PRESUMED_PREFILL_PERCENT 50

/* An endpoint seen for less than this is not presumed to have blocks cached:
 * it has just started, and the requests with affinity to it have not filled
 * its cache yet. */
#define NEW_ENDPOINT_TIME (5 * LV_SECOND)

/* An endpoint above this failure rate is not used as a source: that is one
 * failure in the last 1.5 s, or a failed connection in the last 4.5 s
 * (outlier.h). */
#define MAX_FAILURE_RATE 0.1

/* The same for a first token that is overdue: the endpoint may have stopped
 * answering, and the request would wait for the fetch. */
#define MAX_OVERDUE (500 * LV_MILLISECOND)

/* The source may have fewer tokens than expected, and other transfers may be
 * under way on its link. */
#define DEFAULT_MAX_TRANSFER_PERCENT 25

static const char *const reason_texts[FCH_REASONS] = {
    [FCH_UNDECIDED] = "-",
    [FCH_KNOWN] = "known",
    [FCH_PRESUMED] = "presumed",
    [FCH_OFF] = "off",
    [FCH_CACHED] = "cached",
    [FCH_NO_SOURCE] = "no-source",
    [FCH_SMALL] = "small",
    [FCH_SLOW] = "slow",
    [FCH_SOURCE_LOST] = "source-lost",
};

/* An endpoint that has more of a prompt cached than the chosen one. */
typedef struct candidate {
    lv_handle row;
    uint32_t tokens;
    bool is_presumed;
    bool is_near; /* in the zone of the chosen endpoint */
    uint32_t in_flight;
} candidate;

void
fch_default_settings(fch_settings *settings)
{
    settings->max_transfer_percent = DEFAULT_MAX_TRANSFER_PERCENT;
}

const char *
fch_reason_text(fch_reason reason)
{
    return reason_texts[reason];
}

void
fch_note_endpoints(eng_table *table, lv_time now)
{
    lv_handle row;

    for (row = 0; row < table->capacity; row++) {
        eng_endpoint *endpoint = &table->endpoints[row];

        if (endpoint->is_used && endpoint->first_seen_at == 0) {
            endpoint->first_seen_at = now;
        }
    }
}

static uint32_t
count_tokens(const eng_prompt *prompt, uint32_t blocks)
{
    uint32_t tokens = 0;
    uint32_t i;

    for (i = 0; i < blocks; i++) {
        tokens += prompt->blocks[i].tokens;
    }
    return tokens < prompt->tokens ? tokens : prompt->tokens;
}

static lv_time
transfer_time(const rt_service *service, uint32_t tokens)
{
    /* A megabit per second is one bit per microsecond. */
    return service->kv_bytes * tokens * 8 / service->bandwidth_mbps;
}

/* The prediction has the rate of its endpoint, except when it prefills
 * nothing. */
static lv_time
prefill_time(const eng_table *table, const eng_prediction *prediction,
             uint32_t tokens)
{
    lv_time time = lv_elapsed(prediction->service_time,
                              table->settings.first_token_overhead);

    if (prediction->uncached_tokens == 0) {
        return (lv_time)(tokens / table->settings.prefill_tokens_per_ms *
                         (double)LV_MILLISECOND);
    }
    return time * tokens / prediction->uncached_tokens;
}

/* Digits, dots, colons and brackets, with a port: the address is written into
 * a header. */
static bool
is_address(const char *text)
{
    const char *port = strrchr(text, ':');

    return port != NULL && port != text && port[1] != '\0' &&
           strspn(text, "0123456789abcdefABCDEF.:[]") == strlen(text) &&
           strspn(port + 1, "0123456789") == strlen(port + 1);
}

/* Another process may listen at the address by now. */
static bool
has_own_address(const eng_table *table, lv_handle row)
{
    const char *address = table->endpoints[row].spec.address;
    lv_handle other;

    for (other = 0; other < table->capacity; other++) {
        const eng_endpoint *endpoint = &table->endpoints[other];

        if (other != row && endpoint->is_used && endpoint->is_published &&
            strcmp(endpoint->spec.address, address) == 0) {
            return false;
        }
    }
    return is_address(address);
}

static bool
has_failed(const fch_request *request, lv_id endpoint)
{
    uint32_t i;

    for (i = 0; i < request->failed_count; i++) {
        if (request->failed[i] == endpoint) {
            return true;
        }
    }
    return false;
}

static bool
is_compatible(const eng_table *table, const fch_request *request,
              lv_handle row)
{
    const eng_endpoint *endpoint = &table->endpoints[row];
    const eng_endpoint *chosen = &table->endpoints[request->endpoint];

    return row != request->endpoint && endpoint->is_used &&
           endpoint->is_engine &&
           endpoint->spec.service == chosen->spec.service &&
           endpoint->spec.version_id == chosen->spec.version_id;
}

static bool
is_sound(const eng_table *table, const fch_request *request, lv_handle row,
         bool is_presumed, lv_time now)
{
    const eng_endpoint *endpoint = &table->endpoints[row];
    lv_time free_at;

    if (is_presumed &&
        (endpoint->first_seen_at == 0 ||
         lv_elapsed(now, endpoint->first_seen_at) < NEW_ENDPOINT_TIME)) {
        return false;
    }
    return eng_check_send(table, row, now, &free_at) == AVL_AVAILABLE &&
           out_failure_rate(&endpoint->outlier, now) <= MAX_FAILURE_RATE &&
           endpoint->overdue <= MAX_OVERDUE &&
           !has_failed(request, endpoint->spec.id) &&
           has_own_address(table, row);
}

static bool
is_better(const candidate *one, const candidate *other)
{
    if (other->row == LV_HANDLE_NONE) {
        return true;
    }
    if (one->is_presumed != other->is_presumed) {
        return other->is_presumed;
    }
    if (one->tokens != other->tokens) {
        return one->tokens > other->tokens;
    }
    if (one->is_near != other->is_near) {
        return one->is_near;
    }
    return one->in_flight < other->in_flight;
}

/* Returns whether the endpoint has more of the shared blocks cached than
 * `own_blocks`. */
static bool
has_more_blocks(const eng_table *table, const fch_request *request,
                uint32_t own_blocks, candidate *one)
{
    const eng_prompt *prompt = request->prompt;
    uint32_t shared = eng_shared_blocks(prompt);
    uint32_t known =
        eng_known_blocks(table, one->row, prompt, shared, own_blocks);

    one->tokens = count_tokens(prompt, known);
    if (one->row == prompt->affinity &&
        one->tokens < count_tokens(prompt, own_blocks) + MIN_TOKENS) {
        one->is_presumed = true;
        known = shared;
        one->tokens = count_tokens(prompt, shared);
    }
    return known > own_blocks;
}

/* Sets the best candidate; its row is LV_HANDLE_NONE if there is none. Returns
 * whether one was passed over for a gain that is too small. */
static bool
find_source(const eng_table *table, const fch_request *request,
            uint32_t own_blocks, lv_time now, candidate *best)
{
    const eng_endpoint *chosen = &table->endpoints[request->endpoint];
    uint32_t least = count_tokens(request->prompt, own_blocks) + MIN_TOKENS;
    bool has_small = false;
    lv_handle row;

    memset(best, 0, sizeof *best);
    best->row = LV_HANDLE_NONE;
    for (row = 0; row < table->capacity; row++) {
        const eng_endpoint *endpoint = &table->endpoints[row];
        candidate one = {.row = row};

        if (!is_compatible(table, request, row) ||
            !has_more_blocks(table, request, own_blocks, &one) ||
            !is_sound(table, request, row, one.is_presumed, now)) {
            continue;
        }
        if (one.tokens < least) {
            has_small = true;
            continue;
        }
        one.is_near = endpoint->spec.zone == chosen->spec.zone;
        one.in_flight = eng_in_flight(endpoint);
        if (is_better(&one, best)) {
            *best = one;
        }
    }
    return has_small;
}

static fch_reason
check_configuration(const fch_settings *settings, const rt_service *service,
                    const eng_prompt *prompt)
{
    return settings->max_transfer_percent == 0 || service == NULL ||
                   !service->is_engine || service->kv_bytes == 0 ||
                   service->bandwidth_mbps == 0 ||
                   eng_shared_blocks(prompt) == 0
               ? FCH_OFF
               : FCH_UNDECIDED;
}

/* Is the transfer of the tokens fast enough beside their prefill? */
static bool
is_fast(const fch_settings *settings, const eng_table *table,
        const rt_service *service, const eng_prediction *prediction,
        uint32_t tokens)
{
    return transfer_time(service, tokens) <=
           prefill_time(table, prediction, tokens) *
               settings->max_transfer_percent / 100;
}

void
fch_choose(const fch_settings *settings, const eng_table *table,
           const fch_request *request, const eng_prediction *prediction,
           lv_time now, fch_choice *choice)
{
    uint32_t shared = eng_shared_blocks(request->prompt);
    uint32_t own_blocks;
    bool has_small;
    candidate best;

    memset(choice, 0, sizeof *choice);
    choice->source = LV_HANDLE_NONE;
    choice->reason =
        check_configuration(settings, request->service, request->prompt);
    if (choice->reason != FCH_UNDECIDED) {
        return;
    }
    own_blocks =
        eng_known_blocks(table, request->endpoint, request->prompt, shared, 0);
    if (own_blocks == shared) {
        choice->reason = FCH_CACHED;
        return;
    }
    has_small = find_source(table, request, own_blocks, now, &best);
    if (best.row == LV_HANDLE_NONE) {
        choice->reason = has_small ? FCH_SMALL : FCH_NO_SOURCE;
        return;
    }
    choice->offer.tokens = best.tokens;
    choice->offer.is_presumed = best.is_presumed;
    choice->tokens = best.tokens - count_tokens(request->prompt, own_blocks);
    if (!is_fast(settings, table, request->service, prediction,
                 choice->tokens)) {
        choice->reason = FCH_SLOW;
        return;
    }
    choice->reason = best.is_presumed ? FCH_PRESUMED : FCH_KNOWN;
    choice->source = best.row;
    choice->source_id = table->endpoints[best.row].spec.id;
}

bool
fch_may_use(const eng_table *table, const fch_request *request,
            const fch_choice *choice, lv_time now)
{
    return choice->source < table->capacity &&
           table->endpoints[choice->source].spec.id == choice->source_id &&
           is_compatible(table, request, choice->source) &&
           is_sound(table, request, choice->source, choice->offer.is_presumed,
                    now);
}

static uint32_t
offered_tokens(const eng_prompt *prompt, const fch_offer *offer)
{
    return offer->tokens < prompt->tokens ? offer->tokens : prompt->tokens;
}

uint32_t
fch_apply(const fch_settings *settings, const eng_table *table,
          const rt_service *service, const eng_prompt *prompt,
          const fch_offer *offer, eng_prediction *prediction)
{
    uint32_t cached = prompt->tokens - prediction->uncached_tokens;
    uint32_t fetched = offered_tokens(prompt, offer);
    uint32_t spared;

    if (check_configuration(settings, service, prompt) != FCH_UNDECIDED ||
        fetched <= cached) {
        return 0;
    }
    fetched -= cached;
    if (!is_fast(settings, table, service, prediction, fetched)) {
        return 0;
    }
    spared = fetched;
    if (offer->is_presumed) {
        spared -=
            (uint32_t)((uint64_t)fetched * PRESUMED_PREFILL_PERCENT / 100);
    }
    prediction->service_time =
        lv_elapsed(prediction->service_time,
                   prefill_time(table, prediction, spared)) +
        transfer_time(service, fetched);
    prediction->uncached_tokens -= spared;
    return spared;
}
