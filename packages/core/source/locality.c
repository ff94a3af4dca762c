#include "lavender/locality.h"

#include <math.h>
#include <string.h>

#include "lavender/hash.h"

/* The unit of crossing_cost. */
#define CROSSING_UNIT_BYTES 100000

/* Of the headers of a request and its answer. */
#define HEADER_BYTES 600

/* An event has about 100 bytes and 8 to 10 tokens. */
#define OUTPUT_TOKEN_BYTES 12

/* Time between two updates of a service's row: that of the datagrams which
 * bring the load of the other instances. */
#define UPDATE_INTERVAL (40 * LV_MILLISECOND)

/* Weight of the newest value in the mean of the waits. With UPDATE_INTERVAL
 * it covers about 300 ms: one long prompt does not move a zone's requests,
 * a load wave does. */
#define WAIT_WEIGHT 0.125

/* The own zone is left when its mean wait is longer by LEAVE_EXCESS than that
 * of the other zones, and preferred again when it is longer by less than
 * RETURN_EXCESS. */
#define LEAVE_EXCESS (40 * LV_MILLISECOND)
#define RETURN_EXCESS (10 * LV_MILLISECOND)

/* Percent of the cost of the bytes while the own zone is crowded. */
#define CROWDED_PERCENT 50

/* A single endpoint would take all requests of the zone, and its failure all
 * of its places. */
#define MIN_USABLE 2

/* Endpoints with a higher failure rate do not count as usable: after one
 * failed connection it is higher (outlier.h). */
#define MAX_FAILURE_RATE 0.5

/* Of other zones than the one that takes this instance's excess. Waits
 * that differ by less may have changed since they were reported. */
#define SPREAD_COST (20 * LV_MILLISECOND)

/* Window of the uses of prompt parts. A part remains cached for about as long
 * after its last use: some 200,000 tokens of an endpoint's memory are free, at
 * 20 to 30 tokens prefilled per ms. */
#define USE_WINDOW (10 * LV_SECOND)

/* Prompt blocks of this size need copy_uses uses. Smaller ones take less
 * memory and need proportionally fewer. */
#define COPY_TOKENS 5000

/* Percent of copy_uses under which a part loses its affinity endpoint in the
 * zone. */
#define COPY_KEEP_PERCENT 50

void
loc_default_settings(loc_settings *settings)
{
    settings->crossing_cost = 0;
    settings->zone_delay = 1400;
    settings->copy_uses = 2;
}

void
loc_init(loc_state *state, lv_id zone, lv_id instance)
{
    memset(state, 0, sizeof *state);
    state->zone = zone;
    state->instance = instance;
    state->zone_instances = 1;
}

static loc_service *
find_service(loc_state *state, lv_id service)
{
    uint32_t i;

    for (i = 0; i < LOC_SERVICES_MAX; i++) {
        loc_service *row = &state->services[i];

        if (row->id == LV_ID_NONE) {
            row->id = service;
        }
        if (row->id == service) {
            return row;
        }
    }
    return NULL;
}

static loc_zone *
find_zone(loc_service *service, lv_id id)
{
    loc_zone *zone;
    uint32_t i;

    for (i = 0; i < service->zone_count; i++) {
        if (service->zones[i].id == id) {
            return &service->zones[i];
        }
    }
    if (id == LV_ID_NONE || service->zone_count == LOC_ZONES_MAX) {
        return NULL;
    }
    zone = &service->zones[service->zone_count++];
    memset(zone, 0, sizeof *zone);
    zone->id = id;
    return zone;
}

static bool
is_usable(const eng_table *table, lv_handle row, lv_time now)
{
    lv_time free_at;

    return eng_check_send(table, row, now, &free_at) == AVL_AVAILABLE &&
           out_failure_rate(&table->endpoints[row].outlier, now) <=
               MAX_FAILURE_RATE;
}

static lv_time
bounded_wait(const eng_table *table, lv_handle row, lv_time now)
{
    const eng_endpoint *endpoint = &table->endpoints[row];
    lv_time wait = eng_predict_wait(table, row, now);

    if (endpoint->spec.slots > 0 &&
        eng_in_flight(endpoint) >= endpoint->spec.slots) {
        return LOC_HORIZON;
    }
    return wait < LOC_HORIZON ? wait : LOC_HORIZON;
}

/* The first mean of a zone is its present wait. */
static void
move_mean(loc_zone *zone, double wait, bool is_first)
{
    zone->wait =
        is_first ? wait : zone->wait + (wait - zone->wait) * WAIT_WEIGHT;
    zone->room = ((double)LOC_HORIZON - zone->wait) * zone->usable;
}

