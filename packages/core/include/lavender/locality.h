/*
 * Availability zones: what it costs a request to leave the zone of this
 * instance, as a time on the scale of an endpoint's cost (admission.h), and
 * which other zone takes this instance's excess.
 *
 * The state has one row for each service, made from the load of its endpoints
 * as known here. A zone is left when its endpoints have clearly longer waits
 * than those of the other zones, or when too few of them are usable. Leaving
 * costs less then, until the waits have come near each other again; the two
 * thresholds differ, so that a load near one of them does not move requests
 * back and forth.
 *
 * The excess of a zone's instances is spread over the other zones by weighted
 * rendezvous hashing of instance and zone, with the room of each zone as its
 * weight. A change of the room moves only the instances that the change
 * concerns.
 *
 * A prompt part that is used often enough in the zone has its own affinity
 * endpoint there; others have one for the whole fleet (loc_find_affinity).
 */
#ifndef LAVENDER_LOCALITY_H
#define LAVENDER_LOCALITY_H

#include "lavender/engine.h"

/* Zones beyond these take no excess before the others do. */
#define LOC_ZONES_MAX 16

/* Services beyond these have no state: leaving the zone costs the same at any
 * load. */
#define LOC_SERVICES_MAX 16

/* Prompt parts whose uses are counted, as sets of LOC_PART_WAYS. */
#define LOC_PART_SETS 512
#define LOC_PART_WAYS 4

typedef struct loc_settings {
    lv_time crossing_cost; /* of 100 KB that leave the zone or come from
                              another; 0: zones do not matter */
    lv_time zone_delay;    /* one way, between two zones */
    uint32_t copy_uses;    /* uses in the zone in 10 s from which a prompt part
                              of 5,000 tokens has an affinity endpoint there,
                              smaller parts from fewer; 0: one for the whole
                              fleet */
} loc_settings;

/* A zone as seen for one service. */
typedef struct loc_zone {
    lv_id id;
    uint32_t usable; /* endpoints that may be sent requests and do not fail */
    double wait;     /* moving mean of the waits at them, us, each at most
                        LOC_HORIZON */
    double room;     /* LOC_HORIZON less the wait, summed over them, us */
} loc_zone;

/* Longer waits do not differ: no request may wait as long by its target. */
#define LOC_HORIZON (400 * LV_MILLISECOND)

typedef enum loc_state_of_zone {
    LOC_PREFERRED,
    LOC_CROWDED, /* the waits are longer than elsewhere */
    LOC_WEAK     /* too few usable endpoints */
} loc_state_of_zone;

typedef struct loc_service {
    lv_id id; /* LV_ID_NONE: unused */
    lv_time updated_at;
    loc_zone zones[LOC_ZONES_MAX];
    uint32_t zone_count;
    loc_state_of_zone own; /* of this instance's zone */
    lv_id spill_zone;      /* takes the excess; LV_ID_NONE: no other zone */
} loc_service;

/* Uses of a prompt part at this instance. */
typedef struct loc_part {
    uint64_t key;    /* prefix hash of the part; 0: unused */
    uint32_t window; /* number of the window of `uses` */
    uint32_t uses;
    uint32_t previous_uses; /* in the window before */
    bool is_hot;            /* has an affinity endpoint in the zone */
} loc_part;

typedef struct loc_counts {
    uint64_t flips;         /* changes of the state of the own zone */
    uint64_t spill_changes; /* changes of the zone that takes the excess */
    uint64_t hot_parts;     /* parts that became hot */
} loc_counts;

typedef struct loc_state {
    lv_id zone;              /* of this instance */
    lv_id instance;          /* any id that is stable and its own */
    uint32_t zone_instances; /* instances in the zone; set by the owner */
    loc_service services[LOC_SERVICES_MAX];
    loc_part parts[LOC_PART_SETS][LOC_PART_WAYS];
    loc_counts counts;
} loc_state;

/* What leaving the zone costs one request. All zeroes: nothing. */
typedef struct loc_request {
    lv_id zone; /* of this instance; LV_ID_NONE: zones do not matter */
    lv_id spill_zone;
    lv_time cost;        /* at endpoints of spill_zone */
    lv_time spread_cost; /* added to it in other zones */
} loc_request;

/* Why a request left its zone. */
typedef enum loc_reason {
    LOC_UNKNOWN, /* zones do not matter, or the endpoint's is not known */
    LOC_STAYED,
    LOC_NO_ENDPOINT, /* none in the zone may be sent it */
    LOC_SLOTS,       /* none in the zone has a slot and memory free */
    LOC_WAIT,        /* longer waits */
    LOC_CACHED,      /* more of the prompt is cached elsewhere */
    LOC_FAILURES     /* endpoints in the zone fail more often */
} loc_reason;

void loc_default_settings(loc_settings *settings);

/* Is set to zero and given the ids; owns no memory. */
void loc_init(loc_state *state, lv_id zone, lv_id instance);

/* Renews the row of a service if it is old, and writes what leaving the zone
 * costs a request of `bytes`, answer included. */
void loc_prepare(loc_state *state, const loc_settings *settings,
                 const eng_table *table, lv_id service, uint64_t bytes,
                 lv_time now, loc_request *request);

/* Leaving the zone costs the request nothing from now on: it was denied a
 * start, and has no time for another denial. */
void loc_ignore_cost(loc_request *request);

/* Returns the cost of an endpoint's zone. */
lv_time loc_cost(const loc_request *request, lv_id endpoint_zone);

/* Returns why the endpoint `chosen` was taken and not `own`, the best in the
 * own zone; each may be LV_HANDLE_NONE. */
loc_reason loc_explain(const loc_request *request, const eng_table *table,
                       lv_handle chosen,
                       const eng_prediction *chosen_prediction, lv_handle own,
                       const eng_prediction *own_prediction, lv_time now);

/* Returns the reason as a static string for logs. */
const char *loc_reason_text(loc_reason reason);

/* Counts a use of the prompt's shared part, and returns whether the part was
 * used often enough in the zone before for an affinity endpoint there. Call it
 * once for each request. */
bool loc_count_use(loc_state *state, const loc_settings *settings,
                   const eng_prompt *prompt, lv_time now);

/* Returns the bytes that a request and its answer take on the network. */
uint64_t loc_request_bytes(uint64_t body_bytes, uint32_t output_tokens);

#endif
