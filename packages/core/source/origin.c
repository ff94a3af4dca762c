#include "lavender/origin.h"

#include <string.h>

#include "lavender/map.h"

/* Rows that a key may be in. */
#define WAYS 4

void
org_init(org_table *table)
{
    memset(table, 0, sizeof *table);
}

static bool
is_current(const org_version *row, lv_time now)
{
    return row->service != LV_ID_NONE &&
           lv_elapsed(now, row->listed_at) < ORG_VERSION_TIME;
}

static uint32_t
count_versions(const org_table *table, lv_id service, lv_time now)
{
    uint32_t count = 0;
    uint32_t i;

    for (i = 0; i < ORG_VERSIONS_MAX; i++) {
        const org_version *row = &table->versions[i];

        count += row->service == service && is_current(row, now);
    }
    return count;
}

bool
org_note_version(org_table *table, lv_id service, lv_id version, lv_time now)
{
    org_version *oldest = &table->versions[0];
    uint32_t i;

    for (i = 0; i < ORG_VERSIONS_MAX; i++) {
        org_version *row = &table->versions[i];

        if (row->service == service && row->version == version &&
            is_current(row, now)) {
            row->listed_at = now;
            return false;
        }
        if (row->listed_at < oldest->listed_at) {
            oldest = row;
        }
    }
    oldest->service = service;
    oldest->version = version;
    oldest->listed_at = now;
    return count_versions(table, service, now) == 2;
}

bool
org_is_mixed(const org_table *table, lv_id service, lv_time now)
{
    return count_versions(table, service, now) > 1;
}

/* Returns the row of a key, or the one to overwrite with it. */
static org_stream *
find_row(const org_table *table, uint64_t key)
{
    uint64_t first = map_mix(key) % (ORG_STREAMS_MAX / WAYS) * WAYS;
    const org_stream *oldest = &table->streams[first];
    uint32_t i;

    for (i = 0; i < WAYS; i++) {
        const org_stream *row = &table->streams[first + i];

        if (row->key == key) {
            return (org_stream *)row;
        }
        if (row->at < oldest->at) {
            oldest = row;
        }
    }
    return (org_stream *)oldest;
}

void
org_record(org_table *table, uint64_t key, lv_id version, lv_time now)
{
    org_stream own = {
        .key = key, .version = version, .at = now, .is_own = true};

    *find_row(table, key) = own;
}

void
org_learn(org_table *table, uint64_t key, lv_id version, uint64_t reporter,
          lv_time now)
{
    org_stream *row = find_row(table, key);

    if (row->key != key) {
        org_stream learned = {
            .key = key, .version = version, .at = now, .reporter = reporter};

        *row = learned;
        table->counts.learned++;
    }
    else if (row->is_own) {
        return;
    }
    else if (row->version != version) {
        row->is_conflicting = true;
        table->counts.conflicts++;
    }
    else if (row->reporter != reporter) {
        row->is_confirmed = true;
    }
}

void
org_note_service(org_table *table, uint64_t key, lv_id service)
{
    org_stream *row = find_row(table, key);

    if (row->key != key || service == LV_ID_NONE) {
        return;
    }
    if (row->service != LV_ID_NONE && row->service != service) {
        row->is_conflicting = row->is_conflicting || !row->is_own;
        return;
    }
    row->service = service;
}

lv_id
org_find_service(const org_table *table, uint64_t key)
{
    const org_stream *row = find_row(table, key);

    return row->key == key ? row->service : LV_ID_NONE;
}

lv_id
org_find_reported(const org_table *table, uint64_t key)
{
    const org_stream *row = find_row(table, key);

    return row->key == key && !row->is_conflicting ? row->version
                                                   : ORG_VERSION_NONE;
}

bool
org_is_conflicting(const org_table *table, uint64_t key)
{
    const org_stream *row = find_row(table, key);

    return row->key == key && row->is_conflicting;
}

lv_id
org_find(const org_table *table, uint64_t key)
{
    const org_stream *row = find_row(table, key);

    return row->is_own || row->is_confirmed ? org_find_reported(table, key)
                                            : ORG_VERSION_NONE;
}
