/*
 * Fair queues: order of the items of a flow, choice of the flow, and the
 * urgent credit.
 */
#include <criterion/criterion.h>

#include "lavender/queue.h"

#define ITEMS 64

static fq_table table;
static lv_handle group;
static lv_handle flows[3];

static void
init_queues(void)
{
    fq_init(&table);
    cr_assert(fq_reserve(&table, ITEMS));
    group = fq_add_group(&table, 100);
    for (int i = 0; i < 3; i++) {
        flows[i] = fq_add_flow(&table, group);
    }
}

static void
finish_queues(void)
{
    fq_finish(&table);
}

TestSuite(queue, .init = init_queues, .fini = finish_queues);

Test(queue, items_are_fifo_within_a_priority)
{
    fq_push(&table, flows[0], CAT_DEFERRABLE, 1, false);
    fq_push(&table, flows[0], CAT_DEFERRABLE, 2, false);
    fq_push(&table, flows[0], CAT_URGENT, 3, false);
    fq_push(&table, flows[0], CAT_DEFERRABLE, 4, true);
    cr_assert_eq(fq_count_items(&table, flows[0]), 4);
    cr_assert_eq(fq_first_item(&table, flows[0]), 3,
                 "urgent items come first");
    fq_remove(&table, flows[0], CAT_URGENT, 3);
    cr_assert_eq(fq_first_item(&table, flows[0]), 4, "pushed at the front");
    fq_remove(&table, flows[0], CAT_DEFERRABLE, 1);
    fq_remove(&table, flows[0], CAT_DEFERRABLE, 4);
    cr_assert_eq(fq_first_item(&table, flows[0]), 2);
    fq_remove(&table, flows[0], CAT_DEFERRABLE, 2);
    cr_assert_eq(fq_first_item(&table, flows[0]), LV_HANDLE_NONE);
    cr_assert_eq(fq_choose_flow(&table, group), LV_HANDLE_NONE);
}

typedef struct choice_case {
    int64_t levels[3];
    int urgent_flow; /* the others have deferrable items; -1: none */
    int chosen_flow;
} choice_case;

Test(queue, chooses_minimum_level_within_urgent_credit)
{
    static const choice_case cases[] = {
        {{5, 3, 9}, -1, 1},   {{3, 5, 9}, -1, 0},   {{5, 3, 9}, 2, 2},
        {{5, 3, 102}, 2, 2},  {{5, 3, 103}, 2, 1}, /* the lead equals the
                                                      credit */
        {{-50, 3, 49}, 2, 2}, {{-50, 3, 50}, 2, 0}, {{7, 8, 9}, 0, 0},
    };

    for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
        finish_queues();
        init_queues();
        for (int j = 0; j < 3; j++) {
            fq_push(&table, flows[j],
                    cases[i].urgent_flow == j ? CAT_URGENT : CAT_DEFERRABLE,
                    (lv_handle)j, false);
            fq_set_level(&table, flows[j], cases[i].levels[j]);
        }
        cr_assert_eq(fq_choose_flow(&table, group),
                     flows[cases[i].chosen_flow], "case %zu", i);
    }
}

Test(queue, set_group_moves_the_items)
{
    lv_handle other = fq_add_group(&table, 0);

    fq_push(&table, flows[0], CAT_URGENT, 1, false);
    fq_move_flow(&table, flows[0], other);
    cr_assert_eq(fq_choose_flow(&table, group), LV_HANDLE_NONE);
    cr_assert_eq(fq_choose_flow(&table, other), flows[0]);
    cr_assert_eq(fq_first_item(&table, flows[0]), 1);
}

/* Random pushes, removals and levels; the choice is compared with a linear
 * search for the minimum level. */
Test(queue, choice_matches_linear_search)
{
    uint64_t prng_state = 42;
    bool is_queued[ITEMS] = {false};
    int64_t levels[3] = {0};

    for (int step = 0; step < 20000; step++) {
        uint32_t item;
        int flow;
        lv_handle least = LV_HANDLE_NONE;

        prng_state = prng_state * UINT64_C(6364136223846793005) + 1;
        item = (uint32_t)(prng_state >> 33) % ITEMS;
        flow = (int)(item % 3);
        if (is_queued[item]) {
            fq_remove(&table, flows[flow], CAT_DEFERRABLE, item);
        }
        else {
            fq_push(&table, flows[flow], CAT_DEFERRABLE, item, false);
        }
        is_queued[item] = !is_queued[item];
        levels[flow] += (int64_t)(prng_state >> 50) % 100 - 40;
        fq_set_level(&table, flows[flow], levels[flow]);
        for (int i = 0; i < 3; i++) {
            if (fq_count_items(&table, flows[i]) > 0 &&
                (least == LV_HANDLE_NONE || levels[i] < levels[least])) {
                least = (lv_handle)i;
            }
        }
        if (least == LV_HANDLE_NONE) {
            cr_assert_eq(fq_choose_flow(&table, group), LV_HANDLE_NONE);
        }
        else {
            cr_assert_eq(levels[fq_choose_flow(&table, group)], levels[least]);
        }
    }
}
