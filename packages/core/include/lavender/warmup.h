/*
 * Warm-up of one endpoint: until when it is cold, and how many requests a
 * second it may then be sent by all instances together. The endpoint's
 * coordinator counts the starts of the fleet and grants them one by one, as
 * for a limit that the endpoint names (pace.h); while it is cold both apply.
 *
 * Only one instance grants. It begins without tokens and keeps few, grants
 * only while it has heard of no other coordinator for a while, and only if it
 * sees the majority of the fleet. Instances that are cut off therefore send a
 * cold endpoint nothing.
 *
 * An endpoint is cold by its entry in the platform's store, by the word of an
 * answer, after connections to it failed, or by the word of other instances.
 */
#ifndef LAVENDER_WARMUP_H
#define LAVENDER_WARMUP_H

#include "lavender/types.h"

/* An instance that has just joined, and one that takes over from a coordinator
 * that was lost, grants nothing for this long: until then others may still
 * take another one for the coordinator. */
#define WRM_JOIN_TIME (2 * LV_SECOND)
#define WRM_TAKEOVER_TIME LV_SECOND

/* Latest grants that are remembered: an instance whose reply was lost asks
 * once more, and the repeat costs no second token. */
#define WRM_GRANTS_KEPT 16

/* What an entry or an answer says of the remaining cold time. */
typedef enum wrm_word {
    WRM_WORD_NONE, /* there was no entry yet */
    WRM_WORD_GIVEN,
    WRM_WORD_MISSING,
    WRM_WORD_INVALID /* negative, or not a number */
} wrm_word;

typedef struct wrm_notice {
    wrm_word word;
    lv_time remaining; /* WRM_WORD_GIVEN: from the receipt on */
} wrm_notice;

/* What an endpoint is held to be cold by. */
typedef enum wrm_source {
    WRM_SOURCE_NONE, /* it is warm */
    WRM_SOURCE_ENTRY,
    WRM_SOURCE_MISSING, /* an entry without a remaining time */
    WRM_SOURCE_INVALID, /* an entry with one that is not valid */
    WRM_SOURCE_FAILURE,
    WRM_SOURCE_PEER
} wrm_source;

/* The part of this instance in the pacing of an endpoint. */
typedef enum wrm_role {
    WRM_BLOCKED, /* nothing starts: there is no coordinator to ask, and this
                    instance must not grant */
    WRM_ASKS,    /* another instance is the coordinator */
    WRM_COORDINATES
} wrm_role;

/* The fleet, as this instance sees it. Instances include this one. */
typedef struct wrm_view {
    bool has_coordinator;   /* another instance is the coordinator */
    bool had_coordinator;   /* or was one within WRM_TAKEOVER_TIME */
    lv_time joined_for;     /* time since this instance can coordinate */
    uint32_t live;          /* instances that are heard */
    uint32_t known;         /* also those that were heard of lately */
    uint32_t max_instances; /* most that were live at one time */
} wrm_view;

/* What the service permits. */
typedef struct wrm_service {
    lv_time cold_time; /* after a start; 0: endpoints are never cold */
    double rate;       /* requests per second of a cold endpoint */
    double tokens_max; /* of them, kept for later (wrm_max_tokens) */
} wrm_service;

typedef struct wrm_state {
    wrm_service service;
    wrm_notice notice;   /* the latest of an entry or answer */
    lv_time noticed_at;  /* its receipt */
    uint64_t started_at; /* of the entry: start of the endpoint's process */
    uint64_t sequence;   /* of the entry: number of the write */
    lv_time failed_at;   /* latest failure to reach it; 0: none */
    lv_time returned_at; /* first answer since; 0: none */
    lv_time heard_until; /* cold until then, by other instances */
    uint64_t reporter;   /* one whose word is not confirmed; 0: none */
    lv_time reported_until;
    wrm_role role;
    lv_time role_at;  /* when the role was last determined; 0: never */
    uint32_t percent; /* of the rate, that this instance grants */
    double tokens;    /* requests that may start, at the time filled_at */
    lv_time filled_at;
    lv_time offered_at;   /* time named to the latest that was denied */
    lv_time closed_until; /* the coordinator lets none start until then */
    uint64_t granted[WRM_GRANTS_KEPT]; /* keys, a ring */
    uint32_t granted_count;            /* ever */
    wrm_source logged; /* the source at the last wrm_note_change */
} wrm_state;

/* Returns how many tokens may be kept such that the requests of any second are
 * at most rate x overshoot + slack. */
double wrm_max_tokens(double rate, double overshoot, double slack);

/* Sets what the service of the endpoint permits. */
void wrm_set_service(wrm_state *state, const wrm_service *service,
                     lv_time now);

/* Records an entry. A repeat of an older one has no effect. */
void wrm_note_entry(wrm_state *state, const wrm_notice *notice,
                    uint64_t started_at, uint64_t sequence, lv_time now);

/* Records the remaining time in an answer of the endpoint. */
void wrm_note_answer(wrm_state *state, lv_time remaining, lv_time now);

/* Record that the endpoint could not be reached, and that it answered. */
void wrm_note_failure(wrm_state *state, lv_time now);
void wrm_note_return(wrm_state *state, lv_time now);

/* Records the word of another instance that the endpoint is cold for some
 * time. Unless an entry has just come, it is believed from a second instance,
 * from the only other one, or from the coordinator in its reply. */
void wrm_hear(wrm_state *state, lv_time left, uint64_t reporter,
              bool is_only_one, lv_time now);
void wrm_hear_coordinator(wrm_state *state, lv_time left, lv_time now);

/* Returns the time for which the endpoint is cold; 0: it is warm. The second
 * leaves out what other instances say: only this is passed on to them. */
lv_time wrm_left(const wrm_state *state, lv_time now);
lv_time wrm_own_left(const wrm_state *state, lv_time now);
wrm_source wrm_find_source(const wrm_state *state, lv_time now);

/* Returns whether the source changed since the last call. */
bool wrm_note_change(wrm_state *state, lv_time now);

/* Determines the role of this instance while the endpoint is cold. */
void wrm_set_view(wrm_state *state, const wrm_view *view, lv_time now);

/* Returns whether a request may start or be asked for now, as far as this
 * instance knows, and when one may: now, or a later time. */
bool wrm_check(const wrm_state *state, lv_time now, lv_time *free_at);

/* Returns how many requests may start up to a time; UINT32_MAX: any number. */
uint32_t wrm_places(const wrm_state *state, lv_time until);

/* Counts a start of this instance, unless another one granted it. */
void wrm_count_start(wrm_state *state, lv_time now);

/* Decides on a start as the coordinator. `key` identifies the request for a
 * start; a repeat is granted again. Writes how long to wait if it may not
 * begin. The second takes the latest grant back. */
bool wrm_grant(wrm_state *state, uint64_t key, lv_time now, lv_time *wait);
void wrm_return_grant(wrm_state *state);

/* Closes the endpoint to this instance, as its coordinator said. */
void wrm_close(wrm_state *state, lv_time wait, lv_time now);

/* Returns the source as a static string for logs. */
const char *wrm_source_text(wrm_source source);

#endif
