#include <stdlib.h>
#include <string.h>

#include "quarantine-imp.h"

#define INITIAL_SUSPECTS 64
#define EVICTION_CANDIDATES 16

qtn_suspect *
qtn_find(const qtn_table *table, uint64_t key)
{
    uint32_t index = table->suspect_count > 0 ? map_find(&table->by_key, key)
                                              : LV_HANDLE_NONE;

    return index != LV_HANDLE_NONE ? &table->suspects[index] : NULL;
}

/* Without this key of a joint quarantine others may be needed again. */
static void
leave_group(qtn_table *table, const qtn_suspect *suspect)
{
    uint32_t i;

    for (i = 0; i < table->suspect_count; i++) {
        if (table->suspects[i].group == suspect->group) {
            table->suspects[i].is_explained = false;
        }
    }
}

void
qtn_release(qtn_table *table, qtn_suspect *suspect)
{
    const qtn_suspect *last = &table->suspects[table->suspect_count - 1];

    if (suspect->is_quarantined) {
        leave_group(table, suspect);
        table->quarantined_count--;
        table->ops->on_change(table, suspect, "ended");
    }
    map_remove(&table->by_key, suspect->key);
    if (suspect != last) {
        *suspect = *last;
        /* Cannot fail: the map has just lost a key. */
        (void)map_set(&table->by_key, suspect->key,
                      (uint32_t)(suspect - table->suspects));
    }
    table->suspect_count--;
}

/* Does the first one tell less than the other? */
static bool
is_weaker(const qtn_table *table, const qtn_suspect *one,
          const qtn_suspect *other)
{
    uint32_t crashes = qtn_count_bits(one->crashes);
    uint32_t other_crashes = qtn_count_bits(other->crashes);
    lv_time answered_at = qtn_last_answer(table, one->key);
    lv_time other_answered_at = qtn_last_answer(table, other->key);

    if (crashes != other_crashes) {
        return crashes < other_crashes;
    }
    return answered_at != other_answered_at
               ? answered_at > other_answered_at
               : one->last_crash_at < other->last_crash_at;
}

/* Returns the row for a key's sighting, or NULL if the table has none. */
static qtn_sighting *
find_sighting(const qtn_table *table, uint64_t key)
{
    return table->sightings != NULL
               ? &table->sightings[map_mix(key) % table->rules->sightings_max]
               : NULL;
}

/* Returns the sighting of a key in another crash that is still known, or
 * NULL. */
static const qtn_sighting *
find_other_crash(const qtn_table *table, uint64_t key, uint32_t crash)
{
    const qtn_sighting *sighting = find_sighting(table, key);

    return sighting != NULL && sighting->key == key &&
                   sighting->crash != crash &&
                   table->crashes[sighting->crash].endpoint != LV_ID_NONE &&
                   table->crashes[sighting->crash].at == sighting->at
               ? sighting
               : NULL;
}

static void
add_sighting(qtn_table *table, uint64_t key, uint32_t crash, lv_id account)
{
    qtn_sighting *sighting;

    if (table->sightings == NULL && table->rules->sightings_max > 0) {
        table->sightings =
            calloc(table->rules->sightings_max, sizeof *table->sightings);
    }
    sighting = find_sighting(table, key);
    if (sighting != NULL) {
        sighting->key = key;
        sighting->crash = crash;
        sighting->at = table->crashes[crash].at;
        sighting->account = account;
    }
}

void
qtn_forget_sighting(qtn_table *table, uint64_t key)
{
    qtn_sighting *sighting = find_sighting(table, key);

    if (sighting != NULL && sighting->key == key) {
        sighting->key = 0;
    }
}

static void
release_weak(qtn_table *table, qtn_suspect *suspect)
{
    if (qtn_count_bits(suspect->crashes) == 1) {
        add_sighting(table, suspect->key,
                     (uint32_t)__builtin_ctzll(suspect->crashes),
                     suspect->account);
    }
    if (suspect->is_reported) {
        qtn_void_accusations(table, suspect->key, LV_TIME_NEVER);
    }
    qtn_release(table, suspect);
}

/* Makes room by releasing the weakest of some suspects, unless the newcomer is
 * weaker. Comparing all of them would take long for thousands of keys. */
static bool
release_weakest(qtn_table *table, const qtn_suspect *newcomer)
{
    qtn_suspect *weakest = NULL;
    uint32_t i;

    for (i = 0; i < EVICTION_CANDIDATES; i++) {
        qtn_suspect *suspect = &table->suspects[table->next_candidate];

        table->next_candidate =
            (table->next_candidate + 1) % table->suspect_count;
        if (!suspect->is_quarantined &&
            (weakest == NULL || is_weaker(table, suspect, weakest))) {
            weakest = suspect;
        }
    }
    if (weakest == NULL || is_weaker(table, newcomer, weakest)) {
        return false;
    }
    release_weak(table, weakest);
    return true;
}

static bool
reserve_suspect(qtn_table *table, const qtn_suspect *newcomer)
{
    uint32_t capacity = table->suspect_capacity;
    qtn_suspect *grown;

    if (table->suspect_count < capacity) {
        return true;
    }
    if (table->suspects != NULL && capacity >= table->rules->suspects_max) {
        return release_weakest(table, newcomer);
    }
    capacity = capacity > 0 ? capacity * 2 : INITIAL_SUSPECTS;
    grown = realloc(table->suspects, capacity * sizeof *grown);
    if (grown == NULL) {
        return false;
    }
    table->suspects = grown;
    table->suspect_capacity = capacity;
    return true;
}

qtn_suspect *
qtn_find_or_add(qtn_table *table, uint64_t key, uint32_t crash, lv_id account)
{
    qtn_suspect *suspect = qtn_find(table, key);
    const qtn_sighting *seen;
    qtn_suspect newcomer = {.key = key, .answers = table->answer_count};

    if (suspect != NULL) {
        return suspect;
    }
    if (crash != QTN_NO_CRASH) {
        newcomer.crashes = (uint64_t)1 << crash;
        newcomer.last_crash_at = table->crashes[crash].at;
        newcomer.account = account;
    }
    seen = find_other_crash(table, key, crash);
    if (seen != NULL) {
        newcomer.crashes |= (uint64_t)1 << seen->crash;
        newcomer.account = seen->account;
    }
    if (!reserve_suspect(table, &newcomer) ||
        !map_set(&table->by_key, key, table->suspect_count)) {
        if (crash != QTN_NO_CRASH) {
            add_sighting(table, key, crash, account);
        }
        return NULL;
    }
    suspect = &table->suspects[table->suspect_count++];
    *suspect = newcomer;
    return suspect;
}
