/*
 * The heap and the map against plain arrays, over seeded random walks.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include "lavender/heap.h"
#include "lavender/map.h"

enum {
    ITEMS = 200,
    STEPS = 20000
};

typedef struct walk_case {
    uint64_t seed;
    uint32_t keys;
} walk_case;

static walk_case walk_cases[] = {{1, 5}, {2, 100}, {3, 1000000}};

static uint32_t places[ITEMS];

static uint32_t *
place_of(void *owner, uint32_t item)
{
    (void)owner;
    return &places[item];
}

static uint64_t
next_random(uint64_t *state)
{
    *state += UINT64_C(0x9e3779b97f4a7c15);
    return map_mix(*state);
}

ParameterizedTestParameters(tables, heap_keeps_the_least_on_top)
{
    return cr_make_param_array(walk_case, walk_cases,
                               sizeof walk_cases / sizeof walk_cases[0]);
}

ParameterizedTest(walk_case *with, tables, heap_keeps_the_least_on_top)
{
    int64_t keys[ITEMS];
    bool is_in[ITEMS] = {false};
    uint64_t state = with->seed;
    heap_min_heap heap;

    heap_init(&heap, place_of, NULL);
    for (uint32_t i = 0; i < ITEMS; i++) {
        places[i] = LV_HANDLE_NONE;
    }
    for (uint32_t step = 0; step < STEPS; step++) {
        uint32_t item = next_random(&state) % ITEMS;
        int64_t least = INT64_MAX;
        uint32_t count = 0;

        if (next_random(&state) % 3 == 0) {
            heap_remove(&heap, item);
            is_in[item] = false;
        }
        else {
            keys[item] = (int64_t)(next_random(&state) % with->keys);
            cr_assert(heap_set_key(&heap, item, keys[item]));
            is_in[item] = true;
        }
        for (uint32_t i = 0; i < ITEMS; i++) {
            count += is_in[i];
            least = is_in[i] && keys[i] < least ? keys[i] : least;
            cr_assert_eq(is_in[i], places[i] != LV_HANDLE_NONE);
        }
        cr_assert_eq(heap.count, count);
        if (count > 0) {
            cr_assert_eq(heap_top_key(&heap), least);
            cr_assert_eq(keys[heap_top(&heap)], least);
        }
        else {
            cr_assert_eq(heap_top(&heap), LV_HANDLE_NONE);
        }
    }
    heap_finish(&heap);
}

ParameterizedTestParameters(tables, map_finds_what_was_set)
{
    return cr_make_param_array(walk_case, walk_cases,
                               sizeof walk_cases / sizeof walk_cases[0]);
}

ParameterizedTest(walk_case *with, tables, map_finds_what_was_set)
{
    uint32_t values[ITEMS];
    uint64_t state = with->seed;
    map_table map;

    map_init(&map);
    cr_assert_eq(map_find(&map, 1), LV_HANDLE_NONE);
    for (uint32_t i = 0; i < ITEMS; i++) {
        values[i] = LV_HANDLE_NONE;
    }
    for (uint32_t step = 0; step < STEPS; step++) {
        uint32_t item = next_random(&state) % ITEMS;
        uint64_t key = (uint64_t)item * with->keys + 1;

        if (next_random(&state) % 3 == 0) {
            map_remove(&map, key);
            values[item] = LV_HANDLE_NONE;
        }
        else {
            values[item] = step;
            cr_assert(map_set(&map, key, step));
        }
        for (uint32_t i = step % 7; i < ITEMS; i += 7) {
            cr_assert_eq(map_find(&map, (uint64_t)i * with->keys + 1),
                         values[i]);
        }
    }
    map_finish(&map);
}
