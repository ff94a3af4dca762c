#include "lavender/versions.h"

#include <stdlib.h>
#include <string.h>

#include "lavender/hash.h"

/* Rows that ended this long ago are dropped when room is needed. Streams are
 * shorter. */
#define ROW_LIFETIME (120 * LV_SECOND)

#define INITIAL_CAPACITY 64

static const char *const verdict_texts[VER_VERDICTS] = {
    [VER_CERTAIN] = "certain",
    [VER_AMBIGUOUS] = "ambiguous",
    [VER_NOT_COVERED] = "not-covered",
};

const char *
ver_verdict_text(ver_verdict verdict)
{
    return verdict_texts[verdict];
}

void
ver_init(ver_history *history, lv_time now)
{
    memset(history, 0, sizeof *history);
    history->covered_since = now;
    history->proven_since = now;
}

void
ver_finish(ver_history *history)
{
    free(history->rows);
    memset(history, 0, sizeof *history);
}

static void
drop_old_rows(ver_history *history, lv_time now)
{
    uint32_t kept = 0;
    uint32_t i;

    for (i = 0; i < history->count; i++) {
        const ver_row *row = &history->rows[i];

        if (row->end == VER_OPEN ||
            lv_elapsed(now, row->ended_at) < ROW_LIFETIME) {
            history->rows[kept++] = *row;
        }
    }
    if (kept < history->count && history->covered_since + ROW_LIFETIME < now) {
        history->covered_since = now - ROW_LIFETIME;
    }
    if (kept < history->count && history->proven_since + ROW_LIFETIME < now) {
        history->proven_since = now - ROW_LIFETIME;
    }
    history->count = kept;
}

static bool
make_room(ver_history *history, lv_time now)
{
    uint32_t capacity;
    ver_row *grown;

    if (history->count < history->capacity) {
        return true;
    }
    drop_old_rows(history, now);
    if (history->count < history->capacity) {
        return true;
    }
    capacity =
        history->capacity > 0 ? history->capacity * 2 : INITIAL_CAPACITY;
    grown = realloc(history->rows, capacity * sizeof *grown);
    if (grown == NULL) {
        return false;
    }
    history->rows = grown;
    history->capacity = capacity;
    return true;
}

static ver_row *
find_open_row(const ver_history *history, uint64_t key)
{
    uint32_t i;

    for (i = 0; i < history->count; i++) {
        ver_row *row = &history->rows[i];

        if (row->end == VER_OPEN && row->endpoint.key == key) {
            return row;
        }
    }
    return NULL;
}

static void
end_row(ver_history *history, ver_row *row, lv_time now)
{
    row->end = ++history->state;
    row->ended_at = now;
}

static bool
is_same_process(const ver_endpoint *a, const ver_endpoint *b)
{
    return a->key == b->key && a->service == b->service &&
           a->version == b->version;
}

static bool
was_ready(const ver_history *history, const ver_endpoint *endpoint)
{
    uint32_t i;

    for (i = 0; i < history->count; i++) {
        if (is_same_process(&history->rows[i].endpoint, endpoint)) {
            return true;
        }
    }
    return false;
}

static void
add_row(ver_history *history, const ver_endpoint *endpoint, lv_time now)
{
    if (!make_room(history, now)) {
        history->covered_since = history->proven_since = now + 1;
        return;
    }
    history->rows[history->count++] = (ver_row){.endpoint = *endpoint,
                                                .first = ++history->state,
                                                .end = VER_OPEN,
                                                .begun_at = now,
                                                .is_in_list = true};
}

void
ver_apply(ver_history *history, const ver_endpoint *endpoint, lv_time now)
{
    ver_row *row = find_open_row(history, endpoint->key);

    if (row != NULL && endpoint->is_ready &&
        is_same_process(&row->endpoint, endpoint)) {
        row->is_in_list = true;
        return;
    }
    if (row != NULL) {
        end_row(history, row, now);
    }
    if (endpoint->is_ready) {
        add_row(history, endpoint, now);
    }
    else if (!was_ready(history, endpoint)) {
        add_row(history, endpoint, now);
        ver_remove(history, endpoint->key, now);
    }
}

