/*
 * Queues: order within and between flows, and the urgent credit.
 */
#include <criterion/criterion.h>

#include "lavender/queue.h"

#define ITEMS 64

static fq_table table;
static lv_handle group;
static lv_handle flows[3];

static void
start(void)
{
    fq_init(&table);
    cr_assert(fq_reserve(&table, ITEMS));
    group = fq_add_group(&table, 100);
    for (int i = 0; i < 3; i++) {
        flows[i] = fq_add_flow(&table, group);
    }
}

static void
stop(void)
{
    fq_finish(&table);
}

TestSuite(queue, .init = start, .fini = stop);

Test(queue, first_in_first_out_within_a_priority)
{
    fq_push(&table, flows[0], CAT_DEFERRABLE, 1, false);
    fq_push(&table, flows[0], CAT_DEFERRABLE, 2, false);
    fq_push(&table, flows[0], CAT_URGENT, 3, false);
    fq_push(&table, flows[0], CAT_DEFERRABLE, 4, true);
    cr_assert_eq(fq_count_items(&table, flows[0]), 4);
    cr_assert_eq(fq_first_item(&table, flows[0]), 3, "urgent first");
    fq_remove(&table, flows[0], CAT_URGENT, 3);
    cr_assert_eq(fq_first_item(&table, flows[0]), 4, "put back at the front");
    fq_remove(&table, flows[0], CAT_DEFERRABLE, 1);
    fq_remove(&table, flows[0], CAT_DEFERRABLE, 4);
    cr_assert_eq(fq_first_item(&table, flows[0]), 2);
    fq_remove(&table, flows[0], CAT_DEFERRABLE, 2);
    cr_assert_eq(fq_first_item(&table, flows[0]), LV_HANDLE_NONE);
    cr_assert_eq(fq_choose_flow(&table, group), LV_HANDLE_NONE);
}

typedef struct choice_case {
    int64_t levels[3];
    int urgent; /* flow with an urgent item; the others have deferrable */
    int chosen;
} choice_case;

Test(queue, the_least_level_and_the_urgent_credit)
{
    static const choice_case cases[] = {
        {{5, 3, 9}, -1, 1},   {{3, 5, 9}, -1, 0},   {{5, 3, 9}, 2, 2},
        {{5, 3, 102}, 2, 2},  {{5, 3, 103}, 2, 1}, /* the lead has reached the
                                                      credit */
        {{-50, 3, 49}, 2, 2}, {{-50, 3, 50}, 2, 0}, {{7, 8, 9}, 0, 0},
    };

    for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
        stop();
        start();
        for (int j = 0; j < 3; j++) {
            fq_push(&table, flows[j],
                    cases[i].urgent == j ? CAT_URGENT : CAT_DEFERRABLE,
                    (lv_handle)j, false);
            fq_set_level(&table, flows[j], cases[i].levels[j]);
        }
        cr_assert_eq(fq_choose_flow(&table, group), flows[cases[i].chosen],
                     "case %zu", i);
    }
}

Test(queue, a_flow_moves_with_its_items)
{
    lv_handle other = fq_add_group(&table, 0);

    fq_push(&table, flows[0], CAT_URGENT, 1, false);
    fq_move_flow(&table, flows[0], other);
    cr_assert_eq(fq_choose_flow(&table, group), LV_HANDLE_NONE);
    cr_assert_eq(fq_choose_flow(&table, other), flows[0]);
    cr_assert_eq(fq_first_item(&table, flows[0]), 1);
}

/* Against a plain search: random pushes, removals and levels. */
Test(queue, agrees_with_a_search)
{
    uint64_t random = 42;
    bool is_in[ITEMS] = {false};
    int64_t levels[3] = {0};

    for (int step = 0; step < 20000; step++) {
        uint32_t item;
        int flow;
        lv_handle least = LV_HANDLE_NONE;

        random = random * UINT64_C(6364136223846793005) + 1;
        item = (uint32_t)(random >> 33) % ITEMS;
        flow = (int)(item % 3);
        if (is_in[item]) {
            fq_remove(&table, flows[flow], CAT_DEFERRABLE, item);
        }
        else {
            fq_push(&table, flows[flow], CAT_DEFERRABLE, item, false);
        }
        is_in[item] = !is_in[item];
        levels[flow] += (int64_t)(random >> 50) % 100 - 40;
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
