/*
 * Error lists count errors beyond their capacity; every reason of an outcome
 * has a name, a message, a remedy and a status.
 */
#include <criterion/criterion.h>
#include <string.h>

#include "lavender/error.h"
#include "lavender/outcome.h"

Test(error, full_list_still_counts_errors)
{
    err_list list;

    err_list_init(&list);
    for (int i = 0; i < ERR_LIST_SIZE + 5; i++) {
        err_list_add(&list, "a.ini", i + 1, ERR_BAD_VALUE, "write a number",
                     "slots is %d", i);
    }
    cr_assert_eq(list.count, (size_t)ERR_LIST_SIZE + 5);
}

Test(error, item_states_location_and_remedy)
{
    err_list list;
    char text[512];

    err_list_init(&list);
    err_list_add(&list, "a.ini", 3, ERR_BAD_VALUE, "write a number",
                 "slots is '%s'", "many");
    err_item_format(&list.items[0], text, sizeof text);
    cr_assert_str_eq(text,
                     "a.ini:3: bad-value: slots is 'many'; write a number");
}

Test(outcome, every_reason_has_message_remedy_and_status)
{
    for (int reason = 0; reason < OUT_REASON_COUNT; reason++) {
        cr_assert_not_null(out_reason_name(reason), "reason %d", reason);
        cr_assert_gt(strlen(out_reason_message(reason)), 0);
        cr_assert_gt(strlen(out_reason_remedy(reason)), 0);
        cr_assert_geq(out_reason_status(reason), 200);
    }
}