static void
update_zones(loc_service *service, const eng_table *table, lv_time now)
{
    double sums[LOC_ZONES_MAX] = {0};
    uint32_t usable[LOC_ZONES_MAX] = {0};
    lv_handle row;
    uint32_t i;

    for (row = 0; row < table->capacity; row++) {
        const eng_endpoint *endpoint = &table->endpoints[row];
        loc_zone *zone;

        if (!endpoint->is_used || endpoint->spec.service != service->id) {
            continue;
        }
        zone = find_zone(service, endpoint->spec.zone);
        if (zone != NULL && is_usable(table, row, now)) {
            usable[zone - service->zones]++;
            sums[zone - service->zones] +=
                (double)bounded_wait(table, row, now);
        }
    }
    for (i = 0; i < service->zone_count; i++) {
        loc_zone *zone = &service->zones[i];
        bool is_first = zone->usable == 0;

        zone->usable = usable[i];
        move_mean(zone,
                  usable[i] > 0 ? sums[i] / usable[i] : (double)LOC_HORIZON,
                  is_first);
    }
}

/* Weighted rendezvous hashing: chooses a zone with a probability in proportion
 * to its room. u is the hash of instance and zone as a number in (0, 1]; the
 * lowest -ln(u) / room wins. */
static lv_id
choose_spill_zone(const loc_state *state, const loc_service *service)
{
    lv_id chosen = LV_ID_NONE;
    double lowest = 0;
    uint32_t i;

    for (i = 0; i < service->zone_count; i++) {
        const loc_zone *zone = &service->zones[i];
        double hash =
            (double)(hrw_weight(zone->id, state->instance ^ service->id) >>
                     11);
        double score;

        if (zone->id == state->zone || zone->room < 1) {
            continue;
        }
        score = -log((hash + 1) / 0x1p53) / zone->room;
        if (chosen == LV_ID_NONE || score < lowest) {
            chosen = zone->id;
            lowest = score;
        }
    }
    return chosen;
}

/* Returns the mean wait in the other zones. */
static double
wait_elsewhere(const loc_state *state, const loc_service *service)
{
    double sum = 0;
    uint32_t usable = 0;
    uint32_t i;

    for (i = 0; i < service->zone_count; i++) {
        const loc_zone *zone = &service->zones[i];

        if (zone->id != state->zone) {
            sum += zone->wait * zone->usable;
            usable += zone->usable;
        }
    }
    return usable > 0 ? sum / usable : (double)LOC_HORIZON;
}

static loc_state_of_zone
judge_own_zone(const loc_state *state, loc_service *service)
{
    const loc_zone *own = find_zone(service, state->zone);
    double excess;

    if (own == NULL || own->usable < MIN_USABLE) {
        return LOC_WEAK;
    }
    excess = own->wait - wait_elsewhere(state, service);
    return excess > (double)(service->own == LOC_CROWDED ? RETURN_EXCESS
                                                         : LEAVE_EXCESS)
               ? LOC_CROWDED
               : LOC_PREFERRED;
}

static void
update_service(loc_state *state, loc_service *service, const eng_table *table,
               lv_time now)
{
    bool is_first = service->updated_at == 0;
    loc_state_of_zone own;
    lv_id spill_zone;

    if (!is_first && lv_elapsed(now, service->updated_at) < UPDATE_INTERVAL) {
        return;
    }
    service->updated_at = now;
    update_zones(service, table, now);
    own = judge_own_zone(state, service);
    spill_zone = choose_spill_zone(state, service);
    if (!is_first) {
        state->counts.flips += own != service->own;
        state->counts.spill_changes += spill_zone != service->spill_zone;
    }
    service->own = own;
    service->spill_zone = spill_zone;
}

static lv_time
cost_of_bytes(const loc_settings *settings, loc_state_of_zone own,
              uint64_t bytes)
{
    lv_time cost = settings->crossing_cost * bytes / CROSSING_UNIT_BYTES;

    switch (own) {
    case LOC_PREFERRED:
        return cost;
    case LOC_CROWDED:
        return cost * CROWDED_PERCENT / 100;
    case LOC_WEAK:
        break;
    }
    return 0;
}

void
loc_prepare(loc_state *state, const loc_settings *settings,
            const eng_table *table, lv_id service, uint64_t bytes, lv_time now,
            loc_request *request)
{
    loc_service *row;

    memset(request, 0, sizeof *request);
    if (settings->crossing_cost == 0 || state->zone == LV_ID_NONE) {
        return;
    }
    request->zone = state->zone;
    row = find_service(state, service);
    if (row == NULL) {
        request->cost = cost_of_bytes(settings, LOC_PREFERRED, bytes);
    }
    else {
        update_service(state, row, table, now);
        request->cost = cost_of_bytes(settings, row->own, bytes);
        request->spill_zone = row->spill_zone;
        request->spread_cost = SPREAD_COST;
    }
    request->cost += 2 * settings->zone_delay;
}

void
loc_ignore_cost(loc_request *request)
{
    request->cost = 0;
    request->spread_cost = 0;
}

lv_time
loc_cost(const loc_request *request, lv_id endpoint_zone)
{
    if (request->zone == LV_ID_NONE || endpoint_zone == LV_ID_NONE ||
        endpoint_zone == request->zone) {
        return 0;
    }
    return endpoint_zone == request->spill_zone
               ? request->cost
               : request->cost + request->spread_cost;
}

