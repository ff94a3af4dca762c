/*
 * Software versions of a service's endpoints over time, as the published list
 * names them, and which version begins a stream.
 *
 * While a service has several versions, a stream begins at the version of the
 * endpoint that rendezvous hashing of the stream's key chooses among those
 * that are ready. An instance that has never seen the stream repeats the
 * choice for every state that the list had while the stream may have begun. If
 * all endpoints that it chooses have one version, that is certain; else it is
 * not known.
 *
 * A process that has just started rebuilds the states before its first list
 * from the changes that the store still has. How old the oldest of these is
 * cannot be proven: the store may have discarded its history a moment ago.
 * While a service has several versions, only proven states count.
 */
#ifndef LAVENDER_VERSIONS_H
#define LAVENDER_VERSIONS_H

#include "lavender/types.h"

/* An endpoint on the list. */
typedef struct ver_endpoint {
    uint64_t key;  /* of its entry */
    lv_id service; /* LV_ID_NONE: not known */
    lv_id version; /* LV_ID_NONE: not known */
    bool is_ready;
} ver_endpoint;

/* A past change of the list. */
typedef struct ver_change {
    ver_endpoint endpoint; /* only its key if the entry was removed */
    bool is_removed;
    bool is_created; /* the entry was not on the list before */
} ver_change;

/* A time in which an endpoint was ready. The states of the list are numbered;
 * the endpoint is in those from `first` up to but not including `end`. */
typedef struct ver_row {
    ver_endpoint endpoint;
    uint64_t first;
    uint64_t end; /* VER_OPEN: it is ready now */
    lv_time begun_at;
    lv_time ended_at;
    bool is_in_list; /* seen since ver_begin_list */
} ver_row;

#define VER_OPEN UINT64_MAX

typedef struct ver_history {
    ver_row *rows;
    uint32_t count;
    uint32_t capacity;
    uint64_t state;        /* number of the present one */
    lv_time covered_since; /* all states since then are believed to be known */
    lv_time proven_since;  /* and since then are certain to be */
    bool has_list;
} ver_history;

/* Why the version of a stream is known, or not. */
typedef enum ver_verdict {
    VER_CERTAIN,
    VER_AMBIGUOUS,   /* the states choose different versions */
    VER_NOT_COVERED, /* states of the time are not known */
    VER_VERDICTS
} ver_verdict;

/* No state is known, and none before `now` will be. */
void ver_init(ver_history *history, lv_time now);
void ver_finish(ver_history *history);

/* Records an endpoint as it is on the list now. One that is not ready when it
 * is first seen has been ready while changes were missed. If memory is
 * exhausted, the history counts as unknown up to `now`. */
void ver_apply(ver_history *history, const ver_endpoint *endpoint,
               lv_time now);

/* Records that an entry is not on the list any more. */
void ver_remove(ver_history *history, uint64_t key, lv_time now);

/* Call these before and after the endpoints of a full list are applied:
 * endpoints that were not applied in between are removed. No state before the
 * first list is known. */
void ver_begin_list(ver_history *history);
void ver_end_list(ver_history *history, lv_time now);

/* How far back a store's changes reach. */
typedef struct ver_extent {
    lv_time covered_since; /* as far as can be seen */
    lv_time proven_since;
} ver_extent;

/* Replaces the history by that of the present list and of all changes in the
 * extent, in their order. All count as made `now`, since changes have no
 * times; so does the draining of a listed endpoint that no change tells. */
void ver_rebuild(ver_history *history, const ver_endpoint *endpoints,
                 uint32_t count, const ver_change *changes,
                 uint32_t change_count, const ver_extent *extent, lv_time now);

/* Returns the version that begins a stream now, or LV_ID_NONE if any may, as
 * the service has one version only, or none. */
lv_id ver_choose(const ver_history *history, lv_id service, uint64_t key);

/* Finds the version of a stream that began at `from` or later. If the key is
 * not known (0), the result is certain only when the service has had a single
 * version since then. For a service of several versions, in any state that is
 * known, `from` must be in the proven time. */
ver_verdict ver_find(const ver_history *history, lv_id service, uint64_t key,
                     lv_time from, lv_id *version);

/* Returns the verdict as a static string for logs and metrics. */
const char *ver_verdict_text(ver_verdict verdict);

#endif
