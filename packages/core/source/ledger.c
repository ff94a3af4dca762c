#include "lavender/ledger.h"

#include <stdlib.h>

#include "lavender/map.h"

static uint32_t
home_of(const ledger_store *ledger, const ledger_line *line)
{
    uint64_t mixed =
        map_mix(line->window + map_mix(line->pool)) ^ line->account;

    return (uint32_t)map_mix(mixed) & (ledger->index_size - 1);
}

static bool
is_same(const ledger_line *a, const ledger_line *b)
{
    return a->account == b->account && a->window == b->window &&
           a->pool == b->pool;
}

bool
ledger_init(ledger_store *ledger, uint32_t capacity, err_error *error)
{
    uint32_t size = 16;

    *ledger = (ledger_store){.capacity = capacity};
    if (capacity == 0 || capacity > UINT32_MAX / 4) {
        return err_set(error, ERR_BAD_VALUE, "write a number over 0",
                       "the ledger would keep %u lines", capacity);
    }
    while (size < capacity * 2) {
        size *= 2;
    }
    ledger->index_size = size;
    ledger->lines = calloc(capacity, sizeof *ledger->lines);
    ledger->index = calloc(size, sizeof *ledger->index);
    if (ledger->lines == NULL || ledger->index == NULL) {
        ledger_finish(ledger);
        return err_set(error, ERR_MEMORY, "keep fewer lines",
                       "no memory for %u ledger lines", capacity);
    }
    return true;
}

void
ledger_finish(ledger_store *ledger)
{
    free(ledger->lines);
    free(ledger->index);
    *ledger = (ledger_store){0};
}

void
ledger_set_window(ledger_store *ledger, uint64_t window)
{
    ledger->current_window = window;
}

/* The index cell of a line, or the empty one where it would go. */
static uint32_t
find_cell(const ledger_store *ledger, const ledger_line *line)
{
    uint32_t mask = ledger->index_size - 1;
    uint32_t at = home_of(ledger, line);

    while (ledger->index[at] != 0 &&
           !is_same(&ledger->lines[ledger->index[at] - 1], line)) {
        at = (at + 1) & mask;
    }
    return at;
}

static void
remove_cell(ledger_store *ledger, uint32_t hole)
{
    uint32_t mask = ledger->index_size - 1;

    for (uint32_t at = (hole + 1) & mask; ledger->index[at] != 0;
         at = (at + 1) & mask) {
        uint32_t home = home_of(ledger, &ledger->lines[ledger->index[at] - 1]);

        if (((at - home) & mask) >= ((at - hole) & mask)) {
            ledger->index[hole] = ledger->index[at];
            hole = at;
        }
    }
    ledger->index[hole] = 0;
}

static void
drop_oldest(ledger_store *ledger)
{
    remove_cell(ledger, find_cell(ledger, &ledger->lines[ledger->first]));
    ledger->first = (ledger->first + 1) % ledger->capacity;
    ledger->count--;
    ledger->dropped++;
}

static ledger_line *
get_line(ledger_store *ledger, uint64_t window, lv_id pool, lv_id account)
{
    ledger_line key = {.pool = pool, .account = account, .window = window};
    uint32_t cell = find_cell(ledger, &key);
    uint32_t place;

    if (ledger->index[cell] != 0) {
        return &ledger->lines[ledger->index[cell] - 1];
    }
    if (ledger->count == ledger->capacity) {
        drop_oldest(ledger);
        cell = find_cell(ledger, &key);
    }
    place = (ledger->first + ledger->count++) % ledger->capacity;
    ledger->lines[place] = key;
    ledger->index[cell] = place + 1;
    return &ledger->lines[place];
}

ledger_line *
ledger_find_or_add_line(ledger_store *ledger, lv_id pool, lv_id account)
{
    return get_line(ledger, ledger->current_window, pool, account);
}

void
ledger_for_each_line(const ledger_store *ledger, ledger_visitor *visit,
                     void *context)
{
    for (uint32_t i = 0; i < ledger->count; i++) {
        visit(context, &ledger->lines[(ledger->first + i) % ledger->capacity]);
    }
}

void
ledger_merge(ledger_store *ledger, const ledger_line *line)
{
    ledger_line *to =
        get_line(ledger, line->window, line->pool, line->account);

    if (line->backlogged_time > to->backlogged_time) {
        to->backlogged_time = line->backlogged_time;
    }
    to->service += line->service;
    to->total_wait += line->total_wait;
    to->started += line->started;
    to->finished += line->finished;
    to->refused += line->refused;
}