static double
failure_wait(const eng_table *table, lv_handle endpoint, lv_time now)
{
    return out_failure_rate(&table->endpoints[endpoint].outlier, now) *
           (double)LV_SECOND;
}

/* Returns which difference between two endpoints is the largest. A failure
 * counts as a wait of 1 s. */
static loc_reason
explain_difference(double wait, double prefill, double failures)
{
    if (failures > wait && failures > prefill) {
        return LOC_FAILURES;
    }
    return prefill > wait ? LOC_CACHED : LOC_WAIT;
}

loc_reason
loc_explain(const loc_request *request, const eng_table *table,
            lv_handle chosen, const eng_prediction *chosen_prediction,
            lv_handle own, const eng_prediction *own_prediction, lv_time now)
{
    lv_id zone;

    if (request->zone == LV_ID_NONE || chosen == LV_HANDLE_NONE) {
        return LOC_UNKNOWN;
    }
    zone = table->endpoints[chosen].spec.zone;
    if (zone == LV_ID_NONE || zone == request->zone) {
        return zone == LV_ID_NONE ? LOC_UNKNOWN : LOC_STAYED;
    }
    if (own == LV_HANDLE_NONE) {
        return LOC_NO_ENDPOINT;
    }
    if (chosen_prediction->has_capacity && !own_prediction->has_capacity) {
        return LOC_SLOTS;
    }
    return explain_difference(
        (double)own_prediction->wait - (double)chosen_prediction->wait,
        (double)own_prediction->service_time -
            (double)chosen_prediction->service_time,
        failure_wait(table, own, now) - failure_wait(table, chosen, now));
}

const char *
loc_reason_text(loc_reason reason)
{
    static const char *const texts[] = {
        [LOC_UNKNOWN] = "-",
        [LOC_STAYED] = "own",
        [LOC_NO_ENDPOINT] = "no-endpoint",
        [LOC_SLOTS] = "slots",
        [LOC_WAIT] = "wait",
        [LOC_CACHED] = "cached",
        [LOC_FAILURES] = "failures",
    };

    return texts[reason];
}

/* Returns the row of a part; a new one takes the place of the one in its set
 * that was used least. */
static loc_part *
find_part(loc_state *state, uint64_t key)
{
    loc_part *set = state->parts[map_mix(key) % LOC_PART_SETS];
    loc_part *least = &set[0];
    uint32_t i;

    for (i = 0; i < LOC_PART_WAYS; i++) {
        if (set[i].key == key) {
            return &set[i];
        }
        if (set[i].window < least->window ||
            (set[i].window == least->window && set[i].uses < least->uses)) {
            least = &set[i];
        }
    }
    memset(least, 0, sizeof *least);
    least->key = key;
    return least;
}

static void
enter_window(loc_part *part, uint32_t window)
{
    if (part->window == window) {
        return;
    }
    part->previous_uses = part->window + 1 == window ? part->uses : 0;
    part->uses = 0;
    part->window = window;
}

/* Returns the uses in a window at all instances of the zone, if they are as
 * frequent as here. */
static double
uses_in_zone(const loc_state *state, const loc_part *part, lv_time now)
{
    double part_of_window = (double)(now % USE_WINDOW) / (double)USE_WINDOW;
    double uses =
        ((double)part->uses + part->previous_uses) / (1 + part_of_window);

    return uses * state->zone_instances;
}

static uint32_t
shared_tokens(const eng_prompt *prompt)
{
    uint32_t tokens = 0;
    uint32_t i;

    for (i = 0; i + 1 < prompt->block_count; i++) {
        tokens += prompt->blocks[i].tokens;
    }
    return tokens;
}

/* Returns the uses in a window from which the prompt's shared part is hot. */
static double
required_uses(const loc_settings *settings, const eng_prompt *prompt,
              const loc_part *part)
{
    uint32_t tokens = shared_tokens(prompt);
    double uses = settings->copy_uses;

    if (tokens < COPY_TOKENS) {
        uses = uses * tokens / COPY_TOKENS;
    }
    return part->is_hot ? uses * COPY_KEEP_PERCENT / 100 : uses;
}

bool
loc_count_use(loc_state *state, const loc_settings *settings,
              const eng_prompt *prompt, lv_time now)
{
    loc_part *part;
    bool is_hot;

    if (settings->crossing_cost == 0 || settings->copy_uses == 0 ||
        prompt->block_count < 2) {
        return false;
    }
    part =
        find_part(state, prompt->blocks[prompt->block_count - 2].prefix_hash);
    enter_window(part, (uint32_t)(now / USE_WINDOW));
    is_hot = uses_in_zone(state, part, now) >=
             required_uses(settings, prompt, part);
    state->counts.hot_parts += is_hot && !part->is_hot;
    part->is_hot = is_hot;
    part->uses++;
    return is_hot;
}

uint64_t
loc_request_bytes(uint64_t body_bytes, uint32_t output_tokens)
{
    return HEADER_BYTES + body_bytes +
           (uint64_t)output_tokens * OUTPUT_TOKEN_BYTES;
}
