#include "lavender/ledger.h"

#include <stdlib.h>

#include "lavender/map.h"

static uint32_t
home_bucket_of(const ledger_store *ledger, const ledger_line *line)
{
    uint64_t hash =
        map_mix(line->window + map_mix(line->pool)) ^ line->account;

    return (uint32_t)map_mix(hash) & (ledger->bucket_count - 1);
}

static bool
has_same_key(const ledger_line *left, const ledger_line *right)
{
    return left->account == right->account && left->window == right->window &&
           left->pool == right->pool;
}

bool
ledger_init(ledger_store *ledger, uint32_t capacity, err_error *error)
{
    uint32_t bucket_count = 16;

    *ledger = (ledger_store){.capacity = capacity};
    if (capacity == 0 || capacity > UINT32_MAX / 4) {
        return err_set(error, ERR_BAD_VALUE,
                       "set a number of lines from 1 to 1073741823",
                       "the ledger cannot hold %u lines", capacity);
    }
    while (bucket_count < capacity * 2) {
        bucket_count *= 2;
    }
    ledger->bucket_count = bucket_count;
    ledger->lines = calloc(capacity, sizeof *ledger->lines);
    ledger->buckets = calloc(bucket_count, sizeof *ledger->buckets);
    if (ledger->lines == NULL || ledger->buckets == NULL) {
        ledger_finish(ledger);
        return err_set(error, ERR_MEMORY, "set a smaller number of lines",
                       "no memory for a ledger of %u lines", capacity);
    }
    return true;
}

void
ledger_finish(ledger_store *ledger)
{
    free(ledger->lines);
    free(ledger->buckets);
    *ledger = (ledger_store){0};
}

void
ledger_set_window(ledger_store *ledger, uint64_t window)
{
    ledger->current_window = window;
}

/* Returns the bucket of the line with the same key, or the empty bucket where
 * it would be inserted. */
static uint32_t
find_bucket(const ledger_store *ledger, const ledger_line *line)
{
    uint32_t mask = ledger->bucket_count - 1;
    uint32_t bucket = home_bucket_of(ledger, line);

    while (ledger->buckets[bucket] != 0 &&
           !has_same_key(&ledger->lines[ledger->buckets[bucket] - 1], line)) {
        bucket = (bucket + 1) & mask;
    }
    return bucket;
}

/* Clears a bucket and shifts back the lines whose probe sequence passes
 * it. */
static void
clear_bucket(ledger_store *ledger, uint32_t free_bucket)
{
    uint32_t mask = ledger->bucket_count - 1;

    for (uint32_t bucket = (free_bucket + 1) & mask;
         ledger->buckets[bucket] != 0; bucket = (bucket + 1) & mask) {
        uint32_t home_bucket = home_bucket_of(
            ledger, &ledger->lines[ledger->buckets[bucket] - 1]);

        if (((bucket - home_bucket) & mask) >=
            ((bucket - free_bucket) & mask)) {
            ledger->buckets[free_bucket] = ledger->buckets[bucket];
            free_bucket = bucket;
        }
    }
    ledger->buckets[free_bucket] = 0;
}

static void
drop_oldest(ledger_store *ledger)
{
    clear_bucket(ledger, find_bucket(ledger, &ledger->lines[ledger->oldest]));
    ledger->oldest = (ledger->oldest + 1) % ledger->capacity;
    ledger->count--;
    ledger->dropped++;
}

static ledger_line *
find_or_add_line(ledger_store *ledger, uint64_t window, lv_id pool,
                 lv_id account)
{
    ledger_line key = {.pool = pool, .account = account, .window = window};
    uint32_t bucket = find_bucket(ledger, &key);
    uint32_t position;

    if (ledger->buckets[bucket] != 0) {
        return &ledger->lines[ledger->buckets[bucket] - 1];
    }
    if (ledger->count == ledger->capacity) {
        drop_oldest(ledger);
        bucket = find_bucket(ledger, &key);
    }
    position = (ledger->oldest + ledger->count++) % ledger->capacity;
    ledger->lines[position] = key;
    ledger->buckets[bucket] = position + 1;
    return &ledger->lines[position];
}

ledger_line *
ledger_find_or_add_line(ledger_store *ledger, lv_id pool, lv_id account)
{
    return find_or_add_line(ledger, ledger->current_window, pool, account);
}

void
ledger_for_each_line(const ledger_store *ledger, ledger_visitor *visit,
                     void *context)
{
    for (uint32_t i = 0; i < ledger->count; i++) {
        visit(context,
              &ledger->lines[(ledger->oldest + i) % ledger->capacity]);
    }
}

void
ledger_merge(ledger_store *ledger, const ledger_line *line)
{
    ledger_line *merged =
        find_or_add_line(ledger, line->window, line->pool, line->account);

    if (line->backlogged_time > merged->backlogged_time) {
        merged->backlogged_time = line->backlogged_time;
    }
    merged->service += line->service;
    merged->total_wait += line->total_wait;
    merged->started += line->started;
    merged->finished += line->finished;
    merged->refused += line->refused;
}