void
ver_remove(ver_history *history, uint64_t key, lv_time now)
{
    ver_row *row = find_open_row(history, key);

    if (row != NULL) {
        end_row(history, row, now);
    }
}

void
ver_begin_list(ver_history *history)
{
    uint32_t i;

    for (i = 0; i < history->count; i++) {
        history->rows[i].is_in_list = false;
    }
}

void
ver_end_list(ver_history *history, lv_time now)
{
    uint32_t i;

    for (i = 0; i < history->count; i++) {
        ver_row *row = &history->rows[i];

        if (row->end == VER_OPEN && !row->is_in_list) {
            end_row(history, row, now);
        }
    }
    if (!history->has_list) {
        history->has_list = true;
        history->covered_since = history->proven_since = now;
    }
}

/* What the entry said before its first change. A change that is no departure
 * may be a restart under the same key, with another version. */
static ver_endpoint
state_before(const ver_change *change)
{
    ver_endpoint before = change->endpoint;

    if (change->is_removed) {
        before.service = LV_ID_NONE;
    }
    if (change->is_removed || change->endpoint.is_ready) {
        before.version = LV_ID_NONE;
    }
    before.is_ready = true;
    return before;
}

static const ver_change *
find_first_change(const ver_change *changes, uint32_t count, uint64_t key)
{
    uint32_t i;

    for (i = 0; i < count; i++) {
        if (changes[i].endpoint.key == key) {
            return &changes[i];
        }
    }
    return NULL;
}

/* Adds a row for each endpoint as it was before the first change, and returns
 * how many drain although no change tells so. */
static uint32_t
add_first_state(ver_history *history, const ver_endpoint *endpoints,
                uint32_t count, const ver_change *changes,
                uint32_t change_count, lv_time now)
{
    uint32_t unseen = 0;
    uint32_t i;

    for (i = 0; i < count; i++) {
        ver_endpoint before = endpoints[i];

        if (find_first_change(changes, change_count, before.key) == NULL) {
            unseen += !before.is_ready;
            before.is_ready = true;
            ver_apply(history, &before, now);
        }
    }
    for (i = 0; i < change_count; i++) {
        const ver_change *change = &changes[i];

        if (!change->is_created &&
            find_first_change(changes, change_count, change->endpoint.key) ==
                change) {
            ver_endpoint before = state_before(change);

            ver_apply(history, &before, now);
        }
    }
    for (i = 0; i < history->count; i++) {
        history->rows[i].first = 0; /* one state */
    }
    return unseen;
}

void
ver_rebuild(ver_history *history, const ver_endpoint *endpoints,
            uint32_t count, const ver_change *changes, uint32_t change_count,
            const ver_extent *extent, lv_time now)
{
    uint32_t unseen;
    uint32_t i;

    history->count = 0;
    history->covered_since = extent->covered_since;
    history->proven_since = extent->proven_since;
    unseen =
        add_first_state(history, endpoints, count, changes, change_count, now);
    for (i = 0; i < count && unseen > 0; i++) {
        if (!endpoints[i].is_ready) {
            ver_remove(history, endpoints[i].key, now);
        }
    }
    for (i = 0; i < change_count; i++) {
        if (changes[i].is_removed) {
            ver_remove(history, changes[i].endpoint.key, now);
        }
        else {
            ver_apply(history, &changes[i].endpoint, now);
        }
    }
}

static bool
is_of_service(const ver_row *row, lv_id service)
{
    return row->endpoint.service == service ||
           row->endpoint.service == LV_ID_NONE;
}

lv_id
ver_choose(const ver_history *history, lv_id service, uint64_t key)
{
    lv_id version = LV_ID_NONE;
    bool is_mixed = false;
    uint64_t best = 0;
    lv_id chosen = LV_ID_NONE;
    uint32_t i;

    for (i = 0; i < history->count; i++) {
        const ver_row *row = &history->rows[i];
        uint64_t weight;

        if (row->end != VER_OPEN || !is_of_service(row, service)) {
            continue;
        }
        is_mixed = is_mixed ||
                   (version != LV_ID_NONE && version != row->endpoint.version);
        version = row->endpoint.version;
        weight = hrw_weight(row->endpoint.key, key);
        if (chosen == LV_ID_NONE || weight > best) {
            best = weight;
            chosen = version;
        }
    }
    return is_mixed ? chosen : LV_ID_NONE;
}

