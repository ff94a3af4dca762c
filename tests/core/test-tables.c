/*
 * Compares the heap and the map with plain arrays over random sequences of
 * operations with fixed seeds.
 */
#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include "lavender/heap.h"
#include "lavender/map.h"

enum {
    ITEMS = 200,
    STEPS = 20000
};

typedef struct random_case {
    uint64_t seed;
    uint32_t keys;
} random_case;

static random_case random_cases[] = {{1, 5}, {2, 100}, {3, 1000000}};

static uint32_t positions[ITEMS];

static uint32_t *
position_of(void *owner, uint32_t item)
{
    (void)owner;
    return &positions[item];
}

static uint64_t
next_random(uint64_t *state)
{
    *state += UINT64_C(0x9e3779b97f4a7c15);
    return map_mix(*state);
}

ParameterizedTestParameters(tables, heap_has_the_minimum_on_top)
{
    return cr_make_param_array(random_case, random_cases,
                               sizeof random_cases / sizeof random_cases[0]);
}

ParameterizedTest(random_case *with, tables, heap_has_the_minimum_on_top)
{
    int64_t keys[ITEMS];
    bool is_present[ITEMS] = {false};
    uint64_t state = with->seed;
    heap_min_heap heap;

    heap_init(&heap, position_of, NULL);
    for (uint32_t i = 0; i < ITEMS; i++) {
        positions[i] = LV_HANDLE_NONE;
    }
    for (uint32_t step = 0; step < STEPS; step++) {
        uint32_t item = next_random(&state) % ITEMS;
        int64_t min_key = INT64_MAX;
        uint32_t count = 0;

        if (next_random(&state) % 3 == 0) {
            heap_remove(&heap, item);
            is_present[item] = false;
        }
        else {
            keys[item] = (int64_t)(next_random(&state) % with->keys);
            cr_assert(heap_set_key(&heap, item, keys[item]));
            is_present[item] = true;
        }
        for (uint32_t i = 0; i < ITEMS; i++) {
            count += is_present[i];
            min_key = is_present[i] && keys[i] < min_key ? keys[i] : min_key;
            cr_assert_eq(is_present[i], positions[i] != LV_HANDLE_NONE);
        }
        cr_assert_eq(heap.count, count);
        if (count > 0) {
            cr_assert_eq(heap_top_key(&heap), min_key);
            cr_assert_eq(keys[heap_top(&heap)], min_key);
        }
        else {
            cr_assert_eq(heap_top(&heap), LV_HANDLE_NONE);
        }
    }
    heap_finish(&heap);
}

ParameterizedTestParameters(tables, map_returns_the_last_value_set)
{
    return cr_make_param_array(random_case, random_cases,
                               sizeof random_cases / sizeof random_cases[0]);
}

ParameterizedTest(random_case *with, tables, map_returns_the_last_value_set)
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