/* States from `first` to `last`, of which `below` bounds the weights of the
 * endpoints that may still be chosen. */
typedef struct ver_span {
    uint64_t first;
    uint64_t last;
    uint64_t below;
} ver_span;

/* Returns the row that is chosen in some of the states, or NULL. */
static const ver_row *
find_chosen(const ver_history *history, lv_id service, uint64_t key,
            const ver_span *span, uint64_t *weight)
{
    const ver_row *chosen = NULL;
    uint32_t i;

    *weight = 0;
    for (i = 0; i < history->count; i++) {
        const ver_row *row = &history->rows[i];
        uint64_t candidate;

        if (!is_of_service(row, service) || row->first > span->last ||
            row->end <= span->first) {
            continue;
        }
        candidate = hrw_weight(row->endpoint.key, key);
        if (candidate < span->below &&
            (chosen == NULL || candidate >= *weight)) {
            *weight = candidate;
            chosen = row;
        }
    }
    return chosen;
}

/* Adds the versions that the states choose. Returns false if they differ, or
 * one is not known. */
static bool
agree(const ver_history *history, lv_id service, uint64_t key,
      const ver_span *span, lv_id *version)
{
    uint64_t weight;
    const ver_row *row = find_chosen(history, service, key, span, &weight);
    ver_span before, after;

    if (row == NULL) {
        return true; /* no stream began */
    }
    if (row->endpoint.version == LV_ID_NONE ||
        (*version != LV_ID_NONE && *version != row->endpoint.version)) {
        return false;
    }
    *version = row->endpoint.version;
    before = (ver_span){span->first, row->first - 1, weight};
    after = (ver_span){row->end, span->last, weight};
    return (row->first <= span->first ||
            agree(history, service, key, &before, version)) &&
           (row->end > span->last ||
            agree(history, service, key, &after, version));
}

static bool
has_one_version(const ver_history *history, lv_id service,
                const ver_span *span, lv_id *version)
{
    uint32_t i;

    for (i = 0; i < history->count; i++) {
        const ver_row *row = &history->rows[i];

        if (!is_of_service(row, service) || row->first > span->last ||
            row->end <= span->first) {
            continue;
        }
        if (row->endpoint.version == LV_ID_NONE ||
            (*version != LV_ID_NONE && *version != row->endpoint.version)) {
            return false;
        }
        *version = row->endpoint.version;
    }
    return true;
}

/* Has the service several versions, or one that is not known, in any state? */
static bool
is_mixed(const ver_history *history, lv_id service)
{
    ver_span all = {.first = 0, .last = history->state};
    lv_id version = LV_ID_NONE;

    return !has_one_version(history, service, &all, &version);
}

/* Returns the number of the state that the list had at a time. */
static uint64_t
find_state(const ver_history *history, lv_time at)
{
    uint64_t state = 0;
    uint32_t i;

    for (i = 0; i < history->count; i++) {
        const ver_row *row = &history->rows[i];

        if (row->begun_at <= at && row->first > state) {
            state = row->first;
        }
        if (row->end != VER_OPEN && row->ended_at <= at && row->end > state) {
            state = row->end;
        }
    }
    return state;
}

ver_verdict
ver_find(const ver_history *history, lv_id service, uint64_t key, lv_time from,
         lv_id *version)
{
    ver_span span = {.first = find_state(history, from),
                     .last = history->state,
                     .below = UINT64_MAX};
    bool is_known;

    *version = LV_ID_NONE;
    if (from < history->covered_since ||
        (from < history->proven_since && is_mixed(history, service))) {
        return VER_NOT_COVERED;
    }
    is_known = key != 0 ? agree(history, service, key, &span, version)
                        : has_one_version(history, service, &span, version);
    if (!is_known) {
        *version = LV_ID_NONE;
        return VER_AMBIGUOUS;
    }
    return *version != LV_ID_NONE ? VER_CERTAIN : VER_NOT_COVERED;
}
